"""A process: the shipped administration with its API, its store and the source of distributors.

    python -m standins.scale.publisher FOLDER --nodes N ...

It fills the store FOLDER/state with all tenants and an operator's key, then runs what
`python -m tansywood.admin` runs, but at the priority of the other processes: in life it has a
machine of its own. It tells at which port its API listens, and then the address of distributors on
its standard error.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import time
from pathlib import Path

import uvloop

from standins.scale.control import Command, serve
from standins.scale.documents import records
from standins.scale.plan import Size
from standins.scale.sizes import FLEET, add_size, read_size
from standins.scale.standstill import Watch
from tansywood.admin.__main__ import serve as administer
from tansywood.store import Batch, Store
from tansywood.tenancy.identity import Key, digest, token

KEY_ID = "rigoperator1"
TOKEN = token(KEY_ID, "r" * 43)  # it opens nothing but a run's own administration
CALLS_PER_S = 10_000.0
TOGETHER = 1000  # records of one batch


def fill(path: Path, size: Size, seed: int) -> None:
    """A store as an administration with these tenants leaves it."""
    with Store.open(path) as store:
        batch = Batch()
        for key, value in records(size.tenants, seed):
            batch.put(key, value)
            if len(batch.ops) >= TOGETHER:
                store.write(batch)
                batch = Batch()
        operator = Key(KEY_ID, digest(TOKEN), "operator")
        batch.put(f"key/{KEY_ID}".encode(), json.dumps(operator.record()).encode())
        store.sync(store.write(batch))


def settings(folder: Path, api: socket.socket) -> argparse.Namespace:
    """The arguments of the administration's process."""
    run = folder / "run"
    run.mkdir()
    return argparse.Namespace(
        run=str(run),
        store=str(folder / "state"),
        descriptor=str(api.fileno()),
        rate=CALLS_PER_S,
        listener=[],
        iso_listener=[],
        publish="127.0.0.1:0",
        fleet=FLEET,
        instance="publisher",
        key_file=str(folder / "fleet.key"),
    )


async def _main(folder: Path, api: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    watch = Watch()

    async def perform(_counters: Command) -> Command:
        return {"processor_s": time.process_time(), "standstill_ms": watch.take_ms()}

    async def obey() -> None:
        """Until the driver ends: then the administration does, as its supervisor ends it."""
        await serve({"port": api.getsockname()[1]}, perform)
        os.kill(os.getpid(), signal.SIGTERM)

    beside = [loop.create_task(obey()), loop.create_task(watch.run())]
    await administer(loop, settings(folder, api))
    for task in beside:
        task.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m standins.scale.publisher")
    parser.add_argument("folder", type=Path)
    add_size(parser)
    options = parser.parse_args()
    fill(options.folder / "state", read_size(options), options.seed)
    api = socket.create_server(("127.0.0.1", 0), backlog=1024)
    uvloop.run(_main(options.folder, api))


if __name__ == "__main__":
    main()
