"""Cores with one defence taken out, for tests that show that it would be found."""

from __future__ import annotations

from tansywood.distribution.messages import Lookup, Position
from tansywood.distribution.parameters import MS
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Session, Source
from tansywood.distribution.subscriber import Subscriber


class AnyEpochReplica(Replica):
    """Compares revisions over epochs."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        return super().covers(Position(self.epoch, position.revision), newest)


class NoWindowReplica(Replica):
    """Resumes behind whatever position."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        floor, self._resumable_from = self._resumable_from, 0
        covered = super().covers(position, newest)
        self._resumable_from = floor
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


class EarlyCountingSource(Source):
    """Counts what a lookup found as in force at once."""

    def _answer_lookup(self, session: Session, now: int, lookup: Lookup) -> None:
        super()._answer_lookup(session, now, lookup)
        session.unapplied_lookups.clear()


class BoastfulSubscriber(Subscriber):
    """Tells the next source what it told the last one, whatever is not in force yet."""

    def _exclude_unapplied(self) -> None:
        """Nothing is disowned."""


class TrustedClockSource(Source):
    """Believes that its clock never goes back."""

    def _publisher_age_ms(self, now: int) -> int:
        return 0 if self.is_publisher else (now - self.publisher_heard_at) // MS
