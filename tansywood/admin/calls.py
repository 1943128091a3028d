"""One call of the API: who calls, about which tenant, with what; and what each operation does."""

from __future__ import annotations

import base64
import hmac
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from tansywood.admin.core import Administration, new_id, new_secret
from tansywood.distribution.rollout import Summary
from tansywood.service.report import with_percentiles
from tansywood.tenancy import changes, schema
from tansywood.tenancy.identity import Key
from tansywood.tenancy.registry import Actor, Change, Refused, Registry, Tenant

PAGE = 50
PAGE_MOST = 500
WAIT_MOST_S = 60
ELSEWHERE = (
    "Nodes count their own requests, and none of them is counted here: on each node ask "
    "python -m tansywood distribution report FILE TENANT"
)


@dataclass(frozen=True, slots=True)
class Param:
    """One of a call's parameters; `spec` is its JSON Schema."""

    name: str
    where: str  # path, query, header
    spec: dict[str, Any]
    required: bool = False
    text: str = ""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: route, description and handler."""

    method: str
    path: str
    name: str
    text: str
    handler: Callable[[Call], Awaitable[Response]]
    status: int = 200
    roles: tuple[str, ...] = ("operator", "admin", "viewer")
    params: tuple[Param, ...] = ()
    body: dict[str, Any] | None = None
    media: str = "application/json"
    problems: tuple[str, ...] = ()


class Cursors:
    """Places in a list, bound to a key and an operation, and not to be made up."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def _mark(self, key: str, operation: str, place: str) -> str:
        data = json.dumps([key, operation, place]).encode()
        return hmac.new(self._secret, data, sha256).hexdigest()[:24]

    def make(self, key: str, operation: str, place: str) -> str:
        text = f"{self._mark(key, operation, place)}{place}"
        return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")

    def read(self, key: str, operation: str, cursor: str) -> str:
        try:
            text = base64.urlsafe_b64decode(cursor + "=" * (-len(cursor) % 4)).decode()
        except ValueError:
            text = ""
        mark, place = text[:24], text[24:]
        if not hmac.compare_digest(mark.encode(), self._mark(key, operation, place).encode()):
            raise Refused("malformed", "This cursor is none of this call's.")
        return place


class Call:
    """One call: who, about which tenant, with what."""

    def __init__(
        self,
        admin: Administration,
        cursors: Cursors,
        operation: Operation,
        request: Request,
        key: Key,
        body: Any,
    ) -> None:
        self.admin = admin
        self.cursors = cursors
        self.registry: Registry = admin.registry
        self.operation = operation
        self.request = request
        self.body = body
        self.actor = Actor(key.id, key.role, key.tenant, admin.clock_ms())

    def tenant(self) -> Tenant:
        """The one that the path names; Refused alike where it is none or not the actor's."""
        return self.registry.find(self.request.path_params["tenant"], self.actor)

    def word(self, name: str) -> str:
        return str(self.request.path_params[name])

    @property
    def match(self) -> str:
        return str(self.request.headers.get("if-match", ""))

    def query(self, name: str, otherwise: str = "") -> str:
        return str(self.request.query_params.get(name, otherwise))

    def number(self, name: str, otherwise: int, least: int, most: int) -> int:
        text = self.query(name, str(otherwise))
        if (
            not (text.isascii() and text.isdigit() and len(text) <= 18)
            or not least <= int(text) <= most
        ):
            raise Refused("malformed", f"{name} goes from {least} to {most}.")
        return int(text)

    @property
    def dry(self) -> bool:
        text = self.query("dry_run", "false")
        if text not in ("true", "false"):
            raise Refused("malformed", "dry_run is true or false.")
        return text == "true"

    async def changed(self, command: Callable[[Registry], Change]) -> Change:
        return await self.admin.do(command)

    # ---- answers ----

    def answer(self, record: Any, etag: str = "", status: int = 0) -> Response:
        headers = {"ETag": etag} if etag else {}
        return Response(
            json.dumps(record),
            status_code=status or self.operation.status,
            media_type="application/json",
            headers=headers | {"Cache-Control": "no-store"},
        )

    def page(self, rows: list[Any], next_after: str) -> Response:
        record: dict[str, Any] = {"items": rows}
        if next_after:
            record["next"] = self.cursors.make(self.actor.key, self.operation.name, next_after)
        return self.answer(record)

    def after(self) -> str:
        text = self.query("cursor")
        return self.cursors.read(self.actor.key, self.operation.name, text) if text else ""

    async def told(self, change: Change, dry: bool = False, status: int = 0) -> Response:
        """The tenant after a change, and whether the traffic side goes by it yet."""
        after = change.after
        assert after is not None
        record = shown(after)
        if isinstance(change.result, dict):
            record |= change.result
        if dry:
            return self.answer(record | {"dry_run": True}, status=200)
        record["in_force"] = await self.admin.in_force(change)
        return self.answer(record, after.etag, status)


