"""A new process comes up at the address of a server that has gone, under load: nothing runs twice.

The list tells of it before the process comes up, or a good second after it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from random import Random

import pytest

from standins.ledger import End
from standins.platform import target
from standins.servers import Behaviour, TopupServer

from .world import World, world

SERVER_COUNT = 4
CALLER_COUNT = 20
REQUESTS_EACH = 60
LIST_DELAY_S = 1.2
WORK_S = 0.02


async def replace(created: World, number: int, told_first: bool, new_uid: bool) -> TopupServer:
    """End a server's process and start another one at its address, under its own or a new id."""
    old = created.servers[number]
    name = f"new-{number}" if new_uid else old.name
    new = TopupServer(name, created.ledger, Random(number), Behaviour(work_s=WORK_S))
    new.port = old.port
    boot_ms = int(time.time() * 1000)
    rows = [target(new.name, new.port, boot_ms=boot_ms)]
    if new_uid:
        rows.insert(0, target(old.name, old.port, "left"))
    old.kill()
    if told_first:
        created.registry.put(*rows)
        await asyncio.sleep(0.2)
    await new.start()
    if not told_first:
        await asyncio.sleep(LIST_DELAY_S)
        created.registry.put(*rows)
    return new


@pytest.mark.parametrize("told_first", [True, False], ids=["told_first", "told_late"])
@pytest.mark.parametrize("new_uid", [True, False], ids=["new_id", "same_id"])
def test_no_request_is_lost_or_run_twice_where_a_process_is_replaced_at_its_address(
    tmp_path: Path, told_first: bool, new_uid: bool
) -> None:
    async def main() -> None:
        behaviours = [Behaviour(work_s=WORK_S) for _ in range(SERVER_COUNT)]
        async with world(tmp_path, behaviours) as created:
            load = asyncio.create_task(created.run_callers(CALLER_COUNT, REQUESTS_EACH))
            await asyncio.sleep(0.3)
            for number in range(2):
                await replace(created, number, told_first, new_uid)
            await load
            assert created.ledger.problems(breaks=False) == []
            counts = created.ledger.counts()
            served = counts["balance", End.SERVED] + counts["credit", End.SERVED]
            assert served > 0.8 * CALLER_COUNT * REQUESTS_EACH

    asyncio.run(main())
