"""One instance of the fleet: members, home, holder, signals and turns put together. Pure.

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
from tansywood.fleet.members import Event, Members, State
from tansywood.fleet.messages import (
    Body,
    Carried,
    Claim,
    Envelope,
    Grant,
    Hello,
    Return,
    Rumour,
    Seen,
    Welcome,
)
from tansywood.fleet.parts import (
    Holder,
    Home,
    floor_of,
    open_pot,
    place_pot,
    rate_pot,
    slice_of,
    tenant_of,
)
from tansywood.fleet.share import Limits
from tansywood.fleet.signals import Kind, Signals
from tansywood.fleet.subsets import chosen, overlapped
from tansywood.fleet.terms import MS, SECOND, Terms

SILENT = SECOND  # a worker that says nothing for so long is not claimed for
RESTING = SECOND  # within which every tenant at rest is claimed for once
SOON = 20 * MS  # between two claims that were not due yet
ROWS_BYTES = 800  # of pots and evidence in one claim
ROW = 16  # bytes of a row besides its pot's name
EVENTS = 500  # that are remembered
HELLO_AGAIN = 200 * MS
WAITING = 16  # messages for one whose life is not known yet ...
WAITS = 500 * MS  # ... that long
DOUBT_FOR = 2 * SECOND
SWEEP = SECOND
OVERLAP = SECOND  # both subsets are claimed for while one gives way to the other
NEAR = 3  # instances that may have taken over a home's slice
TOLD_PART = 0.2  # a tenant's rate that moves by less is no event


@dataclass(slots=True)
class Demand:
    """What a worker says of one tenant: what its callers ask for, and what is in use."""

    worker: str
    at: int
    rate: int = 0
    needs: dict[str, int] = field(default_factory=dict)  # by pot
    used: dict[str, int] = field(default_factory=dict)


def home_lease(index: int) -> str:
    """The lease under which a home's slice is dealt, where slices are handed on."""
    return f"home-{index}"


