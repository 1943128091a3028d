"""Elections: pre-votes, votes, and the check by which a leader steps down. Pure."""

from __future__ import annotations

from tansywood.lease.log import PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from tansywood.lease.raft_leader import Leader
from tansywood.lease.raft_state import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE


class Election(Leader):
    """The way from follower to leader, by a pre-vote and a vote (Ongaro, 3.4, 3.6.1 and 9.6)."""

    def campaign(self, now: int) -> None:
        """Starts a pre-vote; a majority of granted pre-votes starts the election itself."""
        self.due = now + self._draw_election_timeout()
        if self.name not in self.voters:
            return
        self.role = PRE_CANDIDATE
        self.leader = ""
        self.votes = {self.name}
        if self.majority(self.votes):
            self._start_election(now)
            return
        self._send_to_voters(
            PreVoteRequest(self.term + 1, self.last_index, self.term_at(self.last_index))
        )

    def _start_election(self, now: int) -> None:
        """Starts an election in a new term, with this voter's own vote."""
        self.term += 1
        self.voted_for = self.name
        self._has_unsaved_state = True
        self.role = CANDIDATE
        self.votes = {self.name}
        self.due = now + self._draw_election_timeout()
        if self.majority(self.votes):
            self._become_leader(now)
            return
        self._send_to_voters(VoteRequest(self.term, self.last_index, self.term_at(self.last_index)))

    def _check_quorum(self, now: int) -> None:
        """Steps down where a majority has not answered for two election timeouts. A leader whose
        heartbeats arrive but which hears nothing would otherwise prevent an election for ever."""
        max_silence_ns = 2 * self.timing.election_timeout_ns
        recently_heard = {
            v for v, at in self.last_heard_at.items() if now - at <= max_silence_ns
        } | {self.name}
        if not self.majority(recently_heard):
            self._become_follower(now, self.term, "")

    def _has_live_leader(self, now: int) -> bool:
        """Whether this voter leads, or heard from a leader within an election timeout."""
        if self.role == LEADER:
            return True
        return bool(self.leader) and now - self.leader_heard_at < self.timing.election_timeout_ns

    def _is_log_up_to_date(self, last_term: int, last: int) -> bool:
        """Whether a log that ends with this term and index is at least as up to date as this
        voter's (Ongaro, 3.6.1)."""
        return (last_term, last) >= (self.term_at(self.last_index), self.last_index)

    def _handle_pre_vote_request(self, now: int, sender: str, message: PreVoteRequest) -> None:
        granted = (
            message.term > self.term
            and self._is_log_up_to_date(message.last_term, message.last_index)
            and not self._has_live_leader(now)
        )
        term = message.term if granted else self.term
        self._send(sender, PreVoteReply(term, granted))

    def _handle_pre_vote_reply(self, now: int, sender: str, message: PreVoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._become_follower(now, message.term, "")
        elif self.role == PRE_CANDIDATE and message.granted and message.term == self.term + 1:
            self.votes.add(sender)
            if self.majority(self.votes):
                self._start_election(now)

    def _handle_vote_request(self, now: int, sender: str, message: VoteRequest) -> None:
        granted = (
            message.term == self.term
            and self.voted_for in ("", sender)
            and self.role == FOLLOWER
            and self._is_log_up_to_date(message.last_term, message.last_index)
        )
        if granted:
            if not self.voted_for:
                self.voted_for = sender
                self._has_unsaved_state = True
            self.due = now + self._draw_election_timeout()
        self._send(sender, VoteReply(self.term, granted))

    def _handle_vote_reply(self, now: int, sender: str, message: VoteReply) -> None:
        if self.role == CANDIDATE and message.term == self.term and message.granted:
            self.votes.add(sender)
            if self.majority(self.votes):
                self._become_leader(now)
