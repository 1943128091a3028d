"""A source's sessions: admission, bounded queues, lookups, names, rollouts."""

from __future__ import annotations

import pytest

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
    Versions,
    Welcome,
    alias_of_host,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import (
    MAX_CONTROL_MESSAGES,
    MAX_RETRY_AFTER_NS,
    STALE_REASON,
    ProtocolError,
    Source,
)

EPOCH = Epoch(1, b"a")
NOW = SECOND
PARAMETERS = Parameters(
    admissions_per_s=10,
    admission_burst=2,
    lookups_per_s=5,
    departed_retention_ns=SECOND,
    max_batch_bytes=100,
)


def content(uid: str, revision: int, body: bytes = b"body") -> Resource:
    return Resource(uid, revision, Kind.CONTENT, body, [alias_of_host(uid)])


class Bench:
    """A publisher's source with three tenants, and its sessions."""

    def __init__(self, parameters: Parameters = PARAMETERS) -> None:
        self.replica = Replica(parameters.max_resumable_changes, EPOCH)
        for revision, uid in enumerate(("t1", "t2", "t3"), 1):
            self.replica.commit(content(uid, revision))
        self.source = Source(self.replica, parameters, NOW, is_publisher=True)

    def hello(self, name: str, now: int = NOW, *subscriptions: str) -> int:
        number = self.source.opened(now)
        position = Position(EPOCH, self.replica.revision)
        self.source.received(number, now, Hello(name, False, position, list(subscriptions)))
        return number

    def change(self, uid: str, revision: int, body: bytes) -> None:
        self.replica.commit(content(uid, revision, body))
        self.source.changed(uid, revision, NOW)

    def told(self, number: int, now: int = NOW) -> list[Message]:
        messages = []
        while (message := self.source.next_message(number, now)) is not None:
            messages.append(message)
        return messages


def test_more_than_the_burst_are_told_times_to_come_back_one_after_the_other() -> None:
    bench = Bench()
    answers = [bench.told(bench.hello(f"n{i}"))[0] for i in range(5)]
    assert [type(answer) for answer in answers] == [Welcome, Welcome, Busy, Busy, Busy]
    waits = [answer.retry_after_ms for answer in answers if isinstance(answer, Busy)]
    assert waits == [101, 201, 301]
    later = bench.hello("n2", NOW + waits[0] * MS)
    assert isinstance(bench.told(later)[0], Welcome)


def test_the_time_to_come_back_is_bounded() -> None:
    bench = Bench()
    answers = [bench.told(bench.hello(f"n{i}"))[0] for i in range(200)]
    waits = [answer.retry_after_ms for answer in answers if isinstance(answer, Busy)]
    assert max(waits) <= MAX_RETRY_AFTER_NS // MS + 1


def test_a_slow_subscriber_has_one_place_for_each_resource_and_gets_the_latest() -> None:
    bench = Bench()
    number = bench.hello("n", NOW, "t1", "t2")
    bench.told(number)
    for revision in range(4, 1004):
        bench.change(("t1", "t2", "t3")[revision % 3], revision, str(revision).encode())
    assert len(bench.source.sessions[number].pending) == 2
    (changes,) = bench.told(number)
    assert isinstance(changes, Changes) and changes.progress == 1003
    assert [r.revision for r in changes.resources] == [1002, 1003]
    assert [r.body for r in changes.resources] == [b"1002", b"1003"]


def test_progress_stays_before_what_waits() -> None:
    bench = Bench()
    number = bench.hello("n", NOW, "t1", "t2")
    bench.told(number)
    bench.change("t1", 4, bytes(200))
    bench.change("t2", 5, bytes(200))
    bench.change("t3", 6, b"")
    bench.change("t1", 7, bytes(300))  # goes behind t2
    first, second = bench.told(number)
    assert isinstance(first, Changes) and isinstance(second, Changes)
    assert ([r.uid for r in first.resources], first.progress) == (["t2"], 6)
    assert ([r.uid for r in second.resources], second.progress) == (["t1"], 7)


def test_lookups_beyond_the_bucket_are_not_answered() -> None:
    bench = Bench()
    number = bench.hello("n")
    bench.told(number)
    for question in range(8):
        bench.source.received(number, NOW, Lookup(question, [alias_of_host("t1")]))
    assert [type(m) for m in bench.told(number)] == [LookupResult] * 5


def test_answers_that_wait_are_bounded() -> None:
    bench = Bench(Parameters(lookups_per_s=1e6))
    number = bench.hello("n")
    for question in range(2 * MAX_CONTROL_MESSAGES):
        bench.source.received(number, NOW, Lookup(question, [alias_of_host("t1")]))
    assert len(bench.source.sessions[number].control) == MAX_CONTROL_MESSAGES


