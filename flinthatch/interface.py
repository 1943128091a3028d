"""The words between a node and its decisions: classes, servers, outcomes, settings, actions.

Nothing is decided here. Times are integer nanoseconds on the host's clock, which only goes on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

MS = 1_000_000
SECOND = 1_000_000_000


class State(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Update(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Effect(IntEnum):
    PURE = 0
    TOKEN = 1
    SIDE_EFFECT = 2


class Scope(IntEnum):
    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


class Listing(NamedTuple):
    """One line of the backend list."""

    backend: int
    state: State
    zone: int = 0
    cell: int = 0
    kind: int = 0
    boot: int = 0
    rating: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_target: int
    deadline: int
    effect: Effect = Effect.PURE
    scope: Scope = Scope.ALL
    retry_window: int = 0
    value: float = 1.0
    late_value: float = 0.0
    stream: bool = False
    target_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start; times in nanoseconds."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node: int = 0
    balancers: int = 1
    zone: int = 0
    zones: int = 1
    load_columns: tuple[str, ...] = ()
    ask: bool = False
    ask_within: int = 10 * SECOND
    drain_grace: int = SECOND
    slow_start_fraction: float = 0.1
    slow_start: int = 10 * SECOND
    overload_factor: float = 3.0
    overload_window: int = 2 * SECOND
    answer_slack: int = 0
    max_attempts: int = 1
    allow_hedging: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    max_retry_after: int = 0
    clients_mark_retries: bool = False
    connect_timeout: int = 250 * MS
    tick: int = MS
    worst_class_weight: float = 0.0
    cross_zone_price: float = 0.0
    weighted: bool = False

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings need at least one request class")
        if self.balancers < 1:
            raise ValueError("balancers must be at least 1")
        for c in self.classes:
            if c.latency_target <= 0 or c.deadline <= 0:
                raise ValueError(f"class {c.name!r} needs an aim and a deadline above 0")


class Actions(Protocol):
    """What a Balancer asks its host to do; all take effect at once."""

    def send(self, request: int, backend: int, timeout: int) -> None: ...
    def refuse(self, request: int, retry_after: int) -> None: ...
    def fail(self, request: int) -> None: ...
    def cancel(self, request: int, attempt: int) -> None: ...
    def set_timer(self, token: int, due: int) -> None: ...
    def probe(self, backend: int) -> None: ...
    def watch(self) -> None: ...
    def fetch(self) -> None: ...
    def log(self, text: str) -> None: ...
