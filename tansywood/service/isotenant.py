"""One tenant whose callers and servers speak ISO 8583: its node, its terminals, its records.

It is set up when its first connection comes. Its store is opened beside the loop; connections
that come meanwhile wait, for nothing may be sent before what was owed and out is known.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tansywood.iso8583.codec import Codec, Message
from tansywood.iso8583.framing import Frame, Framing
from tansywood.iso8583.front import Caller, IsoServer, TerminalConnection
from tansywood.iso8583.link import IsoLink, IsoNode
from tansywood.iso8583.reversals import Fate
from tansywood.service import shape
from tansywood.service.isoshape import dialect_of, mapping_of
from tansywood.service.records import StoreRecords
from tansywood.service.report import Report
from tansywood.service.tenant import AWAY
from tansywood.tenancy.limits import Bucket
from tansywood.tenancy.settings import ACTIVE, DELETED, DRAINING, TenantSettings, read
from windrelay.discovery import Discovery


class Timed(TerminalConnection):
    """A terminal whose time in the loop counts against its tenant's share."""

    def __init__(self, server: TenantFront) -> None:
        super().__init__(server)
        self.state: TenantState = server.state

    def data_received(self, data: bytes) -> None:
        began = time.perf_counter_ns()
        try:
            super().data_received(data)
        finally:
            self.state.used += time.perf_counter_ns() - began

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.state.held and self.transport is not None:
            self.transport.pause_reading()


class TenantState:
    """What a worker knows of a tenant at work, whatever its protocol: see TenantServer."""

    def __init__(self) -> None:
        self.report = Report()
        self.status = ACTIVE
        self.epoch = 1
        self.used = 0  # nanoseconds spent on its callers in this window
        self.held = False  # not read from at present
        self.most = 0  # connections of callers
        self.stopping = False
        self.bucket: Bucket | None = None
        self.front: TenantFront | None = None
        self.waiting: list[socket.socket] = []  # for the records to be there
        self.again: Callable[[], None] | None = None  # opens them, where that has failed
        self._tasks: set[asyncio.Task[Any]] = set()

    def adopt(self, sock: socket.socket, _listener: str, _first: bytes) -> None:
        """Take over a connection; one too many is closed."""
        front = self.front
        open_now = len(self.waiting) + (front.node.client_count if front is not None else 0)
        if open_now + len(self._tasks) >= self.most or self.stopping:
            self.report.turned_away(503)
            sock.close()
        elif front is None:
            self.waiting.append(sock)
            again, self.again = self.again, None
            if again is not None:
                again()
        else:
            self.welcome(front, sock)

    def welcome(self, front: TenantFront, sock: socket.socket) -> None:
        loop = front.node.loop
        task = loop.create_task(loop.connect_accepted_socket(front.connection, sock))
        self._tasks.add(task)

        def welcomed(task: asyncio.Task[Any]) -> None:
            self._tasks.discard(task)
            if task.cancelled() or task.exception() is not None:
                sock.close()

        task.add_done_callback(welcomed)

    def hold(self, held: bool) -> None:
        if held == self.held:
            return
        self.held = held
        for conn in self.front.connections if self.front is not None else ():
            if conn.transport is not None and not conn.transport.is_closing():
                if held:
                    conn.transport.pause_reading()
                else:
                    conn.transport.resume_reading()


class TenantFront(IsoServer):
    """The terminals of one tenant; they come from a door instead of a listener."""

    def __init__(self, state: TenantState, *args: Any, **over: Any) -> None:
        self.state = state
        super().__init__(*args, **over)

    def connection(self) -> TerminalConnection:
        return Timed(self)

    def request(self, conn: TerminalConnection, message: Message, one: Frame, at: int) -> None:
        cls = self.mapping.class_of(message)
        state = self.state
        if cls is None or message.mti[1] == "4":
            super().request(conn, message, one, at)
            return
        why, wait = "", AWAY
        if state.stopping:
            why = "busy"
        elif state.status != ACTIVE:
            why = state.status
        elif state.bucket is not None and (limit := state.bucket.take(time.monotonic_ns())):
            why, wait = "rate", limit
        state.report.asked(cls)
        if why:
            state.report.refused(cls, why)
            conn.write(self.refusal(message, wait), one.tpdu)
        else:
            super().request(conn, message, one, at)

    def settle(self, caller: Caller, answer: bytes, fate: Fate) -> None:
        cls = self.mapping.class_of(caller.message) or ""
        report, node = self.state.report, self.node
        if fate == Fate.NEVER_RAN:
            report.refused(
                cls, "open" if node.open_request_count >= node.config.max_open_requests else "busy"
            )
        elif fate == Fate.IN_DOUBT:
            report.failed(cls)
        else:
            taken = node.now - caller.request.arrived_at if caller.request is not None else 0
            report.served(cls, taken)
        super().settle(caller, answer, fate)


