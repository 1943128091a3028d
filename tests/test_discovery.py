"""Discovery at a node: list updates, hung and broken registries, and outdated answers."""

from __future__ import annotations

import contextlib
import json
import signal
import time
from pathlib import Path

import pytest

from flinthatch import State, Update
from windrelay.config import load
from windrelay.discovery import (
    MAX_ANSWER_BYTES,
    BackendList,
    ListError,
    backend_id,
    parse_answer,
)

from .harness import (
    Peer,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    port,
    request,
    roster,
    target,
    wait_until_signal_handled,
)


def send_list(peer: Peer, raw: object) -> None:
    """Answer a discovery call with this list."""
    peer.send(answer(json.dumps(raw).encode(), "200 OK", "Content-Type: application/json"))


def empty_backend_list(tmp_path: Path) -> BackendList:
    """Return the backend list of a node that knows no backends."""
    return BackendList(load(config(tmp_path, roster(), 1)))


def test_a_watch_continues_from_each_revision_and_its_changes_apply(tmp_path: Path) -> None:
    with (
        listen() as disco,
        listen() as backend,
        node(tmp_path, roster(), port(disco)) as running_node,
    ):
        peer = accept(disco)
        first = peer.message()[0]
        assert first.startswith("GET /registry/instances?from=1&hold_ms=")
        send_list(peer, roster(target("s-1", port(backend)), rev=2, whole=False))
        peer = accept(disco)
        assert "?from=2&" in peer.message()[0]
        client = running_node.connect()
        client.send(request())
        server = accept(backend)
        server.message()
        server.send(answer(b"1"))
        assert client.message()[2] == b"1"
        send_list(peer, roster(target("s-1", port(backend), "leaving"), rev=3, whole=False))
        assert server.read_to_end() == b""  # the idle connection to a draining backend is closed
        assert "?from=3&" in accept(disco).message()[0]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json!",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\ncut",
        answer(json.dumps(roster(rev=0)).encode()),  # a revision older than the current one
        answer(json.dumps({"rev": 2, "all": True, "targets": [{"uid": "s-1"}]}).encode()),
        answer(json.dumps({"rev": 2, "all": True, "targets": 7}).encode()),
        b"NONSENSE",
    ],
)
def test_a_failed_call_keeps_the_list_and_is_repeated(tmp_path: Path, data: bytes) -> None:
    with listen() as disco, listen() as backend:
        known = roster(target("s-1", port(backend)))
        with node(tmp_path, known, port(disco)) as running_node:
            peer = accept(disco)
            peer.message()
            peer.send(data)
            peer.close()
            again = accept(disco)  # reported as failed: the Balancer asks again in a second or two
            # After an answer of an older revision the whole list is asked for, see below.
            since = 0 if b'"rev": 0' in data else 1
            assert f"?from={since}&" in again.message()[0]
            client = running_node.connect()
            client.send(request())
            accept(backend).message()


def test_a_registry_that_lost_its_revision_count_is_accepted_in_the_end(tmp_path: Path) -> None:
    """Revisions that start again must not leave the node with its old list for ever, and a replica
    that lags twice must not bring back backends that have left. A registry that is asked for
    changes since a revision that it never had would hold each call for its whole time: the later
    calls ask for the whole list."""
    with listen() as disco, listen() as old, listen() as backend:
        known = roster(target("s-0", port(old)), rev=9)
        with node(tmp_path, known, port(disco)) as running_node:
            for since in ("9", "0", "0"):
                peer = accept(disco)
                assert f"?from={since}&" in peer.message()[0]
                client = running_node.connect()
                client.send(request())
                server = accept(old)  # the registry's older list is not accepted yet
                server.message()
                server.reset()
                client.reset()
                send_list(peer, roster(target("s-1", port(backend)), rev=3, whole=since != "9"))
            assert "?from=3&" in accept(disco).message()[0]
            client = running_node.connect()
            client.send(request())
            accept(backend).message()


