"""How long each call of a watch waits, and what follows its end. Pure: it is told the time.

A watch is one call after another, each open until there is news or its time is up. What the list
has counts as told TOLD_S later, whatever became of the calls meanwhile. A connection that is
silently cut shows only when a call's time is over, so that time, a failed call of another kind
behind it, the module's first back-off and the next call come to less, by their sum:

    HOLD_MS + WATCH_S    a watch that fell silent right after it was opened     4.0 s
    DIAL_S               a dial behind it that is not answered either           1.1 s
    the first back-off   of the module, 0.6 s at the most                       0.6 s
    the next call        which brings all that is new                           what is left

Behind a call that brought nothing the next does not wait for news at all: it brings what was
missed, and has as long as a service may take to work through its callers. Given up sooner, calls
that wait in its queue are paid for in vain and made again, and a crowd never ends. A service that
answers late has more callers than it can bear: towards it watches are longer, as far as the older
rule allows (2 s after a watch's own time), and more patient, until it keeps up.

Lists that are pushed come to an agent on this machine. What it has counts as told, so its silence,
which is that of the service behind it, is found out in half of the grace that drains have; calls
to it cost nobody anything, and the watch on it never ends.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_LIST_STALENESS_S = 6.0
MIN_HOLD_MS = 2_500
MAX_HOLD_MS = 8_000
AT_ONCE_MS = 1  # 0 is not promised to mean that
LATE_S = 0.3  # beyond its time, for the answer of a service that keeps up
WATCH_S = 1.5  # for a watch's answer, beyond the time it may wait
FULL_LIST_TIMEOUT_S = 3.2  # for a whole list: calls are worked through in turn
CONNECT_TIMEOUT_S = 1.1  # for a connection: one lost SYN is sent again after 1 s
PACE_S = 0.1  # between calls that are answered at once with nothing new; 0.2 s end a watch
MOVE_TRIES = 6  # calls to a new address before the module's back-off begins
MOVE_S = 0.2  # before the first repeat, then twice as long each time, up to ...
MOVE_MOST_S = 0.8
AGENT_S = 0.2  # before a failed call to an agent is repeated
MIN_AGENT_HOLD_MS = 100


class Poll(NamedTuple):
    """One call: what changed since this version, 0 for everything; `hold_ms` is how long it may
    wait for news, None where it must not. It is given up after `wait` seconds."""

    since: int
    hold_ms: int | None
    timeout_s: float


class PollSchedule:
    """The calls of one watch, in turn: `ask`, then `ended`.

    `agent_hold_ms` is how long calls to an agent of pushed lists wait, 0 where the list is asked.
    """

    __slots__ = (
        "_asked_ms",
        "_crowded",
        "_failed",
        "_hold_ms",
        "_hung",
        "_tries",
        "agent_hold_ms",
        "address_changed",
    )

    def __init__(self, agent_hold_ms: int = 0) -> None:
        self.agent_hold_ms = agent_hold_ms
        self.restart(address_changed=False)

    def restart(self, address_changed: bool = True) -> None:
        """Go on at another address, whose versions mean nothing yet."""
        self.address_changed = address_changed  # until the first whole list of it is taken
        self._tries = 0  # failed calls to it
        self._hold_ms = MIN_HOLD_MS
        self._asked_ms = 0  # how long the last call might wait for news
        self._failed = False  # it brought nothing ...
        self._hung = False  # ... in all of its time
        self._crowded = False  # the last answer came late

    def next_poll(self, revision: int, service_behind: bool) -> Poll:
        """The next call, from the version in hand; `in_doubt` where the service's own is older,
        so that it can't tell what changed since ours, and would wait for news of it in vain."""
        if self.address_changed:
            return Poll(0, None, FULL_LIST_TIMEOUT_S)
        since = 0 if service_behind else revision
        if self.agent_hold_ms:
            return Poll(since, self.agent_hold_ms, 2 * self.agent_hold_ms / 1000)
        self._asked_ms = AT_ONCE_MS if self._failed else self._hold_ms
        patience = FULL_LIST_TIMEOUT_S if self._failed or self._crowded else WATCH_S
        return Poll(since, self._asked_ms, self._asked_ms / 1000 + patience)

    def delay_after_failure(self, timed_out: bool) -> float | None:
        """A call brought nothing: seconds until the next, None where the module says when.

        `hung` where its time ran out with no answer.
        """
        if self.address_changed and self._tries < MOVE_TRIES:
            # It may not be up yet, and what it has to tell counts as told soon.
            self._tries += 1
            return min(MOVE_S * (1 << (self._tries - 1)), MOVE_MOST_S)
        self._failed = True
        # A connection was cut silently, or the service hangs. What happened meanwhile counts
        # as told already: ask again without a back-off, once.
        self._hung = timed_out and not self._hung and not self.address_changed
        if self._hung:
            return 0.0
        return AGENT_S if self.agent_hold_ms else None

    def delay_after_invalid_answer(self) -> float | None:
        """An answer could not be used: as `failed`."""
        self._failed = self._hung = False
        return AGENT_S if self.agent_hold_ms else None

    def delay_after_answer(self, duration_s: float, changed: bool) -> float:
        """A call was answered after so many seconds: seconds until the next.

        At once, mostly: after 200 ms it would count as a new watch, and what changed in
        between as told late.
        """
        self._failed = self._hung = False
        late = duration_s - self._asked_ms / 1000
        if late > LATE_S:
            self._crowded = True
            self._hold_ms = min(self._hold_ms * 2, MAX_HOLD_MS)
        elif late > 0:
            self._crowded = False
            self._hold_ms = max(self._hold_ms * 3 // 4, MIN_HOLD_MS)
        return 0.0 if changed or duration_s >= PACE_S else PACE_S
