"""All processes of a run, from the first start to all nodes having their tenants."""

from __future__ import annotations

import asyncio
import json
import secrets
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from standins.scale.calls import Caller
from standins.scale.control import Child, Command
from standins.scale.places import (
    PUBLISHER_ZONE,
    REGIONS,
    region_of_distributor,
    zone_of_relay,
)
from standins.scale.plan import Plan
from standins.scale.processes import POLL_S, Distributor, Processes, said
from standins.scale.publisher import TOKEN
from standins.scale.sizes import arguments
from standins.service import Operator

STOP_S = 30.0  # a hang, not a measure

Log = Callable[[str], None]


class Rig:
    """Publisher, relays, distributors and hollow nodes in a folder of their own."""

    def __init__(self, folder: Path, plan: Plan, log: Log) -> None:
        self.folder = folder
        self.plan = plan
        self.processes = Processes(folder)
        self.idle: Child
        self.publisher: Child
        self.caller: Caller
        self.relays: list[Child] = []
        self.distributors: list[Distributor] = []
        self.hollows: list[Child] = []
        self._log = log

    async def start(self) -> None:
        key = self.folder / "fleet.key"
        key.touch(0o600)
        key.write_text(secrets.token_hex(32) + "\n")
        self.idle = await self.processes.child("idle")
        await self.idle.first()
        size = arguments(self.plan.size, self.plan.seed)
        upstream = await self._start_publisher(size)
        self._log("the publisher has its tenants")
        await self._start_distributors(upstream)
        self._log("the distributors are ready")
        await self._start_nodes(size)
        self._log("all nodes have their tenants")

    async def end(self) -> None:
        await self.processes.end()
        if hasattr(self, "caller"):
            self.caller.close()

    async def end_publisher(self) -> None:
        """In order, so that its store is closed. TimeoutError where it does not come to that."""
        assert self.publisher.process.stdin is not None
        self.publisher.process.stdin.close()
        async with asyncio.timeout(STOP_S):
            await self.publisher.process.wait()

    async def tell_hollows(self, do: str, **more: object) -> list[Command]:
        return await asyncio.gather(*(hollow.ask(do, **more) for hollow in self.hollows))

    async def waiting(self, revision: int, since: int = 0) -> Counter[str]:
        """How many nodes are not where the publisher was at a revision, and why: see Hollow."""
        counts = Counter[str]()
        for told in await self.tell_hollows("state", revision=revision, since=since):
            counts.update(told)
        return counts

    async def _start_publisher(self, size: list[str]) -> str:
        log = self.folder / "publisher.log"
        self.publisher = await self.processes.child("publisher", str(self.folder), *size, log=log)
        line = await said("publishing at ", log, self.publisher.process)
        port = int((await self.publisher.first())["port"])
        self.caller = Caller(Operator(port, TOKEN), self.plan.seed)
        return line.rsplit(" ", 1)[1]

    async def _start_distributors(self, upstream: str) -> None:
        delays = self.plan.size.delays
        ways = []
        for region in range(REGIONS):
            delay_s = delays.one_way_s(zone_of_relay(region), PUBLISHER_ZONE)
            relay = await self.processes.child("relay", upstream, str(delay_s))
            self.relays.append(relay)
            ways.append((await relay.first())["address"])
        for number in range(self.plan.size.distributors):
            way = ways[region_of_distributor(number)]
            self.distributors.append(Distributor(number, way, self.folder, self.processes))
        await asyncio.gather(*(d.start() for d in self.distributors))
        await asyncio.gather(*(d.ready() for d in self.distributors))

    async def _start_nodes(self, size: list[str]) -> None:
        table = self.folder / "distributors.json"
        table.write_text(json.dumps({d.name: d.address for d in self.distributors}))
        for number in range(self.plan.size.processes):
            words = [str(self.folder), str(number), str(table), *size]
            self.hollows.append(await self.processes.child("hollow", *words))
        await asyncio.gather(*(hollow.first() for hollow in self.hollows))
        await self.tell_hollows("start", nodes=list(range(self.plan.size.nodes)))
        while await self.waiting(0):
            await asyncio.sleep(POLL_S)
