"""Fleet membership: SWIM with Lifeguard's suspicion. Pure; times are passed in.

Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002). Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (DSN-W 2018). All three parts of Lifeguard are here: the local health
count, the suspicion that ends sooner the more members confirm it, and the rule that a suspect is
told of its suspicion before any other update.

Membership is a belief and can be wrong. It may be used to choose turns and to inform operators; no
limit may be raised because of it (see `allocation`).

A life is one run of a process, named by 16 random bytes. Records of one member are ordered by life
(`born`, then the life's bytes), then by incarnation, then by state: alive, suspect, lost, left. An
old update that arrives after a newer one therefore changes nothing, a member that was declared lost
returns with its next incarnation, and a restarted process replaces its earlier life.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from msgspec.structs import replace

from tansywood.fleet.messages import Ack, Body, MemberUpdate, Nack, Ping, PingFor, Sync
from tansywood.fleet.terms import MS, SECOND


class State(IntEnum):
    """State of a member; within one incarnation the greater value overrides the smaller."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


PROBE_INTERVAL_NS = 500 * MS  # between two probes while the local health count is 0
PROBE_TIMEOUT_NS = 200 * MS  # for a direct answer; indirect ones have the rest of the interval
NACK_TIMEOUT_FRACTION = 0.8  # of the probe timeout, after which a helper sends a nack
INDIRECT_PROBE_COUNT = 3  # members asked to probe a target that did not answer
MIN_SUSPICION_MULTIPLIER = 4.0  # shortest suspicion: probe intervals times log10(fleet)
MAX_TO_MIN_SUSPICION_RATIO = 6.0  # longest suspicion over the shortest one
CONFIRMATION_COUNT = 3  # accusers beyond the first that make a suspicion the shortest
MAX_HEALTH_COUNT = 8  # probe times are multiplied by the health count plus one
GOSSIP_MULTIPLIER = 4  # each member sends one update 4 * log10(fleet) times
MAX_GOSSIP_UPDATES = 6  # member updates in one ping, ack or indirect probe
SYNC_INTERVAL_NS = 10 * SECOND  # between two exchanges of all member records
JOIN_SYNC_INTERVAL_NS = 250 * MS  # while no other member is known
RECONNECT_INTERVAL_NS = 5 * SECOND  # between contacts of a lost member or an unknown seed address
GONE_MEMBER_RETENTION_NS = 60 * SECOND  # of lost and left members: old updates can't revive them
MAX_SYNC_UPDATES = 12  # member updates in one datagram of a full exchange


@dataclass(frozen=True, slots=True)
class Event:
    """A change for operators to read: the member's name, what changed, and why."""

    name: str
    what: str  # one word, for example joined, suspect, lost, back, left, conflict
    why: str


@dataclass(slots=True)
class Member:
    """A member as this instance believes it to be; times in nanoseconds."""

    update: MemberUpdate
    since: int  # when its record last changed
    suspicion_ends_at: int = 0
    accusers: set[str] = field(default_factory=set)
    suspected_at: int = 0

    @property
    def state(self) -> State:
        """The state in the newest update."""
        return State(self.update.state)

    @property
    def present(self) -> bool:
        """Whether the member is neither lost nor left."""
        return self.update.state <= State.SUSPECT


@dataclass(slots=True)
class _Probe:
    """This instance's probe of one member, until its answer or deadline (nanoseconds)."""

    seq: int
    target: str
    sent_at: int
    indirect_probe_at: int
    deadline: int
    indirect_sent: bool = False
    helper_count: int = 0
    nack_count: int = 0


@dataclass(slots=True)
class _RelayedProbe:
    """A probe that another member, the requester, asked this instance to send."""

    requester: str
    requester_seq: int
    nack_at: int
    deadline: int


def rank(update: MemberUpdate) -> tuple[int, bytes, int, int]:
    """Sort key for records of one name: the greater one is the newer."""
    return (update.born, update.life, update.incarnation, update.state)


def _describe_change(old: Member | None, new: MemberUpdate, state: State) -> str:
    """The change of a member as one word for an event; empty where there is none to report."""
    if state != State.ALIVE:
        return state.name.lower()
    if old is None:
        return ""
    if old.state >= State.LOST:
        return "back"
    if new.drains and not old.update.drains:
        return "drains"
    return "restarted" if new.life != old.update.life else ""


def max_suspicion_ns(n: int) -> int:
    """Longest time that a member of a fleet of n stays suspect, in nanoseconds."""
    return int(MAX_TO_MIN_SUSPICION_RATIO * min_suspicion_ns(n))


