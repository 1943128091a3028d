"""Connections from clients: accepting, reading requests, writing answers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import socket
import struct
import termios
import time
from collections.abc import Iterable, Mapping
from itertools import chain, islice
from typing import TYPE_CHECKING, Any, cast
from zlib import crc32

import httptools

from flinthatch import Effect, RequestClass
from windrelay.guard import closes_connection_on_error

if TYPE_CHECKING:
    from windrelay.config import Address
    from windrelay.interfaces import StreamSource
    from windrelay.node import Node, Request

MS = 1_000_000
MAX_HEAD = 16 << 10
MAX_BODY = 32 << 20  # the platform's bound
MAX_ID = 128
SMALL_BODY = 4 << 10  # never turned away for want of memory
AT_ONCE = 64 << 10  # reserved for a body as its head says; for a longer one as it comes
BACKLOG = 1024
ACCEPTS = 64  # in one turn of the loop
# Patience with slow clients, in sweeps: a node that was stopped for a while must
# not take its own absence for the clients'. A client that does not get to a whole
# request is owed an error or a close within 3 s of connecting.
SWEEP_INTERVAL_S = 0.25
SILENT_SWEEPS = 8  # connected and nothing said
REQUEST_SWEEPS = 9  # for a head, from connecting or a later request's first byte; then a body
# gets as many again, and one more for each so many bytes beyond the first that have come.
BODY_A_SWEEP = 8 << 10  # half of the slowest line there is
BODY_FREE = 32 << 10
IDLE_SWEEPS = 16  # kept open between requests; where descriptors are short ...
SHORT_IDLE_SWEEPS = 8  # ... only so long: less than 2 s is not allowed
# Of the descriptors: connections kept at rest. Clients that ask once and keep theirs fill
# their own share of places with connections that nobody uses, and then none can ask: with
# 130 of them at rest two of three requests found no connection. Past this part an answer
# says close. It could do harm where more clients than this ask in turn, each rarely: they
# connect anew, as they do after IDLE_SWEEPS.
SOCKETS_PER_IDLE_CLIENT = 6  # one in so many
EVACUATE_SWEEPS = 2  # from the call to the first closes: the front has seen a no by then
WRITE_SWEEPS = 12  # without a byte taken
LINGER_SWEEPS = 4
LINGER_BYTES = 64 << 10  # read and dropped; the rest is left with a client that goes on
SILENT_S = 0.03  # a client connects in order to ask: what then says nothing may go
# What accept says of the one connection it took from the queue (accept(2): errors that are
# pending on the new socket already are passed on, and to be treated like EAGAIN).
ACCEPT_RETRY_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.EPIPE, errno.ETIMEDOUT,
        errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH,
        errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM, errno.EINTR,
    )
)  # fmt: skip
EVICTED = 4  # connections given up at a time where a descriptor is wanted
LOOKED_AT = 16  # candidates for it

RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets the connection
TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED = struct.Struct("=52xI")
QUEUED = struct.Struct("i")

REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
EMPTY_RESPONSE_HEADS = {
    status: b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, reason)
    for status, reason in REASONS.items()
}
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"

# Of one hop only, or written anew for each attempt.
NOT_PASSED_ON = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-connection",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"x-timeout-ms",
    )
)  # fmt: skip
READ = frozenset(
    (
        b"connection", b"content-length", b"expect", b"host", b"transfer-encoding", b"x-cost",
        b"x-priority-class", b"x-request-id", b"x-retried", b"x-tenant-id", b"x-timeout-ms",
    )
)  # fmt: skip


READ_ALREADY: dict[bytes, bytes] = {}


class BadRequest(Exception):
    """The request gets this status and its connection is closed."""

    def __init__(self, status: int, why: object = "") -> None:
        super().__init__(why)
        self.status = status


class IncomingRequest:
    """A request as it is read; `head` is what each attempt starts with."""

    __slots__ = (
        "body", "body_size", "chunked", "class_number", "classes_version", "cost_hint", "head",
        "headers", "is_probe", "is_retry", "keep_alive", "key", "length", "lines", "method",
        "old", "received", "request_id", "reserved_bytes", "tenant", "timeout_ns", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.lines: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.body_size = 0
        self.reserved_bytes = 0  # bytes of the node's budget
        self.request_id = b""
        self.length = 0
        self.chunked = False
        self.head = b""
        self.keep_alive = True
        self.old = False  # of HTTP/1.0: its answer knows no chunks
        self.is_probe = False
        self.class_number = 0
        self.tenant = 0
        self.key = 0
        self.cost_hint = 0
        self.is_retry = False
        self.timeout_ns = 0
        self.received = 0
        self.classes_version = 0  # of the classes that its head was held against


class ClientConnection(asyncio.Protocol):
    """One client's connection; it carries one request at a time."""

    __slots__ = (
        "_chunked", "_closing", "_dropped", "_eof", "_head_size", "_headers_done", "_incoming",
        "_keep_alive", "_lingering", "_old", "_parser", "_progress", "_request", "_server",
        "_since", "_sock", "_source", "_transport", "_unframed", "_whole", "_write_since",
        "counted",
    )  # fmt: skip

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self.counted = True  # among the node's clients, until it is lost
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: IncomingRequest | None = None
        self._whole: IncomingRequest | None = None  # read, and not begun yet
        self._request: Request | None = None
        self._headers_done = False
        self._head_size = 0
        self._keep_alive = True
        self._eof = False
        self._lingering = False
        self._dropped = 0  # bytes, while lingering
        self._since = server.sweeps  # when it connected, began to ask, to rest or to linger
        self._write_since = 0
        self._progress = (0, 0)
        self._source: StreamSource | None = None  # of the answer that is passed on
        self._chunked = False  # that answer goes in chunks
        self._unframed = False  # or till the connection's end
        self._closing = False  # and the connection ends behind it
        self._old = False  # the client speaks HTTP/1.0

    # ---- reading ------------------------------------------------------

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not self.counted:
            cast(asyncio.Transport, transport).abort()  # its welcome was given up
            return
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self._server.connections.add(self)
        self._server.awaiting_first_request[self] = self._server.node.loop.time()

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Lingering. A client that goes on sending 60 MB has its answer before it:
            # reading all that would cost more than a hundred requests.
            self._dropped += len(data)
            if self._dropped > LINGER_BYTES:
                self._pause_reading()
            return
        if not self._headers_done:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if isinstance(cause, BadRequest):
                self._reject(cause.status, cause)
            else:
                self.close_on_error("reading a request", cause or err)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._reject(400, err)
            return
        whole, self._whole = self._whole, None
        if whole is not None:
            try:
                self._start_request(whole)
            except Exception as err:
                self.close_on_error("a request", err)
        elif not self._headers_done and self._head_size > MAX_HEAD:
            self._reject(431)

    def on_message_begin(self) -> None:
        if self._request is not None or self._whole is not None:
            # Clients send one request at a time. Whoever sends more has not been told
            # how the first ended, and what looks like the next may have been hidden in
            # the first one's body: none of it is served. It could harm clients that
            # pipeline, which the protocol does not know.
            raise BadRequest(400, "a request ahead of the answer")
        self._incoming = IncomingRequest()
        self._headers_done = False
        if self._server.awaiting_first_request.pop(self, None) is None:  # not its first request
            self._since = self._server.sweeps
        self._server.idle.pop(self, None)

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self._incoming
        if incoming is None or self._headers_done:
            return  # a trailer
        lower = name.lower()
        # The parser leaves the white space that may follow a value: taken as part
        # of it, a class or a number was not known.
        value = value.strip(b" \t")
        if lower in READ:
            if lower in incoming.headers and lower != b"connection":
                raise BadRequest(400, f"{lower!r} twice")  # which of the two would be meant?
            incoming.headers[lower] = value
        if lower not in NOT_PASSED_ON:
            incoming.lines.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        incoming, parser = self._incoming, self._parser
        assert incoming is not None and parser is not None
        self._headers_done = True
        self._head_size = 0
        if incoming.url[:7].lower() == b"http://":
            # A proxy must take the absolute form; backends get the path alone.
            incoming.url = b"/" + incoming.url[7:].partition(b"/")[2]
        incoming.method = parser.get_method()
        incoming.keep_alive = parser.should_keep_alive()
        incoming.old = parser.get_http_version() == "1.0"
        if parser.should_upgrade():
            raise BadRequest(400, "upgrade")  # the parser would not read its body
        size = len(incoming.url) + sum(map(len, incoming.lines))
        if size > MAX_HEAD:
            raise BadRequest(431)
        self._server.read_head(incoming)
        if incoming.length > MAX_BODY:
            raise BadRequest(413)
        if incoming.length > AT_ONCE:
            self._fits(incoming.length)
        else:
            self._reserve(incoming, incoming.length)
        if incoming.length or incoming.chunked:
            self._since = self._server.sweeps
        if (incoming.length or incoming.chunked) and (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
        ):
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve(self, incoming: IncomingRequest, size: int) -> None:
        """Take so many bytes of the budget, as the head says or as chunks come.

        A crowd of bodies that fit one by one must not take the node's memory. None of
        them was sent on, so they are refused, and small ones always pass.
        """
        more = size - incoming.reserved_bytes
        if more <= 0:
            return
        if size > SMALL_BODY:
            self._fits(more)
        self._server.node.budget.reserve(more)
        incoming.reserved_bytes = size

    def _fits(self, more: int) -> None:
        if not self._server.node.budget.has_room(more):
            raise BadRequest(503, "no memory for its body")

    def on_body(self, body: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.body_size += len(body)
        if incoming.body_size > MAX_BODY:
            raise BadRequest(413)
        self._reserve(incoming, incoming.body_size)
        incoming.body.append(body)

    def on_message_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._headers_done = False
        self._head_size = 0
        # What waited in the kernel while the loop was busy is the client's time.
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (unread_ms,) = LAST_DATA_RECEIVED.unpack(info)
        incoming.received = time.monotonic_ns() - unread_ms * MS
        if not incoming.is_probe:
            if incoming.method == b"POST" or incoming.body_size:
                incoming.lines.append(b"Content-Length: %d\r\n" % incoming.body_size)
            lines = b"".join(incoming.lines)
            incoming.head = b"%s %s HTTP/1.1\r\n%sX-Timeout-Ms: " % (
                incoming.method,
                incoming.url,
                lines,
            )
        incoming.lines = []
        # Begun once all that came with it has been read: it may not be alone.
        self._whole = incoming

    def _revalidate_head(self, incoming: IncomingRequest) -> bool:
        """Hold the head against the classes again where they have changed since it was read:
        its body was slow. False where it was turned away for it."""
        server = self._server
        if incoming.classes_version == server.classes_version or incoming.is_probe:
            return True
        try:
            server.read_head(incoming)
        except BadRequest as err:
            server.node.budget.release(incoming.reserved_bytes)
            self._reject(err.status, err)
            return False
        return True

    def _start_request(self, incoming: IncomingRequest) -> None:
        if not self._revalidate_head(incoming):
            return
        self._keep_alive = incoming.keep_alive
        self._old = incoming.old
        node = self._server.node
        if incoming.is_probe:
            server = self._server
            self._write_head(
                EMPTY_RESPONSE_HEADS[503] if server.stopping or server.evacuated else READY
            )
            return
        if self._server.refusing_requests:
            node.budget.release(incoming.reserved_bytes)
            self.send_empty_response(503, 0)
            return
        if node.is_repeated(incoming.request_id):
            node.budget.release(incoming.reserved_bytes)
            self._reject(400, "the id of another request")
            return
        incoming.headers = READ_ALREADY  # the rest is kept as long as the request is
        waited = time.monotonic_ns() - incoming.received
        # Set first: the answer may come before the call returns.
        request = node.start_request(self, incoming, waited)
        if request is None:
            node.budget.release(incoming.reserved_bytes)
            self.send_empty_response(503, 0)
        elif not request.ended:
            self._request = request

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    # ---- answering ----------------------------------------------------

    def send_response(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """The whole answer of a backend."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_head(head, chunks)

    # ---- passing an answer on (interfaces.StreamingCaller) --------------------------

    def begin_stream(self, content_type: bytes, length: int, source: StreamSource) -> None:
        transport = self._transport
        if transport is None or self._lingering or transport.is_closing():
            return  # gone; connection_lost tells the source
        self._source = source
        self._unframed = length < 0 and self._old
        self._chunked = length < 0 and not self._old
        self._closing = self._unframed or self._closes()
        head = b"HTTP/1.1 200 OK\r\n"
        if length >= 0:
            head += b"Content-Length: %d\r\n" % length
        elif self._chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        transport.write(head + (b"Connection: close\r\n\r\n" if self._closing else b"\r\n"))

    def send_data(self, data: bytes) -> None:
        transport = self._transport
        if self._source is None or transport is None or transport.is_closing():
            return
        if self._chunked:
            transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        else:
            transport.write(data)

    def end_stream(self) -> None:
        transport = self._transport
        if self._source is None or transport is None or transport.is_closing():
            return
        self._source = None
        self._request = None
        if self._chunked:
            transport.write(b"0\r\n\r\n")
        # Nothing more comes of a client that has ended its sending meanwhile.
        self._answered(self._closing or self._eof)

    def abort_stream(self) -> None:
        source, self._source = self._source, None
        self._request = None
        if self._transport is not None:
            if source is not None and self._unframed:
                # Nothing but a reset tells it from an answer that is whole.
                with contextlib.suppress(OSError):
                    self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self._transport.abort()

    def pause_writing(self) -> None:
        if self._source is not None:
            self._source.pause_reading()

    def resume_writing(self) -> None:
        if self._source is not None:
            self._source.resume_reading()

    def send_empty_response(self, status: int, retry_after: int) -> None:
        head = EMPTY_RESPONSE_HEADS[status]
        if retry_after:
            head += b"Retry-After: %.3f\r\n" % (retry_after / 1e9)
        self._write_head(head)

    def refuse(self, retry_after: int) -> None:
        self.send_empty_response(503, retry_after)

    def fail(self, late: bool) -> None:
        self.send_empty_response(504 if late else 502, 0)

    def _closes(self) -> bool:
        server = self._server
        return (
            not self._keep_alive
            or len(server.idle) * SOCKETS_PER_IDLE_CLIENT >= server.node.max_connections
            or self._eof
            or server.stopping
            or server.evacuated
        )

    def _write_head(self, head: bytes, chunks: list[bytes] | None = None) -> None:
        """Write an answer that is whole, and go on to what follows it."""
        self._request = None
        transport = self._transport
        if transport is None or self._lingering or transport.is_closing():
            return  # gone, or it has had its one answer
        closes = self._closes()
        end = b"Connection: close\r\n\r\n" if closes else b"\r\n"
        transport.write(b"".join((head, end, *chunks)) if chunks else head + end)
        self._answered(closes)

    def _answered(self, closes: bool) -> None:
        if closes:
            self._end()
        else:
            self._since = self._server.sweeps
            self._server.idle[self] = None

    def close_on_error(self, where: str, error: BaseException) -> None:
        """An exception in a callback: its client is told of a failure, and the connection ends."""
        self._server.node.record_error(where, error)
        if self._transport is not None:
            try:
                self._reject(500, where)
            except Exception as err:
                self._server.node.record_error("a rejection", err)
                self._transport.abort()

    def _reject(self, status: int, why: object = "") -> None:
        """Answer what can't be read as a request, and close."""
        self._server.turned_away(status, why)
        self._drop_incoming()
        self._parser = None
        if self._source is not None:
            # In the middle of an answer nothing else can be told, and no more of it is taken.
            assert self._transport is not None
            self._transport.abort()
            return
        # A request open before it gets this answer too, and no other.
        request, self._request = self._request, None
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(EMPTY_RESPONSE_HEADS[status] + b"Connection: close\r\n\r\n")
            self._end()
        if request is not None:
            self._server.node.client_gone(request)

    def _end(self) -> None:
        """Close once the client has: closing on unread bytes would reset the connection,
        and the reset could reach the client before the answer does."""
        transport = self._transport
        assert transport is not None
        self._server.rests_no_more(self)
        self._drop_incoming()
        self._parser = None
        if self._eof:
            transport.close()
            return
        self._lingering = True
        self._server.lingering[self] = None
        self._since = self._server.sweeps
        transport.write_eof()

    def _drop_incoming(self) -> None:
        for incoming in (self._incoming, self._whole):
            if incoming is not None:
                self._server.node.budget.release(incoming.reserved_bytes)
        self._incoming = self._whole = None

    # ---- ends ---------------------------------------------------------

    def eof_received(self) -> bool:
        # A client that has ended its sending may still wait for its answer, and one that
        # has closed reads none. They look alike: nothing new is begun for either, and both
        # get an answer.
        self._eof = True
        if self._request is not None:
            self._server.node.client_half_closed(self._request)
        return self._request is not None

    @closes_connection_on_error
    def connection_lost(self, exc: Exception | None) -> None:
        if not self.counted:
            return
        self.counted = False
        server = self._server
        self._transport = None
        self._parser = None
        try:
            server.connections.discard(self)
            server.rests_no_more(self)
            self._drop_incoming()
            request, self._request = self._request, None
            source, self._source = self._source, None
            if request is not None:
                server.node.client_gone(request)
            if source is not None:
                source.cancel()
        finally:
            server.node.client_count -= 1
            server.node.on_descriptor_freed()

    def resting(self) -> bool:
        """Whether it can be closed without harm: nothing under way either way."""
        transport = self._transport
        if (
            transport is None
            or self._request is not None
            or self._incoming is not None
            or transport.get_write_buffer_size()
        ):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return True
        return False  # a request lies unread

    def rested(self, sweeps: int) -> bool:
        """Whether it has said nothing for so many sweeps."""
        return self._server.sweeps - self._since >= sweeps

    def finished(self) -> bool:
        """Whether a stop need not wait for it: closed, or its last answer written."""
        transport = self._transport
        return transport is None or (
            (self._lingering or transport.is_closing()) and not transport.get_write_buffer_size()
        )

    def close(self) -> None:
        if self._transport is not None:
            self._server.rests_no_more(self)
            if self._lingering:
                self._transport.abort()
            else:
                self._transport.close()

    def sweep(self, sweep: int) -> None:
        """Give up a client that has stopped sending or taking bytes."""
        transport = self._transport
        if transport is None:
            return
        waiting = transport.get_write_buffer_size()
        if self._lingering and not waiting and sweep - self._since > LINGER_SWEEPS:
            transport.abort()
            return
        incoming = self._incoming
        if incoming is not None and sweep - self._since > REQUEST_SWEEPS:
            more = max(incoming.body_size - BODY_FREE, 0) // BODY_A_SWEEP
            if sweep - self._since > REQUEST_SWEEPS + more:
                self._reject(408, "not whole in time")
                return
        if not waiting:
            self._write_since = sweep
            return
        queued = QUEUED.unpack(fcntl.ioctl(self._sock, termios.TIOCOUTQ, bytes(4)))[0]
        if (waiting, queued) != self._progress:
            self._progress = (waiting, queued)
            self._write_since = sweep
        elif sweep - self._write_since > WRITE_SWEEPS:
            # A reader that takes nothing holds a descriptor and a buffer for good.
            transport.abort()


class Server:
    """The listening socket and all client connections."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.connections: set[ClientConnection] = set()
        # What can be given up, longest first: those that never asked, that rest between
        # requests, and that have their last answer.
        self.awaiting_first_request: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}
        self.sweeps = 0
        self.classes_version = 0  # grows with each new numbering of the classes
        self.stopping = False
        self.refusing_requests = False  # the process is about to end: nothing more is begun
        self.evacuated = False  # by an operator's word, until another
        self._evacuated_since = 0
        self.handed = False  # a successor takes clients from the same socket
        self._accept_paused = False
        self._retry: asyncio.TimerHandle | None = None
        self._turned_away = 0
        self._why = ""
        self._accept_tasks: set[asyncio.Task[Any]] = set()
        self._listener: socket.socket | None = None
        settings = node.config.settings
        self.set_classes(settings.classes, {c.name: i for i, c in enumerate(settings.classes)})
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        node.on_descriptor_freed = self.freed
        node.evict = self.evict

    def set_classes(self, classes: Iterable[RequestClass], numbers: Mapping[str, int]) -> None:
        """What a head is held against: the classes, and the numbers they are told by."""
        self.classes_version += 1
        rows = {numbers[c.name]: c for c in classes}
        self._classes = {c.name.encode(): i for i, c in rows.items()}
        self._deadlines = {i: c.deadline for i, c in rows.items()}
        self._methods = {i: b"GET" if c.effect == Effect.PURE else b"POST" for i, c in rows.items()}

    def listen(self, address: Address, reuse_port: bool = False) -> int:
        """Take connections at this address; returns the port.

        With `reuse_port` another process of ours may listen there too, see `handover`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if reuse_port:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        return self.listen_on(sock)

    def listen_on(self, sock: socket.socket) -> int:
        """Take connections from this socket, which listens already; returns the port."""
        self._listener = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        return self._listener

    def hand_over(self) -> None:
        """Take no more clients: a successor does, from the same socket, and none is turned away."""
        if not self.handed and self._listener is not None:
            self.handed = True
            self.node.loop.remove_reader(self._listener)

    def undo_hand_over(self) -> None:
        """The successor has ended before us."""
        if self.handed and self._listener is not None:
            self.handed = False
            self._accept_paused = False
            self.node.loop.add_reader(self._listener, self._accept)

    def evacuate(self) -> None:
        """Say no to the front, close what rests, and each connection with its next answer."""
        if not self.evacuated:
            self.evacuated = True
            self._evacuated_since = self.sweeps

    def activate(self) -> None:
        self.evacuated = False

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._listener is None or self.handed or not self._room():
                return
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as err:
                if err.errno in ACCEPT_RETRY_ERRNOS:
                    continue  # one that waited has gone; those behind it have not
                # Descriptors are budgeted, but the system may be short of other
                # things: the accept loop must outlive that.
                self.node.log(f"accept: {err}")
                self._pause()
                return
            self.node.client_count += 1
            sock.setblocking(False)
            self._attach_transport(sock, ClientConnection(self, sock))

    def _attach_transport(self, sock: socket.socket, conn: ClientConnection) -> None:
        """Hand an accepted socket over to a transport; see `socket_view` for who owns it when."""
        loop = self.node.loop
        task = loop.create_task(loop.connect_accepted_socket(lambda: conn, sock))
        self._accept_tasks.add(task)
        task.add_done_callback(lambda task: self._welcomed(task, sock, conn))

    def _welcomed(
        self, task: asyncio.Task[Any], sock: socket.socket, conn: ClientConnection
    ) -> None:
        """Not within the task: one that is cancelled before its first turn runs none of itself."""
        self._accept_tasks.discard(task)
        err = None if task.cancelled() else task.exception()
        if not task.cancelled() and err is None:
            return
        # Closed here where the loop had not taken it; where it had, nothing is left.
        sock.close()
        conn.connection_lost(None)  # the loop may tell it, and may not
        if isinstance(err, OSError):
            self.node.log(f"welcome: {err}")
        elif err is not None:
            self.node.record_error("a welcome", err)

    def _room(self) -> bool:
        """Room for one more; else what can best be missed goes, and the next waits its turn."""
        if self.node.has_room_for_client():
            return True
        self._pause()
        self.make_room()
        return False

    def make_room(self) -> None:
        if not self.evict():
            self.node.upstream.close_oldest_idle()

    def _pause(self) -> None:
        if self._listener is not None and not self._accept_paused and not self.handed:
            self._accept_paused = True
            self.node.loop.remove_reader(self._listener)
            if self._retry is None:
                self._retry = self.node.loop.call_later(SILENT_S, self._again)

    def _again(self) -> None:
        """Nothing may come free by itself while all that wait are behind silent ones."""
        self._retry = None
        try:
            self.freed()
            if self._accept_paused and self._listener is not None and not self.handed:
                self.make_room()
        finally:
            if self._accept_paused and self._listener is not None and not self.handed:
                self._retry = self.node.loop.call_later(SILENT_S, self._again)

    def freed(self) -> None:
        """A descriptor has come free: accept again."""
        if self.handed:
            return
        if self._accept_paused and self._listener is not None and self.node.has_room_for_client():
            self._accept_paused = False
            self.node.loop.add_reader(self._listener, self._accept)

    def evict(self) -> bool:
        """Close the connections that can best be missed; False where there are none.

        Those that have their answer first, then those that connected and said nothing,
        then those that rest longest. A client that asks slowly over a bad line could be
        met by it, and connects again.
        """
        found = 0
        before = self.node.loop.time() - SILENT_S
        silent = (conn for conn, since in self.awaiting_first_request.items() if since < before)
        for conn in list(islice(chain(self.lingering, silent, self.idle), LOOKED_AT)):
            if conn in self.lingering or conn.resting():
                conn.close()
                found += 1
                if found == EVICTED:
                    break
        return found > 0

    def rests_no_more(self, conn: ClientConnection) -> None:
        self.awaiting_first_request.pop(conn, None)
        self.idle.pop(conn, None)
        self.lingering.pop(conn, None)

    def turned_away(self, status: int, why: object) -> None:
        self._turned_away += 1
        self._why = f"{status} {why}"

    def sweep(self) -> None:
        self.sweeps += 1
        if self._turned_away:
            # One line for all of a sweep: some clients come again at once.
            self.node.log(f"{self._turned_away} clients turned away, the last: {self._why}")
            self._turned_away = 0
        for conn in list(self.connections):
            try:
                conn.sweep(self.sweeps)
            except Exception as err:
                conn.close_on_error("a sweep", err)
        self.close_rested(self.awaiting_first_request, SILENT_SWEEPS)
        # Clients that asked once and stay cost memory and a descriptor each, for good.
        short = 2 * self.node.client_count > self.node.max_connections
        self.close_rested(self.idle, SHORT_IDLE_SWEEPS if short else IDLE_SWEEPS)
        if self.evacuated and self.sweeps - self._evacuated_since >= EVACUATE_SWEEPS:
            self.close_resting()

    def close_resting(self) -> None:
        """Close all that nothing is under way on, but for those just made: they are about to ask.

        The front goes on sending connections for a moment after it was told no.
        """
        for conn in [*self.idle, *(c for c in self.awaiting_first_request if c.rested(2))]:
            if conn.resting():
                conn.close()

    def close_rested(self, among: Iterable[ClientConnection], sweeps: int) -> None:
        for conn in list(among):
            if not conn.rested(sweeps):
                break  # so have those behind it
            if conn.resting():
                conn.close()

    # ---- stopping -----------------------------------------------------

    def stop_accepting(self) -> bool:
        """Take in what the kernel has accepted for us, then listen no more.

        False where descriptors are too short for that by now: what waits would be reset.
        """
        sock = self._listener
        if sock is None:
            return True
        if not self.handed:
            for _ in range(BACKLOG // ACCEPTS):
                self._accept()
            if self._accept_paused:
                return False
            self._pause()
        self._listener = None
        sock.close()
        return True

    def try_finish(self) -> bool:
        """Whether a stop can end: nothing is open and nothing lies unread.

        A connection at rest is closed, and only then: a kept one may carry another
        request until it is, and one just made is about to.
        """
        self.close_resting()
        return not self._accept_tasks and all(conn.finished() for conn in self.connections)

    # ---- heads --------------------------------------------------------

    def read_head(self, incoming: IncomingRequest) -> None:
        """Check a head and fill in what the module wants to know; BadRequest if it is unfit."""
        fields = incoming.headers
        incoming.classes_version = self.classes_version
        path = incoming.url.partition(b"?")[0]
        coding = fields.get(b"transfer-encoding")
        incoming.chunked = coding is not None
        if coding is not None and (b"content-length" in fields or coding.lower() != b"chunked"):
            # Where two lengths differ another request may hide in the body. The parser
            # refuses these too; the rule must not hang on its mode.
            raise BadRequest(400, "length in doubt")
        length = fields.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 18:
            raise BadRequest(400, f"length {length[:20]!r}")
        incoming.length = int(length)
        parts = path.split(b"/")
        if path == b"/health/ready":
            incoming.is_probe = True
            if incoming.method != b"GET" or incoming.length or incoming.chunked:
                raise BadRequest(400)
            return
        if not incoming.url.isascii() or any(c <= 0x20 or c == 0x7F for c in incoming.url):
            raise BadRequest(400, "path")
        cls = self._classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if cls is None:
            raise BadRequest(404)
        # The method follows from the class: backends turn away what does not fit.
        if incoming.method != self._methods[cls]:
            raise BadRequest(405)
        if incoming.method == b"GET" and (incoming.length or incoming.chunked):
            raise BadRequest(400, "GET with a body")
        if fields.get(b"x-priority-class") != parts[1]:
            raise BadRequest(400, f"class {fields.get(b'x-priority-class', b'')[:40]!r}")
        rid = incoming.request_id = fields.get(b"x-request-id", b"")
        if not rid or len(rid) > MAX_ID or b"host" not in fields:
            raise BadRequest(400, "no id or no host")
        if self._tenants:
            tenant = self._tenants.get(fields.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequest(400, "tenant")
            incoming.tenant = tenant
        timeout = fields.get(b"x-timeout-ms", b"")
        if not timeout.isdigit() or len(timeout) > 12 or not int(timeout):
            raise BadRequest(400, f"timeout {timeout[:20]!r}")
        incoming.class_number = cls
        incoming.timeout_ns = min(int(timeout) * MS, self._deadlines[cls])
        if len(parts) > 2 and parts[-1]:
            incoming.key = crc32(parts[-1]) or 1
        cost = fields.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= 12:
            incoming.cost_hint = int(cost) * 1000
        incoming.is_retry = fields.get(b"x-retried") == b"1"
