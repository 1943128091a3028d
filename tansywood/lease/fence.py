"""The fence: a resource that is changed under a lease refuses older fencing tokens. Pure."""

from __future__ import annotations

from collections.abc import Callable


class StaleToken(Exception):
    """An operation came with a fencing token that is older than one already used."""


class Fence:
    """The newest fencing token used for each lease; operations with an older one are refused.

    The fence must be stored with the resource that it protects and last as long as the resource.
    """

    def __init__(self, newest: dict[str, int] | None = None) -> None:
        self.newest = newest if newest is not None else {}

    def check(self, name: str, token: int, persist: Callable[[], None] = lambda: None) -> None:
        """Accept an operation under this token, or raise StaleToken. `persist` stores a newer token
        before the operation is done."""
        if token <= 0 or token < self.newest.get(name, 0):
            raise StaleToken(f"{name}: token {token} is older than {self.newest.get(name, 0)}")
        if token > self.newest.get(name, 0):
            self.newest[name] = token
            persist()
