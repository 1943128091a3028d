"""An administration over a disk in memory, its API called without sockets."""

from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import httpx

from standins.disk import Disk
from tansywood.admin.api import Api
from tansywood.admin.core import Administration
from tansywood.store import Store
from tansywood.store.aio import AsyncStore

from ..tenancy.documents import document


class Clock:
    def __init__(self) -> None:
        self.ms = 1_800_000_000_000

    def __call__(self) -> int:
        return self.ms


class Desk:
    """Who calls the API in a test."""

    def __init__(self, admin: Administration, clock: Clock) -> None:
        self.admin = admin
        self.clock = clock
        self.api = Api(admin, b"secret")
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app=self.api, raise_app_exceptions=False),
            base_url="http://admin",
        )
        self.operator = ""

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str | None = None,
        match: str = "",
        content: bytes | None = None,
        **headers: str,
    ) -> httpx.Response:
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        shown = self.operator if token is None else token
        if shown:
            sent["Authorization"] = f"Bearer {shown}"
        if match:
            sent["If-Match"] = match
        if body is not None:
            content = json.dumps(body).encode()
        if content is not None:
            sent.setdefault("Content-Type", "application/json")
        return await self.client.request(method, path, content=content, headers=sent)

    async def must(self, method: str, path: str, body: object = None, **more: Any) -> Any:
        more.setdefault("match", "*")
        response = await self.call(method, path, body, **more)
        assert response.status_code < 300, response.text
        return response.json() if response.content else None

    async def key(self, tenant: str, role: str) -> str:
        made = await self.must("POST", f"/v1/tenants/{tenant}/keys", {"role": role})
        return str(made["token"])


@contextlib.asynccontextmanager
async def desk(folder: Path, disk: Disk | None = None) -> AsyncIterator[Desk]:
    disk = disk or Disk()
    clock = Clock()
    async with AsyncStore(Store.open(files=disk)) as face:
        admin = Administration(face, str(folder / "feed.sock"), ["public"], 1e6, clock)
        d = Desk(admin, clock)
        d.operator = await admin.first_key() or ""
        yield d
        await d.client.aclose()


__all__ = ["Desk", "Disk", "desk", "document"]
