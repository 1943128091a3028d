"""A replicated log: Raft with pre-vote, check of quorum and changes of one voter. Pure.

Ongaro: "Consensus: Bridging Theory and Practice" (2014), chapters 3 (the core), 4.1 and 4.2.3
(changes of voters, and voters that are not heard of), 6.4 (rounds that confirm a leader without the
log), 9.6 (pre-vote).

Every call may change what has to be kept. `take()` hands over what to keep and what to send, in
that order: nothing may be sent, and nothing be told as committed, before it is synced. Where
keeping it fails, the process has to end as if it had crashed before the call.

`raft_state` is the log and the role as one voter has them, `raft_follower` and `raft_leader` what
each role does, `raft_election` how one becomes a leader.
"""

from __future__ import annotations

from tansywood.lease.log import (
    AppendEntries,
    InstallSnapshot,
    Message,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from tansywood.lease.raft_election import Election
from tansywood.lease.raft_follower import Follower
from tansywood.lease.raft_state import (
    CANDIDATE,
    FOLLOWER,
    LEADER,
    MS,
    PRE_CANDIDATE,
    RaftOutput,
    Timing,
)


class Raft(Election, Follower):
    """One voter, or one that is to become one."""

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        if self.role == LEADER:
            # Not only when a heartbeat is due: rounds that others ask for put that off for ever.
            self._check_quorum(now)
        if now < self.due:
            return
        if self.role == LEADER:
            self.send_heartbeats(now)
            return
        self.campaign(now)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """A message of another, late, doubled or out of order as it may be."""
        if isinstance(message, PreVoteRequest):
            self._pre_vote(now, sender, message)
            return
        if isinstance(message, PreVoteReply):
            self._pre_voted(now, sender, message)
            return
        if isinstance(message, VoteRequest) and self._hears_a_leader(now):
            return  # one that is cut off, or was taken out, must not unseat it (Ongaro, 4.2.3)
        if message.term > self.term:
            self._follow(now, message.term, "")
        if isinstance(message, VoteRequest):
            self._handle_vote_request(now, sender, message)
        elif isinstance(message, VoteReply):
            self._voted(now, sender, message)
        elif isinstance(message, AppendEntries):
            self._appending(now, sender, message)
        elif isinstance(message, InstallSnapshot):
            self._installing(now, sender, message)
        elif self.role == LEADER and message.term == self.term:
            self._appended(now, sender, message)


__all__ = ["PRE_CANDIDATE", "CANDIDATE", "FOLLOWER", "LEADER", "MS", "RaftOutput", "Raft", "Timing"]
