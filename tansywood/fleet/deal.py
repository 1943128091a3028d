"""Whole units among those that want them: max-min, and who had less so far goes first. Pure."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

KEPT = 4.0  # rounds of credit that whoever has an odd unit is ahead by: each move costs an answer
CREDIT_MOST = 50.0  # so that a long wait is not paid back for minutes
LEAST_PART = 50  # one in so many of an even part is anybody's who claims at all


def level(total: float, needs: Mapping[K, float]) -> dict[K, float]:
    """Max-min parts: nobody gets more than its need while another wants more; what all needs
    leave over is spread evenly."""
    left = sorted(needs, key=lambda k: needs[k])
    parts: dict[K, float] = {}
    rest = float(total)
    for at, key in enumerate(left):
        even = rest / (len(left) - at)
        parts[key] = min(needs[key], even)
        rest -= parts[key]
    if rest > 0 and parts:
        more = rest / len(parts)
        for key in parts:
            parts[key] += more
    return parts


def deal(
    total: int, needs: Mapping[K, int], credit: dict[K, float], had: Mapping[K, int]
) -> dict[K, int]:
    """`total` units in whole ones, all of them wherever anybody claims. `credit` is what each is
    owed from earlier rounds, and is carried on here; `had` is what each has now."""
    if not needs:
        return {}
    least = total // (LEAST_PART * len(needs))
    wanted = {k: float(max(need, least)) for k, need in needs.items()}
    if total < len(needs):
        # Too few to go round: what nobody asked for is not spread thin over those at rest.
        asking = {k: need for k, need in wanted.items() if need > 0}
        wanted = asking or wanted
    fair = level(total, wanted)
    whole = {k: int(part) for k, part in fair.items()}
    odd = total - sum(whole.values())
    # Rounding may leave an odd unit to somebody whose part is whole: never mind which.
    order = sorted(
        fair,
        key=lambda k: (
            fair[k] > whole[k],
            credit.get(k, 0.0) + fair[k] - whole[k] + (KEPT if had.get(k, 0) > whole[k] else 0.0),
            str(k),
        ),
        reverse=True,
    )
    for k in order[:odd]:
        whole[k] += 1
    for k in fair:
        # Only who goes short is owed anything: odd units that nobody needs stay where they are.
        short = wanted[k] > min(whole[k], fair[k])
        owed = credit.get(k, 0.0) + fair[k] - whole[k] if short else 0.0
        credit[k] = max(-CREDIT_MOST, min(owed, CREDIT_MOST))
    for k in [k for k in credit if k not in needs]:
        del credit[k]
    return {k: whole.get(k, 0) for k in needs}