def shown(tenant: Tenant) -> dict[str, Any]:
    record: dict[str, Any] = {
        "name": tenant.name,
        "status": tenant.status,
        "version": tenant.version,
        "created_ms": tenant.created_ms,
        "changed_ms": tenant.changed_ms,
        "document": tenant.document,
    }
    if tenant.undo_ms:
        record["unconfirmed"] = {"undone_at_ms": tenant.undo_ms, "back_to": tenant.undo_to}
    return record


def shown_key(key: Key) -> dict[str, Any]:
    return {
        "id": key.id,
        "role": key.role,
        "label": key.label,
        "created_ms": key.created_ms,
        "expires_ms": key.expires_ms,
    }


# ---- tenants ----


async def list_tenants(call: Call) -> Response:
    most = call.number("limit", PAGE, 1, PAGE_MOST)
    after = call.after()
    names = [name for name in call.registry.visible(call.actor) if name > after]
    rows = [
        {
            k: v
            for k, v in shown(call.registry.tenants[call.registry.names[n]]).items()
            if k != "document"
        }
        for n in names[:most]
    ]
    return call.page(rows, names[most - 1] if len(names) > most else "")


async def create_tenant(call: Call) -> Response:
    idempotency = str(call.request.headers.get("idempotency-key", ""))
    if len(idempotency) > 200:
        raise Refused("malformed", "An Idempotency-Key has 200 characters at most.")
    dry = call.dry
    change = await call.changed(
        lambda r: r.create(call.actor, call.body, new_id(), idempotency, dry)
    )
    if change.after is None:
        made = call.registry.tenants.get(change.result)
        if made is None:
            raise Refused("conflict", "The tenant that this call made is deleted by now.")
        change.after = made
        change.result = None
    return await call.told(change, dry)


async def read_tenant(call: Call) -> Response:
    tenant = call.tenant()
    return call.answer(shown(tenant), tenant.etag)


async def _change(call: Call, document_of: Callable[[Tenant], Any]) -> Response:
    """A change of the document. What it is made from is read within the command, so that of
    two at once the later one sees the earlier one's version, and If-Match is held to it."""
    call.tenant()
    confirm = call.number("confirm_within_s", 0, 0, 3600)
    dry = call.dry

    def command(registry: Registry) -> Change:
        tenant = call.tenant()
        # First whether it is stale: what would be made of the other version says nothing.
        registry.check_match(tenant, call.match)
        return registry.change(
            call.actor, tenant, document_of(tenant), call.match, confirm, dry=dry
        )

    return await call.told(await call.changed(command), dry)


async def replace_tenant(call: Call) -> Response:
    return await _change(call, lambda _tenant: call.body)


async def patch_tenant(call: Call) -> Response:
    return await _change(call, lambda tenant: changes.merged(tenant.document, call.body))


