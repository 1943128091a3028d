"""Bad input on raw sockets: wrong keys or fleets, unsealed, truncated, oversize, replayed frames.

Each is refused and counted, and an honest connection to the same source continues.
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
TIMEOUT_S = 20.0  # reached only where the test hangs


def frame(data: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(data)) + data


@dataclass
class RawConnection:
    """A connection whose bytes the test writes. `seal` is the seal of an honest connector."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    seal: Seal

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def send_message(self, message: Message) -> bytes:
        """Seal and send a message. Returns the frame."""
        data = frame(self.seal.seal(pack(message)))
        self.send(data)
        return data

    async def receive(self) -> Message:
        async with asyncio.timeout(TIMEOUT_S):
            (length,) = FRAME_LENGTH.unpack(await self.reader.readexactly(FRAME_LENGTH.size))
            return unpack(self.seal.open(await self.reader.readexactly(length))[1])

    async def wait_closed(self) -> None:
        """Wait until the other end has closed."""
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                while await self.reader.read(1 << 16):
                    pass


class Listener:
    """A listening source with an honest connection to it."""

    def __init__(self) -> None:
        replica = Replica(PARAMETERS.max_resumable_changes, Epoch(1, b"a"))
        replica.commit(Resource("t1", 1, Kind.CONTENT, b"one"))
        self.source = Source(replica, PARAMETERS, time.monotonic_ns(), is_publisher=True)
        self.log: list[str] = []
        self.server = SourceServer(self.source, lambda: [KEY], FLEET, log=self.log.append)
        self.at = Address("127.0.0.1", 0)
        self.honest: RawConnection

    async def connect(
        self, key: bytes = KEY, fleet: str = FLEET, life: bytes | None = None
    ) -> RawConnection:
        reader, writer = await asyncio.open_connection(*self.at)
        own_life = life or hashlib.sha256(str(time.monotonic_ns()).encode()).digest()[:LIFE_BYTES]
        writer.write(own_life)
        async with asyncio.timeout(TIMEOUT_S):
            peer_life = await reader.readexactly(LIFE_BYTES)
        rows = [b"tansywood distribution 1", fleet.encode(), own_life, peer_life]
        binding = hashlib.sha256(b"\n".join(rows)).digest()
        return RawConnection(reader, writer, Seal([key], binding, own_life))

    async def wait_refused(self, reason: str) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not self.server.refused[reason]:
                await asyncio.sleep(0.005)

    async def check_honest_connection(self) -> None:
        """The source still reads from the honest connection and still sends heartbeats to it."""
        before = self.source.messages_in
        self.honest.send_message(Acknowledge(1))
        async with asyncio.timeout(TIMEOUT_S):
            while self.source.messages_in == before:
                await asyncio.sleep(0.005)
        assert isinstance(await self.honest.receive(), Progress)


@contextlib.asynccontextmanager
async def listening() -> AsyncIterator[Listener]:
    listener = Listener()
    listener.at = await listener.server.start(listener.at)
    try:
        listener.honest = await listener.connect()
        listener.honest.send_message(Hello("honest"))
        assert isinstance(await listener.honest.receive(), Welcome)
        yield listener
    finally:
        listener.server.stop()


async def another_key(listener: Listener) -> RawConnection:
    raw = await listener.connect(key=OTHER_KEY)
    raw.send_message(Hello("n"))
    return raw


async def another_fleet(listener: Listener) -> RawConnection:
    raw = await listener.connect(fleet="another")
    raw.send_message(Hello("n"))
    return raw


async def unsealed(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(frame(pack(Hello("n" * 63))))
    return raw


async def too_short(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(frame(b"x"))
    return raw


async def truncated(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(frame(raw.seal.seal(pack(Hello("n"))))[:-1])
    raw.writer.write_eof()
    return raw


async def oversize(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(FRAME_LENGTH.pack(MAX_SEALED_BYTES + 1))
    return raw


async def sent_twice(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(raw.send_message(Hello("n")))
    return raw


async def replayed(listener: Listener) -> RawConnection:
    """Send the frames and the life of a recorded connection on a new one."""
    life = bytes(LIFE_BYTES)
    recorded = await listener.connect(life=life)
    data = recorded.send_message(Hello("n"))
    assert isinstance(await recorded.receive(), Welcome)
    raw = await listener.connect(life=life)
    raw.send(data)
    return raw


async def undecodable(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send(frame(raw.seal.seal(b"\xc1")))
    return raw


async def out_of_turn(listener: Listener) -> RawConnection:
    raw = await listener.connect()
    raw.send_message(Acknowledge(1))
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
        (sent_twice, "replay"),
        (replayed, "forged"),
        (undecodable, "message"),
        (out_of_turn, "protocol"),
    ],
)
def test_bad_input_is_refused_and_counted_and_an_honest_connection_continues(
    attack: Callable[[Listener], Awaitable[RawConnection]], reason: str
) -> None:
    async def scenario() -> None:
        async with listening() as listener:
            raw = await attack(listener)
            await listener.wait_refused(reason)
            await raw.wait_closed()
            assert sum(listener.server.refused.values()) == listener.server.refused[reason] == 1
            (line,) = (line for line in listener.log if line.startswith(f"refused ({reason}"))
            host, port = raw.writer.get_extra_info("sockname")
            assert f"{host}:{port}" in line and REMEDIES[reason] in line
            await listener.check_honest_connection()

    asyncio.run(scenario())
