"""Distribution at full size: `python -m standins.scale [--nodes N] [--seconds S] [--seed N] ...`.

The last line tells all figures. The exit code is 1 where a change took longer than 4 s, or where
anything was lost, out of order, different or held unasked; 2 where the run itself failed.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

from standins.scale.driver import Driver
from standins.scale.plan import Plan, draw
from standins.scale.report import Figures, Gathered, details, figures, last_line
from standins.scale.sizes import add_size, read_size


async def play(folder: Path, plan: Plan) -> Gathered:
    """One run; SIGTERM ends it as an interrupt does, so that nothing is left running."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    began = time.monotonic()

    def log(text: str) -> None:
        print(f"{time.monotonic() - began:7.2f} {text}", file=sys.stderr, flush=True)

    return await Driver(folder, plan, log).run()


def run(plan: Plan) -> Figures:
    """Play a plan, and print what it has shown."""
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        gathered = asyncio.run(play(Path(folder), plan))
        found = figures(gathered)
    print(details(gathered, found))
    print(last_line(found), flush=True)
    return found


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.scale", description=__doc__)
    add_size(parser)
    options = parser.parse_args(argv)
    try:
        plan = draw(read_size(options), options.seed)
    except ValueError as err:
        parser.error(str(err))
    try:
        found = run(plan)
    except (RuntimeError, ExceptionGroup, TimeoutError, asyncio.CancelledError) as err:
        print(f"the run failed: {err!r}")
        return 2
    return 0 if found.kept and found.in_time else 1


if __name__ == "__main__":
    sys.exit(main())
