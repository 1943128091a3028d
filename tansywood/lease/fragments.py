"""Messages between two instances, in fragments where long. Pure.

A fragment rides in the fleet's sealed datagrams, which only the fleet can make and read. It names
the voters' group, so that two groups that meet take nothing of one another, and how long a lease
lasts, so that no two instances go by different lengths.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Annotated

from msgspec import Meta, Struct

from tansywood.lease.log import Count

Id = Annotated[str, Meta(max_length=100)]  # of a voter's disk or of a holder
FRAGMENT_BYTES = 900  # of a message in one datagram
MAX_FRAGMENTS = 4096  # of one message: 3.6 MB
MAX_INCOMPLETE = 256  # messages that lack a fragment
INCOMPLETE_FOR = 2_000_000_000  # nanoseconds until the rest of one is no longer waited for


class Fragment(Struct, array_like=True, frozen=True, tag="l"):
    """A message, or a fragment of one. `saves` counts what the sender's disk has synced: it never
    says less than it said."""

    group: Annotated[str, Meta(max_length=32)]
    sender: Id
    to: Id
    saves: Count
    length_ms: Count
    number: Count
    index: Count
    count: Annotated[int, Meta(ge=1, le=MAX_FRAGMENTS)]
    data: Annotated[bytes, Meta(max_length=FRAGMENT_BYTES)]


def split_message(data: bytes) -> list[bytes]:
    """In as many bytes as a fragment takes; ValueError where even those are too many."""
    payloads = [data[at : at + FRAGMENT_BYTES] for at in range(0, len(data), FRAGMENT_BYTES)] or [
        b""
    ]
    if len(payloads) > MAX_FRAGMENTS:
        raise ValueError(
            f"a message of {len(data)} bytes: {MAX_FRAGMENTS * FRAGMENT_BYTES} at most"
        )
    return payloads


class Reassembly:
    """Puts messages together again. One that lacks a fragment is lost, as any message may be."""

    def __init__(self) -> None:
        self._incomplete: OrderedDict[tuple[bytes, int], tuple[int, dict[int, bytes]]] = (
            OrderedDict()
        )

    def take(self, now: int, life: bytes, fragment: Fragment) -> bytes | None:
        """The whole, once its last fragment is here."""
        if fragment.count == 1:
            return fragment.data
        key = (life, fragment.number)
        _, some = self._incomplete.setdefault(key, (now, {}))
        some[fragment.index] = fragment.data
        if len(some) == fragment.count:
            del self._incomplete[key]
            return b"".join(some[n] for n in sorted(some))
        while self._incomplete:
            oldest = next(iter(self._incomplete))
            age = now - self._incomplete[oldest][0]
            if len(self._incomplete) <= MAX_INCOMPLETE and age <= INCOMPLETE_FOR:
                break
            del self._incomplete[oldest]
        return None
