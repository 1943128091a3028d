"""The store beside an event loop: writes, syncs and compactions run on one thread of its own.

Whatever waits together is written together and shares one sync (group commit). Reads are the
store's own and go on in the loop: an index look-up and one read of a file that the system
mostly holds in memory.
"""

from __future__ import annotations

import asyncio
import threading
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Self

from tansywood.store.engine import Batch, Store
from tansywood.store.errors import StoreClosed

WAITING_MOST = 64 << 20  # bytes of batches that wait: beyond it writers wait for their turn
TOGETHER = 1024  # batches between two syncs


class _Item:
    """A batch on its way, or a call that needs the thread."""

    __slots__ = ("batch", "call", "done", "durable", "size")

    def __init__(
        self,
        done: asyncio.Future[int],
        batch: Batch | None,
        durable: bool,
        call: Callable[[], None] | None,
    ) -> None:
        self.done = done
        self.batch = batch
        self.durable = durable
        self.call = call
        self.size = 0
        if batch is not None:
            self.size = sum(len(op.key) + len(op.value or b"") + 64 for op in batch.ops)


class AsyncStore:
    """An asyncio face of an open Store, which it owns from here on."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self._loop = asyncio.get_running_loop()
        self._items: deque[_Item] = deque()
        self._there = threading.Condition()
        self._bytes = 0
        self._room = asyncio.Event()
        self._room.set()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def get(self, key: bytes) -> bytes | None:
        """See Store.get."""
        return self.store.get(key)

    async def write(self, batch: Batch) -> int:
        """In the log: see Store.write. Raises what it raises."""
        return await self._add(batch, False, None)

    async def durable(self, batch: Batch) -> int:
        """On the disk: see Store.write with `durable`."""
        return await self._add(batch, True, None)

    async def compact(self) -> None:
        """See Store.compact; writes that come meanwhile wait for its end."""
        await self._add(None, False, self.store.compact)

    async def _add(
        self, batch: Batch | None, durable: bool, call: Callable[[], None] | None
    ) -> int:
        while not self._room.is_set():
            await self._room.wait()
        if self._closing:
            raise StoreClosed("the store is closing")
        item = _Item(self._loop.create_future(), batch, durable, call)
        with self._there:
            self._items.append(item)
            self._bytes += item.size
            if self._bytes > WAITING_MOST:
                self._room.clear()
            self._there.notify()
        return await asyncio.shield(item.done)

    async def close(self) -> None:
        """Write what waits, then close the store; raises what Store.close raises."""
        if self._closing:
            return
        self._closing = True
        with self._there:
            self._there.notify()
        await self._loop.run_in_executor(None, self._thread.join)
        await self._loop.run_in_executor(None, self.store.close)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    # ---- the thread ---------------------------------------------------------

    def _run(self) -> None:
        while True:
            with self._there:
                while not self._items and not self._closing:
                    self._there.wait()
                if not self._items:
                    return
                count = min(len(self._items), TOGETHER)
                taken = [self._items.popleft() for _ in range(count)]
                self._bytes -= sum(item.size for item in taken)
            self._do(taken)

    def _do(self, taken: list[_Item]) -> None:
        ended: list[tuple[_Item, int, BaseException | None]] = []
        waiting: list[tuple[_Item, int]] = []
        for item in taken:
            try:
                if item.batch is None:
                    assert item.call is not None
                    item.call()
                    ended.append((item, 0, None))
                    continue
                sequence = self.store.write(item.batch)
            except BaseException as err:
                ended.append((item, 0, err))
                continue
            if item.durable:
                waiting.append((item, sequence))
            else:
                ended.append((item, sequence, None))
        if waiting:
            error: BaseException | None = None
            try:
                self.store.sync(waiting[-1][1])
            except BaseException as err:
                error = err
            ended += [(item, sequence, error) for item, sequence in waiting]
        self._loop.call_soon_threadsafe(self._tell, ended)

    def _tell(self, ended: list[tuple[_Item, int, BaseException | None]]) -> None:
        if self._bytes <= WAITING_MOST:
            self._room.set()
        for item, sequence, error in ended:
            if item.done.done():
                continue
            if error is not None:
                item.done.set_exception(error)
            else:
                item.done.set_result(sequence)
