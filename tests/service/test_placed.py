"""What a node's feed carries of the publisher's history, over an agent's restart."""

from __future__ import annotations

from tansywood.distribution.messages import Epoch, Kind, Position, Resource
from tansywood.distribution.replica import Replica
from tansywood.service.placed import PlacedView, from_feed, load_held

EARLIER = Epoch(7, b"earlier")
LATER = Epoch(8, b"later")


def placed(body: bytes, epoch: Epoch, revision: int) -> PlacedView:
    return PlacedView(body, Position(epoch, revision))


def content(uid: str, revision: int) -> Resource:
    return Resource(uid, revision, Kind.CONTENT, b'{"other":1}')


def test_a_view_comes_back_from_the_feed_as_it_was() -> None:
    view = placed(b'{"uid":"t1","worth":5.0,"title":"\xc3\xa9"}', EARLIER, 41)
    assert from_feed(view.for_feed()) == view


def test_a_view_without_a_place_gives_way_to_any_state() -> None:
    view = from_feed({"uid": "t1"})
    assert view.place == Position()
    replica = Replica(10)
    load_held(replica, {"t1": view})
    assert replica.apply(content("t1", 1))


def test_an_older_state_of_a_distributor_that_is_behind_is_not_taken_after_a_restart() -> None:
    replica = Replica(10)
    load_held(replica, {"t1": placed(b'{"uid":"t1"}', LATER, 9)})
    assert replica.epoch == LATER
    assert not replica.apply(content("t1", 8))
    assert replica.apply(content("t1", 10))


def test_what_is_of_an_earlier_epoch_gives_way_to_any_state_of_the_later() -> None:
    replica = Replica(10)
    held = {"t1": placed(b"{}", LATER, 3), "t2": placed(b"{}", EARLIER, 99)}
    load_held(replica, held)
    assert replica.epoch == LATER
    assert replica.apply(content("t2", 1))


def test_it_has_to_be_compared_whatever_the_source_knows() -> None:
    replica = Replica(10)
    load_held(replica, {"t1": placed(b"{}", LATER, 9)})
    source = Replica(10, LATER, 20)
    assert not source.covers(replica.position, replica.newest_revision)
