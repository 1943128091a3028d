"""Whether a response that outlasts the time of its client is still on its way. Pure.

A sound backend may write a long response for longer than its client said it would wait, and the
client may still read. Such a response goes on for as long as its backend makes progress. One that
has stopped half way, or comes a few bytes at a time, ends once its allowances are used up.
"""

from __future__ import annotations

from collections.abc import Sequence

from flinthatch.interface import MS, SECOND

# A response is passed on at the end of the client's time if it may be this long, or has not paused.
LONG_RESPONSE_BYTES = 16 << 10
UNPAUSED_NS = 250 * MS
MIN_TIME_LEFT_NS = 250 * MS  # of one that is passed on
# Longest silence within a response.
MAX_PAUSE_NS = 1500 * MS
MIN_PROGRESS_BYTES = 128  # fewer bytes do not end a pause
# The same where such bytes still come this long after the last progress.
MAX_TRICKLE_NS = SECOND
TRICKLE_SPAN_NS = 500 * MS
# Time that a response may lose against the lowest pace of a long one.
MAX_DELAY_NS = 10 * SECOND
MIN_BYTES_PER_S = 16 << 10
SAMPLE_INTERVAL_NS = 250 * MS  # longest time between two samples of a response


class ResponseProgress:
    """The progress of one response that has come in part."""

    __slots__ = (
        "_bytes_at_progress", "_bytes_at_sample", "_content_length", "_delay_left_ns",
        "_progress_at", "_received_at", "_sampled_at", "byte_count",
    )  # fmt: skip

    def __init__(self, now: int, content_length: int = -1) -> None:
        """`content_length` is that of the response in bytes, -1 where it is not known."""
        self.byte_count = 0  # of the body, so far
        self._content_length = content_length
        self._progress_at = self._received_at = self._sampled_at = now
        self._bytes_at_progress = 0
        self._bytes_at_sample = 0
        self._delay_left_ns = MAX_DELAY_NS

    def receive(self, now: int, byte_count: int) -> None:
        """Record that something has come now, and `byte_count` bytes of the body in all."""
        self.byte_count = byte_count
        self._received_at = now
        if byte_count - self._bytes_at_progress >= MIN_PROGRESS_BYTES:
            self._progress_at = now
            self._bytes_at_progress = byte_count

    def sample(self, now: int, is_held_up: bool) -> None:
        """Update the allowances; called at least once in SAMPLE_INTERVAL_NS.

        `is_held_up` tells that the backend can't be seen to pause: its client reads more slowly
        than the response comes, or this node has not read yet what came.
        """
        received = self.byte_count - self._bytes_at_sample
        earned_ns = received * SECOND // MIN_BYTES_PER_S - (now - self._sampled_at)
        self._delay_left_ns = min(max(self._delay_left_ns + earned_ns, 0), MAX_DELAY_NS)
        self._sampled_at = now
        self._bytes_at_sample = self.byte_count
        if is_held_up:
            self._progress_at = now

    def time_left(self, now: int) -> int:
        """Nanoseconds until the response counts as stopped if nothing more comes; 0 if it does."""
        is_trickle = self._received_at - self._progress_at >= TRICKLE_SPAN_NS
        max_pause_ns = MAX_TRICKLE_NS if is_trickle else MAX_PAUSE_NS
        pause_left_ns = self._progress_at + max_pause_ns - now
        return max(min(pause_left_ns, self._delay_left_ns - (now - self._sampled_at)), 0)

    def may_be_passed_on(self, now: int) -> bool:
        """Whether to begin to pass the response on, though it has not come whole in time.

        A failure in time tells its client more than the cut of a short response that has paused.
        """
        may_be_long = (
            max(self.byte_count, self._content_length) >= LONG_RESPONSE_BYTES
            or (self._content_length < 0 and not self.byte_count)  # the head alone
        )
        is_coming = now - self._received_at < UNPAUSED_NS
        return (may_be_long or is_coming) and self.time_left(now) >= MIN_TIME_LEFT_NS


def select_response(now: int, candidates: Sequence[ResponseProgress]) -> int | None:
    """Index of the response to pass on at the end of the client's time, None for none.

    Of several attempts that is the one which may pause longest, so the one that came last.
    """
    lefts = [
        candidate.time_left(now) if candidate.may_be_passed_on(now) else 0
        for candidate in candidates
    ]
    longest = max(lefts, default=0)
    return lefts.index(longest) if longest else None
