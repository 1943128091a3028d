"""The states of each tenant that instances may apply, in the order of real time."""

from __future__ import annotations

from tests.distribution.model.parts import TENANTS


class Oracle:
    """Records the states of each tenant at the publisher, in the order of real time."""

    def __init__(self) -> None:
        self._states: dict[str, list[bytes | None]] = {uid: [None] for uid in TENANTS}

    def record_state(self, uid: str, body: bytes | None) -> None:
        if self._states[uid][-1] != body:
            self._states[uid].append(body)

    def next_index(self, uid: str, index: int, body: bytes | None) -> int | None:
        """Return the first index from `index` on that holds this state, None if there is none."""
        states = self._states[uid]
        return next((n for n in range(index, len(states)) if states[n] == body), None)
