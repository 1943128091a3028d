"""The interval of an added latency: where it lies, and what makes it narrow."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from benchmarks.scale import data_path
from benchmarks.scale.latency import added, interval


def drawn(count: int, seed: int, shift: float = 0.0) -> list[float]:
    """Latencies with a tail, in ms."""
    random = Random(seed)
    return [5.0 + shift + random.expovariate(2.0) for _ in range(count)]


def test_what_is_added_to_every_request_is_found_exactly() -> None:
    direct = drawn(2000, 1)
    through = [t + 2.5 for t in direct]
    assert added(direct, through, 0.99) == pytest.approx(2.5)
    low, high = interval(direct, through, 0.99)
    assert low < 2.5 < high


@pytest.mark.parametrize("seed", range(5))
def test_more_samples_make_it_narrower(seed: int) -> None:
    def width(count: int) -> float:
        low, high = interval(drawn(count, seed), drawn(count, seed + 100, 2.0), 0.99)
        assert low < high
        return high - low

    assert width(6000) < width(700)


def test_the_interval_covers_what_was_added_about_as_often_as_it_says() -> None:
    held = 0
    for seed in range(40):
        low, high = interval(drawn(800, seed), drawn(800, seed + 1000, 2.0), 0.99)
        held += low <= 2.0 <= high
    assert 34 <= held <= 40


def test_it_is_the_same_for_the_same_samples() -> None:
    samples = drawn(500, 1), drawn(500, 2)
    assert interval(*samples, 0.99) == interval(*samples, 0.99)


def test_all_rounds_of_a_rate_are_one_sample() -> None:
    def span(direct: list[float], through: list[float], cpu_us: float) -> data_path.Span:
        return data_path.Span(61.0, direct, through, cpu_us, 1.0, Counter(), Counter())

    made = data_path.together([span([1.0], [3.0], 5.0), span([2.0], [7.0], 6.0)])
    assert (made.direct, made.through) == ([1.0, 2.0], [3.0, 7.0])
    assert made.cpu_us == 5.5
    assert made.added(0.99) == 5.0


def test_no_rate_is_the_first_of_every_round() -> None:
    rates = [61.0, 122.0, 489.0]
    assert [data_path.order(rates, n)[0] for n in range(3)] == [61.0, 489.0, 61.0]


def test_the_tail_of_the_slowest_rate_is_made_of_sixty_requests() -> None:
    beyond = data_path.SAMPLES * data_path.ROUNDS * (1 - data_path.TAIL)
    assert round(beyond) == 60
