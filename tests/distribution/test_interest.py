"""Lookups, answers and evictions of an instance: single rules, and random orders of events."""

from __future__ import annotations

from random import Random

import pytest

from tansywood.distribution.interest import IN_USE_NS, MAX_EVICTIONS, Interest, Resolution, State
from tansywood.distribution.parameters import MS, SECOND, Parameters

PARAMETERS = Parameters(lookups_per_s=100.0, max_open_lookups=5, max_unknown_aliases=4)
IDLE_NS = 600 * SECOND
FOLLOWER = "door"


def make_interest(bound: int = 3, parameters: Parameters = PARAMETERS) -> Interest:
    return Interest(parameters, 0, bound, IDLE_NS)


def test_concurrent_requests_for_an_alias_share_one_lookup_and_all_are_answered() -> None:
    interest = make_interest()
    assert interest.resolve((FOLLOWER, 1), ["h:a"], 0) == Resolution(None, ("h:a",))
    assert interest.resolve((FOLLOWER, 2), ["h:a"], 0) == Resolution(None)
    assert interest.resolve((FOLLOWER, 3), ["h:a", "n:b"], 0) == Resolution(None, ("n:b",))
    interest.hold("t1", ["h:a"], 1)
    answers = interest.complete_lookup(["h:a"], ["t1"], 1)
    assert answers == [((FOLLOWER, 1), State.DONE), ((FOLLOWER, 2), State.DONE)]
    assert interest.complete_lookup(["n:b"], [""], 2) == [((FOLLOWER, 3), State.DONE)]
    assert interest.resolve((FOLLOWER, 4), ["h:a", "n:b"], 3).state is State.DONE
    assert interest.open_lookups == 0 and interest.waiting_requests == 0


def test_an_unknown_alias_is_cached_for_its_ttl_and_the_cache_is_bounded() -> None:
    interest = make_interest()
    for index in range(6):
        interest.resolve((FOLLOWER, index), [f"h:{index}"], 0)
        interest.complete_lookup([f"h:{index}"], [""], 0)
    assert interest.cached_unknown_count == PARAMETERS.max_unknown_aliases
    assert (
        interest.resolve((FOLLOWER, 9), ["h:5"], PARAMETERS.unknown_alias_ttl_ns - 1).state
        is State.DONE
    )
    assert interest.resolve(
        (FOLLOWER, 9), ["h:5"], PARAMETERS.unknown_alias_ttl_ns
    ).aliases_to_look_up == ("h:5",)
    # Later aliases have displaced this one from the cache.
    assert interest.resolve((FOLLOWER, 10), ["h:0"], 1).aliases_to_look_up == ("h:0",)


def test_a_timed_out_lookup_answers_unavailable_and_is_not_cached() -> None:
    interest = make_interest()
    interest.resolve((FOLLOWER, 1), ["h:a"], 0)
    assert interest.complete_lookup(["h:a"], None, 1) == [((FOLLOWER, 1), State.UNAVAILABLE)]
    assert interest.resolve((FOLLOWER, 2), ["h:a"], 2).aliases_to_look_up == ("h:a",)


def test_a_tenant_whose_view_could_not_be_read_is_unavailable() -> None:
    interest = make_interest()
    interest.resolve((FOLLOWER, 1), ["h:a"], 0)
    interest.hold("t1", (), 1)
    assert interest.complete_lookup(["h:a"], ["t1"], 1) == [((FOLLOWER, 1), State.UNAVAILABLE)]
    interest.hold("t1", ["h:a"], 2)
    assert interest.resolve((FOLLOWER, 2), ["h:a"], 3).state is State.DONE


