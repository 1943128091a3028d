"""Expired grants are not used, neither by the token bucket nor by the balancer, even if requests
wait."""

from __future__ import annotations

from collections.abc import Sequence

from flinthatch import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Settings,
    State,
    Update,
    shared_limits,
)
from flinthatch.balancer import NEVER, RETRY_BUDGET_BURST_COUNT
from tansywood.tenancy.limits import SECOND, Bucket
from tests.fakes import RecordingHost


class SendRecorder(RecordingHost):
    """Records sent requests as pairs of request and server."""

    @property
    def sent(self) -> list[tuple[int, int]]:
        return [(int(str(c[1])), int(str(c[2]))) for c in self.calls_named("send")]


def balancer(servers: Sequence[int] = (1, 2)) -> tuple[Balancer, SendRecorder]:
    host = SendRecorder()
    classes = (RequestClass("balance", 8 * SECOND, 9 * SECOND, Effect.PURE),)
    made = Balancer(Settings(classes), 1, host)
    made.start(0)
    made.on_backend_list(0, Update.FULL, [Listing(n, State.READY) for n in servers])
    return made, host


def test_a_server_gets_no_more_requests_than_its_slots() -> None:
    b, host = balancer()
    shared_limits.apply_limits(b, 0, {1: 2, 2: 1})
    for n in range(10):
        b.on_request(0, n, 0, 9 * SECOND)
    assert sorted(s for _, s in host.sent) == [1, 1, 2]
    shared_limits.apply_limits(b, 1, {1: 2})  # a server that is not listed has no slots
    b.on_outcome(2, next(r for r, s in host.sent if s == 2), 0, 1, 1, True)
    assert len(host.sent) == 3


def test_a_timed_out_request_occupies_its_slot_until_its_deadline() -> None:
    b, host = balancer([1])
    shared_limits.apply_limits(b, 0, {1: 1})
    for n in range(3):
        b.on_request(0, n, 0, 9 * SECOND)
    assert host.sent == [(0, 1)]
    b.on_outcome(SECOND, 0, 0, 4, SECOND, True)  # timed out: the server may still work on it
    assert len(host.sent) == 1 and shared_limits.count_occupied_slots(b) == {1: 1}
    b.on_request(8 * SECOND, 7, 0, 9 * SECOND)
    assert len(host.sent) == 1
    b.on_timer(9 * SECOND, 1)
    assert len(host.sent) == 2  # after its deadline the server no longer works on it
    other, sends = balancer([1])
    for n in range(9):
        other.on_request(0, n, 0, 9 * SECOND)
    other.on_outcome(SECOND, 0, 0, 4, SECOND, True)
    assert len(sends.sent) == 5  # without slot limits nothing is held back


def test_waiting_requests_do_not_use_expired_grants() -> None:
    b, host = balancer()
    shared_limits.apply_limits(
        b, 0, {1: 1, 2: 1}, expires_at=100, granted_slots_after_expiry={1: 1}
    )
    for n in range(4):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 2
    # The first event after the expiry is an answer: it frees a slot, and no request is sent.
    freed = next(r for r, s in host.sent if s == 2)
    b.on_outcome(101, freed, 0, 1, 1, True)
    assert len(host.sent) == 2
    assert b.granted_slots == {1: 1}


def test_retry_budget_and_slow_start_are_divided_among_instances() -> None:
    b, _ = balancer()
    shared_limits.apply_limits(b, 0, None, instance_count=4, retry_share=0.25)
    assert b.max_retry_budget == RETRY_BUDGET_BURST_COUNT / 4 >= b.retry_budget
    assert b.instance_count == 4
    row = b.backends[1]
    row.slow_start_until = 8 * SECOND
    pauses = []
    for instance_count in (1, 4):
        shared_limits.apply_limits(b, 0, None, instance_count=instance_count, retry_share=0.25)
        row.paused_until = 0
        b.pause_in_slow_start(row)
        pauses.append(row.paused_until)
    assert pauses[1] == 4 * pauses[0] > 0  # a quarter of the rate of a single instance
    shared_limits.apply_limits(b, 0, None)
    assert b.max_retry_budget == RETRY_BUDGET_BURST_COUNT


