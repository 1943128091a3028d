"""Allocators grant units of each limit, and holders claim them. Pure: no I/O and no clock reads.

Each limit is divided into fixed slices, one per allocator. An allocator grants units of its slice
for a limited time and does not grant them again until the earlier grant has certainly expired.
docs/design/fleet.md shows why the sum over all instances never exceeds the limit.

Amounts are whole units: thousandths of a request per second for a rate, requests for open requests
and for places at a server. Times are nanoseconds of this process's monotonic clock; only their
differences matter, and the clocks of two processes are never compared.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from zlib import crc32

from tansywood.fleet.maxmin import allocate
from tansywood.fleet.messages import Claim, ClaimEntry, Grant, GrantEntry, Observation
from tansywood.fleet.terms import GrantTerms

RATE, OPEN, AT = "rate", "open", "at"
FLOOR_DIVISOR = 50  # an allocator reserves one unit in 50 of its slice for its own workers
MIN_SLICE_UNITS_WITH_FLOOR = 4  # a slice of at least this many units has a floor of at least one


def rate_key(tenant: str) -> str:
    """Return the limit key of a tenant's request rate."""
    return f"{tenant}/{RATE}"


def open_key(tenant: str) -> str:
    """Return the limit key of a tenant's open requests."""
    return f"{tenant}/{OPEN}"


def places_key(tenant: str, server: str) -> str:
    """Return the limit key of a tenant's concurrent requests at one of its servers."""
    return f"{tenant}/{AT}/{server}"


def tenant_of(key: str) -> str:
    """Return the tenant that a limit key belongs to."""
    return key.partition("/")[0]


def slice_of(key: str, whole: int, allocators: int, index: int) -> int:
    """Return the units of `whole` that belong to allocator `index` of `allocators`. The slices sum
    to `whole` exactly; the key determines which allocators get the remaining units."""
    position = (index - crc32(key.encode())) % allocators
    return whole // allocators + (position < whole % allocators)


