"""A process: many nodes' control sides on real sockets, without their data path.

    python -m standins.scale.hollow FOLDER PROCESS DISTRIBUTORS.json --nodes N ...

What each node put into force and when is written to FOLDER/applied-PROCESS, in the end what it
holds to FOLDER/held-PROCESS. What a node does is in `life`.
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

import uvloop

from standins.memory import private_bytes
from standins.scale.control import Command, serve
from standins.scale.life import Life, World
from standins.scale.links import Link, NodeLinks
from standins.scale.places import region_of_distributor, zone_of_distributor
from standins.scale.plan import NodePlan, Plan, distributor_name, draw
from standins.scale.records import DOWN, NO_TENANT, UP, Applied, Held, digest_of_view
from standins.scale.sizes import add_size, read_size
from standins.scale.standstill import Watch
from tansywood.distribution.parameters import Parameters
from tansywood.fleet.keyfile import KeyFile


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


class HollowNode:
    """One node over its lives."""

    def __init__(self, node: NodePlan, world: World) -> None:
        self.node = node
        self.links = NodeLinks(
            {
                address: world.delays.one_way_s(node.zone, zone_of_distributor(number))
                for number, address in enumerate(world.addresses)
            }
        )
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
            self.life.stop()
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
            tenant = self.life.tenant_of_uid(uid)
            yield Held(self.node.number, tenant, entry.revision, digest_of_view(entry.body))

    def _tell(self, revision: int) -> None:
        row = Applied(time.monotonic_ns(), self.node.number, NO_TENANT, 0, revision)
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
            Parameters(),
            plan.size.delays,
            Random(f"hollow {plan.seed} {process}"),
            self._applied,
        )
        mine = plan.nodes_of_process(process)
        self._bytes_before = held_bytes()
        self._nodes = {node.number: HollowNode(node, world) for node in mine}
        self._unread: list[Link] = []
        self.watch = Watch()

    async def perform(self, command: Command) -> Command:
        do = command["do"]
        if do == "state":
            return self._state(command["revision"], command["since"])
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

    def _state(self, revision: int, since: int) -> Command:
        """How many nodes are not connected, or else are behind a revision, or else do not have all
        they asked for (what was nobody's: since then)."""
        counts = Counter[str]()
        for node in self._nodes.values():
            life = node.life
            if life is None or not life.client.connected:
                counts["not connected"] += 1
            elif life.replica.revision < revision:
                counts["behind"] += 1
            elif not life.complete(since):
                counts["without an answer"] += 1
        return dict(counts)

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
            "standstill_ms": self.watch.take_ms(),
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
    watch = asyncio.get_running_loop().create_task(hollow.watch.run())
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
