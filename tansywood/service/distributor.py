"""A distributor as a part of a control machine: `python -m tansywood.service.distributor`.

The same as `tansywood.distribution.distributor`, with the supervisor's lifeline, and a socket in
the service's folder where the operators' tool asks how it stands.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
from dataclasses import asdict
from pathlib import Path

from tansywood.distribution.distributor import Distributor, DistributorSettings, run_distributor
from tansywood.fleet.seal import KeyFileError
from tansywood.service import part
from tansywood.service.wire import WireError, frame, read_frame
from windrelay.config import parse_address

SOCKET = "distributor.sock"


class StatusServer:
    """Answers each question on a Unix socket with the distributor's counters."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._distributor: Distributor | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        part.unlink(self._path)
        self._server = await asyncio.start_unix_server(self._answer, self._path)

    def began(self, distributor: Distributor) -> None:
        self._distributor = distributor

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, WireError):
            await read_frame(reader)
            if self._distributor is not None:
                writer.write(frame(asdict(self._distributor.counters())))
                await writer.drain()
        writer.close()


async def serve(loop: asyncio.AbstractEventLoop, folder: str, settings: DistributorSettings) -> int:
    """Until SIGTERM or the supervisor's end; 2 where the address or the keys can't be used."""
    ended: asyncio.Future[int] = loop.create_future()

    def stop() -> None:
        if not ended.done():
            ended.set_result(0)

    part.watch(loop, stop)
    status = StatusServer(f"{folder}/{SOCKET}")
    await status.start()

    def began(distributor: Distributor) -> None:
        status.began(distributor)
        # Ready as soon as it listens: a publisher that is away must not keep it from starting.
        part.ready()

    try:
        return await run_distributor(settings, ended, lambda: None, began)
    except (KeyFileError, OSError) as err:
        print(f"distributor {settings.name}: {err}", file=sys.stderr, flush=True)
        return 2


def main() -> None:
    parser = argparse.ArgumentParser(prog="tansywood.service.distributor")
    parser.add_argument("run", help="the service's folder")
    parser.add_argument("listen", help="IPv4:port")
    parser.add_argument("--fleet", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--key-file", type=Path, required=True)
    parser.add_argument("--publisher", action="append", required=True)
    options = parser.parse_args()
    settings = DistributorSettings(
        options.instance,
        parse_address(options.listen),
        options.fleet,
        options.key_file,
        tuple(options.publisher),
    )

    async def run(loop: asyncio.AbstractEventLoop) -> int:
        return await serve(loop, options.run, settings)

    part.run("distributor", run)


if __name__ == "__main__":
    main()
