"""Which worker has which tenant: one owner at a time, and no more moves than there must be.

A tenant's caps at its servers, its rates and its retry budget are kept by its owner; two
owners at once would double them. So a tenant stays with its owner until that one ends, and a
worker that comes back gets new tenants and those of workers that end, not its old ones.
The choice is rendezvous hashing (Thaler and Ravishankar 1998): every door that knows the same
workers chooses the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(tenant: str, worker: str) -> bytes:
    return blake2b(f"{tenant}\0{worker}".encode(), digest_size=8).digest()


class Placement:
    """Told which workers live and what they own; says who has a tenant."""

    def __init__(self) -> None:
        self.workers: set[str] = set()
        self._owners: dict[str, str] = {}

    def joined(self, worker: str, owns: Iterable[str] = ()) -> None:
        """A worker is there. `owns` are tenants it serves already, as after a door's restart;
        where two say so the first one stays the owner."""
        self.workers.add(worker)
        for tenant in owns:
            self._owners.setdefault(tenant, worker)

    def left(self, worker: str) -> list[str]:
        """A worker has ended; returns the tenants that lose their owner by it."""
        self.workers.discard(worker)
        lost = [tenant for tenant, owner in self._owners.items() if owner == worker]
        for tenant in lost:
            del self._owners[tenant]
        return lost

    def forget(self, tenant: str) -> None:
        self._owners.pop(tenant, None)

    def owner(self, tenant: str) -> str | None:
        """The worker to go to, from now on the tenant's owner; None where none is there."""
        owner = self._owners.get(tenant)
        if owner is None and self.workers:
            owner = max(self.workers, key=lambda worker: weight(tenant, worker))
            self._owners[tenant] = owner
        return owner

    def owns(self, worker: str) -> list[str]:
        return sorted(tenant for tenant, owner in self._owners.items() if owner == worker)
