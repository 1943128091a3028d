"""The log under losses, ends, cuts and changes of its voters; leases and fences on top."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Any

import msgspec
import pytest

from tansywood.lease.fence import Fence, StaleToken
from tansywood.lease.holder import Holder
from tansywood.lease.log import COMMAND, Message, PersistentState, Snapshot
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import LEADER, MS, Raft, Timing
from tansywood.lease.service import LeaseService
from tansywood.lease.table import (
    AcquireLease,
    EndHolder,
    LeaseTable,
    ReleaseLease,
    TableError,
    pack,
)
from tansywood.lease.terms import LeaseTerms

SECOND = 1000 * MS
TERMS = LeaseTerms(duration_ns=2 * SECOND, renew_interval_ns=SECOND // 2)


class Cluster:
    """Lease services on one simulated clock, with a lossy network and disks that outlast them."""

    def __init__(self, voters: list[str], seed: int, disks: list[str] | None = None) -> None:
        self.rng = Random(seed)
        self.now = 0
        self.heap: list[tuple[int, int, str, str, Any]] = []
        self.count = 0
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()
        saved = PersistentState(snapshot=Snapshot(0, 0, tuple(sorted(voters))))
        self.kept = {n: saved if n in voters else PersistentState() for n in disks or voters}
        self.services: dict[str, LeaseService] = {}
        self.holders: dict[str, Holder] = {}
        self.log: dict[int, Any] = {}
        self.acts: list[tuple[int, str, int]] = []
        self.every = 4096
        for name in self.kept:
            self.start(name)

    def start(self, name: str) -> None:
        raft = Raft(name, self.kept[name], Timing(), Random(self.rng.random()), self.now)
        self.services[name] = LeaseService(raft, TERMS, self.every)

    def send(self, a: str, b: str, what: Any) -> None:
        if (a, b) in self.cut or self.rng.random() < self.loss:
            return
        self.count += 1
        due = self.now + int(self.rng.uniform(1, 20) * MS)
        heappush(self.heap, (due, self.count, a, b, what))

    def flush(self, name: str) -> None:
        service = self.services[name]
        for _ in range(3):
            out = service.take(self.now)
            if out.saved is not None:
                self.kept[name] = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(out.saved), type=PersistentState
                )
            for to, message in out.sends:
                self.send(name, to, message)
            for index, entry in out.committed:
                assert self.log.setdefault(index, entry) == entry, index
            answers, service.replies = service.replies, []
            for to, reply in answers:
                self.send(name, to, reply)

    def hold(self, name: str, *want: str) -> Holder:
        holder = self.holders.setdefault(name, Holder(name, TERMS))
        holder.wanted_names |= set(want)
        return holder

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 10 * MS
            while self.heap and self.heap[0][0] <= self.now:
                _, _, a, b, what = heappop(self.heap)
                if isinstance(what, LeaseReply):
                    if b in self.holders:
                        self.holders[b].receive_reply(self.now, what)
                elif b in self.services:
                    if isinstance(what, LeaseRequest):
                        self.services[b].handle_request(self.now, a, what)
                    else:
                        message: Message = what
                        self.services[b].raft.receive(self.now, a, message)
                        self.services[b].queue_due_replies(self.now)
                    self.flush(b)
            for name in list(self.services):
                self.services[name].tick(self.now)
                self.flush(name)
            if self.now // (10 * MS) % 20 == 0:
                for name, holder in self.holders.items():
                    ask = holder.next_request(self.now)
                    for voter in self.services:
                        self.send(name, voter, ask)
            self.check()

    def check(self) -> None:
        leaders = [k.raft.term for k in self.services.values() if k.raft.role == LEADER]
        assert len(leaders) == len(set(leaders))
        acting: dict[str, list[str]] = {}
        for holder in self.holders.values():
            holder.take_lost(self.now)
            for name in list(holder.leases):
                token = holder.usable_token(self.now, name)
                if token:
                    acting.setdefault(name, []).append(holder.name)
                    self.acts.append((token, holder.name, self.now))
        assert all(len(some) == 1 for some in acting.values()), acting

    @property
    def leader(self) -> LeaseService:
        led = [k for k in self.services.values() if k.raft.is_ready_leader]
        return max(led, key=lambda k: k.raft.term)


@pytest.mark.parametrize("seed", range(8))
def test_never_two_holders_over_random_faults(seed: int) -> None:
    c = Cluster(["v1", "v2", "v3"], seed)
    for name in "ABC":
        c.hold(name, "x", f"own-{name}")
    names = list(c.kept)
    for _ in range(25):
        kind = c.rng.randrange(6)
        voter = c.rng.choice(names)
        if kind == 0 and len(c.services) > 1:
            c.services.pop(voter, None)
        elif kind == 1:
            c.loss = c.rng.choice((0.0, 0.1, 0.3))
        elif kind == 2:
            other = c.rng.choice([*names, "A", "B", "C"])
            c.cut |= {(voter, other)} | ({(other, voter)} if c.rng.random() < 0.5 else set())
        elif kind == 3:
            c.cut.clear()
        for name in names:
            if name not in c.services and c.rng.random() < 0.6:
                c.start(name)
        for holder in c.holders.values():
            if "x" in holder.leases and c.rng.random() < 0.3:
                holder.give_back("x", c.rng.choice(["", "A", "B"]))
                holder.wanted_names.add("x")
        c.run(c.rng.choice((0.2, 0.7, 1.5)))
    c.loss = 0.0
    c.cut.clear()
    for name in names:
        if name not in c.services:
            c.start(name)
    c.run(8.0)
    assert sum(bool(h.usable_token(c.now, "x")) for h in c.holders.values()) == 1  # free in the end
    tokens = [token for token, _, _ in c.acts if token]
    by_time = [t for t, _, _ in sorted(c.acts, key=lambda a: a[2])]
    assert tokens and max(by_time) == max(tokens)
    assert all(h.usable_token(c.now, f"own-{n}") for n, h in c.holders.items())


def test_a_dead_holder_of_hundreds_is_one_entry() -> None:
    c = Cluster(["v1", "v2", "v3"], 3)
    c.hold("A", *(f"l{n}" for n in range(300)))
    c.run(3.0)
    assert len(c.holders["A"].leases) == 300
    before = c.leader.raft.commit_index
    del c.holders["A"]
    c.run(3.0)
    assert not c.leader.table.leases
    assert c.leader.raft.commit_index == before + 1


def test_nobody_acts_without_a_majority_and_all_goes_on_after() -> None:
    c = Cluster(["v1", "v2", "v3"], 4)
    c.hold("A", "x")
    c.run(3.0)
    assert c.holders["A"].usable_token(c.now, "x")
    gone = [n for n in c.kept if n != c.leader.raft.name]
    for name in gone:
        del c.services[name]
    c.hold("B", "x")
    c.run(4.0)
    assert not any(h.usable_token(c.now, "x") for h in c.holders.values())
    for name in gone:
        c.start(name)
    c.run(5.0)
    assert sum(bool(h.usable_token(c.now, "x")) for h in c.holders.values()) == 1


def test_one_cut_off_does_not_unseat_a_leader_when_it_is_back() -> None:
    c = Cluster(["v1", "v2", "v3"], 5)
    c.run(3.0)
    leader = c.leader.raft
    other = next(n for n in c.kept if n != leader.name)
    for name in c.kept:
        c.cut |= {(other, name), (name, other)}
    c.run(6.0)
    c.cut.clear()
    c.run(2.0)
    assert c.leader.raft is leader
    assert c.services[other].raft.term == leader.term  # it asked, and raised nobody's term


def test_a_leader_that_hears_nobody_is_none_any_more() -> None:
    c = Cluster(["v1", "v2", "v3"], 6)
    c.run(3.0)
    old = c.leader.raft
    for name in c.kept:
        c.cut.add((name, old.name))  # it is heard, and hears nothing
    c.run(6.0)
    assert old.role != LEADER
    assert c.leader.raft.name != old.name


def change(c: Cluster, *voters: str) -> None:
    for _ in range(200):
        leader = c.leader.raft
        if not leader.change_voters(c.now, tuple(voters)):
            c.flush(leader.name)
            c.run(1.0)
            return
        c.run(0.1)
    raise AssertionError("the change was never taken")


def test_voters_change_one_at_a_time_under_load() -> None:
    c = Cluster(["v1"], 7, ["v1", "v2", "v3", "v4", "v5"])
    c.hold("A", "x")
    c.run(2.0)
    steps = [("v1", "v2"), ("v1", "v2", "v3"), ("v1", "v2", "v3", "v4"),
             ("v1", "v2", "v3", "v4", "v5"), ("v2", "v3", "v4", "v5")]  # fmt: skip
    for voters in steps:
        change(c, *voters)
        c.run(3.0)
        assert set(c.leader.raft.voters) == set(voters)
        assert c.holders["A"].usable_token(c.now, "x")
    c.run(3.0)
    assert c.leader.raft.name != "v1"
    assert c.leader.raft.change_voters(c.now, ("v2", "v3")) == "voters change one at a time"


def test_a_change_waits_for_an_entry_of_the_leaders_own_term() -> None:
    raft = Raft(
        "v1", PersistentState(snapshot=Snapshot(0, 0, ("v1", "v2", "v3"))), Timing(), Random(1), 0
    )
    assert raft.change_voters(0, ("v1", "v2")) == "not the leader"
    raft._start_election(0)
    raft._become_leader(0)
    assert raft.change_voters(0, ("v1", "v2")) == "nothing of this term is committed yet"


def test_a_voter_without_its_disk_is_asked_nothing() -> None:
    c = Cluster(["v1", "v2", "v3"], 8)
    c.run(2.0)
    gone = next(n for n in c.kept if n != c.leader.raft.name)
    del c.services[gone]
    c.kept["v9"] = PersistentState()  # the same machine, another disk
    c.start("v9")
    c.run(3.0)
    blank = c.services["v9"].raft
    assert (blank.term, blank.voted_for, blank.role) == (0, "", "follower")
    leader = c.leader.raft
    leader.add_learner(c.now, "v9")
    c.flush(leader.name)
    c.run(1.0)
    assert leader.is_caught_up("v9")
    change(c, "v1", "v2", "v3", "v9")
    change(c, *(n for n in ("v1", "v2", "v3", "v9") if n != gone))
    assert c.services["v9"].raft.last_index == c.leader.raft.last_index


def test_a_voter_far_behind_is_given_the_whole() -> None:
    c = Cluster(["v1", "v2", "v3"], 9)
    c.every = 50
    for name in list(c.services):
        c.start(name)
    c.run(2.0)
    behind = next(n for n in c.kept if n != c.leader.raft.name)
    del c.services[behind]
    holder = c.hold("A")
    for n in range(120):
        holder.wanted_names.add(f"l{n}")
        c.run(0.21)
    assert c.leader.raft.snapshot.index > 50
    c.start(behind)
    c.run(2.0)
    assert c.services[behind].table.leases == c.leader.table.leases
    assert c.kept[behind].snapshot.index > 0


def test_a_leader_that_is_asked_all_the_time_sees_that_no_majority_answers() -> None:
    c = Cluster(["v1", "v2", "v3"], 11)
    c.run(2.0)
    leader = c.leader
    for name in [n for n in c.kept if n != leader.raft.name]:
        del c.services[name]
    for seq in range(1, 60):  # a round for each puts off the next heartbeat
        leader.handle_request(c.now, "A", LeaseRequest("A", seq))
        c.flush(leader.raft.name)
        c.run(0.05)
    assert leader.raft.role != LEADER


def test_a_lease_handed_over_leaves_no_gap_for_another() -> None:
    c = Cluster(["v1", "v2", "v3"], 10)
    c.hold("A", "x")
    c.run(2.0)
    c.hold("C", "x")
    c.hold("B")
    c.holders["A"].give_back("x", "B")
    c.holders["B"].wanted_names.add("x")
    assert not c.holders["A"].usable_token(c.now, "x")  # from this moment on
    c.run(1.0)
    assert c.holders["B"].usable_token(c.now, "x") and not c.holders["C"].usable_token(c.now, "x")


def test_what_a_holder_had_ends_by_word_or_by_time() -> None:
    h = Holder("A", TERMS)
    h.wanted_names.add("x")
    ask = h.next_request(0)
    assert ask.acquire == ("x",)
    assert h.receive_reply(5, LeaseReply(ask.seq, True, (("x", 7),)))
    assert h.usable_token(TERMS.holder_duration_ns - 1, "x") == 7 and not h.usable_token(
        TERMS.holder_duration_ns, "x"
    )
    late = h.next_request(SECOND)
    after_its_end = LeaseReply(late.seq, True, (("x", 7),))
    assert not h.receive_reply(9 * SECOND, after_its_end)
    assert h.take_lost(9 * SECOND) == ["x"] and h.take_lost(9 * SECOND) == []
    older = LeaseReply(ask.seq, True, (("x", 7),))
    assert not h.receive_reply(9 * SECOND, older)


def test_an_act_under_an_older_token_is_refused() -> None:
    kept = []
    fence = Fence()
    fence.check("x", 5, lambda: kept.append(5))
    fence.check("x", 5, lambda: kept.append(5))
    fence.check("x", 9, lambda: kept.append(9))
    with pytest.raises(StaleToken, match="token 5 is older than 9"):
        fence.check("x", 5)
    with pytest.raises(StaleToken):
        fence.check("y", 0)  # nobody's
    assert kept == [5, 9]


def test_a_table_lasts_and_refuses_what_it_cannot_read() -> None:
    t = LeaseTable()
    t.apply(1, pack(AcquireLease("x", "A")))
    t.apply(2, pack(AcquireLease("x", "B")))  # it is taken
    t.apply(3, pack(ReleaseLease("x", 9)))  # another token: nothing
    assert t.leases["x"].holder == "A"
    t.apply(4, pack(ReleaseLease("x", 1, "B")))
    assert (t.leases["x"].holder, t.leases["x"].token) == ("B", 4)
    again = LeaseTable.load(t.save())
    assert (again.leases, again.names_by_holder, again.index) == (t.leases, t.names_by_holder, 4)
    again.apply(5, pack(EndHolder("B")))
    assert not again.leases and not again.names_by_holder
    with pytest.raises(TableError, match="entry 6"):
        again.apply(6, b"\xc1")
    with pytest.raises(TableError, match="snapshot"):
        LeaseTable.load(b"\xc1")
    assert COMMAND == 2
