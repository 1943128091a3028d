"""The shipped log and lease code as a model to search: voters, holders, network, disks, clocks.

The network is a set of messages that never shrinks. Each message may be delivered at any time,
repeatedly or never, which covers every order, loss and duplication. A crash loses everything that
is not on disk. Time passes in a separate move under the worst allowed skew: holders' clocks run
slow by the whole bound while voters' clocks run fast. Elections need no time to pass: a voter may
start one at any moment, and voters do not refuse it because they recently heard from a leader.
This allows more runs than the program does.
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
    TIME_STEP,
    TIMING,
    ZERO_RANDOM,
    Bounds,
    Packet,
    UsedBounds,
    World,
    fork_holder,
    fork_service,
)

Move = tuple[
    str, Callable[[], World | None]
]  # description, and a function that makes the next state


class LeaseModel:
    """Model of the shipped LeaseService, Raft, LeaseTable and Holder.

    A run begins with an elected leader that has heard from all voters and, unless the bounds say
    otherwise, with a lease that A holds. A lease lasts for one time step.
    """

    def __init__(self, bounds: Bounds, terms: LeaseTerms | None = None) -> None:
        self.bounds = bounds
        self.terms = terms or LeaseTerms(
            duration_ns=TIME_STEP, max_clock_skew_fraction=0.1, renew_interval_ns=TIME_STEP // 2
        )
        self.holder_time_step = round(
            TIME_STEP * (1 - 0.1)
        )  # a holder's clock advances by this in a time step
        self.voter_names = tuple(f"v{n + 1}" for n in range(bounds.voters))
        self.holder_names = tuple(chr(ord("A") + n) for n in range(len(bounds.requests)))

    # ---- initial state ---------------------------------------------------------------------------

    def begin(self) -> World:
        """Return the state with which every run begins."""
        saved = PersistentState(snapshot=Snapshot(0, 0, self.voter_names))
        voters = {n: self._voter(n, saved, 0) for n in self.voter_names}
        world = World(
            voters,
            {h: Holder(h, self.terms) for h in self.holder_names},
            frozenset(),
            dict.fromkeys(self.voter_names, saved),
            0,
            UsedBounds(requests=(0,) * len(self.holder_names)),
            (),
            (),
        )
        for holder in world.holders.values():
            holder.wanted_names.add(LEASE)
        if not self.bounds.has_leader:
            return world
        first, second = self.voter_names[0], self.voter_names[-1]
        world = self.settle(self.act(world, first, lambda k: k.raft.campaign(0)))
        assert world.voters[first].raft.role == LEADER
        # A second round tells all voters what is committed.
        world = self.settle(self.act(world, first, lambda k: k.raft.send_heartbeats(0)))
        if self.bounds.has_holder:
            world = self._acquire_lease(world, first)
            world = self.settle(self.act(world, first, lambda k: k.raft.send_heartbeats(0)))
        if self.bounds.has_second_leader:
            world = self.act(world, second, lambda k: k.raft.campaign(0))
            world = self.settle(world, without=first)
            assert world.voters[second].raft.is_ready_leader
        return world

    def _voter(self, name: str, saved: PersistentState, now: int) -> LeaseService:
        """Return a voter as it starts with the state on its disk."""
        return LeaseService(Raft(name, saved, TIMING, ZERO_RANDOM, now), self.terms)

    def settle(self, world: World, without: str = "") -> World:
        """Deliver all messages in a fixed order until the network is empty. Messages to and from
        the voter `without` are dropped."""
        while world.network:
            packets = sorted((p for p in world.network if without not in p[:2]), key=repr)
            world.network = frozenset()
            for sender, receiver, what in packets:
                later = self._deliver(world, sender, receiver, what)
                if later is not None:
                    later.network |= world.network
                    world = later
        return world

    def _acquire_lease(self, world: World, first: str) -> World:
        """Let A acquire the lease from voter `first`; the network is empty afterwards."""
        holder = fork_holder(world.holders[self.holder_names[0]])
        request = holder.next_request(0)
        world.holders = {**world.holders, holder.name: holder}
        world = self.settle(
            self.act(world, first, lambda k: k.handle_request(0, holder.name, request))
        )
        assert world.holders[holder.name].usable_token(0, LEASE)
        return world

    # ---- moves -----------------------------------------------------------------------------------

    def act(self, world: World, name: str, what: Callable[[LeaseService], None]) -> World:
        """Run an action on a voter: it first saves its state, then sends messages, then replies."""
        service = fork_service(world.voters[name])
        made = copy(world)
        made.voters = {**world.voters, name: service}
        what(service)
        network = set(world.network)
        while True:
            out = service.take(world.clock)
            if out.saved is not None:
                made.disks = {**made.disks, name: self.persist(world.disks[name], out.saved)}
            network.update((name, to, message) for to, message in out.sends)
            replies, service.replies = service.replies, []
            network.update((name, to, reply) for to, reply in replies)
            for index, entry in out.committed:
                made.committed_entries = self._commit(made, index, entry)
            if out.saved is None and not out.sends and not out.committed and not replies:
                break
        made.network = frozenset(network)
        raft = service.raft
        if raft.role == LEADER and (raft.term, name) not in made.leaders:
            if any(term == raft.term for term, _ in made.leaders):
                made.violation = f"two lead in term {raft.term}"
            made.leaders = (*made.leaders, (raft.term, name))
        return made

    def persist(self, old: PersistentState, new: PersistentState) -> PersistentState:
        """Return the contents of a disk after a sync."""
        return new

    def _commit(self, world: World, index: int, entry: Entry) -> tuple[tuple[int, Entry], ...]:
        known = dict(world.committed_entries)
        if index in known:
            if known[index] != entry:
                world.violation = f"two entries were committed at {index}"
            return world.committed_entries
        return tuple(sorted({**known, index: entry}.items()))

    def _deliver(self, world: World, sender: str, receiver: str, what: Any) -> World | None:
        if receiver in world.holders:
            holder = fork_holder(world.holders[receiver])
            if not holder.receive_reply(self.time_of(world, receiver), what):
                return None
            made = copy(world)
            made.holders = {**world.holders, receiver: holder}
            return made
        if isinstance(what, LeaseRequest):
            return self.act(world, receiver, lambda k: k.handle_request(world.clock, sender, what))
        now = LATE if isinstance(what, PreVoteRequest | VoteRequest) else world.clock

        def receive(service: LeaseService) -> None:
            message: Message = what
            service.raft.receive(now, sender, message)
            # LATE only makes the voter accept the request; it must not become the election time.
            if now == LATE:
                service.raft.elected_at = min(service.raft.elected_at, world.clock)
            service.queue_due_replies(world.clock)

        return self.act(world, receiver, receive)

    def time_of(self, world: World, holder: str) -> int:
        """Return the time on a holder's clock."""
        return world.used.time_steps * self.holder_time_step

    def moves(self, world: World) -> Iterable[Move]:
        """Yield every move that is possible in this state."""
        if world.violation:
            return
        for packet in world.network:
            sender, receiver, what = packet
            if not pruning.is_noop(world, packet):
                yield (
                    f"{receiver} gets {self.describe(what)} of {sender}",
                    self._deliver_move(world, packet),
                )
        for name in world.voters:
            yield from self._voter_moves(world, name)
        for index in range(len(self.holder_names)):
            yield from self._holder_moves(world, index)
        if world.used.time_steps < self.bounds.time_steps:
            yield "time passes", self._pass_time(world)

    def _voter_moves(self, world: World, name: str) -> Iterable[Move]:
        bounds, used, raft = self.bounds, world.used, world.voters[name].raft
        may_campaign = raft.role != LEADER and raft.term < bounds.max_term
        if may_campaign and used.elections < bounds.elections:
            yield f"{name} asks for an election", self._campaign(world, name)
        if used.crashes < bounds.crashes:
            yield f"{name} crashes and starts again", self._crash(world, name)
        if raft.role == LEADER and used.heartbeats < bounds.heartbeats:
            yield f"{name} sends a heartbeat", self._send_heartbeat(world, name)
        if raft.role == LEADER:
            yield f"{name} looks at the time", self._tick(world, name)

    def _holder_moves(self, world: World, index: int) -> Iterable[Move]:
        """Yield the possible moves of the holder with this index."""
        bounds, holder = self.bounds, self.holder_names[index]
        if world.used.requests[index] >= bounds.requests[index]:
            return
        for name, service in world.voters.items():
            allowed = not bounds.allowed_pairs or (holder, name) in bounds.allowed_pairs
            if service.raft.role == LEADER and allowed:
                yield f"{holder} asks {name}", self._request_lease(world, index, holder, name)

    def is_ineffective(self, world: World, packet: Packet) -> bool:
        """Whether a message can have no effect any more, so that the search may drop it."""
        return pruning.is_ineffective(world, self.bounds.max_term, packet)

    def prune(self, world: World) -> World:
        """Remove messages that can have no effect any more, and return the state."""
        kept = frozenset(p for p in world.network if not self.is_ineffective(world, p))
        if len(kept) != len(world.network):
            world.network = kept
        return world

    def _deliver_move(self, world: World, packet: Packet) -> Callable[[], World | None]:
        def next_state() -> World | None:
            made = self._deliver(world, *packet)
            return None if made is None else self.prune(made)

        return next_state

    def _campaign(self, world: World, name: str) -> Callable[[], World]:
        def next_state() -> World:
            made = self.act(world, name, lambda k: k.raft.campaign(world.clock))
            made.used = replace(world.used, elections=world.used.elections + 1)
            return self.prune(made)

        return next_state

    def _crash(self, world: World, name: str) -> Callable[[], World]:
        def next_state() -> World:
            made = copy(world)
            saved = world.disks[name]
            service = self._voter(name, saved, world.clock)
            service._last_tick_at = world.clock
            made.voters = {**world.voters, name: service}
            made.used = replace(world.used, crashes=world.used.crashes + 1)
            return made

        return next_state

    def _send_heartbeat(self, world: World, name: str) -> Callable[[], World]:
        def next_state() -> World:
            made = self.act(world, name, lambda k: k.raft.send_heartbeats(world.clock))
            made.used = replace(world.used, heartbeats=world.used.heartbeats + 1)
            return made

        return next_state

    def _tick(self, world: World, name: str) -> Callable[[], World | None]:
        def next_state() -> World | None:
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
                k.raft.due = LATE  # heartbeats are sent in separate moves only
                k.raft.last_heard_at = dict.fromkeys(k.raft.last_heard_at, world.clock)
                k.tick(world.clock)

            return self.act(world, name, tick)

        return next_state

    def _request_lease(
        self, world: World, index: int, holder: str, name: str
    ) -> Callable[[], World]:
        def next_state() -> World:
            made = copy(world)
            copied = fork_holder(world.holders[holder])
            request = copied.next_request(self.time_of(world, holder))
            made.holders = {**world.holders, holder: copied}
            made.network = world.network | {(holder, name, request)}
            requests = list(world.used.requests)
            requests[index] += 1
            made.used = replace(world.used, requests=tuple(requests))
            return made

        return next_state

    def _pass_time(self, world: World) -> Callable[[], World]:
        def next_state() -> World:
            made = copy(world)
            made.clock = world.clock + TIME_STEP
            made.used = replace(world.used, time_steps=world.used.time_steps + 1)
            return made

        return next_state

    # ---- rules -----------------------------------------------------------------------------------

    def broken(self, world: World) -> str:
        """Return the rule that a state violates, or an empty string."""
        if world.violation:
            return world.violation
        acting = [
            (token, name)
            for name, holder in world.holders.items()
            if (token := holder.usable_token(self.time_of(world, name), LEASE))
        ]
        if len(acting) > 1:
            return f"two holders may act: {acting}"
        return ""

    # ---- support of the search -------------------------------------------------------------------

    def key(self, world: World) -> Hashable:
        """Return the key of a state; states with equal keys allow the same moves."""
        return identity.key(world, lambda name: self.time_of(world, name))

    def describe(self, what: Any) -> str:
        """Return a one-line description of a message."""
        return f"{type(what).__name__}{tuple(getattr(what, f) for f in what.__struct_fields__)}"
