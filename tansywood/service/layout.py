"""What the supervisor is told: sockets to bind, parts to start with their words. Plain data.

It is made from the checked settings by `planned`, in a process that ends there; the supervisor
reads it without loading what reads and checks settings, which is several times its own size.
"""

from __future__ import annotations

from dataclasses import dataclass

Place = tuple[str, int]  # IPv4 address and port, 0 for any that is free


@dataclass(frozen=True, slots=True)
class SocketWord:
    """A word of a part's command line: `before`, and the number of a listening socket."""

    listener: str | None  # None: the administration's
    before: str = ""


@dataclass(frozen=True, slots=True)
class PartLayout:
    """One part: a module that is run, and its words."""

    name: str
    module: str
    words: tuple[str | SocketWord, ...]


@dataclass(frozen=True, slots=True)
class Layout:
    """One machine's service."""

    run: str  # the folder of the parts' sockets
    listeners: dict[str, Place]  # where callers come
    admin: Place | None  # where the administration API is; None where it is not here
    parts: tuple[PartLayout, ...]
    role: str = ""  # for the log: its part in the distribution of configuration
