"""Giving tenants up without losing a request: every follower lets go, or all go on. No I/O.

The door lets go first, so that nothing new comes; then the workers, each unless it has a connection
or a request; last whoever else follows. Where one refuses, ends or says nothing in time, or the
tenant is asked for meanwhile, the release is called off and the view is told to all again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tansywood.distribution.parameters import SECOND

ANSWER = SECOND  # a follower answers within so long
DOOR = "door"
FLEET = "fleet"


@dataclass(slots=True)
class _Release:
    number: int
    until: int
    stages: list[set[str]]  # the first one's answers are awaited


class Releases:
    """Tenants that are being given up."""

    def __init__(
        self,
        tell: Callable[[str, dict[str, Any]], None],
        done: Callable[[str], None],
        called_off: Callable[[str], None],
    ) -> None:
        """`tell` sends one follower a message. Each release ends in `done` or `called_off`."""
        self._tell = tell
        self._done = done
        self._called_off = called_off
        self._open: dict[str, _Release] = {}
        self._next = 1

    def __contains__(self, uid: object) -> bool:
        return uid in self._open

    def begin(self, uid: str, followers: set[str], now: int) -> None:
        """Ask all that follow now; without a door nobody can say that nothing comes."""
        workers = followers - {DOOR, FLEET}
        release = _Release(self._next, now + ANSWER, [{DOOR}, workers, followers & {FLEET}])
        self._next += 1
        self._open[uid] = release
        if DOOR in followers:
            self._ask(uid, release)
        else:
            self.call_off(uid)

    def answered(self, name: str, message: dict[str, Any]) -> None:
        """A follower has let go, or has not."""
        uid = message["release"]
        release = self._open.get(uid)
        if release is None or release.number != message["number"]:
            return  # it was called off since
        if not message["released"]:
            self.call_off(uid)
            return
        release.stages[0].discard(name)
        self._go_on(uid, release)

    def call_off(self, uid: str) -> None:
        if self._open.pop(uid, None) is not None:
            self._called_off(uid)

    def call_off_all(self) -> None:
        """Who follows is another than when these began."""
        for uid in list(self._open):
            self.call_off(uid)

    def drop(self, uid: str) -> None:
        """The tenant was deleted: there is nothing to go back to."""
        self._open.pop(uid, None)

    def tick(self, now: int) -> None:
        for uid in [uid for uid, release in self._open.items() if now >= release.until]:
            self.call_off(uid)

    def _go_on(self, uid: str, release: _Release) -> None:
        if release.stages[0]:
            return
        while release.stages and not release.stages[0]:
            del release.stages[0]
        if release.stages:
            self._ask(uid, release)
        else:
            del self._open[uid]
            self._done(uid)

    def _ask(self, uid: str, release: _Release) -> None:
        for name in release.stages[0]:
            self._tell(name, {"release": uid, "number": release.number})
