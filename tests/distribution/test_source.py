"""Sessions of a source: admission, bounded queues, lookups, name conflicts and rollouts."""

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


class SourceHarness:
    """The source of a publisher with three tenants."""

    def __init__(self, parameters: Parameters = PARAMETERS) -> None:
        self.replica = Replica(parameters.max_resumable_changes, EPOCH)
        for revision, uid in enumerate(("t1", "t2", "t3"), 1):
            self.replica.commit(content(uid, revision))
        self.source = Source(self.replica, parameters, NOW, is_publisher=True)

    def connect(self, name: str, now: int = NOW, *subscriptions: str) -> int:
        number = self.source.opened(now)
        position = Position(EPOCH, self.replica.revision)
        self.source.received(number, now, Hello(name, False, position, list(subscriptions)))
        return number

    def change(self, uid: str, revision: int, body: bytes) -> None:
        self.replica.commit(content(uid, revision, body))
        self.source.changed(uid, revision, NOW)

    def take_messages(self, number: int, now: int = NOW) -> list[Message]:
        messages = []
        while (message := self.source.next_message(number, now)) is not None:
            messages.append(message)
        return messages


def test_rejected_subscribers_get_successive_retry_times() -> None:
    harness = SourceHarness()
    answers = [harness.take_messages(harness.connect(f"n{i}"))[0] for i in range(5)]
    assert [type(answer) for answer in answers] == [Welcome, Welcome, Busy, Busy, Busy]
    waits = [answer.retry_after_ms for answer in answers if isinstance(answer, Busy)]
    assert waits == [101, 201, 301]
    later = harness.connect("n2", NOW + waits[0] * MS)
    assert isinstance(harness.take_messages(later)[0], Welcome)


def test_the_retry_time_is_bounded() -> None:
    harness = SourceHarness()
    answers = [harness.take_messages(harness.connect(f"n{i}"))[0] for i in range(200)]
    waits = [answer.retry_after_ms for answer in answers if isinstance(answer, Busy)]
    assert max(waits) <= MAX_RETRY_AFTER_NS // MS + 1


def test_a_slow_subscriber_has_one_queue_entry_per_resource_with_the_latest_state() -> None:
    harness = SourceHarness()
    number = harness.connect("n", NOW, "t1", "t2")
    harness.take_messages(number)
    for revision in range(4, 1004):
        harness.change(("t1", "t2", "t3")[revision % 3], revision, str(revision).encode())
    assert len(harness.source.sessions[number].pending) == 2
    (changes,) = harness.take_messages(number)
    assert isinstance(changes, Changes) and changes.progress == 1003
    assert [r.revision for r in changes.resources] == [1002, 1003]
    assert [r.body for r in changes.resources] == [b"1002", b"1003"]


def test_progress_stays_before_the_first_queued_change() -> None:
    harness = SourceHarness()
    number = harness.connect("n", NOW, "t1", "t2")
    harness.take_messages(number)
    harness.change("t1", 4, bytes(200))
    harness.change("t2", 5, bytes(200))
    harness.change("t3", 6, b"")
    harness.change("t1", 7, bytes(300))  # moves behind t2 in the queue
    first, second = harness.take_messages(number)
    assert isinstance(first, Changes) and isinstance(second, Changes)
    assert ([r.uid for r in first.resources], first.progress) == (["t2"], 6)
    assert ([r.uid for r in second.resources], second.progress) == (["t1"], 7)


def test_lookups_over_the_rate_limit_are_not_answered() -> None:
    harness = SourceHarness()
    number = harness.connect("n")
    harness.take_messages(number)
    for question in range(8):
        harness.source.received(number, NOW, Lookup(question, [alias_of_host("t1")]))
    assert [type(m) for m in harness.take_messages(number)] == [LookupResult] * 5


def test_queued_answers_are_bounded() -> None:
    harness = SourceHarness(Parameters(lookups_per_s=1e6))
    number = harness.connect("n")
    for question in range(2 * MAX_CONTROL_MESSAGES):
        harness.source.received(number, NOW, Lookup(question, [alias_of_host("t1")]))
    assert len(harness.source.sessions[number].control) == MAX_CONTROL_MESSAGES


