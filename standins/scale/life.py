"""One start of a hollow node, until it ends: the product's Subscriber and SubscriberClient.

It asks for its tenants by their hosts, as a node does when their first requests come, and puts into
force at once. Callers go on to name the host of a tenant that is not there, or not any more: so it
is asked for again once a node would, Parameters.unknown_alias_ttl_ns after the last answer.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from itertools import chain
from random import Random
from typing import BinaryIO

import msgspec

from standins.scale.links import NodeLinks
from standins.scale.places import Delays
from standins.scale.plan import NodePlan, host_of, tenant_of, uid_of
from standins.scale.records import ABSENT, Applied, generation_of
from standins.scale.sizes import FLEET
from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import Changes, Kind, Message, Welcome, alias_of_host
from tansywood.distribution.parameters import SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.stream import Keys
from tansywood.distribution.subscriber import Action, Answer, Apply, Subscriber

ALIASES_MOST = 8  # of one lookup
FROM_THE_START = len(uid_of(0))  # characters of such a uid, which tells the tenant by itself


class _Document(msgspec.Struct):
    name: str


class _View(msgspec.Struct):
    """What is read of a tenant's view here."""

    document: _Document


@dataclass(frozen=True, slots=True)
class World:
    """What all nodes of a process share."""

    addresses: tuple[str, ...]  # of the distributors, by number
    keys: Keys
    parameters: Parameters
    delays: Delays
    random: Random
    applied: BinaryIO


class Life:
    """One start of a node, with nothing held before it."""

    def __init__(self, node: NodePlan, links: NodeLinks, world: World) -> None:
        self._node = node
        self._world = world
        self._questions: dict[int, tuple[int, list[int]]] = {}  # when, and after which tenants
        self._unasked = list(node.tenants)
        self._nobodys: dict[int, int] = {}  # tenants that were not there when last asked for then
        self._created: dict[str, int] = {}  # tenants of this run, by uid
        self._stopped = False
        self.replica = Replica(world.parameters.max_resumable_changes)
        subscriber = Subscriber(
            node.name,
            world.addresses,
            self.replica,
            world.parameters,
            Random(world.random.random()),
            time.monotonic_ns(),
        )
        self.client = SubscriberClient(
            subscriber, world.keys, FLEET, self._handle, self._overheard, links.dial
        )

    def complete(self, since: int) -> bool:
        """Whether each tenant is held, or was asked for and not there at `since` or later."""
        asked = chain(self._unasked, *(tenants for _, tenants in self._questions.values()))
        return all(tenant in self._nobodys for tenant in asked) and all(
            at >= since for at in self._nobodys.values()
        )

    def stop(self) -> None:
        self._stopped = True
        self.client.stop()

    def tenant_of_uid(self, uid: str) -> int:
        """Which tenant this is, or was while it was held."""
        return tenant_of(uid) if len(uid) == FROM_THE_START else self._created[uid]

    # ---- questions -------------------------------------------------------------------------

    def _overheard(self, message: Message) -> None:
        if isinstance(message, Welcome):
            self._ask_unasked()
        elif isinstance(message, Changes):
            self._confirm([r.uid for r in message.resources if r.kind is Kind.UNCHANGED])

    def _ask_unasked(self) -> None:
        unasked, self._unasked = self._unasked, []
        self._ask(unasked)

    def _ask(self, tenants: list[int]) -> None:
        if self._stopped:
            return
        if not self.client.connected:
            self._unasked += tenants
            return
        now = time.monotonic_ns()
        for start in range(0, len(tenants), ALIASES_MOST):
            some = tenants[start : start + ALIASES_MOST]
            question = self.client.lookup([alias_of_host(host_of(tenant)) for tenant in some])
            self._questions[question] = now, some

    def _answered(self, answer: Answer) -> None:
        asked_at, asked = self._questions.pop(answer.question)
        if answer.uids is None:
            self._ask(asked)
            return
        nobodys = []
        for tenant, uid in zip(asked, answer.uids, strict=True):
            self._nobodys.pop(tenant, None)
            if not uid:
                nobodys.append(tenant)
                self._nobodys[tenant] = asked_at
                self._write(tenant, 0, ABSENT)
        if nobodys:
            wait = self._world.parameters.unknown_alias_ttl_ns / SECOND
            asyncio.get_running_loop().call_later(wait, self._ask, nobodys)

    # ---- what is put into force ------------------------------------------------------------

    def _handle(self, action: Action) -> None:
        if isinstance(action, Apply):
            self._apply(action)
        elif isinstance(action, Answer):
            self._answered(action)

    def _apply(self, action: Apply) -> None:
        removed = []
        for uid in action.uids:
            entry = self.replica.entries.get(uid)
            if entry is not None and len(uid) != FROM_THE_START and uid not in self._created:
                view = msgspec.json.decode(entry.body, type=_View)
                self._created[uid] = tenant_of(view.document.name)
            if entry is None and len(uid) != FROM_THE_START and uid not in self._created:
                continue  # it went before it was ever in force here
            tenant = self.tenant_of_uid(uid)
            self._write(tenant, generation_of(uid), self.replica.resource(uid).revision)
            if entry is None:
                removed.append(tenant)
        self.client.applied(action.batch)
        if removed:
            self._unasked += removed
            asyncio.get_running_loop().call_soon(self._ask_unasked)

    def _confirm(self, uids: list[str]) -> None:
        """What is in force was found to be the state of a later revision, as where a key was issued
        and revoked: nothing is put into force for it."""
        for uid in uids:
            entry = self.replica.entries.get(uid)
            if entry is not None:
                self._write(self.tenant_of_uid(uid), generation_of(uid), entry.revision)

    def _write(self, tenant: int, generation: int, revision: int) -> None:
        now = time.monotonic_ns()
        row = Applied(now, self._node.number, tenant, generation, revision)
        self._world.applied.write(row.pack())
