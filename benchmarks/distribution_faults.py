"""Changes by the API beside faults, and an agent's restart, among whole nodes under traffic.

Three whole nodes, two distributors, a publisher; one tenant with two servers, callers at every node
all the time. A change names the other server, and is in force at a node once that server runs the
node's requests. Where a fault leaves a node no way to the publisher, its time counts from the end
of the fault.
"""

from __future__ import annotations

import asyncio
import os
import signal
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from standins.asking import NodeCallers
from standins.distributed import Distributed, NodeMachine, distributed
from standins.ledger import End, Ledger
from standins.servers import Behaviour, TopupServer
from standins.service import Operator, document

LIMIT_S = 30.0  # a hang, not a measure
TENANT = "cork"
CLASSES = [
    {"name": "balance", "aim_ms": 5_000, "deadline_ms": 10_000, "repeat": "safe"},
    {"name": "credit", "aim_ms": 5_000, "deadline_ms": 10_000, "repeat": "never", "worth": 5.0},
]
LIMITS = {"rate_per_s": 100_000, "burst": 100_000, "connections_per_s": 100_000}
TIMEOUT_MS = 9_000
VICTIM = "n0"  # whose distributor it is that a fault meets
REGION = ("n0", "n1")
CUT_S = 5.0  # a cut goes on so long after the change: longer than a connection outlives it
BETWEEN_S = 3.0  # after a fault's end: everybody is connected again
STEADY_S = 11.0  # a process that lived so long is started again at once, as a first failure is
POLL_S = 0.002


@dataclass(frozen=True, slots=True)
class FaultTimes:
    """Seconds until a change was in force: `seconds` from its call at the nodes that have a way
    to the publisher, `after_end` from the end of the fault at those that had none."""

    fault: str
    seconds: list[float] = field(default_factory=list)
    after_end: list[float] = field(default_factory=list)
    requests: int = 0
    problems: list[str] = field(default_factory=list)

    def longest(self) -> float:
        return max(self.seconds + self.after_end)

    def text(self) -> str:
        parts = [f"{self.fault}: {_spread(self.seconds)}"]
        if self.after_end:
            parts.append(f"from the fault's end at nodes without a way: {_spread(self.after_end)}")
        parts.append(f"{self.requests} requests, {len(self.problems)} promises broken")
        return "; ".join(parts)


@dataclass(frozen=True, slots=True)
class RestartTimes:
    """An agent killed under traffic. Seconds from its end until the next is ready, from there
    until it holds what its node serves, and until a distributor has welcomed it."""

    ready: list[float]
    held: list[float]
    connected: list[float]
    requests: int
    problems: list[str]

    def text(self) -> str:
        return (
            f"an agent killed: ready again {_spread(self.ready)}; its tenant held from there "
            f"{_spread(self.held)}; connected from there {_spread(self.connected)}; "
            f"{self.requests} requests, {len(self.problems)} promises broken"
        )


def _spread(seconds: Sequence[float]) -> str:
    median, longest = statistics.median(seconds), max(seconds)
    return f"median {median:.3f} s, longest {longest:.3f} s of {len(seconds)}"


# ---- the world ----


