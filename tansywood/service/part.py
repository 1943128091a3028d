"""What every process of the service has in common: its place, its lifeline, its readiness.

A part lives no longer than its supervisor: it holds the reading end of a pipe whose other end
only the supervisor has. When that one ends, however it does, the pipe ends, and the part stops
as on SIGTERM: what it holds is answered first.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from windrelay.clock import unix_ms as unix_ms

if TYPE_CHECKING:
    from tansywood.service.follow import Follower

LIFELINE = "TANSYWOOD_LIFELINE"
READY = "TANSYWOOD_READY"


@dataclass(frozen=True, slots=True)
class Place:
    """The service's folder and the paths in it."""

    folder: str

    @property
    def feed(self) -> str:
        return f"{self.folder}/feed.sock"

    def worker(self, name: str) -> str:
        return f"{self.folder}/{name}.sock"


def unlink(path: str) -> None:
    """A socket's path that an earlier process left."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)


def ready(environ: Mapping[str, str] = os.environ) -> None:
    """Tell the supervisor that the part does its work."""
    number = environ.get(READY)
    if number:
        os.write(int(number), b"R")
        os.close(int(number))


def watch(loop: asyncio.AbstractEventLoop, stop: Callable[[], None]) -> None:
    """Call `stop` once: on SIGTERM, SIGINT or the supervisor's end."""
    told = False

    def once() -> None:
        nonlocal told
        if not told:
            told = True
            stop()

    loop.add_signal_handler(signal.SIGTERM, once)
    loop.add_signal_handler(signal.SIGINT, lambda: None)  # a terminal's goes to all: the
    number = os.environ.get(LIFELINE)  # supervisor tells in order
    if number:
        descriptor = int(number)

        def ended() -> None:
            loop.remove_reader(descriptor)
            once()

        loop.add_reader(descriptor, ended)


async def follow(
    loop: asyncio.AbstractEventLoop,
    follower: Follower,
    begin: Callable[[], None],
    stop: Callable[[], None],
    ended: asyncio.Future[int],
) -> int:
    """A part of the traffic side from its start to its end: `begin` once it knows all tenants."""
    following = loop.create_task(follower.run())
    watch(loop, stop)
    told = loop.create_task(follower.ready.wait())
    told.add_done_callback(lambda _task: begin())
    code = await ended
    following.cancel()
    return code


def run(name: str, main: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, int]]) -> None:
    """Run a part to its end, and end the process with its code."""
    import uvloop  # not for the supervisor, which has the names above from here

    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    code = 1
    try:
        code = loop.run_until_complete(main(loop))
    except (OSError, ValueError) as err:
        print(f"{name}: {err}", file=sys.stderr, flush=True)
    sys.stderr.flush()
    sys.stdout.flush()
    os._exit(code)
