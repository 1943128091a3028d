"""The property over random histories, and that it finds each defence that is taken out."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.distribution.model.defences import (
    AnyEpochReplica,
    BoastfulSubscriber,
    EarlyCountingSource,
    NoWindowReplica,
    OldPlaceSource,
    TrustedClockSource,
)
from tests.distribution.model.parts import Faults, Parts, PropertyError
from tests.distribution.model.world import World

SEEDS = range(240)
ONCE_BROKEN = (1865, 5342, 5763, 6086, 7822, 10477)  # before what they found was mended
MORE_SEEDS = range(80)  # with each of the further faults
SLOW_READERS = Faults(slow_readers=True)
ORDER_SEEDS, ORDER_FOUND = range(200), 10  # a missing order of coalescing is found by so many
LOOKED_AT = range(400)  # seeds until a missing defence has to be found
OFTEN = {  # what has to have happened over all seeds, at least so many times
    "compared": 1_000,
    "resumed": 1_000,
    "coalesced": 300,
    "epochs continued": 100,
    "histories changed": 500,
    "restarts on the same disk": 100,
    "restarts on an older copy": 100,
    "restarts without a disk": 50,
    "distributors restarted": 200,
    "distributors isolated": 200,
    "instances restarted": 100,
    "stale sources left": 200,
    "silent sessions": 200,
    "given up": 1_000,
    "answers": 2_000,
}


def play(seed: int, parts: Parts | None = None, faults: Faults | None = None) -> Counter[str]:
    world = World(seed, parts, faults)
    world.run()
    return world.counts


def test_no_node_goes_back_and_all_hold_what_they_subscribe_to_once_it_is_quiet() -> None:
    counts: Counter[str] = Counter()
    for seed in SEEDS:
        counts += play(seed)
    rare = {what: counts[what] for what, least in OFTEN.items() if counts[what] < least}
    assert not rare


@pytest.mark.parametrize(
    ("faults", "often"),
    [
        (SLOW_READERS, {"slow readers": 50, "coalesced": 500}),
        (Faults(clock_jumps=True), {"clocks back": 200, "clocks ahead": 200}),
        (Faults(admission=True), {"turned away": 300}),
        (Faults(late_answers=True), {"late answers": 1_000}),
        (
            Faults(slow_readers=True, clock_jumps=True, admission=True, late_answers=True),
            {"slow readers": 20, "clocks back": 200, "turned away": 300, "late answers": 1_000},
        ),
    ],
    ids=["slow readers", "clock jumps", "admission", "late answers", "all of them"],
)
def test_it_holds_with_further_faults(faults: Faults, often: dict[str, int]) -> None:
    counts: Counter[str] = Counter()
    for seed in MORE_SEEDS:
        counts += play(seed, faults=faults)
    rare = {what: counts[what] for what, least in often.items() if counts[what] < least}
    assert not rare


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        *((seed, Faults()) for seed in ONCE_BROKEN),
        (2676, Faults(clock_jumps=True)),
        (3269, SLOW_READERS),
    ],
)
def test_a_history_that_once_broke_the_property_holds(seed: int, faults: Faults) -> None:
    play(seed, faults=faults)


# ---- defences taken out ----------------------------------------------------------------------


def found_by(seed: int, parts: Parts, faults: Faults | None = None) -> str:
    """What the property says of a history; empty where it holds."""
    try:
        play(seed, parts, faults)
    except PropertyError as err:
        return str(err)
    return ""


@pytest.mark.parametrize(
    ("parts", "faults"),
    [
        (Parts(replica=AnyEpochReplica), Faults()),
        (Parts(replica=NoWindowReplica), Faults()),
        (Parts(source=OldPlaceSource), SLOW_READERS),
        (Parts(source=EarlyCountingSource), Faults()),
        (Parts(subscriber=BoastfulSubscriber), Faults()),
    ],
    ids=["epoch", "window", "order of coalescing", "found is not in force", "nor elsewhere"],
)
def test_a_defence_that_is_taken_out_is_found(parts: Parts, faults: Faults) -> None:
    assert any(found_by(seed, parts, faults) for seed in LOOKED_AT)


def test_a_missing_order_of_coalescing_is_found_by_many_histories_with_slow_readers() -> None:
    parts = Parts(source=OldPlaceSource)
    found = [seed for seed in ORDER_SEEDS if found_by(seed, parts, SLOW_READERS)]
    assert len(found) >= ORDER_FOUND


def test_a_source_that_trusts_its_clock_is_found_by_histories_with_clock_jumps() -> None:
    parts, faults = Parts(source=TrustedClockSource), Faults(clock_jumps=True)
    assert any(found_by(seed, parts, faults) for seed in LOOKED_AT)
