"""A tenant's view as a resource: how it is encoded, and by which aliases it is asked for.

A view is what the traffic side is told of a tenant (`tenancy.registry.Registry.view`): uid, status,
version, document, since, keys. Publisher and instances read it; distributors carry it unread.
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
    """A body that can't be put into force; the text says where and why."""


def encode(uid: str, revision: int, view: View | None) -> Resource:
    """The resource that says this view; removed where there is none.
    Raises ViewError where it is larger than MAX_BODY_BYTES."""
    if view is None:
        return Resource(uid, revision, Kind.REMOVED)
    body = msgspec.json.encode(view)
    if len(body) > MAX_BODY_BYTES:
        raise ViewError(f"tenant {uid}: its view has {len(body)} bytes, {MAX_BODY_BYTES} at most")
    return Resource(uid, revision, Kind.CONTENT, body, list(aliases_of(view)))


def decode(uid: str, body: bytes) -> dict[str, Any]:
    """The view of a resource, with a document that can be read. ViewError says what is wrong."""
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
    """All that a request may name a tenant by: hosts, name, key ids, listeners."""
    document = view["document"]
    callers = document.get("callers", {})
    yield alias_of_name(document["name"])
    for host in callers.get("hosts", ()):
        yield alias_of_host(host)
    for listener in callers.get("listeners", ()):
        yield alias_of_listener(listener)
    for key in view["keys"]:
        yield alias_of_key(key["id"])
