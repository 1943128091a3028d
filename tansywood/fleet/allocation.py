"""How much of each limit one instance may use: allocators grant, holders claim. Pure.

A limit is cut into fixed slices, one for each allocator. An allocator grants units of its slice for
a limited time; units that are granted and not certainly over are not granted again. See
docs/design/fleet.md for why the sum over all instances never exceeds the limit.

Amounts are whole units: thousandths of a request a second for a rate, requests for open requests
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
FLOOR_DIVISOR = 50  # one unit in so many of its slice an allocator keeps for itself
FLOOR_FROM = 4  # units of a slice, from which an allocator keeps one at least


def rate_key(tenant: str) -> str:
    """The limit key of a tenant's rate."""
    return f"{tenant}/{RATE}"


def open_key(tenant: str) -> str:
    """The limit key of a tenant's open requests."""
    return f"{tenant}/{OPEN}"


def places_key(tenant: str, server: str) -> str:
    """The limit key of a tenant's places at one of its servers."""
    return f"{tenant}/{AT}/{server}"


def tenant_of(key: str) -> str:
    """The tenant of a limit key."""
    return key.partition("/")[0]


def slice_of(key: str, whole: int, allocators: int, index: int) -> int:
    """Units of `whole` that belong to allocator `index` of `allocators`. The slices sum to `whole`
    exactly; which allocators have the odd units differs from key to key."""
    place = (index - crc32(key.encode())) % allocators
    return whole // allocators + (place < whole % allocators)


