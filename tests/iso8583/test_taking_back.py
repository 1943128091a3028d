"""Reversals on sockets: what is owed reaches the original's server, over crashes, and once kept."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from standins.iso8583 import IsoTopup, Way
from tansywood.iso8583.codec import Message
from tansywood.iso8583.front import KEEP_MS, ORIGINAL_MS, STUCK_MS
from tansywood.iso8583.machine import APPROVED
from tansywood.iso8583.records import Row

from .world import Terminal, World, run, world


class Disk:
    """Records that last; the test says when, and whether."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.full = False
        self.held: list[Callable[[], None]] | None = None  # while it is slow
        self.calls = 0

    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        self.calls += 1

        def done() -> None:
            if not self.full:
                for kind, key, record in rows:
                    if record is None:
                        self.rows.pop((kind, key), None)
                    else:
                        self.rows[kind, key] = record
            if then is not None:
                then(not self.full)

        if self.held is None:
            done()
        else:
            self.held.append(done)

    def release(self) -> None:
        held, self.held = self.held or [], None
        for done in held:
            done()

    def kept(self) -> list[Row]:
        return [Row(kind, key, record) for (kind, key), record in self.rows.items()]

    def debts(self) -> int:
        return sum(kind == "debt" for kind, _ in self.rows)


class Clock:
    def __init__(self) -> None:
        self.ms = 1_764_590_400_000  # 2025-12-01 12:00:00 UTC

    def __call__(self) -> int:
        return self.ms


async def until(condition: Callable[[], object]) -> None:
    for _ in range(15_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("never came about")


def reversals(server: IsoTopup) -> list[Message]:
    return [m for m in server.seen if m.mti[1] == "4"]


def credits(server: IsoTopup) -> list[Message]:
    return [m for m in server.seen if m.mti[1] == "2"]


async def code(terminal: Terminal, message: Message) -> str:
    return str((await terminal.ask(message)).fields[39])


async def booked(w: World, terminal: Terminal) -> Message:
    """A credit that was approved."""
    original = terminal.message()
    assert await code(terminal, original) == APPROVED
    return original


def test_a_booked_credits_reversal_reaches_its_server_under_the_number_that_one_knows() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, None, records=disk) as w:
            terminal = await w.terminal()
            for _ in range(5):
                original = await booked(w, terminal)
                assert await code(terminal, terminal.reversal(original)) == APPROVED
                (server,) = (s for s in w.servers if credits(s))
                await until(lambda server=server: reversals(server))  # type: ignore[misc]
                (taken,) = reversals(server)
                (sent,) = credits(server)
                elements = str(taken.fields[90])
                assert elements[4:10] == sent.fields[11] and elements[10:20] == original.fields[7]
                assert not any(reversals(s) for s in w.servers if s is not server)
                await until(lambda: not disk.debts())
                for each in w.servers:
                    each.seen.clear()

    run(main())


def test_a_reversal_that_is_said_again_is_owed_once() -> None:
    async def main() -> None:
        async with world(None, records=Disk()) as w:
            terminal = await w.terminal()
            original = await booked(w, terminal)
            reversal = terminal.reversal(original)
            for mti in ("0400", "0401", "0401"):
                assert await code(terminal, Message(mti, reversal.fields)) == APPROVED
            await until(lambda: not w.front.reversals.owed)
            assert len(reversals(w.servers[0])) == 1

    run(main())


def test_a_declined_credit_owes_nothing() -> None:
    async def main() -> None:
        async with world({Way.DECLINE: 1.0}, records=Disk()) as w:
            terminal = await w.terminal()
            original = terminal.message()
            assert await code(terminal, original) == "51"
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            assert not w.front.reversals.owed and not reversals(w.servers[0])

    run(main())


@pytest.mark.parametrize("crash", [False, True], ids=["at once", "after a restart"])
def test_an_original_that_its_reversal_has_overtaken_is_never_sent(crash: bool) -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            terminal = await w.terminal()
            original = terminal.message()
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            if not crash:
                assert await code(terminal, original) == "91"
                assert not credits(w.servers[0])
                return
            async with world(records=disk, rows=disk.kept(), servers=w.servers) as again:
                late = await again.terminal()
                assert await code(late, original) == "91"
                assert not credits(w.servers[0])

    run(main())


