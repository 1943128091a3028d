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
class Parameters:
    """What subscribers and sources go by; tests and simulations may choose others."""

    heartbeat_interval_ns: int = 500 * MS  # each side says something at least so often
    silence_timeout_ns: int = 1_500 * MS  # a side that has said nothing for so long is gone
    dial_timeout_ns: int = 700 * MS  # to connect and be welcomed
    attempt_delay_ns: int = 250 * MS  # of a dial; then the next source is dialled beside it
    reconnect_backoff_base_ns: int = (
        100 * MS
    )  # full jitter is drawn up to this, doubled with each failure
    max_reconnect_backoff_ns: int = 400 * MS
    stale_after_ns: int = (
        2 * SECOND
    )  # a source that has not heard the publisher for so long is left ...
    max_stale_switches: int = (
        3  # ... for one of so many others that has; otherwise for whichever is next
    )
    stale_check_backoff_base_ns: int = 5 * SECOND  # until it is tried again, doubled each time
    max_stale_check_backoff_ns: int = 60 * SECOND
    admissions_per_s: float = 100.0  # hellos of one source
    admission_burst: int = 50
    max_full_comparisons: int = 2  # subscribers of everything that compare all of it at a time
    max_resumable_changes: int = 20_000  # recent changes that a reconnect may resume behind
    max_batch_bytes: int = 64 << 10  # of resources in one message
    departed_retention_ns: int = 120 * SECOND  # an instance that left counts as waiting so long
    lookups_per_s: float = 200.0  # of one instance
    lookup_timeout_ns: int = 1_500 * MS  # a caller's first request waits so long for its tenant
    unknown_alias_ttl_ns: int = (
        2 * SECOND
    )  # an alias that is nobody's is not asked for again so long
    max_unknown_aliases: int = 10_000  # such aliases kept
    max_open_lookups: int = 256  # lookups open at a time
    lookup_retry_delay_ns: int = (
        200 * MS
    )  # a source that knows less than its subscriber is asked again
