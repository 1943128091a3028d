"""The index: where in the log each key's value lies, and the keys in order.

One key is looked up without a lock. Changes, and whatever has to see the keys and the open
snapshots at one moment, hold `lock`, which is never held over disk work.
"""

from __future__ import annotations

import threading
from bisect import bisect_left
from typing import TYPE_CHECKING

from tansywood.store.hints import MOST_SIZE

if TYPE_CHECKING:
    from tansywood.store.snapshots import Snapshot


class Index:
    """Places (see `hints.place`) by key."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.places: dict[bytes, int] = {}
        self.live_bytes = 0  # of the operations that are named here
        self.snapshots: set[Snapshot] = set()  # that are open
        self._sorted: list[bytes] = []
        self._unsorted: dict[bytes, None] = {}  # keys of `places` not yet in _sorted

    def filled(self) -> None:
        """After `places` was filled from the disk."""
        self.live_bytes = sum(found & MOST_SIZE for found in self.places.values())
        self._sorted = []
        self._unsorted = dict.fromkeys(self.places)

    def set(self, key: bytes, found: int | None) -> None:
        """Change one entry, or delete it with None; with `lock` held."""
        old = self.places.get(key)
        for snapshot in self.snapshots:
            snapshot.replaced.setdefault(key, old)
        if found is not None:
            self.places[key] = found
            self.live_bytes += found & MOST_SIZE
            if old is None:
                self._unsorted[key] = None
        elif old is not None:
            del self.places[key]
            self._unsorted.pop(key, None)
        if old is not None:
            self.live_bytes -= old & MOST_SIZE

    def move(self, key: bytes, old: int, new: int) -> None:
        """Name a copy of what is at `old`, unless a write has come since."""
        if self.places.get(key) == old:
            with self.lock:
                if self.places.get(key) == old:
                    self.places[key] = new

    def ordered(self, start: bytes, end: bytes | None) -> list[bytes]:
        """Keys from start on, up to end and without it, in order; with `lock` held."""
        places = self.places
        if self._unsorted:
            # Nearly sorted: timsort takes little more than a copy.
            # A key that was deleted and came back may be in it twice.
            self._sorted.extend(self._unsorted)
            self._unsorted = {}
            self._sorted.sort()
            self._sorted = list(dict.fromkeys(self._sorted))
        if len(self._sorted) > 2 * len(places) + 64:
            self._sorted = [k for k in self._sorted if k in places]
        keys = self._sorted
        low = bisect_left(keys, start) if start else 0
        high = len(keys) if end is None else bisect_left(keys, end)
        return [k for k in keys[low:high] if k in places]
