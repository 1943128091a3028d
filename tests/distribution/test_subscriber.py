"""How a subscriber chooses sources: spread, jitter, retry times, silence and staleness."""

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


class SubscriberHarness:
    """A subscriber in simulated time, whose messages the test sends and receives."""

    def __init__(self, name: str = "n", addresses: list[str] | None = None) -> None:
        self.now = SECOND
        self.subscriber = Subscriber(
            name, addresses or SOURCES[:3], Replica(10), PARAMETERS, Random(name), self.now
        )
        self.dialled: list[str] = []

    def wait(self, time: int) -> None:
        """Advance the time, and call `tick` whenever it is due."""
        until = self.now + time
        while self.subscriber.next_due() <= until:
            self.now = max(self.subscriber.next_due(), self.now)
            self.subscriber.tick(self.now)
            self._record_dials()
        self.now = until

    def _record_dials(self) -> None:
        self.dialled += [a.address for a in self.subscriber.actions if isinstance(a, Dial)]

    def receive(self, *messages: Message) -> None:
        for message in messages:
            self.subscriber.received(self.subscriber.attempt, self.now, message)

    def connect(self, answer: Message = WELCOME) -> None:
        while self.subscriber.link is not Link.DIALING:
            self.wait(MS)
        self.subscriber.connected(self.subscriber.attempt, self.now)
        self.receive(answer)

    def take_sent(self) -> list[Message]:
        actions, self.subscriber.actions = self.subscriber.actions, []
        return [action.message for action in actions if isinstance(action, Send)]


def test_subscribers_of_a_lost_source_spread_over_all_others() -> None:
    names = [f"node-{n}" for n in range(3_600)]
    subscribers = [Subscriber(n, SOURCES, Replica(1), PARAMETERS, Random(n), 0) for n in names]
    lost = [s for s in subscribers if s.dialing.addresses[0] == SOURCES[0]][:240]
    assert len(lost) > 200
    shares = Counter(s.dialing.addresses[1] for s in lost)
    assert len(shares) == 14 and max(shares.values()) <= 2 * len(lost) / 14


