"""Each system call of accept, dial, read, write and close fails in turn, once and for good.

The node runs above a layer that fails its calls and never lets a number be used again
(standins/faults): a second close, or a look at a connection that was given up, is written
down there instead of hitting a stranger. The ledger checks every promise.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from errno import (
    EAGAIN,
    EBADF,
    ECONNABORTED,
    ECONNREFUSED,
    ECONNRESET,
    EINTR,
    EIO,
    EMFILE,
    ENETUNREACH,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    EPIPE,
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
        ("accept4", e)
        for e in (
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
    *(("socket", e) for e in (EMFILE, ENFILE, ENOBUFS)),
    *(("connect", e) for e in (ECONNREFUSED, ENETUNREACH, EINTR, ENOBUFS, ETIMEDOUT, EAGAIN)),
    *(("so_error", e) for e in (ECONNREFUSED, ETIMEDOUT, ECONNRESET)),
    *(("read", e) for e in (ECONNRESET, ETIMEDOUT, ENOBUFS, EPIPE, EINTR, EAGAIN)),
    *(("recv", e) for e in (ECONNRESET, EBADF, ENOBUFS)),
    *(("write", e) for e in (ECONNRESET, EPIPE, ENOBUFS, ETIMEDOUT, EINTR, EAGAIN)),
    *(("close", e) for e in (EIO, EINTR, ECONNRESET)),
]


async def alive_and_whole(w: World, folder: Path, breaks: bool = True) -> None:
    """What holds after whatever fault: alive, no promise broken, nothing stale, a clean stop."""
    assert w.node.alive(), w.node.text()
    assert w.ledger.problems(breaks) == []
    assert await w.releases_descriptors(), f"{w.node.descriptors()} descriptors"
    assert told(folder / "faults.log").stale == ()
    assert "Traceback" not in w.node.text() and "raised" not in w.node.text(), w.node.text()
    w.node.term()
    assert await asyncio.to_thread(w.node.wait) == 0


@pytest.mark.parametrize(("call", "error"), CASES)
@pytest.mark.parametrize("times", [1, 7])
def test_a_call_that_fails_for_a_while_breaks_no_promise(
    tmp_path: Path, call: str, error: int, times: int
) -> None:
    async def main() -> None:
        plan = [Fault(call, error, after=3, times=times)]
        async with world(tmp_path, [Behaviour(), Behaviour()], plan) as w:
            await w.run_callers(6, 6)
            if call == "close":
                await w.releases_descriptors()
            layer = told(tmp_path / "faults.log")
            assert layer.faults, "the fault was never met"
            if len(layer.faults) == times:
                # The faults are over: whoever comes now is served.
                await w.run_callers(2, 2)
                late = list(w.ledger.entries.values())[-4:]
                assert [e.ends for e in late] == [[End.SERVED]] * 4, w.node.text()
            await alive_and_whole(w, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize("error", [EMFILE, ENOBUFS])
def test_accept_that_fails_for_good_leaves_open_connections_served(
    tmp_path: Path, error: int
) -> None:
    async def main() -> None:
        plan = [Fault("accept4", error, after=4, times=0)]
        async with world(tmp_path, [Behaviour()], plan) as w:
            callers = [w.caller(f"c{i}") for i in range(3)]
            ends = [await caller.ask("balance") for caller in callers]
            _, writer = await asyncio.open_connection("127.0.0.1", w.node.port)  # never taken
            assert await w.becomes_true(lambda: bool(told(tmp_path / "faults.log").faults))
            for _ in range(3):
                ends += [await caller.ask() for caller in callers]
            assert ends == [End.SERVED] * 12
            writer.close()
            for caller in callers:
                caller.drop()
            await alive_and_whole(w, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("call", "error"),
    [("socket", EMFILE), ("connect", ECONNREFUSED), ("connect", ENOBUFS), ("so_error", ETIMEDOUT)],
)
def test_dials_that_fail_for_good_are_refused_and_nothing_runs(
    tmp_path: Path, call: str, error: int
) -> None:
    async def main() -> None:
        after = 2 if call == "socket" else 1  # the first is the listener's
        plan = [Fault(call, error, after, times=0)]
        async with world(tmp_path, [Behaviour()] * 2, plan) as w:
            await w.run_callers(3, 4)
            ends = [e.ends for e in w.ledger.entries.values()]
            assert ends == [[End.REFUSED]] * 12, w.node.text()
            assert not any(e.ran for e in w.ledger.entries.values())
            await alive_and_whole(w, tmp_path)

    asyncio.run(main())


@pytest.mark.parametrize(("call", "error"), [("read", ECONNRESET), ("write", EPIPE)])
def test_reads_or_writes_that_fail_for_good_end_connections_and_not_the_node(
    tmp_path: Path, call: str, error: int
) -> None:
    async def main() -> None:
        async with world(tmp_path, [Behaviour()], [Fault(call, error, times=0)]) as w:
            await w.run_callers(3, 4)
            assert {tuple(e.ends) for e in w.ledger.entries.values()} == {(End.BROKE,)}
            await alive_and_whole(w, tmp_path)

    asyncio.run(main())


def test_the_layer_tells_of_a_second_close(tmp_path: Path) -> None:
    """Without this no test above could fail for it."""
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


# ---- storms: everything at once, drawn from a seed ---------------------------

GREETINGS = {Greeting.TAKE: 6.0, Greeting.RESET: 2.0, Greeting.END: 1.0, Greeting.HANG: 0.3}
REPLIES = {
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
MANNERS = {
    Manner.WAIT: 6.0,
    Manner.RESET: 1.0,
    Manner.RESET_SOON: 2.0,
    Manner.RESET_UNASKED: 2.0,
    Manner.HALF: 1.0,
    Manner.END: 1.0,
}
MOODS = {Mood.ANSWER: 2.0, Mood.RESET: 1.0, Mood.HALF: 1.0, Mood.NOISE: 1.0, Mood.ERROR: 1.0}


@pytest.mark.parametrize("seed", range(4))
def test_a_storm_of_resets_from_both_sides_breaks_no_promise(tmp_path: Path, seed: int) -> None:
    """From the node's first moment on; one server dies and comes back in the middle."""

    async def main() -> None:
        behaviours = [Behaviour(GREETINGS, REPLIES) for _ in range(5)]
        async with world(tmp_path, behaviours, [], seed=seed, moods=MOODS) as w:
            await w.run_callers(25, 8, MANNERS, timeout_ms=600)
            w.servers[0].kill()
            await w.run_callers(25, 8, MANNERS, timeout_ms=600)
            await w.servers[0].start()
            await w.run_callers(25, 8, MANNERS, timeout_ms=600)
            await alive_and_whole(w, tmp_path, breaks=False)

    asyncio.run(main())
