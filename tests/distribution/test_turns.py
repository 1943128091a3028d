"""One session that is sent everything leaves the loop to all others in between."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random

from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import Changes, Epoch, Message
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import TURN_MESSAGES, SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Subscriber
from tansywood.distribution.terms import Terms

from .test_sockets import LOCAL, keys, resource, until

RESOURCES = 120
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


def test_what_fetches_everything_is_sent_a_few_messages_in_each_turn_of_the_loop() -> None:
    """Sockets take some megabytes at once: without the bound all of it goes in one turn."""

    async def story() -> None:
        terms = Terms()
        replica = Replica(terms.window, Epoch(1, b"a"))
        for number in range(RESOURCES):
            replica.commit(resource(f"t{number}", number + 1, BODY))
        source = CountedSource(replica, terms, time.monotonic_ns(), is_publisher=True)
        source.made = Counter()
        server = SourceServer(source, keys, "fleet")
        at = await server.start(LOCAL)
        held = Replica(terms.window)
        subscriber = Subscriber(
            "distributor-1",
            [f"{at.host}:{at.port}"],
            held,
            terms,
            Random(1),
            time.monotonic_ns(),
            everything=True,
        )
        client = SubscriberClient(subscriber, keys, "fleet", lambda _action: None)
        turns = asyncio.create_task(count_turns(source))
        client.start()
        await until(lambda: len(held.entries) == RESOURCES)
        turns.cancel()
        client.stop()
        server.stop()
        assert sum(source.made.values()) >= RESOURCES // 2
        # The loop reads, and a timer sends, in the same turn as a turn of the server.
        assert max(source.made.values()) <= 3 * TURN_MESSAGES

    asyncio.run(story())
