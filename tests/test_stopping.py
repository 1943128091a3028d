"""A stop of a node, from SIGTERM to the exit, with each race between events forced.

A run is driven inside the test's own loop. The time-outs of the stop are set very long and the test
calls what is due, so no result depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from windrelay import __main__ as main
from windrelay.__main__ import KILL_GRACE_S, MAX_DEADLINE_WAIT_S, Run
from windrelay.config import Address, load
from windrelay.handover import HANDOVER_TIMEOUT_S, receive_handover
from windrelay.upstream import BackendConnection

from .harness import HANG_TIMEOUT_S, SETTINGS, answer, config, request, roster, target
from .race_harness import ScriptedPeer

BALANCE, CREDIT = SETTINGS["classes"]


class StoppableRun:
    """A run with one backend that the test plays, on a loop of its own."""

    def __init__(self, tmp_path: Path, backend: socket.socket, **over: Any) -> None:
        self.environ = config(tmp_path, roster(target("s-1", backend.getsockname()[1])), 1, **over)
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.run = Run(load(self.environ), self.loop)
        self.log_lines: list[str] = []
        self.run.node.log = self.log_lines.append  # type: ignore[method-assign, assignment]
        self.backend = backend
        self.connections: list[ScriptedPeer] = []

    def start(self) -> None:
        """Start the node and its listener."""
        self.run.node.start()
        self.port = self.run.server.listen(self.run.config.listen)

    def execute(self, scenario: Any) -> None:
        """Run a scenario on the loop; fails where it hangs."""
        self.loop.run_until_complete(asyncio.wait_for(scenario, HANG_TIMEOUT_S))

    async def wait_until(self, condition: Any) -> None:
        """Let the loop run until the condition holds."""
        while not condition():
            await asyncio.sleep(0.001)

    async def run_loop_turns(self, count: int = 20) -> None:
        """Let the loop run this many iterations."""
        for _ in range(count):
            await asyncio.sleep(0)

    def connect_client(self, data: bytes = b"") -> ScriptedPeer:
        """Connect a client to the node and send it these bytes."""
        end = ScriptedPeer(self.loop, socket.create_connection(("127.0.0.1", self.port)))
        self.connections.append(end)
        if data:
            end.send(data)
        return end

    async def accept_backend(self) -> ScriptedPeer:
        """Accept the node's next connection to the backend."""
        sock, _ = await self.loop.sock_accept(self.backend)
        self.connections.append(end := ScriptedPeer(self.loop, sock))
        return end

    def expire_stop_deadline(self) -> None:
        """Let the deadline of the stop pass."""
        self.run.stop_deadline = self.loop.time() - 1.0
        self.run.wait_for_requests()


@contextlib.contextmanager
def stoppable_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, **over: Any
) -> Iterator[StoppableRun]:
    """Run a started node whose stop proceeds only where the test calls it."""
    monkeypatch.setattr(main, "ACCEPT_GRACE_S", 1000.0)
    monkeypatch.setattr(main, "POLL_INTERVAL_S", 1000.0)
    with socket.create_server(("127.0.0.1", 0)) as backend:
        backend.setblocking(False)
        one = StoppableRun(tmp_path, backend, **over)
        try:

            async def begin() -> None:
                one.start()

            one.execute(begin())
            yield one
        finally:
            for end in one.connections:
                end.close()
            one.loop.close()
            asyncio.set_event_loop(None)


@pytest.mark.parametrize(("deadline_s", "most_s"), [(1, 1.0), (3, 3.0), (10, 3.0), (600, 3.0)])
def test_a_stop_ends_before_the_kill_whatever_the_deadlines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, deadline_s: int, most_s: float
) -> None:
    """SIGKILL comes after the longest deadline, of which 3 s count at the most."""
    classes = [BALANCE | {"deadline": deadline_s * 1_000_000_000}]
    with stoppable_run(tmp_path, monkeypatch, settings={"classes": classes}) as stopping:

        async def scenario() -> None:
            before = stopping.loop.time()
            stopping.run.stop()
            assert (
                before + most_s
                < stopping.run.stop_deadline
                < stopping.loop.time() + most_s + KILL_GRACE_S
            )
            assert most_s <= MAX_DEADLINE_WAIT_S
            stop_deadline = stopping.run.stop_deadline
            stopping.run.stop()  # a second stop has no effect
            assert stopping.run.stop_deadline == stop_deadline

        stopping.execute(scenario())


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_a_request_at_a_hung_backend_is_failed_and_not_refused_at_the_stop_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            client = stopping.connect_client(request(path, b"x" if "credit" in path else None))
            server = await stopping.accept_backend()
            await server.message()
            stopping.run.stop()
            stopping.expire_stop_deadline()
            first, headers, _ = await client.message()
            assert first.split(" ")[1] == "502" and headers["connection"] == "close"
            server.send(answer(b"late"))
            assert await client.read_to_end() == b""

        stopping.execute(scenario())