class World:
    """Three nodes, two distributors, a tenant with two servers, callers everywhere."""

    def __init__(self, machines: Distributed, seed: int) -> None:
        self.machines = machines
        self.ledger = Ledger()
        self.random = Random(seed)
        self.servers: list[TopupServer] = []
        self.operator: Operator = machines.publisher.operator()
        self.at = 0

    async def begin(self) -> None:
        for number in range(2):
            server = TopupServer(f"s-{number}", self.ledger, self.random, Behaviour(work_s=0.002))
            await server.start()
            self.servers.append(server)
        made = document(TENANT, [], classes=CLASSES, limits=LIMITS) | self._listed()
        await self.call("POST", "/v1/tenants", made)
        key = await self.call("POST", f"/v1/tenants/{TENANT}/keys", {"role": "caller"})
        headers = {
            "Host": f"{TENANT}.example.org",
            "X_Tenant_Id": "",
            "X_Tenant_Key": key["token"],
        }
        ports = {name: _port_of(node) for name, node in self.machines.nodes.items()}
        self.callers = NodeCallers(ports, self.ledger, self.random, headers, TIMEOUT_MS)
        self.callers.start()
        await self.callers.served_by("s-0", LIMIT_S)

    async def call(self, method: str, path: str, body: object = None) -> Any:
        return (await asyncio.to_thread(self.operator.must, method, path, body)).body

    async def change(self) -> None:
        """To the other server."""
        self.at = 1 - self.at
        await self.call("PATCH", f"/v1/tenants/{TENANT}", self._listed())

    async def in_force(self, nodes: Collection[str]) -> None:
        """Until these nodes go by the last change."""
        await self.callers.served_by(f"s-{self.at}", LIMIT_S, nodes)

    async def distributor_of(self, node: str) -> str:
        async with asyncio.timeout(LIMIT_S):
            while not (name := await asyncio.to_thread(self.machines.distributor_of, node)):
                await asyncio.sleep(0.05)
        return name

    async def restart_publisher(self) -> None:
        await asyncio.to_thread(self.machines.publisher.kill)
        await self.machines.start_publisher()
        self.operator = self.machines.publisher.operator()

    def problems(self) -> list[str]:
        """Requests that were lost, ran twice, or were answered as nobody's."""
        failed = [rid for rid, e in self.ledger.entries.items() if End.FAILED in e.ends]
        return self.ledger.problems(breaks=False) + [
            f"{rid} was refused a server" for rid in failed
        ]

    def _listed(self) -> dict[str, Any]:
        server = self.servers[self.at]
        address = f"127.0.0.1:{server.port}"
        return {"servers": [{"name": server.name, "address": address, "started_ms": 1}]}

    async def end(self) -> None:
        await self.callers.stop()
        for server in self.servers:
            server.kill()


def _port_of(node: NodeMachine) -> Callable[[], int]:
    return lambda: node.port


@asynccontextmanager
async def world(seed: int) -> AsyncIterator[World]:
    with tempfile.TemporaryDirectory(prefix="distribution-") as folder:
        async with distributed(Path(folder)) as machines:
            made = World(machines, seed)
            await made.begin()
            try:
                yield made
            finally:
                await made.end()


# ---- faults ----

Step = Callable[[World, str], Awaitable[None]]  # with the name of the victim's distributor


async def nothing(world: World, name: str) -> None:
    """No fault."""


async def kill(world: World, name: str) -> None:
    await asyncio.to_thread(world.machines.distributors[name].kill)


async def start_again(world: World, name: str) -> None:
    await world.machines.start_distributor(name)


async def stop(world: World, name: str) -> None:
    world.machines.distributors[name].stop_all()


async def go_on(world: World, name: str) -> None:
    world.machines.distributors[name].go_on()


async def cut(world: World, name: str) -> None:
    for node in world.machines.nodes:
        world.machines.cut_node_off(node, name)


async def cut_upward(world: World, name: str) -> None:
    world.machines.upward[name].cut()


async def heal(world: World, name: str) -> None:
    world.machines.heal()


async def kill_and_cut_the_other(world: World, name: str) -> None:
    world.machines.cut_node_off(VICTIM, world.machines.other_distributor(name))
    await kill(world, name)


async def heal_and_start_again(world: World, name: str) -> None:
    world.machines.heal()
    await start_again(world, name)


async def stop_and_restart_publisher(world: World, name: str) -> None:
    await stop(world, name)
    await world.restart_publisher()


async def kill_with_the_agent(world: World, name: str) -> None:
    os.kill(world.machines.nodes[VICTIM].pid("agent"), signal.SIGKILL)
    await kill(world, name)


