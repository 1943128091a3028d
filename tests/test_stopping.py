"""A node that is told to end: what comes between that word and its exit, each crossing forced.

A run is driven inside the test's own loop. Its times are long here, and what is due is called by
the test: nothing hangs on how quick the machine is.
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
from windrelay.__main__ import KILL_S, TERM_MOST_S, Run
from windrelay.config import Address, load
from windrelay.handover import CLAIM_S, claim
from windrelay.upstream import BackendConnection

from .harness import HANG_TIMEOUT_S, SETTINGS, answer, config, request, roster, target
from .race_harness import ScriptedPeer

BALANCE, CREDIT = SETTINGS["classes"]


class Stopping:
    """A run before one server of the test's, on a loop of its own."""

    def __init__(self, tmp_path: Path, backend: socket.socket, **over: Any) -> None:
        self.environ = config(tmp_path, roster(target("s-1", backend.getsockname()[1])), 1, **over)
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.run = Run(load(self.environ), self.loop)
        self.log_lines: list[str] = []
        self.run.node.log = self.log_lines.append  # type: ignore[method-assign, assignment]
        self.backend = backend
        self.ends: list[ScriptedPeer] = []

    def begin(self) -> None:
        self.run.node.start()
        self.port = self.run.server.listen(self.run.config.listen)

    def drive(self, story: Any) -> None:
        self.loop.run_until_complete(asyncio.wait_for(story, HANG_TIMEOUT_S))

    async def wait_until(self, condition: Any) -> None:
        while not condition():
            await asyncio.sleep(0.001)

    async def run_loop_turns(self, count: int = 20) -> None:
        for _ in range(count):
            await asyncio.sleep(0)

    def client(self, data: bytes = b"") -> ScriptedPeer:
        end = ScriptedPeer(self.loop, socket.create_connection(("127.0.0.1", self.port)))
        self.ends.append(end)
        if data:
            end.send(data)
        return end

    async def server(self) -> ScriptedPeer:
        sock, _ = await self.loop.sock_accept(self.backend)
        self.ends.append(end := ScriptedPeer(self.loop, sock))
        return end

    def late(self) -> None:
        """The end of the time that a stop has."""
        self.run.give_up_at = self.loop.time() - 1.0
        self.run.wait()


@contextlib.contextmanager
def stopping(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, **over: Any) -> Iterator[Stopping]:
    monkeypatch.setattr(main, "ACCEPT_S", 1000.0)
    monkeypatch.setattr(main, "POLL_S", 1000.0)
    with socket.create_server(("127.0.0.1", 0)) as backend:
        backend.setblocking(False)
        one = Stopping(tmp_path, backend, **over)
        try:

            async def begin() -> None:
                one.begin()

            one.drive(begin())
            yield one
        finally:
            for end in one.ends:
                end.close()
            one.loop.close()
            asyncio.set_event_loop(None)


@pytest.mark.parametrize(("deadline_s", "most_s"), [(1, 1.0), (3, 3.0), (10, 3.0), (600, 3.0)])
def test_a_stop_is_over_before_the_kill_whatever_the_deadlines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, deadline_s: int, most_s: float
) -> None:
    """SIGKILL waits for the longest deadline, and for 3 s of it at the most."""
    classes = [BALANCE | {"deadline": deadline_s * 1_000_000_000}]
    with stopping(tmp_path, monkeypatch, settings={"classes": classes}) as s:

        async def story() -> None:
            before = s.loop.time()
            s.run.stop()
            assert before + most_s < s.run.give_up_at < s.loop.time() + most_s + KILL_S
            assert most_s <= TERM_MOST_S
            given = s.run.give_up_at
            s.run.stop()  # a second word changes nothing
            assert s.run.give_up_at == given

        s.drive(story())


@pytest.mark.parametrize("path", ["/balance/1", "/credit/1"])
def test_what_a_hung_server_holds_at_the_end_is_failed_and_never_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            client = s.client(request(path, b"x" if "credit" in path else None))
            server = await s.server()
            await server.message()
            s.run.stop()
            s.late()
            first, headers, _ = await client.message()
            assert first.split(" ")[1] == "502" and headers["connection"] == "close"
            server.send(answer(b"late"))
            assert await client.read_to_end() == b""

        s.drive(story())


