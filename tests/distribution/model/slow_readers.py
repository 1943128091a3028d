"""Changes to one resource again and again while whoever subscribes to it reads nothing.

At the end of a history's changes, so that none comes later that would mend what was lost: three
resources or more change, one of the middle ones changes again (or is deleted and made anew) while
all of them wait; then some of what waits is read, and the connection ends.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.distribution.model.network import Wire
from tests.distribution.model.parts import FAULTY_STEPS

if TYPE_CHECKING:
    from tests.distribution.model.events import Events
    from tests.distribution.model.world import World

BEGIN = FAULTY_STEPS - 16  # the step of the first changes; the others are counted from there
ASKS = -15
AGAIN = (3, 5)
READS = 8
RESOURCES_LEAST = 3


class SlowReaders:
    """Draws it, once in a history, from a sequence of its own."""

    def __init__(self, world: World, events: Events) -> None:
        self.world = world
        self.events = events
        self.random = Random(f"slow readers {world.seed}")
        self._wires: list[Wire] = []
        self._again = ""  # the resource that changes again

    def draw(self) -> None:
        """Of one step."""
        step = self.world.steps - BEGIN
        if not self.world.publisher.runs:
            return
        if step == ASKS:
            self._ask()
        elif step == 0:
            self._begin()
        elif step in AGAIN and self._again:
            self._change_again()
        elif step == READS:
            self._read()

    def _ask(self) -> None:
        """Instances hold enough."""
        contents = self.world.publisher.disk.contents
        aliases = sorted(alias for content in contents.values() for alias in content.aliases)
        for node in self.world.nodes if aliases else ():
            node.look_up(self.random.sample(aliases, min(len(aliases), 6)))

    def _begin(self) -> None:
        world = self.world
        everything = self.random.random() < 0.5  # distributors are who reads slowly, not instances
        for wire in world.wires:
            if (wire.server is world.publisher) == everything:
                self._hold_up(wire)
            else:
                wire.slow = False
                wire.stalled_until = 0
        if self._wires:
            world.counts["slow readers"] += len(self._wires)
            self._change(sorted(self._held_by(self._wires[0])))

    def _held_by(self, wire: Wire) -> set[str]:
        contents = self.world.publisher.disk.contents
        session = wire.server.source.sessions[wire.number]
        return set(contents) if session.everything else session.subscriptions & contents.keys()

    def _hold_up(self, wire: Wire) -> None:
        session = wire.server.source.sessions[wire.number]
        if session.welcomed and len(self._held_by(wire)) >= RESOURCES_LEAST:
            wire.room = 0
            wire.held_up = True
            self._wires.append(wire)

    def _change(self, uids: list[str]) -> None:
        """Each of them, the last one is now and then deleted."""
        self.random.shuffle(uids)
        for uid in uids[:-1]:
            self.events.change(uid)
        if self.random.random() < 0.3:
            self.world.publisher.commit(uids[-1], None, ())
        else:
            self.events.change(uids[-1])
        self._again = uids[self.random.randrange(1, len(uids) - 1)]

    def _change_again(self) -> None:
        if self.random.random() < 0.5 and self._again in self.world.publisher.disk.contents:
            self.world.publisher.commit(self._again, None, ())
        self.events.change(self._again)

    def _read(self) -> None:
        for wire in self._wires:
            wire.room = 1
            wire.held_up = False
            wire.slow = False
            wire.stalled_until = 0
            wire.cut_after = self.random.choice([1, 2, 3])
