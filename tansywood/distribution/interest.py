"""Decides what an instance subscribes to: which lookups to open and which tenants to evict.

A follower (such as the door, which accepts the callers' connections) asks which tenants own some
aliases. An alias of a held tenant, or one that a recent lookup found to belong to no tenant, is
answered at once. For every other alias one lookup is open, however many requests wait for it.

Everything is bounded: the open lookups, their rate, the remembered unknown aliases and the held
tenants. A tenant is evicted after the idle timeout or, while more tenants are held than the bound
allows, when it is the least recently used. A tenant in use is never evicted; while all held tenants
are in use and the bound is reached, no new lookup is opened.

This module does no I/O and reads no clock. All times are nanoseconds of the caller's clock.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from tansywood.distribution.parameters import SECOND, Parameters
from tansywood.tenancy.limits import Bucket

# A tenant used within this time is not evicted. Followers report use once a second.
IN_USE_NS = 3 * SECOND
MAX_EVICTIONS = 16  # evictions under way at a time

Requester = tuple[str, int]  # the name of a follower and the number of its request


class State(Enum):
    """The answer to a request: DONE when the owner of every alias is held, or known not to exist;
    UNAVAILABLE when that can't be determined now."""

    DONE = "done"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Resolution:
    """What the caller of `Interest.resolve` has to do about a request.

    `state` is None while the request waits for lookups. `aliases_to_look_up` are the aliases of the
    lookup to open now. `evictions_to_cancel` are the requested tenants that are being evicted.
    """

    state: State | None
    aliases_to_look_up: tuple[str, ...] = ()
    evictions_to_cancel: tuple[str, ...] = ()


@dataclass(slots=True)
class _HeldTenant:
    aliases: tuple[str, ...]
    last_used_at: int
    pinned: bool


@dataclass(slots=True)
class _PendingRequest:
    remaining: set[str]
    any_unavailable: bool = False


