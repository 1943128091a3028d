"""The list of servers: late, of one fixed capacity for all nodes, asked or watched.

A call costs some lines whatever it brings, and a line for each server in it; calls are worked
through in turn, and one that would wait longer than its node does fails at once. A watch is a
call that stays open until there is news or its time is up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from standins.mass.clock import MS, SECOND, Clock

Told = Callable[["Answer | None"], None]


@dataclass(frozen=True, slots=True)
class Row:
    server: int
    state: str
    boot: int


@dataclass(frozen=True, slots=True)
class Answer:
    rev: int
    whole: bool
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in nanoseconds."""

    lines_per_s: float = 4000.0
    call_lines: int = 40
    notice: int = 2 * SECOND  # until it knows that a process runs, drains or is gone
    silent_notice: int = 7 * SECOND  # the same of one that says nothing
    spread: int = 300 * MS
    patience: int = 3 * SECOND  # longest a call waits to be worked on
    changes_kept: int = 400


class Listing:
    """What it believes, by version; `told` of a call gets an Answer, or None where it failed."""

    def __init__(self, terms: Terms, clock: Clock) -> None:
        self.terms = terms
        self.clock = clock
        self.rows: dict[int, Row] = {}
        self.rev = 1
        self.changes: list[tuple[int, Row]] = []
        self.busy_until = clock.now
        self.down = False
        self.silent = False  # while it is down calls and watches end with nothing, not with a no
        self.reachable_since = clock.now
        self.changed_at: dict[int, int] = {}  # by version
        self.holding: dict[int, tuple[int, Told]] = {}  # open watches: version, caller
        self.calls = 0
        self.failed = 0
        self._next = 0

    def know(self, row: Row) -> None:
        """It learns of a change at this moment."""
        self.rev += 1
        if row.state == "left":
            self.rows.pop(row.server, None)
        else:
            self.rows[row.server] = row
        self.changes.append((self.rev, row))
        self.changed_at[self.rev] = self.clock.now
        del self.changes[: -self.terms.changes_kept]
        holding, self.holding = self.holding, {}
        for number, (since, told) in holding.items():
            # Each open watch is answered in turn, and each line costs.
            due = self.work(1)
            self.clock.at(due, self.answer, since, told, number)

    def go_down(self, silent: bool) -> None:
        """Open watches end with a reset, or are never heard of again."""
        self.down = True
        self.silent = silent
        holding, self.holding = self.holding, {}
        if not silent:
            for _, told in holding.values():
                told(None)

    def come_up(self) -> None:
        self.down = False
        self.reachable_since = self.busy_until = self.clock.now

    def work(self, lines: int) -> int:
        """When so many lines will have been worked off."""
        start = max(self.busy_until, self.clock.now)
        self.busy_until = start + int(lines * SECOND / self.terms.lines_per_s)
        return self.busy_until

    def whole(self) -> Answer:
        return Answer(self.rev, True, tuple(self.rows[n] for n in sorted(self.rows)))

    def call(self, since: int, hold: int, told: Told) -> None:
        """Ask for what is newer than `since`, waiting up to `hold` for it; 0: the whole list."""
        self.calls += 1
        late = self.busy_until - self.clock.now > self.terms.patience
        if self.down or late:
            self.failed += 1
            if not (self.down and self.silent):
                self.clock.after(5 * MS, told, None)
            return
        # A watch that goes on costs little; a whole list, or a first call, all its lines.
        lines = self.terms.call_lines // 4 if since else self.terms.call_lines + len(self.rows)
        due = self.work(lines)
        if since and since >= self.rev and hold:
            self._next += 1
            number = self._next
            self.clock.at(due, self.hold, since, told, number)
            self.clock.at(due + hold, self.answer, since, told, -number)
        else:
            self.clock.at(due, self.answer, since, told, 0)

    def hold(self, since: int, told: Told, number: int) -> None:
        if self.rev > since:
            self.answer(since, told, 0)
        else:
            self.holding[number] = (since, told)

    def answer(self, since: int, told: Told, number: int) -> None:
        if number < 0 and self.holding.pop(-number, None) is None:
            return  # answered already
        if self.down:
            if not self.silent:
                told(None)
            return
        kept = [(rev, row) for rev, row in self.changes if rev > since]
        if not since or len(kept) < self.rev - since:
            told(self.whole())
        else:
            last = {row.server: row for _, row in kept}
            told(Answer(self.rev, False, tuple(last[n] for n in sorted(last))))
