"""A connection to a backend carries the next request only once it has been quiet for a while."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from flinthatch.connection_reuse import (
    MAX_QUIET_TIME_NS,
    MIN_DISTINCT_RESPONSE_COUNT,
    MIN_QUIET_TIME_NS,
    MS,
    QUIET_TIME_MEMORY_NS,
    QuietTime,
    ResponseHistory,
)
from windrelay.upstream import MAX_INTERIM_RESPONSE_COUNT

from .harness import answer, request
from .race_harness import RaceHarness, ScriptedPeer, race_harness, run_scenario

REJECTION = answer(b"", "503 Service Unavailable", "X-Not-Processed: 1")


async def serve_one(harness: RaceHarness) -> tuple[ScriptedPeer, ScriptedPeer]:
    """Serve a first request; returns its client and the backend's end of the idle connection."""
    client = harness.connect_client(request(rid="first"))
    backend = await harness.accept_backend()
    await backend.message()
    backend.send(answer(b"for first"))
    assert (await client.message())[2] == b"for first"
    return client, backend


async def wait_for_attempt(harness: RaceHarness) -> None:
    await harness.wait_until(lambda: harness.node.upstream.unsent)


def test_request_is_not_written_before_the_connection_has_been_quiet(tmp_path: Path) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        answered_at = harness.loop.time()
        client.send(request("/credit/1", b"x", rid="second"))
        assert (await backend.message())[1]["x-request-id"] == "second"
        assert harness.loop.time() - answered_at >= 0.9 * MIN_QUIET_TIME_NS / 1e9
        backend.send(answer(b"for second"))
        assert (await client.message())[2] == b"for second"

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


@pytest.mark.parametrize(
    "disturb",
    [
        lambda backend: backend.send(answer(b"for first")),
        lambda backend: backend.send(REJECTION),
        lambda backend: backend.close(),
        lambda backend: backend.reset(),
    ],
    ids=["second copy", "rejection", "end", "reset"],
)
def test_request_that_waits_for_a_connection_is_sent_on_another_where_that_one_fails(
    tmp_path: Path, disturb: Callable[[ScriptedPeer], None]
) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        client.send(request("/credit/1", b"x", rid="second"))
        await wait_for_attempt(harness)
        disturb(backend)
        another = await harness.accept_backend()
        assert (await another.message())[1]["x-request-id"] == "second"
        another.send(answer(b"for second"))
        assert (await client.message())[2] == b"for second"

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def test_request_of_a_client_that_left_while_it_waited_is_not_written(tmp_path: Path) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        client.send(request("/credit/1", b"x", rid="second"))
        await wait_for_attempt(harness)
        client.reset()
        await harness.wait_until(lambda: not harness.node.upstream.unsent)
        other = harness.connect_client(request(rid="third"))
        assert (await backend.message())[1]["x-request-id"] == "third"
        backend.send(answer(b"for third"))
        assert (await other.message())[2] == b"for third"

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def test_request_that_waits_is_not_written_to_a_backend_that_is_excluded(tmp_path: Path) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        client.send(request("/credit/1", b"x", timeout=300, rid="second"))
        await wait_for_attempt(harness)
        for conn in harness.node.upstream.unsent:
            excluded = conn.backend
        harness.node.exclude(excluded)
        assert await backend.read_to_end() == b""
        assert await client.status() in (502, 503, 504)

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def test_late_unsolicited_bytes_lengthen_the_quiet_time_for_a_while() -> None:
    quiet_time = QuietTime()
    quiet_time.record_unsolicited_bytes(0, 1 * MS)
    assert quiet_time.required_ns == MIN_QUIET_TIME_NS
    quiet_time.record_unsolicited_bytes(0, MIN_QUIET_TIME_NS)
    assert quiet_time.required_ns == 2 * MIN_QUIET_TIME_NS
    quiet_time.record_unsolicited_bytes(0, 10 * MAX_QUIET_TIME_NS)
    assert quiet_time.required_ns == MAX_QUIET_TIME_NS
    quiet_time.shrink_if_due(QUIET_TIME_MEMORY_NS - 1)
    assert quiet_time.required_ns == MAX_QUIET_TIME_NS
    quiet_time.shrink_if_due(QUIET_TIME_MEMORY_NS)
    assert quiet_time.required_ns == MIN_QUIET_TIME_NS