async def cut_region(world: World, name: str) -> None:
    world.machines.cut_region_off(name, REGION)


@dataclass(frozen=True, slots=True)
class Fault:
    """What happens at the moment of a change. `without_way` are the nodes that can't hear of the
    change until it is over; it lasts `lasts_s` after the change is in force at the others."""

    name: str
    begin: Step
    end: Step
    without_way: tuple[str, ...] = ()
    lasts_s: float = 0.0
    between_s: float = BETWEEN_S


FAULTS = (
    Fault("no fault", nothing, nothing, between_s=0.2),
    Fault("a node's distributor killed", kill, start_again),
    Fault("a node's distributor stopped", stop, go_on),
    Fault("a node's distributor cut off from all nodes", cut, heal),
    Fault("a node's distributor cut off from the publisher", cut_upward, heal),
    Fault(
        f"a node's distributor killed, its way to the other cut for {CUT_S:g} s",
        kill_and_cut_the_other,
        heal_and_start_again,
        (VICTIM,),
        CUT_S,
    ),
    Fault("a distributor stopped, the publisher restarted", stop_and_restart_publisher, go_on),
    Fault(
        "a node's agent and distributor killed",
        kill_with_the_agent,
        start_again,
        between_s=STEADY_S,
    ),
    Fault(
        f"a region cut off for {CUT_S:g} s (a distributor and two nodes)",
        cut_region,
        heal,
        REGION,
        CUT_S,
    ),
)


async def faults(rounds: int, seed: int) -> list[FaultTimes]:
    """Each fault in turn, so many times, in the same world. What was lost is told of the last."""
    found = []
    async with world(seed) as made:
        for fault in FAULTS:
            asked = len(made.ledger.entries)
            seconds: list[float] = []
            after_end: list[float] = []
            for _ in range(rounds):
                await _round(made, fault, seconds, after_end)
            requests = len(made.ledger.entries) - asked
            found.append(FaultTimes(fault.name, seconds, after_end, requests))
    found[-1].problems.extend(made.problems())
    return found


async def _round(made: World, fault: Fault, seconds: list[float], after_end: list[float]) -> None:
    name = await made.distributor_of(VICTIM)
    await fault.begin(made, name)
    reached = [node for node in made.machines.nodes if node not in fault.without_way]
    began = time.monotonic()
    await made.change()
    await made.in_force(reached)
    seconds.append(time.monotonic() - began)
    await asyncio.sleep(fault.lasts_s)
    began = time.monotonic()
    ending = asyncio.ensure_future(fault.end(made, name))
    if fault.without_way:
        await made.in_force(fault.without_way)
        after_end.append(time.monotonic() - began)
    await ending
    await asyncio.sleep(fault.between_s)


# ---- restarts of an agent ----


async def restarts(rounds: int, seed: int) -> RestartTimes:
    """An agent killed under traffic, so many times."""
    ready: list[float] = []
    held: list[float] = []
    connected: list[float] = []
    async with world(seed) as made:
        node = made.machines.nodes[VICTIM]
        for _ in range(rounds):
            before = node.pid("agent")
            began = time.monotonic()
            os.kill(before, signal.SIGKILL)
            await asyncio.to_thread(node.until_ready_again, "agent", before)
            at = time.monotonic()
            ready.append(at - began)
            await _until(node, lambda status: status.get("tenants", 0) >= 1)
            held.append(time.monotonic() - at)
            await _until(node, lambda status: status.get("link") == "up")
            connected.append(time.monotonic() - at)
            await asyncio.sleep(STEADY_S + made.random.random())
        await made.change()
        await made.in_force(made.machines.nodes)
    return RestartTimes(ready, held, connected, len(made.ledger.entries), made.problems())


async def _until(node: NodeMachine, condition: Callable[[Mapping[str, Any]], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition(await asyncio.to_thread(node.agent_status)):
            await asyncio.sleep(POLL_S)
