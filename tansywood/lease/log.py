"""What the voters say to one another, and what they keep: Raft's messages and entries, typed."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=1 << 62)]

NOOP, VOTERS, COMMAND = 0, 1, 2


class Entry(Struct, array_like=True, frozen=True):
    """One place of the log. Of VOTERS `data` is their names, by lines."""

    term: Count
    kind: Annotated[int, Meta(ge=0, le=2)]
    data: bytes = b""


Entries = Annotated[tuple[Entry, ...], Meta(max_length=256)]


class Snapshot(Struct, array_like=True, frozen=True):
    """All up to `index`, in place of the entries: what they came to, and who the voters were."""

    index: Count = 0
    term: Count = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


class PreVoteRequest(Struct, array_like=True, frozen=True, tag="pv"):
    """Would you vote for me in this term? Changes nothing (Ongaro, 9.6)."""

    term: Count
    last_index: Count
    last_term: Count


class PreVoteReply(Struct, array_like=True, frozen=True, tag="pw"):
    term: Count
    granted: bool


class VoteRequest(Struct, array_like=True, frozen=True, tag="v"):
    term: Count
    last_index: Count
    last_term: Count


class VoteReply(Struct, array_like=True, frozen=True, tag="w"):
    term: Count
    granted: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag="e"):
    """Entries behind `prev`, or none: a heartbeat. `round` is counted by the leader."""

    term: Count
    prev_index: Count
    prev_term: Count
    entries: Entries
    commit_index: Count
    round: Count


class AppendEntriesReply(Struct, array_like=True, frozen=True, tag="f"):
    """`match`: all up to it is as the leader's; where not ok, the next try may begin there."""

    term: Count
    ok: bool
    match_index: Count
    round: Count


class InstallSnapshot(Struct, array_like=True, frozen=True, tag="i"):
    term: Count
    snapshot: Snapshot
    round: Count


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
)


class PersistentState(Struct, array_like=True, frozen=True):
    """What a voter's disk holds. A vote or an entry that is not there was never given."""

    term: Count = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


def voters_of(entry: Entry) -> tuple[str, ...]:
    return tuple(filter(None, entry.data.decode().split("\n")))


def voters_entry(term: int, voters: tuple[str, ...]) -> Entry:
    return Entry(term, VOTERS, "\n".join(sorted(voters)).encode())
