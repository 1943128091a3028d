"""Decides which limits one instance claims, when, and from which allocator address. Pure."""

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

IDLE_CLAIM_INTERVAL_NS = SECOND  # every idle tenant is claimed once within this time
# An idle tenant that a worker hosts is claimed twice before a grant expires.
HOSTED_IDLE_CLAIM_INTERVAL_NS = IDLE_CLAIM_INTERVAL_NS // 2
MIN_CLAIM_GAP_NS = 20 * MS  # minimum time between claims that leave before their round is due
MAX_BATCH_BYTES = 800  # maximum size of the limits and evidence in one claim
MAX_BATCH_ENTRIES = 64  # maximum number of limits in one claim, and of observations
ENTRY_OVERHEAD_BYTES = 16  # size of an entry without its limit key
# While a tenant's server subset changes, servers of the old and the new one are claimed this long.
SUBSET_OVERLAP_NS = SECOND
# Top-ranked members that are asked for a slice whose allocator does not answer.
TAKEOVER_CANDIDATE_COUNT = 3

Batch = tuple[dict[str, int], list[Observation]]  # needs by limit key, and evidence


def split_need(need: int, answering: Sequence[int], index: int, name: str, key: str) -> int:
    """Return the units of a need to claim from allocator `index`. The instance's name and the key
    determine which of the answering allocators are asked for the remaining units."""
    if index not in answering:
        # An allocator that does not answer gets a full part of the need, in case it is back.
        return -(-need // max(len(answering), 1))
    position = (answering.index(index) - crc32(f"{name} {key}".encode())) % len(answering)
    return need // len(answering) + (position < need % len(answering))


def batches(needs: Iterable[tuple[str, int]], seen: Iterable[Observation]) -> Iterator[Batch]:
    """Split needs and evidence into batches that fit a datagram, beginning with the last ones."""
    left, evidence = list(needs), list(seen)
    while left or evidence:
        row: dict[str, int] = {}
        size = 0
        while left and len(row) < MAX_BATCH_ENTRIES and size < MAX_BATCH_BYTES:
            key, need = left.pop()
            row[key] = need
            size += len(key) + ENTRY_OVERHEAD_BYTES
        some: list[Observation] = []
        while evidence and len(some) < MAX_BATCH_ENTRIES and size < MAX_BATCH_BYTES:
            some.append(evidence.pop())
            size += len(some[-1].server) + ENTRY_OVERHEAD_BYTES
        yield row, some


class Claims:
    """Schedules the claims of one instance. Times are nanoseconds of its clock."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        terms: GrantTerms,
        members: Members,
        entitlement: Entitlement,
        now: int,
    ) -> None:
        """`addresses` are the allocators' addresses, in the order of their indices."""
        self.next_at = now + turns.phase_offset(name, terms.claim_interval_ns)
        self._last_round_at = now - terms.claim_interval_ns
        self._name = name
        self._addresses = addresses
        self._terms = terms
        self._members = members
        self._entitlement = entitlement
        self._idle_queue: deque[str] = deque()  # tenants in the order of their next idle claim
        self._idle_counted_at = now - terms.claim_interval_ns
        # Time of the last claim for each idle tenant that a worker hosts.
        self._hosted_claimed_at: dict[str, int] = {}
        # Number of tenants due for an idle claim, times IDLE_CLAIM_INTERVAL_NS. The start value
        # differs between instances: with 0, instances that start together would each claim for
        # their one tenant in the same quarter of a second.
        self._idle_claims_due = turns.phase_offset(name, IDLE_CLAIM_INTERVAL_NS)
        self._subsets = Subsets(name, SUBSET_OVERLAP_NS)
        self._answered_at: dict[int, int] = {}  # time of the last grant, by allocator
        self._answered_by: dict[int, str] = {}  # address that sent the last grant, by allocator
        self._rotation = 0  # rotates over the members that are asked whether they allocate a slice

    def schedule_soon(self, now: int) -> None:
        """Bring the next claims forward to `now`, but not closer to the last ones than the minimum
        gap."""
        self.next_at = min(self.next_at, max(now, self._last_round_at + MIN_CLAIM_GAP_NS))

    def begin_round(self, now: int) -> None:
        """Record that claims leave now, and schedule the next round."""
        self._last_round_at = now
        self.next_at = now + self._terms.claim_interval_ns

    def set_tenants(self, tenants: Iterable[str]) -> None:
        """Replace the set of tenants. New tenants are claimed first."""
        current = set(tenants)
        known = set(self._idle_queue)
        kept = (tenant for tenant in self._idle_queue if tenant in current)
        self._idle_queue = deque([*sorted(current - known), *kept])
        for tenant in self._hosted_claimed_at.keys() - current:
            del self._hosted_claimed_at[tenant]

    def answered(self, now: int, index: int, address: str) -> None:
        """Record that a grant of allocator `index` came from this address."""
        self._answered_at[index] = now
        self._answered_by[index] = address

    def answered_by(self, index: int) -> str:
        """Return the address that sent the last grant of this slice."""
        return self._answered_by.get(index, self._addresses[index])

    def needs(self, now: int, demands: Demands) -> dict[str, int]:
        """Return every limit to claim in this round, with the need in units."""
        needs: dict[str, int] = {}
        members = self._members.working()
        for tenant, demand in demands.recent(now).items():
            if demand.is_idle and not self._hosted_due(now, tenant):
                continue
            if not demand.is_idle:
                self._hosted_claimed_at.pop(tenant, None)
            limits = self._entitlement.tenants[tenant]
            subset = self._subsets.servers_in_use(
                now, tenant, members, limits.servers, limits.places
            )
            for key in self._entitlement.limits_by_tenant[tenant]:
                needs[key] = max(demand.needs.get(key, 0) - self._entitlement.floor(key), 0)
            if limits.places:
                # At servers outside its subset the instance takes only places that nobody needs.
                needs |= {places_key(tenant, s): 0 for s in limits.servers if s not in subset}
        for tenant in self._due_idle_tenants(now):
            if tenant not in demands.by_tenant and not self._members.own.drains:
                needs |= {rate_key(tenant): 0, open_key(tenant): 0}
        return needs

    def _hosted_due(self, now: int, tenant: str) -> bool:
        """Whether to claim now for this idle tenant, which a worker hosts."""
        if (
            now - self._hosted_claimed_at.get(tenant, now - IDLE_CLAIM_INTERVAL_NS)
            < HOSTED_IDLE_CLAIM_INTERVAL_NS
        ):
            return False
        self._hosted_claimed_at[tenant] = now
        return True

    def _due_idle_tenants(self, now: int) -> Iterator[str]:
        """Yield the tenants that are due for a claim although nobody asks for them. Their number is
        proportional to the time since the last call, so extra claims in between add none."""
        count = len(self._idle_queue)
        self._idle_claims_due += min(now - self._idle_counted_at, IDLE_CLAIM_INTERVAL_NS) * count
        self._idle_counted_at = now
        # Rounded up, so that a tenant is claimed early rather than late.
        due = min(-(-self._idle_claims_due // IDLE_CLAIM_INTERVAL_NS), count)
        self._idle_claims_due -= due * IDLE_CLAIM_INTERVAL_NS
        for _ in range(due):
            yield self._idle_queue[0]
            self._idle_queue.rotate(-1)

    def answering(self, now: int) -> list[int]:
        """Return the allocators that answer, or all of them if none does. A need is split over
        these. If each were asked for the whole need, allocations would not follow the needs."""
        indices = range(len(self._addresses))
        return [index for index in indices if self._answers(now, index)] or list(indices)

    def share(self, row: dict[str, int], answering: Sequence[int], index: int) -> dict[str, int]:
        """Return the part of these needs to claim from one allocator."""
        return {key: split_need(n, answering, index, self._name, key) for key, n in row.items()}

    def _answers(self, now: int, index: int) -> bool:
        """Whether an allocator has answered within the length of a grant."""
        grant_ns = self._terms.grant_ns
        return now - self._answered_at.get(index, -grant_ns) < grant_ns

    def addresses_for(self, now: int, index: int, uses_leases: bool) -> list[str]:
        """Return the addresses at which to claim units of a slice. Without leases this is the
        allocator's own address. Under leases it is the address that granted last, or, if nobody
        answers, the addresses of the instances that may have taken the slice over."""
        if not uses_leases:
            return [self._addresses[index]]
        if self._answers(now, index):
            return [self._answered_by[index]]
        # The members that rank first for the slice's lease are the ones that ask for it. All
        # others are asked in turn, because a member with another view of the fleet may hold it.
        rows = self._members.rows
        ranked = turns.rank_members(allocator_lease(index), self._members.working())
        self._rotation += 1
        candidates = (
            [*ranked[:TAKEOVER_CANDIDATE_COUNT], ranked[self._rotation % len(ranked)]]
            if ranked
            else []
        )
        addresses = [self._addresses[index], *(rows[n].update.address for n in candidates)]
        return list(dict.fromkeys(addresses))
