"""Terminals and billing systems that speak ISO 8583: the front of a node (its Caller port)."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

from tansywood.iso8583 import repeats
from tansywood.iso8583.codec import Codec, IsoError, Message
from tansywood.iso8583.framing import Frame, Framer, Framing, FramingError, answering, frame
from tansywood.iso8583.machine import Front, Reply, Request, reply_to
from tansywood.iso8583.mapping import Mapping
from tansywood.iso8583.repeats import Repeats, Verdict
from windrelay.config import Address
from windrelay.node import Node
from windrelay.node import Request as NodeRequest

MS = 1_000_000
KEEP_MS = 120_000  # an answer is given again for so long
BEHIND = 1 << 20  # bytes that a terminal has not taken
OPEN = 512  # requests of one connection


class Asked:
    """A request as the node has it (windrelay's Asked port)."""

    __slots__ = (
        "at", "cls", "codec", "hint", "key", "message", "raw", "reserved", "retried", "rid",
        "tenant", "timeout",
    )  # fmt: skip

    def __init__(
        self, codec: Codec, caller: Caller, cls: int, timeout: int, raw: bytes, at: int
    ) -> None:
        message = caller.message
        self.codec = codec
        self.message = message
        self.raw = raw
        self.at = at  # of its trace number in these bytes
        self.cls = cls
        self.tenant = 0
        self.key = 0
        self.hint = 0
        self.retried = repeats_first(message)
        self.timeout = timeout
        self.rid = caller.key.encode()
        self.reserved = len(raw)


def repeats_first(message: Message) -> bool:
    return message.mti[3] in ("1", "3", "5")


class Caller:
    """One message that waits for its answer; a repeat that joined another waits as well."""

    __slots__ = ("conn", "key", "message", "request", "tpdu")

    def __init__(self, conn: TerminalConnection, message: Message, tpdu: bytes, key: str) -> None:
        self.conn = conn
        self.message = message
        self.tpdu = tpdu
        self.key = key
        self.request: NodeRequest | None = None

    def answer(self, *answer: Any) -> None:
        """Served: the bytes of the answer, under the caller's own trace number."""
        (raw,) = answer
        self.conn.server.settle(self, cast(bytes, raw), ran=True)

    def refused(self, retry_after: int) -> None:
        server = self.conn.server
        answer = reply_to(self.message, server.mapping.refused)
        server.settle(self, server.codec.encode(answer), ran=False)

    def failed(self, late: bool) -> None:
        server = self.conn.server
        answer = reply_to(self.message, server.mapping.failed)
        server.settle(self, server.codec.encode(answer), ran=True)


class TerminalConnection(asyncio.Protocol):
    """One terminal's connection; many of its requests may be open."""

    def __init__(self, server: IsoServer) -> None:
        self.server = server
        self.front = Front(server.must_sign_on)
        self.framer = Framer(server.framing)
        self.transport: asyncio.Transport | None = None
        self.open = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.node.clients += 1
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Its requests go on: a credit is not undone by a hang-up, and a repeat from another
        connection finds it."""
        self.transport = None
        self.server.node.clients -= 1
        self.server.connections.discard(self)
        self.server.node.freed()

    def data_received(self, data: bytes) -> None:
        try:
            for one in self.framer.feed(data):
                self.received(one)
        except (FramingError, IsoError) as err:
            # Where the next message begins, or what it means, is not known any more.
            self.server.unreadable += 1
            self.server.node.log(f"a terminal's message can't be read: {err}")
            if self.transport is not None:
                self.transport.close()

    def received(self, one: Frame) -> None:
        message, at = self.server.codec.decode_at(one.body)
        event = self.front.received(message)
        if isinstance(event, Reply):
            self.write(event.message, one.tpdu)
        elif isinstance(event, Request):
            self.server.request(self, message, one, at)

    def write(self, message: Message, tpdu: bytes) -> None:
        self.put(self.server.codec.encode(message), tpdu)

    def put(self, body: bytes, tpdu: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(frame(self.server.framing, body, answering(tpdu) if tpdu else b""))
        if transport.get_write_buffer_size() > BEHIND:
            transport.abort()  # it takes nothing: what it missed it may ask again


class IsoServer:
    """The listener of terminals and all that they have open."""

    def __init__(
        self,
        node: Node,
        codec: Codec,
        framing: Framing,
        mapping: Mapping,
        secret: bytes,
        must_sign_on: bool = False,
        now_ms: Callable[[], int] = lambda: time.time_ns() // MS,
    ) -> None:
        self.node = node
        self.codec = codec
        self.framing = framing
        self.mapping = mapping
        self.secret = secret
        self.must_sign_on = must_sign_on
        self.now_ms = now_ms
        self.repeats = Repeats(KEEP_MS)
        self.connections: set[TerminalConnection] = set()
        self.unreadable = 0
        settings = node.config.settings
        self.numbers = {c.name: i for i, c in enumerate(settings.classes)}
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        self._server = await self.node.loop.create_server(
            lambda: TerminalConnection(self), address.host, address.port
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if conn.transport is not None:
                conn.transport.close()

    def request(self, conn: TerminalConnection, message: Message, one: Frame, at: int) -> None:
        """A message for the node: a new one, or a repeat of one that it knows."""
        cls = self.mapping.class_of(message)
        number = self.numbers.get(cls) if cls is not None else None
        if number is None:
            conn.write(reply_to(message, self.mapping.unknown), one.tpdu)
            return
        key = repeats.identity(message, self.secret)
        what = repeats.content(message, self.secret)
        caller = Caller(conn, message, one.tpdu, key)
        if conn.open >= OPEN:
            conn.write(reply_to(message, self.mapping.refused), one.tpdu)
            return
        verdict, answer = self.repeats.arrives(key, what, caller, self.now_ms())
        if verdict == Verdict.CONFLICT:
            conn.write(reply_to(message, self.mapping.conflict), one.tpdu)
        elif verdict == Verdict.LOST:
            conn.write(reply_to(message, self.mapping.failed), one.tpdu)
        elif verdict == Verdict.AGAIN:
            conn.put(bytes.fromhex(answer), one.tpdu)
        else:
            conn.open += 1
            if verdict == Verdict.NEW:
                self.begin(caller, number, one.body, at)

    def begin(self, caller: Caller, number: int, raw: bytes, at: int) -> None:
        node, size = self.node, len(raw)
        timeout = node.config.settings.classes[number].deadline
        asked = Asked(self.codec, caller, number, timeout, raw, at)
        node.budget.take(size)
        request = node.request(caller, asked, 0)
        if request is None:
            node.budget.give(size)
            caller.refused(0)

    def settle(self, caller: Caller, answer: bytes, ran: bool) -> None:
        """The one answer of a request, and the same for each that joined it. What never ran
        is not kept: its repeat is tried anew."""
        if ran:
            joined = self.repeats.answered(caller.key, answer.hex(), self.now_ms())
        else:
            joined = self.repeats.never_ran(caller.key)
        for one in (caller, *joined):
            one.conn.open -= 1
            one.conn.put(answer, one.tpdu)

    def sweep(self) -> None:
        self.repeats.expired(self.now_ms())
