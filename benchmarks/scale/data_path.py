"""The data path of one node: what it adds to a request, beside a direct call in the same run.

One process asks a server directly and through the node in turn, by a clock of its own, so that what
this machine does to the caller it does to both.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.request_cost import Server
from benchmarks.scale import model, processes
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Resource, Role, Series, Source
from benchmarks.tenants import ask, quantile, tenant
from standins.platform import request
from standins.service import ServiceProcess

SERVERS = 4
CONNECTIONS = 16
WARM_S = 1.0
WORK_S = 0.005  # of a server, for each request
ROUNDS = 3  # of each rate; the middle one counts
LIMITS = {"rate_per_s": 100_000, "burst": 100_000, "connections_per_s": 1000, "open": 2000}


@dataclass(slots=True)
class Target:
    """Where to ask, on which connections, and what came of it."""

    port: int
    head: dict[str, str]
    mark: str
    free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    failed: Counter[str] = field(default_factory=Counter)  # by status, or what broke
    asked: int = 0

    async def connect(self) -> None:
        """Connections that are kept."""
        for _ in range(CONNECTIONS):
            self.free.append(await asyncio.open_connection("127.0.0.1", self.port))

    async def one(self) -> None:
        """One request on a connection that is free."""
        self.asked += 1
        number = self.asked  # kept: others are asked while a connection is made
        # In turn: a connection that is not used for seconds is closed by the node, and rightly.
        pair = self.free.pop(0) if self.free else None
        if pair is None:
            pair = await asyncio.open_connection("127.0.0.1", self.port)
        rid = f"{self.mark}-{number}"
        data = request(f"/balance/{number}", timeout=2000, rid=rid, more=self.head)
        began = time.perf_counter()
        try:
            status, stays = await ask(*pair, data)
        except (OSError, asyncio.IncompleteReadError):
            self.failed["broken connection"] += 1
            return
        if status == 200:
            self.times.append(time.perf_counter() - began)
        else:
            self.failed[f"status {status}"] += 1
        if stays:
            self.free.append(pair)
        else:
            pair[1].close()

    def close(self) -> None:
        """Let go of the connections."""
        for _, writer in self.free:
            writer.close()


class Working(Server):
    """Answers after a server's work."""

    def done(self) -> None:
        asyncio.get_running_loop().call_later(WORK_S, super().done)


@dataclass(frozen=True, slots=True)
class Span:
    """One span at one rate: milliseconds at the median and the 99th percentile."""

    rate: float
    direct: tuple[float, float]
    through: tuple[float, float]
    cpu_us: float  # of door and workers, for a request
    control_percent: float  # supervisor, administration and fleet meanwhile, of a core
    requests: int
    failed: Counter[str]  # through the node
    direct_failed: Counter[str]

    @property
    def added(self) -> tuple[float, float]:
        """By the node, at the median and the 99th percentile."""
        return (self.through[0] - self.direct[0], self.through[1] - self.direct[1])


async def ask_both(direct: Target, through: Target, rate: float, seconds: float) -> None:
    """Each at this rate, half a period apart, whether answers have come or not."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    tasks: set[asyncio.Task[None]] = set()
    for n in range(int(2 * rate * seconds)):
        await asyncio.sleep(max(begin + n / (2 * rate) - loop.time(), 0))
        task = asyncio.create_task((direct, through)[n % 2].one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def middle(times: list[float]) -> tuple[float, float]:
    """Median and 99th percentile, in ms."""
    return 1000 * quantile(times, 0.5), 1000 * quantile(times, 0.99)


async def span(
    service: ServiceProcess, port: int, head: dict[str, str], rate: float, seconds: float, mark: str
) -> Span:
    """One rate, for so long."""
    direct = Target(port, head, f"d{mark}")
    through = Target(service.port, head, f"t{mark}")
    await direct.connect()
    await through.connect()
    await ask_both(direct, through, rate, WARM_S)
    direct.times.clear()
    through.times.clear()
    direct.failed.clear()
    through.failed.clear()
    before, began = processes.used(service), time.monotonic()
    await ask_both(direct, through, rate, seconds)
    took = time.monotonic() - began
    spent = {n: s - before[n] for n, s in processes.used(service).items()}
    path = sum(s for n, s in spent.items() if n == "door" or n.startswith("worker"))
    rest = sum(s for n, s in spent.items() if n in ("supervisor", "admin", "fleet"))
    direct.close()
    through.close()
    return Span(
        rate, middle(direct.times), middle(through.times), path * 1e6 / len(through.times),
        100 * rest / took, len(through.times), through.failed, direct.failed,
    )  # fmt: skip


async def spans(rates: list[float], seconds: float, rounds: int) -> list[list[Span]]:
    """Rounds of all rates, one tenant at work."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Working, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [int(s.sockets[0].getsockname()[1]) for s in servers]
    found: list[list[Span]] = []
    with processes.hosted(workers=1) as service:
        made = await asyncio.to_thread(
            tenant, service.operator(), "one", ports, limits=LIMITS
        )  # fmt: skip
        host, key = made
        head = {"Host": host, "X_Tenant_Id": "", "X_Tenant_Key": key}
        await asyncio.sleep(5.0)  # a home grants nothing before what it once granted is over
        for number in range(rounds):
            row = []
            for rate in rates:
                mark = f"{number}-{rate:.0f}-{os.getpid()}"
                row.append(await span(service, ports[0], head, rate, seconds, mark))
            found.append(row)
    for server in servers:
        server.close()
    return found


