"""A way between two processes that can be cut: bytes wait, and nothing is closed.

What crosses it is untouched. While it is cut nothing is read or written on either side, as where a
network drops everything: what was sent before stays in the system's buffers, a new connection is
taken by the system alone.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

CHUNK = 256 << 10


class Address(NamedTuple):
    host: str
    port: int


def address_of(text: str) -> Address:
    """Of IPv4:port."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


class Relay:
    """Forwards bytes between whoever connects and one address, which may become another."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address = Address("127.0.0.1", 0)
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._connected, *self.address)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        return self.address

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await self._open.wait()
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):  # the relay was stopped
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
