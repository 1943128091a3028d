"""Lease clients of whole fleets in simulated time. No fault may let two instances act under one
lease at the same time."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from standins.fleet.leaseworld import Broken, LeaseWorld
from tansywood.lease.client import LeaseClient
from tansywood.lease.disk import DiskContents
from tansywood.lease.fragments import FRAGMENT_BYTES, Fragment, Reassembly, split_message
from tansywood.lease.messages import LeaseRequest
from tansywood.lease.raft import MS
from tansywood.lease.service import LeaseService
from tansywood.lease.spread import CANDIDATE_COUNT, Ranking
from tansywood.lease.terms import SECOND, LeaseTerms

TERMS = LeaseTerms(duration_ns=SECOND, renew_interval_ns=SECOND // 4)
LEASES = [f"l{n}" for n in range(6)]


def world(seed: int = 1, names: str = "abcde", voters: str = "abc", **over: object) -> LeaseWorld:
    made = LeaseWorld(names, voters, seed, **over)  # type: ignore[arg-type]
    made.found()
    made.want(LEASES)
    made.run(1.0)
    return made


def all_held(w: LeaseWorld) -> bool:
    """Whether every lease is held, waiting up to 0.5 s for a hand-over that is under way."""
    for _ in range(10):
        if sorted(w.held()) == LEASES:
            return True
        w.run(0.05)
    return False


def wait_until_all_held(w: LeaseWorld) -> None:
    """End all faults, start what is stopped, and fail unless every lease is held within 10 s."""
    w.cut.clear()
    w.loss = w.twice = w.late = 0.0
    for place in w.places.values():
        place.failing, place.disk_ns = False, 2 * MS
        if place.client is None:
            w.start(place.name)
        elif place.stopped:
            w.go(place.name)
    for _ in range(40):
        w.run(0.25)
        if sorted(w.held()) == sorted(w.common):
            return
    raise AssertionError(f"after 10 s without faults some leases have no holder; held: {w.held()}")


@pytest.mark.parametrize("seed", range(5))
def test_no_fault_lets_two_instances_act_under_one_lease(seed: int) -> None:
    w = world(seed, rates=(1.0, 1.04, 0.96))
    rng = Random(seed)
    for _ in range(40):
        place = w.places[rng.choice("abcde")]
        kind = rng.randrange(8)
        if kind == 0 and place.client is not None:
            w.end(place.name)
        elif kind == 1 and place.client is not None:
            w.stop(place.name)
        elif kind == 2:
            w.cut |= {(place.name, n) for n in rng.sample("abcde", 3)}
        elif kind == 3:
            w.loss, w.twice, w.late = (rng.choice((0.0, 0.2)) for _ in range(3))
        elif kind == 4:
            place.failing = not place.failing
        elif kind == 5:
            place.disk_ns = rng.choice((2 * MS, 700 * MS))
        elif kind == 6:
            w.cut.clear()
        for other in w.places.values():
            if rng.random() < 0.4:
                if other.client is None:
                    w.start(other.name)
                elif other.stopped:
                    w.go(other.name)
        w.run(rng.uniform(0.1, 1.2))
    wait_until_all_held(w)
    assert len(w.grants) > 2 * len(LEASES)


def test_without_a_clock_skew_margin_two_holders_act_at_once() -> None:
    def run_with_skew(skew: float) -> None:
        terms = LeaseTerms(
            duration_ns=SECOND, max_clock_skew_fraction=skew, renew_interval_ns=SECOND // 4
        )
        w = world(3, terms=terms, rates=(1.08, 1.08, 1.08, 0.92, 0.92))
        for name in "dede":
            w.cut = {(name, n) for n in "abc"} | {(n, name) for n in "abc"}
            w.run(2.5)
            w.cut.clear()
            w.run(6.0)

    run_with_skew(0.16)
    with pytest.raises(Broken):
        run_with_skew(0.0)


def test_voter_restored_from_an_older_disk_copy_rejoins_with_a_new_disk() -> None:
    w = world()
    copy = w.places["b"].disk
    assert copy is not None
    for name in "de":
        w.end(name)
        w.run(2.5)
        w.start(name)
    w.run(1.0)
    w.end("b")
    w.places["b"].disk = copy
    w.start("b")
    w.run(4.0)
    client = w.places["b"].client
    assert client is not None and client.voter is not None
    assert client.voter.id != copy.id and client.voter.id in w.raft().voters
    wait_until_all_held(w)


def test_without_the_check_of_saves_a_restored_voter_votes_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseClient, "_has_all_saves", lambda *_args: True)
    with pytest.raises(AssertionError):
        test_voter_restored_from_an_older_disk_copy_rejoins_with_a_new_disk()


def test_blank_disk_under_an_old_name_is_a_new_voter() -> None:
    w = world()
    old = w.places["c"].disk
    w.end("c")
    w.start("c", blank=True)
    w.run(3.0)
    new = w.places["c"].disk
    assert old is not None and new is not None and new.id != old.id
    voters = w.raft().voters
    assert new.id in voters and old.id not in voters and len(voters) == 3


def test_without_a_majority_no_lease_is_held_until_a_majority_returns() -> None:
    w = world()
    w.end("a")
    w.end("b")
    w.run(1.5)
    assert w.held() == {}
    reports = [
        p.client.explain_holder(w.clock(p), "l0")
        for p in w.places.values()
        if p.client and p.client.voter
    ]
    assert any("a majority" in line for lines in reports for line in lines)
    wait_until_all_held(w)


def test_voters_change_one_at_a_time_without_losing_leases() -> None:
    w = LeaseWorld("abcde", "a", 2)
    w.found()
    w.want(LEASES)
    for voters in ("abc", "abcde", "abd", "b"):
        w.voters = tuple(voters)
        for place in w.places.values():
            client = place.client
            assert client is not None
            client.wanted_voters = w.voters
            if client.should_vote and client.voter is None:
                w.mount(place)
            w.look_at(place, w.now)
        w.run(4.0)
        names = sorted(v[0] for v in w.raft().voters)
        assert "".join(names) == voters
        assert all_held(w)


def test_groups_that_meet_do_not_merge_their_voters() -> None:
    w = world(names="abcdef", voters="abc")
    other = w.places["d"]
    assert other.client is not None
    other.client.wanted_voters = ("d",)
    w.mount(other)
    w.run(0.1)
    assert "is in group" not in other.client.found(w.clock(other), "group-2")
    other.client.wanted_voters = tuple("abcd")
    w.run(3.0)
    assert other.client.voter is not None and other.client.voter.raft.voters == (
        other.client.voter.id,
    )
    assert len(w.raft().voters) == 3


def test_instance_with_another_lease_duration_is_ignored() -> None:
    w = world()
    client = w.places["e"].client
    assert client is not None
    client.terms = replace(TERMS, duration_ns=2 * SECOND)
    client.holder.terms = client.terms
    w.run(3.0)
    assert "e" not in w.held().values()
    assert sum(p.client.counts["length"] for p in w.places.values() if p.client) > 0


def test_request_under_another_holders_id_is_refused() -> None:
    w = world()
    w.run(12.0)  # until every lease is at the member that ranks first for it
    mine, other = w.places["d"].client, w.places["e"].client
    assert mine is not None and other is not None
    give = tuple((n, t, mine.holder.name) for n, t in w.leader_table() if n in w.held())
    ask = LeaseRequest(other.holder.name, 1 << 40, (), give)
    mine.send(w.clock(w.places["d"]), mine.holder.name, w.leader().name, ask)
    w.flush(w.places["d"])
    table = w.leader_table()
    w.run(0.02)
    assert w.client(w.leader().name).counts["stale"] > 0 and w.leader_table() == table


def test_one_way_cut_causes_no_repeated_elections() -> None:
    w = world()
    leader = w.leader()
    unreachable = next(n for n in "abc" if n != leader.name)
    # It receives nothing from the leader, but all others receive its messages.
    w.cut = {(leader.name, unreachable)}
    before = w.raft().term
    w.run(10.0)
    assert w.raft().term <= before + 1
    assert all_held(w)
    # The replies do not reach it either, so its requests must not renew its leases.
    assert unreachable not in w.held().values()


def test_without_the_check_for_lost_replies_a_lease_stays_with_an_unreachable_holder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseService, "is_unreachable", lambda *_args: False)
    with pytest.raises(AssertionError):
        test_one_way_cut_causes_no_repeated_elections()


def test_slow_disk_at_one_voter_of_three_delays_no_grant() -> None:
    w = world()
    slow = next(n for n in "abc" if n != w.leader().name)
    w.places[slow].disk_ns = 5 * SECOND
    count = len(w.grants)
    gone = next(n for n in "de" if n in w.held().values())
    w.end(gone)
    w.run(2.0)
    assert all_held(w) and len(w.grants) > count


def test_voter_whose_disk_fails_stops_voting() -> None:
    w = world()
    full = next(n for n in "abc" if n != w.leader().name)
    w.places[full].failing = True
    w.end(next(n for n in "de"))
    w.run(3.0)
    client = w.places[full].client
    assert client is not None and client.voter is None and "disk" in client.voter_down_reason
    assert all_held(w)
    wait_until_all_held(w)


def test_leases_of_a_dead_holder_are_spread_with_few_messages() -> None:
    w = LeaseWorld("abcdefgh", "abc", 4, watched=False)
    w.found()
    w.want([f"big-{n}" for n in range(1000)])
    w.run(4.0)
    held = w.held()
    most = max(set(held.values()), key=lambda n: (n not in "abc", list(held.values()).count(n)))
    count = list(held.values()).count(most)
    assert count > 50
    before = w.sent["all"]
    w.end(most)
    w.run(2.0)
    after = list(w.held().values())
    assert len(after) == 1000 and most not in after
    counts = [after.count(n) for n in set(after)]
    assert max(counts) < 2.5 * 1000 / 7
    # In two seconds the seven others send eight renewals each, and the log and the grants are
    # replicated. One message per lease and instance would be far more.
    assert w.sent["all"] - before < 1500


def test_draining_instance_hands_its_leases_over_within_half_a_second() -> None:
    w = world()
    w.run(12.0)
    draining = next(n for n in "de" if n in w.held().values())
    mine = [n for n, who in w.held().items() if who == draining]
    client = w.places[draining].client
    assert client is not None
    began = w.now
    client.placement.draining = True
    w.know()
    w.run(1.0)
    assert draining not in w.held().values() and all_held(w)
    took = [at - began for at, name, _ in w.grants if at > began and name in mine]
    assert len(took) >= len(mine) and max(took) < SECOND // 2


def test_refounded_group_grants_tokens_beyond_all_earlier_ones() -> None:
    w = world()
    newest = max(w.newest.values())
    w.end("a")
    w.end("b")
    w.run(2.0)
    place = w.places["c"]
    assert place.client is not None
    place.client.wanted_voters = ("c",)
    assert place.client.refound(w.clock(place), "group-2") == ""
    w.flush(place)
    for other in w.places.values():
        if other.client is not None:
            other.client.wanted_voters = ("c",)
        w.look_at(other, w.now)
    w.run(3.0)
    assert all_held(w)
    assert all(w.newest[n] > newest + (1 << 31) for n in LEASES)


def test_ranking_names_three_members_per_lease_and_a_join_adds_to_no_other() -> None:
    names, members = [f"t{n}" for n in range(300)], [f"m{n}" for n in range(20)]
    ranking = Ranking()
    ranking.update(names, members)
    before = {m: ranking.names_ranked_first(m) for m in members}
    assert sum(map(len, before.values())) == CANDIDATE_COUNT * len(names)
    ranking.update(names, [*members, "new"])
    assert all(ranking.names_ranked_first(m) <= before[m] for m in members)
    ranking.update(names, members)
    fresh = Ranking()
    fresh.update(names, members)
    assert (
        {m: ranking.names_ranked_first(m) for m in members}
        == {m: fresh.names_ranked_first(m) for m in members}
        == before
    )


def test_fragments_are_reassembled_in_any_order_and_only_when_complete() -> None:
    data = bytes(range(256)) * 20
    rows = split_message(data)
    fragments = [Fragment("g", "s", "t", 0, 1, 7, n, len(rows), d) for n, d in enumerate(rows)]
    reassembly = Reassembly()
    for fragment in (*fragments[:0:-1], fragments[1]):
        assert reassembly.take(0, b"life", fragment) is None
    assert reassembly.take(0, b"life", fragments[0]) == data
    assert reassembly.take(0, b"life", fragments[0]) is None
    assert max(map(len, rows)) == FRAGMENT_BYTES
    with pytest.raises(ValueError, match="at most"):
        split_message(bytes(5_000_000))


def test_blank_disk_can_be_founded_only_once() -> None:
    client = LeaseClient("a", b"1" * 16, ("a",), TERMS, Random(1))
    assert "no voter here" in client.found(0, "g")
    client.start_voter(0, DiskContents("a/1"))
    assert client.found(0, "g") == ""
    assert "being written" in client.found(0, "h") or "already" in client.found(0, "h")


def test_handed_over_lease_is_unusable_at_once() -> None:
    w = world()
    name, who = next(iter(w.held().items()))
    client, place = w.client(who), w.places[who]
    to = next(n for n in w.places if n != who)
    assert client.hand_over(w.clock(place), name, to) == ""
    assert client.usable_token(w.clock(place), name) == 0
    # The caller ends the task of each lease that take_lost returns.
    assert client.take_lost(w.clock(place)) == [name]
    assert "not held" in client.hand_over(w.clock(place), name, to)
    assert "no member" in client.hand_over(
        w.clock(place), next(iter(client.holder.leases)), "nobody"
    )


def test_lease_with_a_home_address_returns_there_with_one_move() -> None:
    w = LeaseWorld("abcd", "abc", 1)
    w.found()
    for place in w.places.values():
        w.client(place.name).placement.home_addresses = {"home": "d"}
    w.want(["home"])
    w.run(4.0)
    assert w.held() == {"home": "d"}
    w.end("d")
    w.run(5.0)
    substitute = w.held()["home"]
    assert substitute != "d"
    w.start("d")
    w.client("d").placement.home_addresses = {"home": "d"}
    w.run(14.0)
    assert w.held() == {"home": "d"}  # back at its home address
    assert [who for _, name, who in w.grants if name == "home"] == ["d", substitute, "d"]
