"""What an agent that starts again learns from the door and the workers: the views they go on with.

For a moment after its start it collects: each follower says what it holds and is asked for it. The
state kept of a tenant is that of the follower that was told most. A follower that comes later
with a tenant that is not held is a case for a lookup: see `late`. No I/O.
"""

from __future__ import annotations

from typing import Any


class Restore:
    """Views by tenant while they are collected."""

    def __init__(self) -> None:
        self.collecting = True
        self._told: dict[str, int] = {}  # how far each follower was told by an earlier agent
        self._views: dict[str, tuple[int, dict[str, Any]]] = {}
        self._late: dict[str, dict[str, Any]] = {}

    def joined(self, name: str, seq: int) -> None:
        self._told[name] = seq

    def given(self, name: str, uid: str, view: dict[str, Any]) -> None:
        """A follower's view of a tenant."""
        if not self.collecting:
            self._late[uid] = view
            return
        seq = self._told.get(name, -1)
        if uid not in self._views or seq > self._views[uid][0]:
            self._views[uid] = (seq, view)

    def collected(self) -> dict[str, dict[str, Any]]:
        """The end of collecting."""
        self.collecting = False
        found = {uid: view for uid, (_, view) in self._views.items()}
        self._views.clear()
        return found

    def late(self) -> dict[str, dict[str, Any]]:
        """Views of tenants that only some follower holds: whether they still are is to be asked."""
        return self._late

    def settled(self, uid: str) -> None:
        """Such a tenant is held by now, or was deleted."""
        self._late.pop(uid, None)