async def delete_tenant(call: Call) -> Response:
    call.tenant()
    change = await call.changed(lambda r: r.delete(call.actor, call.tenant(), call.match))
    await call.admin.in_force(change)
    return Response(status_code=204)


def status_setter(status: str) -> Callable[[Call], Awaitable[Response]]:
    async def handler(call: Call) -> Response:
        call.tenant()
        change = await call.changed(
            lambda r: r.set_status(call.actor, call.tenant(), status, call.match)
        )
        return await call.told(change)

    return handler


async def confirm(call: Call) -> Response:
    call.tenant()
    return await call.told(
        await call.changed(lambda r: r.confirm(call.actor, call.tenant(), call.match))
    )


async def rollback(call: Call) -> Response:
    call.tenant()
    dry = call.dry
    to = call.body["to"]
    change = await call.changed(
        lambda r: r.rollback(call.actor, call.tenant(), to, call.match, dry)
    )
    return await call.told(change, dry)


async def history(call: Call) -> Response:
    tenant = call.tenant()
    most = call.number("limit", PAGE, 1, PAGE_MOST)
    kept = call.registry.history.get(tenant.uid, {})
    after = call.after()
    numbers = sorted((n for n in kept if not after or n < int(after)), reverse=True)
    rows = [
        {k: v for k, v in call.registry.shown(call.actor, kept[n]).items() if k != "document"}
        for n in numbers[:most]
    ]
    return call.page(rows, str(numbers[most - 1]) if len(numbers) > most else "")


async def one_version(call: Call) -> Response:
    tenant = call.tenant()
    text = call.word("version")
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 10 else -1
    entry = call.registry.history.get(tenant.uid, {}).get(number)
    if entry is None:
        raise nothing()
    before = call.registry.history[tenant.uid].get(number - 1)
    record = dict(call.registry.shown(call.actor, entry))
    if before is not None:
        record["differences"] = [
            {"path": d.path, "old": d.old, "new": d.new}
            for d in changes.differences(before["document"], entry["document"])
        ]
    return call.answer(record)


def nothing() -> Refused:
    return Refused("not-found", "There is nothing here, or nothing of yours.")


# ---- parts of a tenant: servers, classes, limits ----


def rows_of(part: str) -> tuple[Callable[[Call], Awaitable[Response]], ...]:
    """List, read, put and delete of the named rows of a document."""

    async def every(call: Call) -> Response:
        tenant = call.tenant()
        return call.answer({"items": tenant.document[part]}, tenant.etag)

    async def one(call: Call) -> Response:
        tenant = call.tenant()
        for row in tenant.document[part]:
            if row["name"] == call.word("name"):
                return call.answer(row, tenant.etag)
        raise nothing()

    async def put(call: Call) -> Response:
        name = call.word("name")

        def made(tenant: Tenant) -> Any:
            row = {"name": name} | call.body
            rows = list(tenant.document[part])
            at = next((i for i, old in enumerate(rows) if old["name"] == name), len(rows))
            rows[at : at + 1] = [row]
            return tenant.document | {part: rows}

        return await _change(call, made)

    async def drop(call: Call) -> Response:
        name = call.word("name")

        def made(tenant: Tenant) -> Any:
            rows = [row for row in tenant.document[part] if row["name"] != name]
            if len(rows) == len(tenant.document[part]):
                raise nothing()
            return tenant.document | {part: rows}

        return await _change(call, made)

    return every, one, put, drop


async def read_limits(call: Call) -> Response:
    tenant = call.tenant()
    return call.answer(schema.DEFAULT_LIMITS | tenant.document.get("limits", {}), tenant.etag)


async def put_limits(call: Call) -> Response:
    return await _change(call, lambda tenant: tenant.document | {"limits": call.body})


# ---- keys ----


