"""Discovery: the list of backends, fetched whole or watched for changes."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any, cast

import httptools

from flinthatch import Listing, State, Update
from flinthatch.list_polling import (
    CONNECT_TIMEOUT_S,
    FULL_LIST_TIMEOUT_S,
    MIN_AGENT_HOLD_MS,
    PollSchedule,
)
from windrelay.config import Address, Config, parse_address

MAX_ANSWER_BYTES = 2 << 20  # some thousands of backends
OLD_TRIES = 3  # answers older than ours in a row before they are taken for the truth
SEEN = 8192  # ids ever listed that are remembered, so that a call can tell one that never was
FUTURE = 60_000_000_000  # a start further ahead than clocks differ is no start
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ValueError):
    """A list that can't be used."""


def backend_id(uid: str) -> int:
    """A number for a uid, the same at every node: the deal of slots sorts by it."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=8).digest(), "big")


class BackendList:
    """The list in hand: its version, its rows, the endpoints, and who wants nothing new."""

    __slots__ = (
        "_kinds",
        "_zones",
        "wall_clock_offset_ns",
        "endpoints",
        "revision",
        "rows",
        "seen",
    )

    def __init__(self, config: Config) -> None:
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        # boot_ms is wall clock. With one difference for good, the same start is the
        # same number in every list; taken anew each time it would look like a restart.
        # A wall clock set anew later makes starts look older or younger by the step.
        self.wall_clock_offset_ns = time.time_ns() - time.monotonic_ns()
        self.endpoints: dict[int, Address] = {}
        self.rows: dict[int, Listing] = {}
        self.revision = 0
        self.seen: dict[int, None] = {}  # all that were ever listed, the latest last

    def add_zones(self, names: Iterable[str]) -> None:
        """Number further zones behind those that are known; rows read from here on use them."""
        for name in names:
            self._zones.setdefault(name, len(self._zones))

    def parse(self, raw: Any) -> tuple[Update, list[Listing], dict[int, Address], int]:
        """Check an answer and convert it; nothing in hand changes yet.

        A row that can't be read must not void the others, drains among them: its
        backend stays as it was. The last figure counts such rows. A whole list of
        nothing else is no list. It could do harm where the unreadable row was the
        word of a drain: nothing can be done about that one.
        """
        try:
            revision, whole, targets = raw["rev"], raw["all"], raw["targets"]
            if (
                type(revision) is not int
                or not isinstance(whole, bool)
                or not isinstance(targets, list)
            ):
                raise ListError("rev, all or targets is of the wrong type")
        except (KeyError, TypeError) as err:
            raise ListError(f"{type(err).__name__}: {err}") from None
        rows: dict[int, Listing] = {}
        endpoints: dict[int, Address] = {}
        bad = 0
        for target in targets:
            backend = None
            try:
                backend = backend_id(target["uid"])
                row, endpoint = self._row(backend, target)
            except (KeyError, TypeError, ValueError, OverflowError, AttributeError, OSError):
                bad += 1
                known = self.rows.get(backend) if backend is not None else None
                if known is None or backend is None or backend in rows:
                    continue
                row, endpoint = known, self.endpoints.get(backend)
            rows[backend] = row
            if endpoint is not None:
                endpoints[backend] = endpoint
        if bad and bad == len(targets):
            raise ListError(f"none of {bad} rows can be read")
        return Update.FULL if whole else Update.DELTA, list(rows.values()), endpoints, bad

    def _row(self, backend: int, target: Any) -> tuple[Listing, Address | None]:
        state = STATES[target["state"]]
        endpoint = None
        if state != State.GONE:
            endpoint = parse_address(target["endpoint"])
            socket.inet_aton(endpoint.host)  # OSError below: there is no DNS
        row = Listing(
            backend,
            state,
            self._zones.get(target.get("az"), 0),
            int(target.get("pod_group") or 0),
            self._kinds.get(target.get("model"), 0),
            self._boot(int(target.get("boot_ms") or 0)),
            float(target.get("capacity_hint") or 1.0),
        )
        return row, endpoint

    def _boot(self, boot_ms: int) -> int:
        if boot_ms <= 0:
            return 0
        boot = boot_ms * 1_000_000 - self.wall_clock_offset_ns
        return 0 if boot > time.monotonic_ns() + FUTURE else max(boot, 1)

    def apply(
        self, revision: int, update: Update, rows: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Take a list over; returns the backends whose connections are of no more use."""
        stale = []
        for row in rows:
            old = self.endpoints.get(row.backend)
            new = endpoints.get(row.backend)
            if old is not None and (old != new or row.state != State.READY):
                stale.append(row.backend)
            if new is None:
                self._drop(row.backend)
            else:
                self.endpoints[row.backend] = new
                self.rows[row.backend] = row
                self.see(row.backend)
        if update == Update.FULL:
            named = {row.backend for row in rows}
            for backend in [b for b in self.endpoints if b not in named]:
                stale.append(backend)
                self._drop(backend)
        self.revision = revision
        return stale

    def see(self, backend: int) -> None:
        self.seen.pop(backend, None)
        self.seen[backend] = None
        if len(self.seen) > SEEN:
            del self.seen[next(iter(self.seen))]

    def export(self) -> dict[str, Any]:
        """The list in hand, of JSON's types, for a process on this machine: its clocks hold."""
        return {
            "zones": self._zones,
            "kinds": self._kinds,
            "clock": self.wall_clock_offset_ns,
            "rev": self.revision,
            "rows": [[*row, *self.endpoints[row.backend]] for row in self.rows.values()],
            "seen": list(self.seen),
        }

    def adopt(self, record: Any) -> list[Listing]:
        """Go on with an exported list; returns its rows. ValueError where it does not fit."""
        try:
            if record["zones"] != self._zones or record["kinds"] != self._kinds:
                raise ValueError("its zones or kinds are others")
            rows = [Listing(b, State(s), *rest) for b, s, *rest, _, _ in record["rows"]]
            endpoints = {row[0]: Address(str(row[-2]), int(row[-1])) for row in record["rows"]}
            seen, revision, wall_clock_offset_ns = (
                [int(b) for b in record["seen"]],
                int(record["rev"]),
                record["clock"],
            )
        except (KeyError, TypeError, IndexError) as err:
            raise ValueError(f"{type(err).__name__}: {err}") from None
        self.wall_clock_offset_ns = int(wall_clock_offset_ns)
        for backend in seen:
            self.see(backend)
        self.apply(revision, Update.FULL, rows, endpoints)
        return rows

    def _drop(self, backend: int) -> None:
        self.endpoints.pop(backend, None)
        self.rows.pop(backend, None)

    def find_displaced(self, rows: list[Listing], endpoints: dict[int, Address]) -> list[Listing]:
        """Backends of other ids at the addresses of these rows: they have gone.

        One process listens at an address. Where a new id is ready at one that an
        older id still holds, the news of that one's end is late or lost: what is
        sent to it would reach the new one, on top of its own part.
        """
        named = {row.backend for row in rows}
        new = {endpoints[row.backend] for row in rows if row.state == State.READY}
        return [
            self.rows[b]._replace(state=State.GONE)
            for b, address in self.endpoints.items()
            if b not in named and address in new
        ]

    def is_ready(self, backend: int, address: Address) -> bool:
        """Whether a connection to this address may carry something new for the backend."""
        row = self.rows.get(backend)
        return (
            row is not None and row.state == State.READY and self.endpoints.get(backend) == address
        )


