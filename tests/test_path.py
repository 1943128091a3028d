"""The ordinary path: hold, release in turn, fewest in flight."""

from __future__ import annotations

from itertools import pairwise

import pytest

from flinthatch import (
    Balancer,
    Effect,
    Listing,
    RequestClass,
    Settings,
    State,
    Tenant,
    Update,
)

from .fakes import MS, PURE, SECOND, UNSAFE, RecordingHost, build_balancer


def test_sends_to_the_backend_holding_fewest() -> None:
    balancer, host = build_balancer(count=4)
    for i in range(4):
        balancer.on_request(1, i, 0, SECOND)
    assert len({c[2] for c in host.calls_named("send")}) == 4


def test_holds_beyond_the_total_and_refuses_in_time() -> None:
    balancer, host = build_balancer(count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    sent = len(host.calls_named("send"))
    assert sent == balancer.total_slots < 20
    balancer.on_timer(190 * MS, 1)
    assert len(host.calls_named("refuse")) == 20 - sent


def test_unsafe_that_may_have_run_is_failed_not_resent_nor_refused() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 2, 5 * MS, False)
    assert host.calls_named("fail") == [("fail", 9)]
    assert len(host.calls_named("send")) == 1


def test_keyed_is_sent_again_within_its_window_only() -> None:
    balancer, host = build_balancer()
    balancer.on_request(MS, 1, 2, SECOND)
    balancer.on_request(MS, 2, 2, SECOND)
    balancer.on_outcome(50 * MS, 1, 0, 6, 49 * MS, False)
    balancer.on_outcome(70 * MS, 2, 0, 6, 69 * MS, False)
    assert [c[1] for c in host.calls_named("send")] == [1, 2, 1]
    assert host.calls_named("refuse") == [("refuse", 2)]


def test_a_request_told_twice_is_answered_once() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 0, SECOND)
    balancer.on_request(1, 9, 0, SECOND)
    assert len(host.calls_named("send")) == 1
    balancer.on_outcome(2, 9, 0, 1, 1, True)
    assert balancer.in_flight == 0 and not balancer.requests


def test_unsafe_that_never_ran_is_sent_again() -> None:
    balancer, host = build_balancer()
    balancer.on_request(1, 9, 1, SECOND)
    balancer.on_outcome(5 * MS, 9, 0, 3, 5 * MS, False)
    assert len(host.calls_named("send")) == 2


def test_every_queued_request_is_answered_by_its_own_time() -> None:
    """A head that may wait longer must not hide those behind it."""
    near = RequestClass("near", 200 * MS, 250 * MS, Effect.SIDE_EFFECT)
    balancer, host = build_balancer(Settings(classes=(near,)), count=1)
    for i in range(10):
        balancer.on_request(1, i, 0, 250 * MS)
    held = balancer.total_slots
    balancer.on_request(1, 90, 0, 170 * MS)
    assert len(host.calls_named("send")) == held
    due = min(int(str(c[2])) for c in host.calls_named("timer") if c[1] == 1)
    balancer.on_timer(due, 1)
    assert host.calls_named("refuse") == [("refuse", 90)]


def test_a_full_backend_rests() -> None:
    """It answers at once, so it would always hold fewest and draw everything."""
    balancer, host = build_balancer(Settings(classes=(PURE, UNSAFE), max_attempts=2), count=2)
    for i in range(20):
        balancer.on_request(MS * i, i, 0, SECOND)
        sent = host.calls_named("send")[-1]
        if sent[1] == i and sent[2] == 100:
            balancer.on_outcome(MS * i, i, 0, 3, 0, False)
    to_full = [c for c in host.calls_named("send") if c[2] == 100]
    assert len(to_full) == 1


def test_time_outs_cut_the_level() -> None:
    """Answers alone would make a jam look like light load."""
    balancer, host = build_balancer()
    before = balancer.concurrency_limit
    for i in range(8):
        balancer.on_request(MS, i, 0, SECOND)
    for i in range(8):
        balancer.on_outcome(SECOND, i, 0, 4, 195 * MS, True)
    balancer.on_timer(SECOND, 2)
    assert balancer.concurrency_limit < before


def test_answers_that_go_astray_among_quick_ones_do_not_cut_the_level() -> None:
    """One in ten is never answered and the others are quick: fewer slots would lose more."""
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


def test_hung_backends_do_not_cut_the_level() -> None:
    """One long time-out among answers is a matter of that backend's health."""
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


def test_a_class_near_its_aim_on_idle_backends_does_not_pin_the_level() -> None:
    """Only what crowding adds counts: some classes take half their aim anyway."""
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


