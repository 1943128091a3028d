"""The log: frames appended to the last segment, made durable, and sealed segment by segment.

Appending is for one thread at a time; `sync` may be called from any.
"""

from __future__ import annotations

import errno
import threading
from dataclasses import dataclass, replace
from typing import NoReturn

from tansywood.store.errors import StoreClosed, StoreFailed, StoreFull
from tansywood.store.files import File, Files
from tansywood.store.frames import FRAME, HEAD, encode
from tansywood.store.manifest import Segment
from tansywood.store.segments import OpenSegment, Segments

NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


@dataclass(frozen=True, slots=True)
class Appended:
    """Where a frame was written."""

    sequence: int
    opened: OpenSegment
    offset: int  # of its first operation


class Log:
    """The segments as they are written to, and how far they are on the disk."""

    def __init__(self, files: Files, lock: threading.Lock, segment_bytes: int) -> None:
        """`lock` guards `sequence` together with the index."""
        self.segments = Segments(files, self.fail)
        self.sequence = 0  # of the last write
        self.durable = 0  # the last one known to be on the disk
        self.full = False  # the last write or compaction found no room
        self.failed = ""  # why nothing can be written any more
        self.closed = False
        self.written = 0  # bytes, since opening
        self.syncs = 0
        self._files = files
        self._lock = lock
        self._segment_bytes = segment_bytes
        self._syncing = threading.Lock()

    def append(self, operations: list[bytes]) -> Appended:
        """Write encoded operations as one frame. The caller sets `sequence` once the index names
        them. StoreFull where there is no room, StoreFailed."""
        sequence = self.sequence + 1
        data = encode(sequence, self.durable, operations)
        segments = self.segments
        if segments.end > HEAD.size and segments.end + len(data) > self._segment_bytes:
            self.rotate()
        opened = segments.last
        self._put(opened.file, data, segments.end)
        self.full = False
        self.written += len(data)
        offset = segments.end + FRAME.size
        segments.end += len(data)
        return Appended(sequence, opened, offset)

    def _put(self, file: File, data: bytes, end: int) -> None:
        """Append to a file that is sound up to `end`, and leave it so if that fails."""
        try:
            file.append(data)
        except OSError as err:
            try:
                file.truncate(end)
            except OSError as worse:
                self.fail(f"a write failed ({err.strerror}), then its cut ({worse.strerror})")
            if err.errno in NO_ROOM:
                self.full = True
                raise StoreFull(f"{self._files.path}: {err.strerror}; nothing was written") from err
            self.fail(f"a write failed: {err.strerror}")

    def sync(self, sequence: int | None = None) -> None:
        """Return once all writes up to this one (by default the last) are on the disk.

        Those who wait together share one sync. StoreFailed where it fails: the pages may be
        gone although a later sync succeeds, so nothing is acknowledged on that file again.
        """
        if sequence is None:
            sequence = self.sequence
        with self._syncing:
            self.check_writable()
            while self.durable < sequence:
                with self._lock:
                    target = self.sequence
                    file = self.segments.last.file
                try:
                    file.sync()
                except OSError as err:
                    self.fail(f"a sync failed: {err.strerror}")
                self.syncs += 1
                # What lies in earlier segments was synced when they were sealed.
                self.durable = max(self.durable, target)

    def rotate(self) -> bool:
        """Seal the last segment and begin another; False where there is no room for it, and the
        old one is written on.

        Synced first: nothing may become durable in the new one while a part of the old one
        is not.
        """
        segments = self.segments
        old, end = segments.last, segments.end
        self.sync()
        new = Segment(segments.next, self.sequence + 1)
        try:
            segments.begin(new)
        except OSError as err:
            if err.errno in NO_ROOM:
                return False
            self.fail(f"a new segment failed: {err.strerror}")
        segments.next += 1
        was, old.segment = old.segment, replace(old.segment, length=end)
        try:
            segments.write_manifest()
        except OSError as err:
            if err.errno not in NO_ROOM:
                self.fail(f"the manifest failed: {err.strerror}")
            # Never renamed: the old one is in force, and the new segment no part of it.
            old.segment = was
            segments.order.pop()
            segments.drop([new.number])
            segments.end = end
            return False
        segments.write_hint(old)
        return True

    def note_length(self) -> None:
        """At the end: the manifest says how long the last segment is. Without room it doesn't,
        and the next opening reads the segment."""
        last = self.segments.last
        last.segment = replace(last.segment, length=self.segments.end)
        try:
            self.segments.write_manifest()
        except OSError as err:
            if err.errno not in NO_ROOM:
                raise StoreFailed(f"closing: {err.strerror}") from err

    def fail(self, why: str) -> NoReturn:
        """Write nothing any more, and say so."""
        self.failed = why
        raise self._failure()

    def check_open(self) -> None:
        """StoreClosed."""
        if self.closed:
            raise StoreClosed(f"{self._files.path} is closed")

    def check_writable(self) -> None:
        """StoreClosed, StoreFailed."""
        self.check_open()
        if self.failed:
            raise self._failure()

    def _failure(self) -> StoreFailed:
        return StoreFailed(f"{self._files.path}: {self.failed}; reads go on, open it anew to write")
