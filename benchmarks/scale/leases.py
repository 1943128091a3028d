"""Leases: one holder at a time by a majority of voters; every holder asks the leader anew."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from benchmarks.lease import Timed
from benchmarks.scale import model, shipped
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Resource, Role, Series, Source
from benchmarks.scale.processes import worker_pool

VOTERS = 3
LENGTH_S = 4
WARM_S, SPAN_S = 8.0, 6.0
AROUND_BYTES = 100  # of the envelope and the seal around a fragment
RECOVER_MOST_S = 20.0
CARRIED_BY = (
    "leases of tenants on groups of three of the 15 control machines, each group its own share of "
    "the names; renewals ride on a holder's one message a second"
)


@dataclass(frozen=True, slots=True)
class Play:
    """What one simulated fleet's leases took."""

    instances: int
    leases: int
    leader_cpu_percent: float
    leader_sent: float  # bytes a second
    holder_sent: float  # the same, mean of those that are no voters
    datagrams: float  # a second, all
    recovered_s: float  # until all of a dead holder's are acted on again


class LeaseCounts:
    """Counts the bytes that each instance sends in a world of leases."""

    def __init__(self, world: shipped.LeaseWorld) -> None:
        self.by_name: dict[str, int] = {}
        send = world._send

        def counting(place: shipped.Place, address: str, fragment: shipped.Fragment) -> None:
            size = len(msgspec.msgpack.encode(fragment)) + AROUND_BYTES
            self.by_name[place.name] = self.by_name.get(place.name, 0) + size
            send(place, address, fragment)

        world._send = counting  # type: ignore[method-assign]


def play(instances: int, leases: int) -> Play:
    """Leases that all instances would hold, at rest, then one holder dies."""
    names = [f"i{n:04}" for n in range(instances)]
    length = LENGTH_S * shipped.LEASE_SECOND
    terms = shipped.LeaseTerms(duration_ns=length, renew_interval_ns=shipped.LEASE_SECOND)
    world = shipped.LeaseWorld(names, names[:VOTERS], 1, terms=terms, watched=False)
    world.found()
    world.want([f"task-{n}" for n in range(leases)])
    world.run(WARM_S)
    leader = world.leader().name
    timed, counts, before = Timed(world, leader), LeaseCounts(world), world.sent["all"]
    world.run(SPAN_S)
    sent, cpu_s = dict(counts.by_name), timed.own_s
    datagrams = world.sent["all"] - before
    others = names[VOTERS:]
    return Play(
        instances, leases, 100 * cpu_s / SPAN_S, sent.get(leader, 0) / SPAN_S,
        sum(sent.get(n, 0) for n in others) / len(others) / SPAN_S, datagrams / SPAN_S,
        recovered(world, others),
    )  # fmt: skip


def recovered(world: shipped.LeaseWorld, others: list[str]) -> float:
    """Seconds until all leases of one that dies are acted on again."""
    held = world.held()
    dead = Random(1).choice([n for n in others if n in held.values()])
    mine = {lease for lease, who in held.items() if who == dead}
    world.end(dead)
    began = world.now
    while not mine <= world.held().keys():
        if world.now - began > RECOVER_MOST_S * shipped.LEASE_SECOND:
            break
        world.run(0.1)
    return (world.now - began) / shipped.LEASE_SECOND


def measure(quick: bool) -> Role:
    """Simulated: more leases at one fleet, and larger fleets with the same leases."""
    instances, few = (8, 60) if quick else (50, 250)
    leases = (20, 40, 60, 80) if quick else (250, 500, 1_000, 2_000)
    fleets = (6, 8, 10, 12) if quick else (25, 50, 100, 150)
    jobs = [(instances, n) for n in leases] + [(n, few) for n in fleets]
    with worker_pool() as pool:
        begun = [pool.submit(play, *job) for job in reversed(jobs)]
        made = [future.result() for future in begun][::-1]
    findings = [
        judge(
            Series(
                f"{of}_{name}", what, over, resource, Source.SIMULATED,
                tuple(Point(getattr(p, by), getattr(p, of)) for p in rows), expected,
                model.BUDGETS.get(resource) if name == "fleet" else None,
            )
        )
        for name, over, by, rows, expected, where in (
            ("leases", "leases", "leases", made[: len(leases)], model.LEASES,
             f"{instances} instances"),
            ("fleet", "instances", "instances", made[len(leases) :], model.NODES,
             f"{few} leases"),
        )
        for of, what, resource in (
            ("leader_cpu_percent", f"leader's rules, {where}", Resource.CPU),
            ("leader_sent", f"sent by the leader, {where}", Resource.TRAFFIC),
            ("holder_sent", f"sent by an instance that votes not, {where}", Resource.TRAFFIC),
            ("datagrams", f"datagrams of all, {where}", Resource.MESSAGES),
        )
    ]  # fmt: skip
    worst = max(p.recovered_s for p in made)
    return Role(
        "leases",
        "one holder at a time for tasks and slices",
        "at each voter a log and a table of leases; at each holder its own",
        "one group of voters, of one, three or five instances; each lease is renewed once a second",
        CARRIED_BY,
        tuple(findings),
        tuple(effects(worst)),
        (
            Figure("leases held by one instance in the mean, at the full size",
                   model.LEASES / model.NODES, "", "calculated"),
            Figure("longest until a dead holder's leases are acted on again, all plays", worst, "s",
                   Source.SIMULATED),
        ),
    )  # fmt: skip


def effects(recovered_s: float) -> list[Effect]:
    """What events do to leases."""
    lost = (model.FAILURES_PER_DAY + model.RESTARTS_PER_DAY) * model.LEASES / model.NODES
    return [
        Effect(Event.ORDINARY_DAY, "leases that change hands because their holder ends", lost,
               "a day"),
        Effect(Event.ORDINARY_DAY, "each of them rests for at most", recovered_s, "s"),
        Effect(Event.RACK, "leases that change hands at once",
               model.NODES_PER_RACK * model.LEASES / model.NODES, ""),
        Effect(Event.ZONE, "leases that change hands at once",
               model.NODES_PER_ZONE * model.LEASES / model.NODES, ""),
        Effect(Event.REGION, "the side without a majority holds nothing after", LENGTH_S, "s"),
        Effect(Event.CONTROL_AWAY, "voters away: every lease ends after", LENGTH_S, "s"),
    ]  # fmt: skip
