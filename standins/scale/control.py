"""Commands to a process of the rig as lines of JSON on its standard input, answers on its output.

A process ends when its input does, so none outlives the driver.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

Command = dict[str, Any]
Perform = Callable[[Command], Awaitable[Command]]


async def serve(first: Command, perform: Perform) -> None:
    """Say `first`, then answer each command in order until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    _say(first)
    while line := await reader.readline():
        _say(await perform(json.loads(line)))


def _say(answer: Command) -> None:
    print(json.dumps(answer), flush=True)


class Child:
    """One process that is told commands."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self._one_at_a_time = asyncio.Lock()

    async def first(self) -> Command:
        """What it says once it is there."""
        return await self._answer()

    async def ask(self, do: str, **more: object) -> Command:
        """RuntimeError where it has ended."""
        assert self.process.stdin is not None
        async with self._one_at_a_time:
            self.process.stdin.write(json.dumps({"do": do} | more).encode() + b"\n")
            return await self._answer()

    async def _answer(self) -> Command:
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} has ended")
        answer: Command = json.loads(line)
        return answer
