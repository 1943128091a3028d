"""What happened at an instance, kept for people to read."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
KEPT = 500  # events


class EventLog(Generic[T]):
    """The last events with their times, and those that nobody has printed yet."""

    def __init__(self) -> None:
        self._kept: deque[tuple[int, T]] = deque(maxlen=KEPT)
        self._fresh: list[T] = []

    def __iter__(self) -> Iterator[tuple[int, T]]:
        """Time (nanoseconds of the process's monotonic clock) and event, the oldest first."""
        return iter(self._kept)

    def add(self, now: int, event: T) -> None:
        """Keep an event of this moment."""
        self._kept.append((now, event))
        self._fresh.append(event)

    def take_fresh(self) -> list[T]:
        """Events since the last call."""
        fresh, self._fresh = self._fresh, []
        return fresh
