"""The administration as the publisher: each durable change of a tenant goes to the distributors.

Every start begins another epoch, durable before anybody is told of it, whose parent is where the
store stands: whoever followed up to there goes on, and what a restored or lost disk has forgotten
is found out by a comparison. Revisions are the registry's sequence numbers.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from tansywood.distribution.messages import (
    EPOCH_BYTES,
    Epoch,
    Hello,
    Message,
    Position,
    Resource,
    Rollouts,
)
from tansywood.distribution.parameters import Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.resources import ViewError, encode
from tansywood.distribution.rollout import RolloutSummary, RolloutTracker
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Session, Source
from tansywood.distribution.stream import Keys
from tansywood.store import Batch
from tansywood.store.aio import AsyncStore
from tansywood.tenancy.registry import Registry

EPOCH_KEY = b"meta/epoch"
CHANGES_KEPT = 20_000  # of which it is known whose they were


@dataclass(frozen=True, slots=True)
class History:
    """The epoch of this start, and where it goes on from."""

    epoch: Epoch
    parent: Position


async def begin_epoch(store: AsyncStore, revision: int, now_ms: int) -> History:
    """Another epoch than any before on this disk, durable by the return.

    Its number is the time, so that it is later than those of a disk that was lost as well.
    """
    kept = store.get(EPOCH_KEY)
    before = msgspec.json.decode(kept, type=Epoch) if kept is not None else Epoch()
    epoch = Epoch(max(before.number + 1, now_ms), secrets.token_bytes(EPOCH_BYTES))
    await store.durable(Batch().put(EPOCH_KEY, msgspec.json.encode(epoch)))
    return History(epoch, Position(before, revision))


def resources_of(registry: Registry) -> Iterator[Resource]:
    """All tenants, each at the revision of its last change."""
    latest = {uid: revision for revision, uid in _changes_of(registry)}
    for uid, tenant in registry.tenants.items():
        yield encode(uid, latest.get(uid, tenant.seq), registry.view(uid))


def replica_of(registry: Registry, history: History, window: int) -> Replica:
    """What the publisher serves at its start: the trail tells of the changes before it."""
    replica = Replica(window, history.epoch, registry.seq)
    replica.begin_epoch(history.epoch, history.parent)
    replica.load(resources_of(registry))
    changes = _changes_of(registry)
    replica.set_resumable_from(changes[0][0] - 1 if changes else registry.seq)
    for revision, uid in changes:
        replica.record_change(revision, uid)
    return replica


def _changes_of(registry: Registry) -> list[tuple[int, str]]:
    return [(entry["seq"], entry["tenant"]) for entry in registry.audit if entry["tenant"]]


class Publisher:
    """The registry's tenants as a source for distributors."""

    def __init__(
        self, replica: Replica, keys: Keys, fleet: str, parameters: Parameters | None = None
    ) -> None:
        self.replica = replica
        self.source = Source(
            replica, parameters or Parameters(), time.monotonic_ns(), is_publisher=True
        )
        self.server = SourceServer(self.source, keys, fleet, self._overheard, self._gone, self._log)
        self.board = RolloutTracker()
        self.oversize = 0
        self._uids: OrderedDict[int, str] = OrderedDict()  # whose a change was
        self._moved = asyncio.Event()
        self._warned: Position | None = None

    async def start(self, address: str) -> str:
        """Listen for distributors at IPv4:port; returns it with the port that was free where 0 was
        asked for. OSError where the address can't be had."""
        return await self.server.listen(address)

    def stop(self) -> None:
        self.server.stop()

    def publish(self, revision: int, uid: str, view: dict[str, Any] | None) -> None:
        """A change that is durable."""
        try:
            resource = encode(uid, revision, view)
        except ViewError as err:
            self.oversize += 1
            self._log(f"not distributed: {err}: make its document smaller")
            return
        self.replica.commit(resource)
        self._uids[revision] = uid
        if len(self._uids) > CHANGES_KEPT:
            self._uids.popitem(last=False)
        self.source.changed(uid, revision, time.monotonic_ns())
        self.server.flush()

    def advance(self, revision: int) -> None:
        """A change that is durable and is no tenant's."""
        self.replica.advance(revision)

    # ---- how far a change has come ---------------------------------------------------------

    def summary(self, revision: int) -> RolloutSummary | None:
        """Of a recent change; None where it is not known any more, or was no tenant's."""
        uid = self._uids.get(revision)
        return self.board.summary(uid, revision) if uid is not None else None

    def summary_of(self, uid: str) -> RolloutSummary:
        """Of a tenant's last change."""
        return self.board.summary(uid, self.replica.resource(uid).revision)

    async def in_force(self, revision: int, seconds: float) -> bool:
        """Whether nobody is known to lack a change, waiting so long for it."""
        try:
            async with asyncio.timeout(seconds):
                while not self._complete(revision):
                    await self._moved.wait()
        except TimeoutError:
            return False
        return True

    def _complete(self, revision: int) -> bool:
        summary = self.summary(revision)
        return summary is None or summary.complete

    def status(self) -> dict[str, Any]:
        """For operators: the history, who follows, and what was refused."""
        received, sent = self.server.totals()
        return {
            "epoch": self.replica.epoch.number,
            "revision": self.replica.revision,
            "distributors": [
                {"name": s.name, "applied": s.applied, "waiting": len(s.pending)}
                for s in self.source.sessions.values()
                if s.welcomed
            ],
            "refused": dict(self.server.refused) | {"oversize-view": self.oversize},
            "bytes": {"received": received, "sent": sent},
            "messages": {
                "received": self.source.messages_in,
                "sent": self.source.messages_out,
            },
        }

    # ---- what distributors say -------------------------------------------------------------

    def _overheard(self, session: Session, message: Message) -> None:
        if isinstance(message, Hello):
            self._greeted(session)
        elif isinstance(message, Rollouts):
            self.board.report(session.name, message.rows, message.revision)
            for distributor, names in self.board.instances_joined(
                session.name, message.joined
            ).items():
                self.source.send_moved(distributor, names)
        else:
            return
        self._wake()

    def _greeted(self, session: Session) -> None:
        if session.welcomed:
            self.board.connected(session.name)
        later = self.source.outdated_by
        if later is not None and later != self._warned:
            self._warned = later
            self._log(
                f"a distributor follows a later history (epoch {later.epoch.number}) than this "
                f"one ({self.replica.epoch.number}): stop whichever publisher is not to be, or "
                "set this machine's clock right and start it again"
            )

    def _gone(self, session: Session) -> None:
        if session.welcomed:
            self.board.disconnected(session.name)
            self._wake()

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()

    def _log(self, text: str) -> None:
        print(f"admin: {text}", file=sys.stderr, flush=True)
