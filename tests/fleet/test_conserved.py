"""All instances together never exceed a limit, and the removal of any safeguard is detected."""

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
from tests.fleet.worlds import (
    LIMIT_UNITS,
    LIMITS,
    TENANT,
    LimitExceededError,
    run_random_history,
    set_demand,
    settle,
    world,
)

CLOCKS = {"a": 0.955, "b": 1.045, "c": 1.0, "d": 0.96, "e": 1.04}
SEEDS = range(40)


def run_history(
    seed: int, terms: GrantTerms | None = None, clocks: dict[str, float] | None = None
) -> World:
    made = world(list("abcde"), 3, seed, clocks or CLOCKS, terms)
    for name in made.hosts:
        set_demand(made, name, 60, 4)
    made.run(1.0)
    run_random_history(made, seed)
    return made


def loaded(names: list[str], allocators: int, seed: int, units: int, seconds: float) -> World:
    """Run a fleet in which every instance asks for more than the limit allows."""
    made = world(names, allocators, seed)
    for name in names:
        set_demand(made, name, 400, units)
    made.run(seconds)
    return made


def exceeds_a_limit(seeds: range = SEEDS, **over: Any) -> bool:
    for seed in seeds:
        try:
            run_history(seed, **over)
        except LimitExceededError:
            return True
    return False


@pytest.mark.parametrize("seed", SEEDS)
def test_no_limit_is_exceeded_over_random_histories(seed: int) -> None:
    made = run_history(seed)
    settle(made)
    # All units are granted again, and every instance has some.
    for key, whole in LIMIT_UNITS.items():
        amounts = made.amounts(key)
        assert sum(amounts.values()) <= whole
        if key == rate_key(TENANT):
            assert sum(amounts.values()) >= 0.97 * whole
            assert min(amounts.values()) > 0


def run_history_under_leases(seed: int) -> World:
    made = world(list("abcde"), 3, seed, CLOCKS, hand_on=True)
    for name in made.hosts:
        set_demand(made, name, 60, 4)
    made.run(1.0)
    run_random_history(made, seed)
    return made


@pytest.mark.parametrize("seed", range(20))
def test_slices_under_leases_are_neither_exceeded_nor_lost(seed: int) -> None:
    made = run_history_under_leases(seed)
    settle(made)
    amounts = made.amounts(rate_key(TENANT))
    assert (
        0.97 * LIMIT_UNITS[rate_key(TENANT)]
        <= sum(amounts.values())
        <= LIMIT_UNITS[rate_key(TENANT)]
    )


def test_a_takeover_without_waiting_for_old_grants_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Allocator, "ready", lambda self, key, now: True)
    with pytest.raises(LimitExceededError):
        for seed in range(20):
            run_history_under_leases(seed)


def test_the_slice_of_a_lost_allocator_is_granted_by_its_successor() -> None:
    made = world(list("abcd"), 3, 1, hand_on=True)
    for name in made.hosts:
        set_demand(made, name, 60, 4)
    made.run(6.0)
    made.kill("a")
    made.run(0.5)
    made.hand(0, "d")  # as a new lease does once the lease of "a" has expired
    made.run(7.0)
    assert sum(made.amounts(rate_key(TENANT)).values()) >= 0.97 * LIMIT_UNITS[rate_key(TENANT)]


def test_clock_rates_beyond_the_allowed_skew_are_detected() -> None:
    clocks = {
        "a": 0.7,
        "b": 1.4,
        "c": 1.4,
        "d": 0.7,
        "e": 0.7,
    }  # differ by more than the allowed skew
    assert exceeds_a_limit(clocks=clocks)


def test_an_allocator_that_grants_at_once_after_a_start_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Allocator, "ready", lambda self, key, now: True)
    assert exceeds_a_limit()


def test_confirming_grants_without_the_workers_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def confirm(self: Holder, now: int, key: str, used: int, version: int) -> bool:
        for held in self._held.get(key, ()):
            held.applied = held.seq
        return True

    monkeypatch.setattr(Holder, "confirm", confirm)
    assert exceeds_a_limit()


