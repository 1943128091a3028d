"""The administration's one way to change anything: check, make durable, apply, tell.

Commands run one at a time. A change is written before it is applied, and applied before it is
told; a version is reported only when it is durable. A process that dies between any two of
these steps finds on its next start what it had written, and tells the traffic side of all of
it: whatever was not durable had not been told to anybody.
"""

from __future__ import annotations

import asyncio
import secrets
import string
import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from tansywood.admin.feed import Feed
from tansywood.service.part import unix_ms
from tansywood.store import Batch, StoreError, StoreFull
from tansywood.store.aio import AsyncStore
from tansywood.tenancy.identity import digest
from tansywood.tenancy.limits import Bucket
from tansywood.tenancy.registry import Actor, Change, Refused, Registry

if TYPE_CHECKING:
    from tansywood.admin.publisher import Publisher  # loaded only where it publishes

LETTERS = string.ascii_lowercase + string.digits
UNDO_S = 0.1
IN_FORCE_S = 0.5
ACTORS = 1000  # of which rates are kept


def new_id() -> str:
    return "".join(secrets.choice(LETTERS) for _ in range(12))


def new_secret() -> str:
    return secrets.token_urlsafe(32)


class Administration:
    """The registry with its store and its feed."""

    def __init__(
        self,
        store: AsyncStore,
        feed_path: str,
        listeners: Iterable[str],
        rate_per_s: float,
        clock_ms: Callable[[], int] = unix_ms,
        iso_listeners: Iterable[str] = (),
    ) -> None:
        self.store = store
        self.clock_ms = clock_ms
        self.stopping = False  # long polls end
        self.description: dict[str, object] = {}
        self.registry = Registry.load(
            store.store.scan(), frozenset(listeners), frozenset(iso_listeners)
        )
        self.feed = Feed(feed_path, self.views)
        self.feed.seq = self.registry.seq
        self.rate_per_s = rate_per_s
        self.publisher: Publisher | None = None  # where other machines go by this registry
        self.failed = asyncio.Event()  # the store takes nothing any more
        self._one = asyncio.Lock()
        self._changed = asyncio.Event()
        self._rates: dict[str, Bucket] = {}

    def views(self) -> dict[str, dict[str, object]]:
        registry = self.registry
        return {uid: view for uid in registry.tenants if (view := registry.view(uid)) is not None}

    async def do(self, command: Callable[[Registry], Change]) -> Change:
        """Run a command; Refused where it can't be done, StoreError where it can't be kept."""
        async with self._one:
            change = command(self.registry)
            if not change.puts:
                return change  # a dry run, or the repeat of what was done
            batch = Batch()
            for key, value in change.puts.items():
                if value is None:
                    batch.delete(key)
                else:
                    batch.put(key, value)
            try:
                await self.store.durable(batch)
            except StoreFull:
                raise Refused("unavailable", "No room to keep it: nothing changed.") from None
            except StoreError as err:
                # It may be there or not, and nobody was told of it. Only reopening tells, so
                # this process ends and its supervisor starts another.
                self.failed.set()
                print(f"admin: {err}", file=sys.stderr, flush=True)
                raise Refused("unavailable", "It could not be kept: read it again.") from None
            self.registry.apply(change)
            self._tell(change)
            self._changed.set()
            self._changed = asyncio.Event()
            return change

    def _tell(self, change: Change) -> None:
        """Whoever follows is told of a change that is durable and applied."""
        view = self.registry.view(change.uid) if change.uid else None
        if change.uid:
            self.feed.publish(change.seq, change.uid, view)
        if self.publisher is None:
            return
        if change.uid:
            self.publisher.publish(change.seq, change.uid, view)
        else:
            self.publisher.advance(change.seq)

    async def in_force(self, change: Change) -> bool:
        """Whether the whole traffic side goes by it; False where some part is late."""
        if self.publisher is not None and not await self.publisher.in_force(change.seq, IN_FORCE_S):
            return False
        return await self.feed.in_force(min(change.seq, self.feed.seq), IN_FORCE_S)

    async def changed(self, seconds: float) -> None:
        """Until anything has changed, so long at most."""
        event = self._changed
        try:
            await asyncio.wait_for(event.wait(), seconds)
        except TimeoutError:
            return

    async def undo_what_is_due(self) -> None:
        for tenant in self.registry.due(self.clock_ms()):
            uid = tenant.uid

            def command(registry: Registry, uid: str = uid) -> Change:
                current = registry.tenants[uid]
                if not current.undo_ms:
                    return Change(registry.seq)  # confirmed meanwhile
                return registry.undo(current, self.clock_ms())

            await self.do(command)

    async def undo_for_ever(self) -> None:
        while True:
            await asyncio.sleep(UNDO_S)
            try:
                await self.undo_what_is_due()
            except Refused as err:
                print(f"admin: an undo waits: {err.text}", flush=True)

    async def first_key(self) -> str | None:
        """An operator's key where there is none at all; its token, told this once."""
        if any(key.role == "operator" for key in self.registry.keys.values()):
            return None
        actor = Actor("", "operator", "", self.clock_ms())
        change = await self.do(
            lambda r: r.issue(actor, None, "operator", "first", new_id(), new_secret())
        )
        return str(change.result)

    def rate(self, who: str, now_ns: int) -> int:
        """0 where one more call of a key or an address may pass, else how long to stay away."""
        bucket = self._rates.get(who)
        if bucket is None:
            if len(self._rates) >= ACTORS:
                del self._rates[next(iter(self._rates))]
            bucket = self._rates[who] = Bucket(now_ns, self.rate_per_s, 2 * self.rate_per_s)
            bucket.fill()
        return bucket.take(now_ns)


__all__ = ["Administration", "digest", "new_id", "new_secret"]
