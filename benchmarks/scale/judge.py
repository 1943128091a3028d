"""From a measured series to a finding: the fit, the full size, and where a limit breaks."""

from __future__ import annotations

import math

from benchmarks.scale.fit import fit
from benchmarks.scale.model import NODES, Finding, Resource, Series

TALKING = (Resource.TRAFFIC, Resource.MESSAGES)  # it takes two


def judge(series: Series) -> Finding:
    """Fit the series and extrapolate it; a size that was measured stands as it was measured.

    What shrinks over the sizes measured is not taken to shrink further.
    """
    made = fit(series.points, series.law)
    reached = [p.value for p in series.points if p.size == series.expected]
    at_most = max(series.points, key=lambda p: p.size)
    falls = made.second < 0 and series.expected > at_most.size
    full = reached[0] if reached else at_most.value if falls else made.at(series.expected)
    breaks = None
    if series.limit is not None and full > series.limit:
        smallest = 2 if series.resource in TALKING else 1
        breaks = smallest
        if series.grows_with_fleet:
            size = made.reaches(series.limit)
            breaks = max(smallest, math.ceil(NODES * size / series.expected))
    largest = max(p.size for p in series.points)
    return Finding(series, made, full, largest, breaks)
