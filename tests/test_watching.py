"""A change counts as told 6 s after the list has it: what a node does about calls that fail.

The times are pure: `Watching` says how long a call waits and when the next comes, the module how
long it backs off. Here both are driven through calls that end in every way, at the worst phase.
"""

from __future__ import annotations

import asyncio
import json
import socket
from itertools import product
from pathlib import Path
from random import Random

import pytest

from flinthatch import Balancer, Settings, Update
from flinthatch.list_polling import (
    CONNECT_TIMEOUT_S,
    MAX_HOLD_MS,
    MAX_LIST_STALENESS_S,
    MIN_HOLD_MS,
    PollSchedule,
)
from windrelay import discovery as windrelay_discovery
from windrelay.config import Address
from windrelay.discovery import RegistryCall

from .fakes import MS, PURE, SECOND, RecordingHost
from .harness import accept, answer, listen, node, port, request, roster, target
from .inside import in_process_node

ANSWER_S = 0.25  # for a call to a service that can be reached and is not crowded
INSTANT_S = 0.01  # a refusal, a reset, an answer that can't be used


class Asker:
    """A node's watch and its module's back-off, without sockets; `now` in seconds."""

    def __init__(self, seed: int, nodes: int = 200) -> None:
        self.host = RecordingHost()
        settings = Settings(classes=(PURE,), ask=True, balancers=nodes)
        self.balancer = Balancer(settings, seed, self.host)
        self.balancer.start(0)
        self.balancer.on_backend_list(0, Update.CACHED, [])
        self.watch = PollSchedule()
        self.now = 0.0

    def answered(self, lasted: float = 0.0, news: bool = True) -> None:
        self.now += lasted
        self.balancer.on_backend_list(int(self.now * SECOND), Update.DELTA, [])
        self.now += self.watch.delay_after_answer(lasted, news)

    def fails(self, how: str) -> None:
        """The call that is open now ends this way; `now` is then when the next one is made."""
        ask = self.watch.next_poll(1, service_behind=False)
        self.now += {"silent": ask.timeout_s, "dial": CONNECT_TIMEOUT_S}.get(how, INSTANT_S)
        if how == "unusable":
            after = self.watch.delay_after_invalid_answer()
        else:
            after = self.watch.delay_after_failure(timed_out=how in ("silent", "dial"))
        if after is None:
            self.host.calls.clear()
            self.balancer.on_backend_list(int(self.now * SECOND), Update.FAILED, [])
            (due,) = (int(str(c[2])) for c in self.host.calls_named("timer") if c[1] == 3)
            self.balancer.on_timer(due, 3)
            self.now = due / SECOND
        else:
            self.now += after


KINDS = ("silent", "dial", "refused", "unusable")


@pytest.mark.parametrize(
    ("first", "second"), [(a, b) for a, b in product(KINDS, KINDS) if a != b], ids=str
)
def test_two_failures_in_a_row_of_different_kinds_leave_time_for_the_next_call(
    first: str, second: str
) -> None:
    """The change comes right after the watch was opened, and nothing of it is heard."""
    for seed in range(200):
        one = Asker(seed)
        one.answered()
        began = one.now
        one.fails(first)
        one.fails(second)
        assert one.now + ANSWER_S - began < MAX_LIST_STALENESS_S


def test_after_any_outage_the_list_is_asked_in_time(seeds: int = 400) -> None:
    """It can be reached again at the worst moment: right after the last failing call began."""
    worst = 0.0
    for seed in range(seeds):
        rng = Random(seed)
        one = Asker(seed)
        one.answered()
        order = []
        for _ in range(rng.randrange(1, 9)):
            order.append(rng.choice(KINDS))
            began = one.now
            one.fails(order[-1])
            worst = max(worst, one.now + ANSWER_S - began)
            assert one.now + ANSWER_S - began < MAX_LIST_STALENESS_S, order
    assert worst > 3.0  # the longest back-off was met


def test_nodes_that_fail_together_do_not_ask_together() -> None:
    """After an outage 200 nodes' calls lie apart: no tenth of a second has a fifth of them."""
    times = []
    for seed in range(200):
        one = Asker(seed)
        for _ in range(4):
            one.fails("refused")
        times.append(one.now)
    tenths = [int(t * 10) for t in times]
    assert max(tenths.count(t) for t in set(tenths)) < 40


