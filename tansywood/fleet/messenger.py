"""Envelopes to and from other instances, each for one life (run) of a process. Pure.

Every message is addressed to one life, because it is invalid for a later process at the same
address. While the life at an address is unknown, messages to the address are queued.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from tansywood.fleet.messages import Body, Claim, Envelope, Hello, Welcome
from tansywood.fleet.terms import MS

HELLO_INTERVAL_NS = 200 * MS  # between two hellos to one address
MAX_QUEUED_MESSAGES = 16  # for one address whose life is not known yet
MAX_QUEUE_TIME_NS = 500 * MS  # a message that was queued for longer is dropped


class Messenger:
    """Addresses the messages of one life of an instance, and accepts those sent to this life."""

    def __init__(self, name: str, address: str, life: bytes, now: int) -> None:
        self.name = name
        self.address = address
        self.life = life
        self.now = now  # time of the current call, nanoseconds
        self.outgoing: list[tuple[str, Envelope]] = []  # by address, to be sent
        self.lives: dict[str, bytes] = {}  # by address, of senders of accepted messages
        self.gossiped_lives: Mapping[str, bytes] = {}  # by address, from gossip
        self.counts = {"sent": 0, "received": 0, "stale": 0, "claims": 0, "grants": 0}
        self._hello_times: dict[str, int] = {}
        self._queued: dict[str, list[tuple[int, Body]]] = {}  # by address, for an unknown life

    def knows_life(self, address: str) -> bool:
        """Whether the life at this address is known."""
        return address in self.lives or address in self.gossiped_lives

    def send(self, address: str, body: Body) -> None:
        """Send to the life at this address; queue the message while that life is unknown."""
        if address == self.address:
            return
        life = self.lives.get(address) or self.gossiped_lives.get(address)
        if life is not None:
            self.send_to_life(address, life, body)
            return
        # If messages were dropped here, first probes would fail and first updates would count as
        # sent. A claim is out of date soon, so it is not queued.
        queued = self._queued.setdefault(address, [])
        if not isinstance(body, Claim) and len(queued) < MAX_QUEUED_MESSAGES:
            queued.append((self.now, body))
        if self.now - self._hello_times.get(address, -HELLO_INTERVAL_NS) >= HELLO_INTERVAL_NS:
            self._hello_times[address] = self.now
            self.send_to_life(address, b"", Hello())

    def send_to_life(self, address: str, to: bytes, body: Body) -> None:
        """Send to one life at an address; empty for a hello."""
        self.counts["sent"] += 1
        self.outgoing.append((address, Envelope(self.name, self.address, to, body)))

    def take_sends(self) -> list[tuple[str, Envelope]]:
        """Return the envelopes to be sent now, with their addresses, and clear them."""
        sends, self.outgoing = self.outgoing, []
        return sends

    def accept(self, life: bytes, envelope: Envelope) -> bool:
        """Whether the envelope is addressed to this life.

        A hello, or a message to an earlier life at this address, changes nothing here; its sender
        is told this life.
        """
        self.counts["received"] += 1
        address = envelope.address
        if envelope.to != self.life:
            if envelope.to:
                self.counts["stale"] += 1
            self.send_to_life(address, life, Welcome())
            return False
        self.lives[address] = life
        for at, body in self._queued.pop(address, ()):
            if self.now - at <= MAX_QUEUE_TIME_NS:
                self.send_to_life(address, life, body)
        return True

    def clear_hello(self, address: str) -> None:
        """Allow a new hello to this address at once: the last one was answered."""
        self._hello_times.pop(address, None)

    def sweep(self, kept_addresses: Container[str]) -> None:
        """Drop messages queued for too long, and lives at other addresses than `kept_addresses`."""
        for address, rows in list(self._queued.items()):
            self._queued[address] = [row for row in rows if self.now - row[0] <= MAX_QUEUE_TIME_NS]
            if not self._queued[address]:
                del self._queued[address]
        for address in [a for a in self.lives if a not in kept_addresses]:
            del self.lives[address]
