"""Requests, readiness, a stop and a bad configuration, at a node process on loopback sockets."""

from __future__ import annotations

import signal
import subprocess
from pathlib import Path

import pytest

from .harness import accept, answer, config, launch, listen, node, request, roster, target


def test_a_request_passes_through_unchanged_and_connections_are_reused(tmp_path: Path) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running_node,
    ):
        client = running_node.connect()
        client.send(
            request(
                "/credit/7f3a?x=%20y",
                b"body",
                rid="9b1f03aa5c7e2d41",
                Idempotency_Key="k1",
                X_Cost="12",
            )
        )
        peer = accept(backend)
        first, headers, body = peer.message()
        assert first == "POST /credit/7f3a?x=%20y HTTP/1.1"
        assert headers["x-request-id"] == "9b1f03aa5c7e2d41"
        assert headers["idempotency-key"] == "k1"
        assert 0 < int(headers["x-timeout-ms"]) <= 1500
        assert body == b"body"
        peer.send(answer(b"served", "200 OK", "Content-Type: text/x"))
        line, headers, body = client.message()
        assert (line, body) == ("HTTP/1.1 200 OK", b"served")
        assert headers["content-type"] == "text/x"
        client.send(request())
        assert peer.message()[0] == "GET /balance/7f3a HTTP/1.1"
        peer.send(answer(b"again"))
        assert client.message()[2] == b"again"


def test_a_readiness_probe_is_answered_and_a_stop_exits_with_status_0(tmp_path: Path) -> None:
    with node(tmp_path, roster()) as running_node:
        client = running_node.connect()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert client.message()[0] == "HTTP/1.1 200 OK"
        assert running_node.stop() == 0


def test_a_stop_answers_open_requests_before_the_exit(tmp_path: Path) -> None:
    with (
        listen() as backend,
        node(tmp_path, roster(target("s-1", backend.getsockname()[1]))) as running_node,
    ):
        client = running_node.connect()
        client.send(request())
        peer = accept(backend)
        peer.message()
        running_node.process.send_signal(signal.SIGTERM)
        late = running_node.connect()  # the listener still accepts connections
        late.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line, headers, _ = late.message()
        assert (line, headers["connection"]) == ("HTTP/1.1 503 Service Unavailable", "close")
        running_node.process.send_signal(signal.SIGTERM)
        peer.send(answer(b"served"))
        line, headers, body = client.message()
        assert (line, body, headers["connection"]) == ("HTTP/1.1 200 OK", b"served", "close")
        assert running_node.process.wait(20) == 0


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (None, "can't read"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"discovery":"127.0.0.1:1"}', "settings is missing"),
        ('{"discovery":"127.0.0.1:1","settings":{}}', "settings.rules is missing"),
    ],
)
def test_a_bad_configuration_prints_one_line_and_exits_with_status_2(
    tmp_path: Path, text: str | None, says: str
) -> None:
    environ = config(tmp_path, roster(), 1)
    if text is None:
        environ["PROXY_CONFIG"] += ".missing"
    else:
        Path(environ["PROXY_CONFIG"]).write_text(text)
    process = launch(environ)
    try:
        _, err = process.communicate(timeout=20)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    assert process.returncode == 2
    assert says in err and len(err.splitlines()) == 1
