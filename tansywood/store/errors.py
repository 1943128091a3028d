"""What can be wrong with a store, worded with its place and the remedy."""

from __future__ import annotations


class StoreError(Exception):
    """Any of the below."""


class StoreClosed(StoreError):
    """Used after `close`."""


class StoreLocked(StoreError):
    """Another process, or another Store of this one, has it open."""

    def __init__(self, path: str, pid: int) -> None:
        super().__init__(f"{path} is open in process {pid}: one writer at a time; end it first")
        self.pid = pid


class StoreFull(StoreError):
    """The disk has no room: nothing of this write is in the store, and reads go on.

    Writing works again by itself once there is room.
    """


class StoreFailed(StoreError):
    """The disk failed a write or a sync: what it holds of the last file is in doubt.

    Nothing is written to that file again. Reads go on; recovery is to open the store anew.
    """


class StoreCorrupt(StoreError):
    """What was durable can't be read any more; `path` and `offset` name the place."""

    def __init__(self, path: str, offset: int, why: str) -> None:
        super().__init__(
            f"{path} at byte {offset}: {why}; restore it from a copy, or see what "
            f"'python -m tansywood store repair' can save"
        )
        self.path = path
        self.offset = offset
        self.why = why


class StoreFormat(StoreError):
    """Not a store, or one of a version that this program does not know."""


class StoreLimit(StoreError, ValueError):
    """A key, a value or a batch beyond its bound."""
