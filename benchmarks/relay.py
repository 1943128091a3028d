"""The floor: a relay on the node's own libraries that parses both sides and decides nothing.

It has no deadline, no retry, no cap, no budget and no list: what a request costs here is what
reading and writing it costs, and what a node needs beyond that is its own work.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import cast

import httptools
import uvloop


class Side(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)


class Upstream(Side):
    """One kept connection to a server, with one request on it at a time."""

    def __init__(self, relay: Relay) -> None:
        super().__init__()
        self.relay = relay
        self.parser = httptools.HttpResponseParser(self)
        self.client: Client | None = None
        self.body = b""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        body, self.body = self.body, b""
        self.relay.idle.append(self)
        assert client is not None and client.transport is not None
        client.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )


class Client(Side):
    def __init__(self, relay: Relay) -> None:
        super().__init__()
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.lines: list[bytes] = []
        self.body: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.lines.append(b"%s: %s\r\n" % (name, value))

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (
            self.parser.get_method(),
            self.url,
            b"".join(self.lines),
        )
        data = b"".join((head, *self.body))
        self.lines = []
        self.body = []
        self.relay.send(self, data)


class Relay:
    def __init__(self, ports: list[int]) -> None:
        self.ports = deque(ports)
        self.idle: deque[Upstream] = deque()
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, client: Client, data: bytes) -> None:
        if self.idle:
            self.write(self.idle.pop(), client, data)
            return
        task = asyncio.get_running_loop().create_task(self.dial(client, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def dial(self, client: Client, data: bytes) -> None:
        self.ports.rotate(1)
        upstream = Upstream(self)
        await asyncio.get_running_loop().create_connection(
            lambda: upstream, "127.0.0.1", self.ports[0]
        )
        self.write(upstream, client, data)

    def write(self, upstream: Upstream, client: Client, data: bytes) -> None:
        upstream.client = client
        assert upstream.transport is not None
        upstream.transport.write(data)


async def main(ports: list[int]) -> None:
    relay = Relay(ports)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Client(relay), "127.0.0.1", 0)
    print(f"listening on :{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main([int(port) for port in sys.argv[1:]]))
