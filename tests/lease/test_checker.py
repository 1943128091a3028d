"""The shipped leases keep their rules in every state of small models, and the checker detects the
removal of each safeguard."""

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
from tansywood.verify.world import TIME_STEP, Bounds, World

Patch = pytest.MonkeyPatch
MAX_STATES = 60_000


def search_with(
    bounds: Bounds, model: type[LeaseModel] = LeaseModel, **over: Any
) -> SearchResult[World]:
    return search(model(bounds, **over), MAX_STATES)


@pytest.mark.parametrize("size", ["elections", "crash", "renewal", "stale"])
def test_no_state_of_a_small_model_violates_a_rule(size: str) -> None:
    _, bounds, expected_states = SIZES[size]
    result = search(LeaseModel(bounds))
    assert result.broken == "", str(result)
    assert result.complete and result.states == expected_states


def test_no_random_walk_of_a_larger_model_violates_a_rule() -> None:
    result = random_walk(LeaseModel(LARGE), 1, 25, 120)
    assert result.broken == "", str(result)
    assert result.states > 1500


EXPIRY = Bounds(has_second_leader=True, requests=(0, 1), elections=0, crashes=0, time_steps=1)
RENEWAL = SIZES["stale"][1]
ELECTIONS = SIZES["elections"][1]
# With two voters both are needed for a majority: the search is smaller and finds the same fault.
TWO_VOTERS = Bounds(voters=2, requests=(1, 1), elections=0, crashes=0, time_steps=1)
COMMITS = Bounds(requests=(0, 1), elections=1, crashes=0, time_steps=0, has_holder=False)


def test_a_vote_that_is_lost_in_a_crash_is_detected() -> None:
    class Forgets(LeaseModel):
        def persist(self, old: PersistentState, new: PersistentState) -> PersistentState:
            return PersistentState(new.term, "", new.snapshot, new.entries)

    result = search_with(ELECTIONS, Forgets)
    assert result.broken == "two lead in term 1"
    assert any("crashes" in line for line in result.run)


def test_entries_that_are_lost_in_a_crash_are_detected() -> None:
    class Forgets(LeaseModel):
        def persist(self, old: PersistentState, new: PersistentState) -> PersistentState:
            return PersistentState(new.term, new.voted_for, new.snapshot, old.entries)

    result = search_with(
        Bounds(requests=(0, 1), elections=1, crashes=1, time_steps=0, has_holder=False), Forgets
    )
    assert "committed" in result.broken or "two holders" in result.broken


def test_a_lease_without_a_clock_skew_margin_is_detected() -> None:
    result = search_with(
        EXPIRY,
        terms=LeaseTerms(
            duration_ns=TIME_STEP, max_clock_skew_fraction=0.0, renew_interval_ns=TIME_STEP // 2
        ),
    )
    assert result.broken.startswith("two holders may act")


def test_a_second_vote_in_one_term_is_detected(monkeypatch: Patch) -> None:
    voted = Raft._handle_vote_request

    def again(self: Raft, now: int, sender: str, message: Any) -> None:
        self.voted_for = "" if self.role == FOLLOWER else self.voted_for
        voted(self, now, sender, message)

    monkeypatch.setattr(Raft, "_handle_vote_request", again)
    # The search drops votes of decided elections, but with this fault they can still have effect.
    monkeypatch.setattr(LeaseModel, "is_ineffective", lambda self, world, packet: False)
    assert search_with(ELECTIONS).broken == "two lead in term 1"


def test_an_election_without_a_majority_is_detected(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "majority", lambda self, some: bool(set(some)))
    assert search_with(ELECTIONS).broken == "two lead in term 1"


def test_a_leader_with_an_outdated_log_is_detected(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "_is_log_up_to_date", lambda self, last_term, last: True)
    assert search_with(COMMITS).broken == "two entries were committed at 2"


def test_a_new_leader_that_does_not_wait_for_old_leases_is_detected(monkeypatch: Patch) -> None:
    lead = LeaseService._start_term

    def start_without_waiting(self: LeaseService, now: int) -> None:
        if self._led_term != self.raft.term:
            lead(self, now)
            self.expiries = dict.fromkeys(self.expiries, now)
            self._earliest_expiry = now

    monkeypatch.setattr(LeaseService, "_start_term", start_without_waiting)
    assert search_with(EXPIRY).broken.startswith("two holders may act")


def test_a_reply_by_an_unconfirmed_leader_is_detected(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Raft, "is_round_confirmed", lambda self, round_: self.role == LEADER)
    result = search_with(RENEWAL)
    assert result.broken.startswith("two holders may act")


def test_a_renewal_while_the_lease_is_being_ended_is_detected(monkeypatch: Patch) -> None:
    answer: Callable[..., None] = LeaseService._queue_reply

    def reply_regardless(self: LeaseService, now: int, w: Any) -> None:
        self._pending_ends, ending = {}, self._pending_ends
        answer(self, now, w)
        self._pending_ends = ending

    monkeypatch.setattr(LeaseService, "_queue_reply", reply_regardless)
    result = search_with(TWO_VOTERS)
    assert result.broken.startswith("two holders may act")


def test_a_lease_counted_from_its_reply_is_detected(monkeypatch: Patch) -> None:
    receive_reply = Holder.receive_reply

    def late(self: Holder, now: int, answer: Any) -> bool:
        self._sent = deque((seq, now) for seq, _ in self._sent)
        return receive_reply(self, now, answer)

    monkeypatch.setattr(Holder, "receive_reply", late)
    # The reply stays on the network while the lease expires.
    result = search_with(TWO_VOTERS)
    assert result.broken.startswith("two holders may act")


def test_the_search_reports_a_shortest_violating_run() -> None:
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

    result = search(Counting())
    assert result.run == ["one more", "one more", "twice", "twice"]
    assert "BROKEN after" in str(result) and "  4 twice" in str(result)
