"""A process: many nodes' control sides on real sockets, without their data path.

    python -m standins.scale.hollow FOLDER PROCESS DISTRIBUTORS.json --nodes N ...

Each node is the product's Subscriber and SubscriberClient. It asks for its tenants by their hosts,
as a node does when their first requests come, and puts into force at once. What it put into force
and when is written to FOLDER/applied-PROCESS, in the end what it holds to FOLDER/held-PROCESS.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import BinaryIO

import uvloop

from standins.memory import private_bytes
from standins.scale.control import Command, serve
from standins.scale.links import Link, NodeLinks
from standins.scale.plan import (
    NodePlan,
    Plan,
    distributor_name,
    draw,
    host_of,
    region_of_distributor,
    tenant_of,
)
from standins.scale.records import ABSENT, DOWN, NO_TENANT, UP, Applied, Held
from standins.scale.sizes import FLEET, add_size, read_size
from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import Message, Welcome, alias_of_host
from tansywood.distribution.replica import Replica
from tansywood.distribution.stream import Keys
from tansywood.distribution.subscriber import Action, Answer, Apply, Subscriber
from tansywood.distribution.terms import Terms
from tansywood.fleet.keyfile import KeyFile

ALIASES_MOST = 8  # of one lookup
WATCH_S = 0.05


@dataclass(frozen=True, slots=True)
class World:
    """What all nodes of a process share."""

    addresses: tuple[str, ...]  # of the distributors, by number
    keys: Keys
    terms: Terms
    random: Random
    applied: BinaryIO


@dataclass(slots=True)
class Traffic:
    """Control bytes and messages of nodes."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages: int = 0

    def add(self, totals: tuple[int, int, int]) -> None:
        self.bytes_in += totals[0]
        self.bytes_out += totals[1]
        self.messages += totals[2]


class Life:
    """One start of a node, with nothing held before it."""

    def __init__(self, node: NodePlan, links: NodeLinks, world: World) -> None:
        self._node = node
        self._world = world
        self._asked: dict[int, list[int]] = {}
        self._unasked = list(node.tenants)
        self.replica = Replica(world.terms.window)
        subscriber = Subscriber(
            node.name,
            world.addresses,
            self.replica,
            world.terms,
            Random(world.random.random()),
            time.monotonic_ns(),
        )
        self.client = SubscriberClient(
            subscriber, world.keys, FLEET, self._handle, self._overheard, links.dial
        )

    @property
    def complete(self) -> bool:
        """Whether all questions have been answered."""
        return not self._unasked and not self._asked

    def _overheard(self, message: Message) -> None:
        if isinstance(message, Welcome):
            unasked, self._unasked = self._unasked, []
            self._ask(unasked)

    def _ask(self, tenants: list[int]) -> None:
        for start in range(0, len(tenants), ALIASES_MOST):
            some = tenants[start : start + ALIASES_MOST]
            question = self.client.lookup([alias_of_host(host_of(tenant)) for tenant in some])
            self._asked[question] = some

    def _handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self._apply(action)
        elif isinstance(action, Answer):
            self._answered(action)

    def _apply(self, action: Apply) -> None:
        now = time.monotonic_ns()
        for uid in action.uids:
            revision = self.replica.resource(uid).revision
            row = Applied(now, self._node.number, tenant_of(uid), revision)
            self._world.applied.write(row.pack())
        self.client.applied(action.batch)

    def _answered(self, answer: Answer) -> None:
        asked = self._asked.pop(answer.question)
        if answer.uids is None:
            if self.client.connected:
                self._ask(asked)
            else:
                self._unasked += asked
            return
        now = time.monotonic_ns()
        for tenant, uid in zip(asked, answer.uids, strict=True):
            if not uid:
                row = Applied(now, self._node.number, tenant, ABSENT)
                self._world.applied.write(row.pack())


class HollowNode:
    """One node over its lives."""

    def __init__(self, node: NodePlan, world: World) -> None:
        self.node = node
        self.links = NodeLinks()
        self.earlier = Traffic()
        self._world = world
        self.life: Life | None = None

    def start(self) -> None:
        self._tell(UP)
        self.life = Life(self.node, self.links, self._world)
        self.life.client.start()

    def stop(self) -> None:
        if self.life is not None:
            self.earlier.add(self.life.client.totals())
            self.life.client.stop()
            self.life = None
            self._tell(DOWN)

    def cut(self, region: int) -> None:
        """Cut off whatever lies on the other side of this region's border."""
        inside = self.node.region == region
        self.links.cut(
            frozenset(
                address
                for number, address in enumerate(self._world.addresses)
                if (region_of_distributor(number) == region) is not inside
            )
        )

    def held(self) -> Iterable[Held]:
        assert self.life is not None
        for uid, entry in self.life.replica.entries.items():
            yield Held(self.node.number, tenant_of(uid), entry.revision, entry.digest)

    def _tell(self, revision: int) -> None:
        row = Applied(time.monotonic_ns(), self.node.number, NO_TENANT, revision)
        self._world.applied.write(row.pack())


