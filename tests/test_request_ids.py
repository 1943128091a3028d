"""Requests of clients that have left: not sent on late, and not run twice under their old id."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from windrelay.request_ids import MAX_UNSAFE_IDS, UNSAFE_MEMORY_NS, RequestIds, key_of

from .harness import Peer, accept, answer, listen, node, port, request, roster, target
from .inside import in_process_node
from .test_upgrade import node_versions

HELD_UP_S = 0.3  # longer than the 0.1 s after a close in which an attempt may begin
SILENCE_S = 0.4
REMEMBERED_S = 3.0  # longer than any deadline: whoever comes again then has given up before


@pytest.mark.parametrize("leave", [Peer.close, Peer.reset])
@pytest.mark.parametrize("body_bytes", [1, 150_000], ids=["short", "long"])
def test_request_of_a_client_that_left_while_the_node_was_held_up_is_not_sent_on(
    tmp_path: Path, leave: Callable[[Peer], None], body_bytes: int
) -> None:
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port(backend)))) as in_process,
    ):
        backend.settimeout(SILENCE_S)

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            client = Peer(socket.create_connection(("127.0.0.1", port)))
            await in_process.wait_until(lambda: in_process.server.connections)
            client.send(request("/credit/1", bytes(body_bytes)))
            leave(client)
            time.sleep(HELD_UP_S)  # the event loop is held up with all of it unread
            await in_process.wait_until(lambda: not in_process.server.connections)
            with pytest.raises(TimeoutError):
                await asyncio.to_thread(accept, backend)

        in_process.run(scenario())


def test_queued_request_of_a_client_that_left_while_the_node_was_held_up_is_not_sent_on(
    tmp_path: Path,
) -> None:
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port(backend)))) as in_process,
    ):

        async def scenario() -> None:
            server, node = in_process.server, in_process.node
            port = server.listen(in_process.config.listen)
            node.balancer.total_slots = 0  # whatever comes has to wait
            client = Peer(socket.create_connection(("127.0.0.1", port)))
            client.send(request("/credit/1", b"x"))
            await in_process.wait_until(lambda: node.requests)
            client.reset()
            time.sleep(HELD_UP_S)
            node.balancer.total_slots = 4
            node.begin_event()
            node.balancer.dispatch(time.monotonic_ns())  # as from a timer that comes first
            node.end_event()
            await in_process.wait_until(lambda: not server.connections)
            assert not node.upstream.connection_log.counts

        in_process.run(scenario())


def accept_request(backend: socket.socket) -> Peer:
    """Accept a connection and read its request."""
    peer = accept(backend)
    peer.message()
    return peer


def test_id_of_an_unsafe_request_is_not_taken_again_after_its_client_has_left(
    tmp_path: Path,
) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", port(backend)))) as running:
        client = running.connect()
        client.send(request("/credit/1", b"x", rid="again"))
        peer = accept_request(backend)
        client.reset()
        with contextlib.suppress(OSError):
            peer.send(answer(b"ran"))
        time.sleep(REMEMBERED_S)
        second = running.connect()
        second.send(request("/credit/1", b"x", rid="again"))
        assert second.message()[0].split()[1] == "400"


@pytest.mark.parametrize("first", ["old", "new"])
def test_id_of_an_unsafe_request_is_not_taken_by_the_other_process_of_an_upgrade(
    tmp_path: Path, first: str
) -> None:
    with node_versions(tmp_path) as (versions, (backend,)):
        old = versions.start()
        kept = old.connect()  # stays at the old process
        kept.send(request("/credit/1", b"x", rid="before"))
        peer = accept_request(backend)
        peer.send(answer(b"ran"))
        kept.message()
        new = versions.start()
        fresh = new.connect()
        fresh.send(request("/credit/1", b"x", rid="before"))
        assert fresh.message()[0].split()[1] == "400"
        fresh = new.connect()
        ways = {"old": (kept, fresh), "new": (fresh, kept)}
        taker, other = ways[first]
        taker.send(request("/credit/1", b"x", rid="during"))
        if first == "old":
            peer.message()
        else:
            accept_request(backend)
        taker.reset()
        other.send(request("/credit/1", b"x", rid="during"))
        assert other.message()[0].split()[1] == "400"


def test_remembered_ids_are_bounded_in_number_and_in_time() -> None:
    ids = RequestIds()
    ids.add_unsafe(0, (key_of(b"%d" % i) for i in range(2 * MAX_UNSAFE_IDS)))
    assert len(ids.unsafe_keys()) == MAX_UNSAFE_IDS
    assert ids.contains(b"%d" % (2 * MAX_UNSAFE_IDS - 1)) and not ids.contains(b"0")
    ids.expire(UNSAFE_MEMORY_NS)
    assert ids.unsafe_keys()
    ids.expire(UNSAFE_MEMORY_NS + 1)
    assert not ids.unsafe_keys()
