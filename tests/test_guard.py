"""Unexpected exceptions: each closes its connection, is counted, and loses no other request."""

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
from flinthatch.attempt_timeout import Progress
from windrelay.guard import closes_connection_on_error
from windrelay.node import Attempt, Node
from windrelay.server import ClientConnection
from windrelay.upstream import BackendConnection, HttpConnectionPool

from .harness import answer, request, roster, target
from .inside import InProcessNode, in_process_node


class InjectedError(Exception):
    """The exception that the tests raise."""


class RaisesOnNthCall:
    """Wraps a method so that one of its calls raises InjectedError and all others work."""

    def __init__(self, wrapped: Callable[..., Any], call_number: int = 1) -> None:
        self.wrapped = wrapped
        self.calls_left = call_number

    def method(self) -> Callable[..., Any]:
        def call(*args: Any, **named: Any) -> Any:
            self.calls_left -= 1
            if self.calls_left == 0:
                raise InjectedError(self.wrapped.__name__)
            return self.wrapped(*args, **named)

        call.__name__ = self.wrapped.__name__
        return call


def raising_once(wrapped: Callable[..., Any]) -> Callable[..., Any]:
    """The method, raising on its first call; still inside its decorator if it has one."""
    if hasattr(wrapped, "__wrapped__"):
        return closes_connection_on_error(RaisesOnNthCall(wrapped.__wrapped__).method())
    return RaisesOnNthCall(wrapped).method()


async def server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A backend without faults: one response for each request until the connection ends."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"Content-Length: 1\r\n" in head:
                await reader.readexactly(1)
            writer.write(answer(b"served"))
    except (asyncio.IncompleteReadError, OSError):
        writer.close()


async def request_status(port: int, data: bytes) -> bytes:
    """Send a request; returns the response's status, empty if the connection ended without one."""
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
    # The class and method that raises, and the statuses that its client may get, where b"" is a
    # close. A client must never be left without any of these.
    (httptools, "HttpRequestParser", (b"500",)),  # in connection_made
    (ClientConnection, "data_received", (b"",)),
    (ClientConnection, "on_header", (b"500",)),
    (ClientConnection, "on_message_complete", (b"500",)),
    (ClientConnection, "_start_request", (b"500",)),
    (ClientConnection, "send_response", (b"500", b"502", b"")),
    (Node, "start_request", (b"500",)),
    (Node, "start_attempt", (b"502",)),
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
    (Balancer, "start_attempt", (b"502",)),
]

DIAL_CALLBACKS = frozenset(("dial", "HttpResponseParser", "on_headers_complete"))


@pytest.mark.parametrize("new_connection", [True, False], ids=["dialled", "kept"])
@pytest.mark.parametrize(
    ("owner", "name", "allowed_statuses"),
    CALLBACKS,
    ids=[f"{o.__name__}.{n}" for o, n, _ in CALLBACKS],
)
def test_raising_callback_fails_no_request_but_its_own(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    allowed_statuses: tuple[bytes, ...],
    new_connection: bool,
) -> None:
    if not new_connection and name in DIAL_CALLBACKS:
        pytest.skip("called only when a backend connection is dialled")

    async def scenario(in_process: InProcessNode, port: int) -> None:
        assert await request_status(port, request("/credit/1", b"x")) == b"200"
        if new_connection:
            assert in_process.node.upstream.close_oldest_idle()
        with monkeypatch.context() as patch:
            patch.setattr(owner, name, raising_once(getattr(owner, name)))
            status = await request_status(port, request("/credit/1", b"x", timeout=300))
        assert status in allowed_statuses, (status, in_process.log_lines)
        assert any(
            "InjectedError" in line for line in in_process.log_lines
        ), "the callback never raised"
        assert in_process.node.unexpected_error_count == 1
        # The queue of outcomes and the timers still work after the exception.
        assert not in_process.node.in_event
        for _ in range(3):
            assert await request_status(port, request("/credit/1", b"x")) == b"200"
        await in_process.wait_until(
            lambda: not in_process.node.requests and not in_process.node.open_request_count
        )
        await in_process.wait_until(lambda: not in_process.node.client_count)

    async def main(in_process: InProcessNode, listener: asyncio.Server) -> None:
        port = in_process.server.listen(in_process.config.listen)
        await scenario(in_process, port)
        listener.close()

    async def start_server() -> asyncio.Server:
        return await asyncio.start_server(server, "127.0.0.1", 0)

    # The backend runs on the node's own event loop: one thread, one order of events.
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        listener = in_process.run(start_server())
        address = listener.sockets[0].getsockname()[1]
        rows = roster(target("s-1", int(address)), rev=2)
        update, listings, endpoints, _ = in_process.node.discovery.backend_list.parse(rows)
        in_process.node.discovery.backend_list.apply(2, update, listings, endpoints)
        in_process.run(main(in_process, listener))


