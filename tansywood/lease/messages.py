"""Messages between lease clients, beside those of the log: typed, and as bytes. Pure."""

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
    """A holder's request: renew all that it has, grant or take back the leases named besides."""

    holder: str
    seq: Count
    acquire: tuple[str, ...] = ()
    release: tuple[tuple[str, int, str], ...] = ()  # name, token, to whom
    last_reply_seq: Count = 0  # the latest request of which it has the reply


class LeaseReply(Struct, array_like=True, frozen=True, tag="told"):
    """What the holder has, all of it, at a moment after it asked. `leader` where another leads."""

    seq: Count
    ok: bool
    leases: tuple[tuple[str, int], ...] = ()
    leader: str = ""
    unreachable_holders: tuple[
        str, ...
    ] = ()  # holders that ask and hear nothing: nothing is to go to them


class VoterAnnouncement(Struct, array_like=True, frozen=True, tag="here"):
    """A voter whose disk is in use, to the other voters' machines."""

    is_learner: bool = False  # it is in no group's voters that it knows of


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
    """A message as bytes."""
    return _encode(message)


def unpack(data: bytes) -> AnyMessage:
    """msgspec.MsgspecError on what no version of this sends."""
    made: AnyMessage = _decoder.decode(data)
    return made