def test_a_crowded_service_is_asked_less_often_and_a_quick_one_in_time_again() -> None:
    watch = PollSchedule()
    for _ in range(20):
        hold = watch.next_poll(1, False).hold_ms
        assert hold is not None
        watch.delay_after_answer(hold / 1000 + 1.0, changed=False)
    assert watch.next_poll(1, False).hold_ms == MAX_HOLD_MS
    for _ in range(20):
        hold = watch.next_poll(1, False).hold_ms
        assert hold is not None
        watch.delay_after_answer(hold / 1000 + 0.01, changed=False)
    assert watch.next_poll(1, False).hold_ms == MIN_HOLD_MS


def test_a_service_that_answers_at_once_with_nothing_new_is_not_asked_without_end() -> None:
    watch = PollSchedule()
    assert watch.delay_after_answer(0.001, changed=False) >= 0.1
    assert watch.delay_after_answer(0.001, changed=True) == 0.0


# ---- on sockets -----------------------------------------------------------------

PUSHED = {"registry_mode": "push"}


def test_where_lists_are_pushed_the_agent_is_watched_from_the_start(tmp_path: Path) -> None:
    """Nobody watched it: a node went by the list of its start for as long as it ran."""
    with listen() as agent, listen() as old, listen() as new:
        known = roster(target("s-1", port(old)))
        with node(tmp_path, known, port(agent), settings=PUSHED) as n:
            peer = accept(agent)
            assert "?from=1&hold_ms=500 " in peer.message()[0]
            rows = (target("s-1", port(old), "leaving"), target("s-2", port(new)))
            peer.send(answer(json.dumps(roster(*rows, rev=2, whole=False)).encode()))
            assert "?from=2&" in accept(agent).message()[0]
            client = n.connect()
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
def test_an_agent_that_fails_is_asked_again_whatever_it_said(tmp_path: Path, end: bytes) -> None:
    with listen() as agent, node(tmp_path, roster(), port(agent), settings=PUSHED):
        for _ in range(4):
            peer = accept(agent)
            peer.message()
            if end:
                peer.send(end)
            peer.reset()
        accept(agent).message()


def test_a_silent_agent_is_asked_anew_within_the_grace_for_drains(tmp_path: Path) -> None:
    """The bound is on the times that the node goes by; the process shows that it asks anew."""
    with in_process_node(tmp_path, roster(), settings=PUSHED) as one:
        grace_s = one.config.settings.drain_grace / SECOND
        assert (
            one.node.discovery._watch_state.next_poll(1, service_behind=False).timeout_s
            <= grace_s / 2
        )
        assert one.node.discovery._watch_state.delay_after_failure(timed_out=True) == 0.0
        assert one.node.discovery._watch_state.delay_after_failure(timed_out=True) <= grace_s / 4  # type: ignore[operator]
    with listen() as agent, node(tmp_path, roster(), port(agent), settings=PUSHED):
        for _ in range(4):  # each of them silent
            peer = accept(agent)
            peer.message()
            assert peer.read_to_end() == b""


def test_a_dial_that_never_comes_up_does_not_use_up_the_answers_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A machine that is cut off answers no SYN: that is known long before a watch would end."""
    monkeypatch.setattr(windrelay_discovery, "CONNECT_TIMEOUT_S", 0.05)
    with socket.socket() as full, in_process_node(tmp_path, roster()) as one:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        held = []
        for _ in range(4):  # its queue is full: what comes now is dropped
            held.append(sock := socket.socket())
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        ended: list[tuple[bytes | None, bool]] = []

        async def story() -> None:
            address = Address("127.0.0.1", port(full))
            call = RegistryCall(
                address, "/", 1000.0, lambda body: ended.append((body, call.timed_out))
            )
            await one.wait_until(lambda: ended)

        one.run(story())
        assert ended == [(None, True)]
        for sock in held:
            sock.close()


def test_the_time_for_an_answer_counts_from_the_connection_on(tmp_path: Path) -> None:
    with listen() as service, in_process_node(tmp_path, roster()) as one:
        ended: list[object] = []

        async def story() -> None:
            call = RegistryCall(Address("127.0.0.1", port(service)), "/", 1000.0, ended.append)
            first = call._timeout_handle.when()
            await one.wait_until(lambda: call.sent_at)
            assert (
                first - one.loop.time()
                < CONNECT_TIMEOUT_S
                < 900
                < call._timeout_handle.when() - one.loop.time()
            )
            call.abort()
            await asyncio.sleep(0)

        one.run(story())
        assert not ended


def test_the_grace_says_how_soon_an_agent_is_asked_anew() -> None:
    assert PollSchedule(agent_hold_ms=250).next_poll(3, False) == (3, 250, 0.5)
    assert PollSchedule(agent_hold_ms=250).next_poll(3, True).since == 0
    assert Settings(classes=(PURE,)).drain_grace // MS // 4 == 250