def test_an_original_that_waits_for_its_server_to_sign_on_is_given_up() -> None:
    """The attempt waits behind the sign-on: what is reversed by then must not leave."""

    async def main() -> None:
        async with world(None, records=Disk()) as w:
            server = w.servers[0]
            server.hangs = True
            terminal = await w.terminal()
            original = terminal.message()
            answer = terminal.write(original)
            await until(lambda: w.front.open and w.node.upstream.descriptor_count)
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            assert (await answer).fields[39] == "91"
            server.wake()
            await booked(w, terminal)  # the connection is good
            (other,) = credits(server)
            assert other.fields[7] != original.fields[7] and not reversals(server)

    run(main())


def test_a_reversal_of_what_is_out_is_owed_when_it_is_in_doubt() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            server = w.servers[0]
            server.script.extend([Way.SILENT])
            terminal = await w.terminal()
            original = terminal.message()
            answer = terminal.write(original)
            await until(lambda: credits(server))
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            assert disk.debts() == 1 and not reversals(server)  # its outcome is not known yet
            for conn in list(server.conns):
                conn.reset()
            assert (await answer).fields[39] == "68"
            w.front.sweep()
            await until(lambda: len(reversals(server)) == 1 and not disk.debts())
            assert len(credits(server)) == 1

    run(main())


def test_a_terminal_is_told_of_a_debt_only_when_it_is_on_the_disk() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            terminal = await w.terminal()
            original = await booked(w, terminal)
            disk.held = []
            answer = terminal.write(terminal.reversal(original))
            await until(lambda: disk.held)
            echo = Message("0800", {7: "0000000001", 11: "777777", 70: "301"})
            assert await code(terminal, echo) == APPROVED  # what came later is answered first
            assert not answer.done() and not reversals(w.servers[0])
            disk.release()
            assert (await answer).fields[39] == APPROVED

    run(main())


def test_a_credit_leaves_only_when_what_is_known_of_it_is_on_the_disk() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            terminal = await w.terminal()
            await booked(w, terminal)  # the connection is there
            disk.held = []
            answer = terminal.write(terminal.message())
            await until(lambda: disk.held)
            assert await code(terminal, terminal.message("balance")) == APPROVED
            assert len(credits(w.servers[0])) == 2  # the first, and the balance
            disk.release()
            assert (await answer).fields[39] == APPROVED

    run(main())


def test_balances_write_nothing() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            terminal = await w.terminal()
            for _ in range(5):
                assert await code(terminal, terminal.message("balance")) == APPROVED
            assert not disk.calls

    run(main())


def test_where_nothing_can_be_kept_a_credit_is_refused_and_a_reversal_is_not_taken() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            terminal = await w.terminal()
            original = await booked(w, terminal)
            disk.full = True
            assert await code(terminal, terminal.message()) == "91"
            assert await code(terminal, terminal.reversal(original)) == "68"
            assert len(credits(w.servers[0])) == 1 and not w.front.reversals.owed
            disk.full = False
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            await until(lambda: len(reversals(w.servers[0])) == 1)

    run(main())


def test_after_a_crash_a_credit_that_was_out_is_in_doubt_and_its_reversal_is_owed() -> None:
    """Not sent again under its repeat, and not approved as one that never came."""

    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            server = w.servers[0]
            server.script.append(Way.SILENT)
            terminal = await w.terminal()
            original = terminal.message()
            terminal.write(original)
            await until(lambda: credits(server))
            kept = disk.kept()  # what a crash at this moment leaves
            async with world(records=disk, rows=kept, servers=w.servers) as again:
                late = await again.terminal()
                assert await code(late, Message("0201", original.fields)) == "68"
                late.stan = 100
                assert await code(late, late.reversal(original)) == APPROVED
                await until(lambda: len(reversals(server)) == 1)
                assert len(credits(server)) == 1
                # And what is owed outlasts a crash, too.
                taken = str(reversals(server)[0].fields[90])
                assert taken[4:10] == credits(server)[0].fields[11]

    run(main())


