"""A new version under load: what the running process hands to the one started beside it.

The two share $TMPDIR. The running one waits there at a socket of the file system; the new one
connects while it starts, and gets

- the listening socket itself: one queue for both. With a listener each (SO_REUSEPORT) the kernel
  deals connections to both by a hash, and what waits at the old one when it closes is reset.
  That way stays as the fall-back where nobody answers;
- what the operators have said (bans, evacuation), which holds over an upgrade;
- the list in hand and what the decision module has learnt.

The connection then stays open for as long as both live. Calls at either reach both; the old one
tells how many descriptors it still holds, so that both together stay within the limit; it takes
clients again where its successor ends before it.

    side  line                                         when
    ----  -------------------------------------------  ------------------------------------
    old   {"format": 1, "bans": ..., "list": ..., ..}  first, with the listener
    old   {"held": 61}                                 each sweep
    new   {"serving": true}                            once it takes clients
    both  {"call": ["exclude", "7b1c..."]}             a call was carried out here
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

FORMAT = 1
CLAIM_S = 1.0  # a running process that does not answer within it is done without
STATE_MOST = 8 << 20
LINE_MOST = STATE_MOST


@dataclass(frozen=True, slots=True)
class Estate:
    """What a running process has handed over; the receiver owns both sockets."""

    listener: socket.socket
    line: socket.socket
    state: dict[str, Any]
    rest: bytes  # what came behind the state already


def place(environ: Mapping[str, str], config: Config) -> str | None:
    """Where a process of this node waits for its successor; None where it can't be told apart.

    Only where calls are taken: an upgrade asks the new process by them whether it can serve.
    """
    folder = environ.get("TMPDIR")
    if not folder or config.mgmt is None:
        return None
    # A node's name and address: others may share the folder.
    word = blake2b(f"{config.name} {config.listen}".encode(), digest_size=8).hexdigest()
    return os.path.join(folder, f"windrelay-{word}.sock")


class _Folder:
    """A folder by a number of its own: a path of a socket holds 107 bytes at the most."""

    def __init__(self, path: str) -> None:
        folder, self.name = os.path.split(path)
        self._number = os.open(folder, os.O_PATH | os.O_DIRECTORY)
        self._path = f"/proc/self/fd/{self._number}"

    def path(self, name: str = "") -> str:
        return f"{self._path}/{name or self.name}"

    def __enter__(self) -> _Folder:
        return self

    def __exit__(self, *_: object) -> None:
        os.close(self._number)


def claim(path: str, listen: Address, log: Callable[[str], None]) -> Estate | None:
    """Take over from the process that runs; None where none does or it does not answer."""
    line = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    line.settimeout(CLAIM_S)
    end = time.monotonic() + CLAIM_S
    listeners: list[socket.socket] = []
    try:
        with _Folder(path) as folder:
            line.connect(folder.path())
        data, numbers, _, _ = socket.recv_fds(line, 1, 4)
        listeners = [socket.socket(fileno=number) for number in numbers]
        buffer = b""
        while data and b"\n" not in buffer:
            # In all, and not for each piece of what trickles: nobody is served meanwhile.
            line.settimeout(max(end - time.monotonic(), 0.001))
            data = line.recv(1 << 16)
            buffer += data
            if len(buffer) > STATE_MOST:
                raise ValueError("the state is too long")
        first, newline, rest = buffer.partition(b"\n")
        state = json.loads(first) if newline else None
        if not isinstance(state, dict) or state.get("format") != FORMAT or len(listeners) != 1:
            raise ValueError("the running process handed over nothing of use")
        if listen.port and listeners[0].getsockname() != tuple(listen):
            raise ValueError(f"its listener is at {listeners[0].getsockname()}")
        listeners[0].setblocking(False)
        line.setblocking(False)
        return Estate(listeners[0], line, state, rest)
    except FileNotFoundError:
        pass  # nobody runs: the usual start
    except (OSError, ValueError) as err:
        log(f"nothing taken over: {err}")
    line.close()
    for sock in listeners:
        sock.close()
    return None


class Line(asyncio.Protocol):
    """The connection between the two processes, from either side."""

    def __init__(self, heard: Callable[[dict[str, Any]], None], ended: Callable[[], None]) -> None:
        self._heard = heard
        self._ended = ended
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def tell(self, word: Mapping[str, Any]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(json.dumps(word).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            try:
                word = json.loads(line)
            except ValueError:
                continue
            if isinstance(word, dict):
                self._heard(word)
        if len(self._buffer) > LINE_MOST:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._ended()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Waiting:
    """The running side: waits for one successor at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        bequeath: Callable[[], tuple[socket.socket, dict[str, Any]]],
        begun: Callable[[Line], None],
        heard: Callable[[dict[str, Any]], None],
        ended: Callable[[], None],
        log: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self._path = path
        self._bequeath = bequeath
        self._begun = begun
        self._heard = heard
        self._ended = ended
        self._log = log
        self._sock: socket.socket | None = None
        self._heir = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def listen(self) -> None:
        """Wait at the path, in place of whoever waited there before. Raises OSError."""
        self.close()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with _Folder(self._path) as folder:
                fresh = f".{folder.name}.{os.getpid()}"
                sock.bind(folder.path(fresh))
                os.chmod(folder.path(fresh), 0o600)
                sock.listen(1)
                # One step: a successor finds the old one's or ours, and never nothing.
                os.rename(folder.path(fresh), folder.path())
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
            line, _ = self._sock.accept()
        except OSError:
            return
        if self._heir:
            self._log("a second successor was turned away")
            line.close()
            return
        try:
            listener, state = self._bequeath()
            line.settimeout(CLAIM_S)
            socket.send_fds(line, [b"L"], [listener.fileno()])
            line.setblocking(False)
        except OSError as err:
            self._log(f"nothing handed over: {err}")
            line.close()
            return
        self._heir = True
        protocol = Line(self._heard, self._gone)
        task = self._loop.create_task(self._open(line, protocol, state))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, sock: socket.socket, line: Line, state: dict[str, Any]) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: line, sock)
        except OSError as err:
            self._log(f"nothing handed over: {err}")
            sock.close()
            self._gone()
            return
        line.tell(state)
        self._begun(line)

    def _gone(self) -> None:
        self._heir = False
        self._ended()
