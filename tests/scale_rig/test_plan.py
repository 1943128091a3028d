"""The plan of a run: the same for a seed, everybody somewhere, every fault within the run."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest

from standins.scale.changes import APART_S, TENANTS_LEAST, ChangeKind
from standins.scale.places import (
    REGIONS,
    ZONES,
    Delays,
    region_of_distributor,
    region_of_zone,
    zone_of_distributor,
    zone_of_relay,
)
from standins.scale.plan import (
    COPIES,
    CutRegion,
    KillDistributor,
    NodesDown,
    Plan,
    Size,
    SlowReaders,
    StopDistributor,
    draw,
    tenant_of,
    uid_of,
)

FULL = Size(nodes=3600, distributors=15, tenants=2_000, seconds=60, processes=8)


@pytest.fixture(scope="module")
def plan() -> Plan:
    return draw(FULL, 7)


def test_a_seed_gives_the_same_plan_and_another_seed_another(plan: Plan) -> None:
    assert draw(FULL, 7) == plan
    assert draw(FULL, 8) != plan


def test_each_tenant_is_on_as_many_nodes_as_said(plan: Plan) -> None:
    created = sum(change.kind is ChangeKind.CREATE for change in plan.changes)
    copies = [0] * (FULL.tenants + created)
    for node in plan.nodes:
        assert len(set(node.tenants)) == len(node.tenants)
        for tenant in node.tenants:
            copies[tenant] += 1
    assert set(copies) == {COPIES}


def test_each_node_is_in_one_process(plan: Plan) -> None:
    numbers = [node.number for p in range(FULL.processes) for node in plan.nodes_of_process(p)]
    assert sorted(numbers) == list(range(FULL.nodes))


def test_changes_are_a_hundred_times_as_many_as_expected(plan: Plan) -> None:
    assert 180 <= len(plan.changes) <= 250
    assert all(0 <= change.at <= FULL.seconds for change in plan.changes)


def test_each_kind_of_change_comes_many_times() -> None:
    for seed in range(20):
        kinds = Counter(change.kind for change in draw(FULL, seed).changes)
        assert set(kinds) == set(ChangeKind)
        assert min(kinds.values()) >= 8


def test_each_change_has_what_it_needs() -> None:
    # Few tenants and many changes, so that they would often hit the same one.
    for seed in range(20):
        size = Size(40, 3, 60, 60, 1, changes_per_s=20)
        there = dict.fromkeys(range(size.tenants), -APART_S)
        deleted: dict[int, float] = {}
        keys: list[tuple[int, float]] = []
        for change in draw(size, seed).changes:
            at, tenant = change.at, change.tenant
            if change.kind is ChangeKind.CREATE:
                assert tenant not in there and tenant not in deleted
                there[tenant] = at
            elif change.kind is ChangeKind.RECREATE:
                assert deleted.pop(tenant) + APART_S <= at
                there[tenant] = at
            else:
                assert there[tenant] + APART_S <= at
            if change.kind is ChangeKind.DELETE:
                deleted[tenant] = at
                del there[tenant]
            elif change.kind is ChangeKind.ISSUE:
                keys.append((tenant, at))
            elif change.kind is ChangeKind.REVOKE:
                key = next(key for key in keys if key[0] == tenant and key[1] + APART_S <= at)
                keys.remove(key)


def test_what_will_be_deleted_does_not_change_before() -> None:
    plan = draw(Size(40, 3, 60, 60, 1, changes_per_s=20), 3)
    met: set[int] = set()
    for change in plan.changes:
        assert change.kind is not ChangeKind.DELETE or change.tenant not in met
        met.add(change.tenant)


def test_messages_take_as_long_as_their_way() -> None:
    delays = Delays(region_s=0.04, zone_s=0.002)
    assert [delays.one_way_s(0, zone) for zone in (0, 4, 1)] == [0.0, 0.002, 0.04]
    for region in range(REGIONS):
        assert region_of_zone(zone_of_relay(region)) == region
    for number in range(FULL.distributors):
        assert region_of_zone(zone_of_distributor(number)) == region_of_distributor(number)
        assert 0 <= zone_of_distributor(number) < ZONES
    assert {zone_of_distributor(n) for n in range(ZONES)} == set(range(ZONES))


def test_a_full_run_meets_every_kind_of_fault(plan: Plan) -> None:
    def of(kind: type) -> list[object]:
        return [fault for fault in plan.faults if isinstance(fault, kind)]

    assert (len(of(KillDistributor)), len(of(StopDistributor))) == (3, 3)
    assert len(of(CutRegion)) == 1 and len(of(SlowReaders)) == 2
    assert all(0 < fault.at < fault.until < FULL.seconds for fault in plan.faults)
    down = [fault for fault in plan.faults if isinstance(fault, NodesDown)]
    restarted = sum(len(fault.nodes) for fault in down[:-1])
    assert restarted == FULL.nodes // 10
    assert len(down[-1].nodes) in (FULL.nodes // ZONES, FULL.nodes // ZONES + 1)
    (cut,) = (fault for fault in plan.faults if isinstance(fault, CutRegion))
    assert cut.until - cut.at == 20


def test_what_is_killed_or_stopped_lies_outside_the_cut_and_one_at_a_time() -> None:
    for seed in range(20):
        plan = draw(FULL, seed)
        (cut,) = (fault for fault in plan.faults if isinstance(fault, CutRegion))
        away = [f for f in plan.faults if isinstance(f, KillDistributor | StopDistributor)]
        assert all(region_of_distributor(fault.distributor) != cut.region for fault in away)
        assert all(a.until <= b.at for a, b in pairwise(away))


def test_a_size_that_is_too_small_is_refused() -> None:
    for nodes, distributors, tenants in ((5, 3, 100), (60, 2, 100), (60, 3, TENANTS_LEAST - 1)):
        with pytest.raises(ValueError, match="at least"):
            draw(Size(nodes, distributors, tenants, 10, 1), 1)


def test_a_tenants_uid_leads_back_to_it() -> None:
    assert [tenant_of(uid_of(n)) for n in (0, 109_999)] == [0, 109_999]
