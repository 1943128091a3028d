"""One question to a process of the service at its Unix socket, as an operator's tool asks it.

Frames are four bytes of length, big-endian, then JSON. Written here anew: what watches a program
loads none of it.
"""

from __future__ import annotations

import json
import socket
import struct
from typing import Any

LENGTH = struct.Struct(">I")
WAIT_S = 5.0


def ask(path: str, what: str) -> dict[str, Any]:
    """OSError where nobody answers in time or the connection ends, ValueError on no JSON."""
    body = json.dumps({"ask": what}).encode()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(WAIT_S)
        sock.connect(path)
        sock.sendall(LENGTH.pack(len(body)) + body)
        with sock.makefile("rb") as file:
            (length,) = LENGTH.unpack(_whole(file.read(LENGTH.size), LENGTH.size))
            told: dict[str, Any] = json.loads(_whole(file.read(length), length))
            return told


def _whole(data: bytes, size: int) -> bytes:
    if len(data) < size:
        raise OSError("the connection ended before an answer")
    return data
