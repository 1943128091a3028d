"""The `[distribution]` section of the operator's settings file: its schema, checks and values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from tansywood.distribution.messages import MAX_SUBSCRIPTIONS
from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import ADDRESS, NAME, whole

# How many tenants an instance holds at most, unless its settings say otherwise.
DEFAULT_MAX_TENANTS = 500
# After how many seconds without requests an instance evicts a tenant, unless its settings say
# otherwise.
DEFAULT_IDLE_S = 600
MAX_SOURCES = 64


class Role(Enum):
    """The role of a machine in the distribution of configuration."""

    PUBLISHER = "publisher"  # runs the administration API and its store
    DISTRIBUTOR = "distributor"  # holds the whole configuration and serves it to nodes
    NODE = "node"  # serves callers according to the configuration


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

# The keys that the section must or may contain for each role, in addition to the common keys.
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
    """The settings of one machine for the distribution. Addresses have the form IPv4:port."""

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
    """Build the settings from a section that has passed the schema and `faults`.

    A relative path of the key file is resolved against `folder`.
    """
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
    """Return the role that a settings file names, None if it names none or an unknown one."""
    section = raw.get("distribution")
    value = section.get("role") if isinstance(section, dict) else None
    return Role(value) if value in [role.value for role in Role] else None


def faults(raw: Mapping[str, Any]) -> list[Fault]:
    """Return the faults that the schema can't express: keys that the role lacks or doesn't use."""
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
