"""A simulated instance, which checks every state that it receives against the property."""

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
    """An instance: looks up tenants, applies or refuses their states, and unsubscribes."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.reset()

    def reset(self) -> None:
        """Start, or restart, with an empty replica."""
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
        self.subscribed: set[str] = set()  # found by a lookup, and not unsubscribed since
        self.use_count = 0  # counts answers and unsubscriptions
        self.last_answering_use: dict[str, int] = {}  # by alias
        self.last_unsubscribing_use: dict[str, int] = {}  # by uid
        self.indexes: dict[str, int] = {}
        self.labels: dict[str, tuple[Epoch, int]] = {}
        self.dials = []

    def look_up(self, aliases: Sequence[str]) -> None:
        number = self.subscriber.lookup(aliases, self.now)
        self.asked[number] = tuple(aliases)
        self.flush()

    def unsubscribe(self, uids: Sequence[str]) -> None:
        for uid in uids:
            self.in_force.pop(uid, None)
            self.refused.pop(uid, None)
        self.subscribed -= set(uids)
        self.use_count += 1
        self.last_unsubscribing_use.update(dict.fromkeys(uids, self.use_count))
        self.subscriber.unsubscribe(uids, self.now)
        self.flush()

    def may_subscribe_to(self, uid: str) -> bool:
        """Whether a lookup that was open after the tenant was unsubscribed may have found it."""
        unsubscribed_at = self.last_unsubscribing_use.get(uid, 0)
        closed = (alias for alias, use in self.last_answering_use.items() if use > unsubscribed_at)
        asked = [alias for aliases in self.asked.values() for alias in aliases]
        return uid in self.subscribed or uid in self.world.owners_of([*closed, *asked])

    def handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self._check_applied(action.uids)
            self.applying.append((self.world.now + self.world.apply_duration(), action))
        elif isinstance(action, Answer):
            self.use_count += 1
            self.last_answering_use.update(
                dict.fromkeys(self.asked.pop(action.question), self.use_count)
            )
            if action.uids is not None:
                self.world.counts["answers"] += 1
                self.subscribed |= {uid for uid in action.uids if uid in self.replica.entries}

    def _check_applied(self, uids: Iterable[str]) -> None:
        """Check the property: no state is older than the last, and none comes without a lookup."""
        for uid in uids:
            entry = self.replica.entries.get(uid)
            body = entry.body if entry is not None else None
            if entry is not None and not self.may_subscribe_to(uid):
                self._fail(f"received {uid}, which it does not subscribe to")
            index = self.world.oracle.next_index(uid, self.indexes.get(uid, 0), body)
            if index is None:
                self._fail(f"{uid} went back to {body!r}")
            else:
                self.indexes[uid] = index
            label = (self.replica.epoch, self.replica.resource(uid).revision)
            if label < self.labels.get(uid, label):
                self._fail(f"{uid} went back from {self.labels[uid]} to {label}")
            self.labels[uid] = label

    def _fail(self, problem: str) -> None:
        raise PropertyError(f"{self.world}: {self.name} {problem}")

    def finish(self) -> None:
        """Apply the states whose apply time is over."""
        while self.applying and self.applying[0][0] <= self.world.now:
            _, action = self.applying.popleft()
            refusals = [r for uid in action.uids if (r := self._apply_resource(uid)) is not None]
            self.subscriber.applied(action.batch, self.now, refusals)
            self.flush()

    def _apply_resource(self, uid: str) -> Refusal | None:
        entry = self.replica.entries.get(uid)
        self.refused.pop(uid, None)
        if entry is None:
            self.in_force.pop(uid, None)
            self.subscribed.discard(uid)
            return None
        if self.world.is_refused(entry.body):
            self.refused[uid] = entry.body
            return Refusal(uid, entry.revision, "bad")
        self.in_force[uid] = entry.body
        return None

    def tick(self) -> None:
        super().tick()
        self.finish()