class IsoHosted:
    """The tenant at work; the same face to a worker as `tenant.Hosted`."""

    def __init__(self, view: dict[str, Any], loop: asyncio.AbstractEventLoop, folder: str) -> None:
        self.uid: str = view["uid"]
        self.version: int = view["version"]
        self.settings: TenantSettings = read(view["document"])
        iso = self.settings.iso8583
        assert iso is not None
        self.loop = loop
        self.rev = 1
        self.codec = Codec(dialect_of(iso))
        self.framing = Framing(iso.length, iso.own_length, iso.tpdu)
        self.mapping = mapping_of(iso)
        self.node = node = IsoNode(shape.config(self.uid, self.settings), loop)
        limits = self.settings.limits
        node.budget.set_limit(limits.held_bytes)
        node.discovery = Discovery(node.config, node.apply_member_update, node.log)
        node.upstream = IsoLink(
            node,
            self.codec,
            self.framing,
            self.mapping,
            most=iso.servers_outstanding,
            sign_on=iso.servers_sign_on,
        )
        self.server = state = TenantState()
        state.bucket = Bucket(time.monotonic_ns(), limits.rate_per_s, limits.burst)
        state.status = view["status"]
        state.most = limits.connections
        node.start()
        node.discovery.apply_list(shape.members(self.settings, view["since"], self.rev))
        self.records: StoreRecords | None = None
        self.path = Path(folder) / self.uid
        self.begin()

    def begin(self) -> None:
        self.opening = self.loop.create_task(self.open(self.path))
        self.opening.add_done_callback(self.opened)

    async def open(self, path: Path) -> TenantFront:
        self.records = records = await StoreRecords.open(path, self.node.log)
        try:
            secret, rows = await records.secret(), records.rows()
        except BaseException:
            self.records = None
            await records.close()
            raise
        iso = self.settings.iso8583
        assert iso is not None
        return TenantFront(
            self.server,
            self.node,
            self.codec,
            self.framing,
            self.mapping,
            secret,
            must_sign_on=iso.terminals_sign_on,
            records=records,
            rows=rows,
        )

    def opened(self, task: asyncio.Task[TenantFront]) -> None:
        """The records are there, or are not to be had: then its terminals are let go of, and
        the next connection tries again."""
        waiting, self.server.waiting = self.server.waiting, []
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or error is not None:
            if error is not None:
                self.node.log(f"its records can't be opened: {error!r}")
            for sock in waiting:
                sock.close()
            self.server.again = self.begin
            return
        self.server.front = front = task.result()
        front.know(self.node.config.settings.classes, self.numbers())
        for sock in waiting:
            self.server.welcome(front, sock)

    def numbers(self) -> dict[str, int]:
        """As the module numbers its classes now; it may have changed since it began."""
        return {c.spec.name: c.number for c in self.node.balancer.classes if c.spec.name[:1] != "~"}

    def change(self, view: dict[str, Any]) -> None:
        """Go on under another version; what is under way ends by the stricter rules."""
        if view["version"] == self.version:
            return
        self.version = view["version"]
        node, state = self.node, self.server
        new = read(view["document"])
        old, self.settings = self.settings, new
        assert new.iso8583 is not None
        config = shape.config(self.uid, new)
        node.config = config
        node.max_connections = node.compute_max_connections()
        node.budget.set_limit(new.limits.held_bytes)
        state.most = new.limits.connections
        if new.limits != old.limits and state.bucket is not None:
            state.bucket.change(time.monotonic_ns(), new.limits.rate_per_s, new.limits.burst)
        numbers = node.update_settings(config.settings)
        self.mapping = node.upstream.mapping = mapping_of(new.iso8583)
        if state.front is not None:
            state.front.mapping = self.mapping
            state.front.know(config.settings.classes, numbers)
        if new.servers != old.servers:
            self.rev += 1
            node.discovery.backend_list.add_zones(shape.zones(new))
            node.discovery.apply_list(shape.members(new, view["since"], self.rev))
        self.set_status(view["status"])

    def set_status(self, status: str) -> None:
        before, self.server.status = self.server.status, status
        if status not in (before, ACTIVE, DRAINING):
            shape.refuse_waiting(self.node)

    def delete(self) -> None:
        self.set_status(DELETED)
        self.stop()

    def stop(self) -> None:
        """Refuse what comes, answer what is open."""
        self.server.stopping = True

    def idle(self) -> bool:
        """Whether nothing would be lost with it: nobody there, nothing out, nothing owed."""
        front = self.server.front
        owed = front is not None and front.reversals.owed
        return self.opening.done() and not (self.node.requests or self.node.client_count or owed)

    def finished(self) -> bool:
        return not self.node.requests and not self.server.waiting

    def end(self) -> None:
        """Answer what is left, and let go of everything."""
        self.node.fail_all()
        self.opening.cancel()
        if self.server.front is not None:
            self.server.front.close()
        self.node.upstream.close()
        self.node.discovery.close()
        if self.node.loop_timer is not None:
            self.node.loop_timer.cancel()
        self.node.timers.clear()
        if self.records is not None:
            self.closing = self.loop.create_task(self.records.close())

    def sweep(self) -> None:
        self.node.sweep()
        if self.server.front is not None:
            self.server.front.sweep()
            if self.server.stopping and not self.node.requests:
                self.server.front.close()
