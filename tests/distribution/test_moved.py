"""An instance that moves to another distributor is counted by that distributor alone."""

from __future__ import annotations

from tansywood.distribution.messages import (
    Acknowledge,
    Epoch,
    Hello,
    Kind,
    Position,
    Resource,
    Rollout,
)
from tansywood.distribution.parameters import MS, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.rollout import RolloutTracker
from tansywood.distribution.source import Source

EPOCH = Epoch(1, b"a")
BEFORE = Position(EPOCH, 1)


def make_source() -> Source:
    replica = Replica(100, EPOCH, 1)
    replica.load([Resource("t1", 1, Kind.CONTENT, b"one")])
    source = Source(replica, Parameters(), 0, is_publisher=False)
    source.serving = True
    return source


def connect_instance(source: Source, name: str) -> int:
    number = source.opened(0)
    source.received(number, 0, Hello(name, position=BEFORE, subscriptions=["t1"]))
    source.received(number, 0, Acknowledge(1))
    return number


def commit_change(source: Source) -> None:
    source.replica.commit(Resource("t1", 2, Kind.CONTENT, b"two"))
    source.changed("t1", 2, MS)


def test_a_disconnected_instance_is_waiting_until_it_connects_elsewhere() -> None:
    source = make_source()
    source.closed(connect_instance(source, "n1"), 0)
    commit_change(source)
    assert source.rollout("t1", 2).lagging == ["n1"]
    source.moved(["n1"])
    assert source.rollout("t1", 2) == Rollout("t1", 2, 0, 0)


def test_a_moved_instance_is_not_waiting_although_its_dead_connection_is_still_open() -> None:
    source = make_source()
    number = connect_instance(source, "n1")
    commit_change(source)
    assert source.rollout("t1", 2).waiting == 1
    source.moved(["n1"])
    assert source.rollout("t1", 2).waiting == 0
    source.closed(number, MS)
    assert source.rollout("t1", 2).waiting == 0


def test_an_instance_that_returned_is_counted_again_after_its_next_message() -> None:
    source = make_source()
    number = connect_instance(source, "n1")
    commit_change(source)
    source.moved(["n1"])
    source.received(number, MS, Acknowledge(2))
    assert source.rollout("t1", 2).have == 1
    source.closed(number, MS)
    source.replica.commit(Resource("t1", 3, Kind.CONTENT, b"three"))
    source.changed("t1", 3, MS)
    assert source.rollout("t1", 3).lagging == ["n1"]


def test_a_move_changes_the_counts_reported_to_the_publisher() -> None:
    source = make_source()
    connect_instance(source, "n1")
    commit_change(source)
    report = source.report(MS)
    assert report is not None
    assert [row.waiting for row in report.rows] == [1]
    source.moved(["n1"])
    report = source.report(MS)
    assert report is not None
    assert [row.waiting for row in report.rows] == [0]


def test_the_previous_distributor_is_told_of_a_move_or_all_others_if_it_is_unknown() -> None:
    tracker = RolloutTracker()
    for name in ("d1", "d2", "d3"):
        tracker.connected(name)
    assert tracker.instances_joined("d1", ["n1"]) == {"d2": ["n1"], "d3": ["n1"]}
    assert tracker.instances_joined("d1", ["n1"]) == {}
    assert tracker.instances_joined("d2", ["n1"]) == {"d1": ["n1"]}


def test_a_dead_connection_reported_last_after_a_publisher_restart_is_corrected() -> None:
    """After a restart of the publisher both distributors report the same instance. The distributor
    that the instance left has not noticed the dead connection and reports last. The next heartbeat
    of the instance makes the other distributor report it again, which corrects the publisher."""
    previous, current, tracker = make_source(), make_source(), RolloutTracker()
    dead, alive = connect_instance(previous, "n1"), connect_instance(current, "n1")
    for name, source in (("here", current), ("left", previous)):
        tracker.connected(name)
        source.reset_report()
        report = source.report(MS)
        assert report is not None
        for other, names in tracker.instances_joined(name, report.joined).items():
            (previous if other == "left" else current).moved(names)
    current.received(alive, 2 * MS, Acknowledge(1))  # a heartbeat
    report = current.report(2 * MS)
    assert report is not None and report.joined == ["n1"]
    for other, names in tracker.instances_joined("here", report.joined).items():
        (previous if other == "left" else current).moved(names)
    previous.closed(dead, 3 * MS)
    for source in (previous, current):
        commit_change(source)
    current.received(alive, 4 * MS, Acknowledge(2))
    assert current.rollout("t1", 2).have == 1
    assert previous.rollout("t1", 2).lagging == []
