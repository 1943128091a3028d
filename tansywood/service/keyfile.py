"""The fleet's key file, read anew when it changes; a bad one changes nothing."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from pathlib import Path

from tansywood.fleet.seal import KeyFileError, read_keys


class KeyFile:
    """Call it for the keys in force."""

    def __init__(self, path: Path, log: Callable[[str], None]) -> None:
        """KeyFileError where the file can't be used now."""
        self._path = path
        self._log = log
        self._seen = 0  # when the file was changed last
        self._keys = self._read()

    def __call__(self) -> Sequence[bytes]:
        with contextlib.suppress(OSError):
            if self._path.stat().st_mtime_ns != self._seen:
                self._read_again()
        return self._keys

    def _read_again(self) -> None:
        try:
            self._keys = self._read()
            self._log("keys read anew")
        except KeyFileError as err:
            self._log(f"{self._path}: {err}; the old keys stay in force")

    def _read(self) -> list[bytes]:
        try:
            found = self._path.stat()
            self._seen = found.st_mtime_ns
            if found.st_mode & 0o077:
                raise KeyFileError("others may read it: chmod 600")
            return read_keys(self._path.read_text())
        except (OSError, UnicodeDecodeError) as err:
            raise KeyFileError(f"can't be read: {err}") from None
