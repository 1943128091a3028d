"""What a node logs of rejected clients and of its memory."""

from __future__ import annotations

from windrelay.rejection_log import (
    MAX_REASONS,
    ClientCloseReason,
    ReasonCounts,
    RejectionLog,
)
from windrelay.resource_log import INTERVAL_NS, SHORT_INTERVAL_NS, ResourceLog, ResourceUse


def use(resident_mb: int) -> ResourceUse:
    return ResourceUse(resident_mb << 20, 32 << 20, 1 << 10, 4 << 20, 10, 5, 900)


def test_each_reason_of_a_rejection_is_counted_and_not_only_the_last() -> None:
    log = RejectionLog()
    for status, reason in ((408, "not whole"), (405, ""), (408, "not whole"), (400, "bad: b'x'")):
        log.record(status, reason)
    assert log.take_line() == "4 clients turned away: 2 408 not whole; 1 405; 1 400 bad"
    assert log.take_line() == ""


def test_reasons_that_quote_clients_do_not_grow_the_log() -> None:
    log = RejectionLog()
    for i in range(10 * MAX_REASONS):
        log.record(400, f"name {i}")
    assert len(log.take_line().split(";")) == MAX_REASONS + 1


def test_memory_near_its_limit_is_logged_each_second_and_else_not() -> None:
    log = ResourceLog()
    assert log.take_line(0, use(16)) == ""
    assert "25 of 32 MB resident" in log.take_line(0, use(25))
    assert log.take_line(INTERVAL_NS - 1, use(31)) == ""
    assert log.take_line(INTERVAL_NS, use(31))
    assert log.take_line(INTERVAL_NS + SHORT_INTERVAL_NS, use(31))


def test_closed_client_connections_are_counted_by_reason() -> None:
    log = ReasonCounts("client connections closed")
    for reason in (ClientCloseReason.IDLE, ClientCloseReason.EVICTED_IDLE, ClientCloseReason.IDLE):
        log.count(reason)
    assert (
        log.take_line()
        == "3 client connections closed: 2 idle too long; 1 evicted between requests"
    )
