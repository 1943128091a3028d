"""What a run takes apart from time: the counters of all processes, before and after."""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.scale.control import Command
from standins.scale.plan import StopDistributor, distributor_name
from standins.scale.report import Cost
from standins.scale.rig import Rig


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters at one moment."""

    idle: Command
    publisher: Command
    publisher_messages: int
    distributor_messages: int
    distributor_standstill_ms: int
    hollows: list[Command]


async def snapshot(rig: Rig) -> Snapshot:
    told: list[dict[str, Any]] = [row for d in rig.distributors for row in d.counters()]
    stopped = {
        distributor_name(fault.distributor)
        for fault in rig.plan.faults
        if isinstance(fault, StopDistributor)
    }
    standstills = [row["longest_standstill_ms"] for row in told if row["name"] not in stopped]
    messages = (await rig.caller.status())["distribution"]["messages"]
    return Snapshot(
        await rig.idle.ask("counters"),
        await rig.publisher.ask("counters"),
        messages["received"] + messages["sent"],
        sum(row["messages_in"] + row["messages_out"] for row in told),
        max(standstills, default=0),
        await rig.tell_hollows("counters"),
    )


def cost(rig: Rig, before: Snapshot, after: Snapshot, seconds: float, load_before: float) -> Cost:
    """Between two snapshots that are so many seconds apart."""

    def grown(name: str) -> float:
        earlier = sum(row[name] for row in before.hollows)
        return float(sum(row[name] for row in after.hollows) - earlier)

    refused = Counter[str]()
    for row in after.hollows:
        refused.update(row["refused"])
    return Cost(
        seconds=seconds,
        nodes=rig.plan.size.nodes,
        node_bytes=round(grown("bytes_in") + grown("bytes_out")),
        node_processor_s=grown("processor_s"),
        node_held_bytes=sum(row["held_bytes"] for row in before.hollows),
        publisher_messages=after.publisher_messages - before.publisher_messages,
        publisher_processor_s=after.publisher["processor_s"] - before.publisher["processor_s"],
        distributor_messages=after.distributor_messages - before.distributor_messages,
        connections=sum(row["connections"] for row in after.hollows),
        left_stale=sum(row["left_stale"] for row in after.hollows),
        memory_bytes=rig.processes.memory_bytes(),
        refused=refused,
        standstill_ms={
            "publisher": after.publisher["standstill_ms"],
            "a distributor": after.distributor_standstill_ms,
            "an idle process": after.idle["standstill_ms"],
            "hollow nodes": max(row["standstill_ms"] for row in after.hollows),
        },
        load_before=load_before,
        load_after=os.getloadavg()[0],
    )
