"""All of one node's control in one run: supervisor, agent and fleet process, tenants served.

A publisher and a distributor, and two whole nodes that serve the same tenants: one is the home of
their limits, the other is not. Callers ask for more and more tenants; then nobody asks, and each
process is looked at.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.distribution import fill
from benchmarks.scale import model, processes
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Finding, Resource, Role, Series
from benchmarks.scale.model import Source as From
from standins.callers import Caller
from standins.distributed import Distributed, NodeMachine
from standins.ledger import End, Ledger
from standins.memory import private_bytes, proportional_bytes
from standins.relay import Address
from standins.scale.plan import host_of

HOME, HOLDER = "home", "holder"
CONTROL = ("supervisor", "agent", "fleet")
SETTLE_S, QUICK_SETTLE_S = 5.0, 2.5  # behind the last request: nobody asks any more
TIMEOUT_MS = 4_000
TENANTS, QUICK_TENANTS = 2_000, 200  # at the distributor; what a node holds does not go by them
SIZES, QUICK_SIZES = (10, 23, 46, model.TENANTS_PER_NODE), (5, 10, 20, 40)
SPAN_S, QUICK_SPAN_S = 10.0, 1.5
CARRIED_BY = (
    "as today for memory; for processor time limits that are dealt among the nodes of a tenant, as "
    "shared limits"
)


class FleetNode(NodeMachine):
    """A node of a fleet of two, one of which is the home of all limits."""

    def __init__(
        self, name: str, folder: Path, key: str, control: Sequence[Address], address: str, home: str
    ) -> None:
        super().__init__(name, folder, key, control)
        self.fleet_section = (
            f'[fleet]\nname = "scale"\ninstance = "{name}"\naddress = "{address}"\n'
            f'first = ["{home}"]\nkey_file = "fleet.key"\n'
        )

    def settings(self) -> str:
        return super().settings() + self.fleet_section

    def control_processes(self) -> dict[str, int]:
        """Process ids of what is control of it."""
        assert self.process is not None
        return {"supervisor": self.process.pid} | {n: self.pid(n) for n in CONTROL[1:]}


@dataclass(frozen=True, slots=True)
class ControlAt:
    """One node's control at so many tenants served, by process."""

    served: int
    private: dict[str, int]  # bytes that only this process has
    proportional: dict[str, int]  # bytes, shared ones divided among those who share them
    cpu_percent: dict[str, float]  # at rest


@asynccontextmanager
async def two_nodes(folder: Path, tenants: int) -> AsyncIterator[dict[str, FleetNode]]:
    """Both nodes behind one distributor of so many tenants."""
    fill(folder / "publisher", tenants)
    machines = Distributed(folder, nodes=0, distributors=1)
    nodes: dict[str, FleetNode] = {}
    try:
        await machines.start()
        control = [machines.distributors["d0"].address]
        home = processes.free_address()
        for name, address in ((HOME, home), (HOLDER, processes.free_address())):
            place = folder / name
            nodes[name] = FleetNode(name, place, machines.key, control, address, home)
            await asyncio.to_thread(nodes[name].start)
        yield nodes
    finally:
        for node in nodes.values():
            await asyncio.to_thread(node.kill)
        await asyncio.to_thread(machines.stop)
        machines.stop_relays()


async def ask(node: FleetNode, tenants: range) -> None:
    """One request for each, so that the node holds it; nobody answers at their servers."""
    ledger, random = Ledger(), Random(1)
    for tenant in tenants:
        headers = {"Host": host_of(tenant), "X_Tenant_Id": ""}
        caller = Caller(
            f"c{tenant}", node.port, ledger, random, timeout_ms=TIMEOUT_MS, headers=headers
        )
        await caller.ask("balance")
        caller.drop()
    ends = [end for entry in ledger.entries.values() for end in entry.ends]
    if len(ends) != len(tenants) or End.LEFT in ends:
        raise RuntimeError(f"not every request was answered: {ends}")


async def look(nodes: dict[str, FleetNode], served: int, seconds: float) -> dict[str, ControlAt]:
    """Every node's control while nobody asks."""
    pids = {name: node.control_processes() for name, node in nodes.items()}
    before = {n: {p: processes.cpu_seconds(pid) for p, pid in of.items()} for n, of in pids.items()}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    span = time.monotonic() - began
    found = {}
    for name, of_node in pids.items():
        spent = {p: processes.cpu_seconds(pid) - before[name][p] for p, pid in of_node.items()}
        found[name] = ControlAt(
            served,
            {part: private_bytes(pid) for part, pid in of_node.items()},
            {part: proportional_bytes(pid) for part, pid in of_node.items()},
            {part: 100 * s / span for part, s in spent.items()},
        )
    return found


