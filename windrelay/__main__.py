"""Start-up, signals and exit codes of one real node."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Coroutine
from types import FrameType
from typing import Any

_early: set[int] = set()


def _note(number: int, _frame: FrameType | None) -> None:
    _early.add(number)


# Before the heavier imports: a signal during start-up is told once the loop runs. A
# SIGHUP without a handler would end the process.
for _number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(_number, _note)

import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
from dataclasses import replace  # noqa: E402

import uvloop  # noqa: E402

from windrelay import handover  # noqa: E402
from windrelay.config import Config, ConfigError, load, reload  # noqa: E402
from windrelay.controls import Operated  # noqa: E402
from windrelay.discovery import ListError  # noqa: E402
from windrelay.http_node import HttpNode  # noqa: E402
from windrelay.management import Desk  # noqa: E402
from windrelay.server import SWEEP_INTERVAL_S, Server  # noqa: E402

# A stop. Connections go on coming for 0.4 s; the longest deadline, 3 s of it at the most, and
# 0.7 s after SIGTERM the node may be killed.
ACCEPT_S = 0.5
TERM_MOST_S = 3.0
KILL_S = 0.7
LAST_CALL_S = 0.12  # before that, for the last answers to be written and the exit
POLL_S = 0.01
# A reload. The file may be half written when the signal comes.
REREADS = 10
REREAD_S = 0.15
DROP_S = 3.0  # that a class is still known after a reload has dropped it


class Run:
    """One node from its start to its end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.node = HttpNode(config, loop)
        self.server = Server(self.node)
        self.ended = loop.create_future()
        self.give_up_at = 0.0
        self.rereading: asyncio.TimerHandle | None = None
        self.dropping: asyncio.TimerHandle | None = None
        self.known_classes = config.settings.classes
        self.operated = Operated(self.node, self.server)
        self.desk = Desk(loop, self.operated, self.node.record_error)

    async def run(self) -> None:
        path = handover.place(os.environ, self.config)
        estate = path and handover.claim(path, self.config.listen, self.node.log)
        if estate:
            self.operated.inherit(estate.state)
        self.node.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if estate:
            port = self.server.listen_on(estate.listener)
        else:
            port = self.server.listen(self.config.listen, reuse_port=path is not None)
        self.node.log(f"listening on {self.config.listen.host}:{port}")
        if path:
            await self.operated.succeed(path, estate or None)
        if self.config.mgmt is not None:
            port = await self.desk.listen(*self.config.mgmt)
            self.node.log(f"calls at {self.config.mgmt.host}:{port}")
        self.operated.serving = not self.server.stopping  # it may have been told meanwhile
        if not self.config.settings.ask:
            # Lists are pushed to an agent on this machine, and what it has counts as told.
            # Nobody decides when to ask it: the watch stands from start to end.
            self.node.discovery.watch()
        # What stands now stands for good: later collections need not look at it.
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 10, 20)
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if signal.SIGHUP in _early:
            self.reload()  # the file may have been read before it was replaced
        if _early & {signal.SIGTERM, signal.SIGINT}:
            self.stop()
        await self.ended

    # ---- a new configuration ------------------------------------------

    def reload(self) -> None:
        """Take over from the file what can change in a running node."""
        if self.rereading is not None:
            self.rereading.cancel()
        self.reread(REREADS)

    def reread(self, left: int) -> None:
        self.rereading = None
        if self.server.stopping:
            return
        try:
            config, kept = reload(os.environ, self.config)
        except ConfigError as err:
            # Half a file is whole in a moment; a bad one must not cost the node its
            # work: what was in force stays so.
            if left:
                self.rereading = self.loop.call_later(REREAD_S, self.reread, left - 1)
            else:
                self.node.log(f"reload given up, the old configuration stays: {err}")
            return
        try:
            self.take_over(config)
        except ValueError as err:
            self.node.log(f"reload turned down, the old configuration stays: {err}")
            return
        if kept:
            self.node.log(f"reload: {', '.join(kept)} can change only at a start")
        self.node.log(f"reloaded, discovery at {config.discovery}")

    def take_over(self, config: Config) -> None:
        """Go on under it. Classes that it drops are known for a while yet: callers hear late."""
        if self.dropping is not None:
            self.dropping.cancel()
            self.dropping = None
        new = {c.name for c in config.settings.classes}
        dropped = tuple(c for c in self.known_classes if c.name not in new)
        classes = config.settings.classes + dropped
        interim = replace(config, settings=replace(config.settings, classes=classes))
        self.server.set_classes(classes, self.node.reload(interim))
        self.known_classes = classes
        self.config = config
        if dropped:
            self.dropping = self.loop.call_later(DROP_S, self.drop, config)

    def drop(self, config: Config) -> None:
        self.dropping = None
        self.server.set_classes(config.settings.classes, self.node.reload(config))
        self.known_classes = config.settings.classes

    # ---- the end ------------------------------------------------------

    def sweep(self) -> None:
        self.loop.call_later(
            SWEEP_INTERVAL_S, self.sweep
        )  # first: the next comes whatever this one does
        self.server.sweep()
        self.node.sweep()
        self.operated.sweep()

    def stop(self) -> None:
        if self.server.stopping:
            return  # a second signal changes nothing
        self.server.stopping = True
        self.operated.serving = False
        self.node.log("stopping")
        longest = max(c.deadline for c in self.config.settings.classes) / 1e9
        patience = min(longest, TERM_MOST_S) + KILL_S - LAST_CALL_S
        self.give_up_at = self.loop.time() + patience
        self.loop.call_later(ACCEPT_S, self.close)

    def close(self) -> None:
        if not self.server.stop_accepting() and self.loop.time() < self.give_up_at:
            self.loop.call_later(POLL_S, self.close)
        else:
            self.wait()

    def wait(self) -> None:
        late = self.loop.time() >= self.give_up_at
        if late:
            # Whatever is read from here on would be sent on and lost with the process.
            self.server.refusing_requests = True
            self.node.fail_all()
        if late or self.server.try_finish():
            self.node.discovery.close()
            # One more turn, so that the last answers leave.
            self.loop.call_later(POLL_S, self.end)
        else:
            self.loop.call_later(POLL_S, self.wait)

    def end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


def main(around: Callable[[Run], Coroutine[Any, Any, None]] = Run.run) -> int:
    """Run one node to its end; `around` may do more before and after its run."""
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(around(Run(config, loop)))
    except (ListError, OSError) as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    # Not through the interpreter's own end: it would take the loop and each
    # connection apart one by one, in time that the exit does not have.
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
