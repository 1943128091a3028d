"""Whole units divided among those that need them: max-min fair, odd units in turn. Pure."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

KEEP_CREDIT = 4.0  # units that whoever has an odd unit is ahead by: each move costs an answer
MAX_CREDIT = 50.0  # units, so that a long wait is not paid back for minutes
LEAST_DIVISOR = 50  # one in so many of an even share is anybody's who claims at all


def max_min_shares(total: float, needs: Mapping[K, float]) -> dict[K, float]:
    """Nobody gets more than it needs while another goes short; what all needs leave over is spread
    evenly."""
    ordered = sorted(needs, key=lambda k: needs[k])
    shares: dict[K, float] = {}
    rest = float(total)
    for at, key in enumerate(ordered):
        even = rest / (len(ordered) - at)
        shares[key] = min(needs[key], even)
        rest -= shares[key]
    if rest > 0 and shares:
        more = rest / len(shares)
        for key in shares:
            shares[key] += more
    return shares


def allocate(
    total: int, needs: Mapping[K, int], credit: dict[K, float], had: Mapping[K, int]
) -> dict[K, int]:
    """`total` units, all of them wherever anybody claims. `credit` is what each is owed from
    earlier rounds, in units, and is carried on here; `had` is what each has now."""
    if not needs:
        return {}
    wanted = _wanted(total, needs)
    fair = max_min_shares(total, wanted)
    whole = {k: int(share) for k, share in fair.items()}
    odd = total - sum(whole.values())
    # Rounding may leave an odd unit to somebody whose share is whole: never mind which.
    order = sorted(
        fair,
        key=lambda k: (
            fair[k] > whole[k],
            credit.get(k, 0.0)
            + fair[k]
            - whole[k]
            + (KEEP_CREDIT if had.get(k, 0) > whole[k] else 0.0),
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
        credit[k] = max(-MAX_CREDIT, min(owed, MAX_CREDIT))
    for k in [k for k in credit if k not in needs]:
        del credit[k]
    return {k: whole.get(k, 0) for k in needs}


def _wanted(total: int, needs: Mapping[K, int]) -> dict[K, float]:
    """What to divide by: each need, and a least share for those that claim nothing."""
    least = total // (LEAST_DIVISOR * len(needs))
    wanted = {k: float(max(need, least)) for k, need in needs.items()}
    if total < len(needs):
        # Too few to go round: what nobody asked for is not spread thin over those at rest.
        asking = {k: need for k, need in wanted.items() if need > 0}
        wanted = asking or wanted
    return wanted