def test_state_changes_are_logged_once_a_second() -> None:
    balancer, host = build_balancer(count=6)
    for i in range(4):
        balancer.on_request(MS, i, 1, SECOND)
    for backend in balancer.backends.values():
        backend.consecutive_failures = 1  # a failed dial is not the first
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, 5, MS, True)
    assert balancer.ejected_count == 3 and len(host.calls_named("log")) == 1


def test_time_unread_at_the_host_counts_against_the_aim_and_no_more() -> None:
    balancer, host = build_balancer(count=1)
    for i in range(40):  # what first tries come with
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_request(MS, 40, 0, 960 * MS, read_delay=40 * MS)
    unread = balancer.requests[40]
    assert unread.target_at == MS + 160 * MS
    assert not unread.low_priority
    balancer.on_request(MS, 41, 0, 700 * MS, read_delay=300 * MS)
    assert balancer.requests[41].low_priority  # past its aim before it was read


def test_a_network_that_breaks_connections_leaves_the_fleet_in_and_warm() -> None:
    """One in twenty breaks, from any backend: taken for restarts, half the fleet was cold."""
    balancer, host = build_balancer(count=10)
    for i in range(4000):
        now = i * 5 * MS
        balancer.on_timer(now, 1)
        balancer.on_request(now, i, 1, SECOND)
        code = 6 if i % 20 < 2 and i % 40 < 20 else 1  # also two in a row
        balancer.on_outcome(now + 2 * MS, i, 0, code, 2 * MS, code == 1)
    assert balancer.ejected_count <= 1
    assert not any(b.slow_start_until for b in balancer.backends.values())


def test_a_backend_that_breaks_whatever_it_gets_is_left_out() -> None:
    balancer, host = build_balancer(count=6)
    for i in range(4000):
        now = i * 5 * MS
        balancer.on_request(now, i, 1, SECOND)
        bad = host.calls_named("send")[-1][2] == 100
        balancer.on_outcome(now + 2 * MS, i, 0, 6 if bad else 1, 2 * MS, not bad)
        if balancer.backends[100].ejected_until:
            break
    assert balancer.backends[100].ejected_until


def test_a_single_time_out_leaves_a_backend_in() -> None:
    """Under load attempts time out at healthy backends; three in a row are silence."""
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


def test_worth_moves_shares_when_requests_are_refused() -> None:
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


def test_round_robin_keeps_each_share_running() -> None:
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


def test_beyond_quota_waits_behind_and_tenants_take_turns() -> None:
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


def test_no_order_comes_from_the_deal_of_slots_twice() -> None:
    """With more nodes than slots each backend's slots fall to different nodes."""
    given: dict[int, int] = {}
    for node in range(24):
        balancer, _ = build_balancer(Settings(classes=(PURE,), node=node, balancers=24), count=48)
        for b in balancer.backends.values():
            given[b.id] = given.get(b.id, 0) + b.slot_limit
    assert set(given.values()) == {4}


