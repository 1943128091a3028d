"""Shared limits: each instance claims its part of every tenant's limits from the homes."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.scale import model, shipped
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Finding, Resource, Role, Series, Source
from benchmarks.scale.processes import worker_pool

HOMES = 3
REST_INSTANCES = 6
WARM_S, SPAN_S = 6.0, 6.0
HOME_SIZES = (500, 1_000, 2_000, 4_000)  # tenants at one home, each held by three
CARRIED_BY = (
    "each tenant's limits are dealt among the nodes that serve it, by one of them under a lease; "
    "nobody asks for tenants at rest, and a part is renewed for seconds"
)


@dataclass(frozen=True, slots=True)
class Play:
    """What one fleet used, in means over the homes and over the other instances."""

    instances: int
    homes: int
    busy: int
    rest: int
    holder_sent: float  # bytes a second
    home_sent: float
    home_received: float
    home_claims: float  # a second, of a home to each other home
    datagrams: float  # a second, of each
    cpu_percent: float  # of each, with the rig's own


def play(instances: int, homes: int, busy: int, rest: int) -> Play:
    """A fleet where `busy` tenants are at work at every instance and `rest` nowhere."""
    names = shipped.tenant_names(busy + rest)
    world = shipped.fleet_world(instances, homes, names[:busy], names, 1)
    world.run(WARM_S)
    world.reset()
    every = list(world.hosts)
    first, others = every[:homes], every[homes:]
    claims = claims_of(world, first)
    began = time.process_time()
    world.run(SPAN_S)
    cpu = time.process_time() - began
    claims = claims_of(world, first) - claims
    sent = world.bytes_sent
    return Play(
        instances, homes, busy, rest,
        sum(sent[n] for n in others) / len(others) / SPAN_S,
        sum(sent[n] for n in first) / homes / SPAN_S,
        sum(world.bytes_received[n] for n in first) / homes / SPAN_S,
        claims / homes / max(homes - 1, 1) / SPAN_S,
        world.datagrams / instances / SPAN_S,
        100 * cpu / instances / SPAN_S,
    )  # fmt: skip


def claims_of(world: shipped.CountingWorld, names: list[str]) -> int:
    """Claims that these instances have sent so far."""
    hosts = [world.hosts[name] for name in names]
    return sum(host.instance.messenger.counts["claims"] for host in hosts if host.instance)


def home_bytes(tenants: int) -> int:
    """Memory of a home that deals so many tenants' limits to three holders each."""
    names = shipped.tenant_names(tenants)
    rows = {key: row for name in names for key, row in shipped.limits().by_key(name).items()}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    home = shipped.Allocator(shipped.GrantTerms(), 1, 0, 0)
    for key, (whole, tail) in rows.items():
        home.set_limit(key, whole, tail)
    at = 100 * shipped.SECOND
    for holder in range(model.NODES_PER_TENANT):
        life = shipped.member_update(holder).life
        for begin in range(0, tenants, 20):
            home.claim(at, life, shipped.claim_of(begin + 1, names[begin : begin + 20], 0))
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size


def finding(
    plays: Sequence[Play], what: str, over: str, resource: Resource, of: str, sizes: Sequence[int],
    expected: float, with_fleet: bool = True, limited: bool = True,
) -> Finding:  # fmt: skip
    """One cost over the plays, in simulated time."""
    rows = tuple(Point(n, getattr(p, of)) for n, p in zip(sizes, plays, strict=True))
    limit = model.BUDGETS.get(resource) if limited else None
    return judge(
        Series(of, what, over, resource, Source.SIMULATED, rows, expected, limit, with_fleet)
    )


def at_work(plays: Sequence[Play]) -> list[Finding]:
    """By the tenants that are at work at one instance; at a home by all claims for them."""
    tenants = [p.busy for p in plays]
    claims = [p.busy * p.instances for p in plays]
    every = model.NODES * model.TENANTS_PER_NODE
    over, at_home = "tenants at work at a node", "tenants at work, over all nodes"
    mine = model.TENANTS_PER_NODE
    return [
        finding(plays, "sent by a holder", over, Resource.TRAFFIC, "holder_sent", tenants, mine,
                with_fleet=False),
        finding(plays, "datagrams of each", over, Resource.MESSAGES, "datagrams", tenants, mine),
        finding(plays, "rules, mean over homes and others, with the rig's own", over,
                Resource.CPU, "cpu_percent", tenants, mine, with_fleet=False),
        finding(plays, "sent by a home", at_home, Resource.TRAFFIC, "home_sent", claims, every),
        finding(plays, "received by a home", at_home, Resource.TRAFFIC, "home_received", claims,
                every, limited=False),
    ]  # fmt: skip