async def list_keys(call: Call) -> Response:
    tenant = call.tenant()
    keys = [call.registry.keys[k] for k in sorted(call.registry.keys_of.get(tenant.uid, ()))]
    return call.answer({"items": [shown_key(key) for key in keys]})


async def issue_key(call: Call) -> Response:
    call.tenant()
    key_id, secret = new_id(), new_secret()
    change = await call.changed(
        lambda r: r.issue(
            call.actor,
            call.tenant(),
            call.body["role"],
            call.body.get("label", ""),
            key_id,
            secret,
            call.body.get("lasts_s", 0),
        )
    )
    force = await call.admin.in_force(change)
    record = shown_key(call.registry.keys[key_id]) | {"token": change.result, "in_force": force}
    return call.answer(record)


def _key(call: Call) -> Key:
    tenant = call.tenant()
    key = call.registry.keys.get(call.word("key"))
    if key is None or key.tenant != tenant.uid:
        raise nothing()
    return key


async def rotate_key(call: Call) -> Response:
    _key(call)
    key_id, secret = new_id(), new_secret()
    overlap = call.body.get("overlap_s", 3600)
    change = await call.changed(lambda r: r.rotate(call.actor, _key(call), key_id, secret, overlap))
    force = await call.admin.in_force(change)
    record = shown_key(call.registry.keys[key_id]) | {"token": change.result, "in_force": force}
    return call.answer(record)


async def revoke_key(call: Call) -> Response:
    _key(call)
    change = await call.changed(lambda r: r.revoke(call.actor, _key(call)))
    await call.admin.in_force(change)
    return Response(status_code=204)


async def issue_operator_key(call: Call) -> Response:
    key_id, secret = new_id(), new_secret()
    change = await call.changed(
        lambda r: r.issue(
            call.actor,
            None,
            "operator",
            call.body.get("label", ""),
            key_id,
            secret,
            call.body.get("lasts_s", 0),
        )
    )
    return call.answer(shown_key(call.registry.keys[key_id]) | {"token": change.result})


async def revoke_operator_key(call: Call) -> Response:
    def command(registry: Registry) -> Change:
        key = registry.keys.get(call.word("key"))
        if key is None or key.role != "operator":
            raise nothing()
        return registry.revoke(call.actor, key)

    await call.changed(command)
    return Response(status_code=204)


# ---- what happened ----


async def report(call: Call) -> Response:
    tenant = call.tenant()
    record = with_percentiles(call.admin.feed.report(tenant.uid))
    if call.admin.publisher is not None:
        record["note"] = ELSEWHERE
    return call.answer(record)


async def trail(call: Call) -> Response:
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
    feed = call.admin.feed
    told: dict[str, object] = {
        "seq": call.registry.seq,
        "tenants": len(call.registry.tenants),
        "followers": {name: {"applied": n} for name, n in sorted(feed.applied.items())},
    }
    if feed.fleet is not None:
        told["fleet"] = feed.fleet
    if call.admin.publisher is not None:
        told["distribution"] = call.admin.publisher.status()
    return call.answer(told)


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
    text = call.word("seq")
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 16 else -1
    publisher = call.admin.publisher
    summary = publisher.summary(number) if publisher is not None else None
    if summary is None:
        raise nothing()
    return call.answer(_rollout(call, summary))


def _rollout(call: Call, summary: Summary) -> dict[str, Any]:
    told: dict[str, Any] = {
        "complete": summary.complete,
        "nodes": {
            "have": summary.have,
            "waiting": summary.waiting,
            "refused": summary.refused,
        },
    }
    if call.actor.role == "operator":
        told["seq"] = summary.revision
        told["lagging"] = list(summary.lagging)
        told["refusing"] = [{"node": name, "why": why} for name, why in summary.refusing]
        told["distributors"] = {
            "have": summary.distributors_have,
            "waiting": list(summary.distributors_waiting),
        }
    return told


async def describe(call: Call) -> Response:
    return call.answer(call.admin.description)
