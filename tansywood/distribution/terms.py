"""The times and bounds of distribution, in nanoseconds unless the name says otherwise.

A change has 4 s to be in force everywhere, also where a distributor stops at that moment, and the
next ones that are dialled are cut off with it: `silence`, the first jitter and an `attempt_delay`
for each dial in vain come to 3.6 s where eight of them are.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000 * MS


@dataclass(frozen=True, slots=True)
class Terms:
    """What subscribers and sources go by; tests and simulations may choose others."""

    heartbeat: int = 500 * MS  # each side says something at least so often
    silence: int = 1_500 * MS  # a side that has said nothing for so long is gone
    dial: int = 700 * MS  # to connect and be welcomed
    attempt_delay: int = 250 * MS  # of a dial; then the next source is dialled beside it
    reconnect_first: int = 100 * MS  # full jitter is drawn up to this, doubled with each failure
    reconnect_most: int = 400 * MS
    stale: int = 2 * SECOND  # a source that has not heard the publisher for so long is left ...
    stale_tries: int = 3  # ... for one of so many others that has; otherwise for whichever is next
    stale_again_first: int = 5 * SECOND  # until it is tried again, doubled each time
    stale_again_most: int = 60 * SECOND
    admit_per_s: float = 100.0  # hellos of one source
    admit_burst: int = 50
    fetches: int = 2  # subscribers of everything that compare all of it at a time
    window: int = 20_000  # recent changes that a reconnect may resume behind
    batch_bytes: int = 64 << 10  # of resources in one message
    away: int = 120 * SECOND  # an instance that left counts as waiting so long
    lookups_per_s: float = 200.0  # of one instance
    question_wait: int = 1_500 * MS  # a caller's first request waits so long for its tenant
    unknown: int = 2 * SECOND  # an alias that is nobody's is not asked for again so long
    unknown_most: int = 10_000  # such aliases kept
    questions_most: int = 256  # lookups open at a time
    ask_again: int = 200 * MS  # a source that knows less than its subscriber is asked again
