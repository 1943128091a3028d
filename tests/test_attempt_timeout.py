"""When an attempt ends, and what becomes of one whose response has stalled: the decisions alone."""

from __future__ import annotations

from dataclasses import replace

import pytest

from flinthatch import Balancer, Outcome, Settings, State, Update
from flinthatch.attempt_timeout import ANSWER_MARGIN_NS, Progress, further_time, silent_timeout

from .fakes import MS, PURE, SECOND, UNSAFE, RecordingHost, build_balancer, ready_listings

PURE_CLASS, UNSAFE_CLASS = 0, 1


def build_hedging_balancer(count: int = 4) -> tuple[Balancer, RecordingHost]:
    settings = Settings(classes=(PURE, UNSAFE), max_attempts=4, allow_hedging=True)
    return build_balancer(settings, count)


def sent_to(host: RecordingHost) -> list[int]:
    """The backends of the attempts, in order."""
    return [int(str(call[2])) for call in host.calls_named("send")]


def test_silent_backend_is_given_up_before_the_target_and_one_at_work_is_not() -> None:
    timeout = silent_timeout(UNSAFE, 20 * MS, 0, UNSAFE.latency_target, SECOND, False)
    assert 0.9 * UNSAFE.latency_target < timeout < UNSAFE.latency_target
    assert further_time(Progress.SILENT, timeout, SECOND) == 0
    for progress in (Progress.READING, Progress.RESPONDING):
        assert timeout + further_time(progress, timeout, SECOND) == SECOND - ANSWER_MARGIN_NS
        assert further_time(progress, SECOND, SECOND) == 0


def test_learned_latency_ends_only_attempts_that_may_be_repeated() -> None:
    late = replace(PURE, late_value=0.5)
    assert silent_timeout(late, 20 * MS, 0, late.latency_target, SECOND, True) == 200 * MS
    assert silent_timeout(late, 20 * MS, 0, late.latency_target, SECOND, False) == SECOND


@pytest.mark.parametrize("winner", [0, 1])
def test_safe_request_with_a_stalled_response_is_hedged_and_answered_once(winner: int) -> None:
    balancer, host = build_hedging_balancer()
    balancer.on_request(0, 1, PURE_CLASS, SECOND)
    balancer.on_response_stalled(25 * MS, 1, 0, 25 * MS)
    assert len(set(sent_to(host))) == 2
    balancer.on_outcome(60 * MS, 1, winner, Outcome.OK, 50 * MS, True)
    assert host.calls_named("cancel") == [("cancel", 1, 1 - winner)]
    balancer.on_outcome(60 * MS, 1, 1 - winner, Outcome.CANCELLED, 50 * MS, True)
    assert not balancer.requests and balancer.in_flight == 0
    assert not host.calls_named("refuse") and not host.calls_named("fail")


def test_request_whose_hedge_fails_waits_for_the_response_that_stalled() -> None:
    balancer, host = build_hedging_balancer()
    balancer.on_request(0, 1, PURE_CLASS, SECOND)
    balancer.on_response_stalled(25 * MS, 1, 0, 25 * MS)
    balancer.on_outcome(190 * MS, 1, 1, Outcome.ERROR, 160 * MS, False)  # too late for a third
    assert not host.calls_named("refuse") and len(sent_to(host)) == 2
    balancer.on_outcome(SECOND - MS, 1, 0, Outcome.TIMEOUT, SECOND - MS, False)
    assert len(host.calls_named("refuse")) == 1 and not balancer.requests


def test_stalled_response_is_waited_for_where_the_settings_allow_no_hedging() -> None:
    balancer, host = build_balancer()
    balancer.on_request(0, 1, PURE_CLASS, SECOND)
    balancer.on_response_stalled(25 * MS, 1, 0, 25 * MS)
    assert len(sent_to(host)) == 1 and not host.calls_named("refuse")
    balancer.on_outcome(60 * MS, 1, 0, Outcome.ERROR, 60 * MS, False)  # over: nothing is open
    assert len(sent_to(host)) == 2


def test_no_attempt_starts_beside_a_stalled_response_that_is_passed_on_after_all() -> None:
    balancer, host = build_hedging_balancer()
    balancer.on_request(0, 1, PURE_CLASS, SECOND)
    balancer.on_response_stalled(25 * MS, 1, 0, 25 * MS)
    balancer.on_response_started(60 * MS, 1, 0, 60 * MS)
    assert host.calls_named("cancel") == [("cancel", 1, 1)]
    balancer.on_outcome(60 * MS, 1, 1, Outcome.CANCELLED, 35 * MS, False)
    assert len(sent_to(host)) == 2 and not host.calls_named("refuse")
    balancer.on_outcome(90 * MS, 1, 0, Outcome.OK, 60 * MS, True)
    assert not balancer.requests and balancer.in_flight == 0


def test_unsafe_request_with_a_stalled_response_is_neither_hedged_nor_answered() -> None:
    balancer, host = build_hedging_balancer()
    balancer.on_request(0, 1, UNSAFE_CLASS, SECOND)
    balancer.on_response_stalled(250 * MS, 1, 0, 250 * MS)
    assert len(sent_to(host)) == 1
    assert not host.calls_named("refuse") and not host.calls_named("fail")
    balancer.on_outcome(SECOND - MS, 1, 0, Outcome.TIMEOUT, SECOND - MS, False)
    assert host.calls_named("fail") == [("fail", 1)]


def test_stalled_attempts_count_against_the_most_attempts_and_hold_no_slots() -> None:
    balancer, host = build_hedging_balancer(count=8)
    balancer.on_request(0, 1, PURE_CLASS, SECOND)
    for number in range(8):
        balancer.on_response_stalled((number + 1) * 5 * MS, 1, number, 5 * MS)
    assert len(sent_to(host)) == balancer.settings.max_attempts
    assert balancer.in_flight == 0
    assert all(backend.in_flight == 0 for backend in balancer.backends.values())


def test_backends_whose_responses_stall_are_ejected() -> None:
    balancer, host = build_hedging_balancer(count=4)
    for request in range(40):
        now = request * 300 * MS
        balancer.on_request(now, request, UNSAFE_CLASS, SECOND)
        attempt = balancer.requests[request].attempts[0]
        if attempt.backend.id == 100:
            balancer.on_response_stalled(now + 250 * MS, request, 0, 250 * MS)
        else:
            balancer.on_outcome(now + 20 * MS, request, 0, Outcome.OK, 20 * MS, True)
    assert sent_to(host).count(100) < 10


def test_outcome_at_a_backend_that_has_gone_leaves_one_that_returned_under_its_id() -> None:
    balancer, _ = build_hedging_balancer(count=2)
    balancer.on_request(0, 1, UNSAFE_CLASS, SECOND)
    gone = balancer.requests[1].attempts[0].backend
    balancer.on_response_stalled(25 * MS, 1, 0, 25 * MS)
    row = next(row for row in ready_listings(2) if row.backend == gone.id)
    balancer.apply_listing(30 * MS, row._replace(state=State.GONE), Update.DELTA)
    balancer.forget_if_gone(gone)
    balancer.apply_listing(40 * MS, row, Update.DELTA)
    balancer.on_outcome(500 * MS, 1, 0, Outcome.TIMEOUT, 500 * MS, False)
    assert balancer.backends[gone.id] is not gone
