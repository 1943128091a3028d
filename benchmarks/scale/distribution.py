"""Configuration distribution: what a node, a distributor and the publisher spend on it.

Hollow nodes on real sockets at four sizes (`standins.scale`), and one whole node before more and
more tenants (`benchmarks.distribution`). A run at the largest size meets all faults of the rig.
"""

from __future__ import annotations

import asyncio
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

from benchmarks import distribution as whole
from benchmarks.scale import model
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Finding, Resource, Role, Series
from benchmarks.scale.model import Source as From
from standins.scale.__main__ import play
from standins.scale.plan import Size, draw
from standins.scale.report import Figures, figures

CARRIED_BY = "as today; the publisher's history is to be replicated next"
SEED = 1
RESTING_S = 20.0  # of changes at a hundred times the expected rate, without faults
FAULTS_S = 60.0
HOLLOW_PROCESSES = 8
QUICK_NODES = 240
QUICK_S = 2.0
QUICK_FAULTS_S = 10.0
SPAN_S = 10.0  # of a whole node at rest, and under changes
QUICK_SPAN_S = 1.0
QUICK_PROCESSES = 2
MB = 1_000_000
MIB = 1 << 20


def sizes(quick: bool) -> tuple[Size, ...]:
    """Fleets of hollow nodes that each serve as many tenants as at the full size."""
    largest = QUICK_NODES if quick else model.NODES
    seconds = QUICK_S if quick else RESTING_S
    processes = QUICK_PROCESSES if quick else HOLLOW_PROCESSES
    made = []
    for part in (8, 4, 2, 1):
        nodes = largest // part
        distributors = max(3, round(model.CONTROL_MACHINES * nodes / model.NODES))
        tenants = model.TENANTS * nodes // model.NODES
        made.append(Size(nodes, distributors, tenants, seconds, processes))
    return tuple(made)


def run(size: Size, faults: bool) -> Figures:
    """One run of the rig."""
    plan = draw(size, SEED)
    if not faults:
        plan = replace(plan, faults=())
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        return figures(asyncio.run(play(Path(folder), plan)))


def of_nodes(
    name: str, what: str, rows: list[tuple[Size, float]], resource: Resource, limited: bool = True
) -> Finding:
    """A cost by the number of nodes, from hollow processes."""
    points = tuple(Point(size.nodes, value) for size, value in rows)
    limit = model.BUDGETS.get(resource) if limited else None
    return judge(Series(name, what, "nodes", resource, From.HOLLOW, points, model.NODES, limit))


def by_nodes(found: list[tuple[Size, Figures]]) -> list[Finding]:
    """What nodes and the publisher spend in fleets of different sizes."""

    def rows(value: str, of: float = 1.0, each_node: bool = True) -> list[tuple[Size, float]]:
        made = []
        for size, figure in found:
            cost = figure.cost
            per = cost.nodes if each_node else 1
            made.append((size, getattr(cost, value) * of / per))
        return made

    def a_second(value: str, of: float = 1.0, each_node: bool = True) -> list[tuple[Size, float]]:
        made = zip(rows(value, of, each_node), found, strict=True)
        return [(size, value / figure.cost.seconds) for (size, value), (_, figure) in made]

    times = [(size, figure.outside.longest * 1000) for size, figure in found]
    return [
        of_nodes("bytes", "a node, both ways", a_second("node_bytes"), Resource.TRAFFIC),
        of_nodes("cpu", "a node", a_second("node_processor_s", 100), Resource.CPU),
        of_nodes("held", "held by a node", rows("node_held_bytes"), Resource.MEMORY),
        of_nodes("longest", "longest time in force, no faults", times, Resource.LATENCY, False),
        of_nodes(
            "publisher_cpu", "the publisher",
            a_second("publisher_processor_s", 100, each_node=False), Resource.CPU, False,
        ),
        of_nodes(
            "publisher_messages", "messages of the publisher",
            a_second("publisher_messages", each_node=False), Resource.MESSAGES, False,
        ),
        of_nodes(
            "distributor_messages", "messages of all distributors",
            a_second("distributor_messages", each_node=False), Resource.MESSAGES, False,
        ),
    ]  # fmt: skip


def of_tenants(
    name: str, what: str, rows: list[tuple[int, float]], resource: Resource, limited: bool = False
) -> Finding:
    """A cost by the tenants that there are, from whole processes."""
    points = tuple(Point(tenants, value) for tenants, value in rows)
    limit = model.BUDGETS.get(resource) if limited else None
    return judge(Series(name, what, "tenants", resource, From.WHOLE, points, model.TENANTS, limit))


