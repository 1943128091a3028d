"""What a connection pool logs: how attempts got a connection, and why connections were closed.

Uses and closes are counted into one line per interval.
"""

from __future__ import annotations

from enum import StrEnum

from flinthatch.decision_log import IntervalCounts


class CloseReason(StrEnum):
    """Why a connection to a backend was closed."""

    UNSOLICITED_BYTES = "bytes while idle"
    BYTES_BEHIND_RESPONSE = "bytes behind a response"
    NOT_KEPT_ALIVE = "not kept alive"
    RESPONSE_BEFORE_REQUEST = "response before the end of the request"
    RESPONSE_NOT_USABLE = "response not usable"
    BROKEN = "broken or ended by the backend"
    NOT_ESTABLISHED = "not established"
    LOCAL_RESOURCES = "no local resources for it"
    ENDED_WHILE_IDLE = "ended or readable while idle"
    IDLE_TOO_LONG = "idle too long"
    BACKEND_NOT_READY = "its backend gets no new attempts"
    DESCRIPTOR_NEEDED = "its descriptor was needed"
    ATTEMPT_GIVEN_UP = "its attempt was given up"
    CALLER_LEFT = "its caller left within the response"
    EXCEPTION = "an exception"


class ConnectionLog(IntervalCounts):
    """Counts of a pool's connections."""

    __slots__ = ()

    def count_dial(self) -> None:
        self.counts["dialed"] += 1

    def count_reuse(self) -> None:
        self.counts["reused"] += 1

    def count_close(self, reason: CloseReason) -> None:
        self.counts[f"closed, {reason}"] += 1