def test_found_resources_that_do_not_fit_follow_in_a_separate_message() -> None:
    harness = SourceHarness()
    harness.change("t1", 4, bytes(80))
    harness.change("t2", 5, bytes(80))
    number = harness.connect("n")
    harness.take_messages(number)
    harness.source.received(number, NOW, Lookup(1, [alias_of_host("t1"), alias_of_host("t2")]))
    found, rest = harness.take_messages(number)
    assert isinstance(found, LookupResult) and isinstance(rest, Changes)
    assert found.uids == ["t1", "t2"]
    assert [r.uid for r in found.resources] == ["t1"]
    assert [r.uid for r in rest.resources] == ["t2"]


def test_a_second_session_with_the_same_name_ends_the_first() -> None:
    harness = SourceHarness()
    first, second = harness.connect("n", NOW, "t1"), harness.connect("n", NOW, "t1")
    assert harness.source.sessions[first].closing and not harness.source.sessions[second].closing
    harness.source.received(second, NOW, Acknowledge(3))
    harness.change("t1", 4, b"")
    assert harness.source.rollout("t1", 4).waiting == 1
    harness.source.closed(first, NOW)
    assert harness.source.rollout("t1", 4).lagging == ["n"]


def test_a_departed_instance_lags_until_it_moves_or_is_forgotten() -> None:
    harness = SourceHarness()
    for name in ("a", "b"):
        number = harness.connect(name, NOW, "t1")
        harness.source.closed(number, NOW)
    harness.change("t1", 4, b"")
    assert harness.source.rollout("t1", 4).lagging == ["a", "b"]
    harness.source.moved(["a"])
    assert harness.source.rollout("t1", 4).lagging == ["b"]
    harness.source.tick(NOW + PARAMETERS.departed_retention_ns)
    assert harness.source.rollout("t1", 4).waiting == 0


def test_a_refusal_is_counted_with_its_reason_until_a_later_state_is_in_force() -> None:
    harness = SourceHarness()
    number = harness.connect("n", NOW, "t1")
    harness.change("t1", 4, b"bad")
    harness.source.received(number, NOW, Acknowledge(4, [Refusal("t1", 4, "no document")]))
    row = harness.source.rollout("t1", 4)
    assert (row.have, row.waiting, row.refusing) == (0, 0, [("n", "no document")])
    harness.change("t1", 5, b"good")
    harness.source.received(number, NOW, Acknowledge(5))
    assert harness.source.rollout("t1", 5).have == 1


def test_a_removal_counts_as_waiting_until_it_is_in_force() -> None:
    harness = SourceHarness()
    number = harness.connect("n", NOW, "t1")
    harness.replica.commit(Resource("t1", 4, Kind.REMOVED))
    harness.source.changed("t1", 4, NOW)
    harness.take_messages(number)
    assert harness.source.rollout("t1", 4).waiting == 1
    harness.source.received(number, NOW, Unsubscribe(["t1"]))
    row = harness.source.rollout("t1", 4)
    assert (row.have, row.waiting) == (1, 0)


def test_a_report_has_only_differences_and_is_complete_after_a_reset() -> None:
    harness = SourceHarness()
    number = harness.connect("n", NOW, "t1")
    harness.change("t1", 4, b"")
    first = harness.source.report(NOW)
    assert first is not None and first.joined == ["n"] and first.rows[0].waiting == 1
    assert harness.source.report(NOW) is None
    harness.source.received(number, NOW, Acknowledge(4))
    second = harness.source.report(NOW)
    assert second is not None and second.rows[0].have == 1 and second.joined == []
    assert harness.source.report(NOW) is None
    harness.source.reset_report()
    third = harness.source.report(NOW)
    assert third is not None and third.rows == second.rows and third.joined == ["n"]


def test_idle_sessions_get_heartbeats_and_silent_sessions_are_returned() -> None:
    harness = SourceHarness()
    number = harness.connect("n")
    harness.take_messages(number)
    assert harness.source.tick(NOW + PARAMETERS.heartbeat_interval_ns) == []
    assert harness.take_messages(number, NOW + PARAMETERS.heartbeat_interval_ns) == [
        Progress(3, consistent=True)
    ]
    assert harness.source.tick(NOW + PARAMETERS.silence_timeout_ns) == [number]


@pytest.mark.parametrize("message", [Versions([]), Progress(1)])
def test_a_message_that_is_not_allowed_raises_a_protocol_error(message: Message) -> None:
    harness = SourceHarness()
    number = harness.connect("n")
    with pytest.raises(ProtocolError):
        harness.source.received(number, NOW, message)
    with pytest.raises(ProtocolError):
        harness.source.received(harness.source.opened(NOW), NOW, message)


