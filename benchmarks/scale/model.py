"""The size that is expected in two years, the budgets, and the values that a run is made of.

Everything here is plain data: `python -m benchmarks.scale` writes a `Run` as JSON, and
`benchmarks.scale.page` makes the tables of docs/CAPACITY.md from it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import msgspec

from benchmarks.scale.fit import Fit, Form, Point

FOLDER = Path(__file__).resolve().parent
RESULTS = FOLDER / "capacity.json"

# ---- the size expected (letter of 2026-12-02) ------------------------------------------------

NODES = 3_600
BACKENDS = 51_000
SERVICES = 2_300
ROUTES = 35_000
TENANTS = 110_000
REQUESTS_PER_SECOND = 440_000  # at the peak, over all nodes
REGIONS = 4
ZONES = 11
CHANGES_PER_DAY = 2_700
FAILURES_PER_DAY = 220
RESTARTS_PER_DAY = 4_400
CONTROL_MACHINES = 15
IN_FORCE_SECONDS = 4.0
ADDED_MILLISECONDS = 3.1  # to a request, for 99 in 100
CPU_PERCENT = 1.5  # of a core, of one node's control
MEMORY_BYTES = 64_000_000  # of one node's control
TRAFFIC_BYTES = 8_000  # a second, of one node's control, sent and received
SECONDS_PER_DAY = 86_400

# ---- assumptions of ours, where the letter gives no number -------------------------------------

NODES_PER_TENANT = 3  # that serve one tenant
SKEW = 4  # requests at the busiest node, to the mean
NODES_PER_RACK = 20
KEYS_PER_TENANT = 1
LEASES = 5_000  # as many as the roadmap's measurement has

# ---- what follows from both ---------------------------------------------------------------------

TENANTS_PER_NODE = round(TENANTS * NODES_PER_TENANT / NODES)
ROUTES_PER_NODE = round(ROUTES * NODES_PER_TENANT / NODES)
BACKENDS_PER_SERVICE = round(BACKENDS / SERVICES)
BACKENDS_PER_NODE = ROUTES_PER_NODE * BACKENDS_PER_SERVICE  # each route to a service of its own
MEAN_REQUESTS = REQUESTS_PER_SECOND / NODES
PEAK_REQUESTS = MEAN_REQUESTS * SKEW
NODES_PER_ZONE = round(NODES / ZONES)
NODES_PER_REGION = round(NODES / REGIONS)
SECONDS_PER_RESTART = SECONDS_PER_DAY / RESTARTS_PER_DAY
SECONDS_PER_CHANGE = SECONDS_PER_DAY / CHANGES_PER_DAY
SECONDS_PER_FAILURE = SECONDS_PER_DAY / FAILURES_PER_DAY


class Source(StrEnum):
    """What a figure was measured on."""

    SIMULATED = "simulated time"  # shipped pure code, modelled network and clock
    HOLLOW = "hollow processes"  # shipped control code without a data path, real sockets
    PURE = "pure code, one process"  # the shipped code of one job called directly, no network
    WHOLE = "whole processes"  # the service, or the node, as it is run


class Resource(StrEnum):
    """What is spent, with the unit of its figures."""

    CPU = "% of a core"
    MEMORY = "bytes"
    TRAFFIC = "bytes a second"
    MESSAGES = "messages a second"
    LATENCY = "ms"
    CPU_TIME = "ms of processor time"
    BYTES = "bytes in one message"
    SECONDS = "s"


BUDGETS: dict[Resource, float] = {
    Resource.CPU: CPU_PERCENT,
    Resource.MEMORY: MEMORY_BYTES,
    Resource.TRAFFIC: TRAFFIC_BYTES,
}


class Event(StrEnum):
    """What every role has to answer for."""

    ORDINARY_DAY = "ordinary day: 220 failures, 4,400 restarts, 2,700 changes"
    RACK = "a rack goes"
    ZONE = "a zone goes"
    REGION = "a region is cut off for minutes"
    CONTROL_AWAY = "its control is away"


@dataclass(frozen=True, slots=True)
class Series:
    """One cost measured at several sizes.

    `expected` is the size that the cost has to be carried at. `limit` is the most that may be
    spent, in the unit of `resource`; None where there is no budget for it. `grows_with_fleet`
    says whether `expected` shrinks in proportion where the fleet is smaller.
    """

    name: str
    what: str
    over: str  # what the sizes count
    resource: Resource
    source: Source
    points: tuple[Point, ...]
    expected: float
    limit: float | None = None
    grows_with_fleet: bool = True
    law: Form | None = None  # by the code's own formula; None: as the points say
    note: str = ""


@dataclass(frozen=True, slots=True)
class Finding:
    """A series with what follows from it at the size expected."""

    series: Series
    fit: Fit
    full: float  # at the size expected, by the fit, or measured where that size was reached
    largest: float  # size measured
    breaks_at_nodes: int | None  # the smallest fleet at which the limit is broken

    @property
    def fits(self) -> bool | None:
        """Whether the limit holds at the full size; None where there is none."""
        return None if self.series.limit is None else self.full <= self.series.limit


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure that was not measured, and why."""

    what: str
    value: float
    resource: Resource
    reason: str
    limit: float | None = None
    breaks_at_nodes: int | None = None


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured or derived value that stands by itself, such as a cap in the code."""

    what: str
    value: float
    unit: str
    source: str  # a `Source`, "the code", or how it was calculated


@dataclass(frozen=True, slots=True)
class Effect:
    """What one event does to a role, by the measured costs."""

    event: Event
    what: str
    value: float | None = None
    unit: str = ""


@dataclass(frozen=True, slots=True)
class Gap:
    """Something that the present mechanism can't carry, in words, and the fleet it binds at."""

    what: str
    breaks_at_nodes: int
    carried_by: str


@dataclass(frozen=True, slots=True)
class Role:
    """One job of a node's control, its costs, and what carries it."""

    name: str
    question: str
    state: str  # what is held for it, and where
    mechanism: str  # at work today
    carried_by: str  # at the full size
    findings: tuple[Finding, ...]
    effects: tuple[Effect, ...]
    figures: tuple[Figure, ...] = ()
    estimates: tuple[Estimate, ...] = ()
    gaps: tuple[Gap, ...] = ()
    seconds: float = 0.0  # that its measurement took
    load_average: tuple[float, float] = (0.0, 0.0)  # of one minute, at its begin and end


@dataclass(frozen=True, slots=True)
class Machine:
    """What a run was made on."""

    cores: int
    memory_gigabytes: int
    python: str


@dataclass(frozen=True, slots=True)
class Run:
    """All roles of one run; some may have been measured anew behind it."""

    date: str
    quick: bool
    seconds: float
    machine: Machine
    roles: tuple[Role, ...] = field(default=())


def load(path: Path = RESULTS) -> Run:
    """Read a run's JSON; msgspec.ValidationError where it is of another shape."""
    return msgspec.json.decode(path.read_bytes(), type=Run)


def dump(run: Run, path: Path) -> None:
    """Write a run as JSON, one value a line."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(run), indent=1) + b"\n")
