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
    Hello,
    Kind,
    Lookup,
    LookupResult,
    Message,
    Position,
    Progress,
    Refusal,
    Resource,
    Unsubscribe,
    Welcome,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import STALE_REASON
from tansywood.distribution.subscriber import (
    Answer,
    Apply,
    Dial,
    Disconnect,
    Link,
    Send,
    Subscriber,
)

PARAMETERS = Parameters()
SOURCES = [f"10.0.0.{n}:1" for n in range(15)]
EPOCH = Epoch(5, b"e")
WELCOME = Welcome(Position(EPOCH, 10), compare=True)


class Follower:
    """A subscriber whose connections are made at once."""

    def __init__(self, name: str = "n", addresses: list[str] | None = None) -> None:
        self.now = SECOND
        self.subscriber = Subscriber(
            name, addresses or SOURCES[:3], Replica(10), PARAMETERS, Random(name), self.now
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

    def connect(self, answer: Message = WELCOME) -> None:
        while self.subscriber.link is not Link.DIALING:
            self.wait(MS)
        self.subscriber.connected(self.subscriber.attempt, self.now)
        self.hears(answer)

    def said(self) -> list[Message]:
        actions, self.subscriber.actions = self.subscriber.actions, []
        return [action.message for action in actions if isinstance(action, Send)]


def test_the_subscribers_of_a_lost_source_spread_over_all_others() -> None:
    names = [f"node-{n}" for n in range(3_600)]
    subscribers = [Subscriber(n, SOURCES, Replica(1), PARAMETERS, Random(n), 0) for n in names]
    lost = [s for s in subscribers if s.dialing.addresses[0] == SOURCES[0]][:240]
    assert len(lost) > 200
    shares = Counter(s.dialing.addresses[1] for s in lost)
    assert len(shares) == 14 and max(shares.values()) <= 2 * len(lost) / 14


def test_reconnects_of_a_lost_source_are_spread_over_time() -> None:
    waits = []
    for n in range(240):
        follower = Follower(f"node-{n}")
        follower.connect()
        follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
        waits.append(follower.subscriber.next_due() - follower.now)
    tenths = Counter(wait * 10 // PARAMETERS.reconnect_backoff_base_ns for wait in waits)
    assert max(waits) <= PARAMETERS.reconnect_backoff_base_ns
    assert max(tenths.values()) <= 48 and len(tenths) >= 10


def test_the_bound_of_the_jitter_doubles_up_to_its_most() -> None:
    follower = Follower()
    bounds: Counter[int] = Counter()
    for _ in range(200):
        follower.subscriber.dialing._failures = 0
        for failures in range(6):
            follower.wait(0)
            while follower.subscriber.link is not Link.DIALING:
                follower.wait(MS)
            follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
            wait = follower.subscriber.next_due() - follower.now
            bounds[failures] = max(bounds[failures], wait)
    for failures in range(6):
        most = min(
            PARAMETERS.reconnect_backoff_base_ns << failures, PARAMETERS.max_reconnect_backoff_ns
        )
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
    follower.wait(PARAMETERS.silence_timeout_ns - MS)
    assert follower.subscriber.link is Link.UP
    heartbeats = [m for m in follower.said() if isinstance(m, Acknowledge)]
    assert (
        len(heartbeats)
        >= 1 + (PARAMETERS.silence_timeout_ns - MS) // PARAMETERS.heartbeat_interval_ns
    )
    follower.wait(MS)
    assert follower.subscriber.losses == 1 and "silent" in follower.subscriber.last_loss


def test_stale_sources_are_left_one_right_after_the_other_and_then_ever_less_often() -> None:
    follower = Follower()
    left = []
    only_fresh = []
    begin = follower.now
    while follower.now - begin < 100 * SECOND:
        if follower.subscriber.link is not Link.UP:
            follower.connect()
            hellos = [message for message in follower.said() if isinstance(message, Hello)]
            only_fresh += [hello.only_fresh for hello in hellos]
        before = follower.subscriber.left_stale
        follower.hears(Progress(10, age_ms=60_000))
        if follower.subscriber.left_stale > before:
            left.append(follower.now)
        else:
            follower.wait(100 * MS)
    # All three sources are tried, then the last one stays for a while; and again.
    assert len(left) % 2 == 0
    rounds = list(zip(left[::2], left[1::2], strict=True))
    assert rounds[0][0] - begin < SECOND
    assert all(second - first < PARAMETERS.max_reconnect_backoff_ns for first, second in rounds)
    gaps = [round((b - a) / SECOND) for a, b in pairwise(first for first, _ in rounds)]
    assert gaps == [5, 10, 20, 40]
    assert only_fresh == [False, *[True, True] * len(rounds)]


def test_where_all_sources_are_stale_one_is_followed_all_the_same() -> None:
    follower = Follower(addresses=SOURCES)
    follower.connect()
    follower.hears(Progress(10, age_ms=60_000))
    follower.said()
    asked: list[bool] = []
    while asked[-1:] != [False]:
        follower.connect(Busy(0, STALE_REASON))
        asked += [m.only_fresh for m in follower.said() if isinstance(m, Hello)]
    assert asked == [True] * PARAMETERS.max_stale_switches + [False]


def test_a_fresh_source_is_never_left() -> None:
    follower = Follower()
    follower.connect()
    for _ in range(100):
        follower.hears(Progress(10, age_ms=PARAMETERS.stale_after_ns // MS - 1))
        follower.wait(PARAMETERS.heartbeat_interval_ns)
    assert follower.subscriber.losses == 0


def test_a_source_of_an_older_history_is_left_and_nothing_is_taken_of_it() -> None:
    follower = Follower()
    follower.connect()
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.subscriber.actions.clear()
    follower.connect(Welcome(Position(Epoch(4, b"d"), 99)))
    assert follower.subscriber.link is Link.DOWN
    assert [a for a in follower.subscriber.actions if isinstance(a, Disconnect)]
    assert follower.subscriber.replica.epoch == EPOCH


# ---- dials beside one another ----------------------------------------------------------------


def dials_of(follower: Follower) -> list[Dial]:
    return [action for action in follower.subscriber.actions if isinstance(action, Dial)]


def link_of(follower: Follower) -> Link:
    return follower.subscriber.link


def test_where_a_source_does_not_answer_the_next_is_dialled_and_the_first_to_answer_followed() -> (
    None
):
    follower = Follower(addresses=SOURCES)
    follower.wait(PARAMETERS.attempt_delay_ns - MS)
    assert len(dials_of(follower)) == 1
    follower.wait(MS)
    first, second = dials_of(follower)
    assert first.address != second.address
    follower.subscriber.connected(second.attempt, follower.now)
    assert [a.attempt for a in follower.subscriber.actions if isinstance(a, Disconnect)] == [
        first.attempt
    ]
    assert follower.subscriber.address == second.address
    follower.subscriber.connected(first.attempt, follower.now)  # too late
    follower.subscriber.disconnected(first.attempt, follower.now)
    follower.subscriber.received(first.attempt, follower.now, WELCOME)
    assert link_of(follower) is Link.GREETING
    follower.subscriber.received(second.attempt, follower.now, WELCOME)
    assert link_of(follower) is Link.UP
    assert len([m for m in follower.said() if isinstance(m, Hello)]) == 1


def test_a_dial_that_fails_beside_another_leaves_that_one_alone() -> None:
    follower = Follower(addresses=SOURCES)
    follower.wait(PARAMETERS.attempt_delay_ns)
    first, second = dials_of(follower)
    follower.subscriber.disconnected(first.attempt, follower.now, "refused")
    assert link_of(follower) is Link.DIALING
    follower.subscriber.connected(second.attempt, follower.now)
    assert link_of(follower) is Link.GREETING


def test_dials_beside_one_another_are_few_and_after_one_round_there_are_none() -> None:
    follower = Follower(addresses=SOURCES)
    open_until: list[int] = []
    most = Counter[bool]()
    end = follower.now + 20 * SECOND
    while follower.now < end:
        follower.wait(MS)
        for dial in dials_of(follower):
            open_until.append(follower.now + PARAMETERS.dial_timeout_ns)
            open_until = [until for until in open_until if until > follower.now]
            all_tried = len(set(follower.dialled)) == len(SOURCES)
            most[all_tried] = max(most[all_tried], len(open_until))
            assert dial.address in SOURCES
        follower.subscriber.actions.clear()
    assert most[False] == -(-PARAMETERS.dial_timeout_ns // PARAMETERS.attempt_delay_ns)
    assert most[True] <= most[False]
    late = [a for a in follower.dialled[2 * len(SOURCES) :]]
    assert len(late) <= 20 * SECOND // PARAMETERS.dial_timeout_ns


def test_one_source_alone_is_dialled_once_at_a_time() -> None:
    follower = Follower(addresses=SOURCES[:1])
    follower.wait(PARAMETERS.dial_timeout_ns - MS)
    assert len(dials_of(follower)) == 1


def test_a_source_that_answers_and_does_not_welcome_is_left() -> None:
    follower = Follower(addresses=SOURCES)
    follower.wait(0)
    follower.subscriber.connected(follower.subscriber.attempt, follower.now)
    follower.wait(PARAMETERS.dial_timeout_ns)
    assert follower.subscriber.losses == 1 and "no welcome" in follower.subscriber.last_loss


def holding(follower: Follower, uid: str, revision: int) -> None:
    """Ask for a tenant, get it, and put it into force."""
    follower.subscriber.lookup([f"n:{uid}"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    state = Resource(uid, revision, Kind.CONTENT, b"body")
    follower.hears(LookupResult(serial, [uid], [state], 10))
    for action in list(follower.subscriber.actions):
        if isinstance(action, Apply):
            follower.subscriber.applied(action.batch, follower.now)


def test_what_was_given_up_is_not_taken_again_where_it_is_on_its_way() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    late = follower.subscriber.lookup(["n:other-name-of-t"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.subscriber.unsubscribe(["t"], follower.now)
    assert Unsubscribe(["t"]) in follower.said()
    state = Resource("t", 11, Kind.CONTENT, b"new")
    follower.hears(Changes([state], 11), LookupResult(serial, ["t"], [state], 11))
    assert not follower.subscriber.replica.entries
    assert not [a for a in follower.subscriber.actions if isinstance(a, Answer)]
    follower.wait(PARAMETERS.lookup_retry_delay_ns)
    again = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(LookupResult(again, ["t"], [state], 11))
    assert Answer(late, ("t",)) in follower.subscriber.actions


def test_an_older_state_is_not_taken_after_giving_up_and_asking_again() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 9)
    follower.subscriber.unsubscribe(["t"], follower.now)
    follower.subscriber.lookup(["n:t"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(LookupResult(serial, ["t"], [Resource("t", 4, Kind.CONTENT, b"old")], 6))
    assert not follower.subscriber.replica.entries


def test_what_is_subscribed_to_and_not_held_is_given_up_before_a_comparison() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 9)
    follower.subscriber.unsubscribe(["t"], follower.now)
    follower.subscriber.lookup(["n:t"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(LookupResult(serial, ["t"], [Resource("t", 4, Kind.CONTENT, b"old")], 6))
    assert follower.subscriber.subscriptions == {"t"}
    another = Position(Epoch(6, b"f"), 6)
    follower.hears(Welcome(another, compare=True, parent=Position(EPOCH, 6)))
    assert [m for m in follower.said() if isinstance(m, Unsubscribe)] == [Unsubscribe(["t"])]
    assert not follower.subscriber.subscriptions
    follower.wait(PARAMETERS.lookup_retry_delay_ns)
    assert [m for m in follower.said() if isinstance(m, Lookup)]


def test_refusals_are_told_to_each_source_that_is_come_to() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    follower.subscriber.actions.clear()
    follower.hears(Changes([Resource("t", 11, Kind.CONTENT, b"bad")], 11))
    (apply,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    refusal = Refusal("t", 11, "no document")
    follower.subscriber.applied(apply.batch, follower.now, [refusal])
    assert Acknowledge(11, [refusal], 1) in follower.said()
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.connect(Welcome(Position(EPOCH, 11)))
    assert Acknowledge(11, [refusal], 1) in follower.said()


def finding(follower: Follower, uid: str) -> int:
    """Ask for a tenant and get it; returns the batch in which it is put into force."""
    follower.subscriber.lookup([f"n:{uid}"], follower.now)
    serial = [m for m in follower.said() if isinstance(m, Lookup)][-1].question
    follower.hears(LookupResult(serial, [uid], [Resource(uid, 5, Kind.CONTENT, b"body")], 10))
    (apply,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    return apply.batch


def acknowledged(follower: Follower) -> list[tuple[int, int | None]]:
    return [(m.revision, m.answered) for m in follower.said() if isinstance(m, Acknowledge)]


def test_what_a_lookup_found_is_said_to_be_in_force_once_it_is() -> None:
    follower = Follower()
    follower.connect()
    follower.hears(Progress(10))
    batch = finding(follower, "t")
    follower.wait(PARAMETERS.heartbeat_interval_ns)
    assert acknowledged(follower) == [(10, 0)]
    follower.subscriber.applied(batch, follower.now)
    assert acknowledged(follower) == [(10, 1)]


def test_an_answer_of_several_messages_is_in_force_once_the_last_of_them_is() -> None:
    follower = Follower()
    follower.connect()
    follower.hears(Progress(10))
    follower.subscriber.lookup(["n:t", "n:u"], follower.now)
    follower.said()
    follower.hears(LookupResult(1, ["t", "u"], [Resource("t", 5, Kind.CONTENT, b"body")], 10))
    (first,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    follower.subscriber.applied(first.batch, follower.now)
    assert not acknowledged(follower)
    follower.hears(Changes([Resource("u", 6, Kind.CONTENT, b"body")], 0))
    (second,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    follower.subscriber.applied(second.batch, follower.now)
    assert acknowledged(follower) == [(10, 1)]


def test_another_source_is_not_told_either_that_what_was_found_is_in_force() -> None:
    follower = Follower()
    follower.connect()
    follower.hears(Progress(10))
    batch = finding(follower, "t")
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.said()
    follower.connect(Welcome(Position(EPOCH, 10)))
    assert acknowledged(follower) == [(4, 0)]
    follower.subscriber.applied(batch, follower.now)
    assert acknowledged(follower) == [(10, 1)]


def changing(follower: Follower, revision: int, body: bytes) -> int:
    """A change of `t` comes; returns the batch in which it is put into force."""
    follower.subscriber.actions.clear()
    follower.hears(Changes([Resource("t", revision, Kind.CONTENT, body)], revision))
    (apply,) = (a for a in follower.subscriber.actions if isinstance(a, Apply))
    return apply.batch


def refusals_said(follower: Follower) -> list[Refusal]:
    return [r for m in follower.said() if isinstance(m, Acknowledge) for r in m.refusals]


def test_what_is_refused_is_not_confused_with_a_later_state_that_is_being_put_into_force() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    bad = Refusal("t", 11, "no document")
    follower.subscriber.applied(changing(follower, 11, b"bad"), follower.now, [bad])
    assert refusals_said(follower) == [bad]
    batch = changing(follower, 12, b"good")
    follower.hears(Changes([Resource("t", 13, Kind.UNCHANGED)], 13))  # after a comparison
    follower.subscriber.applied(batch, follower.now)
    assert not refusals_said(follower)


def test_a_refusal_is_told_at_the_revision_that_was_found_unchanged_meanwhile() -> None:
    follower = Follower()
    follower.connect()
    holding(follower, "t", 5)
    batch = changing(follower, 11, b"bad")
    follower.hears(Changes([Resource("t", 13, Kind.UNCHANGED)], 13))
    follower.subscriber.applied(batch, follower.now, [Refusal("t", 11, "no document")])
    assert refusals_said(follower) == [Refusal("t", 13, "no document")]


def test_a_hello_names_the_newest_state_that_is_held() -> None:
    follower = Follower()
    follower.connect()
    follower.hears(Progress(7))
    holding(follower, "t", 9)
    follower.subscriber.disconnected(follower.subscriber.attempt, follower.now)
    follower.connect()
    hello = [m for m in follower.said() if isinstance(m, Hello)][-1]
    assert (hello.position, hello.newest) == (Position(EPOCH, 7), 9)
