"""A replicated log: Raft with pre-vote, check of quorum and changes of one voter. Pure.

Ongaro: "Consensus: Bridging Theory and Practice" (2014), chapters 3 (the core), 4.1 and 4.2.3
(changes of voters, and voters that are not heard of), 6.4 (rounds that confirm a leader without the
log), 9.6 (pre-vote).

Every call may change what has to be kept. `take()` hands over what to keep and what to send, in
that order: nothing may be sent, and nothing be told as committed, before it is synced. Where
keeping it fails, the process has to end as if it had crashed before the call.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from tansywood.lease.log import (
    COMMAND,
    NOOP,
    VOTERS,
    Append,
    Appended,
    Entry,
    Install,
    Message,
    PreVote,
    PreVoted,
    Saved,
    Snapshot,
    Vote,
    Voted,
    voters_entry,
    voters_of,
)

MS = 1_000_000
FOLLOWER, ASKING, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Nanoseconds. The log is safe whatever they are; they only say how soon it goes on."""

    beat: int = 100 * MS
    election: int = 500 * MS  # to twice that, drawn anew each time
    batch: int = 64  # entries in one message

    def __post_init__(self) -> None:
        if not 0 < 2 * self.beat <= self.election:
            raise ValueError("an election has to wait for two heartbeats at least")


@dataclass(slots=True)
class Out:
    """What one or several calls ask for, in this order: keep, send, apply."""

    saved: Saved | None = None  # None: nothing new to keep
    sends: list[tuple[str, Message]] = field(default_factory=list)
    committed: list[tuple[int, Entry]] = field(default_factory=list)
    installed: Snapshot | None = None  # it goes before what is committed


