"""Large and slow bodies of requests and responses: forwarded at the slower side's pace, or cut so
that the receiver can tell."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from collections.abc import Iterator
from hashlib import sha256
from pathlib import Path
from random import Random

import pytest

from flinthatch import Settings
from windrelay.server import REQUEST_READ_TIMEOUT_SWEEPS, ClientConnection
from windrelay.upstream import MAX_BUFFERED_BODY_BYTES

from .fakes import MS, PURE, SECOND, UNSAFE, build_balancer
from .harness import (
    HANG_TIMEOUT_S,
    SETTINGS,
    Peer,
    RunningNode,
    accept,
    answer,
    listen,
    node,
    request,
    roster,
    target,
    wait_until,
)
from .inside import in_process_node

LARGE_BODY_BYTES = 8 << 20
RANDOM_BYTES = Random(1).randbytes(1 << 20)


def body(size: int) -> bytes:
    """The same pseudo-random bytes for the same size."""
    return (RANDOM_BYTES * (size // len(RANDOM_BYTES) + 1))[:size]


@contextlib.contextmanager
def node_and_backend(
    tmp_path: Path, **config_changes: object
) -> Iterator[tuple[RunningNode, socket.socket]]:
    """Start a node process with one backend, and yield both."""
    with listen() as backend:
        known_list = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known_list, **config_changes) as running:  # type: ignore[arg-type]
            yield running, backend


def chunk_encoded(data: bytes, size: int) -> bytes:
    """A chunked body with chunks of `size` bytes, chunk extensions and a trailer field."""
    parts = (data[i : i + size] for i in range(0, len(data), size))
    return b"".join(b"%x;ext=1\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


def send_in_background(peer: Peer, data: bytes) -> threading.Thread:
    """Send from a thread, because the data may exceed the socket buffers."""

    def send() -> None:
        with contextlib.suppress(OSError):
            peer.send(data)

    sender = threading.Thread(target=send)
    sender.start()
    return sender


def read_chunked_body(peer: Peer) -> bytes:
    """Read a chunked body up to its last chunk; raises EOFError if the connection ends before."""
    whole = bytearray()
    while True:
        while b"\r\n" not in peer.buffer:
            if not peer.receive():
                raise EOFError
        size, _, peer.buffer = peer.buffer.partition(b"\r\n")
        count = int(size, 16)
        while len(peer.buffer) < count + 2:
            if not peer.receive():
                raise EOFError
        if not count:
            assert peer.buffer[:2] == b"\r\n"
            peer.buffer = peer.buffer[2:]
            return bytes(whole)
        whole += peer.buffer[:count]
        peer.buffer = peer.buffer[count + 2 :]


def read_head(peer: Peer) -> str:
    """Read the head of the next message; raises EOFError if the connection ends before."""
    while b"\r\n\r\n" not in peer.buffer:
        if not peer.receive():
            raise EOFError
    text, _, peer.buffer = peer.buffer.partition(b"\r\n\r\n")
    return text.decode()


# ---- responses ----------------------------------------------------------


@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
@pytest.mark.parametrize(
    "size", [0, 10, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, LARGE_BODY_BYTES]
)
def test_response_of_any_framing_and_length_arrives_unchanged(
    tmp_path: Path, framing: str, size: int
) -> None:
    data = body(size)
    response = {
        "length": answer(data),
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk_encoded(data, 100_000),
        "until close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data,
    }[framing]
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()

        def serve() -> None:
            peer.send(response)
            if framing == "until close":
                peer.sock.shutdown(socket.SHUT_WR)

        sender = threading.Thread(target=serve)
        sender.start()
        first = read_head(client)
        assert first.startswith("HTTP/1.1 200 ")
        if "chunked" in first:
            got = read_chunked_body(client)
        else:
            while len(client.buffer) < size:
                assert client.receive()
            got, client.buffer = client.buffer, b""
        sender.join()
        assert sha256(got).digest() == sha256(data).digest()
        # The client's connection can still be used.
        client.send(request("/credit/2", b"y"))
        again = accept(backend) if framing == "until close" else peer
        again.message()
        again.send(answer(b"next"))
        assert client.message()[2] == b"next"


def test_backend_connection_paused_for_the_last_piece_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last piece fills the buffer of the client's transport and so pauses the reading from the
    backend. Nobody resumed reading after the response's end, and the next response on the same
    backend connection was never read."""
    finish = ClientConnection.end_stream

    def pause_then_end(conn: ClientConnection) -> None:
        assert conn._source is not None
        conn._source.pause_reading()
        finish(conn)

    monkeypatch.setattr(ClientConnection, "end_stream", pause_then_end)
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port_of(backend)))) as in_process,
    ):

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            peer: Peer | None = None
            for data in (body(MAX_BUFFERED_BODY_BYTES + 1), b"next"):
                writer.write(request("/credit/1", b"x"))
                if peer is None:
                    peer = await asyncio.to_thread(accept, backend)
                await asyncio.to_thread(peer.message)
                await asyncio.to_thread(peer.send, answer(data))
                assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(len(data)) == data
            writer.close()
            assert peer is not None
            peer.close()

        in_process.run(scenario())


