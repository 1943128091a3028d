"""Encodes the view of a tenant as a resource and lists the aliases by which it is looked up.

A view is what the nodes need to know about a tenant (`tenancy.registry.Registry.view`): uid,
status, version, document, since and keys. The publisher and the instances read views; distributors
pass them on without decoding.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from tansywood.distribution.messages import (
    MAX_BODY_BYTES,
    Kind,
    Resource,
    alias_of_host,
    alias_of_key,
    alias_of_listener,
    alias_of_name,
)
from tansywood.tenancy.settings import read

View = Mapping[str, Any]


class ViewError(ValueError):
    """A view that can't be sent or applied. The text names the tenant and the reason."""


def encode(uid: str, revision: int, view: View | None) -> Resource:
    """Return the resource that contains this view, or a removal if `view` is None.

    Raises ViewError if the encoded view is longer than MAX_BODY_BYTES.
    """
    if view is None:
        return Resource(uid, revision, Kind.REMOVED)
    body = msgspec.json.encode(view)
    if len(body) > MAX_BODY_BYTES:
        raise ViewError(f"tenant {uid}: its view has {len(body)} bytes, {MAX_BODY_BYTES} at most")
    return Resource(uid, revision, Kind.CONTENT, body, list(aliases_of(view)))


def decode(uid: str, body: bytes) -> dict[str, Any]:
    """Decode and check the view in the body of a resource, including the tenant's document.

    Raises ViewError if the body is not a valid view of the tenant `uid`.
    """
    try:
        view = msgspec.json.decode(body, type=dict[str, Any])
        if view["uid"] != uid:
            raise ViewError(f"tenant {uid}: it is the view of {view['uid']}")
        read(view["document"])
        if not {"status", "version", "since", "keys"} <= view.keys():
            raise ViewError(f"tenant {uid}: its view lacks status, version, since or keys")
    except (msgspec.MsgspecError, LookupError, TypeError, ValueError, AttributeError) as err:
        if isinstance(err, ViewError):
            raise
        raise ViewError(f"tenant {uid}: its view can't be read: {err!r}"[:300]) from None
    return view


def aliases_of(view: View) -> Iterator[str]:
    """Yield every alias that a request can address the tenant by: its name, hosts, listeners and
    key ids."""
    document = view["document"]
    callers = document.get("callers", {})
    yield alias_of_name(document["name"])
    for host in callers.get("hosts", ()):
        yield alias_of_host(host)
    for listener in callers.get("listeners", ()):
        yield alias_of_listener(listener)
    for key in view["keys"]:
        yield alias_of_key(key["id"])
