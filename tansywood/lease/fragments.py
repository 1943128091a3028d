"""Splits messages between two instances into fragments and reassembles them. Pure.

A fragment travels in the fleet's sealed datagrams, which only instances of the fleet can create and
read. A fragment names the voters' group, so that a group ignores the messages of another group, and
the duration of a lease, so that instances with different durations ignore one another.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Annotated

from msgspec import Meta, Struct

from tansywood.lease.log import Count

Id = Annotated[str, Meta(max_length=100)]  # id of a voter's disk or of a holder
FRAGMENT_BYTES = 900  # largest payload of one datagram
MAX_FRAGMENTS = 4096  # per message, which makes 3.6 MB
MAX_INCOMPLETE_MESSAGES = 256
MAX_INCOMPLETE_AGE_NS = 2_000_000_000  # an older message that lacks a fragment is dropped


class Fragment(Struct, array_like=True, frozen=True, tag="l"):
    """A message or a part of one. `saves` counts the writes that the sender's disk has synced; the
    count of one disk never decreases."""

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
    """Splits an encoded message into payloads of at most `FRAGMENT_BYTES`.

    Raises ValueError where the message needs more than `MAX_FRAGMENTS`.
    """
    payloads = [data[at : at + FRAGMENT_BYTES] for at in range(0, len(data), FRAGMENT_BYTES)] or [
        b""
    ]
    if len(payloads) > MAX_FRAGMENTS:
        raise ValueError(
            f"a message of {len(data)} bytes: {MAX_FRAGMENTS * FRAGMENT_BYTES} at most are allowed"
        )
    return payloads


class Reassembly:
    """Reassembles messages from their fragments. A message that lacks a fragment for too long is
    dropped; every sender has to expect the loss of a message."""

    def __init__(self) -> None:
        self._incomplete: OrderedDict[tuple[bytes, int], tuple[int, dict[int, bytes]]] = (
            OrderedDict()
        )

    def take(self, now: int, life: bytes, fragment: Fragment) -> bytes | None:
        """Adds a fragment from the process `life`; returns the message once it is complete."""
        if fragment.count == 1:
            return fragment.data
        key = (life, fragment.number)
        _, payloads = self._incomplete.setdefault(key, (now, {}))
        payloads[fragment.index] = fragment.data
        if len(payloads) == fragment.count:
            del self._incomplete[key]
            return b"".join(payloads[n] for n in sorted(payloads))
        while self._incomplete:
            oldest = next(iter(self._incomplete))
            age = now - self._incomplete[oldest][0]
            if len(self._incomplete) <= MAX_INCOMPLETE_MESSAGES and age <= MAX_INCOMPLETE_AGE_NS:
                break
            del self._incomplete[oldest]
        return None
