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
START_LIMIT = 4.0
MIN_LIMIT = 1.0
FULL_LIMIT = 3.0  # below it backends that turn away while they are quick cut nothing
MAX_LIMIT = 64.0
LOW_CROWDING = 0.17
HIGH_CROWDING = 0.32
BASE_RISE = 1.005  # a cycle, so that an uncrowded latency once seen is not held for ever
GROW = 1.15
CUT = 0.9
JUDGED = 10  # answers that judge a class's crowding; fewer are carried to the next cycle
TAKEN_MOST = 1.2  # most aims one attempt may count as
FULL_SHARE = 0.05  # refusals by backends above this share of outcomes cut the limit
LOST_SHARE = 0.04  # the same of time-outs by backends that answer otherwise ...
LOST_SLOW = 0.35  # ... where attempts take this part of their aim, time-outs counted in
SPILL = 0.34  # part of the limit that is dealt to nodes of other zones
ROUND_STEP = 0.618034  # golden section: any run of ranks rounds up in proportion
MIN_SLOTS = 4  # a node holds at least this many slots, however thin its deal
SLOW_FACTOR = 1.5  # latency against the fleet's at which a backend's own cap shrinks
# Ties: candidates looked at among the backends holding equally few.
CANDIDATES = 3
FRESH = 2 * SECOND  # what a backend's last answer said is believed this long
# Waiting: a queued request is refused once this part of its slack is gone, so
# that what is served is served well inside its aim, and that a client who comes
# again at once can still be: with half the slack a fifth of answers were late.
WAIT_PART = 0.25
THIN = 2  # slots at each server that all nodes' least come to, where nodes are many
STRAIN = SECOND  # after an attempt was turned away or timed out servers are taken to be short
LEFTS = 64  # steps in which the time a client has left is told apart
LEFTS_KEPT = 4000  # requests remembered for it, about
USUAL_PART = 0.25  # of requests, for a time left to be taken for that of first tries
HASTY_PART = 0.08  # of requests in calm times, where nobody had a try to lose, that look late ...
HASTY_LEAST = 2  # ... and so many of them: then clients are hasty by nature
HASTY_KEEP = 0.999  # of these counts a cycle
GONE_AFTER = 50 * MS  # of its client's half-close an attempt that has not begun yet does not
AIM_MARGIN = 0.03  # an attempt is ended this part of the aim early
PATIENCE = 5.0  # a repeatable attempt is given this many mean latencies ...
PATIENCE_PART = 1.0  # ... and at least this part of its aim
RETRY_PART = 0.1  # retries after time-outs allowed per first attempt
RETRY_BURST = 10.0
# Back-off of list calls, from half to one and a half of this, doubled with each failure. What
# the list has counts as told 6 s later at the latest, whatever became of the calls.
LIST_RETRY = 200 * MS
LIST_RETRY_MOST = 1600 * MS
# Health.
FULL_REST_MAX = SECOND // 3  # longest rest of a backend that turned an attempt away
DIAL_REST = 50 * MS  # after a lone dial that failed
STALL = 6.0  # silence, in mean latencies, after which a backend in use is passed over
STRIKES = 3  # time-outs in a row, no answer between, that make a backend silent
# Answers that are errors. Some backends fail at once whatever they get, hold least for
# it, and would draw the whole stream; any may send a spoilt answer now and then.
ERR_GAIN = 0.25
ERR_OUT = 0.55  # errors' smoothed part that takes a backend out: three in a row ...
ERR_FLEET = 0.12  # ... but where so many of all are, any may have three in a row:
ERR_SURE = 0.9  # then it takes eight
ERR_FLEET_GAIN = 0.02
DOUBT_FOR = SECOND
DOUBT = 0.2  # what may not be repeated goes elsewhere: one lately, or a few before
BACKOFF = SECOND
BACKOFF_MAX = 8 * SECOND
# Solver.
CYCLE = SECOND // 2
DECAY = 0.85  # of last cycles' sums, so that thin traffic is averaged over seconds
ALPHA = 1.0
BETA = 1.0
WORST = 10.0  # predicted times are bounded at this many aims
REFUSED_AS = 10.0  # a refusal enters the mean response time as this many aims
LEAST_SERVED = 0.02  # of a class's requests, for the share that serving all would take
# Slow start: part of the stated budget that all nodes use together, the rest is
# for views that differ and for requests heavier than the mean.
COLD_SAFETY = 0.7
COLD_LIMIT = 2

INFINITE = float("inf")
NEVER = 1 << 63

TIMER_WAKE = 1
TIMER_CYCLE = 2
TIMER_LIST = 3


NEVER_RAN = (3, 5, 8)
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET = 1, 2, 3, 4, 5, 6
MAY_WORK = (4, 6, 7)  # timed out, reset, cancelled: no answer, and nothing says that it ended


class Backend:
    __slots__ = (
        "backoff", "boot", "bucket", "cap", "cell", "cold_until", "cost", "deal", "ejected_until",
        "errs", "fulls", "half_open", "held", "id", "index", "kind", "lat", "lingering", "listed",
        "local", "offset", "rating", "rest_until", "seen", "since", "stalled", "state", "strikes",
        "takers", "zone",
    )  # fmt: skip

    def __init__(self, row: Listing, local: bool) -> None:
        self.id = row.backend
        self.zone = row.zone
        self.cell = row.cell
        self.kind = row.kind
        self.boot = row.boot
        self.rating = row.rating if row.rating > 0 else 1.0
        self.state = row.state
        self.listed = row.state  # the list's word; a ban may go before it
        self.local = local
        self.held = 0
        self.lingering: tuple[int, ...] = ()  # ends of what was given up and may be at work yet
        self.cap = 0
        self.deal = 0  # this node's place in the deal of this backend's slots
        self.offset = 0.0  # where this backend's part of the limit rounds up
        self.bucket: list[Backend] | None = None
        self.index = 0
        self.lat = 1.0  # latency against the fleet's, slowly averaged
        self.cost = 1.0  # the last answer's word on how busy it is
        self.seen = 0
        self.since = 0  # last answer, or first send after being idle
        self.stalled = False
        self.half_open = False
        self.ejected_until = 0
        self.backoff = BACKOFF
        self.strikes = 0
        self.errs = 0.0  # part of late answers that were errors
        self.fulls = 0  # turned away in a row
        self.cold_until = 0
        self.takers = 1.0  # nodes like this one that its cold budget would do for
        self.rest_until = 0

    def doubtful(self, now: int) -> bool:
        """Whether its last word, a moment ago, was bad, or it is being tried again."""
        bad = self.errs > DOUBT or self.strikes > 0
        return self.half_open or (bad and now - self.seen < DOUBT_FOR)


