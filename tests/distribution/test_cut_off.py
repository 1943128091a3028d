"""How long a change takes where sources are cut off, in simulated time."""

from __future__ import annotations

import pytest

from tansywood.distribution.parameters import MS, SECOND, Parameters
from tests.distribution.simulation import Condition, SimulatedSource, Simulation

IN_FORCE_LIMIT_NS = 4 * SECOND  # from a change until it is in force everywhere
PARAMETERS = Parameters()
SOURCE_COUNT = 15
SUBSCRIBER_COUNT = 1_000
REGION_SOURCE_COUNT = 4  # sources of one region


def time_in_force_with(
    conditions: dict[Condition, int], committed_after: int = 0, subscribers: int = SUBSCRIBER_COUNT
) -> int:
    """Time until a change is in force at all subscribers. `conditions` says how many sources change
    to each condition, `committed_after` before the change. Above 8 s where it takes longer."""
    simulation = Simulation(SOURCE_COUNT, PARAMETERS)
    simulation.add_subscribers(subscribers)
    simulation.connect_all(3 * SECOND)
    running: list[SimulatedSource] = list(simulation.sources.values())
    for condition, number in conditions.items():
        for _ in range(number):
            running.pop().set_condition(condition)
    simulation.run(committed_after)
    committed = simulation.now
    simulation.commit()
    simulation.run(8 * SECOND)
    if len(simulation.records.applied) < subscribers:
        return 8 * SECOND + 1
    return max(simulation.records.applied.values()) - committed


@pytest.mark.parametrize("silent_sources", [1, 2, 3, REGION_SOURCE_COUNT, 6])
def test_a_change_is_in_force_within_4_s_although_sources_go_silent(
    silent_sources: int,
) -> None:
    assert time_in_force_with({Condition.SILENT: silent_sources}) <= IN_FORCE_LIMIT_NS


@pytest.mark.parametrize("unreachable_sources", [1, 2, 3, REGION_SOURCE_COUNT])
@pytest.mark.parametrize("committed_after", [0, 1_100 * MS, 2_300 * MS])
def test_a_change_is_in_force_within_4_s_although_sources_lose_the_publisher(
    unreachable_sources: int, committed_after: int
) -> None:
    assert (
        time_in_force_with({Condition.PUBLISHER_UNREACHABLE: unreachable_sources}, committed_after)
        <= IN_FORCE_LIMIT_NS
    )


def test_a_change_is_in_force_within_4_s_with_silent_and_stale_sources() -> None:
    assert (
        time_in_force_with({Condition.SILENT: 2, Condition.PUBLISHER_UNREACHABLE: 2})
        <= IN_FORCE_LIMIT_NS
    )


def time_in_force_after_an_outage(outage_ns: int) -> int:
    """Time until a change is in force everywhere that the publisher makes at the end of an outage.
    Three sources with 240 subscribers each do not hear the publisher during the outage."""
    simulation = Simulation(3, PARAMETERS)
    simulation.add_subscribers(720)
    simulation.connect_all(4 * SECOND)
    for source in simulation.sources.values():
        source.set_condition(Condition.PUBLISHER_UNREACHABLE)
    simulation.run(outage_ns)
    for source in simulation.sources.values():
        source.set_condition(Condition.RUNS)
    committed = simulation.now
    simulation.commit()
    simulation.run(8 * SECOND)
    assert len(simulation.records.applied) == 720
    return max(simulation.records.applied.values()) - committed


@pytest.mark.parametrize("outage_ns", [1_900 * MS, 2_300 * MS, 2_700 * MS, 3_500 * MS])
def test_a_change_is_in_force_within_4_s_after_a_publisher_outage(outage_ns: int) -> None:
    assert time_in_force_after_an_outage(outage_ns) <= IN_FORCE_LIMIT_NS


def test_a_long_outage_costs_few_dials_and_ends_without_a_reconnect_storm() -> None:
    simulation = Simulation(SOURCE_COUNT, PARAMETERS)
    simulation.add_subscribers(300)
    simulation.connect_all(2 * SECOND)
    simulation.records.dials.clear()
    for source in simulation.sources.values():
        source.set_condition(Condition.SILENT)
    simulation.run(20 * SECOND)
    dials = len(simulation.records.dials) / 300
    assert dials <= SOURCE_COUNT + 20 * SECOND / PARAMETERS.dial_timeout_ns
    for source in simulation.sources.values():
        source.set_condition(Condition.RUNS)
    committed = simulation.now
    simulation.commit()
    simulation.run(IN_FORCE_LIMIT_NS)
    assert len(simulation.records.applied) == 300
    assert max(simulation.records.applied.values()) - committed <= IN_FORCE_LIMIT_NS