def test_reconnects_of_a_lost_source_are_spread_over_time() -> None:
    waits = []
    for n in range(240):
        harness = SubscriberHarness(f"node-{n}")
        harness.connect()
        harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
        waits.append(harness.subscriber.next_due() - harness.now)
    tenths = Counter(wait * 10 // PARAMETERS.reconnect_backoff_base_ns for wait in waits)
    assert max(waits) <= PARAMETERS.reconnect_backoff_base_ns
    assert max(tenths.values()) <= 48 and len(tenths) >= 10


def test_the_backoff_bound_doubles_up_to_its_maximum() -> None:
    harness = SubscriberHarness()
    bounds: Counter[int] = Counter()
    for _ in range(200):
        harness.subscriber.dialing._failures = 0
        for failures in range(6):
            harness.wait(0)
            while harness.subscriber.link is not Link.DIALING:
                harness.wait(MS)
            harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
            wait = harness.subscriber.next_due() - harness.now
            bounds[failures] = max(bounds[failures], wait)
    for failures in range(6):
        max_delay = min(
            PARAMETERS.reconnect_backoff_base_ns << failures, PARAMETERS.max_reconnect_backoff_ns
        )
        assert 0.9 * max_delay < bounds[failures] <= max_delay


def test_a_busy_source_is_not_dialled_again_before_its_retry_time() -> None:
    harness = SubscriberHarness(addresses=SOURCES[:2])
    times = {}
    for _ in range(2):
        while harness.subscriber.link is not Link.DIALING:
            harness.wait(MS)
        harness.subscriber.connected(harness.subscriber.attempt, harness.now)
        times[harness.subscriber.address] = harness.now + 3 * SECOND
        harness.receive(Busy(3_000, "too many at once"))
    assert len(times) == 2
    while harness.subscriber.link is not Link.DIALING:
        harness.wait(MS)
    assert harness.now >= min(times.values())


def test_a_silent_source_is_left() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.wait(PARAMETERS.silence_timeout_ns - MS)
    assert harness.subscriber.link is Link.UP
    heartbeats = [m for m in harness.take_sent() if isinstance(m, Acknowledge)]
    assert (
        len(heartbeats)
        >= 1 + (PARAMETERS.silence_timeout_ns - MS) // PARAMETERS.heartbeat_interval_ns
    )
    harness.wait(MS)
    assert harness.subscriber.losses == 1 and "silent" in harness.subscriber.last_loss


def test_searches_for_a_fresh_source_are_quick_and_their_interval_doubles() -> None:
    harness = SubscriberHarness()
    left_at = []
    only_fresh = []
    begin = harness.now
    while harness.now - begin < 100 * SECOND:
        if harness.subscriber.link is not Link.UP:
            harness.connect()
            hellos = [message for message in harness.take_sent() if isinstance(message, Hello)]
            only_fresh += [hello.only_fresh for hello in hellos]
        before = harness.subscriber.left_stale
        harness.receive(Progress(10, age_ms=60_000))
        if harness.subscriber.left_stale > before:
            left_at.append(harness.now)
        else:
            harness.wait(100 * MS)
    # Each search tries all three sources, then stays with the last one until the next search.
    assert len(left_at) % 2 == 0
    searches = list(zip(left_at[::2], left_at[1::2], strict=True))
    assert searches[0][0] - begin < SECOND
    assert all(second - first < PARAMETERS.max_reconnect_backoff_ns for first, second in searches)
    gaps = [round((b - a) / SECOND) for a, b in pairwise(first for first, _ in searches)]
    assert gaps == [5, 10, 20, 40]
    assert only_fresh == [False, *[True, True] * len(searches)]


def test_a_stale_source_is_followed_where_all_are_stale() -> None:
    harness = SubscriberHarness(addresses=SOURCES)
    harness.connect()
    harness.receive(Progress(10, age_ms=60_000))
    harness.take_sent()
    only_fresh_flags: list[bool] = []
    while only_fresh_flags[-1:] != [False]:
        harness.connect(Busy(0, STALE_REASON))
        only_fresh_flags += [m.only_fresh for m in harness.take_sent() if isinstance(m, Hello)]
    assert only_fresh_flags == [True] * PARAMETERS.max_stale_switches + [False]


def test_a_fresh_source_is_never_left() -> None:
    harness = SubscriberHarness()
    harness.connect()
    for _ in range(100):
        harness.receive(Progress(10, age_ms=PARAMETERS.stale_after_ns // MS - 1))
        harness.wait(PARAMETERS.heartbeat_interval_ns)
    assert harness.subscriber.losses == 0


def test_a_source_of_an_older_history_is_left_and_its_state_ignored() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
    harness.subscriber.actions.clear()
    harness.connect(Welcome(Position(Epoch(4, b"d"), 99)))
    assert harness.subscriber.link is Link.DOWN
    assert [a for a in harness.subscriber.actions if isinstance(a, Disconnect)]
    assert harness.subscriber.replica.epoch == EPOCH


# ---- parallel dials --------------------------------------------------------------------------


def dials_of(harness: SubscriberHarness) -> list[Dial]:
    return [action for action in harness.subscriber.actions if isinstance(action, Dial)]


def link_of(harness: SubscriberHarness) -> Link:
    return harness.subscriber.link


def test_a_second_source_is_dialled_in_parallel_and_the_first_to_answer_is_followed() -> None:
    harness = SubscriberHarness(addresses=SOURCES)
    harness.wait(PARAMETERS.attempt_delay_ns - MS)
    assert len(dials_of(harness)) == 1
    harness.wait(MS)
    first, second = dials_of(harness)
    assert first.address != second.address
    harness.subscriber.connected(second.attempt, harness.now)
    assert [a.attempt for a in harness.subscriber.actions if isinstance(a, Disconnect)] == [
        first.attempt
    ]
    assert harness.subscriber.address == second.address
    harness.subscriber.connected(first.attempt, harness.now)  # too late
    harness.subscriber.disconnected(first.attempt, harness.now)
    harness.subscriber.received(first.attempt, harness.now, WELCOME)
    assert link_of(harness) is Link.GREETING
    harness.subscriber.received(second.attempt, harness.now, WELCOME)
    assert link_of(harness) is Link.UP
    assert len([m for m in harness.take_sent() if isinstance(m, Hello)]) == 1


def test_a_failed_dial_does_not_affect_a_parallel_one() -> None:
    harness = SubscriberHarness(addresses=SOURCES)
    harness.wait(PARAMETERS.attempt_delay_ns)
    first, second = dials_of(harness)
    harness.subscriber.disconnected(first.attempt, harness.now, "refused")
    assert link_of(harness) is Link.DIALING
    harness.subscriber.connected(second.attempt, harness.now)
    assert link_of(harness) is Link.GREETING


def test_parallel_dials_are_few_and_end_once_every_source_was_tried() -> None:
    harness = SubscriberHarness(addresses=SOURCES)
    open_until: list[int] = []
    max_open_dials = Counter[bool]()
    end = harness.now + 20 * SECOND
    while harness.now < end:
        harness.wait(MS)
        for dial in dials_of(harness):
            open_until.append(harness.now + PARAMETERS.dial_timeout_ns)
            open_until = [until for until in open_until if until > harness.now]
            all_tried = len(set(harness.dialled)) == len(SOURCES)
            max_open_dials[all_tried] = max(max_open_dials[all_tried], len(open_until))
            assert dial.address in SOURCES
        harness.subscriber.actions.clear()
    assert max_open_dials[False] == -(-PARAMETERS.dial_timeout_ns // PARAMETERS.attempt_delay_ns)
    assert max_open_dials[True] <= max_open_dials[False]
    late = [a for a in harness.dialled[2 * len(SOURCES) :]]
    assert len(late) <= 20 * SECOND // PARAMETERS.dial_timeout_ns


def test_a_single_source_is_dialled_once_at_a_time() -> None:
    harness = SubscriberHarness(addresses=SOURCES[:1])
    harness.wait(PARAMETERS.dial_timeout_ns - MS)
    assert len(dials_of(harness)) == 1


def test_a_source_that_accepts_but_sends_no_welcome_is_left() -> None:
    harness = SubscriberHarness(addresses=SOURCES)
    harness.wait(0)
    harness.subscriber.connected(harness.subscriber.attempt, harness.now)
    harness.wait(PARAMETERS.dial_timeout_ns)
    assert harness.subscriber.losses == 1 and "no welcome" in harness.subscriber.last_loss


def hold_tenant(harness: SubscriberHarness, uid: str, revision: int) -> None:
    """Look up a tenant, receive it, and put it into force."""
    harness.subscriber.lookup([f"n:{uid}"], harness.now)
    serial = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    state = Resource(uid, revision, Kind.CONTENT, b"body")
    harness.receive(LookupResult(serial, [uid], [state], 10))
    for action in list(harness.subscriber.actions):
        if isinstance(action, Apply):
            harness.subscriber.applied(action.batch, harness.now)


def test_late_messages_do_not_restore_an_unsubscribed_tenant() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 5)
    late = harness.subscriber.lookup(["n:other-name-of-t"], harness.now)
    serial = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    harness.subscriber.unsubscribe(["t"], harness.now)
    assert Unsubscribe(["t"]) in harness.take_sent()
    state = Resource("t", 11, Kind.CONTENT, b"new")
    harness.receive(Changes([state], 11), LookupResult(serial, ["t"], [state], 11))
    assert not harness.subscriber.replica.entries
    assert not [a for a in harness.subscriber.actions if isinstance(a, Answer)]
    harness.wait(PARAMETERS.lookup_retry_delay_ns)
    again = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    harness.receive(LookupResult(again, ["t"], [state], 11))
    assert Answer(late, ("t",)) in harness.subscriber.actions


def test_an_older_state_is_ignored_after_unsubscribing_and_looking_up_again() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 9)
    harness.subscriber.unsubscribe(["t"], harness.now)
    harness.subscriber.lookup(["n:t"], harness.now)
    serial = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    harness.receive(LookupResult(serial, ["t"], [Resource("t", 4, Kind.CONTENT, b"old")], 6))
    assert not harness.subscriber.replica.entries


def test_subscriptions_without_a_held_state_end_before_a_comparison() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 9)
    harness.subscriber.unsubscribe(["t"], harness.now)
    harness.subscriber.lookup(["n:t"], harness.now)
    serial = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    harness.receive(LookupResult(serial, ["t"], [Resource("t", 4, Kind.CONTENT, b"old")], 6))
    assert harness.subscriber.subscriptions == {"t"}
    another = Position(Epoch(6, b"f"), 6)
    harness.receive(Welcome(another, compare=True, parent=Position(EPOCH, 6)))
    assert [m for m in harness.take_sent() if isinstance(m, Unsubscribe)] == [Unsubscribe(["t"])]
    assert not harness.subscriber.subscriptions
    harness.wait(PARAMETERS.lookup_retry_delay_ns)
    assert [m for m in harness.take_sent() if isinstance(m, Lookup)]


def test_refusals_are_sent_to_each_new_source() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 5)
    harness.subscriber.actions.clear()
    harness.receive(Changes([Resource("t", 11, Kind.CONTENT, b"bad")], 11))
    (apply,) = (a for a in harness.subscriber.actions if isinstance(a, Apply))
    refusal = Refusal("t", 11, "no document")
    harness.subscriber.applied(apply.batch, harness.now, [refusal])
    assert Acknowledge(11, [refusal], 1) in harness.take_sent()
    harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
    harness.connect(Welcome(Position(EPOCH, 11)))
    assert Acknowledge(11, [refusal], 1) in harness.take_sent()


