"""The operators' calls: what their address answers, and what a call does to the node."""

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
from windrelay.management import LINE_MOST, MOST, CallError, carry_out
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

# ---- the module ---------------------------------------------------------


def sends(host: RecordingHost) -> list[object]:
    return [call[2] for call in host.calls_named("send")]


def built(count: int = 3, cold: int = 8 * SECOND) -> tuple[Balancer, RecordingHost]:
    return build_balancer(
        Settings(classes=(PURE, UNSAFE), max_attempts=4, slow_start=cold), count=count
    )


def ask(balancer: Balancer, now: int, count: int, first: int = 0) -> None:
    for i in range(first, first + count):
        balancer.on_request(now, i, 0, SECOND)


@pytest.mark.parametrize("update", list(Update))
def test_whatever_the_list_says_a_banned_backend_gets_nothing_new(update: Update) -> None:
    balancer, host = built()
    balancer.ban(0, 100)
    balancer.ban(0, 100)  # calls out may be repeated
    if update != Update.FAILED:
        boot = 1 * SECOND  # even a start that is told anew
        balancer.on_backend_list(
            SECOND, update, [r._replace(started_at=boot) for r in ready_listings(3)]
        )
    ask(balancer, 2 * SECOND, 20)
    assert 100 not in sends(host) and sends(host)


def test_a_ban_outlives_the_backend_and_binds_the_one_that_comes_back_under_its_id() -> None:
    balancer, host = built()
    balancer.ban(0, 100)
    balancer.on_backend_list(0, Update.DELTA, [Listing(100, State.GONE)])
    assert 100 not in balancer.backends
    balancer.on_backend_list(SECOND, Update.DELTA, [Listing(100, State.READY)])
    ask(balancer, SECOND, 20)
    assert 100 not in sends(host)


def test_one_call_back_ends_a_ban_and_the_backend_is_cold() -> None:
    balancer, host = built(count=1)
    balancer.ban(0, 100)
    balancer.ban(0, 100)
    ask(balancer, 0, 1)
    assert not sends(host)
    balancer.lift_ban(MS, 100)
    assert sends(host) == [100]  # what waited is served
    assert balancer.backends[100].slow_start_until == MS + 8 * SECOND
    ask(balancer, MS, 3, first=1)
    assert sends(host) == [100]  # and not all at once
    balancer.on_timer(MS + 2 * SECOND, TIMER_WAKE)


def test_a_call_back_without_a_ban_does_not_make_a_backend_cold() -> None:
    balancer, _ = built()
    balancer.lift_ban(0, 100)
    balancer.lift_ban(0, 999)
    assert balancer.backends[100].slow_start_until == 0


def test_a_call_back_of_one_that_drains_meanwhile_leaves_it_alone() -> None:
    balancer, host = built()
    balancer.ban(0, 100)
    balancer.on_backend_list(0, Update.DELTA, [Listing(100, State.DRAINING)])
    balancer.lift_ban(0, 100)
    ask(balancer, 0, 20)
    assert 100 not in sends(host)


def test_what_a_banned_backend_holds_goes_on_to_its_answer() -> None:
    balancer, host = built(count=1)
    ask(balancer, 0, 1)
    balancer.ban(0, 100)
    balancer.on_outcome(MS, 0, 0, 1, MS, True)
    assert (
        not host.calls_named("fail") and not host.calls_named("refuse") and balancer.in_flight == 0
    )


def test_a_ban_of_a_backend_ejected_keeps_the_count_of_those() -> None:
    balancer, _ = built(count=4)
    balancer.eject(0, balancer.backends[100], "test")
    assert balancer.ejected_count == 1
    balancer.ban(0, 100)
    assert balancer.ejected_count == 0
    balancer.lift_ban(0, 100)
    assert balancer.ejected_count == 0 and balancer.backends[100].state == State.READY


# ---- the words ----------------------------------------------------------


class Told:
    def __init__(self) -> None:
        self.calls: list[tuple[str, ...]] = []

    def readyz(self) -> None:
        raise CallError("not yet")

    def exclude(self, uid: str) -> None:
        self.calls.append(("exclude", uid))

    def include(self, uid: str) -> None:
        self.calls.append(("include", uid))

    def evacuate(self) -> None:
        self.calls.append(("evacuate",))

    def activate(self) -> None:
        self.calls.append(("activate",))


@pytest.mark.parametrize(
    "line,calls",
    [
        (b"exclude s-1", [("exclude", "s-1")]),
        (b"  include   s-1 \r", [("include", "s-1")]),
        (b"evacuate", [("evacuate",)]),
        (b"activate", [("activate",)]),
    ],
)
def test_calls_that_are_carried_out(line: bytes, calls: list[tuple[str, ...]]) -> None:
    told = Told()
    assert carry_out(told, line) == b"done\n" and told.calls == calls


@pytest.mark.parametrize(
    "line",
    [b"", b"exclude", b"exclude a b", b"evacuate now", b"crashed x", b"__init__", b"READYZ",
     b"\xff\xfe", b"readyz"],
)  # fmt: skip
def test_calls_that_are_not_are_told_why_in_one_line(line: bytes) -> None:
    told = Told()
    text = carry_out(told, line)
    assert text.startswith(b"error: ") and text.count(b"\n") == 1 and text.endswith(b"\n")
    assert not told.calls


# ---- on sockets ---------------------------------------------------------


