"""The fits: known laws are found, their residuals are right, and full sizes are honest."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from random import Random

import pytest

from benchmarks.scale.fit import Form, Point, fit, line, power
from benchmarks.scale.judge import judge
from benchmarks.scale.model import NODES, Resource, Series, Source

SIZES = (25, 50, 100, 200)


def points(law: Mapping[int, float]) -> list[Point]:
    return [Point(size, value) for size, value in law.items()]


def series(
    values: list[Point], expected: float, limit: float | None, with_fleet: bool = True
) -> Series:
    return Series(
        "x", "a cost", "members", Resource.TRAFFIC, Source.SIMULATED, tuple(values), expected,
        limit, with_fleet,
    )  # fmt: skip


def test_an_exact_line_is_found() -> None:
    made = fit(points({n: 7 + 3 * n for n in SIZES}))
    assert made.form is Form.LINE
    assert made.first == pytest.approx(7)
    assert made.second == pytest.approx(3)
    assert made.residual == pytest.approx(0, abs=1e-12)


@pytest.mark.parametrize("exponent", [1.5, 2.0])
def test_an_exact_power_is_found(exponent: float) -> None:
    made = fit(points({n: 0.2 * n**exponent for n in SIZES}))
    assert made.form is Form.POWER
    assert made.second == pytest.approx(exponent)
    assert made.at(3600) == pytest.approx(0.2 * 3600**exponent)


def test_what_grows_less_than_its_size_is_not_taken_for_a_power() -> None:
    made = fit(points({n: n**0.5 for n in SIZES}))
    assert made.form is Form.LINE
    assert made.at(3600) > 3600**0.5


def test_a_logarithm_by_design_is_found() -> None:
    made = fit(points({n: 1 + 2 * math.log(n) for n in SIZES}), Form.LOGARITHM)
    assert made.at(3600) == pytest.approx(1 + 2 * math.log(3600))
    assert made.at(made.reaches(20)) == pytest.approx(20)


def test_a_cost_that_shrank_stands_at_its_largest_size() -> None:
    found = judge(series(points({25: 8.0, 50: 7.0, 100: 6.0, 200: 5.0}), NODES, 8_000))
    assert found.full == 5.0


def test_proportion_is_told_by_a_line() -> None:
    made = fit(points({n: 11.3 * n for n in SIZES}))
    assert made.form is Form.LINE


def test_the_residual_is_the_largest_relative_deviation() -> None:
    values = points({n: 10.0 * n for n in SIZES})
    values[0] = Point(25, 200.0)
    made = line(values)
    worst = max(abs(made.at(p.size) - p.value) / p.value for p in values)
    assert made.residual == pytest.approx(worst)


def test_noise_of_a_tenth_stays_a_line() -> None:
    rng = Random(1)
    for _ in range(50):
        law = {n: (5 + 2 * n) * rng.uniform(0.95, 1.05) for n in (*SIZES, 400)}
        made = fit(points(law))
        assert made.at(3600) == pytest.approx(5 + 2 * 3600, rel=0.25)


def test_fewer_than_four_sizes_are_refused() -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        fit(points({1: 1, 2: 2, 3: 3}))


def test_four_values_at_one_size_are_refused() -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        fit([Point(5, 1)] * 4)


def test_a_size_of_nothing_has_no_power() -> None:
    assert power(points({0: 1, 1: 2, 2: 3, 3: 4})) is None


@pytest.mark.parametrize("law", [lambda n: 7 + 3 * n, lambda n: 0.2 * n**1.7])
def test_reaching_a_value_is_the_inverse(law: Callable[[int], float]) -> None:
    made = fit(points({n: law(n) for n in SIZES}))
    assert made.at(made.reaches(5000)) == pytest.approx(5000)


def test_what_does_not_grow_never_reaches_more() -> None:
    assert fit(points(dict.fromkeys(SIZES, 5.0))).reaches(6) == math.inf


def test_the_full_size_is_extrapolated_and_judged() -> None:
    found = judge(series(points({n: 10.0 * n for n in SIZES}), NODES, 8_000))
    assert found.full == pytest.approx(36_000)
    assert found.fits is False
    assert found.breaks_at_nodes == 800
    assert found.largest == 200


def test_a_size_that_was_measured_stands_as_measured() -> None:
    values = [*points({n: 10.0 * n for n in SIZES}), Point(NODES, 30_000.0)]
    assert judge(series(values, NODES, 8_000)).full == 30_000.0


def test_tenants_shrink_with_the_fleet() -> None:
    found = judge(series(points({n: 10.0 * n for n in SIZES}), 110_000, 8_000))
    assert found.breaks_at_nodes == math.ceil(NODES * 800 / 110_000)


def test_what_one_node_has_at_work_breaks_any_fleet() -> None:
    assert (
        judge(series(points({n: 10.0 * n for n in SIZES}), 900, 8_000, False)).breaks_at_nodes == 2
    )


def test_within_the_limit_nothing_breaks() -> None:
    found = judge(series(points({n: 1.0 * n for n in SIZES}), NODES, 8_000))
    assert found.fits is True
    assert found.breaks_at_nodes is None


def test_without_a_limit_there_is_no_verdict() -> None:
    assert judge(series(points({n: 1.0 * n for n in SIZES}), NODES, None)).fits is None
