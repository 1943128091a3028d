"""A tenant's store behind ISO 8583's records: what has to outlast a process, in one folder each.

Whoever has the tenant opens it; the store's lock keeps a second worker out, and ends with the
process that held it.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Callable
from pathlib import Path

from tansywood.iso8583.records import KINDS, Row
from tansywood.store import Batch, Store, StoreError
from tansywood.store.aio import AsyncStore

SECRET = b"secret"  # of the identities' digests; it never leaves the store
TRIES = 60
AGAIN_S = 0.05  # between two tries: the one that had it may be ending


class StoreRecords:
    """The Records port over a store. A failure is told once and logged."""

    def __init__(self, face: AsyncStore, log: Callable[[str], None]) -> None:
        self.face = face
        self.log = log
        self._tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def open(cls, path: Path, log: Callable[[str], None]) -> StoreRecords:
        """Open or create it, off the loop. StoreError or OSError where that fails for good."""
        loop = asyncio.get_running_loop()
        path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
        for left in range(TRIES, 0, -1):
            try:
                store = await loop.run_in_executor(None, Store.open, str(path))
                break
            except (StoreError, OSError):
                if left == 1:
                    raise
                await asyncio.sleep(AGAIN_S)
        return cls(AsyncStore(store), log)

    async def secret(self) -> bytes:
        """The same for as long as the store lasts; made by its first opening."""
        found = self.face.get(SECRET)
        if found is None:
            found = secrets.token_bytes(32)
            await self.face.durable(Batch().put(SECRET, found))
        return found

    def rows(self) -> list[Row]:
        """All that is kept."""
        found = []
        for kind in KINDS:
            prefix = kind.encode() + b"/"
            for key, value in self.face.store.scan(prefix, prefix[:-1] + b"0"):
                found.append(Row(kind, key[len(prefix) :].decode(), json.loads(value)))
        return found

    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        batch = Batch()
        for kind, key, record in rows:
            name = f"{kind}/{key}".encode()
            if record is None:
                batch.delete(name)
            else:
                batch.put(name, json.dumps(record, separators=(",", ":")).encode())
        task = asyncio.get_running_loop().create_task(self._write(batch, then))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, batch: Batch, then: Callable[[bool], None] | None) -> None:
        try:
            if then is None:
                await self.face.write(batch)
            else:
                await self.face.durable(batch)
        except (StoreError, OSError) as err:
            self.log(f"records not kept: {err}")
            if then is not None:
                then(False)
            return
        if then is not None:
            then(True)

    async def close(self) -> None:
        """What waits is written first."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.face.close()
