"""A node inside the test's own process, where a test can force the order of events."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import uvloop

from windrelay.config import load
from windrelay.http_node import HttpNode
from windrelay.server import Server

from .harness import HANG_TIMEOUT_S, config


class InProcessNode:
    """One node on an event loop of its own; `run` drives the loop."""

    def __init__(self, tmp_path: Path, known: dict[str, object], **over: Any) -> None:
        environ = config(tmp_path, known, 1, **over)
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.log_lines: list[str] = []
        self.config = load(environ)
        self.node = HttpNode(self.config, self.loop)
        self.node.log = self.log_lines.append  # type: ignore[method-assign, assignment]
        self.server = Server(self.node)

    def run(self, main: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the node's loop; fails where it hangs."""
        return self.loop.run_until_complete(asyncio.wait_for(main, HANG_TIMEOUT_S))

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Let the loop run until the condition holds."""
        while not condition():
            await asyncio.sleep(0.001)

    async def run_loop_turns(self, count: int = 10) -> None:
        """Let the loop run this many iterations."""
        for _ in range(count):
            await asyncio.sleep(0)


@contextlib.contextmanager
def in_process_node(
    tmp_path: Path, known: dict[str, object], **over: Any
) -> Iterator[InProcessNode]:
    """Start a node that listens; at the end, check that every descriptor it opened is closed."""
    uvloop.new_event_loop().close()  # the first loop opens a pipe that the process keeps
    gc.collect()  # descriptors that earlier tests left to the collector would be closed meanwhile
    before = len(os.listdir("/proc/self/fd"))
    one = InProcessNode(tmp_path, known, **over)
    try:

        async def start() -> None:
            one.node.start()

        one.run(start())
        yield one
        one.run(one.wait_until(lambda: not one.node.requests))

        async def stop() -> None:
            one.server.stop_accepting()
            for conn in list(one.server.connections):
                conn.close()
            while one.node.upstream.close_oldest_idle():
                pass
            one.node.discovery.close()
            await one.wait_until(
                lambda: not one.node.client_count and not one.node.upstream.descriptor_count
            )
            await one.run_loop_turns()

        one.run(stop())
    finally:
        one.loop.close()
        asyncio.set_event_loop(None)
    assert len(os.listdir("/proc/self/fd")) == before
