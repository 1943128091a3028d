"""The data path of one node: what it adds to a request, beside a direct call in the same run.

One process asks a server directly and through the node in turn, by a clock of its own, so that what
this machine does to the caller it does to both. Each rate has as many requests as the 99th
percentile wants, in several rounds, every other one with the rates in reverse order. All rounds of
a rate are one sample, and the interval that so many leave open stands beside it.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from benchmarks.figures import quantile
from benchmarks.request_cost import Server
from benchmarks.scale import latency, model, processes
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Resource, Role, Series, Source
from benchmarks.tenants import tenant
from benchmarks.tenants_load import ask
from standins.platform import request
from standins.service import ServiceProcess

SERVERS = 4
CONNECTIONS = 16
WARM_S = 1.0
WORK_S = 0.005  # of a server, for each request
ROUNDS = 3  # of each rate
SAMPLES = 2_000  # through the node, of each rate and round: sixty beyond the 99th percentile in all
LEAST_S = 12.0  # of each rate and round
QUICK_SAMPLES, QUICK_LEAST_S = 0, 2.0
TAIL = 0.99
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
    """One span at one rate; latencies are milliseconds."""

    rate: float
    direct: list[float]
    through: list[float]
    cpu_us: float  # of door and workers, for a request
    control_percent: float  # supervisor, administration and fleet meanwhile, of a core
    failed: Counter[str]  # through the node
    direct_failed: Counter[str]


@dataclass(frozen=True, slots=True)
class AtRate:
    """All spans of one rate together."""

    rate: float
    direct: list[float]
    through: list[float]
    cpu_us: float  # the middle one
    control_percent: float  # the middle one

    def added(self, part: float) -> float:
        """By the node, at a quantile, in ms."""
        return latency.added(self.direct, self.through, part)

    def interval(self, part: float) -> tuple[float, float]:
        """Where `added` lies, as far as so many samples tell."""
        return latency.interval(self.direct, self.through, part)


def together(rows: list[Span]) -> AtRate:
    """The rounds of one rate."""
    return AtRate(
        rows[0].rate,
        [t for row in rows for t in row.direct],
        [t for row in rows for t in row.through],
        statistics.median(row.cpu_us for row in rows),
        statistics.median(row.control_percent for row in rows),
    )


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


def milliseconds(times: list[float]) -> list[float]:
    """Of seconds."""
    return [1000 * t for t in times]


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
        rate, milliseconds(direct.times), milliseconds(through.times),
        path * 1e6 / len(through.times), 100 * rest / took, through.failed, direct.failed,
    )  # fmt: skip


def order(rates: list[float], number: int) -> list[float]:
    """The rates of a round: of every other one in reverse, so that none is always the first."""
    return rates if number % 2 == 0 else rates[::-1]


async def spans(rates: list[float], samples: int, least_s: float, rounds: int) -> list[Span]:
    """Rounds of all rates, one tenant at work."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Working, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [int(s.sockets[0].getsockname()[1]) for s in servers]
    found: list[Span] = []
    with processes.hosted(workers=1) as service:
        made = await asyncio.to_thread(
            tenant, service.operator(), "one", ports, limits=LIMITS
        )  # fmt: skip
        host, key = made
        head = {"Host": host, "X_Tenant_Id": "", "X_Tenant_Key": key}
        await asyncio.sleep(5.0)  # a home grants nothing before what it once granted is over
        for number in range(rounds):
            for rate in order(rates, number):
                mark = f"{number}-{rate:.0f}-{os.getpid()}"
                seconds = max(least_s, samples / rate)
                found.append(await span(service, ports[0], head, rate, seconds, mark))
    for server in servers:
        server.close()
    return found


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
    samples, least_s = (QUICK_SAMPLES, QUICK_LEAST_S) if quick else (SAMPLES, LEAST_S)
    loads = [os.getloadavg()[0]]
    found = asyncio.run(spans(rates, samples, least_s, 1 if quick else ROUNDS))
    loads.append(os.getloadavg()[0])
    at = [together([span for span in found if span.rate == rate]) for rate in rates]
    load = f"load average meanwhile {loads[0]:.1f} to {loads[1]:.1f}"

    def series(name: str, what: str, resource: Resource, values: list[float],
               limit: float | None = None, more: str = "") -> Series:  # fmt: skip
        points = tuple(Point(a.rate, value) for a, value in zip(at, values, strict=True))
        return Series(name, what, "requests a second", resource, Source.WHOLE, points,
                      model.PEAK_REQUESTS, limit, False, note=load + more)  # fmt: skip

    sure = [a.interval(TAIL) for a in at]
    words = ", ".join(f"{low:.2f} to {high:.2f}" for low, high in sure)
    added = series("added_p99", "added at the 99th percentile", Resource.LATENCY,
                   [a.added(TAIL) for a in at], model.ADDED_MILLISECONDS,
                   f"; 95 in 100 resamples: {words} ms")  # fmt: skip
    at_mean = replace(added, name="added_p99_mean", expected=model.MEAN_REQUESTS,
                      what="the same at the mean rate")  # fmt: skip
    half = series("added_p50", "added at the median", Resource.LATENCY,
                  [a.added(0.5) for a in at])  # fmt: skip
    direct = series("direct_p99", "a direct call at the 99th percentile", Resource.LATENCY,
                    [quantile(a.direct, TAIL) for a in at])  # fmt: skip
    cpu = series(
        "cpu",
        "door and worker",
        Resource.CPU_TIME,
        [a.cpu_us / 1000 for a in at],
    )
    control = series(
        "control",
        "supervisor, administration, fleet meanwhile, one tenant",
        Resource.CPU,
        [a.control_percent for a in at],
        model.CPU_PERCENT,
    )
    return Role(
        "data path",
        "what a node adds to a request, at the mean and at the busiest node",
        "connections and requests under way",
        "door, then the tenant's worker; both know what they decide by",
        "as today at the busiest rate; at the mean and below it the 99th percentile is over its "
        "budget, and why is not known",
        tuple(judge(s) for s in (added, at_mean, half, direct, cpu, control)),
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
                   sum(len(s.through) for s in found), "", Source.WHOLE),
            *unserved("through the node", [s.failed for s in found]),
            *unserved("direct", [s.direct_failed for s in found]),
            *(Figure(f"added at the 99th percentile and {a.rate:.0f} requests a second, at most in "
                     f"95 of 100 resamples of {len(a.through)} requests", high, "ms", Source.WHOLE)
              for a, (_, high) in zip(at, sure, strict=True)),
        ),
    )  # fmt: skip
