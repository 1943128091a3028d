"""The operator's file: where the service listens, keeps its state, and how many workers it has."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator

from tansywood.distribution import settings as distribution_settings
from tansywood.distribution.settings import DistributionSettings, Role
from tansywood.fleet import settings as fleet_settings
from tansywood.fleet.settings import FleetSettings
from tansywood.tenancy.checks import schema_faults
from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import NAME, whole
from windrelay.config import Address, parse_address

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["service"],
    "properties": {
        "service": {
            "type": "object",
            "additionalProperties": False,
            "required": ["run"],
            "properties": {
                "run": {"type": "string", "description": "folder for the parts' sockets"},
                "store": {"type": "string", "description": "the store's, on a disk that lasts"},
                "workers": whole(1, 64, "processes that serve tenants; 2"),
            },
        },
        "listeners": {
            "type": "array",
            "minItems": 1,
            "maxItems": 16,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "address"],
                "properties": {
                    "name": {"type": "string", "pattern": NAME},
                    "address": {"type": "string"},
                    "protocol": {"enum": ["http", "iso8583"], "description": "http"},
                },
            },
        },
        "admin": {
            "type": "object",
            "additionalProperties": False,
            "required": ["address"],
            "properties": {
                "address": {"type": "string", "description": "of the administration API"},
                "rate_per_s": {"type": "number", "minimum": 1, "maximum": 10_000},
            },
        },
        "fleet": fleet_settings.SCHEMA,
        "distribution": distribution_settings.SCHEMA,
    },
}
# Which sections a machine has to have, by its role: one with its own administration, None, has all.
_SECTIONS: dict[Role | None, tuple[str, ...]] = {
    None: ("service/store", "listeners", "admin"),
    Role.PUBLISHER: ("service/store", "listeners", "admin"),
    Role.DISTRIBUTOR: (),
    Role.NODE: ("service/store", "listeners"),
}
_NOT_FOR: dict[Role | None, tuple[str, ...]] = {
    None: (),
    Role.PUBLISHER: ("fleet",),
    Role.DISTRIBUTOR: ("listeners", "admin", "fleet"),
    Role.NODE: ("admin",),
}
_VALIDATOR = Draft202012Validator(SCHEMA)
LONGEST_SOCKET = 107  # bytes of a path in sockaddr_un (unix(7))


class SettingsError(Exception):
    """The file can't be used; `faults` names every place."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        super().__init__(f"{path}: " + "; ".join(map(str, faults)))
        self.path = path
        self.faults = faults


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    run: Path
    store: Path
    workers: int
    listeners: dict[str, Address]
    admin: Address | None  # None where there is no administration API here
    admin_rate_per_s: float
    iso_listeners: frozenset[str] = frozenset()
    fleet: FleetSettings | None = None  # None: one instance alone, nothing of a fleet is loaded
    distribution: DistributionSettings | None = None  # None: its own administration tells it

    @property
    def role(self) -> Role | None:
        """What it is to the distribution of configuration; None where it has no part in it."""
        return self.distribution.role if self.distribution is not None else None

    @property
    def records(self) -> Path:
        """Where tenants that speak ISO 8583 keep what must outlast a process, a store each."""
        return self.store.with_name(self.store.name + "-iso8583")

    @property
    def promises(self) -> Path:
        """Where an instance that votes on leases keeps what it promised."""
        return self.store.with_name(self.store.name + "-lease")


def load(path: str) -> ServiceSettings:
    """Read and check; relative folders are taken from the file's own. SettingsError."""
    try:
        raw = tomllib.loads(Path(path).read_text())
    except OSError as err:
        raise SettingsError(path, [Fault("", f"can't be read: {err.strerror}")]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise SettingsError(path, [Fault("", f"is not TOML: {err}")]) from None
    found = faults(raw, Path(path).parent)
    if found:
        raise SettingsError(path, found)
    folder = Path(path).parent
    service = raw["service"]
    listeners = raw.get("listeners", ())
    admin = raw.get("admin", {})
    distribution = raw.get("distribution")
    return ServiceSettings(
        run=(folder / service["run"]).absolute(),
        store=(folder / service.get("store", "state")).absolute(),
        workers=service.get("workers", 2),
        listeners={row["name"]: parse_address(row["address"]) for row in listeners},
        admin=parse_address(admin["address"]) if admin else None,
        admin_rate_per_s=float(admin.get("rate_per_s", 50.0)),
        iso_listeners=frozenset(
            row["name"] for row in listeners if row.get("protocol") == "iso8583"
        ),
        fleet=fleet_settings.read(raw["fleet"], folder) if "fleet" in raw else None,
        distribution=distribution_settings.read(distribution, folder) if distribution else None,
    )


def faults(raw: dict[str, Any], folder: Path) -> list[Fault]:
    """Every fault of the file's words, with its place."""
    found = schema_faults(_VALIDATOR, raw) + _section_faults(raw)
    rows = raw.get("listeners")
    places: list[tuple[str, object]] = [
        (f"/listeners/{i}/address", row.get("address"))
        for i, row in enumerate(rows if isinstance(rows, list) else ())
        if isinstance(row, dict)
    ]
    if isinstance(raw.get("admin"), dict):
        places.append(("/admin/address", raw["admin"].get("address")))
    if isinstance(raw.get("distribution"), dict):
        places.append(("/distribution/listen", raw["distribution"].get("listen")))
    seen: dict[Address, str] = {}
    for place, text in places:
        if not isinstance(text, str):
            continue
        try:
            address = parse_address(text)
        except ValueError as err:
            found.append(Fault(place, str(err), "IPv4:port, port 0 for any that is free"))
            continue
        if address.port and address in seen:
            found.append(Fault(place, f"{text} is that of {seen[address]} too"))
        seen[address] = place
    if isinstance(raw.get("fleet"), dict):
        found += fleet_settings.faults(raw["fleet"])
    if isinstance(raw.get("distribution"), dict):
        found += distribution_settings.faults(raw["distribution"])
    names = [row.get("name") for row in rows or () if isinstance(row, dict)] if rows else []
    for i, name in enumerate(names):
        if name in names[:i]:
            found.append(Fault(f"/listeners/{i}/name", f"{name!r} is there twice"))
    service = raw.get("service")
    if isinstance(service, dict) and isinstance(service.get("run"), str):
        longest = str((folder / service["run"]).absolute() / "worker-63.sock")
        if len(longest.encode()) > LONGEST_SOCKET:
            found.append(Fault("/service/run", "is too long for a socket's path", "a shorter one"))
    return sorted(set(found), key=lambda fault: fault.path)


def _section_faults(raw: dict[str, Any]) -> list[Fault]:
    """Sections that a machine of this role lacks, or may not have."""
    role = distribution_settings.role_of(raw)
    words = "" if role is None else f" for a {role.value}"
    found = []
    for path in _SECTIONS[role]:
        section, _, key = path.partition("/")
        inside = raw.get(section)
        absent = key not in inside if key and isinstance(inside, dict) else section not in raw
        if absent and (not key or section in raw):
            found.append(Fault(f"/{path}", "is missing"))
    found += [
        Fault(f"/{section}", f"is not{words}", "leave it out")
        for section in _NOT_FOR[role]
        if section in raw
    ]
    return found
