"""A fleet's key file: its permissions, its content, and key rotation without a restart."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path

from tansywood.fleet.seal import KeyFileError, read_keys


class KeyFile:
    """The keys of a file; the first one seals.

    The file is read again when it has changed. If it can't be used then, the old keys stay in force
    and the fault is logged once.
    """

    def __init__(self, path: Path, log: Callable[[str], None] = lambda _text: None) -> None:
        """KeyFileError, with the remedy, where the file can't be used."""
        self.path = path
        self._log = log
        self._read_mtime_ns = 0
        self._keys = self._read()

    def __call__(self) -> Sequence[bytes]:
        """The keys in force now, read again if the file has changed."""
        if self._mtime_ns() not in (0, self._read_mtime_ns):
            try:
                self._keys = self._read()
            except KeyFileError as err:
                self._log(f"{self.path}: {err}; the old keys stay in force")
                self._read_mtime_ns = self._mtime_ns()
        return self._keys

    def _mtime_ns(self) -> int:
        with contextlib.suppress(OSError):
            return self.path.stat().st_mtime_ns
        return 0

    def _read(self) -> Sequence[bytes]:
        try:
            status = self.path.stat()
            if status.st_mode & 0o077:
                raise KeyFileError("other users may read it: run chmod 600 on it")
            keys = read_keys(self.path.read_text())
        except (OSError, UnicodeDecodeError) as err:
            raise KeyFileError(f"can't be read, check its path and owner: {err}") from None
        self._read_mtime_ns = status.st_mtime_ns
        return keys
