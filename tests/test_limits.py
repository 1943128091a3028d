"""Memory, descriptors and signals of the real node, on loopback sockets."""

from __future__ import annotations

import select
import signal
import socket
from pathlib import Path

from .harness import (
    LIMIT,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    request,
    roster,
    target,
    until,
)

MB = 1 << 20


def test_many_large_bodies_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Eight bodies of 24 MB at once, 192 MB in all, through a node of 128 MB."""
    size = 24 * MB
    block = bytes(256 << 10)
    with listen() as backend:
        known = roster(*(target(f"s-{i}", backend.getsockname()[1]) for i in range(8)))
        with node(tmp_path, known) as n:
            clients = []
            for i in range(8):
                client = n.connect()
                head = request(
                    "/credit/1", b"", timeout=3000, rid=f"r{i}", Content_Length=str(size)
                )
                client.send(head)
                client.sock.setblocking(False)
                clients.append(client)
            left = {client.sock: size for client in clients}
            taken: dict[socket.socket, int] = {}
            answered = 0
            while answered < 8:
                reading = [backend, *taken, *(c.sock for c in clients)]
                sending = [sock for sock, rest in left.items() if rest]
                can_read, can_send, _ = select.select(reading, sending, [], LIMIT)
                assert can_read or can_send, "stuck"
                for sock in can_send:
                    left[sock] -= sock.send(block[: left[sock]])
                for sock in can_read:
                    if sock is backend:
                        taken[backend.accept()[0]] = 0
                    elif sock in taken:
                        got = len(sock.recv(256 << 10))
                        taken[sock] += got
                        if not got:
                            del taken[sock]
                            sock.close()
                        elif taken[sock] > size:  # the head comes on top
                            taken[sock] = 0
                            sock.sendall(answer(b"ok"))
                    else:
                        reply = sock.recv(4096)
                        assert reply.startswith(b"HTTP/1.1 200")
                        clients = [c for c in clients if c.sock is not sock]
                        answered += 1
            assert n.resident_mb("VmHWM") < 128


def test_half_written_heads_cost_little_and_leave_the_node_serving(tmp_path: Path) -> None:
    known = roster()
    with node(tmp_path, known, limits={"sockets": 512}) as n:
        before = n.resident_mb()
        crowd = [n.connect() for _ in range(300)]
        for i, client in enumerate(crowd):
            client.send(
                b"NONSENSE\r\n\r\n" if i % 2 else request()[:-2] + b"X-Attrs: " + b"a" * 8000
            )
        for client in crowd[1::2]:
            assert client.message()[0].split(" ")[1] == "400"
        client = n.connect()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.message()[0] == "HTTP/1.1 200 OK"
        assert n.resident_mb() - before < 16
        assert n.descriptors() <= 512


def test_descriptors_come_back(tmp_path: Path) -> None:
    """After a burst of clients the node holds what it held before."""
    with node(tmp_path, roster()) as n:
        for _ in range(3):
            clients = [n.connect() for _ in range(100)]
            for client in clients:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            for client in clients:
                client.message()
                client.sock.shutdown(socket.SHUT_WR)
            for client in clients:
                assert client.ends() == b""
                client.close()
            until(lambda: n.descriptors() < 30)  # of its own it has about 15


def test_a_term_during_start_up_is_a_stop_like_any_other(tmp_path: Path) -> None:
    process = launch(config(tmp_path, roster(), 1))
    assert process.stderr is not None
    # Python itself must be up, and no more: the handler is the program's first act.
    while b"windrelay" not in Path(f"/proc/{process.pid}/cmdline").read_bytes():
        pass
    with open(f"/proc/{process.pid}/status") as status:
        text = status.read()
    while int(text.split("SigCgt:")[1].split()[0], 16) & (1 << (signal.SIGTERM - 1)) == 0:
        assert process.poll() is None
        text = Path(f"/proc/{process.pid}/status").read_text()
    process.send_signal(signal.SIGTERM)
    assert process.wait(LIMIT) == 0
    process.stderr.close()


def test_a_stop_answers_what_a_silent_backend_holds(tmp_path: Path) -> None:
    with listen() as backend, node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as n:
        client = n.connect()
        client.send(request("/credit/1", b"x", timeout=900))
        accept(backend).message()
        n.process.send_signal(signal.SIGTERM)
        line, _, _ = client.message()
        assert line.split(" ")[1] in ("502", "504")
        assert n.process.wait(LIMIT) == 0
