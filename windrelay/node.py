"""The event host of one Balancer: its requests, attempts, timers and clock.

The node passes every event to the Balancer and carries out every action that the Balancer asks for.
An action never calls the Balancer back: the outcomes that it causes are queued and reported once
the Balancer has returned from the current event. The node itself makes no load balancing decision.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heapify, heappop, heappush
from typing import Any

from flinthatch import Balancer, Effect, Listing, Outcome, Settings, Update
from flinthatch.attempt_timeout import Progress
from flinthatch.reconfigure import reconfigure
from flinthatch.response_progress import select_response
from windrelay.config import Config
from windrelay.interfaces import AttemptHandle, Caller, ConnectionPool, MemberSource, ParsedRequest
from windrelay.memory_budget import MemoryBudget, resident_bytes
from windrelay.paced_protocol import TurnQueue
from windrelay.request_ids import RequestIds, key_of
from windrelay.resource_log import ResourceLog, ResourceUse

MS = 1_000_000
SECOND = 1_000_000_000

# A request that the Balancer left unanswered is failed this long after its deadline.
OVERDUE_GRACE_NS = 10 * MS
# An attempt may begin up to 0.1 s after its client's close, of which so much may go unnoticed.
UNNOTICED_CLOSE_NS = 50 * MS
TIMER_RETRY_NS = 100 * MS  # a Balancer timer whose event raised is called again after this time
NO_TIMER = 1 << 63
MAX_LOG_LINES_PER_S = 20
RESERVED_DESCRIPTORS = 24  # descriptors for the listener, the event loop, discovery and the log
# Further descriptors, for management calls and a successor, where the node accepts calls.
RESERVED_MANAGEMENT_DESCRIPTORS = 10
# How uvloop 0.23.0 reports a read into a protocol's buffer that failed with ENOBUFS. It closes the
# connection, as after any other failed read.
FAILED_READ_REPORTS = (
    "unhandled error (or an empty buffer) in get_buffer()",
    "XXX: an allocated buffer in transport._close()",
)
MIN_CONNECTIONS = 16  # for clients and backends, however many descriptors another process holds
# Of RESERVED_DESCRIPTORS, so many may replace connections that are being closed.
REPLACEMENT_DESCRIPTORS = 8
BACKEND_DESCRIPTOR_DIVISOR = 3  # one descriptor in three is kept for backends
# Finished timers are removed from the heap once there are more than this.
MIN_STALE_TIMERS_TO_PURGE = 256


class Request:
    """A client's request from its arrival until it has ended and its last attempt is concluded."""

    __slots__ = (
        "answer_started", "arrived_at", "attempts", "client", "client_request_id", "deadline",
        "ended", "id", "incoming", "reserved_bytes", "unfinished_attempts", "unsent_attempts",
    )  # fmt: skip

    def __init__(
        self, request_id: int, client: Caller, incoming: ParsedRequest, now: int, remaining: int
    ) -> None:
        self.id = request_id
        self.client: Caller | None = client
        # The message, which only the link of its protocol reads; None once no attempt is left
        self.incoming: Any = incoming
        self.reserved_bytes = incoming.reserved_bytes
        self.client_request_id = incoming.request_id
        self.arrived_at = now
        self.deadline = now + remaining
        self.attempts: list[Attempt] = []
        self.unfinished_attempts = 0
        self.unsent_attempts = 0  # that ended before their last byte was written
        self.answer_started = False  # an answer is being streamed to the client
        self.ended = False


class Attempt:
    """One send of a request to a backend, or a health probe where `request` is None.

    An attempt has exactly one outcome. Once `answer_started_at` is set, the answer is streamed to
    the client: it is the request's only answer, it may outlast the time of the client for as long
    as its backend makes progress, and the latency reported for it is the time to its start.
    """

    __slots__ = (
        "answer_started_at",
        "backend",
        "concluded",
        "connection",
        "number",
        "request",
        "sent_at",
        "timeout",
    )

    def __init__(self, request: Request | None, number: int, backend: int, sent_at: int) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.timeout = 0
        self.concluded = False
        self.answer_started_at = 0
        self.connection: AttemptHandle | None = None


def is_finished(item: int | Attempt | Request) -> bool:
    """Return whether a timer for this item would find nothing to do any more."""
    if isinstance(item, int):
        return False
    return item.concluded if isinstance(item, Attempt) else item.ended


