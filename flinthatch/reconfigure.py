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
from flinthatch.decision_log import Reason
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
    for class_state in balancer.classes:
        if not _is_retired(class_state):
            kept.append(class_state)
        elif id(class_state) in classes_in_use:
            kept.append(class_state)
            for spec in settings.classes:
                if RETIRED_PREFIX + spec.name == class_state.spec.name and allows_more_retries(
                    spec, class_state.spec
                ):
                    _update_class(
                        class_state,
                        replace(
                            spec, name=class_state.spec.name, deadline=class_state.spec.deadline
                        ),
                    )
    current = {
        class_state.spec.name: class_state for class_state in kept if not _is_retired(class_state)
    }
    for spec in settings.classes:
        old = current.get(spec.name)
        if old is None or allows_more_retries(old.spec, spec):
            kept.append(_create_class(spec, old, len(settings.tenants)))
        else:
            _update_class(old, spec)
            del current[spec.name]
    for old in current.values():
        old.spec = replace(old.spec, name=RETIRED_PREFIX + old.spec.name)
    kept = [
        class_state
        for class_state in kept
        if not _is_retired(class_state) or id(class_state) in classes_in_use
    ]
    _replace_classes(balancer, kept)
    balancer.settings = settings
    balancer.update_slot_limits()
    balancer.dispatch(now)
    return {
        class_state.spec.name: class_state.number
        for class_state in kept
        if not _is_retired(class_state)
    }


def _is_retired(class_state: ClassState) -> bool:
    return class_state.spec.name.startswith(RETIRED_PREFIX)


def refuse_waiting(balancer: Balancer, now: int) -> int:
    """Answer all queued requests at once; returns how many there were.

    A request is refused where it certainly did not run or may be repeated, otherwise it fails.
    Attempts in flight continue to their outcomes.
    """
    balancer.now = now
    queued = [r for r in balancer.requests.values() if r.queued]
    for r in queued:
        balancer.dequeue(r)
        balancer.refuse_or_fail(r, Reason.SERVICE_ENDS)
    return len(queued)


def _create_class(
    spec: RequestClass, predecessor: ClassState | None, tenant_count: int
) -> ClassState:
    class_state = ClassState(0, spec, tenant_count)
    if predecessor is not None:
        (
            class_state.mean_latency,
            class_state.latency_count,
            class_state.baseline_latency,
            class_state.share,
        ) = (
            predecessor.mean_latency,
            predecessor.latency_count,
            predecessor.baseline_latency,
            predecessor.share,
        )
    return class_state


def _update_class(class_state: ClassState, spec: RequestClass) -> None:
    if spec.deadline != class_state.spec.deadline:
        # The histogram counts clients' times left in steps of the old deadline.
        class_state.time_left_histogram = [0] * (TIME_LEFT_STEP_COUNT + 1)
        class_state.usual_time_left_step = class_state.time_left_count = 0
    class_state.spec = spec
    class_state.latency_target = spec.latency_target
    class_state.effect = spec.effect


def _replace_classes(balancer: Balancer, classes: list[ClassState]) -> None:
    """Number the classes anew, with the latency samples of those that the balancer had."""
    sums = {
        id(class_state): balancer.target_ratio_sums[class_state.number]
        for class_state in balancer.classes
    }
    counts = {
        id(class_state): balancer.target_ratio_counts[class_state.number]
        for class_state in balancer.classes
    }
    balancer.classes = classes
    balancer.target_ratio_sums = [sums.get(id(class_state), 0.0) for class_state in classes]
    balancer.target_ratio_counts = [counts.get(id(class_state), 0.0) for class_state in classes]
    for number, class_state in enumerate(classes):
        class_state.number = number
    balancer.current_class %= len(classes)
    balancer.turns_left = 0
