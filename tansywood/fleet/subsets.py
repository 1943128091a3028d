"""Which instance uses which servers: rendezvous and deterministic subsets. Pure.

The service uses `assigned_servers`. `benchmarks/fleet` compares all of them by balance, by servers
moved for each join and leave, and by connections opened.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random


def score(instance: str, server: str, weight: float = 1.0) -> float:
    """Weighted rendezvous score: -w / ln(h), h uniform in (0, 1) (Schindelhauer, Schomaker 2005).

    The probability that a server has the highest score for an instance is proportional to its
    weight.
    """
    digest = int.from_bytes(
        blake2b(f"{instance}\0{server}".encode(), digest_size=8).digest(), "big"
    )
    return -weight / math.log((digest + 1) / (2**64 + 1))


def rendezvous(
    instance: str,
    servers: Mapping[str, float],
    size: int,
    zones: Mapping[str, str] | None = None,
    zone: str = "",
) -> list[str]:
    """The `size` servers that score highest for this instance, those of its own zone first.

    The subset depends only on the instance's name and the list, so members that join or leave do
    not change the subsets of others. `servers` are weights by name. ValueError where the size is
    below 1.
    """
    if size < 1:
        raise ValueError("a subset has at least one server")
    server_zones = zones or {}
    return sorted(
        servers,
        key=lambda s: (server_zones.get(s, zone) != zone, -score(instance, s, servers[s]), s),
    )[:size]


def deterministic(
    instance: str, members: Sequence[str], servers: Sequence[str], size: int
) -> list[str]:
    """Deterministic subsetting ("Site Reliability Engineering", chapter 20).

    The servers are shuffled once per round, and each round is cut into subsets that are given to
    members in order. Servers are used evenly to within one, but a member that joins changes the
    subsets of all members sorted behind it. ValueError where the size is below 1.
    """
    if size < 1:
        raise ValueError("a subset has at least one server")
    if not servers:
        return []
    size = min(size, len(servers))
    count = len(servers) // size
    index = sorted(members).index(instance)
    shuffled = sorted(servers)
    Random(index // count).shuffle(shuffled)
    position = index % count
    return shuffled[position * size : (position + 1) * size]


def assigned_servers(
    instance: str, members: Sequence[str], servers: Mapping[str, float], places: int
) -> list[str]:
    """The servers that choose this instance; every server chooses `places` instances.

    A server chooses the instances that score highest for it. So every server is used, by no more
    instances than it has places, and the n-th instance to join takes 1/n from the others. An
    instance that no server chooses gets the server that scores highest for it and queues there.
    `places` 0 means that no limit is known: every instance uses all servers.
    """
    if not servers:
        return []
    if places <= 0 or len(members) <= places:
        return sorted(servers)
    assigned = [
        s
        for s in sorted(servers)
        if instance in sorted(members, key=lambda m: (-score(m, s, servers[s]), m))[:places]
    ]
    return assigned or rendezvous(instance, servers, 1)


def with_overlap(
    old: Sequence[str], new: Sequence[str], since: int, now: int, overlap_ns: int
) -> list[str]:
    """The servers in use `now` after a change at `since`.

    For `overlap_ns` both subsets are in use, the new one first, so that connections to new servers
    are opened before those to the old ones are closed.
    """
    if now - since >= overlap_ns:
        return list(new)
    return [*new, *(s for s in old if s not in new)]


@dataclass(slots=True)
class _Subset:
    """The subset of one tenant: its inputs, and the subset before its last change."""

    inputs: object
    new: list[str]
    old: list[str]
    since: int


class Subsets:
    """The servers that one instance uses, by tenant; old and new ones during a change."""

    def __init__(self, instance: str, overlap_ns: int) -> None:
        """`overlap_ns`: how long the old subset stays in use after a change."""
        self._instance = instance
        self._overlap_ns = overlap_ns
        self._by_tenant: dict[str, _Subset] = {}

    def servers_in_use(
        self, now: int, tenant: str, members: Sequence[str], servers: Sequence[str], places: int
    ) -> list[str]:
        """The servers of a tenant that this instance uses now; `places` is a server's limit."""
        inputs = (tuple(members), tuple(servers), places)
        known = self._by_tenant.get(tenant)
        if known is None or known.inputs != inputs:
            new = assigned_servers(self._instance, members, dict.fromkeys(servers, 1.0), places)
            if known is None:
                known = self._by_tenant[tenant] = _Subset(inputs, new, new, now - self._overlap_ns)
            elif known.new != new:
                known.old, known.new, known.since = known.new, new, now
            known.inputs = inputs
        return with_overlap(known.old, known.new, known.since, now, self._overlap_ns)
