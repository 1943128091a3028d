"""A replicated log: Raft with pre-vote, quorum check and single-server membership changes. Pure.

The references are to Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapter 3 (the core
algorithm), 4.1 and 4.2.3 (membership changes, and servers that disrupt a leader), 6.4 (read index:
rounds of heartbeats that confirm a leader without a log entry) and 9.6 (pre-vote).

Every call may change the persistent state. `take()` returns the state to save and the messages to
send: the state has to be synced before any message is sent and before anything is reported as
committed. Where saving fails, the process has to end as if it had crashed before the call.

`raft_state` holds one voter's log and role, `raft_follower` and `raft_leader` the behaviour of each
role, `raft_election` the way from follower to leader.
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
    """One voter, or a learner that is to become a voter."""

    def tick(self, now: int) -> None:
        """Sends a heartbeat or starts an election if one is due."""
        if self.role == LEADER:
            # The quorum is checked on every tick, not only when a heartbeat is due. Every request
            # starts a round, which postpones the next heartbeat, so on a busy leader no heartbeat
            # might ever become due.
            self._check_quorum(now)
        if now < self.due:
            return
        if self.role == LEADER:
            self.send_heartbeats(now)
            return
        self.campaign(now)

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handles another voter's message. Messages may be late, duplicated or out of order."""
        if isinstance(message, PreVoteRequest):
            self._handle_pre_vote_request(now, sender, message)
            return
        if isinstance(message, PreVoteReply):
            self._handle_pre_vote_reply(now, sender, message)
            return
        if isinstance(message, VoteRequest) and self._has_live_leader(now):
            # A voter that was partitioned or removed must not depose a live leader (Ongaro, 4.2.3).
            return
        if message.term > self.term:
            self._become_follower(now, message.term, "")
        if isinstance(message, VoteRequest):
            self._handle_vote_request(now, sender, message)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(now, sender, message)
        elif isinstance(message, AppendEntries):
            self._handle_append_entries(now, sender, message)
        elif isinstance(message, InstallSnapshot):
            self._handle_install_snapshot(now, sender, message)
        elif self.role == LEADER and message.term == self.term:
            self._handle_append_reply(now, sender, message)


__all__ = ["PRE_CANDIDATE", "CANDIDATE", "FOLLOWER", "LEADER", "MS", "RaftOutput", "Raft", "Timing"]
