"""Tests of the test rig itself: day files, the meter, the network and the report."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from standins.fleet import report
from standins.fleet.day import DAYS, DayError, drawn, load
from standins.fleet.meter import Meter, Passage
from standins.fleet.network import HEAD, Network
from standins.fleet.rig import Outcome
from standins.ledger import End
from tansywood.service import fleettool

GOOD = """
seconds = 5
instances = ["a", "b"]
servers = 1
rate = 10
burst = 5
callers = { a = 1 }
"""


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("seconds = ", "is not TOML"),
        (GOOD + "colour = 1", "colour: is not known"),
        (GOOD.replace("servers = 1", ""), "servers: is missing"),
        (GOOD.replace("a = 1", "z = 1"), "callers.z: is no instance"),
        (GOOD + "homes = 3", "homes: 3 of 2"),
        (GOOD + 'faults = [{ at = 1, what = "rain" }]', r"faults\[0\].what: 'rain'"),
        (GOOD + 'faults = [{ at = 1, what = "kill" }]', r"faults\[0\]: kill needs instance"),
        (GOOD + 'faults = [{ at = 1, what = "kill", instance = "z" }]', r"'z' is no instance"),
    ],
)
def test_an_invalid_day_is_refused_with_the_place_of_the_fault(
    tmp_path: Path, text: str, told: str
) -> None:
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(DayError, match=told):
        load(str(path))


def test_every_standard_day_can_be_loaded() -> None:
    assert {p.stem for p in DAYS.glob("*.toml")} >= {"calm", "short", "split", "lives", "jump"}
    for path in DAYS.glob("*.toml"):
        assert load(str(path)).faults is not None
    assert drawn(3).faults and drawn(3) == drawn(3) != drawn(4)
    with pytest.raises(DayError, match="standard days: calm"):
        load("none")


def meter(times: list[float], end: End = End.SERVED, status: int = 200) -> Meter:
    made = Meter()
    for t in times:
        made.add(Passage("a", t, t + 0.01, end, status))
    return made


def test_a_short_burst_above_the_rate_is_detected() -> None:
    even = [n / 10 for n in range(300)]
    assert meter(even).excess(10.0, 5) < 0
    burst = sorted([*even, *[15.0 + n / 1000 for n in range(40)]])
    assert 30 < meter(burst).excess(10.0, 5) < 45
    assert meter(burst, End.REFUSED, 429).excess(10.0, 5) < 0  # refused requests do not count


def test_a_long_request_counts_only_in_intervals_that_contain_it() -> None:
    made = Meter()
    for _ in range(50):
        made.add(Passage("a", 0.0, 10.0, End.SERVED, 200))
    assert made.excess(5.0, 1) < 0


def test_link_faults_are_reproducible_by_seed() -> None:
    async def go(seed: int) -> tuple[int, int, int]:
        net = Network(Random(seed))
        await net.start()
        try:
            net.know("a", 1)
            net.know("b", 2)
            net.link("a", "b").loss = 0.5
            net.link("a", "b").twice = 0.5
            net.link("a", "b").delay_s = 30.0  # nothing leaves
            data = b"\x7f\0\0\1" + (2).to_bytes(2, "big") + b"x"
            for _ in range(400):
                net.datagram_received(data, ("127.0.0.1", 1))
            net.cut(["a"], ["b"], both=False)
            net.datagram_received(data, ("127.0.0.1", 1))
            assert net.link("b", "a").cut is False
            assert len(net.kept[0][1]) == len(data) - HEAD
            return net.counts["lost"], net.counts["cut"], len(net.kept)
        finally:
            net.close()

    first = asyncio.run(go(1))
    assert first == asyncio.run(go(1))
    assert 150 < first[0] < 250 and first[1] == 1


def test_the_report_lists_every_second_and_the_verdict() -> None:
    made = Outcome(load("calm"), meter=meter([0.5, 1.5]), began=0.0)
    made.happened.append((1.2, "kill instance=a"))
    made.ends = {"a": {End.SERVED: 2}}
    assert "kill instance=a" in report.timeline(made).splitlines()[2]
    assert report.summary(made).endswith("every promise kept")
    made.problems.append("x ran twice")
    assert "BROKEN: x ran twice" in report.summary(made)


def test_status_prints_tables_of_members_and_shares() -> None:
    told = {
        "members": [
            {"name": "a", "ours": True, "state": "alive", "for_s": 3.0, "address": "10.0.0.1:1",
             "home": True, "zone": "", "version": "1"}
        ],
        "shares": {
            "cork": {"rate_per_s": 50.0, "of_rate_per_s": 150.0, "asked_per_s": 60.0, "open": 5,
                     "floor_rate_per_s": 1.0, "of_open": 40, "doubted": ["s-1"],
                     "places": {"s-0": 2, "s-1": 1}, "of_places": 6}
        },
        "events": [],
    }  # fmt: skip
    assert "a *" in fleettool.members(told)
    assert fleettool.shares(told).splitlines()[1].split() == [
        "cork", "50", "150", "60", "1", "5/40", "3/12", "s-1",
    ]  # fmt: skip
    assert fleettool.events(told) == "nothing has happened"
