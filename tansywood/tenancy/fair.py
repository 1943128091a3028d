"""One worker's time between its tenants: who has had too much of a busy window, and waits.

Work-conserving: while the worker is not busy nobody waits, however uneven the use. In a busy
window each tenant is owed its share of the time, and what one leaves goes to those that want
more (max-min, by water filling). Whoever used more than that is not read from for as long as
it has overdrawn; what it has asked already goes on, for an answer held back helps nobody.
"""

from __future__ import annotations

from collections.abc import Mapping

BUSY_PART = 0.7  # of a window, over which the worker is short of time
LONGEST_WINDOWS = 2.5  # of waiting: then it may ask again, and is measured again
SLACK = 1.25  # uses this much over the owed part: timing is not that exact


def owed(used: Mapping[str, int], shares: Mapping[str, float], room: int) -> dict[str, float]:
    """Max-min parts of `room` by share; nobody is owed more than it used."""
    left = dict(used)
    parts: dict[str, float] = {}
    rest = float(room)
    while left:
        weight = sum(shares.get(t, 1.0) for t in left)
        content = [t for t in left if left[t] <= rest * shares.get(t, 1.0) / weight]
        if not content:
            for t in left:
                parts[t] = rest * shares.get(t, 1.0) / weight
            break
        for t in content:
            parts[t] = float(left.pop(t))
            rest -= parts[t]
    return parts


def waits(used: Mapping[str, int], shares: Mapping[str, float], window: int) -> dict[str, int]:
    """How long each tenant is not to be read from; tenants that need not wait are not in it.

    `used` is what each used of the window just over, all in nanoseconds.
    """
    total = sum(used.values())
    if total <= BUSY_PART * window or len(used) < 2:
        return {}
    parts = owed(used, shares, round(BUSY_PART * window))
    found = {}
    for tenant, took in used.items():
        part = max(parts[tenant], 1.0)
        if took > SLACK * part:
            found[tenant] = round(min(took / part - 1.0, LONGEST_WINDOWS) * window)
    return found
