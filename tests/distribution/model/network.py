"""Connections, and their two ends: who serves a source, who keeps a subscriber connected."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from tansywood.distribution.messages import Busy, Message, Welcome, pack
from tansywood.distribution.source import TOO_MANY_REASON, Session, Source
from tansywood.distribution.subscriber import Action, Dial, Disconnect, Send, Subscriber

if TYPE_CHECKING:
    from tests.distribution.model.world import World


class Process:
    """Whoever has a clock of its own. Monotonic clocks only go on, and at one pace; a clock that
    jumps either way stands for a machine that was suspended, moved, or is out of order."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.ahead = 0  # of the world's time; less than 0 where it is behind

    @property
    def now(self) -> int:
        return self.world.now + self.ahead


class Wire:
    """One connection between a subscriber and a source."""

    def __init__(self, follower: Follower, attempt: int, server: Server) -> None:
        self.follower = follower
        self.attempt = attempt
        self.server = server
        self.number = server.source.opened(server.now)
        self.up: deque[bytes] = deque()
        self.down: deque[bytes] = deque()
        self.slow = False  # a reader that takes a message now and then
        self.room = 4  # messages towards the subscriber that are taken before it reads
        self.stalled_until = 0
        self.cut = False
        self.held_up = False  # not one of those that are cut at random
        self.cut_after = 0  # this many messages of changes; 0 for never
        self.closing = False  # closed once what is on the way down has arrived


class Server(Process):
    """A source and its connections."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.replica = world.parts.replica(world.parameters.max_resumable_changes)
        self.source: Source
        self.wires: dict[int, Wire] = {}
        self.down_until = 0

    @property
    def runs(self) -> bool:
        return self.world.now >= self.down_until

    def pump(self) -> None:
        for number in sorted(self.source.ready):
            wire = self.wires.get(number)
            if wire is None:
                self.source.ready.discard(number)
                continue
            self._send(number, wire)

    def _send(self, number: int, wire: Wire) -> None:
        session = self.source.sessions[number]
        while len(wire.down) < wire.room:
            message = self.source.next_message(number, self.now)
            if message is None:
                break
            if isinstance(message, Welcome):
                self.world.counts["compared" if message.compare else "resumed"] += 1
            elif isinstance(message, Busy) and message.reason == TOO_MANY_REASON:
                self.world.counts["turned away"] += 1
            wire.down.append(pack(message))
        if session.closing and not session.control:
            wire.closing = True

    def received(self, wire: Wire, message: Message) -> None:
        self.source.received(wire.number, self.now, message)
        self.overheard(self.source.sessions[wire.number], message)

    def overheard(self, session: Session, message: Message) -> None:
        """A message was taken."""

    def closed(self, wire: Wire) -> None:
        if self.wires.pop(wire.number, None) is not None:
            session = self.source.sessions[wire.number]
            self.source.closed(wire.number, self.now)
            self.gone(session)

    def gone(self, session: Session) -> None:
        """A session has ended."""

    def tick(self) -> None:
        for number in self.source.tick(self.now):
            self.world.counts["silent sessions"] += 1
            wire = self.wires[number]
            self.world.cut(wire)
            self.closed(wire)

    def note_coalescing(self, uid: str) -> None:
        if any(uid in session.pending for session in self.source.sessions.values()):
            self.world.counts["coalesced"] += 1


class Follower(Process):
    """Who keeps a subscriber connected."""

    def __init__(self, world: World, name: str) -> None:
        Process.__init__(self, world, name)
        self.subscriber: Subscriber
        self.wire: Wire | None = None
        self.dials: list[Dial] = []

    def flush(self) -> None:
        while self.subscriber.actions:
            actions, self.subscriber.actions = self.subscriber.actions, []
            for action in actions:
                self._do(action)

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            if self.wire is not None and not self.wire.cut:
                self.wire.up.append(pack(action.message))
        elif isinstance(action, Dial):
            self.dials.append(action)
        elif isinstance(action, Disconnect):
            self.dials = [dial for dial in self.dials if dial.attempt != action.attempt]
            if self.wire is not None and self.wire.attempt == action.attempt:
                wire, self.wire = self.wire, None
                self.world.cut(wire)
        else:
            self.handle(action)

    def handle(self, action: Action) -> None:
        """What is to be done beyond connections."""

    def received(self, wire: Wire, message: Message) -> None:
        self.subscriber.received(wire.attempt, self.now, message)
        self.overheard(message)
        self.flush()

    def overheard(self, message: Message) -> None:
        """A message was taken."""

    def dial(self) -> None:
        """Answer what is dialled: connected, refused, or not at all; now, or later."""
        dials, self.dials = self.dials, []
        for action in dials:
            if action.attempt not in self.subscriber.dialing:
                continue
            if self.world.answers_later():
                self.dials.append(action)
                continue
            server = self.world.server(action.address)
            if not self.world.reaches(self, server):
                if self.world.random.random() < 0.5:
                    self.subscriber.disconnected(action.attempt, self.now, "refused")
            else:
                self.wire = self.world.connect(self, action.attempt, server)
                self.subscriber.connected(action.attempt, self.now)
            self.flush()

    def lost(self, wire: Wire) -> None:
        if self.wire is wire:
            self.wire = None
        self.subscriber.disconnected(wire.attempt, self.now)
        self.flush()

    def tick(self) -> None:
        self.subscriber.tick(self.now)
        self.flush()
