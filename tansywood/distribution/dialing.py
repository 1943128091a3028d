"""Which source a subscriber dials, and when. Pure.

Each subscriber has its own order of the sources, so that those of a lost one spread over all
others. Before the next dial after a loss there is full jitter (Brooker, "Exponential Backoff And
Jitter", 2015). A source that does not answer soon is not waited for: the next one is dialled beside
it (as in Happy Eyeballs, RFC 8305) until each was tried once; then it is one at a time, so that a
long loss costs few dials. A source that said when to come back is not dialled before.
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
    """A dial that is open, by the number that names its connection from now on."""

    number: int
    address: str
    deadline: int


class Dialing:
    """Open dials, the time of the next one, and who barred us until when. `due` is in force
    while no source is followed."""

    def __init__(
        self, name: str, addresses: Sequence[str], parameters: Parameters, random: Random, now: int
    ) -> None:
        """`name` is the subscriber's, `addresses` are those of all sources."""
        self.addresses = sorted(addresses, key=lambda address: _preference_key(name, address))
        self.due = now
        self._parameters = parameters
        self._random = random
        self._open: dict[int, Attempt] = {}
        self._last_number = 0
        self._next_address = 0
        self._failures = 0  # since the last welcome
        self._not_before: dict[str, int] = {}

    def __contains__(self, number: object) -> bool:
        return number in self._open

    def __len__(self) -> int:
        return len(self._open)

    def next_due(self) -> int:
        """When something is to be done, while no source is followed."""
        return min([self.due, *(attempt.deadline for attempt in self._open.values())])

    def next_attempt(self, now: int) -> Attempt | None:
        """The dial that is due: of the next source that did not bar us and is not being dialled.
        Where there is none it waits for the first that takes us."""
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
        """Those that were not answered in time; each is then to be told as `failed`."""
        return [attempt.number for attempt in self._open.values() if now >= attempt.deadline]

    def answered(self, number: int) -> tuple[Attempt, list[int]]:
        """This one is followed; returns it and the others, which are to be closed."""
        attempt = self._open.pop(number)
        others = list(self._open)
        self._open.clear()
        return attempt, others

    def failed(self, number: int, now: int) -> str:
        """An open dial came to nothing; returns its address."""
        previous_due = self.due
        address = self._open.pop(number).address
        self.source_lost(now)
        if self._open:
            self.due = min(self.due, previous_due)
        return address

    def source_lost(self, now: int) -> None:
        """The source that was followed is lost: the next one after a random while."""
        bound = self._parameters.reconnect_backoff_base_ns << min(self._failures, 16)
        self.due = now + self._random.randrange(
            min(bound, self._parameters.max_reconnect_backoff_ns) + 1
        )
        self._failures += 1

    def defer(self, address: str, now: int, wait: int) -> None:
        """Dial this one again not before that time, and a random while."""
        wait += self._random.randrange(self._parameters.reconnect_backoff_base_ns + 1)
        self._not_before[address] = now + wait

    def welcomed(self) -> None:
        """A source has taken us."""
        self._failures = 0
        self._not_before.clear()


def _preference_key(name: str, address: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar 1996): each subscriber's own order."""
    return blake2b(f"{name} {address}".encode(), digest_size=8).digest()