def test_open_lookups_and_their_rate_are_bounded_and_held_aliases_are_still_answered() -> None:
    interest = make_interest(bound=100)
    interest.hold("t1", ["h:mine"], 0)
    states = [interest.resolve((FOLLOWER, n), [f"h:{n}"], 0).state for n in range(20)]
    assert states == [None] * PARAMETERS.max_open_lookups + [State.UNAVAILABLE] * 15
    assert interest.resolve((FOLLOWER, 99), ["h:mine"], 0).state is State.DONE
    assert interest.resolve((FOLLOWER, 100), ["h:own"], 0, urgent=True).aliases_to_look_up == (
        "h:own",
    )
    rate_limited = make_interest(100, Parameters(lookups_per_s=100.0, max_open_lookups=10_000))
    asked = 0
    for n in range(10_000):  # within one second
        asked += rate_limited.resolve((FOLLOWER, n), [f"h:{n}"], n * SECOND // 10_000).state is None
    assert asked <= 150


def test_requests_of_a_disconnected_follower_are_not_answered() -> None:
    interest = make_interest()
    interest.resolve((FOLLOWER, 1), ["h:a", "n:b"], 0)
    interest.resolve(("other", 1), ["h:a"], 0)
    interest.forget_requests(FOLLOWER)
    # The restarted follower uses the number of its earlier request again.
    assert interest.resolve((FOLLOWER, 1), ["h:a"], 1) == Resolution(None)
    assert interest.complete_lookup(["h:a", "n:b"], ["", ""], 1) == [
        (("other", 1), State.DONE),
        ((FOLLOWER, 1), State.DONE),
    ]


def test_an_alias_follows_the_latest_view_that_contains_it() -> None:
    interest = make_interest()
    interest.hold("t1", ["h:a", "n:one"], 0)
    interest.hold("t2", ["h:a", "n:two"], 1)  # the change of t1 arrives later
    interest.hold("t1", ["n:one"], 2)
    assert interest.owner("h:a") == "t2"
    interest.drop("t2")
    assert interest.owner("h:a") is None and interest.owner("n:one") == "t1"


def test_idle_tenants_are_evicted_and_used_or_pinned_ones_are_kept() -> None:
    interest = make_interest(bound=10)
    for uid in ("idle", "used", "pinned"):
        interest.hold(uid, [f"n:{uid}"], 0, pinned=uid == "pinned")
    interest.mark_used(["used"], IDLE_NS - 1)
    assert interest.select_evictions(IDLE_NS - 1) == []
    assert interest.select_evictions(IDLE_NS) == ["idle"]
    assert interest.select_evictions(IDLE_NS) == []  # its eviction has begun
    interest.finish_eviction("idle")
    assert "idle" not in interest and "used" in interest and "pinned" in interest


def test_over_the_bound_the_least_recently_used_tenant_is_evicted_but_none_in_use() -> None:
    interest = make_interest(bound=2)
    for index, uid in enumerate(("a", "b", "c")):
        interest.hold(uid, [f"n:{uid}"], index)
    assert interest.select_evictions(IN_USE_NS - 1) == []
    interest.mark_used(["a"], 5)
    assert interest.select_evictions(5 + IN_USE_NS) == ["b"]
    interest.cancel_eviction("b", 6 + IN_USE_NS)
    assert interest.select_evictions(6 + IN_USE_NS) == ["c"]


def test_no_lookup_is_opened_at_the_bound_while_all_tenants_are_in_use() -> None:
    interest = make_interest(bound=2)
    interest.hold("a", ["n:a"], 0)
    interest.hold("b", ["n:b"], 0)
    assert interest.resolve((FOLLOWER, 1), ["n:new"], 1).state is State.UNAVAILABLE
    assert interest.resolve((FOLLOWER, 2), ["n:a"], 1).state is State.DONE
    # Tenant b is not in use any more and can be evicted for the new one.
    assert interest.resolve((FOLLOWER, 3), ["n:new"], 1 + IN_USE_NS).state is None
    interest.hold("new", ["n:new"], 1 + IN_USE_NS)
    interest.complete_lookup(["n:new"], ["new"], 1 + IN_USE_NS)
    assert interest.select_evictions(1 + IN_USE_NS) == ["b"]


def test_a_tenant_requested_during_its_eviction_is_kept() -> None:
    interest = make_interest()
    interest.hold("a", ["n:a"], 0)
    assert interest.select_evictions(IDLE_NS) == ["a"]
    assert interest.resolve((FOLLOWER, 1), ["n:a"], IDLE_NS) == Resolution(State.DONE, (), ("a",))
    interest.cancel_eviction("a", IDLE_NS)
    assert interest.select_evictions(IDLE_NS + IN_USE_NS) == []


@pytest.mark.parametrize("seed", range(30))
def test_random_events_answer_every_request_once_and_keep_the_bounds(seed: int) -> None:
    rng = Random(seed)
    parameters = Parameters(lookups_per_s=1_000.0, max_open_lookups=6, max_unknown_aliases=8)
    bound = rng.randrange(1, 8)
    interest = Interest(parameters, 0, bound, 20 * SECOND)
    owners = {f"n:{n}": f"t{n}" for n in range(12)}
    lookups: list[tuple[str, ...]] = []
    waiting: set[tuple[str, int]] = set()
    evicting: set[str] = set()
    now, asked = 0, 0
    for _ in range(1_500):
        now += rng.randrange(200) * MS
        event = rng.random()
        if event < 0.5:
            asked += 1
            aliases = [f"n:{rng.randrange(20)}" for _ in range(rng.randrange(1, 3))]
            resolution = interest.resolve((FOLLOWER, asked), aliases, now)
            for uid in resolution.evictions_to_cancel:
                assert uid in evicting
                evicting.discard(uid)
                interest.cancel_eviction(uid, now)
            assert not any(set(resolution.aliases_to_look_up) & set(other) for other in lookups)
            if resolution.aliases_to_look_up:
                lookups.append(resolution.aliases_to_look_up)
            if resolution.state is None:
                waiting.add((FOLLOWER, asked))
            elif resolution.state is State.DONE:
                assert all(
                    a not in owners or interest.owner(a) or interest.is_unassigned(a)
                    for a in aliases
                )
        elif event < 0.85 and lookups:
            lookup = lookups.pop(rng.randrange(len(lookups)))
            uids = [owners.get(alias, "") for alias in lookup]
            fails = rng.random() < 0.2
            for alias, uid in zip(lookup, uids, strict=True):
                if uid and not fails:
                    interest.hold(uid, [alias], now)
            for asker, _state in interest.complete_lookup(lookup, None if fails else uids, now):
                waiting.remove(asker)
        elif event < 0.9 and evicting:
            uid = rng.choice(sorted(evicting))
            evicting.discard(uid)
            if rng.random() < 0.5:
                interest.finish_eviction(uid)
            else:
                interest.cancel_eviction(uid, now)
        elif event < 0.95:
            interest.mark_used([f"t{rng.randrange(12)}"], now)
        else:
            evictions = interest.select_evictions(now)
            assert not evicting & set(evictions)
            evicting |= set(evictions)
        assert len(lookups) == interest.open_lookups <= parameters.max_open_lookups
        assert interest.cached_unknown_count <= parameters.max_unknown_aliases
        assert len(evicting) <= MAX_EVICTIONS
        # One lookup of two aliases may find two tenants.
        assert len(interest) <= bound + 2 * parameters.max_open_lookups
    for lookup in lookups:
        for asker, _state in interest.complete_lookup(lookup, None, now):
            waiting.remove(asker)
    assert not waiting and interest.waiting_requests == 0
