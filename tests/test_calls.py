"""Management calls: the answers of the management address, and what each call does to the node."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from flinthatch import Balancer, Listing, Settings, State, Update
from flinthatch.balancer import TIMER_WAKE
from windrelay.management import MAX_CALL_BYTES, MAX_CONNECTIONS, CallError, execute_call
from windrelay.upstream import BackendConnection

from .fakes import MS, PURE, SECOND, UNSAFE, RecordingHost, build_balancer, ready_listings
from .harness import (
    HANG_TIMEOUT_S,
    Peer,
    RunningNode,
    accept,
    answer,
    listen,
    node,
    request,
    roster,
    target,
)
from .inside import in_process_node

# ---- bans in the Balancer -----------------------------------------------


def sent_backends(host: RecordingHost) -> list[object]:
    """Return the backends of all sends, in their order."""
    return [call[2] for call in host.calls_named("send")]


def balancer_with_backends(
    count: int = 3, slow_start: int = 8 * SECOND
) -> tuple[Balancer, RecordingHost]:
    return build_balancer(
        Settings(classes=(PURE, UNSAFE), max_attempts=4, slow_start=slow_start), count=count
    )


def send_requests(balancer: Balancer, now: int, count: int, first: int = 0) -> None:
    """Hand this many requests to the Balancer."""
    for i in range(first, first + count):
        balancer.on_request(now, i, 0, SECOND)


@pytest.mark.parametrize("update", list(Update))
def test_a_banned_backend_gets_no_request_whatever_the_list_says(update: Update) -> None:
    balancer, host = balancer_with_backends()
    balancer.ban(0, 100)
    balancer.ban(0, 100)  # an exclude call may be repeated
    if update != Update.FAILED:
        boot = 1 * SECOND  # a new start time does not end the ban either
        balancer.on_backend_list(
            SECOND, update, [r._replace(started_at=boot) for r in ready_listings(3)]
        )
    send_requests(balancer, 2 * SECOND, 20)
    assert 100 not in sent_backends(host) and sent_backends(host)


def test_a_ban_outlives_the_backend_and_applies_when_its_id_comes_back() -> None:
    balancer, host = balancer_with_backends()
    balancer.ban(0, 100)
    balancer.on_backend_list(0, Update.DELTA, [Listing(100, State.GONE)])
    assert 100 not in balancer.backends
    balancer.on_backend_list(SECOND, Update.DELTA, [Listing(100, State.READY)])
    send_requests(balancer, SECOND, 20)
    assert 100 not in sent_backends(host)


def test_one_include_ends_a_repeated_ban_and_the_backend_starts_slowly() -> None:
    balancer, host = balancer_with_backends(count=1)
    balancer.ban(0, 100)
    balancer.ban(0, 100)
    send_requests(balancer, 0, 1)
    assert not sent_backends(host)
    balancer.lift_ban(MS, 100)
    assert sent_backends(host) == [100]  # the queued request is sent
    assert balancer.backends[100].slow_start_until == MS + 8 * SECOND
    send_requests(balancer, MS, 3, first=1)
    assert sent_backends(host) == [100]  # in slow start, not everything at once
    balancer.on_timer(MS + 2 * SECOND, TIMER_WAKE)


def test_an_include_without_a_ban_causes_no_slow_start() -> None:
    balancer, _ = balancer_with_backends()
    balancer.lift_ban(0, 100)
    balancer.lift_ban(0, 999)
    assert balancer.backends[100].slow_start_until == 0


def test_an_include_of_a_draining_backend_sends_it_no_request() -> None:
    balancer, host = balancer_with_backends()
    balancer.ban(0, 100)
    balancer.on_backend_list(0, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.lift_ban(0, 100)
    send_requests(balancer, 0, 20)
    assert 100 not in sent_backends(host)


def test_an_attempt_at_a_banned_backend_runs_on_to_its_answer() -> None:
    balancer, host = balancer_with_backends(count=1)
    send_requests(balancer, 0, 1)
    balancer.ban(0, 100)
    balancer.on_outcome(MS, 0, 0, 1, MS, True)
    assert (
        not host.calls_named("fail") and not host.calls_named("refuse") and balancer.in_flight == 0
    )


def test_a_ban_of_an_ejected_backend_keeps_the_count_of_ejected_ones() -> None:
    balancer, _ = balancer_with_backends(count=4)
    balancer.eject(0, balancer.backends[100], "test")
    assert balancer.ejected_count == 1
    balancer.ban(0, 100)
    assert balancer.ejected_count == 0
    balancer.lift_ban(0, 100)
    assert balancer.ejected_count == 0 and balancer.backends[100].state == State.READY


# ---- parsing of calls ---------------------------------------------------


class RecordingControls:
    """Records the calls it gets; it is never ready."""

    def __init__(self) -> None:
        self.received: list[tuple[str, ...]] = []

    def readyz(self) -> None:
        raise CallError("not yet")

    def exclude(self, uid: str) -> None:
        self.received.append(("exclude", uid))

    def include(self, uid: str) -> None:
        self.received.append(("include", uid))

    def evacuate(self) -> None:
        self.received.append(("evacuate",))

    def activate(self) -> None:
        self.received.append(("activate",))


@pytest.mark.parametrize(
    "line,calls",
    [
        (b"exclude s-1", [("exclude", "s-1")]),
        (b"  include   s-1 \r", [("include", "s-1")]),
        (b"evacuate", [("evacuate",)]),
        (b"activate", [("activate",)]),
    ],
)
def test_a_valid_call_is_carried_out(line: bytes, calls: list[tuple[str, ...]]) -> None:
    controls = RecordingControls()
    assert execute_call(controls, line) == b"done\n" and controls.received == calls


@pytest.mark.parametrize(
    "line",
    [b"", b"exclude", b"exclude a b", b"evacuate now", b"crashed x", b"__init__", b"READYZ",
     b"\xff\xfe", b"readyz"],
)  # fmt: skip
def test_an_invalid_call_gets_one_line_with_the_reason(line: bytes) -> None:
    controls = RecordingControls()
    text = execute_call(controls, line)
    assert text.startswith(b"error: ") and text.count(b"\n") == 1 and text.endswith(b"\n")
    assert not controls.received


# ---- on sockets ---------------------------------------------------------


@contextlib.contextmanager
def node_with_calls(tmp_path: Path, backends: int = 1, **over: Any) -> Iterator[
    tuple[RunningNode, list[socket.socket], int]
]:  # fmt: skip
    """Run a node with a management address, whose port is read from the node's log."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(listen()) for _ in range(backends)]
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(socks)))
        running_node = stack.enter_context(node(tmp_path, known, mgmt="127.0.0.1:0", **over))
        assert running_node.process.stderr is not None
        line = running_node.process.stderr.readline()
        assert "calls at" in line, line
        yield running_node, socks, int(line.rsplit(":", 1)[1])


