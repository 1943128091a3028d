"""Every operation of the API, once: routes and OpenAPI description are both made from this."""

from __future__ import annotations

from typing import Any

from tansywood.admin import key_calls, report_calls, tenant_calls
from tansywood.admin.calls import PAGE_MOST, WAIT_MOST_S, Operation, Param
from tansywood.tenancy import schema
from tansywood.tenancy.settings import ACTIVE, DRAINING, SUSPENDED

MERGE = "application/merge-patch+json"
NAME_SPEC = {"type": "string", "pattern": schema.NAME}
TENANT_PARAM = Param("tenant", "path", NAME_SPEC, True, "its name")
IF_MATCH = Param("If-Match", "header", {"type": "string"}, True, "the ETag that was read, or *")
DRY = Param("dry_run", "query", {"enum": ["true", "false"]}, text="check it and change nothing")
CONFIRM = Param(
    "confirm_within_s",
    "query",
    {"type": "integer", "minimum": 0, "maximum": 3600},
    text="undone by itself after so long unless it is confirmed; 0: it stands",
)
LIMIT = Param("limit", "query", {"type": "integer", "minimum": 1, "maximum": PAGE_MOST})
CURSOR = Param("cursor", "query", {"type": "string", "maxLength": 400}, text="`next` of a page")
IDEMPOTENCY = Param(
    "Idempotency-Key",
    "header",
    {"type": "string", "maxLength": 200},
    text="a repeat under the same key within a day gets the first call's tenant",
)
OPERATOR = ("operator",)
EDITORS = ("operator", "admin")
EDITS = ("conflict", "stale", "precondition-required", "unavailable", "forbidden", "not-found")
LASTS = {"type": "integer", "minimum": 0, "maximum": 10 * 365 * 86400}
LABEL = {"type": "string", "maxLength": 200}
KEY_BODY: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["role"],
    "properties": {
        "role": {"enum": ["caller", "viewer", "admin"]},
        "label": LABEL,
        "lasts_s": LASTS | {"description": "0: it does not end by itself"},
    },
}
OPERATOR_KEY_BODY: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {"label": LABEL, "lasts_s": LASTS},
}
ROTATE_BODY: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {"overlap_s": {"type": "integer", "minimum": 0, "maximum": 7 * 86400}},
}
ROLLBACK_BODY: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["to"],
    "properties": {"to": {"type": "integer", "minimum": 1, "maximum": 1 << 31}},
}
# Only its outer shape is checked here: what is in it is checked as a whole, all faults at once.
ANY_OBJECT: dict[str, Any] = {"type": "object"}

T = "/v1/tenants/{tenant}"


def _part_operations(part: str, one: str) -> list[Operation]:
    every, read, put, drop = tenant_calls.rows_of(part)
    named = (TENANT_PARAM, Param("name", "path", NAME_SPEC, True))
    writes = (*named, IF_MATCH, DRY, CONFIRM)
    return [
        Operation(
            "GET",
            f"{T}/{part}",
            f"list_{part}",
            f"All {part}.",
            every,
            params=(TENANT_PARAM,),
            problems=("not-found",),
        ),
        Operation(
            "GET",
            f"{T}/{part}/{{name}}",
            f"read_{one}",
            f"One {one}.",
            read,
            params=named,
            problems=("not-found",),
        ),
        Operation(
            "PUT",
            f"{T}/{part}/{{name}}",
            f"put_{one}",
            f"Add or replace a {one}.",
            put,
            roles=EDITORS,
            params=writes,
            body=ANY_OBJECT,
            problems=("invalid", *EDITS),
        ),
        Operation(
            "DELETE",
            f"{T}/{part}/{{name}}",
            f"delete_{one}",
            f"Take a {one} out.",
            drop,
            roles=EDITORS,
            params=writes,
            problems=("invalid", *EDITS),
        ),
    ]