def test_draining_backend_gets_nothing_new() -> None:
    balancer, host = build_balancer(count=1)
    balancer.on_backend_list(5, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.on_request(6, 1, 0, SECOND)
    assert host.calls_named("send") == []


def test_a_cold_backends_slots_grow_as_it_warms() -> None:
    """A zone just restarted is not held to two slots a backend until all is over."""
    start = Listing(100, State.READY, started_at=20 * SECOND)
    settings = Settings(classes=(PURE,), slow_start=10 * SECOND, slow_start_fraction=0.2)
    balancer, _ = build_balancer(settings, count=1)
    balancer.concurrency_limit = 20.0
    caps = []
    for after in (1, 5 * SECOND, 9 * SECOND):
        balancer.on_backend_list(20 * SECOND + after, Update.DELTA, [start])
        caps.append(balancer.backends[100].slot_limit)
    assert caps == [4, 12, 18]


def test_cold_backend_gets_its_part_only() -> None:
    cold = [Listing(100 + i, State.READY) for i in range(3)]
    balancer, host = build_balancer(Settings(classes=(PURE,), slow_start=10 * SECOND), count=3)
    now = 20 * SECOND
    balancer.on_backend_list(now, Update.DELTA, [cold[0]._replace(started_at=now - 1)])
    for i in range(300):
        at = now + i * 5 * MS
        balancer.on_request(at, i, 0, SECOND)
        balancer.on_outcome(at + MS, i, 0, 1, MS, True)
    got = [c[2] for c in host.calls_named("send")]
    assert got.count(100) < got.count(101) / 5


def test_ask_mode_asks_again_after_a_failed_call() -> None:
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


def test_settings_are_checked() -> None:
    with pytest.raises(ValueError, match="class"):
        Settings(classes=())
    with pytest.raises(ValueError, match="balancers"):
        Settings(classes=(PURE, UNSAFE), balancers=0)
    balancer = Balancer(Settings(classes=(PURE,)), 1, RecordingHost())
    with pytest.raises(ValueError, match="class"):
        balancer.on_request(0, 1, 5, SECOND)


def test_a_jam_from_the_start_is_not_taken_for_the_uncrowded_state() -> None:
    """Born in overload, the lowest mean ever seen is the jam's own."""
    balancer, host = build_balancer(count=20)
    before = 0.0
    for cycle in range(12):
        start = cycle * 500 * MS
        if cycle == 3:  # enough seen for the jam's mean to have become the base
            assert balancer.classes[1].baseline_latency > 100 * MS
            before = balancer.concurrency_limit
        for i in range(20):
            balancer.on_request(start, cycle * 100 + i, 1, SECOND)
        for c in host.calls_named("send"):
            # Every backend answers, and every fifth attempt runs into its aim.
            rid = int(str(c[1]))
            late = (rid + cycle) % 5 == 0
            taken = (195 if late else 110) * MS
            balancer.on_outcome(start + taken, rid, 0, 4 if late else 1, taken, False)
        host.calls.clear()
        balancer.on_timer(start + 400 * MS, 2)
    assert balancer.concurrency_limit < before


def test_a_marked_client_retry_waits_behind_first_tries() -> None:
    """Told to stay away past its aim, a client that is back is late already."""
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
    ("longest", "marks", "told"),
    [(SECOND, False, 0), (SECOND, True, SECOND), (100 * MS, False, 100 * MS)],
)
def test_no_wait_past_the_aim_is_asked_of_unmarked_clients(
    longest: int, marks: bool, told: int
) -> None:
    """They would come back late, look like new, and keep a jam going."""
    settings = Settings(classes=(PURE,), max_retry_after=longest, clients_mark_retries=marks)
    balancer, host = build_balancer(settings, count=1)
    for i in range(20):
        balancer.on_request(1, i, 0, SECOND)
    balancer.on_timer(190 * MS, 1)
    assert host.retry_afters and set(host.retry_afters) == {told}


def test_a_try_late_by_its_first_waits_behind() -> None:
    """Less time left than usual tells how long ago the client began."""
    balancer, host = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(balancer.total_slots):
        balancer.on_request(MS, i, 0, 500 * MS)
    balancer.on_request(MS, 50, 0, 300 * MS)  # began 700 ms ago, its aim is 200
    balancer.on_request(MS, 51, 0, 980 * MS)  # a last try, begun 20 ms ago
    balancer.on_request(MS, 52, 0, 500 * MS)
    host.calls.clear()
    for i in range(3):
        balancer.on_outcome(2 * MS, i, 0, 1, MS, True)
    assert [c[1] for c in host.calls_named("send")] == [51, 52, 50]


@pytest.mark.parametrize(("hasty", "refused"), [(0, 1), (4, 0)])
def test_clients_that_are_hasty_by_nature_are_not_refused_as_late(hasty: int, refused: int) -> None:
    """Many came with little time left while nothing had failed: that was no further try.

    Under strain a node of thin traffic refuses at once what looks late. Where a fifth of
    the clients is in haste that refused a quarter of all first tries beside free slots.
    """
    balancer, host = build_balancer(Settings(classes=(PURE,), balancers=40, zones=2), count=3)
    calm = 1100 * MS
    for i in range(20):
        left = 100 * MS if 10 <= i < 10 + hasty else SECOND
        balancer.on_request(calm + i, i, 0, left)
        balancer.on_outcome(calm + i, i, 0, 1, 1000, True)
    balancer.on_request(calm + MS, 30, 0, SECOND)
    balancer.on_outcome(calm + 2 * MS, 30, 0, 4, 1000, True)  # a time-out: servers may be short
    assert not balancer.in_flight
    host.calls.clear()
    balancer.on_request(calm + 10 * MS, 50, 0, 100 * MS)
    assert len(host.calls_named("refuse")) == refused
    assert len(host.calls_named("send")) == 1 - refused


@pytest.mark.parametrize("loss", ["refused", "timed out", "turned away", "started"])
def test_what_looks_late_after_a_loss_is_not_taken_for_haste(loss: str) -> None:
    """A further try needs a first one that was lost, here or at the node before this start."""
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


def test_first_tries_are_not_taken_for_late_beside_longer_last_tries() -> None:
    """Last tries may have the most time left; judged by them all others looked late."""
    balancer, _ = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(30):
        balancer.on_request(MS, i, 0, 980 * MS if i % 3 == 2 else 400 * MS)
    assert balancer.waiting_low_priority == 0 and balancer.waiting > 0


