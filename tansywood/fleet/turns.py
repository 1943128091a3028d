"""What one instance does for all: who has the turn, and when the next one takes over. Pure.

A turn is soft: both sides of a split have one each. It is for what may be done twice (a try of a
server that rests, a look), never for what must not: that takes a lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from tansywood.fleet.subsets import score
from tansywood.fleet.terms import SECOND

STEP = SECOND  # each next one waits so much longer before it takes over
MOST = 3  # steps


def rank_members(task: str, members: Iterable[str]) -> list[str]:
    """The members by their rank for a task. A member that comes or goes moves only its own
    tasks, and tasks spread evenly over members."""
    return sorted(members, key=lambda m: (-score(m, task), m))


def position(task: str, members: Iterable[str], name: str) -> int:
    """0 where it is this one's turn; the number of those before it. All that are not members
    come behind all that are."""
    row = rank_members(task, members)
    return row.index(name) if name in row else len(row)


def takeover_delay(task: str, members: Iterable[str], name: str) -> int:
    """How long this one leaves a task that is due to others, unless another's word comes: not at
    all where it is its turn, a step for each before it, of whom none can have done it. At most
    three steps: more than three in a row are lost with most of the fleet."""
    return min(position(task, members, name), MOST) * STEP


def phase_offset(name: str, period: int) -> int:
    """Where in a period this one does what everybody does once in it: the sum stays flat."""
    return int(score(name, "phase") * 2**32) % period
