"""The network between the instances, and between each instance and the servers.

Datagrams of every instance come to one socket of the rig's, which owns a link for each direction
of each pair; a connection to a server goes through a relay of one instance and one server.
What a link does to a datagram is drawn from a generator that is passed in.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from standins.servers import reset

HEAD = 6  # bytes before a datagram: IPv4 address and port of whom it is for


@dataclass(slots=True)
class Link:
    """One direction of one pair. Seconds and parts."""

    delay_s: float = 0.0005
    jitter_s: float = 0.0005
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0  # part that comes `late_s` later, behind what was sent after it
    late_s: float = 0.3
    cut: bool = False


class Network(asyncio.DatagramProtocol):
    """All links, by the names of their ends."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.names: dict[int, str] = {}  # of ports
        self.counts: Counter[str] = Counter()
        self.between: Counter[tuple[str, str]] = Counter()
        self.transport: asyncio.DatagramTransport | None = None
        self.port = 0
        self.kept: list[tuple[int, bytes]] = []  # some that passed, for a replay

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        self.port = sock.getsockname()[1]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def know(self, name: str, port: int) -> None:
        self.names[port] = name

    def link(self, a: str, b: str) -> Link:
        return self.links.setdefault((a, b), Link())

    def cut(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """From the first to the others, and back."""
        for a in some:
            for b in others:
                if a != b:
                    self.link(a, b).cut = True
                    self.link(b, a).cut |= both

    def slow(self, some: Iterable[str], others: Iterable[str], delay_s: float) -> None:
        for a in some:
            for b in others:
                self.link(a, b).delay_s = self.link(b, a).delay_s = delay_s

    def heal(self) -> None:
        for link in self.links.values():
            link.cut = False

    def all(self, **over: Any) -> None:
        """Set something of every link there may be."""
        for a in self.names.values():
            for b in self.names.values():
                for key, value in over.items():
                    setattr(self.link(a, b), key, value)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        port = int.from_bytes(data[4:HEAD], "big")
        a, b = self.names.get(addr[1], ""), self.names.get(port, "")
        self.counts["sent"] += 1
        self.counts["bytes"] += len(data) - HEAD
        self.between[a, b] += 1
        link = self.link(a, b)
        if link.cut:
            self.counts["cut"] += 1
            return
        if self.rng.random() < link.loss:
            self.counts["lost"] += 1
            return
        copies = 1 + (self.rng.random() < link.twice)
        if len(self.kept) < 2000:
            self.kept.append((port, data[HEAD:]))
        for _ in range(copies):
            delay = link.delay_s + self.rng.random() * link.jitter_s
            if self.rng.random() < link.late:
                delay += link.late_s
            asyncio.get_running_loop().call_later(delay, self.put, port, data[HEAD:])

    def put(self, port: int, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, ("127.0.0.1", port))

    def replay(self) -> int:
        """Everything that was kept once more, to whom it was for. How many there were."""
        for port, data in self.kept:
            self.put(port, data)
        return len(self.kept)

    def error_received(self, exc: Exception) -> None:
        self.counts["unreachable"] += 1


class _Half(asyncio.Protocol):
    """One end of a relayed connection; the other is its peer."""

    def __init__(self, relay: Relay, peer: _Half | None = None) -> None:
        self.relay = relay
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.relay.halves.add(self)
        if self.relay.cut:
            transport.pause_reading()
        if self.peer is None:
            self.relay.dial(self)
        for data in self.waiting:
            transport.write(data)
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        if self.relay.delay_s:
            asyncio.get_running_loop().call_later(self.relay.delay_s, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        peer = self.peer
        if peer is not None and peer.transport is not None:
            peer.transport.write(data)
        elif peer is not None:
            peer.waiting.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.relay.halves.discard(self)
        self.transport = None
        peer = self.peer
        if peer is not None and peer.transport is not None:
            if exc is not None:
                reset(peer.transport)
            else:
                peer.transport.close()


class Relay:
    """One instance's way to one server."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.cut = False  # nothing passes, nobody is told
        self.delay_s = 0.0
        self.halves: set[_Half] = set()
        self.dialled = 0
        self._cut_at = 0.0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, at the same port as before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Half(self), "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def dial(self, half: _Half) -> None:
        other = _Half(self, half)
        half.peer = other
        self.dialled += 1

        async def go() -> None:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: other, "127.0.0.1", self.target
                )
            except OSError:
                if half.transport is not None:
                    reset(half.transport)

        task = asyncio.get_running_loop().create_task(go())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def set_cut(self, cut: bool, longest_s: float) -> None:
        """Cut it, or heal it. What was under way for more than `longest_s` by then is lost with
        its connection: who sent it has given up and sends none of it again."""
        now = asyncio.get_running_loop().time()
        if self.cut and not cut and now - self._cut_at > longest_s:
            self.reset()
        self.cut = cut
        self._cut_at = now
        for half in self.halves:
            if half.transport is not None:
                (half.transport.pause_reading if cut else half.transport.resume_reading)()

    def reset(self) -> None:
        for half in list(self.halves):
            if half.transport is not None:
                reset(half.transport)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()


def reach(relays: Mapping[tuple[str, str], Relay], instance: str) -> list[Relay]:
    """An instance's ways."""
    return [relay for (name, _), relay in relays.items() if name == instance]


def ways_to(relays: Mapping[tuple[str, str], Relay], server: str) -> list[Relay]:
    """All instances' ways to a server."""
    return [relay for (_, name), relay in relays.items() if name == server]
