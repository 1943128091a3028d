"""How long leases last. Times are nanoseconds. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.lease.raft import MS

SECOND = 1000 * MS


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The same at every voter and holder."""

    length: int = 4 * SECOND
    skew: float = 0.1  # by which the rates of two clocks may differ
    renew: int = SECOND  # between two renewals: three may be lost

    def __post_init__(self) -> None:
        if not 0 <= self.skew < 0.5:
            raise ValueError("clocks' rates may differ by less than a half")
        if not 0 < 2 * self.renew <= self.length:
            raise ValueError("a lease has to last for two renewals at least")

    @property
    def used(self) -> int:
        """How long a holder goes by an answer, from when it asked."""
        return int(self.length * (1.0 - self.skew))
