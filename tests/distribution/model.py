"""Publisher, distributors and instances on a simulated network, with faults drawn from a seed.

The shipped cores run as they are; links, clocks, disks and processes are simulated. Messages of
one connection arrive in order or not at all; connections are cut, stall, and lose their tail;
processes restart; the publisher restarts on its disk, on an older copy of it, or without it.

`Oracle` judges what instances put into force, `World.settle` ends all faults, and `World.judge`
compares what is held with the publisher's content.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from tansywood.distribution.messages import (
    Epoch,
    Hello,
    Kind,
    Message,
    Moved,
    Position,
    Refusal,
    Resource,
    Rollouts,
    Welcome,
    alias_of_host,
    pack,
    unpack,
)
from tansywood.distribution.replica import Replica
from tansywood.distribution.rollout import RolloutBoard
from tansywood.distribution.source import ProtocolError, Session, Source
from tansywood.distribution.subscriber import (
    Action,
    Answer,
    Apply,
    Continued,
    Dial,
    HangUp,
    HistoryChanged,
    Link,
    Send,
    Subscriber,
)
from tansywood.distribution.terms import MS, SECOND, Terms

TERMS = Terms(
    heartbeat=40 * MS,
    silence=160 * MS,
    dial=80 * MS,
    reconnect_first=20 * MS,
    reconnect_most=60 * MS,
    stale=120 * MS,
    stale_again_first=200 * MS,
    stale_again_most=800 * MS,
    window=3,
    batch_bytes=40,
    away=300 * MS,
    question_wait=150 * MS,
    ask_again=30 * MS,
)
STEP = 10 * MS
FAULTY_STEPS = 160
QUIET_STEPS = 110
TENANTS = [f"t{n}" for n in range(8)]
WANDERING = [alias_of_host(f"shared{n}.example") for n in range(2)]  # move between tenants
COPIES_MOST = 6
PUBLISHER = "publisher"


class PropertyError(AssertionError):
    """The property does not hold; the text says who, when and what."""


@dataclass(frozen=True, slots=True)
class Parts:
    """The cores that are driven; tests take a defence out of one."""

    replica: type[Replica] = Replica
    source: type[Source] = Source
    subscriber: type[Subscriber] = Subscriber


@dataclass(frozen=True, slots=True)
class Content:
    """What the publisher has of one tenant."""

    revision: int
    body: bytes
    aliases: tuple[str, ...]


@dataclass(slots=True)
class Disk:
    """What the publisher has kept; a copy of it may be restored."""

    epoch: Epoch
    revision: int = 0
    parent: Position = field(default_factory=Position)
    contents: dict[str, Content] = field(default_factory=dict)
    changes: list[tuple[int, str]] = field(default_factory=list)

    def copy(self) -> Disk:
        return Disk(self.epoch, self.revision, self.parent, dict(self.contents), list(self.changes))


class Oracle:
    """What the publisher has had of each tenant, in the order of real time."""

    def __init__(self) -> None:
        self._states: dict[str, list[bytes | None]] = {uid: [None] for uid in TENANTS}

    def became(self, uid: str, body: bytes | None) -> None:
        if self._states[uid][-1] != body:
            self._states[uid].append(body)

    def next_place(self, uid: str, place: int, body: bytes | None) -> int | None:
        """The first place of a state that is not before `place`; None where there is none."""
        states = self._states[uid]
        return next((n for n in range(place, len(states)) if states[n] == body), None)


class Wire:
    """One connection between a subscriber and a source."""

    def __init__(self, follower: Follower, attempt: int, server: Server) -> None:
        self.follower = follower
        self.attempt = attempt
        self.server = server
        self.number = server.source.opened(server.world.now)
        self.up: deque[bytes] = deque()
        self.down: deque[bytes] = deque()
        self.slow = False  # a reader that takes a message now and then
        self.room = 4  # messages towards the subscriber that are taken before it reads
        self.stalled_until = 0
        self.cut = False
        self.closing = False  # closed once what is on the way down has arrived


class Server:
    """A source and its connections."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.replica = world.parts.replica(world.terms.window)
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
            message = self.source.next_message(number, self.world.now)
            if message is None:
                break
            if isinstance(message, Welcome):
                self.world.counts["compared" if message.compare else "resumed"] += 1
            wire.down.append(pack(message))
        if session.ends and not session.control:
            wire.closing = True

    def received(self, wire: Wire, message: Message) -> None:
        self.source.received(wire.number, self.world.now, message)
        self.overheard(self.source.sessions[wire.number], message)

    def overheard(self, session: Session, message: Message) -> None:
        """A message was taken."""

    def closed(self, wire: Wire) -> None:
        if self.wires.pop(wire.number, None) is not None:
            session = self.source.sessions[wire.number]
            self.source.closed(wire.number, self.world.now)
            self.gone(session)

    def gone(self, session: Session) -> None:
        """A session has ended."""

    def tick(self) -> None:
        for number in self.source.tick(self.world.now):
            self.world.counts["silent sessions"] += 1
            wire = self.wires[number]
            self.world.cut(wire)
            self.closed(wire)

    def note_coalescing(self, uid: str) -> None:
        if any(uid in session.pending for session in self.source.sessions.values()):
            self.world.counts["coalesced"] += 1


