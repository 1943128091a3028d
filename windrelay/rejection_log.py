"""Counts of the client requests that a server rejects, and of the connections that it closes.

Both are counted by reason, for its log.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

MAX_REASONS = 16  # counted apart between two lines; a reason may quote what a client sent
OTHER_REASONS = "for other reasons"


class ClientCloseReason(StrEnum):
    """Why a server closed a client's connection, other than behind a last response."""

    EVICTED_LINGERING = "evicted behind its last response"
    EVICTED_SILENT = "evicted before its first request"
    EVICTED_IDLE = "evicted between requests"
    SILENT = "sent no request"
    IDLE = "idle too long"
    ENDING = "idle while the node stops or is evacuated"
    UNREAD = "did not read its response"


class ReasonCounts:
    """Counts by reason since the last line of the log."""

    __slots__ = ("_counts", "_subject")

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._counts: Counter[str] = Counter()

    def count(self, reason: str) -> None:
        """Count one case; beyond MAX_REASONS different reasons, further ones are joined."""
        if reason not in self._counts and len(self._counts) >= MAX_REASONS:
            reason = OTHER_REASONS
        self._counts[reason] += 1

    def take_line(self) -> str:
        """Return the counts as one line and begin anew; nothing where nothing was counted."""
        counts, self._counts = self._counts, Counter()
        if not counts:
            return ""
        parts = "; ".join(f"{count} {reason}" for reason, count in counts.most_common())
        return f"{counts.total()} {self._subject}: {parts}"


class RejectionLog(ReasonCounts):
    """The rejections since the last line of the log."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("clients turned away")

    def record(self, status: int, reason: object) -> None:
        """Count a rejected request; what a reason quotes behind a colon is left out."""
        self.count(f"{status} {str(reason).partition(':')[0]}".strip())
