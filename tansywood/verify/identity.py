"""The identity of a state in the search: everything that determines its possible moves."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from tansywood.lease.holder import Holder
from tansywood.lease.log import PersistentState
from tansywood.lease.raft import CANDIDATE, LEADER, PRE_CANDIDATE
from tansywood.lease.service import LeaseService
from tansywood.verify.world import World


def key(world: World, time_of: Callable[[str], int]) -> Hashable:
    """Return a key that is equal for states that allow the same moves. `time_of` returns the time
    on a holder's clock."""
    return (
        tuple(_voter_key(k, world.disks[n], world.clock) for n, k in world.voters.items()),
        tuple(_holder_key(holder, time_of(name)) for name, holder in world.holders.items()),
        world.network,
        world.used,
    )


def _voter_key(k: LeaseService, saved: PersistentState, clock: int) -> Hashable:
    r = k.raft
    leader_key = _leader_key(k, clock) if r.role == LEADER else None
    votes = tuple(sorted(r.votes)) if r.role in (PRE_CANDIDATE, CANDIDATE) else ()
    return (
        r.role, r.term, r.voted_for, r.leader, tuple(r.entries), r.commit_index, r.applied, votes,
        leader_key,
        saved.term, saved.voted_for, saved.entries,
    )  # fmt: skip


def _leader_key(k: LeaseService, clock: int) -> Hashable:
    """Return the part of the key that covers a leader's knowledge of followers and holders."""
    r = k.raft
    return (
        tuple(sorted(r.match_index.items())),
        tuple(sorted(r.next_index.items())),
        # Only whether pending requests are confirmed matters: future rounds have higher numbers.
        tuple(
            (v, sum(at >= w.round for w in k.pending_requests))
            for v, at in sorted(r.acknowledged_round.items())
        ),
        r.first_own_index,
        r.elected_at,
        tuple(sorted((h, max(e - clock, 0)) for h, e in k.expiries.items())),
        k._led_term,
        k._earliest_expiry,
        tuple(sorted(k._pending_ends.items())),
        tuple(sorted(k._pending_acquires.items())),
        tuple(sorted(k._latest_seq.items())),
        tuple(sorted((h, s, clock - at, clock - a) for h, (s, at, a) in k._unacknowledged.items())),
        tuple((w.sender, w.request, w.round, w.index, w.term) for w in k.pending_requests),
        r.round,
    )


def _holder_key(h: Holder, now: int) -> Hashable:
    return (
        h.seq, h.last_answered_seq, max(h.valid_until - now, 0), tuple(sorted(h.leases.items())),
        tuple((seq, now - at) for seq, at in h._sent if now - at <= h.terms.holder_duration_ns),
    )  # fmt: skip
