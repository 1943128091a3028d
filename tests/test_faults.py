"""Failing system calls: accept, connect, read, write and close fail, for a while or for good.

The node runs above a library that makes system calls fail and never reuses a descriptor number
(standins/faults). A second close, or the use of a connection that was given up, is recorded
there instead of hitting a foreign descriptor. The ledger checks what clients were promised.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from errno import (
    EADDRNOTAVAIL,
    EAGAIN,
    EBADF,
    ECONNABORTED,
    ECONNREFUSED,
    ECONNRESET,
    EHOSTUNREACH,
    EINTR,
    EIO,
    EMFILE,
    ENETUNREACH,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    EPIPE,
    EPROTO,
    ETIMEDOUT,
)
from pathlib import Path

import pytest

from standins.callers import Manner
from standins.faults import Fault, environment, told
from standins.ledger import End
from standins.registry import Mood
from standins.servers import Behaviour, Greeting, Reply

from .world import World, world

CASES = [
    *(
        ("accept4", error)
        for error in (
            ECONNABORTED,
            ECONNRESET,
            EMFILE,
            ENFILE,
            ENOBUFS,
            ENOMEM,
            EINTR,
            ETIMEDOUT,
            EAGAIN,
        )
    ),
    *(("socket", error) for error in (EMFILE, ENFILE, ENOBUFS)),
    *(
        ("connect", error)
        for error in (ECONNREFUSED, ENETUNREACH, EINTR, ENOBUFS, ETIMEDOUT, EAGAIN)
    ),
    *(("accept4", error) for error in (ENETUNREACH, EHOSTUNREACH, EPROTO)),
    *(("connect", error) for error in (EADDRNOTAVAIL, EHOSTUNREACH)),
    *(("so_error", error) for error in (ECONNREFUSED, ETIMEDOUT, ECONNRESET, EHOSTUNREACH)),
    *((call, EHOSTUNREACH) for call in ("read", "recv", "write")),
    *(("read", error) for error in (ECONNRESET, ETIMEDOUT, ENOBUFS, EPIPE, EINTR, EAGAIN)),
    *(("recv", error) for error in (ECONNRESET, EBADF, ENOBUFS)),
    *(("write", error) for error in (ECONNRESET, EPIPE, ENOBUFS, ETIMEDOUT, EINTR, EAGAIN)),
    *(("close", error) for error in (EIO, EINTR, ECONNRESET)),
]


async def assert_sound_and_stoppable(testbed: World, folder: Path, breaks: bool = True) -> None:
    """Check that the node runs, broke no promise, used no closed descriptor and stops cleanly."""
    assert testbed.node.alive(), testbed.node.text()
    assert testbed.ledger.problems(breaks) == []
    assert (
        await testbed.releases_descriptors()
    ), f"{testbed.node.descriptors()} descriptors are still open"
    assert told(folder / "faults.log").stale == ()
    assert (
        "Traceback" not in testbed.node.text() and "raised" not in testbed.node.text()
    ), testbed.node.text()
    testbed.node.term()
    assert await asyncio.to_thread(testbed.node.wait) == 0


@pytest.mark.parametrize(("call", "error"), CASES)
@pytest.mark.parametrize("times", [1, 7])
def test_a_system_call_that_fails_for_a_while_breaks_no_promise(
    tmp_path: Path, call: str, error: int, times: int
) -> None:
    async def main() -> None:
        plan = [Fault(call, error, after=3, times=times)]
        async with world(tmp_path, [Behaviour(), Behaviour()], plan) as testbed:
            await testbed.run_callers(6, 6)
            if call == "close":
                await testbed.releases_descriptors()
            fault_log = told(tmp_path / "faults.log")
            assert fault_log.faults, "the faulty system call was never made"
            if len(fault_log.faults) == times:
                # The faults are over, so new callers are served.
                await testbed.run_callers(2, 2)
                last_entries = list(testbed.ledger.entries.values())[-4:]
                assert [e.ends for e in last_entries] == [[End.SERVED]] * 4, testbed.node.text()
            await assert_sound_and_stoppable(testbed, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize("error", [EMFILE, ENOBUFS])
def test_accept_failing_for_good_leaves_open_connections_served(tmp_path: Path, error: int) -> None:
    async def main() -> None:
        plan = [Fault("accept4", error, after=4, times=0)]
        async with world(tmp_path, [Behaviour()], plan) as testbed:
            callers = [testbed.caller(f"c{i}") for i in range(3)]
            ends = [await caller.ask("balance") for caller in callers]
            # The node never accepts this connection.
            _, writer = await asyncio.open_connection("127.0.0.1", testbed.node.port)
            assert await testbed.becomes_true(lambda: bool(told(tmp_path / "faults.log").faults))
            for _ in range(3):
                ends += [await caller.ask() for caller in callers]
            assert ends == [End.SERVED] * 12
            writer.close()
            for caller in callers:
                caller.drop()
            await assert_sound_and_stoppable(testbed, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("call", "error"),
    [("socket", EMFILE), ("connect", ECONNREFUSED), ("connect", ENOBUFS), ("so_error", ETIMEDOUT)],
)
def test_requests_are_refused_and_none_runs_while_every_dial_fails(
    tmp_path: Path, call: str, error: int
) -> None:
    async def main() -> None:
        after = 2 if call == "socket" else 1  # the first socket is the listener
        plan = [Fault(call, error, after, times=0)]
        async with world(tmp_path, [Behaviour()] * 2, plan) as testbed:
            await testbed.run_callers(3, 4)
            ends = [e.ends for e in testbed.ledger.entries.values()]
            assert ends == [[End.REFUSED]] * 12, testbed.node.text()
            assert not any(e.ran for e in testbed.ledger.entries.values())
            await assert_sound_and_stoppable(testbed, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize(("call", "error"), [("read", ECONNRESET), ("write", EPIPE)])
def test_reads_or_writes_failing_for_good_end_connections_but_not_the_node(
    tmp_path: Path, call: str, error: int
) -> None:
    async def main() -> None:
        async with world(tmp_path, [Behaviour()], [Fault(call, error, times=0)]) as testbed:
            await testbed.run_callers(3, 4)
            assert {tuple(e.ends) for e in testbed.ledger.entries.values()} == {(End.BROKE,)}
            await assert_sound_and_stoppable(testbed, tmp_path)

    asyncio.run(main())


def test_the_fault_library_records_a_second_close(tmp_path: Path) -> None:
    """Without this record no test above could fail because of a second close."""
    program = (
        "import os, socket; s = socket.socket(); n = s.detach(); os.close(n)\n"
        "t = socket.socket(); assert t.fileno() > n\n"
        "try: os.close(n)\n"
        "except OSError as err: assert err.errno == 9"
    )
    log = tmp_path / "faults.log"
    environ = os.environ | environment(log, [])
    subprocess.run([sys.executable, "-c", program], env=environ, check=True)
    assert len(told(log).stale) == 1


# ---- random combinations of faults, drawn from a seed ---------------------------

GREETING_WEIGHTS = {Greeting.TAKE: 6.0, Greeting.RESET: 2.0, Greeting.END: 1.0, Greeting.HANG: 0.3}
REPLY_WEIGHTS = {
    Reply.ANSWER: 12.0,
    Reply.LATE: 0.5,
    Reply.ERROR: 1.0,
    Reply.FULL: 1.0,
    Reply.RESET_UNRUN: 2.0,
    Reply.RESET_RUN: 2.0,
    Reply.END_RUN: 1.0,
    Reply.HALF_RESET: 1.0,
    Reply.HALF_HANG: 0.5,
    Reply.NOISE: 0.5,
    Reply.TWICE: 0.5,
    Reply.SILENT: 0.3,
}
MANNER_WEIGHTS = {
    Manner.WAIT: 6.0,
    Manner.RESET: 1.0,
    Manner.RESET_SOON: 2.0,
    Manner.RESET_UNASKED: 2.0,
    Manner.HALF: 1.0,
    Manner.END: 1.0,
}
MOOD_WEIGHTS = {Mood.ANSWER: 2.0, Mood.RESET: 1.0, Mood.HALF: 1.0, Mood.NOISE: 1.0, Mood.ERROR: 1.0}


@pytest.mark.parametrize("seed", range(4))
def test_resets_by_clients_and_backends_break_no_promise(tmp_path: Path, seed: int) -> None:
    """Resets come from the node's start on; one backend dies and restarts in between."""

    async def main() -> None:
        behaviours = [Behaviour(GREETING_WEIGHTS, REPLY_WEIGHTS) for _ in range(5)]
        async with world(tmp_path, behaviours, [], seed=seed, moods=MOOD_WEIGHTS) as testbed:
            await testbed.run_callers(25, 8, MANNER_WEIGHTS, timeout_ms=600)
            testbed.servers[0].kill()
            await testbed.run_callers(25, 8, MANNER_WEIGHTS, timeout_ms=600)
            await testbed.servers[0].start()
            await testbed.run_callers(25, 8, MANNER_WEIGHTS, timeout_ms=600)
            await assert_sound_and_stoppable(testbed, tmp_path, breaks=False)

    asyncio.run(main())
