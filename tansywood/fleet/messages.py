"""Messages between instances of a fleet: MessagePack, typed and checked on decoding by msgspec.

Each message is a tagged array. A field may be added only at the end and with a default: an older
version of the program ignores the field, a newer one fills in the default. Bytes that don't fit a
message's type raise MessageError. Durations are nanoseconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=63)]
Address = Annotated[str, Meta(max_length=21)]  # IPv4:port
Key = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=1 << 62)]
AllocatorIndex = Annotated[int, Meta(ge=-1, le=63)]
LIFE_BYTES = 16  # 128 random bits that name one run of a process
Life = Annotated[bytes, Meta(min_length=LIFE_BYTES, max_length=LIFE_BYTES)]


class MessageError(ValueError):
    """The bytes are not a valid message of this protocol."""


class MemberUpdate(Struct, array_like=True, frozen=True):
    """The state of one member as the sender believes it to be.

    Of two updates the greater is the newer, compared by life (`born`, then the life's bytes), then
    by incarnation, then by state. `born` is the process's start in milliseconds of Unix time.
    """

    name: Name
    address: Address
    life: Life
    born: Count
    incarnation: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    drains: bool = False
    version: Annotated[str, Meta(max_length=40)] = ""
    zone: Annotated[str, Meta(max_length=63)] = ""
    accuser: Annotated[str, Meta(max_length=63)] = ""  # member whose probe of a suspect failed


MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=64)]


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """Asks for the receiver's life. It changes nothing at the receiver."""


class Welcome(Struct, array_like=True, frozen=True, tag="w"):
    """Answers a hello; the datagram's seal carries the sender's life."""


class Ping(Struct, array_like=True, frozen=True, tag="p"):
    """A direct probe. Probes and their answers carry gossiped member updates."""

    seq: Count
    target: Name
    news: MemberUpdates = []


class PingFor(Struct, array_like=True, frozen=True, tag="q"):
    """Asks the receiver to probe the target for the sender (an indirect probe)."""

    seq: Count
    target: Name
    news: MemberUpdates = []


class Ack(Struct, array_like=True, frozen=True, tag="a"):
    """Answers a probe, direct or relayed."""

    seq: Count
    news: MemberUpdates = []


class Nack(Struct, array_like=True, frozen=True, tag="n"):
    """Tells the requester of an indirect probe that the target has not answered its helper yet.

    It proves to the requester that the path to the helper works.
    """

    seq: Count


class Sync(Struct, array_like=True, frozen=True, tag="s"):
    """A part of the sender's member records; `answer` asks the receiver to send its own."""

    members: MemberUpdates
    answer: bool = False


class ClaimEntry(Struct, array_like=True, frozen=True):
    """The units claimed of one limit; `applied` is the claim whose grant the holder now uses."""

    key: Key
    need: Count
    applied: Count


class Observation(Struct, array_like=True, frozen=True):
    """What the sender itself observed of a server, and how long ago."""

    server: Key
    kind: Annotated[int, Meta(ge=0, le=4)]
    age: Count


class Claim(Struct, array_like=True, frozen=True, tag="c"):
    """A holder claims units of limits from one allocator and reports observations of servers."""

    seq: Count
    entries: Annotated[list[ClaimEntry], Meta(max_length=64)]
    seen: Annotated[list[Observation], Meta(max_length=64)] = []
    allocator: AllocatorIndex = -1  # whose slice is claimed; -1: the receiver's


class GrantEntry(Struct, array_like=True, frozen=True):
    """The units granted of one limit."""

    key: Key
    amount: Count


class Grant(Struct, array_like=True, frozen=True, tag="g"):
    """The answer to a claim."""

    seq: Count  # sequence number of the answered claim
    entries: Annotated[list[GrantEntry], Meta(max_length=64)]
    doubted: Annotated[list[Key], Meta(max_length=64)] = []
    back: Annotated[list[Key], Meta(max_length=64)] = []  # ejected by the claimant, answer others
    allocator: AllocatorIndex = -1  # whose slice is granted; -1: the sender's


class Return(Struct, array_like=True, frozen=True, tag="r"):
    """Gives back all that the sender holds of an allocator; sent at the end of a drain."""

    seq: Count
    allocator: AllocatorIndex = -1


class Carried(Struct, array_like=True, frozen=True, tag="x"):
    """Opaque data of another component, which alone decodes it."""

    data: Annotated[bytes, Meta(max_length=1200)]


Body = Hello | Welcome | Ping | PingFor | Ack | Nack | Sync | Claim | Grant | Return | Carried


class Envelope(Struct, array_like=True, frozen=True):
    """The content of one datagram before it is sealed."""

    sender: Name
    address: Address  # where the sender receives datagrams
    to: Annotated[bytes, Meta(max_length=LIFE_BYTES)]  # the receiver's life; empty only in a hello
    body: Body


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Envelope)


def pack(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    return _encode(envelope)


def unpack(data: bytes) -> Envelope:
    """Decode an envelope; MessageError where the bytes are not valid in this protocol."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as err:
        raise MessageError(str(err)) from None