def port_of(sock: socket.socket) -> int:
    return int(sock.getsockname()[1])


def test_http_1_0_client_gets_no_chunked_encoding(tmp_path: Path) -> None:
    data = body(300_000)
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer = accept(backend)
        peer.message()
        sender = send_in_background(
            peer,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk_encoded(data, 5000),
        )
        assert "chunked" not in read_head(client)
        assert client.read_to_end() == data
        sender.join()


def test_response_sent_byte_by_byte_is_complete(tmp_path: Path) -> None:
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        peer.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in answer(b"in pieces"):
            peer.send(bytes((byte,)))
        assert client.message()[2] == b"in pieces"


@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_broken_response_is_visibly_cut_and_never_retried(
    tmp_path: Path, framing: str, how: str
) -> None:
    """A request of a safe class is not retried either: its response has begun."""
    if framing == "until close" and how == "close":
        pytest.skip("a close is the regular end of a response without a length")
    start = {
        "length": b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n",
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n",
        "until close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    }[framing]
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        peer.send(start + body(200_000))
        read_head(client)
        while len(client.buffer) < 190_000:
            assert client.receive()
        peer.reset() if how == "reset" else peer.close()
        assert len(client.read_to_end()) < 210_000  # of 300,000 bytes, or without the last chunk
        assert not client.buffer.endswith(b"0\r\n\r\n")
        again = running.connect()
        again.send(request(rid="next"))
        assert accept(backend).message()[1]["x-request-id"] == "next"


def test_response_that_stalls_before_its_end_is_cut(tmp_path: Path) -> None:
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body(200_000))
        read_head(client)
        assert client.read_to_end() == body(200_000)
        assert peer.read_to_end() == b""


def test_http_1_0_client_gets_a_reset_for_a_broken_response(tmp_path: Path) -> None:
    """An HTTP/1.0 client takes a close of the connection for the end of the response."""
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + body(99_999))
        read_head(client)
        peer.reset()
        with pytest.raises(ConnectionResetError):
            while client.sock.recv(65536):
                pass


def test_slow_reader_does_not_fill_the_node_memory(tmp_path: Path) -> None:
    with node_and_backend(tmp_path, limits={"memory_mb": 64}) as (running, backend):
        client = running.connect()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 << 10)
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        data = body(32 << 20)
        before = running.resident_mb()
        sender = send_in_background(peer, answer(data))
        read_head(client)
        got = sha256(client.buffer)
        size = len(client.buffer)
        client.buffer = b""
        while size < len(data):
            more = client.sock.recv(1 << 20)
            assert more
            got.update(more)
            size += len(more)
        sender.join()
        assert got.digest() == sha256(data).digest()
        assert running.resident_mb("VmHWM") - before < 8


