"""A change counts as known 6 s after the list has it, also where list calls fail.

`PollSchedule` decides how long a call waits and when the next one starts, and the balancer decides
its backoff; both are pure. The tests end calls in every way at the worst moment, first without
sockets and then against a node.
"""

from __future__ import annotations

import asyncio
import json
import socket
from dataclasses import replace
from itertools import product
from pathlib import Path
from random import Random

import pytest

from flinthatch import Balancer, Settings, Update
from flinthatch.list_polling import (
    CONNECT_TIMEOUT_S,
    IMMEDIATE_HOLD_MS,
    MAX_LIST_STALENESS_S,
    POLL_TIMEOUT_S,
    PollSchedule,
    agent_hold_ms,
)
from windrelay import discovery as windrelay_discovery
from windrelay.config import Address
from windrelay.discovery import RegistryCall

from .fakes import MS, PURE, SECOND, RecordingHost
from .harness import accept, answer, listen, node, port, request, roster, target
from .inside import in_process_node

ANSWER_S = 0.25  # for a call to a service that can be reached and is not overloaded
DRAIN_GRACE_S = 2.0  # from a change that counts as known to the last new request
NEW_ADDRESS_STALENESS_S = 4.0  # after SIGHUP a change counts as known this soon
# Delays of a list service, up to the time after which it turns calls away.
DELAYS_S = [tenth / 10 for tenth in range(31)]
INSTANT_S = 0.01  # for a refused connection, a reset or an answer that can't be used


class SimulatedNode:
    """A node's poll schedule and balancer, without sockets; `now` in seconds."""

    def __init__(self, seed: int, nodes: int = 200) -> None:
        self.host = RecordingHost()
        settings = Settings(classes=(PURE,), ask=True, balancers=nodes)
        self.balancer = Balancer(settings, seed, self.host)
        self.balancer.start(0)
        self.balancer.on_backend_list(0, Update.CACHED, [])
        self.watch = PollSchedule()
        self.now = 0.0

    def settle(self, delay_s: float, calls: int = 12) -> None:
        """Let the service answer so many calls, each this late."""
        for _ in range(calls):
            poll = self.watch.next_poll(1, service_behind=False)
            hold_s = (poll.hold_ms or 0) / 1000
            if hold_s + delay_s < poll.timeout_s:
                self.answer_call(hold_s + delay_s, changed=False)
            else:
                self.fail_call("silent")

    def answer_call(self, duration_s: float = 0.0, changed: bool = True) -> None:
        self.now += duration_s
        self.balancer.on_backend_list(int(self.now * SECOND), Update.DELTA, [])
        self.now += self.watch.delay_after_answer(duration_s, changed)

    def fail_call(self, how: str) -> None:
        """End the open call in this way, and advance `now` to the start of the next call."""
        poll = self.watch.next_poll(1, service_behind=False)
        self.now += {"silent": poll.timeout_s, "dial": CONNECT_TIMEOUT_S}.get(how, INSTANT_S)
        if how == "unusable":
            delay = self.watch.delay_after_invalid_answer()
        else:
            delay = self.watch.delay_after_failure(timed_out=how in ("silent", "dial"))
        if delay is None:
            self.host.calls.clear()
            self.balancer.on_backend_list(int(self.now * SECOND), Update.FAILED, [])
            (due,) = (int(str(c[2])) for c in self.host.calls_named("timer") if c[1] == 3)
            self.balancer.on_timer(due, 3)
            self.now = due / SECOND
        else:
            self.now += delay


FAILURES = ("silent", "dial", "refused", "unusable")


@pytest.mark.parametrize(
    ("first", "second"), [(a, b) for a, b in product(FAILURES, FAILURES) if a != b], ids=str
)
def test_two_different_failures_in_a_row_leave_time_for_the_next_call(
    first: str, second: str
) -> None:
    """The change comes right after the poll was opened, and no failing call reports it."""
    for seed in range(200):
        simulated = SimulatedNode(seed)
        simulated.answer_call()
        change_at = simulated.now
        simulated.fail_call(first)
        simulated.fail_call(second)
        assert simulated.now + ANSWER_S - change_at < MAX_LIST_STALENESS_S


