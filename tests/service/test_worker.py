"""A worker's own handling of what its loop reports."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
import uvloop

from tansywood.service.part import Place
from tansywood.service.worker import Worker

from ..harness import HANG_TIMEOUT_S

REPLY_BYTES = 1 << 20  # more than is sent before the transport asks for a pause, and than is read


class Raising(asyncio.Protocol):
    """Sends a reply at once; raises in one of its callbacks."""

    def __init__(self, callback: str) -> None:
        self.callback = callback
        self.transport: asyncio.Transport | None = None
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        self.transport.write(bytes(REPLY_BYTES))

    def raise_in(self, callback: str) -> None:
        if callback == self.callback:
            raise ValueError(callback)

    def data_received(self, data: bytes) -> None:
        self.raise_in("data_received")

    def eof_received(self) -> bool:
        self.raise_in("eof_received")
        return True

    def pause_writing(self) -> None:
        self.raise_in("pause_writing")

    def resume_writing(self) -> None:
        self.raise_in("resume_writing")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set_result(exc)


def small_send_buffers() -> socket.socket:
    """A listening socket whose connections send a few KB before the transport has to wait."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.mark.parametrize(
    "callback", ["data_received", "eof_received", "pause_writing", "resume_writing"]
)
def test_a_connection_whose_callback_raised_is_ended(callback: str, tmp_path: Path) -> None:
    """On the loop that workers run on, with its own transports."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        worker = Worker(loop, Place(str(tmp_path)), "w-1")
        loop.set_exception_handler(worker.loop_failed)
        made: list[Raising] = []
        connected = asyncio.Event()

        def protocol() -> Raising:
            made.append(Raising(callback))
            connected.set()
            return made[0]

        server = await loop.create_server(protocol, sock=small_send_buffers())
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        try:
            await loop.sock_connect(client, server.sockets[0].getsockname())
            await connected.wait()
            if callback == "data_received":
                await loop.sock_sendall(client, b"x")
            elif callback == "eof_received":
                client.shutdown(socket.SHUT_WR)
            elif callback == "resume_writing":
                read = 0
                while read < REPLY_BYTES:
                    read += len(await loop.sock_recv(client, 1 << 16))
            while not worker.crashes:
                await asyncio.sleep(0.001)
            assert made[0].transport is not None and made[0].transport.is_closing()
            await made[0].lost
            assert worker.crashes == 1
        finally:
            client.close()
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(main(), HANG_TIMEOUT_S))
