"""No limit is exceeded by all instances together; each defence taken out breaks it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from standins.fleet.simulated import World
from tansywood.fleet.allocation import (
    Allocator,
    Holder,
    _LimitSlice,
    open_key,
    places_key,
    rate_key,
)
from tansywood.fleet.instance import Instance
from tansywood.fleet.messages import Claim, ClaimEntry, Grant
from tansywood.fleet.terms import SECOND, GrantTerms
from tests.fleet.worlds import LIMITS, TENANT, WHOLES, Broken, history, settle, want, world

CLOCKS = {"a": 0.955, "b": 1.045, "c": 1.0, "d": 0.96, "e": 1.04}
SEEDS = range(40)


def play(
    seed: int, terms: GrantTerms | None = None, clocks: dict[str, float] | None = None
) -> World:
    made = world(list("abcde"), 3, seed, clocks or CLOCKS, terms)
    for name in made.hosts:
        want(made, name, 60, 4)
    made.run(1.0)
    history(made, seed)
    return made


def loaded(names: list[str], allocators: int, seed: int, units: int, seconds: float) -> World:
    """Everybody wants more than there is, and has what it gets of it."""
    made = world(names, allocators, seed)
    for name in names:
        want(made, name, 400, units)
    made.run(seconds)
    return made


def breaks(seeds: range = SEEDS, **over: Any) -> bool:
    for seed in seeds:
        try:
            play(seed, **over)
        except Broken:
            return True
    return False


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_exceeded_over_random_histories(seed: int) -> None:
    made = play(seed)
    settle(made)
    # All of it is dealt again, and everybody has some.
    for key, whole in WHOLES.items():
        amounts = made.amounts(key)
        assert sum(amounts.values()) <= whole
        if key == rate_key(TENANT):
            assert sum(amounts.values()) >= 0.97 * whole
            assert min(amounts.values()) > 0


def handed(seed: int) -> World:
    made = world(list("abcde"), 3, seed, CLOCKS, hand_on=True)
    for name in made.hosts:
        want(made, name, 60, 4)
    made.run(1.0)
    history(made, seed)
    return made


@pytest.mark.parametrize("seed", range(20))
def test_slices_that_others_deal_are_not_exceeded_and_not_lost(seed: int) -> None:
    made = handed(seed)
    settle(made)
    amounts = made.amounts(rate_key(TENANT))
    assert 0.97 * WHOLES[rate_key(TENANT)] <= sum(amounts.values()) <= WHOLES[rate_key(TENANT)]


def test_without_the_wait_of_who_takes_a_slice_over_it_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Allocator, "ready", lambda self, key, now: True)
    with pytest.raises(Broken):
        for seed in range(20):
            handed(seed)


def test_a_home_that_is_gone_for_good_leaves_nothing_undealt() -> None:
    made = world(list("abcd"), 3, 1, hand_on=True)
    for name in made.hosts:
        want(made, name, 60, 4)
    made.run(6.0)
    made.kill("a")
    made.run(0.5)
    made.hand(0, "d")  # as a lease does, once a's is over
    made.run(7.0)
    assert sum(made.amounts(rate_key(TENANT)).values()) >= 0.97 * WHOLES[rate_key(TENANT)]


def test_without_the_margin_between_two_clocks_it_breaks() -> None:
    clocks = {"a": 0.7, "b": 1.4, "c": 1.4, "d": 0.7, "e": 0.7}  # beyond what is allowed for
    assert breaks(clocks=clocks)


def test_without_the_wait_of_a_home_that_starts_it_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Allocator, "ready", lambda self, key, now: True)
    assert breaks()


def test_without_the_workers_word_that_less_is_in_use_it_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def confirm(self: Holder, now: int, key: str, used: int, version: int) -> bool:
        for held in self._held.get(key, ()):
            held.applied = held.seq
        return True

    monkeypatch.setattr(Holder, "confirm", confirm)
    assert breaks()


def cut_off_under_load(seed: int) -> None:
    """One that is no home goes on to the last moment of its grants, and its requests beyond."""
    made = loaded(["a", "b", "c", "d"], 3, seed, 40, 6.0)
    made.split(["d"])
    made.run(5.0)


def test_without_the_tail_of_requests_under_way_it_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in range(5):
        cut_off_under_load(seed)
    monkeypatch.setattr(GrantTerms, "request_tail_ns", lambda self, tail: 0)
    with pytest.raises(Broken):
        for seed in range(5):
            cut_off_under_load(seed)


def test_without_the_end_at_the_workers_it_breaks() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 3, 9, 5.0)
    made.hosts["d"].bound = False
    made.pause("d")
    made.run(6.0)
    with pytest.raises(Broken):
        made.go_on("d")


def answers_by_no_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Holders take answers as they come, the one of an older claim behind that of a newer too."""
    granted = Holder.granted

    def anyhow(self: Holder, now: int, allocator: int, grant: Grant) -> bool:
        for rows in self._held.values():
            rows[allocator].seq = min(rows[allocator].seq, grant.seq - 1)
        return granted(self, now, allocator, grant)

    monkeypatch.setattr(Holder, "granted", anyhow)


