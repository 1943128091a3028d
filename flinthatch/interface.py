"""Types shared by a node and its decisions: backends, request classes, outcomes, settings, actions.

The module decides nothing. Times are integer nanoseconds on the host's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

MS = 1_000_000
SECOND = 1_000_000_000


class State(IntEnum):
    """State of a backend in the list; only a READY backend gets new attempts."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Update(IntEnum):
    """Kind of a list update: changed rows, a full list, the list of the start, or a failed call."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Effect(IntEnum):
    """What repeating a request does, ordered from the freest rule for retries to the strictest."""

    PURE = 0  # a repeat changes nothing
    TOKEN = 1  # backends recognize a repeat by its key within the retry window
    SIDE_EFFECT = 2  # a repeat takes effect again, so it is never sent


class Scope(IntEnum):
    """Which backends recognize the key of a TOKEN request: all, or those of one zone or cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended; after FULL, CONNECT_FAILED and NOT_SENT it certainly did not run."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


class Listing(NamedTuple):
    """One row of the backend list.

    `hardware_kind` is a number for the backend's hardware. `started_at` is the start of the
    backend's process, 0 where it is unknown. `weight` is its capacity relative to other backends.
    """

    backend: int
    state: State
    zone: int = 0
    cell: int = 0
    hardware_kind: int = 0
    started_at: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Service level and retry rules of one class of requests; times in nanoseconds."""

    name: str
    latency_target: int
    deadline: int
    effect: Effect = Effect.PURE
    scope: Scope = Scope.ALL  # where backends recognize the key of a TOKEN request
    retry_window: int = 0  # time in which backends recognize the key
    value: float = 1.0  # worth of an answer within the target, relative to other classes
    late_value: float = 0.0  # worth of a late answer; with 0, silent attempts end at the target
    stream: bool = False
    target_stretch: float = 0.0  # nanoseconds added to the target per unit of a cost hint


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of each class's slots, and its rate limit over all nodes (0: no limit)."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start; times in nanoseconds.

    Raises ValueError without a request class, with fewer than one balancer, or with a class whose
    latency target or deadline is not above 0.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node: int = 0  # this node's index among the balancers
    balancers: int = 1  # nodes that send to the same backends
    zone: int = 0  # index of this node's zone
    zones: int = 1  # number of zones
    load_columns: tuple[str, ...] = ()  # names of the figures in a backend's load report
    ask: bool = False  # whether the node polls the list service; lists are pushed otherwise
    ask_within: int = 10 * SECOND  # time within which the node calls the list service
    drain_grace: int = SECOND  # time from a backend's DRAINING state until it ends
    slow_start_fraction: float = 0.1  # part of its capacity that a backend starts with
    slow_start: int = 10 * SECOND  # time until a started backend has its whole capacity
    overload_factor: float = 3.0  # multiple of its capacity that a starting backend fails under
    overload_window: int = 2 * SECOND  # time over which a starting backend's load is measured
    answer_slack: int = 0  # time after a deadline for the node's answer to reach the client
    max_attempts: int = 1
    allow_hedging: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    max_retry_after: int = 0  # longest wait that a refused client may be told
    clients_mark_retries: bool = False
    connect_timeout: int = 250 * MS
    tick: int = MS  # resolution of the host's timers
    worst_class_weight: float = 0.0
    cross_zone_price: float = 0.0
    weighted: bool = False  # whether the weights of backends differ

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings need at least one request class")
        if self.balancers < 1:
            raise ValueError("balancers must be at least 1")
        for c in self.classes:
            if c.latency_target <= 0 or c.deadline <= 0:
                raise ValueError(f"class {c.name!r} needs an aim and a deadline above 0")


class Actions(Protocol):
    """What a Balancer asks its host to do; every action takes effect at once."""

    def send(self, request: int, backend: int, timeout: int) -> None: ...
    def refuse(self, request: int, retry_after: int) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def set_timer(self, token: int, due: int) -> None: ...
    def probe(self, backend: int) -> None: ...
    def watch(self) -> None: ...
    def fetch(self) -> None: ...
    def log(self, text: str) -> None: ...
