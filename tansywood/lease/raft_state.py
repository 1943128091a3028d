"""One voter's log and role, and the output of its calls: state to save, messages to send, entries
to apply. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from tansywood.lease.log import VOTERS, Entry, Message, PersistentState, Snapshot, decode_voters

MS = 1_000_000
FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of Raft. They decide how soon a leader is replaced; safety does not depend on them.

    Raises ValueError where the election timeout is shorter than two heartbeat intervals.
    """

    heartbeat_interval_ns: int = 100 * MS
    election_timeout_ns: int = 500 * MS  # lower bound; the upper bound is twice this
    max_batch_entries: int = 64  # most entries in one message

    def __post_init__(self) -> None:
        if not 0 < 2 * self.heartbeat_interval_ns <= self.election_timeout_ns:
            raise ValueError("the election timeout has to be at least two heartbeat intervals")


@dataclass(slots=True)
class RaftOutput:
    """The output of one or several calls: save the state, then send the messages, then install the
    snapshot and apply the committed entries."""

    saved: PersistentState | None = None  # None: the persistent state did not change
    sends: list[tuple[str, Message]] = field(default_factory=list)
    committed: list[tuple[int, Entry]] = field(default_factory=list)
    installed: Snapshot | None = None  # to be installed before `committed` is applied


class RaftState:
    """The state of one voter, or of a learner that is to become a voter."""

    def __init__(
        self, name: str, saved: PersistentState, timing: Timing, rng: Random, now: int
    ) -> None:
        self.name = name
        self.timing = timing
        self.rng = rng
        # Persistent state:
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.snapshot = saved.snapshot
        self.entries: list[Entry] = list(saved.entries)
        # Volatile state of every role:
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = self.snapshot.index
        self.applied = self.snapshot.index
        self.leader_heard_at = -(1 << 62)  # time of a leader's last message
        self.votes: set[str] = set()
        # Volatile state of a leader, by voter or learner where it is a dictionary:
        self.match_index: dict[str, int] = {}
        self.next_index: dict[str, int] = {}
        self.acknowledged_round: dict[str, int] = {}  # the latest round that was acknowledged
        self.last_heard_at: dict[str, int] = {}
        self.round = 0
        self.learners: tuple[str, ...] = ()
        self.elected_at = 0
        self.first_own_index = 0  # index of the first entry of the leader's own term
        self._has_unsaved_state = False
        self._voters: tuple[str, ...] | None = None  # cache; None after the log was changed
        self._out = RaftOutput()
        self.due = now + self._draw_election_timeout()
        if self.snapshot.index:
            self._out.installed = self.snapshot

    # ---- the log -----------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.snapshot.index + len(self.entries)

    def _list_position(self, index: int) -> int:
        """The position in `entries` of the log entry at this index."""
        return index - self.snapshot.index - 1

    def term_at(self, index: int) -> int:
        """The term of the entry at this index; -1 where the log does not hold the index. The
        snapshot's last index counts as held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.snapshot.index or index > self.last_index:
            return -1
        return self.entries[self._list_position(index)].term

    def entry(self, index: int) -> Entry:
        """The entry at this index, which has to be in the log and after the snapshot."""
        return self.entries[self._list_position(index)]

    @property
    def voters(self) -> tuple[str, ...]:
        """The membership by the latest entry of kind VOTERS, committed or not (Ongaro, 4.1)."""
        if self._voters is None:
            self._voters = next(
                (decode_voters(e) for e in reversed(self.entries) if e.kind == VOTERS),
                self.snapshot.voters,
            )
        return self._voters

    def majority(self, ids: Iterable[str]) -> bool:
        """Whether more than half of the voters are among these ids."""
        voters = self.voters
        return 2 * len(set(ids) & set(voters)) > len(voters)

    def persistent_state(self) -> PersistentState:
        """The state that has to be on the disk before any message is sent."""
        return PersistentState(self.term, self.voted_for, self.snapshot, tuple(self.entries))

    def take(self) -> RaftOutput:
        """The output of all calls since the last `take`."""
        out, self._out = self._out, RaftOutput()
        if self._has_unsaved_state:
            self._has_unsaved_state = False
            out.saved = self.persistent_state()
        while self.applied < self.commit_index:
            self.applied += 1
            out.committed.append((self.applied, self.entry(self.applied)))
        return out

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot. This is for the founder of a group of voters."""
        self.entries.clear()
        self._replace_snapshot(snapshot)

    def _replace_snapshot(self, snapshot: Snapshot) -> None:
        """Begins the log after another snapshot, which counts as committed and applied."""
        self.snapshot = snapshot
        self.commit_index = self.applied = snapshot.index
        self._log_changed()

    def _log_changed(self) -> None:
        """Records that entries were removed or came from another voter. The membership may have
        changed with them, so its cache is dropped."""
        self._voters = None
        self._has_unsaved_state = True

    def compact(self, index: int, data: bytes) -> None:
        """Replaces all entries up to `index` by a snapshot with this data. An index that is not
        applied yet, or is in the snapshot already, changes nothing."""
        if not self.snapshot.index < index <= self.applied:
            return
        voters = self.snapshot.voters
        for entry in self.entries[: index - self.snapshot.index]:
            if entry.kind == VOTERS:
                voters = decode_voters(entry)
        term = self.term_at(index)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = Snapshot(index, term, voters, data)
        self._has_unsaved_state = True

    # ---- the role ----------------------------------------------------------------------------

    def _draw_election_timeout(self) -> int:
        """A random time to wait for a leader before an election. The randomness makes it unlikely
        that two voters stand for election at once."""
        return self.timing.election_timeout_ns + int(
            self.rng.random() * self.timing.election_timeout_ns
        )

    def _become_follower(self, now: int, term: int, leader: str) -> None:
        """Becomes a follower in this term; `leader` is empty where the leader is not known."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._has_unsaved_state = True
        if self.role != FOLLOWER or leader:
            self.due = now + self._draw_election_timeout()
        self.role = FOLLOWER
        self.leader = leader

    # ---- sending -----------------------------------------------------------------------------

    def _send(self, to: str, message: Message) -> None:
        """Sends one message."""
        self._out.sends.append((to, message))

    def _send_to_voters(self, message: Message) -> None:
        """Sends a message to all other voters."""
        for voter in self.voters:
            if voter != self.name:
                self._send(voter, message)
