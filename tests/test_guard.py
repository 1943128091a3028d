"""Exceptions that nobody foresaw: each ends its connection, is counted, and loses no request."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httptools
import pytest

from flinthatch import Balancer
from windrelay.guard import closes_connection_on_error
from windrelay.node import Attempt, Node
from windrelay.server import ClientConnection
from windrelay.upstream import BackendConnection, HttpConnectionPool

from .harness import answer, request, roster, target
from .inside import InProcessNode, in_process_node


class Fault(Exception):
    """Raised where the tests say."""


class Once:
    """A method that raises on its n-th call, and works on all others."""

    def __init__(self, inner: Callable[..., Any], nth: int = 1) -> None:
        self.inner = inner
        self.left = nth

    def method(self) -> Callable[..., Any]:
        def call(*args: Any, **named: Any) -> Any:
            self.left -= 1
            if self.left == 0:
                raise Fault(self.inner.__name__)
            return self.inner(*args, **named)

        call.__name__ = self.inner.__name__
        return call


def failing_once(inner: Callable[..., Any]) -> Callable[..., Any]:
    """The same method, raising on its first call; within its guard where it has one."""
    if hasattr(inner, "__wrapped__"):
        return closes_connection_on_error(Once(inner.__wrapped__).method())
    return Once(inner).method()


async def server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A sound server: one answer for each request, until the end."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"Content-Length: 1\r\n" in head:
                await reader.readexactly(1)
            writer.write(answer(b"served"))
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def ask(port: int, data: bytes) -> bytes:
    """The status of the answer, or nothing where the connection ended without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return b""
    finally:
        writer.close()
    return head.split(b" ")[1]


CALLBACKS: list[tuple[Any, str, tuple[bytes, ...]]] = [
    # Where it raises, and what its client may see: never nothing at all in its time.
    (httptools, "HttpRequestParser", (b"500",)),  # in connection_made
    (ClientConnection, "data_received", (b"",)),
    (ClientConnection, "on_header", (b"500",)),
    (ClientConnection, "on_message_complete", (b"500",)),
    (ClientConnection, "_start_request", (b"500",)),
    (ClientConnection, "send_response", (b"500", b"502", b"")),
    (Node, "request", (b"500",)),
    (Node, "carry", (b"502",)),
    (Node, "conclude", (b"200", b"502", b"503", b"504", b"")),
    (HttpConnectionPool, "send", (b"502", b"503")),
    (BackendConnection, "dial", (b"502", b"503")),
    (httptools, "HttpResponseParser", (b"200", b"502", b"503")),  # in connection_made
    (BackendConnection, "_write_request", (b"200", b"502", b"503")),
    (BackendConnection, "on_headers_complete", (b"502",)),
    (BackendConnection, "_finish_response", (b"502",)),
    (HttpConnectionPool, "release", (b"200",)),
    (Balancer, "on_request", (b"502",)),
    (Balancer, "on_outcome", (b"200",)),
    (Balancer, "send", (b"502",)),
]

AT_A_DIAL = frozenset(("dial", "HttpResponseParser", "on_headers_complete"))


@pytest.mark.parametrize("fresh", [True, False], ids=["dialled", "kept"])
@pytest.mark.parametrize(
    ("owner", "name", "seen"), CALLBACKS, ids=[f"{o.__name__}.{n}" for o, n, _ in CALLBACKS]
)
def test_a_callback_that_raises_costs_its_own_request_alone(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    seen: tuple[bytes, ...],
    fresh: bool,
) -> None:
    if not fresh and name in AT_A_DIAL:
        pytest.skip("comes up at a dial alone")

    async def drive(one: InProcessNode, port: int) -> None:
        assert await ask(port, request("/credit/1", b"x")) == b"200"
        if fresh:
            assert one.node.upstream.close_oldest_idle()
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, failing_once(getattr(owner, name)))
            status = await ask(port, request("/credit/1", b"x", timeout=300))
        assert status in seen, (status, one.log_lines)
        assert any("Fault" in line for line in one.log_lines), "it never raised"
        assert one.node.unexpected_error_count == 1
        # Neither the outcomes' queue nor the timers stand still after it.
        assert not one.node.in_event
        for _ in range(3):
            assert await ask(port, request("/credit/1", b"x")) == b"200"
        await one.wait_until(lambda: not one.node.requests and not one.node.open_request_count)
        await one.wait_until(lambda: not one.node.client_count)

    async def main(one: InProcessNode, listener: asyncio.Server) -> None:
        port = one.server.listen(one.config.listen)
        await drive(one, port)
        listener.close()

    async def start_server() -> asyncio.Server:
        return await asyncio.start_server(server, "127.0.0.1", 0)

    # The server lives on the node's own loop: one thread, one order of events.
    with in_process_node(tmp_path, roster(target("s-1", 1))) as one:
        listener = one.run(start_server())
        address = listener.sockets[0].getsockname()[1]
        rows = roster(target("s-1", int(address)), rev=2)
        update, listings, endpoints, _ = one.node.discovery.backend_list.parse(rows)
        one.node.discovery.backend_list.apply(2, update, listings, endpoints)
        one.run(main(one, listener))


