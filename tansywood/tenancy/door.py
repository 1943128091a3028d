"""What a door decides before anybody knows whose a connection is: pure, clocks passed in.

Work for nobody is bounded: so many connections that have not said whose they are, fewer from
one address, each for so long and so many bytes. Past that the newest of the address that has
most goes first, so that a crowd from one place displaces itself. What a tenant's own crowd of
connections costs is charged to the tenant as soon as it is known, by its rate of connections.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

MAX_HEAD = 16 << 10
PATIENCE_MS = 3_000  # from connecting to a whole head
WATCHED = (b"host", b"x-tenant-id", b"x-tenant-key")


@dataclass(frozen=True, slots=True)
class Head:
    """What a head says of whose it is. `whole` is false while more has to come, `sound` where
    it can be nobody's: a name twice, or no head at all."""

    whole: bool
    sound: bool = True
    host: str = ""
    name: str = ""
    key: str = ""


def look(data: bytes) -> Head:
    """Read what is watched of a request's head (RFC 9112), and no more of it.

    A door only chooses by it: the worker reads the head with a full parser, and asks again
    whose the request is.
    """
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return Head(False)
    found: dict[bytes, bytes] = {}
    lines = data[:end].split(b"\r\n")
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or line[:1] in (b" ", b"\t"):
            return Head(True, False)  # folded, or no field
        name = name.lower()
        if name in WATCHED:
            if name in found:
                return Head(True, False)
            found[name] = value.strip(b" \t")
    host, tenant, key = (found.get(name, b"").decode("latin-1") for name in WATCHED)
    return Head(True, True, host, tenant, key)


class Lobby:
    """Connections that have not said whose they are; `T` names one."""

    def __init__(self, most: int = 1024, of_one: int = 256, patience_ms: int = PATIENCE_MS) -> None:
        self.most = most
        self.of_one = of_one
        self.patience_ms = patience_ms
        self._since: OrderedDict[Hashable, tuple[int, str]] = OrderedDict()
        self._from: dict[str, OrderedDict[Hashable, None]] = {}

    def __len__(self) -> int:
        return len(self._since)

    def enter(self, who: Hashable, address: str, now_ms: int) -> Hashable | None:
        """Take one in; returns the one that has to go for it, itself perhaps."""
        mine = self._from.setdefault(address, OrderedDict())
        self._since[who] = (now_ms, address)
        mine[who] = None
        if len(mine) > self.of_one:
            return who
        if len(self._since) > self.most:
            crowd = max(self._from.values(), key=len)
            return next(reversed(crowd))
        return None

    def leave(self, who: Hashable) -> None:
        entry = self._since.pop(who, None)
        if entry is not None:
            mine = self._from[entry[1]]
            del mine[who]
            if not mine:
                del self._from[entry[1]]

    def late(self, now_ms: int) -> list[Hashable]:
        """Those whose patience is over, the oldest first."""
        found: list[Hashable] = []
        for who, (since, _) in self._since.items():
            if now_ms - since <= self.patience_ms:
                break
            found.append(who)
        return found
