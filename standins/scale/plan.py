"""What happens in a run, drawn from a seed: the same in each process of the rig. Pure.

Regions, zones and distributors are laid out in turn; each tenant is on a few nodes at random, also
one that is created within the run. Faults are placed by parts of the run's length, so a short run
meets the same ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from standins.scale.changes import TENANTS_LEAST, ChangeKind, PlannedChange, draw_changes
from standins.scale.places import (
    PUBLISHER_REGION,
    REGION_DELAY_MS,
    REGIONS,
    ZONE_DELAY_MS,
    ZONES,
    Delays,
    region_of_distributor,
    region_of_zone,
)

COPIES = 3  # nodes that hold a tenant
CHANGES_PER_S = 2_700 * 100 / 86_400  # a hundred times the expected 2,700 a day


@dataclass(frozen=True, slots=True)
class Size:
    """How large a run is."""

    nodes: int
    distributors: int
    tenants: int
    seconds: float
    processes: int  # of hollow nodes
    changes_per_s: float = CHANGES_PER_S
    region_delay_ms: float = REGION_DELAY_MS  # one way between two regions
    zone_delay_ms: float = ZONE_DELAY_MS  # one way between two zones of a region

    @property
    def delays(self) -> Delays:
        return Delays(self.region_delay_ms / 1e3, self.zone_delay_ms / 1e3)


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One node: where it stands, and the tenants it serves."""

    number: int
    zone: int
    region: int
    tenants: tuple[int, ...]

    @property
    def name(self) -> str:
        return f"node-{self.number:05d}"


@dataclass(frozen=True, slots=True)
class KillDistributor:
    """SIGKILL, and another process at the same address later."""

    at: float
    until: float
    distributor: int


@dataclass(frozen=True, slots=True)
class StopDistributor:
    """SIGSTOP, and SIGCONT later."""

    at: float
    until: float
    distributor: int


@dataclass(frozen=True, slots=True)
class NodesDown:
    """Nodes end and begin anew, with nothing held."""

    at: float
    until: float
    nodes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SlowReaders:
    """Nodes read nothing from the connections that they have now."""

    at: float
    until: float
    nodes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CutRegion:
    """Nothing passes the border of a region, in either direction, and nothing is reset."""

    at: float
    until: float
    region: int


Fault = KillDistributor | StopDistributor | NodesDown | SlowReaders | CutRegion


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole run."""

    size: Size
    seed: int
    nodes: tuple[NodePlan, ...]
    changes: tuple[PlannedChange, ...]
    faults: tuple[Fault, ...]

    def nodes_of_process(self, process: int) -> list[NodePlan]:
        return list(self.nodes[process :: self.size.processes])


def distributor_name(number: int) -> str:
    return f"distributor-{number:02d}"


def uid_of(tenant: int) -> str:
    """The name of a tenant, and the uid of one that is there from the start."""
    return f"t{tenant:07d}"


def tenant_of(uid: str) -> int:
    """Which tenant has this name."""
    return int(uid[1:])


def host_of(tenant: int) -> str:
    return f"{uid_of(tenant)}.example.org"


def draw(size: Size, seed: int) -> Plan:
    """The run of a seed. ValueError where it is too small for its faults and changes."""
    if size.distributors < 3 or size.nodes < ZONES or size.tenants < TENANTS_LEAST:
        raise ValueError(f"at least 3 distributors, {ZONES} nodes and {TENANTS_LEAST} tenants")
    random = Random(f"scale {seed}")
    count = round(size.seconds * size.changes_per_s)
    changes = draw_changes(size.tenants, size.seconds, count, random)
    created = sum(change.kind is ChangeKind.CREATE for change in changes)
    nodes = _nodes(size, size.tenants + created, random)
    return Plan(size, seed, nodes, changes, _faults(size, nodes, random))


def _nodes(size: Size, tenants: int, random: Random) -> tuple[NodePlan, ...]:
    held: list[list[int]] = [[] for _ in range(size.nodes)]
    for tenant in range(tenants):
        for node in random.sample(range(size.nodes), COPIES):
            held[node].append(tenant)
    return tuple(
        NodePlan(number, number % ZONES, region_of_zone(number % ZONES), tuple(tenants))
        for number, tenants in enumerate(held)
    )


def _faults(size: Size, nodes: tuple[NodePlan, ...], random: Random) -> tuple[Fault, ...]:
    """All kinds, one after another but for those that strike while a region is cut."""
    unit = size.seconds / 60
    cut = random.choice([r for r in range(1, REGIONS) if r != PUBLISHER_REGION])
    victims = [n for n in range(size.distributors) if region_of_distributor(n) != cut]
    random.shuffle(victims)
    numbers = list(range(size.nodes))
    restarted = random.sample(numbers, max(size.nodes // 10, 1))
    zone = random.randrange(ZONES)
    in_zone = tuple(node.number for node in nodes if node.zone == zone)
    slow = tuple(random.sample(numbers, max(size.nodes // 100, 1)))
    faults: list[Fault] = [
        KillDistributor(3 * unit, 8 * unit, victims[0]),
        StopDistributor(9 * unit, 15 * unit, victims[1]),
        *_restarts(restarted, 16 * unit, 3 * unit),
        NodesDown(20 * unit, 24 * unit, in_zone),
        CutRegion(30 * unit, 50 * unit, cut),
        SlowReaders(52 * unit, 55 * unit, slow),
    ]
    if len(victims) > 5:
        faults += [
            SlowReaders(10 * unit, 13 * unit, tuple(random.sample(numbers, len(slow)))),
            StopDistributor(24.1 * unit, 28 * unit, victims[2]),  # as the zone comes back
            KillDistributor(36 * unit, 42 * unit, victims[3]),
            StopDistributor(43 * unit, 48 * unit, victims[4]),
            KillDistributor(54 * unit, 58 * unit, victims[0]),
        ]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _restarts(nodes: list[int], at: float, spread: float) -> list[NodesDown]:
    """In four groups, each down for a short while."""
    groups = 4
    return [
        NodesDown(at + spread * g / groups, at + spread * (g + 1) / groups, tuple(nodes[g::groups]))
        for g in range(groups)
        if nodes[g::groups]
    ]
