"""What an exception that nobody foresaw costs: the connection it came up on, and no more.

A callback of the loop that raises would else leave half a state behind: a request whose
answer nobody owes any more, a place that is never given back, a timer that is never set
again. Failures of peers and of the system are foreseen where they come up and never get
here; what gets here is a fault of this program or of its libraries, and is counted.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import Any, Protocol


class GuardedConnection(Protocol):
    """What `closes_connection_on_error` asks of a connection."""

    def close_on_error(self, where: str, error: BaseException) -> None:
        """Count and log the error, settle what hangs on the connection, and close it."""


def closes_connection_on_error(
    callback: Callable[..., None],
) -> Callable[..., None]:
    """A method whose exception ends its connection; for callbacks off the hot path.

    Of the callbacks the loop itself guards data_received and eof_received: it closes the
    transport and tells connection_lost of the error (uvloop 0.23.0, handles/stream.pyx).
    """

    @wraps(callback)
    def guarded(self: GuardedConnection, *args: Any) -> None:
        try:
            callback(self, *args)
        except Exception as err:
            self.close_on_error(callback.__name__, err)

    return guarded
