"""Interfaces between the node and the parts around it: callers, backend connections, members.

The node handles a request by its class, key, deadline and timing. The content of a request is
read only by the connection pool of its protocol. Support for another protocol therefore needs
another `Caller` and another `ConnectionPool`, and no change in the node. Those for HTTP are in
`server` and `upstream`, the `MemberSource` is in `discovery`, and `http_node` connects them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from flinthatch import Listing
from flinthatch.attempt_timeout import Progress
from flinthatch.response_progress import ResponseProgress

if TYPE_CHECKING:
    from windrelay.node import Attempt


class Caller(Protocol):
    """The sender of a request, which gets its final answer.

    The node calls exactly one of these methods for a request, and calls it once. It calls none
    after `Node.client_gone` was called for the request.
    """

    def send_response(self, *response: Any) -> None:
        """Deliver a backend's response, in the form that the protocol's connection pool gives."""

    def refuse(self, retry_after: int) -> None:
        """Report that the request never ran.

        The caller may retry after `retry_after` nanoseconds; 0 stands for no advice.
        """

    def fail(self, late: bool) -> None:
        """Report that the request may have run, or that no backend could be tried.

        `late` tells that its deadline has passed.
        """

    def has_left(self) -> bool:
        """Return whether the caller has closed, as far as the system knows by now."""


class StreamingCaller(Caller, Protocol):
    """A caller that can receive a response while it still arrives from the backend.

    The sequence is one `begin_stream`, any number of `send_data`, and then either `end_stream`
    or `abort_stream`. After `begin_stream` no method of `Caller` is called.
    """

    def begin_stream(self, content_type: bytes, length: int, source: StreamSource) -> None:
        """Deliver the head of the response; `length` in bytes is -1 if it is not known yet."""

    def send_data(self, data: bytes) -> None:
        """Deliver the next part of the body."""

    def end_stream(self) -> None:
        """End a response that is complete."""

    def abort_stream(self) -> None:
        """End a response that stays incomplete, in a way that the caller can detect."""


class StreamSource(Protocol):
    """The connection from which a response is streamed; its receiver controls the flow."""

    def pause_reading(self) -> None:
        """Stop reading from the backend, because the caller receives more slowly."""

    def resume_reading(self) -> None:
        """Read from the backend again."""

    def cancel(self) -> None:
        """Drop the rest of the response, because its caller has left."""


class ParsedRequest(Protocol):
    """A request as its listener has parsed it; the node keeps it until its last attempt ends."""

    class_number: int
    tenant: int
    key: int
    cost_hint: int
    is_retry: bool
    timeout_ns: int  # counted from the arrival of the request
    request_id: bytes  # different for every request
    reserved_bytes: int  # part of the node's memory budget that the request holds


class AttemptHandle(Protocol):
    """The connection, or the place on a shared connection, that carries an attempt."""

    def abandon(self) -> bool:
        """Drop the attempt; a late response must reach nobody.

        Returns false if the last byte of the request was certainly never written.
        """

    def progress(self) -> Progress:
        """Return what the backend is seen to do for the attempt."""

    def is_request_delivered(self) -> bool:
        """Return whether the backend's system has the whole request, as far as this one knows."""

    def response_progress(self) -> ResponseProgress | None:
        """Return how a response comes that can be passed on, or is; None where there is none."""

    def pass_on(self) -> None:
        """Begin to pass on the response of which `response_progress` has told."""


class ConnectionPool(Protocol):
    """The connections to backends for one protocol; reports one outcome for each attempt."""

    descriptor_count: int  # descriptors in use, those of dials included

    def send(self, attempt: Attempt) -> None:
        """Start an attempt and set `attempt.connection`, unless the attempt ends at once."""

    def drain_backend(self, backend: int) -> None:
        """Start no more attempts at a backend that has moved, drains, has left or is banned.

        Its idle connections are closed. Attempts that have not begun end as never run.
        """

    def close_oldest_idle(self) -> bool:
        """Close an idle connection to free its descriptor; returns false if none is idle."""

    def sweep(self, now: int) -> None:
        """Close connections that have been idle for too long; called periodically."""


class MemberSource(Protocol):
    """A source of the list of backends; reports each update to `Node.apply_member_update`."""

    def load_known_list(self, raw: Any) -> list[Listing]:
        """Read the list in a configuration; raises ValueError if it can't be used."""

    def watch(self) -> None:
        """Request changes of the list, again and again until a call fails."""

    def fetch(self) -> None:
        """Request the whole list."""

    def change_address(self, address: Any) -> None:
        """Continue at another address."""

    def close(self) -> None:
        """Stop, and report no more updates."""
