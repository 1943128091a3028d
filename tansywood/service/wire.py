"""How the parts of one service talk on one machine: frames of JSON, and handed-over connections.

Frames go over stream sockets: four bytes of length, big-endian, then the JSON. A connection is
handed over as one message on a SOCK_SEQPACKET socket: a line of JSON, what was read of the
connection so far, and the descriptor (unix(7), SCM_RIGHTS). Whoever takes it says so before
anything is done with it, and the giver keeps its descriptor until then. So of a taker that ends
all that it had not begun is known, and can go to another: nothing of it has run.

Both ends of either are parts of this program, in a folder that only its user may enter.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import Any, NamedTuple

LENGTH = struct.Struct(">I")
MAX_FRAME = 256 << 20  # some ten thousand tenants
MAX_HANDED = 64 << 10
TAKEN = b"+"


class WireError(ValueError):
    """The other end does not speak this: it is of another version."""


def frame(record: object) -> bytes:
    data = json.dumps(record, separators=(",", ":")).encode()
    return LENGTH.pack(len(data)) + data


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """The next one. IncompleteReadError at the end, WireError on what is no frame."""
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_FRAME:
        raise WireError(f"a frame of {length} bytes")
    try:
        return json.loads(await reader.readexactly(length))
    except ValueError as err:
        raise WireError(str(err)) from None


class Handed(NamedTuple):
    """A connection on its way to its tenant's worker."""

    uid: str
    listener: str
    first: bytes  # what was read of it
    sock: socket.socket


def hand(to: socket.socket, uid: str, listener: str, first: bytes, sock: socket.socket) -> None:
    """Send a connection; the caller closes its own descriptor. BlockingIOError where the other
    end is behind, OSError where it is gone."""
    head = json.dumps([uid, listener]).encode() + b"\n"
    socket.send_fds(to, [head + first], [sock.fileno()])


def take(at: socket.socket) -> Handed | None:
    """The next connection; None where the other end is gone. BlockingIOError where none waits."""
    data, fds, _flags, _address = socket.recv_fds(at, MAX_HANDED, 1)
    if not data:
        return None
    if len(fds) != 1:
        raise WireError("a message without a descriptor")
    sock = socket.socket(fileno=fds[0])
    head, _, first = data.partition(b"\n")
    try:
        uid, listener = json.loads(head)
    except ValueError as err:
        sock.close()
        raise WireError(str(err)) from None
    return Handed(uid, listener, first, sock)
