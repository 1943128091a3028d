"""Plays a plan: starts the processes, makes changes and faults at their times, gathers what was
written. It ends what it started, whatever happens."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from standins.scale.calls import seconds
from standins.scale.costs import cost, snapshot
from standins.scale.faults import Faults
from standins.scale.plan import Plan
from standins.scale.processes import POLL_S
from standins.scale.records import Applied, Held, read_applied, read_held
from standins.scale.report import Calls, Cost, Gathered
from standins.scale.rig import Log, Rig
from standins.scale.trail import read_durable

START_S = 180.0  # a hang, not a measure
SETTLE_S = 30.0  # for all nodes to stand where the publisher does, after the last change
STILL_S = 1.0  # of quiet at the end

Step = Callable[[], Coroutine[Any, Any, None]]


class Driver:
    """One run in a folder of its own."""

    def __init__(self, folder: Path, plan: Plan, log: Log) -> None:
        self._folder = folder
        self._plan = plan
        self._rig = Rig(folder, plan, log)
        self._faults = Faults(self._rig, log)
        self._began = 0

    async def run(self) -> Gathered:
        load_before = os.getloadavg()[0]
        try:
            async with asyncio.timeout(START_S):
                await self._rig.start()
            before = await snapshot(self._rig)
            began = time.monotonic()
            await self._play()
            played_s = time.monotonic() - began
            after = await snapshot(self._rig)
            spent = cost(self._rig, before, after, played_s, load_before)
            problems = await self._settle()
            return await self._gather(spent, problems)
        finally:
            await self._rig.end()

    async def _play(self) -> None:
        """All changes and faults at their times; a step that fails ends the run."""
        steps: list[tuple[float, Step]] = []
        for change in self._plan.changes:
            steps.append((change.at, partial(self._rig.caller.make, change)))
        for fault in self._plan.faults:
            steps.append((fault.at, partial(self._faults.begin, fault)))
            steps.append((fault.until, partial(self._faults.undo, fault)))
        steps.sort(key=lambda step: step[0])
        self._began = time.monotonic_ns()
        async with asyncio.TaskGroup() as group:
            for at, step in steps:
                await self._until(at)
                group.create_task(step())
            await self._until(self._plan.size.seconds)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(at - (time.monotonic_ns() - self._began) / 1e9, 0))

    async def _settle(self) -> list[str]:
        """Until all nodes stand where the publisher does; what is wrong then."""
        revision = int((await self._rig.caller.status())["distribution"]["revision"])
        await asyncio.sleep(STILL_S)
        end = time.monotonic() + SETTLE_S
        waiting = await self._until_all(revision, 0, end)
        if not waiting:  # what is nobody's has to be asked for once more
            waiting = await self._until_all(revision, time.monotonic_ns(), end)
        counts = ", ".join(f"{count} {why}" for why, count in sorted(waiting.items()))
        problems = [f"nodes {SETTLE_S:.0f} s after the end: {counts}"] if waiting else []
        for distributor in self._rig.distributors:
            if not distributor.running:
                problems.append(f"{distributor.name} has ended by itself")
        return problems

    async def _until_all(self, revision: int, since: int, end: float) -> Counter[str]:
        """Wait for all nodes to be where the publisher was; returns how many are not, and why."""
        while (waiting := await self._rig.waiting(revision, since)) and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        return waiting

    async def _gather(self, spent: Cost, problems: list[str]) -> Gathered:
        await self._rig.tell_hollows("finish")
        await self._rig.end_publisher()
        calls = self._rig.caller.calls
        durable = read_durable(self._folder / "state", calls)
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
            committed=durable.committed,
            applied=applied(),
            held=held(),
            published=durable.published,
            cuts=self._faults.cuts,
            cost=spent,
            calls=Calls(seconds(calls)),
            problems=[*problems, *durable.problems],
        )