def test_what_is_found_and_has_no_room_follows_by_itself() -> None:
    bench = Bench()
    bench.change("t1", 4, bytes(80))
    bench.change("t2", 5, bytes(80))
    number = bench.hello("n")
    bench.told(number)
    bench.source.received(number, NOW, Lookup(1, [alias_of_host("t1"), alias_of_host("t2")]))
    found, rest = bench.told(number)
    assert isinstance(found, LookupResult) and isinstance(rest, Changes)
    assert found.uids == ["t1", "t2"]
    assert [r.uid for r in found.resources] == ["t1"]
    assert [r.uid for r in rest.resources] == ["t2"]


def test_a_second_session_of_a_name_ends_the_first() -> None:
    bench = Bench()
    first, second = bench.hello("n", NOW, "t1"), bench.hello("n", NOW, "t1")
    assert bench.source.sessions[first].closing and not bench.source.sessions[second].closing
    bench.source.received(second, NOW, Acknowledge(3))
    bench.change("t1", 4, b"")
    assert bench.source.rollout("t1", 4).waiting == 1
    bench.source.closed(first, NOW)
    assert bench.source.rollout("t1", 4).lagging == ["n"]


def test_an_instance_that_is_away_lags_until_it_has_moved_or_for_so_long() -> None:
    bench = Bench()
    for name in ("a", "b"):
        number = bench.hello(name, NOW, "t1")
        bench.source.closed(number, NOW)
    bench.change("t1", 4, b"")
    assert bench.source.rollout("t1", 4).lagging == ["a", "b"]
    bench.source.moved(["a"])
    assert bench.source.rollout("t1", 4).lagging == ["b"]
    bench.source.tick(NOW + PARAMETERS.departed_retention_ns)
    assert bench.source.rollout("t1", 4).waiting == 0


def test_a_refusal_is_counted_with_its_reason_until_a_later_state_is_taken() -> None:
    bench = Bench()
    number = bench.hello("n", NOW, "t1")
    bench.change("t1", 4, b"bad")
    bench.source.received(number, NOW, Acknowledge(4, [Refusal("t1", 4, "no document")]))
    row = bench.source.rollout("t1", 4)
    assert (row.have, row.waiting, row.refusing) == (0, 0, [("n", "no document")])
    bench.change("t1", 5, b"good")
    bench.source.received(number, NOW, Acknowledge(5))
    assert bench.source.rollout("t1", 5).have == 1


def test_a_removal_waits_until_it_is_in_force_and_is_counted_then() -> None:
    bench = Bench()
    number = bench.hello("n", NOW, "t1")
    bench.replica.commit(Resource("t1", 4, Kind.REMOVED))
    bench.source.changed("t1", 4, NOW)
    bench.told(number)
    assert bench.source.rollout("t1", 4).waiting == 1
    bench.source.received(number, NOW, Unsubscribe(["t1"]))
    row = bench.source.rollout("t1", 4)
    assert (row.have, row.waiting) == (1, 0)


def test_a_report_says_what_is_news_and_again_all_of_it_where_asked() -> None:
    bench = Bench()
    number = bench.hello("n", NOW, "t1")
    bench.change("t1", 4, b"")
    first = bench.source.report(NOW)
    assert first is not None and first.joined == ["n"] and first.rows[0].waiting == 1
    assert bench.source.report(NOW) is None
    bench.source.received(number, NOW, Acknowledge(4))
    second = bench.source.report(NOW)
    assert second is not None and second.rows[0].have == 1 and second.joined == []
    assert bench.source.report(NOW) is None
    bench.source.reset_report()
    third = bench.source.report(NOW)
    assert third is not None and third.rows == second.rows and third.joined == ["n"]


def test_one_who_is_silent_is_named_and_one_who_is_idle_hears_a_heartbeat() -> None:
    bench = Bench()
    number = bench.hello("n")
    bench.told(number)
    assert bench.source.tick(NOW + PARAMETERS.heartbeat_interval_ns) == []
    assert bench.told(number, NOW + PARAMETERS.heartbeat_interval_ns) == [Progress(3, whole=True)]
    assert bench.source.tick(NOW + PARAMETERS.silence_timeout_ns) == [number]


@pytest.mark.parametrize("message", [Versions([]), Progress(1)])
def test_what_may_not_be_said_ends_a_session(message: Message) -> None:
    bench = Bench()
    number = bench.hello("n")
    with pytest.raises(ProtocolError):
        bench.source.received(number, NOW, message)
    with pytest.raises(ProtocolError):
        bench.source.received(bench.source.opened(NOW), NOW, message)


