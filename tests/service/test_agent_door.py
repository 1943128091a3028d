"""The door before an agent and a worker that the test plays, in one loop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from standins.platform import request
from tansywood.admin.feed import Feed
from tansywood.service import part
from tansywood.service.door import Door
from tansywood.service.tenant import FULL, UNKNOWN
from tansywood.tenancy.identity import Key, digest, token
from tansywood.tenancy.settings import ACTIVE

from ..tenancy.documents import document
from .test_door import FakeWorker

TOKEN = token("k" * 12, "s" * 43)
HOST = "cork.example.org"


def view(**over: Any) -> dict[str, Any]:
    key = Key("k" * 12, digest(TOKEN), "caller", "uid")
    return {
        "uid": "uid",
        "status": ACTIVE,
        "version": 1,
        "document": document(**over),
        "since": {},
        "keys": [key.record()],
    }


class FakeAgent:
    """Feeds the door and keeps what it says."""

    def __init__(self, path: str) -> None:
        self.feed = Feed(path, lambda: {}, self)
        self.lookups: list[dict[str, Any]] = []
        self.releases: list[bool] = []
        self.held: list[str] = []

    def joined(self, name: str, held: list[str], seq: int) -> None:
        self.held = held

    def left(self, name: str) -> None:
        pass

    def heard(self, name: str, message: dict[str, Any]) -> None:
        if "lookup" in message:
            self.lookups.append(message)
        elif "release" in message:
            self.releases.append(message["released"])

    def publish(self, **over: Any) -> None:
        self.feed.publish(self.feed.seq + 1, "uid", view(**over))

    def answer(self, state: str = "done") -> None:
        """To all questions so far."""
        lookups, self.lookups = self.lookups, []
        for one in lookups:
            self.feed.tell("door", {"answer": one["lookup"], "state": state})

    async def asked(self, count: int = 1) -> dict[str, Any]:
        await comes(lambda: len(self.lookups) >= count)
        return self.lookups[-1]

    async def release(self) -> bool:
        count = len(self.releases)
        self.feed.tell("door", {"release": "uid", "number": 1})
        await comes(lambda: len(self.releases) > count)
        return self.releases[-1]

    async def followed(self, door: Door) -> None:
        """The door has taken over all that was said."""
        await comes(lambda: self.feed.applied.get("door") == self.feed.seq)


async def comes(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


class World:
    def __init__(self, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.place = part.Place(str(folder))
        listeners = {}
        for name in ("public", "iso"):
            listeners[name] = sock = socket.create_server(("127.0.0.1", 0))
            sock.setblocking(False)
        self.ports = {name: sock.getsockname()[1] for name, sock in listeners.items()}
        self.door = Door(self.loop, self.place, listeners, ["worker-0"], frozenset(["iso"]))
        self.door.log = lambda text: None  # type: ignore[method-assign]
        self.worker = FakeWorker(self.place, "worker-0")
        self.agent = FakeAgent(self.place.feed)
        self.socks: list[socket.socket] = []

    async def connect(self, data: bytes = b"", listener: str = "public") -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        await self.loop.sock_connect(sock, ("127.0.0.1", self.ports[listener]))
        if data:
            await self.loop.sock_sendall(sock, data)
        self.socks.append(sock)
        return sock

    async def read(self, sock: socket.socket) -> bytes:
        return await asyncio.wait_for(self.loop.sock_recv(sock, 65536), 10)


@contextlib.asynccontextmanager
async def world(folder: Path) -> AsyncIterator[World]:
    before = len(os.listdir("/proc/self/fd"))
    w = World(folder)
    await w.agent.feed.start()
    following = w.loop.create_task(w.door.follower.run())
    await w.door.follower.ready.wait()
    w.door.begin()
    await w.worker.linked()
    await comes(lambda: bool(w.door.placement.workers))
    w.agent.feed.tell("door", {"nobodys": ["public"]})
    try:
        yield w
    finally:
        if not w.door.stopping:
            w.door.stop()
        await asyncio.wait_for(w.door.ended, 10)
        for sock in w.socks:
            sock.close()
        following.cancel()
        w.agent.feed.close()
        for visitor in list(w.door.lingering):
            w.door.let_go(visitor)
        for name in list(w.door.links):
            w.door.lost(name)
        for one in w.door.waiting:
            one.sock.close()
        w.worker.die()
        await comes(lambda: len(os.listdir("/proc/self/fd")) <= before)


def ask(body: bytes | None = None) -> bytes:
    return request("/credit/1", body, Host=HOST, X_Tenant_Id="", X_Tenant_Key=TOKEN)


def test_a_first_request_waits_and_is_handed_over_as_it_came(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            whole = ask(b"x" * 100)
            sock = await w.connect(whole[:-50])
            asked = await w.agent.asked()
            assert asked["aliases"] == [f"h:{HOST}", f"k:{'k' * 12}"] and not asked["known"]
            await w.loop.sock_sendall(sock, whole[-50:])  # nobody reads on meanwhile
            w.agent.publish()
            w.agent.answer()
            one = await w.worker.take()
            assert (one.uid, one.listener, one.first) == ("uid", "public", whole[:-50])
            assert one.sock.recv(1000) == whole[-50:]
            one.sock.close()
            # The next one of it asks nothing.
            await w.connect(whole)
            one = await w.worker.take()
            assert one.first == whole and not w.agent.lookups
            one.sock.close()

    asyncio.run(main())


def test_the_answers_are_those_of_ever(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:

            async def told(state: str) -> bytes:
                sock = await w.connect(ask())
                await w.agent.asked()
                w.agent.answer(state)
                return await w.read(sock)

            assert await told("done") == UNKNOWN
            assert await told("unavailable") == FULL
            # What can't be a tenant's is asked of nobody.
            odd = await w.connect(request(Host="no_host", X_Tenant_Id="No Name"))
            assert await w.read(odd) == UNKNOWN and not w.agent.lookups
            # What is held is served, whatever else can't be said now.
            w.agent.publish()
            await w.agent.followed(w.door)
            await w.connect(request(Host="10.0.0.1", X_Tenant_Id="", X_Tenant_Key=TOKEN))
            assert (await w.agent.asked())["known"]
            w.agent.answer("unavailable")
            one = await w.worker.take()
            one.sock.close()

    asyncio.run(main())


def test_who_waits_too_long_goes_away_or_is_one_too_many_is_let_go_of(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            w.door.lookups._lobby.of_one = 3
            socks = [await w.connect(ask()) for _ in range(4)]
            assert await w.read(socks[3]) == FULL
            await w.agent.asked(3)
            socks[0].close()
            w.door.lookups._lobby.patience_ms = -1
            w.door.sweep()
            assert [await w.read(sock) for sock in socks[1:3]] == [FULL] * 2
            assert len(w.door.lookups) == 0
            w.agent.publish()
            w.agent.answer()  # too late: nobody waits
            await w.agent.followed(w.door)

    asyncio.run(main())


def test_a_door_that_stops_answers_those_that_wait(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            sock = await w.connect(ask())
            await w.agent.asked()
            w.door.stop()
            assert await w.read(sock) == FULL

    asyncio.run(main())


def test_another_agent_is_told_what_is_held_and_asked_what_was_open(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            w.agent.publish()
            await w.agent.followed(w.door)
            await w.connect(request(Host="new.example.org", X_Tenant_Id=""))
            first = await w.agent.asked()
            w.agent.feed.close()
            await comes(lambda: not w.door.follower.linked)
            # Nobody is there to be asked: who is known is served.
            await w.connect(request(Host="10.0.0.1", X_Tenant_Id="", X_Tenant_Key=TOKEN))
            one = await w.worker.take()
            one.sock.close()
            w.agent = FakeAgent(w.place.feed)
            await w.agent.feed.start()
            assert await w.agent.asked() == first
            assert w.agent.held == ["uid"] and w.door.follower.views
            await w.connect(ask())
            one = await w.worker.take()
            one.sock.close()

    asyncio.run(main())


def test_a_tenant_is_let_go_of_once_each_of_its_connections_is_taken(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            w.agent.publish()
            await w.agent.followed(w.door)
            await w.connect(ask())
            one = await w.worker.take(says=False)
            assert not await w.agent.release()
            assert w.worker.link is not None
            w.worker.link.send(b"+")
            await comes(lambda: not any(w.door.handed.values()))
            assert await w.agent.release()
            assert not w.door.status and not w.door.follower.views
            # Its owner stays until no worker has it: there are never two.
            assert w.door.placement.owns("worker-0") == ["uid"]
            w.agent.feed.tell("door", {"forget": "uid"})
            await comes(lambda: not w.door.placement.owns("worker-0"))
            one.sock.close()
            # The next request asks anew.
            await w.connect(ask())
            await w.agent.asked()

    asyncio.run(main())


def test_a_tenant_is_not_let_go_of_while_a_connection_waits_for_the_rest_that_it_shows(
    tmp_path: Path,
) -> None:
    """Only the host is asked for, and the answer is that it is nobody's: were the tenant gone by
    then, its own request would be nobody's too."""

    async def main() -> None:
        async with world(tmp_path) as w:
            w.agent.publish()
            await w.agent.followed(w.door)
            await w.connect(request(Host="10.0.0.1", X_Tenant_Id="", X_Tenant_Key=TOKEN))
            assert (await w.agent.asked())["known"]
            assert not await w.agent.release()
            w.agent.answer()
            one = await w.worker.take()
            assert one.uid == "uid"
            one.sock.close()
            await comes(lambda: not any(w.door.handed.values()))
            assert await w.agent.release()

    asyncio.run(main())


def test_a_listener_of_iso_8583_is_asked_for_before_anybody_is_closed(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(tmp_path) as w:
            nobody = await w.connect(listener="iso")
            assert (await w.agent.asked())["aliases"] == ["l:iso"]
            w.agent.answer()
            assert await w.read(nobody) == b""
            sock = await w.connect(listener="iso")
            await w.loop.sock_sendall(sock, b"\x00\x01")
            await w.agent.asked()
            w.agent.publish(callers={"listeners": ["iso"], "key_required": False})
            w.agent.answer()
            one = await w.worker.take()
            assert (one.uid, one.listener, one.first) == ("uid", "iso", b"")
            assert one.sock.recv(10) == b"\x00\x01"
            one.sock.close()

    asyncio.run(main())
