"""A flood of unknown hosts in simulated time: its bounded cost, also with each bound disabled."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import replace

import pytest

from tansywood.distribution.interest import Interest, State
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tests.distribution.simulation import max_in_window

PARAMETERS = Parameters(max_unknown_aliases=1_000)
MAX_TENANTS = 500  # that the instance holds
NO_BOUND = 1 << 40
FLOOD_DURATION_NS = 10 * SECOND
REQUEST_INTERVAL_NS = 100_000  # between unknown hosts: 10,000 per second
ASKER = "door"
HELD_ALIAS = "h:known.example"
ANSWER_DELAY_NS = 5 * MS
NO_ANSWER_DELAY_NS = PARAMETERS.lookup_timeout_ns  # no source is reachable: each lookup times out


class LooksUpHeldTenants(Interest):
    """Looks up tenants that it already holds."""

    def _is_known(self, alias: str, now: int) -> bool:
        return False


class Flood:
    """10 s of requests for unknown hosts, and one for a held host after every ten."""

    def __init__(
        self, parameters: Parameters, answer_delay: int, interest_type: type[Interest] = Interest
    ) -> None:
        self.parameters = parameters
        self.answer_delay = answer_delay  # time until a lookup is answered
        self.interest = interest_type(parameters, 0, MAX_TENANTS, 600 * SECOND)
        self.interest.hold("known", [HELD_ALIAS], 0)
        self.maxima: Counter[str] = Counter()
        self.lookup_times: list[int] = []  # when each lookup was sent
        self.states: Counter[State | None] = Counter()  # of the requests for the held host
        self._answers: list[tuple[int, str]] = []
        self._request_count = 0

    def run(self) -> None:
        for number in range(FLOOD_DURATION_NS // REQUEST_INTERVAL_NS):
            now = number * REQUEST_INTERVAL_NS
            self._answer(now)
            self._ask(f"h:invented-{number}.example", now)
            if number % 10 == 0:
                self.states[self._ask(HELD_ALIAS, now)] += 1
            self._record_maxima()
        self._answer(FLOOD_DURATION_NS + self.answer_delay)

    def _ask(self, alias: str, now: int) -> State | None:
        self._request_count += 1
        asked = self.interest.resolve((ASKER, self._request_count), [alias], now)
        for alias_to_look_up in asked.aliases_to_look_up:
            self.lookup_times.append(now)
            heapq.heappush(self._answers, (now + self.answer_delay, alias_to_look_up))
        return asked.state

    def _answer(self, now: int) -> None:
        while self._answers and self._answers[0][0] <= now:
            _, alias = heapq.heappop(self._answers)
            owners = [""] if self.answer_delay < self.parameters.lookup_timeout_ns else None
            self.interest.complete_lookup([alias], owners, now)

    def _record_maxima(self) -> None:
        interest = self.interest
        self.maxima["cached unknown aliases"] = max(
            self.maxima["cached unknown aliases"], interest.cached_unknown_count
        )
        self.maxima["open lookups"] = max(self.maxima["open lookups"], interest.open_lookups)
        self.maxima["waiting requests"] = max(
            self.maxima["waiting requests"], interest.waiting_requests
        )


def violated_bounds(flood: Flood) -> set[str]:
    """The bounds of the shipped parameters that did not hold."""
    flood.run()
    bounds = {
        "cached unknown aliases": PARAMETERS.max_unknown_aliases,
        "open lookups": PARAMETERS.max_open_lookups,
        "waiting requests": PARAMETERS.max_open_lookups,
    }
    violations = {what for what, bound in bounds.items() if flood.maxima[what] > bound}
    if max_in_window(flood.lookup_times, SECOND) > 1.5 * PARAMETERS.lookups_per_s:
        violations.add("lookup rate")
    if set(flood.states) != {State.DONE}:
        violations.add("held hosts not answered")
    if flood.interest.waiting_requests or flood.interest.open_lookups:
        violations.add("lookups without end")
    return violations


@pytest.mark.parametrize("answer_delay", [ANSWER_DELAY_NS, NO_ANSWER_DELAY_NS])
def test_a_flood_of_unknown_hosts_causes_bounded_lookups_and_memory(answer_delay: int) -> None:
    flood = Flood(PARAMETERS, answer_delay)
    assert not violated_bounds(flood)
    assert flood.states[State.DONE] == FLOOD_DURATION_NS // REQUEST_INTERVAL_NS // 10


@pytest.mark.parametrize(
    ("parameters", "answer_delay", "violated"),
    [
        (
            replace(PARAMETERS, max_unknown_aliases=NO_BOUND),
            ANSWER_DELAY_NS,
            "cached unknown aliases",
        ),
        (replace(PARAMETERS, max_open_lookups=NO_BOUND), NO_ANSWER_DELAY_NS, "open lookups"),
        (replace(PARAMETERS, lookups_per_s=1e9), ANSWER_DELAY_NS, "lookup rate"),
    ],
    ids=["cached unknown aliases", "open lookups", "lookup rate"],
)
def test_a_disabled_bound_is_detected(
    parameters: Parameters, answer_delay: int, violated: str
) -> None:
    assert violated in violated_bounds(Flood(parameters, answer_delay))


def test_an_instance_that_looks_up_held_tenants_is_detected() -> None:
    flood = Flood(PARAMETERS, NO_ANSWER_DELAY_NS, LooksUpHeldTenants)
    assert "held hosts not answered" in violated_bounds(flood)
