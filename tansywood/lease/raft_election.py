"""Elections: who asks for one, who gives its vote, and when a leader gives up. Pure."""

from __future__ import annotations

from tansywood.lease.log import PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from tansywood.lease.raft_leader import Leader
from tansywood.lease.raft_state import CANDIDATE, FOLLOWER, LEADER, PRE_CANDIDATE


class Election(Leader):
    """From follower to leader, by a pre-vote and a vote (Ongaro, 3.4, 3.6.1 and 9.6)."""

    def campaign(self, now: int) -> None:
        """Ask whether an election could be won; if it could, hold it."""
        self.due = now + self._patience()
        if self.name not in self.voters:
            return
        self.role = PRE_CANDIDATE
        self.leader = ""
        self.votes = {self.name}
        if self.majority(self.votes):
            self._elect(now)
            return
        self._tell(PreVoteRequest(self.term + 1, self.last_index, self.term_at(self.last_index)))

    def _elect(self, now: int) -> None:
        """Hold an election in a new term."""
        self.term += 1
        self.voted_for = self.name
        self._dirty = True
        self.role = CANDIDATE
        self.votes = {self.name}
        self.due = now + self._patience()
        if self.majority(self.votes):
            self._lead(now)
            return
        self._tell(VoteRequest(self.term, self.last_index, self.term_at(self.last_index)))

    def _check_quorum(self, now: int) -> None:
        """A leader that no majority answers is none: it must not keep others from electing."""
        patience = 2 * self.timing.election_timeout_ns
        lately = {v for v, at in self.last_heard_at.items() if now - at <= patience} | {self.name}
        if not self.majority(lately):
            self._follow(now, self.term, "")

    def _hears_a_leader(self, now: int) -> bool:
        if self.role == LEADER:
            return True
        return bool(self.leader) and now - self.leader_heard_at < self.timing.election_timeout_ns

    def _is_log_up_to_date(self, last_term: int, last: int) -> bool:
        """Whether another's log is at least as new as ours (Ongaro, 3.6.1)."""
        return (last_term, last) >= (self.term_at(self.last_index), self.last_index)

    def _pre_vote(self, now: int, sender: str, message: PreVoteRequest) -> None:
        granted = (
            message.term > self.term
            and self._is_log_up_to_date(message.last_term, message.last_index)
            and not self._hears_a_leader(now)
        )
        term = message.term if granted else self.term
        self._post(sender, PreVoteReply(term, granted))

    def _pre_voted(self, now: int, sender: str, message: PreVoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._follow(now, message.term, "")
        elif self.role == PRE_CANDIDATE and message.granted and message.term == self.term + 1:
            self.votes.add(sender)
            if self.majority(self.votes):
                self._elect(now)

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
                self._dirty = True
            self.due = now + self._patience()
        self._post(sender, VoteReply(self.term, granted))

    def _voted(self, now: int, sender: str, message: VoteReply) -> None:
        if self.role == CANDIDATE and message.term == self.term and message.granted:
            self.votes.add(sender)
            if self.majority(self.votes):
                self._lead(now)
