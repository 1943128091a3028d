"""Figures of a run and the verdict over them. Pure.

A change is in force once all nodes that serve its tenant have it, or a later state of that tenant.
It counts from the beginning of the call of the API; for a node that was down then, from its return;
for a node of the region that was cut off then, from the cut's end, which makes a figure of its own.
What reaches such a node within the cut all the same counts up to the cut's beginning.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from standins.scale.changes import ChangeKind
from standins.scale.history import History, Interval
from standins.scale.plan import Plan
from standins.scale.records import Applied, Committed, Held, Published

LONGEST_S = 4.0  # that a change may take
SLOWEST_SHOWN = 5
NS = 1e9


@dataclass(frozen=True, slots=True)
class Cut:
    """When nothing passed the border of a region."""

    region: int
    during: Interval


@dataclass(frozen=True, slots=True)
class Cost:
    """What the run took, apart from time: of hollow nodes, of the publisher, of distributors."""

    seconds: float
    nodes: int
    node_bytes: int
    node_processor_s: float
    node_held_bytes: int
    publisher_messages: int
    publisher_processor_s: float
    distributor_messages: int
    connections: int  # of nodes, over time
    left_stale: int
    memory_bytes: int  # of all processes
    refused: Mapping[str, int]
    standstill_ms: Mapping[str, int]  # the longest of each kind of process
    load_before: float
    load_after: float


@dataclass(frozen=True, slots=True)
class Calls:
    """How long each call of the API took to be answered, in seconds: it waits for half a second
    for the change to be in force."""

    seconds: Sequence[float] = ()

    def text(self) -> str:
        return (
            f"median {quantile(self.seconds, 0.5):.3f} s, "
            f"longest {max(self.seconds, default=0.0):.3f} s"
        )


@dataclass(frozen=True, slots=True)
class Gathered:
    """All that a run left behind."""

    plan: Plan
    began: int
    committed: Sequence[Committed]
    applied: Iterable[Applied]
    held: Iterable[Held]
    published: Iterable[Published]
    cuts: Sequence[Cut]
    cost: Cost
    calls: Calls = field(default_factory=Calls)
    problems: Sequence[str] = ()  # such as a process that ended by itself


def quantile(values: Sequence[float], part: float) -> float:
    """The value below which this part of all lies; 0 where there is none."""
    if not values:
        return 0.0
    return sorted(values)[min(int(part * len(values)), len(values) - 1)]


@dataclass(frozen=True, slots=True)
class Arrival:
    """The last node to have a change: which one, and after how many seconds."""

    seconds: float
    node: int
    change: Committed


@dataclass(frozen=True, slots=True)
class Loss:
    """A node that never had a change."""

    node: int
    change: Committed


@dataclass(slots=True)
class Times:
    """Arrivals of all changes, one for each change."""

    arrivals: list[Arrival] = field(default_factory=list)

    def quantile(self, part: float) -> float:
        return quantile([arrival.seconds for arrival in self.arrivals], part)

    @property
    def longest(self) -> float:
        return max((arrival.seconds for arrival in self.arrivals), default=0.0)

    def slowest(self) -> list[Arrival]:
        return sorted(self.arrivals, key=lambda a: -a.seconds)[:SLOWEST_SHOWN]

    def text(self) -> str:
        return (
            f"median {self.quantile(0.5):.3f} s, p99 {self.quantile(0.99):.3f} s, "
            f"longest {self.longest:.3f} s of {len(self.arrivals)}"
        )


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run has shown."""

    changes: int
    outside: Times
    from_cut: Times
    lost: int
    out_of_order: int
    differing: int
    unasked: int  # resources that are held and were not asked for
    cost: Cost
    problems: Sequence[str]
    kinds: Mapping[ChangeKind, int]  # changes of each
    calls: Calls
    losses: Sequence[Loss]  # some of what was lost

    @property
    def kept(self) -> bool:
        """Whether nothing was lost, out of order, different or unasked for, whatever time it
        took."""
        return not (
            self.lost or self.out_of_order or self.differing or self.unasked or self.problems
        )

    @property
    def in_time(self) -> bool:
        return max(self.outside.longest, self.from_cut.longest) <= LONGEST_S