def test_what_is_owed_outlasts_a_crash() -> None:
    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            server = w.servers[0]
            terminal = await w.terminal()
            original = await booked(w, terminal)
            server.script.extend([Way.SILENT] * 9)
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            await until(lambda: reversals(server))
            kept = disk.kept()
            server.script.clear()
            server.seen.clear()
            async with world(records=disk, rows=kept, servers=w.servers) as again:
                assert again.front.reversals.owed == 1
                again.front.sweep()
                await until(lambda: reversals(server) and not again.front.reversals.owed)

    run(main())


def test_a_server_that_turns_a_reversal_away_gets_it_again_later() -> None:
    async def main() -> None:
        disk, clock = Disk(), Clock()
        async with world(None, records=disk, now_ms=clock) as w:
            server = w.servers[0]
            terminal = await w.terminal()
            original = await booked(w, terminal)
            server.script.extend([Way.FULL, Way.RESET_UNRUN, Way.ERROR])
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            for n in range(1, 4):
                await until(lambda n=n: len(reversals(server)) == n and not w.front.paying)  # type: ignore[misc]
                assert disk.debts() == 1
                w.front.sweep()
                assert len(reversals(server)) == n  # not before its time
                clock.ms += 60_000
                w.front.sweep()
            await until(lambda: len(reversals(server)) == 4 and not disk.debts())

    run(main())


def test_a_server_that_drains_or_is_banned_gets_no_reversal_until_it_is_back() -> None:
    async def main() -> None:
        disk, clock = Disk(), Clock()
        async with world(None, records=disk, now_ms=clock) as w:
            server = w.servers[0]
            terminal = await w.terminal()
            original = await booked(w, terminal)
            (backend,) = w.node.balancer.backends
            w.node.exclude(backend)
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            clock.ms += STUCK_MS
            w.front.sweep()
            assert not w.node.upstream.descriptor_count  # nobody dials it
            assert not reversals(server) and any("owed" in line for line in w.logged)
            w.node.include(backend)
            clock.ms += 60_000
            w.front.sweep()
            await until(lambda: len(reversals(server)) == 1 and not disk.debts())

    run(main())


def test_a_debt_that_was_taken_outlasts_a_repeat_that_can_not_be_kept() -> None:
    """The disk fills between a reversal and its repeat: what was approved is still owed."""

    async def main() -> None:
        disk, clock = Disk(), Clock()
        async with world(None, records=disk, now_ms=clock) as w:
            server = w.servers[0]
            terminal = await w.terminal()
            original = await booked(w, terminal)
            server.script.append(Way.FULL)
            reversal = terminal.reversal(original)
            assert await code(terminal, reversal) == APPROVED
            await until(lambda: reversals(server) and not w.front.paying)
            disk.full = True
            assert await code(terminal, Message("0401", reversal.fields)) == "68"
            assert w.front.reversals.owed == 1
            clock.ms += 60_000
            w.front.sweep()
            await until(lambda: len(reversals(server)) == 2)

    run(main())


def test_a_reversal_that_could_not_be_kept_costs_its_original_no_answer() -> None:
    """It came while the original was out; that one is declined then."""

    async def main() -> None:
        disk = Disk()
        async with world(None, records=disk) as w:
            server = w.servers[0]
            server.work_s = 0.3
            server.script.append(Way.DECLINE)
            terminal = await w.terminal()
            original = terminal.message()
            answer = terminal.write(original)
            await until(lambda: credits(server))
            disk.full = True
            assert await code(terminal, terminal.reversal(original)) == "68"
            assert not answer.done()
            assert (await asyncio.wait_for(answer, 15)).fields[39] == "51"

    run(main())


def test_a_repeat_that_comes_later_than_its_answer_is_kept_is_no_second_credit() -> None:
    async def main() -> None:
        clock = Clock()
        async with world(None, records=Disk(), now_ms=clock) as w:
            terminal = await w.terminal()
            original = await booked(w, terminal)
            repeat = Message("0201", original.fields)
            assert await code(terminal, repeat) == APPROVED
            clock.ms += KEEP_MS + 1
            w.front.sweep()
            assert await code(terminal, repeat) == "68"
            assert len(credits(w.servers[0])) == 1
            # What it means to take it back has not changed.
            assert await code(terminal, terminal.reversal(original)) == APPROVED
            await until(lambda: len(reversals(w.servers[0])) == 1)

    run(main())


