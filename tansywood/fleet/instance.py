"""One instance of the fleet: members, allocators, claims, evidence and turns put together. Pure.

Told what comes and what time it is, it says what is to be sent (`take_sends`) and what happened
(`events`); the service puts it on sockets, the rig on a simulated network. It never reads a clock.
Its parts are `messenger` (envelopes), `members`, `granting` (the allocators here), `entitlement`
(what may be used), `demands` (what workers ask for), `claims`, `evidence` (of servers), `status`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from tansywood.fleet import status, turns
from tansywood.fleet.allocation import Holder, rate_key
from tansywood.fleet.claims import Claims, batches
from tansywood.fleet.demands import Demand, Demands
from tansywood.fleet.entitlement import Entitlement
from tansywood.fleet.events import EventLog
from tansywood.fleet.evidence import Evidence
from tansywood.fleet.granting import Granting
from tansywood.fleet.members import Event, Members, State
from tansywood.fleet.messages import (
    Carried,
    Claim,
    Envelope,
    Grant,
    Hello,
    MemberUpdate,
    Observation,
    Return,
    Welcome,
)
from tansywood.fleet.messenger import Messenger
from tansywood.fleet.share import Limits
from tansywood.fleet.signals import Kind
from tansywood.fleet.terms import SECOND, GrantTerms

SWEEP = SECOND
TOLD_FRACTION = 0.2  # of its rate: a tenant's share that moves by less is no event


class Instance:
    """One life of one instance. Times are nanoseconds of its process's monotonic clock."""

    def __init__(
        self,
        name: str,
        address: str,
        first: Sequence[str],
        terms: GrantTerms,
        rng: Random,
        life: bytes,
        born: int,
        now: int,
        zone: str = "",
        version: str = "",
    ) -> None:
        """`first` are the allocators' addresses, the same and in the same order everywhere; `life`
        is 16 random bytes of this start, `born` its time as far as this machine knows (milliseconds
        of Unix time), which orders the lives of one name and nothing else."""
        self.name = name
        self.address = address
        self.life = life
        self.allocator_addresses = tuple(first)
        self.index = self.allocator_addresses.index(address) if address in first else -1
        self.carried: list[tuple[str, bytes, bytes]] = []  # sender, its life, what it said
        self.events: EventLog[Event] = EventLog()
        self.messenger = Messenger(name, address, life, now)
        own = MemberUpdate(name, address, life, born, 0, State.ALIVE, False, version, zone)
        self.members = Members(own, first, rng, now, self.messenger.send)
        self.messenger.gossiped_lives = self.members.lives
        self.granting = Granting(terms, len(first), self.index, now)
        self.entitlement = Entitlement(terms, len(first), self.index)
        self.claims = Claims(
            name, self.allocator_addresses, terms, self.members, self.entitlement, now
        )
        self.demands = Demands(self.entitlement, self.claims.schedule_soon)
        self.evidence = Evidence()
        self._next_sweep = now + SWEEP
        self._known_rate: dict[str, int] = {}  # by tenant, as told last
        self._told: dict[str, status.LastWorkerUpdate] = {}  # by worker

    @property
    def holder(self) -> Holder:
        """What allocators granted us."""
        return self.entitlement.holder

    def take_sends(self) -> list[tuple[str, Envelope]]:
        """Envelopes to be sent now, with their addresses."""
        return self.messenger.take_sends()

    # ---- the network ------------------------------------------------------------------------

    def carry(self, now: int, address: str, data: bytes) -> None:
        """Send something of another part; it may be lost like anything here."""
        self.messenger.now = now
        self.messenger.send(address, Carried(data))

    def receive(self, now: int, life: bytes, envelope: Envelope) -> None:
        """What the process of this life sent; that it did was proved by its seal."""
        self.messenger.now = now
        if not self.messenger.accept(life, envelope):
            return
        address, body = envelope.address, envelope.body
        if isinstance(body, Claim):
            self._claimed(now, address, life, body)
        elif isinstance(body, Grant):
            self._granted(now, address, body)
        elif isinstance(body, Return):
            self.granting.give_back(now, life, body)
        elif isinstance(body, Carried):
            self.carried.append((envelope.sender, life, body.data))
        elif isinstance(body, Welcome):
            if address in self.allocator_addresses:
                self.claims.schedule_soon(now)
            self.messenger.clear_hello(address)
        else:
            self.members.receive(now, envelope.sender, address, body)
        self._collect(now)

    def _claimed(self, now: int, address: str, life: bytes, claim: Claim) -> None:
        grant = self.granting.answer(now, life, claim, self.evidence)
        if grant is not None:
            self.messenger.counts["grants"] += 1
            self.messenger.send_to_life(address, life, grant)

    def _granted(self, now: int, address: str, grant: Grant) -> None:
        if grant.allocator >= 0 and self.granting.uses_leases:
            index = grant.allocator
        elif address in self.allocator_addresses:
            index = self.allocator_addresses.index(address)
        else:
            return
        if index >= len(self.allocator_addresses):
            return
        if self.holder.granted(now, index, grant):
            self.claims.answered(now, index, address)
        for server in self.evidence.apply_verdict(now, grant):
            self._note(server, "doubted", f"{address} hears that several find it out")
        self.demands.granted(now, (entry.key for entry in grant.entries))

    # ---- what the workers and the settings say ----------------------------------------------

    def set_tenants(self, now: int, tenants: Mapping[str, Limits]) -> None:
        """All tenants there are; an allocator grants by them, a holder claims by them."""
        self.messenger.now = now
        self.entitlement.set_tenants(tenants)
        self.granting.set_limits(now, self.entitlement.limits())
        self.demands.retain_tenants(tenants)
        self.claims.set_tenants(tenants)
        self.claims.schedule_soon(now)

    def grant_under_leases(self, may_grant: Callable[[int], bool]) -> None:
        """Slices are granted by whoever `may_grant` says may, and by nobody else from now on."""
        self.granting.grant_under_leases(may_grant)

    def start_allocating(self, now: int, index: int) -> None:
        """Grant of an allocator's slice from now on, as one does that has just started: whatever
        was granted of it before is over first."""
        self.granting.start(now, index, self.entitlement.limits())
        address = self.allocator_addresses[index]
        self._note(address, "dealt", "its slice is dealt here from now on")
        self.claims.schedule_soon(now)

    def stop_allocating(self, index: int) -> None:
        """What is outstanding ends by itself."""
        if self.granting.stop(index):
            address = self.allocator_addresses[index]
            self._note(address, "dealt", "its slice is dealt here no more")

    def report(
        self,
        now: int,
        worker: str,
        version: int,
        hosted: Mapping[str, Demand],
        seen: Mapping[str, tuple[Kind, int]],
    ) -> None:
        """What a worker has at work, all of it, the version of the allocations that it goes by,
        and what it saw of servers, with the time."""
        self.messenger.now = now
        self.demands.report(now, worker, version, hosted)
        for server in self.evidence.record_local(seen):
            row = turns.rank_members(server, self.members.working())
            place = turns.position(server, row, self.name)
            first = "we try it first" if not place else f"{row[0]} tries it first"
            self._note(server, "turn", f"found out here; {first}, {place} are before us")
        self._collect(now)

    def worker_ended(self, now: int, worker: str) -> None:
        """A worker's process has ended. What it had out may still be at work at servers."""
        self.messenger.now = now
        self.forget_last_update(worker)
        self.demands.worker_ended(now, worker)

    # ---- allocations -------------------------------------------------------------------------

    def floor(self, key: str) -> int:
        """Units that we may use with nobody to ask."""
        return self.entitlement.floor(key)

    def amount(self, now: int, key: str) -> int:
        """Units that we may use now, the floor included; not more than the whole."""
        return self.entitlement.amount(now, key)

    def allocations(self, now: int, worker: str) -> dict[str, Any]:
        """What a worker is told: amounts of the tenants that it has, and how long they hold; of
        those that rest, what is new."""
        told = self._told.setdefault(worker, status.LastWorkerUpdate())
        return status.for_worker(self, now, worker, told)

    def forget_last_update(self, worker: str) -> None:
        """It has connected anew: tell it of all tenants that it has."""
        self._told.pop(worker, None)

    def _claim_all(self, now: int) -> None:
        """Claim of every allocator what is due, in as many datagrams as it takes."""
        self.claims.begin_round(now)
        needs = self.claims.needs(now, self.demands)
        answering = self.claims.answering(now)
        for row, seen in batches(needs.items(), self.evidence.recent_observations(now)):
            for index in range(len(self.allocator_addresses)):
                self._claim(now, index, self.claims.share(row, answering, index), seen)

    def _claim(self, now: int, index: int, needs: dict[str, int], seen: list[Observation]) -> None:
        """One claim of one allocator, at each address where it may be."""
        claim: Claim | None = None
        for address in self.claims.addresses_for(now, index, self.granting.uses_leases):
            here = address == self.address
            if here and self.granting.active(index) is None:
                continue
            if not here and not self.messenger.knows_life(address):
                self.messenger.send(address, Hello())
                continue
            claim = claim or self.holder.claim(now, index, needs, seen)
            if here:
                grant = self.granting.answer(now, self.life, claim, self.evidence)
                if grant is not None:
                    self._granted(now, address, grant)
            else:
                self.messenger.counts["claims"] += 1
                self.messenger.send(address, claim)

    # ---- time --------------------------------------------------------------------------------

    def next_due(self) -> int:
        """When `tick` has something to do."""
        return min(self.claims.next_at, self.members.next_due(), self._next_sweep)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        self.messenger.now = now
        if now >= self.members.next_due():
            self.members.tick(now)
        if now >= self.claims.next_at and not self.members.left:
            self._claim_all(now)
        if now >= self._next_sweep:
            self._sweep(now)
        self._collect(now)

    def _sweep(self, now: int) -> None:
        """Forget what is over, and tell of shares that moved."""
        self._next_sweep = now + SWEEP
        self.evidence.sweep(now)
        there = {m.update.address for m in self.members.rows.values()}
        self.messenger.sweep(there | set(self.allocator_addresses))
        for tenant, limits in self.entitlement.tenants.items():
            rate = self.amount(now, rate_key(tenant))
            known = self._known_rate.get(tenant)
            if known is None or abs(rate - known) > TOLD_FRACTION * max(limits.rate, 1):
                self._known_rate[tenant] = rate
                if known is not None:
                    what = f"{known / 1000:g} to {rate / 1000:g} of {limits.rate / 1000:g} a second"
                    self._note(tenant, "share", what)
        self.entitlement.sweep(now)

    def _note(self, name: str, what: str, why: str) -> None:
        """Told of with what becomes of members, in its order."""
        self.members.events.append(Event(name, what, why))

    def _collect(self, now: int) -> None:
        for event in self.members.events:
            self.events.add(now, event)
        self.members.events.clear()

    def drain(self, now: int) -> None:
        """Tell everybody that this one takes on nothing new."""
        self.messenger.now = now
        self.members.drain(now)
        self._collect(now)

    def leave(self, now: int) -> None:
        """At the end: what we hold is free at once, unless requests of a worker that died may
        still be at work at servers; then it ends by itself."""
        self.messenger.now = now
        over = self.demands.nothing_in_use(now)
        seqs = self.holder.seqs
        for index, address in enumerate(self.allocator_addresses):
            seqs[index] += 1
            if address == self.address or not over:
                continue
            for _ in range(2):  # nobody is there to send it again
                to = self.claims.answered_by(index) if self.granting.uses_leases else address
                self.messenger.send(to, Return(seqs[index], index))
                seqs[index] += 1
        self.members.leave(now)
        self._collect(now)

    # ---- telling people ----------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Of JSON's types."""
        return status.status(self, now)
