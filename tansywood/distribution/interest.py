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

IN_USE = 3 * SECOND  # what was used within this time is not given up; use is told every second
LEAVING_MOST = 16  # tenants that are being given up at a time

Asker = tuple[str, int]  # a follower's name and the number of its question


class State(Enum):
    """The answer to whoever asks: every alias is held or nobody's, or that can't be said now."""

    DONE = "done"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Asked:
    """What to do about a question. `state` is None while it waits for lookups; `look_up` are the
    aliases of the lookup to open now; `keep` are tenants whose giving up has to be stopped."""

    state: State | None
    look_up: tuple[str, ...] = ()
    keep: tuple[str, ...] = ()


@dataclass(slots=True)
class _Held:
    aliases: tuple[str, ...]
    used: int
    pinned: bool


@dataclass(slots=True)
class _Waiter:
    remaining: set[str]
    unavailable: bool = False


class Interest:
    """Tenants held, questions open, aliases known to be nobody's. `counts` only grow."""

    def __init__(self, parameters: Parameters, now: int, bound: int, idle: int) -> None:
        """`bound` is how many tenants are held, `idle` how long one is held without use."""
        self.bound = bound
        self.idle = idle
        self.lookups_open = 0
        self.counts: Counter[str] = Counter()
        self._parameters = parameters
        self._in_use = min(IN_USE, idle)
        self._held: OrderedDict[str, _Held] = OrderedDict()  # the least recently used first
        self._owner: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._unknown: OrderedDict[str, int] = OrderedDict()  # until when
        self._open: dict[str, list[Asker]] = {}  # who waits for each alias that is looked up
        self._waiters: dict[Asker, _Waiter] = {}
        # Half of a second's worth at once: the source's own bucket then takes all of them.
        self._bucket = Bucket(now, parameters.lookups_per_s, parameters.lookups_per_s / 2)
        self._bucket.fill()

    # ---- reading ---------------------------------------------------------------------------

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, uid: object) -> bool:
        return uid in self._held

    def owner(self, alias: str) -> str | None:
        """The held tenant whose alias this is."""
        return self._owner.get(alias)

    def is_nobodys(self, alias: str) -> bool:
        """Whether the last answer was so, and no held tenant has it since."""
        return alias in self._unknown and alias not in self._owner

    @property
    def unknown_cached(self) -> int:
        return len(self._unknown)

    @property
    def waiting(self) -> int:
        """Questions that have no answer yet."""
        return len(self._waiters)

    # ---- tenants ---------------------------------------------------------------------------

    def hold(self, uid: str, aliases: Iterable[str], now: int, pinned: bool = False) -> None:
        """A tenant is held, or has other aliases than before. One without any is held and can't
        be served: its view could not be read."""
        before = self._held.get(uid)
        self._unbind(uid)
        held = _Held(tuple(aliases), before.used if before is not None else now, pinned)
        self._held[uid] = held
        for alias in held.aliases:
            self._owner[alias] = uid
            self._unknown.pop(alias, None)

    def drop(self, uid: str) -> None:
        """A tenant was deleted, or is not held any more."""
        self._unbind(uid)
        self._held.pop(uid, None)
        self._leaving.discard(uid)

    def use(self, uids: Iterable[str], now: int) -> None:
        """These have connections, or had requests."""
        for uid in uids:
            held = self._held.get(uid)
            if held is not None:
                held.used = now
                self._held.move_to_end(uid)

    # ---- questions -------------------------------------------------------------------------

    def ask(self, asker: Asker, aliases: Sequence[str], now: int, urgent: bool = False) -> Asked:
        """Whose are these? `urgent` is not bound by the limits on lookups."""
        self.counts["asked"] += not urgent
        found = {uid for alias in aliases if (uid := self._owner.get(alias)) is not None}
        self.use(found, now)
        keep = tuple(uid for uid in found if uid in self._leaving)
        missing = [a for a in dict.fromkeys(aliases) if not self._settled(a, now)]
        new = tuple(alias for alias in missing if alias not in self._open)
        if not missing:
            return Asked(State.DONE, (), keep)
        if new and not urgent and not self._may_look_up(now):
            self.counts["unavailable"] += 1
            return Asked(State.UNAVAILABLE, (), keep)
        self._wait(asker, missing)
        if new:
            self.lookups_open += 1
            self.counts["lookups"] += 1
        return Asked(None, new, keep)

    def answered(
        self, aliases: Sequence[str], uids: Sequence[str] | None, now: int
    ) -> list[tuple[Asker, State]]:
        """A lookup has ended; `uids` is None where nobody could say. What was found is held by
        now. Returns who is to be told what."""
        self.lookups_open -= 1
        self.counts["timed out" if uids is None else "answered"] += 1
        told: list[tuple[Asker, State]] = []
        for index, alias in enumerate(aliases):
            uid = uids[index] if uids is not None else None
            if uid == "":
                self._remember_unknown(alias, now)
            available = uid == "" or alias in self._owner
            told += self._settle(alias, available)
        return told

    def forget_askers(self, name: str) -> None:
        """A follower is gone, and with it its questions."""
        for asker in [asker for asker in self._waiters if asker[0] == name]:
            waiter = self._waiters.pop(asker)
            for alias in waiter.remaining:
                self._open[alias].remove(asker)

    # ---- giving up -------------------------------------------------------------------------

    def to_give_up(self, now: int) -> list[str]:
        """Tenants to be given up now; each ends in `given_up` or `kept`."""
        chosen: list[str] = []
        over = len(self._held) - len(self._leaving) - self.bound
        for uid, held in self._held.items():
            rest = now - held.used
            room = LEAVING_MOST - len(self._leaving) - len(chosen)
            if rest < self._in_use or room <= 0 or (rest < self.idle and over <= 0):
                break  # all that follow were used later
            if not held.pinned and uid not in self._leaving:
                chosen.append(uid)
                over -= 1
        self._leaving.update(chosen)
        return chosen

    def given_up(self, uid: str) -> None:
        if uid in self._held:
            self.counts["given up"] += 1
        self.drop(uid)

    def kept(self, uid: str, now: int) -> None:
        """It was in use after all."""
        if uid in self._leaving:
            self.counts["kept"] += 1
            self._leaving.discard(uid)
        self.use([uid], now)

    # ---- the parts -------------------------------------------------------------------------

    def _unbind(self, uid: str) -> None:
        held = self._held.get(uid)
        for alias in held.aliases if held is not None else ():
            if self._owner.get(alias) == uid:  # it may be another's by now
                del self._owner[alias]

    def _settled(self, alias: str, now: int) -> bool:
        return alias in self._owner or self._unknown.get(alias, now) > now

    def _remember_unknown(self, alias: str, now: int) -> None:
        self._unknown[alias] = now + self._parameters.unknown_alias_ttl_ns
        self._unknown.move_to_end(alias)
        while len(self._unknown) > self._parameters.max_unknown_aliases:
            self._unknown.popitem(last=False)

    def _may_look_up(self, now: int) -> bool:
        if self.lookups_open >= self._parameters.max_open_lookups or not self._has_room(now):
            return False
        return self._bucket.take(now) == 0

    def _has_room(self, now: int) -> bool:
        """Whether all that may be found can be held, giving up what is not in use."""
        over = len(self._held) + self.lookups_open + 1 - self.bound
        for held in self._held.values():
            if over <= 0 or now - held.used < self._in_use:
                break
            over -= not held.pinned
        return over <= 0

    def _wait(self, asker: Asker, aliases: Iterable[str]) -> None:
        waiter = self._waiters[asker] = _Waiter(set(aliases))
        for alias in waiter.remaining:
            self._open.setdefault(alias, []).append(asker)

    def _settle(self, alias: str, available: bool) -> list[tuple[Asker, State]]:
        told = []
        for asker in self._open.pop(alias, ()):
            waiter = self._waiters[asker]
            waiter.remaining.discard(alias)
            waiter.unavailable |= not available
            if not waiter.remaining:
                del self._waiters[asker]
                self.counts["unavailable"] += waiter.unavailable
                told.append((asker, State.UNAVAILABLE if waiter.unavailable else State.DONE))
        return told
