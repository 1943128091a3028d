"""A crash at every operation, every cut, every flipped byte: the promise holds."""

from __future__ import annotations

import errno
import os
import re
from collections.abc import Callable
from functools import partial
from random import Random
from unittest.mock import patch

import pytest

from standins.disk import Crash, Disk
from tansywood.store import Store, StoreCorrupt, StoreError, StoreFailed, StoreFormat, StoreFull
from tansywood.store.frames import HEAD

from .model import SMALL, Model, a_write, batch, content, script

WRITES = 60


def reopened(disk: Disk) -> Store:
    return Store.open(files=disk, **SMALL)  # type: ignore[arg-type]


def crash_at(number: int) -> Callable[[int, str], None]:
    def before(count: int, _what: str) -> None:
        if count == number:
            raise Crash

    return before


def operations(seed: int) -> int:
    disk = Disk()
    script(disk, Model(), seed, WRITES)
    return disk.count


@pytest.mark.parametrize("holes", [False, True], ids=["cut", "holes"])
@pytest.mark.parametrize("seed", range(3))
def test_a_crash_at_every_operation_leaves_a_prefix_with_all_that_was_acknowledged(
    seed: int, holes: bool
) -> None:
    """Compaction's and recovery's own operations too: a second crash hits the recovery."""
    total = operations(seed)
    assert total > 150
    for number in range(1, total + 1):
        disk = Disk()
        disk.before = crash_at(number)
        model = Model()
        with pytest.raises(Crash):
            script(disk, model, seed, WRITES)
        rng = Random(1000 * seed + number)
        after = disk.crashed(rng, holes)
        # In the recovery once more, at one of its operations.
        after.before = crash_at(1 + number % 7)
        try:
            reopened(after).close()
        except Crash:
            after = after.crashed(rng, holes)
        else:
            after = after.copy()
        after.before = lambda _n, _what: None
        after.locked = False
        with reopened(after) as store:
            found = content(store)
            assert model.holds(found), f"operation {number}: {disk.log[-3:]}"
            # And it goes on from there.
            store.put(b"new", b"value", durable=True)
            assert content(store) == found | {b"new": b"value"}
        with reopened(after) as store:
            assert content(store) == found | {b"new": b"value"}


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("times", [1, 1000])
@pytest.mark.parametrize("seed", range(2))
def test_an_operation_that_fails_loses_nothing_acknowledged(
    seed: int, times: int, error: int
) -> None:
    """Each in turn, once or from then on; reads go on, and the next opening finds it all."""
    total = operations(seed)
    for number in range(1, total + 1):
        disk = Disk()

        def before(count: int, _what: str, number: int = number) -> None:
            if number <= count < number + times:
                raise OSError(error, os.strerror(error))

        disk.before = before
        model = Model()
        rng = Random(seed)
        try:
            store = reopened(disk)
        except (OSError, StoreError):
            continue
        failed = False  # a sync or a truncation: only a new opening helps
        for n in range(WRITES):
            ops = a_write(rng)
            durable = rng.random() < 0.3
            before_it = content(store)
            model.write(ops)
            try:
                store.write(batch(ops), durable=durable)
                if durable:
                    model.acknowledged = len(model.states) - 1
            except StoreFull:
                model.states.pop()
                assert content(store) == before_it  # reads go on, nothing of it is there
            except StoreFailed:
                failed = True
                break
            if n == WRITES // 2:
                try:
                    store.compact()
                except StoreFull:
                    pass
                except StoreFailed:
                    failed = True
                    break
        assert content(store) in model.states
        disk.before = lambda _n, _what: None
        if error == errno.ENOSPC and not failed:
            store.put(b"again", b"there is room", durable=True)
            model.write([(b"again", b"there is room")])
            model.acknowledged = len(model.states) - 1
        after = disk.crashed(Random(number))
        with reopened(after) as store:
            assert model.holds(content(store)), f"operation {number}: {disk.log[number - 1]}"


def built(seed: int = 5) -> tuple[Disk, Model]:
    """A store with several segments, batches, deletions, a big value and a compaction."""
    disk = Disk()
    model = Model()
    rng = Random(seed)
    store = reopened(disk)
    for n in range(40):
        ops = a_write(rng)
        model.write(ops)
        store.write(batch(ops), durable=n % 4 == 0)
        if n == 20:
            store.compact()
    store.sync()
    store._let_go()  # as when the process dies: no clean close
    disk.durable = dict(disk.entries)
    return disk, model


def under_way(step: str, times: int) -> tuple[Disk, Model]:
    """The same, killed in its second compaction at the last of so many operations like this."""
    disk, model = built()
    disk.locked = False
    store = reopened(disk)
    left = times

    def before(_count: int, what: str) -> None:
        nonlocal left
        left -= re.fullmatch(step, what) is not None
        if not left:
            raise Crash

    disk.before = before
    with patch("tansywood.store.compaction.COPY_BATCH", 100), pytest.raises(Crash):
        store.compact()
    store._let_go()
    disk.before = lambda _n, _what: None
    return disk, model