def test_a_request_whose_rest_comes_in_the_last_moment_is_refused_and_not_sent_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Read between the last word to all and the exit it was begun, sent on, and lost."""
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            whole = request("/credit/1", b"x")
            client = s.client(whole[:40])
            await s.wait_until(lambda: any(c._incoming for c in s.run.server.connections))
            s.run.stop()
            s.late()
            client.send(whole[40:])
            assert await client.status() == 503
            assert not s.run.node.upstream.descriptor_count and not s.run.node.requests
            assert not s.run.node.budget.held_bytes

        s.drive(story())


def test_a_dial_that_comes_up_after_the_last_word_carries_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[Any] = []
    inner = BackendConnection.connection_made
    monkeypatch.setattr(BackendConnection, "connection_made", lambda c, t: made.append((c, t)))
    monkeypatch.setattr(BackendConnection, "_dial_expired", lambda *_: None)
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            client = s.client(request("/credit/1", b"x"))
            await s.wait_until(lambda: made)
            s.run.stop()
            s.late()
            assert await client.status() == 502
            server = await s.server()
            inner(*made[0])
            await s.run_loop_turns()
            made[0][0].transport.abort()
            assert await server.read_to_end() == b""

        s.drive(story())


@pytest.mark.parametrize("first", ["stop", "reload"])
def test_a_reload_and_a_stop_in_one_moment_end_in_a_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: str
) -> None:
    """Each twice, in both orders, with a request open whose class the new file drops."""
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            client = s.client(request("/credit/1", b"x"))
            server = await s.server()
            await server.message()
            file = Path(s.environ["PROXY_CONFIG"])
            whole = file.read_text()
            file.write_text(whole.replace('"credit"', '"other"'))
            for what in (first, "reload" if first == "stop" else "stop") * 2:
                getattr(s.run, what)()
            assert s.run.server.stopping
            server.send(answer(b"served"))
            first_line, headers, body = await client.message()
            assert (first_line.split(" ")[1], body) == ("200", b"served")
            assert headers["connection"] == "close"
            if s.run.dropping is not None:
                s.run.dropping.cancel()
                s.run.drop(s.run.config)
            assert not s.run.node.unexpected_error_count

        s.drive(story())


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_request_on_a_resting_connection_in_the_moment_of_the_word_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            client = s.client(request())
            server = await s.server()
            await server.message()
            server.send(answer(b"1"))
            assert (await client.message())[1].get("connection") is None
            await s.wait_until(lambda: s.run.server.idle)
            if when == "before":
                client.send(request())  # it lies in the kernel, unread
                s.run.stop()
            else:
                s.run.stop()
                client.send(request())
            assert not s.run.server.try_finish()  # what lies unread is not closed over
            await server.message()
            server.send(answer(b"2"))
            _, headers, body = await client.message()
            assert (body, headers["connection"]) == (b"2", "close")
            await s.wait_until(s.run.server.try_finish)

        s.drive(story())


def test_small_writes_are_held_back_on_neither_side(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with stopping(tmp_path, monkeypatch) as s:

        async def story() -> None:
            s.client(request())
            server = await s.server()
            await server.message()
            (conn,) = s.run.server.connections
            (r,) = s.run.node.requests.values()
            carrier: Any = r.attempts[0].connection
            for transport in (conn._transport, carrier.transport):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            server.send(answer(b"1"))
            await s.wait_until(lambda: not s.run.node.requests)

        s.drive(story())


def test_a_state_that_trickles_in_holds_up_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound is on all of it: each piece used to have a second of its own."""
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
        monkeypatch.setattr("windrelay.handover.STATE_MOST", 6)  # or it would trickle for good
        assert claim(path, Address("127.0.0.1", 0), lambda _text: None) is None
    assert waits[0] == CLAIM_S and max(waits[-2:]) < 0.2
    assert len(os.listdir(tmp_path)) == 1
