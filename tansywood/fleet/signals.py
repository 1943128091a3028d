"""What instances observed of servers, with age and source, and which servers are doubted. Pure.

An instance reports only its own observations, with their age, and never relays those of others, so
no report can confirm itself. Reports of one source are ordered by their own time, so an old one
can't override a newer one. The only verdict is "doubted": the decision module then tries the server
with one request at a time until it has answered one. No server is removed because of evidence, and
a server that only other instances have named is not used.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from tansywood.fleet.messages import Observation
from tansywood.fleet.terms import SECOND

EVIDENCE_LIFETIME_NS = 3 * SECOND  # older evidence is ignored
MIN_AGREEING_SOURCES = 2  # that report a server as ejected
MAX_EJECTED_FRACTION = 0.5  # of a source's servers; beyond it the source is at fault
MAX_OBSERVATION_AGE_NS = 60 * SECOND  # older observations are dropped on receipt


class Kind(IntEnum):
    """What an instance observed of a server; sent as a number."""

    ANSWERED = 0  # the server has answered
    EJECTED = 1  # errors in a row, no answer, or no connection


@dataclass(frozen=True, slots=True)
class _Evidence:
    """One observation of one source, and when it was made (local time in nanoseconds)."""

    kind: Kind
    at: int


class Signals:
    """Evidence of all sources at one allocator. Servers are named `tenant/server`."""

    def __init__(self) -> None:
        self._words: dict[str, dict[bytes, _Evidence]] = {}
        self._by_source: dict[bytes, dict[str, _Evidence]] = {}

    def record(self, now: int, source: bytes, seen: Iterable[Observation]) -> None:
        """Record a source's observations; one older than its last on the same server is ignored."""
        for row in seen:
            if row.kind not in (Kind.ANSWERED, Kind.EJECTED) or row.age > MAX_OBSERVATION_AGE_NS:
                continue
            report = _Evidence(Kind(row.kind), now - row.age)
            known = self._words.get(row.server, {}).get(source)
            if known is None or report.at > known.at:
                self._words.setdefault(row.server, {})[source] = report
                self._by_source.setdefault(source, {})[row.server] = report

    def is_credible(self, now: int, source: bytes) -> bool:
        """Whether a source's reports of ejected servers count.

        They don't where more than half of the servers that it reports are ejected: the fault is
        then more likely its own, such as its network or clock.
        """
        reports = [
            e
            for e in self._by_source.get(source, {}).values()
            if now - e.at <= EVIDENCE_LIFETIME_NS
        ]
        bad = sum(e.kind == Kind.EJECTED for e in reports)
        return len(reports) < 2 or bad <= MAX_EJECTED_FRACTION * len(reports)

    def doubted(self, now: int, tenants: Iterable[str]) -> list[str]:
        """The doubted servers of these tenants, sorted.

        At least two credible sources report such a server as ejected, and fewer sources report that
        it answers.
        """
        tenant_names = set(tenants)
        servers = []
        for server, reports in self._words.items():
            if server.partition("/")[0] not in tenant_names:
                continue
            fresh = {s: e for s, e in reports.items() if now - e.at <= EVIDENCE_LIFETIME_NS}
            bad = sum(e.kind == Kind.EJECTED and self.is_credible(now, s) for s, e in fresh.items())
            good = sum(e.kind == Kind.ANSWERED for e in fresh.values())
            if bad >= MIN_AGREEING_SOURCES and bad > good:
                servers.append(server)
        return sorted(servers)

    def recovered(self, now: int, seen: Iterable[Observation]) -> list[str]:
        """Servers that a claim reports as ejected and that answered some source lately."""
        servers = []
        for row in seen:
            if row.kind == Kind.EJECTED:
                reports = self._words.get(row.server, {}).values()
                if any(
                    e.kind == Kind.ANSWERED and now - e.at <= EVIDENCE_LIFETIME_NS // 3
                    for e in reports
                ):
                    servers.append(row.server)
        return servers

    def sweep(self, now: int) -> None:
        """Drop evidence that has expired."""
        for server, by_source in list(self._words.items()):
            for source in [s for s, e in by_source.items() if now - e.at > EVIDENCE_LIFETIME_NS]:
                del by_source[source]
                rows = self._by_source.get(source, {})
                rows.pop(server, None)
                if not rows:
                    self._by_source.pop(source, None)
            if not by_source:
                del self._words[server]
