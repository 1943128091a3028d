"""A service with tenants over stand-in servers, in one test."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from random import Random
from typing import Any

from standins.callers import Caller
from standins.ledger import Ledger
from standins.servers import Behaviour, TopupServer
from standins.service import LISTENERS, Operator, ServiceProcess, document

# How fast a machine is must change no verdict: nobody is given up for a slow one's sake, or
# refused for a fast one's.
PATIENT: list[dict[str, Any]] = [
    {"name": "balance", "aim_ms": 25_000, "deadline_ms": 30_000, "repeat": "safe"},
    {"name": "credit", "aim_ms": 25_000, "deadline_ms": 30_000, "repeat": "never", "worth": 5.0},
]
PATIENCE_MS = 28_000
WIDE = {"rate_per_s": 1_000_000, "burst": 1_000_000, "connections_per_s": 100_000}


class Side:
    """One tenant's side of the world: servers, callers, a ledger of its own."""

    def __init__(self, name: str, rng: Random) -> None:
        self.name = name
        self.rng = rng
        self.ledger = Ledger()
        self.servers: list[TopupServer] = []
        self.token = ""
        self.listed: list[tuple[str, int]] = []

    async def add_servers(self, count: int, behaviour: Behaviour) -> None:
        for _ in range(count):
            server = TopupServer(
                f"s-{len(self.servers)}", self.ledger, Random(self.rng.random()), behaviour
            )
            await server.start()
            self.servers.append(server)
            self.listed.append((server.name, server.port))

    def headers(self) -> dict[str, str]:
        return {"Host": f"{self.name}.example.org", "X_Tenant_Id": "", "X_Tenant_Key": self.token}

    def caller(self, port: int, name: str, **over: Any) -> Caller:
        over.setdefault("headers", self.headers())
        over.setdefault("timeout_ms", PATIENCE_MS)
        return Caller(name, port, self.ledger, Random(self.rng.random()), **over)


class Hosting:
    """The service and its tenants' sides."""

    def __init__(
        self, folder: Path, workers: int, seed: int, listeners: Sequence[str], iso: Sequence[str]
    ) -> None:
        self.rng = Random(seed)
        self.service = ServiceProcess(folder, workers, listeners, iso=iso)
        self.sides: dict[str, Side] = {}
        self.operator: Operator

    async def call(self, method: str, path: str, body: object = None, match: str = "*") -> Any:
        """By the operator; must go well."""
        return (await asyncio.to_thread(self.operator.must, method, path, body, match)).body

    async def tenant(
        self, name: str, servers: int = 2, behaviour: Behaviour | None = None, **over: Any
    ) -> Side:
        side = Side(name, Random(self.rng.random()))
        self.sides[name] = side
        await side.add_servers(servers, behaviour or Behaviour(work_s=0.002))
        # Started long ago, as far as anybody knows: not cold.
        made = document(name, side.listed, **{"classes": PATIENT, "limits": WIDE, **over})
        for row in made["servers"]:
            row["started_ms"] = 1
        await self.call("POST", "/v1/tenants", made)
        key = await self.call("POST", f"/v1/tenants/{name}/keys", {"role": "caller"})
        side.token = key["token"]
        return side

    async def crowd(self, side: Side, count: int, asks: int, **over: Any) -> None:
        """So many callers of a tenant at once, each with so many requests in turn."""
        at = len(side.ledger.entries)

        async def go(i: int) -> None:
            caller = side.caller(self.service.port, f"{side.name}.{at}.{i}", **over)
            for _ in range(asks):
                await caller.ask()
            caller.drop()

        await asyncio.gather(*(go(i) for i in range(count)))


@contextlib.asynccontextmanager
async def hosting(
    folder: Path,
    workers: int = 2,
    seed: int = 1,
    listeners: Sequence[str] = LISTENERS,
    iso: Sequence[str] = (),
) -> AsyncIterator[Hosting]:
    h = Hosting(folder, workers, seed, (*listeners, *iso), iso)
    try:
        await asyncio.to_thread(h.service.start)
        h.operator = h.service.operator()
        yield h
    finally:
        await asyncio.to_thread(h.service.kill)
        for side in h.sides.values():
            for server in side.servers:
                server.kill()
        await asyncio.sleep(0)
