"""A process: the way from one region's distributors to the publisher, which can be cut.

python -m standins.scale.relay PUBLISHER
"""

from __future__ import annotations

import sys

import uvloop

from standins.relay import Address, Relay, address_of
from standins.scale.control import Command, serve


async def _main(target: Address) -> None:
    relay = Relay(target)
    address = await relay.start()

    async def perform(command: Command) -> Command:
        if command["do"] == "cut":
            relay.cut()
        elif command["do"] == "heal":
            relay.heal()
        return {}

    await serve({"address": f"{address.host}:{address.port}"}, perform)


if __name__ == "__main__":
    uvloop.run(_main(address_of(sys.argv[1])))
