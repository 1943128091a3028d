"""Load balancing decisions of one flinthatch node.

The ordinary request path follows the gateway of Pacifici et al., "Performance
Management for Cluster-Based Web Services": FIFO queues for each class, limits on
the requests in flight at each backend and in total, a weighted round robin over
integer class shares, and a periodic computation of those shares from an M/M/1
prediction and utility curves.
A Balancer does no I/O, reads no clock and keeps no state outside itself: its host
reports each event with its time (integer nanoseconds), and the Balancer calls its
Actions. docs/design.md describes what is taken from the paper, what differs, and
when exceptions to the ordinary path apply.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random

from flinthatch.attempt_timeout import Progress, further_time, silent_timeout
from flinthatch.decision_log import DecisionLog, Reason, TransitionLog
from flinthatch.interface import (
    MS,
    SECOND,
    Actions,
    Effect,
    Listing,
    RequestClass,
    Scope,
    Settings,
    State,
    Update,
)
from flinthatch.slow_start import (
    REMOTE_FRACTION,
    NodeTraffic,
    count_senders,
    estimate_capacity,
    first_node_by_id,
    pause_between_attempts,
    warm_fraction,
)

# Concurrency limit: the number of requests that all nodes together keep in flight at one
# backend. The limit starts at INITIAL_CONCURRENCY_LIMIT and follows the congestion of the
# most congested class: the part of the room between the class's baseline latency (latency
# without congestion) and its latency target that its attempts use up. The limit grows while
# the congestion is under LOW_CONGESTION_FRACTION and requests are waiting, and is cut while
# the congestion is over HIGH_CONGESTION_FRACTION.
INITIAL_CONCURRENCY_LIMIT = 4.0
# One request per backend is enough where the work takes long compared with the network
# round trip, as it does in a slowdown.
MIN_CONCURRENCY_LIMIT = 1.0
# At or below this limit, rejections by backends that otherwise answer quickly do not cut it.
REJECTION_CUT_MIN_LIMIT = 3.0
MAX_CONCURRENCY_LIMIT = 64.0
LOW_CONGESTION_FRACTION = 0.17
HIGH_CONGESTION_FRACTION = 0.32
# Growth of a class's baseline latency per cycle: without it, the lowest latency ever seen
# would stay the baseline for good.
BASELINE_GROWTH_RATIO = 1.005
LIMIT_GROWTH_RATIO = 1.15
LIMIT_CUT_RATIO = 0.9
# Answers that the congestion of a class is judged by; a smaller number is carried over to
# the next cycle.
CONGESTION_SAMPLE_COUNT = 10
MAX_SAMPLE_TARGET_RATIO = 1.2  # latency that an attempt counts as at most, in latency targets
# Rejections by backends above this fraction of all outcomes cut the limit.
MAX_REJECTED_FRACTION = 0.05
# Time-outs at backends that otherwise answer, above this fraction of all outcomes, cut the
# limit if the mean latency, time-outs included, exceeds this part of the latency target.
MAX_TIMED_OUT_FRACTION = 0.04
TIMEOUT_CUT_MIN_TARGET_RATIO = 0.35
# Step between the rounding offsets of consecutive backends. The golden section spreads the
# offsets of any run of backends evenly, so that the part of them that round the limit up
# matches the limit's fraction.
ROUNDING_OFFSET_STEP = 0.618034
MIN_SLOTS_PER_NODE = 4  # slots that a node holds at least, however many nodes share them
# Latency of a backend, relative to the fleet, above which the backend's own limit shrinks.
SLOW_BACKEND_LATENCY_RATIO = 1.5
# Backends compared by cost among those with the same number of requests in flight.
CANDIDATE_COUNT = 3
COST_VALID_NS = 2 * SECOND  # age up to which the cost learnt from a backend's outcome is used
# A queued request is refused once it has waited for this part of its slack. Requests that
# are served are then served well within their latency target, and a client that retries at
# once can still be served in time: with half of the slack, a fifth of the answers were late.
MAX_QUEUE_WAIT_FRACTION = 0.25
# A node is one of many when MIN_SLOTS_PER_NODE, taken for all nodes of its zone, adds up to
# at least this many slots for each backend of the zone.
MANY_NODES_SLOTS_PER_BACKEND = 2
# Backends count as overloaded for this long after one rejected an attempt or timed out.
OVERLOAD_HOLD_NS = SECOND
TIME_LEFT_STEP_COUNT = 64  # steps of the histogram of the time that clients have left
# Requests after which the counts of that histogram are halved, so that old ones fade.
MAX_TIME_LEFT_SAMPLE_COUNT = 4000
# Part of the requests that must share one step of the histogram before that time left is
# taken for the one that first tries come with.
USUAL_TIME_LEFT_MIN_FRACTION = 0.25
# Requests in calm times, when no client had a try to lose, that look late all the same: from
# this fraction and this number of them on, the clients set short deadlines from the start.
SHORT_DEADLINE_MIN_FRACTION = 0.08
SHORT_DEADLINE_MIN_COUNT = 2
CALM_COUNT_DECAY_RATIO = 0.999  # decay of the counts of calm times per cycle
# An attempt that has not been sent within this time after its client's half-close is not sent
# any more.
HALF_CLOSE_GRACE_NS = 50 * MS
# An attempt that ended before it was sent is none that a backend counts. So many more than
# the settings' attempts may end like that: servers may drain one after the other.
MAX_EXTRA_UNSENT_ATTEMPTS = 8
RETRY_BUDGET_FRACTION = 0.1  # retries that each first attempt adds to the retry budget
RETRY_BUDGET_BURST_COUNT = 10.0  # retries that the budget can hold
# Backoff of calls for the backend list, doubled with each failure; the wait is drawn from
# half to one and a half of it. The node counts as informed of a change 6 s after the list
# has it, whatever became of the calls, so the backoff has to stay short.
LIST_BACKOFF_NS = 200 * MS
MAX_LIST_BACKOFF_NS = 1000 * MS
# Health of backends.
MAX_REJECTION_PAUSE_NS = SECOND // 3  # longest pause of a backend that rejected an attempt
DIAL_FAILURE_PAUSE_NS = 50 * MS  # pause after a single failed connection attempt
# Silence, in mean latencies, after which a backend with requests in flight gets no more.
STALL_LATENCY_RATIO = 6.0
# Consecutive time-outs, with no answer in between, after which a backend is ejected.
EJECTION_TIMEOUT_COUNT = 3
# Error answers. A backend that fails every request at once has the fewest requests in flight
# and would attract all of the traffic, so it is ejected. Any backend may send a single bad
# answer from time to time. The fractions below are exponentially smoothed with their gains.
ERROR_FRACTION_GAIN = 0.25
# Three errors in a row exceed this fraction and eject a backend.
EJECTION_ERROR_FRACTION = 0.55
# Where the fleet's error fraction is at least this high, three errors in a row happen to any
# backend, and the higher threshold applies, which takes eight in a row.
HIGH_FLEET_ERROR_FRACTION = 0.12
EJECTION_ERROR_FRACTION_IN_FAILING_FLEET = 0.9
FLEET_ERROR_FRACTION_GAIN = 0.02
# A backend counts as unreliable for this long after a failure, and gets no requests that
# must not be repeated. One recent error exceeds the fraction, and so do a few older ones.
UNRELIABLE_HOLD_NS = SECOND
UNRELIABLE_ERROR_FRACTION = 0.2
# An ejection lasts for the backoff, which doubles with each further one up to its maximum.
EJECTION_BACKOFF_NS = SECOND
MAX_EJECTION_BACKOFF_NS = 8 * SECOND
# Computation of the class shares.
CYCLE_NS = SECOND // 2
RATE_GAIN = 0.3  # of the smoothed rates, per cycle
# Decay of a class's sums per cycle, so that sparse traffic is averaged over some seconds.
CYCLE_DECAY_RATIO = 0.85
# Exponents of the utility curve: where the latency target is met, and where it is missed.
UTILITY_ALPHA = 1.0
UTILITY_BETA = 1.0
MAX_PREDICTED_TARGET_RATIO = 10.0  # bound of predicted times, in latency targets
# Response time that a refused request counts as in the mean, in latency targets.
REFUSED_TARGET_RATIO = 10.0
# Lower bound of the served fraction of a class, by which the share that would serve all of
# its requests is estimated.
MIN_SERVED_FRACTION = 0.02
MIN_SLOW_START_SLOT_COUNT = 2  # slots below which slow start does not reduce the limit

INFINITE = float("inf")
NEVER = 1 << 63  # a time, in nanoseconds, that is not reached

# Tokens of the timers that a Balancer sets.
TIMER_WAKE = 1
TIMER_CYCLE = 2
TIMER_LIST = 3


# Rejected, connection failed, moot: the backend did not run the request.
OUTCOMES_NEVER_RAN = (3, 5, 8)
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, NOT_SENT = 1, 2, 3, 4, 5, 6, 8
# Timed out, reset, cancelled: no answer came, and the backend may still be working.
OUTCOMES_MAY_STILL_RUN = (4, 6, 7)


class Backend:
    """State of one backend: what the list says, what is in flight there, and its health."""

    __slots__ = (
        "abandoned_until", "broken_at", "bucket", "cell", "consecutive_failures",
        "consecutive_rejections", "cost", "ejected_until", "ejection_backoff", "error_fraction",
        "half_open", "hardware_kind", "id", "in_flight", "index", "is_local", "last_outcome_at",
        "latency_ratio", "listed_state", "paused_until", "rounding_offset", "silent_since",
        "slot_limit", "slot_offset", "slow_start_is_new", "slow_start_send_count",
        "slow_start_sender_count", "slow_start_until", "stalled", "started_at", "state", "weight",
        "zone",
    )  # fmt: skip

    def __init__(self, listing: Listing, is_local: bool) -> None:
        self.id = listing.backend
        self.zone = listing.zone
        self.cell = listing.cell
        self.hardware_kind = listing.hardware_kind
        self.started_at = listing.started_at
        self.weight = listing.weight if listing.weight > 0 else 1.0
        self.state = listing.state
        self.listed_state = listing.state  # state in the list, which a ban overrides
        self.is_local = is_local
        self.in_flight = 0
        # When each abandoned attempt that may still be running has ended at the latest.
        self.abandoned_until: tuple[int, ...] = ()
        self.slot_limit = 0  # slots of this node at the backend
        self.slot_offset = 0  # this node's place in the order in which the slots are assigned
        self.rounding_offset = 0.0  # added to the limit before it is rounded down
        self.bucket: list[Backend] | None = None
        self.index = 0  # position in the bucket
        self.latency_ratio = 1.0  # latency relative to the fleet, slowly averaged
        self.broken_at = 0  # when a connection to it last broke or failed
        self.cost = 1.0  # load estimate from the last outcome
        self.last_outcome_at = 0
        self.silent_since = 0  # time of the last answer, or of the first send after idleness
        self.stalled = False
        self.half_open = False
        self.ejected_until = 0
        self.ejection_backoff = EJECTION_BACKOFF_NS
        self.consecutive_failures = 0  # time-outs and failed connections without an answer between
        self.error_fraction = 0.0  # smoothed fraction of answers that were errors
        self.consecutive_rejections = 0
        self.slow_start_until = 0  # 0 once its end has been logged
        self.slow_start_send_count = 0  # attempts of this node since the slow start began
        self.slow_start_sender_count = 1.0  # nodes that share its slow-start budget
        self.slow_start_is_new = False  # its first pause is not planned yet
        self.paused_until = 0

    def is_unreliable(self, now: int) -> bool:
        """Whether the backend is half-open, or has failed a moment ago."""
        bad = self.error_fraction > UNRELIABLE_ERROR_FRACTION or self.consecutive_failures > 0
        return self.half_open or (bad and now - self.last_outcome_at < UNRELIABLE_HOLD_NS)


class Attempt:
    """One attempt of a request at one backend.

    It holds a slot there until its outcome, or until its response starts or stalls.
    """

    __slots__ = ("backend", "is_open", "response_started", "sent_at", "stalled")

    def __init__(self, backend: Backend, sent_at: int) -> None:
        self.backend = backend
        self.sent_at = sent_at
        self.is_open = True  # its outcome has not been reported yet
        self.response_started = False
        self.stalled = False  # its response has begun, and then nothing more came for a while


class Request:
    """One client request, from its arrival to its answer and the outcome of its last attempt."""

    __slots__ = (
        "answer_by", "answer_started", "arrived_at", "attempts", "attempts_in_flight", "cls",
        "deadline_at", "ended", "first_maybe_run", "half_closed_at", "hint", "id", "low_priority",
        "queued", "stalled_attempts", "target_at", "tenant", "unsent_attempts", "wait_until",
    )  # fmt: skip

    def __init__(
        self, request_id: int, class_state: ClassState, now: int, time_left: int, tenant: int
    ) -> None:
        self.id = request_id
        self.cls = class_state
        self.tenant = tenant
        self.arrived_at = now
        self.deadline_at = now + time_left  # when the client gives up
        self.answer_by = now + class_state.latency_target  # the target, counted from the arrival
        self.target_at = self.answer_by  # the same, counted from the guessed first try
        self.wait_until = 0  # until when the request may stay queued
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.stalled_attempts = 0  # of those in flight
        self.unsent_attempts = 0  # that ended before their last byte was written
        self.first_maybe_run: Attempt | None = None  # the first attempt that may have run
        self.queued = False
        self.low_priority = False  # beyond its tenant's quota, or late already
        self.answer_started = False  # an attempt's response is passed on to the client
        self.ended = False  # answered, or its client has gone
        self.half_closed_at = 0  # when its client ended its sending, 0 if it has not
        self.hint = 0

    def has_attempt_left(self, max_attempts: int) -> bool:
        """Whether one more attempt is within the limits on sent and on unsent ones."""
        return (
            len(self.attempts) - self.unsent_attempts < max_attempts
            and self.unsent_attempts < max_attempts + MAX_EXTRA_UNSENT_ATTEMPTS
        )

    def needs_attempt(self) -> bool:
        """Whether nothing is queued or in flight that is expected to answer the request."""
        return (
            not self.ended
            and not self.answer_started
            and not self.queued
            and self.attempts_in_flight == self.stalled_attempts
        )


class ClassState:
    """Queues, counts and learnt latencies of one request class."""

    __slots__ = (
        "arrival_count", "baseline_latency", "cycle_count", "effect", "in_flight",
        "latency_count", "latency_target", "low_priority_queue", "mean_latency", "number",
        "passes_by_tenant", "queues_by_tenant", "refused_count", "response_count",
        "response_time_sum", "share", "share_sum", "spec", "time_left_count",
        "time_left_histogram", "usual_time_left_step", "virtual_time", "waiting",
        "waiting_by_tenant", "waiting_low_priority",
    )  # fmt: skip

    def __init__(self, number: int, spec: RequestClass, tenant_count: int) -> None:
        self.number = number
        self.spec = spec
        self.latency_target = spec.latency_target
        self.effect = spec.effect
        # The queues may hold requests that have ended already; `waiting_by_tenant` counts
        # those that still wait.
        self.queues_by_tenant: list[deque[Request]] = [deque() for _ in range(max(1, tenant_count))]
        self.waiting_by_tenant = [0] * max(1, tenant_count)
        # Stride scheduling: the tenant with the lowest pass is served next.
        self.passes_by_tenant = [0.0] * max(1, tenant_count)
        self.low_priority_queue: deque[Request] = deque()
        self.waiting = 0  # queued requests, without those of low priority
        self.waiting_low_priority = 0
        # Requests by the time that their client had left, in steps of the class's deadline.
        self.time_left_histogram = [0] * (TIME_LEFT_STEP_COUNT + 1)
        self.usual_time_left_step = 0  # the most frequent step of the histogram
        self.time_left_count = 0
        self.in_flight = 0
        self.share = 1
        self.virtual_time = 0.0  # the pass of the tenant that was served last
        self.mean_latency = spec.latency_target / 4.0
        self.latency_count = 0.0
        self.baseline_latency = 0.0  # mean attempt latency without congestion, 0 if unknown
        # Sums over the past cycles, decayed by CYCLE_DECAY_RATIO in each.
        self.arrival_count = 0.0
        self.response_time_sum = 0.0
        self.refused_count = 0.0
        self.response_count = 0.0
        self.share_sum = 0.0
        self.cycle_count = 0.0

    def estimate_elapsed(self, time_left: int) -> int:
        """How long ago the client began its first try, 0 if the time left does not tell.

        A client ends each try after its usual time-out; a later try has less time where
        the deadline is near, and the last try has all the time that remains. The longest
        time left is therefore not that of a first try: if it were taken for one, all first
        tries would look late.
        """
        deadline = self.spec.deadline
        step = max(0, min(TIME_LEFT_STEP_COUNT * time_left // deadline, TIME_LEFT_STEP_COUNT))
        self.time_left_count += 1
        self.time_left_histogram[step] += 1
        if self.time_left_histogram[step] > self.time_left_histogram[self.usual_time_left_step]:
            self.usual_time_left_step = step
        if self.time_left_count >= MAX_TIME_LEFT_SAMPLE_COUNT:
            # The time that clients usually have left changes over days; halving the counts
            # lets the histogram follow.
            self.time_left_count //= 2
            self.time_left_histogram = [count // 2 for count in self.time_left_histogram]
        if (
            abs(step - self.usual_time_left_step) <= 1
            or self.time_left_histogram[self.usual_time_left_step]
            < USUAL_TIME_LEFT_MIN_FRACTION * self.time_left_count
        ):
            return 0
        return max(deadline - time_left, 0)


def first_node(rank: int, backend_count: int, node_count: int) -> int:
    """Return the position of the node that the backend of this rank assigns its first slot to.

    With fewer backends than nodes, the ranks are spread over all nodes. Used as they are,
    they would end before the nodes do: of 182 nodes with 119 backends, 47 to 55 held no slot
    in their own zone, and up to 30 held none at all (two to five zones).
    """
    return rank * node_count // backend_count if backend_count < node_count else rank


def predict_response_time(
    rate: float, mean_time: float, old_share: float, new_share: float
) -> float:
    """Mean response time at `new_share` (equations 8 and 9); infinite where saturated."""
    denominator = 1.0 / mean_time + rate * (1.0 / old_share - 1.0 / new_share)
    return 1.0 / denominator if denominator > 0 else INFINITE


def utility(target: float, response_time: float, value: float) -> float:
    """The paper's utility curve over response times relative to their target.

    `value` scales only the negative side, where the target is missed.
    """
    miss = min(response_time / target, MAX_PREDICTED_TARGET_RATIO) - 1.0
    return float((-miss) ** UTILITY_ALPHA if miss <= 0 else -value * miss**UTILITY_BETA)


def solve_max_min_shares(
    total: int, flows: Sequence[tuple[float, float, float, float, float]]
) -> list[int]:
    """Compute the max-min integer shares of `total` slots, each share at least 1.

    A flow is (requests per second, mean response time, current share, target, value), with
    times in seconds. Each slot in turn goes to the class with the lowest utility; that gives
    the max-min optimum because no utility falls as its share grows. A class without traffic
    (rate or mean 0) keeps its one slot until all others meet their target.
    """
    shares = [1] * len(flows)

    def utility_of(i: int) -> float:
        rate, mean_time, old_share, target, value = flows[i]
        if rate <= 0 or mean_time <= 0:
            return 1.0
        predicted = predict_response_time(rate, mean_time, max(old_share, 1.0), shares[i])
        if predicted == INFINITE:
            # Among saturated classes, each further slot still lessens the overload.
            return float(
                -value * (MAX_PREDICTED_TARGET_RATIO - 1.0) ** UTILITY_BETA
                - value * rate * target / shares[i]
            )
        return utility(target, predicted, value)

    utilities = [utility_of(i) for i in range(len(flows))]
    for _ in range(total - len(flows)):
        lowest = min(range(len(flows)), key=utilities.__getitem__)
        shares[lowest] += 1
        utilities[lowest] = utility_of(lowest)
    return shares


class Balancer:
    """Decides for one node where and when its requests are sent; see the module's docstring."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = Random(seed)
        self.now = 0
        tenant_count = len(settings.tenants)
        self.classes = [ClassState(i, c, tenant_count) for i, c in enumerate(settings.classes)]
        self.backends: dict[int, Backend] = {}
        self.banned: set[int] = set()  # banned by an operator, whatever the list says
        self.requests: dict[int, Request] = {}
        # Backends with a free slot, in buckets by their requests in flight: those of the node's
        # own zone, and those of other zones.
        self.local_buckets: list[list[Backend]] = [[]]
        self.remote_buckets: list[list[Backend]] = [[]]
        self.total_slots = 0  # N_g in the paper
        self.in_flight = 0
        self.waiting = 0  # queued requests, without those of low priority
        self.waiting_low_priority = 0
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.current_class = 0
        self.turns_left = 0  # requests that the current class may still send in its turn
        self.wakeups: list[tuple[int, int, Request | Backend]] = []  # heap of (due, number, item)
        self.wakeup_count = 0
        self.next_wakeup_at = 0
        # Quotas: this node's part of each tenant's rate, in requests per nanosecond, as a token
        # bucket that holds one second's tokens.
        self.quota_rates = [t.quota_per_s / settings.balancers / SECOND for t in settings.tenants]
        self.tenant_strides = [1.0 / max(t.share, 1e-6) for t in settings.tenants]
        self.quota_tokens = [max(rate * SECOND, 1.0) for rate in self.quota_rates]
        self.quota_tokens_at = [0] * tenant_count
        self.retry_budget = self.max_retry_budget = RETRY_BUDGET_BURST_COUNT
        # Slots at each backend that this node was granted where several hosts share a limit,
        # until when the grant is valid, and the slots from then on; None is no limit.
        self.granted_slots: dict[int, int] | None = None
        self.granted_slots_after_expiry: dict[int, int] | None = None
        self.grant_expires_at = NEVER
        self.instance_count = 1  # instances that send to the same backends, each with a Balancer
        # Counts since the last cycle.
        self.outcome_count = 0
        self.rejection_count = 0
        self.timeout_count = 0
        self.target_ratio_sums = [0.0] * len(self.classes)  # of latencies, in latency targets
        self.target_ratio_counts = [0.0] * len(self.classes)
        self.queued_in_cycle = False
        self.send_count = self.local_answer_count = 0
        # Per second, smoothed.
        self.send_rate = 0.0  # attempts at all backends
        self.local_answer_rate = 0.0  # good answers of backends in the own zone
        self.fleet_error_fraction = 0.0  # smoothed fraction of all answers that were errors
        self.ejected_count = 0  # ejected backends that the list calls ready
        self.ready_count = 0
        self.local_ready_count = 0
        self.list_failure_count = 0
        self.list_call_pending = False
        self.log_silent_until = 0
        self.decision_log = DecisionLog()
        self.transition_log = TransitionLog()
        self.overloaded_until = 0
        self.last_loss_at = 0  # time of the last refusal, rejection or time-out, or of the start
        # Requests that arrived so long after the last loss that none was a client's retry, and
        # the number of them that looked late all the same.
        self.calm_count = 0.0
        self.calm_late_count = 0.0
        # Whether the node is one of so many that its own queue says little about the load.
        self.is_one_of_many = False
        columns = settings.load_columns
        self.queue_column = columns.index("q") if "q" in columns else -1
        own = settings.node % settings.zones == settings.zone % settings.zones
        same = range(settings.zone, settings.balancers, settings.zones) if own else ()
        self.zone_node_count = max(1, len(same) or -(-settings.balancers // settings.zones))
        self.zone_node_index = settings.node // settings.zones

    # ---- start, backend list ------------------------------------------

    def start(self, now: int) -> None:
        """Set the first timers; to be called once, before any event."""
        self.now = self.last_loss_at = now
        self.quota_tokens_at = [now] * len(self.quota_rates)
        self.actions.set_timer(TIMER_CYCLE, now + self.random.randrange(CYCLE_NS // 2, CYCLE_NS))
        if self.settings.ask:
            # Nodes start together, and the list service answers a fixed number of calls at a
            # time, so the first calls are spread.
            spread = min(self.settings.ask_within // 4, self.settings.balancers * 100 * MS)
            self.actions.set_timer(TIMER_LIST, now + self.random.randrange(1, spread + 2))

    def on_backend_list(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None:
        """Apply a backend list or a change of it; plan the next call if the call failed."""
        self.now = now
        if update == Update.FAILED:
            self.list_call_pending = False
            self.list_failure_count += 1
            self.log_limited(now, "list call failed")
            # The node may count as informed of what happened meanwhile. The first repeats come
            # soon, and after two calls in turn that fail there is time for a third one that
            # does not, see LIST_BACKOFF_NS.
            wait = LIST_BACKOFF_NS << min(self.list_failure_count, 4)
            wait = min(
                wait, MAX_LIST_BACKOFF_NS, max(self.settings.ask_within // 2, LIST_BACKOFF_NS)
            )
            if self.settings.ask:
                due = now + wait // 2 + self.random.randrange(wait)
                self.actions.set_timer(TIMER_LIST, due)
            return
        if update != Update.CACHED:
            self.list_call_pending = False
            self.list_failure_count = 0
        if update != Update.DELTA:
            listed = {row.backend for row in rows}
            for backend in self.backends.values():
                if backend.id not in listed:
                    self.set_state(backend, State.GONE)
                    self.update_bucket(backend)
        for row in rows:
            self.apply_listing(now, row, update)
        for backend in [b for b in self.backends.values() if b.state == State.GONE]:
            self.forget_if_gone(backend)
        self.assign_slots()
        self.dispatch(now)

    def apply_listing(self, now: int, listing: Listing, update: Update) -> None:
        """Take one line of the list: a new backend, a new state, or a restart."""
        backend = self.backends.get(listing.backend)
        if backend is None:
            if listing.state == State.GONE:
                return
            backend = Backend(listing, listing.zone == self.settings.zone)
            self.backends[listing.backend] = backend
            self.set_state(backend, listing.state)
            if listing.started_at:
                self.begin_slow_start(backend, listing.started_at + self.settings.slow_start)
        else:
            if (
                listing.state != State.GONE
                and listing.started_at
                and listing.started_at != backend.started_at
            ):
                backend.started_at = listing.started_at
                self.begin_slow_start(backend, listing.started_at + self.settings.slow_start)
                if backend.ejected_until:
                    self.end_ejection(backend)
            self.set_state(backend, listing.state)
            if listing.state != State.GONE:
                backend.weight = listing.weight if listing.weight > 0 else 1.0
        self.update_bucket(backend)

    def ban(self, now: int, backend_id: int) -> None:
        """Send a backend nothing new, whatever the list says, until `lift_ban`.

        A banned backend is treated as one that drains: its attempts go on to their outcomes.
        The backend may be unknown yet.
        """
        self.banned.add(backend_id)
        self.reapply_listed_state(now, backend_id)

    def lift_ban(self, now: int, backend_id: int) -> None:
        """End a ban. Operators ban a backend to restart it, so it returns in slow start."""
        backend = self.backends.get(backend_id)
        if backend is not None and backend_id in self.banned:
            self.begin_slow_start(backend, now + self.settings.slow_start)
        self.banned.discard(backend_id)
        self.reapply_listed_state(now, backend_id)

    def reapply_listed_state(self, now: int, backend_id: int) -> None:
        """Set a backend's state anew after its ban began or ended."""
        self.now = now
        backend = self.backends.get(backend_id)
        if backend is not None:
            self.set_state(backend, backend.listed_state)
            self.update_bucket(backend)
            self.assign_slots()
            self.dispatch(now)

    def set_state(self, backend: Backend, state: State) -> None:
        """Set the state that the list tells; a ban turns ready into draining.

        Only ready backends count as ejected: at most half of the ready ones may be.
        """
        backend.listed_state = state
        if state == State.READY and backend.id in self.banned:
            state = State.DRAINING
        backend.state = state
        if state != State.READY and backend.ejected_until:
            backend.ejected_until = 0
            self.ejected_count -= 1

    def forget_if_gone(self, backend: Backend) -> None:
        """Forget a backend that has gone, once its last attempt has its outcome.

        New backends come under new ids all the time: if the old ones were kept, each would
        cost memory, and time in every cycle, for good. A backend that returns under its old
        id starts with no history.
        """
        if backend.state == State.GONE and not backend.in_flight:
            self.update_bucket(backend)
            if self.backends.get(backend.id) is backend:
                del self.backends[backend.id]

    def assign_slots(self) -> None:
        """Assign every backend's slots to the nodes in turn (the paper's equations 5 and 6).

        The paper splits N_s among gateways in proportion to w_g. With more gateways than
        slots, the nearest integer of most parts is 0, so each node takes the backends whose
        turn falls on it instead. All nodes that hold the same list compute the same ranks,
        so they need not exchange anything.
        """
        settings = self.settings
        zones: dict[int, list[Backend]] = {}
        for backend in self.backends.values():
            if backend.state == State.READY:
                zones.setdefault(backend.zone, []).append(backend)
        self.ready_count = 0
        remote_node_count = max(1, settings.balancers - self.zone_node_count)
        remote_backend_count = sum(
            len(zone_backends) for zone, zone_backends in zones.items() if zone != settings.zone
        )
        remote_rank = 0
        self.local_ready_count = len(zones.get(settings.zone, ()))
        for zone in sorted(zones):
            zone_backends = sorted(zones[zone], key=lambda b: b.id)
            self.ready_count += len(zone_backends)
            for rank, backend in enumerate(zone_backends):
                # If every backend rounded its limit up, a limit just over 2 would give each
                # backend three slots.
                backend.rounding_offset = rank * ROUNDING_OFFSET_STEP % 1.0
                if backend.is_local:
                    node, node_count = self.zone_node_index, self.zone_node_count
                    first = first_node(rank, len(zone_backends), node_count)
                else:
                    node, node_count = settings.node, remote_node_count
                    first = first_node(remote_rank, remote_backend_count, node_count)
                    remote_rank += 1
                if backend.slow_start_until > self.now:
                    first = first_node_by_id(backend.id, node_count)
                backend.slot_offset = (node - first) % node_count
        self.update_slot_limits()

    def update_slot_limits(self) -> None:
        """Compute this node's slots at every ready backend from the concurrency limit."""
        settings = self.settings
        local_count = sum(
            1 for b in self.backends.values() if b.is_local and b.state == State.READY
        )
        limit = self.concurrency_limit
        self.is_one_of_many = (
            MIN_SLOTS_PER_NODE * self.zone_node_count
            >= MANY_NODES_SLOTS_PER_BACKEND * local_count
            > 0
        )
        if local_count:
            limit = max(limit, MIN_SLOTS_PER_NODE * self.zone_node_count / local_count)
        remote_limit = limit * REMOTE_FRACTION
        remote_node_count = max(1, settings.balancers - self.zone_node_count)
        has_remote_nodes = settings.balancers > self.zone_node_count
        total = 0
        for backend in self.backends.values():
            if backend.state != State.READY:
                continue
            backend_limit = limit if backend.is_local else remote_limit
            if backend.latency_ratio > SLOW_BACKEND_LATENCY_RATIO:
                backend_limit = min(backend_limit, max(1.0, backend_limit / backend.latency_ratio))
            if backend.slow_start_until > self.now:
                # With two slots for all of the slow start, a rolling release left a zone of
                # half-warm backends idle and its nodes short of slots.
                backend_limit = min(
                    backend_limit,
                    max(
                        MIN_SLOW_START_SLOT_COUNT,
                        backend_limit
                        * warm_fraction(settings, backend.slow_start_until - self.now),
                    ),
                )
            elif backend.slow_start_until:
                self.log_end_of_slow_start(backend)
            node_count = self.zone_node_count if backend.is_local else remote_node_count
            backend.slow_start_sender_count = count_senders(
                backend_limit, node_count, backend.is_local, has_remote_nodes
            )
            backend_limit = int(backend_limit + backend.rounding_offset)
            slot_limit = (
                -(-(backend_limit - backend.slot_offset) // node_count)
                if backend_limit > backend.slot_offset
                else 0
            )
            if self.granted_slots is not None:
                slot_limit = min(slot_limit, self.granted_slots.get(backend.id, 0))
            backend.slot_limit = slot_limit
            total += slot_limit
            if backend.slow_start_is_new:
                backend.slow_start_is_new = False
                senders = backend.slow_start_sender_count * self.instance_count
                self.pause_in_slow_start(backend, self.random.random() * (1.0 - 1.0 / senders))
            self.update_bucket(backend)
        self.total_slots = max(total, 1)

    def update_bucket(self, backend: Backend) -> None:
        """Put a backend into the bucket of its requests in flight, or into none if not free."""
        if backend.abandoned_until:
            backend.abandoned_until = tuple(
                end for end in backend.abandoned_until if end > self.now
            )
        free = (
            backend.state == State.READY
            and backend.in_flight + len(backend.abandoned_until)
            < (min(backend.slot_limit, 1) if backend.half_open else backend.slot_limit)
            and not backend.stalled
            and not backend.ejected_until
            and backend.paused_until <= self.now
        )
        bucket = None
        if free:
            buckets = self.local_buckets if backend.is_local else self.remote_buckets
            while len(buckets) <= backend.in_flight:
                buckets.append([])
            bucket = buckets[backend.in_flight]
        old_bucket = backend.bucket
        if old_bucket is bucket:
            return
        if old_bucket is not None:
            last = old_bucket.pop()
            if last is not backend:
                old_bucket[backend.index] = last
                last.index = backend.index
        if bucket is not None:
            backend.index = len(bucket)
            bucket.append(backend)
        backend.bucket = bucket

    # ---- requests -----------------------------------------------------

    def on_request(
        self,
        now: int,
        request: int,
        cls: int,
        time_left: int,
        tenant: int = 0,
        key: int = 0,
        hint: int = 0,
        client_retry: bool = False,
        read_delay: int = 0,
    ) -> None:
        """Take a new request.

        `time_left` is the time until the client gives up, `read_delay` the time that the
        request waited at this host before it was read. Raises ValueError where the class or
        the tenant is unknown.
        """
        self.now = now
        if not 0 <= cls < len(self.classes):
            raise ValueError(f"unknown request class {cls}")
        if request in self.requests:
            return  # reported twice: the client gets one answer, not two
        class_state = self.classes[cls]
        pending = Request(request, class_state, now, time_left, tenant)
        if class_state.spec.target_stretch and hint:
            pending.answer_by = pending.target_at = now + min(
                class_state.latency_target + int(class_state.spec.target_stretch * hint),
                class_state.spec.deadline,
            )
        pending.hint = hint
        self.requests[request] = pending
        class_state.arrival_count += 1
        elapsed = class_state.estimate_elapsed(time_left + read_delay)
        if read_delay > self.settings.tick:
            # A host that lags reports all of its requests late. If that delay were taken for
            # time that the clients spent, first tries could not be told from later ones.
            elapsed += read_delay
        late = elapsed > 0 and elapsed + class_state.mean_latency >= class_state.latency_target
        if now > self.last_loss_at + class_state.spec.deadline:
            self.calm_count += 1
            self.calm_late_count += late
        if elapsed:
            pending.target_at -= elapsed
            if late:
                # The answer is late, counted from the client's first try, whatever is done:
                # clients that keep retrying must not hold the slots that requests in time need.
                pending.target_at = now + class_state.latency_target
                pending.low_priority = True
                if class_state.spec.late_value <= 0 and self.should_refuse_late(now):
                    # Perhaps no request waits behind this one at this node, but others do at the
                    # backends: 200 nodes that each had a free slot for such requests served one
                    # in eight late; the next first tries were refused, came again and were late
                    # in turn. A node with a good part of the traffic has those others in its
                    # own queue, and the guess that a request is late may be wrong: two nodes
                    # refused 40 of 100 requests because of it.
                    self.refuse_or_fail(pending, Reason.LATE_ON_ARRIVAL)
                    return
        slack = min(pending.target_at, pending.deadline_at) - now - int(class_state.mean_latency)
        pending.wait_until = now + max(int(slack * MAX_QUEUE_WAIT_FRACTION), 0)
        if self.quota_rates:
            pending.low_priority = self.exceeds_quota(now, tenant) or pending.low_priority
        if (
            client_retry
            and class_state.spec.late_value <= 0
            and self.settings.max_retry_after > class_state.latency_target
        ):
            # A client that was told to wait for longer than its latency target is late,
            # counted from its first try, when it retries: its answer has the least value.
            pending.low_priority = True
        self.enqueue(pending, False)
        self.dispatch(now)
        if pending.queued:
            self.queued_in_cycle = True
            self.schedule_wakeup(pending.wait_until, pending)

    def should_refuse_late(self, now: int) -> bool:
        """Whether a request that looks late is to be refused at once.

        That is so while backends are overloaded, at a node that is one of many, unless clients
        set short deadlines from the start. Where a fifth of the clients had little time left
        from the start, a quarter of all first tries was refused beside free slots.
        """
        short_deadlines = self.calm_late_count >= max(
            SHORT_DEADLINE_MIN_COUNT, SHORT_DEADLINE_MIN_FRACTION * self.calm_count
        )
        return self.is_one_of_many and now < self.overloaded_until and not short_deadlines

    def exceeds_quota(self, now: int, tenant: int) -> bool:
        """Take a token of a tenant's quota at this node; return whether the quota was used up.

        Raises ValueError where the tenant is unknown.
        """
        if not 0 <= tenant < len(self.quota_rates):
            raise ValueError(f"unknown tenant {tenant}")
        rate = self.quota_rates[tenant]
        burst = max(rate * SECOND, 1.0)
        tokens = min(burst, self.quota_tokens[tenant] + rate * (now - self.quota_tokens_at[tenant]))
        self.quota_tokens_at[tenant] = now
        exceeded = tokens < 1.0
        self.quota_tokens[tenant] = tokens if exceeded else tokens - 1.0
        return exceeded and rate > 0

    def enqueue(self, request: Request, at_front: bool) -> None:
        """Add a request to the queue of its class and tenant, or to the low-priority queue."""
        class_state = request.cls
        request.queued = True
        if request.low_priority:
            self.waiting_low_priority += 1
            class_state.waiting_low_priority += 1
            queue = class_state.low_priority_queue
        else:
            self.waiting += 1
            class_state.waiting += 1
            tenant = request.tenant if self.quota_rates else 0
            queue = class_state.queues_by_tenant[tenant]
            if self.quota_rates and not class_state.waiting_by_tenant[tenant]:
                # A tenant that was idle must not save up turns for later.
                class_state.passes_by_tenant[tenant] = max(
                    class_state.passes_by_tenant[tenant], class_state.virtual_time
                )
            class_state.waiting_by_tenant[tenant] += 1
        if at_front:
            queue.appendleft(request)
        else:
            queue.append(request)

    def dequeue(self, request: Request) -> None:
        """Mark a request as queued no more; its entry is dropped when it reaches the front."""
        class_state = request.cls
        request.queued = False
        if request.low_priority:
            self.waiting_low_priority -= 1
            class_state.waiting_low_priority -= 1
            queue = class_state.low_priority_queue
        else:
            self.waiting -= 1
            class_state.waiting -= 1
            tenant = request.tenant if self.quota_rates else 0
            class_state.waiting_by_tenant[tenant] -= 1
            queue = class_state.queues_by_tenant[tenant]
        while queue and not queue[0].queued:
            queue.popleft()  # without this, a queue that is seldom served keeps all ended requests

    def take_next_request(self, class_state: ClassState, low_priority: bool) -> Request:
        """Remove the next request of a class: tenants take turns by their shares."""
        queue = class_state.low_priority_queue
        if not low_priority:
            tenant = 0
            if self.quota_rates:
                lowest_pass = INFINITE
                for i, count in enumerate(class_state.waiting_by_tenant):
                    if count and class_state.passes_by_tenant[i] < lowest_pass:
                        lowest_pass, tenant = class_state.passes_by_tenant[i], i
                class_state.virtual_time = lowest_pass
                class_state.passes_by_tenant[tenant] += self.tenant_strides[tenant]
            queue = class_state.queues_by_tenant[tenant]
        while True:
            request = queue.popleft()
            if request.queued:
                self.dequeue(request)
                return request

    def select_next_class(self, low_priority: bool) -> ClassState:
        """Weighted round robin: a class under its share goes before one that has reached it."""
        classes = self.classes
        class_count = len(classes)
        start = (
            self.current_class if self.turns_left > 0 else (self.current_class + 1) % class_count
        )
        fallback = None
        for step in range(class_count):
            i = (start + step) % class_count
            class_state = classes[i]
            if class_state.waiting_low_priority if low_priority else class_state.waiting:
                if class_state.in_flight < class_state.share:
                    return self.start_class_turn(i)
                if fallback is None:
                    fallback = i
        assert fallback is not None
        return self.start_class_turn(fallback)

    def start_class_turn(self, i: int) -> ClassState:
        """Count one turn of class `i`, which begins a new round of turns if it was not current."""
        class_state = self.classes[i]
        if i != self.current_class or self.turns_left <= 0:
            self.current_class = i
            self.turns_left = class_state.share
        self.turns_left -= 1
        return class_state

    def dispatch(self, now: int) -> None:
        """Send queued requests while there are free slots."""
        if now > self.grant_expires_at:
            # Checked here, before any send: a host that was stopped for a while must not use
            # slots whose grant has expired.
            self.grant_expires_at = NEVER
            self.granted_slots = self.granted_slots_after_expiry
            self.update_slot_limits()
        while self.in_flight < self.total_slots:
            low_priority = False
            if not self.waiting:
                if not self.waiting_low_priority:
                    return
                low_priority = True
            backend = self.pick_backend(now)
            if backend is None:
                return
            request = self.take_next_request(self.select_next_class(low_priority), low_priority)
            # The retry window of a keyed request may close while it waits for a slot.
            if now > request.wait_until or (request.attempts and not self.may_retry(now, request)):
                self.refuse_or_fail(request, Reason.WAITED_TOO_LONG)
                continue
            target = self.choose_backend_for(now, request, backend)
            if target is None:
                self.refuse_or_fail(request, Reason.NO_BACKEND_FOR_KEY)
            else:
                self.start_attempt(now, request, target)

    def pick_backend(self, now: int, reliable_only: bool = False) -> Backend | None:
        """Pick the free backend with the fewest requests in flight, in the own zone first.

        Among several of them, the one with the lowest cost of some random candidates is
        picked. With `reliable_only`, backends that are unreliable are passed over.
        """
        for buckets in (self.local_buckets, self.remote_buckets):
            for bucket in buckets:
                while bucket:
                    n = len(bucket)
                    best = bucket[int(self.random.random() * n)]
                    if n > 1:
                        lowest_cost = (
                            best.cost if now - best.last_outcome_at < COST_VALID_NS else 1.0
                        )
                        for _ in range(CANDIDATE_COUNT - 1):
                            other = bucket[int(self.random.random() * n)]
                            cost = (
                                other.cost if now - other.last_outcome_at < COST_VALID_NS else 1.0
                            )
                            if cost < lowest_cost:
                                best, lowest_cost = other, cost
                    if best.in_flight and now - best.silent_since > self.stall_timeout():
                        # A hung backend that has free slots must not get further requests.
                        best.stalled = True
                        self.update_bucket(best)
                        continue
                    if reliable_only and best.is_unreliable(now):
                        # A backend that fails at once has the fewest requests in flight, and
                        # would get all requests.
                        reliable = next((b for b in bucket if not b.is_unreliable(now)), None)
                        if reliable is None:
                            break
                        best = reliable
                    return best
        return None

    def stall_timeout(self) -> float:
        """Silence, in nanoseconds, after which a backend with requests in flight is stalled."""
        return STALL_LATENCY_RATIO * max(c.mean_latency for c in self.classes)

    def choose_backend_for(self, now: int, request: Request, backend: Backend) -> Backend | None:
        """Replace the picked backend where the request's rules ask for another one.

        A retry goes to a backend that the request has not tried, if there is one. None where a
        keyed request has no backend left that knows its key.
        """
        if not request.attempts:
            if request.cls.effect != Effect.PURE and backend.is_unreliable(now):
                # A request that must not be repeated is lost where it fails. Requests that may
                # be repeated find out whether the backend has recovered.
                return self.pick_backend(now, reliable_only=True) or backend
            return backend
        if (
            request.first_maybe_run is not None
            and request.cls.effect == Effect.TOKEN
            and request.cls.spec.scope != Scope.ALL
        ):
            return self.pick_in_dedup_scope(request)
        for _ in range(CANDIDATE_COUNT):
            if all(attempt.backend is not backend for attempt in request.attempts):
                break
            other = self.pick_backend(now, reliable_only=True)
            if other is not None:
                backend = other
        return backend

    def pick_in_dedup_scope(self, request: Request) -> Backend | None:
        """Pick a backend that knows the key of a keyed request from its first attempt.

        None where no ready backend of that zone or cell is left: the first one may be draining
        by now and must not get the retry either, nor may one in slow start before its pause ends.
        Where a connection has broken since the first attempt, or the list tells of a start since,
        another process may be at the backend's address, which does not know the key.
        """
        assert request.first_maybe_run is not None
        first, known_since = request.first_maybe_run.backend, request.first_maybe_run.sent_at
        by_zone = request.cls.spec.scope == Scope.ZONE
        free = [
            b
            for b in self.backends.values()
            if b.state == State.READY
            and not b.ejected_until
            and not (b.slow_start_until > self.now and b.paused_until > self.now)
            and max(b.broken_at, b.started_at) < known_since
            and (b.zone == first.zone if by_zone else b.cell == first.cell)
        ]
        return min(free, key=lambda b: (b is first, b.in_flight, b.id)) if free else None

    def start_attempt(self, now: int, request: Request, backend: Backend) -> None:
        """Send a request to a backend, with the time-out that its rules and budget allow."""
        class_state = request.cls
        if not request.attempts:
            self.retry_budget = min(
                self.retry_budget + RETRY_BUDGET_FRACTION, self.max_retry_budget
            )
        timeout = silent_timeout(
            class_state.spec,
            class_state.mean_latency,
            now,
            request.answer_by,
            request.deadline_at,
            len(request.attempts) - request.unsent_attempts + 1 < self.settings.max_attempts
            and self.retry_budget >= 1.0,
        )
        request.attempts.append(Attempt(backend, now))
        request.attempts_in_flight += 1
        class_state.in_flight += 1
        self.in_flight += 1
        self.send_count += 1
        if not backend.in_flight:
            backend.silent_since = now
        backend.in_flight += 1
        if backend.slow_start_until > now:
            backend.slow_start_send_count += 1
            self.pause_in_slow_start(backend)
        self.update_bucket(backend)
        self.actions.send(request.id, backend.id, timeout)

    def pause_in_slow_start(self, backend: Backend, part: float = 1.0) -> None:
        """Pause a backend in slow start for this part of the pause between two attempts."""
        capacity = estimate_capacity(
            NodeTraffic(
                self.send_rate,
                self.local_answer_rate,
                self.ready_count,
                self.local_ready_count,
                self.mean_baseline_latency(),
            ),
            self.settings.balancers,
        )
        pause = pause_between_attempts(
            self.settings,
            backend.slow_start_until - self.now,
            capacity,
            backend.slow_start_sender_count * self.instance_count,
        )
        backend.paused_until = max(backend.paused_until, self.now + int(part * pause))
        self.schedule_wakeup(backend.paused_until, backend)

    def mean_baseline_latency(self) -> float:
        """The baseline latency over all classes by their traffic, in nanoseconds."""
        traffic = sum(c.response_count for c in self.classes)
        if not traffic:
            return max(c.baseline_latency or c.mean_latency for c in self.classes)
        return (
            sum(c.response_count * (c.baseline_latency or c.mean_latency) for c in self.classes)
            / traffic
        )

    def begin_slow_start(self, backend: Backend, until: int) -> None:
        """Keep a backend in slow start until then; one that lasts longer already stays as it is."""
        if until <= max(backend.slow_start_until, self.now):
            return
        if backend.slow_start_until <= self.now:
            backend.slow_start_send_count = 0
            backend.slow_start_is_new = True
            self.log_transition(f"backend {backend.id} in slow start")
        backend.slow_start_until = until

    def log_end_of_slow_start(self, backend: Backend) -> None:
        """Log what this node sent to a backend in its slow start, if it sent anything."""
        backend.slow_start_until = 0
        count = backend.slow_start_send_count
        if count:
            self.log_transition(f"backend {backend.id} out of slow start after {count} attempts")

    def schedule_wakeup(self, due: int, item: Request | Backend) -> None:
        """Look at a queued request or a paused or ejected backend again at `due`."""
        self.wakeup_count += 1
        heappush(self.wakeups, (due, self.wakeup_count, item))
        if not self.next_wakeup_at or due < self.next_wakeup_at:
            self.next_wakeup_at = due
            self.actions.set_timer(TIMER_WAKE, due)

    def refuse_or_fail(self, request: Request, reason: Reason) -> None:
        """Answer a request without service: refuse it where a retry is harmless, else fail it.

        While an attempt is in flight whose response has stalled, that attempt may still answer.
        """
        if request.ended or request.stalled_attempts:
            return
        request.ended = True
        if not request.low_priority and not request.half_closed_at:
            request.cls.refused_count += 1
        self.last_loss_at = self.now
        if not request.attempts_in_flight:
            self.requests.pop(request.id, None)
        if self.may_refuse(request):
            self.decision_log.count_refused(reason)
            self.actions.refuse(request.id, self.retry_after(request))
        else:
            self.decision_log.count_failed(reason)
            self.actions.fail(request.id)

    def retry_after(self, request: Request) -> int:
        """How long the client of a refused request is told to wait, in nanoseconds.

        A client that waits past its latency target returns with a try that is late whatever is
        done. If clients do not mark their retries, such tries take slots from requests that are
        in time and keep an overload going. The client is then not told to wait, and a retry
        that comes at once can still be answered in time.
        """
        settings = self.settings
        late = (
            request.cls.spec.late_value <= 0
            and settings.max_retry_after > request.cls.latency_target
        )
        return 0 if late and not settings.clients_mark_retries else settings.max_retry_after

    def may_refuse(self, request: Request) -> bool:
        """Whether the client may be told that its request can be repeated without harm."""
        if request.cls.effect == Effect.PURE:
            return True
        if request.attempts_in_flight:
            return False
        if request.first_maybe_run is None:
            return True
        return request.cls.effect == Effect.TOKEN and request.cls.spec.scope == Scope.ALL

    def may_retry(self, now: int, request: Request) -> bool:
        """Whether another attempt is allowed; `pick_in_dedup_scope` says where for keyed ones."""
        if (
            request.attempts_in_flight > request.stalled_attempts
            or request.half_closed_at
            or not request.has_attempt_left(self.settings.max_attempts)
            or (request.stalled_attempts and not self.settings.allow_hedging)
        ):
            return False
        if request.first_maybe_run is None or request.cls.effect == Effect.PURE:
            return True
        if request.cls.effect == Effect.SIDE_EFFECT:
            return False
        return now < request.first_maybe_run.sent_at + request.cls.spec.retry_window

    def may_start_attempt(self, now: int, request: int, attempt: int) -> bool:
        """Whether an attempt whose connection was not ready yet may still be sent now."""
        pending = self.requests.get(request)
        if pending is None or pending.ended or attempt >= len(pending.attempts):
            return False
        if pending.half_closed_at and now - pending.half_closed_at > HALF_CLOSE_GRACE_NS:
            return False
        if pending.first_maybe_run is None or pending.cls.effect != Effect.TOKEN:
            return True
        return now < pending.first_maybe_run.sent_at + pending.cls.spec.retry_window

    # ---- outcomes -----------------------------------------------------

    def on_outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        outcome: int,
        duration: int,
        answered: bool,
        load: Sequence[float] = (),
    ) -> None:
        """Take the one outcome of an attempt, `duration` nanoseconds after it was sent.

        `answered` tells that the client has its answer already; `load` holds the columns of
        the backend's load report. Outcomes of unknown and closed attempts are ignored.
        """
        self.now = now
        pending = self.requests.get(request)
        if (
            pending is None
            or attempt >= len(pending.attempts)
            or not pending.attempts[attempt].is_open
        ):
            return
        ended_attempt = pending.attempts[attempt]
        ended_attempt.is_open = False
        backend = ended_attempt.backend
        class_state = pending.cls
        pending.attempts_in_flight -= 1
        pending.stalled_attempts -= ended_attempt.stalled
        # One that ended at once met a shortage of this node, which the next one meets as well.
        pending.unsent_attempts += outcome == NOT_SENT and duration > 0
        if not (ended_attempt.response_started or ended_attempt.stalled):
            self.release_slot(class_state, backend)
            if outcome in OUTCOMES_MAY_STILL_RUN:
                self.keep_slot_of_abandoned(class_state, ended_attempt)
        self.outcome_count += 1
        if outcome in (FULL, TIMEOUT):
            self.overloaded_until = now + OVERLOAD_HOLD_NS
            self.last_loss_at = now
        if backend.stalled and not backend.in_flight:
            # All attempts at the stalled backend have ended without an answer, so no later
            # event would let the backend in again.
            backend.stalled = False
            backend.half_open = True
        if outcome == OK:
            if not ended_attempt.response_started:
                self.record_answer(now, class_state, backend, duration, load)
            if not pending.ended:
                class_state.response_time_sum += now - pending.arrived_at
                class_state.response_count += 1
        elif not ended_attempt.stalled:
            self.record_failure(now, class_state, backend, outcome, duration)
        self.update_bucket(backend)
        self.forget_if_gone(backend)
        if outcome not in OUTCOMES_NEVER_RAN and pending.first_maybe_run is None:
            pending.first_maybe_run = ended_attempt
        if answered or outcome == OK:
            pending.ended = True
            self.drop_other_attempts(pending)
        if pending.ended:
            if not pending.attempts_in_flight:
                self.requests.pop(request, None)
        elif pending.needs_attempt():
            self.retry_or_answer(
                now,
                pending,
                outcome,
                min(duration / class_state.mean_latency, 1.0) if outcome == ERROR else 1.0,
            )
        self.dispatch(now)

    def drop_other_attempts(self, request: Request) -> None:
        """Drop what is queued or in flight for a request besides the attempt that answers it."""
        if request.queued:
            self.dequeue(request)
        if request.attempts_in_flight:
            for number, attempt in enumerate(request.attempts):
                if attempt.is_open and not attempt.response_started:
                    self.actions.cancel(request.id, number)

    def further_time(self, now: int, request: int, attempt: int, progress: Progress) -> int:
        """Nanoseconds that an attempt whose time-out has passed goes on; 0: it is given up."""
        pending = self.requests.get(request)
        if pending is None or pending.ended or attempt >= len(pending.attempts):
            return 0
        return further_time(progress, now, pending.deadline_at)

    def on_response_stalled(self, now: int, request: int, attempt: int, duration: int) -> None:
        """Hedge a request whose response has begun and then stalled, `duration` after its send.

        The attempt stays open, for the backend may be slow and sound. Its slot is free, the backend
        counts as failing, and another attempt starts where the settings allow hedging, and the
        rules for retries one more.
        """
        self.now = now
        pending = self.requests.get(request)
        if pending is None or attempt >= len(pending.attempts):
            return
        stalled = pending.attempts[attempt]
        if not stalled.is_open or stalled.stalled or pending.answer_started:
            return
        stalled.stalled = True
        pending.stalled_attempts += 1
        if pending.first_maybe_run is None:
            pending.first_maybe_run = stalled
        class_state, backend = pending.cls, stalled.backend
        self.outcome_count += 1
        self.release_slot(class_state, backend)
        self.keep_slot_of_abandoned(class_state, stalled)
        self.record_failure(now, class_state, backend, ERROR, duration)
        self.update_bucket(backend)
        if pending.needs_attempt():
            self.retry_or_answer(now, pending, ERROR, min(duration / class_state.mean_latency, 1.0))
        self.dispatch(now)

    def keep_slot_of_abandoned(self, class_state: ClassState, attempt: Attempt) -> None:
        """Keep a granted slot occupied while the backend may go on with an abandoned attempt."""
        if self.granted_slots is not None:
            backend = attempt.backend
            until = attempt.sent_at + class_state.spec.deadline
            backend.abandoned_until = (*backend.abandoned_until, until)
            self.schedule_wakeup(until, backend)

    def retry_or_answer(self, now: int, request: Request, outcome: int, price: float) -> None:
        """After this outcome, queue a further attempt ahead of other requests, or answer without
        service.

        `price` is taken from the retry budget, which bounds the work that is done twice. An
        error that came at once cost the backend nothing: when such errors were charged in
        full, two failing backends of eleven used up the budget, and a fifth of the requests
        was refused with most of the fleet idle.
        """
        class_state = request.cls
        request.wait_until = min(request.target_at, request.deadline_at) - int(
            class_state.mean_latency
        )
        allowed = now < request.wait_until and self.may_retry(now, request)
        if allowed and request.first_maybe_run is not None:
            allowed = self.retry_budget >= price
            if allowed:
                self.retry_budget -= price
        if not allowed:
            self.refuse_or_fail(request, Reason.RETRY_NOT_ALLOWED)
            return
        self.decision_log.count_retry(outcome)
        self.enqueue(request, True)
        self.schedule_wakeup(request.wait_until, request)

    def record_answer(
        self,
        now: int,
        class_state: ClassState,
        backend: Backend,
        duration: int,
        load: Sequence[float],
    ) -> None:
        """Learn latency, cost and health of a backend from a good answer."""
        self.local_answer_count += backend.is_local
        ratio = self.record_latency(class_state, backend, duration)
        cost = 0.5 * backend.latency_ratio + 0.5 * ratio
        if 0 <= self.queue_column < len(load):
            cost = backend.latency_ratio * (1.0 + max(load[self.queue_column], 0.0))
        backend.cost = cost
        backend.last_outcome_at = now
        backend.silent_since = now
        backend.stalled = False
        backend.consecutive_rejections = 0
        backend.consecutive_failures = 0
        backend.half_open = False
        backend.error_fraction -= ERROR_FRACTION_GAIN * backend.error_fraction
        self.fleet_error_fraction -= FLEET_ERROR_FRACTION_GAIN * self.fleet_error_fraction
        if backend.error_fraction < UNRELIABLE_ERROR_FRACTION:
            backend.ejection_backoff = EJECTION_BACKOFF_NS

    def record_latency(self, class_state: ClassState, backend: Backend, duration: int) -> float:
        """Learn from the duration of an attempt; return it relative to the class's mean."""
        # The time-outs of a hung backend last many latency targets. Counted in full, a handful
        # of them would look like an overload of the fleet and cut every backend's slots.
        duration = min(duration, int(MAX_SAMPLE_TARGET_RATIO * class_state.latency_target))
        gain = 0.05 if class_state.latency_count > 20 else 0.2
        class_state.latency_count += 1
        class_state.mean_latency += gain * (duration - class_state.mean_latency)
        self.target_ratio_sums[class_state.number] += duration / class_state.latency_target
        self.target_ratio_counts[class_state.number] += 1
        ratio = min(duration / class_state.mean_latency, 10.0)
        backend.latency_ratio += 0.2 * (ratio - backend.latency_ratio)
        return ratio

    def record_failure(
        self, now: int, class_state: ClassState, backend: Backend, outcome: int, duration: int
    ) -> None:
        """Learn from an attempt that brought no good answer; pause or eject its backend."""
        if outcome in (RESET, CONNECT_FAILED):
            backend.broken_at = now
        if outcome == FULL:
            self.rejection_count += 1
            backend.cost = 4.0
            backend.last_outcome_at = now
            backend.silent_since = now
            # A full backend answers at once and so would always have the fewest requests in
            # flight: without a pause it attracts all of the traffic.
            backend.consecutive_rejections += 1
            pause = int(class_state.mean_latency * (0.5 + self.random.random())) << min(
                backend.consecutive_rejections - 1, 6
            )
            backend.paused_until = max(
                backend.paused_until, now + min(pause, MAX_REJECTION_PAUSE_NS)
            )
            self.schedule_wakeup(backend.paused_until, backend)
        elif outcome in (ERROR, RESET):
            # A broken connection is the network's fault as often as the backend's: a process
            # that has ended refuses the next connection, and one that has vanished is silent.
            # When each break counted as a restart, two in a row left half of a healthy fleet
            # ejected, and then in slow start.
            backend.cost = 6.0
            backend.last_outcome_at = backend.silent_since = now  # the backend is reachable
            backend.stalled = False
            backend.consecutive_failures = 0
            backend.error_fraction += ERROR_FRACTION_GAIN * (1.0 - backend.error_fraction)
            self.fleet_error_fraction += FLEET_ERROR_FRACTION_GAIN * (
                1.0 - self.fleet_error_fraction
            )
            if backend.error_fraction > (
                EJECTION_ERROR_FRACTION
                if self.fleet_error_fraction < HIGH_FLEET_ERROR_FRACTION
                else EJECTION_ERROR_FRACTION_IN_FAILING_FLEET
            ):
                self.eject(now, backend, "errors or broken connections in a row")
        elif outcome in (TIMEOUT, CONNECT_FAILED):
            backend.cost = 6.0
            backend.last_outcome_at = now
            if outcome == TIMEOUT:
                # If only answers counted, an overload would look like light load, and the limit
                # would stay high while most of the work is abandoned.
                self.record_latency(class_state, backend, max(duration, class_state.latency_target))
                # A baseline latency that was learnt in an overload is the overload's own, and
                # then only time-outs reveal it. A hung backend answers nothing and counts once.
                self.timeout_count += not backend.consecutive_failures
            backend.consecutive_failures += 1
            connect_failed = outcome == CONNECT_FAILED
            # A single time-out may come from load: with one slot, load always looks like
            # silence.
            if connect_failed and backend.consecutive_failures == 1:
                # The network breaks single connection attempts, on some days one in twenty, and
                # none of their requests ran. With an ejection of one second for each, up to
                # four of ten backends were out at once.
                backend.paused_until = max(backend.paused_until, now + DIAL_FAILURE_PAUSE_NS)
                self.schedule_wakeup(backend.paused_until, backend)
            elif connect_failed:
                # A process that has ended refuses the next connection too. The list tells of
                # the start of its successor, however short the gap was.
                self.eject(now, backend, "connections failed", restarted=True)
            elif (
                backend.consecutive_failures >= EJECTION_TIMEOUT_COUNT
                and now - backend.silent_since >= duration
            ):
                self.eject(now, backend, "no answer since the attempt was sent")

    def eject(self, now: int, backend: Backend, reason: str, restarted: bool = False) -> None:
        """Send a silent, failing or unreachable backend nothing until its backoff is over.

        At most half of the ready backends are ejected at any time.
        """
        if (
            backend.state != State.READY
            or backend.ejected_until
            or (self.ejected_count + 1) * 2 > self.ready_count
        ):
            return
        backend.ejected_until = now + backend.ejection_backoff
        backend.ejection_backoff = min(backend.ejection_backoff * 2, MAX_EJECTION_BACKOFF_NS)
        ejected_for_ms = (backend.ejected_until - now) // MS
        self.log_transition(f"backend {backend.id} out: {reason}, for {ejected_for_ms} ms")
        if restarted:
            # The backend's process may be replaced before the list says so.
            self.begin_slow_start(backend, backend.ejected_until + self.settings.slow_start)
        self.ejected_count += 1
        self.schedule_wakeup(backend.ejected_until, backend)
        self.update_bucket(backend)

    def log_transition(self, text: str) -> None:
        """Log a change of a backend's state, at once or with others of the same second."""
        self.transition_log.add(text)
        self.flush_transition_log()

    def flush_transition_log(self) -> None:
        line = self.transition_log.take_line(self.now)
        if line:
            self.actions.log(line)

    def log_limited(self, now: int, text: str) -> None:
        """Log a change of state, at most one line per second."""
        if now >= self.log_silent_until:
            self.log_silent_until = now + SECOND
            self.actions.log(text)

    def end_ejection(self, backend: Backend) -> None:
        """Let an ejected backend in again, half-open: with one request at a time."""
        self.log_transition(f"backend {backend.id} half-open")
        backend.ejected_until = 0
        backend.stalled = False
        backend.half_open = True
        self.ejected_count -= 1
        self.update_bucket(backend)

    def on_response_started(self, now: int, request: int, attempt: int, duration: int) -> None:
        """Free an attempt's slot once its response starts, `duration` after it was sent.

        The backend has done its work then; how fast the response is read depends on the client.
        """
        self.now = now
        pending = self.requests.get(request)
        started = (
            pending.attempts[attempt]
            if pending is not None and attempt < len(pending.attempts)
            else None
        )
        if (
            pending is not None
            and started is not None
            and started.is_open
            and not started.response_started
        ):
            started.response_started = pending.answer_started = True
            if not started.stalled:
                self.release_slot(pending.cls, started.backend)
            self.drop_other_attempts(pending)
            self.record_answer(now, pending.cls, started.backend, duration, ())
            self.update_bucket(started.backend)
            self.dispatch(now)

    def release_slot(self, class_state: ClassState, backend: Backend) -> None:
        class_state.in_flight -= 1
        self.in_flight -= 1
        backend.in_flight -= 1

    def on_client_gone(self, now: int, request: int) -> None:
        """Drop a request whose client has gone; its attempts go on to their outcomes."""
        self.now = now
        pending = self.requests.get(request)
        if pending is None or pending.ended:
            return
        pending.ended = True
        if pending.queued:
            self.dequeue(pending)
        if not pending.attempts_in_flight:
            self.requests.pop(request, None)

    def on_client_half_closed(self, now: int, request: int) -> None:
        """Start no more attempts for a client that has ended its sending.

        Such a client has gone in most cases, but it may still read. A queued request gets its
        one answer now; an attempt in flight goes on to its outcome, which is the answer then.
        """
        self.now = now
        pending = self.requests.get(request)
        if pending is None or pending.ended or pending.half_closed_at:
            return
        pending.half_closed_at = now
        if pending.queued:
            self.dequeue(pending)
            self.refuse_or_fail(pending, Reason.CLIENT_HALF_CLOSED)

    def on_probe(
        self, now: int, backend: int, outcome: int, duration: int, load: Sequence[float] = ()
    ) -> None:
        """Take the outcome of a probe, from which nothing is learnt."""
        self.now = now

    # ---- time ---------------------------------------------------------

    def on_timer(self, now: int, token: int) -> None:
        """Handle a timer that was set with this token; other tokens are ignored."""
        self.now = now
        if token == TIMER_WAKE:
            # An earlier wake-up sets a timer of its own, so some timers fire when nothing is
            # due. If each of them set the next one again, their number would never fall, and
            # the timer of the next wake-up is set already. A host may round the time of a timer
            # down: one that fires less than a millisecond early is the one that is due.
            if now + MS >= self.next_wakeup_at:
                self.run_wakeups(now)
        elif token == TIMER_CYCLE:
            self.run_cycle(now)
            if self.wakeups and self.wakeups[0][0] <= now:
                self.run_wakeups(now)  # a lost wake-up timer must not leave requests waiting
            self.actions.set_timer(TIMER_CYCLE, now + CYCLE_NS)
        elif token == TIMER_LIST and not self.list_call_pending:
            self.list_call_pending = True
            self.actions.watch()

    def run_wakeups(self, now: int) -> None:
        """Refuse requests that have waited out their time; let paused backends in again.

        Wake-ups are kept in a heap because the front of a queue does not tell who is due next:
        requests of one class come with different times left, and a retry waits ahead of older
        requests. A request at the front that may wait longer would let those behind it run out
        of time unanswered.
        """
        wakeups = self.wakeups
        while wakeups and wakeups[0][0] <= now:
            item = heappop(wakeups)[2]
            if isinstance(item, Backend):
                if item.ejected_until and item.ejected_until <= now:
                    self.end_ejection(item)
                else:
                    self.update_bucket(item)
            elif item.queued and item.wait_until <= now:
                self.dequeue(item)
                self.refuse_or_fail(item, Reason.WAITED_TOO_LONG)
        self.next_wakeup_at = 0
        if wakeups:
            self.next_wakeup_at = wakeups[0][0]
            self.actions.set_timer(TIMER_WAKE, self.next_wakeup_at)
        self.dispatch(now)

    def run_cycle(self, now: int) -> None:
        """Adapt the concurrency limit to the outcomes of the last cycle, then the class shares.

        Runs twice a second.
        """
        self.flush_transition_log()
        summary = self.decision_log.take_summary(now)
        if summary:
            self.actions.log(f"decisions: {summary}")
        self.update_rates()
        self.calm_count, self.calm_late_count = (
            self.calm_count * CALM_COUNT_DECAY_RATIO,
            self.calm_late_count * CALM_COUNT_DECAY_RATIO,
        )
        congestion = slowest = 0.0
        has_samples = False
        cut = False
        for i, count in enumerate(self.target_ratio_counts):
            has_samples = has_samples or count >= 3
            class_state = self.classes[i]
            if class_state.latency_count > 20:
                class_state.baseline_latency = (
                    min(
                        class_state.baseline_latency * BASELINE_GROWTH_RATIO,
                        class_state.mean_latency,
                    )
                    if class_state.baseline_latency
                    else class_state.mean_latency
                )
            if count >= 3:
                slowest = max(slowest, self.target_ratio_sums[i] / count)
            # Without a baseline, half of a latency target on idle backends would pass for an
            # overload; with many nodes, a class with little traffic has no baseline for most
            # of a minute.
            if count >= 3 and class_state.baseline_latency:
                # Measured against the latency target alone, a class that takes half of its
                # target on an idle backend would keep every limit at its minimum.
                baseline = min(class_state.baseline_latency / class_state.latency_target, 0.9)
                congestion = max(
                    congestion,
                    (self.target_ratio_sums[i] / count - baseline) / (1.0 - baseline),
                )
        if self.outcome_count:
            count = self.outcome_count
            # Attempts that are rejected while served ones are quick meet a limit on rates or
            # connections, which fewer slots would not ease. When the limit was cut for it all
            # the same, it fell to 2, and a fifth was refused with every backend idle.
            rejected = self.rejection_count > MAX_REJECTED_FRACTION * count
            # An overload that ends in time-outs slows down every request. Where the others are
            # quick, the timed-out ones are requests or answers that were lost on the way: when
            # the limit was cut for one in twenty of these, it fell from 4 to 1, and a third was
            # refused beside idle backends.
            timed_out = (
                self.timeout_count > max(MAX_TIMED_OUT_FRACTION * count, 1)
                and slowest > TIMEOUT_CUT_MIN_TARGET_RATIO
            )
            if (
                congestion > HIGH_CONGESTION_FRACTION
                or (
                    rejected
                    and (
                        congestion > LOW_CONGESTION_FRACTION
                        or self.concurrency_limit > REJECTION_CUT_MIN_LIMIT
                    )
                )
                or timed_out
            ):
                cut = True
                severe = congestion > 2.0 * HIGH_CONGESTION_FRACTION
                self.concurrency_limit = max(
                    MIN_CONCURRENCY_LIMIT,
                    self.concurrency_limit
                    * (
                        LIMIT_CUT_RATIO * LIMIT_CUT_RATIO * LIMIT_CUT_RATIO
                        if severe
                        else LIMIT_CUT_RATIO
                    ),
                )
                if severe:
                    self.log_limited(now, f"concurrency limit down to {self.concurrency_limit:.1f}")
            elif (
                self.queued_in_cycle
                and has_samples
                and congestion < LOW_CONGESTION_FRACTION
                and not rejected
            ):
                self.concurrency_limit = min(
                    MAX_CONCURRENCY_LIMIT, self.concurrency_limit * LIMIT_GROWTH_RATIO
                )
        self.outcome_count = self.rejection_count = self.timeout_count = 0
        self.queued_in_cycle = False
        for i, sample_count in enumerate(self.target_ratio_counts):
            # Each of many nodes sees one or two answers per cycle. The most congested class's
            # mean over so few answers is mostly chance, and the limit would sink because of
            # it, so the answers are carried over. They are not carried past a cut: the same
            # few answers of one overload, judged cycle after cycle, took the limit from 9 to 1
            # at nodes with three slots.
            kept_part = (
                CYCLE_DECAY_RATIO if sample_count < CONGESTION_SAMPLE_COUNT and not cut else 0.0
            )
            self.target_ratio_sums[i] *= kept_part
            self.target_ratio_counts[i] *= kept_part
        self.update_slot_limits()
        self.update_shares()
        self.dispatch(now)

    def update_rates(self) -> None:
        cycles_per_second = SECOND / CYCLE_NS
        self.send_rate += RATE_GAIN * (self.send_count * cycles_per_second - self.send_rate)
        self.local_answer_rate += RATE_GAIN * (
            self.local_answer_count * cycles_per_second - self.local_answer_rate
        )
        self.send_count = self.local_answer_count = 0

    def update_shares(self) -> None:
        """Compute the class shares from the traffic and response times of the past cycles."""
        flows = []
        for class_state in self.classes:
            class_state.cycle_count = class_state.cycle_count * CYCLE_DECAY_RATIO + 1
            class_state.share_sum = class_state.share_sum * CYCLE_DECAY_RATIO + class_state.share
            finished = class_state.response_count + class_state.refused_count
            refused_time = (
                class_state.refused_count * REFUSED_TARGET_RATIO * class_state.latency_target
            )
            mean_time = (
                (class_state.response_time_sum + refused_time) / finished if finished else 0.0
            )
            # Equation 8 takes all arrivals as served at the observed share. A class that had
            # most of its requests refused would look as if one more slot cured it, so its
            # share is taken as serving only the part that was served.
            share = class_state.share_sum / class_state.cycle_count
            if finished:
                share /= max(class_state.response_count / finished, MIN_SERVED_FRACTION)
            rate = class_state.arrival_count / (class_state.cycle_count * CYCLE_NS / SECOND)
            flows.append(
                (
                    rate,
                    mean_time / SECOND,
                    share,
                    class_state.latency_target / SECOND,
                    class_state.spec.value,
                )
            )
            class_state.arrival_count *= CYCLE_DECAY_RATIO
            class_state.refused_count *= CYCLE_DECAY_RATIO
            class_state.response_time_sum *= CYCLE_DECAY_RATIO
            class_state.response_count *= CYCLE_DECAY_RATIO
        for class_state, new_share in zip(
            self.classes, solve_max_min_shares(self.total_slots, flows), strict=True
        ):
            class_state.share = new_share
