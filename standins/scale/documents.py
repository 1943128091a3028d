"""The tenants that there are from the start, as documents and as records of a store."""

from __future__ import annotations

import json
from collections.abc import Iterator
from random import Random
from typing import Any

from standins.scale.plan import host_of, uid_of
from tansywood.tenancy.registry import Tenant
from tansywood.tenancy.settings import ACTIVE, server_uid


def document(tenant: int, random: Random) -> dict[str, Any]:
    """A small tenant's document: one host, two classes, three to six servers, limits."""
    servers = [
        {"name": f"s{n}", "address": f"10.{tenant >> 16}.{tenant >> 8 & 255}.{tenant & 255}:{n}"}
        for n in range(8001, 8001 + random.randint(3, 6))
    ]
    return {
        "name": uid_of(tenant),
        "callers": {"hosts": [host_of(tenant)], "key_required": False},
        "classes": [
            {"name": "balance", "aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"},
            {
                "name": "credit",
                "aim_ms": 1000,
                "deadline_ms": 3000,
                "repeat": "never",
                "worth": 5.0,
            },
        ],
        "servers": servers,
        "limits": {"rate_per_s": 100.0, "burst": 50, "open": 100},
    }


def records(tenants: int, seed: int) -> Iterator[tuple[bytes, bytes]]:
    """All tenants as a store would hold them."""
    random = Random(f"documents {seed}")
    for number in range(tenants):
        made = document(number, random)
        since = {server_uid(server): 1 for server in made["servers"]}
        uid = uid_of(number)
        tenant = Tenant(uid, made["name"], ACTIVE, 1, number + 1, made, since, 1, 1)
        yield f"tenant/{uid}".encode(), json.dumps(tenant.record()).encode()
    yield b"meta/seq", str(tenants).encode()
