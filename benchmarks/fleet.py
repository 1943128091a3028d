"""Instances that share, against one that sees everything and against plain 1/N.

    python -m benchmarks.fleet                 all of it, some twelve minutes
    python -m benchmarks.fleet --parts worth   one part: worth, members, subsets, cost

worth     whole processes on the rig: requests served a second by 1, 3, 8 and 16 instances of one
          tenant, the same callers and limits, to one instance that has all of both (which sees
          everything); beside it the same instances without a fleet, each with 1/N of the limits.
          Even traffic, one instance with most of it, and a day of splits. A pair is one seed.
members   simulated time, the shipped rules: datagrams a second, processor time, time until all
          have lost a dead one, false alarms by loss, at 3, 20 and 200 instances.
subsets   rendezvous beside deterministic subsets: balance, moves for a join and a leave.
cost      requests through a whole instance with a fleet and without, CPU of its worker.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.figures import median_and_range
from standins.fleet.day import Day, load
from standins.fleet.rig import TENANT, Outcome, Rig, play
from standins.fleet.simulated import World
from standins.ledger import End
from standins.service import cpu_s
from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.members import State
from tansywood.fleet.share import Limits
from tansywood.fleet.subsets import assigned_servers, deterministic, rendezvous
from tansywood.fleet.terms import SECOND

PARTS = ("worth", "members", "subsets", "cost")
DAYS = ("even", "skewed", "split")
WARM_S = 7.0  # homes deal from the fourth second on
MEASURED_S = 12.0
RATE, BURST, PLACES, SERVERS = 240.0, 48, 16, 5
CALLERS = 24


def served(made: Outcome) -> float:
    begin = made.began + WARM_S
    rows = [r for r in made.meter.rows if begin <= r.ended <= begin + MEASURED_S]
    return sum(r.end == End.SERVED for r in rows) / MEASURED_S


def day(instances: int, skewed: bool) -> Day:
    names = tuple(f"i{n:02}" for n in range(instances))
    each = CALLERS // instances
    callers = {n: each for n in names}
    if skewed and instances > 1:
        callers = {n: max(1, CALLERS // (4 * instances)) for n in names}
        callers[names[0]] = CALLERS - sum(callers.values()) + callers[names[0]]
    else:
        for n in names[: CALLERS - each * instances]:
            callers[n] += 1
    return replace(
        load("calm"),
        name=f"{instances}{' skewed' if skewed else ''}",
        seconds=WARM_S + MEASURED_S + 0.5,
        instances=names,
        homes=min(3, instances),
        servers=SERVERS,
        places=PLACES,
        rate=RATE,
        burst=BURST,
        open=400,
        callers=callers,
        pause_s=0.04,
    )


def alone(shared: Day) -> Day:
    """One instance that has all callers and all limits."""
    name = shared.instances[0]
    count = sum(shared.callers.values())
    return replace(
        shared, instances=(name,), homes=1, callers={name: count}, fleet=False, faults=(), clocks={}
    )


def parted(shared: Day) -> Day:
    """The same instances with 1/N each, which need to know nothing of one another."""
    n = len(shared.instances)
    return replace(
        shared,
        fleet=False,
        rate=shared.rate / n,
        burst=max(shared.burst // n, 1),
        open=shared.open // n,
        places=max(shared.places // n, 1),
    )


@dataclass(frozen=True, slots=True)
class Row:
    sees_all: float
    shared: float
    parted: float
    over: int
    excess: float
    accepted: int
    accepted_alone: int


def pair(shared: Day, seed: int) -> Row:
    ours = play(shared, seed)
    top = play(alone(shared), seed)
    plain = play(parted(shared), seed)
    broken = [p for p in ours.problems if "dealt" not in p]
    if broken:
        print(f"  broken with {shared.name}, seed {seed}: {broken[:3]}", file=sys.stderr)
    return Row(
        served(top), served(ours), served(plain), ours.over, ours.excess, ours.accepted,
        top.accepted,
    )  # fmt: skip


def worth(sizes: list[int], seeds: int, kinds: list[str]) -> None:
    print(
        f"a tenant with {RATE:g} requests a second, {PLACES} places at each of {SERVERS} servers,"
    )
    print(f"{CALLERS} callers; served a second from the {WARM_S:g}th second on, {seeds} seeds")
    print(f"{'instances':>14}{'sees all':>26}{'ours to it':>26}{'1/N to it':>26}"
          f"{'worst over limit':>18}{'places over':>13}{'connections':>13}")  # fmt: skip
    days = [day(n, False) for n in sizes if "even" in kinds]
    days += [day(n, True) for n in sizes if n > 1 and "skewed" in kinds]
    days += [replace(load("split"), seconds=38.0)] if "split" in kinds else []
    for shared in days:
        rows = []
        for seed in range(1, seeds + 1):
            if sys.stderr.isatty():
                print(f"\r{shared.name}, seed {seed} of {seeds}   ", end="", file=sys.stderr)
            rows.append(pair(shared, seed))
        if sys.stderr.isatty():
            print("\r", end="", file=sys.stderr)
        print(
            f"{shared.name:>14}{median_and_range([r.sees_all for r in rows], '.1f'):>26}"
            f"{median_and_range([r.shared / r.sees_all for r in rows]):>26}"
            f"{median_and_range([r.parted / r.sees_all for r in rows]):>26}"
            f"{max(r.excess for r in rows):>+18.1f}{sum(r.over for r in rows):>13}"
            f"{statistics.median(r.accepted / max(r.accepted_alone, 1) for r in rows):>13.2f}",
            flush=True,
        )


# ---- members -----------------------------------------------------------------------------------


def fleet(count: int, loss: float, seed: int) -> dict[str, Any]:
    """One fleet in simulated time: known, loaded, watched for 20 s, then one dies."""
    limits = Limits(75_000 * count, 20 * count, 30, tuple(f"s-{n}" for n in range(10)), 2 * SECOND)
    names = [f"i{n:03}" for n in range(count)]
    world = World(names, min(3, count), {TENANT: limits}, seed)
    for name in names:
        world.start(name)
        host = world.hosts[name]
        host.needs = {rate_key(TENANT): 60_000, open_key(TENANT): 5}
        host.needs |= {places_key(TENANT, s): 1 for s in limits.servers}
    known = 0
    while known < 60:
        world.run(1.0)
        known += 1
        if all(len(s.instance.members.live()) == count for s in world.hosts.values() if s.instance):
            break
    world.run(6.0)
    world.conditions.loss = loss
    before, began = Counter(world.sent), time.process_time()
    world.run(20.0)
    took = time.process_time() - began
    sent = Counter(world.sent)
    sent.subtract(before)
    alarms = sum(
        e.what == "lost" for s in world.hosts.values() if s.instance for _, e in s.instance.events
    )
    dealt = sum(world.amounts(rate_key(TENANT)).values()) / limits.rate
    dead = names[-1]
    world.kill(dead)
    at = world.now
    found: dict[str, float] = {}
    while len(found) < count - 1 and world.now - at < 90 * SECOND:
        world.run(0.1)
        for name, host in world.hosts.items():
            if host.instance is not None and name not in found:
                row = host.instance.members.rows.get(dead)
                if row is None or row.state == State.LOST:
                    found[name] = (world.now - at) / SECOND
    return {
        "known": known,
        "datagrams": sum(sent.values()) / 20 / count,
        "members": sum(sent[k] for k in ("Ping", "Ack", "PingFor", "Nack", "Sync")) / 20 / count,
        "cpu": took / 20 / count,
        "false": alarms,
        "first": min(found.values(), default=float("nan")),
        "all": max(found.values(), default=float("nan")),
        "dealt": dealt,
    }


def members(sizes: list[int], seeds: int) -> None:
    print("an instance's datagrams sent a second, and its processor time with the rig's own")
    print(f"{'instances':>10}{'loss':>6}{'all known':>12}{'datagrams':>11}{'of members':>12}"
          f"{'% of a core':>13}{'taken for lost':>16}{'lost: first':>20}{'all':>20}"
          f"{'dealt':>8}")  # fmt: skip
    jobs = [(n, loss, seed) for n in sizes for loss in (0.0, 0.05, 0.2) for seed in range(seeds)]
    with ProcessPoolExecutor() as pool:
        made = list(pool.map(fleet, *zip(*jobs, strict=True)))
    for n in sizes:
        for loss in (0.0, 0.05, 0.2):
            rows = [m for j, m in zip(jobs, made, strict=True) if j[:2] == (n, loss)]
            print(
                f"{n:>10}{loss:>6}{max(r['known'] for r in rows):>10} s"
                f"{statistics.median(r['datagrams'] for r in rows):>11.1f}"
                f"{statistics.median(r['members'] for r in rows):>12.1f}"
                f"{100 * statistics.median(r['cpu'] for r in rows):>13.2f}"
                f"{sum(r['false'] for r in rows):>16}"
                f"{median_and_range([r['first'] for r in rows], '.1f'):>20}"
                f"{median_and_range([r['all'] for r in rows], '.1f'):>20}"
                f"{min(r['dealt'] for r in rows):>8.2f}"
            )


# ---- subsets -----------------------------------------------------------------------------------


def subsets() -> None:
    print(f"{'instances':>10}{'servers':>9}{'size':>6}  {'':14}{'least to most, of mean':>24}"
          f"{'moved by a join':>17}{'by a leave':>12}")  # fmt: skip
    for count, servers, size in ((16, 40, 10), (40, 100, 15), (200, 100, 15)):
        names = [f"i{n:03}" for n in range(count)]
        rows = [f"s-{n}" for n in range(servers)]
        weights = dict.fromkeys(rows, 1.0)
        for kind in ("chosen", "rendezvous", "deterministic"):

            def pick(who: list[str], kind: str = kind, size: int = size) -> dict[str, set[str]]:
                if kind == "chosen":
                    places = round(count * size / servers)  # noqa: B023
                    return {n: set(assigned_servers(n, who, weights, places)) for n in who}  # noqa: B023
                if kind == "rendezvous":
                    return {n: set(rendezvous(n, weights, size)) for n in who}  # noqa: B023
                return {n: set(deterministic(n, who, rows, size)) for n in who}  # noqa: B023

            before = pick(names)
            joined = pick(sorted([*names, "i0075"]))
            left = pick([n for n in names if n != names[count // 3]])
            used = Counter(s for some in before.values() for s in some)
            mean = count * size / servers
            moves = [
                sum(len(before[n] - after[n]) for n in before if n in after) / (count * size)
                for after in (joined, left)
            ]
            even = f"{min(used[s] for s in rows) / mean:.2f} to {max(used.values()) / mean:.2f}"
            print(f"{count:>10}{servers:>9}{size:>6}  {kind:14}{even:>24}"
                  f"{moves[0]:>17.3f}{moves[1]:>12.3f}")  # fmt: skip


# ---- cost --------------------------------------------------------------------------------------


async def cpu_of(shared: Day, seed: int) -> tuple[float, float]:
    """Microseconds of the worker's and of the fleet's process for each request that was asked."""
    with tempfile.TemporaryDirectory(prefix="tw") as folder:
        rig = Rig(shared, seed, Path(folder))
        playing = asyncio.ensure_future(rig.play())
        name = shared.instances[0]
        while not rig.began:
            await asyncio.sleep(0.1)
            if playing.done():
                await playing
        await asyncio.sleep(WARM_S)
        service = rig.instances[name].service
        worker = service.pid("worker-0")
        other = service.pid("fleet") if shared.fleet else 0

        def look() -> tuple[float, float, int]:
            asked = len(rig.meter.rows)
            return cpu_s(worker), cpu_s(other) if other else 0.0, asked

        first = look()
        await asyncio.sleep(MEASURED_S)
        second = look()
        await playing
        asked = second[2] - first[2]
        return (second[0] - first[0]) / asked * 1e6, (second[1] - first[1]) / MEASURED_S * 100


def cost(rounds: int) -> None:
    base = replace(
        day(1, False), rate=100_000.0, burst=50_000, open=2000, places=0, pause_s=0.01, work_s=0.002
    )
    with_fleet, without, share = [], [], []
    for seed in range(1, rounds + 1):
        one, part = asyncio.run(cpu_of(base, seed))
        other, _ = asyncio.run(cpu_of(replace(base, fleet=False), seed))
        with_fleet.append(one)
        without.append(other)
        share.append(part)
    print("CPU of a worker for each request, microseconds, one instance before five servers")
    before, after = (median_and_range(values, ".0f") for values in (without, with_fleet))
    print(f"  without a fleet {before}, with one {after}")
    ratios = [a / b for a, b in zip(with_fleet, without, strict=True)]
    print(f"  ratio within a round {median_and_range(ratios)}; ", end="")
    print(f"the fleet's process {median_and_range(share, '.2f')} % of a core")


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet", description=__doc__)
    parser.add_argument("--parts", nargs="+", default=list(PARTS), choices=PARTS)
    parser.add_argument("--instances", type=int, nargs="+", default=[1, 3, 8, 16])
    parser.add_argument("--fleets", type=int, nargs="+", default=[3, 20, 200])
    parser.add_argument("--days", nargs="+", default=list(DAYS), choices=DAYS, help="of worth")
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    for number, part in enumerate(args.parts):
        if number:
            print()
        if part == "worth":
            worth(args.instances, args.seeds, args.days)
        elif part == "members":
            members(args.fleets, args.seeds)
        elif part == "subsets":
            subsets()
        else:
            cost(args.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
