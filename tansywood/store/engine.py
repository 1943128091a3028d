"""The store: log, index, compaction, recovery. docs/design/store.md has the promise.

One writer at a time, from any thread; readers need no lock. An index entry is changed only
once what it names is in the log, and a file goes only when no index and no snapshot names it.

The parts: `batch` (what is written together), `index` (where each key's value lies), `log` (frames,
syncs, sealing), `segments` (files and their manifest), `snapshots`, `compaction`, `opening` (what
lies on the disk) and `stats`.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable, Iterator
from os import PathLike
from types import TracebackType
from typing import Self

from tansywood.store.batch import Batch
from tansywood.store.compaction import LEAST_GARBAGE, Compactor
from tansywood.store.errors import StoreCorrupt, StoreError, StoreLimit
from tansywood.store.files import Files, RealFiles
from tansywood.store.frames import Op, encode_op, value_of
from tansywood.store.hints import MOST_OFFSET, MOST_SIZE, SEGMENT_SHIFT, SIZE_BITS, place
from tansywood.store.index import Index
from tansywood.store.log import Log
from tansywood.store.opening import Opening
from tansywood.store.snapshots import Snapshot, Snapshots
from tansywood.store.stats import Recovery, Stats

SEGMENT_BYTES = 32 << 20


class Store:
    """Open with `Store.open`; a context manager."""

    def __init__(
        self,
        files: Files,
        clock: Callable[[], float],
        segment_bytes: int,
        least_garbage: int,
        automatic: bool,
    ) -> None:
        self._files = files
        self._clock = clock
        self._writing = threading.RLock()  # one writer; held over its disk work
        self._index = Index()
        self._log = Log(files, self._index.lock, segment_bytes)
        self._segments = self._log.segments
        self._snapshots = Snapshots(self._index, self._segments, self._value)
        self._compactor = Compactor(
            self._log, self._index, self._snapshots, least_garbage, automatic
        )
        # Read for each value: looked up once.
        self._places = self._index.places
        self._open = self._segments.open
        self._opened_s = 0.0
        self._recovery = Recovery()

    @classmethod
    def open(
        cls,
        path: str | PathLike[str] = "",
        *,
        files: Files | None = None,
        clock: Callable[[], float] = time.monotonic,
        segment_bytes: int = SEGMENT_BYTES,
        least_garbage: int = LEAST_GARBAGE,
        automatic: bool = True,
    ) -> Store:
        """Open the store in a folder, or make one where the folder is empty or missing.

        `automatic` says whether writes compact as they go. Raises StoreLocked, StoreCorrupt,
        StoreFormat, and OSError where the disk fails.
        """
        files = files if files is not None else RealFiles(path)
        store = cls(files, clock, segment_bytes, least_garbage, automatic)
        began = clock()
        files.lock()
        try:
            store._recover()
        except BaseException:
            store._let_go()
            raise
        store._opened_s = clock() - began
        return store

    def _recover(self) -> None:
        opening = Opening(self._segments, self._index)
        opening.run()
        self._log.sequence = self._log.durable = opening.sequence
        self._log.syncs += opening.syncs
        self._recovery = opening.recovery

    # ---- reading ---------------------------------------------------------

    def get(self, key: bytes) -> bytes | None:
        """The value, or None. StoreCorrupt where it can't be read as it was written,
        StoreError where the disk fails to read."""
        found = self._places.get(key)
        if found is None:
            self._log.check_open()
            return None
        return self._value(key, found)

    def _value(self, key: bytes, found: int) -> bytes:
        """The value of a key that lies at this place."""
        opened = self._open.get(found >> SEGMENT_SHIFT)
        if opened is None:
            return self._moved(key, found)
        offset, size = (found >> SIZE_BITS) & MOST_OFFSET, found & MOST_SIZE
        try:
            data = opened.file.read(offset, size)
        except OSError as err:
            if opened is not self._open.get(found >> SEGMENT_SHIFT):
                return self._moved(key, found)  # closed between the look-up and the read
            self._log.check_open()
            path = self._segments.path(opened.segment.name)
            raise StoreError(f"{path} at byte {offset}: {err}") from err
        try:
            return value_of(data, size, key)
        except ValueError as err:
            if opened is not self._open.get(found >> SEGMENT_SHIFT):
                return self._moved(key, found)  # its number was another file's by then
            path = self._segments.path(opened.segment.name)
            raise StoreCorrupt(path, offset, str(err)) from None

    def _moved(self, key: bytes, found: int) -> bytes:
        """Read again what a compaction has moved since its place was looked up."""
        self._log.check_open()
        again = self._places.get(key)
        if again is None or again == found:
            raise StoreError(f"the segment of {key!r} has gone")
        return self._value(key, again)

    def scan(self, start: bytes = b"", end: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys from start on, up to end and without it, with values, in the keys' order,
        as they are when the first is asked for."""
        with self.snapshot() as snapshot:
            yield from snapshot.scan(start, end)

    def snapshot(self) -> Snapshot:
        """The store as it is now. Close it: until then the files that it reads stay."""
        with self._index.lock:
            self._log.check_open()
            return self._snapshots.open(self._log.sequence)

    # ---- writing -----------------------------------------------------------

    def put(self, key: bytes, value: bytes, *, durable: bool = False) -> int:
        """Write one value; see `write`."""
        return self.write(Batch().put(key, value), durable=durable)

    def delete(self, key: bytes, *, durable: bool = False) -> int:
        """Delete a key, whether it is there or not; see `write`."""
        return self.write(Batch().delete(key), durable=durable)

    def write(self, batch: Batch, *, durable: bool = False) -> int:
        """Write a batch, whole; returns its sequence number.

        When it returns the batch is in the log: the end of this process does not lose it.
        With `durable` it is on the disk: the end of the machine's power does not either.
        StoreFull where there is no room (nothing was written), StoreFailed where the disk
        failed (it may be there or not, and is not acknowledged), StoreLimit.
        """
        with self._writing:
            sequence = self._append(batch.ops)
            self._compactor.pay_share()
        if durable:
            self.sync(sequence)
        return sequence

    def _append(self, ops: list[Op]) -> int:
        self._log.check_writable()
        if not ops:
            return self._log.sequence
        encoded = [encode_op(op) for op in ops]
        appended = self._log.append(encoded)
        number, collector = appended.opened.segment.number, appended.opened.collector
        offset = appended.offset
        with self._index.lock:
            for op, raw in zip(ops, encoded, strict=True):
                size = len(raw)
                self._index.set(op.key, None if op.value is None else place(number, offset, size))
                if collector is not None:
                    collector.add(op.key, offset, 0 if op.value is None else size)
                offset += size
            self._log.sequence = appended.sequence
        return appended.sequence

    def sync(self, sequence: int | None = None) -> None:
        """Return once all writes up to this one (by default the last) are on the disk.

        Those who wait together share one sync. StoreFailed where it fails: the pages may be
        gone although a later sync succeeds, so nothing is acknowledged on that file again.
        """
        self._log.sync(sequence)

    def compact(self, progress: Callable[[int, int], None] | None = None) -> None:
        """Rewrite what lives and give back the room of the rest, to its end.

        `progress` is told now and then how many keys of how many are copied. StoreFull where
        there is no room for the copy: the store is as before.
        """
        with self._writing:
            self._log.check_writable()
            self._compactor.finish(progress)

    # ---- the rest --------------------------------------------------------------

    def stats(self) -> Stats:
        """As of now."""
        log, index, segments, compactor = self._log, self._index, self._segments, self._compactor
        run = compactor.run
        with index.lock:
            sealed = sum(o.segment.length or 0 for o in list(segments.open.values()))
            return Stats(
                keys=len(index.places),
                live_bytes=index.live_bytes,
                disk_bytes=sealed + segments.end + (run.length if run is not None else 0),
                segments=len(segments.open),
                sequence=log.sequence,
                durable=log.durable,
                snapshots=len(index.snapshots) - (run is not None),
                compacting=run is not None,
                compactions=compactor.compactions,
                copied_bytes=compactor.copied,
                written_bytes=log.written,
                syncs=log.syncs,
                full=log.full,
                rot=compactor.rot,
                opened_s=self._opened_s,
                recovery=self._recovery,
            )

    def close(self) -> None:
        """Sync, note the length, and let go. What fails here is raised once all is let go."""
        if self._log.closed:
            return
        with self._writing:
            try:
                if not self._log.failed:
                    if self._compactor.run is not None:
                        self._compactor.give_up(OSError(errno.ENOSPC, "closing"))
                    self.sync()
                    self._log.note_length()
            finally:
                self._let_go()

    def _let_go(self) -> None:
        """Close all files and give the folder free, as the end of the process would."""
        self._log.closed = True
        self._segments.close()
        if self._compactor.run is not None:
            self._compactor.run.target.file.close()
        self._files.unlock()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


__all__ = ["Batch", "Recovery", "Snapshot", "Stats", "Store", "StoreLimit"]
