"""Writes that belong together. Pure."""

from __future__ import annotations

from typing import Self

from tansywood.store.frames import Op, check


class Batch:
    """Writes that are in the store all together or not at all; the last of a key counts."""

    def __init__(self) -> None:
        self.ops: list[Op] = []

    def put(self, key: bytes, value: bytes) -> Self:
        """StoreLimit where key or value is beyond its bound."""
        return self._add(Op(bytes(key), bytes(value)))

    def delete(self, key: bytes) -> Self:
        """Deleting what is not there is no error."""
        return self._add(Op(bytes(key), None))

    def _add(self, op: Op) -> Self:
        check(op)
        self.ops.append(op)
        return self
