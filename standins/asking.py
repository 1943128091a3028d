"""Callers of one tenant at every node of a service; who ran the last answer of each node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping
from random import Random

from standins.callers import Caller
from standins.ledger import End, Ledger

REQUESTS = 20  # on one connection
PAUSE_S = 0.01


class NodeCallers:
    """One caller at a time at each node; connections are ever new."""

    def __init__(
        self,
        ports: Mapping[str, Callable[[], int]],
        ledger: Ledger,
        random: Random,
        headers: Mapping[str, str],
        timeout_ms: int,
    ) -> None:
        """`ports` are where each node listens now."""
        self.ledger = ledger
        self.last_ran: dict[str, str] = {}  # by node, the server that ran its last answer
        self._ports = ports
        self._random = random
        self._headers = headers
        self._timeout_ms = timeout_ms
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    def start(self) -> None:
        self._stopping = False
        self._tasks = [asyncio.create_task(self._ask_for_ever(node)) for node in self._ports]

    async def stop(self) -> None:
        """What is under way counts as left by its caller."""
        self._stopping = True  # a cancellation that meets an answer is lost in asyncio.wait_for
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for entry in self.ledger.entries.values():
            if not entry.ends:
                entry.ends.append(End.LEFT)

    async def served_by(
        self, server: str, limit_s: float, nodes: Collection[str] | None = None
    ) -> None:
        """Until the last answer of each of these nodes, or of all, is this server's.
        TimeoutError after `limit_s` seconds."""
        asked = self._ports if nodes is None else nodes
        async with asyncio.timeout(limit_s):
            while any(self.last_ran.get(node) != server for node in asked):
                await asyncio.sleep(0.002)

    async def _ask_for_ever(self, node: str) -> None:
        life = 0
        while not self._stopping:
            life += 1
            caller = Caller(
                f"{node}.{life}",
                self._ports[node](),
                self.ledger,
                self._random,
                timeout_ms=self._timeout_ms,
                headers=self._headers,
            )
            for _ in range(REQUESTS):
                if await caller.ask() is End.SERVED:
                    entry = self.ledger.entries[f"{caller.name}-{caller.count}"]
                    self.last_ran[node] = entry.ran[-1]
                if self._stopping:
                    break
                await asyncio.sleep(PAUSE_S)
            caller.drop()
