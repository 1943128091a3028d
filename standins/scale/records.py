"""Rows that the rig's processes write while they run, in files of fixed binary rows."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

NO_TENANT = 0xFFFFFFFF  # a row of the node itself: `revision` is one of the two below
DOWN, UP = 0, 1
ABSENT = (1 << 64) - 1  # the source says that there is no such tenant

_APPLIED = struct.Struct("<QIIQ")
_COMMITTED = struct.Struct("<QIQ?")
_HELD = struct.Struct("<IIQ8s")
_PUBLISHED = struct.Struct("<IQ8s")


@dataclass(frozen=True, slots=True)
class Applied:
    """A node put a state of a tenant into force, or (NO_TENANT) came up or went down."""

    at: int  # time.monotonic_ns(), which all processes of a machine share
    node: int
    tenant: int
    revision: int

    def pack(self) -> bytes:
        return _APPLIED.pack(self.at, self.node, self.tenant, self.revision)


@dataclass(frozen=True, slots=True)
class Committed:
    """The publisher committed a change."""

    at: int
    tenant: int
    revision: int
    deleted: bool

    def pack(self) -> bytes:
        return _COMMITTED.pack(self.at, self.tenant, self.revision, self.deleted)


@dataclass(frozen=True, slots=True)
class Held:
    """What a node holds of a tenant in the end."""

    node: int
    tenant: int
    revision: int
    digest: bytes

    def pack(self) -> bytes:
        return _HELD.pack(self.node, self.tenant, self.revision, self.digest)


@dataclass(frozen=True, slots=True)
class Published:
    """What the publisher has of a tenant in the end."""

    tenant: int
    revision: int
    digest: bytes

    def pack(self) -> bytes:
        return _PUBLISHED.pack(self.tenant, self.revision, self.digest)


def read_applied(path: Path) -> Iterator[Applied]:
    return (Applied(*row) for row in _APPLIED.iter_unpack(path.read_bytes()))


def read_committed(path: Path) -> Iterator[Committed]:
    return (Committed(*row) for row in _COMMITTED.iter_unpack(path.read_bytes()))


def read_held(path: Path) -> Iterator[Held]:
    return (Held(*row) for row in _HELD.iter_unpack(path.read_bytes()))


def read_published(path: Path) -> Iterator[Published]:
    return (Published(*row) for row in _PUBLISHED.iter_unpack(path.read_bytes()))
