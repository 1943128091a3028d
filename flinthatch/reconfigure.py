"""New settings for a Balancer at work. Pure: it reads no clock. The platform loads none of it.

A request ends under the stricter of the rules it met. What forbids a repeat binds at once, a
queued repeat and one whose attempt is out included; what allows one binds the requests that
come after. A request keeps the time it was taken with: it was promised to its caller.

So a class whose rule becomes looser is two classes for a while: the old one takes nothing new
and goes once its last request has ended, the new one has learnt what the old one had. The same
happens to a class that is taken out. Everything else changes in place.
"""

from __future__ import annotations

from dataclasses import replace

from flinthatch.balancer import TIME_LEFT_STEP_COUNT, Balancer, ClassState
from flinthatch.interface import Effect, RequestClass, Scope, Settings

RETIRED_PREFIX = "~"  # before the name of a class that takes nothing new


def looser(old: RequestClass, new: RequestClass) -> bool:
    """Whether the new rule allows a repeat that the old one forbids; see Effect's order."""
    if new.effect != old.effect:
        return new.effect < old.effect
    if new.effect != Effect.TOKEN:
        return False
    return new.retry_window > old.retry_window or (
        new.scope != old.scope and new.scope == Scope.ALL
    )


def reconfigure(balancer: Balancer, now: int, settings: Settings) -> dict[str, int]:
    """Go on under these settings; returns the numbers that requests now come with, by name.

    Numbers given before are void. Raises ValueError where tenants, zones or the node's place
    among its peers differ: those are of a start only.
    """
    fixed = ("tenants", "node", "balancers", "zone", "zones", "load_columns", "ask")
    for name in fixed:
        if getattr(settings, name) != getattr(balancer.settings, name):
            raise ValueError(f"{name} can change only at a start")
    busy = {id(r.cls) for r in balancer.requests.values()}
    kept = []
    for c in balancer.classes:
        if not _retired(c):
            kept.append(c)
        elif id(c) in busy:
            kept.append(c)
            for spec in settings.classes:
                if RETIRED_PREFIX + spec.name == c.spec.name and looser(spec, c.spec):
                    _change(c, replace(spec, name=c.spec.name, deadline=c.spec.deadline))
    olds = {c.spec.name: c for c in kept if not _retired(c)}
    for spec in settings.classes:
        old = olds.get(spec.name)
        if old is None or looser(old.spec, spec):
            kept.append(_fresh(spec, old, len(settings.tenants)))
        else:
            _change(old, spec)
            del olds[spec.name]
    for old in olds.values():
        old.spec = replace(old.spec, name=RETIRED_PREFIX + old.spec.name)
    kept = [c for c in kept if not _retired(c) or id(c) in busy]
    _renumber(balancer, kept)
    balancer.settings = settings
    balancer.update_slot_limits()
    balancer.dispatch(now)
    return {c.spec.name: c.number for c in kept if not _retired(c)}


def _retired(c: ClassState) -> bool:
    return c.spec.name.startswith(RETIRED_PREFIX)


def refuse_waiting(balancer: Balancer, now: int) -> int:
    """Answer at once what waits for a server: refused where harmless, else failed.

    What is out goes on to its outcome. Returns how many were answered.
    """
    balancer.now = now
    waiting = [r for r in balancer.requests.values() if r.queued]
    for r in waiting:
        balancer.dequeue(r)
        balancer.refuse_or_fail(r)
    return len(waiting)


def _fresh(spec: RequestClass, like: ClassState | None, tenants: int) -> ClassState:
    c = ClassState(0, spec, tenants)
    if like is not None:
        c.mean_latency, c.latency_count, c.baseline_latency, c.share = (
            like.mean_latency,
            like.latency_count,
            like.baseline_latency,
            like.share,
        )
    return c


def _change(c: ClassState, spec: RequestClass) -> None:
    if spec.deadline != c.spec.deadline:
        # The times left were counted in steps of the old deadline.
        c.time_left_histogram = [0] * (TIME_LEFT_STEP_COUNT + 1)
        c.usual_time_left_step = c.time_left_count = 0
    c.spec = spec
    c.latency_target = spec.latency_target
    c.effect = spec.effect


def _renumber(balancer: Balancer, classes: list[ClassState]) -> None:
    sums = {id(c): balancer.target_ratio_sums[c.number] for c in balancer.classes}
    counts = {id(c): balancer.target_ratio_counts[c.number] for c in balancer.classes}
    balancer.classes = classes
    balancer.target_ratio_sums = [sums.get(id(c), 0.0) for c in classes]
    balancer.target_ratio_counts = [counts.get(id(c), 0.0) for c in classes]
    for number, c in enumerate(classes):
        c.number = number
    balancer.current_class %= len(classes)
    balancer.turns_left = 0
