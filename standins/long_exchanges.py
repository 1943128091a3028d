"""Long requests and responses at a chosen pace: servers that write or read them, and clients.

The last part of a request's path tells the server how to answer, see `Plan`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from standins.platform import parts, request

STEADY_BYTES_PER_S = 80_000
FAST_BYTES_PER_S = 800_000
STEP_S = 0.02  # between two writes of a steady pace
LUMP_BYTES = 48 << 10
LUMP_INTERVAL_S = 0.8
READ_STEP_S = 0.05
CONTENT = Random(53).randbytes(1 << 20)


class Framing(StrEnum):
    """How a server tells where its response ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Pace(StrEnum):
    """How a server writes a response."""

    STEADY = "steady"
    LUMPS = "lumps"
    FAST = "fast"
    LATE_BODY = "late_body"  # the body follows its head after a lump's interval
    HALF = "half"  # half of it, then nothing more
    TRICKLE = "trickle"  # half of it, then a byte at a time
    ENDLESS = "endless"  # steady, and never ends

    def is_sound(self) -> bool:
        """Whether the response comes whole."""
        return self not in (Pace.HALF, Pace.TRICKLE, Pace.ENDLESS)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a server does with a request; `read_bytes_per_s` 0 reads it at once."""

    framing: Framing
    pace: Pace
    size: int
    read_bytes_per_s: int = 0

    def __str__(self) -> str:
        return f"{self.framing}-{self.pace}-{self.size}-{self.read_bytes_per_s}"

    @classmethod
    def parse(cls, text: str) -> Plan:
        """Read the last part of a path; a number alone is a size. Raises ValueError."""
        if text.isdigit():
            return cls(Framing.LENGTH, Pace.FAST, int(text))
        framing, pace, size, read_bytes_per_s = text.split("-")
        return cls(Framing(framing), Pace(pace), int(size), int(read_bytes_per_s))

    def head(self) -> bytes:
        """The head of the response."""
        line = {
            Framing.LENGTH: f"Content-Length: {self.size}",
            Framing.CHUNKED: "Transfer-Encoding: chunked",
            Framing.CLOSE: "Connection: close",
        }[self.framing]
        return f"HTTP/1.1 200 OK\r\n{line}\r\n\r\n".encode()

    def pieces(self) -> Iterator[tuple[bytes, float]]:
        """The parts of the body, each with the seconds to wait behind it."""
        data = content(self.size)
        if self.pace == Pace.LATE_BODY:
            yield b"", LUMP_INTERVAL_S
            yield data, 0.0
            return
        if self.pace in (Pace.HALF, Pace.TRICKLE):
            half = self.size // 2
            yield data[:half], STEP_S
            for i in range(half, self.size if self.pace == Pace.TRICKLE else half):
                yield data[i : i + 1], STEP_S
            return
        step, pause_s = {
            Pace.LUMPS: (LUMP_BYTES, LUMP_INTERVAL_S),
            Pace.FAST: (int(FAST_BYTES_PER_S * STEP_S), STEP_S),
        }.get(self.pace, (int(STEADY_BYTES_PER_S * STEP_S), STEP_S))
        while True:
            for i in range(0, self.size, step):
                yield data[i : i + step], pause_s if i + step < self.size else 0.0
            if self.pace != Pace.ENDLESS:
                return
            yield b"", STEP_S


def content(size: int) -> bytes:
    """The bytes of a body of this size."""
    return (CONTENT * (size // len(CONTENT) + 1))[:size]


class PlannedServer:
    """A server that follows the plan of each request; `runs` counts whole requests by id."""

    def __init__(self, receive_buffer_bytes: int = 0) -> None:
        self.runs: dict[str, int] = {}
        self.last_byte_at: dict[str, float] = {}  # loop time at which a request was whole
        self.body_began_at: dict[str, float] = {}  # loop time of the first piece of a response
        self.longest_pause_s: dict[str, float] = {}  # within a response, as this process kept it
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        if receive_buffer_bytes:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self._listener.setblocking(False)
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Accept connections; called within the loop."""
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    def close(self) -> None:
        """Reset every connection, and refuse new ones."""
        for task in (self._accepting, *self._tasks):
            if task is not None:
                task.cancel()
        self._listener.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            task = loop.create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError, EOFError):
            while True:
                plan, request_id = await self._read_request(sock)
                if not await self._respond(sock, plan, request_id):
                    return

    async def _read_request(self, sock: socket.socket) -> tuple[Plan, str]:
        loop = asyncio.get_running_loop()
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            buffer += await _receive(sock, 4096)
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        first, headers = parts(head)
        plan = Plan.parse(first.split(" ")[1].rpartition("/")[2])
        left = int(headers.get("content-length", "0")) - len(buffer)
        step = int(plan.read_bytes_per_s * READ_STEP_S) or 1 << 16
        while left > 0:
            left -= len(await _receive(sock, min(step, left)))
            if plan.read_bytes_per_s:
                await asyncio.sleep(READ_STEP_S)
        request_id = headers["x-request-id"]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.last_byte_at[request_id] = loop.time()
        return plan, request_id

    async def _respond(self, sock: socket.socket, plan: Plan, request_id: str) -> bool:
        """Write a response; returns whether the connection carries another request."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, plan.head())
        written_at = loop.time()
        self.longest_pause_s[request_id] = 0.0
        for piece, pause_s in plan.pieces():
            if plan.framing == Framing.CHUNKED and piece:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            await loop.sock_sendall(sock, piece)
            if piece:
                self.body_began_at.setdefault(request_id, loop.time())
                self.longest_pause_s[request_id] = max(
                    self.longest_pause_s[request_id], loop.time() - written_at
                )
                written_at = loop.time()
            await asyncio.sleep(pause_s)
        if plan.pace in (Pace.HALF, Pace.TRICKLE):
            await _receive(sock, 1)  # never a request: the node closes
            return False
        if plan.framing == Framing.CHUNKED:
            await loop.sock_sendall(sock, b"0\r\n\r\n")
        return plan.framing != Framing.CLOSE


async def _receive(sock: socket.socket, size: int) -> bytes:
    data = await asyncio.get_running_loop().sock_recv(sock, size)
    if not data:
        raise EOFError
    return data


@dataclass(slots=True)
class Exchange:
    """What a client got; times in seconds from the last byte of its request."""

    status: int = 0  # 0 where the connection ended before a status
    body: bytes = b""
    is_whole: bool = False  # by its framing; not known for one that ends with its connection
    began_s: float = 0.0
    ended_s: float = 0.0
    ended_at: float = 0.0  # the same as loop time


class LongClient:
    """A client on a connection of its own."""

    def __init__(self, port: int, read_bytes_per_s: int = 0, receive_buffer_bytes: int = 0) -> None:
        self._port = port
        self._read_bytes_per_s = read_bytes_per_s
        self._receive_buffer_bytes = receive_buffer_bytes

    async def ask(
        self, name: str, plan: Plan, timeout_ms: int, body: bytes | None = None, rid: str = ""
    ) -> Exchange:
        """Send one request of a class and read to the end of its response."""
        loop = asyncio.get_running_loop()
        exchange = Exchange()
        with socket.socket() as sock:
            if self._receive_buffer_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", self._port))
            sent_at = 0.0
            with contextlib.suppress(OSError, EOFError):
                if name == "credit" and body is None:
                    body = b"x"
                data = request(f"/{name}/{plan}", body, timeout=timeout_ms, rid=rid)
                await loop.sock_sendall(sock, data)
                sent_at = loop.time()
                await self._read(sock, exchange, sent_at)
            exchange.ended_at = loop.time()
            exchange.ended_s = exchange.ended_at - sent_at
        return exchange

    async def _read(self, sock: socket.socket, exchange: Exchange, sent_at: float) -> None:
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            buffer += await self._receive(sock)
        exchange.began_s = asyncio.get_running_loop().time() - sent_at
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        first, headers = parts(head)
        exchange.status = int(first.split(" ")[1])
        received = bytearray(buffer)
        try:
            if "transfer-encoding" in headers:
                while not received.endswith(b"\r\n0\r\n\r\n"):
                    received += await self._receive(sock)
            else:
                size = int(headers["content-length"])
                while len(received) < size:
                    received += await self._receive(sock)
            exchange.is_whole = True
        finally:
            raw = bytes(received)
            exchange.body = _dechunked(raw) if "transfer-encoding" in headers else raw

    async def _receive(self, sock: socket.socket) -> bytes:
        if not self._read_bytes_per_s:
            return await _receive(sock, 1 << 16)
        await asyncio.sleep(READ_STEP_S)
        return await _receive(sock, int(self._read_bytes_per_s * READ_STEP_S) or 1)


def _dechunked(raw: bytes) -> bytes:
    """The content of the whole chunks at the beginning of a chunked body."""
    found = bytearray()
    while b"\r\n" in raw:
        line, _, rest = raw.partition(b"\r\n")
        size = int(line, 16)
        if not size or len(rest) < size + 2:
            break
        found += rest[:size]
        raw = rest[size + 2 :]
    return bytes(found)