@pytest.mark.parametrize("status", ["100 Continue", "102 Processing", "103 Early Hints"])
def test_connection_is_closed_where_interim_responses_do_not_end(
    tmp_path: Path, status: str
) -> None:
    async def scenario() -> None:
        client = harness.connect_client(request("/credit/1", b"x", rid="first"))
        backend = await harness.accept_backend()
        await backend.message()
        backend.send(f"HTTP/1.1 {status}\r\n\r\n".encode() * (MAX_INTERIM_RESPONSE_COUNT + 1))
        assert await client.status() == 502
        assert await backend.read_to_end() == b""

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def differing_responses(history: ResponseHistory, count: int, first: int = 1) -> None:
    for checksum in range(first, first + count):
        history.record(checksum)


def test_equal_responses_are_no_copies_where_responses_repeat() -> None:
    history = ResponseHistory()
    differing_responses(history, MIN_DISTINCT_RESPONSE_COUNT - 1)
    assert not history.are_distinct
    differing_responses(history, 1, first=MIN_DISTINCT_RESPONSE_COUNT)
    assert history.are_distinct
    history.record(MIN_DISTINCT_RESPONSE_COUNT)
    assert not history.are_distinct


def test_a_response_wrongly_dropped_as_a_copy_doubles_the_number_that_must_differ() -> None:
    history = ResponseHistory()
    history.record_mistake()
    differing_responses(history, 2 * MIN_DISTINCT_RESPONSE_COUNT - 1)
    assert not history.are_distinct
    history.record(0)
    assert history.are_distinct


async def learn_that_responses_differ(
    harness: RaceHarness, client: ScriptedPeer, backend: ScriptedPeer
) -> None:
    for number in range(MIN_DISTINCT_RESPONSE_COUNT):
        client.send(request(rid=f"learn-{number}"))
        await backend.message()
        backend.send(answer(b"for learn-%d" % number))
        assert (await client.message())[2] == b"for learn-%d" % number


@pytest.mark.parametrize("path,body", [("/credit/1", b"x"), ("/balance/1", None)])
def test_second_copy_that_comes_after_the_next_request_is_not_its_response(
    tmp_path: Path, path: str, body: bytes | None
) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        await learn_that_responses_differ(harness, client, backend)
        client.send(request(path, body, rid="next"))
        await backend.message()
        backend.send(answer(b"for learn-%d" % (MIN_DISTINCT_RESPONSE_COUNT - 1)))
        await harness.settle()
        backend.send(answer(b"for next"))
        assert (await client.message())[2] == b"for next"

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def test_equal_response_that_nothing_follows_ends_as_one_that_may_have_run(tmp_path: Path) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        await learn_that_responses_differ(harness, client, backend)
        client.send(request("/credit/1", b"x", timeout=200, rid="next"))
        await backend.message()
        backend.send(answer(b"for learn-%d" % (MIN_DISTINCT_RESPONSE_COUNT - 1)))
        assert await client.status() in (502, 504)
        assert await backend.read_to_end() == b""
        assert not harness.node.upstream.response_history.are_distinct

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())


def test_second_copy_is_recognised_where_responses_began_to_repeat_meanwhile(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        client, backend = await serve_one(harness)
        await learn_that_responses_differ(harness, client, backend)
        client.send(request("/credit/1", b"x", rid="next"))
        await backend.message()
        harness.node.upstream.response_history.record_mistake()
        backend.send(answer(b"for learn-%d" % (MIN_DISTINCT_RESPONSE_COUNT - 1)))
        await harness.settle()
        backend.send(answer(b"for next"))
        assert (await client.message())[2] == b"for next"

    with race_harness(tmp_path) as harness:
        run_scenario(harness, scenario())
