"""The store: log, index, compaction, recovery. docs/design/store.md has the promise.

One writer at a time, from any thread; readers need no lock. An index entry is changed only
once what it names is in the log, and a file goes only when no index and no snapshot names it.
"""

from __future__ import annotations

import contextlib
import errno
import threading
import time
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from os import PathLike
from types import TracebackType
from typing import Self

from tansywood.store import manifest as manifests
from tansywood.store.errors import (
    StoreClosed,
    StoreCorrupt,
    StoreError,
    StoreFailed,
    StoreFormat,
    StoreFull,
    StoreLimit,
)
from tansywood.store.files import File, Files, RealFiles
from tansywood.store.frames import (
    FRAME,
    HEAD,
    Op,
    check,
    decode_op,
    encode,
    encode_op,
    frames,
    read_head,
    readable_behind,
    segment_head,
    value_of,
)
from tansywood.store.hints import (
    MOST_OFFSET,
    MOST_SIZE,
    SEGMENT_SHIFT,
    SIZE_BITS,
    Collector,
    Hint,
    place,
    unplace,
)
from tansywood.store.manifest import Manifest, Segment

SEGMENT_BYTES = 32 << 20
# Compaction begins where more lies dead than lives, and this much: below it a rewrite costs
# more than the room it gives.
LEAST_GARBAGE = 1 << 20
# Copied for each byte written while one runs: it is done before as much is dead again.
COPY_FOR_WRITTEN = 2
COPY_LEAST = 64 << 10
COPY_BATCH = 64 << 10  # bytes of one frame of what is kept
BREATH = 500  # keys between two moments at which another thread may run
SYNC_EVERY = 4 << 20  # bytes of a compaction between its syncs, so that none takes long
NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class Batch:
    """Writes that are in the store all together or not at all; the last of a key counts."""

    def __init__(self) -> None:
        self.ops: list[Op] = []

    def put(self, key: bytes, value: bytes) -> Self:
        """StoreLimit where key or value is beyond its bound."""
        return self._add(Op(bytes(key), bytes(value)))

    def delete(self, key: bytes) -> Self:
        """Deleting what is not there is no error."""
        return self._add(Op(bytes(key), None))

    def _add(self, op: Op) -> Self:
        check(op)
        self.ops.append(op)
        return self


@dataclass(frozen=True, slots=True)
class Recovery:
    """What opening found besides sound data."""

    cut_path: str = ""  # the segment whose tail was cut away
    cut_at: int = 0
    cut_bytes: int = 0
    cut_why: str = ""
    left_over: tuple[str, ...] = ()  # files of a half-finished step, removed


@dataclass(frozen=True, slots=True)
class Stats:
    """Sizes in bytes."""

    keys: int
    live_bytes: int
    disk_bytes: int
    segments: int
    sequence: int  # of the last write
    durable: int  # the last one known to be on the disk
    snapshots: int
    compacting: bool
    compactions: int
    copied_bytes: int  # by compactions, since opening
    written_bytes: int  # by writes, since opening
    syncs: int
    full: bool  # the last write found no room
    rot: str  # what a compaction met; none is begun by itself after it
    opened_s: float  # how long opening took
    recovery: Recovery


class _Open:
    """A live segment and its file."""

    __slots__ = ("collector", "file", "segment")

    def __init__(self, segment: Segment, file: File, collector: Collector | None) -> None:
        self.segment = segment
        self.file = file
        self.collector = collector  # of one that gets no hint from elsewhere


class _Compaction:
    """One under way: what it copies, where to, and how far it is."""

    __slots__ = ("at", "collector", "dropped", "keys", "length", "old", "snapshot", "target",
                 "unsynced")  # fmt: skip

    def __init__(self, snapshot: Snapshot, target: _Open, dropped: tuple[int, ...]) -> None:
        self.snapshot = snapshot
        self.target = target
        self.dropped = dropped  # the segments that it replaces
        self.keys = snapshot.every()
        self.at = 0
        self.collector = Collector()
        self.old: list[int] = []  # places that the collector's entries had
        self.length = HEAD.size
        self.unsynced = 0


