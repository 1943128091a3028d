"""Messages in a stream of bytes: a length before each, and where there is one a TPDU. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

TPDU = 5  # bytes: a protocol identifier, destination, origin (ISO 8583 over NII networks)


class FramingError(ValueError):
    """The stream can't be read on: its connection has to end."""


@dataclass(frozen=True, slots=True)
class Framing:
    """`length` is of binary2, binary4 and ascii4; `own` counts the length's bytes with it."""

    length: str = "binary2"
    own: bool = False
    tpdu: bool = False
    most: int = 8 << 10  # of a message, its TPDU included

    def __post_init__(self) -> None:
        if self.length not in SIZES:
            raise ValueError(f"length is one of {', '.join(SIZES)}")
        if not 1 <= self.most <= LARGEST[self.length]:
            raise ValueError(f"most goes from 1 to {LARGEST[self.length]}")


SIZES = {"binary2": 2, "binary4": 4, "ascii4": 4}
LARGEST = {"binary2": 65_530, "binary4": 1 << 20, "ascii4": 9_990}


class Frame(NamedTuple):
    tpdu: bytes  # empty where the framing has none
    body: bytes


class Framer:
    """Bytes in, whole messages out, however they were split. It holds one message at most and
    what came with it."""

    def __init__(self, framing: Framing) -> None:
        self.framing = framing
        self._size = SIZES[framing.length]
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """The messages that are whole by now. An empty one (length 0) is a sign of life and no
        message. FramingError on a length that can't be."""
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        at = 0
        while len(buffer) - at >= self._size:
            length = self._length(bytes(buffer[at : at + self._size]))
            end = at + self._size + length
            if len(buffer) < end:
                break
            if length:
                frames.append(self._frame(bytes(buffer[at + self._size : end])))
            at = end
        del buffer[:at]
        return frames

    @property
    def within(self) -> bool:
        """Whether a part of a message lies here: an end of the stream would cut it."""
        return bool(self._buffer)

    def _length(self, raw: bytes) -> int:
        framing = self.framing
        if framing.length == "ascii4":
            if not raw.isdigit():
                raise FramingError("a length that is no number")
            length = int(raw)
        else:
            length = int.from_bytes(raw, "big")
        if framing.own:
            if length < self._size:
                raise FramingError("a length less than its own")
            length -= self._size
        if length > framing.most:
            raise FramingError(f"a length over {framing.most}")
        if framing.tpdu and 0 < length <= TPDU:
            raise FramingError("a message without room for its TPDU")
        return length

    def _frame(self, raw: bytes) -> Frame:
        if self.framing.tpdu:
            return Frame(raw[:TPDU], raw[TPDU:])
        return Frame(b"", raw)


def frame(framing: Framing, body: bytes, tpdu: bytes = b"") -> bytes:
    """A message with its length. ValueError where it is too long or its TPDU is none."""
    if len(tpdu) != (TPDU if framing.tpdu else 0):
        raise ValueError("the framing's TPDU is missing or has none")
    raw = tpdu + body
    if not raw or len(raw) > framing.most:
        raise ValueError(f"a message has 1 to {framing.most} bytes")
    size = SIZES[framing.length]
    length = len(raw) + (size if framing.own else 0)
    if framing.length == "ascii4":
        return b"%04d" % length + raw
    return length.to_bytes(size, "big") + raw


def answering(tpdu: bytes) -> bytes:
    """The TPDU of an answer: destination and origin change places."""
    return tpdu[:1] + tpdu[3:5] + tpdu[1:3]
