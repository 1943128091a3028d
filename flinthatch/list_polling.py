"""Timing of the calls that follow the backend list: how long each waits and when the next starts.

The schedule is pure: it reads no clock and is told every duration. The list is followed by long
polls, one after another, each open until the list changes or its hold time is up. A node is taken
to know a change MAX_LIST_STALENESS_S after the list has it, whatever became of the calls meanwhile.
A connection that is cut silently shows only when a call times out, so a poll's hold time and
time-out, a failed call after it, the first backoff and the next call have to fit into that time:

    POLL_TIMEOUT_S                       a poll cut silently right after it was opened     2.4 s
    CONNECT_TIMEOUT_S                    a second call that gets no connection             1.1 s
    the balancer's first backoff         at the most                                       0.6 s
    the next call                        returns all changes                          the rest

A list service that has many callers answers late. The schedule measures by how much, and divides
POLL_TIMEOUT_S anew: the slower the service, the longer it is waited for and the shorter the hold
time. Polls thus follow each other at the same rate whatever the service's delay, and no faster
while it is overloaded. The call after a failed one does not wait for a change: it returns the
changes that were missed, and it gets as long as a service may need to work through its callers.
With a shorter time-out, calls that wait in the service's queue would be given up and made again,
and its overload would never end.

Pushed lists come through an agent on the node's machine. A change that the agent has counts as
known to the node, so the agent's silence, which is that of the service behind it, is detected
within half of the drain grace, and a call that gets no connection or is refused after it leaves
time for the next one. Calls to the agent put no load on the service, and the polling of the agent
never ends.
"""

from __future__ import annotations

from typing import NamedTuple

NS_PER_MS = 1_000_000
MAX_LIST_STALENESS_S = 6.0
POLL_TIMEOUT_S = 2.4  # from the start of a poll until it is given up
INITIAL_ANSWER_DELAY_S = 0.6  # taken for the delay of a service that has not been called yet
ANSWER_DELAY_MARGIN_S = 0.5  # by which an answer may come later than the one before
ANSWER_DELAY_DECAY = 0.75  # of the expected delay with each answer that comes earlier
IMMEDIATE_HOLD_MS = 1  # the list service does not promise that 0 means an immediate answer
FULL_LIST_TIMEOUT_S = 3.2  # for a full list: the service works through its callers in turn
CONNECT_TIMEOUT_S = 1.1  # for a connection: a lost SYN is sent again after 1 s
# Pause after an immediate answer without changes; after 0.2 s the next call would count as the
# first one of a new watch.
EMPTY_ANSWER_PAUSE_S = 0.1
NEW_ADDRESS_RETRY_COUNT = 6  # calls to a new address before the balancer's own backoff applies
NEW_ADDRESS_BACKOFF_S = 0.2  # before the first retry, doubled with each failure
MAX_NEW_ADDRESS_BACKOFF_S = 0.8
MAX_AGENT_RETRY_DELAY_S = 0.2  # after a failed call to an agent
AGENT_HOLDS_PER_GRACE = 4
MIN_AGENT_HOLD_MS = 25


