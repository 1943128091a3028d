"""Exports what a Balancer has learned as a plain record, and restores it. Pure: reads no clock.

A node that starts without a record knows nothing of its backends: it sends first attempts to dead
ones again, and in the middle of an overload it begins from guesses. A restored record never goes
beyond what the balancer would decide by itself: backends are ejected by the balancer's own rule, at
most half of them; a backend in slow start stays in it; entries that don't fit or are too old are
ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from flinthatch.balancer import (
    EJECTION_BACKOFF_NS,
    MAX_CONCURRENCY_LIMIT,
    MAX_EJECTION_BACKOFF_NS,
    MIN_CONCURRENCY_LIMIT,
    Backend,
    Balancer,
)
from flinthatch.interface import MS, SECOND, State

FORMAT = 1
# Of backends' health and the concurrency limit. Longer than the longest ejection, so that a quick
# restart forgets none; not much longer, since backends are replaced and loads change.
MAX_HEALTH_AGE_NS = 60 * SECOND
# The latencies of classes change with the backends' work, over hours, and the first answers correct
# them. A record older than this is no better than the initial guess.
MAX_LATENCY_AGE_NS = 10 * 60 * SECOND
# For an ejection whose time is nearly over: like any other it ends with a half-open backend.
MIN_EJECTION_NS = 100 * MS
# Answers that a restored mean latency counts as, few enough for new answers to change it.
RESTORED_LATENCY_COUNT = 20.0


@dataclass(frozen=True, slots=True)
class RestoreResult:
    """Counts of what was restored; `reason` says what was ignored and why, empty if nothing was."""

    ejected: int = 0
    latencies: int = 0
    reason: str = ""


def export_learned_state(balancer: Balancer, now: int, wall_now: int) -> dict[str, Any]:
    """The record, of JSON's types, with all times in nanoseconds.

    `now` is the balancer's clock and `wall_now` Unix time. Their difference has to be the one by
    which the host converts the start times in its backend list: with another one, the same start
    of a backend would look like a later start.
    """
    wall_offset = wall_now - now
    return {
        "format": FORMAT,
        "saved": wall_now,
        "level": balancer.concurrency_limit,
        "rate": balancer.send_rate,
        "classes": {
            class_state.spec.name: {
                "lat": class_state.mean_latency,
                "base": class_state.baseline_latency,
            }
            for class_state in balancer.classes
            if class_state.latency_count
        },
        "backends": {
            str(backend.id): {
                "boot": backend.started_at + wall_offset if backend.started_at else 0,
                "lat": backend.latency_ratio,
                "down": max(backend.ejected_until - now, 0) if backend.ejected_until else 0,
                "trial": backend.half_open,
                "backoff": backend.ejection_backoff,
                "strikes": backend.consecutive_failures,
                "cold": max(backend.slow_start_until - now, 0),
                "rest": max(backend.paused_until - now, 0),
            }
            for backend in balancer.backends.values()
            if backend.state == State.READY
        },
    }


def restore_learned_state(
    balancer: Balancer, now: int, wall_now: int, record: object
) -> RestoreResult:
    """Restore a record into a Balancer that has just got its backend list.

    Never raises on a record, whatever it holds: each part is checked and used or ignored.
    """
    if not isinstance(record, dict) or record.get("format") != FORMAT:
        return RestoreResult(reason=f"not a record of format {FORMAT}")
    age = wall_now - finite_or(record.get("saved"), -1.0)
    if age < 0:
        return RestoreResult(reason="the record is from the future: the clock was set back")
    if age > MAX_LATENCY_AGE_NS:
        return RestoreResult(
            reason=f"the record is {age / SECOND:.0f} s old, "
            f"{MAX_LATENCY_AGE_NS // SECOND} at most"
        )
    latencies = restore_latencies(balancer, record.get("classes"))
    if age > MAX_HEALTH_AGE_NS:
        reason = f"health is {age / SECOND:.0f} s old, {MAX_HEALTH_AGE_NS // SECOND} at most"
        return RestoreResult(0, latencies, reason)
    balancer.concurrency_limit = max(
        MIN_CONCURRENCY_LIMIT,
        min(
            finite_or(record.get("level"), balancer.concurrency_limit),
            MAX_CONCURRENCY_LIMIT,
        ),
    )
    # The rate of attempts that a backend in slow start may get is a multiple of the usual rate.
    # Starting from 0, the few attempts that this allows keep the rate low: after an upgrade in the
    # middle of a release a third of the requests was refused for 3 s.
    balancer.send_rate = max(0.0, finite_or(record.get("rate"), 0.0))
    entries = record.get("backends")
    ejected_count = restore_backends(
        balancer, now, wall_now, int(age), entries if isinstance(entries, dict) else {}
    )
    balancer.update_slot_limits()
    return RestoreResult(ejected_count, latencies)


def finite_or(value: object, default: float) -> float:
    """The value where it is a finite number, otherwise the default."""
    if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
        return float(value)
    return default


def restore_latencies(balancer: Balancer, entries: object) -> int:
    """Restore the mean latencies of classes; returns how many were plausible and used."""
    count = 0
    for class_state in balancer.classes:
        entry = entries.get(class_state.spec.name) if isinstance(entries, dict) else None
        latency = finite_or(entry.get("lat"), 0.0) if isinstance(entry, dict) else 0.0
        if isinstance(entry, dict) and 0 < latency <= 2 * class_state.latency_target:
            class_state.mean_latency = latency
            class_state.latency_count = RESTORED_LATENCY_COUNT
            baseline = finite_or(entry.get("base"), 0.0)
            class_state.baseline_latency = baseline if 0 < baseline <= latency else 0.0
            count += 1
    return count


def restore_backends(
    balancer: Balancer, now: int, wall_now: int, age: int, entries: dict[str, object]
) -> int:
    """Restore the health of backends; returns how many of them were ejected.

    The backends with the longest ejections come first, since the balancer ejects at most half of
    the ready ones.
    """
    known: list[tuple[float, Backend, dict[str, object]]] = []
    for backend in balancer.backends.values():
        entry = entries.get(str(backend.id))
        if backend.state != State.READY or not isinstance(entry, dict):
            continue
        boot = backend.started_at + (wall_now - now) if backend.started_at else 0
        if finite_or(entry.get("boot"), -1.0) // MS != boot // MS:
            continue  # the backend restarted since: it is in slow start, and the entry is void
        known.append((finite_or(entry.get("down"), 0.0), backend, entry))
    ejected_count = 0
    for ejected_for, backend, entry in sorted(known, key=lambda item: (-item[0], item[1].id)):
        backend.latency_ratio = min(max(finite_or(entry.get("lat"), 1.0), 0.1), 10.0)
        # A record may extend the slow start that follows from the backend's start, not shorten it.
        slow_start_left = int(finite_or(entry.get("cold"), 0.0)) - age
        if slow_start_left > 0:
            balancer.begin_slow_start(
                backend, now + min(slow_start_left, balancer.settings.slow_start)
            )
        pause_left = int(finite_or(entry.get("rest"), 0.0)) - age
        if pause_left > 0:
            backend.paused_until = now + min(pause_left, balancer.settings.overload_window)
            balancer.schedule_wakeup(backend.paused_until, backend)
        backoff = min(
            max(int(finite_or(entry.get("backoff"), EJECTION_BACKOFF_NS)), EJECTION_BACKOFF_NS),
            MAX_EJECTION_BACKOFF_NS,
        )
        failures = min(max(int(finite_or(entry.get("strikes"), 0.0)), 0), 100)
        if ejected_for > 0 or entry.get("trial") is True:
            backend.ejection_backoff = min(
                max(int(ejected_for) - age, MIN_EJECTION_NS), MAX_EJECTION_BACKOFF_NS
            )
            balancer.eject(now, backend, "ejected before the restart")
            ejected_count += bool(backend.ejected_until)
            backend.consecutive_failures = failures
        backend.ejection_backoff = backoff
        balancer.update_bucket(backend)
    return ejected_count
