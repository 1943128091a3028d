"""Pure rules of the fleet: allocation, subsets, turns, evidence, settings and grant terms."""

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
from tansywood.fleet.signals import EVIDENCE_LIFETIME_NS, Kind, Signals
from tansywood.fleet.subsets import assigned_servers, deterministic, rendezvous, with_overlap
from tansywood.fleet.terms import SECOND, GrantTerms

NEEDS = st.dictionaries(st.integers(0, 30), st.integers(0, 10_000), min_size=1, max_size=20)


@given(NEEDS, st.integers(0, 20_000))
def test_allocation_grants_exactly_the_total(needs: dict[int, int], total: int) -> None:
    credit: dict[int, float] = {}
    granted: dict[int, int] = {}
    for _ in range(3):
        granted = allocate(total, needs, credit, granted)
        assert sum(granted.values()) == total
        assert min(granted.values()) >= 0


@given(NEEDS, st.integers(1, 20_000))
def test_max_min_shares_give_no_member_more_than_an_unsatisfied_one(
    needs: dict[int, int], total: int
) -> None:
    shares = max_min_shares(total, needs)
    for k in needs:
        for other in needs:
            if shares[k] < needs[k] - 1e-6:
                assert shares[other] <= shares[k] + 1e-6


def test_single_unit_rotates_between_claimants() -> None:
    credit: dict[str, float] = {}
    granted: dict[str, int] = {}
    total: Counter[str] = Counter()
    moves = 0
    for _ in range(200):
        new = allocate(1, {"a": 1, "b": 1, "c": 1}, credit, granted)
        moves += new != granted
        granted = new
        total.update(new)
    assert max(total.values()) - min(total.values()) <= 10
    assert moves < 60  # the unit does not move at every allocation


@given(st.integers(0, 10_000), st.integers(1, 9), st.text(max_size=20))
def test_slices_sum_to_the_limit_and_differ_by_one_at_most(
    whole: int, allocators: int, key: str
) -> None:
    slices = [slice_of(key, whole, allocators, i) for i in range(allocators)]
    assert sum(slices) == whole
    assert max(slices) - min(slices) <= 1
    assert all(floor_of(s) <= s for s in slices)


SERVERS = {f"s-{n}": 1.0 for n in range(60)}
NAMES = [f"i{n}" for n in range(30)]


def test_join_or_server_removal_moves_no_other_rendezvous_choice() -> None:
    before = {n: rendezvous(n, SERVERS, 12) for n in NAMES}
    assert {n: rendezvous(n, SERVERS, 12) for n in [*NAMES, "new"] if n != "new"} == before
    # Removing a server replaces only that server, in the subsets that had it (about 1/5).
    left = {s: w for s, w in SERVERS.items() if s != "s-7"}
    moved = [n for n in NAMES if set(before[n]) - set(rendezvous(n, left, 12)) - {"s-7"}]
    assert not moved


def test_subsets_use_servers_within_the_stated_balance() -> None:
    rendezvous_counts = Counter(s for n in NAMES for s in rendezvous(n, SERVERS, 12))
    deterministic_counts = Counter(
        s for n in NAMES for s in deterministic(n, NAMES, list(SERVERS), 12)
    )
    assert max(deterministic_counts.values()) - min(deterministic_counts.values()) == 0
    assert len(rendezvous_counts) == 60 and max(rendezvous_counts.values()) <= 3 * 6


def test_servers_are_chosen_in_proportion_to_their_weight() -> None:
    weights = SERVERS | {"s-0": 4.0}
    used = Counter(s for n in range(400) for s in rendezvous(f"i{n}", weights, 1))
    assert 4.0 / 63 * 400 / 2 < used["s-0"] < 4.0 / 63 * 400 * 2


def test_own_zone_comes_first_and_old_and_new_subsets_overlap() -> None:
    zones = {s: "east" if int(s[2:]) < 5 else "west" for s in SERVERS}
    assert set(rendezvous("a", SERVERS, 5, zones, "east")) == {f"s-{n}" for n in range(5)}
    assert with_overlap(["x"], ["y"], 0, SECOND - 1, SECOND) == ["y", "x"]
    assert with_overlap(["x"], ["y"], 0, SECOND, SECOND) == ["y"]
    with pytest.raises(ValueError, match="at least one"):
        rendezvous("a", SERVERS, 0)


