"""Deadlines by field 7, a time to come again, a server's terms, an echo that is not answered."""

from __future__ import annotations

from dataclasses import replace

import pytest

from standins.iso8583 import Way
from tansywood.iso8583.codec import Message
from tansywood.iso8583.machine import APPROVED
from tansywood.iso8583.mapping import when

from .test_taking_back import Clock, code, credits, until
from .world import MAPPING, run, world

NOW = 1_764_590_400_000  # 2025-12-01 12:00:00 UTC
BY_7 = replace(MAPPING, by_field_7=True)
LEAP = 1_709_164_800_000  # 2024-02-29


@pytest.mark.parametrize(
    ("field", "now", "ago_s"),
    [
        ("1201120000", NOW, 0),
        ("1201115959", NOW, 1),
        ("1201120030", NOW, -30),  # its clock is ahead
        ("1202115959", NOW, -86_399),
        ("1202120001", NOW, 364 * 86_400 - 1),  # more than a day ahead is last year's
        ("1231235959", NOW + 30 * 86_400_000 + 43_200_000, 1),  # over the turn of the year
        ("0101000000", NOW + 31 * 86_400_000 - 43_200_000 - 1000, -1),
        ("0229000000", LEAP, 0),
    ],
)
def test_a_field_7_means_the_latest_time_that_is_not_a_day_ahead(
    field: str, now: int, ago_s: int
) -> None:
    found = when(field, now)
    assert found is not None and (now - found) // 1000 == ago_s


@pytest.mark.parametrize("field", ["0000000001", "1301120000", "1131000000", "x" * 10, ""])
def test_a_field_7_that_is_no_time_means_nothing(field: str) -> None:
    assert when(field, NOW) is None
    assert BY_7.left_ms(Message("0200", {7: field}), 3000, NOW) == 3000


@pytest.mark.parametrize(
    ("field", "left"),
    [("1201120000", 3000), ("1201115959", 2999), ("1201115957", 999), ("1201115956", -1),
     ("1201120010", 3000)],
)  # fmt: skip
def test_a_deadline_counts_from_the_end_of_its_second(field: str, left: int) -> None:
    message = Message("0200", {7: field})
    assert BY_7.left_ms(message, 3000, NOW) == left
    assert MAPPING.left_ms(message, 3000, NOW) == 3000


def test_what_nobody_waits_for_any_more_is_refused_and_never_sent() -> None:
    async def main() -> None:
        clock = Clock()
        async with world(None, mapping=BY_7, now_ms=clock) as w:
            terminal = await w.terminal()
            late = terminal.message()
            late = Message("0200", late.fields | {7: "1201115930"})  # 30 s ago, 25 are allowed
            assert await code(terminal, late) == "91"
            fresh = Message("0200", terminal.message().fields | {7: "1201115945"})
            assert await code(terminal, fresh) == APPROVED
            (sent,) = credits(w.servers[0])
            assert sent.fields[7] == "1201115945"
            # It never ran: said again in time, it is tried anew.
            clock.ms -= 10_000
            assert await code(terminal, Message("0201", late.fields)) == APPROVED

    run(main())


def test_a_refusal_says_after_how_many_seconds_to_come_again_where_a_field_takes_it() -> None:
    async def main() -> None:
        for field, expected in ((48, "2"), (25, "02")):  # variable, and fixed of two digits
            async with world({Way.FULL: 1.0}, mapping=replace(MAPPING, retry_field=field)) as w:
                terminal = await w.terminal()
                answer = await terminal.ask(terminal.message())
                assert answer.fields[39] == "91" and answer.fields[field] == expected

    run(main())


def test_a_server_that_takes_so_many_at_a_time_on_a_connection_gets_no_more() -> None:
    async def main() -> None:
        async with world({Way.SILENT: 1.0}, link={"most": 1}) as w:
            server = w.servers[0]
            terminals = [await w.terminal(f"T{i:07d}") for i in range(6)]
            waiting = [t.write(t.message()) for t in terminals]
            await until(lambda: len(credits(server)) == 2)  # two connections at most
            assert server.accepted == 2 and len(w.node.requests) >= 2
            for conn in list(server.conns):
                conn.reset()
            server.ways = {Way.ANSWER: 1.0}
            codes = sorted([str((await one).fields[39]) for one in waiting])
            assert codes.count("68") == 2  # those that were out, each once
            assert len(credits(server)) == len({m.fields[41] for m in credits(server)})

    run(main())


def test_an_echo_that_is_not_answered_puts_what_is_out_in_doubt_and_judges_no_server() -> None:
    """Two credits outstanding on one connection: each ends once, at once, and is sent once."""

    async def main() -> None:
        clock = Clock()
        async with world({Way.SILENT: 1.0}, link={"now_ms": clock}) as w:
            server = w.servers[0]
            one, two = await w.terminal("TERM0001"), await w.terminal("TERM0002")
            answers = [one.write(one.message()), two.write(two.message())]
            await until(lambda: len(credits(server)) == 2)
            server.hangs = True
            clock.ms += 31_000
            w.node.upstream.sweep(0)  # quiet for long: an echo
            await until(lambda: server.holding)
            clock.ms += 6_000
            w.node.upstream.sweep(0)  # and no answer to it
            assert [str((await answer).fields[39]) for answer in answers] == ["68", "68"]
            assert len(credits(server)) == 2
            (backend,) = w.node.balancer.backends.values()
            assert not backend.ejected_until and backend.in_flight == 0
            server.hangs = False
            server.ways = {Way.ANSWER: 1.0}
            assert await code(one, one.message()) == APPROVED

    run(main())