def test_a_changed_endpoint_moves_the_traffic(tmp_path: Path) -> None:
    with listen() as disco, listen() as old, listen() as new:
        known = roster(target("s-1", port(old)))
        with node(tmp_path, known, port(disco)) as running_node:
            client = running_node.connect()
            client.send(request())
            server = accept(old)
            server.message()
            server.send(answer(b"1"))
            client.message()
            peer = accept(disco)
            peer.message()
            send_list(peer, roster(target("s-1", port(new)), rev=2))
            assert server.read_to_end() == b""
            client.send(request())
            accept(new).message()


def test_ids_are_the_same_at_every_node_and_start_times_are_converted_once(tmp_path: Path) -> None:
    """A second conversion of the same boot_ms would look like a restart of every backend."""
    lists = empty_backend_list(tmp_path)
    boot_ms = time.time_ns() // 1_000_000 - 3_000
    raw = roster(target("s-1", 1, boot_ms=boot_ms), target("s-2", 2))
    _, rows, _, _ = lists.parse(raw)
    _, again, _, _ = lists.parse(raw)
    assert rows == again
    assert rows[0].backend == backend_id("s-1") == 0x3231059C9D4DE0D
    age = time.monotonic_ns() - rows[0].started_at
    assert 3_000_000_000 <= age < 60_000_000_000
    assert rows[1].started_at == 0
    _, later, _, _ = lists.parse(roster(target("s-1", 1, boot_ms=boot_ms + 1_000)))
    assert later[0].started_at != rows[0].started_at


@pytest.mark.parametrize("step_s", [-3600, -5, 5, 3600])
def test_a_stepped_wall_clock_hides_no_start_of_a_backend(tmp_path: Path, step_s: int) -> None:
    lists = empty_backend_list(tmp_path)
    update, rows, endpoints, _ = lists.parse(roster(target("s-1", 1)))
    lists.apply(1, update, rows, endpoints)
    lists.wall_clock_offset_ns += step_s * 1_000_000_000
    boot_ms = time.time_ns() // 1_000_000 - 500
    change = roster(target("s-2", 2, boot_ms=boot_ms), rev=2, whole=False)
    update, rows, endpoints, _ = lists.parse(change)
    age = time.monotonic_ns() - rows[0].started_at
    assert 0 <= age < 3_000_000_000
    lists.apply(2, update, rows, endpoints)
    assert lists.parse(change)[1] == rows


def test_a_start_that_an_earlier_list_named_keeps_its_time(tmp_path: Path) -> None:
    lists = empty_backend_list(tmp_path)
    boot_ms = time.time_ns() // 1_000_000 - 600_000
    raw = roster(target("s-1", 1, boot_ms=boot_ms))
    update, rows, endpoints, _ = lists.parse(raw)
    lists.apply(1, update, rows, endpoints)
    # A machine that runs for less than that has no time of its own clock for the start.
    started_at = max(time.monotonic_ns() - 600_000_000_000, 1)
    assert abs(rows[0].started_at - started_at) < 1_000_000_000
    assert lists.parse(raw)[1] == rows


def test_a_list_changes_nothing_until_it_is_applied(tmp_path: Path) -> None:
    lists = empty_backend_list(tmp_path)
    update, rows, endpoints, _ = lists.parse(roster(target("s-1", 1), target("s-2", 2, "leaving")))
    assert update == Update.FULL
    assert [row.state for row in rows] == [State.READY, State.DRAINING]
    lists.apply(1, update, rows, endpoints)
    with pytest.raises(ListError):
        lists.parse(roster(target("s-1", 9) | {"state": "asleep"}, rev=2))
    assert lists.revision == 1
    assert lists.endpoints[backend_id("s-1")].port == 1
    update, rows, endpoints, _ = lists.parse(roster(target("s-2", 2), rev=3))
    assert lists.apply(3, update, rows, endpoints) == [backend_id("s-1")]


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"endpoint": "nowhere:80"},
        {"endpoint": 7},
        {"az": []},
        {"boot_ms": 1e400},
        {"capacity_hint": "x"},
    ],
)
def test_an_unreadable_row_voids_no_other_row(tmp_path: Path, change: dict[str, object]) -> None:
    """Drains in the same list must be applied, and the backend of the unreadable row stays as it
    was."""
    lists = empty_backend_list(tmp_path)
    update, rows, endpoints, _ = lists.parse(roster(target("s-1", 1), target("s-2", 2)))
    lists.apply(1, update, rows, endpoints)
    stranger = target("s-3", 3) | change
    raw = roster(target("s-1", 1) | change, target("s-2", 2, "leaving"), stranger, rev=2)
    update, rows, endpoints, bad = lists.parse(raw)
    assert bad == 2
    assert [(r.backend, r.state) for r in rows] == [
        (backend_id("s-1"), State.READY),
        (backend_id("s-2"), State.DRAINING),
    ]
    assert lists.apply(2, update, rows, endpoints) == [backend_id("s-2")]
    assert lists.endpoints[backend_id("s-1")].port == 1


