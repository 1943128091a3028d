"""One tenant in one loop, where a test can force the order of what happens."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from standins.platform import answer, request
from tansywood.service import part
from tansywood.service.tenant import UNKNOWN, Hosted, TenantConnection
from tansywood.service.worker import Worker, keys_of, known_of
from tansywood.tenancy.identity import Directory, Key, Shown, digest, token
from tansywood.tenancy.settings import ACTIVE, DRAINING, SUSPENDED

from ..harness import HANG_TIMEOUT_S
from ..tenancy.documents import document

TOKEN = token("k" * 12, "s" * 43)
WORK_S = 0.02


class Server:
    """Answers each request when it is let go on; counts what it was sent."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.seen: list[bytes] = []
        self.go = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            task = asyncio.create_task(self.serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(sock, 65536):
                self.seen.append(data)
                await self.go.wait()
                await loop.sock_sendall(sock, answer(b"ok"))
        except OSError:
            pass
        finally:
            sock.close()


class Inside:
    """A tenant over one server; callers are handed to it as a door would."""

    def __init__(self) -> None:
        self.loop = uvloop.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.directory = Directory()
        self.server = Server()
        self.view: dict[str, Any] = {}
        self.document = document(
            servers=[{"name": "s-0", "address": f"127.0.0.1:{self.server.port}", "started_ms": 1}],
            limits={"rate_per_s": 1000, "connections": 6},
        )
        self.set_view()
        self.hosted = Hosted(self.view, self.loop, self.identify)
        self.task = self.loop.create_task(self.server.run())

    def set_view(self, status: str = ACTIVE, **over: Any) -> None:
        self.document = self.document | over
        key = Key("k" * 12, digest(TOKEN), "caller", "uid")
        self.view = {
            "uid": "uid",
            "status": status,
            "version": self.view.get("version", 0) + 1,
            "document": self.document,
            "since": {},
            "keys": [key.record()],
        }
        self.directory.set(known_of(self.view), keys_of(self.view))

    def change(self, status: str = ACTIVE, **over: Any) -> None:
        self.set_view(status, **over)
        self.hosted.change(self.view)

    def identify(self, listener: str, host: bytes, name: bytes, key: bytes) -> str | None:
        words = (w.decode("latin-1") for w in (host, name, key))
        return self.directory.identify(Shown(listener, *words), 0)

    def hand(self, first: bytes) -> socket.socket:
        """A caller whose first bytes a door has read."""
        ours, theirs = socket.socketpair()
        # The node looks at TCP's own state: a real connection.
        ours.close()
        theirs.close()
        listener = socket.create_server(("127.0.0.1", 0))
        ours = socket.create_connection(listener.getsockname())
        theirs, _ = listener.accept()
        listener.close()
        ours.setblocking(False)
        self.hosted.server.adopt(theirs, "public", first)
        return ours

    async def read(self, sock: socket.socket) -> bytes:
        return await self.loop.sock_recv(sock, 65536)

    async def until(self, condition: Any) -> None:
        while not condition():
            await asyncio.sleep(0.001)

    def run(self, main: Any) -> Any:
        return self.loop.run_until_complete(asyncio.wait_for(main, HANG_TIMEOUT_S))


def ask(path: str = "/balance/1", body: bytes | None = None) -> bytes:
    return request(path, body, X_Tenant_Id="", X_Tenant_Key=TOKEN)


@contextlib.contextmanager
def inside() -> Iterator[Inside]:
    uvloop.new_event_loop().close()
    before = len(os.listdir("/proc/self/fd"))
    one = Inside()
    try:
        yield one
        one.server.go.set()

        async def stop() -> None:
            await one.until(lambda: not one.hosted.node.requests)
            one.hosted.end()
            await one.until(
                lambda: not one.hosted.node.client_count
                and not one.hosted.node.upstream.descriptor_count
            )
            one.task.cancel()
            for task in list(one.server.tasks):
                task.cancel()
            one.server.sock.close()
            await asyncio.sleep(0.01)

        one.run(stop())
        assert not one.hosted.node.unexpected_error_count
    finally:
        one.loop.close()
        asyncio.set_event_loop(None)
    assert len(os.listdir("/proc/self/fd")) == before


def test_a_connection_that_is_handed_over_is_served_from_its_first_bytes() -> None:
    with inside() as one:

        async def main() -> None:
            one.server.go.set()
            whole = ask("/credit/1", b"x" * 100)
            for cut in (len(whole), len(whole) - 50):
                sock = one.hand(whole[:cut].replace(b"r-", b"r%d-" % cut))
                await one.loop.sock_sendall(sock, whole[cut:])
                assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
                sock.close()

        one.run(main())
        report = one.hosted.server.report.record()["classes"]["credit"]
        assert (report["asked"], report["served"]) == (2, 2)


def test_a_body_that_ends_under_other_classes_is_read_by_them() -> None:
    """Its head was read under numbers that mean another class by now."""
    with inside() as one:
        balance, credit = one.document["classes"]

        async def main() -> None:
            one.server.go.set()
            whole = ask("/credit/1", b"x" * 100)
            slow = one.hand(whole[:-50])
            gone = one.hand(ask("/credit/2", b"y" * 100)[:-50])
            await one.until(lambda: len(one.hosted.server.connections) == 2)
            # Taken out and put in again behind another: the old number is nobody's.
            one.change(classes=[balance])
            one.change(classes=[balance, dict(balance, name="other"), credit])
            await one.loop.sock_sendall(slow, whole[-50:])
            assert (await one.read(slow)).startswith(b"HTTP/1.1 200 ")
            served = one.hosted.server.report.record()["classes"]
            assert served["credit"]["served"] == 1 and "other" not in served
            # And one whose class is none any more is told so, and was never sent.
            one.change(classes=[balance])
            await one.loop.sock_sendall(gone, whole[-50:])
            assert (await one.read(gone)).startswith(b"HTTP/1.1 404 ")
            assert len(one.server.seen) == 1
            slow.close()
            gone.close()

        one.run(main())


def test_what_waits_is_answered_at_once_when_a_tenant_is_suspended_and_what_is_out_is_served() -> (
    None
):
    with inside() as one:

        async def main() -> None:
            socks = [one.hand(ask("/credit/1", b"x")) for _ in range(6)]
            balancer = one.hosted.node.balancer
            await one.until(lambda: len(one.server.seen) == balancer.total_slots)
            out = balancer.total_slots
            waiting = balancer.waiting
            assert 0 < waiting == 6 - out
            one.change(SUSPENDED)
            got = [await one.read(sock) for sock in socks[out:]]
            assert all(g.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in g for g in got)
            one.server.go.set()
            got = [await one.read(sock) for sock in socks[:out]]
            assert all(g.startswith(b"HTTP/1.1 200 ") for g in got)
            row = one.hosted.server.report.record()["classes"]["credit"]
            assert row["refused"] == {"busy": waiting} and row["served"] == out
            assert len(one.server.seen) == out
            for sock in socks:
                sock.close()

        one.run(main())


def test_a_draining_tenant_serves_what_waits_and_refuses_what_comes() -> None:
    with inside() as one:

        async def main() -> None:
            socks = [one.hand(ask("/credit/1", b"x")) for _ in range(5)]
            balancer = one.hosted.node.balancer
            await one.until(
                lambda: len(one.server.seen) == balancer.total_slots and balancer.waiting
            )
            one.change(DRAINING)
            one.server.go.set()
            for sock in socks:
                assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            await one.loop.sock_sendall(socks[0], ask())
            assert (await one.read(socks[0])).startswith(b"HTTP/1.1 503 ")
            for sock in socks:
                sock.close()

        one.run(main())


def test_a_tenant_over_its_connections_refuses_the_next_and_keeps_those_it_has() -> None:
    with inside() as one:

        async def main() -> None:
            socks = [one.hand(ask("/credit/1", b"x")) for _ in range(6)]
            await one.until(lambda: len(one.server.seen) == one.hosted.node.balancer.total_slots)
            last = one.hand(ask("/credit/1", b"x"))
            assert (await one.read(last)).startswith(b"HTTP/1.1 503 ")
            assert await one.read(last) == b""
            one.server.go.set()
            for sock in socks:
                assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            # At rest they give way.
            more = one.hand(ask())
            assert (await one.read(more)).startswith(b"HTTP/1.1 200 ")
            for sock in (*socks, last, more):
                sock.close()
            await asyncio.sleep(1.05)  # the last word's descriptor

        one.run(main())


def test_more_open_than_the_tenant_may_have_is_told_as_that() -> None:
    with inside() as one:

        async def main() -> None:
            one.change(limits={"rate_per_s": 1000, "connections": 6, "open": 2})
            socks = [one.hand(ask("/credit/1", b"x")) for _ in range(3)]
            assert (await one.read(socks[2])).startswith(b"HTTP/1.1 503 ")
            one.server.go.set()
            for sock in socks[:2]:
                assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            for sock in socks:
                sock.close()

        one.run(main())
        report = one.hosted.server.report.record()["classes"]
        assert report["credit"]["refused"] == {"open": 1}


def test_a_rate_is_refused_at_once_and_says_when_to_come_back() -> None:
    with inside() as one:

        async def main() -> None:
            one.server.go.set()
            one.change(limits={"rate_per_s": 0.5, "burst": 1})
            sock = one.hand(ask())
            first = await one.read(sock)
            assert first.startswith(b"HTTP/1.1 200 ")
            await one.loop.sock_sendall(sock, ask("/credit/1", b"x"))
            refused = await one.read(sock)
            assert refused.startswith(b"HTTP/1.1 429 ")
            assert 0 < float(refused.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]) <= 2
            assert len(one.server.seen) == 1
            sock.close()

        one.run(main())
        report = one.hosted.server.report.record()["classes"]
        assert report["credit"]["refused"] == {"rate": 1}


