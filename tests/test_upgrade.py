"""An upgrade: a new version started beside the running one loses no connection, no state and no
descriptor limit."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from windrelay.config import Address
from windrelay.discovery import BackendList
from windrelay.handover import receive_handover

from .harness import (
    HANG_TIMEOUT_S,
    Peer,
    accept,
    answer,
    config,
    launch,
    listen,
    request,
    roster,
    target,
)
from .test_calls import send_call


class NodeVersion:
    """One process of a node; several processes share a directory and an address."""

    def __init__(self, environ: dict[str, str]) -> None:
        self.process = launch(environ)
        assert self.process.stderr is not None
        self.port = self.management_port = 0
        self.log_lines: list[str] = []
        while not self.management_port:
            line = self.process.stderr.readline()
            self.log_lines.append(line)
            assert line, self.log_lines
            if "listening on" in line:
                self.port = int(line.rsplit(":", 1)[1])
            elif "calls at" in line:
                self.management_port = int(line.rsplit(":", 1)[1])
        # A full pipe would block the process's log.
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self) -> None:
        assert self.process.stderr is not None
        with contextlib.suppress(ValueError):
            self.log_lines += self.process.stderr

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), HANG_TIMEOUT_S))

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class NodeVersions:
    """Starts the processes of one node, one after the other, at the same address."""

    def __init__(self, tmp_path: Path, known: dict[str, object], **over: object) -> None:
        self.tmp_path = tmp_path
        self.known = known
        self.config_changes = over
        self.versions: list[NodeVersion] = []
        with listen() as sock:  # all versions have the same address, as on the platform
            self.port = int(sock.getsockname()[1])

    def start(self) -> NodeVersion:
        environ = config(
            self.tmp_path, self.known, 1, self.port, mgmt="127.0.0.1:0", **self.config_changes
        ) | {"TMPDIR": str(self.tmp_path)}
        version = NodeVersion(environ)
        self.versions.append(version)
        return version


@contextlib.contextmanager
def node_versions(tmp_path: Path, backends: int = 1, **over: object) -> Iterator[
    tuple[NodeVersions, list[socket.socket]]
]:  # fmt: skip
    """Yield the processes of one node and the listeners of its backends."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(listen()) for _ in range(backends)]
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(socks)))
        one = NodeVersions(tmp_path, known, **over)
        try:
            yield one, socks
        finally:
            for version in one.versions:
                version.process.kill()
                version.process.wait(HANG_TIMEOUT_S)


def readiness_status(peer: Peer) -> str:
    """Return the status of a readiness probe on this connection."""
    peer.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    return peer.message()[0].split(" ")[1]


def test_no_connection_is_refused_or_reset_during_upgrades(tmp_path: Path) -> None:
    """Connections arrive all the time and each gets an answer. With a listener for each process,
    connections that wait at the old one when it closes are reset."""
    with node_versions(tmp_path) as (versions, _):
        old = versions.start()
        stop = threading.Event()
        bad: list[str] = []
        good = [0]

        def probe_repeatedly() -> None:
            while not stop.is_set():
                try:
                    with socket.create_connection(
                        ("127.0.0.1", versions.port), HANG_TIMEOUT_S
                    ) as sock:
                        status = readiness_status(Peer(sock))
                    if status == "200":
                        good[0] += 1
                except (OSError, EOFError) as err:
                    bad.append(repr(err))

        threads = [threading.Thread(target=probe_repeatedly) for _ in range(4)]
        for thread in threads:
            thread.start()
        for _ in range(3):
            new = versions.start()
            assert send_call(new.management_port, "readyz\n") == "done\n"
            at = good[0]
            old.process.send_signal(signal.SIGTERM)
            assert old.process.wait(HANG_TIMEOUT_S) == 0
            while good[0] < at + 50 and not bad:
                time.sleep(0.01)
            old = new
        stop.set()
        for thread in threads:
            thread.join()
        assert not bad and good[0] > 150


