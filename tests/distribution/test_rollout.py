"""Counts of applied changes, added up over distributors."""

from __future__ import annotations

from tansywood.distribution.messages import Rollout
from tansywood.distribution.rollout import RolloutTracker


def make_tracker(*distributors: str) -> RolloutTracker:
    tracker = RolloutTracker()
    for name in distributors:
        tracker.connected(name)
    return tracker


def test_counts_are_added_up_with_the_names_of_lagging_and_refusing_instances() -> None:
    tracker = make_tracker("d1", "d2")
    tracker.report("d1", [Rollout("t", 5, 3, 1, 0, ["n1"])], 5)
    tracker.report("d2", [Rollout("t", 5, 2, 0, 1, [], [("n2", "bad")])], 5)
    summary = tracker.summary("t", 5)
    assert (summary.have, summary.waiting, summary.refused) == (5, 1, 1)
    assert (summary.lagging, summary.refusing) == (("n1",), (("n2", "bad"),))
    assert summary.distributors_have == 2 and not summary.complete


def test_a_distributor_is_waiting_until_it_reports_up_to_the_change() -> None:
    tracker = make_tracker("d1", "d2")
    tracker.report("d1", [Rollout("t", 5, 3, 0)], 5)
    assert tracker.summary("t", 5).distributors_waiting == ("d2",)
    tracker.report("d2", [], 5)
    assert tracker.summary("t", 5).complete
    tracker.connected("d2")  # a reconnect may follow a restart
    assert tracker.summary("t", 5).distributors_waiting == ("d2",)


def test_the_late_end_of_an_old_connection_does_not_end_the_new_one() -> None:
    tracker = make_tracker("d1")
    tracker.connected("d1")
    tracker.disconnected("d1")
    tracker.report("d1", [Rollout("t", 5, 1, 0)], 5)
    assert tracker.summary("t", 5).complete


def test_counts_of_a_later_change_apply_to_the_earlier_changes() -> None:
    tracker = make_tracker("d1")
    tracker.report("d1", [Rollout("t", 7, 1, 2, 0, ["n1", "n2"])], 7)
    assert tracker.summary("t", 5).waiting == 2


def test_a_disconnected_distributor_is_waiting_until_its_instances_connect_elsewhere() -> None:
    tracker = make_tracker("d1", "d2")
    tracker.instances_joined("d1", ["n1"])
    tracker.report("d2", [Rollout("t", 5, 1, 0)], 5)
    tracker.disconnected("d1")
    assert tracker.summary("t", 5).distributors_waiting == ("d1",)
    assert tracker.instances_joined("d2", ["n1"])["d1"] == ["n1"]
    assert tracker.summary("t", 5).complete


def test_a_reconnected_distributor_is_told_which_instances_are_elsewhere() -> None:
    tracker = make_tracker("d1", "d2")
    assert tracker.instances_joined("d1", []) == {}
    # The previous distributor of the instance is not known, so that all others are told.
    assert tracker.instances_joined("d2", ["n1"]) == {"d1": ["n1"]}
    tracker.connected("d1")
    assert tracker.instances_joined("d1", []) == {"d1": ["n1"]}