class Node:
    """Implements flinthatch.Actions. Whoever creates a node sets its `upstream` and its
    `discovery`."""

    upstream: ConnectionPool
    discovery: MemberSource

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.now = time.monotonic_ns()
        self.budget = MemoryBudget(config.memory_mb)
        self.turn_queue = TurnQueue(loop, self.budget)
        self.resource_log = ResourceLog()
        self.client_count = 0
        # Called when a descriptor has been closed; the server sets it once it listens.
        self.on_descriptor_freed: Callable[[], None] = lambda: None
        # Restores saved health data into the Balancer at the start, where the installation has
        # persistent storage.
        self.restore_state: Callable[[Balancer, int], None] = lambda _balancer, _now: None
        self.evict: Callable[[], bool] = lambda: False
        self.other_process_descriptors = 0  # descriptors that another process of this node holds
        self.max_connections = self.compute_max_connections()
        self.requests: dict[int, Request] = {}
        self.request_ids = RequestIds()
        # Called with the key of each request that may not be repeated; the controls set it while
        # another process of this node runs.
        self.on_unsafe_request: Callable[[bytes], None] = lambda _key: None
        self.open_request_count = 0
        self.last_request_id = 0
        self.in_event = False
        self.pending_outcomes: deque[tuple[Attempt, Outcome, int, Sequence[float]]] = deque()
        self.timers: list[tuple[int, int, int | Attempt | Request]] = []
        self.timer_sequence = 0
        self.stale_timer_count = 0
        self.loop_timer: asyncio.TimerHandle | None = None
        self.armed_for = NO_TIMER
        self.log_second = 0
        self.log_line_count = 0
        self.unexpected_error_count = 0  # exceptions that no code handles
        loop.set_exception_handler(self.on_loop_error)
        self.balancer = Balancer(config.settings, config.seed, self)

    def start(self) -> None:
        """Start the Balancer from the configured list of backends. Raises ListError if the list is
        malformed."""
        rows = self.initial_listings()
        self.begin_event()
        try:
            self.balancer.start(self.now)
            self.balancer.on_backend_list(self.now, Update.CACHED, rows)
            self.restore_state(self.balancer, self.now)
        finally:
            self.end_event()

    def initial_listings(self) -> list[Listing]:
        """Return the backends that the node starts with: those of the configuration."""
        return self.discovery.load_known_list(self.config.initial_list)

    def reload(self, config: Config) -> dict[str, int]:
        """Switch to a new configuration; returns the numbers of its classes by name.

        Raises ValueError, and changes nothing, where a running node can't adopt the configuration.
        """
        if config.zones != self.config.zones:
            # Rows of the list are parsed with the zone names of the start.
            raise ValueError("areas can change only at a start")
        numbers = self.update_settings(config.settings)
        self.config = config
        self.share_limits(self.other_process_descriptors)
        self.discovery.change_address(config.discovery)
        return numbers

    def update_settings(self, settings: Settings) -> dict[str, int]:
        """Apply other classes, rules and limits to later requests; `reconfigure` says what holds
        for open ones."""
        now = self.begin_event()
        try:
            return reconfigure(self.balancer, now, settings)
        finally:
            self.end_event()

    # ---- events: each calls begin_event, the Balancer, and end_event ---

    def begin_event(self) -> int:
        """Enter an event: set the node's clock and return it, in nanoseconds."""
        self.in_event = True
        self.now = now = time.monotonic_ns()
        return now

    def end_event(self) -> None:
        """Report the outcomes that came up during the event, then arm the loop's timer again.

        Every event ends with this call, whatever was raised within it: after one omission no
        outcome would be reported and no timer armed any more.
        """
        outcomes = self.pending_outcomes
        while outcomes:
            self.report_outcome(*outcomes.popleft())
        self.in_event = False
        timers = self.timers
        if timers and timers[0][0] < self.armed_for:
            self.arm(timers[0][0])

    def start_request(self, client: Caller, incoming: ParsedRequest, waited: int) -> Request | None:
        """Accept a client's request; returns None where `max_open_requests` are open already."""
        if self.open_request_count >= self.config.max_open_requests:
            return None
        now = self.begin_event()
        self.last_request_id += 1
        request_id = self.last_request_id
        remaining = incoming.timeout_ns - waited
        request = Request(request_id, client, incoming, now, remaining)
        self.requests[request_id] = request
        self.remember_request(now, request, incoming)
        self.open_request_count += 1
        self.schedule(request.deadline + OVERDUE_GRACE_NS, request)
        try:
            self.balancer.on_request(
                now,
                request_id,
                incoming.class_number,
                remaining,
                incoming.tenant,
                incoming.key,
                incoming.cost_hint,
                incoming.is_retry,
                waited,
            )
        except Exception:
            self.record_event_error()
            if not request.unfinished_attempts:
                self.fail_at_once(request)
        finally:
            self.end_event()
        return request

    def remember_request(self, now: int, request: Request, incoming: ParsedRequest) -> None:
        """Remember the id of a request that starts; see `request_ids`."""
        self.request_ids.open(request.client_request_id)
        if self.balancer.classes[incoming.class_number].effect == Effect.SIDE_EFFECT:
            key = key_of(request.client_request_id)
            self.request_ids.add_unsafe(now, (key,))
            self.on_unsafe_request(key)

    # ---- an operator's calls about a backend --------------------------

    def exclude(self, backend: int) -> None:
        """Start no new attempt at a backend from this moment on, whatever the list of backends
        says."""
        self.begin_event()
        try:
            self.balancer.ban(self.now, backend)
            self.upstream.drain_backend(backend)
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def include(self, backend: int) -> None:
        """Use an excluded backend again."""
        self.begin_event()
        try:
            self.balancer.lift_ban(self.now, backend)
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def client_gone(self, request: Request) -> None:
        """The client has disconnected: it gets no answer, and the attempts run on to their
        outcomes, except those whose backend has not got the whole request yet."""
        if request.ended:
            return
        now = self.begin_event()
        try:
            attempts = list(request.attempts)
            self.end_request(request)
            self.balancer.on_client_gone(now, request.id)
            self.give_up_undelivered(now, attempts)
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def client_half_closed(self, request: Request) -> None:
        """Tell the Balancer that the client has closed its sending side.

        The client may be gone, or may still read an answer.
        """
        if request.ended:
            return
        now = self.begin_event()
        try:
            self.balancer.on_client_half_closed(now, request.id)
            if request.unfinished_attempts:
                self.loop.call_later(
                    UNNOTICED_CLOSE_NS / SECOND, self.end_undelivered_of_half_closed, request
                )
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def end_undelivered_of_half_closed(self, request: Request) -> None:
        """Give up the attempts of a client that may be gone, before it is too late to begin them.

        An attempt begins once its backend has the whole request.
        """
        now = self.begin_event()
        try:
            self.give_up_undelivered(now, list(request.attempts))
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def give_up_undelivered(self, now: int, attempts: Sequence[Attempt]) -> None:
        """Give up those attempts whose backend has not got the whole request yet."""
        for attempt in attempts:
            connection = attempt.connection
            if connection is not None and not connection.is_request_delivered():
                self.log_attempt(now, attempt, "given up, its client left within the request")
                self.give_up(attempt, Outcome.CANCELLED)

    def may_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still write the last byte of its request.

        It is asked where the connection took a while to be established, or to take the bytes before
        that one.
        """
        request = attempt.request
        if request is None:
            return True
        now = time.monotonic_ns()
        return (
            not request.ended
            and not self.has_client_left(now, request)
            and self.balancer.may_start_attempt(now, request.id, attempt.number)
        )

    def has_client_left(self, now: int, request: Request) -> bool:
        """Return whether the client has closed, where the event loop may not have noticed yet.

        A close can't be older than the request, so a young request needs no look.
        """
        return (
            now - request.arrived_at > UNNOTICED_CLOSE_NS
            and request.client is not None
            and request.client.has_left()
        )

    def apply_member_update(self, update: Update, rows: list[Listing], stale: list[int]) -> None:
        """Apply an update of the list of backends.

        `stale` names the backends whose connections must not carry a new attempt.
        """
        now = self.begin_event()
        try:
            for backend in stale:
                # Connection attempts are withdrawn too: with a connect time-out longer than the
                # drain grace, their requests would start after the grace.
                self.upstream.drain_backend(backend)
            self.balancer.on_backend_list(now, update, rows)
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def begin_answer(self, attempt: Attempt) -> None:
        """Note that an attempt's answer is streamed to the client from now on; see Attempt.

        `conclude` ends it.
        """
        request = attempt.request
        assert request is not None
        nested = self.in_event
        now = self.now if nested else self.begin_event()
        attempt.answer_started_at = now
        request.answer_started = True
        try:
            self.balancer.on_response_started(
                now, request.id, attempt.number, now - attempt.sent_at
            )
        except Exception:
            self.record_event_error()
        finally:
            if not nested:
                self.end_event()

    def conclude(self, attempt: Attempt, outcome: Outcome, load: Sequence[float] = ()) -> None:
        """Settle an attempt's one outcome; the Balancer is told after the current event."""
        if attempt.concluded:
            return
        attempt.concluded = True
        attempt.connection = None
        nested = self.in_event
        now = self.now if nested else self.begin_event()
        request = attempt.request
        if request is not None and outcome == Outcome.NOT_SENT and now > attempt.sent_at:
            request.unsent_attempts += 1
        self.pending_outcomes.append(
            (attempt, outcome, (attempt.answer_started_at or now) - attempt.sent_at, load)
        )
        try:
            if (
                request is not None
                and (attempt.answer_started_at or outcome == Outcome.OK)
                and not request.ended
            ):
                self.end_request(request)
        finally:
            if not nested:
                self.end_event()

    def report_outcome(
        self, attempt: Attempt, outcome: Outcome, duration: int, load: Sequence[float]
    ) -> None:
        """Report an attempt's outcome to the Balancer; `duration` is in nanoseconds."""
        request = attempt.request
        try:
            if request is None:
                self.balancer.on_probe(self.now, attempt.backend, outcome, duration, load)
                return
            request.unfinished_attempts -= 1
            self.balancer.on_outcome(
                self.now, request.id, attempt.number, outcome, duration, request.ended, load
            )
        except Exception:
            self.record_event_error()
            if request is not None and not request.unfinished_attempts:
                self.fail_at_once(request)
        if request is not None:
            self.drop_if_finished(request)

    # ---- requests -----------------------------------------------------

    def end_request(self, request: Request) -> None:
        """Mark a request as ended: its client gets nothing more."""
        request.ended = True
        request.client = None
        self.open_request_count -= 1
        self.drop_if_finished(request)

    def drop_if_finished(self, request: Request) -> None:
        """Forget a request that has ended and has no unfinished attempt."""
        if (
            request.ended
            and not request.unfinished_attempts
            and self.requests.pop(request.id, None) is not None
        ):
            self.request_ids.close(request.client_request_id)
            self.stale_timer_count += 1 + len(request.attempts)
            # The timers refer to the request until its deadline and the request to its attempts:
            # clearing them breaks the reference cycle and frees the message at once.
            request.incoming = None
            request.attempts = []
            self.budget.release(request.reserved_bytes)

    def fail_at_once(self, request: Request, late: bool = False) -> None:
        """Give a request its final answer: failed."""
        if request.ended:
            return
        client = request.client
        self.end_request(request)
        if client is not None:
            if request.answer_started:
                client.abort_stream()  # type: ignore[attr-defined]  # only a StreamingCaller began
            else:
                client.fail(late)

    def fail_all(self) -> None:
        """Fail every request that is still open, and give up all attempts.

        Called at the very end of a stop.
        """
        attempts = [attempt for request in self.requests.values() for attempt in request.attempts]
        for request in list(self.requests.values()):
            if not request.ended:
                self.log(f"request {request.client_request_id.decode('latin-1')} failed, a stop")
            self.fail_at_once(request)
        # Only now: a slot that is given up would let a request in that still waits.
        for attempt in attempts:
            self.give_up(attempt, Outcome.CANCELLED)

    # ---- actions ------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        """Start an attempt of a request at a backend; `timeout` is in nanoseconds, 0 for the
        request's deadline."""
        open_request = self.requests.get(request)
        if open_request is None:
            self.log(f"attempt not sent: request {request} is not open")
            return
        now = self.now
        attempt = Attempt(open_request, len(open_request.attempts), backend, now)
        open_request.attempts.append(attempt)
        open_request.unfinished_attempts += 1
        remaining = open_request.deadline - now
        attempt_timeout = min(timeout, remaining) if timeout else remaining
        if (
            open_request.ended
            or remaining <= 0
            or self.has_client_left(time.monotonic_ns(), open_request)
            or len(open_request.attempts) - open_request.unsent_attempts
            > self.config.settings.max_attempts
        ):
            self.conclude(attempt, Outcome.NOT_SENT)
        elif attempt_timeout <= 0:
            self.conclude(attempt, Outcome.TIMEOUT)
        else:
            attempt.timeout = attempt_timeout
            self.schedule(now + attempt_timeout, attempt)
            self.start_attempt(attempt)

    def refuse(self, request: int, retry_after: int) -> None:
        """Refuse a request; the client may retry after `retry_after` nanoseconds."""
        open_request = self.requests.get(request)
        if open_request is None or open_request.ended or open_request.answer_started:
            return
        client = open_request.client
        self.end_request(open_request)
        if client is not None:
            client.refuse(retry_after)

    def fail(self, request: int) -> None:
        """Fail a request whose answer has not started."""
        open_request = self.requests.get(request)
        if open_request is not None and not open_request.answer_started:
            self.fail_at_once(open_request)

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt whose answer has not started."""
        open_request = self.requests.get(request)
        if (
            open_request is not None
            and 0 <= attempt < len(open_request.attempts)
            and not open_request.attempts[attempt].answer_started_at
        ):
            self.give_up(open_request.attempts[attempt], Outcome.CANCELLED)

    def probe(self, backend: int) -> None:
        """Start a health probe of a backend."""
        now = self.now
        attempt = Attempt(None, 0, backend, now)
        attempt.timeout = 2 * self.config.settings.connect_timeout
        self.schedule(now + attempt.timeout, attempt)
        self.start_attempt(attempt)

    def start_attempt(self, attempt: Attempt) -> None:
        """Start an attempt. An exception raised here becomes the attempt's outcome and never
        reaches the Balancer."""
        try:
            self.upstream.send(attempt)
        except Exception as err:
            self.record_error("sending an attempt", err)
            self.give_up(attempt, Outcome.RESET)

    def watch(self) -> None:
        """Watch the list of backends for changes."""
        self.discovery.watch()

    def fetch(self) -> None:
        """Fetch the whole list of backends."""
        self.discovery.fetch()

    def set_timer(self, token: int, due: int) -> None:
        """Call the Balancer's `on_timer` with `token` at `due`, in nanoseconds of the monotonic
        clock."""
        self.schedule(due, token)

    def log(self, text: str) -> None:
        """Write a line to standard error; past MAX_LOG_LINES_PER_S lines a second, further ones are
        dropped, and the next line that is written tells their number."""
        second = time.monotonic_ns() // SECOND
        if second != self.log_second:
            dropped_count = max(self.log_line_count - MAX_LOG_LINES_PER_S, 0)
            self.log_second = second
            self.log_line_count = 0
            if dropped_count:
                self.write_log_line(f"{dropped_count} log lines dropped")
        self.log_line_count += 1
        if self.log_line_count <= MAX_LOG_LINES_PER_S:
            self.write_log_line(text)

    def write_log_line(self, text: str) -> None:
        # Standard error may have no reader left; that must not fail the event that is logged.
        with contextlib.suppress(OSError, ValueError):
            print(f"{self.config.name}: {text}", file=sys.stderr, flush=True)

    # ---- time ---------------------------------------------------------

    def schedule(self, due: int, item: int | Attempt | Request) -> None:
        """Add an entry to the timer heap.

        All timers share one heap and one timer of the event loop, because most of them are never
        due.
        """
        self.timer_sequence += 1
        heappush(self.timers, (due, self.timer_sequence, item))
        if not self.in_event and due < self.armed_for:
            self.arm(due)

    def arm(self, due: int) -> None:
        """Set the loop's one timer to `due`, in nanoseconds of the monotonic clock."""
        if self.loop_timer is not None:
            self.loop_timer.cancel()
        self.armed_for = due
        # The loop rounds to whole milliseconds; a call before the due time would only be scheduled
        # again.
        delay = max(due - time.monotonic_ns(), 0) / SECOND + 0.0005
        self.loop_timer = self.loop.call_later(delay, self.run_due_timers)

    def run_due_timers(self) -> None:
        """Handle every timer that is due, as one event."""
        self.loop_timer = None
        self.armed_for = NO_TIMER
        now = self.begin_event()
        timers = self.timers
        try:
            while timers and timers[0][0] <= now:
                item = heappop(timers)[2]
                try:
                    self.handle_due(now, item)
                except Exception:
                    self.record_event_error()
                    if isinstance(item, int):
                        # The Balancer sets its next timer within this event: unless the timer is
                        # scheduled again here, the Balancer would never be called again.
                        self.schedule(now + TIMER_RETRY_NS, item)
        finally:
            self.end_event()

    def handle_due(self, now: int, item: int | Attempt | Request) -> None:
        """Handle a due timer: a Balancer token, an attempt's time-out or a request's deadline."""
        if isinstance(item, int):
            self.balancer.on_timer(now, item)
        elif isinstance(item, Attempt):
            self.handle_attempt_timeout(now, item)
        elif not item.ended and not item.answer_started:
            self.fail_overdue(item)
        elif not item.ended:
            self.check_outlasting_response(item)

    def handle_attempt_timeout(self, now: int, attempt: Attempt) -> None:
        """Give an attempt up, unless the Balancer lets it go on for its backend's progress."""
        if attempt.concluded or attempt.answer_started_at:
            return
        request, connection = attempt.request, attempt.connection
        progress = Progress.SILENT
        if request is not None and connection is not None:
            progress = connection.progress()
        if request is not None and progress != Progress.SILENT:
            more = self.balancer.further_time(now, request.id, attempt.number, progress)
            if more > 0:
                self.schedule(now + more, attempt)
                return
            if self.pass_on_response(now, request):
                return
            self.log_attempt(now, attempt, f"given up while {progress.name.lower()}")
        self.give_up(attempt, Outcome.TIMEOUT)

    def report_stall(self, attempt: Attempt) -> None:
        """Tell the Balancer that a response has begun and that nothing more came for a while."""
        request = attempt.request
        assert request is not None
        now = self.begin_event()
        try:
            self.log_attempt(now, attempt, "has a response that stalled")
            self.balancer.on_response_stalled(
                now, request.id, attempt.number, now - attempt.sent_at
            )
        except Exception:
            self.record_event_error()
        finally:
            self.end_event()

    def log_attempt(self, now: int, attempt: Attempt, event: str) -> None:
        """Log what became of an attempt of a request."""
        request = attempt.request
        assert request is not None
        self.log(
            f"request {request.client_request_id.decode('latin-1')}: attempt {attempt.number} at "
            f"backend {attempt.backend} {event}, {(now - attempt.sent_at) // MS} ms after the send"
            f", {(request.deadline - now) // MS} ms before the deadline"
        )

    def pass_on_response(self, now: int, request: Request) -> bool:
        """Begin to pass on a response that is still coming at the end of its client's time.

        It is the request's answer from then on. Returns False where there is none that can be
        passed on and goes on.
        """
        if request.ended or request.answer_started:
            return False
        handles = [
            (attempt, attempt.connection)
            for attempt in request.attempts
            if not attempt.concluded and attempt.connection is not None
        ]
        candidates = [
            (attempt, handle, progress)
            for attempt, handle in handles
            if (progress := handle.response_progress()) is not None
        ]
        selected = select_response(now, [progress for _, _, progress in candidates])
        if selected is None:
            return False
        attempt, handle, progress = candidates[selected]
        self.log_attempt(
            now, attempt, f"passes on its unfinished response, {progress.byte_count} bytes so far"
        )
        handle.pass_on()
        return True

    def check_outlasting_response(self, request: Request) -> None:
        """Look at the response that is passed on when the time of its client is over."""
        for attempt in list(request.attempts):
            if attempt.answer_started_at and not attempt.concluded:
                self.log_attempt(self.now, attempt, "outlasts the time of its client")
                self.end_if_stopped(attempt)

    def end_if_stopped(self, attempt: Attempt) -> None:
        """End a response that outlasts the time of its client, once its backend has stopped.

        Its end shows the client that it is incomplete.
        """
        request, handle = attempt.request, attempt.connection
        if request is None or handle is None or attempt.concluded:
            return
        now = time.monotonic_ns()
        progress = handle.response_progress()
        if now < request.deadline or progress is None or progress.time_left(now):
            return
        self.log_attempt(
            now, attempt, f"ended, its response has stopped after {progress.byte_count} bytes"
        )
        self.give_up(attempt, Outcome.TIMEOUT)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop waiting for an attempt.

        Where its request was not written completely, the request never ran, and the outcome is
        NOT_SENT.
        """
        if attempt.concluded:
            return
        connection = attempt.connection
        if connection is not None and not connection.abandon():
            outcome = Outcome.NOT_SENT
        self.conclude(attempt, outcome)

    def fail_overdue(self, request: Request) -> None:
        """Fail a request that the Balancer has left unanswered past its deadline.

        The client must not be left waiting.
        """
        self.log(f"request {request.id} was overdue")
        self.fail_at_once(request, late=True)
        self.balancer.on_client_gone(self.now, request.id)

    # ---- unexpected exceptions -----------------------------------------

    def record_event_error(self) -> None:
        """Count and log the exception that the current event raised."""
        self.unexpected_error_count += 1
        self.log("an event raised: " + traceback.format_exc(limit=-4))

    def record_error(self, where: str, error: BaseException) -> None:
        """Count and log an unexpected exception; closing the connection that it hit is left to the
        caller."""
        self.unexpected_error_count += 1
        text = "".join(traceback.format_exception(error, limit=-4))
        self.log(f"{where} raised ({self.unexpected_error_count} so far): {text}")

    def on_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an exception that the event loop caught in a callback, and abort the transport it
        concerns."""
        error = context.get("exception")
        transport = context.get("transport")
        if str(error or context.get("message")) in FAILED_READ_REPORTS:
            self.log("a read failed: no buffer space")
        elif isinstance(error, BaseException):
            self.record_error(str(context.get("message", "a callback")), error)
        else:
            self.unexpected_error_count += 1
            self.log(f"event loop error: {context.get('message')}")
        abort = getattr(transport, "abort", None)  # uvloop's transports are no asyncio.Transport
        if abort is not None:
            abort()

    def sweep(self) -> None:
        """Do the periodic upkeep: idle connections, remembered request ids and stale timers."""
        now = time.monotonic_ns()
        self.upstream.sweep(now)
        line = self.resource_log.take_line(now, self.resource_use())
        if line:
            self.log(line)
        self.request_ids.expire(now)
        if self.stale_timer_count > MIN_STALE_TIMERS_TO_PURGE and 2 * self.stale_timer_count > len(
            self.timers
        ):
            self.stale_timer_count = 0
            self.timers = [timer for timer in self.timers if not is_finished(timer[2])]
            heapify(self.timers)

    def resource_use(self) -> ResourceUse:
        """Return what the node uses now, and at most since the last call."""
        return ResourceUse(
            resident_bytes(),
            self.config.memory_mb << 20,
            self.budget.take_peak(),
            self.budget.limit_bytes,
            self.client_count,
            self.upstream.descriptor_count,
            self.max_connections,
        )

    # ---- descriptors --------------------------------------------------

    def compute_max_connections(self) -> int:
        """Return how many connections to clients and backends fit into the limits."""
        reserved = RESERVED_DESCRIPTORS + (
            RESERVED_MANAGEMENT_DESCRIPTORS if self.config.mgmt is not None else 0
        )
        available = self.config.max_descriptors - reserved
        if self.budget.max_connections is not None:
            available = min(available, self.budget.max_connections)
        return (
            max(available - self.other_process_descriptors, MIN_CONNECTIONS)
            if self.other_process_descriptors
            else available
        )

    def share_limits(self, other_process_descriptors: int) -> None:
        """Share the limits with another process of this node, which holds this many descriptors.

        0 means that this process is alone.
        """
        self.other_process_descriptors = other_process_descriptors
        self.budget.resize(self.config.memory_mb, 2 if other_process_descriptors else 1)
        self.max_connections = self.compute_max_connections()

    def measure_base_memory(self) -> None:
        """Take the memory that the process has now for its base, and share the limits anew."""
        self.budget.measure_base()
        self.share_limits(self.other_process_descriptors)

    def has_room_for_client(self) -> bool:
        """Return whether one more client fits while backends keep their part of the descriptors."""
        used = self.client_count + self.upstream.descriptor_count
        max_clients = self.max_connections - max(
            self.max_connections // BACKEND_DESCRIPTOR_DIVISOR - self.upstream.descriptor_count, 0
        )
        return used < self.max_connections and self.client_count < max_clients

    def has_room_for_backend(self) -> bool:
        """Return whether one more connection to a backend fits; closes an idle connection to make
        room for it."""
        used = self.client_count + self.upstream.descriptor_count
        if used < self.max_connections:
            return True
        # A connection that is given up is closed in the loop's next iteration: until then both
        # exist, within RESERVED_DESCRIPTORS.
        return used < self.max_connections + REPLACEMENT_DESCRIPTORS and (
            self.upstream.close_oldest_idle() or self.evict()
        )
