"""A client's request while it is read, and which of its headers are read or forwarded."""

from __future__ import annotations

from windrelay.body_blocks import Block
from windrelay.chunked_framing import ChunkedFraming

# Request headers that are not forwarded: they concern one hop, or each attempt writes its own.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-connection",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"x-timeout-ms",
    )
)  # fmt: skip
# Request headers that the node reads itself. Each of them but Connection may appear only once.
INTERPRETED_HEADERS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"host", b"transfer-encoding", b"x-cost",
        b"x-priority-class", b"x-request-id", b"x-retried", b"x-tenant-id", b"x-timeout-ms",
    )
)  # fmt: skip


NO_HEADERS: dict[bytes, bytes] = {}  # shared by all requests whose headers are no longer needed


class BadRequest(Exception):
    """The request is rejected with this HTTP status, and its connection is closed."""

    def __init__(self, status: int, reason: object = "") -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A client's request while the node reads it, and for as long as the node keeps the request.

    `head` is the start of the message that each attempt sends, up to the value of X-Timeout-Ms.
    `began_ns` and `received_ns` are on the monotonic clock.
    """

    __slots__ = (
        "began_ns", "body", "body_size", "chunked", "class_number", "classes_version",
        "content_length", "cost_hint", "framing", "head", "header_lines", "headers", "is_http_1_0",
        "is_probe", "is_retry", "keep_alive", "key", "method", "received_ns", "request_id",
        "reserved_bytes", "reserved_head_bytes", "tenant", "timeout_ns", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.header_lines = bytearray()  # the fields that are forwarded
        self.headers: dict[bytes, bytes] = {}
        self.body: list[Block] = []
        self.body_size = 0
        self.framing: ChunkedFraming | None = None  # of a chunked body
        self.reserved_bytes = 0  # taken from the node's memory budget for a long head and the body
        self.reserved_head_bytes = 0  # the part of them that is for the head
        self.request_id = b""
        self.content_length = 0
        self.chunked = False
        self.head = b""
        self.keep_alive = True
        self.is_http_1_0 = False  # the response must not use chunked encoding
        self.is_probe = False
        self.class_number = 0
        self.tenant = 0
        self.key = 0  # CRC-32 of the path's last segment; 0 if there is none
        self.cost_hint = 0
        self.is_retry = False
        self.timeout_ns = 0
        self.began_ns = 0  # when its first bytes were there, at the latest
        self.received_ns = 0  # when its last bytes were there
        self.classes_version = 0  # version of Server's classes that the head was checked against
