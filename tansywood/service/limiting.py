"""A hosted tenant's limits as they are put in force: all of them, or one instance's allocation.

What is in force is looked at where it is used: the tenant's bucket and its decision module each
compare the end of an allocation with the clock before they let anything through. So a process that
was stopped goes down to what it may do without asking before its first send, whatever lies in its
queues. Where there is no fleet nothing ends, and nothing of a fleet is loaded.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

from flinthatch import shared_limits as module
from flinthatch.balancer import NEVER
from tansywood.service.shape import entered
from tansywood.tenancy.limits import Bucket
from tansywood.tenancy.settings import TenantSettings, server_uid
from windrelay.discovery import backend_id


class Tenant(Protocol):
    """What is shared of a hosted tenant, whatever its protocol."""

    uid: str
    settings: TenantSettings
    node: Any
    server: Any


@dataclass(frozen=True, slots=True)
class Amounts:
    """What one instance may use of a tenant's limits."""

    rate: int  # thousandths of a request a second
    open: int
    places: Mapping[str, int] | None  # by a server's name; None where none are limited


def whole(settings: TenantSettings) -> Amounts:
    """All of it: where there is no fleet."""
    limits = settings.limits
    places = {s.name: limits.places for s in settings.servers} if limits.places else None
    return Amounts(int(limits.rate_per_s * 1000), limits.open, places)


def numbers(settings: TenantSettings) -> dict[str, int]:
    """The decision module's number of each server, by name."""
    return {
        s.name: backend_id(server_uid({"name": s.name, "address": s.address}))
        for s in settings.servers
    }


def apply(
    hosted: Tenant,
    amounts: Amounts,
    until: int = NEVER,
    after: Amounts | None = None,
    instances: int = 1,
) -> None:
    """Put amounts in force up to `until`, `after` from then on."""
    settings: TenantSettings = hosted.settings
    limits, node = settings.limits, hosted.node
    bucket: Bucket | None = hosted.server.bucket
    now = time.monotonic_ns()
    number = numbers(settings)
    fraction = min(amounts.rate / (limits.rate_per_s * 1000), 1.0)
    of_open = min(amounts.open / limits.open, 1.0)
    node.config = replace(node.config, max_open_requests=amounts.open)
    node.budget.set_limit(int(limits.held_bytes * of_open))
    if bucket is not None:
        bucket.change(now, amounts.rate / 1000, limits.burst * fraction)

        def lapsed() -> None:
            if after is not None:
                apply(hosted, after, instances=instances)

        bucket.hold_until(until, lapsed)

    def numbered(some: Amounts | None) -> dict[int, int] | None:
        if some is None or some.places is None:
            return None
        return {number[s]: n for s, n in some.places.items() if s in number}

    with entered(node) as here:
        module.apply_limits(
            node.balancer,
            here,
            numbered(amounts),
            until,
            numbered(after),
            instances,
            fraction if after is not None else 1.0,
        )
