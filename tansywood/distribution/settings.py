"""The `[distribution]` section of the operator's file: shape, checks, values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from tansywood.distribution.messages import MAX_SUBSCRIPTIONS
from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import ADDRESS, NAME, whole

DEFAULT_MAX_TENANTS = 500  # that an instance holds at most, where its settings don't say
DEFAULT_IDLE_S = 600  # after which a tenant that nobody asks for is given up
MAX_SOURCES = 64


class Role(Enum):
    """What a machine is to the distribution of configuration."""

    PUBLISHER = "publisher"  # has the administration API and its store
    DISTRIBUTOR = "distributor"  # holds all of it for others
    NODE = "node"  # serves callers by it


_ADDRESSES: dict[str, Any] = {
    "type": "array",
    "minItems": 1,
    "maxItems": MAX_SOURCES,
    "uniqueItems": True,
    "items": {"type": "string", "pattern": ADDRESS},
}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["role", "fleet", "instance", "key_file"],
    "properties": {
        "role": {"enum": [role.value for role in Role]},
        "fleet": {"type": "string", "pattern": NAME, "description": "the same at all of it"},
        "instance": {"type": "string", "pattern": NAME, "description": "unique in the fleet"},
        "key_file": {"type": "string", "description": "64 hexadecimal digits a line, mode 0600"},
        "listen": {"type": "string", "pattern": ADDRESS, "description": "not for a node"},
        "publisher": _ADDRESSES | {"description": "for a distributor: whom it follows"},
        "control": _ADDRESSES | {"description": "for a node: all distributors"},
        "tenants": whole(1, MAX_SUBSCRIPTIONS, f"that a node holds at most; {DEFAULT_MAX_TENANTS}"),
        "idle_s": whole(
            5, 86_400, f"after which a tenant not asked for is given up; {DEFAULT_IDLE_S}"
        ),
    },
}

# What each role's section has to have, and may have, beside what all have.
_REQUIRED_KEYS: dict[Role, tuple[str, ...]] = {
    Role.PUBLISHER: ("listen",),
    Role.DISTRIBUTOR: ("listen", "publisher"),
    Role.NODE: ("control",),
}
_OPTIONAL_KEYS: dict[Role, tuple[str, ...]] = {
    Role.PUBLISHER: (),
    Role.DISTRIBUTOR: (),
    Role.NODE: ("tenants", "idle_s"),
}
_ROLE_KEYS = ("listen", "publisher", "control", "tenants", "idle_s")


@dataclass(frozen=True, slots=True)
class DistributionSettings:
    """One machine's part in the distribution; addresses are IPv4:port."""

    role: Role
    fleet: str
    instance: str
    key_file: Path
    listen: str = ""
    publisher: tuple[str, ...] = ()
    control: tuple[str, ...] = ()
    tenants: int = DEFAULT_MAX_TENANTS
    idle_s: int = DEFAULT_IDLE_S


def read(raw: Mapping[str, Any], folder: Path) -> DistributionSettings:
    """Of a section that its schema and `faults` found nothing wrong with."""
    return DistributionSettings(
        Role(raw["role"]),
        raw["fleet"],
        raw["instance"],
        (folder / raw["key_file"]).absolute(),
        raw.get("listen", ""),
        tuple(raw.get("publisher", ())),
        tuple(raw.get("control", ())),
        raw.get("tenants", DEFAULT_MAX_TENANTS),
        raw.get("idle_s", DEFAULT_IDLE_S),
    )


def role_of(raw: Mapping[str, Any]) -> Role | None:
    """The role that a file's words give, None where they give none, or one that is not known."""
    section = raw.get("distribution")
    value = section.get("role") if isinstance(section, dict) else None
    return Role(value) if value in [role.value for role in Role] else None


def faults(raw: Mapping[str, Any]) -> list[Fault]:
    """What the schema of the section can't say: which keys belong to which role."""
    role = role_of({"distribution": raw})
    if role is None:
        return []
    found = [
        Fault(f"/distribution/{key}", f"is missing: a {role.value} needs it")
        for key in _REQUIRED_KEYS[role]
        if key not in raw
    ]
    found += [
        Fault(f"/distribution/{key}", f"is not for a {role.value}", "leave it out")
        for key in _ROLE_KEYS
        if key in raw and key not in (*_REQUIRED_KEYS[role], *_OPTIONAL_KEYS[role])
    ]
    return found
