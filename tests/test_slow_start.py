"""The budget of a server in slow start, over the sum of all nodes; nodes are real processes."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from pathlib import Path
from random import Random

from flinthatch.slow_start import first_node_by_id
from standins.callers import Caller
from standins.ledger import Ledger
from standins.platform import target
from standins.process import NodeProcess
from standins.registry import Registry
from standins.servers import Behaviour, TopupServer
from windrelay.discovery import backend_id

NODE_COUNT = 24  # of the fleet; the busy ones get all of its traffic
BUSY_NODES = (0, 1, 2)
CALLERS_PER_NODE = 40
WARM_COUNT = 6
WARM_WORK_S = 0.02
SLOW_START_S = 8.0
START_FRACTION = 0.3
OVERLOAD_FACTOR = 3.0
WINDOW_S = 1.5
TRAFFIC_AFTER_START_S = 3.5
RULES = {
    "ask_within": 10_000_000_000,
    "drain_grace": 2_000_000_000,
    "cold": int(SLOW_START_S * 1e9),
    "cold_from": START_FRACTION,
    "fall": int(WINDOW_S * 1e9),
    "fall_multiple": OVERLOAD_FACTOR,
    "grace_to_answer": 20_000_000,
}


def budget(calls: float) -> float:
    """Calls in a window under which a server in slow start keeps up, `calls` being what it may
    get in the mean."""
    if calls < 30:
        return calls + 3 * math.sqrt(calls) + 3
    return calls + 2 * math.sqrt(calls) + 2


def worst_budget_use(arrived_at: list[float], started_at: float, rate_when_warm: float) -> float:
    """The calls in a window over the budget then, at its highest."""
    worst = 0.0
    first = 0
    for last, at in enumerate(arrived_at):
        while arrived_at[first] < at - WINDOW_S:
            first += 1
        age = (at - started_at) / SLOW_START_S
        warm = START_FRACTION + (1.0 - START_FRACTION) * min(max(age, 0.0), 1.0)
        allowed = budget(OVERLOAD_FACTOR * warm * rate_when_warm * WINDOW_S)
        worst = max(worst, (last - first + 1) / allowed)
    return worst


def name_dealt_first_to(node: int) -> str:
    """A server name whose first slots in slow start go to this node and those that follow it."""
    names = (f"s-cold{i}" for i in itertools.count())
    return next(name for name in names if first_node_by_id(backend_id(name), NODE_COUNT) == node)


async def start_server(name: str, work_s: float, ledger: Ledger) -> TopupServer:
    server = TopupServer(name, ledger, Random(name), Behaviour(work_s=work_s, is_serial=True))
    await server.start()
    return server


async def send_steadily(caller: Caller, until: float) -> None:
    while asyncio.get_running_loop().time() < until:
        await caller.ask("balance")
    caller.drop()


def start_node(number: int, folder: Path, registry: Registry) -> NodeProcess:
    home = folder / f"n{number}"
    home.mkdir()
    settings = {"balancers": NODE_COUNT, "me": number, "areas": ["east"], "rules": RULES}
    node = NodeProcess(home, registry.whole(), registry.port, settings=settings)
    node.start()
    return node


async def play_cold_server_among_busy_nodes(folder: Path) -> float:
    """Three nodes of a large fleet have all of its traffic, and a server starts; returns the worst
    use of the server's budget."""
    ledger = Ledger()
    registry = Registry(Random(1))
    loop = asyncio.get_running_loop()
    servers = [await start_server(f"s-{i}", WARM_WORK_S, ledger) for i in range(WARM_COUNT)]
    cold_name = name_dealt_first_to(BUSY_NODES[0])
    cold = await start_server(cold_name, WARM_WORK_S / 10, ledger)
    registry.put(*(target(s.name, s.port) for s in servers))
    await registry.start()
    nodes: list[NodeProcess] = []
    try:
        for number in BUSY_NODES:
            nodes.append(await asyncio.to_thread(start_node, number, folder, registry))
        until = loop.time() + 2.5 + TRAFFIC_AFTER_START_S
        senders = [
            asyncio.create_task(
                send_steadily(Caller(f"c{n.port}.{i}", n.port, ledger, Random(i)), until)
            )
            for n in nodes
            for i in range(CALLERS_PER_NODE)
        ]
        await asyncio.sleep(2.5)
        started_at = loop.time()
        registry.put(target(cold.name, cold.port, boot_ms=int(time.time() * 1000)))
        await asyncio.gather(*senders)
        for node in nodes:
            assert await asyncio.to_thread(node.stop) == 0
    finally:
        for node in nodes:
            node.kill()
        registry.close()
        for server in (*servers, cold):
            server.kill()
    used_s = cold.arrived_at[-1] - cold.arrived_at[0] if cold.arrived_at else 0.0
    assert used_s > WINDOW_S, "the budget of the server in slow start was put to the test"
    return worst_budget_use(cold.arrived_at, started_at, 1.0 / WARM_WORK_S)


def test_nodes_with_all_of_the_traffic_keep_the_budget_of_a_server_in_slow_start(
    tmp_path: Path,
) -> None:
    assert asyncio.run(play_cold_server_among_busy_nodes(tmp_path)) < 1.0
