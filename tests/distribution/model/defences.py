"""Production classes without one safeguard each, for tests that the model detects the loss."""

from __future__ import annotations

from tansywood.distribution.messages import Lookup, Position
from tansywood.distribution.parameters import MS
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Session, Source
from tansywood.distribution.subscriber import Subscriber


class EpochIgnoringReplica(Replica):
    """Compares revisions of different epochs."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        return super().covers(Position(self.epoch, position.revision), newest)


class UnlimitedResumeReplica(Replica):
    """Lets a subscriber resume from any position."""

    def covers(self, position: Position, newest: int = 0) -> bool:
        resumable_from, self._resumable_from = self._resumable_from, 0
        covered = super().covers(position, newest)
        self._resumable_from = resumable_from
        return covered


class OldPlaceSource(Source):
    """Keeps the queue position of a pending resource that changes again."""

    def changed(self, uid: str, revision: int, now: int) -> None:
        orders = {n: list(s.pending) for n, s in self.sessions.items() if uid in s.pending}
        super().changed(uid, revision, now)
        for number, order in orders.items():
            pending = self.sessions[number].pending
            for pending_uid in order:
                pending.move_to_end(pending_uid)


class EarlyAcknowledgingSource(Source):
    """Counts resources found by a lookup as applied at once."""

    def _answer_lookup(self, session: Session, now: int, lookup: Lookup) -> None:
        super()._answer_lookup(session, now, lookup)
        session.unapplied_lookups.clear()


class PrematureSubscriber(Subscriber):
    """Acknowledges to the next source what it did to the last, even if it is not applied yet."""

    def _exclude_unapplied(self) -> None:
        """Exclude nothing."""


class ClockTrustingSource(Source):
    """Assumes that its clock never goes back."""

    def _publisher_age_ms(self, now: int) -> int:
        return 0 if self.is_publisher else (now - self.publisher_heard_at) // MS
