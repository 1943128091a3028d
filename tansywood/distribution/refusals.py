"""Log messages for frames and messages that a stream refuses: the peer, the fault, the remedy."""

from __future__ import annotations

from collections.abc import Callable

from tansywood.distribution.parameters import SECOND

# Each reason is logged at most once in this interval, since a faulty peer may send many bad frames.
LOG_INTERVAL_NS = 10 * SECOND

REMEDIES = {
    "stranger": "give both ends the same key file; to change the key, insert the new key as the "
    "first line everywhere, then remove the old one",
    "forged": "give both ends the same fleet name; if they have it, the network path alters bytes",
    "replay": "members of the fleet never send a frame twice: check the network path",
    "short": "another program sends from this address: find out which",
    "version": "another program, or another version of this one, sends from this address",
    "oversize": "another program sends from this address, or a resource exceeds its maximum size",
    "message": "run the same version of the program at both ends",
    "protocol": "run the same version of the program at both ends",
    "truncated": "the connection broke within a message: no action needed unless it happens often",
}


def describe_refusal(reason: str, detail: str) -> str:
    """The refusal with its remedy."""
    return f"{detail}: {REMEDIES[reason]}"


class RefusalLog:
    """Logs refusals per reason at a limited rate: their count, the last peer, and the remedy."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self._logged_at: dict[str, int] = {}  # time of the last line, by reason

    def record(self, reason: str, count: int, peer: str, detail: str, now: int) -> None:
        """`count` is the total for this reason so far, `peer` the address of the latest peer."""
        logged_at = self._logged_at.get(reason)
        if logged_at is None or now - logged_at >= LOG_INTERVAL_NS:
            self._logged_at[reason] = now
            self._log(f"refused ({reason}, {count} so far), the last from {peer}: {detail}")