def test_a_half_open_server_gets_one_request_at_a_time_and_stays_in_use() -> None:
    b, host = balancer([1])
    assert (
        shared_limits.mark_half_open(b, 0, [1, 7], SECOND) == 1
    )  # server 7 is unknown here and is ignored
    for n in range(3):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 1
    b.on_outcome(5, 0, 0, 1, 5, True)  # the server answers this instance
    assert len(host.sent) == 3
    assert shared_limits.mark_half_open(b, 6, [1], SECOND) == 0  # own observations take precedence


def test_an_ejection_can_be_extended_and_ended() -> None:
    b, host = balancer([1, 2])
    b.eject(0, b.backends[1], "it is silent")
    assert shared_limits.list_ejected(b) == {1}
    until = b.backends[1].ejected_until + SECOND
    assert shared_limits.extend_ejection(b, 0, 1, until) and b.backends[1].ejected_until == until
    assert not shared_limits.extend_ejection(b, 0, 1, until - 1)
    assert not shared_limits.extend_ejection(b, 0, 2, until)
    assert shared_limits.end_ejection(b, 1, 1) and not shared_limits.end_ejection(b, 1, 1)
    b.on_request(2, 1, 0, 9 * SECOND)
    b.on_request(2, 2, 0, 9 * SECOND)
    assert {s for _, s in host.sent} == {1, 2}
    b.on_outcome(3, 1, 0, 1, 1, True)
    b.on_outcome(3, 2, 0, 1, 1, True)
    assert sorted(shared_limits.list_recent_answers(b, 4, SECOND)) == [1, 2]


def test_without_shared_limits_the_balancer_is_unrestricted() -> None:
    b, host = balancer()
    for n in range(20):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 8  # the initial concurrency limit is four per server
    assert b.grant_expires_at == NEVER


def test_an_expired_bucket_lowers_its_rate_before_it_admits_a_request() -> None:
    bucket = Bucket(0, 100.0, 50.0)
    lapsed = []

    def lapse() -> None:
        lapsed.append(True)
        bucket.change(10 * SECOND, 1.0, 1.0)

    bucket.hold_until(2 * SECOND, lapse)
    assert bucket.take(SECOND) == 0
    admitted = sum(bucket.take(10 * SECOND) == 0 for _ in range(50))
    assert lapsed == [True]
    assert admitted == 1
    assert not bucket.extend(20 * SECOND)


def test_rates_that_move_between_two_buckets_never_exceed_their_sum() -> None:
    rate, burst = 100.0, 20.0
    a, b = Bucket(0, rate, burst), Bucket(0, rate, burst)
    for bucket in (a, b):
        bucket.empty(0)
    admitted = 0
    for step in range(1, 2001):
        now = step * SECOND // 100
        fraction = 0.9 if step // 50 % 2 else 0.1
        a.change(now, rate * fraction, burst * fraction)
        b.change(now, rate * (1 - fraction), burst * (1 - fraction))
        admitted += sum(x.take(now) == 0 for x in (a, b) for _ in range(5))
    assert admitted <= rate * 20 + burst
    assert admitted >= 0.9 * rate * 20


def test_a_bucket_without_rate_admits_nothing_until_its_rate_returns() -> None:
    bucket = Bucket(0, 10.0, 5.0)
    bucket.change(0, 0.0, 0.0)
    assert bucket.take(100 * SECOND) == SECOND
    bucket.change(100 * SECOND, 10.0, 5.0)
    assert bucket.take(100 * SECOND) > 0  # no tokens were saved in the meantime
    assert bucket.take(101 * SECOND) == 0
