"""What the pool learns about idle connections, without sockets where none are needed."""

from __future__ import annotations

import select
import time
from pathlib import Path
from random import Random
from typing import Any

import pytest

from windrelay.upstream import (
    LEARN_PAUSE_NS,
    LEAST_LIMIT_NS,
    MS,
    SETTLED_NS,
    AdaptiveIdleTimeout,
    HttpConnectionPool,
)

from .harness import HANG_TIMEOUT_S, accept, answer, listen, node, request, roster, target

SECOND = 1_000_000_000


def test_one_backend_alone_teaches_nothing() -> None:
    limit = AdaptiveIdleTimeout(58 * SECOND)
    limit.broke(SECOND, 1, 200 * MS)
    limit.broke(SECOND, 1, 100 * MS)
    limit.broke(20 * SECOND, 2, 100 * MS)  # the other's breaks are long past
    assert limit.timeout_ns == 58 * SECOND


def test_breaks_of_any_age_teach_nothing() -> None:
    """A network that breaks connections at random is no reason to dial for each request."""
    limit = AdaptiveIdleTimeout(58 * SECOND)
    for i in range(60):
        limit.held(SECOND, 10 * MS * i)
        if i % 3 == 0:
            limit.broke(SECOND, i, 10 * MS * (i // 2))
    assert limit.timeout_ns == 58 * SECOND


@pytest.mark.parametrize("seed", range(5))
def test_breaks_by_chance_teach_nothing(seed: int) -> None:
    """One use in twenty breaks, whatever its rest: the two longest of the last do at times."""
    limit = AdaptiveIdleTimeout(58 * SECOND)
    rng = Random(seed)
    for i in range(20_000):
        rest = int(rng.expovariate(1 / 20.0) * MS) + 1
        if rng.random() < 0.05:
            limit.broke(i * 4 * MS, rng.randrange(10), rest)
        else:
            limit.held(i * 4 * MS, rest)
    assert limit.timeout_ns == 58 * SECOND


def test_a_limit_is_learnt_through_breaks_by_chance() -> None:
    """Whatever rests for 100 ms breaks, and one use in twenty of the others."""
    limit = AdaptiveIdleTimeout(58 * SECOND)
    rng = Random(1)
    for i in range(1000):
        rest = int(rng.expovariate(1 / 80.0) * MS) + 1
        if rest > limit.timeout_ns:
            continue  # is not used
        if rest > 100 * MS or rng.random() < 0.05:
            limit.broke(i * 20 * MS, rng.randrange(10), rest)
        else:
            limit.held(i * 20 * MS, rest)
    assert 60 * MS < limit.timeout_ns < 150 * MS


def test_no_limit_is_learnt_below_what_a_rest_can_mean() -> None:
    """Closed right behind an answer: that is no matter of how long it rested."""
    limit = AdaptiveIdleTimeout(58 * SECOND)
    for i in range(40):
        limit.broke(i * MS, i % 5, 2 * MS)
    assert limit.timeout_ns == LEAST_LIMIT_NS


def test_two_backends_teach_a_limit_that_is_forgotten_slowly() -> None:
    limit = AdaptiveIdleTimeout(58 * SECOND)
    limit.broke(SECOND, 1, 200 * MS)
    limit.broke(SECOND, 2, 100 * MS)
    assert limit.timeout_ns == 70 * MS
    limit.sweep(SECOND + LEARN_PAUSE_NS - 1)
    assert limit.timeout_ns == 70 * MS
    now = SECOND + LEARN_PAUSE_NS
    for _ in range(30):
        limit.sweep(now)
        now += 60 * SECOND
    assert limit.timeout_ns == 58 * SECOND


def test_idle_connections_that_break_under_a_request_are_no_longer_used(tmp_path: Path) -> None:
    """Backends that forget idle connections cost a request each, once, and no more."""
    with listen() as one, listen() as two:
        known = roster(target("s-1", one.getsockname()[1]), target("s-2", two.getsockname()[1]))
        with node(tmp_path, known) as n:
            clients = [n.connect(), n.connect()]
            for i, client in enumerate(clients):  # together, so that each backend gets one
                client.send(request("/credit/1", b"x", rid=f"a{i}"))
            peers = [accept(one), accept(two)]
            idle_from = time.monotonic()
            for peer in peers:
                peer.message()
                peer.send(answer(b"1"))
            for client in clients:
                client.message()
            time.sleep(0.1)  # the longer, the surer: nothing else hangs on it
            for i, client in enumerate(clients):
                client.send(request("/credit/1", b"x", rid=f"b{i}"))
            for peer in peers:
                peer.message()
                peer.reset()
            for client in clients:
                assert client.message()[0].split(" ")[1] == "502"
            learnt = time.monotonic() - idle_from
            client = clients[0]
            client.send(request("/credit/1", b"x", rid="c"))
            server = select.select([one, two], [], [], HANG_TIMEOUT_S)[0][0]
            peer = accept(server)
            peer.message()
            peer.send(answer(b"2"))
            client.message()
            time.sleep(2 * learnt)
            client.send(request("/credit/1", b"x", rid="d"))
            fresh = accept(select.select([one, two], [], [], HANG_TIMEOUT_S)[0][0])
            assert fresh.message()[1]["x-request-id"] == "d"
            fresh.send(answer(b"3"))
            assert client.message()[2] == b"3"
            assert peer.read_to_end() == b""


class Idle:
    """As much of an idle connection as the pool looks at."""

    def __init__(self, since: int) -> None:
        self.idle_since = since


def test_a_connection_fresh_from_its_answer_is_spared_where_another_has_rested() -> None:
    """Its backend may be closing it: the end comes just behind the answer."""
    pool: Any = HttpConnectionPool.__new__(HttpConnectionPool)
    old, rested, fresh = Idle(1), Idle(SECOND - SETTLED_NS), Idle(SECOND - 1)
    pool.idle = {7: [old, rested, fresh]}
    pool.by_age = {old: None, rested: None, fresh: None}
    assert [pool.pop(7, SECOND) for _ in range(4)] == [rested, old, fresh, None]
    assert not pool.idle and not pool.by_age