def min_suspicion_ns(n: int) -> int:
    """Shortest time that a member of a fleet of n stays suspect, in nanoseconds."""
    return int(MIN_SUSPICION_MULTIPLIER * max(1.0, math.log10(max(n, 1))) * PROBE_INTERVAL_NS)


Send = Callable[[str, Body], None]  # sends a message to an address


class Members:
    """The members of the fleet as one instance believes them to be.

    Messages leave through `send(address, body)`, which the methods call.
    """

    def __init__(
        self, own: MemberUpdate, seed_addresses: Iterable[str], rng: Random, now: int, send: Send
    ) -> None:
        """`own` is this process, alive, incarnation 0; `seed_addresses` are contacted to join."""
        self.own = own
        self.seed_addresses = [address for address in seed_addresses if address != own.address]
        self.rng = rng
        self.send = send
        self.rows: dict[str, Member] = {own.name: Member(own, now)}
        self.lives: dict[str, bytes] = {}  # by address, from gossip; for addressing messages only
        self.events: list[Event] = []
        self.health = 0  # Lifeguard's local health count: 0 is healthy
        self.conflict = ""  # address of another process that has this instance's name
        self.left = False
        self.false_alarms = 0  # suspicions of others that were refuted
        self._seq = 0
        self._syncs = 0
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}
        self._probe_order: list[str] = []
        self._send_counts: dict[str, int] = {own.name: 0}  # by name: how often its update was sent
        self._next_probe = now + int(rng.random() * PROBE_INTERVAL_NS)
        self._next_sync = now
        self._next_reconnect = now + int(rng.random() * RECONNECT_INTERVAL_NS)
        self._now = now

    # ---- queries -----------------------------------------------------------------------------

    def live(self) -> list[str]:
        """Sorted names of the members that are neither lost nor left, this instance included."""
        return sorted(name for name, m in self.rows.items() if m.present)

    def working(self) -> list[str]:
        """Sorted names of the members that take new work: neither draining nor suspect."""
        return sorted(
            name
            for name, m in self.rows.items()
            if m.update.state == State.ALIVE and not m.update.drains
        )

    def next_due(self) -> int:
        """Time at which `tick` must be called next."""
        due = [self._next_probe, self._next_sync, self._next_reconnect]
        if self._probe is not None:
            due.append(
                self._probe.deadline if self._probe.indirect_sent else self._probe.indirect_probe_at
            )
        due += [f.nack_at or f.deadline for f in self._relayed.values()]
        due += [m.suspicion_ends_at for m in self.rows.values() if m.update.state == State.SUSPECT]
        return min(due)

    # ---- changes of this instance ------------------------------------------------------------

    def drain(self, now: int) -> None:
        """Announce that this instance takes no new work."""
        if not self.own.drains:
            self._advance_incarnation(now, drains=True)
            self.events.append(Event(self.own.name, "drains", "told to"))

    def resume(self, now: int) -> None:
        """Announce that this instance takes new work again."""
        if self.own.drains:
            self._advance_incarnation(now, drains=False)
            self.events.append(Event(self.own.name, "back", "told to take on work again"))

    def leave(self, now: int) -> None:
        """Leave the fleet for good.

        A few members are told at once: this process gossips no more after it has left.
        """
        if self.left:
            return
        self.left = True
        self._advance_incarnation(now, state=State.LEFT)
        for name in self._sample_peers(INDIRECT_PROBE_COUNT + 2):
            self.send(self.rows[name].update.address, Sync([self.own]))

    def _advance_incarnation(self, now: int, **over: object) -> None:
        self.own = replace(self.own, **({"incarnation": self.own.incarnation + 1} | over))
        self.rows[self.own.name] = Member(self.own, now)
        self._send_counts[self.own.name] = 0

    # ---- time ---------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Send the probes and exchanges that are due, and expire suspicions and old records."""
        if self._resumed_after_pause(now):
            return
        self._now = now
        if self.left:
            return
        self._check_relayed_probes(now)
        self._check_probe(now)
        self._expire_members(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_NS * (self.health + 1)
            if self._probe is None:
                self._start_probe(now)
        if now >= self._next_sync:
            self._sync(now)
        if now >= self._next_reconnect:
            self._contact_unreachable(now)

    def _check_probe(self, now: int) -> None:
        """Send indirect probes after the direct timeout, or end a probe that got no answer."""
        probe = self._probe
        if probe is None:
            return
        if not probe.indirect_sent and now >= probe.indirect_probe_at:
            self._ask_helpers(now, probe)
        if now >= probe.deadline:
            self._probe = None
            self._on_probe_timeout(now, probe)

    def _expire_members(self, now: int) -> None:
        """Declare suspects lost whose suspicion has ended, and drop old lost and left members."""
        for name, m in list(self.rows.items()):
            if m.update.state == State.SUSPECT and now >= m.suspicion_ends_at:
                why = (
                    f"no answer for {(now - m.suspected_at) / SECOND:.1f} s, "
                    f"told by {len(m.accusers)}"
                )
                self._set_state(now, m.update, State.LOST, why)
            elif m.update.state >= State.LOST and now - m.since > GONE_MEMBER_RETENTION_NS:
                del self.rows[name]
                self.lives.pop(m.update.address, None)
                self._send_counts.pop(name, None)

    def _resumed_after_pause(self, now: int) -> bool:
        """Whether this process was stopped for a while; if so, probes and timers start anew.

        After a stop, overdue timers say nothing about other members: their answers could not be
        received here meanwhile.
        """
        gap = now - self._now
        if gap < 2 * PROBE_INTERVAL_NS * (self.health + 1):
            return False
        self._now = now
        self._probe = None
        self._relayed.clear()
        self.health = min(self.health + 1, MAX_HEALTH_COUNT)
        for m in self.rows.values():
            if m.update.state == State.SUSPECT:
                m.suspicion_ends_at += gap
                m.suspected_at += gap
        self._next_probe = now + int(self.rng.random() * PROBE_INTERVAL_NS)
        self._next_sync = now
        return True

    def _start_probe(self, now: int) -> None:
        target = self._next_target()
        if target is None:
            return
        self._seq += 1
        slow = self.health + 1
        self._probe = _Probe(
            self._seq,
            target,
            now,
            now + PROBE_TIMEOUT_NS * slow,
            now + PROBE_INTERVAL_NS * slow - MS,
        )
        update = self.rows[target].update
        self.send(update.address, Ping(self._seq, target, self._pick_updates(target)))

    def _next_target(self) -> str | None:
        """The next member in round robin over a shuffled list.

        Each member is probed once in a round, which bounds the time to detection (SWIM, 4.3).
        """
        while self._probe_order:
            name = self._probe_order.pop()
            m = self.rows.get(name)
            if m is not None and m.present and name != self.own.name:
                return name
        self._probe_order = [n for n, m in self.rows.items() if m.present and n != self.own.name]
        self.rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _ask_helpers(self, now: int, probe: _Probe) -> None:
        probe.indirect_sent = True
        for name in self._sample_peers(INDIRECT_PROBE_COUNT, exclude=probe.target):
            probe.helper_count += 1
            self.send(
                self.rows[name].update.address,
                PingFor(probe.seq, probe.target, self._pick_updates(name)),
            )

    def _on_probe_timeout(self, now: int, probe: _Probe) -> None:
        # Helpers that send neither an ack nor a nack suggest that this instance is at fault.
        silent = probe.helper_count - probe.nack_count
        self.health = min(self.health + (silent if probe.helper_count else 1), MAX_HEALTH_COUNT)
        m = self.rows.get(probe.target)
        if m is not None and m.update.state == State.ALIVE:
            self._accuse(now, m.update, self.own.name, "it did not answer us")

    def _check_relayed_probes(self, now: int) -> None:
        for seq, relayed in list(self._relayed.items()):
            if relayed.nack_at and now >= relayed.nack_at:
                relayed.nack_at = 0
                requester = self.rows.get(relayed.requester)
                if requester is not None:
                    self.send(requester.update.address, Nack(relayed.requester_seq))
            if now >= relayed.deadline:
                del self._relayed[seq]

    def _sync(self, now: int) -> None:
        known = [n for n, m in self.rows.items() if m.present and n != self.own.name]
        if known:
            # Exchanges are frequent at first: when all instances start at once, gossip alone
            # takes 15 s to spread their records.
            self._syncs += 1
            every = min(SYNC_INTERVAL_NS, SECOND << min(self._syncs, 5))
            self._next_sync = now + every // 2 + int(self.rng.random() * every)
            self._send_state(self.rows[self.rng.choice(known)].update.address, True)
            return
        self._next_sync = (
            now + JOIN_SYNC_INTERVAL_NS + int(self.rng.random() * JOIN_SYNC_INTERVAL_NS)
        )
        for address in self.seed_addresses:
            self._send_state(address, True)

    def _contact_unreachable(self, now: int) -> None:
        """Contact a lost member or an unknown seed address.

        This heals a split: both sides hold the other for lost and would not probe it again.
        """
        self._next_reconnect = (
            now + RECONNECT_INTERVAL_NS // 2 + int(self.rng.random() * RECONNECT_INTERVAL_NS)
        )
        known = {m.update.address for m in self.rows.values() if m.present}
        gone = [m.update.address for m in self.rows.values() if m.update.state == State.LOST]
        gone += [address for address in self.seed_addresses if address not in known]
        if gone:
            self._send_state(self.rng.choice(gone), True)

    def _send_state(self, address: str, answer: bool) -> None:
        rows = [m.update for m in self.rows.values() if m.update.name != self.own.name]
        self.rng.shuffle(rows)
        rows.insert(0, self.own)
        for at in range(0, len(rows), MAX_SYNC_UPDATES):
            self.send(address, Sync(rows[at : at + MAX_SYNC_UPDATES], answer and at == 0))

    def _sample_peers(self, count: int, exclude: str = "") -> list[str]:
        names = [n for n, m in self.rows.items() if m.present and n not in (self.own.name, exclude)]
        return self.rng.sample(names, min(count, len(names)))

    # ---- messages of other members ------------------------------------------------------------

    def receive(self, now: int, sender: str, address: str, body: Body) -> None:
        """Handle a message of a member; its seal has proved which process sent it."""
        if self._resumed_after_pause(now):
            pass  # a message that arrives after a pause is still valid
        self._now = now
        if isinstance(body, Ping):
            self._apply_updates(now, body.news, sender)
            if body.target == self.own.name and not self.left:
                self.send(address, Ack(body.seq, self._pick_updates(sender)))
        elif isinstance(body, PingFor):
            self._apply_updates(now, body.news, sender)
            target = self.rows.get(body.target)
            if target is not None and not self.left:
                self._seq += 1
                slow = self.health + 1
                self._relayed[self._seq] = _RelayedProbe(
                    sender,
                    body.seq,
                    now + int(NACK_TIMEOUT_FRACTION * PROBE_TIMEOUT_NS * slow),
                    now + PROBE_INTERVAL_NS * slow,
                )
                ping = Ping(self._seq, body.target, self._pick_updates(body.target))
                self.send(target.update.address, ping)
        elif isinstance(body, Ack):
            self._apply_updates(now, body.news, sender)
            self._on_ack(now, body.seq)
        elif isinstance(body, Nack):
            if self._probe is not None and body.seq == self._probe.seq:
                self._probe.nack_count += 1
        elif isinstance(body, Sync):
            self._apply_updates(now, body.members, sender)
            if body.answer and not self.left:
                self._send_state(address, False)

    def _on_ack(self, now: int, seq: int) -> None:
        probe = self._probe
        if probe is not None and seq == probe.seq:
            self._probe = None
            self.health = max(self.health - 1, 0)
            return
        relayed = self._relayed.pop(seq, None)
        if relayed is not None:
            requester = self.rows.get(relayed.requester)
            if requester is not None:
                self.send(
                    requester.update.address,
                    Ack(relayed.requester_seq, self._pick_updates(relayed.requester)),
                )

    def _apply_updates(self, now: int, updates: Iterable[MemberUpdate], reporter: str) -> None:
        for update in updates:
            self.apply_update(now, update, reporter)

    def apply_update(self, now: int, update: MemberUpdate, reporter: str) -> None:
        """Apply an update of any age.

        It takes effect where it is newer than the known record, or accuses a present member.
        """
        if update.name == self.own.name:
            self._apply_own_update(now, update, reporter)
            return
        m = self.rows.get(update.name)
        if m is None:
            if update.state <= State.SUSPECT:
                self._alive_or_suspect(now, update, reporter, "joined")
            return
        if update.state == State.SUSPECT and rank(update)[:3] == rank(m.update)[:3]:
            if m.update.state <= State.SUSPECT:
                self._accuse(now, update, update.accuser or reporter, f"told by {reporter}")
            return
        if rank(update) <= rank(m.update):
            return
        if update.life != m.update.life and update.address != m.update.address and m.present:
            # Another process uses the name of a present member: the first one keeps it. A member
            # that moved to another machine is accepted once its earlier life is lost or left.
            return
        if update.state <= State.SUSPECT:
            self._alive_or_suspect(now, update, reporter)
        else:
            self._set_state(now, update, State(update.state), f"told by {reporter}")

    def _alive_or_suspect(
        self, now: int, update: MemberUpdate, reporter: str, what: str = ""
    ) -> None:
        """Record a member as alive, then accuse it where the update says that it is suspect."""
        self._set_state(now, update, State.ALIVE, f"told by {reporter}", what)
        if update.state == State.SUSPECT:
            self._accuse(now, update, update.accuser or reporter, f"told by {reporter}")

    def _apply_own_update(self, now: int, update: MemberUpdate, reporter: str) -> None:
        own = self.own
        if update.life != own.life:
            if update.address != own.address and update.state <= State.SUSPECT:
                # Another process has this instance's name. The one that started first keeps it.
                if update.born <= own.born and not self.conflict:
                    self.conflict = update.address
                    self.events.append(
                        Event(own.name, "conflict", f"{update.address} has this name already")
                    )
                return
            if update.address != own.address and update.address == self.conflict:
                self.conflict = ""  # the other process is lost or has left
            if update.born >= own.born:
                # An earlier life of this instance, started by a clock that was ahead.
                self._advance_incarnation(now, born=update.born + 1)
            return
        if update.state != State.ALIVE and rank(update)[2:] >= rank(own)[2:] and not self.left:
            # Others hold this instance for suspect or lost; a higher incarnation refutes it.
            self.health = min(self.health + 1, MAX_HEALTH_COUNT)
            self._advance_incarnation(now, incarnation=update.incarnation + 1)
            self.events.append(Event(own.name, "refuted", f"{reporter} took us for lost"))

    def _accuse(self, now: int, update: MemberUpdate, accuser: str, why: str) -> None:
        """Suspect a member, or confirm its suspicion, for `accuser`, whose own probe failed.

        A member that only relays the suspicion is no accuser. When relays counted, one lost answer
        made a member lost as fast as gossip spreads: 27 false losses in half a minute with 200
        instances and 5 % of datagrams lost.
        """
        m = self.rows[update.name]
        if m.update.state != State.SUSPECT:
            self._set_state(now, update, State.SUSPECT, why, accuser=accuser)
            m = self.rows[update.name]
            m.suspected_at = now
            m.accusers = {accuser}
        elif accuser not in m.accusers and len(m.accusers) <= CONFIRMATION_COUNT:
            m.accusers.add(accuser)
            m.update = replace(m.update, accuser=accuser)
            self._send_counts[update.name] = 0  # confirmations are gossiped too (Lifeguard, 4.2)
        n = len(self.live())
        least, most = min_suspicion_ns(n), max_suspicion_ns(n)
        others = len(m.accusers) - 1
        spent = math.log(others + 1) / math.log(CONFIRMATION_COUNT + 1)
        m.suspicion_ends_at = m.suspected_at + max(int(most - (most - least) * spent), least)

    def _set_state(
        self,
        now: int,
        update: MemberUpdate,
        state: State,
        why: str,
        what: str = "",
        accuser: str = "",
    ) -> None:
        """Store an update of another member with this state, and note an event if it changed."""
        old = self.rows.get(update.name)
        record = replace(update, state=int(state), accuser=accuser)
        self.rows[update.name] = Member(record, now)
        self.lives[record.address] = record.life
        self._send_counts[update.name] = 0
        if old is not None and state == State.ALIVE and old.state == State.SUSPECT:
            self.false_alarms += 1
            return
        what = what or _describe_change(old, record, state)
        if what:
            self.events.append(Event(record.name, what, why))

    # ---- gossip -------------------------------------------------------------------------------

    def _pick_updates(self, to: str) -> list[MemberUpdate]:
        """Updates for one datagram: the least sent first, but to a suspect its suspicion first."""
        limit = GOSSIP_MULTIPLIER * math.ceil(math.log10(len(self.rows) + 1))
        picked = []
        suspect = self.rows.get(to)
        if suspect is not None and suspect.update.state == State.SUSPECT:
            picked.append(to)
        for name in sorted(self._send_counts, key=self._send_counts.__getitem__):
            if len(picked) >= MAX_GOSSIP_UPDATES:
                break
            if name not in picked and name in self.rows:
                picked.append(name)
        for name in picked:
            if name in self._send_counts:
                self._send_counts[name] += 1
                if self._send_counts[name] >= limit:
                    del self._send_counts[name]
        return [self.rows[name].update for name in picked]