def test_raising_timer_does_not_stop_the_other_timers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with in_process_node(tmp_path, roster()) as in_process:
        due_tokens: list[int] = []

        def on_timer(now: int, token: int) -> None:
            due_tokens.append(token)
            if token == 91:
                raise InjectedError("a timer")

        monkeypatch.setattr(in_process.node.balancer, "on_timer", on_timer)

        async def scenario() -> None:
            now = time.monotonic_ns()
            for token in (91, 92):
                in_process.node.schedule(now, token)
            await in_process.wait_until(lambda: due_tokens.count(91) >= 2 and 92 in due_tokens)

        in_process.run(scenario())
        assert in_process.node.unexpected_error_count >= 1 and not in_process.node.in_event


def test_raising_abandon_does_not_stop_the_other_timers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with in_process_node(tmp_path, roster()) as in_process:

        class Broken:
            def abandon(self) -> bool:
                raise InjectedError("abandon")

            def progress(self) -> Progress:
                return Progress.SILENT

            def is_request_delivered(self) -> bool:
                return True

            def response_progress(self) -> None:
                return None

            def pass_on(self) -> None:
                pass

        now = time.monotonic_ns()
        attempts = [Attempt(None, 0, 1, now) for _ in range(2)]
        attempts[0].connection = Broken()

        async def scenario() -> None:
            for a in attempts:
                in_process.node.schedule(now, a)
            await in_process.wait_until(lambda: attempts[1].concluded)

        in_process.run(scenario())
        assert in_process.node.unexpected_error_count == 1


def test_exception_reported_by_the_loop_is_counted_and_closes_the_connection(
    tmp_path: Path,
) -> None:
    with in_process_node(tmp_path, roster()) as in_process:

        class Transport(asyncio.Transport):
            aborted = False

            def abort(self) -> None:
                self.aborted = True

        transport = Transport()
        in_process.loop.call_exception_handler(
            {"message": "m", "exception": InjectedError("x"), "transport": transport}
        )
        in_process.loop.call_exception_handler({"message": "no exception"})
        assert transport.aborted and in_process.node.unexpected_error_count == 2
        assert (
            "InjectedError" in in_process.log_lines[-2]
            and "no exception" in in_process.log_lines[-1]
        )


def test_raising_pause_writing_closes_the_connection_on_uvloop(tmp_path: Path) -> None:
    """uvloop's transports are not instances of asyncio.Transport. uvloop only reports an exception
    in `pause_writing` or `resume_writing`, and the connection would stay open indefinitely."""

    async def scenario(loop: asyncio.AbstractEventLoop) -> None:
        near, far = socket.socketpair()
        with far:
            raised = asyncio.Event()

            class Raising(asyncio.Protocol):
                def pause_writing(self) -> None:
                    raised.set()
                    raise InjectedError("pause_writing")

            transport, _ = await loop.create_connection(Raising, sock=near)
            transport.write(bytes(8 << 20))  # more than the buffers of a socket pair hold
            await raised.wait()
            await asyncio.sleep(0)
            assert transport.is_closing()

    with in_process_node(tmp_path, roster()) as in_process:
        in_process.run(scenario(in_process.loop))
        assert in_process.node.unexpected_error_count == 1


def test_client_gets_no_second_response_after_a_500(tmp_path: Path) -> None:
    """The exception comes after the request was taken, so that the request's own response still
    arrives at the connection. Only the 500 may reach the client."""
    with in_process_node(tmp_path, roster()) as in_process:
        port = in_process.server.listen(in_process.config.listen)

        async def scenario() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await in_process.wait_until(lambda: in_process.server.connections)
            (conn,) = in_process.server.connections
            conn.close_on_error("a test", InjectedError("after it was taken"))
            conn.send_empty_response(503, 0)
            data = await reader.read()
            assert data.count(b"HTTP/1.1") == 1 and data.startswith(b"HTTP/1.1 500 ")
            writer.close()

        in_process.run(scenario())
        assert in_process.node.unexpected_error_count == 1
