"""A whole instance with more and more tenants: what each of its processes uses, and a change.

Beside it runs the one home of the fleet's limits, with the same tenants: of thousands of nodes few
are homes.

The roles `knowledge`, `configuration` and `administration` read the same measurement.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from benchmarks.scale import processes
from standins.service import Operator, ServiceProcess

SETTLE_S = 1.5
LENGTH = struct.Struct(">I")
LOCK = threading.Lock()
TOGETHER = 3


@dataclass(frozen=True, slots=True)
class NodeAt:
    """One instance at so many tenants, each with one route, one backend and one key."""

    tenants: int
    memory: dict[str, float]  # Pss by part
    cpu_percent: dict[str, float]  # at rest, by part
    home_cpu_percent: dict[str, float]  # the same of the home beside it
    change_cpu_ms: dict[str, float]  # of one change, by part
    change_ms: list[float]  # from the call to its answer, told by all processes of the instance
    whole_bytes: int  # of the feed's first frame
    change_bytes: float  # of the frame of one change
    store_bytes: int
    start_s: float  # of the whole service, with these tenants on its disk


class FeedEar:
    """One more follower of the administration's feed: counts bytes, and says what it applied."""

    def __init__(self, path: Path) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.connect(str(path))
        self._say({"hello": "benchmark"})
        self.whole_bytes = self._take()
        self.changes: list[int] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _say(self, record: dict[str, object]) -> None:
        data = json.dumps(record).encode()
        self.sock.sendall(LENGTH.pack(len(data)) + data)

    def _exactly(self, count: int) -> bytes:
        found = bytearray()
        while len(found) < count:
            some = self.sock.recv(min(count - len(found), 1 << 20))
            if not some:
                raise EOFError
            found += some
        return bytes(found)

    def _take(self) -> int:
        (length,) = LENGTH.unpack(self._exactly(LENGTH.size))
        self._say({"applied": json.loads(self._exactly(length))["seq"]})
        return int(length) + LENGTH.size

    def _run(self) -> None:
        try:
            while True:
                self.changes.append(self._take())
        except (EOFError, OSError):
            pass

    def close(self) -> None:
        """Leave the feed."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self.sock.close()


def grow(service: ServiceProcess, operator: Operator, begin: int, end: int) -> None:
    """Tenants begin to end, each with a key."""
    for n in range(begin, end):
        name = f"tenant-{n:06}"
        operator.must("POST", "/v1/tenants", processes.small_document(name))
        operator.must("POST", f"/v1/tenants/{name}/keys", {"role": "caller"})


def at_rest(services: list[ServiceProcess], seconds: float) -> list[dict[str, float]]:
    """Percent of a core that each part of each service uses while nothing happens."""
    before = [processes.used(service) for service in services]
    began = time.monotonic()
    time.sleep(seconds)
    span = time.monotonic() - began
    after = [processes.used(service) for service in services]
    return [
        {n: 100 * (s - old[n]) / span for n, s in new.items()}
        for old, new in zip(before, after, strict=True)
    ]


def changes(
    service: ServiceProcess, operator: Operator, count: int, rest: dict[str, float]
) -> tuple[dict[str, float], list[float]]:
    """Processor ms by part for each change, less what rest would have used, and each one's ms."""
    row = {"aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"}
    before = processes.used(service)
    began = time.monotonic()
    took = []
    for n in range(count):
        asked = time.monotonic()
        changed = row | {"aim_ms": 900 + n}
        operator.must("PUT", "/v1/tenants/tenant-000000/classes/route-0", changed)
        took.append((time.monotonic() - asked) * 1000)
    time.sleep(0.5)
    span = time.monotonic() - began
    spent = {n: s - before[n] for n, s in processes.used(service).items()}
    return (
        {n: 1000 * max(s - rest[n] / 100 * span, 0) / count for n, s in spent.items()},
        took,
    )


def folder_bytes(folder: Path) -> int:
    """What lies in a folder."""
    return sum(p.stat().st_size for p in folder.rglob("*") if p.is_file())


def look(
    service: ServiceProcess, home: ServiceProcess, tenants: int, seconds: float, count: int
) -> NodeAt:
    """Started anew with its tenants, so that nothing of their making is left in memory."""
    service.stop()
    began = time.monotonic()
    service.start()
    start_s = time.monotonic() - began
    time.sleep(SETTLE_S)
    rest, of_home = at_rest([service, home], seconds)
    held = processes.memory(service)
    ear = FeedEar(service.folder / "run" / "feed.sock")
    cpu, took = changes(service, service.operator(), count, rest)
    ear.close()
    return NodeAt(
        tenants, held, rest, of_home, cpu, took, ear.whole_bytes,
        sum(ear.changes) / len(ear.changes),
        folder_bytes(service.folder / "state"), start_s,
    )  # fmt: skip


@cache
def _sweep(quick: bool) -> tuple[NodeAt, ...]:
    # Beyond these the fleet process at rest fills a core, and nothing else can be told apart.
    sizes = (10, 20, 40, 60) if quick else (10, 100, 200, 400, 800)
    seconds, count = (1.5, 10) if quick else (5.0, 30)
    found = []
    address = processes.free_address()
    with (
        processes.hosted(name="home", address=address) as home,
        processes.hosted(name="node", home=address) as service,
        ThreadPoolExecutor(2) as threads,
    ):
        made = 0
        for size in sizes:
            begun = [threads.submit(grow, s, s.operator(), made, size) for s in (home, service)]
            for growing in begun:
                growing.result()
            made = size
            found.append(look(service, home, size, seconds, count))
    return tuple(found)


def sweep(quick: bool) -> tuple[NodeAt, ...]:
    """The instance at four sizes; measured once in a run, whoever asks."""
    with LOCK:
        return _sweep(quick)


def held_with(tenants: int, classes: int, servers: int, keys: int) -> float:
    """Pss of all parts with so many tenants of this kind, after a start from disk."""
    with processes.hosted() as service:
        operator = service.operator()
        for n in range(tenants):
            name = f"tenant-{n:06}"
            operator.must("POST", "/v1/tenants", processes.small_document(name, classes, servers))
            for _ in range(keys):
                operator.must("POST", f"/v1/tenants/{name}/keys", {"role": "caller"})
        service.stop()
        service.start()
        time.sleep(SETTLE_S)
        return processes.total(processes.memory(service))


def by_kind(tenants: int, kind: str, counts: tuple[int, ...]) -> list[tuple[int, float]]:
    """Items of one kind (classes, servers or keys) over all tenants, and what all parts hold."""

    def one(count: int) -> tuple[int, float]:
        usual = {"classes": 1, "servers": 1, "keys": 1} | {kind: count}
        return tenants * count, held_with(tenants, **usual)

    with ThreadPoolExecutor(TOGETHER) as threads:
        return list(threads.map(one, counts))
