"""Whole nodes under control machines: time in force beside faults, and what control costs a node.

    python -m benchmarks.distribution [--rounds N] [--tenants N] [--only faults|restarts|size]
        [--out FILE]

faults: three whole nodes and two distributors; a change by the API beside one fault, two at once,
or while a region is cut off: see `distribution_faults`. Exit code 1 where a change took over 4 s,
or a request was lost or ran twice. restarts: an agent killed under traffic; how long until it holds
its node's tenant again. size: one node with 92 tenants served of 110,000 at the distributors: the
first request's added time, memory of each process, control bytes and processor time at rest and
under changes at a hundred times the expected rate.

Memory is what a process has for itself (Private in /proc/PID/smaps_rollup).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.distribution_faults import faults, restarts
from standins.callers import Caller
from standins.distributed import Distributed, NodeMachine, distributed
from standins.ledger import Ledger
from standins.memory import private_bytes
from standins.scale.documents import records
from standins.scale.plan import CHANGES_PER_S, host_of, uid_of
from standins.servers import Behaviour, TopupServer
from standins.service import Operator, cpu_s
from tansywood.store import Batch, Store

IN_FORCE_S = 4.0
SERVED = 92  # tenants of one node: 110,000 on three nodes each, of 3,600
SPAN_S = 20.0  # at rest, and as long under changes
BATCH = 2_000
AT_REST, CHANGING = "at rest", "changing"


@dataclass(frozen=True, slots=True)
class Span:
    """What a node's control took over some seconds."""

    when: str
    seconds: float
    bytes_per_s: float
    agent_processor: float  # of a core
    other_processor: float  # of a core: the node's other processes, nobody asking


@dataclass(frozen=True, slots=True)
class SizeFigures:
    """One node that serves some of many tenants."""

    tenants: int
    served: int
    ends: Mapping[str, int]  # of the first and the second requests
    first_ms: float  # median of a tenant's first request
    first_longest_ms: float
    later_ms: float  # median of the second request, on a new connection too
    memory_mb: Mapping[str, float]  # private, by process of the node
    distributor_mb: float
    publisher_mb: float
    spans: list[Span]


# ---- size ----


def fill(folder: Path, tenants: int) -> None:
    """A store with so many tenants, as the API would have left it."""
    folder.mkdir(parents=True)
    store = Store.open(folder / "state")
    batch = Batch()
    for key, value in records(tenants, 1):
        batch.put(key, value)
        if len(batch.ops) >= BATCH:
            store.write(batch)
            batch = Batch()
    store.write(batch, durable=True)
    store.close()


def private_mb(pid: int) -> float:
    return private_bytes(pid) / (1 << 20)


def parts_of(node: NodeMachine) -> Iterator[tuple[str, int]]:
    """The node's processes by name."""
    assert node.process is not None
    yield "supervisor", node.process.pid
    for part in ("agent", "door", "worker-0"):
        yield part, node.pid(part)


async def size(tenants: int, seconds: float = SPAN_S) -> SizeFigures:
    """One node before two distributors of so many tenants; `seconds` at rest and as many under
    changes."""
    with tempfile.TemporaryDirectory(prefix="distribution-") as text:
        folder = Path(text)
        fill(folder / "publisher", tenants)
        async with distributed(folder, nodes=1, distributors=2) as machines:
            return await _size(machines, tenants, seconds)


