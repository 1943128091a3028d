"""The source's side of distribution: subscriber sessions over one replica. No I/O.

The publisher and the distributors are sources. Each session has a queue with one entry per resource
that has changed since it was last sent. The queue is therefore bounded by the number of
subscriptions, and a slow subscriber receives the latest state instead of every change. The queue is
ordered by the resources' last changes: a resource that changes again while it is queued moves to
the end. All changes before the first queued one have therefore been sent, and a subscriber can
resume from there.

The I/O layer reports events to the source and takes messages with `next_message` only while the
session's transport accepts more, so that no session waits for another.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from tansywood.distribution.messages import (
    Acknowledge,
    Busy,
    Changes,
    Epoch,
    Hello,
    InstancesMoved,
    Kind,
    Lookup,
    LookupResult,
    Message,
    Position,
    Progress,
    Refusal,
    Resource,
    Rollout,
    Rollouts,
    Unsubscribe,
    Versions,
    Welcome,
)
from tansywood.distribution.parameters import MS, SECOND, Parameters
from tansywood.distribution.replica import Replica
from tansywood.tenancy.limits import Bucket

MAX_BATCH_RESOURCES = 1_024  # in one message
MAX_NAMED_INSTANCES = 5  # of those that lag, and of those that refuse, in one rollout
NOT_READY_RETRY_MS = 500
TOO_MANY_REASON = "too many at once"
STALE_REASON = "this source has not heard the publisher lately"
BEHIND_EPOCH_REASON = "this source has not come up to the beginning of its epoch"
OUTDATED_RETRY_MS = 1_000
MAX_RETRY_AFTER_NS = 5 * SECOND  # longest wait that a rejected subscriber is told
FULL_COMPARISON_RETRY_MS = 500
MAX_SESSION_REFUSALS = 1_024  # kept per session
MAX_MOVED_NAMES = 4_096  # in one message
# Answers queued for one subscriber; further lookups are dropped.
MAX_CONTROL_MESSAGES = 1_024
MAX_TRACKED_CHANGES = 256  # changes whose rollout is tracked
TRACKED_CHANGE_RETENTION_NS = 60 * SECOND


class ProtocolError(ValueError):
    """A peer sent a message that is not allowed in the current state; its session ends."""


@dataclass(frozen=True, slots=True)
class _Pending:
    """A queued resource: its last change, and whether the subscriber already has that state."""

    revision: int
    unchanged: bool = False


@dataclass(slots=True)
class _RecentChange:
    """A tracked change; `removed_count` counts the subscribers that applied a removal."""

    revision: int
    changed_at: int  # time
    removed_count: int = 0


@dataclass(slots=True)
class Session:
    """One subscriber's connection."""

    number: int
    last_received: int  # time of the last message from the subscriber
    last_heartbeat: int  # time of the last heartbeat
    name: str = ""
    everything: bool = False
    welcomed: bool = False
    open_comparisons: int = 0  # lists of versions still expected; only the last one is used
    catching_up: bool = False  # differences found by a comparison are not all sent yet
    newest_held: int = 0  # the newest revision of this epoch that the subscriber may hold
    progress: int = 0  # all changes up to this revision have been sent
    applied: int = 0  # all changes up to this revision are in force at the subscriber
    subscriptions: set[str] = field(default_factory=set)
    compared_uids: set[str] = field(default_factory=set)
    # Resources that are sent before `pending`, the last one first.
    backlog: list[str] = field(default_factory=list)
    pending: OrderedDict[str, _Pending] = field(default_factory=OrderedDict)
    refusals: OrderedDict[str, Refusal] = field(default_factory=OrderedDict)
    # The lookup that found each resource which is not in force at the subscriber yet.
    unapplied_lookups: dict[str, int] = field(default_factory=dict)
    control: deque[Message] = field(default_factory=deque)
    lookup_bucket: Bucket | None = None
    moved: bool = False  # the instance has since connected to another distributor
    closing: bool = False  # the connection is closed once all control messages are sent

    @property
    def comparing(self) -> bool:
        """Whether the subscriber still has to send its versions."""
        return self.open_comparisons > 0

    @property
    def has_unsent(self) -> bool:
        """Whether changed resources are queued for the subscriber."""
        return bool(self.backlog or self.pending)

    def has_applied(self, uid: str, revision: int) -> bool:
        """Whether a change is in force at the subscriber."""
        return not self.is_waiting_for(uid, revision) and not self.has_refused(uid, revision)

    def is_waiting_for(self, uid: str, revision: int) -> bool:
        """Whether, as far as the source knows, the change is neither in force nor refused there."""
        return (self.applied < revision or uid in self.unapplied_lookups) and not self.has_refused(
            uid, revision
        )

    def has_refused(self, uid: str, revision: int) -> bool:
        """Whether the subscriber refused this change or a later one of the resource."""
        refusal = self.refusals.get(uid)
        return refusal is not None and refusal.revision >= revision


