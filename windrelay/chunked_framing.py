"""Limits on the framing of a chunked body: its chunk lines, extensions and trailer fields.

The limit on a body counts the body's bytes alone. Chunk extensions and trailer fields may be as
long as their sender likes, and the parser keeps a trailer field in memory until its line ends. Each
piece of the body therefore allows some bytes of framing, and what goes beyond is limited in sum.
Each chunk also takes time, however short it is, so a long body has to come in longer chunks.
"""

from __future__ import annotations

FRAMING_BYTES_PER_PIECE = 16  # a chunk line of usual length, and the line end behind the chunk
MAX_EXCESS_FRAMING_BYTES = 16 << 10  # as much as a head may have
SHORT_BODY_PIECES = 64 << 10  # a body of 64 KiB may come in chunks of one byte
MEAN_PIECE_BYTES = 64  # of a longer body


class FramingTooLong(Exception):
    """A body has more chunk extensions and trailer fields than it may have."""


class TooManyPieces(Exception):
    """A long body comes in chunks that are too short."""


class ChunkedFraming:
    """Counts the framing and the pieces of one chunked body."""

    __slots__ = ("_body_bytes", "_excess_bytes", "_piece_count")

    def __init__(self) -> None:
        self._body_bytes = 0
        self._excess_bytes = 0
        self._piece_count = 0

    def add(self, received_bytes: int, body_bytes: int, piece_count: int) -> None:
        """Count received bytes, of which `body_bytes` in `piece_count` pieces are of the body.

        Raises FramingTooLong or TooManyPieces.
        """
        framing_bytes = received_bytes - body_bytes
        allowed_bytes = FRAMING_BYTES_PER_PIECE * piece_count
        self._excess_bytes = max(self._excess_bytes + framing_bytes - allowed_bytes, 0)
        if self._excess_bytes > MAX_EXCESS_FRAMING_BYTES:
            raise FramingTooLong("chunk extensions or trailer fields too long")
        self._body_bytes += body_bytes
        # The first piece may be part of a chunk that the network or the node divided.
        self._piece_count += max(piece_count - 1, 0)
        if self._piece_count > SHORT_BODY_PIECES + self._body_bytes // MEAN_PIECE_BYTES:
            raise TooManyPieces("a long body in very short chunks")