def cut_off_under_load(seed: int) -> None:
    """Cut off an instance that is no allocator: it uses its grants to their end, and its requests
    last beyond that."""
    made = loaded(["a", "b", "c", "d"], 3, seed, 40, 6.0)
    made.split(["d"])
    made.run(5.0)


def test_ignoring_the_tail_of_running_requests_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    for seed in range(5):
        cut_off_under_load(seed)
    monkeypatch.setattr(GrantTerms, "request_tail_ns", lambda self, tail: 0)
    with pytest.raises(LimitExceededError):
        for seed in range(5):
            cut_off_under_load(seed)


def test_a_worker_that_ignores_the_end_of_its_grants_is_detected() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 3, 9, 5.0)
    made.hosts["d"].bound = False
    made.pause("d")
    made.run(6.0)
    with pytest.raises(LimitExceededError):
        made.go_on("d")


def apply_grants_in_any_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make holders apply grants as they arrive, including those of superseded claims."""
    granted = Holder.granted

    def grant_in_any_order(self: Holder, now: int, allocator: int, grant: Grant) -> bool:
        for rows in self._held.values():
            rows[allocator].seq = min(rows[allocator].seq, grant.seq - 1)
        return granted(self, now, allocator, grant)

    monkeypatch.setattr(Holder, "granted", grant_in_any_order)


def test_applying_grants_out_of_order_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    apply_grants_in_any_order(monkeypatch)
    assert exceeds_a_limit()


def units_in_use_after_a_late_grant() -> int:
    """Return how many of 1,000 units of one allocator two holders use when the grant for the first
    claim of one arrives after its second claim has released units."""
    terms, key, start = GrantTerms(), rate_key(TENANT), 100 * SECOND
    allocator = Allocator(terms, 1, 0, 0)
    allocator.set_limit(key, 1000, 0)
    late, other = Holder(terms, 1), Holder(terms, 1)

    def request_grant(holder: Holder, life: bytes, need: int) -> Grant:
        claim = holder.claim(start, 0, {key: need})
        return Grant(claim.seq, allocator.claim(start, life, claim))

    late_grant = request_grant(late, b"l" * 16, 900)
    request_grant(other, b"o" * 16, 900)
    allocator.slices[key].allocated_at = start - terms.claim_interval_ns  # a round later
    assert late.granted(start, 0, request_grant(late, b"l" * 16, 10))
    late.confirm(start, key, 0, late.version)
    request_grant(late, b"l" * 16, 10)
    allocator.slices[key].allocated_at = start - terms.claim_interval_ns
    assert other.granted(start, 0, request_grant(other, b"o" * 16, 900))
    late.granted(start + 1, 0, late_grant)
    return late.amount(start + 1, key) + other.amount(start + 1, key)


def test_a_grant_that_arrives_after_a_newer_one_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    assert units_in_use_after_a_late_grant() <= 1000
    apply_grants_in_any_order(monkeypatch)
    assert units_in_use_after_a_late_grant() > 1000


def test_forgetting_outstanding_grants_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    recount: Callable[..., None] = _LimitSlice.recount

    def forgetful(self: _LimitSlice, life: bytes, c: Any, now: int) -> None:
        c.grants = c.grants[-1:]  # only the last grant, whether or not the holder received it
        recount(self, life, c, now)

    monkeypatch.setattr(_LimitSlice, "recount", forgetful)
    assert exceeds_a_limit()


def test_a_limit_that_is_removed_and_restored_waits_for_earlier_grants() -> None:
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
    allocator.set_limit(
        longer, 40, SECOND
    )  # restored with a shorter tail than its outstanding grants
    assert not allocator.ready(longer, 71 * SECOND)
    assert allocator.ready(longer, 72 * SECOND)
    allocator.keep([key], 80 * SECOND)
    allocator.keep([key], 95 * SECOND)
    assert not allocator._dropped  # dropped limits are forgotten in the end


def test_a_longer_deadline_extends_outstanding_grants() -> None:
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


def test_shares_follow_a_sudden_change_of_traffic() -> None:
    made = world(["a", "b", "c"], 3, 5)
    set_demand(made, "a", 400, 30)
    set_demand(made, "b", 5, 1)
    set_demand(made, "c", 5, 1)
    made.run(8.0)
    assert made.amounts(rate_key(TENANT))["a"] > 0.85 * LIMITS.rate
    set_demand(made, "a", 5, 1)
    set_demand(made, "b", 400, 30)
    made.run(6 * made.terms.claim_interval_ns / SECOND)  # rounds
    assert made.amounts(rate_key(TENANT))["b"] > 0.85 * LIMITS.rate


def test_no_instance_starves_with_fewer_places_than_instances() -> None:
    names = [f"i{n:02}" for n in range(24)]
    made = world(names, 3, 2)
    for name in names:
        set_demand(made, name, 30, 1)
    had: dict[str, int] = dict.fromkeys(names, 0)
    made.run(6.0)
    for _ in range(240):
        made.run(0.25)
        for server in LIMITS.servers:
            for name, amount in made.amounts(places_key(TENANT, server)).items():
                had[name] += amount
    assert all(had.values()), had  # ten places for 24 instances that need one


def test_shares_follow_scaling_to_forty_instances_and_back() -> None:
    names = [f"i{n:02}" for n in range(40)]
    made = world(names, 3, 8)
    for name in names:
        set_demand(made, name, 60, 2)
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
    # The slices of the two lost allocators are not granted; the first slice is granted in full.
    left = made.amounts(rate_key(TENANT))["i00"]
    assert 0.97 * LIMITS.rate / 3 < left <= LIMITS.rate / 3


def test_a_lost_instances_share_is_granted_again_only_after_its_end() -> None:
    made = loaded(["a", "b", "c", "d"], 2, 4, 9, 6.0)
    before = sum(a for n, a in made.amounts(rate_key(TENANT)).items() if n != "d")
    made.pause("d")
    made.run(1.0)
    assert sum(a for n, a in made.amounts(rate_key(TENANT)).items()) <= before * 1.01
    made.run(made.terms.grant_ns / SECOND)
    assert sum(a for n, a in made.amounts(rate_key(TENANT)).items()) > 0.97 * LIMITS.rate


def test_an_instance_that_is_cut_off_uses_only_its_own_slice() -> None:
    made = loaded(["a", "b", "c"], 3, 6, 9, 6.0)
    made.split(["a"])
    made.run(6.0)
    amounts = made.amounts(rate_key(TENANT))
    assert 0.3 * LIMITS.rate < amounts["a"] <= LIMITS.rate // 3
    assert amounts["a"] + amounts["b"] + amounts["c"] <= LIMITS.rate


def leave_after(made: World, name: str, first: Callable[[Instance, int], None]) -> None:
    """Let an instance leave; `first` is the last report of its worker before that."""
    last, now = made.hosts[name].instance, made.clock(made.hosts[name])
    assert last is not None
    first(last, now)
    last.leave(now)
    made.flush(name)
    made.kill(name)


def test_an_instance_that_leaves_returns_its_grants_at_once() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 7, 9, 6.0)
    made.hosts["d"].used.clear()
    made.hosts["d"].out.clear()
    # The worker's last report says that nothing is in use.
    leave_after(made, "d", lambda d, now: d.report(now, "w", d.holder.version, {}, {}))
    made.run(3 * made.terms.claim_interval_ns / SECOND)
    assert sum(made.amounts(open_key(TENANT)).values()) > 0.9 * LIMITS.open


def test_an_instance_whose_worker_died_returns_nothing_while_its_requests_run() -> None:
    made = loaded(["a", "b", "c", "d"], 3, 7, 40, 6.0)
    # Servers are still working on its requests.
    leave_after(made, "d", lambda d, now: d.worker_ended(now, "w"))
    made.run(4.0)  # `assert_conserved` runs at every step