@pytest.mark.parametrize("first", [True, False])
def test_who_has_had_too_much_is_not_read_from_and_loses_nothing(first: bool) -> None:
    with inside() as one:

        async def main() -> None:
            one.server.go.set()
            if not first:
                sock = one.hand(ask())
                assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
                await asyncio.sleep(0.005)
            one.hosted.server.hold(True)
            seen = len(one.server.seen)
            if first:
                sock = one.hand(ask())
            else:
                await one.loop.sock_sendall(sock, ask())
            for _ in range(20):
                await asyncio.sleep(0.001)
            assert len(one.server.seen) == seen
            one.hosted.server.hold(False)
            assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            sock.close()

        one.run(main())


def test_whose_it_is_is_asked_again_once_anything_has_changed() -> None:
    with inside() as one:

        async def main() -> None:
            one.server.go.set()
            sock = one.hand(ask())
            assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            one.view["keys"] = []
            one.directory.set(known_of(one.view), [])
            one.hosted.change(one.view)  # the same version: a key alone
            await one.loop.sock_sendall(sock, ask())
            assert await one.read(sock) == UNKNOWN
            sock.close()

        one.run(main())


def test_a_head_that_shows_another_key_is_nobodys_even_on_a_proved_connection() -> None:
    with inside() as one:

        async def main() -> None:
            one.server.go.set()
            sock = one.hand(ask())
            assert (await one.read(sock)).startswith(b"HTTP/1.1 200 ")
            conn = next(iter(one.hosted.server.connections))
            assert isinstance(conn, TenantConnection)
            await one.loop.sock_sendall(sock, ask().replace(TOKEN.encode(), b"tw_x"))
            assert await one.read(sock) == UNKNOWN
            assert len(one.server.seen) == 1
            assert b"tw_" not in b"".join(one.server.seen)
            sock.close()

        one.run(main())


