"""Recognizes messages without effect, so that the search need not distinguish states by them."""

from __future__ import annotations

from tansywood.lease.log import (
    AppendEntries,
    AppendEntriesReply,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import CANDIDATE, FOLLOWER, LEADER, Raft
from tansywood.verify.world import Packet, World


def is_ineffective(world: World, highest_term: int, packet: Packet) -> bool:
    """Whether a message can have no effect in this state or any later one. `highest_term` is the
    highest term of the search.

    This holds because terms and the sequence numbers that a holder has received only grow. One
    effect is left out: a refusal in a newer term would tell an old leader to step down. Here the
    old leader stays leader for longer than in the program, which is the less safe case.
    """
    sender, to, what = packet
    if isinstance(what, LeaseReply):
        return what.seq <= world.holders[to].last_answered_seq or not what.ok
    raft = world.voters[to].raft
    if isinstance(what, LeaseRequest):
        if raft.role == LEADER:
            return what.seq <= world.voters[to]._latest_seq.get(what.holder, 0)
        return raft.term >= highest_term
    if isinstance(what, PreVoteRequest | PreVoteReply | VoteRequest | VoteReply):
        return _is_ineffective_vote(raft, what)
    if isinstance(what, AppendEntriesReply):
        return _is_ineffective_reply(world, sender, to, what)
    if what.term < raft.term:
        return True
    # Entries that the follower has already, and whose acknowledgement the leader does not need.
    return (
        isinstance(what, AppendEntries)
        and what.term == raft.term
        and _has_entries(raft, what)
        and _is_ineffective_reply(
            world, to, sender, AppendEntriesReply(what.term, True, _match_index(what), what.round)
        )
    )


def _is_ineffective_vote(
    raft: Raft, what: PreVoteRequest | PreVoteReply | VoteRequest | VoteReply
) -> bool:
    """Whether an election message belongs to a decided election or cannot influence it."""
    if isinstance(what, PreVoteRequest):
        return what.term <= raft.term
    if isinstance(what, PreVoteReply):
        return what.term <= raft.term or not what.granted
    if isinstance(what, VoteReply):
        over = what.term < raft.term or (what.term == raft.term and raft.role != CANDIDATE)
        return over or not what.granted
    return what.term < raft.term or (what.term == raft.term and bool(raft.voted_for))


def _match_index(what: AppendEntries) -> int:
    """Return the last index up to which the follower's log equals its leader's after this."""
    return what.prev_index + len(what.entries)


def _has_entries(raft: Raft, what: AppendEntries) -> bool:
    """Whether the follower already has all these entries and has committed as far as they say."""
    match = _match_index(what)
    return (
        match <= raft.last_index
        and raft.commit_index >= min(what.commit_index, match)
        and raft.term_at(what.prev_index) == what.prev_term
        and all(raft.term_at(what.prev_index + 1 + n) == e.term for n, e in enumerate(what.entries))
    )


def _is_ineffective_reply(world: World, sender: str, to: str, what: AppendEntriesReply) -> bool:
    """Whether an acknowledgement tells its leader nothing, now or later: the receiver no longer
    leads in that term, or it knows of the entries and no request waits for that round."""
    service = world.voters[to]
    raft = service.raft
    if what.term < raft.term or raft.role != LEADER:
        return what.term <= raft.term
    if what.term > raft.term or not what.ok or what.match_index > raft.match_index.get(sender, 0):
        return False
    needed = [
        w.round
        for w in service.pending_requests
        if w.round > raft.acknowledged_round.get(sender, 0)
    ]
    return not needed or min(needed) > what.round


def is_noop(world: World, packet: Packet) -> bool:
    """Whether a delivery would lead back to the same state, so that it need not be computed."""
    sender, receiver, what = packet
    if isinstance(what, LeaseReply):
        return False
    raft = world.voters[receiver].raft
    if isinstance(what, LeaseRequest):
        return raft.role != LEADER  # the reply would only name the leader
    if isinstance(what, AppendEntries):
        known = what.term == raft.term and raft.role == FOLLOWER and raft.leader == sender
        reply = AppendEntriesReply(raft.term, True, _match_index(what), what.round)
        return known and _has_entries(raft, what) and (receiver, sender, reply) in world.network
    return False
