"""Service discovery: the list of backends, fetched whole or watched for changes."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any, cast

import httptools

from flinthatch import Listing, Settings, State, Update
from flinthatch.list_polling import (
    CONNECT_TIMEOUT_S,
    FULL_LIST_TIMEOUT_S,
    PollSchedule,
    agent_hold_ms,
)
from flinthatch.shared_addresses import find_displaced
from windrelay.body_blocks import Block, append_piece
from windrelay.config import Address, Config, parse_address
from windrelay.paced_protocol import PacedProtocol, TurnQueue

OK = 200  # the status of an answer that holds a list
MAX_ANSWER_BYTES = 2 << 20  # enough for some thousands of backends
# An object of a few bytes takes hundreds in memory, so the parts of an answer are limited too.
MAX_ANSWER_CONTAINERS = 16 << 10  # objects and arrays; a backend is one object
MAX_ANSWER_VALUES = 256 << 10
# A registry that answers this often in a row with an older revision has lost its count: its list is
# accepted.
STALE_ANSWERS_BEFORE_ACCEPTANCE = 3
# Ids that were ever listed are remembered: a management call rejects an id that never was.
MAX_REMEMBERED_IDS = 8192
# Time from a backend's start until it is listed, at most.
MAX_LISTING_DELAY_NS = 3_000_000_000
STATES_BY_NAME = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ValueError):
    """A list of backends that can't be used; the text says why."""


def parse_answer(body: bytes) -> Any:
    """Return the JSON value of an answer; raises ListError where it has too many parts.

    Raises ValueError or RecursionError where it is no JSON. Brackets and commas within strings
    count too, which do not occur in ids and addresses.
    """
    container_count = body.count(b"{") + body.count(b"[")
    if container_count > MAX_ANSWER_CONTAINERS or body.count(b",") > MAX_ANSWER_VALUES:
        raise ListError(f"more than {MAX_ANSWER_CONTAINERS} objects or {MAX_ANSWER_VALUES} values")
    return json.loads(body)


def backend_id(uid: str) -> int:
    """Return a uid's number, which is the same at every node.

    Slots are allocated in the order of these numbers.
    """
    return int.from_bytes(blake2b(uid.encode(), digest_size=8).digest(), "big")


