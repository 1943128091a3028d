"""One instance of the fleet: members, allocator, holder, signals and turns put together. Pure.

Told what comes and what time it is, it says what is to be sent (`sends`) and what happened
(`events`); `agent` puts it on sockets, the rig on a simulated network. It never reads a clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any
from zlib import crc32

from tansywood.fleet import turns
from tansywood.fleet.allocation import (
    Allocator,
    Holder,
    floor_of,
    open_key,
    places_key,
    rate_key,
    slice_of,
    tenant_of,
)
from tansywood.fleet.members import Event, Members, State
from tansywood.fleet.messages import (
    Body,
    Carried,
    Claim,
    Envelope,
    Grant,
    Hello,
    MemberUpdate,
    Return,
    Seen,
    Welcome,
)
from tansywood.fleet.share import Limits
from tansywood.fleet.signals import Kind, Signals
from tansywood.fleet.subsets import chosen, overlapped
from tansywood.fleet.terms import MS, SECOND, Terms

SILENT = SECOND  # a worker that says nothing for so long is not claimed for
RESTING = SECOND  # within which every tenant at rest is claimed for once
SOON = 20 * MS  # between two claims that were not due yet
ROWS_BYTES = 800  # of limits and evidence in one claim
ROW = 16  # bytes of a row besides its limit key
EVENTS = 500  # that are remembered
HELLO_AGAIN = 200 * MS
WAITING = 16  # messages for one whose life is not known yet ...
WAITS = 500 * MS  # ... that long
DOUBT_FOR = 2 * SECOND
SWEEP = SECOND
OVERLAP = SECOND  # both subsets are claimed for while one gives way to the other
NEAR = 3  # instances that may have taken over an allocator's slice
TOLD_PART = 0.2  # a tenant's rate that moves by less is no event


@dataclass(slots=True)
class Demand:
    """What a worker says of one tenant: what its callers ask for, and what is in use."""

    worker: str
    at: int
    rate: int = 0
    needs: dict[str, int] = field(default_factory=dict)  # by limit key
    used: dict[str, int] = field(default_factory=dict)


def allocator_lease(index: int) -> str:
    """The lease under which an allocator's slice is granted, where slices are handed on."""
    return f"home-{index}"


