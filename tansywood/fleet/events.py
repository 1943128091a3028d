"""Recent events of an instance, kept for operators to read."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
MAX_KEPT_EVENTS = 500


class EventLog(Generic[T]):
    """The last events with their times, and those that were not printed yet."""

    def __init__(self) -> None:
        self._events: deque[tuple[int, T]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._unprinted: list[T] = []

    def __iter__(self) -> Iterator[tuple[int, T]]:
        """Pairs of time (nanoseconds of the monotonic clock) and event, the oldest first."""
        return iter(self._events)

    def add(self, now: int, event: T) -> None:
        """Add an event that happened at `now`."""
        self._events.append((now, event))
        self._unprinted.append(event)

    def take_fresh(self) -> list[T]:
        """Return the events since the last call."""
        unprinted, self._unprinted = self._unprinted, []
        return unprinted
