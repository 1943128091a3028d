"""A queued resource changes again while others are queued, and then the connection ends."""

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


class Harness:
    """A source and one subscriber of three resources, whose connection the test ends."""

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
        """Dial, send the hello, receive the welcome."""
        while not any(isinstance(action, Dial) for action in self.subscriber.actions):
            self.now += MS
            self.subscriber.tick(self.now)
        self.session = self.source.opened(self.now)
        self.subscriber.connected(self.subscriber.attempt, self.now)
        self.perform_actions()
        assert self.receive_next()

    def perform_actions(self) -> None:
        """Carry out the subscriber's actions."""
        while self.subscriber.actions:
            actions, self.subscriber.actions = self.subscriber.actions, []
            for action in actions:
                if isinstance(action, Send):
                    self.source.received(self.session, self.now, action.message)
                elif isinstance(action, Apply):
                    self.subscriber.applied(action.batch, self.now)

    def receive_next(self) -> bool:
        """Deliver the source's next message. False where there is none."""
        message = self.source.next_message(self.session, self.now)
        if message is None:
            return False
        self.subscriber.received(self.subscriber.attempt, self.now, message)
        self.perform_actions()
        return True

    def lose_connection(self) -> None:
        self.source.closed(self.session, self.now)
        self.subscriber.disconnected(self.subscriber.attempt, self.now)

    def differing_uids(self) -> set[str]:
        """Resources whose state at the subscriber differs from the source's."""
        held_entries, source_entries = self.subscriber.replica.entries, self.replica.entries
        bodies = [
            {uid: entry.body for uid, entry in e.items()} for e in (held_entries, source_entries)
        ]
        return {uid for uid in UIDS if bodies[0].get(uid) != bodies[1].get(uid)}


def change_once(harness: Harness) -> None:
    harness.change("again")


def change_often(harness: Harness) -> None:
    for _ in range(3):
        harness.change("again")


def delete(harness: Harness) -> None:
    harness.change("again", Kind.REMOVED)


def delete_and_create_again(harness: Harness) -> None:
    harness.change("again", Kind.REMOVED)
    harness.change("again")


def differing_after_reconnect(
    source_type: type[Source],
    change_again: Callable[[Harness], None],
    everything: bool,
    messages_read: int,
) -> set[str]:
    """All three resources change, and one changes again while all are queued. Some messages are
    received, the connection ends, and everything sent after the next hello is received."""
    harness = Harness(source_type, everything)
    harness.connect()
    for uid in UIDS:
        harness.change(uid)
    change_again(harness)
    for _ in range(messages_read):
        harness.receive_next()
    harness.lose_connection()
    harness.connect()
    while harness.receive_next():
        pass
    return harness.differing_uids()


VARIANTS = pytest.mark.parametrize(
    "change_again", [change_once, change_often, delete, delete_and_create_again]
)


@pytest.mark.parametrize("everything", [False, True])
@pytest.mark.parametrize("messages_read", [0, 1, 2, 3])
@VARIANTS
def test_no_change_is_lost_wherever_the_connection_ends(
    change_again: Callable[[Harness], None], messages_read: int, everything: bool
) -> None:
    assert not differing_after_reconnect(Source, change_again, everything, messages_read)


@pytest.mark.parametrize("everything", [False, True])
@VARIANTS
def test_without_moving_a_changed_resource_to_the_end_a_later_change_is_lost(
    change_again: Callable[[Harness], None], everything: bool
) -> None:
    assert differing_after_reconnect(OldPlaceSource, change_again, everything, 1) == {"last"}
