"""The report: what counts from when, and what counts as lost, out of order, different."""

from __future__ import annotations

from collections.abc import Sequence

from standins.scale.changes import ChangeKind
from standins.scale.history import Interval
from standins.scale.plan import NodePlan, Plan, Size
from standins.scale.records import ABSENT, DOWN, NO_TENANT, UP, Applied, Committed, Held, Published
from standins.scale.report import Cost, Cut, Figures, Gathered, figures, last_line

S = 1_000_000_000
TENANT = 5
FIRST, SECOND = 1, 2  # generations
GOOD, OTHER = b"digest-1", b"digest-2"
COST = Cost(1.0, 2, 0, 0.0, 0, 0, 0.0, 0, 0, 0, 0, {}, {}, 0.0, 0.0)
# Node 0 stands in region 0, node 1 in region 1.
PLAN = Plan(
    Size(2, 3, 10, 60, 1),
    1,
    tuple(NodePlan(n, n, n, (TENANT,)) for n in range(2)),
    (),
    (),
)
HELD = (Held(0, TENANT, 11, GOOD), Held(1, TENANT, 11, GOOD))
PUBLISHED = (Published(TENANT, 11, GOOD),)


def up(node: int, at: float = 0) -> Applied:
    return Applied(int(at * S), node, NO_TENANT, 0, UP)


def down(node: int, at: float) -> Applied:
    return Applied(int(at * S), node, NO_TENANT, 0, DOWN)


def has(node: int, at: float, revision: int, generation: int = FIRST) -> Applied:
    return Applied(int(at * S), node, TENANT, generation, revision)


def nobodys(node: int, at: float) -> Applied:
    return Applied(int(at * S), node, TENANT, 0, ABSENT)


def committed_at(
    at: float, revision: int, kind: ChangeKind = ChangeKind.CHANGE, generation: int = FIRST
) -> Committed:
    return Committed(int(at * S), TENANT, generation, revision, kind)


def found(
    *rows: Applied,
    committed: Sequence[Committed] = (committed_at(10, 11),),
    held: Sequence[Held] = HELD,
    published: Sequence[Published] = PUBLISHED,
    cuts: Sequence[Cut] = (),
    problems: Sequence[str] = (),
) -> Figures:
    applied = [up(0), up(1), has(0, 1, 1), has(1, 1, 1), *rows]
    return figures(
        Gathered(PLAN, 0, committed, applied, held, published, cuts, COST, problems=problems)
    )


def test_a_change_is_in_force_when_the_last_node_has_it() -> None:
    made = found(has(0, 10.5, 11), has(1, 12, 11))
    assert made.outside.longest == 2.0
    assert made.outside.arrivals[0].node == 1
    assert made.kept and made.in_time


def test_a_later_state_is_as_good() -> None:
    commits = [committed_at(10, 11), committed_at(11, 12)]
    made = found(has(0, 11.5, 12), has(1, 11.5, 12), committed=commits)
    assert sorted(a.seconds for a in made.outside.arrivals) == [0.5, 1.5]


def test_over_four_seconds_is_not_in_time() -> None:
    made = found(has(0, 10.5, 11), has(1, 14.1, 11))
    assert made.kept and not made.in_time


def test_a_change_that_a_node_never_has_is_lost() -> None:
    made = found(has(0, 10.5, 11))
    assert made.lost == 1 and not made.kept


def test_for_a_node_that_was_down_it_counts_from_its_return() -> None:
    made = found(has(0, 10.5, 11), down(1, 9), up(1, 20), has(1, 21, 11))
    assert made.outside.longest == 1.0


def test_a_restart_before_the_commit_excuses_nothing() -> None:
    made = found(has(0, 10.5, 11), down(1, 8), up(1, 9), has(1, 13, 11))
    assert made.outside.longest == 3.0


def test_a_restart_after_it_was_in_force_changes_nothing() -> None:
    made = found(has(0, 10.5, 11), has(1, 10.25, 11), down(1, 12), up(1, 13), has(1, 14, 11))
    assert made.outside.longest == 0.5


def test_a_node_of_the_region_that_is_cut_off_has_until_the_cuts_end() -> None:
    cut = Cut(1, Interval(9 * S, 29 * S))
    made = found(has(0, 10.5, 11), has(1, 30.5, 11), cuts=[cut])
    assert (made.outside.longest, made.from_cut.longest) == (0.5, 1.5)


def test_what_comes_within_the_cut_counts_up_to_its_beginning() -> None:
    cut = Cut(1, Interval(12 * S, 29 * S))
    made = found(has(0, 10.5, 11), has(1, 20, 11), cuts=[cut])
    assert made.outside.longest == 2.0 and not made.from_cut.arrivals


