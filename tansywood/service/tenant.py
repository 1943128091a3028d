"""One tenant in a worker: a node of its own, its callers' connections, its limits and counts.

Its node is windrelay's, with its own decision module, budgets and retries: nothing of it is
another tenant's. What is told here is only who may come in and at what rate; which server,
whether again and what is refused for want of room is the module's, as ever.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from tansywood.service import shape
from tansywood.service.report import Report
from tansywood.tenancy.limits import Bucket
from tansywood.tenancy.settings import ACTIVE, DELETED, DRAINING, TenantSettings, read
from windrelay.body_blocks import Block
from windrelay.http_node import HttpNode
from windrelay.incoming_request import BadRequest, IncomingRequest
from windrelay.interfaces import StreamSource
from windrelay.node import Node
from windrelay.server import EMPTY_RESPONSE_HEADS, ClientConnection, Server

SECOND = 1_000_000_000
AWAY = 2 * SECOND  # told to callers of a tenant that is suspended or drains
CLOSE_AFTER_S = 1.0
KEY = b"x-tenant-key"
# What nobody's requests get, whoever asked for whatever: the same bytes in every case.
UNKNOWN = EMPTY_RESPONSE_HEADS[404] + b"Connection: close\r\n\r\n"
FULL = EMPTY_RESPONSE_HEADS[503] + b"Retry-After: 1.000\r\nConnection: close\r\n\r\n"


class TenantConnection(ClientConnection):
    """A caller's connection that came with a first head, and must stay its tenant's."""

    __slots__ = (
        "_cls",
        "_first",
        "_hosted",
        "_key",
        "_proved",
        "_proved_in",
        "listener",
    )

    def __init__(self, hosted: TenantServer, sock: socket.socket, listener: str, first: bytes):
        super().__init__(hosted, sock)
        self._hosted = hosted
        self.listener = listener
        self._first = first
        self._key = b""
        self._proved: tuple[bytes, bytes, bytes] | None = None  # what the head before showed
        self._proved_in = 0  # and in which epoch that was this tenant's
        self._cls = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        first, self._first = self._first, b""
        if first and not self._hosted.held:
            self.data_received(first)
        elif first:
            self._first = first
            self.pause()

    def data_received(self, data: bytes) -> None:
        if self._first:  # the loop began to read all the same
            data, self._first = self._first + data, b""
        super().data_received(data)

    def _take_turn(self, view: bytes | memoryview) -> None:
        began = time.perf_counter_ns()
        try:
            super()._take_turn(view)
        finally:
            self._hosted.used += time.perf_counter_ns() - began

    def _may_take_turn(self) -> bool:
        return not self._hosted.held

    def _set_reading(self, reading: bool) -> None:
        if not (reading and self._hosted.held):
            super()._set_reading(reading)

    def pause(self) -> None:
        """Read nothing more, and parse nothing more of what was read."""
        self._set_reading(False)

    def go_on(self) -> None:
        """Read again, what came with the connection first."""
        first, self._first = self._first, b""
        if first:
            self.data_received(first)
        if self._unparsed is not None:
            self._queue_turn()
        elif not self._lingering:
            self._set_reading(True)

    # ---- whose it is --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self._key = b""
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) == len(KEY) and name.lower() == KEY and not self._headers_done:
            if self._key:
                raise BadRequest(400, "two keys")
            self._key = value.strip(b" \t") or b"-"
            return  # never sent on: the servers are not to know it
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        incoming, hosted = self._incoming, self._hosted
        assert incoming is not None
        fields = incoming.headers
        shown = (fields.get(b"host", b""), fields.get(b"x-tenant-id", b""), self._key)
        if shown != self._proved or hosted.epoch != self._proved_in:
            if not hosted.mine(self.listener, *shown):
                self._keep_alive = False
                raise BadRequest(404, "not this tenant's")
            self._proved = shown
            self._proved_in = hosted.epoch
        super().on_headers_complete()

    def _start_request(self, incoming: IncomingRequest) -> None:
        hosted = self._hosted
        self._cls = ""
        if not incoming.is_probe:
            if not self._revalidate_head(incoming):
                return
            self._cls = hosted.class_names.get(incoming.class_number, "")
            hosted.report.asked(self._cls)
            refusal = hosted.refusal()
            if refusal is not None:
                status, wait, why = refusal
                hosted.node.budget.release(incoming.reserved_bytes)
                self._keep_alive = incoming.keep_alive and status == 429
                hosted.report.refused(self._cls, why)
                super().send_empty_response(status, wait)
                return
        super()._start_request(incoming)

    # ---- what it got --------------------------------------------------------------------

    def send_response(self, content_type: bytes, chunks: list[Block], size: int) -> None:
        request = self._request
        if request is not None:
            self._hosted.report.served(self._cls, self._hosted.node.now - request.arrived_at)
        super().send_response(content_type, chunks, size)

    def begin_stream(self, content_type: bytes, length: int, source: StreamSource) -> None:
        request = self._request
        if request is not None:
            self._hosted.report.served(self._cls, self._hosted.node.now - request.arrived_at)
        super().begin_stream(content_type, length, source)

    def send_empty_response(self, status: int, retry_after: int) -> None:
        report = self._hosted.report
        if status == 503:
            node = self._hosted.node
            report.refused(
                self._cls,
                "open" if node.open_request_count >= node.config.max_open_requests else "busy",
            )
        else:
            report.failed(self._cls)
        super().send_empty_response(status, retry_after)

    def _reject(self, status: int, reason: object = "") -> None:
        self._hosted.report.turned_away(status)
        super()._reject(status, reason)


class TenantServer(Server):
    """The connections of one tenant; they come from a door instead of a listener."""

    def __init__(
        self, node: Node, uid: str, identify: Callable[[str, bytes, bytes, bytes], str | None]
    ) -> None:
        self.uid = uid
        self._identify = identify
        self.report = Report()
        self.status = ACTIVE
        self.epoch = 1  # grows where what its callers have shown must be looked at again
        self.class_names: dict[int, str] = {}
        self.used = 0  # nanoseconds spent on its callers in this window
        self.held = False  # not read from at present
        self.most = 0  # connections of callers
        self.bucket: Bucket | None = None
        super().__init__(node)

    def set_classes(self, classes: Any, numbers: Any) -> None:
        super().set_classes(classes, numbers)
        self.class_names = {number: name for name, number in numbers.items()}

    def mine(self, listener: str, host: bytes, name: bytes, key: bytes) -> bool:
        return self._identify(listener, host, name, key) == self.uid

    def refusal(self) -> tuple[int, int, str] | None:
        """Status, time to stay away and reason where a request must not come in."""
        if self.status != ACTIVE:
            return 503, AWAY, self.status
        assert self.bucket is not None
        wait = self.bucket.take(time.monotonic_ns())
        return (429, wait, "rate") if wait else None

    def adopt(self, sock: socket.socket, listener: str, first: bytes) -> None:
        """Take over a connection and what was read from it."""
        full = self.node.client_count >= self.most or not self.node.has_room_for_client()
        if full and not self.evict():
            self.report.turned_away(503)
            with_answer(self.node.loop, sock, FULL)
            return
        sock.setblocking(False)
        self.node.client_count += 1
        self._attach_transport(sock, TenantConnection(self, sock, listener, first))

    def hold(self, held: bool) -> None:
        """Read nothing from its callers for now, or go on."""
        if held == self.held:
            return
        self.held = held
        for conn in list(self.connections):
            if isinstance(conn, TenantConnection):
                if held:
                    conn.pause()
                else:
                    conn.go_on()


def with_answer(loop: asyncio.AbstractEventLoop, sock: socket.socket, answer: bytes) -> None:
    """Answer a connection that nobody takes. It is closed a moment later: closed on
    unread bytes it would be reset, and the reset could reach the caller before the answer."""
    try:
        sock.setblocking(False)
        sock.send(answer)
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        sock.close()
        return
    loop.call_later(CLOSE_AFTER_S, sock.close)


class Hosted:
    """One tenant at work."""

    def __init__(
        self,
        view: dict[str, Any],
        loop: asyncio.AbstractEventLoop,
        identify: Callable[[str, bytes, bytes, bytes], str | None],
    ) -> None:
        self.uid: str = view["uid"]
        self.version: int = view["version"]
        self.settings: TenantSettings = read(view["document"])
        self.rev = 1
        self.node = HttpNode(shape.config(self.uid, self.settings), loop)
        self.node.budget.set_limit(self.settings.limits.held_bytes)
        self.server = TenantServer(self.node, self.uid, identify)
        limits = self.settings.limits
        self.server.bucket = Bucket(time.monotonic_ns(), limits.rate_per_s, limits.burst)
        self.server.status = view["status"]
        self.server.most = limits.connections
        self.node.start()
        self.node.discovery.apply_list(shape.members(self.settings, view["since"], self.rev))

    def change(self, view: dict[str, Any]) -> None:
        """Go on under another version; what is under way ends by the stricter rules."""
        if view["version"] == self.version:
            self.server.epoch += 1  # its keys
            return
        self.version = view["version"]
        node, server = self.node, self.server
        new = read(view["document"])
        old, self.settings = self.settings, new
        config = shape.config(self.uid, new)
        node.config = config
        node.max_connections = node.compute_max_connections()
        node.budget.set_limit(new.limits.held_bytes)
        server.most = new.limits.connections
        if new.limits != old.limits:
            assert server.bucket is not None
            server.bucket.change(time.monotonic_ns(), new.limits.rate_per_s, new.limits.burst)
        server.set_classes(config.settings.classes, node.update_settings(config.settings))
        if new.servers != old.servers:
            self.rev += 1
            node.discovery.backend_list.add_zones(shape.zones(new))
            node.discovery.apply_list(shape.members(new, view["since"], self.rev))
        self.set_status(view["status"])
        server.epoch += 1

    def set_status(self, status: str) -> None:
        """Suspended or deleted: what waits is answered at once. Draining: it is served yet.

        Connections stay: their next request is told. Closed by us, one at rest could cross a
        request that is on its way.
        """
        server, node = self.server, self.node
        before, server.status = server.status, status
        if status in (before, ACTIVE):
            return
        server.epoch += 1
        if status != DRAINING:
            shape.refuse_waiting(node)

    def delete(self) -> None:
        self.set_status(DELETED)
        self.server.stopping = True  # each answer closes its connection

    def stop(self) -> None:
        self.server.stopping = True

    def idle(self) -> bool:
        """Whether nothing would be lost with it: no caller, no request, nothing out."""
        return not (self.node.requests or self.server.connections or self.server._accept_tasks)

    def finished(self) -> bool:
        return self.server.try_finish() and not self.node.requests

    def end(self) -> None:
        """Answer what is left, and let go of everything."""
        self.node.fail_all()
        for conn in list(self.server.connections):
            conn.close()
        while self.node.upstream.close_oldest_idle():
            pass
        self.node.discovery.close()
        if self.node.loop_timer is not None:
            self.node.loop_timer.cancel()
        self.node.timers.clear()

    def sweep(self) -> None:
        self.server.sweep()
        self.node.sweep()