def test_a_reversal_of_what_may_be_forgotten_by_now_is_not_taken() -> None:
    async def main() -> None:
        clock = Clock()
        async with world(None, records=Disk(), now_ms=clock) as w:
            terminal = await w.terminal()
            original = terminal.message()
            for at, expected in (("1201115900", APPROVED), ("1201105959", "68")):
                fields = original.fields | {7: at}
                assert await code(terminal, terminal.reversal(Message("0200", fields))) == expected
            assert ORIGINAL_MS == 3_600_000

    run(main())


# ---- every sum agrees in the end --------------------------------------------------------


class Mortal(Disk):
    """Its process dies at the n-th write: nothing is kept or told from there on."""

    def __init__(self, dies_at: int) -> None:
        super().__init__()
        self.dies_at = dies_at
        self.dies: Callable[[], None] = lambda: None

    def keep(self, rows: list[Row], then: Callable[[bool], None] | None = None) -> None:
        if self.calls >= self.dies_at:
            self.calls += 1
            self.dies()
            return
        super().keep(rows, then)


async def insists(terminal: Terminal, message: Message, died: asyncio.Event) -> str:
    """The answer's code, "" where the process died before it: no clock decides which."""
    answer = asyncio.ensure_future(terminal.ask(message))
    death = asyncio.ensure_future(died.wait())
    await asyncio.wait((answer, death), return_when=asyncio.FIRST_COMPLETED)
    death.cancel()
    if answer.done():
        return str(answer.result().fields[39])
    answer.cancel()
    return ""


@pytest.mark.parametrize("takes_back", [False, True], ids=["credit", "credit and reversal"])
@pytest.mark.parametrize("way", [Way.ANSWER, Way.DECLINE, Way.RESET_RUN, Way.RESET_UNRUN])
def test_every_sum_agrees_wherever_the_process_dies(way: Way, takes_back: bool) -> None:
    """At each write in turn. In the end a credit stands once, and only where the till has it."""

    async def story(dies_at: int) -> bool:
        """Whether it died."""
        disk = Mortal(dies_at)
        async with world(None, records=disk) as w:
            server = w.servers[0]
            server.script.append(way)
            died = asyncio.Event()

            def dies() -> None:
                died.set()
                w.front.close()
                for conn in list(w.front.connections):
                    if conn.transport is not None:
                        conn.transport.abort()
                w.node.upstream.close()

            disk.dies = dies
            terminal = await w.terminal()
            original = terminal.message()
            asked = await insists(terminal, original, died)
            back = terminal.reversal(original)
            if takes_back and not died.is_set():
                asked = await insists(terminal, back, died)
            done = asked == APPROVED and not died.is_set()
            rest, alive = Disk(), asyncio.Event()
            rest.rows = dict(disk.rows)
            async with world(records=rest, rows=rest.kept(), servers=w.servers) as again:
                late = await again.terminal()
                late.stan = 100
                if not done and not takes_back:
                    asked = await insists(late, Message("0201", original.fields), alive)
                if takes_back or asked == "68":
                    # It has no answer to rely on, or wants it undone: it takes it back.
                    while await insists(late, Message("0401", back.fields), alive) != APPROVED:
                        pass
                again.front.sweep()
                await until(lambda: not again.front.reversals.owed)
                booked_ = server.booked
                undone = {str(m.fields[90])[4:10] for m in reversals(server)}
                stands = [stan for stan in booked_ if stan not in undone]
                assert len(stands) <= 1
                kept_by_till = not takes_back and asked == APPROVED
                assert bool(stands) == kept_by_till, (dies_at, asked, booked_, undone)
        return died.is_set()

    async def main() -> None:
        dies_at = 0
        while await story(dies_at):
            dies_at += 1
        assert dies_at >= 2

    run(main())
