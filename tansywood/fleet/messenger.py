"""Envelopes to and from other instances, each for one life of a process. Pure.

Everything is said to one life: to whatever comes after it, it is worth nothing. Until an address's
life is known messages wait for it.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from tansywood.fleet.messages import Body, Claim, Envelope, Hello, Welcome
from tansywood.fleet.terms import MS

HELLO_AGAIN = 200 * MS  # between two questions for a life
WAITING = 16  # messages for one whose life is not known yet ...
WAITS = 500 * MS  # ... that long


class Messenger:
    """What goes out of one life of one instance, and which of what comes in is for it."""

    def __init__(self, name: str, address: str, life: bytes, now: int) -> None:
        self.name = name
        self.address = address
        self.life = life
        self.now = now  # of the call under way
        self.outgoing: list[tuple[str, Envelope]] = []  # to addresses
        self.lives: dict[str, bytes] = {}  # by address, of those that have spoken to us
        self.gossiped_lives: Mapping[str, bytes] = {}  # by address, as other members say
        self.counts = {"sent": 0, "received": 0, "stale": 0, "claims": 0, "grants": 0}
        self._hellos: dict[str, int] = {}
        self._waiting: dict[str, list[tuple[int, Body]]] = {}  # for a life to be known

    def knows_life(self, address: str) -> bool:
        """Whether the life at this address is known."""
        return address in self.lives or address in self.gossiped_lives

    def send(self, address: str, body: Body) -> None:
        """To the life at this address; kept for a moment where that is not known."""
        if address == self.address:
            return
        life = self.lives.get(address) or self.gossiped_lives.get(address)
        if life is not None:
            self.send_to_life(address, life, body)
            return
        # Dropped, first probes would be missed and first news would count as told. A claim is as
        # good as its moment and is not kept.
        waiting = self._waiting.setdefault(address, [])
        if not isinstance(body, Claim) and len(waiting) < WAITING:
            waiting.append((self.now, body))
        if self.now - self._hellos.get(address, -HELLO_AGAIN) >= HELLO_AGAIN:
            self._hellos[address] = self.now
            self.send_to_life(address, b"", Hello())

    def send_to_life(self, address: str, to: bytes, body: Body) -> None:
        """To this life."""
        self.counts["sent"] += 1
        self.outgoing.append((address, Envelope(self.name, self.address, to, body)))

    def take_sends(self) -> list[tuple[str, Envelope]]:
        """Envelopes to be sent now, with their addresses."""
        sends, self.outgoing = self.outgoing, []
        return sends

    def accept(self, life: bytes, envelope: Envelope) -> bool:
        """Whether this is for us. What is for nobody, or for who was here before us, changes
        nothing here; its sender is told our life."""
        self.counts["received"] += 1
        address = envelope.address
        if envelope.to != self.life:
            if envelope.to:
                self.counts["stale"] += 1
            self.send_to_life(address, life, Welcome())
            return False
        self.lives[address] = life
        for at, said in self._waiting.pop(address, ()):
            if self.now - at <= WAITS:
                self.send_to_life(address, life, said)
        return True

    def clear_hello(self, address: str) -> None:
        """The question for the life at this address is answered."""
        self._hellos.pop(address, None)

    def sweep(self, there: Container[str]) -> None:
        """Forget what waited for too long, and lives at addresses that are not `there`."""
        for address, rows in list(self._waiting.items()):
            self._waiting[address] = [row for row in rows if self.now - row[0] <= WAITS]
            if not self._waiting[address]:
                del self._waiting[address]
        for address in [a for a in self.lives if a not in there]:
            del self.lives[address]
