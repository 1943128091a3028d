"""How long leases last. Times are nanoseconds. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.lease.raft import MS

SECOND = 1000 * MS


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The same at every voter and holder."""

    duration_ns: int = 4 * SECOND
    max_clock_skew_fraction: float = 0.1  # by which the rates of two clocks may differ
    renew_interval_ns: int = SECOND  # between two renewals: three may be lost

    def __post_init__(self) -> None:
        if not 0 <= self.max_clock_skew_fraction < 0.5:
            raise ValueError("clocks' rates may differ by less than a half")
        if not 0 < 2 * self.renew_interval_ns <= self.duration_ns:
            raise ValueError("a lease has to last for two renewals at least")

    @property
    def holder_duration_ns(self) -> int:
        """How long a holder goes by an answer, from when it asked."""
        return int(self.duration_ns * (1.0 - self.max_clock_skew_fraction))
