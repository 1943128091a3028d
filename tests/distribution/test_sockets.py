"""Publisher, distributor and instance in one event loop, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from random import Random

from tansywood.distribution.client import SubscriberClient, dial
from tansywood.distribution.distributor import Distributor
from tansywood.distribution.messages import Epoch, Kind, Position, Resource, alias_of_host
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.stream import SealedStream
from tansywood.distribution.subscriber import (
    Action,
    Answer,
    Apply,
    Subscriber,
)
from windrelay.config import Address

KEY = bytes(range(32))
PARAMETERS = Parameters(
    heartbeat_interval_ns=50 * MS,
    silence_timeout_ns=400 * MS,
    reconnect_backoff_base_ns=20 * MS,
    max_reconnect_backoff_ns=80 * MS,
)
LOCAL = Address("127.0.0.1", 0)


def keys() -> list[bytes]:
    return [KEY]


def resource(uid: str, revision: int, body: bytes) -> Resource:
    return Resource(uid, revision, Kind.CONTENT, body, [alias_of_host(f"{uid}.example")])


class Publisher:
    """A source whose changes the test makes."""

    def __init__(self, epoch: Epoch, parent: Position | None = None) -> None:
        self.replica = Replica(PARAMETERS.max_resumable_changes, epoch)
        if parent is not None:
            self.replica.begin_epoch(epoch, parent)
        self.source = Source(self.replica, PARAMETERS, time.monotonic_ns(), is_publisher=True)
        self.server = SourceServer(self.source, keys, "fleet")

    def change(self, uid: str, revision: int, body: bytes) -> None:
        self.replica.commit(resource(uid, revision, body))
        self.source.changed(uid, revision, time.monotonic_ns())
        self.server.flush()


@dataclass
class Follower:
    """A subscriber that puts every batch into force at once."""

    client: SubscriberClient
    answers: dict[int, tuple[str, ...] | None]

    @property
    def replica(self) -> Replica:
        return self.client.subscriber.replica

    def body(self, uid: str) -> bytes | None:
        entry = self.replica.entries.get(uid)
        return entry.body if entry is not None else None


def start_instance(name: str, addresses: list[str]) -> Follower:
    answers: dict[int, tuple[str, ...] | None] = {}

    def handle(action: Action) -> None:
        if isinstance(action, Apply):
            client.applied(action.batch)
        elif isinstance(action, Answer):
            answers[action.question] = action.uids

    replica = Replica(PARAMETERS.max_resumable_changes)
    subscriber = Subscriber(name, addresses, replica, PARAMETERS, Random(1), time.monotonic_ns())
    client = SubscriberClient(subscriber, keys, "fleet", handle)
    client.start()
    return Follower(client, answers)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def running_fleet() -> AsyncIterator[tuple[Publisher, Distributor, Follower]]:
    publisher = Publisher(Epoch(1, b"a"))
    publisher.change("t1", 1, b"one")
    publisher.change("t2", 2, b"two")
    address = await publisher.server.start(LOCAL)
    distributor = Distributor(
        "d1", (f"{address.host}:{address.port}",), keys, "fleet", PARAMETERS, Random(2)
    )
    distributor_address = await distributor.start(LOCAL)
    follower = start_instance("i1", [f"{distributor_address.host}:{distributor_address.port}"])
    try:
        yield publisher, distributor, follower
    finally:
        follower.client.stop()
        distributor.stop()
        publisher.server.stop()
        await asyncio.sleep(0.02)


def test_an_instance_receives_only_changes_of_tenants_it_looked_up() -> None:
    async def scenario() -> None:
        async with running_fleet() as (publisher, distributor, follower):
            await until(lambda: len(distributor.replica.entries) == 2)
            question = follower.client.lookup([alias_of_host("t1.example")])
            await until(lambda: question in follower.answers)
            assert follower.answers[question] == ("t1",)
            publisher.change("t2", 3, b"other")
            publisher.change("t1", 4, b"changed")
            await until(lambda: follower.body("t1") == b"changed")
            assert set(follower.replica.entries) == {"t1"}
            await until(lambda: distributor.source.rollout("t1", 4).have == 1)

    asyncio.run(scenario())


def test_a_source_that_answers_too_late_is_disconnected_before_the_hello() -> None:
    async def scenario() -> None:
        publishers = [Publisher(Epoch(1, b"a")) for _ in range(2)]
        addresses = []
        for publisher in publishers:
            publisher.change("t1", 1, b"one")
            address = await publisher.server.start(LOCAL)
            addresses.append(f"{address.host}:{address.port}")
        answers = asyncio.Event()
        dialled: list[str] = []

        async def delay_first_dial(address: str, make_stream: Callable[[], SealedStream]) -> object:
            dialled.append(address)
            if len(dialled) == 1:
                await answers.wait()
            return await dial(address, make_stream)

        parameters = replace(PARAMETERS, attempt_delay_ns=20 * MS, dial_timeout_ns=60 * SECOND)
        subscriber = Subscriber(
            "i1",
            addresses,
            Replica(PARAMETERS.max_resumable_changes),
            parameters,
            Random(1),
            time.monotonic_ns(),
        )
        client = SubscriberClient(
            subscriber, keys, "fleet", lambda _action: None, dialer=delay_first_dial
        )
        client.start()
        await until(lambda: client.connected)
        assert len(dialled) == 2 and subscriber.address == dialled[1]
        late_source = publishers[addresses.index(dialled[0])].source
        answers.set()
        await until(lambda: late_source._next_number > 1 and not late_source.sessions)
        assert late_source.messages_in == 0 and subscriber.losses == 0
        client.stop()
        for publisher in publishers:
            publisher.server.stop()
        await asyncio.sleep(0.02)

    asyncio.run(scenario())
