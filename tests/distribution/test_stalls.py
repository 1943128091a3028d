"""Processes that stand still for a moment, and many that fetch everything at once."""

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

SHORT = Parameters(heartbeat_interval_ns=50 * MS, silence_timeout_ns=400 * MS)
STANDSTILL_S = 0.7  # longer than the short silence


def keys() -> list[bytes]:
    return [bytes(32)]


class Overdue(Subscriber):
    """Counts its ticks; something is due at any time."""

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


def test_the_timer_rings_while_messages_come_without_a_pause() -> None:
    async def story() -> int:
        now = time.monotonic_ns()
        subscriber = Overdue("i1", ["127.0.0.1:1"], Replica(1), SHORT, Random(1), now)
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        client.start()
        for _ in range(50):
            time.sleep(0.002)  # each message takes longer than the timer's least wait
            client.flush()
            await asyncio.sleep(0)
        client.stop()
        return subscriber.ticks

    assert asyncio.run(story()) > 10


def test_a_server_that_stood_still_takes_nobody_for_silent() -> None:
    async def story() -> None:
        source = Source(Replica(1, Epoch(1, b"a")), SHORT, time.monotonic_ns(), is_publisher=True)
        server = SourceServer(source, keys, "fleet")
        at = await server.start(Address("127.0.0.1", 0))
        patient = Parameters(heartbeat_interval_ns=50 * MS, silence_timeout_ns=60 * SECOND)
        subscriber = subscriber_of(f"{at.host}:{at.port}", patient)
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        client.start()
        async with asyncio.timeout(10):
            while not client.connected:
                await asyncio.sleep(0.005)
            for _ in range(2):
                time.sleep(STANDSTILL_S)
                await asyncio.sleep(0.15)
        assert subscriber.losses == 0
        client.stop()
        server.stop()

    asyncio.run(story())


def said(source: Source, number: int) -> Message | None:
    return source.next_message(number, 0)


def test_few_compare_everything_at_a_time_and_the_others_come_again() -> None:
    parameters = Parameters(max_full_comparisons=2)
    replica = Replica(parameters.max_resumable_changes, Epoch(1, b"a"))
    replica.commit(Resource("t1", 1, Kind.CONTENT, b"body", []))
    source = Source(replica, parameters, 0, is_publisher=True)

    def hello(name: str) -> tuple[int, Message | None]:
        number = source.opened(0)
        source.received(number, 0, Hello(name, everything=True))
        return number, said(source, number)

    first, answer = hello("d1")
    assert isinstance(answer, Welcome) and answer.compare
    assert isinstance(hello("d2")[1], Welcome)
    assert isinstance(hello("d3")[1], Busy)
    source.received(first, 0, Versions([]))
    assert isinstance(hello("d3")[1], Busy)
    assert said(source, first) is not None  # all that differs
    assert isinstance(hello("d3")[1], Welcome)


def test_the_publishers_age_is_told_each_heartbeat_whatever_else_is_said() -> None:
    parameters = Parameters()
    replica = Replica(parameters.max_resumable_changes, Epoch(1, b"a"))
    replica.commit(Resource("t1", 1, Kind.CONTENT, b"body", []))
    source = Source(replica, parameters, 0, is_publisher=True)
    number = source.opened(0)
    source.received(number, 0, Hello("d1", everything=True, position=replica.position))
    assert isinstance(said(source, number), Welcome)
    told = []
    between = parameters.heartbeat_interval_ns // 3
    for revision in range(2, 20):
        now = revision * between
        replica.commit(Resource("t1", revision, Kind.CONTENT, b"body", []))
        source.changed("t1", revision, now)
        while (message := source.next_message(number, now)) is not None:
            told.append((now, message))
    ages = [at for at, message in told if isinstance(message, Progress)]
    assert max(b - a for a, b in pairwise(ages)) <= parameters.heartbeat_interval_ns + between
    assert sum(isinstance(message, Changes) for _, message in told) == 18


def test_one_that_holds_nothing_is_sent_all_there_is_in_the_order_of_the_last_changes() -> None:
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
    change("t2", 7, Kind.CONTENT)  # while its versions are awaited
    source.received(number, 0, Versions([]))
    sent: list[Resource] = []
    progress = []
    while (message := said(source, number)) is not None:
        if isinstance(message, Changes):
            sent += message.resources
            progress.append(message.progress)
        if len(sent) == 2:  # these still wait
            change("t4", 8, Kind.CONTENT)
            change("t5", 9, Kind.REMOVED)
    assert [(r.uid, r.revision) for r in sent] == [
        *(("t1", 1), ("t3", 3), ("t6", 6)),
        *(("t2", 7), ("t4", 8), ("t5", 9)),
    ]
    assert [r.kind for r in sent] == [Kind.CONTENT] * 5 + [Kind.REMOVED]
    assert progress == [0, 0, 0, 0, 0, 9]
