"""The fleet's two ports to the machine: its clock and its datagrams. Nothing is decided here."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from windrelay.config import Address

MS = 1_000_000
BUFFER = 4 << 20  # bytes of datagrams that wait: a fleet's claims come in bursts


class Clock:
    """Nanoseconds that only go on, and what they are on the clock that this machine's other
    processes read. A test's may run at another rate."""

    def now(self) -> int:
        return time.monotonic_ns()

    def real(self, left: int) -> int:
        """The machine's own monotonic time after `left` on this one."""
        return time.monotonic_ns() + left

    def wall_ms(self) -> int:
        """Unix time, which may be wrong by anything: it orders the lives of one name."""
        return time.time_ns() // MS


class Endpoint(asyncio.DatagramProtocol):
    """One UDP socket; `received` gets each datagram."""

    def __init__(self, received: Callable[[bytes], None]) -> None:
        self.received = received
        self.unreachable = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind it. OSError where the address can't be had."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def send(self, data: bytes, address: Address) -> None:
        if self.transport is not None:
            self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.received(data)

    def error_received(self, exc: Exception) -> None:
        self.unreachable += 1  # nobody listens there now: silence says the same
