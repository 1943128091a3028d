"""Discovery lists: what a list of all backends takes to read and to hold, in one process."""

from __future__ import annotations

import json
import tempfile
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.scale import model
from benchmarks.scale.fit import Point
from benchmarks.scale.judge import judge
from benchmarks.scale.model import Effect, Event, Figure, Gap, Resource, Role, Series, Source
from benchmarks.scale.processes import worker_pool
from flinthatch import Balancer
from standins.platform import config, roster
from windrelay.config import load
from windrelay.discovery import MAX_ANSWER_BYTES, BackendList

DELTAS = 20
CARRIED_BY = (
    "a node is told of the backends of its own routes alone, by changes; whole lists come in pages"
)


@dataclass(frozen=True, slots=True)
class ListCost:
    """One list of so many backends."""

    backends: int
    list_bytes: int
    read_ms: float  # JSON, checks, taking it over
    held_bytes: int  # the list in hand, by the discovery code
    balancer_bytes: int  # the state that the decisions keep of each
    balancer_ms: float  # a whole list told to the decisions
    change_ms: float  # one row that is another


class Silent:
    """A host of the decisions that does nothing."""

    def __getattr__(self, action: str) -> Any:
        return lambda *_words: None


def row(number: int) -> dict[str, object]:
    """A backend as the platform lists it."""
    return {
        "uid": f"service-{number % model.SERVICES:04}-pod-{number:05}",
        "endpoint": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "az": "east", "model": "m2", "pod_group": 1, "state": "active",
        "capacity_hint": 1.0, "boot_ms": 1_796_000_000_000,
    }  # fmt: skip


def take(held: BackendList, body: bytes) -> list[Any]:
    """What the node does with an answer."""
    raw = json.loads(body)
    update, rows, endpoints, _ = held.parse(raw)
    rows = held.without_displaced(rows, endpoints, update)
    held.apply(raw["rev"], update, rows, endpoints)
    return rows


def cost(backends: int) -> ListCost:
    """Read, hold and change one list."""
    rows = [row(n) for n in range(backends)]
    body = json.dumps({"rev": 2, "all": True, "targets": rows}).encode()
    with tempfile.TemporaryDirectory() as folder:
        settings = load(config(Path(folder), roster(), 1))
    began = time.process_time()
    take(BackendList(settings), body)
    read_ms = 1000 * (time.process_time() - began)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = BackendList(settings)
    taken = take(held, body)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    decisions = Balancer(settings.settings, 1, Silent())
    decisions.start(0)
    decisions.on_backend_list(1, held.parse(json.loads(body))[0], taken)
    balancer_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    again = Balancer(settings.settings, 1, Silent())
    again.start(0)
    update = held.parse(json.loads(body))[0]
    began = time.process_time()
    again.on_backend_list(1, update, taken)
    balancer_ms = 1000 * (time.process_time() - began)
    return ListCost(
        backends, len(body), read_ms, held_bytes, balancer_bytes, balancer_ms,
        change_ms(held, again),
    )  # fmt: skip


def change_ms(held: BackendList, decisions: Balancer) -> float:
    """One backend leaves and comes back, in turn."""
    began = time.process_time()
    for n in range(DELTAS):
        changed = row(0) | {"state": "leaving" if n % 2 == 0 else "active"}
        body = json.dumps({"rev": 3 + n, "all": False, "targets": [changed]}).encode()
        raw = json.loads(body)
        update, rows, endpoints, _ = held.parse(raw)
        rows = held.without_displaced(rows, endpoints, update)
        held.apply(raw["rev"], update, rows, endpoints)
        decisions.on_backend_list(2 + n, update, rows)
    return 1000 * (time.process_time() - began) / DELTAS


def measure(quick: bool) -> Role:
    """Lists of four sizes; the largest is the full one."""
    sizes = [model.BACKENDS * n // 32 for n in (1, 2, 3, 4)]
    if not quick:
        sizes = [model.BACKENDS * n // 8 for n in (1, 2, 4, 8)]
    with worker_pool() as pool:
        costs = list(pool.map(cost, sizes))

    def series(name: str, what: str, resource: Resource, limit: float | None = None) -> Series:
        rows = tuple(Point(c.backends, getattr(c, name)) for c in costs)
        return Series(
            name, what, "backends", resource, Source.PURE, rows, model.BACKENDS, limit
        )  # fmt: skip

    found = tuple(
        judge(s)
        for s in (
            series("list_bytes", "a whole list on the wire", Resource.BYTES),
            series("held_bytes", "the list in hand (traced allocations)", Resource.MEMORY,
                   model.MEMORY_BYTES),
            series("balancer_bytes", "the decisions' state of each (traced allocations)",
                   Resource.MEMORY),
            series("read_ms", "to read a whole list", Resource.CPU_TIME),
            series("balancer_ms", "to tell the decisions a whole list", Resource.CPU_TIME),
            series("change_ms", "one row that changes", Resource.CPU_TIME),
        )
    )  # fmt: skip
    named = {f.series.name: f for f in found}
    whole, each_ms = named["list_bytes"].full, named["change_ms"].full
    own = model.BACKENDS_PER_NODE / model.BACKENDS
    return Role(
        "discovery lists",
        "where the backends are: 51,000 of them in one list",
        "a row and an address for each backend listed, and the decisions' own state of it",
        "one list, whole or by changes, asked for by every node; an answer of 2 MiB at most",
        CARRIED_BY,
        found,
        effects(whole, each_ms),
        (
            Figure("largest answer that a node takes", MAX_ANSWER_BYTES / (1 << 20), "MiB",
                   "the code"),
            Figure("backends that such an answer has room for",
                   MAX_ANSWER_BYTES * model.BACKENDS / whole, "",
                   "the code's bound by measured bytes"),
            Figure("list in hand and decisions' state of a node's own backends",
                   own * (named["held_bytes"].full + named["balancer_bytes"].full) / 1e6, "MB",
                   f"calculated: {model.BACKENDS_PER_NODE} backends"),
        ),
        gaps=(
            Gap("no page and no part of a list can be asked for: a node that wants some backends "
                "takes all", max(1, int(model.NODES * MAX_ANSWER_BYTES / whole)), CARRIED_BY),
        ),
    )  # fmt: skip


def effects(whole: float, each_ms: float) -> tuple[Effect, ...]:
    """What events do, as far as the letter tells: its failures are of machines, taken for
    backends here, each of which leaves and comes back."""
    changes = 2 * (model.FAILURES_PER_DAY + model.RESTARTS_PER_DAY)
    zone = model.BACKENDS / model.ZONES
    day = model.SECONDS_PER_DAY
    return (
        Effect(Event.ORDINARY_DAY, "processor time of a node for two changes of each, all listed",
               changes * each_ms / 10 / day, "% of a core"),
        Effect(Event.ORDINARY_DAY, "whole lists to restarted nodes, in the mean",
               model.RESTARTS_PER_DAY * whole / day / 1e6, "MB a second"),
        Effect(Event.RACK, "one change for each of its backends (as many as nodes assumed)",
               model.NODES_PER_RACK * each_ms, "ms of processor time"),
        Effect(Event.ZONE, f"{zone:,.0f} backends leave, one change each, at a node that lists all",
               zone * each_ms / 1000, "s of processor time"),
        Effect(Event.REGION, "the list in hand stays; servers that answer nothing are ejected"),
        Effect(Event.CONTROL_AWAY, "the list in hand stays; a new node starts with the list of its "
               "configuration"),
    )  # fmt: skip