def figures(run: Gathered) -> Figures:
    """All figures of a run."""
    history = History(run.applied, run.committed)
    changed = {change.tenant for change in run.committed}
    holders = holders_of(run.plan, changed)
    outside, from_cut = Times(), Times()
    lost: list[Loss] = []
    for change in run.committed:
        late_outside: list[Arrival] = []
        late_from_cut: list[Arrival] = []
        for node in holders[change.tenant]:
            at = history.reached(node, change)
            if at is None:
                lost.append(Loss(node, change))
                continue
            since = history.returned(node, change.at, at)
            cut = _cut_between(run, node, since, at)
            if cut is None:
                late_outside.append(Arrival((at - since) / NS, node, change))
            elif at < cut.end:  # it came all the same, by a source on this side
                late_outside.append(Arrival(max(cut.begin - since, 0) / NS, node, change))
            else:
                late_from_cut.append(Arrival((at - cut.end) / NS, node, change))
        for late, times in ((late_outside, outside), (late_from_cut, from_cut)):
            if late:
                times.arrivals.append(max(late, key=lambda arrival: arrival.seconds))
    compared = compare(run.plan, run.held, run.published)
    return Figures(
        len(run.committed),
        outside,
        from_cut,
        len(lost) + compared.missing,
        history.out_of_order,
        compared.differing,
        compared.unasked,
        run.cost,
        run.problems,
        Counter(change.kind for change in run.committed),
        run.calls,
        lost[:SLOWEST_SHOWN],
    )


def holders_of(plan: Plan, tenants: set[int]) -> dict[int, list[int]]:
    """Which nodes serve each of these tenants."""
    holders: dict[int, list[int]] = {tenant: [] for tenant in tenants}
    for node in plan.nodes:
        for tenant in node.tenants:
            if tenant in tenants:
                holders[tenant].append(node.number)
    return holders


def _cut_between(run: Gathered, node: int, since: int, at: int) -> Interval | None:
    """The cut that a change met on its way to a node."""
    for cut in run.cuts:
        during = cut.during
        if run.plan.nodes[node].region == cut.region and since < during.end and during.begin < at:
            return during
    return None


@dataclass(frozen=True, slots=True)
class Comparison:
    """What nodes hold in the end, against what the publisher has."""

    missing: int
    differing: int
    unasked: int


def compare(plan: Plan, held: Iterable[Held], published: Iterable[Published]) -> Comparison:
    """Every resource of every node."""
    truth = {row.tenant: row for row in published}
    wanted = {node.number: set(node.tenants) for node in plan.nodes}
    differing = unasked = 0
    for row in held:
        if row.tenant not in wanted[row.node]:
            unasked += 1
            continue
        wanted[row.node].discard(row.tenant)
        ours = truth.get(row.tenant)
        differing += ours is None or ours.digest != row.digest
    missing = sum(tenant in truth for tenants in wanted.values() for tenant in tenants)
    return Comparison(missing, differing, unasked)


def details(run: Gathered, found: Figures) -> str:
    """The slowest changes and what went wrong, for people."""
    lines = []
    for name, times in (("outside the cut", found.outside), ("from its end", found.from_cut)):
        for arrival in times.slowest():
            node = run.plan.nodes[arrival.node]
            called = (arrival.change.at - run.began) / NS
            lines.append(
                f"{name}: {arrival.seconds:.3f} s, {arrival.change.kind} of tenant "
                f"{arrival.change.tenant} called for at {called:.2f} s, "
                f"last at {node.name} of region {node.region}"
            )
    for loss in found.losses:
        change = loss.change
        called = (change.at - run.began) / NS
        lines.append(
            f"LOST: {change.kind} of tenant {change.tenant} at revision {change.revision}, "
            f"called for at {called:.2f} s, at {run.plan.nodes[loss.node].name}"
        )
    lines += [f"PROBLEM: {text}" for text in found.problems]
    return "\n".join(lines)


def last_line(found: Figures) -> str:
    """All figures in one line."""
    cost = found.cost
    nodes = max(cost.nodes, 1)
    seconds = max(cost.seconds, 0.001)
    refused = ", ".join(f"{why} {count}" for why, count in sorted(cost.refused.items())) or "none"
    kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(found.kinds.items()))
    standstill = ", ".join(f"{kind} {ms} ms" for kind, ms in cost.standstill_ms.items())
    parts = [
        f"changes {found.changes} ({kinds})",
        f"in force outside the cut: {found.outside.text()}",
        f"from its end: {found.from_cut.text()}",
        f"the API's answers: {found.calls.text()}",
        f"a node: {cost.node_bytes / nodes / seconds:.0f} bytes/s both ways, "
        f"{cost.node_held_bytes / nodes / 1024:.1f} KiB held, "
        f"{cost.node_processor_s / nodes / seconds * 1e3:.2f} ms of processor a second",
        f"messages a second: publisher {cost.publisher_messages / seconds:.0f}, "
        f"distributors {cost.distributor_messages / seconds:.0f}",
        f"publisher {cost.publisher_processor_s / seconds:.2f} processors",
        f"connections of nodes {cost.connections}, left as stale {cost.left_stale}, "
        f"refused at nodes: {refused}",
        f"longest standstill: {standstill}",
        f"memory in all {cost.memory_bytes / (1 << 30):.1f} GiB",
        f"load average {cost.load_before:.1f} before, {cost.load_after:.1f} after",
        f"held and not asked for {found.unasked}",
        f"lost {found.lost}, out of order {found.out_of_order}, differing {found.differing}",
    ]
    return "; ".join(parts)
