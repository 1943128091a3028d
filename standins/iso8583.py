"""An ISO 8583 top-up server and a terminal on loopback, scriptable, with a ledger.

They read and write by the product's codec, which the tests hold against an independent one.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Mapping
from enum import StrEnum
from random import Random
from typing import cast

from standins.ledger import Ledger
from standins.servers import RESET
from tansywood.iso8583.codec import Codec, Message, Value, response_mti
from tansywood.iso8583.framing import Framer, Framing, frame


class Way(StrEnum):
    """What becomes of a request that has come whole."""

    ANSWER = "answer"
    DECLINE = "decline"  # ran, and says no: an answer like another
    ERROR = "error"  # ran, and says that something broke
    FULL = "full"  # did not run, and says so
    RESET_UNRUN = "reset_unrun"
    RESET_RUN = "reset_run"
    HALF_RESET = "half_reset"  # ran, half an answer, a reset
    TWICE = "twice"
    STRAY = "stray"  # ran, and answers another number before the right one
    SILENT = "silent"  # ran, and nothing more
    SPLIT = "split"  # the answer byte by byte
    LATER = "later"  # after those that come next


def request_id(message: Message) -> str:
    """By which the ledger knows a request, whoever carries it."""
    return "-".join(str(message.fields[n]) for n in (41, 7, 4))


class IsoTopup:
    """A server: signs on, echoes, runs requests."""

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        rng: Random,
        codec: Codec,
        framing: Framing,
        ways: Mapping[Way, float] | None = None,
    ) -> None:
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.codec = codec
        self.framing = framing
        self.ways = ways or {Way.ANSWER: 1.0}
        self.script: deque[Way] = deque()
        self.work_s = 0.002
        self.port = 0
        self.accepted = 0
        self.seen: list[Message] = []
        self.booked: list[str] = []  # trace numbers of credits that it has booked
        self.undone: list[Message] = []  # reversals that it has taken
        self.hangs = False  # leaves sign-ons and echoes without an answer, until `wake`
        self.holding: list[tuple[IsoConnection, Message]] = []
        self.conns: set[IsoConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: IsoConnection(self), "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def kill(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for conn in list(self.conns):
            conn.reset()

    def wake(self) -> None:
        """Answer what it has left without an answer."""
        self.hangs = False
        holding, self.holding = self.holding, []
        for conn, message in holding:
            conn.managed(message)

    def way(self) -> Way:
        if self.script:
            return self.script.popleft()
        return self.rng.choices(list(self.ways), list(self.ways.values()))[0]


class IsoConnection(asyncio.Protocol):
    def __init__(self, server: IsoTopup) -> None:
        self.server = server
        self.framer = Framer(server.framing)
        self.transport: asyncio.Transport | None = None
        self.later: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.accepted += 1
        self.server.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.conns.discard(self)

    def reset(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            sock = cast(socket.socket, self.transport.get_extra_info("socket"))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        for one in self.framer.feed(data):
            if self.transport is not None:
                self.received(self.server.codec.decode(one.body))

    def received(self, message: Message) -> None:
        if message.mti[1] == "8":
            if self.server.hangs:
                self.server.holding.append((self, message))
            else:
                self.managed(message)
            return
        self.server.seen.append(message)
        way = self.server.way()
        if way == Way.RESET_UNRUN:
            self.reset()
            return
        if way == Way.FULL:
            self.write(self.answer(message, "91"))
            return
        self.server.ledger.ran(request_id(message), self.server.name)
        if message.mti[1] == "4":
            self.server.undone.append(message)
        if message.mti[1] == "2" and str(message.fields[3])[:2] == "91" and way != Way.DECLINE:
            self.server.booked.append(str(message.fields[11]))
        if way == Way.RESET_RUN:
            self.reset()
        elif way != Way.SILENT:
            loop = asyncio.get_running_loop()
            loop.call_later(self.server.work_s, self.done, message, way)

    def managed(self, message: Message) -> None:
        fields = {n: v for n, v in message.fields.items() if n in (7, 11, 70)}
        self.write(self.bytes_of(Message(response_mti(message.mti), fields | {39: "00"})))

    def done(self, message: Message, way: Way) -> None:
        code = {Way.DECLINE: "51", Way.ERROR: "96"}.get(way, "00")
        data = self.answer(message, code)
        if way == Way.HALF_RESET:
            self.write(data[: len(data) // 2])
            asyncio.get_running_loop().call_later(0.005, self.reset)
        elif way == Way.SPLIT:
            for byte in data:
                self.write(bytes([byte]))
        elif way == Way.LATER and len(self.later) < 2:
            self.later.append(data)
            asyncio.get_running_loop().call_later(0.02, self.flush)
        else:
            if way == Way.STRAY:
                wrong = Message(message.mti, message.fields | {11: "999999"})
                self.write(self.answer(wrong, "00"))
            self.write(data * 2 if way == Way.TWICE else data)
            self.flush()

    def flush(self) -> None:
        later, self.later = self.later, []
        for data in later:
            self.write(data)

    def answer(self, message: Message, code: str) -> bytes:
        fields: dict[int, Value] = {
            n: v for n, v in message.fields.items() if n in (3, 4, 7, 11, 32, 41, 42, 49)
        }
        return self.bytes_of(Message(response_mti(message.mti), fields | {39: code}))

    def bytes_of(self, message: Message) -> bytes:
        tpdu = bytes(5) if self.server.framing.tpdu else b""
        return frame(self.server.framing, self.server.codec.encode(message), tpdu)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
