"""Least squares over a few measured sizes: a line, a power where a line does not do, a logarithm.

The residual is the largest relative deviation of a measured value from the fit.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

SIZES_LEAST = 4
POWER_BETTER = 0.5  # a power is taken where its residual is under this part of the line's ...
LINE_GOOD = 0.1  # ... and the line misses a point by more than this


@dataclass(frozen=True, slots=True)
class Point:
    """A measured value at a size."""

    size: float
    value: float


class Form(StrEnum):
    """How a fit goes: first + second * size, first * size ** second, first + second * ln(size)."""

    LINE = "line"
    POWER = "power"
    LOGARITHM = "logarithm"


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted law and how far the points lie from it."""

    form: Form
    first: float  # intercept, or factor
    second: float  # slope, or exponent
    residual: float  # largest relative deviation

    def at(self, size: float) -> float:
        """The value at a size; never below nothing."""
        if self.form is Form.LINE:
            return max(self.first + self.second * size, 0.0)
        if self.form is Form.LOGARITHM:
            return max(self.first + self.second * math.log(size), 0.0) if size > 0 else 0.0
        return float(self.first * size**self.second) if size > 0 else 0.0

    def reaches(self, value: float) -> float:
        """The smallest size at which the value is reached; infinity where it never is."""
        if self.at(0) >= value:
            return 0.0
        if self.second <= 0:
            return math.inf
        if self.form is Form.LINE:
            return (value - self.first) / self.second
        if self.form is Form.LOGARITHM:
            return math.exp((value - self.first) / self.second)
        return math.inf if self.first <= 0 else float((value / self.first) ** (1 / self.second))


def _least_squares(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if not spread:
        raise ValueError("all sizes are the same")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    return mean_y - slope * mean_x, slope


def _measured(points: Sequence[Point], form: Form, first: float, second: float) -> Fit:
    law = Fit(form, first, second, 0.0)
    most = max((abs(p.value) for p in points), default=0.0)
    # A value of nothing has no relative deviation of its own: it is taken to the largest.
    rows = [abs(law.at(p.size) - p.value) / (abs(p.value) or most or 1.0) for p in points]
    return Fit(form, first, second, max(rows))


def line(points: Sequence[Point]) -> Fit:
    """The straight line nearest to the points."""
    first, second = _least_squares([p.size for p in points], [p.value for p in points])
    return _measured(points, Form.LINE, first, second)


def power(points: Sequence[Point]) -> Fit | None:
    """The power law nearest to them on logarithmic scales; None where a size or value is 0."""
    if any(p.size <= 0 or p.value <= 0 for p in points):
        return None
    xs = [math.log(p.size) for p in points]
    first, second = _least_squares(xs, [math.log(p.value) for p in points])
    return _measured(points, Form.POWER, math.exp(first), second)


def logarithm(points: Sequence[Point]) -> Fit:
    """The logarithm nearest to the points; all sizes are above 0."""
    xs = [math.log(p.size) for p in points]
    first, second = _least_squares(xs, [p.value for p in points])
    return _measured(points, Form.LOGARITHM, first, second)


def fit(points: Sequence[Point], by_design: Form | None = None) -> Fit:
    """A line, unless it misses a point badly and a power above 1 misses all by much less.

    A power below 1 is not taken: a line with a fixed part looks like one where sizes are small.

    `by_design` is a law that the code's own formula has. ValueError with fewer than four sizes.
    """
    if len({p.size for p in points}) < SIZES_LEAST:
        raise ValueError(f"{SIZES_LEAST} sizes at least, not {len(points)}")
    if by_design is Form.LOGARITHM:
        return logarithm(points)
    straight, curved = line(points), power(points)
    bad = straight.residual > LINE_GOOD
    if curved is None or curved.second <= 1:
        return straight
    if bad and curved.residual < POWER_BETTER * straight.residual:
        return curved
    return straight
