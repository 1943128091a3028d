"""The memory that a node may hold for messages, and what is held of it."""

from __future__ import annotations

import resource

DEFAULT_BASE_MB = 26  # base memory of the program, where it can't be measured
MIN_MESSAGE_BYTES = 2 << 20  # for messages, however small the node's memory limit


def resident_bytes() -> int:
    """Return this process's resident memory in bytes; DEFAULT_BASE_MB if it can't be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return DEFAULT_BASE_MB << 20


class MemoryBudget:
    """The memory limit for the messages of all connections of a node.

    A body is accepted while it fits. Half of the memory above the base of the process is for bodies
    and answers; the other half is for connections and for what the allocator does not return to the
    system.
    """

    __slots__ = ("_peak_held_bytes", "base_bytes", "held_bytes", "limit_bytes")

    def __init__(self, memory_mb: int) -> None:
        self.base_bytes = resident_bytes()
        self.held_bytes = 0
        self._peak_held_bytes = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: int, process_count: int = 1) -> None:
        """Recompute the limit from the memory limit of the node, which `process_count` processes
        share."""
        self.limit_bytes = max(
            ((memory_mb << 20) // process_count - self.base_bytes) // 2, MIN_MESSAGE_BYTES
        )

    def set_limit(self, limit_bytes: int) -> None:
        """Set the limit directly, whatever the process itself takes: for a process that hosts
        several nodes."""
        self.limit_bytes = limit_bytes

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes fit within the limit."""
        return self.held_bytes + size <= self.limit_bytes

    def reserve(self, size: int) -> None:
        """Count `size` more bytes as held."""
        self.held_bytes += size
        if self.held_bytes > self._peak_held_bytes:
            self._peak_held_bytes = self.held_bytes

    def release(self, size: int) -> None:
        """Count `size` bytes as no longer held."""
        self.held_bytes -= size

    def take_peak(self) -> int:
        """Return the most that was held since the last call, in bytes."""
        peak, self._peak_held_bytes = self._peak_held_bytes, self.held_bytes
        return peak
