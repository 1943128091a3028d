"""Raft's messages between voters, the entries of the log and a voter's persistent state."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=0, le=1 << 62)]

NOOP, VOTERS, COMMAND = 0, 1, 2


class Entry(Struct, array_like=True, frozen=True):
    """One entry of the log. For an entry of kind VOTERS, `data` holds one voter's id per line."""

    term: Count
    kind: Annotated[int, Meta(ge=0, le=2)]
    data: bytes = b""


Entries = Annotated[tuple[Entry, ...], Meta(max_length=256)]


class Snapshot(Struct, array_like=True, frozen=True):
    """Replaces all entries up to and including `index`: `data` is the state that results from
    them, `voters` the membership at that index."""

    index: Count = 0
    term: Count = 0
    voters: tuple[str, ...] = ()
    data: bytes = b""


class PreVoteRequest(Struct, array_like=True, frozen=True, tag="pv"):
    """Asks whether the receiver would vote for the sender in `term`. The receiver's state does not
    change (Ongaro, 9.6)."""

    term: Count
    last_index: Count
    last_term: Count


class PreVoteReply(Struct, array_like=True, frozen=True, tag="pw"):
    """The reply to a `PreVoteRequest`: `term` is the requested term where the pre-vote is granted,
    otherwise the replying voter's own."""

    term: Count
    granted: bool


class VoteRequest(Struct, array_like=True, frozen=True, tag="v"):
    """A candidate asks for a vote; its log ends at `last_index` with an entry of `last_term`."""

    term: Count
    last_index: Count
    last_term: Count


class VoteReply(Struct, array_like=True, frozen=True, tag="w"):
    """The reply to a `VoteRequest`."""

    term: Count
    granted: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag="e"):
    """The leader's entries after `prev_index`; a message without entries is a heartbeat. `round`
    numbers the leader's rounds of heartbeats."""

    term: Count
    prev_index: Count
    prev_term: Count
    entries: Entries
    commit_index: Count
    round: Count


class AppendEntriesReply(Struct, array_like=True, frozen=True, tag="f"):
    """The reply to `AppendEntries` or `InstallSnapshot`. Where `ok`, the follower's log is the same
    as the leader's up to `match_index`; otherwise the leader may retry from `match_index`."""

    term: Count
    ok: bool
    match_index: Count
    round: Count


class InstallSnapshot(Struct, array_like=True, frozen=True, tag="i"):
    """The leader's snapshot, for a follower that needs entries which the leader has compacted."""

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
    """What a voter keeps on its disk. A vote or an acknowledged entry is written here before any
    message tells of it."""

    term: Count = 0
    voted_for: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


def decode_voters(entry: Entry) -> tuple[str, ...]:
    """The ids of the voters in an entry of kind VOTERS."""
    return tuple(filter(None, entry.data.decode().split("\n")))


def encode_voters(term: int, voters: tuple[str, ...]) -> Entry:
    """An entry that changes the membership to these voters."""
    return Entry(term, VOTERS, "\n".join(sorted(voters)).encode())
