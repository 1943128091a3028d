"""Begins and ends the faults of a plan."""

from __future__ import annotations

import asyncio
import time

from standins.scale.history import Interval
from standins.scale.plan import (
    CutRegion,
    Fault,
    KillDistributor,
    NodesDown,
    SlowReaders,
    StopDistributor,
    distributor_name,
)
from standins.scale.report import Cut
from standins.scale.rig import Log, Rig


class Faults:
    """What fails in a run, and when its regions were cut off."""

    def __init__(self, rig: Rig, log: Log) -> None:
        self._rig = rig
        self._log = log
        self.cuts: list[Cut] = []

    async def begin(self, fault: Fault) -> None:
        self._log(f"begins: {shown(fault)}")
        if isinstance(fault, KillDistributor):
            await self._rig.distributors[fault.distributor].kill()
        elif isinstance(fault, StopDistributor):
            self._rig.distributors[fault.distributor].stop()
        elif isinstance(fault, NodesDown):
            await self._rig.tell_hollows("stop", nodes=fault.nodes)
        elif isinstance(fault, SlowReaders):
            await self._rig.tell_hollows("stop-reading", nodes=fault.nodes)
        else:
            await self._cut(fault)

    async def undo(self, fault: Fault) -> None:
        self._log(f"ends: {shown(fault)}")
        if isinstance(fault, KillDistributor):
            await self._rig.distributors[fault.distributor].start()
        elif isinstance(fault, StopDistributor):
            self._rig.distributors[fault.distributor].go_on()
        elif isinstance(fault, NodesDown):
            await self._rig.tell_hollows("start", nodes=fault.nodes)
        elif isinstance(fault, SlowReaders):
            await self._rig.tell_hollows("go-on-reading")
        else:
            await self._heal(fault)

    async def _cut(self, fault: CutRegion) -> None:
        begin = time.monotonic_ns()
        # It counts as lasting until it is healed.
        self.cuts.append(Cut(fault.region, Interval(begin, 1 << 62)))
        await asyncio.gather(
            self._rig.relays[fault.region].ask("cut"),
            self._rig.tell_hollows("cut", region=fault.region),
        )

    async def _heal(self, fault: CutRegion) -> None:
        end = time.monotonic_ns()
        begin = self.cuts.pop().during.begin
        self.cuts.append(Cut(fault.region, Interval(begin, end)))
        relay = self._rig.relays[fault.region]
        await asyncio.gather(relay.ask("heal"), self._rig.tell_hollows("heal"))


def shown(fault: Fault) -> str:
    """A fault in a few words."""
    if isinstance(fault, NodesDown | SlowReaders):
        return f"{type(fault).__name__} of {len(fault.nodes)}"
    if isinstance(fault, CutRegion):
        return f"CutRegion {fault.region}"
    return f"{type(fault).__name__} {distributor_name(fault.distributor)}"
