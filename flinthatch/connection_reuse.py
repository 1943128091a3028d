"""When a connection to a backend may carry another request. Pure: times are passed in.

A connection may be reused once it has been idle for the quiet time, and until it has been idle for
the idle timeout. Both are in nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import deque

MS = 1_000_000
SECOND = 1_000 * MS
# Backends and devices on the way may send a response twice, or close right behind it. What arrives
# within this time after a response still belongs to that response.
MIN_QUIET_TIME_NS = 50 * MS
# The same where a second copy of the last response would be recognised by its content.
SHORT_QUIET_TIME_NS = 3 * MS
# Responses in a row that must all differ until a second copy of one counts as recognisable.
MIN_DISTINCT_RESPONSE_COUNT = 32
REMEMBERED_RESPONSE_COUNT = 64
MAX_QUIET_TIME_NS = 200 * MS
# The quiet time is this many times the longest delay at which unsolicited bytes arrived.
QUIET_TIME_FACTOR = 2
QUIET_TIME_MEMORY_NS = 60 * SECOND  # for which a longer quiet time is kept
# Number of different backends whose connections must break before a shorter timeout is learned.
LEARN_MIN_BACKEND_COUNT = 2
# Each break after a shorter idle time must be outweighed by this many breaks after longer ones.
LEARN_CONTRARY_BREAK_WEIGHT = 2
# Connections that break after less idle time than this break whatever their idle time was.
MIN_LEARNED_TIMEOUT_NS = 25_000_000
LEARN_MAX_USE_COUNT = 256  # latest uses of idle connections that are taken into account
LEARN_WINDOW_NS = 10_000_000_000  # age up to which such a use is taken into account
GROWTH_DELAY_NS = 5_000_000_000  # time until a longer timeout is tried after a shorter was learned
MAX_GROWTH_DELAY_NS = 60_000_000_000  # limit of the growth delay, which doubles each time


class QuietTime:
    """How long a connection has to have been idle before it may be reused.

    Bytes that arrive on an idle connection were sent for its last request. A connection that was
    reused before they came would have taken them for the response to the next one.
    """

    __slots__ = ("_shrink_at", "required_ns")

    def __init__(self) -> None:
        self.required_ns = MIN_QUIET_TIME_NS
        self._shrink_at = 0

    def required_after(self, recognisable: bool) -> int:
        """Return how long a connection rests, by whether a second copy of its last response would
        be recognised."""
        if recognisable and self.required_ns == MIN_QUIET_TIME_NS:
            return SHORT_QUIET_TIME_NS
        return self.required_ns

    def record_unsolicited_bytes(self, now: int, idle_ns: int) -> None:
        """Record that bytes arrived on a connection that had been idle for this time."""
        needed_ns = min(QUIET_TIME_FACTOR * idle_ns, MAX_QUIET_TIME_NS)
        if needed_ns >= self.required_ns:
            self.required_ns = needed_ns
            self._shrink_at = now + QUIET_TIME_MEMORY_NS

    def shrink_if_due(self, now: int) -> None:
        """Return to the shortest quiet time once none of a longer one has been needed for long."""
        if self.required_ns > MIN_QUIET_TIME_NS and now >= self._shrink_at:
            self.required_ns = MIN_QUIET_TIME_NS


class ResponseHistory:
    """Whether responses differ from one another, so that a second copy of one is recognised.

    Holds checksums of the latest responses. Where a deployment's responses are often equal, two
    equal ones in a row are no sign of a copy.
    """

    __slots__ = ("_checksums", "_distinct_count", "_latest", "_required_count")

    def __init__(self) -> None:
        self._latest: deque[int] = deque()
        self._checksums: set[int] = set()
        self._distinct_count = 0
        self._required_count = MIN_DISTINCT_RESPONSE_COUNT

    @property
    def are_distinct(self) -> bool:
        """Whether all of the latest responses differ."""
        return self._distinct_count >= self._required_count

    def record(self, checksum: int) -> None:
        """Record a response that was taken for the response to its request."""
        if checksum in self._checksums:
            self._distinct_count = 0
            return
        self._distinct_count += 1
        self._checksums.add(checksum)
        self._latest.append(checksum)
        if len(self._latest) > REMEMBERED_RESPONSE_COUNT:
            self._checksums.discard(self._latest.popleft())

    def record_mistake(self) -> None:
        """Record that nothing followed a response that was dropped as a second copy.

        It was the response to its request, so from now on twice as many must differ.
        """
        self._distinct_count = 0
        self._required_count *= 2


class AdaptiveIdleTimeout:
    """The longest time for which a connection may have been idle and still be reused.

    A backend, or a network device on the way, may drop idle connections long before the
    configured time, and the node learns of it only when it writes the next request. That request
    then counts as one that may have run. A shorter timeout is learned when most connections that
    had been idle for that time or longer broke under the first bytes of a request.

    Nothing is learned from breaks that hit long and short idle times alike, because a dial for
    every request would only cost time. Nothing is learned from the breaks of a single backend
    either, because that backend may just have been restarted. Where one connection in twenty
    breaks by chance, the two with the longest idle times among the latest uses break every few
    seconds: learning from those two alone brought the timeout to 0 within 20 s, and every request
    needed a dial.
    """

    __slots__ = ("_grow_at", "_growth_delay", "_recent_uses", "max_timeout_ns", "timeout_ns")

    def __init__(self, max_timeout_ns: int) -> None:
        self.max_timeout_ns = max_timeout_ns
        self.timeout_ns = max_timeout_ns
        # The latest reuses: time, idle time before it, and the backend if the connection broke.
        self._recent_uses: deque[tuple[int, int, int | None]] = deque(maxlen=LEARN_MAX_USE_COUNT)
        self._growth_delay = GROWTH_DELAY_NS
        self._grow_at = 0

    def record_success(self, now: int, idle_ns: int) -> None:
        """Record that a connection reused after this idle time brought a response."""
        self._recent_uses.append((now, idle_ns, None))

    def record_break(self, now: int, backend: int, idle_ns: int) -> None:
        """Record a break under the first bytes after this idle time; it may shorten the timeout."""
        uses = self._recent_uses
        uses.append((now, idle_ns, backend))
        while now - uses[0][0] > LEARN_WINDOW_NS:
            uses.popleft()
        break_count = learned_ns = 0
        broken_backends = set()
        total_break_count = sum(use[2] is not None for use in uses)
        longest_idle_first = sorted(uses, key=lambda use: -use[1])
        for use_count, (_, use_idle_ns, broken_backend) in enumerate(longest_idle_first, 1):
            if broken_backend is not None:
                break_count += 1
                broken_backends.add(broken_backend)
                required = LEARN_MIN_BACKEND_COUNT + LEARN_CONTRARY_BREAK_WEIGHT * (
                    total_break_count - break_count
                )
                if (
                    len(broken_backends) >= LEARN_MIN_BACKEND_COUNT
                    and break_count >= required
                    and break_count * 3 >= use_count * 2
                ):
                    learned_ns = max(use_idle_ns * 7 // 10, MIN_LEARNED_TIMEOUT_NS)
        if 0 < learned_ns < self.timeout_ns:
            self.timeout_ns = learned_ns
            self._grow_at = now + self._growth_delay
            # After each failed try of a longer timeout the next try waits twice as long.
            self._growth_delay = min(2 * self._growth_delay, MAX_GROWTH_DELAY_NS)

    def grow_if_due(self, now: int) -> None:
        """Raise a learned timeout by half once its growth delay has passed."""
        if self.timeout_ns < self.max_timeout_ns and now >= self._grow_at:
            self.timeout_ns = min(self.timeout_ns * 3 // 2 + MS, self.max_timeout_ns)
            self._grow_at = now + self._growth_delay
