"""The management address of a node: it answers operators' calls, one line each.

A connection carries one call, and the answer begins with `done` or `error`:

    readyz         done once this process can serve
    exclude ID     send that backend no new attempt, whatever the list of backends says
    include ID     use that backend again; it begins with a slow start
    evacuate       empty the node: readiness probes get a no, idle connections are closed
    activate       accept clients again

A call is answered in the loop iteration that reads its last byte. A connection that sends nothing,
or half a call, holds a descriptor: past MAX_CONNECTIONS the one that has been open longest is
closed. This module decides nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from windrelay.guard import closes_connection_on_error

MAX_CONNECTIONS = 6  # at a time; the node's RESERVED_MANAGEMENT_DESCRIPTORS must cover them
MAX_CALL_BYTES = 512
CALL_TIMEOUT_S = 6.0  # a connection without a whole line is closed after this time


class CallError(Exception):
    """A call that can't be carried out; the text says why, and what would be accepted."""


class Controls(Protocol):
    """What a call may ask of the node; a method raises CallError where the call can't be carried
    out."""

    def readyz(self) -> None:
        """Return where this process can serve."""

    def exclude(self, uid: str) -> None:
        """Send the backend with this id no new attempt."""

    def include(self, uid: str) -> None:
        """Use the backend with this id again."""

    def evacuate(self) -> None:
        """Empty the node of clients."""

    def activate(self) -> None:
        """Accept clients again."""


CALLS_WITHOUT_ID = ("readyz", "evacuate", "activate")
CALLS_WITH_ID = ("exclude", "include")


def execute_call(controls: Controls, line: bytes) -> bytes:
    """Carry out one call; returns its answer, which is exactly one line."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return b"error: a call is plain ASCII\n"
    try:
        if not words:
            raise CallError(
                f"empty; one of {', '.join(CALLS_WITHOUT_ID + CALLS_WITH_ID)} is wanted"
            )
        name, rest = words[0], words[1:]
        if name in CALLS_WITHOUT_ID:
            if rest:
                raise CallError(f"{name} takes nothing behind it")
            getattr(controls, name)()
        elif name in CALLS_WITH_ID:
            if len(rest) != 1:
                raise CallError(f"{name} takes one id of a backend")
            getattr(controls, name)(rest[0])
        else:
            raise CallError(
                f"no such call; one of {', '.join(CALLS_WITHOUT_ID + CALLS_WITH_ID)} is wanted"
            )
    except CallError as err:
        return f"error: {err}\n".encode()
    return b"done\n"


class CallConnection(asyncio.Protocol):
    """A connection that carries one call."""

    __slots__ = ("_buffer", "_server", "_timer", "_transport")

    def __init__(self, server: CallServer) -> None:
        self._server = server
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self._server.loop.call_later(CALL_TIMEOUT_S, self.abort)
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._buffer += data
        line, newline, _ = self._buffer.partition(b"\n")
        if newline:
            self._answer(self._server.execute(line))
        elif len(self._buffer) > MAX_CALL_BYTES:
            self._answer(b"error: a call is one line of at most %d bytes\n" % MAX_CALL_BYTES)

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
        self._server.remove(self)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_on_error(self, where: str, error: BaseException) -> None:
        """Record an exception of one of the connection's callbacks and close the connection."""
        self._server.on_error(where, error)
        self.abort()


class CallServer:
    """The listener for management calls, and its open connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        controls: Controls,
        on_error: Callable[[str, BaseException], None],
    ) -> None:
        self.loop = loop
        self.controls = controls
        self.on_error = on_error
        self._connections: dict[CallConnection, None] = {}  # in the order of their arrival
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Accept calls at this address; returns the port. Raises OSError."""
        self._server = await self.loop.create_server(lambda: CallConnection(self), host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and close the open connections; calls that are not answered yet get no
        answer."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()

    def execute(self, line: bytes) -> bytes:
        """Carry out one call; an unexpected exception is recorded and answered as an error."""
        try:
            return execute_call(self.controls, line)
        except Exception as err:
            self.on_error("a management call", err)
            return b"error: a fault of the node's own, see its log\n"

    def add(self, connection: CallConnection) -> None:
        """Count a new connection, and close the oldest one past MAX_CONNECTIONS."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def remove(self, connection: CallConnection) -> None:
        """Forget a closed connection."""
        self._connections.pop(connection, None)