def send_call(port: int, text: str) -> str:
    """Send one line to the management address and return the answer."""
    with socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S) as sock:
        peer = Peer(sock)
        peer.send(text.encode())
        return peer.read_to_end().decode()


def readiness_status(running_node: RunningNode) -> str:
    """Return the status of a readiness probe."""
    client = running_node.connect()
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = client.message()[0].split(" ")[1]
    client.close()
    return status


def test_calls_are_answered_however_many_connections_are_silent(tmp_path: Path) -> None:
    with node_with_calls(tmp_path) as (_, _socks, port):
        silent = [
            socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S)
            for _ in range(2 * MAX_CONNECTIONS)
        ]
        silent[-1].sendall(b"exclu")
        for _ in range(3):
            assert send_call(port, "readyz\n") == "done\n"
        # The oldest silent connections were closed to make room, the latest were not.
        assert Peer(silent[0]).read_to_end() == b""
        silent[-1].sendall(b"de s-0\n")
        assert Peer(silent[-1]).read_to_end() == b"done\n"
        for sock in silent:
            sock.close()


def test_a_call_without_an_end_or_for_an_unknown_backend_gets_an_error(tmp_path: Path) -> None:
    with node_with_calls(tmp_path) as (_, _socks, port):
        assert send_call(port, "exclude s-99\n").startswith("error: no backend of this id")
        assert send_call(port, "include s-99\n").startswith("error")
        assert send_call(port, "x" * (MAX_CALL_BYTES + 1)).startswith("error")
        with socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S) as sock:
            sock.sendall(b"evacuate")
            sock.shutdown(socket.SHUT_WR)
            assert Peer(sock).read_to_end().startswith(b"error: half a call")


