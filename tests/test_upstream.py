"""The idle timeout that the connection pool learns, and its choice of an idle connection."""

from __future__ import annotations

import select
import time
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch.connection_reuse import (
    GROWTH_DELAY_NS,
    MIN_DISTINCT_RESPONSE_COUNT,
    MIN_LEARNED_TIMEOUT_NS,
    MIN_QUIET_TIME_NS,
    MS,
    SHORT_QUIET_TIME_NS,
    AdaptiveIdleTimeout,
    QuietTime,
    ResponseHistory,
)
from windrelay.upstream import HttpConnectionPool

from .harness import HANG_TIMEOUT_S, accept, answer, listen, node, request, roster, target

SECOND = 1_000_000_000


def test_breaks_of_a_single_backend_do_not_shorten_the_idle_timeout() -> None:
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    idle_timeout.record_break(SECOND, 1, 200 * MS)
    idle_timeout.record_break(SECOND, 1, 100 * MS)
    idle_timeout.record_break(20 * SECOND, 2, 100 * MS)  # other breaks are out of the window
    assert idle_timeout.timeout_ns == 58 * SECOND


def test_breaks_after_any_idle_time_do_not_shorten_the_idle_timeout() -> None:
    """A network that breaks connections at random must not cause a dial for every request."""
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    for i in range(60):
        idle_timeout.record_success(SECOND, 10 * MS * i)
        if i % 3 == 0:
            idle_timeout.record_break(SECOND, i, 10 * MS * (i // 2))
    assert idle_timeout.timeout_ns == 58 * SECOND


@pytest.mark.parametrize("seed", range(5))
def test_rare_random_breaks_do_not_shorten_the_idle_timeout(seed: int) -> None:
    """One reuse in twenty breaks by chance, which at times hits the two longest idle times."""
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    rng = Random(seed)
    for i in range(20_000):
        idle_ns = int(rng.expovariate(1 / 20.0) * MS) + 1
        if rng.random() < 0.05:
            idle_timeout.record_break(i * 4 * MS, rng.randrange(10), idle_ns)
        else:
            idle_timeout.record_success(i * 4 * MS, idle_ns)
    assert idle_timeout.timeout_ns == 58 * SECOND


def test_the_idle_timeout_is_learned_despite_random_breaks() -> None:
    """Connections idle for more than 100 ms break, and one reuse in twenty of the others."""
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    rng = Random(1)
    for i in range(1000):
        idle_ns = int(rng.expovariate(1 / 80.0) * MS) + 1
        if idle_ns > idle_timeout.timeout_ns:
            continue  # the pool would not reuse it
        if idle_ns > 100 * MS or rng.random() < 0.05:
            idle_timeout.record_break(i * 20 * MS, rng.randrange(10), idle_ns)
        else:
            idle_timeout.record_success(i * 20 * MS, idle_ns)
    assert 60 * MS < idle_timeout.timeout_ns < 150 * MS


def test_closes_right_after_a_response_do_not_lower_the_timeout_below_its_minimum() -> None:
    """A backend that closes right behind each response does not do so because of idle time."""
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    for i in range(40):
        idle_timeout.record_break(i * MS, i % 5, 2 * MS)
    assert idle_timeout.timeout_ns == MIN_LEARNED_TIMEOUT_NS


def test_an_idle_timeout_learned_from_two_backends_grows_back_slowly() -> None:
    idle_timeout = AdaptiveIdleTimeout(58 * SECOND)
    idle_timeout.record_break(SECOND, 1, 200 * MS)
    idle_timeout.record_break(SECOND, 2, 100 * MS)
    assert idle_timeout.timeout_ns == 70 * MS
    idle_timeout.grow_if_due(SECOND + GROWTH_DELAY_NS - 1)
    assert idle_timeout.timeout_ns == 70 * MS
    now = SECOND + GROWTH_DELAY_NS
    for _ in range(30):
        idle_timeout.grow_if_due(now)
        now += 60 * SECOND
    assert idle_timeout.timeout_ns == 58 * SECOND


def test_connections_idle_past_the_learned_timeout_are_not_reused(tmp_path: Path) -> None:
    """Two backends that drop idle connections fail one request each, and none after that."""
    with listen() as first, listen() as second:
        initial_list = roster(
            target("s-1", first.getsockname()[1]), target("s-2", second.getsockname()[1])
        )
        with node(tmp_path, initial_list) as running:
            clients = [running.connect(), running.connect()]
            for i, client in enumerate(clients):  # at the same time, so that each backend gets one
                client.send(request("/credit/1", b"x", rid=f"a{i}"))
            peers = [accept(first), accept(second)]
            idle_since_s = time.monotonic()
            for peer in peers:
                peer.message()
                peer.send(answer(b"1"))
            for client in clients:
                client.message()
            time.sleep(0.1)  # a longer wait makes the test more reliable and changes nothing else
            for i, client in enumerate(clients):
                client.send(request("/credit/1", b"x", rid=f"b{i}"))
            for peer in peers:
                peer.message()
                peer.reset()
            for client in clients:
                assert client.message()[0].split(" ")[1] == "502"
            learned_s = time.monotonic() - idle_since_s
            client = clients[0]
            client.send(request("/credit/1", b"x", rid="c"))
            ready_listener = select.select([first, second], [], [], HANG_TIMEOUT_S)[0][0]
            peer = accept(ready_listener)
            peer.message()
            peer.send(answer(b"2"))
            client.message()
            time.sleep(2 * learned_s)
            client.send(request("/credit/1", b"x", rid="d"))
            new_peer = accept(select.select([first, second], [], [], HANG_TIMEOUT_S)[0][0])
            assert new_peer.message()[1]["x-request-id"] == "d"
            new_peer.send(answer(b"3"))
            assert client.message()[2] == b"3"
            assert peer.read_to_end() == b""


class IdleConnection:
    """The part of an idle connection that the pool reads."""

    backend = 7
    is_recognisable = False

    def __init__(self, since: int) -> None:
        self.idle_since = since


def test_a_connection_fresh_from_its_response_is_taken_after_settled_ones() -> None:
    pool: Any = HttpConnectionPool.__new__(HttpConnectionPool)
    pool.quiet_time, pool.response_history = QuietTime(), ResponseHistory()
    pool.idle_timeout = AdaptiveIdleTimeout(SECOND)
    old, settled, fresh, freshest = (
        IdleConnection(1),
        IdleConnection(SECOND - MIN_QUIET_TIME_NS),
        IdleConnection(SECOND - MIN_QUIET_TIME_NS + 1),
        IdleConnection(SECOND - 1),
    )
    pool.idle_by_backend = {7: [old, settled, fresh, freshest]}
    pool.idle_by_age = dict.fromkeys([old, settled, fresh, freshest])
    taken = [pool.take_idle(7, SECOND) for _ in range(5)]
    assert taken == [settled, old, fresh, freshest, None]
    assert not pool.idle_by_backend and not pool.idle_by_age


def test_a_connection_rests_less_where_a_second_copy_would_be_recognised() -> None:
    pool: Any = HttpConnectionPool.__new__(HttpConnectionPool)
    pool.quiet_time, pool.response_history = QuietTime(), ResponseHistory()
    pool.idle_timeout = AdaptiveIdleTimeout(SECOND)
    resting, ready = (
        IdleConnection(SECOND - MIN_QUIET_TIME_NS + 1),
        IdleConnection(SECOND - SHORT_QUIET_TIME_NS),
    )
    ready.is_recognisable = True
    for checksum in range(MIN_DISTINCT_RESPONSE_COUNT):
        pool.response_history.record(checksum)
    pool.idle_by_backend = {7: [resting, ready]}
    pool.idle_by_age = dict.fromkeys([resting, ready])
    assert [pool.take_idle(7, SECOND) for _ in range(3)] == [ready, resting, None]


def test_no_connection_is_reused_where_none_survives_the_quiet_time() -> None:
    pool: Any = HttpConnectionPool.__new__(HttpConnectionPool)
    pool.quiet_time, pool.response_history = QuietTime(), ResponseHistory()
    pool.idle_timeout = AdaptiveIdleTimeout(MIN_QUIET_TIME_NS - 1)
    fresh = IdleConnection(SECOND - 1)
    pool.idle_by_backend, pool.idle_by_age = {7: [fresh]}, {fresh: None}
    assert pool.take_idle(7, SECOND) is None
