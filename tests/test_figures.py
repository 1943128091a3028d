"""What benchmarks print of several rounds."""

from __future__ import annotations

import pytest

from benchmarks.figures import median_and_interval, median_and_range, quantile


def test_a_median_stands_with_its_range() -> None:
    assert median_and_range([3.0, 1.0, 2.0]) == "2.000 (1.000 to 3.000)"
    assert median_and_range([1500.0, 2500.0], ",.0f") == "2,000 (1,500 to 2,500)"


def test_an_interval_lies_around_its_median_and_is_the_same_each_time() -> None:
    values = [float(n) for n in range(1, 102)]
    assert median_and_interval(values) == "51.000 (41.000 to 61.000)"
    assert median_and_interval([2.0]) == "2.000 (2.000 to 2.000)"


@pytest.mark.parametrize(("part", "value"), [(0.0, 1.0), (0.5, 3.0), (0.99, 4.0), (1.0, 4.0)])
def test_a_quantile_is_one_of_the_values(part: float, value: float) -> None:
    assert quantile([4.0, 1.0, 3.0, 2.0], part) == value
