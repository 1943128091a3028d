"""Tracks the demand and the usage that the workers of one instance report. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from tansywood.fleet.allocation import tenant_of
from tansywood.fleet.entitlement import Entitlement
from tansywood.fleet.terms import SECOND

WORKER_REPORT_TIMEOUT_NS = SECOND  # without a report for this long, nothing is claimed for a worker


@dataclass(slots=True)
class Demand:
    """A worker's report on one tenant: the units that its callers ask for and those in use."""

    worker: str
    at: int  # time of the report
    rate: int = 0  # thousandths of a request per second
    needs: dict[str, int] = field(default_factory=dict)  # units by limit key
    used: dict[str, int] = field(default_factory=dict)  # units by limit key
    is_idle: bool = field(init=False)  # no caller asks for units, and none are in use

    def __post_init__(self) -> None:
        self.is_idle = not (self.rate or any(self.needs.values()) or any(self.used.values()))


class Demands:
    """The last report of every worker, by tenant."""

    def __init__(self, entitlement: Entitlement, claim_soon: Callable[[int], None]) -> None:
        """`claim_soon(now)` is called when allocators should learn of a change at once."""
        self.by_tenant: dict[str, Demand] = {}
        self._entitlement = entitlement
        self._schedule_claim = claim_soon
        # By limit key: units that requests of ended workers may still use, and until when.
        self._left_in_use: dict[str, tuple[int, int]] = {}
        self._versions: dict[str, int] = {}  # version of the allocations that each worker applies

    def recent(self, now: int) -> dict[str, Demand]:
        """Return the demands of workers that reported recently. The grants of a worker that has
        stopped reporting expire by themselves."""
        return {t: d for t, d in self.by_tenant.items() if now - d.at <= WORKER_REPORT_TIMEOUT_NS}

    def report(self, now: int, worker: str, version: int, hosted: Mapping[str, Demand]) -> None:
        """Record all tenants that a worker hosts, and the version of the allocations that it
        applies. For an idle tenant the caller may pass the previous `Demand` object again, which
        is cheap to process."""
        same = self._versions.get(worker) == version
        self._versions[worker] = version
        for tenant in self._tenants_of(worker):
            if tenant not in hosted:
                self._drop_demand(now, tenant)
        for tenant, demand in hosted.items():
            known = self.by_tenant.get(tenant)
            if known is demand and demand.is_idle and same:
                continue  # `granted` confirms grants that arrive in the meantime
            if (
                known is not None
                and known.worker != worker
                and now - known.at <= WORKER_REPORT_TIMEOUT_NS
            ):
                continue  # another worker reports this tenant; this one has to use its floor only
            if tenant not in self._entitlement.tenants:
                continue
            grown = known is None or any(
                need > known.needs.get(key, 0) for key, need in demand.needs.items()
            )
            self.by_tenant[tenant] = demand
            for key in self._entitlement.limits_by_tenant[tenant]:
                self._confirm(now, key, demand.used.get(key, 0), version)
            if grown:
                self._schedule_claim(now)

    def worker_ended(self, now: int, worker: str) -> None:
        """Record that a worker's process has ended. Servers may still work on its requests."""
        self._versions.pop(worker, None)
        for tenant in self._tenants_of(worker):
            limits = self._entitlement.tenants.get(tenant)
            if limits is not None:
                for key, used in self.by_tenant[tenant].used.items():
                    # The last report may be out of date, so the worker counts as having used
                    # everything that it was allowed to.
                    max_used = max(used, self._entitlement.amount(now, key))
                    self._left_in_use[key] = (max_used, now + limits.tail)
            self._drop_demand(now, tenant)

    def retain_tenants(self, tenants: Iterable[str]) -> None:
        """Drop the demands of all tenants but these."""
        wanted = set(tenants)
        for tenant in [t for t in self.by_tenant if t not in wanted]:
            del self.by_tenant[tenant]

    def granted(self, now: int, keys: Iterable[str]) -> None:
        """Process new grants of these limits: confirm at once those that nobody uses."""
        for key in keys:
            demand = self.by_tenant.get(tenant_of(key))
            if demand is None:
                self._confirm(now, key, 0, self._entitlement.holder.last_changed_version(key))
            elif demand.is_idle:
                self._confirm(now, key, 0, self._versions.get(demand.worker, 0))

    def nothing_in_use(self, now: int) -> bool:
        """Whether no units are in use, also not by requests of workers that have ended."""
        left = [key for key, (used, until) in self._left_in_use.items() if used and now < until]
        return not left and not self.by_tenant

    def _tenants_of(self, worker: str) -> list[str]:
        """Return the tenants that a worker hosts."""
        return [t for t, d in self.by_tenant.items() if d.worker == worker]

    def _drop_demand(self, now: int, tenant: str) -> None:
        self.by_tenant.pop(tenant, None)
        self.granted(now, self._entitlement.limits_by_tenant.get(tenant, ()))

    def _confirm(self, now: int, key: str, used: int, version: int) -> None:
        """Confirm that the workers apply this version and use `used` units, to which the units
        that ended workers may still use are added."""
        left, until = self._left_in_use.get(key, (0, 0))
        if until and now >= until:
            del self._left_in_use[key]
        elif until:
            used += left
        holder = self._entitlement.holder
        if holder.confirm(now, key, used - self._entitlement.floor(key), version):
            self._schedule_claim(now)
