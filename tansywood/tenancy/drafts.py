"""Changes as they are put together: their number, their entry in the trail, their records. Pure."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tansywood.tenancy import records
from tansywood.tenancy.identity import Key
from tansywood.tenancy.model import Actor, Change, Tenant
from tansywood.tenancy.state import State


class Drafts(State):
    """The state, and the beginnings of every command on it. Nothing here changes it."""

    def _begun(self, actor: Actor, what: str, uid: str, detail: dict[str, Any]) -> Change:
        """The next change: its number and its entry in the audit trail."""
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
        change.puts[records.audit(change.seq)] = records.encode(change.audit)
        change.puts[records.SEQUENCE] = records.encode(change.seq)
        if change.seq > records.AUDIT:
            change.puts[records.audit(change.seq - records.AUDIT)] = None
        return change

    def _keep(self, change: Change, key: Key) -> None:
        """With a key as it is from then on."""
        change.keys.append(key)
        change.puts[records.key(key.id)] = records.encode(key.record())

    def _changed(
        self, actor: Actor, old: Tenant, new: Tenant, why: str, dry: bool = False
    ) -> Change:
        """A tenant becomes another; with `dry` nothing is to be written."""
        change = self._begun(actor, why, new.uid, {})
        assert change.audit is not None
        change.audit["name"] = new.name
        after = replace(new, version=old.version + 1, seq=change.seq, changed_ms=actor.now_ms)
        change.audit["detail"] = {"version": after.version}
        change.puts[records.audit(change.seq)] = records.encode(change.audit)
        change.after = after
        change.puts[records.tenant(new.uid)] = records.encode(after.record())
        entry = {
            "version": after.version,
            "at_ms": actor.now_ms,
            "by": actor.key,
            "why": why,
            "status": after.status,
            "document": after.document,
        }
        change.puts[records.history(new.uid, after.version)] = records.encode(entry)
        if after.version > records.HISTORY:
            change.puts[records.history(new.uid, after.version - records.HISTORY)] = None
        if dry:
            change.puts = {}
        return change
