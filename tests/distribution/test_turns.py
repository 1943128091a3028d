"""One session that is sent everything leaves the loop to all others in between."""

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
SAID_AT_ONCE = 50  # messages of another one that come in one read
BODY = bytes(48 << 10)  # two of them are more than one message takes


class CountedSource(Source):
    """Counts messages of changes by the turn of the loop in which they are made."""

    turn = 0
    made: Counter[int]

    def next_message(self, number: int, now: int) -> Message | None:
        message = super().next_message(number, now)
        if isinstance(message, Changes):
            self.made[self.turn] += 1
        return message


async def count_turns(source: CountedSource) -> None:
    while True:
        source.turn += 1
        await asyncio.sleep(0)


def held_by(replica: Replica) -> bool:
    return len(replica.entries) == RESOURCES


class Story:
    """A source with much to send, and one that fetches all of it."""

    def __init__(self) -> None:
        self.parameters = Parameters()
        replica = Replica(self.parameters.max_resumable_changes, Epoch(1, b"a"))
        for number in range(RESOURCES):
            replica.commit(resource(f"t{number}", number + 1, BODY))
        self.source = CountedSource(
            replica, self.parameters, time.monotonic_ns(), is_publisher=True
        )
        self.source.made = Counter()
        self.server = SourceServer(self.source, keys, "fleet")
        self.address = ""

    async def start(self) -> None:
        at = await self.server.start(LOCAL)
        self.address = f"{at.host}:{at.port}"

    def subscriber(self, name: str, everything: bool) -> SubscriberClient:
        """It connects at once."""
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

    def check(self) -> None:
        """The loop reads, and a timer sends, in the same turn as a turn of the server."""
        assert sum(self.source.made.values()) >= RESOURCES // 2
        assert max(self.source.made.values()) <= 3 * MAX_MESSAGES_PER_TURN


def test_what_fetches_everything_is_sent_a_few_messages_in_each_turn_of_the_loop() -> None:
    """Sockets take some megabytes at once: without the bound all of it goes in one turn."""

    async def main() -> None:
        story = Story()
        await story.start()
        turns = asyncio.create_task(count_turns(story.source))
        client = story.subscriber("distributor-1", everything=True)
        await until(lambda: held_by(client.subscriber.replica))
        turns.cancel()
        client.stop()
        story.server.stop()
        story.check()

    asyncio.run(main())


def test_what_others_say_meanwhile_makes_its_turns_no_more() -> None:
    """All that came in one read is answered in one turn, whatever else is to be sent."""

    async def main() -> None:
        story = Story()
        await story.start()
        talker = story.subscriber("node-1", everything=False)
        await until(lambda: talker.connected)
        turns = asyncio.create_task(count_turns(story.source))
        client = story.subscriber("distributor-1", everything=True)
        while not story.source.made:
            await asyncio.sleep(0)
        assert talker._stream is not None
        for _ in range(SAID_AT_ONCE):
            talker._stream.send(Acknowledge(0))
        await until(lambda: held_by(client.subscriber.replica))
        turns.cancel()
        for one in (client, talker):
            one.stop()
        story.server.stop()
        story.check()

    asyncio.run(main())
