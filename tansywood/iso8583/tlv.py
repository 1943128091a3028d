"""BER-TLV as of field 55 (ISO/IEC 8825-1; EMV book 3, annex B). Raises IsoError only."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from tansywood.iso8583.codec import IsoError

MAX_DEPTH = 8
MAX_TAG = 4  # bytes


class Tlv(NamedTuple):
    """A tag as in hexadecimal, and bytes, or the rows of a constructed one."""

    tag: str
    value: bytes | tuple[Tlv, ...]


def decode(data: bytes, depth: int = 0) -> tuple[Tlv, ...]:
    """All rows; offsets in errors are within the innermost value."""
    if depth > MAX_DEPTH:
        raise IsoError(f"nested deeper than {MAX_DEPTH}")
    rows: list[Tlv] = []
    at = 0
    while at < len(data):
        if data[at] in (0x00, 0xFF):  # between rows, of no meaning (EMV book 3)
            at += 1
            continue
        begin = at
        at += 1
        if data[begin] & 0x1F == 0x1F:
            while at < len(data) and data[at] & 0x80:
                at += 1
            at += 1
        if at > len(data) or at - begin > MAX_TAG:
            raise IsoError("a tag does not end", None, begin)
        tag = data[begin:at]
        if at >= len(data):
            raise IsoError("no length follows the tag", None, at)
        length = data[at]
        at += 1
        if length & 0x80:
            size = length & 0x7F
            if not 1 <= size <= 3 or at + size > len(data):
                raise IsoError("a length that can't be read", None, at)
            length = int.from_bytes(data[at : at + size], "big")
            at += size
        if at + length > len(data):
            raise IsoError("a value goes past the end", None, at)
        value = data[at : at + length]
        at += length
        rows.append(Tlv(tag.hex().upper(), decode(value, depth + 1) if tag[0] & 0x20 else value))
    return tuple(rows)


def encode(rows: Sequence[Tlv]) -> bytes:
    """Lengths in their shortest form."""
    made = bytearray()
    for tag, value in rows:
        raw = value if isinstance(value, bytes) else encode(value)
        try:
            made += bytes.fromhex(tag)
        except ValueError:
            raise IsoError("a tag is no hexadecimal") from None
        length = len(raw)
        if length < 0x80:
            made.append(length)
        else:
            size = (length.bit_length() + 7) // 8
            if size > 3:
                raise IsoError("a value is too long")
            made.append(0x80 | size)
            made += length.to_bytes(size, "big")
        made += raw
    return bytes(made)
