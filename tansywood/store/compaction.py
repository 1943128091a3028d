"""Compaction: what lives is copied into one segment, and the segments before it go.

Each write pays a share of the one under way, so that none waits for all of it.
"""

from __future__ import annotations

import contextlib
import errno
import time
from collections.abc import Callable
from dataclasses import replace

from tansywood.store.errors import StoreCorrupt, StoreFull
from tansywood.store.frames import FRAME, HEAD, decode_op, encode, segment_head
from tansywood.store.hints import Collector, place, unplace
from tansywood.store.index import Index
from tansywood.store.log import NO_ROOM, Log
from tansywood.store.manifest import Segment
from tansywood.store.segments import OpenSegment
from tansywood.store.snapshots import Snapshot, Snapshots

# Compaction begins where more lies dead than lives, and this much: below it a rewrite costs
# more than the room it gives.
LEAST_GARBAGE = 1 << 20
# Copied for each byte written while one runs: it is done before as much is dead again.
COPY_FOR_WRITTEN = 2
COPY_LEAST = 64 << 10
COPY_BATCH = 64 << 10  # bytes of one frame of what is kept
BREATH = 500  # keys between two moments at which another thread may run
SYNC_EVERY = 4 << 20  # bytes of a compaction between its syncs, so that none takes long


class Run:
    """One compaction under way: what it copies, where to, and how far it is."""

    __slots__ = ("at", "collector", "dropped", "keys", "length", "old", "snapshot", "target",
                 "unsynced")  # fmt: skip

    def __init__(self, snapshot: Snapshot, target: OpenSegment, dropped: tuple[int, ...]) -> None:
        self.snapshot = snapshot
        self.target = target
        self.dropped = dropped  # the segments that it replaces
        self.keys = snapshot.every()
        self.at = 0
        self.collector = Collector()
        self.old: list[int] = []  # places that the collector's entries had
        self.length = HEAD.size
        self.unsynced = 0


