"""Which leases one instance should ask for, and which of those it holds belong to another. Pure.

Soft knowledge, as in `spread`: it only says who asks and who hands over.
"""

from __future__ import annotations

from collections.abc import Iterable

from tansywood.fleet.turns import phase_offset
from tansywood.lease.context import Context
from tansywood.lease.spread import Ranking, misplaced
from tansywood.lease.terms import SECOND

MOVE_EVERY = 2 * SECOND  # between two hand-overs for the sake of spread
MOVE_DIVISOR = 8  # one in so many of what is misplaced goes in one of them
STAND_IN = 3 * SECOND  # after a start, before which the members are not all known
SETTLED = 10 * SECOND  # a member counts for spread once it has been there so long


class Placement:
    """What would be done at one instance, and where each lease belongs."""

    def __init__(self, context: Context) -> None:
        self.wanted_names: set[str] = set()  # tasks that somebody here would do
        self.shared_names: set[str] = set()  # of them, those that every instance would do
        self.home_addresses: dict[
            str, str
        ] = {}  # the address at which a lease belongs, if it is there
        self.ranking = Ranking()
        self.draining = False
        self._context = context
        self._born = -1  # when it was looked at first
        self._next_move = phase_offset(context.name, MOVE_EVERY)  # not all at once

    def begin(self, now: int) -> None:
        """The first look at the clock."""
        if self._born < 0:
            self._born = now

    def to_ask_for(self, now: int) -> set[str]:
        """Leases that this instance should have, or wait for."""
        ours = (self.wanted_names - self.shared_names) if not self.draining else set()
        if self.shared_names:
            there = [p.name for p in self._context.peers.values() if p.accepts_leases]
            self.ranking.update(self.shared_names, there)
            near = self.ranking.near(self._context.name)
            ours |= near - self.home_addresses.keys()
            ours |= {n for n in self.home_addresses if self._stands_in(now, n, n in near)}
        return ours

    def _stands_in(self, now: int, name: str, near: bool) -> bool:
        """Whether to ask for what belongs to one of the instances: that one always does, the first
        few others while it is away. Every move of such a lease costs more than where it is."""
        if self.draining or name not in self.shared_names:
            return False
        if self.home_addresses[name] == self._context.address(self._context.name):
            return True
        owner = [p for p in self._context.peers.values() if p.address == self.home_addresses[name]]
        away = not any(p.accepts_leases and p.is_unsuspected for p in owner)
        return near and away and now - self._born >= STAND_IN

    def moves(self, now: int, held: Iterable[str], deaf: set[str]) -> dict[str, str]:
        """Of what is held, what to hand over now, and to whom: all that belongs to another when
        draining, an eighth at a time otherwise; nothing where no look is due. `deaf` are
        instances to which nothing is to go."""
        if self.draining:
            return self.all_moves(now, held, deaf)
        if now < self._next_move:
            return {}
        self._next_move = now + MOVE_EVERY
        mine = [n for n in held if n in self.shared_names]
        rows = sorted(self._misplaced(mine, self._settled(now, deaf)).items())
        return dict(rows[: -(-len(rows) // MOVE_DIVISOR)])

    def all_moves(self, now: int, held: Iterable[str], deaf: set[str]) -> dict[str, str]:
        """Of what is held, all that another should have once this instance is gone."""
        others = [n for n in self._settled(now, deaf) if n != self._context.name]
        return self._misplaced(list(held), others)

    def _settled(self, now: int, deaf: set[str]) -> list[str]:
        """Members to which something may be handed over."""
        return [
            p.name
            for p in self._context.peers.values()
            if p.accepts_leases
            and p.name not in deaf
            and (p.name == self._context.name or now - p.since >= SETTLED)
        ]

    def _misplaced(self, names: list[str], members: list[str]) -> dict[str, str]:
        """Of these, what belongs to another of the members, and to whom."""
        me = self._context.name
        at = {self._context.address(member): member for member in members}
        found = misplaced([n for n in names if n not in self.home_addresses], members, me)
        for name in names:
            owner = at.get(self.home_addresses.get(name, ""), me)
            if owner != me:
                found[name] = owner
            elif self.draining and name in self.home_addresses:
                found |= misplaced([name], members, me)
        return found
