"""No connection may take more of one turn of the event loop than is set for one."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from windrelay.chunked_framing import MEAN_PIECE_BYTES, SHORT_BODY_PIECES
from windrelay.config import Address
from windrelay.discovery import RegistryCall
from windrelay.memory_budget import MemoryBudget
from windrelay.paced_protocol import MAX_CONNECTIONS_PER_TURN, TurnQueue
from windrelay.server import MAX_HEAD_BYTES, ClientConnection
from windrelay.upstream import BackendConnection

from .harness import (
    HANG_TIMEOUT_S,
    Peer,
    accept,
    answer,
    listen,
    node,
    port,
    request,
    roster,
    target,
)
from .inside import InProcessNode, in_process_node
from .test_bodies import read_chunked_body, read_head, send_in_background
from .test_message_memory import LARGE_MESSAGE_BYTES, chunked_request, chunks

MAX_PIECES_PER_TURN = 1000  # about a millisecond; one read may bring over 40,000
SMALL_BODY = bytes(range(256)) * 256  # 64 KiB, the longest body that the protocol provides for
LAST_CHUNK = b"0\r\n\r\n"


class TurnMeter:
    """Counts the calls of a parser callback within each turn of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: type, callback: str) -> None:
        self.most = 0
        self.total = 0
        self._in_turn = 0
        original: Callable[..., None] = getattr(owner, callback)

        def counted(connection: Any, *args: bytes) -> None:
            self._in_turn += 1
            self.total += 1
            self.most = max(self.most, self._in_turn)
            original(connection, *args)

        monkeypatch.setattr(owner, callback, counted)

    def start(self) -> None:
        """Begin a count at every turn of the running loop."""
        self._in_turn = 0
        asyncio.get_running_loop().call_soon(self.start)


def run_beside(in_process: InProcessNode, conversation: Callable[[], None]) -> None:
    """Run blocking calls of the test's peers in a thread, and the node's loop beside them."""

    async def scenario() -> None:
        await asyncio.get_running_loop().run_in_executor(None, conversation)

    in_process.run(scenario())


def test_body_in_one_byte_chunks_is_served_and_leaves_the_loop_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client whose chunks hold up the loop (issue 47, case 2)."""
    meter = TurnMeter(monkeypatch, ClientConnection, "on_body")
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port(backend)))) as in_process,
    ):
        address = ("127.0.0.1", in_process.server.listen(in_process.config.listen))

        def conversation() -> None:
            with socket.create_connection(address, HANG_TIMEOUT_S) as client:
                client.sendall(chunked_request() + chunks(SMALL_BODY, 1) + LAST_CHUNK)
                peer = accept(backend)
                assert peer.message()[2] == SMALL_BODY
                peer.send(answer(b"served"))
                assert client.recv(4096).endswith(b"served")

        in_process.loop.call_soon(meter.start)
        run_beside(in_process, conversation)
        assert meter.total >= len(SMALL_BODY)
        assert meter.most <= MAX_PIECES_PER_TURN
        in_process.run(in_process.wait_until(lambda: not in_process.node.budget.held_bytes))


@pytest.mark.parametrize("size", [60_000, 300_000])
def test_response_in_one_byte_chunks_is_served_and_leaves_the_loop_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """Guards against a backend whose chunks hold up the loop (issue 47, case 2)."""
    meter = TurnMeter(monkeypatch, BackendConnection, "on_body")
    body = (SMALL_BODY * 5)[:size]
    first_chunks = chunks(body[:60_000], 1)
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port(backend)))) as in_process,
    ):
        address = ("127.0.0.1", in_process.server.listen(in_process.config.listen))

        def conversation() -> None:
            with socket.create_connection(address, HANG_TIMEOUT_S) as sock:
                client = Peer(sock)
                client.send(request("/credit/1", b"x"))
                peer = accept(backend)
                peer.message()
                rest = chunks(body[60_000:], 10_000)
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                peer.send(head + first_chunks + rest + LAST_CHUNK)
                if "Transfer-Encoding" in read_head(client):
                    assert read_chunked_body(client) == body
                else:
                    while len(client.buffer) < size:
                        assert client.receive()
                    assert client.buffer == body

        in_process.loop.call_soon(meter.start)
        run_beside(in_process, conversation)
        assert meter.total >= 60_000
        assert meter.most <= MAX_PIECES_PER_TURN
        in_process.run(in_process.wait_until(lambda: not in_process.node.budget.held_bytes))


def test_list_in_one_byte_chunks_is_read_and_leaves_the_loop_to_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a list service whose chunks hold up the loop (issue 47, case 2)."""
    meter = TurnMeter(monkeypatch, RegistryCall, "on_body")
    whole = json.dumps(roster(*(target(f"s-{i}", i + 1) for i in range(300)))).encode()
    answers: list[bytes | None] = []
    with listen() as service, in_process_node(tmp_path, roster()) as in_process:

        async def scenario() -> None:
            meter.start()
            RegistryCall(Address("127.0.0.1", port(service)), "/", 20.0, answers.append)
            loop = asyncio.get_running_loop()
            peer = await loop.run_in_executor(None, accept, service)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            message = head + chunks(whole, 1) + LAST_CHUNK
            await loop.run_in_executor(None, peer.send, message)
            await in_process.wait_until(lambda: answers)
            peer.close()

        in_process.run(scenario())
    assert answers == [whole]
    assert meter.total >= len(whole)
    assert meter.most <= MAX_PIECES_PER_TURN


