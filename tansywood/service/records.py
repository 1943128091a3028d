"""A tenant's store behind ISO 8583's records: what has to outlast a process, in one folder each.

Whoever has the tenant opens it; the store's lock keeps a second worker out, and ends with the
process that held it. A debt holds an account number, so each record is sealed (AES-256-GCM, NIST SP
800-38D) under a key in a file beside the stores: a copy of a store alone tells nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from tansywood.iso8583.records import KINDS, Row
from tansywood.store import Batch, Store, StoreError
from tansywood.store.aio import AsyncStore

SECRET = b"secret"  # of the identities' digests; it never leaves the store
KEY_FILE = "key"  # in the folder of all tenants' stores; no tenant's uid is this
KEY_BYTES = 32
NONCE = 12  # random: SP 800-38D allows 2^32 of them under one key
TRIES = 60
LAZY_S = 0.02  # that what nobody waits for may wait
AGAIN_S = 0.05  # between two tries: the one that had it may be ending


class SealError(ValueError):
    """A record that this key did not seal, or that was changed or moved."""


def key_of(folder: Path) -> bytes:
    """The service's key; made once, whichever process is first. ValueError where it is no key."""
    path = folder / KEY_FILE
    fresh = folder / f".{KEY_FILE}.{os.getpid()}"
    if not path.exists():
        fresh.touch(mode=0o600)
        fresh.write_bytes(secrets.token_bytes(KEY_BYTES))
        with contextlib.suppress(FileExistsError):
            os.link(fresh, path)  # whole, or not there
        fresh.unlink()
    key = path.read_bytes()
    if len(key) != KEY_BYTES:
        raise ValueError(
            f"{path} has {len(key)} bytes, a key has {KEY_BYTES}: put the right one back"
        )
    return key


class Seal:
    """Values under the name they stand at: one put under another's name does not open."""

    def __init__(self, key: bytes) -> None:
        self._cipher = AESGCM(key)

    def close(self, name: bytes, value: bytes) -> bytes:
        nonce = secrets.token_bytes(NONCE)
        return nonce + self._cipher.encrypt(nonce, value, name)

    def open(self, name: bytes, sealed: bytes) -> bytes:
        """SealError where it can't be."""
        try:
            return self._cipher.decrypt(sealed[:NONCE], sealed[NONCE:], name)
        except (InvalidTag, ValueError):
            raise SealError(f"record {name[:20]!r} is sealed under another key") from None


class StoreRecords:
    """The Records port over a store. A failure is told once and logged."""

    def __init__(self, face: AsyncStore, seal: Seal, log: Callable[[str], None]) -> None:
        self.face = face
        self.seal = seal
        self.log = log
        self._rows: dict[str, dict[str, Any] | None] = {}  # the last word on each
        self._told: list[Callable[[bool], None]] = []  # who waits for them
        self._lazy: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def open(cls, path: Path, log: Callable[[str], None]) -> StoreRecords:
        """Open or create it, off the loop. StoreError, OSError or ValueError where that fails
        for good."""
        loop = asyncio.get_running_loop()
        path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
        seal = Seal(key_of(path.parent))
        for left in range(TRIES, 0, -1):
            try:
                store = await loop.run_in_executor(None, Store.open, str(path))
                break
            except (StoreError, OSError):
                if left == 1:
                    raise
                await asyncio.sleep(AGAIN_S)
        return cls(AsyncStore(store), seal, log)

    async def secret(self) -> bytes:
        """The same for as long as the store lasts; made by its first opening."""
        found = self.face.get(SECRET)
        if found is not None:
            return self.seal.open(SECRET, found)
        made = secrets.token_bytes(32)
        await self.face.durable(Batch().put(SECRET, self.seal.close(SECRET, made)))
        return made

    def rows(self) -> list[Row]:
        """All that is kept."""
        found = []
        for kind in KINDS:
            prefix = kind.encode() + b"/"
            for key, value in self.face.store.scan(prefix, prefix[:-1] + b"0"):
                record = json.loads(self.seal.open(key, value))
                found.append(Row(kind, key[len(prefix) :].decode(), record))
        return found

    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        """What is asked for in one turn of the loop is one batch; what nobody waits for joins
        the next, or goes by itself a moment later."""
        loop = asyncio.get_running_loop()
        for kind, key, record in rows:
            self._rows[f"{kind}/{key}"] = record
        if then is not None:
            self._told.append(then)
            if len(self._told) == 1:
                loop.call_soon(self.flush)
        elif self._lazy is None:
            self._lazy = loop.call_later(LAZY_S, self.flush)

    def flush(self) -> None:
        rows, self._rows = self._rows, {}
        told, self._told = self._told, []
        if self._lazy is not None:
            self._lazy.cancel()
            self._lazy = None
        if not rows and not told:
            return
        batch = Batch()
        for text, record in rows.items():
            name = text.encode()
            if record is None:
                batch.delete(name)
            else:
                value = json.dumps(record, separators=(",", ":")).encode()
                batch.put(name, self.seal.close(name, value))
        task = asyncio.get_running_loop().create_task(self._write(batch, told))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, batch: Batch, told: list[Callable[[bool], None]]) -> None:
        kept = True
        try:
            if told:
                await self.face.durable(batch)
            else:
                await self.face.write(batch)
        except (StoreError, OSError) as err:
            self.log(f"records not kept: {err}")
            kept = False
        for then in told:
            then(kept)

    async def close(self) -> None:
        """What waits is written first."""
        self.flush()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.face.close()
