"""Raft and the lease service under lost messages, crashes, partitions and membership changes; the
holder, the fence and the lease table."""

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
    """Lease services and holders on one simulated clock, with a lossy network. A voter's disk
    outlives the voter's process."""

    def __init__(self, voters: list[str], seed: int, disks: list[str] | None = None) -> None:
        self.rng = Random(seed)
        self.now = 0
        self.heap: list[tuple[int, int, str, str, Any]] = []
        self.message_count = 0
        self.loss_fraction = 0.0
        self.cut_links: set[tuple[str, str]] = set()  # sender and receiver of each
        saved = PersistentState(snapshot=Snapshot(0, 0, tuple(sorted(voters))))
        self.disks = {n: saved if n in voters else PersistentState() for n in disks or voters}
        self.services: dict[str, LeaseService] = {}
        self.holders: dict[str, Holder] = {}
        self.log: dict[int, Any] = {}
        self.acts: list[tuple[int, str, int]] = []  # token, holder, time
        self.snapshot_every = 4096  # entries
        for name in self.disks:
            self.start(name)

    def start(self, name: str) -> None:
        raft = Raft(name, self.disks[name], Timing(), Random(self.rng.random()), self.now)
        self.services[name] = LeaseService(raft, TERMS, self.snapshot_every)

    def send(self, sender: str, receiver: str, message: Any) -> None:
        if (sender, receiver) in self.cut_links or self.rng.random() < self.loss_fraction:
            return
        self.message_count += 1
        due = self.now + int(self.rng.uniform(1, 20) * MS)
        heappush(self.heap, (due, self.message_count, sender, receiver, message))

    def flush(self, name: str) -> None:
        service = self.services[name]
        for _ in range(3):
            out = service.take(self.now)
            if out.saved is not None:
                self.disks[name] = msgspec.msgpack.decode(
                    msgspec.msgpack.encode(out.saved), type=PersistentState
                )
            for to, message in out.sends:
                self.send(name, to, message)
            for index, entry in out.committed:
                assert self.log.setdefault(index, entry) == entry, index
            replies, service.replies = service.replies, []
            for to, reply in replies:
                self.send(name, to, reply)

    def hold(self, name: str, *names: str) -> Holder:
        holder = self.holders.setdefault(name, Holder(name, TERMS))
        holder.wanted_names |= set(names)
        return holder

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += 10 * MS
            while self.heap and self.heap[0][0] <= self.now:
                _, _, sender, receiver, received = heappop(self.heap)
                if isinstance(received, LeaseReply):
                    if receiver in self.holders:
                        self.holders[receiver].receive_reply(self.now, received)
                elif receiver in self.services:
                    if isinstance(received, LeaseRequest):
                        self.services[receiver].handle_request(self.now, sender, received)
                    else:
                        message: Message = received
                        self.services[receiver].raft.receive(self.now, sender, message)
                        self.services[receiver].queue_due_replies(self.now)
                    self.flush(receiver)
            for name in list(self.services):
                self.services[name].tick(self.now)
                self.flush(name)
            if self.now // (10 * MS) % 20 == 0:
                for name, holder in self.holders.items():
                    request = holder.next_request(self.now)
                    for voter in self.services:
                        self.send(name, voter, request)
            self.check()

    def check(self) -> None:
        leaders = [s.raft.term for s in self.services.values() if s.raft.role == LEADER]
        assert len(leaders) == len(set(leaders))
        active_holders: dict[str, list[str]] = {}
        for holder in self.holders.values():
            holder.take_lost(self.now)
            for name in list(holder.leases):
                token = holder.usable_token(self.now, name)
                if token:
                    active_holders.setdefault(name, []).append(holder.name)
                    self.acts.append((token, holder.name, self.now))
        assert all(len(names) == 1 for names in active_holders.values()), active_holders

    @property
    def leader(self) -> LeaseService:
        leading = [s for s in self.services.values() if s.raft.is_ready_leader]
        return max(leading, key=lambda s: s.raft.term)


