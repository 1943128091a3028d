"""The fence: what is changed under a lease refuses whoever acts by an older token. Pure."""

from __future__ import annotations

from collections.abc import Callable


class StaleToken(Exception):
    """An act under a token that is older than one that has acted already."""


class Fence:
    """What a holder changes looks at its token here: the newest that has acted goes on, any older
    is refused. It belongs beside the thing itself, and lasts as long as that."""

    def __init__(self, newest: dict[str, int] | None = None) -> None:
        self.newest = newest if newest is not None else {}

    def check(self, name: str, token: int, kept: Callable[[], None] = lambda: None) -> None:
        """Let an act under this token through, or raise StaleToken. `kept` makes a newer token last
        before anything is done under it."""
        if token <= 0 or token < self.newest.get(name, 0):
            raise StaleToken(f"{name}: token {token} is older than {self.newest.get(name, 0)}")
        if token > self.newest.get(name, 0):
            self.newest[name] = token
            kept()
