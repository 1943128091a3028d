"""A client that closes, half-closes or resets its connection, at each step of its request.

No attempt may begin for the client any more. A client that still reads gets one final response,
and requests of other clients are not affected.
"""

from __future__ import annotations

from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch import Outcome
from flinthatch.balancer import HALF_CLOSE_GRACE_NS
from windrelay import upstream
from windrelay.upstream import BackendConnection

from .fakes import MS, build_balancer
from .harness import SETTINGS, answer
from .harness import request as build_request
from .race_harness import RaceHarness, ScriptedPeer, race_harness, run_scenario

CLASSES = SETTINGS["classes"]

WAYS_TO_LEAVE = ["close", "half_close", "reset"]
# No time-out expires in these tests: every effect comes from the client that leaves.
NEVER_TIMES_OUT: dict[str, Any] = {
    "classes": [c | {"target": 400_000_000_000, "deadline": 400_000_000_000} for c in CLASSES]
}
NOT_PROCESSED = answer(b"", "503 Busy", "X-Not-Processed: 1")


def request(path: str = "/balance/1", body: bytes | None = None, rid: str = "") -> bytes:
    return build_request(path, body, timeout=400_000, rid=rid)


def has_more_open_requests(harness: RaceHarness, before: int) -> bool:
    return harness.node.open_request_count > before


