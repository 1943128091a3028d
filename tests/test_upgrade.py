"""A new version beside the running one: nothing turned away, nothing forgotten, nothing over."""

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
from windrelay.handover import claim

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
from .test_calls import call


class Version:
    """One process of a node; several share a folder and an address."""

    def __init__(self, environ: dict[str, str]) -> None:
        self.process = launch(environ)
        assert self.process.stderr is not None
        self.port = self.mgmt = 0
        self.lines: list[str] = []
        while not self.mgmt:
            line = self.process.stderr.readline()
            self.lines.append(line)
            assert line, self.lines
            if "listening on" in line:
                self.port = int(line.rsplit(":", 1)[1])
            elif "calls at" in line:
                self.mgmt = int(line.rsplit(":", 1)[1])
        # Its log must not fill its pipe.
        threading.Thread(target=self._drain, daemon=True).start()

    def _drain(self) -> None:
        assert self.process.stderr is not None
        with contextlib.suppress(ValueError):
            self.lines += self.process.stderr

    def connect(self) -> Peer:
        return Peer(socket.create_connection(("127.0.0.1", self.port), HANG_TIMEOUT_S))

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


class Fleet:
    def __init__(self, tmp_path: Path, known: dict[str, object], **over: object) -> None:
        self.tmp_path = tmp_path
        self.known = known
        self.over = over
        self.versions: list[Version] = []
        with listen() as sock:  # the address is the same for all versions, as the platform's is
            self.port = int(sock.getsockname()[1])

    def start(self) -> Version:
        environ = config(
            self.tmp_path, self.known, 1, self.port, mgmt="127.0.0.1:0", **self.over
        ) | {"TMPDIR": str(self.tmp_path)}
        version = Version(environ)
        self.versions.append(version)
        return version


@contextlib.contextmanager
def fleet(tmp_path: Path, backends: int = 1, **over: object) -> Iterator[
    tuple[Fleet, list[socket.socket]]
]:  # fmt: skip
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(listen()) for _ in range(backends)]
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate(socks)))
        one = Fleet(tmp_path, known, **over)
        try:
            yield one, socks
        finally:
            for version in one.versions:
                version.process.kill()
                version.process.wait(HANG_TIMEOUT_S)


def ask(peer: Peer) -> str:
    peer.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    return peer.message()[0].split(" ")[1]


def test_no_connection_is_turned_away_while_versions_follow_one_another(tmp_path: Path) -> None:
    """Connections come all the time, and each gets an answer; with a listener each, what waits
    at the old one when it closes is reset."""
    with fleet(tmp_path) as (f, _):
        old = f.start()
        stop = threading.Event()
        bad: list[str] = []
        good = [0]

        def knock() -> None:
            while not stop.is_set():
                try:
                    with socket.create_connection(("127.0.0.1", f.port), HANG_TIMEOUT_S) as sock:
                        status = ask(Peer(sock))
                    if status == "200":
                        good[0] += 1
                except (OSError, EOFError) as err:
                    bad.append(repr(err))

        threads = [threading.Thread(target=knock) for _ in range(4)]
        for thread in threads:
            thread.start()
        for _ in range(3):
            new = f.start()
            assert call(new.mgmt, "readyz\n") == "done\n"
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


def test_nobody_waits_at_the_old_version_once_the_new_one_takes_clients(tmp_path: Path) -> None:
    """With a listener each, the kernel would deal half of these to a process that is stopped."""
    with fleet(tmp_path) as (f, _):
        old = f.start()
        new = f.start()
        assert call(new.mgmt, "readyz\n") == "done\n"
        old.process.send_signal(signal.SIGSTOP)
        for _ in range(20):
            assert ask(new.connect()) == "200"


def test_a_request_that_the_old_version_holds_is_answered_by_it(tmp_path: Path) -> None:
    with fleet(tmp_path) as (f, socks):
        old = f.start()
        client = old.connect()
        client.send(request("/credit/1", b"x", timeout=3000))
        peer = accept(socks[0])
        peer.message()
        f.start()
        old.process.send_signal(signal.SIGTERM)
        late = Peer(socket.create_connection(("127.0.0.1", f.port), HANG_TIMEOUT_S))
        assert ask(late) == "200"  # the new one's answer
        peer.send(answer(b"held"))
        line, headers, body = client.message()
        assert line.endswith("200 OK") and body == b"held" and headers["connection"] == "close"
        assert old.process.wait(HANG_TIMEOUT_S) == 0


