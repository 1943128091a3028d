"""Which state of a tenant is the newest, and what a follower's refusal of one leads to."""

from __future__ import annotations

from tansywood.distribution.messages import Epoch, Position
from tansywood.service.inforce import Refused, ViewsInForce
from tansywood.service.placed import PlacedView


def state(revision: int) -> PlacedView:
    return PlacedView(b"{}", Position(Epoch(1, b"a"), revision))


def proven(revision: int) -> ViewsInForce:
    """A state that all have taken over, as message 1."""
    views = ViewsInForce()
    views.put("t", state(revision), 1)
    views.all_applied(1)
    return views


def test_a_state_on_trial_that_is_refused_gives_way_to_the_one_before() -> None:
    views = proven(5)
    views.put("t", state(6), 2)
    views.all_applied(1)  # not of this one yet
    assert views.refuse("t", state(6).place) is Refused.BACK
    assert views.newest == {"t": state(5)}
    # Another follower says the same of it: that is known by now.
    assert views.refuse("t", state(6).place) is Refused.SUPERSEDED


def test_it_goes_back_over_all_states_that_were_on_trial() -> None:
    views = proven(5)
    for revision in (6, 7):
        views.put("t", state(revision), revision)
    assert views.refuse("t", state(6).place) is Refused.SUPERSEDED
    assert views.newest == {"t": state(7)}
    assert views.refuse("t", state(7).place) is Refused.BACK
    assert views.newest == {"t": state(5)}


def test_the_first_state_of_a_tenant_has_none_before() -> None:
    views = ViewsInForce()
    views.put("t", state(5), 1)
    assert views.refuse("t", state(5).place) is Refused.FIRST
    assert views.newest == {"t": state(5)}
    assert views.refuse("t", state(5).place) is Refused.KEPT  # by another one as well


def test_what_all_go_by_stays_where_one_that_comes_back_cant_take_it_over() -> None:
    views = proven(5)
    assert views.refuse("t", state(5).place) is Refused.KEPT
    views.restore("u", state(6))
    assert views.refuse("u", state(6).place) is Refused.KEPT
    assert views.newest == {"t": state(5), "u": state(6)}


def test_what_was_dropped_is_on_trial_no_more() -> None:
    views = proven(5)
    views.put("t", state(6), 2)
    views.drop("t")
    assert views.refuse("t", state(6).place) is Refused.SUPERSEDED
    views.put("t", state(7), 3)
    assert views.refuse("t", state(7).place) is Refused.FIRST
