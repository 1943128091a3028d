"""A node whose descriptors are all in use, and a node that starts while discovery fails.

The process's own limit on descriptors is set to the configured one, so that a descriptor opened
beyond the node's budget fails here as it would in production.
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

MAX_SOCKETS = 64
READINESS_PROBE = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def unlistened_address() -> socket.socket:
    """A socket bound to an address that refuses connections until the socket listens."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


@contextlib.contextmanager
def idle_clients(running: RunningNode, client_state: str) -> Iterator[list[Peer]]:
    """Connect twice as many idle clients as the node has descriptors, and yield them."""
    resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS))
    peers = []
    before = running.descriptors()
    for _ in range(2 * MAX_SOCKETS):
        peers.append(running.connect())
        if client_state == "one probe sent":
            peers[-1].send(READINESS_PROBE)
        elif client_state == "incomplete head":
            peers[-1].send(READINESS_PROBE[:20])
    wait_until(lambda: running.descriptors() > before + 20)
    try:
        yield peers
    finally:
        for peer in peers:
            peer.close()


@pytest.mark.parametrize("client_state", ["silent", "one probe sent", "incomplete head"])
def test_idle_clients_leave_descriptors_for_discovery_reload_and_backends(
    tmp_path: Path, client_state: str
) -> None:
    """Discovery is down while the clients connect. A call to discovery, a reload and a connection
    to a backend each need a descriptor of their own, and must get it."""
    with contextlib.ExitStack() as stack:
        discovery_listener = stack.enter_context(unlistened_address())
        other, backend = (stack.enter_context(listen()) for _ in range(2))
        known_list = roster(target("s-0", 1))
        running = stack.enter_context(
            node(tmp_path, known_list, port(discovery_listener), limits={"sockets": MAX_SOCKETS})
        )
        stack.enter_context(idle_clients(running, client_state))
        discovery_listener.listen()
        discovery_listener.settimeout(HANG_TIMEOUT_S)
        peer = accept(discovery_listener)
        assert "?from=1&" in peer.message()[0]
        rows = roster(target("s-1", port(backend)), rev=2)
        peer.send(answer(json.dumps(rows).encode()))
        running.reload(discovery=f"127.0.0.1:{port(other)}")
        peer = accept(other)
        assert peer.message()[0].startswith("GET /registry/instances ")
        peer.send(answer(json.dumps(rows).encode()))
        client = running.connect()  # behind all idle clients
        client.send(request())
        server = accept(backend)
        server.message()
        server.send(answer(b"served"))
        assert client.message()[2] == b"served"
        client.close()
        assert running.stop() == 0  # while the idle clients are still connected


@pytest.mark.parametrize("discovery_state", ["refuses", "silent", "slow", "crowded"])
def test_node_is_ready_with_its_known_list_when_discovery_fails(
    tmp_path: Path, discovery_state: str
) -> None:
    """Readiness depends on the listening socket alone. In none of these states does discovery
    return a list."""
    with listen() as discovery_listener, listen() as backend:
        known_list = roster(target("s-1", port(backend)))
        address = 1 if discovery_state == "refuses" else port(discovery_listener)
        with node(tmp_path, known_list, address) as running:
            if discovery_state in ("slow", "crowded"):
                peer = accept(discovery_listener)
                peer.message()
                peer.send(b"HTTP/1.1 200 OK\r\nContent-" if discovery_state == "slow" else b"")
                if discovery_state == "crowded":
                    peer.send(answer(b"", "503 Busy"))
            client = running.connect()
            client.send(READINESS_PROBE)
            assert client.message()[0].split(" ")[1] == "200"
            client.send(request())
            server = accept(backend)
            server.message()
            server.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_first_discovery_list_replaces_the_known_list(tmp_path: Path) -> None:
    with listen() as discovery_listener, listen() as old, listen() as new:
        known_list = roster(target("s-1", port(old)))
        with node(tmp_path, known_list, port(discovery_listener)) as running:
            peer = accept(discovery_listener)
            peer.message()
            rows = roster(target("s-2", port(new)), rev=5)
            peer.send(answer(json.dumps(rows).encode()))
            assert "?from=5&" in accept(discovery_listener).message()[0]
            client = running.connect()
            client.send(request())
            accept(new).message()


def test_sound_clients_are_served_beside_many_that_stop_within_a_head(tmp_path: Path) -> None:
    """Guards against half requests that hold every descriptor until their time is up."""
    max_sockets = 128
    with listen() as backend:
        known_list = roster(target("s-1", port(backend)))
        with node(tmp_path, known_list, limits={"sockets": max_sockets}) as running:
            resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (max_sockets,) * 2)
            half_requests = [running.connect() for _ in range(2 * max_sockets)]
            for peer in half_requests:
                peer.send(request("/credit/1", b"x")[:40])
            client = running.connect()  # behind all of them
            client.send(request(timeout=2000))
            client.sock.settimeout(2.6)
            server = accept(backend)
            server.message()
            server.send(answer(b"served"))
            assert client.message()[2] == b"served"
            assert half_requests[0].message()[0].split()[1] == "408"
            for peer in half_requests:
                peer.close()
