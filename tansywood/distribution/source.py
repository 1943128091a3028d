"""A source's side of distribution: sessions of subscribers over one replica. Pure.

Publisher and distributors are both sources. Each session has a queue with one place for each
resource that has changed since it was last sent, so it is bounded by what is subscribed to and a
slow subscriber gets the latest state, not the history. The queue is in the order of the
resources' last changes: a resource that changes again while it waits goes to the end. So all
changes before the first one that waits have been sent, and a subscriber may resume from there.

Whoever does I/O tells what happens, and takes messages with `next_message` only while a
session's transport takes more, so nobody waits for anybody else.
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
    Found,
    Hello,
    Kind,
    Lookup,
    Message,
    Moved,
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
from tansywood.distribution.replica import Replica
from tansywood.distribution.terms import MS, SECOND, Terms
from tansywood.tenancy.limits import Bucket

BATCH_MOST = 1_024  # resources in one message
NAMED = 5  # instances that are named of those that lag or refuse
NOT_READY_MS = 500
TOO_MANY = "too many at once"
STALE = "this source has not heard the publisher lately"
BEHIND_ITS_EPOCH = "this source has not come up to the beginning of its epoch"
OUTDATED_MS = 1_000
COME_BACK_MOST = 5 * SECOND  # that one who is turned away is told to wait
FETCH_AGAIN_MS = 500
REFUSALS_MOST = 1_024  # kept of one session
MOVED_MOST = 4_096  # names in one message
CONTROL_MOST = 1_024  # answers that wait for one subscriber; more questions are not answered
RECENT = 256  # changes whose rollout is followed
RECENT_FOR = 60 * SECOND


class ProtocolError(ValueError):
    """A subscriber said what it may not say now; its session ends."""


@dataclass(frozen=True, slots=True)
class _Pending:
    """Why a resource waits: its last change, and whether the subscriber has that state."""

    revision: int
    unchanged: bool = False


@dataclass(slots=True)
class _Recent:
    """A change whose rollout is followed; `dropped` counts who has put a removal into force."""

    revision: int
    at: int  # time
    dropped: int = 0


@dataclass(slots=True)
class Session:
    """One subscriber's connection."""

    number: int
    heard: int  # time
    told_age: int  # time of the last heartbeat
    name: str = ""
    everything: bool = False
    welcomed: bool = False
    comparisons: int = 0  # lists of versions that are awaited; the last one counts
    catching_up: bool = False  # what a comparison found has not all been sent
    ahead: int = 0  # the newest revision of this epoch that it may hold anything of
    progress: int = 0  # all up to there has been sent
    applied: int = 0  # all up to there is in force there
    subscriptions: set[str] = field(default_factory=set)
    compared: set[str] = field(default_factory=set)
    backlog: list[str] = field(default_factory=list)  # sent before `pending`, from its end
    pending: OrderedDict[str, _Pending] = field(default_factory=OrderedDict)
    refusals: OrderedDict[str, Refusal] = field(default_factory=OrderedDict)
    found: dict[str, int] = field(default_factory=dict)  # by which lookup; not in force there yet
    control: deque[Message] = field(default_factory=deque)
    lookups: Bucket | None = None
    moved: bool = False  # its instance has come to another distributor since
    ends: bool = False  # closed once what it has to be told is sent

    @property
    def comparing(self) -> bool:
        return self.comparisons > 0

    @property
    def waits(self) -> bool:
        """Whether there is something to be sent of what it subscribes to."""
        return bool(self.backlog or self.pending)

    def has(self, uid: str, revision: int) -> bool:
        """Whether a change is in force there."""
        return not self.lacks(uid, revision) and not self.refuses(uid, revision)

    def lacks(self, uid: str, revision: int) -> bool:
        """Whether it has neither put a change into force nor refused it, as far as is known."""
        return (self.applied < revision or uid in self.found) and not self.refuses(uid, revision)

    def refuses(self, uid: str, revision: int) -> bool:
        refusal = self.refusals.get(uid)
        return refusal is not None and refusal.revision >= revision


