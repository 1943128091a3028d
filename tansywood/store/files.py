"""The one place where the store touches a disk, as a port, and the real one behind it.

Paths are names within the store's own folder. A test passes an implementation that owns what
is durable and fails each operation in turn (standins/disk.py).
"""

from __future__ import annotations

import errno
import fcntl
import os
from os import pread
from pathlib import Path
from typing import Protocol

from tansywood.store.errors import StoreLocked


class File(Protocol):
    """One open file. Each method raises OSError where the disk fails."""

    def size(self) -> int: ...

    def append(self, data: bytes) -> None:
        """Write all of it at the end; on an error any part of it may be there."""

    def read(self, offset: int, size: int) -> bytes:
        """As much as there is, up to size."""

    def sync(self) -> None:
        """Return once all that was appended is on the disk (fdatasync(2))."""

    def truncate(self, size: int) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """One folder, and the lock on it."""

    path: str

    def lock(self) -> None:
        """Take the folder for this process until `unlock`; raises StoreLocked."""

    def unlock(self) -> None: ...

    def names(self) -> list[str]:
        """The files in the folder, but for the lock."""

    def create(self, name: str) -> File:
        """A new, empty file; FileExistsError where there is one."""

    def open(self, name: str) -> File: ...

    def rename(self, old: str, new: str) -> None:
        """Atomic; replaces what is there. Durable after `sync`."""

    def remove(self, name: str) -> None: ...

    def sync(self) -> None:
        """Make the folder's entries durable (fsync(2) of the folder)."""


class RealFile:
    """A file of the operating system."""

    def __init__(self, path: Path, flags: int) -> None:
        self._fd = os.open(path, flags | os.O_RDWR | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)  # EINTR is Python's matter (PEP 475)
            if not written:
                raise OSError(errno.EIO, "a write of nothing")
            view = view[written:]

    def read(self, offset: int, size: int) -> bytes:
        data = pread(self._fd, size, offset)
        if len(data) == size or not data:
            return data
        parts = [data]
        left = size - len(data)
        while left and (data := pread(self._fd, left, offset + size - left)):
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def sync(self) -> None:
        os.fdatasync(self._fd)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def close(self) -> None:
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            os.close(fd)


class RealFiles:
    """A folder of the operating system; made where it is not there."""

    LOCK = "LOCK"

    def __init__(self, path: str | os.PathLike[str]) -> None:
        """OSError where the folder can't be made or entered."""
        self.path = os.fspath(path)
        self._folder = Path(path)
        if not self._folder.is_dir():
            self._folder.mkdir(mode=0o700, parents=True)
            parent = os.open(self._folder.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(parent)
            finally:
                os.close(parent)
        self._lock = -1

    def lock(self) -> None:
        # The kernel's own lock goes with its process; the file stays, and its text only
        # says whom to look for.
        fd = os.open(self._folder / self.LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as err:
            text = os.pread(fd, 32, 0).strip()
            os.close(fd)
            if err.errno not in (errno.EWOULDBLOCK, errno.EACCES):
                raise
            raise StoreLocked(self.path, int(text) if text.isdigit() else 0) from None
        os.ftruncate(fd, 0)
        os.pwrite(fd, b"%d\n" % os.getpid(), 0)
        self._lock = fd

    def unlock(self) -> None:
        if self._lock >= 0:
            fd, self._lock = self._lock, -1
            os.close(fd)

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._folder) if name != self.LOCK)

    def create(self, name: str) -> RealFile:
        return RealFile(self._folder / name, os.O_CREAT | os.O_EXCL)

    def open(self, name: str) -> RealFile:
        return RealFile(self._folder / name, 0)

    def rename(self, old: str, new: str) -> None:
        os.rename(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self._folder / name)

    def sync(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
