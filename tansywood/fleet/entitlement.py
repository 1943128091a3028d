"""The units of every limit that one instance may use: its grants and its own floor. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from tansywood.fleet.allocation import Holder, floor_of, slice_of, tenant_of
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import GrantTerms


class Entitlement:
    """All limits, and the units of each that one instance may use. For units see `allocation`."""

    def __init__(self, terms: GrantTerms, allocators: int, index: int) -> None:
        """`index` is the allocator that this instance is, or -1."""
        self.holder = Holder(terms, allocators)
        self.tenants: dict[str, Limits] = {}
        # By tenant and limit key: the whole limit in units, and its tail in nanoseconds.
        self.limits_by_tenant: dict[str, dict[str, tuple[int, int]]] = {}
        self._allocators = allocators
        self._index = index
        self._floors: dict[str, int] = {}  # by limit key

    def set_tenants(self, tenants: Mapping[str, Limits]) -> None:
        """Replace the tenants. Limits are computed only for new and changed tenants."""
        before = self.tenants
        self.tenants = dict(tenants)
        for tenant in before.keys() - tenants.keys():
            self._drop_floors(self.limits_by_tenant.pop(tenant))
        for tenant, limits in tenants.items():
            if before.get(tenant) != limits:
                self._drop_floors(self.limits_by_tenant.get(tenant, ()))
                self.limits_by_tenant[tenant] = limits.by_key(tenant)
                self._compute_floors(self.limits_by_tenant[tenant])

    def _compute_floors(self, keys: Mapping[str, tuple[int, int]]) -> None:
        if self._index >= 0:
            for key, (whole, _) in keys.items():
                self._floors[key] = floor_of(slice_of(key, whole, self._allocators, self._index))

    def _drop_floors(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._floors.pop(key, None)

    def limits(self) -> dict[str, tuple[int, int]]:
        """Return the limits of all tenants by limit key: units of the whole limit, and its tail in
        nanoseconds."""
        return {
            key: limit for limits in self.limits_by_tenant.values() for key, limit in limits.items()
        }

    def floor(self, key: str) -> int:
        """Return the units that this instance may use without a grant."""
        return self._floors.get(key, 0)

    def amount(self, now: int, key: str) -> int:
        """Return the units that this instance may use now: grants and floor, at most the whole
        limit."""
        whole, _ = self.limits_by_tenant.get(tenant_of(key), {}).get(key, (0, 0))
        return min(self.holder.amount(now, key) + self.floor(key), whole)

    def amounts(self, now: int, tenant: str) -> tuple[dict[str, int], int]:
        """Return the `amount` of each limit of a tenant, and the earliest end of the grants counted
        in them, or `now` if nothing is granted."""
        amounts: dict[str, int] = {}
        ends = []
        for key, (whole, _) in self.limits_by_tenant[tenant].items():
            granted = self.holder.amount(now, key)
            amounts[key] = min(granted + self.floor(key), whole)
            if granted:
                ends.append(self.holder.until(now, key))
        return amounts, min(ends, default=now)

    def sweep(self, now: int) -> None:
        """Drop the grants of removed tenants once they have expired."""
        for key in self.holder.known_keys():
            if tenant_of(key) not in self.tenants:
                self.holder.forget(now, key)
