"""Start-up, reload, stop and exit status of a node's process."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Coroutine
from types import FrameType
from typing import Any

_early_signals: set[int] = set()


def _note_signal(signal_number: int, _frame: FrameType | None) -> None:
    _early_signals.add(signal_number)


# Set before the slow imports: a signal that comes during start-up is acted on once the loop runs. A
# SIGHUP without a handler would end the process.
for _number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(_number, _note_signal)

import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
from dataclasses import replace  # noqa: E402

import uvloop  # noqa: E402

from windrelay import handover  # noqa: E402
from windrelay.config import Config, ConfigError, load, reload  # noqa: E402
from windrelay.controls import NodeControls  # noqa: E402
from windrelay.discovery import ListError  # noqa: E402
from windrelay.http_node import HttpNode  # noqa: E402
from windrelay.management import CallServer  # noqa: E402
from windrelay.server import SWEEP_INTERVAL_S, Server  # noqa: E402

# A stop. New connections may come for 0.4 s after SIGTERM. The process may be killed once the
# longest deadline, capped at 3 s, and another 0.7 s have passed.
ACCEPT_GRACE_S = 0.5
MAX_DEADLINE_WAIT_S = 3.0
KILL_GRACE_S = 0.7
EXIT_MARGIN_S = 0.12  # reserved before the kill, for writing the last answers and for the exit
POLL_INTERVAL_S = 0.01
# A reload. The file may be half written when the signal comes, so a file that can't be used is read
# again.
MAX_REREADS = 10
REREAD_INTERVAL_S = 0.15
DROPPED_CLASS_GRACE_S = 3.0  # time for which a class stays accepted after a reload has dropped it


class Run:
    """One node from its start to its end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.node = HttpNode(config, loop)
        self.server = Server(self.node)
        self.ended = loop.create_future()
        self.stop_deadline = 0.0
        self.reread_timer: asyncio.TimerHandle | None = None
        self.drop_timer: asyncio.TimerHandle | None = None
        self.accepted_classes = config.settings.classes
        self.controls = NodeControls(self.node, self.server)
        self.call_server = CallServer(loop, self.controls, self.node.record_error)

    async def run(self) -> None:
        """Start the node, serve until it is stopped, and return once it may exit. Raises ListError
        or OSError."""
        path = handover.successor_socket_path(os.environ, self.config)
        predecessor = path and handover.receive_handover(path, self.config.listen, self.node.log)
        if predecessor:
            self.controls.import_state(predecessor.state)
        self.node.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if predecessor:
            port = self.server.listen_on(predecessor.listener)
        else:
            port = self.server.listen(self.config.listen, reuse_port=path is not None)
        self.node.log(f"listening on {self.config.listen.host}:{port}")
        if path:
            await self.controls.take_over(path, predecessor or None)
        if self.config.mgmt is not None:
            port = await self.call_server.listen(*self.config.mgmt)
            self.node.log(f"calls at {self.config.mgmt.host}:{port}")
        self.controls.serving = not self.server.stopping  # a stop may have begun meanwhile
        if not self.config.settings.ask:
            # Lists are pushed to an agent on this machine, and what the agent has received counts
            # as told to the node. The Balancer never decides when to ask the agent, so the watch
            # runs from start to end.
            self.node.discovery.watch()
        # Objects that exist now live as long as the process: later garbage collections skip them.
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 10, 20)
        self.node.measure_base_memory()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        if signal.SIGHUP in _early_signals:
            self.reload()  # the file may have been replaced after it was read
        if _early_signals & {signal.SIGTERM, signal.SIGINT}:
            self.stop()
        await self.ended

    # ---- reload -------------------------------------------------------

    def reload(self) -> None:
        """Adopt what the file changes and a running node can adopt."""
        if self.reread_timer is not None:
            self.reread_timer.cancel()
        self.reread(MAX_REREADS)

    def reread(self, retries_left: int) -> None:
        """Read the file and adopt it; a file that can't be used is read again after a pause."""
        self.reread_timer = None
        if self.server.stopping:
            return
        try:
            config, ignored_keys = reload(os.environ, self.config)
        except ConfigError as err:
            # A half-written file is complete in a moment. A broken one must not stop the node from
            # working: the current configuration stays in force.
            if retries_left:
                self.reread_timer = self.loop.call_later(
                    REREAD_INTERVAL_S, self.reread, retries_left - 1
                )
            else:
                self.node.log(f"reload given up, the old configuration stays: {err}")
            return
        try:
            self.apply_config(config)
        except ValueError as err:
            self.node.log(f"reload turned down, the old configuration stays: {err}")
            return
        if ignored_keys:
            self.node.log(f"reload: {', '.join(ignored_keys)} can change only at a start")
        self.node.log(f"reloaded, discovery at {config.discovery}")

    def apply_config(self, config: Config) -> None:
        """Switch to a new configuration.

        Classes that it drops stay accepted for DROPPED_CLASS_GRACE_S, because callers learn of the
        change later.
        """
        if self.drop_timer is not None:
            self.drop_timer.cancel()
            self.drop_timer = None
        new_names = {c.name for c in config.settings.classes}
        dropped = tuple(c for c in self.accepted_classes if c.name not in new_names)
        classes = config.settings.classes + dropped
        interim = replace(config, settings=replace(config.settings, classes=classes))
        self.server.set_classes(classes, self.node.reload(interim))
        self.accepted_classes = classes
        self.config = config
        if dropped:
            self.drop_timer = self.loop.call_later(DROPPED_CLASS_GRACE_S, self.drop_classes, config)

    def drop_classes(self, config: Config) -> None:
        """Stop accepting the classes that the configuration has dropped."""
        self.drop_timer = None
        self.server.set_classes(config.settings.classes, self.node.reload(config))
        self.accepted_classes = config.settings.classes

    # ---- sweep and stop -----------------------------------------------

    def sweep(self) -> None:
        """Do the periodic upkeep of the server, the node and the connection to another process."""
        # Scheduled first, so that the next sweep comes even if this one raises.
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.server.sweep()
        self.node.sweep()
        self.controls.sweep()

    def stop(self) -> None:
        """Begin a stop: answer readiness probes with no, and close the listener after
        ACCEPT_GRACE_S."""
        if self.server.stopping:
            return  # a second signal has no effect
        self.server.stopping = True
        self.controls.serving = False
        self.node.log("stopping")
        longest_deadline_s = max(c.deadline for c in self.config.settings.classes) / 1e9
        wait_s = min(longest_deadline_s, MAX_DEADLINE_WAIT_S) + KILL_GRACE_S - EXIT_MARGIN_S
        self.stop_deadline = self.loop.time() + wait_s
        self.loop.call_later(ACCEPT_GRACE_S, self.close)

    def close(self) -> None:
        """Close the listener, once every client that waits in its queue has been accepted or the
        time is over."""
        if not self.server.stop_accepting() and self.loop.time() < self.stop_deadline:
            self.loop.call_later(POLL_INTERVAL_S, self.close)
        else:
            self.wait_for_requests()

    def wait_for_requests(self) -> None:
        """Wait until every open request has its answer; fail those left at the deadline of the
        stop."""
        deadline_passed = self.loop.time() >= self.stop_deadline
        if deadline_passed:
            # A request that is read from here on would be sent to a backend and lost with the
            # process.
            self.server.refusing_requests = True
            self.node.fail_all()
        if deadline_passed or self.server.try_finish():
            self.node.discovery.close()
            # One more loop iteration writes the last answers.
            self.loop.call_later(POLL_INTERVAL_S, self.finish)
        else:
            self.loop.call_later(POLL_INTERVAL_S, self.wait_for_requests)

    def finish(self) -> None:
        """Let `run` return."""
        if not self.ended.done():
            self.ended.set_result(None)


def main(wrapper: Callable[[Run], Coroutine[Any, Any, None]] = Run.run) -> int:
    """Run one node to its end; `wrapper` may do more before and after the run. Returns the exit
    status where the start fails."""
    try:
        config = load(os.environ)
    except ConfigError as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(wrapper(Run(config, loop)))
    except (ListError, OSError) as err:
        print(f"windrelay: {err}", file=sys.stderr)
        return 2
    # The interpreter's own shutdown is skipped: it would tear down the loop and each connection one
    # by one, and an exit has no time for that.
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
