"""Each descriptor has one owner: none is leaked, closed twice, or used after its close."""

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


class ForeignDescriptors:
    """Open descriptors with numbers that the node has closed; it must not close them too."""

    def __init__(self, count: int = 32) -> None:
        self.descriptors = [os.open("/dev/null", os.O_RDONLY) for _ in range(count)]

    def check(self) -> None:
        """Close the descriptors; fails if one was already closed by somebody else."""
        closed = []
        for descriptor in self.descriptors:
            try:
                os.close(descriptor)
            except OSError as err:
                assert err.errno == errno.EBADF
                closed.append(descriptor)
        assert not closed, f"closed by another owner: {closed}"


def probe_attempt(in_process: InProcessNode) -> Attempt:
    """Build a health probe's attempt, which needs no request and has one outcome like any other."""
    attempt = Attempt(
        None, 0, next(iter(in_process.node.discovery.backend_list.endpoints)), time.monotonic_ns()
    )
    attempt.timeout = 10_000_000_000
    return attempt


def send_attempt(
    in_process: InProcessNode,
    monkeypatch: pytest.MonkeyPatch,
    before_connection_made: Callable[[BackendConnection, Any], None],
) -> tuple[list[BackendConnection], Attempt]:
    """Send one attempt; `before_connection_made` runs before each connection_made."""
    connections: list[BackendConnection] = []
    original = BackendConnection.connection_made

    def connection_made(self: BackendConnection, transport: Any) -> None:
        connections.append(self)  # keeps what the connection holds until the test clears the list
        before_connection_made(self, transport)
        original(self, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made)
    attempt = probe_attempt(in_process)

    async def drive() -> None:
        in_process.node.upstream.send(attempt)
        await in_process.wait_until(lambda: attempt.concluded)
        await in_process.wait_until(lambda: not in_process.node.upstream.descriptor_count)
        await in_process.run_loop_turns()

    in_process.run(drive())
    return connections, attempt


def reset_and_wait(backend: socket.socket, transport: Any) -> None:
    """Reset the connection from the backend; returns when the node's kernel has seen the reset."""
    accept(backend).reset()
    descriptor = transport.get_extra_info("socket").fileno()
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        duplicate.setblocking(True)
        with pytest.raises(ConnectionError):
            while duplicate.recv(1):
                pass


def test_a_reset_before_the_first_write_closes_no_foreign_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The transport is lost before the event loop has tied the dial's socket to it.

    The socket then keeps a descriptor number that is already closed, and would close it again
    when the socket is garbage-collected.
    """
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as in_process,
    ):
        connections, _ = send_attempt(
            in_process, monkeypatch, lambda _conn, transport: reset_and_wait(backend, transport)
        )
        foreign = ForeignDescriptors()
        connections.clear()
        gc.collect()
        foreign.check()


def test_an_attempt_cancelled_as_its_dial_completes_closes_no_foreign_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node cancels the attempt inside the callback that reports the new connection."""
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as in_process,
    ):

        def give_up(conn: BackendConnection, _transport: Any) -> None:
            assert conn.attempt is not None
            in_process.node.give_up(conn.attempt, Outcome.CANCELLED)

        connections, _ = send_attempt(in_process, monkeypatch, give_up)
        foreign = ForeignDescriptors()
        connections.clear()
        gc.collect()
        foreign.check()
        accept(backend).close()


@pytest.mark.parametrize("turns", range(8))
def test_a_dial_given_up_after_any_number_of_loop_turns_is_uncounted_once(
    tmp_path: Path, turns: int
) -> None:
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as in_process,
    ):
        attempt = probe_attempt(in_process)

        async def drive() -> None:
            in_process.node.upstream.send(attempt)
            await in_process.run_loop_turns(turns)
            in_process.node.give_up(attempt, Outcome.TIMEOUT)
            await in_process.wait_until(lambda: not in_process.node.upstream.descriptor_count)
            await in_process.run_loop_turns()

        in_process.run(drive())
        foreign = ForeignDescriptors()
        gc.collect()
        foreign.check()
        assert (
            in_process.node.upstream.descriptor_count == 0
            and not in_process.node.unexpected_error_count
        )


