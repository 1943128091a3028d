"""Changes as calls of the API: each kind's request, and what waits for what."""

from __future__ import annotations

import asyncio
import threading
from typing import Any, cast

import pytest
import uvloop

from standins.scale.calls import Caller, mark_of_entry
from standins.scale.changes import ChangeKind, PlannedChange
from standins.scale.plan import uid_of
from standins.service import Answer

LIMIT_S = 10.0  # a hang, not a measure


class Desk:
    """Stands for an operator: notes what is asked, and holds an answer until it is let go."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, str]] = []
        self.answers = threading.Semaphore(0)

    def must(self, method: str, path: str, body: object = None) -> Answer:
        self.asked.append((method, path))
        assert self.answers.acquire(timeout=LIMIT_S)
        if path == "/v1/tenants/t0000009":
            raise RuntimeError("refused")
        return Answer(200, {"etag": '"000001.2"'}, {"id": "key000000001"})


async def until_asked(desk: Desk, count: int) -> None:
    async with asyncio.timeout(LIMIT_S):
        while len(desk.asked) < count:
            await asyncio.sleep(0.005)


def caller_of(desk: Desk) -> Caller:
    return Caller(cast(Any, desk), 1)


def planned(tenant: int, kind: ChangeKind) -> PlannedChange:
    return PlannedChange(0.0, tenant, kind)


def test_what_needs_an_earlier_change_waits_for_its_answer() -> None:
    async def story() -> None:
        desk = Desk()
        caller = caller_of(desk)
        kinds = (ChangeKind.DELETE, ChangeKind.RECREATE, ChangeKind.CHANGE)
        tasks = [asyncio.create_task(caller.make(planned(1, kind))) for kind in kinds]
        other = asyncio.create_task(caller.make(planned(2, ChangeKind.CHANGE)))
        await until_asked(desk, 2)
        await asyncio.sleep(0.05)
        path, tenants = f"/v1/tenants/{uid_of(1)}", "/v1/tenants"
        assert sorted(desk.asked) == [("DELETE", path), ("PATCH", f"/v1/tenants/{uid_of(2)}")]
        desk.answers.release(4)
        await asyncio.gather(*tasks, other)
        assert desk.asked[2:] == [("POST", tenants), ("PATCH", path)]
        caller.close()

    uvloop.run(story())


def test_the_key_that_was_issued_is_revoked() -> None:
    async def story() -> None:
        desk = Desk()
        desk.answers.release(2)
        caller = caller_of(desk)
        for kind in (ChangeKind.ISSUE, ChangeKind.REVOKE):
            await caller.make(planned(1, kind))
        path = f"/v1/tenants/{uid_of(1)}/keys"
        assert desk.asked == [("POST", path), ("DELETE", f"{path}/key000000001")]
        assert [call.mark for call in caller.calls] == [
            ("issue", "key000000001"),
            ("revoke", "key000000001"),
        ]
        caller.close()

    uvloop.run(story())


def test_document_changes_of_one_tenant_are_made_at_once() -> None:
    async def story() -> None:
        desk = Desk()
        caller = caller_of(desk)
        change = planned(1, ChangeKind.CHANGE)
        tasks = [asyncio.create_task(caller.make(change)) for _ in range(5)]
        await until_asked(desk, 5)
        desk.answers.release(5)
        await asyncio.gather(*tasks)
        assert all(call.ended > call.began for call in caller.calls)
        caller.close()

    uvloop.run(story())


def test_a_refusal_ends_the_run() -> None:
    async def story() -> None:
        desk = Desk()
        desk.answers.release(1)
        caller = caller_of(desk)
        with pytest.raises(RuntimeError, match="refused"):
            await caller.make(planned(9, ChangeKind.DELETE))
        caller.close()

    uvloop.run(story())


@pytest.mark.parametrize(
    ("what", "detail", "mark"),
    [
        ("change", {"version": 3}, ("version", '"000001.3"')),
        ("create", {"version": 1}, ("version", '"000001.1"')),
        ("delete", {"version": 4}, ("delete", "t0000001")),
        ("issue a key for a caller", {"key": "k1"}, ("issue", "k1")),
        ("revoke a key", {"key": "k1"}, ("revoke", "k1")),
    ],
)
def test_entries_of_the_trail_have_the_marks_of_their_calls(
    what: str, detail: dict[str, object], mark: tuple[str, ...]
) -> None:
    entry = {"what": what, "detail": detail, "tenant": "t0000001", "name": "t0000001"}
    assert mark_of_entry(entry) == mark