async def _size(machines: Distributed, tenants: int, seconds: float) -> SizeFigures:
    node = machines.nodes["n0"]
    ledger, random = Ledger(), Random(1)
    server = TopupServer("s-0", ledger, random, Behaviour(work_s=0.001))
    await server.start()
    operator = machines.publisher.operator()
    chosen = random.sample(range(tenants), min(SERVED, tenants))
    for tenant in chosen:  # their servers are of this machine
        row = {"name": "s-0", "address": f"127.0.0.1:{server.port}", "started_ms": 1}
        await asyncio.to_thread(
            operator.must, "PATCH", f"/v1/tenants/{uid_of(tenant)}", {"servers": [row]}
        )
    first = [await _asked(node, ledger, random, tenant, "a") for tenant in chosen]
    later = [await _asked(node, ledger, random, tenant, "b") for tenant in chosen]
    ends = Counter(end for entry in ledger.entries.values() for end in entry.ends)
    await asyncio.sleep(min(seconds, 2.0))
    rest = await _span(node, AT_REST, seconds, lambda _at: asyncio.sleep(0))
    changing = await _changing(node, operator, tenants, chosen, seconds)
    server.kill()
    distributor = machines.distributors["d0"]
    return SizeFigures(
        tenants,
        len(chosen),
        {end.value: count for end, count in ends.items()},
        statistics.median(first) * 1e3,
        max(first) * 1e3,
        statistics.median(later) * 1e3,
        {name: round(private_mb(pid), 1) for name, pid in parts_of(node)},
        round(private_mb(distributor.pid("distributor")), 1),
        round(private_mb(machines.publisher.pid("admin")), 1),
        [rest, changing],
    )


async def _asked(
    node: NodeMachine, ledger: Ledger, random: Random, tenant: int, mark: str
) -> float:
    headers = {"Host": host_of(tenant), "X_Tenant_Id": ""}
    caller = Caller(f"{mark}{tenant}", node.port, ledger, random, timeout_ms=1_900, headers=headers)
    began = time.perf_counter()
    await caller.ask("balance")
    took = time.perf_counter() - began
    caller.drop()
    return took


async def _changing(
    node: NodeMachine, operator: Operator, tenants: int, served: list[int], seconds: float
) -> Span:
    """Changes at a hundred times the expected rate, of any tenants; one in ten of those served."""
    random = Random(2)

    async def change(at: int) -> None:
        tenant = random.choice(served) if at % 10 == 0 else random.randrange(tenants)
        limits = {"limits": {"rate_per_s": 100 + at, "burst": 50, "open": 100}}
        await asyncio.to_thread(operator.must, "PATCH", f"/v1/tenants/{uid_of(tenant)}", limits)
        await asyncio.sleep(1 / CHANGES_PER_S)

    return await _span(node, CHANGING, seconds, change)


async def _span(
    node: NodeMachine, when: str, seconds: float, step: Callable[[int], Awaitable[None]]
) -> Span:
    status = node.status()
    agent, others = _processor(node)
    began = time.monotonic()
    count = 0
    while time.monotonic() - began < seconds:
        await step(count)
        count += 1
        await asyncio.sleep(0.05)
    took = time.monotonic() - began
    agent_after, others_after = _processor(node)
    after = node.status()
    grown = sum(after[key] - status[key] for key in ("bytes_in", "bytes_out"))
    return Span(
        when, took, grown / took, (agent_after - agent) / took, (others_after - others) / took
    )


def _processor(node: NodeMachine) -> tuple[float, float]:
    spent = {name: cpu_s(pid) for name, pid in parts_of(node)}
    return spent.pop("agent"), sum(spent.values())


# ---- the command ----


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.distribution")
    parser.add_argument("--rounds", type=int, default=10, help="of each fault and of restarts; 10")
    parser.add_argument("--tenants", type=int, default=110_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=("faults", "restarts", "size"), default="")
    parser.add_argument("--out", type=Path, help="figures as JSON")
    options = parser.parse_args()
    told: dict[str, Any] = {"load_before": os.getloadavg()[0]}
    kept = True
    if options.only in ("", "faults"):
        times = asyncio.run(faults(options.rounds, options.seed))
        told["faults"] = [asdict(row) for row in times]
        for row in times:
            print(row.text(), flush=True)
            kept &= row.longest() <= IN_FORCE_S and not row.problems
    if options.only in ("", "restarts"):
        restarted = asyncio.run(restarts(options.rounds, options.seed))
        told["restarts"] = asdict(restarted)
        print(restarted.text(), flush=True)
        kept &= not restarted.problems
    if options.only in ("", "size"):
        found = asyncio.run(size(options.tenants))
        told["size"] = asdict(found)
        print(json.dumps(told["size"], indent=2), flush=True)
    told["load_after"] = os.getloadavg()[0]
    print(f"load average {told['load_before']:.1f} before, {told['load_after']:.1f} after")
    if options.out is not None:
        options.out.write_text(json.dumps(told, indent=2) + "\n")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
