"""Connects a subscriber to sockets: dials, timers, messages. `Subscriber` makes all decisions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from tansywood.distribution.messages import Message, Refusal
from tansywood.distribution.parameters import MS
from tansywood.distribution.source import ProtocolError
from tansywood.distribution.stream import Keys, SealedStream
from tansywood.distribution.subscriber import (
    Action,
    Answer,
    Apply,
    Dial,
    Disconnect,
    EpochContinued,
    HistoryChanged,
    Link,
    Send,
    Subscriber,
)
from windrelay.config import parse_address

MIN_TIMER_DELAY_NS = MS  # shortest delay of a timer
STALL_THRESHOLD_NS = 200 * MS  # a timer that fires this late shows that the process was stalled

Dialer = Callable[[str, Callable[[], SealedStream]], Coroutine[Any, Any, object]]
Handler = Callable[[Action], None]


async def dial(address: str, make_stream: Callable[[], SealedStream]) -> object:
    """Connect to IPv4:port. Raises OSError where the connection fails."""
    loop = asyncio.get_running_loop()
    return await loop.create_connection(make_stream, *parse_address(address))


class SubscriberClient:
    """Keeps one subscriber connected.

    `handle` receives the actions that need no socket: Apply, Answer, EpochContinued,
    HistoryChanged. `on_message` receives each message that the subscriber accepted.
    """

    def __init__(
        self,
        subscriber: Subscriber,
        keys: Keys,
        fleet: str,
        handle: Handler,
        on_message: Callable[[Message], None] | None = None,
        dialer: Dialer = dial,
    ) -> None:
        self.subscriber = subscriber
        self.refused: Counter[str] = Counter()
        self._keys = keys
        self._fleet = fleet
        self._handle = handle
        self._on_message = on_message
        self._dialer = dialer
        self._stream: SealedStream | None = None
        self._attempts: dict[SealedStream, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_in = 0
        self._bytes_out = 0
        self._messages = 0

    def start(self) -> None:
        """Start dialling and the timer."""
        self._tick()

    def stop(self) -> None:
        """Stop the timer and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for task in self._tasks:
            task.cancel()
        for stream in list(self._attempts):
            stream.abort("this subscriber is stopping")

    def applied(self, batch: int, refusals: tuple[Refusal, ...] = ()) -> None:
        """A batch is in force, except for the refused resources."""
        self.subscriber.applied(batch, time.monotonic_ns(), refusals)
        self.flush()

    def lookup(self, aliases: list[str]) -> int:
        """Look up the owners of aliases. Returns the number of the Answer that follows."""
        question = self.subscriber.lookup(aliases, time.monotonic_ns())
        self.flush()
        return question

    def unsubscribe(self, uids: list[str]) -> None:
        """Drop these resources and end their subscriptions."""
        self.subscriber.unsubscribe(uids, time.monotonic_ns())
        self.flush()

    @property
    def connected(self) -> bool:
        """Whether a source has welcomed this subscriber."""
        return self.subscriber.link is Link.UP

    def send(self, message: Message) -> bool:
        """Send a message of the caller, such as rollout counts. False while not connected."""
        if self._stream is None or not self.connected:
            return False
        self._stream.send(message)
        return True

    def totals(self) -> tuple[int, int, int]:
        """Bytes received, bytes sent, and messages both ways, of all connections so far."""
        streams = list(self._attempts)
        return (
            self._bytes_in + sum(s.bytes_in for s in streams),
            self._bytes_out + sum(s.bytes_out for s in streams),
            self._messages + sum(s.messages_in + s.messages_out for s in streams),
        )

    # ---- calls from the streams ------------------------------------------------------------

    def opened(self, stream: SealedStream) -> None:
        attempt = self._attempts[stream]
        if attempt not in self.subscriber.dialing:
            stream.abort("answered too late: the dial timed out, or another source was first")
            return
        self._stream = stream
        self.subscriber.connected(attempt, time.monotonic_ns())
        self.flush()

    def received(self, stream: SealedStream, message: Message) -> None:
        attempt = self._attempts.get(stream)
        if attempt is None:
            return
        try:
            self.subscriber.received(attempt, time.monotonic_ns(), message)
        except ProtocolError as err:
            stream.refuse("protocol", str(err))
            return
        if self._on_message is not None:
            self._on_message(message)
        self.flush()

    def writable(self, stream: SealedStream) -> None:
        """A subscriber sends little, so its messages are written without waiting for this."""

    def closed(self, stream: SealedStream, why: str) -> None:
        attempt = self._attempts.pop(stream, None)
        self._bytes_in += stream.bytes_in
        self._bytes_out += stream.bytes_out
        self._messages += stream.messages_in + stream.messages_out
        if stream is self._stream:
            self._stream = None
        if attempt is not None:
            self.subscriber.disconnected(attempt, time.monotonic_ns(), why)
            self.flush()

    # ---- actions and timers ----------------------------------------------------------------

    def flush(self) -> None:
        """Carry out the subscriber's actions, and make sure that the timer fires early enough."""
        while self.subscriber.actions:
            actions, self.subscriber.actions = self.subscriber.actions, []
            for action in actions:
                self._perform(action)
        if self._timer is not None:
            self._set_timer()

    def _perform(self, action: Action) -> None:
        if isinstance(action, Send):
            if self._stream is not None:
                self._stream.send(action.message)
        elif isinstance(action, Dial):
            task = asyncio.get_running_loop().create_task(self._dial(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(action, Disconnect):
            self._abort(action.attempt, action.why)
        else:
            assert isinstance(action, Apply | Answer | EpochContinued | HistoryChanged)
            self._handle(action)

    async def _dial(self, action: Dial) -> None:
        def make_stream() -> SealedStream:
            stream = SealedStream(self, self._keys, self._fleet, True, self.refused)
            self._attempts[stream] = action.attempt
            return stream

        timeout = self.subscriber.parameters.dial_timeout_ns / 1e9
        try:
            await asyncio.wait_for(self._dialer(action.address, make_stream), timeout)
        except (OSError, TimeoutError) as err:
            # uvloop closes a dial that is cancelled while it connects without connection_lost.
            for stream in self._abort(action.attempt, "the dial failed or timed out"):
                self._attempts.pop(stream, None)
            self.subscriber.disconnected(action.attempt, time.monotonic_ns(), str(err) or "late")
            self.flush()

    def _abort(self, number: int, why: str) -> list[SealedStream]:
        """Close an attempt's connection at once. Returns its streams: one, or none."""
        streams = [stream for stream, attempt in self._attempts.items() if attempt == number]
        for stream in streams:
            if stream is self._stream:
                self._stream = None
            stream.abort(why)
        return streams

    def _set_timer(self) -> None:
        """Set the timer for the next due time. A timer set for an earlier time stays: one that each
        message restarted would never fire while messages arrive without a pause."""
        due = max(self.subscriber.next_due(), time.monotonic_ns() + MIN_TIMER_DELAY_NS)
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._start_timer(due)

    def _start_timer(self, due: int) -> None:
        self._timer_due = due
        wait = max(due - time.monotonic_ns(), MIN_TIMER_DELAY_NS) / 1e9
        self._timer = asyncio.get_running_loop().call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        now = time.monotonic_ns()
        self._timer = None
        if now - self._timer_due > STALL_THRESHOLD_NS:
            # The process was stalled: read what arrived meanwhile before testing for silence.
            self._start_timer(now + MIN_TIMER_DELAY_NS)
        else:
            self._tick()

    def _tick(self) -> None:
        self.subscriber.tick(time.monotonic_ns())
        self.flush()
        if self._timer is None:
            self._set_timer()
