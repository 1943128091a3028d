"""Links that are cut or left unread: nothing passes, nothing is reset, nothing is lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

import uvloop

from standins.scale.links import NodeLinks
from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import Epoch, Kind, Resource
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Action, Apply, Subscriber
from windrelay.config import Address

PATIENT = Parameters(
    silence_timeout_ns=60 * SECOND,
    dial_timeout_ns=300 * MS,
    reconnect_backoff_base_ns=20 * MS,
    max_reconnect_backoff_ns=50 * MS,
)


def keys() -> list[bytes]:
    return [bytes(32)]


class Pair:
    """A publisher and a subscriber of everything whose links a test cuts."""

    def __init__(self) -> None:
        now = time.monotonic_ns()
        self.published = Replica(100, Epoch(1, b"a"))
        self.source = Source(self.published, PATIENT, now, is_publisher=True)
        self.server = SourceServer(self.source, keys, "fleet")
        self.links = NodeLinks()
        self.replica = Replica(100)
        self.client: SubscriberClient
        self.address = ""

    async def start(self) -> None:
        self.change(1)
        at = await self.server.start(Address("127.0.0.1", 0))
        self.address = f"{at.host}:{at.port}"
        subscriber = Subscriber(
            "i1", [self.address], self.replica, PATIENT, Random(1), time.monotonic_ns(), True
        )
        self.client = SubscriberClient(
            subscriber, keys, "fleet", self._handle, dialer=self.links.dial
        )
        self.client.start()

    def stop(self) -> None:
        self.client.stop()
        self.server.stop()

    def change(self, revision: int) -> None:
        self.published.commit(Resource("t1", revision, Kind.CONTENT, b"%d" % revision, []))
        self.source.changed("t1", revision, time.monotonic_ns())
        self.server.flush()

    async def arrived(self, revision: int) -> None:
        await until(lambda: self.replica.revision >= revision)

    def _handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self.client.applied(action.batch)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def test_what_is_said_over_a_cut_link_arrives_after_it() -> None:
    async def story() -> None:
        pair = Pair()
        await pair.start()
        await pair.arrived(1)
        pair.links.cut(frozenset([pair.address]))
        pair.change(2)
        await asyncio.sleep(0.2)
        assert pair.replica.revision == 1
        pair.links.heal()
        await pair.arrived(2)
        assert (pair.client.subscriber.losses, pair.client.subscriber.connections) == (0, 1)
        pair.stop()

    uvloop.run(story())


def test_a_dial_across_a_cut_hangs_until_it_is_given_up() -> None:
    async def story() -> None:
        pair = Pair()
        pair.links.cut(frozenset(["127.0.0.1:1"]))
        await pair.start()
        pair.links.cut(frozenset([pair.address]))
        await until(lambda: pair.client.subscriber.losses >= 2)
        # The dial's own time limit and the subscriber's end together; either may be first.
        assert pair.client.subscriber.last_loss.endswith(("late", "no welcome in 300 ms"))
        assert pair.client.subscriber.connections == 0
        pair.links.heal()
        await pair.arrived(1)
        pair.stop()

    uvloop.run(story())


def test_a_link_given_up_while_it_is_cut_is_closed_on_the_wire_after_it() -> None:
    async def story() -> None:
        pair = Pair()
        await pair.start()
        await pair.arrived(1)
        pair.links.cut(frozenset([pair.address]))
        pair.client.stop()
        await asyncio.sleep(0.1)
        assert len(pair.source.sessions) == 1
        pair.links.heal()
        await until(lambda: not pair.source.sessions)
        pair.server.stop()

    uvloop.run(story())


def test_a_slow_reader_has_the_latest_state_once_it_reads_again() -> None:
    async def story() -> None:
        pair = Pair()
        await pair.start()
        await pair.arrived(1)
        unread = pair.links.stop_reading()
        assert len(unread) == 1
        pair.change(2)
        pair.change(3)
        await asyncio.sleep(0.1)
        assert pair.replica.revision == 1
        for link in unread:
            link.go_on_reading()
        await pair.arrived(3)
        pair.stop()

    uvloop.run(story())


def test_a_link_that_is_closed_while_it_is_left_unread_can_be_told_to_read() -> None:
    async def story() -> None:
        pair = Pair()
        await pair.start()
        await pair.arrived(1)
        unread = pair.links.stop_reading()
        pair.client.stop()
        for link in unread:
            link.go_on_reading()
        await until(lambda: not pair.source.sessions)
        pair.server.stop()

    uvloop.run(story())
