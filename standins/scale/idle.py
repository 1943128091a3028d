"""A process that does nothing: how late its timer is tells how busy the machine is by itself.

python -m standins.scale.idle
"""

from __future__ import annotations

import asyncio

import uvloop

from standins.scale.control import Command, serve
from standins.scale.standstill import Watch


async def _main() -> None:
    watch = Watch()

    async def perform(_counters: Command) -> Command:
        return {"standstill_ms": watch.take_ms()}

    watching = asyncio.get_running_loop().create_task(watch.run())
    await serve({}, perform)
    watching.cancel()


if __name__ == "__main__":
    uvloop.run(_main())
