"""What the roles measure with: counted bytes are those that leave, documents are sound."""

from __future__ import annotations

import json

import pytest

from benchmarks.scale import discovery, knowledge, limits, model, shipped, signals
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Finding, Resource, Series, Source
from benchmarks.scale.processes import small_document
from tansywood.tenancy.checks import faults

LISTENERS = frozenset({"public"})


@pytest.mark.parametrize("size", [0, 1, 200, 1200])
def test_a_sealed_message_is_longer_by_what_is_counted(size: int) -> None:
    assert len(shipped.seal_of(1).seal(b"x" * size)) == size + shipped.SEAL_BYTES


def test_a_fleet_that_is_acquainted_knows_all_and_has_no_news() -> None:
    world = shipped.fleet_world(9, 3, (), (), 1)
    assert shipped.knows_all(world)
    assert all(not s.instance.members._send_counts for s in world.hosts.values() if s.instance)


def test_what_is_sent_is_received_where_nothing_is_lost() -> None:
    world = shipped.fleet_world(5, 3, (), shipped.tenant_names(2), 1)
    world.run(5.0)
    assert sum(world.bytes_sent.values()) == sum(world.bytes_received.values()) > 0
    assert sum(world.bytes_by_kind.values()) == sum(world.bytes_sent.values())


def test_a_dead_one_is_lost_by_all_others_and_no_other_is() -> None:
    world = shipped.fleet_world(6, 3, (), (), 1)
    world.run(5.0)
    names = list(world.hosts)
    world.kill(names[-1])
    world.run(30.0)
    assert shipped.lost_by(world, names[-1:]) == set(names[:-1])
    assert shipped.lost_by(world, names[:1]) == set()


def test_an_instance_knows_as_many_as_it_is_told_of() -> None:
    assert len(shipped.instance_that_knows(300).members.live()) == 300


@pytest.mark.parametrize(("classes", "servers"), [(1, 1), (16, 1), (1, 32)])
def test_documents_are_sound(classes: int, servers: int) -> None:
    made = small_document("tenant-000001", classes, servers)
    assert not faults(made, LISTENERS)


def test_rows_of_the_list_are_read_and_are_all_others() -> None:
    rows = [discovery.row(n) for n in range(1000)]
    assert len({row["uid"] for row in rows}) == len({row["endpoint"] for row in rows}) == 1000
    assert discovery.cost(200).list_bytes == len(
        json.dumps({"rev": 2, "all": True, "targets": rows[:200]})
    )


def test_a_home_s_evidence_is_of_every_server_and_source() -> None:
    assert len(signals.filled(50)._words) == 50
    assert all(len(by) == signals.SOURCES for by in signals.filled(5)._words.values())


def test_a_holder_is_told_apart_from_a_home() -> None:
    made = limits.play(4, 3, 1, 0)
    assert 0 < made.holder_sent < made.home_sent


def finding(name: str, slope: float) -> Finding:
    points = tuple(Point(n, 1000 + slope * n) for n in (1, 2, 3, 4))
    return judge(Series(name, name, "x", Resource.MEMORY, Source.WHOLE, points, 10.0))


def test_a_tenant_s_route_backend_and_key_are_counted_once() -> None:
    slopes = {"memory": 100.0, "routes": 10.0, "backends": 20.0, "keys": 30.0}
    found = {name: finding(name, slope) for name, slope in slopes.items()}
    # One tenant with a route, a backend and a key is what a measured tenant is.
    assert knowledge.together(found, 1, 1, 1) == pytest.approx(100.0)
    assert knowledge.together(found, 1, 2, 1) == pytest.approx(110.0)
    assert knowledge.together(found, 2, 0, 0) == pytest.approx(2 * 70.0)


def test_the_size_expected_is_the_letter_s() -> None:
    assert (model.NODES, model.BACKENDS, model.TENANTS) == (3_600, 51_000, 110_000)
    assert model.TENANTS_PER_NODE == 92
    assert round(model.MEAN_REQUESTS) == 122
    assert round(model.SECONDS_PER_RESTART) == 20
