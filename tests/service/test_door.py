"""The door in one loop, before workers that the test plays."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from standins.platform import request
from tansywood.service import part
from tansywood.service.door import STOPPED, TOO_LONG, TOO_MANY, Door
from tansywood.service.tenant import FULL, UNKNOWN
from tansywood.service.wire import TAKEN, Handed, take
from tansywood.tenancy.identity import Key, digest, token
from tansywood.tenancy.settings import ACTIVE, SUSPENDED

from ..tenancy.documents import document

TOKEN = token("k" * 12, "s" * 43)


class FakeWorker:
    """Listens at a worker's place; takes what it is told to."""

    def __init__(self, place: part.Place, name: str, owns: list[str] | None = None) -> None:
        self.name = name
        self.owns = owns or []
        path = place.worker(name)
        part.unlink(path)
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.listener.bind(path)
        self.listener.listen(4)
        self.listener.setblocking(False)
        self.link: socket.socket | None = None

    async def linked(self) -> None:
        while self.link is None:
            with contextlib.suppress(BlockingIOError):
                self.link, _ = self.listener.accept()
                self.link.setblocking(False)
                self.link.send(json.dumps({"worker": self.name, "owns": self.owns}).encode())
            await asyncio.sleep(0.001)

    async def take(self, says: bool = True) -> Handed:
        while True:
            assert self.link is not None
            with contextlib.suppress(BlockingIOError):
                one = take(self.link)
                assert one is not None
                if says:
                    self.link.send(TAKEN)
                return one
            await asyncio.sleep(0.001)

    def die(self) -> None:
        """What lies in its socket unread goes with it."""
        self.listener.close()
        if self.link is not None:
            self.link.close()
            self.link = None


class World:
    def __init__(self, folder: Path, names: list[str]) -> None:
        self.loop = asyncio.get_running_loop()
        self.place = part.Place(str(folder))
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.door = Door(self.loop, self.place, {"public": sock}, names)
        self.door.log = lambda text: None  # type: ignore[method-assign]
        self.socks: list[socket.socket] = []

    def tenant(self, status: str = ACTIVE, **over: Any) -> None:
        key = Key("k" * 12, digest(TOKEN), "caller", "uid")
        self.door.changed(
            "uid",
            {
                "uid": "uid",
                "status": status,
                "version": 1,
                "document": document(**over),
                "since": {},
                "keys": [key.record()],
            },
        )

    async def connect(self, data: bytes) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        await self.loop.sock_connect(sock, ("127.0.0.1", self.port))
        await self.loop.sock_sendall(sock, data)
        self.socks.append(sock)
        return sock

    async def read(self, sock: socket.socket) -> bytes:
        return await asyncio.wait_for(self.loop.sock_recv(sock, 65536), 10)


@contextlib.asynccontextmanager
async def world(folder: Path, *names: str) -> AsyncIterator[World]:
    before = len(os.listdir("/proc/self/fd"))
    w = World(folder, list(names))
    w.tenant()
    w.door.begin()
    try:
        yield w
    finally:
        w.door.stop()
        for sock in w.socks:
            sock.close()
        await asyncio.wait_for(w.door.ended, 10)
        for visitor in list(w.door.lingering):
            w.door.let_go(visitor)
        for name in list(w.door.links):
            w.door.lost(name)
        for one in w.door.waiting:
            one.sock.close()
    assert len(os.listdir("/proc/self/fd")) <= before


def ask() -> bytes:
    return request(X_Tenant_Id="", X_Tenant_Key=TOKEN)


def test_what_a_worker_had_not_taken_when_it_died_goes_to_another_and_nothing_else_does(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with world(tmp_path, "worker-0", "worker-1") as w:
            first = FakeWorker(w.place, "worker-0", ["uid"])
            await first.linked()
            assert w.door.placement.owner("uid") == "worker-0"
            heads = [ask() for _ in range(3)]
            for head in heads:
                await w.connect(head)
            taken = await first.take()
            assert taken.first == heads[0] and taken.listener == "public"
            # The second is read and not said to be taken; the third lies there.
            begun = await first.take(says=False)
            second = FakeWorker(w.place, "worker-1")
            await second.linked()
            begun.sock.close()
            taken.sock.close()
            first.die()
            again = [await second.take(), await second.take()]
            assert [one.first for one in again] == heads[1:]
            await asyncio.sleep(0.05)
            with pytest.raises(BlockingIOError):
                assert second.link is not None
                take(second.link)  # the one that was taken may have run: it goes nowhere
            for one in again:
                one.sock.close()
            second.die()

    asyncio.run(main())


def test_a_workers_last_words_are_heard_before_its_connections_go_to_another(
    tmp_path: Path,
) -> None:
    """It said that it takes one, and ended: that one may have run."""

    async def main() -> None:
        async with world(tmp_path, "worker-0") as w:
            worker = FakeWorker(w.place, "worker-0")
            await worker.linked()
            await w.connect(ask())
            taken = await worker.take()
            w.door.lost("worker-0")  # as when the next hand-over meets its end
            assert not w.door.waiting
            taken.sock.close()
            worker.die()

    asyncio.run(main())


def test_a_connection_waits_for_a_worker_to_be_there_and_is_told_to_come_back_if_none_is(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with world(tmp_path, "worker-0") as w:
            worker = FakeWorker(w.place, "worker-0")
            await worker.linked()
            while not w.door.placement.workers:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.05)  # it lets callers in by now
            worker.die()
            sock = await w.connect(ask())
            assert await w.read(sock) == FULL
            sock = await w.connect(ask())
            back = FakeWorker(w.place, "worker-0")
            await back.linked()
            one = await back.take()
            one.sock.close()
            assert await w.read(sock) == b""
            back.die()
            await asyncio.sleep(1.05)  # a last word's descriptor

    asyncio.run(main())


def test_nobodys_stopped_ones_and_crowds_are_answered_by_the_door_itself(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path, "worker-0") as w:
            worker = FakeWorker(w.place, "worker-0")
            await worker.linked()

            async def told(data: bytes) -> bytes:
                return await w.read(await w.connect(data))

            assert await told(request(X_Tenant_Id="none")) == UNKNOWN
            assert await told(b"nonsense\r\n\r\n") == UNKNOWN
            assert await told(b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000) == TOO_LONG
            w.tenant(SUSPENDED)
            assert await told(ask()) == STOPPED
            w.tenant(ACTIVE, limits={"connections_per_s": 0.1})
            one = await w.connect(ask())
            handed = await worker.take()
            assert await told(ask()) == TOO_MANY
            handed.sock.close()
            one.close()
            worker.die()

    asyncio.run(main())


def test_who_says_nothing_is_told_so_and_a_crowd_of_them_displaces_itself(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path, "worker-0") as w:
            worker = FakeWorker(w.place, "worker-0")
            await worker.linked()
            w.door.lobby.of_one = 5
            socks = [await w.connect(b"GET / HT") for _ in range(8)]
            assert [await w.read(sock) for sock in socks[5:]] == [FULL] * 3
            w.door.lobby.patience_ms = -1
            w.door.sweep()
            for sock in socks[:5]:
                assert (await w.read(sock)).startswith(b"HTTP/1.1 408 ")
            worker.die()

    asyncio.run(main())
