"""Lease clients of many instances on one simulated clock: the shipped rules, a network that loses,
doubles and delays, disks that take their time, processes that stop, end and come back.

Whatever a holder may act on is looked at after every event: two at once are a broken promise.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from tansywood.lease.client import LeaseClient
from tansywood.lease.context import Peer
from tansywood.lease.disk import DiskContents, plan_write
from tansywood.lease.fragments import Fragment
from tansywood.lease.raft import MS, Raft, Timing
from tansywood.lease.spread import Ranking
from tansywood.lease.terms import SECOND, LeaseTerms
from tansywood.lease.voter import Voter


class Broken(AssertionError):
    """Two may act on one lease."""


@dataclass
class Place:
    """One instance over its lives."""

    name: str
    rate: float = 1.0  # of its clock
    offset: int = 0
    client: LeaseClient | None = None
    disk: DiskContents | None = None  # what is synced
    disk_ns: int = 2 * MS  # a synced write takes so long
    failing: bool = False
    stopped: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)
    lives: int = 0
    due: int = 0  # of its next look, world's time


class LeaseWorld:
    """Instances by name; time is the world's, in nanoseconds."""

    def __init__(
        self,
        names: Iterable[str],
        voters: Iterable[str],
        seed: int,
        terms: LeaseTerms | None = None,
        rates: Iterable[float] = (1.0,),
        watched: bool = True,
    ) -> None:
        self.rng = Random(seed)
        self.terms = terms or LeaseTerms(duration_ns=SECOND, renew_interval_ns=SECOND // 4)
        self.voters = tuple(voters)
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.delay, self.jitter = MS, MS
        self.loss = self.twice = self.late = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.sent: Counter[str] = Counter()
        self.watched = watched
        self.common: tuple[str, ...] = ()
        self.ranking = Ranking()  # all know the same members here: it is worked out once
        rows = list(rates)
        self.places = {
            name: Place(name, rows[n % len(rows)], self.rng.randrange(10**6) * SECOND)
            for n, name in enumerate(names)
        }
        self.holder: dict[str, str] = {}  # by lease, who may act by the last look
        self.newest: dict[str, int] = {}
        self.freed: dict[str, int] = {}  # when nobody could any more
        self.grants: list[tuple[int, str, str]] = []  # when, what, who
        for name in self.places:
            self.start(name)

    # ---- time ----------------------------------------------------------------------------------

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.heap, (when, self.count, what))

    def clock(self, place: Place) -> int:
        return place.offset + int(self.now * place.rate)

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heappop(self.heap)
            what()
        self.now = end

    # ---- lives ---------------------------------------------------------------------------------

    def start(self, name: str, blank: bool = False) -> None:
        place = self.places[name]
        place.lives += 1
        life = self.rng.randbytes(16)
        client = LeaseClient(
            name, life, self.voters, self.terms, Random(self.rng.random()), Timing()
        )
        client.placement.ranking = self.ranking
        place.client, place.stopped, place.failing = client, False, False
        place.inbox.clear()
        if blank:
            place.disk = None
        if client.should_vote:
            self.mount(place)
        self.know()
        for lease in self.common:
            client.placement.wanted_names.add(lease)
            client.placement.shared_names.add(lease)
        client.update_wanted(self.clock(place))
        self.look_at(place, self.now)

    def mount(self, place: Place) -> None:
        if place.disk is None:
            place.disk = DiskContents(f"{place.name}/{self.rng.randbytes(4).hex()}")
        assert place.client is not None
        place.client.start_voter(self.clock(place), replace(place.disk))

    def end(self, name: str) -> None:
        self.places[name].client = None
        self.know()
        self.check()

    def stop(self, name: str) -> None:
        self.places[name].stopped = True

    def go(self, name: str) -> None:
        place = self.places[name]
        place.stopped = False
        inbox, place.inbox = place.inbox, []
        for what in inbox:
            what()
        self.look_at(place, self.now)

    def know(self) -> None:
        """Members as the fleet would tell them, at once."""
        rows = {
            p.name: Peer(p.name, p.name, p.client.life, 0, not p.client.placement.draining)
            for p in self.places.values()
            if p.client is not None
        }
        for place in self.places.values():
            if place.client is not None:
                known = {n: replace(r, since=-60 * SECOND) for n, r in place.client.peers.items()}
                place.client.update_members(
                    self.clock(place), known | rows, place.client.placement.draining
                )
                for gone in known.keys() - rows.keys():
                    place.client.peers[gone] = replace(known[gone], accepts_leases=False)

    def want(self, names: Iterable[str]) -> None:
        """Every instance would do these."""
        self.common = (*self.common, *names)
        for place in self.places.values():
            if place.client is not None:
                place.client.placement.wanted_names.update(self.common)
                place.client.placement.shared_names.update(self.common)
                place.client.update_wanted(self.clock(place))
                self.look_at(place, self.now)

    # ---- one instance --------------------------------------------------------------------------

    def look_at(self, place: Place, when: int) -> None:
        place.due = when
        self.at(when, lambda: self._look(place, when))

    def _look(self, place: Place, when: int) -> None:
        client = place.client
        if client is None or place.stopped or place.due != when:
            return
        client.tick(self.clock(place))
        self.flush(place)
        wait = int((client.next_due() - self.clock(place)) / place.rate)
        self.look_at(place, self.now + max(wait, MS))

    def flush(self, place: Place) -> None:
        client = place.client
        assert client is not None
        client.take_lost(self.clock(place))
        if client.disk_rejection_reason:
            client.stop_voter(self.clock(place), client.disk_rejection_reason)
            client.disk_rejection_reason = ""
            place.disk = None
            self.mount(place)
        voter = client.voter
        if voter is not None and place.disk is not None:
            kept = voter.kept
            unsaved = voter._unsaved
            if voter.next_write() is not None:
                assert unsaved is not None
                made, _ = plan_write(kept, unsaved, voter.group, voter.known_saves)
                self.at(self.now + place.disk_ns, lambda: self._written(place, voter, made))
        for address, fragment in client.take_sends():
            self._send(place, address, fragment)
        self.check()

    def _written(self, place: Place, voter: Voter, made: DiskContents) -> None:
        client = place.client
        if client is None or client.voter is not voter:
            return  # it ended with the write under way: that write is lost here
        if place.stopped:
            place.inbox.append(lambda: self._written(place, voter, made))
            return
        if place.failing:
            client.stop_voter(self.clock(place), "the disk failed")
            self.at(self.now + SECOND, lambda: self._again(place, client))
        else:
            place.disk = made
            voter.complete_write()
            client.flush(self.clock(place))
        self.flush(place)
        self.look_at(place, self.now)

    def _again(self, place: Place, client: LeaseClient) -> None:
        if place.client is not client or client.voter is not None:
            return
        if place.failing:
            self.at(self.now + SECOND, lambda: self._again(place, client))
            return
        self.mount(place)
        self.look_at(place, self.now)

    # ---- the network ---------------------------------------------------------------------------

    def _send(self, place: Place, address: str, fragment: Fragment) -> None:
        self.sent[place.name] += 1
        self.sent["all"] += 1
        if (place.name, address) in self.cut or self.rng.random() < self.loss:
            return
        assert place.client is not None
        life = place.client.life
        target = self.places[address]
        to = target.client.life if target.client is not None else b""
        for _ in range(1 + (self.rng.random() < self.twice)):
            wait = self.delay + int(self.rng.random() * self.jitter)
            if self.rng.random() < self.late:
                wait += int(self.rng.random() * 3 * SECOND)
            self.at(self.now + wait, lambda: self._arrive(place.name, life, target, to, fragment))

    def _arrive(self, name: str, life: bytes, target: Place, to: bytes, fragment: Fragment) -> None:
        client = target.client
        if client is None or client.life != to:
            return  # every datagram is for one life
        if target.stopped:
            target.inbox.append(lambda: self._arrive(name, life, target, to, fragment))
            return
        client.receive(self.clock(target), name, life, fragment)
        self.flush(target)
        self.look_at(target, self.now)

    # ---- what must hold ------------------------------------------------------------------------

    def check(self) -> None:
        """Nobody may act on what another may act on; tokens grow."""
        if not self.watched:
            return
        acting: dict[str, tuple[str, int]] = {}
        for place in self.places.values():
            client = place.client
            if client is None:
                continue
            for name in client.holder.leases:
                token = client.usable_token(self.clock(place), name)
                if not token:
                    continue
                if name in acting:
                    raise Broken(f"{name}: {acting[name][0]} and {place.name}, {self.now} ns")
                acting[name] = (place.name, token)
        for name, (who, token) in acting.items():
            if token < self.newest.get(name, 0):
                raise Broken(f"{name}: {who} acts by {token} after {self.newest[name]}")
            if token != self.newest.get(name):
                self.grants.append((self.now, name, who))
            self.newest[name] = token
        for name in self.holder.keys() - acting.keys():
            self.freed[name] = self.now
        self.holder = {name: who for name, (who, _) in acting.items()}

    def held(self) -> dict[str, str]:
        """Who may act on what now."""
        found = {}
        for place in self.places.values():
            if place.client is not None and not place.stopped:
                for name in place.client.holder.leases:
                    if place.client.usable_token(self.clock(place), name):
                        found[name] = place.name
        return found

    def leader(self) -> Place:
        led = [
            p for p in self.places.values() if p.client and p.client.voter and p.client.voter.leads
        ]
        return max(
            led, key=lambda p: p.client.voter.raft.term if p.client and p.client.voter else 0
        )

    def client(self, name: str) -> LeaseClient:
        client = self.places[name].client
        assert client is not None, f"{name} is not up"
        return client

    def raft(self) -> Raft:
        """The leader's."""
        voter = self.client(self.leader().name).voter
        assert voter is not None
        return voter.raft

    def leader_table(self) -> list[tuple[str, int]]:
        """Leases and tokens, as the leader knows them."""
        voter = self.client(self.leader().name).voter
        assert voter is not None
        return sorted((n, lease.token) for n, lease in voter.service.table.leases.items())

    def found(self, at: str = "") -> None:
        """The group, with all of its voters."""
        place = self.places[at or self.voters[0]]
        assert place.client is not None
        self.run(0.1)
        why = place.client.found(self.clock(place), "group-1")
        assert not why, why
        self.flush(place)
        self.look_at(place, self.now)
        for _ in range(100):
            self.run(0.1)
            voter = place.client.voter
            if voter is not None and len(voter.raft.voters) == len(self.voters):
                return
        raise AssertionError(f"the voters did not come together: {place.client.status(0)}")
