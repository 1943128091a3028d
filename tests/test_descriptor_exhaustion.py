"""Every place taken, and a node that starts: what must go on all the same.

The system's own limit on descriptors stands at what the settings say, so that one that is opened
beyond the node's account fails here as it would in service.
"""

from __future__ import annotations

import contextlib
import json
import resource
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from .harness import (
    HANG_TIMEOUT_S,
    Peer,
    RunningNode,
    accept,
    answer,
    listen,
    node,
    port,
    request,
    roster,
    target,
    wait_until,
)

SOCKETS = 64
READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def reserved() -> socket.socket:
    """An address that refuses until somebody listens there."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


@contextlib.contextmanager
def crowded(n: RunningNode, kind: str) -> Iterator[list[Peer]]:
    """As many idle clients as come in, and more that wait at the door."""
    resource.prlimit(n.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    peers = []
    before = n.descriptors()
    for _ in range(2 * SOCKETS):
        peers.append(n.connect())
        if kind == "asked once":
            peers[-1].send(READY)
        elif kind == "half a head":
            peers[-1].send(READY[:20])
    wait_until(lambda: n.descriptors() > before + 20)
    try:
        yield peers
    finally:
        for peer in peers:
            peer.close()


@pytest.mark.parametrize("kind", ["silent", "asked once", "half a head"])
def test_idle_clients_keep_no_descriptor_from_the_list_a_reload_or_a_server(
    tmp_path: Path, kind: str
) -> None:
    """The list is down as they come; each of the three needs one of its own."""
    with contextlib.ExitStack() as stack:
        disco = stack.enter_context(reserved())
        other, backend = (stack.enter_context(listen()) for _ in range(2))
        known = roster(target("s-0", 1))
        n = stack.enter_context(node(tmp_path, known, port(disco), limits={"sockets": SOCKETS}))
        stack.enter_context(crowded(n, kind))
        disco.listen()
        disco.settimeout(HANG_TIMEOUT_S)
        peer = accept(disco)
        assert "?from=1&" in peer.message()[0]
        rows = roster(target("s-1", port(backend)), rev=2)
        peer.send(answer(json.dumps(rows).encode()))
        n.reload(discovery=f"127.0.0.1:{port(other)}")
        peer = accept(other)
        assert peer.message()[0].startswith("GET /registry/instances ")
        peer.send(answer(json.dumps(rows).encode()))
        if kind != "half a head":  # those keep their places for 2.25 s each, wave after wave
            client = n.connect()  # behind all of them
            client.send(request())
            server = accept(backend)
            server.message()
            server.send(answer(b"served"))
            assert client.message()[2] == b"served"
            client.close()
        assert n.stop() == 0  # and with them still there


@pytest.mark.parametrize("state", ["refuses", "silent", "slow", "crowded"])
def test_a_node_is_ready_by_the_list_it_knows_whatever_discovery_does(
    tmp_path: Path, state: str
) -> None:
    """Readiness waits for the listener alone: nothing here lets discovery answer a call."""
    with listen() as disco, listen() as backend:
        known = roster(target("s-1", port(backend)))
        address = 1 if state == "refuses" else port(disco)
        with node(tmp_path, known, address) as n:
            if state in ("slow", "crowded"):
                peer = accept(disco)
                peer.message()
                peer.send(b"HTTP/1.1 200 OK\r\nContent-" if state == "slow" else b"")
                if state == "crowded":
                    peer.send(answer(b"", "503 Busy"))
            client = n.connect()
            client.send(READY)
            assert client.message()[0].split(" ")[1] == "200"
            client.send(request())
            server = accept(backend)
            server.message()
            server.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_a_node_corrects_what_it_knew_by_the_first_list_it_gets(tmp_path: Path) -> None:
    with listen() as disco, listen() as old, listen() as new:
        known = roster(target("s-1", port(old)))
        with node(tmp_path, known, port(disco)) as n:
            peer = accept(disco)
            peer.message()
            rows = roster(target("s-2", port(new)), rev=5)
            peer.send(answer(json.dumps(rows).encode()))
            assert "?from=5&" in accept(disco).message()[0]
            client = n.connect()
            client.send(request())
            accept(new).message()
