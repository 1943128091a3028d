"""The property of the model over random histories, and that it fails without each safeguard."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.distribution.model.defences import (
    ClockTrustingSource,
    EarlyAcknowledgingSource,
    EpochIgnoringReplica,
    OldPlaceSource,
    PrematureSubscriber,
    UnlimitedResumeReplica,
)
from tests.distribution.model.parts import Faults, Parts, PropertyError
from tests.distribution.model.world import World

SEEDS = range(240)
# Histories of these seeds violated the property before the faults that they found were fixed.
REGRESSION_SEEDS = (1865, 5342, 5763, 6086, 7822, 10477)
FAULT_SEEDS = range(80)  # for each of the optional faults
SLOW_READERS = Faults(slow_readers=True)
# At least this many histories of these seeds detect a wrong order of coalesced changes.
ORDER_SEEDS, MIN_ORDER_DETECTIONS = range(200), 10
SAFEGUARD_SEEDS = range(400)  # one of these seeds has to detect a missing safeguard
MIN_COUNTS = {  # the least number of each event over all seeds
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


def run_history(
    seed: int, parts: Parts | None = None, faults: Faults | None = None
) -> Counter[str]:
    world = World(seed, parts, faults)
    world.run()
    return world.counts


def test_no_instance_goes_back_to_an_older_state_and_all_converge_after_the_faults() -> None:
    counts: Counter[str] = Counter()
    for seed in SEEDS:
        counts += run_history(seed)
    rare = {event: counts[event] for event, least in MIN_COUNTS.items() if counts[event] < least}
    assert not rare


@pytest.mark.parametrize(
    ("faults", "min_counts"),
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
def test_the_property_holds_with_optional_faults(
    faults: Faults, min_counts: dict[str, int]
) -> None:
    counts: Counter[str] = Counter()
    for seed in FAULT_SEEDS:
        counts += run_history(seed, faults=faults)
    rare = {event: counts[event] for event, least in min_counts.items() if counts[event] < least}
    assert not rare


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        *((seed, Faults()) for seed in REGRESSION_SEEDS),
        (2676, Faults(clock_jumps=True)),
        (3269, SLOW_READERS),
    ],
)
def test_a_history_that_once_violated_the_property_holds(seed: int, faults: Faults) -> None:
    run_history(seed, faults=faults)


# ---- removed safeguards ----------------------------------------------------------------------


def violation(seed: int, parts: Parts, faults: Faults | None = None) -> str:
    """Return how a history violates the property, empty if the property holds."""
    try:
        run_history(seed, parts, faults)
    except PropertyError as err:
        return str(err)
    return ""


@pytest.mark.parametrize(
    ("parts", "faults"),
    [
        (Parts(replica=EpochIgnoringReplica), Faults()),
        (Parts(replica=UnlimitedResumeReplica), Faults()),
        (Parts(source=OldPlaceSource), SLOW_READERS),
        (Parts(source=EarlyAcknowledgingSource), Faults()),
        (Parts(subscriber=PrematureSubscriber), Faults()),
    ],
    ids=["epoch", "resume window", "order of coalescing", "unapplied lookups", "unapplied states"],
)
def test_a_removed_safeguard_is_detected(parts: Parts, faults: Faults) -> None:
    assert any(violation(seed, parts, faults) for seed in SAFEGUARD_SEEDS)


def test_a_wrong_order_of_coalesced_changes_is_detected_by_many_histories_with_slow_readers() -> (
    None
):
    parts = Parts(source=OldPlaceSource)
    detecting = [seed for seed in ORDER_SEEDS if violation(seed, parts, SLOW_READERS)]
    assert len(detecting) >= MIN_ORDER_DETECTIONS


def test_a_source_that_trusts_its_clock_is_detected_by_histories_with_clock_jumps() -> None:
    parts, faults = Parts(source=ClockTrustingSource), Faults(clock_jumps=True)
    assert any(violation(seed, parts, faults) for seed in SAFEGUARD_SEEDS)