def floor_of(units: int) -> int:
    """Units of its slice that an allocator keeps for its own workers and grants to nobody."""
    return max(units // FLOOR_DIVISOR, 1 if units >= FLOOR_FROM else 0)


@dataclass(slots=True)
class _OutstandingGrant:
    """One grant that may still be in use."""

    seq: int
    amount: int
    end: int  # certainly over then


@dataclass(slots=True)
class _Claimant:
    """What an allocator knows of one holder of one limit."""

    need: int = 0
    at: int = 0  # of its last claim
    seq: int = -1  # of its last claim
    grants: list[_OutstandingGrant] = field(default_factory=list)
    reserved: int = 0  # units: the largest of `grants`


class _LimitSlice:
    """One limit's slice at its allocator."""

    def __init__(self, units: int, tail: int, born: int) -> None:
        """`tail`: nanoseconds that a request taken under a grant may last beyond it; `born`: from
        when on this allocator knows all that was granted."""
        self.units = units
        self.tail = tail
        self.born = born
        self.claimants: dict[bytes, _Claimant] = {}  # by the life of the holder's process
        self.reserved = 0  # units, over all claimants
        self.ends: list[tuple[int, bytes]] = []  # heap
        self.credit: dict[bytes, float] = {}
        self.allocated: dict[bytes, int] = {}
        self.allocated_at = 0

    @property
    def allocatable(self) -> int:
        """Units that may be granted: all but the floor."""
        return self.units - floor_of(self.units)

    def recount(self, life: bytes, c: _Claimant, now: int) -> None:
        """Drop grants of a claimant that are over, and reserve the largest of the others."""
        c.grants = [g for g in c.grants if g.end > now]
        reserved = max((g.amount for g in c.grants), default=0)
        self.reserved += reserved - c.reserved
        c.reserved = reserved

    def lengthen(self, by: int) -> None:
        """All outstanding grants end `by` nanoseconds later."""
        for life, c in self.claimants.items():
            for g in c.grants:
                g.end += by
                heappush(self.ends, (g.end, life))

    def expire(self, now: int) -> None:
        """Free what is over by now."""
        while self.ends and self.ends[0][0] <= now:
            life = heappop(self.ends)[1]
            c = self.claimants.get(life)
            if c is not None:
                self.recount(life, c, now)
                if not c.grants:
                    del self.claimants[life]

    def allocate(self, now: int, terms: GrantTerms) -> None:
        """Divide the slice anew among those that claimed lately."""
        needs = {w: c.need for w, c in self.claimants.items() if now - c.at <= terms.grant_ns}
        had = {w: c.grants[-1].amount for w, c in self.claimants.items() if c.grants}
        self.allocated = allocate(self.allocatable, needs, self.credit, had)
        self.allocated_at = now

    def claim(
        self, now: int, life: bytes, seq: int, entry: ClaimEntry, terms: GrantTerms, ready: bool
    ) -> int:
        """Units granted by this claim; -1 where it is older than one that was answered."""
        self.expire(now)
        c = self.claimants.get(life)
        new = c is None
        if c is None:
            c = self.claimants[life] = _Claimant()
        if seq <= c.seq:
            return -1
        c.seq = seq
        woke = entry.need > 0 and not c.need
        c.need = entry.need
        c.at = now
        c.grants = [g for g in c.grants if g.seq >= entry.applied]
        self.recount(life, c, now)
        if new or woke or now - self.allocated_at >= terms.claim_interval_ns:
            self.allocate(now, terms)
        free = self.allocatable - (self.reserved - c.reserved)
        amount = max(min(self.allocated.get(life, 0), free), 0) if ready else 0
        self._grant(life, c, _OutstandingGrant(seq, amount, now + terms.in_use_ns(self.tail)))
        self.recount(life, c, now)
        return amount

    def _grant(self, life: bytes, c: _Claimant, grant: _OutstandingGrant) -> None:
        """Keep a grant; one of the same amount as the last is the last for longer."""
        if c.grants and c.grants[-1].amount == grant.amount:
            c.grants[-1] = grant
        else:
            c.grants.append(grant)
        heappush(self.ends, (grant.end, life))

    def give_back(self, now: int, life: bytes, seq: int, terms: GrantTerms) -> None:
        """A holder uses nothing any more."""
        c = self.claimants.get(life)
        if c is not None and seq > c.seq:
            c.seq = seq
            c.need = 0
            c.at = now - terms.grant_ns - 1
            c.grants = []
            self.recount(life, c, now)


class Allocator:
    """Grants the slices of one allocator, for one life of its process."""

    def __init__(self, terms: GrantTerms, allocators: int, index: int, now: int) -> None:
        """The slices of allocator `index` of `allocators`, from `now` on."""
        if not 0 <= index < allocators:
            raise ValueError(f"allocator {index} of {allocators}")
        self.terms = terms
        self.allocators = allocators
        self.index = index
        self.born = now
        self.slices: dict[str, _LimitSlice] = {}  # by limit key
        self._dropped: dict[str, tuple[int, int]] = {}  # when, and with what tail

    def set_limit(self, key: str, whole: int, tail: int) -> None:
        """The limit is `whole` units from now on; a request taken under a grant is over `tail`
        nanoseconds after the grant's end. A longer tail holds for outstanding grants too, a shorter
        one does not."""
        units = slice_of(key, whole, self.allocators, self.index)
        known = self.slices.get(key)
        if known is None:
            born, before = self._dropped.pop(key, (self.born, tail))
            self.slices[key] = _LimitSlice(units, max(tail, before), born)
        else:
            known.units = units
            if tail > known.tail:
                # What is taken from now on under an outstanding grant lasts longer too.
                known.lengthen(
                    self.terms.request_tail_ns(tail) - self.terms.request_tail_ns(known.tail)
                )
                known.tail = tail

    def keep(self, keys: Iterable[str], now: int) -> None:
        """There are no limits but these any more. What was granted of others ends by itself: a
        limit that comes back under its key waits for that, as after a start."""
        wanted = set(keys)
        for key in [k for k in self.slices if k not in wanted]:
            self._dropped[key] = (now, self.slices.pop(key).tail)
        for key, (at, tail) in list(self._dropped.items()):
            if now >= at + self.terms.in_use_ns(tail):
                del self._dropped[key]  # all that was granted of it is over

    def ready(self, key: str, now: int) -> bool:
        """Whether whatever an earlier life of this allocator granted is certainly over."""
        known = self.slices[key]
        return now >= known.born + self.terms.in_use_ns(known.tail)

    def claim(self, now: int, life: bytes, claim: Claim) -> list[GrantEntry]:
        """Answer a claim of the holder with this life; nothing for limits not known here."""
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
        """A holder uses nothing any more, and claims no more under this life."""
        for known in self.slices.values():
            known.give_back(now, life, seq, self.terms)

    def outstanding(self, key: str, now: int) -> int:
        """Units granted and not certainly over."""
        known = self.slices[key]
        known.expire(now)
        return known.reserved


@dataclass(slots=True)
class _HeldGrant:
    """The last grant of one limit by one allocator, at its holder."""

    amount: int = 0
    end: int = 0
    seq: int = -1  # of the claim it came by
    applied: int = 0  # the claim that the workers go by, nothing before it
    reserved: int = 0  # the largest amount since that claim: the allocator counts it as in use


class Holder:
    """What one instance holds of every limit, by every allocator, for one life of its process."""

    def __init__(self, terms: GrantTerms, allocators: int) -> None:
        self.terms = terms
        self.allocators = allocators
        self.seqs = [0] * allocators  # of the last claim to each
        self.version = 0  # grows with every change of an amount
        self._sent: list[deque[tuple[int, int]]] = [deque() for _ in range(allocators)]
        self._held: dict[str, list[_HeldGrant]] = {}  # by limit key, one for each allocator
        self._changed: dict[str, int] = {}  # version, by limit key
        self._last: dict[str, int] = {}  # amount, by limit key

    def claim(
        self,
        now: int,
        allocator: int,
        needs: Mapping[str, int],
        seen: list[Observation] | None = None,
    ) -> Claim:
        """The next claim of these limits from an allocator. It has to leave now, or never."""
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
        """Take an answer; False where it is nothing to go by any more: over, or overtaken."""
        sent = next((at for seq, at in self._sent[allocator] if seq == grant.seq), None)
        if sent is None:
            return False
        end = sent + self.terms.usable_ns
        if end <= now:
            return False
        taken = False
        for entry in grant.entries:
            rows = self._held.setdefault(entry.key, [_HeldGrant() for _ in range(self.allocators)])
            held = rows[allocator]
            if grant.seq <= held.seq:
                continue
            held.amount, held.end, held.seq = entry.amount, end, grant.seq
            held.reserved = max(held.reserved, entry.amount)
            taken = True
            self.amount(now, entry.key)
        return taken

    def amount(self, now: int, key: str) -> int:
        """Units that may be used now; a change since the last look is another version."""
        least, amount = now + self.terms.min_remaining_ns, 0
        for held in self._held.get(key, ()):
            if held.end > least:
                amount += held.amount
        if self._last.get(key, 0) != amount:
            self.version += 1
            self._changed[key] = self.version
            self._last[key] = amount
        return amount

    def until(self, now: int, key: str) -> int:
        """When the first of what `amount` counts is over; `now` where it counts nothing."""
        ends = [h.end for h in self._held.get(key, ()) if h.end - now > self.terms.min_remaining_ns]
        return min(ends, default=now)

    def last_changed_version(self, key: str) -> int:
        """The version at which a limit's amount changed last."""
        return self._changed.get(key, 0)

    def confirm(self, now: int, key: str, used: int, version: int) -> bool:
        """The workers go by `version`, with `used` units in use. True where telling the allocators
        at once frees what was taken back; that nothing older is in use they hear in any case with
        the next claim."""
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
        """Limit keys of which something is known here."""
        return list(self._held)

    def forget(self, now: int, key: str) -> None:
        """Nobody here uses this limit any more; dropped once all that was held of it is over."""
        if all(h.end <= now for h in self._held.get(key, ())):
            self._held.pop(key, None)
            self._last.pop(key, None)
            self._changed.pop(key, None)
