"""One instance of the fleet, composed of membership, allocators, claims and evidence. Pure.

The caller passes received messages and the time; the instance returns envelopes to send
(`take_sends`) and records `events`. The service runs it on sockets, the test rig on a simulated
network. It never reads a clock. Its parts are `messenger` (envelopes), `members`, `granting` (the
allocators on this instance), `entitlement` (units that may be used), `demands` (reports of the
workers), `claims`, `evidence` (observations of servers) and `status`.
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

SWEEP_INTERVAL_NS = SECOND
# A tenant's share that changes by less than this fraction of the tenant's rate is no event.
MIN_SHARE_CHANGE_FRACTION = 0.2


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
        """`first` are the allocators' addresses, which every instance lists in the same order.
        `life` is 16 random bytes that identify this start. `born` is the start time by this
        machine's clock in milliseconds of Unix time; it only orders the lives of one name."""
        self.name = name
        self.address = address
        self.life = life
        self.allocator_addresses = tuple(first)
        self.index = self.allocator_addresses.index(address) if address in first else -1
        self.carried: list[tuple[str, bytes, bytes]] = []  # sender, its life, payload
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
        self._next_sweep = now + SWEEP_INTERVAL_NS
        self._reported_rates: dict[str, int] = {}  # by tenant: rate in the last share event
        self._last_updates: dict[str, status.LastWorkerUpdate] = {}  # last update sent, by worker

    @property
    def holder(self) -> Holder:
        """The grants that this instance holds."""
        return self.entitlement.holder

    def take_sends(self) -> list[tuple[str, Envelope]]:
        """Return and clear the envelopes to send now, with their addresses."""
        return self.messenger.take_sends()

    # ---- the network -----------------------------------------------------------------------------

    def carry(self, now: int, address: str, data: bytes) -> None:
        """Send a payload of another component in a datagram, which may be lost."""
        self.messenger.now = now
        self.messenger.send(address, Carried(data))

    def receive(self, now: int, life: bytes, envelope: Envelope) -> None:
        """Process an envelope from the process with this life, whose seal has been verified."""
        self.messenger.now = now
        if not self.messenger.accept(life, envelope):
            return
        address, body = envelope.address, envelope.body
        if isinstance(body, Claim):
            self._handle_claim(now, address, life, body)
        elif isinstance(body, Grant):
            self._handle_grant(now, address, body)
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
        self._collect_events(now)

    def _handle_claim(self, now: int, address: str, life: bytes, claim: Claim) -> None:
        grant = self.granting.answer(now, life, claim, self.evidence)
        if grant is not None:
            self.messenger.counts["grants"] += 1
            self.messenger.send_to_life(address, life, grant)

    def _handle_grant(self, now: int, address: str, grant: Grant) -> None:
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
            self._record_event(server, "doubted", f"{address} hears that several find it out")
        self.demands.granted(now, (entry.key for entry in grant.entries))

    # ---- reports of workers, and settings --------------------------------------------------------

    def set_tenants(self, now: int, tenants: Mapping[str, Limits]) -> None:
        """Replace the tenants, whose limits this instance grants as an allocator and claims as a
        holder."""
        self.messenger.now = now
        self.entitlement.set_tenants(tenants)
        self.granting.set_limits(now, self.entitlement.limits())
        self.demands.retain_tenants(tenants)
        self.claims.set_tenants(tenants)
        self.claims.schedule_soon(now)

    def grant_under_leases(self, may_grant: Callable[[int], bool]) -> None:
        """From now on grant only slices for which `may_grant` returns True."""
        self.granting.grant_under_leases(may_grant)

    def start_allocating(self, now: int, index: int) -> None:
        """Start granting an allocator's slice, in the way of an allocator that has just started:
        nothing is granted until all earlier grants have certainly expired."""
        self.granting.start(now, index, self.entitlement.limits())
        address = self.allocator_addresses[index]
        self._record_event(address, "dealt", "its slice is dealt here from now on")
        self.claims.schedule_soon(now)

    def stop_allocating(self, index: int) -> None:
        """Stop granting an allocator's slice; outstanding grants expire by themselves."""
        if self.granting.stop(index):
            address = self.allocator_addresses[index]
            self._record_event(address, "dealt", "its slice is dealt here no more")

    def report(
        self,
        now: int,
        worker: str,
        version: int,
        hosted: Mapping[str, Demand],
        seen: Mapping[str, tuple[Kind, int]],
    ) -> None:
        """Process a worker's report: all tenants that it hosts, the version of the allocations that
        it applies, and its observations of servers with their times."""
        self.messenger.now = now
        self.demands.report(now, worker, version, hosted)
        for server in self.evidence.record_local(seen):
            ranked = turns.rank_members(server, self.members.working())
            position = turns.position(server, ranked, self.name)
            first = "we try it first" if not position else f"{ranked[0]} tries it first"
            self._record_event(server, "turn", f"found out here; {first}, {position} are before us")
        self._collect_events(now)

    def worker_ended(self, now: int, worker: str) -> None:
        """Record that a worker's process has ended. Servers may still work on its requests."""
        self.messenger.now = now
        self.forget_last_update(worker)
        self.demands.worker_ended(now, worker)

    # ---- allocations -----------------------------------------------------------------------------

    def floor(self, key: str) -> int:
        """Return the units that this instance may use without a grant."""
        return self.entitlement.floor(key)

    def amount(self, now: int, key: str) -> int:
        """Return the units that this instance may use now: grants and floor, at most the whole
        limit."""
        return self.entitlement.amount(now, key)

    def allocations(self, now: int, worker: str) -> dict[str, Any]:
        """Return the update for a worker: amounts of the tenants that it hosts and how long they
        are valid. Idle tenants are included only when something is new."""
        told = self._last_updates.setdefault(worker, status.LastWorkerUpdate())
        return status.for_worker(self, now, worker, told)

    def forget_last_update(self, worker: str) -> None:
        """Include all tenants in the next update for a worker, which has connected again."""
        self._last_updates.pop(worker, None)

    def _claim_all(self, now: int) -> None:
        """Send the claims that are due to every allocator, in as many datagrams as needed."""
        self.claims.begin_round(now)
        needs = self.claims.needs(now, self.demands)
        answering = self.claims.answering(now)
        for row, seen in batches(needs.items(), self.evidence.recent_observations(now)):
            for index in range(len(self.allocator_addresses)):
                self._send_claim(now, index, self.claims.share(row, answering, index), seen)

    def _send_claim(
        self, now: int, index: int, needs: dict[str, int], seen: list[Observation]
    ) -> None:
        """Send one claim for a slice to each address at which its allocator may be."""
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
                    self._handle_grant(now, address, grant)
            else:
                self.messenger.counts["claims"] += 1
                self.messenger.send(address, claim)

    # ---- time ------------------------------------------------------------------------------------

    def next_due(self) -> int:
        """Return the time at which `tick` next has something to do."""
        return min(self.claims.next_at, self.members.next_due(), self._next_sweep)

    def tick(self, now: int) -> None:
        """Run everything that is due by `now`."""
        self.messenger.now = now
        if now >= self.members.next_due():
            self.members.tick(now)
        if now >= self.claims.next_at and not self.members.left:
            self._claim_all(now)
        if now >= self._next_sweep:
            self._sweep(now)
        self._collect_events(now)

    def _sweep(self, now: int) -> None:
        """Drop expired state, and record an event for each share that has changed."""
        self._next_sweep = now + SWEEP_INTERVAL_NS
        self.evidence.sweep(now)
        current = {m.update.address for m in self.members.rows.values()}
        self.messenger.sweep(current | set(self.allocator_addresses))
        for tenant, limits in self.entitlement.tenants.items():
            rate = self.amount(now, rate_key(tenant))
            known = self._reported_rates.get(tenant)
            if known is None or abs(rate - known) > MIN_SHARE_CHANGE_FRACTION * max(limits.rate, 1):
                self._reported_rates[tenant] = rate
                if known is not None:
                    what = f"{known / 1000:g} to {rate / 1000:g} of {limits.rate / 1000:g} a second"
                    self._record_event(tenant, "share", what)
        self.entitlement.sweep(now)

    def _record_event(self, name: str, what: str, why: str) -> None:
        """Record an event among those of the members, so that their order is kept."""
        self.members.events.append(Event(name, what, why))

    def _collect_events(self, now: int) -> None:
        for event in self.members.events:
            self.events.add(now, event)
        self.members.events.clear()

    def drain(self, now: int) -> None:
        """Announce to all members that this instance accepts no new work."""
        self.messenger.now = now
        self.members.drain(now)
        self._collect_events(now)

    def leave(self, now: int) -> None:
        """Leave the fleet. All held units are returned at once, unless servers may still work on
        requests of an ended worker; in that case the grants expire by themselves."""
        self.messenger.now = now
        unused = self.demands.nothing_in_use(now)
        seqs = self.holder.seqs
        for index, address in enumerate(self.allocator_addresses):
            seqs[index] += 1
            if address == self.address or not unused:
                continue
            for _ in range(2):  # sent twice, because nobody is left to retry it
                to = self.claims.answered_by(index) if self.granting.uses_leases else address
                self.messenger.send(to, Return(seqs[index], index))
                seqs[index] += 1
        self.members.leave(now)
        self._collect_events(now)

    # ---- status output ---------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the instance's status as JSON types."""
        return status.status(self, now)
