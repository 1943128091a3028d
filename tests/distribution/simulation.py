"""Simulates subscribers and sources in virtual time, with an event queue instead of sockets.

The production classes run unchanged, with the default parameters. Time jumps from event to event,
so that a test of thousands of seconds does not depend on the wall clock. The test sets how the
process or network of a source behaves: see `Condition`. `Records` keeps the times of dials, hellos,
welcomes and refusals.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random

from tansywood.distribution.messages import Busy, Epoch, Hello, Kind, Message, Resource, Welcome
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import (
    Action,
    Apply,
    Dial,
    Disconnect,
    Link,
    Send,
    Subscriber,
)

LATENCY_NS = 2 * MS  # of a message, one way
SOURCE_TICK_NS = 100 * MS
EPOCH = Epoch(1, b"a")
TENANT = "t1"
BEFORE, CHANGED = b"before", b"changed"


class Condition(Enum):
    """How a source behaves towards its subscribers."""

    RUNS = "runs"
    SILENT = "silent"  # stopped or unreachable: no answers, and connections stay open
    DEAD = "dead"  # connections are closed, dials are refused
    PUBLISHER_UNREACHABLE = "deaf"  # still serves its subscribers


@dataclass(frozen=True, slots=True)
class Greeting:
    """A dial, a hello, a welcome or a refusal between a subscriber and a source."""

    at: int  # time in ns
    name: str
    address: str
    retry_after: int = 0  # ns; set for a refusal


@dataclass(slots=True)
class Records:
    """Recorded events in the order of time."""

    dials: list[Greeting] = field(default_factory=list)
    hellos: list[Greeting] = field(default_factory=list)
    welcomes: list[Greeting] = field(default_factory=list)
    refusals: list[Greeting] = field(default_factory=list)
    # The time at which each instance applied CHANGED, by name.
    applied: dict[str, int] = field(default_factory=dict)


class SimulatedSource:
    """A distributor that holds one tenant; its condition says whether it reaches the publisher."""

    def __init__(self, simulation: Simulation, address: str, source_type: type[Source]) -> None:
        self.simulation = simulation
        self.address = address
        self.condition = Condition.RUNS
        replica = Replica(simulation.parameters.max_resumable_changes, EPOCH)
        replica.commit(Resource(TENANT, 1, Kind.CONTENT, BEFORE))
        self.core = source_type(replica, simulation.parameters, simulation.now, is_publisher=False)
        self.core.serving = True
        self.connections: dict[int, Connection] = {}
        simulation.after(0, self.tick)

    @property
    def is_answering(self) -> bool:
        return self.condition in (Condition.RUNS, Condition.PUBLISHER_UNREACHABLE)

    def set_condition(self, condition: Condition) -> None:
        self.condition = condition
        if condition is Condition.DEAD:
            for connection in list(self.connections.values()):
                connection.end()

    def commit(self, body: bytes) -> None:
        """Receive a change from the publisher."""
        revision = self.core.replica.revision + 1
        self.core.replica.commit(Resource(TENANT, revision, Kind.CONTENT, body))
        self.core.changed(TENANT, revision, self.simulation.now)
        self.send_ready()

    def tick(self) -> None:
        now = self.simulation.now
        if self.condition is Condition.RUNS:
            self.core.note_publisher_heard(now)
        if self.is_answering:
            for number in self.core.tick(now):
                self.connections[number].end()
            self.send_ready()
        self.simulation.after(SOURCE_TICK_NS, self.tick)

    def accept(self, subscriber: SimulatedSubscriber, attempt: int) -> Connection:
        connection = Connection(self, subscriber, attempt, self.core.opened(self.simulation.now))
        self.connections[connection.number] = connection
        return connection

    def received(self, connection: Connection, message: Message) -> None:
        simulation, name = self.simulation, connection.subscriber.core.name
        if isinstance(message, Hello):
            simulation.records.hellos.append(Greeting(simulation.now, name, self.address))
        self.core.received(connection.number, simulation.now, message)
        self.send_ready()

    def send_ready(self) -> None:
        for number in sorted(self.core.ready):
            connection = self.connections[number]
            while (message := self.core.next_message(number, self.simulation.now)) is not None:
                connection.send_to_subscriber(message)
            if self.core.sessions[number].closing:
                self.simulation.after(2 * LATENCY_NS, connection.end)


class Connection:
    """An accepted connection. A silent end neither receives nor sends."""

    def __init__(
        self, source: SimulatedSource, subscriber: SimulatedSubscriber, attempt: int, number: int
    ) -> None:
        self.source = source
        self.subscriber = subscriber
        self.attempt = attempt
        self.number = number
        self.open = True

    def send_to_subscriber(self, message: Message) -> None:
        self.source.simulation.after(LATENCY_NS, lambda: self._arrive_at_subscriber(message))

    def send_to_source(self, message: Message) -> None:
        self.source.simulation.after(LATENCY_NS, lambda: self._arrive_at_source(message))

    def end(self) -> None:
        """Close at the source; the subscriber notices after the latency."""
        if self._close_source():
            self.source.simulation.after(LATENCY_NS, lambda: self.subscriber.lost(self.attempt))

    def close_from_subscriber(self) -> None:
        """Close at the subscriber; a source that answers notices after the latency."""
        if self.source.is_answering and not self.subscriber.silent:
            self.source.simulation.after(LATENCY_NS, self._close_source)

    def _close_source(self) -> bool:
        was_open, self.open = self.open, False
        if was_open:
            del self.source.connections[self.number]
            self.source.core.closed(self.number, self.source.simulation.now)
        return was_open

    def _arrive_at_subscriber(self, message: Message) -> None:
        if self.source.is_answering and not self.subscriber.silent:
            self.subscriber.received(self, message)

    def _arrive_at_source(self, message: Message) -> None:
        if self.open and self.source.is_answering and not self.subscriber.silent:
            self.source.received(self, message)


class SimulatedSubscriber:
    """An instance that holds the tenant and applies every state at once."""

    def __init__(self, simulation: Simulation, core: Subscriber) -> None:
        self.simulation = simulation
        self.core = core
        self.silent = False  # its machine is gone: it sends and closes nothing
        self.connections: dict[int, Connection] = {}
        self._timer = -1

    @property
    def body(self) -> bytes:
        """The applied content of the tenant."""
        return self.core.replica.entries[TENANT].body

    def start(self) -> None:
        self.tick()

    def tick(self) -> None:
        if not self.silent:
            self.core.tick(self.simulation.now)
            self.flush()

    def lost(self, attempt: int) -> None:
        if self.connections.pop(attempt, None) is not None and not self.silent:
            self.core.disconnected(attempt, self.simulation.now)
            self.flush()

    def received(self, connection: Connection, message: Message) -> None:
        simulation, address = self.simulation, connection.source.address
        if isinstance(message, Welcome):
            greeting = Greeting(simulation.now, self.core.name, address)
            simulation.records.welcomes.append(greeting)
        elif isinstance(message, Busy):
            wait = message.retry_after_ms * MS
            greeting = Greeting(simulation.now, self.core.name, address, wait)
            simulation.records.refusals.append(greeting)
        self.core.received(connection.attempt, simulation.now, message)
        self.flush()

    def flush(self) -> None:
        while self.core.actions:
            actions, self.core.actions = self.core.actions, []
            for action in actions:
                self._perform(action)
        due = max(self.core.next_due(), self.simulation.now + MS)
        if self._timer <= self.simulation.now or due < self._timer:
            self._timer = due
            self.simulation.after(due - self.simulation.now, lambda: self._on_timer(due))

    def _on_timer(self, due: int) -> None:
        if self._timer == due:
            self._timer = -1
            self.tick()

    def _perform(self, action: Action) -> None:
        simulation = self.simulation
        if isinstance(action, Dial):
            greeting = Greeting(simulation.now, self.core.name, action.address)
            simulation.records.dials.append(greeting)
            simulation.after(2 * LATENCY_NS, lambda: self._answer_dial(action))
        elif isinstance(action, Disconnect):
            connection = self.connections.pop(action.attempt, None)
            if connection is not None:
                connection.close_from_subscriber()
        elif isinstance(action, Send):
            connection = self.connections.get(self.core.attempt)
            if connection is not None:
                connection.send_to_source(action.message)
        elif isinstance(action, Apply):
            if self.body == CHANGED:
                simulation.records.applied[self.core.name] = simulation.now
            self.core.applied(action.batch, simulation.now)

    def _answer_dial(self, action: Dial) -> None:
        if action.attempt not in self.core.dialing:
            return
        source = self.simulation.sources[action.address]
        if source.condition is Condition.DEAD:
            self.core.disconnected(action.attempt, self.simulation.now, "refused")
            self.flush()
        elif source.is_answering:
            connection = source.accept(self, action.attempt)
            self.connections[action.attempt] = connection
            self.core.connected(action.attempt, self.simulation.now)
            self.flush()


class Simulation:
    """Sources and subscribers with one virtual clock."""

    def __init__(
        self,
        sources: int,
        parameters: Parameters | None = None,
        source_type: type[Source] = Source,
        seed: int = 1,
    ) -> None:
        self.now = SECOND
        self.parameters = parameters or Parameters()
        self.random = Random(seed)
        self.records = Records()
        self._events: list[tuple[int, int, Callable[[], object]]] = []
        self._numbers = count()
        self.sources: dict[str, SimulatedSource] = {}
        for number in range(sources):
            address = f"10.0.0.{number}:1"
            self.sources[address] = SimulatedSource(self, address, source_type)
        self.subscribers: list[SimulatedSubscriber] = []

    def add_subscribers(
        self,
        number: int,
        addresses: Sequence[str] = (),
        subscriber_type: type[Subscriber] = Subscriber,
    ) -> list[SimulatedSubscriber]:
        """Add instances that know all sources, or those at `addresses`; they don't dial yet."""
        added = []
        for _ in range(number):
            name = f"node-{len(self.subscribers)}"
            replica = Replica(self.parameters.max_resumable_changes, EPOCH, 1)
            replica.load([Resource(TENANT, 1, Kind.CONTENT, BEFORE)])
            core = subscriber_type(
                name,
                addresses or list(self.sources),
                replica,
                self.parameters,
                Random(self.random.random()),
                self.now,
            )
            added.append(SimulatedSubscriber(self, core))
            self.subscribers.append(added[-1])
        return added

    def start(self, over: int = 0) -> None:
        """Start all subscribers at random times within `over` ns."""
        for subscriber in self.subscribers:
            self.after(self.random.randrange(over + 1), subscriber.start)

    def connect_all(self, over: int) -> None:
        """Start all subscribers, run until 2 s after `over`, and check that all are connected."""
        self.start(over)
        self.run(over + 2 * SECOND)
        assert all(subscriber.core.link is Link.UP for subscriber in self.subscribers)

    def commit(self, body: bytes = CHANGED) -> None:
        """Commit a change at every source that the publisher reaches."""
        for source in self.sources.values():
            if source.condition is Condition.RUNS:
                source.commit(body)

    def after(self, delay: int, call: Callable[[], object]) -> None:
        """Schedule a call `delay` ns from now."""
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), call))

    def run(self, duration: int) -> None:
        """Run all events of the next `duration` ns."""
        until = self.now + duration
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


def max_in_window(times: Sequence[int], window: int) -> int:
    """Return the largest number of these times within any window of this length."""
    ordered = sorted(times)
    largest = first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - window:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
