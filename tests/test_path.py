"""The ordinary request path: queue, dispatch in turn, backend with the fewest in flight."""

from __future__ import annotations

from itertools import pairwise

import pytest

from flinthatch import (
    Balancer,
    Effect,
    Listing,
    Outcome,
    RequestClass,
    Settings,
    State,
    Tenant,
    Update,
)
from flinthatch.balancer import MAX_EXTRA_UNSENT_ATTEMPTS

from .fakes import MS, PURE, SECOND, UNSAFE, RecordingHost, build_balancer


def test_requests_go_to_the_backend_with_the_fewest_in_flight() -> None:
    balancer, host = build_balancer(count=4)
    for i in range(4):
        balancer.on_request(1, i, 0, SECOND)
    assert len({c[2] for c in host.calls_named("send")}) == 4


def test_requests_beyond_the_slots_are_queued_and_then_refused() -> None:
    balancer, host = build_balancer(count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    sent = len(host.calls_named("send"))
    assert sent == balancer.total_slots < 20
    balancer.on_timer(190 * MS, 1)
    assert len(host.calls_named("refuse")) == 20 - sent


def test_a_request_with_side_effects_that_may_have_run_is_neither_retried_nor_refused() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 2, 5 * MS, False)
    assert host.calls_named("fail") == [("fail", 9)]
    assert len(host.calls_named("send")) == 1


def test_a_keyed_request_is_retried_within_its_window_only() -> None:
    balancer, host = build_balancer()
    balancer.on_request(MS, 1, 2, SECOND)
    balancer.on_request(MS, 2, 2, SECOND)
    balancer.on_outcome(50 * MS, 1, 0, 6, 49 * MS, False)
    balancer.on_outcome(70 * MS, 2, 0, 6, 69 * MS, False)
    assert [c[1] for c in host.calls_named("send")] == [1, 2, 1]
    assert host.calls_named("refuse") == [("refuse", 2)]


def test_a_request_reported_twice_is_served_once() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 0, SECOND)
    balancer.on_request(1, 9, 0, SECOND)
    assert len(host.calls_named("send")) == 1
    balancer.on_outcome(2, 9, 0, 1, 1, True)
    assert balancer.in_flight == 0 and not balancer.requests


def test_a_request_with_side_effects_that_never_ran_is_retried() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 3, 5 * MS, False)
    assert len(host.calls_named("send")) == 2


def test_a_queued_request_is_refused_in_time_behind_one_that_may_wait_longer() -> None:
    """A request at the front of the queue must not hide that those behind it are due."""
    short_deadline = RequestClass("near", 200 * MS, 250 * MS, Effect.SIDE_EFFECT)
    balancer, host = build_balancer(Settings(classes=(short_deadline,)), count=1)
    for i in range(10):
        balancer.on_request(1, i, 0, 250 * MS)
    slots = balancer.total_slots
    balancer.on_request(1, 90, 0, 170 * MS)
    assert len(host.calls_named("send")) == slots
    due = min(int(str(c[2])) for c in host.calls_named("timer") if c[1] == 1)
    balancer.on_timer(due, 1)
    assert host.calls_named("refuse") == [("refuse", 90)]


def test_a_backend_that_rejects_requests_is_paused() -> None:
    """A full backend answers at once, has the fewest in flight and would attract all traffic."""
    balancer, host = build_balancer(Settings(classes=(PURE, UNSAFE), max_attempts=2), count=2)
    for i in range(20):
        balancer.on_request(MS * i, i, 0, SECOND)
        sent = host.calls_named("send")[-1]
        if sent[1] == i and sent[2] == 100:
            balancer.on_outcome(MS * i, i, 0, 3, 0, False)
    to_full = [c for c in host.calls_named("send") if c[2] == 100]
    assert len(to_full) == 1


def test_time_outs_cut_the_concurrency_limit() -> None:
    """Judged by answers alone, an overload would look like light load."""
    balancer, host = build_balancer()
    before = balancer.concurrency_limit
    for i in range(8):
        balancer.on_request(MS, i, 0, SECOND)
    for i in range(8):
        balancer.on_outcome(SECOND, i, 0, 4, 195 * MS, True)
    balancer.on_timer(SECOND, 2)
    assert balancer.concurrency_limit < before


