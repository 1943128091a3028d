"""Limits the effect of an unexpected exception in a callback to the connection it occurred on.

A callback of the event loop that raises would otherwise leave inconsistent state behind: a
request that nobody answers any more, a slot that is never released, a timer that is never set
again. Failures of peers and of the system are handled where they occur and do not get here. An
exception that gets here is a fault of this program or of its libraries, and is counted.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import Any, Protocol


class GuardedConnection(Protocol):
    """The interface of a connection whose callbacks `closes_connection_on_error` decorates."""

    def close_on_error(self, where: str, error: BaseException) -> None:
        """Count and log the exception, settle the connection's request or attempt, and close it.

        `where` says in the log what was being done.
        """


def closes_connection_on_error(
    callback: Callable[..., None],
) -> Callable[..., None]:
    """Decorate a connection's method so that an exception in it closes that connection.

    Meant for callbacks off the hot path. data_received and eof_received need no decorator: the
    event loop catches their exceptions, closes the transport and passes the exception to
    connection_lost (uvloop 0.23.0, handles/stream.pyx).
    """

    @wraps(callback)
    def guarded(self: GuardedConnection, *args: Any) -> None:
        try:
            callback(self, *args)
        except Exception as err:
            self.close_on_error(callback.__name__, err)

    return guarded
