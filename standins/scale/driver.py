"""Starts the processes of a run, plays its plan, and gathers what they wrote.

It ends what it started, by process id, whatever happens.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from standins.memory import proportional_bytes
from standins.process import ROOT
from standins.scale.control import Child, Command
from standins.scale.plan import (
    REGIONS,
    CutRegion,
    Fault,
    KillDistributor,
    NodesDown,
    Plan,
    PlannedChange,
    SlowReaders,
    StopDistributor,
    distributor_name,
    region_of_distributor,
)
from standins.scale.records import (
    Applied,
    Held,
    read_applied,
    read_committed,
    read_held,
    read_published,
)
from standins.scale.report import Cost, Cut, Gathered, Interval
from standins.scale.sizes import FLEET, arguments

START_S = 180.0  # a hang, not a measure
SETTLE_S = 30.0  # for all nodes to stand where the publisher does, after the last change
POLL_S = 0.1
STILL_S = 1.0  # of quiet at the end
LINE_LIMIT = 1 << 20

Log = Callable[[str], None]
Step = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class DistributorProcess:
    """One distributor over its starts, at one address."""

    number: int
    upstream: str
    folder: Path
    address: str = "127.0.0.1:0"
    starts: int = 0
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        return distributor_name(self.number)

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}-{self.starts}.log"

    def counters(self) -> Iterator[dict[str, Any]]:
        """The last counters of each start."""
        for path in self.folder.glob(f"{self.name}-*.json"):
            yield json.loads(path.read_text())

    async def start(self) -> None:
        """Until it listens."""
        self.starts += 1
        words = [self.name, self.address, FLEET, str(self.folder / "fleet.key")]
        words += ["--publisher", self.upstream]
        words += ["--counters", str(self.folder / f"{self.name}-{self.starts}.json")]
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "tansywood.distribution.distributor"),
                *words,
                cwd=ROOT,
                stderr=log,
            )
        line = await self._told("listening at ")
        self.address = line.rsplit(" ", 1)[1]

    async def ready(self) -> None:
        await self._told(": ready")

    async def _told(self, words: str) -> str:
        """RuntimeError with its log where it ends before."""
        while self.process is not None and self.process.returncode is None:
            for line in self.log.read_text(errors="replace").splitlines(keepends=True):
                if words in line and line.endswith("\n"):
                    return line.rstrip()
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{self.name} has ended: {self.log.read_text(errors='replace')}")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters at one moment."""

    publisher: Command
    distributor_messages: int
    distributor_standstill_ms: int
    hollows: list[Command]


