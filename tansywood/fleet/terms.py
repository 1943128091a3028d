"""The fleet's times, in one place, with the reason for each. Nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Terms:
    """Of one fleet; every instance must have the same."""

    length: int = 2 * SECOND  # of a grant, by the allocator's clock
    skew: float = 0.1  # by which the rates of two clocks may differ
    round: int = 250 * MS  # between two claims: eight tries before a grant is over
    spare: int = 400 * MS  # a grant with less than this left is no longer counted on

    def __post_init__(self) -> None:
        if not 0 < self.round * 3 <= self.length:
            raise ValueError("a grant has to last for three rounds at least")
        if not 0 <= self.skew < 0.5:
            raise ValueError("clocks' rates may differ by less than a half")
        if not 0 <= self.spare < self.length // 2:
            raise ValueError("the spare time has to be under half of a grant")

    def after(self, tail: int) -> int:
        """The allocator's wait beyond a grant's length for a request taken under it, which is over
        after `tail` by its holder's clock."""
        return int(tail / (1.0 - self.skew))

    def outlast(self, tail: int) -> int:
        """How long after its answer an allocator counts a grant as in use: its length, and a
        request taken at its end."""
        return self.length + self.after(tail)

    @property
    def used(self) -> int:
        """How long a holder may use a grant, by its own clock from the sending of its claim."""
        return int(self.length * (1.0 - self.skew))
