"""Opening a store: what lies on the disk becomes the segments and the index."""

from __future__ import annotations

from dataclasses import replace

from tansywood.store import manifest as manifests
from tansywood.store.errors import StoreCorrupt, StoreFormat
from tansywood.store.frames import HEAD, Frame, frames, read_head, readable_behind
from tansywood.store.hints import Collector, Hint, place
from tansywood.store.index import Index
from tansywood.store.manifest import Manifest, Segment
from tansywood.store.segments import OpenSegment, Segments
from tansywood.store.stats import Recovery


class Opening:
    """One opening of a folder whose lock is held. `run` fills segments and index."""

    def __init__(self, segments: Segments, index: Index) -> None:
        self.sequence = 0  # of the last write that was found; it is durable
        self.syncs = 0
        self.recovery = Recovery()
        self._segments = segments
        self._files = segments.files
        self._index = index

    def run(self) -> None:
        """Make a new store where the folder is empty. StoreCorrupt, StoreFormat, OSError."""
        names = set(self._files.names())
        if manifests.NAME not in names:
            self._create(names)
            return
        manifest = self._read_manifest()
        self._segments.next = manifest.next_number
        for segment in manifest.segments:
            self._load(segment, names)
        self._index.filled()
        self._go_on_writing()
        self._remove_left_over(manifest, names)

    def _read_manifest(self) -> Manifest:
        file = self._files.open(manifests.NAME)
        try:
            return manifests.decode(file.read(0, file.size()))
        except (ValueError, KeyError, TypeError) as err:
            raise StoreCorrupt(self._segments.path(manifests.NAME), 0, str(err)) from None
        finally:
            file.close()

    def _create(self, names: set[str]) -> None:
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
        self._segments.begin(first)
        self._segments.next = 2
        self._segments.write_manifest()

    def _go_on_writing(self) -> None:
        """All that is there now counts as durable from here on: so it has to be."""
        last = self._segments.last
        last.file.sync()
        self.syncs += 1
        if last.segment.length is not None:
            # It was closed cleanly and goes on being written to: its length is open again.
            last.segment = replace(last.segment, length=None)
            self._segments.write_manifest()

    def _remove_left_over(self, manifest: Manifest, names: set[str]) -> None:
        known = {manifests.NAME} | {s.name for s in manifest.segments}
        known |= {s.hint for s in manifest.segments}
        left = tuple(sorted(n for n in names - known if n.endswith((".log", ".hint", ".new"))))
        for name in left:
            self._files.remove(name)
        self.recovery = replace(self.recovery, left_over=left)

    # ---- one segment -----------------------------------------------------

    def _load(self, segment: Segment, names: set[str]) -> None:
        path = self._segments.path(segment.name)
        if segment.name not in names:
            raise StoreCorrupt(path, 0, "the file is missing")
        file = self._files.open(segment.name)
        opened = OpenSegment(segment, file, None)
        self._segments.open[segment.number] = opened
        self._segments.order.append(segment.number)
        size = file.size()
        if segment.length is not None and size != segment.length:
            raise StoreCorrupt(path, size, f"it has {size} bytes of {segment.length}")
        if segment.length is not None and segment.hint in names and self._load_hint(opened):
            self._segments.end = segment.length
            return
        self._scan(opened, file.read(0, size))

    def _load_hint(self, opened: OpenSegment) -> bool:
        """Whether the hint could be gone by."""
        segment = opened.segment
        assert segment.length is not None
        file = self._files.open(segment.hint)
        try:
            hint = Hint(file.read(0, file.size()), segment.number, segment.length)
        except ValueError:
            return False
        finally:
            file.close()
        hint.into(self._index.places)
        self.sequence = max(self.sequence, hint.last)
        return True

    def _scan(self, opened: OpenSegment, data: bytes) -> None:
        """Read a segment itself, and cut a torn tail away or refuse what has rotted."""
        segment = opened.segment
        self._check_head(segment, data)
        opened.collector = collector = Collector()
        at = HEAD.size
        expected = segment.first
        try:
            for frame in frames(data):
                if frame.sequence != expected:
                    raise ValueError(f"its sequence is {frame.sequence} and not {expected}")
                self._enter(segment.number, frame, collector)
                self.sequence = frame.sequence
                if not segment.kept:
                    expected += 1
                at = frame.end
        except ValueError as err:
            self._cut_tail(opened, data, at, expected, str(err))
        self.sequence = max(self.sequence, segment.first - (0 if segment.kept else 1))
        self._segments.end = at

    def _check_head(self, segment: Segment, data: bytes) -> None:
        path = self._segments.path(segment.name)
        try:
            number = read_head(data, path)
            if number != segment.number:
                raise ValueError(f"it is segment {number}")
        except ValueError as err:
            raise StoreCorrupt(path, 0, str(err)) from None

    def _enter(self, number: int, frame: Frame, collector: Collector) -> None:
        """Bring the index up to date with one frame."""
        places = self._index.places
        for key, value, offset, size in frame.ops:
            if value is None:
                places.pop(key, None)
                collector.add(key, offset, 0)
            else:
                places[key] = place(number, offset, size)
                collector.add(key, offset, size)

    def _cut_tail(self, opened: OpenSegment, data: bytes, at: int, expected: int, why: str) -> None:
        """Cut away what a crash left half written from byte `at` on. StoreCorrupt where it can't
        be that: in a sealed segment, or before something that says it was durable."""
        path = self._segments.path(opened.segment.name)
        if opened.segment.length is not None:
            raise StoreCorrupt(path, at, why) from None
        for later in readable_behind(data, at):
            if later.durable >= expected:
                raise StoreCorrupt(
                    path, at, f"{why}, and what is written behind it says it was durable"
                ) from None
        opened.file.truncate(at)
        self.recovery = Recovery(path, at, len(data) - at, why)
