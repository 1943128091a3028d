"""Times, rates and bounds of configuration distribution.

A change has to be in force everywhere within 4 s, also where a distributor stops at that moment and
the sources that its subscribers dial next are unreachable as well. `silence_timeout_ns`, the first
reconnect backoff and one `attempt_delay_ns` for each failed dial add up to 3.6 s with eight
unreachable sources.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1_000 * MS


@dataclass(frozen=True, slots=True)
class Parameters:
    """Protocol parameters of subscribers and sources; tests and simulations may change them."""

    # Each side of a connection sends at least one message in this interval.
    heartbeat_interval_ns: int = 500 * MS
    # A peer that has sent nothing for this time counts as lost.
    silence_timeout_ns: int = 1_500 * MS
    # Time allowed to connect and to receive the welcome.
    dial_timeout_ns: int = 700 * MS
    # A dial that is not answered within this time is left open, and the next source is dialled too.
    attempt_delay_ns: int = 250 * MS
    # The wait before a dial is random (full jitter) up to this bound, which doubles per failure.
    reconnect_backoff_base_ns: int = 100 * MS
    max_reconnect_backoff_ns: int = 400 * MS
    # A source that has not heard the publisher for this time is stale; its subscribers leave it.
    stale_after_ns: int = 2 * SECOND
    # A subscriber that leaves a stale source asks this many others for a fresh one; after that it
    # follows any source.
    max_stale_switches: int = 3
    # Wait until a subscriber with a stale source searches again; it doubles with each search.
    stale_check_backoff_base_ns: int = 5 * SECOND
    max_stale_check_backoff_ns: int = 60 * SECOND
    # Sessions that one source admits.
    admissions_per_s: float = 100.0
    admission_burst: int = 50
    # Subscribers of all resources that may compare everything with one source at a time.
    max_full_comparisons: int = 2
    # Recent changes that a source remembers, so that a reconnecting subscriber can resume.
    max_resumable_changes: int = 20_000
    # Size of the resources in one message.
    max_batch_bytes: int = 64 << 10
    # An instance that disconnected counts as waiting for changes during this time.
    departed_retention_ns: int = 120 * SECOND
    # Lookups that one instance may send.
    lookups_per_s: float = 200.0
    # The first request for a tenant waits at most this long for the tenant's lookup.
    lookup_timeout_ns: int = 1_500 * MS
    # An alias without a tenant is not looked up again within this time.
    unknown_alias_ttl_ns: int = 2 * SECOND
    # Aliases without a tenant that an instance remembers.
    max_unknown_aliases: int = 10_000
    # Lookups of one instance that may be open at a time.
    max_open_lookups: int = 256
    # Wait before a lookup is repeated at a source whose state is older than the subscriber's.
    lookup_retry_delay_ns: int = 200 * MS