def find_tenant(harness: SubscriberHarness, uid: str) -> int:
    """Look up a tenant and receive it. Returns the batch to be put into force."""
    harness.subscriber.lookup([f"n:{uid}"], harness.now)
    serial = [m for m in harness.take_sent() if isinstance(m, Lookup)][-1].question
    harness.receive(LookupResult(serial, [uid], [Resource(uid, 5, Kind.CONTENT, b"body")], 10))
    (apply,) = (a for a in harness.subscriber.actions if isinstance(a, Apply))
    return apply.batch


def acknowledged(harness: SubscriberHarness) -> list[tuple[int, int | None]]:
    return [(m.revision, m.answered) for m in harness.take_sent() if isinstance(m, Acknowledge)]


def test_a_lookup_is_acknowledged_only_once_its_result_is_in_force() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.receive(Progress(10))
    batch = find_tenant(harness, "t")
    harness.wait(PARAMETERS.heartbeat_interval_ns)
    assert acknowledged(harness) == [(10, 0)]
    harness.subscriber.applied(batch, harness.now)
    assert acknowledged(harness) == [(10, 1)]


def test_a_lookup_is_acknowledged_only_after_the_last_message_of_its_answer() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.receive(Progress(10))
    harness.subscriber.lookup(["n:t", "n:u"], harness.now)
    harness.take_sent()
    harness.receive(LookupResult(1, ["t", "u"], [Resource("t", 5, Kind.CONTENT, b"body")], 10))
    (first,) = (a for a in harness.subscriber.actions if isinstance(a, Apply))
    harness.subscriber.applied(first.batch, harness.now)
    assert not acknowledged(harness)
    harness.receive(Changes([Resource("u", 6, Kind.CONTENT, b"body")], 0))
    (second,) = (a for a in harness.subscriber.actions if isinstance(a, Apply))
    harness.subscriber.applied(second.batch, harness.now)
    assert acknowledged(harness) == [(10, 1)]


