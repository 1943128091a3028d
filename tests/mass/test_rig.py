"""The rig itself: its servers against the formulas, its plays against themselves."""

from __future__ import annotations

import math
from random import Random

import pytest

from standins.mass.clock import SECOND, Clock
from standins.mass.day import draw
from standins.mass.fleet import Fleet
from standins.mass.listing import Answer, Listing, Row, Terms
from standins.mass.report import digest, summary
from standins.mass.servers import FULL, OK, Build, Server, Work


def queue(cores: int, room: int, load: float, count: int = 40_000) -> tuple[float, float]:
    """Poisson arrivals of exponential work of 10 ms: mean time there (s), part turned away."""
    clock = Clock()
    rng = Random(f"{cores}-{room}-{load}")
    build = Build(cores=cores, room=room, tax=0.0, error_rate=0.0)
    server = Server(0, 0, build, clock, rng)
    times: list[int] = []
    turned: list[int] = []

    def come(left: int) -> None:
        begun = clock.now

        def done(outcome: int) -> None:
            (times if outcome == OK else turned).append(clock.now - begun)
            assert outcome in (OK, FULL)

        server.take(Work(int(rng.expovariate(100.0) * SECOND), 1 << 62, done))
        if left:
            clock.after(rng.expovariate(100.0 * cores * load) * SECOND, come, left - 1)

    clock.at(clock.now, come, count)
    clock.run(1 << 62)
    return sum(times) / len(times) / SECOND, len(turned) / (count + 1)


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_one_core_is_mm1(load: float) -> None:
    mean, turned = queue(1, 1 << 30, load)
    assert mean == pytest.approx(0.01 / (1.0 - load), rel=0.08) and not turned


def test_three_cores_are_mmc() -> None:
    c, load = 3, 0.7
    a = c * load
    last = a**c / math.factorial(c) / (1.0 - load)
    waits = last / (sum(a**k / math.factorial(k) for k in range(c)) + last)  # Erlang C
    mean, _ = queue(c, 1 << 30, load)
    assert mean == pytest.approx(0.01 + waits * 0.01 / (c - a), rel=0.06)


def test_a_full_room_turns_away_as_mm1k() -> None:
    load, places = 0.8, 3
    blocked = (1.0 - load) * load**places / (1.0 - load ** (places + 1))
    assert queue(1, places - 1, load)[1] == pytest.approx(blocked, rel=0.06)


def test_a_cold_server_falls_over_when_it_is_pushed_and_only_then() -> None:
    def pushed(times: float) -> bool:
        clock = Clock()
        build = Build(room=1 << 30, cold_from=0.4)
        server = Server(0, 0, build, clock, Random(1))
        server.start()
        for i in range(100):
            work = int(0.4 * 3.0 * times * SECOND / 50)  # fifty a second, of so much each
            clock.after(i * SECOND / 50, server.take, Work(work, 1 << 62, lambda _: None))
        clock.run(3 * SECOND)
        return server.fallen

    assert not pushed(0.8) and pushed(2.0)


@pytest.mark.parametrize("kind", ["herd", "join"])
def test_the_same_seed_gives_the_same_figures(kind: str) -> None:
    def play(seed: int) -> str:
        fleet = Fleet(draw(kind, seed, nodes=12, seconds=3.0))
        fleet.run()
        return digest(summary(fleet))

    assert play(4) == play(4) != play(5)


def test_every_wish_has_one_fate() -> None:
    for kind in ("split", "zone", "roll"):
        fleet = Fleet(draw(kind, 2, nodes=12, seconds=4.0))
        fleet.run()
        assert sum(fleet.fates.values()) == fleet.chains > 200, kind
        assert all(server.open >= 0 for server in fleet.servers), kind


def test_a_watch_is_told_what_changed_and_a_crowd_waits_its_turn() -> None:
    clock = Clock()
    listing = Listing(Terms(lines_per_s=1000.0, call_lines=40), clock)
    listing.rows = {i: Row(i, "ready", 0) for i in range(10)}
    listing.rev = 11
    told: list[Answer | None] = []
    listing.call(11, 4 * SECOND, told.append)
    clock.run(clock.now + SECOND)
    assert not told, "nothing is new"
    listing.know(Row(3, "draining", 0))
    clock.run(clock.now + SECOND)
    assert told[0] == Answer(12, False, (Row(3, "draining", 0),))
    for _ in range(100):  # fifty lines each, a thousand a second: three seconds' worth is taken
        listing.call(0, 0, told.append)
    clock.run(clock.now + 10 * SECOND)
    assert 55 <= sum(answer is not None for answer in told[1:]) <= 65