def test_no_connection_waits_at_the_old_version_once_the_new_one_serves(tmp_path: Path) -> None:
    """With a listener for each process, half of these would go to a stopped process."""
    with node_versions(tmp_path) as (versions, _):
        old = versions.start()
        new = versions.start()
        assert send_call(new.management_port, "readyz\n") == "done\n"
        old.process.send_signal(signal.SIGSTOP)
        for _ in range(20):
            assert readiness_status(new.connect()) == "200"


def test_a_request_open_at_the_old_version_is_answered_by_it(tmp_path: Path) -> None:
    with node_versions(tmp_path) as (versions, socks):
        old = versions.start()
        client = old.connect()
        client.send(request("/credit/1", b"x", timeout=3000))
        peer = accept(socks[0])
        peer.message()
        versions.start()
        old.process.send_signal(signal.SIGTERM)
        late = Peer(socket.create_connection(("127.0.0.1", versions.port), HANG_TIMEOUT_S))
        assert readiness_status(late) == "200"  # the answer comes from the new process
        peer.send(answer(b"held"))
        line, headers, body = client.message()
        assert line.endswith("200 OK") and body == b"held" and headers["connection"] == "close"
        assert old.process.wait(HANG_TIMEOUT_S) == 0


def test_bans_and_an_evacuation_outlast_upgrades_until_they_are_lifted(
    tmp_path: Path,
) -> None:
    with node_versions(tmp_path, backends=2) as (versions, socks):
        first = versions.start()
        assert send_call(first.management_port, "exclude s-0\n") == "done\n"
        assert send_call(first.management_port, "evacuate\n") == "done\n"
        second = versions.start()
        first.process.send_signal(signal.SIGTERM)
        assert first.process.wait(HANG_TIMEOUT_S) == 0
        third = versions.start()
        second.process.send_signal(signal.SIGTERM)
        assert second.process.wait(HANG_TIMEOUT_S) == 0
        assert send_call(third.management_port, "readyz\n") == "done\n"
        assert readiness_status(third.connect()) == "503"
        assert send_call(third.management_port, "activate\n") == "done\n"
        client = third.connect()
        peer = None
        for _ in range(4):
            client.send(request())
            peer = peer or accept(socks[1])
            peer.message()
            peer.send(answer(b"x"))
            client.message()
        assert send_call(third.management_port, "include s-0\n") == "done\n"
        assert send_call(third.management_port, "exclude s-1\n") == "done\n"
        client.send(request())
        back = accept(socks[0])
        back.message()
        back.send(answer(b"back"))
        assert client.message()[2] == b"back"


def test_a_call_at_either_of_two_processes_reaches_both(tmp_path: Path) -> None:
    """The old process still sends its open requests: a ban called at the new one must apply there
    too."""
    with node_versions(tmp_path, backends=2) as (versions, socks):
        old = versions.start()
        kept = old.connect()
        kept.send(request())
        for sock in socks:
            sock.settimeout(0.2)
        peers: dict[int, Peer] = {}
        while not peers:
            for i, sock in enumerate(socks):
                with contextlib.suppress(TimeoutError):
                    peers[i] = accept(sock)
        (i,) = peers
        peers[i].message()
        old_ready = [old.connect()]
        assert readiness_status(old_ready[0]) == "200"
        new = versions.start()
        assert send_call(new.management_port, f"exclude s-{i}\n") == "done\n"
        # Calls are forwarded in order: once the later evacuation shows, the ban is in force.
        assert send_call(new.management_port, "evacuate\n") == "done\n"
        while readiness_status(kept_ready := old_ready.pop()) != "503":
            old_ready.append(kept_ready)
        assert send_call(new.management_port, "activate\n") == "done\n"
        peers[i].send(answer(b"x"))
        kept.message()
        # The old process closes its connection to the banned backend.
        assert peers[i].read_to_end() == b""
        assert send_call(old.management_port, f"include s-{i}\n") == "done\n"
        assert send_call(new.management_port, f"exclude s-{1 - i}\n") == "done\n"
        client = new.connect()
        client.send(request())
        socks[i].settimeout(HANG_TIMEOUT_S)
        back = accept(socks[i])
        back.message()