class Attempt:
    __slots__ = ("backend", "open", "sent", "started")

    def __init__(self, backend: Backend, sent: int) -> None:
        self.backend = backend
        self.sent = sent
        self.open = True
        self.started = False  # its answer has begun


class Request:
    __slots__ = (
        "aim_at", "arrived", "attempts", "cls", "ended", "give_up", "half_closed", "hint", "id",
        "live", "over", "queued", "ran", "tenant", "wait_by",
    )  # fmt: skip

    def __init__(self, rid: int, cls: ClassState, now: int, left: int, tenant: int) -> None:
        self.id = rid
        self.cls = cls
        self.tenant = tenant
        self.arrived = now
        self.give_up = now + left
        self.aim_at = now + cls.aim
        self.wait_by = 0
        self.attempts: list[Attempt] = []
        self.live = 0  # attempts still out
        self.ran: Attempt | None = None  # the first attempt that may have run
        self.queued = False
        self.over = False
        self.ended = False
        self.half_closed = 0  # when its client ended its sending, 0 where it has not
        self.hint = 0


class ClassState:
    """One class's queues, counts and what the solver knows of it."""

    __slots__ = (
        "aim", "arrivals", "asked", "base", "clock", "counts", "cycles", "effect", "lat", "lat_n",
        "lefts", "lines", "number", "over", "passes", "refused", "responses", "running", "share",
        "share_sum", "spec", "total", "usual", "waiting", "waiting_over",
    )  # fmt: skip

    def __init__(self, number: int, spec: RequestClass, tenants: int) -> None:
        self.number = number
        self.spec = spec
        self.aim = spec.latency_target
        self.effect = spec.effect
        # Lines may hold requests that have ended; `counts` tells who still waits.
        self.lines: list[deque[Request]] = [deque() for _ in range(max(1, tenants))]
        self.counts = [0] * max(1, tenants)
        self.passes = [0.0] * max(1, tenants)
        self.over: deque[Request] = deque()
        self.waiting = 0  # within quota
        self.waiting_over = 0
        self.lefts = [0] * (LEFTS + 1)  # requests by the time their client had left
        self.usual = 0  # the step most came with
        self.asked = 0
        self.running = 0
        self.share = 1
        self.clock = 0.0  # the turn that was served last
        self.lat = spec.latency_target / 4.0
        self.lat_n = 0.0
        self.base = 0.0  # mean attempt latency when uncrowded
        self.arrivals = 0.0
        self.responses = 0.0
        self.refused = 0.0
        self.total = 0.0
        self.share_sum = 0.0
        self.cycles = 0.0

    def elapsed(self, left: int) -> int:
        """How long ago a try's client began, 0 where the time left does not tell.

        Clients give up a try after one usual time; a later try has less where
        the deadline is near, and the last one all that is left. The longest time
        seen is thus not a first try's: taken for it, all first tries looked late.
        """
        deadline = self.spec.deadline
        step = max(0, min(LEFTS * left // deadline, LEFTS))
        self.asked += 1
        self.lefts[step] += 1
        if self.lefts[step] > self.lefts[self.usual]:
            self.usual = step
        if self.asked >= LEFTS_KEPT:
            # Over days what clients usually leave changes, and must be seen to.
            self.asked //= 2
            self.lefts = [n // 2 for n in self.lefts]
        if abs(step - self.usual) <= 1 or self.lefts[self.usual] < USUAL_PART * self.asked:
            return 0
        return max(deadline - left, 0)


def turn(rank: int, servers: int, nodes: int) -> int:
    """The node that a server's slots are dealt to first, of more nodes than servers or fewer.

    With more nodes the ranks alone end before the nodes do: of 182 nodes before 119 servers
    47 to 55 held no slot near, and up to 30 none at all (two to five zones).
    """
    return rank * nodes // servers if servers < nodes else rank


def predicted(rate: float, mean: float, old: float, new: float) -> float:
    """Mean response time at share `new` (eqs. 8 and 9); inf where saturated."""
    denominator = 1.0 / mean + rate * (1.0 / old - 1.0 / new)
    return 1.0 / denominator if denominator > 0 else INFINITE


def utility(aim: float, time: float, worth: float) -> float:
    """The paper's curve over times in aims; worth scales only the side of missing."""
    miss = min(time / aim, WORST) - 1.0
    return float((-miss) ** ALPHA if miss <= 0 else -worth * miss**BETA)


def solve(total: int, flows: Sequence[tuple[float, float, float, float, float]]) -> list[int]:
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
        t = predicted(rate, mean, max(old, 1.0), shares[i])
        if t == INFINITE:
            # Among saturated classes more slots still mean less overload.
            return float(-worth * (WORST - 1.0) ** BETA - worth * rate * aim / shares[i])
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
        self.local: list[list[Backend]] = [[]]
        self.remote: list[list[Backend]] = [[]]
        self.total = 0  # N_g
        self.running = 0
        self.waiting = 0  # queued within quota
        self.waiting_over = 0
        self.concurrency_limit = START_LIMIT
        self.pointer = 0
        self.left_in_turn = 0
        self.heap: list[tuple[int, int, Request | Backend]] = []
        self.reminders = 0
        self.wake_at = 0
        # Quotas: this node's part of each tenant's rate, as a bucket of one second.
        self.quota = [t.quota_per_s / settings.balancers / SECOND for t in settings.tenants]
        self.stride = [1.0 / max(t.share, 1e-6) for t in settings.tenants]
        self.credit = [max(q * SECOND, 1.0) for q in self.quota]
        self.credit_at = [0] * tenants
        self.retry_credit = self.retry_most = RETRY_BURST
        # What several hosts share, by `parts`: most requests at each server, until when, and then.
        self.places: dict[int, int] | None = None
        self.places_after: dict[int, int] | None = None
        self.lapse_at = NEVER
        self.instances = 1  # that send to the same backends with modules of their own
        # Since the last cycle.
        self.outcomes = 0
        self.fulls = 0
        self.lost = 0
        self.ratio_sum = [0.0] * len(self.classes)
        self.ratio_n = [0.0] * len(self.classes)
        self.pressed = False
        self.sends = 0
        self.send_rate = 0.0  # a second, smoothed
        self.errs = 0.0  # part of all late answers that were errors
        self.ejected = 0  # ready backends ejected
        self.ready = 0
        self.list_tries = 0
        self.asking = False
        self.quiet_until = 0
        self.strained_until = 0
        self.lost_at = 0  # the last refusal or strain, or the start
        self.calm = 0.0  # requests so long after it that none was a further try ...
        self.calm_late = 0.0  # ... and of them those that looked late all the same
        self.thin = False  # one of so many nodes that its own line tells little
        columns = settings.load_columns
        self.queue_column = columns.index("q") if "q" in columns else -1
        own = settings.node % settings.zones == settings.zone % settings.zones
        same = range(settings.zone, settings.balancers, settings.zones) if own else ()
        self.peers = max(1, len(same) or -(-settings.balancers // settings.zones))
        self.place_among = settings.node // settings.zones

    # ---- start, list --------------------------------------------------

    def start(self, now: int) -> None:
        self.now = self.lost_at = now
        self.credit_at = [now] * len(self.quota)
        self.actions.set_timer(TIMER_CYCLE, now + self.random.randrange(CYCLE // 2, CYCLE))
        if self.settings.ask:
            # Starts come together; the list service answers a fixed number of lines.
            spread = min(self.settings.ask_within // 4, self.settings.balancers * 100 * MS)
            self.actions.set_timer(TIMER_LIST, now + self.random.randrange(1, spread + 2))

    def on_members(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None:
        self.now = now
        if update == Update.FAILED:
            self.asking = False
            self.list_tries += 1
            self.say(now, "list call failed")
            # What happened meanwhile may count as told: the first repeats come soon, and two
            # calls that fail in turn leave time for a third that does not, see LIST_RETRY.
            wait = LIST_RETRY << min(self.list_tries, 4)
            wait = min(wait, LIST_RETRY_MOST, max(self.settings.ask_within // 2, LIST_RETRY))
            if self.settings.ask:
                due = now + wait // 2 + self.random.randrange(wait)
                self.actions.set_timer(TIMER_LIST, due)
            return
        if update != Update.CACHED:
            self.asking = False
            self.list_tries = 0
        if update != Update.DELTA:
            named = {row.backend for row in rows}
            for backend in self.backends.values():
                if backend.id not in named:
                    self.enter_state(backend, State.GONE)
                    self.settle(backend)
        for row in rows:
            self.member(now, row, update)
        for backend in [b for b in self.backends.values() if b.state == State.GONE]:
            self.retire(backend)
        self.redeal()
        self.dispatch(now)

    def member(self, now: int, row: Listing, update: Update) -> None:
        backend = self.backends.get(row.backend)
        if backend is None:
            if row.state == State.GONE:
                return
            backend = Backend(row, row.zone == self.settings.zone)
            self.backends[row.backend] = backend
            self.enter_state(backend, row.state)
            if row.boot and now - row.boot < self.settings.slow_start:
                backend.cold_until = row.boot + self.settings.slow_start
        else:
            if row.state != State.GONE and row.boot and row.boot != backend.boot:
                backend.boot = row.boot
                backend.cold_until = max(backend.cold_until, row.boot + self.settings.slow_start)
                if backend.ejected_until:
                    self.reopen(backend)
            self.enter_state(backend, row.state)
            if row.state != State.GONE:
                backend.rating = row.rating if row.rating > 0 else 1.0
        self.settle(backend)

    def ban(self, now: int, backend: int) -> None:
        """Send a backend nothing new, whatever the list says, until `lift`; it may be unknown.

        It is treated as one that drains: what it holds goes on to its outcome.
        """
        self.banned.add(backend)
        self.turn(now, backend)

    def lift(self, now: int, backend: int) -> None:
        """End a ban. Nobody bans a backend but to restart it: it comes back cold."""
        b = self.backends.get(backend)
        if b is not None and backend in self.banned:
            b.cold_until = max(b.cold_until, now + self.settings.slow_start)
        self.banned.discard(backend)
        self.turn(now, backend)

    def turn(self, now: int, backend: int) -> None:
        self.now = now
        b = self.backends.get(backend)
        if b is not None:
            self.enter_state(b, b.listed)
            self.settle(b)
            self.redeal()
            self.dispatch(now)

    def enter_state(self, b: Backend, state: State) -> None:
        """Only ready backends count as ejected, against half of the ready ones."""
        b.listed = state
        if state == State.READY and b.id in self.banned:
            state = State.DRAINING
        b.state = state
        if state != State.READY and b.ejected_until:
            b.ejected_until = 0
            self.ejected -= 1

    def retire(self, b: Backend) -> None:
        """Forget a backend that has gone, once its last attempt has its outcome.

        Backends come under ever new ids: kept, each would cost memory and a look at it
        twice a second, for good. One that comes back under its id begins anew.
        """
        if b.state == State.GONE and not b.held:
            self.settle(b)
            self.backends.pop(b.id, None)

    def redeal(self) -> None:
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
        self.ready = 0
        others = max(1, settings.balancers - self.peers)
        remote = sum(len(rows) for zone, rows in zones.items() if zone != settings.zone)
        far = 0
        for zone in sorted(zones):
            rows = sorted(zones[zone], key=lambda b: b.id)
            self.ready += len(rows)
            for rank, backend in enumerate(rows):
                # Rounded up everywhere, a limit just over 2 would deal three slots.
                backend.offset = rank * ROUND_STEP % 1.0
                if backend.local:
                    backend.deal = (self.place_among - turn(rank, len(rows), self.peers)) % (
                        self.peers
                    )
                else:
                    backend.deal = (settings.node - turn(far, remote, others)) % others
                    far += 1
        self.recap()

    def recap(self) -> None:
        settings = self.settings
        local = sum(1 for b in self.backends.values() if b.local and b.state == State.READY)
        limit = self.concurrency_limit
        self.thin = MIN_SLOTS * self.peers >= THIN * local > 0
        if local:
            limit = max(limit, MIN_SLOTS * self.peers / local)
        spill = limit * SPILL
        others = max(1, settings.balancers - self.peers)
        many = settings.balancers > self.peers  # others than those that are near
        total = 0
        for backend in self.backends.values():
            if backend.state != State.READY:
                continue
            depth = limit if backend.local else spill
            if backend.lat > SLOW_FACTOR:
                depth = min(depth, max(1.0, depth / backend.lat))
            if backend.cold_until > self.now:
                # At two slots for the whole slow start a rolling release left a
                # zone of half-warm backends idle and its nodes short of slots.
                depth = min(depth, max(COLD_LIMIT, depth * self.warmth(backend)))
            nodes = self.peers if backend.local else others
            # Near and far nodes share one cold budget as they share the limit.
            part = (1.0 if backend.local else SPILL) / (1.0 + SPILL) if many else 1.0
            backend.takers = max(1, min(int(depth + 1.0), nodes)) / part
            depth = int(depth + backend.offset)
            cap = -(-(depth - backend.deal) // nodes) if depth > backend.deal else 0
            if self.places is not None:
                cap = min(cap, self.places.get(backend.id, 0))
            backend.cap = cap
            total += cap
            self.settle(backend)
        self.total = max(total, 1)

    def settle(self, b: Backend) -> None:
        """Put a backend into the bucket of what it holds, or in none if not free."""
        if b.lingering:
            b.lingering = tuple(end for end in b.lingering if end > self.now)
        free = (
            b.state == State.READY
            and b.held + len(b.lingering) < (min(b.cap, 1) if b.half_open else b.cap)
            and not b.stalled
            and not b.ejected_until
            and b.rest_until <= self.now
        )
        bucket = None
        if free:
            pool = self.local if b.local else self.remote
            while len(pool) <= b.held:
                pool.append([])
            bucket = pool[b.held]
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
        left: int,
        tenant: int = 0,
        key: int = 0,
        hint: int = 0,
        client_retry: bool = False,
        waited: int = 0,
    ) -> None:
        """Take a request; `left` is what its client has left after `waited` unread here."""
        self.now = now
        if not 0 <= cls < len(self.classes):
            raise ValueError(f"unknown request class {cls}")
        if request in self.requests:
            return  # told twice: one answer is owed, not two
        c = self.classes[cls]
        r = Request(request, c, now, left, tenant)
        if c.spec.target_stretch and hint:
            r.aim_at = now + min(c.aim + int(c.spec.target_stretch * hint), c.spec.deadline)
        r.hint = hint
        self.requests[request] = r
        c.arrivals += 1
        elapsed = c.elapsed(left + waited)
        if waited > self.settings.tick:
            # A host that lags behind tells later of all requests alike. Taken for
            # the clients' own time that would hide who comes for the first time.
            elapsed += waited
        late = elapsed > 0 and elapsed + c.lat >= c.aim
        if now > self.lost_at + c.spec.deadline:
            self.calm += 1
            self.calm_late += late
        if elapsed:
            r.aim_at -= elapsed
            if late:
                # Late by its first try whatever is done: clients that keep coming
                # must not hold the slots that those in time need.
                r.aim_at = now + c.aim
                r.over = True
                if c.spec.late_value <= 0 and self.refuses_late(now):
                    # Here nobody may wait behind it, and at the servers others do: 200 nodes
                    # that each had a slot free for it served one in eight late, and the
                    # next first tries were refused, came again and were late in their turn.
                    # A node with a good part of the traffic has those others in its own line,
                    # and the guess may be wrong: two nodes refused 40 of 100 by it.
                    self.finish(r)
                    return
        slack = min(r.aim_at, r.give_up) - now - int(c.lat)
        r.wait_by = now + max(int(slack * WAIT_PART), 0)
        if self.quota:
            r.over = self.beyond_quota(now, tenant) or r.over
        if client_retry and c.spec.late_value <= 0 and self.settings.max_retry_after > c.aim:
            # Told to stay away for longer than its aim, a client that comes again
            # is late by its first try: its answer is worth least.
            r.over = True
        self.enqueue(r, False)
        self.dispatch(now)
        if r.queued:
            self.pressed = True
            self.remind(r.wait_by, r)

    def refuses_late(self, now: int) -> bool:
        """Whether servers are short and what looks late is a further try, not a client in haste.

        Where a fifth of the clients had little time from the first, a quarter of all first
        tries was refused beside free slots.
        """
        hasty = self.calm_late >= max(HASTY_LEAST, HASTY_PART * self.calm)
        return self.thin and now < self.strained_until and not hasty

    def beyond_quota(self, now: int, tenant: int) -> bool:
        """Whether a tenant's request exceeds this node's part of its quota."""
        if not 0 <= tenant < len(self.quota):
            raise ValueError(f"unknown tenant {tenant}")
        rate = self.quota[tenant]
        burst = max(rate * SECOND, 1.0)
        credit = min(burst, self.credit[tenant] + rate * (now - self.credit_at[tenant]))
        self.credit_at[tenant] = now
        over = credit < 1.0
        self.credit[tenant] = credit if over else credit - 1.0
        return over and rate > 0

    def enqueue(self, r: Request, front: bool) -> None:
        c = r.cls
        r.queued = True
        if r.over:
            self.waiting_over += 1
            c.waiting_over += 1
            line = c.over
        else:
            self.waiting += 1
            c.waiting += 1
            t = r.tenant if self.quota else 0
            line = c.lines[t]
            if self.quota and not c.counts[t]:
                # A tenant that comes back does not bring old turns with it.
                c.passes[t] = max(c.passes[t], c.clock)
            c.counts[t] += 1
        if front:
            line.appendleft(r)
        else:
            line.append(r)

    def unqueue(self, r: Request) -> None:
        """Count a request out of its line; its place there is dropped when met."""
        c = r.cls
        r.queued = False
        if r.over:
            self.waiting_over -= 1
            c.waiting_over -= 1
            line = c.over
        else:
            self.waiting -= 1
            c.waiting -= 1
            t = r.tenant if self.quota else 0
            c.counts[t] -= 1
            line = c.lines[t]
        while line and not line[0].queued:
            line.popleft()  # else a line that is seldom served keeps all that gave up

    def take(self, c: ClassState, over: bool) -> Request:
        """Next request of a class: tenants in turn by portion, beyond quota behind."""
        line = c.over
        if not over:
            t = 0
            if self.quota:
                best = INFINITE
                for i, n in enumerate(c.counts):
                    if n and c.passes[i] < best:
                        best, t = c.passes[i], i
                c.clock = best
                c.passes[t] += self.stride[t]
            line = c.lines[t]
        while True:
            r = line.popleft()
            if r.queued:
                self.unqueue(r)
                return r

    def next_class(self, over: bool) -> ClassState:
        """Weighted round robin; a class under its share goes before one above it."""
        classes = self.classes
        n = len(classes)
        start = self.pointer if self.left_in_turn > 0 else (self.pointer + 1) % n
        spare = None
        for step in range(n):
            i = (start + step) % n
            c = classes[i]
            if c.waiting_over if over else c.waiting:
                if c.running < c.share:
                    return self.turn_to(i)
                if spare is None:
                    spare = i
        assert spare is not None
        return self.turn_to(spare)

    def turn_to(self, i: int) -> ClassState:
        c = self.classes[i]
        if i != self.pointer or self.left_in_turn <= 0:
            self.pointer = i
            self.left_in_turn = c.share
        self.left_in_turn -= 1
        return c

    def dispatch(self, now: int) -> None:
        if now > self.lapse_at:
            # Looked at here, before any send: a host that was stopped must not go by old parts.
            self.lapse_at = NEVER
            self.places = self.places_after
            self.recap()
        while self.running < self.total:
            over = False
            if not self.waiting:
                if not self.waiting_over:
                    return
                over = True
            backend = self.pick(now)
            if backend is None:
                return
            r = self.take(self.next_class(over), over)
            # A repeat's window may close while it waits for a slot.
            if now > r.wait_by or (r.attempts and not self.may_resend(now, r)):
                self.finish(r)
                continue
            target = self.best_for(now, r, backend)
            if target is None:
                self.finish(r)
            else:
                self.send(now, r, target)

    def pick(self, now: int, sound: bool = False) -> Backend | None:
        """Fewest in flight among free backends, own zone first; ties by last answers.

        With `sound` one that is not in doubt, where any is free.
        """
        for pool in (self.local, self.remote):
            for bucket in pool:
                while bucket:
                    n = len(bucket)
                    best = bucket[int(self.random.random() * n)]
                    if n > 1:
                        cost = best.cost if now - best.seen < FRESH else 1.0
                        for _ in range(CANDIDATES - 1):
                            other = bucket[int(self.random.random() * n)]
                            c = other.cost if now - other.seen < FRESH else 1.0
                            if c < cost:
                                best, cost = other, c
                    if best.held and now - best.since > self.stall_after():
                        # A hung backend with room left must not collect more.
                        best.stalled = True
                        self.settle(best)
                        continue
                    if sound and best.doubtful(now):
                        # Failing at once it holds fewest, and would get everything.
                        other_one = next((b for b in bucket if not b.doubtful(now)), None)
                        if other_one is None:
                            break
                        best = other_one
                    return best
        return None

    def stall_after(self) -> float:
        return STALL * max(c.lat for c in self.classes)

    def best_for(self, now: int, r: Request, backend: Backend) -> Backend | None:
        """A further attempt goes elsewhere than the last where it can."""
        if not r.attempts:
            if r.cls.effect != Effect.PURE and backend.doubtful(now):
                # What may not be repeated is lost where it fails; the others find out.
                return self.pick(now, sound=True) or backend
            return backend
        if r.ran is not None and r.cls.effect == Effect.TOKEN and r.cls.spec.scope != Scope.ALL:
            return self.in_group(r)
        for _ in range(CANDIDATES):
            if all(a.backend is not backend for a in r.attempts):
                break
            other = self.pick(now, sound=True)
            if other is not None:
                backend = other
        return backend

    def in_group(self, r: Request) -> Backend | None:
        """The repeat of a keyed request must reach those that know its key.

        None where no ready backend of the group is left: the first one may be
        draining by now and must not get the repeat either.
        """
        assert r.ran is not None
        first = r.ran.backend
        zone = r.cls.spec.scope == Scope.ZONE
        free = [
            b
            for b in self.backends.values()
            if b.state == State.READY
            and not b.ejected_until
            and (b.zone == first.zone if zone else b.cell == first.cell)
        ]
        return min(free, key=lambda b: (b is first, b.held, b.id)) if free else None

    def send(self, now: int, r: Request, b: Backend) -> None:
        c = r.cls
        end = r.give_up
        if c.spec.late_value <= 0:
            end = min(end, r.aim_at - int(c.aim * AIM_MARGIN))
        limit = max(end - now, MS)
        if not r.attempts:
            self.retry_credit = min(self.retry_credit + RETRY_PART, self.retry_most)
        if c.effect == Effect.PURE and len(r.attempts) + 1 < self.settings.max_attempts:
            patience = int(max(PATIENCE * c.lat, PATIENCE_PART * c.aim))
            if self.retry_credit >= 1.0:
                limit = min(limit, patience)
        r.attempts.append(Attempt(b, now))
        r.live += 1
        c.running += 1
        self.running += 1
        self.sends += 1
        if not b.held:
            b.since = now
        b.held += 1
        if b.cold_until > now:
            self.pace(now, b)
        self.settle(b)
        self.actions.send(r.id, b.id, limit)

    def pace(self, now: int, b: Backend) -> None:
        """Space out what a cold backend gets, to this node's part of its budget."""
        s = self.settings
        usual = self.send_rate * s.balancers / max(self.ready, 1)
        rate = COLD_SAFETY * s.overload_factor * self.warmth(b) * usual
        most = s.overload_window * self.instances
        gap = most if rate <= 0 else min(int(SECOND * b.takers / rate), most)
        b.rest_until = now + gap
        self.remind(b.rest_until, b)

    def warmth(self, b: Backend) -> float:
        """The part of its capacity a cold backend is guessed to have by now."""
        s = self.settings
        warm = 1.0 - (b.cold_until - self.now) / max(s.slow_start, 1)
        return s.slow_start_fraction + (1.0 - s.slow_start_fraction) * max(0.0, min(1.0, warm))

    def remind(self, due: int, item: Request | Backend) -> None:
        """Look at a queued request or a resting backend again at `due`."""
        self.reminders += 1
        heappush(self.heap, (due, self.reminders, item))
        if not self.wake_at or due < self.wake_at:
            self.wake_at = due
            self.actions.set_timer(TIMER_WAKE, due)

    def finish(self, r: Request) -> None:
        """The final answer without service: refused where harmless, else failed."""
        if r.ended:
            return
        r.ended = True
        if not r.over and not r.half_closed:
            r.cls.refused += 1
        self.lost_at = self.now
        if not r.live:
            self.requests.pop(r.id, None)
        if self.may_refuse(r):
            self.actions.refuse(r.id, self.stay_away(r))
        else:
            self.actions.fail(r.id)

    def stay_away(self, r: Request) -> int:
        """How long a refused client should wait.

        Told to wait past its aim, a client comes back with a try that is late
        whatever is done. Where such tries carry no mark they take slots from
        those in time and keep a jam going; then no wait is asked, and what
        comes back at once can still be answered in time.
        """
        s = self.settings
        late = r.cls.spec.late_value <= 0 and s.max_retry_after > r.cls.aim
        return 0 if late and not s.clients_mark_retries else s.max_retry_after

    def may_refuse(self, r: Request) -> bool:
        if r.cls.effect == Effect.PURE:
            return True
        if r.live:
            return False
        if r.ran is None:
            return True
        return r.cls.effect == Effect.TOKEN and r.cls.spec.scope == Scope.ALL

    def may_resend(self, now: int, r: Request) -> bool:
        """Whether another attempt is allowed; in_group says where for keyed ones."""
        if r.live or r.half_closed or len(r.attempts) >= self.settings.max_attempts:
            return False
        if r.ran is None or r.cls.effect == Effect.PURE:
            return True
        if r.cls.effect == Effect.SIDE_EFFECT:
            return False
        return now < r.ran.sent + r.cls.spec.retry_window

    def may_begin(self, now: int, request: int, attempt: int) -> bool:
        """Whether an attempt that has not left yet, its connection being made, may do so now."""
        r = self.requests.get(request)
        if r is None or r.ended or attempt >= len(r.attempts):
            return False
        if r.half_closed and now - r.half_closed > GONE_AFTER:
            return False
        if r.ran is None or r.cls.effect != Effect.TOKEN:
            return True
        return now < r.ran.sent + r.cls.spec.retry_window

    # ---- outcomes -----------------------------------------------------

    def on_outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        outcome: int,
        taken: int,
        done: bool,
        load: Sequence[float] = (),
    ) -> None:
        self.now = now
        r = self.requests.get(request)
        if r is None or attempt >= len(r.attempts) or not r.attempts[attempt].open:
            return
        a = r.attempts[attempt]
        a.open = False
        b = a.backend
        c = r.cls
        r.live -= 1
        if not a.started:
            self.free_slot(c, b)
            if self.places is not None and outcome in MAY_WORK:
                # Given up here it may go on there: its place is not another's to take yet.
                until = a.sent + c.spec.deadline
                b.lingering = (*b.lingering, until)
                self.remind(until, b)
        self.outcomes += 1
        if outcome in (FULL, TIMEOUT):
            self.strained_until = now + STRAIN
            self.lost_at = now
        if b.stalled and not b.held:
            # All it held has ended without an answer: nothing else would let it back in.
            b.stalled = False
            b.half_open = True
        if outcome == OK:
            if not a.started:
                self.answered(now, c, b, taken, load)
            if not r.ended:
                c.responses += now - r.arrived
                c.total += 1
        else:
            self.failed(now, c, b, outcome, taken)
        self.settle(b)
        self.retire(b)
        if outcome not in NEVER_RAN and r.ran is None:
            r.ran = a
        if done or outcome == OK:
            r.ended = True
        if r.ended:
            if not r.live:
                self.requests.pop(request, None)
        elif not r.live:
            self.again(now, r, min(taken / c.lat, 1.0) if outcome == ERROR else 1.0)
        self.dispatch(now)

    def again(self, now: int, r: Request, price: float) -> None:
        """Queue a further attempt ahead of the others, or answer for good.

        The budget bounds work done twice: an error that came at once cost none.
        Charged in full, two failing backends of eleven used it up and a fifth of
        the requests was refused with most of the fleet idle.
        """
        c = r.cls
        r.wait_by = min(r.aim_at, r.give_up) - int(c.lat)
        fits = now < r.wait_by and self.may_resend(now, r)
        if fits and r.ran is not None:
            fits = self.retry_credit >= price
            if fits:
                self.retry_credit -= price
        if not fits:
            self.finish(r)
            return
        self.enqueue(r, True)
        self.remind(r.wait_by, r)

    def answered(
        self, now: int, c: ClassState, b: Backend, taken: int, load: Sequence[float]
    ) -> None:
        ratio = self.timed(c, b, taken)
        cost = 0.5 * b.lat + 0.5 * ratio
        if 0 <= self.queue_column < len(load):
            cost = b.lat * (1.0 + max(load[self.queue_column], 0.0))
        b.cost = cost
        b.seen = now
        b.since = now
        b.stalled = False
        b.fulls = 0
        b.strikes = 0
        b.half_open = False
        b.errs -= ERR_GAIN * b.errs
        self.errs -= ERR_FLEET_GAIN * self.errs
        if b.errs < DOUBT:
            b.backoff = BACKOFF

    def timed(self, c: ClassState, b: Backend, taken: int) -> float:
        """Learn from how long an attempt was out; returns it against the class's mean."""
        # A hung backend's time-outs last many aims; taken whole, a handful would
        # look like a jam of the fleet and cut every backend's slots.
        taken = min(taken, int(TAKEN_MOST * c.aim))
        gain = 0.05 if c.lat_n > 20 else 0.2
        c.lat_n += 1
        c.lat += gain * (taken - c.lat)
        self.ratio_sum[c.number] += taken / c.aim
        self.ratio_n[c.number] += 1
        ratio = min(taken / c.lat, 10.0)
        b.lat += 0.2 * (ratio - b.lat)
        return ratio

    def failed(self, now: int, c: ClassState, b: Backend, outcome: int, taken: int) -> None:
        if outcome == FULL:
            self.fulls += 1
            b.cost = 4.0
            b.seen = now
            b.since = now
            # A full backend answers at once and so would always hold fewest:
            # without a rest it draws the whole stream.
            b.fulls += 1
            rest = int(c.lat * (0.5 + self.random.random())) << min(b.fulls - 1, 6)
            b.rest_until = max(b.rest_until, now + min(rest, FULL_REST_MAX))
            self.remind(b.rest_until, b)
        elif outcome in (ERROR, RESET):
            # A break is the network's or the connection's as often as the backend's: a
            # process that ended refuses the next dial, and one that vanished is silent.
            # Taken for a restart, two in a row left half of a sound fleet out, then cold.
            b.cost = 6.0
            b.seen = b.since = now  # it is there
            b.stalled = False
            b.strikes = 0
            b.errs += ERR_GAIN * (1.0 - b.errs)
            self.errs += ERR_FLEET_GAIN * (1.0 - self.errs)
            if b.errs > (ERR_OUT if self.errs < ERR_FLEET else ERR_SURE):
                self.eject(now, b, "errors or breaks in a row")
        elif outcome in (TIMEOUT, CONNECT_FAILED):
            b.cost = 6.0
            b.seen = now
            if outcome == TIMEOUT:
                # Answers alone would make a jam look like light load: the limit
                # would stay up while most work is given up on.
                self.timed(c, b, max(taken, c.aim))
                # Learnt in a jam, the uncrowded latency is the jam's own, and only
                # time-outs tell. A hung backend answers nothing and counts once.
                self.lost += not b.strikes
            b.strikes += 1
            lost = outcome == CONNECT_FAILED
            # One time-out may be load: with one slot it always looks like silence.
            if lost and b.strikes == 1:
                # The network breaks single dials, on some days one in twenty, and none of
                # them ran: left out for a second each, up to four of ten were out at once.
                b.rest_until = max(b.rest_until, now + DIAL_REST)
                self.remind(b.rest_until, b)
            elif lost:
                # One that has ended refuses the next too. Its own start, however short,
                # comes with the list.
                self.eject(now, b, "connections failed", restarted=True)
            elif b.strikes >= STRIKES and now - b.since >= taken:
                self.eject(now, b, "no answer since the send")

    def eject(self, now: int, b: Backend, why: str, restarted: bool = False) -> None:
        """Leave a silent, failing or unreachable backend alone; never more than half of all."""
        if b.state != State.READY or b.ejected_until or (self.ejected + 1) * 2 > self.ready:
            return
        b.ejected_until = now + b.backoff
        b.backoff = min(b.backoff * 2, BACKOFF_MAX)
        if restarted:
            # Its process may be replaced before the list says so.
            b.cold_until = b.ejected_until + self.settings.slow_start
        self.say(now, f"backend {b.id} out: {why}")
        self.ejected += 1
        self.remind(b.ejected_until, b)
        self.settle(b)

    def say(self, now: int, text: str) -> None:
        """Log a rare change of state, one line a second at most."""
        if now >= self.quiet_until:
            self.quiet_until = now + SECOND
            self.actions.log(text)

    def reopen(self, b: Backend) -> None:
        b.ejected_until = 0
        b.stalled = False
        b.half_open = True
        self.ejected -= 1
        self.settle(b)

    def on_started(self, now: int, request: int, attempt: int, taken: int) -> None:
        """Its answer has begun: the work is done, and how fast it is read is the client's."""
        self.now = now
        r = self.requests.get(request)
        a = r.attempts[attempt] if r is not None and attempt < len(r.attempts) else None
        if r is not None and a is not None and a.open and not a.started:
            a.started = True
            self.free_slot(r.cls, a.backend)
            self.answered(now, r.cls, a.backend, taken, ())
            self.settle(a.backend)
            self.dispatch(now)

    def free_slot(self, c: ClassState, b: Backend) -> None:
        c.running -= 1
        self.running -= 1
        b.held -= 1

    def on_gone(self, now: int, request: int) -> None:
        self.now = now
        r = self.requests.get(request)
        if r is None or r.ended:
            return
        r.ended = True
        if r.queued:
            self.unqueue(r)
        if not r.live:
            self.requests.pop(request, None)

    def on_half_closed(self, now: int, request: int) -> None:
        """Its client has ended its sending: mostly it has gone, and it may still read.

        No attempt begins any more. What waits gets its one answer now, and what is out
        goes on to its outcome, which is the answer then.
        """
        self.now = now
        r = self.requests.get(request)
        if r is None or r.ended or r.half_closed:
            return
        r.half_closed = now
        if r.queued:
            self.unqueue(r)
            self.finish(r)

    def on_probe(
        self, now: int, backend: int, outcome: int, taken: int, load: Sequence[float] = ()
    ) -> None:
        self.now = now

    # ---- time ---------------------------------------------------------

    def on_timer(self, now: int, token: int) -> None:
        self.now = now
        if token == TIMER_WAKE:
            # An earlier reminder sets a timer of its own, so some come when nothing is due.
            # Each would set the next again, and never die out: the one due is under way.
            # Hosts may round a time down, and then this was that one.
            if now + MS >= self.wake_at:
                self.wake(now)
        elif token == TIMER_CYCLE:
            self.cycle(now)
            if self.heap and self.heap[0][0] <= now:
                self.wake(now)  # should its own timer be lost, nobody waits for good
            self.actions.set_timer(TIMER_CYCLE, now + CYCLE)
        elif token == TIMER_LIST and not self.asking:
            self.asking = True
            self.actions.watch()

    def wake(self, now: int) -> None:
        """Refuse what has waited out its time; let rested backends back in.

        A heap and not the lines' heads: tries of one class come with different
        times left, and a further attempt waits ahead of older ones, so a head
        that may wait longer would let those behind it run out unanswered.
        """
        heap = self.heap
        while heap and heap[0][0] <= now:
            item = heappop(heap)[2]
            if isinstance(item, Backend):
                if item.ejected_until and item.ejected_until <= now:
                    self.reopen(item)
                else:
                    self.settle(item)
            elif item.queued and item.wait_by <= now:
                self.unqueue(item)
                self.finish(item)
        self.wake_at = 0
        if heap:
            self.wake_at = heap[0][0]
            self.actions.set_timer(TIMER_WAKE, self.wake_at)
        self.dispatch(now)

    def cycle(self, now: int) -> None:
        """Twice a second: caps from what was seen, then shares from the model."""
        self.send_rate += 0.3 * (self.sends * SECOND / CYCLE - self.send_rate)
        self.sends = 0
        self.calm, self.calm_late = self.calm * HASTY_KEEP, self.calm_late * HASTY_KEEP
        worst = slowest = 0.0
        judged = False
        cut = False
        for i, n in enumerate(self.ratio_n):
            judged = judged or n >= 3
            c = self.classes[i]
            if c.lat_n > 20:
                c.base = min(c.base * BASE_RISE, c.lat) if c.base else c.lat
            if n >= 3:
                slowest = max(slowest, self.ratio_sum[i] / n)
            # Without a base yet, half an aim on idle backends would pass for a jam;
            # with many nodes a thin class stays so for most of a minute.
            if n >= 3 and c.base:
                # Against the aim alone, a class that takes half its aim on an
                # idle backend would keep every cap at its least.
                base = min(c.base / c.aim, 0.9)
                worst = max(worst, (self.ratio_sum[i] / n - base) / (1.0 - base))
        if self.outcomes:
            n = self.outcomes
            # Turned away though what is served is quick, attempts meet a limit on rates
            # or connections: fewer slots would not ease it. Cut for it all the same, the
            # limit fell to 2 and a fifth was refused with every backend idle.
            full = self.fulls > FULL_SHARE * n
            # A jam that ends in time-outs is slow for all. Where the rest is quick they
            # are requests or answers that went astray: cut for one in twenty of these,
            # the limit fell from 4 to 1 and a third was refused beside idle servers.
            lost = self.lost > max(LOST_SHARE * n, 1) and slowest > LOST_SLOW
            if (
                worst > HIGH_CROWDING
                or (full and (worst > LOW_CROWDING or self.concurrency_limit > FULL_LIMIT))
                or lost
            ):
                cut = True
                deep = worst > 2.0 * HIGH_CROWDING
                self.concurrency_limit = max(
                    MIN_LIMIT, self.concurrency_limit * (CUT * CUT * CUT if deep else CUT)
                )
                if deep:
                    self.say(now, f"concurrency limit down to {self.concurrency_limit:.1f}")
            elif self.pressed and judged and worst < LOW_CROWDING and not full:
                self.concurrency_limit = min(MAX_LIMIT, self.concurrency_limit * GROW)
        self.outcomes = self.fulls = self.lost = 0
        self.pressed = False
        for i, seen in enumerate(self.ratio_n):
            # Of many nodes each sees an answer or two a cycle: the worst class's
            # mean over so few is mostly chance, and the limit would sink on it.
            # Never past a cut: the same few answers of one jam, judged cycle after
            # cycle, took the limit from 9 to 1 at nodes of three slots.
            carry = DECAY if seen < JUDGED and not cut else 0.0
            self.ratio_sum[i] *= carry
            self.ratio_n[i] *= carry
        self.recap()
        self.solve_shares()
        self.dispatch(now)

    def solve_shares(self) -> None:
        flows = []
        for c in self.classes:
            c.cycles = c.cycles * DECAY + 1
            c.share_sum = c.share_sum * DECAY + c.share
            seen = c.total + c.refused
            lost = c.refused * REFUSED_AS * c.aim
            mean = (c.responses + lost) / seen if seen else 0.0
            # Eq. 8 takes all arrivals as served at the share seen. A class that
            # turned most away would look as if one slot more cured it: its share
            # is read as serving its served part only.
            old = c.share_sum / c.cycles
            if seen:
                old /= max(c.total / seen, LEAST_SERVED)
            rate = c.arrivals / (c.cycles * CYCLE / SECOND)
            flows.append((rate, mean / SECOND, old, c.aim / SECOND, c.spec.value))
            c.arrivals *= DECAY
            c.refused *= DECAY
            c.responses *= DECAY
            c.total *= DECAY
        for c, share in zip(self.classes, solve(self.total, flows), strict=True):
            c.share = share
