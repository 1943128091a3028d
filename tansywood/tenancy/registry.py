"""The administration's state and every command on it, pure: records in, records out.

A command checks, and returns a Change: the records to write, as bytes by bytes, and nothing
has happened yet. Whoever does I/O writes them durably as one batch and then applies the change.
What was not durable is so never seen, and a process that dies in between finds on its next
start exactly what it had written. One command at a time: the next one begins after the apply.

Times are Unix milliseconds and passed in; so is what has to be random.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from tansywood.tenancy import changes
from tansywood.tenancy.checks import Fault, faults
from tansywood.tenancy.identity import Key, Known, digest, token
from tansywood.tenancy.settings import (
    ACTIVE,
    DELETED,
    DRAINING,
    SUSPENDED,
    read,
    server_uid,
)

HISTORY = 200  # versions of a tenant that are kept
AUDIT = 20_000  # entries of the audit trail that are kept
IDEMPOTENT_MS = 24 * 3600 * 1000  # a creation's answer is kept for its repeats
CONFIRM_MOST_S = 3600
OVERLAP_MOST_S = 7 * 24 * 3600
MAX_TENANTS = 10_000  # where each process of the traffic side is told of all of them
MAX_PUBLISHED = 250_000  # where instances hold what they serve alone
MAX_KEYS = 50  # of one tenant

MAY_ISSUE: dict[str, tuple[str, ...]] = {
    "operator": ("caller", "viewer", "admin", "operator"),
    "admin": ("caller", "viewer"),
}


class Refused(Exception):
    """A command that can't be done; `kind` is one of the API's problem types."""

    def __init__(self, kind: str, text: str, found: Iterable[Fault] = ()) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.faults = tuple(found)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant as it stands. `version` grows with each change; `since` tells of each server
    (by name and address) when it was first listed."""

    uid: str
    name: str
    status: str
    version: int
    seq: int  # of the change that made it so
    document: dict[str, Any]
    since: dict[str, int]
    created_ms: int
    changed_ms: int
    undo_ms: int = 0  # when the change that waits to be confirmed is undone; 0: none waits
    undo_to: int = 0  # the version it goes back to

    @property
    def etag(self) -> str:
        """Of this tenant's life under its name: one made again does not repeat it."""
        return f'"{self.uid[-6:]}.{self.version}"'

    def record(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True)
class Change:
    """What a command would write; None as a value deletes. `after` is the tenant then."""

    seq: int
    puts: dict[bytes, bytes | None] = field(default_factory=dict)
    uid: str = ""
    after: Tenant | None = None
    result: Any = None  # for the caller, such as a token that is told once
    keys: list[Key] = field(default_factory=list)
    dropped_keys: list[str] = field(default_factory=list)
    audit: dict[str, Any] | None = None
    idempotent: tuple[str, dict[str, Any]] | None = None


@dataclass(frozen=True, slots=True)
class Actor:
    """Who gives a command: a key, and when."""

    key: str
    role: str
    tenant: str
    now_ms: int


def _dump(record: object) -> bytes:
    return json.dumps(record, separators=(",", ":"), sort_keys=True).encode()


