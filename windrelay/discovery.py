"""Discovery: the list of backends, fetched whole or watched for changes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, cast

import httptools

from flinthatch import Listing, State, Update
from windrelay.config import Address, Config, parse_address

# How long a watch may wait for news. A connection that is silently cut shows only
# when that time is over, so it is short, and shorter after a call without an answer;
# each call costs the service as much as some tens of lines, so it grows again.
HOLD_MS = 4_000
HOLD_LEAST_MS = 1_000
HOLD_MOST_MS = 8_000
CALL_S = 2.5  # for a call's answer, beyond the time it may wait
MAX_ANSWER = 16 << 20
OLD_TRIES = 3  # answers older than ours in a row before they are taken for the truth
STATES = {"active": State.READY, "leaving": State.DRAINING, "left": State.GONE}


class ListError(ValueError):
    """A list that can't be used."""


def backend_id(uid: str) -> int:
    """A number for a uid, the same at every node: the deal of slots sorts by it."""
    return int.from_bytes(blake2b(uid.encode(), digest_size=8).digest(), "big")


class Roster:
    """The list in hand: its version, the endpoints, and what tells a restart."""

    __slots__ = ("_boots", "_kinds", "_zones", "endpoints", "rev")

    def __init__(self, config: Config) -> None:
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        # boot_ms is wall clock: each value is converted once. Converted again with
        # every list it would differ by some nanoseconds and look like a restart.
        self._boots: dict[int, tuple[int, int]] = {}
        self.endpoints: dict[int, Address] = {}
        self.rev = 0

    def read(self, raw: Any) -> tuple[Update, list[Listing], dict[int, Address]]:
        """Check an answer and convert it; nothing in hand changes yet."""
        try:
            rev, whole, targets = raw["rev"], raw["all"], raw["targets"]
            if not isinstance(rev, int) or not isinstance(whole, bool):
                raise ListError("rev or all is of the wrong type")
            rows: list[Listing] = []
            endpoints: dict[int, Address] = {}
            for target in targets:
                backend = backend_id(str(target["uid"]))
                state = STATES[target["state"]]
                if state != State.GONE:
                    endpoints[backend] = parse_address(target["endpoint"])
                rows.append(
                    Listing(
                        backend,
                        state,
                        self._zones.get(target.get("az"), 0),
                        int(target.get("pod_group") or 0),
                        self._kinds.get(target.get("model"), 0),
                        self._boot(backend, int(target.get("boot_ms") or 0)),
                        float(target.get("capacity_hint") or 1.0),
                    )
                )
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ListError(f"{type(err).__name__}: {err}") from None
        return Update.FULL if whole else Update.DELTA, rows, endpoints

    def _boot(self, backend: int, boot_ms: int) -> int:
        if boot_ms <= 0:
            return 0
        known = self._boots.get(backend)
        if known is not None and known[0] == boot_ms:
            return known[1]
        age = max(time.time_ns() - boot_ms * 1_000_000, 0)
        boot = (time.monotonic_ns() - age) or 1
        self._boots[backend] = (boot_ms, boot)
        return boot

    def apply(
        self, rev: int, update: Update, rows: list[Listing], endpoints: dict[int, Address]
    ) -> list[int]:
        """Take a list over; returns the backends whose connections are of no more use."""
        stale = []
        for row in rows:
            old = self.endpoints.get(row.backend)
            new = endpoints.get(row.backend)
            if old is not None and (old != new or row.state != State.READY):
                stale.append(row.backend)
            if new is None:
                self.endpoints.pop(row.backend, None)
                self._boots.pop(row.backend, None)
            else:
                self.endpoints[row.backend] = new
        if update == Update.FULL:
            for backend in [b for b in self.endpoints if b not in endpoints]:
                stale.append(backend)
                del self.endpoints[backend]
                self._boots.pop(backend, None)
        self.rev = rev
        return stale


