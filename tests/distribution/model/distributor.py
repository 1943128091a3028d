"""A simulated distributor: a subscriber of every resource and a source for instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tansywood.distribution.messages import InstancesMoved, Message, Welcome
from tansywood.distribution.subscriber import (
    Action,
    Apply,
    EpochContinued,
    HistoryChanged,
    Link,
    Send,
)
from tests.distribution.model.network import Connection, Follower, Server
from tests.distribution.model.parts import PUBLISHER

if TYPE_CHECKING:
    from tests.distribution.model.world import World


class Distributor(Server, Follower):
    """A subscriber of every resource and a source for instances, over one replica."""

    def __init__(self, world: World, name: str) -> None:
        Server.__init__(self, world, name)
        Follower.__init__(self, world, name)
        self.isolated_until = 0
        self.reset()

    def reset(self) -> None:
        """Start, or restart, with an empty replica."""
        parts, now = self.world.parts, self.now
        self.replica = parts.replica(self.world.parameters.max_resumable_changes)
        self.source = parts.source(self.replica, self.world.parameters, now, is_publisher=False)
        random = Random(self.world.random.random())
        self.subscriber = parts.subscriber(
            self.name,
            [PUBLISHER],
            self.replica,
            self.world.parameters,
            random,
            now,
            everything=True,
        )
        self.connections = {}
        self.dials = []

    def handle(self, action: Action) -> None:
        now = self.now
        if isinstance(action, Apply):
            for uid in action.uids:
                self.note_coalescing(uid)
                self.source.changed(uid, self.replica.resource(uid).revision, now)
            self.subscriber.applied(action.batch, now)
        elif isinstance(action, EpochContinued):
            self.world.counts["epochs continued"] += 1
            self.source.epoch_continued(now)
        elif isinstance(action, HistoryChanged):
            self.world.counts["histories changed"] += 1
            self.source.stop_serving()

    def received(self, connection: Connection, message: Message) -> None:
        """Pass a message of an instance to the source, one of the publisher to the subscriber."""
        if connection.server is self:
            Server.received(self, connection, message)
        else:
            Follower.received(self, connection, message)

    def on_message(self, *arguments: object) -> None:
        message = arguments[-1]
        if len(arguments) == 1:
            self._on_publisher_message(message)

    def _on_publisher_message(self, message: object) -> None:
        self.source.note_publisher_heard(self.now)
        self.flush()
        if self.replica.revision and not self.source.serving:
            self.replica.set_resumable_from(self.replica.revision)
            self.source.serving = True
        if isinstance(message, InstancesMoved):
            self.source.moved(message.names)
        elif isinstance(message, Welcome):
            self.source.reset_report()

    def tick(self) -> None:
        Server.tick(self)
        Follower.tick(self)
        if self.subscriber.link is Link.UP:
            report = self.source.report(self.now)
            if report is not None:
                self.subscriber.actions.append(Send(report))
                self.flush()
