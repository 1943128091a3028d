"""Connections from clients: accepting, reading requests, writing answers."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
import time
from collections import deque
from typing import TYPE_CHECKING, cast
from zlib import crc32

import httptools

if TYPE_CHECKING:
    from windrelay.config import Address
    from windrelay.node import Node, Request
    from windrelay.upstream import BackendConnection

MS = 1_000_000
MAX_HEAD = 32 << 10
MAX_BODY = 32 << 20
SMALL_BODY = 16 << 10  # never made to wait for room
MAX_EARLY = 16  # requests a client may have sent ahead
BACKLOG = 1024
ACCEPTS = 64  # in one turn of the loop
# Patience with slow clients, in sweeps: a node that was stopped for a while must
# not take its own absence for the clients'.
SWEEP_S = 0.5
HEAD_SWEEPS = 10
BODY_SWEEPS = 20  # without a byte
BODY_GRACE_SWEEPS = 20  # and on average at least ...
BODY_BYTES_A_SWEEP = 16 << 10  # ... half of what PROTOCOL lets a slow client take
WRITE_SWEEPS = 30  # without a byte taken
LINGER_SWEEPS = 3
STREAM_SWEEPS = 20  # a backend that pauses for longer within a large answer has vanished

TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED = struct.Struct("=52xI")
QUEUED = struct.Struct("i")

REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
EMPTY = {
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


class BadRequest(Exception):
    """The request gets this status and its connection is closed."""

    def __init__(self, status: int, why: object = "") -> None:
        super().__init__(why)
        self.status = status


class Incoming:
    """A request as it is read; `head` is what each attempt starts with."""

    __slots__ = (
        "body", "chunked", "cls", "fields", "head", "hint", "keep_alive", "key", "length",
        "lines", "method", "probe", "received", "retried", "size", "tenant", "timeout", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.lines: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.length = 0
        self.chunked = False
        self.head = b""
        self.keep_alive = True
        self.probe = False
        self.cls = 0
        self.tenant = 0
        self.key = 0
        self.hint = 0
        self.retried = False
        self.timeout = 0
        self.received = 0


class ClientConnection(asyncio.Protocol):
    """One client's connection; requests on it are answered one after another."""

    __slots__ = (
        "_body_sweep", "_early", "_eof", "_error", "_fed", "_head_size", "_headers_done",
        "_incoming", "_keep_alive", "_lingering", "_old_http", "_parser", "_progress",
        "_reading_paused", "_request", "_server", "_since", "_sock", "_source", "_stream_chunked",
        "_transport", "_write_paused", "_write_since",
    )  # fmt: skip

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._incoming: Incoming | None = None
        self._early: deque[Incoming] = deque()
        self._request: Request | None = None
        self._source: BackendConnection | None = None
        self._stream_chunked = False
        self._headers_done = False
        self._head_size = 0
        self._keep_alive = True
        self._old_http = False
        self._eof = False
        self._error = 0
        self._lingering = False
        self._reading_paused = False
        self._write_paused = False
        self._since = 0  # sweep at which the head began, or lingering
        self._body_sweep = 0  # sweep at which the body last grew
        self._write_since = 0
        self._fed = 0  # sweep at which a large answer last grew
        self._progress = (0, 0)

    # ---- reading ------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpRequestParser(self)
        self._server.connections.add(self)
        self._server.idle[self] = None

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            return  # lingering: what still comes is dropped
        if not self._headers_done:
            self._head_size += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if not isinstance(cause, BadRequest):
                self._server.node.log(f"reading a request: {cause!r}")
            self._reject(cause.status if isinstance(cause, BadRequest) else 400, cause)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._reject(400, err)
            return
        incoming = self._incoming
        if incoming is None:
            return
        if not self._headers_done:
            if self._head_size > MAX_HEAD:
                self._reject(431)
        elif incoming.size:
            self._body_sweep = self._server.sweeps
            budget = self._server.node.budget
            if budget.must_pause(self):
                self._reading_paused = True
                self._pause_reading()

    def on_message_begin(self) -> None:
        if len(self._early) >= MAX_EARLY:
            raise BadRequest(400)
        self._incoming = Incoming()
        self._headers_done = False
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
            if incoming.fields.get(lower, value) != value and lower != b"connection":
                raise BadRequest(400, f"{lower!r} twice")  # which of the two would be meant?
            incoming.fields[lower] = value
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
        if parser.should_upgrade():
            raise BadRequest(400, "upgrade")  # the parser would not read its body
        size = len(incoming.url) + sum(map(len, incoming.lines))
        if size > MAX_HEAD:
            raise BadRequest(431)
        self._server.read_head(incoming)
        self._old_http = parser.get_http_version() == "1.0"
        if incoming.length > MAX_BODY:
            raise BadRequest(413)
        if incoming.length or incoming.chunked:
            self._body_sweep = self._since = self._server.sweeps
            if incoming.length > SMALL_BODY or incoming.chunked:
                self._server.node.budget.unfinished[self] = None
            if incoming.fields.get(b"expect", b"").lower() == b"100-continue":
                assert self._transport is not None
                if self._request is None:
                    self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.body.append(body)
        incoming.size += len(body)
        self._server.node.budget.take(len(body))
        if incoming.size > MAX_BODY:
            raise BadRequest(413)

    def on_message_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._headers_done = False
        node = self._server.node
        node.budget.finished(self)
        # What waited in the kernel while the loop was busy is the client's time.
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (unread_ms,) = LAST_DATA_RECEIVED.unpack(info)
        incoming.received = time.monotonic_ns() - unread_ms * MS
        if not incoming.probe:
            if incoming.method == b"POST" or incoming.size:
                incoming.lines.append(b"Content-Length: %d\r\n" % incoming.size)
            lines = b"".join(incoming.lines)
            incoming.head = b"%s %s HTTP/1.1\r\n%sX-Timeout-Ms: " % (
                incoming.method,
                incoming.url,
                lines,
            )
        incoming.lines = []
        if self._request is not None or self._source is not None or self._early:
            self._early.append(incoming)
            # The next request is here before this one's answer: enough read.
            self._pause_reading()
        else:
            self._begin(incoming)

    def _begin(self, incoming: Incoming) -> None:
        self._server.idle.pop(self, None)
        self._keep_alive = incoming.keep_alive
        node = self._server.node
        if incoming.probe:
            ready = not self._server.stopping
            self._write_head(READY if ready else EMPTY[503])
            return
        waited = time.monotonic_ns() - incoming.received
        # Set first: the answer may come before the call returns.
        request = node.request(self, incoming, waited)
        if request is None:
            node.budget.give(incoming.size)
            self.answer_empty(503, 0)
        elif not request.ended:
            self._request = request

    def _next(self) -> None:
        """Begin what the client sent early; on a turn of its own, so that calls do not nest."""
        if self._request is None and self._source is None and self._early:
            self._begin(self._early.popleft())

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """There is room for more of the body."""
        self._reading_paused = False
        self._body_sweep = self._server.sweeps
        if self._transport is not None and not self._early:
            self._transport.resume_reading()

    # ---- answering ----------------------------------------------------

    def answer(self, content_type: bytes, chunks: list[bytes], size: int) -> None:
        """The whole answer of a backend."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % size
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        self._write_head(head, chunks)

    def answer_empty(self, status: int, retry_after: int) -> None:
        head = EMPTY[status]
        if retry_after:
            head += b"Retry-After: %.3f\r\n" % (retry_after / 1e9)
        self._write_head(head)

    def _closes(self) -> bool:
        return self._server.stopping or self._eof or not self._keep_alive

    def _write_head(self, head: bytes, chunks: list[bytes] | None = None) -> None:
        """Write an answer that is whole, and go on to what follows it."""
        self._request = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        end = b"Connection: close\r\n\r\n" if self._closes() else b"\r\n"
        transport.write(b"".join((head, end, *chunks)) if chunks else head + end)
        self._after_answer()

    def stream_begin(self, source: BackendConnection, content_type: bytes, length: int) -> None:
        """The first bytes of a large answer; the rest follows as the client reads."""
        self._request = None
        self._source = source
        self._fed = self._server.sweeps
        head = b"HTTP/1.1 200 OK\r\n"
        self._stream_chunked = length < 0 and not self._old_http
        if length >= 0:
            head += b"Content-Length: %d\r\n" % length
        elif self._stream_chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        else:
            self._keep_alive = False
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        assert self._transport is not None
        self._transport.write(head + (b"Connection: close\r\n\r\n" if self._closes() else b"\r\n"))

    def stream_data(self, data: bytes) -> None:
        self._fed = self._server.sweeps
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._stream_chunked else data)

    def stream_end(self) -> None:
        self._source = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._stream_chunked:
            transport.write(b"0\r\n\r\n")
        self._after_answer()

    def stream_break(self) -> None:
        """The backend broke off: a reset, or too few bytes, tells the client."""
        self._source = None
        if self._transport is not None:
            self._transport.abort()

    def _after_answer(self) -> None:
        if self._closes():
            self._end()
        elif self._early:
            self._server.node.loop.call_soon(self._next)
        elif self._error:
            self._reject(self._error)
        else:
            if self._incoming is None:
                self._server.idle[self] = None
            assert self._transport is not None
            if not self._reading_paused:
                self._transport.resume_reading()

    def _reject(self, status: int, why: object = "") -> None:
        """Answer what can't be read as a request, once the one before it is answered."""
        incoming = self._incoming
        if incoming is not None:
            seen = f"{incoming.url[:60]!r} {incoming.size} of {incoming.length} bytes"
            self._server.node.log(f"answering {status}: {why} {seen}")
        self._drop_incoming()
        self._parser = None
        self._error = status
        self._keep_alive = self._keep_alive and bool(self._request or self._source)
        if self._request is not None or self._source is not None or self._early:
            return
        self._error = 0
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(EMPTY[status] + b"Connection: close\r\n\r\n")
            self._end()

    def _end(self) -> None:
        """Close once the client has: closing on unread bytes would reset the connection,
        and the reset could reach the client before the answer does."""
        transport = self._transport
        assert transport is not None
        self._server.idle.pop(self, None)
        self._drop_incoming()
        self._drop_early()
        self._parser = None
        if self._eof:
            transport.close()
            return
        self._lingering = True
        self._since = self._server.sweeps
        transport.write_eof()
        transport.resume_reading()

    def _drop_incoming(self) -> None:
        incoming, self._incoming = self._incoming, None
        budget = self._server.node.budget
        budget.finished(self)
        if incoming is not None:
            budget.give(incoming.size)

    def _drop_early(self) -> None:
        while self._early:
            self._server.node.budget.give(self._early.popleft().size)

    def pause_writing(self) -> None:
        self._write_paused = True
        if self._source is not None:
            self._source.hold()

    def resume_writing(self) -> None:
        self._write_paused = False
        self._fed = self._server.sweeps
        if self._source is not None:
            self._source.go_on()

    # ---- ends ---------------------------------------------------------

    def eof_received(self) -> bool:
        # A client that has ended its sending may still wait for its answer; one
        # that has closed costs an answer that nobody reads. Taking the first for
        # the second would lose a request.
        self._eof = True
        return self._request is not None or self._source is not None or bool(self._early)

    def connection_lost(self, exc: Exception | None) -> None:
        server = self._server
        self._transport = None
        self._parser = None
        server.connections.discard(self)
        server.idle.pop(self, None)
        self._drop_incoming()
        self._drop_early()
        request, self._request = self._request, None
        source, self._source = self._source, None
        if source is not None:
            source.abandon()
        if request is not None:
            server.node.client_gone(request)
        server.node.clients -= 1
        server.node.freed()

    def resting(self) -> bool:
        """Whether it can be closed without harm: nothing under way either way."""
        transport = self._transport
        if (
            transport is None
            or self._request is not None
            or self._source is not None
            or self._incoming is not None
            or self._early
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

    def finished(self) -> bool:
        """Whether a stop need not wait for it."""
        transport = self._transport
        return transport is None or (
            self._request is None
            and self._source is None
            and self._incoming is None
            and not self._early
            and not transport.get_write_buffer_size()
        )

    def close(self) -> None:
        if self._transport is not None:
            self._server.idle.pop(self, None)
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
        if incoming is not None and not self._reading_paused and self._parser is not None:
            if not self._headers_done:
                if sweep - self._since > HEAD_SWEEPS:
                    self._reject(408)
                    return
            else:
                earned = BODY_GRACE_SWEEPS + incoming.size // BODY_BYTES_A_SWEEP
                if sweep - self._body_sweep > BODY_SWEEPS or sweep - self._since > earned:
                    self._reject(408)
                    return
        source = self._source
        if source is not None and not self._write_paused and sweep - self._fed > STREAM_SWEEPS:
            # A machine that vanishes within an answer says nothing, and no deadline
            # runs any more: both connections would stay for good.
            source.abandon()
            self.stream_break()
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
        self.idle: dict[ClientConnection, None] = {}  # longest idle first
        self.sweeps = 0
        self.stopping = False
        self._paused = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None
        settings = node.config.settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._deadlines = [c.deadline for c in settings.classes]
        node.freed = self.freed

    def listen(self, address: Address) -> int:
        """Take connections at this address; returns the port."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self._sock = sock
        self.node.loop.add_reader(sock, self._accept)
        return int(sock.getsockname()[1])

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._sock is None or not self._room():
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue
            except OSError as err:
                # Descriptors are budgeted, but the system may be short of other
                # things: the accept loop must outlive that.
                self.node.log(f"accept: {err}")
                self._pause()
                return
            sock.setblocking(False)
            self.node.clients += 1
            task = self.node.loop.create_task(self._welcome(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _welcome(self, sock: socket.socket) -> None:
        conn = ClientConnection(self, sock)
        try:
            await self.node.loop.connect_accepted_socket(lambda: conn, sock)
        except OSError:
            sock.detach()
            if conn not in self.connections:
                self.node.clients -= 1
                self.freed()

    def _room(self) -> bool:
        """Room for one more; else an idle connection goes, and the next waits its turn."""
        if self.node.room_for_client():
            return True
        self._pause()
        if not self.drop_oldest():
            self.node.upstream.drop_oldest()
        return False

    def _pause(self) -> None:
        if self._sock is not None and not self._paused:
            self._paused = True
            self.node.loop.remove_reader(self._sock)

    def freed(self) -> None:
        """A descriptor has come free: accept again."""
        if self._paused and self._sock is not None and self.node.room_for_client():
            self._paused = False
            self.node.loop.add_reader(self._sock, self._accept)

    def drop_oldest(self) -> bool:
        """Close the client connection that has rested longest; False where none rests."""
        for conn in self.idle:
            if conn.resting():
                conn.close()
                return True
        return False

    def sweep(self) -> None:
        self.sweeps += 1
        for conn in list(self.connections):
            conn.sweep(self.sweeps)
        self.freed()
        if self._paused and not self.drop_oldest():
            self.node.upstream.drop_oldest()

    # ---- stopping -----------------------------------------------------

    def stop_accepting(self) -> None:
        """Take in what the kernel has accepted for us, then listen no more."""
        sock = self._sock
        if sock is None:
            return
        for conn in list(self.idle):
            if conn.resting():
                conn.close()
        for _ in range(BACKLOG // ACCEPTS):
            self._accept()
        self._pause()
        self._sock = None
        sock.close()

    def finished(self) -> bool:
        return not self._tasks and all(conn.finished() for conn in self.connections)

    # ---- heads --------------------------------------------------------

    def read_head(self, incoming: Incoming) -> None:
        """Check a head and fill in what the module wants to know; BadRequest if it is unfit."""
        fields = incoming.fields
        path = incoming.url.partition(b"?")[0]
        incoming.chunked = b"transfer-encoding" in fields
        incoming.length = int(fields.get(b"content-length", b"0"))
        parts = path.split(b"/")
        if path == b"/health/ready":
            incoming.probe = True
            if incoming.method != b"GET" or incoming.length or incoming.chunked:
                raise BadRequest(400)
            return
        cls = self._classes.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if cls is None:
            raise BadRequest(404)
        if incoming.method not in (b"GET", b"POST"):
            raise BadRequest(405)
        if fields.get(b"x-priority-class", parts[1]) != parts[1]:
            raise BadRequest(400, f"class {fields[b'x-priority-class']!r}")
        if not fields.get(b"x-request-id") or b"host" not in fields:
            raise BadRequest(400, "no id or no host")
        if self._tenants:
            tenant = self._tenants.get(fields.get(b"x-tenant-id", b""))
            if tenant is None:
                raise BadRequest(400, "tenant")
            incoming.tenant = tenant
        timeout = fields.get(b"x-timeout-ms", b"")
        if not timeout.isdigit() or len(timeout) > 12 or not int(timeout):
            raise BadRequest(400, f"timeout {timeout!r}")
        incoming.cls = cls
        incoming.timeout = min(int(timeout) * MS, self._deadlines[cls])
        if len(parts) > 2 and parts[-1]:
            incoming.key = crc32(parts[-1]) or 1
        cost = fields.get(b"x-cost", b"")
        if cost.isdigit() and len(cost) <= 12:
            incoming.hint = int(cost) * 1000
        incoming.retried = fields.get(b"x-retried") == b"1"
