"""Deals, subsets, turns and signals: the sums, the moves, the one that is wrong."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansywood.fleet import turns
from tansywood.fleet.allocation import floor_of, slice_of
from tansywood.fleet.maxmin import allocate, max_min_shares
from tansywood.fleet.messages import Observation
from tansywood.fleet.settings import faults
from tansywood.fleet.signals import FRESH, Kind, Signals
from tansywood.fleet.subsets import assigned_servers, deterministic, overlapped, rendezvous
from tansywood.fleet.terms import SECOND, GrantTerms

NEEDS = st.dictionaries(st.integers(0, 30), st.integers(0, 10_000), min_size=1, max_size=20)


@given(NEEDS, st.integers(0, 20_000))
def test_a_deal_gives_all_and_no_more(needs: dict[int, int], total: int) -> None:
    credit: dict[int, float] = {}
    had: dict[int, int] = {}
    for _ in range(3):
        had = allocate(total, needs, credit, had)
        assert sum(had.values()) == total
        assert min(had.values()) >= 0


@given(NEEDS, st.integers(1, 20_000))
def test_nobody_has_more_than_another_that_goes_short(needs: dict[int, int], total: int) -> None:
    parts = max_min_shares(total, needs)
    for k in needs:
        for other in needs:
            if parts[k] < needs[k] - 1e-6:
                assert parts[other] <= parts[k] + 1e-6


def test_units_too_few_to_split_go_round() -> None:
    credit: dict[str, float] = {}
    had: dict[str, int] = {}
    total: Counter[str] = Counter()
    moves = 0
    for _ in range(200):
        new = allocate(1, {"a": 1, "b": 1, "c": 1}, credit, had)
        moves += new != had
        had = new
        total.update(new)
    assert max(total.values()) - min(total.values()) <= 10
    assert moves < 60  # and not each time


@given(st.integers(0, 10_000), st.integers(1, 9), st.text(max_size=20))
def test_slices_sum_to_the_whole(whole: int, allocators: int, key: str) -> None:
    slices = [slice_of(key, whole, allocators, i) for i in range(allocators)]
    assert sum(slices) == whole
    assert max(slices) - min(slices) <= 1
    assert all(floor_of(s) <= s for s in slices)


SERVERS = {f"s-{n}": 1.0 for n in range(60)}
NAMES = [f"i{n}" for n in range(30)]


def test_a_join_moves_nobody_elses_subset() -> None:
    before = {n: rendezvous(n, SERVERS, 12) for n in NAMES}
    assert {n: rendezvous(n, SERVERS, 12) for n in [*NAMES, "new"] if n != "new"} == before
    # A server that leaves moves one place of those that had it, about 1/5 of them.
    left = {s: w for s, w in SERVERS.items() if s != "s-7"}
    moved = [n for n in NAMES if set(before[n]) - set(rendezvous(n, left, 12)) - {"s-7"}]
    assert not moved


def test_subsets_are_balanced_as_stated() -> None:
    ours = Counter(s for n in NAMES for s in rendezvous(n, SERVERS, 12))
    dealt = Counter(s for n in NAMES for s in deterministic(n, NAMES, list(SERVERS), 12))
    assert max(dealt.values()) - min(dealt.values()) == 0
    assert len(ours) == 60 and max(ours.values()) <= 3 * 6


def test_heavier_servers_are_in_more_subsets() -> None:
    weights = SERVERS | {"s-0": 4.0}
    used = Counter(s for n in range(400) for s in rendezvous(f"i{n}", weights, 1))
    assert 4.0 / 63 * 400 / 2 < used["s-0"] < 4.0 / 63 * 400 * 2


def test_the_own_zone_comes_first_and_both_subsets_overlap() -> None:
    zones = {s: "east" if int(s[2:]) < 5 else "west" for s in SERVERS}
    assert set(rendezvous("a", SERVERS, 5, zones, "east")) == {f"s-{n}" for n in range(5)}
    assert overlapped(["x"], ["y"], 0, SECOND - 1, SECOND) == ["y", "x"]
    assert overlapped(["x"], ["y"], 0, SECOND, SECOND) == ["y"]
    with pytest.raises(ValueError, match="at least one"):
        rendezvous("a", SERVERS, 0)


def test_every_server_is_used_and_by_no_more_than_it_has_places() -> None:
    members = [f"i{n:03}" for n in range(50)]
    subsets = {m: assigned_servers(m, members, SERVERS, 6) for m in members}
    used = Counter(s for some in subsets.values() for s in some)
    assert set(used) == set(SERVERS)
    assert all(6 <= n <= 7 for n in used.values())  # one more where nobody chose somebody
    assert all(subsets.values())
    joined = {m: assigned_servers(m, [*members, "new"], SERVERS, 6) for m in [*members, "new"]}
    moved = sum(len(set(subsets[m]) - set(joined[m])) for m in members)
    assert 0 < moved <= 2.5 * 60 * 6 / 51  # about 1/n
    few = {m: assigned_servers(m, members, {"s-0": 1.0}, 3) for m in members}
    assert all(few.values())  # 50 and three: all know where to wait
    assert assigned_servers("a", ["a"], SERVERS, 0) == sorted(SERVERS)


def test_a_turn_passes_on_and_comes_back() -> None:
    members = [f"m{n}" for n in range(9)]
    tasks = [f"t{n}" for n in range(900)]
    first = {t: turns.rank_members(t, members)[0] for t in tasks}
    assert max(Counter(first.values()).values()) < 2 * 100  # spread
    gone = first["t0"]
    rest = [m for m in members if m != gone]
    moved = [t for t in tasks if turns.rank_members(t, rest)[0] != first[t]]
    assert {first[t] for t in moved} == {gone}  # only its own
    waits = sorted(turns.takeover_delay("t0", members, m) for m in members)
    assert waits[0] == 0 and waits[1] == SECOND and waits[-1] == 3 * SECOND
    phases = {turns.phase_offset(m, 1000) // 100 for m in (f"x{n}" for n in range(100))}
    assert len(phases) > 8


def told(signals: Signals, source: int, now: int = 0, **kinds: Kind) -> None:
    rows = [Observation(f"cork/{s}", int(kind), 0) for s, kind in kinds.items()]
    signals.record(now, bytes([source]) * 16, rows)


def test_one_wrong_instance_takes_no_server_away() -> None:
    s = Signals()
    told(s, 1, a=Kind.EJECTED, b=Kind.EJECTED, c=Kind.EJECTED)  # its own network card
    told(s, 2, a=Kind.ANSWERED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert s.doubted(0, ["cork"]) == []
    told(
        s, 3, a=Kind.EJECTED, b=Kind.EJECTED, c=Kind.ANSWERED
    )  # wrong as well, and more than half of it
    assert s.doubted(0, ["cork"]) == []
    told(s, 4, a=Kind.EJECTED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert s.doubted(0, ["cork"]) == []  # one sound source alone
    told(s, 5, a=Kind.EJECTED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert s.doubted(0, ["cork"]) == ["cork/a"]
    assert s.doubted(0, ["dublin"]) == []
    assert s.doubted(FRESH + 1, ["cork"]) == []  # it is not believed for ever


def test_old_evidence_after_newer_changes_nothing() -> None:
    s = Signals()
    one, two = b"1" * 16, b"2" * 16
    now = 10 * SECOND
    s.record(now, one, [Observation("cork/a", int(Kind.ANSWERED), 0)])
    s.record(now, one, [Observation("cork/a", int(Kind.EJECTED), SECOND)])
    s.record(now, two, [Observation("cork/a", int(Kind.EJECTED), 0)])
    assert s.doubted(now, ["cork"]) == []
    assert s.recovered(now, [Observation("cork/a", int(Kind.EJECTED), 0)]) == ["cork/a"]
    s.sweep(now + FRESH + 1)
    assert s.recovered(now, [Observation("cork/a", int(Kind.EJECTED), 0)]) == []


def test_faults_of_the_section_name_place_and_remedy() -> None:
    found = faults({"address": "300.0.0.1:80", "first": ["10.0.0.1:0", "10.0.0.1:70000"]})
    assert [f.path for f in found] == ["/fleet/address", "/fleet/first/0", "/fleet/first/1"]
    assert all(f.allowed for f in found)
    found = faults({"voters": ["a", "b"], "hand_on": True, "lease_ms": 1000})
    assert [f.path for f in found] == ["/fleet/voters", "/fleet/lease_ms"]
    assert [f.path for f in faults({"hand_on": True})] == ["/fleet/hand_on"]


def test_terms_that_cannot_hold_are_refused() -> None:
    for over in (
        {"claim_interval_ns": SECOND},
        {"max_clock_skew": 0.5},
        {"min_remaining_ns": SECOND},
    ):
        with pytest.raises(ValueError):
            GrantTerms(**over)