def test_what_came_before_the_cut_counts_as_ever() -> None:
    cut = Cut(1, Interval(12 * S, 29 * S))
    made = found(has(0, 10.5, 11), has(1, 11.5, 11), cuts=[cut])
    assert made.outside.longest == 1.5


def test_a_node_outside_it_has_not() -> None:
    cut = Cut(0, Interval(9 * S, 29 * S))
    made = found(has(0, 10.5, 11), has(1, 30.5, 11), cuts=[cut])
    assert made.outside.longest == 20.5


def test_what_is_committed_after_the_cut_counts_from_its_commit() -> None:
    cut = Cut(1, Interval(5 * S, 9 * S))
    made = found(has(0, 10.5, 11), has(1, 13, 11), cuts=[cut])
    assert made.outside.longest == 3.0 and not made.from_cut.arrivals


def test_an_older_state_after_a_newer_one_is_out_of_order() -> None:
    made = found(has(0, 10.5, 11), has(1, 10.5, 11), has(1, 10.6, 10), has(1, 10.7, 11))
    assert made.out_of_order == 1 and not made.kept


def test_a_node_that_begins_anew_may_hold_an_older_state_than_before() -> None:
    made = found(
        has(0, 10.5, 11), has(1, 10.5, 11), down(1, 11), up(1, 12), has(1, 12.5, 10), has(1, 13, 11)
    )
    assert made.out_of_order == 0


def test_a_deletion_is_known_to_a_node_that_comes_back_after_it() -> None:
    committed = [committed_at(10, 11, ChangeKind.DELETE)]
    rows = [has(0, 10.5, 11), down(1, 9), up(1, 20), nobodys(1, 21)]
    made = found(*rows, committed=committed, held=(), published=())
    assert made.outside.longest == 1.0 and made.kept


def test_that_a_tenant_is_unknown_is_no_news_where_it_was_not_deleted() -> None:
    made = found(has(0, 10.5, 11), nobodys(1, 11))
    assert made.lost == 1


def test_that_a_tenant_was_unknown_before_its_deletion_is_no_news_of_it() -> None:
    committed = [committed_at(10, 11, ChangeKind.DELETE)]
    rows = [has(0, 10.5, 11), nobodys(1, 9.5)]
    assert found(*rows, committed=committed, held=(), published=()).lost == 1
    assert found(*rows, nobodys(1, 12), committed=committed, held=(), published=()).lost == 0


def test_a_tenant_that_is_created_is_in_force_where_it_is_held() -> None:
    committed = [committed_at(10, 11, ChangeKind.CREATE, SECOND)]
    rows = [nobodys(0, 9), nobodys(0, 10.1), has(0, 11, 11, SECOND), has(1, 12, 11, SECOND)]
    assert found(*rows, committed=committed).outside.longest == 2.0
    assert found(*rows[:3], nobodys(1, 12), committed=committed).lost == 1


def test_one_that_is_created_again_under_its_name_is_no_older_state_of_it() -> None:
    committed = [
        committed_at(10, 11, ChangeKind.DELETE),
        committed_at(20, 12, ChangeKind.RECREATE, SECOND),
    ]
    # Node 0 is told that it went as of a later revision than that of the new one.
    rows = [has(0, 21, 15), has(0, 22, 12, SECOND), has(1, 21, 12, SECOND)]
    made = found(*rows, committed=committed)
    assert made.out_of_order == 0 and made.lost == 0
    assert [a.seconds for a in made.outside.arrivals] == [11.0, 2.0]


def test_the_first_of_two_under_a_name_is_not_the_second() -> None:
    committed = [
        committed_at(10, 11, ChangeKind.DELETE),
        committed_at(20, 12, ChangeKind.RECREATE, SECOND),
    ]
    rows = [has(0, 10.5, 11), has(0, 20.5, 12, SECOND), has(1, 10.5, 11), has(1, 21, 15)]
    assert found(*rows, committed=committed).lost == 1


def test_everything_that_is_held_is_compared() -> None:
    rows = [has(0, 10.5, 11), has(1, 10.5, 11)]
    assert found(*rows, held=[HELD[0], Held(1, TENANT, 11, OTHER)]).differing == 1
    assert found(*rows, held=HELD, published=()).differing == 2
    assert found(*rows, held=HELD[:1]).lost == 1
    assert found(*rows, held=[*HELD, Held(1, TENANT + 1, 3, GOOD)]).unasked == 1


def test_a_problem_of_the_run_is_none_of_its_good_ends() -> None:
    rows = [has(0, 10.5, 11), has(1, 10.5, 11)]
    assert not found(*rows, problems=["distributor-00 has ended by itself"]).kept


def test_the_last_line_tells_all_figures() -> None:
    line = last_line(found(has(0, 10.5, 11), has(1, 12, 11)))
    assert "longest 2.000 s of 1" in line
    assert line.endswith("lost 0, out of order 0, differing 0")
