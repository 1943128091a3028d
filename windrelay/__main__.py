"""Start-up, signals and exit codes of one real node."""

from __future__ import annotations

import signal
import sys
from types import FrameType

_stopped_early = False


def _early(_signal: int, _frame: FrameType | None) -> None:
    global _stopped_early
    _stopped_early = True


# Before the heavier imports: a SIGTERM during start-up is a stop like any other.
signal.signal(signal.SIGTERM, _early)
signal.signal(signal.SIGINT, _early)

import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402

import uvloop  # noqa: E402

from windrelay.config import Config, ConfigError, load  # noqa: E402
from windrelay.discovery import ListError  # noqa: E402
from windrelay.node import Node  # noqa: E402
from windrelay.server import SWEEP_S, Server  # noqa: E402

# A stop. Connections go on coming for 0.4 s; the longest deadline and 0.7 s
# after SIGTERM the node may be killed.
ACCEPT_S = 0.5
KILL_S = 0.7
LAST_CALL_S = 0.12  # before that, for the last answers to be written and the exit
POLL_S = 0.01


class Run:
    """One node from its start to its end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.node = Node(config, loop)
        self.server = Server(self.node)
        self.ended = loop.create_future()
        self.give_up_at = 0.0

    async def run(self) -> None:
        self.node.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        port = self.server.listen(self.config.listen)
        self.node.log(f"listening on {self.config.listen.host}:{port}")
        # What stands now stands for good: later collections need not look at it.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.loop.call_later(SWEEP_S, self.sweep)
        if _stopped_early:
            self.stop()
        await self.ended

    def sweep(self) -> None:
        self.server.sweep()
        self.node.sweep()
        self.loop.call_later(SWEEP_S, self.sweep)

    def stop(self) -> None:
        if self.server.stopping:
            return  # a second signal changes nothing
        self.server.stopping = True
        self.node.log("stopping")
        longest = max(c.deadline for c in self.config.settings.classes) / 1e9
        self.give_up_at = self.loop.time() + longest + KILL_S - LAST_CALL_S
        self.loop.call_later(ACCEPT_S, self.close)

    def close(self) -> None:
        self.server.stop_accepting()
        self.wait()

    def wait(self) -> None:
        late = self.loop.time() >= self.give_up_at
        if late:
            self.node.fail_all()
        if late or self.server.finished():
            self.node.discovery.close()
            # One more turn, so that the last answers leave.
            self.loop.call_later(POLL_S, self.end)
        else:
            self.loop.call_later(POLL_S, self.wait)

    def end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        run = Run(config, loop)
        loop.run_until_complete(run.run())
    except (ListError, OSError) as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    # Not through the interpreter's own end: it would take the loop and each
    # connection apart one by one, in time that the exit does not have.
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