def test_a_later_history_is_not_served_and_is_remembered() -> None:
    bench = Bench()
    number = bench.source.opened(NOW)
    later = Position(Epoch(2), 1)
    bench.source.received(number, NOW, Hello("n", False, later))
    assert isinstance(bench.told(number)[0], Busy)
    assert bench.source.outdated_by == later


def test_who_must_compare_waits_while_the_source_is_behind_its_epochs_beginning() -> None:
    bench = Bench()
    bench.source.is_publisher = False
    bench.replica.begin_epoch(Epoch(2), Position(EPOCH, 10))  # and stands at 3
    answers = []
    for position, newest in (((EPOCH, 8), 8), ((EPOCH, 8), 11)):
        number = bench.source.opened(NOW)
        bench.source.received(
            number, NOW, Hello(f"n{newest}", False, Position(*position), ["t1"], newest, whole=8)
        )
        answers.append(bench.told(number)[0])
    assert isinstance(answers[0], Welcome) and not answers[0].compare
    assert isinstance(answers[1], Busy)


def test_one_that_wants_a_source_that_hears_the_publisher_is_told_where_it_does_not() -> None:
    replica = Replica(PARAMETERS.max_resumable_changes, EPOCH, 1)
    parameters = Parameters(admissions_per_s=1, admission_burst=1)
    source = Source(replica, parameters, NOW, is_publisher=False)
    source.serving = True

    def answer(name: str, only_fresh: bool, now: int) -> Message | None:
        number = source.opened(now)
        hello = Hello(name, position=Position(EPOCH, 1), only_fresh=only_fresh)
        source.received(number, now, hello)
        return source.next_message(number, now)

    stale = NOW + parameters.stale_after_ns
    for _ in range(5):  # none of these is an admission
        assert answer("n1", True, stale) == Busy(0, STALE_REASON)
    assert isinstance(answer("n1", False, stale), Welcome)
    source.note_publisher_heard(stale + SECOND)
    assert isinstance(answer("n2", True, stale + SECOND), Welcome)


@pytest.mark.parametrize("answered", [1, None], ids=["told by lookup", "another program"])
def test_one_that_has_just_asked_for_a_tenant_waits_until_it_says_that_it_is_in_force(
    answered: int | None,
) -> None:
    bench = Bench()
    number = bench.hello("n1")
    bench.source.received(number, NOW, Acknowledge(3, [], None if answered is None else 0))
    bench.source.received(number, NOW, Lookup(1, [alias_of_host("t2")]))
    rollout = bench.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting, rollout.lagging) == (0, 1, ["n1"])
    bench.source.received(number, NOW, Acknowledge(3, [], answered))
    rollout = bench.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting) == (1, 0)


def test_one_that_says_nothing_of_its_last_lookup_still_waits() -> None:
    bench = Bench()
    number = bench.hello("n1")
    bench.source.received(number, NOW, Lookup(1, [alias_of_host("t1")]))
    bench.source.received(number, NOW, Lookup(2, [alias_of_host("t2")]))
    bench.source.received(number, NOW, Acknowledge(3, [], 1))
    assert bench.source.rollout("t1", 1).have == 1
    assert bench.source.rollout("t2", 2).have == 0
    bench.source.received(number, NOW, Acknowledge(3, [Refusal("t2", 2, "bad")], 1))
    rollout = bench.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting, rollout.refused) == (0, 0, 1)


def test_where_a_restored_history_lacks_later_changes_what_they_stood_for_is_sent() -> None:
    """`t2` changed at 17 and again at 20: a reader that was told all but it up to 18 stands at
    18, and the history that goes on from 18 has the state of 17."""
    replica = Replica(PARAMETERS.max_resumable_changes, Epoch(2, b"b"), 18)
    replica.load([content("t1", 16), content("t2", 17)])
    replica.set_resumable_from(10)
    replica.record_change(16, "t1")
    replica.record_change(17, "t2")
    replica.begin_epoch(Epoch(2, b"b"), Position(EPOCH, 18))
    source = Source(replica, PARAMETERS, NOW, is_publisher=True)

    def sent(everything: bool, whole: int) -> list[str]:
        number = source.opened(NOW)
        place = Position(EPOCH, 18)
        hello = Hello("n", everything, place, ["t1", "t2"], newest=18, whole=whole)
        source.received(number, NOW, hello)
        welcome = source.next_message(number, NOW)
        assert isinstance(welcome, Welcome) and not welcome.compare
        changes = []
        while isinstance(message := source.next_message(number, NOW), Changes):
            changes += [resource.uid for resource in message.resources]
        return changes

    assert sent(False, 15) == ["t1", "t2"]
    assert sent(True, 16) == ["t2"]
