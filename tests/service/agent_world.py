"""A node as processes (agent, door, workers) and its control in the test's own loop."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any

from standins.process import LIMIT_S, ROOT
from standins.servers import Behaviour
from standins.service import document
from tansywood.distribution.messages import Epoch, Kind, Lookup, Message, Resource
from tansywood.distribution.parameters import Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.resources import encode
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Session, Source
from tansywood.service.part import LIFELINE, READY, Place
from tansywood.service.wire import frame, read_frame
from tansywood.tenancy.registry import Actor, Change, Registry
from windrelay.config import Address

from .world import PATIENT, WIDE, Side

KEY = bytes(range(32))
FLEET = "fleet"
OPERATOR = Actor("op", "operator", "", 1000)


class Control:
    """The administration's registry and a publisher that nodes follow directly."""

    def __init__(self, listeners: Sequence[str], iso: Sequence[str]) -> None:
        self.registry = Registry(frozenset(listeners), frozenset(iso))
        self.replica = Replica(Parameters().max_resumable_changes, Epoch(1, b"a"))
        self.source = Source(self.replica, Parameters(), time.monotonic_ns(), is_publisher=True)
        self.server = self._made()
        self.at = Address("127.0.0.1", 0)
        self.lookups: list[str] = []  # aliases that were asked for

    def _made(self) -> SourceServer:
        return SourceServer(self.source, lambda: [KEY], FLEET, self._overheard)

    def _overheard(self, _session: Session, message: Message) -> None:
        if isinstance(message, Lookup):
            self.lookups += message.aliases

    async def start(self) -> None:
        """At the address that it had before."""
        self.server = self._made()
        self.at = await self.server.start(self.at)

    def stop(self) -> None:
        self.server.stop()

    def do(self, change: Change) -> Any:
        """Apply a command and publish the tenant as it is then."""
        self.registry.apply(change)
        self.publish(encode(change.uid, change.seq, self.registry.view(change.uid)))
        return change.result

    def publish(self, resource: Resource) -> None:
        self.replica.commit(resource)
        self.source.changed(resource.uid, resource.revision, time.monotonic_ns())
        self.server.flush()

    def spoil(self, uid: str) -> int:
        """Publish a state that nobody can put into force; returns its revision."""
        self.registry.seq += 1
        entry = self.replica.entries[uid]
        aliases = list(entry.aliases)
        self.publish(Resource(uid, self.registry.seq, Kind.CONTENT, b'{"uid":', aliases))
        return self.registry.seq

    def publish_over(self, uid: str, document: dict[str, Any]) -> int:
        """Publish a tenant with this document, which no check has seen; returns the revision."""
        self.registry.seq += 1
        view = self.registry.view(uid)
        assert view is not None
        body = view | {"document": document, "version": 1_000 + self.registry.seq}
        self.publish(encode(uid, self.registry.seq, body))
        return self.registry.seq

    def uid(self, name: str) -> str:
        return self.registry.names[name]

    def change(self, name: str, **over: Any) -> int:
        """Change a tenant's document; returns the revision."""
        tenant = self.registry.tenants[self.uid(name)]
        self.do(self.registry.change(OPERATOR, tenant, tenant.document | over, "*"))
        return self.registry.seq


class NodePart:
    """One process of the node, started again on demand."""

    def __init__(self, name: str, arguments: list[str], descriptors: Sequence[int] = ()) -> None:
        self.name = name
        self.arguments = arguments
        self.descriptors = descriptors
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, lifeline: int, log: Path) -> None:
        """Until it says that it is ready."""
        told, tells = os.pipe()
        with log.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", *self.arguments],
                cwd=ROOT,
                env=os.environ | {LIFELINE: str(lifeline), READY: str(tells)},
                pass_fds=[lifeline, tells, *self.descriptors],
                stdin=subprocess.DEVNULL,
                stderr=out,
                stdout=out,
            )
        os.close(tells)
        try:
            if os.read(told, 1) != b"R":
                raise RuntimeError(f"{self.name} did not start: {log.read_text()[-3000:]}")
        finally:
            os.close(told)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait(LIMIT_S)
            self.process = None

    def stop(self) -> int:
        assert self.process is not None
        self.process.terminate()
        code = self.process.wait(LIMIT_S)
        self.process = None
        return code


