"""The `[fleet]` section of the operator's file: shape, checks, values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import ADDRESS, NAME

LEASE_MS = 4000
LEAST_LEASE_MS = 400  # renewed every quarter of it
LEAST_HAND_ON_MS = 3000
MAX_ALLOCATORS = 9  # every instance claims from each: the more, the more datagrams

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "instance", "address", "first", "key_file"],
    "properties": {
        "name": {"type": "string", "pattern": NAME, "description": "of the fleet"},
        "instance": {"type": "string", "pattern": NAME, "description": "of this one, unique in it"},
        "address": {
            "type": "string",
            "pattern": ADDRESS,
            "description": "IPv4:port, for datagrams",
        },
        "first": {
            "type": "array",
            "minItems": 1,
            "maxItems": MAX_ALLOCATORS,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": ADDRESS},
            "description": "the homes' addresses: the same, in this order, at every instance",
        },
        "key_file": {"type": "string", "description": "64 hexadecimal digits a line, mode 0600"},
        "zone": {"type": "string", "pattern": NAME},
        "voters": {
            "type": "array",
            "minItems": 1,
            "maxItems": 5,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": NAME},
            "description": "1, 3 or 5 instances that grant leases: the same at every instance",
        },
        "lease_ms": {
            "type": "integer",
            "minimum": LEAST_LEASE_MS,
            "maximum": 60_000,
            "description": "how long a lease lasts: the same at every instance; 4000",
        },
        "hand_on": {
            "type": "boolean",
            "description": "a slice is dealt under a lease, by another while its home is away; "
            "needs voters, the same at every instance; false",
        },
    },
}


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The section, read."""

    name: str
    instance: str
    address: str
    first: tuple[str, ...]
    key_file: Path
    zone: str = ""
    voters: tuple[str, ...] = ()  # none: no leases
    lease_ms: int = LEASE_MS
    hand_on: bool = False  # slices are granted under leases, by others while an allocator is away

    @property
    def index(self) -> int:
        """Which allocator this one is; -1 where it is none."""
        return self.first.index(self.address) if self.address in self.first else -1


def read(raw: Mapping[str, Any], folder: Path) -> FleetSettings:
    """Of a section that its schema and `faults` found nothing wrong with."""
    return FleetSettings(
        raw["name"],
        raw["instance"],
        raw["address"],
        tuple(raw["first"]),
        (folder / raw["key_file"]).absolute(),
        raw.get("zone", ""),
        tuple(raw.get("voters", ())),
        raw.get("lease_ms", LEASE_MS),
        raw.get("hand_on", False),
    )


def faults(raw: Mapping[str, Any]) -> list[Fault]:
    """What a schema can't say."""
    found = []
    voters = raw.get("voters")
    if isinstance(voters, list) and len(voters) % 2 == 0 and voters:
        found.append(
            Fault(
                "/fleet/voters", f"{len(voters)} voters outlast no more than one fewer", "1, 3, 5"
            )
        )
    if raw.get("hand_on") and not voters:
        found.append(Fault("/fleet/hand_on", "needs leases", "name `voters`, or leave it out"))
    if raw.get("hand_on") and raw.get("lease_ms", LEASE_MS) < LEAST_HAND_ON_MS:
        what = "is over before other voters have elected one of theirs: slices would rest with it"
        found.append(Fault("/fleet/lease_ms", what, f"{LEAST_HAND_ON_MS} or more with hand_on"))
    rows = [("/fleet/address", raw.get("address"))]
    first = raw.get("first")
    if isinstance(first, list):
        rows += [(f"/fleet/first/{i}", a) for i, a in enumerate(first)]
    for place, address in rows:
        if not isinstance(address, str) or ":" not in address:
            continue
        host, _, port = address.rpartition(":")
        if any(int(p) > 255 for p in host.split(".") if p.isdigit()):
            found.append(Fault(place, f"{host} is no IPv4 address", "four numbers up to 255"))
        if port.isdigit() and not 0 < int(port) < 65536:
            found.append(Fault(place, f"{port} is no port that others can reach", "1 to 65535"))
    return found
