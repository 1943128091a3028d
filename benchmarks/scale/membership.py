"""Members: who is in the fleet, by probes, gossip and full exchanges of all that is believed."""

from __future__ import annotations

import math
import statistics
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from benchmarks.scale import model, shipped
from benchmarks.scale.fit import Form, Point
from benchmarks.scale.hollow import Each, run_fleet
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Resource, Role, Series, Source
from benchmarks.scale.processes import worker_pool

HOMES = 3
WARM_S, SPAN_S = 10.0, 20.0  # simulated; all know one another from the begin
DEATHS = 5  # one after another
LOST_MOST_S = 90.0
CUT_S = 60.0
TABLE_SIZES = (450, 900, 1_800, 3_600)
SEAL_ROUNDS = 400


@dataclass(frozen=True, slots=True)
class Play:
    """One simulated fleet at rest, then with one dead: what each instance used."""

    members: int
    bytes_a_second: float
    exchanges_bytes_a_second: float
    datagrams_a_second: float
    cpu_percent: float
    told_bytes: float  # by each, of one that died
    lost_by_all_s: float
    false_alarms: int


@dataclass(frozen=True, slots=True)
class Events:
    """What larger events did to one simulated fleet."""

    members: int
    zone_lost_s: float  # one member in eleven dies at once
    zone_bytes_a_second: float
    rest_bytes_a_second: float
    whole_again_s: float  # after a quarter was cut off for a minute


def settled(members: int, seed: int) -> shipped.CountingWorld:
    """A fleet without tenants that has come to rest, its counts at nothing."""
    world = shipped.fleet_world(members, HOMES, (), (), seed)
    world.run(WARM_S)
    world.reset()
    return world


def play(members: int, seed: int) -> Play:
    """A fleet at rest, then one of it dies."""
    world = settled(members, seed)
    began = time.process_time()
    world.run(SPAN_S)
    cpu = time.process_time() - began
    each = 1 / SPAN_S / members
    sent, syncs = sum(world.bytes_sent.values()), world.bytes_by_kind["Sync"]
    datagrams = world.datagrams
    deaths = []
    told_bytes = 0
    for dead in list(world.hosts)[-DEATHS:]:
        world.reset()
        world.subject = dead
        deaths.append(kill(world, [dead]))
        world.run(5.0)
        told_bytes += world.told_bytes
    lost_s = statistics.median(deaths)
    told = told_bytes / DEATHS / (members - DEATHS)
    alarms = sum(s.instance.members.false_alarms for s in world.hosts.values() if s.instance)
    return Play(
        members, sent * each, syncs * each, datagrams * each, 100 * cpu * each, told, lost_s, alarms
    )


def kill(world: shipped.CountingWorld, dead: list[str]) -> float:
    """Seconds until all others have lost these."""
    for name in dead:
        world.kill(name)
    began = world.now
    left = sum(host.instance is not None for host in world.hosts.values())
    while len(shipped.lost_by(world, dead)) < left:
        if world.now - began > LOST_MOST_S * shipped.SECOND:
            return math.inf
        world.run(0.2)
    return (world.now - began) / shipped.SECOND


