"""The store's interface, on a real disk and against a dictionary."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from random import Random

import pytest
from google_crc32c import value as crc32c
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from standins.disk import Disk
from tansywood.store import (
    Batch,
    Snapshot,
    Store,
    StoreClosed,
    StoreFormat,
    StoreLimit,
    StoreLocked,
)
from tansywood.store.aio import AsyncStore
from tansywood.store.frames import HEAD, MAX_KEY, MAX_VALUE

from .model import SMALL, Model, batch, content


def test_what_is_written_is_there_after_a_reopening(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        store.put(b"b", b"2")
        store.write(Batch().put(b"a", b"1").put(b"c", b"3").delete(b"b"))
        store.put(b"empty", b"")
        assert store.get(b"b") is None
    with Store.open(tmp_path / "s") as store:
        assert list(store.scan()) == [(b"a", b"1"), (b"c", b"3"), (b"empty", b"")]
        assert list(store.scan(b"b", b"d")) == [(b"c", b"3")]
        assert store.stats().sequence == 3


def test_sequence_numbers_go_on_across_reopenings_and_compactions(tmp_path: Path) -> None:
    for n in range(1, 6):
        with Store.open(tmp_path / "s") as store:
            assert store.put(b"k%d" % n, b"v") == n
            store.compact()
            assert store.stats().sequence == n


def test_a_snapshot_never_changes(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s", **SMALL) as store:  # type: ignore[arg-type]
        for n in range(20):
            store.put(b"k%02d" % n, b"old")
        with store.snapshot() as snapshot:
            before = list(snapshot.scan())
            store.delete(b"k03")
            store.put(b"k04", b"new")
            store.put(b"k99", b"new")
            for n in range(200):
                store.put(b"k05", b"%d" % n)
            store.compact()
            assert list(snapshot.scan()) == before
            assert (snapshot.get(b"k03"), snapshot.get(b"k99")) == (b"old", None)
            files = len(os.listdir(tmp_path / "s"))
        assert len(os.listdir(tmp_path / "s")) < files  # what it read has gone with it
        assert store.get(b"k03") is None and store.get(b"k05") == b"199"
        with pytest.raises(StoreClosed):
            snapshot.get(b"k03")


def test_a_key_that_comes_back_stands_once_in_a_scan(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        for _ in range(3):
            store.put(b"k", b"v")
            assert [k for k, _ in store.scan()] == [b"k"]
            store.delete(b"k")
            assert not list(store.scan())


def test_bounds_are_said_and_nothing_is_written(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        for key, value in ((b"", b"v"), (b"k" * (MAX_KEY + 1), b"v"), (b"k", bytes(MAX_VALUE + 1))):
            with pytest.raises(StoreLimit):
                store.put(key, value)
        big = Batch()
        for n in range(5):
            big.put(b"%d" % n, bytes(MAX_VALUE))
        with pytest.raises(StoreLimit):
            store.write(big)
        store.put(b"k" * MAX_KEY, bytes(MAX_VALUE), durable=True)
        assert store.stats().sequence == 1


def test_a_second_opening_names_the_owner_and_a_dead_one_holds_nothing(tmp_path: Path) -> None:
    path = tmp_path / "s"
    with Store.open(path), pytest.raises(StoreLocked) as caught:
        Store.open(path)
    assert caught.value.pid == os.getpid()
    program = (
        f"from tansywood.store import Store; import os; Store.open({str(path)!r}); os._exit(9)"
    )
    assert subprocess.run([sys.executable, "-c", program]).returncode == 9
    Store.open(path).close()


def test_a_folder_that_is_not_ours_is_left_alone(tmp_path: Path) -> None:
    (tmp_path / "letter.txt").write_text("dear")
    with pytest.raises(StoreFormat, match=r"letter\.txt"):
        Store.open(tmp_path)
    assert (tmp_path / "letter.txt").read_text() == "dear"


def test_a_newer_format_is_refused_by_its_number(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        store.put(b"a", b"1")
    name = tmp_path / "s" / "00000001.log"
    data = name.read_bytes()
    bare = HEAD.pack(b"TWSTORE\n", 2, 1, 0)[:-4]
    name.write_bytes(bare + crc32c(bare).to_bytes(4, "little") + data[HEAD.size :])
    with pytest.raises(StoreFormat, match="format 2"):
        Store.open(tmp_path / "s")


def test_a_manifest_of_a_newer_format_is_refused_by_its_number(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        store.put(b"a", b"1")
    name = tmp_path / "s" / "MANIFEST"
    text = name.read_bytes().partition(b"\n")[2].strip().replace(b'"format":1', b'"format":2')
    name.write_bytes(b"%08x\n%s\n" % (crc32c(text), text))
    with pytest.raises(StoreFormat, match="format 2"):
        Store.open(tmp_path / "s")


def test_writers_that_wait_together_share_a_sync(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s") as store:
        barrier = threading.Barrier(8)

        def go(n: int) -> None:
            barrier.wait()
            for i in range(25):
                store.put(b"%d-%d" % (n, i), b"v", durable=True)

        threads = [threading.Thread(target=go, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        stats = store.stats()
        assert stats.keys == 200 and stats.durable == 200 and stats.syncs <= 201


def test_the_asyncio_face_writes_together_and_tells_each_its_own_error(tmp_path: Path) -> None:
    async def main() -> None:
        store = Store.open(tmp_path / "s")
        async with AsyncStore(store) as face:
            numbers = await asyncio.gather(
                *(face.durable(Batch().put(b"%d" % n, b"v")) for n in range(64))
            )
            assert sorted(numbers) == list(range(1, 65))
            assert store.stats().syncs < 32  # 64 waited
            await face.write(Batch().delete(b"0"))
            await face.compact()
            assert face.get(b"0") is None and face.get(b"63") == b"v"
            too_much = Batch()
            for n in range(5):
                too_much.put(b"%d" % n, bytes(MAX_VALUE))
            results = await asyncio.gather(
                face.durable(Batch().put(b"x", b"1")),
                face.durable(too_much),
                face.durable(Batch().put(b"y", b"2")),
                return_exceptions=True,
            )
            assert isinstance(results[1], StoreLimit)
            assert isinstance(results[0], int) and isinstance(results[2], int)
        with pytest.raises(StoreClosed):
            await face.write(Batch().put(b"z", b"3"))

    asyncio.run(main())


@pytest.mark.parametrize("seen", ["an error", "another file's bytes"])
def test_a_read_that_a_compaction_overtakes_is_read_again_where_it_went(seen: str) -> None:
    """The file is closed between the look-up and the read, and its number may be reused."""
    store = Store.open(files=Disk(), automatic=False)
    store.put(b"k", b"value")
    file = store._open[1].file
    real = file.read

    def read(offset: int, size: int) -> bytes:
        file.read = real  # type: ignore[method-assign]
        store.compact()
        if seen == "an error":
            return real(offset, size)  # closed by now: EBADF
        return b"x" * size

    file.read = read  # type: ignore[method-assign]
    assert store.get(b"k") == b"value"
    assert store.stats().compactions == 1


def test_short_writes_are_gone_on_with(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.write
    monkeypatch.setattr("tansywood.store.files.os.write", lambda fd, data: real(fd, data[:7]))
    with Store.open(tmp_path / "s") as store:
        store.put(b"key", b"value" * 20, durable=True)
    monkeypatch.undo()
    with Store.open(tmp_path / "s") as store:
        assert store.get(b"key") == b"value" * 20


KILLED = """
import sys
from random import Random
from tansywood.store import Store
rng = Random(int(sys.argv[2]))
store = Store.open(sys.argv[1], segment_bytes=4000, least_garbage=3000)
n = store.stats().sequence
while True:
    n += 1
    store.put(b"k%d" % (n % 50), b"%d" % n, durable=True)
    print(n, flush=True)
