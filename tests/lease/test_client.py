"""Lease clients of whole fleets in simulated time: nobody acts beside another, whatever fails."""

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
    """Now, or once a hand-over that is under way has come to its end."""
    for _ in range(10):
        if sorted(w.held()) == LEASES:
            return True
        w.run(0.05)
    return False


def whole(w: LeaseWorld) -> None:
    """Everything is held, by whoever, once all is well for a while."""
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
    raise AssertionError(f"not all is held: {w.held()}")


@pytest.mark.parametrize("seed", range(5))
def test_nobody_acts_beside_another_whatever_fails(seed: int) -> None:
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
    whole(w)
    assert len(w.grants) > 2 * len(LEASES)


def test_without_the_margin_between_two_clocks_it_breaks() -> None:
    def play(skew: float) -> None:
        terms = LeaseTerms(
            duration_ns=SECOND, max_clock_skew_fraction=skew, renew_interval_ns=SECOND // 4
        )
        w = world(3, terms=terms, rates=(1.08, 1.08, 1.08, 0.92, 0.92))
        for name in "dede":
            w.cut = {(name, n) for n in "abc"} | {(n, name) for n in "abc"}
            w.run(2.5)
            w.cut.clear()
            w.run(6.0)

    play(0.16)
    with pytest.raises(Broken):
        play(0.0)


def test_a_voter_restored_from_an_older_copy_is_put_aside_and_taken_in_anew() -> None:
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
    whole(w)


def test_without_a_look_at_what_it_said_before_a_restored_voter_votes_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseClient, "_has_all_saves", lambda *_args: True)
    with pytest.raises(AssertionError):
        test_a_voter_restored_from_an_older_copy_is_put_aside_and_taken_in_anew()


def test_an_empty_disk_under_an_old_name_is_another_voter() -> None:
    w = world()
    old = w.places["c"].disk
    w.end("c")
    w.start("c", blank=True)
    w.run(3.0)
    new = w.places["c"].disk
    assert old is not None and new is not None and new.id != old.id
    voters = w.raft().voters
    assert new.id in voters and old.id not in voters and len(voters) == 3


def test_without_a_majority_nobody_acts_and_all_goes_on_with_one() -> None:
    w = world()
    w.end("a")
    w.end("b")
    w.run(1.5)
    assert w.held() == {}
    told = [
        p.client.explain_holder(w.clock(p), "l0")
        for p in w.places.values()
        if p.client and p.client.voter
    ]
    assert any("a majority" in line for lines in told for line in lines)
    whole(w)


def test_voters_change_one_at_a_time_under_load_from_one_to_five_and_back() -> None:
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


def test_two_groups_that_meet_take_nothing_of_one_another() -> None:
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


def test_who_goes_by_another_length_is_not_heard() -> None:
    w = world()
    client = w.places["e"].client
    assert client is not None
    client.terms = replace(TERMS, duration_ns=2 * SECOND)
    client.holder.terms = client.terms
    w.run(3.0)
    assert "e" not in w.held().values()
    assert sum(p.client.counts["length"] for p in w.places.values() if p.client) > 0


def test_nobody_asks_in_anothers_name() -> None:
    w = world()
    w.run(12.0)  # all is where it belongs
    mine, other = w.places["d"].client, w.places["e"].client
    assert mine is not None and other is not None
    give = tuple((n, t, mine.holder.name) for n, t in w.leader_table() if n in w.held())
    ask = LeaseRequest(other.holder.name, 1 << 40, (), give)
    mine.send(w.clock(w.places["d"]), mine.holder.name, w.leader().name, ask)
    w.flush(w.places["d"])
    table = w.leader_table()
    w.run(0.02)
    assert w.client(w.leader().name).counts["stale"] > 0 and w.leader_table() == table


def test_a_one_way_cut_makes_no_leader_fall_over_and_over() -> None:
    w = world()
    leader = w.leader()
    deaf = next(n for n in "abc" if n != leader.name)
    w.cut = {(leader.name, deaf)}  # it hears nothing of the leader, all hear it
    before = w.raft().term
    w.run(10.0)
    assert w.raft().term <= before + 1
    assert all_held(w)
    # It hears no answer either: what it had is not kept by its asking.
    assert deaf not in w.held().values()


