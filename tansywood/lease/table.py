"""The table of leases: the replicated state that results from the log.

The table depends on no clock, so all voters that applied the same entries have the same table.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Holder = Annotated[str, Meta(min_length=1, max_length=100)]  # an instance's name and process life


class AcquireLease(Struct, array_like=True, frozen=True, tag="t"):
    """Grants the lease `name` to `holder` if nobody holds it."""

    name: Name
    holder: Holder


class ReleaseLease(Struct, array_like=True, frozen=True, tag="g"):
    """Releases the lease `name` if `token` is its current token. Where `to` is not empty, the same
    entry grants the lease to that holder."""

    name: Name
    token: int
    to: str = ""


class EndHolder(Struct, array_like=True, frozen=True, tag="e"):
    """Ends all leases of a holder. The leader proposes this command once they have expired."""

    holder: Holder


Command = AcquireLease | ReleaseLease | EndHolder
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Command)


class TableError(ValueError):
    """A command or a snapshot that this version can't decode."""


def pack(command: Command) -> bytes:
    """A command as the data of a log entry."""
    return _encode(command)


class Lease(Struct, array_like=True, frozen=True):
    """A lease that is held. Its fencing token grows with every grant."""

    holder: Holder
    token: int  # the index of the log entry that granted the lease


class TableChange(NamedTuple):
    """The leases that one command granted and freed."""

    granted: tuple[tuple[str, str], ...] = ()  # name and holder of each lease
    freed: tuple[str, ...] = ()  # names of leases that nobody holds any more


class LeaseTable:
    """Leases by name. `apply` must be called once for every command, in the order of the log."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.names_by_holder: dict[str, set[str]] = {}
        self.index = 0

    def apply(self, index: int, data: bytes) -> TableChange:
        """Applies the command at this index of the log.

        Raises TableError where this version can't decode the command. The caller must stop there:
        skipping an entry would make this voter's table differ from the others'.
        """
        try:
            command = _decoder.decode(data)
        except msgspec.MsgspecError as err:
            raise TableError(
                f"entry {index} of the lease log can't be decoded ({err}): run a newer version"
            ) from None
        self.index = index
        if isinstance(command, AcquireLease):
            if command.name not in self.leases:
                self._grant(command.name, command.holder, index)
                return TableChange(((command.name, command.holder),))
        elif isinstance(command, ReleaseLease):
            lease = self.leases.get(command.name)
            if lease is not None and lease.token == command.token:
                self._remove(command.name)
                if not command.to:
                    return TableChange(freed=(command.name,))
                self._grant(command.name, command.to, index)
                return TableChange(((command.name, command.to),))
        else:
            names = tuple(sorted(self.names_by_holder.get(command.holder, ())))
            for name in names:
                self._remove(name)
            return TableChange(freed=names)
        return TableChange()

    def _grant(self, name: str, holder: str, index: int) -> None:
        self.leases[name] = Lease(holder, index)
        self.names_by_holder.setdefault(holder, set()).add(name)

    def _remove(self, name: str) -> None:
        lease = self.leases.pop(name)
        names = self.names_by_holder[lease.holder]
        names.discard(name)
        if not names:
            del self.names_by_holder[lease.holder]

    def save(self) -> bytes:
        """The table as the data of a snapshot."""
        return msgspec.msgpack.encode((self.index, self.leases))

    @classmethod
    def load(cls, data: bytes) -> LeaseTable:
        """The table that `save` encoded; empty data makes an empty table. Raises TableError."""
        table = cls()
        if not data:
            return table
        try:
            table.index, rows = msgspec.msgpack.decode(data, type=tuple[int, dict[str, Lease]])
        except msgspec.MsgspecError as err:
            raise TableError(
                f"the snapshot of the lease table can't be decoded, run a newer version: {err}"
            ) from None
        for name, lease in rows.items():
            table.leases[name] = lease
            table.names_by_holder.setdefault(lease.holder, set()).add(name)
        return table
