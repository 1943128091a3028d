"""What a node restores of its backends' health after a restart, and what it must ignore."""

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

WALL = 1_700_000_000 * SECOND  # Unix time at 0 of the first process's clock
RESTARTED_AT = 50 * SECOND  # on the second process's own clock, which has another zero


def balancer_with_ejections(count: int = 6, down: int = 1) -> Balancer:
    """A Balancer that ejected its first `down` backends at 10 s of its clock, for 4 s."""
    balancer, _ = build_balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND), count=count)
    for backend in list(balancer.backends.values())[:down]:
        backend.consecutive_failures = 4
        backend.ejection_backoff = 4 * SECOND
        balancer.eject(10 * SECOND, backend, "test")
    return balancer


def restarted_balancer(
    count: int = 6, boots: dict[int, int] | None = None
) -> tuple[Balancer, RecordingHost]:
    host = RecordingHost()
    balancer = Balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND), 2, host)
    balancer.start(RESTARTED_AT)
    listed = [r._replace(started_at=(boots or {}).get(r.backend, 0)) for r in ready_listings(count)]
    balancer.on_backend_list(RESTARTED_AT, Update.CACHED, listed)
    return balancer, host


def export_and_restore(saved: Balancer, balancer: Balancer, age: int = SECOND) -> object:
    record = json.loads(json.dumps(export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)))
    return restore_learned_state(balancer, RESTARTED_AT, WALL + 10 * SECOND + age, record)


def test_ejection_lasts_for_the_rest_of_its_time() -> None:
    saved = balancer_with_ejections()
    balancer, host = restarted_balancer()
    result = export_and_restore(saved, balancer)
    b = balancer.backends[100]
    assert result.ejected == 1 and balancer.ejected_count == 1  # type: ignore[attr-defined]
    assert (
        b.ejected_until == RESTARTED_AT + 3 * SECOND
        and b.consecutive_failures == 4
        and b.ejection_backoff == 8 * SECOND
    )
    for i in range(12):
        balancer.on_request(RESTARTED_AT, i, 0, SECOND)
    assert 100 not in [c[2] for c in host.calls_named("send")]
    balancer.on_timer(RESTARTED_AT + 3 * SECOND, TIMER_WAKE)
    assert b.half_open and not b.ejected_until


def test_backend_whose_ejection_has_expired_comes_back_half_open() -> None:
    saved = balancer_with_ejections()
    balancer, _ = restarted_balancer()
    export_and_restore(saved, balancer, age=20 * SECOND)
    assert balancer.backends[100].ejected_until == RESTARTED_AT + MIN_EJECTION_NS


def test_restore_ejects_at_most_half_of_the_backends() -> None:
    saved = balancer_with_ejections(count=6, down=3)
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    for row in record["backends"].values():
        row["down"] = 5 * SECOND
    balancer, _ = restarted_balancer()
    result = restore_learned_state(balancer, RESTARTED_AT, WALL + 11 * SECOND, record)
    assert result.ejected == balancer.ejected_count == 3


def test_backend_that_restarted_since_is_in_slow_start_whatever_was_saved() -> None:
    """A backend with a new id has no entry in the record and is in slow start too."""
    saved = balancer_with_ejections()
    saved.backends[100].latency_ratio = 3.0
    wall_offset = WALL + 11 * SECOND - RESTARTED_AT
    boot = WALL + 10 * SECOND - wall_offset  # a second ago
    balancer, _ = restarted_balancer(boots={100: boot})
    export_and_restore(saved, balancer)
    b = balancer.backends[100]
    assert (
        not b.ejected_until and b.latency_ratio == 1.0 and b.slow_start_until == boot + 8 * SECOND
    )
    balancer.on_backend_list(
        RESTARTED_AT, Update.DELTA, [Listing(999, State.READY, started_at=boot)]
    )
    assert balancer.backends[999].slow_start_until == boot + 8 * SECOND


def test_start_time_of_a_backend_matches_in_the_next_process() -> None:
    """Start times are listed by the wall clock and kept by the process's own monotonic clock."""
    saved, _ = build_balancer(Settings(classes=(UNSAFE,), slow_start=8 * SECOND))
    wall_boot = WALL + 6 * SECOND
    saved.on_backend_list(
        9 * SECOND, Update.FULL, [Listing(100, State.READY, started_at=6 * SECOND)]
    )
    saved.backends[100].latency_ratio = 3.0
    balancer, _ = restarted_balancer(boots={100: wall_boot - (WALL + 11 * SECOND - RESTARTED_AT)})
    export_and_restore(saved, balancer)
    assert balancer.backends[100].latency_ratio == 3.0
    # Its slow start ends at 14 s of the first process's clock, no sooner for being restored.
    assert balancer.backends[100].slow_start_until == RESTARTED_AT + 3 * SECOND


def test_negative_saved_slow_start_does_not_end_a_slow_start() -> None:
    saved = balancer_with_ejections(down=0)
    wall_offset = WALL + 11 * SECOND - RESTARTED_AT
    boot = WALL + 10 * SECOND - wall_offset
    balancer, _ = restarted_balancer(boots={100: boot})
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    record["backends"]["100"] |= {"boot": boot + wall_offset, "cold": -(10**18), "lat": 0.2}
    restore_learned_state(balancer, RESTARTED_AT, WALL + 11 * SECOND, record)
    assert balancer.backends[100].slow_start_until == boot + 8 * SECOND


