"""A voter's disk: the voter's persistent state in the store; every change is one synced batch.

A disk gets a random id when it is first used, and that id identifies the voter. The same machine
with another disk is another voter, which has voted for nobody and acknowledged no entry.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from tansywood.lease.log import Entry, PersistentState, Snapshot
from tansywood.store.engine import Batch, Store

FORMAT = 1
META, SNAPSHOT, ENTRY = b"meta", b"snapshot", b"entry/"
_encode = msgspec.msgpack.Encoder().encode


class DiskError(ValueError):
    """The disk's content can't be used. The message says what the operator has to do."""


class Meta(Struct, array_like=True, frozen=True):
    """Everything a voter stores apart from its log entries and the snapshot's data."""

    format: int
    id: str
    group: str
    saves: int
    term: int
    vote: str
    index: int  # the snapshot's index
    index_term: int  # the snapshot's term
    voters: tuple[str, ...]
    last: int  # index of the last entry
    known_saves: dict[str, int] = {}  # by id of another voter: the saves it reported


@dataclass(slots=True)
class DiskContents:
    """The decoded content of a voter's disk."""

    id: str
    group: str = ""
    saves: int = 0
    saved: PersistentState = field(default_factory=PersistentState)
    known_saves: dict[str, int] = field(default_factory=dict)


def entry_key(index: int) -> bytes:
    """The key in the store of the log entry at this index."""
    return ENTRY + index.to_bytes(8, "big")


def load(store: Store) -> DiskContents | None:
    """Reads a disk's content; None for a disk that was never used. Raises DiskError."""
    data = store.get(META)
    if data is None:
        if next(iter(store.scan()), None) is not None:
            raise DiskError("the folder holds files that no voter wrote: name another")
        return None
    try:
        meta = msgspec.msgpack.decode(data, type=Meta)
        if meta.format != FORMAT:
            raise DiskError(
                f"the disk has format {meta.format}, this version knows format {FORMAT}: "
                "run a newer version"
            )
        entries = []
        for index in range(meta.index + 1, meta.last + 1):
            encoded = store.get(entry_key(index))
            if encoded is None:
                raise DiskError(f"entry {index} is missing: take the disk out and start blank")
            entries.append(msgspec.msgpack.decode(encoded, type=Entry))
    except msgspec.MsgspecError as err:
        raise DiskError(
            f"the voter's disk can't be decoded ({err}): take the disk out and start blank"
        ) from None
    snapshot = Snapshot(meta.index, meta.index_term, meta.voters, store.get(SNAPSHOT) or b"")
    return DiskContents(
        meta.id,
        meta.group,
        meta.saves,
        PersistentState(meta.term, meta.vote, snapshot, tuple(entries)),
        dict(meta.known_saves),
    )


def _last_common_index(old: PersistentState, new: PersistentState) -> int:
    """The last index up to which both logs are the same. Entries of equal terms at one index mean
    that the logs are equal up to that index (Ongaro, 3.5, log matching)."""
    lowest = max(old.snapshot.index, new.snapshot.index)
    highest = min(old.snapshot.index + len(old.entries), new.snapshot.index + len(new.entries))
    for index in range(highest, lowest, -1):
        old_entry = old.entries[index - old.snapshot.index - 1]
        new_entry = new.entries[index - new.snapshot.index - 1]
        if old_entry.term == new_entry.term:
            return index
    return lowest


def plan_write(
    current: DiskContents, new: PersistentState, group: str, known: dict[str, int]
) -> tuple[DiskContents, Batch]:
    """The disk's content after the state `new` is saved, and the batch that writes the difference.

    `known` holds the saves that other voters reported, by voter id.
    """
    old = current.saved
    batch = Batch()
    old_last = old.snapshot.index + len(old.entries)
    last = new.snapshot.index + len(new.entries)
    common = _last_common_index(old, new)
    for index in range(old.snapshot.index + 1, min(new.snapshot.index, old_last) + 1):
        batch.delete(entry_key(index))
    for index in range(max(common, new.snapshot.index) + 1, last + 1):
        batch.put(entry_key(index), _encode(new.entries[index - new.snapshot.index - 1]))
    for index in range(max(last, new.snapshot.index) + 1, old_last + 1):
        batch.delete(entry_key(index))
    if new.snapshot.index != old.snapshot.index:
        batch.put(SNAPSHOT, new.snapshot.data)
    contents = DiskContents(current.id, group, current.saves + 1, new, dict(known))
    batch.put(
        META,
        _encode(
            Meta(
                FORMAT, contents.id, group, contents.saves, new.term, new.voted_for,
                new.snapshot.index, new.snapshot.term, new.snapshot.voters, last,
                contents.known_saves,
            )
        ),
    )  # fmt: skip
    return contents, batch
