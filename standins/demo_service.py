"""The hosted service in twenty seconds: `make demo`, or `python -m standins.demo_service`.

Three tenants over stand-in servers, each with callers of its own. One is flooded at ten times
its rate, one has a server that dies and is taken out through the administration API while
requests are in flight; a limit is changed live. A table shows each second
what each tenant's callers got; the end is a summary that checks every promise of every tenant.
The exit code is 0 where none was broken and the third tenant lost nothing.

All on loopback, bounded in time and in number, by a seed: what happens is the same each time,
how fast it goes is the machine's.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

from standins.callers import Caller
from standins.demo import run_demo
from standins.ledger import End, Ledger
from standins.servers import Behaviour, TopupServer
from standins.service import ServiceProcess, document

SECONDS = 20
CALLERS = 12
PAUSE_S = 0.15  # a caller's mean time between an answer and the next request
FLOOD = 60  # callers that ask without a pause
WORK_S = 0.02
FLOODED, CHANGED, THIRD = "flooded", "changed", "third"


class Side:
    """One tenant: servers, callers, and what became of each request."""

    def __init__(self, name: str, rng: Random) -> None:
        self.name = name
        self.rng = rng
        self.ledger = Ledger()
        self.servers = [
            TopupServer(f"s-{i}", self.ledger, Random(rng.random()), Behaviour(work_s=WORK_S))
            for i in range(3)
        ]
        self.token = ""
        self.before: Counter[End] = Counter()

    def caller(self, port: int, number: int) -> Caller:
        headers = {
            "Host": f"{self.name}.example.org",
            "X_Tenant_Id": "",
            "X_Tenant_Key": self.token,
        }
        name = f"{self.name}.{number}"
        return Caller(name, port, self.ledger, Random(self.rng.random()), headers=headers)

    def ends(self) -> Counter[End]:
        found: Counter[End] = Counter()
        for (_, end), count in self.ledger.counts().items():
            found[end] += count
        return found

    def news(self) -> Counter[End]:
        now = self.ends()
        new = now - self.before
        self.before = now
        return new


class Demo:
    """The service, its tenants and the table."""

    def __init__(self, folder: Path, seconds: int, seed: int, out: Callable[[str], None]) -> None:
        self.seconds = seconds
        self.out = out
        self.rng = Random(seed)
        self.service = ServiceProcess(folder, workers=3)
        self.sides = [Side(n, Random(self.rng.random())) for n in (FLOODED, CHANGED, THIRD)]
        self.stopping = False
        self.flooding = False
        self.code = -1

    async def run(self) -> bool:
        """Whether every promise was kept."""
        tasks: list[asyncio.Task[None]] = []
        try:
            await asyncio.to_thread(self.service.start)
            for side in self.sides:
                await self.create(side)
            self.out(
                f"A service on port {self.service.port}, its administration on "
                f"{self.service.admin_port}; three tenants, {CALLERS} callers each."
            )
            self.out("")
            heads = "".join(f"{side.name:>24}" for side in self.sides)
            self.out(f"{'':>3}{heads}")
            self.out(f"{'s':>3}" + f"{'served refused broke':>24}" * 3 + "   what happens")
            for side in self.sides:
                tasks += [asyncio.create_task(self.ask(side, i)) for i in range(CALLERS)]
            tasks += [asyncio.create_task(self.flood(i)) for i in range(FLOOD)]
            await self.watch()
        finally:
            self.stopping = True
            await asyncio.gather(*tasks)
            if self.service.process is not None:
                self.code = await asyncio.to_thread(self.service.stop)
            await asyncio.to_thread(self.service.kill)
            for side in self.sides:
                for server in side.servers:
                    server.kill()
        return self.summary()

    async def api(self, method: str, path: str, body: object = None) -> None:
        await asyncio.to_thread(self.service.operator().must, method, path, body)

    async def create(self, side: Side) -> None:
        for server in side.servers:
            await server.start()
        made = document(side.name, [(s.name, s.port) for s in side.servers])
        made["limits"] = {"rate_per_s": 120, "burst": 60, "connections": 200}
        for row in made["servers"]:
            row["started_ms"] = 1  # long ago: not cold
        operator = self.service.operator()
        await asyncio.to_thread(operator.must, "POST", "/v1/tenants", made)
        key = await asyncio.to_thread(
            operator.must, "POST", f"/v1/tenants/{side.name}/keys", {"role": "caller"}
        )
        side.token = key.body["token"]

    async def ask(self, side: Side, number: int) -> None:
        caller = side.caller(self.service.port, number)
        while not self.stopping:
            await caller.ask()
            await asyncio.sleep(caller.rng.expovariate(1 / PAUSE_S))
        caller.drop()

    async def flood(self, number: int) -> None:
        caller = self.sides[0].caller(self.service.port, 1000 + number)
        while not self.stopping:
            if self.flooding:
                await caller.ask()
                await asyncio.sleep(0.04)
            else:
                caller.drop()
                await asyncio.sleep(0.05)

    async def step(self, number: int) -> str:
        if number == 0:
            self.flooding = True
            return f"{FLOODED} is sent ten times its rate"
        if number == 1:
            self.sides[1].servers[0].kill()
            return f"{CHANGED}: its server s-0 dies"
        if number == 2:
            await self.api("DELETE", f"/v1/tenants/{CHANGED}/servers/s-0")
            return f"{CHANGED}: s-0 is taken out through the API"
        if number == 3:
            await self.api("PATCH", f"/v1/tenants/{FLOODED}", {"limits": {"rate_per_s": 400}})
            return f"{FLOODED}: its rate goes from 120 to 400"
        self.flooding = False
        return "the flood ends"

    async def watch(self) -> None:
        at = [int(self.seconds * part) + 1 for part in (0.15, 0.35, 0.5, 0.65, 0.85)]
        for second in range(1, self.seconds + 1):
            told = await self.step(at.index(second)) if second in at else ""
            await asyncio.sleep(1)
            cells = ""
            for side in self.sides:
                new = side.news()
                row = f"{new[End.SERVED]:>6} {new[End.REFUSED]:>7} {new[End.BROKE]:>5}"
                cells += f"{row:>24}"
            self.out(f"{second:>3}{cells}   {told}")

    def summary(self) -> bool:
        self.out("")
        self.out(f"{'':>10} {'asked':>7} {'served':>7} {'refused':>8} {'failed':>7} {'broke':>6} "
                 f"{'credits run':>12} {'twice':>6}")  # fmt: skip
        problems = []
        for side in self.sides:
            ends = side.ends()
            entries = side.ledger.entries.values()
            ran = sum(bool(e.ran) for e in entries if e.unsafe)
            twice = sum(len(e.ran) > 1 for e in entries if e.unsafe)
            self.out(
                f"{side.name:>10} {len(entries):>7} {ends[End.SERVED]:>7} {ends[End.REFUSED]:>8} "
                f"{ends[End.FAILED]:>7} {ends[End.BROKE]:>6} {ran:>12} {twice:>6}"
            )
            problems += [f"{side.name}: {text}" for text in side.ledger.problems()]
        third = self.sides[2]
        lost = len(third.ledger.entries) - third.ends()[End.SERVED]
        if lost:
            problems.append(f"{THIRD}, which nobody touched, was not served {lost} times")
        if self.code:
            problems.append(f"the service did not stop cleanly: {self.code}")
        self.out("")
        for text in problems[:10]:
            self.out(f"BROKEN: {text}")
        self.out("every promise kept" if not problems else f"{len(problems)} promises broken")
        return not problems


if __name__ == "__main__":
    sys.exit(run_demo(Demo, __doc__, SECONDS, 10))
