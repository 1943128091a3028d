"""Connects a source to sockets: one stream per session. `Source` makes all decisions."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from tansywood.distribution.messages import Message
from tansywood.distribution.parameters import MS, SECOND
from tansywood.distribution.refusals import RefusalLog
from tansywood.distribution.source import ProtocolError, Session, Source
from tansywood.distribution.stream import Keys, SealedStream
from windrelay.config import Address, parse_address

TICK_INTERVAL_NS = 100 * MS
STALL_THRESHOLD_NS = 200 * MS  # a tick that runs this late shows that the process was stalled
LISTEN_BACKLOG = 1024
MAX_MESSAGES_PER_TURN = 4  # sent to one session before the others get their turn

MessageHandler = Callable[[Session, Message], None]


class SourceServer:
    """Listens for the subscribers of one source. `on_message` receives each accepted message."""

    def __init__(
        self,
        source: Source,
        keys: Keys,
        fleet: str,
        on_message: MessageHandler | None = None,
        on_close: Callable[[Session], None] | None = None,
        log: Callable[[str], None] = lambda _text: None,
    ) -> None:
        self.source = source
        self.refused: Counter[str] = Counter()
        self._keys = keys
        self._fleet = fleet
        self._on_message = on_message
        self._on_close = on_close
        self._log = log
        self._refusal_log = RefusalLog(log)
        self._streams: dict[int, SealedStream] = {}
        self._numbers: dict[SealedStream, int] = {}
        self._server: asyncio.Server | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._turn_handle: asyncio.Handle | None = None
        self._tick_due = 0
        self.bytes_out = 0  # of closed connections
        self.bytes_in = 0
        self.longest_stall_ns = 0  # longest delay of a tick, in which the process did nothing else

    async def start(self, address: Address) -> Address:
        """Listen. Returns the address; for port 0 it has the port that the system chose."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_stream, *address, backlog=LISTEN_BACKLOG)
        self._tick_due = time.monotonic_ns()
        self._tick()
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def listen(self, text: str) -> str:
        """Listen at IPv4:port as written in settings. Raises ValueError for a malformed address."""
        host, port = await self.start(parse_address(text))
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and close all connections once their queued data is sent."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._turn_handle is not None:
            self._turn_handle.cancel()
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams.values()):
            stream.close("this source is stopping")

    def flush(self) -> None:
        """Send what is ready. Has to be called after each event that is reported to the source."""
        for number in list(self.source.ready):
            self._send_ready(number)

    def totals(self) -> tuple[int, int]:
        """Bytes received and bytes sent, of all connections so far."""
        streams = self._streams.values()
        received = self.bytes_in + sum(stream.bytes_in for stream in streams)
        return received, self.bytes_out + sum(stream.bytes_out for stream in streams)

    # ---- calls from the streams ------------------------------------------------------------

    def opened(self, stream: SealedStream) -> None:
        number = self.source.opened(time.monotonic_ns())
        self._streams[number] = stream
        self._numbers[stream] = number

    def received(self, stream: SealedStream, message: Message) -> None:
        number = self._numbers.get(stream)
        if number is None:
            return
        try:
            self.source.received(number, time.monotonic_ns(), message)
        except ProtocolError as err:
            stream.refuse("protocol", str(err))
            return
        if self._on_message is not None:
            self._on_message(self.source.sessions[number], message)
        self._schedule_turn()  # one turn for all messages of one read

    def writable(self, stream: SealedStream) -> None:
        number = self._numbers.get(stream)
        if number is not None:
            self._send_ready(number)

    def closed(self, stream: SealedStream, why: str) -> None:
        if stream.refusal:
            count = self.refused[stream.refusal]
            now = time.monotonic_ns()
            self._refusal_log.record(stream.refusal, count, stream.peer, why, now)
        number = self._numbers.pop(stream, None)
        if number is None:
            return
        self._streams.pop(number, None)
        self.bytes_in += stream.bytes_in
        self.bytes_out += stream.bytes_out
        session = self.source.sessions[number]
        self.source.closed(number, time.monotonic_ns())
        if session.name:
            self._log(f"{session.name} disconnected: {why}")
        if self._on_close is not None:
            self._on_close(session)

    # ---- sending and ticks -----------------------------------------------------------------

    def _make_stream(self) -> SealedStream:
        return SealedStream(self, self._keys, self._fleet, False, self.refused)

    def _send_ready(self, number: int) -> None:
        """Send a few messages to a session. Without the limit, a session that is sent everything
        would block all others as long as its subscriber reads as fast as the source writes."""
        stream = self._streams.get(number)
        if stream is None:
            self.source.ready.discard(number)
            return
        now = time.monotonic_ns()
        for _ in range(MAX_MESSAGES_PER_TURN):
            if stream.paused:
                return
            message = self.source.next_message(number, now)
            if message is None:
                if self.source.sessions[number].closing:
                    stream.close("ended by this source")
                return
            stream.send(message)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        """Continue after the events that the loop has queued meanwhile."""
        if self._turn_handle is None:
            self._turn_handle = asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._turn_handle = None
        self.flush()

    def _tick(self) -> None:
        """Time in which the process was stalled and read nothing does not count as silence."""
        now = time.monotonic_ns()
        late = now - self._tick_due
        self.longest_stall_ns = max(self.longest_stall_ns, late)
        if late > STALL_THRESHOLD_NS:
            for session in self.source.sessions.values():
                session.last_received = min(session.last_received + late, now)
        self._tick_due = now + TICK_INTERVAL_NS
        self._tick_timer = asyncio.get_running_loop().call_later(
            TICK_INTERVAL_NS / SECOND, self._tick
        )
        for number in self.source.tick(now):
            self._streams[number].abort("silent")
        self.flush()
