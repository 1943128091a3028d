"""Memory, descriptors and signals of a node process, over loopback sockets."""

from __future__ import annotations

import select
import signal
import socket
from pathlib import Path

from windrelay.node import RESERVED_DESCRIPTORS
from windrelay.server import SOCKETS_PER_IDLE_CLIENT

from .harness import (
    HANG_TIMEOUT_S,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    request,
    roster,
    target,
    wait_until,
    wait_until_signal_handled,
)


def test_many_bodies_together_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Each body fits, but all together do not: some requests are refused, and the node goes on."""
    body = bytes(64 << 10)
    with listen() as backend:
        known_list = roster(*(target(f"s-{i}", backend.getsockname()[1]) for i in range(8)))
        with node(tmp_path, known_list, limits={"memory_mb": 32, "sockets": 1024}) as running:
            clients = [running.connect() for _ in range(400)]
            for i, client in enumerate(clients):
                client.send(request("/credit/1", body[:-1], rid=f"r{i}", Content_Length="65536"))
            socks = [client.sock for client in clients]
            wait_until(lambda: select.select(socks, [], [], 0)[0])  # at least one is refused
            client = running.connect()
            client.send(request(rid="small"))
            wait_until(lambda: b"x-request-id: small" in read_request_head(backend).lower())
            assert running.resident_mb("VmHWM") < 64


def read_request_head(backend: socket.socket) -> bytes:
    """Accept the next connection and read until a request's head is complete."""
    peer = accept(backend)
    while b"\r\n\r\n" not in peer.buffer:
        peer.receive()
    return peer.buffer


def test_incomplete_heads_use_little_memory_and_do_not_stop_service(tmp_path: Path) -> None:
    known_list = roster()
    with node(tmp_path, known_list, limits={"sockets": 512}) as running:
        before = running.resident_mb()
        clients = [running.connect() for _ in range(300)]
        for i, client in enumerate(clients):
            client.send(
                b"NONSENSE\r\n\r\n" if i % 2 else request()[:-2] + b"X-Attrs: " + b"a" * 8000
            )
        for client in clients[1::2]:
            assert client.message()[0].split(" ")[1] == "400"
        client = running.connect()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.message()[0] == "HTTP/1.1 200 OK"
        assert running.resident_mb() - before < 16
        assert running.descriptors() <= 512


def test_bursts_of_clients_leak_no_descriptors(tmp_path: Path) -> None:
    """After each burst of clients the node holds as many descriptors as before."""
    with node(tmp_path, roster()) as running:
        for _ in range(3):
            clients = [running.connect() for _ in range(100)]
            for client in clients:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            for client in clients:
                client.message()
                client.sock.shutdown(socket.SHUT_WR)
            for client in clients:
                assert client.read_to_end() == b""
                client.close()
            wait_until(lambda: running.descriptors() < 30)  # the node itself needs about 15


def test_sigterm_during_startup_is_a_clean_stop(tmp_path: Path) -> None:
    process = launch(config(tmp_path, roster(), 1))
    assert process.stderr is not None
    wait_until_signal_handled(process, signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    assert process.wait(HANG_TIMEOUT_S) == 0
    process.stderr.close()


def test_stop_answers_a_request_whose_backend_is_silent(tmp_path: Path) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running,
    ):
        client = running.connect()
        client.send(request("/credit/1", b"x", timeout=900))
        accept(backend).message()
        running.process.send_signal(signal.SIGTERM)
        line, _, _ = client.message()
        assert line.split(" ")[1] in ("502", "504")
        assert running.process.wait(HANG_TIMEOUT_S) == 0


def test_stop_serves_unread_requests_and_closes_idle_connections(tmp_path: Path) -> None:
    """An idle connection may carry one more request, so a stop does not end before it is closed."""
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running,
    ):
        idle, other = running.connect(), running.connect()
        for client in (idle, other):
            client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            client.message()
        running.process.send_signal(signal.SIGTERM)
        other.send(request("/credit/1", b"x", timeout=900))
        peer = accept(backend)
        peer.message()
        assert idle.read_to_end() == b""  # idle, so closed while the other awaits its response
        assert running.process.poll() is None
        peer.send(answer(b"served"))
        assert other.message()[2] == b"served"
        assert running.process.wait(HANG_TIMEOUT_S) == 0


def test_incomplete_request_does_not_block_a_stop(tmp_path: Path) -> None:
    with node(tmp_path, roster()) as running:
        client = running.connect()
        client.send(request()[:-10])
        running.process.send_signal(signal.SIGTERM)
        assert client.message()[0].split(" ")[1] == "408"
        assert running.process.wait(HANG_TIMEOUT_S) == 0


def test_memory_does_not_grow_from_one_crowd_of_clients_to_the_next(tmp_path: Path) -> None:
    """Each round has new clients, request ids and bodies. After the second round the node's memory
    must not grow any more."""
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running,
    ):
        peer = None
        sizes = []
        for round_number in range(4):
            for i in range(300):
                client = running.connect()
                client.send(request("/credit/1", bytes(8000), rid=f"{round_number}-{i}"))
                if peer is None:
                    peer = accept(backend)
                peer.message()
                peer.send(answer(bytes(8000)))
                client.message()
                client.close()
            sizes.append(running.resident_mb())
        assert sizes[3] - sizes[1] < 2


def test_idle_clients_beyond_their_share_are_told_to_close(tmp_path: Path) -> None:
    """Beyond a fraction of the descriptors, responses carry `Connection: close`; a connection that
    is used stays open. Otherwise unused connections would take all of the clients' descriptors."""
    kept_count = -(-(120 - RESERVED_DESCRIPTORS) // SOCKETS_PER_IDLE_CLIENT)
    with node(tmp_path, roster(), limits={"sockets": 120}) as running:
        readiness_probe = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        connection_headers = []
        clients = []
        for _ in range(3 * kept_count):
            client = running.connect()
            client.send(readiness_probe)
            _, headers, _ = client.message()
            connection_headers.append(headers.get("connection"))
            clients.append(client)
        assert connection_headers == [None] * kept_count + ["close"] * (2 * kept_count)
        for client in clients[kept_count:]:
            assert client.read_to_end() == b""
            client.close()
        clients[0].send(readiness_probe)
        assert "connection" not in clients[0].message()[1]