def test_a_timer_that_raises_leaves_the_others_running(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with in_process_node(tmp_path, roster()) as one:
        due: list[int] = []

        def on_timer(now: int, token: int) -> None:
            due.append(token)
            if token == 91:
                raise Fault("a timer")

        monkeypatch.setattr(one.node.balancer, "on_timer", on_timer)

        async def drive() -> None:
            now = time.monotonic_ns()
            for token in (91, 92):
                one.node.schedule(now, token)
            await one.wait_until(lambda: due.count(91) >= 2 and 92 in due)

        one.run(drive())
        assert one.node.unexpected_error_count >= 1 and not one.node.in_event


def test_an_attempt_that_raises_as_it_is_given_up_does_not_stop_the_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with in_process_node(tmp_path, roster()) as one:

        class Broken:
            def abandon(self) -> bool:
                raise Fault("abandon")

        now = time.monotonic_ns()
        attempts = [Attempt(None, 0, 1, now) for _ in range(2)]
        attempts[0].connection = Broken()

        async def drive() -> None:
            for a in attempts:
                one.node.schedule(now, a)
            await one.wait_until(lambda: attempts[1].concluded)

        one.run(drive())
        assert one.node.unexpected_error_count == 1


def test_the_loops_last_word_is_counted_and_ends_the_connection(tmp_path: Path) -> None:
    with in_process_node(tmp_path, roster()) as one:

        class Transport(asyncio.Transport):
            aborted = False

            def abort(self) -> None:
                self.aborted = True

        transport = Transport()
        one.loop.call_exception_handler(
            {"message": "m", "exception": Fault("x"), "transport": transport}
        )
        one.loop.call_exception_handler({"message": "no exception"})
        assert transport.aborted and one.node.unexpected_error_count == 2
        assert "Fault" in one.log_lines[-2] and "no exception" in one.log_lines[-1]


def test_what_raised_in_a_callback_ends_its_connection_on_uvloop_too(tmp_path: Path) -> None:
    """Its transports are no instances of asyncio's; an error in `pause_writing` or
    `resume_writing` it only reports, and the connection would stay open for good."""

    async def drive(loop: asyncio.AbstractEventLoop) -> None:
        near, far = socket.socketpair()
        with far:
            raised = asyncio.Event()

            class Raising(asyncio.Protocol):
                def pause_writing(self) -> None:
                    raised.set()
                    raise Fault("pause_writing")

            transport, _ = await loop.create_connection(Raising, sock=near)
            transport.write(bytes(8 << 20))  # more than a socket pair holds
            await raised.wait()
            await asyncio.sleep(0)
            assert transport.is_closing()

    with in_process_node(tmp_path, roster()) as one:
        one.run(drive(one.loop))
        assert one.node.unexpected_error_count == 1


def test_a_client_told_of_a_fault_gets_no_second_answer(tmp_path: Path) -> None:
    """What raised came after the request was taken: its own answer arrives all the same."""
    with in_process_node(tmp_path, roster()) as one:
        port = one.server.listen(one.config.listen)

        async def drive() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await one.wait_until(lambda: one.server.connections)
            (conn,) = one.server.connections
            conn.close_on_error("a test", Fault("after it was taken"))
            conn.send_empty_response(503, 0)
            data = await reader.read()
            assert data.count(b"HTTP/1.1") == 1 and data.startswith(b"HTTP/1.1 500 ")
            writer.close()

        one.run(drive())
        assert one.node.unexpected_error_count == 1