def test_list_is_called_in_time_after_any_outage(seeds: int = 400) -> None:
    """The service is reachable again at the worst moment, right after a failing call began."""
    longest_s = 0.0
    for seed in range(seeds):
        rng = Random(seed)
        simulated = SimulatedNode(seed)
        simulated.answer_call()
        failures = []
        for _ in range(rng.randrange(1, 9)):
            failures.append(rng.choice(FAILURES))
            reachable_at = simulated.now
            simulated.fail_call(failures[-1])
            longest_s = max(longest_s, simulated.now + ANSWER_S - reachable_at)
            assert simulated.now + ANSWER_S - reachable_at < MAX_LIST_STALENESS_S, failures
    assert longest_s > 3.0  # the longest backoff occurred


def test_nodes_whose_calls_failed_together_do_not_call_together() -> None:
    """After an outage the calls of 200 nodes spread: no tenth of a second has a fifth of them."""
    call_times = []
    for seed in range(200):
        simulated = SimulatedNode(seed)
        for _ in range(4):
            simulated.fail_call("refused")
        call_times.append(simulated.now)
    tenths = [int(t * 10) for t in call_times]
    assert max(tenths.count(t) for t in set(tenths)) < 40


@pytest.mark.parametrize("later_s", [0.0, 1.5, 3.0])
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_silent_poll_is_made_good_in_time_however_slow_the_service(
    delay_s: float, later_s: float
) -> None:
    """Guards against a hold time that grows with the service's delay (issue 47, case 3).

    The poll falls silent as it is opened and the change comes right then; the service may be slower
    by the next call.
    """
    simulated = SimulatedNode(seed=1)
    simulated.settle(delay_s)
    if simulated.watch.next_poll(1, service_behind=False).timeout_s > POLL_TIMEOUT_S:
        simulated.answer_call(IMMEDIATE_HOLD_MS / 1000 + delay_s)
    change_at = simulated.now
    simulated.fail_call("silent")
    answered_at = simulated.now + max(delay_s, later_s)
    assert answered_at - change_at < MAX_LIST_STALENESS_S


@pytest.mark.parametrize("second", ["dial", "refused", "unusable"])
@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_failed_call_after_a_silent_poll_leaves_time_within_the_drain_grace(
    delay_s: float, second: str
) -> None:
    """Guards against hold, time-out, failed call, backoff and next call that are too long in sum.

    New requests to a draining backend may be sent until the grace after the change counts as known.
    """
    for seed in range(50):
        simulated = SimulatedNode(seed)
        simulated.settle(delay_s)
        change_at = simulated.now
        simulated.fail_call("silent")
        simulated.fail_call(second)
        answered_at = simulated.now + delay_s
        assert answered_at - change_at < MAX_LIST_STALENESS_S + DRAIN_GRACE_S
        if delay_s <= 1.0:
            assert answered_at - change_at < MAX_LIST_STALENESS_S


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_list_is_called_in_time_after_any_outage_however_slow_the_service(delay_s: float) -> None:
    """Guards against a backoff that is too long behind a silent call to a slow service."""
    for seed in range(100):
        rng = Random(seed)
        simulated = SimulatedNode(seed)
        simulated.settle(delay_s)
        for _ in range(rng.randrange(1, 9)):
            reachable_at = simulated.now
            simulated.fail_call(rng.choice(FAILURES))
            known_s = simulated.now + delay_s - reachable_at
            assert known_s < MAX_LIST_STALENESS_S + DRAIN_GRACE_S


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_polls_of_a_slow_service_are_not_given_up_and_made_again(delay_s: float) -> None:
    """Guards against an overload that never ends because each answer comes too late."""
    simulated = SimulatedNode(seed=1)
    simulated.settle(delay_s)
    given_up_count = 0
    for _ in range(20):
        poll = simulated.watch.next_poll(1, service_behind=False)
        if poll.hold_ms is not None and poll.hold_ms / 1000 + delay_s < poll.timeout_s:
            simulated.answer_call(poll.hold_ms / 1000 + delay_s, changed=False)
        else:
            given_up_count += 1
            simulated.fail_call("silent")
            assert delay_s < simulated.watch.next_poll(1, False).timeout_s
            simulated.answer_call(IMMEDIATE_HOLD_MS / 1000 + delay_s, changed=False)
    if delay_s + IMMEDIATE_HOLD_MS / 1000 < POLL_TIMEOUT_S:
        assert given_up_count == 0


