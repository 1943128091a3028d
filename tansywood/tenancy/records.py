"""The records of the administration in its store: their names, their bytes, how many are kept.

A name is a kind, a slash and what tells it from others of that kind; numbers in it have leading
zeros, so that records are read in their order. Pure.
"""

from __future__ import annotations

import json

HISTORY = 200  # versions of a tenant that are kept
AUDIT = 20_000  # entries of the audit trail that are kept

SEQUENCE = b"meta/seq"


def encode(record: object) -> bytes:
    """A record of JSON's types; the same bytes for the same record."""
    return json.dumps(record, separators=(",", ":"), sort_keys=True).encode()


def split(name: bytes) -> tuple[str, str]:
    """Kind and the rest of a record's name."""
    kind, _, rest = name.decode().partition("/")
    return kind, rest


def tenant(uid: str) -> bytes:
    """Name of a tenant's record."""
    return f"tenant/{uid}".encode()


def key(key_id: str) -> bytes:
    """Name of a key's record."""
    return f"key/{key_id}".encode()


def history(uid: str, version: int) -> bytes:
    """Name of one version of a tenant."""
    return f"history/{uid}/{version:09d}".encode()


def history_place(rest: str) -> tuple[str, int]:
    """Uid and version, of the rest of such a name."""
    uid, _, version = rest.partition("/")
    return uid, int(version)


def audit(seq: int) -> bytes:
    """Name of one entry of the audit trail."""
    return f"audit/{seq:012d}".encode()


def idempotent(slot: str) -> bytes:
    """Name of what a creation under an idempotency key gave."""
    return f"idempotent/{slot}".encode()
