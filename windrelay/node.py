"""The host of one Balancer: its requests, attempts, timers and clock.

Every event reaches the Balancer from here, and every action starts here. An
action never calls back: outcomes it causes are queued and told once the
Balancer has returned. Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heapify, heappop, heappush
from typing import Any

from flinthatch import Balancer, Listing, Outcome, Settings, Update
from flinthatch.reconfigure import reconfigure
from windrelay.config import Config
from windrelay.interfaces import AttemptHandle, Caller, ConnectionPool, MemberSource, ParsedRequest

MS = 1_000_000
SECOND = 1_000_000_000

BACKSTOP = 10 * MS  # past its deadline a request the module forgot is failed
REARM = 100 * MS  # a timer whose event raised comes again after this long
NO_TIMER = 1 << 63
LOG_LINES = 20  # a second
RESERVED_DESCRIPTORS = 24  # descriptors for the listener, the loop, discovery and the log
RESERVED_MGMT = 10  # besides, for calls and for a successor, where calls are taken
LEAST_SOCKETS = 16  # for clients and servers, however much another process holds
OVERLAP = 8  # of them, for connections that replace one just given up
UPSTREAM_PART = 3  # one in so many descriptors is kept for backends
BASE_MB = 26  # what the program itself takes, where that can't be measured
LEAST_ROOM = 2 << 20  # for bodies and answers, however small the node
PURGE = 256  # timers of what has ended, before they are looked for


def base_bytes() -> int:
    """What the process holds now, at its start."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return BASE_MB << 20