def test_lost_answers_among_quick_ones_do_not_cut_the_concurrency_limit() -> None:
    """One request in ten is never answered and the others are answered quickly: with fewer
    slots, more requests would be lost."""
    balancer, host = build_balancer(count=8)
    before = balancer.concurrency_limit
    for cycle in range(1, 9):
        now = cycle * SECOND // 2
        for i in range(20):
            balancer.on_request(now, 100 * cycle + i, 0, SECOND)
        for c in list(host.calls_named("send"))[-20:]:
            request = int(str(c[1]))
            if request % 10:
                balancer.on_outcome(now + 10 * MS, request, 0, 1, 10 * MS, True)
            else:
                balancer.on_outcome(now + 195 * MS, request, 0, 4, 195 * MS, True)
        balancer.on_timer(now + 400 * MS, 2)
    assert len(host.calls_named("send")) == 160
    assert balancer.concurrency_limit >= before


def test_a_hung_backend_does_not_cut_the_concurrency_limit() -> None:
    """One long time-out among answers concerns the health of its backend, not the load."""
    slow = RequestClass("slow", 200 * MS, 6 * SECOND, Effect.SIDE_EFFECT, late_value=0.3)
    balancer, host = build_balancer(Settings(classes=(slow,)))
    before = balancer.concurrency_limit
    for i in range(10):
        balancer.on_request(MS, i, 0, 6 * SECOND)
    for i in range(9):
        balancer.on_outcome(40 * MS, i, 0, 1, 39 * MS, True)
    balancer.on_outcome(6 * SECOND, 9, 0, 4, 6 * SECOND, True)
    balancer.on_timer(6 * SECOND, 2)
    assert balancer.concurrency_limit >= before


def test_a_slow_class_on_idle_backends_does_not_hold_the_concurrency_limit_down() -> None:
    """Only the latency that congestion adds counts: some classes take half of their latency
    target on an idle backend."""
    balancer, host = build_balancer()
    before = balancer.concurrency_limit
    for k in range(8):
        now = k * SECOND // 2
        for i in range(30):
            balancer.on_request(now, 100 * k + i, 0, SECOND)
        for c in host.calls_named("send"):
            balancer.on_outcome(now + 120 * MS, int(str(c[1])), 0, 1, 120 * MS, True)
        host.calls.clear()
        balancer.on_timer(now + 400 * MS, 2)
    assert balancer.concurrency_limit > before


def test_ejections_are_logged_at_most_once_a_second() -> None:
    balancer, host = build_balancer(count=6)
    for i in range(4):
        balancer.on_request(MS, i, 1, SECOND)
    for backend in balancer.backends.values():
        backend.consecutive_failures = 1  # a first failed connection would only pause
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, 5, MS, True)
    assert balancer.ejected_count == 3 and len(host.calls_named("log")) == 1
    balancer.on_timer(2 * SECOND, 2)
    logged = " ".join(str(c[1]) for c in host.calls_named("log"))
    ejected = [b.id for b in balancer.backends.values() if b.ejected_until]
    assert len(host.calls_named("log")) == 2 and all(f"{b} out:" in logged for b in ejected)


def test_an_ejection_is_logged_though_another_line_came_just_before() -> None:
    balancer, host = build_balancer(count=6)
    balancer.on_backend_list(MS, Update.FAILED)
    balancer.on_request(2 * MS, 1, 1, SECOND)
    for backend in balancer.backends.values():
        backend.consecutive_failures = 1
    balancer.on_outcome(3 * MS, 1, 0, 5, MS, True)
    assert balancer.ejected_count == 1
    assert any(" out: " in str(c[1]) for c in host.calls_named("log"))


def test_read_delay_shortens_the_target_but_is_not_taken_for_the_clients_time() -> None:
    balancer, host = build_balancer(count=1)
    for i in range(40):  # the time left that first tries come with
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_request(MS, 40, 0, 960 * MS, read_delay=40 * MS)
    unread = balancer.requests[40]
    assert unread.target_at == MS + 160 * MS
    assert not unread.low_priority
    balancer.on_request(MS, 41, 0, 700 * MS, read_delay=300 * MS)
    assert balancer.requests[41].low_priority  # past its latency target before it was read


