"""Turns: which instance does a task for the whole fleet, and when the next takes over. Pure.

A turn is not exclusive: in a network split each side has a turn for the same task. It suits tasks
that may be done twice, such as a probe of an ejected server. A task that must not be done twice
needs a lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from tansywood.fleet.subsets import score
from tansywood.fleet.terms import SECOND

TAKEOVER_STEP_NS = SECOND  # added wait of each next member in the ranking
MAX_TAKEOVER_STEPS = 3


def rank_members(task: str, members: Iterable[str]) -> list[str]:
    """The members ranked for a task, the first one has the turn.

    A member that joins or leaves moves only its own tasks, and tasks spread evenly over members.
    """
    return sorted(members, key=lambda m: (-score(m, task), m))


def position(task: str, members: Iterable[str], name: str) -> int:
    """The number of members ranked before this one; 0 means that it has the turn.

    A name that is not a member is ranked behind all members.
    """
    ranked = rank_members(task, members)
    return ranked.index(name) if name in ranked else len(ranked)


def takeover_delay(task: str, members: Iterable[str], name: str) -> int:
    """How long a member waits before it takes over a due task, in nanoseconds.

    The wait is one step for each member ranked before it, 0 for the one that has the turn. It is at
    most three steps: more than three members in a row are down only if most of the fleet is.
    """
    return min(position(task, members, name), MAX_TAKEOVER_STEPS) * TAKEOVER_STEP_NS


def phase_offset(name: str, period: int) -> int:
    """A member's own offset in a period, so that periodic tasks of all members are spread out."""
    return int(score(name, "phase") * 2**32) % period
