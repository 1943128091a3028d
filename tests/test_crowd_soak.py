"""Crowds, slow servers and signals in series at nodes of the least memory: no promise breaks.

A few seeds run here; `python -m tests.test_crowd_soak 50` soaks as many as it is told.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from random import Random

import pytest

from standins.crowds import CROWD_ID_PREFIX, ClientKind, Crowd
from standins.process import NodeProcess
from standins.servers import Behaviour, Reply

from .test_memory_limit import LIMITS, peak_mb
from .test_response_desync import play, run_soak, signal_in_series

KINDS_AT_ONCE = 5
CLIENTS_EACH = 80
CROWD_S = 6.0  # through the signals and the node's next life


def soak(folder: Path, seed: int) -> list[str]:
    """Play one seed; returns the broken promises."""
    rng = Random(f"crowd {seed}")
    behaviour = Behaviour(
        replies={
            Reply.ANSWER: 1.0,
            Reply.LATE: rng.uniform(0.0, 0.1),
            Reply.LUMPS: rng.uniform(0.0, 0.2),
            Reply.HALF_HANG: rng.choice((0.0, 0.02)),
            Reply.RESET_RUN: rng.choice((0.0, 0.02)),
            Reply.SILENT: rng.choice((0.0, 0.005)),
        },
        work_s=rng.uniform(0.004, 0.02),
        late_s=rng.uniform(0.3, 0.9),
    )
    all_kinds: list[ClientKind] = list(ClientKind)
    kinds = rng.sample(all_kinds, KINDS_AT_ONCE)
    over_limit: list[str] = []

    async def disturb(nodes: list[NodeProcess], node_rng: Random) -> None:
        """Signal one node while crowds are at both; in some runs the crowd stays away."""
        crowded = nodes if node_rng.random() < 0.8 else []
        crowds = [
            asyncio.create_task(Crowd(node.port).run(kinds, CLIENTS_EACH, CROWD_S))
            for node in crowded
        ]
        await signal_in_series(nodes, node_rng)
        await asyncio.gather(*crowds)
        over_limit.extend(
            f"{node.folder.name} had {peak_mb(node):.1f} MB"
            for node in nodes
            if peak_mb(node) >= LIMITS["memory_mb"]
        )

    problems = play(folder, behaviour, seed, disturb, limits=LIMITS)
    # The ledger is not told what the crowd asks for.
    return [found for found in problems if not found.startswith(CROWD_ID_PREFIX)] + over_limit


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_promise_breaks_in_a_soak_of_crowds_slow_servers_and_signals(
    tmp_path: Path, seed: int
) -> None:
    assert soak(tmp_path, seed) == []


if __name__ == "__main__":
    run_soak(soak, int(sys.argv[1]))
