"""One bad client sends a 60 MB body in small chunks; the node must stay under its memory limit."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    BROKEN,
    KEPT,
    Client,
    Node,
    Record,
    Registry,
    Server,
    keep_asking,
    main,
)

MEMORY_MB = 96
CHUNK_BYTES = 16
BODY_BYTES = 60_000_000  # as it is sent, so with the framing of its chunks
CHUNKS_PER_WRITE = 4096
WATCH_S = 0.02
LENGTH_S = 12.0  # of the day: what the bad client needs, and some seconds more


def resident_mb(pid: int) -> float:
    """The private memory of a process, without the files that it maps."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def send_large_body(port: int, record: Record) -> None:
    """Send at full speed, and read what is sent back."""
    began = record.now()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answered = asyncio.create_task(reader.read(4096))
    sent = 0
    try:
        writer.write(
            b"POST /credit/7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: bad-1\r\n"
            b"X-Priority-Class: credit\r\nX-Timeout-Ms: 3000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        piece = (b"%x\r\n" % CHUNK_BYTES + b"a" * CHUNK_BYTES + b"\r\n") * CHUNKS_PER_WRITE
        while sent < BODY_BYTES and not answered.done():
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
        writer.write(b"0\r\n\r\n")
        got = await answered
        record.line(f"bad client: sent {sent} bytes of its body, got {got[:40]!r}")
    except OSError as err:
        record.line(f"bad client: sent {sent} bytes of its body, then {type(err).__name__}")
    finally:
        answered.cancel()
        record.line(f"bad client: done after {record.now() - began:.2f} s")
        writer.transport.abort()


async def watch_memory(node: Node, record: Record) -> float:
    """The platform: kills the node when it takes more than its limit. Returns the peak in MB."""
    peak, told_at = 0.0, 0.0
    while node.alive():
        now = resident_mb(node.pid)
        peak = max(peak, now)
        if time.monotonic() - told_at > 0.5:
            told_at = time.monotonic()
            record.line(f"memory of the node: {now:.0f} of {MEMORY_MB} MB")
        if now > MEMORY_MB:
            record.say(f"the node takes {now:.0f} MB, its limit is {MEMORY_MB} MB: killed")
            node.signal(signal.SIGKILL)
            break
        await asyncio.sleep(WATCH_S)
    return peak


async def case(folder: Path, record: Record, trouble: bool, nodes: list[Node]) -> int:
    servers = [Server(f"s-{i}", record) for i in range(4)]
    registry = Registry(record)
    await registry.start()
    for server in servers:
        await server.start()
        registry.put(server.target())
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    node = Node(folder, record, registry.port, registry.document(None), limits=limits)
    nodes.append(node)
    await node.start()
    memory = asyncio.create_task(watch_memory(node, record))
    clients = [Client(f"c{i}", node.port, record) for i in range(4)]
    for i, client in enumerate(clients):
        task = keep_asking(client, "credit" if i % 2 else "balance", 2.0, 0.1)
        client.task = asyncio.create_task(task)
    await asyncio.sleep(1.0)
    if trouble:
        await asyncio.wait(
            [asyncio.create_task(send_large_body(node.port, record)), memory],
            timeout=LENGTH_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    await asyncio.wait([memory], timeout=3.0)
    lived = node.alive()
    node.signal(signal.SIGKILL)
    peak = await memory
    ends = Counter(result[1] for client in clients for result in client.results)
    record.say(f"peak {peak:.0f} of {MEMORY_MB} MB; sound clients: {dict(ends)}")
    return KEPT if lived and peak <= MEMORY_MB else BROKEN


if __name__ == "__main__":
    sys.exit(main(__file__, case))
