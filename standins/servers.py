"""Top-up servers on loopback that answer, or fail at any step of a connection's life.

What happens is drawn from weights by a generator that is passed in, or named one by one in
a script. Times are the loop's. Raw bytes, because what matters here is what no sound server
does: resets before, within and after an answer, ends, silence, halves of answers.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import cast

from standins.ledger import Ledger, served_body
from standins.platform import answer, parts

RESET = b"\1\0\0\0\0\0\0\0"  # struct linger: on, no time
COPY_LATENESS_S = 0.002  # of a second copy beyond its longest delay
NEVER_RAN = "X-Not-Processed: 1"


class Greeting(StrEnum):
    """What becomes of a new connection."""

    TAKE = "take"
    RESET = "reset"
    END = "end"
    HANG = "hang"  # reads nothing, ever


class Reply(StrEnum):
    """What becomes of a request that has come whole."""

    ANSWER = "answer"
    LATE = "late"  # the same, after `late_s`
    LUMPS = "lumps"  # the same, with a pause of `late_s` within it
    ERROR = "error"  # ran, and says 500
    FULL = "full"  # did not run, and says so
    RESET_UNRUN = "reset_unrun"
    RESET_RUN = "reset_run"  # ran, then a reset in place of an answer
    END_RUN = "end_run"
    HALF_RESET = "half_reset"  # ran, half an answer, a reset
    HALF_HANG = "half_hang"
    NOISE = "noise"  # ran, and answers what is no HTTP
    TWICE = "twice"  # a second copy of the answer right behind it
    COPY_LATE = "copy_late"  # a second copy of the answer after `copy_delay_s`
    SILENT = "silent"  # ran, and nothing more


@dataclass(slots=True)
class Behaviour:
    """Weights of what happens; scripts go before them."""

    greetings: Mapping[Greeting, float] = field(default_factory=lambda: {Greeting.TAKE: 1.0})
    replies: Mapping[Reply, float] = field(default_factory=lambda: {Reply.ANSWER: 1.0})
    greeting_script: deque[Greeting] = field(default_factory=deque)
    reply_script: deque[Reply] = field(default_factory=deque)
    work_s: float = 0.002  # mean time of a request's work, drawn exponentially
    late_s: float = 0.3
    most_s: float = float("inf")  # that a request's work takes
    is_serial: bool = False  # one request's work at a time, the others wait
    queue_limit_s: float = float("inf")  # of work that waits; a request beyond it is turned away
    copy_delay_s: tuple[float, float] = (0.001, 0.01)  # drawn evenly

    def greeting(self, rng: Random) -> Greeting:
        if self.greeting_script:
            return self.greeting_script.popleft()
        return rng.choices(list(self.greetings), list(self.greetings.values()))[0]

    def reply(self, rng: Random) -> Reply:
        if self.reply_script:
            return self.reply_script.popleft()
        return rng.choices(list(self.replies), list(self.replies.values()))[0]


def reset(transport: asyncio.Transport) -> None:
    """End a connection with RST; what was not read or sent is lost, as when a process dies."""
    if not transport.is_closing():
        sock = cast(socket.socket, transport.get_extra_info("socket"))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()


class Connection(asyncio.Protocol):
    """One connection of a node's; it reads whole requests and does as it is told."""

    def __init__(self, server: TopupServer) -> None:
        self.server = server
        self.buffer = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.accepted += 1
        greeting = self.server.behaviour.greeting(self.server.rng)
        if greeting == Greeting.RESET:
            reset(self.transport)
        elif greeting == Greeting.END:
            self.transport.close()
        elif greeting == Greeting.HANG:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer and self.transport is not None:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            first, headers = parts(head)
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.server.last_head = head
            self.server.requests += 1
            self.requested(first.split(" ")[1], headers.get("x-request-id", ""))

    def requested(self, path: str, rid: str) -> None:
        server = self.server
        if path == "/health/live":
            self.write(answer())
            return
        server.arrived_at.append(asyncio.get_running_loop().time())
        reply = server.behaviour.reply(server.rng)
        work = server.rng.expovariate(1 / server.behaviour.work_s)
        work = min(work, server.behaviour.most_s)
        if reply == Reply.FULL or server.is_full():
            self.write_reply(answer(b"", "503 Service Unavailable", NEVER_RAN), reply)
        elif reply == Reply.RESET_UNRUN:
            self.reset()
        else:
            server.ledger.ran(rid, server.name)
            server.runs += 1
            if reply == Reply.LATE:
                work += server.behaviour.late_s
            asyncio.get_running_loop().call_at(server.finish_time(work), self.done, reply, rid)

    def done(self, reply: Reply, rid: str) -> None:
        good = answer(served_body(rid))
        if reply in (Reply.ANSWER, Reply.LATE, Reply.COPY_LATE):
            self.write_reply(good, reply)
        elif reply == Reply.LUMPS:
            self.write(good[:-1])
            loop = asyncio.get_running_loop()
            loop.call_later(self.server.behaviour.late_s, self.write, good[-1:])
        elif reply == Reply.ERROR:
            self.write(answer(b"", "500 Internal Server Error"))
        elif reply == Reply.RESET_RUN:
            self.reset()
        elif reply == Reply.END_RUN:
            if self.transport is not None:
                self.transport.close()
        elif reply == Reply.HALF_RESET:
            self.write(good[: len(good) // 2])
            self.reset()
        elif reply == Reply.HALF_HANG:
            self.write(good[:-1])
        elif reply == Reply.NOISE:
            self.write(b"\0\1 no answer at all\r\n\r\n")
        elif reply == Reply.TWICE:
            self.write(good + good)

    def write_reply(self, data: bytes, reply: Reply) -> None:
        self.write(data)
        if reply == Reply.COPY_LATE:
            loop = asyncio.get_running_loop()
            shortest, longest = self.server.behaviour.copy_delay_s
            delay = self.server.rng.uniform(shortest, longest)
            loop.call_later(delay, self.write_copy, data, loop.time() + longest)

    def write_copy(self, data: bytes, latest: float) -> None:
        """Write it unless this loop is so late that it would come after the longest delay."""
        if asyncio.get_running_loop().time() <= latest + COPY_LATENESS_S:
            self.write(data)

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def reset(self) -> None:
        if self.transport is not None:
            reset(self.transport)


class TopupServer:
    """One server; it can be killed and come back at its address."""

    def __init__(
        self, name: str, ledger: Ledger, rng: Random, behaviour: Behaviour | None = None
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.behaviour = behaviour or Behaviour()
        self.connections: set[Connection] = set()
        self.port = 0  # of its first start on, for good
        self.accepted = 0
        self.requests = 0
        self.last_head = b""
        self.runs = 0
        self.boot_ms = 0
        self.arrived_at: list[float] = []  # of requests, by the loop's clock
        self._busy_until = 0.0
        self._listener: asyncio.Server | None = None

    @property
    def alive(self) -> bool:
        return self._listener is not None

    def is_full(self) -> bool:
        """Whether a request that came now would be turned away."""
        waiting_s = self._busy_until - asyncio.get_running_loop().time()
        return waiting_s > self.behaviour.queue_limit_s

    def finish_time(self, work_s: float) -> float:
        """When a request that came now and takes so much work has its answer."""
        now = asyncio.get_running_loop().time()
        if not self.behaviour.is_serial:
            return now + work_s
        self._busy_until = max(self._busy_until, now) + work_s
        return self._busy_until

    async def start(self) -> None:
        """Listen, at the same port as before; OSError where somebody else has it now."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port)
        self._listener = listener
        self.port = int(listener.sockets[0].getsockname()[1])

    def kill(self) -> None:
        """As when the process dies: every connection is reset, and new ones are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()
