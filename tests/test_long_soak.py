"""Long exchanges of every kind at once, with signals in series, list changes and crowds.

A few seeds run here; `python -m tests.test_long_soak 50` soaks as many as it is told.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

import pytest

from standins.crowds import ClientKind, Crowd
from standins.long_exchanges import Exchange, Framing, Pace, Plan, content
from standins.memory import resident_mb

from .test_long_responses import ANSWER_SLACK_S, Stage, drain, stage
from .test_response_desync import EARLIEST_KILL_S, run_soak

LIMITS = {"memory_mb": 32, "sockets": 1024}
CLIENT_COUNT = 14
ASKING_S = 5.0  # until the node is told to end
CROWD_KINDS: list[ClientKind] = [
    ClientKind.SLOW_FIELDS,
    ClientKind.SLOW_BODY,
    ClientKind.HALF_HEAD,
    ClientKind.UNREAD,
    ClientKind.LEAVER,
]
CROWD_SIZE = 150
UNSOUND_END_S = 2.0  # from the first byte of a response that stops to its end, at the latest
SOUND_PAUSE_S = 1.4  # a longer one is this machine's, or of a server that the node does not read
LATE_S = 0.4  # of a machine that plays several seeds at once


@dataclass
class Asked:
    """One request of a client, and what became of it."""

    request_id: str
    name: str
    plan: Plan
    timeout_ms: int
    read_bytes_per_s: int  # of the client; 0 reads at once
    sent_at: float
    exchange: Exchange


def draw_plan(rng: Random, name: str) -> Plan:
    pace = rng.choices(
        [Pace.STEADY, Pace.LUMPS, Pace.FAST, Pace.LATE_BODY, Pace.HALF, Pace.TRICKLE],
        [4, 4, 2, 2, 1, 1],
    )[0]
    size = rng.randrange(1_000_000, 2_000_000) if pace == Pace.FAST else rng.randrange(500, 180_000)
    read_bytes_per_s = rng.choice((0, 0, 150_000, 400_000)) if name == "credit" else 0
    framings: list[Framing] = list(Framing)
    return Plan(rng.choice(framings), pace, size, read_bytes_per_s)


async def ask_on(on: Stage, number: int, rng: Random, until: float, asked: list[Asked]) -> None:
    """Send requests one after the other until this loop time."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < until:
        count += 1
        name = rng.choice(("balance", "credit"))
        plan = draw_plan(rng, name)
        timeout_ms = rng.choice((600, 750, 800, 1500, 2500))
        request_id = f"long-{number}-{count}"
        body = bytes(rng.choice((1, 20_000, 150_000))) if name == "credit" else None
        read_bytes_per_s = rng.choice((0, 0, 0, 80_000))
        client = on.client(read_bytes_per_s=read_bytes_per_s)
        sent_at = loop.time()
        try:
            exchange = await client.ask(name, plan, timeout_ms, body, request_id)
            if not exchange.status:
                # The node may close a connection from which it has read nothing: once more.
                exchange = await client.ask(name, plan, timeout_ms, body, request_id)
        except OSError:
            return  # the node no longer listens
        asked.append(Asked(request_id, name, plan, timeout_ms, read_bytes_per_s, sent_at, exchange))


def longest_pause_s(on: Stage, request_id: str) -> float:
    """The longest pause that a server made within its response to a request."""
    return max(server.longest_pause_s.get(request_id, 0.0) for server in on.servers)


def problem_of(one: Asked, stopped_at: float, paused_s: float) -> str:
    """The promise that an exchange broke, "" for none."""
    got = one.exchange
    stop_cuts = one.sent_at + got.ended_s > stopped_at + EARLIEST_KILL_S - 1.0
    if got.status == 0:
        return "" if one.sent_at > stopped_at else "closed with no answer"
    if got.status == 400:
        return "closed with no answer after it was read"  # the node knows its id
    if got.status != 200:
        in_time = got.ended_s < one.timeout_ms / 1000 + ANSWER_SLACK_S + LATE_S
        return "" if in_time else f"status {got.status} after {got.ended_s:.2f} s"
    if got.is_whole:
        return "" if got.body == content(one.plan.size) else "another body"
    if one.plan.pace.is_sound():
        if stop_cuts or paused_s > SOUND_PAUSE_S:
            return ""
        return f"cut after {got.ended_s:.2f} s, {len(got.body)} bytes, paused {paused_s:.2f} s"
    read_s = len(got.body) / one.read_bytes_per_s if one.read_bytes_per_s else 0.0
    stopped_s = got.began_s + read_s + UNSOUND_END_S
    end_s = max(one.timeout_ms / 1000, stopped_s) + ANSWER_SLACK_S + LATE_S
    return "" if got.ended_s < end_s else f"ended only after {got.ended_s:.2f} s"


def soak(folder: Path, seed: int) -> list[str]:
    """Play one seed; returns the broken promises."""
    return asyncio.run(play(folder, Random(f"long {seed}")))


async def play(folder: Path, rng: Random) -> list[str]:
    loop = asyncio.get_running_loop()
    buffers = rng.choice((0, 4096))
    async with stage(folder, buffers, limits=LIMITS) as on:
        asked: list[Asked] = []
        stop_asking_at = loop.time() + ASKING_S + 1.0
        asking = [
            asyncio.create_task(ask_on(on, i, Random(rng.random()), stop_asking_at, asked))
            for i in range(CLIENT_COUNT)
        ]
        crowd = asyncio.create_task(
            Crowd(on.node.port).run(
                rng.sample(CROWD_KINDS, 2), CROWD_SIZE * rng.randrange(2), ASKING_S
            )
        )
        await asyncio.sleep(1.0 + rng.random())
        if rng.random() < 0.5:
            await drain(on)
            await asyncio.sleep(rng.random())
            on.list_as("active")
        process = on.node.process
        assert process is not None
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1 * rng.random())
        await asyncio.sleep(max(stop_asking_at - 1.0 - loop.time(), 0))
        peak_mb = resident_mb(on.node.pid, "VmHWM")
        stopped_at = loop.time()
        on.node.term()
        on.node.term()
        await asyncio.sleep(EARLIEST_KILL_S)
        on.node.kill()
        await asyncio.gather(*asking, crowd)
        problems = [
            f"{one.request_id} {one.name} {one.timeout_ms} ms {one.plan}: {problem}"
            for one in asked
            if (problem := problem_of(one, stopped_at, longest_pause_s(on, one.request_id)))
        ]
        problems += [
            f"{one.request_id} ran {count} times"
            for one in asked
            if one.name == "credit"
            and (count := sum(server.runs.get(one.request_id, 0) for server in on.servers)) > 1
        ]
        if peak_mb >= LIMITS["memory_mb"]:
            problems.append(f"{peak_mb:.1f} MB")
        assert len(asked) > 2 * CLIENT_COUNT
        return problems


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_promise_breaks_in_a_soak_of_long_exchanges_signals_and_crowds(
    tmp_path: Path, seed: int
) -> None:
    assert soak(tmp_path, seed) == []


if __name__ == "__main__":
    run_soak(soak, int(sys.argv[1]))
