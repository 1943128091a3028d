"""A voter's persistent state survives a crash at any operation of its disk."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from standins.disk import Crash, Disk
from tansywood.lease.disk import DiskContents, DiskError, entry_key, load, plan_write
from tansywood.lease.log import COMMAND, Entry, PersistentState, Snapshot
from tansywood.store import Store


def open_store(disk: Disk) -> Store:
    return Store.open(files=disk, segment_bytes=4096, least_garbage=512)


def random_next_state(rng: Random, saved: PersistentState) -> PersistentState:
    """A random change that Raft may make: a new term with a vote, more entries, a log tail replaced
    by another leader's entries, a compaction, or an installed snapshot."""
    kind = rng.randrange(5)
    entries, snapshot = list(saved.entries), saved.snapshot
    last_index = snapshot.index + len(entries)
    if kind == 0:
        return PersistentState(saved.term + 1, rng.choice("abc"), snapshot, saved.entries)
    if kind == 1 and entries:
        cut_at = rng.randrange(len(entries))
        term = saved.term + 1
        replacement = tuple(Entry(term, COMMAND, rng.randbytes(9)) for _ in range(rng.randrange(3)))
        return PersistentState(term, "", snapshot, (*entries[:cut_at], *replacement))
    if kind == 2 and len(entries) > 3:
        index = snapshot.index + rng.randrange(1, len(entries) + 1)
        term = entries[index - snapshot.index - 1].term
        rest = tuple(entries[index - snapshot.index :])
        return PersistentState(
            saved.term, saved.voted_for, Snapshot(index, term, ("a",), b"table"), rest
        )
    if kind == 3 and rng.random() < 0.2:
        installed = Snapshot(
            last_index + rng.randrange(1, 9), saved.term, ("a", "b"), rng.randbytes(50)
        )
        return PersistentState(saved.term, saved.voted_for, installed, ())
    more = [Entry(saved.term, COMMAND, rng.randbytes(20)) for _ in range(rng.randrange(1, 5))]
    return PersistentState(saved.term, saved.voted_for, snapshot, (*entries, *more))


def write_random_states(disk: Disk, seed: int, on_progress: Callable[[DiskContents], None]) -> None:
    rng = Random(seed)
    store = open_store(disk)
    contents = DiskContents("a/1", "g")
    for _ in range(60):
        written, batch = plan_write(
            contents, random_next_state(rng, contents.saved), "g", {"b/2": contents.saves}
        )
        on_progress(written)  # before the write
        store.write(batch, durable=True)
        contents = written
        on_progress(written)  # after the synced write
    store.close()


def comparable(contents: DiskContents) -> tuple[object, ...]:
    return contents.id, contents.group, contents.saves, contents.saved, contents.known_saves


@pytest.mark.parametrize("seed", range(3))
def test_a_crash_at_any_disk_operation_loses_no_synced_state(
    seed: int,
) -> None:
    undisturbed = Disk()
    write_random_states(undisturbed, seed, lambda _contents: None)
    for crash_at in range(1, undisturbed.count + 1, 3):
        disk = Disk()
        progress: list[DiskContents] = []

        def before(count: int, _operation: str, crash_at: int = crash_at) -> None:
            if count == crash_at:
                raise Crash

        disk.before = before
        with pytest.raises(Crash):
            write_random_states(disk, seed, progress.append)
        after = open_store(disk.crashed(Random(crash_at)))
        found = load(after)
        last_begun = progress[-1] if progress else None
        last_synced = progress[-2] if len(progress) > 1 else None
        if found is None:
            assert last_synced is None
        else:
            allowed = [comparable(k) for k in (last_begun, last_synced) if k is not None]
            assert comparable(found) in allowed, (crash_at, found)
        after.close()


def test_a_foreign_or_damaged_disk_is_refused_with_a_remedy() -> None:
    store = open_store(Disk())
    assert load(store) is None
    store.put(b"other", b"thing")
    with pytest.raises(DiskError, match="name another"):
        load(store)
    written, batch = plan_write(
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
    assert written.saves == 1
