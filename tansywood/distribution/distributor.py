"""The distributor process: follows the publisher and serves the whole configuration to instances.

    python -m tansywood.distribution.distributor NAME LISTEN FLEET KEY_FILE
        --publisher IPv4:port [--publisher ...] [--counters FILE]

A distributor keeps nothing on disk and fetches the whole configuration from a publisher after each
start. Until it has done so, it tells subscribers to retry later.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random

import uvloop

from tansywood.distribution.client import SubscriberClient
from tansywood.distribution.messages import InstancesMoved, Message, Rollouts, Welcome
from tansywood.distribution.parameters import MS, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.server import SourceServer
from tansywood.distribution.source import Source
from tansywood.distribution.stream import Keys
from tansywood.distribution.subscriber import (
    Action,
    Apply,
    EpochContinued,
    HistoryChanged,
    Subscriber,
)
from tansywood.fleet.keyfile import KeyFile
from tansywood.fleet.seal import KeyFileError
from windrelay.config import Address, parse_address

REPORT_INTERVAL_S = 0.1  # between reports of rollout counts to the publisher
COUNTERS_INTERVAL_S = 1.0  # between two writes of the counters file
# The bounds of `messages.Rollouts`: rows and instance names in one message.
MAX_ROWS_PER_MESSAGE = 1024
MAX_JOINED_PER_MESSAGE = 4096


@dataclass(frozen=True, slots=True)
class DistributorSettings:
    """The settings of a distributor, from its command line or its supervisor."""

    name: str
    listen: Address
    fleet: str
    key_file: Path
    publishers: tuple[str, ...]
    counters: Path | None = None
    parameters: Parameters = field(default_factory=Parameters)


@dataclass(frozen=True, slots=True)
class Counters:
    """What a distributor has done since its start, and its current state.

    The fields with `upstream` in their names describe the connection to the publisher.
    """

    name: str
    messages_in: int
    messages_out: int
    bytes_in: int
    bytes_out: int
    upstream_messages: int
    upstream_bytes_in: int
    upstream_bytes_out: int
    upstream_connections: int
    upstream_last_loss: str
    sessions: int
    refused: dict[str, int]
    entries: int
    epoch: int
    revision: int
    serving: bool
    publisher_age_ms: int | None
    longest_standstill_ms: int


class Distributor:
    """A subscriber of every resource and a source for instances, over one replica."""

    def __init__(
        self,
        name: str,
        publishers: tuple[str, ...],
        keys: Keys,
        fleet: str,
        parameters: Parameters,
        random: Random,
        on_ready: Callable[[], None] = lambda: None,
        log: Callable[[str], None] = lambda _text: None,
    ) -> None:
        """Call `on_ready` once, when the whole configuration is held for the first time."""
        now = time.monotonic_ns()
        self.name = name
        self.replica = Replica(parameters.max_resumable_changes)
        self.source = Source(self.replica, parameters, now, is_publisher=False)
        self.server = SourceServer(self.source, keys, fleet, log=log)
        subscriber = Subscriber(
            name, publishers, self.replica, parameters, random, now, everything=True
        )
        self.client = SubscriberClient(
            subscriber, keys, fleet, self._handle_action, self._on_message
        )
        self._on_ready: Callable[[], None] | None = on_ready

    async def start(self, listen: Address) -> Address:
        """Start listening and following the publisher; return the address listened at."""
        address = await self.server.start(listen)
        self.client.start()
        return address

    def stop(self) -> None:
        """Close the connections to the publisher and to the instances."""
        self.client.stop()
        self.server.stop()

    def report(self) -> None:
        """Send changed rollout counts to the publisher; without a connection they wait."""
        if not self.client.connected:
            return
        report = self.source.report(time.monotonic_ns())
        if report is not None:
            for message in split_report(report):
                self.client.send(message)

    def counters(self) -> Counters:
        """Return the current counters, as written to the counters file."""
        bytes_in, bytes_out = self.server.totals()
        upstream_in, upstream_out, upstream_messages = self.client.totals()
        subscriber = self.client.subscriber
        age = subscriber.publisher_age(time.monotonic_ns())
        return Counters(
            name=self.name,
            messages_in=self.source.messages_in,
            messages_out=self.source.messages_out,
            bytes_in=bytes_in,
            bytes_out=bytes_out,
            upstream_messages=upstream_messages,
            upstream_bytes_in=upstream_in,
            upstream_bytes_out=upstream_out,
            upstream_connections=subscriber.connections,
            upstream_last_loss=subscriber.last_loss,
            sessions=len(self.source.sessions),
            refused=dict(self.server.refused + self.client.refused),
            entries=len(self.replica.entries),
            epoch=self.replica.epoch.number,
            revision=self.replica.revision,
            serving=self.source.serving,
            publisher_age_ms=None if age is None else age // MS,
            longest_standstill_ms=self.server.longest_stall_ns // MS,
        )

    # ---- messages of the publisher ---------------------------------------------------------

    def _handle_action(self, action: Action) -> None:
        now = time.monotonic_ns()
        if isinstance(action, Apply):
            if self.source.serving:  # before that no instance is served
                for uid in action.uids:
                    self.source.changed(uid, self.replica.resource(uid).revision, now)
            self.client.applied(action.batch)
        elif isinstance(action, EpochContinued):
            self.source.epoch_continued(now)
        elif isinstance(action, HistoryChanged):
            self.source.stop_serving()

    def _on_message(self, message: Message) -> None:
        now = time.monotonic_ns()
        if isinstance(message, Welcome):
            self.source.reset_report()
        elif isinstance(message, InstancesMoved):
            self.source.moved(message.names)
        age = self.client.subscriber.publisher_age(now)
        if age is not None:
            self.source.note_publisher_heard(now - age)
        self.client.flush()  # queues the changes before `server.flush` sends them
        if self.replica.revision and not self.source.serving:
            self._begin_serving()
        self.server.flush()

    def _begin_serving(self) -> None:
        self.replica.set_resumable_from(self.replica.revision)
        self.source.serving = True
        if self._on_ready is not None:
            on_ready, self._on_ready = self._on_ready, None
            on_ready()


def split_report(report: Rollouts) -> Iterator[Rollouts]:
    """Split a report into messages within the bounds of the protocol."""
    rows, joined = report.rows, report.joined
    while len(rows) > MAX_ROWS_PER_MESSAGE or len(joined) > MAX_JOINED_PER_MESSAGE:
        yield Rollouts(rows[:MAX_ROWS_PER_MESSAGE], joined[:MAX_JOINED_PER_MESSAGE])
        rows, joined = rows[MAX_ROWS_PER_MESSAGE:], joined[MAX_JOINED_PER_MESSAGE:]
    yield Rollouts(rows, joined, report.revision)


async def run_distributor(
    settings: DistributorSettings,
    ended: asyncio.Future[int],
    on_ready: Callable[[], None],
    on_start: Callable[[Distributor], None] = lambda _distributor: None,
) -> int:
    """Run a distributor until `ended` has a result, and return that result, the exit code.

    `on_start` receives the distributor once it listens, `on_ready` is called once it serves.
    Raises KeyFileError or OSError if the distributor can't start.
    """

    def log(text: str) -> None:
        print(f"distributor {settings.name}: {text}", file=sys.stderr, flush=True)

    def ready() -> None:
        log("ready")
        on_ready()

    distributor = Distributor(
        settings.name,
        settings.publishers,
        KeyFile(settings.key_file, log),
        settings.fleet,
        settings.parameters,
        Random(),
        ready,
        log,
    )
    address = await distributor.start(settings.listen)
    log(f"listening at {address.host}:{address.port}")
    on_start(distributor)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(_run_periodically(REPORT_INTERVAL_S, distributor.report))]
    if settings.counters is not None:
        path = settings.counters
        tasks.append(
            loop.create_task(
                _run_periodically(COUNTERS_INTERVAL_S, lambda: write_counters(path, distributor))
            )
        )
    for task in tasks:
        task.add_done_callback(lambda task: _stop_on_failure(task, ended))
    try:
        return await ended
    finally:
        for task in tasks:
            task.cancel()
        distributor.stop()


def write_counters(path: Path, distributor: Distributor) -> None:
    """Replace the counters file atomically with one line of JSON, so that a reader never finds a
    partial file."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.write_text(json.dumps(asdict(distributor.counters())) + "\n")
    temporary.replace(path)


