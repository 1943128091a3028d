"""The service's frames between processes of one machine, written from docs/design/lease.md: four
bytes of length, big-endian, then JSON."""

from __future__ import annotations

import asyncio
import json
from typing import Any


def frame(record: object) -> bytes:
    data = json.dumps(record).encode()
    return len(data).to_bytes(4, "big") + data


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """The next one; IncompleteReadError at the end."""
    length = int.from_bytes(await reader.readexactly(4), "big")
    return json.loads(await reader.readexactly(length))