class Publisher(Server):
    """The source of everything; its disk is a plain table."""

    def __init__(self, world: World) -> None:
        super().__init__(world, PUBLISHER)
        self.disk = Disk(Epoch(1, b"1"))
        self.board = RolloutBoard()
        self.copies: list[Disk] = []
        self.begin()

    def begin(self) -> None:
        """Start on what the disk holds."""
        disk, random = self.disk, self.world.random
        self.replica = self.world.parts.replica(self.world.terms.window, disk.epoch, disk.revision)
        self.replica.load(self._resource(uid, c) for uid, c in disk.contents.items())
        forgotten = max(len(disk.changes) - random.randrange(self.world.terms.window + 1), 0)
        self.replica.set_floor(forgotten)  # revisions count the changes
        for revision, uid in disk.changes[forgotten:]:
            self.replica.record(revision, uid)
        self.replica.begin_epoch(disk.epoch, disk.parent)
        self.source = self.world.parts.source(
            self.replica, self.world.terms, self.world.now, is_publisher=True
        )
        self.board = RolloutBoard()
        self.wires = {}

    def _resource(self, uid: str, content: Content) -> Resource:
        aliases = list(content.aliases)
        return Resource(uid, content.revision, Kind.CONTENT, content.body, aliases)

    def commit(self, uid: str, body: bytes | None, aliases: Iterable[str]) -> None:
        """Change, create or remove (`body` None) a tenant."""
        disk = self.disk
        disk.revision += 1
        disk.changes.append((disk.revision, uid))
        if body is None:
            del disk.contents[uid]
            resource = Resource(uid, disk.revision, Kind.REMOVED)
        else:
            disk.contents[uid] = Content(disk.revision, body, tuple(aliases))
            resource = self._resource(uid, disk.contents[uid])
        self.world.oracle.became(uid, body)
        self.note_coalescing(uid)
        self.replica.commit(resource)
        self.source.changed(uid, disk.revision, self.world.now)

    def restart(self, disk: Disk, parent: Position) -> None:
        """Go on with this disk in a new epoch, which begins behind `parent`."""
        for wire in list(self.wires.values()):
            self.world.cut(wire)
        self.world.epochs += 1
        self.disk = disk
        disk.epoch = Epoch(self.world.epochs, str(self.world.epochs).encode())
        disk.parent = parent
        for uid in TENANTS:
            content = disk.contents.get(uid)
            self.world.oracle.became(uid, content.body if content is not None else None)
        self.begin()

    def overheard(self, session: Session, message: Message) -> None:
        if isinstance(message, Rollouts):
            self.board.report(session.name, message.rows, message.revision)
            for distributor, names in self.board.joined(session.name, message.joined).items():
                self.source.tell_moved(distributor, names)
        elif isinstance(message, Hello) and session.welcomed:
            self.board.connected(session.name)

    def gone(self, session: Session) -> None:
        if session.name:
            self.board.disconnected(session.name)