def test_a_tenants_log_and_limits_are_its_own() -> None:
    with inside() as one:
        node = one.hosted.node
        assert node.config.max_open_requests == 500 and node.budget.limit_bytes == 8 << 20
        one.change(limits={"open": 7, "connections": 3, "held_bytes": 70_000})
        assert node.config.max_open_requests == 7 and node.budget.limit_bytes == 70_000
        assert node.config.name == "cork"


def test_a_change_of_one_tenant_touches_none_of_the_others(tmp_path: Path) -> None:
    """Among three hundred, three of them at work."""

    async def main() -> None:
        worker = Worker(asyncio.get_running_loop(), part.Place(str(tmp_path)), "worker-0")
        views = {}
        for n in range(300):
            made = document(f"t-{n}")
            views[f"u-{n}"] = {
                "uid": f"u-{n}",
                "status": ACTIVE,
                "version": 1,
                "document": made,
                "since": {},
                "keys": [],
            }
        worker.follower._take_all(views)
        hosts = [worker.host(views[f"u-{n}"]) for n in range(3)]
        work = [h for h in hosts if isinstance(h, Hosted)]
        assert len(work) == 3
        before = [
            (h.server.epoch, h.server.classes_version, h.node.balancer.settings) for h in work
        ]
        new = views["u-0"] | {"version": 2, "document": document("t-0", title="x")}
        worker.follower._take("u-0", new)
        worker.follower._take("u-7", None)
        after = [(h.server.epoch, h.server.classes_version, h.node.balancer.settings) for h in work]
        assert after[0] != before[0] and after[1:] == before[1:]
        assert work[0].version == 2 and list(worker.hosted) == ["u-0", "u-1", "u-2"]
        assert len(worker.follower.views) == 299
        # One that can't be taken, as of a newer program, leaves what is in force as it is.
        worker.follower._take("u-1", views["u-1"] | {"version": 2, "document": {"name": "t-1"}})
        assert work[1].version == 1 and not work[1].node.unexpected_error_count
        for hosted in work:
            hosted.end()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_a_change_that_fails_halfway_is_taken_back_where_an_agent_feeds_the_worker(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def view(version: int, connections: int) -> dict[str, Any]:
        made = document("cork", limits={"connections": connections})
        shown = {"uid": "u", "status": ACTIVE, "since": {}, "keys": []}
        return shown | {"version": version, "document": made}

    async def main() -> None:
        worker = Worker(asyncio.get_running_loop(), part.Place(str(tmp_path)), "worker-0")
        worker.follower.partial = True
        worker.follower._take_all({"u": view(1, 10)})
        hosted = worker.host(view(1, 10))
        assert isinstance(hosted, Hosted)
        before = (hosted.settings, hosted.server.most, hosted.node.config.max_descriptors)

        def fail(_settings: object) -> None:
            monkeypatch.undo()
            raise ValueError("halfway")

        monkeypatch.setattr(hosted.node, "update_settings", fail)
        worker.follower._take("u", view(2, 20))
        assert (hosted.settings, hosted.server.most, hosted.node.config.max_descriptors) == before
        assert hosted.version == 1 and worker.follower.views["u"] == view(1, 10)
        worker.follower._take("u", view(3, 30))
        assert (hosted.version, hosted.server.most) == (3, 30)
        hosted.end()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_a_tenant_that_took_a_busy_window_is_held_and_let_go_again(tmp_path: Path) -> None:
    async def main() -> None:
        worker = Worker(asyncio.get_running_loop(), part.Place(str(tmp_path)), "worker-0")
        for name in ("flood", "quiet"):
            view = {"uid": name, "status": ACTIVE, "version": 1, "document": document(name)}
            worker.host(view | {"since": {}, "keys": []})
        flood, quiet = (worker.hosted[name].server for name in ("flood", "quiet"))
        flood.used, quiet.used = 19_000_000, 500_000
        worker.window()
        assert flood.held and not quiet.held and flood.used == 0
        worker.release("flood")
        assert not flood.held
        for hosted in worker.hosted.values():
            hosted.end()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


def test_a_worker_that_stops_waits_for_what_its_door_may_have_handed_over(tmp_path: Path) -> None:
    async def main() -> None:
        worker = Worker(asyncio.get_running_loop(), part.Place(str(tmp_path)), "worker-0")
        door, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        worker.doors.add(door)
        worker.stop()
        for _ in range(8):
            await asyncio.sleep(0.01)
        assert not worker.ended.done()
        worker.leave(door)
        other.close()
        assert await asyncio.wait_for(worker.ended, HANG_TIMEOUT_S) == 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
