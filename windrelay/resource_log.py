"""What a node logs of its memory and connections: one line per interval while they are short."""

from __future__ import annotations

from dataclasses import dataclass

SECOND_NS = 1_000_000_000
INTERVAL_NS = 10 * SECOND_NS
SHORT_INTERVAL_NS = SECOND_NS  # while the process is near its limit
NOTABLE_FRACTION = 0.75  # of a limit, from which on its use is logged
SHORT_FRACTION = 0.9  # of the memory limit


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """What a node uses at a moment; sizes in bytes."""

    resident_bytes: int
    memory_limit_bytes: int  # of the process; 0 where other nodes share it
    peak_held_bytes: int  # of the message budget, since the last sweep
    message_limit_bytes: int
    client_count: int
    backend_connection_count: int
    max_connections: int

    def memory_fraction(self) -> float:
        """The resident part of the memory limit; 0 where the process has none of its own."""
        if not self.memory_limit_bytes:
            return 0.0
        return self.resident_bytes / self.memory_limit_bytes

    def fraction(self) -> float:
        """The part of the scarcest resource that is in use."""
        connection_count = self.client_count + self.backend_connection_count
        return max(
            self.memory_fraction(),
            self.peak_held_bytes / max(self.message_limit_bytes, 1),
            connection_count / max(self.max_connections, 1),
        )

    def __str__(self) -> str:
        return (
            f"resources: {self.resident_bytes >> 20} of {self.memory_limit_bytes >> 20} MB resident"
            f", {self.peak_held_bytes >> 10} of {self.message_limit_bytes >> 10} KB for messages"
            f", {self.client_count} clients and {self.backend_connection_count} connections to "
            f"backends of {self.max_connections}"
        )


class ResourceLog:
    """Decides when the use of resources is worth a line."""

    __slots__ = ("_silent_until",)

    def __init__(self) -> None:
        self._silent_until = 0

    def take_line(self, now: int, use: ResourceUse) -> str:
        """Return a line where a resource is short and the last line is old enough, else nothing."""
        if now < self._silent_until or use.fraction() < NOTABLE_FRACTION:
            return ""
        near_limit = use.memory_fraction() >= SHORT_FRACTION
        self._silent_until = now + (SHORT_INTERVAL_NS if near_limit else INTERVAL_NS)
        return str(use)
