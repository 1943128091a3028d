"""Who should have what: preference, spread, and whose turn it is when something is free. Pure.

Soft knowledge: it only says who asks and who hands over. That nobody holds what another has is the
log's business, whatever is decided here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import nsmallest

from tansywood.fleet.subsets import score
from tansywood.fleet.turns import rank_members

NEAR = 3  # instances that ask for one lease: a holder and two that would follow it


class Ranking:
    """The first few members of every lease, kept as members come and go.

    One that joins costs a score for each lease; one that leaves costs a look at the leases that it
    was among the first for. With 5,000 leases and 200 members sorting all anew takes a second.
    """

    def __init__(self) -> None:
        self.members: set[str] = set()
        self._near: dict[str, list[tuple[float, str]]] = {}

    def update(self, names: Iterable[str], members: Iterable[str]) -> None:
        """Rank these names over these members from now on."""
        wanted, there = set(names), set(members)
        for name in [n for n in self._near if n not in wanted]:
            del self._near[name]
        left, joined = self.members - there, there - self.members
        self.members = there
        for name, row in list(self._near.items()):
            if any(member in left for _, member in row):
                del self._near[name]
                continue
            for member in joined:
                row.append((-score(member, name), member))
            if joined:
                row.sort()
                del row[NEAR:]
        for name in wanted - self._near.keys():
            self._near[name] = nsmallest(NEAR, ((-score(m, name), m) for m in there))

    def near(self, member: str) -> set[str]:
        """The leases that this member is among the first few for."""
        return {name for name, row in self._near.items() if any(m == member for _, m in row)}


def misplaced(names: Iterable[str], members: Iterable[str], me: str) -> dict[str, str]:
    """Of what this one holds, what another is the first for, and who."""
    row = list(members)
    if not row:
        return {}
    found = {name: rank_members(name, row)[0] for name in names}
    return {name: first for name, first in found.items() if first != me}


class Waitlist:
    """Who asked for what another has, at the voter that leads."""

    def __init__(self, patience: int) -> None:
        """`patience`: nanoseconds after which an ask is forgotten."""
        self.patience = patience
        self.rows: dict[str, dict[str, int]] = {}  # by name: when each holder asked last

    def heard(self, now: int, holder: str, names: Iterable[str]) -> None:
        """A holder asked for these names, which others have."""
        for name in names:
            self.rows.setdefault(name, {})[holder] = now

    def assign(
        self, now: int, freed: Iterable[str], held: Mapping[str, int]
    ) -> list[tuple[str, str]]:
        """Who gets each of what has become free: of those that asked lately whoever has least,
        what it has just got included; nobody where nobody asked."""
        counts = dict(held)
        made = []
        for name in freed:
            row = self.rows.get(name, {})
            lately = [h for h, at in row.items() if now - at <= self.patience]
            if not lately:
                continue
            holder = min(lately, key=lambda h: (counts.get(h, 0), -score(h, name), h))
            counts[holder] = counts.get(holder, 0) + 1
            made.append((name, holder))
            del row[holder]
        return made

    def sweep(self, now: int) -> None:
        """Forget what was asked for too long ago."""
        for name, row in list(self.rows.items()):
            self.rows[name] = {h: at for h, at in row.items() if now - at <= self.patience}
            if not self.rows[name]:
                del self.rows[name]