def test_a_new_source_gets_no_early_acknowledgement_of_a_lookup() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.receive(Progress(10))
    batch = find_tenant(harness, "t")
    harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
    harness.take_sent()
    harness.connect(Welcome(Position(EPOCH, 10)))
    assert acknowledged(harness) == [(4, 0)]
    harness.subscriber.applied(batch, harness.now)
    assert acknowledged(harness) == [(10, 1)]


def receive_change(harness: SubscriberHarness, revision: int, body: bytes) -> int:
    """Receive a change of `t`. Returns the batch to be put into force."""
    harness.subscriber.actions.clear()
    harness.receive(Changes([Resource("t", revision, Kind.CONTENT, body)], revision))
    (apply,) = (a for a in harness.subscriber.actions if isinstance(a, Apply))
    return apply.batch


def sent_refusals(harness: SubscriberHarness) -> list[Refusal]:
    return [r for m in harness.take_sent() if isinstance(m, Acknowledge) for r in m.refusals]


def test_a_refusal_does_not_carry_over_to_a_later_state_being_applied() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 5)
    bad = Refusal("t", 11, "no document")
    harness.subscriber.applied(receive_change(harness, 11, b"bad"), harness.now, [bad])
    assert sent_refusals(harness) == [bad]
    batch = receive_change(harness, 12, b"good")
    harness.receive(Changes([Resource("t", 13, Kind.UNCHANGED)], 13))  # after a comparison
    harness.subscriber.applied(batch, harness.now)
    assert not sent_refusals(harness)


def test_a_refusal_names_the_revision_at_which_the_state_was_found_unchanged() -> None:
    harness = SubscriberHarness()
    harness.connect()
    hold_tenant(harness, "t", 5)
    batch = receive_change(harness, 11, b"bad")
    harness.receive(Changes([Resource("t", 13, Kind.UNCHANGED)], 13))
    harness.subscriber.applied(batch, harness.now, [Refusal("t", 11, "no document")])
    assert sent_refusals(harness) == [Refusal("t", 13, "no document")]


def test_a_hello_names_the_newest_held_revision() -> None:
    harness = SubscriberHarness()
    harness.connect()
    harness.receive(Progress(7))
    hold_tenant(harness, "t", 9)
    harness.subscriber.disconnected(harness.subscriber.attempt, harness.now)
    harness.connect()
    hello = [m for m in harness.take_sent() if isinstance(m, Hello)][-1]
    assert (hello.position, hello.newest) == (Position(EPOCH, 7), 9)
