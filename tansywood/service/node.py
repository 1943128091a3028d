"""One node whose learnt server health lasts over its restarts: `tansywood node PATH`.

The node is windrelay's own, told by the same environment. What its module has learnt goes
into a store every few seconds and at a stop, and is recalled at a start. Without a readable
store it runs all the same, and remembers nothing.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from flinthatch import Balancer
from flinthatch.learned_state import export_learned_state, restore_learned_state
from tansywood.store import Batch, Store, StoreError
from tansywood.store.aio import AsyncStore
from windrelay.__main__ import Run
from windrelay.__main__ import main as run_main

KEY = b"health/1"
SAVE_S = 2.0  # a quarter of the longest time that a server is ejected


class HealthRecorder:
    """Recalls at the start, saves now and then and at the end."""

    def __init__(self, run: Run, face: AsyncStore) -> None:
        self.run = run
        self.face = face
        self.clock = run.node.discovery.backend_list.wall_clock_offset_ns

    def recall(self, balancer: Balancer, now: int) -> None:
        """Never raises: what can't be read is not recalled."""
        log = self.run.node.log
        try:
            raw = self.face.get(KEY)
            record = None if raw is None else json.loads(raw)
        except (StoreError, ValueError, RecursionError) as err:
            log(f"nothing recalled: {err}")
            return
        if record is None:
            return
        done = restore_learned_state(balancer, now, now + self.clock, record)
        log(
            f"recalled {done.ejected} servers ejected, {done.latencies} latencies"
            + (f"; {done.reason}" if done.reason else "")
        )

    async def save(self) -> None:
        now = time.monotonic_ns()
        record = export_learned_state(self.run.node.balancer, now, now + self.clock)
        try:
            await self.face.write(Batch().put(KEY, json.dumps(record).encode()))
        except StoreError as err:
            self.run.node.log(f"health not saved: {err}")

    async def saves(self) -> None:
        while True:
            await asyncio.sleep(SAVE_S)
            await self.save()


def main(path: str) -> int:
    """Run it to its end; 2 where the store or the configuration can't be used."""

    async def around(run: Run) -> None:
        async with AsyncStore(store) as face:
            recorder = HealthRecorder(run, face)
            run.node.restore_state = recorder.recall
            saving = asyncio.ensure_future(recorder.saves())
            try:
                await run.run()
            finally:
                saving.cancel()
                await recorder.save()

    try:
        store = Store.open(path)
    except (StoreError, OSError) as err:
        print(f"tansywood node: {err}", file=sys.stderr)
        return 2
    return run_main(around)
