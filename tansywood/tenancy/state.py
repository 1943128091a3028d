"""The administration's tables: made from records, brought forward by changes, read. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, Self

from tansywood.tenancy import records
from tansywood.tenancy.identity import Key, Known
from tansywood.tenancy.model import Actor, Change, Tenant, nothing
from tansywood.tenancy.settings import DELETED, read

MAX_TENANTS = 10_000  # where each process of the traffic side is told of all of them


class State:
    """All tenants, keys and trails: read from records, changed by changes that are durable."""

    def __init__(
        self,
        listeners: frozenset[str] = frozenset(),
        iso_listeners: frozenset[str] = frozenset(),
    ) -> None:
        self.listeners = listeners
        self.iso_listeners = iso_listeners
        self.seq = 0
        self.most_tenants = MAX_TENANTS
        self.tenants: dict[str, Tenant] = {}  # by uid
        self.unconfirmed: set[str] = set()  # uids whose last change may undo itself
        self.names: dict[str, str] = {}
        self.keys: dict[str, Key] = {}
        self.keys_of: dict[str, set[str]] = {}  # by uid, "" for operators
        self.hosts: dict[str, str] = {}
        self.bound: dict[str, str] = {}  # listeners
        self.history: dict[str, dict[int, dict[str, Any]]] = {}
        self.audit: list[dict[str, Any]] = []
        self.entries: dict[str, int] = {}  # of the trail, by tenant
        self.idempotent: dict[str, dict[str, Any]] = {}

    # ---- from records and changes ----------------------------------------------------------

    @classmethod
    def load(
        cls,
        rows: Iterable[tuple[bytes, bytes]],
        listeners: frozenset[str] = frozenset(),
        iso_listeners: frozenset[str] = frozenset(),
    ) -> Self:
        """From all records in key order, as a store holds them."""
        made = cls(listeners, iso_listeners)
        for name, value in rows:
            kind, rest = records.split(name)
            record = json.loads(value)
            if kind == "tenant":
                made._put(Tenant(**record))
            elif kind == "key":
                made._put_key(Key(**record))
            elif kind == "history":
                uid, version = records.history_place(rest)
                made.history.setdefault(uid, {})[version] = record
            elif kind == "audit":
                made._put_audit(record)
            elif kind == "idempotent":
                made.idempotent[rest] = record
            elif kind == "meta" and rest == "seq":
                made.seq = int(record)
        return made

    def apply(self, change: Change) -> None:
        """Take over a change that is durable by now."""
        self.seq = change.seq
        if change.after is not None:
            if change.after.status == DELETED:
                self._remove(change.uid)
            else:
                self._put(change.after)
        for key in change.keys:
            self._put_key(key)
        for key_id in change.dropped_keys:
            gone = self.keys.pop(key_id, None)
            if gone is not None:
                self.keys_of[gone.tenant].discard(key_id)
        for name, value in change.puts.items():
            kind, rest = records.split(name)
            if kind == "history":
                self._put_history(rest, value)
            elif kind == "idempotent":
                self._put_idempotent(rest, value)
        if change.audit is not None:
            self._put_audit(change.audit)
            del self.audit[: max(len(self.audit) - records.AUDIT, 0)]

    def _put_history(self, rest: str, value: bytes | None) -> None:
        uid, version = records.history_place(rest)
        if value is None:
            self.history.get(uid, {}).pop(version, None)
        elif uid in self.tenants:
            self.history.setdefault(uid, {})[version] = json.loads(value)

    def _put_idempotent(self, slot: str, value: bytes | None) -> None:
        if value is None:
            self.idempotent.pop(slot, None)
        else:
            self.idempotent[slot] = json.loads(value)

    def _put(self, tenant: Tenant) -> None:
        old = self.tenants.get(tenant.uid)
        if old is not None:
            self._unbind(old)
        self.tenants[tenant.uid] = tenant
        self.names[tenant.name] = tenant.uid
        if tenant.undo_ms:
            self.unconfirmed.add(tenant.uid)
        else:
            self.unconfirmed.discard(tenant.uid)
        callers = tenant.document.get("callers", {})
        for host in callers.get("hosts", ()):
            self.hosts[host] = tenant.uid
        for listener in callers.get("listeners", ()):
            self.bound[listener] = tenant.uid

    def _unbind(self, tenant: Tenant) -> None:
        self.names.pop(tenant.name, None)
        callers = tenant.document.get("callers", {})
        for host in callers.get("hosts", ()):
            self.hosts.pop(host, None)
        for listener in callers.get("listeners", ()):
            self.bound.pop(listener, None)

    def _remove(self, uid: str) -> None:
        tenant = self.tenants.pop(uid, None)
        if tenant is not None:
            self._unbind(tenant)
        self.unconfirmed.discard(uid)
        self.history.pop(uid, None)
        for key_id in self.keys_of.pop(uid, ()):
            self.keys.pop(key_id, None)

    def _put_audit(self, entry: dict[str, Any]) -> None:
        self.audit.append(entry)
        self.entries[entry["tenant"]] = entry["n"]

    def _put_key(self, key: Key) -> None:
        self.keys[key.id] = key
        self.keys_of.setdefault(key.tenant, set()).add(key.id)

    # ---- reading --------------------------------------------------------------------------

    def find(self, name: str, actor: Actor) -> Tenant:
        """The tenant of this name. Refused in the same words where there is none and where
        it is not the actor's."""
        uid = self.names.get(name)
        if uid is None or (actor.role != "operator" and actor.tenant != uid):
            raise nothing()
        return self.tenants[uid]

    def visible(self, actor: Actor) -> list[str]:
        """Names of the tenants that an actor may see, in order."""
        if actor.role == "operator":
            return sorted(self.names)
        return [self.tenants[actor.tenant].name] if actor.tenant in self.tenants else []

    def known(self, uid: str) -> Known:
        """A tenant as its callers are known."""
        tenant = self.tenants[uid]
        settings = read(tenant.document)
        return Known(uid, tenant.name, settings.hosts, settings.listeners, settings.key_required)

    def view(self, uid: str) -> dict[str, Any] | None:
        """What the traffic side is told of a tenant; None where it is deleted."""
        tenant = self.tenants.get(uid)
        if tenant is None:
            return None
        keys = [self.keys[k] for k in sorted(self.keys_of.get(uid, ()))]
        return {
            "uid": uid,
            "status": tenant.status,
            "version": tenant.version,
            "document": tenant.document,
            "since": tenant.since,
            "keys": [key.record() for key in keys if key.role == "caller"],
        }

    def trail(self, actor: Actor, after: int, most: int) -> tuple[list[dict[str, Any]], int]:
        """Entries of the audit trail behind a place, oldest first, and the place they reach.

        An operator's place is the sequence number, a tenant's counts its own entries. Who
        gave a command is told a tenant only where it was a key of its own.
        """
        if actor.role == "operator":
            rows = [e for e in self.audit if e["seq"] > after][:most]
            return rows, rows[-1]["seq"] if rows else after
        mine = [e for e in self.audit if e["tenant"] == actor.tenant and e["n"] > after][:most]
        shown = [self.shown(actor, {k: v for k, v in e.items() if k != "seq"}) for e in mine]
        return shown, mine[-1]["n"] if mine else after

    def shown(self, actor: Actor, entry: dict[str, Any]) -> dict[str, Any]:
        """An entry of the trail or the history as an actor may see it."""
        mine = self.keys_of.get(actor.tenant, set())
        if actor.role == "operator" or entry["by"] in mine:
            return entry
        return entry | {"by": ""}
