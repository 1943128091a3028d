"""What a Balancer has learnt, as a plain record, and back. Pure: it reads no clock.

A node that starts knows nothing of its servers: it sends first attempts to the dead one
again, and begins from guesses in the middle of an overload. What is recalled is never more
than the module itself would have decided: servers are ejected by its own rule, at most
half of them; a cold one stays cold; what does not fit or is too old is not believed.
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
# Health and the concurrency limit: longer than the longest time a server is ejected, so that a
# quick restart forgets none; not much longer, since servers are replaced and loads change.
MAX_HEALTH_AGE_NS = 60 * SECOND
# Latencies of classes change with the servers' work, over hours; they are corrected by the
# first answers. Past this a guess is as good.
MAX_LATENCY_AGE_NS = 10 * 60 * SECOND
MIN_EJECTION_NS = 100 * MS  # of a time that is nearly over: it ends with a trial, as ever
ANSWERS = 20.0  # that a recalled latency counts as: the next ones still move it


@dataclass(frozen=True, slots=True)
class RestoreResult:
    """What came of a record; `why` says what was not believed, and is empty otherwise."""

    ejected: int = 0
    latencies: int = 0
    reason: str = ""


def export_learned_state(balancer: Balancer, now: int, wall: int) -> dict[str, Any]:
    """The record, of JSON's types. `now` is the module's clock, `wall` Unix time; nanoseconds.

    The difference of the two has to be the one with which the host reads its list's starts:
    with another the same start would look like a later one.
    """
    clock = wall - now
    return {
        "format": FORMAT,
        "saved": wall,
        "level": balancer.concurrency_limit,
        "rate": balancer.send_rate,
        "classes": {
            c.spec.name: {"lat": c.mean_latency, "base": c.baseline_latency}
            for c in balancer.classes
            if c.latency_count
        },
        "backends": {
            str(b.id): {
                "boot": b.started_at + clock if b.started_at else 0,
                "lat": b.latency_ratio,
                "down": max(b.ejected_until - now, 0) if b.ejected_until else 0,
                "trial": b.half_open,
                "backoff": b.ejection_backoff,
                "strikes": b.consecutive_failures,
                "cold": max(b.slow_start_until - now, 0),
                "rest": max(b.paused_until - now, 0),
            }
            for b in balancer.backends.values()
            if b.state == State.READY
        },
    }


def restore_learned_state(balancer: Balancer, now: int, wall: int, record: object) -> RestoreResult:
    """Take a record into a Balancer that has just been told its list. Never raises on a
    record, whatever it holds: it is believed in parts, or not at all."""
    if not isinstance(record, dict) or record.get("format") != FORMAT:
        return RestoreResult(reason=f"not a record of format {FORMAT}")
    age = wall - number(record.get("saved"), -1.0)
    if age < 0:
        return RestoreResult(reason="it is from the future: the clock was set back")
    if age > MAX_LATENCY_AGE_NS:
        return RestoreResult(
            reason=f"it is {age / SECOND:.0f} s old, {MAX_LATENCY_AGE_NS // SECOND} at most"
        )
    latencies = recall_latencies(balancer, record.get("classes"))
    if age > MAX_HEALTH_AGE_NS:
        why = f"health is {age / SECOND:.0f} s old, {MAX_HEALTH_AGE_NS // SECOND} at most"
        return RestoreResult(0, latencies, why)
    balancer.concurrency_limit = max(
        MIN_CONCURRENCY_LIMIT,
        min(number(record.get("level"), balancer.concurrency_limit), MAX_CONCURRENCY_LIMIT),
    )
    # What a cold server may get hangs on the usual rate. Begun at 0, the few sends that allows
    # keep it low: after an upgrade amid a release a third was refused for 3 s.
    balancer.send_rate = max(0.0, number(record.get("rate"), 0.0))
    rows = record.get("backends")
    left = recall_backends(balancer, now, wall, int(age), rows if isinstance(rows, dict) else {})
    balancer.update_slot_limits()
    return RestoreResult(left, latencies)


def number(value: object, otherwise: float) -> float:
    """A finite number, or the other one."""
    if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
        return float(value)
    return otherwise


def recall_latencies(balancer: Balancer, rows: object) -> int:
    count = 0
    for c in balancer.classes:
        row = rows.get(c.spec.name) if isinstance(rows, dict) else None
        lat = number(row.get("lat"), 0.0) if isinstance(row, dict) else 0.0
        if isinstance(row, dict) and 0 < lat <= 2 * c.latency_target:
            c.mean_latency = lat
            c.latency_count = ANSWERS
            base = number(row.get("base"), 0.0)
            c.baseline_latency = base if 0 < base <= lat else 0.0
            count += 1
    return count


def recall_backends(
    balancer: Balancer, now: int, wall: int, age: int, rows: dict[str, object]
) -> int:
    """Those ejected longest first: the module allows half of the ready ones."""
    known: list[tuple[float, Backend, dict[str, object]]] = []
    for b in balancer.backends.values():
        row = rows.get(str(b.id))
        if b.state != State.READY or not isinstance(row, dict):
            continue
        boot = b.started_at + (wall - now) if b.started_at else 0
        if number(row.get("boot"), -1.0) // MS != boot // MS:
            continue  # it has started since: cold, and nothing that was known of it holds
        known.append((number(row.get("down"), 0.0), b, row))
    left = 0
    for down, b, row in sorted(known, key=lambda entry: (-entry[0], entry[1].id)):
        b.latency_ratio = min(max(number(row.get("lat"), 1.0), 0.1), 10.0)
        # Never warmer than its start says: only a later end counts.
        cold = int(number(row.get("cold"), 0.0)) - age
        if cold > 0:
            b.slow_start_until = max(
                b.slow_start_until, now + min(cold, balancer.settings.slow_start)
            )
        rest = int(number(row.get("rest"), 0.0)) - age
        if rest > 0:
            b.paused_until = now + min(rest, balancer.settings.overload_window)
            balancer.schedule_wakeup(b.paused_until, b)
        backoff = min(
            max(int(number(row.get("backoff"), EJECTION_BACKOFF_NS)), EJECTION_BACKOFF_NS),
            MAX_EJECTION_BACKOFF_NS,
        )
        strikes = min(max(int(number(row.get("strikes"), 0.0)), 0), 100)
        if down > 0 or row.get("trial") is True:
            b.ejection_backoff = min(max(int(down) - age, MIN_EJECTION_NS), MAX_EJECTION_BACKOFF_NS)
            balancer.eject(now, b, "ejected before the restart")
            left += bool(b.ejected_until)
            b.consecutive_failures = strikes
        b.ejection_backoff = backoff
        balancer.update_bucket(b)
    return left
