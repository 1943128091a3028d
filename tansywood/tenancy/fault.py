"""A fault of something that people wrote: where it is, what it is, and the remedy.

Apart from `checks`, so that whoever names faults need not load the schema's library.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """`path` is a JSON Pointer (RFC 6901), `what` the fault, `allowed` the remedy."""

    path: str
    what: str
    allowed: str = ""

    def __str__(self) -> str:
        return f"{self.path or '/'}: {self.what}" + (f"; {self.allowed}" if self.allowed else "")
