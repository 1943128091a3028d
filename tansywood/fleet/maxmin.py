"""Divides whole units max-min fairly among claimants, with remaining units in rotation. Pure."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

# Credit in units that favours the present owner of a remaining unit: each move of a unit costs a
# grant message.
CURRENT_OWNER_CREDIT_UNITS = 4.0
MAX_CREDIT_UNITS = 50.0  # units; without the bound a long wait would be paid back over minutes
MIN_SHARE_DIVISOR = 50  # every claimant is offered at least one fiftieth of an even share


def max_min_shares(total: float, needs: Mapping[K, float]) -> dict[K, float]:
    """Return a share for each key so that none exceeds its need while another's need is unmet. What
    remains after all needs is spread evenly."""
    ordered = sorted(needs, key=lambda k: needs[k])
    shares: dict[K, float] = {}
    rest = float(total)
    for position, key in enumerate(ordered):
        even = rest / (len(ordered) - position)
        shares[key] = min(needs[key], even)
        rest -= shares[key]
    if rest > 0 and shares:
        surplus = rest / len(shares)
        for key in shares:
            shares[key] += surplus
    return shares


def allocate(
    total: int, needs: Mapping[K, int], credit: dict[K, float], had: Mapping[K, int]
) -> dict[K, int]:
    """Divide all `total` units among the keys of `needs`; return none if there are no needs.
    `credit` is the fraction of units owed to each key from earlier rounds and is updated here;
    `had` is the number of units that each key has now."""
    if not needs:
        return {}
    wanted = _adjusted_needs(total, needs)
    fair = max_min_shares(total, wanted)
    whole = {k: int(share) for k, share in fair.items()}
    remaining = total - sum(whole.values())
    # Rounding may give a remaining unit to a key whose share is whole already; which one is
    # unimportant.
    order = sorted(
        fair,
        key=lambda k: (
            fair[k] > whole[k],
            credit.get(k, 0.0)
            + fair[k]
            - whole[k]
            + (CURRENT_OWNER_CREDIT_UNITS if had.get(k, 0) > whole[k] else 0.0),
            str(k),
        ),
        reverse=True,
    )
    for k in order[:remaining]:
        whole[k] += 1
    for k in fair:
        # Credit is owed only to keys whose need is unmet; units that nobody needs do not move.
        short = wanted[k] > min(whole[k], fair[k])
        owed = credit.get(k, 0.0) + fair[k] - whole[k] if short else 0.0
        credit[k] = max(-MAX_CREDIT_UNITS, min(owed, MAX_CREDIT_UNITS))
    for k in [k for k in credit if k not in needs]:
        del credit[k]
    return {k: whole.get(k, 0) for k in needs}


def _adjusted_needs(total: int, needs: Mapping[K, int]) -> dict[K, float]:
    """Return the needs to divide by, each raised to the minimum share of every claimant."""
    minimum = total // (MIN_SHARE_DIVISOR * len(needs))
    wanted = {k: float(max(need, minimum)) for k, need in needs.items()}
    if total < len(needs):
        # With fewer units than claimants, idle claimants get none while others ask for units.
        asking = {k: need for k, need in wanted.items() if need > 0}
        wanted = asking or wanted
    return wanted
