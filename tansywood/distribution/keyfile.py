"""The fleet's keys as a file gives them, read anew when it changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from tansywood.fleet.seal import KeyFileError, read_keys


class KeyFile:
    """The keys of a file, the first seals. A file that turns bad changes nothing."""

    def __init__(self, path: Path, log: Callable[[str], None] = lambda _text: None) -> None:
        """KeyFileError where the file can't be used now."""
        self._path = path
        self._log = log
        self._seen = 0
        self._keys: Sequence[bytes] = self._read()

    def __call__(self) -> Sequence[bytes]:
        """The keys that are in force; the file is looked at, and read where it is another."""
        try:
            if self._path.stat().st_mtime_ns == self._seen:
                return self._keys
            self._keys = self._read()
        except (OSError, KeyFileError) as err:
            self._log(f"{self._path}: {err}; the old keys stay in force")
        return self._keys

    def _read(self) -> Sequence[bytes]:
        try:
            found = self._path.stat()
            self._seen = found.st_mtime_ns
            if found.st_mode & 0o077:
                raise KeyFileError("others may read it: chmod 600")
            return read_keys(self._path.read_text())
        except (OSError, UnicodeDecodeError) as err:
            raise KeyFileError(f"can't be read: {err}") from None
