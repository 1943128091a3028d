"""The keys of a sealed segment and their places, in columns, so that a store opens quickly.

A hint is an accelerator and never believed against its segment: its checksum, its segment's
number and length have to fit, else the segment itself is read. Pure.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterator
from itertools import accumulate

from google_crc32c import extend
from google_crc32c import value as crc32c

MAGIC = b"TWHINT\n\x01"
# Magic, segment's number, its length, last sequence number, entries, bytes of keys.
HEAD = struct.Struct("<8sIQQIQ")
CRC = struct.Struct("<I")
OFFSET_BITS = 40  # of a place: segment, offset, size from the top
SIZE_BITS = 32
SEGMENT_SHIFT = OFFSET_BITS + SIZE_BITS
MOST_OFFSET = (1 << OFFSET_BITS) - 1
MOST_SIZE = (1 << SIZE_BITS) - 1
PIECE = 256 << 10  # bytes of a hint written at a time


def place(segment: int, offset: int, size: int) -> int:
    """Where an operation lies, as one integer."""
    return (segment << SEGMENT_SHIFT) | (offset << SIZE_BITS) | size


def unplace(packed: int) -> tuple[int, int, int]:
    """Segment, offset and size."""
    return packed >> SEGMENT_SHIFT, (packed >> SIZE_BITS) & MOST_OFFSET, packed & MOST_SIZE


class Collector:
    """The entries of one segment as it is written; `encode` gives its hint.

    In columns from the start: to put a million keys together at the end would hold up every
    other thread for as long.
    """

    def __init__(self) -> None:
        self.offsets = array("Q")
        self.sizes = array("I")  # 0 for a deletion
        self._lengths = array("H")
        self._blob = bytearray()

    def add(self, key: bytes, offset: int, size: int) -> None:
        self._lengths.append(len(key))
        self._blob += key
        self.offsets.append(offset)
        self.sizes.append(size)

    def encode(self, number: int, length: int, last: int) -> Iterator[bytes]:
        """The hint in pieces, the last of them its checksum."""
        yield (head := HEAD.pack(MAGIC, number, length, last, len(self.sizes), len(self._blob)))
        crc = crc32c(head)
        for column in (self._lengths, self.offsets, self.sizes, self._blob):
            view = memoryview(column).cast("B")
            for at in range(0, len(view), PIECE):
                piece = bytes(view[at : at + PIECE])
                crc = extend(crc, piece)
                yield piece
        yield CRC.pack(crc)


class Hint:
    """A decoded hint."""

    def __init__(self, data: bytes, number: int, length: int) -> None:
        """ValueError where it is damaged or another segment's."""
        if len(data) < HEAD.size + CRC.size:
            raise ValueError("cut short")
        magic, own, size, last, count, blob_size = HEAD.unpack_from(data)
        if magic != MAGIC or own != number or size != length:
            raise ValueError("not the hint of this segment")
        if len(data) != HEAD.size + count * 14 + blob_size + CRC.size:
            raise ValueError("its lengths do not fit")
        if CRC.unpack_from(data, len(data) - CRC.size)[0] != crc32c(data[: -CRC.size]):
            raise ValueError("does not match its checksum")
        self.number = number
        self.last = int(last)
        at = HEAD.size
        lengths = array("H", data[at : at + 2 * count])
        at += 2 * count
        self.offsets = array("Q", data[at : at + 8 * count])
        at += 8 * count
        self.sizes = array("I", data[at : at + 4 * count])
        blob = data[at + 4 * count : -CRC.size]
        ends = list(accumulate(lengths))
        starts = [0, *ends[:-1]] if ends else []
        self.keys = [blob[a:b] for a, b in zip(starts, ends, strict=True)]

    def into(self, index: dict[bytes, int]) -> None:
        """Bring an index up to date with this segment, in its order."""
        top = self.number << SEGMENT_SHIFT
        places = [top | (o << SIZE_BITS) | s for o, s in zip(self.offsets, self.sizes, strict=True)]
        if 0 not in self.sizes:
            index.update(zip(self.keys, places, strict=True))
            return
        for key, packed, size in zip(self.keys, places, self.sizes, strict=True):
            if size:
                index[key] = packed
            else:
                index.pop(key, None)