def test_without_the_order_of_answers_it_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    answers_by_no_order(monkeypatch)
    assert breaks()


def in_use_after_an_answer_that_was_overtaken() -> int:
    """Of 1,000 units at one allocator: what two holders use once the answer to the first claim of
    one comes late, behind what has been freed by its second."""
    terms, key, start = GrantTerms(), rate_key(TENANT), 100 * SECOND
    allocator = Allocator(terms, 1, 0, 0)
    allocator.set_limit(key, 1000, 0)
    late, other = Holder(terms, 1), Holder(terms, 1)

    def asked(holder: Holder, life: bytes, need: int) -> Grant:
        claim = holder.claim(start, 0, {key: need})
        return Grant(claim.seq, allocator.claim(start, life, claim))

    overtaken = asked(late, b"l" * 16, 900)
    asked(other, b"o" * 16, 900)
    allocator.slices[key].allocated_at = start - terms.claim_interval_ns  # a round later
    assert late.granted(start, 0, asked(late, b"l" * 16, 10))
    late.confirm(start, key, 0, late.version)
    asked(late, b"l" * 16, 10)
    allocator.slices[key].allocated_at = start - terms.claim_interval_ns
    assert other.granted(start, 0, asked(other, b"o" * 16, 900))
    late.granted(start + 1, 0, overtaken)
    return late.amount(start + 1, key) + other.amount(start + 1, key)


def test_an_answer_that_was_overtaken_is_not_gone_by(monkeypatch: pytest.MonkeyPatch) -> None:
    assert in_use_after_an_answer_that_was_overtaken() <= 1000
    answers_by_no_order(monkeypatch)
    assert in_use_after_an_answer_that_was_overtaken() > 1000


def test_without_the_count_of_what_may_still_be_out_it_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    recount: Callable[..., None] = _LimitSlice.recount

    def forgetful(self: _LimitSlice, life: bytes, c: Any, now: int) -> None:
        c.grants = c.grants[-1:]  # the last grant alone, heard of or not
        recount(self, life, c, now)

    monkeypatch.setattr(_LimitSlice, "recount", forgetful)
    assert breaks()


def test_a_limit_that_is_taken_out_and_put_back_waits_for_what_was_granted() -> None:
    allocator = Allocator(GrantTerms(), 1, 0, 0)
    key = rate_key(TENANT)
    allocator.set_limit(key, 1000, 0)
    allocator.keep([], 50 * SECOND)
    allocator.set_limit(key, 1000, 0)
    assert not allocator.ready(key, 51 * SECOND)
    assert allocator.ready(key, 52 * SECOND)
    longer = open_key(TENANT)
    allocator.set_limit(longer, 40, 9 * SECOND)
    allocator.keep([key], 60 * SECOND)
    allocator.set_limit(longer, 40, SECOND)  # back with a shorter deadline than what is out had
    assert not allocator.ready(longer, 71 * SECOND)
    assert allocator.ready(longer, 72 * SECOND)
    allocator.keep([key], 80 * SECOND)
    allocator.keep([key], 95 * SECOND)
    assert not allocator._dropped  # nothing is kept for ever


def test_a_longer_deadline_binds_what_is_granted_already() -> None:
    allocator = Allocator(GrantTerms(), 1, 0, 0)
    key, who, other = open_key(TENANT), b"a" * 16, b"b" * 16
    allocator.set_limit(key, 100, SECOND)
    start = 10 * SECOND
    (given,) = allocator.claim(start, who, Claim(1, [ClaimEntry(key, 100, 0)]))
    allocator.set_limit(key, 100, 20 * SECOND)
    (none,) = allocator.claim(start + 5 * SECOND, other, Claim(1, [ClaimEntry(key, 100, 0)]))
    assert given.amount > 90 and none.amount + given.amount <= 100
    (some,) = allocator.claim(start + 30 * SECOND, other, Claim(2, [ClaimEntry(key, 100, 1)]))
    assert some.amount > 90