WAYS: dict[str, Callable[[], tuple[Disk, Model]]] = {
    "finished": built,
    # The second frame of the copy half written, next to all that it is made from.
    "while it copies": partial(under_way, r"append \d{3} 00000015\.log", 2),
    # The first rename is that of the rotation before it.
    "copied, manifest beside": partial(under_way, "rename .*", 2),
    "switched, nothing dropped": partial(under_way, "remove .*", 1),
}


@pytest.mark.parametrize("way", WAYS)
def test_every_file_cut_at_every_byte_is_a_prefix_or_refused(way: str) -> None:
    disk, model = WAYS[way]()
    opened = refused = 0
    for name, inode in disk.entries.items():
        for size in range(len(inode.data)):
            cut = disk.copy()
            del cut.entries[name].data[size:]
            cut.locked = False
            try:
                store = reopened(cut)
            except (StoreCorrupt, StoreFormat):
                refused += 1
                continue
            opened += 1
            with store:
                assert content(store) in model.states, (name, size)
    assert opened > 100 and refused > 100


def test_the_ways_of_a_compaction_are_what_they_are_called() -> None:
    sizes = {
        way: {name: len(inode.data) for name, inode in make()[0].entries.items()}
        for way, make in WAYS.items()
    }
    whole = sizes["switched, nothing dropped"]
    assert 100 < sizes["while it copies"]["00000015.log"] < whole["00000015.log"]
    assert "MANIFEST.new" not in sizes["while it copies"]
    assert sizes["copied, manifest beside"]["00000015.log"] == whole["00000015.log"]
    assert "MANIFEST.new" in sizes["copied, manifest beside"]
    assert {"00000012.log", "00000013.log", "00000015.hint"} <= set(whole)
    assert "MANIFEST.new" not in whole


def test_every_byte_flipped_never_serves_a_wrong_value() -> None:
    disk, model = built()
    values = {key: {state.get(key) for state in model.states} for key in model.states[-1]}
    opened = refused = 0
    for name, inode in disk.entries.items():
        for at in range(len(inode.data)):
            bad = disk.copy()
            bad.entries[name].data[at] ^= 1 << (at % 8)
            bad.locked = False
            try:
                with reopened(bad) as store:
                    for key, possible in values.items():
                        assert store.get(key) in possible
                    found = content(store)
            except (StoreCorrupt, StoreFormat) as err:
                assert not isinstance(err, StoreCorrupt) or name.split(".")[0] in err.path
                refused += 1
                continue
            opened += 1
            assert found in model.states, (name, at)
    assert opened > 100 and refused > 100


def test_a_torn_tail_is_cut_and_reported() -> None:
    disk = Disk()
    store = reopened(disk)
    store.put(b"a", b"1", durable=True)
    store.put(b"b", b"2")
    store._let_go()
    name = next(n for n in disk.entries if n.endswith(".log"))
    data = disk.entries[name].data
    del data[-3:]
    with reopened(disk) as again:
        assert content(again) == {b"a": b"1"}
        report = again.stats().recovery
        assert report.cut_path.endswith(name) and report.cut_bytes > 0
        assert "cut short" in report.cut_why


def test_rot_in_what_was_durable_is_refused_with_its_place() -> None:
    disk = Disk()
    store = reopened(disk)
    store.put(b"a", b"1" * 50, durable=True)
    at = len(disk.entries["00000001.log"].data) - 10
    store.put(b"b", b"2")
    store._let_go()
    disk.entries["00000001.log"].data[at] ^= 1
    with pytest.raises(StoreCorrupt) as caught:
        reopened(disk)
    assert caught.value.path.endswith("00000001.log") and caught.value.offset == HEAD.size


def test_rot_in_the_last_record_is_refused_after_a_clean_close() -> None:
    disk = Disk()
    with reopened(disk) as store:
        store.put(b"a", b"1" * 50, durable=True)
    disk.entries["00000001.log"].data[-1] ^= 1
    with pytest.raises(StoreCorrupt):
        reopened(disk)


def test_a_failed_sync_acknowledges_nothing_again() -> None:
    """The pages may be gone although a later sync succeeds."""
    disk = Disk()
    store = reopened(disk)
    store.put(b"a", b"1", durable=True)

    def before(_count: int, what: str) -> None:
        if what.startswith("sync 0"):
            disk.before = lambda _n, _w: None
            raise OSError(errno.EIO, "Input/output error")

    disk.before = before
    with pytest.raises(StoreFailed):
        store.put(b"b", b"2", durable=True)
    for again in (lambda: store.put(b"c", b"3"), store.sync, store.compact):
        with pytest.raises(StoreFailed):
            again()
    assert store.get(b"a") == b"1"
    store.close()
    after = disk.crashed(Random(1))
    with reopened(after) as store:
        assert store.get(b"a") == b"1"
        store.put(b"c", b"3", durable=True)


