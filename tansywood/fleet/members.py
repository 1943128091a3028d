"""Who is in the fleet: SWIM with Lifeguard's suspicion. Pure; times are passed in.

Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002). Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (DSN-W 2018), all three of its parts: the local health count, the
suspicion that ends sooner the more suspect, and the word to the suspect first.

What is known here is soft. It is good for choosing turns and for telling people; no limit is ever
wider for it (see `allocation`).

A record is ordered by its life first (`born`, then the life's bytes), then by incarnation, then by
state: alive, suspect, lost, left. So old news that comes after newer changes nothing, a member
that is taken for lost comes back by the next incarnation, and a process that starts anew under its
name goes before the one it was.
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
    """Of a member. Greater goes before smaller within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


PERIOD = 500 * MS  # between two probes, while all is well
TIMEOUT = 200 * MS  # for a direct answer; the rest of the period is for indirect ones
NACK_PART = 0.8  # of the timeout, after which a helper says that it has heard nothing
HELPERS = 3
ALPHA = 4.0  # the shortest suspicion, in periods times log10 of the fleet
BETA = 6.0  # the longest, in shortest ones
CONFIRMATIONS = 3  # by others, at which the shortest is reached
HEALTH_MOST = 8
SPREAD = 4  # times log10 of the fleet that an update is told by each
NEWS = 6  # updates in one datagram
SYNC_INTERVAL_NS = 10 * SECOND  # between two exchanges of all that is believed
SYNC_NEW = 250 * MS  # while nobody has answered yet
AGAIN = 5 * SECOND  # between two looks for somebody lost, or a first address not heard of
FORGET = 60 * SECOND  # a lost or left member is remembered so long; old news cannot raise it
SYNC_ROWS = 12  # members in one datagram


@dataclass(frozen=True, slots=True)
class Event:
    """Something to tell people: who, what became of it, and why."""

    name: str
    what: str  # joined, suspect, lost, back, left, drains, taken, conflict
    why: str


@dataclass(slots=True)
class Member:
    """One as believed here."""

    update: MemberUpdate
    since: int
    ends: int = 0  # of its suspicion
    accusers: set[str] = field(default_factory=set)
    begun: int = 0

    @property
    def state(self) -> State:
        """As its newest update says."""
        return State(self.update.state)

    @property
    def present(self) -> bool:
        """Whether it counts as a member: neither lost nor left."""
        return self.update.state <= State.SUSPECT


@dataclass(slots=True)
class _Probe:
    seq: int
    target: str
    asked_at: int
    indirect_at: int
    ends: int
    helped: bool = False
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _RelayedProbe:
    """A probe made for another member."""

    asker: str
    their_seq: int
    nack_at: int
    ends: int


def rank(update: MemberUpdate) -> tuple[int, bytes, int, int]:
    """The order of two records of one name: the greater is the newer."""
    return (update.born, update.life, update.incarnation, update.state)


def _change(old: Member | None, new: MemberUpdate, state: State) -> str:
    """What became of a member, in a word; empty where there is nothing to tell."""
    if state != State.ALIVE:
        return state.name.lower()
    if old is None:
        return ""
    if old.state >= State.LOST:
        return "back"
    if new.drains and not old.update.drains:
        return "drains"
    return "restarted" if new.life != old.update.life else ""


def longest(n: int) -> int:
    """How long a member of a fleet of n is suspect at most."""
    return int(BETA * shortest(n))


def shortest(n: int) -> int:
    """How long a member of a fleet of n is suspect at least, in nanoseconds."""
    return int(ALPHA * max(1.0, math.log10(max(n, 1))) * PERIOD)


Send = Callable[[str, Body], None]  # to an address