def events(members: int, seed: int) -> Events:
    """A zone's death, its return, and a region's cut and return."""
    world = settled(members, seed)
    world.run(10.0)
    rest = sum(world.bytes_sent.values()) / 10.0 / members
    names = list(world.hosts)
    zone = names[HOMES : HOMES + max(1, members // model.ZONES)]
    world.reset()
    zone_lost_s = kill(world, zone)
    zone_bytes = sum(world.bytes_sent.values()) / zone_lost_s / (members - len(zone))
    for name in zone:
        world.start(name)
    world.run(15.0)
    world.split(names[-members // model.REGIONS :])
    world.run(CUT_S)
    world.heal()
    began = world.now
    while not shipped.knows_all(world) and world.now - began < LOST_MOST_S * shipped.SECOND:
        world.run(0.5)
    again = (world.now - began) / shipped.SECOND
    return Events(members, zone_lost_s, zone_bytes, rest, again)


def table_bytes(members: int) -> int:
    """Memory of one instance's table of all members, as Python allocates it."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = shipped.instance_that_knows(members)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(made.members.rows) == members
    return size


def opening_us(lives: int) -> float:
    """Processor time to open a datagram where that many lives speak in turn."""
    ours = shipped.seal_of(0)
    others = [shipped.seal_of(n) for n in range(1, lives + 1)]
    for other in others:
        ours.open(other.seal(b"x" * 200))
    sealed = [other.seal(b"x" * 200) for other in others[:SEAL_ROUNDS]]
    began = time.process_time()
    for data in sealed:
        ours.open(data)
    return (time.process_time() - began) * 1e6 / len(sealed)


def series(plays: list[Play], hollow: list[Each], table: tuple[Point, ...]) -> list[Series]:
    """All that was measured by the number of members."""

    def simulated(
        name: str, what: str, resource: Resource, value: str, law: Form | None = None
    ) -> Series:
        rows = tuple(Point(p.members, getattr(p, value)) for p in plays)
        return Series(
            name, what, "members", resource, Source.SIMULATED, rows, model.NODES,
            model.BUDGETS.get(resource), law=law,
        )  # fmt: skip

    def on_sockets(name: str, what: str, resource: Resource, value: str) -> Series:
        rows = tuple(Point(e.nodes, getattr(e, value)) for e in hollow)
        return Series(
            name, what, "members", resource, Source.HOLLOW, rows, model.NODES,
            model.BUDGETS.get(resource),
        )  # fmt: skip

    return [
        simulated("bytes", "sent by each at rest", Resource.TRAFFIC, "bytes_a_second"),
        on_sockets("bytes_hollow", "sent by each at rest", Resource.TRAFFIC, "bytes_a_second"),
        simulated("messages", "datagrams of each", Resource.MESSAGES, "datagrams_a_second"),
        simulated("cpu_simulated", "rules, with the rig's own", Resource.CPU, "cpu_percent"),
        on_sockets(
            "cpu", "fleet process: rules, seals, sockets, status", Resource.CPU, "cpu_percent"
        ),
        Series(
            "memory", "table of members (traced allocations)", "members", Resource.MEMORY,
            Source.PURE, table, model.NODES, model.MEMORY_BYTES,
        ),
        simulated("lost", "until all have lost a dead one", Resource.SECONDS, "lost_by_all_s",
                  Form.LOGARITHM),
        simulated("told", "gossip of one death, sent by each", Resource.BYTES, "told_bytes",
                  Form.LOGARITHM),
    ]  # fmt: skip


def measure(quick: bool) -> Role:
    """Fleets of four sizes and more, simulated and hollow."""
    sizes = [6, 12, 18, 24] if quick else [25, 50, 100, 200]
    hollow_sizes = sizes if quick else [20, 40, 80, 160]
    events_size = 22 if quick else 88
    warm, span = (12.0, 8.0) if quick else (75.0, 20.0)
    with ThreadPoolExecutor(len(hollow_sizes)) as threads, worker_pool() as pool:
        fleets = [threads.submit(run_fleet, n, warm, span) for n in hollow_sizes]
        apart = pool.submit(events, events_size, 1)
        plays = list(pool.map(play, sizes[::-1], [1] * len(sizes)))[::-1]
        hollow = [fleet.result() for fleet in fleets]
        seen = apart.result()
        table = tuple(map(Point, TABLE_SIZES, pool.map(table_bytes, TABLE_SIZES)))
        opening = list(pool.map(opening_us, (1_000, model.NODES)))
    findings = tuple(judge(s) for s in series(plays, hollow, table))
    by_name = {f.series.name: f for f in findings}
    return Role(
        "membership",
        "who is in the fleet, and who has gone",
        "a row for each member, at every instance",
        "SWIM with Lifeguard's suspicion; every ten seconds each exchanges its whole table",
        "exchanges of what differs, in place of whole tables, and zones that answer for their "
        "members to the others",
        findings,
        tuple(effects(by_name["bytes"].full, by_name["told"].full, seen)),
        tuple(figures(plays, hollow, opening)),
    )


def figures(plays: list[Play], hollow: list[Each], opening: list[float]) -> list[Figure]:
    """What else was seen."""
    top = plays[-1]
    part = top.exchanges_bytes_a_second / top.bytes_a_second
    return [
        Figure(f"part of full exchanges in the bytes at {top.members} members", part, "",
               Source.SIMULATED),
        Figure("members that hollow nodes knew, to all, in the span",
               min(e.known / e.nodes for e in hollow), "", Source.HOLLOW),
        Figure("suspicions refuted at hollow nodes in the span, all nodes of all fleets",
               sum(e.false_alarms for e in hollow), "", Source.HOLLOW),
        Figure("members taken for lost or suspect falsely, all plays",
               sum(p.false_alarms for p in plays), "", Source.SIMULATED),
        Figure("lives whose keys a process remembers", shipped.MAX_REMEMBERED_LIVES, "",
               "the code"),
        Figure("processor time to open a datagram, 1,000 lives", opening[0], "us",
               Source.PURE),
        Figure(f"processor time to open a datagram, {model.NODES:,} lives",
               opening[1], "us", Source.PURE),
    ]  # fmt: skip


def effects(at_rest: float, told: float, seen: Events) -> list[Effect]:
    """What the events do, by the plays and the fits."""
    news = (model.FAILURES_PER_DAY + model.RESTARTS_PER_DAY) * told / model.SECONDS_PER_DAY
    table = at_rest * 5  # one way: each sends its table twice in ten seconds
    return [
        Effect(Event.ORDINARY_DAY, "gossip of all failures and restarts, each node in the mean",
               news, "bytes a second"),
        Effect(Event.ORDINARY_DAY, "a restarted node is sent the table once, every "
               f"{model.SECONDS_PER_RESTART:.0f} s one of them", table, "bytes"),
        Effect(Event.RACK, f"news of {model.NODES_PER_RACK} members, told by each",
               model.NODES_PER_RACK * told, "bytes"),
        Effect(Event.ZONE, f"one in eleven of {seen.members} dies: until all have lost them",
               seen.zone_lost_s, "s"),
        Effect(Event.ZONE, "the same: sent by each meanwhile, to at rest",
               seen.zone_bytes_a_second / seen.rest_bytes_a_second, "times"),
        Effect(Event.REGION, f"a quarter of {seen.members} is cut off for {CUT_S:.0f} s: from its "
               "return until all are known to all", seen.whole_again_s, "s"),
        Effect(Event.CONTROL_AWAY, "nothing: members need no machine of control"),
    ]  # fmt: skip
