"""Discovery as the node meets it: news, silence, nonsense, and old news."""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

import pytest

from flinthatch import State, Update
from windrelay.config import load
from windrelay.discovery import ListError, Roster, backend_id

from .harness import Peer, accept, answer, config, listen, node, request, roster, target


def reply(peer: Peer, raw: object) -> None:
    peer.send(answer(json.dumps(raw).encode(), "200 OK", "Content-Type: application/json"))


def make_roster(tmp_path: Path) -> Roster:
    return Roster(load(config(tmp_path, roster(), 1)))


def test_a_watch_goes_on_and_its_news_count(tmp_path: Path) -> None:
    with listen() as disco, listen() as backend, node(tmp_path, roster(), port(disco)) as n:
        peer = accept(disco)
        first = peer.message()[0]
        assert first.startswith("GET /registry/instances?from=1&hold_ms=")
        reply(peer, roster(target("s-1", port(backend)), rev=2, whole=False))
        peer = accept(disco)
        assert "?from=2&" in peer.message()[0]
        client = n.connect()
        client.send(request())
        server = accept(backend)
        server.message()
        server.send(answer(b"1"))
        assert client.message()[2] == b"1"
        reply(peer, roster(target("s-1", port(backend), "leaving"), rev=3, whole=False))
        assert server.ends() == b""  # no use for it any more
        assert "?from=3&" in accept(disco).message()[0]


def test_a_watch_that_stays_silent_is_given_up_and_made_again_with_less_patience(
    tmp_path: Path,
) -> None:
    """A connection that is cut silently must not keep the node from news for long."""
    with listen() as disco, node(tmp_path, roster(), port(disco)):
        silent = accept(disco)
        first = int(silent.message()[0].split("hold_ms=")[1].split(" ")[0])
        assert first <= 4_000
        assert silent.ends() == b""
        again = int(accept(disco).message()[0].split("hold_ms=")[1].split(" ")[0])
        assert again == first // 2


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json!",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\ncut",
        answer(json.dumps(roster(rev=0)).encode()),  # older than what is known
        answer(json.dumps({"rev": 2, "all": True, "targets": [{"uid": "s-1"}]}).encode()),
        answer(json.dumps({"rev": 2, "all": True, "targets": 7}).encode()),
        b"NONSENSE",
    ],
)
def test_a_failed_call_leaves_the_list_and_is_made_again(tmp_path: Path, data: bytes) -> None:
    with listen() as disco, listen() as backend:
        known = roster(target("s-1", port(backend)))
        with node(tmp_path, known, port(disco)) as n:
            peer = accept(disco)
            peer.message()
            peer.send(data)
            peer.close()
            again = accept(disco)  # told as failed: the module asks again in a second or two
            assert "?from=1&" in again.message()[0]
            client = n.connect()
            client.send(request())
            accept(backend).message()


def test_a_service_that_lost_its_count_is_believed_in_the_end(tmp_path: Path) -> None:
    """Versions that start anew must not leave the node with its old list for good."""
    with listen() as disco, listen() as backend, node(tmp_path, roster(rev=9), port(disco)) as n:
        for since in ("9", "9", "9", "0"):
            peer = accept(disco)
            assert f"?from={since}&" in peer.message()[0]
            if since == "9":
                reply(peer, roster(rev=2, whole=False))
            else:
                reply(peer, roster(target("s-1", port(backend)), rev=3))
        assert "?from=3&" in accept(disco).message()[0]
        client = n.connect()
        client.send(request())
        accept(backend).message()


def test_a_changed_endpoint_moves_the_traffic(tmp_path: Path) -> None:
    with listen() as disco, listen() as old, listen() as new:
        known = roster(target("s-1", port(old)))
        with node(tmp_path, known, port(disco)) as n:
            client = n.connect()
            client.send(request())
            server = accept(old)
            server.message()
            server.send(answer(b"1"))
            client.message()
            peer = accept(disco)
            peer.message()
            reply(peer, roster(target("s-1", port(new)), rev=2))
            assert server.ends() == b""
            client.send(request())
            accept(new).message()


def test_ids_are_the_same_everywhere_and_boots_are_converted_once(tmp_path: Path) -> None:
    """A second conversion of the same boot_ms would look like a restart of every backend."""
    lists = make_roster(tmp_path)
    boot_ms = time.time_ns() // 1_000_000 - 3_000
    raw = roster(target("s-1", 1, boot_ms=boot_ms), target("s-2", 2))
    _, rows, _ = lists.read(raw)
    _, again, _ = lists.read(raw)
    assert rows == again
    assert rows[0].backend == backend_id("s-1") == 0x3231059C9D4DE0D
    age = time.monotonic_ns() - rows[0].boot
    assert 3_000_000_000 <= age < 60_000_000_000
    assert rows[1].boot == 0
    _, later, _ = lists.read(roster(target("s-1", 1, boot_ms=boot_ms + 1_000)))
    assert later[0].boot != rows[0].boot


def test_a_list_is_read_whole_or_not_at_all(tmp_path: Path) -> None:
    lists = make_roster(tmp_path)
    update, rows, endpoints = lists.read(roster(target("s-1", 1), target("s-2", 2, "leaving")))
    assert update == Update.FULL
    assert [row.state for row in rows] == [State.READY, State.DRAINING]
    lists.apply(1, update, rows, endpoints)
    bad = target("s-3", 3) | {"state": "asleep"}
    with pytest.raises(ListError):
        lists.read(roster(target("s-1", 9), bad, rev=2))
    assert lists.rev == 1
    assert lists.endpoints[backend_id("s-1")].port == 1
    update, rows, endpoints = lists.read(roster(target("s-2", 2), rev=3))
    assert lists.apply(3, update, rows, endpoints) == [backend_id("s-1")]


def port(server: socket.socket) -> int:
    return int(server.getsockname()[1])
