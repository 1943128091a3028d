"""Instances as real processes with faults between them, checked against one ledger."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context

import pytest

from standins.fleet import report
from standins.fleet.day import Day, Fault, load
from standins.fleet.rig import Outcome, play
from standins.ledger import End

SHORT = load("short")


def test_every_promise_is_kept_on_the_short_day(played: Played) -> None:
    short = played("short")
    assert short.problems == [], report.timeline(short) + "\n" + report.summary(short)


def test_every_instance_serves_and_the_whole_rate_is_granted(played: Played) -> None:
    short = played("short")
    assert all(ends[End.SERVED] for ends in short.ends.values())
    assert short.dealt >= 0.9
    assert short.datagrams["cut"] and short.datagrams["sent"] > 1000


def small(**over: object) -> Day:
    """Two instances in front of one server, each with more callers than the limits admit."""
    base = replace(
        SHORT,
        seconds=7.0,
        instances=("a", "b"),
        homes=2,
        servers=1,
        places=2,
        rate=40.0,
        burst=10,
        work_s=0.03,
        callers={"a": 6, "b": 6},
        pause_s=0.02,
        faults=(),
        clocks={},
        settle_s=0.0,
    )
    return replace(base, **over)  # type: ignore[arg-type]


def suspended_fleet_process(without: str) -> Day:
    """The fleet process of b is suspended; its worker is left with its last allocation."""
    stop = Fault(5.0, "stop_part", {"instance": "b", "part": "fleet"})
    # A suspended process cannot end in order, so it is resumed before the day ends.
    go = Fault(11.0, "go_part", {"instance": "b", "part": "fleet"})
    return small(homes=1, seconds=11.5, faults=(stop, go), without=without)


def duplicate_name() -> Day:
    """Two instances have the same name, and another has a foreign key. Only the first instance of
    the name gets grants."""
    names = ("a", "b", "c", "d")
    return small(
        seconds=11.0,
        instances=names,
        homes=1,
        callers=dict.fromkeys(names, 4),
        names={"c": "a"},
        strangers=("d",),
        # The instance that started first counts as first; the other one starts once it serves.
        faults=(Fault(0.5, "add", {"instance": "c"}), Fault(8.0, "replay")),
    )


def test_a_duplicate_name_and_a_foreign_key_get_no_grants(played: Played) -> None:
    names = ("a", "b", "c", "d")
    made = played("two_of_a_name")
    assert made.over == 0 and made.twice == 0 and made.excess <= len(names), report.summary(made)
    assert all(made.ends[n][End.SERVED] for n in "abc") and not made.ends["d"][End.SERVED]
    assert made.told["c"]["conflict"] == made.told["a"]["address"]
    seen = {m["name"]: m["address"] for m in made.told["b"]["members"]}
    assert seen["a"] == made.told["a"]["address"]  # the instance that started first
    assert sorted(seen) == ["a", "b"]
    assert made.told["a"]["refused"]["stranger"] > 0 and made.told["d"]["refused"]["stranger"] == 0
    assert made.told["b"]["refused"]["replay"] > 0


def lost_route() -> Day:
    """b loses its connection to all servers and reports them; then s-0 fails for every instance."""
    names = ("a", "b", "c")
    return small(
        seconds=16.0,
        instances=names,
        servers=3,
        places=6,
        callers=dict.fromkeys(names, 6),
        faults=(
            Fault(4.5, "cut_servers", {"instance": "b"}),
            Fault(6.5, "server_kill", {"server": "s-0"}),
        ),
    )


def test_an_instance_that_reaches_no_server_ejects_none_for_the_others(played: Played) -> None:
    made = played("broken_way")
    assert made.over == 0 and made.twice == 0, report.summary(made)
    heard = []
    for name in ("a", "c"):
        told = [(e["what"], e["name"]) for e in made.told[name]["events"]]
        heard += told
        assert {server for what, server in told if what == "doubted"} <= {"cork/s-0"}
        late = [r for r in made.meter.rows if r.instance == name and r.ended > made.began + 9]
        assert sum(r.end == End.SERVED for r in late) > 5
    assert ("turn", "cork/s-0") in heard  # ejected, with the rank in trying it again


def test_a_worker_without_its_fleet_process_exceeds_no_limit(played: Played) -> None:
    made = played("stopped")
    assert made.over == 0 and made.excess <= len(made.day.instances), report.summary(made)
    assert made.ends["b"][End.SERVED] > 0 and made.twice == 0


def test_a_worker_that_ignores_the_end_of_its_grants_is_detected(played: Played) -> None:
    made = played("stopped, no end")
    assert made.excess > 2 * len(made.day.instances), report.summary(made)
    assert made.over > 0


def resets(without: str) -> Day:
    """Connections to a slow server are reset repeatedly; it continues the requests it has begun."""
    faults = tuple(
        Fault(3.5 + 0.5 * n, "reset_servers", {"instance": name}) for n in range(5) for name in "ab"
    )
    return small(seconds=6.5, work_s=0.5, faults=faults, without=without)


def test_requests_that_may_still_run_occupy_their_slots_after_resets(played: Played) -> None:
    made = played("resets")
    assert made.over == 0 and made.twice == 0, report.summary(made)
    assert sum(ends[End.SERVED] for ends in made.ends.values()) > 0


def test_freeing_the_slots_of_abandoned_requests_is_detected(played: Played) -> None:
    assert played("resets, no place").over > 0


def allocator_lost(hand_on: bool) -> Day:
    """a, an allocator and a voter, is killed for good; the granted rate is read at the end."""
    return small(
        seconds=14.0 if hand_on else 9.0,
        instances=("a", "b", "c"),
        callers=dict.fromkeys("abc", 5),
        voters=("a", "b", "c"),
        lease_ms=3000,
        hand_on=hand_on,
        faults=(Fault(5.5, "kill", {"instance": "a"}),),
    )


def test_the_slice_of_a_dead_allocator_is_granted_by_another(played: Played) -> None:
    made = played("home lost")
    assert made.over == 0 and made.twice == 0, report.summary(made)
    assert made.excess <= len(made.day.instances)
    assert made.dealt >= 0.9


def test_without_leases_the_slice_of_a_dead_allocator_is_not_granted(played: Played) -> None:
    made = played("home lost, no leases")
    assert 0.4 <= made.dealt <= 0.6 and made.over == 0, report.summary(made)


def test_without_a_fleet_every_instance_uses_the_whole_limit(played: Played) -> None:
    made = played("no fleet")
    assert made.over > 0  # each instance uses both places of the server
    assert made.excess > len(made.day.instances)
    assert made.twice == 0


# Each day mostly waits for some seconds, so three run at a time, the longest first.
DAYS = {
    "short": SHORT,
    "broken_way": lost_route(),
    "home lost": allocator_lost(hand_on=True),
    "stopped": suspended_fleet_process(""),
    "stopped, no end": suspended_fleet_process("end"),
    "two_of_a_name": duplicate_name(),
    "home lost, no leases": allocator_lost(hand_on=False),
    "resets": resets(""),
    "resets, no place": resets("given-up"),
    "no fleet": small(seconds=3.0, fleet=False),
}
Played = Callable[[str], Outcome]


@pytest.fixture(scope="module")
def played() -> Iterator[Played]:
    """Return the outcome of a day by its name; all days start with the first use."""
    pool = ProcessPoolExecutor(3, mp_context=get_context("spawn"))
    days = {name: pool.submit(play, day, 1) for name, day in DAYS.items()}
    yield lambda name: days[name].result()
    pool.shutdown(cancel_futures=True)
