"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from flinthatch import Listing, State
from flinthatch.shared_addresses import find_displaced
from windrelay.config import load
from windrelay.discovery import BackendList, backend_id

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