def test_shorter_saved_slow_start_does_not_shorten_a_slow_start() -> None:
    saved = balancer_with_ejections(down=0)
    wall_offset = WALL + 11 * SECOND - RESTARTED_AT
    boot = WALL + 10 * SECOND - wall_offset
    balancer, _ = restarted_balancer(boots={100: boot})
    record = export_learned_state(saved, 10 * SECOND, WALL + 10 * SECOND)
    record["backends"]["100"] |= {"boot": boot + wall_offset, "cold": 2 * SECOND}
    restore_learned_state(balancer, RESTARTED_AT, WALL + 11 * SECOND, record)
    assert balancer.backends[100].slow_start_until == boot + 8 * SECOND


@pytest.mark.parametrize(
    ("age", "reason_text"),
    [
        (-SECOND, "set back"),
        (MAX_HEALTH_AGE_NS + SECOND, "health is"),
        (MAX_LATENCY_AGE_NS + SECOND, "s old"),
    ],
)
def test_record_that_is_too_old_or_from_the_future_is_ignored(age: int, reason_text: str) -> None:
    saved = balancer_with_ejections()
    balancer, _ = restarted_balancer()
    before = balancer.concurrency_limit
    result = export_and_restore(saved, balancer, age)
    assert reason_text in result.reason and not balancer.ejected_count  # type: ignore[attr-defined]
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
def test_record_of_another_format_is_ignored(record: object) -> None:
    balancer, _ = restarted_balancer()
    assert restore_learned_state(balancer, RESTARTED_AT, WALL, record).reason
    assert not balancer.ejected_count


def test_invalid_entries_restore_nothing_beyond_the_bounds() -> None:
    balancer, _ = restarted_balancer()
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
    restore_learned_state(balancer, RESTARTED_AT, WALL, record)
    b = balancer.backends[100]
    assert (
        balancer.concurrency_limit <= MAX_CONCURRENCY_LIMIT
        and b.latency_ratio <= 10
        and b.consecutive_failures >= 0
    )
    assert (
        b.ejected_until <= RESTARTED_AT + 8 * SECOND
        and b.slow_start_until <= RESTARTED_AT + 8 * SECOND
    )


def test_restored_class_latencies_still_follow_new_answers() -> None:
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


# ---- node processes: one backend is dead, and the node starts again ------------------


@contextmanager
def run_node(
    folder: Path, known: dict[str, object], store: Path, killed: bool = False
) -> Iterator[tuple[int, Path]]:
    """A node with a store, as port and log file; it is stopped at the end, or killed."""
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


def count_served(port: int, count: int) -> int:
    """Send requests in turn; returns how many were served."""
    served = 0
    peer = Peer(socket.create_connection(("127.0.0.1", port), HANG_TIMEOUT_S))
    for _ in range(count):
        peer.send(request("/balance/1", timeout=1500))
        served += peer.message()[0].split(" ")[1] == "200"
    peer.close()
    return served


class FakeBackend:
    """Answers at once; a dead one accepts connections, counts them and resets each."""

    def __init__(self, dead: bool) -> None:
        self.dead = dead
        self.connections = 0
        self.sock = listen()
        self.port = int(self.sock.getsockname()[1])
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        with suppress(OSError):
            while True:
                peer = Peer(self.sock.accept()[0])
                self.connections += 1
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
def test_restarted_node_sends_nothing_to_a_backend_it_had_ejected(
    tmp_path: Path, killed: bool
) -> None:
    """A node with an empty store does send requests to it."""
    dead, live = FakeBackend(dead=True), [FakeBackend(dead=False) for _ in range(3)]
    known = roster(*(target(f"s-{i}", s.port) for i, s in enumerate([dead, *live])))
    with run_node(tmp_path, known, tmp_path / "store", killed) as (port, log):
        end = time.monotonic() + HANG_TIMEOUT_S
        while " out: " not in log.read_text():
            count_served(port, 10)
            assert time.monotonic() < end
        if killed:  # not before the ejection has been saved
            saved = tmp_path / "store" / "00000001.log"
            size = saved.stat().st_size
            while saved.stat().st_size == size:
                time.sleep(0.02)
                assert time.monotonic() < end
    # A long ejection, as after several failures, which a restart on a slow machine can't outlast.
    with Store.open(tmp_path / "store") as store:
        record = json.loads(store.get(KEY) or b"{}")
        row = record["backends"][str(backend_id("s-0"))]
        assert row["down"] > 0 or row["trial"] or row["strikes"]
        row["down"] = 8 * SECOND
        store.put(KEY, json.dumps(record).encode())
    with run_node(tmp_path, known, tmp_path / "store") as (port, log):
        before = dead.connections
        assert "recalled 1 servers ejected" in log.read_text()
        assert count_served(port, 20) == 20
        assert dead.connections == before
    with run_node(tmp_path, known, tmp_path / "another") as (port, _):
        count_served(port, 20)
        assert dead.connections > before


def test_node_whose_store_is_in_use_reports_it_and_ends(tmp_path: Path) -> None:
    with Store.open(tmp_path / "s"):
        result = subprocess.run(
            [sys.executable, "-m", "tansywood", "node", str(tmp_path / "s")],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
    assert result.returncode == 2 and "one writer at a time" in result.stderr
