"""What one instance tells: its workers, what they may use; people, all that it knows. Pure.

The keys of both are what workers and tools read; they are as they were when allocators were still
called homes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from tansywood.fleet import turns
from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.demands import Demand
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import SECOND

if TYPE_CHECKING:
    from tansywood.fleet.instance import Instance

# Between two words to a worker on a tenant that rests. Renewed twice a second for 1.8 s, what it
# has holds beyond the next word though one renewal is lost; with 0.75 s here it did not.
IDLE_TENANT_UPDATE_INTERVAL_NS = SECOND // 2


class LastWorkerUpdate:
    """What one worker was told last of the tenants that it has."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[int, int]] = {}  # by tenant: when, and the version then
        self._version = -1  # at the last word on any of them

    def is_due(self, instance: Instance, now: int, tenant: str, demand: Demand) -> bool:
        """Whether to tell the worker of this tenant now. What rests is told where an amount has
        changed, and now and then for how long it holds."""
        last = self._last.get(tenant)
        if last is None or not demand.is_idle or now - last[0] >= IDLE_TENANT_UPDATE_INTERVAL_NS:
            return True
        holder = instance.holder
        return holder.version != self._version and any(
            holder.last_changed_version(key) > last[1]
            for key in instance.entitlement.limits_by_tenant[tenant]
        )

    def keep(self, now: int, version: int, told: Iterable[str], hosted: Iterable[str]) -> None:
        """These were told just now, at this version; the worker has no others than `hosted`."""
        self._version = version
        self._last |= dict.fromkeys(told, (now, version))
        for tenant in self._last.keys() - set(hosted):
            del self._last[tenant]


def for_worker(instance: Instance, now: int, worker: str, told: LastWorkerUpdate) -> dict[str, Any]:
    """Amounts of the tenants that a worker has, and for how many nanoseconds they hold. Those that
    are not named are as they were told before."""
    working = instance.members.working()
    by_tenant = instance.demands.by_tenant
    hosted = [tenant for tenant, demand in by_tenant.items() if demand.worker == worker]
    tenants = {
        tenant: _tenant_for_worker(instance, now, tenant, working)
        for tenant in hosted
        if told.is_due(instance, now, tenant, by_tenant[tenant])
    }
    # The version comes last: a look at an amount may have made another one.
    version = instance.holder.version
    told.keep(now, version, tenants, hosted)
    return {
        "version": version,
        "instances": max(len(working), 1),
        "tenants": tenants,
    }


def _tenant_for_worker(
    instance: Instance, now: int, tenant: str, working: list[str]
) -> dict[str, Any]:
    limits = instance.entitlement.tenants[tenant]
    evidence = instance.evidence
    amounts, end = instance.entitlement.amounts(now, tenant)
    servers = {s: f"{tenant}/{s}" for s in limits.servers}
    return {
        "rate": amounts[rate_key(tenant)],
        "open": amounts[open_key(tenant)],
        "places": {s: amounts[places_key(tenant, s)] for s in limits.servers}
        if limits.places
        else None,
        "left": max(end - now, 0),
        "doubted": [s for s, full in servers.items() if evidence.doubted(now, full)],
        "back": [s for s, full in servers.items() if evidence.recovered(now, full)],
        "tries": {
            s: turns.takeover_delay(full, working, instance.name)
            for s, full in servers.items()
            if evidence.ejected_locally(full)
        },
    }


def status(instance: Instance, now: int) -> dict[str, Any]:
    """Of JSON's types; times are seconds, rates requests a second."""
    addresses, granting = instance.allocator_addresses, instance.granting
    return {
        "name": instance.name,
        "address": instance.address,
        "homes": list(addresses),
        "deals": [addresses[i] for i in sorted(granting.allocators) if granting.active(i)],
        "conflict": instance.members.conflict,
        "members": _members(instance, now),
        "shares": {
            tenant: _share(instance, now, tenant, limits)
            for tenant, limits in sorted(instance.entitlement.tenants.items())
        },
        "counts": instance.messenger.counts | {"false_alarms": instance.members.false_alarms},
        "events": [
            {
                "ago_s": round((now - at) / SECOND, 1),
                "name": e.name,
                "what": e.what,
                "why": e.why,
            }
            for at, e in instance.events
        ],
    }


def _members(instance: Instance, now: int) -> list[dict[str, Any]]:
    rows = []
    for name, m in sorted(instance.members.rows.items()):
        u = m.update
        rows.append(
            {
                "name": name,
                "address": u.address,
                "state": "drains" if u.drains and m.present else m.state.name.lower(),
                "for_s": round((now - m.since) / SECOND, 1),
                "incarnation": u.incarnation,
                "zone": u.zone,
                "version": u.version,
                "home": u.address in instance.allocator_addresses,
                "ours": name == instance.name,
            }
        )
    return rows


def _share(instance: Instance, now: int, tenant: str, limits: Limits) -> dict[str, Any]:
    demand = instance.demands.by_tenant.get(tenant)
    row: dict[str, Any] = {
        "rate_per_s": instance.amount(now, rate_key(tenant)) / 1000,
        "of_rate_per_s": limits.rate / 1000,
        "open": instance.amount(now, open_key(tenant)),
        "of_open": limits.open,
        "floor_rate_per_s": instance.floor(rate_key(tenant)) / 1000,
        "asked_per_s": demand.rate / 1000 if demand is not None else 0.0,
        "doubted": [s for s in limits.servers if instance.evidence.doubted(now, f"{tenant}/{s}")],
    }
    if limits.places:
        row["places"] = {s: instance.amount(now, places_key(tenant, s)) for s in limits.servers}
        row["of_places"] = limits.places
    return row