OPERATIONS: tuple[Operation, ...] = (
    Operation("GET", "/v1/openapi.json", "describe", "This description.", report_calls.describe),
    Operation(
        "GET",
        "/v1/status",
        "status",
        "Who follows, and how far.",
        report_calls.status,
        roles=OPERATOR,
        problems=("forbidden",),
    ),
    Operation(
        "GET",
        "/v1/tenants",
        "list_tenants",
        "The tenants you may see.",
        tenant_calls.list_tenants,
        params=(LIMIT, CURSOR),
    ),
    Operation(
        "POST",
        "/v1/tenants",
        "create_tenant",
        "A new tenant.",
        tenant_calls.create_tenant,
        201,
        OPERATOR,
        (IDEMPOTENCY, DRY),
        schema.TENANT,
        problems=(
            "invalid",
            "name-taken",
            "too-many",
            "idempotency-mismatch",
            "conflict",
            "forbidden",
            "unavailable",
        ),
    ),
    Operation(
        "GET",
        T,
        "read_tenant",
        "One tenant.",
        tenant_calls.read_tenant,
        params=(TENANT_PARAM,),
        problems=("not-found",),
    ),
    Operation(
        "PUT",
        T,
        "replace_tenant",
        "Another document.",
        tenant_calls.replace_tenant,
        200,
        EDITORS,
        (TENANT_PARAM, IF_MATCH, DRY, CONFIRM),
        schema.TENANT,
        problems=("invalid", *EDITS),
    ),
    Operation(
        "PATCH",
        T,
        "patch_tenant",
        "Change parts (RFC 7396).",
        tenant_calls.patch_tenant,
        200,
        EDITORS,
        (TENANT_PARAM, IF_MATCH, DRY, CONFIRM),
        ANY_OBJECT,
        MERGE,
        ("invalid", *EDITS),
    ),
    Operation(
        "DELETE",
        T,
        "delete_tenant",
        "Delete it; what is in flight ends.",
        tenant_calls.delete_tenant,
        204,
        OPERATOR,
        (TENANT_PARAM, IF_MATCH),
        problems=EDITS,
    ),
    Operation(
        "POST",
        f"{T}/suspend",
        "suspend_tenant",
        "Refuse its requests, waiting ones at once.",
        tenant_calls.status_setter(SUSPENDED),
        200,
        OPERATOR,
        (TENANT_PARAM, IF_MATCH),
        problems=EDITS,
    ),
    Operation(
        "POST",
        f"{T}/drain",
        "drain_tenant",
        "Refuse new requests, serve those taken.",
        tenant_calls.status_setter(DRAINING),
        200,
        OPERATOR,
        (TENANT_PARAM, IF_MATCH),
        problems=EDITS,
    ),
    Operation(
        "POST",
        f"{T}/resume",
        "resume_tenant",
        "Serve again.",
        tenant_calls.status_setter(ACTIVE),
        200,
        OPERATOR,
        (TENANT_PARAM, IF_MATCH),
        problems=EDITS,
    ),
    Operation(
        "POST",
        f"{T}/confirm",
        "confirm_change",
        "Let an unconfirmed change stand.",
        tenant_calls.confirm,
        200,
        EDITORS,
        (TENANT_PARAM, IF_MATCH),
        problems=EDITS,
    ),
    Operation(
        "POST",
        f"{T}/rollback",
        "rollback",
        "The document of an earlier version.",
        tenant_calls.rollback,
        200,
        EDITORS,
        (TENANT_PARAM, IF_MATCH, DRY),
        ROLLBACK_BODY,
        problems=("invalid", *EDITS),
    ),
    Operation(
        "GET",
        f"{T}/history",
        "history",
        "Its versions, newest first.",
        tenant_calls.history,
        params=(TENANT_PARAM, LIMIT, CURSOR),
        problems=("not-found",),
    ),
    Operation(
        "GET",
        f"{T}/history/{{version}}",
        "one_version",
        "One version, and what it changed.",
        tenant_calls.one_version,
        params=(TENANT_PARAM, Param("version", "path", {"type": "integer", "minimum": 1}, True)),
        problems=("not-found",),
    ),
    *_part_operations("servers", "server"),
    *_part_operations("classes", "class"),
    Operation(
        "GET",
        f"{T}/limits",
        "read_limits",
        "Its limits, those by default too.",
        tenant_calls.read_limits,
        params=(TENANT_PARAM,),
        problems=("not-found",),
    ),
    Operation(
        "PUT",
        f"{T}/limits",
        "put_limits",
        "Other limits.",
        tenant_calls.put_limits,
        roles=OPERATOR,
        params=(TENANT_PARAM, IF_MATCH, DRY, CONFIRM),
        body=schema.LIMITS,
        problems=("invalid", *EDITS),
    ),
    Operation(
        "GET",
        f"{T}/keys",
        "list_keys",
        "Its keys, without their secrets.",
        key_calls.list_keys,
        roles=EDITORS,
        params=(TENANT_PARAM,),
        problems=("not-found", "forbidden"),
    ),
    Operation(
        "POST",
        f"{T}/keys",
        "issue_key",
        "A new key; its token is told this once.",
        key_calls.issue_key,
        201,
        EDITORS,
        (TENANT_PARAM,),
        KEY_BODY,
        problems=("invalid", "too-many", "forbidden", "not-found", "unavailable"),
    ),
    Operation(
        "POST",
        f"{T}/keys/{{key}}/rotate",
        "rotate_key",
        "Its successor; the old one ends after the overlap.",
        key_calls.rotate_key,
        201,
        EDITORS,
        (TENANT_PARAM, Param("key", "path", {"type": "string"}, True)),
        ROTATE_BODY,
        problems=("invalid", "too-many", "forbidden", "not-found", "unavailable"),
    ),
    Operation(
        "DELETE",
        f"{T}/keys/{{key}}",
        "revoke_key",
        "It is no key from now on.",
        key_calls.revoke_key,
        204,
        EDITORS,
        (TENANT_PARAM, Param("key", "path", {"type": "string"}, True)),
        problems=("forbidden", "not-found", "unavailable"),
    ),
    Operation(
        "GET",
        f"{T}/report",
        "report",
        "What its callers got.",
        report_calls.report,
        params=(TENANT_PARAM,),
        problems=("not-found",),
    ),
    Operation(
        "GET",
        f"{T}/rollout",
        "rollout",
        "How many nodes go by its last change.",
        report_calls.rollout,
        params=(TENANT_PARAM,),
        problems=("not-found",),
    ),
    Operation(
        "GET",
        "/v1/rollouts/{seq}",
        "rollout_of_change",
        "How many nodes go by a recent change.",
        report_calls.rollout_of_change,
        roles=OPERATOR,
        params=(Param("seq", "path", {"type": "integer", "minimum": 1}, True),),
        problems=("forbidden", "not-found"),
    ),
    Operation(
        "POST",
        "/v1/operator-keys",
        "issue_operator_key",
        "Another operator's key.",
        key_calls.issue_operator_key,
        201,
        OPERATOR,
        (),
        OPERATOR_KEY_BODY,
        problems=("invalid", "too-many", "forbidden", "unavailable"),
    ),
    Operation(
        "DELETE",
        "/v1/operator-keys/{key}",
        "revoke_operator_key",
        "An operator's key ends.",
        key_calls.revoke_operator_key,
        204,
        OPERATOR,
        (Param("key", "path", {"type": "string"}, True),),
        problems=("forbidden", "not-found", "conflict", "unavailable"),
    ),
    Operation(
        "GET",
        "/v1/trail",
        "trail",
        "Who changed what, oldest first.",
        report_calls.trail,
        params=(LIMIT, CURSOR),
    ),
    Operation(
        "GET",
        "/v1/changes",
        "changes",
        "A long poll on what changes.",
        report_calls.changes_since,
        params=(
            Param("after", "query", {"type": "integer", "minimum": 0}),
            Param("wait_s", "query", {"type": "integer", "minimum": 0, "maximum": WAIT_MOST_S}),
        ),
    ),
)

EVERYWHERE = ("malformed", "unauthorized", "rate-limited", "method")
