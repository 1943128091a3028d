"""A complete set-up in one test: servers, their list, a node, callers, and a checking ledger."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any

from standins import faults
from standins.callers import Caller, Manner
from standins.ledger import Ledger
from standins.platform import roster, target
from standins.process import NodeProcess
from standins.registry import Mood, Registry
from standins.servers import Behaviour, TopupServer

MAX_IDLE_DESCRIPTORS = 30  # descriptors of a node without clients, at most


class World:
    """The parts of the set-up, built in the test's own loop; the node is a process."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.ledger = Ledger()
        self.servers: list[TopupServer] = []
        self.registry = Registry(Random(seed + 1))
        self.node: NodeProcess

    def caller(self, name: str, **over: Any) -> Caller:
        """Return a caller that sends its requests to the node."""
        return Caller(name, self.node.port, self.ledger, Random(self.rng.random()), **over)

    async def run_callers(
        self,
        count: int,
        requests_each: int,
        manners: dict[Manner, float] | None = None,
        **over: Any,
    ) -> None:
        """Run this many callers at once, each with this many requests in turn."""
        at = len(self.ledger.entries)
        callers = [self.caller(f"c{at}.{i}", manners=manners, **over) for i in range(count)]

        async def go(caller: Caller) -> None:
            for _ in range(requests_each):
                if await caller.ask() is None and caller.refused_dials > 100:
                    break
            caller.drop()

        await asyncio.gather(*(go(caller) for caller in callers))

    async def releases_descriptors(self) -> bool:
        """Return whether the node closes all but its idle descriptors within the time-out."""
        return await self.becomes_true(lambda: self.node.descriptors() <= MAX_IDLE_DESCRIPTORS)

    async def becomes_true(self, condition: Callable[[], bool], seconds: float = 15.0) -> bool:
        """Wait for a condition; returns False where it does not hold within the time-out."""
        for _ in range(int(seconds / 0.02)):
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False


@contextlib.asynccontextmanager
async def world(
    folder: Path,
    behaviours: Sequence[Behaviour],
    plan: Sequence[faults.Fault] | None = None,
    seed: int = 1,
    moods: dict[Mood, float] | None = None,
    **over: Any,
) -> AsyncIterator[World]:
    """Run a node with one server for each behaviour; with a `plan`, faults are injected below the
    node."""
    created = World(seed)
    created.registry.moods = moods or created.registry.moods
    try:
        for i, behaviour in enumerate(behaviours):
            server = TopupServer(f"s-{i}", created.ledger, Random(created.rng.random()), behaviour)
            await server.start()
            created.servers.append(server)
            created.registry.put(target(server.name, server.port))
        await created.registry.start()
        known = roster(*(target(s.name, s.port) for s in created.servers))
        created.node = NodeProcess(folder, known, created.registry.port, **over)
        environ = None
        if plan is not None:
            ports = [s.port for s in created.servers]
            environ = faults.environment(folder / "faults.log", ports, plan)
        await asyncio.to_thread(created.node.start, environ)
        yield created
    finally:
        if hasattr(created, "node"):
            created.node.kill()
        created.registry.close()
        for server in created.servers:
            server.kill()
        await asyncio.sleep(0)
