"""Problem details (RFC 9457): one type for each way in which a call can fail.

The text for what does not exist is the one for what is not the caller's, to the byte.
"""

from __future__ import annotations

import json
from typing import Any

from starlette.responses import Response

from tansywood.tenancy.registry import Refused

MEDIA = "application/problem+json"
BASE = "urn:tansywood:problem:"
# Kind: status and title.
KINDS: dict[str, tuple[int, str]] = {
    "malformed": (400, "The request can't be read"),
    "unauthorized": (401, "A valid key is needed"),
    "forbidden": (403, "This key may not do that"),
    "not-found": (404, "Not found"),
    "method": (405, "Not a method of this resource"),
    "conflict": (409, "It does not fit the present state"),
    "name-taken": (409, "The name is taken"),
    "too-many": (409, "There are too many"),
    "stale": (412, "Changed since it was read"),
    "too-large": (413, "The body is too large"),
    "invalid": (422, "The values do not fit"),
    "idempotency-mismatch": (422, "The Idempotency-Key was of another request"),
    "precondition-required": (428, "If-Match is needed"),
    "rate-limited": (429, "Too many calls"),
    "unavailable": (503, "It can't be kept at present"),
}


def problem(
    kind: str, detail: str = "", headers: dict[str, str] | None = None, **more: Any
) -> Response:
    status, title = KINDS[kind]
    body: dict[str, Any] = {"type": BASE + kind, "title": title, "status": status}
    if detail:
        body["detail"] = detail
    return Response(json.dumps(body | more), status_code=status, media_type=MEDIA, headers=headers)


def of(err: Refused) -> Response:
    if err.faults:
        rows = [{"pointer": f.path, "detail": f.what, "allowed": f.allowed} for f in err.faults]
        return problem(err.kind, err.text, errors=rows)
    return problem(err.kind, err.text)
