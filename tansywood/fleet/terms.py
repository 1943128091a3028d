"""Timing of grants of limits, in nanoseconds, with the reason for each value."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class GrantTerms:
    """Timing of grants in one fleet; every instance must have the same values.

    ValueError where the values contradict one another.
    """

    grant_ns: int = 2 * SECOND  # length of a grant by the allocator's clock
    max_clock_skew: float = 0.1  # largest fraction by which two clocks' rates differ
    claim_interval_ns: int = 250 * MS  # a grant is claimed eight times before it ends
    min_remaining_ns: int = 400 * MS  # a holder ignores a grant with less time left

    def __post_init__(self) -> None:
        if not 0 < self.claim_interval_ns * 3 <= self.grant_ns:
            raise ValueError("a grant must last for at least three claim intervals")
        if not 0 <= self.max_clock_skew < 0.5:
            raise ValueError("max_clock_skew must be at least 0 and below 0.5")
        if not 0 <= self.min_remaining_ns < self.grant_ns // 2:
            raise ValueError("min_remaining_ns must be at least 0 and below half of grant_ns")

    def request_tail_ns(self, tail: int) -> int:
        """How long the allocator waits after a grant for requests that were accepted under it.

        Such a request ends within `tail` by the holder's clock.
        """
        return int(tail / (1.0 - self.max_clock_skew))

    def in_use_ns(self, tail: int) -> int:
        """How long after answering the allocator counts a grant as in use.

        That is the grant's length and the time of a request that was accepted at its end.
        """
        return self.grant_ns + self.request_tail_ns(tail)

    @property
    def usable_ns(self) -> int:
        """How long a holder may use a grant, by its own clock, from sending the claim."""
        return int(self.grant_ns * (1.0 - self.max_clock_skew))
