"""The shipped leases hold in every state of small sizes; each defence taken out is found out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import pytest

from tansywood.lease.holder import Holder
from tansywood.lease.log import PersistentState
from tansywood.lease.raft import FOLLOWER, LEADER, Raft
from tansywood.lease.service import LeaseService
from tansywood.lease.terms import LeaseTerms
from tansywood.verify.__main__ import LARGE, SIZES
from tansywood.verify.explore import SearchResult, random_walk, search
from tansywood.verify.leases import LeaseModel
from tansywood.verify.world import UNIT, Bounds, World

Patch = pytest.MonkeyPatch
MOST = 60_000


def found(bounds: Bounds, model: type[LeaseModel] = LeaseModel, **over: Any) -> SearchResult[World]:
    return search(model(bounds, **over), MOST)


@pytest.mark.parametrize("size", ["elections", "crash", "renewal", "stale"])
def test_every_state_of_a_size_keeps_the_rules(size: str) -> None:
    _, bounds, known = SIZES[size]
    made = search(LeaseModel(bounds))
    assert made.broken == "", str(made)
    assert made.complete and made.states == known


def test_random_walks_beyond_that_size_keep_them_too() -> None:
    made = random_walk(LeaseModel(LARGE), 1, 25, 120)
    assert made.broken == "", str(made)
    assert made.states > 1500


EXPIRY = Bounds(second=True, asks=(0, 1), elections=0, crashes=0, times=1)
RENEWAL = SIZES["stale"][1]
ELECTIONS = SIZES["elections"][1]
# Of two voters both are a majority: there is less to search, and the fault is the same.
TWO = Bounds(voters=2, asks=(1, 1), elections=0, crashes=0, times=1)
COMMITS = Bounds(asks=(0, 1), elections=1, crashes=0, times=0, held=False)


def test_without_a_durable_vote() -> None:
    class Forgets(LeaseModel):
        def keep(self, old: PersistentState, new: PersistentState) -> PersistentState:
            return PersistentState(new.term, "", new.snapshot, new.entries)

    made = found(ELECTIONS, Forgets)
    assert made.broken == "two lead in term 1"
    assert any("crashes" in line for line in made.run)


def test_without_durable_entries() -> None:
    class Forgets(LeaseModel):
        def keep(self, old: PersistentState, new: PersistentState) -> PersistentState:
            return PersistentState(new.term, new.voted_for, new.snapshot, old.entries)

    made = found(Bounds(asks=(0, 1), elections=1, crashes=1, times=0, held=False), Forgets)
    assert "committed" in made.broken or "two holders" in made.broken


def test_without_the_margin_between_two_clocks() -> None:
    made = found(
        EXPIRY,
        terms=LeaseTerms(
            duration_ns=UNIT, max_clock_skew_fraction=0.0, renew_interval_ns=UNIT // 2
        ),
    )
    assert made.broken.startswith("two holders may act")


def test_without_one_vote_a_term(monkeypatch: Patch) -> None:
    voted = Raft._handle_vote_request

    def again(self: Raft, now: int, sender: str, message: Any) -> None:
        self.voted_for = "" if self.role == FOLLOWER else self.voted_for
        voted(self, now, sender, message)

    monkeypatch.setattr(Raft, "_handle_vote_request", again)
    # A vote for a term that is over is forgotten by the search: here it is not over for anybody.
    monkeypatch.setattr(LeaseModel, "dead", lambda self, world, packet: False)
    assert found(ELECTIONS).broken == "two lead in term 1"


def test_without_a_majority(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "majority", lambda self, some: bool(set(some)))
    assert found(ELECTIONS).broken == "two lead in term 1"


def test_without_a_log_as_new_as_the_voters(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "_is_log_up_to_date", lambda self, last_term, last: True)
    assert found(COMMITS).broken == "two entries were committed at 2"


def test_without_the_new_leaders_wait(monkeypatch: Patch) -> None:
    lead = LeaseService._start_term

    def at_once(self: LeaseService, now: int) -> None:
        if self._led_term != self.raft.term:
            lead(self, now)
            self.expiries = dict.fromkeys(self.expiries, now)
            self._earliest_expiry = now

    monkeypatch.setattr(LeaseService, "_start_term", at_once)
    assert found(EXPIRY).broken.startswith("two holders may act")


def test_without_a_round_that_confirms_the_leader(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "is_round_confirmed", lambda self, round_: self.role == LEADER)
    made = found(RENEWAL)
    assert made.broken.startswith("two holders may act")


def test_without_the_word_that_an_end_is_on_its_way(monkeypatch: Patch) -> None:
    answer: Callable[..., None] = LeaseService._queue_reply

    def anyhow(self: LeaseService, now: int, w: Any) -> None:
        self._pending_ends, ending = {}, self._pending_ends
        answer(self, now, w)
        self._pending_ends = ending

    monkeypatch.setattr(LeaseService, "_queue_reply", anyhow)
    made = found(TWO)
    assert made.broken.startswith("two holders may act")


def test_with_a_lease_counted_from_the_answer(monkeypatch: Patch) -> None:
    receive_reply = Holder.receive_reply

    def late(self: Holder, now: int, answer: Any) -> bool:
        self._sent = deque((seq, now) for seq, _ in self._sent)
        return receive_reply(self, now, answer)

    monkeypatch.setattr(Holder, "receive_reply", late)
    # Its answer lies on the network while its time runs out.
    made = found(TWO)
    assert made.broken.startswith("two holders may act")


def test_the_search_prints_the_shortest_run_that_breaks() -> None:
    class Counting:
        def begin(self) -> int:
            return 0

        def key(self, state: int) -> int:
            return state

        def moves(self, state: int) -> Any:
            yield "one more", lambda: state + 1
            yield "twice", lambda: state * 2 or None

        def broken(self, state: int) -> str:
            return "eight" if state == 8 else ""

    made = search(Counting())
    assert made.run == ["one more", "one more", "twice", "twice"]
    assert "BROKEN after" in str(made) and "  4 twice" in str(made)
