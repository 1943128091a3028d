"""What takes time on its way: never less than its delay, in order, nothing while it is paused."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from standins.relay import Address
from standins.scale.delay import DelayLine
from standins.scale.links import Link, LinkEnds, NodeLinks
from standins.scale.relay import DelayedRelay
from tansywood.distribution.stream import SealedStream

DELAY_S = 0.05
EARLY_S = 0.002  # by which a loop's clock of whole milliseconds may be off
LIMIT_S = 10.0  # a hang, not a measure


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_items_take_their_delay_and_keep_their_order() -> None:
    async def story() -> None:
        came: list[tuple[int, float]] = []
        line = DelayLine[int](DELAY_S, lambda item: came.append((item, now())))
        began = now()
        for item in range(100):
            line.put(item)
        assert not came
        await until(lambda: len(came) == 100)
        assert [item for item, _ in came] == list(range(100))
        assert came[0][1] - began >= DELAY_S - EARLY_S

    uvloop.run(story())


def test_without_a_delay_an_item_is_there_at_once() -> None:
    async def story() -> None:
        came: list[int] = []
        line = DelayLine[int](0.0, came.append)
        line.put(1)
        assert came == [1]

    uvloop.run(story())


@pytest.mark.parametrize("delay_s", [0.0, DELAY_S])
def test_while_it_is_paused_nothing_passes_and_nothing_is_lost(delay_s: float) -> None:
    async def story() -> None:
        came: list[int] = []
        line = DelayLine[int](delay_s, came.append)
        line.pause()
        line.put(1)
        line.put(2)
        await asyncio.sleep(2 * DELAY_S)
        assert not came
        line.resume()
        line.put(3)
        await until(lambda: len(came) == 3)
        assert came == [1, 2, 3]

    uvloop.run(story())


def test_one_that_raises_holds_up_nothing_that_follows() -> None:
    async def story() -> None:
        failed: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, told: failed.append(told))
        came: list[int] = []

        def deliver(item: int) -> None:
            if item == 1:
                raise ValueError("one")
            came.append(item)

        line = DelayLine[int](DELAY_S, deliver)
        line.pause()
        for item in range(4):
            line.put(item)
        await asyncio.sleep(2 * DELAY_S)
        line.resume()
        await until(lambda: len(came) == 3)
        assert came == [0, 2, 3] and len(failed) == 1

    uvloop.run(story())


def test_what_is_cleared_does_not_arrive() -> None:
    async def story() -> None:
        came: list[int] = []
        line = DelayLine[int](DELAY_S, came.append)
        line.put(1)
        line.clear()
        line.put(2)
        await until(lambda: bool(came))
        assert came == [2]

    uvloop.run(story())


class Ends:
    """Stands for both a link's transport and its stream."""

    def __init__(self) -> None:
        self.heard: list[str] = []
        self.sent: list[bytes] = []
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.sent.append(data)

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.heard.append("made")

    def data_received(self, data: bytes) -> None:
        self.heard.append(data.decode())

    def connection_lost(self, error: Exception | None) -> None:
        self.heard.append("lost")


def link_of(ends: Ends) -> Link:
    return Link(cast(Any, ends), cast(SealedStream, ends), DELAY_S)


def test_a_links_end_comes_after_what_was_sent_before_it() -> None:
    async def story() -> None:
        ends = Ends()
        link = link_of(ends)
        link.received(b"last words")
        link.lost(None)
        assert not ends.heard
        await until(lambda: len(ends.heard) == 2)
        assert ends.heard == ["last words", "lost"]

    uvloop.run(story())


def test_a_link_that_is_closed_says_so_once_and_hears_no_more() -> None:
    async def story() -> None:
        ends = Ends()
        link = link_of(ends)
        link.received(b"too late")
        link.abort()
        link.lost(None)
        await asyncio.sleep(2 * DELAY_S)
        assert ends.heard == ["lost"] and ends.aborted

    uvloop.run(story())


