"""What the store holds against what the API answered: a call for each change, and the reverse."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from standins.scale.calls import Call, Mark
from standins.scale.changes import ChangeKind, PlannedChange
from standins.scale.documents import document, records
from standins.scale.plan import Size, uid_of
from standins.scale.publisher import fill
from standins.scale.records import digest_of_view, generation_of
from standins.scale.trail import read_durable
from tansywood.distribution.resources import encode
from tansywood.store import Batch, Store
from tansywood.tenancy.registry import Actor, Change, Registry

SIZE = Size(nodes=11, distributors=3, tenants=30, seconds=10, processes=1)
ACTOR = Actor("rigoperator1", "operator", "", 1)


class Desk:
    """An administration's registry and store, and the calls that were answered."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "state"
        fill(self.path, SIZE, 1)
        with Store.open(self.path) as store:
            self.registry = Registry.load(store.scan())
        self.calls: list[Call] = []

    def do(self, tenant: int, kind: ChangeKind, mark: Callable[[Change], Mark]) -> Change:
        change = self._command(tenant, kind)
        with Store.open(self.path) as store:
            batch = Batch()
            for key, value in change.puts.items():
                batch.delete(key) if value is None else batch.put(key, value)
            store.sync(store.write(batch))
        self.registry.apply(change)
        planned = PlannedChange(0.0, tenant, kind)
        self.calls.append(Call(planned, 100 + change.seq, 200, mark(change)))
        return change

    def _command(self, number: int, kind: ChangeKind) -> Change:
        registry = self.registry
        if kind in (ChangeKind.CREATE, ChangeKind.RECREATE):
            return registry.create(ACTOR, document(number, Random(1)), "createduid01")
        tenant = registry.tenants[registry.names[uid_of(number)]]
        if kind is ChangeKind.ISSUE:
            return registry.issue(ACTOR, tenant, "caller", "", "calleruse001", "s" * 43)
        if kind is ChangeKind.REVOKE:
            return registry.revoke(ACTOR, registry.keys["calleruse001"])
        if kind is ChangeKind.DELETE:
            return registry.delete(ACTOR, tenant, "*")
        limits = tenant.document["limits"] | {"rate_per_s": 7.0}
        return registry.change(ACTOR, tenant, tenant.document | {"limits": limits}, "*")


def etag(change: Change) -> Mark:
    assert change.after is not None
    return "version", change.after.etag


@pytest.fixture
def desk(tmp_path: Path) -> Desk:
    made = Desk(tmp_path)
    made.do(3, ChangeKind.CHANGE, etag)
    made.do(3, ChangeKind.ISSUE, lambda _: ("issue", "calleruse001"))
    made.do(3, ChangeKind.REVOKE, lambda _: ("revoke", "calleruse001"))
    made.do(4, ChangeKind.DELETE, lambda _: ("delete", uid_of(4)))
    made.do(4, ChangeKind.RECREATE, etag)
    return made


def test_each_change_is_told_with_the_beginning_of_its_call(desk: Desk) -> None:
    durable = read_durable(desk.path, desk.calls)
    assert not durable.problems
    assert [row.kind for row in durable.committed] == [call.change.kind for call in desk.calls]
    assert [row.revision for row in durable.committed] == list(range(31, 36))
    assert [row.at for row in durable.committed] == [100 + n for n in range(31, 36)]
    generations = [row.generation for row in durable.committed]
    assert generations[:3] == [generation_of(uid_of(3))] * 3
    assert generations[3:] == [generation_of(uid_of(4)), generation_of("createduid01")]


def test_what_is_published_is_what_nodes_are_told(desk: Desk) -> None:
    durable = read_durable(desk.path, desk.calls)
    registry = desk.registry
    assert len(durable.published) == SIZE.tenants
    for row in durable.published:
        uid = registry.names[uid_of(row.tenant)]
        body = encode(uid, 1, registry.view(uid)).body
        assert row.digest == digest_of_view(body)


def test_a_call_that_was_answered_and_is_not_durable_is_a_problem(desk: Desk) -> None:
    lost = Call(PlannedChange(0.0, 5, ChangeKind.CHANGE), 1, 2, ("version", '"000005.2"'))
    assert len(read_durable(desk.path, [*desk.calls, lost]).problems) == 1


def test_a_change_that_nobody_called_for_is_a_problem(desk: Desk) -> None:
    assert len(read_durable(desk.path, desk.calls[:-1]).problems) == 1


def test_the_store_is_filled_with_all_records(tmp_path: Path) -> None:
    fill(tmp_path / "state", SIZE, 1)
    with Store.open(tmp_path / "state") as store:
        kept = dict(store.scan())
    wanted = dict(records(SIZE.tenants, 1))
    assert wanted.items() <= kept.items()
    assert len(kept) == len(wanted) + 1  # the operator's key
