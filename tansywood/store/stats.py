"""What a store reports of itself. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Recovery:
    """What opening found besides sound data."""

    cut_path: str = ""  # the segment whose tail was cut away
    cut_at: int = 0
    cut_bytes: int = 0
    cut_why: str = ""
    left_over: tuple[str, ...] = ()  # files of a half-finished step, removed


@dataclass(frozen=True, slots=True)
class Stats:
    """Sizes in bytes."""

    keys: int
    live_bytes: int
    disk_bytes: int
    segments: int
    sequence: int  # of the last write
    durable: int  # the last one known to be on the disk
    snapshots: int
    compacting: bool
    compactions: int
    copied_bytes: int  # by compactions, since opening
    written_bytes: int  # by writes, since opening
    syncs: int
    full: bool  # the last write found no room
    rot: str  # what a compaction met; none is begun by itself after it
    opened_s: float  # how long opening took
    recovery: Recovery
