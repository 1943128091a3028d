"""What one tenant's callers got: counters that only grow, and times in quarter octaves."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

MS = 1_000_000
STEPS = 4  # to an octave: a step is a fifth
LEAST = MS // 4


class ClassReport:
    """One class's; times from a request's arrival to its answer, served ones only."""

    __slots__ = ("asked", "failed", "refused", "served", "times")

    def __init__(self) -> None:
        self.asked = 0
        self.served = 0
        self.failed = 0
        self.refused: Counter[str] = Counter()
        self.times: Counter[int] = Counter()


class Report:
    """A tenant's; `turned_away` counts what was no request of a class, by status."""

    def __init__(self) -> None:
        self.classes: dict[str, ClassReport] = {}
        self.away: Counter[int] = Counter()
        self.changed = False

    def _of(self, cls: str) -> ClassReport:
        self.changed = True
        found = self.classes.get(cls)
        if found is None:
            found = self.classes[cls] = ClassReport()
        return found

    def asked(self, cls: str) -> None:
        self._of(cls).asked += 1

    def served(self, cls: str, taken: int) -> None:
        one = self._of(cls)
        one.served += 1
        one.times[step(taken)] += 1

    def refused(self, cls: str, why: str) -> None:
        self._of(cls).refused[why] += 1

    def failed(self, cls: str) -> None:
        self._of(cls).failed += 1

    def turned_away(self, status: int) -> None:
        self.changed = True
        self.away[status] += 1

    def record(self) -> dict[str, Any]:
        return {
            "classes": {
                name: {
                    "asked": c.asked,
                    "served": c.served,
                    "failed": c.failed,
                    "refused": dict(c.refused),
                    "times": {str(k): n for k, n in c.times.items()},
                }
                for name, c in self.classes.items()
            },
            "turned_away": {str(status): n for status, n in self.away.items()},
        }


def step(taken: int) -> int:
    """The number of a time's step; 0 for the shortest."""
    return max(math.ceil(STEPS * math.log2(taken / LEAST)), 0) if taken > LEAST else 0


def upper_ms(number: int) -> float:
    """The upper end of a step, in milliseconds."""
    return LEAST * 2 ** (number / STEPS) / MS


def add(total: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """Two records' sum; of workers that had the tenant one after the other."""
    for key, value in more.items():
        if isinstance(value, dict):
            total[key] = add(total.get(key, {}), value)
        else:
            total[key] = total.get(key, 0) + value
    return total


def with_percentiles(record: dict[str, Any]) -> dict[str, Any]:
    """A record as people are shown it: two times of each class in place of all, in ms."""
    for row in record["classes"].values():
        times = row.pop("times", {})
        row["p50_ms"] = percentile(times, 0.5)
        row["p99_ms"] = percentile(times, 0.99)
    return record


def percentile(times: dict[str, int], part: float) -> float | None:
    """The upper end, in ms, of the step that holds this part of the times; None without any."""
    total = sum(times.values())
    seen = 0
    for number in sorted(map(int, times)):
        seen += times[str(number)]
        if seen >= part * total:
            return round(upper_ms(number), 2)
    return None
