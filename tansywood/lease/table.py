"""Who holds what: the state that the log comes to. No time in it, so every voter's is the same."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Holder = Annotated[str, Meta(min_length=1, max_length=100)]  # an instance and its life


class AcquireLease(Struct, array_like=True, frozen=True, tag="t"):
    """`holder` asks for a lease."""

    name: Name
    holder: Holder


class ReleaseLease(Struct, array_like=True, frozen=True, tag="g"):
    """Its holder gives it back, by its token; `to` gets it in the same entry, if anybody."""

    name: Name
    token: int
    to: str = ""


class EndHolder(Struct, array_like=True, frozen=True, tag="e"):
    """All that a holder has is over. The leader says so, once the time is."""

    holder: Holder


Command = AcquireLease | ReleaseLease | EndHolder
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Command)


class TableError(ValueError):
    """Bytes that no voter of this version wrote."""


def pack(command: Command) -> bytes:
    return _encode(command)


class Lease(Struct, array_like=True, frozen=True):
    holder: Holder
    token: int  # the index of its grant in the log


class TableChange(NamedTuple):
    """What one command did."""

    granted: tuple[tuple[str, str], ...] = ()  # name and holder
    freed: tuple[str, ...] = ()  # that nobody has now


class LeaseTable:
    """Leases by name. `apply` is told every command in the log's order, once."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.names_by_holder: dict[str, set[str]] = {}  # names by holder
        self.index = 0

    def apply(self, index: int, data: bytes) -> TableChange:
        """TableError where the entry can't be read: this version must not go on past it."""
        try:
            command = _decoder.decode(data)
        except msgspec.MsgspecError as err:
            raise TableError(f"entry {index}: {err}: run a newer version") from None
        self.index = index
        if isinstance(command, AcquireLease):
            if command.name not in self.leases:
                self._grant(command.name, command.holder, index)
                return TableChange(((command.name, command.holder),))
        elif isinstance(command, ReleaseLease):
            known = self.leases.get(command.name)
            if known is not None and known.token == command.token:
                self._drop(command.name)
                if not command.to:
                    return TableChange(freed=(command.name,))
                self._grant(command.name, command.to, index)
                return TableChange(((command.name, command.to),))
        else:
            names = tuple(sorted(self.names_by_holder.get(command.holder, ())))
            for name in names:
                self._drop(name)
            return TableChange(freed=names)
        return TableChange()

    def _grant(self, name: str, holder: str, index: int) -> None:
        self.leases[name] = Lease(holder, index)
        self.names_by_holder.setdefault(holder, set()).add(name)

    def _drop(self, name: str) -> None:
        lease = self.leases.pop(name)
        names = self.names_by_holder[lease.holder]
        names.discard(name)
        if not names:
            del self.names_by_holder[lease.holder]

    def save(self) -> bytes:
        return msgspec.msgpack.encode((self.index, self.leases))

    @classmethod
    def load(cls, data: bytes) -> LeaseTable:
        """What `save` made; the empty one of nothing. TableError."""
        made = cls()
        if not data:
            return made
        try:
            made.index, rows = msgspec.msgpack.decode(data, type=tuple[int, dict[str, Lease]])
        except msgspec.MsgspecError as err:
            raise TableError(f"the snapshot can't be read: {err}") from None
        for name, lease in rows.items():
            made.leases[name] = lease
            made.names_by_holder.setdefault(lease.holder, set()).add(name)
        return made