class Node:
    """The parts of one node over its control."""

    def __init__(
        self,
        folder: Path,
        workers: int,
        listeners: Sequence[str],
        iso: Sequence[str],
        options: Sequence[str],
    ) -> None:
        listeners = (*listeners, *iso)
        self.folder = folder
        self.log = folder / "node.log"
        self.feed = Place(str(folder)).feed
        self.control = Control(listeners, iso)
        self.rng = Random(1)
        self.sides: list[Side] = []
        self.made = 0  # tenants
        self.options = options
        self.sockets: dict[str, socket.socket] = {}
        for name in listeners:
            self.sockets[name] = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.ports = {name: sock.getsockname()[1] for name, sock in self.sockets.items()}
        self.port = self.ports[listeners[0]]
        self.lifeline, self._held = os.pipe()
        names = [f"worker-{i}" for i in range(workers)]
        run = str(folder)
        isos = [f"--iso-listener={name}" for name in iso]
        self.parts = {
            name: NodePart(name, ["tansywood.service.worker", run, name, f"{run}/records", *isos])
            for name in names
        }
        self.parts["door"] = NodePart(
            "door",
            ["tansywood.service.door", run]
            + [f"--listener={name}={sock.fileno()}" for name, sock in self.sockets.items()]
            + [f"--worker={name}" for name in names]
            + isos,
            [sock.fileno() for sock in self.sockets.values()],
        )

    async def start(self) -> None:
        await self.control.start()
        keys = self.folder / "keys"
        keys.write_text(KEY.hex() + "\n")
        keys.chmod(0o600)
        at = f"{self.control.at.host}:{self.control.at.port}"
        words = [str(self.folder), "node-1", FLEET, str(keys), f"--control={at}"]
        words += [f"--listener={name}" for name in self.sockets]
        self.parts["agent"] = NodePart("agent", ["tansywood.service.agent", *words, *self.options])
        await self.begin("agent")
        await asyncio.gather(*(self.begin(name) for name in self.parts if name != "agent"))

    async def begin(self, name: str) -> None:
        await asyncio.to_thread(self.parts[name].start, self.lifeline, self.log)

    async def end(self) -> None:
        """The waiting is a thread's; what belongs to the loop is closed in the loop."""
        await asyncio.to_thread(self._kill_parts)
        os.close(self.lifeline)
        os.close(self._held)
        for sock in self.sockets.values():
            sock.close()
        self.control.stop()
        for side in self.sides:
            for server in side.servers:
                server.kill()

    def _kill_parts(self) -> None:
        for one in self.parts.values():
            one.kill()

    async def tenant(self, name: str, servers: int = 1, **over: Any) -> Side:
        """A tenant at control, with a key; the node knows nothing of it yet."""
        side = Side(name, Random(self.rng.random()))
        self.sides.append(side)
        await side.add_servers(servers, Behaviour(work_s=0.002))
        made = document(name, side.listed, **{"classes": PATIENT, "limits": WIDE, **over})
        for row in made["servers"]:
            row["started_ms"] = 1
        self.made += 1
        number = self.made
        registry = self.control.registry
        self.control.do(registry.create(OPERATOR, made, f"uid-{number:06d}"))
        tenant = registry.tenants[self.control.uid(name)]
        secret = f"{number:043d}"
        side.token = self.control.do(
            registry.issue(OPERATOR, tenant, "caller", "", f"key{number:09d}", secret)
        )
        return side

    async def ask(self, what: str, **more: Any) -> Any:
        """One question to the agent."""
        reader, writer = await asyncio.open_unix_connection(f"{self.folder}/agent.sock")
        writer.write(frame({"ask": what, **more}))
        told = await read_frame(reader)
        writer.close()
        return told

    async def raw(self, data: bytes, listener: str = "public") -> bytes:
        """Everything that is answered to one connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[listener])
        writer.write(data)
        got = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        return got

    async def until(
        self, condition: Callable[[dict[str, Any]], bool], limit_s: float = LIMIT_S
    ) -> dict[str, Any]:
        """The agent's status once it is so; the limit is a hang's, not a measure."""
        end = time.monotonic() + limit_s
        told: dict[str, Any] = {}
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                told = await self.ask("status")
                if condition(told):
                    return told
            await asyncio.sleep(0.02)
        raise AssertionError(f"it did not come to that: {told}\n{self.log.read_text()[-3000:]}")


async def comes(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def node(
    folder: Path,
    workers: int = 2,
    listeners: Sequence[str] = ("public",),
    iso: Sequence[str] = (),
    options: Sequence[str] = (),
) -> AsyncIterator[Node]:
    made = Node(folder, workers, listeners, iso, options)
    try:
        await made.start()
        yield made
    finally:
        await made.end()
        await asyncio.sleep(0)
