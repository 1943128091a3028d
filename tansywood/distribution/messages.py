"""Messages between publisher, distributors and instances (MessagePack, encoded with msgspec).

Each message is a tagged array that is validated when it is decoded. New fields may only be added at
the end and need a default. One sealed frame holds one message. A *source* is the publisher or a
distributor; a *subscriber* is a distributor, which subscribes to all resources, or an instance.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

DIGEST_BYTES = 8
EPOCH_BYTES = 16
MAX_BODY_BYTES = 1536 << 10  # of one resource: a document of 1 MiB, its servers and keys
MAX_FRAME_BYTES = 2 << 20  # of one message: the largest resource and its envelope
MAX_SUBSCRIPTIONS = 20_000  # of one instance

Uid = Annotated[str, Meta(min_length=1, max_length=40)]
NodeName = Annotated[str, Meta(min_length=1, max_length=63)]
Alias = Annotated[str, Meta(min_length=2, max_length=300)]  # made by the alias_of_* functions
Count = Annotated[int, Meta(ge=0, le=1 << 62)]
Reason = Annotated[str, Meta(max_length=300)]
Digest = Annotated[bytes, Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]


class MessageError(ValueError):
    """Received bytes do not decode to a message of this protocol."""


class Epoch(Struct, array_like=True, frozen=True, order=True):
    """One period of the publisher's history. A later epoch has the larger number; two epochs that
    began in the same millisecond are distinguished and ordered by their random `identity`."""

    number: Count = 0
    identity: Annotated[bytes, Meta(max_length=EPOCH_BYTES)] = b""


class Position(Struct, array_like=True, frozen=True, order=True):
    """A point in a history: it covers all changes of `epoch` up to `revision`."""

    epoch: Epoch = Epoch()
    revision: Count = 0


class Kind(IntEnum):
    """What a message states about a resource."""

    CONTENT = 0
    REMOVED = 1  # the resource does not exist at the source's revision
    UNCHANGED = 2  # the subscriber has the source's content; only the revision is new


class Resource(Struct, array_like=True, frozen=True):
    """One tenant's configuration. `revision` is that of its last change. `body` is the encoded
    view, which distributors forward unread. `aliases` are sent only to subscribers of all
    resources."""

    uid: Uid
    revision: Count
    kind: Kind = Kind.CONTENT
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""
    aliases: Annotated[list[Alias], Meta(max_length=400)] = []


class Version(Struct, array_like=True, frozen=True):
    """The state of a resource that a subscriber holds, identified by its digest."""

    uid: Uid
    digest: Digest


class Refusal(Struct, array_like=True, frozen=True):
    """A resource state that a subscriber rejects; the last valid state stays in force there."""

    uid: Uid
    revision: Count
    reason: Reason


class Rollout(Struct, array_like=True, frozen=True):
    """Progress of one change among the instances of one distributor. `have`, `waiting` and
    `refused` count instances; `lagging` and `refusing` name a few of those that wait or refuse."""

    uid: Uid
    revision: Count
    have: Count
    waiting: Count
    refused: Count = 0
    lagging: Annotated[list[NodeName], Meta(max_length=16)] = []
    refusing: Annotated[list[tuple[NodeName, Reason]], Meta(max_length=16)] = []


# ---- from a subscriber ----


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first message of a session.

    `position` is the point to resume from: the subscriber's state is complete up to there. `newest`
    is the latest revision that any held resource may have. With `only_fresh`, a source that has not
    heard the publisher recently has to turn the subscriber away. At `consistent_revision` the
    source had nothing left to send. A later `position` omits resources that had changed again by
    that time, so it is not valid in a history that lacks those later changes; the consistent
    revision is.
    """

    name: NodeName
    everything: bool = False
    position: Position = Position()
    subscriptions: Annotated[list[Uid], Meta(max_length=MAX_SUBSCRIPTIONS)] = []
    newest: Count = 0
    only_fresh: bool = False
    consistent_revision: Count = 0


class Versions(Struct, array_like=True, frozen=True, tag="v"):
    """Part of the list of held resource states; `last` marks the end of the list."""

    rows: Annotated[list[Version], Meta(max_length=4096)]
    last: bool = True


