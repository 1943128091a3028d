"""Simulated connections and their two ends: servers with a source, followers with a subscriber."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from tansywood.distribution.messages import Busy, Message, Welcome, pack
from tansywood.distribution.source import TOO_MANY_REASON, Session, Source
from tansywood.distribution.subscriber import Action, Dial, Disconnect, Send, Subscriber

if TYPE_CHECKING:
    from tests.distribution.model.world import World


class Process:
    """A process with its own clock. A real monotonic clock only advances, and at a constant rate. A
    clock that jumps stands for a machine that was suspended or migrated, or has a faulty clock."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.clock_offset = 0  # from the world's time; negative if the clock is behind

    @property
    def now(self) -> int:
        return self.world.now + self.clock_offset


class Connection:
    """One connection between a subscriber and a source."""

    def __init__(self, follower: Follower, attempt: int, server: Server) -> None:
        self.follower = follower
        self.attempt = attempt
        self.server = server
        self.number = server.source.opened(server.now)
        self.up: deque[bytes] = deque()
        self.down: deque[bytes] = deque()
        self.slow = False  # the subscriber reads a message only now and then
        self.max_unread = 4  # messages that the connection holds for the subscriber
        self.stalled_until = 0
        self.cut = False
        self.held_back = False  # excluded from random cuts
        self.cut_after_changes = 0  # cut after this many Changes messages; 0 for never
        self.closing = False  # closed once the messages to the subscriber have arrived


class Server(Process):
    """A process with a source and its connections."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.replica = world.parts.replica(world.parameters.max_resumable_changes)
        self.source: Source
        self.connections: dict[int, Connection] = {}
        self.down_until = 0

    @property
    def runs(self) -> bool:
        return self.world.now >= self.down_until

    def send_ready(self) -> None:
        for number in sorted(self.source.ready):
            connection = self.connections.get(number)
            if connection is None:
                self.source.ready.discard(number)
                continue
            self._send(number, connection)

    def _send(self, number: int, connection: Connection) -> None:
        session = self.source.sessions[number]
        while len(connection.down) < connection.max_unread:
            message = self.source.next_message(number, self.now)
            if message is None:
                break
            if isinstance(message, Welcome):
                self.world.counts["compared" if message.compare else "resumed"] += 1
            elif isinstance(message, Busy) and message.reason == TOO_MANY_REASON:
                self.world.counts["turned away"] += 1
            connection.down.append(pack(message))
        if session.closing and not session.control:
            connection.closing = True

    def received(self, connection: Connection, message: Message) -> None:
        self.source.received(connection.number, self.now, message)
        self.on_message(self.source.sessions[connection.number], message)

    def on_message(self, session: Session, message: Message) -> None:
        """Called after a message was received."""

    def closed(self, connection: Connection) -> None:
        if self.connections.pop(connection.number, None) is not None:
            session = self.source.sessions[connection.number]
            self.source.closed(connection.number, self.now)
            self.session_ended(session)

    def session_ended(self, session: Session) -> None:
        """Called when a session has ended."""

    def tick(self) -> None:
        for number in self.source.tick(self.now):
            self.world.counts["silent sessions"] += 1
            connection = self.connections[number]
            self.world.cut(connection)
            self.closed(connection)

    def note_coalescing(self, uid: str) -> None:
        if any(uid in session.pending for session in self.source.sessions.values()):
            self.world.counts["coalesced"] += 1


class Follower(Process):
    """A process that keeps a subscriber connected."""

    def __init__(self, world: World, name: str) -> None:
        Process.__init__(self, world, name)
        self.subscriber: Subscriber
        self.connection: Connection | None = None
        self.dials: list[Dial] = []

    def flush(self) -> None:
        while self.subscriber.actions:
            actions, self.subscriber.actions = self.subscriber.actions, []
            for action in actions:
                self._perform(action)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Send):
            if self.connection is not None and not self.connection.cut:
                self.connection.up.append(pack(action.message))
        elif isinstance(action, Dial):
            self.dials.append(action)
        elif isinstance(action, Disconnect):
            self.dials = [dial for dial in self.dials if dial.attempt != action.attempt]
            if self.connection is not None and self.connection.attempt == action.attempt:
                connection, self.connection = self.connection, None
                self.world.cut(connection)
        else:
            self.handle(action)

    def handle(self, action: Action) -> None:
        """Perform an action that does not concern connections."""

    def received(self, connection: Connection, message: Message) -> None:
        self.subscriber.received(connection.attempt, self.now, message)
        self.on_message(message)
        self.flush()

    def on_message(self, message: Message) -> None:
        """Called after a message was received."""

    def dial(self) -> None:
        """Answer the dials: connected, refused or not at all, now or in a later step."""
        dials, self.dials = self.dials, []
        for action in dials:
            if action.attempt not in self.subscriber.dialing:
                continue
            if self.world.delays_dial_answer():
                self.dials.append(action)
                continue
            server = self.world.server(action.address)
            if not self.world.reaches(self, server):
                if self.world.random.random() < 0.5:
                    self.subscriber.disconnected(action.attempt, self.now, "refused")
            else:
                self.connection = self.world.connect(self, action.attempt, server)
                self.subscriber.connected(action.attempt, self.now)
            self.flush()

    def lost(self, connection: Connection) -> None:
        if self.connection is connection:
            self.connection = None
        self.subscriber.disconnected(connection.attempt, self.now)
        self.flush()

    def tick(self) -> None:
        self.subscriber.tick(self.now)
        self.flush()
