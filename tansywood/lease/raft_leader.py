"""What a leader does: entries to the others, what a majority keeps, changes of voters. Pure."""

from __future__ import annotations

from tansywood.lease.log import (
    COMMAND,
    NOOP,
    VOTERS,
    Append,
    Appended,
    Entry,
    Install,
    voters_entry,
)
from tansywood.lease.raft_state import FOLLOWER, LEADER, RaftState


class Leader(RaftState):
    """The sending end of replication (Ongaro, 3.5, 3.6, 4.1 and 6.4)."""

    def _lead(self, now: int) -> None:
        """An election is won."""
        self.role = LEADER
        self.leader = self.name
        self.led_since = now
        self.learners = ()
        self.match = dict.fromkeys(self.voters, 0)
        self.next = dict.fromkeys(self.voters, self.last + 1)
        self.acked = {}
        self.heard = dict.fromkeys(self.voters, now)
        # What earlier terms left is committed with this one and not before (Ongaro, 3.6.2).
        self._append(Entry(self.term, NOOP))
        self.led_from = self.last
        self.beat(now)

    @property
    def settled(self) -> bool:
        """Whether this one leads and an entry of its own term is committed."""
        return self.role == LEADER and self.commit >= self.led_from

    # ---- entries -----------------------------------------------------------------------------

    def propose(self, data: bytes) -> int:
        """The place that a command gets if it is ever committed; 0 where this one does not lead.
        It leaves with the next heartbeat or round: whoever has several proposes them all first."""
        if self.role != LEADER:
            return 0
        self._append(Entry(self.term, COMMAND, data))
        return self.last

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == VOTERS:
            self._voters = None
        self._dirty = True
        self.match[self.name] = self.last
        self._advance()

    def _advance(self) -> None:
        """Commit what a majority keeps, and only entries of this term by count."""
        if self.role != LEADER:
            return
        voters = self.voters
        if not voters:
            return
        # The highest that a majority keeps: of n voters the (n // 2 + 1)-th from above.
        index = sorted((self.match.get(v, 0) for v in voters), reverse=True)[len(voters) // 2]
        if index > self.commit and self.term_at(index) == self.term:
            self.commit = index
            if self.name not in voters and not self._changing():
                self.role = FOLLOWER  # its own removal is committed
                self.leader = ""

    # ---- heartbeats and rounds ---------------------------------------------------------------

    def beat(self, now: int) -> None:
        """Send everybody what it lacks, or a heartbeat: one more round."""
        self.round += 1
        self.due = now + self.timing.beat
        for voter in (*self.voters, *self.learners):
            if voter != self.name:
                self._send(voter)

    def begin_round(self, now: int) -> int:
        """A round of heartbeats; `confirmed` says when a majority has acknowledged it."""
        self.beat(now)
        return self.round

    def confirmed(self, round_: int) -> bool:
        """Whether this one surely led at some time after that round was begun."""
        done = {v for v, at in self.acked.items() if at >= round_} | {self.name}
        return self.settled and self.majority(done)

    def _send(self, voter: str) -> None:
        """The next entries for one voter, or the snapshot where they went into it."""
        begin = self.next.setdefault(voter, self.last + 1)
        prev = begin - 1
        if prev < self.snapshot.index:
            self._post(voter, Install(self.term, self.snapshot, self.round))
            return
        at = prev - self.snapshot.index
        some = tuple(self.entries[at : at + self.timing.batch])
        self._post(
            voter, Append(self.term, prev, self.term_at(prev), some, self.commit, self.round)
        )
        # Taken for arrived: where it was lost the next one shows it, and this goes back.
        self.next[voter] = prev + len(some) + 1

    def _appended(self, now: int, sender: str, message: Appended) -> None:
        """An acknowledgement or a refusal of this term."""
        self.heard[sender] = now
        self.acked[sender] = max(self.acked.get(sender, 0), message.round)
        if not message.ok:
            # It gets what it lacks with the next heartbeat: an answer to each refusal, of which
            # late ones bring many, would send the same entries over and over.
            self.next[sender] = max(min(message.match + 1, self.next.get(sender, 1)), 1)
            return
        if message.match > self.match.get(sender, 0):
            self.match[sender] = message.match
            self._advance()
        self.next[sender] = max(self.next.get(sender, 1), self.match[sender] + 1)
        if self.next[sender] <= self.last:
            self._send(sender)

    # ---- voters ------------------------------------------------------------------------------

    def _changing(self) -> bool:
        """Whether a change of voters is under way: one at a time."""
        return any(
            e.kind == VOTERS for e in self.entries[max(self.commit - self.snapshot.index, 0) :]
        )

    def change_voters(self, now: int, voters: tuple[str, ...]) -> str:
        """Take one voter in or out; says why not, or nothing.

        Refused while another change is not committed, or before an entry of this leader's own
        term is: two leaders that each change one voter could have majorities that do not meet.
        """
        if self.role != LEADER:
            return "not the leader"
        if not self.settled:
            return "nothing of this term is committed yet"
        if self._changing():
            return "another change is under way"
        if len(set(voters) ^ set(self.voters)) != 1:
            return "voters change one at a time"
        if not voters:
            return "the last voter can't go"
        for voter in voters:
            self.next.setdefault(voter, self.last + 1)
            self.match.setdefault(voter, 0)
            self.heard.setdefault(voter, now)
        self._append(voters_entry(self.term, voters))
        self.learners = tuple(v for v in self.learners if v not in voters)
        self.beat(now)
        return ""

    def teach(self, now: int, learner: str) -> None:
        """Bring one that is to become a voter up to date first."""
        if self.role == LEADER and learner not in (*self.voters, *self.learners):
            self.learners = (*self.learners, learner)
            self.next[learner] = self.last + 1
            self.match[learner] = 0
            self.heard[learner] = now
            self.beat(now)

    def caught_up(self, learner: str) -> bool:
        """Whether it keeps all that is committed."""
        return self.role == LEADER and self.match.get(learner, 0) >= self.commit
