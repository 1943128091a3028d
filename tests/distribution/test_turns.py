"""A session that is sent everything yields to the other sessions between its messages."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random

from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import Acknowledge, Changes, Epoch, Message
from tansywood.distribution.parameters import Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import MAX_MESSAGES_PER_TURN, SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber

from .test_sockets import LOCAL, keys, resource, until

RESOURCES = 120
BURST_MESSAGES = 50  # messages of another subscriber that arrive in one read
BODY = bytes(48 << 10)  # two of them exceed the size of one batch


class CountedSource(Source):
    """Counts Changes messages by the turn of the event loop in which they are created."""

    turn = 0
    changes_by_turn: Counter[int]

    def next_message(self, number: int, now: int) -> Message | None:
        message = super().next_message(number, now)
        if isinstance(message, Changes):
            self.changes_by_turn[self.turn] += 1
        return message


async def count_turns(source: CountedSource) -> None:
    while True:
        source.turn += 1
        await asyncio.sleep(0)


def holds_all(replica: Replica) -> bool:
    return len(replica.entries) == RESOURCES


class Scenario:
    """A source with many large resources, and subscribers that fetch them."""

    def __init__(self) -> None:
        self.parameters = Parameters()
        replica = Replica(self.parameters.max_resumable_changes, Epoch(1, b"a"))
        for number in range(RESOURCES):
            replica.commit(resource(f"t{number}", number + 1, BODY))
        self.source = CountedSource(
            replica, self.parameters, time.monotonic_ns(), is_publisher=True
        )
        self.source.changes_by_turn = Counter()
        self.server = SourceServer(self.source, keys, "fleet")
        self.address = ""

    async def start(self) -> None:
        address = await self.server.start(LOCAL)
        self.address = f"{address.host}:{address.port}"

    def subscriber(self, name: str, everything: bool) -> SubscriberClient:
        """Start a subscriber, which connects at once."""
        subscriber = Subscriber(
            name,
            [self.address],
            Replica(self.parameters.max_resumable_changes),
            self.parameters,
            Random(1),
            time.monotonic_ns(),
            everything,
        )
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        client.start()
        return client

    def check_turns(self) -> None:
        """The server's turn, a read and a timer may all send in one turn of the loop."""
        assert sum(self.source.changes_by_turn.values()) >= RESOURCES // 2
        assert max(self.source.changes_by_turn.values()) <= 3 * MAX_MESSAGES_PER_TURN


def test_a_full_fetch_is_sent_a_few_messages_per_turn_of_the_loop() -> None:
    """Sockets buffer some megabytes: without the limit everything is sent in one turn."""

    async def main() -> None:
        scenario = Scenario()
        await scenario.start()
        turns = asyncio.create_task(count_turns(scenario.source))
        client = scenario.subscriber("distributor-1", everything=True)
        await until(lambda: holds_all(client.subscriber.replica))
        turns.cancel()
        client.stop()
        scenario.server.stop()
        scenario.check_turns()

    asyncio.run(main())


def test_a_burst_from_another_subscriber_adds_no_turns_to_a_full_fetch() -> None:
    """All messages of one read cause a single turn, whatever else is to be sent."""

    async def main() -> None:
        scenario = Scenario()
        await scenario.start()
        chatty_client = scenario.subscriber("node-1", everything=False)
        await until(lambda: chatty_client.connected)
        turns = asyncio.create_task(count_turns(scenario.source))
        client = scenario.subscriber("distributor-1", everything=True)
        while not scenario.source.changes_by_turn:
            await asyncio.sleep(0)
        assert chatty_client._stream is not None
        for _ in range(BURST_MESSAGES):
            chatty_client._stream.send(Acknowledge(0))
        await until(lambda: holds_all(client.subscriber.replica))
        turns.cancel()
        for each in (client, chatty_client):
            each.stop()
        scenario.server.stop()
        scenario.check_turns()

    asyncio.run(main())