async def sweep(
    sizes: Sequence[int], tenants: int, seconds: float, settle: float = SETTLE_S
) -> dict[str, list[ControlAt]]:
    """Both nodes, with more and more tenants served."""
    rows: dict[str, list[ControlAt]] = {HOME: [], HOLDER: []}
    with tempfile.TemporaryDirectory(prefix="control-") as text:
        async with two_nodes(Path(text), tenants) as nodes:
            begin = 0
            for size in sizes:
                for node in nodes.values():
                    await ask(node, range(begin, size))
                begin = size
                await asyncio.sleep(settle)
                for name, found in (await look(nodes, size, seconds)).items():
                    rows[name].append(found)
    return rows


def cost(
    name: str,
    what: str,
    rows: Sequence[ControlAt],
    resource: Resource,
    of: str,
    parts: Sequence[str],
    limited: bool = True,
) -> Finding:
    """The sum of one kind over some parts, by the tenants served."""
    points = tuple(Point(r.served, sum(getattr(r, of)[p] for p in parts)) for r in rows)
    limit = model.BUDGETS[resource] if limited else None
    expected = model.TENANTS_PER_NODE
    return judge(
        Series(name, what, "tenants served", resource, From.WHOLE, points, expected, limit, False)
    )


def findings(rows: dict[str, list[ControlAt]]) -> list[Finding]:
    """What all of a node's control takes, and its parts."""
    words = {HOLDER: "supervisor, agent, fleet", HOME: "the same of a home of limits"}
    made = []
    for which, text in words.items():
        at = rows[which]
        made += [
            cost(f"private_{which}", f"{text} (private)", at, Resource.MEMORY, "private", CONTROL),
            cost(f"shared_{which}", f"{text} (Pss)", at, Resource.MEMORY, "proportional", CONTROL),
            cost(f"cpu_{which}", f"{text}, nobody asking", at, Resource.CPU, "cpu_percent",
                 CONTROL),
        ]  # fmt: skip
    for part in CONTROL:
        made.append(
            cost(f"private_{part}", f"of it {part} (private)", rows[HOLDER], Resource.MEMORY,
                 "private", [part], False)
        )  # fmt: skip
    for part in CONTROL[1:]:
        made.append(
            cost(f"cpu_{part}", f"of it {part}, nobody asking", rows[HOLDER], Resource.CPU,
                 "cpu_percent", [part], False)
        )  # fmt: skip
    return made


def measure(quick: bool) -> Role:
    """Two whole nodes with distribution and fleet on, more and more tenants served."""
    rows = asyncio.run(
        sweep(QUICK_SIZES, QUICK_TENANTS, QUICK_SPAN_S, QUICK_SETTLE_S)
        if quick
        else sweep(SIZES, TENANTS, SPAN_S)
    )
    largest = rows[HOLDER][-1]
    held = sum(largest.private.values()) / 1e6
    return Role(
        "a node's control",
        "what supervisor, agent and fleet process of a node take together",
        "the documents of the tenants served, in agent and fleet process; their limits",
        "one process each: the supervisor holds nothing but its children, the agent follows a "
        "distributor, the fleet process deals limits",
        CARRIED_BY,
        tuple(findings(rows)),
        (
            Effect(Event.ORDINARY_DAY, "a restart asks for the tenants served anew, as they are "
                   "asked for"),
            Effect(Event.RACK, "the tenants of its nodes come to others; each holds at most",
                   500, "tenants, by the default of its settings"),
            Effect(Event.ZONE, "tenants that each node of another zone takes over, if every one "
                   "moves", model.TENANTS_PER_NODE * model.NODES_PER_ZONE
                   / (model.NODES - model.NODES_PER_ZONE), "tenants"),
            Effect(Event.REGION, "each side goes on with what it holds"),
            Effect(Event.CONTROL_AWAY, "the agent goes on with what it holds; limits as told under "
                   "shared limits"),
        ),
        (
            Figure(f"left of the memory for control, {largest.served} tenants served, two members",
                   model.MEMORY_BYTES / 1e6 - held, "MB", From.WHOLE),
        ),
    )  # fmt: skip