class Registry:
    """All tenants, keys and trails."""

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

    # ---- from and to records -------------------------------------------------------------

    @classmethod
    def load(
        cls,
        rows: Iterable[tuple[bytes, bytes]],
        listeners: frozenset[str] = frozenset(),
        iso_listeners: frozenset[str] = frozenset(),
    ) -> Registry:
        """From all records in key order, as a store holds them."""
        registry = cls(listeners, iso_listeners)
        for key, value in rows:
            kind, _, rest = key.decode().partition("/")
            record = json.loads(value)
            if kind == "tenant":
                registry._put(Tenant(**record))
            elif kind == "key":
                registry._put_key(Key(**record))
            elif kind == "history":
                uid, _, version = rest.partition("/")
                registry.history.setdefault(uid, {})[int(version)] = record
            elif kind == "audit":
                registry._put_audit(record)
            elif kind == "idempotent":
                registry.idempotent[rest] = record
            elif kind == "meta" and rest == "seq":
                registry.seq = int(record)
        return registry

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
            kind, _, rest = name.decode().partition("/")
            if kind == "history":
                uid, _, version = rest.partition("/")
                if value is None:
                    self.history.get(uid, {}).pop(int(version), None)
                elif uid in self.tenants:
                    self.history.setdefault(uid, {})[int(version)] = json.loads(value)
            elif kind == "idempotent":
                if value is None:
                    self.idempotent.pop(rest, None)
                else:
                    self.idempotent[rest] = json.loads(value)
        if change.audit is not None:
            self._put_audit(change.audit)
            del self.audit[: max(len(self.audit) - AUDIT, 0)]

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
            raise Refused("not-found", "There is nothing here, or nothing of yours.")
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

    # ---- commands -------------------------------------------------------------------------

    def create(
        self, actor: Actor, document: Any, uid: str, idempotency: str = "", dry: bool = False
    ) -> Change:
        """A new tenant. A repeat under the same idempotency key gets the first one's result;
        with another document it is refused (draft-ietf-httpapi-idempotency-key-header)."""
        self._only(actor, "operator")
        mark = digest(_dump(document).decode())
        slot = f"{actor.key}/{digest(idempotency)}" if idempotency else ""
        earlier = self.idempotent.get(slot) if slot else None
        if earlier is not None and actor.now_ms - earlier["at"] < IDEMPOTENT_MS:
            if earlier["mark"] != mark:
                raise Refused("idempotency-mismatch", "This Idempotency-Key was of another body.")
            change = Change(self.seq)
            change.result = earlier["uid"]
            return change
        self._check(document)
        if document["name"] in self.names:
            raise Refused("name-taken", f"There is a tenant {document['name']} already.")
        if len(self.tenants) >= self.most_tenants:
            raise Refused("too-many", f"A service has {self.most_tenants} tenants at most.")
        self._check_claims(document, "")
        since = {server_uid(s): actor.now_ms for s in document["servers"]}
        tenant = Tenant(
            uid, document["name"], ACTIVE, 0, 0, document, since, actor.now_ms, actor.now_ms
        )
        change = self._changed(actor, tenant, tenant, "create", dry=dry)
        change.result = uid
        if slot:
            record = {"mark": mark, "uid": uid, "at": actor.now_ms}
            change.puts[f"idempotent/{slot}".encode()] = _dump(record)
            for old, kept in self.idempotent.items():
                if actor.now_ms - kept["at"] >= IDEMPOTENT_MS:
                    change.puts[f"idempotent/{old}".encode()] = None
        return change

    def change(
        self,
        actor: Actor,
        tenant: Tenant,
        document: Any,
        match: str,
        confirm_s: int = 0,
        why: str = "change",
        dry: bool = False,
    ) -> Change:
        """Another document for a tenant. With `confirm_s` it is undone by itself after that
        many seconds unless it is confirmed."""
        self.check_match(tenant, match)
        if actor.role not in ("operator", "admin"):
            raise Refused("forbidden", "This key may read only.")
        self._check(document)
        if document["name"] != tenant.name:
            raise Refused(
                "invalid",
                "The document does not fit.",
                [Fault("/name", "can't be changed", "delete the tenant and create another")],
            )
        fixed = [_spoken(doc.get("iso8583")) for doc in (tenant.document, document)]
        if fixed[0] != fixed[1]:
            raise Refused(
                "invalid",
                "The document does not fit.",
                [
                    Fault(
                        "/iso8583",
                        "can't be changed but for rules and codes",
                        "create another tenant, and delete this one",
                    )
                ],
            )
        if actor.role != "operator":
            own = [
                Fault(f"/{part}", "only an operator changes this", "leave it as it is")
                for part in ("callers", "limits", "cpu_share")
                if document.get(part) != tenant.document.get(part)
            ]
            if own:
                raise Refused("invalid", "The document does not fit.", own)
        self._check_claims(document, tenant.uid)
        if confirm_s and not 0 < confirm_s <= CONFIRM_MOST_S:
            raise Refused("invalid", f"confirm_within_s goes from 1 to {CONFIRM_MOST_S}.")
        if tenant.undo_ms and confirm_s:
            raise Refused(
                "conflict", "A change waits to be confirmed: confirm it or undo it first."
            )
        after = replace(
            tenant,
            document=document,
            since={
                server_uid(s): tenant.since.get(server_uid(s), actor.now_ms)
                for s in document["servers"]
            },
            undo_ms=actor.now_ms + confirm_s * 1000 if confirm_s else 0,
            undo_to=tenant.version if confirm_s else 0,
        )
        change = self._changed(actor, tenant, after, why, dry=dry)
        change.result = {
            "differences": [
                {"path": d.path, "old": d.old, "new": d.new}
                for d in changes.differences(tenant.document, document)
            ],
            "consequences": changes.consequences(tenant.document, document),
        }
        return change

    def confirm(self, actor: Actor, tenant: Tenant, match: str) -> Change:
        """Let a change stand that would have undone itself."""
        self.check_match(tenant, match)
        if actor.role not in ("operator", "admin"):
            raise Refused("forbidden", "This key may read only.")
        if not tenant.undo_ms:
            raise Refused("conflict", "No change waits to be confirmed.")
        after = replace(tenant, undo_ms=0, undo_to=0)
        return self._changed(actor, tenant, after, "confirm")

    def rollback(
        self, actor: Actor, tenant: Tenant, to: int, match: str, dry: bool = False
    ) -> Change:
        """The document of an earlier version, as a new version."""
        earlier = self.history.get(tenant.uid, {}).get(to)
        if earlier is None:
            raise Refused("not-found", "There is nothing here, or nothing of yours.")
        why = f"rollback to {to}"
        return self.change(actor, tenant, earlier["document"], match, why=why, dry=dry)

    def set_status(self, actor: Actor, tenant: Tenant, status: str, match: str) -> Change:
        """Suspend, drain, resume."""
        self._only(actor, "operator")
        self.check_match(tenant, match)
        after = replace(tenant, status=status)
        why = {ACTIVE: "resume", SUSPENDED: "suspend", DRAINING: "drain"}[status]
        return self._changed(actor, tenant, after, why)

    def delete(self, actor: Actor, tenant: Tenant, match: str) -> Change:
        """Its records go, but for the audit trail; its name is free at once."""
        self._only(actor, "operator")
        self.check_match(tenant, match)
        change = self._changed(actor, tenant, replace(tenant, status=DELETED), "delete")
        for name in [n for n in change.puts if n.startswith(b"history/")]:
            del change.puts[name]
        change.puts[f"tenant/{tenant.uid}".encode()] = None
        for version in self.history.get(tenant.uid, {}):
            change.puts[_history(tenant.uid, version)] = None
        for key_id in self.keys_of.get(tenant.uid, ()):
            change.puts[f"key/{key_id}".encode()] = None
            change.dropped_keys.append(key_id)
        return change

    def issue(
        self,
        actor: Actor,
        tenant: Tenant | None,
        role: str,
        label: str,
        key_id: str,
        secret: str,
        lasts_s: int = 0,
    ) -> Change:
        """A new key; its token is the change's result, told once. Without a tenant an
        operator's."""
        if role not in MAY_ISSUE.get(actor.role, ()) or (role == "operator") != (tenant is None):
            raise Refused("forbidden", "This key may not issue such a key.")
        uid = tenant.uid if tenant is not None else ""
        if len(self.keys_of.get(uid, ())) >= MAX_KEYS:
            raise Refused("too-many", f"There are {MAX_KEYS} keys at most: revoke one first.")
        shown = token(key_id, secret)
        expires = actor.now_ms + lasts_s * 1000 if lasts_s else 0
        key = Key(key_id, digest(shown), role, uid, label, actor.now_ms, expires)
        change = self._begun(actor, f"issue a key for a {role}", uid, {"key": key_id})
        self._keep(change, key)
        change.result = shown
        return change

    def rotate(self, actor: Actor, key: Key, key_id: str, secret: str, overlap_s: int) -> Change:
        """A new key of the same kind; the old one ends after the overlap."""
        if not 0 <= overlap_s <= OVERLAP_MOST_S:
            raise Refused("invalid", f"overlap_s goes from 0 to {OVERLAP_MOST_S}.")
        tenant = self.tenants[key.tenant] if key.tenant else None
        change = self.issue(actor, tenant, key.role, key.label, key_id, secret)
        end = actor.now_ms + overlap_s * 1000
        ending = replace(key, expires_ms=min(end, key.expires_ms) if key.expires_ms else end)
        self._keep(change, ending)
        assert change.audit is not None
        change.audit["what"] = "rotate a key"
        change.audit["detail"]["old"] = key.id
        change.puts[_audit(change.seq)] = _dump(change.audit)
        return change

    def revoke(self, actor: Actor, key: Key) -> Change:
        """A key is none from now on."""
        if actor.role != "operator" and key.role not in ("caller", "viewer"):
            raise Refused("forbidden", "This key may not revoke that one.")
        if key.role == "operator" and len(self.keys_of.get("", ())) == 1:
            raise Refused("conflict", "It is the last operator's key: issue another first.")
        change = self._begun(actor, "revoke a key", key.tenant, {"key": key.id})
        change.puts[f"key/{key.id}".encode()] = None
        change.dropped_keys.append(key.id)
        return change

    # ---- time ------------------------------------------------------------------------------

    def due(self, now_ms: int) -> list[Tenant]:
        """Tenants whose change was not confirmed in time."""
        waiting = (self.tenants[uid] for uid in sorted(self.unconfirmed))
        return [tenant for tenant in waiting if tenant.undo_ms <= now_ms]

    def undo(self, tenant: Tenant, now_ms: int) -> Change:
        """The document that stood before a change that nobody confirmed.

        What an earlier version claims may be another's by now: then the change stays, and the
        trail says so.
        """
        actor = Actor("", "operator", "", now_ms)
        earlier = self.history.get(tenant.uid, {}).get(tenant.undo_to)
        settled = replace(tenant, undo_ms=0, undo_to=0)
        if earlier is None:
            return self._changed(actor, tenant, settled, "not undone: the version is not kept")
        try:
            self._check_claims(earlier["document"], tenant.uid)
        except Refused:
            return self._changed(actor, tenant, settled, "not undone: its names are taken")
        document = earlier["document"]
        since = {
            server_uid(s): tenant.since.get(server_uid(s), now_ms) for s in document["servers"]
        }
        after = replace(settled, document=document, since=since)
        return self._changed(
            actor, tenant, after, f"undone, not confirmed: back to {tenant.undo_to}"
        )

    # ---- the parts ---------------------------------------------------------------------------

    def _only(self, actor: Actor, role: str) -> None:
        if actor.role != role:
            raise Refused("forbidden", "Only an operator's key may do this.")

    def check_match(self, tenant: Tenant, match: str) -> None:
        """RFC 9110 13.1.1; `*` matches whatever stands."""
        if not match:
            raise Refused("precondition-required", f"If-Match is missing: {tenant.etag}, or *.")
        tags = [tag.strip() for tag in match.split(",")]
        if "*" not in tags and tenant.etag not in tags:
            raise Refused("stale", "Somebody has changed it since: read it again.")

    def _check(self, document: Any) -> None:
        found = faults(document, self.listeners or None, self.iso_listeners)
        if found:
            raise Refused("invalid", "The document does not fit.", found)

    def _check_claims(self, document: dict[str, Any], uid: str) -> None:
        """Host names and listeners are one tenant's alone. Only operators ever get here with
        another's, so saying so tells no tenant of another."""
        callers = document.get("callers", {})
        found = [
            Fault(f"/callers/{rows}/{i}", f"{word} is another tenant's", "choose another")
            for rows, table in (("hosts", self.hosts), ("listeners", self.bound))
            for i, word in enumerate(callers.get(rows, ()))
            if table.get(word, uid) != uid
        ]
        if found:
            raise Refused("invalid", "The document does not fit.", found)

    def _begun(self, actor: Actor, what: str, uid: str, detail: dict[str, Any]) -> Change:
        change = Change(self.seq + 1, uid=uid)
        name = self.tenants[uid].name if uid in self.tenants else ""
        change.audit = {
            "seq": change.seq,
            # A tenant is shown this number instead: gaps in the other would tell it how much
            # its neighbours change.
            "n": self.entries.get(uid, 0) + 1,
            "at_ms": actor.now_ms,
            "by": actor.key,
            "role": actor.role,
            "tenant": uid,
            "name": name,
            "what": what,
            "detail": detail,
        }
        change.puts[_audit(change.seq)] = _dump(change.audit)
        change.puts[b"meta/seq"] = _dump(change.seq)
        if change.seq > AUDIT:
            change.puts[_audit(change.seq - AUDIT)] = None
        return change

    def _keep(self, change: Change, key: Key) -> None:
        change.keys.append(key)
        change.puts[f"key/{key.id}".encode()] = _dump(key.record())

    def _changed(
        self, actor: Actor, old: Tenant, new: Tenant, why: str, dry: bool = False
    ) -> Change:
        change = self._begun(actor, why, new.uid, {})
        assert change.audit is not None
        change.audit["name"] = new.name
        after = replace(new, version=old.version + 1, seq=change.seq, changed_ms=actor.now_ms)
        change.audit["detail"] = {"version": after.version}
        change.puts[_audit(change.seq)] = _dump(change.audit)
        change.after = after
        change.puts[f"tenant/{new.uid}".encode()] = _dump(after.record())
        entry = {
            "version": after.version,
            "at_ms": actor.now_ms,
            "by": actor.key,
            "why": why,
            "status": after.status,
            "document": after.document,
        }
        change.puts[_history(new.uid, after.version)] = _dump(entry)
        if after.version > HISTORY:
            change.puts[_history(new.uid, after.version - HISTORY)] = None
        if dry:
            change.puts = {}
        return change


def _history(uid: str, version: int) -> bytes:
    return f"history/{uid}/{version:09d}".encode()


def _audit(seq: int) -> bytes:
    return f"audit/{seq:012d}".encode()


def _spoken(given: Any) -> Any:
    """Of an iso8583 section what connections that are open hang on; None where there is none."""
    if not isinstance(given, dict):
        return given
    return {key: value for key, value in given.items() if key not in ("rules", "codes")}
