"""What a stream refuses of what its peer sends, in words: which peer, what, and what to do."""

from __future__ import annotations

from collections.abc import Callable

from tansywood.distribution.parameters import SECOND

LOG_INTERVAL_NS = 10 * SECOND  # of one reason; whoever sends what is refused may send much of it

REMEDIES = {
    "stranger": "give both the same key file; a new key goes in as the first line everywhere, "
    "then the old one is taken out",
    "forged": "give both the same fleet name; if they have it, something on the way alters bytes",
    "replay": "nobody of the fleet sends a frame twice: look at what is on the way",
    "short": "another program speaks at this address: look who it is",
    "version": "another program speaks at this address, or another version of this one",
    "oversize": "another program speaks at this address, or a resource is over its size",
    "message": "run the same version of the program at both",
    "protocol": "run the same version of the program at both",
    "truncated": "the connection broke in a message: nothing where it is rare",
}


def describe_refusal(reason: str, detail: str) -> str:
    """What was refused, and what to do about it."""
    return f"{detail}: {REMEDIES[reason]}"


class RefusalLog:
    """Says of each reason now and then how often, who was the last, and what to do."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self._logged_at: dict[str, int] = {}  # when, by reason

    def record(self, reason: str, count: int, peer: str, detail: str, now: int) -> None:
        """`count` is how many of this reason there were so far, `peer` the last one's address."""
        logged_at = self._logged_at.get(reason)
        if logged_at is None or now - logged_at >= LOG_INTERVAL_NS:
            self._logged_at[reason] = now
            self._log(f"refused ({reason}, {count} so far), the last from {peer}: {detail}")
