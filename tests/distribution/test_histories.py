"""The property over random histories, and that it finds each defence that is taken out."""

from __future__ import annotations

from collections import Counter

import pytest

from tansywood.distribution.messages import Position
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tests.distribution.model.parts import Parts, PropertyError
from tests.distribution.model.world import World

SEEDS = range(240)
ONCE_BROKEN = (1865, 5342, 5763, 6086, 7822, 10477)  # before what they found was mended
LOOKED_AT = range(400)  # seeds until a missing defence has to be found
OFTEN = {  # what has to have happened over all seeds, at least so many times
    "compared": 1_000,
    "resumed": 1_000,
    "coalesced": 300,
    "epochs continued": 100,
    "histories changed": 500,
    "restarts on the same disk": 100,
    "restarts on an older copy": 100,
    "restarts without a disk": 50,
    "distributors restarted": 200,
    "distributors isolated": 200,
    "instances restarted": 100,
    "stale sources left": 200,
    "silent sessions": 200,
    "given up": 1_000,
    "answers": 2_000,
}


def play(seed: int, parts: Parts | None = None) -> Counter[str]:
    world = World(seed, parts)
    world.run()
    return world.counts


def test_no_node_goes_back_and_all_hold_what_they_subscribe_to_once_it_is_quiet() -> None:
    counts: Counter[str] = Counter()
    for seed in SEEDS:
        counts += play(seed)
    rare = {what: counts[what] for what, least in OFTEN.items() if counts[what] < least}
    assert not rare


@pytest.mark.parametrize("seed", ONCE_BROKEN)
def test_a_history_that_once_broke_the_property_holds(seed: int) -> None:
    play(seed)


# ---- defences taken out ----------------------------------------------------------------------


class AnyEpochReplica(Replica):
    """Compares revisions over epochs."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        return super().covers(Position(self.epoch, position.revision), newest)


class NoWindowReplica(Replica):
    """Resumes behind whatever position."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        floor, self._floor = self._floor, 0
        covered = super().covers(position, newest)
        self._floor = floor
        return covered


class OldPlaceSource(Source):
    """A resource that changes again keeps its place among those that wait."""

    def changed(self, uid: str, revision: int, now: int) -> None:
        places = {n: list(s.pending) for n, s in self.sessions.items() if uid in s.pending}
        super().changed(uid, revision, now)
        for number, order in places.items():
            pending = self.sessions[number].pending
            for waiting in order:
                pending.move_to_end(waiting)


def first_found(parts: Parts) -> str:
    """What the property says of the first seed that breaks it."""
    for seed in LOOKED_AT:
        try:
            play(seed, parts)
        except PropertyError as err:
            return str(err)
    return ""


@pytest.mark.parametrize(
    "parts",
    [
        Parts(replica=AnyEpochReplica),
        Parts(replica=NoWindowReplica),
        Parts(source=OldPlaceSource),
    ],
    ids=["epoch", "window", "order of coalescing"],
)
def test_a_defence_that_is_taken_out_is_found(parts: Parts) -> None:
    assert first_found(parts)
