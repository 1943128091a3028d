"""One voter's life on a disk that takes its time. Pure: the disk and the network are told what to
do and tell when it is done.

Everything that the log asks to be sent waits until what it asks to be kept lies on the disk. While
one write is under way the log goes on; what it asks for meanwhile becomes one more write, and all
that is to be sent behind it goes when that one is done. A disk that takes five seconds makes a
voter that answers late, and nothing else.
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

MOST = 4096  # messages that wait for a disk: beyond it the oldest are lost, as on a network
Send = tuple[str, Message | LeaseReply]


class Voter:
    """From the reading of its disk to the end of the process, or of the disk."""

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
        self.known_saves = dict(kept.known_saves)  # of other voters: saves that they have told of
        self.service = LeaseService(
            Raft(kept.id, kept.saved, timing, rng, now), terms, snapshot_every
        )
        self.service.on_change = self._changed
        self.changes: list[TableChange] = []
        self.granted_at: dict[str, int] = {}  # when each lease was seen to be granted
        self._now = now
        self._unsaved: PersistentState | None = None  # to be written next
        self._writing: tuple[DiskContents, deque[Send]] | None = None
        self._behind: deque[Send] = deque(maxlen=MOST)  # sent once all above is written
        self._ready: list[Send] = []

    @property
    def id(self) -> str:
        """Of the disk."""
        return self.kept.id

    @property
    def raft(self) -> Raft:
        """The log."""
        return self.service.raft

    @property
    def leads(self) -> bool:
        """Whether it was elected and has an entry of its own term committed."""
        return self.raft.is_ready_leader

    def _changed(self, _index: int, change: TableChange) -> None:
        self.changes.append(change)
        for name, _ in change.granted:
            self.granted_at[name] = self._now
        for name in change.freed:
            self.granted_at.pop(name, None)

    def lead_alone(self, now: int, snapshot: Snapshot) -> None:
        """Lead a group of this disk alone, from here on, whatever its log held."""
        self.raft.reset_to_snapshot(snapshot)
        self.service.table = LeaseTable.load(snapshot.data)
        self.raft.campaign(now)
        self._collect(now)

    # ---- what comes ----------------------------------------------------------------------------

    def receive(self, now: int, sender: str, message: Message) -> None:
        """A message of another voter."""
        self._now = now
        self.raft.receive(now, sender, message)
        self.service.queue_due_replies(now)
        self._collect(now)

    def receive_request(self, now: int, ask: LeaseRequest) -> None:
        """A holder's ask."""
        self._now = now
        self.service.handle_request(now, ask.holder, ask)
        self._collect(now)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        self._now = now
        self.service.tick(now)
        self._collect(now)

    def grant(self, now: int, rows: Iterable[tuple[str, str]]) -> None:
        """Several at once, in one round."""
        done = [self.service.grant(now, name, holder) for name, holder in rows]
        if any(done):
            self.raft.send_heartbeats(now)
        self._collect(now)

    def change_voters(self, now: int, voters: tuple[str, ...]) -> str:
        """Propose other voters; says why not, or nothing."""
        why = self.raft.change_voters(now, voters)
        self._collect(now)
        return why

    def add_learner(self, now: int, learner: str) -> None:
        """Send the log to a disk that does not vote yet."""
        self.raft.add_learner(now, learner)
        self._collect(now)

    def next_due(self) -> int:
        """When `tick` has something to do."""
        return self.service.next_due()

    # ---- what goes -----------------------------------------------------------------------------

    def _collect(self, now: int) -> None:
        while True:
            out = self.service.take(now)
            answers, self.service.replies = self.service.replies, []
            if out.saved is not None:
                self._unsaved = out.saved
            sends: list[Send] = [*out.sends, *answers]
            if self._unsaved is None and self._writing is None:
                self._ready += sends
            else:
                self._behind.extend(sends)
            if not out.committed and not sends and out.saved is None:
                return

    def next_write(self) -> Batch | None:
        """What to write now, synced; `written` or the end of this voter is the answer to it."""
        if self._writing is not None or self._unsaved is None:
            return None
        kept, batch = plan_write(self.kept, self._unsaved, self.group, self.known_saves)
        self._unsaved = None
        self._writing = (kept, self._behind)
        self._behind = deque(maxlen=MOST)
        return batch

    def complete_write(self) -> None:
        """What `next_write` gave lies on the disk: what waited for it may go."""
        assert self._writing is not None
        self.kept, sends = self._writing
        self._writing = None
        self._ready += sends
        if self._unsaved is None:
            self._ready += self._behind
            self._behind.clear()

    def sends(self) -> list[Send]:
        """What may go by now, in order."""
        ready, self._ready = self._ready, []
        return ready

    @property
    def is_writing(self) -> bool:
        """Whether something waits for the disk."""
        return self._writing is not None

    def recently_heard_voters(self, now: int) -> list[str]:
        """Voters that a leader has heard from within two elections; itself always."""
        raft = self.raft
        if raft.role != LEADER:
            return []
        patience = 2 * raft.timing.election_timeout_ns
        return [
            v
            for v in raft.voters
            if v == raft.name or now - raft.last_heard_at.get(v, 0) <= patience
        ]