class MemoryBudget:
    """Bytes of bodies and answers held, over all connections.

    Bodies are taken in while they fit; half of what the limit leaves is for them and
    for answers, the rest for connections and what the allocator does not give back.
    """

    __slots__ = ("base", "held_bytes", "limit_bytes")

    def __init__(self, memory_mb: int) -> None:
        self.base = base_bytes()
        self.held_bytes = 0
        self.resize(memory_mb)

    def resize(self, memory_mb: int, processes: int = 1) -> None:
        """Take this node's part of a limit that so many processes like it share."""
        self.limit_bytes = max(((memory_mb << 20) // processes - self.base) // 2, LEAST_ROOM)

    def set_limit(self, limit_bytes: int) -> None:
        """So many bytes, whatever the process takes: where several nodes share one."""
        self.limit_bytes = limit_bytes

    def has_room(self, size: int) -> bool:
        return self.held_bytes + size <= self.limit_bytes

    def reserve(self, size: int) -> None:
        self.held_bytes += size

    def release(self, size: int) -> None:
        self.held_bytes -= size


class Request:
    __slots__ = (
        "arrived_at", "attempts", "begun", "client", "client_request_id", "deadline", "ended", "id",
        "incoming", "reserved", "unfinished_attempts",
    )  # fmt: skip

    def __init__(
        self, rid: int, client: Caller, incoming: ParsedRequest, now: int, left: int
    ) -> None:
        self.id = rid
        self.client: Caller | None = client
        self.incoming: Any = incoming  # what only its link reads; None once nothing is out any more
        self.reserved = incoming.reserved_bytes
        self.client_request_id = incoming.request_id
        self.arrived_at = now
        self.deadline = now + left
        self.attempts: list[Attempt] = []
        self.unfinished_attempts = 0
        self.begun = False  # an answer is on its way to the client
        self.ended = False


class Attempt:
    """One send, or a probe where `request` is None. It has exactly one outcome.

    From `begun` on its answer is passed on as it comes: it is the request's one answer, no
    time limit ends it any more, and what it took is the time to its beginning.
    """

    __slots__ = (
        "backend",
        "begun",
        "concluded",
        "connection",
        "timeout",
        "number",
        "request",
        "sent_at",
    )

    def __init__(self, request: Request | None, number: int, backend: int, sent: int) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent_at = sent
        self.timeout = 0
        self.concluded = False
        self.begun = 0
        self.connection: AttemptHandle | None = None


def is_over(item: int | Attempt | Request) -> bool:
    """Whether a timer would find nothing to do any more."""
    if isinstance(item, int):
        return False
    return item.concluded if isinstance(item, Attempt) else item.ended


class Node:
    """Implements flinthatch.Actions; whoever makes one gives it its link and its members."""

    upstream: ConnectionPool
    discovery: MemberSource

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.now = time.monotonic_ns()
        self.budget = MemoryBudget(config.memory_mb)
        self.client_count = 0
        # The server's, once it listens.
        self.on_descriptor_freed: Callable[[], None] = lambda: None
        # What an installation with a lasting disk recalls into the module at the start.
        self.restore_state: Callable[[Balancer, int], None] = lambda _balancer, _now: None
        self.evict: Callable[[], bool] = lambda: False
        self.elsewhere = 0  # descriptors that another process of this node holds
        self.max_connections = self.compute_max_connections()
        self.requests: dict[int, Request] = {}
        # The clients' ids: of requests open here, and of those that ended lately.
        self.names: set[bytes] = set()
        self.ended_names: set[bytes] = set()
        self.older_names: set[bytes] = set()
        self.names_turned = 0
        self.open_request_count = 0
        self.last_request_id = 0
        self.in_event = False
        self.outcomes: deque[tuple[Attempt, Outcome, int, Sequence[float]]] = deque()
        self.timers: list[tuple[int, int, int | Attempt | Request]] = []
        self.timer_count = 0
        self.dead_timers = 0
        self.loop_timer: asyncio.TimerHandle | None = None
        self.armed = NO_TIMER
        self.log_second = 0
        self.log_lines = 0
        self.unexpected_error_count = 0  # exceptions that nobody foresaw
        loop.set_exception_handler(self.loop_failed)
        self.balancer = Balancer(config.settings, config.seed, self)

    def start(self) -> None:
        """Begin from the list in the configuration; ListError if it is malformed."""
        rows = self.known()
        self.begin_event()
        try:
            self.balancer.start(self.now)
            self.balancer.on_backend_list(self.now, Update.CACHED, rows)
            self.restore_state(self.balancer, self.now)
        finally:
            self.end_event()

    def known(self) -> list[Listing]:
        return self.discovery.load_known_list(self.config.initial_list)

    def reload(self, config: Config) -> dict[str, int]:
        """Go on under a new configuration; returns the numbers of its classes by name.

        ValueError, and nothing has changed, where it can't be taken over in a running node.
        """
        if config.zones != self.config.zones:
            # The list's rows are read by the names of the start.
            raise ValueError("areas can change only at a start")
        numbers = self.update_settings(config.settings)
        self.config = config
        self.share(self.elsewhere)
        self.discovery.change_address(config.discovery)
        return numbers

    def update_settings(self, settings: Settings) -> dict[str, int]:
        """Other classes, rules and limits for what comes; see `reconfigure`."""
        now = self.begin_event()
        try:
            return reconfigure(self.balancer, now, settings)
        finally:
            self.end_event()

    # ---- events: each enters, tells the Balancer, and leaves -----------

    def begin_event(self) -> int:
        self.in_event = True
        self.now = now = time.monotonic_ns()
        return now

    def end_event(self) -> None:
        """Tell the outcomes that came up meanwhile, then set the timer anew.

        Left out once, no outcome would be told and no timer set any more: each event
        leaves, whatever was raised within it.
        """
        outcomes = self.outcomes
        while outcomes:
            self.tell(*outcomes.popleft())
        self.in_event = False
        timers = self.timers
        if timers and timers[0][0] < self.armed:
            self.arm(timers[0][0])

    def start_request(self, client: Caller, incoming: ParsedRequest, waited: int) -> Request | None:
        """Take a client's request; None where as many are open as the settings allow."""
        if self.open_request_count >= self.config.max_open_requests:
            return None
        now = self.begin_event()
        self.last_request_id += 1
        rid = self.last_request_id
        left = incoming.timeout_ns - waited
        r = Request(rid, client, incoming, now, left)
        self.requests[rid] = r
        self.names.add(r.client_request_id)
        self.open_request_count += 1
        self.schedule(r.deadline + BACKSTOP, r)
        try:
            self.balancer.on_request(
                now,
                rid,
                incoming.class_number,
                left,
                incoming.tenant,
                incoming.key,
                incoming.cost_hint,
                incoming.is_retry,
                waited,
            )
        except Exception:
            self.broken()
            if not r.unfinished_attempts:
                self.fail_at_once(r)
        finally:
            self.end_event()
        return r

    def is_repeated(self, name: bytes) -> bool:
        """Whether a request with this id is open, or was a second or two ago.

        Ids are new with every request, a client's retry too. A second one is a copy, or
        somebody else's: served, it could run an effect twice. The answer to the first
        may cross it, hence the second or two. It could harm a client that asks again
        under its old id after its connection broke within an answer.
        """
        return name in self.names or name in self.ended_names or name in self.older_names

    # ---- an operator's word on a backend ------------------------------

    def exclude(self, backend: int) -> None:
        """Begin nothing new there from this moment on, whatever the list says."""
        self.begin_event()
        try:
            self.balancer.ban(self.now, backend)
            self.upstream.drain_backend(backend)
        except Exception:
            self.broken()
        finally:
            self.end_event()

    def include(self, backend: int) -> None:
        self.begin_event()
        try:
            self.balancer.lift_ban(self.now, backend)
        except Exception:
            self.broken()
        finally:
            self.end_event()

    def client_gone(self, r: Request) -> None:
        """The client left: nothing more is owed, attempts go on to their outcomes."""
        if r.ended:
            return
        now = self.begin_event()
        try:
            self.end(r)
            self.balancer.on_client_gone(now, r.id)
        except Exception:
            self.broken()
        finally:
            self.end_event()

    def client_half_closed(self, r: Request) -> None:
        """The client has ended its sending: it may be gone, and it may still read an answer."""
        if r.ended:
            return
        now = self.begin_event()
        try:
            self.balancer.on_client_half_closed(now, r.id)
        except Exception:
            self.broken()
        finally:
            self.end_event()

    def may_begin(self, a: Attempt) -> bool:
        """Whether an attempt whose last byte is about to leave may still do so: its connection
        took a while to come up, or to take what is ahead of that byte."""
        r = a.request
        if r is None:
            return True
        return not r.ended and self.balancer.may_start_attempt(time.monotonic_ns(), r.id, a.number)

    def apply_member_update(self, update: Update, rows: list[Listing], stale: list[int]) -> None:
        now = self.begin_event()
        try:
            for backend in stale:
                # Dials too: with a longer dial time-out than the grace for drains, what
                # they carry would begin after it.
                self.upstream.drain_backend(backend)
            self.balancer.on_backend_list(now, update, rows)
        except Exception:
            self.broken()
        finally:
            self.end_event()

    def begin_answer(self, a: Attempt) -> None:
        """An attempt's answer is passed on from here on, see Attempt; `conclude` ends it."""
        r = a.request
        assert r is not None
        inside = self.in_event
        now = self.now if inside else self.begin_event()
        a.begun = now
        r.begun = True
        try:
            self.balancer.on_response_started(now, r.id, a.number, now - a.sent_at)
        except Exception:
            self.broken()
        finally:
            if not inside:
                self.end_event()

    def conclude(self, a: Attempt, outcome: Outcome, load: Sequence[float] = ()) -> None:
        """Settle an attempt's one outcome; the Balancer is told after the current event."""
        if a.concluded:
            return
        a.concluded = True
        a.connection = None
        inside = self.in_event
        now = self.now if inside else self.begin_event()
        r = a.request
        self.outcomes.append((a, outcome, (a.begun or now) - a.sent_at, load))
        try:
            if r is not None and (a.begun or outcome == Outcome.OK) and not r.ended:
                self.end(r)
        finally:
            if not inside:
                self.end_event()

    def tell(self, a: Attempt, outcome: Outcome, taken: int, load: Sequence[float]) -> None:
        r = a.request
        try:
            if r is None:
                self.balancer.on_probe(self.now, a.backend, outcome, taken, load)
                return
            r.unfinished_attempts -= 1
            self.balancer.on_outcome(self.now, r.id, a.number, outcome, taken, r.ended, load)
        except Exception:
            self.broken()
            if r is not None and not r.unfinished_attempts:
                self.fail_at_once(r)
        if r is not None:
            self.forget(r)

    # ---- requests -----------------------------------------------------

    def end(self, r: Request) -> None:
        r.ended = True
        r.client = None
        self.open_request_count -= 1
        self.forget(r)

    def forget(self, r: Request) -> None:
        """Drop a request that has ended and has nothing out any more."""
        if r.ended and not r.unfinished_attempts and self.requests.pop(r.id, None) is not None:
            self.names.discard(r.client_request_id)
            self.ended_names.add(r.client_request_id)
            self.dead_timers += 1 + len(r.attempts)
            # Its timers hold it for up to its deadline, and it them in a ring.
            r.incoming = None
            r.attempts = []
            self.budget.release(r.reserved)

    def fail_at_once(self, r: Request, late: bool = False) -> None:
        """Give a request its final answer: failed."""
        if r.ended:
            return
        client = r.client
        self.end(r)
        if client is not None:
            if r.begun:
                client.abort_stream()  # type: ignore[attr-defined]  # only a StreamingCaller began
            else:
                client.fail(late)

    def fail_all(self) -> None:
        """At the very end of a stop: whatever is still held gets its answer."""
        for r in list(self.requests.values()):
            self.fail_at_once(r)

    # ---- actions ------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        r = self.requests.get(request)
        if r is None:
            self.log(f"send for request {request}, which is not open")
            return
        now = self.now
        a = Attempt(r, len(r.attempts), backend, now)
        r.attempts.append(a)
        r.unfinished_attempts += 1
        left = r.deadline - now
        limit = min(timeout, left) if timeout else left
        if r.ended or left <= 0 or len(r.attempts) > self.config.settings.max_attempts:
            self.conclude(a, Outcome.NOT_SENT)
        elif limit <= 0:
            self.conclude(a, Outcome.TIMEOUT)
        else:
            a.timeout = limit
            self.schedule(now + limit, a)
            self.carry(a)

    def refuse(self, request: int, retry_after: int) -> None:
        r = self.requests.get(request)
        if r is None or r.ended or r.begun:
            return
        client = r.client
        self.end(r)
        if client is not None:
            client.refuse(retry_after)

    def fail(self, request: int) -> None:
        r = self.requests.get(request)
        if r is not None and not r.begun:
            self.fail_at_once(r)

    def cancel(self, request: int, attempt: int) -> None:
        r = self.requests.get(request)
        if r is not None and 0 <= attempt < len(r.attempts) and not r.attempts[attempt].begun:
            self.give_up(r.attempts[attempt], Outcome.CANCELLED)

    def probe(self, backend: int) -> None:
        now = self.now
        a = Attempt(None, 0, backend, now)
        a.timeout = 2 * self.config.settings.connect_timeout
        self.schedule(now + a.timeout, a)
        self.carry(a)

    def carry(self, a: Attempt) -> None:
        """Begin an attempt; whatever is raised there is its outcome, never the module's."""
        try:
            self.upstream.send(a)
        except Exception as err:
            self.record_error("a send", err)
            self.give_up(a, Outcome.RESET)

    def watch(self) -> None:
        self.discovery.watch()

    def fetch(self) -> None:
        self.discovery.fetch()

    def set_timer(self, token: int, due: int) -> None:
        self.schedule(due, token)

    def log(self, text: str) -> None:
        """A line on standard error; past LOG_LINES a second lines are dropped."""
        second = time.monotonic_ns() // SECOND
        if second != self.log_second:
            self.log_second = second
            self.log_lines = 0
        self.log_lines += 1
        if self.log_lines <= LOG_LINES:
            # Nobody may be left to read it; that must not cost the event it tells of.
            with contextlib.suppress(OSError, ValueError):
                print(f"{self.config.name}: {text}", file=sys.stderr, flush=True)

    # ---- time ---------------------------------------------------------

    def schedule(self, due: int, item: int | Attempt | Request) -> None:
        """One heap for all timers, and one timer of the loop: most are never due."""
        self.timer_count += 1
        heappush(self.timers, (due, self.timer_count, item))
        if not self.in_event and due < self.armed:
            self.arm(due)

    def arm(self, due: int) -> None:
        if self.loop_timer is not None:
            self.loop_timer.cancel()
        self.armed = due
        # The loop rounds to whole milliseconds; an early call would only come again.
        delay = max(due - time.monotonic_ns(), 0) / SECOND + 0.0005
        self.loop_timer = self.loop.call_later(delay, self.tick)

    def tick(self) -> None:
        self.loop_timer = None
        self.armed = NO_TIMER
        now = self.begin_event()
        timers = self.timers
        try:
            while timers and timers[0][0] <= now:
                item = heappop(timers)[2]
                try:
                    self.due(now, item)
                except Exception:
                    self.broken()
                    if isinstance(item, int):
                        # The module sets its next timer in this event: without one
                        # from here it would never be called again.
                        self.schedule(now + REARM, item)
        finally:
            self.end_event()

    def due(self, now: int, item: int | Attempt | Request) -> None:
        if isinstance(item, int):
            self.balancer.on_timer(now, item)
        elif isinstance(item, Attempt):
            if not item.concluded and not item.begun:
                self.give_up(item, Outcome.TIMEOUT)
        elif not item.ended and not item.begun:
            self.overdue(item)

    def give_up(self, a: Attempt, outcome: Outcome) -> None:
        """Stop waiting. Where not all of the request was written it never ran."""
        if a.concluded:
            return
        connection = a.connection
        if connection is not None and not connection.abandon():
            outcome = Outcome.NOT_SENT
        self.conclude(a, outcome)

    def overdue(self, r: Request) -> None:
        """The module owed an answer and gave none; the client must not be left waiting."""
        self.log(f"request {r.id} was overdue")
        self.fail_at_once(r, late=True)
        self.balancer.on_client_gone(self.now, r.id)

    # ---- faults of our own ---------------------------------------------

    def broken(self) -> None:
        """The event in hand raised: count it and say where."""
        self.unexpected_error_count += 1
        self.log("an event raised: " + traceback.format_exc(limit=-4))

    def record_error(self, where: str, error: BaseException) -> None:
        """Count and log an exception that nobody foresaw; its connection is the caller's."""
        self.unexpected_error_count += 1
        text = "".join(traceback.format_exception(error, limit=-4))
        self.log(f"{where} raised ({self.unexpected_error_count} so far): {text}")

    def loop_failed(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The loop's own last word on a callback that raised, whatever it belonged to."""
        error = context.get("exception")
        transport = context.get("transport")
        if isinstance(error, BaseException):
            self.record_error(str(context.get("message", "a callback")), error)
        else:
            self.unexpected_error_count += 1
            self.log(f"the loop: {context.get('message')}")
        abort = getattr(transport, "abort", None)  # uvloop's are no asyncio.Transport
        if abort is not None:
            abort()

    def sweep(self) -> None:
        now = time.monotonic_ns()
        self.upstream.sweep(now)
        if now - self.names_turned > SECOND:
            self.names_turned = now
            self.older_names = self.ended_names
            self.ended_names = set()
        if self.dead_timers > PURGE and 2 * self.dead_timers > len(self.timers):
            self.dead_timers = 0
            self.timers = [timer for timer in self.timers if not is_over(timer[2])]
            heapify(self.timers)

    # ---- descriptors --------------------------------------------------

    def compute_max_connections(self) -> int:
        """Descriptors for clients and servers."""
        reserved = RESERVED_DESCRIPTORS + (RESERVED_MGMT if self.config.mgmt is not None else 0)
        own = self.config.max_descriptors - reserved
        return max(own - self.elsewhere, LEAST_SOCKETS) if self.elsewhere else own

    def share(self, elsewhere: int) -> None:
        """Go on beside another process of this node, which holds so many descriptors; 0: alone."""
        self.elsewhere = elsewhere
        self.max_connections = self.compute_max_connections()
        self.budget.resize(self.config.memory_mb, 2 if elsewhere else 1)

    def has_room_for_client(self) -> bool:
        """Whether one more client fits, leaving backends their part."""
        used = self.client_count + self.upstream.descriptor_count
        most = self.max_connections - max(
            self.max_connections // UPSTREAM_PART - self.upstream.descriptor_count, 0
        )
        return used < self.max_connections and self.client_count < most

    def has_room_for_backend(self) -> bool:
        """Whether one more connection to a backend fits, giving up an idle one for it."""
        used = self.client_count + self.upstream.descriptor_count
        if used < self.max_connections:
            return True
        # What is given up is closed with the next turn of the loop: until then
        # both stand, within what RESERVED leaves.
        return used < self.max_connections + OVERLAP and (
            self.upstream.close_oldest_idle() or self.evict()
        )
