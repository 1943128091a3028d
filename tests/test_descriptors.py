"""One owner for each descriptor: no second close, no leak, no look at a stranger's."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from flinthatch import Outcome
from windrelay import server as windrelay_server
from windrelay.config import Address
from windrelay.discovery import RegistryCall
from windrelay.node import Attempt
from windrelay.socket_view import SocketView
from windrelay.upstream import BackendConnection

from .harness import accept, listen, request, roster, target
from .inside import InProcessNode, in_process_node


class Strangers:
    """Descriptors that somebody else has by now; each must outlive the node's mistakes."""

    def __init__(self, count: int = 32) -> None:
        self.numbers = [os.open("/dev/null", os.O_RDONLY) for _ in range(count)]

    def check(self) -> None:
        gone = []
        for number in self.numbers:
            try:
                os.close(number)
            except OSError as err:
                assert err.errno == errno.EBADF
                gone.append(number)
        assert not gone, f"closed behind their owner's back: {gone}"


def attempt(one: InProcessNode) -> Attempt:
    """A probe's attempt: it needs no request and has one outcome like any other."""
    a = Attempt(None, 0, next(iter(one.node.discovery.backend_list.endpoints)), time.monotonic_ns())
    a.timeout = 10_000_000_000
    return a


def dialled(
    one: InProcessNode,
    monkeypatch: pytest.MonkeyPatch,
    made: Callable[[BackendConnection, Any], None],
) -> tuple[list[BackendConnection], Attempt]:
    """Send one attempt; `made` stands before what connection_made does."""
    conns: list[BackendConnection] = []
    inner = BackendConnection.connection_made

    def connection_made(self: BackendConnection, transport: Any) -> None:
        conns.append(self)  # kept: whatever it holds goes when the test says so
        made(self, transport)
        inner(self, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)
    a = attempt(one)

    async def drive() -> None:
        one.node.upstream.send(a)
        await one.wait_until(lambda: a.concluded)
        await one.wait_until(lambda: not one.node.upstream.descriptor_count)
        await one.run_loop_turns()

    one.run(drive())
    return conns, a


def reset_and_wait(backend: socket.socket, transport: Any) -> None:
    """The server resets; return when the kernel on the node's side knows."""
    accept(backend).reset()
    number = transport.get_extra_info("socket").fileno()
    with socket.socket(fileno=os.dup(number)) as twin:
        twin.setblocking(True)
        with pytest.raises(ConnectionError):
            while twin.recv(1):
                pass


def test_a_reset_before_the_first_write_closes_no_strangers_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The transport was lost before the loop had tied the dial's socket to it: the socket
    kept a number that was closed already, and closed it again when it was collected."""
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as one,
    ):
        conns, _ = dialled(one, monkeypatch, lambda _conn, t: reset_and_wait(backend, t))
        strangers = Strangers()
        conns.clear()
        gc.collect()
        strangers.check()


def test_a_dial_given_up_as_its_news_arrives_closes_no_strangers_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as one,
    ):

        def give_up(conn: BackendConnection, _transport: Any) -> None:
            assert conn.attempt is not None
            one.node.give_up(conn.attempt, Outcome.CANCELLED)

        conns, _ = dialled(one, monkeypatch, give_up)
        strangers = Strangers()
        conns.clear()
        gc.collect()
        strangers.check()
        accept(backend).close()


@pytest.mark.parametrize("turns", range(8))
def test_a_dial_given_up_after_any_number_of_turns_is_counted_out_once(
    tmp_path: Path, turns: int
) -> None:
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as one,
    ):
        a = attempt(one)

        async def drive() -> None:
            one.node.upstream.send(a)
            await one.run_loop_turns(turns)
            one.node.give_up(a, Outcome.TIMEOUT)
            await one.wait_until(lambda: not one.node.upstream.descriptor_count)
            await one.run_loop_turns()

        one.run(drive())
        strangers = Strangers()
        gc.collect()
        strangers.check()
        assert one.node.upstream.descriptor_count == 0 and not one.node.unexpected_error_count


def test_a_loop_that_was_late_does_not_take_a_finished_dial_for_a_failed_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The dial's time is up before the loop has looked at what the kernel finished long ago."""
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as one,
    ):
        a = attempt(one)
        a_conn: list[BackendConnection] = []

        async def drive() -> None:
            one.node.upstream.send(a)
            assert isinstance(a.connection, BackendConnection)
            a_conn.append(a.connection)
            await one.run_loop_turns(2)  # connecting, and not told yet
            dial_timeout = one.config.settings.connect_timeout / 1e9
            time.sleep(dial_timeout * 1.5)
            await one.wait_until(lambda: a_conn[0].transport is not None or a.concluded)
            await one.run_loop_turns()

        monkeypatch.setattr(
            "windrelay.upstream.BackendConnection._write_request", lambda self: None
        )
        one.run(drive())
        assert not a.concluded and a_conn[0].transport is not None
        one.run(asyncio.sleep(0))
        one.node.give_up(a, Outcome.CANCELLED)


