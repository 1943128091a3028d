"""The decisions of slow start: capacity, pause, and who holds the slots."""

from __future__ import annotations

import pytest

from flinthatch import Balancer, Listing, Settings, State, Update
from flinthatch.interface import MS, SECOND, Effect, RequestClass, Scope
from flinthatch.slow_start import NodeTraffic, estimate_capacity, pause_between_attempts

from .fakes import RecordingHost

CLASS = RequestClass("balance", 200 * MS, SECOND)
NODE_COUNT = 24
COLD = 1_000_003


def slot_holders(listed_ids: list[int], now: int) -> set[int]:
    """The nodes that hold a slot at the cold backend when the list names these others."""
    holders = set()
    for node in range(NODE_COUNT):
        settings = Settings(classes=(CLASS,), node=node, balancers=NODE_COUNT)
        balancer = Balancer(settings, node, RecordingHost())
        balancer.start(now)
        rows = [Listing(i, State.READY) for i in listed_ids]
        rows.append(Listing(COLD, State.READY, started_at=now - SECOND))
        balancer.on_backend_list(now, Update.FULL, rows)
        if balancer.backends[COLD].slot_limit:
            holders.add(node)
    return holders


def test_a_change_of_the_list_hands_a_backend_in_slow_start_to_no_other_nodes() -> None:
    now = 100 * SECOND
    before = slot_holders(list(range(12)), now)
    assert 0 < len(before) < NODE_COUNT
    assert slot_holders(list(range(3, 15)), now) == before


@pytest.mark.parametrize("share", [1.0, 5.0, 24.0])
def test_a_node_of_much_traffic_expects_no_more_of_a_backend_than_one_can_do(share: float) -> None:
    backend_rate = 20.0  # by the latency, and what all nodes together send to each
    send_rate = backend_rate * 10 * share / NODE_COUNT
    traffic = NodeTraffic(send_rate, send_rate, 10, 10, SECOND / backend_rate)
    assert estimate_capacity(traffic, NODE_COUNT) <= backend_rate * 1.001


def test_the_pause_of_a_node_among_many_may_be_longer_than_the_overload_window() -> None:
    settings = Settings(classes=(CLASS,), overload_window=SECOND, slow_start=10 * SECOND)
    pause = pause_between_attempts(settings, 9 * SECOND, 1.0, 40.0)
    assert pause > settings.overload_window


def test_nodes_that_hear_of_a_start_at_once_do_not_all_begin_at_once() -> None:
    now = 100 * SECOND
    pauses = set()
    for node in range(8):
        settings = Settings(classes=(CLASS,), node=node, balancers=8)
        balancer = Balancer(settings, node, RecordingHost())
        balancer.start(now)
        row = Listing(COLD, State.READY, started_at=now - SECOND)
        balancer.on_backend_list(now, Update.FULL, [row])
        pauses.add(balancer.backends[COLD].paused_until)
    assert len(pauses) == 8 and max(pauses) - min(pauses) > 100 * MS


def test_a_keyed_retry_waits_for_the_pause_of_a_backend_in_slow_start() -> None:
    now = 100 * SECOND
    keyed = RequestClass(
        "renew", 200 * MS, SECOND, Effect.TOKEN, Scope.CELL, retry_window=5 * SECOND
    )
    host = RecordingHost()
    balancer = Balancer(Settings(classes=(keyed,), balancers=8, max_attempts=4), 1, host)
    balancer.start(now)
    other_cell = Listing(3, State.READY, zone=1, cell=9)
    balancer.on_backend_list(now, Update.FULL, [Listing(1, State.READY, cell=7), other_cell])
    balancer.on_request(now, 1, 0, SECOND)
    cold = Listing(2, State.READY, cell=7, started_at=now - MS)
    gone = Listing(1, State.DRAINING, cell=7)
    balancer.on_backend_list(now, Update.DELTA, [cold, gone])
    balancer.backends[2].paused_until = now + 500 * MS
    balancer.concurrency_limit = 64.0
    balancer.update_slot_limits()
    balancer.on_outcome(now + MS, 1, 0, 6, MS, False)
    assert [c[2] for c in host.calls_named("send")] == [1]
