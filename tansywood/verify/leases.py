"""The shipped log and leases before the search: voters, holders, a network, disks and clocks.

The network is a set of messages that never shrinks: each may be delivered at any time, again, or
never, which is every order, loss and doubling at once. A crash loses all but what was kept. Time
is moved by a move of its own, in the worst case that is allowed: holders' clocks run slow by the
whole bound while voters' run fast. Elections need no time to pass: a voter may ask for one at any
moment, and none is turned away for a leader heard of, which allows more than the program does.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from copy import copy
from dataclasses import replace
from typing import Any

from tansywood.lease.holder import Holder
from tansywood.lease.log import (
    Entry,
    Message,
    PersistentState,
    PreVoteRequest,
    Snapshot,
    VoteRequest,
)
from tansywood.lease.messages import LeaseRequest
from tansywood.lease.raft import LEADER, Raft
from tansywood.lease.service import LeaseService
from tansywood.lease.terms import LeaseTerms
from tansywood.verify import identity, pruning
from tansywood.verify.world import (
    LATE,
    LEASE,
    NO_CHANCE,
    TIMING,
    UNIT,
    Bounds,
    Packet,
    Spent,
    World,
    fork_holder,
    fork_service,
)

Move = tuple[str, Callable[[], World | None]]  # a line for people, and what it leads to


class LeaseModel:
    """Leases by the shipped LeaseService, Raft, LeaseTable and Holder.

    It begins with an elected leader, settled, that has heard from everybody, and nothing asked.
    A lease lasts for one move of time.
    """

    def __init__(self, bounds: Bounds, terms: LeaseTerms | None = None) -> None:
        self.bounds = bounds
        self.terms = terms or LeaseTerms(
            duration_ns=UNIT, max_clock_skew_fraction=0.1, renew_interval_ns=UNIT // 2
        )
        self.slow = round(UNIT * (1 - 0.1))  # a holder's clock in a move
        self.names = tuple(f"v{n + 1}" for n in range(bounds.voters))
        self.people = tuple(chr(ord("A") + n) for n in range(len(bounds.asks)))

    # ---- the beginning -------------------------------------------------------------------------

    def begin(self) -> World:
        """The state that the search begins with."""
        saved = PersistentState(snapshot=Snapshot(0, 0, self.names))
        voters = {n: self._voter(n, saved, 0) for n in self.names}
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
            holder.wanted_names.add(LEASE)
        if not self.bounds.led:
            return world
        first, second = self.names[0], self.names[-1]
        world = self.settle(self.act(world, first, lambda k: k.raft.campaign(0)))
        assert world.voters[first].raft.role == LEADER
        # Once more, so that all know what is committed.
        world = self.settle(self.act(world, first, lambda k: k.raft.send_heartbeats(0)))
        if self.bounds.held:
            world = self._hold(world, first)
            world = self.settle(self.act(world, first, lambda k: k.raft.send_heartbeats(0)))
        if self.bounds.second:
            world = self.act(world, second, lambda k: k.raft.campaign(0))
            world = self.settle(world, without=first)
            assert world.voters[second].raft.is_ready_leader
        return world

    def _voter(self, name: str, saved: PersistentState, now: int) -> LeaseService:
        """As it starts with what its disk holds."""
        return LeaseService(Raft(name, saved, TIMING, NO_CHANCE, now), self.terms)

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
        ask = holder.next_request(0)
        world.holders = {**world.holders, holder.name: holder}
        world = self.settle(self.act(world, first, lambda k: k.handle_request(0, holder.name, ask)))
        assert world.holders[holder.name].usable_token(0, LEASE)
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
            answers, service.replies = service.replies, []
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

    def keep(self, old: PersistentState, new: PersistentState) -> PersistentState:
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
            return self.act(world, b, lambda k: k.handle_request(world.clock, a, what))
        late = LATE if isinstance(what, PreVoteRequest | VoteRequest) else world.clock

        def receive(service: LeaseService) -> None:
            message: Message = what
            service.raft.receive(late, a, message)
            # A time that was only said for the votes' sake is nobody's time.
            if late == LATE:
                service.raft.elected_at = min(service.raft.elected_at, world.clock)
            service.queue_due_replies(world.clock)

        return self.act(world, b, receive)

    def time_of(self, world: World, holder: str) -> int:
        """A holder's clock."""
        return world.spent.times * self.slow

    def moves(self, world: World) -> Iterable[Move]:
        """All that may happen next."""
        if world.wrong:
            return
        for packet in world.net:
            a, b, what = packet
            if not pruning.idle(world, packet):
                yield f"{b} gets {self.describe(what)} of {a}", self._deliver_move(world, packet)
        for name in world.voters:
            yield from self._voters_moves(world, name)
        for at in range(len(self.people)):
            yield from self._holders_moves(world, at)
        if world.spent.times < self.bounds.times:
            yield "time passes", self._time(world)

    def _voters_moves(self, world: World, name: str) -> Iterable[Move]:
        bounds, spent, raft = self.bounds, world.spent, world.voters[name].raft
        may = raft.role != LEADER and raft.term < bounds.term
        if may and spent.elections < bounds.elections:
            yield f"{name} asks for an election", self._campaign(world, name)
        if spent.crashes < bounds.crashes:
            yield f"{name} crashes and starts again", self._crash(world, name)
        if raft.role == LEADER and spent.beats < bounds.beats:
            yield f"{name} sends a heartbeat", self._beat(world, name)
        if raft.role == LEADER:
            yield f"{name} looks at the time", self._tick(world, name)

    def _holders_moves(self, world: World, at: int) -> Iterable[Move]:
        """Of the holder with this number."""
        bounds, holder = self.bounds, self.people[at]
        if world.spent.asks[at] >= bounds.asks[at]:
            return
        for name, service in world.voters.items():
            allowed = not bounds.pairs or (holder, name) in bounds.pairs
            if service.raft.role == LEADER and allowed:
                yield f"{holder} asks {name}", self._ask(world, at, holder, name)

    def dead(self, world: World, packet: Packet) -> bool:
        """Whether a message may be forgotten."""
        return pruning.dead(world, self.bounds.term, packet)

    def prune(self, world: World) -> World:
        """The same without messages that are dead."""
        kept = frozenset(p for p in world.net if not self.dead(world, p))
        if len(kept) != len(world.net):
            world.net = kept
        return world

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
            service = self._voter(name, saved, world.clock)
            service._last_tick_at = world.clock
            made.voters = {**world.voters, name: service}
            made.spent = replace(world.spent, crashes=world.spent.crashes + 1)
            return made

        return go

    def _beat(self, world: World, name: str) -> Callable[[], World]:
        def go() -> World:
            made = self.act(world, name, lambda k: k.raft.send_heartbeats(world.clock))
            made.spent = replace(world.spent, beats=world.spent.beats + 1)
            return made

        return go

    def _tick(self, world: World, name: str) -> Callable[[], World | None]:
        def go() -> World | None:
            service = world.voters[name]
            due = [
                h
                for h in service.table.names_by_holder
                if h not in service._pending_ends and world.clock >= service.expiries.get(h, 0)
            ]
            if not due:
                return None

            def tick(k: LeaseService) -> None:
                k._last_tick_at = world.clock
                k.raft.due = LATE  # heartbeats are a move of their own
                k.raft.last_heard_at = dict.fromkeys(k.raft.last_heard_at, world.clock)
                k.tick(world.clock)

            return self.act(world, name, tick)

        return go

    def _ask(self, world: World, at: int, holder: str, name: str) -> Callable[[], World]:
        def go() -> World:
            made = copy(world)
            one = fork_holder(world.holders[holder])
            ask = one.next_request(self.time_of(world, holder))
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
        """The rule that does not hold in a state, or nothing."""
        if world.wrong:
            return world.wrong
        acting = [
            (token, name)
            for name, holder in world.holders.items()
            if (token := holder.usable_token(self.time_of(world, name), LEASE))
        ]
        if len(acting) > 1:
            return f"two holders may act: {acting}"
        return ""

    # ---- for the search --------------------------------------------------------------------------

    def key(self, world: World) -> Hashable:
        """See `identity`."""
        return identity.key(world, lambda name: self.time_of(world, name))

    def describe(self, what: Any) -> str:
        """A message in one line of a run."""
        return f"{type(what).__name__}{tuple(getattr(what, f) for f in what.__struct_fields__)}"