"""


def test_a_process_killed_as_it_writes_and_compacts_loses_nothing_acknowledged(
    tmp_path: Path,
) -> None:
    rng = Random(3)
    told = 0
    for round_ in range(12):
        process = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path / "s"), str(round_)], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        for _ in range(rng.randrange(20, 300)):
            told = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read().split(b"\n")
        process.wait()
        process.stdout.close()
        told = max([told, *(int(line) for line in rest[:-1] if line)])
        with Store.open(tmp_path / "s") as store:
            last = store.stats().sequence
            assert told <= last <= told + 1
            values = dict(store.scan())
            for n in range(max(last - 49, 1), last + 1):
                assert values[b"k%d" % (n % 50)] == b"%d" % n


INTERRUPTED = """
import signal, sys
from tansywood.store import Store
ticks = 0
def tick(*_):
    global ticks
    ticks += 1
signal.signal(signal.SIGALRM, tick)
signal.siginterrupt(signal.SIGALRM, True)
signal.setitimer(signal.ITIMER_REAL, 0.0002, 0.0002)
n = 0
with Store.open(sys.argv[1], segment_bytes=1 << 20, least_garbage=1 << 20) as store:
    while n < 200 or ticks < 100 and n < 100_000:
        store.put(b"k%d" % n, b"%d" % n * 2000, durable=True)
        assert store.get(b"k%d" % (n // 2)) == b"%d" % (n // 2) * 2000
        n += 1
signal.setitimer(signal.ITIMER_REAL, 0)
print(n, ticks)
"""


def test_calls_that_a_signal_interrupts_lose_and_repeat_nothing(tmp_path: Path) -> None:
    """EINTR: Python calls again (PEP 475); a write that was cut short is gone on with."""
    done = subprocess.run(
        [sys.executable, "-c", INTERRUPTED, str(tmp_path / "s")],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    count, ticks = map(int, done.stdout.split())
    assert ticks > 0
    with Store.open(tmp_path / "s") as store:
        assert dict(store.scan()) == {b"k%d" % n: b"%d" % n * 2000 for n in range(count)}


KEYS = st.sampled_from([b"a", b"b", b"c", b"ab", b"\x00", b"\xff" * 3])
VALUES = st.binary(max_size=60)
OPS = st.lists(st.tuples(KEYS, st.none() | VALUES), min_size=1, max_size=4)


class AgainstADictionary(RuleBasedStateMachine):
    """The store, a dictionary of what it must hold, and crashes between any two steps."""

    def __init__(self) -> None:
        super().__init__()
        self.disk = Disk()
        self.model = Model()
        self.store = Store.open(files=self.disk, **SMALL)  # type: ignore[arg-type]
        self.snapshots: list[tuple[Snapshot, dict[bytes, bytes]]] = []

    @initialize()
    def begin(self) -> None:
        pass

    @rule(ops=OPS, durable=st.booleans())
    def write(self, ops: list[tuple[bytes, bytes | None]], durable: bool) -> None:
        self.model.write(ops)
        self.store.write(batch(ops), durable=durable)
        if durable:
            self.model.acknowledged = len(self.model.states) - 1

    @rule()
    def compact(self) -> None:
        self.store.compact()

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def take(self) -> None:
        self.snapshots.append((self.store.snapshot(), dict(self.model.states[-1])))

    @precondition(lambda self: self.snapshots)
    @rule()
    def look(self) -> None:
        snapshot, expected = self.snapshots.pop(0)
        assert dict(snapshot.scan()) == expected
        snapshot.close()

    @rule()
    def reopen(self) -> None:
        self.snapshots = []
        self.store.close()
        self.store = Store.open(files=self.disk, **SMALL)  # type: ignore[arg-type]
        self.model.acknowledged = len(self.model.states) - 1

    @rule(seed=st.integers(0, 1000), holes=st.booleans())
    def crash(self, seed: int, holes: bool) -> None:
        self.snapshots = []
        self.disk = self.disk.crashed(Random(seed), holes)
        self.store = Store.open(files=self.disk, **SMALL)  # type: ignore[arg-type]
        found = content(self.store)
        assert self.model.holds(found)
        self.model = Model([found])

    @invariant()
    def same(self) -> None:
        assert content(self.store) == self.model.states[-1]


def test_it_is_a_dictionary_that_survives_crashes() -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        AgainstADictionary,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
