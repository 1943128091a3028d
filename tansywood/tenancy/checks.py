"""Every fault of a tenant's document at once, each with its place and what is allowed there.

The schema's faults come from a library that follows the standard (jsonschema, JSON Schema
2020-12); what binds values together is checked here, on whatever part of the document can be
read, so that a fault in one place hides none in another.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeGuard

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from tansywood.iso8583.dialect import BUILT_IN, DialectError, FieldSpec, built_in, parse
from tansywood.tenancy.fault import Fault
from tansywood.tenancy.schema import DEFAULT_LIMITS, MAX_ZONES, TENANT

MAX_FAULTS = 100  # told of one document; a list of thousands helps nobody
MAX_DEPTH = 12  # of what is looked at: a document has no use for more
PART_MS = 2  # least room between an aim and its deadline, for the answer's way back


def pointer(*parts: object) -> str:
    """A JSON Pointer; the parts are escaped."""
    return "".join("/" + str(p).replace("~", "~0").replace("/", "~1") for p in parts)


def shown(value: object) -> str:
    """A value as it may be shown: short, whatever came."""
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _range(error: ValidationError) -> str:
    schema = error.schema
    if not isinstance(schema, Mapping):
        return ""
    if "enum" in schema:
        return "one of " + ", ".join(map(str, schema["enum"]))
    if "minimum" in schema and "maximum" in schema:
        return f"from {schema['minimum']} to {schema['maximum']}"
    return ""


def _worded(error: ValidationError) -> Iterator[Fault]:
    path = pointer(*error.absolute_path)
    instance: Any = error.instance
    schema: Mapping[str, Any] = error.schema if isinstance(error.schema, Mapping) else {}
    kind = str(error.validator)
    if kind == "required":
        for key in schema["required"]:
            if key not in instance:
                yield Fault(pointer(*error.absolute_path, key), "is missing")
    elif kind == "additionalProperties":
        known = schema.get("properties", {})
        for key in instance:
            if key not in known:
                yield Fault(
                    pointer(*error.absolute_path, str(key)[:60]),
                    "is not known",
                    "one of " + ", ".join(known),
                )
    elif kind in ("minimum", "maximum", "enum"):
        yield Fault(path, f"{shown(error.instance)} is outside", _range(error))
    elif kind == "type":
        yield Fault(path, f"{shown(error.instance)} is no {schema.get('type')}", _range(error))
    elif kind == "pattern":
        yield Fault(path, f"{shown(error.instance)} does not fit", f"the form {schema['pattern']}")
    elif kind in ("minItems", "maxItems", "maxLength", "uniqueItems"):
        yield Fault(path, f"{kind} is broken", f"{kind} {schema[kind]}")
    else:
        yield Fault(path, error.message[:200])


def depth(value: object, most: int = MAX_DEPTH) -> int:
    """How deep a document is nested, counted no further than `most` + 1."""
    level, here = 0, [value]
    while here and level <= most:
        level += 1
        here = [
            child
            for item in here
            for child in (
                item.values() if isinstance(item, dict) else item if isinstance(item, list) else ()
            )
        ]
    return level


def schema_faults(validator: Draft202012Validator, document: object) -> list[Fault]:
    """What a schema finds, worded, in no particular order."""
    return [fault for error in validator.iter_errors(document) for fault in _worded(error)]


_VALIDATOR = Draft202012Validator(TENANT)


def faults(
    document: object,
    listeners: frozenset[str] | None = None,
    iso_listeners: frozenset[str] = frozenset(),
) -> list[Fault]:
    """What is wrong with a tenant's document, by its places; empty where nothing is.

    `listeners` are the service's own, where it is known what they are, `iso_listeners` those
    of them that speak ISO 8583.
    """
    if depth(document) > MAX_DEPTH:
        return [Fault("", "is nested too deep", f"at most {MAX_DEPTH} levels")]
    found = schema_faults(_VALIDATOR, document)
    if isinstance(document, dict):
        for check in CHECKS:
            found += check(document)
        if listeners is not None:
            found += _listeners(document, listeners)
            found += _protocol(document, iso_listeners)
    return sorted(set(found), key=lambda fault: (fault.path, fault.what))[:MAX_FAULTS]


# ---- what binds values together: each sees only what has the right type ----


def _rows(document: dict[str, Any], key: str) -> list[tuple[int, dict[str, Any]]]:
    rows = document.get(key)
    if not isinstance(rows, list):
        return []
    return [(i, row) for i, row in enumerate(rows) if isinstance(row, dict)]


def _is_number(value: object) -> TypeGuard[int | float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _twice(document: dict[str, Any], rows: str, key: str) -> Iterator[Fault]:
    seen: dict[str, int] = {}
    for i, row in _rows(document, rows):
        value = row.get(key)
        if isinstance(value, str):
            if value in seen:
                yield Fault(
                    pointer(rows, i, key),
                    f"{shown(value)} is that of {pointer(rows, seen[value])} too",
                    "each needs its own",
                )
            seen.setdefault(value, i)


def _names(document: dict[str, Any]) -> Iterator[Fault]:
    yield from _twice(document, "classes", "name")
    yield from _twice(document, "servers", "name")
    yield from _twice(document, "servers", "address")


def _classes(document: dict[str, Any]) -> Iterator[Fault]:
    for i, row in _rows(document, "classes"):
        aim, deadline = row.get("aim_ms"), row.get("deadline_ms")
        if _is_number(aim) and _is_number(deadline) and aim + PART_MS > deadline:
            yield Fault(
                pointer("classes", i, "aim_ms"),
                f"{aim} leaves no time before the deadline of {deadline}",
                f"at most {deadline - PART_MS}",
            )
        keyed, window = row.get("repeat") == "keyed", row.get("repeat_window_ms")
        if keyed and window is None:
            yield Fault(pointer("classes", i, "repeat_window_ms"), "is missing for a keyed class")
        if not keyed and window is not None and row.get("repeat") in ("safe", "never"):
            yield Fault(
                pointer("classes", i, "repeat_window_ms"),
                f"says nothing for a class whose repeat is {row['repeat']}",
                "only for keyed classes",
            )
        if row.get("name") == "health":
            yield Fault(pointer("classes", i, "name"), "health is the service's own path")


def _servers(document: dict[str, Any]) -> Iterator[Fault]:
    rows = _rows(document, "servers")
    if rows and all(row.get("state") == "draining" for _, row in rows):
        yield Fault(
            "/servers",
            "no server would be left to take anything",
            "at least one active; to stop the traffic, suspend the tenant",
        )
    zones = {row["zone"] for _, row in rows if isinstance(row.get("zone"), str)}
    if len(zones) > MAX_ZONES:
        yield Fault("/servers", f"{len(zones)} zones are named", f"at most {MAX_ZONES}")
    for i, row in rows:
        address = row.get("address")
        if isinstance(address, str):
            host, _, port = address.rpartition(":")
            parts = host.split(".")
            numbers = [int(p) for p in parts if p.isascii() and p.isdigit()]
            if len(numbers) == 4 and any(n > 255 for n in numbers):
                yield Fault(pointer("servers", i, "address"), f"{shown(address)} is no address")
            if port.isascii() and port.isdigit() and not 0 < int(port) < 65536:
                yield Fault(
                    pointer("servers", i, "address"), f"port {port[:9]} is outside", "1 to 65535"
                )


def _limits(document: dict[str, Any]) -> Iterator[Fault]:
    given = document.get("limits", {})
    if not isinstance(given, dict):
        return
    limits = DEFAULT_LIMITS | given
    if not all(_is_number(limits[key]) for key in DEFAULT_LIMITS):
        return
    if "burst" in given and limits["burst"] > 60 * max(limits["rate_per_s"], 1.0):
        yield Fault(
            "/limits/burst",
            f"{limits['burst']} is more than a minute of rate_per_s",
            f"at most {int(60 * max(limits['rate_per_s'], 1.0))}",
        )
    if "open" in given and limits["open"] > 50 * limits["connections"]:
        yield Fault(
            "/limits/open",
            f"{limits['open']} can't be open on {limits['connections']} connections",
            f"at most {50 * limits['connections']}",
        )


def _callers(document: dict[str, Any]) -> Iterator[Fault]:
    callers = document.get("callers", {})
    if not isinstance(callers, dict):
        return
    known = callers.get("hosts") or callers.get("listeners")
    if callers.get("key_required") is False and not known:
        yield Fault(
            "/callers/key_required",
            "nobody could tell its callers without a key",
            "true, or give it hosts or listeners of its own",
        )


def _listeners(document: dict[str, Any], known: frozenset[str]) -> Iterator[Fault]:
    callers = document.get("callers", {})
    rows = callers.get("listeners") if isinstance(callers, dict) else None
    for i, listener in enumerate(rows if isinstance(rows, list) else ()):
        if isinstance(listener, str) and listener not in known:
            yield Fault(
                pointer("callers", "listeners", i),
                f"{shown(listener)} is no listener of this service",
                "one of " + ", ".join(sorted(known)) if known else "",
            )


def _protocol(document: dict[str, Any], iso: frozenset[str]) -> Iterator[Fault]:
    callers = document.get("callers", {})
    rows = callers.get("listeners") if isinstance(callers, dict) else None
    speaks = "iso8583" in document
    for i, listener in enumerate(rows if isinstance(rows, list) else ()):
        if isinstance(listener, str) and (listener in iso) != speaks:
            yield Fault(
                pointer("callers", "listeners", i),
                f"{shown(listener)} speaks {'ISO 8583' if listener in iso else 'HTTP'}",
                "another listener, or " + ("no /iso8583" if speaks else "/iso8583"),
            )


def _iso8583(document: dict[str, Any]) -> Iterator[Fault]:
    given = document.get("iso8583")
    if not isinstance(given, dict):
        return
    dialect = given.get("dialect")
    if isinstance(dialect, str) and dialect not in BUILT_IN:
        known = ", ".join(BUILT_IN)
        yield Fault(
            "/iso8583/dialect", f"{shown(dialect)} is not known", f"{known}, or a whole one"
        )
    elif isinstance(dialect, str | dict):
        needed = {3, 7, 11, 39, 41} | ({70} if given.get("servers_sign_on", True) else set())
        try:
            # One that comes with the program is a part of it, read once.
            made = built_in(dialect) if isinstance(dialect, str) else parse(dialect)
            retry = given.get("retry_field")
            if type(retry) is int and not _takes_seconds(made.fields.get(retry)):
                yield Fault(
                    "/iso8583/retry_field",
                    f"{retry} takes no seconds in this dialect",
                    "a field of n, an or ans, of two characters at least",
                )
            lacking = sorted(needed - set(made.fields))
            if lacking:
                yield Fault(
                    "/iso8583/dialect/fields",
                    f"{', '.join(map(str, lacking))} is missing",
                    "3, 7, 11, 39, 41, and 70 where we sign on to servers",
                )
        except DialectError as err:
            for fault in err.faults:
                place, _, what = fault.partition(": ")
                yield Fault(f"/iso8583/dialect{place if what else ''}", what or fault)
    names = (row.get("name") for _, row in _rows(document, "classes"))
    classes = {name for name in names if isinstance(name, str)}
    for i, row in _rows(given, "rules"):
        if isinstance(row.get("class"), str) and row["class"] not in classes:
            yield Fault(
                pointer("iso8583", "rules", i, "class"),
                f"{shown(row['class'])} is none of its classes",
                "one of " + ", ".join(sorted(classes)),
            )
    for i, row in _rows(document, "classes"):
        if row.get("repeat") == "keyed":
            yield Fault(
                pointer("classes", i, "repeat"), "no message carries a key", "safe or never"
            )
    codes = given.get("codes", {})
    if isinstance(codes, dict):
        lists = {key: rows for key, rows in codes.items() if isinstance(rows, list)}
        away = {code for code in lists.get("turned_away", ["91"]) if isinstance(code, str)}
        doubt = {code for code in lists.get("in_doubt", ["68", "96"]) if isinstance(code, str)}
        if away & doubt:
            yield Fault(
                "/iso8583/codes", f"{min(away & doubt)} is in turned_away and in in_doubt", "in one"
            )
    callers = document.get("callers", {})
    if isinstance(callers, dict):
        if not callers.get("listeners"):
            yield Fault(
                "/callers/listeners", "is missing: a message tells no name or key", "one at least"
            )
        if callers.get("key_required", True) is not False:
            yield Fault("/callers/key_required", "no message carries a key", "false")
        if callers.get("hosts"):
            yield Fault("/callers/hosts", "no message carries a host", "leave it out")


def _takes_seconds(spec: FieldSpec | None) -> bool:
    return spec is not None and spec.content in ("n", "an", "ans") and spec.length >= 2


CHECKS: tuple[Callable[[dict[str, Any]], Iterator[Fault]], ...] = (
    _names,
    _classes,
    _servers,
    _limits,
    _callers,
    _iso8583,
)