@dataclass(frozen=True, slots=True)
class _DepartedInstance:
    """An instance whose connection ended and that has not connected anywhere since."""

    forget_at: int
    applied: int
    subscriptions: frozenset[str]

    def is_waiting_for(self, uid: str, revision: int) -> bool:
        """Whether the instance subscribed to the resource and lacked the change when it left."""
        return self.applied < revision and uid in self.subscriptions


class Source:
    """Manages the sessions over one replica. The message counters never decrease."""

    def __init__(
        self, replica: Replica, parameters: Parameters, now: int, is_publisher: bool
    ) -> None:
        self.replica = replica
        self.parameters = parameters
        self.is_publisher = is_publisher
        self.serving = is_publisher
        self.sessions: dict[int, Session] = {}
        self.ready: set[int] = set()  # sessions with messages to send
        self.publisher_heard_at = now
        self.outdated_by: Position | None = None  # a later history that a subscriber knew
        self.joined: list[str] = []  # instances that connected since the last report
        self.messages_out = 0
        self.messages_in = 0
        self._subscribers: dict[str, set[int]] = {}
        self._everything: set[int] = set()
        self._by_name: dict[str, int] = {}
        self._departed: dict[str, _DepartedInstance] = {}
        self._recent: OrderedDict[str, _RecentChange] = OrderedDict()  # the last change of each uid
        self._recent_epoch = replica.epoch
        self._unreported: dict[str, None] = {}  # recent changes whose counts may differ now
        self._reported: dict[str, Rollout] = {}
        self._reported_revision = 0  # all changes up to it have been reported
        self._admission = Bucket(now, parameters.admissions_per_s, parameters.admission_burst)
        self._admission.fill()
        self._last_retry_at = now  # the latest retry time told to a rejected subscriber
        self._next_number = 1

    # ---- events ----------------------------------------------------------------------------

    def opened(self, now: int) -> int:
        """A connection was opened. Returns the number that identifies its session."""
        number = self._next_number
        self._next_number += 1
        self.sessions[number] = Session(number, last_received=now, last_heartbeat=now)
        return number

    def closed(self, number: int, now: int) -> None:
        """A connection has ended. An instance counts as waiting for some time, as it may return."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        self.ready.discard(number)
        self._everything.discard(number)
        for uid in session.subscriptions:
            self._unsubscribe(session, uid)
        if self._by_name.get(session.name) == number:
            del self._by_name[session.name]
            if not session.everything and not session.moved:
                subscriptions = frozenset(session.subscriptions)
                forget_at = now + self.parameters.departed_retention_ns
                self._departed[session.name] = _DepartedInstance(
                    forget_at, session.applied, subscriptions
                )

    def received(self, number: int, now: int, message: Message) -> None:
        """Handle a message. Raises ProtocolError where the subscriber may not send it now."""
        session = self.sessions[number]
        session.last_received = now
        if session.moved:
            # The instance is connected here after all. The publisher was told otherwise, perhaps
            # because of a dead connection elsewhere. It is told again and informs that distributor.
            self._set_moved(session, False)
            self.joined.append(session.name)
        self.messages_in += 1
        if session.closing:
            return
        if isinstance(message, Hello):
            self._on_hello(session, now, message)
        elif not session.welcomed:
            raise ProtocolError(f"{type(message).__name__} before a welcome")
        elif isinstance(message, Acknowledge):
            self._record_acknowledgement(session, message)
        elif isinstance(message, Lookup):
            self._answer_lookup(session, now, message)
        elif isinstance(message, Unsubscribe):
            self._drop_subscriptions(session, message)
        elif isinstance(message, Versions):
            self._on_versions(session, message)
        elif not isinstance(message, Rollouts):  # the publisher handles those itself
            raise ProtocolError(f"{type(message).__name__} is not for a source")

    def changed(self, uid: str, revision: int, now: int) -> None:
        """A resource of the replica has changed. Revisions must increase."""
        self._track_change(uid, revision, now)
        for number in (*self._subscribers.get(uid, ()), *self._everything):
            session = self.sessions[number]
            # The resource moves to the end of the queue: see the module docstring.
            session.pending.pop(uid, None)
            session.pending[uid] = _Pending(revision)
            self.ready.add(number)

    def note_publisher_heard(self, heard_at: int) -> None:
        """Record when the publisher was last heard, directly or through another source."""
        self.publisher_heard_at = max(self.publisher_heard_at, heard_at)

    def epoch_continued(self, now: int) -> None:
        """The replica changed to an epoch that continues its own history.

        A subscriber that holds anything newer than the beginning of this epoch has to compare.
        While this source has not reached that beginning itself, its state may be older than the
        subscriber's, so it ends such sessions instead.
        """
        self._recent_epoch = self.replica.epoch
        parent = self.replica.parent.revision
        for session in self.sessions.values():
            if not session.welcomed or session.closing:
                continue
            compare = session.comparing or max(session.newest_held, session.progress) > parent
            if compare and self.replica.consistent_revision < parent:
                self._end_session(session, Busy(NOT_READY_RETRY_MS, BEHIND_EPOCH_REASON))
                continue
            if compare:
                self._begin_comparison(session)
            self._welcome(session, now, compare)

    def stop_serving(self) -> None:
        """The replica is about to change its history: end all sessions; subscribers reconnect."""
        self.serving = False
        if self._recent_epoch != self.replica.epoch:
            self._recent_epoch = self.replica.epoch
            self._recent.clear()
            self._unreported.clear()
            self._reported.clear()
            self._departed = {
                name: replace(departed, applied=0) for name, departed in self._departed.items()
            }
        for session in self.sessions.values():
            session.applied = 0
            self._end_session(
                session, Busy(NOT_READY_RETRY_MS, "this source compares what it holds first")
            )

    def moved(self, names: Iterable[str]) -> None:
        """These instances connected to another distributor and no longer count as waiting here.

        A session of such an instance that is still open here is a dead connection not detected yet,
        unless a message arrives on it: then the instance has returned.
        """
        for name in names:
            departed = self._departed.pop(name, None)
            for uid in departed.subscriptions if departed is not None else ():
                self._mark_unreported(uid)
            number = self._by_name.get(name)
            if number is not None:
                self._set_moved(self.sessions[number], True)

    def _set_moved(self, session: Session, moved: bool) -> None:
        if session.moved != moved:
            session.moved = moved
            for uid in session.subscriptions:
                self._mark_unreported(uid)

    def reset_report(self) -> None:
        """The upstream source has no earlier reports: make the next one complete."""
        self._reported.clear()
        self._reported_revision = 0
        self._unreported = dict.fromkeys(self._recent)
        self.joined = [
            session.name
            for session in self.sessions.values()
            if session.welcomed and not session.closing and not session.everything
        ]

    def send_moved(self, distributor: str, names: list[str]) -> None:
        """Tell a distributor that these instances have connected to another one."""
        number = self._by_name.get(distributor)
        if number is None:
            return
        for start in range(0, len(names), MAX_MOVED_NAMES):
            self.sessions[number].control.append(
                InstancesMoved(names[start : start + MAX_MOVED_NAMES])
            )
            self.ready.add(number)

    def tick(self, now: int) -> list[int]:
        """Mark sessions with a due heartbeat as ready. Returns silent sessions, to be closed."""
        silent = []
        for number, session in self.sessions.items():
            if now - session.last_received >= self.parameters.silence_timeout_ns:
                silent.append(number)
            elif (
                session.welcomed
                and now - session.last_heartbeat >= self.parameters.heartbeat_interval_ns
            ):
                self.ready.add(number)
        for name in [
            name for name, departed in self._departed.items() if departed.forget_at <= now
        ]:
            del self._departed[name]
        return silent

    # ---- sending ---------------------------------------------------------------------------

    def next_message(self, number: int, now: int) -> Message | None:
        """Take the next message of a session; None where there is nothing to send now."""
        session = self.sessions[number]
        message = self._choose_message(session, now)
        if message is None:
            self.ready.discard(number)
            return None
        self.messages_out += 1
        return message

    def _choose_message(self, session: Session, now: int) -> Message | None:
        if session.control:
            return session.control.popleft()
        if not session.welcomed or session.closing:
            return None
        if now - session.last_heartbeat >= self.parameters.heartbeat_interval_ns:
            return self._progress(session, now)
        if session.has_unsent and not session.comparing:
            return self._next_batch(session)
        return None

    def _progress(self, session: Session, now: int) -> Progress:
        """Only heartbeats carry the publisher's age, so they are sent even among other messages."""
        session.last_heartbeat = now
        consistent = not session.comparing and not session.has_unsent
        if consistent:
            session.catching_up = False
            session.progress = self.replica.revision
        return Progress(session.progress, self._publisher_age_ms(now), consistent)

    def _next_batch(self, session: Session) -> Changes:
        resources: list[Resource] = []
        size = 0
        while (
            session.has_unsent
            and len(resources) < MAX_BATCH_RESOURCES
            and size < self.parameters.max_batch_bytes
        ):
            resource = self._pop_next_resource(session)
            if resource is None:
                break
            size += len(resource.body) + sum(map(len, resource.aliases))
            resources.append(resource)
        session.newest_held = max(
            [session.newest_held, *(resource.revision for resource in resources)]
        )
        if not session.has_unsent:
            session.catching_up = False
            session.progress = self.replica.revision
        elif not session.catching_up:
            first_unsent = next(iter(session.pending.values())).revision
            session.progress = max(session.progress, min(first_unsent - 1, self.replica.revision))
        return Changes(resources, session.progress, not session.has_unsent)

    def _pop_next_resource(self, session: Session) -> Resource | None:
        while session.backlog:
            uid = session.backlog.pop()
            if uid in self.replica.entries and uid not in session.pending:
                return self.replica.resource(uid, with_aliases=True)
        if not session.pending:
            return None
        uid, pending = session.pending.popitem(last=False)
        return self._pending_resource(session, uid, pending)

    def _pending_resource(self, session: Session, uid: str, pending: _Pending) -> Resource:
        if pending.unchanged:
            return Resource(uid, pending.revision, Kind.UNCHANGED)
        resource = self.replica.resource(uid, with_aliases=session.everything)
        if resource.kind is Kind.REMOVED:
            return Resource(uid, pending.revision, Kind.REMOVED)
        return resource

    def _publisher_age_ms(self, now: int) -> int:
        return 0 if self.is_publisher else max(now - self.publisher_heard_at, 0) // MS

    # ---- messages from subscribers ---------------------------------------------------------

    def _on_hello(self, session: Session, now: int, hello: Hello) -> None:
        if session.welcomed:
            raise ProtocolError("a second hello")
        subscriber_epoch = hello.position.epoch
        if subscriber_epoch > self.replica.epoch and self.serving:
            self.outdated_by = hello.position
            self._end_session(
                session, Busy(OUTDATED_RETRY_MS, "its history is later than this source's")
            )
            return
        if not self.serving:
            self._end_session(session, Busy(NOT_READY_RETRY_MS, "this source is not ready"))
            return
        if hello.only_fresh and self._publisher_age_ms(now) * MS >= self.parameters.stale_after_ns:
            self._end_session(session, Busy(0, STALE_REASON))
            return
        position = self._resume_position(hello)
        compare = not self.replica.covers(position, hello.newest)
        holds = subscriber_epoch != Epoch() or bool(hello.subscriptions)
        if compare and holds and self.replica.consistent_revision < self.replica.parent.revision:
            self._end_session(session, Busy(NOT_READY_RETRY_MS, BEHIND_EPOCH_REASON))
            return
        if (
            compare
            and hello.everything
            and self._full_comparison_count() >= self.parameters.max_full_comparisons
        ):
            self._end_session(
                session, Busy(FULL_COMPARISON_RETRY_MS, "others fetch everything now")
            )
            return
        wait = self._admission.take(now)
        if wait:
            self._end_session(session, Busy(self._retry_after_ms(now, wait), TOO_MANY_REASON))
            return
        self._admit(session, now, hello, compare)
        if not compare:
            self._resume(session, position.revision)

    def _resume_position(self, hello: Hello) -> Position:
        position = hello.position
        if position.epoch == self.replica.epoch:
            return position
        return Position(position.epoch, min(position.revision, hello.consistent_revision))

    def _retry_after_ms(self, now: int, wait: int) -> int:
        """Rejected subscribers get successive retry times, spaced at the admission rate."""
        self._last_retry_at = max(
            self._last_retry_at + round(SECOND / self.parameters.admissions_per_s), now + wait
        )
        self._last_retry_at = min(self._last_retry_at, now + MAX_RETRY_AFTER_NS)
        return (self._last_retry_at - now) // MS + 1

    def _full_comparison_count(self) -> int:
        """How many subscribers of all resources compare, or are being sent the differences."""
        sessions = [self.sessions[number] for number in self._everything]
        return sum(session.comparing or session.catching_up for session in sessions)

    def _admit(self, session: Session, now: int, hello: Hello, compare: bool) -> None:
        session.name = hello.name
        session.everything = hello.everything
        session.welcomed = True
        session.lookup_bucket = Bucket(
            now, self.parameters.lookups_per_s, self.parameters.lookups_per_s
        )
        session.lookup_bucket.fill()
        self._end_previous_session(hello.name)
        self._by_name[hello.name] = session.number
        self._departed.pop(hello.name, None)
        if hello.everything:
            self._everything.add(session.number)
        else:
            self.joined.append(hello.name)
        for uid in hello.subscriptions:
            self._subscribe(session, uid)
        if compare:
            self._begin_comparison(session)
        if not compare or hello.position.epoch == self.replica.epoch:
            session.newest_held = max(hello.position.revision, hello.newest)
        self._welcome(session, now, compare)

    def _end_previous_session(self, name: str) -> None:
        """End an earlier session with this name: its connection is dead, or two subscribers use
        the same name."""
        number = self._by_name.get(name)
        if number is None:
            return
        before = self.sessions[number]
        for uid in list(before.subscriptions):
            self._drop_subscription(before, uid)
        before.backlog.clear()
        before.pending.clear()
        before.closing = True
        self._everything.discard(number)
        self.ready.add(number)

    def _welcome(self, session: Session, now: int, compare: bool) -> None:
        replica = self.replica
        age = self._publisher_age_ms(now)
        session.control.append(Welcome(replica.position, compare, age, replica.parent))
        self.ready.add(session.number)

    def _begin_comparison(self, session: Session) -> None:
        session.open_comparisons += 1
        session.compared_uids.clear()
        session.newest_held = 0
        session.progress = 0
        session.applied = 0

    def _resume(self, session: Session, revision: int) -> None:
        session.progress = min(revision, self.replica.revision)
        if session.everything:
            missed = self.replica.changes_after(revision)
        else:
            missed = self._subscribed_changes_after(session, revision)
        for changed, uid in missed:
            session.pending[uid] = _Pending(changed)

    def _subscribed_changes_after(self, session: Session, revision: int) -> list[tuple[int, str]]:
        """Subscribed resources that changed after `revision`, in the order of their last changes.

        This goes through the subscriptions instead of the recent changes: an instance has far fewer
        of them, and many instances reconnect at once.
        """
        known = ((self._last_change_revision(uid), uid) for uid in session.subscriptions)
        return sorted(change for change in known if change[0] > revision)

    def _last_change_revision(self, uid: str) -> int:
        entry = self.replica.entries.get(uid)
        if entry is not None:
            return entry.revision
        # The known removal may be an earlier one. At its consistent revision the replica was
        # complete and did not have this resource.
        return max(self.replica.resource(uid).revision, self.replica.consistent_revision)

    def _on_versions(self, session: Session, versions: Versions) -> None:
        if not session.comparing:
            raise ProtocolError("versions although no comparison is open")
        if session.open_comparisons > 1:  # this list answers an earlier welcome
            session.open_comparisons -= versions.last
            return
        for row in versions.rows:
            session.compared_uids.add(row.uid)
            if not session.everything:
                self._subscribe(session, row.uid)
            entry = self.replica.entries.get(row.uid)
            if entry is None:
                session.pending[row.uid] = _Pending(self._last_change_revision(row.uid))
            else:
                same = entry.digest == row.digest
                session.pending[row.uid] = _Pending(entry.revision, unchanged=same)
        if versions.last:
            self._end_comparison(session)

    def _end_comparison(self, session: Session) -> None:
        """All differences are queued: sort them by their last changes.

        No progress is reported until all of them are sent. The differences need not be among the
        recent changes, so a subscriber that reconnects earlier has to compare again.
        """
        if session.everything and not session.compared_uids:
            self._begin_backlog(session)
        elif session.everything:
            for uid, entry in self.replica.entries.items():
                if uid not in session.compared_uids:
                    session.pending[uid] = _Pending(entry.revision)
        in_order = sorted(session.pending.items(), key=lambda item: item[1].revision)
        session.pending = OrderedDict(in_order)
        session.compared_uids.clear()
        session.open_comparisons = 0
        session.catching_up = True
        self.ready.add(session.number)

    def _begin_backlog(self, session: Session) -> None:
        """For a subscriber that holds nothing, list all resources except those already queued.

        The backlog holds only uids: creating a queue entry for each would delay other sessions.
        """
        entries = self.replica.entries
        missing = [uid for uid in entries if uid not in session.pending]
        missing.sort(key=lambda uid: entries[uid].revision, reverse=True)
        session.backlog = missing

    def _answer_lookup(self, session: Session, now: int, lookup: Lookup) -> None:
        assert session.lookup_bucket is not None
        if session.lookup_bucket.take(now) or len(session.control) >= MAX_CONTROL_MESSAGES:
            return  # the instance exceeds its lookup rate; this lookup times out there
        uids = [self.replica.owner(alias) for alias in lookup.aliases]
        first: list[Resource] = []
        rest: list[Resource] = []
        size = 0
        for uid in dict.fromkeys(uid for uid in uids if uid):
            if uid not in session.subscriptions:
                session.unapplied_lookups[uid] = lookup.question
            self._subscribe(session, uid)
            resource = self.replica.resource(uid)
            session.newest_held = max(session.newest_held, resource.revision)
            size += len(resource.body)
            fits = not first or size <= self.parameters.max_batch_bytes
            (first if fits else rest).append(resource)
        session.control.append(LookupResult(lookup.question, uids, first, self.replica.revision))
        for resource in rest:
            session.control.append(Changes([resource], 0))
        self.ready.add(session.number)

    def _drop_subscriptions(self, session: Session, unsubscribe: Unsubscribe) -> None:
        for uid in unsubscribe.uids:
            recent = self._recent.get(uid)
            if recent is not None and uid in session.subscriptions:
                recent.removed_count += uid not in self.replica.entries
            self._drop_subscription(session, uid)

    def _record_acknowledgement(self, session: Session, acknowledge: Acknowledge) -> None:
        if session.comparing:
            return  # the acknowledgement refers to the previous epoch
        session.applied = acknowledge.revision
        for uid, question in list(session.unapplied_lookups.items()):
            if acknowledge.answered is None or question <= acknowledge.answered:
                del session.unapplied_lookups[uid]
                self._mark_unreported(uid)
        for refusal in acknowledge.refusals:
            session.refusals[refusal.uid] = refusal
            session.refusals.move_to_end(refusal.uid)
            self._mark_unreported(refusal.uid)
        while len(session.refusals) > MAX_SESSION_REFUSALS:
            session.refusals.popitem(last=False)

    def _subscribe(self, session: Session, uid: str) -> None:
        session.subscriptions.add(uid)
        self._subscribers.setdefault(uid, set()).add(session.number)
        self._mark_unreported(uid)

    def _drop_subscription(self, session: Session, uid: str) -> None:
        session.subscriptions.discard(uid)
        session.pending.pop(uid, None)
        session.refusals.pop(uid, None)
        session.unapplied_lookups.pop(uid, None)
        self._unsubscribe(session, uid)

    def _unsubscribe(self, session: Session, uid: str) -> None:
        numbers = self._subscribers.get(uid)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._subscribers[uid]
        self._mark_unreported(uid)

    def _end_session(self, session: Session, last: Busy) -> None:
        session.control.append(last)
        session.closing = True
        self.ready.add(session.number)

    # ---- rollouts --------------------------------------------------------------------------

    def rollout(self, uid: str, revision: int) -> Rollout:
        """The progress of a change among the instances of this source."""
        subscribed = (self.sessions[n] for n in sorted(self._subscribers.get(uid, ())))
        sessions = [session for session in subscribed if not session.moved]
        refusing = [s for s in sessions if s.has_refused(uid, revision)]
        lagging = [s.name for s in sessions if s.is_waiting_for(uid, revision)]
        lagging += [
            name
            for name, departed in self._departed.items()
            if departed.is_waiting_for(uid, revision)
        ]
        reasons = [(s.name, s.refusals[uid].reason) for s in refusing[:MAX_NAMED_INSTANCES]]
        have = sum(s.has_applied(uid, revision) for s in sessions)
        recent = self._recent.get(uid)
        if recent is not None and recent.revision == revision:
            have += recent.removed_count
        return Rollout(
            uid, revision, have, len(lagging), len(refusing), lagging[:MAX_NAMED_INSTANCES], reasons
        )

    def report(self, now: int) -> Rollouts | None:
        """Rollouts of recent changes that differ from the last report, for the upstream source."""
        while (
            self._recent
            and now - next(iter(self._recent.values())).changed_at > TRACKED_CHANGE_RETENTION_NS
        ):
            self._untrack_oldest_change()
        rows = []
        for uid in list(self._unreported):
            row = self.rollout(uid, self._recent[uid].revision)
            if self._reported.get(uid) != row:
                rows.append(row)
                self._reported[uid] = row
            if not (row.waiting or row.refused):
                del self._unreported[uid]
        joined, self.joined = list(dict.fromkeys(self.joined)), []
        if not rows and not joined and self._reported_revision == self.replica.revision:
            return None
        self._reported_revision = self.replica.revision
        return Rollouts(rows, joined, self._reported_revision)

    def _track_change(self, uid: str, revision: int, now: int) -> None:
        self._recent.pop(uid, None)
        self._recent[uid] = _RecentChange(revision, now)
        self._unreported[uid] = None
        if len(self._recent) > MAX_TRACKED_CHANGES:
            self._untrack_oldest_change()

    def _untrack_oldest_change(self) -> None:
        """Stop tracking the rollout of the oldest change."""
        uid, _ = self._recent.popitem(last=False)
        self._unreported.pop(uid, None)
        self._reported.pop(uid, None)

    def _mark_unreported(self, uid: str) -> None:
        if uid in self._recent:
            self._unreported[uid] = None
