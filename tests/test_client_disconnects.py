"""A client that leaves, by a close, a half-close or a reset, at each step of its request.

No attempt begins for it any more; whoever still reads gets one final answer; the others feel
nothing of it.
"""

from __future__ import annotations

from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch import Outcome
from flinthatch.balancer import HALF_CLOSE_GRACE_NS
from windrelay import upstream as windrelay_upstream
from windrelay.upstream import BackendConnection

from .fakes import MS, build_balancer
from .harness import SETTINGS, answer
from .harness import request as any_request
from .race_harness import Crossing, ScriptedPeer, crossing, drive

CLASSES = SETTINGS["classes"]

HOW = ["close", "half_close", "reset"]
# Nothing here ends by its own time: what a test sees is what the node did about the leaving.
LONG: dict[str, Any] = {
    "classes": [c | {"target": 400_000_000_000, "deadline": 400_000_000_000} for c in CLASSES]
}
TURNED_AWAY = answer(b"", "503 Busy", "X-Not-Processed: 1")


def request(path: str = "/balance/1", body: bytes | None = None, rid: str = "") -> bytes:
    return any_request(path, body, timeout=400_000, rid=rid)


def open_past(w: Crossing, before: int) -> bool:
    return w.node.open_request_count > before


async def filled(w: Crossing) -> list[ScriptedPeer]:
    """Requests that hold every place of the only server; what it has of them."""
    busy = []
    while not w.node.balancer.waiting:
        last = w.client(request())
        before = w.node.open_request_count
        await w.until(partial(open_past, w, before))
        if not w.node.balancer.waiting:
            busy.append(await w.server())
            await busy[-1].message()
    last.reset()  # the one that found no place
    await w.until(lambda: not w.node.balancer.waiting)
    return busy


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_what_waits_as_its_client_leaves_is_never_sent_on(
    tmp_path: Path, how: str, path: str
) -> None:
    with crossing(tmp_path, settings=LONG) as w:

        async def story() -> None:
            busy = await filled(w)
            body = b"x" if path.startswith("/credit") else None
            leaver = w.client(request(path, body, rid="left"))
            await w.until(lambda: w.node.balancer.waiting == 1)
            getattr(leaver, how)()
            # Half closed it still reads, and gets its one answer at once.
            if how == "half_close":
                assert await leaver.status() == 503
                assert await leaver.read_to_end() == b""
            await w.until(lambda: not w.node.balancer.waiting)
            stays = w.client(request(rid="stays"))
            await w.until(lambda: w.node.balancer.waiting == 1)
            busy[0].send(answer(b"1"))
            assert (await busy[0].message())[1]["x-request-id"] == "stays"
            for server in busy:
                server.send(answer(b"2"))
            assert await stays.status() == 200

        drive(w, story())


@pytest.mark.parametrize("how", HOW)
def test_no_further_attempt_begins_for_a_client_that_has_left(tmp_path: Path, how: str) -> None:
    with crossing(tmp_path, servers=2, settings=LONG) as w:

        async def story() -> None:
            client = w.client(request(rid="left"))
            held = w.node.balancer
            await w.until(lambda: any(b.in_flight for b in held.backends.values()))
            roster = w.node.discovery.backend_list.endpoints
            (busy,) = (b.id for b in held.backends.values() if b.in_flight)
            port = roster[busy].port
            number = [s.getsockname()[1] for s in w.servers].index(port)
            server = await w.server(number)
            await server.message()
            getattr(client, how)()
            await w.until(
                lambda: not w.node.open_request_count
                or any(r.half_closed_at for r in held.requests.values())
            )
            server.send(TURNED_AWAY)  # it never ran, and would go to the other one
            await w.until(lambda: not w.node.requests)
            if how == "half_close":
                assert await client.status() == 503
            # What the other server gets first is the next client's.
            other = w.client(request(rid="stays"))
            await w.until(lambda: any(b.in_flight for b in held.backends.values()))
            if not held.backends[busy].in_flight:
                server = await w.server(1 - number)
            assert (await server.message())[1]["x-request-id"] == "stays"
            server.send(answer(b"1"))
            assert await other.status() == 200

        drive(w, story())


