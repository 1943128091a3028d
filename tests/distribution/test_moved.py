"""An instance that has gone over to another distributor is counted there alone."""

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


def source() -> Source:
    replica = Replica(100, EPOCH, 1)
    replica.load([Resource("t1", 1, Kind.CONTENT, b"one")])
    made = Source(replica, Parameters(), 0, is_publisher=False)
    made.serving = True
    return made


def subscribed(made: Source, name: str) -> int:
    number = made.opened(0)
    made.received(number, 0, Hello(name, position=BEFORE, subscriptions=["t1"]))
    made.received(number, 0, Acknowledge(1))
    return number


def change(made: Source) -> None:
    made.replica.commit(Resource("t1", 2, Kind.CONTENT, b"two"))
    made.changed("t1", 2, MS)


def test_one_whose_connection_ended_waits_until_it_has_come_elsewhere() -> None:
    made = source()
    made.closed(subscribed(made, "n1"), 0)
    change(made)
    assert made.rollout("t1", 2).lagging == ["n1"]
    made.moved(["n1"])
    assert made.rollout("t1", 2) == Rollout("t1", 2, 0, 0)


def test_one_whose_dead_connection_is_not_noticed_yet_waits_nowhere_after_its_move() -> None:
    made = source()
    number = subscribed(made, "n1")
    change(made)
    assert made.rollout("t1", 2).waiting == 1
    made.moved(["n1"])
    assert made.rollout("t1", 2).waiting == 0
    made.closed(number, MS)
    assert made.rollout("t1", 2).waiting == 0


def test_one_that_came_back_meanwhile_is_counted_again_once_it_is_heard() -> None:
    made = source()
    number = subscribed(made, "n1")
    change(made)
    made.moved(["n1"])
    made.received(number, MS, Acknowledge(2))
    assert made.rollout("t1", 2).have == 1
    made.closed(number, MS)
    made.replica.commit(Resource("t1", 3, Kind.CONTENT, b"three"))
    made.changed("t1", 3, MS)
    assert made.rollout("t1", 3).lagging == ["n1"]


def test_a_move_is_reported_upwards_anew() -> None:
    made = source()
    subscribed(made, "n1")
    change(made)
    report = made.report(MS)
    assert report is not None
    assert [row.waiting for row in report.rows] == [1]
    made.moved(["n1"])
    report = made.report(MS)
    assert report is not None
    assert [row.waiting for row in report.rows] == [0]


def test_the_distributor_that_one_left_is_told_and_after_a_start_all_others() -> None:
    board = RolloutTracker()
    for name in ("d1", "d2", "d3"):
        board.connected(name)
    assert board.instances_joined("d1", ["n1"]) == {"d2": ["n1"], "d3": ["n1"]}
    assert board.instances_joined("d1", ["n1"]) == {}
    assert board.instances_joined("d2", ["n1"]) == {"d1": ["n1"]}


def test_a_dead_connection_that_is_told_last_after_a_publishers_start_places_nobody_for_good() -> (
    None
):
    """Both distributors tell all that they have: the one that the instance left says so last, as
    it has not noticed yet. The instance is heard at the other, which says it again."""
    left, here, board = source(), source(), RolloutTracker()
    dead, alive = subscribed(left, "n1"), subscribed(here, "n1")
    for name, made in (("here", here), ("left", left)):
        board.connected(name)
        made.reset_report()
        report = made.report(MS)
        assert report is not None
        for other, names in board.instances_joined(name, report.joined).items():
            (left if other == "left" else here).moved(names)
    here.received(alive, 2 * MS, Acknowledge(1))  # a heartbeat
    report = here.report(2 * MS)
    assert report is not None and report.joined == ["n1"]
    for other, names in board.instances_joined("here", report.joined).items():
        (left if other == "left" else here).moved(names)
    left.closed(dead, 3 * MS)
    for made in (left, here):
        change(made)
    here.received(alive, 4 * MS, Acknowledge(2))
    assert here.rollout("t1", 2).have == 1
    assert left.rollout("t1", 2).lagging == []
