"""A node inside the test's own process, where a test can force the order of what happens."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import uvloop

from windrelay.config import load
from windrelay.http_node import HttpNode
from windrelay.server import Server

from .harness import LIMIT, config


class Inside:
    """One node on a loop of its own; `run` drives it."""

    def __init__(self, tmp_path: Path, known: dict[str, object], **over: Any) -> None:
        environ = config(tmp_path, known, 1, **over)
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.logged: list[str] = []
        self.config = load(environ)
        self.node = HttpNode(self.config, self.loop)
        self.node.log = self.logged.append  # type: ignore[method-assign, assignment]
        self.server = Server(self.node)

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(asyncio.wait_for(main, LIMIT))

    async def until(self, condition: Callable[[], object]) -> None:
        while not condition():
            await asyncio.sleep(0.001)

    async def turns(self, count: int = 10) -> None:
        for _ in range(count):
            await asyncio.sleep(0)


@contextlib.contextmanager
def inside(tmp_path: Path, known: dict[str, object], **over: Any) -> Iterator[Inside]:
    """A started node that listens; its descriptors are back where they were at the end."""
    uvloop.new_event_loop().close()  # the first makes a pipe that the process keeps
    before = len(os.listdir("/proc/self/fd"))
    one = Inside(tmp_path, known, **over)
    try:

        async def start() -> None:
            one.node.start()

        one.run(start())
        yield one
        one.run(one.until(lambda: not one.node.requests))

        async def stop() -> None:
            one.server.stop_accepting()
            for conn in list(one.server.connections):
                conn.close()
            while one.node.upstream.close_oldest_idle():
                pass
            one.node.discovery.close()
            await one.until(lambda: not one.node.clients and not one.node.upstream.descriptor_count)
            await one.turns()

        one.run(stop())
    finally:
        one.loop.close()
        asyncio.set_event_loop(None)
    assert len(os.listdir("/proc/self/fd")) == before
