"""Storage for a message body that arrives in pieces of any size.

A piece costs an object of its own, so a body in pieces of a few bytes would take several times its
length in memory. Small pieces are therefore joined to blocks: a body of N bytes takes at most an
eighth more than N, and one block.
"""

from __future__ import annotations

from typing import TypeAlias

Block: TypeAlias = bytes | bytearray

MAX_JOINED_BLOCK_BYTES = 64 << 10  # a block of joined pieces is full from this size on
MIN_UNJOINED_PIECE_BYTES = 4 << 10  # a piece from this size on is kept as it is, without a copy


def append_piece(blocks: list[Block], piece: bytes) -> None:
    """Add the next piece of a body to its blocks; the last block may grow in place."""
    if (
        not blocks
        or len(piece) >= MIN_UNJOINED_PIECE_BYTES
        or len(blocks[-1]) >= MAX_JOINED_BLOCK_BYTES
    ):
        blocks.append(piece)
        return
    last = blocks[-1]
    if isinstance(last, bytes):
        last = blocks[-1] = bytearray(last)
    last += piece
