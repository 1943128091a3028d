"""Which views door and workers of this node can take over.

A publisher checks what it publishes; it may be of another version than this node, though.
"""

from __future__ import annotations

from typing import Any

from tansywood.distribution.resources import ViewError, decode
from tansywood.iso8583.codec import Codec
from tansywood.service import shape
from tansywood.service.isoshape import dialect_of, mapping_of
from tansywood.tenancy.identity import Key
from tansywood.tenancy.settings import ACTIVE, DRAINING, SUSPENDED, read

STATUSES = (ACTIVE, DRAINING, SUSPENDED)
# What reading may raise of words that this node's code does not know.
UNREADABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
)


def read_view(uid: str, body: bytes) -> dict[str, Any]:
    """The view, tried as door and workers will read it. ViewError says why they can't."""
    try:
        view = decode(uid, body)
        settings = read(view["document"])
        shape.config(uid, settings)
        shape.members(settings, view["since"], 1)
        if settings.iso8583 is not None:
            Codec(dialect_of(settings.iso8583))
            mapping_of(settings.iso8583)
        for record in view["keys"]:
            Key(**record)
        if view["status"] not in STATUSES:
            raise ViewError(f"tenant {uid}: its status {view['status']!r} is not known")
    except UNREADABLE as err:
        if isinstance(err, ViewError):
            raise
        reason = f"{type(err).__name__}: {err}"
        raise ViewError(f"tenant {uid}: it can't be put into force: {reason}"[:300]) from None
    return view
