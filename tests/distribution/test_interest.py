"""Which lookups are open, who is told, what is given up: rules, and random orders of events."""

from __future__ import annotations

from random import Random

import pytest

from tansywood.distribution.interest import IN_USE_NS, MAX_EVICTIONS, Interest, Resolution, State
from tansywood.distribution.parameters import MS, SECOND, Parameters

PARAMETERS = Parameters(lookups_per_s=100.0, max_open_lookups=5, max_unknown_aliases=4)
IDLE = 600 * SECOND
DOOR = "door"


def interest(bound: int = 3, parameters: Parameters = PARAMETERS) -> Interest:
    return Interest(parameters, 0, bound, IDLE)


def test_one_lookup_is_open_for_an_alias_however_many_ask_and_all_are_told() -> None:
    one = interest()
    assert one.resolve((DOOR, 1), ["h:a"], 0) == Resolution(None, ("h:a",))
    assert one.resolve((DOOR, 2), ["h:a"], 0) == Resolution(None)
    assert one.resolve((DOOR, 3), ["h:a", "n:b"], 0) == Resolution(None, ("n:b",))
    one.hold("t1", ["h:a"], 1)
    told = one.complete_lookup(["h:a"], ["t1"], 1)
    assert told == [((DOOR, 1), State.DONE), ((DOOR, 2), State.DONE)]
    assert one.complete_lookup(["n:b"], [""], 2) == [((DOOR, 3), State.DONE)]
    assert one.resolve((DOOR, 4), ["h:a", "n:b"], 3).state is State.DONE
    assert one.open_lookups == 0 and one.waiting_requests == 0


def test_what_is_nobodys_is_not_asked_for_again_for_a_while_and_few_are_remembered() -> None:
    one = interest()
    for index in range(6):
        one.resolve((DOOR, index), [f"h:{index}"], 0)
        one.complete_lookup([f"h:{index}"], [""], 0)
    assert one.cached_unknown_count == PARAMETERS.max_unknown_aliases
    assert one.resolve((DOOR, 9), ["h:5"], PARAMETERS.unknown_alias_ttl_ns - 1).state is State.DONE
    assert one.resolve((DOOR, 9), ["h:5"], PARAMETERS.unknown_alias_ttl_ns).aliases_to_look_up == (
        "h:5",
    )
    assert one.resolve((DOOR, 10), ["h:0"], 1).aliases_to_look_up == (
        "h:0",
    )  # displaced by the later ones


def test_what_nobody_could_say_is_unavailable_and_asked_for_again() -> None:
    one = interest()
    one.resolve((DOOR, 1), ["h:a"], 0)
    assert one.complete_lookup(["h:a"], None, 1) == [((DOOR, 1), State.UNAVAILABLE)]
    assert one.resolve((DOOR, 2), ["h:a"], 2).aliases_to_look_up == ("h:a",)


def test_a_tenant_whose_view_could_not_be_read_is_unavailable() -> None:
    one = interest()
    one.resolve((DOOR, 1), ["h:a"], 0)
    one.hold("t1", (), 1)
    assert one.complete_lookup(["h:a"], ["t1"], 1) == [((DOOR, 1), State.UNAVAILABLE)]
    one.hold("t1", ["h:a"], 2)
    assert one.resolve((DOOR, 2), ["h:a"], 3).state is State.DONE