def test_a_request_completed_after_the_stop_deadline_is_refused_and_not_sent_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request read between the final failing of open requests and the exit was sent to a backend
    and lost."""
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            whole = request("/credit/1", b"x")
            client = stopping.connect_client(whole[:40])
            await stopping.wait_until(
                lambda: any(c._incoming for c in stopping.run.server.connections)
            )
            stopping.run.stop()
            stopping.expire_stop_deadline()
            client.send(whole[40:])
            assert await client.status() == 503
            assert (
                not stopping.run.node.upstream.descriptor_count and not stopping.run.node.requests
            )
            assert not stopping.run.node.budget.held_bytes

        stopping.execute(scenario())


def test_a_connection_established_after_the_stop_deadline_carries_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[Any] = []
    inner = BackendConnection.connection_made
    monkeypatch.setattr(BackendConnection, "connection_made", lambda c, t: made.append((c, t)))
    monkeypatch.setattr(BackendConnection, "_dial_expired", lambda *_: None)
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            client = stopping.connect_client(request("/credit/1", b"x"))
            await stopping.wait_until(lambda: made)
            stopping.run.stop()
            stopping.expire_stop_deadline()
            assert await client.status() == 502
            server = await stopping.accept_backend()
            inner(*made[0])
            await stopping.run_loop_turns()
            made[0][0].transport.abort()
            assert await server.read_to_end() == b""

        stopping.execute(scenario())


@pytest.mark.parametrize("first", ["stop", "reload"])
def test_a_reload_and_a_stop_at_the_same_moment_end_in_a_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    """Each comes twice, in both orders, while a request is open whose class the new file drops."""
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            client = stopping.connect_client(request("/credit/1", b"x"))
            server = await stopping.accept_backend()
            await server.message()
            file = Path(stopping.environ["PROXY_CONFIG"])
            whole = file.read_text()
            file.write_text(whole.replace('"credit"', '"other"'))
            for action in (first, "reload" if first == "stop" else "stop") * 2:
                getattr(stopping.run, action)()
            assert stopping.run.server.stopping
            server.send(answer(b"served"))
            first_line, headers, body = await client.message()
            assert (first_line.split(" ")[1], body) == ("200", b"served")
            assert headers["connection"] == "close"
            if stopping.run.drop_timer is not None:
                stopping.run.drop_timer.cancel()
                stopping.run.drop_classes(stopping.run.config)
            assert not stopping.run.node.unexpected_error_count

        stopping.execute(scenario())


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_request_on_an_idle_connection_at_the_moment_of_a_stop_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            client = stopping.connect_client(request())
            server = await stopping.accept_backend()
            await server.message()
            server.send(answer(b"1"))
            assert (await client.message())[1].get("connection") is None
            await stopping.wait_until(lambda: stopping.run.server.idle)
            if when == "before":
                client.send(request())  # the request waits in the kernel, unread
                stopping.run.stop()
            else:
                stopping.run.stop()
                client.send(request())
            assert (
                not stopping.run.server.try_finish()
            )  # a connection with unread data is not closed
            await server.message()
            server.send(answer(b"2"))
            _, headers, body = await client.message()
            assert (body, headers["connection"]) == (b"2", "close")
            await stopping.wait_until(stopping.run.server.try_finish)

        stopping.execute(scenario())


def test_small_writes_are_not_delayed_by_nagle_on_either_side(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stoppable_run(tmp_path, monkeypatch) as stopping:

        async def scenario() -> None:
            stopping.connect_client(request())
            server = await stopping.accept_backend()
            await server.message()
            (conn,) = stopping.run.server.connections
            (r,) = stopping.run.node.requests.values()
            carrier: Any = r.attempts[0].connection
            for transport in (conn._transport, carrier.transport):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            server.send(answer(b"1"))
            await stopping.wait_until(lambda: not stopping.run.node.requests)

        stopping.execute(scenario())


def test_a_state_that_trickles_in_does_not_delay_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a time-out for each piece instead of the whole state, a start could hang."""
    clock = [time.monotonic()]
    path = str(tmp_path / "line.sock")
    waits: list[float] = []

    class Line(socket.socket):
        def settimeout(self, value: float | None) -> None:
            assert value is not None
            waits.append(value)

        def recv(self, *_: Any) -> bytes:
            clock[0] += 0.3
            return b"x"

    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as old:
        old.bind(path)
        old.listen(1)
        monkeypatch.setattr("windrelay.handover.socket.socket", Line)
        monkeypatch.setattr("windrelay.handover.socket.recv_fds", lambda *_: (b"L", [], 0, None))
        monkeypatch.setattr("windrelay.handover.time.monotonic", lambda: clock[0])
        # Without a size limit the state would trickle in for ever.
        monkeypatch.setattr("windrelay.handover.MAX_STATE_BYTES", 6)
        assert receive_handover(path, Address("127.0.0.1", 0), lambda _text: None) is None
    assert waits[0] == HANDOVER_TIMEOUT_S and max(waits[-2:]) < 0.2
    assert len(os.listdir(tmp_path)) == 1