def test_client_that_leaves_during_a_response_frees_its_backend(tmp_path: Path) -> None:
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        sender = send_in_background(peer, answer(body(32 << 20)))
        read_head(client)
        client.reset()
        sender.join(HANG_TIMEOUT_S)  # the node closed the connection, so that sending fails
        assert not sender.is_alive()
        before = running.descriptors()
        again = running.connect()
        again.send(request())
        accept(backend).message()
        assert running.descriptors() <= before + 2


def test_second_request_during_a_streamed_response_ends_the_connection(tmp_path: Path) -> None:
    """A status line can't be written in the middle of another response's body."""
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body(100_000))
        read_head(client)
        client.send(request())
        with contextlib.suppress(ConnectionResetError):
            while data := client.sock.recv(65536):
                client.buffer += data
        assert b"HTTP/1.1" not in client.buffer and len(client.buffer) <= 100_000


def test_no_time_out_of_an_attempt_cuts_a_response_that_has_begun(tmp_path: Path) -> None:
    """The latency target passes during the response, and the client's time does not."""
    classes = [row | {"target": 100 * MS} for row in SETTINGS["classes"]]
    with node_and_backend(tmp_path, settings={"classes": classes}) as (running, backend):
        client = running.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        data = body(100_000)
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + data[:90_000])
        read_head(client)
        probe = running.connect()
        for _ in range(40):  # about 400 ms of the node's time
            probe.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            probe.message()
            threading.Event().wait(0.01)
        peer.send(data[90_000:])
        while len(client.buffer) < 100_000:
            assert client.receive()
        assert client.buffer == data


# ---- the Balancer ---------------------------------------------------------


def test_response_that_has_begun_frees_its_slot_and_counts_once() -> None:
    balancer, host = build_balancer(Settings(classes=(PURE, UNSAFE), max_attempts=4), count=1)
    b = balancer.backends[100]
    for i in range(b.slot_limit + 1):
        balancer.on_request(0, i, 0, SECOND)
    assert b.in_flight == b.slot_limit == balancer.in_flight
    balancer.on_response_started(20 * MS, 0, 0, 20 * MS)
    assert len(host.calls_named("send")) == b.slot_limit + 1  # the request that was queued
    balancer.on_response_started(21 * MS, 0, 0, 21 * MS)  # the same event a second time
    assert b.in_flight == balancer.in_flight == b.slot_limit
    seen = balancer.classes[0].latency_count
    balancer.on_outcome(SECOND, 0, 0, 1, 20 * MS, True)
    assert (
        b.in_flight == balancer.in_flight == b.slot_limit
        and balancer.classes[0].latency_count == seen
    )
    assert 0 not in balancer.requests


def test_response_that_was_cut_is_neither_retried_nor_refused() -> None:
    balancer, host = build_balancer(Settings(classes=(PURE,), max_attempts=4), count=2)
    balancer.on_request(0, 0, 0, SECOND)
    balancer.on_response_started(MS, 0, 0, MS)
    balancer.on_outcome(2 * MS, 0, 0, 2, MS, True)
    assert (
        len(host.calls_named("send")) == 1
        and not host.calls_named("refuse")
        and not host.calls_named("fail")
    )
    assert balancer.in_flight == 0 and all(b.in_flight == 0 for b in balancer.backends.values())


# ---- requests -------------------------------------------------------------


@pytest.mark.parametrize("framing", ["length", "chunked", "expect"])
@pytest.mark.parametrize("size", [1000, (64 << 10) + 1, LARGE_BODY_BYTES])
def test_request_body_of_any_framing_and_length_arrives_unchanged(
    tmp_path: Path, framing: str, size: int
) -> None:
    data = body(size)
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        if framing == "chunked":
            whole = request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
            sender = send_in_background(client, whole + chunk_encoded(data, 70_000))
        elif framing == "expect":
            client.send(request("/credit/1", b"", Content_Length=str(size), Expect="100-continue"))
            assert read_head(client) == "HTTP/1.1 100 Continue"
            sender = send_in_background(client, data)
        else:
            sender = send_in_background(client, request("/credit/1", data))
        peer = accept(backend)
        _, headers, got = peer.message()
        sender.join()
        assert headers["content-length"] == str(size) and "transfer-encoding" not in headers
        assert sha256(got).digest() == sha256(data).digest()
        peer.send(answer(b"ok"))
        assert client.message()[2] == b"ok"


