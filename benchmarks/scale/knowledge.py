"""What a node has to know: tenants, routes, backends, keys and limits, in all of its processes."""

from __future__ import annotations

from benchmarks.scale import model
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Finding, Gap, Resource, Role, Series
from benchmarks.scale.model import Source as From
from benchmarks.scale.processes import total
from benchmarks.scale.whole_node import NodeAt, by_kind, sweep
from tansywood.service.wire import MAX_FRAME
from tansywood.tenancy.registry import MAX_TENANTS

KINDS = {
    "classes": ("routes", model.ROUTES, (1, 4, 8, 16)),
    "servers": ("backends", model.BACKENDS, (1, 8, 16, 32)),
    "keys": ("keys", model.TENANTS * model.KEYS_PER_TENANT, (1, 4, 8, 16)),
}
CONTROL = ("supervisor", "admin", "fleet")
CARRIED_BY = (
    "configuration distribution, which is built: a node holds the tenants that it serves, and asks "
    "for another when its first caller comes"
)


def whole(
    name: str, what: str, points: list[Point], resource: Resource, limited: bool = True
) -> Finding:
    """A cost by the tenants that an instance knows, in whole processes."""
    return judge(
        Series(
            name, what, "tenants", resource, From.WHOLE, tuple(points), model.TENANTS,
            model.BUDGETS[resource] if limited else None,
        )
    )  # fmt: skip


def by_tenants(nodes: tuple[NodeAt, ...]) -> list[Finding]:
    """Memory and processor time at rest by tenants, of the whole control and of each part."""
    data_path = sum(held for part, held in nodes[0].memory.items() if part not in CONTROL)

    def control(by_part: dict[str, float]) -> float:
        return sum(by_part[part] for part in CONTROL)

    rows = [Point(n.tenants, total(n.memory) - data_path) for n in nodes]
    text = "supervisor, administration, fleet, and what door and workers grow by (Pss)"
    found = [whole("memory", text, rows, Resource.MEMORY)]
    for part in ("admin", "fleet", "door", "worker-0"):
        rows = [Point(n.tenants, n.memory[part]) for n in nodes]
        found.append(whole(f"memory_{part}", f"of it {part} (Pss)", rows, Resource.MEMORY, False))
    rows = [Point(n.tenants, control(n.cpu_percent)) for n in nodes]
    text = "supervisor, administration, fleet at rest, no home of limits"
    found.append(whole("cpu", text, rows, Resource.CPU))
    for part in ("admin", "fleet", "door", "worker-0"):
        rows = [Point(n.tenants, n.cpu_percent[part]) for n in nodes]
        found.append(whole(f"cpu_{part}", f"{part} at rest", rows, Resource.CPU, False))
    rows = [Point(n.tenants, control(n.home_cpu_percent)) for n in nodes]
    text = "the same of an instance that is a home of limits"
    found.append(whole("cpu_home", text, rows, Resource.CPU))
    return found


def by_items(quick: bool) -> list[Finding]:
    """Memory of all parts by routes, backends and keys of a fixed number of tenants."""
    tenants = 10 if quick else 100
    found = []
    for kind, (over, expected, counts) in KINDS.items():
        points = tuple(Point(n, held) for n, held in by_kind(tenants, kind, counts))
        series = Series(
            over, f"all processes, {tenants} tenants (Pss)", over, Resource.MEMORY, From.WHOLE,
            points, expected, note="no budget of its own: part of the sum",
        )  # fmt: skip
        found.append(judge(series))
    return found


def together(findings: dict[str, Finding], tenants: int, routes: int, backends: int) -> float:
    """Bytes that so many take in all processes, without what an empty instance takes.

    A measured tenant has a route, a backend and a key; what these take is taken off it once.
    """
    slope = {name: findings[name].fit.second for name in ("memory", "routes", "backends", "keys")}
    bare = slope["memory"] - slope["routes"] - slope["backends"] - slope["keys"]
    keys = tenants * model.KEYS_PER_TENANT
    sums = (tenants, bare), (routes, slope["routes"]), (backends, slope["backends"])
    return sum(n * each for n, each in sums) + keys * slope["keys"]


def measure(quick: bool) -> Role:
    """Whole instances with more and more of each kind."""
    nodes = sweep(quick)
    findings = [*by_tenants(nodes), *by_items(quick)]
    named = {f.series.name: f for f in findings}
    empty = named["memory"].fit.first
    everything = together(named, model.TENANTS, model.ROUTES, model.BACKENDS)
    its_own = together(
        named, model.TENANTS_PER_NODE, model.ROUTES_PER_NODE, model.BACKENDS_PER_NODE
    )
    figures = (
        Figure("control of an instance without tenants, by the fit", empty / 1e6, "MB",
               From.WHOLE),
        Figure("what all tenants, routes, backends and keys add", everything / 1e6, "MB",
               "calculated from the slopes"),
        Figure(f"what its own {model.TENANTS_PER_NODE} tenants with {model.ROUTES_PER_NODE} routes "
               f"and {model.BACKENDS_PER_NODE} backends add", its_own / 1e6, "MB",
               "calculated from the slopes"),
        Figure(f"control at rest where its own {model.TENANTS_PER_NODE} tenants alone are known",
               named["cpu"].fit.at(model.TENANTS_PER_NODE), "% of a core", "by the fit"),
        Figure("tenants at which control at rest takes its whole budget",
               named["cpu"].fit.reaches(model.CPU_PERCENT), "", "by the fit"),
        Figure("tenants that a service takes at most", MAX_TENANTS, "", "the code"),
        Figure("tenants that one frame of the feed has room for",
               MAX_FRAME * nodes[-1].tenants / nodes[-1].whole_bytes, "",
               "the code's bound by measured bytes"),
    )  # fmt: skip
    cap = Gap(
        f"a service takes {MAX_TENANTS:,} tenants at most, and every instance knows all",
        model.NODES * MAX_TENANTS // model.TENANTS,
        CARRIED_BY,
    )
    return Role(
        "knowledge",
        "what a node must know of each tenant, route, backend, key and limit",
        "the document and the keys of every tenant, in administration, door, fleet process and "
        "each worker",
        "every process of every instance is told of all tenants by the feed, whether they are "
        "served there or not",
        CARRIED_BY,
        tuple(findings),
        tuple(effects(nodes)),
        figures,
        gaps=(cap,),
    )


def effects(nodes: tuple[NodeAt, ...]) -> list[Effect]:
    """What events do to what is known."""
    bytes_each = nodes[-1].whole_bytes / nodes[-1].tenants
    restart_all = bytes_each * model.TENANTS * 4  # door, fleet and two workers
    moved = model.TENANTS_PER_NODE / model.NODES_PER_ZONE
    return [
        Effect(Event.ORDINARY_DAY, "a restart reads all tenants from disk and tells each process: "
               "bytes between its processes", restart_all / 1e6, "MB"),
        Effect(Event.RACK, f"the tenants of {model.NODES_PER_RACK} nodes are known at others: "
               "today everywhere, so nothing moves"),
        Effect(Event.ZONE, "with tenants told to their own nodes alone: tenants that each node of "
               "another zone takes over, if every one moves",
               model.TENANTS_PER_NODE * model.NODES_PER_ZONE
               / (model.NODES - model.NODES_PER_ZONE), "tenants"),
        Effect(Event.ZONE, "the same for one node of a zone, spread over it", moved, "tenants"),
        Effect(Event.REGION, "each side goes on with what it knows"),
        Effect(Event.CONTROL_AWAY, "every process goes on with what it was told last; one that "
               "starts waits for its instance's own administration"),
    ]  # fmt: skip
