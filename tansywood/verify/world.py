"""One state of the searched leases: voters, holders, network, disks and clock; copies of them."""

from __future__ import annotations

from collections import deque
from copy import copy
from dataclasses import dataclass
from random import Random
from typing import Any

from tansywood.lease.holder import Holder
from tansywood.lease.log import Entry, PersistentState
from tansywood.lease.raft import RaftOutput, Timing
from tansywood.lease.service import LeaseService

LEASE = "x"
LATE = 1 << 50  # a time at which nobody has heard of a leader lately
UNIT = 10  # a voter's clock in one move of time
TIMING = Timing(heartbeat_interval_ns=1, election_timeout_ns=2)


class NoChance(Random):
    """Always draws 0: when an election comes is for the search to say."""

    def random(self) -> float:
        return 0.0


NO_CHANCE = NoChance(0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the search goes. Each is a count over a whole run."""

    voters: int = 3
    term: int = 2  # the highest
    elections: int = 1  # beyond the first leader's
    asks: tuple[int, ...] = (1, 1)  # of each holder
    pairs: tuple[tuple[str, str], ...] = ()  # who may ask whom; empty: anybody any leader
    crashes: int = 1
    times: int = 4  # moves of time
    beats: int = 0  # heartbeats of leaders besides those that answers need
    led: bool = True  # whether it begins with a leader
    held: bool = True  # and with a lease that A has just got
    second: bool = False  # and with a newer leader besides, of which the first has not heard


@dataclass(frozen=True, slots=True)
class Spent:
    """What of the bounds is used up."""

    elections: int = 0
    crashes: int = 0
    times: int = 0
    beats: int = 0
    asks: tuple[int, ...] = ()


Packet = tuple[str, str, Any]  # from, to, what


@dataclass(slots=True)
class World:
    """One state. Never changed: a move copies what it changes."""

    voters: dict[str, LeaseService]
    holders: dict[str, Holder]
    net: frozenset[Packet]
    kept: dict[str, PersistentState]
    clock: int
    spent: Spent
    led: tuple[tuple[int, str], ...]  # who led in which term
    log: tuple[tuple[int, Entry], ...]  # what was committed, by anybody
    wrong: str = ""


OWN = (list, set, dict, deque)


def fork(thing: Any) -> Any:
    """A copy whose own lists, sets and tables are its own; entries and messages never change."""
    made = object.__new__(type(thing))
    own = thing.__dict__.copy()
    for name, value in own.items():
        if type(value) in OWN:
            own[name] = value.copy()
    made.__dict__ = own
    return made


def fork_service(service: LeaseService) -> LeaseService:
    """A voter that may be changed without the state that it comes from."""
    made: LeaseService = fork(service)
    made.raft = fork(service.raft)
    made.raft._out = RaftOutput()
    table = fork(service.table)
    table.names_by_holder = {h: set(names) for h, names in service.table.names_by_holder.items()}
    made.table = table
    made.pending_requests = [copy(w) for w in service.pending_requests]
    return made


def fork_holder(holder: Holder) -> Holder:
    """The same of a holder."""
    made: Holder = fork(holder)
    return made
