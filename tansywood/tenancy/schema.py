"""The shape of a tenant's document, once: JSON Schema 2020-12, which OpenAPI 3.1 embeds as it is.

What a schema can say is said here, with its range; what binds two values together is in
`checks`. Durations are in milliseconds, rates a second, sizes in bytes.
"""

from __future__ import annotations

from typing import Any

from tansywood.iso8583.dialect import BUILT_IN
from tansywood.iso8583.framing import SIZES

NAME = r"^[a-z][a-z0-9-]{0,62}$"
# RFC 1123 host names, in lower case; a caller's Host header is compared without its port.
HOST = r"^(?=.{1,253}$)[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$"
ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"  # no names: the node looks none up

MAX_CLASSES = 16
MAX_SERVERS = 500
MAX_HOSTS = 50
MAX_ZONES = 16


def whole(least: int, most: int, text: str) -> dict[str, Any]:
    return {"type": "integer", "minimum": least, "maximum": most, "description": text}


def number(least: float, most: float, text: str) -> dict[str, Any]:
    return {"type": "number", "minimum": least, "maximum": most, "description": text}


def name(text: str) -> dict[str, Any]:
    return {"type": "string", "pattern": NAME, "description": text}


CLASS: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "aim_ms", "deadline_ms", "repeat"],
    "properties": {
        "name": name("the first part of the path of its requests"),
        "aim_ms": whole(5, 60_000, "within which an answer is in time"),
        "deadline_ms": whole(10, 120_000, "the longest a caller waits; at least the aim"),
        "worth": number(0.01, 1000.0, "of an answer in time, against the other classes; 1"),
        "repeat": {
            "enum": ["safe", "keyed", "never"],
            "description": "safe: may run again. keyed: may run again within repeat_window_ms, "
            "servers know it by its id. never: must not run twice",
        },
        "repeat_window_ms": whole(1, 3_600_000, "for keyed classes, and only for them"),
    },
}

SERVER: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "address"],
    "properties": {
        "name": name("among the tenant's servers; a new process under an old name is cold"),
        "address": {"type": "string", "pattern": ADDRESS, "description": "IPv4:port"},
        "zone": name(
            "where it stands; the first server's zone is preferred. Of a server that is "
            "listed already it can't be changed"
        ),
        "rating": number(0.01, 100.0, "its size against the others'; 1"),
        "state": {
            "enum": ["active", "draining"],
            "description": "draining: finishes what it has, gets nothing new",
        },
        "started_ms": whole(0, 1 << 53, "Unix time of its start, where known: it is cold then"),
    },
}

CALLERS: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "hosts": {
            "type": "array",
            "maxItems": MAX_HOSTS,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": HOST},
            "description": "host names that are this tenant's alone",
        },
        "listeners": {
            "type": "array",
            "maxItems": 8,
            "uniqueItems": True,
            "items": {"type": "string", "pattern": NAME},
            "description": "listeners of the service that are this tenant's alone",
        },
        "key_required": {
            "type": "boolean",
            "description": "whether a caller has to show a key (X-Tenant-Key) as well; true",
        },
    },
}

LIMITS: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "rate_per_s": number(0.1, 1_000_000, "requests a second; more are refused; 1000"),
        "burst": whole(1, 1_000_000, "requests that may come at once after a pause; 200"),
        "open": whole(1, 20_000, "requests at a time, waiting ones included; 500"),
        "held_bytes": whole(65_536, 1 << 30, "of bodies and answers held; 8 MiB"),
        "connections": whole(1, 50_000, "of callers at a time; 200"),
        "connections_per_s": number(0.1, 100_000, "new ones of callers a second; 200"),
        "places": whole(
            0, 10_000, "requests at a time at each server, over all instances; 0, not limited"
        ),
    },
}

CODES: dict[str, Any] = {
    "type": "array",
    "maxItems": 50,
    "uniqueItems": True,
    "items": {"type": "string", "pattern": r"^[0-9A-Z]{2,3}$"},
}

ISO8583: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["dialect", "rules"],
    "description": "its callers and servers speak ISO 8583 instead of HTTP. What stands here, but "
    "for rules and codes, can't be changed later",
    "properties": {
        "dialect": {
            "type": ["string", "object"],
            "description": f"of the program's own ({', '.join(BUILT_IN)}), or a whole one",
        },
        "length": {"enum": list(SIZES), "description": "before each message; binary2"},
        "own_length": {"type": "boolean", "description": "it counts its own bytes; false"},
        "tpdu": {"type": "boolean", "description": "five bytes before each message; false"},
        "terminals_sign_on": {"type": "boolean", "description": "before anything else; false"},
        "servers_sign_on": {"type": "boolean", "description": "we do, to servers; true"},
        "servers_outstanding": whole(1, 10_000, "messages open on one connection to one; 64"),
        "deadline_from": {
            "enum": ["arrival", "field-7"],
            "description": "where a class's deadline begins. field-7 needs clocks that agree "
            "within a second; arrival",
        },
        "retry_field": whole(
            2,
            128,
            "where a refusal says after how many seconds to come again, in a field of its "
            "dialect that takes them; none",
        ),
        "rules": {
            "type": "array",
            "minItems": 1,
            "maxItems": 50,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["class", "mti"],
                "properties": {
                    "class": name("of the tenant's classes"),
                    "mti": {"type": "string", "pattern": r"^\d{1,4}$"},
                    "processing": {"type": "string", "pattern": r"^\d{0,6}$"},
                },
                "description": "beginnings of the MTI and of field 3; the first rule that fits",
            },
        },
        "codes": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "turned_away": CODES | {"description": "field 39: it never ran; 91"},
                "in_doubt": CODES | {"description": "field 39: it may have run; 68, 96"},
                "approved": CODES | {"description": "field 39: it was booked; 00, 10, 11"},
            },
        },
    },
}

TENANT: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "classes", "servers"],
    "properties": {
        "name": name("unique among the tenants; never shown to another tenant"),
        "title": {"type": "string", "maxLength": 200},
        "callers": CALLERS,
        "classes": {"type": "array", "minItems": 1, "maxItems": MAX_CLASSES, "items": CLASS},
        "servers": {"type": "array", "minItems": 1, "maxItems": MAX_SERVERS, "items": SERVER},
        "limits": LIMITS,
        "iso8583": ISO8583,
        "cpu_share": number(0.01, 100.0, "of a worker's time, against its other tenants; 1"),
        "max_attempts": whole(1, 4, "of one request; 3"),
    },
}

DEFAULT_LIMITS: dict[str, Any] = {
    "rate_per_s": 1000.0,
    "burst": 200,
    "open": 500,
    "held_bytes": 8 << 20,
    "connections": 200,
    "connections_per_s": 200.0,
    "places": 0,
}
