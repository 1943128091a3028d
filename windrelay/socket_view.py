"""Who owns a descriptor, from its making to its closing.

Each number has one owner at a time, and only the owner closes it. A number closed twice
closes a stranger: another connection's bytes go astray, and a loop that finds a number
of its own gone from its poll aborts the process.

    a dial              owner of the number                      ends by
    ------------------  ---------------------------------------  --------------------------------
    begun               the loop (a task in create_connection)   failure, or the task's cancelling:
                                                                 the loop closes it either way
    made                the transport (connection_made was told) abort or close, then
                                                                 connection_lost, then the loop's
                                                                 closing, within one call
    given up while      the loop: the task is cancelled, and a   the loop closes it; of
      the news of it    connection_made that comes all the same  connection_made and
      is on its way     aborts                                   connection_lost either may come

    an accept           owner of the number                      ends by
    ------------------  ---------------------------------------  --------------------------------
    accepted            the Python socket                        its close()
    handed over         the transport, from within the loop's    as above; the loop empties the
                        one call that opens it and ties the      Python socket when it closes the
                        Python socket to it                      number, so its close() is harmless
    given up while      the loop: the task is cancelled, and it  the loop closes it, and may tell
      the news of it    closes the transport                     neither connection_made nor
      is on its way                                              connection_lost

Read off uvloop 0.23.0: loop.pyx, `create_connection` (with a host: libuv makes the socket,
`tr._close()` on each failure; with `sock=`: the socket is tied to the transport only after
the waiter's turn, so one that was lost before it keeps a number that is closed already) and
`connect_accepted_socket` (tied at once); handles/handle.pyx, `UVSocketHandle._close`;
handles/basetransport.pyx, `_call_connection_made` and `_call_connection_lost`. With asyncio's
own loop the same table holds.

Nobody else holds a number as an owner. Who wants to ask the kernel about one does it
through a Glance and lets go of it before the transport does.
"""

from __future__ import annotations

import asyncio
import socket


class SocketView(socket.socket):
    """A look at the TCP socket of a transport: it may ask, and it never closes.

    Whoever holds one calls `end` in connection_lost at the latest: past that the number
    is somebody else's, and what was asked of it would be told of them.
    """

    __slots__ = ()

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Raises OSError where the transport has no number any more."""
        number = transport.get_extra_info("socket").fileno()
        super().__init__(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=number)

    def release(self) -> None:
        """Look no more; what was asked from here on raises OSError."""
        self.detach()

    def close(self) -> None:
        self.detach()

    def __del__(self) -> None:
        # The plain socket's finaliser would close the number.
        self.detach()


def has_unread_data(sock: socket.socket) -> bool:
    """Whether bytes, an end or an error wait in the kernel; true where the number is gone."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True
