"""The store beside SQLite in one run: writes, reads, scans, reopening, room, and stalls.

    python -m benchmarks.store [--rounds N] [--keys N] [--puts N] [--folder DIR]

SQLite is Python's own sqlite3 with one table of blobs by blob (WITHOUT ROWID), in WAL mode,
with synchronous FULL (each commit on the disk, like our `durable`) and NORMAL (like our log).
Its 64 writers share one connection and commit in turn, which is its quicker way. Each line
gives medians and the range over the rounds, and the ratio of each pair within its own round:
above 1 is ours ahead. The disk is the machine's own; --folder puts it elsewhere.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from random import Random

from benchmarks.figures import median_and_range
from tansywood.store import Batch, Store
from tansywood.store.aio import AsyncStore

WRITERS = 64
VALUE = 200
Figures = dict[str, float]


class Lite:
    """SQLite as a store of bytes by bytes."""

    def __init__(self, path: Path, synchronous: str) -> None:
        self.db = sqlite3.connect(path, isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(f"PRAGMA synchronous={synchronous}")
        self.db.execute("CREATE TABLE IF NOT EXISTS t (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID")

    def put(self, key: bytes, value: bytes) -> None:
        self.db.execute("INSERT OR REPLACE INTO t VALUES (?, ?)", (key, value))

    def get(self, key: bytes) -> bytes | None:
        row = self.db.execute("SELECT v FROM t WHERE k = ?", (key,)).fetchone()
        return None if row is None else row[0]

    def scan(self) -> Iterator[tuple[bytes, bytes]]:
        yield from self.db.execute("SELECT k, v FROM t ORDER BY k")

    def close(self) -> None:
        self.db.close()


def seconds(work: Callable[[], object]) -> float:
    gc.collect()
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def key(n: int) -> bytes:
    return b"tenant/%04d/key/%08d" % (n % 100, n)


def value(rng: Random) -> bytes:
    return rng.randbytes(VALUE)


def writes(folder: Path, puts: int, seed: int) -> Figures:
    """Durable puts a second: one writer, and 64 that wait together."""
    rng = Random(seed)
    rows = [(key(rng.randrange(10 * puts)), value(rng)) for _ in range(puts)]
    figures: Figures = {}
    with Store.open(folder / "one") as store:
        spent = seconds(lambda: [store.put(k, v, durable=True) for k, v in rows])
        figures["put, one writer: store"] = puts / spent
    for mode in ("FULL", "NORMAL"):
        lite = Lite(folder / f"one-{mode}.db", mode)
        spent = seconds(lambda lite=lite: [lite.put(k, v) for k, v in rows])  # type: ignore[misc]
        figures[f"put, one writer: {mode}"] = puts / spent
        lite.close()

    async def together() -> float:
        async with AsyncStore(Store.open(folder / "many")) as face:

            async def writer(mine: list[tuple[bytes, bytes]]) -> None:
                for k, v in mine:
                    await face.durable(Batch().put(k, v))

            many = [rows[n::WRITERS] for n in range(WRITERS)]
            began = time.perf_counter()
            await asyncio.gather(*(writer(mine) for mine in many))
            return time.perf_counter() - began

    figures["put, 64 writers: store"] = puts / asyncio.run(together())
    figures["put, 64 writers: FULL"] = figures["put, one writer: FULL"]
    figures["put, 64 writers: NORMAL"] = figures["put, one writer: NORMAL"]
    return figures


MEMORY = """
import os, sys
from tansywood.store import Store
def rss():
    return int(open("/proc/self/statm").read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
before = rss()
store = Store.open(sys.argv[1])
print((rss() - before) / store.stats().keys)
"""


def memory_a_key(path: Path) -> float:
    """In a process of its own: this one has memory to reuse."""
    command = [sys.executable, "-c", MEMORY, str(path)]
    return float(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def large(folder: Path, keys: int, seed: int) -> Figures:
    """With many keys: reads, a scan, reopening, memory for each key."""
    rng = Random(seed)
    figures: Figures = {}
    path = folder / "large"
    with Store.open(path) as store:
        for start in range(0, keys, 1000):
            batch = Batch()
            for n in range(start, min(start + 1000, keys)):
                batch.put(key(n), value(rng))
            store.write(batch)
        store.compact()
    lite = Lite(folder / "large.db", "NORMAL")
    lite.db.execute("BEGIN")
    for n in range(keys):
        lite.put(key(n), value(rng))
    lite.db.execute("COMMIT")
    lite.close()

    wanted = [key(rng.randrange(keys)) for _ in range(20_000)]
    figures["memory a key, bytes: store"] = memory_a_key(path)
    gc.collect()
    began = time.perf_counter()
    store = Store.open(path)
    figures["reopen, s: store"] = time.perf_counter() - began
    spent = seconds(lambda: [store.get(k) for k in wanted])
    figures["point reads: store"] = len(wanted) / spent
    figures["scan, rows: store"] = keys / seconds(lambda: sum(1 for _ in store.scan()))
    store.close()
    began = time.perf_counter()
    lite = Lite(folder / "large.db", "NORMAL")
    lite.get(wanted[0])
    figures["reopen, s: NORMAL"] = time.perf_counter() - began
    spent = seconds(lambda: [lite.get(k) for k in wanted])
    figures["point reads: NORMAL"] = len(wanted) / spent
    figures["scan, rows: NORMAL"] = keys / seconds(lambda: sum(1 for _ in lite.scan()))
    lite.close()
    return figures


def overwrites(folder: Path, keys: int, seed: int) -> Figures:
    """Bytes written to the disk, and room taken, for each byte of steady overwrites."""
    rng = Random(seed)
    figures: Figures = {}
    with Store.open(folder / "over", segment_bytes=4 << 20) as store:
        for _ in range(20 * keys):
            store.put(key(rng.randrange(keys)), value(rng))
        stats = store.stats()
        user = 20 * keys * (len(key(0)) + VALUE)
        figures["written a byte: store"] = (stats.written_bytes + stats.copied_bytes) / user
        figures["room a live byte: store"] = stats.disk_bytes / (keys * (len(key(0)) + VALUE))
    return figures


def stalls(folder: Path, keys: int, seed: int) -> Figures:
    """The longest turn of a loop that only ticks, while the store compacts, in ms."""
    rng = Random(seed)

    async def main() -> tuple[float, float]:
        store = Store.open(folder / "stall")
        async with AsyncStore(store) as face:
            for start in range(0, keys, 1000):
                batch = Batch()
                for n in range(start, min(start + 1000, keys)):
                    batch.put(key(n), value(rng))
                await face.write(batch)

            async def longest(until: asyncio.Future[None]) -> float:
                most = 0.0
                while not until.done():
                    began = time.perf_counter()
                    await asyncio.sleep(0.001)
                    most = max(most, time.perf_counter() - began - 0.001)
                return most

            idle: asyncio.Future[None] = asyncio.ensure_future(asyncio.sleep(0.3))
            floor = await longest(idle)
            compacting: asyncio.Future[None] = asyncio.ensure_future(face.compact())
            return await longest(compacting), floor

    during, floor = asyncio.run(main())
    return {"longest stall, ms: store": during * 1000, "longest stall, ms: idle": floor * 1000}


def one_key(folder: Path, count: int) -> None:
    """Overwrite one key so many times; the most room that it took on the way."""
    most = 0
    began = time.perf_counter()
    with Store.open(folder / "one-key") as store:
        for n in range(count):
            store.put(b"key", b"%0200d" % n)
            if n % 10_000 == 0:
                most = max(most, store.stats().disk_bytes)
            if n % 1_000_000 == 0:
                print(f"{n:,} of {count:,}: at most {most:,} bytes", file=sys.stderr, flush=True)
        spent = time.perf_counter() - began
        stats = store.stats()
    print(
        f"{count:,} overwrites of one key, {count * 203:,} bytes: at most {most:,} bytes of room, "
        f"{stats.compactions} compactions, {count / spent:,.0f} a second"
    )


LOWER_IS_BETTER = ("reopen, s", "written a byte", "room a live byte", "longest stall, ms")


def table(rounds: list[Figures]) -> None:
    names = list(rounds[0])
    groups = list(dict.fromkeys(name.split(": ")[0] for name in names))
    print(f"{'':24} {'':8} {'median (range)':>34}   ratio of the store to it (range)")
    for group in groups:
        ours = f"{group}: store"
        for name in (n for n in names if n.split(": ")[0] == group):
            values = [r[name] for r in rounds]
            line = median_and_range(values, ",.2f")
            ratio = ""
            if name != ours:
                pairs = [
                    r[name] / r[ours] if group in LOWER_IS_BETTER else r[ours] / r[name]
                    for r in rounds
                ]
                ratio = median_and_range(pairs, ".2f")
            print(f"{group:24} {name.split(': ')[1]:8} {line:>34}   {ratio}")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--keys", type=int, default=1_000_000)
    parser.add_argument("--puts", type=int, default=4000)
    parser.add_argument("--folder", default=None)
    parser.add_argument("--one-key", type=int, default=0, help="only so many overwrites of one key")
    options = parser.parse_args()
    if options.one_key:
        with tempfile.TemporaryDirectory(prefix="store-", dir=options.folder) as where:
            one_key(Path(where), options.one_key)
        return 0
    rounds: list[Figures] = []
    for n in range(options.rounds):
        folder = Path(tempfile.mkdtemp(prefix="store-", dir=options.folder))
        try:
            figures: Figures = {}
            measurements: list[Callable[[], Figures]] = [
                partial(writes, folder, options.puts, n),
                partial(large, folder, options.keys, n),
                partial(overwrites, folder, 5000, n),
                partial(stalls, folder, options.keys // 5, n),
            ]
            for measure in measurements:
                figures |= measure()
                print(f"round {n + 1} of {options.rounds}: {len(figures)} figures", file=sys.stderr)
            rounds.append(figures)
        finally:
            shutil.rmtree(folder)
    table(rounds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
