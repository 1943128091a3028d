"""The main job in half a minute: `make demo`, or `python -m standins.demo`.

A node stands before five servers and their list. Callers ask for balances and credits all
the time; one of the servers breaks connections, another dies and comes back, and the node
itself is stopped and started in the middle. A table shows each second; the end is a summary
that checks every promise on every request. The exit code is 0 where none was broken.
`broke` counts requests whose connection ended under them, as when a stop closes it and a
request crosses that: they are their caller's to ask again.

All on loopback, bounded in time and in number, by a seed: what happens is the same each
time, how fast it goes is the machine's.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Protocol

from standins.callers import Caller
from standins.ledger import End, Ledger
from standins.platform import roster, target
from standins.process import NodeProcess
from standins.registry import Registry
from standins.servers import Behaviour, Greeting, Reply, TopupServer

SECONDS = 24
CALLERS = 40
SERVERS = 5
WORK_S = 0.03
PAUSE_S = 0.12  # a caller's mean time between an answer and the next request
ROUGH = Behaviour(
    {Greeting.TAKE: 20.0, Greeting.RESET: 1.0},
    {Reply.ANSWER: 30.0, Reply.RESET_RUN: 1.0, Reply.RESET_UNRUN: 1.0, Reply.HALF_RESET: 1.0},
    work_s=WORK_S,
)
COLUMNS = (End.SERVED, End.REFUSED, End.FAILED, End.BROKE)


class Demo:
    """The world, the callers and the table."""

    def __init__(self, folder: Path, seconds: int, seed: int, out: Callable[[str], None]) -> None:
        self.seconds = seconds
        self.out = out
        self.rng = Random(seed)
        self.ledger = Ledger()
        self.registry = Registry(Random(seed))
        behaviours = [Behaviour(work_s=WORK_S) for _ in range(SERVERS - 1)] + [ROUGH]
        self.servers = [
            TopupServer(f"s-{i}", self.ledger, Random(self.rng.random()), behaviour)
            for i, behaviour in enumerate(behaviours)
        ]
        self.folder = folder
        self.stopping = False
        self.codes: list[int] = []

    async def run(self) -> bool:
        """Whether every promise was kept."""
        for server in self.servers:
            await server.start()
            self.registry.put(target(server.name, server.port))
        await self.registry.start()
        known = roster(*(target(s.name, s.port) for s in self.servers))
        self.node = NodeProcess(self.folder, known, self.registry.port)
        await asyncio.to_thread(self.node.start)
        self.out(
            f"A node on port {self.node.port}, {SERVERS} servers (s-{SERVERS - 1} breaks "
            f"connections), {CALLERS} callers, {self.seconds} s."
        )
        self.out("")
        self.out(f"{'s':>3} {'served':>7} {'refused':>8} {'failed':>7} {'broke':>6}   what happens")
        callers = [
            Caller(f"c{i}", self.node.port, self.ledger, Random(self.rng.random()))
            for i in range(CALLERS)
        ]
        asking = [asyncio.create_task(self._ask(caller)) for caller in callers]
        try:
            await self._seconds()
        finally:
            self.stopping = True
            await asyncio.gather(*asking)
            if self.node.alive():
                self.codes.append(await asyncio.to_thread(self.node.stop))
            self.node.kill()
            self.registry.close()
            for server in self.servers:
                server.kill()
        return self._summary()

    async def _ask(self, caller: Caller) -> None:
        while not self.stopping:
            await caller.ask()
            await asyncio.sleep(caller.rng.expovariate(1 / PAUSE_S))
        caller.drop()

    async def _seconds(self) -> None:
        before: Counter[End] = Counter()
        pending: list[asyncio.Task[None]] = []
        for second in range(1, self.seconds + 1):
            told = ""
            # What happens at which part of the run; the first second past it.
            at = (int(self.seconds * part) + 1 for part in (0.2, 0.4, 0.6, 0.8))
            step = [number for number, when in enumerate(at) if when == second]
            if 0 in step:
                self.servers[0].kill()
                told = "server s-0 dies: its connections are reset, new ones refused"
            if 1 in step:
                await self.servers[0].start()
                told = "s-0 is back"
            if 2 in step:
                pending.append(asyncio.create_task(self._restart()))
                told = "the node is told to stop: it answers what it holds, and starts again"
            if 3 in step:
                self.registry.put(target("s-1", self.servers[1].port, "leaving"))
                told = "s-1 drains: it finishes what it has and gets nothing new"
            await asyncio.sleep(1)
            now: Counter[End] = Counter()
            for (_, end), count in self.ledger.counts().items():
                now[end] += count
            new = now - before
            before = now
            cells = [new[end] for end in COLUMNS]
            self.out(
                f"{second:>3} {cells[0]:>7} {cells[1]:>8} {cells[2]:>7} {cells[3]:>6}   {told}"
            )
        await asyncio.gather(*pending)

    async def _restart(self) -> None:
        self.codes.append(await asyncio.to_thread(self.node.stop))
        await asyncio.to_thread(self.node.start)

    def _summary(self) -> bool:
        counts = self.ledger.counts()
        self.out("")
        self.out(f"{'':10} {'asked':>7} {'served':>7} {'refused':>8} {'failed':>7} {'broke':>6}")
        for kind in ("balance", "credit"):
            row = [counts[kind, end] for end in COLUMNS]
            asked = sum(e.kind == kind for e in self.ledger.entries.values())
            self.out(f"{kind:10} {asked:>7} {row[0]:>7} {row[1]:>8} {row[2]:>7} {row[3]:>6}")
        credits = [e for e in self.ledger.entries.values() if e.unsafe]
        twice = sum(len(e.ran) > 1 for e in credits)
        ran = sum(bool(e.ran) for e in credits)
        self.out("")
        self.out(f"credits that ran: {ran}; that ran twice: {twice}")
        self.out(f"the node's exits: {self.codes} (0 is a clean stop)")
        problems = self.ledger.problems()
        if any(self.codes):
            problems.append(f"the node did not stop cleanly: {self.codes}")
        for problem in problems[:10]:
            self.out(f"BROKEN: {problem}")
        self.out("every promise kept" if not problems else f"{len(problems)} promises broken")
        return not problems


class Runs(Protocol):
    """A demo: a coroutine that says whether every promise was kept."""

    async def run(self) -> bool: ...


def run_demo(
    make: Callable[[Path, int, int, Callable[[str], None]], Runs], text: str, usual: int, least: int
) -> int:
    """The command line of a demo over a folder, so many seconds, a seed and a way to print."""
    parser = argparse.ArgumentParser(description=text.split("\n")[0])
    parser.add_argument("--seconds", type=int, default=usual, help=f"from {least} to 120")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if not least <= options.seconds <= 120:
        parser.error(f"--seconds goes from {least} to 120")

    def out(line: str) -> None:
        print(line, flush=True)

    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        demo = make(Path(folder), options.seconds, options.seed, out)
        return 0 if asyncio.run(demo.run()) else 1


if __name__ == "__main__":
    sys.exit(run_demo(Demo, __doc__, SECONDS, 5))
