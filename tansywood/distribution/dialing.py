"""Decides which source a subscriber dials, and when. This module does no I/O.

Each subscriber has its own order of the sources, so that the subscribers of a lost source spread
over all others. After a loss the next dial waits with full jitter (Brooker, "Exponential Backoff
And Jitter", 2015). Where a source does not answer soon, the next one is dialled in parallel (as in
Happy Eyeballs, RFC 8305) until each source was tried once. After that there is one dial at a time,
so that a long outage costs few dials. A source that named a retry time is not dialled before that
time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from tansywood.distribution.parameters import Parameters

NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Attempt:
    """An open dial. `number` identifies its connection, `deadline` is when it counts as failed."""

    number: int
    address: str
    deadline: int


class Dialing:
    """Keeps the open dials, the time of the next one (`due`), and the retry times that sources
    named. It is used while the subscriber follows no source."""

    def __init__(
        self, name: str, addresses: Sequence[str], parameters: Parameters, random: Random, now: int
    ) -> None:
        """`name` is the subscriber's name, `addresses` are those of all sources."""
        self.addresses = sorted(addresses, key=lambda address: _preference_key(name, address))
        self.due = now
        self._parameters = parameters
        self._random = random
        self._open: dict[int, Attempt] = {}
        self._last_number = 0
        self._next_address = 0
        self._failures = 0  # dials and connections that failed since the last welcome
        self._not_before: dict[str, int] = {}

    def __contains__(self, number: object) -> bool:
        return number in self._open

    def __len__(self) -> int:
        return len(self._open)

    def next_due(self) -> int:
        """The time of the next dial or of the next expiry, while no source is followed."""
        return min([self.due, *(attempt.deadline for attempt in self._open.values())])

    def next_attempt(self, now: int) -> Attempt | None:
        """Return the dial that is due, or None. It goes to the next source that is not being
        dialled and whose retry time has passed. Where no source qualifies, the next dial waits for
        the earliest retry time."""
        if now < self.due:
            return None
        dialled = {attempt.address for attempt in self._open.values()}
        for _ in self.addresses:
            address = self.addresses[self._next_address % len(self.addresses)]
            self._next_address += 1
            if address not in dialled and self._not_before.get(address, now) <= now:
                return self._dial(now, address)
        self.due = NEVER if self._open else min(self._not_before.values())
        return None

    def _dial(self, now: int, address: str) -> Attempt:
        self._last_number += 1
        attempt = Attempt(self._last_number, address, now + self._parameters.dial_timeout_ns)
        self._open[attempt.number] = attempt
        untried = self._failures + len(self._open) < len(self.addresses)
        self.due = now + self._parameters.attempt_delay_ns if untried else NEVER
        return attempt

    def expired(self, now: int) -> list[int]:
        """Numbers of the dials past their deadline. The caller has to report each to `failed`."""
        return [attempt.number for attempt in self._open.values() if now >= attempt.deadline]

    def answered(self, number: int) -> tuple[Attempt, list[int]]:
        """This dial was answered first. Returns it and the numbers of the others, to be closed."""
        attempt = self._open.pop(number)
        others = list(self._open)
        self._open.clear()
        return attempt, others

    def failed(self, number: int, now: int) -> str:
        """An open dial failed. Returns its address."""
        previous_due = self.due
        address = self._open.pop(number).address
        self.source_lost(now)
        if self._open:
            self.due = min(self.due, previous_due)
        return address

    def source_lost(self, now: int) -> None:
        """The followed source is lost or a dial failed: the next dial waits with full jitter."""
        bound = self._parameters.reconnect_backoff_base_ns << min(self._failures, 16)
        self.due = now + self._random.randrange(
            min(bound, self._parameters.max_reconnect_backoff_ns) + 1
        )
        self._failures += 1

    def defer(self, address: str, now: int, wait: int) -> None:
        """Do not dial this source again for `wait` nanoseconds plus a random delay."""
        wait += self._random.randrange(self._parameters.reconnect_backoff_base_ns + 1)
        self._not_before[address] = now + wait

    def welcomed(self) -> None:
        """A source has admitted the subscriber: forget all failures and retry times."""
        self._failures = 0
        self._not_before.clear()


def _preference_key(name: str, address: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar 1996) gives each subscriber its own order."""
    return blake2b(f"{name} {address}".encode(), digest_size=8).digest()
