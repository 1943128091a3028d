"""Health signals: what instances saw of servers, told to the homes and weighed there."""

from __future__ import annotations

import time
import tracemalloc

from benchmarks.scale import model, shipped
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Estimate, Event, Figure, Resource, Role, Series, Source
from benchmarks.scale.processes import worker_pool

SOURCES = 20
ROWS = 20  # of evidence in one claim
CLAIMS = 200
CLAIMS_A_SECOND = 4  # of one instance, at one home
SERVERS_OF_TENANT = 5
SEEN_BYTES = 30  # of one server's evidence in a claim: name, kind, age
CARRIED_BY = (
    "evidence of a tenant's servers goes to the nodes of that tenant alone, by changes, and a "
    "summary for each zone"
)


def filled(servers: int) -> shipped.Signals:
    """A home that has heard of so many servers, each from all sources."""
    made = shipped.Signals()
    for source in range(SOURCES):
        life = shipped.member_update(source).life
        made.record(0, life, [shipped.Observation(name(n), int(shipped.Kind.ANSWERED), 0)
                            for n in range(servers)])  # fmt: skip
    return made


def name(number: int) -> str:
    """A server of a tenant with five."""
    return f"tenant-{number // SERVERS_OF_TENANT:06}/s-{number % SERVERS_OF_TENANT}"


def held_bytes(servers: int) -> int:
    """Memory of what a home has heard."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = filled(servers)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(made._words) == servers
    return size


def claim_ms(servers: int) -> float:
    """Processor time of one claim's evidence: hear it, and say what is doubted of its tenants."""
    made = filled(servers)
    life = shipped.member_update(0).life
    seen = [shipped.Observation(name(n), int(shipped.Kind.ANSWERED), 0) for n in range(ROWS)]
    tenants = {row.server.partition("/")[0] for row in seen}
    began = time.process_time()
    for n in range(CLAIMS):
        made.record(n, life, seen)
        made.doubted(n, tenants)
        made.recovered(n, seen)
    return 1000 * (time.process_time() - began) / CLAIMS


def measure(quick: bool) -> Role:
    """One home with evidence of more and more servers."""
    sizes = (250, 500, 1_000, 2_000) if quick else (1_000, 2_000, 4_000, 8_000)
    with worker_pool() as pool:
        held = tuple(map(Point, sizes, pool.map(held_bytes, sizes)))
        took = tuple(map(Point, sizes, pool.map(claim_ms, sizes)))
    memory = judge(
        Series("memory", f"a home's evidence of {SOURCES} sources each (traced allocations)",
               "servers heard of", Resource.MEMORY, Source.PURE, held, model.BACKENDS,
               model.MEMORY_BYTES)
    )  # fmt: skip
    claim = judge(
        Series("claim", "a home, of one claim's evidence", "servers heard of", Resource.CPU_TIME,
               Source.PURE, took, model.BACKENDS)
    )  # fmt: skip
    claims = model.NODES * CLAIMS_A_SECOND
    at_home = claims * claim.full / 10
    # Both the claims and the servers that each is weighed against shrink with the fleet.
    breaks = max(2, round(model.NODES * (model.CPU_PERCENT / at_home) ** 0.5))
    sent = model.BACKENDS_PER_NODE * SEEN_BYTES * CLAIMS_A_SECOND * 3
    return Role(
        "health signals",
        "what others saw of a server",
        "at each home the last word of every source on every server",
        "every claim to every home tells what its instance saw in the last two seconds; a home "
        "weighs all",
        CARRIED_BY,
        (memory, claim),
        effects(),
        (Figure("claims a second at one home, all nodes", claims, "", "calculated"),),
        (
            Estimate(
                "a home's processor time for the evidence of all nodes", at_home, Resource.CPU,
                "calculated: claims a second x the cost of one at the full list; a home with "
                f"{model.NODES:,} claimants was not run", model.CPU_PERCENT, breaks,
            ),
            Estimate(
                "evidence sent by a node for all its backends, each asked within two seconds",
                sent, Resource.TRAFFIC,
                f"calculated: {model.BACKENDS_PER_NODE} servers x {SEEN_BYTES} bytes x "
                f"{CLAIMS_A_SECOND} rounds x 3 homes; no node with so many servers at work was run",
                model.TRAFFIC_BYTES, 2,
            ),
        ),
    )  # fmt: skip


def effects() -> tuple[Effect, ...]:
    """What events do to signals."""
    zone = model.BACKENDS / model.ZONES
    return (
        Effect(
            Event.ORDINARY_DAY,
            "servers that end, each found out by its own nodes",
            model.FAILURES_PER_DAY + model.RESTARTS_PER_DAY,
            "a day, if all were servers",
        ),
        Effect(
            Event.RACK,
            "a server is doubted once two sources found it out; evidence is " "believed for",
            3,
            "s",
        ),
        Effect(
            Event.ZONE,
            "servers found out at once; a node that finds most of its own out is " "not believed",
            zone,
            "servers",
        ),
        Effect(Event.REGION, "a node that can't reach the homes goes by what it sees itself"),
        Effect(Event.CONTROL_AWAY, "the same"),
    )
