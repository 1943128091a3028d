"""Client connections of the node: accepting them, reading requests, writing responses."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time
from collections.abc import Iterable, Mapping
from itertools import chain, islice
from typing import TYPE_CHECKING, Any, cast
from zlib import crc32

import httptools

from flinthatch import Effect, RequestClass
from windrelay.body_blocks import Block, append_piece
from windrelay.chunked_framing import ChunkedFraming, FramingTooLong, TooManyPieces
from windrelay.guard import closes_connection_on_error
from windrelay.incoming_request import (
    INTERPRETED_HEADERS,
    NO_HEADERS,
    NOT_FORWARDED_HEADERS,
    BadRequest,
    IncomingRequest,
)
from windrelay.node import UNNOTICED_CLOSE_NS
from windrelay.paced_protocol import SLICE_BYTES, PacedProtocol
from windrelay.rejection_log import ClientCloseReason, ReasonCounts, RejectionLog
from windrelay.socket_view import LINGER_RESET, has_unread_data, unacknowledged_bytes

if TYPE_CHECKING:
    from windrelay.config import Address
    from windrelay.interfaces import StreamSource
    from windrelay.node import Node, Request

NS_PER_MS = 1_000_000
MAX_HEAD_BYTES = 16 << 10
MAX_BODY_BYTES = 32 << 20  # the platform's limit for a request body
MAX_REQUEST_ID_BYTES = 128
SMALL_MESSAGE_BYTES = 1 << 10  # a head or a body up to this size needs no room in the budget
REQUEST_BYTES = 4 << 10  # of the objects that a request takes from its start to its last outcome
# Memory for a body up to this Content-Length is reserved when the head is read; memory for a
# longer body is reserved as the body arrives.
MAX_UPFRONT_RESERVE_BYTES = 64 << 10
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # connections accepted in one turn of the event loop
# Time-outs of slow clients are counted in sweeps and not in seconds: a node whose process was
# stopped for a while must not close connections because of its own absence. A client that does
# not complete a request must get an error or a close within 3 s of connecting.
SWEEP_INTERVAL_S = 0.25
FIRST_BYTE_TIMEOUT_SWEEPS = 8  # longest wait from connecting to the first byte of a request
# A head must be complete within this time, counted from connecting or, for a later request, from
# the request's first byte. A body gets the same time from the end of its head, and one more sweep
# for each BODY_BYTES_PER_SWEEP received, but never more than this in advance: a client that stops
# in the middle of a body of any length is rejected after this time.
REQUEST_READ_TIMEOUT_SWEEPS = 9
BODY_BYTES_PER_SWEEP = 8 << 10  # half of what the slowest client line carries in a sweep
IDLE_TIMEOUT_SWEEPS = 16  # a connection without a request is kept open this long
SHORT_IDLE_TIMEOUT_SWEEPS = 8  # idle timeout while descriptors are short; 2 s is the least allowed
# The node keeps at most one idle client connection per this many descriptors; beyond that a
# response carries `Connection: close`. Otherwise clients that send one request and stay connected
# fill the clients' share of the descriptors with unused connections: with 130 idle connections,
# two of three requests found no connection. The limit could do harm where more clients than it
# allows send requests in turn and rarely: they connect again for each request, as they do after
# IDLE_TIMEOUT_SWEEPS.
SOCKETS_PER_IDLE_CLIENT = 6
# From an `evacuate` call to the first closes of idle connections. By then the front-end load
# balancer has seen a readiness probe fail.
EVACUATION_DELAY_SWEEPS = 2
WRITE_TIMEOUT_SWEEPS = 12  # a client that takes no byte of its response for this long is cut off
LINGER_TIMEOUT_SWEEPS = 4  # longest wait for the client's close after the last response
# Bytes read and discarded during a lingering close. After that the node stops reading, and what
# the client still sends stays in the client's own send buffer.
MAX_LINGER_BYTES = 64 << 10
# A connection on which the client has sent nothing for this long may be evicted: a client connects
# in order to send a request at once. A paused accept loop is retried at the same interval.
EVICTABLE_SILENCE_S = 0.03
# Errors of accept that concern only the connection at the head of the queue, after which accept is
# called again: accept(2) passes on errors that are already pending on the new socket, and says to
# treat them like EAGAIN.
ACCEPT_RETRY_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.EPIPE, errno.ETIMEDOUT,
        errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH,
        errno.ENOPROTOOPT, errno.EOPNOTSUPP, errno.EPERM, errno.EINTR,
    )
)  # fmt: skip
MAX_EVICTIONS = 4  # connections closed at a time when a descriptor is needed
MAX_EVICTION_CANDIDATES = 16  # connections examined at a time for eviction
# A client that has sent a part of a request and then nothing for this long may be evicted, where no
# other connection can be.
STALLED_MS = 500
MAX_STALLED_EVICTIONS = 32  # at a time: such clients come in great numbers

TCP_INFO_BYTES = 56  # the part of struct tcp_info that ends with tcpi_last_data_recv
TCP_INFO_LAST_DATA_RECV = struct.Struct("=52xI")  # milliseconds since data last arrived
TCP_ESTABLISHED = 1  # the value of tcpi_state, the first byte of struct tcp_info

REASON_PHRASES = {
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
    status: b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n" % (status, phrase)
    for status, phrase in REASON_PHRASES.items()
}
READY_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"


class ClientConnection(PacedProtocol):
    """A connection from a client, which carries one request at a time.

    Implements interfaces.StreamingCaller for the request under way.
    """

    __slots__ = (
        "_bytes_since_sweep", "_close_after_response", "_complete_request", "_data_arrived_ns",
        "_delimited_by_close", "_discarded_bytes",
        "_half_closed", "_head_bytes", "_headers_done", "_incoming", "_is_http_1_0",
        "_keep_alive", "_last_write_bytes", "_last_write_sweep", "_lingering", "_parser",
        "_piece_count", "_reading_held", "_request", "_response_chunked",
        "_server", "_since_sweep", "_sock", "_source", "_sweeps_left",
        "_transport", "_unsent_bytes", "_unsent_sizes", "is_counted",
    )  # fmt: skip

    def __init__(self, server: Server, sock: socket.socket) -> None:
        super().__init__(server.node.turn_queue)
        self._server = server
        self._sock = sock
        self.is_counted = True  # included in node.client_count until the connection is lost
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: IncomingRequest | None = None
        self._complete_request: IncomingRequest | None = None  # read completely, not started yet
        self._request: Request | None = None
        self._headers_done = False
        self._head_bytes = 0
        self._piece_count = 0  # of a body, in the data that is parsed at present
        self._keep_alive = True
        self._half_closed = False
        self._lingering = False
        self._data_arrived_ns = 0  # when the data of the last read had come, on the monotonic clock
        self._bytes_since_sweep = 0
        self._sweeps_left = 0  # until a body that is being received is overdue
        self._discarded_bytes = 0  # received during the lingering close
        # Number of the sweep at which the connection's present phase began: connecting, reading
        # a head or a body, idling or lingering.
        self._since_sweep = server.sweep_count
        self._last_write_sweep = 0  # last sweep that found nothing unsent, or progress
        self._last_write_bytes = 0  # which the transport keeps whole until all of them have left
        self._unsent_bytes = 0  # buffered by the transport, as counted in the memory budget
        self._reading_held = False  # until the last response has left the transport
        self._unsent_sizes = (0, 0)  # bytes buffered by the transport, unacknowledged in the kernel
        self._source: StreamSource | None = None  # source of the response that is being streamed
        self._response_chunked = False  # the streamed response uses chunked encoding
        self._delimited_by_close = False  # the streamed response ends where the connection ends
        self._close_after_response = False
        self._is_http_1_0 = False

    # ---- reading ------------------------------------------------------

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not self.is_counted:
            # _check_attached has already reported this connection as lost.
            cast(asyncio.Transport, transport).abort()
            return
        self._transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0 the transport calls pause_writing as soon as it buffers
        # anything, and resume_writing once all has left.
        self._transport.set_write_buffer_limits(high=0)
        self._note_data_arrival()
        self._parser = httptools.HttpRequestParser(self)
        self._server.connections.add(self)
        self._server.awaiting_first_request[self] = self._server.node.loop.time()

    def get_buffer(self, sizehint: int) -> memoryview:
        self._note_data_arrival()
        return super().get_buffer(sizehint)

    def _note_data_arrival(self) -> None:
        """Take the time at which the data that waits in the kernel had come."""
        self._data_arrived_ns = time.monotonic_ns() - self._milliseconds_since_data() * NS_PER_MS

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Lingering close: the client has its response already. Reading the rest of a 60 MB
            # body would cost more than a hundred requests.
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_LINGER_BYTES:
                self._set_reading(False)
            return
        self._bytes_since_sweep += len(data)
        self._receive(data)

    def _parse(self, data: bytes | memoryview) -> bool:
        parser, incoming = self._parser, self._incoming
        if parser is None:
            return False
        framing = incoming.framing if incoming is not None else None
        body_bytes_before = incoming.body_size if incoming is not None else 0
        self._piece_count = 0
        if not self._headers_done:
            self._head_bytes += len(data)
        try:
            parser.feed_data(data)
            if not self._headers_done:
                self._check_unfinished_head()
            elif framing is not None and incoming is not None:
                framing.add(len(data), incoming.body_size - body_bytes_before, self._piece_count)
        except FramingTooLong as err:
            self._reject(400, err)
        except TooManyPieces as err:
            self._reject(413, err)
        except BadRequest as err:
            self._reject(err.status, err)
        except httptools.HttpParserCallbackError as err:
            self._reject_callback_error(err.__context__ or err)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._reject(400, err)
        else:
            return True
        return False

    def _reject_callback_error(self, cause: BaseException) -> None:
        """Reject the request in whose callback this exception was raised.

        A local variable of `_parse` must not hold the exception: its traceback refers to that
        frame, and the cycle would keep the data that was parsed until the garbage collector runs.
        """
        if isinstance(cause, BadRequest):
            self._reject(cause.status, cause)
        else:
            self.close_on_error("reading a request", cause)

    def _slice_size(self) -> int:
        incoming = self._incoming
        if incoming is None or not self._headers_done or incoming.chunked:
            return SLICE_BYTES
        return max(incoming.content_length - incoming.body_size, SLICE_BYTES)

    def _finish_turn(self, is_last: bool) -> None:
        """Start a request that is complete, once nothing more of what came with it is unparsed.

        Further bytes would be a second request, and neither would be served.
        """
        if not is_last:
            return
        incoming, self._complete_request = self._complete_request, None
        if incoming is not None:
            try:
                self._start_request(incoming)
            except Exception as err:
                self.close_on_error("starting a request", err)

    def _reject_unparsed(self) -> None:
        self._reject(503, "no memory for what it sends")

    def _paced_transport(self) -> asyncio.Transport | None:
        return None if self._reading_held else self._transport

    def _check_unfinished_head(self) -> None:
        """Raise BadRequest where a head of which the end has not come is too long."""
        if self._complete_request is not None:
            return
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequest(431)
        if self._incoming is not None:
            self._reserve_head_bytes(self._incoming, self._head_bytes)

    def on_message_begin(self) -> None:
        if self._request is not None or self._complete_request is not None:
            # A client sends one request at a time. Bytes that look like a second request, sent
            # before the first one's response, may have been hidden in the first one's body
            # (request smuggling): neither request is served. This would harm clients that
            # pipeline, which the platform's protocol does not provide for.
            raise BadRequest(400, "next request sent before the response to the first")
        self._incoming = IncomingRequest()
        self._incoming.began_ns = self._data_arrived_ns
        self._headers_done = False
        if self._server.awaiting_first_request.pop(self, None) is None:
            # A later request's time-out starts here, the first one's when the client connected.
            self._since_sweep = self._server.sweep_count
        self._server.idle.pop(self, None)

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field: those that are interpreted, and those that are forwarded."""
        self._turn_cost += 1
        incoming = self._incoming
        if incoming is None or self._headers_done:
            return  # a trailer field of a chunked body
        lower = name.lower()
        # The parser keeps white space that follows a value. Left there, it made a class name
        # or a number unknown.
        value = value.strip(b" \t")
        if lower in INTERPRETED_HEADERS:
            if lower in incoming.headers and lower != b"connection":
                raise BadRequest(400, f"{lower!r} header given twice")
            incoming.headers[lower] = value
        if lower not in NOT_FORWARDED_HEADERS:
            incoming.header_lines += b"%s: %s\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        incoming, parser = self._incoming, self._parser
        assert incoming is not None and parser is not None
        self._headers_done = True
        self._head_bytes = 0
        if incoming.url[:7].lower() == b"http://":
            # A proxy must accept the absolute form of a URL; backends get the path alone.
            incoming.url = b"/" + incoming.url[7:].partition(b"/")[2]
        incoming.method = parser.get_method()
        incoming.keep_alive = parser.should_keep_alive()
        incoming.is_http_1_0 = parser.get_http_version() == "1.0"
        if parser.should_upgrade():
            # The parser does not read the body of a request with an Upgrade header.
            raise BadRequest(400, "protocol upgrade is not supported")
        head_bytes = len(incoming.url) + len(incoming.header_lines)
        if head_bytes > MAX_HEAD_BYTES:
            raise BadRequest(431)
        self._server.read_head(incoming)
        if incoming.chunked:
            incoming.framing = ChunkedFraming()
        if incoming.content_length > MAX_BODY_BYTES:
            raise BadRequest(413)
        self._reserve_head_bytes(incoming, head_bytes)
        if incoming.content_length > MAX_UPFRONT_RESERVE_BYTES:
            self._check_room(incoming.content_length)
        else:
            self._reserve_body_bytes(incoming, incoming.content_length)
        if incoming.content_length or incoming.chunked:
            self._sweeps_left = REQUEST_READ_TIMEOUT_SWEEPS
        if (incoming.content_length or incoming.chunked) and (
            incoming.headers.get(b"expect", b"").lower() == b"100-continue"
        ):
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reserve_head_bytes(self, incoming: IncomingRequest, head_bytes: int) -> None:
        """Raise the part of the memory budget that is held for the head to `head_bytes`."""
        extra_bytes = head_bytes - incoming.reserved_head_bytes
        if extra_bytes > 0:
            self._reserve(incoming, extra_bytes, has_room=head_bytes <= SMALL_MESSAGE_BYTES)
            incoming.reserved_head_bytes = head_bytes

    def _reserve_body_bytes(self, incoming: IncomingRequest, total_bytes: int) -> None:
        """Raise the part of the memory budget that is held for the body to `total_bytes`.

        Many messages that fit one by one must not use up the node's memory together. One that does
        not fit is rejected with 503, because nothing of its request was sent to a backend. Heads
        and bodies up to SMALL_MESSAGE_BYTES are always accepted.
        """
        extra_bytes = total_bytes - (incoming.reserved_bytes - incoming.reserved_head_bytes)
        if extra_bytes > 0:
            self._reserve(incoming, extra_bytes, has_room=total_bytes <= SMALL_MESSAGE_BYTES)

    def _reserve(self, incoming: IncomingRequest, extra_bytes: int, has_room: bool = False) -> None:
        if not has_room:
            self._check_room(extra_bytes)
        self._server.node.budget.reserve(extra_bytes)
        incoming.reserved_bytes += extra_bytes

    def _check_room(self, extra_bytes: int) -> None:
        """Raise BadRequest unless the node's memory budget has room for this many bytes."""
        if not self._server.node.budget.has_room(extra_bytes):
            raise BadRequest(503, "no memory for its message")

    def on_body(self, body: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.body_size += len(body)
        if incoming.body_size > MAX_BODY_BYTES:
            raise BadRequest(413)
        self._reserve_body_bytes(incoming, incoming.body_size)
        append_piece(incoming.body, body)
        self._piece_count += 1
        self._turn_cost += 1

    def on_message_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._headers_done = False
        self._head_bytes = 0
        # The time that the last bytes waited in the kernel and here counts against the request's
        # deadline.
        incoming.received_ns = self._data_arrived_ns
        if not incoming.is_probe:
            if incoming.method == b"POST" or incoming.body_size:
                incoming.header_lines += b"Content-Length: %d\r\n" % incoming.body_size
            incoming.head = b"%s %s HTTP/1.1\r\n%sX-Timeout-Ms: " % (
                incoming.method,
                incoming.url,
                incoming.header_lines,
            )
        incoming.header_lines = bytearray()
        self._complete_request = incoming

    def _revalidate_head(self, incoming: IncomingRequest) -> bool:
        """Check the head again if the classes have changed while the body arrived.

        Returns False if the request was rejected under the new classes.
        """
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
        """Pass a complete request to the node, or answer it here: probes and rejections."""
        if not self._revalidate_head(incoming):
            return
        self._keep_alive = incoming.keep_alive
        self._is_http_1_0 = incoming.is_http_1_0
        node = self._server.node
        if incoming.is_probe:
            server = self._server
            node.budget.release(incoming.reserved_bytes)
            self._write_response(
                EMPTY_RESPONSE_HEADS[503]
                if server.stopping or server.evacuated
                else READY_RESPONSE_HEAD
            )
            return
        if self._server.refusing_requests:
            node.budget.release(incoming.reserved_bytes)
            self.send_empty_response(503, 0)
            return
        now = time.monotonic_ns()
        waited_ns = now - incoming.received_ns
        if now - incoming.began_ns > UNNOTICED_CLOSE_NS and self.has_left():
            # It may have closed before its last bytes came: its system goes on sending what it had
            # written. It may also wait for the answer, so it gets one.
            node.budget.release(incoming.reserved_bytes)
            self._server.record_rejection(503, "its client has ended its sending")
            self.send_empty_response(503, 0)
            return
        if node.request_ids.contains(incoming.request_id):
            node.budget.release(incoming.reserved_bytes)
            self._reject(400, "X-Request-ID of an open or recently ended request")
            return
        node.budget.reserve(REQUEST_BYTES)
        incoming.reserved_bytes += REQUEST_BYTES
        incoming.headers = NO_HEADERS  # frees memory while the node keeps the request
        # The request may have been answered before the call returns.
        request = node.start_request(self, incoming, waited_ns)
        if request is None:
            node.budget.release(incoming.reserved_bytes)
            self.send_empty_response(503, 0)
        elif not request.ended:
            self._request = request

    # ---- complete responses (interfaces.Caller) --------------------------

    def send_response(self, content_type: bytes, chunks: list[Block], size: int) -> None:
        """Send the complete response of a backend; `size` is the length of the body in bytes."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_response(head, chunks)

    # ---- streamed responses (interfaces.StreamingCaller) --------------------------

    def begin_stream(self, content_type: bytes, length: int, source: StreamSource) -> None:
        transport = self._transport
        if transport is None or self._lingering or transport.is_closing():
            return  # the connection is closing; connection_lost cancels the source
        self._source = source
        self._delimited_by_close = length < 0 and self._is_http_1_0
        self._response_chunked = length < 0 and not self._is_http_1_0
        self._close_after_response = self._delimited_by_close or self._should_close()
        head = b"HTTP/1.1 200 OK\r\n"
        if length >= 0:
            head += b"Content-Length: %d\r\n" % length
        elif self._response_chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        transport.write(
            head + (b"Connection: close\r\n\r\n" if self._close_after_response else b"\r\n")
        )

    def send_data(self, data: bytes) -> None:
        transport = self._transport
        if self._source is None or transport is None or transport.is_closing():
            return
        self._last_write_bytes = len(data)
        if self._response_chunked:
            transport.write(b"%x\r\n%s\r\n" % (len(data), data))
        else:
            transport.write(data)
        if self._unsent_bytes:
            self._count_unsent()

    def end_stream(self) -> None:
        transport = self._transport
        if self._source is None or transport is None or transport.is_closing():
            return
        self._source = None
        self._request = None
        if self._response_chunked:
            transport.write(b"0\r\n\r\n")
        # No further request can arrive from a client that has meanwhile ended its sending.
        self._finish_response(self._close_after_response or self._half_closed)

    def abort_stream(self) -> None:
        source, self._source = self._source, None
        self._request = None
        if self._transport is not None:
            if source is not None and self._delimited_by_close:
                # Only a reset lets the client tell this response from a complete one.
                with contextlib.suppress(OSError):
                    self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self._transport.abort()

    def pause_writing(self) -> None:
        """Read no more while bytes wait for the client: the response, or further requests."""
        self._count_unsent()
        if self._source is not None:
            self._source.pause_reading()
        elif not self._lingering:
            self._hold_reading(True)

    def resume_writing(self) -> None:
        self._count_unsent()
        self._hold_reading(False)
        if self._source is not None:
            self._source.resume_reading()

    def _hold_reading(self, held: bool) -> None:
        """Stop reading requests, or read on unless received data is still to be parsed."""
        if held == self._reading_held:
            return
        if held:
            self._set_reading(False)
            self._reading_held = True
        else:
            self._reading_held = False
            if self._unparsed is None:
                self._set_reading(True)

    def _count_unsent(self) -> None:
        """Count what waits in the transport in the node's memory budget."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unsent:
            unsent = max(unsent, self._last_write_bytes)
        more = unsent - self._unsent_bytes
        self._unsent_bytes = unsent
        if more > 0:
            self._server.node.budget.reserve(more)
        elif more < 0:
            self._server.node.budget.release(-more)

    def send_empty_response(self, status: int, retry_after: int) -> None:
        """Send a response without a body; `retry_after` is in nanoseconds, 0 for no such header."""
        head = EMPTY_RESPONSE_HEADS[status]
        if retry_after:
            head += b"Retry-After: %.3f\r\n" % (retry_after / 1e9)
        self._write_response(head)

    def refuse(self, retry_after: int) -> None:
        """Send 503; `retry_after` is in nanoseconds, 0 for no Retry-After header."""
        self.send_empty_response(503, retry_after)

    def fail(self, late: bool) -> None:
        """Send 504 if the request's time is over, else 502."""
        self.send_empty_response(504 if late else 502, 0)

    def has_left(self) -> bool:
        """Whether the client has ended its sending, closed or reset the connection."""
        try:
            tcp_info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return True  # the descriptor is gone
        return tcp_info[0] != TCP_ESTABLISHED

    def _should_close(self) -> bool:
        """Whether the connection closes after the response that is about to be sent."""
        server = self._server
        return (
            not self._keep_alive
            or len(server.idle) * SOCKETS_PER_IDLE_CLIENT >= server.node.max_connections
            or self._half_closed
            or server.stopping
            or server.evacuated
        )

    def _write_response(self, head: bytes, chunks: list[Block] | None = None) -> None:
        """Write a complete response, then close the connection or keep it for the next request."""
        self._request = None
        transport = self._transport
        if transport is None or self._lingering or transport.is_closing():
            return  # the connection is closing, or its request was already answered
        close = self._should_close()
        end = b"Connection: close\r\n\r\n" if close else b"\r\n"
        response = b"".join((head, end, *chunks)) if chunks else head + end
        self._last_write_bytes = len(response)
        transport.write(response)
        self._finish_response(close)

    def _finish_response(self, close: bool) -> None:
        if close:
            self._close_gracefully()
        else:
            self._since_sweep = self._server.sweep_count
            self._server.idle[self] = None

    def close_on_error(self, where: str, error: BaseException) -> None:
        """Log an unexpected exception in a callback, answer the client with 500, and close."""
        self._server.node.record_error(where, error)
        if self._transport is not None:
            try:
                self._reject(500, where)
            except Exception as err:
                self._server.node.record_error("rejecting a request", err)
                self._transport.abort()

    def _reject(self, status: int, reason: object = "") -> None:
        """Answer a request that the node does not serve, and close the connection."""
        self._server.record_rejection(status, reason)
        self._discard_incoming()
        self._stop_parsing()
        if self._source is not None:
            # A status line can't be sent in the middle of another response's body.
            assert self._transport is not None
            self._transport.abort()
            return
        # A request that is still under way gets this response too, and no other.
        request, self._request = self._request, None
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(EMPTY_RESPONSE_HEADS[status] + b"Connection: close\r\n\r\n")
            self._close_gracefully()
        if request is not None:
            self._server.node.client_gone(request)

    def _close_gracefully(self) -> None:
        """Close the connection once the client has closed its side (lingering close).

        A close while received bytes are unread would reset the connection, and the reset could
        reach the client before the response does.
        """
        transport = self._transport
        assert transport is not None
        self._server.remove_evictable(self)
        self._discard_incoming()
        self._stop_parsing()
        if self._half_closed:
            transport.close()
            return
        self._lingering = True
        self._hold_reading(False)
        self._server.lingering[self] = None
        self._since_sweep = self._server.sweep_count
        transport.write_eof()

    def _stop_parsing(self) -> None:
        """Parse nothing more, and let the lingering close read what still comes."""
        self._parser = None
        if self._unparsed is not None:
            self._drop_unparsed()
            self._set_reading(True)

    def _discard_incoming(self) -> None:
        """Drop requests that were not started, and release the memory of their bodies."""
        for incoming in (self._incoming, self._complete_request):
            if incoming is not None:
                self._server.node.budget.release(incoming.reserved_bytes)
        self._incoming = self._complete_request = None

    # ---- closing ------------------------------------------------------

    def eof_received(self) -> bool:
        # A client that has ended its sending may still wait for its response, and one that has
        # closed the connection reads none. The node can't tell them apart: no new attempt is
        # started for either, and both get a response.
        self._half_closed = True
        if self._request is not None:
            self._server.node.client_half_closed(self._request)
        return self._request is not None

    @closes_connection_on_error
    def connection_lost(self, exc: Exception | None) -> None:
        if not self.is_counted:
            return
        self.is_counted = False
        server = self._server
        self._transport = None
        self._stop_parsing()
        self._count_unsent()
        try:
            server.connections.discard(self)
            server.remove_evictable(self)
            self._discard_incoming()
            request, self._request = self._request, None
            source, self._source = self._source, None
            if request is not None:
                server.node.client_gone(request)
            if source is not None:
                source.cancel()
        finally:
            server.node.client_count -= 1
            server.node.on_descriptor_freed()

    def is_idle(self) -> bool:
        """Whether a close loses nothing: no request, no response and no unread bytes."""
        transport = self._transport
        if (
            transport is None
            or self._request is not None
            or self._incoming is not None
            or self._unparsed is not None
            or transport.get_write_buffer_size()
        ):
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return True
        return False  # bytes of a request, or the client's close, are unread

    def is_stalled(self) -> bool:
        """Whether the client has sent a part of a request and then nothing for a while."""
        if self._incoming is None or self._unparsed is not None or self._transport is None:
            return False
        # Bytes that this node has not read yet may complete the request.
        return self._milliseconds_since_data() >= STALLED_MS and not has_unread_data(self._sock)

    def reject_stalled(self) -> None:
        """Reject the unfinished request; the lingering connection is evicted next."""
        self._reject(408, "not whole while descriptors are short")

    def _milliseconds_since_data(self) -> int:
        """Milliseconds since data last arrived in the kernel."""
        tcp_info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (elapsed_ms,) = TCP_INFO_LAST_DATA_RECV.unpack(tcp_info)
        return int(elapsed_ms)

    def is_silent_for(self, sweeps: int) -> bool:
        """Whether this many sweeps have passed since the connection's present phase began."""
        return self._server.sweep_count - self._since_sweep >= sweeps

    def is_finished(self) -> bool:
        """Whether a stop need not wait for the connection: closed, or last response written."""
        transport = self._transport
        return transport is None or (
            (self._lingering or transport.is_closing()) and not transport.get_write_buffer_size()
        )

    def close(self) -> None:
        """Close the connection; a lingering one is aborted, since its client has the response."""
        if self._transport is not None:
            self._server.remove_evictable(self)
            if self._lingering:
                self._transport.abort()
            else:
                self._transport.close()

    def _is_overdue(self) -> bool:
        """Whether the client takes too long over its request; asked once in each sweep."""
        received_bytes, self._bytes_since_sweep = self._bytes_since_sweep, 0
        if not self._headers_done:
            return self.is_silent_for(REQUEST_READ_TIMEOUT_SWEEPS + 1)
        earned_sweeps = received_bytes // BODY_BYTES_PER_SWEEP
        self._sweeps_left = min(self._sweeps_left - 1 + earned_sweeps, REQUEST_READ_TIMEOUT_SWEEPS)
        return self._sweeps_left < 0

    def sweep(self, sweep: int) -> None:
        """Close the connection if its client is too slow; `sweep` is the number of this sweep."""
        transport = self._transport
        if transport is None:
            return
        buffered = transport.get_write_buffer_size()
        if self._unsent_bytes:
            self._count_unsent()
        if self._lingering and not buffered and sweep - self._since_sweep > LINGER_TIMEOUT_SWEEPS:
            transport.abort()
            return
        if self._incoming is not None and self._is_overdue():
            self._reject(408, "not whole in time")
            return
        if not buffered:
            self._last_write_sweep = sweep
            return
        unacknowledged = unacknowledged_bytes(self._sock)
        if (buffered, unacknowledged) != self._unsent_sizes:
            self._unsent_sizes = (buffered, unacknowledged)
            self._last_write_sweep = sweep
        elif sweep - self._last_write_sweep > WRITE_TIMEOUT_SWEEPS:
            # A client that reads nothing would hold a descriptor and a buffer indefinitely.
            self._server.record_close(ClientCloseReason.UNREAD)
            transport.abort()


class Server:
    """The listening socket of a node and all its client connections."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.connections: set[ClientConnection] = set()
        # Connections that may be evicted, each dictionary with the longest wait first. The
        # first one holds the loop time of connecting.
        self.awaiting_first_request: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}
        self.sweep_count = 0
        self.classes_version = 0  # incremented by set_classes
        self.stopping = False  # each response closes its connection
        self.refusing_requests = False  # the process is about to end: every new request gets 503
        self.evacuated = False  # from an operator's `evacuate` call to the next `activate`
        self._evacuated_at_sweep = 0
        self.handed_over = False  # a successor accepts clients from the same listening socket
        self._accept_paused = False
        self._accept_retry_timer: asyncio.TimerHandle | None = None
        self._rejection_log = RejectionLog()
        self._close_log = ReasonCounts("client connections closed")
        self._accept_tasks: set[asyncio.Task[Any]] = set()
        self._listener: socket.socket | None = None
        settings = node.config.settings
        self.set_classes(settings.classes, {c.name: i for i, c in enumerate(settings.classes)})
        self._tenant_numbers = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        node.on_descriptor_freed = self.resume_accepting
        node.evict = self.evict

    def set_classes(self, classes: Iterable[RequestClass], numbers: Mapping[str, int]) -> None:
        """Set the classes that requests may name.

        `numbers` gives the Balancer's number of each class by the class's name. Requests whose
        body is still arriving are checked again, see `_revalidate_head`.
        """
        self.classes_version += 1
        rows = {numbers[c.name]: c for c in classes}
        self._class_numbers = {c.name.encode(): i for i, c in rows.items()}
        self._class_deadlines_ns = {i: c.deadline for i, c in rows.items()}
        self._class_methods = {
            i: b"GET" if c.effect == Effect.PURE else b"POST" for i, c in rows.items()
        }

    def listen(self, address: Address, reuse_port: bool = False) -> int:
        """Listen and accept connections at this address; returns the port.

        With `reuse_port` another process of this node may listen there too, see `handover`.
        Raises OSError.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if reuse_port:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        return self.listen_on(sock)

    def listen_on(self, sock: socket.socket) -> int:
        """Accept connections from this socket, which is already listening; returns the port."""
        self._listener = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None before `listen`, and once a stop has closed the socket."""
        return self._listener

    def hand_over(self) -> None:
        """Stop accepting; a successor accepts from the same socket, so no client is refused."""
        if not self.handed_over and self._listener is not None:
            self.handed_over = True
            self.node.loop.remove_reader(self._listener)

    def undo_hand_over(self) -> None:
        """Accept connections again, because the successor has ended before this process."""
        if self.handed_over and self._listener is not None:
            self.handed_over = False
            self._accept_paused = False
            self.node.loop.add_reader(self._listener, self._accept)

    def evacuate(self) -> None:
        """Fail readiness probes, and close client connections.

        Idle connections are closed after EVACUATION_DELAY_SWEEPS, others with their next response.
        """
        if not self.evacuated:
            self.evacuated = True
            self._evacuated_at_sweep = self.sweep_count

    def activate(self) -> None:
        """End an evacuation: readiness probes succeed, and connections are kept open."""
        self.evacuated = False

    def _accept(self) -> None:
        """Accept queued connections; the event loop calls this when the listener is readable."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._listener is None or self.handed_over or not self._ensure_room():
                return
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as err:
                if err.errno in ACCEPT_RETRY_ERRNOS:
                    continue  # this connection is gone; others may be queued behind it
                # The node budgets its descriptors, but the system may run out of other
                # resources: accepting must go on after that.
                self.node.log(f"accept: {err}")
                self._pause_accepting()
                return
            self.node.client_count += 1
            sock.setblocking(False)
            self._attach_transport(sock, ClientConnection(self, sock))

    def _attach_transport(self, sock: socket.socket, conn: ClientConnection) -> None:
        """Start a task that gives an accepted socket to a transport.

        The table in `socket_view` says who owns the socket at which time.
        """
        loop = self.node.loop
        task = loop.create_task(loop.connect_accepted_socket(lambda: conn, sock))
        self._accept_tasks.add(task)
        task.add_done_callback(lambda task: self._check_attached(task, sock, conn))

    def _check_attached(
        self, task: asyncio.Task[Any], sock: socket.socket, conn: ClientConnection
    ) -> None:
        """Release the socket and the connection if its transport was not made.

        This runs as a callback of the task and not inside the task: a task that is cancelled
        before its first turn runs none of its own code.
        """
        self._accept_tasks.discard(task)
        err = None if task.cancelled() else task.exception()
        if not task.cancelled() and err is None:
            return
        # Closes the socket if the loop did not take it. If the loop did, the socket object is
        # already closed and this has no effect.
        sock.close()
        conn.connection_lost(None)  # the loop may call this as well; the second call does nothing
        if isinstance(err, OSError):
            self.node.log(f"welcome: {err}")
        elif err is not None:
            self.node.record_error("attaching a transport", err)

    def _ensure_room(self) -> bool:
        """Return whether a descriptor is free for one more client.

        If none is, pause accepting and close connections. The new client waits in the kernel's
        queue meanwhile.
        """
        if self.node.has_room_for_client():
            return True
        self._pause_accepting()
        self.make_room()
        return False

    def make_room(self) -> None:
        """Free descriptors: evict client connections, else close an idle backend connection."""
        if not self.evict():
            self.node.upstream.close_oldest_idle()

    def _pause_accepting(self) -> None:
        """Stop accepting for now; `_retry_accepting` runs at intervals until accepting resumes."""
        if self._listener is not None and not self._accept_paused and not self.handed_over:
            self._accept_paused = True
            self.node.loop.remove_reader(self._listener)
            if self._accept_retry_timer is None:
                self._accept_retry_timer = self.node.loop.call_later(
                    EVICTABLE_SILENCE_S, self._retry_accepting
                )

    def _retry_accepting(self) -> None:
        """Free descriptors while accepting is paused, and schedule the next retry.

        Without this, connections in the listen queue could wait indefinitely behind silent
        clients that hold all descriptors.
        """
        self._accept_retry_timer = None
        try:
            self.resume_accepting()
            if self._accept_paused and self._listener is not None and not self.handed_over:
                self.make_room()
        finally:
            if self._accept_paused and self._listener is not None and not self.handed_over:
                self._accept_retry_timer = self.node.loop.call_later(
                    EVICTABLE_SILENCE_S, self._retry_accepting
                )

    def resume_accepting(self) -> None:
        """Accept again if accepting is paused and a descriptor is free."""
        if self.handed_over:
            return
        if self._accept_paused and self._listener is not None and self.node.has_room_for_client():
            self._accept_paused = False
            self.node.loop.add_reader(self._listener, self._accept)

    def evict(self) -> bool:
        """Close up to MAX_EVICTIONS connections without a request; False if there are none.

        Lingering connections are closed first, then those whose client has sent nothing since it
        connected, then those idle for the longest time. This may close the connection of a client
        that sends its first bytes late over a slow line; that client has to connect again.
        """
        closed_count = 0
        connected_before = self.node.loop.time() - EVICTABLE_SILENCE_S
        silent = (
            conn
            for conn, connected in self.awaiting_first_request.items()
            if connected < connected_before
        )
        for conn in list(islice(chain(self.lingering, silent, self.idle), MAX_EVICTION_CANDIDATES)):
            if conn in self.lingering or conn.is_idle():
                self.record_close(self._eviction_reason(conn))
                conn.close()
                closed_count += 1
                if closed_count == MAX_EVICTIONS:
                    break
        return closed_count > 0 or self._evict_stalled()

    def _eviction_reason(self, conn: ClientConnection) -> ClientCloseReason:
        if conn in self.lingering:
            return ClientCloseReason.EVICTED_LINGERING
        if conn in self.awaiting_first_request:
            return ClientCloseReason.EVICTED_SILENT
        return ClientCloseReason.EVICTED_IDLE

    def _evict_stalled(self) -> bool:
        """Reject up to MAX_STALLED_EVICTIONS unfinished requests whose clients send nothing more.

        Returns False if there are none. A request whose last byte has not come was not taken yet.
        """
        stalled = [conn for conn in self.connections if conn.is_stalled()]
        for conn in stalled[:MAX_STALLED_EVICTIONS]:
            conn.reject_stalled()
        return bool(stalled)

    def remove_evictable(self, conn: ClientConnection) -> None:
        """Remove a connection from the dictionaries of those that may be evicted."""
        self.awaiting_first_request.pop(conn, None)
        self.idle.pop(conn, None)
        self.lingering.pop(conn, None)

    def record_rejection(self, status: int, reason: object) -> None:
        """Count a rejected request; the next sweep logs the counts by reason."""
        self._rejection_log.record(status, reason)

    def record_close(self, reason: ClientCloseReason) -> None:
        """Count a connection that this server closes; the next sweep logs the counts by reason."""
        self._close_log.count(reason)

    def sweep(self) -> None:
        """Close connections whose time is over; the owner calls this each SWEEP_INTERVAL_S."""
        self.sweep_count += 1
        # One log line of each per sweep: some clients repeat a rejected request at once.
        for line in (self._rejection_log.take_line(), self._close_log.take_line()):
            if line:
                self.node.log(line)
        for conn in list(self.connections):
            try:
                conn.sweep(self.sweep_count)
            except Exception as err:
                conn.close_on_error("sweeping a connection", err)
        self.close_silent(
            self.awaiting_first_request, FIRST_BYTE_TIMEOUT_SWEEPS, ClientCloseReason.SILENT
        )
        # Clients that send one request and stay connected hold memory and a descriptor each.
        descriptors_short = 2 * self.node.client_count > self.node.max_connections
        self.close_silent(
            self.idle,
            SHORT_IDLE_TIMEOUT_SWEEPS if descriptors_short else IDLE_TIMEOUT_SWEEPS,
            ClientCloseReason.IDLE,
        )
        if (
            self.evacuated
            and self.sweep_count - self._evacuated_at_sweep >= EVACUATION_DELAY_SWEEPS
        ):
            self.close_idle()

    def close_idle(self) -> None:
        """Close all connections without a request, except those made within the last two sweeps.

        The front-end load balancer goes on opening connections for a moment after a readiness
        probe has failed, and a new connection is about to carry a request.
        """
        for conn in [*self.idle, *(c for c in self.awaiting_first_request if c.is_silent_for(2))]:
            if conn.is_idle():
                self.record_close(ClientCloseReason.ENDING)
                conn.close()

    def close_silent(
        self, connections: Iterable[ClientConnection], sweeps: int, reason: ClientCloseReason
    ) -> None:
        """Close those of `connections`, oldest first, that have waited for this many sweeps."""
        for conn in list(connections):
            if not conn.is_silent_for(sweeps):
                break  # the following ones have waited for less
            if conn.is_idle():
                self.record_close(reason)
                conn.close()

    # ---- stopping -----------------------------------------------------

    def stop_accepting(self) -> bool:
        """Accept all connections in the kernel's queue, then close the listening socket.

        Returns False, with the socket still open, if the node has too few descriptors for that
        now: a close would reset the connections that are still in the queue.
        """
        sock = self._listener
        if sock is None:
            return True
        if not self.handed_over:
            for _ in range(LISTEN_BACKLOG // MAX_ACCEPTS_PER_TURN):
                self._accept()
            if self._accept_paused:
                return False
            self._pause_accepting()
        self._listener = None
        sock.close()
        return True

    def try_finish(self) -> bool:
        """Close idle connections; returns whether no connection holds up a stop any more.

        A stop has to wait until idle connections are closed: a kept connection may carry another
        request until then, and a new one is about to carry its first.
        """
        self.close_idle()
        return not self._accept_tasks and all(conn.is_finished() for conn in self.connections)

    # ---- request heads ------------------------------------------------

    def read_head(self, incoming: IncomingRequest) -> None:
        """Check a request's head and fill in the fields for the Balancer; raises BadRequest."""
        headers = incoming.headers
        incoming.classes_version = self.classes_version
        path = incoming.url.partition(b"?")[0]
        encoding = headers.get(b"transfer-encoding")
        incoming.chunked = encoding is not None
        if encoding is not None and (
            b"content-length" in headers or encoding.lower() != b"chunked"
        ):
            # Where two body lengths differ, another request may be hidden in the body. The
            # parser rejects these too; this check does not depend on the parser's mode.
            raise BadRequest(400, "Transfer-Encoding must be chunked, without Content-Length")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 18:
            raise BadRequest(400, f"Content-Length must be a number: {length[:20]!r}")
        incoming.content_length = int(length)
        segments = path.split(b"/")
        if path == b"/health/ready":
            incoming.is_probe = True
            if incoming.method != b"GET" or incoming.content_length or incoming.chunked:
                raise BadRequest(400)
            return
        if not incoming.url.isascii() or any(c <= 0x20 or c == 0x7F for c in incoming.url):
            raise BadRequest(400, "URL with a control, space or non-ASCII character")
        class_number = (
            self._class_numbers.get(segments[1]) if len(segments) > 1 and not segments[0] else None
        )
        if class_number is None:
            raise BadRequest(404)
        # The class determines the method: backends reject any other.
        if incoming.method != self._class_methods[class_number]:
            raise BadRequest(405)
        if incoming.method == b"GET" and (incoming.content_length or incoming.chunked):
            raise BadRequest(400, "GET request with a body")
        if headers.get(b"x-priority-class") != segments[1]:
            raise BadRequest(
                400,
                "X-Priority-Class does not match the path: "
                f"{headers.get(b'x-priority-class', b'')[:40]!r}",
            )
        request_id = incoming.request_id = headers.get(b"x-request-id", b"")
        if not request_id or len(request_id) > MAX_REQUEST_ID_BYTES or b"host" not in headers:
            raise BadRequest(400, "X-Request-ID missing or too long, or Host missing")
        if self._tenant_numbers:
            tenant = self._tenant_numbers.get(headers.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequest(400, "X-Tenant-Id missing or unknown")
            incoming.tenant = tenant
        timeout = headers.get(b"x-timeout-ms", b"")
        if not timeout.isdigit() or len(timeout) > 12 or not int(timeout):
            raise BadRequest(400, f"X-Timeout-Ms must be a positive number: {timeout[:20]!r}")
        incoming.class_number = class_number
        incoming.timeout_ns = min(int(timeout) * NS_PER_MS, self._class_deadlines_ns[class_number])
        if len(segments) > 2 and segments[-1]:
            incoming.key = crc32(segments[-1]) or 1
        cost = headers.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= 12:
            incoming.cost_hint = int(cost) * 1000
        incoming.is_retry = headers.get(b"x-retried") == b"1"