def test_without_a_word_that_answers_are_heard_a_lease_is_stuck(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(LeaseService, "is_unreachable", lambda *_args: False)
    with pytest.raises(AssertionError):
        test_a_one_way_cut_makes_no_leader_fall_over_and_over()


def test_a_slow_disk_at_one_voter_of_three_holds_nobody_up() -> None:
    w = world()
    slow = next(n for n in "abc" if n != w.leader().name)
    w.places[slow].disk_ns = 5 * SECOND
    count = len(w.grants)
    gone = next(n for n in "de" if n in w.held().values())
    w.end(gone)
    w.run(2.0)
    assert all_held(w) and len(w.grants) > count


def test_a_full_disk_is_no_vote_and_no_lie() -> None:
    w = world()
    full = next(n for n in "abc" if n != w.leader().name)
    w.places[full].failing = True
    w.end(next(n for n in "de"))
    w.run(3.0)
    client = w.places[full].client
    assert client is not None and client.voter is None and "disk" in client.voter_down_reason
    assert all_held(w)
    whole(w)


def test_what_a_dead_holder_of_a_thousand_had_is_spread_without_a_storm() -> None:
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
    # Two seconds: eight renewals of seven, the log, and what they got; far from one each.
    assert w.sent["all"] - before < 1500


def test_drained_it_hands_over_without_a_gap_of_a_lease() -> None:
    w = world()
    w.run(12.0)
    one = next(n for n in "de" if n in w.held().values())
    mine = [n for n, who in w.held().items() if who == one]
    client = w.places[one].client
    assert client is not None
    began = w.now
    client.placement.draining = True
    w.know()
    w.run(1.0)
    assert one not in w.held().values() and all_held(w)
    took = [at - began for at, name, _ in w.grants if at > began and name in mine]
    assert len(took) >= len(mine) and max(took) < SECOND // 2


def test_who_goes_on_alone_gives_tokens_beyond_all_that_were_given() -> None:
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


def test_few_ask_for_one_lease_and_a_member_moves_only_its_own() -> None:
    names, members = [f"t{n}" for n in range(300)], [f"m{n}" for n in range(20)]
    ranking = Ranking()
    ranking.update(names, members)
    before = {m: ranking.names_ranked_first(m) for m in members}
    assert sum(map(len, before.values())) == CANDIDATE_COUNT * len(names)
    ranking.update(names, [*members, "new"])
    assert all(ranking.names_ranked_first(m) <= before[m] for m in members)
    ranking.update(names, members)
    anew = Ranking()
    anew.update(names, members)
    assert (
        {m: ranking.names_ranked_first(m) for m in members}
        == {m: anew.names_ranked_first(m) for m in members}
        == before
    )


def test_pieces_come_together_in_any_order_and_a_missing_one_loses_the_whole() -> None:
    data = bytes(range(256)) * 20
    rows = split_message(data)
    fragments = [Fragment("g", "s", "t", 0, 1, 7, n, len(rows), d) for n, d in enumerate(rows)]
    pieces = Reassembly()
    for fragment in (*fragments[:0:-1], fragments[1]):
        assert pieces.take(0, b"life", fragment) is None
    assert pieces.take(0, b"life", fragments[0]) == data
    assert pieces.take(0, b"life", fragments[0]) is None
    assert max(map(len, rows)) == FRAGMENT_BYTES
    with pytest.raises(ValueError, match="at most"):
        split_message(bytes(5_000_000))


def test_a_blank_disk_is_founded_once() -> None:
    client = LeaseClient("a", b"1" * 16, ("a",), TERMS, Random(1))
    assert "no voter here" in client.found(0, "g")
    client.start_voter(0, DiskContents("a/1"))
    assert client.found(0, "g") == ""
    assert "being written" in client.found(0, "h") or "already" in client.found(0, "h")


def test_what_is_handed_over_ends_here_at_once() -> None:
    w = world()
    name, who = next(iter(w.held().items()))
    client, place = w.client(who), w.places[who]
    to = next(n for n in w.places if n != who)
    assert client.hand_over(w.clock(place), name, to) == ""
    assert client.usable_token(w.clock(place), name) == 0
    assert client.take_lost(w.clock(place)) == [name]  # its task is ended by this
    assert "not held" in client.hand_over(w.clock(place), name, to)
    assert "no member" in client.hand_over(
        w.clock(place), next(iter(client.holder.leases)), "nobody"
    )


def test_only_its_owner_asks_for_a_lease_that_belongs_to_one_while_that_is_there() -> None:
    w = LeaseWorld("abcd", "abc", 1)
    w.found()
    for place in w.places.values():
        w.client(place.name).placement.home_addresses = {"home": "d"}
    w.want(["home"])
    w.run(4.0)
    assert w.held() == {"home": "d"}
    w.end("d")
    w.run(5.0)
    stand_in = w.held()["home"]
    assert stand_in != "d"
    w.start("d")
    w.client("d").placement.home_addresses = {"home": "d"}
    w.run(14.0)
    assert w.held() == {"home": "d"}  # back where it belongs, by one move
    assert [who for _, name, who in w.grants if name == "home"] == ["d", stand_in, "d"]