def test_bans_and_an_evacuation_hold_over_upgrades_until_they_are_called_back(
    tmp_path: Path,
) -> None:
    with fleet(tmp_path, backends=2) as (f, socks):
        first = f.start()
        assert call(first.mgmt, "exclude s-0\n") == "done\n"
        assert call(first.mgmt, "evacuate\n") == "done\n"
        second = f.start()
        first.process.send_signal(signal.SIGTERM)
        assert first.process.wait(HANG_TIMEOUT_S) == 0
        third = f.start()
        second.process.send_signal(signal.SIGTERM)
        assert second.process.wait(HANG_TIMEOUT_S) == 0
        assert call(third.mgmt, "readyz\n") == "done\n"
        assert ask(third.connect()) == "503"
        assert call(third.mgmt, "activate\n") == "done\n"
        client = third.connect()
        peer = None
        for _ in range(4):
            client.send(request())
            peer = peer or accept(socks[1])
            peer.message()
            peer.send(answer(b"x"))
            client.message()
        assert call(third.mgmt, "include s-0\n") == "done\n"
        assert call(third.mgmt, "exclude s-1\n") == "done\n"
        client.send(request())
        back = accept(socks[0])
        back.message()
        back.send(answer(b"back"))
        assert client.message()[2] == b"back"


def test_a_call_at_either_of_two_processes_reaches_both(tmp_path: Path) -> None:
    """The old one still sends what it holds: a ban told to the new one binds it too."""
    with fleet(tmp_path, backends=2) as (f, socks):
        old = f.start()
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
        assert ask(old_ready[0]) == "200"
        new = f.start()
        assert call(new.mgmt, f"exclude s-{i}\n") == "done\n"
        # Passed on in order: once what came behind it shows, the ban is in force.
        assert call(new.mgmt, "evacuate\n") == "done\n"
        while ask(kept_ready := old_ready.pop()) != "503":
            old_ready.append(kept_ready)
        assert call(new.mgmt, "activate\n") == "done\n"
        peers[i].send(answer(b"x"))
        kept.message()
        assert peers[i].read_to_end() == b""  # the old one keeps nothing there
        assert call(old.mgmt, f"include s-{i}\n") == "done\n"
        assert call(new.mgmt, f"exclude s-{1 - i}\n") == "done\n"
        client = new.connect()
        client.send(request())
        socks[i].settimeout(HANG_TIMEOUT_S)
        back = accept(socks[i])
        back.message()


def test_where_the_new_version_ends_the_old_one_takes_clients_again(tmp_path: Path) -> None:
    with fleet(tmp_path) as (f, _):
        old = f.start()
        broken = f.start()
        assert ask(broken.connect()) == "200"
        broken.process.kill()
        broken.process.wait(HANG_TIMEOUT_S)
        assert ask(old.connect()) == "200"
        third = f.start()  # and the old one hands over again
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(HANG_TIMEOUT_S) == 0
        assert ask(third.connect()) == "200"


def test_a_running_process_that_hangs_is_done_without(tmp_path: Path) -> None:
    with fleet(tmp_path) as (f, _):
        old = f.start()
        old.process.send_signal(signal.SIGSTOP)
        new = f.start()
        assert any("nothing taken over" in line for line in new.lines)
        old.process.kill()
        old.process.wait(
            HANG_TIMEOUT_S
        )  # what the kernel dealt to it is reset: nothing else could be done
        assert ask(new.connect()) == "200"


def test_both_processes_together_stay_within_the_descriptors(tmp_path: Path) -> None:
    with fleet(tmp_path, limits={"sockets": 160}) as (f, _):
        old = f.start()
        crowd = [old.connect() for _ in range(90)]
        for client in crowd:
            client.send(request()[:20])
        while old.descriptors() < 70:
            time.sleep(0.01)
        new = f.start()
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
def test_what_can_t_be_read_is_not_taken_over(tmp_path: Path, handed: bytes) -> None:
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
        assert claim(str(path), Address("127.0.0.1", 0), logged.append) is None
        thread.join()
        assert logged and len(os.listdir("/proc/self/fd")) == before


def test_a_list_handed_over_is_the_same_list(tmp_path: Path) -> None:
    from windrelay.config import load

    environ = config(tmp_path, roster(target("s-1", 8001, boot_ms=1_700_000_000_000)), 1)
    one, other = BackendList(load(environ)), BackendList(load(environ))
    raw = json.loads(Path(environ["PROXY_CONFIG"]).read_text())["known"]
    update, rows, endpoints, _ = one.parse(raw)
    one.apply(7, update, rows, endpoints)
    assert other.adopt(json.loads(json.dumps(one.export()))) == rows
    assert (other.revision, other.endpoints, other.seen) == (7, one.endpoints, one.seen)
    # The same start read again is the same number: another would look like a restart.
    assert other.parse(raw)[1] == rows
    with pytest.raises(ValueError):
        other.adopt({"zones": {"elsewhere": 0}})
    with pytest.raises(ValueError):
        other.adopt(None)


def test_a_folder_of_a_long_path_will_do(tmp_path: Path) -> None:
    folder = tmp_path / ("d" * 100) / ("e" * 100)
    folder.mkdir(parents=True)
    with fleet(folder) as (f, _):
        old = f.start()
        new = f.start()
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(HANG_TIMEOUT_S) == 0
        assert ask(new.connect()) == "200"