def test_an_excluded_backend_gets_no_request_until_it_is_included(tmp_path: Path) -> None:
    with node_with_calls(tmp_path, backends=2) as (running_node, socks, port):
        # Each backend has an idle connection.
        clients = [running_node.connect() for _ in range(2)]
        for client in clients:
            client.send(request())
        peers = [accept(s) for s in socks]
        for peer in peers:
            peer.message()
            peer.send(answer(b"x"))
        for client in clients:
            client.message()
        assert send_call(port, "exclude s-0\n") == "done\n"
        assert peers[0].read_to_end() == b""  # the idle connection to it was closed
        for _ in range(4):
            clients[0].send(request())
            peers[1].message()
            peers[1].send(answer(b"y"))
            assert clients[0].message()[2] == b"y"
        assert send_call(port, "exclude s-1\n") == "done\n"
        assert send_call(port, "include s-0\n") == "done\n"
        clients[0].send(request())
        back = accept(socks[0])
        back.message()
        back.send(answer(b"z"))
        assert clients[0].message()[2] == b"z"


def test_a_pending_connection_carries_nothing_to_an_excluded_backend(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A send counts from its first byte: an attempt that still waits for its connection goes to
    another backend."""
    connect = BackendConnection._connect
    held: list[BackendConnection] = []

    async def first_connect_hangs(conn: BackendConnection) -> None:
        held.append(conn)
        if len(held) == 1:
            await asyncio.get_running_loop().create_future()
        await connect(conn)

    monkeypatch.setattr(BackendConnection, "_connect", first_connect_hangs)
    with listen() as one, listen() as other:
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((one, other))))
        with in_process_node(tmp_path, known) as in_process:

            async def scenario() -> None:
                port = in_process.server.listen(in_process.config.listen)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request("/credit/1", b"b"))
                await in_process.wait_until(lambda: held)
                dial = held[0]
                in_process.node.exclude(dial.backend)
                (r,) = in_process.node.requests.values()
                assert [a.concluded for a in r.attempts] == [True, False]
                assert r.attempts[1].backend != dial.backend
                sock = one if one.getsockname()[1] != dial.address.port else other
                peer = await asyncio.to_thread(accept, sock)
                await asyncio.to_thread(peer.message)
                peer.send(answer(b"once"))
                assert b"200 OK" in await reader.readuntil(b"\r\n")
                writer.close()
                peer.close()

            in_process.run(scenario())


def test_an_evacuated_node_closes_idle_connections_and_serves_late_requests(tmp_path: Path) -> None:
    with node_with_calls(tmp_path) as (running_node, socks, port):
        resting, busy = running_node.connect(), running_node.connect()
        resting.send(request())
        peer = accept(socks[0])
        peer.message()
        peer.send(answer(b"x"))
        resting.message()
        busy.send(request())
        peer.message()
        assert send_call(port, "evacuate\n") == "done\n"
        assert readiness_status(running_node) == "503"
        assert send_call(port, "readyz\n") == "done\n"  # an evacuated process can serve
        assert resting.read_to_end() == b""
        late = running_node.connect()  # the front has not seen the 503 yet
        late.send(request("/credit/1", b"b"))
        second = accept(socks[0])
        second.message()
        peer.send(answer(b"kept"))
        line, headers, body = busy.message()
        assert line.endswith("200 OK") and headers["connection"] == "close" and body == b"kept"
        second.send(answer(b"late"))
        line, headers, body = late.message()
        assert headers["connection"] == "close" and body == b"late"
        assert busy.read_to_end() == b"" and late.read_to_end() == b""
        assert send_call(port, "activate\n") == "done\n"
        assert readiness_status(running_node) == "200"
        again = running_node.connect()
        again.send(request())
        peers = {peer.sock: peer, second.sock: second}
        third = peers[select.select(list(peers), [], [], HANG_TIMEOUT_S)[0][0]]
        third.message()
        third.send(answer(b"on"))
        assert "connection" not in again.message()[1]
