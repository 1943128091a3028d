"""Crowds of clients that hold a node's memory: each kind by hundreds, alone or mixed.

A client lives one life after another until the crowd ends: it connects, does what its kind does,
and reads until the node closes or its patience is over. Servers answer with as many bytes as the
last part of the path asks for.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import re
import socket
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import StrEnum

from standins.platform import request
from standins.servers import RESET

PATIENCE_S = 4.0  # a node owes an error or a close within 3 s
RECONNECT_S = 0.05
SMALL_RECEIVE_BUFFER_BYTES = 4096
SLOW_READ_BYTES = 1000
SLOW_READ_INTERVAL_S = 0.1
UNREAD_INTERVAL_S = 0.2  # longer than a request takes here: the next one comes between requests
CONTENT_LENGTH = re.compile(rb"ontent-Length: (\d+)")
IDS = itertools.count()
CROWD_ID_PREFIX = "crowd-"  # of the request ids that a crowd sends


class ClientKind(StrEnum):
    """What a client of a crowd does."""

    SILENT = "connects and says nothing"
    HALF_HEAD = "stops within a head"
    MANY_FIELDS = "sends a head of very many short fields"
    SLOW_FIELDS = "sends very many short fields slowly"
    LONG_FIELD = "sends a field without end"
    HALF_BODY = "stops within a body of 60 KB"
    HALF_LONG_BODY = "stops within a body of 2 MB"
    HALF_CHUNKED = "stops within a body in short chunks"
    SLOW_BODY = "sends a body of 60 KB slowly"
    PIPELINED = "sends hundreds of requests at once"
    SOUND_BODY = "sends a body of 60 KB and waits"
    SOUND_HEAD = "sends a head and a body of 4 KB and waits"
    UNREAD = "does not read a response of 60 KB"
    UNREAD_MANY = "sends requests and reads none of their responses of 60 KB"
    SLOW_READER = "reads a response of 300 KB slowly"
    SLOW_READER_LONG = "reads a response of 8 MB slowly"
    LEAVER = "resets within a response of 8 MB"


class SizedServer(asyncio.Protocol):
    """A server connection that answers each request with the number of bytes its path names."""

    def __init__(self, work_s: float) -> None:
        self._work_s = work_s
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            match = CONTENT_LENGTH.search(head)
            size = int(match[1]) if match else 0
            if len(rest) < size:
                return
            self._buffer = rest[size:]
            answer_bytes = int(head.split(b" ", 2)[1].rpartition(b"/")[2])
            asyncio.get_running_loop().call_later(self._work_s, self._answer, answer_bytes)

    def _answer(self, size: int) -> None:
        assert self._transport is not None
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))


async def start_sized_servers(count: int, work_s: float = 0.0) -> list[asyncio.Server]:
    """Start servers that answer with the number of bytes that a path asks for."""
    loop = asyncio.get_running_loop()
    return [
        await loop.create_server(lambda: SizedServer(work_s), "127.0.0.1", 0) for _ in range(count)
    ]


def _request(path: str, body: bytes | None = None, **headers: str) -> bytes:
    return request(
        path, body, timeout=2000, rid=f"{CROWD_ID_PREFIX}{os.getpid()}-{next(IDS)}", more=headers
    )


def _open_head() -> bytes:
    return _request("/credit/1", b"x").partition(b"\r\n\r\n")[0] + b"\r\n"


def _with_length(size: int) -> bytes:
    return _request("/credit/1", b"", Content_Length=str(size))


def _chunked() -> bytes:
    return _request("/credit/1", b"", Content_Length="", Transfer_Encoding="chunked")


# What a kind sends at once; it then reads until the node closes.
_SENT_AT_ONCE: Mapping[ClientKind, Callable[[], bytes]] = {
    ClientKind.SILENT: lambda: b"",
    ClientKind.HALF_HEAD: lambda: _open_head()[:80],
    ClientKind.MANY_FIELDS: lambda: _open_head() + b"".join(b"a%d:\r\n" % i for i in range(2200)),
    ClientKind.LONG_FIELD: lambda: _open_head() + b"X: " + b"h" * 1_000_000,
    ClientKind.HALF_BODY: lambda: _with_length(60_000) + bytes(40_000),
    ClientKind.HALF_LONG_BODY: lambda: _with_length(2_000_000) + bytes(1_000_000),
    ClientKind.HALF_CHUNKED: lambda: _chunked() + (b"10\r\n" + b"z" * 16 + b"\r\n") * 3000,
    ClientKind.PIPELINED: lambda: b"".join(_request("/balance/100") for _ in range(300)),
    ClientKind.SOUND_BODY: lambda: _request("/credit/100", bytes(60_000)),
    ClientKind.SOUND_HEAD: lambda: _request("/credit/100", bytes(4000), X_Fill="f" * 3500),
}
# What a kind sends slowly behind its beginning: the pieces, and the seconds between two.
_SENT_SLOWLY: Mapping[ClientKind, tuple[Callable[[], bytes], Sequence[bytes], float]] = {
    ClientKind.SLOW_FIELDS: (
        _open_head,
        [b"".join(b"b%d:\r\n" % (50 * i + k) for k in range(50)) for i in range(40)],
        0.05,
    ),
    ClientKind.SLOW_BODY: (lambda: _with_length(60_000), [bytes(1000)] * 60, 0.04),
}
_READ_SLOWLY = {ClientKind.SLOW_READER: 300_000, ClientKind.SLOW_READER_LONG: 8_000_000}


class Crowd:
    """Clients of several kinds at one node, for a time."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def run(self, kinds: Sequence[ClientKind], clients_each: int, seconds: float) -> None:
        """Keep this many clients of each kind busy for so long, then drop them."""
        until = asyncio.get_running_loop().time() + seconds
        lives = (self._live_on(kind, until) for kind in kinds for _ in range(clients_each))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*lives)

    async def _live_on(self, kind: ClientKind, until: float) -> None:
        while asyncio.get_running_loop().time() < until:
            with contextlib.suppress(OSError):
                await self._live(kind)
            await asyncio.sleep(RECONNECT_S)

    async def _live(self, kind: ClientKind) -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            if kind not in _SENT_AT_ONCE and kind not in _SENT_SLOWLY:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            await loop.sock_connect(sock, ("127.0.0.1", self._port))
            await _within_patience(self._act(kind, sock))

    async def _act(self, kind: ClientKind, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if kind in _SENT_AT_ONCE:
            await loop.sock_sendall(sock, _SENT_AT_ONCE[kind]())
        elif kind in _SENT_SLOWLY:
            begin, pieces, interval_s = _SENT_SLOWLY[kind]
            await loop.sock_sendall(sock, begin())
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(interval_s)
        elif kind == ClientKind.UNREAD:
            await loop.sock_sendall(sock, _request("/balance/60000"))
            await asyncio.sleep(PATIENCE_S)
        elif kind == ClientKind.UNREAD_MANY:
            while True:
                await loop.sock_sendall(sock, _request("/balance/60000"))
                await asyncio.sleep(UNREAD_INTERVAL_S)
        elif kind == ClientKind.LEAVER:
            await loop.sock_sendall(sock, _request("/balance/8000000"))
            await loop.sock_recv(sock, SLOW_READ_BYTES)
            await asyncio.sleep(SLOW_READ_INTERVAL_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return
        else:
            await loop.sock_sendall(sock, _request(f"/balance/{_READ_SLOWLY[kind]}"))
            while await loop.sock_recv(sock, SLOW_READ_BYTES):
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
            return
        while await loop.sock_recv(sock, 1 << 16):
            pass


async def _within_patience(action: Awaitable[None]) -> None:
    # Not asyncio.wait_for, which may swallow a cancellation that crosses the end of the action.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            await action