@contextlib.contextmanager
def operated(tmp_path: Path, backends: int = 1, **over: Any) -> Iterator[
    tuple[RunningNode, list[socket.socket], int]
]:  # fmt: skip
    """A node whose second address is taken from its log."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(listen()) for _ in range(backends)]
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(socks)))
        n = stack.enter_context(node(tmp_path, known, mgmt="127.0.0.1:0", **over))
        assert n.process.stderr is not None
        line = n.process.stderr.readline()
        assert "calls at" in line, line
        yield n, socks, int(line.rsplit(":", 1)[1])


def call(port: int, text: str) -> str:
    with socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S) as sock:
        peer = Peer(sock)
        peer.send(text.encode())
        return peer.read_to_end().decode()


def ready(n: RunningNode) -> str:
    client = n.connect()
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = client.message()[0].split(" ")[1]
    client.close()
    return status


def test_each_call_is_answered_however_many_say_nothing(tmp_path: Path) -> None:
    with operated(tmp_path) as (_, _socks, port):
        silent = [
            socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S) for _ in range(2 * MOST)
        ]
        silent[-1].sendall(b"exclu")
        for _ in range(3):
            assert call(port, "readyz\n") == "done\n"
        # Those who came first have gone for it, and the latest have not.
        assert Peer(silent[0]).read_to_end() == b""
        silent[-1].sendall(b"de s-0\n")
        assert Peer(silent[-1]).read_to_end() == b"done\n"
        for sock in silent:
            sock.close()


def test_a_call_without_an_end_or_of_an_unknown_backend_is_told_so(tmp_path: Path) -> None:
    with operated(tmp_path) as (_, _socks, port):
        assert call(port, "exclude s-99\n").startswith("error: no backend of this id")
        assert call(port, "include s-99\n").startswith("error")
        assert call(port, "x" * (LINE_MOST + 1)).startswith("error")
        with socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S) as sock:
            sock.sendall(b"evacuate")
            sock.shutdown(socket.SHUT_WR)
            assert Peer(sock).read_to_end().startswith(b"error: half a call")


def test_an_excluded_backend_is_sent_nothing_until_it_is_called_back(tmp_path: Path) -> None:
    with operated(tmp_path, backends=2) as (n, socks, port):
        # Both have a connection at rest.
        clients = [n.connect() for _ in range(2)]
        for client in clients:
            client.send(request())
        peers = [accept(s) for s in socks]
        for peer in peers:
            peer.message()
            peer.send(answer(b"x"))
        for client in clients:
            client.message()
        assert call(port, "exclude s-0\n") == "done\n"
        assert peers[0].read_to_end() == b""  # what rested there has been closed
        for _ in range(4):
            clients[0].send(request())
            peers[1].message()
            peers[1].send(answer(b"y"))
            assert clients[0].message()[2] == b"y"
        assert call(port, "exclude s-1\n") == "done\n"
        assert call(port, "include s-0\n") == "done\n"
        clients[0].send(request())
        back = accept(socks[0])
        back.message()
        back.send(answer(b"z"))
        assert clients[0].message()[2] == b"z"


def test_a_dial_under_way_carries_nothing_to_a_backend_that_is_excluded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A send counts from its first byte: what waits for a connection goes elsewhere."""
    connect = BackendConnection._connect
    held: list[BackendConnection] = []

    async def first_hangs(conn: BackendConnection) -> None:
        held.append(conn)
        if len(held) == 1:
            await asyncio.get_running_loop().create_future()
        await connect(conn)

    monkeypatch.setattr(BackendConnection, "_connect", first_hangs)
    with listen() as one, listen() as other:
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((one, other))))
        with in_process_node(tmp_path, known) as i:

            async def story() -> None:
                port = i.server.listen(i.config.listen)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request("/credit/1", b"b"))
                await i.wait_until(lambda: held)
                dial = held[0]
                i.node.exclude(dial.backend)
                (r,) = i.node.requests.values()
                assert [a.concluded for a in r.attempts] == [True, False]
                assert r.attempts[1].backend != dial.backend
                sock = one if one.getsockname()[1] != dial.address.port else other
                peer = await asyncio.to_thread(accept, sock)
                await asyncio.to_thread(peer.message)
                peer.send(answer(b"once"))
                assert b"200 OK" in await reader.readuntil(b"\r\n")
                writer.close()
                peer.close()

            i.run(story())


def test_an_evacuated_node_says_no_closes_what_rests_and_serves_what_comes(tmp_path: Path) -> None:
    with operated(tmp_path) as (n, socks, port):
        resting, busy = n.connect(), n.connect()
        resting.send(request())
        peer = accept(socks[0])
        peer.message()
        peer.send(answer(b"x"))
        resting.message()
        busy.send(request())
        peer.message()
        assert call(port, "evacuate\n") == "done\n"
        assert ready(n) == "503"
        assert call(port, "readyz\n") == "done\n"  # the process can serve
        assert resting.read_to_end() == b""
        late = n.connect()  # the front has not heard yet
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
        assert call(port, "activate\n") == "done\n"
        assert ready(n) == "200"
        again = n.connect()
        again.send(request())
        peers = {peer.sock: peer, second.sock: second}
        third = peers[select.select(list(peers), [], [], HANG_TIMEOUT_S)[0][0]]
        third.message()
        third.send(answer(b"on"))
        assert "connection" not in again.message()[1]