def test_request_is_retried_when_its_connection_breaks_before_the_last_byte(
    tmp_path: Path,
) -> None:
    """The class is unsafe, but the request can't have run: the backend never got its last byte."""
    data = body(LARGE_BODY_BYTES)
    with node_and_backend(tmp_path) as (running, backend):
        backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        client = running.connect()
        sender = send_in_background(client, request("/credit/1", data, timeout=3000))
        first = accept(backend)
        first.sock.recv(1000)
        first.reset()
        second = accept(backend)
        assert sha256(second.message()[2]).digest() == sha256(data).digest()
        sender.join()
        second.send(answer(b"once"))
        assert client.message()[2] == b"once"


def test_request_is_not_retried_when_its_connection_breaks_after_the_last_byte(
    tmp_path: Path,
) -> None:
    data = body(LARGE_BODY_BYTES)
    with node_and_backend(tmp_path) as (running, backend):
        client = running.connect()
        sender = send_in_background(client, request("/credit/1", data, timeout=3000))
        first = accept(backend)
        first.message()
        sender.join()
        first.reset()
        assert client.message()[0].split(" ")[1] == "502"


def test_body_beyond_the_memory_budget_is_refused_and_its_memory_released(tmp_path: Path) -> None:
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:
        in_process.node.budget.set_limit(1 << 20)

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request("/credit/1", b"", Content_Length=str(2 << 20)))
            assert b" 503 " in await reader.readline()
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            whole = request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
            writer.write(whole + chunk_encoded(body(2 << 20), 60_000)[: 1 << 21])
            assert b" 503 " in await reader.readline()
            writer.transport.abort()
            while in_process.node.client_count:
                in_process.server.sweep()
                await asyncio.sleep(0.001)
            assert in_process.node.budget.held_bytes == 0

        in_process.run(scenario())


def test_time_out_of_a_body_grows_with_the_bytes_received(tmp_path: Path) -> None:
    """The test calls each sweep itself, so that no clock is involved."""
    with in_process_node(tmp_path, roster(target("s-1", 1))) as in_process:

        async def scenario() -> None:
            port = in_process.server.listen(in_process.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request("/credit/1", b"", Content_Length=str(400_000)))
            await in_process.wait_until(lambda: in_process.server.connections)
            (conn,) = in_process.server.connections
            await in_process.wait_until(lambda: conn._headers_done)
            incoming = conn._incoming
            assert incoming is not None
            for n in range(20):  # 16 KiB in 0.25 s: the slowest client line
                writer.write(bytes(16 << 10))
                await in_process.wait_until(lambda n=n: incoming.body_size >= (n + 1) * (16 << 10))  # type: ignore[misc]
                in_process.server.sweep()
            assert conn._incoming is incoming
            # The client sends nothing more. What it has sent before gives it no further time.
            for _ in range(REQUEST_READ_TIMEOUT_SWEEPS + 1):
                in_process.server.sweep()
            assert b" 408 " in await reader.readline()
            writer.close()

        in_process.run(scenario())


def test_many_large_responses_leak_no_descriptors_or_memory(tmp_path: Path) -> None:
    with node_and_backend(tmp_path, limits={"memory_mb": 64}) as (running, backend):
        before = running.descriptors()
        clients = [running.connect() for _ in range(10)]
        for client in clients:
            client.send(request("/credit/1", b"x"))
        threads = []
        for _ in range(3):  # as many as one backend gets at a time; the others follow
            peer = accept(backend)
            peer.message()
            threads.append(send_in_background(peer, answer(body(4 << 20))))
        for client in clients:
            client.reset()
        for sender in threads:
            sender.join(HANG_TIMEOUT_S)
        wait_until(lambda: running.descriptors() <= before + 4)
        assert running.resident_mb("VmHWM") < 64
