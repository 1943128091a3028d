"""Connections to ISO 8583 servers: many attempts share one (a windrelay ConnectionPool).

The line that the rules hang on is the same as for HTTP: an attempt whose last byte has
certainly not left this process never ran; of any other it is in doubt. On one connection that
is counted: an attempt's last byte is the n-th of the stream, and what the transport still
holds has not left.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import cast

from flinthatch import Outcome
from flinthatch import State as ListState
from flinthatch.attempt_timeout import Progress
from tansywood.iso8583.codec import Codec, IsoError, Message
from tansywood.iso8583.framing import Framer, Framing, FramingError, frame
from tansywood.iso8583.machine import Answer, Broken, Event, Link, Reply, Stans, State
from tansywood.iso8583.mapping import Mapping, of_many
from windrelay.config import Address
from windrelay.discovery import Discovery
from windrelay.node import Attempt, Node
from windrelay.upstream import DIAL_GRACE_TURNS

MS = 1_000_000
REST_MS = 300_000  # of a trace number: longer than any deadline there may be
CONNECTIONS = 2  # to one server
TPDU = bytes(5)


def transmission_time() -> str:
    """Field 7: month, day and time of the day in UTC."""
    return time.strftime("%m%d%H%M%S", time.gmtime())


class Carried:
    """One attempt on its connection (a windrelay AttemptHandle)."""

    __slots__ = ("attempt", "conn", "end")

    def __init__(self, conn: ServerConnection, attempt: Attempt) -> None:
        self.conn = conn
        self.attempt = attempt
        self.end = 0  # of its last byte in the stream; 0 while it waits for the connection

    def abandon(self) -> bool:
        return self.conn.abandon(self)

    def progress(self) -> Progress:
        """A response is one message: until it has come, nothing tells of progress."""
        return Progress.SILENT

    def is_request_delivered(self) -> bool:
        """A message is short: it has left with its last byte."""
        return True

    def response_progress(self) -> None:
        """A part of a message can't be passed on."""

    def pass_on(self) -> None:
        """Not called: there is no response to pass on before it is complete."""


class Advice:
    """A message that is no attempt: a reversal that is owed. `done` gets the answer, or None
    where there is none any more; it is told once."""

    __slots__ = ("done", "message", "told")

    def __init__(self, message: Message, done: Callable[[Message | None], None]) -> None:
        self.message = message
        self.done = done
        self.told = False

    def end(self, answer: Message | None) -> None:
        if not self.told:
            self.told = True
            self.done(answer)


