"""Both protocols on one loop: matching requests under the same scripted faults end alike."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from flinthatch.balancer import RETRY_BUDGET_BURST_COUNT
from standins.callers import Caller
from standins.iso8583 import Way, request_id
from standins.ledger import End, Ledger
from standins.platform import config, roster, target
from standins.servers import Behaviour, Reply, TopupServer
from windrelay.config import load
from windrelay.http_node import HttpNode
from windrelay.server import Server

from .world import run, settings, world

# The same fault in both words.
SAME = {
    Way.ANSWER: Reply.ANSWER,
    Way.ERROR: Reply.ERROR,
    Way.FULL: Reply.FULL,
    Way.RESET_UNRUN: Reply.RESET_UNRUN,
    Way.RESET_RUN: Reply.RESET_RUN,
    Way.HALF_RESET: Reply.HALF_RESET,
    Way.TWICE: Reply.TWICE,
}
SERVERS = 3


class HttpWorld:
    """The HTTP node in the same loop, under the same settings and seed."""

    def __init__(self, folder: Path, script: deque[Reply]) -> None:
        self.folder = folder
        self.ledger = Ledger()
        behaviour = Behaviour(reply_script=script, work_s=0.001)
        self.servers = [
            TopupServer(f"s-{i}", self.ledger, Random(i), behaviour) for i in range(SERVERS)
        ]

    async def start(self) -> None:
        for server in self.servers:
            await server.start()
        known = roster(*(target(s.name, s.port) for s in self.servers))
        told = load(config(self.folder, known, 1))
        self.node = HttpNode(replace(told, settings=settings(), seed=7), asyncio.get_running_loop())
        self.node.log = lambda text: None  # type: ignore[method-assign]
        self.server = Server(self.node)
        self.node.start()
        self.port = self.server.listen(told.listen)
        self.caller = Caller("h", self.port, self.ledger, Random(1), timeout_ms=24_000)

    def attempts(self) -> int:
        return sum(s.requests for s in self.servers)

    async def close(self) -> None:
        self.caller.drop()
        self.server.stop_accepting()
        for conn in list(self.server.connections):
            conn.close()
        while self.node.upstream.close_oldest_idle():
            pass
        if self.node.loop_timer is not None:
            self.node.loop_timer.cancel()
        for server in self.servers:
            server.kill()
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("seed", range(8))
def test_matching_requests_end_alike_attempt_by_attempt(tmp_path: Path, seed: int) -> None:
    rng = Random(seed)
    ways = list(SAME)

    async def main() -> None:
        async with world(*[None] * SERVERS, seed=seed) as w:
            iso_script: deque[Way] = deque()
            http_script: deque[Reply] = deque()
            for server in w.servers:
                server.script = iso_script
                server.work_s = 0.001
            http = HttpWorld(tmp_path, http_script)
            await http.start()
            terminal = await w.terminal()
            for n in range(40):
                kind = rng.choice(("balance", "credit"))
                faults = rng.choices(ways, [4, 1, 2, 1, 1, 1, 1], k=6)
                iso_script.clear()
                http_script.clear()
                iso_script.extend(faults)
                http_script.extend(SAME[way] for way in faults)
                # What a repeat costs of the budget goes by how long the attempt took: that is
                # the machine's, so both begin each pair with all of it.
                for node in (w.node, http.node):
                    node.balancer.retry_budget = RETRY_BUDGET_BURST_COUNT
                before = sum(len(s.seen) for s in w.servers), http.attempts()
                message = terminal.message(kind, n + 1)
                iso_end = await w.ask(terminal, message)
                http_end = await http.caller.ask(kind)
                after = sum(len(s.seen) for s in w.servers), http.attempts()
                tried = after[0] - before[0], after[1] - before[1]
                told = f"{n} {kind} {faults}: ISO {iso_end} {tried[0]}, HTTP {http_end} {tried[1]}"
                assert iso_end == http_end and tried[0] == tried[1], told
                ran = w.ledger.entries[request_id(message)].ran
                assert len(ran) == len(http.ledger.entries[f"h-{n + 1}"].ran), told
                if kind == "credit":
                    assert len(ran) <= 1
            assert not w.ledger.problems(breaks=False)
            assert not http.ledger.problems(breaks=False)
            assert not http.node.unexpected_error_count
            await http.close()

    run(main())


@pytest.mark.parametrize("seed", range(2))
def test_a_crowd_of_both_on_one_loop_keeps_every_promise(tmp_path: Path, seed: int) -> None:
    async def main() -> None:
        rough = {Way.ANSWER: 8.0, Way.FULL: 1.0, Way.RESET_RUN: 0.3, Way.ERROR: 0.3}
        async with world(rough, rough, rough, seed=seed) as w:
            http = HttpWorld(tmp_path, deque())
            for server in http.servers:
                server.behaviour = Behaviour(
                    replies={SAME[way]: weight for way, weight in rough.items()}, work_s=0.001
                )
            await http.start()

            async def terminal(i: int) -> int:
                one = await w.terminal(f"T{i:07d}")
                ends = [await w.ask(one, one.message("credit", n + 1)) for n in range(30)]
                return sum(end == End.SERVED for end in ends)

            async def caller(i: int) -> int:
                one = Caller(f"h{i}", http.port, http.ledger, Random(i), timeout_ms=24_000)
                ends = [await one.ask("credit") for _ in range(30)]
                one.drop()
                return sum(end == End.SERVED for end in ends)

            served = await asyncio.gather(
                *(terminal(i) for i in range(8)), *(caller(i) for i in range(8))
            )
            assert min(served) > 10
            assert not w.ledger.problems(breaks=False) and not http.ledger.problems()
            await http.close()

    run(main())
