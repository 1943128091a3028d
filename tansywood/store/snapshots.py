"""Snapshots: the store as it was at one moment, and the files that they keep from going."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Self

from tansywood.store.errors import StoreClosed
from tansywood.store.index import Index
from tansywood.store.segments import Segments

Read = Callable[[bytes, int], bytes]  # the value of a key that lies at a place


class Snapshot:
    """The store as it was at one moment, for as long as it is open. A context manager."""

    def __init__(self, snapshots: Snapshots, sequence: int) -> None:
        self.sequence = sequence
        self.replaced: dict[bytes, int | None] = {}  # places that writes since have replaced
        self._snapshots = snapshots
        self._index = snapshots.index
        self._closed = False

    def get(self, key: bytes) -> bytes | None:
        """None where there is no such key. StoreCorrupt, StoreError as Store.get."""
        found = self.place(bytes(key))
        return None if found is None else self._snapshots.read(key, found)

    def place(self, key: bytes) -> int | None:
        """Where its value lies; None where there is none. StoreClosed."""
        if self._closed:
            raise StoreClosed("the snapshot is closed")
        # The index first: a writer notes what was before it changes the index.
        found = self._index.places.get(key)
        return self.replaced.get(key, found)

    def every(self) -> list[bytes]:
        """All its keys, in no order; cheaper than `keys` by the sorting."""
        with self._index.lock:
            if not self.replaced:
                return [*self._index.places]
        return self.keys()

    def keys(self, start: bytes = b"", end: bytes | None = None) -> list[bytes]:
        """From start on, up to end and without it, in order."""
        with self._index.lock:
            keys = self._index.ordered(start, end)
            if not self.replaced:
                return keys
            extra = [k for k in self.replaced if k >= start and (end is None or k < end)]
        # In the index, replaced, or both.
        return sorted(k for k in {*keys, *extra} if self.place(k) is not None)

    def scan(self, start: bytes = b"", end: bytes | None = None) -> Iterator[tuple[bytes, bytes]]:
        """Keys and values in the keys' order."""
        for key in self.keys(start, end):
            value = self.get(key)
            assert value is not None
            yield key, value

    def close(self) -> None:
        """Let go of the files that it reads. Again: nothing."""
        if not self._closed:
            self._closed = True
            self._snapshots.release(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Snapshots:
    """Opens snapshots, and removes replaced segments once none is open."""

    def __init__(self, index: Index, segments: Segments, read: Read) -> None:
        self.index = index
        self.read = read
        self._segments = segments
        self._parked: list[int] = []  # replaced segments that an open snapshot may still read

    def open(self, sequence: int) -> Snapshot:
        """One of this moment; with the index's lock held."""
        snapshot = Snapshot(self, sequence)
        self.index.snapshots.add(snapshot)
        return snapshot

    def release(self, snapshot: Snapshot) -> None:
        """It is read no more."""
        with self.index.lock:
            self.index.snapshots.discard(snapshot)
        self.retire(())

    def retire(self, numbers: Iterable[int]) -> None:
        """These segments are replaced: remove them and those that waited, or let them wait."""
        with self.index.lock:
            self._parked.extend(numbers)
            gone = [] if self.index.snapshots else self._parked
            if gone:
                self._parked = []
        self._segments.drop(gone)
