"""What instances may put into force: states of a tenant in the order in which they were made."""

from __future__ import annotations

from tests.distribution.model.parts import TENANTS


class Oracle:
    """What the publisher has had of each tenant, in the order of real time."""

    def __init__(self) -> None:
        self._states: dict[str, list[bytes | None]] = {uid: [None] for uid in TENANTS}

    def became(self, uid: str, body: bytes | None) -> None:
        if self._states[uid][-1] != body:
            self._states[uid].append(body)

    def next_place(self, uid: str, place: int, body: bytes | None) -> int | None:
        """The first place of a state that is not before `place`; None where there is none."""
        states = self._states[uid]
        return next((n for n in range(place, len(states)) if states[n] == body), None)