class Hollow:
    """All nodes of this process."""

    def __init__(self, folder: Path, process: int, plan: Plan, addresses: list[str]) -> None:
        self._folder = folder
        self._process = process
        self._applied = (folder / f"applied-{process}").open("wb")
        world = World(
            tuple(addresses),
            KeyFile(folder / "fleet.key"),
            Terms(),
            Random(f"hollow {plan.seed} {process}"),
            self._applied,
        )
        mine = plan.nodes_of_process(process)
        self._bytes_before = held_bytes()
        self._nodes = {node.number: HollowNode(node, world) for node in mine}
        self._unread: list[Link] = []
        self.longest_standstill_s = 0.0

    async def watch_for_standstill(self) -> None:
        """Measure how long this process does nothing else, as its nodes do not share one loop in
        life."""
        while True:
            due = time.monotonic() + WATCH_S
            await asyncio.sleep(WATCH_S)
            self.longest_standstill_s = max(self.longest_standstill_s, time.monotonic() - due)

    async def perform(self, command: Command) -> Command:
        do = command["do"]
        if do == "state":
            return self._state(command["revision"])
        if do == "counters":
            return self._counters()
        if do == "finish":
            self._finish()
        else:
            self._strike(do, command)
        return {}

    def _strike(self, do: str, command: Command) -> None:
        chosen = [self._nodes[n] for n in command.get("nodes", ()) if n in self._nodes]
        if do == "start":
            for node in chosen:
                node.start()
        elif do == "stop":
            for node in chosen:
                node.stop()
        elif do == "cut":
            for node in self._nodes.values():
                node.cut(command["region"])
        elif do == "heal":
            for node in self._nodes.values():
                node.links.heal()
        elif do == "stop-reading":
            self._unread += [link for node in chosen for link in node.links.stop_reading()]
        elif do == "go-on-reading":
            unread, self._unread = self._unread, []
            for link in unread:
                link.go_on_reading()
        else:
            raise RuntimeError(f"no command: {do}")

    def _state(self, revision: int) -> Command:
        """How many nodes are not connected, do not have all they asked for, or are behind."""
        lives = [node.life for node in self._nodes.values()]
        waiting = sum(
            life is None
            or not life.client.connected
            or not life.complete
            or life.replica.revision < revision
            for life in lives
        )
        return {"waiting": waiting}

    def _counters(self) -> Command:
        traffic = Traffic()
        connections = stale = 0
        refused = Counter[str]()
        for node in self._nodes.values():
            traffic.add((node.earlier.bytes_in, node.earlier.bytes_out, node.earlier.messages))
            if node.life is not None:
                client = node.life.client
                traffic.add(client.totals())
                connections += client.subscriber.connections
                stale += client.subscriber.left_stale
                refused += client.refused
        standstill, self.longest_standstill_s = self.longest_standstill_s, 0.0
        return {
            "nodes": len(self._nodes),
            "bytes_in": traffic.bytes_in,
            "bytes_out": traffic.bytes_out,
            "messages": traffic.messages,
            "connections": connections,
            "left_stale": stale,
            "refused": dict(refused),
            "held_bytes": held_bytes() - self._bytes_before,
            "processor_s": time.process_time(),
            "standstill_ms": round(standstill * 1e3),
        }

    def _finish(self) -> None:
        self._applied.flush()
        with (self._folder / f"held-{self._process}").open("wb") as file:
            for node in self._nodes.values():
                for row in node.held():
                    file.write(row.pack())


def held_bytes() -> int:
    """Memory that this process alone has, after what is not used any more is given back."""
    gc.collect()
    return private_bytes()


async def _main(folder: Path, process: int, plan: Plan, addresses: list[str]) -> None:
    hollow = Hollow(folder, process, plan, addresses)
    watch = asyncio.get_running_loop().create_task(hollow.watch_for_standstill())
    await serve({}, hollow.perform)
    watch.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m standins.scale.hollow")
    parser.add_argument("folder", type=Path)
    parser.add_argument("process", type=int)
    parser.add_argument("table", type=Path, help="the distributors' addresses by name, as JSON")
    add_size(parser)
    options = parser.parse_args()
    plan = draw(read_size(options), options.seed)
    table = json.loads(options.table.read_text())
    addresses = [table[distributor_name(n)] for n in range(plan.size.distributors)]
    uvloop.run(_main(options.folder, options.process, plan, addresses))


if __name__ == "__main__":
    main()