class Follower:
    """Who keeps a subscriber connected."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
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
        elif isinstance(action, HangUp):
            self.dials = [dial for dial in self.dials if dial.attempt != action.attempt]
            if self.wire is not None and self.wire.attempt == action.attempt:
                wire, self.wire = self.wire, None
                self.world.cut(wire)
        else:
            self.handle(action)

    def handle(self, action: Action) -> None:
        """What is to be done beyond connections."""

    def received(self, wire: Wire, message: Message) -> None:
        self.subscriber.received(wire.attempt, self.world.now, message)
        self.overheard(message)
        self.flush()

    def overheard(self, message: Message) -> None:
        """A message was taken."""

    def dial(self) -> None:
        """Answer what is dialled: connected, refused, or not at all."""
        dials, self.dials = self.dials, []
        for action in dials:
            server = self.world.server(action.address)
            if not self.world.reaches(self, server):
                if self.world.random.random() < 0.5:
                    self.subscriber.disconnected(action.attempt, self.world.now, "refused")
            else:
                self.wire = self.world.connect(self, action.attempt, server)
                self.subscriber.connected(action.attempt, self.world.now)
            self.flush()

    def lost(self, wire: Wire) -> None:
        if self.wire is wire:
            self.wire = None
        self.subscriber.disconnected(wire.attempt, self.world.now)
        self.flush()

    def tick(self) -> None:
        self.subscriber.tick(self.world.now)
        self.flush()


class Distributor(Server, Follower):
    """A subscriber of everything and a source over one replica."""

    def __init__(self, world: World, name: str) -> None:
        Server.__init__(self, world, name)
        Follower.__init__(self, world, name)
        self.isolated_until = 0
        self.begin()

    def begin(self) -> None:
        """Start with nothing."""
        parts, now = self.world.parts, self.world.now
        self.replica = parts.replica(self.world.terms.window)
        self.source = parts.source(self.replica, self.world.terms, now, is_publisher=False)
        random = Random(self.world.random.random())
        self.subscriber = parts.subscriber(
            self.name, [PUBLISHER], self.replica, self.world.terms, random, now, everything=True
        )
        self.wires = {}
        self.dials = []

    def handle(self, action: Action) -> None:
        now = self.world.now
        if isinstance(action, Apply):
            for uid in action.uids:
                self.note_coalescing(uid)
                self.source.changed(uid, self.replica.resource(uid).revision, now)
            self.subscriber.applied(action.batch, now)
        elif isinstance(action, Continued):
            self.world.counts["epochs continued"] += 1
            self.source.epoch_continued(now)
        elif isinstance(action, HistoryChanged):
            self.world.counts["histories changed"] += 1
            self.source.stop_serving()

    def received(self, wire: Wire, message: Message) -> None:
        """Both ends come here: one from below, one from above."""
        if wire.server is self:
            Server.received(self, wire, message)
        else:
            Follower.received(self, wire, message)

    def overheard(self, *what: object) -> None:
        message = what[-1]
        if len(what) == 1:
            self._heard_above(message)

    def _heard_above(self, message: object) -> None:
        self.source.publisher_heard(self.world.now)
        self.flush()
        if self.replica.revision and not self.source.serving:
            self.replica.set_floor(self.replica.revision)
            self.source.serving = True
        if isinstance(message, Moved):
            self.source.moved(message.names)
        elif isinstance(message, Welcome):
            self.source.report_again()

    def tick(self) -> None:
        Server.tick(self)
        Follower.tick(self)
        if self.subscriber.link is Link.UP:
            report = self.source.report(self.world.now)
            if report is not None:
                self.subscriber.actions.append(Send(report))
                self.flush()


class Node(Follower):
    """An instance: it asks, puts into force after a while, refuses some, gives up some."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.begin()

    def begin(self) -> None:
        """Start with nothing."""
        world = self.world
        self.replica = world.parts.replica(world.terms.window)
        self.subscriber = world.parts.subscriber(
            self.name, sorted(world.distributors), self.replica, self.world.terms,
            Random(world.random.random()), world.now,
        )  # fmt: skip
        self.in_force: dict[str, bytes] = {}
        self.refused: dict[str, bytes] = {}
        self.applying: deque[tuple[int, Apply]] = deque()
        self.asked: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self.wanted: set[str] = set()  # answered, and not given up since
        self.uses = 0  # counts what was asked, answered and given up
        self.open_until: dict[str, int] = {}  # of each alias: the use that answered it last
        self.given_up: dict[str, int] = {}  # of each tenant: the use that gave it up last
        self.places: dict[str, int] = {}
        self.labels: dict[str, tuple[Epoch, int]] = {}
        self.dials = []

    def look_up(self, aliases: Sequence[str]) -> None:
        number = self.subscriber.lookup(aliases, self.world.now)
        self.asked[number] = tuple(aliases)
        self.flush()

    def give_up(self, uids: Sequence[str]) -> None:
        for uid in uids:
            self.in_force.pop(uid, None)
            self.refused.pop(uid, None)
        self.wanted -= set(uids)
        self.uses += 1
        self.given_up.update(dict.fromkeys(uids, self.uses))
        self.subscriber.give_up(uids, self.world.now)
        self.flush()

    def may_want(self, uid: str) -> bool:
        """Whether a question may have subscribed to it that was open after it was given up."""
        given_up = self.given_up.get(uid, 0)
        closed = (alias for alias, use in self.open_until.items() if use > given_up)
        asked = [alias for aliases in self.asked.values() for alias in aliases]
        return uid in self.wanted or uid in self.world.owners_of([*closed, *asked])

    def handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self._look_at(action.uids)
            self.applying.append((self.world.now + self.world.apply_time(), action))
        elif isinstance(action, Answer):
            self.uses += 1
            self.open_until.update(dict.fromkeys(self.asked.pop(action.question), self.uses))
            if action.uids is not None:
                self.world.counts["answers"] += 1
                self.wanted |= {uid for uid in action.uids if uid in self.replica.entries}

    def _look_at(self, uids: Iterable[str]) -> None:
        """The property: nothing goes back, nothing comes that was not asked for."""
        for uid in uids:
            entry = self.replica.entries.get(uid)
            body = entry.body if entry is not None else None
            if entry is not None and not self.may_want(uid):
                self._wrong(f"was told {uid}, which it does not want")
            place = self.world.oracle.next_place(uid, self.places.get(uid, 0), body)
            if place is None:
                self._wrong(f"{uid} went back to {body!r}")
            else:
                self.places[uid] = place
            label = (self.replica.epoch, self.replica.resource(uid).revision)
            if label < self.labels.get(uid, label):
                self._wrong(f"{uid} went back from {self.labels[uid]} to {label}")
            self.labels[uid] = label

    def _wrong(self, what: str) -> None:
        raise PropertyError(f"{self.world}: {self.name} {what}")

    def finish(self) -> None:
        """Put into force what has taken its time by now."""
        while self.applying and self.applying[0][0] <= self.world.now:
            _, action = self.applying.popleft()
            refusals = [r for uid in action.uids if (r := self._put(uid)) is not None]
            self.subscriber.applied(action.batch, self.world.now, refusals)
            self.flush()

    def _put(self, uid: str) -> Refusal | None:
        entry = self.replica.entries.get(uid)
        self.refused.pop(uid, None)
        if entry is None:
            self.in_force.pop(uid, None)
            self.wanted.discard(uid)
            return None
        if self.world.is_bad(entry.body):
            self.refused[uid] = entry.body
            return Refusal(uid, entry.revision, "bad")
        self.in_force[uid] = entry.body
        return None

    def tick(self) -> None:
        super().tick()
        self.finish()


