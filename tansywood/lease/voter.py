"""One voter on a slow disk. Pure: the caller writes to the disk, sends the messages and reports
when a write is complete.

Raft's messages wait until the state that they depend on is on the disk. Raft continues while a
write is under way: all changes of that time become one further write, and their messages are sent
when that write is complete. A voter whose disk takes five seconds therefore only replies late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random

from tansywood.lease.disk import DiskContents, plan_write
from tansywood.lease.log import Message, PersistentState, Snapshot
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import LEADER, Raft, Timing
from tansywood.lease.service import LeaseService
from tansywood.lease.table import LeaseTable, TableChange
from tansywood.lease.terms import LeaseTerms
from tansywood.store.engine import Batch

# Messages that may wait for the disk. Beyond this the oldest are dropped, as a network may drop
# them.
MAX_WAITING_MESSAGES = 4096
Send = tuple[str, Message | LeaseReply]


class Voter:
    """One voter from the time its disk was read until the process ends or the disk fails."""

    def __init__(
        self,
        kept: DiskContents,
        terms: LeaseTerms,
        timing: Timing,
        rng: Random,
        now: int,
        snapshot_every: int = 4096,
    ) -> None:
        self.kept = kept
        self.group = kept.group
        self.known_saves = dict(kept.known_saves)  # saves reported by other voters, by id
        self.service = LeaseService(
            Raft(kept.id, kept.saved, timing, rng, now), terms, snapshot_every
        )
        self.service.on_change = self._record_change
        self.changes: list[TableChange] = []
        self.granted_at: dict[str, int] = {}  # time at which this voter applied the grant
        self._now = now
        self._unsaved: PersistentState | None = None  # state of the next write
        self._writing: tuple[DiskContents, deque[Send]] | None = None
        # Messages that may be sent once `_unsaved` and `_writing` are on the disk:
        self._waiting: deque[Send] = deque(maxlen=MAX_WAITING_MESSAGES)
        self._ready: list[Send] = []

    @property
    def id(self) -> str:
        """The id of the voter's disk, which identifies the voter."""
        return self.kept.id

    @property
    def raft(self) -> Raft:
        """The voter's replicated log."""
        return self.service.raft

    @property
    def leads(self) -> bool:
        """Whether this voter was elected and has committed an entry of its own term."""
        return self.raft.is_ready_leader

    def _record_change(self, _index: int, change: TableChange) -> None:
        self.changes.append(change)
        for name, _ in change.granted:
            self.granted_at[name] = self._now
        for name in change.freed:
            self.granted_at.pop(name, None)

    def lead_alone(self, now: int, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot and leads a group that consists of this disk alone."""
        self.raft.reset_to_snapshot(snapshot)
        self.service.table = LeaseTable.load(snapshot.data)
        self.raft.campaign(now)
        self._collect(now)

    # ---- input ---------------------------------------------------------------------------------

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Handles another voter's message."""
        self._now = now
        self.raft.receive(now, sender, message)
        self.service.queue_due_replies(now)
        self._collect(now)

    def receive_request(self, now: int, request: LeaseRequest) -> None:
        """Handles a holder's request."""
        self._now = now
        self.service.handle_request(now, request.holder, request)
        self._collect(now)

    def tick(self, now: int) -> None:
        """Does everything that is due."""
        self._now = now
        self.service.tick(now)
        self._collect(now)

    def grant(self, now: int, rows: Iterable[tuple[str, str]]) -> None:
        """Proposes to grant each lease to its holder; all grants share one round."""
        proposed = [self.service.grant(now, name, holder) for name, holder in rows]
        if any(proposed):
            self.raft.send_heartbeats(now)
        self._collect(now)

    def change_voters(self, now: int, voters: tuple[str, ...]) -> str:
        """Proposes another membership. Returns the reason of a refusal, or an empty string."""
        refusal = self.raft.change_voters(now, voters)
        self._collect(now)
        return refusal

    def add_learner(self, now: int, learner: str) -> None:
        """Replicates the log to a disk that does not vote yet."""
        self.raft.add_learner(now, learner)
        self._collect(now)

    def next_due(self) -> int:
        """The time at which `tick` next has something to do."""
        return self.service.next_due()

    # ---- output --------------------------------------------------------------------------------

    def _collect(self, now: int) -> None:
        """Collects the output of the log until applying it causes no more. Messages are ready at
        once only where no state has to be written before them."""
        while True:
            out = self.service.take(now)
            replies, self.service.replies = self.service.replies, []
            if out.saved is not None:
                self._unsaved = out.saved
            sends: list[Send] = [*out.sends, *replies]
            if self._unsaved is None and self._writing is None:
                self._ready += sends
            else:
                self._waiting.extend(sends)
            if not out.committed and not sends and out.saved is None:
                return

    def next_write(self) -> Batch | None:
        """The batch to write and sync now; None where a write is under way or nothing changed. The
        caller answers with `complete_write`, or ends this voter where the write fails."""
        if self._writing is not None or self._unsaved is None:
            return None
        kept, batch = plan_write(self.kept, self._unsaved, self.group, self.known_saves)
        self._unsaved = None
        self._writing = (kept, self._waiting)
        self._waiting = deque(maxlen=MAX_WAITING_MESSAGES)
        return batch

    def complete_write(self) -> None:
        """Records that the batch of `next_write` is on the disk; its messages are ready to send."""
        assert self._writing is not None
        self.kept, sends = self._writing
        self._writing = None
        self._ready += sends
        if self._unsaved is None:
            self._ready += self._waiting
            self._waiting.clear()

    def sends(self) -> list[Send]:
        """Removes and returns the messages that are ready to send, in order."""
        ready, self._ready = self._ready, []
        return ready

    @property
    def is_writing(self) -> bool:
        """Whether a write to the disk is under way."""
        return self._writing is not None

    def recently_heard_voters(self, now: int) -> list[str]:
        """The voters that the leader heard from within two election timeouts, including the leader
        itself; empty where this voter does not lead."""
        raft = self.raft
        if raft.role != LEADER:
            return []
        max_silence_ns = 2 * raft.timing.election_timeout_ns
        return [
            v
            for v in raft.voters
            if v == raft.name or now - raft.last_heard_at.get(v, 0) <= max_silence_ns
        ]
