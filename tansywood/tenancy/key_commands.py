"""Commands on keys: issue, rotate, revoke. Pure."""

from __future__ import annotations

from dataclasses import replace

from tansywood.tenancy import records
from tansywood.tenancy.drafts import Drafts
from tansywood.tenancy.identity import Key, digest, token
from tansywood.tenancy.model import Actor, Change, Refused, Tenant

OVERLAP_MOST_S = 7 * 24 * 3600
MAX_KEYS = 50  # of one tenant

MAY_ISSUE: dict[str, tuple[str, ...]] = {
    "operator": ("caller", "viewer", "admin", "operator"),
    "admin": ("caller", "viewer"),
}


class KeyCommands(Drafts):
    """Each gives a Change, or raises Refused."""

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
        change.puts[records.audit(change.seq)] = records.encode(change.audit)
        return change

    def revoke(self, actor: Actor, key: Key) -> Change:
        """A key is none from now on."""
        if actor.role != "operator" and key.role not in ("caller", "viewer"):
            raise Refused("forbidden", "This key may not revoke that one.")
        if key.role == "operator" and len(self.keys_of.get("", ())) == 1:
            raise Refused("conflict", "It is the last operator's key: issue another first.")
        change = self._begun(actor, "revoke a key", key.tenant, {"key": key.id})
        change.puts[records.key(key.id)] = None
        change.dropped_keys.append(key.id)
        return change
