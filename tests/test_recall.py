"""What a node recalls of its servers after a restart, and what it must not believe."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from flinthatch import Balancer, Listing, RequestClass, Settings, State, Update
from flinthatch.balancer import MAX_CONCURRENCY_LIMIT, TIMER_WAKE
from flinthatch.learned_state import (
    MAX_HEALTH_AGE_NS,
    MAX_LATENCY_AGE_NS,
    MIN_EJECTION_NS,
    export_learned_state,
    restore_learned_state,
)
from tansywood.service.node import KEY
from tansywood.store import Store
from windrelay.discovery import backend_id

from .fakes import MS, SECOND, UNSAFE, RecordingHost, build_balancer, ready_listings
from .harness import HANG_TIMEOUT_S, ROOT, Peer, answer, config, listen, request, roster, target

WALL = 1_700_000_000 * SECOND  # of the first process's clock at 0
LATER = 50 * SECOND  # of the second's: its own clock began elsewhere


def learnt(count: int = 6, down: int = 1) -> Balancer:
    """A module that has left some servers alone."""
    balancer, _ = build_balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND), count=count)
    for backend in list(balancer.backends.values())[:down]:
        backend.consecutive_failures = 4
        backend.ejection_backoff = 4 * SECOND
        balancer.eject(10 * SECOND, backend, "test")
    return balancer


def fresh(count: int = 6, boots: dict[int, int] | None = None) -> tuple[Balancer, RecordingHost]:
    host = RecordingHost()
    balancer = Balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND), 2, host)
    balancer.start(LATER)
    listed = [r._replace(boot=(boots or {}).get(r.backend, 0)) for r in ready_listings(count)]
    balancer.on_backend_list(LATER, Update.CACHED, listed)
    return balancer, host


def recalled(saved: Balancer, balancer: Balancer, age: int = SECOND) -> object:
    record = json.loads(json.dumps(export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)))
    return restore_learned_state(balancer, LATER, WALL + 10 * SECOND + age, record)


def test_a_server_ejected_stays_so_for_the_rest_of_its_time() -> None:
    saved = learnt()
    balancer, host = fresh()
    done = recalled(saved, balancer)
    b = balancer.backends[100]
    assert done.ejected == 1 and balancer.ejected_count == 1  # type: ignore[attr-defined]
    assert (
        b.ejected_until == LATER + 3 * SECOND
        and b.consecutive_failures == 4
        and b.ejection_backoff == 8 * SECOND
    )
    for i in range(12):
        balancer.on_request(LATER, i, 0, SECOND)
    assert 100 not in [c[2] for c in host.calls_named("send")]
    balancer.on_timer(LATER + 3 * SECOND, TIMER_WAKE)
    assert b.half_open and not b.ejected_until


def test_one_whose_time_has_passed_comes_back_by_a_trial() -> None:
    saved = learnt()
    balancer, _ = fresh()
    recalled(saved, balancer, age=20 * SECOND)
    assert balancer.backends[100].ejected_until == LATER + MIN_EJECTION_NS


def test_no_more_are_ejected_than_the_module_allows() -> None:
    saved = learnt(count=6, down=3)
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    for row in record["backends"].values():
        row["down"] = 5 * SECOND
    balancer, _ = fresh()
    done = restore_learned_state(balancer, LATER, WALL + 11 * SECOND, record)
    assert done.ejected == balancer.ejected_count == 3


def test_a_server_that_started_since_is_cold_whatever_was_saved() -> None:
    """And one of a new id at an old address has no record at all."""
    saved = learnt()
    saved.backends[100].latency_ratio = 3.0
    clock = WALL + 11 * SECOND - LATER
    boot = WALL + 10 * SECOND - clock  # a second ago
    balancer, _ = fresh(boots={100: boot})
    recalled(saved, balancer)
    b = balancer.backends[100]
    assert (
        not b.ejected_until and b.latency_ratio == 1.0 and b.slow_start_until == boot + 8 * SECOND
    )
    balancer.on_backend_list(LATER, Update.DELTA, [Listing(999, State.READY, boot=boot)])
    assert balancer.backends[999].slow_start_until == boot + 8 * SECOND


def test_the_same_start_is_the_same_in_the_next_process() -> None:
    """Starts are told by the wall clock and held by a clock that began elsewhere."""
    saved, _ = build_balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND))
    wall_boot = WALL + 6 * SECOND
    saved.on_backend_list(9 * SECOND, Update.FULL, [Listing(100, State.READY, boot=6 * SECOND)])
    saved.backends[100].latency_ratio = 3.0
    balancer, _ = fresh(boots={100: wall_boot - (WALL + 11 * SECOND - LATER)})
    recalled(saved, balancer)
    assert balancer.backends[100].latency_ratio == 3.0
    # Warm at 14 s of the first clock, and no sooner for being remembered.
    assert balancer.backends[100].slow_start_until == LATER + 3 * SECOND


def test_a_record_never_makes_a_cold_server_warm() -> None:
    saved = learnt(down=0)
    clock = WALL + 11 * SECOND - LATER
    boot = WALL + 10 * SECOND - clock
    balancer, _ = fresh(boots={100: boot})
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    record["backends"]["100"] |= {"boot": boot + clock, "cold": -(10**18), "lat": 0.2}
    restore_learned_state(balancer, LATER, WALL + 11 * SECOND, record)
    assert balancer.backends[100].slow_start_until == boot + 8 * SECOND


def test_a_shorter_saved_time_does_not_end_a_cold_one_sooner() -> None:
    saved = learnt(down=0)
    clock = WALL + 11 * SECOND - LATER
    boot = WALL + 10 * SECOND - clock
    balancer, _ = fresh(boots={100: boot})
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    record["backends"]["100"] |= {"boot": boot + clock, "cold": 2 * SECOND}
    restore_learned_state(balancer, LATER, WALL + 11 * SECOND, record)
    assert balancer.backends[100].slow_start_until == boot + 8 * SECOND


@pytest.mark.parametrize(
    ("age", "says"),
    [
        (-SECOND, "set back"),
        (MAX_HEALTH_AGE_NS + SECOND, "health is"),
        (MAX_LATENCY_AGE_NS + SECOND, "s old"),
    ],
)
def test_what_is_too_old_or_from_the_future_is_not_believed(age: int, says: str) -> None:
    saved = learnt()
    balancer, _ = fresh()
    before = balancer.concurrency_limit
    done = recalled(saved, balancer, age)
    assert says in done.why and not balancer.ejected_count  # type: ignore[attr-defined]
    assert balancer.concurrency_limit == before


@pytest.mark.parametrize(
    "record",
    [
        None,
        [],
        {},
        {"format": 2, "saved": WALL},
        {"format": 1, "saved": "yesterday"},
        {"format": 1, "saved": float("nan")},
    ],
    ids=str,
)
def test_a_record_of_another_format_is_not_believed(record: object) -> None:
    balancer, _ = fresh()
    assert restore_learned_state(balancer, LATER, WALL, record).reason
    assert not balancer.ejected_count


def test_a_record_full_of_nonsense_changes_nothing_beyond_the_modules_bounds() -> None:
    balancer, _ = fresh()
    nonsense = {
        "lat": 1e300,
        "down": 1e300,
        "boot": 0,
        "backoff": "x",
        "strikes": -5,
        "cold": 1e300,
    }
    record = {
        "format": 1,
        "saved": WALL,
        "level": 1e300,
        "classes": {"unsafe": {"lat": -1, "base": []}, "other": 7},
        "backends": {"100": nonsense, "101": 5, "abc": {}},
    }
    restore_learned_state(balancer, LATER, WALL, record)
    b = balancer.backends[100]
    assert (
        balancer.concurrency_limit <= MAX_CONCURRENCY_LIMIT
        and b.latency_ratio <= 10
        and b.consecutive_failures >= 0
    )
    assert b.ejected_until <= LATER + 8 * SECOND and b.slow_start_until <= LATER + 8 * SECOND


def test_latencies_of_classes_are_recalled_and_still_learnt() -> None:
    classes = (RequestClass("quick", 200 * MS, SECOND),)
    saved, _ = build_balancer(Settings(classes=classes))
    (
        saved.classes[0].mean_latency,
        saved.classes[0].baseline_latency,
        saved.classes[0].latency_count,
    ) = 20e6, 15e6, 100.0
    balancer, _ = build_balancer(Settings(classes=classes))
    record = export_learned_state(saved, SECOND, WALL)
    assert restore_learned_state(balancer, SECOND, WALL + MS, record).latencies == 1
    assert (balancer.classes[0].mean_latency, balancer.classes[0].baseline_latency) == (20e6, 15e6)
    balancer.on_request(2 * SECOND, 1, 0, SECOND)
    balancer.on_outcome(2 * SECOND + 60 * MS, 1, 0, 1, 60 * MS, True)
    assert 20e6 < balancer.classes[0].mean_latency < 60e6


# ---- on loopback: a node killed and started again, one server dead ------------------


@contextmanager
def node(
    folder: Path, known: dict[str, object], store: Path, killed: bool = False
) -> Iterator[tuple[int, Path]]:
    """A node that remembers, and its log; told to stop at the end, or killed outright."""
    log = folder / f"log-{time.monotonic_ns()}"
    with log.open("wb") as file:
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "tansywood", "node", str(store)],
            cwd=ROOT,
            env=os.environ | config(folder, known, 1),
            stderr=file,
        )
    try:
        end = time.monotonic() + HANG_TIMEOUT_S
        while "listening on" not in log.read_text():
            assert process.poll() is None and time.monotonic() < end, log.read_text()
            time.sleep(0.01)
        yield int(log.read_text().split("listening on")[1].split()[0].rsplit(":", 1)[1]), log
    finally:
        process.send_signal(signal.SIGKILL if killed else signal.SIGTERM)
        assert process.wait(HANG_TIMEOUT_S) == (-signal.SIGKILL if killed else 0)


def ask(port: int, count: int) -> int:
    served = 0
    peer = Peer(socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S))
    for _ in range(count):
        peer.send(request("/balance/1", timeout=1500))
        served += peer.message()[0].split(" ")[1] == "200"
    peer.close()
    return served


class Server:
    """Answers at once, or (dead) takes connections, counts them and resets each."""

    def __init__(self, dead: bool) -> None:
        self.dead = dead
        self.taken = 0
        self.sock = listen()
        self.port = int(self.sock.getsockname()[1])
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                peer = Peer(self.sock.accept()[0])
                self.taken += 1
                if self.dead:
                    peer.reset()
                else:
                    threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: Peer) -> None:
        with suppress(EOFError, OSError):
            while True:
                peer.message()
                peer.send(answer(b"served"))


@pytest.mark.parametrize("killed", [False, True], ids=["stopped", "killed"])
def test_a_node_started_again_sends_nothing_to_the_server_it_had_ejected(
    tmp_path: Path, killed: bool
) -> None:
    """And one without the record does."""
    dead, sound = Server(dead=True), [Server(dead=False) for _ in range(3)]
    known = roster(*(target(f"s-{i}", s.port) for i, s in enumerate([dead, *sound])))
    with node(tmp_path, known, tmp_path / "store", killed) as (port, log):
        end = time.monotonic() + HANG_TIMEOUT_S
        while " out: " not in log.read_text():
            ask(port, 10)
            assert time.monotonic() < end
        if killed:  # not before what is known by now has been saved
            saved = tmp_path / "store" / "00000001.log"
            size = saved.stat().st_size
            while saved.stat().st_size == size:
                time.sleep(0.02)
                assert time.monotonic() < end
    # As after several failures, so that a slow machine's restart does not outlast it.
    with Store.open(tmp_path / "store") as store:
        record = json.loads(store.get(KEY) or b"{}")
        row = record["backends"][str(backend_id("s-0"))]
        assert row["down"] > 0 or row["trial"] or row["strikes"]
        row["down"] = 8 * SECOND
        store.put(KEY, json.dumps(record).encode())
    with node(tmp_path, known, tmp_path / "store") as (port, log):
        before = dead.taken
        assert "recalled 1 servers ejected" in log.read_text()
        assert ask(port, 20) == 20
        assert dead.taken == before
    with node(tmp_path, known, tmp_path / "another") as (port, _):
        ask(port, 20)
        assert dead.taken > before


def test_a_node_whose_store_is_in_use_says_so_and_ends(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s"):
        done = subprocess.run(
            [sys.executable, "-m", "tansywood", "node", str(tmp_path / "s")],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
    assert done.returncode == 2 and "one writer at a time" in done.stderr
