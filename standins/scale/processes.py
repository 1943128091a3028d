"""The processes of a run: started, told, and ended by their ids whatever happens."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.memory import proportional_bytes
from standins.process import ROOT
from standins.scale.control import Child
from standins.scale.plan import distributor_name
from standins.scale.sizes import FLEET

POLL_S = 0.1
LINE_LIMIT = 1 << 20


class Processes:
    """All that a run has started."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[asyncio.subprocess.Process] = []

    async def child(self, module: str, *words: str, log: Path | None = None) -> Child:
        """A process of the rig; what it says on its standard error goes to a file, or to ours."""
        with contextlib.ExitStack() as files:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", f"standins.scale.{module}"),
                *words,
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=files.enter_context(log.open("wb")) if log is not None else None,
                limit=LINE_LIMIT,
            )
        self._started.append(process)
        return Child(module, process)

    async def distributor(self, words: list[str], log: Path) -> asyncio.subprocess.Process:
        """A distributor: the product's own process."""
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "tansywood.distribution.distributor"),
                *words,
                cwd=ROOT,
                stderr=file,
            )
        self._started.append(process)
        return process

    def memory_bytes(self) -> int:
        """Of all that run, what they share counted once."""
        total = 0
        for process in self._started:
            if process.returncode is None:
                with contextlib.suppress(OSError):
                    total += proportional_bytes(process.pid)
        return total

    async def end(self) -> None:
        """Kill what still runs, stopped or not, and wait for it."""
        for process in self._started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self._started:
            await process.wait()


async def said(words: str, log: Path, process: asyncio.subprocess.Process) -> str:
    """The first line of a log with these words, once it is there. RuntimeError with the log where
    the process ends before."""
    while process.returncode is None:
        for line in log.read_text(errors="replace").splitlines(keepends=True):
            if words in line and line.endswith("\n"):
                return line.rstrip()
        await asyncio.sleep(POLL_S)
    raise RuntimeError(f"a process has ended: {log.read_text(errors='replace')}")


@dataclass(slots=True)
class Distributor:
    """One distributor over its starts, at one address."""

    number: int
    upstream: str
    folder: Path
    processes: Processes
    address: str = "127.0.0.1:0"
    starts: int = 0
    process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        return distributor_name(self.number)

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}-{self.starts}.log"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def counters(self) -> Iterator[dict[str, Any]]:
        """The last counters of each start."""
        for path in self.folder.glob(f"{self.name}-*.json"):
            yield json.loads(path.read_text())

    async def start(self) -> None:
        """Until it listens."""
        self.starts += 1
        words = [self.name, self.address, FLEET, str(self.folder / "fleet.key")]
        words += ["--publisher", self.upstream]
        words += ["--counters", str(self.folder / f"{self.name}-{self.starts}.json")]
        self.process = await self.processes.distributor(words, self.log)
        line = await said("listening at ", self.log, self.process)
        self.address = line.rsplit(" ", 1)[1]

    async def ready(self) -> None:
        """Until it has everything."""
        assert self.process is not None
        await said(": ready", self.log, self.process)

    async def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    def stop(self) -> None:
        self._signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
