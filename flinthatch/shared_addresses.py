"""Which of several backends that a list names at one address is there. Pure.

Only one process listens at an address. Where a list names two ready backends at one, the message
that the older one has gone is late or lost: requests for it would reach its successor, in addition
to the successor's own share, and count as its work.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping

from flinthatch.interface import Listing, State


def find_displaced(
    updated: Iterable[Listing], current: Iterable[Listing], addresses: Mapping[int, Hashable]
) -> set[int]:
    """Return the ids of ready backends at whose addresses a later one is ready.

    `updated` are the rows of the latest message, `current` the other backends that are known. The
    later one is that with the later start; where the starts don't tell, one of the message is later
    than one that was known, and both stay if the message names both.
    """
    latest: dict[Hashable, tuple[int, bool]] = {}
    ready: list[tuple[int, Hashable, tuple[int, bool]]] = []
    for rows, is_updated in ((current, False), (updated, True)):
        for row in rows:
            address = addresses.get(row.backend)
            if row.state != State.READY or address is None:
                continue
            age = (row.started_at, is_updated)
            ready.append((row.backend, address, age))
            latest[address] = max(latest.get(address, age), age)
    return {backend for backend, address, age in ready if age < latest[address]}
