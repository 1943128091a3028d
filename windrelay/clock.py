"""Unix time that does not follow steps of the wall clock while the process runs.

Windows, waits and graces are spans of real time: a wall clock that is set an hour forward must
not end them, and one that is set back must not prolong them.
"""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000

_START_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def unix_ms() -> int:
    """The wall clock's time at the process's start, and the real time since, in milliseconds."""
    return (time.monotonic_ns() + _START_OFFSET_NS) // NS_PER_MS