def test_connections_that_the_network_breaks_do_not_eject_the_fleet() -> None:
    """One connection in twenty breaks, at any backend. When breaks counted as restarts, half of
    the fleet was in slow start."""
    balancer, host = build_balancer(count=10)
    for i in range(4000):
        now = i * 5 * MS
        balancer.on_timer(now, 1)
        balancer.on_request(now, i, 1, SECOND)
        code = 6 if i % 20 < 2 and i % 40 < 20 else 1  # sometimes two in a row
        balancer.on_outcome(now + 2 * MS, i, 0, code, 2 * MS, code == 1)
    assert balancer.ejected_count <= 1
    assert not any(b.slow_start_until for b in balancer.backends.values())


def test_a_backend_that_breaks_every_connection_is_ejected() -> None:
    balancer, host = build_balancer(count=6)
    for i in range(4000):
        now = i * 5 * MS
        balancer.on_request(now, i, 1, SECOND)
        bad = host.calls_named("send")[-1][2] == 100
        balancer.on_outcome(now + 2 * MS, i, 0, 6 if bad else 1, 2 * MS, not bad)
        if balancer.backends[100].ejected_until:
            break
    assert balancer.backends[100].ejected_until


def test_three_time_outs_in_a_row_eject_a_backend_and_fewer_do_not() -> None:
    """Under load, attempts time out at healthy backends too; three in a row are silence."""
    balancer, host = build_balancer(Settings(classes=(UNSAFE,)), count=4)
    backend = balancer.backends[100]
    for i in range(40):
        at = i * SECOND
        balancer.on_request(at, i, 0, SECOND)
        for c in host.calls_named("send"):
            if c[1] == i:
                code = 4 if c[2] == 100 else 1
                balancer.on_outcome(at + 195 * MS, i, 0, code, 195 * MS, True)
        if backend.consecutive_failures in (1, 2):
            assert not backend.ejected_until
        if backend.consecutive_failures == 3:
            break
    assert backend.ejected_until


def test_a_class_of_higher_value_gets_a_larger_share_under_overload() -> None:
    rich = RequestClass("rich", 200 * MS, SECOND, Effect.SIDE_EFFECT, value=10.0)
    poor = RequestClass("poor", 200 * MS, SECOND, Effect.SIDE_EFFECT, value=1.0)
    balancer, host = build_balancer(Settings(classes=(rich, poor)), count=6)
    for k in range(12):
        now = (k + 1) * SECOND // 2
        for i in range(60):
            balancer.on_request(now, 1000 * k + i, i % 2, SECOND)
        for c in host.calls_named("send"):
            balancer.on_outcome(now + 100 * MS, int(str(c[1])), 0, 1, 100 * MS, True)
        balancer.on_timer(now + 190 * MS, 1)
        host.calls.clear()
        balancer.on_timer(now + 200 * MS, 2)
    assert balancer.classes[0].share > 2 * balancer.classes[1].share


