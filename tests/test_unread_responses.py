"""Responses that their client does not read, and what is read meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from pathlib import Path

from windrelay.paced_protocol import READ_BYTES, SHORT_READ_BYTES, TurnQueue

from .harness import accept, answer, listen, port, request, roster, target
from .inside import in_process_node

RESPONSE_BYTES = 60_000
REQUEST_COUNT = 6


def serve_one_connection(backend: socket.socket) -> None:
    """Answer every request on one connection, until the node closes it."""
    peer = accept(backend)
    with contextlib.suppress(EOFError):
        while True:
            peer.message()
            peer.send(answer(bytes(RESPONSE_BYTES)))
    peer.close()


def test_responses_to_a_client_that_reads_none_do_not_pile_up(tmp_path: Path) -> None:
    """Guards against a node that reads on while the last response waits in its transport."""
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port(backend)))) as in_process,
    ):
        thread = threading.Thread(target=serve_one_connection, args=(backend,))
        thread.start()
        node, server = in_process.node, in_process.server
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            client.connect(("127.0.0.1", server.listen(in_process.config.listen)))
            client.setblocking(False)
            await in_process.wait_until(lambda: server.connections)
            (conn,) = server.connections
            conn._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for _ in range(REQUEST_COUNT):
                await loop.sock_sendall(client, request(f"/balance/{RESPONSE_BYTES}"))
                await asyncio.sleep(0.12)
            assert conn._transport is not None
            unsent = conn._transport.get_write_buffer_size()
            assert 0 < unsent <= node.budget.held_bytes < 2 * RESPONSE_BYTES
            received = b""
            while data := await loop.sock_recv(client, 1 << 16):
                received += data
            # The requests that were held back have come together, as no sound client sends them.
            assert len(received) > RESPONSE_BYTES and b"HTTP/1.1 400 " in received[-100:]
            client.close()
            await in_process.wait_until(lambda: not server.connections)
            assert node.budget.held_bytes == 0
            node.upstream.close_oldest_idle()
            await asyncio.to_thread(thread.join)

        in_process.run(scenario())


def test_reads_are_short_while_the_memory_budget_is_used_up(tmp_path: Path) -> None:
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        budget = in_process.node.budget
        queue: TurnQueue = in_process.node.turn_queue
        assert queue.read_size() == READ_BYTES
        budget.reserve(budget.limit_bytes)
        assert queue.read_size() == SHORT_READ_BYTES
        budget.release(budget.limit_bytes)
