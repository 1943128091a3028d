"""Operations that read what happened: reports, the trail, the process's state, rollouts."""

from __future__ import annotations

import time
from typing import Any

from starlette.responses import Response

from tansywood.admin.calls import PAGE, PAGE_MOST, WAIT_MOST_S, Call, whole_number
from tansywood.distribution.rollout import RolloutSummary
from tansywood.service.report import with_percentiles
from tansywood.tenancy.model import nothing
from tansywood.tenancy.registry import Refused

ELSEWHERE = (
    "Nodes count their own requests, and none of them is counted here: on each node ask "
    "python -m tansywood distribution report FILE TENANT"
)


async def report(call: Call) -> Response:
    """Requests of a tenant by class, as its workers counted them."""
    tenant = call.tenant()
    record = with_percentiles(call.admin.feed.report(tenant.uid))
    if call.admin.publisher is not None:
        record["note"] = ELSEWHERE
    return call.answer(record)


async def trail(call: Call) -> Response:
    """The audit trail, oldest first."""
    most = call.number("limit", PAGE, 1, PAGE_MOST)
    after = call.after()
    rows, reached = call.registry.trail(call.actor, int(after or 0), most)
    return call.page(rows, str(reached) if len(rows) == most else "")


async def changes_since(call: Call) -> Response:
    """A long poll: at once where there is news behind `after`, else when there is any."""
    after = call.number("after", 0, 0, 1 << 53)
    wait = call.number("wait_s", 0, 0, WAIT_MOST_S)
    end = time.monotonic() + wait
    while True:
        rows, reached = call.registry.trail(call.actor, after, PAGE_MOST)
        left = end - time.monotonic()
        if rows or left <= 0 or call.admin.stopping:
            return call.answer({"items": rows, "after": reached})
        await call.admin.changed(min(left, 1.0))


async def status(call: Call) -> Response:
    """What this process is at."""
    feed = call.admin.feed
    record: dict[str, object] = {
        "seq": call.registry.seq,
        "tenants": len(call.registry.tenants),
        "followers": {name: {"applied": n} for name, n in sorted(feed.applied.items())},
    }
    if feed.fleet is not None:
        record["fleet"] = feed.fleet
    if call.admin.publisher is not None:
        record["distribution"] = call.admin.publisher.status()
    return call.answer(record)


async def rollout(call: Call) -> Response:
    """How far a tenant's last change has come; who is behind is told operators alone."""
    tenant = call.tenant()
    publisher = call.admin.publisher
    if publisher is None:
        raise Refused("not-found", "This administration tells its own machine alone.")
    summary = publisher.summary_of(tenant.uid)
    return call.answer(_rollout(call, summary) | {"version": tenant.version})


async def rollout_of_change(call: Call) -> Response:
    """The same of any recent change, by its number in the trail."""
    number = whole_number(call.path("seq"), 15)
    publisher = call.admin.publisher
    summary = publisher.summary(number) if publisher is not None else None
    if summary is None:
        raise nothing()
    return call.answer(_rollout(call, summary))


def _rollout(call: Call, summary: RolloutSummary) -> dict[str, Any]:
    record: dict[str, Any] = {
        "complete": summary.complete,
        "nodes": {
            "have": summary.have,
            "waiting": summary.waiting,
            "refused": summary.refused,
        },
    }
    if call.actor.role == "operator":
        record["seq"] = summary.revision
        record["lagging"] = list(summary.lagging)
        record["refusing"] = [{"node": name, "why": why} for name, why in summary.refusing]
        record["distributors"] = {
            "have": summary.distributors_have,
            "waiting": list(summary.distributors_waiting),
        }
    return record


async def describe(call: Call) -> Response:
    """The API in the words of OpenAPI."""
    return call.answer(call.admin.description)
