"""The live segments: their files, their hints, and the manifest that names them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable
from typing import NoReturn

from tansywood.store import manifest as manifests
from tansywood.store.files import File, Files
from tansywood.store.frames import HEAD, segment_head
from tansywood.store.hints import Collector
from tansywood.store.manifest import Manifest, Segment


class OpenSegment:
    """A live segment and its file."""

    __slots__ = ("collector", "file", "segment")

    def __init__(self, segment: Segment, file: File, collector: Collector | None) -> None:
        self.segment = segment
        self.file = file
        self.collector = collector  # of one that gets no hint from elsewhere


class Segments:
    """All segments that the index or a snapshot may name."""

    def __init__(self, files: Files, fail: Callable[[str], NoReturn]) -> None:
        """`fail` puts the store in doubt and raises StoreFailed, with the reason."""
        self.files = files
        self.open: dict[int, OpenSegment] = {}  # by number
        self.order: list[int] = []  # of live segments, the last is written to
        self.next = 1  # number of the next one
        self.end = 0  # bytes of the last segment that are whole
        self._fail = fail

    @property
    def last(self) -> OpenSegment:
        """The one that is written to."""
        return self.open[self.order[-1]]

    def path(self, name: str) -> str:
        """Of a file of this store, for messages."""
        return f"{self.files.path}/{name}"

    def create(self, name: str) -> File:
        """A new file; one of that name is left from an attempt that failed."""
        try:
            return self.files.create(name)
        except FileExistsError:
            self.files.remove(name)
            return self.files.create(name)

    def begin(self, segment: Segment) -> None:
        """A new last segment, on the disk under its name."""
        file = self.create(segment.name)
        try:
            file.append(segment_head(segment.number))
            file.sync()
            self.files.sync()
        except OSError:
            file.close()
            raise
        self.open[segment.number] = OpenSegment(segment, file, Collector())
        self.order.append(segment.number)
        self.end = HEAD.size

    def write_manifest(self) -> None:
        """The one step that changes which segments are live. OSError before the rename leaves
        the old one in force; after it the store is in doubt: StoreFailed."""
        segments = tuple(self.open[number].segment for number in self.order)
        data = Manifest(segments, max(self.next, max(self.order) + 1)).encode()
        file = self.create(manifests.BESIDE)
        try:
            file.append(data)
            file.sync()
        finally:
            file.close()
        try:
            self.files.rename(manifests.BESIDE, manifests.NAME)
            self.files.sync()
        except OSError as err:
            self._fail(f"the manifest's rename failed: {err.strerror}")

    def write_hint(self, opened: OpenSegment) -> None:
        """Only an accelerator: where it fails the segment itself is read at the next opening."""
        collector, opened.collector = opened.collector, None
        segment = opened.segment
        if collector is None or segment.length is None:
            return
        following = self.order.index(segment.number) + 1
        last = self.open[self.order[following]].segment.first - 1 if not segment.kept else 0
        pieces = collector.encode(segment.number, segment.length, last or segment.first)
        try:
            file = self.create(segment.hint)
            try:
                for piece in pieces:
                    file.append(piece)
                file.sync()
            finally:
                file.close()
        except OSError:
            return

    def drop(self, numbers: Iterable[int]) -> None:
        """Close and remove replaced segments; what can't be removed goes at the next opening."""
        for number in numbers:
            opened = self.open.pop(number)
            opened.file.close()
            for name in (opened.segment.name, opened.segment.hint):
                with contextlib.suppress(OSError):
                    self.files.remove(name)

    def close(self) -> None:
        """Close all files."""
        for opened in self.open.values():
            opened.file.close()
