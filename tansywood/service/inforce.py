"""The state of each tenant that a node's followers go by, and the one to go back to. No I/O.

A new state is on trial until every follower (door, workers, fleet) has taken it over. A follower
that can't names it by its place in the publisher's history; then the state before it, which all of
them went by, is the newest again. Where there is none before, those that can go by it: taken from
them it would look to a caller as if there were no such tenant.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tansywood.distribution.messages import Position
from tansywood.service.placed import PlacedView


class Refused(Enum):
    """What follows from a follower's refusal of a state."""

    SUPERSEDED = "superseded"  # a newer state was told since: what becomes of that one counts
    BACK = "back"  # the state before is the newest again
    FIRST = "first"  # there is none before: the others go by it
    KEPT = "kept"  # the others go by it since long: that follower alone lacks it


@dataclass(frozen=True, slots=True)
class _Trial:
    sequence: int  # of the feed; whoever has applied it has taken the state over
    before: PlacedView | None


class ViewsInForce:
    """States by tenant."""

    def __init__(self) -> None:
        self.newest: dict[str, PlacedView] = {}
        self._trials: dict[str, _Trial] = {}

    def restore(self, uid: str, placed: PlacedView) -> None:
        """Followers have gone by this state before: it is not on trial."""
        self.newest[uid] = placed
        self._trials.pop(uid, None)

    def put(self, uid: str, placed: PlacedView, sequence: int) -> None:
        """A new state, told to followers as this message of the feed."""
        trial = self._trials.get(uid)
        before = trial.before if trial is not None else self.newest.get(uid)
        self._trials[uid] = _Trial(sequence, before)
        self.newest[uid] = placed

    def drop(self, uid: str) -> None:
        """The tenant was deleted or given up."""
        self.newest.pop(uid, None)
        self._trials.pop(uid, None)

    def all_applied(self, sequence: int) -> None:
        """Every follower has taken over all messages of the feed up to this one."""
        for uid in [uid for uid, trial in self._trials.items() if trial.sequence <= sequence]:
            del self._trials[uid]

    def refuse(self, uid: str, place: Position) -> Refused:
        """A follower can't take over the state at this place."""
        newest = self.newest.get(uid)
        if newest is None or newest.place != place:
            return Refused.SUPERSEDED
        trial = self._trials.pop(uid, None)
        if trial is None:
            return Refused.KEPT
        if trial.before is None:
            return Refused.FIRST
        self.newest[uid] = trial.before
        return Refused.BACK
