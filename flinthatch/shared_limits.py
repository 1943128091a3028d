"""Limits that several Balancers in several processes share. Pure; the platform loads none of it.

What each may use was agreed on elsewhere. The module still picks; here it is told how far it may
go, until when, and which servers others find out. As with `amend`, nothing is decided on a request.
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
    """Keep at most `places` requests at each server (of one that is not named: none) up to
    `until`, and `after` from then on; None: as many as the module itself finds right.

    `part` of the burst of retries is ours, and a cold server gets its trickle from `instances`.
    Requests that are out stay out; nothing is added where more are out than may be.
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


def mark_half_open(balancer: Balancer, now: int, servers: Iterable[int], fresh: int) -> int:
    """Others find these out: each gets one request at a time until it has answered one of ours,
    unless it answered one within `fresh`. Returns how many that are so from now on.

    One that is ejected already is not touched, and none is ever ejected by this.
    """
    balancer.now = now
    count = 0
    for number in servers:
        b = balancer.backends.get(number)
        if b is None or b.state != State.READY or b.half_open or b.ejected_until:
            continue
        if (
            b.last_outcome_at
            and now - b.last_outcome_at <= fresh
            and not b.error_fraction
            and not b.consecutive_failures
        ):
            continue
        b.half_open = True
        balancer.update_bucket(b)
        count += 1
    return count


def extend_ejection(balancer: Balancer, now: int, server: int, until: int) -> bool:
    """Another tries this server, which is ejected here: stay away from it up to `until`.
    False where it is not ejected, or for longer than that already."""
    b = balancer.backends.get(server)
    if b is None or not b.ejected_until or b.ejected_until >= until:
        return False
    b.ejected_until = until
    balancer.schedule_wakeup(until, b)
    return True


def end_ejection(balancer: Balancer, now: int, server: int) -> bool:
    """Another's try was answered: try it here too, with one request at a time. False where it
    was not ejected."""
    balancer.now = now
    b = balancer.backends.get(server)
    if b is None or not b.ejected_until:
        return False
    balancer.end_ejection(b)
    balancer.dispatch(now)
    return True


def count_occupied_slots(balancer: Balancer) -> dict[int, int]:
    """Places taken at each server: what is out, and what was given up and may be at work yet."""
    return {b.id: b.in_flight + len(b.abandoned_until) for b in balancer.backends.values()}


def list_ejected(balancer: Balancer) -> set[int]:
    """Servers that this module leaves alone now."""
    return {b.id for b in balancer.backends.values() if b.ejected_until}


def list_recent_answers(balancer: Balancer, now: int, within: int) -> dict[int, int]:
    """Servers that answered within so long, and how long ago that was."""
    return {
        b.id: now - b.last_outcome_at
        for b in balancer.backends.values()
        if b.last_outcome_at
        and now - b.last_outcome_at <= within
        and not b.consecutive_failures
        and not b.error_fraction
    }
