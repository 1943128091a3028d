"""Events in order of time; those of one moment in the order in which they were made.

All times are integer nanoseconds. Nothing here reads a real clock.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MS = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """What is due next; `run` moves the time on."""

    __slots__ = ("_heap", "_made", "now")

    def __init__(self, start: int = SECOND) -> None:
        self.now = start
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0

    def at(self, due: int, call: Callable[..., None], *args: Any) -> None:
        """Call at this time, or now where it has passed."""
        self._made += 1
        heappush(self._heap, (max(due, self.now), self._made, call, args))

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now + int(delay), call, *args)

    def run(self, until: int) -> int:
        """Everything that is due up to `until`; returns how many events that were."""
        heap = self._heap
        count = 0
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            call(*args)
            count += 1
        self.now = max(self.now, until)
        return count
