"""HTTP/1.1 connections to backends, and the pool of idle connections.

A `BackendConnection` carries one attempt at a time and reports its outcome to the node. The
`HttpConnectionPool` opens connections, keeps idle ones for reuse and closes them in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import socket
import time
from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING, cast
from zlib import crc32

import httptools

from flinthatch import Outcome
from flinthatch.attempt_timeout import Progress
from flinthatch.connection_reuse import AdaptiveIdleTimeout, QuietTime, ResponseHistory
from flinthatch.response_progress import SAMPLE_INTERVAL_NS, ResponseProgress
from windrelay.body_blocks import Block, append_piece
from windrelay.chunked_framing import ChunkedFraming, FramingTooLong, TooManyPieces
from windrelay.config import Address
from windrelay.connection_log import CloseReason, ConnectionLog
from windrelay.guard import closes_connection_on_error
from windrelay.interfaces import StreamingCaller
from windrelay.paced_protocol import SLICE_BYTES, PacedProtocol
from windrelay.socket_view import (
    SocketView,
    has_unread_data,
    reset_if_unsent,
    unsent_bytes,
)

if TYPE_CHECKING:
    from windrelay.http_node import HttpNode
    from windrelay.node import Attempt

# A response body up to this size is buffered until it is complete; a longer one is streamed.
MAX_BUFFERED_BODY_BYTES = 64 << 10
MAX_BODY_BYTES = 32 << 20  # the platform's limit for a response body
MAX_HEAD_BYTES = 16 << 10  # limit for a response head, interim responses before it included
# A response that has begun usually keeps sending, if only in small pieces. One that pauses longer
# may be shorter than its Content-Length, so its request may be hedged; the attempt goes on.
RESPONSE_STALL_TIMEOUT_S = 0.25
# A request from this size on may take its backend a while to read. How much of it was read can't be
# seen, since the buffers of both kernels hold that much.
LONG_REQUEST_BYTES = 16 << 10
WRITE_CHUNK_BYTES = 64 << 10  # longest request that is given to the transport in one write
# Connect errors that come from this host's own limits and say nothing about the backend.
LOCAL_RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
REMEMBERED_CHECKSUM_COUNT = 16  # of a connection's last responses, to recognise second copies
# With these reasons nothing more of the request may go out.
GIVEN_UP_REASONS = frozenset((CloseReason.ATTEMPT_GIVEN_UP, CloseReason.CALLER_LEFT))
MAX_INTERIM_RESPONSE_COUNT = 8  # 1xx responses that are skipped before the final response
# Turns of the event loop between the expiry of a dial's time-out and the end of the dial. A
# connection that the kernel has established by the expiry is found by the poll of that turn and
# reported in the next turn, behind the callbacks already due there. Without these turns the node
# would take a delay of its own event loop for a slow backend.
DIAL_GRACE_TURNS = 3
# An idle connection is closed this long before the backend's own idle timeout would close it.
IDLE_MARGIN_NS = 2_000_000_000
MS = 1_000_000
SECOND = 1_000 * MS
TIMER_ROUNDING_S = 0.0005  # the loop rounds to whole milliseconds
STATUS_LINE_START_BYTES = 12  # the version and the status code

# The platform's names of load metrics, each with the other name that settings may use for it.
LOAD_METRIC_ALIASES = {
    b"inflight": "rif",
    b"queue": "q",
    b"util": "busy",
    b"latency_ms": "lat_ms",
    b"qps": "rate",
    b"eps": "fail_rate",
}


class BackendConnection(PacedProtocol):
    """One connection to one backend; it carries one attempt at a time.

    The retry rules depend on `request_written`: the flag stays false while at least the last
    byte of the request has certainly not left the process, so the request can't have run.
    """

    __slots__ = (
        "_announced_close", "_body_chunks", "_body_size", "_budgeted_bytes", "_checksum",
        "_chunked", "_closed", "_complete", "_content_length", "_content_type",
        "_descriptor_released", "_dial_task", "_dial_timer", "_ends_at_close", "_framing",
        "_has_dropped_copy", "_has_extra_data", "_has_stalled", "_headers_done", "_idle_ns",
        "_interim_count", "_invalid", "_keep_alive", "_last_checksums", "_last_received_at",
        "_last_request_id", "_load_report",
        "_not_processed", "_piece_count", "_progress", "_progress_timer", "_quiet_timer",
        "_reading_paused", "_received_bytes",
        "_recognises_copies", "_socket_view", "_status", "_streaming_to",
        "_unsent_chunks", "_writing_paused", "address", "attempt", "backend", "idle_since",
        "is_recognisable", "parser", "pool", "request_written", "transport",
    )  # fmt: skip

    def __init__(self, pool: HttpConnectionPool, backend: int, address: Address) -> None:
        super().__init__(pool.node.turn_queue)
        self.pool = pool
        self.backend = backend
        self.address = address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since = 0
        self._last_request_id = b""  # of the last request that was written; a probe has none
        self._closed = False
        self._descriptor_released = False
        self._budgeted_bytes = 0  # buffered response bytes, counted in the node's memory budget
        self._socket_view: SocketView | None = None
        self._dial_task: asyncio.Task[None] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._progress_timer: asyncio.TimerHandle | None = None  # set while a response comes
        self._progress: ResponseProgress | None = None  # of a response that came in part
        self._quiet_timer: asyncio.TimerHandle | None = None  # set while an attempt waits for it
        self.is_recognisable = False  # a second copy of the last response would be recognised
        self._last_checksums: deque[int] = deque(maxlen=REMEMBERED_CHECKSUM_COUNT)
        self._recognises_copies = False  # of earlier responses, within the present exchange
        self._has_dropped_copy = False  # and waits for the response that should follow it
        self._idle_ns = -1  # idle time before the request; negative on a new connection
        self._reset_exchange()

    def _reset_exchange(self) -> None:
        self.request_written = False
        self._writing_paused = False
        self._unsent_chunks: deque[Block] | None = None  # rest of a long request
        self._streaming_to: StreamingCaller | None = None  # receives the response as it arrives
        self._reading_paused = False  # the caller takes the stream more slowly than it arrives
        self._last_received_at = 0
        self._has_stalled = False  # the response paused, which was reported
        self._progress = None
        self._interim_count = 0
        self._received_bytes = 0  # all response bytes: heads, framing and bodies
        self._invalid = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0
        self._headers_done = False
        self._content_length = -1
        self._chunked = False
        self._framing: ChunkedFraming | None = None  # of a chunked body
        self._not_processed = False
        self._load_report = b""
        self._content_type = b""
        self._body_chunks: list[Block] = []
        self._body_size = 0
        self._piece_count = 0  # of the body, in the data that is parsed at present
        self._checksum = 0  # of the body; 0 where it is empty or streamed
        self._complete = False
        self._announced_close = False
        self._ends_at_close = False  # the response has no length: the connection's end ends it
        self._keep_alive = False
        self._has_extra_data = False

    # ---- connecting ---------------------------------------------------

    def dial(self, attempt: Attempt) -> None:
        """Open the connection and send the attempt on it.

        The event loop creates the descriptor and owns it until it is closed (see `socket_view`).
        """
        node = self.pool.node
        self.attempt = attempt
        self.pool.descriptor_count += 1
        self.pool.unsent.add(self)
        timeout = node.config.settings.connect_timeout / 1e9
        self._dial_timer = node.loop.call_later(timeout, self._dial_expired, DIAL_GRACE_TURNS)
        self._dial_task = node.loop.create_task(self._connect())
        self._dial_task.add_done_callback(self._on_dial_done)

    async def _connect(self) -> None:
        loop = self.pool.node.loop
        host, port = self.address
        await loop.create_connection(lambda: self, host, port, family=socket.AF_INET)

    @closes_connection_on_error
    def _on_dial_done(self, task: asyncio.Task[None]) -> None:
        """Handle the end of the connect task; a failed one has already closed its descriptor."""
        self._dial_task = None
        error = None if task.cancelled() else task.exception()
        if error is None and not task.cancelled():
            return  # connected: from here on connection_lost reports the end
        self._release_descriptor()
        if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRNOS:
            # A limit of this host was reached; this is no failure of the backend.
            self._close_with_outcome(Outcome.NOT_SENT, CloseReason.LOCAL_RESOURCES)
            return
        if error is not None and not isinstance(error, OSError):
            self.pool.node.record_error("a backend dial", error)
        self._fail_connection(CloseReason.NOT_ESTABLISHED)

    @closes_connection_on_error
    def _dial_expired(self, turns_left: int) -> None:
        if self._closed or self.transport is not None:
            return
        if turns_left:
            self.pool.node.loop.call_soon(self._dial_expired, turns_left - 1)
        else:
            self._fail_connection(CloseReason.NOT_ESTABLISHED)

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.pool.unsent.discard(self)
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if self._closed:
            self.transport.abort()
            return
        self._socket_view = SocketView(transport)
        # With a high-water mark of 0 the transport calls pause_writing as soon as it has to
        # buffer anything. A connection that is not paused has handed every byte to the kernel.
        self.transport.set_write_buffer_limits(high=0)
        self.parser = httptools.HttpResponseParser(self)
        self._begin_attempt()

    # ---- the request --------------------------------------------------

    def start_on_idle(self, attempt: Attempt) -> None:
        """Send an attempt on a connection that was idle."""
        self._reset_exchange()
        self.attempt = attempt
        self._write_request()

    def start_when_quiet(self, attempt: Attempt, delay_ns: int) -> None:
        """Send an attempt on a connection that was idle, once it has been idle this much longer."""
        self._reset_exchange()
        self.attempt = attempt
        self.pool.unsent.add(self)
        loop = self.pool.node.loop
        self._quiet_timer = loop.call_later(
            delay_ns / SECOND + TIMER_ROUNDING_S, self._on_quiet_timer
        )

    @closes_connection_on_error
    def _on_quiet_timer(self) -> None:
        if not self.is_usable():
            # The loop has not reported yet what came; the attempt needs another connection.
            attempt = self._detach_waiting_attempt()
            self._close(CloseReason.ENDED_WHILE_IDLE)
            self._send_elsewhere(attempt)
            return
        self.attempt = self._detach_waiting_attempt()
        self._begin_attempt()

    def _begin_attempt(self) -> None:
        """Send the attempt that waited for the connection, unless it may not begin any more.

        The pool then keeps the connection, whose handshake has been paid for, for another one.
        """
        attempt = self.attempt
        if attempt is None:
            return
        if self.pool.node.may_begin(attempt):
            self._write_request()
            return
        self.attempt = None
        self.pool.release(self)
        self.pool.node.conclude(attempt, Outcome.NOT_SENT)

    def _detach_waiting_attempt(self) -> Attempt | None:
        """Take the attempt that waits for a quiet connection off this one, if there is one."""
        if self._quiet_timer is None:
            return None
        self._quiet_timer.cancel()
        self._quiet_timer = None
        self.pool.unsent.discard(self)
        attempt, self.attempt = self.attempt, None
        return attempt

    def _send_elsewhere(self, attempt: Attempt | None) -> None:
        if attempt is not None:
            attempt.connection = None
            self.pool.node.start_attempt(attempt)

    def _write_request(self) -> None:
        """Write the attempt's request, or a health probe if the attempt has no request."""
        attempt = self.attempt
        assert attempt is not None
        request = attempt.request
        now = time.monotonic_ns()
        # Decided now: the connection may have rested only for as long as this allows.
        self._recognises_copies = self.pool.response_history.are_distinct
        self._idle_ns = now - self.idle_since if self.idle_since else -1
        self._last_request_id = b"" if request is None else request.client_request_id
        if request is None:
            head = b"GET /health/live HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.address).encode()
        else:
            time_left = request.deadline - now
            parsed = request.incoming
            head = b"%s%d\r\n\r\n" % (parsed.head, max(time_left // MS, 1))
            if parsed.body_size <= WRITE_CHUNK_BYTES:
                head = b"".join((head, *parsed.body))
        transport = self.transport
        assert transport is not None
        # Most requests are one write, of at most a head and 64 KiB. If the write itself fails,
        # the kernel took nothing, so the last byte never left and connection_lost reports the
        # outcome. After a successful write part of the request may still wait in the
        # transport's buffer. How much of it has left is unknown, so it counts as written.
        if request is None or request.incoming.body_size <= WRITE_CHUNK_BYTES:
            transport.write(head)
            self.request_written = not transport.is_closing()
            return
        # A longer request is written in pieces, each one after the piece before it has left
        # the process. If the connection breaks before the last piece, the request never ran.
        self._unsent_chunks = deque(parsed.body)
        transport.write(head)
        self._write_pending()

    def _write_pending(self) -> None:
        """Write pieces of a long request until the transport has to buffer one."""
        transport = self.transport
        while self._unsent_chunks and not self._writing_paused and transport is not None:
            if transport.is_closing():
                return
            attempt = self.attempt
            if len(self._unsent_chunks) == 1 and attempt and not self.pool.node.may_begin(attempt):
                self._close_with_outcome(Outcome.NOT_SENT, CloseReason.ATTEMPT_GIVEN_UP)
                return
            transport.write(self._unsent_chunks.popleft())
            self.request_written = not self._unsent_chunks and not transport.is_closing()

    def pause_writing(self) -> None:
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        if self._unsent_chunks:
            self._write_pending()

    # ---- the response -------------------------------------------------

    def _release_budget(self) -> None:
        """Return the memory budget of a buffered response that was delivered or dropped."""
        byte_count, self._budgeted_bytes = self._budgeted_bytes, 0
        if byte_count:
            self.pool.node.budget.release(byte_count)

    def data_received(self, data: bytes) -> None:
        parser = self.parser
        if parser is None:
            return
        if self.attempt is None or self._quiet_timer is not None:
            self._drop_unsolicited(data)
            return
        self._last_received_at = time.monotonic_ns()
        if self._streaming_to is not None and self._content_length >= 0 and self._unparsed is None:
            self._received_bytes += len(data)
            self._stream_raw(data)
            return
        self._receive(data)

    def _parse(self, data: bytes | memoryview) -> bool:
        parser = self.parser
        if parser is None:
            return False
        self._received_bytes += len(data)
        if self._invalid or self._has_extra_data:
            return True  # nothing that follows can be used
        framing, body_bytes_before = self._framing, self._body_size
        self._piece_count = 0
        try:
            parser.feed_data(data)
            if framing is not None and framing is self._framing and not self._complete:
                framing.add(len(data), self._body_size - body_bytes_before, self._piece_count)
        except httptools.HttpParserCallbackError as err:
            self.pool.node.record_error("reading a response", err.__context__ or err)
            self._invalid = True
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._has_extra_data = True
            self._invalid = not self._complete
        except (FramingTooLong, TooManyPieces):
            self._invalid = True
        self._invalid |= not self._headers_done and self._received_bytes > MAX_HEAD_BYTES
        return True

    def _slice_size(self) -> int:
        if not self._headers_done or self._content_length < 0:
            return SLICE_BYTES
        return max(self._content_length - self._body_size, SLICE_BYTES)

    def _finish_turn(self, is_last: bool) -> None:
        """Pass on, finish or reject the response, as far as it was parsed."""
        if self._streaming_to is not None:
            self._pass_on_body()
        if self._complete and not self._invalid:
            self._has_extra_data |= not is_last
            self._finish_response()
        elif self._invalid:
            self._reject_response()
        elif self._received_bytes:
            if self._progress is None:
                self._progress = ResponseProgress(self._last_received_at, self._content_length)
                self._set_progress_timer(RESPONSE_STALL_TIMEOUT_S)
            self._progress.receive(self._last_received_at, self._body_size)

    def _reject_unparsed(self) -> None:
        self._reject_response()

    def _may_take_turn(self) -> bool:
        return not self._reading_paused

    def _paced_transport(self) -> asyncio.Transport | None:
        return None if self._reading_paused else self.transport

    def _drop_unsolicited(self, data: bytes) -> None:
        """Close an idle connection that got bytes which answer no request."""
        now = time.monotonic_ns()
        idle_ns = now - self.idle_since
        self.pool.quiet_time.record_unsolicited_bytes(now, idle_ns)
        self.pool.node.log(
            f"backend {self.backend}: {len(data)} bytes on a connection idle for {idle_ns // MS} "
            f"ms, beginning {data[:STATUS_LINE_START_BYTES]!r}, last used for {self._last_used_for}"
        )
        attempt = self._detach_waiting_attempt()
        self._close(CloseReason.UNSOLICITED_BYTES)
        self._send_elsewhere(attempt)

    def eof_received(self) -> bool:
        # A response without a length is complete when its connection ends.
        if self.attempt is not None and self._ends_at_close and not self._invalid:
            self._complete = True
            self._finish_response()
        return False

    def _set_progress_timer(self, delay_s: float) -> None:
        loop = self.pool.node.loop
        self._progress_timer = loop.call_later(delay_s + TIMER_ROUNDING_S, self._on_progress_timer)

    @closes_connection_on_error
    def _on_progress_timer(self) -> None:
        """Sample a response that is still coming, notice a stall, and end one that has stopped."""
        self._progress_timer = None
        attempt, progress = self.attempt, self._progress
        if attempt is None or progress is None:
            return
        now = time.monotonic_ns()
        delay_ns = SAMPLE_INTERVAL_NS
        self._sample_progress(now, progress)
        if self._streaming_to is not None:
            if attempt.request is not None and attempt.request.ended:
                self.cancel()
                return
            self.pool.node.end_if_stopped(attempt)
            delay_ns = min(progress.time_left(now) or delay_ns, delay_ns)
        elif not self._has_stalled:
            delay_ns = self._check_for_stall(attempt)
        if self.attempt is attempt:
            self._set_progress_timer(delay_ns / SECOND)

    def _sample_progress(self, now: int, progress: ResponseProgress) -> None:
        is_held_up = self._reading_paused or self._unparsed is not None or self._has_unread_data()
        progress.sample(now, is_held_up)

    def _check_for_stall(self, attempt: Attempt) -> int:
        """Report a response that has paused, or give up one that can't be used any more.

        Returns the nanoseconds to the next look.
        """
        silent_s = (time.monotonic_ns() - self._last_received_at) / SECOND
        if self._unparsed is not None or self._has_unread_data():
            silent_s = 0.0  # this event loop is late, not the backend
        if silent_s < RESPONSE_STALL_TIMEOUT_S:
            return int((RESPONSE_STALL_TIMEOUT_S - silent_s) * SECOND)
        if not self.request_written and not self._headers_done:
            return SAMPLE_INTERVAL_NS  # an interim response to a request that is still being read
        if attempt.request is None or not self.request_written:
            self._reject_response()
        else:
            self._has_stalled = True
            self.pool.node.report_stall(attempt)
        return SAMPLE_INTERVAL_NS

    def is_request_delivered(self) -> bool:
        """Return whether the backend's system has the whole request; see interfaces.AttemptHandle.

        A short request counts as delivered with its write.
        """
        if self.progress() != Progress.READING or self._socket_view is None:
            return True
        if not self.request_written or self._writing_paused:
            return False
        with contextlib.suppress(OSError):
            return not unsent_bytes(self._socket_view)
        return True

    def response_progress(self) -> ResponseProgress | None:
        """Return the progress of a response that is, or can be, passed on before its end."""
        progress = self._progress
        if (
            progress is None
            or self.attempt is None
            or not self._headers_done
            or self._status != 200
            or self._invalid
            or not self.request_written
        ):
            return None
        self._sample_progress(time.monotonic_ns(), progress)
        return progress

    def pass_on(self) -> None:
        """Begin to pass on the response, of which `response_progress` has told."""
        self._start_streaming()
        if self._invalid:
            self._reject_response()

    def progress(self) -> Progress:
        """Return what the backend is seen to do for the attempt; see interfaces.AttemptHandle."""
        attempt = self.attempt
        if attempt is None or attempt.request is None or self.transport is None:
            return Progress.SILENT
        if self._received_bytes and self.request_written:
            return Progress.RESPONDING
        is_begun = self._quiet_timer is None
        if is_begun and attempt.request.incoming.body_size >= LONG_REQUEST_BYTES:
            return Progress.READING
        return Progress.SILENT

    def _reject_response(self) -> None:
        """End the attempt because its response can't be used: a failure that may have run.

        A sound backend may send an invalid response now and then. If each was reported as a
        broken connection, two in a row would eject the backend and restart it in slow start. A
        backend that sends nothing but invalid responses is ejected by its attempts' errors.
        """
        attempt = self.attempt
        if attempt is not None:
            self.pool.node.log(
                f"backend {self.backend}: response to {self._last_used_for} not used, "
                f"{self._received_bytes} bytes received, status {self._status}, "
                f"Content-Length {self._content_length}"
            )
        self._close_with_outcome(
            Outcome.ERROR if self.request_written else Outcome.CONNECT_FAILED,
            CloseReason.RESPONSE_NOT_USABLE,
        )

    def on_message_begin(self) -> None:
        if self._complete:
            self._has_extra_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._turn_cost += 1
        if self._headers_done or self._complete:
            return  # a trailer, or a header of data behind the response
        name = name.lower()
        value = value.strip(b" \t")  # the parser keeps white space behind a value
        if name == b"content-length":
            if not value.isdigit() or len(value) > 9 or self._content_length >= 0:
                self._invalid = True
            else:
                self._content_length = int(value)
        elif name == b"content-type":
            self._content_type = value
        elif name == b"transfer-encoding":
            self._chunked = True
        elif name == b"connection":
            self._announced_close = value.lower() == b"close"
        elif name == b"x-not-processed":
            self._not_processed = value == b"1"
        elif name == b"x-server-load":
            self._load_report = value

    def on_headers_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        self._status = self.parser.get_status_code()
        self._headers_done = True
        if self._chunked:
            self._framing = ChunkedFraming()
        self._keep_alive = self.parser.should_keep_alive()
        # The head alone shows that the body is too long, or that its length is ambiguous.
        self._invalid |= self._content_length > MAX_BODY_BYTES or (
            self._content_length >= 0 and self._chunked
        )
        if self._status == 200 and self._content_length < 0 and not self._chunked:
            # The end of the connection ends the body, so a body that breaks off looks complete.
            # It is accepted only if the backend announced `Connection: close`.
            self._ends_at_close = self._announced_close
            self._invalid |= not self._announced_close

    def on_body(self, body: bytes) -> None:
        if self.parser is None:
            return
        if self._complete:
            self._has_extra_data = True
            return
        self._body_size += len(body)
        self._piece_count += 1
        self._turn_cost += 1
        if self._body_size > MAX_BODY_BYTES:
            self._invalid = True
        elif self._status != 200 or self._invalid:
            return  # the body of an error or of an invalid response is not used
        elif self._streaming_to is not None:
            append_piece(self._body_chunks, body)
        else:
            append_piece(self._body_chunks, body)
            self._checksum = crc32(body, self._checksum)
            self._budgeted_bytes += len(body)
            self.pool.node.budget.reserve(len(body))
            if (
                self._body_size > MAX_BUFFERED_BODY_BYTES
                or self._content_length > MAX_BUFFERED_BODY_BYTES
            ):
                self._start_streaming()

    def _start_streaming(self) -> None:
        """Begin to stream the response to its caller, with the part buffered so far first."""
        attempt = self.attempt
        request = attempt.request if attempt is not None else None
        if attempt is None or request is None:
            self._invalid = True  # the response of a probe has no caller
        elif not self.request_written:
            self._invalid = True  # the request is not written yet, see _outcome
        elif request.ended or request.client is None or request.answer_started:
            self._invalid = True  # the request has its answer, or its caller has left
        else:
            self._streaming_to = cast(StreamingCaller, request.client)
            self._checksum = 0  # it is passed on before it is complete
            self.pool.node.begin_answer(attempt)
            self._streaming_to.begin_stream(self._content_type, self._content_length, self)
            self._pass_on_body()
            self._release_budget()

    def _pass_on_body(self) -> None:
        """Send the part of a streamed body that was received since the last call."""
        chunks, self._body_chunks = self._body_chunks, []
        for chunk in chunks:
            if self._streaming_to is not None:
                self._streaming_to.send_data(chunk)

    def _stream_raw(self, data: bytes) -> None:
        """Stream body data without the parser, which a body of known length does not need."""
        assert self._streaming_to is not None
        remaining = self._content_length - self._body_size
        if len(data) > remaining:
            self._has_extra_data = True  # the rest is no part of this response
            data = data[:remaining]
        self._body_size += len(data)
        if self._progress is not None:
            self._progress.receive(self._last_received_at, self._body_size)
        self._streaming_to.send_data(data)
        if self._body_size == self._content_length:
            self._complete = True
            self.parser = httptools.HttpResponseParser(self)  # the old one is inside the body
            self._finish_response()

    # ---- streaming (interfaces.StreamSource) --------------------------

    def pause_reading(self) -> None:
        self._reading_paused = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self._reading_paused:
            self._reading_paused = False
            self._last_received_at = time.monotonic_ns()
            if self._unparsed is not None:
                self._queue_turn()
            else:
                self._set_reading(True)

    def cancel(self) -> None:
        attempt = self.attempt
        if attempt is not None:
            self.pool.node.log_attempt(
                time.monotonic_ns(),
                attempt,
                f"ended, its client left within the response, {self._body_size} bytes so far",
            )
        self._streaming_to = None
        self._close_with_outcome(Outcome.CANCELLED, CloseReason.CALLER_LEFT)

    def _abort_stream(self) -> None:
        """Abort a stream that is incomplete, so that its receiver can tell."""
        receiver, self._streaming_to = self._streaming_to, None
        if receiver is not None:
            receiver.abort_stream()

    def on_message_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        if 100 <= self._status < 200 and self._status != 101:
            if self._interim_count < MAX_INTERIM_RESPONSE_COUNT:
                self._interim_count += 1
                self._reset_response()
            else:
                self._invalid = True  # the final response may still come, so the connection ends
            return
        if self._is_second_copy():
            self._drop_second_copy()
            return
        self._keep_alive = self.parser.should_keep_alive()
        self._complete = True

    @property
    def _last_used_for(self) -> str:
        """What the connection was last used for, as the log names it."""
        request_id = self._last_request_id
        return f"request {request_id.decode('latin-1')}" if request_id else "a probe"

    @closes_connection_on_error
    def connection_lost(self, exc: Exception | None) -> None:
        if self._socket_view is not None:
            self._socket_view.release()
            self._socket_view = None
        waiting = self._detach_waiting_attempt()
        try:
            if self.attempt is not None:
                self._record_break(self.attempt, exc)
            if self._received_bytes and self.attempt is not None:
                self._reject_response()  # the backend was alive; a dead one fails the next dial
            else:
                self._fail_connection(CloseReason.BROKEN)
        finally:
            self._release_descriptor()
            self._send_elsewhere(waiting)

    def _record_break(self, attempt: Attempt, exc: Exception | None) -> None:
        """Log a connection that broke during an attempt, and adapt the idle timeout to it."""
        now = time.monotonic_ns()
        if self._idle_ns >= 0 and not self._received_bytes:
            self.pool.idle_timeout.record_break(now, self.backend, self._idle_ns)
        self.pool.node.log(
            f"backend {self.backend} broke off: {exc or 'connection closed'}, "
            f"{self._last_used_for}, "
            f"idle for {self._idle_ns // MS} ms before the request, "
            f"{(now - attempt.sent_at) // MS} ms after the send, "
            f"{self._received_bytes} response bytes received, "
            f"request written: {self.request_written}"
        )

    def close_on_error(self, where: str, error: BaseException) -> None:
        """Handle an exception in a callback: this connection breaks, and nothing else."""
        self.pool.node.record_error(where, error)
        self._fail_connection(CloseReason.EXCEPTION)
        if self.transport is not None:
            self.transport.abort()  # even if the exception came after `_closed` was set

    def _outcome(self) -> Outcome:
        """Return the outcome that follows from a complete response."""
        status = self._status
        if status == 200:
            # No backend begins a request before it has the last byte, so a 200 that comes before
            # that byte was written does not answer this request.
            return Outcome.OK if self.request_written else Outcome.ERROR
        if status in (503, 504) and self._not_processed:
            return Outcome.FULL
        return Outcome.ERROR

    def _finish_response(self) -> None:
        """Deliver a complete response, report the outcome, and keep or close the connection."""
        attempt, self.attempt = self.attempt, None
        chunks, self._body_chunks = self._body_chunks, []
        node = self.pool.node
        close_reason = self._reason_not_to_reuse()
        self._stop_watching()
        outcome = self._outcome()
        if attempt is not None:
            if self._idle_ns >= 0:
                self.pool.idle_timeout.record_success(node.now, self._idle_ns)
            request = attempt.request
            receiver, self._streaming_to = self._streaming_to, None
            if receiver is not None:
                receiver.end_stream()
                # The caller may have paused reading at the last piece and no longer resumes it:
                # the next response on this connection would never be read.
                self.resume_reading()
            elif (
                request is not None
                and outcome == Outcome.OK
                and not request.ended
                and not request.answer_started
                and request.client is not None
            ):
                request.client.send_response(self._content_type, chunks, self._body_size)
            elif request is None and outcome == Outcome.ERROR and self._status == 503:
                outcome = Outcome.FULL
        self._release_budget()
        self._record_response(outcome)
        if close_reason is None:
            self.pool.release(self)
        else:
            self._close(close_reason)
        if attempt is not None:
            node.conclude(attempt, outcome, self._parse_load_report())

    def _record_response(self, outcome: Outcome) -> None:
        """Remember a complete response, so that a second copy of it is recognised."""
        history = self.pool.response_history
        self._has_dropped_copy = False
        checksum = self._checksum if outcome == Outcome.OK else 0
        if checksum:
            history.record(checksum)
            self._last_checksums.append(checksum)
        self.is_recognisable = checksum != 0 and history.are_distinct

    def _is_second_copy(self) -> bool:
        """Whether the response is that to an earlier request on the connection once more."""
        return (
            self._status == 200
            and self._recognises_copies
            and self._checksum in self._last_checksums
        )

    def _drop_second_copy(self) -> None:
        self.pool.node.log(
            f"backend {self.backend}: a second copy of an earlier response, "
            f"{(time.monotonic_ns() - self.idle_since) // MS} ms after the last one, "
            f"dropped before the response to {self._last_used_for}"
        )
        self._has_dropped_copy = True
        self._received_bytes = 0
        self._stop_watching()
        self._release_budget()
        self._reset_response()

    def _reason_not_to_reuse(self) -> CloseReason | None:
        """Return why the connection can't carry another attempt after a complete response."""
        if self._has_extra_data:
            self.pool.node.log(
                f"backend {self.backend}: bytes behind the response to {self._last_used_for}"
            )
            return CloseReason.BYTES_BEHIND_RESPONSE
        if not self.request_written or self._writing_paused:
            return CloseReason.RESPONSE_BEFORE_REQUEST
        if not self._keep_alive or self.transport is None or self.transport.is_closing():
            return CloseReason.NOT_KEPT_ALIVE
        return None

    def _parse_load_report(self) -> Sequence[float]:
        """Return the reported load in the order of the settings' columns, or () without one."""
        config = self.pool.node.config
        if not self._load_report or not config.load_reports_enabled:
            return ()
        values: dict[str, float] = {}
        try:
            for part in self._load_report.split(b","):
                name, _, value = part.strip().partition(b"=")
                values[name.decode()] = values[LOAD_METRIC_ALIASES.get(name, name.decode())] = (
                    float(value)
                )
            columns = tuple(values[column] for column in config.settings.load_columns)
            return columns if all(map(math.isfinite, columns)) else ()
        except (ValueError, KeyError):
            return ()

    # ---- closing ------------------------------------------------------

    def abandon(self, reason: CloseReason = CloseReason.ATTEMPT_GIVEN_UP) -> bool:
        """Close the connection and drop its attempt; a late response must reach nobody.

        Returns false if the request's last byte was certainly never written.
        """
        if self._detach_waiting_attempt() is not None:
            self.pool.release(self)
            return False
        may_have_run = self.request_written
        self.attempt = None
        self._abort_stream()
        self._close(reason)
        return may_have_run

    def cancel_unsent(self) -> None:
        """End an attempt that waits for a dial or a quiet connection, where its backend gets no
        new attempts; this is no failure of the backend."""
        self._close_with_outcome(Outcome.NOT_SENT, CloseReason.BACKEND_NOT_READY)

    def _fail_connection(self, reason: CloseReason) -> None:
        """Close a broken connection and report the outcome of its attempt."""
        self._close_with_outcome(
            Outcome.RESET if self.request_written else Outcome.CONNECT_FAILED, reason
        )

    def _close_with_outcome(self, outcome: Outcome, reason: CloseReason) -> None:
        """Close the connection and report the outcome of its attempt, if it carries one."""
        attempt, self.attempt = self.attempt, None
        self._abort_stream()
        self._close(reason)
        if attempt is not None:
            self.pool.node.conclude(attempt, outcome)

    def _stop_watching(self) -> None:
        """Sample the response no more: it is complete or given up."""
        self._progress = None
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _close(self, reason: CloseReason) -> None:
        if self._closed:
            return
        self._closed = True
        self.pool.connection_log.count_close(reason)
        if self._has_dropped_copy and reason is CloseReason.ATTEMPT_GIVEN_UP:
            self.pool.response_history.record_mistake()
        self.pool.unsent.discard(self)
        self.pool.remove_idle(self)
        self.parser = None
        self._drop_unparsed()
        self._body_chunks = []
        self._unsent_chunks = None
        self._release_budget()
        self._stop_watching()
        if self._quiet_timer is not None:
            self._quiet_timer.cancel()
            self._quiet_timer = None
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if self.transport is not None:
            if reason in GIVEN_UP_REASONS and self._socket_view is not None:
                reset_if_unsent(self._socket_view)
            self.transport.abort()
        elif self._dial_task is not None:
            self._dial_task.cancel()  # connection_made may still be called and aborts then

    def _release_descriptor(self) -> None:
        """Stop counting the descriptor, which is closed before another one can be opened."""
        if not self._descriptor_released:
            self._descriptor_released = True
            self.pool.descriptor_count -= 1
            self.pool.node.on_descriptor_freed()

    def is_usable(self) -> bool:
        """Whether an idle connection is still open, as far as the kernel knows.

        The event loop may not have seen its end yet. A request that is written to a closed
        connection would count as one that may have run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self._has_unread_data()

    def _has_unread_data(self) -> bool:
        """Whether bytes, an end or an error wait in the kernel, or the socket is gone."""
        return self._socket_view is None or has_unread_data(self._socket_view)


class HttpConnectionPool:
    """All connections to HTTP backends; idle ones are found by backend and by age.

    Implements interfaces.ConnectionPool.
    """

    __slots__ = (
        "connection_log", "descriptor_count", "idle_by_age", "idle_by_backend", "idle_timeout",
        "node", "quiet_time", "response_history", "unsent",
    )  # fmt: skip

    def __init__(self, node: HttpNode) -> None:
        self.node = node
        self.connection_log = ConnectionLog()
        self.descriptor_count = 0  # open connections and dials
        self.idle_by_backend: dict[int, list[BackendConnection]] = {}
        self.idle_by_age: dict[BackendConnection, None] = {}
        self.unsent: set[BackendConnection] = set()
        self.quiet_time = QuietTime()
        self.response_history = ResponseHistory()
        self.idle_timeout = AdaptiveIdleTimeout(0)
        self.set_backend_idle_timeout(node.config.backend_idle_timeout)

    def set_backend_idle_timeout(self, backend_timeout_ns: int) -> None:
        """Derive the pool's idle timeout from the idle timeout of the backends, in nanoseconds."""
        # A request on a connection as old as the backend's timeout could meet its close on the
        # way. It would count as a reset, so as one that may have run. A timeout that was learned
        # under another maximum is discarded.
        max_timeout_ns = max(backend_timeout_ns - IDLE_MARGIN_NS, backend_timeout_ns // 2)
        if max_timeout_ns != self.idle_timeout.max_timeout_ns:
            self.idle_timeout = AdaptiveIdleTimeout(max_timeout_ns)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on a reusable connection, or on a new one."""
        backend = attempt.backend
        address = self.node.discovery.backend_list.endpoints.get(backend)
        if address is None:
            self.node.conclude(attempt, Outcome.CONNECT_FAILED)
            return
        now = time.monotonic_ns()
        while (conn := self.take_idle(backend, now)) is not None:
            idle_ns = now - conn.idle_since
            if idle_ns > self.idle_timeout.timeout_ns:
                conn.abandon(CloseReason.IDLE_TOO_LONG)
            elif not conn.is_usable():
                conn.abandon(CloseReason.ENDED_WHILE_IDLE)
            else:
                self.connection_log.count_reuse()
                attempt.connection = conn
                delay_ns = self.quiet_time_after(conn) - idle_ns
                if delay_ns <= 0:
                    conn.start_on_idle(attempt)
                else:
                    conn.start_when_quiet(attempt, delay_ns)
                return
        if not self.node.has_room_for_backend():
            # The node is short of descriptors; this is no failure of the backend.
            self.node.conclude(attempt, Outcome.NOT_SENT)
            return
        self.connection_log.count_dial()
        conn = BackendConnection(self, backend, address)
        attempt.connection = conn
        conn.dial(attempt)

    def take_idle(self, backend: int, now: int) -> BackendConnection | None:
        """Take the newest connection that has been idle for the quiet time, else the first to be.

        Responses carry no request id: one is matched to its request by the order on the connection
        alone, so a connection may carry the next request only once nothing more is to be expected
        for the last one. Returns None if the backend has no idle connection that stays reusable for
        as long as that.
        """
        conns = self.idle_by_backend.get(backend)
        if not conns:
            return None

        def quiet_at(conn: BackendConnection) -> int:
            return conn.idle_since + self.quiet_time_after(conn)

        conn = next((conn for conn in reversed(conns) if quiet_at(conn) <= now), None)
        if conn is None:
            conn = min(conns, key=quiet_at)
            if quiet_at(conn) - conn.idle_since > self.idle_timeout.timeout_ns:
                return None
        self.remove_idle(conn)
        return conn

    def quiet_time_after(self, conn: BackendConnection) -> int:
        """Return how long a connection has to rest after its last response, in nanoseconds."""
        return self.quiet_time.required_after(
            conn.is_recognisable and self.response_history.are_distinct
        )

    def release(self, conn: BackendConnection) -> None:
        """Keep an idle connection, unless its backend is banned, drains, or has moved or left."""
        node = self.node
        if conn.backend in node.balancer.banned or not node.discovery.backend_list.is_ready(
            conn.backend, conn.address
        ):
            conn.abandon(CloseReason.BACKEND_NOT_READY)
            return
        conn.idle_since = time.monotonic_ns()
        self.idle_by_backend.setdefault(conn.backend, []).append(conn)
        self.idle_by_age[conn] = None

    def remove_idle(self, conn: BackendConnection) -> None:
        """Forget a connection that closes, if it is an idle one."""
        if conn in self.idle_by_age:
            del self.idle_by_age[conn]
            conns = self.idle_by_backend[conn.backend]
            conns.remove(conn)
            if not conns:
                del self.idle_by_backend[conn.backend]

    def drain_backend(self, backend: int) -> None:
        """Close idle connections and end dials; attempts that wait for a dial never ran."""
        self.close_idle(backend)
        for conn in [c for c in self.unsent if c.backend == backend]:
            conn.cancel_unsent()

    def close_idle(self, backend: int) -> None:
        """Close all idle connections to a backend."""
        for conn in list(self.idle_by_backend.get(backend, ())):
            conn.abandon(CloseReason.BACKEND_NOT_READY)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; returns false if none is idle."""
        conn = next(iter(self.idle_by_age), None)
        if conn is None:
            return False
        conn.abandon(CloseReason.DESCRIPTOR_NEEDED)
        return True

    def sweep(self, now: int) -> None:
        """Close connections that have been idle for longer than the idle timeout, and log."""
        summary = self.connection_log.take_summary(now)
        if summary:
            self.node.log(f"connections: {summary}")
        self.quiet_time.shrink_if_due(now)
        self.idle_timeout.grow_if_due(now)
        keep_since = now - self.idle_timeout.timeout_ns
        while (
            conn := next(iter(self.idle_by_age), None)
        ) is not None and conn.idle_since < keep_since:
            conn.abandon(CloseReason.IDLE_TOO_LONG)
