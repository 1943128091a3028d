"""Which instance uses which servers: rendezvous and deterministic subsets. Pure.

All are here because they are held against one another by balance, by moves for each join and
leave and by connections opened (`benchmarks/fleet`); the service uses `assigned_servers`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random


def score(instance: str, server: str, weight: float = 1.0) -> float:
    """A pair's rank: -w / ln(h), with h uniform in (0, 1) (Schindelhauer, Schomaker 2005). Of
    servers scored for one instance each is highest in proportion to its weight."""
    raw = int.from_bytes(blake2b(f"{instance}\0{server}".encode(), digest_size=8).digest(), "big")
    return -weight / math.log((raw + 1) / (2**64 + 1))


def rendezvous(
    instance: str,
    servers: Mapping[str, float],
    size: int,
    zones: Mapping[str, str] | None = None,
    zone: str = "",
) -> list[str]:
    """The `size` servers that score highest for this instance, those of its zone first.

    It depends on nothing but the instance's name and the list: members that join or leave move
    nobody else's subset. `servers` are weights by name. ValueError where the size is below 1.
    """
    if size < 1:
        raise ValueError("a subset has at least one server")
    near = zones or {}
    return sorted(
        servers,
        key=lambda s: (near.get(s, zone) != zone, -score(instance, s, servers[s]), s),
    )[:size]


def deterministic(
    instance: str, members: Sequence[str], servers: Sequence[str], size: int
) -> list[str]:
    """Rounds of a shuffled list, each cut into subsets dealt in turn ("Site Reliability
    Engineering", chapter 20): even to within one, but a member that joins shifts all behind it."""
    if size < 1:
        raise ValueError("a subset has at least one server")
    if not servers:
        return []
    size = min(size, len(servers))
    count = len(servers) // size
    index = sorted(members).index(instance)
    row = sorted(servers)
    Random(index // count).shuffle(row)
    at = index % count
    return row[at * size : (at + 1) * size]


def assigned_servers(
    instance: str, members: Sequence[str], servers: Mapping[str, float], places: int
) -> list[str]:
    """The servers that choose this instance: each chooses as many instances as it has places,
    those that score highest for it. So every server is used, by no more than it has places, and
    the n-th instance to join takes a part of 1/n from the others.

    One that no server chooses takes the server that scores highest for it, and waits its turn
    there. `places` 0: no limit is known, and all use all.
    """
    if not servers:
        return []
    if places <= 0 or len(members) <= places:
        return sorted(servers)
    found = [
        s
        for s in sorted(servers)
        if instance in sorted(members, key=lambda m: (-score(m, s, servers[s]), m))[:places]
    ]
    return found or rendezvous(instance, servers, 1)


def overlapped(
    old: Sequence[str], new: Sequence[str], since: int, now: int, span: int
) -> list[str]:
    """While a change goes through, for `span`, both the old subset and the new are in use: the
    new ones' connections are opened before the old ones' are let go of."""
    if now - since >= span:
        return list(new)
    return [*new, *(s for s in old if s not in new)]


@dataclass(slots=True)
class _Subset:
    """Of one tenant: what it was made of, and what it was before its last change."""

    made_of: object
    new: list[str]
    old: list[str]
    since: int


class Subsets:
    """The servers that one instance uses, by tenant; both subsets while a change goes through."""

    def __init__(self, instance: str, span: int) -> None:
        """`span`: how long a change takes, in nanoseconds."""
        self._instance = instance
        self._span = span
        self._rows: dict[str, _Subset] = {}

    def servers_in_use(
        self, now: int, tenant: str, members: Sequence[str], servers: Sequence[str], places: int
    ) -> list[str]:
        """Of this tenant's servers, with so many places at each."""
        made_of = (tuple(members), tuple(servers), places)
        known = self._rows.get(tenant)
        if known is None or known.made_of != made_of:
            new = assigned_servers(self._instance, members, dict.fromkeys(servers, 1.0), places)
            if known is None:
                known = self._rows[tenant] = _Subset(made_of, new, new, now - self._span)
            elif known.new != new:
                known.old, known.new, known.since = known.new, new, now
            known.made_of = made_of
        return overlapped(known.old, known.new, known.since, now, self._span)
