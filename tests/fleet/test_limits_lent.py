"""A part that is over is not used: not by the bucket, not by the module, whatever lies waiting."""

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


class Asked(RecordingHost):
    """What was sent, as request and server."""

    @property
    def sent(self) -> list[tuple[int, int]]:
        return [(int(str(c[1])), int(str(c[2]))) for c in self.calls_named("send")]


def balancer(servers: Sequence[int] = (1, 2)) -> tuple[Balancer, Asked]:
    host = Asked()
    classes = (RequestClass("balance", 8 * SECOND, 9 * SECOND, Effect.PURE),)
    made = Balancer(Settings(classes), 1, host)
    made.start(0)
    made.on_backend_list(0, Update.FULL, [Listing(n, State.READY) for n in servers])
    return made, host


def test_no_more_at_a_server_than_its_places() -> None:
    b, host = balancer()
    shared_limits.apply_limits(b, 0, {1: 2, 2: 1})
    for n in range(10):
        b.on_request(0, n, 0, 9 * SECOND)
    assert sorted(s for _, s in host.sent) == [1, 1, 2]
    shared_limits.apply_limits(b, 1, {1: 2})  # of one that is not named there are none
    b.on_outcome(2, next(r for r, s in host.sent if s == 2), 0, 1, 1, True)
    assert len(host.sent) == 3


def test_what_was_given_up_keeps_its_place_until_its_longest_deadline() -> None:
    b, host = balancer([1])
    shared_limits.apply_limits(b, 0, {1: 1})
    for n in range(3):
        b.on_request(0, n, 0, 9 * SECOND)
    assert host.sent == [(0, 1)]
    b.on_outcome(SECOND, 0, 0, 4, SECOND, True)  # timed out: the server may be at it yet
    assert len(host.sent) == 1 and shared_limits.count_occupied_slots(b) == {1: 1}
    b.on_request(8 * SECOND, 7, 0, 9 * SECOND)
    assert len(host.sent) == 1
    b.on_timer(9 * SECOND, 1)
    assert len(host.sent) == 2  # its deadline is over, and so is its work
    other, sends = balancer([1])
    for n in range(9):
        other.on_request(0, n, 0, 9 * SECOND)
    other.on_outcome(SECOND, 0, 0, 4, SECOND, True)
    assert len(sends.sent) == 5  # where no places are limited nothing is held back


def test_over_parts_are_not_used_by_what_waits_already() -> None:
    b, host = balancer()
    shared_limits.apply_limits(
        b, 0, {1: 1, 2: 1}, expires_at=100, granted_slots_after_expiry={1: 1}
    )
    for n in range(4):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 2
    # Woken after the end, the first thing that comes is an answer: one leaves, none is sent.
    freed = next(r for r, s in host.sent if s == 2)
    b.on_outcome(101, freed, 0, 1, 1, True)
    assert len(host.sent) == 2
    assert b.granted_slots == {1: 1}


def test_a_part_of_the_retries_and_of_a_cold_servers_trickle() -> None:
    b, _ = balancer()
    shared_limits.apply_limits(b, 0, None, instance_count=4, retry_share=0.25)
    assert b.max_retry_budget == RETRY_BUDGET_BURST_COUNT / 4 >= b.retry_budget
    assert b.instance_count == 4
    row = b.backends[1]
    row.slow_start_until = 8 * SECOND
    b.pace_slow_start(0, row)
    assert (
        row.paused_until == 4 * b.settings.overload_window
    )  # a quarter of what one alone would send
    shared_limits.apply_limits(b, 0, None)
    assert b.max_retry_budget == RETRY_BUDGET_BURST_COUNT


def test_a_doubted_server_gets_one_at_a_time_and_is_never_taken_away() -> None:
    b, host = balancer([1])
    assert (
        shared_limits.mark_half_open(b, 0, [1, 7], SECOND) == 1
    )  # one that only a peer has named: nothing
    for n in range(3):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 1
    b.on_outcome(5, 0, 0, 1, 5, True)  # it answers us
    assert len(host.sent) == 3
    assert shared_limits.mark_half_open(b, 6, [1], SECOND) == 0  # our own eyes go first


def test_a_try_is_left_to_another_and_taken_up_again() -> None:
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


def test_the_module_alone_is_as_it_was() -> None:
    b, host = balancer()
    for n in range(20):
        b.on_request(0, n, 0, 9 * SECOND)
    assert len(host.sent) == 8  # four to a server, as its level begins
    assert b.grant_expires_at == NEVER


def test_a_bucket_goes_down_before_it_lets_the_first_through() -> None:
    bucket = Bucket(0, 100.0, 50.0)
    lapsed = []

    def lapse() -> None:
        lapsed.append(True)
        bucket.change(10 * SECOND, 1.0, 1.0)

    bucket.hold_until(2 * SECOND, lapse)
    assert bucket.take(SECOND) == 0
    passed = sum(bucket.take(10 * SECOND) == 0 for _ in range(50))
    assert lapsed == [True]
    assert passed == 1
    assert not bucket.extend(20 * SECOND)


def test_rates_that_move_between_two_buckets_sum_to_the_whole() -> None:
    rate, burst = 100.0, 20.0
    a, b = Bucket(0, rate, burst), Bucket(0, rate, burst)
    for bucket in (a, b):
        bucket.empty(0)
    passed = 0
    for step in range(1, 2001):
        now = step * SECOND // 100
        part = 0.9 if step // 50 % 2 else 0.1
        a.change(now, rate * part, burst * part)
        b.change(now, rate * (1 - part), burst * (1 - part))
        passed += sum(x.take(now) == 0 for x in (a, b) for _ in range(5))
    assert passed <= rate * 20 + burst
    assert passed >= 0.9 * rate * 20


def test_no_rate_lets_nobody_through_and_comes_back() -> None:
    bucket = Bucket(0, 10.0, 5.0)
    bucket.change(0, 0.0, 0.0)
    assert bucket.take(100 * SECOND) == SECOND
    bucket.change(100 * SECOND, 10.0, 5.0)
    assert bucket.take(100 * SECOND) > 0  # nothing was saved meanwhile
    assert bucket.take(101 * SECOND) == 0
