"""What the parts of one lease client share: who this is, who is there, counters, events. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from tansywood.fleet.events import EventLog
from tansywood.lease.terms import LeaseTerms

COUNTED = ("asks", "told", "foreign", "length", "unread", "stale", "behind")


@dataclass(frozen=True, slots=True)
class Peer:
    """A member as the fleet knows it."""

    name: str
    address: str
    life: bytes
    since: int  # there since then
    accepts_leases: bool = True  # there, neither draining nor leaving
    is_unsuspected: bool = True  # and nobody suspects that it is gone


def holder_id(name: str, life: bytes) -> str:
    """One life of one instance, as a holder."""
    return f"{name}/{life.hex()}"


def name_of(some: str) -> str:
    """The instance's name in a voter's or holder's id."""
    return some.partition("/")[0]


@dataclass(slots=True)
class Context:
    """One life of one instance."""

    name: str
    life: bytes
    wanted_voters: tuple[str, ...]  # instances that are to vote, the same everywhere
    terms: LeaseTerms
    rng: Random
    peers: dict[str, Peer] = field(default_factory=dict)  # by name, this instance among them
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTED, 0))
    events: EventLog[str] = field(default_factory=EventLog)

    def address(self, some: str) -> str:
        """Of the instance in a voter's or holder's id; empty where it is not known."""
        peer = self.peers.get(name_of(some))
        return peer.address if peer is not None else ""
