"""The limits of a tenant that the instances of a fleet share, and their limit keys. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.terms import MS
from tansywood.tenancy.settings import TenantSettings


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one tenant that are shared by all instances."""

    rate: int  # thousandths of a request per second
    open: int  # concurrent requests of the tenant
    places: int  # concurrent requests at each server; 0 if not limited
    servers: tuple[str, ...]
    tail: int  # nanoseconds after which a request admitted now has certainly ended

    def by_key(self, tenant: str) -> dict[str, tuple[int, int]]:
        """Return the limits by limit key: units of the whole limit, and its tail in nanoseconds."""
        limits = {
            rate_key(tenant): (self.rate, 0),
            open_key(tenant): (self.open, self.tail),
        }
        if self.places:
            for server in self.servers:
                limits[places_key(tenant, server)] = (self.places, self.tail)
        return limits


def limits_of(tenant: TenantSettings) -> Limits:
    """Return the shared limits of a tenant's settings."""
    return Limits(
        rate=int(tenant.limits.rate_per_s * 1000),
        open=tenant.limits.open,
        places=tenant.limits.places,
        servers=tuple(s.name for s in tenant.servers),
        tail=max(c.deadline_ms for c in tenant.classes) * MS,
    )
