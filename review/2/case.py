"""Two bad clients send 60 MB bodies in small chunks; sound clients must still be answered."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    BROKEN,
    KEPT,
    Client,
    CouldNotRun,
    Node,
    Record,
    Registry,
    Server,
    get,
    main,
)

BAD_CLIENTS = 2
SOUND_CLIENTS = 10
MEMORY_MB = 192
TIMES_S = {"balance": 2.0, "credit": 3.0}
# A request is lost half a second after its time; limits are 50 ms longer on sockets, and this
# process may be late by as much again.
LOOKS_ON_S = 0.5 + 0.05 + 0.05
QUIET_S = 1.5  # before the bad clients come
LENGTH_S = 10.0  # for which they are there
PAUSE_S = 0.1
MOST_LATE_S = 0.3  # this process itself; past it the case can't judge


async def watch_lateness(record: Record) -> float:
    """Returns how late this process's own loop was at the most, once it is cancelled."""
    worst = 0.0
    try:
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            worst = max(worst, time.monotonic() - due)
    except asyncio.CancelledError:
        record.line(f"this process was late by {worst * 1000:.0f} ms at the most")
        return worst


async def ask_until(client: Client, kind: str, end: float, record: Record) -> None:
    while record.now() < end:
        await client.ask(kind, TIMES_S[kind], LOOKS_ON_S)
        await asyncio.sleep(PAUSE_S)


async def probe_until(port: int, end: float, record: Record) -> None:
    """What the front would see; for the record alone."""
    while record.now() < end:
        began = record.now()
        try:
            status, _ = await get(port, "/health/ready", 2.0)
            record.line(f"ready: {status} after {record.now() - began:.2f} s")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as err:
            record.line(f"ready: {type(err).__name__} after {record.now() - began:.2f} s")
        await asyncio.sleep(1.0)


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def case(folder: Path, record: Record, trouble: bool, nodes: list[Node]) -> int:
    servers = [Server(f"s-{i}", record) for i in range(6)]
    registry = Registry(record)
    await registry.start()
    for server in servers:
        await server.start()
        registry.put(server.target())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    node = Node(folder, record, registry.port, registry.document(None), limits=limits)
    nodes.append(node)
    await node.start()
    lateness = asyncio.create_task(watch_lateness(record))
    end = record.now() + QUIET_S + LENGTH_S
    clients = [Client(f"c{i}", node.port, record) for i in range(SOUND_CLIENTS)]
    asking = [
        asyncio.create_task(ask_until(client, "credit" if i % 2 else "balance", end, record))
        for i, client in enumerate(clients)
    ]
    asking.append(asyncio.create_task(probe_until(node.port, end, record)))
    await asyncio.sleep(QUIET_S)
    bad: list[subprocess.Popen[bytes]] = []
    try:
        if trouble:
            program = str(Path(__file__).resolve().parent / "bad_client.py")
            for number in range(BAD_CLIENTS):
                arguments = [sys.executable, "-B", program, str(node.port), str(number)]
                bad.append(subprocess.Popen(arguments))
            record.line(f"{BAD_CLIENTS} bad clients begin")
        await asyncio.wait(asking)
    finally:
        for process in bad:
            process.kill()
            process.wait(10.0)
    lateness.cancel()
    late_s = await lateness
    memory = resident_mb(node.pid) if node.alive() else 0.0
    record.line(f"memory of the node: {memory:.0f} of {MEMORY_MB} MB")
    results = [result for client in clients for result in client.results]
    ends = Counter(result[1] for result in results)
    ran = {request_id for server in servers for _, request_id in server.got}
    lost = [result for result in results if result[1] == "unanswered"]
    record.say(
        f"sound clients: {dict(ends)}; of {len(lost)} with no answer "
        f"{sum(result[0] in ran for result in lost)} ran; node alive: {node.alive()}"
    )
    if late_s > MOST_LATE_S:
        raise CouldNotRun(f"the test's own process was {late_s:.2f} s late")
    return BROKEN if lost or not node.alive() else KEPT


if __name__ == "__main__":
    sys.exit(main(__file__, case))
