"""What one instance claims, of which allocator, when, and where that one is asked. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from zlib import crc32

from tansywood.fleet import turns
from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.demands import Demands
from tansywood.fleet.entitlement import Entitlement
from tansywood.fleet.granting import allocator_lease
from tansywood.fleet.members import Members
from tansywood.fleet.messages import Observation
from tansywood.fleet.subsets import Subsets
from tansywood.fleet.terms import MS, SECOND, GrantTerms

RESTING = SECOND  # within which every tenant at rest is claimed for once ...
HOSTED_RESTING = RESTING // 2  # ... and one that a worker has: two claims before a grant is over
SOON = 20 * MS  # between two claims that were not due yet
BATCH_BYTES = 800  # of limits and evidence in one claim
BATCH_ROWS = 64  # of each of them
ROW_BYTES = 16  # of a row besides its limit key
OVERLAP = SECOND  # both subsets are claimed for while one gives way to the other
NEAR = 3  # instances that may have taken over an allocator's slice

Batch = tuple[dict[str, int], list[Observation]]  # needs by limit key, and evidence


def split(need: int, answering: Sequence[int], index: int, name: str, key: str) -> int:
    """Units of a need that are asked of allocator `index`; which of those that answer are asked for
    the odd units differs by who asks."""
    if index not in answering:
        return -(-need // max(len(answering), 1))  # should it be back
    place = (answering.index(index) - crc32(f"{name} {key}".encode())) % len(answering)
    return need // len(answering) + (place < need % len(answering))


def batches(needs: Iterable[tuple[str, int]], seen: Iterable[Observation]) -> Iterator[Batch]:
    """Needs and evidence, the last ones first, in as much as a datagram takes."""
    left, evidence = list(needs), list(seen)
    while left or evidence:
        row: dict[str, int] = {}
        size = 0
        while left and len(row) < BATCH_ROWS and size < BATCH_BYTES:
            key, need = left.pop()
            row[key] = need
            size += len(key) + ROW_BYTES
        some: list[Observation] = []
        while evidence and len(some) < BATCH_ROWS and size < BATCH_BYTES:
            some.append(evidence.pop())
            size += len(some[-1].server) + ROW_BYTES
        yield row, some


class Claims:
    """The claims of one instance. Times are nanoseconds of its clock."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        terms: GrantTerms,
        members: Members,
        entitlement: Entitlement,
        now: int,
    ) -> None:
        """`addresses`: the allocators', in their order."""
        self.next_at = now + turns.phase_offset(name, terms.claim_interval_ns)
        self._last_at = now - terms.claim_interval_ns
        self._name = name
        self._addresses = addresses
        self._terms = terms
        self._members = members
        self._entitlement = entitlement
        self._resting: deque[str] = deque()  # the next one whose turn it is first
        self._rested_at = now - terms.claim_interval_ns
        self._hosted_at: dict[str, int] = {}  # by tenant at rest that a worker has, its last claim
        # Tenants whose turn has come by then, times RESTING. Not from nothing: of instances that
        # started together each would claim for its one tenant in the same quarter of a second.
        self._rest_owed = turns.phase_offset(name, RESTING)
        self._subsets = Subsets(name, OVERLAP)
        self._answered_at: dict[int, int] = {}  # by allocator, the last time
        self._answered_by: dict[int, str] = {}  # by allocator, who did then
        self._turn = 0  # of members that are asked whether they allocate

    def soon(self, now: int) -> None:
        """Claim at once, or a moment after the last time."""
        self.next_at = min(self.next_at, max(now, self._last_at + SOON))

    def begin_round(self, now: int) -> None:
        """Claims leave now."""
        self._last_at = now
        self.next_at = now + self._terms.claim_interval_ns

    def set_tenants(self, tenants: Iterable[str]) -> None:
        """All tenants there are. Those that are new are claimed for first."""
        there = set(tenants)
        known = set(self._resting)
        kept = (tenant for tenant in self._resting if tenant in there)
        self._resting = deque([*sorted(there - known), *kept])
        for tenant in self._hosted_at.keys() - there:
            del self._hosted_at[tenant]

    def answered(self, now: int, index: int, address: str) -> None:
        """An allocator's grant came from this address."""
        self._answered_at[index] = now
        self._answered_by[index] = address

    def answered_by(self, index: int) -> str:
        """Who granted last of this slice."""
        return self._answered_by.get(index, self._addresses[index])

    def needs(self, now: int, demands: Demands) -> dict[str, int]:
        """Every limit to claim in this round, with the need in units."""
        needs: dict[str, int] = {}
        members = self._members.working()
        for tenant, demand in demands.heard(now).items():
            if demand.is_idle and not self._hosted_due(now, tenant):
                continue
            if not demand.is_idle:
                self._hosted_at.pop(tenant, None)
            limits = self._entitlement.tenants[tenant]
            ours = self._subsets.servers_in_use(now, tenant, members, limits.servers, limits.places)
            for key in self._entitlement.limits_by_tenant[tenant]:
                needs[key] = max(demand.needs.get(key, 0) - self._entitlement.floor(key), 0)
            if limits.places:
                # Places elsewhere are only taken where nobody else wants them.
                needs |= {places_key(tenant, s): 0 for s in limits.servers if s not in ours}
        for tenant in self._rested(now):
            if tenant not in demands.by_tenant and not self._members.own.drains:
                needs |= {rate_key(tenant): 0, open_key(tenant): 0}
        return needs

    def _hosted_due(self, now: int, tenant: str) -> bool:
        """Whether to claim for this tenant, which a worker has and nobody asks for."""
        if now - self._hosted_at.get(tenant, now - RESTING) < HOSTED_RESTING:
            return False
        self._hosted_at[tenant] = now
        return True

    def _rested(self, now: int) -> Iterator[str]:
        """Tenants whose turn it is to be claimed for, also where nobody asks for them: as many as
        the time since the last look is worth, so that claims in between add none."""
        count = len(self._resting)
        self._rest_owed += min(now - self._rested_at, RESTING) * count
        self._rested_at = now
        due = min(-(-self._rest_owed // RESTING), count)  # a part of one is claimed early, not late
        self._rest_owed -= due * RESTING
        for _ in range(due):
            yield self._resting[0]
            self._resting.rotate(-1)

    def answering(self, now: int) -> list[int]:
        """Allocators that answer; all of them where none does. A need is split over these: each
        would grant for the whole of it, and allocations would not follow needs at all."""
        indices = range(len(self._addresses))
        return [index for index in indices if self._answers(now, index)] or list(indices)

    def share(self, row: dict[str, int], answering: Sequence[int], index: int) -> dict[str, int]:
        """What of these needs is claimed of one allocator."""
        return {key: split(n, answering, index, self._name, key) for key, n in row.items()}

    def _answers(self, now: int, index: int) -> bool:
        """Whether an allocator has answered within the length of a grant."""
        length = self._terms.grant_ns
        return now - self._answered_at.get(index, -length) < length

    def ask_at(self, now: int, index: int, handed_on: bool) -> list[str]:
        """Addresses at which to claim of a slice: its allocator's, unless slices are handed on and
        another answers for it. Where nobody does, of whoever may have taken it over."""
        if not handed_on:
            return [self._addresses[index]]
        if self._answers(now, index):
            return [self._answered_by[index]]
        # The first few for its lease, as they ask for it; and all others in turn, for whoever has
        # another view of the members may hold it.
        rows = self._members.rows
        ranked = turns.rank_members(allocator_lease(index), self._members.working())
        self._turn += 1
        some = [*ranked[:NEAR], ranked[self._turn % len(ranked)]] if ranked else []
        found = [self._addresses[index], *(rows[n].update.address for n in some)]
        return list(dict.fromkeys(found))
