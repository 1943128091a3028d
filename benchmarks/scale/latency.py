"""What lies between two samples of latencies: the difference of a quantile, and how sure it is."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from benchmarks.figures import quantile

RESAMPLES = 400
SEED = 1
SURE = 0.95  # part of the resamples within an interval


def added(direct: Sequence[float], through: Sequence[float], q: float) -> float:
    """By how much quantile `q` of one is above that of the other, in their unit."""
    return quantile(list(through), q) - quantile(list(direct), q)


def interval(direct: Sequence[float], through: Sequence[float], q: float) -> tuple[float, float]:
    """Between which two values `added` lies in 95 of 100 resamples (Efron's percentile bootstrap).

    Both are drawn anew from themselves, with a fixed seed: the same samples, the same interval. It
    says what few samples leave open, not what another machine or hour would change.
    """
    random = Random(SEED)
    found = sorted(
        added(random.choices(direct, k=len(direct)), random.choices(through, k=len(through)), q)
        for _ in range(RESAMPLES)
    )
    outside = round(RESAMPLES * (1 - SURE) / 2)
    return found[outside], found[-1 - outside]
