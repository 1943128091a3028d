"""The decisions of one flinthatch node.

The ordinary path is the gateway of Pacifici et al., "Performance Management
for Cluster-Based Web Services": per-class FIFO queues, in-flight caps per
backend and in total, a weighted round robin over integer class shares, and a
periodic solve of those shares from an M/M/1 prediction and utility curves.
A Balancer does no I/O, reads no clock and keeps no state outside itself: it
is told what happened and when (integer nanoseconds) and calls its Actions.
docs/design.md says what was kept, what was changed, and when exceptions act.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random

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

# Caps. The concurrency limit is how many requests all nodes together keep at one
# backend. It starts at START_LIMIT and follows the worst class's crowding: the part
# of the room between its uncrowded latency and its aim that attempts use up. Under
# LOW_CROWDING with requests waiting it grows, over HIGH_CROWDING it is cut.
# One is enough where work is long against the network gap, as in a slowdown.
INITIAL_CONCURRENCY_LIMIT = 4.0
MIN_CONCURRENCY_LIMIT = 1.0
REJECTION_CUT_MIN_LIMIT = 3.0  # below it backends that turn away while they are quick cut nothing
MAX_CONCURRENCY_LIMIT = 64.0
LOW_CONGESTION_FRACTION = 0.17
HIGH_CONGESTION_FRACTION = 0.32
BASELINE_GROWTH_RATIO = (
    1.005  # a cycle, so that an uncrowded latency once seen is not held for ever
)
LIMIT_GROWTH_RATIO = 1.15
LIMIT_CUT_RATIO = 0.9
CONGESTION_SAMPLE_COUNT = (
    10  # answers that judge a class's crowding; fewer are carried to the next cycle
)
MAX_TARGET_RATIO = 1.2  # most aims one attempt may count as
MAX_REJECTED_FRACTION = 0.05  # refusals by backends above this share of outcomes cut the limit
MAX_TIMED_OUT_FRACTION = 0.04  # the same of time-outs by backends that answer otherwise ...
TIMEOUT_CUT_MIN_TARGET_RATIO = (
    0.35  # ... where attempts take this part of their aim, time-outs counted in
)
REMOTE_LIMIT_FRACTION = 0.34  # part of the limit that is dealt to nodes of other zones
ROUNDING_OFFSET_STEP = 0.618034  # golden section: any run of ranks rounds up in proportion
MIN_SLOTS_PER_NODE = 4  # a node holds at least this many slots, however thin its deal
SLOW_BACKEND_LATENCY_RATIO = 1.5  # latency against the fleet's at which a backend's own cap shrinks
# Ties: candidates looked at among the backends holding equally few.
CANDIDATE_COUNT = 3
COST_VALID_NS = 2 * SECOND  # what a backend's last answer said is believed this long
# Waiting: a queued request is refused once this part of its slack is gone, so
# that what is served is served well inside its aim, and that a client who comes
# again at once can still be: with half the slack a fifth of answers were late.
MAX_QUEUE_WAIT_FRACTION = 0.25
MANY_NODES_SLOTS_PER_BACKEND = (
    2  # slots at each server that all nodes' least come to, where nodes are many
)
OVERLOAD_HOLD_NS = (
    SECOND  # after an attempt was turned away or timed out servers are taken to be short
)
TIME_LEFT_STEP_COUNT = 64  # steps in which the time a client has left is told apart
MAX_TIME_LEFT_SAMPLE_COUNT = 4000  # requests remembered for it, about
USUAL_TIME_LEFT_MIN_FRACTION = (
    0.25  # of requests, for a time left to be taken for that of first tries
)
SHORT_DEADLINE_MIN_FRACTION = (
    0.08  # of requests in calm times, where nobody had a try to lose, that look late ...
)
SHORT_DEADLINE_MIN_COUNT = 2  # ... and so many of them: then clients are hasty by nature
CALM_COUNT_DECAY_RATIO = 0.999  # of these counts a cycle
HALF_CLOSE_GRACE_NS = (
    50 * MS
)  # of its client's half-close an attempt that has not begun yet does not
TARGET_MARGIN_FRACTION = 0.03  # an attempt is ended this part of the aim early
ATTEMPT_TIMEOUT_LATENCY_RATIO = 5.0  # a repeatable attempt is given this many mean latencies ...
ATTEMPT_TIMEOUT_MIN_TARGET_FRACTION = 1.0  # ... and at least this part of its aim
RETRY_BUDGET_FRACTION = 0.1  # retries after time-outs allowed per first attempt
RETRY_BUDGET_BURST_COUNT = 10.0
# Back-off of list calls, from half to one and a half of this, doubled with each failure. What
# the list has counts as told 6 s later at the latest, whatever became of the calls.
LIST_BACKOFF_NS = 200 * MS
MAX_LIST_BACKOFF_NS = 1600 * MS
# Health.
MAX_REJECTION_PAUSE_NS = SECOND // 3  # longest rest of a backend that turned an attempt away
DIAL_FAILURE_PAUSE_NS = 50 * MS  # after a lone dial that failed
STALL_LATENCY_RATIO = 6.0  # silence, in mean latencies, after which a backend in use is passed over
EJECTION_TIMEOUT_COUNT = 3  # time-outs in a row, no answer between, that make a backend silent
# Answers that are errors. Some backends fail at once whatever they get, hold least for
# it, and would draw the whole stream; any may send a spoilt answer now and then.
ERROR_FRACTION_GAIN = 0.25
EJECTION_ERROR_FRACTION = 0.55  # errors' smoothed part that takes a backend out: three in a row ...
HIGH_FLEET_ERROR_FRACTION = 0.12  # ... but where so many of all are, any may have three in a row:
EJECTION_ERROR_FRACTION_IN_FAILING_FLEET = 0.9  # then it takes eight
FLEET_ERROR_FRACTION_GAIN = 0.02
UNRELIABLE_HOLD_NS = SECOND
UNRELIABLE_ERROR_FRACTION = (
    0.2  # what may not be repeated goes elsewhere: one lately, or a few before
)
EJECTION_BACKOFF_NS = SECOND
MAX_EJECTION_BACKOFF_NS = 8 * SECOND
# Solver.
CYCLE_NS = SECOND // 2
CYCLE_DECAY_RATIO = 0.85  # of last cycles' sums, so that thin traffic is averaged over seconds
UTILITY_ALPHA = 1.0
UTILITY_BETA = 1.0
MAX_PREDICTED_TARGET_RATIO = 10.0  # predicted times are bounded at this many aims
REFUSED_TARGET_RATIO = 10.0  # a refusal enters the mean response time as this many aims
MIN_SERVED_FRACTION = 0.02  # of a class's requests, for the share that serving all would take
# Slow start: part of the stated budget that all nodes use together, the rest is
# for views that differ and for requests heavier than the mean.
SLOW_START_BUDGET_FRACTION = 0.7
MIN_SLOW_START_SLOT_COUNT = 2

INFINITE = float("inf")
NEVER = 1 << 63

TIMER_WAKE = 1
TIMER_CYCLE = 2
TIMER_LIST = 3


OUTCOMES_NEVER_RAN = (3, 5, 8)
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET = 1, 2, 3, 4, 5, 6
OUTCOMES_MAY_STILL_RUN = (
    4,
    6,
    7,
)  # timed out, reset, cancelled: no answer, and nothing says that it ended


class Backend:
    __slots__ = (
        "abandoned_until", "bucket", "cell", "consecutive_failures", "consecutive_rejections",
        "cost", "ejected_until", "ejection_backoff", "error_fraction", "half_open",
        "hardware_kind", "id", "in_flight", "index", "is_local", "last_outcome_at",
        "latency_ratio", "listed_state", "paused_until", "rounding_offset", "silent_since",
        "slot_limit", "slot_offset", "slow_start_node_count", "slow_start_until", "stalled",
        "started_at", "state", "weight", "zone",
    )  # fmt: skip

    def __init__(self, row: Listing, local: bool) -> None:
        self.id = row.backend
        self.zone = row.zone
        self.cell = row.cell
        self.hardware_kind = row.hardware_kind
        self.started_at = row.started_at
        self.weight = row.weight if row.weight > 0 else 1.0
        self.state = row.state
        self.listed_state = row.state  # the list's word; a ban may go before it
        self.is_local = local
        self.in_flight = 0
        self.abandoned_until: tuple[
            int, ...
        ] = ()  # ends of what was given up and may be at work yet
        self.slot_limit = 0
        self.slot_offset = 0  # this node's place in the deal of this backend's slots
        self.rounding_offset = 0.0  # where this backend's part of the limit rounds up
        self.bucket: list[Backend] | None = None
        self.index = 0
        self.latency_ratio = 1.0  # latency against the fleet's, slowly averaged
        self.cost = 1.0  # the last answer's word on how busy it is
        self.last_outcome_at = 0
        self.silent_since = 0  # last answer, or first send after being idle
        self.stalled = False
        self.half_open = False
        self.ejected_until = 0
        self.ejection_backoff = EJECTION_BACKOFF_NS
        self.consecutive_failures = 0
        self.error_fraction = 0.0  # part of late answers that were errors
        self.consecutive_rejections = 0  # turned away in a row
        self.slow_start_until = 0
        self.slow_start_node_count = 1.0  # nodes like this one that its cold budget would do for
        self.paused_until = 0

    def is_unreliable(self, now: int) -> bool:
        """Whether its last word, a moment ago, was bad, or it is being tried again."""
        bad = self.error_fraction > UNRELIABLE_ERROR_FRACTION or self.consecutive_failures > 0
        return self.half_open or (bad and now - self.last_outcome_at < UNRELIABLE_HOLD_NS)


class Attempt:
    __slots__ = ("backend", "is_open", "response_started", "sent_at")

    def __init__(self, backend: Backend, sent: int) -> None:
        self.backend = backend
        self.sent_at = sent
        self.is_open = True
        self.response_started = False  # its answer has begun


class Request:
    __slots__ = (
        "arrived_at", "attempts", "attempts_in_flight", "cls", "deadline_at", "ended",
        "first_maybe_run", "half_closed_at", "hint", "id", "low_priority", "queued", "target_at",
        "tenant", "wait_until",
    )  # fmt: skip

    def __init__(self, rid: int, cls: ClassState, now: int, left: int, tenant: int) -> None:
        self.id = rid
        self.cls = cls
        self.tenant = tenant
        self.arrived_at = now
        self.deadline_at = now + left
        self.target_at = now + cls.latency_target
        self.wait_until = 0
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0  # attempts still out
        self.first_maybe_run: Attempt | None = None  # the first attempt that may have run
        self.queued = False
        self.low_priority = False
        self.ended = False
        self.half_closed_at = 0  # when its client ended its sending, 0 where it has not
        self.hint = 0


class ClassState:
    """One class's queues, counts and what the solver knows of it."""

    __slots__ = (
        "arrival_count", "baseline_latency", "cycle_count", "effect", "in_flight",
        "latency_count", "latency_target", "low_priority_queue", "mean_latency", "number",
        "passes_by_tenant", "queues_by_tenant", "refused_count", "response_count",
        "response_time_sum", "share", "share_sum", "spec", "time_left_count",
        "time_left_histogram", "usual_time_left_step", "virtual_time", "waiting",
        "waiting_by_tenant", "waiting_low_priority",
    )  # fmt: skip

    def __init__(self, number: int, spec: RequestClass, tenants: int) -> None:
        self.number = number
        self.spec = spec
        self.latency_target = spec.latency_target
        self.effect = spec.effect
        # Lines may hold requests that have ended; `counts` tells who still waits.
        self.queues_by_tenant: list[deque[Request]] = [deque() for _ in range(max(1, tenants))]
        self.waiting_by_tenant = [0] * max(1, tenants)
        self.passes_by_tenant = [0.0] * max(1, tenants)
        self.low_priority_queue: deque[Request] = deque()
        self.waiting = 0  # within quota
        self.waiting_low_priority = 0
        self.time_left_histogram = [0] * (
            TIME_LEFT_STEP_COUNT + 1
        )  # requests by the time their client had left
        self.usual_time_left_step = 0  # the step most came with
        self.time_left_count = 0
        self.in_flight = 0
        self.share = 1
        self.virtual_time = 0.0  # the turn that was served last
        self.mean_latency = spec.latency_target / 4.0
        self.latency_count = 0.0
        self.baseline_latency = 0.0  # mean attempt latency when uncrowded
        self.arrival_count = 0.0
        self.response_time_sum = 0.0
        self.refused_count = 0.0
        self.response_count = 0.0
        self.share_sum = 0.0
        self.cycle_count = 0.0

    def estimate_elapsed(self, left: int) -> int:
        """How long ago a try's client began, 0 where the time left does not tell.

        Clients give up a try after one usual time; a later try has less where
        the deadline is near, and the last one all that is left. The longest time
        seen is thus not a first try's: taken for it, all first tries looked late.
        """
        deadline = self.spec.deadline
        step = max(0, min(TIME_LEFT_STEP_COUNT * left // deadline, TIME_LEFT_STEP_COUNT))
        self.time_left_count += 1
        self.time_left_histogram[step] += 1
        if self.time_left_histogram[step] > self.time_left_histogram[self.usual_time_left_step]:
            self.usual_time_left_step = step
        if self.time_left_count >= MAX_TIME_LEFT_SAMPLE_COUNT:
            # Over days what clients usually leave changes, and must be seen to.
            self.time_left_count //= 2
            self.time_left_histogram = [n // 2 for n in self.time_left_histogram]
        if (
            abs(step - self.usual_time_left_step) <= 1
            or self.time_left_histogram[self.usual_time_left_step]
            < USUAL_TIME_LEFT_MIN_FRACTION * self.time_left_count
        ):
            return 0
        return max(deadline - left, 0)


def first_node(rank: int, servers: int, nodes: int) -> int:
    """The node that a server's slots are dealt to first, of more nodes than servers or fewer.

    With more nodes the ranks alone end before the nodes do: of 182 nodes before 119 servers
    47 to 55 held no slot near, and up to 30 none at all (two to five zones).
    """
    return rank * nodes // servers if servers < nodes else rank


def predict_response_time(rate: float, mean: float, old: float, new: float) -> float:
    """Mean response time at share `new` (eqs. 8 and 9); inf where saturated."""
    denominator = 1.0 / mean + rate * (1.0 / old - 1.0 / new)
    return 1.0 / denominator if denominator > 0 else INFINITE


def utility(aim: float, time: float, worth: float) -> float:
    """The paper's curve over times in aims; worth scales only the side of missing."""
    miss = min(time / aim, MAX_PREDICTED_TARGET_RATIO) - 1.0
    return float((-miss) ** UTILITY_ALPHA if miss <= 0 else -worth * miss**UTILITY_BETA)


def solve_max_min_shares(
    total: int, flows: Sequence[tuple[float, float, float, float, float]]
) -> list[int]:
    """Max-min integer shares, each at least 1, for (rate, mean, share, aim, worth).

    Handing the slots one by one to the class that stands lowest gives the
    max-min optimum because no utility falls as a share grows. A class with no
    traffic (rate or mean 0) keeps its one slot until all others are content.
    """
    shares = [1] * len(flows)

    def stand(i: int) -> float:
        rate, mean, old, aim, worth = flows[i]
        if rate <= 0 or mean <= 0:
            return 1.0
        t = predict_response_time(rate, mean, max(old, 1.0), shares[i])
        if t == INFINITE:
            # Among saturated classes more slots still mean less overload.
            return float(
                -worth * (MAX_PREDICTED_TARGET_RATIO - 1.0) ** UTILITY_BETA
                - worth * rate * aim / shares[i]
            )
        return utility(aim, t, worth)

    stands = [stand(i) for i in range(len(flows))]
    for _ in range(total - len(flows)):
        low = min(range(len(flows)), key=stands.__getitem__)
        shares[low] += 1
        stands[low] = stand(low)
    return shares


class Balancer:
    """Decides for one node; see the module's docstring."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.random = Random(seed)
        self.now = 0
        tenants = len(settings.tenants)
        self.classes = [ClassState(i, c, tenants) for i, c in enumerate(settings.classes)]
        self.backends: dict[int, Backend] = {}
        self.banned: set[int] = set()  # by an operator's word, whatever the list says
        self.requests: dict[int, Request] = {}
        # Buckets of free backends by requests held: own zone, then the others.
        self.local_buckets: list[list[Backend]] = [[]]
        self.remote_buckets: list[list[Backend]] = [[]]
        self.total_slots = 0  # N_g
        self.in_flight = 0
        self.waiting = 0  # queued within quota
        self.waiting_low_priority = 0
        self.concurrency_limit = INITIAL_CONCURRENCY_LIMIT
        self.current_class = 0
        self.turns_left = 0
        self.wakeups: list[tuple[int, int, Request | Backend]] = []
        self.wakeup_count = 0
        self.next_wakeup_at = 0
        # Quotas: this node's part of each tenant's rate, as a bucket of one second.
        self.quota_rates = [t.quota_per_s / settings.balancers / SECOND for t in settings.tenants]
        self.tenant_strides = [1.0 / max(t.share, 1e-6) for t in settings.tenants]
        self.quota_tokens = [max(q * SECOND, 1.0) for q in self.quota_rates]
        self.quota_tokens_at = [0] * tenants
        self.retry_budget = self.max_retry_budget = RETRY_BUDGET_BURST_COUNT
        # What several hosts share, by `parts`: most requests at each server, until when, and then.
        self.granted_slots: dict[int, int] | None = None
        self.granted_slots_after_expiry: dict[int, int] | None = None
        self.grant_expires_at = NEVER
        self.instance_count = 1  # that send to the same backends with modules of their own
        # Since the last cycle.
        self.outcome_count = 0
        self.rejection_count = 0
        self.timeout_count = 0
        self.target_ratio_sums = [0.0] * len(self.classes)
        self.target_ratio_counts = [0.0] * len(self.classes)
        self.queued_in_cycle = False
        self.send_count = 0
        self.send_rate = 0.0  # a second, smoothed
        self.fleet_error_fraction = 0.0  # part of all late answers that were errors
        self.ejected_count = 0  # ready backends ejected
        self.ready_count = 0
        self.list_failure_count = 0
        self.list_call_pending = False
        self.log_silent_until = 0
        self.overloaded_until = 0
        self.last_loss_at = 0  # the last refusal or strain, or the start
        self.calm_count = 0.0  # requests so long after it that none was a further try ...
        self.calm_late_count = 0.0  # ... and of them those that looked late all the same
        self.is_one_of_many = False  # one of so many nodes that its own line tells little
        columns = settings.load_columns
        self.queue_column = columns.index("q") if "q" in columns else -1
        own = settings.node % settings.zones == settings.zone % settings.zones
        same = range(settings.zone, settings.balancers, settings.zones) if own else ()
        self.zone_node_count = max(1, len(same) or -(-settings.balancers // settings.zones))
        self.zone_node_index = settings.node // settings.zones

    # ---- start, list --------------------------------------------------

    def start(self, now: int) -> None:
        self.now = self.last_loss_at = now
        self.quota_tokens_at = [now] * len(self.quota_rates)
        self.actions.set_timer(TIMER_CYCLE, now + self.random.randrange(CYCLE_NS // 2, CYCLE_NS))
        if self.settings.ask:
            # Starts come together; the list service answers a fixed number of lines.
            spread = min(self.settings.ask_within // 4, self.settings.balancers * 100 * MS)
            self.actions.set_timer(TIMER_LIST, now + self.random.randrange(1, spread + 2))

    def on_backend_list(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None:
        self.now = now
        if update == Update.FAILED:
            self.list_call_pending = False
            self.list_failure_count += 1
            self.log_limited(now, "list call failed")
            # What happened meanwhile may count as told: the first repeats come soon, and two
            # calls that fail in turn leave time for a third that does not, see LIST_RETRY.
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
            named = {row.backend for row in rows}
            for backend in self.backends.values():
                if backend.id not in named:
                    self.set_state(backend, State.GONE)
                    self.update_bucket(backend)
        for row in rows:
            self.apply_listing(now, row, update)
        for backend in [b for b in self.backends.values() if b.state == State.GONE]:
            self.forget_if_gone(backend)
        self.assign_slots()
        self.dispatch(now)

    def apply_listing(self, now: int, row: Listing, update: Update) -> None:
        backend = self.backends.get(row.backend)
        if backend is None:
            if row.state == State.GONE:
                return
            backend = Backend(row, row.zone == self.settings.zone)
            self.backends[row.backend] = backend
            self.set_state(backend, row.state)
            if row.started_at and now - row.started_at < self.settings.slow_start:
                backend.slow_start_until = row.started_at + self.settings.slow_start
        else:
            if row.state != State.GONE and row.started_at and row.started_at != backend.started_at:
                backend.started_at = row.started_at
                backend.slow_start_until = max(
                    backend.slow_start_until, row.started_at + self.settings.slow_start
                )
                if backend.ejected_until:
                    self.end_ejection(backend)
            self.set_state(backend, row.state)
            if row.state != State.GONE:
                backend.weight = row.weight if row.weight > 0 else 1.0
        self.update_bucket(backend)

    def ban(self, now: int, backend: int) -> None:
        """Send a backend nothing new, whatever the list says, until `lift`; it may be unknown.

        It is treated as one that drains: what it holds goes on to its outcome.
        """
        self.banned.add(backend)
        self.reapply_listed_state(now, backend)

    def lift_ban(self, now: int, backend: int) -> None:
        """End a ban. Nobody bans a backend but to restart it: it comes back cold."""
        b = self.backends.get(backend)
        if b is not None and backend in self.banned:
            b.slow_start_until = max(b.slow_start_until, now + self.settings.slow_start)
        self.banned.discard(backend)
        self.reapply_listed_state(now, backend)

    def reapply_listed_state(self, now: int, backend: int) -> None:
        self.now = now
        b = self.backends.get(backend)
        if b is not None:
            self.set_state(b, b.listed_state)
            self.update_bucket(b)
            self.assign_slots()
            self.dispatch(now)

    def set_state(self, b: Backend, state: State) -> None:
        """Only ready backends count as ejected, against half of the ready ones."""
        b.listed_state = state
        if state == State.READY and b.id in self.banned:
            state = State.DRAINING
        b.state = state
        if state != State.READY and b.ejected_until:
            b.ejected_until = 0
            self.ejected_count -= 1

    def forget_if_gone(self, b: Backend) -> None:
        """Forget a backend that has gone, once its last attempt has its outcome.

        Backends come under ever new ids: kept, each would cost memory and a look at it
        twice a second, for good. One that comes back under its id begins anew.
        """
        if b.state == State.GONE and not b.in_flight:
            self.update_bucket(b)
            self.backends.pop(b.id, None)

    def assign_slots(self) -> None:
        """Deal every backend's slots to the nodes in turn (the paper's eqs. 5 and 6).

        The paper splits N_s among gateways in proportion to w_g. With more
        gateways than slots the integer nearest most parts is 0, so each node
        takes the backends whose turn falls on it. Ranks in the sorted list are
        the same at every node that holds the same list, so no word is needed.
        """
        settings = self.settings
        zones: dict[int, list[Backend]] = {}
        for backend in self.backends.values():
            if backend.state == State.READY:
                zones.setdefault(backend.zone, []).append(backend)
        self.ready_count = 0
        others = max(1, settings.balancers - self.zone_node_count)
        remote = sum(len(rows) for zone, rows in zones.items() if zone != settings.zone)
        far = 0
        for zone in sorted(zones):
            rows = sorted(zones[zone], key=lambda b: b.id)
            self.ready_count += len(rows)
            for rank, backend in enumerate(rows):
                # Rounded up everywhere, a limit just over 2 would deal three slots.
                backend.rounding_offset = rank * ROUNDING_OFFSET_STEP % 1.0
                if backend.is_local:
                    backend.slot_offset = (
                        self.zone_node_index - first_node(rank, len(rows), self.zone_node_count)
                    ) % (self.zone_node_count)
                else:
                    backend.slot_offset = (settings.node - first_node(far, remote, others)) % others
                    far += 1
        self.update_slot_limits()

    def update_slot_limits(self) -> None:
        settings = self.settings
        local = sum(1 for b in self.backends.values() if b.is_local and b.state == State.READY)
        limit = self.concurrency_limit
        self.is_one_of_many = (
            MIN_SLOTS_PER_NODE * self.zone_node_count >= MANY_NODES_SLOTS_PER_BACKEND * local > 0
        )
        if local:
            limit = max(limit, MIN_SLOTS_PER_NODE * self.zone_node_count / local)
        spill = limit * REMOTE_LIMIT_FRACTION
        others = max(1, settings.balancers - self.zone_node_count)
        many = settings.balancers > self.zone_node_count  # others than those that are near
        total = 0
        for backend in self.backends.values():
            if backend.state != State.READY:
                continue
            depth = limit if backend.is_local else spill
            if backend.latency_ratio > SLOW_BACKEND_LATENCY_RATIO:
                depth = min(depth, max(1.0, depth / backend.latency_ratio))
            if backend.slow_start_until > self.now:
                # At two slots for the whole slow start a rolling release left a
                # zone of half-warm backends idle and its nodes short of slots.
                depth = min(
                    depth, max(MIN_SLOW_START_SLOT_COUNT, depth * self.warm_fraction(backend))
                )
            nodes = self.zone_node_count if backend.is_local else others
            # Near and far nodes share one cold budget as they share the limit.
            part = (
                (1.0 if backend.is_local else REMOTE_LIMIT_FRACTION) / (1.0 + REMOTE_LIMIT_FRACTION)
                if many
                else 1.0
            )
            backend.slow_start_node_count = max(1, min(int(depth + 1.0), nodes)) / part
            depth = int(depth + backend.rounding_offset)
            cap = -(-(depth - backend.slot_offset) // nodes) if depth > backend.slot_offset else 0
            if self.granted_slots is not None:
                cap = min(cap, self.granted_slots.get(backend.id, 0))
            backend.slot_limit = cap
            total += cap
            self.update_bucket(backend)
        self.total_slots = max(total, 1)

    def update_bucket(self, b: Backend) -> None:
        """Put a backend into the bucket of what it holds, or in none if not free."""
        if b.abandoned_until:
            b.abandoned_until = tuple(end for end in b.abandoned_until if end > self.now)
        free = (
            b.state == State.READY
            and b.in_flight + len(b.abandoned_until)
            < (min(b.slot_limit, 1) if b.half_open else b.slot_limit)
            and not b.stalled
            and not b.ejected_until
            and b.paused_until <= self.now
        )
        bucket = None
        if free:
            pool = self.local_buckets if b.is_local else self.remote_buckets
            while len(pool) <= b.in_flight:
                pool.append([])
            bucket = pool[b.in_flight]
        old = b.bucket
        if old is bucket:
            return
        if old is not None:
            last = old.pop()
            if last is not b:
                old[b.index] = last
                last.index = b.index
        if bucket is not None:
            b.index = len(bucket)
            bucket.append(b)
        b.bucket = bucket

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
        """Take a request; `left` is what its client has left after `waited` unread here."""
        self.now = now
        if not 0 <= cls < len(self.classes):
            raise ValueError(f"unknown request class {cls}")
        if request in self.requests:
            return  # told twice: one answer is owed, not two
        c = self.classes[cls]
        r = Request(request, c, now, time_left, tenant)
        if c.spec.target_stretch and hint:
            r.target_at = now + min(
                c.latency_target + int(c.spec.target_stretch * hint), c.spec.deadline
            )
        r.hint = hint
        self.requests[request] = r
        c.arrival_count += 1
        elapsed = c.estimate_elapsed(time_left + read_delay)
        if read_delay > self.settings.tick:
            # A host that lags behind tells later of all requests alike. Taken for
            # the clients' own time that would hide who comes for the first time.
            elapsed += read_delay
        late = elapsed > 0 and elapsed + c.mean_latency >= c.latency_target
        if now > self.last_loss_at + c.spec.deadline:
            self.calm_count += 1
            self.calm_late_count += late
        if elapsed:
            r.target_at -= elapsed
            if late:
                # Late by its first try whatever is done: clients that keep coming
                # must not hold the slots that those in time need.
                r.target_at = now + c.latency_target
                r.low_priority = True
                if c.spec.late_value <= 0 and self.should_refuse_late(now):
                    # Here nobody may wait behind it, and at the servers others do: 200 nodes
                    # that each had a slot free for it served one in eight late, and the
                    # next first tries were refused, came again and were late in their turn.
                    # A node with a good part of the traffic has those others in its own line,
                    # and the guess may be wrong: two nodes refused 40 of 100 by it.
                    self.refuse_or_fail(r)
                    return
        slack = min(r.target_at, r.deadline_at) - now - int(c.mean_latency)
        r.wait_until = now + max(int(slack * MAX_QUEUE_WAIT_FRACTION), 0)
        if self.quota_rates:
            r.low_priority = self.exceeds_quota(now, tenant) or r.low_priority
        if (
            client_retry
            and c.spec.late_value <= 0
            and self.settings.max_retry_after > c.latency_target
        ):
            # Told to stay away for longer than its aim, a client that comes again
            # is late by its first try: its answer is worth least.
            r.low_priority = True
        self.enqueue(r, False)
        self.dispatch(now)
        if r.queued:
            self.queued_in_cycle = True
            self.schedule_wakeup(r.wait_until, r)

    def should_refuse_late(self, now: int) -> bool:
        """Whether servers are short and what looks late is a further try, not a client in haste.

        Where a fifth of the clients had little time from the first, a quarter of all first
        tries was refused beside free slots.
        """
        hasty = self.calm_late_count >= max(
            SHORT_DEADLINE_MIN_COUNT, SHORT_DEADLINE_MIN_FRACTION * self.calm_count
        )
        return self.is_one_of_many and now < self.overloaded_until and not hasty

    def exceeds_quota(self, now: int, tenant: int) -> bool:
        """Whether a tenant's request exceeds this node's part of its quota."""
        if not 0 <= tenant < len(self.quota_rates):
            raise ValueError(f"unknown tenant {tenant}")
        rate = self.quota_rates[tenant]
        burst = max(rate * SECOND, 1.0)
        credit = min(burst, self.quota_tokens[tenant] + rate * (now - self.quota_tokens_at[tenant]))
        self.quota_tokens_at[tenant] = now
        over = credit < 1.0
        self.quota_tokens[tenant] = credit if over else credit - 1.0
        return over and rate > 0

    def enqueue(self, r: Request, front: bool) -> None:
        c = r.cls
        r.queued = True
        if r.low_priority:
            self.waiting_low_priority += 1
            c.waiting_low_priority += 1
            line = c.low_priority_queue
        else:
            self.waiting += 1
            c.waiting += 1
            t = r.tenant if self.quota_rates else 0
            line = c.queues_by_tenant[t]
            if self.quota_rates and not c.waiting_by_tenant[t]:
                # A tenant that comes back does not bring old turns with it.
                c.passes_by_tenant[t] = max(c.passes_by_tenant[t], c.virtual_time)
            c.waiting_by_tenant[t] += 1
        if front:
            line.appendleft(r)
        else:
            line.append(r)

    def dequeue(self, r: Request) -> None:
        """Count a request out of its line; its place there is dropped when met."""
        c = r.cls
        r.queued = False
        if r.low_priority:
            self.waiting_low_priority -= 1
            c.waiting_low_priority -= 1
            line = c.low_priority_queue
        else:
            self.waiting -= 1
            c.waiting -= 1
            t = r.tenant if self.quota_rates else 0
            c.waiting_by_tenant[t] -= 1
            line = c.queues_by_tenant[t]
        while line and not line[0].queued:
            line.popleft()  # else a line that is seldom served keeps all that gave up

    def take_next_request(self, c: ClassState, over: bool) -> Request:
        """Next request of a class: tenants in turn by portion, beyond quota behind."""
        line = c.low_priority_queue
        if not over:
            t = 0
            if self.quota_rates:
                best = INFINITE
                for i, n in enumerate(c.waiting_by_tenant):
                    if n and c.passes_by_tenant[i] < best:
                        best, t = c.passes_by_tenant[i], i
                c.virtual_time = best
                c.passes_by_tenant[t] += self.tenant_strides[t]
            line = c.queues_by_tenant[t]
        while True:
            r = line.popleft()
            if r.queued:
                self.dequeue(r)
                return r

    def select_next_class(self, over: bool) -> ClassState:
        """Weighted round robin; a class under its share goes before one above it."""
        classes = self.classes
        n = len(classes)
        start = self.current_class if self.turns_left > 0 else (self.current_class + 1) % n
        spare = None
        for step in range(n):
            i = (start + step) % n
            c = classes[i]
            if c.waiting_low_priority if over else c.waiting:
                if c.in_flight < c.share:
                    return self.start_class_turn(i)
                if spare is None:
                    spare = i
        assert spare is not None
        return self.start_class_turn(spare)

    def start_class_turn(self, i: int) -> ClassState:
        c = self.classes[i]
        if i != self.current_class or self.turns_left <= 0:
            self.current_class = i
            self.turns_left = c.share
        self.turns_left -= 1
        return c

    def dispatch(self, now: int) -> None:
        if now > self.grant_expires_at:
            # Looked at here, before any send: a host that was stopped must not go by old parts.
            self.grant_expires_at = NEVER
            self.granted_slots = self.granted_slots_after_expiry
            self.update_slot_limits()
        while self.in_flight < self.total_slots:
            over = False
            if not self.waiting:
                if not self.waiting_low_priority:
                    return
                over = True
            backend = self.pick_backend(now)
            if backend is None:
                return
            r = self.take_next_request(self.select_next_class(over), over)
            # A repeat's window may close while it waits for a slot.
            if now > r.wait_until or (r.attempts and not self.may_retry(now, r)):
                self.refuse_or_fail(r)
                continue
            target = self.choose_backend_for(now, r, backend)
            if target is None:
                self.refuse_or_fail(r)
            else:
                self.start_attempt(now, r, target)

    def pick_backend(self, now: int, sound: bool = False) -> Backend | None:
        """Fewest in flight among free backends, own zone first; ties by last answers.

        With `sound` one that is not in doubt, where any is free.
        """
        for pool in (self.local_buckets, self.remote_buckets):
            for bucket in pool:
                while bucket:
                    n = len(bucket)
                    best = bucket[int(self.random.random() * n)]
                    if n > 1:
                        cost = best.cost if now - best.last_outcome_at < COST_VALID_NS else 1.0
                        for _ in range(CANDIDATE_COUNT - 1):
                            other = bucket[int(self.random.random() * n)]
                            c = other.cost if now - other.last_outcome_at < COST_VALID_NS else 1.0
                            if c < cost:
                                best, cost = other, c
                    if best.in_flight and now - best.silent_since > self.stall_timeout():
                        # A hung backend with room left must not collect more.
                        best.stalled = True
                        self.update_bucket(best)
                        continue
                    if sound and best.is_unreliable(now):
                        # Failing at once it holds fewest, and would get everything.
                        other_one = next((b for b in bucket if not b.is_unreliable(now)), None)
                        if other_one is None:
                            break
                        best = other_one
                    return best
        return None

    def stall_timeout(self) -> float:
        return STALL_LATENCY_RATIO * max(c.mean_latency for c in self.classes)

    def choose_backend_for(self, now: int, r: Request, backend: Backend) -> Backend | None:
        """A further attempt goes elsewhere than the last where it can."""
        if not r.attempts:
            if r.cls.effect != Effect.PURE and backend.is_unreliable(now):
                # What may not be repeated is lost where it fails; the others find out.
                return self.pick_backend(now, sound=True) or backend
            return backend
        if (
            r.first_maybe_run is not None
            and r.cls.effect == Effect.TOKEN
            and r.cls.spec.scope != Scope.ALL
        ):
            return self.pick_in_dedup_scope(r)
        for _ in range(CANDIDATE_COUNT):
            if all(a.backend is not backend for a in r.attempts):
                break
            other = self.pick_backend(now, sound=True)
            if other is not None:
                backend = other
        return backend

    def pick_in_dedup_scope(self, r: Request) -> Backend | None:
        """The repeat of a keyed request must reach those that know its key.

        None where no ready backend of the group is left: the first one may be
        draining by now and must not get the repeat either.
        """
        assert r.first_maybe_run is not None
        first = r.first_maybe_run.backend
        zone = r.cls.spec.scope == Scope.ZONE
        free = [
            b
            for b in self.backends.values()
            if b.state == State.READY
            and not b.ejected_until
            and (b.zone == first.zone if zone else b.cell == first.cell)
        ]
        return min(free, key=lambda b: (b is first, b.in_flight, b.id)) if free else None

    def start_attempt(self, now: int, r: Request, b: Backend) -> None:
        c = r.cls
        end = r.deadline_at
        if c.spec.late_value <= 0:
            end = min(end, r.target_at - int(c.latency_target * TARGET_MARGIN_FRACTION))
        limit = max(end - now, MS)
        if not r.attempts:
            self.retry_budget = min(
                self.retry_budget + RETRY_BUDGET_FRACTION, self.max_retry_budget
            )
        if c.effect == Effect.PURE and len(r.attempts) + 1 < self.settings.max_attempts:
            patience = int(
                max(
                    ATTEMPT_TIMEOUT_LATENCY_RATIO * c.mean_latency,
                    ATTEMPT_TIMEOUT_MIN_TARGET_FRACTION * c.latency_target,
                )
            )
            if self.retry_budget >= 1.0:
                limit = min(limit, patience)
        r.attempts.append(Attempt(b, now))
        r.attempts_in_flight += 1
        c.in_flight += 1
        self.in_flight += 1
        self.send_count += 1
        if not b.in_flight:
            b.silent_since = now
        b.in_flight += 1
        if b.slow_start_until > now:
            self.pace_slow_start(now, b)
        self.update_bucket(b)
        self.actions.send(r.id, b.id, limit)

    def pace_slow_start(self, now: int, b: Backend) -> None:
        """Space out what a cold backend gets, to this node's part of its budget."""
        s = self.settings
        usual = self.send_rate * s.balancers / max(self.ready_count, 1)
        rate = SLOW_START_BUDGET_FRACTION * s.overload_factor * self.warm_fraction(b) * usual
        most = s.overload_window * self.instance_count
        gap = most if rate <= 0 else min(int(SECOND * b.slow_start_node_count / rate), most)
        b.paused_until = now + gap
        self.schedule_wakeup(b.paused_until, b)

    def warm_fraction(self, b: Backend) -> float:
        """The part of its capacity a cold backend is guessed to have by now."""
        s = self.settings
        warm = 1.0 - (b.slow_start_until - self.now) / max(s.slow_start, 1)
        return s.slow_start_fraction + (1.0 - s.slow_start_fraction) * max(0.0, min(1.0, warm))

    def schedule_wakeup(self, due: int, item: Request | Backend) -> None:
        """Look at a queued request or a resting backend again at `due`."""
        self.wakeup_count += 1
        heappush(self.wakeups, (due, self.wakeup_count, item))
        if not self.next_wakeup_at or due < self.next_wakeup_at:
            self.next_wakeup_at = due
            self.actions.set_timer(TIMER_WAKE, due)

    def refuse_or_fail(self, r: Request) -> None:
        """The final answer without service: refused where harmless, else failed."""
        if r.ended:
            return
        r.ended = True
        if not r.low_priority and not r.half_closed_at:
            r.cls.refused_count += 1
        self.last_loss_at = self.now
        if not r.attempts_in_flight:
            self.requests.pop(r.id, None)
        if self.may_refuse(r):
            self.actions.refuse(r.id, self.retry_after(r))
        else:
            self.actions.fail(r.id)

    def retry_after(self, r: Request) -> int:
        """How long a refused client should wait.

        Told to wait past its aim, a client comes back with a try that is late
        whatever is done. Where such tries carry no mark they take slots from
        those in time and keep a jam going; then no wait is asked, and what
        comes back at once can still be answered in time.
        """
        s = self.settings
        late = r.cls.spec.late_value <= 0 and s.max_retry_after > r.cls.latency_target
        return 0 if late and not s.clients_mark_retries else s.max_retry_after

    def may_refuse(self, r: Request) -> bool:
        if r.cls.effect == Effect.PURE:
            return True
        if r.attempts_in_flight:
            return False
        if r.first_maybe_run is None:
            return True
        return r.cls.effect == Effect.TOKEN and r.cls.spec.scope == Scope.ALL

    def may_retry(self, now: int, r: Request) -> bool:
        """Whether another attempt is allowed; in_group says where for keyed ones."""
        if (
            r.attempts_in_flight
            or r.half_closed_at
            or len(r.attempts) >= self.settings.max_attempts
        ):
            return False
        if r.first_maybe_run is None or r.cls.effect == Effect.PURE:
            return True
        if r.cls.effect == Effect.SIDE_EFFECT:
            return False
        return now < r.first_maybe_run.sent_at + r.cls.spec.retry_window

    def may_start_attempt(self, now: int, request: int, attempt: int) -> bool:
        """Whether an attempt that has not left yet, its connection being made, may do so now."""
        r = self.requests.get(request)
        if r is None or r.ended or attempt >= len(r.attempts):
            return False
        if r.half_closed_at and now - r.half_closed_at > HALF_CLOSE_GRACE_NS:
            return False
        if r.first_maybe_run is None or r.cls.effect != Effect.TOKEN:
            return True
        return now < r.first_maybe_run.sent_at + r.cls.spec.retry_window

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
        self.now = now
        r = self.requests.get(request)
        if r is None or attempt >= len(r.attempts) or not r.attempts[attempt].is_open:
            return
        a = r.attempts[attempt]
        a.is_open = False
        b = a.backend
        c = r.cls
        r.attempts_in_flight -= 1
        if not a.response_started:
            self.release_slot(c, b)
            if self.granted_slots is not None and outcome in OUTCOMES_MAY_STILL_RUN:
                # Given up here it may go on there: its place is not another's to take yet.
                until = a.sent_at + c.spec.deadline
                b.abandoned_until = (*b.abandoned_until, until)
                self.schedule_wakeup(until, b)
        self.outcome_count += 1
        if outcome in (FULL, TIMEOUT):
            self.overloaded_until = now + OVERLOAD_HOLD_NS
            self.last_loss_at = now
        if b.stalled and not b.in_flight:
            # All it held has ended without an answer: nothing else would let it back in.
            b.stalled = False
            b.half_open = True
        if outcome == OK:
            if not a.response_started:
                self.record_answer(now, c, b, duration, load)
            if not r.ended:
                c.response_time_sum += now - r.arrived_at
                c.response_count += 1
        else:
            self.record_failure(now, c, b, outcome, duration)
        self.update_bucket(b)
        self.forget_if_gone(b)
        if outcome not in OUTCOMES_NEVER_RAN and r.first_maybe_run is None:
            r.first_maybe_run = a
        if answered or outcome == OK:
            r.ended = True
        if r.ended:
            if not r.attempts_in_flight:
                self.requests.pop(request, None)
        elif not r.attempts_in_flight:
            self.retry_or_answer(
                now, r, min(duration / c.mean_latency, 1.0) if outcome == ERROR else 1.0
            )
        self.dispatch(now)

    def retry_or_answer(self, now: int, r: Request, price: float) -> None:
        """Queue a further attempt ahead of the others, or answer for good.

        The budget bounds work done twice: an error that came at once cost none.
        Charged in full, two failing backends of eleven used it up and a fifth of
        the requests was refused with most of the fleet idle.
        """
        c = r.cls
        r.wait_until = min(r.target_at, r.deadline_at) - int(c.mean_latency)
        fits = now < r.wait_until and self.may_retry(now, r)
        if fits and r.first_maybe_run is not None:
            fits = self.retry_budget >= price
            if fits:
                self.retry_budget -= price
        if not fits:
            self.refuse_or_fail(r)
            return
        self.enqueue(r, True)
        self.schedule_wakeup(r.wait_until, r)

    def record_answer(
        self, now: int, c: ClassState, b: Backend, taken: int, load: Sequence[float]
    ) -> None:
        ratio = self.record_latency(c, b, taken)
        cost = 0.5 * b.latency_ratio + 0.5 * ratio
        if 0 <= self.queue_column < len(load):
            cost = b.latency_ratio * (1.0 + max(load[self.queue_column], 0.0))
        b.cost = cost
        b.last_outcome_at = now
        b.silent_since = now
        b.stalled = False
        b.consecutive_rejections = 0
        b.consecutive_failures = 0
        b.half_open = False
        b.error_fraction -= ERROR_FRACTION_GAIN * b.error_fraction
        self.fleet_error_fraction -= FLEET_ERROR_FRACTION_GAIN * self.fleet_error_fraction
        if b.error_fraction < UNRELIABLE_ERROR_FRACTION:
            b.ejection_backoff = EJECTION_BACKOFF_NS

    def record_latency(self, c: ClassState, b: Backend, taken: int) -> float:
        """Learn from how long an attempt was out; returns it against the class's mean."""
        # A hung backend's time-outs last many aims; taken whole, a handful would
        # look like a jam of the fleet and cut every backend's slots.
        taken = min(taken, int(MAX_TARGET_RATIO * c.latency_target))
        gain = 0.05 if c.latency_count > 20 else 0.2
        c.latency_count += 1
        c.mean_latency += gain * (taken - c.mean_latency)
        self.target_ratio_sums[c.number] += taken / c.latency_target
        self.target_ratio_counts[c.number] += 1
        ratio = min(taken / c.mean_latency, 10.0)
        b.latency_ratio += 0.2 * (ratio - b.latency_ratio)
        return ratio

    def record_failure(self, now: int, c: ClassState, b: Backend, outcome: int, taken: int) -> None:
        if outcome == FULL:
            self.rejection_count += 1
            b.cost = 4.0
            b.last_outcome_at = now
            b.silent_since = now
            # A full backend answers at once and so would always hold fewest:
            # without a rest it draws the whole stream.
            b.consecutive_rejections += 1
            rest = int(c.mean_latency * (0.5 + self.random.random())) << min(
                b.consecutive_rejections - 1, 6
            )
            b.paused_until = max(b.paused_until, now + min(rest, MAX_REJECTION_PAUSE_NS))
            self.schedule_wakeup(b.paused_until, b)
        elif outcome in (ERROR, RESET):
            # A break is the network's or the connection's as often as the backend's: a
            # process that ended refuses the next dial, and one that vanished is silent.
            # Taken for a restart, two in a row left half of a sound fleet out, then cold.
            b.cost = 6.0
            b.last_outcome_at = b.silent_since = now  # it is there
            b.stalled = False
            b.consecutive_failures = 0
            b.error_fraction += ERROR_FRACTION_GAIN * (1.0 - b.error_fraction)
            self.fleet_error_fraction += FLEET_ERROR_FRACTION_GAIN * (
                1.0 - self.fleet_error_fraction
            )
            if b.error_fraction > (
                EJECTION_ERROR_FRACTION
                if self.fleet_error_fraction < HIGH_FLEET_ERROR_FRACTION
                else EJECTION_ERROR_FRACTION_IN_FAILING_FLEET
            ):
                self.eject(now, b, "errors or breaks in a row")
        elif outcome in (TIMEOUT, CONNECT_FAILED):
            b.cost = 6.0
            b.last_outcome_at = now
            if outcome == TIMEOUT:
                # Answers alone would make a jam look like light load: the limit
                # would stay up while most work is given up on.
                self.record_latency(c, b, max(taken, c.latency_target))
                # Learnt in a jam, the uncrowded latency is the jam's own, and only
                # time-outs tell. A hung backend answers nothing and counts once.
                self.timeout_count += not b.consecutive_failures
            b.consecutive_failures += 1
            lost = outcome == CONNECT_FAILED
            # One time-out may be load: with one slot it always looks like silence.
            if lost and b.consecutive_failures == 1:
                # The network breaks single dials, on some days one in twenty, and none of
                # them ran: left out for a second each, up to four of ten were out at once.
                b.paused_until = max(b.paused_until, now + DIAL_FAILURE_PAUSE_NS)
                self.schedule_wakeup(b.paused_until, b)
            elif lost:
                # One that has ended refuses the next too. Its own start, however short,
                # comes with the list.
                self.eject(now, b, "connections failed", restarted=True)
            elif b.consecutive_failures >= EJECTION_TIMEOUT_COUNT and now - b.silent_since >= taken:
                self.eject(now, b, "no answer since the send")

    def eject(self, now: int, b: Backend, why: str, restarted: bool = False) -> None:
        """Leave a silent, failing or unreachable backend alone; never more than half of all."""
        if (
            b.state != State.READY
            or b.ejected_until
            or (self.ejected_count + 1) * 2 > self.ready_count
        ):
            return
        b.ejected_until = now + b.ejection_backoff
        b.ejection_backoff = min(b.ejection_backoff * 2, MAX_EJECTION_BACKOFF_NS)
        if restarted:
            # Its process may be replaced before the list says so.
            b.slow_start_until = b.ejected_until + self.settings.slow_start
        self.log_limited(now, f"backend {b.id} out: {why}")
        self.ejected_count += 1
        self.schedule_wakeup(b.ejected_until, b)
        self.update_bucket(b)

    def log_limited(self, now: int, text: str) -> None:
        """Log a rare change of state, one line a second at most."""
        if now >= self.log_silent_until:
            self.log_silent_until = now + SECOND
            self.actions.log(text)

    def end_ejection(self, b: Backend) -> None:
        b.ejected_until = 0
        b.stalled = False
        b.half_open = True
        self.ejected_count -= 1
        self.update_bucket(b)

    def on_response_started(self, now: int, request: int, attempt: int, duration: int) -> None:
        """Its answer has begun: the work is done, and how fast it is read is the client's."""
        self.now = now
        r = self.requests.get(request)
        a = r.attempts[attempt] if r is not None and attempt < len(r.attempts) else None
        if r is not None and a is not None and a.is_open and not a.response_started:
            a.response_started = True
            self.release_slot(r.cls, a.backend)
            self.record_answer(now, r.cls, a.backend, duration, ())
            self.update_bucket(a.backend)
            self.dispatch(now)

    def release_slot(self, c: ClassState, b: Backend) -> None:
        c.in_flight -= 1
        self.in_flight -= 1
        b.in_flight -= 1

    def on_client_gone(self, now: int, request: int) -> None:
        self.now = now
        r = self.requests.get(request)
        if r is None or r.ended:
            return
        r.ended = True
        if r.queued:
            self.dequeue(r)
        if not r.attempts_in_flight:
            self.requests.pop(request, None)

    def on_client_half_closed(self, now: int, request: int) -> None:
        """Its client has ended its sending: mostly it has gone, and it may still read.

        No attempt begins any more. What waits gets its one answer now, and what is out
        goes on to its outcome, which is the answer then.
        """
        self.now = now
        r = self.requests.get(request)
        if r is None or r.ended or r.half_closed_at:
            return
        r.half_closed_at = now
        if r.queued:
            self.dequeue(r)
            self.refuse_or_fail(r)

    def on_probe(
        self, now: int, backend: int, outcome: int, duration: int, load: Sequence[float] = ()
    ) -> None:
        self.now = now

    # ---- time ---------------------------------------------------------

    def on_timer(self, now: int, token: int) -> None:
        self.now = now
        if token == TIMER_WAKE:
            # An earlier reminder sets a timer of its own, so some come when nothing is due.
            # Each would set the next again, and never die out: the one due is under way.
            # Hosts may round a time down, and then this was that one.
            if now + MS >= self.next_wakeup_at:
                self.run_wakeups(now)
        elif token == TIMER_CYCLE:
            self.run_cycle(now)
            if self.wakeups and self.wakeups[0][0] <= now:
                self.run_wakeups(now)  # should its own timer be lost, nobody waits for good
            self.actions.set_timer(TIMER_CYCLE, now + CYCLE_NS)
        elif token == TIMER_LIST and not self.list_call_pending:
            self.list_call_pending = True
            self.actions.watch()

    def run_wakeups(self, now: int) -> None:
        """Refuse what has waited out its time; let rested backends back in.

        A heap and not the lines' heads: tries of one class come with different
        times left, and a further attempt waits ahead of older ones, so a head
        that may wait longer would let those behind it run out unanswered.
        """
        heap = self.wakeups
        while heap and heap[0][0] <= now:
            item = heappop(heap)[2]
            if isinstance(item, Backend):
                if item.ejected_until and item.ejected_until <= now:
                    self.end_ejection(item)
                else:
                    self.update_bucket(item)
            elif item.queued and item.wait_until <= now:
                self.dequeue(item)
                self.refuse_or_fail(item)
        self.next_wakeup_at = 0
        if heap:
            self.next_wakeup_at = heap[0][0]
            self.actions.set_timer(TIMER_WAKE, self.next_wakeup_at)
        self.dispatch(now)

    def run_cycle(self, now: int) -> None:
        """Twice a second: caps from what was seen, then shares from the model."""
        self.send_rate += 0.3 * (self.send_count * SECOND / CYCLE_NS - self.send_rate)
        self.send_count = 0
        self.calm_count, self.calm_late_count = (
            self.calm_count * CALM_COUNT_DECAY_RATIO,
            self.calm_late_count * CALM_COUNT_DECAY_RATIO,
        )
        worst = slowest = 0.0
        judged = False
        cut = False
        for i, n in enumerate(self.target_ratio_counts):
            judged = judged or n >= 3
            c = self.classes[i]
            if c.latency_count > 20:
                c.baseline_latency = (
                    min(c.baseline_latency * BASELINE_GROWTH_RATIO, c.mean_latency)
                    if c.baseline_latency
                    else c.mean_latency
                )
            if n >= 3:
                slowest = max(slowest, self.target_ratio_sums[i] / n)
            # Without a base yet, half an aim on idle backends would pass for a jam;
            # with many nodes a thin class stays so for most of a minute.
            if n >= 3 and c.baseline_latency:
                # Against the aim alone, a class that takes half its aim on an
                # idle backend would keep every cap at its least.
                base = min(c.baseline_latency / c.latency_target, 0.9)
                worst = max(worst, (self.target_ratio_sums[i] / n - base) / (1.0 - base))
        if self.outcome_count:
            n = self.outcome_count
            # Turned away though what is served is quick, attempts meet a limit on rates
            # or connections: fewer slots would not ease it. Cut for it all the same, the
            # limit fell to 2 and a fifth was refused with every backend idle.
            full = self.rejection_count > MAX_REJECTED_FRACTION * n
            # A jam that ends in time-outs is slow for all. Where the rest is quick they
            # are requests or answers that went astray: cut for one in twenty of these,
            # the limit fell from 4 to 1 and a third was refused beside idle servers.
            lost = (
                self.timeout_count > max(MAX_TIMED_OUT_FRACTION * n, 1)
                and slowest > TIMEOUT_CUT_MIN_TARGET_RATIO
            )
            if (
                worst > HIGH_CONGESTION_FRACTION
                or (
                    full
                    and (
                        worst > LOW_CONGESTION_FRACTION
                        or self.concurrency_limit > REJECTION_CUT_MIN_LIMIT
                    )
                )
                or lost
            ):
                cut = True
                deep = worst > 2.0 * HIGH_CONGESTION_FRACTION
                self.concurrency_limit = max(
                    MIN_CONCURRENCY_LIMIT,
                    self.concurrency_limit
                    * (
                        LIMIT_CUT_RATIO * LIMIT_CUT_RATIO * LIMIT_CUT_RATIO
                        if deep
                        else LIMIT_CUT_RATIO
                    ),
                )
                if deep:
                    self.log_limited(now, f"concurrency limit down to {self.concurrency_limit:.1f}")
            elif self.queued_in_cycle and judged and worst < LOW_CONGESTION_FRACTION and not full:
                self.concurrency_limit = min(
                    MAX_CONCURRENCY_LIMIT, self.concurrency_limit * LIMIT_GROWTH_RATIO
                )
        self.outcome_count = self.rejection_count = self.timeout_count = 0
        self.queued_in_cycle = False
        for i, seen in enumerate(self.target_ratio_counts):
            # Of many nodes each sees an answer or two a cycle: the worst class's
            # mean over so few is mostly chance, and the limit would sink on it.
            # Never past a cut: the same few answers of one jam, judged cycle after
            # cycle, took the limit from 9 to 1 at nodes of three slots.
            carry = CYCLE_DECAY_RATIO if seen < CONGESTION_SAMPLE_COUNT and not cut else 0.0
            self.target_ratio_sums[i] *= carry
            self.target_ratio_counts[i] *= carry
        self.update_slot_limits()
        self.update_shares()
        self.dispatch(now)

    def update_shares(self) -> None:
        flows = []
        for c in self.classes:
            c.cycle_count = c.cycle_count * CYCLE_DECAY_RATIO + 1
            c.share_sum = c.share_sum * CYCLE_DECAY_RATIO + c.share
            seen = c.response_count + c.refused_count
            lost = c.refused_count * REFUSED_TARGET_RATIO * c.latency_target
            mean = (c.response_time_sum + lost) / seen if seen else 0.0
            # Eq. 8 takes all arrivals as served at the share seen. A class that
            # turned most away would look as if one slot more cured it: its share
            # is read as serving its served part only.
            old = c.share_sum / c.cycle_count
            if seen:
                old /= max(c.response_count / seen, MIN_SERVED_FRACTION)
            rate = c.arrival_count / (c.cycle_count * CYCLE_NS / SECOND)
            flows.append((rate, mean / SECOND, old, c.latency_target / SECOND, c.spec.value))
            c.arrival_count *= CYCLE_DECAY_RATIO
            c.refused_count *= CYCLE_DECAY_RATIO
            c.response_time_sum *= CYCLE_DECAY_RATIO
            c.response_count *= CYCLE_DECAY_RATIO
        for c, share in zip(
            self.classes, solve_max_min_shares(self.total_slots, flows), strict=True
        ):
            c.share = share
