"""Sums of rollouts over distributors."""

from __future__ import annotations

from tansywood.distribution.messages import Rollout
from tansywood.distribution.rollout import RolloutTracker


def board(*names: str) -> RolloutTracker:
    made = RolloutTracker()
    for name in names:
        made.connected(name)
    return made


def test_sums_are_added_up_and_name_who_lags_and_who_refuses() -> None:
    sums = board("d1", "d2")
    sums.report("d1", [Rollout("t", 5, 3, 1, 0, ["n1"])], 5)
    sums.report("d2", [Rollout("t", 5, 2, 0, 1, [], [("n2", "bad")])], 5)
    summary = sums.summary("t", 5)
    assert (summary.have, summary.waiting, summary.refused) == (5, 1, 1)
    assert (summary.lagging, summary.refusing) == (("n1",), (("n2", "bad"),))
    assert summary.distributors_have == 2 and not summary.complete


def test_a_distributor_waits_until_it_has_told_its_sums_up_to_the_change() -> None:
    sums = board("d1", "d2")
    sums.report("d1", [Rollout("t", 5, 3, 0)], 5)
    assert sums.summary("t", 5).distributors_waiting == ("d2",)
    sums.report("d2", [], 5)
    assert sums.summary("t", 5).complete
    sums.connected("d2")  # again: it may have been started again
    assert sums.summary("t", 5).distributors_waiting == ("d2",)


def test_a_new_connection_outlives_the_end_of_the_old_one() -> None:
    sums = board("d1")
    sums.connected("d1")
    sums.disconnected("d1")
    sums.report("d1", [Rollout("t", 5, 1, 0)], 5)
    assert sums.summary("t", 5).complete


def test_a_later_change_of_a_tenant_counts_for_the_earlier_ones() -> None:
    sums = board("d1")
    sums.report("d1", [Rollout("t", 7, 1, 2, 0, ["n1", "n2"])], 7)
    assert sums.summary("t", 5).waiting == 2


def test_a_distributor_that_is_away_waits_while_instances_were_there_last() -> None:
    sums = board("d1", "d2")
    sums.instances_joined("d1", ["n1"])
    sums.report("d2", [Rollout("t", 5, 1, 0)], 5)
    sums.disconnected("d1")
    assert sums.summary("t", 5).distributors_waiting == ("d1",)
    assert sums.instances_joined("d2", ["n1"])["d1"] == ["n1"]
    assert sums.summary("t", 5).complete


def test_who_was_where_is_told_anew_after_a_start_of_the_publisher() -> None:
    sums = board("d1", "d2")
    assert sums.instances_joined("d1", []) == {}
    assert sums.instances_joined("d2", ["n1"]) == {"d1": ["n1"]}  # it may have been there before
    sums.connected("d1")
    assert sums.instances_joined("d1", []) == {"d1": ["n1"]}