def test_a_full_disk_refuses_writes_and_takes_them_again_by_itself() -> None:
    disk = Disk()
    store = reopened(disk)
    store.put(b"a", b"1" * 100, durable=True)
    disk.room = disk.used() + 40
    with pytest.raises(StoreFull):
        store.put(b"b", b"2" * 100)
    assert store.stats().full and content(store) == {b"a": b"1" * 100}
    disk.room = None
    store.put(b"b", b"2" * 100, durable=True)
    assert not store.stats().full
    store.close()
    with reopened(disk) as again:
        assert content(again) == {b"a": b"1" * 100, b"b": b"2" * 100}


def test_overwrites_of_one_key_stay_within_a_bound() -> None:
    disk = Disk()
    store = Store.open(files=disk, segment_bytes=64 << 10, least_garbage=32 << 10)
    most = 0
    for n in range(60_000):
        store.put(b"key", b"%050d" % n)
        if n % 500 == 0:
            most = max(most, disk.used())
    assert most < 300 << 10
    assert store.get(b"key") == b"%050d" % 59_999
    stats = store.stats()
    assert stats.compactions > 10
    assert (stats.written_bytes + stats.copied_bytes) / stats.written_bytes < 3
    store.close()


def test_a_half_finished_compaction_is_cleaned_away() -> None:
    disk, model = built()
    disk.entries["00000099.log"] = (
        disk.entries["00000001.log"]
        if ("00000001.log" in disk.entries)
        else next(iter(disk.entries.values()))
    )
    disk.locked = False
    with reopened(disk) as store:
        assert "00000099.log" in store.stats().recovery.left_over
        assert content(store) == model.states[-1]
    assert "00000099.log" not in disk.entries


def test_a_disk_that_can_not_be_read_is_told_with_its_place_and_costs_nothing_more() -> None:
    disk = Disk()
    with reopened(disk) as store:
        store.put(b"a", b"1", durable=True)
        disk.unreadable = errno.EIO
        with pytest.raises(StoreError, match=r"00000001\.log at byte 50"):
            store.get(b"a")
        store.put(b"b", b"2", durable=True)
        disk.unreadable = None
        assert content(store) == {b"a": b"1", b"b": b"2"}


def test_a_compaction_that_meets_rot_says_so_and_changes_nothing() -> None:
    """Copied on, rotten bytes would stand in a sound frame."""
    disk = Disk()
    store = Store.open(files=disk, automatic=False)
    for n in range(20):
        store.put(b"k%d" % n, b"v" * 30, durable=True)
    disk.entries["00000001.log"].data[70] ^= 1  # within the first value
    with pytest.raises(StoreCorrupt):
        store.compact()
    assert "00000001.log" in disk.entries  # what it would have replaced is there
    assert store.get(b"k9") == b"v" * 30
    store.put(b"new", b"1", durable=True)
    assert store.get(b"new") == b"1"


def test_a_write_does_not_fail_for_rot_that_its_share_of_a_compaction_meets() -> None:
    disk = Disk()
    store = Store.open(files=disk, segment_bytes=700, least_garbage=600)
    store.put(b"rotten", b"v" * 30, durable=True)
    disk.entries["00000001.log"].data[70] ^= 1
    for n in range(100):
        store.put(b"k", b"%d" % n, durable=True)
    assert "00000001.log at byte" in store.stats().rot and store.get(b"k") == b"99"
    with pytest.raises(StoreCorrupt):
        store.get(b"rotten")


def test_a_compaction_after_a_full_disk_is_no_failure() -> None:
    disk = Disk()
    store = Store.open(files=disk, automatic=False)
    store.put(b"a", b"1" * 100, durable=True)
    disk.room = disk.used() + 20
    with pytest.raises(StoreFull):
        store.put(b"a", b"2" * 100)
    with pytest.raises(StoreFull):
        store.compact()
    disk.room = None
    store.compact()
    assert content(store) == {b"a": b"1" * 100}


def test_a_folder_that_may_not_be_read_is_told_as_that_and_left_unlocked() -> None:
    disk, model = built()
    disk.locked = False

    def before(_count: int, what: str) -> None:
        if what.startswith("open"):
            raise PermissionError(errno.EACCES, os.strerror(errno.EACCES), what[5:])

    disk.before = before
    with pytest.raises(PermissionError, match="MANIFEST"):
        reopened(disk)
    disk.before = lambda _n, _what: None
    with reopened(disk) as store:
        assert content(store) == model.states[-1]


@pytest.mark.parametrize("seed", range(8))
def test_what_a_dead_process_left_in_the_log_is_synced_before_it_counts_as_durable(
    seed: int,
) -> None:
    """Found by the next opening it may still be in the system's memory alone."""
    disk = Disk()
    store = reopened(disk)
    store.put(b"a", b"1")
    store._let_go()  # the process dies, the machine goes on
    store = reopened(disk)
    store.sync()
    with reopened(disk.crashed(Random(seed))) as again:  # now the machine
        assert content(again) == {b"a": b"1"}
