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


def mark_half_open(balancer: Balancer, now: int, backend_ids: Iterable[int], recent_ns: int) -> int:
    """Make backends half-open that fail for other processes; returns how many became so.

    Each of them gets one request at a time until it has answered one of this process. A backend
    that answered this process within `recent_ns` and has not failed since stays as it is, as does
    one that is ejected or half-open already. No backend is ejected by this function.
    """
    balancer.now = now
    count = 0
    for backend_id in backend_ids:
        backend = balancer.backends.get(backend_id)
        if (
            backend is None
            or backend.state != State.READY
            or backend.half_open
            or backend.ejected_until
        ):
            continue
        if (
            backend.last_outcome_at
            and now - backend.last_outcome_at <= recent_ns
            and not backend.error_fraction
            and not backend.consecutive_failures
        ):
            continue
        backend.half_open = True
        balancer.update_bucket(backend)
        count += 1
    return count


def extend_ejection(balancer: Balancer, now: int, backend_id: int, until: int) -> bool:
    """Keep an ejected backend ejected up to `until`, while another process tries it.

    Returns False where the backend is not ejected here, or is ejected for that long already.
    """
    backend = balancer.backends.get(backend_id)
    if backend is None or not backend.ejected_until or backend.ejected_until >= until:
        return False
    backend.ejected_until = until
    balancer.schedule_wakeup(until, backend)
    return True


def end_ejection(balancer: Balancer, now: int, backend_id: int) -> bool:
    """Make an ejected backend half-open, as it has answered the try of another process.

    Returns False where the backend is not ejected here.
    """
    balancer.now = now
    backend = balancer.backends.get(backend_id)
    if backend is None or not backend.ejected_until:
        return False
    balancer.end_ejection(backend)
    balancer.dispatch(now)
    return True


def count_occupied_slots(balancer: Balancer) -> dict[int, int]:
    """Occupied slots by backend: attempts in flight, and abandoned ones that may still run."""
    return {
        backend.id: backend.in_flight + len(backend.abandoned_until)
        for backend in balancer.backends.values()
    }


def list_ejected(balancer: Balancer) -> set[int]:
    """Backends that this process has ejected."""
    return {backend.id for backend in balancer.backends.values() if backend.ejected_until}


def list_recent_answers(balancer: Balancer, now: int, within_ns: int) -> dict[int, int]:
    """Backends that answered within `within_ns` and have not failed since, each with the
    nanoseconds since its answer."""
    return {
        backend.id: now - backend.last_outcome_at
        for backend in balancer.backends.values()
        if backend.last_outcome_at
        and now - backend.last_outcome_at <= within_ns
        and not backend.consecutive_failures
        and not backend.error_fraction
    }