class Interest:
    """Held tenants, pending requests, open lookups and aliases known to have no owner.

    The values of `counts` only grow.
    """

    def __init__(
        self, parameters: Parameters, now: int, max_tenants: int, idle_timeout: int
    ) -> None:
        """Hold at most `max_tenants`, each for `idle_timeout` (ns) without use."""
        self.max_tenants = max_tenants
        self.idle_timeout = idle_timeout
        self.open_lookups = 0
        self.counts: Counter[str] = Counter()
        self._parameters = parameters
        self._in_use_period = min(IN_USE_NS, idle_timeout)
        # The least recently used tenant comes first.
        self._tenants: OrderedDict[str, _HeldTenant] = OrderedDict()
        self._owner_by_alias: dict[str, str] = {}
        self._evicting: set[str] = set()
        # For each alias without an owner: when that stops being assumed.
        self._unknown_until: OrderedDict[str, int] = OrderedDict()
        # The requests that wait for each alias with an open lookup.
        self._requesters_by_alias: dict[str, list[Requester]] = {}
        self._pending_requests: dict[Requester, _PendingRequest] = {}
        # The burst is half of the lookups of one second, so that the source's own token bucket
        # accepts all of them.
        self._bucket = Bucket(now, parameters.lookups_per_s, parameters.lookups_per_s / 2)
        self._bucket.fill()

    # ---- reading ---------------------------------------------------------------------------

    def __len__(self) -> int:
        return len(self._tenants)

    def __contains__(self, uid: object) -> bool:
        return uid in self._tenants

    def owner(self, alias: str) -> str | None:
        """Return the uid of the held tenant that owns the alias, None if there is none."""
        return self._owner_by_alias.get(alias)

    def is_unassigned(self, alias: str) -> bool:
        """Whether the last lookup of the alias found no owner, and no held tenant owns it now."""
        return alias in self._unknown_until and alias not in self._owner_by_alias

    @property
    def cached_unknown_count(self) -> int:
        """How many aliases are remembered as having no owner."""
        return len(self._unknown_until)

    @property
    def waiting_requests(self) -> int:
        """How many requests have no answer yet."""
        return len(self._pending_requests)

    # ---- tenants ---------------------------------------------------------------------------

    def hold(self, uid: str, aliases: Iterable[str], now: int, pinned: bool = False) -> None:
        """Hold a tenant, or replace the aliases of a held one.

        A tenant without aliases is held but can't be served, because its view could not be read.
        """
        previous = self._tenants.get(uid)
        self._unbind_aliases(uid)
        held = _HeldTenant(
            tuple(aliases), previous.last_used_at if previous is not None else now, pinned
        )
        self._tenants[uid] = held
        for alias in held.aliases:
            self._owner_by_alias[alias] = uid
            self._unknown_until.pop(alias, None)

    def drop(self, uid: str) -> None:
        """Forget a tenant that was deleted or is not held any more."""
        self._unbind_aliases(uid)
        self._tenants.pop(uid, None)
        self._evicting.discard(uid)

    def mark_used(self, uids: Iterable[str], now: int) -> None:
        """Record that these tenants have open connections or had requests."""
        for uid in uids:
            held = self._tenants.get(uid)
            if held is not None:
                held.last_used_at = now
                self._tenants.move_to_end(uid)

    # ---- requests --------------------------------------------------------------------------

    def resolve(
        self, requester: Requester, aliases: Sequence[str], now: int, urgent: bool = False
    ) -> Resolution:
        """Start a request for the owners of these aliases.

        An `urgent` request is not subject to the limits on lookups.
        """
        self.counts["asked"] += not urgent
        owners = {uid for alias in aliases if (uid := self._owner_by_alias.get(alias)) is not None}
        self.mark_used(owners, now)
        evictions_to_cancel = tuple(uid for uid in owners if uid in self._evicting)
        missing = [a for a in dict.fromkeys(aliases) if not self._is_known(a, now)]
        new = tuple(alias for alias in missing if alias not in self._requesters_by_alias)
        if not missing:
            return Resolution(State.DONE, (), evictions_to_cancel)
        if new and not urgent and not self._can_open_lookup(now):
            self.counts["unavailable"] += 1
            return Resolution(State.UNAVAILABLE, (), evictions_to_cancel)
        self._add_request(requester, missing)
        if new:
            self.open_lookups += 1
            self.counts["lookups"] += 1
        return Resolution(None, new, evictions_to_cancel)

    def complete_lookup(
        self, aliases: Sequence[str], uids: Sequence[str] | None, now: int
    ) -> list[tuple[Requester, State]]:
        """End a lookup and return the requests that it answers, with their answers.

        `uids` holds the owner of each alias, empty for an alias without an owner. It is None when
        the lookup timed out. The caller holds the tenants that were found before this call.
        """
        self.open_lookups -= 1
        self.counts["timed out" if uids is None else "answered"] += 1
        results: list[tuple[Requester, State]] = []
        for index, alias in enumerate(aliases):
            uid = uids[index] if uids is not None else None
            if uid == "":
                self._remember_unknown(alias, now)
            is_available = uid == "" or alias in self._owner_by_alias
            results += self._resolve_alias(alias, is_available)
        return results

    def forget_requests(self, name: str) -> None:
        """Drop the pending requests of a follower that has disconnected."""
        for requester in [
            requester for requester in self._pending_requests if requester[0] == name
        ]:
            request = self._pending_requests.pop(requester)
            for alias in request.remaining:
                self._requesters_by_alias[alias].remove(requester)

    # ---- eviction --------------------------------------------------------------------------

    def select_evictions(self, now: int) -> list[str]:
        """Start evictions and return their tenants.

        The caller ends each eviction with `finish_eviction` or `cancel_eviction`.
        """
        evictions: list[str] = []
        excess = len(self._tenants) - len(self._evicting) - self.max_tenants
        for uid, held in self._tenants.items():
            idle_for = now - held.last_used_at
            room = MAX_EVICTIONS - len(self._evicting) - len(evictions)
            if (
                idle_for < self._in_use_period
                or room <= 0
                or (idle_for < self.idle_timeout and excess <= 0)
            ):
                break  # the tenants that follow were used more recently
            if not held.pinned and uid not in self._evicting:
                evictions.append(uid)
                excess -= 1
        self._evicting.update(evictions)
        return evictions

    def finish_eviction(self, uid: str) -> None:
        """Drop a tenant that no follower on this node holds any more."""
        if uid in self._tenants:
            self.counts["given up"] += 1
        self.drop(uid)

    def cancel_eviction(self, uid: str, now: int) -> None:
        """Keep a tenant that was used while it was being evicted."""
        if uid in self._evicting:
            self.counts["kept"] += 1
            self._evicting.discard(uid)
        self.mark_used([uid], now)

    # ---- helpers ---------------------------------------------------------------------------

    def _unbind_aliases(self, uid: str) -> None:
        held = self._tenants.get(uid)
        for alias in held.aliases if held is not None else ():
            if self._owner_by_alias.get(alias) == uid:  # another tenant may own it by now
                del self._owner_by_alias[alias]

    def _is_known(self, alias: str, now: int) -> bool:
        return alias in self._owner_by_alias or self._unknown_until.get(alias, now) > now

    def _remember_unknown(self, alias: str, now: int) -> None:
        self._unknown_until[alias] = now + self._parameters.unknown_alias_ttl_ns
        self._unknown_until.move_to_end(alias)
        while len(self._unknown_until) > self._parameters.max_unknown_aliases:
            self._unknown_until.popitem(last=False)

    def _can_open_lookup(self, now: int) -> bool:
        if self.open_lookups >= self._parameters.max_open_lookups or not self._has_room(now):
            return False
        return self._bucket.take(now) == 0

    def _has_room(self, now: int) -> bool:
        """Whether every tenant that open lookups may find can be held, after evicting tenants that
        are not in use."""
        excess = len(self._tenants) + self.open_lookups + 1 - self.max_tenants
        for held in self._tenants.values():
            if excess <= 0 or now - held.last_used_at < self._in_use_period:
                break
            excess -= not held.pinned
        return excess <= 0

    def _add_request(self, requester: Requester, aliases: Iterable[str]) -> None:
        request = self._pending_requests[requester] = _PendingRequest(set(aliases))
        for alias in request.remaining:
            self._requesters_by_alias.setdefault(alias, []).append(requester)

    def _resolve_alias(self, alias: str, is_available: bool) -> list[tuple[Requester, State]]:
        results = []
        for requester in self._requesters_by_alias.pop(alias, ()):
            request = self._pending_requests[requester]
            request.remaining.discard(alias)
            request.any_unavailable |= not is_available
            if not request.remaining:
                del self._pending_requests[requester]
                self.counts["unavailable"] += request.any_unavailable
                results.append(
                    (requester, State.UNAVAILABLE if request.any_unavailable else State.DONE)
                )
        return results
