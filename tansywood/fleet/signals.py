"""What others saw of a server: evidence with age and source, and what may follow from it. Pure.

Only what an instance saw itself is ever told, with its age, and never told on: hearsay can't feed
itself, and old news can't come after newer (each source's is taken by its own time). The verdict
is "doubted": the decision module then tries the server with one request at a time until it has
answered one. Nothing here takes a server away, and one that only others have named is not used.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from tansywood.fleet.messages import Observation
from tansywood.fleet.terms import SECOND

FRESH = 3 * SECOND  # evidence is believed so long
SOURCES = 2  # that say the same, at least
MOST_PART = 0.5  # a source that calls more than this part of what it tells of bad is the bad one
OLDEST = 60 * SECOND  # evidence told older than this is none


class Kind(IntEnum):
    """What an instance saw of a server."""

    ANSWERED = 0  # it has answered
    EJECTED = 1  # ejected: errors in a row, no answer, no connection


@dataclass(frozen=True, slots=True)
class _Word:
    kind: Kind
    at: int


class Signals:
    """Evidence of all sources, at an allocator. Servers are named `tenant/server`."""

    def __init__(self) -> None:
        self._words: dict[str, dict[bytes, _Word]] = {}
        self._of: dict[bytes, dict[str, _Word]] = {}

    def record(self, now: int, source: bytes, seen: Iterable[Observation]) -> None:
        """What a source says it saw. Older than what it said before, it changes nothing."""
        for row in seen:
            if row.kind not in (Kind.ANSWERED, Kind.EJECTED) or row.age > OLDEST:
                continue
            word = _Word(Kind(row.kind), now - row.age)
            known = self._words.get(row.server, {}).get(source)
            if known is None or word.at > known.at:
                self._words.setdefault(row.server, {})[source] = word
                self._of.setdefault(source, {})[row.server] = word

    def sound(self, now: int, source: bytes) -> bool:
        """Whether a source's bad words count: not where most of what it tells of is bad, for
        then the fault is more likely its own (its network, its clock)."""
        words = [w for w in self._of.get(source, {}).values() if now - w.at <= FRESH]
        bad = sum(w.kind == Kind.EJECTED for w in words)
        return len(words) < 2 or bad <= MOST_PART * len(words)

    def doubted(self, now: int, tenants: Iterable[str]) -> list[str]:
        """Servers of these tenants that at least two sound sources find out, and more of them
        than find it good."""
        wanted = set(tenants)
        found = []
        for server, words in self._words.items():
            if server.partition("/")[0] not in wanted:
                continue
            fresh = {s: w for s, w in words.items() if now - w.at <= FRESH}
            bad = sum(w.kind == Kind.EJECTED and self.sound(now, s) for s, w in fresh.items())
            good = sum(w.kind == Kind.ANSWERED for w in fresh.values())
            if bad >= SOURCES and bad > good:
                found.append(server)
        return sorted(found)

    def recovered(self, now: int, seen: Iterable[Observation]) -> list[str]:
        """Of the servers that this claim calls out, those that have answered somebody since."""
        found = []
        for row in seen:
            if row.kind == Kind.EJECTED:
                words = self._words.get(row.server, {}).values()
                if any(w.kind == Kind.ANSWERED and now - w.at <= FRESH // 3 for w in words):
                    found.append(row.server)
        return found

    def sweep(self, now: int) -> None:
        """Forget what is no longer believed."""
        for server, by_source in list(self._words.items()):
            for source in [s for s, w in by_source.items() if now - w.at > FRESH]:
                del by_source[source]
                rows = self._of.get(source, {})
                rows.pop(server, None)
                if not rows:
                    self._of.pop(source, None)
            if not by_source:
                del self._words[server]
