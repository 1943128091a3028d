"""Durations of leases, in nanoseconds. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.lease.raft import MS

SECOND = 1000 * MS


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Duration and renewal of leases. Every voter and every holder uses the same values.

    Raises ValueError where two clocks may differ too much or a lease has no room for two renewals.
    """

    duration_ns: int = 4 * SECOND
    max_clock_skew_fraction: float = 0.1  # largest difference between the rates of two clocks
    renew_interval_ns: int = SECOND  # by default three renewals in a row may be lost

    def __post_init__(self) -> None:
        if not 0 <= self.max_clock_skew_fraction < 0.5:
            raise ValueError(
                "the rates of two clocks may differ by a fraction from 0 to less than 0.5"
            )
        if not 0 < 2 * self.renew_interval_ns <= self.duration_ns:
            raise ValueError("a lease has to last for at least two renewal intervals")

    @property
    def holder_duration_ns(self) -> int:
        """How long a holder may rely on a reply, counted from the moment it sent the request. The
        leader waits for the full `duration_ns`, so a slow clock at the holder does no harm."""
        return int(self.duration_ns * (1.0 - self.max_clock_skew_fraction))
