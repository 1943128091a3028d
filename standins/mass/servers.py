"""A modelled server: work, a waiting room, connections, a cold start.

Work is in nanoseconds of a standard core. One attempt runs on each core at a time, the next
`room` wait in order of coming, what comes beyond that is turned away unseen. An open
connection costs capacity all the time, a new one costs work once: both are what nodes that
share nothing pay together. With one core, no limit to the room and exponential work this is
M/M/1, with c cores M/M/c; `tests/mass` holds it against the formulas.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.mass.clock import SECOND, Clock

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET = 1, 2, 3, 4, 5, 6


@dataclass(frozen=True, slots=True)
class Build:
    """What a server is like. Times and work in nanoseconds."""

    cores: int = 1
    room: int = 3  # places to wait
    speed: float = 1.0  # of a standard core
    connections: int = 17  # most it holds
    tax: float = 0.3  # of its capacity that a full table of connections takes
    handshake: int = 2_500_000  # work for each new connection
    cold_from: float = 0.4  # of its capacity when it starts
    cold: int = 6 * SECOND  # until it is warm
    fall_multiple: float = 3.0  # pushed with more than this times its capacity ...
    fall: int = 3 * SECOND // 2  # ... over such a time while cold it falls over
    mean_work: float = 0.0  # of a request: beyond a budget of N of them ...
    chance: float = 2.0  # ... this many times the root of N, and as many, are put down to chance
    error_rate: float = 0.0
    cancels_running: bool = False  # what is given up is dropped though it runs
    drops_expired: bool = True  # what has run out of time is dropped from the waiting room


class Work:
    """One attempt at a server. `done` is told its outcome once, unless it is given up first."""

    __slots__ = ("done", "expires", "given_up", "need", "started")

    def __init__(self, need: int, expires: int, done: Callable[[int], None]) -> None:
        self.need = need
        self.expires = expires
        self.done = done
        self.given_up = False
        self.started = False


class Server:
    """One process at one address; `ready`, `draining` or `gone` is what the list will say."""

    def __init__(self, number: int, zone: int, build: Build, clock: Clock, rng: Random) -> None:
        self.number = number
        self.zone = zone
        self.build = build
        self.clock = clock
        self.rng = rng
        self.boot = 0  # when it started, 0: long ago
        self.state = "ready"
        self.silent = False  # cut off: whatever comes is lost
        self.dead = False
        self.fallen = False
        self.slow = 1.0  # work takes this many times as long
        self.failing = 0.0  # part of answers that are errors
        self.open = 0  # connections
        self.running: list[Work] = []
        self.waiting: deque[Work] = deque()
        self.busy_ns = 0.0
        self.served_ns = 0.0  # work of answers that were taken
        self.turned_away = 0
        self.pushed: deque[tuple[int, int]] = deque()  # work that came while cold
        self.pushed_sum = 0
        self.pushed_most = 0.0  # of what it bears with chance, in any window of its life
        self.first_at = 0  # when it got its first work since it started

    def warmth(self, now: int) -> float:
        """The part of its capacity it has by now."""
        if not self.boot:
            return 1.0
        part = (now - self.boot) / self.build.cold
        return min(1.0, self.build.cold_from + (1.0 - self.build.cold_from) * max(part, 0.0))

    def rate(self, now: int) -> float:
        """Standard work done for each moment of a core's time."""
        b = self.build
        table = 1.0 - b.tax * min(self.open / b.connections, 1.0)
        return b.speed * self.warmth(now) * table / self.slow

    def free(self) -> bool:
        """Whether an attempt that came now would begin at once."""
        return not (self.dead or self.silent or self.fallen) and (
            len(self.running) < self.build.cores
        )

    def has_place(self) -> bool:
        b = self.build
        return not (self.dead or self.silent or self.fallen) and (
            len(self.running) + len(self.waiting) < b.cores + b.room
        )

    def left(self) -> float:
        """Work in hand for each core, for those who see everything."""
        ahead = sum(w.need for w in self.running) * 0.5 + sum(w.need for w in self.waiting)
        return ahead / self.build.cores

    # ---- what comes -----------------------------------------------------

    def push(self, work: int) -> None:
        """The rule of cold servers: a budget over any window of its length."""
        now = self.clock.now
        b = self.build
        if not self.boot or now - self.boot >= b.cold:
            return
        self.pushed.append((now, work))
        self.pushed_sum += work
        while self.pushed and now - self.pushed[0][0] > b.fall:
            self.pushed_sum -= self.pushed.popleft()[1]
        budget = b.fall_multiple * self.warmth(now) * b.speed * b.cores * b.fall
        if b.mean_work:
            budget += b.chance * (math.sqrt(budget / b.mean_work) + 1.0) * b.mean_work
        self.pushed_most = max(self.pushed_most, self.pushed_sum / budget)
        if self.pushed_sum > budget:
            self.fallen = True
            self.end_all(RESET)

    def take(self, work: Work) -> None:
        """An attempt's last byte has come, on an open connection."""
        if self.dead or self.fallen:
            work.done(RESET)
            return
        if self.silent:
            return
        if not self.first_at:
            self.first_at = self.clock.now
        self.push(work.need)
        if self.dead or self.fallen:
            work.done(RESET)
        elif len(self.running) < self.build.cores:
            self.begin(work)
        elif len(self.waiting) < self.build.room and self.state != "gone":
            self.waiting.append(work)
        else:
            self.turned_away += 1
            work.done(FULL)

    def begin(self, work: Work) -> None:
        work.started = True
        self.running.append(work)
        took = work.need / max(self.rate(self.clock.now), 1e-3)
        self.busy_ns += took
        self.clock.after(took, self.end, work)

    def end(self, work: Work) -> None:
        if work not in self.running:
            return
        self.running.remove(work)
        if not (self.dead or self.silent):
            if not work.given_up:
                self.answer(work)
            self.next()

    def answer(self, work: Work) -> None:
        bad = self.failing + self.build.error_rate
        if bad and self.rng.random() < bad:
            work.done(ERROR)
        else:
            self.served_ns += work.need
            work.done(OK)

    def next(self) -> None:
        while self.waiting and len(self.running) < self.build.cores:
            work = self.waiting.popleft()
            if work.given_up or (self.build.drops_expired and work.expires <= self.clock.now):
                continue
            self.begin(work)

    def give_up(self, work: Work) -> None:
        """Its node waits no longer: waiting work is dropped, running work on some days."""
        work.given_up = True
        if work in self.waiting:
            self.waiting.remove(work)
        elif self.build.cancels_running and work in self.running:
            self.running.remove(work)
            self.next()

    # ---- its life -------------------------------------------------------

    def start(self) -> None:
        """A process that begins cold, at this moment."""
        self.boot = self.clock.now
        self.dead = self.silent = self.fallen = False
        self.state = "ready"
        self.first_at = 0
        self.pushed.clear()
        self.pushed_sum = 0

    def end_all(self, outcome: int) -> None:
        """Whatever is in hand breaks off."""
        works = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for work in works:
            if not work.given_up:
                work.done(outcome)

    def die(self) -> None:
        self.dead = True
        self.state = "gone"
        self.end_all(RESET)

    def cut(self) -> None:
        """A machine that vanishes says nothing: what it held is never answered."""
        self.silent = True
        self.running.clear()
        self.waiting.clear()
