"""The memory that a node may hold for messages, and what is held of it."""

from __future__ import annotations

import resource

DEFAULT_BASE_MB = 26  # base memory of the program, where it can't be measured
MIN_MESSAGE_BYTES = 1 << 20  # for messages, however small the node's memory limit
CONNECTION_BYTES = 7 << 10  # of one connection's objects, without its messages
MIN_MEMORY_CONNECTIONS = 64  # to clients and backends, however small the node's memory limit
# Memory that the allocator does not return, and that one turn of the event loop needs.
SLACK_FRACTION = 1 / 4
MAX_SLACK_BYTES = 2 << 20


def resident_bytes() -> int:
    """Return this process's resident memory in bytes; DEFAULT_BASE_MB if it can't be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return DEFAULT_BASE_MB << 20


class MemoryBudget:
    """The memory limit for the messages and the connections of a node.

    Of the memory above the base of the process, half is for connections, the other half, less some
    slack, for messages: requests, responses, and bytes that wait to be parsed or to be written. A
    message is accepted while it fits.
    """

    __slots__ = ("_peak_held_bytes", "base_bytes", "held_bytes", "limit_bytes", "max_connections")

    def __init__(self, memory_mb: int) -> None:
        self.base_bytes = resident_bytes()
        self.held_bytes = 0
        self._peak_held_bytes = 0
        self.max_connections: int | None = None  # that the memory is enough for; None: no limit
        self.resize(memory_mb)

    def measure_base(self) -> None:
        """Take the memory that the process has now for its base; `resize` applies it."""
        self.base_bytes = resident_bytes()

    def resize(self, memory_mb: int, process_count: int = 1) -> None:
        """Recompute the limits from the memory limit of the node, which `process_count` processes
        share; with a limit of 0 only `set_limit` limits the messages."""
        free_bytes = max((memory_mb << 20) // process_count - self.base_bytes, 0)
        slack_bytes = min(int(free_bytes * SLACK_FRACTION), MAX_SLACK_BYTES)
        self.limit_bytes = max(free_bytes // 2 - slack_bytes, MIN_MESSAGE_BYTES)
        if memory_mb:
            self.max_connections = max(free_bytes // 2 // CONNECTION_BYTES, MIN_MEMORY_CONNECTIONS)

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
