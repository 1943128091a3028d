"""The plan of a run: the same for a seed, everybody somewhere, every fault within the run."""

from __future__ import annotations

from itertools import pairwise

import pytest

from standins.scale.plan import (
    COPIES,
    HOT_TENANTS,
    ZONES,
    ChangeKind,
    CutRegion,
    KillDistributor,
    NodesDown,
    Plan,
    Size,
    SlowReaders,
    StopDistributor,
    draw,
    region_of_distributor,
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
    copies = [0] * FULL.tenants
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


def test_what_is_deleted_does_not_change_otherwise() -> None:
    # Few tenants, so that many changes would hit a deleted one.
    plan = draw(Size(40, 3, 30, 60, 1), 3)
    deleted = [c.tenant for c in plan.changes if c.kind is ChangeKind.DELETE]
    assert deleted and len(set(deleted)) == len(deleted)
    changed = {c.tenant for c in plan.changes if c.kind is ChangeKind.CHANGE}
    assert not changed & set(deleted)


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
    for nodes, distributors, tenants in ((5, 3, 100), (60, 2, 100), (60, 3, HOT_TENANTS)):
        with pytest.raises(ValueError, match="at least"):
            draw(Size(nodes, distributors, tenants, 10, 1), 1)


def test_a_tenants_uid_leads_back_to_it() -> None:
    assert [tenant_of(uid_of(n)) for n in (0, 109_999)] == [0, 109_999]
