"""The feed: every process of the traffic side is told all tenants, then each durable change."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from tansywood.service.part import unlink
from tansywood.service.report import add
from tansywood.service.wire import WireError, frame, read_frame

BEHIND = 64 << 20  # bytes that wait for one that does not read: it is dropped, and asks anew


class Feed:
    """Who follows, and how far each has come."""

    def __init__(self, path: str, views: Callable[[], dict[str, dict[str, Any]]]) -> None:
        self.path = path
        self.seq = 0
        self.applied: dict[str, int] = {}  # by follower
        # Counters by tenant and by a worker's life: those of one life only grow.
        self.reports: dict[str, dict[str, dict[str, Any]]] = {}
        self.fleet: dict[str, Any] | None = None  # as its process told last; None without one
        self._views = views
        self._writers: dict[str, asyncio.StreamWriter] = {}
        self._moved = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        unlink(self.path)
        self._server = await asyncio.start_unix_server(self._follower, self.path)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers.values():
            writer.close()

    def publish(self, seq: int, uid: str, view: dict[str, Any] | None) -> None:
        """A change that is durable."""
        self.seq = seq
        data = frame({"seq": seq, "uid": uid, "view": view})
        for name, writer in list(self._writers.items()):
            writer.write(data)
            if writer.transport.get_write_buffer_size() > BEHIND:
                writer.transport.abort()
                self._writers.pop(name, None)
        if view is None:
            self.reports.pop(uid, None)

    async def in_force(self, seq: int, seconds: float) -> bool:
        """Whether all that follow have taken a change over, waiting so long for it."""
        end = asyncio.get_running_loop().time() + seconds
        while any(applied < seq for applied in self.applied.values()):
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                return False
            moved = self._moved
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(moved.wait(), left)
        return True

    def report(self, uid: str) -> dict[str, Any]:
        """A tenant's counters over all workers that had it since this process began."""
        total: dict[str, Any] = {"classes": {}, "turned_away": {}}
        for record in self.reports.get(uid, {}).values():
            add(total, record)
        return total

    async def _follower(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            name = str((await read_frame(reader))["hello"])
            writer.write(frame({"seq": self.seq, "all": self._views()}))
            self._writers[name] = writer
            self.applied[name] = -1
            while True:
                self._told(name, await read_frame(reader))
        except (OSError, asyncio.IncompleteReadError, WireError, KeyError):
            pass  # it is gone, or speaks something else: it comes back and is told all
        finally:
            writer.close()
            if self._writers.get(name) is writer:
                del self._writers[name]
                self.applied.pop(name, None)
                self._wake()

    def _told(self, name: str, message: dict[str, Any]) -> None:
        if "applied" in message:
            self.applied[name] = message["applied"]
            self._wake()
        self.fleet = message.get("fleet", self.fleet)
        for uid, record in message.get("reports", {}).items():
            self.reports.setdefault(uid, {})[message["life"]] = record

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()