class BackendList:
    """The current list of backends: its revision, the rows, and the address of each backend."""

    __slots__ = (
        "_applied_at",
        "_kinds",
        "_starts",
        "_zones",
        "endpoints",
        "remembered_ids",
        "revision",
        "rows",
        "wall_clock_offset_ns",
    )

    def __init__(self, config: Config) -> None:
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        # boot_ms is wall-clock time of other machines. With one offset that never changes, the same
        # start is the same number in every list; a new offset would make it look like a restart.
        self.wall_clock_offset_ns = time.time_ns() - time.monotonic_ns()
        self.endpoints: dict[int, Address] = {}
        self.rows: dict[int, Listing] = {}
        self.revision = 0
        self._applied_at = 0  # when a list was last adopted, 0 before the first one
        # By backend: its boot_ms, and that start on the monotonic clock.
        self._starts: dict[int, tuple[int, int]] = {}
        self.remembered_ids: dict[int, None] = {}  # ids that were ever listed, the latest last

    def add_zones(self, names: Iterable[str]) -> None:
        """Number further zones after those that are known; rows that are parsed later use them."""
        for name in names:
            self._zones.setdefault(name, len(self._zones))

    def parse(self, raw: Any) -> tuple[Update, list[Listing], dict[int, Address], int]:
        """Check and convert an answer of the registry; the current list does not change yet.

        Returns the kind of update, the rows, the addresses by backend, and how many rows were
        unreadable. Raises ListError where the answer is malformed.

        An unreadable row must not void the others, among which may be drains: its backend stays as
        it was. A list whose rows are all unreadable is an error. The rule could do harm where the
        unreadable row announced a drain; nothing can be done about that row.
        """
        try:
            revision, is_full, targets = raw["rev"], raw["all"], raw["targets"]
            if (
                type(revision) is not int
                or not isinstance(is_full, bool)
                or not isinstance(targets, list)
            ):
                raise ListError("rev, all or targets is of the wrong type")
        except (KeyError, TypeError) as err:
            raise ListError(f"{type(err).__name__}: {err}") from None
        rows: dict[int, Listing] = {}
        endpoints: dict[int, Address] = {}
        unreadable_count = 0
        for target in targets:
            backend = None
            try:
                backend = backend_id(target["uid"])
                row, endpoint = self._parse_row(backend, target)
            except (KeyError, TypeError, ValueError, OverflowError, AttributeError, OSError):
                unreadable_count += 1
                previous = self.rows.get(backend) if backend is not None else None
                if previous is None or backend is None or backend in rows:
                    continue
                row, endpoint = previous, self.endpoints.get(backend)
            rows[backend] = row
            if endpoint is not None:
                endpoints[backend] = endpoint
        if unreadable_count and unreadable_count == len(targets):
            raise ListError(f"none of its {unreadable_count} rows can be read")
        return (
            Update.FULL if is_full else Update.DELTA,
            list(rows.values()),
            endpoints,
            unreadable_count,
        )

    def _parse_row(self, backend: int, target: Any) -> tuple[Listing, Address | None]:
        state = STATES_BY_NAME[target["state"]]
        endpoint = None
        if state != State.GONE:
            endpoint = parse_address(target["endpoint"])
            # Raises OSError for a host name: names are not resolved
            socket.inet_aton(endpoint.host)
        row = Listing(
            backend,
            state,
            self._zones.get(target.get("az"), 0),
            int(target.get("pod_group") or 0),
            self._kinds.get(target.get("model"), 0),
            self._start_time(backend, int(target.get("boot_ms") or 0)),
            float(target.get("capacity_hint") or 1.0),
        )
        return row, endpoint

    def _start_time(self, backend: int, boot_ms: int) -> int:
        """Convert a start time of the wall clock, in ms, to ns of the monotonic clock; 0 where it
        is unknown.

        Either machine's wall clock may be wrong by seconds or by hours. A start of which no earlier
        list told is recent: where its time says otherwise, the backend counts as started now.
        """
        if boot_ms <= 0:
            return 0
        known = self._starts.get(backend)
        if known is not None and known[0] == boot_ms:
            return known[1]
        now = time.monotonic_ns()
        started_at = max(boot_ms * 1_000_000 - self.wall_clock_offset_ns, 1)
        earliest = self._applied_at - MAX_LISTING_DELAY_NS if self._applied_at else 0
        if not earliest <= started_at <= now:
            started_at = now
        self._starts[backend] = (boot_ms, started_at)
        return started_at

    def apply(
        self, revision: int, update: Update, rows: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Adopt a parsed list; returns the backends whose connections must not be used any more."""
        stale = []
        for row in rows:
            old_endpoint = self.endpoints.get(row.backend)
            new_endpoint = endpoints.get(row.backend)
            if old_endpoint is not None and (
                old_endpoint != new_endpoint or row.state != State.READY
            ):
                stale.append(row.backend)
            if new_endpoint is None:
                self._remove(row.backend)
            else:
                self.endpoints[row.backend] = new_endpoint
                self.rows[row.backend] = row
                self.remember(row.backend)
        if update == Update.FULL:
            listed_ids = {row.backend for row in rows}
            for backend in [b for b in self.endpoints if b not in listed_ids]:
                stale.append(backend)
                self._remove(backend)
        self.revision = revision
        if self.rows:
            self._applied_at = time.monotonic_ns()
        return stale

    def remember(self, backend: int) -> None:
        """Remember an id as listed, up to MAX_REMEMBERED_IDS; the oldest is forgotten first."""
        self.remembered_ids.pop(backend, None)
        self.remembered_ids[backend] = None
        if len(self.remembered_ids) > MAX_REMEMBERED_IDS:
            del self.remembered_ids[next(iter(self.remembered_ids))]

    def export(self) -> dict[str, Any]:
        """Return the current list as JSON types.

        Only a process on this machine can use it, because it holds times of this machine's clocks.
        """
        return {
            "zones": self._zones,
            "kinds": self._kinds,
            "clock": self.wall_clock_offset_ns,
            "starts": [[backend, *start] for backend, start in self._starts.items()],
            "rev": self.revision,
            "rows": [[*row, *self.endpoints[row.backend]] for row in self.rows.values()],
            "seen": list(self.remembered_ids),
        }

    def adopt(self, record: Any) -> list[Listing]:
        """Continue from an exported list; returns its rows. Raises ValueError where the list does
        not fit this node."""
        try:
            if record["zones"] != self._zones or record["kinds"] != self._kinds:
                raise ValueError("its zones or hardware models differ from this node's")
            rows = [Listing(b, State(s), *rest) for b, s, *rest, _, _ in record["rows"]]
            endpoints = {row[0]: Address(str(row[-2]), int(row[-1])) for row in record["rows"]}
            remembered_ids, revision, wall_clock_offset_ns = (
                [int(b) for b in record["seen"]],
                int(record["rev"]),
                record["clock"],
            )
            starts = {int(b): (int(ms), int(at)) for b, ms, at in record.get("starts", ())}
        except (KeyError, TypeError, IndexError) as err:
            raise ValueError(f"{type(err).__name__}: {err}") from None
        self.wall_clock_offset_ns = int(wall_clock_offset_ns)
        self._starts = starts
        for backend in remembered_ids:
            self.remember(backend)
        self.apply(revision, Update.FULL, rows, endpoints)
        return rows

    def _remove(self, backend: int) -> None:
        self.endpoints.pop(backend, None)
        self.rows.pop(backend, None)
        self._starts.pop(backend, None)

    def without_displaced(
        self, rows: list[Listing], endpoints: dict[int, Address], update: Update
    ) -> list[Listing]:
        """Return the rows of an update with state GONE for displaced backends, also for those that
        only an earlier list named, and take the addresses of these out of `endpoints`.

        See `flinthatch.shared_addresses`.
        """
        others: dict[int, Address] = {}
        if update != Update.FULL:
            listed_ids = {row.backend for row in rows}
            named = set(endpoints.values())
            others = {
                backend: address
                for backend, address in self.endpoints.items()
                if address in named and backend not in listed_ids
            }
        displaced = find_displaced(
            rows, [self.rows[backend] for backend in others], endpoints | others
        )
        for backend in displaced:
            endpoints.pop(backend, None)
        return [
            row._replace(state=State.GONE) if row.backend in displaced else row for row in rows
        ] + [self.rows[b]._replace(state=State.GONE) for b in others if b in displaced]

    def is_ready(self, backend: int, address: Address) -> bool:
        """Return whether a connection to this address may carry a new attempt for the backend."""
        row = self.rows.get(backend)
        return (
            row is not None and row.state == State.READY and self.endpoints.get(backend) == address
        )


class RegistryCall(PacedProtocol):
    """One GET request on a connection of its own.

    `on_done` is called once with the body, or with None where the call failed.
    """

    __slots__ = (
        "_body", "_connect_task", "_has_length", "_on_done", "_parser", "_received_bytes",
        "_request_head", "_timeout_handle", "_timeout_s", "_transport", "sent_at", "timed_out",
    )  # fmt: skip

    def __init__(
        self,
        address: Address,
        target: str,
        timeout_s: float,
        on_done: Callable[..., None],
        connect_timeout_s: float | None = None,
    ):
        loop = asyncio.get_running_loop()
        super().__init__(TurnQueue(loop))
        self._on_done: Callable[..., None] | None = on_done
        self._request_head = (
            f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        )
        self._body: list[Block] = []
        self._received_bytes = 0
        self._has_length = False  # the answer's head tells where its body ends
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._timeout_s = timeout_s  # counted from the moment the connection is established
        self.sent_at = 0.0  # by the loop's clock; 0 until the connection is established
        self.timed_out = False  # ended because no answer came in time
        connect_timeout_s = min(connect_timeout_s or CONNECT_TIMEOUT_S, timeout_s)
        self._timeout_handle = loop.call_later(connect_timeout_s, self._on_timeout)
        self._connect_task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self.finish(None)

    def _on_timeout(self) -> None:
        self.timed_out = True
        self.finish(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._on_done is None:
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self.sent_at = loop.time()
        self._timeout_handle.cancel()
        self._timeout_handle = loop.call_later(self._timeout_s, self._on_timeout)
        self._transport.write(self._request_head.encode())

    def data_received(self, data: bytes) -> None:
        if self._parser is not None:
            self._receive(data)

    def _parse(self, data: bytes | memoryview) -> bool:
        if self._parser is None:
            return False
        # All bytes count, not only the body's: a head without end would be held in memory too.
        self._received_bytes += len(data)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self.finish(None)
            return False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.finish(None)
        return self._parser is not None

    def _finish_turn(self, is_last: bool) -> None:
        pass  # the parser reports the end of the answer

    def _reject_unparsed(self) -> None:
        self.finish(None)

    def _paced_transport(self) -> asyncio.Transport | None:
        return self._transport

    def close_on_error(self, where: str, error: BaseException) -> None:
        """End the call without an answer; the loop's exception handler is told why."""
        context = {"message": where, "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        self.finish(None)

    def on_header(self, name: bytes, _value: bytes) -> None:
        self._turn_cost += 1
        self._has_length |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_body(self, body: bytes) -> None:
        append_piece(self._body, body)
        self._turn_cost += 1

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is not None:
            status = parser.get_status_code()
            if status >= 200:  # 1xx responses precede the answer
                self.finish(b"".join(self._body) if status == OK else None)

    def eof_received(self) -> None:
        """Take the end of the connection for that of an answer without a length.

        An answer that broke off is no JSON object, which its reader finds out.
        """
        if self._parser is None or self._has_length or not self._body:
            return
        if self._parser.get_status_code() == OK:
            self.finish(b"".join(self._body))

    def connection_lost(self, exc: Exception | None) -> None:
        self.finish(None)

    def finish(self, body: bytes | None) -> None:
        """Report the result, once, and close the connection."""
        on_done = self._on_done
        if on_done is None:
            return
        self.abort()
        on_done(body)

    def abort(self) -> None:
        """Close the connection without reporting a result."""
        self._on_done = None
        self._parser = None
        self._body = []
        self._drop_unparsed()
        self._timeout_handle.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._connect_task.cancel()


class Discovery:
    """Carries out watches and fetches; `on_update` gets each update and the backends whose
    connections it made stale."""

    __slots__ = (
        "_address", "_asked_revision", "_calls", "_is_watching", "_on_update", "_retry_handle",
        "_stale_answer_count", "_watch_state", "backend_list", "log",
    )  # fmt: skip

    def __init__(
        self,
        config: Config,
        on_update: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        self._address = config.discovery
        self._on_update = on_update
        self._stale_answer_count = 0
        self._is_watching = False
        self._watch_state = PollSchedule()
        self.apply_settings(config.settings)
        self._asked_revision = 0  # current revision when the watch's last call was made
        self._retry_handle: asyncio.TimerHandle | None = None
        self._calls: set[RegistryCall] = set()
        self.log = log
        self.backend_list = BackendList(config)

    def apply_settings(self, settings: Settings) -> None:
        """Time later calls by these settings."""
        self._watch_state.agent_hold_ms = 0 if settings.ask else agent_hold_ms(settings.drain_grace)

    def load_known_list(self, raw: Any) -> list[Listing]:
        """Apply the list of the configuration and return its rows. Raises ListError where it is
        malformed."""
        update, rows, endpoints, unreadable_count = self.backend_list.parse(raw)
        if unreadable_count:
            self.log(f"{unreadable_count} rows of the configured list are unreadable and ignored")
        rows = self.backend_list.without_displaced(rows, endpoints, update)
        self.backend_list.apply(raw["rev"], update, rows, endpoints)
        return rows

    def apply_list(self, raw: Any) -> None:
        """Apply a whole list given by the host of the node. Raises ListError where it can't be
        used."""
        update, rows, endpoints, unreadable_count = self.backend_list.parse(raw)
        if unreadable_count:
            self.log(f"{unreadable_count} rows of a list are unreadable and ignored")
        rows = self.backend_list.without_displaced(rows, endpoints, update)
        stale = self.backend_list.apply(raw["rev"], update, rows, endpoints)
        self._on_update(update, rows, stale)

    def watch(self) -> None:
        """Watch for changes from the current revision on, until a call fails.

        Where an agent on this machine pushes the lists, a failed call is repeated and the watch
        never ends.
        """
        if self._is_watching:
            return
        self._is_watching = True
        self._send_watch()

    def fetch(self) -> None:
        """Fetch the whole list once."""
        self._start_call("/registry/instances", FULL_LIST_TIMEOUT_S, self._on_fetch_answer)

    def change_address(self, address: Address) -> None:
        """Continue at another address, at once and from a whole list.

        Revisions of one service mean nothing at another, so the first answer is accepted whatever
        its revision, but only if it is a whole list. Calls to the old address are aborted without a
        report: an answer that is still under way must not be applied after the new list, and their
        end is no failure that calls for a backoff.
        """
        if address == self._address:
            return
        self._address = address
        self._abort_calls()
        self._watch_state.restart()
        self._stale_answer_count = 0
        self._is_watching = True
        self._send_watch()

    def close(self) -> None:
        """Stop watching, abort the open calls and report nothing any more."""
        self._is_watching = False
        self._on_update = lambda *_: None
        self._abort_calls()

    def _abort_calls(self) -> None:
        if self._retry_handle is not None:
            self._retry_handle.cancel()
            self._retry_handle = None
        for call in self._calls:
            call.abort()
        self._calls.clear()

    def _start_call(
        self, target: str, timeout_s: float, on_done: Callable[[RegistryCall, bytes | None], None]
    ) -> None:
        def ended(body: bytes | None) -> None:
            self._calls.discard(call)
            on_done(call, body)

        connect_timeout_s = self._watch_state.connect_timeout_s
        call = RegistryCall(self._address, target, timeout_s, ended, connect_timeout_s)
        self._calls.add(call)

    def _send_watch(self) -> None:
        self._retry_handle = None
        self._asked_revision = self.backend_list.revision
        poll = self._watch_state.next_poll(
            self._asked_revision, service_behind=self._stale_answer_count > 0
        )
        target = "/registry/instances"
        if poll.hold_ms is not None:
            target += f"?from={poll.since}&hold_ms={poll.hold_ms}"
        self._start_call(target, poll.timeout_s, self._on_watch_answer)

    def _on_watch_answer(self, call: RegistryCall, body: bytes | None) -> None:
        if not self._is_watching:
            return
        retry_after_s = (
            self._watch_state.delay_after_failure(call.timed_out) if body is None else None
        )
        if retry_after_s is None or self._watch_state.agent_hold_ms:
            if self._apply_answer(body):
                duration_s = asyncio.get_running_loop().time() - call.sent_at
                retry_after_s = self._watch_state.delay_after_answer(
                    duration_s, self.backend_list.revision != self._asked_revision
                )
            elif body is not None:
                retry_after_s = self._watch_state.delay_after_invalid_answer()
        if retry_after_s is None:
            self._is_watching = False
        elif retry_after_s > 0:
            self._retry_handle = asyncio.get_running_loop().call_later(
                retry_after_s, self._send_watch
            )
        else:
            self._send_watch()

    def _on_fetch_answer(self, _call: RegistryCall, body: bytes | None) -> None:
        self._apply_answer(body)

    def _apply_answer(self, body: bytes | None) -> bool:
        """Apply and report an answer; returns False where it can't be used and the list stays."""
        backend_list = self.backend_list
        try:
            raw = None if body is None else parse_answer(body)
            if raw is None:
                raise ListError("the call failed")
            update, rows, endpoints, unreadable_count = backend_list.parse(raw)
            revision = raw["rev"]
            if self._watch_state.address_changed:
                if update != Update.FULL:
                    raise ListError("the first answer of a new service is not a whole list")
            elif revision < backend_list.revision:
                # A replica that lags must not bring back backends that have left. A service that
                # repeats the same older revision has lost its count, and its list is then accepted.
                self._stale_answer_count += 1
                if (
                    self._stale_answer_count < STALE_ANSWERS_BEFORE_ACCEPTANCE
                    or update != Update.FULL
                ):
                    raise ListError(f"version {revision} is older than {backend_list.revision}")
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self.log(f"discovery answer not used: {err}")
            self._on_update(Update.FAILED, [], [])
            return False
        if unreadable_count:
            self.log(f"{unreadable_count} rows of a discovery answer are unreadable and ignored")
        self._stale_answer_count = 0
        self._watch_state.address_changed = False
        rows = backend_list.without_displaced(rows, endpoints, update)
        stale = backend_list.apply(revision, update, rows, endpoints)
        self._on_update(update, rows, stale)
        return True
