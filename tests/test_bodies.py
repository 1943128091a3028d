"""Large and slow bodies both ways: passed on whole at the slower side's pace, or cut in sight."""

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
from windrelay.server import ClientConnection
from windrelay.upstream import MAX_BUFFERED_BODY_BYTES

from .fakes import MS, PURE, SECOND, UNSAFE, build_balancer
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
    wait_until,
)
from .inside import in_process_node

BIG = 8 << 20
NOISE = Random(1).randbytes(1 << 20)


def body(size: int) -> bytes:
    return (NOISE * (size // len(NOISE) + 1))[:size]


@contextlib.contextmanager
def pair(tmp_path: Path, **over: object) -> Iterator[tuple[RunningNode, socket.socket]]:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, **over) as n:  # type: ignore[arg-type]
            yield n, backend


def chunked(data: bytes, size: int) -> bytes:
    parts = (data[i : i + size] for i in range(0, len(data), size))
    return b"".join(b"%x;ext=1\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


def in_background(peer: Peer, data: bytes) -> threading.Thread:
    def send() -> None:
        with contextlib.suppress(OSError):
            peer.send(data)

    thread = threading.Thread(target=send)
    thread.start()
    return thread


def dechunked(peer: Peer) -> bytes:
    """A chunked body up to its last chunk; EOFError where it ends before."""
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


def head(peer: Peer) -> str:
    while b"\r\n\r\n" not in peer.buffer:
        if not peer.receive():
            raise EOFError
    text, _, peer.buffer = peer.buffer.partition(b"\r\n\r\n")
    return text.decode()


# ---- answers ------------------------------------------------------------


@pytest.mark.parametrize("form", ["length", "chunks", "end"])
@pytest.mark.parametrize("size", [0, 10, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, BIG])
def test_an_answer_of_any_form_and_length_arrives_unchanged(
    tmp_path: Path, form: str, size: int
) -> None:
    data = body(size)
    bytes_ = {
        "length": answer(data),
        "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(data, 100_000),
        "end": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data,
    }[form]
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()

        def serve() -> None:
            peer.send(bytes_)
            if form == "end":
                peer.sock.shutdown(socket.SHUT_WR)

        thread = threading.Thread(target=serve)
        thread.start()
        first = head(client)
        assert first.startswith("HTTP/1.1 200 ")
        if "chunked" in first:
            got = dechunked(client)
        else:
            while len(client.buffer) < size:
                assert client.receive()
            got, client.buffer = client.buffer, b""
        thread.join()
        assert sha256(got).digest() == sha256(data).digest()
        # The connection goes on.
        client.send(request("/credit/2", b"y"))
        again = accept(backend) if form == "end" else peer
        again.message()
        again.send(answer(b"next"))
        assert client.message()[2] == b"next"


def test_a_connection_that_was_held_for_the_last_piece_is_read_from_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client's buffer fills with the very end: whoever would have let it go on has gone."""
    finish = ClientConnection.end_stream

    def held(conn: ClientConnection) -> None:
        assert conn._source is not None
        conn._source.pause_reading()
        finish(conn)

    monkeypatch.setattr(ClientConnection, "end_stream", held)
    with (
        listen() as backend,
        in_process_node(tmp_path, roster(target("s-1", port_of(backend)))) as i,
    ):

        async def story() -> None:
            port = i.server.listen(i.config.listen)
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

        i.run(story())


def port_of(sock: socket.socket) -> int:
    return int(sock.getsockname()[1])


def test_a_client_of_http_1_0_gets_no_chunks(tmp_path: Path) -> None:
    data = body(300_000)
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer = accept(backend)
        peer.message()
        thread = in_background(
            peer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(data, 5000)
        )
        assert "chunked" not in head(client)
        assert client.read_to_end() == data
        thread.join()


def test_an_answer_in_one_byte_pieces_is_whole(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        peer.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in answer(b"in pieces"):
            peer.send(bytes((byte,)))
        assert client.message()[2] == b"in pieces"


@pytest.mark.parametrize("form", ["length", "chunks", "end"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_an_answer_that_breaks_off_is_cut_where_the_client_can_tell_and_never_repeated(
    tmp_path: Path, form: str, how: str
) -> None:
    """A safe class too: its one answer has begun."""
    if form == "end" and how == "close":
        pytest.skip("its end is its end")
    start = {
        "length": b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n",
        "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n",
        "end": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    }[form]
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        peer.send(start + body(200_000))
        head(client)
        while len(client.buffer) < 190_000:
            assert client.receive()
        peer.reset() if how == "reset" else peer.close()
        assert len(client.read_to_end()) < 210_000  # of 300,000, or with no last chunk
        assert not client.buffer.endswith(b"0\r\n\r\n")
        again = n.connect()
        again.send(request(rid="next"))
        assert accept(backend).message()[1]["x-request-id"] == "next"


def test_an_answer_that_stops_within_its_length_is_cut(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body(200_000))
        head(client)
        assert client.read_to_end() == body(200_000)
        assert peer.read_to_end() == b""


def test_a_cut_that_only_a_reset_can_tell_is_a_reset(tmp_path: Path) -> None:
    """A client of HTTP/1.0 takes the end of the connection for the end of the answer."""
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + body(99_999))
        head(client)
        peer.reset()
        with pytest.raises(ConnectionResetError):
            while client.sock.recv(65536):
                pass


def test_a_slow_reader_holds_the_server_back_and_not_the_node_s_memory(tmp_path: Path) -> None:
    with pair(tmp_path, limits={"memory_mb": 64}) as (n, backend):
        client = n.connect()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 << 10)
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        data = body(32 << 20)
        before = n.resident_mb()
        thread = in_background(peer, answer(data))
        head(client)
        got = sha256(client.buffer)
        size = len(client.buffer)
        client.buffer = b""
        while size < len(data):
            more = client.sock.recv(1 << 20)
            assert more
            got.update(more)
            size += len(more)
        thread.join()
        assert got.digest() == sha256(data).digest()
        assert n.resident_mb("VmHWM") - before < 8


def test_a_client_that_leaves_within_an_answer_frees_its_server(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        thread = in_background(peer, answer(body(32 << 20)))
        head(client)
        client.reset()
        thread.join(HANG_TIMEOUT_S)  # the node closed: the sender can't go on
        assert not thread.is_alive()
        before = n.descriptors()
        again = n.connect()
        again.send(request())
        accept(backend).message()
        assert n.descriptors() <= before + 2


def test_a_second_request_within_an_answer_ends_the_connection(tmp_path: Path) -> None:
    """No status line can be written into the middle of a body."""
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body(100_000))
        head(client)
        client.send(request())
        with contextlib.suppress(ConnectionResetError):
            while data := client.sock.recv(65536):
                client.buffer += data
        assert b"HTTP/1.1" not in client.buffer and len(client.buffer) <= 100_000


def test_no_time_limit_ends_an_answer_that_has_begun(tmp_path: Path) -> None:
    """The attempt's and the request's own time run out within it."""
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request(timeout=150))
        peer = accept(backend)
        peer.message()
        data = body(100_000)
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + data[:90_000])
        head(client)
        probe = n.connect()
        for _ in range(40):  # some 400 ms of the node's own time
            probe.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            probe.message()
            threading.Event().wait(0.01)
        peer.send(data[90_000:])
        while len(client.buffer) < 100_000:
            assert client.receive()
        assert client.buffer == data


# ---- the module -----------------------------------------------------------


def test_an_answer_that_has_begun_frees_its_slot_and_counts_once() -> None:
    balancer, host = build_balancer(Settings(classes=(PURE, UNSAFE), max_attempts=4), count=1)
    b = balancer.backends[100]
    for i in range(b.slot_limit + 1):
        balancer.on_request(0, i, 0, SECOND)
    assert b.in_flight == b.slot_limit == balancer.in_flight
    balancer.on_response_started(20 * MS, 0, 0, 20 * MS)
    assert len(host.calls_named("send")) == b.slot_limit + 1  # the one that waited
    balancer.on_response_started(21 * MS, 0, 0, 21 * MS)  # told twice
    assert b.in_flight == balancer.in_flight == b.slot_limit
    seen = balancer.classes[0].latency_count
    balancer.on_outcome(SECOND, 0, 0, 1, 20 * MS, True)
    assert (
        b.in_flight == balancer.in_flight == b.slot_limit
        and balancer.classes[0].latency_count == seen
    )
    assert 0 not in balancer.requests


def test_an_answer_that_was_cut_is_neither_repeated_nor_refused() -> None:
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


@pytest.mark.parametrize("form", ["length", "chunks", "expect"])
@pytest.mark.parametrize("size", [1000, (64 << 10) + 1, BIG])
def test_a_body_of_any_form_and_length_reaches_its_server_unchanged(
    tmp_path: Path, form: str, size: int
) -> None:
    data = body(size)
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        if form == "chunks":
            whole = request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
            thread = in_background(client, whole + chunked(data, 70_000))
        elif form == "expect":
            client.send(request("/credit/1", b"", Content_Length=str(size), Expect="100-continue"))
            assert head(client) == "HTTP/1.1 100 Continue"
            thread = in_background(client, data)
        else:
            thread = in_background(client, request("/credit/1", data))
        peer = accept(backend)
        _, headers, got = peer.message()
        thread.join()
        assert headers["content-length"] == str(size) and "transfer-encoding" not in headers
        assert sha256(got).digest() == sha256(data).digest()
        peer.send(answer(b"ok"))
        assert client.message()[2] == b"ok"


def test_a_long_request_whose_connection_breaks_before_its_last_byte_goes_elsewhere(
    tmp_path: Path,
) -> None:
    """Unsafe: it is known that it never ran, since not all of it was written."""
    data = body(BIG)
    with pair(tmp_path) as (n, backend):
        backend.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        client = n.connect()
        thread = in_background(client, request("/credit/1", data, timeout=3000))
        first = accept(backend)
        first.sock.recv(1000)
        first.reset()
        second = accept(backend)
        assert sha256(second.message()[2]).digest() == sha256(data).digest()
        thread.join()
        second.send(answer(b"once"))
        assert client.message()[2] == b"once"


def test_a_long_request_whose_connection_breaks_after_its_last_byte_does_not(
    tmp_path: Path,
) -> None:
    data = body(BIG)
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        thread = in_background(client, request("/credit/1", data, timeout=3000))
        first = accept(backend)
        first.message()
        thread.join()
        first.reset()
        assert client.message()[0].split(" ")[1] == "502"


def test_a_body_that_does_not_fit_is_refused_and_what_it_held_comes_back(tmp_path: Path) -> None:
    with in_process_node(tmp_path, roster(target("s-1", 1))) as i:
        i.node.budget.set_limit(1 << 20)

        async def story() -> None:
            port = i.server.listen(i.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request("/credit/1", b"", Content_Length=str(2 << 20)))
            assert b" 503 " in await reader.readline()
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            whole = request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")
            writer.write(whole + chunked(body(2 << 20), 60_000)[: 1 << 21])
            assert b" 503 " in await reader.readline()
            writer.transport.abort()
            while i.node.client_count:
                i.server.sweep()
                await asyncio.sleep(0.001)
            assert i.node.budget.held_bytes == 0

        i.run(story())


def test_patience_with_a_body_goes_by_what_has_come(tmp_path: Path) -> None:
    """Sweeps are forced: no clock decides."""
    with in_process_node(tmp_path, roster(target("s-1", 1))) as i:

        async def story() -> None:
            port = i.server.listen(i.config.listen)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request("/credit/1", b"", Content_Length=str(400_000)))
            await i.wait_until(lambda: i.server.connections)
            (conn,) = i.server.connections
            await i.wait_until(lambda: conn._headers_done)
            incoming = conn._incoming
            assert incoming is not None
            for n in range(20):  # 16 KiB in a quarter of a second: the slowest line there is
                writer.write(bytes(16 << 10))
                await i.wait_until(lambda n=n: incoming.body_size >= (n + 1) * (16 << 10))  # type: ignore[misc]
                i.server.sweep()
            assert conn._incoming is incoming
            for _ in range(60):  # and then nothing
                i.server.sweep()
            assert b" 408 " in await reader.readline()
            writer.close()

        i.run(story())


def test_descriptors_and_memory_come_back_after_many_large_answers(tmp_path: Path) -> None:
    with pair(tmp_path, limits={"memory_mb": 64}) as (n, backend):
        before = n.descriptors()
        clients = [n.connect() for _ in range(10)]
        for client in clients:
            client.send(request("/credit/1", b"x"))
        threads = []
        for _ in range(3):  # as many as one server holds of ours; the rest follows
            peer = accept(backend)
            peer.message()
            threads.append(in_background(peer, answer(body(4 << 20))))
        for client in clients:
            client.reset()
        for thread in threads:
            thread.join(HANG_TIMEOUT_S)
        wait_until(lambda: n.descriptors() <= before + 4)
        assert n.resident_mb("VmHWM") < 64
