"""Runs the model from one seed: steps of time, the network, the end of all faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from tansywood.distribution.messages import Changes, MessageError, unpack
from tansywood.distribution.parameters import SECOND
from tansywood.distribution.source import ProtocolError
from tests.distribution.model.distributor import Distributor
from tests.distribution.model.events import Events
from tests.distribution.model.instance import Node
from tests.distribution.model.judgement import check_counts, check_property
from tests.distribution.model.network import Connection, Follower, Process, Server
from tests.distribution.model.oracle import Oracle
from tests.distribution.model.parts import (
    FAULTY_STEPS,
    PARAMETERS,
    PUBLISHER,
    QUIET_STEPS,
    QUIET_STEPS_LATE,
    STEP,
    TENANTS,
    Faults,
    Parts,
    PropertyError,
)
from tests.distribution.model.publisher import Publisher


class World:
    """The whole model, driven by one seed."""

    def __init__(self, seed: int, parts: Parts | None = None, faults: Faults | None = None) -> None:
        self.seed = seed
        self.parts = parts or Parts()
        self.random = Random(seed)
        self.parameters = replace(
            PARAMETERS,
            max_resumable_changes=self.random.choice([3, 8, 30]),
            max_batch_bytes=self.random.choice([1, 1, 40]),
        )
        self.faults = faults or Faults()
        if self.faults.admission:
            admission_random = Random(f"admission {seed}")
            self.parameters = replace(
                self.parameters,
                admissions_per_s=admission_random.choice([10, 20, 40]),
                admission_burst=admission_random.choice([1, 2]),
            )
        self.late_random = Random(f"late answers {seed}")
        self.now = SECOND
        self.steps = 0
        self.epochs = 1
        self.faulty = True
        self.counts: Counter[str] = Counter()
        self.oracle = Oracle()
        self.owners: dict[str, set[str]] = {}  # by alias, including earlier owners
        self.connections: list[Connection] = []
        self.distributors: dict[str, Distributor] = {}
        self.publisher = Publisher(self)
        for n in range(self.random.randint(1, 3)):
            self.distributors[f"d{n}"] = Distributor(self, f"d{n}")
        self.nodes = [Node(self, f"n{n}") for n in range(self.random.randint(1, 4))]
        self.events = Events(self)
        for uid in TENANTS[:4]:
            self.events.change(uid)

    def __str__(self) -> str:
        return f"seed {self.seed}, step {self.steps}"

    # ---- running ---------------------------------------------------------------------------

    def run(self) -> None:
        """Run steps with faults, then steps without. Raises PropertyError if the property fails."""
        for _ in range(FAULTY_STEPS):
            self.events.draw()
            self.step()
            check_counts(self)
        self.settle()
        check_property(self)

    def settle(self) -> None:
        """End all faults and let the processes converge."""
        self.faulty = False
        self.publisher.down_until = 0
        for distributor in self.distributors.values():
            distributor.down_until = distributor.isolated_until = 0
        for connection in self.connections:
            connection.stalled_until = 0
            connection.max_unread = 4
            connection.slow = False
            connection.cut_after_changes = 0
        if not self.publisher.disk.revision:
            self.events.change(TENANTS[0])  # a source without a history serves no subscriber
        late = self.faults.clock_jumps or self.faults.admission
        for _ in range(QUIET_STEPS_LATE if late else QUIET_STEPS):
            self.step()

    def step(self) -> None:
        """Advance the time by one step: timers first, then the network."""
        self.now += STEP
        self.steps += 1
        if self.publisher.runs:
            self.publisher.tick()
        for follower in self._followers():
            follower.tick()
            follower.dial()
        for _ in range(2):
            for connection in list(self.connections):
                self._deliver_some(connection)
            for server in self._servers():
                server.send_ready()

    def processes(self) -> list[Process]:
        return [self.publisher, *self.distributors.values(), *self.nodes]

    def _followers(self) -> list[Follower]:
        running: list[Follower] = [d for d in self.distributors.values() if d.runs]
        return running + list(self.nodes)

    def _servers(self) -> list[Server]:
        servers: list[Server] = [self.publisher, *self.distributors.values()]
        return [server for server in servers if server.runs]

    def _deliver_some(self, connection: Connection) -> None:
        """Deliver some of the messages under way, in order."""
        if connection.stalled_until > self.now or connection.cut:
            return
        most = self.random.choice([0, 1, 2, 4]) if self.faulty else 8
        for _ in range(most):
            if connection.up and not connection.cut:
                self._deliver(connection, connection.server, connection.up.popleft())
            if (
                connection.down
                and not connection.cut
                and not (connection.slow and self.random.random() < 0.8)
            ):
                self._deliver(connection, connection.follower, connection.down.popleft())
        if connection.closing and not connection.down and not connection.cut:
            self.cut(connection)

    def _deliver(self, connection: Connection, receiver: Server | Follower, data: bytes) -> None:
        try:
            message = unpack(data)
            receiver.received(connection, message)
        except (ProtocolError, MessageError) as err:
            raise PropertyError(
                f"{self}: {receiver.name} received an invalid message: {err}"
            ) from err
        if isinstance(receiver, Server) and self.random.random() < 0.7:
            receiver.send_ready()
        if connection.cut_after_changes and isinstance(message, Changes):
            connection.cut_after_changes -= 1
            if not connection.cut_after_changes:
                self.cut(connection)

    # ---- the network -----------------------------------------------------------------------

    def server(self, address: str) -> Server:
        return self.publisher if address == PUBLISHER else self.distributors[address]

    def reaches(self, follower: Follower, server: Server) -> bool:
        isolated = isinstance(follower, Distributor) and follower.isolated_until > self.now
        return server.runs and not isolated

    def delays_dial_answer(self) -> bool:
        """Whether a dial is answered in a later step."""
        late = self.faulty and self.faults.late_answers and self.late_random.random() < 0.7
        self.counts["late answers"] += late
        return late

    def connect(self, follower: Follower, attempt: int, server: Server) -> Connection:
        connection = Connection(follower, attempt, server)
        connection.max_unread = self.random.choice([1, 2, 4])
        connection.slow = self.faulty and self.random.random() < 0.4
        server.connections[connection.number] = connection
        self.connections.append(connection)
        return connection

    def cut(self, connection: Connection) -> None:
        """Cut a connection and drop the messages under way. One of its ends may not notice."""
        if connection.cut:
            return
        connection.cut = True
        self.connections.remove(connection)
        connection.up.clear()
        connection.down.clear()
        half_open = self.faulty and self.random.random() < 0.3
        follower_notices = not half_open or self.random.random() < 0.5
        if not half_open or not follower_notices:
            connection.server.closed(connection)
        if follower_notices:
            connection.follower.lost(connection)

    # ---- behaviour of instances ------------------------------------------------------------

    def apply_duration(self) -> int:
        return self.random.choice([0, 0, STEP, 5 * STEP]) if self.faulty else 0

    def is_refused(self, body: bytes) -> bool:
        """Whether instances refuse this content."""
        return body.split()[1].endswith(b"3")

    def owners_of(self, aliases: Iterable[str]) -> set[str]:
        return {uid for alias in aliases for uid in self.owners.get(alias, ())}
