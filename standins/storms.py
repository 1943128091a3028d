"""Nodes in storms of resets, many times: `python -m standins.storms ROUNDS SECONDS SEED`.

Each round starts a node before servers that reset, end, hang and answer in halves, one that
refuses every dial, and a list that breaks as well; callers reset in every manner from its
first moment on. At the end of a round the node must live, its log must hold no exception, its
descriptors must be back where they were before anybody came, and every promise must have been
kept. The exit code is 0 where all of it held.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

from standins.callers import Caller, Manner
from standins.ledger import Ledger
from standins.platform import SETTINGS, roster, target
from standins.process import NodeProcess
from standins.registry import Mood, Registry
from standins.servers import Behaviour, Greeting, Reply, TopupServer

CALLERS = 40
SERVERS = 5
REST_S = 20.0  # for the descriptors: what hangs is given up within some seconds
MANNERS = {
    Manner.WAIT: 4.0,
    Manner.RESET: 2.0,
    Manner.RESET_SOON: 2.0,
    Manner.RESET_UNASKED: 2.0,
    Manner.HALF: 1.0,
    Manner.END: 1.0,
}
ROUGH = Behaviour(
    {Greeting.TAKE: 6.0, Greeting.RESET: 1.0, Greeting.END: 1.0},
    {
        Reply.ANSWER: 12.0,
        Reply.RESET_UNRUN: 2.0,
        Reply.RESET_RUN: 2.0,
        Reply.END_RUN: 1.0,
        Reply.HALF_RESET: 1.0,
        Reply.NOISE: 1.0,
        Reply.TWICE: 1.0,
    },
)
MOODS = {Mood.ANSWER: 6.0, Mood.RESET: 2.0, Mood.HALF: 1.0, Mood.ERROR: 1.0}
FAULTS = ("Traceback", " raised", "the loop:")


async def one_round(folder: Path, seconds: float, rng: Random) -> tuple[int, list[str]]:
    """Requests that were asked, and what was wrong."""
    ledger = Ledger()
    registry = Registry(Random(rng.random()), MOODS)
    servers = [TopupServer(f"s-{i}", ledger, Random(rng.random()), ROUGH) for i in range(SERVERS)]
    for server in servers:
        await server.start()
        registry.put(target(server.name, server.port))
    registry.put(target("refuses", 1))
    await registry.start()
    known = roster(*registry.rows.values())
    # Idle connections to sound servers are no leak: they must be gone within REST_S.
    limits = SETTINGS["limits"] | {"idle_close": 3_000_000_000}
    node = NodeProcess(
        folder,
        known,
        registry.port,
        limits={"sockets": 256, "memory_mb": 64},
        settings={"limits": limits},
    )
    wrong: list[str] = []
    try:
        await asyncio.to_thread(node.start)
        before = node.descriptors()
        end = asyncio.get_running_loop().time() + seconds

        async def ask(caller: Caller) -> None:
            while asyncio.get_running_loop().time() < end and node.alive():
                await caller.ask()
            caller.drop()

        await asyncio.gather(
            *(
                ask(Caller(f"c{i}", node.port, ledger, Random(rng.random()), MANNERS))
                for i in range(CALLERS)
            )
        )
        registry.moods = {Mood.HANG: 1.0}  # one call of the list stands, as at the start
        for _ in range(int(REST_S / 0.1)):
            if not node.alive() or node.descriptors() <= before + 1:
                break
            await asyncio.sleep(0.1)
        if not node.alive():
            wrong.append(f"the node died: {node.wait()}")
        elif node.descriptors() > before + 1:
            wrong.append(f"{node.descriptors()} descriptors at rest, {before} before")
        wrong += [line for line in node.text().splitlines() if any(f in line for f in FAULTS)]
        wrong += ledger.problems()
    finally:
        node.kill()
        registry.close()
        for server in servers:
            server.kill()
    return len(ledger.entries), wrong


def main() -> int:
    parser = argparse.ArgumentParser(prog="standins.storms", description=__doc__.split("\n")[0])
    parser.add_argument("rounds", type=int)
    parser.add_argument("seconds", type=float, help="of each round, 60 at most")
    parser.add_argument("seed", type=int)
    options = parser.parse_args()
    if not 0 < options.seconds <= 60 or not 0 < options.rounds <= 1000:
        parser.error("from 1 to 1000 rounds of up to 60 s")
    asked = bad = 0
    for number in range(options.rounds):
        rng = Random(1000 * options.seed + number)
        with tempfile.TemporaryDirectory(prefix="storm-") as folder:
            count, wrong = asyncio.run(one_round(Path(folder), options.seconds, rng))
        asked += count
        bad += bool(wrong)
        for text in wrong[:10]:
            print(f"round {number}: {text}", flush=True)
        print(f"\rround {number + 1}, {asked} requests, {bad} bad", end="", file=sys.stderr)
    print(f"\n{options.rounds} nodes, {asked} requests: {bad} rounds with anything wrong")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
