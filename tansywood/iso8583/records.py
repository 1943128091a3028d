"""What the front keeps beyond its process: a port.

Three kinds of records, each under an identity (a digest, see `repeats`): what a repeat gets
(`repeat`), what became of an original (`fate`), and what is owed to a server (`debt`). A credit's
first two are on the disk before its first byte leaves; a debt is before its terminal is told.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

KINDS = ("repeat", "fate", "debt")


class Row(NamedTuple):
    kind: str
    key: str
    record: dict[str, Any] | None  # of JSON's types; None: forget it


class Records(Protocol):
    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        """All of these or none. `then` is told once: True when they will outlast any crash,
        False where they can't be kept. Without `then` nobody waits for it."""
