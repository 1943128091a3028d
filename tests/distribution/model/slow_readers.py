"""Repeated changes to one resource while its subscribers read nothing.

Three or more resources change, and one of the middle ones changes again (or is deleted and created
again) while all of them are queued. Then some of the queued changes are read, and the connection
ends. This happens after the other changes of a history, because a later change would repair a lost
one.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.distribution.model.network import Connection
from tests.distribution.model.parts import FAULTY_STEPS

if TYPE_CHECKING:
    from tests.distribution.model.events import Events
    from tests.distribution.model.world import World

FIRST_CHANGE_STEP = FAULTY_STEPS - 16  # the other steps are relative to this one
LOOKUP_STEP = -15
REPEAT_STEPS = (3, 5)
READ_STEP = 8
MIN_RESOURCES = 3


class SlowReaders:
    """Draws these events once in a history, from its own random sequence."""

    def __init__(self, world: World, events: Events) -> None:
        self.world = world
        self.events = events
        self.random = Random(f"slow readers {world.seed}")
        self._held_connections: list[Connection] = []
        self._changing_again = ""  # the uid of the resource that changes again

    def draw(self) -> None:
        """Draw the events of one step."""
        step = self.world.steps - FIRST_CHANGE_STEP
        if not self.world.publisher.runs:
            return
        if step == LOOKUP_STEP:
            self._ask()
        elif step == 0:
            self._begin()
        elif step in REPEAT_STEPS and self._changing_again:
            self._change_again()
        elif step == READ_STEP:
            self._read()

    def _ask(self) -> None:
        """Let instances subscribe to enough resources."""
        contents = self.world.publisher.disk.contents
        aliases = sorted(alias for content in contents.values() for alias in content.aliases)
        for node in self.world.nodes if aliases else ():
            node.look_up(self.random.sample(aliases, min(len(aliases), 6)))

    def _begin(self) -> None:
        world = self.world
        everything = self.random.random() < 0.5  # distributors read slowly instead of instances
        for connection in world.connections:
            if (connection.server is world.publisher) == everything:
                self._hold_back(connection)
            else:
                connection.slow = False
                connection.stalled_until = 0
        if self._held_connections:
            world.counts["slow readers"] += len(self._held_connections)
            self._change(sorted(self._held_by(self._held_connections[0])))

    def _held_by(self, connection: Connection) -> set[str]:
        contents = self.world.publisher.disk.contents
        session = connection.server.source.sessions[connection.number]
        return set(contents) if session.everything else session.subscriptions & contents.keys()

    def _hold_back(self, connection: Connection) -> None:
        session = connection.server.source.sessions[connection.number]
        if session.welcomed and len(self._held_by(connection)) >= MIN_RESOURCES:
            connection.max_unread = 0
            connection.held_back = True
            self._held_connections.append(connection)

    def _change(self, uids: list[str]) -> None:
        """Change each of the resources; the last one is sometimes deleted."""
        self.random.shuffle(uids)
        for uid in uids[:-1]:
            self.events.change(uid)
        if self.random.random() < 0.3:
            self.world.publisher.commit(uids[-1], None, ())
        else:
            self.events.change(uids[-1])
        self._changing_again = uids[self.random.randrange(1, len(uids) - 1)]

    def _change_again(self) -> None:
        if (
            self.random.random() < 0.5
            and self._changing_again in self.world.publisher.disk.contents
        ):
            self.world.publisher.commit(self._changing_again, None, ())
        self.events.change(self._changing_again)

    def _read(self) -> None:
        for connection in self._held_connections:
            connection.max_unread = 1
            connection.held_back = False
            connection.slow = False
            connection.stalled_until = 0
            connection.cut_after_changes = self.random.choice([1, 2, 3])
