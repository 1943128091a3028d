"""What each node put into force and when. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from standins.scale.changes import ChangeKind
from standins.scale.records import ABSENT, DOWN, NO_TENANT, UP, Applied, Committed


@dataclass(frozen=True, slots=True)
class Interval:
    """Of time.monotonic_ns()."""

    begin: int
    end: int


class Generations:
    """The tenants that had one name, one after another, as the changes tell of them."""

    def __init__(self, committed: Iterable[Committed]) -> None:
        self._first: dict[int, dict[int, int]] = {}  # revisions, by tenant and generation
        self._deleted: dict[tuple[int, int], int] = {}  # when the call began
        for change in sorted(committed, key=lambda change: change.revision):
            first = self._first.setdefault(change.tenant, {})
            first.setdefault(change.generation, change.revision)
            if change.kind is ChangeKind.DELETE:
                self._deleted[change.tenant, change.generation] = change.at

    def shows(self, row: Applied, change: Committed) -> bool:
        """Whether a node that has put this into force has the change, or a later state."""
        if row.revision == ABSENT:  # news of a tenant only once it is deleted
            deleted = self._deleted.get((change.tenant, change.generation))
            return deleted is not None and row.at >= deleted
        if row.generation == change.generation:
            return row.revision >= change.revision
        first = self._first[change.tenant]
        return first.get(row.generation, 0) > first[change.generation]


class History:
    """What each node put into force and when, of the tenants that were changed."""

    def __init__(self, rows: Iterable[Applied], committed: Sequence[Committed]) -> None:
        self.out_of_order = 0
        self._generations = Generations(committed)
        self._states: dict[tuple[int, int], list[Applied]] = {}
        self._down: dict[int, list[Interval]] = {}
        down_since: dict[int, int] = {}
        # Revisions by node and tenant, of this life of the node.
        latest: dict[int, dict[tuple[int, int], int]] = {}
        changed = {change.tenant for change in committed}
        for row in rows:
            if row.tenant == NO_TENANT:
                if row.revision == DOWN:
                    down_since[row.node] = row.at
                elif row.revision == UP:
                    latest[row.node] = {}
                    since = down_since.pop(row.node, 0)
                    self._down.setdefault(row.node, []).append(Interval(since, row.at))
                continue
            if row.revision != ABSENT:
                known, place = latest[row.node], (row.tenant, row.generation)
                self.out_of_order += row.revision < known.get(place, 0)
                known[place] = max(row.revision, known.get(place, 0))
            if row.tenant in changed:
                self._states.setdefault((row.node, row.tenant), []).append(row)

    def reached(self, node: int, change: Committed) -> int | None:
        """When a node had a change, or a later state of its tenant."""
        for row in self._states.get((node, change.tenant), ()):
            if self._generations.shows(row, change):
                return row.at
        return None

    def returned(self, node: int, begin: int, end: int) -> int:
        """The last return of a node in between; `begin` where it was up all the time."""
        ends = [i.end for i in self._down.get(node, ()) if begin < i.end <= end]
        return max(ends, default=begin)
