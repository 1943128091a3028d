"""Servers, callers and floods for `benchmarks.tenants`, as processes of their own.

    python -m benchmarks.tenants_load NAME ARGUMENTS

NAME is one of `LOADS`, ARGUMENTS a JSON list. Each prints JSON, a line at a time.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from benchmarks.request_cost import Server
from standins.platform import parts, request

WORK_S = 0.02  # of a server, for each request
FLOODED_LIMIT = 200.0  # the flooded tenant's rate; it is sent ten times that
FLOOD_CONNECTIONS = 64
GIVE_UP_S = 3.0  # a flood's wait for one answer
Target = tuple[str, str]  # a tenant's host and key
Pair = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Slow(Server):
    """Answers after its work."""

    def done(self) -> None:
        asyncio.get_running_loop().call_later(WORK_S, super().done)


async def run_servers(count: int) -> None:
    """Servers that work for each request; their ports as the first line."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Slow, "127.0.0.1", 0) for _ in range(count)]
    print(json.dumps([int(s.sockets[0].getsockname()[1]) for s in servers]), flush=True)
    await asyncio.sleep(1800)


async def ask(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
) -> tuple[int, bool]:
    """Status, and whether the connection stays."""
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    first, headers = parts(head[:-4])
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(first.split(" ")[1]), headers.get("connection") != "close"


async def run_third(port: int, host: str, key: str, seconds: float, rate: float) -> None:
    """Credits by a clock of their own, each on a connection that is free."""
    loop = asyncio.get_running_loop()
    free: list[Pair] = [await asyncio.open_connection("127.0.0.1", port) for _ in range(24)]
    times: list[float] = []
    other = 0
    begin = loop.time()
    mark = f"{os.getpid()}"

    async def one(number: int, due: float) -> None:
        nonlocal other
        pair = free.pop() if free else await asyncio.open_connection("127.0.0.1", port)
        data = request(
            f"/credit/{number}",
            b"x" * 100,
            timeout=2500,
            rid=f"{mark}-{number}",
            Host=host,
            X_Tenant_Id="",
            X_Tenant_Key=key,
        )
        try:
            status, stays = await ask(*pair, data)
        except (OSError, asyncio.IncompleteReadError):
            other += 1
            return
        if status == 200:
            times.append(loop.time() - due)
        else:
            other += 1
        if stays:
            free.append(pair)
        else:
            pair[1].close()

    tasks = set()
    for number in range(int(seconds * rate)):
        due = begin + number / rate
        await asyncio.sleep(max(due - loop.time(), 0))
        # Late by its own loop is not the service's: counted from here.
        task = asyncio.create_task(one(number, loop.time()))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    print(json.dumps({"times": times, "other": other}), flush=True)


class Flood:
    """Ten times a tenant's rate, connections, slow bodies, huge heads, nobody's names, API calls;
    and a few requests for a tenant whose servers are dead."""

    def __init__(self, port: int, admin: int, seconds: float) -> None:
        self.port = port
        self.admin = admin
        self.loop = asyncio.get_running_loop()
        self.end = self.loop.time() + seconds
        self.counts: dict[str, int] = {}
        self.mark = f"f{os.getpid()}"

    def count(self, what: object) -> None:
        """One more that ended so."""
        self.counts[str(what)] = self.counts.get(str(what), 0) + 1

    async def run(self, flooded: Target, dead: Target) -> None:
        """All kinds at once, to the end."""
        nobody = ("nobody.example.org", "")
        pause = FLOOD_CONNECTIONS / (10 * FLOODED_LIMIT)
        await asyncio.gather(
            *(self.ask_on(f"k{i}", flooded, pause, False) for i in range(FLOOD_CONNECTIONS)),
            *(self.ask_on(f"n{i}", flooded, 0.05, True) for i in range(8)),
            *(self.ask_on(f"x{i}", nobody, 0.05, True) for i in range(8)),
            *(self.ask_on(f"d{i}", dead, 0.2, False) for i in range(4)),
            *(self.slow_bodies(f"s{i}", flooded) for i in range(8)),
            *(self.huge_heads() for _ in range(4)),
            *(self.api_calls() for _ in range(4)),
        )

    async def ask_on(self, name: str, target: Target, pause: float, new: bool) -> None:
        """Requests one after the other; with `new` each on a connection of its own."""
        number = 0
        pair: Pair | None = None
        while self.loop.time() < self.end:
            number += 1
            try:
                if pair is None:
                    pair = await asyncio.open_connection("127.0.0.1", self.port)
                data = request(
                    f"/balance/{number}",
                    rid=f"{self.mark}-{name}-{number}",
                    Host=target[0],
                    X_Tenant_Id="",
                    X_Tenant_Key=target[1],
                )
                status, stays = await asyncio.wait_for(ask(*pair, data), GIVE_UP_S)
                self.count(status)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.count("broke")
                stays = False
            if (new or not stays) and pair is not None:
                pair[1].close()
                pair = None
            await asyncio.sleep(pause)

    async def slow_bodies(self, name: str, target: Target) -> None:
        """Bodies that stop after the first bytes."""
        while self.loop.time() < self.end:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                data = request(
                    "/credit/1",
                    b"x" * 60_000,
                    rid=f"{self.mark}-{name}-{self.loop.time()}",
                    Host=target[0],
                    X_Tenant_Id="",
                    X_Tenant_Key=target[1],
                )
                writer.write(data[:1000])
                await asyncio.sleep(0.5)
                writer.close()
                self.count("slow")
            except OSError:
                self.count("broke")

    async def huge_heads(self) -> None:
        """Heads beyond what is taken."""
        head = b"GET /x HTTP/1.1\r\nX-Long: " + b"a" * 30_000
        while self.loop.time() < self.end:
            await self._send_once(self.port, head, 200, "huge")
            await asyncio.sleep(0.05)

    async def api_calls(self) -> None:
        """Calls of the administration without a key."""
        call = b"GET /v1/tenants HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        while self.loop.time() < self.end:
            await self._send_once(self.admin, call, 2000, "api")
            await asyncio.sleep(0.01)

    async def _send_once(self, port: int, data: bytes, most: int, what: str) -> None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await asyncio.wait_for(reader.read(most), GIVE_UP_S)
            writer.close()
            self.count(what)
        except (OSError, TimeoutError):
            self.count("broke")


async def run_flood(
    port: int, admin: int, host: str, key: str, dead_host: str, dead_key: str, seconds: float
) -> None:
    """A flood for so long; what it got."""
    flood = Flood(port, admin, seconds)
    await flood.run((host, key), (dead_host, dead_key))
    print(json.dumps(flood.counts), flush=True)


LOADS: dict[str, Callable[..., Coroutine[Any, Any, None]]] = {
    "servers": run_servers,
    "third": run_third,
    "flood": run_flood,
}


if __name__ == "__main__":
    asyncio.run(LOADS[sys.argv[1]](*json.loads(sys.argv[2])))