def at_rest(plays: Sequence[Play]) -> list[Finding]:
    """By tenants that exist and that nobody asks for."""
    tenants = [p.rest for p in plays]
    over = "tenants at rest"
    return [
        finding(plays, "sent by a holder for tenants at rest", over, Resource.TRAFFIC,
                "holder_sent", tenants, model.TENANTS),
        finding(plays, "sent by a home for tenants at rest", over, Resource.TRAFFIC, "home_sent",
                tenants, model.TENANTS),
    ]  # fmt: skip


def by_homes(plays: Sequence[Play]) -> Finding:
    """By the number of homes, at one number of tenants."""
    what = f"sent by a holder, {plays[0].busy} tenants at work"
    most = plays[-1].homes
    return finding(plays, what, "homes", Resource.TRAFFIC, "holder_sent",
                   [p.homes for p in plays], most, limited=False)  # fmt: skip


def measure(quick: bool) -> Role:
    """Simulated fleets with more tenants at work, at rest, and more homes."""
    instances = 6 if quick else 16
    busy = (1, 3, 6, 9) if quick else (3, 10, 30, 90)
    rest = (4, 8, 16, 32) if quick else (10, 30, 90, 270)
    homes = (1, 2, 3, 4) if quick else (3, 5, 7, 9)
    some = 3 if quick else 10
    jobs = [(instances, HOMES, n, 0) for n in busy]
    jobs += [(REST_INSTANCES, HOMES, 0, n) for n in rest]
    jobs += [(instances, n, some, 0) for n in homes]
    with worker_pool() as pool:
        made = run_all(pool, jobs)
        table = tuple(map(Point, HOME_SIZES, pool.map(home_bytes, HOME_SIZES)))
    memory = Series(
        "home_memory", "a home's table (traced allocations)", "tenants that it deals",
        Resource.MEMORY, Source.PURE, table, model.TENANTS, model.MEMORY_BYTES,
    )  # fmt: skip
    findings = [
        *at_work(made[: len(busy)]), *at_rest(made[len(busy) : len(busy) + len(rest)]),
        by_homes(made[-len(homes) :]), judge(memory),
    ]  # fmt: skip
    return Role(
        "shared limits",
        "how much of each tenant's limits an instance may use",
        "at a home a row for each limit and holder; at a holder one for each limit and home",
        "three to nine homes deal fixed slices of every tenant; every instance claims from each "
        "four times a second, for all tenants at rest once a second, and twice for those that a "
        "worker keeps",
        CARRIED_BY,
        tuple(findings),
        tuple(effects()),
        tuple(figures(made[len(busy) : len(busy) + len(rest)])),
    )


def run_all(pool: ProcessPoolExecutor, jobs: Sequence[tuple[int, int, int, int]]) -> list[Play]:
    """The plays in the order of the jobs, the longest begun first."""
    ordered = sorted(jobs, key=lambda job: -job[0] * (job[2] + job[3]))
    begun = {job: pool.submit(play, *job) for job in ordered}
    return [begun[job].result() for job in jobs]


def figures(rest: Sequence[Play]) -> list[Figure]:
    """What stands by itself."""
    terms = shipped.GrantTerms()
    return [
        Figure(f"datagrams of each, {rest[-1].rest} tenants at rest", rest[-1].datagrams,
               "a second", Source.SIMULATED),
        Figure(f"claims of a home to each other home, {rest[0].rest} tenants at rest",
               rest[0].home_claims, "a second", Source.SIMULATED),
        Figure("rounds of claims, as designed", shipped.SECOND / terms.claim_interval_ns,
               "a second", "the code"),
        Figure("bytes sent by a home to a holder's, all tenants at rest",
               rest[-1].home_sent / rest[-1].holder_sent, "times", Source.SIMULATED),
    ]  # fmt: skip


def effects() -> list[Effect]:
    """What events do, by the terms of grants."""
    terms = shipped.GrantTerms()
    tail = shipped.limits().tail
    lent = terms.grant_ns / shipped.SECOND
    anew = (terms.grant_ns + terms.request_tail_ns(tail)) / shipped.SECOND
    used = terms.usable_ns / shipped.SECOND
    return [
        Effect(Event.ORDINARY_DAY, "a node that goes: its parts of rates can be dealt again after",
               lent, "s"),
        Effect(Event.ORDINARY_DAY, "a home that restarts deals nothing of its slice for (deadline "
               "2 s)", anew, "s"),
        Effect(Event.RACK, "the same for twenty nodes at once; where a home is among them its "
               "slice rests until it is back or handed on"),
        Effect(Event.ZONE, "parts of its nodes can be dealt again after", lent, "s"),
        Effect(Event.REGION, "a node that reaches no home goes down to nothing (a home to its "
               "floor) after", used, "s"),
        Effect(Event.CONTROL_AWAY, "all homes away: every other node goes down to nothing after",
               used, "s"),
    ]  # fmt: skip
