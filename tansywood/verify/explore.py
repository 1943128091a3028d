"""Breadth-first search over all reachable states of a model; finds a shortest violating run.

A model's states may have any type; `key` makes them comparable. The model has to guarantee that two
states with equal keys allow the same moves. `random_walk` does not depend on that guarantee.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Generic, Protocol, TypeVar

S = TypeVar("S")


class Model(Protocol[S]):
    """A state machine whose states `search` and `random_walk` explore."""

    def begin(self) -> S: ...
    def key(self, state: S) -> Hashable: ...
    def moves(self, state: S) -> Iterable[tuple[str, Callable[[], S | None]]]:
        """Yield the possible moves: a description, and a function that returns the next state, or
        None if nothing changes."""

    def broken(self, state: S) -> str:
        """Return the rule that this state violates, or an empty string."""


@dataclass
class SearchResult(Generic[S]):
    """The result of a search or of random walks."""

    states: int = 0
    moves: int = 0
    depth: int = 0
    complete: bool = True  # every state was visited; False if `max_states` ended the search
    broken: str = ""  # the violated rule
    run: list[str] = field(default_factory=list)  # the moves that lead to the violation

    def __str__(self) -> str:
        size = f"{self.states:,} states, {self.moves:,} moves, {self.depth} deep"
        if self.broken:
            steps = "\n".join(f"  {n:3} {line}" for n, line in enumerate(self.run, 1))
            return f"BROKEN after {size}: {self.broken}\n{steps}"
        return (
            f"{size}: " + ("all of them" if self.complete else "not all of them") + ", none broken"
        )


def search(
    model: Model[S], max_states: int = 1 << 60, progress: Callable[[int, int], None] | None = None
) -> SearchResult[S]:
    """Visit every state, or the first `max_states`, until one violates a rule. No run to a
    violation is shorter than the one returned."""
    result: SearchResult[S] = SearchResult()
    begin = model.begin()
    first = hash_of(model.key(begin))
    parents: dict[int, tuple[int, str]] = {first: (0, "")}  # previous state and move, by state
    queue: deque[tuple[int, int, S]] = deque([(first, 0, begin)])
    result.states = 1
    violation = model.broken(begin)
    if violation:
        result.broken = violation
        return result
    while queue:
        parent, depth, state = queue.popleft()
        result.depth = depth
        for line, next_state in model.moves(state):
            new = next_state()
            if new is None:
                continue
            result.moves += 1
            key = hash_of(model.key(new))
            if key in parents:
                continue
            parents[key] = (parent, line)
            result.states += 1
            violation = model.broken(new)
            if violation:
                result.broken = violation
                result.run = _run_to(parents, key)
                return result
            if result.states >= max_states:
                result.complete = False
                return result
            queue.append((key, depth + 1, new))
            if progress is not None and result.states % 10_000 == 0:
                progress(result.states, depth)
    return result


def hash_of(key: Hashable) -> int:
    """Return a 64-bit hash that stands for a state, as in Holzmann's hash compaction. Two of n
    states collide with a probability of n squared in 2 to the 65 (for a million states, 3 in 100
    million); a collision would hide one of them from the search."""
    return hash(key)


def _run_to(parents: dict[int, tuple[int, str]], key: int) -> list[str]:
    lines = []
    while parents[key][1]:
        key, line = parents[key][0], parents[key][1]
        lines.append(line)
    return lines[::-1]


def random_walk(model: Model[S], seed: int, walks: int, steps: int) -> SearchResult[S]:
    """Make `walks` runs of up to `steps` random moves, for sizes too large for a full search."""
    rng = Random(seed)
    result: SearchResult[S] = SearchResult(complete=False)
    for _ in range(walks):
        state = model.begin()
        lines: list[str] = []
        for depth in range(steps):
            moves = list(model.moves(state))
            if not moves:
                break
            line, next_state = rng.choice(moves)
            new = next_state()
            if new is None:
                continue
            result.moves += 1
            result.states += 1
            result.depth = max(result.depth, depth + 1)
            lines.append(line)
            state = new
            violation = model.broken(state)
            if violation:
                result.broken, result.run = violation, lines
                return result
    return result
