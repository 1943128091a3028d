"""Keys, and whose a request is by what its head shows.

A key is shown once, when it is made; kept is its SHA-256. That is enough where a key is 256
random bits: there is nothing to guess, so nothing to slow down (NIST SP 800-63B 5.1.2 asks for
salted and slow hashes of what people choose). Digests are compared in constant time, and a key
whose id is not known is compared all the same, with nobody's.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

FORM = re.compile(r"tw_([a-z0-9]{12})_([A-Za-z0-9_-]{43})")
KEY_ID = slice(3, 15)  # of a key that has the form
NOBODY = sha256(b"nobody").hexdigest()


@dataclass(frozen=True, slots=True)
class Key:
    """One key as it is kept. `tenant` is a uid, empty for an operator's; times in Unix ms."""

    id: str
    digest: str
    role: str  # operator, admin, viewer, caller
    tenant: str = ""
    label: str = ""
    created_ms: int = 0
    expires_ms: int = 0  # 0: never

    def valid(self, now_ms: int) -> bool:
        return not self.expires_ms or now_ms < self.expires_ms

    def record(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in self.__slots__}


def token(key_id: str, secret: str) -> str:
    """What a holder shows: an id of 12 letters, and 32 random bytes in base64url."""
    made = f"tw_{key_id}_{secret}"
    if FORM.fullmatch(made) is None:
        raise ValueError("a key's id has 12 letters or digits, its secret 43 of base64url")
    return made


def digest(shown: str) -> str:
    return sha256(shown.encode("utf-8", "replace")).hexdigest()


def verify(keys: Mapping[str, Key], shown: str, now_ms: int) -> Key | None:
    """The key that was shown, None where it is none of these, or has ended."""
    form = FORM.fullmatch(shown)
    key = keys.get(form[1]) if form is not None else None
    same = hmac.compare_digest(digest(shown), key.digest if key is not None else NOBODY)
    return key if key is not None and same and key.valid(now_ms) else None


@dataclass(frozen=True, slots=True)
class Shown:
    """What a request's head and its listener say of whose it is; empty where nothing."""

    listener: str = ""
    host: str = ""
    name: str = ""  # X-Tenant-Id
    key: str = ""  # X-Tenant-Key


@dataclass(frozen=True, slots=True)
class Known:
    """A tenant as its callers are known: see TenantSettings."""

    uid: str
    name: str
    hosts: tuple[str, ...]
    listeners: tuple[str, ...]
    key_required: bool


def plain_host(host: str) -> str:
    """A Host header (RFC 9110 7.2) without its port, in lower case, without a last dot."""
    name, colon, port = host.rpartition(":")
    if colon and port.isascii() and port.isdigit():
        host = name
    return host.lower().removesuffix(".")


class Directory:
    """All tenants' ways of being known; says whose a request is, or that it is nobody's.

    Every way that says something has to say the same: one tenant's key with another's host
    name is nobody's. A host that is no tenant's says nothing, for callers by key may use any.
    """

    def __init__(self) -> None:
        self._known: dict[str, Known] = {}
        self._names: dict[str, str] = {}
        self._hosts: dict[str, str] = {}
        self._listeners: dict[str, str] = {}
        self._keys: dict[str, Key] = {}
        self._keys_of: dict[str, tuple[str, ...]] = {}

    def set(self, known: Known, keys: Iterable[Key]) -> None:
        """Take a tenant in, or all of its ways and keys anew."""
        self.drop(known.uid)
        self._known[known.uid] = known
        self._names[known.name] = known.uid
        for host in known.hosts:
            self._hosts[host] = known.uid
        for listener in known.listeners:
            self._listeners[listener] = known.uid
        mine = [key for key in keys if key.role == "caller"]
        self._keys.update((key.id, key) for key in mine)
        self._keys_of[known.uid] = tuple(key.id for key in mine)

    def drop(self, uid: str) -> None:
        known = self._known.pop(uid, None)
        if known is None:
            return
        # A name, host or listener may be another's by now.
        for table, words in (
            (self._names, (known.name,)),
            (self._hosts, known.hosts),
            (self._listeners, known.listeners),
        ):
            for word in words:
                if table.get(word) == uid:
                    del table[word]
        for key in self._keys_of.pop(uid, ()):
            self._keys.pop(key, None)

    def identify(self, shown: Shown, now_ms: int) -> str | None:
        """The uid of the tenant whose request this is; None where that can't be told."""
        says: set[str | None] = set()
        if shown.listener in self._listeners:
            says.add(self._listeners[shown.listener])
        host = plain_host(shown.host)
        if host in self._hosts:
            says.add(self._hosts[host])
        if shown.name:
            says.add(self._names.get(shown.name))
        key = verify(self._keys, shown.key, now_ms) if shown.key else None
        if shown.key:
            says.add(key.tenant if key is not None else None)
        if len(says) != 1:
            return None
        uid = says.pop()
        known = self._known.get(uid) if uid is not None else None
        if known is None or (key is None and (known.key_required or not self._by_place(shown))):
            return None
        return uid

    def knows(self, shown: Shown, nobodys: Container[str]) -> bool:
        """Whether nothing of this is unknown here; `nobodys` are listeners that are no tenant's.
        The quick look for each connection; `unknown` tells the rest."""
        return (
            (not shown.host or plain_host(shown.host) in self._hosts)
            and (not shown.key or shown.key[KEY_ID] in self._keys)
            and (not shown.name or shown.name in self._names)
            and (shown.listener in nobodys or shown.listener in self._listeners)
        )

    def unknown(self, shown: Shown) -> Shown:
        """What of this names nobody here; the key's id stands for a key of the right form."""
        host = plain_host(shown.host)
        form = FORM.fullmatch(shown.key) if shown.key else None
        key = form[1] if form is not None else ""
        return Shown(
            listener="" if shown.listener in self._listeners else shown.listener,
            host="" if host in self._hosts else host,
            name="" if shown.name in self._names else shown.name,
            key="" if key in self._keys else key,
        )

    def _by_place(self, shown: Shown) -> bool:
        """Whether a way that is a tenant's alone says it: a name by itself is no proof."""
        return shown.listener in self._listeners or plain_host(shown.host) in self._hosts
