"""A way on which everything takes the same time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class DelayLine(Generic[Item]):
    """Passes on what is put in after a delay, in order. While it is paused nothing is passed on;
    what was due meanwhile follows at once. Without a delay an item is passed on within `put`."""

    def __init__(self, delay_s: float, deliver: Callable[[Item], None]) -> None:
        self._delay_s = delay_s
        self._deliver = deliver
        self._items: deque[tuple[float, Item]] = deque()
        self._paused = False
        self._timer: asyncio.TimerHandle | None = None

    def put(self, item: Item) -> None:
        if not self._delay_s and not self._items and not self._paused:
            self._deliver(item)
            return
        self._items.append((asyncio.get_running_loop().time() + self._delay_s, item))
        self._schedule()

    def pause(self) -> None:
        self._paused = True
        self._stop_timer()

    def resume(self) -> None:
        self._paused = False
        self._schedule()

    def clear(self) -> None:
        """What is on its way is lost."""
        self._items.clear()
        self._stop_timer()

    def _schedule(self) -> None:
        if self._timer is None and self._items and not self._paused:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._items[0][0], self._deliver_due)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _deliver_due(self) -> None:
        self._stop_timer()
        now = asyncio.get_running_loop().time()
        try:
            while self._items and not self._paused and self._items[0][0] <= now:
                self._deliver(self._items.popleft()[1])
        finally:  # what follows one that raised is delivered all the same, as by a transport
            self._schedule()
