"""The door's questions to the node's agent: whose is what a request shows and nobody here knows?

A connection waits here while the agent is asked: bounded in number, from one address too, and in
time. Nothing of it is read or written meanwhile.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Hashable, Iterator
from typing import Any

from tansywood.distribution.messages import (
    alias_of_host,
    alias_of_key,
    alias_of_listener,
    alias_of_name,
)
from tansywood.distribution.parameters import MS, Parameters
from tansywood.tenancy.door import Lobby
from tansywood.tenancy.identity import Shown
from tansywood.tenancy.schema import HOST, NAME

GRACE_MS = 250  # beyond the agent's own patience with its question
PATIENCE_MS = Parameters().lookup_timeout_ns // MS + GRACE_MS
_HOST = re.compile(HOST)
_NAME = re.compile(NAME)


def aliases_to_ask(unknown: Shown) -> list[str]:
    """The aliases of what is unknown, of those that can be a tenant's at all."""
    found = []
    if unknown.host and _HOST.fullmatch(unknown.host):
        found.append(alias_of_host(unknown.host))
    if unknown.name and _NAME.fullmatch(unknown.name):
        found.append(alias_of_name(unknown.name))
    if unknown.key:
        found.append(alias_of_key(unknown.key))
    if unknown.listener:
        found.append(alias_of_listener(unknown.listener))
    return found


class Lookups:
    """Connections that wait for an answer, each by the number of its question."""

    def __init__(self, tell: Callable[[dict[str, Any]], bool]) -> None:
        """`tell` sends the agent a message."""
        self._tell = tell
        self._lobby = Lobby(patience_ms=PATIENCE_MS)
        self._open: dict[int, tuple[Hashable, dict[str, Any]]] = {}
        self._numbers: dict[Hashable, int] = {}
        self._next = 1

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[Hashable]:
        """The connections that wait."""
        return iter(self._numbers)

    def ask(
        self, who: Hashable, address: str, aliases: list[str], known: bool, now_ms: int
    ) -> Hashable | None:
        """Ask for a connection; returns the one that has to go for it, itself perhaps. `known`
        tells that whose it is is held: it is not to wait while control is away."""
        goes = self._lobby.enter(who, address, now_ms)
        if goes is not None:
            self._forget(goes)
        if goes is not who:
            number, self._next = self._next, self._next + 1
            message = {"lookup": number, "aliases": aliases, "known": known}
            self._open[number] = (who, message)
            self._numbers[who] = number
            self._send(number)
        return goes

    def answered(self, number: int) -> Hashable | None:
        """Whose question that was; None where it waits no more."""
        found = self._open.get(number)
        if found is None:
            return None
        self._forget(found[0])
        return found[0]

    def ask_again(self) -> None:
        """Another agent is there: it knows of none of the questions."""
        for number in self._open:
            self._send(number)

    def late(self, now_ms: int) -> list[Hashable]:
        """Those whose patience is over; they wait no more."""
        found = self._lobby.late(now_ms)
        for who in found:
            self._forget(who)
        return found

    def end(self) -> list[Hashable]:
        """All that wait; they wait no more."""
        found = list(self._numbers)
        for who in found:
            self._forget(who)
        return found

    def _send(self, number: int) -> None:
        self._tell(self._open[number][1])

    def _forget(self, who: Hashable) -> None:
        self._lobby.leave(who)
        number = self._numbers.pop(who, None)
        if number is not None:
            del self._open[number]
