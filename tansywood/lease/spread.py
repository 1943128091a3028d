"""Distribution of leases over the members: ranking, and who is granted a lease that is free. Pure.

Decisions here only affect which instance requests a lease and which hands one over. The replicated
log keeps a lease from having two holders, whatever is decided here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from heapq import nsmallest

from tansywood.fleet.subsets import score
from tansywood.fleet.turns import rank_members

CANDIDATE_COUNT = 3  # instances that request one lease: the holder and two that may follow it


class Ranking:
    """The members that rank first for every lease, kept up to date as members join and leave.

    A member that joins costs one score for each lease; a member that leaves costs a new ranking of
    the leases that it ranked first for. Ranking 5,000 leases over 200 members anew takes a second.
    """

    def __init__(self) -> None:
        self.members: set[str] = set()
        self._candidates: dict[str, list[tuple[float, str]]] = {}

    def update(self, names: Iterable[str], members: Iterable[str]) -> None:
        """Set the leases and the members to rank."""
        wanted, current = set(names), set(members)
        for name in [n for n in self._candidates if n not in wanted]:
            del self._candidates[name]
        left, joined = self.members - current, current - self.members
        self.members = current
        for name, row in list(self._candidates.items()):
            if any(member in left for _, member in row):
                del self._candidates[name]
                continue
            for member in joined:
                row.append((-score(member, name), member))
            if joined:
                row.sort()
                del row[CANDIDATE_COUNT:]
        for name in wanted - self._candidates.keys():
            self._candidates[name] = nsmallest(
                CANDIDATE_COUNT, ((-score(m, name), m) for m in current)
            )

    def names_ranked_first(self, member: str) -> set[str]:
        """The leases for which this member is one of the CANDIDATE_COUNT that rank first."""
        return {name for name, row in self._candidates.items() if any(m == member for _, m in row)}


def misplaced(names: Iterable[str], members: Iterable[str], me: str) -> dict[str, str]:
    """Of the held leases, those for which another member ranks first, with that member."""
    row = list(members)
    if not row:
        return {}
    found = {name: rank_members(name, row)[0] for name in names}
    return {name: first for name, first in found.items() if first != me}


class Waitlist:
    """On the leader, the holders that requested a lease which another holder has."""

    def __init__(self, timeout_ns: int) -> None:
        """`timeout_ns` is the time after which a request is dropped from the waitlist."""
        self.timeout_ns = timeout_ns
        self.rows: dict[str, dict[str, int]] = {}  # by lease and holder: time of the last request

    def record(self, now: int, holder: str, names: Iterable[str]) -> None:
        """Record a holder's request for leases that others have."""
        for name in names:
            self.rows.setdefault(name, {})[holder] = now

    def assign(
        self, now: int, freed: Iterable[str], held: Mapping[str, int]
    ) -> list[tuple[str, str]]:
        """Choose the next holder of each lease that has become free: of the holders with a request
        that is not too old, the one with the fewest leases, counting those assigned in this call.
        A lease that nobody requested gets no holder."""
        counts = dict(held)
        assigned = []
        for name in freed:
            row = self.rows.get(name, {})
            recent = [h for h, at in row.items() if now - at <= self.timeout_ns]
            if not recent:
                continue
            holder = min(recent, key=lambda h: (counts.get(h, 0), -score(h, name), h))
            counts[holder] = counts.get(holder, 0) + 1
            assigned.append((name, holder))
            del row[holder]
        return assigned

    def sweep(self, now: int) -> None:
        """Drop the requests that are older than the timeout."""
        for name, row in list(self.rows.items()):
            self.rows[name] = {h: at for h, at in row.items() if now - at <= self.timeout_ns}
            if not self.rows[name]:
                del self.rows[name]