async def _run_periodically(seconds: float, work: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(seconds)
        work()


def _stop_on_failure(task: asyncio.Task[None], ended: asyncio.Future[int]) -> None:
    """End the process when a periodic task fails; its supervisor logs that and restarts it."""
    if not task.cancelled() and task.exception() is not None and not ended.done():
        ended.set_exception(
            task.exception() or RuntimeError("a periodic task of the distributor ended")
        )


def parse_arguments(argv: list[str] | None = None) -> DistributorSettings:
    """Parse the command line; exits with a usage error if an address is invalid."""
    parser = argparse.ArgumentParser(prog="python -m tansywood.distribution.distributor")
    parser.add_argument("name")
    parser.add_argument("listen", help="IPv4:port")
    parser.add_argument("fleet", help="name of the fleet, included in the seal of every message")
    parser.add_argument("key_file", type=Path)
    parser.add_argument("--publisher", action="append", required=True, help="IPv4:port")
    parser.add_argument(
        "--counters", type=Path, help="file that receives the counters once a second"
    )
    options = parser.parse_args(argv)
    try:
        listen = parse_address(options.listen)
        for address in options.publisher:
            parse_address(address)
    except ValueError as err:
        parser.error(str(err))
    return DistributorSettings(
        options.name,
        listen,
        options.fleet,
        options.key_file,
        tuple(options.publisher),
        options.counters,
    )


async def _main(settings: DistributorSettings) -> int:
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[int] = loop.create_future()

    def end() -> None:
        if not ended.done():
            ended.set_result(0)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, end)
    try:
        return await run_distributor(settings, ended, lambda: None)
    except (KeyFileError, OSError) as err:
        print(f"distributor {settings.name}: {err}", file=sys.stderr, flush=True)
        return 2


def main(argv: list[str] | None = None) -> int:
    """Run the distributor process and return its exit code."""
    return uvloop.run(_main(parse_arguments(argv)))


if __name__ == "__main__":
    sys.exit(main())
