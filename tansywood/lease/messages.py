"""Messages between lease clients, apart from Raft's own, and the encoding of both. Pure."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from tansywood.lease.log import (
    AppendEntries,
    AppendEntriesReply,
    Count,
    InstallSnapshot,
    Message,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)


class LeaseRequest(Struct, array_like=True, frozen=True, tag="ask"):
    """A holder's request: it renews all of the holder's leases, asks for those in `acquire` and
    gives back those in `release`."""

    holder: str
    seq: Count
    acquire: tuple[str, ...] = ()
    release: tuple[tuple[str, int, str], ...] = ()  # name, token, next holder or empty
    last_reply_seq: Count = 0  # number of the latest request whose reply the holder received


class LeaseReply(Struct, array_like=True, frozen=True, tag="told"):
    """All leases of the holder at a moment after it sent the request. A voter that does not lead
    replies with `ok` False and the leader's id, if it knows one."""

    seq: Count
    ok: bool
    leases: tuple[tuple[str, int], ...] = ()
    leader: str = ""
    # Holders whose requests arrive but which get no reply; nothing may be granted to them.
    unreachable_holders: tuple[str, ...] = ()


class VoterAnnouncement(Struct, array_like=True, frozen=True, tag="here"):
    """Tells the other voters' instances that this voter's disk is in use."""

    is_learner: bool = False  # the disk is not among the voters that its own log names


class DiskBehind(Struct, array_like=True, frozen=True, tag="behind"):
    """Tells a voter that its disk has fewer saves than it reported before. The disk was restored
    from a copy or lost data that it had synced."""

    saves: Count


class GrantNotice(Struct, array_like=True, frozen=True, tag="poke"):
    """Tells a holder that leases were granted to it since its last request, so that it sends the
    next request at once."""


class TableQuery(Struct, array_like=True, frozen=True, tag="q"):
    """An instance that does not vote asks for the table of leases."""


class TableReply(Struct, array_like=True, frozen=True, tag="r"):
    """The reply to a `TableQuery`: all leases that are held."""

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
LOG_MESSAGES = (
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
)

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def pack(message: AnyMessage) -> bytes:
    """Encodes a message."""
    return _encode(message)


def unpack(data: bytes) -> AnyMessage:
    """Decodes a message. Raises msgspec.MsgspecError where this version does not know it."""
    message: AnyMessage = _decoder.decode(data)
    return message
