"""What was seen of servers, here and by others, and which servers that makes doubtful. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from tansywood.fleet.messages import Grant, Observation
from tansywood.fleet.signals import Kind, Signals
from tansywood.fleet.terms import SECOND

DOUBT_FOR = 2 * SECOND  # after the last word of an allocator
BACK_FOR = DOUBT_FOR // 4  # the same, for servers that answer others again
TELL_FOR = 2 * SECOND  # what was seen longer ago is not told
KEEP_FOR = 10 * SECOND  # nor remembered beyond this
MOST_DOUBTED = 64  # servers in one grant


class Evidence:
    """Servers are named `tenant/server`."""

    def __init__(self) -> None:
        self._signals = Signals()  # of all holders that claim from us
        self._seen: dict[str, tuple[Kind, int]] = {}  # here, and when
        self._doubts: dict[str, int] = {}  # server -> until when
        self._backs: dict[str, int] = {}  # the same, of those that answer others again

    # ---- of our own workers ----

    def record_local(self, seen: Mapping[str, tuple[Kind, int]]) -> list[str]:
        """What a worker saw; returns the servers that it is the first to find out here."""
        found = [
            server
            for server, (kind, _) in seen.items()
            if kind == Kind.EJECTED and not self.ejected_locally(server)
        ]
        self._seen |= dict(seen)
        return found

    def ejected_locally(self, server: str) -> bool:
        """Whether it was found out here."""
        return self._seen.get(server, (Kind.ANSWERED, 0))[0] == Kind.EJECTED

    def recent_observations(self, now: int) -> list[Observation]:
        """What allocators are told."""
        return [
            Observation(server, int(kind), now - at)
            for server, (kind, at) in self._seen.items()
            if now - at <= TELL_FOR
        ]

    # ---- as an allocator ----

    def record(self, now: int, life: bytes, seen: Iterable[Observation]) -> None:
        """What a holder saw."""
        self._signals.record(now, life, seen)

    def verdict(
        self, now: int, seen: Iterable[Observation], tenants: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """For a holder that has seen this and claims for these tenants: servers that are doubted,
        and those of which it says bad things that have answered others since."""
        doubted = self._signals.doubted(now, tenants)[:MOST_DOUBTED]
        return doubted, self._signals.recovered(now, seen)

    # ---- as a holder ----

    def apply_verdict(self, now: int, grant: Grant) -> list[str]:
        """An allocator's verdict; returns the servers that were not doubted before."""
        fresh = []
        for server in grant.doubted:
            if self._doubts.get(server, 0) <= now:
                fresh.append(server)
            self._doubts[server] = now + DOUBT_FOR
        for server in grant.back:
            self._backs[server] = now + BACK_FOR
        return fresh

    def doubted(self, now: int, server: str) -> bool:
        """Whether it gets one request at a time until it has answered one."""
        return self._doubts.get(server, 0) > now

    def recovered(self, now: int, server: str) -> bool:
        """Whether it answers others again."""
        return self._backs.get(server, 0) > now

    def sweep(self, now: int) -> None:
        """Forget what is over."""
        self._signals.sweep(now)
        self._doubts = {s: until for s, until in self._doubts.items() if until > now}
        self._backs = {s: until for s, until in self._backs.items() if until > now}
        self._seen = {s: row for s, row in self._seen.items() if now - row[1] <= KEEP_FOR}
