"""One connection that sends small or unsound requests at full speed, beside sound callers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from standins.callers import Caller
from standins.ledger import End
from standins.platform import request
from standins.servers import Behaviour

from .test_memory_limit import LIMITS, peak_mb
from .world import world

PLAY_S = 1.5
CALLER_COUNT = 8
CLIENT_TIME_MS = 1500
PATIENCE_S = 2.0
SOUND_NAME = "sound"  # of callers, and the beginning of their request ids
NUMBERS = itertools.count()


def with_new_names() -> bytes:
    """A sound request under an id, a path, a tenant and a header that nobody has used."""
    number = next(NUMBERS)
    more = {f"X-New-{number}": "v" * 50, "X-Tenant-Id": f"tenant-{number}"}
    return request(f"/balance/{number}", rid=f"new-{number}-{'n' * 100}", more=more)


MESSAGES: dict[str, Callable[[], bytes]] = {
    "sound": lambda: request("/balance/7"),
    "unsafe": lambda: request("/credit/7", b"x"),
    "new_names": with_new_names,
    "probe": lambda: b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "unknown_class": lambda: request(f"/class-{next(NUMBERS)}/7"),
    "not_allowed": lambda: request("/balance/7", b"x"),
    "no_request": lambda: b"\0\1 nothing\r\n\r\n",
}


def send_at_full_speed(
    port: int, message: Callable[[], bytes], one_at_a_time: bool, ended: threading.Event
) -> None:
    """Send on one connection, and on another one as soon as the node has closed it."""
    while not ended.is_set():
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as client:
            client.settimeout(PATIENCE_S)
            while not ended.is_set():
                client.sendall(message())
                if one_at_a_time and not client.recv(1 << 16):
                    break


@pytest.mark.parametrize("kind", MESSAGES)
@pytest.mark.parametrize("one_at_a_time", [True, False], ids=["one_at_a_time", "back_to_back"])
def test_sound_callers_get_their_answers_in_time_beside_a_client_at_full_speed(
    tmp_path: Path, kind: str, one_at_a_time: bool
) -> None:
    async def ask_on(caller: Caller, until: float, times_s: list[float]) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            asked_at = loop.time()
            end = await caller.ask()
            if end in (End.SERVED, End.REFUSED, End.FAILED):
                times_s.append(loop.time() - asked_at)
        caller.drop()

    async def main() -> None:
        behaviours = [Behaviour(work_s=0.005) for _ in range(6)]
        async with world(tmp_path, behaviours, limits=LIMITS) as created:
            ended = threading.Event()
            arguments = (created.node.port, MESSAGES[kind], one_at_a_time, ended)
            flood = threading.Thread(target=send_at_full_speed, args=arguments)
            flood.start()
            until = asyncio.get_running_loop().time() + PLAY_S
            times_s: list[float] = []
            callers = [
                created.caller(f"{SOUND_NAME}-{i}", timeout_ms=CLIENT_TIME_MS)
                for i in range(CALLER_COUNT)
            ]
            await asyncio.gather(*(ask_on(caller, until, times_s) for caller in callers))
            ended.set()
            await asyncio.to_thread(flood.join)
            asked_for = {
                f"{caller.name}-{n + 1}" for caller in callers for n in range(caller.count)
            }
            problems = [
                found
                for found in created.ledger.problems(breaks=False)
                if found.split(" ")[0] in asked_for
            ]
            assert not problems
            assert times_s and max(times_s) < CLIENT_TIME_MS / 1000
            assert peak_mb(created.node) < LIMITS["memory_mb"]

    asyncio.run(main())
