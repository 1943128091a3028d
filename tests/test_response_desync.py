"""Responses that no request asked for reach no client; the nodes are real processes.

A few seeds run here; `python -m tests.test_response_desync 50` soaks as many as it is told.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from functools import partial
from multiprocessing import Pool
from pathlib import Path
from random import Random
from typing import Any

import pytest

from standins.callers import Caller
from standins.ledger import Ledger
from standins.platform import target
from standins.process import NodeProcess
from standins.registry import Registry
from standins.servers import Behaviour, Reply, TopupServer

NODE_COUNT = 2
SERVER_COUNT = 6
CALLERS_PER_NODE = 25
PLAY_S = 4.0
COPY_DELAY_S = (0.001, 0.04)
CROWD_SIZE = 60
EARLIEST_KILL_S = 3.7  # after SIGTERM: the longest deadline of the settings and 0.7 s
SOAK_PROCESS_COUNT = 4


Disturbance = Callable[[list[NodeProcess], Random], Awaitable[None]]


def play(
    folder: Path, behaviour: Behaviour, seed: int, disturb: Disturbance | None = None, **over: Any
) -> list[str]:
    """Keep nodes and servers busy for a while; returns the broken promises.

    `over` goes into the configuration of the nodes.
    """
    return asyncio.run(play_busy_fleet(folder, behaviour, seed, disturb, over))


async def play_busy_fleet(
    folder: Path,
    behaviour: Behaviour,
    seed: int,
    disturb: Disturbance | None,
    over: dict[str, Any],
) -> list[str]:
    ledger = Ledger()
    registry = Registry(Random(seed))
    servers = [
        TopupServer(f"s-{i}", ledger, Random(f"{seed}.{i}"), behaviour) for i in range(SERVER_COUNT)
    ]
    for server in servers:
        await server.start()
    registry.put(*(target(server.name, server.port) for server in servers))
    await registry.start()
    nodes: list[NodeProcess] = []
    try:
        for number in range(NODE_COUNT):
            nodes.append(await start_node(folder / f"n{number}", number, registry, over))
        ended = asyncio.Event()
        callers = [
            Caller(f"{seed}.{node.port}.{i}", node.port, ledger, Random(f"{seed}.{i}"))
            for node in nodes
            for i in range(CALLERS_PER_NODE)
        ]
        asking = [asyncio.create_task(ask_until(caller, ended)) for caller in callers]
        await asyncio.sleep(PLAY_S)
        if disturb is not None:
            await disturb(nodes, Random(seed))
        ended.set()
        await asyncio.gather(*asking)
        for node in nodes:
            assert await asyncio.to_thread(node.stop) == 0
    finally:
        for node in nodes:
            node.kill()
        registry.close()
        for server in servers:
            server.kill()
    assert sum(server.runs for server in servers) > 50 * PLAY_S, "the servers were used"
    return ledger.problems()


async def start_node(
    folder: Path, number: int, registry: Registry, over: dict[str, Any]
) -> NodeProcess:
    folder.mkdir()
    settings = {"balancers": NODE_COUNT, "me": number, "areas": ["east"]}
    node = NodeProcess(folder, registry.whole(), registry.port, settings=settings, **over)
    await asyncio.to_thread(node.start)
    return node


async def ask_until(caller: Caller, ended: asyncio.Event) -> None:
    while not ended.is_set():
        if await caller.ask() is None:
            await asyncio.sleep(0.01)
    caller.drop()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_second_copy_of_a_response_is_not_taken_for_the_response_to_the_next_request(
    tmp_path: Path, seed: int
) -> None:
    behaviour = Behaviour(
        replies={Reply.ANSWER: 0.7, Reply.COPY_LATE: 0.3},
        work_s=0.01,
        is_serial=True,
        queue_limit_s=0.03,
        copy_delay_s=COPY_DELAY_S,
    )
    assert play(tmp_path, behaviour, seed) == []


async def signal_in_series(nodes: list[NodeProcess], rng: Random) -> None:
    """Reload and restart a node, with a crowd of idle clients before it in some runs.

    Callers go on using their connections until the kill, which comes as early as it may.
    """
    node = nodes[0]
    crowd = [
        await asyncio.open_connection("127.0.0.1", node.port)
        for _ in range(rng.choice((0, 0, CROWD_SIZE)))
    ]
    for _ in range(3):
        assert node.process is not None
        node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1 * rng.random())
    node.term()
    node.term()
    await asyncio.sleep(EARLIEST_KILL_S)
    node.kill()
    for _, writer in crowd:
        writer.close()
    await asyncio.to_thread(node.start)
    await asyncio.sleep(1.0)


def soak(folder: Path, seed: int) -> list[str]:
    rng = Random(f"soak {seed}")
    replies = {
        Reply.ANSWER: 1.0,
        Reply.COPY_LATE: rng.uniform(0.05, 0.5),
        Reply.TWICE: rng.choice((0.0, 0.1)),
        Reply.NOISE: rng.choice((0.0, 0.03)),
        Reply.ERROR: rng.choice((0.0, 0.03)),
        Reply.RESET_RUN: rng.choice((0.0, 0.02)),
        Reply.HALF_RESET: rng.choice((0.0, 0.02)),
        Reply.SILENT: rng.choice((0.0, 0.005)),
    }
    behaviour = Behaviour(
        replies=replies,
        work_s=rng.uniform(0.004, 0.02),
        is_serial=True,
        queue_limit_s=rng.uniform(0.02, 0.1),
        copy_delay_s=(0.0, COPY_DELAY_S[1]),
    )
    return play(folder, behaviour, seed, signal_in_series)


def soak_in_temporary_folder(
    play_seed: Callable[[Path, int], list[str]], seed: int
) -> tuple[int, list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        return seed, play_seed(Path(folder), seed)


def run_soak(play_seed: Callable[[Path, int], list[str]], seed_count: int) -> None:
    """Play this many seeds, some at a time, and print the broken promises of each."""
    with Pool(SOAK_PROCESS_COUNT) as pool:
        plays = partial(soak_in_temporary_folder, play_seed)
        for seed, problems in pool.imap_unordered(plays, range(1, seed_count + 1)):
            print(seed, len(problems), problems[:5], flush=True)


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_breaks_in_a_soak_of_second_copies_and_signals(
    tmp_path: Path, seed: int
) -> None:
    assert soak(tmp_path, seed) == []


if __name__ == "__main__":
    run_soak(soak, int(sys.argv[1]))
