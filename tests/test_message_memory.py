"""What a message costs in memory follows its length, whatever pieces it comes in."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import pytest

from windrelay.body_blocks import MAX_JOINED_BLOCK_BYTES, Block, append_piece
from windrelay.chunked_framing import (
    MAX_EXCESS_FRAMING_BYTES,
    SHORT_BODY_PIECES,
    ChunkedFraming,
    FramingTooLong,
)
from windrelay.config import Address
from windrelay.discovery import RegistryCall

from .harness import HANG_TIMEOUT_S, Peer, accept, listen, node, port, request, roster, target
from .inside import in_process_node
from .test_bodies import send_in_background

MEMORY_MB = 96
LARGE_MESSAGE_BYTES = 60_000_000
ENDLESS_BYTES = 512 << 10  # more than one read of the node brings


def chunks(data: bytes, size: int) -> bytes:
    """The chunks of a body, without the last one."""
    parts = (data[i : i + size] for i in range(0, len(data), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def held_bytes(blocks: list[Block]) -> int:
    return sys.getsizeof(blocks) + sum(map(sys.getsizeof, blocks))


def chunked_request() -> bytes:
    return request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")


@pytest.mark.parametrize("size", [1, 2, 16, 1000, 5000])
def test_small_pieces_of_a_body_take_little_more_memory_than_their_bytes(size: int) -> None:
    """Guards against a limit on bytes while each piece costs an object (issue 47, case 1)."""
    data = bytes(range(256)) * 1024
    blocks: list[Block] = []
    for i in range(0, len(data), size):
        append_piece(blocks, data[i : i + size])
    assert b"".join(blocks) == data
    assert held_bytes(blocks) < len(data) * 9 // 8 + MAX_JOINED_BLOCK_BYTES


def test_body_of_a_request_in_small_chunks_is_held_in_few_objects(tmp_path: Path) -> None:
    """Guards against a request whose chunks each take an object (issue 47, case 1)."""
    data = b"0123456789abcdef" * 4096
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(chunked_request() + chunks(data, 16))
            await in_process.wait_until(lambda: in_process.server.connections)
            (conn,) = in_process.server.connections
            await in_process.wait_until(
                lambda: conn._incoming is not None and conn._incoming.body_size == len(data)
            )
            assert conn._incoming is not None
            assert held_bytes(conn._incoming.body) < 2 * len(data)
            assert in_process.node.budget.held_bytes >= len(data)
            writer.close()

        in_process.run(scenario())


@pytest.mark.parametrize("chunk_bytes", [8, 16, 64, 100_000])
def test_large_body_in_chunks_of_any_size_keeps_the_node_under_its_limit(
    tmp_path: Path, chunk_bytes: int
) -> None:
    """Guards against one client's 60 MB that take a node over its limit (issue 47, case 1)."""
    part = chunks(bytes(chunk_bytes), chunk_bytes) * (200_000 // chunk_bytes)
    limits = {"memory_mb": MEMORY_MB}
    with node(tmp_path, roster(target("s-1", 1)), limits=limits) as running:
        client = running.connect()
        client.send(chunked_request())
        sender = send_in_background(client, part * (LARGE_MESSAGE_BYTES // len(part)))
        assert client.message()[0].split()[1] in ("413", "503")
        peak_mb = running.resident_mb("VmHWM")
        client.close()
        sender.join(HANG_TIMEOUT_S)
        assert peak_mb < MEMORY_MB


@pytest.mark.parametrize("kind", ["extension", "trailer"])
def test_framing_of_a_request_without_end_is_an_error(tmp_path: Path, kind: str) -> None:
    """Guards against a chunk line or a trailer field that the parser collects without a limit."""
    start = {"extension": b"1;", "trailer": b"1\r\na\r\n0\r\nX-Sum: "}[kind]
    with node(tmp_path, roster(target("s-1", 1))) as running:
        client = running.connect()
        client.send(chunked_request() + start)
        client.send(b"x" * ENDLESS_BYTES)
        assert client.message()[0].split()[1] == "400"


@pytest.mark.parametrize("kind", ["extension", "trailer"])
def test_framing_of_a_response_without_end_fails_the_attempt(tmp_path: Path, kind: str) -> None:
    """Guards against a backend whose chunk line or trailer field fills the node's memory."""
    start = {"extension": b"1;", "trailer": b"1\r\na\r\n0\r\nX-Sum: "}[kind]
    with listen() as backend, node(tmp_path, roster(target("s", port(backend)))) as running:
        client = running.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start)
        sender = send_in_background(peer, b"x" * LARGE_MESSAGE_BYTES)
        assert client.message()[0].split()[1] == "502"
        sender.join(HANG_TIMEOUT_S)
        assert running.resident_mb("VmHWM") < MEMORY_MB / 2


def test_framing_that_belongs_to_its_chunks_is_not_counted_in_sum() -> None:
    """Guards against a sound body in short chunks that is turned away for its framing."""
    framing = ChunkedFraming()
    for _ in range(SHORT_BODY_PIECES):
        framing.add(received_bytes=6, body_bytes=1, piece_count=1)
    framing.add(MAX_EXCESS_FRAMING_BYTES, body_bytes=0, piece_count=0)
    with pytest.raises(FramingTooLong):
        framing.add(1, body_bytes=0, piece_count=0)


def test_long_heads_are_counted_in_the_memory_budget(tmp_path: Path) -> None:
    """Guards against heads of 16 kB from many clients, which nothing counted."""
    field = b"X-A: " + b"a" * 8000 + b"\r\n"
    whole = request("/credit/1", b"x")
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        budget = in_process.node.budget

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(whole.partition(b"\r\n\r\n")[0] + b"\r\n" + field)
            await in_process.wait_until(lambda: budget.held_bytes > 8000)
            writer.close()
            await in_process.wait_until(lambda: not in_process.server.connections)
            assert budget.held_bytes == 0
            budget.set_limit(4000)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(whole.partition(b"\r\n\r\n")[0] + b"\r\n" + field)
            assert b" 503 " in await reader.readline()
            writer.close()
            await in_process.wait_until(lambda: not in_process.server.connections)
            assert budget.held_bytes == 0

        in_process.run(scenario())


def test_list_in_small_chunks_is_held_in_few_objects(tmp_path: Path) -> None:
    """Guards against a list service whose chunks each take an object (issue 47, case 1)."""
    whole = json.dumps(roster(*(target(f"s-{i}", i + 1) for i in range(200)))).encode()
    answers: list[bytes | None] = []
    with listen() as service, in_process_node(tmp_path, roster()) as in_process:

        async def scenario() -> None:
            call = RegistryCall(Address("127.0.0.1", port(service)), "/", 20.0, answers.append)
            loop = asyncio.get_running_loop()
            peer: Peer = await loop.run_in_executor(None, accept, service)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            await loop.run_in_executor(None, peer.send, head + chunks(whole, 2))
            await in_process.wait_until(lambda: len(b"".join(call._body)) == len(whole))
            assert held_bytes(call._body) < 2 * len(whole) + MAX_JOINED_BLOCK_BYTES
            await loop.run_in_executor(None, peer.send, b"0\r\n\r\n")
            await in_process.wait_until(lambda: answers)
            peer.close()

        in_process.run(scenario())
    assert answers == [whole]
