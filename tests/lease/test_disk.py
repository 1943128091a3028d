"""What a voter promised lasts over a crash at every operation of its disk."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from standins.disk import Crash, Disk
from tansywood.lease.disk import DiskContents, DiskError, entry_key, load, plan_write
from tansywood.lease.log import COMMAND, Entry, PersistentState, Snapshot
from tansywood.store import Store


def opened(disk: Disk) -> Store:
    return Store.open(files=disk, segment_bytes=4096, least_garbage=512)


def step(rng: Random, saved: PersistentState) -> PersistentState:
    """A vote, entries, a tail that another leader cut, a snapshot: as Raft may ask for."""
    kind = rng.randrange(5)
    entries, snapshot = list(saved.entries), saved.snapshot
    last = snapshot.index + len(entries)
    if kind == 0:
        return PersistentState(saved.term + 1, rng.choice("abc"), snapshot, saved.entries)
    if kind == 1 and entries:
        at = rng.randrange(len(entries))
        term = saved.term + 1
        row = tuple(Entry(term, COMMAND, rng.randbytes(9)) for _ in range(rng.randrange(3)))
        return PersistentState(term, "", snapshot, (*entries[:at], *row))
    if kind == 2 and len(entries) > 3:
        index = snapshot.index + rng.randrange(1, len(entries) + 1)
        term = entries[index - snapshot.index - 1].term
        rest = tuple(entries[index - snapshot.index :])
        return PersistentState(
            saved.term, saved.voted_for, Snapshot(index, term, ("a",), b"table"), rest
        )
    if kind == 3 and rng.random() < 0.2:
        whole = Snapshot(last + rng.randrange(1, 9), saved.term, ("a", "b"), rng.randbytes(50))
        return PersistentState(saved.term, saved.voted_for, whole, ())
    more = [Entry(saved.term, COMMAND, rng.randbytes(20)) for _ in range(rng.randrange(1, 5))]
    return PersistentState(saved.term, saved.voted_for, snapshot, (*entries, *more))


def play(disk: Disk, seed: int, told: Callable[[DiskContents], None]) -> None:
    rng = Random(seed)
    store = opened(disk)
    kept = DiskContents("a/1", "g")
    for _ in range(60):
        made, batch = plan_write(kept, step(rng, kept.saved), "g", {"b/2": kept.saves})
        told(made)  # on its way
        store.write(batch, durable=True)
        kept = made
        told(made)  # said
    store.close()


def plain(kept: DiskContents) -> tuple[object, ...]:
    return kept.id, kept.group, kept.saves, kept.saved, kept.known_saves


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_at_every_operation_keeps_what_was_said_and_no_more_than_was_begun(
    seed: int,
) -> None:
    whole = Disk()
    play(whole, seed, lambda _kept: None)
    for number in range(1, whole.count + 1, 3):
        disk = Disk()
        said: list[DiskContents] = []

        def before(count: int, _what: str, number: int = number) -> None:
            if count == number:
                raise Crash

        disk.before = before
        with pytest.raises(Crash):
            play(disk, seed, said.append)
        after = opened(disk.crashed(Random(number)))
        found = load(after)
        begun = said[-1] if said else None
        done = said[-2] if len(said) > 1 else None
        if found is None:
            assert done is None
        else:
            rows = [plain(k) for k in (begun, done) if k is not None]
            assert plain(found) in rows, (number, found)
        after.close()


def test_a_disk_that_is_none_of_a_voters_is_told() -> None:
    store = opened(Disk())
    assert load(store) is None
    store.put(b"other", b"thing")
    with pytest.raises(DiskError, match="name another"):
        load(store)
    made, batch = plan_write(
        DiskContents("a/1"), PersistentState(1, "", Snapshot(), (Entry(1, 0), Entry(1, 0))), "g", {}
    )
    store.write(batch)
    store.delete(entry_key(1))
    with pytest.raises(DiskError, match="entry 1 is missing"):
        load(store)
    store.put(b"meta", b"rot")
    with pytest.raises(DiskError, match="start blank"):
        load(store)
    store.close()
    assert made.saves == 1
