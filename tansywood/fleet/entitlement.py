"""What one instance may use of every limit: what allocators granted it, and its own floor. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from tansywood.fleet.allocation import Holder, floor_of, slice_of, tenant_of
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import GrantTerms


class Entitlement:
    """The limits there are, and one instance's units of each. Units as in `allocation`."""

    def __init__(self, terms: GrantTerms, allocators: int, index: int) -> None:
        """`index`: which of the allocators this instance is; -1 where it is none."""
        self.holder = Holder(terms, allocators)
        self.tenants: dict[str, Limits] = {}
        # By tenant and limit key: the whole limit in units, and its tail in nanoseconds.
        self.limits_by_tenant: dict[str, dict[str, tuple[int, int]]] = {}
        self._allocators = allocators
        self._index = index
        self._floors: dict[str, int] = {}  # by limit key

    def set_tenants(self, tenants: Mapping[str, Limits]) -> None:
        """All tenants there are. Only what is new or has changed is worked out."""
        before = self.tenants
        self.tenants = dict(tenants)
        for tenant in before.keys() - tenants.keys():
            self._forget_floors(self.limits_by_tenant.pop(tenant))
        for tenant, limits in tenants.items():
            if before.get(tenant) != limits:
                self._forget_floors(self.limits_by_tenant.get(tenant, ()))
                self.limits_by_tenant[tenant] = limits.by_key(tenant)
                self._know_floors(self.limits_by_tenant[tenant])

    def _know_floors(self, keys: Mapping[str, tuple[int, int]]) -> None:
        if self._index >= 0:
            for key, (whole, _) in keys.items():
                self._floors[key] = floor_of(slice_of(key, whole, self._allocators, self._index))

    def _forget_floors(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._floors.pop(key, None)

    def limits(self) -> dict[str, tuple[int, int]]:
        """By limit key, of all tenants: all there is of it, and its tail in nanoseconds."""
        return {
            key: row for of_one in self.limits_by_tenant.values() for key, row in of_one.items()
        }

    def floor(self, key: str) -> int:
        """Units that we may use with nobody to ask."""
        return self._floors.get(key, 0)

    def amount(self, now: int, key: str) -> int:
        """Units that we may use now, the floor included; not more than the whole."""
        whole, _ = self.limits_by_tenant.get(tenant_of(key), {}).get(key, (0, 0))
        return min(self.holder.amount(now, key) + self.floor(key), whole)

    def amounts(self, now: int, tenant: str) -> tuple[dict[str, int], int]:
        """Of each limit of a tenant, what `amount` says; and when the first grant of these is over,
        `now` where nothing is granted."""
        found: dict[str, int] = {}
        ends = []
        for key, (whole, _) in self.limits_by_tenant[tenant].items():
            granted = self.holder.amount(now, key)
            found[key] = min(granted + self.floor(key), whole)
            if granted:
                ends.append(self.holder.until(now, key))
        return found, min(ends, default=now)

    def sweep(self, now: int) -> None:
        """Forget limits of tenants that are gone, once what was held of them is over."""
        for key in self.holder.known_keys():
            if tenant_of(key) not in self.tenants:
                self.holder.forget(now, key)
