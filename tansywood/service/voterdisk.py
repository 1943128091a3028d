"""The disk of an instance that votes on leases: opened, written and put aside, in its own thread.

A disk that fails ends the voter as a crash would; it is tried again each second.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from pathlib import Path

from tansywood.lease.client import LeaseClient
from tansywood.lease.disk import DiskContents, DiskError, load
from tansywood.service.endpoint import Clock
from tansywood.store import Batch, Store, StoreError
from tansywood.store.aio import AsyncStore

DISK_AGAIN_S = 1.0  # between two tries of a disk that failed


class VoterDisk:
    """One folder, and the voter that goes by it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        client: LeaseClient,
        folder: Path,
        flush: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        """`flush` does what the client asks for after each change of its voter."""
        self.folder = folder
        self.store: AsyncStore | None = None  # while it can be written
        self._loop = loop
        self._clock = clock
        self._client = client
        self._flush = flush
        self._log = log
        self._closing = False

    async def open(self) -> None:
        """The disk, now or once it can be used."""
        while not self._closing:
            try:
                kept, self.store = await self._open()
            except (OSError, StoreError, DiskError, ValueError) as err:
                if self._client.voter_down_reason != str(err):
                    self._client.stop_voter(self._clock.now(), str(err))
                    self._flush()
                await asyncio.sleep(DISK_AGAIN_S)
                continue
            self._client.start_voter(self._clock.now(), kept)
            self._flush()
            return

    async def _open(self) -> tuple[DiskContents, AsyncStore]:
        def read() -> tuple[DiskContents, Store]:
            store = Store.open(self.folder)
            try:
                kept = load(store)
                if kept is None:
                    kept = DiskContents(f"{self._client.name}/{os.urandom(4).hex()}")
                return kept, store
            except BaseException:
                store.close()
                raise

        kept, store = await self._loop.run_in_executor(None, read)
        return kept, AsyncStore(store)

    async def write(self, batch: Batch) -> None:
        """One batch of the voter, synced."""
        voter, store = self._client.voter, self.store
        assert voter is not None and store is not None
        try:
            await store.durable(batch)
        except (OSError, StoreError) as err:
            # Nothing that stood behind it was said. It is as if we had crashed before.
            if self._client.voter is voter:
                self._client.stop_voter(self._clock.now(), f"{self.folder}: {err}")
                self.store = None
                self._flush()
                with contextlib.suppress(OSError, StoreError):
                    await store.close()
                await asyncio.sleep(DISK_AGAIN_S)
                await self.open()
            return
        voter.complete_write()
        self._client.flush(self._clock.now())
        self._flush()

    async def begin_anew(self, why: str) -> None:
        """Our disk is put aside, and we are another voter."""
        store, voter = self.store, self._client.voter
        assert store is not None and voter is not None
        self._client.stop_voter(self._clock.now(), f"{why}: put aside")
        self.store = None
        with contextlib.suppress(OSError, StoreError):
            await store.close()
        number = 0
        while (aside := self.folder.with_name(f"{self.folder.name}-aside-{number}")).exists():
            number += 1
        try:
            self.folder.rename(aside)
        except OSError as err:
            self._client.stop_voter(self._clock.now(), f"{self.folder}: can't be put aside: {err}")
            return
        self._log(f"lease: {self.folder} is now {aside}: look why, then remove it")
        await self.open()

    def stop_opening(self) -> None:
        """A disk that fails is not tried again."""
        self._closing = True

    async def close(self) -> None:
        """What is written lies on it."""
        if self.store is not None:
            with contextlib.suppress(OSError, StoreError):
                await self.store.close()
