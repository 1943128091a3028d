"""A harness for races: a node, its clients and its backends on one event loop.

The test plays the clients and the backends. It forces a race by the order in which it writes,
closes and lets the event loop turn. No helper waits for a fixed time: each waits for bytes, for
the end of a connection, or for a condition that the node brings about.
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

RESET = b"\1\0\0\0\0\0\0\0"  # value of SO_LINGER with which a close resets the connection


class ScriptedPeer:
    """The client's or the backend's end of a connection, on the node's event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.loop = loop
        self.sock = sock
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def receive(self) -> bool:
        """Wait for bytes and buffer them; returns false at the end of the connection."""
        while True:
            try:
                # Not with the loop's sock_recv: a socket that the loop waits on stays open after
                # its close().
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0)
                continue
            except OSError:
                data = b""  # reset, or closed by the test in the meantime
            self.buffer += data
            return bool(data)

    async def message(self) -> tuple[str, dict[str, str], bytes]:
        """Read one message with a Content-Length; returns its first line, headers and body."""
        while b"\r\n\r\n" not in self.buffer:
            assert await self.receive(), f"the connection ended after {self.buffer!r}"
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, headers = parts(head)
        size = int(headers.get("content-length", "0"))
        while len(self.buffer) < size:
            assert await self.receive(), "the connection ended within a body"
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return first, headers, body

    async def status(self) -> int:
        """Read one response and return its status."""
        return int((await self.message())[0].split(" ")[1])

    async def read_to_end(self) -> bytes:
        """Read until the connection ends; returns everything that was not read before."""
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


class RaceHarness:
    """A node and the listeners of its backends, `s-0`, `s-1`, ... in this order."""

    def __init__(self, in_process: InProcessNode, listeners: list[socket.socket]) -> None:
        self.in_process = in_process
        self.node = in_process.node
        self.loop = in_process.loop
        self.listeners = listeners
        self.port = in_process.server.listen(in_process.config.listen)
        self.peers: list[ScriptedPeer] = []

    def track(self, sock: socket.socket) -> ScriptedPeer:
        """Wrap a socket; it is closed with the harness."""
        peer = ScriptedPeer(self.loop, sock)
        self.peers.append(peer)
        return peer

    def connect_client(self, data: bytes = b"") -> ScriptedPeer:
        """Connect a client to the node and send `data`."""
        peer = self.track(socket.create_connection(("127.0.0.1", self.port)))
        if data:
            peer.send(data)
        return peer

    async def accept_backend(self, index: int = 0) -> ScriptedPeer:
        """Accept the next connection of the node to the backend of this index."""
        while True:
            try:
                sock, _ = self.listeners[index].accept()
            except BlockingIOError:
                await asyncio.sleep(0)
            else:
                return self.track(sock)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        await self.in_process.wait_until(condition)

    async def settle(self) -> None:
        """Let the event loop turn until the node has handled everything that has arrived."""
        await self.in_process.run_loop_turns(30)


@contextlib.contextmanager
def race_harness(tmp_path: Path, servers: int = 1, **over: Any) -> Iterator[RaceHarness]:
    """Start a node with this number of backends; `run_scenario` runs a test on its event loop."""
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(servers)
        ]
        for listener in listeners:
            listener.setblocking(False)
        rows = [target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(listeners)]
        with in_process_node(tmp_path, roster(*rows), **over) as in_process:
            harness = RaceHarness(in_process, listeners)
            yield harness
            for peer in harness.peers:
                peer.close()


def run_scenario(harness: RaceHarness, scenario: Coroutine[Any, Any, Any]) -> Any:
    """Run a test's coroutine on the node's event loop; returns its result."""
    return harness.in_process.run(scenario)