def test_a_new_id_at_an_address_in_use_replaces_the_old_id(tmp_path: Path) -> None:
    with listen() as disco, listen() as backend:
        known = roster(target("s-1", port(backend)))
        with node(tmp_path, known, port(disco)) as running_node:
            client = running_node.connect()
            client.send(request(rid="a"))
            server = accept(backend)
            server.message()
            server.send(answer(b"1"))
            client.message()
            peer = accept(disco)
            peer.message()
            send_list(peer, roster(target("s-2", port(backend)), rev=2, whole=False))
            assert server.read_to_end() == b""  # the connection of the old id
            client.send(request(rid="b"))
            accept(backend).message()


def test_a_hung_watch_is_asked_again_at_once(tmp_path: Path) -> None:
    """A change that happened meanwhile counts as told to the node, so there is no time for a
    backoff."""
    with listen() as disco, node(tmp_path, roster(), port(disco)):
        hung = accept(disco)
        assert int(hung.message()[0].split("hold_ms=")[1].split(" ")[0]) <= 4_000
        assert hung.read_to_end() == b""
        gap = time.monotonic()
        again = accept(disco)
        assert time.monotonic() - gap < 0.4
        # The call does not wait for a change: a missed one is answered at once.
        assert "hold_ms=1 " in again.message()[0]


def test_an_endless_answer_is_given_up_before_it_fills_memory(tmp_path: Path) -> None:
    with listen() as disco, node(tmp_path, roster(), port(disco)) as running_node:
        peer = accept(disco)
        peer.message()
        before = running_node.resident_mb()
        with contextlib.suppress(OSError):
            peer.send(b"HTTP/1.1 200 OK\r\nX-Pad: " + bytes(b"p" * (8 << 20)))
        peer.read_to_end()
        assert running_node.resident_mb() - before < 16
        accept(disco).message()


# ---- reload -----------------------------------------------------------------


def test_an_answer_without_a_length_is_used(tmp_path: Path) -> None:
    """Guards against drains that are never heard of: HTTP/1.1 lets the close end an answer."""
    with listen() as disco, node(tmp_path, roster(), port(disco)):
        peer = accept(disco)
        peer.message()
        body = json.dumps(roster(target("s-1", 1), rev=7)).encode()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body)
        peer.close()
        assert "?from=7&" in accept(disco).message()[0]


