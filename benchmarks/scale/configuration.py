"""Configuration where each instance has its own administration: what a change costs there.

Between such instances nothing is distributed. What control machines change in that is measured by
`benchmarks.scale.distribution`.
"""

from __future__ import annotations

from benchmarks.scale import model
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Finding, Gap, Resource, Role, Series
from benchmarks.scale.model import Source as From
from benchmarks.scale.processes import total
from benchmarks.scale.whole_node import NodeAt, sweep

CARRIED_BY = "configuration distribution, which is built: its own role, below"
CALLERS = 64  # connections over which one tool would call the instances at a time


def by_tenants(
    name: str, what: str, points: list[Point], resource: Resource, limit: float | None
) -> Finding:
    """One cost of a change by the tenants that the instance knows."""
    return judge(
        Series(
            name, what, "tenants", resource, From.WHOLE, tuple(points), model.TENANTS, limit
        )
    )  # fmt: skip


def median(values: list[float]) -> float:
    """The middle one."""
    return sorted(values)[len(values) // 2]


def findings(nodes: tuple[NodeAt, ...]) -> list[Finding]:
    """Time, processor time and bytes of a change, and of being told everything."""
    found = [
        by_tenants(
            "change", "a change in one instance, from the call to all its processes, median",
            [Point(n.tenants, median(n.change_ms)) for n in nodes], Resource.LATENCY,
            1000 * model.IN_FORCE_SECONDS,
        ),
        by_tenants(
            "change_cpu", "of a change, all processes",
            [Point(n.tenants, total(n.change_cpu_ms)) for n in nodes], Resource.CPU_TIME, None,
        ),
    ]  # fmt: skip
    for part in ("admin", "fleet", "door", "worker-0"):
        rows = [Point(n.tenants, n.change_cpu_ms[part]) for n in nodes]
        found.append(
            by_tenants(f"change_cpu_{part}", f"of it {part}", rows, Resource.CPU_TIME, None)
        )
    found.append(
        by_tenants(
            "whole", "all tenants to one process at its start",
            [Point(n.tenants, n.whole_bytes) for n in nodes], Resource.BYTES, None,
        )
    )  # fmt: skip
    return found


def measure(quick: bool) -> Role:
    """A change at whole instances with more and more tenants."""
    nodes = sweep(quick)
    found = findings(nodes)
    named = {f.series.name: f for f in found}
    one_ms = median(nodes[-1].change_ms)
    everywhere = model.NODES * one_ms / 1000
    figures = (
        Figure("one change at one instance, from the call to its answer, median", one_ms, "ms",
               From.WHOLE),
        Figure("a tool that calls all instances one after the other", everywhere, "s",
               "calculated: nodes x the above"),
        Figure(f"the same over {CALLERS} connections at a time, if instances are as quick then",
               everywhere / CALLERS, "s", "calculated"),
        Figure("calls a day for all changes at all instances",
               model.NODES * model.CHANGES_PER_DAY, "", "calculated"),
        Figure("frame of one change", nodes[-1].change_bytes, "bytes", From.WHOLE),
    )  # fmt: skip
    none = Gap(
        "without control machines no distribution between instances: two of them agree on a "
        "change only as far as whoever calls both does; nothing brings an instance that was away "
        "to what it missed",
        2,
        CARRIED_BY,
    )
    return Role(
        "configuration",
        "how a change comes to be in force everywhere within 4 s",
        "the last change that each process of the instance has applied",
        "without control machines nothing between instances; within one the administration's feed "
        "to its processes",
        CARRIED_BY,
        tuple(found),
        tuple(effects(named["change_cpu"].full, named["whole"].full, nodes[-1].change_bytes)),
        figures,
        gaps=(none,),
    )


def effects(change_cpu_ms: float, whole: float, change_bytes: float) -> list[Effect]:
    """What events do, with every instance told of everything."""
    day = model.SECONDS_PER_DAY
    restarted = model.RESTARTS_PER_DAY * whole
    return [
        Effect(Event.ORDINARY_DAY, "changes at one instance that knows all tenants, in the mean",
               model.CHANGES_PER_DAY * change_cpu_ms / 10 / day, "% of a core"),
        Effect(Event.ORDINARY_DAY, "their frames at one instance, in the mean",
               model.CHANGES_PER_DAY * change_bytes / day, "bytes a second"),
        Effect(Event.ORDINARY_DAY, "all tenants to every restarted node, by each of "
               f"{model.CONTROL_MACHINES} control machines, in the mean",
               restarted / model.CONTROL_MACHINES / day / 1e6, "MB a second"),
        Effect(Event.RACK, "the same for its nodes, together",
               whole * model.NODES_PER_RACK / 1e9, "GB"),
        Effect(Event.ZONE, "the same for its nodes, together",
               whole * model.NODES_PER_ZONE / 1e9, "GB"),
        Effect(Event.REGION, "changes made meanwhile, at one in "
               f"{model.SECONDS_PER_CHANGE:.0f} s, for ten minutes: none is found later",
               600 / model.SECONDS_PER_CHANGE, "changes"),
        Effect(Event.CONTROL_AWAY, "instances go on as told last; there is no common state that "
               "could be away"),
    ]  # fmt: skip
