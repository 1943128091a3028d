"""Operations on keys, of tenants and of operators."""

from __future__ import annotations

from starlette.responses import Response

from tansywood.admin.calls import Call, shown_key
from tansywood.admin.core import new_id, new_secret
from tansywood.tenancy.identity import Key
from tansywood.tenancy.model import nothing
from tansywood.tenancy.registry import Change, Registry


async def list_keys(call: Call) -> Response:
    """A tenant's keys, without their tokens."""
    tenant = call.tenant()
    keys = [call.registry.keys[k] for k in sorted(call.registry.keys_of.get(tenant.uid, ()))]
    return call.answer({"items": [shown_key(key) for key in keys]})


async def issue_key(call: Call) -> Response:
    """A new key of a tenant."""
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
    return await _answer_issued(call, change, key_id)


async def _answer_issued(call: Call, change: Change, key_id: str) -> Response:
    """A new key of a tenant with its token, and whether the traffic side goes by it yet."""
    force = await call.admin.in_force(change)
    record = shown_key(call.registry.keys[key_id]) | {"token": change.result, "in_force": force}
    return call.answer(record)


def _key(call: Call) -> Key:
    """The one that the path names; Refused where it is none of this tenant's."""
    tenant = call.tenant()
    key = call.registry.keys.get(call.path("key"))
    if key is None or key.tenant != tenant.uid:
        raise nothing()
    return key


async def rotate_key(call: Call) -> Response:
    """A key of the same kind; the old one ends after the overlap."""
    _key(call)
    key_id, secret = new_id(), new_secret()
    overlap = call.body.get("overlap_s", 3600)
    change = await call.changed(lambda r: r.rotate(call.actor, _key(call), key_id, secret, overlap))
    return await _answer_issued(call, change, key_id)


async def revoke_key(call: Call) -> Response:
    """A key is none from now on."""
    _key(call)
    change = await call.changed(lambda r: r.revoke(call.actor, _key(call)))
    await call.admin.in_force(change)
    return Response(status_code=204)


async def issue_operator_key(call: Call) -> Response:
    """A new operator's key."""
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
    """An operator's key is none from now on."""

    def command(registry: Registry) -> Change:
        key = registry.keys.get(call.path("key"))
        if key is None or key.role != "operator":
            raise nothing()
        return registry.revoke(call.actor, key)

    await call.changed(command)
    return Response(status_code=204)