def test_parts_follow_the_traffic_when_it_jumps() -> None:
    made = world(["a", "b", "c"], 3, 5)
    want(made, "a", 400, 30)
    want(made, "b", 5, 1)
    want(made, "c", 5, 1)
    made.run(8.0)
    assert made.amounts(rate_key(TENANT))["a"] > 0.85 * LIMITS.rate
    want(made, "a", 5, 1)
    want(made, "b", 400, 30)
    made.run(6 * made.terms.claim_interval_ns / SECOND)  # rounds
    assert made.amounts(rate_key(TENANT))["b"] > 0.85 * LIMITS.rate


def test_fewer_places_than_instances_go_round() -> None:
    names = [f"i{n:02}" for n in range(24)]
    made = world(names, 3, 2)
    for name in names:
        want(made, name, 30, 1)
    had: dict[str, int] = dict.fromkeys(names, 0)
    made.run(6.0)
    for _ in range(240):
        made.run(0.25)
        for server in LIMITS.servers:
            for name, amount in made.amounts(places_key(TENANT, server)).items():
                had[name] += amount
    assert all(had.values()), had  # ten places, 24 that want one: nobody starves


def test_one_to_forty_instances_and_back_within_a_minute() -> None:
    names = [f"i{n:02}" for n in range(40)]
    made = world(names, 3, 8)
    for name in names:
        want(made, name, 60, 2)
        made.kill(name)
    made.start("i00")
    made.run(4.0)
    for name in names[1:]:
        made.start(name)
        made.run(0.5)
    amounts = made.amounts(rate_key(TENANT))
    assert len(amounts) == 40 and sum(amounts.values()) > 0.9 * LIMITS.rate
    for name in reversed(names[1:]):
        made.kill(name)
        made.run(0.7)
    made.run(4.0)
    # What two homes that are away deal rests; what the fortieth had of the first's is back.
    left = made.amounts(rate_key(TENANT))["i00"]
    assert 0.97 * LIMITS.rate / 3 < left <= LIMITS.rate / 3


def test_a_lost_instances_part_comes_back_and_not_before_its_end() -> None:
    made = loaded(["a", "b", "c", "d"], 2, 4, 9, 6.0)
    before = sum(a for n, a in made.amounts(rate_key(TENANT)).items() if n != "d")
    made.pause("d")
    made.run(1.0)
    assert sum(a for n, a in made.amounts(rate_key(TENANT)).items()) <= before * 1.01
    made.run(made.terms.grant_ns / SECOND)
    assert sum(a for n, a in made.amounts(rate_key(TENANT)).items()) > 0.97 * LIMITS.rate


def test_an_instance_cut_off_goes_on_with_its_own_slice_alone() -> None:
    made = loaded(["a", "b", "c"], 3, 6, 9, 6.0)
    made.split(["a"])
    made.run(6.0)
    amounts = made.amounts(rate_key(TENANT))
    assert 0.3 * LIMITS.rate < amounts["a"] <= LIMITS.rate // 3
    assert amounts["a"] + amounts["b"] + amounts["c"] <= LIMITS.rate


def end_in_order(made: World, name: str, first: Callable[[Instance, int], None]) -> None:
    """An instance leaves; `first` is the last that it hears of its worker."""
    last, now = made.hosts[name].instance, made.clock(made.hosts[name])
    assert last is not None
    first(last, now)
    last.leave(now)
    made.flush(name)
    made.kill(name)


def test_one_that_ends_in_order_gives_back_at_once() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 7, 9, 6.0)
    made.hosts["d"].used.clear()
    made.hosts["d"].out.clear()
    # The worker's last word: all has ended.
    end_in_order(made, "d", lambda d, now: d.report(now, "w", d.holder.version, {}, {}))
    made.run(3 * made.terms.claim_interval_ns / SECOND)
    assert sum(made.amounts(open_key(TENANT)).values()) > 0.9 * LIMITS.open


def test_one_whose_worker_died_gives_nothing_back_before_its_requests_are_over() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 7, 40, 6.0)
    # Its requests are at work at servers yet.
    end_in_order(made, "d", lambda d, now: d.worker_ended(now, "w"))
    made.run(4.0)  # conserved all the while