class World:
    """All of it, driven by one seed."""

    def __init__(self, seed: int, parts: Parts | None = None) -> None:
        self.seed = seed
        self.parts = parts or Parts()
        self.random = Random(seed)
        self.terms = replace(
            TERMS,
            window=self.random.choice([3, 8, 30]),
            batch_bytes=self.random.choice([1, 1, 40]),
        )
        self.now = SECOND
        self.steps = 0
        self.epochs = 1
        self.faulty = True
        self.counts: Counter[str] = Counter()
        self.oracle = Oracle()
        self.owners: dict[str, set[str]] = {}  # of each alias, over all time
        self.wires: list[Wire] = []
        self.distributors: dict[str, Distributor] = {}
        self.publisher = Publisher(self)
        for n in range(self.random.randint(1, 3)):
            self.distributors[f"d{n}"] = Distributor(self, f"d{n}")
        self.nodes = [Node(self, f"n{n}") for n in range(self.random.randint(1, 4))]
        self.pace = self.random.choice([0.05, 0.2, 0.5])  # of the publisher's changes, by step
        self.changes_until = self.random.randint(FAULTY_STEPS // 2, FAULTY_STEPS)
        self.restarts = self.random.choice([0.0, 0.01, 0.04])  # of the publisher, by step
        for uid in TENANTS[:4]:
            self._change(uid)

    def __str__(self) -> str:
        return f"seed {self.seed}, step {self.steps}"

    # ---- running ---------------------------------------------------------------------------

    def run(self) -> None:
        """Faults for a while, then quiet; PropertyError where the property does not hold."""
        for _ in range(FAULTY_STEPS):
            self._draw_events()
            self.step()
        self.settle()
        self.judge()

    def settle(self) -> None:
        """All faults end; what is to come comes."""
        self.faulty = False
        self.publisher.down_until = 0
        for distributor in self.distributors.values():
            distributor.down_until = distributor.isolated_until = 0
        for wire in self.wires:
            wire.stalled_until = 0
            wire.room = 4
            wire.slow = False
        if not self.publisher.disk.revision:
            self._change(TENANTS[0])  # a source without any history serves nobody
        for _ in range(QUIET_STEPS):
            self.step()

    def step(self) -> None:
        """Time passes; timers, then the network."""
        self.now += STEP
        self.steps += 1
        if self.publisher.runs:
            self.publisher.tick()
        for follower in self._followers():
            follower.tick()
            follower.dial()
        for _ in range(2):
            for wire in list(self.wires):
                self._carry(wire)
            for server in self._servers():
                server.pump()

    def _followers(self) -> list[Follower]:
        running: list[Follower] = [d for d in self.distributors.values() if d.runs]
        return running + list(self.nodes)

    def _servers(self) -> list[Server]:
        servers: list[Server] = [self.publisher, *self.distributors.values()]
        return [server for server in servers if server.runs]

    def _carry(self, wire: Wire) -> None:
        """Deliver some of what is on the way, in order."""
        if wire.stalled_until > self.now or wire.cut:
            return
        most = self.random.choice([0, 1, 2, 4]) if self.faulty else 8
        for _ in range(most):
            if wire.up and not wire.cut:
                self._deliver(wire, wire.server, wire.up.popleft())
            if wire.down and not wire.cut and not (wire.slow and self.random.random() < 0.8):
                self._deliver(wire, wire.follower, wire.down.popleft())
        if wire.closing and not wire.down and not wire.cut:
            self.cut(wire)

    def _deliver(self, wire: Wire, receiver: Server | Follower, data: bytes) -> None:
        try:
            receiver.received(wire, unpack(data))
        except ProtocolError as err:
            raise PropertyError(f"{self}: {receiver.name} got what may not be said: {err}") from err
        if isinstance(receiver, Server) and self.random.random() < 0.7:
            receiver.pump()

    # ---- the network -----------------------------------------------------------------------

    def server(self, address: str) -> Server:
        return self.publisher if address == PUBLISHER else self.distributors[address]

    def reaches(self, follower: Follower, server: Server) -> bool:
        isolated = isinstance(follower, Distributor) and follower.isolated_until > self.now
        return server.runs and not isolated

    def connect(self, follower: Follower, attempt: int, server: Server) -> Wire:
        wire = Wire(follower, attempt, server)
        wire.room = self.random.choice([1, 2, 4])
        wire.slow = self.faulty and self.random.random() < 0.4
        server.wires[wire.number] = wire
        self.wires.append(wire)
        return wire

    def cut(self, wire: Wire) -> None:
        """A connection ends; what is on the way is lost. An end may not notice for itself."""
        if wire.cut:
            return
        wire.cut = True
        self.wires.remove(wire)
        wire.up.clear()
        wire.down.clear()
        half_open = self.faulty and self.random.random() < 0.3
        follower_notices = not half_open or self.random.random() < 0.5
        if not half_open or not follower_notices:
            wire.server.closed(wire)
        if follower_notices:
            wire.follower.lost(wire)

    # ---- events ----------------------------------------------------------------------------

    def _draw_events(self) -> None:
        random = self.random
        if self.publisher.runs:
            if self.steps < self.changes_until and random.random() < self.pace:
                for _ in range(random.choice([1, 1, 1, 2, 4])):
                    self._change_something()
            if random.random() < 0.05:
                self.publisher.copies.append(self.publisher.disk.copy())
                del self.publisher.copies[:-COPIES_MOST]
            if random.random() < self.restarts:
                self._restart_publisher()
        for distributor in self.distributors.values():
            self._disturb(distributor)
        for node in self.nodes:
            self._use(node)
        if self.wires and random.random() < 0.08:
            self.cut(random.choice(self.wires))
        backlogs = [w for w in self.wires if len(w.server.source.sessions[w.number].pending) > 1]
        if backlogs and random.random() < 0.1:
            self.cut(random.choice(backlogs))
        if self.wires and random.random() < 0.08:
            random.choice(self.wires).stalled_until = self.now + random.randint(2, 14) * STEP

    def _change_something(self) -> None:
        contents = self.publisher.disk.contents
        draw = self.random.random()
        uid = self.random.choice(TENANTS)
        if draw < 0.15 and uid in contents:
            self.publisher.commit(uid, None, ())
        elif draw < 0.25 and contents:
            self._move_alias()
        elif draw < 0.4 and len(contents) > 1:  # the same one again, and again
            self._change(min(contents))
        else:
            self._change(uid)

    def _change(self, uid: str, aliases: Sequence[str] | None = None) -> None:
        """Another content, now and then one that it had before."""
        disk = self.publisher.disk
        now = disk.contents.get(uid)
        if aliases is None:
            aliases = now.aliases if now is not None else [alias_of_host(f"{uid}.example")]
        text = f"{disk.epoch.number}.{disk.revision + 1}"
        if self.random.random() < 0.2:
            text = f"again{self.random.randrange(2)}"
        body = " ".join([uid, text, *aliases]).encode()
        for alias in aliases:
            self.owners.setdefault(alias, set()).add(uid)
        self.publisher.commit(uid, body, aliases)

    def _move_alias(self) -> None:
        contents = self.publisher.disk.contents
        alias = self.random.choice(WANDERING)
        for uid, content in list(contents.items()):
            if alias in content.aliases:
                self._change(uid, [a for a in content.aliases if a != alias])
        uid = self.random.choice(sorted(contents))
        self._change(uid, [*contents[uid].aliases, alias])

    def _restart_publisher(self) -> None:
        publisher, random = self.publisher, self.random
        disk = publisher.disk
        publisher.down_until = self.now + random.choice([0, 3, 20]) * STEP
        draw = random.random()
        if draw < 0.5:
            self.counts["restarts on the same disk"] += 1
            publisher.restart(disk, Position(disk.epoch, disk.revision))
        elif draw < 0.85 and publisher.copies:
            self.counts["restarts on an older copy"] += 1
            copy = random.choice(publisher.copies).copy()
            publisher.restart(copy, Position(copy.epoch, copy.revision))
        else:
            self.counts["restarts without a disk"] += 1
            publisher.restart(Disk(disk.epoch), Position())

    def _disturb(self, distributor: Distributor) -> None:
        random = self.random
        if random.random() < 0.008 and distributor.runs:
            self.counts["distributors restarted"] += 1
            for wire in [w for w in self.wires if distributor in (w.server, w.follower)]:
                self.cut(wire)
            distributor.down_until = self.now + random.choice([0, 3, 20]) * STEP
            distributor.begin()
        if random.random() < 0.012:
            self.counts["distributors isolated"] += 1
            distributor.isolated_until = self.now + random.randint(5, 40) * STEP
            for wire in [w for w in self.wires if w.follower is distributor]:
                self.cut(wire)

    def _use(self, node: Node) -> None:
        random = self.random
        if random.random() < 0.12:
            aliases = sorted(self.owners)
            node.look_up(random.sample(aliases, min(len(aliases), random.choice([1, 1, 2, 3]))))
        if node.replica.entries and random.random() < 0.06:
            self.counts["given up"] += 1
            node.give_up(random.sample(sorted(node.replica.entries), 1))
        if random.random() < 0.004:
            self.counts["instances restarted"] += 1
            for wire in [w for w in self.wires if w.follower is node]:
                self.cut(wire)
            self.counts["stale sources left"] += node.subscriber.left_stale
            node.begin()

    def apply_time(self) -> int:
        return self.random.choice([0, 0, STEP, 5 * STEP]) if self.faulty else 0

    def is_bad(self, body: bytes) -> bool:
        """Whether instances refuse it; a matter of the content."""
        return body.split()[1].endswith(b"3")

    def owners_of(self, aliases: Iterable[str]) -> set[str]:
        return {uid for alias in aliases for uid in self.owners.get(alias, ())}

    # ---- the property once all is quiet ----------------------------------------------------

    def judge(self) -> None:
        """PropertyError where somebody holds too little, too much, or another state."""
        for distributor in self.distributors.values():
            self._judge_distributor(distributor)
        for node in self.nodes:
            self._judge_node(node)
            self.counts["stale sources left"] += node.subscriber.left_stale
        for uid, content in self.publisher.disk.contents.items():
            self._judge_rollout(uid, content)

    def _require(self, holds: bool, what: str) -> None:
        if not holds:
            raise PropertyError(f"{self}: {what}")

    def _judge_distributor(self, distributor: Distributor) -> None:
        disk, replica, name = self.publisher.disk, distributor.replica, distributor.name
        position = Position(disk.epoch, disk.revision)
        self._require(distributor.source.serving, f"{name} does not serve")
        self._require(
            replica.position == position, f"{name} is at {replica.position}, not {position}"
        )
        held = {uid: e.body for uid, e in replica.entries.items()}
        self._require(held == {uid: c.body for uid, c in disk.contents.items()}, f"{name}: {held}")
        aliases = {a: uid for uid, c in disk.contents.items() for a in c.aliases}
        self._require(replica.aliases == aliases, f"{name}: aliases {replica.aliases}")
        for session in distributor.source.sessions.values():
            quiet = not session.pending and not session.control and not session.comparing
            self._require(quiet, f"{name}: something waits for {session.name}")

    def _judge_node(self, node: Node) -> None:
        contents = self.publisher.disk.contents
        self._require(node.subscriber.link is Link.UP, f"{node.name} is not connected")
        held = {uid: entry.body for uid, entry in node.replica.entries.items()}
        current = {uid: contents[uid].body for uid in held if uid in contents}
        self._require(held == current, f"{node.name} holds {held}, current is {current}")
        missing = node.wanted & contents.keys() - held.keys()
        self._require(not missing, f"{node.name} lacks {missing}")
        surplus = {uid for uid in held if not node.may_want(uid)}
        self._require(not surplus, f"{node.name} holds {surplus}, which it does not want")
        good = {uid: body for uid, body in held.items() if uid not in node.refused}
        in_force = {uid: body for uid, body in node.in_force.items() if uid not in node.refused}
        self._require(good == in_force, f"{node.name}: in force {in_force}, held {good}")
        source = self.distributors[node.subscriber.address].source
        sessions = [s for s in source.sessions.values() if s.name == node.name]
        self._require(len(sessions) == 1, f"{node.name} has {len(sessions)} sessions")
        told = sessions[0].subscriptions
        self._require(told == held.keys(), f"{node.name} holds {set(held)}, its source has {told}")

    def _judge_rollout(self, uid: str, content: Content) -> None:
        """What sources count of a change is what instances have in force."""
        having = [n for n in self.nodes if n.in_force.get(uid) == content.body]
        refusing = [n for n in self.nodes if uid in n.refused]
        rows = [d.source.rollout(uid, content.revision) for d in self.distributors.values()]
        told = (
            sum(r.have for r in rows),
            sum(r.waiting for r in rows),
            sum(r.refused for r in rows),
        )
        true = (len(having), 0, len(refusing))
        self._require(told == true, f"rollout of {uid} at {content.revision}: {told}, true {true}")
        summary = self.publisher.board.summary(uid, content.revision)
        above = (summary.waiting, summary.distributors_waiting)
        self._require(above == (0, ()), f"summary of {uid} at {content.revision}: {summary}")
        more = summary.have > len(having) or summary.refused > len(refusing)
        self._require(not more, f"summary of {uid}: {summary}, true {true}")
