"""Terminals and servers that speak ISO 8583, through the node, on loopback."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace

import pytest

from standins.iso8583 import Way, request_id
from standins.ledger import End
from standins.platform import roster, target
from tansywood.iso8583.codec import Message
from tansywood.iso8583.framing import frame

from .world import CODEC, FRAMING, TPDU, run, world

EVERY = {
    Way.ANSWER: 8.0,
    Way.DECLINE: 1.0,
    Way.ERROR: 0.5,
    Way.FULL: 1.0,
    Way.RESET_UNRUN: 0.4,
    Way.RESET_RUN: 0.4,
    Way.HALF_RESET: 0.4,
    Way.TWICE: 1.0,
    Way.STRAY: 1.0,
    Way.SPLIT: 1.0,
    Way.LATER: 2.0,
}


def test_a_credit_goes_out_and_its_answer_comes_back() -> None:
    async def main() -> None:
        async with world(None) as w:
            terminal = await w.terminal()
            on = await terminal.ask(Message("0800", {7: "1201113000", 11: "900001", 70: "001"}))
            assert on.fields[39] == "00"
            message = terminal.message()
            assert await w.ask(terminal, message) == End.SERVED
            (seen,) = w.servers[0].seen
            assert seen.fields[2] == message.fields[2] and seen.fields[11] != "900001"
            assert not w.ledger.problems(breaks=False)
            assert "4929" not in "".join(w.logged)

    run(main())


def test_many_are_open_on_one_connection_and_end_in_any_order() -> None:
    async def main() -> None:
        async with world({Way.ANSWER: 1.0, Way.LATER: 2.0}) as w:
            w.servers[0].work_s = 0.01
            terminal = await w.terminal()
            messages = [terminal.message(amount=n) for n in range(1, 61)]
            # Fifty in one segment, the rest byte by byte.
            assert terminal.writer is not None
            ends = await asyncio.gather(*(w.ask(terminal, m) for m in messages))
            assert ends == [End.SERVED] * 60 and not w.ledger.problems(breaks=False)
            assert w.servers[0].accepted <= 2

    run(main())


def test_a_message_in_one_byte_segments_is_one_message() -> None:
    async def main() -> None:
        async with world(None) as w:
            terminal = await w.terminal()
            message = terminal.message()
            data = frame(FRAMING, CODEC.encode(message), TPDU)
            assert terminal.writer is not None
            future = asyncio.get_running_loop().create_future()
            terminal.waiting["0210", "000001"] = future
            for byte in data:
                terminal.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await asyncio.wait_for(future, 10)).fields[39] == "00"

    run(main())


def test_a_connection_that_ends_after_reading_puts_all_in_doubt_once_and_judges_nobody_dead() -> (
    None
):
    async def main() -> None:
        async with world(None, None) as w:
            for server in w.servers:
                server.work_s = 5.0  # read, run, and not answered
            terminal = await w.terminal()
            asking = [
                asyncio.create_task(w.ask(terminal, terminal.message(amount=n)))
                for n in range(1, 9)
            ]
            while sum(len(s.seen) for s in w.servers) < min(8, w.node.balancer.total_slots):
                await asyncio.sleep(0.001)
            hit = max(w.servers, key=lambda s: len(s.seen))
            count = len(hit.seen)
            assert count >= 3
            for server in w.servers:
                server.work_s = 0.002
            for conn in list(hit.conns):
                conn.reset()
            doubtful = {request_id(m) for m in hit.seen[:count]}
            while sum(task.done() for task in asking) < count:
                await asyncio.sleep(0.001)
            for rid in doubtful:
                assert w.ledger.entries[rid].ends == [End.FAILED]
                assert len(w.ledger.entries[rid].ran) == 1
            backends = w.node.balancer.backends.values()
            assert not any(b.ejected_until for b in backends)
            for task in asking:
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)

    run(main())


@pytest.mark.parametrize(
    ("way", "kind", "end", "tries"),
    [
        (Way.FULL, "credit", End.SERVED, 2),  # it never ran: another attempt
        (Way.RESET_RUN, "credit", End.FAILED, 1),  # it may have run: none
        (Way.RESET_UNRUN, "credit", End.FAILED, 1),  # not known here either
        (Way.HALF_RESET, "credit", End.FAILED, 1),
        (Way.ERROR, "credit", End.FAILED, 1),
        (Way.DECLINE, "credit", End.SERVED, 1),  # an answer
        (Way.RESET_RUN, "balance", End.SERVED, 2),
        (Way.ERROR, "balance", End.SERVED, 2),
        (Way.STRAY, "credit", End.SERVED, 1),
        (Way.TWICE, "credit", End.SERVED, 1),
    ],
)
def test_each_way_a_server_may_fail_ends_as_it_does_by_http(
    way: Way, kind: str, end: End, tries: int
) -> None:
    async def main() -> None:
        async with world(None, None) as w:
            for server in w.servers:
                server.script.append(way)
            terminal = await w.terminal()
            assert await w.ask(terminal, terminal.message(kind)) == end
            await asyncio.sleep(0.01)
            # The second attempt goes to the other server, whose script has its turn then.
            assert 1 <= sum(len(s.seen) for s in w.servers) <= tries + 1
            if kind == "credit" and end == End.FAILED:
                assert sum(len(s.seen) for s in w.servers) == 1
            assert not w.ledger.problems(breaks=False)

    run(main())


@pytest.mark.parametrize("seed", range(4))
def test_a_storm_of_everything_breaks_no_promise(seed: int) -> None:
    async def main() -> None:
        async with world(EVERY, EVERY, EVERY, None, seed=seed) as w:

            async def one(name: str) -> Counter[End]:
                terminal = await w.terminal(name)
                ends: Counter[End] = Counter()
                for n in range(40):
                    kind = "credit" if n % 2 else "balance"
                    ends[await w.ask(terminal, terminal.message(kind, n + 1))] += 1
                return ends

            found = sum((await asyncio.gather(*(one(f"T{i:07d}") for i in range(12)))), Counter())
            assert not w.ledger.problems(breaks=False)
            assert sum(found.values()) == 480 and found[End.SERVED] > 200
            assert w.node.upstream.strays > 0

    run(main())


# ---- repeats ----


def again(message: Message) -> Message:
    return Message("0201", dict(message.fields))


def test_a_repeat_joins_the_open_one_and_after_it_gets_the_same_answer() -> None:
    async def main() -> None:
        async with world(None) as w:
            server = w.servers[0]
            server.work_s = 0.05
            terminal, other = await w.terminal(), await w.terminal()
            message = terminal.message()
            w.ledger.asked(request_id(message), "credit", True)
            first = terminal.write(message)
            while not server.seen:
                await asyncio.sleep(0.001)
            joined = other.write(again(message))
            answers = [await first, await joined]
            assert answers[0] == answers[1] and len(server.seen) == 1
            assert await other.ask(again(message)) == answers[0]
            changed = again(message)
            changed.fields[4] = "000000009999"
            assert (await other.ask(changed)).fields[39] == "94"
            assert len(server.seen) == 1 and len(terminal.answers) == 1

    run(main())


def test_a_credit_runs_once_though_the_wall_clock_is_set_an_hour_forward(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with world(None) as w:
            terminal = await w.terminal()
            message = terminal.message()
            w.ledger.asked(request_id(message), "credit", True)
            first = await terminal.ask(message)
            wall_clock = time.time_ns
            monkeypatch.setattr(time, "time_ns", lambda: wall_clock() + 3600 * 10**9)
            await asyncio.sleep(1.0)  # the front has looked for what it may forget
            assert await terminal.ask(again(message)) == first
            assert len(w.servers[0].seen) == 1

    run(main())


def test_a_terminal_that_hangs_up_finds_its_credits_answer_when_it_comes_back() -> None:
    async def main() -> None:
        async with world(None) as w:
            server = w.servers[0]
            server.work_s = 0.05
            terminal = await w.terminal()
            message = terminal.message()
            w.ledger.asked(request_id(message), "credit", True)
            terminal.write(message)
            while not server.seen:
                await asyncio.sleep(0.001)
            await terminal.close()
            back = await w.terminal()
            assert (await back.ask(again(message))).fields[39] == "00"
            assert len(server.seen) == 1

    run(main())


def test_what_was_refused_may_be_repeated_and_is_tried_anew() -> None:
    async def main() -> None:
        async with world(None) as w:
            terminal = await w.terminal()
            w.node.config = replace(w.node.config, max_open_requests=0)
            message = terminal.message()
            assert await w.ask(terminal, message) == End.REFUSED
            w.node.config = replace(w.node.config, max_open_requests=10)
            assert (await terminal.ask(again(message))).fields[39] == "00"
            assert len(w.servers[0].seen) == 1

    run(main())


# ---- the door ----


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff",
        b"\x00\x05" + b"x" * 5,
        frame(FRAMING, b"\0" * 40, TPDU),
        frame(FRAMING, b"0200" + b"\xff" * 40, TPDU),
        frame(FRAMING, CODEC.encode(Message("0200", {3: "910000"})) + b"x", TPDU),
    ],
)
def test_what_can_not_be_read_ends_its_connection_alone(data: bytes) -> None:
    async def main() -> None:
        async with world(None) as w:
            good = await w.terminal("GOOD0001")
            bad = await w.terminal("BAD00001")
            assert bad.writer is not None and bad.task is not None
            bad.writer.write(data)
            await asyncio.wait_for(bad.task, 10)
            assert w.front.unreadable == 1
            assert await w.ask(good, good.message()) == End.SERVED

    run(main())


def test_an_unknown_processing_code_is_told_so_and_a_flood_of_sign_ons_is_answered() -> None:
    async def main() -> None:
        async with world(None) as w:
            terminal = await w.terminal()
            odd = terminal.message()
            odd.fields[3] = "200000"
            assert (await terminal.ask(odd)).fields[39] == "12"
            on = [
                Message("0800", {7: "1201113000", 11: f"{n:06d}", 70: "001"})
                for n in range(100, 400)
            ]
            answers = await asyncio.gather(*(terminal.ask(m) for m in on))
            assert all(a.fields[39] == "00" for a in answers)
            assert await w.ask(terminal, terminal.message()) == End.SERVED

    run(main())


def test_a_server_that_drains_answers_what_it_has_on_its_connection() -> None:
    async def main() -> None:
        async with world(None, None) as w:
            for server in w.servers:
                server.work_s = 0.05
            terminal = await w.terminal()
            asking = [asyncio.create_task(w.ask(terminal, terminal.message())) for _ in range(6)]
            while sum(len(s.seen) for s in w.servers) < 6:
                await asyncio.sleep(0.001)
            first, second = w.servers
            rows = [target(first.name, first.port, "leaving"), target(second.name, second.port)]
            w.node.discovery.apply_list(roster(*rows, rev=2))
            assert await asyncio.gather(*asking) == [End.SERVED] * 6
            before = len(w.servers[0].seen)
            for _ in range(6):
                assert await w.ask(terminal, terminal.message()) == End.SERVED
            assert len(w.servers[0].seen) == before and not w.servers[0].conns
            assert not w.ledger.problems(breaks=False)

    run(main())


@pytest.mark.parametrize("link", [{"most": 1}], ids=["a connection for each"])
def test_answer_on_another_connection_of_its_server_serves_no_other_request(
    link: dict[str, int],
) -> None:
    async def main() -> None:
        async with world({Way.SILENT: 1.0}, link=link) as w:
            server = w.servers[0]
            terminal = await w.terminal()
            first, second = terminal.message(amount=100), terminal.message(amount=200)
            second.fields[7] = first.fields[7]  # in the same second
            for message in (first, second):
                w.ledger.asked(request_id(message), "credit", True)
            waiting = [terminal.write(message) for message in (first, second)]
            while len(server.seen) < 2:
                await asyncio.sleep(0.001)
            connections = list(server.conns)
            assert len(connections) == 2
            for message in server.seen:
                for connection in connections:
                    connection.write(connection.answer(message, "00"))
            answers = await asyncio.wait_for(asyncio.gather(*waiting), 15)
            assert [a.fields[4] for a in answers] == [first.fields[4], second.fields[4]]

    run(main())
