"""Many instances on one simulated clock: the shipped pure rules, a lossy network, no process.

Each instance has a clock of its own rate. `Use` plays its workers: it takes what it may use, keeps
it in use for a while, and is what conservation is checked on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from tansywood.fleet.allocation import open_key, rate_key
from tansywood.fleet.instance import Demand, Instance
from tansywood.fleet.messages import Envelope
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import MS, SECOND, Terms


@dataclass
class Weather:
    """Of all links, unless one is cut."""

    delay: int = MS
    jitter: int = MS
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    late_by: int = 3 * SECOND


@dataclass
class Seat:
    """One instance in the world, and what its workers do."""

    name: str
    address: str
    rate: float  # of its clock
    offset: int
    instance: Instance | None = None
    paused: bool = False
    inbox: list[tuple[bytes, Envelope]] = field(default_factory=list)
    want: dict[str, int] = field(default_factory=dict)  # need by limit key
    told: dict[str, int] = field(default_factory=dict)  # what the workers go by
    until: int = 0  # by its own clock
    version: int = 0
    used: dict[str, int] = field(default_factory=dict)  # of rates: what is let through
    out: dict[str, list[int]] = field(default_factory=dict)  # of others: when each unit is free
    lives: int = 0
    bound: bool = True  # whether its workers heed the end of their parts


class World:
    """Instances by name; time is the world's, in nanoseconds."""

    def __init__(
        self,
        names: list[str],
        allocators: int,
        tenants: Mapping[str, Limits],
        seed: int,
        terms: Terms | None = None,
        clocks: Mapping[str, float] | None = None,
        hand_on: bool = False,
    ) -> None:
        """`hand_on`: slices are granted under leases, which `hand` moves at once: nothing passes
        between the moment at which one may no longer grant and that at which the other may."""
        self.rng = Random(seed)
        self.terms = terms or Terms()
        self.tenants = dict(tenants)
        self.weather = Weather()
        self.now = 0
        self.seats: dict[str, Seat] = {}
        self.by_address: dict[str, str] = {}
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.cut: set[tuple[str, str]] = set()
        self.sent: Counter[str] = Counter()
        self.first = [f"10.0.0.{i + 1}:7946" for i in range(allocators)]
        self.watch: Callable[[World], None] = lambda _world: None
        self.granted_by: dict[int, str] | None = None
        if hand_on:
            self.granted_by = {n: names[n] for n in range(allocators)}
        for i, name in enumerate(names):
            address = f"10.0.{i // 250}.{i % 250 + 1}:7946"
            rate = (clocks or {}).get(name, 1.0)
            self.seats[name] = Seat(name, address, rate, self.rng.randrange(1 << 40))
            self.by_address[address] = name

    # ---- time ------------------------------------------------------------------------------

    def clock(self, seat: Seat) -> int:
        return seat.offset + int(self.now * seat.rate)

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.heap, (when, self.count, what))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.heap and self.heap[0][0] <= end:
            when, _, what = heappop(self.heap)
            self.now = max(self.now, when)
            what()
        self.now = end

    # ---- lives -----------------------------------------------------------------------------

    def start(self, name: str) -> None:
        seat = self.seats[name]
        seat.lives += 1
        seat.paused = False
        seat.inbox.clear()
        seat.told.clear()
        seat.used.clear()
        seat.version = 0
        seat.until = 0
        now = self.clock(seat)
        seat.instance = made = Instance(
            name,
            seat.address,
            self.first,
            self.terms,
            Random(self.rng.random()),
            self.rng.randbytes(16),
            1 + seat.lives,
            now,
        )
        made.set_tenants(now, self.tenants)
        if self.granted_by is not None:
            granted_by = self.granted_by
            made.hand_on(lambda index: granted_by[index] == name)
            for index in [i for i, who in granted_by.items() if who == name]:
                made.start_allocating(now, index)
        self._wake(name, made)
        self._work(name, made)

    def hand(self, index: int, name: str) -> None:
        """An allocator's slice is another's to grant from now on."""
        assert self.granted_by is not None
        old, new = self.seats[self.granted_by[index]], self.seats[name]
        self.granted_by[index] = name
        if old.instance is not None and not old.paused:
            old.instance.stop_allocating(index)
        if new.instance is not None:
            new.instance.start_allocating(self.clock(new), index)

    def kill(self, name: str) -> None:
        """The process and its workers end: nothing of theirs is in use."""
        seat = self.seats[name]
        seat.instance = None
        seat.used.clear()
        seat.inbox.clear()

    def pause(self, name: str) -> None:
        self.seats[name].paused = True

    def go_on(self, name: str) -> None:
        """It wakes with all that came meanwhile, and acts on its old parts first."""
        seat = self.seats[name]
        seat.paused = False
        self._act(seat)
        inbox, seat.inbox = seat.inbox, []
        for life, envelope in inbox:
            if seat.instance is not None:
                seat.instance.receive(self.clock(seat), life, envelope)
        if seat.instance is not None:
            self._wake(name, seat.instance)
            self._work(name, seat.instance)

    def _wake(self, name: str, made: Instance) -> None:
        seat = self.seats[name]
        if seat.instance is not made or seat.paused:
            return
        made.tick(self.clock(seat))
        self.flush(name)
        due = int((made.next_due() - seat.offset) / seat.rate) + 1
        self.at(max(due, self.now + MS), lambda: self._wake(name, made))

    # ---- workers ---------------------------------------------------------------------------

    def _act(self, seat: Seat) -> None:
        """Use as much as is wanted and allowed; what is in use beyond that ends by itself."""
        over = seat.bound and self.clock(seat) >= seat.until
        for key, need in seat.want.items():
            part = seat.told.get(key, 0)
            if over and seat.instance is not None:
                part = seat.instance.floor(key)
            if key.endswith("/rate"):
                seat.used[key] = min(need, part)
                continue
            # A unit is taken under the part and is free again within its tail, whatever has
            # become of the part or of the process by then: the work is at a server.
            tail = self.tenants[key.partition("/")[0]].tail
            rows = [end for end in seat.out.get(key, ()) if end > self.now]
            while len(rows) < min(need, part):
                rows.append(self.now + int(self.rng.random() * tail / seat.rate))
            seat.out[key] = rows
        self.watch(self)

    def _work(self, name: str, made: Instance) -> None:
        seat = self.seats[name]
        if seat.instance is not made or seat.paused:
            return
        now = self.clock(seat)
        self._act(seat)
        hosted = {}
        busy = [p for p, need in seat.want.items() if need or any(seat.out.get(p, ()))]
        for tenant in sorted({key.partition("/")[0] for key in busy}):
            needs = {p: n for p, n in seat.want.items() if p.startswith(f"{tenant}/")}
            used = {p: len(seat.out.get(p, ())) for p in needs if not p.endswith("/rate")}
            hosted[tenant] = Demand("w", now, needs.get(rate_key(tenant), 0), needs, used)
        made.report(now, "w", seat.version, hosted, {})
        told = made.allocations(now, "w")
        seat.version = told["version"]
        for tenant, row in told["tenants"].items():
            seat.told[rate_key(tenant)] = row["rate"]
            seat.told[open_key(tenant)] = row["open"]
            for server, places in (row["places"] or {}).items():
                seat.told[f"{tenant}/at/{server}"] = places
            seat.until = now + row["left"]
        self._act(seat)
        self.flush(name)
        self.at(self.now + 100 * MS, lambda: self._work(name, made))

    # ---- the network -----------------------------------------------------------------------

    def flush(self, name: str) -> None:
        made = self.seats[name].instance
        if made is None:
            return
        sends, made.sends = made.sends, []
        made.fresh_events.clear()
        for address, envelope in sends:
            self.sent[type(envelope.body).__name__] += 1
            to = self.by_address.get(address)
            if to is None or (name, to) in self.cut or self.rng.random() < self.weather.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.weather.twice)):
                delay = self.weather.delay + int(self.rng.random() * self.weather.jitter)
                if self.rng.random() < self.weather.late:
                    delay += int(self.rng.random() * self.weather.late_by)
                life = made.life
                self.at(
                    self.now + delay,
                    lambda to=to, life=life, e=envelope: self._deliver(to, life, e),  # type: ignore[misc]
                )

    def _deliver(self, to: str, life: bytes, envelope: Envelope) -> None:
        seat = self.seats[to]
        if seat.instance is None:
            return
        if seat.paused:
            seat.inbox.append((life, envelope))
            return
        seat.instance.receive(self.clock(seat), life, envelope)
        self.flush(to)

    def split(self, some: list[str], both: bool = True) -> None:
        for a in some:
            for b in self.seats:
                if b not in some:
                    self.cut.add((a, b))
                    if both:
                        self.cut.add((b, a))

    def heal(self) -> None:
        self.cut.clear()

    # ---- what is looked at -----------------------------------------------------------------

    def in_use(self, key: str) -> int:
        """Over all instances, paused ones with what they had, and what dead ones left running."""
        if key.endswith("/rate"):
            lives = [s for s in self.seats.values() if s.instance is not None and not s.paused]
            return sum(s.used.get(key, 0) for s in lives)
        return sum(end > self.now for s in self.seats.values() for end in s.out.get(key, ()))

    def amounts(self, key: str) -> dict[str, int]:
        return {
            n: s.instance.amount(self.clock(s), key)
            for n, s in self.seats.items()
            if s.instance is not None and not s.paused
        }
