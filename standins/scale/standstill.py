"""How long a process's loop stands still: it shows where a machine is too busy for a run."""

from __future__ import annotations

import asyncio
import time

WATCH_S = 0.05


class Watch:
    """The longest time by which a timer of this loop was late."""

    def __init__(self) -> None:
        self._longest_s = 0.0

    async def run(self) -> None:
        """For ever."""
        while True:
            due = time.monotonic() + WATCH_S
            await asyncio.sleep(WATCH_S)
            self._longest_s = max(self._longest_s, time.monotonic() - due)

    def take_ms(self) -> int:
        """In milliseconds, since it was taken before."""
        longest, self._longest_s = self._longest_s, 0.0
        return round(longest * 1e3)
