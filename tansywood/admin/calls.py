"""One call of the API: who calls, about which tenant, with what, and how it is answered.

What each operation does is in `tenant_calls`, `key_calls` and `report_calls`.
"""

from __future__ import annotations

import base64
import hmac
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from tansywood.admin.core import Administration
from tansywood.tenancy.identity import Key
from tansywood.tenancy.registry import Actor, Change, Refused, Registry, Tenant

PAGE = 50
PAGE_MOST = 500
WAIT_MOST_S = 60


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
        """The cursor of a place."""
        text = f"{self._mark(key, operation, place)}{place}"
        return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")

    def read(self, key: str, operation: str, cursor: str) -> str:
        """The place of a cursor; Refused."""
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

    def path(self, name: str) -> str:
        """A parameter in the path."""
        return str(self.request.path_params[name])

    @property
    def match(self) -> str:
        """If-Match, empty where it is missing."""
        return str(self.request.headers.get("if-match", ""))

    def query(self, name: str, otherwise: str = "") -> str:
        """A parameter of the query."""
        return str(self.request.query_params.get(name, otherwise))

    def number(self, name: str, otherwise: int, least: int, most: int) -> int:
        """One that is a number within bounds; Refused."""
        number = whole_number(self.query(name, str(otherwise)), 18)
        if number < 0 or not least <= number <= most:
            raise Refused("malformed", f"{name} goes from {least} to {most}.")
        return number

    @property
    def dry(self) -> bool:
        """Whether it is to be checked alone; Refused."""
        text = self.query("dry_run", "false")
        if text not in ("true", "false"):
            raise Refused("malformed", "dry_run is true or false.")
        return text == "true"

    async def changed(self, command: Callable[[Registry], Change]) -> Change:
        """Do a command: it is durable and applied on return."""
        return await self.admin.do(command)

    # ---- answers ----

    def answer(self, record: Any, etag: str = "", status: int = 0) -> Response:
        """A record as JSON, by default with the operation's status."""
        headers = {"ETag": etag} if etag else {}
        return Response(
            json.dumps(record),
            status_code=status or self.operation.status,
            media_type="application/json",
            headers=headers | {"Cache-Control": "no-store"},
        )

    def page(self, rows: list[Any], next_after: str) -> Response:
        """One page of a list; `next_after` is where the next begins, empty at the end."""
        record: dict[str, Any] = {"items": rows}
        if next_after:
            record["next"] = self.cursors.make(self.actor.key, self.operation.name, next_after)
        return self.answer(record)

    def after(self) -> str:
        """Where this page begins, by the cursor of the one before."""
        text = self.query("cursor")
        return self.cursors.read(self.actor.key, self.operation.name, text) if text else ""

    async def answer_change(self, change: Change, dry: bool = False, status: int = 0) -> Response:
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


def whole_number(text: str, digits: int) -> int:
    """The number that this says in so many ASCII digits at most; -1 where it says none."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= digits else -1


def shown(tenant: Tenant) -> dict[str, Any]:
    """A tenant as the API shows it."""
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
    """A key as the API shows it: never its token."""
    return {
        "id": key.id,
        "role": key.role,
        "label": key.label,
        "created_ms": key.created_ms,
        "expires_ms": key.expires_ms,
    }