class Lookup(Struct, array_like=True, frozen=True, tag="l"):
    """Asks which tenants own these aliases. The source subscribes the sender to each one found."""

    question: Count
    aliases: Annotated[list[Alias], Meta(min_length=1, max_length=8)]


class Unsubscribe(Struct, array_like=True, frozen=True, tag="u"):
    """Ends the subscriptions to these resources."""

    uids: Annotated[list[Uid], Meta(max_length=MAX_SUBSCRIPTIONS)]


class Acknowledge(Struct, array_like=True, frozen=True, tag="a"):
    """All changes up to `revision` are in force at the subscriber, except for those refused. It
    also serves as a heartbeat. Results of lookups up to `answered` are in force as well. A program
    that does not report this sends None; then every result sent to it counts as in force."""

    revision: Count
    refusals: Annotated[list[Refusal], Meta(max_length=1024)] = []
    answered: Count | None = None


class Rollouts(Struct, array_like=True, frozen=True, tag="r"):
    """A distributor's report: counts that have changed, and instances that have connected to it.
    After this message all counts up to `revision` are reported; `revision` is 0 where more messages
    of the same report follow."""

    rows: Annotated[list[Rollout], Meta(max_length=1024)] = []
    joined: Annotated[list[NodeName], Meta(max_length=4096)] = []
    revision: Count = 0


# ---- from a source ----


class Welcome(Struct, array_like=True, frozen=True, tag="w"):
    """The answer to a hello, repeated when the source changes to a new epoch.

    With `compare` the subscriber has to send its versions. Without it the subscriber's position
    continues in this epoch, which began after `parent`.
    """

    position: Position
    compare: bool = False
    age_ms: Count = 0
    parent: Position = Position()


class Busy(Struct, array_like=True, frozen=True, tag="b"):
    """The source does not admit the subscriber: retry after this time, or use another source."""

    retry_after_ms: Count
    reason: Reason = ""


class Changes(Struct, array_like=True, frozen=True, tag="c"):
    """The latest state of some resources. After this message every resource of the session whose
    last change is at or before `progress` has been sent. With `consistent` nothing else is queued,
    so the subscriber has the complete state at `progress`."""

    resources: Annotated[list[Resource], Meta(max_length=4096)]
    progress: Count
    consistent: bool = False


class Progress(Struct, array_like=True, frozen=True, tag="p"):
    """A heartbeat: all changes up to `progress` were sent. `age_ms` is the time since the publisher
    was last heard."""

    progress: Count
    age_ms: Count = 0
    consistent: bool = False  # as in Changes


class LookupResult(Struct, array_like=True, frozen=True, tag="f"):
    """The answer to a lookup: one uid per alias, in the same order, empty where the alias has no
    owner. `resources` holds the resources found, as far as they fit; the rest follows as Changes.
    `revision` is the source's current revision."""

    question: Count
    uids: Annotated[list[Annotated[str, Meta(max_length=40)]], Meta(max_length=8)]
    resources: Annotated[list[Resource], Meta(max_length=8)]
    revision: Count


class InstancesMoved(Struct, array_like=True, frozen=True, tag="m"):
    """Tells a distributor that these instances have since connected to another one."""

    names: Annotated[list[NodeName], Meta(max_length=4096)]


Request = Hello | Versions | Lookup | Unsubscribe | Acknowledge | Rollouts
Response = Welcome | Busy | Changes | Progress | LookupResult | InstancesMoved
Message = Request | Response

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    """Encode a message."""
    return _encode(message)


def unpack(data: bytes) -> Message:
    """Decode a message. Raises MessageError for bytes that `pack` could not have produced."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as err:
        raise MessageError(str(err)) from None


def digest_of(body: bytes) -> bytes:
    """The digest that identifies one state of a resource."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def alias_of_host(host: str) -> str:
    """The alias under which a tenant is found by its HTTP host."""
    return f"h:{host}"


def alias_of_name(name: str) -> str:
    """The alias under which a tenant is found by its name."""
    return f"n:{name}"


def alias_of_key(key_id: str) -> str:
    """The alias under which a tenant is found by the id of one of its keys."""
    return f"k:{key_id}"


def alias_of_listener(listener: str) -> str:
    """The alias under which a tenant is found by the name of its listener."""
    return f"l:{listener}"
