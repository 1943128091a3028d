"""Connections to backends, and the pool of idle ones."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import time
from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING, cast

import httptools

from flinthatch import Outcome
from windrelay.config import Address
from windrelay.guard import closes_connection_on_error
from windrelay.interfaces import StreamingCaller
from windrelay.socket_view import SocketView, has_unread_data

if TYPE_CHECKING:
    from windrelay.http_node import HttpNode
    from windrelay.node import Attempt

MAX_BUFFERED_BODY_BYTES = 64 << 10  # longer answers are passed on as they come
MAX_BODY = 32 << 20  # of an answer: the platform's own bound
MAX_HEAD = 16 << 10  # of an answer and of what comes ahead of it
# An answer that has begun goes on, in small pieces at times: with one that says it is longer
# than it is, the whole of the attempt's time would pass.
REST_S = 0.25
# The same of one that is passed on: it can't be repeated any more, so it gets longer.
PASSED_REST_S = 3.0
PIECE = 64 << 10  # of a request, given to the transport at a time
OWN_WANT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
MAX_INTERIM = 8  # 1xx answers before the real one
# Turns of the loop between a dial's time being up and its end. What the kernel has
# finished by then is found by this turn's poll and told in the next, behind what was
# due there already: a loop that was late must not take its own lateness for the server's.
DIAL_GRACE_TURNS = 3
SETTLED_NS = 3_000_000  # after which an end that follows an answer is here
IDLE_MARGIN_NS = 2_000_000_000  # closed so long before the backend would
LEARN_BACKENDS = 2  # that broke off at first use, for a shorter limit
LEARN_AGAINST = 2  # more breaks of longer rests, for each break of a shorter one
LEAST_LIMIT_NS = 25_000_000  # what closes sooner does so whatever the rest
LEARN_USES = 256  # of rested connections looked at, within ...
LEARN_WINDOW_NS = 10_000_000_000
LEARN_PAUSE_NS = 5_000_000_000  # before a longer one is tried again
LEARN_PAUSE_MAX_NS = 60_000_000_000
MS = 1_000_000

# The site's words for load, beside those that settings may use for the same.
LOAD_WORDS = {
    b"inflight": "rif",
    b"queue": "q",
    b"util": "busy",
    b"latency_ms": "lat_ms",
    b"qps": "rate",
    b"eps": "fail_rate",
}


class BackendConnection(asyncio.Protocol):
    """One connection to one backend; it carries one attempt at a time.

    `written` is the line that the rules hang on: false for as long as a part of
    the request, its last byte included, has certainly not left the process.
    """

    __slots__ = (
        "_chunked", "_chunks", "_closed", "_complete", "_dial_timer", "_dirty", "_glance", "_got",
        "_headers_done", "_interim", "_keep_alive", "_last_got", "_length", "_let", "_not_run",
        "_passing", "_paused", "_report", "_rest_timer", "_says_close", "_size", "_slow", "_spoilt",
        "_status", "_taken", "_task", "_type", "_unsent", "_until_end", "address", "attempt",
        "backend", "idle_since", "parser", "transport", "upstream", "written",
    )  # fmt: skip

    def __init__(self, upstream: HttpConnectionPool, backend: int, address: Address) -> None:
        self.upstream = upstream
        self.backend = backend
        self.address = address
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since = 0
        self._closed = False
        self._let = False
        self._taken = 0  # bytes of the answer that count against the node's budget
        self._glance: SocketView | None = None
        self._task: asyncio.Task[None] | None = None
        self._dial_timer: asyncio.TimerHandle | None = None
        self._rest_timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.written = False
        self._paused = False
        self._unsent: deque[bytes] | None = None  # what the transport has not been given yet
        self._passing: StreamingCaller | None = None  # who takes the answer as it comes
        self._slow = False  # whoever takes it can't take more at present
        self._last_got = 0
        self._interim = 0
        self._got = 0  # bytes of the answer, of whatever kind
        self._spoilt = False
        self._begin_answer()

    def _begin_answer(self) -> None:
        self._status = 0
        self._headers_done = False
        self._length = -1
        self._chunked = False
        self._not_run = False
        self._report = b""
        self._type = b""
        self._chunks: list[bytes] = []
        self._size = 0
        self._complete = False
        self._says_close = False
        self._until_end = False  # only the end of the connection ends it
        self._keep_alive = False
        self._dirty = False

    # ---- dialling -----------------------------------------------------

    def dial(self, attempt: Attempt) -> None:
        """Connect for this attempt; the loop makes and owns the descriptor (see `socket_view`)."""
        node = self.upstream.node
        self.attempt = attempt
        self.upstream.descriptor_count += 1
        self.upstream.dials.add(self)
        timeout = node.config.settings.connect_timeout / 1e9
        self._dial_timer = node.loop.call_later(timeout, self._dial_expired, DIAL_GRACE_TURNS)
        self._task = node.loop.create_task(self._connect())
        self._task.add_done_callback(self._dialled)

    async def _connect(self) -> None:
        loop = self.upstream.node.loop
        host, port = self.address
        await loop.create_connection(lambda: self, host, port, family=socket.AF_INET)

    @closes_connection_on_error
    def _dialled(self, task: asyncio.Task[None]) -> None:
        """However dialling ended. On each failure the loop has closed what it made."""
        self._task = None
        error = None if task.cancelled() else task.exception()
        if error is None and not task.cancelled():
            return  # connection_lost ends it
        self._let_go()
        if isinstance(error, OSError) and error.errno in OWN_WANT:
            self._settle(Outcome.NOT_SENT)  # says nothing of the backend
            return
        if error is not None and not isinstance(error, OSError):
            self.upstream.node.record_error("a dial", error)
        self._broken()

    @closes_connection_on_error
    def _dial_expired(self, turns: int) -> None:
        if self._closed or self.transport is not None:
            return
        if turns:
            self.upstream.node.loop.call_soon(self._dial_expired, turns - 1)
        else:
            self._broken()

    @closes_connection_on_error
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.dials.discard(self)
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if self._closed:
            self.transport.abort()
            return
        self._glance = SocketView(transport)
        # With no room above the kernel's, a write that leaves anything behind
        # pauses us at once: not paused means that every byte has left.
        self.transport.set_write_buffer_limits(high=0)
        self.parser = httptools.HttpResponseParser(self)
        attempt = self.attempt
        if attempt is None:
            return
        if self.upstream.node.may_begin(attempt):
            self._write_request()
            return
        # Too late for this one; the connection has cost its handshake and serves another.
        self.attempt = None
        self.upstream.release(self)
        self.upstream.node.conclude(attempt, Outcome.NOT_SENT)

    # ---- the request --------------------------------------------------

    def begin(self, attempt: Attempt) -> None:
        """Carry an attempt on a connection that was idle."""
        self._reset()
        self.attempt = attempt
        self._write_request()

    def _write_request(self) -> None:
        attempt = self.attempt
        assert attempt is not None
        r = attempt.request
        if r is None:
            head = b"GET /health/live HTTP/1.1\r\nHost: %s\r\n\r\n" % str(self.address).encode()
        else:
            left = attempt.sent_at + attempt.timeout - time.monotonic_ns()
            asked = r.incoming
            head = b"%s%d\r\n\r\n" % (asked.head, max(left // MS, 1))
            if asked.body_size <= PIECE:
                head = b"".join((head, *asked.body))
        transport = self.transport
        assert transport is not None
        # Mostly one write, never more than a head and 64 KiB. Where the write itself fails the
        # kernel took nothing, so the last byte never left: connection_lost tells the outcome.
        # A rest may wait above the kernel, but how much is in doubt from here on.
        if r is None or r.incoming.body_size <= PIECE:
            transport.write(head)
            self.written = not transport.is_closing()
            return
        # What is longer goes in pieces, the next once the one before has left, so that a
        # request never ran where its connection breaks before the last is begun.
        self._unsent = deque(asked.body)
        transport.write(head)
        self._push()

    def _push(self) -> None:
        transport = self.transport
        while self._unsent and not self._paused and transport is not None:
            if transport.is_closing():
                return
            attempt = self.attempt
            if len(self._unsent) == 1 and attempt and not self.upstream.node.may_begin(attempt):
                self._settle(Outcome.NOT_SENT)
                return
            transport.write(self._unsent.popleft())
            self.written = not self._unsent and not transport.is_closing()

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        if self._unsent:
            self._push()

    # ---- the answer ---------------------------------------------------

    def _give_back(self) -> None:
        """What was held of an answer has been passed on or dropped."""
        taken, self._taken = self._taken, 0
        if taken:
            self.upstream.node.budget.release(taken)

    def data_received(self, data: bytes) -> None:
        parser = self.parser
        if parser is None:
            return
        if self.attempt is None:
            # Unasked-for bytes on an idle connection: they answer nobody.
            self._close()
            return
        self._got += len(data)
        self._last_got = time.monotonic_ns()
        if self._passing is not None and self._length >= 0:
            self._pass_raw(data)
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as err:
            self.upstream.node.record_error("reading an answer", err.__context__ or err)
            self._spoilt = True
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._dirty = True
            self._spoilt = not self._complete
        if self._complete and not self._spoilt:
            self._finish_response()
        elif self._spoilt or (not self._headers_done and self._got > MAX_HEAD):
            self._give_up_answer()
        elif self._rest_timer is None:
            self._rest_timer = self.upstream.node.loop.call_later(REST_S, self._rest_expired)

    def eof_received(self) -> bool:
        # An answer without a length is whole where its connection ends, and only so.
        if self.attempt is not None and self._until_end and not self._spoilt:
            self._complete = True
            self._finish_response()
        return False

    @closes_connection_on_error
    def _rest_expired(self) -> None:
        self._rest_timer = None
        if self.attempt is None:
            return
        patience = REST_S if self._passing is None else PASSED_REST_S
        silent = (time.monotonic_ns() - self._last_got) / 1e9
        if self._slow:
            silent = 0.0  # whoever takes it is, and has limits of its own
        elif silent >= patience:
            if not self._unread():
                self._give_up_answer()
                return
            silent = 0.0  # it is our loop that was late
        self._rest_timer = self.upstream.node.loop.call_later(patience - silent, self._rest_expired)

    def _give_up_answer(self) -> None:
        """The answer can't be used: a failed attempt that may have run, and no more.

        Any backend may send one now and then, and the next answer may be sound: told
        as a break, two in a row would have the backend suspended and taken for cold.
        One that sends nothing else is met by the attempts' errors alone.
        """
        attempt = self.attempt
        if attempt is not None:
            self.upstream.node.log(
                f"backend {self.backend}: answer not used, {self._got} bytes, "
                f"status {self._status}, length {self._length}"
            )
        self._settle(Outcome.ERROR if self.written else Outcome.CONNECT_FAILED)

    def on_message_begin(self) -> None:
        if self._complete:
            self._dirty = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers_done or self._complete:
            return  # a trailer, or of what follows the answer
        name = name.lower()
        value = value.strip(b" \t")  # the parser leaves what may follow
        if name == b"content-length":
            if not value.isdigit() or len(value) > 9 or self._length >= 0:
                self._spoilt = True
            else:
                self._length = int(value)
        elif name == b"content-type":
            self._type = value
        elif name == b"transfer-encoding":
            self._chunked = True
        elif name == b"connection":
            self._says_close = value.lower() == b"close"
        elif name == b"x-not-processed":
            self._not_run = value == b"1"
        elif name == b"x-server-load":
            self._report = value

    def on_headers_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        self._status = self.parser.get_status_code()
        self._headers_done = True
        self._keep_alive = self.parser.should_keep_alive()
        # Known from the head alone: too long, or of a length that nobody could check.
        # An answer that ends with its connection looks whole wherever it breaks off.
        self._spoilt |= self._length > MAX_BODY or (self._length >= 0 and self._chunked)
        if self._status == 200 and self._length < 0 and not self._chunked:
            # The end of its connection ends it, so that it looks whole wherever it breaks off:
            # only a server that says so beforehand is believed.
            self._until_end = self._says_close
            self._spoilt |= not self._says_close

    def on_body(self, body: bytes) -> None:
        if self.parser is None:
            return
        if self._complete:
            self._dirty = True
            return
        self._size += len(body)
        if self._size > MAX_BODY:
            self._spoilt = True
        elif self._status != 200 or self._spoilt:
            return  # the text of an error is of no use to anybody: it is not kept
        elif self._passing is not None:
            self._passing.send_data(body)
        else:
            self._chunks.append(body)
            self._taken += len(body)
            self.upstream.node.budget.reserve(len(body))
            if self._size > MAX_BUFFERED_BODY_BYTES or self._length > MAX_BUFFERED_BODY_BYTES:
                self._pass_on()

    def _pass_on(self) -> None:
        """From here on the answer goes to its client as it comes."""
        attempt = self.attempt
        r = attempt.request if attempt is not None else None
        if attempt is None or r is None:
            self._spoilt = True  # a probe's
        elif not self.written:
            self._spoilt = True  # no answer to this request, see _outcome
        elif r.ended or r.client is None:
            self._spoilt = True  # nobody takes it
        else:
            self._passing = cast(StreamingCaller, r.client)
            chunks, self._chunks = self._chunks, []
            self.upstream.node.begin_answer(attempt)
            self._passing.begin_stream(self._type, self._length, self)
            for chunk in chunks:
                self._passing.send_data(chunk)
            self._give_back()

    def _pass_raw(self, data: bytes) -> None:
        """Within a body of a known length there is nothing to parse, and nothing to copy."""
        assert self._passing is not None
        left = self._length - self._size
        if len(data) > left:
            self._dirty = True  # more than belongs to it
            data = data[:left]
        self._size += len(data)
        self._passing.send_data(data)
        if self._size == self._length:
            self._complete = True
            self.parser = httptools.HttpResponseParser(self)  # the old one stands in the body
            self._finish_response()

    # ---- passing on (interfaces.StreamSource) --------------------------------------

    def pause_reading(self) -> None:
        self._slow = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self._slow:
            self._slow = False
            self._last_got = time.monotonic_ns()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def cancel(self) -> None:
        self._passing = None
        self._settle(Outcome.CANCELLED)

    def _cut(self) -> None:
        """What was passed on is not whole; whoever takes it must see that."""
        passing, self._passing = self._passing, None
        if passing is not None:
            passing.abort_stream()

    def on_message_complete(self) -> None:
        if self._complete or self.parser is None:
            return
        if 100 <= self._status < 200 and self._status != 101 and self._interim < MAX_INTERIM:
            self._interim += 1
            self._begin_answer()
            return
        self._keep_alive = self.parser.should_keep_alive()
        self._complete = True

    @closes_connection_on_error
    def connection_lost(self, exc: Exception | None) -> None:
        if self._glance is not None:
            self._glance.release()
            self._glance = None
        try:
            if self.attempt is not None:
                self._broke_off(self.attempt, exc)
            if self._got and self.attempt is not None:
                self._give_up_answer()  # it was alive; had it ended, the next dial would tell
            else:
                self._broken()
        finally:
            self._let_go()

    def _broke_off(self, attempt: Attempt, exc: Exception | None) -> None:
        """Learn from a break under an attempt, and log it."""
        now = time.monotonic_ns()
        idle = attempt.sent_at - self.idle_since if self.idle_since else -MS
        if self.idle_since and not self._got:
            self.upstream.idle_timeout.broke(now, self.backend, idle)
        self.upstream.node.log(
            f"backend {self.backend} broke off: {exc or 'end'}, idle before {idle // MS} ms, "
            f"{(now - attempt.sent_at) // MS} ms after the send, "
            f"{self._got} bytes of an answer, written {self.written}"
        )

    def close_on_error(self, where: str, error: BaseException) -> None:
        """An exception in a callback: a break of this connection, and no more."""
        self.upstream.node.record_error(where, error)
        self._broken()
        if self.transport is not None:
            self.transport.abort()  # also where it was marked as closed half way

    def _outcome(self) -> Outcome:
        status = self._status
        if status == 200:
            # Before the request's last byte is written no backend has begun it:
            # such an answer is not one to this request.
            return Outcome.OK if self.written else Outcome.ERROR
        if status in (503, 504) and self._not_run:
            return Outcome.FULL
        return Outcome.ERROR

    def _finish_response(self) -> None:
        attempt, self.attempt = self.attempt, None
        transport = self.transport
        chunks, self._chunks = self._chunks, []
        node = self.upstream.node
        reusable = (
            not self._dirty
            and self.written
            and not self._paused
            and self._keep_alive
            and transport is not None
            and not transport.is_closing()
        )
        self._stop_rest_timer()
        outcome = self._outcome()
        if attempt is not None:
            if self.idle_since:
                idle = attempt.sent_at - self.idle_since
                self.upstream.idle_timeout.held(node.now, idle)
            r = attempt.request
            passing, self._passing = self._passing, None
            if passing is not None:
                passing.end_stream()
                # Held for its last piece, nobody would let it go on any more: the next answer
                # on this connection was never read.
                self.resume_reading()
            elif r is not None and outcome == Outcome.OK and not r.ended and r.client is not None:
                r.client.send_response(self._type, chunks, self._size)
            elif r is None and outcome == Outcome.ERROR and self._status == 503:
                outcome = Outcome.FULL
        self._give_back()
        if reusable:
            self.upstream.release(self)
        else:
            self._close()
        if attempt is not None:
            node.conclude(attempt, outcome, self._load())

    def _load(self) -> Sequence[float]:
        """The load report in the settings' order of columns, or nothing."""
        config = self.upstream.node.config
        if not self._report or not config.load_reports_enabled:
            return ()
        values: dict[str, float] = {}
        try:
            for part in self._report.split(b","):
                word, _, value = part.strip().partition(b"=")
                values[word.decode()] = values[LOAD_WORDS.get(word, word.decode())] = float(value)
            told = tuple(values[column] for column in config.settings.load_columns)
            return told if all(map(math.isfinite, told)) else ()
        except (ValueError, KeyError):
            return ()

    # ---- ends ---------------------------------------------------------

    def abandon(self) -> bool:
        """Stop waiting and close: whatever comes late must reach nobody.

        False where the request's last byte was certainly never written.
        """
        sent = self.written
        self.attempt = None
        self._cut()
        self._close()
        return sent

    def withdraw(self) -> None:
        """End a dial whose backend wants nothing new by now: that says nothing of it."""
        self._settle(Outcome.NOT_SENT)

    def _broken(self) -> None:
        """The connection is of no more use; whoever waits on it learns so."""
        self._settle(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def _settle(self, outcome: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        self._cut()
        self._close()
        if attempt is not None:
            self.upstream.node.conclude(attempt, outcome)

    def _stop_rest_timer(self) -> None:
        if self._rest_timer is not None:
            self._rest_timer.cancel()
            self._rest_timer = None

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self.upstream.dials.discard(self)
        self.upstream.take_out(self)
        self.parser = None
        self._chunks = []
        self._unsent = None
        self._give_back()
        self._stop_rest_timer()
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        if self.transport is not None:
            self.transport.abort()
        elif self._task is not None:
            self._task.cancel()  # connection_made may come all the same: it aborts

    def _let_go(self) -> None:
        """The descriptor is closed, or will be before anything else can be opened."""
        if not self._let:
            self._let = True
            self.upstream.descriptor_count -= 1
            self.upstream.node.on_descriptor_freed()

    def usable(self) -> bool:
        """Whether an idle connection still stands, as far as the kernel knows.

        The loop may not have come to its end yet: a request written into it
        would count as may-have-run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self._unread()

    def _unread(self) -> bool:
        return self._glance is None or has_unread_data(self._glance)


class AdaptiveIdleTimeout:
    """How long a connection may have been idle and still be used.

    Backends, or what lies between, may forget idle connections long before the
    settings' time and say so only when the next request is written: then it
    counts as may-have-run. A shorter limit is learnt where most connections that
    had rested so long or longer broke under their first bytes. Breaks that hit
    long and short rests alike teach nothing, nor does one backend alone, which
    may just have been restarted: dialling for each request would only hurt.
    Where one connection in twenty breaks by chance the two longest rests of the
    last uses do so every few seconds; taken for a lesson, that brought the limit
    to 0 within 20 s, and each request dialled.
    """

    __slots__ = ("_grow_at", "_pause", "_seen", "max_timeout_ns", "timeout_ns")

    def __init__(self, most: int) -> None:
        self.max_timeout_ns = most
        self.timeout_ns = most
        # The last uses of rested connections: when, how long idle, the backend that broke.
        self._seen: deque[tuple[int, int, int | None]] = deque(maxlen=LEARN_USES)
        self._pause = LEARN_PAUSE_NS
        self._grow_at = 0

    def held(self, now: int, idle: int) -> None:
        """A connection that had been idle so long brought an answer."""
        self._seen.append((now, idle, None))

    def broke(self, now: int, backend: int, idle: int) -> None:
        """A connection that had been idle so long broke under its first bytes."""
        seen = self._seen
        seen.append((now, idle, backend))
        while now - seen[0][0] > LEARN_WINDOW_NS:
            seen.popleft()
        broken = shortest = 0
        backends = set()
        all_broken = sum(use[2] is not None for use in seen)
        longest_first = sorted(seen, key=lambda use: -use[1])
        for total, (_, age, which) in enumerate(longest_first, 1):
            if which is not None:
                broken += 1
                backends.add(which)
                sure = LEARN_BACKENDS + LEARN_AGAINST * (all_broken - broken)
                if len(backends) >= LEARN_BACKENDS and broken >= sure and broken * 3 >= total * 2:
                    shortest = max(age * 7 // 10, LEAST_LIMIT_NS)
        if 0 < shortest < self.timeout_ns:
            self.timeout_ns = shortest
            self._grow_at = now + self._pause
            # Each time that more was tried and broke again, the next try waits longer.
            self._pause = min(2 * self._pause, LEARN_PAUSE_MAX_NS)

    def sweep(self, now: int) -> None:
        if self.timeout_ns < self.max_timeout_ns and now >= self._grow_at:
            self.timeout_ns = min(self.timeout_ns * 3 // 2 + MS, self.max_timeout_ns)
            self._grow_at = now + self._pause


class HttpConnectionPool:
    """Idle connections by backend, newest first, and by age for giving up."""

    __slots__ = ("by_age", "descriptor_count", "dials", "idle", "idle_timeout", "node")

    def __init__(self, node: HttpNode) -> None:
        self.node = node
        self.descriptor_count = 0  # descriptors, dials included
        self.idle: dict[int, list[BackendConnection]] = {}
        self.by_age: dict[BackendConnection, None] = {}
        self.dials: set[BackendConnection] = set()  # not made yet
        self.idle_timeout = AdaptiveIdleTimeout(0)
        self.set_backend_idle_timeout(node.config.backend_idle_timeout)

    def set_backend_idle_timeout(self, closed_after: int) -> None:
        """Backends close what has been idle for so many nanoseconds, by the settings."""
        # At their own limit a request would cross their close, and count as a reset: may
        # have run. What was learnt holds only below the limit it was learnt under.
        most = max(closed_after - IDLE_MARGIN_NS, closed_after // 2)
        if most != self.idle_timeout.max_timeout_ns:
            self.idle_timeout = AdaptiveIdleTimeout(most)

    def send(self, attempt: Attempt) -> None:
        backend = attempt.backend
        address = self.node.discovery.backend_list.endpoints.get(backend)
        if address is None:
            self.node.conclude(attempt, Outcome.CONNECT_FAILED)
            return
        while (conn := self.pop(backend, attempt.sent_at)) is not None:
            if attempt.sent_at - conn.idle_since <= self.idle_timeout.timeout_ns and conn.usable():
                attempt.connection = conn
                conn.begin(attempt)
                return
            conn.abandon()
        if not self.node.has_room_for_backend():
            # Our own want of descriptors says nothing of the backend.
            self.node.conclude(attempt, Outcome.NOT_SENT)
            return
        conn = BackendConnection(self, backend, address)
        attempt.connection = conn
        conn.dial(attempt)

    def pop(self, backend: int, now: int) -> BackendConnection | None:
        """The newest connection that has rested for a moment, else the newest of all.

        Some backends close right behind an answer: written to before that end is here,
        a request counts as one that may have run. Where all are fresh from an answer
        the newest is taken all the same, for a dial costs the backend work.
        """
        conns = self.idle.get(backend)
        if not conns:
            return None
        at = len(conns) - 1
        for i in range(at, -1, -1):
            if now - conns[i].idle_since >= SETTLED_NS:
                at = i
                break
        conn = conns.pop(at)
        if not conns:
            del self.idle[backend]
        del self.by_age[conn]
        return conn

    def release(self, conn: BackendConnection) -> None:
        """Keep a connection for the next attempt, unless its backend has moved, drains or left."""
        node = self.node
        if conn.backend in node.balancer.banned or not node.discovery.backend_list.is_ready(
            conn.backend, conn.address
        ):
            conn.abandon()
            return
        conn.idle_since = time.monotonic_ns()
        self.idle.setdefault(conn.backend, []).append(conn)
        self.by_age[conn] = None

    def take_out(self, conn: BackendConnection) -> None:
        if conn in self.by_age:
            del self.by_age[conn]
            conns = self.idle[conn.backend]
            conns.remove(conn)
            if not conns:
                del self.idle[conn.backend]

    def drain_backend(self, backend: int) -> None:
        """Begin nothing more there: dials under way end, and what they would carry never ran."""
        self.drop_idle(backend)
        for conn in [c for c in self.dials if c.backend == backend]:
            conn.withdraw()

    def drop_idle(self, backend: int) -> None:
        for conn in list(self.idle.get(backend, ())):
            conn.abandon()

    def close_oldest_idle(self) -> bool:
        """Give up the connection that has been idle longest; False where none is."""
        conn = next(iter(self.by_age), None)
        if conn is None:
            return False
        conn.abandon()
        return True

    def sweep(self, now: int) -> None:
        """Close what has been idle for too long to be used."""
        self.idle_timeout.sweep(now)
        oldest = now - self.idle_timeout.timeout_ns
        while (conn := next(iter(self.by_age), None)) is not None and conn.idle_since < oldest:
            conn.abandon()