@pytest.mark.parametrize("seed", range(8))
def test_two_holders_never_act_at_once_under_random_faults(seed: int) -> None:
    cluster = Cluster(["v1", "v2", "v3"], seed)
    for name in "ABC":
        cluster.hold(name, "x", f"own-{name}")
    names = list(cluster.disks)
    for _ in range(25):
        kind = cluster.rng.randrange(6)
        voter = cluster.rng.choice(names)
        if kind == 0 and len(cluster.services) > 1:
            cluster.services.pop(voter, None)
        elif kind == 1:
            cluster.loss_fraction = cluster.rng.choice((0.0, 0.1, 0.3))
        elif kind == 2:
            other = cluster.rng.choice([*names, "A", "B", "C"])
            cluster.cut_links |= {(voter, other)} | (
                {(other, voter)} if cluster.rng.random() < 0.5 else set()
            )
        elif kind == 3:
            cluster.cut_links.clear()
        for name in names:
            if name not in cluster.services and cluster.rng.random() < 0.6:
                cluster.start(name)
        for holder in cluster.holders.values():
            if "x" in holder.leases and cluster.rng.random() < 0.3:
                holder.give_back("x", cluster.rng.choice(["", "A", "B"]))
                holder.wanted_names.add("x")
        cluster.run(cluster.rng.choice((0.2, 0.7, 1.5)))
    cluster.loss_fraction = 0.0
    cluster.cut_links.clear()
    for name in names:
        if name not in cluster.services:
            cluster.start(name)
    cluster.run(8.0)
    # One holder has the lease after all faults have ended.
    assert sum(bool(h.usable_token(cluster.now, "x")) for h in cluster.holders.values()) == 1
    tokens = [token for token, _, _ in cluster.acts if token]
    tokens_by_time = [t for t, _, _ in sorted(cluster.acts, key=lambda a: a[2])]
    assert tokens and max(tokens_by_time) == max(tokens)
    assert all(h.usable_token(cluster.now, f"own-{n}") for n, h in cluster.holders.items())


def test_ending_a_dead_holder_of_many_leases_takes_one_log_entry() -> None:
    """One entry per lease would flood the log when an instance with many leases dies."""
    cluster = Cluster(["v1", "v2", "v3"], 3)
    cluster.hold("A", *(f"l{n}" for n in range(300)))
    cluster.run(3.0)
    assert len(cluster.holders["A"].leases) == 300
    commit_index_before = cluster.leader.raft.commit_index
    del cluster.holders["A"]
    cluster.run(3.0)
    assert not cluster.leader.table.leases
    assert cluster.leader.raft.commit_index == commit_index_before + 1


def test_leases_stop_without_a_majority_and_resume_with_one() -> None:
    cluster = Cluster(["v1", "v2", "v3"], 4)
    cluster.hold("A", "x")
    cluster.run(3.0)
    assert cluster.holders["A"].usable_token(cluster.now, "x")
    stopped = [n for n in cluster.disks if n != cluster.leader.raft.name]
    for name in stopped:
        del cluster.services[name]
    cluster.hold("B", "x")
    cluster.run(4.0)
    assert not any(holder.usable_token(cluster.now, "x") for holder in cluster.holders.values())
    for name in stopped:
        cluster.start(name)
    cluster.run(5.0)
    assert (
        sum(bool(holder.usable_token(cluster.now, "x")) for holder in cluster.holders.values()) == 1
    )


def test_a_voter_that_returns_from_a_partition_does_not_depose_the_leader() -> None:
    """Without the pre-vote, the cut-off voter would come back with a higher term."""
    cluster = Cluster(["v1", "v2", "v3"], 5)
    cluster.run(3.0)
    leader = cluster.leader.raft
    other = next(n for n in cluster.disks if n != leader.name)
    for name in cluster.disks:
        cluster.cut_links |= {(other, name), (name, other)}
    cluster.run(6.0)
    cluster.cut_links.clear()
    cluster.run(2.0)
    assert cluster.leader.raft is leader
    assert cluster.services[other].raft.term == leader.term  # its pre-votes raised no term


