"""Which leases one instance should request, and which of its leases another should hold. Pure.

As in `spread`, a wrong decision here breaks no promise: it only affects which instance requests a
lease and which hands one over.
"""

from __future__ import annotations

from collections.abc import Iterable

from tansywood.fleet.turns import phase_offset
from tansywood.lease.context import Context
from tansywood.lease.spread import Ranking, misplaced
from tansywood.lease.terms import SECOND

MOVE_INTERVAL_NS = 2 * SECOND  # between two rounds of hand-overs that even out the leases
MOVE_DIVISOR = 8  # a round hands over one eighth of the misplaced leases
STAND_IN_DELAY_NS = 3 * SECOND  # after a start; before that not all members are known
SETTLED_AGE_NS = 10 * SECOND  # a member must have been known this long to be given leases


class Placement:
    """The tasks that one instance wants to run, and the instance that should hold each lease."""

    def __init__(self, context: Context) -> None:
        self.wanted_names: set[str] = set()  # leases that tasks of this instance want
        self.shared_names: set[str] = set()  # of them, those that every instance wants
        self.home_addresses: dict[str, str] = {}  # by lease: address of the preferred holder
        self.ranking = Ranking()
        self.draining = False
        self._context = context
        self._started_at = -1  # time of the first `record_start`
        # The offset differs between instances, so that they do not all hand over at once.
        self._next_move_at = phase_offset(context.name, MOVE_INTERVAL_NS)

    def record_start(self, now: int) -> None:
        """Record the time of the first call as the start."""
        if self._started_at < 0:
            self._started_at = now

    def names_to_request(self, now: int) -> set[str]:
        """The leases that this instance should request, to hold them or to wait for them."""
        to_request = (self.wanted_names - self.shared_names) if not self.draining else set()
        if self.shared_names:
            working = [p.name for p in self._context.peers.values() if p.accepts_leases]
            self.ranking.update(self.shared_names, working)
            ranked_first = self.ranking.names_ranked_first(self._context.name)
            to_request |= ranked_first - self.home_addresses.keys()
            to_request |= {
                n for n in self.home_addresses if self._should_request(now, n, n in ranked_first)
            }
        return to_request

    def _should_request(self, now: int, name: str, ranked_first: bool) -> bool:
        """Whether to request a lease that has a preferred instance. The preferred instance always
        does, the others that rank first for the lease only while that instance is away: a move of
        such a lease costs more than a holder at another place."""
        if self.draining or name not in self.shared_names:
            return False
        if self.home_addresses[name] == self._context.address(self._context.name):
            return True
        owner = [p for p in self._context.peers.values() if p.address == self.home_addresses[name]]
        away = not any(p.accepts_leases and p.is_unsuspected for p in owner)
        return ranked_first and away and now - self._started_at >= STAND_IN_DELAY_NS

    def due_moves(self, now: int, held: Iterable[str], unreachable: set[str]) -> dict[str, str]:
        """The held leases to hand over now, each with its next holder: all misplaced ones while the
        instance drains, otherwise an eighth of them in each round, and none between two rounds.
        Nothing is handed over to the instances in `unreachable`."""
        if self.draining:
            return self.all_moves(now, held, unreachable)
        if now < self._next_move_at:
            return {}
        self._next_move_at = now + MOVE_INTERVAL_NS
        shared = [n for n in held if n in self.shared_names]
        rows = sorted(self._misplaced(shared, self._settled(now, unreachable)).items())
        return dict(rows[: -(-len(rows) // MOVE_DIVISOR)])

    def all_moves(self, now: int, held: Iterable[str], unreachable: set[str]) -> dict[str, str]:
        """The held leases that others should have once this instance is gone, and which others."""
        others = [n for n in self._settled(now, unreachable) if n != self._context.name]
        return self._misplaced(list(held), others)

    def _settled(self, now: int, unreachable: set[str]) -> list[str]:
        """The members that may be given leases."""
        return [
            p.name
            for p in self._context.peers.values()
            if p.accepts_leases
            and p.name not in unreachable
            and (p.name == self._context.name or now - p.since >= SETTLED_AGE_NS)
        ]

    def _misplaced(self, names: list[str], members: list[str]) -> dict[str, str]:
        """Of these leases, those that another of the members should hold, with that member."""
        me = self._context.name
        member_at = {self._context.address(member): member for member in members}
        found = misplaced([n for n in names if n not in self.home_addresses], members, me)
        for name in names:
            owner = member_at.get(self.home_addresses.get(name, ""), me)
            if owner != me:
                found[name] = owner
            elif self.draining and name in self.home_addresses:
                found |= misplaced([name], members, me)
        return found
