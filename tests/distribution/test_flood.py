"""A flood of invented hosts in simulated time: what it may cost, and each bound taken out."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import replace

import pytest

from tansywood.distribution.interest import Interest, State
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tests.distribution.simulation import max_in_window

PARAMETERS = Parameters(max_unknown_aliases=1_000)
BOUND = 500  # tenants held at most
NO_BOUND = 1 << 40
FLOOD = 10 * SECOND
BETWEEN = 100_000  # nanoseconds from one invented host to the next: 10,000 a second
DOOR = "door"
HELD = "h:known.example"
ANSWERED_AFTER = 5 * MS
NEVER_ANSWERED = PARAMETERS.lookup_timeout_ns  # control is away: each question lapses


class AsksForAll(Interest):
    """Looks up what it holds as well."""

    def _settled(self, alias: str, now: int) -> bool:
        return False


class Flood:
    """10 s of invented hosts, with a request for a held one after every ten."""

    def __init__(
        self, parameters: Parameters, after: int, interest_type: type[Interest] = Interest
    ) -> None:
        self.parameters = parameters
        self.after = after  # until a lookup is answered
        self.interest = interest_type(parameters, 0, BOUND, 600 * SECOND)
        self.interest.hold("known", [HELD], 0)
        self.most: Counter[str] = Counter()
        self.lookups: list[int] = []  # times
        self.states: Counter[State | None] = Counter()  # of the held host's requests
        self._answers: list[tuple[int, str]] = []
        self._asked = 0

    def run(self) -> None:
        for number in range(FLOOD // BETWEEN):
            now = number * BETWEEN
            self._answer(now)
            self._ask(f"h:invented-{number}.example", now)
            if number % 10 == 0:
                self.states[self._ask(HELD, now)] += 1
            self._measure()
        self._answer(FLOOD + self.after)

    def _ask(self, alias: str, now: int) -> State | None:
        self._asked += 1
        asked = self.interest.resolve((DOOR, self._asked), [alias], now)
        for opened in asked.aliases_to_look_up:
            self.lookups.append(now)
            heapq.heappush(self._answers, (now + self.after, opened))
        return asked.state

    def _answer(self, now: int) -> None:
        while self._answers and self._answers[0][0] <= now:
            _, alias = heapq.heappop(self._answers)
            nobodys = [""] if self.after < self.parameters.lookup_timeout_ns else None
            self.interest.complete_lookup([alias], nobodys, now)

    def _measure(self) -> None:
        one = self.interest
        self.most["unknown answers"] = max(self.most["unknown answers"], one.cached_unknown_count)
        self.most["open questions"] = max(self.most["open questions"], one.open_lookups)
        self.most["requests that wait"] = max(self.most["requests that wait"], one.waiting_requests)


def broken_bounds(flood: Flood) -> set[str]:
    """Which of the bounds of the shipped terms did not hold."""
    flood.run()
    bounds = {
        "unknown answers": PARAMETERS.max_unknown_aliases,
        "open questions": PARAMETERS.max_open_lookups,
        "requests that wait": PARAMETERS.max_open_lookups,
    }
    broken = {what for what, bound in bounds.items() if flood.most[what] > bound}
    if max_in_window(flood.lookups, SECOND) > 1.5 * PARAMETERS.lookups_per_s:
        broken.add("lookups a second")
    if set(flood.states) != {State.DONE}:
        broken.add("known hosts are answered")
    if flood.interest.waiting_requests or flood.interest.open_lookups:
        broken.add("all questions end")
    return broken


@pytest.mark.parametrize("after", [ANSWERED_AFTER, NEVER_ANSWERED])
def test_invented_hosts_cost_a_bounded_number_of_questions_and_answers(after: int) -> None:
    flood = Flood(PARAMETERS, after)
    assert not broken_bounds(flood)
    assert flood.states[State.DONE] == FLOOD // BETWEEN // 10


@pytest.mark.parametrize(
    ("parameters", "after", "found"),
    [
        (replace(PARAMETERS, max_unknown_aliases=NO_BOUND), ANSWERED_AFTER, "unknown answers"),
        (replace(PARAMETERS, max_open_lookups=NO_BOUND), NEVER_ANSWERED, "open questions"),
        (replace(PARAMETERS, lookups_per_s=1e9), ANSWERED_AFTER, "lookups a second"),
    ],
    ids=["unknown answers", "open questions", "rate"],
)
def test_a_bound_that_is_taken_out_is_found(parameters: Parameters, after: int, found: str) -> None:
    assert found in broken_bounds(Flood(parameters, after))


def test_an_instance_that_asks_for_what_it_holds_is_found() -> None:
    flood = Flood(PARAMETERS, NEVER_ANSWERED, AsksForAll)
    assert "known hosts are answered" in broken_bounds(flood)
