"""Leases: how soon, at what cost, and how fast the search is.

    python -m benchmarks.lease                  all of it, some four minutes
    python -m benchmarks.lease --parts times    one part: times, fleet, search

times   real processes on the rig, a disk under every voter: a first grant, a hand-over, a grant
        after the holder's process is killed (less the lease's own length). Beside each round the
        floor on the same machine: one synced write of 200 bytes and one datagram there and back
        through the rig's network.
fleet   simulated time, the shipped rules, 5 and 200 instances, 200 and 5,000 leases: renewals and
        datagrams a second, processor time of all rules for a renewal and of the leader's core,
        until all of a dead holder's leases are acted on again, hand-overs for the sake of spread.
requests  whole instances: p99 of requests at one, while the fleet's process of another, which holds
        100 leases that the others wait for, is killed every three seconds, to the same
        seconds without; which of the two comes first changes with each round.
search  states a second of the checker at each size of `tansywood.verify`, the largest left out.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

from benchmarks.figures import median_and_range, quantile
from standins.fleet.day import Day, Fault, load
from standins.fleet.leases import LeaseRig, Station
from standins.fleet.leaseworld import LeaseWorld, Place
from standins.fleet.rig import Rig
from standins.ledger import End
from standins.wire import frame, read_frame
from tansywood.lease.fragments import Fragment
from tansywood.lease.terms import SECOND as SECOND_NS
from tansywood.lease.terms import LeaseTerms
from tansywood.verify.__main__ import SIZES
from tansywood.verify.explore import search
from tansywood.verify.leases import LeaseModel

PARTS = ("times", "fleet", "requests", "search")
LEASE_MS = 1000
SLOWEST = "expiry"


def spread(values: list[float], digits: int = 1) -> str:
    """Median, range and 99th percentile."""
    text = median_and_range(values, f".{digits}f").removesuffix(")")
    return f"{text}, p99 {quantile(values, 0.99):.{digits}f})"


def floor_ms(folder: Path, ports: tuple[int, int]) -> float:
    """One synced write and one datagram there and back."""
    began = time.perf_counter()
    descriptor = os.open(folder / "floor", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        os.write(descriptor, bytes(200))
        os.fdatasync(descriptor)
    finally:
        os.close(descriptor)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as a,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as b,
    ):
        a.bind(("127.0.0.1", ports[0]))
        b.bind(("127.0.0.1", ports[1]))
        a.sendto(bytes(200), b.getsockname())
        data, back = b.recvfrom(2000)
        b.sendto(data, back)
        a.recv(2000)
    return (time.perf_counter() - began) * 1000


async def times(rounds: int) -> None:
    with tempfile.TemporaryDirectory(prefix="tl", dir=os.environ.get("TMPDIR")) as made:
        rig = LeaseRig(Path(made), 1, instances=5, lease_ms=LEASE_MS, clocks=False)
        first, hand, after, floors = [], [], [], []
        try:
            await rig.start()
            await rig.found()
            names = ["d", "e"]  # no voters: a kill takes a holder and nothing else
            for n in range(rounds):
                floors.append(floor_ms(Path(made), (0, 0)))
                name = f"bench-{n}"
                a, b = (rig.stations[names[(n + k) % 2]] for k in (0, 1))
                began = time.perf_counter()
                _, first_line, _ = await rig.line(a, name)
                first.append((time.perf_counter() - began) * 1000)
                second = asyncio.ensure_future(rig.line(b, name))
                await asyncio.sleep(0.4)  # it asks, and waits
                began = time.perf_counter()
                first_line.close()
                _, second_line, _ = await second
                hand.append((time.perf_counter() - began) * 1000)
                if n % 4 == 0:
                    after.append(await killed(rig, b, a, name))
                second_line.close()
                if sys.stderr.isatty():
                    print(f"\rround {n + 1} of {rounds} ", end="", file=sys.stderr, flush=True)
        finally:
            await rig.close()
    print(f"\nreal processes, leases of {LEASE_MS} ms, {rounds} rounds, ms:")
    print(f"  floor, one synced write and one round trip     {spread(floors, 2)}")
    for text, row in (("a first grant", first), ("a hand-over", hand)):
        ratios = [v / f for v, f in zip(row, floors, strict=True)]
        print(f"  {text:<14} {spread(row)}; to the floor {spread(ratios)}")
    print(f"  after a kill, beyond the lease's own length: {spread(after)} of {len(after)}")


async def killed(rig: LeaseRig, holder: Station, other: Station, name: str) -> float:
    """Milliseconds from the end of the holder's process to the other's grant, less a lease."""
    waits = asyncio.ensure_future(rig.line(other, name))
    await asyncio.sleep(0.6)
    began = time.perf_counter()
    rig.end(holder, signal.SIGKILL)
    _, line, _ = await waits
    took = (time.perf_counter() - began) * 1000 - LEASE_MS
    line.close()
    rig.begin(holder)
    await rig.answers(holder)
    await asyncio.sleep(1.0)
    return took


class Timed:
    """Processor time of all that comes to one instance."""

    def __init__(self, world: LeaseWorld, whose: str) -> None:
        self.own_s = 0.0
        arrive = world._arrive

        def timed(name: str, life: bytes, target: Place, to: bytes, fragment: Fragment) -> None:
            begin = time.process_time()
            arrive(name, life, target, to, fragment)
            if target.name == whose:
                self.own_s += time.process_time() - begin

        world._arrive = timed  # type: ignore[method-assign]


HELD = 100
WARM_S, SPAN_S, EVERY_S = 6.0, 9.0, 3.0


def lease_day(dying_first: bool) -> Day:
    begin = WARM_S if dying_first else WARM_S + SPAN_S
    kills = tuple(
        Fault(begin + 0.5 + n * EVERY_S, "kill_part", {"instance": "b", "part": "fleet"})
        for n in range(int(SPAN_S / EVERY_S))
    )
    return replace(
        load("calm"), name="leases", seconds=WARM_S + 2 * SPAN_S + 0.5, homes=1, rate=2000.0,
        burst=1000, places=0, work_s=0.005, callers={"a": 0, "b": 0, "c": 12}, pause_s=0.02,
        voters=("a", "b", "c"), lease_ms=LEASE_MS, faults=kills,
    )  # fmt: skip


async def hold_on(rig: Rig, name: str, lease: str, got: list[str]) -> None:
    """Hold a lease at an instance, or wait for it, and again whenever the line breaks."""
    path = str(rig.instances[name].folder / "run" / "fleet.sock")
    while not rig.ending:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(frame({"lease": lease}))
            try:
                while True:
                    if "token" in await read_frame(reader):
                        got.append(name)
            finally:
                writer.close()
        await asyncio.sleep(0.1)


async def requests_once(seed: int) -> tuple[float, float, int]:
    """p99 in ms while holders die and while they do not, and leases that moved."""
    dying_first = bool(seed % 2)
    with tempfile.TemporaryDirectory(prefix="tw", dir=os.environ.get("TMPDIR")) as folder:
        rig = Rig(lease_day(dying_first), seed, Path(folder))
        playing = asyncio.ensure_future(rig.play())
        while not rig.began:
            await asyncio.sleep(0.1)
            if playing.done():
                await playing
        got: list[str] = []
        for name in "bac":
            for n in range(HELD):
                rig.spawn(hold_on(rig, name, f"task-{n}", got))
        made = await playing
        spans = []
        for n in range(2):
            begin = made.began + WARM_S + n * SPAN_S
            rows = [r for r in made.meter.rows if begin <= r.asked < begin + SPAN_S]
            took = sorted((r.ended - r.asked) * 1000 for r in rows if r.end == End.SERVED)
            spans.append(took[int(0.99 * len(took))])
        dying, quiet = spans if dying_first else spans[::-1]
        return dying, quiet, len(got)


def requests(rounds: int) -> None:
    made = [asyncio.run(requests_once(seed)) for seed in range(1, rounds + 1)]
    print(f"\nrequests at one instance, {rounds} rounds, p99 ms:")
    print(f"  while holders of {HELD} leases die  {spread([d for d, _, _ in made])}")
    print(f"  while they do not              {spread([q for _, q, _ in made])}")
    print(f"  ratio within a round           {spread([d / q for d, q, _ in made], 3)}")


def fleet(instances: int, leases: int, seeds: int) -> None:
    names = [f"i{n:03}" for n in range(instances)]
    terms = LeaseTerms(duration_ns=4 * SECOND_NS, renew_interval_ns=SECOND_NS)
    renewals, datagrams, costs, recovered, spreads, leaders = [], [], [], [], [], []
    for seed in range(seeds):
        w = LeaseWorld(names, names[:3], seed, terms=terms, watched=False)
        w.found()
        w.want([f"task-{n}" for n in range(leases)])
        w.run(8.0)
        before, asks = w.sent["all"], sum(w.client(n).counts["told"] for n in names)
        leader = w.leader().name
        timed = Timed(w, leader)
        began = time.process_time()
        w.run(10.0)
        cpu = time.process_time() - began
        told = sum(w.client(n).counts["told"] for n in names) - asks
        renewals.append(told / 10)
        datagrams.append((w.sent["all"] - before) / 10)
        costs.append(cpu / max(told, 1) * 1e6)
        leaders.append(timed.own_s / 10 * 100)
        held = w.held()
        count = {n: list(held.values()).count(n) for n in names}
        spreads.append(max(count.values()) / (leases / instances))
        rng = Random(seed)
        dead = rng.choice([n for n in names[3:] if count[n]])
        mine = {n for n, who in held.items() if who == dead}
        w.end(dead)
        began_at = w.now
        while not mine <= w.held().keys() and w.now - began_at < 20 * SECOND_NS:
            w.run(0.05)
        recovered.append((w.now - began_at) / SECOND_NS)
    print(f"\n{instances} instances, {leases} leases of 4 s, simulated, {seeds} seeds:")
    for text, row, digits in (
        ("answered renewals a second", renewals, 1),
        ("datagrams of leases a second, all", datagrams, 0),
        ("processor time for a renewal, all rules and the rig, us", costs, 0),
        ("leader's rules, % of a core", leaders, 2),
        ("most at one instance, to the mean", spreads, 2),
        ("all of a dead holder's are acted on again, s", recovered, 2),
    ):
        print(f"  {text:<58} {spread(row, digits)}")


def fleets(seeds: int) -> None:
    fleet(5, 200, seeds)
    fleet(200, 5000, seeds)


def searched() -> None:
    print("\nsearch:")
    for name, (text, bounds, known) in SIZES.items():
        if name == SLOWEST:
            continue
        began = time.perf_counter()
        found = search(LeaseModel(bounds))
        took = time.perf_counter() - began
        print(
            f"  {name:<10} {found.states:>7,} of {known:,} states, {found.states / took:,.0f} a s"
        )
        if found.states != known or found.broken:
            print(f"    {text}: {found}")


def main() -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.lease", description=__doc__)
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--rounds", type=int, default=40)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    for part in options.parts.split(","):
        if part not in PARTS:
            parser.error(f"--parts: {part!r} is not known; {', '.join(PARTS)}")
    run: dict[str, Callable[[], None]] = {
        "times": lambda: asyncio.run(times(options.rounds)),
        "fleet": lambda: fleets(options.seeds),
        "requests": lambda: requests(options.seeds),
        "search": searched,
    }
    for part in options.parts.split(","):
        run[part]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