def test_slow_service_is_called_no_more_often_than_a_quick_one() -> None:
    """Guards against an overload that feeds itself with shorter hold times."""
    periods_s = []
    for delay_s in DELAYS_S:
        simulated = SimulatedNode(seed=1)
        simulated.settle(delay_s)
        began = simulated.now
        simulated.settle(delay_s, calls=40)
        periods_s.append((simulated.now - began) / 40)
    assert min(periods_s) > 0.95 * periods_s[0]


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_silent_call_to_a_new_address_is_made_good_in_time(delay_s: float) -> None:
    """Guards against a first call after SIGHUP that is waited for too long."""
    simulated = SimulatedNode(seed=1)
    simulated.settle(delay_s)
    simulated.watch.restart()
    reloaded_at = simulated.now
    simulated.fail_call("silent")
    answered_at = simulated.now + delay_s
    assert answered_at - reloaded_at < NEW_ADDRESS_STALENESS_S + DRAIN_GRACE_S
    if delay_s <= 1.5:
        assert answered_at - reloaded_at < NEW_ADDRESS_STALENESS_S


@pytest.mark.parametrize("second", ["dial", "refused", "unusable"])
@pytest.mark.parametrize("grace_ms", [150, 500, 2000, 10_000])
def test_silent_agent_is_made_good_within_the_drain_grace(grace_ms: int, second: str) -> None:
    """Guards against calls to a silent agent that take the whole grace of a drain."""
    watch = PollSchedule(agent_hold_ms(grace_ms * MS))
    spent_s = watch.next_poll(1, False).timeout_s
    delay_s = watch.delay_after_failure(timed_out=True)
    assert delay_s is not None
    spent_s += delay_s + {"dial": watch.connect_timeout_s}.get(second, INSTANT_S)
    delay_s = (
        watch.delay_after_invalid_answer()
        if second == "unusable"
        else watch.delay_after_failure(timed_out=second == "dial")
    )
    assert delay_s is not None
    assert spent_s + delay_s + INSTANT_S < grace_ms / 1000 + 0.05


def test_immediate_answer_without_changes_is_followed_by_a_pause() -> None:
    watch = PollSchedule()
    assert watch.delay_after_answer(0.001, changed=False) >= 0.1
    assert watch.delay_after_answer(0.001, changed=True) == 0.0


# ---- on sockets -----------------------------------------------------------------

PUSHED = {"registry_mode": "push"}


def test_agent_of_pushed_lists_is_watched_from_the_start(tmp_path: Path) -> None:
    """A node that does not watch the agent uses the list of its start for as long as it runs."""
    with listen() as agent, listen() as old, listen() as new:
        known = roster(target("s-1", port(old)))
        with node(tmp_path, known, port(agent), settings=PUSHED) as running:
            peer = accept(agent)
            assert "?from=1&hold_ms=500 " in peer.message()[0]
            rows = (target("s-1", port(old), "leaving"), target("s-2", port(new)))
            peer.send(answer(json.dumps(roster(*rows, rev=2, whole=False)).encode()))
            assert "?from=2&" in accept(agent).message()[0]
            client = running.connect()
            client.send(request())
            accept(new).message()


