"""What a Balancer logs: changes of its backends' states, and counts of its decisions. Pure.

Changes are gathered into at most one line a second, decisions into one line per interval.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from flinthatch.interface import SECOND

INTERVAL_NS = 10 * SECOND
TRANSITION_INTERVAL_NS = SECOND
MAX_TRANSITIONS_PER_LINE = 100
OUTCOME_NAMES = {
    2: "an error",
    3: "a rejection",
    4: "a time-out",
    5: "a failed connection",
    6: "a broken connection",
    7: "a cancellation",
    8: "no send",
}


class Reason(StrEnum):
    """Why a request was answered without service."""

    LATE_ON_ARRIVAL = "late on arrival"
    WAITED_TOO_LONG = "waited too long"
    NO_BACKEND_FOR_KEY = "no backend knows its key"
    RETRY_NOT_ALLOWED = "no further attempt allowed"
    CLIENT_HALF_CLOSED = "its client ended its sending"
    SERVICE_ENDS = "the service ends"


class IntervalCounts:
    """Counts of the current interval, by what is counted."""

    __slots__ = ("counts", "ends_at")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.ends_at = 0

    def take_summary(self, now: int) -> str:
        """Return the interval's line once it has ended, and begin the next; else nothing."""
        if now < self.ends_at:
            return ""
        self.ends_at = now + INTERVAL_NS
        counts, self.counts = self.counts, Counter()
        return "; ".join(f"{count} {what}" for what, count in sorted(counts.items()))


class DecisionLog(IntervalCounts):
    """Counts of a Balancer's decisions."""

    __slots__ = ()

    def count_refused(self, reason: Reason) -> None:
        self.counts[f"refused, {reason}"] += 1

    def count_failed(self, reason: Reason) -> None:
        self.counts[f"failed, {reason}"] += 1

    def count_retry(self, outcome: int) -> None:
        self.counts[f"another attempt after {OUTCOME_NAMES.get(outcome, outcome)}"] += 1


class TransitionLog:
    """Changes of backends' states that are still to be logged."""

    __slots__ = ("pending", "silent_until")

    def __init__(self) -> None:
        self.pending: list[str] = []
        self.silent_until = 0

    def add(self, text: str) -> None:
        self.pending.append(text)

    def take_line(self, now: int) -> str:
        """Return the changes as one line where the last line is a second old; else nothing."""
        if not self.pending or now < self.silent_until:
            return ""
        self.silent_until = now + TRANSITION_INTERVAL_NS
        shown, hidden_count = (
            self.pending[:MAX_TRANSITIONS_PER_LINE],
            max(len(self.pending) - MAX_TRANSITIONS_PER_LINE, 0),
        )
        self.pending = []
        return "; ".join(shown) + (f"; and {hidden_count} more" if hidden_count else "")
