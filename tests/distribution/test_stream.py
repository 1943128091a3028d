"""Streams on raw sockets: strangers, other fleets, what is unsealed, truncated, oversize, replayed.

Each is refused and counted, and an honest connection beside it goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import pytest

from tansywood.distribution.messages import (
    Acknowledge,
    Epoch,
    Hello,
    Kind,
    Message,
    Progress,
    Resource,
    Welcome,
    pack,
    unpack,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.refusals import REMEDIES
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.stream import FRAME_LENGTH, MAX_SEALED_BYTES
from tansywood.fleet.messages import LIFE_BYTES
from tansywood.fleet.seal import Seal
from windrelay.config import Address

KEY, OTHER_KEY = bytes(range(32)), bytes(32)
FLEET = "fleet"
PARAMETERS = Parameters(heartbeat_interval_ns=20 * MS, silence_timeout_ns=60 * SECOND)
LIMIT_S = 20.0  # a hang, not a measure


def frame(data: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(data)) + data


@dataclass
class Raw:
    """A connection whose bytes a test writes; `seal` is what an honest connector would use."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    seal: Seal

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def say(self, message: Message) -> bytes:
        """Seal and send; returns the frame."""
        data = frame(self.seal.seal(pack(message)))
        self.send(data)
        return data

    async def hear(self) -> Message:
        async with asyncio.timeout(LIMIT_S):
            (length,) = FRAME_LENGTH.unpack(await self.reader.readexactly(FRAME_LENGTH.size))
            return unpack(self.seal.open(await self.reader.readexactly(length))[1])

    async def ended(self) -> None:
        """Until the other end has closed."""
        async with asyncio.timeout(LIMIT_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(1 << 16):
                    pass


class Listener:
    """A source that listens, and an honest connection to it."""

    def __init__(self) -> None:
        replica = Replica(PARAMETERS.max_resumable_changes, Epoch(1, b"a"))
        replica.commit(Resource("t1", 1, Kind.CONTENT, b"one"))
        self.source = Source(replica, PARAMETERS, time.monotonic_ns(), is_publisher=True)
        self.log: list[str] = []
        self.server = SourceServer(self.source, lambda: [KEY], FLEET, log=self.log.append)
        self.at = Address("127.0.0.1", 0)
        self.honest: Raw

    async def connect(self, key: bytes = KEY, fleet: str = FLEET, life: bytes | None = None) -> Raw:
        reader, writer = await asyncio.open_connection(*self.at)
        ours = life or hashlib.sha256(str(time.monotonic_ns()).encode()).digest()[:LIFE_BYTES]
        writer.write(ours)
        async with asyncio.timeout(LIMIT_S):
            theirs = await reader.readexactly(LIFE_BYTES)
        rows = [b"tansywood distribution 1", fleet.encode(), ours, theirs]
        bound = hashlib.sha256(b"\n".join(rows)).digest()
        return Raw(reader, writer, Seal([key], bound, ours))

    async def counted(self, reason: str) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not self.server.refused[reason]:
                await asyncio.sleep(0.005)

    async def honest_goes_on(self) -> None:
        """It is heard and answered after what has happened beside it."""
        before = self.source.messages_in
        self.honest.say(Acknowledge(1))
        async with asyncio.timeout(LIMIT_S):
            while self.source.messages_in == before:
                await asyncio.sleep(0.005)
        assert isinstance(await self.honest.hear(), Progress)


@contextlib.asynccontextmanager
async def listening() -> AsyncIterator[Listener]:
    made = Listener()
    made.at = await made.server.start(made.at)
    try:
        made.honest = await made.connect()
        made.honest.say(Hello("honest"))
        assert isinstance(await made.honest.hear(), Welcome)
        yield made
    finally:
        made.server.stop()


async def another_key(listener: Listener) -> Raw:
    raw = await listener.connect(key=OTHER_KEY)
    raw.say(Hello("n"))
    return raw


async def another_fleet(listener: Listener) -> Raw:
    raw = await listener.connect(fleet="another")
    raw.say(Hello("n"))
    return raw


async def unsealed(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(frame(pack(Hello("n" * 63))))
    return raw


async def too_short(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(frame(b"x"))
    return raw


async def truncated(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(frame(raw.seal.seal(pack(Hello("n"))))[:-1])
    raw.writer.write_eof()
    return raw


async def oversize(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(FRAME_LENGTH.pack(MAX_SEALED_BYTES + 1))
    return raw


async def twice(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(raw.say(Hello("n")))
    return raw


async def replayed(listener: Listener) -> Raw:
    """Frames of a recorded connection, with its life, in a new one."""
    life = bytes(LIFE_BYTES)
    recorded = await listener.connect(life=life)
    data = recorded.say(Hello("n"))
    assert isinstance(await recorded.hear(), Welcome)
    raw = await listener.connect(life=life)
    raw.send(data)
    return raw


async def no_message(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.send(frame(raw.seal.seal(b"\xc1")))
    return raw


async def out_of_turn(listener: Listener) -> Raw:
    raw = await listener.connect()
    raw.say(Acknowledge(1))
    return raw


@pytest.mark.parametrize(
    ("attack", "reason"),
    [
        (another_key, "stranger"),
        (another_fleet, "forged"),
        (unsealed, "version"),
        (too_short, "short"),
        (truncated, "truncated"),
        (oversize, "oversize"),
        (twice, "replay"),
        (replayed, "forged"),
        (no_message, "message"),
        (out_of_turn, "protocol"),
    ],
)
def test_it_is_refused_and_counted_and_the_honest_go_on(
    attack: Callable[[Listener], Awaitable[Raw]], reason: str
) -> None:
    async def story() -> None:
        async with listening() as listener:
            raw = await attack(listener)
            await listener.counted(reason)
            await raw.ended()
            assert sum(listener.server.refused.values()) == listener.server.refused[reason] == 1
            (line,) = (line for line in listener.log if line.startswith(f"refused ({reason}"))
            host, port = raw.writer.get_extra_info("sockname")
            assert f"{host}:{port}" in line and REMEDIES[reason] in line
            await listener.honest_goes_on()

    asyncio.run(story())
