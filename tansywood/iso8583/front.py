"""Terminals and billing systems that speak ISO 8583: the front of a node (its windrelay Caller)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, cast

from flinthatch import Effect, Outcome, RequestClass
from tansywood.iso8583 import repeats
from tansywood.iso8583.codec import Codec, IsoError, Message
from tansywood.iso8583.framing import Frame, Framer, Framing, FramingError, answering, frame
from tansywood.iso8583.link import Advice, IsoLink, IsoNode
from tansywood.iso8583.machine import Front, Reply, Request, reply_to
from tansywood.iso8583.mapping import Mapping
from tansywood.iso8583.records import KINDS, Records, Row
from tansywood.iso8583.repeats import Repeats, Verdict
from tansywood.iso8583.reversals import (
    Act,
    Fate,
    Reversals,
    forwarded,
    older,
    original_of,
)
from windrelay.clock import unix_ms
from windrelay.config import Address
from windrelay.node import Attempt, Node
from windrelay.node import Request as NodeRequest

MS = 1_000_000
KEEP_MS = 120_000  # an answer is given again for so long
# What became of a credit is known for a reversal of it: some 300 bytes each, so 30 MB at 30 credits
# a second. A later reversal is not taken, for the original may have been booked anywhere.
ORIGINAL_MS = 3600 * 1000
STUCK_MS = 300_000  # owed for so long somebody has to look
BEHIND = 1 << 20  # bytes that a terminal has not taken
OPEN = 512  # requests of one connection


class Asked:
    """A request as the node has it (a windrelay ParsedRequest)."""

    __slots__ = (
        "at", "class_number", "codec", "cost_hint", "is_retry", "key", "lasts", "message", "raw",
        "request_id", "reserved_bytes", "tenant", "timeout_ns",
    )  # fmt: skip

    def __init__(
        self, codec: Codec, caller: Caller, cls: int, timeout: int, raw: bytes, at: int
    ) -> None:
        message = caller.message
        self.codec = codec
        self.message = message
        self.raw = raw
        self.at = at  # of its trace number in these bytes
        self.class_number = cls
        self.tenant = 0
        self.key = 0
        self.cost_hint = 0
        self.is_retry = repeats_first(message)
        self.timeout_ns = timeout
        self.lasts = caller.lasts
        self.request_id = caller.key.encode()
        self.reserved_bytes = len(raw)


def repeats_first(message: Message) -> bool:
    return message.mti[3] in ("1", "3", "5")


class Caller:
    """One message that waits for its answer; a repeat that joined another waits as well."""

    __slots__ = ("conn", "key", "lasts", "message", "request", "tpdu")

    def __init__(
        self, conn: TerminalConnection, message: Message, tpdu: bytes, key: str, lasts: bool
    ) -> None:
        self.conn = conn
        self.message = message
        self.tpdu = tpdu
        self.key = key
        self.lasts = lasts  # its effect outlasts us, and so must what is known of it
        self.request: NodeRequest | None = None

    def send_response(self, *answer: Any) -> None:
        """Served: the bytes of the answer, under the caller's own trace number, and its code."""
        raw, code = answer
        server = self.conn.server
        booked = not self.lasts or code in server.mapping.approved
        server.settle(self, raw, Fate.APPROVED if booked else Fate.DECLINED)

    def refuse(self, retry_after: int) -> None:
        server = self.conn.server
        answer = server.refusal(self.message, retry_after)
        server.settle(self, server.codec.encode(answer), Fate.NEVER_RAN)

    def fail(self, late: bool) -> None:
        server = self.conn.server
        answer = reply_to(self.message, server.mapping.failed)
        server.settle(self, server.codec.encode(answer), Fate.IN_DOUBT)

    def has_left(self) -> bool:
        """A terminal may come back for its answer: it has never left for good."""
        return False


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
        self.server.node.client_count += 1
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Its requests go on: a credit is not undone by a hang-up, and a repeat from another
        connection finds it."""
        self.transport = None
        self.server.node.client_count -= 1
        self.server.connections.discard(self)
        self.server.node.on_descriptor_freed()

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
        now_ms: Callable[[], int] = unix_ms,
        records: Records | None = None,
        rows: Sequence[Row] = (),
    ) -> None:
        """`rows` are what `records` kept for an earlier process. Without `records` a node
        remembers nothing over its end: credits that were out are in doubt for good."""
        self.node = node
        self.codec = codec
        self.framing = framing
        self.mapping = mapping
        self.secret = secret
        self.must_sign_on = must_sign_on
        self.now_ms = now_ms
        self.records = records
        self.repeats = Repeats(KEEP_MS)
        self.reversals = Reversals(ORIGINAL_MS)
        kept: dict[str, list[tuple[str, dict[str, Any]]]] = {kind: [] for kind in KINDS}
        for kind, key, record in rows:
            if record is not None:
                kept[kind].append((key, record))
        parts = {
            part: [(key, record[part]) for key, record in kept["credit"] if record[part]]
            for part in ("repeat", "fate")
        }
        self.repeats.load(parts["repeat"])
        self.reversals.load([record for _, record in kept["debt"]], parts["fate"])
        self.open: dict[str, Caller] = {}  # what lasts, by its identity
        self.paying: set[str] = set()  # debts that are out at their server
        self.told_ms = 0
        if isinstance(node, IsoNode):
            node.upstream.before = self.before
        self.connections: set[TerminalConnection] = set()
        self.unreadable = 0
        classes = node.config.settings.classes
        self.know(classes, {c.name: i for i, c in enumerate(classes)})
        self._server: asyncio.Server | None = None

    def know(self, classes: Sequence[RequestClass], numbers: dict[str, int]) -> None:
        """The node's classes, and the numbers that requests of each come with."""
        self.numbers = numbers
        self.deadlines = {numbers[c.name]: c.deadline for c in classes}
        self.lasting = {numbers[c.name] for c in classes if c.effect != Effect.PURE}

    def connection(self) -> TerminalConnection:
        return TerminalConnection(self)

    async def listen(self, address: Address) -> int:
        self._server = await self.node.loop.create_server(
            self.connection, address.host, address.port
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
        if message.mti[1] == "4":
            self.reversal(conn, message, one.tpdu)
            return
        cls = self.mapping.class_of(message)
        number = self.numbers.get(cls) if cls is not None else None
        if number is None:
            conn.write(reply_to(message, self.mapping.unknown), one.tpdu)
            return
        key = repeats.identity(message, self.secret)
        what = repeats.content(message, self.secret)
        caller = Caller(conn, message, one.tpdu, key, number in self.lasting)
        if conn.open >= OPEN:
            conn.write(self.refusal(message, 0), one.tpdu)
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
                if caller.lasts and not self.reversals.came(key, self.now_ms()):
                    if self.reversals.fate(key) == Fate.REVERSED:
                        caller.refuse(0)
                    else:
                        caller.fail(late=True)  # it may have run, long ago for a repeat
                else:
                    self.begin(caller, number, one.body, at)

    def refusal(self, message: Message, retry_after: int) -> Message:
        """It never ran; `retry_after` in nanoseconds, 0 where nobody says when."""
        number = self.mapping.retry_field
        answer = reply_to(message, self.mapping.refused)
        if not number or not retry_after:
            return answer
        spec = self.codec.dialect.fields[number]
        seconds = str(min(-(-retry_after // 1_000_000_000), 10 ** min(spec.length, 9) - 1))
        text = seconds if spec.digits else seconds.zfill(spec.length)
        return Message(answer.mti, answer.fields | {number: text})

    def begin(self, caller: Caller, number: int, raw: bytes, at: int) -> None:
        node, size = self.node, len(raw)
        if caller.lasts:
            self.open[caller.key] = caller
        deadline = self.deadlines[number] // MS
        left = self.mapping.left_ms(caller.message, deadline, self.now_ms())
        if left <= 0:
            caller.refuse(0)  # nobody waits for it any more
            return
        asked = Asked(self.codec, caller, number, left * MS, raw, at)
        node.budget.reserve(size)
        request = node.start_request(caller, asked, 0)
        if request is None:
            node.budget.release(size)
            caller.refuse(0)
        else:
            caller.request = request

    def before(self, attempt: Attempt, stan: str, then: Callable[[bool], None]) -> None:
        """An attempt is about to leave: what is known of a credit is kept first. A crash behind
        this leaves it in doubt, and never unknown."""
        request = attempt.request
        assert request is not None
        if not request.incoming.lasts:
            then(True)
            return
        key = request.incoming.request_id.decode()
        if not self.reversals.sent(key, f"{attempt.backend}:{stan}", self.now_ms()):
            then(False)
        elif self.records is None:
            then(True)
        else:
            self.records.keep(self.rows_of(key), then)

    def rows_of(self, key: str) -> list[Row]:
        """One row for all that is known of a credit. Its repeat's part stays in it past its own
        time, which it tells: to take it out would be a write more for each credit."""
        record = {"repeat": self.repeats.record(key), "fate": self.reversals.record(key)}
        return [Row("credit", key, record)]

    def settle(self, caller: Caller, answer: bytes, fate: Fate) -> None:
        """The one answer of a request, and the same for each that joined it. What never ran
        is not kept: its repeat is tried anew."""
        key, now = caller.key, self.now_ms()
        if fate == Fate.NEVER_RAN:
            joined = self.repeats.never_ran(key)
        else:
            joined = self.repeats.answered(key, answer.hex(), now)
        if caller.lasts and self.open.pop(key, None) is not None:
            self.reversals.ended(key, fate, now)
            owed = [Row("debt", key, None)] if self.reversals.settled(key) else []
            if self.records is not None:
                # Nobody waits for it: lost in a crash, it is in doubt again.
                self.records.keep(self.rows_of(key) + owed)
        for one in (caller, *joined):
            one.conn.open -= 1
            one.conn.put(answer, one.tpdu)

    # ---- reversals ------------------------------------------------------

    def reversal(self, conn: TerminalConnection, message: Message, tpdu: bytes) -> None:
        """Take back a credit: see `reversals` for what that means."""
        named = original_of(message)
        if named is None:
            conn.write(reply_to(message, self.mapping.unknown), tpdu)
            return
        mti, stan, at = named
        acquirer, terminal = message.fields.get(32), message.fields.get(41)
        key = repeats.identity_of(mti, at, stan, acquirer, terminal, self.secret)
        if self.reversals.fate(key) is None and older(at, self.now_ms(), ORIGINAL_MS):
            conn.write(reply_to(message, self.mapping.failed), tpdu)
            return
        told_before = self.reversals.owes(key)
        act, debt = self.reversals.arrives(key, self.codec.encode(message).hex(), self.now_ms())
        if act == Act.GIVE_UP:
            self.give_up(key)
        rows = [Row("debt", key, debt.record())] if debt is not None else self.rows_of(key)

        def kept(done: bool) -> None:
            if not done and debt is not None and not told_before and key not in self.paying:
                self.reversals.answered(key)  # not taken: the terminal will say it again
            code = self.mapping.reversed if done else self.mapping.failed
            conn.write(reply_to(message, code), tpdu)
            if done:
                self.pay()

        if self.records is None:
            kept(True)
        else:
            self.records.keep(rows, kept)

    def give_up(self, key: str) -> None:
        """An original that waits and was never sent: it is refused, and stays out."""
        caller = self.open.pop(key, None)
        if caller is not None and caller.request is not None:
            self.node.client_gone(caller.request)
            caller.refuse(0)

    def pay(self) -> None:
        """Forward what is due to the servers that it is owed to."""
        link = self.node.upstream
        assert isinstance(link, IsoLink)
        for debt in self.reversals.due(self.now_ms()):
            backend, _, stan = debt.server.partition(":")
            if debt.key in self.paying or not backend:
                continue
            message = forwarded(self.codec.decode(bytes.fromhex(debt.message)), stan)
            self.paying.add(debt.key)
            if not link.advise(int(backend), Advice(message, partial(self.paid, debt.key))):
                self.paying.discard(debt.key)

    def paid(self, key: str, answer: Message | None) -> None:
        self.paying.discard(key)
        if answer is None or self.mapping.outcome(answer) != Outcome.OK:
            return  # it did not take it: due again later
        if self.reversals.answered(key):
            self.reversals.ended(key, Fate.REVERSED, self.now_ms())
            self.forget([Row("debt", key, None), *self.rows_of(key)])

    def forget(self, rows: list[Row]) -> None:
        """Nobody waits for it: what stays for a crash's sake is only kept longer."""
        if rows and self.records is not None:
            self.records.keep(rows)

    def sweep(self) -> None:
        """Every quarter of a second or so."""
        now = self.now_ms()
        self.repeats.expired(now)
        self.forget([Row("credit", key, None) for key in self.reversals.expired(now)])
        self.pay()
        stuck = self.reversals.stuck(now, STUCK_MS)
        if stuck and now - self.told_ms >= STUCK_MS:
            self.told_ms = now
            self.node.log(
                f"{len(stuck)} reversals are owed for over {STUCK_MS // 1000} s, the oldest to "
                f"server {stuck[0].server.partition(':')[0] or 'unknown'}"
            )
