"""Hundreds of clients stop in the middle of a request; sound clients must still be answered."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import BROKEN, KEPT, Client, Node, Record, Registry, Server, main

SOCKETS = 256
BAD_CLIENTS = 400
SOUND_CLIENTS = 30
TIMEOUT_S = 2.0
# A request is lost half a second after its time; limits are 50 ms longer on sockets, and this
# process may be late by as much again.
LOOKS_ON_S = 0.5 + 0.05 + 0.05
OWED_S = 3.0  # a client that stops in the middle of a request gets an error or a close by then


async def stop_in_the_middle(number: int, port: int, waits: list[float], record: Record) -> None:
    """Send half a head, stay, and read until the node ends the connection."""
    loop = asyncio.get_running_loop()
    began = record.now()
    with socket.socket() as sock:
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, ("127.0.0.1", port))
            sock.send(
                f"GET /balance/{number} HTTP/1.1\r\nHost: app.svc\r\n"
                f"X-Request-ID: bad-{number}\r\n".encode()
            )
            await loop.sock_recv(sock, 4096)
            waits[number] = record.now() - began
            while await loop.sock_recv(sock, 4096):
                pass
        except OSError:
            waits[number] = min(waits[number], record.now() - began)


async def case(folder: Path, record: Record, trouble: bool, nodes: list[Node]) -> int:
    servers = [Server(f"s-{i}", record) for i in range(4)]
    registry = Registry(record)
    await registry.start()
    for server in servers:
        await server.start()
        registry.put(server.target())
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS}
    node = Node(folder, record, registry.port, registry.document(None), limits=limits)
    nodes.append(node)
    await node.start()
    await asyncio.sleep(1.0)
    waits = [float("inf")] * BAD_CLIENTS
    bad = []
    if trouble:
        record.line(f"{BAD_CLIENTS} bad clients connect, send half a head each, and stay")
        for number in range(BAD_CLIENTS):
            task = stop_in_the_middle(number, node.port, waits, record)
            bad.append(asyncio.create_task(task))
            await asyncio.sleep(0)
    await asyncio.sleep(0.3)
    clients = [Client(f"c{i}", node.port, record) for i in range(SOUND_CLIENTS)]
    asking = []
    for client in clients:
        asking.append(asyncio.create_task(client.ask("balance", TIMEOUT_S, LOOKS_ON_S)))
        await asyncio.sleep(0.05)
    record.line(f"descriptors of the node: {len(os.listdir(f'/proc/{node.pid}/fd'))} of {SOCKETS}")
    await asyncio.gather(*asking)
    if bad:
        await asyncio.wait(bad, timeout=10.0)
        record.line(
            f"bad clients that got an error or a close within {OWED_S:.0f} s: "
            f"{sum(wait <= OWED_S for wait in waits)} of {BAD_CLIENTS}, "
            f"the last after {max(waits):.1f} s"
        )
    ends = Counter(result[1] for client in clients for result in client.results)
    record.say(f"sound clients: {dict(ends)}; node alive: {node.alive()}")
    return BROKEN if ends["unanswered"] or not node.alive() else KEPT


if __name__ == "__main__":
    sys.exit(main(__file__, case))
