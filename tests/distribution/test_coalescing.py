"""A resource that changes again while others wait behind it, and a connection that ends then."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from tansywood.distribution.messages import Epoch, Kind, Resource
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import Source
from tansywood.distribution.subscriber import Apply, Dial, Send, Subscriber
from tests.distribution.model.defences import OldPlaceSource

PARAMETERS = Parameters(max_batch_bytes=1)  # one resource a message
EPOCH = Epoch(1, b"a")
UIDS = ("first", "again", "last")


class Bench:
    """A source and one subscriber of three resources, whose connection a test ends."""

    def __init__(self, source_type: type[Source], everything: bool) -> None:
        self.now = SECOND
        self.replica = Replica(PARAMETERS.max_resumable_changes, EPOCH)
        self.source = source_type(self.replica, PARAMETERS, self.now, is_publisher=True)
        self.revision = 0
        for uid in UIDS:
            self.change(uid)
        held = Replica(PARAMETERS.max_resumable_changes, EPOCH, self.revision)
        held.load(self.replica.resource(uid) for uid in UIDS)
        self.subscriber = Subscriber(
            "n", ["a:1"], held, PARAMETERS, Random(1), self.now, everything=everything
        )
        self.session = 0

    def change(self, uid: str, kind: Kind = Kind.CONTENT) -> None:
        self.revision += 1
        body = f"{uid} {self.revision}".encode() if kind is Kind.CONTENT else b""
        self.replica.commit(Resource(uid, self.revision, kind, body))
        self.source.changed(uid, self.revision, self.now)

    def connect(self) -> None:
        """Dial, say hello, be welcomed."""
        while not any(isinstance(action, Dial) for action in self.subscriber.actions):
            self.now += MS
            self.subscriber.tick(self.now)
        self.session = self.source.opened(self.now)
        self.subscriber.connected(self.subscriber.attempt, self.now)
        self.say()
        assert self.read()

    def say(self) -> None:
        """Do what the subscriber wants done."""
        while self.subscriber.actions:
            actions, self.subscriber.actions = self.subscriber.actions, []
            for action in actions:
                if isinstance(action, Send):
                    self.source.received(self.session, self.now, action.message)
                elif isinstance(action, Apply):
                    self.subscriber.applied(action.batch, self.now)

    def read(self) -> bool:
        """One message of the source's; False where there is none."""
        message = self.source.next_message(self.session, self.now)
        if message is None:
            return False
        self.subscriber.received(self.subscriber.attempt, self.now, message)
        self.say()
        return True

    def lose_connection(self) -> None:
        self.source.closed(self.session, self.now)
        self.subscriber.disconnected(self.subscriber.attempt, self.now)

    def differing(self) -> set[str]:
        """What the subscriber has in another state than the source."""
        ours, theirs = self.subscriber.replica.entries, self.replica.entries
        bodies = [{uid: entry.body for uid, entry in e.items()} for e in (ours, theirs)]
        return {uid for uid in UIDS if bodies[0].get(uid) != bodies[1].get(uid)}


def change_once(bench: Bench) -> None:
    bench.change("again")


def change_often(bench: Bench) -> None:
    for _ in range(3):
        bench.change("again")


def delete(bench: Bench) -> None:
    bench.change("again", Kind.REMOVED)


def delete_and_make_anew(bench: Bench) -> None:
    bench.change("again", Kind.REMOVED)
    bench.change("again")


def differing_after_a_loss(
    source_type: type[Source], change_again: Callable[[Bench], None], everything: bool, read: int
) -> set[str]:
    """All three change, one of them again while all wait; some are read, the connection ends,
    and all that is sent after the next hello is read."""
    bench = Bench(source_type, everything)
    bench.connect()
    for uid in UIDS:
        bench.change(uid)
    change_again(bench)
    for _ in range(read):
        bench.read()
    bench.lose_connection()
    bench.connect()
    while bench.read():
        pass
    return bench.differing()


VARIANTS = pytest.mark.parametrize(
    "change_again", [change_once, change_often, delete, delete_and_make_anew]
)


@pytest.mark.parametrize("everything", [False, True])
@pytest.mark.parametrize("read", [0, 1, 2, 3])
@VARIANTS
def test_nothing_is_lost_wherever_the_connection_ends(
    change_again: Callable[[Bench], None], read: int, everything: bool
) -> None:
    assert not differing_after_a_loss(Source, change_again, everything, read)


@pytest.mark.parametrize("everything", [False, True])
@VARIANTS
def test_with_the_old_place_kept_what_waits_behind_is_lost(
    change_again: Callable[[Bench], None], everything: bool
) -> None:
    assert differing_after_a_loss(OldPlaceSource, change_again, everything, 1) == {"last"}
