"""What is shared of a tenant's document, and the limit keys that it makes. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.terms import MS
from tansywood.tenancy.settings import TenantSettings


@dataclass(frozen=True, slots=True)
class Limits:
    """What is shared of a tenant's document. Rates in thousandths of a request a second."""

    rate: int
    open: int
    places: int  # at each server; 0: no limit is known
    servers: tuple[str, ...]
    tail: int  # nanoseconds after which a request taken now is over

    def by_key(self, tenant: str) -> dict[str, tuple[int, int]]:
        """By limit key: all there is of it, in units, and its tail in nanoseconds."""
        made = {
            rate_key(tenant): (self.rate, 0),
            open_key(tenant): (self.open, self.tail),
        }
        if self.places:
            for server in self.servers:
                made[places_key(tenant, server)] = (self.places, self.tail)
        return made


def limits_of(tenant: TenantSettings) -> Limits:
    """What a tenant's instances share."""
    return Limits(
        rate=int(tenant.limits.rate_per_s * 1000),
        open=tenant.limits.open,
        places=tenant.limits.places,
        servers=tuple(s.name for s in tenant.servers),
        tail=max(c.deadline_ms for c in tenant.classes) * MS,
    )
