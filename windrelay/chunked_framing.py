"""Limits on the framing of a chunked body: its chunk lines, extensions and trailer fields.

The limit on a body counts the body's bytes alone. Chunk extensions and trailer fields may be as
long as their sender likes, and the parser keeps a trailer field in memory until its line ends. Each
piece of the body therefore allows some bytes of framing, and what goes beyond is limited in sum.
"""

from __future__ import annotations

FRAMING_BYTES_PER_PIECE = 16  # a chunk line of usual length, and the line end behind the chunk
MAX_EXCESS_FRAMING_BYTES = 16 << 10  # as much as a head may have


class ChunkedFraming:
    """Counts the framing of one chunked body."""

    __slots__ = ("_excess_bytes",)

    def __init__(self) -> None:
        self._excess_bytes = 0

    def add(self, framing_bytes: int, piece_count: int) -> bool:
        """Count bytes that were received beside this many pieces of the body.

        Returns False where the body has more framing than is allowed.
        """
        allowed_bytes = FRAMING_BYTES_PER_PIECE * piece_count
        self._excess_bytes = max(self._excess_bytes + framing_bytes - allowed_bytes, 0)
        return self._excess_bytes <= MAX_EXCESS_FRAMING_BYTES