def test_a_leader_that_receives_nothing_steps_down() -> None:
    """The leader's heartbeats arrive, so without the quorum check no follower would stand for
    election."""
    cluster = Cluster(["v1", "v2", "v3"], 6)
    cluster.run(3.0)
    old_leader = cluster.leader.raft
    for name in cluster.disks:
        cluster.cut_links.add((name, old_leader.name))  # its messages arrive, it receives none
    cluster.run(6.0)
    assert old_leader.role != LEADER
    assert cluster.leader.raft.name != old_leader.name


def change_voters(cluster: Cluster, *voters: str) -> None:
    for _ in range(200):
        leader = cluster.leader.raft
        if not leader.change_voters(cluster.now, tuple(voters)):
            cluster.flush(leader.name)
            cluster.run(1.0)
            return
        cluster.run(0.1)
    raise AssertionError("the membership change was refused for 20 s")


def test_leases_are_kept_while_voters_change_one_at_a_time() -> None:
    cluster = Cluster(["v1"], 7, ["v1", "v2", "v3", "v4", "v5"])
    cluster.hold("A", "x")
    cluster.run(2.0)
    steps = [("v1", "v2"), ("v1", "v2", "v3"), ("v1", "v2", "v3", "v4"),
             ("v1", "v2", "v3", "v4", "v5"), ("v2", "v3", "v4", "v5")]  # fmt: skip
    for voters in steps:
        change_voters(cluster, *voters)
        cluster.run(3.0)
        assert set(cluster.leader.raft.voters) == set(voters)
        assert cluster.holders["A"].usable_token(cluster.now, "x")
    cluster.run(3.0)
    assert cluster.leader.raft.name != "v1"
    assert (
        cluster.leader.raft.change_voters(cluster.now, ("v2", "v3"))
        == "voters change one at a time"
    )


def test_a_membership_change_before_an_entry_of_the_leaders_own_term_is_refused() -> None:
    """Two leaders that each change one voter could otherwise have majorities without a common
    voter."""
    raft = Raft(
        "v1", PersistentState(snapshot=Snapshot(0, 0, ("v1", "v2", "v3"))), Timing(), Random(1), 0
    )
    assert raft.change_voters(0, ("v1", "v2")) == "not the leader"
    raft._start_election(0)
    raft._become_leader(0)
    assert raft.change_voters(0, ("v1", "v2")) == "nothing of this term is committed yet"


def test_a_replaced_disk_is_a_new_voter_that_first_catches_up_as_a_learner() -> None:
    cluster = Cluster(["v1", "v2", "v3"], 8)
    cluster.run(2.0)
    stopped = next(n for n in cluster.disks if n != cluster.leader.raft.name)
    del cluster.services[stopped]
    cluster.disks["v9"] = PersistentState()  # the same machine, another disk
    cluster.start("v9")
    cluster.run(3.0)
    blank = cluster.services["v9"].raft
    assert (blank.term, blank.voted_for, blank.role) == (0, "", "follower")
    leader = cluster.leader.raft
    leader.add_learner(cluster.now, "v9")
    cluster.flush(leader.name)
    cluster.run(1.0)
    assert leader.is_caught_up("v9")
    change_voters(cluster, "v1", "v2", "v3", "v9")
    change_voters(cluster, *(n for n in ("v1", "v2", "v3", "v9") if n != stopped))
    assert cluster.services["v9"].raft.last_index == cluster.leader.raft.last_index


def test_a_voter_far_behind_gets_a_snapshot() -> None:
    cluster = Cluster(["v1", "v2", "v3"], 9)
    cluster.snapshot_every = 50
    for name in list(cluster.services):
        cluster.start(name)
    cluster.run(2.0)
    lagging = next(n for n in cluster.disks if n != cluster.leader.raft.name)
    del cluster.services[lagging]
    holder = cluster.hold("A")
    for n in range(120):
        holder.wanted_names.add(f"l{n}")
        cluster.run(0.21)
    assert cluster.leader.raft.snapshot.index > 50
    cluster.start(lagging)
    cluster.run(2.0)
    assert cluster.services[lagging].table.leases == cluster.leader.table.leases
    assert cluster.disks[lagging].snapshot.index > 0