def agent_hold_ms(drain_grace_ns: int) -> int:
    """The hold time of calls to an agent, for this drain grace."""
    return max(drain_grace_ns // NS_PER_MS // AGENT_HOLDS_PER_GRACE, MIN_AGENT_HOLD_MS)


class Poll(NamedTuple):
    """One call for the changes since version `since`, or for the full list where that is 0.

    `hold_ms` is how long the call may wait for a change, None where it must not wait. The caller
    gives it up after `timeout_s`.
    """

    since: int
    hold_ms: int | None
    timeout_s: float


class PollSchedule:
    """Times of a node's list calls: `next_poll` begins one, a `delay_after_...` method ends it.

    `agent_hold_ms` is the hold time of calls to an agent of pushed lists, 0 where the node polls
    the list service itself.
    """

    __slots__ = (
        "_expected_delay_s",
        "_last_call_failed",
        "_last_call_timed_out",
        "_last_hold_ms",
        "_new_address_failures",
        "address_changed",
        "agent_hold_ms",
    )

    def __init__(self, agent_hold_ms: int = 0) -> None:
        self.agent_hold_ms = agent_hold_ms
        self.restart(address_changed=False)

    def restart(self, address_changed: bool = True) -> None:
        """Continue at another address, whose versions are unrelated to those of the old one."""
        self.address_changed = address_changed  # the host clears it with the first full list
        self._new_address_failures = 0
        self._last_hold_ms = 0
        self._last_call_failed = False
        self._last_call_timed_out = False
        self._expected_delay_s = INITIAL_ANSWER_DELAY_S  # from the end of a hold to the answer

    @property
    def connect_timeout_s(self) -> float:
        """How long a call may take to get its connection."""
        return min(CONNECT_TIMEOUT_S, self.agent_hold_ms / 1000 or CONNECT_TIMEOUT_S)

    def next_poll(self, revision: int, service_behind: bool) -> Poll:
        """The next call, for the changes since the node's own `revision`.

        `service_behind` says that the service's version is older than the node's. Such a service
        can't tell what changed since and would hold the call in vain, so the full list is asked.
        """
        if self.address_changed:
            return Poll(0, None, self._full_list_timeout_s())
        since = 0 if service_behind else revision
        if self.agent_hold_ms:
            return Poll(since, self.agent_hold_ms, 2 * self.agent_hold_ms / 1000)
        if self._last_call_failed:
            self._last_hold_ms = IMMEDIATE_HOLD_MS
            return Poll(since, IMMEDIATE_HOLD_MS, FULL_LIST_TIMEOUT_S)
        answer_timeout_s = min(self._expected_delay_s + ANSWER_DELAY_MARGIN_S, POLL_TIMEOUT_S)
        hold_ms = int((POLL_TIMEOUT_S - answer_timeout_s) * 1000)
        self._last_hold_ms = max(hold_ms, IMMEDIATE_HOLD_MS)
        return Poll(since, self._last_hold_ms, POLL_TIMEOUT_S)

    def _full_list_timeout_s(self) -> float:
        """Time-out of a call to a new address, whose delay is unknown.

        The first call may have been cut silently. Only the next one waits for as long as a service
        may need that has many callers.
        """
        if self.agent_hold_ms:
            return 2 * self.agent_hold_ms / 1000
        return FULL_LIST_TIMEOUT_S if self._last_call_failed else POLL_TIMEOUT_S

    def delay_after_failure(self, timed_out: bool) -> float | None:
        """Seconds from a failed call to the next, None where the balancer's backoff decides.

        `timed_out` says that the call's time ran out without an answer.
        """
        self._last_call_failed = True
        # The connection was cut silently, or the service hangs. Changes since count as known
        # already, so the first time-out in a row is followed by a call without a backoff.
        self._last_call_timed_out = timed_out and not self._last_call_timed_out
        if self._last_call_timed_out:
            return 0.0
        if self.address_changed and self._new_address_failures < NEW_ADDRESS_RETRY_COUNT:
            # The service may not be up yet there, and its changes count as known soon.
            self._new_address_failures += 1
            return min(
                NEW_ADDRESS_BACKOFF_S * (1 << (self._new_address_failures - 1)),
                MAX_NEW_ADDRESS_BACKOFF_S,
            )
        return self._agent_retry_delay_s()

    def _agent_retry_delay_s(self) -> float | None:
        """Seconds to the next call to an agent; None where there is none."""
        if not self.agent_hold_ms:
            return None
        return min(MAX_AGENT_RETRY_DELAY_S, self.agent_hold_ms / 1000)

    def delay_after_invalid_answer(self) -> float | None:
        """Seconds from an answer that can't be used to the next call; None as after a failure."""
        self._last_call_failed = self._last_call_timed_out = False
        return self._agent_retry_delay_s()

    def delay_after_answer(self, duration_s: float, changed: bool) -> float:
        """Seconds from an answer, which took `duration_s`, to the next call.

        The next call mostly starts at once: after 200 ms it would count as a new watch, and a
        change in between as one that the node knew late.
        """
        self._last_call_failed = self._last_call_timed_out = False
        delay_s = duration_s - self._last_hold_ms / 1000
        if delay_s > 0:
            decayed_s = self._expected_delay_s * ANSWER_DELAY_DECAY
            self._expected_delay_s = max(delay_s, decayed_s)
        return 0.0 if changed or duration_s >= EMPTY_ANSWER_PAUSE_S else EMPTY_ANSWER_PAUSE_S
