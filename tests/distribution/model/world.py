"""All of the model, driven by one seed: steps of time, the network, the end of all faults."""

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
from tests.distribution.model.judgement import judge, judge_counts
from tests.distribution.model.network import Follower, Process, Server, Wire
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
    """All of it, driven by one seed."""

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
            few = Random(f"admission {seed}")
            self.parameters = replace(
                self.parameters,
                admissions_per_s=few.choice([10, 20, 40]),
                admission_burst=few.choice([1, 2]),
            )
        self.late = Random(f"late answers {seed}")
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
        self.events = Events(self)
        for uid in TENANTS[:4]:
            self.events.change(uid)

    def __str__(self) -> str:
        return f"seed {self.seed}, step {self.steps}"

    # ---- running ---------------------------------------------------------------------------

    def run(self) -> None:
        """Faults for a while, then quiet; PropertyError where the property does not hold."""
        for _ in range(FAULTY_STEPS):
            self.events.draw()
            self.step()
            judge_counts(self)
        self.settle()
        judge(self)

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
            wire.cut_after = 0
        if not self.publisher.disk.revision:
            self.events.change(TENANTS[0])  # a source without any history serves nobody
        late = self.faults.clock_jumps or self.faults.admission
        for _ in range(QUIET_STEPS_LATE if late else QUIET_STEPS):
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

    def processes(self) -> list[Process]:
        return [self.publisher, *self.distributors.values(), *self.nodes]

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
            message = unpack(data)
            receiver.received(wire, message)
        except (ProtocolError, MessageError) as err:
            raise PropertyError(f"{self}: {receiver.name} got what may not be said: {err}") from err
        if isinstance(receiver, Server) and self.random.random() < 0.7:
            receiver.pump()
        if wire.cut_after and isinstance(message, Changes):
            wire.cut_after -= 1
            if not wire.cut_after:
                self.cut(wire)

    # ---- the network -----------------------------------------------------------------------

    def server(self, address: str) -> Server:
        return self.publisher if address == PUBLISHER else self.distributors[address]

    def reaches(self, follower: Follower, server: Server) -> bool:
        isolated = isinstance(follower, Distributor) and follower.isolated_until > self.now
        return server.runs and not isolated

    def answers_later(self) -> bool:
        """Whether a dial is answered in another step."""
        late = self.faulty and self.faults.late_answers and self.late.random() < 0.7
        self.counts["late answers"] += late
        return late

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

    # ---- what instances do and have asked for ----------------------------------------------

    def apply_time(self) -> int:
        return self.random.choice([0, 0, STEP, 5 * STEP]) if self.faulty else 0

    def is_bad(self, body: bytes) -> bool:
        """Whether instances refuse it; a matter of the content."""
        return body.split()[1].endswith(b"3")

    def owners_of(self, aliases: Iterable[str]) -> set[str]:
        return {uid for alias in aliases for uid in self.owners.get(alias, ())}
