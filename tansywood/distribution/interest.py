"""What an instance subscribes to: which lookups to open, who waits for them, what to give up. Pure.

The door asks whose some aliases are. What is held or lately known to be nobody's is answered at
once; for the rest one lookup is open for each alias, however many ask. Everything is bounded: open
lookups and their rate, remembered unknown aliases, and tenants held. A tenant is given up when it
was idle for long or, over the bound, when it was used least recently; one that is in use stays, and
while all are in use nothing new is looked up.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from tansywood.distribution.parameters import SECOND, Parameters
from tansywood.tenancy.limits import Bucket

IN_USE_NS = 3 * SECOND  # what was used within this time is not given up; use is told every second
MAX_EVICTIONS = 16  # tenants that are being given up at a time

Requester = tuple[str, int]  # a follower's name and the number of its question


class State(Enum):
    """The answer to whoever asks: every alias is held or nobody's, or that can't be said now."""

    DONE = "done"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Resolution:
    """What to do about a question. `state` is None while it waits for lookups; `look_up` are the
    aliases of the lookup to open now; `keep` are tenants whose giving up has to be stopped."""

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
    """Tenants held, questions open, aliases known to be nobody's. `counts` only grow."""

    def __init__(
        self, parameters: Parameters, now: int, max_tenants: int, idle_timeout: int
    ) -> None:
        """`bound` is how many tenants are held, `idle` how long one is held without use."""
        self.max_tenants = max_tenants
        self.idle_timeout = idle_timeout
        self.open_lookups = 0
        self.counts: Counter[str] = Counter()
        self._parameters = parameters
        self._in_use_period = min(IN_USE_NS, idle_timeout)
        self._tenants: OrderedDict[str, _HeldTenant] = (
            OrderedDict()
        )  # the least recently used first
        self._owner_by_alias: dict[str, str] = {}
        self._evicting: set[str] = set()
        self._unknown_until: OrderedDict[str, int] = OrderedDict()  # until when
        self._requesters_by_alias: dict[
            str, list[Requester]
        ] = {}  # who waits for each alias that is looked up
        self._pending_requests: dict[Requester, _PendingRequest] = {}
        # Half of a second's worth at once: the source's own bucket then takes all of them.
        self._bucket = Bucket(now, parameters.lookups_per_s, parameters.lookups_per_s / 2)
        self._bucket.fill()

    # ---- reading ---------------------------------------------------------------------------

    def __len__(self) -> int:
        return len(self._tenants)

    def __contains__(self, uid: object) -> bool:
        return uid in self._tenants

    def owner(self, alias: str) -> str | None:
        """The held tenant whose alias this is."""
        return self._owner_by_alias.get(alias)

    def is_unassigned(self, alias: str) -> bool:
        """Whether the last answer was so, and no held tenant has it since."""
        return alias in self._unknown_until and alias not in self._owner_by_alias

    @property
    def cached_unknown_count(self) -> int:
        return len(self._unknown_until)

    @property
    def waiting_requests(self) -> int:
        """Questions that have no answer yet."""
        return len(self._pending_requests)

    # ---- tenants ---------------------------------------------------------------------------

    def hold(self, uid: str, aliases: Iterable[str], now: int, pinned: bool = False) -> None:
        """A tenant is held, or has other aliases than before. One without any is held and can't
        be served: its view could not be read."""
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
        """A tenant was deleted, or is not held any more."""
        self._unbind_aliases(uid)
        self._tenants.pop(uid, None)
        self._evicting.discard(uid)

    def mark_used(self, uids: Iterable[str], now: int) -> None:
        """These have connections, or had requests."""
        for uid in uids:
            held = self._tenants.get(uid)
            if held is not None:
                held.last_used_at = now
                self._tenants.move_to_end(uid)

    # ---- questions -------------------------------------------------------------------------

    def resolve(
        self, requester: Requester, aliases: Sequence[str], now: int, urgent: bool = False
    ) -> Resolution:
        """Whose are these? `urgent` is not bound by the limits on lookups."""
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
        """A lookup has ended; `uids` is None where nobody could say. What was found is held by
        now. Returns who is to be told what."""
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
        """A follower is gone, and with it its questions."""
        for requester in [
            requester for requester in self._pending_requests if requester[0] == name
        ]:
            request = self._pending_requests.pop(requester)
            for alias in request.remaining:
                self._requesters_by_alias[alias].remove(requester)

    # ---- giving up -------------------------------------------------------------------------

    def select_evictions(self, now: int) -> list[str]:
        """Tenants to be given up now; each ends in `given_up` or `kept`."""
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
                break  # all that follow were used later
            if not held.pinned and uid not in self._evicting:
                evictions.append(uid)
                excess -= 1
        self._evicting.update(evictions)
        return evictions

    def finish_eviction(self, uid: str) -> None:
        if uid in self._tenants:
            self.counts["given up"] += 1
        self.drop(uid)

    def cancel_eviction(self, uid: str, now: int) -> None:
        """It was in use after all."""
        if uid in self._evicting:
            self.counts["kept"] += 1
            self._evicting.discard(uid)
        self.mark_used([uid], now)

    # ---- the parts -------------------------------------------------------------------------

    def _unbind_aliases(self, uid: str) -> None:
        held = self._tenants.get(uid)
        for alias in held.aliases if held is not None else ():
            if self._owner_by_alias.get(alias) == uid:  # it may be another's by now
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
        """Whether all that may be found can be held, giving up what is not in use."""
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
