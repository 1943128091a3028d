"""A process: the way from one region's distributors to the publisher, which can be cut.

    python -m standins.scale.relay PUBLISHER DELAY_S

Whatever passes it takes DELAY_S seconds, in either direction.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

import uvloop

from standins.relay import CHUNK, Address, Relay, address_of
from standins.scale.control import Command, serve

IN_FLIGHT_MOST = 256  # chunks on their way: beyond it nothing is read


class DelayedRelay(Relay):
    """A relay on which bytes and the end of a connection take time, in order."""

    def __init__(self, target: Address, delay_s: float) -> None:
        super().__init__(target)
        self._delay_s = delay_s

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until either side ends; what was read before a cut is written after it."""
        loop = asyncio.get_running_loop()
        on_their_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(IN_FLIGHT_MOST)

        async def take_in() -> None:
            data = b"more"
            while data:
                try:
                    data = await reader.read(CHUNK)
                except OSError:
                    data = b""
                await on_their_way.put((loop.time() + self._delay_s, data))

        async def pass_on() -> None:
            with contextlib.suppress(OSError):
                while True:
                    due, data = await on_their_way.get()
                    await asyncio.sleep(due - loop.time())
                    await self._open.wait()
                    if not data or writer.is_closing():
                        return
                    writer.write(data)
                    await writer.drain()

        taking = asyncio.create_task(take_in())
        try:
            await pass_on()
        finally:
            taking.cancel()
            writer.close()


async def _main(target: Address, delay_s: float) -> None:
    relay = DelayedRelay(target, delay_s)
    address = await relay.start()

    async def perform(command: Command) -> Command:
        if command["do"] == "cut":
            relay.cut()
        elif command["do"] == "heal":
            relay.heal()
        return {}

    await serve({"address": f"{address.host}:{address.port}"}, perform)


if __name__ == "__main__":
    uvloop.run(_main(address_of(sys.argv[1]), float(sys.argv[2])))
