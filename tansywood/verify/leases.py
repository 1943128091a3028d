"""The shipped log and leases before the search: voters, holders, a network, disks and clocks.

The network is a set of messages that never shrinks: each may be delivered at any time, again, or
never, which is every order, loss and doubling at once. A crash loses all but what was kept. Time
is moved by a move of its own, in the worst case that is allowed: holders' clocks run slow by the
whole bound while voters' run fast. Elections need no time to pass: a voter may ask for one at any
moment, and none is turned away for a leader heard of, which allows more than the program does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from copy import copy
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from tansywood.lease.log import Append, Appended, Entry, Message, Saved, Snapshot
from tansywood.lease.raft import FOLLOWER, LEADER, Out, Raft, Timing
from tansywood.lease.service import Holder, LeaseReply, LeaseRequest, LeaseService, LeaseTerms

LEASE = "x"
LATE = 1 << 50  # a time at which nobody has heard of a leader lately
UNIT = 10  # a voter's clock in one move of time
TIMING = Timing(beat=1, election=2)


class Still(Random):
    """No chance: when an election comes is the search's to say."""

    def random(self) -> float:
        return 0.0


STILL = Still(0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the search goes. Each is a count over a whole run."""

    voters: int = 3
    term: int = 2  # the highest
    elections: int = 1  # beyond the first leader's
    asks: tuple[int, ...] = (1, 1)  # of each holder
    pairs: tuple[tuple[str, str], ...] = ()  # who may ask whom; empty: anybody any leader
    crashes: int = 1
    times: int = 4  # moves of time
    beats: int = 0  # heartbeats of leaders besides those that answers need
    led: bool = True  # whether it begins with a leader
    held: bool = True  # and with a lease that A has just got
    second: bool = False  # and with a newer leader besides, of which the first has not heard


@dataclass(frozen=True, slots=True)
class Spent:
    elections: int = 0
    crashes: int = 0
    times: int = 0
    beats: int = 0
    asks: tuple[int, ...] = ()


Packet = tuple[str, str, Any]  # from, to, what


@dataclass(slots=True)
class World:
    """One state. Never changed: a move copies what it changes."""

    voters: dict[str, LeaseService]
    holders: dict[str, Holder]
    net: frozenset[Packet]
    kept: dict[str, Saved]
    clock: int
    spent: Spent
    led: tuple[tuple[int, str], ...]  # who led in which term
    log: tuple[tuple[int, Entry], ...]  # what was committed, by anybody
    wrong: str = ""


OWN = (list, set, dict, deque)


def fork(thing: Any) -> Any:
    """A copy whose own lists, sets and tables are its own; entries and messages never change."""
    made = object.__new__(type(thing))
    own = thing.__dict__.copy()
    for name, value in own.items():
        if type(value) in OWN:
            own[name] = value.copy()
    made.__dict__ = own
    return made


def fork_service(service: LeaseService) -> LeaseService:
    made: LeaseService = fork(service)
    made.raft = fork(service.raft)
    made.raft._out = Out()
    table = fork(service.table)
    table.of = {h: set(names) for h, names in service.table.of.items()}
    made.table = table
    made.waits = [copy(w) for w in service.waits]
    return made


def fork_holder(holder: Holder) -> Holder:
    made: Holder = fork(holder)
    return made


class LeaseModel:
    """Leases by the shipped LeaseService, Raft, Table and Holder.

    It begins with an elected leader, settled, that has heard from everybody, and nothing asked.
    A lease lasts for one move of time.
    """

    def __init__(self, bounds: Bounds, terms: LeaseTerms | None = None) -> None:
        self.bounds = bounds
        self.terms = terms or LeaseTerms(length=UNIT, skew=0.1, renew=UNIT // 2)
        self.slow = round(UNIT * (1 - 0.1))  # a holder's clock in a move
        self.names = tuple(f"v{n + 1}" for n in range(bounds.voters))
        self.people = tuple(chr(ord("A") + n) for n in range(len(bounds.asks)))

    # ---- the beginning -------------------------------------------------------------------------

    def begin(self) -> World:
        saved = Saved(snapshot=Snapshot(0, 0, self.names))
        voters = {n: LeaseService(Raft(n, saved, TIMING, STILL, 0), self.terms) for n in self.names}
        world = World(
            voters,
            {h: Holder(h, self.terms) for h in self.people},
            frozenset(),
            dict.fromkeys(self.names, saved),
            0,
            Spent(asks=(0,) * len(self.people)),
            (),
            (),
        )
        for holder in world.holders.values():
            holder.want.add(LEASE)
        if not self.bounds.led:
            return world
        first, second = self.names[0], self.names[-1]
        world = self.settle(self.act(world, first, lambda k: k.raft.campaign(0)))
        assert world.voters[first].raft.role == LEADER
        # Once more, so that all know what is committed.
        world = self.settle(self.act(world, first, lambda k: k.raft.beat(0)))
        if self.bounds.held:
            world = self._hold(world, first)
            world = self.settle(self.act(world, first, lambda k: k.raft.beat(0)))
        if self.bounds.second:
            world = self.act(world, second, lambda k: k.raft.campaign(0))
            world = self.settle(world, without=first)
            assert world.voters[second].raft.settled
        return world

    def settle(self, world: World, without: str = "") -> World:
        """Deliver everything once, in one order, but to and from one voter; then the network is
        empty."""
        while world.net:
            packets = sorted((p for p in world.net if without not in p[:2]), key=repr)
            world.net = frozenset()
            for a, b, what in packets:
                later = self._deliver(world, a, b, what)
                if later is not None:
                    later.net |= world.net
                    world = later
        return world

    def _hold(self, world: World, first: str) -> World:
        """A has just asked for the lease, was answered, and nothing else is on its way."""
        holder = fork_holder(world.holders[self.people[0]])
        ask = holder.ask(0)
        world.holders = {**world.holders, holder.name: holder}
        world = self.settle(self.act(world, first, lambda k: k.ask(0, holder.name, ask)))
        assert world.holders[holder.name].may(0, LEASE)
        return world

    # ---- moves -----------------------------------------------------------------------------------

    def act(self, world: World, name: str, what: Callable[[LeaseService], None]) -> World:
        """Let a voter do something: keep, then send, then answer."""
        service = fork_service(world.voters[name])
        made = copy(world)
        made.voters = {**world.voters, name: service}
        what(service)
        net = set(world.net)
        while True:
            out = service.take(world.clock)
            if out.saved is not None:
                made.kept = {**made.kept, name: self.keep(world.kept[name], out.saved)}
            net.update((name, to, message) for to, message in out.sends)
            answers, service.answers = service.answers, []
            net.update((name, to, reply) for to, reply in answers)
            for index, entry in out.committed:
                made.log = self._commit(made, index, entry)
            if out.saved is None and not out.sends and not out.committed and not answers:
                break
        made.net = frozenset(net)
        raft = service.raft
        if raft.role == LEADER and (raft.term, name) not in made.led:
            if any(term == raft.term for term, _ in made.led):
                made.wrong = f"two lead in term {raft.term}"
            made.led = (*made.led, (raft.term, name))
        return made

    def keep(self, old: Saved, new: Saved) -> Saved:
        """What a disk holds after a sync."""
        return new

    def _commit(self, world: World, index: int, entry: Entry) -> tuple[tuple[int, Entry], ...]:
        known = dict(world.log)
        if index in known:
            if known[index] != entry:
                world.wrong = f"two entries were committed at {index}"
            return world.log
        return tuple(sorted({**known, index: entry}.items()))

    def _deliver(self, world: World, a: str, b: str, what: Any) -> World | None:
        if b in world.holders:
            holder = fork_holder(world.holders[b])
            if not holder.receive_reply(self.time_of(world, b), what):
                return None
            made = copy(world)
            made.holders = {**world.holders, b: holder}
            return made
        if isinstance(what, LeaseRequest):
            return self.act(world, b, lambda k: k.ask(world.clock, a, what))
        late = LATE if type(what).__name__ in ("PreVote", "Vote") else world.clock

        def receive(service: LeaseService) -> None:
            message: Message = what
            service.raft.receive(late, a, message)
            # A time that was only said for the votes' sake is nobody's time.
            if late == LATE:
                service.raft.led_since = min(service.raft.led_since, world.clock)
            service.after(world.clock)

        return self.act(world, b, receive)

    def time_of(self, world: World, holder: str) -> int:
        return world.spent.times * self.slow

    def moves(self, world: World) -> Iterable[tuple[str, Callable[[], World | None]]]:
        if world.wrong:
            return
        bounds, spent = self.bounds, world.spent
        for packet in world.net:
            a, b, what = packet
            if self.idle(world, packet):
                continue
            yield f"{b} gets {self.describe(what)} of {a}", self._deliver_move(world, packet)
        for name, service in world.voters.items():
            raft = service.raft
            may = raft.role != LEADER and raft.term < bounds.term
            if may and spent.elections < bounds.elections:
                yield f"{name} asks for an election", self._campaign(world, name)
            if spent.crashes < bounds.crashes:
                yield f"{name} crashes and starts again", self._crash(world, name)
            if raft.role == LEADER and spent.beats < bounds.beats:
                yield f"{name} sends a heartbeat", self._beat(world, name)
            if raft.role == LEADER:
                yield f"{name} looks at the time", self._tick(world, name)
        for at, holder in enumerate(self.people):
            if spent.asks[at] < bounds.asks[at]:
                for name, service in world.voters.items():
                    if service.raft.role == LEADER and (
                        not bounds.pairs or (holder, name) in bounds.pairs
                    ):
                        yield f"{holder} asks {name}", self._ask(world, at, holder, name)
        if spent.times < bounds.times:
            yield "time passes", self._time(world)

    def dead(self, world: World, sender: str, to: str, what: Any) -> bool:
        """Whether a message can never do anything any more, whatever comes: it may be forgotten.

        Terms and what a holder has heard only grow. The one effect that is left out by it: a
        refusal in a newer term would tell an old leader that it is none any more. It stays one
        for longer here than in the program, which is the dangerous side.
        """
        if isinstance(what, LeaseReply):
            return what.seq <= world.holders[to].heard or not what.ok
        if isinstance(what, LeaseRequest):
            raft = world.voters[to].raft
            if raft.role == LEADER:
                return what.seq <= world.voters[to]._asked.get(what.holder, 0)
            return raft.term >= self.bounds.term
        raft = world.voters[to].raft
        kind = type(what).__name__
        if kind == "PreVote":
            return bool(what.term <= raft.term)
        if kind == "PreVoted":
            return bool(what.term <= raft.term or not what.granted)
        if kind == "Voted":
            over = what.term < raft.term or (what.term == raft.term and raft.role != "candidate")
            return bool(over or not what.granted)
        if kind == "Vote":
            return bool(what.term < raft.term or (what.term == raft.term and raft.vote))
        if isinstance(what, Appended):
            return self.useless(world, sender, to, what)
        if what.term < raft.term:
            return True
        # An entry that is there already, whose acknowledgement nobody would miss.
        return (
            isinstance(what, Append)
            and what.term == raft.term
            and self._has(raft, what)
            and self.useless(
                world, to, sender, Appended(what.term, True, self._match(what), what.round)
            )
        )

    def _match(self, what: Append) -> int:
        return what.prev + len(what.entries)

    def _has(self, raft: Raft, what: Append) -> bool:
        match = self._match(what)
        return (
            match <= raft.last
            and raft.commit >= min(what.commit, match)
            and raft.term_at(what.prev) == what.prev_term
            and all(raft.term_at(what.prev + 1 + n) == e.term for n, e in enumerate(what.entries))
        )

    def useless(self, world: World, sender: str, to: str, what: Appended) -> bool:
        """An acknowledgement that its leader can learn nothing from, now or later: it leads no
        more in that term, or knows of those entries, and nobody waits for a round so early."""
        service = world.voters[to]
        raft = service.raft
        if what.term < raft.term or raft.role != LEADER:
            return what.term <= raft.term
        if what.term > raft.term or not what.ok or what.match > raft.match.get(sender, 0):
            return False
        needed = [w.round for w in service.waits if w.round > raft.acked.get(sender, 0)]
        return not needed or min(needed) > what.round

    def prune(self, world: World) -> World:
        """The same without messages that are dead."""
        kept = frozenset(p for p in world.net if not self.dead(world, *p))
        if len(kept) != len(world.net):
            world.net = kept
        return world

    def idle(self, world: World, packet: Packet) -> bool:
        """Whether a delivery would lead back to this very state: its outcome need not be made."""
        a, b, what = packet
        if isinstance(what, LeaseReply):
            return False
        raft = world.voters[b].raft
        if isinstance(what, LeaseRequest):
            return raft.role != LEADER  # it would only be told who leads
        if isinstance(what, Append):
            known = what.term == raft.term and raft.role == FOLLOWER and raft.leader == a
            reply = Appended(raft.term, True, self._match(what), what.round)
            return known and self._has(raft, what) and (b, a, reply) in world.net
        return False

    def _deliver_move(self, world: World, packet: Packet) -> Callable[[], World | None]:
        def go() -> World | None:
            made = self._deliver(world, *packet)
            return None if made is None else self.prune(made)

        return go

    def _campaign(self, world: World, name: str) -> Callable[[], World]:
        def go() -> World:
            made = self.act(world, name, lambda k: k.raft.campaign(world.clock))
            made.spent = replace(world.spent, elections=world.spent.elections + 1)
            return self.prune(made)

        return go

    def _crash(self, world: World, name: str) -> Callable[[], World]:
        def go() -> World:
            made = copy(world)
            saved = world.kept[name]
            raft = Raft(name, saved, TIMING, STILL, world.clock)
            service = LeaseService(raft, self.terms)
            service._ticked = world.clock
            made.voters = {**world.voters, name: service}
            made.spent = replace(world.spent, crashes=world.spent.crashes + 1)
            return made

        return go

    def _beat(self, world: World, name: str) -> Callable[[], World]:
        def go() -> World:
            made = self.act(world, name, lambda k: k.raft.beat(world.clock))
            made.spent = replace(world.spent, beats=world.spent.beats + 1)
            return made

        return go

    def _tick(self, world: World, name: str) -> Callable[[], World | None]:
        def go() -> World | None:
            service = world.voters[name]
            due = [
                h
                for h in service.table.of
                if h not in service._ending and world.clock >= service.ends.get(h, 0)
            ]
            if not due:
                return None

            def tick(k: LeaseService) -> None:
                k._ticked = world.clock
                k.raft.due = LATE  # heartbeats are a move of their own
                k.raft.heard = dict.fromkeys(k.raft.heard, world.clock)
                k.tick(world.clock)

            return self.act(world, name, tick)

        return go

    def _ask(self, world: World, at: int, holder: str, name: str) -> Callable[[], World]:
        def go() -> World:
            made = copy(world)
            one = fork_holder(world.holders[holder])
            ask = one.ask(self.time_of(world, holder))
            made.holders = {**world.holders, holder: one}
            made.net = world.net | {(holder, name, ask)}
            asks = list(world.spent.asks)
            asks[at] += 1
            made.spent = replace(world.spent, asks=tuple(asks))
            return made

        return go

    def _time(self, world: World) -> Callable[[], World]:
        def go() -> World:
            made = copy(world)
            made.clock = world.clock + UNIT
            made.spent = replace(world.spent, times=world.spent.times + 1)
            return made

        return go

    # ---- rules -----------------------------------------------------------------------------------

    def broken(self, world: World) -> str:
        if world.wrong:
            return world.wrong
        acting = [
            (token, name)
            for name, holder in world.holders.items()
            if (token := holder.may(self.time_of(world, name), LEASE))
        ]
        if len(acting) > 1:
            return f"two holders may act: {acting}"
        return ""

    # ---- what tells two states apart -------------------------------------------------------

    def key(self, world: World) -> Hashable:
        return (
            tuple(self._voter(world.voters[n], world.kept[n], world.clock) for n in self.names),
            tuple(self._holder(world.holders[h], self.time_of(world, h)) for h in self.people),
            world.net,
            world.spent,
        )

    def _voter(self, k: LeaseService, kept: Saved, clock: int) -> Hashable:
        r = k.raft
        lead: Hashable = None
        if r.role == LEADER:
            lead = (
                tuple(sorted(r.match.items())),
                tuple(sorted(r.next.items())),
                # Only whether what is waited for is confirmed: rounds to come are later ones.
                tuple(
                    (v, sum(at >= w.round for w in k.waits)) for v, at in sorted(r.acked.items())
                ),
                r.led_from,
                r.led_since,
                tuple(sorted((h, max(e - clock, 0)) for h, e in k.ends.items())),
                k._led,
                k._floor,
                tuple(sorted(k._ending.items())),
                tuple(sorted(k._taking.items())),
                tuple(sorted(k._asked.items())),
                tuple(
                    sorted((h, s, clock - at, clock - a) for h, (s, at, a) in k._unheard.items())
                ),
                tuple((w.sender, w.ask, w.round, w.index, w.term) for w in k.waits),
                r.round,
            )
        votes = tuple(sorted(r.votes)) if r.role in ("asking", "candidate") else ()
        return (
            r.role, r.term, r.vote, r.leader, tuple(r.entries), r.commit, r.applied, votes, lead,
            kept.term, kept.vote, kept.entries,
        )  # fmt: skip

    def _holder(self, h: Holder, now: int) -> Hashable:
        return (
            h.seq, h.heard, max(h.until - now, 0), tuple(sorted(h.leases.items())),
            tuple((seq, now - at) for seq, at in h._sent if now - at <= self.terms.used),
        )  # fmt: skip

    def describe(self, what: Any) -> str:
        """A message in one line of a run."""
        return f"{type(what).__name__}{tuple(getattr(what, f) for f in what.__struct_fields__)}"
