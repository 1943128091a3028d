"""What the front keeps beyond its process: a port.

Two kinds of records, each under an identity (a digest, see `repeats`): of a credit, what its
repeat gets and what became of it (`credit`), and what is owed to a server (`debt`). The first is
on the disk before a credit's first byte leaves, the second before its terminal is told.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

KINDS = ("credit", "debt")


class Row(NamedTuple):
    kind: str
    key: str
    record: dict[str, Any] | None  # of JSON's types; None: forget it


class Records(Protocol):
    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        """All of these or none. `then` is told once: True when they will outlast any crash,
        False where they can't be kept. Without `then` nobody waits for it."""