@pytest.mark.parametrize(
    "end",
    [
        b"",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        answer(b"[]"),
        answer(json.dumps(roster(rev=0)).encode()),
    ],
    ids=["reset", "503", "no list", "old"],
)
def test_agent_is_called_again_after_any_failure(tmp_path: Path, end: bytes) -> None:
    with listen() as agent, node(tmp_path, roster(), port(agent), settings=PUSHED):
        for _ in range(4):
            peer = accept(agent)
            peer.message()
            if end:
                peer.send(end)
            peer.reset()
        accept(agent).message()


def test_silent_agent_is_called_again_within_the_drain_grace(tmp_path: Path) -> None:
    """The first part checks the node's times, the second that a node process calls again."""
    with in_process_node(tmp_path, roster(), settings=PUSHED) as running:
        grace_s = running.config.settings.drain_grace / SECOND
        assert (
            running.node.discovery._watch_state.next_poll(1, service_behind=False).timeout_s
            <= grace_s / 2
        )
        assert running.node.discovery._watch_state.delay_after_failure(timed_out=True) == 0.0
        assert (
            running.node.discovery._watch_state.delay_after_failure(timed_out=True)  # type: ignore[operator]
            <= grace_s / 4
        )
    with listen() as agent, node(tmp_path, roster(), port(agent), settings=PUSHED):
        for _ in range(4):  # each call stays without an answer
            peer = accept(agent)
            peer.message()
            assert peer.read_to_end() == b""


def test_reload_times_the_calls_to_an_agent_by_the_new_grace(tmp_path: Path) -> None:
    """Guards against calls that stay as far apart as a longer grace of the start allowed."""
    with in_process_node(tmp_path, roster(), settings=PUSHED) as running:
        settings = replace(running.config.settings, drain_grace=SECOND // 2)

        async def reload() -> None:
            running.node.reload(replace(running.config, settings=settings))

        running.run(reload())
        poll = running.node.discovery._watch_state.next_poll(1, service_behind=False)
        assert poll.timeout_s <= 0.25


def test_connection_time_out_ends_a_call_long_before_its_answer_time_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that is cut off answers no SYN, which is known long before a poll would end."""
    monkeypatch.setattr(windrelay_discovery, "CONNECT_TIMEOUT_S", 0.05)
    with socket.socket() as unreachable, in_process_node(tmp_path, roster()) as running:
        unreachable.bind(("127.0.0.1", 0))
        unreachable.listen(0)
        queued = []
        for _ in range(4):  # the accept queue is full: later connections are dropped
            queued.append(sock := socket.socket())
            sock.setblocking(False)
            sock.connect_ex(unreachable.getsockname())
        endings: list[tuple[bytes | None, bool]] = []

        async def scenario() -> None:
            address = Address("127.0.0.1", port(unreachable))
            call = RegistryCall(
                address, "/", 1000.0, lambda body: endings.append((body, call.timed_out))
            )
            await running.wait_until(lambda: endings)

        running.run(scenario())
        assert endings == [(None, True)]
        for sock in queued:
            sock.close()


def test_answer_time_out_starts_once_the_connection_is_up(tmp_path: Path) -> None:
    with listen() as service, in_process_node(tmp_path, roster()) as running:
        endings: list[object] = []

        async def scenario() -> None:
            call = RegistryCall(Address("127.0.0.1", port(service)), "/", 1000.0, endings.append)
            connect_due = call._timeout_handle.when()
            await running.wait_until(lambda: call.sent_at)
            assert (
                connect_due - running.loop.time()
                < CONNECT_TIMEOUT_S
                < 900
                < call._timeout_handle.when() - running.loop.time()
            )
            call.abort()
            await asyncio.sleep(0)

        running.run(scenario())
        assert not endings


def test_agent_hold_time_sets_its_time_out() -> None:
    assert PollSchedule(agent_hold_ms=250).next_poll(3, False) == (3, 250, 0.5)
    assert PollSchedule(agent_hold_ms=250).next_poll(3, True).since == 0
    assert Settings(classes=(PURE,)).drain_grace // MS // 4 == 250
