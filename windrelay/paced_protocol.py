"""Reading and parsing of received data in turns of bounded size and cost.

A connection reads into a buffer that all connections of the process share, so that one read brings
only so much, and less while memory is short. In pieces of a few bytes, each of which costs a
callback, parsing even that takes milliseconds, and a sender that is fast enough could keep the loop
from everybody else. A connection therefore parses a bounded part in each turn of the loop. While a
rest is left it does not read, and it takes its place in a queue that all connections of the node
share. Messages of usual size are parsed at once.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque
from collections.abc import Callable

from windrelay.guard import closes_connection_on_error
from windrelay.memory_budget import MemoryBudget

SLICE_BYTES = 1 << 10  # fed to the parser at a time; holds at most some 250 pieces
MAX_COST_PER_TURN = 128  # of one connection, in slices and reported pieces
MAX_CONNECTIONS_PER_TURN = 8  # whose rest is parsed in one turn of the loop
READ_BYTES = 64 << 10  # that one read brings at most
SHORT_READ_BYTES = 4 << 10  # the same while the memory budget has no room for READ_BYTES

# Filled by one read and copied before the next one: a process has one event loop, in one thread.
_read_buffer = memoryview(bytearray(READ_BYTES))


class TurnQueue:
    """The connections with unparsed data, in the order in which their next turns come.

    `budget` is the memory for that data; None where its owner limits it by other means.
    """

    __slots__ = ("_is_scheduled", "_loop", "_waiting", "budget")

    def __init__(self, loop: asyncio.AbstractEventLoop, budget: MemoryBudget | None = None) -> None:
        self.budget = budget
        self._loop = loop
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def read_size(self) -> int:
        """Return how many bytes the next read may bring."""
        if self.budget is not None and not self.budget.has_room(READ_BYTES):
            return SHORT_READ_BYTES
        return READ_BYTES

    def add(self, take_turn: Callable[[], None]) -> None:
        """Call `take_turn`, which must not raise, in a later turn of the loop."""
        self._waiting.append(take_turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        for _ in range(min(len(self._waiting), MAX_CONNECTIONS_PER_TURN)):
            self._waiting.popleft()()
        self._schedule()


class PacedProtocol(asyncio.BufferedProtocol):
    """A connection that parses what it receives in turns.

    A subclass gets the data of each read in `data_received`; it calls `_receive` with data to be
    parsed, and `_drop_unparsed` where it closes.
    """

    __slots__ = ("_is_queued", "_kept_bytes", "_turn_cost", "_turn_queue", "_unparsed")

    def __init__(self, turn_queue: TurnQueue) -> None:
        self._turn_queue = turn_queue
        self._turn_cost = 0  # so far in the present turn; the parser's callbacks raise it too
        self._unparsed: memoryview | None = None
        self._kept_bytes = 0  # of the budget, for the read that the unparsed data came with
        self._is_queued = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory into which the event loop reads."""
        return _read_buffer[: self._turn_queue.read_size()]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that the event loop has read."""
        self.data_received(_read_buffer[:nbytes].tobytes())

    # ---- implemented by subclasses ----------------------------------------

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle the data of one read."""

    @abstractmethod
    def _parse(self, data: bytes | memoryview) -> bool:
        """Parse a slice; returns False where nothing more must be parsed."""

    @abstractmethod
    def _finish_turn(self, is_last: bool) -> None:
        """Act on what was parsed in this turn; `is_last` says that no received data is left."""

    @abstractmethod
    def _paced_transport(self) -> asyncio.Transport | None:
        """The transport to stop reading from, None while it does not read for other reasons."""

    @abstractmethod
    def _reject_unparsed(self) -> None:
        """Give up the message that is being received: no memory is left for the rest of it."""

    @abstractmethod
    def close_on_error(self, where: str, error: BaseException) -> None:
        """See guard.GuardedConnection."""

    def _may_take_turn(self) -> bool:
        """Whether the rest may be parsed now; who says no calls `_queue_turn` later."""
        return True

    def _slice_size(self) -> int:
        """Bytes to parse next; more than SLICE_BYTES only where they are one piece."""
        return SLICE_BYTES

    # ---- turns ------------------------------------------------------------

    def _receive(self, data: bytes) -> None:
        """Parse received data, a part of it at once and the rest in later turns."""
        if self._unparsed is not None:
            # The loop may deliver one more read after it was told to stop.
            self._unparsed = memoryview(bytes(self._unparsed) + data)
        else:
            self._take_turn(data)

    def _take_turn(self, data: bytes | memoryview) -> None:
        """Parse as much as one turn may cost, and keep the rest."""
        self._turn_cost = 0
        if len(data) <= SLICE_BYTES:
            if self._parse(data):
                self._finish_turn(is_last=True)
            return
        view = memoryview(data)
        offset = 0
        while offset < len(view) and self._turn_cost < MAX_COST_PER_TURN:
            size = self._slice_size()
            self._turn_cost += 1
            if not self._parse(view[offset : offset + size]):
                return
            offset += size
        is_last = offset >= len(view)
        if not is_last:
            if not self._keep(len(view)):
                self._reject_unparsed()
                return
            self._unparsed = view[offset:]
            self._set_reading(False)
            self._queue_turn()
        self._finish_turn(is_last)

    def _set_reading(self, reading: bool) -> None:
        transport = self._paced_transport()
        if transport is None or transport.is_closing():
            return
        if reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _queue_turn(self) -> None:
        if self._unparsed is not None and not self._is_queued:
            self._is_queued = True
            self._turn_queue.add(self._on_turn)

    @closes_connection_on_error
    def _on_turn(self) -> None:
        self._is_queued = False
        view = self._unparsed
        if view is None or not self._may_take_turn():
            return
        self._unparsed = None
        self._take_turn(view)
        if self._unparsed is None:
            self._drop_unparsed()
            self._set_reading(True)

    def _keep(self, size: int) -> bool:
        """Take memory for a read of this size; returns False where the budget has no room."""
        budget = self._turn_queue.budget
        if self._kept_bytes or budget is None:
            return True
        if not budget.has_room(size):
            return False
        budget.reserve(size)
        self._kept_bytes = size
        return True

    def _drop_unparsed(self) -> None:
        """Forget received data that was not parsed, and return its memory."""
        self._unparsed = None
        kept_bytes, self._kept_bytes = self._kept_bytes, 0
        if kept_bytes and self._turn_queue.budget is not None:
            self._turn_queue.budget.release(kept_bytes)