def floor_of(units: int) -> int:
    """Return how many units of its slice an allocator reserves for its own workers and never
    grants."""
    return max(units // FLOOR_DIVISOR, 1 if units >= MIN_SLICE_UNITS_WITH_FLOOR else 0)


@dataclass(slots=True)
class _OutstandingGrant:
    """A grant that may still be in use at its holder."""

    seq: int
    amount: int
    end: int  # time at which the grant has certainly expired


@dataclass(slots=True)
class _Claimant:
    """An allocator's record of one holder of one limit."""

    need: int = 0  # units that the last claim asked for
    claimed_at: int = 0  # time of the last claim
    seq: int = -1  # sequence number of the last claim
    grants: list[_OutstandingGrant] = field(default_factory=list)
    reserved: int = 0  # units: the largest amount in `grants`


class _LimitSlice:
    """The slice of one limit at its allocator."""

    def __init__(self, units: int, tail: int, known_since: int) -> None:
        """`tail` is how many nanoseconds a request admitted under a grant may outlast that grant.
        `known_since` is the time from which this allocator knows of every grant of the slice."""
        self.units = units
        self.tail = tail
        self.known_since = known_since
        self.claimants: dict[bytes, _Claimant] = {}  # by the life of the holder's process
        self.reserved = 0  # units, summed over all claimants
        self.ends: list[tuple[int, bytes]] = []  # heap of grant ends, with the holder's life
        self.credit: dict[bytes, float] = {}  # fractional units owed, by the holder's life
        self.allocated: dict[bytes, int] = {}  # units, by the holder's life
        self.allocated_at = 0

    @property
    def allocatable(self) -> int:
        """Units that may be granted: the slice without its floor."""
        return self.units - floor_of(self.units)

    def recount(self, life: bytes, c: _Claimant, now: int) -> None:
        """Drop a claimant's expired grants and reserve the largest of the remaining ones."""
        c.grants = [g for g in c.grants if g.end > now]
        reserved = max((g.amount for g in c.grants), default=0)
        self.reserved += reserved - c.reserved
        c.reserved = reserved

    def extend_grants(self, by: int) -> None:
        """Move the end of every outstanding grant `by` nanoseconds later."""
        for life, c in self.claimants.items():
            for g in c.grants:
                g.end += by
                heappush(self.ends, (g.end, life))

    def expire(self, now: int) -> None:
        """Release the units of grants that have expired by `now`."""
        while self.ends and self.ends[0][0] <= now:
            life = heappop(self.ends)[1]
            c = self.claimants.get(life)
            if c is not None:
                self.recount(life, c, now)
                if not c.grants:
                    del self.claimants[life]

    def allocate(self, now: int, terms: GrantTerms) -> None:
        """Divide the slice again among the holders that claimed within the length of a grant."""
        needs = {
            life: c.need
            for life, c in self.claimants.items()
            if now - c.claimed_at <= terms.grant_ns
        }
        previous = {life: c.grants[-1].amount for life, c in self.claimants.items() if c.grants}
        self.allocated = allocate(self.allocatable, needs, self.credit, previous)
        self.allocated_at = now

    def claim(
        self, now: int, life: bytes, seq: int, entry: ClaimEntry, terms: GrantTerms, ready: bool
    ) -> int:
        """Grant units for a claim and return the amount; -1 for a claim that is not newer than
        the last one answered."""
        self.expire(now)
        c = self.claimants.get(life)
        new = c is None
        if c is None:
            c = self.claimants[life] = _Claimant()
        if seq <= c.seq:
            return -1
        c.seq = seq
        became_active = entry.need > 0 and not c.need
        c.need = entry.need
        c.claimed_at = now
        c.grants = [g for g in c.grants if g.seq >= entry.applied]
        self.recount(life, c, now)
        if new or became_active or now - self.allocated_at >= terms.claim_interval_ns:
            self.allocate(now, terms)
        free = self.allocatable - (self.reserved - c.reserved)
        amount = max(min(self.allocated.get(life, 0), free), 0) if ready else 0
        self._grant(life, c, _OutstandingGrant(seq, amount, now + terms.in_use_ns(self.tail)))
        self.recount(life, c, now)
        return amount

    def _grant(self, life: bytes, c: _Claimant, grant: _OutstandingGrant) -> None:
        """Record a grant. A grant of the same amount as the last one replaces it, which extends
        it."""
        if c.grants and c.grants[-1].amount == grant.amount:
            c.grants[-1] = grant
        else:
            c.grants.append(grant)
        heappush(self.ends, (grant.end, life))

    def give_back(self, now: int, life: bytes, seq: int, terms: GrantTerms) -> None:
        """Release all units of a holder, which no longer uses any."""
        c = self.claimants.get(life)
        if c is not None and seq > c.seq:
            c.seq = seq
            c.need = 0
            c.claimed_at = now - terms.grant_ns - 1
            c.grants = []
            self.recount(life, c, now)


class Allocator:
    """Grants units of one allocator's slices during one life of its process."""

    def __init__(self, terms: GrantTerms, allocators: int, index: int, now: int) -> None:
        """Start granting the slices of allocator `index` of `allocators` at `now`. Raises
        ValueError for an index out of range."""
        if not 0 <= index < allocators:
            raise ValueError(f"allocator index out of range: {index} of {allocators}")
        self.terms = terms
        self.allocators = allocators
        self.index = index
        self.started_at = now
        self.slices: dict[str, _LimitSlice] = {}  # by limit key
        self._dropped: dict[str, tuple[int, int]] = {}  # by limit key: time of the drop, and tail

    def set_limit(self, key: str, whole: int, tail: int) -> None:
        """Set a limit to `whole` units over all allocators. A request admitted under a grant ends
        at most `tail` nanoseconds after the grant. A longer tail also applies to outstanding
        grants, a shorter one does not."""
        units = slice_of(key, whole, self.allocators, self.index)
        known = self.slices.get(key)
        if known is None:
            known_since, old_tail = self._dropped.pop(key, (self.started_at, tail))
            self.slices[key] = _LimitSlice(units, max(tail, old_tail), known_since)
        else:
            known.units = units
            if tail > known.tail:
                # Requests admitted from now on under an outstanding grant may last longer too.
                known.extend_grants(
                    self.terms.request_tail_ns(tail) - self.terms.request_tail_ns(known.tail)
                )
                known.tail = tail

    def keep(self, keys: Iterable[str], now: int) -> None:
        """Drop all limits but these. Grants of a dropped limit expire by themselves; if the limit
        is set again under its key, nothing is granted until then, as after a start."""
        wanted = set(keys)
        for key in [k for k in self.slices if k not in wanted]:
            self._dropped[key] = (now, self.slices.pop(key).tail)
        for key, (dropped_at, tail) in list(self._dropped.items()):
            if now >= dropped_at + self.terms.in_use_ns(tail):
                del self._dropped[key]  # every grant of the dropped limit has expired

    def ready(self, key: str, now: int) -> bool:
        """Whether all grants by an earlier life of this allocator have certainly expired."""
        known = self.slices[key]
        return now >= known.known_since + self.terms.in_use_ns(known.tail)

    def claim(self, now: int, life: bytes, claim: Claim) -> list[GrantEntry]:
        """Answer a claim of the holder with this life. Limits that are unknown here get no
        entry."""
        entries = []
        for entry in claim.entries:
            known = self.slices.get(entry.key)
            if known is None:
                continue
            ready = self.ready(entry.key, now)
            amount = known.claim(now, life, claim.seq, entry, self.terms, ready)
            if amount >= 0:
                entries.append(GrantEntry(entry.key, amount))
        return entries

    def give_back(self, now: int, life: bytes, seq: int) -> None:
        """Release all units of a holder, which will not claim again under this life."""
        for known in self.slices.values():
            known.give_back(now, life, seq, self.terms)

    def outstanding(self, key: str, now: int) -> int:
        """Return the units that are granted and have not certainly expired."""
        known = self.slices[key]
        known.expire(now)
        return known.reserved


@dataclass(slots=True)
class _HeldGrant:
    """A holder's record of the last grant of one limit by one allocator."""

    amount: int = 0
    end: int = 0
    seq: int = -1  # sequence number of the claim that this grant answered
    applied: int = 0  # the workers have applied the grant for this claim and use no older one
    reserved: int = 0  # largest amount since `applied`; the allocator counts it as in use


class Holder:
    """The grants of all limits that one instance holds, during one life of its process."""

    def __init__(self, terms: GrantTerms, allocators: int) -> None:
        self.terms = terms
        self.allocators = allocators
        self.seqs = [0] * allocators  # sequence number of the last claim to each allocator
        self.version = 0  # incremented with every change of an amount
        # By allocator: sequence number and send time of the claims that can still be answered.
        self._sent: list[deque[tuple[int, int]]] = [deque() for _ in range(allocators)]
        self._held: dict[str, list[_HeldGrant]] = {}  # by limit key: one grant for each allocator
        self._changed: dict[str, int] = {}  # version of the last change, by limit key
        self._last_amounts: dict[str, int] = {}  # units, by limit key

    def claim(
        self,
        now: int,
        allocator: int,
        needs: Mapping[str, int],
        seen: list[Observation] | None = None,
    ) -> Claim:
        """Make the next claim of these limits from an allocator. The caller has to send it at once
        or drop it, because a grant's end is counted from `now`."""
        self.seqs[allocator] += 1
        seq = self.seqs[allocator]
        sent = self._sent[allocator]
        sent.append((seq, now))
        while sent and now - sent[0][1] > self.terms.usable_ns:
            sent.popleft()
        entries = []
        for key, need in needs.items():
            held = self._held.get(key)
            applied = held[allocator].applied if held is not None else 0
            entries.append(ClaimEntry(key, need, applied))
        return Claim(seq, entries, seen or [], allocator)

    def granted(self, now: int, allocator: int, grant: Grant) -> bool:
        """Apply a grant. Return False if the grant has expired or a newer one has been applied."""
        sent = next((at for seq, at in self._sent[allocator] if seq == grant.seq), None)
        if sent is None:
            return False
        end = sent + self.terms.usable_ns
        if end <= now:
            return False
        applied_any = False
        for entry in grant.entries:
            rows = self._held.setdefault(entry.key, [_HeldGrant() for _ in range(self.allocators)])
            held = rows[allocator]
            if grant.seq <= held.seq:
                continue
            held.amount, held.end, held.seq = entry.amount, end, grant.seq
            held.reserved = max(held.reserved, entry.amount)
            applied_any = True
            self.amount(now, entry.key)
        return applied_any

    def amount(self, now: int, key: str) -> int:
        """Return the units that may be used now. If the amount has changed since the last call,
        increment the version."""
        min_end, amount = now + self.terms.min_remaining_ns, 0
        for held in self._held.get(key, ()):
            if held.end > min_end:
                amount += held.amount
        if self._last_amounts.get(key, 0) != amount:
            self.version += 1
            self._changed[key] = self.version
            self._last_amounts[key] = amount
        return amount

    def until(self, now: int, key: str) -> int:
        """Return the earliest end of the grants that `amount` counts; `now` if it counts none."""
        ends = [h.end for h in self._held.get(key, ()) if h.end - now > self.terms.min_remaining_ns]
        return min(ends, default=now)

    def last_changed_version(self, key: str) -> int:
        """Return the version at which a limit's amount last changed; 0 if it never changed."""
        return self._changed.get(key, 0)

    def confirm(self, now: int, key: str, used: int, version: int) -> bool:
        """Record that the workers have applied `version` and have `used` units in use. Return True
        if an immediate claim would free units that an allocator has taken back. The next regular
        claim tells the allocators in any case that no older grant is in use."""
        held = self._held.get(key)
        if held is None or version < self.last_changed_version(key) or used > self.amount(now, key):
            return False
        frees = False
        for h in held:
            if h.end > now and h.applied < h.seq:
                frees = frees or h.reserved > h.amount
                h.applied, h.reserved = h.seq, h.amount
        return frees

    def known_keys(self) -> list[str]:
        """Return the limit keys for which a grant is recorded."""
        return list(self._held)

    def forget(self, now: int, key: str) -> None:
        """Drop the records of a limit that is no longer used here, if all its grants are over."""
        if all(h.end <= now for h in self._held.get(key, ())):
            self._held.pop(key, None)
            self._last_amounts.pop(key, None)
            self._changed.pop(key, None)
