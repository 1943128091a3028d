"""Puts new settings into a running Balancer. Pure: reads no clock. The platform does not load it.

A request ends under the stricter of the rules that held during its life. A change that forbids
retries applies at once, also to a queued retry and to a request whose attempt is in flight; a
change that allows retries applies to the requests that arrive after it. A request keeps the
deadline that it arrived with, since its client was promised that time.

A class whose rule becomes looser is therefore two classes for a while: the old one takes no new
requests and is dropped once its last request has ended, and the new one starts with what the old
one has learned. A class that is removed from the settings is retired in the same way. Every other
change applies in place.
"""

from __future__ import annotations

from dataclasses import replace

from flinthatch.balancer import TIME_LEFT_STEP_COUNT, Balancer, ClassState
from flinthatch.interface import Effect, RequestClass, Scope, Settings

RETIRED_PREFIX = "~"  # before the name of a class that takes no new requests


def allows_more_retries(old: RequestClass, new: RequestClass) -> bool:
    """Whether the new rule allows a retry that the old one forbids; see the order of Effect."""
    if new.effect != old.effect:
        return new.effect < old.effect
    if new.effect != Effect.TOKEN:
        return False
    return new.retry_window > old.retry_window or (
        new.scope != old.scope and new.scope == Scope.ALL
    )


def reconfigure(balancer: Balancer, now: int, settings: Settings) -> dict[str, int]:
    """Continue under these settings; returns the class numbers for new requests, by class name.

    Class numbers returned before are void. Raises ValueError where tenants, zones, load columns,
    the source of the list or the node's place among its peers differ: these can change only at a
    start.
    """
    fixed = ("tenants", "node", "balancers", "zone", "zones", "load_columns", "ask")
    for name in fixed:
        if getattr(settings, name) != getattr(balancer.settings, name):
            raise ValueError(f"{name} can change only at a start")
    classes_in_use = {id(r.cls) for r in balancer.requests.values()}
    kept = []
    for c in balancer.classes:
        if not _is_retired(c):
            kept.append(c)
        elif id(c) in classes_in_use:
            kept.append(c)
            for spec in settings.classes:
                if RETIRED_PREFIX + spec.name == c.spec.name and allows_more_retries(spec, c.spec):
                    _update_class(c, replace(spec, name=c.spec.name, deadline=c.spec.deadline))
    current = {c.spec.name: c for c in kept if not _is_retired(c)}
    for spec in settings.classes:
        old = current.get(spec.name)
        if old is None or allows_more_retries(old.spec, spec):
            kept.append(_create_class(spec, old, len(settings.tenants)))
        else:
            _update_class(old, spec)
            del current[spec.name]
    for old in current.values():
        old.spec = replace(old.spec, name=RETIRED_PREFIX + old.spec.name)
    kept = [c for c in kept if not _is_retired(c) or id(c) in classes_in_use]
    _replace_classes(balancer, kept)
    balancer.settings = settings
    balancer.update_slot_limits()
    balancer.dispatch(now)
    return {c.spec.name: c.number for c in kept if not _is_retired(c)}


def _is_retired(c: ClassState) -> bool:
    return c.spec.name.startswith(RETIRED_PREFIX)


def refuse_waiting(balancer: Balancer, now: int) -> int:
    """Answer all queued requests at once; returns how many there were.

    A request is refused where it certainly did not run or may be repeated, otherwise it fails.
    Attempts in flight continue to their outcomes.
    """
    balancer.now = now
    queued = [r for r in balancer.requests.values() if r.queued]
    for r in queued:
        balancer.dequeue(r)
        balancer.refuse_or_fail(r)
    return len(queued)


def _create_class(
    spec: RequestClass, predecessor: ClassState | None, tenant_count: int
) -> ClassState:
    c = ClassState(0, spec, tenant_count)
    if predecessor is not None:
        c.mean_latency, c.latency_count, c.baseline_latency, c.share = (
            predecessor.mean_latency,
            predecessor.latency_count,
            predecessor.baseline_latency,
            predecessor.share,
        )
    return c


def _update_class(c: ClassState, spec: RequestClass) -> None:
    if spec.deadline != c.spec.deadline:
        # The histogram counts clients' times left in steps of the old deadline.
        c.time_left_histogram = [0] * (TIME_LEFT_STEP_COUNT + 1)
        c.usual_time_left_step = c.time_left_count = 0
    c.spec = spec
    c.latency_target = spec.latency_target
    c.effect = spec.effect


def _replace_classes(balancer: Balancer, classes: list[ClassState]) -> None:
    """Number the classes anew, with the latency samples of those that the balancer had."""
    sums = {id(c): balancer.target_ratio_sums[c.number] for c in balancer.classes}
    counts = {id(c): balancer.target_ratio_counts[c.number] for c in balancer.classes}
    balancer.classes = classes
    balancer.target_ratio_sums = [sums.get(id(c), 0.0) for c in classes]
    balancer.target_ratio_counts = [counts.get(id(c), 0.0) for c in classes]
    for number, c in enumerate(classes):
        c.number = number
    balancer.current_class %= len(classes)
    balancer.turns_left = 0