def split(need: int, homes: Sequence[int], home: int, name: str, pot: str) -> int:
    """What of a need is asked of one home; the odd units of homes that differ by who asks."""
    if home not in homes:
        return -(-need // max(len(homes), 1))  # should it be back
    place = (homes.index(home) - crc32(f"{name} {pot}".encode())) % len(homes)
    return need // len(homes) + (place < need % len(homes))


class Instance:
    """One life of one instance."""

    def __init__(
        self,
        name: str,
        address: str,
        homes: Sequence[str],
        terms: Terms,
        rng: Random,
        life: bytes,
        born: int,
        now: int,
        zone: str = "",
        version: str = "",
    ) -> None:
        """`homes` are the first addresses, the same and in the same order everywhere; `life` is
        16 random bytes of this start, `born` its time as far as this machine knows (milliseconds
        of Unix time), which orders the lives of one name and nothing else."""
        self.name = name
        self.address = address
        self.homes = tuple(homes)
        self.terms = terms
        self.life = life
        self.sends: list[tuple[str, Envelope]] = []
        self.carried: list[tuple[str, bytes, bytes]] = []  # sender, its life, what it said
        self.events: deque[tuple[int, Event]] = deque(maxlen=EVENTS)
        self.fresh_events: list[Event] = []
        self.lives: dict[str, bytes] = {}  # by address, of those that have spoken to us
        self._hellos: dict[str, int] = {}
        self._waiting: dict[str, list[tuple[int, Body]]] = {}  # for a life to be known
        own = Rumour(name, address, life, born, 0, State.ALIVE, False, version, zone)
        self.members = Members(own, homes, rng, now, self._send)
        self.index = self.homes.index(address) if address in self.homes else -1
        self.deals: dict[int, Home] = {}  # the slices that we deal, by home
        if self.index >= 0:
            self.deals[self.index] = Home(terms, len(homes), self.index, now)
        # Where slices are handed on, whether we may deal one now; asked before every grant.
        self.may_deal: Callable[[int], bool] | None = None
        self.dealers: dict[int, str] = {}  # who answered last for a home that is handed on
        self.holder = Holder(terms, len(homes))
        self.signals = Signals()
        self.tenants: dict[str, Limits] = {}
        self.pots: dict[str, dict[str, tuple[int, int]]] = {}  # by tenant: whole and tail of each
        self.floors: dict[str, int] = {}  # what we may use with nobody to ask, by pot
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
        self._answered: dict[int, int] = {}  # when each home did last
        self._turn = 0  # of members that are asked whether they deal
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
            home = self.deals.get(self.index if body.home < 0 else body.home)
            if home is not None:
                home.give_back(now, life, body.seq)
        elif isinstance(body, Carried):
            self.carried.append((envelope.sender, life, body.data))
        elif isinstance(body, Welcome):
            if address in self.homes:
                self._soon(now)
            self._hellos.pop(address, None)
        else:
            self.members.receive(now, envelope.sender, address, body)
        self._collect(now)

    # ---- what the workers and the settings say ----------------------------------------------

    def set_tenants(self, now: int, tenants: Mapping[str, Limits]) -> None:
        """All tenants there are; a home deals by them, a holder claims by them."""
        self._now = now
        self.tenants = dict(tenants)
        self.pots = {tenant: limits.pots(tenant) for tenant, limits in tenants.items()}
        pots = {pot: row for of_one in self.pots.values() for pot, row in of_one.items()}
        if self.index >= 0:
            self.floors = {
                pot: floor_of(slice_of(pot, whole, len(self.homes), self.index))
                for pot, (whole, _) in pots.items()
            }
        for home in self.deals.values():
            for pot, (whole, tail) in pots.items():
                home.set_whole(pot, whole, tail)
            home.keep(pots, now)
        for tenant in [t for t in self.demands if t not in tenants]:
            del self.demands[tenant]
        self._resting = deque(sorted(tenants))
        self._soon(now)

    def hand_on(self, may_deal: Callable[[int], bool]) -> None:
        """Slices are dealt by whoever `may_deal` says may, and by nobody else from now on."""
        self.may_deal = may_deal
        self.deals.clear()

    def deal_for(self, now: int, index: int) -> None:
        """Deal a home's slice from now on, as a home does that has just started: whatever was
        granted of it before is over first."""
        home = Home(self.terms, len(self.homes), index, now)
        for of_one in self.pots.values():
            for pot, (whole, tail) in of_one.items():
                home.set_whole(pot, whole, tail)
        self.deals[index] = home
        self.members.events.append(
            Event(self.homes[index], "dealt", "its slice is dealt here from now on")
        )
        self._soon(now)

    def deal_no_more(self, index: int) -> None:
        """What is out ends by itself."""
        if self.deals.pop(index, None) is not None:
            self.members.events.append(
                Event(self.homes[index], "dealt", "its slice is dealt here no more")
            )

    def _dealt_here(self, index: int) -> Home | None:
        """The home whose slice we may deal now."""
        if self.may_deal is not None and not self.may_deal(index):
            return None
        return self.deals.get(index)

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
                need > known.needs.get(pot, 0) for pot, need in demand.needs.items()
            )
            self.demands[tenant] = demand
            for pot in self.pots[tenant]:
                self._confirm(now, pot, demand.used.get(pot, 0), version)
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
                for pot, used in self.demands[tenant].used.items():
                    # Its last word may be a moment old, and what it might use it may have used.
                    most = max(used, self.amount(now, pot))
                    self._left[pot] = (most, now + limits.tail)
            self._idle(now, tenant)

    def _idle(self, now: int, tenant: str) -> None:
        self.demands.pop(tenant, None)
        for pot in self.pots.get(tenant, ()):
            self._confirm(now, pot, 0, self.holder.changed(pot))

    def _confirm(self, now: int, pot: str, used: int, version: int) -> None:
        """The workers go by this version and use so much; what dead ones left comes on top."""
        left, until = self._left.get(pot, (0, 0))
        if until and now >= until:
            del self._left[pot]
        elif until:
            used += left
        if self.holder.confirm(now, pot, used - self.floor(pot), version):
            self._soon(now)

    # ---- parts -------------------------------------------------------------------------------

    def floor(self, pot: str) -> int:
        """What we may use with nobody to ask."""
        return self.floors.get(pot, 0)

    def amount(self, now: int, pot: str) -> int:
        """What we may use now, the floor included; not more than the whole."""
        whole, _ = self.pots.get(tenant_of(pot), {}).get(pot, (0, 0))
        return min(self.holder.amount(now, pot) + self.floor(pot), whole)

    def parts(self, now: int, worker: str) -> dict[str, Any]:
        """What a worker is told: amounts of the tenants that it has, and how long they hold."""
        told: dict[str, Any] = {}
        working = self.members.working()
        for tenant, demand in self.demands.items():
            if demand.worker != worker:
                continue
            limits = self.tenants[tenant]
            pots = self.pots[tenant]
            amounts = {pot: self.amount(now, pot) for pot in pots}
            ends = [self.holder.until(now, pot) for pot in pots if self.holder.amount(now, pot)]
            told[tenant] = {
                "rate": amounts[rate_pot(tenant)],
                "open": amounts[open_pot(tenant)],
                "places": {s: amounts[place_pot(tenant, s)] for s in limits.servers}
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
        index = self.index if claim.home < 0 else claim.home
        home = self._dealt_here(index)
        if home is None:
            return
        self.signals.hear(now, life, claim.seen)
        given = home.claim(now, life, claim)
        tenants = {tenant_of(row.pot) for row in given}
        self.counts["grants"] += 1
        doubted = self.signals.doubted(now, tenants)
        back = self.signals.back(now, claim.seen)
        self._put(address, life, Grant(claim.seq, given, doubted[:64], back, index))

    def _granted(self, now: int, address: str, grant: Grant) -> None:
        if grant.home >= 0 and self.may_deal is not None:
            home = grant.home
        elif address in self.homes:
            home = self.homes.index(address)
        else:
            return
        if home >= len(self.homes):
            return
        if self.holder.granted(now, home, grant):
            self._answered[home] = now
            self.dealers[home] = address
        for server in grant.doubted:
            if self.doubts.get(server, 0) <= now:
                why = f"{address} hears that several find it out"
                self.members.events.append(Event(server, "doubted", why))
            self.doubts[server] = now + DOUBT_FOR
        for server in grant.back:
            self.backs[server] = now + DOUBT_FOR // 4
        self._confirm_idle(now, (row.pot for row in grant.given))

    def _confirm_idle(self, now: int, pots: Iterable[str]) -> None:
        for pot in pots:
            if tenant_of(pot) not in self.demands:
                self._confirm(now, pot, 0, self.holder.changed(pot))

    def _soon(self, now: int) -> None:
        self._next_claim = min(self._next_claim, max(now, self._last_claim + SOON))

    def _needs(self, now: int) -> dict[str, int]:
        """Every pot to claim in this round."""
        needs: dict[str, int] = {}
        for tenant, demand in self.demands.items():
            if now - demand.at > SILENT:
                continue  # stopped, perhaps: what it has ends by itself
            limits = self.tenants[tenant]
            ours = self.subset(now, tenant)
            for pot in self.pots[tenant]:
                needs[pot] = max(demand.needs.get(pot, 0) - self.floor(pot), 0)
            if limits.places:
                # Places elsewhere are only taken where nobody else wants them.
                needs |= {place_pot(tenant, s): 0 for s in limits.servers if s not in ours}
        count = -(-len(self._resting) * self.terms.round // RESTING)
        for _ in range(min(count, len(self._resting))):
            tenant = self._resting[0]
            self._resting.rotate(-1)
            if tenant not in self.demands and not self.members.own.drains:
                needs |= {rate_pot(tenant): 0, open_pot(tenant): 0}
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

    def _claims(self, now: int) -> None:
        self._last_claim = now
        self._next_claim = now + self.terms.round
        needs = list(self._needs(now).items())
        seen = [
            Seen(server, int(kind), now - at)
            for server, (kind, at) in self.seen.items()
            if now - at <= 2 * SECOND
        ]
        # A need is split over the homes that answer: each would give for the whole of it, and
        # parts would not follow needs at all.
        asked = [
            h
            for h in range(len(self.homes))
            if now - self._answered.get(h, -self.terms.length) < self.terms.length
        ] or list(range(len(self.homes)))
        while needs or seen:
            row: dict[str, int] = {}
            size = 0
            while needs and len(row) < 64 and size < ROWS_BYTES:
                pot, need = needs.pop()
                row[pot] = need
                size += len(pot) + ROW
            some: list[Seen] = []
            while seen and len(some) < 64 and size < ROWS_BYTES:
                some.append(seen.pop())
                size += len(some[-1].server) + ROW
            for home in range(len(self.homes)):
                wants = {pot: split(need, asked, home, self.name, pot) for pot, need in row.items()}
                self._claim(now, home, wants, some)

    def _dealers(self, now: int, index: int) -> list[str]:
        """Whom to ask for a home's slice: the home, unless slices are handed on and another
        answers for it. Where nobody does, whoever may have taken it over."""
        if self.may_deal is None:
            return [self.homes[index]]
        if now - self._answered.get(index, -self.terms.length) < self.terms.length:
            return [self.dealers[index]]
        # The first few for its lease, as they ask for it; and all others in turn, for whoever has
        # another view of the members may hold it.
        rows = self.members.rows
        ranked = turns.order(home_lease(index), self.members.working())
        self._turn += 1
        some = [*ranked[:NEAR], ranked[self._turn % len(ranked)]] if ranked else []
        return list(dict.fromkeys([self.homes[index], *(rows[n].rumour.address for n in some)]))

    def _claim(self, now: int, home: int, row: dict[str, int], seen: list[Seen]) -> None:
        claim: Claim | None = None
        for address in self._dealers(now, home):
            if address == self.address:
                ours = self._dealt_here(home)
                if ours is None:
                    continue
                claim = claim or self.holder.claim(now, home, row, seen)
                self.signals.hear(now, self.life, seen)
                given = ours.claim(now, self.life, claim)
                doubted = self.signals.doubted(now, {tenant_of(pot) for pot in row})
                back = self.signals.back(now, seen)
                self._granted(now, address, Grant(claim.seq, given, doubted[:64], back, home))
            elif address in self.lives or address in self.members.lives:
                self.counts["claims"] += 1
                claim = claim or self.holder.claim(now, home, row, seen)
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
            self._claims(now)
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
        there = {m.rumour.address for m in self.members.rows.values()} | set(self.homes)
        for address in [a for a in self.lives if a not in there]:
            del self.lives[address]
        for tenant, limits in self.tenants.items():
            rate = self.amount(now, rate_pot(tenant))
            known = self._known_rate.get(tenant)
            if known is None or abs(rate - known) > TOLD_PART * max(limits.rate, 1):
                self._known_rate[tenant] = rate
                if known is not None:
                    what = f"{known / 1000:g} to {rate / 1000:g} of {limits.rate / 1000:g} a second"
                    self.members.events.append(Event(tenant, "share", what))
        for pot in list(self.holder._held):
            if tenant_of(pot) not in self.tenants:
                self.holder.forget(now, pot)

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
        left = [pot for pot, (used, until) in self._left.items() if used and now < until]
        for home, address in enumerate(self.homes):
            self.holder.seqs[home] += 1
            if address == self.address or left or self.demands:
                continue
            for _ in range(2):  # nobody is there to send it again
                to = self.dealers.get(home, address) if self.may_deal else address
                self._send(to, Return(self.holder.seqs[home], home))
                self.holder.seqs[home] += 1
        self.members.leave(now)
        self._collect(now)

    # ---- telling people ----------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Of JSON's types."""
        members = []
        for name, m in sorted(self.members.rows.items()):
            r = m.rumour
            members.append(
                {
                    "name": name,
                    "address": r.address,
                    "state": "drains" if r.drains and m.there else m.state.name.lower(),
                    "for_s": round((now - m.since) / SECOND, 1),
                    "incarnation": r.incarnation,
                    "zone": r.zone,
                    "version": r.version,
                    "home": r.address in self.homes,
                    "ours": name == self.name,
                }
            )
        shares = {}
        for tenant, limits in sorted(self.tenants.items()):
            rate = self.amount(now, rate_pot(tenant))
            row = {
                "rate_per_s": rate / 1000,
                "of_rate_per_s": limits.rate / 1000,
                "open": self.amount(now, open_pot(tenant)),
                "of_open": limits.open,
                "floor_rate_per_s": self.floor(rate_pot(tenant)) / 1000,
                "asked_per_s": self.demands[tenant].rate / 1000 if tenant in self.demands else 0.0,
                "doubted": [s for s in limits.servers if self.doubts.get(f"{tenant}/{s}", 0) > now],
            }
            if limits.places:
                row["places"] = {s: self.amount(now, place_pot(tenant, s)) for s in limits.servers}
                row["of_places"] = limits.places
            shares[tenant] = row
        return {
            "name": self.name,
            "address": self.address,
            "homes": list(self.homes),
            "deals": [self.homes[i] for i in sorted(self.deals) if self._dealt_here(i)],
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
