"""Draws from the seed the events of the model's processes, connections and tenants."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

from tansywood.distribution.messages import Position, alias_of_host
from tests.distribution.model.distributor import Distributor
from tests.distribution.model.instance import Node
from tests.distribution.model.parts import (
    CLOCK_JUMPS,
    FAULTY_STEPS,
    MAX_COPIES,
    MOVING_ALIASES,
    STEP,
    TENANTS,
)
from tests.distribution.model.publisher import Disk
from tests.distribution.model.slow_readers import FIRST_CHANGE_STEP, SlowReaders

if TYPE_CHECKING:
    from tests.distribution.model.world import World


class Events:
    """Draws the events of each step."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.random = random = world.random
        self.change_probability = random.choice([0.05, 0.2, 0.5])  # of a change, per step
        self.changes_until: int = random.randint(FAULTY_STEPS // 2, FAULTY_STEPS)
        self.restart_probability = random.choice([0.0, 0.01, 0.04])  # of the publisher, per step
        self.clock_random = Random(f"clocks {world.seed}")
        self.slow_readers = SlowReaders(world, self)
        if world.faults.slow_readers:
            self.changes_until = min(self.changes_until, FIRST_CHANGE_STEP)

    def draw(self) -> None:
        """Draw the events of one step."""
        if self.world.publisher.runs:
            self._disturb_publisher()
        for distributor in self.world.distributors.values():
            self._disturb_distributor(distributor)
        for node in self.world.nodes:
            self._use_instance(node)
        self._disturb_connections()
        if self.world.faults.clock_jumps:
            self._disturb_clocks()
        if self.world.faults.slow_readers:
            self.slow_readers.draw()

    def _disturb_publisher(self) -> None:
        random, publisher = self.random, self.world.publisher
        if self.world.steps < self.changes_until and random.random() < self.change_probability:
            for _ in range(random.choice([1, 1, 1, 2, 4])):
                self._change_something()
        if random.random() < 0.05:
            publisher.copies.append(publisher.disk.copy())
            del publisher.copies[:-MAX_COPIES]
        if random.random() < self.restart_probability:
            self._restart_publisher()

    def _disturb_connections(self) -> None:
        world, random = self.world, self.random
        connections = [connection for connection in world.connections if not connection.held_back]
        if connections and random.random() < 0.08:
            world.cut(random.choice(connections))
        connections = [connection for connection in world.connections if not connection.held_back]
        backlogs = [w for w in connections if len(w.server.source.sessions[w.number].pending) > 1]
        if backlogs and random.random() < 0.1:
            world.cut(random.choice(backlogs))
        if world.connections and random.random() < 0.08:
            random.choice(world.connections).stalled_until = (
                world.now + random.randint(2, 14) * STEP
            )

    def _disturb_clocks(self) -> None:
        for process in self.world.processes():
            if self.clock_random.random() < 0.01:
                jump = self.clock_random.choice(CLOCK_JUMPS)
                self.world.counts["clocks back" if jump < 0 else "clocks ahead"] += 1
                process.clock_offset += jump

    def _change_something(self) -> None:
        contents = self.world.publisher.disk.contents
        draw = self.random.random()
        uid = self.random.choice(TENANTS)
        if draw < 0.15 and uid in contents:
            self.world.publisher.commit(uid, None, ())
        elif draw < 0.25 and contents:
            self._move_alias()
        elif draw < 0.4 and len(contents) > 1:  # changes the same tenant repeatedly
            self.change(min(contents))
        else:
            self.change(uid)

    def change(self, uid: str, aliases: Sequence[str] | None = None) -> None:
        """Change or create a tenant; some contents repeat earlier ones."""
        disk = self.world.publisher.disk
        now = disk.contents.get(uid)
        if aliases is None:
            aliases = now.aliases if now is not None else [alias_of_host(f"{uid}.example")]
        text = f"{disk.epoch.number}.{disk.revision + 1}"
        if self.random.random() < 0.2:
            text = f"again{self.random.randrange(2)}"
        body = " ".join([uid, text, *aliases]).encode()
        for alias in aliases:
            self.world.owners.setdefault(alias, set()).add(uid)
        self.world.publisher.commit(uid, body, aliases)

    def _move_alias(self) -> None:
        contents = self.world.publisher.disk.contents
        alias = self.random.choice(MOVING_ALIASES)
        for uid, content in list(contents.items()):
            if alias in content.aliases:
                self.change(uid, [a for a in content.aliases if a != alias])
        uid = self.random.choice(sorted(contents))
        self.change(uid, [*contents[uid].aliases, alias])

    def _restart_publisher(self) -> None:
        publisher, random = self.world.publisher, self.random
        disk = publisher.disk
        publisher.down_until = self.world.now + random.choice([0, 3, 20]) * STEP
        draw = random.random()
        if draw < 0.5:
            self.world.counts["restarts on the same disk"] += 1
            publisher.restart(disk, Position(disk.epoch, disk.revision))
        elif draw < 0.85 and publisher.copies:
            self.world.counts["restarts on an older copy"] += 1
            copy = random.choice(publisher.copies).copy()
            publisher.restart(copy, Position(copy.epoch, copy.revision))
        else:
            self.world.counts["restarts without a disk"] += 1
            publisher.restart(Disk(disk.epoch), Position())

    def _disturb_distributor(self, distributor: Distributor) -> None:
        random = self.random
        if random.random() < 0.008 and distributor.runs:
            self.world.counts["distributors restarted"] += 1
            for connection in [
                w for w in self.world.connections if distributor in (w.server, w.follower)
            ]:
                self.world.cut(connection)
            distributor.down_until = self.world.now + random.choice([0, 3, 20]) * STEP
            distributor.reset()
        if random.random() < 0.012:
            self.world.counts["distributors isolated"] += 1
            distributor.isolated_until = self.world.now + random.randint(5, 40) * STEP
            for connection in [w for w in self.world.connections if w.follower is distributor]:
                self.world.cut(connection)

    def _use_instance(self, node: Node) -> None:
        random = self.random
        if random.random() < 0.12:
            aliases = sorted(self.world.owners)
            node.look_up(random.sample(aliases, min(len(aliases), random.choice([1, 1, 2, 3]))))
        if node.replica.entries and random.random() < 0.06:
            self.world.counts["given up"] += 1
            node.unsubscribe(random.sample(sorted(node.replica.entries), 1))
        if random.random() < 0.004:
            self.world.counts["instances restarted"] += 1
            for connection in [w for w in self.world.connections if w.follower is node]:
                self.world.cut(connection)
            self.world.counts["stale sources left"] += node.subscriber.left_stale
            node.reset()
