"""Reconnects in simulated time: silent sources, jitter, admission, each also with it disabled."""

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

IN_FORCE_LIMIT_NS = 4 * SECOND  # from a change until it is in force everywhere
PARAMETERS = Parameters()


def time_in_force_with_a_silent_source(parameters: Parameters) -> int:
    """Time until a change is in force at all subscribers, where a source goes silent at the moment
    of the change without closing connections; above IN_FORCE_LIMIT_NS where it takes longer."""
    simulation = Simulation(5, parameters)
    simulation.add_subscribers(60)
    simulation.connect_all(SECOND)
    committed = simulation.now
    silent = simulation.sources["10.0.0.0:1"]
    assert len(silent.connections) > 5
    silent.set_condition(Condition.SILENT)
    simulation.commit()
    simulation.run(IN_FORCE_LIMIT_NS + 1)
    if len(simulation.records.applied) < len(simulation.subscribers):
        return IN_FORCE_LIMIT_NS + 1
    return max(simulation.records.applied.values()) - committed


def test_a_change_is_in_force_within_4_s_although_a_source_goes_silent() -> None:
    assert time_in_force_with_a_silent_source(PARAMETERS) <= IN_FORCE_LIMIT_NS


def test_without_the_silence_time_out_a_change_takes_longer_than_4_s() -> None:
    assert (
        time_in_force_with_a_silent_source(replace(PARAMETERS, silence_timeout_ns=60 * SECOND))
        > IN_FORCE_LIMIT_NS
    )


def losses_in_an_idle_minute(parameters: Parameters) -> int:
    simulation = Simulation(2, parameters)
    simulation.add_subscribers(10)
    simulation.start()
    simulation.run(60 * SECOND)
    return sum(subscriber.core.losses for subscriber in simulation.subscribers)


def test_heartbeats_keep_idle_connections_open() -> None:
    assert losses_in_an_idle_minute(PARAMETERS) == 0


def test_without_heartbeats_idle_connections_are_lost() -> None:
    assert losses_in_an_idle_minute(replace(PARAMETERS, heartbeat_interval_ns=60 * SECOND)) > 0


class NoHeartbeatSource(Source):
    """Sends no heartbeats, but receives those of the other side."""

    def tick(self, now: int) -> list[int]:
        for session in self.sessions.values():
            session.last_heartbeat = now
        return super().tick(now)


class NoHeartbeatSubscriber(Subscriber):
    """Sends no heartbeats, but receives those of the other side."""

    def tick(self, now: int) -> None:
        self._last_sent = now
        super().tick(now)


@pytest.mark.parametrize(
    ("source_type", "subscriber_type"),
    [(NoHeartbeatSource, Subscriber), (Source, NoHeartbeatSubscriber)],
)
def test_heartbeats_of_one_side_alone_do_not_keep_a_connection(
    source_type: type[Source], subscriber_type: type[Subscriber]
) -> None:
    simulation = Simulation(2, PARAMETERS, source_type)
    simulation.add_subscribers(3, subscriber_type=subscriber_type)
    simulation.start()
    simulation.run(10 * SECOND)
    assert sum(subscriber.core.losses for subscriber in simulation.subscribers) >= 3


def silent_sessions_left(parameters: Parameters) -> int:
    """How many sessions of silent instances a source still has 2 s after they went silent."""
    simulation = Simulation(1, parameters)
    silent = simulation.add_subscribers(20)[:8]
    simulation.connect_all(0)
    for subscriber in silent:
        subscriber.silent = True
    simulation.run(2 * SECOND)
    source = simulation.sources["10.0.0.0:1"]
    assert len(source.core.sessions) >= 12
    return len(source.core.sessions) - 12


def test_a_source_closes_the_sessions_of_silent_instances() -> None:
    assert silent_sessions_left(PARAMETERS) == 0


def test_without_the_silence_time_out_the_sessions_of_silent_instances_stay() -> None:
    assert silent_sessions_left(replace(PARAMETERS, silence_timeout_ns=60 * SECOND)) == 8


# ---- full jitter -----------------------------------------------------------------------------

LOST_SUBSCRIBER_COUNT = 240  # subscribers that lose their source at the same moment
MAX_FIRST_DIALS = 48  # first dials within 10 ms: twice the mean
MAX_LATER_DIALS = 200  # later dials within 100 ms, while no source is reachable


class NoJitter(Random):
    """Always returns the largest value, so that each delay is its bound."""

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return start - 1


def dials_after_a_loss(random: Random | None = None) -> tuple[int, int]:
    """The maximum of first dials within 10 ms and of later dials within 100 ms, for subscribers
    that lose their source at the same moment while no other is reachable for 5 s."""
    simulation = Simulation(15)
    simulation.add_subscribers(LOST_SUBSCRIBER_COUNT)
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
    assert len(first) == LOST_SUBSCRIBER_COUNT and len(later) > 5 * LOST_SUBSCRIBER_COUNT
    return max_in_window(list(first.values()), 10 * MS), max_in_window(later, 100 * MS)