@dataclass(frozen=True, slots=True)
class _Away:
    """An instance whose connection ended and that has not been heard of since."""

    until: int
    applied: int
    subscriptions: frozenset[str]

    def lacks(self, uid: str, revision: int) -> bool:
        return self.applied < revision and uid in self.subscriptions


class Source:
    """Sessions over one replica; counters only grow."""

    def __init__(self, replica: Replica, terms: Terms, now: int, is_publisher: bool) -> None:
        self.replica = replica
        self.terms = terms
        self.is_publisher = is_publisher
        self.serving = is_publisher
        self.sessions: dict[int, Session] = {}
        self.ready: set[int] = set()  # sessions that have something to be sent
        self.heard_publisher = now
        self.outdated_by: Position | None = None  # a subscriber knew a later history than ours
        self.joined: list[str] = []  # instances since the last report upwards
        self.messages_out = 0
        self.messages_in = 0
        self._subscribers: dict[str, set[int]] = {}
        self._everything: set[int] = set()
        self._by_name: dict[str, int] = {}
        self._away: dict[str, _Away] = {}
        self._recent: OrderedDict[str, _Recent] = OrderedDict()  # the last change of each uid
        self._recent_epoch = replica.epoch
        self._unsettled: dict[str, None] = {}  # recent ones whose sums may have changed
        self._reported: dict[str, Rollout] = {}
        self._reported_to = 0  # the revision
        self._admission = Bucket(now, terms.admit_per_s, terms.admit_burst)
        self._admission.fill()
        self._promised = now  # when the last one that was turned away was told to come back
        self._next_number = 1

    # ---- what happens ----------------------------------------------------------------------

    def opened(self, now: int) -> int:
        """A connection, by the number that names its session from now on."""
        number = self._next_number
        self._next_number += 1
        self.sessions[number] = Session(number, heard=now, told_age=now)
        return number

    def closed(self, number: int, now: int) -> None:
        """A connection has ended."""
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
                held = frozenset(session.subscriptions)
                until = now + self.terms.away
                self._away[session.name] = _Away(until, session.applied, held)

    def received(self, number: int, now: int, message: Message) -> None:
        """ProtocolError where the subscriber may not say this."""
        session = self.sessions[number]
        session.heard = now
        if session.moved:
            # It is here after all. The publisher was told otherwise, perhaps of a connection
            # elsewhere that was dead and not noticed: it hears so again, and tells the other one.
            self._set_moved(session, False)
            self.joined.append(session.name)
        self.messages_in += 1
        if session.ends:
            return
        if isinstance(message, Hello):
            self._hello(session, now, message)
        elif not session.welcomed:
            raise ProtocolError(f"{type(message).__name__} before a welcome")
        elif isinstance(message, Acknowledge):
            self._acknowledged(session, message)
        elif isinstance(message, Lookup):
            self._looked_up(session, now, message)
        elif isinstance(message, Unsubscribe):
            self._given_up(session, message)
        elif isinstance(message, Versions):
            self._compare(session, message)
        elif not isinstance(message, Rollouts):  # those are the publisher's own to sum up
            raise ProtocolError(f"{type(message).__name__} is not for a source")

    def changed(self, uid: str, revision: int, now: int) -> None:
        """A resource of the replica is another; revisions only grow."""
        self._follow(uid, revision, now)
        for number in (*self._subscribers.get(uid, ()), *self._everything):
            session = self.sessions[number]
            session.pending.pop(uid, None)  # it goes to the end: see the module's text
            session.pending[uid] = _Pending(revision)
            self.ready.add(number)

    def publisher_heard(self, at: int) -> None:
        """When the publisher, or a source next to it, was heard last."""
        self.heard_publisher = max(self.heard_publisher, at)

    def epoch_continued(self, now: int) -> None:
        """The replica went over to an epoch that continues its own history.

        Who holds something newer than this epoch's beginning has to compare; not here, while we
        have not come up to that beginning ourselves: ours may be older.
        """
        self._recent_epoch = self.replica.epoch
        parent = self.replica.parent.revision
        for session in self.sessions.values():
            if not session.welcomed or session.ends:
                continue
            compare = session.comparing or max(session.ahead, session.progress) > parent
            if compare and self.replica.whole < parent:
                self._end(session, Busy(NOT_READY_MS, BEHIND_ITS_EPOCH))
                continue
            if compare:
                self._begin_comparison(session)
            self._welcome(session, now, compare)

    def stop_serving(self) -> None:
        """The replica is about to change its history: everybody comes again afterwards."""
        self.serving = False
        if self._recent_epoch != self.replica.epoch:
            self._recent_epoch = self.replica.epoch
            self._recent.clear()
            self._unsettled.clear()
            self._reported.clear()
            self._away = {name: replace(away, applied=0) for name, away in self._away.items()}
        for session in self.sessions.values():
            session.applied = 0
            self._end(session, Busy(NOT_READY_MS, "this source compares what it holds first"))

    def moved(self, names: Iterable[str]) -> None:
        """These instances have come to another distributor: they are not waited for here.

        A session that is still open here is dead, and nobody has noticed yet, unless something
        is heard on it: then its instance has come back.
        """
        for name in names:
            away = self._away.pop(name, None)
            for uid in away.subscriptions if away is not None else ():
                self._sums_change(uid)
            number = self._by_name.get(name)
            if number is not None:
                self._set_moved(self.sessions[number], True)

    def _set_moved(self, session: Session, moved: bool) -> None:
        if session.moved != moved:
            session.moved = moved
            for uid in session.subscriptions:
                self._sums_change(uid)

    def report_again(self) -> None:
        """The source above knows nothing of before: the next report says all that is known."""
        self._reported.clear()
        self._reported_to = 0
        self._unsettled = dict.fromkeys(self._recent)
        self.joined = [
            session.name
            for session in self.sessions.values()
            if session.welcomed and not session.ends and not session.everything
        ]

    def tell_moved(self, distributor: str, names: list[str]) -> None:
        """Tell a distributor so."""
        number = self._by_name.get(distributor)
        if number is None:
            return
        for start in range(0, len(names), MOVED_MOST):
            self.sessions[number].control.append(Moved(names[start : start + MOVED_MOST]))
            self.ready.add(number)

    def tick(self, now: int) -> list[int]:
        """Heartbeats that are due become ready. Returns sessions to be closed for silence."""
        silent = []
        for number, session in self.sessions.items():
            if now - session.heard >= self.terms.silence:
                silent.append(number)
            elif session.welcomed and now - session.told_age >= self.terms.heartbeat:
                self.ready.add(number)
        for name in [name for name, away in self._away.items() if away.until <= now]:
            del self._away[name]
        return silent

    # ---- what is to be sent ----------------------------------------------------------------

    def next_message(self, number: int, now: int) -> Message | None:
        """The next one of a session; None where it has nothing to be told now."""
        session = self.sessions[number]
        message = self._next(session, now)
        if message is None:
            self.ready.discard(number)
            return None
        self.messages_out += 1
        return message

    def _next(self, session: Session, now: int) -> Message | None:
        if session.control:
            return session.control.popleft()
        if not session.welcomed or session.ends:
            return None
        if now - session.told_age >= self.terms.heartbeat:
            return self._progress(session, now)
        if session.waits and not session.comparing:
            return self._batch(session)
        return None

    def _progress(self, session: Session, now: int) -> Progress:
        """Due each heartbeat, whatever else is said: only this tells the publisher's age."""
        session.told_age = now
        whole = not session.comparing and not session.waits
        if whole:
            session.catching_up = False
            session.progress = self.replica.revision
        return Progress(session.progress, self._age_ms(now), whole)

    def _batch(self, session: Session) -> Changes:
        resources: list[Resource] = []
        size = 0
        while session.waits and len(resources) < BATCH_MOST and size < self.terms.batch_bytes:
            resource = self._take_first(session)
            if resource is None:
                break
            size += len(resource.body) + sum(map(len, resource.aliases))
            resources.append(resource)
        session.ahead = max([session.ahead, *(resource.revision for resource in resources)])
        if not session.waits:
            session.catching_up = False
            session.progress = self.replica.revision
        elif not session.catching_up:
            waits = next(iter(session.pending.values())).revision
            session.progress = max(session.progress, min(waits - 1, self.replica.revision))
        return Changes(resources, session.progress, not session.waits)

    def _take_first(self, session: Session) -> Resource | None:
        while session.backlog:
            uid = session.backlog.pop()
            if uid in self.replica.entries and uid not in session.pending:
                return self.replica.resource(uid, with_aliases=True)
        if not session.pending:
            return None
        uid, pending = session.pending.popitem(last=False)
        return self._resource(session, uid, pending)

    def _resource(self, session: Session, uid: str, pending: _Pending) -> Resource:
        if pending.unchanged:
            return Resource(uid, pending.revision, Kind.UNCHANGED)
        resource = self.replica.resource(uid, with_aliases=session.everything)
        if resource.kind is Kind.REMOVED:
            return Resource(uid, pending.revision, Kind.REMOVED)
        return resource

    def _age_ms(self, now: int) -> int:
        return 0 if self.is_publisher else max(now - self.heard_publisher, 0) // MS

    # ---- a subscriber's messages -----------------------------------------------------------

    def _hello(self, session: Session, now: int, hello: Hello) -> None:
        if session.welcomed:
            raise ProtocolError("a second hello")
        theirs = hello.position.epoch
        if theirs > self.replica.epoch and self.serving:
            self.outdated_by = hello.position
            self._end(session, Busy(OUTDATED_MS, "its history is later than this source's"))
            return
        if not self.serving:
            self._end(session, Busy(NOT_READY_MS, "this source is not ready"))
            return
        if hello.only_fresh and self._age_ms(now) * MS >= self.terms.stale:
            self._end(session, Busy(0, STALE))
            return
        position = self._resume_from(hello)
        compare = not self.replica.covers(position, hello.newest)
        holds = theirs != Epoch() or bool(hello.subscriptions)
        if compare and holds and self.replica.whole < self.replica.parent.revision:
            self._end(session, Busy(NOT_READY_MS, BEHIND_ITS_EPOCH))
            return
        if compare and hello.everything and self._fetching() >= self.terms.fetches:
            self._end(session, Busy(FETCH_AGAIN_MS, "others fetch everything now"))
            return
        wait = self._admission.take(now)
        if wait:
            self._end(session, Busy(self._come_back_ms(now, wait), TOO_MANY))
            return
        self._admit(session, now, hello, compare)
        if not compare:
            self._resume(session, position.revision)

    def _resume_from(self, hello: Hello) -> Position:
        position = hello.position
        if position.epoch == self.replica.epoch:
            return position
        return Position(position.epoch, min(position.revision, hello.whole))

    def _come_back_ms(self, now: int, wait: int) -> int:
        """Those who are turned away are told times one after the other, at the admitted rate."""
        self._promised = max(self._promised + round(SECOND / self.terms.admit_per_s), now + wait)
        self._promised = min(self._promised, now + COME_BACK_MOST)
        return (self._promised - now) // MS + 1

    def _fetching(self) -> int:
        """How many subscribers of everything compare, or are sent what differs."""
        sessions = [self.sessions[number] for number in self._everything]
        return sum(session.comparing or session.catching_up for session in sessions)

    def _admit(self, session: Session, now: int, hello: Hello, compare: bool) -> None:
        session.name = hello.name
        session.everything = hello.everything
        session.welcomed = True
        session.lookups = Bucket(now, self.terms.lookups_per_s, self.terms.lookups_per_s)
        session.lookups.fill()
        self._replace(hello.name)
        self._by_name[hello.name] = session.number
        self._away.pop(hello.name, None)
        if hello.everything:
            self._everything.add(session.number)
        else:
            self.joined.append(hello.name)
        for uid in hello.subscriptions:
            self._subscribe(session, uid)
        if compare:
            self._begin_comparison(session)
        if not compare or hello.position.epoch == self.replica.epoch:
            session.ahead = max(hello.position.revision, hello.newest)
        self._welcome(session, now, compare)

    def _replace(self, name: str) -> None:
        """A session of this name is there already: its connection is dead, or its name is used
        twice."""
        number = self._by_name.get(name)
        if number is None:
            return
        before = self.sessions[number]
        for uid in list(before.subscriptions):
            self._drop_subscription(before, uid)
        before.backlog.clear()
        before.pending.clear()
        before.ends = True
        self._everything.discard(number)
        self.ready.add(number)

    def _welcome(self, session: Session, now: int, compare: bool) -> None:
        replica = self.replica
        age = self._age_ms(now)
        session.control.append(Welcome(replica.position, compare, age, replica.parent))
        self.ready.add(session.number)

    def _begin_comparison(self, session: Session) -> None:
        session.comparisons += 1
        session.compared.clear()
        session.ahead = 0
        session.progress = 0
        session.applied = 0

    def _resume(self, session: Session, revision: int) -> None:
        session.progress = min(revision, self.replica.revision)
        if session.everything:
            behind = self.replica.changes_behind(revision)
        else:
            behind = self._subscribed_behind(session, revision)
        for changed, uid in behind:
            session.pending[uid] = _Pending(changed)

    def _subscribed_behind(self, session: Session, revision: int) -> list[tuple[int, str]]:
        """What has changed of some subscriptions, in the order of the last changes. An instance
        has far fewer of them than there are recent changes, and many come back at once."""
        known = ((self._last_change(uid), uid) for uid in session.subscriptions)
        return sorted(change for change in known if change[0] > revision)

    def _last_change(self, uid: str) -> int:
        entry = self.replica.entries.get(uid)
        if entry is not None:
            return entry.revision
        # A removal that is known may be that of an earlier one: where we were whole it was not.
        return max(self.replica.resource(uid).revision, self.replica.whole)

    def _compare(self, session: Session, versions: Versions) -> None:
        if not session.comparing:
            raise ProtocolError("versions that nobody asked for")
        if session.comparisons > 1:  # it did not know of the last welcome yet
            session.comparisons -= versions.last
            return
        for row in versions.rows:
            session.compared.add(row.uid)
            if not session.everything:
                self._subscribe(session, row.uid)
            entry = self.replica.entries.get(row.uid)
            if entry is None:
                session.pending[row.uid] = _Pending(self._last_change(row.uid))
            else:
                same = entry.digest == row.digest
                session.pending[row.uid] = _Pending(entry.revision, unchanged=same)
        if versions.last:
            self._end_comparison(session)

    def _end_comparison(self, session: Session) -> None:
        """All that differs waits now: bring it into the order of the last changes.

        Until all of it is sent no progress is claimed: what was compared has no place among the
        recent changes, so a reconnect in between has to compare again.
        """
        if session.everything and not session.compared:
            self._begin_backlog(session)
        elif session.everything:
            for uid, entry in self.replica.entries.items():
                if uid not in session.compared:
                    session.pending[uid] = _Pending(entry.revision)
        in_order = sorted(session.pending.items(), key=lambda item: item[1].revision)
        session.pending = OrderedDict(in_order)
        session.compared.clear()
        session.comparisons = 0
        session.catching_up = True
        self.ready.add(session.number)

    def _begin_backlog(self, session: Session) -> None:
        """For one that holds nothing: all there is, but for what has changed since it came. Only
        names wait here: places in the queue would hold up all other sessions while they are made.
        """
        entries = self.replica.entries
        missing = [uid for uid in entries if uid not in session.pending]
        missing.sort(key=lambda uid: entries[uid].revision, reverse=True)
        session.backlog = missing

    def _looked_up(self, session: Session, now: int, lookup: Lookup) -> None:
        assert session.lookups is not None
        if session.lookups.take(now) or len(session.control) >= CONTROL_MOST:
            return  # it asks more often than its terms say; its own time limit answers it
        uids = [self.replica.owner(alias) for alias in lookup.aliases]
        first: list[Resource] = []
        rest: list[Resource] = []
        size = 0
        for uid in dict.fromkeys(uid for uid in uids if uid):
            if uid not in session.subscriptions:
                session.found[uid] = lookup.question
            self._subscribe(session, uid)
            resource = self.replica.resource(uid)
            session.ahead = max(session.ahead, resource.revision)
            size += len(resource.body)
            fits = not first or size <= self.terms.batch_bytes
            (first if fits else rest).append(resource)
        session.control.append(Found(lookup.question, uids, first, self.replica.revision))
        for resource in rest:
            session.control.append(Changes([resource], 0))
        self.ready.add(session.number)

    def _given_up(self, session: Session, unsubscribe: Unsubscribe) -> None:
        for uid in unsubscribe.uids:
            recent = self._recent.get(uid)
            if recent is not None and uid in session.subscriptions:
                recent.dropped += uid not in self.replica.entries
            self._drop_subscription(session, uid)

    def _acknowledged(self, session: Session, acknowledge: Acknowledge) -> None:
        if session.comparing:
            return  # said of the epoch before
        session.applied = acknowledge.revision
        for uid, question in list(session.found.items()):
            if acknowledge.answered is None or question <= acknowledge.answered:
                del session.found[uid]
                self._sums_change(uid)
        for refusal in acknowledge.refusals:
            session.refusals[refusal.uid] = refusal
            session.refusals.move_to_end(refusal.uid)
            self._sums_change(refusal.uid)
        while len(session.refusals) > REFUSALS_MOST:
            session.refusals.popitem(last=False)

    def _subscribe(self, session: Session, uid: str) -> None:
        session.subscriptions.add(uid)
        self._subscribers.setdefault(uid, set()).add(session.number)
        self._sums_change(uid)

    def _drop_subscription(self, session: Session, uid: str) -> None:
        session.subscriptions.discard(uid)
        session.pending.pop(uid, None)
        session.refusals.pop(uid, None)
        session.found.pop(uid, None)
        self._unsubscribe(session, uid)

    def _unsubscribe(self, session: Session, uid: str) -> None:
        numbers = self._subscribers.get(uid)
        if numbers is not None:
            numbers.discard(session.number)
            if not numbers:
                del self._subscribers[uid]
        self._sums_change(uid)

    def _end(self, session: Session, last: Busy) -> None:
        session.control.append(last)
        session.ends = True
        self.ready.add(session.number)

    # ---- how far changes have come ---------------------------------------------------------

    def rollout(self, uid: str, revision: int) -> Rollout:
        """How far a change has come among the instances here."""
        subscribed = (self.sessions[n] for n in sorted(self._subscribers.get(uid, ())))
        sessions = [session for session in subscribed if not session.moved]
        refusing = [s for s in sessions if s.refuses(uid, revision)]
        lagging = [s.name for s in sessions if s.lacks(uid, revision)]
        lagging += [name for name, away in self._away.items() if away.lacks(uid, revision)]
        reasons = [(s.name, s.refusals[uid].reason) for s in refusing[:NAMED]]
        have = sum(s.has(uid, revision) for s in sessions)
        recent = self._recent.get(uid)
        if recent is not None and recent.revision == revision:
            have += recent.dropped
        return Rollout(uid, revision, have, len(lagging), len(refusing), lagging[:NAMED], reasons)

    def report(self, now: int) -> Rollouts | None:
        """What is news of the rollouts of recent changes, for the source above."""
        while self._recent and now - next(iter(self._recent.values())).at > RECENT_FOR:
            self._follow_no_longer()
        rows = []
        for uid in list(self._unsettled):
            row = self.rollout(uid, self._recent[uid].revision)
            if self._reported.get(uid) != row:
                rows.append(row)
                self._reported[uid] = row
            if not (row.waiting or row.refused):
                del self._unsettled[uid]
        joined, self.joined = list(dict.fromkeys(self.joined)), []
        if not rows and not joined and self._reported_to == self.replica.revision:
            return None
        self._reported_to = self.replica.revision
        return Rollouts(rows, joined, self._reported_to)

    def _follow(self, uid: str, revision: int, now: int) -> None:
        self._recent.pop(uid, None)
        self._recent[uid] = _Recent(revision, now)
        self._unsettled[uid] = None
        if len(self._recent) > RECENT:
            self._follow_no_longer()

    def _follow_no_longer(self) -> None:
        """Of the oldest change."""
        uid, _ = self._recent.popitem(last=False)
        self._unsettled.pop(uid, None)
        self._reported.pop(uid, None)

    def _sums_change(self, uid: str) -> None:
        if uid in self._recent:
            self._unsettled[uid] = None