@pytest.mark.parametrize("part", ["head", "trailer"])
def test_fields_without_end_are_an_error_before_many_are_parsed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    """Guards against lines of 4 bytes that are parsed a whole read at a time (issue 47, case 2)."""
    meter = TurnMeter(monkeypatch, ClientConnection, "on_header")
    start = {
        "head": request("/credit/1", b"x").partition(b"\r\n\r\n")[0] + b"\r\n",
        "trailer": chunked_request() + b"1\r\na\r\n0\r\n",
    }[part]
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        address = ("127.0.0.1", in_process.server.listen(in_process.config.listen))

        def conversation() -> None:
            with socket.create_connection(address, HANG_TIMEOUT_S) as client:
                client.sendall(start + b"a:\r\n" * 50_000)
                assert client.recv(4096).split()[1] in (b"400", b"431")

        in_process.loop.call_soon(meter.start)
        run_beside(in_process, conversation)
    assert meter.most <= MAX_PIECES_PER_TURN
    assert meter.total <= 2 * MAX_HEAD_BYTES // len("a:\r\n")


def test_long_body_in_one_byte_chunks_is_an_error_soon(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 60 MB in tiny chunks that are parsed to their end (issue 47, case 2)."""
    part = chunks(bytes(1000), 1)
    with node(tmp_path, roster(target("s-1", 1))) as running:
        clients = [running.connect() for _ in range(2)]
        senders = []
        for client in clients:
            client.send(chunked_request())
            whole = part * (LARGE_MESSAGE_BYTES // len(part))
            senders.append(send_in_background(client, whole))
        for client in clients:
            assert client.message()[0].split()[1] == "413"
            client.close()
        for sender in senders:
            sender.join(HANG_TIMEOUT_S)


def test_long_body_may_come_in_short_chunks_of_usual_mean_length(tmp_path: Path) -> None:
    """Guards against a limit on chunks that turns sound long bodies away."""
    body = SMALL_BODY * 16
    message = chunked_request() + chunks(body, MEAN_PIECE_BYTES) + LAST_CHUNK
    with listen() as backend, node(tmp_path, roster(target("s-1", port(backend)))) as running:
        assert len(body) // MEAN_PIECE_BYTES < SHORT_BODY_PIECES
        client = running.connect()
        sender = send_in_background(client, message)
        peer = accept(backend)
        assert peer.message()[2] == body
        sender.join(HANG_TIMEOUT_S)
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"


def test_request_in_segments_of_one_byte_is_served(tmp_path: Path) -> None:
    """Guards against turns that leave a sound request in small segments unserved."""
    message = chunked_request() + chunks(b"0123456789" * 20, 3) + LAST_CHUNK
    with listen() as backend, node(tmp_path, roster(target("s-1", port(backend)))) as running:
        client = running.connect()
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for i in range(len(message)):
            client.send(message[i : i + 1])
        peer = accept(backend)
        assert peer.message()[2] == b"0123456789" * 20
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"


def test_unparsed_data_is_counted_in_the_memory_budget(tmp_path: Path) -> None:
    """Guards against reads of many clients that wait for their turns and are counted nowhere."""
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        budget = in_process.node.budget
        address = ("127.0.0.1", in_process.server.listen(in_process.config.listen))
        budget.set_limit(3_000)  # less than one read brings
        answers: list[bytes] = []

        def conversation() -> None:
            with socket.create_connection(address, HANG_TIMEOUT_S) as client:
                client.sendall(chunked_request() + chunks(SMALL_BODY[:6_000], 1) + LAST_CHUNK)
                answers.append(client.recv(4096))

        run_beside(in_process, conversation)
        assert b" 503 " in answers[0]
        in_process.server.sweep()
        assert "no memory for what it sends" in in_process.log_lines[-1]
        in_process.run(in_process.wait_until(lambda: not budget.held_bytes))


def test_client_that_leaves_with_unparsed_data_returns_its_memory(tmp_path: Path) -> None:
    """Guards against unparsed data that stays counted after its connection has ended."""
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        budget = in_process.node.budget
        address = ("127.0.0.1", in_process.server.listen(in_process.config.listen))

        async def scenario() -> None:
            _, writer = await asyncio.open_connection(*address)
            writer.write(chunked_request() + chunks(SMALL_BODY, 1))
            await in_process.wait_until(lambda: budget.held_bytes)
            (conn,) = in_process.server.connections
            conn.close()
            await in_process.wait_until(lambda: not in_process.server.connections)
            await in_process.run_loop_turns()
            assert budget.held_bytes == 0
            writer.close()

        in_process.run(scenario())


def test_turns_are_given_in_order_and_only_some_in_one_turn_of_the_loop() -> None:
    """Guards against many connections whose turns together hold up the loop."""
    order: list[int] = []
    turns: list[int] = []

    async def scenario() -> None:
        queue = TurnQueue(asyncio.get_running_loop(), MemoryBudget(64))
        for number in range(2 * MAX_CONNECTIONS_PER_TURN + 1):
            queue.add(lambda number=number: order.append(number))  # type: ignore[misc]
        while len(order) < 2 * MAX_CONNECTIONS_PER_TURN + 1:
            turns.append(len(order))
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert order == sorted(order)
    assert max(b - a for a, b in pairwise(turns)) <= MAX_CONNECTIONS_PER_TURN
