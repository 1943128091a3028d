"""A tenant's settings as those of one node: what windrelay and flinthatch are told."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any

from flinthatch import Effect, RequestClass, Scope, Settings, reconfigure
from tansywood.tenancy.schema import MAX_ZONES
from tansywood.tenancy.settings import TenantSettings, server_uid
from windrelay.config import Address, Config
from windrelay.node import RESERVED_DESCRIPTORS, Node

MS = 1_000_000
SECOND = 1_000_000_000
EFFECTS = {"safe": Effect.PURE, "keyed": Effect.TOKEN, "never": Effect.SIDE_EFFECT}
MAX_RETRY_AFTER = 2 * SECOND
NOWHERE = Address("127.0.0.1", 0)  # its servers are told by the service, its callers come by a door
DRAIN_GRACE = 2 * SECOND
COLD = 8 * SECOND
COLD_FROM = 0.3


def settings(tenant: TenantSettings) -> Settings:
    """What the decision module is told. One worker has a tenant, so it is one node of one."""
    return Settings(
        classes=tuple(
            RequestClass(
                name=c.name,
                latency_target=c.aim_ms * MS,
                deadline=c.deadline_ms * MS,
                effect=EFFECTS[c.repeat],
                scope=Scope.ALL,
                retry_window=c.window_ms * MS,
                value=c.worth,
            )
            for c in tenant.classes
        ),
        zones=MAX_ZONES,
        drain_grace=DRAIN_GRACE,
        slow_start_fraction=COLD_FROM,
        slow_start=COLD,
        overload_window=3 * SECOND // 2,
        answer_slack=20 * MS,
        max_attempts=tenant.max_attempts,
        can_cancel=True,
        can_probe=True,
        # Told to stay away past its aim a caller would come back late whatever is done.
        max_retry_after=min(MAX_RETRY_AFTER, *(c.aim_ms * MS for c in tenant.classes)),
        tick=5 * MS,
        weighted=any(s.rating != 1.0 for s in tenant.servers),
    )


@contextlib.contextmanager
def entered(node: Node) -> Iterator[int]:
    """The time, for what is told to a node's module from outside its own events."""
    now = node.begin_event()
    try:
        yield now
    finally:
        node.end_event()


def refuse_waiting(node: Node) -> None:
    """Answer at once what waits for a server."""
    with entered(node) as now:
        reconfigure.refuse_waiting(node.balancer, now)


def zones(tenant: TenantSettings) -> tuple[str, ...]:
    """Its zones; the first server's is the one that is preferred."""
    return tuple(dict.fromkeys(s.zone for s in tenant.servers))


def config(uid: str, tenant: TenantSettings) -> Config:
    """The node's own. Connections to servers come on top of those of callers, half as many:
    of all of them it keeps a third for servers, which so never binds callers."""
    limits = tenant.limits
    return Config(
        name=tenant.name,
        listen=NOWHERE,
        discovery=NOWHERE,
        seed=int.from_bytes(blake2b(uid.encode(), digest_size=8).digest(), "big"),
        memory_mb=0,  # its bytes are limited by themselves: see MemoryBudget.set_limit
        max_descriptors=RESERVED_DESCRIPTORS + limits.connections + limits.connections // 2 + 8,
        initial_list={"rev": 0, "all": True, "targets": []},
        settings=settings(tenant),
        zones=zones(tenant),
        kinds=(),
        backend_idle_timeout=15 * SECOND,
        max_open_requests=limits.open,
        load_reports_enabled=False,
        raw={},
    )


def members(tenant: TenantSettings, since: Mapping[str, int], rev: int) -> dict[str, Any]:
    """The list of its servers, as discovery would tell it.

    One of which no start is told counts as started when it was first listed: what was added
    lately is cold, what a worker that takes over finds in the settings for long is not.
    """
    return {
        "rev": rev,
        "all": True,
        "targets": [
            {
                "uid": server_uid({"name": s.name, "address": s.address}),
                "endpoint": s.address,
                "az": s.zone,
                "state": "leaving" if s.draining else "active",
                "capacity_hint": s.rating,
                "boot_ms": s.started_ms or since.get(f"{s.name}@{s.address}", 0),
            }
            for s in tenant.servers
        ],
    }
