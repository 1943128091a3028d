"""Counts of the client requests that a server rejects, by status and reason, for its log."""

from __future__ import annotations

from collections import Counter

MAX_REASONS = 16  # counted apart between two lines; a reason may quote what a client sent
OTHER_REASONS = "for other reasons"


class RejectionLog:
    """The rejections since the last line of the log."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def record(self, status: int, reason: object) -> None:
        """Count a rejected request; what a reason quotes behind a colon is left out."""
        key = f"{status} {str(reason).partition(':')[0]}".strip()
        if key not in self._counts and len(self._counts) >= MAX_REASONS:
            key = OTHER_REASONS
        self._counts[key] += 1

    def take_line(self) -> str:
        """Return the counts as one line and begin anew; nothing where nothing was rejected."""
        counts, self._counts = self._counts, Counter()
        if not counts:
            return ""
        parts = "; ".join(f"{count} {key}" for key, count in counts.most_common())
        return f"{counts.total()} clients turned away: {parts}"