def test_what_is_written_before_its_end_is_known_is_not_sent() -> None:
    async def story() -> None:
        ends = Ends()
        link = link_of(ends)
        link.write(b"on its way")
        ends.abort()
        link.lost(None)
        link.write(b"unknowing")
        await until(lambda: ends.heard == ["lost"])
        await asyncio.sleep(2 * DELAY_S)
        assert not ends.sent

    uvloop.run(story())


def test_a_link_that_is_forgotten_sends_nothing_and_says_nothing() -> None:
    async def story() -> None:
        ends = Ends()
        link = link_of(ends)
        link.write(b"on its way")
        link.received(b"too late")
        link.forget()
        link.write(b"unknowing")
        link.lost(None)
        await asyncio.sleep(2 * DELAY_S)
        assert not ends.sent and not ends.heard

    uvloop.run(story())


def test_a_connection_that_is_made_after_its_dial_was_given_up_is_closed() -> None:
    ends = Ends()
    made = LinkEnds(NodeLinks(), "127.0.0.1:1", lambda: cast(SealedStream, ends))
    made.forget()
    made.connection_made(cast(asyncio.Transport, ends))
    made.data_received(b"hello")
    made.connection_lost(None)
    assert ends.aborted and not ends.heard


def test_a_dial_given_up_as_it_connects_leaves_nothing_on_its_way() -> None:
    async def story() -> None:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        links = NodeLinks({f"{host}:{port}": DELAY_S})
        begun = asyncio.Event()
        failed: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, told: failed.append(told))

        class Greeting(Ends):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                cast(asyncio.WriteTransport, transport).write(b"hello")
                begun.set()

        dial = links.dial(f"{host}:{port}", lambda: cast(SealedStream, Greeting()))
        dialing = asyncio.create_task(dial)
        await begun.wait()
        dialing.cancel()
        await asyncio.sleep(3 * DELAY_S)
        assert not failed
        server.close()

    uvloop.run(story())


def test_what_is_on_its_way_as_a_link_is_cut_arrives_after_the_cut() -> None:
    async def story() -> None:
        ends = Ends()
        link = link_of(ends)
        link.write(b"out")
        link.received(b"in")
        link.cut()
        await asyncio.sleep(2 * DELAY_S)
        assert not ends.sent and not ends.heard
        link.heal()
        await until(lambda: bool(ends.sent and ends.heard))

    uvloop.run(story())


def test_a_relay_takes_its_delay_each_way_and_ends_after_the_last_bytes() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(await reader.readexactly(4))
        writer.close()

    async def story() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        relay = DelayedRelay(Address(host, port), DELAY_S)
        reader, writer = await asyncio.open_connection(*await relay.start())
        began = now()
        writer.write(b"ping")
        async with asyncio.timeout(LIMIT_S):
            assert await reader.read() == b"ping"
        assert now() - began >= 2 * (DELAY_S - EARLY_S)
        writer.close()
        relay.stop()
        server.close()

    uvloop.run(story())


def test_a_relay_drops_what_is_on_its_way_to_one_that_has_gone() -> None:
    async def story() -> None:
        said = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(4)
            writer.write(b"more")
            await writer.drain()
            said.set()

        failed: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, told: failed.append(told))
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        relay = DelayedRelay(Address(host, port), 4 * DELAY_S)
        _reader, writer = await asyncio.open_connection(*await relay.start())
        writer.write(b"ping")
        async with asyncio.timeout(LIMIT_S):
            await said.wait()
        reset = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        writer.transport.abort()
        await asyncio.sleep(10 * DELAY_S)
        assert not failed
        relay.stop()
        server.close()

    uvloop.run(story())


def test_nothing_passes_a_relay_that_is_cut() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)

    async def story() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        relay = DelayedRelay(Address(host, port), DELAY_S)
        reader, writer = await asyncio.open_connection(*await relay.start())
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        writer.write(b"two")
        relay.cut()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(4 * DELAY_S):
                await reader.read(1)
        relay.heal()
        async with asyncio.timeout(LIMIT_S):
            assert await reader.readexactly(3) == b"two"
        writer.close()
        relay.stop()
        server.close()

    uvloop.run(story())
