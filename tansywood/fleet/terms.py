"""The fleet's times, in one place, with the reason for each. Nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class GrantTerms:
    """Of one fleet; every instance must have the same."""

    grant_ns: int = 2 * SECOND  # of a grant, by the allocator's clock
    max_clock_skew: float = 0.1  # by which the rates of two clocks may differ
    claim_interval_ns: int = 250 * MS  # between two claims: eight tries before a grant is over
    min_remaining_ns: int = 400 * MS  # a grant with less than this left is no longer counted on

    def __post_init__(self) -> None:
        if not 0 < self.claim_interval_ns * 3 <= self.grant_ns:
            raise ValueError("a grant has to last for three rounds at least")
        if not 0 <= self.max_clock_skew < 0.5:
            raise ValueError("clocks' rates may differ by less than a half")
        if not 0 <= self.min_remaining_ns < self.grant_ns // 2:
            raise ValueError("the spare time has to be under half of a grant")

    def request_tail_ns(self, tail: int) -> int:
        """The allocator's wait beyond a grant's length for a request taken under it, which is over
        after `tail` by its holder's clock."""
        return int(tail / (1.0 - self.max_clock_skew))

    def in_use_ns(self, tail: int) -> int:
        """How long after its answer an allocator counts a grant as in use: its length, and a
        request taken at its end."""
        return self.grant_ns + self.request_tail_ns(tail)

    @property
    def usable_ns(self) -> int:
        """How long a holder may use a grant, by its own clock from the sending of its claim."""
        return int(self.grant_ns * (1.0 - self.max_clock_skew))
