"""What callers saw, when and where, and whether a rate was ever exceeded. Pure."""

from __future__ import annotations

from bisect import insort
from collections import Counter
from dataclasses import dataclass

from standins.ledger import End


@dataclass(frozen=True, slots=True)
class Passage:
    """One request: seconds of the rig's clock."""

    instance: str
    asked: float
    ended: float
    end: End
    status: int


class Meter:
    """All passages of one tenant."""

    def __init__(self) -> None:
        self.rows: list[Passage] = []

    def add(self, row: Passage) -> None:
        self.rows.append(row)

    def let_in(self) -> list[Passage]:
        """Those that a limit on rates did not turn away."""
        return [r for r in self.rows if r.status != 429]

    def excess(self, rate: float, burst: float) -> float:
        """By how many requests the limit was exceeded in the worst stretch of time, whole
        requests within it alone; 0 or less where it never was. Sound: what is counted in a
        stretch was certainly let in within it.

        Stretches begin where a request was asked and end where one ended.
        """
        rows = sorted(self.let_in(), key=lambda r: r.asked)
        worst = -burst
        # From the last beginning to the first: `inside` holds the ends of all that began later.
        inside: list[float] = []
        for at in range(len(rows) - 1, -1, -1):
            insort(inside, rows[at].ended)
            if at % STRIDE:
                continue
            begin = rows[at].asked
            for i in range(0, len(inside), STRIDE):
                over = i + 1 - rate * (inside[i] - begin) - burst
                worst = max(worst, over)
            last = len(inside) - 1
            worst = max(worst, last + 1 - rate * (inside[last] - begin) - burst)
        return worst

    def by_second(self, begin: float, instances: list[str]) -> dict[int, dict[str, Counter[End]]]:
        table: dict[int, dict[str, Counter[End]]] = {}
        for r in self.rows:
            second = table.setdefault(int(r.ended - begin), {n: Counter() for n in instances})
            second.setdefault(r.instance, Counter())[r.end] += 1
        return table

    def counts(self) -> Counter[End]:
        return Counter(r.end for r in self.rows)

    def served(self, instance: str, since: float, to: float) -> int:
        return sum(
            r.instance == instance and r.end == End.SERVED and since <= r.ended <= to
            for r in self.rows
        )


STRIDE = 5  # stretches are looked at from each so many-th request on: 5 requests' grain