def test_every_server_is_assigned_to_about_as_many_instances_as_places() -> None:
    members = [f"i{n:03}" for n in range(50)]
    subsets = {m: assigned_servers(m, members, SERVERS, 6) for m in members}
    used = Counter(s for some in subsets.values() for s in some)
    assert set(used) == set(SERVERS)
    # A server has one more where it takes an instance that no server chose.
    assert all(6 <= n <= 7 for n in used.values())
    assert all(subsets.values())
    joined = {m: assigned_servers(m, [*members, "new"], SERVERS, 6) for m in [*members, "new"]}
    moved = sum(len(set(subsets[m]) - set(joined[m])) for m in members)
    assert 0 < moved <= 2.5 * 60 * 6 / 51  # about 1/n
    crowded = {m: assigned_servers(m, members, {"s-0": 1.0}, 3) for m in members}
    assert all(crowded.values())  # 50 instances, three places: every one has a server to queue at
    assert assigned_servers("a", ["a"], SERVERS, 0) == sorted(SERVERS)


def test_turns_spread_evenly_and_only_a_lost_members_turns_move() -> None:
    members = [f"m{n}" for n in range(9)]
    tasks = [f"t{n}" for n in range(900)]
    first = {t: turns.rank_members(t, members)[0] for t in tasks}
    assert max(Counter(first.values()).values()) < 2 * 100  # tasks are spread evenly
    gone = first["t0"]
    rest = [m for m in members if m != gone]
    moved = [t for t in tasks if turns.rank_members(t, rest)[0] != first[t]]
    assert {first[t] for t in moved} == {gone}  # only the lost member's tasks
    waits = sorted(turns.takeover_delay("t0", members, m) for m in members)
    assert waits[0] == 0 and waits[1] == SECOND and waits[-1] == 3 * SECOND
    phases = {turns.phase_offset(m, 1000) // 100 for m in (f"x{n}" for n in range(100))}
    assert len(phases) > 8


def report(signals: Signals, source: int, now: int = 0, **kinds: Kind) -> None:
    rows = [Observation(f"cork/{s}", int(kind), 0) for s, kind in kinds.items()]
    signals.record(now, bytes([source]) * 16, rows)


def test_one_faulty_source_makes_no_server_doubted() -> None:
    signals = Signals()
    # Source 1 is at fault: it reports all of its servers as ejected.
    report(signals, 1, a=Kind.EJECTED, b=Kind.EJECTED, c=Kind.EJECTED)
    report(signals, 2, a=Kind.ANSWERED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert signals.doubted(0, ["cork"]) == []
    # Source 3 is at fault too: it reports more than half of its servers as ejected.
    report(signals, 3, a=Kind.EJECTED, b=Kind.EJECTED, c=Kind.ANSWERED)
    assert signals.doubted(0, ["cork"]) == []
    report(signals, 4, a=Kind.EJECTED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert signals.doubted(0, ["cork"]) == []  # a single credible source
    report(signals, 5, a=Kind.EJECTED, b=Kind.ANSWERED, c=Kind.ANSWERED)
    assert signals.doubted(0, ["cork"]) == ["cork/a"]
    assert signals.doubted(0, ["dublin"]) == []
    assert signals.doubted(EVIDENCE_LIFETIME_NS + 1, ["cork"]) == []  # evidence expires


def test_older_evidence_after_newer_changes_nothing() -> None:
    signals = Signals()
    one, two = b"1" * 16, b"2" * 16
    now = 10 * SECOND
    signals.record(now, one, [Observation("cork/a", int(Kind.ANSWERED), 0)])
    signals.record(now, one, [Observation("cork/a", int(Kind.EJECTED), SECOND)])
    signals.record(now, two, [Observation("cork/a", int(Kind.EJECTED), 0)])
    assert signals.doubted(now, ["cork"]) == []
    assert signals.recovered(now, [Observation("cork/a", int(Kind.EJECTED), 0)]) == ["cork/a"]
    signals.sweep(now + EVIDENCE_LIFETIME_NS + 1)
    assert signals.recovered(now, [Observation("cork/a", int(Kind.EJECTED), 0)]) == []


def test_settings_faults_name_path_and_allowed_values() -> None:
    found = faults({"address": "300.0.0.1:80", "first": ["10.0.0.1:0", "10.0.0.1:70000"]})
    assert [f.path for f in found] == ["/fleet/address", "/fleet/first/0", "/fleet/first/1"]
    assert all(f.allowed for f in found)
    found = faults({"voters": ["a", "b"], "hand_on": True, "lease_ms": 1000})
    assert [f.path for f in found] == ["/fleet/voters", "/fleet/lease_ms"]
    assert [f.path for f in faults({"hand_on": True})] == ["/fleet/hand_on"]


def test_inconsistent_grant_terms_are_refused() -> None:
    for values in (
        {"claim_interval_ns": SECOND},
        {"max_clock_skew": 0.5},
        {"min_remaining_ns": SECOND},
    ):
        with pytest.raises(ValueError):
            GrantTerms(**values)