class Members:
    """The fleet as one instance believes it to be. `send(address, body)` is called within."""

    def __init__(
        self, own: MemberUpdate, first: Iterable[str], rng: Random, now: int, send: Send
    ) -> None:
        """`own` is this process: alive, incarnation 0. `first` are addresses to ask at first."""
        self.own = own
        self.first = [address for address in first if address != own.address]
        self.rng = rng
        self.send = send
        self.rows: dict[str, Member] = {own.name: Member(own, now)}
        self.lives: dict[str, bytes] = {}  # by address, as told: good for whom to speak to
        self.events: list[Event] = []
        self.health = 0  # Lifeguard's count of our own troubles
        self.conflict = ""  # the address of another that has our name
        self.left = False
        self.false_alarms = 0  # suspicions of others that were refuted
        self._seq = 0
        self._syncs = 0
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}
        self._order: list[str] = []
        self._send_counts: dict[str, int] = {own.name: 0}  # how often each was told
        self._next_probe = now + int(rng.random() * PERIOD)
        self._next_sync = now
        self._next_again = now + int(rng.random() * AGAIN)
        self._now = now

    # ---- what is asked of it ------------------------------------------------------------------

    def live(self) -> list[str]:
        """Names of those that are there, ourselves among them, in order."""
        return sorted(name for name, m in self.rows.items() if m.present)

    def working(self) -> list[str]:
        """Those of them that take on work: neither draining nor suspect."""
        return sorted(
            name
            for name, m in self.rows.items()
            if m.update.state == State.ALIVE and not m.update.drains
        )

    def next_due(self) -> int:
        """When `tick` has something to do."""
        due = [self._next_probe, self._next_sync, self._next_again]
        if self._probe is not None:
            due.append(self._probe.ends if self._probe.helped else self._probe.indirect_at)
        due += [f.nack_at or f.ends for f in self._relayed.values()]
        due += [m.ends for m in self.rows.values() if m.update.state == State.SUSPECT]
        return min(due)

    # ---- our own doings -----------------------------------------------------------------------

    def drain(self, now: int) -> None:
        """Tell everybody that this one takes on nothing new."""
        if not self.own.drains:
            self._renew(now, drains=True)
            self.events.append(Event(self.own.name, "drains", "told to"))

    def resume(self, now: int) -> None:
        """Tell everybody that this one takes on work again."""
        if self.own.drains:
            self._renew(now, drains=False)
            self.events.append(Event(self.own.name, "back", "told to take on work again"))

    def leave(self, now: int) -> None:
        """For good. Told to a few at once: nobody is left to tell it later."""
        if self.left:
            return
        self.left = True
        self._renew(now, state=State.LEFT)
        for name in self._some(HELPERS + 2):
            self.send(self.rows[name].update.address, Sync([self.own]))

    def _renew(self, now: int, **over: object) -> None:
        self.own = replace(self.own, **({"incarnation": self.own.incarnation + 1} | over))
        self.rows[self.own.name] = Member(self.own, now)
        self._send_counts[self.own.name] = 0

    # ---- time ---------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Whatever is due."""
        if self._paused(now):
            return
        self._now = now
        if self.left:
            return
        self._relayed_due(now)
        self._probe_due(now)
        self._states_due(now)
        if now >= self._next_probe:
            self._next_probe = now + PERIOD * (self.health + 1)
            if self._probe is None:
                self._begin_probe(now)
        if now >= self._next_sync:
            self._sync(now)
        if now >= self._next_again:
            self._look_again(now)

    def _probe_due(self, now: int) -> None:
        """Ask others in our place, or take the probe for missed."""
        probe = self._probe
        if probe is None:
            return
        if not probe.helped and now >= probe.indirect_at:
            self._ask_helpers(now, probe)
        if now >= probe.ends:
            self._probe = None
            self._missed(now, probe)

    def _states_due(self, now: int) -> None:
        """Suspects whose time is over are lost; those lost or left for long are forgotten."""
        for name, m in list(self.rows.items()):
            if m.update.state == State.SUSPECT and now >= m.ends:
                why = f"no answer for {(now - m.begun) / SECOND:.1f} s, told by {len(m.accusers)}"
                self._set(now, m.update, State.LOST, why)
            elif m.update.state >= State.LOST and now - m.since > FORGET:
                del self.rows[name]
                self.lives.pop(m.update.address, None)
                self._send_counts.pop(name, None)

    def _paused(self, now: int) -> bool:
        """Woken after a stop, what is due is not what others failed to do: we were not there to
        hear them. All that waits begins anew."""
        gap = now - self._now
        if gap < 2 * PERIOD * (self.health + 1):
            return False
        self._now = now
        self._probe = None
        self._relayed.clear()
        self.health = min(self.health + 1, HEALTH_MOST)
        for m in self.rows.values():
            if m.update.state == State.SUSPECT:
                m.ends += gap
                m.begun += gap
        self._next_probe = now + int(self.rng.random() * PERIOD)
        self._next_sync = now
        return True

    def _begin_probe(self, now: int) -> None:
        target = self._next_target()
        if target is None:
            return
        self._seq += 1
        slow = self.health + 1
        self._probe = _Probe(self._seq, target, now, now + TIMEOUT * slow, now + PERIOD * slow - MS)
        update = self.rows[target].update
        self.send(update.address, Ping(self._seq, target, self._gossip(target)))

    def _next_target(self) -> str | None:
        """Round robin over a shuffled list: each is asked once in a round, so detection has an
        end (SWIM, 4.3)."""
        while self._order:
            name = self._order.pop()
            m = self.rows.get(name)
            if m is not None and m.present and name != self.own.name:
                return name
        self._order = [n for n, m in self.rows.items() if m.present and n != self.own.name]
        self.rng.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _ask_helpers(self, now: int, probe: _Probe) -> None:
        probe.helped = True
        for name in self._some(HELPERS, but=probe.target):
            probe.helpers += 1
            self.send(
                self.rows[name].update.address, PingFor(probe.seq, probe.target, self._gossip(name))
            )

    def _missed(self, now: int, probe: _Probe) -> None:
        # Helpers that are silent as well speak against us, not against the target.
        silent = probe.helpers - probe.nacks
        self.health = min(self.health + (silent if probe.helpers else 1), HEALTH_MOST)
        m = self.rows.get(probe.target)
        if m is not None and m.update.state == State.ALIVE:
            self._accuse(now, m.update, self.own.name, "it did not answer us")

    def _relayed_due(self, now: int) -> None:
        for seq, relayed in list(self._relayed.items()):
            if relayed.nack_at and now >= relayed.nack_at:
                relayed.nack_at = 0
                asker = self.rows.get(relayed.asker)
                if asker is not None:
                    self.send(asker.update.address, Nack(relayed.their_seq))
            if now >= relayed.ends:
                del self._relayed[seq]

    def _sync(self, now: int) -> None:
        known = [n for n, m in self.rows.items() if m.present and n != self.own.name]
        if known:
            # Often at first: where all start at once, gossip alone takes a quarter of a minute.
            self._syncs += 1
            every = min(SYNC_INTERVAL_NS, SECOND << min(self._syncs, 5))
            self._next_sync = now + every // 2 + int(self.rng.random() * every)
            self._tell_all(self.rows[self.rng.choice(known)].update.address, True)
            return
        self._next_sync = now + SYNC_NEW + int(self.rng.random() * SYNC_NEW)
        for address in self.first:
            self._tell_all(address, True)

    def _look_again(self, now: int) -> None:
        """Heals a split: both sides took one another for lost, and nobody would ask again."""
        self._next_again = now + AGAIN // 2 + int(self.rng.random() * AGAIN)
        known = {m.update.address for m in self.rows.values() if m.present}
        gone = [m.update.address for m in self.rows.values() if m.update.state == State.LOST]
        gone += [address for address in self.first if address not in known]
        if gone:
            self._tell_all(self.rng.choice(gone), True)

    def _tell_all(self, address: str, answer: bool) -> None:
        rows = [m.update for m in self.rows.values() if m.update.name != self.own.name]
        self.rng.shuffle(rows)
        rows.insert(0, self.own)
        for at in range(0, len(rows), SYNC_ROWS):
            self.send(address, Sync(rows[at : at + SYNC_ROWS], answer and at == 0))

    def _some(self, count: int, but: str = "") -> list[str]:
        names = [n for n, m in self.rows.items() if m.present and n not in (self.own.name, but)]
        return self.rng.sample(names, min(count, len(names)))

    # ---- what others say ------------------------------------------------------------------------

    def receive(self, now: int, sender: str, address: str, body: Body) -> None:
        """A message of a member; whose it is was proved by its seal."""
        if self._paused(now):
            pass  # what it says is as true as ever
        self._now = now
        if isinstance(body, Ping):
            self._take_all(now, body.news, sender)
            if body.target == self.own.name and not self.left:
                self.send(address, Ack(body.seq, self._gossip(sender)))
        elif isinstance(body, PingFor):
            self._take_all(now, body.news, sender)
            target = self.rows.get(body.target)
            if target is not None and not self.left:
                self._seq += 1
                slow = self.health + 1
                self._relayed[self._seq] = _RelayedProbe(
                    sender, body.seq, now + int(NACK_PART * TIMEOUT * slow), now + PERIOD * slow
                )
                ping = Ping(self._seq, body.target, self._gossip(body.target))
                self.send(target.update.address, ping)
        elif isinstance(body, Ack):
            self._take_all(now, body.news, sender)
            self._acked(now, body.seq)
        elif isinstance(body, Nack):
            if self._probe is not None and body.seq == self._probe.seq:
                self._probe.nacks += 1
        elif isinstance(body, Sync):
            self._take_all(now, body.members, sender)
            if body.answer and not self.left:
                self._tell_all(address, False)

    def _acked(self, now: int, seq: int) -> None:
        probe = self._probe
        if probe is not None and seq == probe.seq:
            self._probe = None
            self.health = max(self.health - 1, 0)
            return
        relayed = self._relayed.pop(seq, None)
        if relayed is not None:
            asker = self.rows.get(relayed.asker)
            if asker is not None:
                self.send(asker.update.address, Ack(relayed.their_seq, self._gossip(relayed.asker)))

    def _take_all(self, now: int, updates: Iterable[MemberUpdate], teller: str) -> None:
        for update in updates:
            self.apply_update(now, update, teller)

    def apply_update(self, now: int, update: MemberUpdate, teller: str) -> None:
        """An update of whatever age. It changes something where it is newer than what is known,
        or accuses a member that is there."""
        if update.name == self.own.name:
            self._of_us(now, update, teller)
            return
        m = self.rows.get(update.name)
        if m is None:
            if update.state <= State.SUSPECT:
                self._alive_or_suspect(now, update, teller, "joined")
            return
        if update.state == State.SUSPECT and rank(update)[:3] == rank(m.update)[:3]:
            if m.update.state <= State.SUSPECT:
                self._accuse(now, update, update.accuser or teller, f"told by {teller}")
            return
        if rank(update) <= rank(m.update):
            return
        if update.life != m.update.life and update.address != m.update.address and m.present:
            # Another process under a name whose bearer is there: who was first keeps it. One
            # that moved to another machine is taken in once the one it was is lost or has left.
            return
        if update.state <= State.SUSPECT:
            self._alive_or_suspect(now, update, teller)
        else:
            self._set(now, update, State(update.state), f"told by {teller}")

    def _alive_or_suspect(
        self, now: int, update: MemberUpdate, teller: str, what: str = ""
    ) -> None:
        """A member is there; a suspect is taken for alive first, then accused."""
        self._set(now, update, State.ALIVE, f"told by {teller}", what)
        if update.state == State.SUSPECT:
            self._accuse(now, update, update.accuser or teller, f"told by {teller}")

    def _of_us(self, now: int, update: MemberUpdate, teller: str) -> None:
        own = self.own
        if update.life != own.life:
            if update.address != own.address and update.state <= State.SUSPECT:
                # Somebody else has our name. Who was there first keeps it.
                if update.born <= own.born and not self.conflict:
                    self.conflict = update.address
                    self.events.append(
                        Event(own.name, "conflict", f"{update.address} has this name already")
                    )
                return
            if update.address != own.address and update.address == self.conflict:
                self.conflict = ""  # it has gone
            if update.born >= own.born:
                # What we were before this start, by a clock that was ahead.
                self._renew(now, born=update.born + 1)
            return
        if update.state != State.ALIVE and rank(update)[2:] >= rank(own)[2:] and not self.left:
            # Taken for lost: the next incarnation says otherwise.
            self.health = min(self.health + 1, HEALTH_MOST)
            self._renew(now, incarnation=update.incarnation + 1)
            self.events.append(Event(own.name, "refuted", f"{teller} took us for lost"))

    def _accuse(self, now: int, update: MemberUpdate, accuser: str, why: str) -> None:
        """`accuser` found it out itself. Whoever only passed it on is none: taken for one, a
        single lost answer became a loss as fast as gossip goes (27 of them in half a minute of
        200 instances at 5 % of loss)."""
        m = self.rows[update.name]
        if m.update.state != State.SUSPECT:
            self._set(now, update, State.SUSPECT, why, accuser=accuser)
            m = self.rows[update.name]
            m.begun = now
            m.accusers = {accuser}
        elif accuser not in m.accusers and len(m.accusers) <= CONFIRMATIONS:
            m.accusers.add(accuser)
            m.update = replace(m.update, accuser=accuser)
            self._send_counts[update.name] = 0  # confirmations are told on (Lifeguard, 4.2)
        n = len(self.live())
        least, most = shortest(n), longest(n)
        others = len(m.accusers) - 1
        spent = math.log(others + 1) / math.log(CONFIRMATIONS + 1)
        m.ends = m.begun + max(int(most - (most - least) * spent), least)

    def _set(
        self,
        now: int,
        update: MemberUpdate,
        state: State,
        why: str,
        what: str = "",
        accuser: str = "",
    ) -> None:
        """Believe an update of another member, with this state, from now on."""
        old = self.rows.get(update.name)
        made = replace(update, state=int(state), accuser=accuser)
        self.rows[update.name] = Member(made, now)
        self.lives[made.address] = made.life
        self._send_counts[update.name] = 0
        if old is not None and state == State.ALIVE and old.state == State.SUSPECT:
            self.false_alarms += 1
            return
        what = what or _change(old, made, state)
        if what:
            self.events.append(Event(made.name, what, why))

    # ---- gossip -------------------------------------------------------------------------------

    def _gossip(self, to: str) -> list[MemberUpdate]:
        """The least told news first; a suspect hears of its suspicion before anything else."""
        limit = SPREAD * math.ceil(math.log10(len(self.rows) + 1))
        picked = []
        suspect = self.rows.get(to)
        if suspect is not None and suspect.update.state == State.SUSPECT:
            picked.append(to)
        for name in sorted(self._send_counts, key=self._send_counts.__getitem__):
            if len(picked) >= NEWS:
                break
            if name not in picked and name in self.rows:
                picked.append(name)
        for name in picked:
            if name in self._send_counts:
                self._send_counts[name] += 1
                if self._send_counts[name] >= limit:
                    del self._send_counts[name]
        return [self.rows[name].update for name in picked]
