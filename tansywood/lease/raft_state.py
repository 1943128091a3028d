"""One voter's log and role, and what its calls ask to be kept, sent and applied. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from tansywood.lease.log import VOTERS, Entry, Message, PersistentState, Snapshot, decode_voters

MS = 1_000_000
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Nanoseconds. The log is safe whatever they are; they only say how soon it goes on."""

    heartbeat_interval_ns: int = 100 * MS
    election_timeout_ns: int = 500 * MS  # to twice that, drawn anew each time
    max_batch_entries: int = 64  # entries in one message

    def __post_init__(self) -> None:
        if not 0 < 2 * self.heartbeat_interval_ns <= self.election_timeout_ns:
            raise ValueError("an election has to wait for two heartbeats at least")


@dataclass(slots=True)
class RaftOutput:
    """What one or several calls ask for, in this order: keep, send, apply."""

    saved: PersistentState | None = None  # None: nothing new to keep
    sends: list[tuple[str, Message]] = field(default_factory=list)
    committed: list[tuple[int, Entry]] = field(default_factory=list)
    installed: Snapshot | None = None  # it goes before what is committed


class RaftState:
    """One voter, or one that is to become one."""

    def __init__(
        self, name: str, saved: PersistentState, timing: Timing, rng: Random, now: int
    ) -> None:
        self.name = name
        self.timing = timing
        self.rng = rng
        # Kept on the disk:
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.snapshot = saved.snapshot
        self.entries: list[Entry] = list(saved.entries)
        # In memory, of every role:
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = self.snapshot.index
        self.applied = self.snapshot.index
        self.leader_heard_at = -(1 << 62)  # of a leader that lives
        self.votes: set[str] = set()
        # A leader's:
        self.match_index: dict[str, int] = {}
        self.next_index: dict[str, int] = {}
        self.acknowledged_round: dict[str, int] = {}  # the latest round each has acknowledged
        self.last_heard_at: dict[str, int] = {}  # when, of each, by a leader
        self.round = 0
        self.learners: tuple[str, ...] = ()
        self.elected_at = 0
        self.first_own_index = 0  # the index of the leader's own first entry
        self._dirty = False  # something is to be kept
        self._voters: tuple[str, ...] | None = None  # worked out anew where the log was changed
        self._out = RaftOutput()
        self.due = now + self._patience()
        if self.snapshot.index:
            self._out.installed = self.snapshot

    # ---- the log -----------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def _position(self, index: int) -> int:
        """In `entries`, of the entry at this index."""
        return index - self.snapshot.index - 1

    def term_at(self, index: int) -> int:
        """Of an entry that is there, or of the snapshot's last; -1 of what is before it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last_index:
            return -1
        return self.entries[self._position(index)].term

    def entry(self, index: int) -> Entry:
        """One that is there."""
        return self.entries[self._position(index)]

    @property
    def voters(self) -> tuple[str, ...]:
        """By the latest entry about them, committed or not (Ongaro, 4.1)."""
        if self._voters is None:
            self._voters = next(
                (decode_voters(e) for e in reversed(self.entries) if e.kind == VOTERS),
                self.snapshot.voters,
            )
        return self._voters

    def majority(self, some: Iterable[str]) -> bool:
        """Whether more than half of the voters are among these."""
        voters = self.voters
        return 2 * len(set(some) & set(voters)) > len(voters)

    def state(self) -> PersistentState:
        """What is to be kept."""
        return PersistentState(self.term, self.voted_for, self.snapshot, tuple(self.entries))

    def take(self) -> RaftOutput:
        """What to keep, send and apply since the last take."""
        out, self._out = self._out, RaftOutput()
        if self._dirty:
            self._dirty = False
            out.saved = self.state()
        while self.applied < self.commit_index:
            self.applied += 1
            out.committed.append((self.applied, self.entry(self.applied)))
        return out

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Go on from here, whatever the log held: for who founds a group of voters."""
        self.entries.clear()
        self._replace_snapshot(snapshot)

    def _replace_snapshot(self, snapshot: Snapshot) -> None:
        """Begin the log behind another snapshot, which is committed and applied."""
        self.snapshot = snapshot
        self.commit_index = self.applied = snapshot.index
        self._log_changed()

    def _log_changed(self) -> None:
        """Entries went, or came from another: who votes may be another's word too."""
        self._voters = None
        self._dirty = True

    def compact(self, index: int, data: bytes) -> None:
        """`data` is what all entries up to `index` came to; they may go. Only what is applied."""
        if not self.snapshot.index < index <= self.applied:
            return
        voters = self.snapshot.voters
        for entry in self.entries[: index - self.snapshot.index]:
            if entry.kind == VOTERS:
                voters = decode_voters(entry)
        term = self.term_at(index)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = Snapshot(index, term, voters, data)
        self._dirty = True

    # ---- the role ----------------------------------------------------------------------------

    def _patience(self) -> int:
        """How long to wait for a leader before an election, drawn anew."""
        return self.timing.election_timeout_ns + int(
            self.rng.random() * self.timing.election_timeout_ns
        )

    def _follow(self, now: int, term: int, leader: str) -> None:
        """Be a follower in this term, of this leader if it is known."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._dirty = True
        if self.role != FOLLOWER or leader:
            self.due = now + self._patience()
        self.role = FOLLOWER
        self.leader = leader

    # ---- sending -----------------------------------------------------------------------------

    def _post(self, to: str, message: Message) -> None:
        """Send one message."""
        self._out.sends.append((to, message))

    def _tell(self, message: Message) -> None:
        """Send it to all other voters."""
        for voter in self.voters:
            if voter != self.name:
                self._post(voter, message)
