"""Reports of one instance: allocations for its workers, and its status for operators. Pure.

Workers and tools read the keys of both reports. In these keys allocators have their former name,
homes.
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

# Between two updates to a worker on an idle tenant. Amounts are renewed twice a second and hold for
# 1.8 s, so they outlast the next update even if one renewal is lost; with 0.75 s here they did not.
IDLE_TENANT_UPDATE_INTERVAL_NS = SECOND // 2


class LastWorkerUpdate:
    """When, and at which version, one worker was last sent the amounts of each of its tenants."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[int, int]] = {}  # by tenant: time, version
        self._version = -1  # at the last update of any tenant

    def is_due(self, instance: Instance, now: int, tenant: str, demand: Demand) -> bool:
        """Whether to send the worker this tenant's amounts now.

        A busy tenant is always sent. An idle one is sent when an amount has changed, and at an
        interval to extend the time for which its amounts hold.
        """
        last = self._last.get(tenant)
        if last is None or not demand.is_idle or now - last[0] >= IDLE_TENANT_UPDATE_INTERVAL_NS:
            return True
        holder = instance.holder
        return holder.version != self._version and any(
            holder.last_changed_version(key) > last[1]
            for key in instance.entitlement.limits_by_tenant[tenant]
        )

    def record(self, now: int, version: int, sent: Iterable[str], hosted: Iterable[str]) -> None:
        """Note that the tenants `sent` were sent at this version, and forget all but `hosted`."""
        self._version = version
        self._last |= dict.fromkeys(sent, (now, version))
        for tenant in self._last.keys() - set(hosted):
            del self._last[tenant]


def for_worker(
    instance: Instance, now: int, worker: str, last_update: LastWorkerUpdate
) -> dict[str, Any]:
    """Amounts of the tenants that a worker hosts, and for how many nanoseconds they hold.

    A tenant that is left out has the amounts that were sent before.
    """
    working = instance.members.working()
    by_tenant = instance.demands.by_tenant
    hosted = [tenant for tenant, demand in by_tenant.items() if demand.worker == worker]
    tenants = {
        tenant: _tenant_for_worker(instance, now, tenant, working)
        for tenant in hosted
        if last_update.is_due(instance, now, tenant, by_tenant[tenant])
    }
    # The version is read last: computing an amount may have raised it.
    version = instance.holder.version
    last_update.record(now, version, tenants, hosted)
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
    """The instance's status in JSON types; times in seconds, rates in requests per second."""
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
                "name": event.name,
                "what": event.what,
                "why": event.why,
            }
            for at, event in instance.events
        ],
    }


def _members(instance: Instance, now: int) -> list[dict[str, Any]]:
    rows = []
    for name, member in sorted(instance.members.rows.items()):
        update = member.update
        rows.append(
            {
                "name": name,
                "address": update.address,
                "state": "drains"
                if update.drains and member.present
                else member.state.name.lower(),
                "for_s": round((now - member.since) / SECOND, 1),
                "incarnation": update.incarnation,
                "zone": update.zone,
                "version": update.version,
                "home": update.address in instance.allocator_addresses,
                "ours": name == instance.name,
            }
        )
    return rows


def _share(instance: Instance, now: int, tenant: str, limits: Limits) -> dict[str, Any]:
    demand = instance.demands.by_tenant.get(tenant)
    share: dict[str, Any] = {
        "rate_per_s": instance.amount(now, rate_key(tenant)) / 1000,
        "of_rate_per_s": limits.rate / 1000,
        "open": instance.amount(now, open_key(tenant)),
        "of_open": limits.open,
        "floor_rate_per_s": instance.floor(rate_key(tenant)) / 1000,
        "asked_per_s": demand.rate / 1000 if demand is not None else 0.0,
        "doubted": [s for s in limits.servers if instance.evidence.doubted(now, f"{tenant}/{s}")],
    }
    if limits.places:
        share["places"] = {s: instance.amount(now, places_key(tenant, s)) for s in limits.servers}
        share["of_places"] = limits.places
    return share
