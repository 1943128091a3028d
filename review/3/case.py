"""A slow list service, one watch that falls silent, and a server that drains meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import (
    BROKEN,
    KEPT,
    Client,
    CouldNotRun,
    Node,
    Record,
    Registry,
    Server,
    keep_asking,
    main,
)

SLOW_S = 0.6  # each answer of the list service comes so late
CROWDED_S = 2.2  # and those after the silence so late
CALLS_BEFORE = 4  # calls that are answered before the silent one
GRACE_S = 2.0 + 0.05  # of a drain; limits are 50 ms longer on sockets
TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
WAIT_OVER_S = 2.0  # the older sentence: so long after a long poll's wait is over
LATE_S = 0.1  # this process may be late by so much


class SlowRegistry(Registry):
    """Answers late, and lets the watch of one call fall silent."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.slow = True
        self.silent_call = 0
        self.silent_since = 0.0
        self.hold_s = 0.0
        self.silent = asyncio.Event()

    async def watch_began(self, call: int, hold_s: float) -> None:
        if self.slow and call == self.silent_call:
            self.silent_since = self.record.now()
            self.hold_s = hold_s
            self.record.line(f"list call {call} falls silent, it may wait {hold_s} s")
            self.silent.set()
            await asyncio.sleep(60.0)

    async def before_answer(self, call: int) -> None:
        if self.slow:
            late_s = CROWDED_S if self.silent_since else SLOW_S
            self.record.line(f"list call {call} is worked through in {late_s} s")
            await asyncio.sleep(late_s)


async def case(folder: Path, record: Record, trouble: bool, nodes: list[Node]) -> int:
    servers = [Server(f"s-{i}", record) for i in range(6)]
    registry = SlowRegistry(record)
    registry.slow = trouble
    registry.silent_call = CALLS_BEFORE + 1
    await registry.start()
    for server in servers:
        await server.start()
        registry.put(server.target())
    node = Node(folder, record, registry.port, registry.document(None))
    nodes.append(node)
    await node.start()
    clients = [Client(f"c{i}", node.port, record) for i in range(8)]
    for i, client in enumerate(clients):
        task = keep_asking(client, "credit" if i % 2 else "balance", 2.0, 0.05)
        client.task = asyncio.create_task(task)
    if trouble:
        try:
            async with asyncio.timeout(60.0):
                await registry.silent.wait()
        except TimeoutError:
            raise CouldNotRun("the node made too few list calls") from None
    else:
        await asyncio.sleep(12.0)
    await asyncio.sleep(0.5)
    drained = servers[0]
    registry.put(drained.target("leaving"))
    changed_at = record.now()
    record.line(f"{drained.name} begins to drain")
    # By the latest of the pages' sentences, whichever of them holds: the wait of the silent watch
    # counted from the end of the time that the service took for such a call before.
    told_at = changed_at + TOLD_S
    lenient_at = told_at
    if trouble:
        wait_over = registry.silent_since + SLOW_S + registry.hold_s
        lenient_at = max(told_at, wait_over + WAIT_OVER_S)
    await asyncio.sleep(lenient_at + GRACE_S + 3.0 - record.now())
    for name, bound in (("6 s", told_at), ("the older sentence", lenient_at)):
        late = [got for got, _ in drained.got if got > bound + GRACE_S + LATE_S]
        record.say(
            f"{drained.name}: told by {name} at {bound:.2f}, sends end by {bound + GRACE_S:.2f}; "
            f"{len(late)} requests came later, the last at {max(late, default=0.0):.2f}"
        )
    others = sum(len(server.got) for server in servers[1:])
    if not others or not node.alive():
        raise CouldNotRun("no traffic reached the servers")
    bound = lenient_at + GRACE_S + LATE_S
    return BROKEN if any(got > bound for got, _ in drained.got) else KEPT


if __name__ == "__main__":
    sys.exit(main(__file__, case))
