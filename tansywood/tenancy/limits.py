"""A tenant's rates as buckets of tokens, in integers of nanoseconds of a monotonic clock.

A bucket begins with a tenth of a second's worth, whatever its burst: a service that restarts,
or that takes a tenant over from a worker that died, must not give a second burst, and must not
refuse what comes at the usual rate. Over any time T with k beginnings no more than
burst + rate * (T + k / 10) + k are let through.
"""

from __future__ import annotations

from collections.abc import Callable

SECOND = 1_000_000_000
BEGIN = SECOND // 10  # of filling that a bucket begins with
NEVER = 1 << 62  # nanoseconds: what one costs where none may pass


class Bucket:
    """So many a second, and `burst` at once after a pause."""

    __slots__ = ("_at", "_cost", "_lapsed", "_most", "_saved", "_until")

    def __init__(self, now: int, rate_per_s: float, burst: float) -> None:
        self._at = now
        self._cost = 0
        self._most = 0
        self._saved = 0  # nanoseconds of filling
        self._until = NEVER
        self._lapsed: Callable[[], None] = lambda: None
        self.change(now, rate_per_s, burst)
        self._saved = max(self._cost, min(BEGIN, self._most))

    def fill(self) -> None:
        """As after a pause. For what need not hold over a restart."""
        self._saved = self._most

    def empty(self, now: int) -> None:
        """Begin with nothing: others may be using the whole of it."""
        self._saved = 0
        self._at = now

    def hold_until(self, until: int, lapsed: Callable[[], None]) -> None:
        """The rate in force is lent: at the first take after `until` `lapsed` is called before
        anything else, and has to set the one that holds from then on."""
        self._until = until
        self._lapsed = lapsed

    def extend(self, until: int) -> bool:
        """It is lent for longer; False where it is not lent, or has lapsed."""
        if self._until == NEVER:
            return False
        self._until = until
        return True

    def change(self, now: int, rate_per_s: float, burst: float) -> None:
        """Go on at another rate, 0 for none; what was saved stays, cut to the new burst."""
        whole = 0.0
        if self._cost and self._cost != NEVER:
            # What was filled until now was filled at the old rate.
            if now > self._at:
                self._saved = min(self._saved + now - self._at, self._most)
            whole = self._saved / self._cost
        self._at = max(self._at, now)
        if rate_per_s <= 0:
            self._cost, self._most, self._saved = NEVER, 0, 0
            return
        self._cost = max(round(SECOND / rate_per_s), 1)
        self._most = round(self._cost * max(burst, 1.0))
        self._saved = min(round(whole * self._cost), self._most)

    def take(self, now: int) -> int:
        """0 where one is let through, else how long until one would be. Time that goes
        backwards (a clock that is no monotonic one) fills nothing and takes nothing."""
        if now > self._until:
            self._until = NEVER
            self._lapsed()
        if now > self._at:
            self._saved = min(self._saved + now - self._at, self._most)
            self._at = now
        if self._cost == NEVER:
            return SECOND
        if self._saved >= self._cost:
            self._saved -= self._cost
            return 0
        return self._cost - self._saved
