"""The feed: every process of the traffic side is told all tenants, then each durable change.

It is the administration's, or on a node that holds only what it serves, the agent's
(`service.agent`). The agent's is partial: what it does not name may exist all the same.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Protocol

from tansywood.service.part import unlink
from tansywood.service.report import add
from tansywood.service.wire import WireError, frame, read_frame

BEHIND = 64 << 20  # bytes that wait for one that does not read: it is dropped, and asks anew


class Node(Protocol):
    """The owner of a partial feed: it is told who follows, and all that followers say."""

    def joined(self, name: str, held: list[str], seq: int) -> None:
        """A follower has come, with what it holds from an earlier feed, as of its `seq`."""

    def left(self, name: str) -> None:
        """A follower's connection has ended."""

    def heard(self, name: str, message: dict[str, Any]) -> None:
        """A follower's message."""


class Feed:
    """Who follows, and how far each has come."""

    def __init__(
        self,
        path: str,
        views: Callable[[], dict[str, dict[str, Any]]],
        node: Node | None = None,
    ) -> None:
        """With a `node` the feed is partial."""
        self.path = path
        self.seq = 0
        self.applied: dict[str, int] = {}  # by follower
        # Counters by tenant and by a worker's life: those of one life only grow.
        self.reports: dict[str, dict[str, dict[str, Any]]] = {}
        self.fleet: dict[str, Any] | None = None  # as its process told last; None without one
        self._views = views
        self._node = node
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
                if self._node is not None:
                    self._node.left(name)
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

    async def moved(self) -> None:
        """Until a follower went, or said how far it has come."""
        await self._moved.wait()

    def followers(self) -> set[str]:
        """The names of all that follow now."""
        return set(self._writers)

    def tell(self, name: str, record: dict[str, Any]) -> None:
        """Something for one follower alone; nothing where it is away."""
        writer = self._writers.get(name)
        if writer is not None:
            writer.write(frame(record))

    def report(self, uid: str) -> dict[str, Any]:
        """A tenant's counters over all workers that had it since this process began."""
        total: dict[str, Any] = {"classes": {}, "turned_away": {}}
        for record in self.reports.get(uid, {}).values():
            add(total, record)
        return total

    async def _follower(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        try:
            hello = await read_frame(reader)
            name = str(hello["hello"])
            first = {"seq": self.seq, "all": self._views()}
            if self._node is not None:
                first["partial"] = True
            writer.write(frame(first))
            self._writers[name] = writer
            self.applied[name] = -1
            if self._node is not None:
                self._node.joined(name, hello.get("held", []), hello.get("seq", -1))
            while self._writers.get(name) is writer:
                self._told(name, await read_frame(reader))
        except (OSError, asyncio.IncompleteReadError, WireError, KeyError):
            pass  # it is gone, or speaks something else: it comes back and is told all
        finally:
            writer.close()
            if self._writers.get(name) is writer:
                del self._writers[name]
                self.applied.pop(name, None)
                if self._node is not None:
                    self._node.left(name)
                self._wake()

    def _told(self, name: str, message: dict[str, Any]) -> None:
        if "applied" in message:
            self.applied[name] = message["applied"]
            self._wake()
        self.fleet = message.get("fleet", self.fleet)
        for uid, record in message.get("reports", {}).items():
            self.reports.setdefault(uid, {})[message["life"]] = record
        if self._node is not None:
            self._node.heard(name, message)

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()
