"""The administration's process: `python -m tansywood.admin`, started by the supervisor."""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import secrets
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvicorn

import tansywood.service.part as part
from tansywood.admin.api import Api
from tansywood.admin.core import Administration
from tansywood.service.part import unix_ms
from tansywood.store import Batch, Store, StoreError
from tansywood.store.aio import AsyncStore
from tansywood.tenancy.registry import MAX_PUBLISHED, Registry

if TYPE_CHECKING:
    from tansywood.admin.publisher import Publisher

SECRET = b"meta/cursors"
KEY_FILE = "operator.key"
STOP_S = 2
NICE = 5  # where there is one core for all, callers come first


def keep_first_key(run: str, token: str) -> str:
    """The first key goes into a file that only its user may read; returns its path."""
    path = Path(run) / KEY_FILE
    part.unlink(str(path))
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "w") as file:
        file.write(token + "\n")
    return str(path)


async def publish(
    store: AsyncStore, registry: Registry, options: argparse.Namespace
) -> Publisher | None:
    """Begin to publish where the settings say so. OSError where the address can't be had,
    ValueError where the key file can't be used."""
    if not options.publish:
        return None
    # Loaded only here: an administration of one machine needs neither seals nor sessions.
    from tansywood.admin.publisher import Publisher, begin_epoch, replica_of
    from tansywood.distribution.parameters import Parameters
    from tansywood.fleet.keyfile import KeyFile

    registry.most_tenants = MAX_PUBLISHED
    keys = KeyFile(Path(options.key_file), lambda text: print(f"admin: {text}", file=sys.stderr))
    history = await begin_epoch(store, registry.seq, unix_ms())
    parameters = Parameters()
    publisher = Publisher(
        replica_of(registry, history, parameters.max_resumable_changes),
        keys,
        options.fleet,
        parameters,
    )
    # What was loaded stays: looked through again by the collector, 110,000 tenants stop the loop
    # for a second, and distributors would take the publisher for silent.
    gc.collect()
    gc.freeze()
    address = await publisher.start(options.publish)
    print(f"admin: publishing at {address}", file=sys.stderr, flush=True)
    return publisher


async def serve(loop: asyncio.AbstractEventLoop, options: argparse.Namespace) -> int:
    place = part.Place(options.run)
    Path(options.store).parent.mkdir(parents=True, exist_ok=True)
    store = Store.open(options.store)
    async with AsyncStore(store) as face:
        secret = face.get(SECRET)
        if secret is None:
            secret = secrets.token_hex(32).encode()
            await face.durable(Batch().put(SECRET, b'"' + secret + b'"'))
        admin = Administration(
            face,
            place.feed,
            options.listener,
            options.rate,
            iso_listeners=options.iso_listener,
        )
        admin.publisher = await publish(face, admin.registry, options)
        token = await admin.first_key()
        if token is not None:
            path = keep_first_key(options.run, token)
            print(f"admin: the first operator's key is in {path}", file=sys.stderr, flush=True)
        api = Api(admin, secret.strip(b'"'))
        server = uvicorn.Server(
            uvicorn.Config(
                api,
                log_level="warning",
                access_log=False,
                lifespan="off",
                server_header=False,
                date_header=False,
                limit_concurrency=200,
                timeout_keep_alive=15,
                timeout_graceful_shutdown=STOP_S,
                h11_max_incomplete_event_size=16 << 10,
            )
        )
        server.install_signal_handlers = lambda: None  # type: ignore[attr-defined]

        def stop() -> None:
            admin.stopping = True
            server.should_exit = True

        part.watch(loop, stop)
        await admin.feed.start()
        undoing = loop.create_task(admin.undo_for_ever())
        failing = loop.create_task(admin.failed.wait())
        failing.add_done_callback(lambda task: None if task.cancelled() else stop())
        sock = socket.socket(fileno=int(options.descriptor))
        part.ready()
        # Its own serve() would take over the signals.
        await server._serve([sock])
        undoing.cancel()
        failing.cancel()
        admin.feed.close()
        if admin.publisher is not None:
            admin.publisher.stop()
        return 1 if admin.failed.is_set() else 0


def main() -> None:
    parser = argparse.ArgumentParser(prog="tansywood.admin")
    parser.add_argument("run")
    parser.add_argument("store")
    parser.add_argument("descriptor", help="of the listening socket")
    parser.add_argument("rate", type=float, help="calls a second of one key")
    parser.add_argument("--listener", action="append", default=[])
    parser.add_argument("--iso-listener", action="append", default=[])
    parser.add_argument("--publish", default="", help="IPv4:port for distributors")
    parser.add_argument("--fleet", default="")
    parser.add_argument("--instance", default="")
    parser.add_argument("--key-file", default="")
    options = parser.parse_args()

    os.nice(NICE)

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        try:
            return await serve(loop, options)
        except StoreError as err:
            print(f"admin: {err}", file=sys.stderr, flush=True)
            return 1

    part.run("admin", run)


if __name__ == "__main__":
    main()