def finding_points(found: list[list[Span]], value: str, index: int | None = None) -> list[Point]:
    """For each rate the middle one of its rounds."""
    points = []
    for of_rate in zip(*found, strict=True):
        rows = [getattr(s, value) for s in of_rate]
        numbers = [r if index is None else r[index] for r in rows]
        points.append(Point(of_rate[0].rate, statistics.median(numbers)))
    return points


def unserved(how: str, counts: list[Counter[str]]) -> list[Figure]:
    """Requests that were not served, by what came in place of an answer."""
    together: Counter[str] = Counter()
    for count in counts:
        together.update(count)
    rows = sorted(together.items()) or [("any reason", 0)]
    return [Figure(f"not served, {how}: {what}", n, "", Source.WHOLE) for what, n in rows]


def measure(quick: bool) -> Role:
    """One whole node at a quarter of the mean up to the busiest node's rate."""
    rates = [model.MEAN_REQUESTS / 2, model.MEAN_REQUESTS, 2 * model.MEAN_REQUESTS,
             model.PEAK_REQUESTS]  # fmt: skip
    seconds, rounds = (2.0, 1) if quick else (12.0, ROUNDS)
    loads = [os.getloadavg()[0]]
    found = asyncio.run(spans(rates, seconds, rounds))
    loads.append(os.getloadavg()[0])

    def series(name: str, what: str, resource: Resource, points: list[Point],
               limit: float | None = None) -> Series:  # fmt: skip
        note = f"load average meanwhile {loads[0]:.1f} to {loads[1]:.1f}"
        return Series(name, what, "requests a second", resource, Source.WHOLE, tuple(points),
                      model.PEAK_REQUESTS, limit, False, note=note)  # fmt: skip

    added = series("added_p99", "added at the 99th percentile", Resource.LATENCY,
                   finding_points(found, "added", 1), model.ADDED_MILLISECONDS)  # fmt: skip
    half = series("added_p50", "added at the median", Resource.LATENCY,
                  finding_points(found, "added", 0))  # fmt: skip
    direct = series("direct_p99", "a direct call at the 99th percentile", Resource.LATENCY,
                    finding_points(found, "direct", 1))  # fmt: skip
    cpu = series(
        "cpu",
        "door and worker",
        Resource.CPU_TIME,
        [Point(p.size, p.value / 1000) for p in finding_points(found, "cpu_us")],
    )
    control = series(
        "control",
        "supervisor, administration, fleet meanwhile, one tenant",
        Resource.CPU,
        finding_points(found, "control_percent"),
        model.CPU_PERCENT,
    )
    at_mean = [s for row in found for s in row if s.rate == model.MEAN_REQUESTS]
    worst = max(s.added[1] for s in at_mean)
    return Role(
        "data path",
        "what a node adds to a request, at the mean and at the busiest node",
        "connections and requests under way",
        "door, then the tenant's worker; both know what they decide by",
        "as today; a run on an idle machine has to confirm it, see the load average of this one",
        tuple(judge(s) for s in (added, half, direct, cpu, control)),
        (
            Effect(Event.ORDINARY_DAY, "a node that goes: its requests at each other node",
                   model.MEAN_REQUESTS / (model.NODES - 1), "a second more"),
            Effect(Event.RACK, "the same", model.MEAN_REQUESTS * model.NODES_PER_RACK
                   / (model.NODES - model.NODES_PER_RACK), "a second more"),
            Effect(Event.ZONE, "the same", model.MEAN_REQUESTS * model.NODES_PER_ZONE
                   / (model.NODES - model.NODES_PER_ZONE), "a second more"),
            Effect(Event.REGION, "callers of the region stay with its nodes; all of them elsewhere "
                   "would be", model.MEAN_REQUESTS * model.NODES_PER_REGION
                   / (model.NODES - model.NODES_PER_REGION), "a second more at each other"),
            Effect(Event.CONTROL_AWAY, "requests go on; a part of a limit ends after 1.8 s where "
                   "nobody deals it anew"),
        ),
        (
            Figure("requests through the node, all spans",
                   sum(s.requests for row in found for s in row), "", Source.WHOLE),
            *unserved("through the node", [s.failed for row in found for s in row]),
            *unserved("direct", [s.direct_failed for row in found for s in row]),
            Figure("added at the 99th percentile and the mean rate, worst of the rounds", worst,
                   "ms", Source.WHOLE),
        ),
    )  # fmt: skip
