"""Observations of servers, local and of other instances, and which servers are doubted. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from tansywood.fleet.messages import Grant, Observation
from tansywood.fleet.signals import Kind, Signals
from tansywood.fleet.terms import SECOND

DOUBT_LIFETIME_NS = 2 * SECOND  # after an allocator last named the server
RECOVERY_LIFETIME_NS = DOUBT_LIFETIME_NS // 4  # the same for servers that answer others again
MAX_REPORTED_AGE_NS = 2 * SECOND  # older observations are not reported
OBSERVATION_RETENTION_NS = 10 * SECOND  # older observations are forgotten
MAX_DOUBTED_COUNT = 64  # servers in one grant


class Evidence:
    """The evidence that one instance has, as holder and as allocator.

    Servers are named `tenant/server`; times are nanoseconds.
    """

    def __init__(self) -> None:
        self._signals = Signals()  # of all holders that claim from this instance
        self._observations: dict[str, tuple[Kind, int]] = {}  # local, with time
        self._doubted_until: dict[str, int] = {}  # by server
        self._recovered_until: dict[str, int] = {}  # by server that answers others

    # ---- observations of local workers ----

    def record_local(self, seen: Mapping[str, tuple[Kind, int]]) -> list[str]:
        """Record a worker's observations; returns servers newly ejected at this instance."""
        newly_ejected = [
            server
            for server, (kind, _) in seen.items()
            if kind == Kind.EJECTED and not self.ejected_locally(server)
        ]
        self._observations |= dict(seen)
        return newly_ejected

    def ejected_locally(self, server: str) -> bool:
        """Whether a local worker's latest observation is that the server is ejected."""
        return self._observations.get(server, (Kind.ANSWERED, 0))[0] == Kind.EJECTED

    def recent_observations(self, now: int) -> list[Observation]:
        """The local observations that are recent enough to be sent to allocators."""
        return [
            Observation(server, int(kind), now - at)
            for server, (kind, at) in self._observations.items()
            if now - at <= MAX_REPORTED_AGE_NS
        ]

    # ---- as an allocator ----

    def record(self, now: int, life: bytes, seen: Iterable[Observation]) -> None:
        """Record the observations of a holder's claim."""
        self._signals.record(now, life, seen)

    def verdict(
        self, now: int, seen: Iterable[Observation], tenants: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """The verdict for a holder with these observations that claims for these tenants.

        Returns the doubted servers, and those that the holder ejected but that answer others.
        """
        doubted = self._signals.doubted(now, tenants)[:MAX_DOUBTED_COUNT]
        return doubted, self._signals.recovered(now, seen)

    # ---- as a holder ----

    def apply_verdict(self, now: int, grant: Grant) -> list[str]:
        """Apply an allocator's verdict; returns the servers that were not doubted before."""
        newly_doubted = []
        for server in grant.doubted:
            if self._doubted_until.get(server, 0) <= now:
                newly_doubted.append(server)
            self._doubted_until[server] = now + DOUBT_LIFETIME_NS
        for server in grant.back:
            self._recovered_until[server] = now + RECOVERY_LIFETIME_NS
        return newly_doubted

    def doubted(self, now: int, server: str) -> bool:
        """Whether the server gets one request at a time until it has answered one."""
        return self._doubted_until.get(server, 0) > now

    def recovered(self, now: int, server: str) -> bool:
        """Whether the server answers other instances again."""
        return self._recovered_until.get(server, 0) > now

    def sweep(self, now: int) -> None:
        """Drop expired evidence, verdicts and observations."""
        self._signals.sweep(now)
        self._doubted_until = {s: until for s, until in self._doubted_until.items() if until > now}
        self._recovered_until = {
            s: until for s, until in self._recovered_until.items() if until > now
        }
        self._observations = {
            s: row
            for s, row in self._observations.items()
            if now - row[1] <= OBSERVATION_RETENTION_NS
        }