class Compactor:
    """When to compact, and how. Its caller holds the store's lock for writing."""

    def __init__(
        self, log: Log, index: Index, snapshots: Snapshots, least_garbage: int, automatic: bool
    ) -> None:
        self.automatic = automatic  # whether writes compact as they go
        self.run: Run | None = None
        self.rot = ""  # what one met; none is begun by itself after it
        self.compactions = 0
        self.copied = 0  # bytes, since opening
        self._log = log
        self._segments = log.segments
        self._index = index
        self._snapshots = snapshots
        self._least_garbage = least_garbage
        self._garbage_then = 0  # garbage at which the last compaction found no room
        self._written_then = 0  # bytes written when its last share was paid

    def pay_share(self) -> None:
        """A write's share of the compaction under way, or the beginning of one."""
        if not self.automatic:
            return
        try:
            if self.run is None and not self._begin_if_due():
                return
            share = COPY_FOR_WRITTEN * (self._log.written - self._written_then)
            self._written_then = self._log.written
            self._copy(max(share, COPY_LEAST))
        except StoreCorrupt as err:
            self.rot = str(err)  # not this write's: it is in the log

    def finish(self, progress: Callable[[int, int], None] | None) -> None:
        """Compact to the end: see `Store.compact`."""
        log = self._log
        log.full = False
        if self.run is None:
            self._begin()
        while (run := self.run) is not None:
            self._copy(COPY_BATCH)
            if progress is not None:
                progress(run.at, len(run.keys))
        if log.full:
            raise StoreFull(f"{self._segments.files.path}: no room to compact; nothing is lost")

    def give_up(self, err: OSError) -> None:
        """Give up the one under way: nothing refers to its file. Without room it is tried again
        later; anything else fails the store."""
        run, self.run = self.run, None
        if run is not None:
            run.snapshot.close()
            run.target.file.close()
            with contextlib.suppress(OSError):  # goes at the next opening
                self._segments.files.remove(run.target.segment.name)
        if err.errno not in NO_ROOM:
            self._log.fail(f"a compaction failed: {err.strerror}")
        self._wait_for_room()

    def _wait_for_room(self) -> None:
        self._garbage_then = self._garbage()
        self._log.full = True

    # ---- beginning -------------------------------------------------------

    def _garbage(self) -> int:
        """Bytes that a compaction would give back."""
        segments = self._segments
        sealed = sum(segments.open[n].segment.length or 0 for n in segments.order[:-1])
        return sealed + segments.end - self._index.live_bytes

    def _begin_if_due(self) -> bool:
        live = self._index.live_bytes
        if self._garbage() < max(self._least_garbage, live, 2 * self._garbage_then):
            return False
        self._begin()
        if self.run is None:
            return False
        self._written_then = self._log.written
        return True

    def _begin(self) -> None:
        """All that was written up to here becomes one segment; writes go on behind it."""
        segments = self._segments
        if segments.end > HEAD.size and not self._log.rotate():
            self._wait_for_room()
            return
        dropped = tuple(segments.order[:-1])
        if not dropped:
            return
        segment = Segment(segments.next, segments.last.segment.first - 1, kept=True)
        try:
            file = segments.create(segment.name)
        except OSError as err:
            self.give_up(err)
            return
        segments.next += 1
        with self._index.lock:
            snapshot = self._snapshots.open(self._log.sequence)
        self.run = Run(snapshot, OpenSegment(segment, file, None), dropped)
        try:
            file.append(segment_head(segment.number))
        except OSError as err:
            self.give_up(err)

    # ---- copying ---------------------------------------------------------

    def _copy(self, budget: int) -> None:
        """Copy so many bytes or a little more, and end the compaction if those were the last."""
        run = self.run
        assert run is not None
        try:
            while budget > 0 and run.at < len(run.keys):
                budget -= self._copy_frame(run)
                time.sleep(0)  # an event loop may wait to run
            if run.at == len(run.keys):
                self._end(run)
        except OSError as err:
            self.give_up(err)

    def _copy_frame(self, run: Run) -> int:
        """Copy some operations as one frame; returns its bytes."""
        raws: list[bytes] = []
        size = 0
        offset = run.length + FRAME.size
        while run.at < len(run.keys) and size < COPY_BATCH:
            key = run.keys[run.at]
            run.at += 1
            found = run.snapshot.place(key)
            assert found is not None
            raw = self._read(found)
            raws.append(raw)
            run.collector.add(key, offset + size, len(raw))
            run.old.append(found)
            size += len(raw)
        data = encode(run.target.segment.first, self._log.durable, raws)
        run.target.file.append(data)
        run.length += len(data)
        self.copied += len(data)
        run.unsynced += len(data)
        if run.unsynced >= SYNC_EVERY:
            run.target.file.sync()
            run.unsynced = 0
        return len(data)

    def _read(self, found: int) -> bytes:
        """An operation as it lies there. StoreCorrupt where it has rotted: copied on, it would be
        a sound frame around rotten bytes."""
        number, offset, length = unplace(found)
        opened = self._segments.open[number]
        raw = opened.file.read(offset, length)
        try:
            decode_op(raw)
        except ValueError as err:
            self._give_up_for_rot()
            path = self._segments.path(opened.segment.name)
            raise StoreCorrupt(path, offset, str(err)) from None
        return raw

    def _give_up_for_rot(self) -> None:
        """A compaction that meets rot changes nothing, and is not tried again by itself."""
        self.automatic = False
        self.give_up(OSError(errno.ENOSPC, "rot"))
        self._log.full = False

    # ---- ending ----------------------------------------------------------

    def _end(self, run: Run) -> None:
        """Put the copy in the place of what it was made from."""
        segments = self._segments
        run.target.file.sync()
        segments.files.sync()
        run.target.segment = segment = replace(run.target.segment, length=run.length)
        order = [segment.number, *(n for n in segments.order if n not in run.dropped)]
        before, segments.order = segments.order, order
        segments.open[segment.number] = run.target
        try:
            segments.write_manifest()
        except OSError:
            segments.order = before
            del segments.open[segment.number]
            raise
        self.run = None
        run.target.collector = run.collector
        segments.write_hint(run.target)
        self._repoint(run, segment.number)
        run.snapshot.close()
        self._snapshots.retire(run.dropped)
        self.compactions += 1
        self._garbage_then = 0

    def _repoint(self, run: Run, number: int) -> None:
        """Let the index name the copies, where no write has come since."""
        columns = zip(run.keys, run.collector.offsets, run.collector.sizes, run.old, strict=True)
        for n, (key, offset, size, old) in enumerate(columns):
            if n % BREATH == 0:
                time.sleep(0)
            self._index.move(key, old, place(number, offset, size))
