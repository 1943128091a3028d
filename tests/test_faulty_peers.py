"""What bad or unlucky peers do to the real node, on loopback sockets."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from .harness import (
    HANG_TIMEOUT_S,
    Peer,
    RunningNode,
    accept,
    answer,
    listen,
    node,
    request,
    roster,
    target,
)


def numbered(names: str, rows: list[Any]) -> pytest.MarkDecorator:
    """Cases by number: their bytes make no names."""
    return pytest.mark.parametrize(names, rows, ids=[str(i) for i in range(len(rows))])


SMUGGLED = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + request()


@contextmanager
def pair(tmp_path: Path, **over: Any) -> Iterator[tuple[RunningNode, socket.socket]]:
    """A node before one backend."""
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, **over) as n:
            yield n, backend


def refused(peer: Peer) -> str:
    return peer.message()[0].split(" ")[1]


# ---- what clients send ------------------------------------------------------


@numbered(
    "data,status",
    [
        (b"NONSENSE\r\n\r\n", 400),
        (request("/nosuch/1"), 404),
        (request(X_Priority_Class="nosuch"), 400),
        (request(X_Priority_Class="credit"), 400),
        (request(X_Timeout_Ms=""), 400),
        (request(X_Timeout_Ms="0"), 400),
        (request(X_Timeout_Ms="-5"), 400),
        (request(X_Timeout_Ms="1.5"), 400),
        (request(X_Request_ID=""), 400),
        (request("/credit/1", b"x", Transfer_Encoding="chunked"), 400),
        (request("/credit/1", b"", Content_Length=str((32 << 20) + 1)), 413),
        (request("/credit/1", b"", Content_Length="-5"), 400),
        (request("/credit/1", b"", Content_Length="9" * 30), 400),
        (request("/credit/1", b"x", Content_Length="1\r\nContent-Length: 1"), 400),
        (request("/credit/1", None).replace(b"GET", b"POST")[:-2] + SMUGGLED, 400),
        (request("/credit/1", b"", Content_Length="", Transfer_Encoding="gzip, chunked"), 400),
        (request(X_Attrs="a" * 40_000), 431),
        (request("/balance/" + "a" * 40_000), 431),
        (request(X_Attrs="a" * 200_000)[:-4], 431),  # a head without end
        (request().replace(b"GET", b"PUT"), 405),
        (request("/balance/1", b"x"), 405),
        (request("/credit/1"), 405),
        (request(Content_Length="3") + b"abc", 400),
        (request(X_Priority_Class=""), 400),
        (request(rid="a" * 200), 400),
        (request(rid="a", X_Request_Id="b"), 400),
        (request("/balance/\x7f"), 400),
        (request(Connection="Upgrade", Upgrade="h2c"), 400),
    ],
)
def test_bad_input_reaches_no_backend(tmp_path: Path, data: bytes, status: int) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(data)
        line, headers, _ = client.message()
        assert line.split(" ")[1] == str(status)
        assert headers["connection"] == "close"
        assert client.read_to_end() == b""
        backend.setblocking(False)
        with pytest.raises(BlockingIOError):
            backend.accept()


def test_the_absolute_form_and_a_leading_empty_line_are_taken(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(b"\r\n" + request().replace(b"GET /", b"GET http://app.svc/"))
        assert accept(backend).message()[0] == "GET /balance/7f3a HTTP/1.1"


def test_white_space_after_values_is_no_part_of_them(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        lines = request("/credit/1", b"x", rid="a").split(b"\r\n")
        spaced = [line + b" \t" if b": " in line else line for line in lines]
        client.send(b"\r\n".join(spaced))
        peer = accept(backend)
        _, headers, body = peer.message()
        assert (headers["x-request-id"], body) == ("a", b"x")
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10 \r\n\r\nshort")
        peer.close()
        assert refused(client) == "502"  # cut short: the length was understood


def test_an_unknown_tenant_is_400(tmp_path: Path) -> None:
    realms = [{"name": "acme", "portion": 1.0, "quota_per_s": 100.0}]
    with pair(tmp_path, settings={"realms": realms}) as (n, backend):
        client = n.connect()
        client.send(request(X_Tenant_Id="nobody"))
        assert refused(client) == "400"
        client = n.connect()
        client.send(request())
        accept(backend).message()


def test_a_head_in_pieces(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        data = request(rid="a")
        for at in range(0, len(data), 7):
            client.send(data[at : at + 7])
        peer = accept(backend)
        assert peer.message()[1]["x-request-id"] == "a"
        peer.send(answer(b"1"))
        assert client.message()[2] == b"1"


@numbered("more", [b"NONSENSE\r\n\r\n", request(rid="b"), request(rid="b") * 200])
def test_what_comes_with_more_than_one_request_is_not_served(tmp_path: Path, more: bytes) -> None:
    """Clients send one request at a time; another in the same bytes may have been hidden."""
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request(rid="a") + more)
        assert refused(client) == "400"
        assert client.read_to_end() == b""
        backend.setblocking(False)
        with pytest.raises(BlockingIOError):
            backend.accept()


def test_a_request_ahead_of_the_answer_ends_both(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request(rid="a"))
        peer = accept(backend)
        peer.message()
        client.send(request(rid="b"))
        assert refused(client) == "400"
        peer.send(answer(b"for a"))
        assert client.read_to_end() == b""  # one answer, and nothing after it


def test_the_id_of_another_request_is_not_taken_again(tmp_path: Path) -> None:
    """Open or just ended: whoever comes second must get neither answer nor effect."""
    with pair(tmp_path) as (n, backend):
        client, other = n.connect(), n.connect()
        client.send(request("/credit/1", b"x", rid="a"))
        peer = accept(backend)
        peer.message()
        other.send(request("/credit/1", b"x", rid="a"))
        assert refused(other) == "400"
        peer.send(answer(b"for a"))
        assert client.message()[2] == b"for a"
        late = n.connect()
        late.send(request("/credit/1", b"x", rid="a"))
        assert refused(late) == "400"
        client.send(request("/credit/1", b"x", rid="b"))
        assert peer.message()[1]["x-request-id"] == "b"


def test_clients_that_do_not_get_to_a_request_are_closed_within_what_they_are_owed(
    tmp_path: Path,
) -> None:
    """Silent, half a head, half a body: each is answered or closed 3 s after connecting."""
    with pair(tmp_path) as (n, _):
        began = time.monotonic()
        silent, head, body, asked = (n.connect() for _ in range(4))
        head.send(request()[:-20])
        body.send(request("/credit/1", b"", Content_Length="100") + b"x")
        asked.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        asked.message()
        assert silent.read_to_end() == b""
        assert refused(head) == refused(body) == "408"
        assert time.monotonic() - began < 4.5  # 3 s are owed; some room for a busy machine
        assert asked.read_to_end() == b""  # kept for a while, but not for good
        assert time.monotonic() - began > 2


def test_a_client_with_60_mb_to_send_gets_its_error_and_costs_little(tmp_path: Path) -> None:
    size = 60 << 20
    with pair(tmp_path) as (n, _):
        client = n.connect()
        client.send(request("/credit/1", b"", Content_Length=str(size)))
        before = n.cpu_ms()
        sent = 0
        block = bytes(1 << 20)
        with suppress(OSError):
            while sent < size:
                sent += client.sock.send(block)
        assert sent < size // 2  # not all of it was read and thrown away
        assert client.read_to_end().startswith(b"HTTP/1.1 413")
        assert n.cpu_ms() - before < 500
        other = n.connect()
        other.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert other.message()[0] == "HTTP/1.1 200 OK"


def test_a_client_that_ends_its_sending_still_gets_its_answer(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        warm = n.connect()
        warm.send(request())
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"first"))
        assert warm.message()[2] == b"first"
        # With a dial in between it would hang on time whether its attempt still begins.
        client = n.connect()
        client.send(request())
        client.sock.shutdown(socket.SHUT_WR)
        peer.message()
        peer.send(answer(b"served"))
        assert client.message()[2] == b"served"
        assert client.read_to_end() == b""


def test_a_client_that_leaves_does_not_disturb_the_next(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request(rid="a"))
        peer = accept(backend)
        peer.message()
        client.reset()
        other = n.connect()
        other.send(request(rid="b"))
        second = accept(backend)
        assert second.message()[1]["x-request-id"] == "b"
        peer.send(answer(b"for a"))
        second.send(answer(b"for b"))
        assert other.message()[2] == b"for b"


def test_the_largest_and_chunked_bodies_arrive_whole(tmp_path: Path) -> None:
    body = bytes(range(256)) * 256
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", body))
        peer = accept(backend)
        assert peer.message()[2] == body
        peer.send(answer(b"1"))
        assert client.message()[2] == b"1"
        head = request("/credit/1", b"", Transfer_Encoding="chunked")
        head = head.replace(b"Content-Length: 0\r\n", b"")
        client.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n")
        assert peer.message()[2] == b"abcde"


# ---- what backends do -------------------------------------------------------


def test_an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again(
    tmp_path: Path,
) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.reset()
        assert refused(client) == "502"
        backend.setblocking(False)
        with pytest.raises(BlockingIOError):
            backend.accept()


def test_a_refused_connection_never_ran_and_is_sent_elsewhere(tmp_path: Path) -> None:
    with listen() as dead, listen() as alive:
        known = roster(target("s-1", dead.getsockname()[1]), target("s-2", alive.getsockname()[1]))
        dead.close()
        with node(tmp_path, known) as n:
            for i in range(4):
                client = n.connect()
                client.send(request("/credit/1", b"x", rid=f"r{i}"))
                peer = accept(alive)
                assert peer.message()[1]["x-request-id"] == f"r{i}"
                peer.send(answer(b"served", "200 OK", "Connection: close"))
                assert client.message()[2] == b"served"


def test_turned_away_early_is_sent_again(tmp_path: Path) -> None:
    with listen() as one, listen() as two:
        known = roster(target("s-1", one.getsockname()[1]), target("s-2", two.getsockname()[1]))
        with node(tmp_path, known) as n:
            client = n.connect()
            client.send(request("/credit/1", b"x"))
            first = select.select([one, two], [], [], HANG_TIMEOUT_S)[0][0]
            peer = accept(first)
            peer.message()
            peer.send(answer(b"", "503 Busy", "X-Not-Processed: 1"))
            peer = accept(two if first is one else one)
            peer.message()
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"


@pytest.mark.parametrize(
    "reply",
    [
        b"NONSENSE\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 418 Teapot\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
        b"HTTP/1.1 200 OK\r\n\r\nends with its connection",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_a_bad_answer_may_have_run(tmp_path: Path, reply: bytes) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)
        peer.message()
        peer.send(reply)
        peer.close()
        assert refused(client) == "502"


def test_bytes_after_an_answer_reach_nobody(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request(rid="a"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"for a") + answer(b"stray"))
        assert client.message()[2] == b"for a"
        assert peer.read_to_end() == b""
        client.send(request(rid="b"))
        second = accept(backend)
        second.message()
        second.send(answer(b"for b"))
        assert client.message()[2] == b"for b"


def test_an_answer_after_the_time_out_reaches_nobody(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x", timeout=150, rid="a"))
        peer = accept(backend)
        peer.message()
        assert refused(client) == "502"
        assert peer.read_to_end() == b""  # closed: what it says now has nowhere to go
        client.send(request(rid="b"))
        second = accept(backend)
        assert second.message()[1]["x-request-id"] == "b"
        second.send(answer(b"for b"))
        assert client.message()[2] == b"for b"


def test_a_connection_that_closed_while_idle_is_not_written_to(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x", rid="a"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"1"))
        client.message()
        peer.reset()
        client.send(request("/credit/1", b"x", rid="b"))
        second = accept(backend)
        assert second.message()[1]["x-request-id"] == "b"
        second.send(answer(b"2"))
        assert client.message()[2] == b"2"


def test_a_reused_connection_that_closes_under_an_unsafe_request(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x", rid="a"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"1"))
        client.message()
        client.send(request("/credit/1", b"x", rid="b"))
        peer.message()
        peer.close()
        assert refused(client) == "502"


SPOILT = [
    b"\x00\xffnoise" * 20,
    b"HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppp\r\n" * 2000,
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(100_000),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + bytes(0x7FFF),
    b"HTTP/1.1 200 OK\r\n\r\nends with its connection",
    b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nnever more than this",
]


@numbered("reply", SPOILT)
def test_a_spoilt_answer_is_a_failed_attempt_and_no_more(tmp_path: Path, reply: bytes) -> None:
    """Unsafe: failed once and for all. Safe: sent again. The backend stays in, twice over."""
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        for rid in ("a", "b", "c"):
            client.send(request("/credit/1", b"x", rid=rid))
            peer = accept(backend)
            assert peer.message()[1]["x-request-id"] == rid
            peer.send(reply[:-1] if reply.endswith(b"this") else reply)
            assert refused(client) == "502"
            assert peer.read_to_end() == b""  # given up, though it stays open at the other end
        client.send(request(rid="d"))
        for body in (None, b"served"):
            peer = accept(backend)
            assert peer.message()[1]["x-request-id"] == "d"
            peer.send(answer(body) if body else reply[:-1])
        assert client.message()[2] == b"served"


@numbered(
    "before,behind",
    [
        (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", b""),
        (b"", b"\x00noise\r\n\r\n"),
        (b"", answer(b"stray")),
    ],
)
def test_a_good_answer_with_more_than_belongs_to_it_is_served(
    tmp_path: Path, before: bytes, behind: bytes
) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        peer = None
        for rid in ("a", "b", "c"):
            client.send(request("/credit/1", b"x", rid=rid))
            peer = accept(backend) if peer is None or behind else peer
            assert peer.message()[1]["x-request-id"] == rid
            good = answer(rid.encode(), "200 OK", 'X-Server-Load: {"', "X-Server-Load: =,=")
            peer.send(before + good + behind)
            assert client.message()[2] == rid.encode()


def test_noise_on_a_connection_at_rest_spoils_no_request(tmp_path: Path) -> None:
    with pair(tmp_path) as (n, backend):
        client = n.connect()
        client.send(request("/credit/1", b"x", rid="a"))
        peer = accept(backend)
        peer.message()
        peer.send(answer(b"1"))
        assert client.message()[2] == b"1"
        peer.send(answer(b"stray"))
        client.send(request("/credit/1", b"x", rid="b"))
        second = accept(backend)
        assert second.message()[1]["x-request-id"] == "b"
        second.send(answer(b"2"))
        assert client.message()[2] == b"2"


def test_descriptors_stay_within_their_budget(tmp_path: Path) -> None:
    """More clients than descriptors: the oldest idle ones go, nobody is stuck."""
    with pair(tmp_path, limits={"sockets": 64}) as (n, _):
        clients = [n.connect() for _ in range(100)]
        for client in clients:
            client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        for client in clients:
            assert client.message()[0] == "HTTP/1.1 200 OK"
            assert n.descriptors() <= 64


def test_silent_connections_starve_no_usual_client(tmp_path: Path) -> None:
    with pair(tmp_path, limits={"sockets": 64}) as (n, backend):
        crowd = [n.connect() for _ in range(300)]
        began = time.monotonic()
        client = n.connect()
        client.send(request("/credit/1", b"x"))
        peer = accept(backend)  # and the dial has its descriptor
        peer.message()
        peer.send(answer(b"1"))
        assert client.message()[2] == b"1"
        assert time.monotonic() - began < 3
        assert n.descriptors() <= 64
        del crowd
