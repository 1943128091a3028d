"""Ownership of descriptors, from their creation to their closing.

Each descriptor number has one owner at a time, and only the owner closes it. A number that is
closed twice may by then belong to another connection, whose bytes are lost; an event loop that
finds one of its own numbers missing from its poll aborts the process.

    connecting          owner of the number                      ends by
    ------------------  ---------------------------------------  --------------------------------
    started             the loop (a task in create_connection)   failure, or cancelling the task:
                                                                 the loop closes it either way
    established         the transport (connection_made was       abort or close, then
                        called)                                  connection_lost, then the loop's
                                                                 closing, within one call
    given up while      the loop: the task is cancelled, and a   the loop closes it; either of
      connection_made   connection_made that comes all the same  connection_made and
      is pending        aborts                                   connection_lost may come

    accepting           owner of the number                      ends by
    ------------------  ---------------------------------------  --------------------------------
    accepted            the Python socket                        its close()
    handed over         the transport, from within the loop's    as above; the loop empties the
                        one call that opens it and ties the      Python socket when it closes the
                        Python socket to it                      number, so its close() is harmless
    given up while      the loop: the task is cancelled, and it  the loop closes it, and may call
      connection_made   closes the transport                     neither connection_made nor
      is pending                                                 connection_lost

The tables follow uvloop 0.23.0: loop.pyx, `create_connection` (with a host: libuv makes the socket,
`tr._close()` on each failure; with `sock=`: the socket is tied to the transport only after the
waiter's iteration, so one that was lost before keeps a number that is closed already) and
`connect_accepted_socket` (tied at once); handles/handle.pyx, `UVSocketHandle._close`;
handles/basetransport.pyx, `_call_connection_made` and `_call_connection_lost`. They hold for
asyncio's own loop too.

No other code owns a number. Code that asks the kernel about a number does it through a SocketView
and releases the view before the transport releases the number.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value that makes a close reset
_QUEUE_BYTES = struct.Struct("i")  # result of the ioctls for queues
_SIOCOUTQNSD = 0x894B  # linux/sockios.h; asks for the part of the queue that was never sent


class SocketView(socket.socket):
    """A non-owning view of a transport's TCP socket: it may query the socket and never closes it.

    The holder calls `release` in connection_lost at the latest: after that the number may belong to
    another connection, and a query would be answered for that one.
    """

    __slots__ = ()

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Raises OSError where the transport has no descriptor any more."""
        descriptor = transport.get_extra_info("socket").fileno()
        super().__init__(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)

    def release(self) -> None:
        """Let go of the descriptor; later queries raise OSError."""
        self.detach()

    def close(self) -> None:
        """Like `release`: the transport closes the descriptor."""
        self.detach()

    def __del__(self) -> None:
        # socket.socket's finaliser would close the descriptor.
        self.detach()


def has_unread_data(sock: socket.socket) -> bool:
    """Return whether bytes, an end of stream or an error wait in the kernel.

    True also where the descriptor is gone.
    """
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the peer's system has not acknowledged; raises OSError."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def unsent_bytes(sock: socket.socket) -> int:
    """Return how many written bytes the kernel still holds back; raises OSError.

    They wait for the peer to read. Bytes that were sent and not acknowledged do not count: the
    acknowledgement may be delayed.
    """
    return _queued_bytes(sock, _SIOCOUTQNSD)


def _queued_bytes(sock: socket.socket, query: int) -> int:
    queue = fcntl.ioctl(sock, query, bytes(_QUEUE_BYTES.size))
    return int(_QUEUE_BYTES.unpack(queue)[0])


def reset_if_unsent(sock: socket.socket) -> None:
    """Let the close of a socket reset it where the kernel still holds bytes to be sent.

    They would otherwise be sent after the close, at the pace at which the peer reads.
    """
    with contextlib.suppress(OSError):
        if unsent_bytes(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
