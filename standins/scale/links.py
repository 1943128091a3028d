"""Connections that take time and can be cut or left unread, for the hollow nodes of one process.

Whatever a link carries arrives after its delay, in order, the other end's closing too. A link that
is cut carries nothing in either direction and resets nothing: what is written waits,
what arrives stays in the kernel, and whoever gives it up closes it only for himself until the cut
ends. A dial across a cut hangs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, cast

from standins.scale.delay import DelayLine
from tansywood.distribution.stream import SealedStream
from windrelay.config import parse_address


class Link(asyncio.Transport):
    """A transport between a stream and the kernel's connection."""

    def __init__(
        self, transport: asyncio.Transport, stream: SealedStream, delay_s: float = 0.0
    ) -> None:
        """`delay_s` is one way."""
        super().__init__()
        self._transport = transport
        self._stream = stream
        self._cut = False
        self._given_up = False
        self._outgoing = DelayLine[bytes](delay_s, self._send)
        self._incoming = DelayLine[Callable[[], None]](delay_s, _call)

    def cut(self) -> None:
        if not self._cut and not self._transport.is_closing():
            self._cut = True
            self._transport.pause_reading()
            self._outgoing.pause()
            self._incoming.pause()

    def heal(self) -> None:
        if not self._cut:
            return
        self._cut = False
        if self._given_up or self._transport.is_closing():
            self._transport.abort()
        else:
            self._transport.resume_reading()
            self._outgoing.resume()
        self._incoming.resume()

    def stop_reading(self) -> None:
        if not self._cut and not self._transport.is_closing():
            self._transport.pause_reading()

    def go_on_reading(self) -> None:
        if not self._cut and not self._transport.is_closing():
            self._transport.resume_reading()

    # ---- what a stream does with its transport ---------------------------------------------

    def write(self, data: Any) -> None:
        if not self._given_up:
            self._outgoing.put(bytes(data))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._transport.set_write_buffer_limits(high=high, low=low)

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        """Close it. What is still on its way is lost; the stream is told at once."""
        if self._given_up:
            return
        self.forget()
        if not self._cut:
            self._transport.abort()
        asyncio.get_running_loop().call_soon(self._stream.connection_lost, None)

    def _send(self, data: bytes) -> None:
        if not self._transport.is_closing():  # else the other end is on its way to say so
            self._transport.write(data)

    def forget(self) -> None:
        """Nothing passes any more, and nobody is told."""
        self._given_up = True
        self._outgoing.clear()
        self._incoming.clear()

    # ---- what the kernel's connection does -------------------------------------------------

    def received(self, data: bytes) -> None:
        self._incoming.put(partial(self._stream.data_received, data))

    def lost(self, error: Exception | None) -> None:
        """The kernel's connection has ended."""
        if not self._given_up:
            self._incoming.put(partial(self._lost, error))

    def _lost(self, error: Exception | None) -> None:
        self._given_up = True
        self._outgoing.clear()
        self._stream.connection_lost(error)


def _call(call: Callable[[], None]) -> None:
    call()


class LinkEnds(asyncio.Protocol):
    """Passes what happens on a connection to its stream."""

    def __init__(self, network: NodeLinks, address: str, made: Callable[[], SealedStream]) -> None:
        self._network = network
        self._address = address
        self._stream = made()
        self._link: Link | None = None
        self._forgotten = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._forgotten:  # its dial was given up before the loop came to this
            cast(asyncio.Transport, transport).abort()
            return
        delay_s = self._network.delay_s(self._address)
        self._link = Link(cast(asyncio.Transport, transport), self._stream, delay_s)
        self._network.add(self._address, self._link)
        self._stream.connection_made(self._link)

    def forget(self) -> None:
        """The connection is none any more, and nobody says so."""
        self._forgotten = True
        if self._link is not None:
            self._network.remove(self._address, self._link)
            self._link.forget()

    def data_received(self, data: bytes) -> None:
        if self._link is not None:
            self._link.received(data)

    def pause_writing(self) -> None:
        self._stream.pause_writing()

    def resume_writing(self) -> None:
        self._stream.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        if self._link is not None:
            self._network.remove(self._address, self._link)
            self._link.lost(error)


class NodeLinks:
    """All connections of one node, by the address that each one goes to."""

    def __init__(self, delays_s: Mapping[str, float] | None = None) -> None:
        """`delays_s` tells the delay one way to an address, in seconds; to others it is none."""
        self._delays_s = delays_s or {}
        self._links: dict[str, set[Link]] = {}
        self._cut_off: frozenset[str] = frozenset()

    def delay_s(self, address: str) -> float:
        return self._delays_s.get(address, 0.0)

    async def dial(self, address: str, made: Callable[[], SealedStream]) -> object:
        """A dialer for SubscriberClient: as `client.dial`, but what is cut off never answers."""
        if address in self._cut_off:
            await asyncio.Event().wait()
        if delay_s := self.delay_s(address):
            await asyncio.sleep(2 * delay_s)  # the system's own handshake
        if address in self._cut_off:
            await asyncio.Event().wait()
        loop = asyncio.get_running_loop()
        dialed: list[LinkEnds] = []

        def ends() -> LinkEnds:
            dialed.append(LinkEnds(self, address, made))
            return dialed[-1]

        try:
            return await loop.create_connection(ends, *parse_address(address))
        except BaseException:
            # A dial that is given up as it connects is closed by uvloop without a word.
            for end in dialed:
                end.forget()
            raise

    def cut(self, addresses: frozenset[str]) -> None:
        """Nothing passes to these or from them."""
        self._cut_off = addresses
        for address in addresses:
            for link in self._links.get(address, ()):
                link.cut()

    def heal(self) -> None:
        self._cut_off = frozenset()
        for link in self._all():
            link.heal()

    def stop_reading(self) -> list[Link]:
        """Returns the links that are read no more, for `go_on_reading`."""
        links = self._all()
        for link in links:
            link.stop_reading()
        return links

    def add(self, address: str, link: Link) -> None:
        self._links.setdefault(address, set()).add(link)
        if address in self._cut_off:
            link.cut()

    def remove(self, address: str, link: Link) -> None:
        self._links[address].discard(link)

    def _all(self) -> list[Link]:
        return [link for links in self._links.values() for link in links]
