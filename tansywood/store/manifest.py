"""Which segments are live, in order, and how long the sealed ones are. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass

from google_crc32c import value as crc32c

from tansywood.store.errors import StoreFormat

NAME = "MANIFEST"
BESIDE = "MANIFEST.new"
VERSION = 1


@dataclass(frozen=True, slots=True)
class Segment:
    """One live segment. `length` is None for the one that is written to."""

    number: int
    first: int  # the sequence number of its first frame
    length: int | None = None
    kept: bool = False  # the result of a compaction: all its frames have the number `first`

    @property
    def name(self) -> str:
        return f"{self.number:08d}.log"

    @property
    def hint(self) -> str:
        return f"{self.number:08d}.hint"


@dataclass(frozen=True, slots=True)
class Manifest:
    segments: tuple[Segment, ...]
    next_number: int

    def encode(self) -> bytes:
        raw = {
            "format": VERSION,
            "next": self.next_number,
            "segments": [
                {"number": s.number, "first": s.first, "length": s.length, "kept": s.kept}
                for s in self.segments
            ],
        }
        text = json.dumps(raw, separators=(",", ":")).encode()
        return b"%08x\n%s\n" % (crc32c(text), text)


def decode(data: bytes) -> Manifest:
    """ValueError where it is damaged, StoreFormat where it is of a newer version."""
    crc, _, rest = data.partition(b"\n")
    text = rest.removesuffix(b"\n")
    try:
        sound = len(crc) == 8 and rest.endswith(b"\n") and int(crc, 16) == crc32c(text)
    except ValueError:
        sound = False
    if not sound:
        raise ValueError("it does not match its checksum")
    raw = json.loads(text)
    if raw["format"] != VERSION:
        raise StoreFormat(
            f"{NAME} is of format {raw['format']}, this program knows {VERSION}: "
            "use a newer program"
        )
    segments = tuple(
        Segment(int(s["number"]), int(s["first"]), s["length"], bool(s["kept"]))
        for s in raw["segments"]
    )
    if not segments or any(s.length is None for s in segments[:-1]):
        raise ValueError("its segments make no store")
    return Manifest(segments, int(raw["next"]))
