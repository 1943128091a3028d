"""Who asked, what ran, what was answered: the promises, checked over a whole run.

Pure: told by callers and servers, it does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

REFUSED = frozenset((429, 503))


class End(StrEnum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BROKE = "broke"  # the connection ended under it, with no answer
    LEFT = "left"  # the caller went away by itself
    SILENT = "silent"  # the caller's time passed on an open connection


@dataclass(slots=True)
class Entry:
    kind: str
    unsafe: bool
    ends: list[End] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)  # the servers that ran it, in order
    wrong: bytes | None = None  # what it was served, where that was made for another


def served_body(rid: str) -> bytes:
    """What a stand-in server answers to a request: nobody else's answer looks like it."""
    return f"done:{rid}".encode()


class Ledger:
    """Every request by its id."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.strangers: Counter[str] = Counter()  # ids that ran and nobody asked for

    def asked(self, rid: str, kind: str, unsafe: bool) -> None:
        """Raises ValueError on an id that was asked before: callers take a new one each time."""
        if rid in self.entries:
            raise ValueError(f"request {rid} was asked before")
        self.entries[rid] = Entry(kind, unsafe)

    def ran(self, rid: str, server: str) -> None:
        entry = self.entries.get(rid)
        if entry is None:
            self.strangers[rid] += 1
        else:
            entry.ran.append(server)

    def answered(self, rid: str, status: int, body: bytes) -> End:
        entry = self.entries[rid]
        if status == 200:
            end = End.SERVED
            if body != served_body(rid):
                entry.wrong = body
        else:
            end = End.REFUSED if status in REFUSED else End.FAILED
        entry.ends.append(end)
        return end

    def ended(self, rid: str, end: End) -> None:
        """Without an answer: broke, left or silent."""
        self.entries[rid].ends.append(end)

    def counts(self) -> Counter[tuple[str, End]]:
        return Counter((e.kind, end) for e in self.entries.values() for end in e.ends)

    def problems(self, breaks: bool = True) -> list[str]:
        """Each broken promise, worded; `breaks` says whether connections may break."""
        found = [f"{rid} ran and nobody asked for it" for rid in self.strangers]
        for rid, e in self.entries.items():
            if len(e.ends) != 1:
                found.append(f"{rid} ({e.kind}) ended {len(e.ends)} times: {e.ends}")
            if e.wrong is not None:
                found.append(f"{rid} ({e.kind}) was served another's answer: {e.wrong[:60]!r}")
            if End.SILENT in e.ends:
                found.append(f"{rid} ({e.kind}) was lost: no answer in its time")
            if End.BROKE in e.ends and not breaks:
                found.append(f"{rid} ({e.kind}) was lost: its connection broke")
            if End.SERVED in e.ends and not e.ran:
                found.append(f"{rid} ({e.kind}) was served and never ran")
            if e.unsafe and len(e.ran) > 1:
                found.append(f"{rid} ({e.kind}) ran {len(e.ran)} times: {e.ran}")
            if e.unsafe and End.REFUSED in e.ends and e.ran:
                found.append(f"{rid} ({e.kind}) was refused and had run at {e.ran}")
        return found