def test_open_lookups_and_their_rate_are_bounded_and_what_is_held_is_answered_all_the_same() -> (
    None
):
    one = interest(bound=100)
    one.hold("t1", ["h:mine"], 0)
    states = [one.resolve((DOOR, n), [f"h:{n}"], 0).state for n in range(20)]
    assert states == [None] * PARAMETERS.max_open_lookups + [State.UNAVAILABLE] * 15
    assert one.resolve((DOOR, 99), ["h:mine"], 0).state is State.DONE
    assert one.resolve((DOOR, 100), ["h:own"], 0, urgent=True).aliases_to_look_up == ("h:own",)
    fast = interest(100, Parameters(lookups_per_s=100.0, max_open_lookups=10_000))
    asked = 0
    for n in range(10_000):  # in one second
        asked += fast.resolve((DOOR, n), [f"h:{n}"], n * SECOND // 10_000).state is None
    assert asked <= 150


def test_a_follower_that_is_gone_is_told_nothing() -> None:
    one = interest()
    one.resolve((DOOR, 1), ["h:a", "n:b"], 0)
    one.resolve(("other", 1), ["h:a"], 0)
    one.forget_requests(DOOR)
    assert one.resolve((DOOR, 1), ["h:a"], 1) == Resolution(None)  # its next life, the same number
    assert one.complete_lookup(["h:a", "n:b"], ["", ""], 1) == [
        (("other", 1), State.DONE),
        ((DOOR, 1), State.DONE),
    ]


def test_aliases_move_with_their_tenants_views() -> None:
    one = interest()
    one.hold("t1", ["h:a", "n:one"], 0)
    one.hold("t2", ["h:a", "n:two"], 1)  # the first one's change is on its way
    one.hold("t1", ["n:one"], 2)
    assert one.owner("h:a") == "t2"
    one.drop("t2")
    assert one.owner("h:a") is None and one.owner("n:one") == "t1"


def test_idle_tenants_are_given_up_and_those_in_use_or_pinned_are_not() -> None:
    one = interest(bound=10)
    for uid in ("idle", "used", "pinned"):
        one.hold(uid, [f"n:{uid}"], 0, pinned=uid == "pinned")
    one.mark_used(["used"], IDLE - 1)
    assert one.select_evictions(IDLE - 1) == []
    assert one.select_evictions(IDLE) == ["idle"]
    assert one.select_evictions(IDLE) == []  # on its way
    one.finish_eviction("idle")
    assert "idle" not in one and "used" in one and "pinned" in one


def test_over_the_bound_the_least_recently_used_goes_and_one_in_use_never() -> None:
    one = interest(bound=2)
    for index, uid in enumerate(("a", "b", "c")):
        one.hold(uid, [f"n:{uid}"], index)
    assert one.select_evictions(IN_USE_NS - 1) == []
    one.mark_used(["a"], 5)
    assert one.select_evictions(5 + IN_USE_NS) == ["b"]
    one.cancel_eviction("b", 6 + IN_USE_NS)
    assert one.select_evictions(6 + IN_USE_NS) == ["c"]


def test_at_the_bound_with_all_in_use_nothing_new_is_looked_up() -> None:
    one = interest(bound=2)
    one.hold("a", ["n:a"], 0)
    one.hold("b", ["n:b"], 0)
    assert one.resolve((DOOR, 1), ["n:new"], 1).state is State.UNAVAILABLE
    assert one.resolve((DOOR, 2), ["n:a"], 1).state is State.DONE
    assert one.resolve((DOOR, 3), ["n:new"], 1 + IN_USE_NS).state is None  # `b` can go for it
    one.hold("new", ["n:new"], 1 + IN_USE_NS)
    one.complete_lookup(["n:new"], ["new"], 1 + IN_USE_NS)
    assert one.select_evictions(1 + IN_USE_NS) == ["b"]


def test_one_that_is_asked_for_while_it_is_given_up_is_kept() -> None:
    one = interest()
    one.hold("a", ["n:a"], 0)
    assert one.select_evictions(IDLE) == ["a"]
    assert one.resolve((DOOR, 1), ["n:a"], IDLE) == Resolution(State.DONE, (), ("a",))
    one.cancel_eviction("a", IDLE)
    assert one.select_evictions(IDLE + IN_USE_NS) == []


@pytest.mark.parametrize("seed", range(30))
def test_in_any_order_of_events_all_are_told_once_and_the_bounds_hold(seed: int) -> None:
    rng = Random(seed)
    parameters = Parameters(lookups_per_s=1_000.0, max_open_lookups=6, max_unknown_aliases=8)
    bound = rng.randrange(1, 8)
    one = Interest(parameters, 0, bound, 20 * SECOND)
    exists = {f"n:{n}": f"t{n}" for n in range(12)}
    lookups: list[tuple[str, ...]] = []
    waiting: set[tuple[str, int]] = set()
    leaving: set[str] = set()
    now, asked = 0, 0
    for _ in range(1_500):
        now += rng.randrange(200) * MS
        event = rng.random()
        if event < 0.5:
            asked += 1
            aliases = [f"n:{rng.randrange(20)}" for _ in range(rng.randrange(1, 3))]
            reply = one.resolve((DOOR, asked), aliases, now)
            for uid in reply.evictions_to_cancel:
                assert uid in leaving
                leaving.discard(uid)
                one.cancel_eviction(uid, now)
            assert not any(set(reply.aliases_to_look_up) & set(other) for other in lookups)
            if reply.aliases_to_look_up:
                lookups.append(reply.aliases_to_look_up)
            if reply.state is None:
                waiting.add((DOOR, asked))
            elif reply.state is State.DONE:
                assert all(a not in exists or one.owner(a) or one.is_unassigned(a) for a in aliases)
        elif event < 0.85 and lookups:
            aliases_of_one = lookups.pop(rng.randrange(len(lookups)))
            uids = [exists.get(alias, "") for alias in aliases_of_one]
            fails = rng.random() < 0.2
            for alias, uid in zip(aliases_of_one, uids, strict=True):
                if uid and not fails:
                    one.hold(uid, [alias], now)
            for asker, _state in one.complete_lookup(aliases_of_one, None if fails else uids, now):
                waiting.remove(asker)
        elif event < 0.9 and leaving:
            uid = rng.choice(sorted(leaving))
            leaving.discard(uid)
            if rng.random() < 0.5:
                one.finish_eviction(uid)
            else:
                one.cancel_eviction(uid, now)
        elif event < 0.95:
            one.mark_used([f"t{rng.randrange(12)}"], now)
        else:
            chosen = one.select_evictions(now)
            assert not leaving & set(chosen)
            leaving |= set(chosen)
        assert len(lookups) == one.open_lookups <= parameters.max_open_lookups
        assert one.cached_unknown_count <= parameters.max_unknown_aliases
        assert len(leaving) <= MAX_EVICTIONS
        # A lookup of two aliases may find two tenants.
        assert len(one) <= bound + 2 * parameters.max_open_lookups
    for aliases_of_one in lookups:
        for asker, _state in one.complete_lookup(aliases_of_one, None, now):
            waiting.remove(asker)
    assert not waiting and one.waiting_requests == 0
