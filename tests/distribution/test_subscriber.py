"""A subscriber's choice of sources: spread, jitter, times to come back, silence, staleness."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random

from tansywood.distribution.messages import (
    Acknowledge,
    Busy,
    Changes,
    Epoch,
    Found,
    Hello,
    Kind,
    Lookup,
    Message,
    Position,
    Progress,
    Refusal,
    Resource,
    Unsubscribe,
    Welcome,
)
from tansywood.distribution.replica import Replica
from tansywood.distribution.subscriber import Answer, Apply, Dial, HangUp, Link, Send, Subscriber
from tansywood.distribution.terms import MS, SECOND, Terms

TERMS = Terms()
SOURCES = [f"10.0.0.{n}:1" for n in range(15)]
EPOCH = Epoch(5, b"e")
WELCOME = Welcome(Position(EPOCH, 10), compare=True)


class Follower:
    """A subscriber whose connections are made at once."""

    def __init__(self, name: str = "n", addresses: list[str] | None = None) -> None:
        self.now = SECOND
        self.subscriber = Subscriber(
            name, addresses or SOURCES[:3], Replica(10), TERMS, Random(name), self.now
        )
        self.dialled: list[str] = []

    def wait(self, time: int) -> None:
        """Let time pass, up to each timer."""
        until = self.now + time
        while self.subscriber.next_due() <= until:
            self.now = max(self.subscriber.next_due(), self.now)
            self.subscriber.tick(self.now)
            self._note()
        self.now = until

    def _note(self) -> None:
        self.dialled += [a.address for a in self.subscriber.actions if isinstance(a, Dial)]

    def hears(self, *messages: Message) -> None:
        for message in messages:
            self.subscriber.received(self.subscriber.attempt, self.now, message)

    def connect(self, welcome: Welcome = WELCOME) -> None:
        while self.subscriber.link is not Link.DIALING:
            self.wait(MS)
        self.subscriber.connected(self.subscriber.attempt, self.now)
        self.hears(welcome)

    def said(self) -> list[Message]:
        actions, self.subscriber.actions = self.subscriber.actions, []
        return [action.message for action in actions if isinstance(action, Send)]


def test_the_subscribers_of_a_lost_source_spread_over_all_others() -> None:
    names = [f"node-{n}" for n in range(3_600)]
    subscribers = [Subscriber(n, SOURCES, Replica(1), TERMS, Random(n), 0) for n in names]
    lost = [s for s in subscribers if s.addresses[0] == SOURCES[0]][:240]
    assert len(lost) > 200
    shares = Counter(s.addresses[1] for s in lost)
    assert len(shares) == 14 and max(shares.values()) <= 2 * len(lost) / 14


def test_reconnects_of_a_lost_source_are_spread_over_time() -> None:
    waits = []
    for n in range(240):
        follower = Follower(f"node-{n}")
        follower.connect()
        follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
        waits.append(follower.subscriber.next_due() - follower.now)
    tenths = Counter(wait * 10 // TERMS.reconnect_first for wait in waits)
    assert max(waits) <= TERMS.reconnect_first
    assert max(tenths.values()) <= 48 and len(tenths) >= 10


def test_the_bound_of_the_jitter_doubles_up_to_its_most() -> None:
    follower = Follower()
    bounds: Counter[int] = Counter()
    for _ in range(200):
        follower.subscriber._failures = 0
        for failures in range(6):
            follower.wait(0)
            while follower.subscriber.link is not Link.DIALING:
                follower.wait(MS)
            follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
            wait = follower.subscriber.next_due() - follower.now
            bounds[failures] = max(bounds[failures], wait)
    for failures in range(6):
        most = min(TERMS.reconnect_first << failures, TERMS.reconnect_most)
        assert 0.9 * most < bounds[failures] <= most


def test_a_source_that_is_busy_is_left_for_others_and_asked_again_not_before_its_time() -> None:
    follower = Follower(addresses=SOURCES[:2])
    times = {}
    for _ in range(2):
        while follower.subscriber.link is not Link.DIALING:
            follower.wait(MS)
        follower.subscriber.connected(follower.subscriber.attempt, follower.now)
        times[follower.subscriber.address] = follower.now + 3 * SECOND
        follower.hears(Busy(3_000, "too many at once"))
    assert len(times) == 2
    while follower.subscriber.link is not Link.DIALING:
        follower.wait(MS)
    assert follower.now >= min(times.values())


def test_a_source_that_is_silent_is_left() -> None:
    follower = Follower()
    follower.connect()
    follower.wait(TERMS.silence - MS)
    assert follower.subscriber.link is Link.UP
    heartbeats = [m for m in follower.said() if isinstance(m, Acknowledge)]
    assert len(heartbeats) >= 1 + (TERMS.silence - MS) // TERMS.heartbeat
    follower.wait(MS)
    assert follower.subscriber.losses == 1 and "silent" in follower.subscriber.last_loss


def test_a_stale_source_is_left_once_and_then_ever_less_often() -> None:
    follower = Follower()
    left = []
    begin = follower.now
    while follower.now - begin < 100 * SECOND:
        if follower.subscriber.link is not Link.UP:
            follower.connect()
        before = follower.subscriber.left_stale
        follower.hears(Progress(10, age_ms=60_000))
        if follower.subscriber.left_stale > before:
            left.append(follower.now)
        follower.wait(100 * MS)
    gaps = [(b - a) // SECOND for a, b in pairwise(left)]
    assert left[0] == begin or left[0] - begin < SECOND
    assert gaps == [5, 10, 20, 40]


def test_a_fresh_source_is_never_left() -> None:
    follower = Follower()
    follower.connect()
    for _ in range(100):
        follower.hears(Progress(10, age_ms=TERMS.stale // MS - 1))
        follower.wait(TERMS.heartbeat)
    assert follower.subscriber.losses == 0


def test_a_source_of_an_older_history_is_left_and_nothing_is_taken_of_it() -> None:
    follower = Follower()
    follower.connect()
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.subscriber.actions.clear()
    follower.connect(Welcome(Position(Epoch(4, b"d"), 99)))
    assert follower.subscriber.link is Link.DOWN
    assert [a for a in follower.subscriber.actions if isinstance(a, HangUp)]
    assert follower.subscriber.replica.epoch == EPOCH


def holding(follower: Follower, uid: str, revision: int) -> None:
    """Ask for a tenant, get it, and put it into force."""
    follower.subscriber.lookup([f"n:{uid}"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    state = Resource(uid, revision, Kind.CONTENT, b"body")
    follower.hears(Found(serial, [uid], [state], 10))
    for action in list(follower.subscriber.actions):
        if isinstance(action, Apply):
            follower.subscriber.applied(action.batch, follower.now)


def test_what_was_given_up_is_not_taken_again_where_it_is_on_its_way() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    late = follower.subscriber.lookup(["n:other-name-of-t"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.subscriber.give_up(["t"], follower.now)
    assert Unsubscribe(["t"]) in follower.said()
    state = Resource("t", 11, Kind.CONTENT, b"new")
    follower.hears(Changes([state], 11), Found(serial, ["t"], [state], 11))
    assert not follower.subscriber.replica.entries
    assert not [a for a in follower.subscriber.actions if isinstance(a, Answer)]
    follower.wait(TERMS.ask_again)
    again = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(Found(again, ["t"], [state], 11))
    assert Answer(late, ("t",)) in follower.subscriber.actions


def test_an_older_state_is_not_taken_after_giving_up_and_asking_again() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 9)
    follower.subscriber.give_up(["t"], follower.now)
    follower.subscriber.lookup(["n:t"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(Found(serial, ["t"], [Resource("t", 4, Kind.CONTENT, b"old")], 6))
    assert not follower.subscriber.replica.entries


def test_refusals_are_told_to_each_source_that_is_come_to() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    follower.subscriber.actions.clear()
    follower.hears(Changes([Resource("t", 11, Kind.CONTENT, b"bad")], 11))
    (apply,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    refusal = Refusal("t", 11, "no document")
    follower.subscriber.applied(apply.batch, follower.now, [refusal])
    assert Acknowledge(11, [refusal]) in follower.said()
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.connect(Welcome(Position(EPOCH, 11)))
    assert Acknowledge(11, [refusal]) in follower.said()


def test_a_hello_names_the_newest_state_that_is_held() -> None:
    follower = Follower()
    follower.connect()
    follower.hears(Progress(7))
    holding(follower, "t", 9)
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.connect()
    hello = [m for m in follower.said() if isinstance(m, Hello)][-1]
    assert (hello.position, hello.newest) == (Position(EPOCH, 7), 9)
