"""Stalled processes, and several subscribers that fetch everything at once."""

from __future__ import annotations

import asyncio
import time
from itertools import pairwise
from random import Random

from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import (
    Busy,
    Changes,
    Epoch,
    Hello,
    Kind,
    Message,
    Progress,
    Resource,
    Versions,
    Welcome,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber
from windrelay.config import Address

SHORT_TIMEOUTS = Parameters(heartbeat_interval_ns=50 * MS, silence_timeout_ns=400 * MS)
STALL_S = 0.7  # longer than the short silence time-out


def keys() -> list[bytes]:
    return [bytes(32)]


class AlwaysDueSubscriber(Subscriber):
    """Counts its ticks, and always has something due."""

    ticks = 0

    def tick(self, now: int) -> None:
        self.ticks += 1

    def next_due(self) -> int:
        return 0


def subscriber_of(address: str, parameters: Parameters) -> Subscriber:
    now = time.monotonic_ns()
    return Subscriber(
        "i1", [address], Replica(parameters.max_resumable_changes), parameters, Random(1), now
    )


def test_the_timer_fires_while_messages_arrive_without_a_pause() -> None:
    async def scenario() -> int:
        now = time.monotonic_ns()
        subscriber = AlwaysDueSubscriber(
            "i1", ["127.0.0.1:1"], Replica(1), SHORT_TIMEOUTS, Random(1), now
        )
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        client.start()
        for _ in range(50):
            time.sleep(0.002)  # each message takes longer than the timer's shortest delay
            client.flush()
            await asyncio.sleep(0)
        client.stop()
        return subscriber.ticks

    assert asyncio.run(scenario()) > 10


def test_a_stalled_server_does_not_take_subscribers_for_silent() -> None:
    async def scenario() -> None:
        source = Source(
            Replica(1, Epoch(1, b"a")), SHORT_TIMEOUTS, time.monotonic_ns(), is_publisher=True
        )
        server = SourceServer(source, keys, "fleet")
        address = await server.start(Address("127.0.0.1", 0))
        patient = Parameters(heartbeat_interval_ns=50 * MS, silence_timeout_ns=60 * SECOND)
        subscriber = subscriber_of(f"{address.host}:{address.port}", patient)
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        client.start()
        async with asyncio.timeout(10):
            while not client.connected:
                await asyncio.sleep(0.005)
            for _ in range(2):
                time.sleep(STALL_S)
                await asyncio.sleep(0.15)
        assert subscriber.losses == 0
        client.stop()
        server.stop()

    asyncio.run(scenario())


def next_message_of(source: Source, number: int) -> Message | None:
    return source.next_message(number, 0)


def test_full_comparisons_are_limited_and_the_others_are_told_to_retry() -> None:
    parameters = Parameters(max_full_comparisons=2)
    replica = Replica(parameters.max_resumable_changes, Epoch(1, b"a"))
    replica.commit(Resource("t1", 1, Kind.CONTENT, b"body", []))
    source = Source(replica, parameters, 0, is_publisher=True)

    def hello(name: str) -> tuple[int, Message | None]:
        number = source.opened(0)
        source.received(number, 0, Hello(name, everything=True))
        return number, next_message_of(source, number)

    first, answer = hello("d1")
    assert isinstance(answer, Welcome) and answer.compare
    assert isinstance(hello("d2")[1], Welcome)
    assert isinstance(hello("d3")[1], Busy)
    source.received(first, 0, Versions([]))
    assert isinstance(hello("d3")[1], Busy)
    assert next_message_of(source, first) is not None  # all differences
    assert isinstance(hello("d3")[1], Welcome)


def test_heartbeats_with_the_publishers_age_are_sent_among_other_messages() -> None:
    parameters = Parameters()
    replica = Replica(parameters.max_resumable_changes, Epoch(1, b"a"))
    replica.commit(Resource("t1", 1, Kind.CONTENT, b"body", []))
    source = Source(replica, parameters, 0, is_publisher=True)
    number = source.opened(0)
    source.received(number, 0, Hello("d1", everything=True, position=replica.position))
    assert isinstance(next_message_of(source, number), Welcome)
    sent_at = []
    interval = parameters.heartbeat_interval_ns // 3
    for revision in range(2, 20):
        now = revision * interval
        replica.commit(Resource("t1", revision, Kind.CONTENT, b"body", []))
        source.changed("t1", revision, now)
        while (message := source.next_message(number, now)) is not None:
            sent_at.append((now, message))
    heartbeat_times = [at for at, message in sent_at if isinstance(message, Progress)]
    assert (
        max(b - a for a, b in pairwise(heartbeat_times))
        <= parameters.heartbeat_interval_ns + interval
    )
    assert sum(isinstance(message, Changes) for _, message in sent_at) == 18


def test_an_empty_subscriber_is_sent_everything_in_the_order_of_the_last_changes() -> None:
    parameters = Parameters(max_batch_bytes=1)  # one resource a message
    replica = Replica(parameters.max_resumable_changes, Epoch(1, b"a"))
    for revision in range(1, 7):
        replica.commit(Resource(f"t{revision}", revision, Kind.CONTENT, b"body"))
    source = Source(replica, parameters, 0, is_publisher=True)

    def change(uid: str, revision: int, kind: Kind) -> None:
        replica.commit(Resource(uid, revision, kind, b"changed" if kind is Kind.CONTENT else b""))
        source.changed(uid, revision, 0)

    number = source.opened(0)
    source.received(number, 0, Hello("d1", everything=True))
    change("t2", 7, Kind.CONTENT)  # before its versions arrive
    source.received(number, 0, Versions([]))
    sent: list[Resource] = []
    progress = []
    while (message := next_message_of(source, number)) is not None:
        if isinstance(message, Changes):
            sent += message.resources
            progress.append(message.progress)
        if len(sent) == 2:  # both are still queued
            change("t4", 8, Kind.CONTENT)
            change("t5", 9, Kind.REMOVED)
    assert [(r.uid, r.revision) for r in sent] == [
        *(("t1", 1), ("t3", 3), ("t6", 6)),
        *(("t2", 7), ("t4", 8), ("t5", 9)),
    ]
    assert [r.kind for r in sent] == [Kind.CONTENT] * 5 + [Kind.REMOVED]
    assert progress == [0, 0, 0, 0, 0, 9]
