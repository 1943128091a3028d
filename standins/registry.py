"""The list of servers as a service: whole, or a watch on changes; it may fail as well."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Mapping
from enum import StrEnum
from random import Random
from urllib.parse import parse_qs, urlsplit

from standins.platform import answer, parts


class Mood(StrEnum):
    """How a call of the list goes."""

    ANSWER = "answer"
    RESET = "reset"
    HANG = "hang"
    HALF = "half"
    NOISE = "noise"
    ERROR = "error"


class Registry:
    """Rows by their uid, a version that grows with each change, and watches that wait for it."""

    def __init__(self, rng: Random, moods: Mapping[Mood, float] | None = None) -> None:
        self.rng = rng
        self.moods = moods or {Mood.ANSWER: 1.0}
        self.rows: dict[str, dict[str, object]] = {}
        self.rev = 1
        self.calls = 0
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def put(self, *rows: dict[str, object]) -> None:
        """Take rows in, or replace those of the same uid, and tell the watches."""
        for row in rows:
            self.rows[str(row["uid"])] = row
        self.rev += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, object]:
        return {"rev": self.rev, "all": True, "targets": list(self.rows.values())}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._call, "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await self._answer(parts(head[:-4])[0].split(" ")[1], writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the node went away
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            writer.close()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        mood = self.rng.choices(list(self.moods), list(self.moods.values()))[0]
        query = parse_qs(urlsplit(path).query)
        since = int(query.get("from", ["-1"])[0])
        if since >= self.rev and mood == Mood.ANSWER:
            hold = int(query.get("hold_ms", ["0"])[0]) / 1000
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), hold)
        good = answer(json.dumps(self.whole()).encode())
        if mood == Mood.ANSWER:
            writer.write(good)
        elif mood == Mood.HANG:
            await asyncio.sleep(60)
        elif mood == Mood.HALF:
            writer.write(good[: len(good) // 2])
        elif mood == Mood.NOISE:
            writer.write(b"\0\1\2\r\n\r\n")
        elif mood == Mood.ERROR:
            writer.write(answer(b"", "500 Internal Server Error"))
        else:
            writer.transport.abort()
