"""A disk in memory that its test owns: what is durable, what a crash leaves, what fails.

It has the shape of the store's `Files` port. What was appended and not synced may be lost in
a crash, kept in part, or (with `holes`) kept behind bytes that were lost; a name that was
made, renamed or removed since the folder's last sync may be there or not. Each file decides
for itself, so that what was written later to one may be kept while an earlier write to
another is lost. All by the generator that is passed in.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from random import Random


class Crash(BaseException):
    """The power went: no code of the store runs any more."""


class Inode:
    """A file's bytes, and how many of them a crash can't take."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = b""  # the content as of the last sync

    def after_crash(self, rng: Random, holes: bool) -> bytes:
        kept = self.synced
        if bytes(self.data[: len(kept)]) != kept:
            # It was cut since: that may have reached the disk or not.
            return rng.choice((kept, bytes(self.data)))
        tail = bytes(self.data[len(kept) :])
        cut = tail[: rng.randint(0, len(tail))]
        if holes and len(cut) > 8 and rng.random() < 0.3:
            at = rng.randrange(len(cut) - 4)
            size = rng.randint(1, len(cut) - at)
            cut = cut[:at] + bytes(size) + cut[at + size :]
        return kept + cut


class Disk:
    """Names, inodes, and the operation at which something happens."""

    def __init__(self, path: str = "/disk") -> None:
        self.path = path
        self.entries: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.locked = False
        self.count = 0  # operations that change something or may fail
        self.log: list[str] = []
        # Told the number and the words of each operation; may raise OSError or Crash.
        self.before: Callable[[int, str], None] = lambda _n, _what: None
        self.room: int | None = None  # bytes that fit, over all files
        self.unreadable: int | None = None  # the errno with which reads fail

    def step(self, what: str) -> None:
        self.count += 1
        self.log.append(what)
        self.before(self.count, what)

    def used(self) -> int:
        return sum(len(inode.data) for inode in self.entries.values())

    # ---- the port ---------------------------------------------------------

    def lock(self) -> None:
        if self.locked:
            raise RuntimeError("locked twice: the test forgot a close or a crash")
        self.locked = True

    def unlock(self) -> None:
        self.locked = False

    def names(self) -> list[str]:
        return sorted(self.entries)

    def create(self, name: str) -> MemoryFile:
        self.step(f"create {name}")
        if name in self.entries:
            raise FileExistsError(errno.EEXIST, "File exists", name)
        inode = self.entries[name] = Inode()
        return MemoryFile(self, name, inode)

    def open(self, name: str) -> MemoryFile:
        self.step(f"open {name}")
        if name not in self.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return MemoryFile(self, name, self.entries[name])

    def rename(self, old: str, new: str) -> None:
        self.step(f"rename {old} {new}")
        self.entries[new] = self.entries.pop(old)

    def remove(self, name: str) -> None:
        self.step(f"remove {name}")
        if name not in self.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self.entries[name]

    def sync(self) -> None:
        self.step("sync folder")
        self.durable = dict(self.entries)

    # ---- a crash -------------------------------------------------------------

    def crashed(self, rng: Random, holes: bool = False) -> Disk:
        """The disk as the next start finds it; this one is not to be used any more."""
        after = Disk(self.path)
        after.room = self.room
        for name in sorted({*self.entries, *self.durable}):
            now, then = self.entries.get(name), self.durable.get(name)
            inode = now if now is then else rng.choice((now, then))
            if inode is not None:
                found = Inode()
                found.data = bytearray(inode.after_crash(rng, holes))
                found.synced = bytes(found.data)
                after.entries[name] = found
        after.durable = dict(after.entries)
        return after

    def copy(self) -> Disk:
        """Another disk with the same files, all of them durable."""
        twin = Disk(self.path)
        for name, inode in self.entries.items():
            found = twin.entries[name] = Inode()
            found.data = bytearray(inode.data)
            found.synced = bytes(inode.data)
        twin.durable = dict(twin.entries)
        return twin


class MemoryFile:
    """An open file; it outlives its name, as on Unix."""

    def __init__(self, disk: Disk, name: str, inode: Inode) -> None:
        self.disk = disk
        self.name = name
        self.inode = inode
        self.closed = False

    def _usable(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))

    def size(self) -> int:
        self._usable()
        return len(self.inode.data)

    def append(self, data: bytes) -> None:
        self._usable()
        try:
            self.disk.step(f"append {len(data)} {self.name}")
        except (OSError, Crash):
            # As far as it came.
            self.inode.data += data[: len(data) // 2]
            raise
        room = self.disk.room
        if room is not None and self.disk.used() + len(data) > room:
            self.inode.data += data[: max(room - self.disk.used(), 0)]
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self.inode.data += data

    def read(self, offset: int, size: int) -> bytes:
        self._usable()
        if self.disk.unreadable is not None:
            raise OSError(self.disk.unreadable, os.strerror(self.disk.unreadable))
        return bytes(self.inode.data[offset : offset + size])

    def sync(self) -> None:
        self._usable()
        self.disk.step(f"sync {self.name}")
        self.inode.synced = bytes(self.inode.data)

    def truncate(self, size: int) -> None:
        self._usable()
        self.disk.step(f"truncate {size} {self.name}")
        del self.inode.data[size:]

    def close(self) -> None:
        self.closed = True
