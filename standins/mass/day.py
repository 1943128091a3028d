"""What a day is made of, drawn from a seed: sizes, rates, shares of traffic, troubles.

The ranges are those of the deployment that the project serves (its site file) and of the days
at full size as their page describes them: many nodes of very unlike traffic, as many servers,
more zones than two. Times and work in nanoseconds unless a name says otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from random import Random

from flinthatch import Effect, RequestClass, Settings
from standins.mass.clock import MS, SECOND
from standins.mass.listing import Terms
from standins.mass.servers import Build

KINDS = ("calm", "roll", "herd", "zone", "split", "join")


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of requests: its part of them, and its work."""

    spec: RequestClass
    share: float
    work: float
    cv: float

    def draw(self, rng: Random) -> int:
        """Lognormal work of this mean and coefficient of variation."""
        sigma2 = math.log(1.0 + self.cv * self.cv)
        return max(int(rng.lognormvariate(math.log(self.work) - sigma2 / 2, sigma2**0.5)), MS // 10)


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happens at `at`; `what` names a method of the fleet."""

    at: int
    what: str
    arg: float = 0.0
    span: int = 0


@dataclass(frozen=True, slots=True)
class Clients:
    retries: int = 1
    try_share: float = 0.85  # of the deadline, after which a try is given up
    backoff: int = 120 * MS
    honour: float = 0.9  # of refused ones stay away as long as they are told
    restless: float = 0.0  # part of clients that come again at once, and once more
    leaving: float = 0.0  # part of tries whose client closes its connection before its time


@dataclass(frozen=True, slots=True)
class Day:
    kind: str
    seed: int
    seconds: float
    zones: int
    node_zones: tuple[int, ...]
    node_shares: tuple[float, ...]  # of all traffic
    servers: tuple[tuple[int, Build], ...]  # zone and build of each
    rate: float  # first tries a second, over the whole fleet
    traffic: tuple[Traffic, ...]
    clients: Clients
    same: int  # one way within a zone
    cross: int
    client: int
    rtts: int  # of a handshake
    terms: Terms
    front_notice: int
    settings: Settings
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, to (seconds), times the rate
    lost_answers: float = 0.0  # part of answers that never arrive, within a cut
    resets: float = 0.0
    leave_grace: int = 100 * MS  # after its client's leaving an attempt may still begin
    events: tuple[Event, ...] = field(default=())

    def capacity(self) -> float:
        """Standard work a second that all servers do when warm, with no connections open."""
        return sum(b.cores * b.speed for _, b in self.servers)


# At full size the settings tell aims of a quarter and deadlines of a third of the brief's.
BALANCE = RequestClass("balance", 200 * MS, 670 * MS, Effect.PURE, value=1.0)
CREDIT = RequestClass("credit", 190 * MS, SECOND, Effect.SIDE_EFFECT, value=5.0)
WORK = 0.33  # of the brief's work, likewise: not told, but what the days' latencies show


def uneven(rng: Random, count: int, cv: float) -> list[float]:
    """Shares of unlike size that sum to 1: lognormal with this coefficient of variation."""
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    raw = [rng.lognormvariate(0.0, sigma) for _ in range(count)]
    total = sum(raw)
    return [x / total for x in raw]


def draw(
    kind: str,
    seed: int,
    nodes: int = 200,
    servers: int | None = None,
    seconds: float = 40.0,
    load: float | None = None,
    scale: float = WORK,
    zones: int | None = None,
) -> Day:
    """A day of this kind. ValueError where there is no such kind or a size is below 1."""
    if kind not in KINDS:
        raise ValueError(f"no day of kind {kind!r}: one of {', '.join(KINDS)}")
    if nodes < 1 or (servers is not None and servers < 1) or seconds <= 0 or scale <= 0:
        raise ValueError("a day needs at least one node, one server, and some seconds")
    rng = Random(f"{kind}-{seed}")
    count = servers if servers is not None else max(4, int(nodes * rng.uniform(0.5, 0.75)))
    drawn = rng.choice((2, 3, 4, 5))
    zones = min(zones or drawn, nodes, count)
    node_zones = tuple(i % zones for i in range(nodes))
    zone_part = uneven(rng, zones, rng.uniform(0.1, 0.3))
    cv = rng.uniform(0.5, 1.1)
    # Within a zone each node's part is its own; a zone's part is its clients'.
    shares = [0.0] * nodes
    for z in range(zones):
        mine = [i for i in range(nodes) if node_zones[i] == z]
        for i, part in zip(mine, uneven(rng, len(mine), cv), strict=True):
            shares[i] = zone_part[z] * part
    fall = 3 * SECOND // 2
    cold = int(rng.uniform(4.7, 8.3) * SECOND)
    base = Build(
        room=max(1, round(rng.uniform(1.1, 4.0))),
        connections=rng.randint(15, 19),
        tax=rng.uniform(0.19, 0.39),
        handshake=int(rng.uniform(1.5, 4.0) * MS * scale),
        cold_from=rng.uniform(0.31, 0.59),
        cold=cold,
        fall=fall,
        error_rate=rng.uniform(0.0, 0.001),
        cancels_running=rng.random() < 0.5,
        drops_expired=rng.random() < 0.5,
    )
    spread = rng.uniform(0.1, 0.23)
    rows = tuple(
        (i % zones, replace(base, speed=max(0.4, rng.gauss(1.0, spread)) * rng.uniform(0.9, 1.05)))
        for i in range(count)
    )
    balance = rng.uniform(0.52, 0.72)
    traffic = (
        Traffic(BALANCE, balance, rng.uniform(82, 150) * MS * scale, rng.uniform(0.8, 1.3)),
        Traffic(CREDIT, 1.0 - balance, rng.uniform(32, 57) * MS * scale, rng.uniform(0.98, 1.4)),
    )
    mean = sum(t.share * t.work for t in traffic)
    rows = tuple((zone, replace(build, mean_work=mean)) for zone, build in rows)
    power = sum(b.cores * b.speed for _, b in rows) * SECOND
    part = load if load is not None else rng.uniform(0.6, 0.75)
    clients = Clients(
        retries=rng.choice((0, 1, 1)),
        try_share=rng.uniform(0.7, 1.0),
        backoff=int(rng.uniform(40, 300) * MS),
        honour=rng.uniform(0.8, 1.0),
        restless=0.2 if kind == "join" else 0.0,
    )
    # At any scale the list can take one call from every node within some seconds.
    call_lines = rng.randint(29, 69)
    terms = Terms(
        lines_per_s=max(200.0, nodes * call_lines / rng.uniform(2.0, 8.0)),
        call_lines=call_lines,
        notice=int(rng.uniform(0.82, 5.0) * SECOND),
        silent_notice=int(rng.uniform(4.4, 9.0) * SECOND),
        spread=int(rng.uniform(100, 520) * MS),
    )
    settings = Settings(
        classes=tuple(t.spec for t in traffic),
        balancers=nodes,
        zones=zones,
        ask=True,
        ask_within=10 * SECOND,
        drain_grace=2 * SECOND,
        slow_start_fraction=0.31,
        slow_start=int(8.3 * SECOND),
        overload_factor=3.0,
        overload_window=fall,
        answer_slack=20 * MS,
        max_attempts=4,
        allow_hedging=True,
        can_cancel=True,
        can_probe=True,
        max_retry_after=2 * SECOND,
        connect_timeout=250 * MS,
        tick=MS,
    )
    burst = (0.0, 0.0, 1.0)
    if kind in ("calm", "herd"):
        start = rng.uniform(0.35, 0.5) * seconds
        burst = (start, start + min(rng.uniform(3.0, 8.0), seconds * 0.3), 1.5)
    return Day(
        kind=kind,
        seed=seed,
        seconds=seconds,
        zones=zones,
        node_zones=node_zones,
        node_shares=tuple(shares),
        servers=rows,
        rate=part * power / mean,
        traffic=traffic,
        clients=clients,
        same=int(rng.uniform(0.1, 0.35) * MS),
        cross=int(rng.uniform(2.8, 5.2) * MS),
        client=int(rng.uniform(0.2, 1.2) * MS),
        rtts=rng.randint(1, 2),
        terms=terms,
        front_notice=int(rng.uniform(1.2, 3.4) * SECOND),
        settings=settings,
        burst=burst,
        lost_answers=0.02 if kind == "split" else 0.0,
        resets=0.02 if kind == "split" else 0.0,
        events=troubles(kind, rng, seconds),
    )


def troubles(kind: str, rng: Random, seconds: float) -> tuple[Event, ...]:
    """What goes wrong, and when; `arg` is a part of the fleet, or a zone's turn."""

    def at(part: float) -> int:
        return int(part * seconds * SECOND)

    bad = Event(at(0.1), "slow" if rng.random() < 0.5 else "fail", 0.125)
    if kind == "calm":
        return (Event(at(0.7), "shift", 0.0),)
    if kind == "roll":
        steps = [Event(at(0.1 + 0.08 * i), "replace", 0.05, 2 * SECOND) for i in range(10)]
        starts = [Event(at(0.1 + 0.08 * i), "restart", i / 10.0, SECOND) for i in range(10)]
        return tuple(sorted(steps + starts, key=lambda e: (e.at, e.what, e.arg)))
    if kind == "herd":
        return (
            bad,
            Event(at(0.12), "list_down", float(rng.random() < 0.5), min(8 * SECOND, at(0.25))),
            Event(at(0.2), "replace", 0.25, 4 * SECOND),
            Event(at(0.5), "kill", 0.7, 2 * SECOND),
        )
    if kind == "zone":
        return (
            bad,
            Event(at(0.25), "lose", rng.random(), 5 * SECOND),
            Event(at(0.65), "isolate", rng.random(), 5 * SECOND),
        )
    if kind == "split":
        return (Event(at(0.3), "isolate", rng.random(), 6 * SECOND),)
    return (Event(at(0.28), "list_silent"), Event(at(0.3), "replace", 0.6, 7 * SECOND))
