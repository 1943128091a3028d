"""A fleet's key file: who may read it, what it holds, and a rotation while the process runs."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path

from tansywood.fleet.seal import KeyFileError, read_keys


class KeyFile:
    """The keys of a file, the first one seals. Read anew where the file has changed; a file that
    can't be used then changes nothing, and is told to `log` once."""

    def __init__(self, path: Path, log: Callable[[str], None] = lambda _text: None) -> None:
        """KeyFileError where it can't be used, with what to do."""
        self.path = path
        self._log = log
        self._seen = 0
        self._keys = self._read()

    def __call__(self) -> Sequence[bytes]:
        """The keys in force now."""
        if self._modified() not in (0, self._seen):
            try:
                self._keys = self._read()
            except KeyFileError as err:
                self._log(f"{self.path}: {err}; the old keys stay in force")
                self._seen = self._modified()
        return self._keys

    def _modified(self) -> int:
        with contextlib.suppress(OSError):
            return self.path.stat().st_mtime_ns
        return 0

    def _read(self) -> Sequence[bytes]:
        try:
            found = self.path.stat()
            if found.st_mode & 0o077:
                raise KeyFileError("others may read it: chmod 600")
            keys = read_keys(self.path.read_text())
        except (OSError, UnicodeDecodeError) as err:
            raise KeyFileError(f"can't be read: {err}") from None
        self._seen = found.st_mtime_ns
        return keys