def test_times_left_that_vary_tell_nothing() -> None:
    balancer, _ = build_balancer(Settings(classes=(PURE,)), count=1)
    for i in range(40):
        balancer.on_request(MS, i, 0, (1000 - 25 * (i * 7 % 40)) * MS)
    assert balancer.waiting_low_priority <= 2  # only while few have been seen


def test_errors_that_come_at_once_leave_the_retry_budget_alone() -> None:
    """Charged in full, a few failing backends used it up and others idled."""
    balancer, host = build_balancer(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(MS * i, i, 0, SECOND)
        balancer.on_outcome(MS * i + 1000, i, 0, 2, 1000, False)
        balancer.on_outcome(MS * i + 2000, i, 1, 1, 1000, True)
    assert len(host.calls_named("send")) == 80


def test_slow_errors_are_bounded_by_the_retry_budget() -> None:
    balancer, host = build_balancer(Settings(classes=(PURE,), max_attempts=3))
    for i in range(40):
        balancer.on_request(SECOND * i, i, 0, SECOND)
        balancer.on_outcome(SECOND * i + 100 * MS, i, 0, 2, 100 * MS, False)
        balancer.on_outcome(SECOND * i + 101 * MS, i, 1, 1, MS, True)
    assert len(host.calls_named("send")) < 80


def answers(balancer: Balancer, host: RecordingHost, start: int, count: int, taken: int) -> None:
    for i in range(count):
        balancer.on_request(start, start // MS * 100 + i, 0, SECOND)
    for c in host.calls_named("send"):
        balancer.on_outcome(start + taken, int(str(c[1])), 0, 1, taken, True)
    host.calls.clear()
    balancer.on_timer(start + 400 * MS, 2)


def test_a_class_seen_too_little_does_not_sink_the_level() -> None:
    """Its uncrowded latency is not known yet: most of the aim may be usual."""
    balancer, host = build_balancer(count=20)
    before = balancer.concurrency_limit
    for k in range(4):
        answers(balancer, host, k * SECOND // 2, 4, 150 * MS)
    assert balancer.concurrency_limit >= before


def test_a_thin_class_is_judged_over_several_cycles() -> None:
    balancer, host = build_balancer(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 5, 100 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 3, 180 * MS)  # three answers are chance
    assert balancer.concurrency_limit >= before
    for k in range(9, 13):
        answers(balancer, host, k * SECOND // 2, 5, 180 * MS)
    assert balancer.concurrency_limit < before


def test_few_answers_of_one_jam_cut_the_level_once() -> None:
    balancer, host = build_balancer(count=20)
    for k in range(8):
        answers(balancer, host, k * SECOND // 2, 10, 60 * MS)
    before = balancer.concurrency_limit
    answers(balancer, host, 4 * SECOND, 5, 190 * MS)
    cut = balancer.concurrency_limit
    assert cut < before
    for k in range(9, 13):  # one quick answer a cycle tells nothing of a jam
        answers(balancer, host, k * SECOND // 2, 1, 60 * MS)
    assert balancer.concurrency_limit == cut


def test_a_class_turned_away_at_a_small_share_gets_out_of_it() -> None:
    """Eq. 8 with a refused class's mean predicts that one more slot cures it."""
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


def test_fractions_of_a_slot_are_dealt_not_rounded_up() -> None:
    """A level just over 2 must not put a third request on every backend."""
    balancer, host = build_balancer(count=20)
    for level, slots in ((1.0, 20), (2.0, 40), (2.1, 42), (2.5, 50)):
        balancer.concurrency_limit = level
        balancer.update_slot_limits()
        assert abs(balancer.total_slots - slots) <= 1


@pytest.mark.parametrize("within", [2 * SECOND, 10 * SECOND])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failed_list_calls_are_repeated_within_the_stated_time(within: int, seed: int) -> None:
    """A node that does not ask counts as told of drains it never heard of."""
    settings = Settings(classes=(PURE,), ask=True, ask_within=within, balancers=50)
    balancer, host = build_balancer(settings, seed=seed)
    asked = [0]
    while len(asked) < 12:
        due = min(int(str(c[2])) for c in host.calls_named("timer") if c[1] == 3)
        host.calls.clear()
        balancer.on_timer(due, 3)
        assert host.calls_named("watch")
        asked.append(due)
        balancer.on_backend_list(due + 250 * MS, Update.FAILED)
    assert max(b - a for a, b in pairwise(asked)) <= within
