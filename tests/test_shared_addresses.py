"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import time
from dataclasses import replace
from pathlib import Path

import pytest

from flinthatch import Balancer, Listing, Outcome, Scope, Settings, State, Update
from flinthatch.shared_addresses import find_displaced
from windrelay.config import load
from windrelay.discovery import BackendList, backend_id

from .fakes import KEYED, MS, SECOND, RecordingHost, build_balancer
from .harness import config, roster, target

OLD, NEW = backend_id("old"), backend_id("new")


def backend_list(tmp_path: Path) -> BackendList:
    return BackendList(load(config(tmp_path, roster(), 1)))


def apply(lists: BackendList, raw: dict[str, object]) -> set[int]:
    """Apply an answer of the registry; returns the backends that are ready then."""
    update, rows, endpoints, _ = lists.parse(raw)
    rows = lists.without_displaced(rows, endpoints, update)
    lists.apply(int(str(raw["rev"])), update, rows, endpoints)
    return {row.backend for row in lists.rows.values() if row.state == State.READY}


@pytest.mark.parametrize("order", [("old", "new"), ("new", "old")])
def test_list_that_still_names_the_process_before_at_an_address_is_used_for_the_new_one(
    tmp_path: Path, order: tuple[str, str]
) -> None:
    starts = {"old": 0, "new": int(time.time() * 1000)}
    raw = roster(*(target(uid, 7, boot_ms=starts[uid]) for uid in order))
    assert apply(backend_list(tmp_path), raw) == {NEW}


def test_late_change_about_the_process_before_does_not_bring_it_back(tmp_path: Path) -> None:
    lists = backend_list(tmp_path)
    now_ms = int(time.time() * 1000)
    assert apply(lists, roster(target("old", 7))) == {OLD}
    assert apply(lists, roster(target("new", 7, boot_ms=now_ms), rev=2, whole=False)) == {NEW}
    assert apply(lists, roster(target("old", 7), rev=3, whole=False)) == {NEW}
    assert apply(lists, roster(target("old", 8), rev=4, whole=False)) == {OLD, NEW}


def test_backends_whose_starts_do_not_tell_stay_where_one_message_names_both() -> None:
    rows = [Listing(1, State.READY), Listing(2, State.READY)]
    addresses = dict.fromkeys((1, 2, 3), "a")
    assert find_displaced(rows, [], addresses) == set()
    assert find_displaced(rows, [Listing(3, State.READY)], addresses) == {3}
    assert find_displaced([Listing(1, State.DRAINING)], rows[1:], addresses) == set()


def keyed_balancer(count: int) -> tuple[Balancer, RecordingHost, int]:
    """A keyed request whose first attempt has been sent; returns its backend too."""
    keyed = replace(KEYED, scope=Scope.CELL, retry_window=SECOND)
    balancer, host = build_balancer(Settings(classes=(keyed,), max_attempts=4), count)
    balancer.on_request(SECOND, 1, 0, SECOND)
    return balancer, host, balancer.requests[1].attempts[0].backend.id


def test_keyed_retry_does_not_go_to_an_address_where_the_process_may_be_another() -> None:
    balancer, host, _ = keyed_balancer(1)
    balancer.on_outcome(SECOND + 20 * MS, 1, 0, Outcome.RESET, 20 * MS, False)
    assert len(host.calls_named("send")) == 1
    assert host.calls_named("fail") == [("fail", 1)]


def test_keyed_retry_goes_to_another_backend_of_the_group_after_a_reset() -> None:
    balancer, host, first = keyed_balancer(3)
    balancer.on_outcome(SECOND + 20 * MS, 1, 0, Outcome.RESET, 20 * MS, False)
    assert [call[2] == first for call in host.calls_named("send")] == [True, False]


def test_keyed_retry_does_not_go_to_a_backend_that_has_started_since() -> None:
    balancer, host, first = keyed_balancer(1)
    row = Listing(first, State.READY, started_at=SECOND + 5 * MS)
    balancer.on_backend_list(SECOND + 10 * MS, Update.DELTA, [row])
    balancer.on_outcome(SECOND + 20 * MS, 1, 0, Outcome.ERROR, 20 * MS, False)
    assert len(host.calls_named("send")) == 1
    assert host.calls_named("fail") == [("fail", 1)]
