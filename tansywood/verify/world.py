"""A state of the lease model: voters, holders, network, disks, clock; and copies of its parts."""

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
LATE = 1 << 50  # a time so late that no voter counts as having heard from a leader recently
TIME_STEP = 10  # by how much a voter's clock advances in one time step
TIMING = Timing(heartbeat_interval_ns=1, election_timeout_ns=2)


class ZeroRandom(Random):
    """A random source that always returns 0, because the search decides when elections start."""

    def random(self) -> float:
        return 0.0


ZERO_RANDOM = ZeroRandom(0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a search. Counts apply to a whole run."""

    voters: int = 3
    max_term: int = 2
    elections: int = 1  # not counting the first leader's election
    requests: tuple[int, ...] = (1, 1)  # lease requests of each holder
    allowed_pairs: tuple[tuple[str, str], ...] = ()  # holder and voter; empty: all pairs
    crashes: int = 1
    time_steps: int = 4
    heartbeats: int = 0  # leaders' heartbeats, not counting those that replies need
    has_leader: bool = True  # whether the run begins with a leader
    has_holder: bool = True  # whether the run begins just after A has acquired the lease
    has_second_leader: bool = False  # whether a newer leader exists that the first does not know of


@dataclass(frozen=True, slots=True)
class UsedBounds:
    """How much of the bounds a run has used."""

    elections: int = 0
    crashes: int = 0
    time_steps: int = 0
    heartbeats: int = 0
    requests: tuple[int, ...] = ()


Packet = tuple[str, str, Any]  # sender, receiver, message


@dataclass(slots=True)
class World:
    """One state of the model. A move never changes a state but copies the parts that it changes."""

    voters: dict[str, LeaseService]
    holders: dict[str, Holder]
    network: frozenset[Packet]
    disks: dict[str, PersistentState]  # by voter
    clock: int  # the voters' clock
    used: UsedBounds
    leaders: tuple[tuple[int, str], ...]  # every leader so far, with its term
    committed_entries: tuple[tuple[int, Entry], ...]  # by index, committed by any voter
    violation: str = ""  # the violated rule


MUTABLE_CONTAINERS = (list, set, dict, deque)


def fork(original: Any) -> Any:
    """Copy an object and its mutable containers. Log entries and messages are immutable and are
    shared with the original."""
    copied = object.__new__(type(original))
    attributes = original.__dict__.copy()
    for name, value in attributes.items():
        if type(value) in MUTABLE_CONTAINERS:
            attributes[name] = value.copy()
    copied.__dict__ = attributes
    return copied


def fork_service(service: LeaseService) -> LeaseService:
    """Copy a voter, so that it can be changed independently of the state that contains it."""
    copied: LeaseService = fork(service)
    copied.raft = fork(service.raft)
    copied.raft._out = RaftOutput()
    table = fork(service.table)
    table.names_by_holder = {h: set(names) for h, names in service.table.names_by_holder.items()}
    copied.table = table
    copied.pending_requests = [copy(w) for w in service.pending_requests]
    return copied


def fork_holder(holder: Holder) -> Holder:
    """Copy a holder, so that it can be changed independently of the state that contains it."""
    copied: Holder = fork(holder)
    return copied
