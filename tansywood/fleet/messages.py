"""What instances say to one another: typed, checked as it is read (MessagePack by msgspec).

Each is a tagged array; a field may be added at the end with a default, which an older version of
the program does not read and a newer one fills in. Anything else is a MessageError.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=63)]
Place = Annotated[str, Meta(max_length=21)]  # IPv4:port
Key = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=1 << 62)]
AllocatorIndex = Annotated[int, Meta(ge=-1, le=63)]
LIFE_BYTES = 16  # bytes
Life = Annotated[bytes, Meta(min_length=LIFE_BYTES, max_length=LIFE_BYTES)]


class MessageError(ValueError):
    """Bytes that are no message of this protocol."""


class MemberUpdate(Struct, array_like=True, frozen=True):
    """One member as its sender believes it to be. The greater of two, by life (`born`, then the
    life's bytes), incarnation and state, is the newer."""

    name: Name
    address: Place
    life: Life
    born: Count
    incarnation: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    drains: bool = False
    version: Annotated[str, Meta(max_length=40)] = ""
    zone: Annotated[str, Meta(max_length=63)] = ""
    accuser: Annotated[str, Meta(max_length=63)] = ""  # of a suspect: who found it out itself


MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=64)]


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """Who are you? Changes nothing at whoever gets it."""


class Welcome(Struct, array_like=True, frozen=True, tag="w"):
    """The answer: the sender's life is in the envelope."""


class Ping(Struct, array_like=True, frozen=True, tag="p"):
    """Are you there? With updates of members, as have its answers."""

    seq: Count
    target: Name
    news: MemberUpdates = []


class PingFor(Struct, array_like=True, frozen=True, tag="q"):
    """Ask another in my place."""

    seq: Count
    target: Name
    news: MemberUpdates = []


class Ack(Struct, array_like=True, frozen=True, tag="a"):
    """The answer to a ping, or to one made for another."""

    seq: Count
    news: MemberUpdates = []


class Nack(Struct, array_like=True, frozen=True, tag="n"):
    """I asked in your place and have heard nothing: at least I am there."""

    seq: Count


class Sync(Struct, array_like=True, frozen=True, tag="s"):
    """Members as I believe them to be, some of many; `answer` asks for yours."""

    members: MemberUpdates
    answer: bool = False


class ClaimEntry(Struct, array_like=True, frozen=True):
    """What is claimed of one limit. `applied` is the claim whose grant the holder goes by."""

    key: Key
    need: Count
    applied: Count


class Observation(Struct, array_like=True, frozen=True):
    """What the sender itself saw of a server, so long ago."""

    server: Key
    kind: Annotated[int, Meta(ge=0, le=4)]
    age: Count


class Claim(Struct, array_like=True, frozen=True, tag="c"):
    """A holder asks one allocator for units of limits, and tells what it saw of servers."""

    seq: Count
    entries: Annotated[list[ClaimEntry], Meta(max_length=64)]
    seen: Annotated[list[Observation], Meta(max_length=64)] = []
    allocator: AllocatorIndex = -1  # whose slice is asked for; -1: of the one that is asked


class GrantEntry(Struct, array_like=True, frozen=True):
    """What is granted of one limit, in units."""

    key: Key
    amount: Count


class Grant(Struct, array_like=True, frozen=True, tag="g"):
    """The answer to a claim."""

    seq: Count  # of the claim
    entries: Annotated[list[GrantEntry], Meta(max_length=64)]
    doubted: Annotated[list[Key], Meta(max_length=64)] = []
    back: Annotated[list[Key], Meta(max_length=64)] = []  # that the claim called out, and answer
    allocator: AllocatorIndex = -1  # whose slice this is of; -1: the answerer's


class Return(Struct, array_like=True, frozen=True, tag="r"):
    """I hold nothing of you any more: what drains says this at its end."""

    seq: Count
    allocator: AllocatorIndex = -1


class Carried(Struct, array_like=True, frozen=True, tag="x"):
    """Something of another part of the program, which alone reads it."""

    data: Annotated[bytes, Meta(max_length=1200)]


Body = Hello | Welcome | Ping | PingFor | Ack | Nack | Sync | Claim | Grant | Return | Carried


class Envelope(Struct, array_like=True, frozen=True):
    """One datagram, before it is sealed."""

    sender: Name
    address: Place  # where the sender is asked
    to: Annotated[
        bytes, Meta(max_length=LIFE_BYTES)
    ]  # the life this is for; empty in a hello alone
    body: Body


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Envelope)


def pack(envelope: Envelope) -> bytes:
    """An envelope as bytes."""
    return _encode(envelope)


def unpack(data: bytes) -> Envelope:
    """MessageError on anything that `pack` of this protocol would not have made."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as err:
        raise MessageError(str(err)) from None
