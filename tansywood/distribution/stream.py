"""Sealed messages on a stream, sealed with the fleet's keys.

Each end begins with sixteen random bytes, its life: the nonce of this end of this connection.
Frames follow: a big-endian length of four bytes, then a sealed message. Every seal covers both
lives, so a recording of one connection is refused on any other, and a peer without a key of the
fleet is refused at its first frame. Refusals are counted by reason and reported with their remedy.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import struct
from collections import Counter
from collections.abc import Sequence
from typing import Protocol, cast

from tansywood.distribution.messages import MAX_FRAME_BYTES, Message, MessageError, pack, unpack
from tansywood.distribution.refusals import describe_refusal
from tansywood.fleet.messages import LIFE_BYTES
from tansywood.fleet.seal import Seal, SealError

FRAME_LENGTH = struct.Struct(">I")
MAX_SEALED_BYTES = MAX_FRAME_BYTES + 64  # a message and its seal
# Once more than this is buffered for a peer that reads slowly, its owner sends nothing more.
WRITE_HIGH_WATER_BYTES = 256 << 10


class Keys(Protocol):
    """Returns the fleet's keys; the first one seals. Called again for each connection."""

    def __call__(self) -> Sequence[bytes]: ...


class Owner(Protocol):
    """Receives the events of a stream."""

    def opened(self, stream: SealedStream) -> None: ...

    def received(self, stream: SealedStream, message: Message) -> None: ...

    def writable(self, stream: SealedStream) -> None: ...

    def closed(self, stream: SealedStream, why: str) -> None: ...


class SealedStream(asyncio.Protocol):
    """One connection. `refused` counts refusals by reason, over all streams of the process."""

    def __init__(
        self, owner: Owner, keys: Keys, fleet: str, is_connector: bool, refused: Counter[str]
    ) -> None:
        """`is_connector` is true at the end that opened the connection."""
        self._owner = owner
        self._keys = keys
        self._fleet = fleet
        self._is_connector = is_connector
        self._refused = refused
        self._life = os.urandom(LIFE_BYTES)
        self._seal: Seal | None = None
        self._peer_life = b""
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._close_reason = "closed by the other end"
        self.refusal = ""  # the reason for which this end refused the peer, or empty
        self.peer = "an unknown address"
        self.paused = False
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0

    # ---- calls from the transport ----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not derive from asyncio.Transport, so an assertion would fail.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        address = transport.get_extra_info("peername")
        if address:
            self.peer = f"{address[0]}:{address[1]}"
        self._write(self._life)

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._close_reason = str(exc)
        if self._buffer:
            self._record_refusal(
                "truncated", f"the connection ended within a message: {self._close_reason}"
            )
        self._transport = None
        self._owner.closed(self, self._close_reason)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self._owner.writable(self)

    def data_received(self, data: bytes) -> None:
        self.bytes_in += len(data)
        self._buffer += data
        if self._seal is None and not self._begin_session():
            return
        while self._transport is not None and (frame := self._next_frame()) is not None:
            self._open_frame(frame)

    # ---- sending and closing ---------------------------------------------------------------

    def send(self, message: Message) -> None:
        """Send a message. Does nothing before the peer's life has arrived or after the end."""
        if self._seal is None or self._transport is None:
            return
        sealed = self._seal.seal(pack(message))
        self.messages_out += 1
        self._write(FRAME_LENGTH.pack(len(sealed)) + sealed)

    def close(self, why: str) -> None:
        """Close the connection once all buffered data is sent."""
        self._close_reason = why
        if self._transport is not None:
            self._transport.close()

    def abort(self, why: str) -> None:
        """Close the connection at once and drop buffered data."""
        self._close_reason = why
        if self._transport is not None:
            self._transport.abort()

    def refuse(self, reason: str, detail: str) -> None:
        """Count a refusal and close the connection; the owner's `closed` receives the reason."""
        self._record_refusal(reason, detail)
        self._buffer.clear()
        self.abort(self._close_reason)

    # ---- frames ----------------------------------------------------------------------------

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self.bytes_out += len(data)
            self._transport.write(data)

    def _begin_session(self) -> bool:
        if len(self._buffer) < LIFE_BYTES:
            return False
        self._peer_life = bytes(self._buffer[:LIFE_BYTES])
        del self._buffer[:LIFE_BYTES]
        lives = (
            (self._life, self._peer_life) if self._is_connector else (self._peer_life, self._life)
        )
        binding = hashlib.sha256(
            b"\n".join([b"tansywood distribution 1", self._fleet.encode(), *lives])
        ).digest()
        self._seal = Seal(self._keys(), binding, self._life)
        self._owner.opened(self)
        return True

    def _next_frame(self) -> bytes | None:
        if len(self._buffer) < FRAME_LENGTH.size:
            return None
        (length,) = FRAME_LENGTH.unpack_from(self._buffer)
        if length > MAX_SEALED_BYTES:
            self.refuse(
                "oversize", f"a frame of {length} bytes; at most {MAX_SEALED_BYTES} are allowed"
            )
            return None
        end = FRAME_LENGTH.size + length
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[FRAME_LENGTH.size : end])
        del self._buffer[:end]
        return frame

    def _open_frame(self, frame: bytes) -> None:
        assert self._seal is not None
        try:
            life, body = self._seal.open(frame)
            if life != self._peer_life:
                raise SealError("forged")
            message = unpack(body)
        except SealError as err:
            self.refuse(err.reason, f"a message without a valid seal: {err.reason}")
            return
        except MessageError as err:
            self.refuse("message", f"a message that does not belong to this protocol: {err}")
            return
        self.messages_in += 1
        self._owner.received(self, message)

    def _record_refusal(self, reason: str, detail: str) -> None:
        self._refused[reason] += 1
        self.refusal = reason
        self._close_reason = describe_refusal(reason, detail)