def test_where_the_new_version_ends_the_old_one_accepts_clients_again(tmp_path: Path) -> None:
    with node_versions(tmp_path) as (versions, _):
        old = versions.start()
        broken = versions.start()
        assert readiness_status(broken.connect()) == "200"
        broken.process.kill()
        broken.process.wait(HANG_TIMEOUT_S)
        assert readiness_status(old.connect()) == "200"
        third = versions.start()  # the old process hands over again
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(HANG_TIMEOUT_S) == 0
        assert readiness_status(third.connect()) == "200"


def test_a_new_version_starts_although_the_running_one_hangs(tmp_path: Path) -> None:
    with node_versions(tmp_path) as (versions, _):
        old = versions.start()
        old.process.send_signal(signal.SIGSTOP)
        new = versions.start()
        assert any("nothing taken over" in line for line in new.log_lines)
        old.process.kill()
        # Connections that the kernel gave to it are reset: nothing could prevent that.
        old.process.wait(HANG_TIMEOUT_S)
        assert readiness_status(new.connect()) == "200"


def test_both_processes_together_stay_within_the_descriptor_limit(tmp_path: Path) -> None:
    with node_versions(tmp_path, limits={"sockets": 160}) as (versions, _):
        old = versions.start()
        crowd = [old.connect() for _ in range(90)]
        for client in crowd:
            client.send(request()[:20])
        while old.descriptors() < 70:
            time.sleep(0.01)
        new = versions.start()
        more = [new.connect() for _ in range(150)]
        for client in more:
            with contextlib.suppress(OSError):
                client.send(request()[:20])
        for _ in range(50):
            assert old.descriptors() + new.descriptors() <= 160
            time.sleep(0.01)
        for client in crowd + more:
            client.close()


@pytest.mark.parametrize(
    "handed", [b"", b"{}\n", b"no json\n", b'{"format": 2}\n'], ids=["end", "empty", "noise", "new"]
)
def test_an_unreadable_state_is_not_adopted(tmp_path: Path, handed: bytes) -> None:
    path = tmp_path / "s"
    with socket.socket(socket.AF_UNIX) as server, listen() as listener:
        server.bind(str(path))
        server.listen()

        def serve() -> None:
            line, _ = server.accept()
            socket.send_fds(line, [b"L"], [listener.fileno()])
            line.sendall(handed)
            line.close()

        thread = threading.Thread(target=serve)
        thread.start()
        logged: list[str] = []
        before = len(os.listdir("/proc/self/fd"))
        assert receive_handover(str(path), Address("127.0.0.1", 0), logged.append) is None
        thread.join()
        assert logged and len(os.listdir("/proc/self/fd")) == before


def test_a_handed_over_list_equals_the_original(tmp_path: Path) -> None:
    from windrelay.config import load

    environ = config(tmp_path, roster(target("s-1", 8001, boot_ms=1_700_000_000_000)), 1)
    one, other = BackendList(load(environ)), BackendList(load(environ))
    raw = json.loads(Path(environ["PROXY_CONFIG"]).read_text())["known"]
    update, rows, endpoints, _ = one.parse(raw)
    one.apply(7, update, rows, endpoints)
    assert other.adopt(json.loads(json.dumps(one.export()))) == rows
    assert (other.revision, other.endpoints, other.remembered_ids) == (
        7,
        one.endpoints,
        one.remembered_ids,
    )
    # The same start time parsed again must give the same number: another would look like a restart.
    assert other.parse(raw)[1] == rows
    with pytest.raises(ValueError):
        other.adopt({"zones": {"elsewhere": 0}})
    with pytest.raises(ValueError):
        other.adopt(None)


def test_a_hand_over_works_in_a_directory_with_a_long_path(tmp_path: Path) -> None:
    folder = tmp_path / ("d" * 100) / ("e" * 100)
    folder.mkdir(parents=True)
    with node_versions(folder) as (versions, _):
        old = versions.start()
        new = versions.start()
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(HANG_TIMEOUT_S) == 0
        assert readiness_status(new.connect()) == "200"
