"""Administration: the API and its store, at an instance and on the 15 control machines."""

from __future__ import annotations

from benchmarks.scale import model
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Gap, Resource, Role, Series
from benchmarks.scale.model import Source as From
from benchmarks.scale.whole_node import sweep

MACHINE_MEMORY = 8e9  # bytes of one control machine that its administration may use
CARRIED_BY = (
    "the registry and its store on the control machines, three of which agree on each change; no "
    "administration at a node"
)


def measure(quick: bool) -> Role:
    """What the administration takes with more and more tenants."""
    nodes = sweep(quick)

    def series(name: str, what: str, resource: Resource, values: list[float],
               limit: float | None = None) -> Series:  # fmt: skip
        rows = tuple(Point(n.tenants, v) for n, v in zip(nodes, values, strict=True))
        return Series(
            name, what, "tenants", resource, From.WHOLE, rows, model.TENANTS, limit
        )  # fmt: skip

    memory = series("memory", "administration on a control machine (Pss; 8 GB assumed)",
                    Resource.MEMORY, [n.memory["admin"] for n in nodes],
                    MACHINE_MEMORY)  # fmt: skip
    change = series("change_cpu", "administration, of a change", Resource.CPU_TIME,
                    [n.change_cpu_ms["admin"] for n in nodes])  # fmt: skip
    start = series("start", "start of a whole instance", Resource.SECONDS,
                   [n.start_s for n in nodes])  # fmt: skip
    store = series("store", "store on the disk", Resource.MEMORY,
                   [float(n.store_bytes) for n in nodes])  # fmt: skip
    found = tuple(judge(s) for s in (memory, change, start, store))
    cpu_ms, start_s = found[1].full, found[2].full
    day = model.SECONDS_PER_DAY
    each = model.NODES / model.CONTROL_MACHINES
    own_bytes = nodes[-1].whole_bytes / nodes[-1].tenants * model.TENANTS_PER_NODE
    return Role(
        "administration",
        "the API, its checks and its store; what the 15 control machines carry",
        "tenants, keys, history and trail, in memory and in a store on the disk",
        "an administration at every instance, which agrees with no other",
        CARRIED_BY,
        found,
        (
            Effect(Event.ORDINARY_DAY, "processor time for all changes of a day, at one machine",
                   model.CHANGES_PER_DAY * cpu_ms / 10 / day, "% of a core"),
            Effect(Event.RACK, "control machines are to stand in different racks: one of "
                   f"{model.CONTROL_MACHINES} goes", 1, "machine"),
            Effect(Event.ZONE, f"of {model.CONTROL_MACHINES} machines over {model.ZONES} zones, at "
                   "most", -(-model.CONTROL_MACHINES // model.ZONES), "machines"),
            Effect(Event.REGION, f"of {model.CONTROL_MACHINES} machines over {model.REGIONS} "
                   "regions, at most", -(-model.CONTROL_MACHINES // model.REGIONS), "machines"),
            Effect(Event.CONTROL_AWAY, "changes are refused, callers are served; an administration "
                   "that starts with all tenants is back after", start_s, "s"),
        ),
        (
            Figure("changes a second, all day", model.CHANGES_PER_DAY / day, "", "calculated"),
            Figure("nodes for each of the control machines, if they share them out", each, "",
                   "calculated"),
            Figure("bytes of one change to all of these nodes", each * nodes[-1].change_bytes / 1e3,
                   "KB", "calculated from the measured frame"),
            Figure("bytes of its own tenants to one node that starts", own_bytes / 1e3, "KB",
                   "calculated from the measured frame of all"),
            Figure("the same to every node that restarts, by each control machine, in the mean",
                   model.RESTARTS_PER_DAY * own_bytes / model.CONTROL_MACHINES / day,
                   "bytes a second", "calculated"),
        ),
        gaps=(
            Gap(
                "one administration is one process on one disk: a second one does not know what "
                "the first was told",
                2,
                CARRIED_BY,
            ),
        ),
    )  # fmt: skip
