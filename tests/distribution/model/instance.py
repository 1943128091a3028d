"""An instance: what it asks, holds, puts into force and refuses; judged with each state."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import TYPE_CHECKING

from tansywood.distribution.messages import Epoch, Refusal
from tansywood.distribution.subscriber import Action, Answer, Apply
from tests.distribution.model.network import Follower
from tests.distribution.model.parts import PropertyError

if TYPE_CHECKING:
    from tests.distribution.model.world import World


class Node(Follower):
    """An instance: it asks, puts into force after a while, refuses some, gives up some."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.begin()

    def begin(self) -> None:
        """Start with nothing."""
        world = self.world
        self.replica = world.parts.replica(world.parameters.max_resumable_changes)
        self.subscriber = world.parts.subscriber(
            self.name, sorted(world.distributors), self.replica, self.world.parameters,
            Random(world.random.random()), self.now,
        )  # fmt: skip
        self.in_force: dict[str, bytes] = {}
        self.refused: dict[str, bytes] = {}
        self.applying: deque[tuple[int, Apply]] = deque()
        self.asked: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self.wanted: set[str] = set()  # answered, and not given up since
        self.uses = 0  # counts what was asked, answered and given up
        self.open_until: dict[str, int] = {}  # of each alias: the use that answered it last
        self.given_up: dict[str, int] = {}  # of each tenant: the use that gave it up last
        self.places: dict[str, int] = {}
        self.labels: dict[str, tuple[Epoch, int]] = {}
        self.dials = []

    def look_up(self, aliases: Sequence[str]) -> None:
        number = self.subscriber.lookup(aliases, self.now)
        self.asked[number] = tuple(aliases)
        self.flush()

    def give_up(self, uids: Sequence[str]) -> None:
        for uid in uids:
            self.in_force.pop(uid, None)
            self.refused.pop(uid, None)
        self.wanted -= set(uids)
        self.uses += 1
        self.given_up.update(dict.fromkeys(uids, self.uses))
        self.subscriber.unsubscribe(uids, self.now)
        self.flush()

    def may_want(self, uid: str) -> bool:
        """Whether a question may have subscribed to it that was open after it was given up."""
        given_up = self.given_up.get(uid, 0)
        closed = (alias for alias, use in self.open_until.items() if use > given_up)
        asked = [alias for aliases in self.asked.values() for alias in aliases]
        return uid in self.wanted or uid in self.world.owners_of([*closed, *asked])

    def handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self._look_at(action.uids)
            self.applying.append((self.world.now + self.world.apply_time(), action))
        elif isinstance(action, Answer):
            self.uses += 1
            self.open_until.update(dict.fromkeys(self.asked.pop(action.question), self.uses))
            if action.uids is not None:
                self.world.counts["answers"] += 1
                self.wanted |= {uid for uid in action.uids if uid in self.replica.entries}

    def _look_at(self, uids: Iterable[str]) -> None:
        """The property: nothing goes back, nothing comes that was not asked for."""
        for uid in uids:
            entry = self.replica.entries.get(uid)
            body = entry.body if entry is not None else None
            if entry is not None and not self.may_want(uid):
                self._wrong(f"was told {uid}, which it does not want")
            place = self.world.oracle.next_place(uid, self.places.get(uid, 0), body)
            if place is None:
                self._wrong(f"{uid} went back to {body!r}")
            else:
                self.places[uid] = place
            label = (self.replica.epoch, self.replica.resource(uid).revision)
            if label < self.labels.get(uid, label):
                self._wrong(f"{uid} went back from {self.labels[uid]} to {label}")
            self.labels[uid] = label

    def _wrong(self, what: str) -> None:
        raise PropertyError(f"{self.world}: {self.name} {what}")

    def finish(self) -> None:
        """Put into force what has taken its time by now."""
        while self.applying and self.applying[0][0] <= self.world.now:
            _, action = self.applying.popleft()
            refusals = [r for uid in action.uids if (r := self._put(uid)) is not None]
            self.subscriber.applied(action.batch, self.now, refusals)
            self.flush()

    def _put(self, uid: str) -> Refusal | None:
        entry = self.replica.entries.get(uid)
        self.refused.pop(uid, None)
        if entry is None:
            self.in_force.pop(uid, None)
            self.wanted.discard(uid)
            return None
        if self.world.is_bad(entry.body):
            self.refused[uid] = entry.body
            return Refusal(uid, entry.revision, "bad")
        self.in_force[uid] = entry.body
        return None

    def tick(self) -> None:
        super().tick()
        self.finish()