async def fill_backend(harness: RaceHarness) -> list[ScriptedPeer]:
    """Fill every slot of the only backend; returns its connections, each with one request."""
    busy_connections = []
    while not harness.node.balancer.waiting:
        last = harness.connect_client(request())
        before = harness.node.open_request_count
        await harness.wait_until(partial(has_more_open_requests, harness, before))
        if not harness.node.balancer.waiting:
            busy_connections.append(await harness.accept_backend())
            await busy_connections[-1].message()
    last.reset()  # the request that found no free slot
    await harness.wait_until(lambda: not harness.node.balancer.waiting)
    return busy_connections


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_a_queued_request_is_never_sent_after_its_client_left(
    tmp_path: Path, how: str, path: str
) -> None:
    with race_harness(tmp_path, settings=NEVER_TIMES_OUT) as harness:

        async def scenario() -> None:
            busy_connections = await fill_backend(harness)
            body = b"x" if path.startswith("/credit") else None
            leaving_client = harness.connect_client(request(path, body, rid="left"))
            await harness.wait_until(lambda: harness.node.balancer.waiting == 1)
            getattr(leaving_client, how)()
            # A client that half-closed its connection still reads and gets its response at once.
            if how == "half_close":
                assert await leaving_client.status() == 503
                assert await leaving_client.read_to_end() == b""
            await harness.wait_until(lambda: not harness.node.balancer.waiting)
            staying_client = harness.connect_client(request(rid="stays"))
            await harness.wait_until(lambda: harness.node.balancer.waiting == 1)
            busy_connections[0].send(answer(b"1"))
            assert (await busy_connections[0].message())[1]["x-request-id"] == "stays"
            for connection in busy_connections:
                connection.send(answer(b"2"))
            assert await staying_client.status() == 200

        run_scenario(harness, scenario())


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_retry_begins_after_the_client_left(tmp_path: Path, how: str) -> None:
    with race_harness(tmp_path, servers=2, settings=NEVER_TIMES_OUT) as harness:

        async def scenario() -> None:
            client = harness.connect_client(request(rid="left"))
            balancer = harness.node.balancer
            await harness.wait_until(lambda: any(b.in_flight for b in balancer.backends.values()))
            endpoints = harness.node.discovery.backend_list.endpoints
            (busy_backend,) = (b.id for b in balancer.backends.values() if b.in_flight)
            port = endpoints[busy_backend].port
            index = [s.getsockname()[1] for s in harness.listeners].index(port)
            connection = await harness.accept_backend(index)
            await connection.message()
            getattr(client, how)()
            await harness.wait_until(
                lambda: not harness.node.open_request_count
                or any(r.half_closed_at for r in balancer.requests.values())
            )
            connection.send(NOT_PROCESSED)  # the request never ran and could be retried
            await harness.wait_until(lambda: not harness.node.requests)
            if how == "half_close":
                assert await client.status() == 503
            # The first request at the other backend is that of the next client.
            next_client = harness.connect_client(request(rid="stays"))
            await harness.wait_until(lambda: any(b.in_flight for b in balancer.backends.values()))
            if not balancer.backends[busy_backend].in_flight:
                connection = await harness.accept_backend(1 - index)
            assert (await connection.message())[1]["x-request-id"] == "stays"
            connection.send(answer(b"1"))
            assert await next_client.status() == 200

        run_scenario(harness, scenario())


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_dial_that_ends_after_its_client_left_sends_nothing(
    tmp_path: Path, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is kept for the next request, because its handshake has been paid for."""
    with race_harness(tmp_path, settings=NEVER_TIMES_OUT) as harness:
        established: list[tuple[BackendConnection, Any]] = []
        connection_made = BackendConnection.connection_made
        # The test decides when the node learns that a connection is established.
        monkeypatch.setattr(
            BackendConnection,
            "connection_made",
            lambda conn, transport: established.append((conn, transport)),
        )
        monkeypatch.setattr(upstream.BackendConnection, "_dial_expired", lambda *_: None)
        early_checks = [0]
        real_may_begin = harness.node.may_begin

        def may_begin(attempt: Any) -> bool:
            """Answer as if the half-close had been a tenth of a second earlier."""
            open_request = harness.node.balancer.requests.get(attempt.request.id)
            if open_request is not None and open_request.half_closed_at:
                open_request.half_closed_at -= 100 * MS
                early_checks[0] += 1
            return real_may_begin(attempt)

        monkeypatch.setattr(harness.node, "may_begin", may_begin, raising=False)

        async def scenario() -> None:
            leaving_client = harness.connect_client(request(rid="left"))
            await harness.wait_until(lambda: established)
            getattr(leaving_client, how)()
            await harness.wait_until(
                lambda: not harness.node.open_request_count
                or any(
                    open_request.half_closed_at
                    for open_request in harness.node.balancer.requests.values()
                )
            )
            connection_made(*established.pop())
            await harness.wait_until(lambda: not harness.node.requests)
            if how == "half_close":
                assert early_checks[0] and await leaving_client.status() == 503
            connection = await harness.accept_backend()
            staying_client = harness.connect_client(request(rid="stays"))
            assert (await connection.message())[1]["x-request-id"] == "stays"
            connection.send(answer(b"1"))
            assert await staying_client.status() == 200
            assert not established

        run_scenario(harness, scenario())


def test_a_half_close_read_together_with_its_request_is_noticed(tmp_path: Path) -> None:
    """The event loop reports the end of the stream right behind the data of the request."""
    with race_harness(tmp_path, settings=NEVER_TIMES_OUT) as harness:

        async def scenario() -> None:
            busy_connections = await fill_backend(harness)
            leaving_client = harness.connect_client()
            await harness.wait_until(lambda: harness.in_process.server.awaiting_first_request)
            leaving_client.send(request(rid="left"))
            leaving_client.half_close()
            assert await leaving_client.status() == 503
            for connection in busy_connections:
                connection.send(answer(b"1"))

        run_scenario(harness, scenario())


def test_a_streamed_response_continues_after_a_half_close(tmp_path: Path) -> None:
    with race_harness(tmp_path, settings=NEVER_TIMES_OUT) as harness:

        async def scenario() -> None:
            client = harness.connect_client(request("/credit/1", b"x"))
            connection = await harness.accept_backend()
            await connection.message()
            size = 200_000
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            connection.send(bytes(100_000))
            while len(client.buffer) < 50_000:
                assert await client.receive()
            client.half_close()
            await harness.wait_until(
                lambda: any(r.half_closed_at for r in harness.node.balancer.requests.values())
            )
            connection.send(bytes(100_000))
            assert (await client.read_to_end()).count(b"\0") == size

        run_scenario(harness, scenario())


def test_many_leaving_clients_do_not_delay_or_displace_the_others(tmp_path: Path) -> None:
    with race_harness(tmp_path, settings=NEVER_TIMES_OUT) as harness:

        async def scenario() -> None:
            busy_connections = await fill_backend(harness)
            staying_client = harness.connect_client(request(rid="first"))
            await harness.wait_until(lambda: harness.node.balancer.waiting == 1)
            leaving_clients = [harness.connect_client(request()) for _ in range(40)]
            await harness.wait_until(lambda: harness.node.balancer.waiting == 41)
            refused_before = sum(c.refused_count for c in harness.node.balancer.classes)
            for client in leaving_clients:
                client.half_close()
            for client in leaving_clients:
                assert await client.status() == 503
            # They don't count as refused for lack of backends, which would change the shares.
            assert sum(c.refused_count for c in harness.node.balancer.classes) == refused_before
            busy_connections[0].send(answer(b"1"))
            assert (await busy_connections[0].message())[1]["x-request-id"] == "first"
            for connection in busy_connections:
                connection.send(answer(b"2"))
            assert await staying_client.status() == 200

        run_scenario(harness, scenario())


# ---- the balancer's decisions -------------------------------------------------------------


@pytest.mark.parametrize(
    ("class_number", "outcome", "final_answer"),
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
def test_the_outcome_of_the_attempt_in_flight_ends_a_half_closed_request(
    class_number: int, outcome: Outcome, final_answer: str
) -> None:
    balancer, host = build_balancer()
    balancer.on_request(0, 1, class_number, 900 * MS)
    balancer.on_client_half_closed(MS, 1)
    balancer.on_client_half_closed(2 * MS, 1)
    assert len(host.calls_named("send")) == 1 and not host.calls_named("refuse")
    balancer.on_outcome(3 * MS, 1, 0, outcome, 3 * MS, False)
    assert host.calls[-1] == (final_answer, 1) and len(host.calls_named("send")) == 1
    assert not balancer.requests


@pytest.mark.parametrize(
    ("delay", "allowed"), [(0, True), (HALF_CLOSE_GRACE_NS, True), (HALF_CLOSE_GRACE_NS + 1, False)]
)
def test_no_attempt_begins_on_a_new_connection_long_after_a_half_close(
    delay: int, allowed: bool
) -> None:
    balancer, _ = build_balancer()
    balancer.on_request(0, 1, 0, 900 * MS)
    assert balancer.may_start_attempt(5 * MS, 1, 0)
    balancer.on_client_half_closed(10 * MS, 1)
    assert balancer.may_start_attempt(10 * MS + delay, 1, 0) is allowed


def test_no_token_retry_begins_after_the_backends_repeat_window() -> None:
    balancer, host = build_balancer()
    window = balancer.classes[2].spec.retry_window
    balancer.on_request(0, 1, 2, 900 * MS)
    balancer.on_outcome(10 * MS, 1, 0, Outcome.RESET, 10 * MS, False)
    assert (
        len(host.calls_named("send")) == 2
    )  # the retry was still within the window when it was sent
    assert balancer.may_start_attempt(window - 1, 1, 1)
    assert not balancer.may_start_attempt(window, 1, 1)


def test_no_order_of_events_begins_an_attempt_after_the_client_left() -> None:
    for seed in range(300):
        rng = Random(seed)
        balancer, host = build_balancer(count=2, seed=seed)
        now = 0
        answers_when_gone: dict[int, list[tuple[object, ...]]] = {}
        attempts_when_left: dict[int, int] = {}
        events: list[str] = []
        for drawn_id in range(1, 12):
            balancer.on_request(now, drawn_id, rng.randrange(3), 900 * MS)
            events.append(f"{now} ask {drawn_id}")
        for _ in range(60):
            now += rng.randrange(30 * MS)
            open_ids = sorted(balancer.requests)
            if not open_ids:
                break
            drawn_id = rng.choice(open_ids)
            open_request = balancer.requests[drawn_id]
            attempts_before = len(open_request.attempts)
            event = rng.choice(["leave", "gone", "end", "end", "time"])
            events.append(f"{now} {event} {drawn_id}")
            if event == "leave":
                balancer.on_client_half_closed(now, drawn_id)
                attempts_when_left.setdefault(drawn_id, attempts_before)
            elif event == "gone":
                balancer.on_client_gone(now, drawn_id)
                answers_when_gone[drawn_id] = [
                    c for c in host.calls if c[0] in ("refuse", "fail") and c[1] == drawn_id
                ]
                attempts_when_left.setdefault(drawn_id, attempts_before)
            elif event == "end" and open_request.attempts_in_flight:
                outcome = rng.choice([Outcome.OK, Outcome.RESET, Outcome.FULL, Outcome.NOT_SENT])
                balancer.on_outcome(
                    now, drawn_id, attempts_before - 1, outcome, MS, open_request.ended
                )
            else:
                balancer.on_timer(now, 1)
            for request_id, attempt_count in attempts_when_left.items():
                sent = sum(1 for c in host.calls_named("send") if c[1] == request_id)
                assert sent == attempt_count, events
            final_answers = [c for c in host.calls if c[0] in ("refuse", "fail")]
            assert len(final_answers) == len(set(final_answers)), events
            for request_id, answers in answers_when_gone.items():
                assert [c for c in final_answers if c[1] == request_id] == answers, events
