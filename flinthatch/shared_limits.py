"""Applies limits that several Balancers in several processes share. The platform does not load it.

How many slots each process gets is agreed on elsewhere. A Balancer still chooses backends by
itself; these functions tell it how many slots it may use, until when, and what other processes have
found out about backends. Like `reconfigure`, the module is pure and decides nothing about a
request.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flinthatch.balancer import NEVER, RETRY_BUDGET_BURST_COUNT, Balancer
from flinthatch.interface import State


def apply_limits(
    balancer: Balancer,
    now: int,
    granted_slots: Mapping[int, int] | None,
    expires_at: int = NEVER,
    granted_slots_after_expiry: Mapping[int, int] | None = None,
    instance_count: int = 1,
    retry_share: float = 1.0,
) -> None:
    """Bound the requests at each backend by its granted slots until `expires_at`, then by
    `granted_slots_after_expiry`.

    A backend that a mapping does not name has no slots; without a mapping the balancer's own
    limits apply. This process gets `retry_share` of the retry budget's burst, and a backend in
    slow start is paced for `instance_count` processes. Requests in flight continue; none is added
    where more are in flight than granted.
    """
    balancer.now = now
    balancer.granted_slots = None if granted_slots is None else dict(granted_slots)
    balancer.granted_slots_after_expiry = (
        None if granted_slots_after_expiry is None else dict(granted_slots_after_expiry)
    )
    balancer.grant_expires_at = expires_at
    balancer.instance_count = max(instance_count, 1)
    balancer.max_retry_budget = RETRY_BUDGET_BURST_COUNT * min(max(retry_share, 0.0), 1.0)
    balancer.retry_budget = min(balancer.retry_budget, balancer.max_retry_budget)
    balancer.update_slot_limits()
    balancer.dispatch(now)


def mark_half_open(balancer: Balancer, now: int, backends: Iterable[int], recent_ns: int) -> int:
    """Make backends half-open that other processes have ejected; returns how many became so.

    Each of them gets one request at a time until it has answered one of this process. A backend
    that answered this process within `recent_ns` and has not failed since stays as it is, as does
    one that is ejected or half-open already. No backend is ejected by this function.
    """
    balancer.now = now
    count = 0
    for number in backends:
        b = balancer.backends.get(number)
        if b is None or b.state != State.READY or b.half_open or b.ejected_until:
            continue
        if (
            b.last_outcome_at
            and now - b.last_outcome_at <= recent_ns
            and not b.error_fraction
            and not b.consecutive_failures
        ):
            continue
        b.half_open = True
        balancer.update_bucket(b)
        count += 1
    return count


def extend_ejection(balancer: Balancer, now: int, backend: int, until: int) -> bool:
    """Keep an ejected backend ejected up to `until`, while another process tries it.

    Returns False where the backend is not ejected here, or is ejected for that long already.
    """
    b = balancer.backends.get(backend)
    if b is None or not b.ejected_until or b.ejected_until >= until:
        return False
    b.ejected_until = until
    balancer.schedule_wakeup(until, b)
    return True


def end_ejection(balancer: Balancer, now: int, backend: int) -> bool:
    """Make an ejected backend half-open, as it has answered the try of another process.

    Returns False where the backend is not ejected here.
    """
    balancer.now = now
    b = balancer.backends.get(backend)
    if b is None or not b.ejected_until:
        return False
    balancer.end_ejection(b)
    balancer.dispatch(now)
    return True


def count_occupied_slots(balancer: Balancer) -> dict[int, int]:
    """Occupied slots by backend: attempts in flight, and abandoned ones that may still run."""
    return {b.id: b.in_flight + len(b.abandoned_until) for b in balancer.backends.values()}


def list_ejected(balancer: Balancer) -> set[int]:
    """Backends that this process has ejected."""
    return {b.id for b in balancer.backends.values() if b.ejected_until}


def list_recent_answers(balancer: Balancer, now: int, within_ns: int) -> dict[int, int]:
    """Backends that answered within `within_ns` and have not failed since, each with the
    nanoseconds since its answer."""
    return {
        b.id: now - b.last_outcome_at
        for b in balancer.backends.values()
        if b.last_outcome_at
        and now - b.last_outcome_at <= within_ns
        and not b.consecutive_failures
        and not b.error_fraction
    }