class Snapshot:
    """The store as it was at one moment, for as long as it is open. A context manager."""

    def __init__(self, store: Store, sequence: int) -> None:
        self.sequence = sequence
        self._store = store
        self._before: dict[bytes, int | None] = {}  # what writes since have replaced
        self._closed = False

    def get(self, key: bytes) -> bytes | None:
        """None where there is no such key. StoreCorrupt, StoreError as Store.get."""
        found = self._place(bytes(key))
        return None if found is None else self._store._value(key, found)

    def _place(self, key: bytes) -> int | None:
        if self._closed:
            raise StoreClosed("the snapshot is closed")
        # The index first: a writer notes what was before it changes the index.
        found = self._store._index.get(key)
        return self._before.get(key, found)

    def every(self) -> list[bytes]:
        """All its keys, in no order; cheaper than `keys` by the sorting."""
        with self._store._state:
            if not self._before:
                return [*self._store._index]
        return self.keys()

    def keys(self, start: bytes = b"", end: bytes | None = None) -> list[bytes]:
        """From start on, up to end and without it, in order."""
        with self._store._state:
            keys = self._store._ordered(start, end)
            if not self._before:
                return keys
            extra = [k for k in self._before if k >= start and (end is None or k < end)]
        # In the index, before, or both.
        return sorted(k for k in {*keys, *extra} if self._place(k) is not None)

    def scan(self, start: bytes = b"", end: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys and values in the keys' order."""
        for key in self.keys(start, end):
            value = self.get(key)
            assert value is not None
            yield key, value

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._store._release(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


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
        self._segment_bytes = segment_bytes
        self._least_garbage = least_garbage
        self._automatic = automatic
        self._writing = threading.RLock()  # one writer; held over its disk work
        self._state = threading.Lock()  # index and snapshots; never held over disk work
        self._syncing = threading.Lock()
        self._index: dict[bytes, int] = {}
        self._sorted: list[bytes] = []
        self._unsorted: dict[bytes, None] = {}  # keys of the index not yet in _sorted
        self._live = 0
        self._open: dict[int, _Open] = {}
        self._order: list[int] = []  # of live segments, the last is written to
        self._parked: list[int] = []  # replaced, and a snapshot may still read them
        self._snapshots: set[Snapshot] = set()
        self._next = 1
        self._end = 0  # bytes of the last segment that are whole
        self._sequence = 0
        self._durable = 0
        self._failed: str = ""
        self._full = False
        self._rot = ""
        self._closed = False
        self._compaction: _Compaction | None = None
        self._garbage_then = 0  # garbage at which the last compaction found no room
        self._written_then = 0  # bytes written when its last share was paid
        self._compactions = self._copied = self._written = self._syncs = 0
        self._opened_s = 0.0
        self._recovery = Recovery()

    # ---- opening --------------------------------------------------------

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
        names = set(self._files.names())
        if manifests.NAME not in names:
            self._found(names)
            return
        file = self._files.open(manifests.NAME)
        try:
            manifest = manifests.decode(file.read(0, file.size()))
        except (ValueError, KeyError, TypeError) as err:
            raise StoreCorrupt(self._path(manifests.NAME), 0, str(err)) from None
        finally:
            file.close()
        self._next = manifest.next_number
        for segment in manifest.segments:
            self._load(segment, names)
        self._live = sum(found & MOST_SIZE for found in self._index.values())
        self._sorted = []
        self._unsorted = dict.fromkeys(self._index)
        last = self._open[self._order[-1]]
        # All that is there now counts as durable from here on: so it has to be.
        last.file.sync()
        self._syncs += 1
        self._durable = self._sequence
        if last.segment.length is not None:
            # It was closed cleanly and goes on being written to: its length is open again.
            last.segment = replace(last.segment, length=None)
            self._write_manifest()
        known = {manifests.NAME} | {s.name for s in manifest.segments}
        known |= {s.hint for s in manifest.segments}
        left = tuple(sorted(n for n in names - known if n.endswith((".log", ".hint", ".new"))))
        for name in left:
            self._files.remove(name)
        self._recovery = replace(self._recovery, left_over=left)

    def _found(self, names: set[str]) -> None:
        """Make a new store. A crash within it leaves a first segment and no manifest."""
        first = Segment(1, 1)
        strangers = sorted(names - {first.name, manifests.BESIDE})
        if strangers:
            raise StoreFormat(
                f"{self._files.path} is not a store: it has no {manifests.NAME} and holds "
                f"{', '.join(strangers[:3])}; name an empty folder"
            )
        for name in names:
            self._files.remove(name)
        self._begin(first)
        self._next = 2
        self._write_manifest()

    def _load(self, segment: Segment, names: set[str]) -> None:
        if segment.name not in names:
            raise StoreCorrupt(self._path(segment.name), 0, "the file is missing")
        file = self._files.open(segment.name)
        opened = _Open(segment, file, None)
        self._open[segment.number] = opened
        self._order.append(segment.number)
        size = file.size()
        if segment.length is not None and size != segment.length:
            raise StoreCorrupt(
                self._path(segment.name), size, f"it has {size} bytes of {segment.length}"
            )
        if segment.length is not None and segment.hint in names and self._hinted(opened):
            self._end = segment.length
            return
        self._scan(opened, file.read(0, size))

    def _hinted(self, opened: _Open) -> bool:
        segment = opened.segment
        assert segment.length is not None
        file = self._files.open(segment.hint)
        try:
            hint = Hint(file.read(0, file.size()), segment.number, segment.length)
        except ValueError:
            return False
        finally:
            file.close()
        hint.into(self._index)
        self._sequence = max(self._sequence, hint.last)
        return True

    def _scan(self, opened: _Open, data: bytes) -> None:
        """Read a segment itself, and cut a torn tail away or refuse what has rotted."""
        segment = opened.segment
        name = self._path(segment.name)
        try:
            number = read_head(data, name)
            if number != segment.number:
                raise ValueError(f"it is segment {number}")
        except ValueError as err:
            raise StoreCorrupt(name, 0, str(err)) from None
        opened.collector = collector = Collector()
        at = HEAD.size
        expected = segment.first
        try:
            for frame in frames(data):
                if frame.sequence != expected:
                    raise ValueError(f"its sequence is {frame.sequence} and not {expected}")
                for key, value, offset, size in frame.ops:
                    if value is None:
                        self._index.pop(key, None)
                        collector.add(key, offset, 0)
                    else:
                        self._index[key] = place(segment.number, offset, size)
                        collector.add(key, offset, size)
                self._sequence = frame.sequence
                if not segment.kept:
                    expected += 1
                at = frame.end
        except ValueError as err:
            if segment.length is not None:
                raise StoreCorrupt(name, at, str(err)) from None
            for later in readable_behind(data, at):
                if later.durable >= expected:
                    raise StoreCorrupt(
                        name, at, f"{err}, and what is written behind it says it was durable"
                    ) from None
            opened.file.truncate(at)
            self._recovery = Recovery(name, at, len(data) - at, str(err))
        self._sequence = max(self._sequence, segment.first - (0 if segment.kept else 1))
        self._end = at

    def _path(self, name: str) -> str:
        return f"{self._files.path}/{name}"

    # ---- reading ---------------------------------------------------------

    def get(self, key: bytes) -> bytes | None:
        """The value, or None. StoreCorrupt where it can't be read as it was written,
        StoreError where the disk fails to read."""
        found = self._index.get(key)
        if found is None:
            self._check_open()
            return None
        return self._value(key, found)

    def _value(self, key: bytes, found: int) -> bytes:
        opened = self._open.get(found >> SEGMENT_SHIFT)
        if opened is None:
            return self._moved(key, found)
        offset, size = (found >> SIZE_BITS) & MOST_OFFSET, found & MOST_SIZE
        try:
            data = opened.file.read(offset, size)
        except OSError as err:
            if opened is not self._open.get(found >> SEGMENT_SHIFT):
                return self._moved(key, found)  # closed between the look-up and the read
            self._check_open()
            raise StoreError(f"{self._path(opened.segment.name)} at byte {offset}: {err}") from err
        try:
            return value_of(data, size, key)
        except ValueError as err:
            if opened is not self._open.get(found >> SEGMENT_SHIFT):
                return self._moved(key, found)  # its number was another file's by then
            raise StoreCorrupt(self._path(opened.segment.name), offset, str(err)) from None

    def _moved(self, key: bytes, found: int) -> bytes:
        """Read again what a compaction has moved since its place was looked up."""
        self._check_open()
        again = self._index.get(key)
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
        with self._state:
            self._check_open()
            snapshot = Snapshot(self, self._sequence)
            self._snapshots.add(snapshot)
        return snapshot

    def _ordered(self, start: bytes, end: bytes | None) -> list[bytes]:
        """The index's keys in a range; with `_state` held."""
        index = self._index
        if self._unsorted:
            # Nearly sorted: timsort takes little more than a copy.
            # A key that was deleted and came back may be in it twice.
            self._sorted.extend(self._unsorted)
            self._unsorted = {}
            self._sorted.sort()
            self._sorted = list(dict.fromkeys(self._sorted))
        if len(self._sorted) > 2 * len(index) + 64:
            self._sorted = [k for k in self._sorted if k in index]
        keys = self._sorted
        low = bisect_left(keys, start) if start else 0
        high = len(keys) if end is None else bisect_left(keys, end)
        return [k for k in keys[low:high] if k in index]

    def _release(self, snapshot: Snapshot) -> None:
        with self._state:
            self._snapshots.discard(snapshot)
            gone = [] if self._snapshots else self._parked
            if gone:
                self._parked = []
        self._drop(gone)

    def _drop(self, numbers: Iterable[int]) -> None:
        """Close and remove replaced segments; what can't be removed goes at the next opening."""
        for number in numbers:
            opened = self._open.pop(number)
            opened.file.close()
            for name in (opened.segment.name, opened.segment.hint):
                with contextlib.suppress(OSError):
                    self._files.remove(name)

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
            if self._automatic:
                try:
                    self._compact_some()
                except StoreCorrupt as err:
                    self._rot = str(err)  # not this write's: it is in the log
        if durable:
            self.sync(sequence)
        return sequence

    def _append(self, ops: list[Op]) -> int:
        self._check_writable()
        if not ops:
            return self._sequence
        encoded = [encode_op(op) for op in ops]
        sequence = self._sequence + 1
        data = encode(sequence, self._durable, encoded)
        if self._end > HEAD.size and self._end + len(data) > self._segment_bytes:
            self._rotate()
        opened = self._open[self._order[-1]]
        self._put(opened.file, data, self._end)
        self._full = False
        self._written += len(data)
        offset = self._end + FRAME.size
        self._end += len(data)
        number = opened.segment.number
        with self._state:
            for op, raw in zip(ops, encoded, strict=True):
                size = len(raw)
                self._set(op.key, None if op.value is None else place(number, offset, size))
                if opened.collector is not None:
                    opened.collector.add(op.key, offset, 0 if op.value is None else size)
                offset += size
            self._sequence = sequence
        return sequence

    def _put(self, file: File, data: bytes, end: int) -> None:
        """Append to a file that is sound up to `end`, and leave it so if that fails."""
        try:
            file.append(data)
        except OSError as err:
            try:
                file.truncate(end)
            except OSError as worse:
                self._fail(f"a write failed ({err.strerror}), then its cut ({worse.strerror})")
            if err.errno in NO_ROOM:
                self._full = True
                raise StoreFull(f"{self._files.path}: {err.strerror}; nothing was written") from err
            self._fail(f"a write failed: {err.strerror}")

    def _set(self, key: bytes, found: int | None) -> None:
        """Change one entry of the index; with `_state` held."""
        old = self._index.get(key)
        for snapshot in self._snapshots:
            snapshot._before.setdefault(key, old)
        if found is not None:
            self._index[key] = found
            self._live += found & MOST_SIZE
            if old is None:
                self._unsorted[key] = None
        elif old is not None:
            del self._index[key]
            self._unsorted.pop(key, None)
        if old is not None:
            self._live -= old & MOST_SIZE

    def sync(self, sequence: int | None = None) -> None:
        """Return once all writes up to this one (by default the last) are on the disk.

        Those who wait together share one sync. StoreFailed where it fails: the pages may be
        gone although a later sync succeeds, so nothing is acknowledged on that file again.
        """
        if sequence is None:
            sequence = self._sequence
        with self._syncing:
            self._check_writable()
            while self._durable < sequence:
                with self._state:
                    target = self._sequence
                    file = self._open[self._order[-1]].file
                try:
                    file.sync()
                except OSError as err:
                    self._fail(f"a sync failed: {err.strerror}")
                self._syncs += 1
                # What lies in earlier segments was synced when they were sealed.
                self._durable = max(self._durable, target)

    # ---- segments ------------------------------------------------------------

    def _begin(self, segment: Segment) -> None:
        """A new last segment, on the disk under its name."""
        file = self._create(segment.name)
        try:
            file.append(segment_head(segment.number))
            file.sync()
            self._files.sync()
        except OSError:
            file.close()
            raise
        self._open[segment.number] = _Open(segment, file, Collector())
        self._order.append(segment.number)
        self._end = HEAD.size

    def _create(self, name: str) -> File:
        """A new file; one of that name is left from an attempt that failed."""
        try:
            return self._files.create(name)
        except FileExistsError:
            self._files.remove(name)
            return self._files.create(name)

    def _rotate(self) -> None:
        """Seal the last segment and begin another.

        Synced first: nothing may become durable in the new one while a part of the old one
        is not. Without room the old one is written on.
        """
        old = self._open[self._order[-1]]
        end = self._end
        self.sync()
        new = Segment(self._next, self._sequence + 1)
        try:
            self._begin(new)
        except OSError as err:
            if err.errno in NO_ROOM:
                return
            self._fail(f"a new segment failed: {err.strerror}")
        self._next += 1
        sealed = replace(old.segment, length=end)
        was, old.segment = old.segment, sealed
        try:
            self._write_manifest()
        except OSError as err:
            if err.errno not in NO_ROOM:
                self._fail(f"the manifest failed: {err.strerror}")
            # Never renamed: the old one is in force, and the new segment no part of it.
            old.segment = was
            self._order.pop()
            self._drop([new.number])
            self._end = end
            return
        self._write_hint(old)

    def _write_hint(self, opened: _Open) -> None:
        """Only an accelerator: where it fails the segment itself is read at the next opening."""
        collector, opened.collector = opened.collector, None
        segment = opened.segment
        if collector is None or segment.length is None:
            return
        following = self._order.index(segment.number) + 1
        last = self._open[self._order[following]].segment.first - 1 if not segment.kept else 0
        pieces = collector.encode(segment.number, segment.length, last or segment.first)
        try:
            file = self._create(segment.hint)
            try:
                for piece in pieces:
                    file.append(piece)
                file.sync()
            finally:
                file.close()
        except OSError:
            return

    def _write_manifest(self) -> None:
        """The one step that changes which segments are live. OSError before the rename
        leaves the old one in force; after it this store is in doubt."""
        segments = tuple(self._open[number].segment for number in self._order)
        data = Manifest(segments, max(self._next, max(self._order) + 1)).encode()
        file = self._create(manifests.BESIDE)
        try:
            file.append(data)
            file.sync()
        finally:
            file.close()
        try:
            self._files.rename(manifests.BESIDE, manifests.NAME)
            self._files.sync()
        except OSError as err:
            self._fail(f"the manifest's rename failed: {err.strerror}")

    # ---- compaction -------------------------------------------------------------

    def _garbage(self) -> int:
        sealed = sum(self._open[n].segment.length or 0 for n in self._order[:-1])
        return sealed + self._end - self._live

    def _compact_some(self) -> None:
        """A write's share of the compaction under way, or the beginning of one."""
        if self._compaction is None:
            garbage = self._garbage()
            if garbage < max(self._least_garbage, self._live, 2 * self._garbage_then):
                return
            self._begin_compaction()
            if self._compaction is None:
                return
            self._written_then = self._written
        share = COPY_FOR_WRITTEN * (self._written - self._written_then)
        self._written_then = self._written
        self._copy(max(share, COPY_LEAST))

    def compact(self, progress: Callable[[int, int], None] | None = None) -> None:
        """Rewrite what lives and give back the room of the rest, to its end.

        `progress` is told now and then how many keys of how many are copied. StoreFull where
        there is no room for the copy: the store is as before.
        """
        with self._writing:
            self._check_writable()
            self._full = False
            if self._compaction is None:
                self._begin_compaction()
            while (run := self._compaction) is not None:
                self._copy(COPY_BATCH)
                if progress is not None:
                    progress(run.at, len(run.keys))
            if self._full:
                raise StoreFull(f"{self._files.path}: no room to compact; nothing is lost")

    def _begin_compaction(self) -> None:
        """All that was written up to here becomes one segment; writes go on behind it."""
        if self._end > HEAD.size:
            before = len(self._order)
            self._rotate()
            if len(self._order) == before:
                self._garbage_then = self._garbage()  # no room for a segment
                self._full = True
                return
        dropped = tuple(self._order[:-1])
        if not dropped:
            return
        segment = Segment(self._next, self._open[self._order[-1]].segment.first - 1, kept=True)
        try:
            file = self._create(segment.name)
        except OSError as err:
            self._no_compaction(err, None)
            return
        self._next += 1
        target = _Open(segment, file, None)
        self._compaction = _Compaction(self.snapshot(), target, dropped)
        try:
            file.append(segment_head(segment.number))
        except OSError as err:
            self._no_compaction(err, self._compaction)

    def _no_compaction(self, err: OSError, run: _Compaction | None) -> None:
        """Give one up: nothing refers to its file. Without room it is tried again later."""
        self._compaction = None
        if run is not None:
            run.snapshot.close()
            run.target.file.close()
            with contextlib.suppress(OSError):  # goes at the next opening
                self._files.remove(run.target.segment.name)
        if err.errno not in NO_ROOM:
            self._fail(f"a compaction failed: {err.strerror}")
        self._garbage_then = self._garbage()
        self._full = True

    def _copy(self, budget: int) -> None:
        run = self._compaction
        assert run is not None
        try:
            while budget > 0 and run.at < len(run.keys):
                budget -= self._copy_frame(run)
                time.sleep(0)  # an event loop may wait to run
            if run.at == len(run.keys):
                self._end_compaction(run)
        except OSError as err:
            self._no_compaction(err, run)

    def _copy_frame(self, run: _Compaction) -> int:
        raws: list[bytes] = []
        size = 0
        offset = run.length + FRAME.size
        while run.at < len(run.keys) and size < COPY_BATCH:
            key = run.keys[run.at]
            run.at += 1
            found = run.snapshot._place(key)
            assert found is not None
            number, old, length = unplace(found)
            opened = self._open[number]
            raw = opened.file.read(old, length)
            try:
                decode_op(raw)
            except ValueError as err:
                # Copied on, it would be a sound frame around rotten bytes.
                self._give_up_rot(run)
                raise StoreCorrupt(self._path(opened.segment.name), old, str(err)) from None
            raws.append(raw)
            run.collector.add(key, offset + size, length)
            run.old.append(found)
            size += length
        data = encode(run.target.segment.first, self._durable, raws)
        run.target.file.append(data)
        run.length += len(data)
        self._copied += len(data)
        run.unsynced += len(data)
        if run.unsynced >= SYNC_EVERY:
            run.target.file.sync()
            run.unsynced = 0
        return len(data)

    def _give_up_rot(self, run: _Compaction) -> None:
        """A compaction that meets rot changes nothing, and is not tried again by itself."""
        self._automatic = False
        self._no_compaction(OSError(errno.ENOSPC, "rot"), run)
        self._full = False

    def _end_compaction(self, run: _Compaction) -> None:
        run.target.file.sync()
        self._files.sync()
        segment = replace(run.target.segment, length=run.length)
        run.target.segment = segment
        order = [segment.number, *(n for n in self._order if n not in run.dropped)]
        before, self._order = self._order, order
        self._open[segment.number] = run.target
        try:
            self._write_manifest()
        except OSError:
            self._order = before
            del self._open[segment.number]
            raise
        self._compaction = None
        run.target.collector = run.collector
        self._write_hint(run.target)
        self._repoint(run, segment.number)
        run.snapshot.close()
        with self._state:
            self._parked.extend(run.dropped)
            gone = [] if self._snapshots else self._parked
            if gone:
                self._parked = []
        self._drop(gone)
        self._compactions += 1
        self._garbage_then = 0

    def _repoint(self, run: _Compaction, number: int) -> None:
        """Let the index name the copies, where no write has come since."""
        index = self._index
        columns = zip(run.keys, run.collector.offsets, run.collector.sizes, run.old, strict=True)
        for n, (key, offset, size, old) in enumerate(columns):
            if n % BREATH == 0:
                time.sleep(0)
            if index.get(key) == old:
                with self._state:
                    if index.get(key) == old:
                        index[key] = place(number, offset, size)

    # ---- the rest --------------------------------------------------------------

    def stats(self) -> Stats:
        with self._state:
            disk = sum(o.segment.length or 0 for o in list(self._open.values())) + self._end
            return Stats(
                keys=len(self._index),
                live_bytes=self._live,
                disk_bytes=disk + (self._compaction.length if self._compaction else 0),
                segments=len(self._open),
                sequence=self._sequence,
                durable=self._durable,
                snapshots=len(self._snapshots) - (self._compaction is not None),
                compacting=self._compaction is not None,
                compactions=self._compactions,
                copied_bytes=self._copied,
                written_bytes=self._written,
                syncs=self._syncs,
                full=self._full,
                rot=self._rot,
                opened_s=self._opened_s,
                recovery=self._recovery,
            )

    def close(self) -> None:
        """Sync, note the length, and let go. What fails here is raised once all is let go."""
        if self._closed:
            return
        with self._writing:
            try:
                if not self._failed:
                    if self._compaction is not None:
                        self._no_compaction(OSError(errno.ENOSPC, "closing"), self._compaction)
                    self.sync()
                    last = self._open[self._order[-1]]
                    last.segment = replace(last.segment, length=self._end)
                    try:
                        self._write_manifest()
                    except OSError as err:
                        if err.errno not in NO_ROOM:
                            raise StoreFailed(f"closing: {err.strerror}") from err
            finally:
                self._let_go()

    def _let_go(self) -> None:
        self._closed = True
        for opened in self._open.values():
            opened.file.close()
        if self._compaction is not None:
            self._compaction.target.file.close()
        self._files.unlock()

    def _fail(self, why: str) -> None:
        self._failed = why
        raise StoreFailed(f"{self._files.path}: {why}; reads go on, open it anew to write")

    def _check_open(self) -> None:
        if self._closed:
            raise StoreClosed(f"{self._files.path} is closed")

    def _check_writable(self) -> None:
        self._check_open()
        if self._failed:
            raise StoreFailed(
                f"{self._files.path}: {self._failed}; reads go on, open it anew to write"
            )

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
