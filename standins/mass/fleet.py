"""A day at work: nodes, servers, the list, the network and the callers, on one clock.

A node here is a `Balancer` (or another policy of the same shape) and what `windrelay` does
around it: connections kept idle, watches of the list, time-outs, the client's deadline. The
accounts keep every first try's fate; what breaks a rule is counted under the rule's name.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from itertools import accumulate
from random import Random
from typing import Protocol

from flinthatch import Actions, Balancer, Effect, Listing, Outcome, Settings, State, Update
from flinthatch.list_polling import PollSchedule
from standins.mass.clock import MS, SECOND, Clock
from standins.mass.day import Day, Traffic
from standins.mass.listing import Answer, Row
from standins.mass.listing import Listing as Registry
from standins.mass.servers import CONNECT_FAILED, FULL, OK, TIMEOUT, Server, Work

STATES = {"ready": State.READY, "draining": State.DRAINING, "left": State.GONE}
SWEEP = SECOND  # idle connections are looked through this often
NEVER_RAN = (FULL, CONNECT_FAILED, Outcome.NOT_SENT)


class Policy(Protocol):
    """What a node asks for its decisions: the events of `flinthatch.Balancer`."""

    def start(self, now: int) -> None: ...
    def on_backend_list(self, now: int, update: Update, rows: Sequence[Listing] = ()) -> None: ...
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
    ) -> None: ...  # fmt: skip
    def on_outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        outcome: int,
        duration: int,
        answered: bool,
        load: Sequence[float] = (),
    ) -> None: ...  # fmt: skip
    def on_client_gone(self, now: int, request: int) -> None: ...
    def on_client_half_closed(self, now: int, request: int) -> None: ...
    def may_start_attempt(self, now: int, request: int, attempt: int) -> bool: ...
    def on_timer(self, now: int, token: int) -> None: ...


Maker = Callable[[Settings, int, Actions, "Fleet", int], Policy]


def module(settings: Settings, seed: int, actions: Actions, _fleet: Fleet, _node: int) -> Policy:
    """The project's own decisions, which see nothing of the fleet."""
    return Balancer(settings, seed, actions)


@dataclass(frozen=True, slots=True)
class Chain:
    """One client's wish, over all its tries."""

    number: int
    zone: int
    began: int
    traffic: int
    work: int
    worth: float


class Asked:
    """One try at one node."""

    __slots__ = (
        "attempts", "chain", "client_end", "ended", "id", "left_at", "live", "node", "ran",
        "try_no",
    )  # fmt: skip

    def __init__(self, rid: int, chain: Chain, node: Host, try_no: int, client_end: int) -> None:
        self.id = rid
        self.chain = chain
        self.node = node
        self.try_no = try_no
        self.client_end = client_end
        self.attempts: list[Try] = []
        self.live = 0
        self.ran = False
        self.ended = False
        self.left_at = 0  # when its client closed its connection, 0 where it has not

    def traffic_unsafe(self) -> bool:
        """Whether it must never run twice."""
        return self.node.fleet.traffic_of(self.chain).spec.effect == Effect.SIDE_EFFECT


class Try:
    """One attempt at one server."""

    __slots__ = ("asked", "closed", "connected", "counted", "limit", "sent", "server", "work")

    def __init__(self, asked: Asked, server: Server, sent: int) -> None:
        self.asked = asked
        self.server = server
        self.sent = sent
        self.limit = 0
        self.closed = False
        self.connected = False
        self.counted = False
        self.work: Work | None = None


