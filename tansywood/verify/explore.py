"""A search over every reachable state of a model, breadth first, with the shortest broken run.

A model's states are whatever it likes; `key` makes them comparable. What two states of one key may
do must be the same: that is the model's to promise, and `random_walk` besides looks without it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Generic, Protocol, TypeVar

S = TypeVar("S")


class Model(Protocol[S]):
    """What is searched."""

    def begin(self) -> S: ...
    def key(self, state: S) -> Hashable: ...
    def moves(self, state: S) -> Iterable[tuple[str, Callable[[], S | None]]]:
        """What may happen next: a line for people, and what it leads to (None: to nothing new)."""

    def broken(self, state: S) -> str:
        """The rule that this state breaks, or nothing."""


@dataclass
class Found(Generic[S]):
    """What a search came to."""

    states: int = 0
    moves: int = 0
    depth: int = 0
    whole: bool = True  # every state was seen; false where `most` ended it
    broken: str = ""
    run: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        size = f"{self.states:,} states, {self.moves:,} moves, {self.depth} deep"
        if self.broken:
            steps = "\n".join(f"  {n:3} {line}" for n, line in enumerate(self.run, 1))
            return f"BROKEN after {size}: {self.broken}\n{steps}"
        return f"{size}: " + ("all of them" if self.whole else "not all of them") + ", none broken"


def search(
    model: Model[S], most: int = 1 << 60, progress: Callable[[int, int], None] | None = None
) -> Found[S]:
    """Every state, or the first `most`. The run of a broken one is as short as any."""
    found: Found[S] = Found()
    begin = model.begin()
    first = hash_of(model.key(begin))
    came: dict[int, tuple[int, str]] = {first: (0, "")}
    row: deque[tuple[int, int, S]] = deque([(first, 0, begin)])
    found.states = 1
    wrong = model.broken(begin)
    if wrong:
        found.broken = wrong
        return found
    while row:
        at, depth, state = row.popleft()
        found.depth = depth
        for line, go in model.moves(state):
            new = go()
            if new is None:
                continue
            found.moves += 1
            key = hash_of(model.key(new))
            if key in came:
                continue
            came[key] = (at, line)
            found.states += 1
            wrong = model.broken(new)
            if wrong:
                found.broken = wrong
                found.run = _run(came, key)
                return found
            if found.states >= most:
                found.whole = False
                return found
            row.append((key, depth + 1, new))
            if progress is not None and found.states % 10_000 == 0:
                progress(found.states, depth)
    return found


def hash_of(key: Hashable) -> int:
    """64 bits stand for a state, as in Holzmann's hash compaction: of n states two share one with
    a chance of n squared in 2 to the 65 (a million: 3 in 100 million), which could hide one."""
    return hash(key)


def _run(came: dict[int, tuple[int, str]], key: int) -> list[str]:
    lines = []
    while came[key][1]:
        key, line = came[key][0], came[key][1]
        lines.append(line)
    return lines[::-1]


def random_walk(model: Model[S], seed: int, walks: int, steps: int) -> Found[S]:
    """So many runs of so many moves, each drawn; for sizes that no search gets through."""
    rng = Random(seed)
    found: Found[S] = Found(whole=False)
    for _ in range(walks):
        state = model.begin()
        lines: list[str] = []
        for depth in range(steps):
            moves = list(model.moves(state))
            if not moves:
                break
            line, go = rng.choice(moves)
            new = go()
            if new is None:
                continue
            found.moves += 1
            found.states += 1
            found.depth = max(found.depth, depth + 1)
            lines.append(line)
            state = new
            wrong = model.broken(state)
            if wrong:
                found.broken, found.run = wrong, lines
                return found
    return found
