"""Commands on tenants: create, change, confirm, roll back, suspend, delete, undo. Pure."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tansywood.tenancy import changes, records
from tansywood.tenancy.checks import faults
from tansywood.tenancy.drafts import Drafts
from tansywood.tenancy.fault import Fault
from tansywood.tenancy.identity import digest
from tansywood.tenancy.model import Actor, Change, Refused, Tenant, nothing, unfit
from tansywood.tenancy.settings import ACTIVE, DELETED, DRAINING, SUSPENDED, server_uid

IDEMPOTENT_MS = 24 * 3600 * 1000  # a creation's answer is kept for its repeats
CONFIRM_MOST_S = 3600
OPERATORS_PARTS = ("callers", "limits", "cpu_share")  # of a document: only operators change them


class TenantCommands(Drafts):
    """Each gives a Change, or raises Refused."""

    def create(
        self, actor: Actor, document: Any, uid: str, idempotency: str = "", dry: bool = False
    ) -> Change:
        """A new tenant. A repeat under the same idempotency key gets the first one's result;
        with another document it is refused (draft-ietf-httpapi-idempotency-key-header)."""
        self._only_operators(actor)
        mark = digest(records.encode(document).decode())
        slot = f"{actor.key}/{digest(idempotency)}" if idempotency else ""
        earlier = self.idempotent.get(slot) if slot else None
        if earlier is not None and actor.now_ms - earlier["at"] < IDEMPOTENT_MS:
            return self._repeated(earlier, mark)
        self._check(document)
        if document["name"] in self.names:
            raise Refused("name-taken", f"There is a tenant {document['name']} already.")
        if len(self.tenants) >= self.most_tenants:
            raise Refused("too-many", f"A service has {self.most_tenants} tenants at most.")
        self._check_claims(document, "")
        since = _listed_since(document, {}, actor.now_ms)
        tenant = Tenant(
            uid, document["name"], ACTIVE, 0, 0, document, since, actor.now_ms, actor.now_ms
        )
        change = self._changed(actor, tenant, tenant, "create", dry=dry)
        change.result = uid
        if slot:
            self._remember(change, slot, {"mark": mark, "uid": uid, "at": actor.now_ms})
        return change

    def _repeated(self, earlier: dict[str, Any], mark: str) -> Change:
        """The answer to a creation that was done before."""
        if earlier["mark"] != mark:
            raise Refused("idempotency-mismatch", "This Idempotency-Key was of another body.")
        change = Change(self.seq)
        change.result = earlier["uid"]
        return change

    def _remember(self, change: Change, slot: str, record: dict[str, Any]) -> None:
        """Keep what a creation gave for its repeats, and let go of those that are over."""
        change.puts[records.idempotent(slot)] = records.encode(record)
        for old, kept in self.idempotent.items():
            if record["at"] - kept["at"] >= IDEMPOTENT_MS:
                change.puts[records.idempotent(old)] = None

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
        self._only_editors(actor)
        self._check(document)
        self._check_kept(actor, tenant.document, document)
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
            since=_listed_since(document, tenant.since, actor.now_ms),
            undo_ms=actor.now_ms + confirm_s * 1000 if confirm_s else 0,
            undo_to=tenant.version if confirm_s else 0,
        )
        change = self._changed(actor, tenant, after, why, dry=dry)
        change.result = {
            "differences": changes.difference_records(tenant.document, document),
            "consequences": changes.consequences(tenant.document, document),
        }
        return change

    def confirm(self, actor: Actor, tenant: Tenant, match: str) -> Change:
        """Let a change stand that would have undone itself."""
        self.check_match(tenant, match)
        self._only_editors(actor)
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
            raise nothing()
        why = f"rollback to {to}"
        return self.change(actor, tenant, earlier["document"], match, why=why, dry=dry)

    def set_status(self, actor: Actor, tenant: Tenant, status: str, match: str) -> Change:
        """Suspend, drain, resume."""
        self._only_operators(actor)
        self.check_match(tenant, match)
        after = replace(tenant, status=status)
        why = {ACTIVE: "resume", SUSPENDED: "suspend", DRAINING: "drain"}[status]
        return self._changed(actor, tenant, after, why)

    def delete(self, actor: Actor, tenant: Tenant, match: str) -> Change:
        """Its records go, but for the audit trail; its name is free at once."""
        self._only_operators(actor)
        self.check_match(tenant, match)
        change = self._changed(actor, tenant, replace(tenant, status=DELETED), "delete")
        for name in [n for n in change.puts if n.startswith(b"history/")]:
            del change.puts[name]
        change.puts[records.tenant(tenant.uid)] = None
        for version in self.history.get(tenant.uid, {}):
            change.puts[records.history(tenant.uid, version)] = None
        for key_id in self.keys_of.get(tenant.uid, ()):
            change.puts[records.key(key_id)] = None
            change.dropped_keys.append(key_id)
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
        since = _listed_since(document, tenant.since, now_ms)
        after = replace(settled, document=document, since=since)
        return self._changed(
            actor, tenant, after, f"undone, not confirmed: back to {tenant.undo_to}"
        )

    # ---- checks ------------------------------------------------------------------------------

    def _only_operators(self, actor: Actor) -> None:
        if actor.role != "operator":
            raise Refused("forbidden", "Only an operator's key may do this.")

    def _only_editors(self, actor: Actor) -> None:
        if actor.role not in ("operator", "admin"):
            raise Refused("forbidden", "This key may read only.")

    def check_match(self, tenant: Tenant, match: str) -> None:
        """RFC 9110 13.1.1; `*` matches whatever stands."""
        if not match:
            raise Refused("precondition-required", f"If-Match is missing: {tenant.etag}, or *.")
        tags = [tag.strip() for tag in match.split(",")]
        if "*" not in tags and tenant.etag not in tags:
            raise Refused("stale", "Somebody has changed it since: read it again.")

    def _check(self, document: Any) -> None:
        """By itself: its form, and listeners that there are."""
        found = faults(document, self.listeners or None, self.iso_listeners)
        if found:
            raise unfit(found)

    def _check_kept(self, actor: Actor, old: dict[str, Any], new: dict[str, Any]) -> None:
        """What no change may change, and what only an operator's may."""
        if new["name"] != old["name"]:
            remedy = "delete the tenant and create another"
            raise unfit([Fault("/name", "can't be changed", remedy)])
        if _connection_part(old.get("iso8583")) != _connection_part(new.get("iso8583")):
            remedy = "create another tenant, and delete this one"
            raise unfit([Fault("/iso8583", "can't be changed but for rules and codes", remedy)])
        if actor.role != "operator":
            own = [
                Fault(f"/{part}", "only an operator changes this", "leave it as it is")
                for part in OPERATORS_PARTS
                if new.get(part) != old.get(part)
            ]
            if own:
                raise unfit(own)

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
            raise unfit(found)


def _listed_since(document: dict[str, Any], since: dict[str, int], now_ms: int) -> dict[str, int]:
    """When each server of a document was first listed: now, where it was not before."""
    return {uid: since.get(uid, now_ms) for uid in map(server_uid, document["servers"])}


def _connection_part(given: Any) -> Any:
    """Of an iso8583 section what connections that are open hang on; None where there is none."""
    if not isinstance(given, dict):
        return given
    return {key: value for key, value in given.items() if key not in ("rules", "codes")}
