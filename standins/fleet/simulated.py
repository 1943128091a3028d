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
from tansywood.fleet.demands import Demand
from tansywood.fleet.instance import Instance
from tansywood.fleet.messages import Envelope
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import MS, SECOND, GrantTerms


@dataclass
class NetworkConditions:
    """Of all links, unless one is cut: nanoseconds, and parts of all datagrams."""

    delay: int = MS
    jitter: int = MS
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    late_by: int = 3 * SECOND


@dataclass
class SimulatedHost:
    """One instance in the world, its clock, and what its workers do."""

    name: str
    address: str
    rate: float  # of its clock
    offset: int
    instance: Instance | None = None
    paused: bool = False
    inbox: list[tuple[bytes, Envelope]] = field(default_factory=list)
    needs: dict[str, int] = field(default_factory=dict)  # by limit key
    told: dict[str, int] = field(default_factory=dict)  # what the workers go by
    until: int = 0  # by its own clock
    version: int = 0
    used: dict[str, int] = field(default_factory=dict)  # of rates: what is let through
    out: dict[str, list[int]] = field(default_factory=dict)  # of others: when each unit is free
    lives: int = 0
    bound: bool = True  # whether its workers heed the end of their parts
    said: dict[str, Demand] = field(default_factory=dict)  # by tenant, what was told last

    def demand(self, now: int, tenant: str, needs: dict[str, int], used: dict[str, int]) -> Demand:
        """What its worker says of a tenant: the same again where nothing has changed."""
        made = Demand("w", now, needs.get(rate_key(tenant), 0), needs, used)
        last = self.said.get(tenant)
        if last is not None and (last.needs, last.used) == (needs, used):
            last.at = now
            return last
        self.said[tenant] = made
        return made


