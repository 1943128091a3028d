"""What goes between the lease clients of two instances: messages, in fragments where long.

A fragment rides in the fleet's sealed datagrams, which only the fleet can make and read. It names
the voters' group, so that two groups that meet take nothing of one another, and how long a lease
lasts, so that no two instances go by different lengths.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from tansywood.lease.log import Append, Appended, Install, Message, PreVote, PreVoted, Vote, Voted
from tansywood.lease.service import LeaseReply, LeaseRequest

Count = Annotated[int, Meta(ge=0, le=1 << 62)]
Id = Annotated[str, Meta(max_length=100)]  # of a voter's disk or of a holder
FRAGMENT_BYTES = 900  # of a message in one datagram
MAX_FRAGMENTS = 4096  # of one message: 3.6 MB
OPEN = 256  # messages that are whole in part
KEPT = 2_000_000_000  # nanoseconds until the rest of one is no longer waited for


class VoterAnnouncement(Struct, array_like=True, frozen=True, tag="here"):
    """A voter whose disk is in use, to the other voters' machines."""

    learns: bool = False  # it is in no group's voters that it knows of


class DiskBehind(Struct, array_like=True, frozen=True, tag="behind"):
    """Your disk holds less than what it said before: it was restored, or lost what it synced."""

    saves: Count


class GrantNotice(Struct, array_like=True, frozen=True, tag="poke"):
    """A holder was granted leases since its last request: it should ask now."""


class TableQuery(Struct, array_like=True, frozen=True, tag="q"):
    """A member that does not vote asks who holds what."""


class TableReply(Struct, array_like=True, frozen=True, tag="r"):
    """To a `TableQuery`: all leases that are held."""

    rows: tuple[tuple[str, str, int], ...]  # name, holder, token


ClientMessage = (
    LeaseRequest
    | LeaseReply
    | VoterAnnouncement
    | DiskBehind
    | GrantNotice
    | TableQuery
    | TableReply
)
AnyMessage = Message | ClientMessage
LOG_MESSAGES = (PreVote, PreVoted, Vote, Voted, Append, Appended, Install)


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


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def pack(message: AnyMessage) -> bytes:
    """A message as bytes."""
    return _encode(message)


def unpack(data: bytes) -> AnyMessage:
    """msgspec.MsgspecError on what no version of this sends."""
    made: AnyMessage = _decoder.decode(data)
    return made


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
        self._open: OrderedDict[tuple[bytes, int], tuple[int, dict[int, bytes]]] = OrderedDict()

    def take(self, now: int, life: bytes, fragment: Fragment) -> bytes | None:
        """The whole, once its last fragment is here."""
        if fragment.count == 1:
            return fragment.data
        key = (life, fragment.number)
        _, some = self._open.setdefault(key, (now, {}))
        some[fragment.index] = fragment.data
        if len(some) == fragment.count:
            del self._open[key]
            return b"".join(some[n] for n in sorted(some))
        while self._open:
            oldest = next(iter(self._open))
            if len(self._open) <= OPEN and now - self._open[oldest][0] <= KEPT:
                break
            del self._open[oldest]
        return None
