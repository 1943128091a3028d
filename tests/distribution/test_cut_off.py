"""Sources that are cut off, in simulated time: how long a change takes then."""

from __future__ import annotations

import pytest

from tansywood.distribution.parameters import MS, SECOND, Parameters
from tests.distribution.simulation import Condition, SimulatedSource, Simulation

IN_FORCE = 4 * SECOND  # from a change until it is in force everywhere
PARAMETERS = Parameters()
SOURCES = 15
SUBSCRIBERS = 1_000
REGION = 4  # sources of one region


def in_force_with(
    conditions: dict[Condition, int], committed_after: int = 0, subscribers: int = SUBSCRIBERS
) -> int:
    """Time until a change is in force at all subscribers, where so many sources come into each
    condition `committed_after` before it; more than 8 s where it is not within that."""
    simulation = Simulation(SOURCES, PARAMETERS)
    simulation.add_subscribers(subscribers)
    simulation.connect_all(3 * SECOND)
    waiting: list[SimulatedSource] = list(simulation.sources.values())
    for condition, number in conditions.items():
        for _ in range(number):
            waiting.pop().set_condition(condition)
    simulation.run(committed_after)
    committed = simulation.now
    simulation.commit()
    simulation.run(8 * SECOND)
    if len(simulation.records.applied) < subscribers:
        return 8 * SECOND + 1
    return max(simulation.records.applied.values()) - committed


@pytest.mark.parametrize("cut_off", [1, 2, 3, REGION, 6])
def test_a_change_is_in_force_within_4_s_where_sources_are_cut_off_at_that_moment(
    cut_off: int,
) -> None:
    assert in_force_with({Condition.SILENT: cut_off}) <= IN_FORCE


@pytest.mark.parametrize("deaf", [1, 2, 3, REGION])
@pytest.mark.parametrize("committed_after", [0, 1_100 * MS, 2_300 * MS])
def test_a_change_is_in_force_within_4_s_where_sources_don_t_hear_the_publisher(
    deaf: int, committed_after: int
) -> None:
    assert in_force_with({Condition.PUBLISHER_UNREACHABLE: deaf}, committed_after) <= IN_FORCE


def test_a_change_is_in_force_within_4_s_where_some_are_cut_off_and_others_hear_nothing() -> None:
    assert in_force_with({Condition.SILENT: 2, Condition.PUBLISHER_UNREACHABLE: 2}) <= IN_FORCE


def in_force_after_the_publisher_was_away(away: int) -> int:
    """Time until a change is in force everywhere that the publisher makes as it comes back; 240
    subscribers for each of three sources, which none of them hears meanwhile."""
    simulation = Simulation(3, PARAMETERS)
    simulation.add_subscribers(720)
    simulation.connect_all(4 * SECOND)
    for source in simulation.sources.values():
        source.set_condition(Condition.PUBLISHER_UNREACHABLE)
    simulation.run(away)
    for source in simulation.sources.values():
        source.set_condition(Condition.RUNS)
    committed = simulation.now
    simulation.commit()
    simulation.run(8 * SECOND)
    assert len(simulation.records.applied) == 720
    return max(simulation.records.applied.values()) - committed


@pytest.mark.parametrize("away", [1_900 * MS, 2_300 * MS, 2_700 * MS, 3_500 * MS])
def test_a_change_is_in_force_within_4_s_after_the_publisher_was_away(away: int) -> None:
    assert in_force_after_the_publisher_was_away(away) <= IN_FORCE


def test_a_long_loss_costs_few_dials_and_its_end_no_crowd() -> None:
    simulation = Simulation(SOURCES, PARAMETERS)
    simulation.add_subscribers(300)
    simulation.connect_all(2 * SECOND)
    simulation.records.dials.clear()
    for source in simulation.sources.values():
        source.set_condition(Condition.SILENT)
    simulation.run(20 * SECOND)
    dials = len(simulation.records.dials) / 300
    assert dials <= SOURCES + 20 * SECOND / PARAMETERS.dial_timeout_ns
    for source in simulation.sources.values():
        source.set_condition(Condition.RUNS)
    committed = simulation.now
    simulation.commit()
    simulation.run(IN_FORCE)
    assert len(simulation.records.applied) == 300
    assert max(simulation.records.applied.values()) - committed <= IN_FORCE