class Raft:
    """One voter, or one that is to become one."""

    def __init__(self, name: str, saved: Saved, timing: Timing, rng: Random, now: int) -> None:
        self.name = name
        self.timing = timing
        self.rng = rng
        self.term = saved.term
        self.vote = saved.vote
        self.snapshot = saved.snapshot
        self.entries: list[Entry] = list(saved.entries)
        self.role = FOLLOWER
        self.leader = ""
        self.commit = self.snapshot.index
        self.applied = self.snapshot.index
        self.heard_at = -(1 << 62)  # of a leader that lives
        self.votes: set[str] = set()
        self.match: dict[str, int] = {}
        self.next: dict[str, int] = {}
        self.acked: dict[str, int] = {}  # the latest round each has acknowledged
        self.heard: dict[str, int] = {}  # when, of each, by a leader
        self.round = 0
        self.learners: tuple[str, ...] = ()
        self.led_since = 0
        self.led_from = 0  # the index of the leader's own first entry
        self._dirty = False
        self._voters: tuple[str, ...] | None = None  # worked out anew where the log was changed
        self._out = Out()
        self.due = now + self._patience()
        if self.snapshot.index:
            self._out.installed = self.snapshot

    # ---- the log -----------------------------------------------------------------------------

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int:
        """Of an entry that is there, or of the snapshot's last; -1 of what is before it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last:
            return -1
        return self.entries[index - self.snapshot.index - 1].term

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    @property
    def voters(self) -> tuple[str, ...]:
        """By the latest entry about them, committed or not (Ongaro, 4.1)."""
        if self._voters is None:
            self._voters = next(
                (voters_of(e) for e in reversed(self.entries) if e.kind == VOTERS),
                self.snapshot.voters,
            )
        return self._voters

    def majority(self, some: Iterable[str]) -> bool:
        voters = self.voters
        return 2 * len(set(some) & set(voters)) > len(voters)

    def state(self) -> Saved:
        return Saved(self.term, self.vote, self.snapshot, tuple(self.entries))

    def take(self) -> Out:
        """What to keep, send and apply since the last take."""
        out, self._out = self._out, Out()
        if self._dirty:
            self._dirty = False
            out.saved = self.state()
        while self.applied < self.commit:
            self.applied += 1
            out.committed.append((self.applied, self.entry(self.applied)))
        return out

    def begin_at(self, snapshot: Snapshot) -> None:
        """Go on from here, whatever the log held: for who founds a group of voters."""
        self.snapshot = snapshot
        self.entries.clear()
        self.commit = self.applied = snapshot.index
        self._voters = None
        self._dirty = True

    def compact(self, index: int, data: bytes) -> None:
        """`data` is what all entries up to `index` came to; they may go. Only what is applied."""
        if not self.snapshot.index < index <= self.applied:
            return
        voters = self.snapshot.voters
        for entry in self.entries[: index - self.snapshot.index]:
            if entry.kind == VOTERS:
                voters = voters_of(entry)
        term = self.term_at(index)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = Snapshot(index, term, voters, data)
        self._dirty = True

    # ---- time --------------------------------------------------------------------------------

    def _patience(self) -> int:
        return self.timing.election + int(self.rng.random() * self.timing.election)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        if self.role == LEADER:
            # Not only when a heartbeat is due: rounds that others ask for put that off for ever.
            self._check_quorum(now)
        if now < self.due:
            return
        if self.role == LEADER:
            self.beat(now)
            return
        self.campaign(now)

    def campaign(self, now: int) -> None:
        """Ask whether an election could be won; if it could, hold it."""
        self.due = now + self._patience()
        if self.name not in self.voters:
            return
        self.role = ASKING
        self.leader = ""
        self.votes = {self.name}
        if self.majority(self.votes):
            self._elect(now)
            return
        ask = PreVote(self.term + 1, self.last, self.term_at(self.last))
        self._tell(ask)

    def _elect(self, now: int) -> None:
        self.term += 1
        self.vote = self.name
        self._dirty = True
        self.role = CANDIDATE
        self.votes = {self.name}
        self.due = now + self._patience()
        if self.majority(self.votes):
            self._lead(now)
            return
        self._tell(Vote(self.term, self.last, self.term_at(self.last)))

    def _lead(self, now: int) -> None:
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

    def _check_quorum(self, now: int) -> None:
        """A leader that no majority answers is none: it must not keep others from electing."""
        patience = 2 * self.timing.election
        lately = {v for v, at in self.heard.items() if now - at <= patience} | {self.name}
        if not self.majority(lately):
            self._follow(now, self.term, "")

    def _follow(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self.term = term
            self.vote = ""
            self._dirty = True
        if self.role != FOLLOWER or leader:
            self.due = now + self._patience()
        self.role = FOLLOWER
        self.leader = leader

    def _tell(self, message: Message) -> None:
        for voter in self.voters:
            if voter != self.name:
                self._out.sends.append((voter, message))

    # ---- the leader's ------------------------------------------------------------------------

    @property
    def settled(self) -> bool:
        """Whether this one leads and an entry of its own term is committed."""
        return self.role == LEADER and self.commit >= self.led_from

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

    def begin_round(self, now: int) -> int:
        """A round of heartbeats; `confirmed` says when a majority has acknowledged it."""
        self.beat(now)
        return self.round

    def confirmed(self, round_: int) -> bool:
        """Whether this one surely led at some time after that round was begun."""
        done = {v for v, at in self.acked.items() if at >= round_} | {self.name}
        return self.settled and self.majority(done)

    def beat(self, now: int) -> None:
        self.round += 1
        self.due = now + self.timing.beat
        for voter in (*self.voters, *self.learners):
            if voter != self.name:
                self._send(voter)

    def _send(self, voter: str) -> None:
        begin = self.next.setdefault(voter, self.last + 1)
        prev = begin - 1
        if prev < self.snapshot.index:
            self._out.sends.append((voter, Install(self.term, self.snapshot, self.round)))
            return
        at = prev - self.snapshot.index
        some = tuple(self.entries[at : at + self.timing.batch])
        message = Append(self.term, prev, self.term_at(prev), some, self.commit, self.round)
        self._out.sends.append((voter, message))
        # Taken for arrived: where it was lost the next one shows it, and this goes back.
        self.next[voter] = prev + len(some) + 1

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
        return self.role == LEADER and self.match.get(learner, 0) >= self.commit

    # ---- what others say ---------------------------------------------------------------------

    def receive(self, now: int, sender: str, message: Message) -> None:
        """A message of another, late, doubled or out of order as it may be."""
        if isinstance(message, PreVote):
            self._pre_vote(now, sender, message)
            return
        if isinstance(message, PreVoted):
            self._pre_voted(now, sender, message)
            return
        if isinstance(message, Vote) and self._hears_a_leader(now):
            return  # one that is cut off, or was taken out, must not unseat it (Ongaro, 4.2.3)
        if message.term > self.term:
            self._follow(now, message.term, "")
        if isinstance(message, Vote):
            self._vote(now, sender, message)
        elif isinstance(message, Voted):
            if self.role == CANDIDATE and message.term == self.term and message.granted:
                self.votes.add(sender)
                if self.majority(self.votes):
                    self._lead(now)
        elif isinstance(message, Append):
            self._appending(now, sender, message)
        elif isinstance(message, Install):
            self._installing(now, sender, message)
        elif self.role == LEADER and message.term == self.term:
            self._appended(now, sender, message)

    def _hears_a_leader(self, now: int) -> bool:
        if self.role == LEADER:
            return True
        return bool(self.leader) and now - self.heard_at < self.timing.election

    def _newer(self, last_term: int, last: int) -> bool:
        """Whether another's log is at least as new as ours (Ongaro, 3.6.1)."""
        return (last_term, last) >= (self.term_at(self.last), self.last)

    def _pre_vote(self, now: int, sender: str, message: PreVote) -> None:
        granted = (
            message.term > self.term
            and self._newer(message.last_term, message.last)
            and not self._hears_a_leader(now)
        )
        term = message.term if granted else self.term
        self._out.sends.append((sender, PreVoted(term, granted)))

    def _pre_voted(self, now: int, sender: str, message: PreVoted) -> None:
        if not message.granted and message.term > self.term:
            self._follow(now, message.term, "")
        elif self.role == ASKING and message.granted and message.term == self.term + 1:
            self.votes.add(sender)
            if self.majority(self.votes):
                self._elect(now)

    def _vote(self, now: int, sender: str, message: Vote) -> None:
        granted = (
            message.term == self.term
            and self.vote in ("", sender)
            and self.role == FOLLOWER
            and self._newer(message.last_term, message.last)
        )
        if granted:
            if not self.vote:
                self.vote = sender
                self._dirty = True
            self.due = now + self._patience()
        self._out.sends.append((sender, Voted(self.term, granted)))

    def _heed(self, now: int, sender: str) -> None:
        self._follow(now, self.term, sender)
        self.heard_at = now

    def _appending(self, now: int, sender: str, message: Append) -> None:
        if message.term < self.term:
            self._out.sends.append((sender, Appended(self.term, False, 0, message.round)))
            return
        self._heed(now, sender)
        prev, entries = message.prev, message.entries
        if prev < self.snapshot.index:
            # The beginning is in our snapshot, and what is in it was committed: it is the same.
            skip = min(self.snapshot.index - prev, len(entries))
            prev, entries = prev + skip, entries[skip:]
            if prev < self.snapshot.index:
                self._out.sends.append(
                    (sender, Appended(self.term, True, self.snapshot.index, message.round))
                )
                return
        elif self.term_at(prev) != message.prev_term:
            hint = min(prev - 1, self.last) if prev else 0
            hint = max(hint, self.commit)
            self._out.sends.append((sender, Appended(self.term, False, hint, message.round)))
            return
        for at, entry in enumerate(entries):
            index = prev + 1 + at
            if index <= self.last and self.term_at(index) == entry.term:
                continue
            del self.entries[index - self.snapshot.index - 1 :]
            self.entries.extend(entries[at:])
            self._voters = None
            self._dirty = True
            break
        match = prev + len(entries)
        self.commit = max(self.commit, min(message.commit, match))
        self._out.sends.append((sender, Appended(self.term, True, match, message.round)))

    def _installing(self, now: int, sender: str, message: Install) -> None:
        if message.term < self.term:
            self._out.sends.append((sender, Appended(self.term, False, 0, message.round)))
            return
        self._heed(now, sender)
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            if self.term_at(snapshot.index) == snapshot.term:
                del self.entries[: snapshot.index - self.snapshot.index]
            else:
                self.entries.clear()
            self.snapshot = snapshot
            self.commit = self.applied = snapshot.index
            self._out.installed = snapshot
            self._voters = None
            self._dirty = True
        match = min(max(self.commit, snapshot.index), self.last)
        self._out.sends.append((sender, Appended(self.term, True, match, message.round)))

    def _appended(self, now: int, sender: str, message: Appended) -> None:
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