class World:
    """Instances by name; time is the world's, in nanoseconds."""

    def __init__(
        self,
        names: list[str],
        allocators: int,
        tenants: Mapping[str, Limits],
        seed: int,
        terms: GrantTerms | None = None,
        clocks: Mapping[str, float] | None = None,
        hand_on: bool = False,
    ) -> None:
        """`hand_on`: slices are granted under leases, which `hand` moves at once: nothing passes
        between the moment at which one may no longer grant and that at which the other may."""
        self.rng = Random(seed)
        self.terms = terms or GrantTerms()
        self.tenants = dict(tenants)
        self.conditions = NetworkConditions()
        self.now = 0
        self.hosts: dict[str, SimulatedHost] = {}
        self.by_address: dict[str, str] = {}
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.cut: set[tuple[str, str]] = set()
        self.sent: Counter[str] = Counter()
        self.first = [f"10.0.0.{i + 1}:7946" for i in range(allocators)]
        self.watch: Callable[[World], None] = lambda _world: None
        self.granted_by: dict[int, str] | None = None
        self.keeps = False  # whether workers keep tenants that nobody asks for
        if hand_on:
            self.granted_by = {n: names[n] for n in range(allocators)}
        for i, name in enumerate(names):
            address = f"10.0.{i // 250}.{i % 250 + 1}:7946"
            rate = (clocks or {}).get(name, 1.0)
            self.hosts[name] = SimulatedHost(name, address, rate, self.rng.randrange(1 << 40))
            self.by_address[address] = name

    # ---- time ------------------------------------------------------------------------------

    def clock(self, host: SimulatedHost) -> int:
        return host.offset + int(self.now * host.rate)

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
        host = self.hosts[name]
        host.lives += 1
        host.paused = False
        host.inbox.clear()
        host.told.clear()
        host.said.clear()
        host.used.clear()
        host.version = 0
        host.until = 0
        now = self.clock(host)
        host.instance = made = Instance(
            name,
            host.address,
            self.first,
            self.terms,
            Random(self.rng.random()),
            self.rng.randbytes(16),
            1 + host.lives,
            now,
        )
        made.set_tenants(now, self.tenants)
        if self.granted_by is not None:
            granted_by = self.granted_by
            made.grant_under_leases(lambda index: granted_by[index] == name)
            for index in [i for i, who in granted_by.items() if who == name]:
                made.start_allocating(now, index)
        self._wake(name, made)
        self._work(name, made)

    def hand(self, index: int, name: str) -> None:
        """An allocator's slice is another's to grant from now on."""
        assert self.granted_by is not None
        old, new = self.hosts[self.granted_by[index]], self.hosts[name]
        self.granted_by[index] = name
        if old.instance is not None and not old.paused:
            old.instance.stop_allocating(index)
        if new.instance is not None:
            new.instance.start_allocating(self.clock(new), index)

    def kill(self, name: str) -> None:
        """The process and its workers end: nothing of theirs is in use."""
        host = self.hosts[name]
        host.instance = None
        host.used.clear()
        host.inbox.clear()

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def go_on(self, name: str) -> None:
        """It wakes with all that came meanwhile, and acts on its old parts first."""
        host = self.hosts[name]
        host.paused = False
        self._act(host)
        inbox, host.inbox = host.inbox, []
        for life, envelope in inbox:
            if host.instance is not None:
                host.instance.receive(self.clock(host), life, envelope)
        if host.instance is not None:
            self._wake(name, host.instance)
            self._work(name, host.instance)

    def _wake(self, name: str, made: Instance) -> None:
        host = self.hosts[name]
        if host.instance is not made or host.paused:
            return
        made.tick(self.clock(host))
        self.flush(name)
        due = int((made.next_due() - host.offset) / host.rate) + 1
        self.at(max(due, self.now + MS), lambda: self._wake(name, made))

    # ---- workers ---------------------------------------------------------------------------

    def _act(self, host: SimulatedHost) -> None:
        """Use as much as is wanted and allowed; what is in use beyond that ends by itself."""
        over = host.bound and self.clock(host) >= host.until
        for key, need in host.needs.items():
            part = host.told.get(key, 0)
            if over and host.instance is not None:
                part = host.instance.floor(key)
            if key.endswith("/rate"):
                host.used[key] = min(need, part)
                continue
            # A unit is taken under the part and is free again within its tail, whatever has
            # become of the part or of the process by then: the work is at a server.
            tail = self.tenants[key.partition("/")[0]].tail
            rows = [end for end in host.out.get(key, ()) if end > self.now]
            while len(rows) < min(need, part):
                rows.append(self.now + int(self.rng.random() * tail / host.rate))
            host.out[key] = rows
        self.watch(self)

    def _work(self, name: str, made: Instance) -> None:
        host = self.hosts[name]
        if host.instance is not made or host.paused:
            return
        now = self.clock(host)
        self._act(host)
        hosted = {}
        busy = [p for p, need in host.needs.items() if need or any(host.out.get(p, ()))]
        if self.keeps:
            busy = list(host.needs)
        for tenant in sorted({key.partition("/")[0] for key in busy}):
            needs = {p: n for p, n in host.needs.items() if p.startswith(f"{tenant}/")}
            used = {p: len(host.out.get(p, ())) for p in needs if not p.endswith("/rate")}
            hosted[tenant] = host.demand(now, tenant, needs, used)
        made.report(now, "w", host.version, hosted, {})
        told = made.allocations(now, "w")
        host.version = told["version"]
        for tenant, row in told["tenants"].items():
            host.told[rate_key(tenant)] = row["rate"]
            host.told[open_key(tenant)] = row["open"]
            for server, places in (row["places"] or {}).items():
                host.told[f"{tenant}/at/{server}"] = places
            host.until = now + row["left"]
        self._act(host)
        self.flush(name)
        self.at(self.now + 100 * MS, lambda: self._work(name, made))

    # ---- the network -----------------------------------------------------------------------

    def flush(self, name: str) -> None:
        made = self.hosts[name].instance
        if made is None:
            return
        made.events.take_fresh()
        for address, envelope in made.take_sends():
            self.sent[type(envelope.body).__name__] += 1
            to = self.by_address.get(address)
            if to is None or (name, to) in self.cut or self.rng.random() < self.conditions.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.conditions.twice)):
                delay = self.conditions.delay + int(self.rng.random() * self.conditions.jitter)
                if self.rng.random() < self.conditions.late:
                    delay += int(self.rng.random() * self.conditions.late_by)
                life = made.life
                self.at(
                    self.now + delay,
                    lambda to=to, life=life, e=envelope: self._deliver(to, life, e),  # type: ignore[misc]
                )

    def _deliver(self, to: str, life: bytes, envelope: Envelope) -> None:
        host = self.hosts[to]
        if host.instance is None:
            return
        if host.paused:
            host.inbox.append((life, envelope))
            return
        host.instance.receive(self.clock(host), life, envelope)
        self.flush(to)

    def split(self, some: list[str], both: bool = True) -> None:
        for a in some:
            for b in self.hosts:
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
            lives = [s for s in self.hosts.values() if s.instance is not None and not s.paused]
            return sum(s.used.get(key, 0) for s in lives)
        return sum(end > self.now for s in self.hosts.values() for end in s.out.get(key, ()))

    def amounts(self, key: str) -> dict[str, int]:
        return {
            n: s.instance.amount(self.clock(s), key)
            for n, s in self.hosts.items()
            if s.instance is not None and not s.paused
        }
