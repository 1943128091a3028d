"""State that the parts of one lease client share: its identity, the known instances, counters and
events. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from tansywood.fleet.events import EventLog
from tansywood.lease.terms import LeaseTerms

COUNTER_NAMES = ("asks", "told", "foreign", "length", "unread", "stale", "behind")


@dataclass(frozen=True, slots=True)
class Peer:
    """An instance as the fleet's membership knows it."""

    name: str
    address: str
    life: bytes
    since: int  # time since which the instance is a member
    accepts_leases: bool = True  # present, and neither draining nor leaving
    is_unsuspected: bool = True  # no member suspects that the instance has failed


def holder_id(name: str, life: bytes) -> str:
    """The id of a holder: an instance's name and the life of its process."""
    return f"{name}/{life.hex()}"


def name_of(id_: str) -> str:
    """The instance's name in a voter's or holder's id."""
    return id_.partition("/")[0]


@dataclass(slots=True)
class Context:
    """The shared state of one process of one instance."""

    name: str
    life: bytes
    wanted_voters: tuple[str, ...]  # instances that the settings of all instances name as voters
    terms: LeaseTerms
    rng: Random
    peers: dict[str, Peer] = field(default_factory=dict)  # by name, including this instance
    counts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(COUNTER_NAMES, 0))
    events: EventLog[str] = field(default_factory=EventLog)

    def address(self, id_: str) -> str:
        """The address of the instance in a voter's or holder's id; empty where the instance is not
        known."""
        peer = self.peers.get(name_of(id_))
        return peer.address if peer is not None else ""