@pytest.mark.parametrize("how", HOW)
def test_a_dial_that_comes_up_after_its_client_left_carries_nothing(
    tmp_path: Path, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is kept for the next one: its handshake is paid."""
    with crossing(tmp_path, settings=LONG) as w:
        made: list[tuple[BackendConnection, Any]] = []
        inner = BackendConnection.connection_made
        # What comes up is told when the test says so, and not before.
        monkeypatch.setattr(
            BackendConnection, "connection_made", lambda conn, t: made.append((conn, t))
        )
        monkeypatch.setattr(windrelay_upstream.BackendConnection, "_dial_expired", lambda *_: None)
        late = [0]
        real = w.node.may_begin

        def may_begin(a: Any) -> bool:
            """A tenth of a second later than it is."""
            r = w.node.balancer.requests.get(a.request.id)
            if r is not None and r.half_closed_at:
                r.half_closed_at -= 100 * MS
                late[0] += 1
            return real(a)

        monkeypatch.setattr(w.node, "may_begin", may_begin, raising=False)

        async def story() -> None:
            leaver = w.client(request(rid="left"))
            await w.until(lambda: made)
            getattr(leaver, how)()
            await w.until(
                lambda: not w.node.open_request_count
                or any(r.half_closed_at for r in w.node.balancer.requests.values())
            )
            inner(*made.pop())
            await w.until(lambda: not w.node.requests)
            if how == "half_close":
                assert late[0] and await leaver.status() == 503
            server = await w.server()
            stays = w.client(request(rid="stays"))
            assert (await server.message())[1]["x-request-id"] == "stays"
            server.send(answer(b"1"))
            assert await stays.status() == 200
            assert not made

        drive(w, story())


def test_an_end_in_one_read_with_its_request_is_seen(tmp_path: Path) -> None:
    """Nothing waits in between: the end is told right behind the head."""
    with crossing(tmp_path, settings=LONG) as w:

        async def story() -> None:
            busy = await filled(w)
            leaver = w.client()
            await w.until(lambda: w.one.server.awaiting_first_request)
            leaver.send(request(rid="left"))
            leaver.half_close()
            assert await leaver.status() == 503
            for server in busy:
                server.send(answer(b"1"))

        drive(w, story())


def test_an_answer_that_is_passed_on_goes_on_for_a_client_that_only_reads(tmp_path: Path) -> None:
    with crossing(tmp_path, settings=LONG) as w:

        async def story() -> None:
            client = w.client(request("/credit/1", b"x"))
            server = await w.server()
            await server.message()
            size = 200_000
            server.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            server.send(bytes(100_000))
            while len(client.buffer) < 50_000:
                assert await client.receive()
            client.half_close()
            await w.until(lambda: any(r.half_closed_at for r in w.node.balancer.requests.values()))
            server.send(bytes(100_000))
            assert (await client.read_to_end()).count(b"\0") == size

        drive(w, story())


def test_a_crowd_of_leavers_costs_the_others_neither_time_nor_place(tmp_path: Path) -> None:
    with crossing(tmp_path, settings=LONG) as w:

        async def story() -> None:
            busy = await filled(w)
            stays = w.client(request(rid="first"))
            await w.until(lambda: w.node.balancer.waiting == 1)
            crowd = [w.client(request()) for _ in range(40)]
            await w.until(lambda: w.node.balancer.waiting == 41)
            refused = sum(c.refused_count for c in w.node.balancer.classes)
            for one in crowd:
                one.half_close()
            for one in crowd:
                assert await one.status() == 503
            # They were not turned away for want of servers: the shares take no notice.
            assert sum(c.refused_count for c in w.node.balancer.classes) == refused
            busy[0].send(answer(b"1"))
            assert (await busy[0].message())[1]["x-request-id"] == "first"
            for server in busy:
                server.send(answer(b"2"))
            assert await stays.status() == 200

        drive(w, story())


# ---- the decision -------------------------------------------------------------


@pytest.mark.parametrize(
    ("cls", "outcome", "ends"),
    [
        (0, Outcome.CONNECT_FAILED, "refuse"),
        (0, Outcome.RESET, "refuse"),
        (1, Outcome.CONNECT_FAILED, "refuse"),
        (1, Outcome.FULL, "refuse"),
        (1, Outcome.RESET, "fail"),
        (1, Outcome.ERROR, "fail"),
        (2, Outcome.RESET, "refuse"),
        (2, Outcome.NOT_SENT, "refuse"),
    ],
)
def test_the_outcome_of_what_is_out_is_the_answer(cls: int, outcome: Outcome, ends: str) -> None:
    balancer, host = build_balancer()
    balancer.on_request(0, 1, cls, 900 * MS)
    balancer.on_client_half_closed(MS, 1)
    balancer.on_client_half_closed(2 * MS, 1)
    assert len(host.calls_named("send")) == 1 and not host.calls_named("refuse")
    balancer.on_outcome(3 * MS, 1, 0, outcome, 3 * MS, False)
    assert host.calls[-1] == (ends, 1) and len(host.calls_named("send")) == 1
    assert not balancer.requests


@pytest.mark.parametrize(
    ("after", "may"), [(0, True), (HALF_CLOSE_GRACE_NS, True), (HALF_CLOSE_GRACE_NS + 1, False)]
)
def test_a_dial_begins_no_attempt_long_after_a_half_close(after: int, may: bool) -> None:
    balancer, _ = build_balancer()
    balancer.on_request(0, 1, 0, 900 * MS)
    assert balancer.may_start_attempt(5 * MS, 1, 0)
    balancer.on_client_half_closed(10 * MS, 1)
    assert balancer.may_start_attempt(10 * MS + after, 1, 0) is may


def test_a_keyed_repeat_whose_dial_outlasts_the_servers_memory_does_not_begin() -> None:
    balancer, host = build_balancer()
    window = balancer.classes[2].spec.retry_window
    balancer.on_request(0, 1, 2, 900 * MS)
    balancer.on_outcome(10 * MS, 1, 0, Outcome.RESET, 10 * MS, False)
    assert len(host.calls_named("send")) == 2  # in time when it was sent
    assert balancer.may_start_attempt(window - 1, 1, 1)
    assert not balancer.may_start_attempt(window, 1, 1)


def test_in_no_order_of_events_does_an_attempt_begin_after_its_client_left() -> None:
    for seed in range(300):
        rng = Random(seed)
        balancer, host = build_balancer(count=2, seed=seed)
        now = 0
        gone: dict[int, list[tuple[object, ...]]] = {}
        left: dict[int, int] = {}
        order: list[str] = []
        for rid in range(1, 12):
            balancer.on_request(now, rid, rng.randrange(3), 900 * MS)
            order.append(f"{now} ask {rid}")
        for _ in range(60):
            now += rng.randrange(30 * MS)
            open_now = sorted(balancer.requests)
            if not open_now:
                break
            rid = rng.choice(open_now)
            r = balancer.requests[rid]
            before = len(r.attempts)
            what = rng.choice(["leave", "gone", "end", "end", "time"])
            order.append(f"{now} {what} {rid}")
            if what == "leave":
                balancer.on_client_half_closed(now, rid)
                left.setdefault(rid, before)
            elif what == "gone":
                balancer.on_client_gone(now, rid)
                gone[rid] = [c for c in host.calls if c[0] in ("refuse", "fail") and c[1] == rid]
                left.setdefault(rid, before)
            elif what == "end" and r.attempts_in_flight:
                outcome = rng.choice([Outcome.OK, Outcome.RESET, Outcome.FULL, Outcome.NOT_SENT])
                balancer.on_outcome(now, rid, before - 1, outcome, MS, r.ended)
            else:
                balancer.on_timer(now, 1)
            for one, attempts in left.items():
                sent = sum(1 for c in host.calls_named("send") if c[1] == one)
                assert sent == attempts, order
            ended = [c for c in host.calls if c[0] in ("refuse", "fail")]
            assert len(ended) == len(set(ended)), order
            for one, answers in gone.items():
                assert [c for c in ended if c[1] == one] == answers, order
