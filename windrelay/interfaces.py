"""What the node asks of whoever asks it, carries for it, and tells it of servers.

The node knows requests by class, key, deadline and time; what a request says is a message that
only the link for its protocol reads. A second protocol is a second caller and a second link:
nothing in the node changes for it. HTTP's are in `server` and `upstream`, the list's in
`discovery`; `http_node` puts them together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from flinthatch import Listing

if TYPE_CHECKING:
    from windrelay.node import Attempt


class Caller(Protocol):
    """Whoever asked. Exactly one of these is called for each request, and once; or none, where
    the caller has told `Node.client_gone` before."""

    def send_response(self, *answer: Any) -> None:
        """Served: what the link for the request's protocol got of a server."""

    def refuse(self, retry_after: int) -> None:
        """It never ran; it may come again after so many nanoseconds, 0 where nobody says when."""

    def fail(self, late: bool) -> None:
        """It may have run, or nobody could be asked; `late` where its time is over."""


class StreamingCaller(Caller, Protocol):
    """A caller that takes an answer as it comes: `begin`, `more` as often as it likes, and one
    of `finish` and `cut`. From `begin` on nothing else of Caller is called."""

    def begin_stream(self, content_type: bytes, length: int, source: StreamSource) -> None:
        """Served, and this is the answer's head; `length` is -1 where nobody knows it yet."""

    def send_data(self, data: bytes) -> None:
        """What comes next of its body."""

    def end_stream(self) -> None:
        """That was all of it."""

    def abort_stream(self) -> None:
        """No more of it comes, though it is not whole: the caller must be able to tell."""


class StreamSource(Protocol):
    """Where an answer comes from while it is passed on."""

    def pause_reading(self) -> None:
        """Read no more for now: the caller is slower."""

    def resume_reading(self) -> None:
        """Read again."""

    def cancel(self) -> None:
        """Nobody takes the rest any more."""


class ParsedRequest(Protocol):
    """A request as its front has read it; the node keeps it until the last attempt has ended."""

    class_number: int
    tenant: int
    key: int
    cost_hint: int
    is_retry: bool
    timeout_ns: int  # nanoseconds from its arrival
    request_id: bytes  # unlike that of any other request
    reserved_bytes: int  # bytes of the node's budget that it holds


class AttemptHandle(Protocol):
    """What carries one attempt at present."""

    def abandon(self) -> bool:
        """Let go: whatever comes late must reach nobody. False where the request's last byte
        was certainly never written."""


class ConnectionPool(Protocol):
    """Connections to servers, for one protocol. It concludes each attempt once."""

    descriptor_count: int  # descriptors, dials included

    def send(self, attempt: Attempt) -> None:
        """Carry it; `attempt.connection` is what does, unless it was concluded at once."""

    def drain_backend(self, backend: int) -> None:
        """A server has moved, drains, has left or is banned: begin nothing more there, keep
        nothing at rest for it; what has not begun never ran."""

    def close_oldest_idle(self) -> bool:
        """Give a descriptor back; False where none can be missed."""

    def sweep(self, now: int) -> None:
        """Now and then: give up what has rested for too long."""


class MemberSource(Protocol):
    """A source of servers; it tells `Node.members_told` of each update."""

    def load_known_list(self, raw: Any) -> list[Listing]:
        """The list that a configuration holds; ValueError where it can't be used."""

    def watch(self) -> None:
        """Ask for changes, until a call fails."""

    def fetch(self) -> None:
        """Ask for the whole list."""

    def change_address(self, address: Any) -> None:
        """Go on at another address."""

    def close(self) -> None:
        """Tell nothing any more."""
