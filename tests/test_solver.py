"""Max-min shares: the greedy computation is compared with a search of all shares."""

from __future__ import annotations

from itertools import product

import pytest

from flinthatch.balancer import (
    MAX_PREDICTED_TARGET_RATIO,
    predict_response_time,
    solve_max_min_shares,
    utility,
)

Flow = tuple[float, float, float, float, float]


def flow_utility(flow: Flow, share: int) -> float:
    """Utility of one class at this share, as the solver judges it."""
    rate, mean_time, old_share, target, value = flow
    if rate <= 0 or mean_time <= 0:
        return 1.0
    predicted = predict_response_time(rate, mean_time, max(old_share, 1.0), share)
    if predicted == float("inf"):
        return -value * (MAX_PREDICTED_TARGET_RATIO - 1.0) - value * rate * target / share
    return utility(target, predicted, value)


def best_lowest_utility(total: int, flows: list[Flow]) -> float:
    """The highest value that the lowest utility reaches under any shares of `total` slots."""
    class_count = len(flows)
    return max(
        min(flow_utility(f, s) for f, s in zip(flows, shares, strict=True))
        for shares in product(range(1, total - class_count + 2), repeat=class_count)
        if sum(shares) == total
    )


CASES: list[list[Flow]] = [
    [(20, 0.1, 4, 0.2, 1), (20, 0.1, 4, 0.2, 1)],
    [(50, 0.4, 3, 0.2, 1), (20, 0.1, 6, 0.5, 5), (5, 0.05, 2, 0.1, 1)],
    [(500, 0.9, 6, 0.2, 1), (400, 0.9, 3, 0.2, 10)],
    [(0, 0, 3, 0.2, 1), (30, 0.3, 4, 0.2, 2)],
    [(0, 0.1, 3, 0.2, 1), (0, 0, 4, 0.2, 2)],
]


@pytest.mark.parametrize("flows", CASES)
@pytest.mark.parametrize("total", [3, 5, 9, 12])
def test_greedy_shares_reach_the_best_lowest_utility(flows: list[Flow], total: int) -> None:
    shares = solve_max_min_shares(total, flows)
    assert sum(shares) == total
    assert min(shares) >= 1
    lowest = min(flow_utility(f, s) for f, s in zip(flows, shares, strict=True))
    assert lowest == pytest.approx(best_lowest_utility(total, flows))


def test_each_class_gets_one_slot_when_there_are_too_few() -> None:
    assert solve_max_min_shares(2, CASES[1]) == [1, 1, 1]
