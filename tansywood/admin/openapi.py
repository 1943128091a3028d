"""The OpenAPI 3.1 description, made from the table that the routes are made from."""

from __future__ import annotations

from typing import Any

from tansywood.admin.calls import Operation
from tansywood.admin.operations import EVERYWHERE, OPERATIONS
from tansywood.admin.problems import KINDS, MEDIA
from tansywood.tenancy import schema

PROBLEM: dict[str, Any] = {
    "type": "object",
    "required": ["type", "title", "status"],
    "properties": {
        "type": {"type": "string"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "detail": {"type": "string"},
        "errors": {
            "type": "array",
            "items": {
                "type": "object",
                "properties": {
                    "pointer": {"type": "string", "description": "JSON Pointer (RFC 6901)"},
                    "detail": {"type": "string"},
                    "allowed": {"type": "string"},
                },
            },
        },
    },
}


def _responses(op: Operation) -> dict[str, Any]:
    found: dict[str, Any] = {str(op.status): {"description": "Done."}}
    if any(p.name == "dry_run" for p in op.params):
        found["200"] = {"description": "Done, or what a dry run would have done."}
    if op.status != 204:
        for response in found.values():
            response["content"] = {"application/json": {"schema": {"type": "object"}}}
    kinds = [*op.problems, *EVERYWHERE, "too-large"]
    if op.body is not None or any(p.where == "query" for p in op.params):
        kinds.append("invalid")
    if len(op.roles) < 3:
        kinds.append("forbidden")
    for kind in kinds:
        status, title = KINDS[kind]
        old = found.get(str(status), {}).get("description")
        found[str(status)] = {
            "description": f"{old}; {title}" if old and title not in old else title,
            "content": {MEDIA: {"schema": {"$ref": "#/components/schemas/Problem"}}},
        }
    return found


def _operation(op: Operation) -> dict[str, Any]:
    made: dict[str, Any] = {
        "operationId": op.name,
        "summary": op.text,
        "description": f"For the roles {', '.join(op.roles)}.",
        "responses": _responses(op),
    }
    if op.params:
        made["parameters"] = [
            {
                "name": p.name,
                "in": p.where,
                "required": p.required,
                "schema": p.spec,
                **({"description": p.text} if p.text else {}),
            }
            for p in op.params
        ]
    if op.body is not None:
        body = {"$ref": "#/components/schemas/Tenant"} if op.body is schema.TENANT else op.body
        made["requestBody"] = {"required": True, "content": {op.media: {"schema": body}}}
    return made


def description() -> dict[str, Any]:
    paths: dict[str, Any] = {}
    for op in OPERATIONS:
        paths.setdefault(op.path, {})[op.method.lower()] = _operation(op)
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "Administration of a hosted service",
            "version": "1",
            "description": "Tenants, their settings, keys and reports. Every change needs the "
            "ETag of what it changes; problems are RFC 9457.",
        },
        "security": [{"key": []}],
        "paths": paths,
        "components": {
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
            "schemas": {"Tenant": schema.TENANT, "Problem": PROBLEM},
        },
    }
