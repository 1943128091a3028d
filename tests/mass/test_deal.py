"""No node goes without slots, and no server without a node, however many there are of each."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from flinthatch import Balancer, Listing, Settings, State, Update
from flinthatch.balancer import MIN_SLOTS_PER_NODE
from standins.mass.day import draw
from tests.fakes import RecordingHost

SETTINGS = draw("calm", 1, 20, 12).settings


def dealt(settings: Settings, servers: list[int]) -> dict[int, int]:
    """A node's slots by server; servers are numbered, and `servers` holds their zones."""
    node = Balancer(settings, 1, RecordingHost())
    node.start(0)
    rows = [Listing(7919 * i % 100_003, State.READY, zone) for i, zone in enumerate(servers)]
    node.on_backend_list(0, Update.CACHED, rows)
    return {b.id: b.slot_limit for b in node.backends.values() if b.slot_limit}


@pytest.mark.parametrize("seed", range(12))
def test_every_node_has_slots_near_and_every_server_has_a_node(seed: int) -> None:
    rng = Random(seed)
    zones = rng.randint(1, 5)
    nodes = zones * rng.randint(1, 40)
    per_zone = rng.randint(MIN_SLOTS_PER_NODE, 40)
    servers = [i % zones for i in range(per_zone * zones)]
    near: dict[int, int] = {}
    for n in range(nodes):
        settings = replace(SETTINGS, balancers=nodes, zones=zones, node=n, zone=n % zones)
        slots = dealt(settings, servers)
        ids = {7919 * i % 100_003 for i, zone in enumerate(servers) if zone == n % zones}
        own = {b: cap for b, cap in slots.items() if b in ids}
        # One less where the rounding falls so; far below it a node refuses what it gets.
        assert sum(own.values()) >= MIN_SLOTS_PER_NODE - 1, f"node {n} of {nodes} holds {own}"
        for b, cap in own.items():
            near[b] = near.get(b, 0) + cap
    assert len(near) == len(servers), "a server that no node is dealt stands idle"
    assert max(near.values()) <= 3 * min(near.values()), "the deal is even"


def test_far_servers_are_dealt_to_nodes_of_every_number() -> None:
    """Once the far ones went to the nodes of low numbers alone."""
    nodes, zones = 60, 3
    servers = [i % zones for i in range(30)]
    have = []
    for n in range(nodes):
        settings = replace(SETTINGS, balancers=nodes, zones=zones, node=n, zone=n % zones)
        slots = dealt(settings, servers)
        far = {7919 * i % 100_003 for i, zone in enumerate(servers) if zone != n % zones}
        if far & set(slots):
            have.append(n)
    assert max(have) >= nodes * 3 // 4 and min(have) < nodes // 4
    assert len(have) >= nodes // 3
