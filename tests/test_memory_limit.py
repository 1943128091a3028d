"""A node of 32 MB and 1,024 descriptors under crowds of clients that hold its memory.

A few crowds run here; `python -m tests.test_memory_limit 20` plays as many seeds as it is told.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random

import pytest

from standins.crowds import ClientKind, Crowd, start_sized_servers
from standins.memory import resident_mb
from standins.platform import roster, target
from standins.process import NodeProcess

from .test_response_desync import run_soak

LIMITS = {"memory_mb": 32, "sockets": 1024}  # the least memory that the pages name
SERVER_COUNT = 20
CLIENT_COUNT = 600
ROUND_S = 4.0
MIXED_ROUNDS = 4
SERVER_WORK_S = 0.1


def peak_mb(node: NodeProcess) -> float:
    """The most memory that the node's process has had resident."""
    return resident_mb(node.pid, "VmHWM")


async def play_crowds(folder: Path, rounds: Sequence[Sequence[ClientKind]]) -> float:
    """Play one crowd after another against a node; returns the peak of its memory in MB."""
    servers = await start_sized_servers(SERVER_COUNT, SERVER_WORK_S)
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    known = roster(*(target(f"s-{i}", port) for i, port in enumerate(ports)))
    node = NodeProcess(folder, known, 1, limits=LIMITS)
    try:
        await asyncio.to_thread(node.start)
        for kinds in rounds:
            await Crowd(node.port).run(kinds, CLIENT_COUNT // len(kinds), ROUND_S)
            assert node.alive(), node.text()
        return peak_mb(node)
    finally:
        node.kill()
        for server in servers:
            server.close()


@pytest.mark.parametrize("kind", ClientKind, ids=lambda kind: kind.name)
def test_hundreds_of_clients_of_one_kind_keep_the_node_under_its_memory_limit(
    tmp_path: Path, kind: ClientKind
) -> None:
    assert asyncio.run(play_crowds(tmp_path, [[kind]])) < LIMITS["memory_mb"]


def mixed_rounds(seed: int) -> list[list[ClientKind]]:
    """Six kinds of client at once in each of several rounds."""
    rng = Random(seed)
    kinds: list[ClientKind] = list(ClientKind)
    return [rng.sample(kinds, 6) for _ in range(MIXED_ROUNDS)]


@pytest.mark.parametrize("seed", [1, 2])
def test_mixed_clients_over_rounds_keep_the_node_under_its_memory_limit(
    tmp_path: Path, seed: int
) -> None:
    assert asyncio.run(play_crowds(tmp_path, mixed_rounds(seed))) < LIMITS["memory_mb"]


def soak(folder: Path, seed: int) -> list[str]:
    """Play twice as many rounds as the test; returns the peak where it is over the limit."""
    rounds = mixed_rounds(seed) + mixed_rounds(-seed)
    peak = asyncio.run(play_crowds(folder, rounds))
    return [f"{peak:.1f} MB"] if peak >= LIMITS["memory_mb"] else []


if __name__ == "__main__":
    run_soak(soak, int(sys.argv[1]))
