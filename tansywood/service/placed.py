"""A view in force and its place in the publisher's history, as a node's feed carries them.

Door and workers go by the view alone. They keep the place for an agent that starts again: it then
takes no older state from a distributor that is behind.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from tansywood.distribution.messages import Epoch, Kind, Position, Resource
from tansywood.distribution.replica import Replica

PLACE = "place"  # the key that is added to a view: epoch's number and identity, revision
NOWHERE = (0, "", 0)  # of a view that tells none


@dataclass(frozen=True, slots=True)
class PlacedView:
    """An encoded view, and the change that made it so."""

    body: bytes
    place: Position

    def for_feed(self) -> dict[str, Any]:
        """The view with its place."""
        view: dict[str, Any] = msgspec.json.decode(self.body)
        epoch = self.place.epoch
        view[PLACE] = [epoch.number, epoch.identity.hex(), self.place.revision]
        return view


def from_feed(view: dict[str, Any]) -> PlacedView:
    """What a follower gives back; at no place where it does not tell one."""
    bare = {key: value for key, value in view.items() if key != PLACE}
    return PlacedView(msgspec.json.encode(bare), place_of(view.get(PLACE, NOWHERE)))


def place_of(words: Sequence[Any]) -> Position:
    """Of a place as the feed carries it. ValueError and TypeError where it is none."""
    number, identity, revision = words
    return Position(Epoch(number, bytes.fromhex(identity)), revision)


def load_held(replica: Replica, views: dict[str, PlacedView]) -> None:
    """Fill an empty replica with what followers held.

    It stands at the latest epoch among them. Revisions of an earlier one say nothing there, so
    what is of an earlier one gives way to any state of that epoch.
    """
    epoch = max((view.place.epoch for view in views.values()), default=Epoch())
    replica.begin_epoch(epoch, Position())
    replica.load(
        Resource(uid, _revision_in(epoch, view.place), Kind.CONTENT, view.body)
        for uid, view in views.items()
    )


def _revision_in(epoch: Epoch, place: Position) -> int:
    return place.revision if place.epoch == epoch else 0