class Call(asyncio.Protocol):
    """One GET on a connection of its own; `done` gets the body, or None, once."""

    __slots__ = ("_body", "_done", "_handle", "_head", "_parser", "_size", "_task", "_transport")

    def __init__(self, address: Address, target: str, wait: float, done: Callable[..., None]):
        loop = asyncio.get_running_loop()
        self._done: Callable[..., None] | None = done
        self._head = f"GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
        self._body: list[bytes] = []
        self._size = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._handle = loop.call_later(wait, self.end, None)
        self._task = loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self.end(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._done is None:
            self._transport.abort()
        else:
            self._transport.write(self._head.encode())

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end(None)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)
        self._size += len(body)
        if self._size > MAX_ANSWER:
            self.end(None)

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is not None:
            self.end(b"".join(self._body) if parser.get_status_code() == 200 else None)

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(None)

    def end(self, body: bytes | None) -> None:
        """Hand over what came, once, and let go of the connection."""
        done, self._done = self._done, None
        if done is None:
            return
        self._parser = None
        self._handle.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._task.cancel()
        done(body)


class Discovery:
    """Carries out watch and fetch; `told` gets each update and what it made stale."""

    __slots__ = ("_address", "_calls", "_hold_ms", "_old", "_told", "_watching", "log", "roster")

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
        self._hold_ms = HOLD_MS
        self._calls: set[Call] = set()
        self.log = log
        self.roster = Roster(config)

    def known(self, raw: Any) -> list[Listing]:
        """The list from the configuration."""
        update, rows, endpoints = self.roster.read(raw)
        self.roster.apply(raw["rev"], update, rows, endpoints)
        return rows

    def watch(self) -> None:
        """Ask for changes from the version in hand on; goes on until a call fails."""
        if self._watching:
            return
        self._watching = True
        self._next_watch()

    def fetch(self) -> None:
        self._call("/registry/instances", CALL_S, self._fetched)

    def close(self) -> None:
        self._watching = False
        self._told = lambda *_: None
        for call in list(self._calls):
            call.end(None)

    def _call(self, target: str, wait: float, done: Callable[[bytes | None], None]) -> None:
        def ended(body: bytes | None) -> None:
            self._calls.discard(call)
            done(body)

        call = Call(self._address, target, wait, ended)
        self._calls.add(call)

    def _next_watch(self) -> None:
        # One that has lost its count can't tell what changed since a version of its past.
        since = self.roster.rev if self._old < OLD_TRIES else 0
        target = f"/registry/instances?from={since}&hold_ms={self._hold_ms}"
        self._call(target, self._hold_ms / 1000 + CALL_S, self._watched)

    def _watched(self, body: bytes | None) -> None:
        if not self._watching:
            return
        if body is None:
            self._hold_ms = max(self._hold_ms // 2, HOLD_LEAST_MS)
        else:
            self._hold_ms = min(self._hold_ms * 5 // 4, HOLD_MOST_MS)
        if self._take(body):
            # At once: after 200 ms discovery would count it as a new watch, and
            # what changed in between as told late.
            self._next_watch()
        else:
            self._watching = False

    def _fetched(self, body: bytes | None) -> None:
        self._take(body)

    def _take(self, body: bytes | None) -> bool:
        """Pass on an answer; False where it failed and the list in hand stays."""
        roster = self.roster
        try:
            raw = None if body is None else json.loads(body)
            if raw is None:
                raise ListError("the call failed")
            update, rows, endpoints = roster.read(raw)
            rev = raw["rev"]
            if rev < roster.rev:
                # A replica that lags must not bring back what has left. One that
                # says the same again and again has lost its count: then it is right.
                self._old += 1
                if self._old < OLD_TRIES or update != Update.FULL:
                    raise ListError(f"version {rev} is older than {roster.rev}")
        except (ListError, ValueError, RecursionError) as err:
            if body is not None:
                self.log(f"discovery answer not used: {err}")
            self._told(Update.FAILED, [], [])
            return False
        self._old = 0
        stale = roster.apply(rev, update, rows, endpoints)
        self._told(update, rows, stale)
        return True