def test_round_robin_keeps_each_class_at_its_share() -> None:
    balancer, host = build_balancer(count=6)
    total = balancer.total_slots
    balancer.classes[0].share, balancer.classes[1].share = total - 4, 3
    balancer.classes[2].share = 1
    for i in range(9 * total):
        balancer.on_request(1, i, i // 3 % 3 if i > total else 0, SECOND)
    for step in range(3 * total):
        out = [r for r in balancer.requests.values() if r.attempts_in_flight]
        r = out[step % len(out)]
        balancer.on_outcome(2, r.id, 0, 1, 1, True)
    assert all(c.waiting for c in balancer.classes)
    assert [c.in_flight for c in balancer.classes] == [total - 4, 3, 1]


def test_requests_beyond_quota_wait_behind_and_tenants_take_turns_by_share() -> None:
    tenants = (Tenant("a", 0.75, 1000.0), Tenant("b", 0.45, 1000.0), Tenant("c", 0.1, 1.0))
    balancer, host = build_balancer(Settings(classes=(PURE,), tenants=tenants), count=1)
    for i in range(balancer.total_slots):
        balancer.on_request(1, 900 + i, 0, SECOND, 0)
    for i in range(6):
        balancer.on_request(1, 300 + i, 0, SECOND, 2)
    for i in range(12):
        balancer.on_request(1, 100 + i, 0, SECOND, 0)
        balancer.on_request(1, 200 + i, 0, SECOND, 1)
    host.calls.clear()
    for _ in range(9):
        out = next(r for r in balancer.requests.values() if r.attempts_in_flight)
        balancer.on_outcome(2, out.id, 0, 1, 1, True)
    sent = [int(str(c[1])) // 100 for c in host.calls_named("send")]
    assert sent.count(1) == 5 and sent.count(2) == 3 and sent.count(3) == 1


def test_all_nodes_together_hold_each_backends_slots_once() -> None:
    """With more nodes than slots, the slots of each backend go to different nodes."""
    slots: dict[int, int] = {}
    for node in range(24):
        balancer, _ = build_balancer(Settings(classes=(PURE,), node=node, balancers=24), count=48)
        for b in balancer.backends.values():
            slots[b.id] = slots.get(b.id, 0) + b.slot_limit
    assert set(slots.values()) == {4}


def test_a_draining_backend_gets_no_new_requests() -> None:
    balancer, host = build_balancer(count=1)
    balancer.on_backend_list(5, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_request(6, 1, 0, SECOND)
    assert host.calls_named("send") == []


def test_slots_grow_during_slow_start() -> None:
    """The backends of a zone that has just restarted must not be held to two slots each until
    the end of their slow start."""
    start = Listing(100, State.READY, started_at=20 * SECOND)
    settings = Settings(classes=(PURE,), slow_start=10 * SECOND, slow_start_fraction=0.2)
    balancer, _ = build_balancer(settings, count=1)
    balancer.concurrency_limit = 20.0
    slot_limits = []
    for after in (1, 5 * SECOND, 9 * SECOND):
        balancer.on_backend_list(20 * SECOND + after, Update.DELTA, [start])
        slot_limits.append(balancer.backends[100].slot_limit)
    assert slot_limits == [4, 12, 18]


def test_a_backend_in_slow_start_gets_fewer_requests() -> None:
    cold = [Listing(100 + i, State.READY) for i in range(3)]
    balancer, host = build_balancer(Settings(classes=(PURE,), slow_start=10 * SECOND), count=3)
    now = 20 * SECOND
    balancer.on_backend_list(now, Update.DELTA, [cold[0]._replace(started_at=now - 1)])
    for i in range(300):
        at = now + i * 5 * MS
        balancer.on_request(at, i, 0, SECOND)
        balancer.on_outcome(at + MS, i, 0, 1, MS, True)
    receivers = [c[2] for c in host.calls_named("send")]
    assert receivers.count(100) < receivers.count(101) / 5


def test_a_failed_list_call_is_repeated() -> None:
    host = RecordingHost()
    balancer = Balancer(Settings(classes=(PURE,), ask=True), 1, host)
    balancer.start(0)
    balancer.on_backend_list(0, Update.CACHED, [])
    balancer.on_timer(SECOND, 3)
    balancer.on_backend_list(SECOND, Update.FAILED)
    due = [int(str(c[2])) for c in host.calls_named("timer") if c[1] == 3]
    assert len(host.calls_named("watch")) == 1 and due[-1] > SECOND
    balancer.on_timer(due[-1], 3)
    assert len(host.calls_named("watch")) == 2


def test_invalid_settings_and_classes_are_rejected() -> None:
    with pytest.raises(ValueError, match="class"):
        Settings(classes=())
    with pytest.raises(ValueError, match="balancers"):
        Settings(classes=(PURE, UNSAFE), balancers=0)
    balancer = Balancer(Settings(classes=(PURE,)), 1, RecordingHost())
    with pytest.raises(ValueError, match="class"):
        balancer.on_request(0, 1, 5, SECOND)


def test_an_overload_from_the_start_still_cuts_the_concurrency_limit() -> None:
    """A node that starts in an overload learns the overload's latency as its baseline."""
    balancer, host = build_balancer(count=20)
    before = 0.0
    for cycle in range(12):
        start = cycle * 500 * MS
        if cycle == 3:  # enough answers for the overload's mean to be the baseline
            assert balancer.classes[1].baseline_latency > 100 * MS
            before = balancer.concurrency_limit
        for i in range(20):
            balancer.on_request(start, cycle * 100 + i, 1, SECOND)
        for c in host.calls_named("send"):
            # Every backend answers, and every fifth attempt times out at its latency target.
            request_id = int(str(c[1]))
            late = (request_id + cycle) % 5 == 0
            taken = (195 if late else 110) * MS
            balancer.on_outcome(start + taken, request_id, 0, 4 if late else 1, taken, False)
        host.calls.clear()
        balancer.on_timer(start + 400 * MS, 2)
    assert balancer.concurrency_limit < before


def test_a_marked_client_retry_waits_behind_first_tries() -> None:
    """A client that was told to wait past its latency target is late when it retries."""
    balancer, host = build_balancer(Settings(classes=(PURE,), max_retry_after=SECOND), count=1)
    for i in range(balancer.total_slots):
        balancer.on_request(MS, i, 0, SECOND)
    balancer.on_request(MS, 50, 0, SECOND, client_retry=True)
    balancer.on_request(MS, 51, 0, SECOND)
    host.calls.clear()
    balancer.on_outcome(2 * MS, 0, 0, 1, MS, True)
    balancer.on_outcome(2 * MS, 1, 0, 1, MS, True)
    assert [c[1] for c in host.calls_named("send")] == [51, 50]


@pytest.mark.parametrize(
    ("longest_wait", "marks_retries", "expected_wait"),
    [(SECOND, False, 0), (SECOND, True, SECOND), (100 * MS, False, 100 * MS)],
)
def test_clients_that_do_not_mark_retries_are_not_told_to_wait_past_the_target(
    longest_wait: int, marks_retries: bool, expected_wait: int
) -> None:
    """Such clients would return late, look like first tries, and keep an overload going."""
    settings = Settings(
        classes=(PURE,), max_retry_after=longest_wait, clients_mark_retries=marks_retries
    )
    balancer, host = build_balancer(settings, count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_timer(190 * MS, 1)
    assert host.retry_afters and set(host.retry_afters) == {expected_wait}


def test_a_retry_that_is_late_already_waits_behind_first_tries() -> None:
    """A time left that is shorter than usual tells how long ago the client began."""
    balancer, host = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(balancer.total_slots):
        balancer.on_request(MS, i, 0, 500 * MS)
    balancer.on_request(MS, 50, 0, 300 * MS)  # began 700 ms ago, its target is 200 ms
    balancer.on_request(MS, 51, 0, 980 * MS)  # a last try, which began 20 ms ago
    balancer.on_request(MS, 52, 0, 500 * MS)
    host.calls.clear()
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, 1, MS, True)
    assert [c[1] for c in host.calls_named("send")] == [51, 52, 50]


@pytest.mark.parametrize(("short_deadline_count", "refused"), [(0, 1), (4, 0)])
def test_first_tries_with_short_deadlines_are_not_refused_as_late(
    short_deadline_count: int, refused: int
) -> None:
    """Requests that have little time left while nothing has failed are first tries.

    While backends are overloaded, a node with little traffic refuses at once what looks late.
    Where a fifth of the clients set short deadlines, that refused a quarter of all first tries
    beside free slots.
    """
    balancer, host = build_balancer(Settings(classes=(PURE,), balancers=40, zones=2), count=3)
    calm_start = 1100 * MS
    for i in range(20):
        time_left = 100 * MS if 10 <= i < 10 + short_deadline_count else SECOND
        balancer.on_request(calm_start + i, i, 0, time_left)
        balancer.on_outcome(calm_start + i, i, 0, 1, 1000, True)
    balancer.on_request(calm_start + MS, 30, 0, SECOND)
    # A time-out: backends may be overloaded.
    balancer.on_outcome(calm_start + 2 * MS, 30, 0, 4, 1000, True)
    assert not balancer.in_flight
    host.calls.clear()
    balancer.on_request(calm_start + 10 * MS, 50, 0, 100 * MS)
    assert len(host.calls_named("refuse")) == refused
    assert len(host.calls_named("send")) == 1 - refused


@pytest.mark.parametrize("loss", ["refused", "timed out", "turned away", "started"])
def test_late_retries_after_a_loss_are_not_counted_as_short_deadlines(loss: str) -> None:
    """A retry follows a first try that was lost, at this node or before this node started."""
    balancer, host = build_balancer(Settings(classes=(PURE,), balancers=40, zones=2), count=3)
    now = 1100 * MS
    if loss == "started":
        balancer.start(now)
    for i in range(10):
        balancer.on_request(now, i, 0, SECOND)
        balancer.on_outcome(now + 1, i, 0, 1, 1000, True)
    if loss == "refused":
        for i in range(100, 140):
            balancer.on_request(now, i, 0, SECOND)
        now += 400 * MS
        balancer.on_timer(now, 1)
        assert host.calls_named("refuse")
    elif loss != "started":
        balancer.on_request(now, 100, 0, SECOND)
        balancer.on_outcome(now + 1, 100, 0, 4 if loss == "timed out" else 3, 1000, True)
    for i in range(20, 30):
        balancer.on_request(now + i * MS, i, 0, 100 * MS)
    assert balancer.calm_late_count == 0


def test_first_tries_do_not_look_late_beside_last_tries_with_more_time() -> None:
    """Last tries may have the most time left: measured by them, all others would look late."""
    balancer, _ = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(30):
        balancer.on_request(MS, i, 0, 980 * MS if i % 3 == 2 else 400 * MS)
    assert balancer.waiting_low_priority == 0 and balancer.waiting > 0


def test_requests_are_not_taken_for_late_when_times_left_vary() -> None:
    balancer, _ = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(40):
        balancer.on_request(MS, i, 0, (1000 - 25 * (i * 7 % 40)) * MS)
    # Only the first requests are, before the node has seen how much the times left vary.
    assert balancer.waiting_low_priority <= 2


def test_errors_that_come_at_once_do_not_use_up_the_retry_budget() -> None:
    """When such errors were charged in full, a few failing backends used up the budget while
    other backends idled."""
    balancer, host = build_balancer(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(MS * i, i, 0, SECOND)
        balancer.on_outcome(MS * i + 1000, i, 0, 2, 1000, False)
        balancer.on_outcome(MS * i + 2000, i, 1, 1, 1000, True)
    assert len(host.calls_named("send")) == 80


def test_the_retry_budget_bounds_retries_after_slow_errors() -> None:
    balancer, host = build_balancer(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(SECOND * i, i, 0, SECOND)
        balancer.on_outcome(SECOND * i + 100 * MS, i, 0, 2, 100 * MS, False)
        balancer.on_outcome(SECOND * i + 101 * MS, i, 1, 1, MS, True)
    assert len(host.calls_named("send")) < 80


@pytest.mark.parametrize("number", [0, 1], ids=["pure", "unsafe"])
def test_attempts_that_were_never_sent_do_not_use_up_the_attempts_of_a_request(number: int) -> None:
    balancer, host = build_balancer()
    balancer.on_request(0, 1, number, SECOND)
    for attempt in range(6):
        balancer.on_outcome(MS, 1, attempt, Outcome.NOT_SENT, MS, False)
    for attempt in range(6, 9):
        balancer.on_outcome(2 * MS, 1, attempt, Outcome.FULL, MS, False)
    assert len(host.calls_named("send")) == 10
    assert not host.calls_named("refuse")
    balancer.on_outcome(3 * MS, 1, 9, Outcome.FULL, MS, False)  # the fourth that was sent
    assert len(host.calls_named("send")) == 10
    assert len(host.calls_named("refuse")) == 1


@pytest.mark.parametrize("duration,most", [(0, 4), (MS, 4 + MAX_EXTRA_UNSENT_ATTEMPTS)])
def test_request_of_which_no_attempt_can_be_sent_is_refused(duration: int, most: int) -> None:
    """Attempts that end at once met a shortage of the node: four of them are enough."""
    balancer, host = build_balancer()
    balancer.on_request(0, 1, 0, SECOND)
    for attempt in range(40):
        balancer.on_outcome(MS, 1, attempt, Outcome.NOT_SENT, duration, False)
    assert len(host.calls_named("send")) == most
    assert len(host.calls_named("refuse")) == 1


def run_cycle(
    balancer: Balancer, host: RecordingHost, start: int, count: int, duration: int
) -> None:
    """Run one cycle in which `count` requests are answered after `duration` each."""
    for i in range(count):
        balancer.on_request(start, start // MS * 100 + i, 0, SECOND)
    for c in host.calls_named("send"):
        balancer.on_outcome(start + duration, int(str(c[1])), 0, 1, duration, True)
    host.calls.clear()
    balancer.on_timer(start + 400 * MS, 2)


def test_a_class_without_a_baseline_does_not_cut_the_concurrency_limit() -> None:
    """Until a class's baseline latency is known, most of its latency target may be usual."""
    balancer, host = build_balancer(count=20)
    before = balancer.concurrency_limit
    for k in range(4):
        run_cycle(balancer, host, k * SECOND // 2, 4, 150 * MS)
    assert balancer.concurrency_limit >= before


def test_a_class_with_few_answers_is_judged_over_several_cycles() -> None:
    balancer, host = build_balancer(count=20)
    for k in range(8):
        run_cycle(balancer, host, k * SECOND // 2, 5, 100 * MS)
    before = balancer.concurrency_limit
    run_cycle(balancer, host, 4 * SECOND, 3, 180 * MS)  # three slow answers may be chance
    assert balancer.concurrency_limit >= before
    for k in range(9, 13):
        run_cycle(balancer, host, k * SECOND // 2, 5, 180 * MS)
    assert balancer.concurrency_limit < before


def test_few_answers_of_one_overload_cut_the_concurrency_limit_once() -> None:
    balancer, host = build_balancer(count=20)
    for k in range(8):
        run_cycle(balancer, host, k * SECOND // 2, 10, 60 * MS)
    before = balancer.concurrency_limit
    run_cycle(balancer, host, 4 * SECOND, 5, 190 * MS)
    after_cut = balancer.concurrency_limit
    assert after_cut < before
    for k in range(9, 13):  # one quick answer a cycle is no sign of overload
        run_cycle(balancer, host, k * SECOND // 2, 1, 60 * MS)
    assert balancer.concurrency_limit == after_cut


def test_a_class_that_is_mostly_refused_gets_a_larger_share() -> None:
    """With the mean of a class that is mostly refused, equation 8 predicts that one more slot is
    enough."""
    poor = RequestClass("poor", 800 * MS, SECOND, Effect.SIDE_EFFECT, value=1.0)
    rich = RequestClass("rich", 750 * MS, SECOND, Effect.SIDE_EFFECT, value=5.0)
    balancer, host = build_balancer(Settings(classes=(poor, rich)), count=40)
    for c, share in zip(balancer.classes, (157, 2), strict=True):
        c.share, c.share_sum, c.cycle_count = share, share * 6.0, 6.0
    for _ in range(3):
        for c, came, served in zip(balancer.classes, (195, 120), (120, 4), strict=True):
            c.arrival_count += came
            c.response_count += served
            c.response_time_sum += served * 400.0 * MS
            c.refused_count += came - served
        balancer.update_shares()
    assert balancer.classes[1].share > 20


def test_fractions_of_a_slot_are_not_rounded_up_at_every_backend() -> None:
    """A limit just over 2 must not put a third request on every backend."""
    balancer, host = build_balancer(count=20)
    for limit, slots in ((1.0, 20), (2.0, 40), (2.1, 42), (2.5, 50)):
        balancer.concurrency_limit = limit
        balancer.update_slot_limits()
        assert abs(balancer.total_slots - slots) <= 1


@pytest.mark.parametrize("within", [2 * SECOND, 10 * SECOND])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failed_list_calls_are_repeated_within_the_configured_time(within: int, seed: int) -> None:
    """A node counts as informed of drains even if its list calls fail, so it must repeat them."""
    settings = Settings(classes=(PURE,), ask=True, ask_within=within, balancers=50)
    balancer, host = build_balancer(settings, seed=seed)
    call_times = [0]
    while len(call_times) < 12:
        due = min(int(str(c[2])) for c in host.calls_named("timer") if c[1] == 3)
        host.calls.clear()
        balancer.on_timer(due, 3)
        assert host.calls_named("watch")
        call_times.append(due)
        balancer.on_backend_list(due + 250 * MS, Update.FAILED)
    assert max(b - a for a, b in pairwise(call_times)) <= within
