"""Both ends of a node's connections in one loop with it: a test chooses what comes first.

Nothing here waits for a length of time but for bytes, an end, or what the node itself brings
about. A crossing is forced by the order in which a test writes, closes and lets the loop turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

from standins.platform import parts

from .harness import roster, target
from .inside import InProcessNode, in_process_node

RESET = b"\1\0\0\0\0\0\0\0"  # of SO_LINGER: a close resets the connection


class ScriptedPeer:
    """One end of a connection, on the node's own loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.loop = loop
        self.sock = sock
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def receive(self) -> bool:
        while True:
            try:
                # Not through the loop: a socket that it waits on is not closed by its close().
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0)
                continue
            except OSError:
                data = b""  # reset, or closed by the test meanwhile
            self.buffer += data
            return bool(data)

    async def message(self) -> tuple[str, dict[str, str], bytes]:
        """One whole message with Content-Length: first line, headers, body."""
        while b"\r\n\r\n" not in self.buffer:
            assert await self.receive(), f"ended after {self.buffer!r}"
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, headers = parts(head)
        size = int(headers.get("content-length", "0"))
        while len(self.buffer) < size:
            assert await self.receive(), "ended within a body"
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return first, headers, body

    async def status(self) -> int:
        return int((await self.message())[0].split(" ")[1])

    async def read_to_end(self) -> bytes:
        """Everything up to the end of the connection."""
        while await self.receive():
            pass
        return self.buffer

    def half_close(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class Crossing:
    """A node before servers that the test plays, `s-0`, `s-1`, ... in the order of `servers`."""

    def __init__(self, one: InProcessNode, servers: list[socket.socket]) -> None:
        self.one = one
        self.node = one.node
        self.loop = one.loop
        self.servers = servers
        self.port = one.server.listen(one.config.listen)
        self.ends: list[ScriptedPeer] = []

    def keep(self, sock: socket.socket) -> ScriptedPeer:
        end = ScriptedPeer(self.loop, sock)
        self.ends.append(end)
        return end

    def client(self, data: bytes = b"") -> ScriptedPeer:
        end = self.keep(socket.create_connection(("127.0.0.1", self.port)))
        if data:
            end.send(data)
        return end

    async def server(self, number: int = 0) -> ScriptedPeer:
        """The next connection that the node makes to this server."""
        while True:
            try:
                sock, _ = self.servers[number].accept()
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return self.keep(sock)

    async def until(self, condition: Callable[[], object]) -> None:
        await self.one.wait_until(condition)

    async def settled(self) -> None:
        """The node has read and told all that has come so far."""
        await self.one.run_loop_turns(30)


@contextlib.contextmanager
def crossing(tmp_path: Path, servers: int = 1, **over: Any) -> Iterator[Crossing]:
    """A started node before so many servers; `drive` runs a test's story in its loop."""
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(servers)
        ]
        for listener in listeners:
            listener.setblocking(False)
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(listeners)]
        with in_process_node(tmp_path, roster(*rows), **over) as one:
            world = Crossing(one, listeners)
            yield world
            for end in world.ends:
                end.close()


def drive(world: Crossing, story: Coroutine[Any, Any, Any]) -> Any:
    return world.one.run(story)
