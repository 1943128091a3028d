"""The second address: an operator's calls, a line each, answered with a line.

Each connection carries one line, and the answer begins with `done` or `error`:

    readyz         done once this process can serve
    exclude ID     send that backend nothing new, whatever the list says
    include ID     use it again; it is taken for cold
    evacuate       empty the node: its readiness says no, kept connections are closed
    activate       take clients again

A call is answered in the turn of the loop that reads its last byte. Callers that say nothing,
or half a call, hold a descriptor each: past MOST the one that has been silent longest goes.
Nothing is decided here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from windrelay.guard import closes_connection_on_error

MOST = 6  # connections at a time; what the node reserves must hold them
LINE_MOST = 512  # bytes of a call
SILENT_S = 6.0  # without a whole line


class CallError(Exception):
    """A call that can't be carried out; the text says why, and what would do."""


class Controls(Protocol):
    """What a call may ask of the node; CallError where it can't be done."""

    def readyz(self) -> None: ...
    def exclude(self, uid: str) -> None: ...
    def include(self, uid: str) -> None: ...
    def evacuate(self) -> None: ...
    def activate(self) -> None: ...


PLAIN = ("readyz", "evacuate", "activate")
WITH_ID = ("exclude", "include")


def carry_out(controls: Controls, line: bytes) -> bytes:
    """One call; returns its answer, a line that never holds another."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return b"error: a call is plain ASCII\n"
    try:
        if not words:
            raise CallError(f"empty; one of {', '.join(PLAIN + WITH_ID)} is wanted")
        name, rest = words[0], words[1:]
        if name in PLAIN:
            if rest:
                raise CallError(f"{name} takes nothing behind it")
            getattr(controls, name)()
        elif name in WITH_ID:
            if len(rest) != 1:
                raise CallError(f"{name} takes one id of a backend")
            getattr(controls, name)(rest[0])
        else:
            raise CallError(f"no such call; one of {', '.join(PLAIN + WITH_ID)} is wanted")
    except CallError as err:
        return f"error: {err}\n".encode()
    return b"done\n"


class Call(asyncio.Protocol):
    """One connection."""

    __slots__ = ("_buffer", "_desk", "_timer", "_transport")

    def __init__(self, desk: Desk) -> None:
        self._desk = desk
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self._desk.loop.call_later(SILENT_S, self.end)
        self._desk.came(self)

    def data_received(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if newline:
            self._answer(self._desk.carry_out(line))
        elif len(self._buffer) > LINE_MOST:
            self._answer(b"error: a call is one line of at most %d bytes\n" % LINE_MOST)

    def eof_received(self) -> bool:
        if self._transport is not None and not self._transport.is_closing() and self._buffer:
            self._answer(b"error: half a call, its line has no end\n")
        return False

    def _answer(self, answer: bytes) -> None:
        assert self._transport is not None
        self._transport.write(answer)
        self._transport.close()

    @closes_connection_on_error
    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._desk.went(self)

    def end(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def close_on_error(self, where: str, error: BaseException) -> None:
        self._desk.crashed(where, error)
        self.end()


class Desk:
    """The listener, and the connections to it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        controls: Controls,
        crashed: Callable[[str, BaseException], None],
    ) -> None:
        self.loop = loop
        self.controls = controls
        self.crashed = crashed
        self._open: dict[Call, None] = {}  # the one that came first leads
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Take calls at this address; returns the port. Raises OSError."""
        self._server = await self.loop.create_server(lambda: Call(self), host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Take no more calls; those that wait get none either."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for call in list(self._open):
            call.end()

    def carry_out(self, line: bytes) -> bytes:
        try:
            return carry_out(self.controls, line)
        except Exception as err:
            self.crashed("a call", err)
            return b"error: a fault of the node's own, see its log\n"

    def came(self, call: Call) -> None:
        self._open[call] = None
        if len(self._open) > MOST:
            next(iter(self._open)).end()

    def went(self, call: Call) -> None:
        self._open.pop(call, None)