def test_a_late_event_loop_does_not_fail_an_established_dial(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The dial times out before the loop has polled a connection that the kernel established."""
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as in_process,
    ):
        attempt = probe_attempt(in_process)
        connections: list[BackendConnection] = []

        async def drive() -> None:
            in_process.node.upstream.send(attempt)
            assert isinstance(attempt.connection, BackendConnection)
            connections.append(attempt.connection)
            # The dial is connecting, and the loop has not reported the connection yet.
            await in_process.run_loop_turns(2)
            dial_timeout = in_process.config.settings.connect_timeout / 1e9
            time.sleep(dial_timeout * 1.5)
            await in_process.wait_until(
                lambda: connections[0].transport is not None or attempt.concluded
            )
            await in_process.run_loop_turns()

        monkeypatch.setattr(
            "windrelay.upstream.BackendConnection._write_request", lambda self: None
        )
        in_process.run(drive())
        assert not attempt.concluded and connections[0].transport is not None
        in_process.run(asyncio.sleep(0))
        in_process.node.give_up(attempt, Outcome.CANCELLED)


def test_a_socket_view_never_closes_its_descriptor() -> None:
    left, right = socket.socketpair()
    descriptor = left.fileno()

    class Transport(asyncio.BaseTransport):
        def get_extra_info(self, name: str, default: Any = None) -> Any:
            return left

    for end_view in (SocketView.release, SocketView.close, lambda _: None):
        view = SocketView(Transport())
        assert view.fileno() == descriptor
        end_view(view)
        del view
        gc.collect()
        os.fstat(descriptor)
    left.close()
    right.close()


def test_an_accepted_socket_that_the_loop_rejects_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop has not taken the descriptor over, so only the node can close it."""
    with in_process_node(tmp_path, roster()) as in_process:
        port = in_process.server.listen(in_process.config.listen)
        accepted: list[socket.socket] = []
        descriptors_before = len(os.listdir("/proc/self/fd"))

        class FailingLoop:
            """The node's event loop, except that it fails to take over accepted sockets."""

            def __getattr__(self, name: str) -> Any:
                return getattr(in_process.loop, name)

            async def connect_accepted_socket(self, _factory: Any, sock: socket.socket) -> None:
                accepted.append(sock)
                raise OSError(errno.EEXIST, "File exists")

        in_process.node.loop = FailingLoop()  # type: ignore[assignment]

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            client.sendall(request())
            await in_process.wait_until(lambda: accepted)
            await in_process.wait_until(lambda: not in_process.node.client_count)
            client.close()

        in_process.run(drive())
        in_process.node.loop = in_process.loop
        assert accepted[0].fileno() == -1
        accepted.clear()
        assert len(os.listdir("/proc/self/fd")) == descriptors_before


@pytest.mark.parametrize("error_number", sorted(windrelay_server.ACCEPT_RETRY_ERRNOS))
def test_an_accept_error_of_one_connection_does_not_block_the_next(
    tmp_path: Path, error_number: int
) -> None:
    """accept reports an error of the connection that it took; the listener itself is sound."""
    with in_process_node(tmp_path, roster()) as in_process:
        port = in_process.server.listen(in_process.config.listen)
        real_listener: Any = in_process.server._listener
        errors_left = [OSError(error_number, os.strerror(error_number))] * 3

        class Listener:
            def accept(self) -> Any:
                if errors_left:
                    raise errors_left.pop()
                return real_listener.accept()

        in_process.server._listener = Listener()  # type: ignore[assignment]

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            await in_process.wait_until(lambda: in_process.server.connections)
            client.close()

        in_process.run(drive())
        in_process.server._listener = real_listener
        assert not in_process.server._accept_paused


@pytest.mark.parametrize("turns", range(6))
def test_an_accept_task_cancelled_after_any_number_of_loop_turns_leaks_nothing(
    tmp_path: Path, turns: int
) -> None:
    with in_process_node(tmp_path, roster()) as in_process:
        port = in_process.server.listen(in_process.config.listen)

        async def drive() -> None:
            client = socket.create_connection(("127.0.0.1", port))
            in_process.server._accept()  # directly: the loop turns are counted from here
            tasks = list(in_process.server._accept_tasks)
            assert tasks
            await in_process.run_loop_turns(turns)
            for task in tasks:
                task.cancel()
            await in_process.wait_until(lambda: not in_process.server._accept_tasks)
            client.close()
            await in_process.wait_until(lambda: not in_process.node.client_count)

        in_process.run(drive())
        foreign = ForeignDescriptors()
        gc.collect()
        foreign.check()
        assert in_process.node.client_count == 0 and not in_process.node.unexpected_error_count


@pytest.mark.parametrize("turns", range(8))
def test_a_registry_call_aborted_after_any_number_of_loop_turns_leaks_nothing(
    tmp_path: Path, turns: int
) -> None:
    with listen() as registry, in_process_node(tmp_path, roster()) as in_process:
        results: list[object] = []

        async def drive() -> None:
            address = Address("127.0.0.1", registry.getsockname()[1])
            call = RegistryCall(address, "/registry/instances", 5.0, results.append)
            await in_process.run_loop_turns(turns)
            call.abort()
            await in_process.run_loop_turns()

        in_process.run(drive())
        foreign = ForeignDescriptors()
        gc.collect()
        foreign.check()
        assert not results and not in_process.node.unexpected_error_count
