"""The bytes of a segment: heads, frames and operations. Pure; docs/design/store.md has why.

CRC-32C is that of RFC 3720, appendix B.4 (Castagnoli).
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from google_crc32c import value as crc32c

from tansywood.store.errors import StoreFormat, StoreLimit

MAGIC = b"TWSTORE\n"
VERSION = 1
MAX_KEY = 1 << 10
MAX_VALUE = 16 << 20
MAX_BATCH = 64 << 20  # bytes of one frame's operations

HEAD = struct.Struct("<8sHQI")  # magic, version, segment number, CRC of these
FRAME = struct.Struct("<IIQQI")  # CRC of the rest, length, sequence, durable, operations
OP = struct.Struct("<IBHI")  # CRC of the rest, kind, key's length, value's length
CRC = struct.Struct("<I")
PUT, DELETE = 1, 0


class Op(NamedTuple):
    """One operation; a value of None deletes."""

    key: bytes
    value: bytes | None


class Placed(NamedTuple):
    """An operation found in a frame, with its place in the segment."""

    key: bytes
    value: bytes | None
    offset: int
    size: int


class Frame(NamedTuple):
    sequence: int
    durable: int
    ops: list[Placed]
    end: int  # offset behind it


def check(op: Op) -> None:
    """StoreLimit where a key or a value is beyond its bound."""
    if not 0 < len(op.key) <= MAX_KEY:
        raise StoreLimit(f"a key has 1 to {MAX_KEY} bytes, this one {len(op.key)}")
    if op.value is not None and len(op.value) > MAX_VALUE:
        raise StoreLimit(f"a value has up to {MAX_VALUE} bytes, that of {op.key!r} {len(op.value)}")


def segment_head(number: int) -> bytes:
    bare = HEAD.pack(MAGIC, VERSION, number, 0)[: -CRC.size]
    return bare + CRC.pack(crc32c(bare))


def read_head(data: bytes, name: str) -> int:
    """The segment's number. StoreFormat where it is none of ours or of a newer version;
    ValueError where it is damaged."""
    if len(data) < HEAD.size:
        raise ValueError(f"only {len(data)} of its head's {HEAD.size} bytes")
    magic, version, number, crc = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise ValueError("it does not begin as a segment does")
    if crc != crc32c(data[: HEAD.size - CRC.size]):
        raise ValueError("its head does not match its checksum")
    if version != VERSION:
        raise StoreFormat(
            f"{name} is of format {version}, this program knows {VERSION}: use a newer program"
        )
    return int(number)


def encode_op(op: Op) -> bytes:
    value = op.value if op.value is not None else b""
    kind = DELETE if op.value is None else PUT
    bare = OP.pack(0, kind, len(op.key), len(value))[CRC.size :] + op.key + value
    return CRC.pack(crc32c(bare)) + bare


def encode(sequence: int, durable: int, ops: Sequence[bytes]) -> bytes:
    """One frame of encoded operations; StoreLimit where they are too much for one."""
    body = b"".join(ops)
    if len(body) > MAX_BATCH:
        raise StoreLimit(f"a batch has up to {MAX_BATCH} bytes, this one {len(body)}")
    bare = FRAME.pack(0, len(body), sequence, durable, len(ops))[CRC.size :] + body
    return CRC.pack(crc32c(bare)) + bare


def decode_op(data: bytes) -> Op:
    """One whole operation, alone; ValueError where it does not match its checksum."""
    if len(data) < OP.size:
        raise ValueError("cut short")
    crc, kind, key_size, value_size = OP.unpack_from(data)
    if len(data) != OP.size + key_size + value_size or kind > PUT:
        raise ValueError("its lengths do not fit")
    if crc != crc32c(data[CRC.size :]):
        raise ValueError("does not match its checksum")
    key = data[OP.size : OP.size + key_size]
    return Op(key, data[OP.size + key_size :] if kind == PUT else None)


def value_of(data: bytes, size: int, key: bytes) -> bytes:
    """The value of this key out of one whole operation; ValueError where it is not that."""
    if len(data) != size:
        raise ValueError("cut short")
    crc, kind, key_size, value_size = OP.unpack_from(data)
    if crc != crc32c(data[CRC.size :]):
        raise ValueError("does not match its checksum")
    at = OP.size + key_size
    if kind != PUT or at + value_size != size or data[OP.size : at] != key:
        raise ValueError("it holds another key")
    return data[at:]


def decode(data: bytes, at: int) -> Frame:
    """The frame that begins there; ValueError says why there is none."""
    if len(data) - at < FRAME.size:
        raise ValueError("cut short in its head")
    crc, length, sequence, durable, count = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if length > MAX_BATCH or end > len(data):
        raise ValueError("cut short, or its length is wrong")
    if crc != crc32c(data[at + CRC.size : end]):
        raise ValueError("does not match its checksum")
    ops: list[Placed] = []
    place = at + FRAME.size
    for _ in range(count):
        if end - place < OP.size:
            raise ValueError("holds fewer operations than it says")
        _, kind, key_size, value_size = OP.unpack_from(data, place)
        key_at = place + OP.size
        value_at = key_at + key_size
        after = value_at + value_size
        if after > end:
            raise ValueError("an operation leaves its frame")
        value = data[value_at:after] if kind == PUT else None
        ops.append(Placed(data[key_at:value_at], value, place, after - place))
        place = after
    if place != end:
        raise ValueError("holds more than its operations")
    return Frame(sequence, durable, ops, end)


def frames(data: bytes, at: int = HEAD.size) -> Iterator[Frame]:
    """Each frame from there on; the ValueError of the first that can't be read ends it."""
    while at < len(data):
        frame = decode(data, at)
        yield frame
        at = frame.end


def readable_behind(data: bytes, at: int) -> Iterator[Frame]:
    """Frames that can be read anywhere behind a bad one, in order; to tell rot from a tear.

    Tried first is where the bad one says that it ends: where its head is sound that finds
    the others at once, else each byte is tried.
    """
    tries: list[int] = []
    if at + FRAME.size <= len(data):
        tries.append(at + FRAME.size + FRAME.unpack_from(data, at)[1])
    for start in (*tries, at + 1):
        place = start
        found = False
        while place <= len(data) - FRAME.size:
            if place + FRAME.size + FRAME.unpack_from(data, place)[1] <= len(data):
                try:
                    frame = decode(data, place)
                except ValueError:
                    pass
                else:
                    found = True
                    yield frame
                    place = frame.end
                    continue
            if start != at + 1 and not found:
                break  # the head was not sound
            place += 1
        if found:
            return
