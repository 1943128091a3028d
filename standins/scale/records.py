"""Rows of what happened in a run; those of many nodes are in files of fixed binary rows."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec

from standins.scale.changes import ChangeKind
from tansywood.distribution.messages import digest_of

NO_TENANT = 0xFFFFFFFF  # a row of the node itself: `revision` is one of the two below
DOWN, UP = 0, 1
ABSENT = (1 << 64) - 1  # the source says that there is no such tenant

_APPLIED = struct.Struct("<QIIIQ")
_HELD = struct.Struct("<IIQ8s")


def generation_of(uid: str) -> int:
    """A number that tells tenants of one name apart, as of one that was created again."""
    return crc32(uid.encode())


def digest_of_view(body: bytes) -> bytes:
    """What tells two views of a tenant apart, in whatever order their members are written: a store
    keeps them in another order than a call of the API gave them."""
    return digest_of(msgspec.json.encode(msgspec.json.decode(body), order="sorted"))


@dataclass(frozen=True, slots=True)
class Applied:
    """A node put a state of a tenant into force, or (NO_TENANT) came up or went down."""

    at: int  # time.monotonic_ns(), which all processes of a machine share
    node: int
    tenant: int
    generation: int  # see generation_of; 0 where there is none
    revision: int

    def pack(self) -> bytes:
        return _APPLIED.pack(self.at, self.node, self.tenant, self.generation, self.revision)


@dataclass(frozen=True, slots=True)
class Committed:
    """A change that a call of the API made durable."""

    at: int  # when the call began
    tenant: int
    generation: int
    revision: int
    kind: ChangeKind


@dataclass(frozen=True, slots=True)
class Held:
    """What a node holds of a tenant in the end."""

    node: int
    tenant: int
    revision: int
    digest: bytes  # digest_of_view

    def pack(self) -> bytes:
        return _HELD.pack(self.node, self.tenant, self.revision, self.digest)


@dataclass(frozen=True, slots=True)
class Published:
    """What the publisher's store has of a tenant in the end."""

    tenant: int
    revision: int
    digest: bytes  # digest_of_view


def read_applied(path: Path) -> Iterator[Applied]:
    return (Applied(*row) for row in _APPLIED.iter_unpack(path.read_bytes()))


def read_held(path: Path) -> Iterator[Held]:
    return (Held(*row) for row in _HELD.iter_unpack(path.read_bytes()))
