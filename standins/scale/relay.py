"""A process: the way from one region's distributors to the publisher, which can be cut.

    python -m standins.scale.relay PUBLISHER

While it is cut nothing is read or written on either side, and nothing is closed: bytes stay in
the kernel's buffers, and a new connection is taken by the kernel alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

import uvloop

from standins.scale.control import Command, serve
from windrelay.config import Address, parse_address

CHUNK = 256 << 10


class Relay:
    """Forwards bytes between whoever connects and one address."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._open = asyncio.Event()
        self._open.set()

    async def start(self) -> Address:
        server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def perform(self, command: Command) -> Command:
        if command["do"] == "cut":
            self._open.clear()
        elif command["do"] == "heal":
            self._open.set()
        return {}

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open.wait()
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._forward(reader, back), self._forward(there, writer))

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until either side ends; what was read before a cut is written after it."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        await self._open.wait()
        writer.close()


async def _main(target: Address) -> None:
    relay = Relay(target)
    address = await relay.start()
    await serve({"address": f"{address.host}:{address.port}"}, relay.perform)


if __name__ == "__main__":
    uvloop.run(_main(parse_address(sys.argv[1])))