class Host:
    """One node: Actions for its policy, connections, list, and its part of the accounts."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.zone = fleet.day.node_zones[number]
        self.alive = False
        self.taking = True  # the front deals to it
        self.policy: Policy
        self.life = 0
        self.idle: dict[int, list[int]] = {}  # since when, by server; the newest last
        self.roster: dict[int, Row] = {}
        self.told_away: dict[int, int] = {}  # servers that it heard drain or leave, and when
        self.rev = 0
        self.started = 0
        self.times = PollSchedule()
        self.watching = False
        self.calls = 0
        self.open: dict[int, Asked] = {}
        self.asked = 0
        self.refused = 0
        self.earned = 0.0
        self.sent = 0
        self.logs: Counter[str] = Counter()

    # ---- life -----------------------------------------------------------

    def start(self, rows: Sequence[Row], rev: int) -> None:
        """Begin from the list as this node last had it, of this version."""
        fleet = self.fleet
        self.alive = self.taking = True
        self.life += 1
        self.started = fleet.clock.now
        self.times = PollSchedule()
        self.watching = False
        self.rev = rev
        self.idle = {}
        self.open = {}
        self.told_away = {}
        settings = replace(fleet.day.settings, node=self.number, zone=self.zone)
        seed = fleet.rng_nodes.getrandbits(64)
        self.policy = fleet.maker(settings, seed, self, fleet, self.number)
        self.policy.start(fleet.clock.now)
        self.roster = {row.server: row for row in rows}
        self.policy.on_backend_list(
            fleet.clock.now, Update.CACHED, [fleet.listing_of(r) for r in rows]
        )
        fleet.clock.after(SWEEP, self.sweep, self.life)

    def kill(self) -> None:
        """At once: its connections break, what it held is its clients' to try again."""
        self.alive = False
        for asked in list(self.open.values()):
            asked.ended = True
            self.fleet.lost_with_node(asked)
            for t in asked.attempts:
                if not t.closed:
                    t.closed = True
                    self.fleet.out_at[t.server.number] -= t.counted
                    if t.work is not None:
                        t.server.give_up(t.work)
                    if t.connected:
                        t.server.open -= 1
        self.open = {}
        for number, conns in self.idle.items():
            self.fleet.servers[number].open -= len(conns)
        self.idle = {}

    def sweep(self, life: int) -> None:
        """What has rested too long is closed."""
        if life != self.life or not self.alive:
            return
        now = self.fleet.clock.now
        for number in list(self.idle):
            conns = self.idle[number]
            kept = [since for since in conns if now - since <= self.fleet.idle_limit]
            self.fleet.servers[number].open -= len(conns) - len(kept)
            if kept:
                self.idle[number] = kept
            else:
                del self.idle[number]
        self.fleet.clock.after(SWEEP, self.sweep, life)

    def drop_idle(self, number: int) -> None:
        conns = self.idle.pop(number, [])
        self.fleet.servers[number].open -= len(conns)

    # ---- Actions --------------------------------------------------------

    def send(self, request: int, backend: int, timeout: int) -> None:
        fleet = self.fleet
        now = fleet.clock.now
        asked = self.open[request]
        server = fleet.servers[backend]
        fleet.check_send(self, asked, server)
        t = Try(asked, server, now)
        asked.attempts.append(t)
        asked.live += 1
        t.limit = min(timeout, asked.client_end - now)
        if asked.ended or t.limit <= 0 or len(asked.attempts) > 4:
            fleet.clock.at(now, self.conclude, t, int(Outcome.NOT_SENT), self.life)
            return
        self.sent += 1
        fleet.attempts += 1
        fleet.out_at[backend] += 1
        t.counted = True
        if server.zone != self.zone:
            fleet.crossing += 1
        fleet.clock.after(t.limit, self.conclude, t, TIMEOUT, self.life)
        lag = fleet.lag(self.zone, server.zone)
        if not fleet.reaches(self.zone, server):
            conns = self.idle.get(backend)
            if conns:
                conns.pop()
                t.connected = True  # written into the silence: it may have run
            else:
                wait = fleet.day.settings.connect_timeout
                fleet.clock.after(wait, self.conclude, t, CONNECT_FAILED, self.life)
            return
        conns = self.idle.get(backend)
        if conns:
            conns.pop()
            if not conns:
                del self.idle[backend]
            t.connected = True
            fleet.clock.after(lag, self.arrive, t, 0)
        else:
            fleet.clock.after((2 * fleet.day.rtts + 1) * lag, self.dialled, t, lag)

    def dialled(self, t: Try, lag: int) -> None:
        """A new connection has come up at the server, or has not."""
        fleet = self.fleet
        server = t.server
        if t.closed:
            return
        if server.dead or server.fallen:
            fleet.clock.after(lag, self.conclude, t, CONNECT_FAILED, self.life)
        elif server.open >= server.build.connections:
            fleet.no_connection += 1
            server.turned_away += 1
            fleet.clock.after(lag, self.conclude, t, FULL, self.life)
        else:
            server.open += 1
            t.connected = True
            fleet.handshakes += 1
            asked = t.asked
            if self.policy.may_start_attempt(fleet.clock.now, asked.id, asked.attempts.index(t)):
                self.arrive(t, server.build.handshake)
            else:
                t.connected = False
                self.idle.setdefault(server.number, []).append(fleet.clock.now)
                self.conclude(t, int(Outcome.NOT_SENT), self.life)

    def arrive(self, t: Try, extra: int) -> None:
        fleet = self.fleet
        if t.closed:
            return
        life = self.life
        left = t.asked.left_at
        if left and fleet.clock.now - left > fleet.day.leave_grace:
            fleet.late_begins += 1

        def done(outcome: int) -> None:
            if outcome == OK and fleet.loses_answer(t.server):
                return
            lag = fleet.lag(self.zone, t.server.zone)
            fleet.clock.after(lag, self.conclude, t, outcome, life)

        t.work = Work(t.asked.chain.work + extra, t.sent + t.limit, done)
        if t.server.state != "ready":
            fleet.to_leaving += 1
            t.server.turned_away += 1
            done(FULL)
        else:
            t.server.take(t.work)

    def conclude(self, t: Try, outcome: int, life: int) -> None:
        if t.closed or life != self.life:
            return
        t.closed = True
        fleet = self.fleet
        if t.counted:
            fleet.out_at[t.server.number] -= 1
        asked = t.asked
        asked.live -= 1
        server = t.server
        if t.connected and outcome in (OK, FULL, int(Outcome.ERROR)):
            if server.number in self.roster and self.roster[server.number].state == "ready":
                self.idle.setdefault(server.number, []).append(fleet.clock.now)
            else:
                server.open -= 1
        elif t.connected:
            server.open -= 1
            if t.work is not None:
                server.give_up(t.work)
        if outcome not in NEVER_RAN:
            asked.ran = True
        if outcome == FULL:
            fleet.fulls += 1
        if outcome == TIMEOUT:
            fleet.timeouts += 1
        if outcome == OK and not asked.ended:
            self.end(asked)
            fleet.served(asked)
        done = asked.ended
        number = asked.attempts.index(t)
        taken = fleet.clock.now - t.sent
        self.policy.on_outcome(fleet.clock.now, asked.id, number, outcome, taken, done, ())

    def end(self, asked: Asked) -> None:
        asked.ended = True
        self.open.pop(asked.id, None)

    def refuse(self, request: int, retry_after: int) -> None:
        asked = self.open.get(request)
        if asked is None:
            return
        fleet = self.fleet
        if asked.traffic_unsafe() and (asked.ran or asked.live):
            fleet.broken["refused what may have run"] += 1
        self.refused += 1
        self.end(asked)
        fleet.refused(asked, retry_after)

    def fail(self, request: int) -> None:
        asked = self.open.get(request)
        if asked is not None:
            self.end(asked)
            self.fleet.failed(asked)

    def cancel(self, request: int, attempt: int) -> None:
        asked = self.open.get(request)
        if asked is not None and attempt < len(asked.attempts):
            at = self.fleet.clock.now
            cancelled = int(Outcome.CANCELLED)
            self.fleet.clock.at(at, self.conclude, asked.attempts[attempt], cancelled, self.life)

    def set_timer(self, token: int, due: int) -> None:
        self.fleet.clock.at(due, self.timer, token, self.life)

    def timer(self, token: int, life: int) -> None:
        if life == self.life and self.alive:
            self.policy.on_timer(self.fleet.clock.now, token)

    def probe(self, backend: int) -> None:
        self.fleet.probes += 1

    def log(self, text: str) -> None:
        words = ["#" if any(c.isdigit() for c in w) else w for w in text.split()]
        self.logs[" ".join(words)] += 1

    # ---- the list -------------------------------------------------------

    def fetch(self) -> None:
        self.fleet.registry.call(0, 0, self.caller())

    def watch(self) -> None:
        if not self.watching:
            self.watching = True
            self.next_watch()

    def caller(self, wait: int = 0) -> Callable[[Answer | None], None]:
        """Whoever takes the end of one call, once: its answer, its refusal, or its time-out."""
        self.calls += 1
        life, number, asked = self.life, self.calls, self.fleet.clock.now

        def told(answer: Answer | None, hung: bool = False) -> None:
            if life == self.life and self.alive and number == self.calls:
                self.calls += 1  # whatever comes of it later is nobody's
                self.take_list(answer, hung, self.fleet.clock.now - asked)

        if wait:
            self.fleet.clock.after(wait, told, None, True)
        return told

    def next_watch(self) -> None:
        ask = self.times.next_poll(self.rev, service_behind=False)
        hold = (ask.hold_ms or 0) * MS
        self.fleet.registry.call(ask.since, hold, self.caller(int(ask.timeout_s * SECOND)))

    def watch_after(self, seconds: float) -> None:
        life = self.life

        def due() -> None:
            if life == self.life and self.alive:
                self.next_watch()

        self.fleet.clock.after(seconds * SECOND, due)

    def take_list(self, answer: Answer | None, hung: bool, lasted: int) -> None:
        fleet = self.fleet
        now = fleet.clock.now
        if answer is None:
            after = self.times.delay_after_failure(hung)
            if after is None:
                self.watching = False
                self.policy.on_backend_list(now, Update.FAILED, ())
            else:
                self.watch_after(after)
            return
        for rev in range(self.rev + 1, answer.rev + 1):
            fleet.told(self, fleet.registry.changed_at.get(rev, now))
        news = answer.rev != self.rev
        self.rev = answer.rev
        if answer.whole:
            named = {row.server for row in answer.rows}
            for number in [n for n in self.roster if n not in named]:
                self.hear(Row(number, "left", 0))
        for row in answer.rows:
            self.hear(row)
        update = Update.FULL if answer.whole else Update.DELTA
        self.policy.on_backend_list(now, update, [fleet.listing_of(row) for row in answer.rows])
        if self.watching:
            self.watch_after(self.times.delay_after_answer(lasted / SECOND, news))

    def hear(self, row: Row) -> None:
        now = self.fleet.clock.now
        if row.state == "ready":
            self.told_away.pop(row.server, None)
            self.roster[row.server] = row
            return
        self.told_away.setdefault(row.server, now)
        self.drop_idle(row.server)
        if row.state == "left":
            self.roster.pop(row.server, None)
        else:
            self.roster[row.server] = row


