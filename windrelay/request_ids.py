"""The clients' ids of requests that are open or were so a while ago.

Every request has a new id, a client's retry too. A second request with the same id is a copy, or
comes from another client: serving it could run a side effect twice. Ids of requests that change
something are remembered for long, and shared with another process of the node while two run;
others only as long as a copy may cross the answer to the first. Whoever repeats a request under its
old id, after its connection broke within an answer, is turned away.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

SECOND_NS = 1_000_000_000
ROTATION_NS = SECOND_NS  # any id is remembered for one or two of these after its request
UNSAFE_MEMORY_NS = 60 * SECOND_NS  # the id of a request that may not be repeated, from its start
MAX_UNSAFE_IDS = 8192  # remembered at a time; the oldest is forgotten first
KEY_BYTES = 32  # an id up to this length is its own key


def key_of(request_id: bytes) -> bytes:
    """Return the key by which an id is remembered for long, the same in every process."""
    if len(request_id) <= KEY_BYTES:
        return request_id
    return blake2b(request_id, digest_size=KEY_BYTES).digest()


class RequestIds:
    """The ids that a node remembers; times are in nanoseconds of the monotonic clock."""

    __slots__ = ("_older", "_open", "_recent", "_rotated_at", "_unsafe")

    def __init__(self) -> None:
        self._open: set[bytes] = set()
        self._recent: set[bytes] = set()
        self._older: set[bytes] = set()
        self._rotated_at = 0
        self._unsafe: dict[bytes, int] = {}  # keys, the oldest first, with the time of their start

    def contains(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open, or was so a while ago."""
        return (
            request_id in self._open
            or request_id in self._recent
            or request_id in self._older
            or key_of(request_id) in self._unsafe
        )

    def open(self, request_id: bytes) -> None:
        """Remember the id of a request that starts."""
        self._open.add(request_id)

    def close(self, request_id: bytes) -> None:
        """Remember the id of a request that has ended."""
        self._open.discard(request_id)
        self._recent.add(request_id)

    def add_unsafe(self, now: int, keys: Iterable[bytes]) -> None:
        """Remember requests that may not be repeated, of this process or of another one."""
        for key in keys:
            self._unsafe.pop(key, None)
            self._unsafe[key] = now
            if len(self._unsafe) > MAX_UNSAFE_IDS:
                del self._unsafe[next(iter(self._unsafe))]

    def unsafe_keys(self) -> list[bytes]:
        """Return the remembered requests that may not be repeated."""
        return list(self._unsafe)

    def expire(self, now: int) -> None:
        """Forget the ids whose time is over; called periodically."""
        if now - self._rotated_at > ROTATION_NS:
            self._rotated_at = now
            self._older = self._recent
            self._recent = set()
        while self._unsafe:
            oldest = next(iter(self._unsafe))
            if now - self._unsafe[oldest] <= UNSAFE_MEMORY_NS:
                break
            del self._unsafe[oldest]
