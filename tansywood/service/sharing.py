"""A worker's link to its instance's fleet process: it reports what its tenants ask for and use, and
puts in force what they may use."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from flinthatch import shared_limits as module
from flinthatch.balancer import NEVER
from tansywood.fleet.allocation import floor_of, open_key, places_key, rate_key, slice_of
from tansywood.fleet.share import Limits, limits_of
from tansywood.fleet.signals import Kind
from tansywood.fleet.terms import SECOND
from tansywood.service.limiting import Amounts, Tenant, apply, numbers
from tansywood.service.shape import entered
from tansywood.service.wire import WireError, frame, read_frame
from tansywood.tenancy.limits import Bucket
from windrelay.node import Node

REPORT_S = 0.1
AGAIN_S = 0.05
SEEN = 2 * SECOND  # what a server answered longer ago is no evidence
LONG = 4 * SECOND  # over which a tenant's rate is counted ...
SHORT = SECOND // 3  # ... and over which a jump shows
SURE = 2.0  # standard deviations of a count that are taken off it there, or put on it
HEADROOM = 1.3  # times the open requests and places in use, so that one more finds room
REST = 2 * SECOND  # without a request, after which no places are asked for


def floor(limits: Limits, tenant: str, allocators: int, index: int) -> Amounts:
    """What an allocator's own workers may always use; nothing where this instance is none."""

    def kept(key: str, whole: int) -> int:
        return floor_of(slice_of(key, whole, allocators, index)) if index >= 0 else 0

    return Amounts(
        kept(rate_key(tenant), limits.rate),
        kept(open_key(tenant), limits.open),
        {s: kept(places_key(tenant, s), limits.places) for s in limits.servers}
        if limits.places
        else None,
    )


def within(told: Mapping[str, Any], limits: Limits) -> Amounts:
    """What was told, under an older document perhaps: never more than the present one's whole."""
    places = None
    if limits.places:
        given = told["places"] or {}
        places = {s: min(int(given.get(s, 0)), limits.places) for s in limits.servers}
    return Amounts(min(int(told["rate"]), limits.rate), min(int(told["open"]), limits.open), places)


@dataclass(slots=True)
class _Watched:
    """What is remembered of a hosted tenant between two reports."""

    counts: deque[tuple[int, int]] = field(default_factory=deque)  # time, asked until then
    peak: float = 0.0
    busy_at: int = 0

    def rate(self, now: int, asked: int) -> float:
        """Requests asked a second: over the last four, within what the last third of one
        shows. Each tenth taken by itself, a stream of 15 a second asked for 50 at times, and the
        shares of three instances were even however unlike their traffic."""
        counts = self.counts
        counts.append((now, asked))
        while len(counts) > 2 and now - counts[1][0] >= LONG:
            counts.popleft()
        begin, first = counts[0]
        long = (asked - first) * SECOND / max(now - begin, SECOND)
        short_begin, short_first = next(c for c in counts if now - c[0] <= SHORT)
        n = asked - short_first
        span = max(now - short_begin, SHORT)
        low = (n - SURE * math.sqrt(n)) * SECOND / span
        high = (n + SURE * math.sqrt(n + 1)) * SECOND / span
        return min(max(long, low), high)