class Fleet:
    """All of a day. `run` plays it; the accounts are for `report`."""

    def __init__(self, day: Day, maker: Maker = module, idle_limit: int = 58 * SECOND) -> None:
        self.day = day
        self.maker = maker
        self.idle_limit = idle_limit
        self.clock = Clock()
        self.began = self.clock.now
        seed = f"{day.kind}-{day.seed}-"
        self.rng_nodes = Random(seed + "nodes")
        self.rng_servers = Random(seed + "servers")
        self.rng_clients = Random(seed + "clients")
        self.rng_work = Random(seed + "work")
        self.rng_front = Random(seed + "front")
        self.rng_net = Random(seed + "net")
        self.rng_events = Random(seed + "events")
        self.rng_leave = Random(seed + "leave")
        self.servers: list[Server] = [
            Server(i, zone, build, self.clock, self.rng_servers)
            for i, (zone, build) in enumerate(day.servers)
        ]
        self.registry = Registry(day.terms, self.clock)
        for server in self.servers:
            self.registry.rows[server.number] = Row(server.number, "ready", 0)
        self.registry.rev = len(self.servers) + 1
        self.hosts = [Host(self, i) for i in range(len(day.node_zones))]
        self.cut_zones: set[int] = set()  # nothing passes between these and the others
        self.lossy: set[int] = set()
        self.shares = list(day.node_shares)
        self.deal_nodes()
        # Accounts.
        self.number = 0
        self.chains = 0
        self.left = self.left_waiting = 0  # tries whose client closed, and had none out then
        self.late_begins = 0  # attempts that began more than a moment after that
        self.last_id = 0
        self.offered = 0.0
        self.earned = 0.0
        self.window: list[Counter[str]] = []
        self.fates: Counter[str] = Counter()
        self.fates_worth: Counter[str] = Counter()
        self.broken: Counter[str] = Counter()
        self.latencies: list[int] = []
        self.attempts = self.crossing = self.handshakes = self.no_connection = 0
        self.fulls = self.timeouts = self.probes = self.to_leaving = 0
        self.events_run = 0
        self.out_at: Counter[int] = Counter()  # attempts out, by server
        self.told_most = 0  # longest from the list's knowing a change to a node's
        self.class_worth: list[list[float]] = [[0.0, 0.0] for _ in day.traffic]

    # ---- running --------------------------------------------------------

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        day = self.day
        known = self.registry.whole()
        for host in self.hosts:
            host.start(known.rows, known.rev)
        for event in day.events:
            self.clock.at(self.began + event.at, self.happen, event.what, event.arg, event.span)
        for zone in range(day.zones):
            self.next_arrival(zone)
        end = self.began + int(day.seconds * SECOND)
        at = self.began
        while at < end + 4 * SECOND:
            at += SECOND
            self.events_run += self.clock.run(min(at, end + 4 * SECOND))
            if progress is not None:
                progress((at - self.began) / SECOND)

    def deal_nodes(self) -> None:
        """The front's weights in each zone, over the nodes it believes to be up."""
        self.fronts: list[tuple[list[Host], list[float]]] = []
        self.zone_rates: list[float] = []
        for zone in range(self.day.zones):
            known = [h for h in self.hosts if h.zone == zone and h.taking]
            self.fronts.append((known, list(accumulate(self.shares[h.number] for h in known))))
            whole = sum(
                s for s, z in zip(self.shares, self.day.node_zones, strict=True) if z == zone
            )
            self.zone_rates.append(whole)

    def next_arrival(self, zone: int) -> None:
        day = self.day
        seconds = (self.clock.now - self.began) / SECOND
        if seconds >= day.seconds:
            return
        start, stop, times = day.burst
        rate = day.rate * self.zone_rates[zone] * (times if start <= seconds < stop else 1.0)
        gap = self.rng_clients.expovariate(max(rate, 1e-6))
        self.clock.after(gap * SECOND, self.arrival, zone)

    def arrival(self, zone: int) -> None:
        day = self.day
        if (self.clock.now - self.began) / SECOND < day.seconds:
            shares = [t.share for t in day.traffic]
            which = self.rng_work.choices(range(len(shares)), shares)[0]
            t = day.traffic[which]
            work = t.draw(self.rng_work)
            worth = t.spec.value * work / t.work
            self.chains += 1
            chain = Chain(self.chains, zone, self.clock.now, which, work, worth)
            self.offered += worth
            self.class_worth[which][0] += worth
            self.book(chain.began, "asked", worth)
            self.ask(chain, 0)
        self.next_arrival(zone)

    def traffic_of(self, chain: Chain) -> Traffic:
        return self.day.traffic[chain.traffic]

    def ask(self, chain: Chain, try_no: int) -> None:
        """A try goes to one of the zone's nodes; a dead one that the front still knows loses it."""
        day = self.day
        hosts, sums = self.fronts[chain.zone]
        spec = self.traffic_of(chain).spec
        end = chain.began + spec.deadline
        if not try_no:
            end = chain.began + int(spec.deadline * day.clients.try_share)
        if not hosts:
            self.fate(chain, "no node")
            return
        host = hosts[min(bisect_right(sums, self.rng_front.random() * sums[-1]), len(hosts) - 1)]
        self.clock.after(day.client, self.reach, chain, try_no, host, end)

    def reach(self, chain: Chain, try_no: int, host: Host, end: int) -> None:
        now = self.clock.now
        if end <= now:
            self.fate(chain, "late")
            return
        if not host.alive:
            self.again(chain, try_no, "node gone", 0, harmless=True)
            return
        self.last_id += 1
        asked = Asked(self.last_id, chain, host, try_no, end)
        host.open[asked.id] = asked
        host.asked += 1
        self.clock.at(end + self.day.settings.answer_slack + MS, self.overdue, asked)
        if self.rng_leave.random() < self.day.clients.leaving:
            self.clock.after(self.rng_leave.random() * (end - now), self.client_leaves, asked)
        host.policy.on_request(now, asked.id, chain.traffic, end - now)

    def client_leaves(self, asked: Asked) -> None:
        """Its client closes the connection; to the node that looks like a half-close."""
        if asked.ended or not asked.node.alive:
            return
        asked.left_at = self.clock.now
        self.left += 1
        self.left_waiting += not asked.attempts
        asked.node.policy.on_client_half_closed(self.clock.now, asked.id)

    def overdue(self, asked: Asked) -> None:
        if asked.ended:
            return
        if asked.node.alive:
            self.broken["no answer in time"] += 1
        asked.node.end(asked)
        self.fate(asked.chain, "overdue")
        if asked.node.alive:
            asked.node.policy.on_client_gone(self.clock.now, asked.id)

    # ---- the rules ------------------------------------------------------

    def check_send(self, host: Host, asked: Asked, server: Server) -> None:
        now = self.clock.now
        told = host.told_away.get(server.number)
        if told is not None and now - told > self.day.settings.drain_grace:
            self.broken["sent to one that drains"] += 1
        if asked.ended:
            self.broken["sent after the answer"] += 1
        if asked.traffic_unsafe() and (asked.ran or asked.live):
            self.broken["sent again what may have run"] += 1

    # ---- the network ----------------------------------------------------

    def lag(self, a: int, b: int) -> int:
        way = self.day.same if a == b else self.day.cross
        return int(way * (0.9 + 0.4 * self.rng_net.random()))

    def reaches(self, zone: int, server: Server) -> bool:
        if server.silent:
            return False
        return zone == server.zone or not ({zone, server.zone} & self.cut_zones)

    def loses_answer(self, server: Server) -> bool:
        return server.zone in self.lossy and self.rng_net.random() < self.day.lost_answers

    def listing_of(self, row: Row) -> Listing:
        server = self.servers[row.server]
        state = STATES[row.state]
        return Listing(row.server, state, server.zone, 0, 0, row.boot)

    def told(self, host: Host, changed_at: int) -> None:
        """A node has learnt of a change; it counts from when the list could be reached."""
        since = max(changed_at, self.registry.reachable_since, host.started)
        self.told_most = max(self.told_most, self.clock.now - since)

    # ---- fates ----------------------------------------------------------

    def book(self, at: int, what: str, worth: float) -> None:
        i = (at - self.began) // (5 * SECOND)
        while len(self.window) <= i:
            self.window.append(Counter())
        self.window[i][what] += 1
        self.window[i][what + " worth"] += worth  # type: ignore[assignment]

    def fate(self, chain: Chain, what: str) -> None:
        self.fates[what] += 1
        self.fates_worth[what] += chain.worth  # type: ignore[assignment]
        self.book(chain.began, what, chain.worth)

    def served(self, asked: Asked) -> None:
        chain = asked.chain
        if asked.left_at:
            self.fate(chain, "client left")
            return
        took = self.clock.now + self.day.client - chain.began
        self.latencies.append(took)
        if took <= self.traffic_of(chain).spec.latency_target:
            self.earned += chain.worth
            asked.node.earned += chain.worth
            self.class_worth[chain.traffic][1] += chain.worth
            self.fate(chain, "in time")
            return
        last = asked.attempts[-1]
        inside = last.sent - (chain.began + self.day.client)
        at_server = self.clock.now - last.sent
        self.fate(chain, "late by queue" if inside > at_server else "late by server")

    def refused(self, asked: Asked, retry_after: int) -> None:
        chain = asked.chain
        if asked.left_at:
            self.fate(chain, "client left")
            return
        zone = asked.node.zone
        idle = any(s.free() and s.state == "ready" and s.zone == zone for s in self.servers)
        place = idle or any(s.has_place() and s.state == "ready" for s in self.servers)
        why = (
            "refused, an idle server near"
            if idle
            else "refused, a place somewhere"
            if place
            else "refused, all full"
        )
        self.again(chain, asked.try_no, why, retry_after, harmless=True)

    def failed(self, asked: Asked) -> None:
        if asked.left_at:
            self.fate(asked.chain, "client left")
            return
        safe = not asked.traffic_unsafe()
        self.again(asked.chain, asked.try_no, "failed", 0, harmless=safe)

    def lost_with_node(self, asked: Asked) -> None:
        if asked.left_at:
            self.fate(asked.chain, "client left")
            return
        safe = not asked.traffic_unsafe() or not (asked.ran or asked.live)
        self.again(asked.chain, asked.try_no, "node gone", 0, harmless=safe)

    def again(self, chain: Chain, try_no: int, why: str, wait: int, harmless: bool) -> None:
        """A client comes again where it may, or its wish ends this way."""
        c = self.day.clients
        rng = self.rng_clients
        restless = rng.random() < c.restless
        if not harmless or try_no >= c.retries + restless:
            self.fate(chain, why)
            return
        delay = 0.0 if restless else c.backoff * (0.5 + rng.random())
        if wait and rng.random() < c.honour:
            delay = max(delay, wait)
        spec = self.traffic_of(chain).spec
        if self.clock.now + delay >= chain.began + spec.deadline:
            self.fate(chain, why)
            return
        self.clock.after(delay, self.ask, chain, try_no + 1)

    # ---- what happens ---------------------------------------------------

    def happen(self, what: str, arg: float, span: int) -> None:
        getattr(self, "do_" + what)(arg, span)

    def some(self, part: float) -> list[Server]:
        ready = [s for s in self.servers if s.state == "ready" and not s.dead]
        count = max(1, round(part * len(ready)))
        return self.rng_events.sample(ready, min(count, len(ready)))

    def learn(self, server: Server, state: str, notice: int, boot: int = 0) -> None:
        spread = self.rng_events.randrange(self.day.terms.spread)
        row = Row(server.number, state, boot)
        self.clock.after(notice + spread, self.registry.know, row)

    def do_slow(self, part: float, _span: int) -> None:
        for server in self.some(part):
            server.slow = 4.0

    def do_fail(self, part: float, _span: int) -> None:
        for server in self.some(part):
            server.failing = 0.5

    def do_shift(self, _arg: float, _span: int) -> None:
        """Traffic moves between zones."""
        day = self.day
        factor = [self.rng_events.uniform(0.85, 1.15) for _ in range(day.zones)]
        raw = [s * factor[z] for s, z in zip(self.shares, day.node_zones, strict=True)]
        self.shares = [s / sum(raw) for s in raw]
        self.deal_nodes()

    def do_replace(self, part: float, span: int) -> None:
        """Servers drain, end, and others start cold, each at its moment within the span."""
        for server in self.some(part):
            self.clock.after(self.rng_events.random() * span, self.drain, server)

    def drain(self, server: Server) -> None:
        server.state = "draining"
        self.learn(server, "draining", self.day.terms.notice)
        self.clock.after(self.rng_events.uniform(3.0, 5.0) * SECOND, self.leave, server)
        fresh = Server(len(self.servers), server.zone, server.build, self.clock, self.rng_servers)
        fresh.start()
        self.servers.append(fresh)
        self.learn(fresh, "ready", self.day.terms.notice // 3, self.clock.now)

    def leave(self, server: Server) -> None:
        server.die()
        self.learn(server, "left", self.day.terms.notice)

    def do_list_down(self, silent: float, span: int) -> None:
        """The list refuses calls for so long, or says nothing at all."""
        self.registry.go_down(bool(silent))
        self.clock.after(span, self.registry.come_up)

    def do_list_silent(self, _arg: float, _span: int) -> None:
        """All open watches fall silent; calls that are made from here on are answered."""
        self.registry.holding.clear()

    def do_kill(self, part: float, span: int) -> None:
        alive = [h for h in self.hosts if h.alive]
        for host in self.rng_events.sample(alive, round(part * len(alive))):
            self.stop(host, span)

    def stop(self, host: Host, span: int) -> None:
        if not host.alive:
            return  # it is away already, and comes back once
        rows, rev = tuple(host.roster.values()), host.rev
        host.kill()
        self.clock.after(self.day.front_notice, self.notice, host)
        away = span * (0.7 + 0.6 * self.rng_events.random())
        self.clock.after(away, self.come_back, host, rows, rev)

    def notice(self, host: Host) -> None:
        if not host.alive:
            host.taking = False
            self.deal_nodes()

    def come_back(self, host: Host, rows: tuple[Row, ...], rev: int) -> None:
        host.start(rows, rev)
        self.deal_nodes()

    def do_restart(self, turn: float, span: int) -> None:
        """A tenth of the nodes is restarted in an orderly way."""
        first = int(turn * len(self.hosts))
        for host in self.hosts[first : first + max(1, len(self.hosts) // 10)]:
            host.taking = False
            self.clock.after(SECOND, self.stop, host, span)
        self.deal_nodes()

    def do_lose(self, turn: float, span: int) -> None:
        zone = int(turn * self.day.zones)
        lost = [s for s in self.servers if s.zone == zone and s.state == "ready"]
        if self.day.zones == 1:
            lost = self.some(0.3)
        for server in lost:
            server.cut()
            self.learn(server, "left", self.day.terms.silent_notice)
            self.clock.after(span, self.restore, server)

    def restore(self, server: Server) -> None:
        server.open = 0
        for host in self.hosts:
            host.idle.pop(server.number, None)
        server.start()
        self.learn(server, "ready", self.day.terms.notice // 3, self.clock.now)

    def do_isolate(self, turn: float, span: int) -> None:
        zone = int(turn * self.day.zones)
        self.cut_zones.add(zone)
        self.lossy.add(zone)
        self.clock.after(span, self.cut_zones.discard, zone)
        self.clock.after(2 * span, self.lossy.discard, zone)