class Driver:
    """One run in a folder of its own."""

    def __init__(self, folder: Path, plan: Plan, log: Log) -> None:
        self._folder = folder
        self._plan = plan
        self._log = log
        self._publisher: Child
        self._relays: list[Child] = []
        self._hollows: list[Child] = []
        self._distributors: list[DistributorProcess] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._cuts: list[Cut] = []
        self._began = 0
        self._late_s = 0.0

    async def run(self) -> Gathered:
        load_before = os.getloadavg()[0]
        try:
            async with asyncio.timeout(START_S):
                await self._start()
            before = await self._counters()
            began = time.monotonic()
            await self._play()
            seconds = time.monotonic() - began
            after = await self._counters()
            cost = self._cost(before, after, seconds, load_before)
            problems = await self._settle()
            return await self._gather(cost, problems)
        finally:
            await self._end()

    # ---- starting and ending ---------------------------------------------------------------

    async def _start(self) -> None:
        key = self._folder / "fleet.key"
        key.touch(0o600)
        key.write_text(secrets.token_hex(32) + "\n")
        size = arguments(self._plan.size, self._plan.seed)
        self._publisher = await self._child("publisher", str(self._folder), *size)
        upstream = (await self._publisher.first())["address"]
        self._log("the publisher has its tenants")
        ways = []
        for _region in range(REGIONS):
            relay = await self._child("relay", upstream)
            self._relays.append(relay)
            ways.append((await relay.first())["address"])
        for number in range(self._plan.size.distributors):
            way = ways[region_of_distributor(number)]
            self._distributors.append(DistributorProcess(number, way, self._folder))
        await asyncio.gather(*(d.start() for d in self._distributors))
        await asyncio.gather(*(d.ready() for d in self._distributors))
        self._log("the distributors are ready")
        await self._start_nodes(size)
        self._log("all nodes have their tenants")

    async def _start_nodes(self, size: list[str]) -> None:
        table = self._folder / "distributors.json"
        table.write_text(json.dumps({d.name: d.address for d in self._distributors}))
        for number in range(self._plan.size.processes):
            words = [str(self._folder), str(number), str(table), *size]
            self._hollows.append(await self._child("hollow", *words))
        await asyncio.gather(*(hollow.first() for hollow in self._hollows))
        await self._tell_hollows("start", nodes=list(range(self._plan.size.nodes)))
        while await self._waiting(0):
            await asyncio.sleep(POLL_S)

    async def _child(self, module: str, *words: str) -> Child:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", f"standins.scale.{module}"),
            *words,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
        self._processes.append(process)
        return Child(module, process)

    async def _end(self) -> None:
        """Kill what still runs, stopped or not, and wait for it."""
        running = self._processes + [d.process for d in self._distributors if d.process is not None]
        for process in running:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in running:
            await process.wait()

    # ---- playing ---------------------------------------------------------------------------

    async def _play(self) -> None:
        """All changes and faults at their times; a step that fails ends the run."""
        steps: list[tuple[float, Step]] = []
        for change in self._plan.changes:
            steps.append((change.at, partial(self._change, change)))
        for fault in self._plan.faults:
            steps.append((fault.at, partial(self._begin, fault)))
            steps.append((fault.until, partial(self._undo, fault)))
        steps.sort(key=lambda step: step[0])
        self._began = time.monotonic_ns()
        async with asyncio.TaskGroup() as group:
            for at, step in steps:
                await self._until(at)
                group.create_task(step())
            await self._until(self._plan.size.seconds)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(at - (time.monotonic_ns() - self._began) / 1e9, 0))

    async def _change(self, change: PlannedChange) -> None:
        await self._publisher.ask("change", tenant=change.tenant, kind=change.kind.value)

    async def _begin(self, fault: Fault) -> None:
        self._log(f"begins: {_shown(fault)}")
        if isinstance(fault, KillDistributor):
            victim = self._distributors[fault.distributor].process
            assert victim is not None
            victim.kill()
            await victim.wait()
        elif isinstance(fault, StopDistributor):
            self._signal(fault.distributor, signal.SIGSTOP)
        elif isinstance(fault, NodesDown):
            await self._tell_hollows("stop", nodes=fault.nodes)
        elif isinstance(fault, SlowReaders):
            await self._tell_hollows("stop-reading", nodes=fault.nodes)
        else:
            await self._cut(fault)

    async def _undo(self, fault: Fault) -> None:
        self._log(f"ends: {_shown(fault)}")
        if isinstance(fault, KillDistributor):
            await self._distributors[fault.distributor].start()
        elif isinstance(fault, StopDistributor):
            self._signal(fault.distributor, signal.SIGCONT)
        elif isinstance(fault, NodesDown):
            await self._tell_hollows("start", nodes=fault.nodes)
        elif isinstance(fault, SlowReaders):
            await self._tell_hollows("go-on-reading")
        else:
            await self._heal(fault)

    async def _cut(self, fault: CutRegion) -> None:
        begin = time.monotonic_ns()
        # It counts as lasting until it is healed.
        self._cuts.append(Cut(fault.region, Interval(begin, 1 << 62)))
        await asyncio.gather(
            self._relays[fault.region].ask("cut"),
            self._tell_hollows("cut", region=fault.region),
        )

    async def _heal(self, fault: CutRegion) -> None:
        end = time.monotonic_ns()
        begin = self._cuts.pop().during.begin
        self._cuts.append(Cut(fault.region, Interval(begin, end)))
        await asyncio.gather(self._relays[fault.region].ask("heal"), self._tell_hollows("heal"))

    def _signal(self, distributor: int, number: signal.Signals) -> None:
        process = self._distributors[distributor].process
        assert process is not None
        process.send_signal(number)

    async def _tell_hollows(self, do: str, **more: object) -> list[Command]:
        return await asyncio.gather(*(hollow.ask(do, **more) for hollow in self._hollows))

    # ---- gathering -------------------------------------------------------------------------

    async def _waiting(self, revision: int) -> int:
        told = await self._tell_hollows("state", revision=revision)
        return sum(int(state["waiting"]) for state in told)

    async def _settle(self) -> list[str]:
        """Until all nodes stand where the publisher does; what is wrong then."""
        revision = int((await self._publisher.ask("finish"))["revision"])
        await asyncio.sleep(STILL_S)
        end = time.monotonic() + SETTLE_S
        while (waiting := await self._waiting(revision)) and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        problems = [f"{waiting} nodes are behind {SETTLE_S:.0f} s after the end"] if waiting else []
        for distributor in self._distributors:
            process = distributor.process
            if process is None or process.returncode is not None:
                problems.append(f"{distributor.name} has ended by itself")
        return problems

    async def _counters(self) -> Snapshot:
        told = [row for d in self._distributors for row in d.counters()]
        stopped = {
            distributor_name(fault.distributor)
            for fault in self._plan.faults
            if isinstance(fault, StopDistributor)
        }
        standstills = [r["longest_standstill_ms"] for r in told if r["name"] not in stopped]
        return Snapshot(
            await self._publisher.ask("counters"),
            sum(row["messages_in"] + row["messages_out"] for row in told),
            max(standstills, default=0),
            await self._tell_hollows("counters"),
        )

    def _cost(
        self,
        before: Snapshot,
        after: Snapshot,
        seconds: float,
        load_before: float,
    ) -> Cost:
        def grown(name: str) -> float:
            earlier = sum(row[name] for row in before.hollows)
            return float(sum(row[name] for row in after.hollows) - earlier)

        def published(*names: str) -> float:
            return float(sum(after.publisher[name] - before.publisher[name] for name in names))

        refused = Counter[str]()
        for row in after.hollows:
            refused.update(row["refused"])
        return Cost(
            seconds=seconds,
            nodes=self._plan.size.nodes,
            node_bytes=round(grown("bytes_in") + grown("bytes_out")),
            node_processor_s=grown("processor_s"),
            node_held_bytes=sum(row["held_bytes"] for row in before.hollows),
            publisher_messages=round(published("messages_in", "messages_out")),
            publisher_processor_s=published("processor_s"),
            distributor_messages=after.distributor_messages - before.distributor_messages,
            connections=sum(row["connections"] for row in after.hollows),
            left_stale=sum(row["left_stale"] for row in after.hollows),
            memory_bytes=self._memory(),
            refused=refused,
            standstill_ms={
                "publisher": after.publisher["standstill_ms"],
                "a distributor": after.distributor_standstill_ms,
                "hollow nodes": max(row["standstill_ms"] for row in after.hollows),
            },
            load_before=load_before,
            load_after=os.getloadavg()[0],
        )

    def _memory(self) -> int:
        """Of all processes, what they share counted once."""
        running = self._processes + [d.process for d in self._distributors if d.process is not None]
        total = 0
        for process in running:
            with contextlib.suppress(OSError):
                total += proportional_bytes(process.pid)
        return total

    async def _gather(self, cost: Cost, problems: list[str]) -> Gathered:
        await self._tell_hollows("finish")
        hollows = range(self._plan.size.processes)

        def applied() -> Iterator[Applied]:
            for number in hollows:
                yield from read_applied(self._folder / f"applied-{number}")

        def held() -> Iterator[Held]:
            for number in hollows:
                yield from read_held(self._folder / f"held-{number}")

        return Gathered(
            plan=self._plan,
            began=self._began,
            committed=list(read_committed(self._folder / "committed")),
            applied=applied(),
            held=held(),
            published=read_published(self._folder / "published"),
            cuts=self._cuts,
            cost=cost,
            problems=problems,
        )


def _shown(fault: Fault) -> str:
    if isinstance(fault, NodesDown | SlowReaders):
        return f"{type(fault).__name__} of {len(fault.nodes)}"
    if isinstance(fault, CutRegion):
        return f"CutRegion {fault.region}"
    return f"{type(fault).__name__} {distributor_name(fault.distributor)}"
