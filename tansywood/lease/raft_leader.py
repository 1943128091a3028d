"""What a leader does: entries to the others, what a majority keeps, changes of voters. Pure."""

from __future__ import annotations

from tansywood.lease.log import (
    COMMAND,
    NOOP,
    VOTERS,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    encode_voters,
)
from tansywood.lease.raft_state import FOLLOWER, LEADER, RaftState


class Leader(RaftState):
    """The sending end of replication (Ongaro, 3.5, 3.6, 4.1 and 6.4)."""

    def _lead(self, now: int) -> None:
        """An election is won."""
        self.role = LEADER
        self.leader = self.name
        self.elected_at = now
        self.learners = ()
        self.match_index = dict.fromkeys(self.voters, 0)
        self.next_index = dict.fromkeys(self.voters, self.last_index + 1)
        self.acknowledged_round = {}
        self.last_heard_at = dict.fromkeys(self.voters, now)
        # What earlier terms left is committed with this one and not before (Ongaro, 3.6.2).
        self._append(Entry(self.term, NOOP))
        self.first_own_index = self.last_index
        self.send_heartbeats(now)

    @property
    def is_ready_leader(self) -> bool:
        """Whether this one leads and an entry of its own term is committed."""
        return self.role == LEADER and self.commit_index >= self.first_own_index

    # ---- entries -----------------------------------------------------------------------------

    def propose(self, data: bytes) -> int:
        """The place that a command gets if it is ever committed; 0 where this one does not lead.
        It leaves with the next heartbeat or round: whoever has several proposes them all first."""
        if self.role != LEADER:
            return 0
        self._append(Entry(self.term, COMMAND, data))
        return self.last_index

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == VOTERS:
            self._voters = None
        self._dirty = True
        self.match_index[self.name] = self.last_index
        self._advance()

    def _advance(self) -> None:
        """Commit what a majority keeps, and only entries of this term by count."""
        if self.role != LEADER:
            return
        voters = self.voters
        if not voters:
            return
        # The highest that a majority keeps: of n voters the (n // 2 + 1)-th from above.
        index = sorted((self.match_index.get(v, 0) for v in voters), reverse=True)[len(voters) // 2]
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index
            if self.name not in voters and not self._changing():
                self.role = FOLLOWER  # its own removal is committed
                self.leader = ""

    # ---- heartbeats and rounds ---------------------------------------------------------------

    def send_heartbeats(self, now: int) -> None:
        """Send everybody what it lacks, or a heartbeat: one more round."""
        self.round += 1
        self.due = now + self.timing.heartbeat_interval_ns
        for voter in (*self.voters, *self.learners):
            if voter != self.name:
                self._send(voter)

    def begin_round(self, now: int) -> int:
        """A round of heartbeats; `confirmed` says when a majority has acknowledged it."""
        self.send_heartbeats(now)
        return self.round

    def is_round_confirmed(self, round_: int) -> bool:
        """Whether this one surely led at some time after that round was begun."""
        done = {v for v, at in self.acknowledged_round.items() if at >= round_} | {self.name}
        return self.is_ready_leader and self.majority(done)

    def _send(self, voter: str) -> None:
        """The next entries for one voter, or the snapshot where they went into it."""
        begin = self.next_index.setdefault(voter, self.last_index + 1)
        prev = begin - 1
        if prev < self.snapshot.index:
            self._post(voter, InstallSnapshot(self.term, self.snapshot, self.round))
            return
        at = prev - self.snapshot.index
        some = tuple(self.entries[at : at + self.timing.max_batch_entries])
        self._post(
            voter,
            AppendEntries(self.term, prev, self.term_at(prev), some, self.commit_index, self.round),
        )
        # Taken for arrived: where it was lost the next one shows it, and this goes back.
        self.next_index[voter] = prev + len(some) + 1

    def _appended(self, now: int, sender: str, message: AppendEntriesReply) -> None:
        """An acknowledgement or a refusal of this term."""
        self.last_heard_at[sender] = now
        self.acknowledged_round[sender] = max(self.acknowledged_round.get(sender, 0), message.round)
        if not message.ok:
            # It gets what it lacks with the next heartbeat: an answer to each refusal, of which
            # late ones bring many, would send the same entries over and over.
            self.next_index[sender] = max(
                min(message.match_index + 1, self.next_index.get(sender, 1)), 1
            )
            return
        if message.match_index > self.match_index.get(sender, 0):
            self.match_index[sender] = message.match_index
            self._advance()
        self.next_index[sender] = max(self.next_index.get(sender, 1), self.match_index[sender] + 1)
        if self.next_index[sender] <= self.last_index:
            self._send(sender)

    # ---- voters ------------------------------------------------------------------------------

    def _changing(self) -> bool:
        """Whether a change of voters is under way: one at a time."""
        return any(
            e.kind == VOTERS
            for e in self.entries[max(self.commit_index - self.snapshot.index, 0) :]
        )

    def change_voters(self, now: int, voters: tuple[str, ...]) -> str:
        """Take one voter in or out; says why not, or nothing.

        Refused while another change is not committed, or before an entry of this leader's own
        term is: two leaders that each change one voter could have majorities that do not meet.
        """
        if self.role != LEADER:
            return "not the leader"
        if not self.is_ready_leader:
            return "nothing of this term is committed yet"
        if self._changing():
            return "another change is under way"
        if len(set(voters) ^ set(self.voters)) != 1:
            return "voters change one at a time"
        if not voters:
            return "the last voter can't go"
        for voter in voters:
            self.next_index.setdefault(voter, self.last_index + 1)
            self.match_index.setdefault(voter, 0)
            self.last_heard_at.setdefault(voter, now)
        self._append(encode_voters(self.term, voters))
        self.learners = tuple(v for v in self.learners if v not in voters)
        self.send_heartbeats(now)
        return ""

    def add_learner(self, now: int, learner: str) -> None:
        """Bring one that is to become a voter up to date first."""
        if self.role == LEADER and learner not in (*self.voters, *self.learners):
            self.learners = (*self.learners, learner)
            self.next_index[learner] = self.last_index + 1
            self.match_index[learner] = 0
            self.last_heard_at[learner] = now
            self.send_heartbeats(now)

    def is_caught_up(self, learner: str) -> bool:
        """Whether it keeps all that is committed."""
        return self.role == LEADER and self.match_index.get(learner, 0) >= self.commit_index
