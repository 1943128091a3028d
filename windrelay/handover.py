"""Hand-over under load: what a running process gives to its successor, a new version started beside
it.

Both processes share the directory $TMPDIR. The running process listens there on a Unix socket; its
successor connects while it starts, and receives

- the listening socket itself, so that both processes accept from one queue. With a listener
  each (SO_REUSEPORT) the kernel distributes connections between them by a hash, and those that
  still wait in the queue of the old process when it closes are reset. A listener each remains
  the fall-back where no running process answers;
- the operators' calls that are in force (bans, evacuation), which outlast an upgrade;
- the requests that may not be repeated, by the keys of their ids, as does the other one later;
- the current list of backends and what the decision module has learnt.

The connection then stays open while both processes live. A management call at either process
reaches both. The old process reports how many descriptors it still holds, so that both together
stay within the limit, and accepts clients again where its successor ends first.

    side  line                                         when
    ----  -------------------------------------------  ------------------------------------
    old   {"format": 1, "bans": ..., "list": ..., ..}  first, with the listener
    old   {"held": 61}                                 at each sweep
    new   {"serving": true}                            once it accepts clients
    both  {"call": ["exclude", "7b1c..."]}             after a management call at this process
    both  {"unsafe_requests": ["6161..."]}             when such a request starts at this process
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, cast

from windrelay.config import Address, Config

STATE_FORMAT = 1
HANDOVER_TIMEOUT_S = 1.0  # a running process that does not answer within this time is ignored
MAX_STATE_BYTES = 8 << 20
MAX_LINE_BYTES = MAX_STATE_BYTES


@dataclass(frozen=True, slots=True)
class Handover:
    """What a running process has handed over; the receiver owns both sockets."""

    listener: socket.socket
    connection: socket.socket
    state: dict[str, Any]
    trailing_bytes: bytes  # bytes that came after the state


def successor_socket_path(environ: Mapping[str, str], config: Config) -> str | None:
    """Return the path at which a process of this node waits for its successor.

    None where the node has no directory for it, or accepts no management calls: an upgrade needs
    those to ask the new process whether it can serve.
    """
    directory = environ.get("TMPDIR")
    if not directory or config.mgmt is None:
        return None
    # The node's name and address tell it apart from other nodes that share the directory.
    digest = blake2b(f"{config.name} {config.listen}".encode(), digest_size=8).hexdigest()
    return os.path.join(directory, f"windrelay-{digest}.sock")


class _Directory:
    """A directory opened by descriptor.

    The path of a Unix socket holds at most 107 bytes, so a longer path is reached through
    /proc/self/fd.
    """

    def __init__(self, path: str) -> None:
        directory, self.name = os.path.split(path)
        self._descriptor = os.open(directory, os.O_PATH | os.O_DIRECTORY)
        self._path = f"/proc/self/fd/{self._descriptor}"

    def path(self, name: str = "") -> str:
        return f"{self._path}/{name or self.name}"

    def __enter__(self) -> _Directory:
        return self

    def __exit__(self, *_: object) -> None:
        os.close(self._descriptor)


def receive_handover(path: str, listen: Address, log: Callable[[str], None]) -> Handover | None:
    """Take over from the running process.

    Returns None where no process runs, or where it does not answer in time; the latter is logged.
    """
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(HANDOVER_TIMEOUT_S)
    deadline = time.monotonic() + HANDOVER_TIMEOUT_S
    listeners: list[socket.socket] = []
    try:
        with _Directory(path) as directory:
            connection.connect(directory.path())
        data, descriptors, _, _ = socket.recv_fds(connection, 1, 4)
        listeners = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        buffer = b""
        while data and b"\n" not in buffer:
            # The limit is for the whole state and not for each piece of it: no client is served
            # while a state trickles in.
            connection.settimeout(max(deadline - time.monotonic(), 0.001))
            data = connection.recv(1 << 16)
            buffer += data
            if len(buffer) > MAX_STATE_BYTES:
                raise ValueError("the handed-over state exceeds its size limit")
        state_line, newline, trailing_bytes = buffer.partition(b"\n")
        state = json.loads(state_line) if newline else None
        if (
            not isinstance(state, dict)
            or state.get("format") != STATE_FORMAT
            or len(listeners) != 1
        ):
            raise ValueError(
                "the running process handed over no listener, or no state of this format"
            )
        if listen.port and listeners[0].getsockname() != tuple(listen):
            raise ValueError(f"the running process listens at {listeners[0].getsockname()}")
        listeners[0].setblocking(False)
        connection.setblocking(False)
        return Handover(listeners[0], connection, state, trailing_bytes)
    except FileNotFoundError:
        pass  # no process of this node is running: an ordinary start
    except (OSError, ValueError) as err:
        log(f"nothing taken over: {err}")
    connection.close()
    for sock in listeners:
        sock.close()
    return None


class PeerConnection(asyncio.Protocol):
    """The connection between the two processes, at either of them; messages are lines of JSON."""

    def __init__(
        self, on_message: Callable[[dict[str, Any]], None], on_closed: Callable[[], None]
    ) -> None:
        self._on_message = on_message
        self._on_closed = on_closed
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, message: Mapping[str, Any]) -> None:
        """Send a message, unless the connection is closed or closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(json.dumps(message).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            try:
                message = json.loads(line)
            except ValueError:
                continue
            if isinstance(message, dict):
                self._on_message(message)
        if len(self._buffer) > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._on_closed()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class SuccessorListener:
    """The side of the running process: waits for a successor, one at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        export_state: Callable[[], tuple[socket.socket, dict[str, Any]]],
        on_connected: Callable[[PeerConnection], None],
        on_message: Callable[[dict[str, Any]], None],
        on_closed: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._path = path
        self._export_state = export_state
        self._on_connected = on_connected
        self._on_message = on_message
        self._on_closed = on_closed
        self._log = log
        self._sock: socket.socket | None = None
        self._has_successor = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def listen(self) -> None:
        """Listen at the path, replacing whichever process listened there before. Raises OSError."""
        self.close()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _Directory(self._path) as directory:
                temporary_name = f".{directory.name}.{os.getpid()}"
                sock.bind(directory.path(temporary_name))
                os.chmod(directory.path(temporary_name), 0o600)
                sock.listen(1)
                # The rename is atomic: a successor finds the old socket or the new one, and never
                # none.
                os.rename(directory.path(temporary_name), directory.path())
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self._loop.add_reader(sock, self._accept)

    def close(self) -> None:
        sock, self._sock = self._sock, None
        if sock is not None:
            self._loop.remove_reader(sock)
            sock.close()

    def _accept(self) -> None:
        if self._sock is None:
            return
        try:
            connection, _ = self._sock.accept()
        except OSError:
            return
        if self._has_successor:
            self._log("a second successor was turned away")
            connection.close()
            return
        try:
            listener, state = self._export_state()
            connection.settimeout(HANDOVER_TIMEOUT_S)
            socket.send_fds(connection, [b"L"], [listener.fileno()])
            connection.setblocking(False)
        except OSError as err:
            self._log(f"nothing handed over: {err}")
            connection.close()
            return
        self._has_successor = True
        protocol = PeerConnection(self._on_message, self._successor_closed)
        task = self._loop.create_task(self._connect(connection, protocol, state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(
        self, sock: socket.socket, peer: PeerConnection, state: dict[str, Any]
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: peer, sock)
        except OSError as err:
            self._log(f"nothing handed over: {err}")
            sock.close()
            self._successor_closed()
            return
        peer.send(state)
        self._on_connected(peer)

    def _successor_closed(self) -> None:
        self._has_successor = False
        self._on_closed()