def by_tenants(found: list[whole.SizeFigures]) -> list[Finding]:
    """What whole processes hold and take where there are more and more tenants."""

    def rows(value: str, of: float = 1.0) -> list[tuple[int, float]]:
        return [(figure.tenants, getattr(figure, value) * of) for figure in found]

    control = [(f.tenants, (f.memory_mb["supervisor"] + f.memory_mb["agent"]) * MIB) for f in found]
    parts = [
        of_tenants(
            "control", "supervisor and agent of a node (private)", control, Resource.MEMORY, True
        ),
        of_tenants("distributor", "a distributor (private)", rows("distributor_mb", MIB),
                   Resource.MEMORY),
        of_tenants("publisher", "the publisher's administration (private)",
                   rows("publisher_mb", MIB), Resource.MEMORY),
        of_tenants("first", "a tenant's first request at a node, median", rows("first_ms"),
                   Resource.LATENCY),
        of_tenants("later", "its second request, on a new connection too, median",
                   rows("later_ms"), Resource.LATENCY),
    ]  # fmt: skip
    for index, when in enumerate((whole.AT_REST, whole.CHANGING)):
        spans = [(figure.tenants, figure.spans[index]) for figure in found]
        parts += [
            of_tenants(
                f"bytes {when}", f"a whole node, both ways, {when}",
                [(tenants, span.bytes_per_s) for tenants, span in spans], Resource.TRAFFIC, True,
            ),
            of_tenants(
                f"cpu {when}", f"its agent, {when}",
                [(tenants, span.agent_processor * 100) for tenants, span in spans],
                Resource.CPU, True,
            ),
        ]  # fmt: skip
    return parts


def whole_nodes(plans: tuple[Size, ...], quick: bool) -> list[whole.SizeFigures]:
    """A whole node before as many tenants as each size has; in a quick run all at once."""
    seconds = QUICK_SPAN_S if quick else SPAN_S
    with ThreadPoolExecutor(len(plans) if quick else 1) as threads:
        return list(threads.map(lambda size: asyncio.run(whole.size(size.tenants, seconds)), plans))


def measure(quick: bool) -> Role:
    """Hollow nodes at four sizes, a run with all faults, and whole processes at four sizes.

    Call it in the main thread: the rig handles signals.
    """
    plans = sizes(quick)
    largest = replace(plans[-1], seconds=QUICK_FAULTS_S if quick else FAULTS_S)
    resting = [(size, run(size, faults=False)) for size in plans]
    stormy = run(largest, faults=True)
    nodes = whole_nodes(plans, quick)
    found = by_nodes(resting) + by_tenants(nodes)
    return Role(
        "configuration, distributed",
        "how a change comes to be in force everywhere within 4 s, with control machines",
        "at a node the tenants it serves; at a distributor all, encoded; at the publisher the "
        "registry as well",
        "configuration distribution: publisher, distributors, an agent in each node",
        CARRIED_BY,
        tuple(found),
        tuple(effects({finding.series.name: finding for finding in found}, stormy)),
        tuple(with_faults(largest, stormy, nodes[-1])),
    )


def with_faults(size: Size, found: Figures, node: whole.SizeFigures) -> list[Figure]:
    """The run that meets every fault, and the parts of a whole node."""
    source = f"{From.HOLLOW}, {size.nodes} nodes, {size.distributors} distributors, all faults"
    times = [
        ("outside the cut", found.outside),
        ("from the end of a region's cut", found.from_cut),
    ]
    figures_ = []
    for words, time in times:
        figures_ += [
            Figure(f"in force {words}, median", time.quantile(0.5), "s", source),
            Figure(f"in force {words}, 99th percentile", time.quantile(0.99), "s", source),
            Figure(f"in force {words}, longest", time.longest, "s", source),
        ]
    wrong = found.lost + found.out_of_order + found.differing
    figures_ += [
        Figure("changes", found.changes, "", source),
        Figure("lost, out of order or differing", wrong, "", source),
        Figure("memory of all processes of the run", found.cost.memory_bytes / 1e9, "GB", source),
        Figure("load average before it", found.cost.load_before, "", source),
    ]
    where = f"{From.WHOLE}, {node.tenants} tenants, {node.served} served"
    figures_ += [
        Figure(f"{part} of a node (private)", held * MIB / MB, "MB", where)
        for part, held in node.memory_mb.items()
    ]
    return figures_


def effects(found: dict[str, Finding], stormy: Figures) -> list[Effect]:
    """What events do, by the measured costs."""
    node = found["held"].full
    day = model.SECONDS_PER_DAY
    restarts = model.RESTARTS_PER_DAY * node
    each = model.NODES / model.CONTROL_MACHINES
    return [
        Effect(Event.ORDINARY_DAY, "what restarted nodes fetch anew, from each distributor, in the "
               "mean", restarts / model.CONTROL_MACHINES / day / 1e3, "kB a second"),
        Effect(Event.RACK, "its nodes fetch anew, together", node * model.NODES_PER_RACK / 1e6,
               "MB"),
        Effect(Event.ZONE, "its nodes fetch anew, together", node * model.NODES_PER_ZONE / 1e6,
               "MB"),
        Effect(Event.ZONE, "admitted by 15 distributors at 100 a second each within",
               model.NODES_PER_ZONE / model.CONTROL_MACHINES / 100, "s"),
        Effect(Event.REGION, "its nodes serve on; from the end of the cut the longest change took",
               stormy.from_cut.longest, "s"),
        Effect(Event.CONTROL_AWAY, "nodes serve what they hold and tell its age; a tenant that is "
               "not held is told to come again. A distributor that goes leaves to the others, "
               "nodes", each, "nodes"),
    ]  # fmt: skip
