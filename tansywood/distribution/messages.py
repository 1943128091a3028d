"""What publisher, distributors and instances say to one another (MessagePack by msgspec).

Each message is a tagged array, checked as it is read; a field may be added at the end with a
default. One message stands in one sealed frame. A *source* is the publisher or a distributor,
a *subscriber* is a distributor (which wants everything) or an instance.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

DIGEST_BYTES = 8
EPOCH_BYTES = 16
MAX_BODY_BYTES = 1536 << 10  # bytes of one resource: a document of 1 MiB, its servers and keys
MAX_FRAME_BYTES = 2 << 20  # bytes of one message: a resource and what surrounds it
MAX_SUBSCRIPTIONS = 20_000  # of one instance

Uid = Annotated[str, Meta(min_length=1, max_length=40)]
NodeName = Annotated[str, Meta(min_length=1, max_length=63)]
Alias = Annotated[str, Meta(min_length=2, max_length=300)]  # see `alias_of_host` and its kind
Count = Annotated[int, Meta(ge=0, le=1 << 62)]
Reason = Annotated[str, Meta(max_length=300)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class MessageError(ValueError):
    """Bytes that are no message of this protocol."""


class Epoch(Struct, array_like=True, frozen=True, order=True):
    """One life of the publisher's history. A later one has the larger number; two that began
    in the same millisecond are told apart, and ordered, by what is random."""

    number: Count = 0
    identity: Annotated[bytes, Meta(max_length=EPOCH_BYTES)] = b""


class Position(Struct, array_like=True, frozen=True, order=True):
    """A place in a history: everything up to `revision` of `epoch`."""

    epoch: Epoch = Epoch()
    revision: Count = 0


class Kind(IntEnum):
    """What a resource in a message says."""

    CONTENT = 0
    REMOVED = 1  # the source has no such resource at its revision
    UNCHANGED = 2  # what the subscriber has is what the source has; only the revision is news


class Resource(Struct, array_like=True, frozen=True):
    """One tenant's configuration. `revision` is that of its last change; `body` is the encoded
    view, which nobody on the way reads; `aliases` go to subscribers of everything only."""

    uid: Uid
    revision: Count
    kind: Kind = Kind.CONTENT
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""
    aliases: Annotated[list[Alias], Meta(max_length=400)] = []


class Version(Struct, array_like=True, frozen=True):
    """What a subscriber has of a resource."""

    uid: Uid
    digest: Digest


class Refusal(Struct, array_like=True, frozen=True):
    """A resource that a subscriber does not take; the last good one stays in force there."""

    uid: Uid
    revision: Count
    reason: Reason


class Rollout(Struct, array_like=True, frozen=True):
    """How far one change has come among the instances of one distributor. `lagging` and
    `refusing` name some of those that wait and refuse."""

    uid: Uid
    revision: Count
    have: Count
    waiting: Count
    refused: Count = 0
    lagging: Annotated[list[NodeName], Meta(max_length=16)] = []
    refusing: Annotated[list[tuple[NodeName, Reason]], Meta(max_length=16)] = []


# ---- from a subscriber ----


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first message. `position` is where to resume: all that is held holds up to there.
    `newest` is the latest revision that anything held may have. With `only_fresh` a source that
    has not heard the publisher lately is to say so and to take nothing up. At `whole` nothing
    waited: a position behind it leaves out what had changed again by then, which says nothing in
    a history that does not have those later changes."""

    name: NodeName
    everything: bool = False
    position: Position = Position()
    subscriptions: Annotated[list[Uid], Meta(max_length=MAX_SUBSCRIPTIONS)] = []
    newest: Count = 0
    only_fresh: bool = False
    whole: Count = 0


class Versions(Struct, array_like=True, frozen=True, tag="v"):
    """What is held, some of it; `last` ends the list."""

    rows: Annotated[list[Version], Meta(max_length=4096)]
    last: bool = True


class Lookup(Struct, array_like=True, frozen=True, tag="l"):
    """Whose are these? What is found is subscribed to."""

    question: Count
    aliases: Annotated[list[Alias], Meta(min_length=1, max_length=8)]


class Unsubscribe(Struct, array_like=True, frozen=True, tag="u"):
    uids: Annotated[list[Uid], Meta(max_length=MAX_SUBSCRIPTIONS)]


class Acknowledge(Struct, array_like=True, frozen=True, tag="a"):
    """All up to `revision` is in force here, but for what is refused; a heartbeat as well.
    What was found by lookups up to `answered` is in force too; None from a program that does not
    tell: what it was sent counts as in force."""

    revision: Count
    refusals: Annotated[list[Refusal], Meta(max_length=1024)] = []
    answered: Count | None = None


class Rollouts(Struct, array_like=True, frozen=True, tag="r"):
    """From a distributor: sums that have changed, and instances that have come to it. With these
    all sums up to `revision` have been told; 0 where more messages of this report follow."""

    rows: Annotated[list[Rollout], Meta(max_length=1024)] = []
    joined: Annotated[list[NodeName], Meta(max_length=4096)] = []
    revision: Count = 0


# ---- from a source ----


class Welcome(Struct, array_like=True, frozen=True, tag="w"):
    """The answer to a hello, and said again where the source goes over to a new epoch.

    With `compare` the subscriber says its versions; without, its position goes on in this epoch,
    which began behind `parent`.
    """

    position: Position
    compare: bool = False
    age_ms: Count = 0
    parent: Position = Position()


class Busy(Struct, array_like=True, frozen=True, tag="b"):
    """Not now, or not here: come again after so long, or go elsewhere."""

    retry_after_ms: Count
    reason: Reason = ""


class Changes(Struct, array_like=True, frozen=True, tag="c"):
    """The latest state of some resources. With these, all of the session's whose last change is
    not behind `progress` has been sent; with `whole` nothing else waits, so that what was sent
    is the state at `progress`."""

    resources: Annotated[list[Resource], Meta(max_length=4096)]
    progress: Count
    whole: bool = False


class Progress(Struct, array_like=True, frozen=True, tag="p"):
    """A heartbeat: all up to `progress` has been sent, and the publisher was heard `age_ms` ago."""

    progress: Count
    age_ms: Count = 0
    whole: bool = False  # as of Changes


class LookupResult(Struct, array_like=True, frozen=True, tag="f"):
    """The answer to a lookup, in the order of its aliases, empty where it is nobody's.
    `resources` are what was found, as far as it has room here; the rest follows as Changes.
    `revision` is the source's."""

    question: Count
    uids: Annotated[list[Annotated[str, Meta(max_length=40)]], Meta(max_length=8)]
    resources: Annotated[list[Resource], Meta(max_length=8)]
    revision: Count


class InstancesMoved(Struct, array_like=True, frozen=True, tag="m"):
    """To a distributor: these instances have come to another one since."""

    names: Annotated[list[NodeName], Meta(max_length=4096)]


Request = Hello | Versions | Lookup | Unsubscribe | Acknowledge | Rollouts
Response = Welcome | Busy | Changes | Progress | LookupResult | InstancesMoved
Message = Request | Response

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    return _encode(message)


def unpack(data: bytes) -> Message:
    """MessageError on anything that `pack` of this protocol would not have made."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as err:
        raise MessageError(str(err)) from None


def digest_of(body: bytes) -> bytes:
    """What tells two states of one resource apart."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def alias_of_host(host: str) -> str:
    return f"h:{host}"


def alias_of_name(name: str) -> str:
    return f"n:{name}"


def alias_of_key(key_id: str) -> str:
    return f"k:{key_id}"


def alias_of_listener(listener: str) -> str:
    return f"l:{listener}"