def test_dials_after_a_loss_are_spread_over_time() -> None:
    first, later = dials_after_a_loss()
    assert first <= MAX_FIRST_DIALS and later <= MAX_LATER_DIALS


def test_without_jitter_all_subscribers_dial_at_once() -> None:
    first, later = dials_after_a_loss(NoJitter())
    assert first == LOST_SUBSCRIBER_COUNT and later == LOST_SUBSCRIBER_COUNT


# ---- admission -------------------------------------------------------------------------------

ZONE_INSTANCE_COUNT = 330  # instances of a zone that reconnect at once
SINGLE_SOURCE_LIMIT_NS = 5_500 * MS  # to admit a zone and a dead source's subscribers at one source


class UnlimitedAdmissionSource(Source):
    """Admits every subscriber at once."""

    def __init__(
        self, replica: Replica, parameters: Parameters, now: int, is_publisher: bool
    ) -> None:
        super().__init__(replica, replace(parameters, admission_burst=100_000), now, is_publisher)


class IgnoresRetryTimeSubscriber(Subscriber):
    """Ignores the retry time of a Busy message."""

    def received(self, attempt: int, now: int, message: Message) -> None:
        if isinstance(message, Busy):
            message = Busy(0, message.reason)
        super().received(attempt, now, message)


def simulate_mass_reconnect(
    sources: int,
    source_type: type[Source] = Source,
    subscriber_type: type[Subscriber] = Subscriber,
) -> Simulation:
    """A zone reconnects at the moment when a source dies; `sources` sources are left for both."""
    simulation = Simulation(sources, PARAMETERS, source_type)
    simulation.add_subscribers(
        ZONE_INSTANCE_COUNT + LOST_SUBSCRIBER_COUNT, subscriber_type=subscriber_type
    )
    simulation.start(PARAMETERS.reconnect_backoff_base_ns)
    simulation.run(SINGLE_SOURCE_LIMIT_NS)
    return simulation


def violated_rules(simulation: Simulation, limit: int) -> set[str]:
    """The violated rules. A source admits no more than its bound; a rejected subscriber retries not
    before its retry time, and soon after it; all are admitted within `limit` with few hellos."""
    records = simulation.records
    violations = set()
    for address in simulation.sources:
        admitted = [w.at for w in records.welcomes if w.address == address]
        for window in (100 * MS, SECOND, 3 * SECOND):
            bound = PARAMETERS.admission_burst + PARAMETERS.admissions_per_s * window / SECOND
            if max_in_window(admitted, window) > bound + 1:
                violations.add("exceeds the admission bound")
    for refusal in records.refusals:
        retry_at = refusal.at + refusal.retry_after
        same = (refusal.name, refusal.address)
        retried_at = [
            h.at for h in records.hellos if (h.name, h.address) == same and h.at > refusal.at
        ]
        if retried_at and min(retried_at) < retry_at:
            violations.add("retries too early")
        latest_retry_at = retry_at + PARAMETERS.reconnect_backoff_base_ns + 20 * MS
        if len(simulation.sources) == 1 and (not retried_at or min(retried_at) > latest_retry_at):
            violations.add("retries too late")
    if len({w.name for w in records.welcomes}) < ZONE_INSTANCE_COUNT + LOST_SUBSCRIBER_COUNT:
        violations.add("not all are admitted")
    if max(w.at for w in records.welcomes) - SECOND > limit:
        violations.add("admitted too late")
    if len(records.hellos) > 3 * (ZONE_INSTANCE_COUNT + LOST_SUBSCRIBER_COUNT):
        violations.add("too many hellos")
    return violations


def test_a_mass_reconnect_to_one_source_is_admitted_at_the_admission_rate() -> None:
    simulation = simulate_mass_reconnect(1)
    assert not violated_rules(simulation, SINGLE_SOURCE_LIMIT_NS)
    assert (
        len(simulation.records.refusals)
        >= ZONE_INSTANCE_COUNT + LOST_SUBSCRIBER_COUNT - 2 * PARAMETERS.admission_burst
    )


def test_a_mass_reconnect_to_three_sources_completes_within_4_s() -> None:
    assert not violated_rules(simulate_mass_reconnect(3), IN_FORCE_LIMIT_NS)


@pytest.mark.parametrize("sources", [1, 3])
def test_without_admission_control_a_source_exceeds_its_admission_bound(sources: int) -> None:
    violations = violated_rules(
        simulate_mass_reconnect(sources, source_type=UnlimitedAdmissionSource),
        SINGLE_SOURCE_LIMIT_NS,
    )
    assert "exceeds the admission bound" in violations


@pytest.mark.parametrize("sources", [1, 3])
def test_subscribers_that_ignore_their_retry_time_are_detected(sources: int) -> None:
    violations = violated_rules(
        simulate_mass_reconnect(sources, subscriber_type=IgnoresRetryTimeSubscriber),
        SINGLE_SOURCE_LIMIT_NS,
    )
    assert {"retries too early", "too many hellos"} <= violations
