"""The platform's node: one `python -m windrelay` at rest. It shares nothing and has no fleet."""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from benchmarks.scale import model
from benchmarks.scale.discovery import row
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Resource, Role, Series, Source
from benchmarks.scale.processes import cpu_seconds
from standins.memory import proportional_bytes
from standins.process import NodeProcess
from standins.registry import Registry

SETTLE_S = 2.0


@dataclass(frozen=True, slots=True)
class AtRest:
    """One node with a list of so many backends, and no caller."""

    backends: int
    memory: float
    cpu_percent: float


async def at_rest(backends: int, seconds: float) -> AtRest:
    """Start it beside a list that answers, and look."""
    registry = Registry(Random(1))
    registry.put(*(row(n) for n in range(backends)))
    await registry.start()
    with tempfile.TemporaryDirectory(prefix="node-") as folder:
        node = NodeProcess(Path(folder), registry.whole(), registry.port)
        try:
            await asyncio.to_thread(node.start)
            await asyncio.sleep(SETTLE_S)
            before, began = cpu_seconds(node.pid), time.monotonic()
            await asyncio.sleep(seconds)
            spent = cpu_seconds(node.pid) - before
            cpu_percent = 100 * spent / (time.monotonic() - began)
            return AtRest(backends, proportional_bytes(node.pid), cpu_percent)
        finally:
            node.kill()
            registry.close()


def measure(quick: bool) -> Role:
    """The node with lists of four sizes."""
    sizes = (22, 160, 320, model.BACKENDS_PER_NODE)
    seconds = 2.0 if quick else 8.0
    found = [asyncio.run(at_rest(n, seconds)) for n in sizes]
    memory = Series(
        "memory", "one node at rest (Pss)", "backends listed", Resource.MEMORY, Source.WHOLE,
        tuple(Point(f.backends, f.memory) for f in found), model.BACKENDS_PER_NODE,
        grows_with_fleet=False, note="its budgets are the platform's, not these",
    )  # fmt: skip
    cpu = Series(
        "cpu", "one node at rest", "backends listed", Resource.CPU, Source.WHOLE,
        tuple(Point(f.backends, f.cpu_percent) for f in found), model.BACKENDS_PER_NODE,
        grows_with_fleet=False, note="its budgets are the platform's, not these",
    )  # fmt: skip
    nothing = "nothing but its own list and servers: nodes share nothing"
    return Role(
        "platform's node",
        "what `python -m windrelay` takes: it loads nothing of the hosted service",
        "its list, its settings, its requests",
        "its own list and its own configuration",
        "as today",
        (judge(memory), judge(cpu)),
        tuple(Effect(event, nothing) for event in Event),
    )
