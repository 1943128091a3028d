"""The `[fleet]` section of the operator's configuration file: schema, checks and values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import ADDRESS, NAME

LEASE_MS = 4000
MIN_LEASE_MS = 400  # a lease is renewed every quarter of its length
# A shorter lease expires before the other voters have elected a leader among themselves.
MIN_TAKEOVER_LEASE_MS = 3000
# Every instance claims from every allocator, so the number of datagrams grows with this.
MAX_ALLOCATORS = 9

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "instance", "address", "first", "key_file"],
    "properties": {
        "name": {"type": "string", "pattern": NAME, "description": "name of the fleet"},
        "instance": {
            "type": "string",
            "pattern": NAME,
            "description": "name of this instance, unique in the fleet",
        },
        "address": {
            "type": "string",
            "pattern": ADDRESS,
            "description": "IPv4:port on which this instance receives datagrams",
        },
        "first": {
            "type": "array",
            "minItems": 1,
            "maxItems": MAX_ALLOCATORS,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": ADDRESS},
            "description": "the allocators' addresses, in the same order at every instance",
        },
        "key_file": {
            "type": "string",
            "description": "path of a file with 64 hexadecimal digits per line, mode 0600",
        },
        "zone": {"type": "string", "pattern": NAME},
        "voters": {
            "type": "array",
            "minItems": 1,
            "maxItems": 5,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": NAME},
            "description": "1, 3 or 5 instances that grant leases; the same list at every instance",
        },
        "lease_ms": {
            "type": "integer",
            "minimum": MIN_LEASE_MS,
            "maximum": 60_000,
            "description": "length of a lease, the same at every instance; default 4000",
        },
        "hand_on": {
            "type": "boolean",
            "description": "grant slices under leases, so that another instance takes over for an "
            "absent allocator; needs voters, the same at every instance; default false",
        },
    },
}


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The values of the `[fleet]` section."""

    name: str
    instance: str
    address: str
    first: tuple[str, ...]
    key_file: Path
    zone: str = ""
    voters: tuple[str, ...] = ()  # empty: leases are off
    lease_ms: int = LEASE_MS
    hand_on: bool = False  # grant slices under leases: others take over for an absent allocator

    @property
    def index(self) -> int:
        """The allocator that this instance is, or -1."""
        return self.first.index(self.address) if self.address in self.first else -1


def read(raw: Mapping[str, Any], folder: Path) -> FleetSettings:
    """Build the settings from a section that has passed its schema and `faults`."""
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
    """Return the faults of a section that its schema cannot express."""
    found = []
    voters = raw.get("voters")
    if isinstance(voters, list) and len(voters) % 2 == 0 and voters:
        found.append(
            Fault(
                "/fleet/voters",
                f"{len(voters)} voters tolerate no more failures than one fewer",
                "1, 3, 5",
            )
        )
    if raw.get("hand_on") and not voters:
        found.append(
            Fault(
                "/fleet/hand_on",
                "needs leases, which need voters",
                "list `voters`, or remove hand_on",
            )
        )
    if raw.get("hand_on") and raw.get("lease_ms", LEASE_MS) < MIN_TAKEOVER_LEASE_MS:
        what = (
            "expires before the other voters have elected a leader: its slices would not be granted"
        )
        found.append(
            Fault("/fleet/lease_ms", what, f"{MIN_TAKEOVER_LEASE_MS} or more with hand_on")
        )
    addresses = [("/fleet/address", raw.get("address"))]
    first = raw.get("first")
    if isinstance(first, list):
        addresses += [(f"/fleet/first/{i}", a) for i, a in enumerate(first)]
    for path, address in addresses:
        if not isinstance(address, str) or ":" not in address:
            continue
        host, _, port = address.rpartition(":")
        if any(int(p) > 255 for p in host.split(".") if p.isdigit()):
            found.append(Fault(path, f"{host} is not an IPv4 address", "four numbers up to 255"))
        if port.isdigit() and not 0 < int(port) < 65536:
            found.append(Fault(path, f"{port} is not a usable port", "1 to 65535"))
    return found
