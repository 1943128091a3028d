"""The keys of a sealed segment and their places, in columns, so that a store opens quickly.

A hint is an accelerator and never believed against its segment: its checksum, its segment's
number and length have to fit, else the segment itself is read. Pure.
"""

from __future__ import annotations

import struct
from array import array
from itertools import accumulate

from google_crc32c import value as crc32c

MAGIC = b"TWHINT\n\x01"
# Magic, segment's number, its length, last sequence number, entries, bytes of keys.
HEAD = struct.Struct("<8sIQQIQ")
CRC = struct.Struct("<I")
OFFSET_BITS = 40  # of a place: segment, offset, size from the top
SIZE_BITS = 32


def place(segment: int, offset: int, size: int) -> int:
    """Where an operation lies, as one integer."""
    return (segment << (OFFSET_BITS + SIZE_BITS)) | (offset << SIZE_BITS) | size


def unplace(packed: int) -> tuple[int, int, int]:
    """Segment, offset and size."""
    return (
        packed >> (OFFSET_BITS + SIZE_BITS),
        (packed >> SIZE_BITS) & ((1 << OFFSET_BITS) - 1),
        packed & ((1 << SIZE_BITS) - 1),
    )


class Collector:
    """The entries of one segment as it is written; `encode` gives its hint."""

    def __init__(self) -> None:
        self.keys: list[bytes] = []
        self.offsets = array("Q")
        self.sizes = array("I")  # 0 for a deletion

    def add(self, key: bytes, offset: int, size: int) -> None:
        self.keys.append(key)
        self.offsets.append(offset)
        self.sizes.append(size)

    def encode(self, number: int, length: int, last: int) -> bytes:
        lengths = array("H", map(len, self.keys))
        blob = b"".join(self.keys)
        head = HEAD.pack(MAGIC, number, length, last, len(self.keys), len(blob))
        body = b"".join(
            (head, lengths.tobytes(), self.offsets.tobytes(), self.sizes.tobytes(), blob)
        )
        return body + CRC.pack(crc32c(body))


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
        top = self.number << (OFFSET_BITS + SIZE_BITS)
        places = [top | (o << SIZE_BITS) | s for o, s in zip(self.offsets, self.sizes, strict=True)]
        if 0 not in self.sizes:
            index.update(zip(self.keys, places, strict=True))
            return
        for key, packed, size in zip(self.keys, places, self.sizes, strict=True):
            if size:
                index[key] = packed
            else:
                index.pop(key, None)
