"""How long an attempt may take. Pure.

A backend from which nothing has come by the end of the latency target is given up: its answer would
be late, and it may hang. One that is writing its response, or still reading a long request, works
on it: its attempt may take as long as the client waits. The age of a request, which is guessed from
the time its client has left, ends no attempt.
"""

from __future__ import annotations

from enum import IntEnum

from flinthatch.interface import MS, Effect, RequestClass

# Part of the latency target by which an attempt is ended before the target.
TARGET_MARGIN_FRACTION = 0.03
# Time-out of an attempt that may be repeated: this many mean latencies of its class, and at
# least this part of its latency target.
RETRY_TIMEOUT_LATENCY_RATIO = 5.0
RETRY_TIMEOUT_MIN_TARGET_FRACTION = 1.0
# Before the end of the client's time, for the final answer to reach the client.
ANSWER_MARGIN_NS = 20 * MS


class Progress(IntEnum):
    """What a backend is seen to do for an attempt."""

    SILENT = 0
    READING = 1  # a long request, of which the backend may not have read all
    RESPONDING = 2  # a part of the response has come


def silent_timeout(
    spec: RequestClass,
    mean_latency: float,
    now: int,
    answer_by: int,
    deadline_at: int,
    may_be_repeated: bool,
) -> int:
    """Nanoseconds that a backend may stay silent over an attempt that starts now.

    `answer_by` is the end of the request's latency target, `deadline_at` that of its client's time.
    """
    end = deadline_at
    if spec.late_value <= 0:
        end = min(end, answer_by - int(spec.latency_target * TARGET_MARGIN_FRACTION))
    timeout = max(end - now, MS)
    if may_be_repeated and spec.effect == Effect.PURE:
        retry_timeout = max(
            RETRY_TIMEOUT_LATENCY_RATIO * mean_latency,
            RETRY_TIMEOUT_MIN_TARGET_FRACTION * spec.latency_target,
        )
        timeout = min(timeout, int(retry_timeout))
    return timeout


def further_time(progress: Progress, now: int, deadline_at: int) -> int:
    """Nanoseconds that an attempt gets where its time-out has passed; 0 where it is given up."""
    if progress == Progress.SILENT:
        return 0
    return max(deadline_at - ANSWER_MARGIN_NS - now, 0)