@pytest.mark.parametrize("end", ["reset", "half", "short"])
def test_an_answer_that_breaks_off_is_not_used(tmp_path: Path, end: str) -> None:
    """Guards against half a list that is taken for one that ends with its connection."""
    with listen() as disco, node(tmp_path, roster(), port(disco)):
        peer = accept(disco)
        peer.message()
        body = json.dumps(roster(target("s-1", 1), rev=7)).encode()
        length = f"Content-Length: {len(body) + 10}\r\n" if end == "short" else ""
        sent = body[: len(body) // 2] if end == "half" else body
        peer.send(f"HTTP/1.1 200 OK\r\n{length}\r\n".encode() + sent)
        if end == "reset":
            peer.reset()
        else:
            peer.close()
        assert "?from=1&" in accept(disco).message()[0]


@pytest.mark.parametrize("part", [b"{},", b"[],", b"1,"])
def test_an_answer_of_very_many_parts_is_not_parsed(part: bytes) -> None:
    """Guards against 2 MB of JSON that take far more memory and time than any list."""
    body = b'{"rev":1,"all":true,"targets":[' + part * (MAX_ANSWER_BYTES // len(part) - 99) + b"1]}"
    assert len(body) < MAX_ANSWER_BYTES
    with pytest.raises(ListError):
        parse_answer(body)


def test_a_list_of_the_largest_fleet_is_parsed_indented_too() -> None:
    """Guards against a limit on parts that turns the largest sound list down."""
    rows = [target(f"s-{i:08x}", i % 60000 + 1) for i in range(3200)]
    whole = roster(*rows)
    assert parse_answer(json.dumps(whole, indent=4).encode()) == whole


def test_a_reload_moves_to_the_new_address_at_once_and_from_a_whole_list(tmp_path: Path) -> None:
    """The new address is adopted also where its revisions are lower. The end of the old watch is no
    failure, and comes too late to count."""
    with listen() as old, listen() as new, listen() as one, listen() as two:
        known = roster(target("s-1", port(one)), rev=9)
        with node(tmp_path, known, port(old)) as running_node:
            watch = accept(old)
            watch.message()
            running_node.reload(discovery=f"127.0.0.1:{port(new)}")
            peer = accept(new)
            assert peer.message()[0] == "GET /registry/instances HTTP/1.1"
            assert watch.read_to_end() == b""
            send_list(peer, roster(target("s-2", port(two)), rev=2))
            assert "?from=2&" in accept(new).message()[0]
            client = running_node.connect()
            client.send(request())
            accept(two).message()


def test_a_reload_to_a_registry_that_is_not_up_or_sends_a_partial_list(tmp_path: Path) -> None:
    with contextlib.ExitStack() as stack:
        old, new, backend = (stack.enter_context(listen()) for _ in range(3))
        with node(tmp_path, roster(rev=9), port(old)) as running_node:
            accept(old).message()
            running_node.reload(discovery=f"127.0.0.1:{port(new)}")
            began = time.monotonic()
            for _ in range(3):
                accept(new).reset()
            peer = accept(new)
            assert time.monotonic() - began < 3
            assert "?from" not in peer.message()[0]
            send_list(peer, roster(target("s-1", port(backend)), rev=3, whole=False))
            peer = accept(new)
            # A partial list is not accepted as the first one.
            assert "?from" not in peer.message()[0]
            send_list(peer, roster(target("s-1", port(backend)), rev=3))
            client = running_node.connect()
            client.send(request())
            accept(backend).message()


@pytest.mark.parametrize("text", ["", '{"name": "n0", "disc', "[]", '{"discovery": "nowhere"}'])
def test_a_reload_of_a_broken_file_changes_nothing(tmp_path: Path, text: str) -> None:
    with listen() as old, listen() as new, node(tmp_path, roster(rev=9), port(old)) as running_node:
        peer = accept(old)
        peer.message()
        whole = running_node.config_path.read_text()
        running_node.reload(text)
        send_list(peer, roster(rev=10, whole=False))
        peer = accept(old)  # the node continues at the old address and revision
        assert "?from=10&" in peer.message()[0]
        running_node.config_path.write_text(whole)
        running_node.reload(discovery=f"127.0.0.1:{port(new)}")
        accept(new).message()


def test_a_file_written_in_two_halves_is_adopted_without_another_signal(tmp_path: Path) -> None:
    with listen() as old, listen() as new, node(tmp_path, roster(rev=9), port(old)) as running_node:
        accept(old).message()
        whole = running_node.config_path.read_text().replace(f":{port(old)}", f":{port(new)}")
        running_node.reload(whole[:100])
        running_node.config_path.write_text(whole)
        accept(new).message()


def test_a_reload_during_start_up_is_not_lost(tmp_path: Path) -> None:
    with listen() as old, listen() as new:
        environ = config(tmp_path, roster(rev=9), port(old))
        process = launch(environ)
        try:
            wait_until_signal_handled(process, signal.SIGHUP)
            text = Path(environ["PROXY_CONFIG"]).read_text()
            text = text.replace(f":{port(old)}", f":{port(new)}")
            Path(environ["PROXY_CONFIG"]).write_text(text)
            process.send_signal(signal.SIGHUP)
            accept(new).message()
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
            if process.stderr is not None:
                process.stderr.close()