class ServerConnection(asyncio.Protocol):
    """One connection to one server, from its dialling to its end."""

    def __init__(self, link: IsoLink, backend: int, address: Address) -> None:
        self.link = link
        self.backend = backend
        self.address = address
        self.machine = Link(link.trace_numbers(backend), link.most, sign_on=link.sign_on)
        self.framer = Framer(link.framing)
        self.transport: asyncio.Transport | None = None
        self.waiting: list[Carried] = []  # for the dial and the sign-on
        self.carried: dict[Attempt, Carried] = {}
        self.advice: list[Advice] = []  # for the dial and the sign-on
        self.sent = 0  # bytes given to the transport
        self.over = False
        self.drains = False  # nothing new: its server leaves
        self.timer = link.node.loop.call_later(
            link.node.config.settings.connect_timeout / 1e9, self.late, DIAL_GRACE_TURNS
        )
        self.task = link.node.loop.create_task(self.dial())
        self.task.add_done_callback(self.dialled)

    async def dial(self) -> None:
        host, port = self.address
        loop = self.link.node.loop
        await loop.create_connection(lambda: self, host, port, family=socket.AF_INET)

    def dialled(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is not None:
            self.ended("no connection")

    def late(self, turns: int) -> None:
        if self.over or self.machine.state == State.SIGNED:
            return
        if turns:
            # What the kernel has by now is told first: see windrelay's dials.
            self.link.node.loop.call_soon(self.late, turns - 1)
        else:
            self.ended("neither connected nor signed on in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:
            self.transport.abort()
            return
        first = self.machine.start(self.link.now_ms(), transmission_time())
        if first is not None:
            self.write(first)
        else:
            self.signed()

    def signed(self) -> None:
        self.timer.cancel()
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            self.send(one)
        advice, self.advice = self.advice, []
        for each in advice:
            self.advise(each)

    def advise(self, one: Advice) -> None:
        """Send it, or have it told that it can't be."""
        if self.machine.state != State.SIGNED:
            self.advice.append(one)
            return
        message = self.machine.send(self.link.now_ms(), one, one.message)
        if message is None:
            one.end(None)
        else:
            self.write(message)

    # ---- attempts ----

    def takes(self) -> bool:
        """Whether one more attempt may go this way."""
        if self.over or self.drains:
            return False
        if self.machine.state == State.SIGNED:
            return self.machine.room()
        return len(self.waiting) < self.link.most

    def carry(self, attempt: Attempt) -> None:
        one = Carried(self, attempt)
        attempt.connection = one
        self.carried[attempt] = one
        if self.machine.state == State.SIGNED:
            self.send(one)
        else:
            self.waiting.append(one)

    def send(self, one: Carried) -> None:
        r = one.attempt.request
        assert r is not None
        message = self.machine.send(self.link.now_ms(), one, r.incoming.message)
        if message is None:
            self.conclude(one, Outcome.NOT_SENT)
            return
        self.link.before(one.attempt, str(message.fields[11]), partial(self.go, one, message))

    def go(self, one: Carried, message: Message, kept: bool) -> None:
        """What has to outlast us before it leaves is kept, or can't be."""
        r = one.attempt.request
        if self.over or one.attempt.concluded or r is None or one.attempt not in self.carried:
            return
        if not kept:
            self.machine.give_up(self.link.now_ms(), one)
            self.conclude(one, Outcome.NOT_SENT)
            return
        asked = r.incoming
        try:
            if asked.at >= 0 and asked.codec is self.link.codec:
                # Its bytes are those of the caller but for the trace number.
                stan = str(message.fields[11])
                self.put(self.link.codec.with_stan(asked.raw, asked.at, stan))
            else:
                self.write(message)
        except IsoError as err:  # it was read by another dialect than this server's
            self.machine.give_up(self.link.now_ms(), one)
            self.link.node.log(f"backend {self.backend}: not sent: {err}")
            self.conclude(one, Outcome.NOT_SENT)
            return
        one.end = self.sent

    def write(self, message: Message) -> None:
        self.put(self.link.codec.encode(message))

    def put(self, body: bytes) -> None:
        transport, framing = self.transport, self.link.framing
        assert transport is not None
        data = frame(framing, body, TPDU if framing.tpdu else b"")
        transport.write(data)
        self.sent += len(data)

    def left(self, one: Carried) -> bool:
        """Whether its last byte may have left the process."""
        if not one.end:
            return False
        transport = self.transport
        if transport is None or transport.is_closing():
            return True  # what the transport held is not known any more
        return self.sent - transport.get_write_buffer_size() >= one.end

    def abandon(self, one: Carried) -> bool:
        """Wait for it no longer; the connection and what else is on it stay."""
        left = self.left(one)
        self.carried.pop(one.attempt, None)
        if one in self.waiting:
            self.waiting.remove(one)
        elif left:
            self.machine.give_up(self.link.now_ms(), one)
        elif one.end:
            # Half of it lies in the buffer, behind others: the stream can't be cut there.
            self.machine.give_up(self.link.now_ms(), one)
            self.ended("an attempt was given up before it had left")
        else:
            self.machine.give_up(self.link.now_ms(), one)  # it is being kept, and not written
        return left

    def conclude(self, one: Carried, outcome: Outcome) -> None:
        self.carried.pop(one.attempt, None)
        self.link.node.conclude(one.attempt, outcome)

    # ---- what comes ----

    def data_received(self, data: bytes) -> None:
        try:
            frames = self.framer.feed(data)
            for one in frames:
                if self.over:
                    return
                message, at = self.link.codec.decode_at(one.body)
                event = self.machine.received(self.link.now_ms(), message)
                if isinstance(event, Answer):
                    self.answered(event, one.body, at)
                else:
                    self.event(event)
        except (FramingError, IsoError) as err:
            self.ended(f"what it sent can't be read: {err}")

    def answered(self, event: Answer, raw: bytes, at: int) -> None:
        if isinstance(event.token, Advice):
            event.token.end(event.message)
            self.link.rests(self)
            return
        one = cast(Carried, event.token)
        outcome = self.link.mapping.outcome(event.message)
        r = one.attempt.request
        if outcome == Outcome.OK and r is not None and r.client is not None and not r.ended:
            codec = self.link.codec
            if at >= 0 and r.incoming.codec is codec:
                back = codec.with_stan(raw, at, str(event.message.fields[11]))
            else:
                back = r.incoming.codec.encode(event.message)
            r.client.send_response(back, event.message.fields.get(39))
        self.conclude(one, outcome)
        self.link.rests(self)

    def event(self, event: Event | None) -> None:
        if isinstance(event, Reply):
            self.write(event.message)
        elif isinstance(event, Broken):
            self.ended(event.why, event)
        elif event is not None:
            self.link.strays += 1
        elif self.machine.state == State.SIGNED and (self.waiting or self.advice):
            self.signed()
        elif self.machine.state == State.SIGNED:
            self.timer.cancel()

    def sweep(self) -> None:
        if self.transport is None or self.over:
            return
        event = self.machine.tick(self.link.now_ms(), transmission_time())
        if isinstance(event, Broken):
            self.ended(event.why, event)
        elif event is not None:
            self.write(event)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended(str(exc or "it ended"))

    def ended(self, why: str, broken: Broken | None = None) -> None:
        """The connection is of no more use: each attempt on it gets its one outcome."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        connected = self.transport is not None
        tokens = (broken or self.machine.broke(why)).outstanding
        advice, self.advice = self.advice, []
        for each in (*advice, *(t for t in tokens if isinstance(t, Advice))):
            each.end(None)
        outstanding = [t for t in tokens if isinstance(t, Carried)]
        outcomes = of_many([self.left(one) for one in outstanding])
        waiting, self.waiting = self.waiting, []
        self.link.forget(self)
        if self.transport is not None:
            self.transport.abort()
        else:
            self.task.cancel()
        if outstanding or waiting:
            self.link.node.log(
                f"backend {self.backend}: {why}, {len(outstanding)} messages outstanding"
            )
        for one, outcome in zip(outstanding, outcomes, strict=True):
            self.conclude(one, outcome)
        for n, one in enumerate(waiting):
            # A dial that failed is one piece of news of the server, too.
            lost = n == 0 and not (connected and outstanding)
            self.conclude(one, Outcome.CONNECT_FAILED if lost else Outcome.NOT_SENT)


class IsoLink:
    """All connections to a node's ISO 8583 servers (a windrelay ConnectionPool)."""

    def __init__(
        self,
        node: IsoNode,
        codec: Codec,
        framing: Framing,
        mapping: Mapping,
        most: int = 64,
        sign_on: bool = True,
        now_ms: Callable[[], int] = lambda: time.monotonic_ns() // MS,
    ) -> None:
        self.node = node
        self.codec = codec
        self.framing = framing
        self.mapping = mapping
        self.most = most  # messages outstanding on one connection
        self.sign_on = sign_on
        self.now_ms = now_ms
        self.strays = 0  # answers that served nobody
        # Asked before an attempt is written, with our trace number: calls back with whether
        # what has to outlast us is kept. The front's, where it keeps anything.
        self.before: Callable[[Attempt, str, Callable[[bool], None]], None] = (
            lambda _attempt, _stan, then: then(True)
        )
        self.conns: dict[int, list[ServerConnection]] = {}
        self.stans: dict[int, Stans] = {}  # by backend

    @property
    def descriptor_count(self) -> int:
        return sum(map(len, self.conns.values()))

    @descriptor_count.setter
    def descriptor_count(self, value: int) -> None:
        raise AttributeError("it is counted")

    def trace_numbers(self, backend: int) -> Stans:
        """The trace numbers of all connections to a backend, one after the other too."""
        if backend not in self.stans:
            self.stans[backend] = Stans(REST_MS)
        return self.stans[backend]

    def send(self, attempt: Attempt) -> None:
        backend = attempt.backend
        if attempt.request is None:
            self.node.conclude(attempt, Outcome.NOT_SENT)  # a probe: echoes do that here
            return
        address = self.node.discovery.backend_list.endpoints.get(backend)
        if address is None:
            self.node.conclude(attempt, Outcome.CONNECT_FAILED)
            return
        conns = self.conns.setdefault(backend, [])
        for conn in conns:
            if conn.address == address and conn.takes():
                conn.carry(attempt)
                return
        if len(conns) >= CONNECTIONS:
            self.node.conclude(attempt, Outcome.FULL)
        elif not self.node.has_room_for_backend():
            self.node.conclude(attempt, Outcome.NOT_SENT)
        else:
            conn = ServerConnection(self, backend, address)
            conns.append(conn)
            conn.carry(attempt)

    def advise(self, backend: int, one: Advice) -> bool:
        """Send a server something that is no request; False where it can't be tried now: the
        server is not there, drains or is banned, or nothing more fits."""
        known = self.node.balancer.backends.get(backend)
        address = self.node.discovery.backend_list.endpoints.get(backend)
        if known is None or known.state != ListState.READY or address is None:
            return False
        conns = self.conns.setdefault(backend, [])
        for conn in conns:
            if conn.address == address and conn.takes():
                conn.advise(one)
                return True
        if len(conns) >= CONNECTIONS or not self.node.has_room_for_backend():
            if not conns:
                del self.conns[backend]
            return False
        conn = ServerConnection(self, backend, address)
        conns.append(conn)
        conn.advise(one)
        return True

    def forget(self, conn: ServerConnection) -> None:
        conns = self.conns.get(conn.backend, [])
        if conn in conns:
            conns.remove(conn)
        if not conns:
            self.conns.pop(conn.backend, None)
        self.node.on_descriptor_freed()

    def rests(self, conn: ServerConnection) -> None:
        if conn.drains and not conn.carried and not conn.machine.out:
            conn.ended("its server has left")

    def drain_backend(self, backend: int) -> None:
        """Begin nothing more there: what waits for a dial or a sign-on never ran."""
        for conn in self.conns.get(backend, ()):
            waiting, conn.waiting = conn.waiting, []
            for one in waiting:
                conn.conclude(one, Outcome.NOT_SENT)
        self.drop_idle(backend)

    def drop_idle(self, backend: int) -> None:
        """A server that moves, drains or has left keeps its connections for what is on them."""
        for conn in list(self.conns.get(backend, ())):
            conn.drains = True
            self.rests(conn)

    def close_oldest_idle(self) -> bool:
        for conns in self.conns.values():
            for conn in conns:
                if not conn.carried and conn.machine.state == State.SIGNED:
                    conn.ended("its descriptor is wanted")
                    return True
        return False

    def sweep(self, now: int) -> None:
        for backend in [b for b in self.stans if b not in self.node.balancer.backends]:
            if backend not in self.conns:
                del self.stans[backend]
        for conns in list(self.conns.values()):
            for conn in list(conns):
                conn.sweep()

    def close(self) -> None:
        for conns in list(self.conns.values()):
            for conn in list(conns):
                conn.ended("the node stops")


class IsoNode(Node):
    """A node whose servers speak ISO 8583."""

    upstream: IsoLink
    discovery: Discovery
