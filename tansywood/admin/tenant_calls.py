"""Operations on tenants, their documents and the parts of these."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from starlette.responses import Response

from tansywood.admin.calls import PAGE, PAGE_MOST, Call, shown, whole_number
from tansywood.admin.core import new_id
from tansywood.tenancy import changes, schema
from tansywood.tenancy.model import nothing
from tansywood.tenancy.registry import Change, Refused, Registry, Tenant

Handler = Callable[[Call], Awaitable[Response]]


def _without_document(record: dict[str, Any]) -> dict[str, Any]:
    """As a list shows it."""
    return {name: value for name, value in record.items() if name != "document"}


async def list_tenants(call: Call) -> Response:
    """Names and states, in order, without documents."""
    most = call.number("limit", PAGE, 1, PAGE_MOST)
    after = call.after()
    names = [name for name in call.registry.visible(call.actor) if name > after]
    listed = [call.registry.tenants[call.registry.names[name]] for name in names[:most]]
    rows = [_without_document(shown(tenant)) for tenant in listed]
    return call.page(rows, names[most - 1] if len(names) > most else "")


async def create_tenant(call: Call) -> Response:
    """A new tenant, or the one that this call made before."""
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
    return await call.answer_change(change, dry)


async def read_tenant(call: Call) -> Response:
    """One tenant, with its document."""
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

    return await call.answer_change(await call.changed(command), dry)


async def replace_tenant(call: Call) -> Response:
    """The body is its document from then on."""
    return await _change(call, lambda _tenant: call.body)


async def patch_tenant(call: Call) -> Response:
    """The body is a merge patch of its document (RFC 7396)."""
    return await _change(call, lambda tenant: changes.merged(tenant.document, call.body))


async def delete_tenant(call: Call) -> Response:
    """In force everywhere before the answer, or a moment later."""
    call.tenant()
    change = await call.changed(lambda r: r.delete(call.actor, call.tenant(), call.match))
    await call.admin.in_force(change)
    return Response(status_code=204)


def status_setter(status: str) -> Handler:
    """The operation that gives a tenant this status."""

    async def handler(call: Call) -> Response:
        call.tenant()
        change = await call.changed(
            lambda r: r.set_status(call.actor, call.tenant(), status, call.match)
        )
        return await call.answer_change(change)

    return handler


async def confirm(call: Call) -> Response:
    """Let a change stand that would undo itself."""
    call.tenant()
    return await call.answer_change(
        await call.changed(lambda r: r.confirm(call.actor, call.tenant(), call.match))
    )


async def rollback(call: Call) -> Response:
    """The document of an earlier version, as a new one."""
    call.tenant()
    dry = call.dry
    to = call.body["to"]
    change = await call.changed(
        lambda r: r.rollback(call.actor, call.tenant(), to, call.match, dry)
    )
    return await call.answer_change(change, dry)


async def history(call: Call) -> Response:
    """Its versions, the latest first, without documents."""
    tenant = call.tenant()
    most = call.number("limit", PAGE, 1, PAGE_MOST)
    kept = call.registry.history.get(tenant.uid, {})
    after = call.after()
    numbers = sorted((n for n in kept if not after or n < int(after)), reverse=True)
    rows = [_without_document(call.registry.shown(call.actor, kept[n])) for n in numbers[:most]]
    return call.page(rows, str(numbers[most - 1]) if len(numbers) > most else "")


async def one_version(call: Call) -> Response:
    """One version, and how it differs from the one before."""
    tenant = call.tenant()
    number = whole_number(call.path("version"), 9)
    entry = call.registry.history.get(tenant.uid, {}).get(number)
    if entry is None:
        raise nothing()
    before = call.registry.history[tenant.uid].get(number - 1)
    record = dict(call.registry.shown(call.actor, entry))
    if before is not None:
        record["differences"] = changes.difference_records(before["document"], entry["document"])
    return call.answer(record)


# ---- parts of a tenant: servers, classes, limits ----


def rows_of(part: str) -> tuple[Handler, ...]:
    """List, read, put and delete of the named rows of a document."""

    async def every(call: Call) -> Response:
        tenant = call.tenant()
        return call.answer({"items": tenant.document[part]}, tenant.etag)

    async def one(call: Call) -> Response:
        tenant = call.tenant()
        for row in tenant.document[part]:
            if row["name"] == call.path("name"):
                return call.answer(row, tenant.etag)
        raise nothing()

    async def put(call: Call) -> Response:
        name = call.path("name")

        def made(tenant: Tenant) -> Any:
            row = {"name": name} | call.body
            rows = list(tenant.document[part])
            at = next((i for i, old in enumerate(rows) if old["name"] == name), len(rows))
            rows[at : at + 1] = [row]
            return tenant.document | {part: rows}

        return await _change(call, made)

    async def drop(call: Call) -> Response:
        name = call.path("name")

        def made(tenant: Tenant) -> Any:
            rows = [row for row in tenant.document[part] if row["name"] != name]
            if len(rows) == len(tenant.document[part]):
                raise nothing()
            return tenant.document | {part: rows}

        return await _change(call, made)

    return every, one, put, drop


async def read_limits(call: Call) -> Response:
    """Its limits, with the defaults."""
    tenant = call.tenant()
    return call.answer(schema.DEFAULT_LIMITS | tenant.document.get("limits", {}), tenant.etag)


async def put_limits(call: Call) -> Response:
    """The body is its limits from then on."""
    return await _change(call, lambda tenant: tenant.document | {"limits": call.body})
