"""Soak: no server in slow start gets more calls than its budget, over days of uneven traffic.

A few seeds run here; `python -m tests.mass.test_slow_start_soak 50` plays as many as it is told.
"""

from __future__ import annotations

import math
import sys
from multiprocessing import Pool

import pytest

from standins.mass.day import draw
from standins.mass.fleet import Fleet
from standins.mass.servers import Server

KINDS = ("roll", "join", "herd")
NODE_COUNT = 60
SERVER_COUNT = 40


def budget(calls: float) -> float:
    """Calls in a window under which a server in slow start keeps up, `calls` being what it may
    get in the mean."""
    if calls < 30:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


def worst_budget_use(kind: str, seed: int) -> float:
    """The calls in any window over the budget then, at their highest over all servers."""
    day = draw(kind, seed, NODE_COUNT, SERVER_COUNT, seconds=12.0, load=0.85, zones=2)
    came: dict[Server, list[int]] = {}
    push = Server.push

    def noted(server: Server, work: int) -> None:
        if server.boot:
            came.setdefault(server, []).append(server.clock.now)
        push(server, work)

    Server.push = noted  # type: ignore[method-assign, assignment]
    try:
        Fleet(day).run()
    finally:
        Server.push = push  # type: ignore[method-assign]
    worst = 0.0
    settings = day.settings
    for server, times in came.items():
        build = server.build
        first = 0
        for last, at in enumerate(times):
            age = (at - server.boot) / settings.slow_start
            while times[first] < at - settings.overload_window:
                first += 1
            if not 0 <= age < 1:
                continue
            warm = settings.slow_start_fraction + (1 - settings.slow_start_fraction) * age
            calls = settings.overload_factor * warm * build.speed * build.cores
            calls *= settings.overload_window / build.mean_work
            worst = max(worst, (last - first + 1) / budget(calls))
    return worst


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("seed", [101, 102])
def test_no_server_in_slow_start_gets_more_calls_than_its_budget(kind: str, seed: int) -> None:
    assert 0 < worst_budget_use(kind, seed) < 1.0


def main(seed_count: int) -> int:
    """Play so many seeds of each kind; the exit status tells whether any broke the budget."""
    plays = [(kind, seed) for seed in range(201, 201 + seed_count) for kind in KINDS]
    with Pool() as pool:
        uses = pool.starmap(worst_budget_use, plays, chunksize=1)
    worst = max(zip(uses, plays, strict=True))
    broken = [play for use, play in zip(uses, plays, strict=True) if use >= 1.0]
    print(f"{len(plays)} plays, {worst[0]:.2f} of the budget at {worst[1]}")
    print(f"over the budget: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
