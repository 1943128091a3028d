"""Reconnects in simulated time: silent sources, jitter, admission, and the defences taken out."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from tansywood.distribution.messages import Busy, Message
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber
from tests.distribution.simulation import Condition, Simulation, max_in_window

IN_FORCE = 4 * SECOND  # from a change until it is in force everywhere
PARAMETERS = Parameters()


def in_force_after_a_silent_source(parameters: Parameters) -> int:
    """Time until a change is in force at all subscribers, where a source goes silent as it comes,
    with nothing closed; more than IN_FORCE where that is not within it."""
    simulation = Simulation(5, parameters)
    simulation.add_subscribers(60)
    simulation.connect_all(SECOND)
    committed = simulation.now
    silent = simulation.sources["10.0.0.0:1"]
    assert len(silent.connections) > 5
    silent.set_condition(Condition.SILENT)
    simulation.commit()
    simulation.run(IN_FORCE + 1)
    if len(simulation.records.applied) < len(simulation.subscribers):
        return IN_FORCE + 1
    return max(simulation.records.applied.values()) - committed


def test_a_change_is_in_force_within_4_s_where_a_source_goes_silent_at_that_moment() -> None:
    assert in_force_after_a_silent_source(PARAMETERS) <= IN_FORCE


def test_without_the_bound_on_silence_it_is_not() -> None:
    assert (
        in_force_after_a_silent_source(replace(PARAMETERS, silence_timeout_ns=60 * SECOND))
        > IN_FORCE
    )


def losses_in_a_quiet_minute(parameters: Parameters) -> int:
    simulation = Simulation(2, parameters)
    simulation.add_subscribers(10)
    simulation.start()
    simulation.run(60 * SECOND)
    return sum(subscriber.core.losses for subscriber in simulation.subscribers)


def test_heartbeats_keep_quiet_connections() -> None:
    assert losses_in_a_quiet_minute(PARAMETERS) == 0


def test_without_heartbeats_quiet_connections_are_lost() -> None:
    assert losses_in_a_quiet_minute(replace(PARAMETERS, heartbeat_interval_ns=60 * SECOND)) > 0


class QuietSource(Source):
    """Says no heartbeats; it hears those of others."""

    def tick(self, now: int) -> list[int]:
        for session in self.sessions.values():
            session.last_heartbeat = now
        return super().tick(now)


class QuietSubscriber(Subscriber):
    """Says no heartbeats; it hears those of others."""

    def tick(self, now: int) -> None:
        self._last_sent = now
        super().tick(now)


@pytest.mark.parametrize(
    ("source_type", "subscriber_type"), [(QuietSource, Subscriber), (Source, QuietSubscriber)]
)
def test_heartbeats_of_one_side_alone_don_t_keep_a_connection(
    source_type: type[Source], subscriber_type: type[Subscriber]
) -> None:
    simulation = Simulation(2, PARAMETERS, source_type)
    simulation.add_subscribers(3, subscriber_type=subscriber_type)
    simulation.start()
    simulation.run(10 * SECOND)
    assert sum(subscriber.core.losses for subscriber in simulation.subscribers) >= 3


def sessions_after_silence(parameters: Parameters) -> int:
    """How many sessions of instances that went silent a source still has after 2 s."""
    simulation = Simulation(1, parameters)
    silent = simulation.add_subscribers(20)[:8]
    simulation.connect_all(0)
    for subscriber in silent:
        subscriber.silent = True
    simulation.run(2 * SECOND)
    source = simulation.sources["10.0.0.0:1"]
    assert len(source.core.sessions) >= 12
    return len(source.core.sessions) - 12


def test_instances_that_go_silent_are_left_by_their_source() -> None:
    assert sessions_after_silence(PARAMETERS) == 0


def test_without_the_bound_on_silence_they_stay() -> None:
    assert sessions_after_silence(replace(PARAMETERS, silence_timeout_ns=60 * SECOND)) == 8


# ---- full jitter -----------------------------------------------------------------------------

LOST = 240  # subscribers of one source
FIRST_DIALS_MOST = 48  # of these within 10 ms: twice their mean
LATER_DIALS_MOST = 200  # of these within 100 ms, while no source can be had


class NoJitter(Random):
    """Waits the whole of each bound."""

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return start - 1


def dials_after_a_loss(random: Random | None = None) -> tuple[int, int]:
    """The most first dials within 10 ms, and the most later ones within 100 ms, of subscribers
    that lose their source at the same moment while no other can be had for 5 s."""
    simulation = Simulation(15)
    simulation.add_subscribers(LOST)
    followed, *others = simulation.sources.values()
    for source in others:
        source.set_condition(Condition.DEAD)
    simulation.connect_all(10 * SECOND)
    simulation.records.dials.clear()
    for subscriber in simulation.subscribers:
        subscriber.core.dialing._random = random or subscriber.core.dialing._random
    followed.set_condition(Condition.DEAD)
    simulation.run(5 * SECOND)
    first: dict[str, int] = {}
    later = [
        dial.at
        for dial in simulation.records.dials
        if first.setdefault(dial.name, dial.at) != dial.at
    ]
    assert len(first) == LOST and len(later) > 5 * LOST
    return max_in_window(list(first.values()), 10 * MS), max_in_window(later, 100 * MS)


def test_subscribers_of_a_lost_source_dial_spread_over_time() -> None:
    first, later = dials_after_a_loss()
    assert first <= FIRST_DIALS_MOST and later <= LATER_DIALS_MOST


def test_without_jitter_they_dial_all_at_once() -> None:
    first, later = dials_after_a_loss(NoJitter())
    assert first == LOST and later == LOST


# ---- admission -------------------------------------------------------------------------------

ZONE = 330  # instances that come back at once
ALONE = 5_500 * MS  # until all of a zone and of a dead source are in at one source alone


class AdmittingSource(Source):
    """Admits whoever comes, whenever."""

    def __init__(
        self, replica: Replica, parameters: Parameters, now: int, is_publisher: bool
    ) -> None:
        super().__init__(replica, replace(parameters, admission_burst=100_000), now, is_publisher)


class ImpatientSubscriber(Subscriber):
    """Takes no notice of when it is to come back."""

    def received(self, attempt: int, now: int, message: Message) -> None:
        if isinstance(message, Busy):
            message = Busy(0, message.reason)
        super().received(attempt, now, message)


def crowd(
    sources: int,
    source_type: type[Source] = Source,
    subscriber_type: type[Subscriber] = Subscriber,
) -> Simulation:
    """A zone comes back at the moment at which a source dies; both know `sources` others."""
    simulation = Simulation(sources, PARAMETERS, source_type)
    simulation.add_subscribers(ZONE + LOST, subscriber_type=subscriber_type)
    simulation.start(PARAMETERS.reconnect_backoff_base_ns)
    simulation.run(ALONE)
    return simulation


def broken_rules(simulation: Simulation, within: int) -> set[str]:
    """What does not hold of: a source takes no more than its bound, who was turned away comes
    again not before the time that it was told and soon after it, all are in by then, and few
    hellos are needed for that."""
    records = simulation.records
    broken = set()
    for address in simulation.sources:
        admitted = [w.at for w in records.welcomes if w.address == address]
        for window in (100 * MS, SECOND, 3 * SECOND):
            bound = PARAMETERS.admission_burst + PARAMETERS.admissions_per_s * window / SECOND
            if max_in_window(admitted, window) > bound + 1:
                broken.add("admits more than its bound")
    for refusal in records.refusals:
        told = refusal.at + refusal.retry_after
        same = (refusal.name, refusal.address)
        again = [h.at for h in records.hellos if (h.name, h.address) == same and h.at > refusal.at]
        if again and min(again) < told:
            broken.add("comes before its time")
        soon = told + PARAMETERS.reconnect_backoff_base_ns + 20 * MS
        if len(simulation.sources) == 1 and (not again or min(again) > soon):
            broken.add("does not come at its time")
    if len({w.name for w in records.welcomes}) < ZONE + LOST:
        broken.add("not all are in")
    if max(w.at for w in records.welcomes) - SECOND > within:
        broken.add("in too late")
    if len(records.hellos) > 3 * (ZONE + LOST):
        broken.add("too many hellos")
    return broken


def test_a_zone_and_a_dead_sources_instances_are_let_in_one_after_the_other() -> None:
    simulation = crowd(1)
    assert not broken_rules(simulation, ALONE)
    assert len(simulation.records.refusals) >= ZONE + LOST - 2 * PARAMETERS.admission_burst


def test_where_others_are_left_they_are_all_in_within_4_s() -> None:
    assert not broken_rules(crowd(3), IN_FORCE)


@pytest.mark.parametrize("sources", [1, 3])
def test_without_admission_a_source_takes_more_than_its_bound(sources: int) -> None:
    broken = broken_rules(crowd(sources, source_type=AdmittingSource), ALONE)
    assert "admits more than its bound" in broken


@pytest.mark.parametrize("sources", [1, 3])
def test_those_who_don_t_heed_the_time_to_come_back_are_found(sources: int) -> None:
    broken = broken_rules(crowd(sources, subscriber_type=ImpatientSubscriber), ALONE)
    assert {"comes before its time", "too many hellos"} <= broken
