"""A voter's disk: what it promised, in the store, each change one synced batch.

A disk has an id that is drawn when it is first used. A voter is that id: the same machine with
another disk is another voter, which nobody has asked for anything yet.
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
    """What lies there can't be gone by; the text says what to do."""


class Meta(Struct, array_like=True, frozen=True):
    """All of a voter but its entries and the snapshot's bytes."""

    format: int
    id: str
    group: str
    saves: int
    term: int
    vote: str
    index: int  # of the snapshot
    index_term: int
    voters: tuple[str, ...]
    last: int  # of the entries
    known_saves: dict[str, int] = {}  # of other voters: how many saves they had told of


@dataclass(slots=True)
class DiskContents:
    """What a disk holds."""

    id: str
    group: str = ""
    saves: int = 0
    saved: PersistentState = field(default_factory=PersistentState)
    known_saves: dict[str, int] = field(default_factory=dict)


def entry_key(index: int) -> bytes:
    """The key of a place of the log in the store."""
    return ENTRY + index.to_bytes(8, "big")


def load(store: Store) -> DiskContents | None:
    """What was saved last, whole; None of a disk that was never used. DiskError."""
    data = store.get(META)
    if data is None:
        if next(iter(store.scan()), None) is not None:
            raise DiskError("the folder holds something that is no voter's: name another")
        return None
    try:
        meta = msgspec.msgpack.decode(data, type=Meta)
        if meta.format != FORMAT:
            raise DiskError(f"format {meta.format}, this version knows {FORMAT}: run a newer one")
        entries = []
        for index in range(meta.index + 1, meta.last + 1):
            row = store.get(entry_key(index))
            if row is None:
                raise DiskError(f"entry {index} is missing: take the disk out and start blank")
            entries.append(msgspec.msgpack.decode(row, type=Entry))
    except msgspec.MsgspecError as err:
        raise DiskError(f"can't be read ({err}): take the disk out and start blank") from None
    snapshot = Snapshot(meta.index, meta.index_term, meta.voters, store.get(SNAPSHOT) or b"")
    return DiskContents(
        meta.id,
        meta.group,
        meta.saves,
        PersistentState(meta.term, meta.vote, snapshot, tuple(entries)),
        dict(meta.known_saves),
    )


def _common(old: PersistentState, new: PersistentState) -> int:
    """The last index up to which both logs are the same: equal terms at one index mean equal
    logs up to it (Ongaro, 3.5, log matching)."""
    low = max(old.snapshot.index, new.snapshot.index)
    high = min(old.snapshot.index + len(old.entries), new.snapshot.index + len(new.entries))
    for index in range(high, low, -1):
        a = old.entries[index - old.snapshot.index - 1]
        b = new.entries[index - new.snapshot.index - 1]
        if a.term == b.term:
            return index
    return low


def plan_write(
    kept: DiskContents, new: PersistentState, group: str, known: dict[str, int]
) -> tuple[DiskContents, Batch]:
    """What the disk holds after `new`, and the batch that makes it so."""
    old = kept.saved
    batch = Batch()
    old_last = old.snapshot.index + len(old.entries)
    last = new.snapshot.index + len(new.entries)
    same = _common(old, new)
    for index in range(old.snapshot.index + 1, min(new.snapshot.index, old_last) + 1):
        batch.delete(entry_key(index))
    for index in range(max(same, new.snapshot.index) + 1, last + 1):
        batch.put(entry_key(index), _encode(new.entries[index - new.snapshot.index - 1]))
    for index in range(max(last, new.snapshot.index) + 1, old_last + 1):
        batch.delete(entry_key(index))
    if new.snapshot.index != old.snapshot.index:
        batch.put(SNAPSHOT, new.snapshot.data)
    made = DiskContents(kept.id, group, kept.saves + 1, new, dict(known))
    batch.put(
        META,
        _encode(
            Meta(
                FORMAT, made.id, group, made.saves, new.term, new.voted_for, new.snapshot.index,
                new.snapshot.term, new.snapshot.voters, last, made.known_saves,
            )
        ),
    )  # fmt: skip
    return made, batch
