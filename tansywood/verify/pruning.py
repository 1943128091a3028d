"""Messages that can't matter any more, so that the search need not tell states apart by them."""

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


def dead(world: World, highest_term: int, packet: Packet) -> bool:
    """Whether a message can never do anything any more, whatever comes: it may be forgotten.
    `highest_term`: of the search.

    Terms and what a holder has heard only grow. The one effect that is left out by it: a
    refusal in a newer term would tell an old leader that it is none any more. It stays one
    for longer here than in the program, which is the dangerous side.
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
        return _dead_vote(raft, what)
    if isinstance(what, AppendEntriesReply):
        return _useless(world, sender, to, what)
    if what.term < raft.term:
        return True
    # An entry that is there already, whose acknowledgement nobody would miss.
    return (
        isinstance(what, AppendEntries)
        and what.term == raft.term
        and _has(raft, what)
        and _useless(
            world, to, sender, AppendEntriesReply(what.term, True, _match(what), what.round)
        )
    )


def _dead_vote(raft: Raft, what: PreVoteRequest | PreVoteReply | VoteRequest | VoteReply) -> bool:
    """Of elections: those that are over, or that this vote does not decide."""
    if isinstance(what, PreVoteRequest):
        return what.term <= raft.term
    if isinstance(what, PreVoteReply):
        return what.term <= raft.term or not what.granted
    if isinstance(what, VoteReply):
        over = what.term < raft.term or (what.term == raft.term and raft.role != CANDIDATE)
        return over or not what.granted
    return what.term < raft.term or (what.term == raft.term and bool(raft.voted_for))


def _match(what: AppendEntries) -> int:
    """The last entry that a follower has in common with its leader after this."""
    return what.prev_index + len(what.entries)


def _has(raft: Raft, what: AppendEntries) -> bool:
    """Whether all that this brings is there, and committed as far as it says."""
    match = _match(what)
    return (
        match <= raft.last_index
        and raft.commit_index >= min(what.commit_index, match)
        and raft.term_at(what.prev_index) == what.prev_term
        and all(raft.term_at(what.prev_index + 1 + n) == e.term for n, e in enumerate(what.entries))
    )


def _useless(world: World, sender: str, to: str, what: AppendEntriesReply) -> bool:
    """An acknowledgement that its leader can learn nothing from, now or later: it leads no
    more in that term, or knows of those entries, and nobody waits for a round so early."""
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


def idle(world: World, packet: Packet) -> bool:
    """Whether a delivery would lead back to this very state: its outcome need not be made."""
    a, b, what = packet
    if isinstance(what, LeaseReply):
        return False
    raft = world.voters[b].raft
    if isinstance(what, LeaseRequest):
        return raft.role != LEADER  # the reply would only say who leads
    if isinstance(what, AppendEntries):
        known = what.term == raft.term and raft.role == FOLLOWER and raft.leader == a
        reply = AppendEntriesReply(raft.term, True, _match(what), what.round)
        return known and _has(raft, what) and (b, a, reply) in world.net
    return False