def test_a_busy_leader_without_a_majority_steps_down() -> None:
    """A quorum check that runs only when a heartbeat is due would never run on a busy leader."""
    cluster = Cluster(["v1", "v2", "v3"], 11)
    cluster.run(2.0)
    leader = cluster.leader
    for name in [n for n in cluster.disks if n != leader.raft.name]:
        del cluster.services[name]
    for seq in range(1, 60):  # each request starts a round, which postpones the next heartbeat
        leader.handle_request(cluster.now, "A", LeaseRequest("A", seq))
        cluster.flush(leader.raft.name)
        cluster.run(0.05)
    assert leader.raft.role != LEADER


def test_a_lease_handed_over_goes_to_no_third_holder() -> None:
    """The release and the next grant are one log entry: a waiting holder can't come between."""
    cluster = Cluster(["v1", "v2", "v3"], 10)
    cluster.hold("A", "x")
    cluster.run(2.0)
    cluster.hold("C", "x")
    cluster.hold("B")
    cluster.holders["A"].give_back("x", "B")
    cluster.holders["B"].wanted_names.add("x")
    assert not cluster.holders["A"].usable_token(cluster.now, "x")  # from the hand-over on
    cluster.run(1.0)
    assert cluster.holders["B"].usable_token(cluster.now, "x") and not cluster.holders[
        "C"
    ].usable_token(cluster.now, "x")


def test_a_holder_stops_by_time_and_ignores_late_replies() -> None:
    holder = Holder("A", TERMS)
    holder.wanted_names.add("x")
    request = holder.next_request(0)
    assert request.acquire == ("x",)
    assert holder.receive_reply(5, LeaseReply(request.seq, True, (("x", 7),)))
    assert holder.usable_token(TERMS.holder_duration_ns - 1, "x") == 7 and not holder.usable_token(
        TERMS.holder_duration_ns, "x"
    )
    late_request = holder.next_request(SECOND)
    reply_after_expiry = LeaseReply(late_request.seq, True, (("x", 7),))
    assert not holder.receive_reply(9 * SECOND, reply_after_expiry)
    assert holder.take_lost(9 * SECOND) == ["x"] and holder.take_lost(9 * SECOND) == []
    repeated_reply = LeaseReply(request.seq, True, (("x", 7),))
    assert not holder.receive_reply(9 * SECOND, repeated_reply)


def test_the_fence_refuses_an_act_under_an_older_token() -> None:
    accepted = []
    fence = Fence()
    fence.check("x", 5, lambda: accepted.append(5))
    fence.check("x", 5, lambda: accepted.append(5))
    fence.check("x", 9, lambda: accepted.append(9))
    with pytest.raises(StaleToken, match="token 5 is older than 9"):
        fence.check("x", 5)
    with pytest.raises(StaleToken):
        fence.check("y", 0)  # token 0: held by nobody
    assert accepted == [5, 9]


def test_a_lease_table_survives_a_snapshot_and_refuses_unknown_data() -> None:
    table = LeaseTable()
    table.apply(1, pack(AcquireLease("x", "A")))
    table.apply(2, pack(AcquireLease("x", "B")))  # no effect: A holds it
    table.apply(3, pack(ReleaseLease("x", 9)))  # no effect: not its token
    assert table.leases["x"].holder == "A"
    table.apply(4, pack(ReleaseLease("x", 1, "B")))
    assert (table.leases["x"].holder, table.leases["x"].token) == ("B", 4)
    restored = LeaseTable.load(table.save())
    assert (restored.leases, restored.names_by_holder, restored.index) == (
        table.leases,
        table.names_by_holder,
        4,
    )
    restored.apply(5, pack(EndHolder("B")))
    assert not restored.leases and not restored.names_by_holder
    with pytest.raises(TableError, match="entry 6"):
        restored.apply(6, b"\xc1")
    with pytest.raises(TableError, match="snapshot"):
        LeaseTable.load(b"\xc1")
    assert COMMAND == 2
