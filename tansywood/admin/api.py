"""The administration API as an ASGI application: whose call it is, its body, its operation.

HTTP by Starlette and uvicorn, bodies checked by jsonschema against the very schemas that the
OpenAPI description shows. Whose tenant a call is about is settled before what its key may do,
so that what is not yours looks like what is not there.
"""

from __future__ import annotations

import json
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from jsonschema import Draft202012Validator
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from tansywood.admin import problems
from tansywood.admin.calls import Call, Cursors, Operation
from tansywood.admin.core import Administration
from tansywood.admin.openapi import description
from tansywood.admin.operations import OPERATIONS
from tansywood.tenancy import schema
from tansywood.tenancy.checks import schema_faults
from tansywood.tenancy.identity import Key, verify
from tansywood.tenancy.model import nothing
from tansywood.tenancy.registry import Refused

MAX_BODY = 1 << 20


class Api:
    """The ASGI application over an Administration."""

    def __init__(self, admin: Administration, secret: bytes) -> None:
        self.admin = admin
        admin.description = description()
        self.cursors = Cursors(secret)
        self._validators = {
            op.name: Draft202012Validator(op.body)
            for op in OPERATIONS
            if op.body is not None and op.body is not schema.TENANT
        }
        routes: dict[str, dict[str, Operation]] = {}
        for op in OPERATIONS:
            routes.setdefault(op.path, {})[op.method] = op
        self.app = Starlette(
            routes=[
                Route(path, self._route(by_method), methods=list(by_method))
                for path, by_method in routes.items()
            ],
            exception_handlers={HTTPException: self._http_error, Exception: self._broken},
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        app: ASGIApp = self.app
        await app(scope, receive, send)

    # ---- one call ---------------------------------------------------------------------------

    def _route(self, by_method: dict[str, Operation]) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            method = "GET" if request.method == "HEAD" else request.method
            return await self._call(by_method[method], request)

        return endpoint

    async def _call(self, operation: Operation, request: Request) -> Response:
        try:
            key = self._key(request)
            if isinstance(key, Response):
                return key
            body = await self._body(operation, request)
            call = Call(self.admin, self.cursors, operation, request, key, body)
            if "tenant" in request.path_params:
                call.tenant()  # before what a key may do: not yours looks like not there
            if key.role not in operation.roles:
                raise Refused("forbidden", "This key's role may not do this.")
            self._check(operation, body)
            return await operation.handler(call)
        except Refused as err:
            return problems.of(err)
        except ClientDisconnect:
            return Response(status_code=400)

    def _key(self, request: Request) -> Key | Response:
        """Whoever shows no valid key gets the same answer everywhere, whatever is there."""
        scheme, _, text = str(request.headers.get("authorization", "")).partition(" ")
        key = verify(self.admin.registry.keys, text.strip(), self.admin.clock_ms())
        host = request.client.host if request.client is not None else ""
        known = key is not None and scheme.lower() == "bearer" and key.role != "caller"
        who = f"key {key.id}" if known and key is not None else f"address {host}"
        wait = self.admin.rate(who, time.monotonic_ns())
        if wait:
            seconds = str(max(-(-wait // 1_000_000_000), 1))
            return problems.problem("rate-limited", headers={"Retry-After": seconds})
        if not known or key is None:
            return problems.problem("unauthorized", headers={"WWW-Authenticate": "Bearer"})
        return key

    async def _body(self, operation: Operation, request: Request) -> Any:
        data = b""
        async for chunk in request.stream():
            data += chunk
            if len(data) > MAX_BODY:
                raise Refused("too-large", f"At most {MAX_BODY} bytes.")
        if operation.body is None:
            return None
        kind = str(request.headers.get("content-type", "")).partition(";")[0].strip().lower()
        if kind not in (operation.media, "application/json"):
            raise Refused("malformed", f"The body's type is {operation.media}.")
        try:
            return json.loads(data, parse_constant=_no_constant)
        except (ValueError, RecursionError) as err:
            raise Refused("malformed", f"The body is no JSON: {str(err)[:100]}") from None

    def _check(self, operation: Operation, body: Any) -> None:
        validator = self._validators.get(operation.name)
        if validator is not None:
            found = schema_faults(validator, body)
            if found:
                raise Refused("invalid", "The values do not fit.", found)

    async def _http_error(self, request: Request, err: Exception) -> Response:
        """No route, or no such method: told only to those with a key."""
        key = self._key(request)
        if isinstance(key, Response):
            return key
        code = err.status_code if isinstance(err, HTTPException) else 400
        if code == 404:
            return problems.of(nothing())
        return problems.problem("method" if code == 405 else "malformed")

    async def _broken(self, request: Request, err: Exception) -> Response:
        """A fault of this program: its log has all of it, the caller hears that there is one."""
        trace = "".join(traceback.format_exception(err))
        print(f"admin: {request.method} {request.url.path}: {trace}", file=sys.stderr, flush=True)
        return Response(status_code=500)


def _no_constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")