def _places(hosted: Tenant, busy: bool) -> dict[str, tuple[int, int]]:
    """By server: places that are needed and that are in use."""
    balancer = hosted.node.balancer
    held = module.count_occupied_slots(balancer)
    ready = max(sum(1 for b in balancer.backends.values() if b.state == 1), 1)
    waiting = balancer.waiting + balancer.waiting_low_priority
    each = -(-int(HEADROOM * (balancer.in_flight + waiting)) // ready) + 1 if busy else 0
    return {name: (each, held.get(n, 0)) for name, n in numbers(hosted.settings).items()}


def _seen(now: int, hosted: Tenant) -> dict[str, tuple[int, int]]:
    """By server: what was found out here and how many nanoseconds ago, where anything was."""
    balancer = hosted.node.balancer
    away = module.list_ejected(balancer)
    good = module.list_recent_answers(balancer, now, SEEN)
    seen = {}
    for name, number in numbers(hosted.settings).items():
        if number in away:
            seen[name] = (int(Kind.EJECTED), 0)
        elif number in good:
            seen[name] = (int(Kind.ANSWERED), good[number])
    return seen


class Sharing:
    """The tenants of one worker, and their instance's allocation of each limit."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        worker: str,
        allocators: int,
        index: int,
        hosted: Callable[[], Mapping[str, Tenant]],
    ) -> None:
        self.loop = loop
        self.path = path
        self.worker = worker
        self.allocators = allocators
        self.index = index
        self.hosted = hosted
        self.version = 0
        self.instances = 1
        self.told: dict[str, dict[str, Any]] = {}  # by tenant's name
        self.watched: dict[str, _Watched] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._waited: dict[tuple[str, int], int] = {}  # back-off of the try that was left
        self._said = -1  # the version that the fleet was told last
        self._soon = asyncio.Event()

    # ---- what is in force ----------------------------------------------------------------------

    def begin(self, hosted: Tenant) -> None:
        """A tenant comes to this worker: the floor, until the fleet has said more."""
        bucket: Bucket | None = hosted.server.bucket
        if bucket is not None:
            bucket.empty(time.monotonic_ns())
        self.told.pop(hosted.settings.name, None)
        self.again(hosted)
        self._soon.set()

    def again(self, hosted: Tenant) -> None:
        """Another version of its document: what was told holds within that."""
        limits = limits_of(hosted.settings)
        least = floor(limits, hosted.settings.name, self.allocators, self.index)
        told = self.told.get(hosted.settings.name)
        if told is not None and told["until"] > time.monotonic_ns():
            apply(hosted, within(told, limits), told["until"], least, self.instances)
        else:
            apply(hosted, least, NEVER, least, self.instances)

    def taken(self, message: dict[str, Any]) -> None:
        """What the fleet says now, of all tenants here."""
        now = time.monotonic_ns()
        self.instances = message["instances"]
        rows: dict[str, dict[str, Any]] = message["tenants"]
        for hosted in self.hosted().values():
            name = hosted.settings.name
            row = rows.get(name)
            if row is None:
                continue
            self._take(hosted, name, row)
            number = numbers(hosted.settings)
            balancer = hosted.node.balancer
            module.mark_half_open(
                balancer, now, [number[s] for s in row["doubted"] if s in number], SECOND
            )
            for server in row["back"]:
                if server in number:
                    with entered(hosted.node) as here:
                        module.end_ejection(balancer, here, number[server])
            for server, wait in row["tries"].items():
                if wait and server in number:
                    # Another tries it first; this one later, if nothing is heard of that.
                    self._wait(hosted, number[server], now + wait)
        self.version = message["version"]

    def _take(self, hosted: Tenant, name: str, row: dict[str, Any]) -> None:
        known = self.told.get(name)
        self.told[name] = row
        same = known is not None and all(known[k] == row[k] for k in ("rate", "open", "places"))
        balancer = hosted.node.balancer
        if (
            same
            and balancer.instance_count == self.instances
            and time.monotonic_ns() < row["until"]
        ):
            # The usual news: the same for longer. Where it had lapsed it is put in force anew.
            bucket: Bucket | None = hosted.server.bucket
            if balancer.grant_expires_at != NEVER and (
                bucket is None or bucket.extend(row["until"])
            ):
                balancer.grant_expires_at = row["until"]
                return
        self.again(hosted)

    def _wait(self, hosted: Tenant, server: int, until: int) -> None:
        """Leave the try to another; once for each time that the server is ejected, since one
        that is put off again and again would stay out."""
        node: Node = hosted.node
        b = node.balancer.backends.get(server)
        if b is None or self._waited.get((hosted.uid, server)) == b.ejection_backoff:
            return
        self._waited[hosted.uid, server] = b.ejection_backoff
        with entered(node) as now:
            module.extend_ejection(node.balancer, now, server, until)

    # ---- what is asked for ---------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """All tenants at work here, as the fleet is told."""
        now = time.monotonic_ns()
        rows = {}
        for uid, hosted in self.hosted().items():
            rows[hosted.settings.name] = self._row(now, uid, hosted)
        for uid in [uid for uid in self.watched if uid not in self.hosted()]:
            del self.watched[uid]
        return {"version": self.version, "tenants": rows}

    def _row(self, now: int, uid: str, hosted: Tenant) -> dict[str, Any]:
        """What one tenant asks for and uses: the rate in thousandths of a request a second, the
        rest in requests."""
        node: Node = hosted.node
        w = self.watched.get(uid)
        if w is None:
            w = self.watched[uid] = _Watched()
            w.counts.append((now, 0))
        asked = sum(c.asked for c in hosted.server.report.classes.values())
        if asked != w.counts[-1][1] or node.open_request_count:
            w.busy_at = now
        rate = w.rate(now, asked)
        busy = now - w.busy_at <= REST
        w.peak = max(float(node.open_request_count), 0.9 * w.peak)
        need = int(w.peak * HEADROOM) + 2 if busy else 0
        if node.open_request_count >= node.config.max_open_requests:
            need += max(node.open_request_count, 2)  # more are turned away, nobody knows how many
        return {
            "rate": int(rate * 1000) if busy else 0,
            "open": need,
            "used": node.open_request_count,
            "places": _places(hosted, busy) if hosted.settings.limits.places else {},
            "seen": _seen(now, hosted),
        }

    def bye(self) -> None:
        """The last word: every request has ended, at the servers too. Without it what was lent
        here counts as in use for as long as the longest request may take."""
        if self._writer is not None:
            self._writer.write(frame({"version": self.version, "tenants": {}}))
            self._writer = None

    # ---- the link ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, WireError):
                await self._follow()
            await asyncio.sleep(AGAIN_S)

    async def _follow(self) -> None:
        reader, writer = await asyncio.open_unix_connection(self.path)
        self.version = 0  # another life of the fleet's process counts anew
        self._writer = writer
        telling = self.loop.create_task(self._tell(writer))
        try:
            while True:
                self.taken(await read_frame(reader))
                if self.version != self._said:
                    self._soon.set()  # what was taken back is free once we have said so
        finally:
            self._writer = None
            telling.cancel()
            writer.close()

    async def _tell(self, writer: asyncio.StreamWriter) -> None:
        writer.write(frame({"hello": self.worker}))
        while self._writer is writer:
            self._said = self.version
            writer.write(frame(self.report()))
            self._soon.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._soon.wait(), REPORT_S)
