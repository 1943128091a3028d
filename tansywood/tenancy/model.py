"""What the administration keeps and what a command on it gives. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from tansywood.tenancy.fault import Fault
from tansywood.tenancy.identity import Key


class Refused(Exception):
    """A command that can't be done; `kind` is one of the API's problem types."""

    def __init__(self, kind: str, text: str, found: Iterable[Fault] = ()) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.faults = tuple(found)


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant as it stands. `version` grows with each change; `since` tells of each server
    (by name and address) when it was first listed."""

    uid: str
    name: str
    status: str
    version: int
    seq: int  # of the change that made it so
    document: dict[str, Any]
    since: dict[str, int]
    created_ms: int
    changed_ms: int
    undo_ms: int = 0  # when the change that waits to be confirmed is undone; 0: none waits
    undo_to: int = 0  # the version it goes back to

    @property
    def etag(self) -> str:
        """Of this tenant's life under its name: one made again does not repeat it."""
        return f'"{self.uid[-6:]}.{self.version}"'

    def record(self) -> dict[str, Any]:
        """As it is kept, of JSON's types."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True)
class Change:
    """What a command would write; None as a value deletes. `after` is the tenant then."""

    seq: int
    puts: dict[bytes, bytes | None] = field(default_factory=dict)
    uid: str = ""
    after: Tenant | None = None
    result: Any = None  # for the caller, such as a token that is told once
    keys: list[Key] = field(default_factory=list)
    dropped_keys: list[str] = field(default_factory=list)
    audit: dict[str, Any] | None = None
    idempotent: tuple[str, dict[str, Any]] | None = None


@dataclass(frozen=True, slots=True)
class Actor:
    """Who gives a command: a key, and when."""

    key: str
    role: str
    tenant: str
    now_ms: int


def unfit(found: Iterable[Fault]) -> Refused:
    """A document that can't be taken as it is, with its faults."""
    return Refused("invalid", "The document does not fit.", found)


def nothing() -> Refused:
    """The same words where something is missing and where it is not the actor's."""
    return Refused("not-found", "There is nothing here, or nothing of yours.")
