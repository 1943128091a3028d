"""Changes as calls of the API, each at its time, and what the store's trail says of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from standins.scale.changes import ChangeKind, PlannedChange
from standins.scale.documents import document
from standins.scale.plan import uid_of
from standins.service import Answer, Operator

AT_ONCE = 64  # calls; the API holds each for up to half a second
RATE_PER_S = 100.0  # of a tenant's limits; a change raises it

Mark = tuple[str, ...]  # what tells a change in the trail


@dataclass(frozen=True, slots=True)
class Call:
    """One call that the API has answered."""

    change: PlannedChange
    began: int  # time.monotonic_ns()
    ended: int
    mark: Mark


def mark_of_entry(entry: Mapping[str, Any]) -> Mark:
    """Of an entry of the audit trail."""
    detail = entry["detail"]
    if "key" in detail:
        return "revoke" if entry["what"] == "revoke a key" else "issue", detail["key"]
    if entry["what"] == "delete":
        return "delete", entry["name"]
    return "version", f'"{entry["tenant"][-6:]}.{detail["version"]}"'


def _mark_of_answer(change: PlannedChange, answer: Answer, key: str) -> Mark:
    if change.kind is ChangeKind.DELETE:
        return "delete", uid_of(change.tenant)
    if change.kind is ChangeKind.ISSUE:
        return "issue", answer.body["id"]
    if change.kind is ChangeKind.REVOKE:
        return "revoke", key
    return "version", answer.headers["etag"]


class Caller:
    """Makes the calls. One that needs what another has made waits for its answer."""

    def __init__(self, operator: Operator, seed: int) -> None:
        self._operator = operator
        self._threads = ThreadPoolExecutor(AT_ONCE)
        self._random = Random(f"calls {seed}")
        self._last: dict[int, asyncio.Future[None]] = {}  # but for document changes, by tenant
        self._keys: dict[int, list[str]] = {}
        self._changes = 0
        self.calls: list[Call] = []

    def close(self) -> None:
        self._threads.shutdown(wait=False)

    async def make(self, change: PlannedChange) -> None:
        """RuntimeError with the problem where the API refuses it."""
        before = self._last.get(change.tenant)
        answered: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if change.kind is not ChangeKind.CHANGE:
            self._last[change.tenant] = answered
        if before is not None:
            await before
        await self._make(change)
        answered.set_result(None)

    async def _make(self, change: PlannedChange) -> None:
        keys = self._keys.setdefault(change.tenant, [])
        key = keys.pop() if change.kind is ChangeKind.REVOKE else ""
        method, path, body = self._request(change, key)

        def call() -> tuple[int, Answer, int]:
            began = time.monotonic_ns()
            answer = self._operator.must(method, path, body)
            return began, answer, time.monotonic_ns()

        began, answer, ended = await asyncio.get_running_loop().run_in_executor(self._threads, call)
        if change.kind is ChangeKind.ISSUE:
            keys.append(answer.body["id"])
        self.calls.append(Call(change, began, ended, _mark_of_answer(change, answer, key)))

    def _request(self, change: PlannedChange, key: str) -> tuple[str, str, object]:
        kind, name = change.kind, uid_of(change.tenant)
        path = f"/v1/tenants/{name}"
        if kind is ChangeKind.CHANGE:
            self._changes += 1
            return "PATCH", path, {"limits": {"rate_per_s": RATE_PER_S + self._changes}}
        if kind is ChangeKind.ISSUE:
            return "POST", f"{path}/keys", {"role": "caller"}
        if kind is ChangeKind.REVOKE:
            return "DELETE", f"{path}/keys/{key}", None
        if kind is ChangeKind.DELETE:
            return "DELETE", path, None
        return "POST", "/v1/tenants", document(change.tenant, self._random)

    async def status(self) -> dict[str, Any]:
        """What the API tells operators."""
        call = partial(self._operator.must, "GET", "/v1/status")
        answer = await asyncio.get_running_loop().run_in_executor(self._threads, call)
        told: dict[str, Any] = answer.body
        return told


def seconds(calls: Iterable[Call]) -> list[float]:
    """How long each took to be answered."""
    return [(call.ended - call.began) / 1e9 for call in calls]