def test_a_glance_never_closes() -> None:
    left, right = socket.socketpair()
    number = left.fileno()

    class Transport(asyncio.BaseTransport):
        def get_extra_info(self, name: str, default: Any = None) -> Any:
            return left

    for end in (SocketView.release, SocketView.close, lambda _: None):
        glance = SocketView(Transport())
        assert glance.fileno() == number
        end(glance)
        del glance
        gc.collect()
        os.fstat(number)
    left.close()
    right.close()


def test_a_welcome_that_fails_at_once_leaks_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop had not taken the number yet: nobody but us can close it."""
    with in_process_node(tmp_path, roster()) as one:
        port = one.server.listen(one.config.listen)
        tried: list[socket.socket] = []
        before = len(os.listdir("/proc/self/fd"))

        class Loop:
            """The node's loop, but for taking over sockets."""

            def __getattr__(self, name: str) -> Any:
                return getattr(one.loop, name)

            async def connect_accepted_socket(self, _factory: Any, sock: socket.socket) -> None:
                tried.append(sock)
                raise OSError(errno.EEXIST, "File exists")

        one.node.loop = Loop()  # type: ignore[assignment]

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            client.sendall(request())
            await one.wait_until(lambda: tried)
            await one.wait_until(lambda: not one.node.client_count)
            client.close()

        one.run(drive())
        one.node.loop = one.loop
        assert tried[0].fileno() == -1
        tried.clear()
        assert len(os.listdir("/proc/self/fd")) == before


@pytest.mark.parametrize("number", sorted(windrelay_server.ACCEPT_RETRY_ERRNOS))
def test_an_error_of_one_waiting_connection_hides_none_behind_it(
    tmp_path: Path, number: int
) -> None:
    """accept passes on what is wrong with the one it took; the listener is sound."""
    with in_process_node(tmp_path, roster()) as one:
        port = one.server.listen(one.config.listen)
        real: Any = one.server._listener
        left = [OSError(number, os.strerror(number))] * 3

        class Listener:
            def accept(self) -> Any:
                if left:
                    raise left.pop()
                return real.accept()

        one.server._listener = Listener()  # type: ignore[assignment]

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            await one.wait_until(lambda: one.server.connections)
            client.close()

        one.run(drive())
        one.server._listener = real
        assert not one.server._accept_paused


@pytest.mark.parametrize("turns", range(6))
def test_a_welcome_cancelled_after_any_number_of_turns_leaks_nothing(
    tmp_path: Path, turns: int
) -> None:
    with in_process_node(tmp_path, roster()) as one:
        port = one.server.listen(one.config.listen)

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            one.server._accept()  # now, not when the loop gets to it: the turns are counted
            tasks = list(one.server._accept_tasks)
            assert tasks
            await one.run_loop_turns(turns)
            for task in tasks:
                task.cancel()
            await one.wait_until(lambda: not one.server._accept_tasks)
            client.close()
            await one.wait_until(lambda: not one.node.client_count)

        one.run(drive())
        strangers = Strangers()
        gc.collect()
        strangers.check()
        assert one.node.client_count == 0 and not one.node.unexpected_error_count


@pytest.mark.parametrize("turns", range(8))
def test_a_call_of_the_list_dropped_after_any_number_of_turns_leaks_nothing(
    tmp_path: Path, turns: int
) -> None:
    with listen() as service, in_process_node(tmp_path, roster()) as one:
        ended: list[object] = []

        async def drive() -> None:
            address = Address("127.0.0.1", service.getsockname()[1])
            call = RegistryCall(address, "/registry/instances", 5.0, ended.append)
            await one.run_loop_turns(turns)
            call.abort()
            await one.run_loop_turns()

        one.run(drive())
        strangers = Strangers()
        gc.collect()
        strangers.check()
        assert not ended and not one.node.unexpected_error_count