def test_a_subscriber_with_a_later_history_is_rejected_and_its_position_kept() -> None:
    harness = SourceHarness()
    number = harness.source.opened(NOW)
    later = Position(Epoch(2), 1)
    harness.source.received(number, NOW, Hello("n", False, later))
    assert isinstance(harness.take_messages(number)[0], Busy)
    assert harness.source.outdated_by == later


def test_a_source_behind_its_epochs_beginning_rejects_subscribers_that_must_compare() -> None:
    harness = SourceHarness()
    harness.source.is_publisher = False
    harness.replica.begin_epoch(Epoch(2), Position(EPOCH, 10))  # the replica is still at revision 3
    answers = []
    for position, newest in (((EPOCH, 8), 8), ((EPOCH, 8), 11)):
        number = harness.source.opened(NOW)
        harness.source.received(
            number,
            NOW,
            Hello(f"n{newest}", False, Position(*position), ["t1"], newest, consistent_revision=8),
        )
        answers.append(harness.take_messages(number)[0])
    assert isinstance(answers[0], Welcome) and not answers[0].compare
    assert isinstance(answers[1], Busy)


def test_a_stale_source_rejects_subscribers_that_ask_for_a_fresh_one() -> None:
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
    for _ in range(5):  # these rejections use no admission
        assert answer("n1", True, stale) == Busy(0, STALE_REASON)
    assert isinstance(answer("n1", False, stale), Welcome)
    source.note_publisher_heard(stale + SECOND)
    assert isinstance(answer("n2", True, stale + SECOND), Welcome)


@pytest.mark.parametrize(
    "answered", [1, None], ids=["lookup acknowledged", "program without lookup acknowledgements"]
)
def test_a_looked_up_tenant_counts_as_waiting_until_the_lookup_is_acknowledged(
    answered: int | None,
) -> None:
    harness = SourceHarness()
    number = harness.connect("n1")
    harness.source.received(number, NOW, Acknowledge(3, [], None if answered is None else 0))
    harness.source.received(number, NOW, Lookup(1, [alias_of_host("t2")]))
    rollout = harness.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting, rollout.lagging) == (0, 1, ["n1"])
    harness.source.received(number, NOW, Acknowledge(3, [], answered))
    rollout = harness.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting) == (1, 0)


def test_only_acknowledged_lookups_count_as_in_force() -> None:
    harness = SourceHarness()
    number = harness.connect("n1")
    harness.source.received(number, NOW, Lookup(1, [alias_of_host("t1")]))
    harness.source.received(number, NOW, Lookup(2, [alias_of_host("t2")]))
    harness.source.received(number, NOW, Acknowledge(3, [], 1))
    assert harness.source.rollout("t1", 1).have == 1
    assert harness.source.rollout("t2", 2).have == 0
    harness.source.received(number, NOW, Acknowledge(3, [Refusal("t2", 2, "bad")], 1))
    rollout = harness.source.rollout("t2", 2)
    assert (rollout.have, rollout.waiting, rollout.refused) == (0, 0, 1)


def test_a_restored_history_sends_states_that_its_missing_changes_had_replaced() -> None:
    """`t2` changed at 17 and again at 20. The subscriber received every change up to 18 except the
    one at 17, so its position is 18. The restored history continues from 18 with the state of 17,
    which has to be sent."""
    replica = Replica(PARAMETERS.max_resumable_changes, Epoch(2, b"b"), 18)
    replica.load([content("t1", 16), content("t2", 17)])
    replica.set_resumable_from(10)
    replica.record_change(16, "t1")
    replica.record_change(17, "t2")
    replica.begin_epoch(Epoch(2, b"b"), Position(EPOCH, 18))
    source = Source(replica, PARAMETERS, NOW, is_publisher=True)

    def sent(everything: bool, consistent_revision: int) -> list[str]:
        number = source.opened(NOW)
        place = Position(EPOCH, 18)
        hello = Hello(
            "n", everything, place, ["t1", "t2"], newest=18, consistent_revision=consistent_revision
        )
        source.received(number, NOW, hello)
        welcome = source.next_message(number, NOW)
        assert isinstance(welcome, Welcome) and not welcome.compare
        changes = []
        while isinstance(message := source.next_message(number, NOW), Changes):
            changes += [resource.uid for resource in message.resources]
        return changes

    assert sent(False, 15) == ["t1", "t2"]
    assert sent(True, 16) == ["t2"]
