"""A checked document as values with their defaults, for those who run a tenant."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tansywood.tenancy.schema import DEFAULT_LIMITS

ACTIVE, SUSPENDED, DRAINING, DELETED = "active", "suspended", "draining", "deleted"


@dataclass(frozen=True, slots=True)
class ClassRule:
    name: str
    aim_ms: int
    deadline_ms: int
    worth: float
    repeat: str  # safe, keyed, never
    window_ms: int


@dataclass(frozen=True, slots=True)
class ServerEntry:
    name: str
    address: str
    zone: str
    rating: float
    draining: bool
    started_ms: int


@dataclass(frozen=True, slots=True)
class Limits:
    rate_per_s: float
    burst: int
    open: int
    held_bytes: int
    connections: int
    connections_per_s: float
    places: int = 0  # at each server; 0: not limited


@dataclass(frozen=True, slots=True)
class IsoSettings:
    """How its callers and servers speak ISO 8583; the words of the document with defaults."""

    dialect: str | Mapping[str, Any]
    length: str
    own_length: bool
    tpdu: bool
    terminals_sign_on: bool
    servers_sign_on: bool
    servers_outstanding: int
    by_field_7: bool
    retry_field: int  # 0: none
    rules: tuple[tuple[str, str, str], ...]  # class, MTI, processing code
    turned_away: frozenset[str]
    in_doubt: frozenset[str]
    approved: frozenset[str]


@dataclass(frozen=True, slots=True)
class TenantSettings:
    name: str
    hosts: tuple[str, ...]
    listeners: tuple[str, ...]
    key_required: bool
    classes: tuple[ClassRule, ...]
    servers: tuple[ServerEntry, ...]
    limits: Limits
    cpu_share: float
    max_attempts: int
    iso8583: IsoSettings | None = None


def read(document: Mapping[str, Any]) -> TenantSettings:
    """The values of a document that `checks.faults` found nothing wrong with.

    On any other it raises what its first wrong value raises: KeyError, TypeError, ValueError.
    """
    callers = document.get("callers", {})
    limits = DEFAULT_LIMITS | document.get("limits", {})
    first_zone = document["servers"][0].get("zone", "here")
    return TenantSettings(
        name=document["name"],
        hosts=tuple(callers.get("hosts", ())),
        listeners=tuple(callers.get("listeners", ())),
        key_required=callers.get("key_required", True),
        classes=tuple(
            ClassRule(
                name=c["name"],
                aim_ms=c["aim_ms"],
                deadline_ms=c["deadline_ms"],
                worth=float(c.get("worth", 1.0)),
                repeat=c["repeat"],
                window_ms=c.get("repeat_window_ms", 0),
            )
            for c in document["classes"]
        ),
        servers=tuple(
            ServerEntry(
                name=s["name"],
                address=s["address"],
                zone=s.get("zone", first_zone),
                rating=float(s.get("rating", 1.0)),
                draining=s.get("state", "active") == "draining",
                started_ms=s.get("started_ms", 0),
            )
            for s in document["servers"]
        ),
        limits=Limits(
            rate_per_s=float(limits["rate_per_s"]),
            burst=limits["burst"],
            open=limits["open"],
            held_bytes=limits["held_bytes"],
            connections=limits["connections"],
            connections_per_s=float(limits["connections_per_s"]),
            places=limits["places"],
        ),
        cpu_share=float(document.get("cpu_share", 1.0)),
        max_attempts=document.get("max_attempts", 3),
        iso8583=_iso8583(document["iso8583"]) if "iso8583" in document else None,
    )


def _iso8583(given: Mapping[str, Any]) -> IsoSettings:
    codes = given.get("codes", {})
    return IsoSettings(
        dialect=given["dialect"],
        length=given.get("length", "binary2"),
        own_length=given.get("own_length", False),
        tpdu=given.get("tpdu", False),
        terminals_sign_on=given.get("terminals_sign_on", False),
        servers_sign_on=given.get("servers_sign_on", True),
        servers_outstanding=given.get("servers_outstanding", 64),
        by_field_7=given.get("deadline_from") == "field-7",
        retry_field=given.get("retry_field", 0),
        rules=tuple((r["class"], r["mti"], r.get("processing", "")) for r in given["rules"]),
        turned_away=frozenset(codes.get("turned_away", ("91",))),
        in_doubt=frozenset(codes.get("in_doubt", ("68", "96"))),
        approved=frozenset(codes.get("approved", ("00", "10", "11"))),
    )


def server_uid(row: Mapping[str, Any]) -> str:
    """A server's identity: another address under an old name is another process."""
    return f"{row['name']}@{row['address']}"
