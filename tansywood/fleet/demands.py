"""What the workers of one instance ask for and have in use. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from tansywood.fleet.allocation import tenant_of
from tansywood.fleet.entitlement import Entitlement
from tansywood.fleet.terms import SECOND

SILENT = SECOND  # a worker that says nothing for so long is not claimed for


@dataclass(slots=True)
class Demand:
    """What a worker says of one tenant: what its callers ask for, and what is in use."""

    worker: str
    at: int
    rate: int = 0  # thousandths of a request a second
    needs: dict[str, int] = field(default_factory=dict)  # units by limit key
    used: dict[str, int] = field(default_factory=dict)  # units by limit key
    is_idle: bool = field(init=False)  # nobody asks for anything, and nothing is in use

    def __post_init__(self) -> None:
        self.is_idle = not (self.rate or any(self.needs.values()) or any(self.used.values()))


class Demands:
    """The last word of every worker, by tenant."""

    def __init__(self, entitlement: Entitlement, claim_soon: Callable[[int], None]) -> None:
        """`claim_soon(now)` is called where allocators should hear of a change at once."""
        self.by_tenant: dict[str, Demand] = {}
        self._entitlement = entitlement
        self._claim_soon = claim_soon
        self._left: dict[str, tuple[int, int]] = {}  # in use by dead workers' requests, until
        self._versions: dict[str, int] = {}  # of the allocations that each worker goes by

    def heard(self, now: int) -> dict[str, Demand]:
        """Of workers that have said something lately. What a stopped one has ends by itself."""
        return {t: d for t, d in self.by_tenant.items() if now - d.at <= SILENT}

    def report(self, now: int, worker: str, version: int, hosted: Mapping[str, Demand]) -> None:
        """All that a worker has at work, and the version of the allocations that it goes by. Of a
        tenant that rests the last `Demand` may be told again, which costs next to nothing."""
        same = self._versions.get(worker) == version
        self._versions[worker] = version
        for tenant in self._of(worker):
            if tenant not in hosted:
                self._idle(now, tenant)
        for tenant, demand in hosted.items():
            known = self.by_tenant.get(tenant)
            if known is demand and demand.is_idle and same:
                continue  # `granted` confirms what comes meanwhile
            if known is not None and known.worker != worker and now - known.at <= SILENT:
                continue  # another has it and says so; this one keeps to its floor
            if tenant not in self._entitlement.tenants:
                continue
            grown = known is None or any(
                need > known.needs.get(key, 0) for key, need in demand.needs.items()
            )
            self.by_tenant[tenant] = demand
            for key in self._entitlement.limits_by_tenant[tenant]:
                self._confirm(now, key, demand.used.get(key, 0), version)
            if grown:
                self._claim_soon(now)

    def worker_ended(self, now: int, worker: str) -> None:
        """A worker's process has ended. What it had out may still be at work at servers."""
        self._versions.pop(worker, None)
        for tenant in self._of(worker):
            limits = self._entitlement.tenants.get(tenant)
            if limits is not None:
                for key, used in self.by_tenant[tenant].used.items():
                    # Its last word may be a moment old, and what it might use it may have used.
                    most = max(used, self._entitlement.amount(now, key))
                    self._left[key] = (most, now + limits.tail)
            self._idle(now, tenant)

    def keep(self, tenants: Iterable[str]) -> None:
        """There are no tenants but these."""
        wanted = set(tenants)
        for tenant in [t for t in self.by_tenant if t not in wanted]:
            del self.by_tenant[tenant]

    def granted(self, now: int, keys: Iterable[str]) -> None:
        """These limits were granted anew: those that nobody uses are confirmed at once."""
        for key in keys:
            demand = self.by_tenant.get(tenant_of(key))
            if demand is None:
                self._confirm(now, key, 0, self._entitlement.holder.last_changed_version(key))
            elif demand.is_idle:
                self._confirm(now, key, 0, self._versions.get(demand.worker, 0))

    def all_over(self, now: int) -> bool:
        """Whether nothing is in use, by requests of workers that died included."""
        left = [key for key, (used, until) in self._left.items() if used and now < until]
        return not left and not self.by_tenant

    def _of(self, worker: str) -> list[str]:
        """Its tenants."""
        return [t for t, d in self.by_tenant.items() if d.worker == worker]

    def _idle(self, now: int, tenant: str) -> None:
        self.by_tenant.pop(tenant, None)
        self.granted(now, self._entitlement.limits_by_tenant.get(tenant, ()))

    def _confirm(self, now: int, key: str, used: int, version: int) -> None:
        """The workers go by this version and use so much; what dead ones left comes on top."""
        left, until = self._left.get(key, (0, 0))
        if until and now >= until:
            del self._left[key]
        elif until:
            used += left
        holder = self._entitlement.holder
        if holder.confirm(now, key, used - self._entitlement.floor(key), version):
            self._claim_soon(now)
