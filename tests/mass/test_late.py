"""What is late by its client's first try takes no place that others need.

One node sees no harm in serving it; many that do serve their neighbours' requests late.
"""

from __future__ import annotations

import pytest

from flinthatch import Balancer, Outcome, Settings
from flinthatch.balancer import OVERLOAD_HOLD_NS
from tests.fakes import MS, PURE, SECOND, RecordingHost, build_balancer

FIRST = 1000 * MS  # what first tries of this class have left


def settled(nodes: int = 40) -> tuple[Balancer, RecordingHost]:
    """One of so many nodes; it has seen what first tries have left, its servers quick."""
    node, host = build_balancer(Settings(classes=(PURE,), balancers=nodes, max_attempts=4))
    assert node.total_slots >= 4
    for i in range(40):
        node.on_request(i * MS, i, 0, FIRST)
        node.on_outcome(i * MS, i, 0, Outcome.OK, 10 * MS, True)
    host.calls.clear()
    return node, host


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.TIMEOUT])
def test_while_servers_are_short_a_late_try_is_refused_at_once(outcome: Outcome) -> None:
    node, host = settled()
    node.on_request(SECOND, 100, 0, FIRST)
    node.on_outcome(SECOND, 100, 0, outcome, 10 * MS, True)
    host.calls.clear()
    node.on_request(SECOND + MS, 101, 0, FIRST - 300 * MS)  # its aim of 200 ms has passed
    assert host.calls == [("refuse", 101)] and 101 not in node.requests
    node.on_request(SECOND + MS, 102, 0, FIRST)
    assert [c[1] for c in host.calls_named("send")] == [102], "first tries go on"


@pytest.mark.parametrize(("nodes", "after"), [(40, OVERLOAD_HOLD_NS), (1, MS)])
def test_a_late_try_is_served_where_servers_have_room_or_its_node_sees_who_waits(
    nodes: int, after: int
) -> None:
    node, host = settled(nodes)
    node.on_request(SECOND, 100, 0, FIRST)
    node.on_outcome(SECOND, 100, 0, Outcome.FULL, 10 * MS, True)
    host.calls.clear()
    node.on_request(SECOND + after, 101, 0, FIRST - 300 * MS)
    assert [c[1] for c in host.calls_named("send")] == [101]
