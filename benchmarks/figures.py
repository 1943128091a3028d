"""Figures of several rounds, as benchmarks print them."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from random import Random

RESAMPLES = 2000  # of the bootstrap


def median_and_range(values: Sequence[float], form: str = ".3f") -> str:
    """As "median (least to most)"; `form` is a format specification for each."""
    middle = statistics.median(values)
    return f"{middle:{form}} ({min(values):{form}} to {max(values):{form}})"


def median_and_interval(values: Sequence[float]) -> str:
    """Median and 95 % of the bootstrap's medians, by a fixed seed."""
    rng = Random(1)
    medians = sorted(
        statistics.median(rng.choices(values, k=len(values))) for _ in range(RESAMPLES)
    )
    low, high = medians[RESAMPLES // 40], medians[-RESAMPLES // 40 - 1]
    return f"{statistics.median(values):.3f} ({low:.3f} to {high:.3f})"


def quantile(values: Sequence[float], part: float) -> float:
    """The value below which this part of all lies."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