def split(need: int, allocators: Sequence[int], allocator: int, name: str, key: str) -> int:
    """Units of a need that are asked of one allocator; which ones are asked for the odd units
    differs by who asks."""
    if allocator not in allocators:
        return -(-need // max(len(allocators), 1))  # should it be back
    place = (allocators.index(allocator) - crc32(f"{name} {key}".encode())) % len(allocators)
    return need // len(allocators) + (place < need % len(allocators))


class Instance:
    """One life of one instance."""

    def __init__(
        self,
        name: str,
        address: str,
        allocators: Sequence[str],
        terms: Terms,
        rng: Random,
        life: bytes,
        born: int,
        now: int,
        zone: str = "",
        version: str = "",
    ) -> None:
        """`allocators` are the first addresses, the same and in the same order everywhere; `life`
        is 16 random bytes of this start, `born` its time as far as this machine knows (milliseconds
        of Unix time), which orders the lives of one name and nothing else."""
        self.name = name
        self.address = address
        self.allocator_addresses = tuple(allocators)
        self.terms = terms
        self.life = life
        self.sends: list[tuple[str, Envelope]] = []
        self.carried: list[tuple[str, bytes, bytes]] = []  # sender, its life, what it said
        self.events: deque[tuple[int, Event]] = deque(maxlen=EVENTS)
        self.fresh_events: list[Event] = []
        self.lives: dict[str, bytes] = {}  # by address, of those that have spoken to us
        self._hellos: dict[str, int] = {}
        self._waiting: dict[str, list[tuple[int, Body]]] = {}  # for a life to be known
        own = MemberUpdate(name, address, life, born, 0, State.ALIVE, False, version, zone)
        self.members = Members(own, allocators, rng, now, self._send)
        self.index = (
            self.allocator_addresses.index(address) if address in self.allocator_addresses else -1
        )
        self.allocators: dict[int, Allocator] = {}  # those whose slices are granted here, by index
        if self.index >= 0:
            self.allocators[self.index] = Allocator(terms, len(allocators), self.index, now)
        # Where slices are handed on, whether we may grant of one now; asked before every grant.
        self.may_grant: Callable[[int], bool] | None = None
        self.answered_by: dict[int, str] = {}  # who answered last, by allocator
        self.holder = Holder(terms, len(allocators))
        self.signals = Signals()
        self.tenants: dict[str, Limits] = {}
        self.limit_keys: dict[
            str, dict[str, tuple[int, int]]
        ] = {}  # by tenant: whole and tail of each
        self.floors: dict[str, int] = {}  # what we may use with nobody to ask, by limit key
        self.demands: dict[str, Demand] = {}
        self.seen: dict[str, tuple[Kind, int]] = {}
        self.doubts: dict[str, int] = {}  # server -> until when
        self.backs: dict[str, int] = {}  # the same, of those that answer others again
        self.counts = {"sent": 0, "received": 0, "stale": 0, "claims": 0, "grants": 0}
        self._next_claim = now + turns.phase(name, terms.round)
        self._last_claim = now - terms.round
        self._next_sweep = now + SWEEP
        self._resting: deque[str] = deque()
        self._left: dict[str, tuple[int, int]] = {}  # in use by dead workers' requests, until
        self._answered: dict[int, int] = {}  # when each allocator did last
        self._turn = 0  # of members that are asked whether they allocate
        self._known_rate: dict[str, int] = {}
        self._chosen: dict[str, tuple[object, list[str]]] = {}  # by what it was made of
        self._subsets: dict[str, tuple[list[str], list[str], int]] = {}
        self._now = now

    # ---- the network ------------------------------------------------------------------------

    def _send(self, address: str, body: Body) -> None:
        life = self.lives.get(address) or self.members.lives.get(address)
        if address == self.address:
            return
        if life is None:
            # Everything is said to one life: to whatever comes after it, it is worth nothing.
            # Until that is known it waits; dropped, first probes would be missed and first news
            # would count as told.
            waiting = self._waiting.setdefault(address, [])
            if not isinstance(body, Claim) and len(waiting) < WAITING:
                waiting.append((self._now, body))
            if self._now - self._hellos.get(address, -HELLO_AGAIN) >= HELLO_AGAIN:
                self._hellos[address] = self._now
                self._put(address, b"", Hello())
            return
        self._put(address, life, body)

    def _put(self, address: str, to: bytes, body: Body) -> None:
        self.counts["sent"] += 1
        self.sends.append((address, Envelope(self.name, self.address, to, body)))

    def carry(self, now: int, address: str, data: bytes) -> None:
        """Send something of another part; it may be lost like anything here."""
        self._now = now
        self._send(address, Carried(data))

    def receive(self, now: int, life: bytes, envelope: Envelope) -> None:
        """What the process of this life sent; that it did was proved by its seal."""
        self._now = now
        self.counts["received"] += 1
        address = envelope.address
        if envelope.to != self.life:
            # For nobody, or for who was here before us. It changes nothing here.
            if envelope.to:
                self.counts["stale"] += 1
            self._put(address, life, Welcome())
            return
        self.lives[address] = life
        for at, said in self._waiting.pop(address, ()):
            if now - at <= WAITS:
                self._put(address, life, said)
        body = envelope.body
        if isinstance(body, Claim):
            self._claimed(now, address, life, body)
        elif isinstance(body, Grant):
            self._granted(now, address, body)
        elif isinstance(body, Return):
            allocator = self.allocators.get(self.index if body.allocator < 0 else body.allocator)
            if allocator is not None:
                allocator.give_back(now, life, body.seq)
        elif isinstance(body, Carried):
            self.carried.append((envelope.sender, life, body.data))
        elif isinstance(body, Welcome):
            if address in self.allocator_addresses:
                self._soon(now)
            self._hellos.pop(address, None)
        else:
            self.members.receive(now, envelope.sender, address, body)
        self._collect(now)

    # ---- what the workers and the settings say ----------------------------------------------

    def set_tenants(self, now: int, tenants: Mapping[str, Limits]) -> None:
        """All tenants there are; an allocator grants by them, a holder claims by them."""
        self._now = now
        self.tenants = dict(tenants)
        self.limit_keys = {tenant: limits.by_key(tenant) for tenant, limits in tenants.items()}
        keys = {key: row for of_one in self.limit_keys.values() for key, row in of_one.items()}
        if self.index >= 0:
            self.floors = {
                key: floor_of(slice_of(key, whole, len(self.allocator_addresses), self.index))
                for key, (whole, _) in keys.items()
            }
        for allocator in self.allocators.values():
            for key, (whole, tail) in keys.items():
                allocator.set_whole(key, whole, tail)
            allocator.keep(keys, now)
        for tenant in [t for t in self.demands if t not in tenants]:
            del self.demands[tenant]
        self._resting = deque(sorted(tenants))
        self._soon(now)

    def hand_on(self, may_grant: Callable[[int], bool]) -> None:
        """Slices are granted by whoever `may_grant` says may, and by nobody else from now on."""
        self.may_grant = may_grant
        self.allocators.clear()

    def start_allocating(self, now: int, index: int) -> None:
        """Grant of an allocator's slice from now on, as one does that has just started: whatever
        was granted of it before is over first."""
        allocator = Allocator(self.terms, len(self.allocator_addresses), index, now)
        for of_one in self.limit_keys.values():
            for key, (whole, tail) in of_one.items():
                allocator.set_whole(key, whole, tail)
        self.allocators[index] = allocator
        self.members.events.append(
            Event(self.allocator_addresses[index], "dealt", "its slice is dealt here from now on")
        )
        self._soon(now)

    def stop_allocating(self, index: int) -> None:
        """What is out ends by itself."""
        if self.allocators.pop(index, None) is not None:
            self.members.events.append(
                Event(self.allocator_addresses[index], "dealt", "its slice is dealt here no more")
            )

    def _active_allocator(self, index: int) -> Allocator | None:
        """The allocator of this slice, where we may grant of it now."""
        if self.may_grant is not None and not self.may_grant(index):
            return None
        return self.allocators.get(index)

    def report(
        self,
        now: int,
        worker: str,
        version: int,
        hosted: Mapping[str, Demand],
        seen: Mapping[str, tuple[Kind, int]],
    ) -> None:
        """What a worker has at work, all of it, and the version of the parts that it goes by."""
        self._now = now
        for tenant in [t for t, d in self.demands.items() if d.worker == worker]:
            if tenant not in hosted:
                self._idle(now, tenant)
        for tenant, demand in hosted.items():
            known = self.demands.get(tenant)
            if known is not None and known.worker != worker and now - known.at <= SILENT:
                continue  # another has it and says so; this one keeps to its floor
            if tenant not in self.tenants:
                continue
            grown = known is None or any(
                need > known.needs.get(key, 0) for key, need in demand.needs.items()
            )
            self.demands[tenant] = demand
            for key in self.limit_keys[tenant]:
                self._confirm(now, key, demand.used.get(key, 0), version)
            if grown:
                self._soon(now)
        for server, (kind, _) in seen.items():
            if kind == Kind.OUT and self.seen.get(server, (Kind.GOOD, 0))[0] != Kind.OUT:
                row = turns.order(server, self.members.working())
                place = turns.place(server, row, self.name)
                first = "we try it first" if not place else f"{row[0]} tries it first"
                self.members.events.append(
                    Event(server, "turn", f"found out here; {first}, {place} are before us")
                )
        self.seen |= dict(seen)
        self._collect(now)

    def gone(self, now: int, worker: str) -> None:
        """A worker's process has ended. What it had out may still be at work at servers."""
        self._now = now
        for tenant in [t for t, d in self.demands.items() if d.worker == worker]:
            limits = self.tenants.get(tenant)
            if limits is not None:
                for key, used in self.demands[tenant].used.items():
                    # Its last word may be a moment old, and what it might use it may have used.
                    most = max(used, self.amount(now, key))
                    self._left[key] = (most, now + limits.tail)
            self._idle(now, tenant)

    def _idle(self, now: int, tenant: str) -> None:
        self.demands.pop(tenant, None)
        for key in self.limit_keys.get(tenant, ()):
            self._confirm(now, key, 0, self.holder.changed(key))

    def _confirm(self, now: int, key: str, used: int, version: int) -> None:
        """The workers go by this version and use so much; what dead ones left comes on top."""
        left, until = self._left.get(key, (0, 0))
        if until and now >= until:
            del self._left[key]
        elif until:
            used += left
        if self.holder.confirm(now, key, used - self.floor(key), version):
            self._soon(now)

    # ---- parts -------------------------------------------------------------------------------

    def floor(self, key: str) -> int:
        """What we may use with nobody to ask."""
        return self.floors.get(key, 0)

    def amount(self, now: int, key: str) -> int:
        """What we may use now, the floor included; not more than the whole."""
        whole, _ = self.limit_keys.get(tenant_of(key), {}).get(key, (0, 0))
        return min(self.holder.amount(now, key) + self.floor(key), whole)

    def allocations(self, now: int, worker: str) -> dict[str, Any]:
        """What a worker is told: amounts of the tenants that it has, and how long they hold."""
        told: dict[str, Any] = {}
        working = self.members.working()
        for tenant, demand in self.demands.items():
            if demand.worker != worker:
                continue
            limits = self.tenants[tenant]
            keys = self.limit_keys[tenant]
            amounts = {key: self.amount(now, key) for key in keys}
            ends = [self.holder.until(now, key) for key in keys if self.holder.amount(now, key)]
            told[tenant] = {
                "rate": amounts[rate_key(tenant)],
                "open": amounts[open_key(tenant)],
                "places": {s: amounts[places_key(tenant, s)] for s in limits.servers}
                if limits.places
                else None,
                "left": max(min(ends, default=now) - now, 0),
                "doubted": [s for s in limits.servers if self.doubts.get(f"{tenant}/{s}", 0) > now],
                "back": [s for s in limits.servers if self.backs.get(f"{tenant}/{s}", 0) > now],
                "tries": {
                    s: turns.wait(f"{tenant}/{s}", working, self.name)
                    for s in limits.servers
                    if self.seen.get(f"{tenant}/{s}", (Kind.GOOD, 0))[0] == Kind.OUT
                },
            }
        return {
            "version": self.holder.version,
            "instances": max(len(working), 1),
            "tenants": told,
        }

    def _claimed(self, now: int, address: str, life: bytes, claim: Claim) -> None:
        index = self.index if claim.allocator < 0 else claim.allocator
        allocator = self._active_allocator(index)
        if allocator is None:
            return
        self.signals.hear(now, life, claim.seen)
        entries = allocator.claim(now, life, claim)
        tenants = {tenant_of(row.key) for row in entries}
        self.counts["grants"] += 1
        doubted = self.signals.doubted(now, tenants)
        back = self.signals.back(now, claim.seen)
        self._put(address, life, Grant(claim.seq, entries, doubted[:64], back, index))

    def _granted(self, now: int, address: str, grant: Grant) -> None:
        if grant.allocator >= 0 and self.may_grant is not None:
            allocator = grant.allocator
        elif address in self.allocator_addresses:
            allocator = self.allocator_addresses.index(address)
        else:
            return
        if allocator >= len(self.allocator_addresses):
            return
        if self.holder.granted(now, allocator, grant):
            self._answered[allocator] = now
            self.answered_by[allocator] = address
        for server in grant.doubted:
            if self.doubts.get(server, 0) <= now:
                why = f"{address} hears that several find it out"
                self.members.events.append(Event(server, "doubted", why))
            self.doubts[server] = now + DOUBT_FOR
        for server in grant.back:
            self.backs[server] = now + DOUBT_FOR // 4
        self._confirm_idle(now, (row.key for row in grant.entries))

    def _confirm_idle(self, now: int, keys: Iterable[str]) -> None:
        for key in keys:
            if tenant_of(key) not in self.demands:
                self._confirm(now, key, 0, self.holder.changed(key))

    def _soon(self, now: int) -> None:
        self._next_claim = min(self._next_claim, max(now, self._last_claim + SOON))

    def _needs(self, now: int) -> dict[str, int]:
        """Every limit to claim in this round, with the need in units."""
        needs: dict[str, int] = {}
        for tenant, demand in self.demands.items():
            if now - demand.at > SILENT:
                continue  # stopped, perhaps: what it has ends by itself
            limits = self.tenants[tenant]
            ours = self.subset(now, tenant)
            for key in self.limit_keys[tenant]:
                needs[key] = max(demand.needs.get(key, 0) - self.floor(key), 0)
            if limits.places:
                # Places elsewhere are only taken where nobody else wants them.
                needs |= {places_key(tenant, s): 0 for s in limits.servers if s not in ours}
        count = -(-len(self._resting) * self.terms.round // RESTING)
        for _ in range(min(count, len(self._resting))):
            tenant = self._resting[0]
            self._resting.rotate(-1)
            if tenant not in self.demands and not self.members.own.drains:
                needs |= {rate_key(tenant): 0, open_key(tenant): 0}
        return needs

    def subset(self, now: int, tenant: str) -> list[str]:
        """The servers of a tenant whose places this instance asks for; the old ones besides,
        while a change goes through."""
        limits = self.tenants[tenant]
        members = tuple(self.members.working())
        key = (members, limits.servers, limits.places)
        known = self._chosen.get(tenant)
        if known is None or known[0] != key:
            weights = dict.fromkeys(limits.servers, 1.0)
            known = self._chosen[tenant] = (key, chosen(self.name, members, weights, limits.places))
        new = known[1]
        old, last, since = self._subsets.get(tenant, (new, new, now - OVERLAP))
        if last != new:
            old, since = last, now
        self._subsets[tenant] = (old, new, since)
        return overlapped(old, new, since, now, OVERLAP)

    def _claim_all(self, now: int) -> None:
        self._last_claim = now
        self._next_claim = now + self.terms.round
        needs = list(self._needs(now).items())
        seen = [
            Seen(server, int(kind), now - at)
            for server, (kind, at) in self.seen.items()
            if now - at <= 2 * SECOND
        ]
        # A need is split over the allocators that answer: each would grant for the whole of it,
        # and allocations would not follow needs at all.
        asked = [
            h
            for h in range(len(self.allocator_addresses))
            if now - self._answered.get(h, -self.terms.length) < self.terms.length
        ] or list(range(len(self.allocator_addresses)))
        while needs or seen:
            row: dict[str, int] = {}
            size = 0
            while needs and len(row) < 64 and size < ROWS_BYTES:
                key, need = needs.pop()
                row[key] = need
                size += len(key) + ROW
            some: list[Seen] = []
            while seen and len(some) < 64 and size < ROWS_BYTES:
                some.append(seen.pop())
                size += len(some[-1].server) + ROW
            for allocator in range(len(self.allocator_addresses)):
                wants = {
                    key: split(need, asked, allocator, self.name, key) for key, need in row.items()
                }
                self._claim(now, allocator, wants, some)

    def _addresses_to_ask(self, now: int, index: int) -> list[str]:
        """Whom to ask for a slice: its allocator, unless slices are handed on and another
        answers for it. Where nobody does, whoever may have taken it over."""
        if self.may_grant is None:
            return [self.allocator_addresses[index]]
        if now - self._answered.get(index, -self.terms.length) < self.terms.length:
            return [self.answered_by[index]]
        # The first few for its lease, as they ask for it; and all others in turn, for whoever has
        # another view of the members may hold it.
        rows = self.members.rows
        ranked = turns.order(allocator_lease(index), self.members.working())
        self._turn += 1
        some = [*ranked[:NEAR], ranked[self._turn % len(ranked)]] if ranked else []
        return list(
            dict.fromkeys(
                [self.allocator_addresses[index], *(rows[n].update.address for n in some)]
            )
        )

    def _claim(self, now: int, allocator: int, row: dict[str, int], seen: list[Seen]) -> None:
        claim: Claim | None = None
        for address in self._addresses_to_ask(now, allocator):
            if address == self.address:
                ours = self._active_allocator(allocator)
                if ours is None:
                    continue
                claim = claim or self.holder.claim(now, allocator, row, seen)
                self.signals.hear(now, self.life, seen)
                entries = ours.claim(now, self.life, claim)
                doubted = self.signals.doubted(now, {tenant_of(key) for key in row})
                back = self.signals.back(now, seen)
                self._granted(
                    now, address, Grant(claim.seq, entries, doubted[:64], back, allocator)
                )
            elif address in self.lives or address in self.members.lives:
                self.counts["claims"] += 1
                claim = claim or self.holder.claim(now, allocator, row, seen)
                self._send(address, claim)
            else:
                self._send(address, Hello())

    # ---- time --------------------------------------------------------------------------------

    def next_due(self) -> int:
        return min(self._next_claim, self.members.next_due(), self._next_sweep)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        self._now = now
        if now >= self.members.next_due():
            self.members.tick(now)
        if now >= self._next_claim and not self.members.left:
            self._claim_all(now)
        if now >= self._next_sweep:
            self._sweep(now)
        self._collect(now)

    def _sweep(self, now: int) -> None:
        self._next_sweep = now + SWEEP
        self.signals.sweep(now)
        self.doubts = {s: until for s, until in self.doubts.items() if until > now}
        self.backs = {s: until for s, until in self.backs.items() if until > now}
        self.seen = {s: row for s, row in self.seen.items() if now - row[1] <= 10 * SECOND}
        for address, rows in list(self._waiting.items()):
            self._waiting[address] = [row for row in rows if now - row[0] <= WAITS]
            if not self._waiting[address]:
                del self._waiting[address]
        there = {m.update.address for m in self.members.rows.values()} | set(
            self.allocator_addresses
        )
        for address in [a for a in self.lives if a not in there]:
            del self.lives[address]
        for tenant, limits in self.tenants.items():
            rate = self.amount(now, rate_key(tenant))
            known = self._known_rate.get(tenant)
            if known is None or abs(rate - known) > TOLD_PART * max(limits.rate, 1):
                self._known_rate[tenant] = rate
                if known is not None:
                    what = f"{known / 1000:g} to {rate / 1000:g} of {limits.rate / 1000:g} a second"
                    self.members.events.append(Event(tenant, "share", what))
        for key in list(self.holder._held):
            if tenant_of(key) not in self.tenants:
                self.holder.forget(now, key)

    def _collect(self, now: int) -> None:
        for event in self.members.events:
            self.events.append((now, event))
            self.fresh_events.append(event)
        self.members.events.clear()

    def drain(self, now: int) -> None:
        self._now = now
        self.members.drain(now)
        self._collect(now)

    def leave(self, now: int) -> None:
        """At the end: what we hold is free at once, unless requests of a worker that died may
        still be at work at servers; then it ends by itself."""
        self._now = now
        left = [key for key, (used, until) in self._left.items() if used and now < until]
        for allocator, address in enumerate(self.allocator_addresses):
            self.holder.seqs[allocator] += 1
            if address == self.address or left or self.demands:
                continue
            for _ in range(2):  # nobody is there to send it again
                to = self.answered_by.get(allocator, address) if self.may_grant else address
                self._send(to, Return(self.holder.seqs[allocator], allocator))
                self.holder.seqs[allocator] += 1
        self.members.leave(now)
        self._collect(now)

    # ---- telling people ----------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Of JSON's types."""
        members = []
        for name, m in sorted(self.members.rows.items()):
            r = m.update
            members.append(
                {
                    "name": name,
                    "address": r.address,
                    "state": "drains" if r.drains and m.there else m.state.name.lower(),
                    "for_s": round((now - m.since) / SECOND, 1),
                    "incarnation": r.incarnation,
                    "zone": r.zone,
                    "version": r.version,
                    "home": r.address in self.allocator_addresses,
                    "ours": name == self.name,
                }
            )
        shares = {}
        for tenant, limits in sorted(self.tenants.items()):
            rate = self.amount(now, rate_key(tenant))
            row = {
                "rate_per_s": rate / 1000,
                "of_rate_per_s": limits.rate / 1000,
                "open": self.amount(now, open_key(tenant)),
                "of_open": limits.open,
                "floor_rate_per_s": self.floor(rate_key(tenant)) / 1000,
                "asked_per_s": self.demands[tenant].rate / 1000 if tenant in self.demands else 0.0,
                "doubted": [s for s in limits.servers if self.doubts.get(f"{tenant}/{s}", 0) > now],
            }
            if limits.places:
                row["places"] = {s: self.amount(now, places_key(tenant, s)) for s in limits.servers}
                row["of_places"] = limits.places
            shares[tenant] = row
        return {
            "name": self.name,
            "address": self.address,
            "homes": list(self.allocator_addresses),
            "deals": [
                self.allocator_addresses[i]
                for i in sorted(self.allocators)
                if self._active_allocator(i)
            ],
            "conflict": self.members.conflict,
            "members": members,
            "shares": shares,
            "counts": dict(self.counts) | {"false_alarms": self.members.false_alarms},
            "events": [
                {
                    "ago_s": round((now - at) / SECOND, 1),
                    "name": e.name,
                    "what": e.what,
                    "why": e.why,
                }
                for at, e in self.events
            ],
        }