class RegistryCall(asyncio.Protocol):
    """One GET on a connection of its own; `done` gets the body, or None, once."""

    __slots__ = (
        "_body", "_done", "_head", "_parser", "_size", "_task", "_timeout_handle", "_transport",
        "_wait", "sent_at", "timed_out",
    )  # fmt: skip

    def __init__(self, address: Address, target: str, wait: float, done: Callable[..., None]):
        loop = asyncio.get_running_loop()
        self._done: Callable[..., None] | None = done
        self._head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        self._body: list[bytes] = []
        self._size = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._wait = wait  # seconds from the connection's making on
        self.sent_at = 0.0  # by the loop's clock, 0 for as long as there is no connection
        self.timed_out = False  # ended because nothing came in time
        self._timeout_handle = loop.call_later(min(CONNECT_TIMEOUT_S, wait), self._expired)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self.end(None)

    def _expired(self) -> None:
        self.timed_out = True
        self.end(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._done is None:
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self.sent_at = loop.time()
        self._timeout_handle.cancel()
        self._timeout_handle = loop.call_later(self._wait, self._expired)
        self._transport.write(self._head.encode())

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        # All bytes count, not the body's alone: a head without end would be held too.
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self.end(None)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end(None)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is not None:
            status = parser.get_status_code()
            if status >= 200:  # 1xx comes ahead of the answer
                self.end(b"".join(self._body) if status == 200 else None)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(None)

    def end(self, body: bytes | None) -> None:
        """Hand over what came, once, and let go of the connection."""
        done = self._done
        if done is None:
            return
        self.abort()
        done(body)

    def abort(self) -> None:
        """Let go of the connection and tell nobody."""
        self._done = None
        self._parser = None
        self._body = []
        self._timeout_handle.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._task.cancel()


class Discovery:
    """Carries out watch and fetch; `told` gets each update and what it made stale."""

    __slots__ = (
        "_address", "_calls", "_old", "_retry", "_rev", "_told", "_watch_state", "_watching",
        "backend_list", "log",
    )  # fmt: skip

    def __init__(
        self,
        config: Config,
        told: Callable[[Update, list[Listing], list[int]], None],
        log: Callable[[str], None],
    ) -> None:
        self._address = config.discovery
        self._told = told
        self._old = 0
        self._watching = False
        grace_ms = config.settings.drain_grace // 1_000_000
        self._watch_state = PollSchedule(
            0 if config.settings.ask else max(grace_ms // 4, MIN_AGENT_HOLD_MS)
        )
        self._rev = 0  # in hand as the watch's last call was made
        self._retry: asyncio.TimerHandle | None = None
        self._calls: set[RegistryCall] = set()
        self.log = log
        self.backend_list = BackendList(config)

    def load_known_list(self, raw: Any) -> list[Listing]:
        """The list from the configuration."""
        update, rows, endpoints, bad = self.backend_list.parse(raw)
        if bad:
            self.log(f"{bad} rows of the known list can't be read")
        self.backend_list.apply(raw["rev"], update, rows, endpoints)
        return rows

    def apply_list(self, raw: Any) -> None:
        """Take a whole list from whoever hosts the node; ListError where it can't be used."""
        update, rows, endpoints, bad = self.backend_list.parse(raw)
        if bad:
            self.log(f"{bad} rows of a list can't be read")
        rows += self.backend_list.find_displaced(rows, endpoints)
        stale = self.backend_list.apply(raw["rev"], update, rows, endpoints)
        self._told(update, rows, stale)

    def watch(self) -> None:
        """Ask for changes from the version in hand on; goes on until a call fails, and for good
        where lists are pushed."""
        if self._watching:
            return
        self._watching = True
        self._next_watch()

    def fetch(self) -> None:
        self._call("/registry/instances", FULL_LIST_TIMEOUT_S, self._fetched)

    def change_address(self, address: Address) -> None:
        """Go on at another address, at once and from a whole list.

        Versions of one service mean nothing at another, so the first answer is
        taken whatever its number, and only if it is whole. The calls to the old
        address are dropped untold: an answer still on its way there must not come
        after the new list, and their end is no failure to back off from.
        """
        if address == self._address:
            return
        self._address = address
        self._drop_calls()
        self._watch_state.restart()
        self._old = 0
        self._watching = True
        self._next_watch()

    def close(self) -> None:
        self._watching = False
        self._told = lambda *_: None
        self._drop_calls()

    def _drop_calls(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        for call in self._calls:
            call.abort()
        self._calls.clear()

    def _call(
        self, target: str, wait: float, done: Callable[[RegistryCall, bytes | None], None]
    ) -> None:
        def ended(body: bytes | None) -> None:
            self._calls.discard(call)
            done(call, body)

        call = RegistryCall(self._address, target, wait, ended)
        self._calls.add(call)

    def _next_watch(self) -> None:
        self._retry = None
        self._rev = self.backend_list.revision
        ask = self._watch_state.next_poll(self._rev, service_behind=self._old > 0)
        target = "/registry/instances"
        if ask.hold_ms is not None:
            target += f"?from={ask.since}&hold_ms={ask.hold_ms}"
        self._call(target, ask.timeout_s, self._watched)

    def _watched(self, call: RegistryCall, body: bytes | None) -> None:
        if not self._watching:
            return
        after = self._watch_state.delay_after_failure(call.timed_out) if body is None else None
        if after is None or self._watch_state.agent_hold_ms:
            if self._take(body):
                lasted = asyncio.get_running_loop().time() - call.sent_at
                after = self._watch_state.delay_after_answer(
                    lasted, self.backend_list.revision != self._rev
                )
            elif body is not None:
                after = self._watch_state.delay_after_invalid_answer()
        if after is None:
            self._watching = False
        elif after > 0:
            self._retry = asyncio.get_running_loop().call_later(after, self._next_watch)
        else:
            self._next_watch()

    def _fetched(self, _call: RegistryCall, body: bytes | None) -> None:
        self._take(body)

    def _take(self, body: bytes | None) -> bool:
        """Pass on an answer; False where it failed and the list in hand stays."""
        backend_list = self.backend_list
        try:
            raw = None if body is None else json.loads(body)
            if raw is None:
                raise ListError("the call failed")
            update, rows, endpoints, bad = backend_list.parse(raw)
            revision = raw["rev"]
            if self._watch_state.address_changed:
                if update != Update.FULL:
                    raise ListError("the first list of a new service is not whole")
            elif revision < backend_list.revision:
                # A replica that lags must not bring back what has left. One that
                # says the same again and again has lost its count: then it is right.
                self._old += 1
                if self._old < OLD_TRIES or update != Update.FULL:
                    raise ListError(f"version {revision} is older than {backend_list.revision}")
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self.log(f"discovery answer not used: {err}")
            self._told(Update.FAILED, [], [])
            return False
        if bad:
            self.log(f"{bad} rows of a discovery answer can't be read")
        self._old = 0
        self._watch_state.address_changed = False
        rows += backend_list.find_displaced(rows, endpoints)
        stale = backend_list.apply(revision, update, rows, endpoints)
        self._told(update, rows, stale)
        return True
