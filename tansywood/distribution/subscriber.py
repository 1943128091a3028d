"""The subscriber's side of distribution: choosing a source, resuming, heartbeats. No I/O.

Instances and distributors are subscribers; a distributor subscribes to all resources. The I/O layer
reports events with the current time and carries out `actions` in their order. A subscriber follows
one source at a time. While it has no connection, everything that it holds stays in force.

A subscriber leaves a source of an older history at once. It leaves a source that does not hear the
publisher for one that does. `Dialing` decides when to dial which source; `Subscriber` follows the
first one that answers.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from tansywood.distribution.dialing import NEVER, Dialing
from tansywood.distribution.messages import (
    Acknowledge,
    Busy,
    Changes,
    Hello,
    InstancesMoved,
    Kind,
    Lookup,
    LookupResult,
    Message,
    Progress,
    Refusal,
    Resource,
    Unsubscribe,
    Versions,
    Welcome,
)
from tansywood.distribution.parameters import MS, Parameters
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import ProtocolError

MAX_VERSIONS_PER_MESSAGE = 4_000  # in one message
MAX_REFUSALS_PER_MESSAGE = 1_000  # in one message


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to a source; report the result to `connected` or `disconnected` with `attempt`."""

    attempt: int
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the attempt's connection and report no further events of it."""

    attempt: int
    why: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the followed source."""

    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Put the replica's current state of these resources into force, then call `applied` with the
    batch number. A resource that the replica does not have was removed."""

    batch: int
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a lookup: one uid per alias, empty where the alias has no owner. `uids` is None
    where no source answered in time."""

    question: int
    uids: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class EpochContinued:
    """The replica changed to an epoch that continues its history."""


@dataclass(frozen=True, slots=True)
class HistoryChanged:
    """The replica changes to another history, or a distributor's replica missed changes that no
    source remembers. A comparison determines which held state is still valid."""


Action = Dial | Disconnect | Send | Apply | Answer | EpochContinued | HistoryChanged


class Link(Enum):
    """State of the connection to a source."""

    DOWN = "down"
    DIALING = "dialing"
    GREETING = "greeting"
    UP = "up"


@dataclass(slots=True)
class _OpenLookup:
    """A lookup without an answer, and the serial number of the last message that asked for it."""

    aliases: tuple[str, ...]
    deadline: int
    retry_at: int = NEVER
    serial: int = 0  # of the last message that asked for it


@dataclass(slots=True)
class _Batch:
    """Resources that are put into force together, and the progress that this completes."""

    number: int
    progress: int
    uids: tuple[str, ...] = ()
    lookup: int = 0  # the lookup that this batch answers, 0 for none
    done: bool = False
    obsolete: bool = False  # its revisions belong to a history that was left


class Subscriber:
    """Follows one source at a time out of several."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        replica: Replica,
        parameters: Parameters,
        random: Random,
        now: int,
        everything: bool = False,
    ) -> None:
        """`addresses` are those of all sources; each subscriber has its own order of them."""
        self.name = name
        self.replica = replica
        self.subscriptions: set[str] = set()  # of an instance, at the followed source
        self.parameters = parameters
        self.everything = everything
        self.actions: list[Action] = []
        self.link = Link.DOWN
        self.dialing = Dialing(name, addresses, parameters, random, now)
        self.connections = 0  # welcomes received so far
        self.losses = 0
        self.left_stale = 0
        self.last_loss = ""
        self.attempt = 0  # the followed attempt, or else the last dialled one
        # The address of the followed source, or else the last dialled one.
        self.address = self.dialing.addresses[0]
        self._welcome_due = NEVER  # deadline for the welcome after a hello
        self._last_received = now
        self._last_sent = now
        self._publisher_heard_at: int | None = None
        self._next_stale_check = now
        self._stale_check_backoff = parameters.stale_check_backoff_base_ns
        # Other sources that may still be asked for one that hears the publisher.
        self._stale_switches_left = 0
        self._open_lookups: OrderedDict[int, _OpenLookup] = OrderedDict()
        self._next_lookup = 1
        self._next_serial = 1
        # Open lookups by the serial number of the message that asked last.
        self._lookup_by_serial: dict[int, int] = {}
        # Answers to lookups with an earlier serial number do not subscribe to the resource.
        self._unsubscribed_before: OrderedDict[str, int] = OrderedDict()
        self._pending_batches: deque[_Batch] = deque()
        self._next_batch = 1
        self._acknowledged = 0
        self._applied_lookup = 0  # results of lookups up to this serial are in force
        # The lookup whose answer is incomplete, and the resources that still follow.
        self._partial_lookup: tuple[int, set[str]] = (0, set())
        self._current_refusals: dict[str, Refusal] = {}  # refused states of held resources
        self._unsent_refusals: dict[str, Refusal] = {}  # refusals not sent to the source yet

    # ---- the connection --------------------------------------------------------------------

    def publisher_age(self, now: int) -> int | None:
        """Nanoseconds since the publisher was heard through any source; None where it never was."""
        if self._publisher_heard_at is None:
            return None
        return max(now - self._publisher_heard_at, 0)

    def connected(self, attempt: int, now: int) -> None:
        """Follow the first source that answers; other dials are closed before they get a hello."""
        if attempt not in self.dialing:
            return
        answered, others = self.dialing.answered(attempt)
        for other in others:
            self.actions.append(Disconnect(other, "another source answered first"))
        self.link = Link.GREETING
        self.attempt = attempt
        self.address = answered.address
        self._welcome_due = answered.deadline
        self._last_received = now
        self._send_hello(now)

    def _send_hello(self, now: int) -> None:
        replica = self.replica
        self.subscriptions = set() if self.everything else set(replica.entries)
        self._lookup_by_serial.clear()
        self._unsubscribed_before.clear()
        self._partial_lookup = (0, set())
        self._exclude_unapplied()
        held = list(self.subscriptions)
        only_fresh = self._stale_switches_left > 0
        position = replica.position
        hello = Hello(
            self.name,
            self.everything,
            position,
            held,
            replica.newest_revision,
            only_fresh,
            replica.consistent_revision,
        )
        self._send(hello, now)

    def disconnected(self, attempt: int, now: int, why: str = "closed") -> None:
        """A dial failed, or the connection to the followed source ended."""
        if attempt in self.dialing:
            self._dial_failed(attempt, now, why)
        elif attempt == self.attempt and self.link in (Link.GREETING, Link.UP):
            self._connection_lost(now, why)

    def tick(self, now: int) -> None:
        """Do whatever is due. Has to be called by the time that `next_due` returns."""
        if self.link in (Link.DOWN, Link.DIALING):
            self._dial(now)
        elif self.link is Link.GREETING:
            if now >= self._welcome_due:
                self._disconnect(now, f"no welcome in {self.parameters.dial_timeout_ns // MS} ms")
        elif now - self._last_received >= self.parameters.silence_timeout_ns:
            self._disconnect(now, f"silent for {self.parameters.silence_timeout_ns // MS} ms")
        elif now - self._last_sent >= self.parameters.heartbeat_interval_ns:
            self._acknowledge(now)
        self._retry_lookups(now)

    def next_due(self) -> int:
        """The time by which `tick` has to be called next."""
        if self.link is Link.UP:
            due = min(
                self._last_received + self.parameters.silence_timeout_ns,
                self._last_sent + self.parameters.heartbeat_interval_ns,
            )
        elif self.link is Link.GREETING:
            due = self._welcome_due
        else:
            due = self.dialing.next_due()
        for question in self._open_lookups.values():
            retry_at = question.retry_at if self.link is Link.UP else NEVER
            due = min(due, question.deadline, retry_at)
        return due

    def _dial(self, now: int) -> None:
        """End dials that were not answered in time, and start the one that is due."""
        for attempt in self.dialing.expired(now):
            why = f"no welcome in {self.parameters.dial_timeout_ns // MS} ms"
            self.actions.append(Disconnect(attempt, why))
            self._dial_failed(attempt, now, why)
        due = self.dialing.next_attempt(now)
        if due is not None:
            self.link = Link.DIALING
            self.attempt = due.number
            self.address = due.address
            self.actions.append(Dial(due.number, due.address))

    def _dial_failed(self, attempt: int, now: int, why: str) -> None:
        self._count_loss(self.dialing.failed(attempt, now), why)
        if not self.dialing:
            self.link = Link.DOWN

    def _disconnect(self, now: int, why: str) -> None:
        self.actions.append(Disconnect(self.attempt, why))
        self._connection_lost(now, why)

    def _on_busy(self, now: int, busy: Busy) -> None:
        """The source is busy: do not dial it again before its retry time plus a random delay."""
        self.dialing.defer(self.address, now, busy.retry_after_ms * MS)
        self._stale_switches_left = max(self._stale_switches_left - 1, 0)
        self._disconnect(now, f"busy: {busy.reason}")

    def _connection_lost(self, now: int, why: str) -> None:
        """The followed source is lost: dial the next one after a random delay."""
        self.link = Link.DOWN
        self._count_loss(self.address, why)
        self.dialing.source_lost(now)

    def _count_loss(self, address: str, why: str) -> None:
        self.losses += 1
        self.last_loss = f"{address}: {why}"

    # ---- messages --------------------------------------------------------------------------

    def received(self, attempt: int, now: int, message: Message) -> None:
        """Handle a message. Raises ProtocolError where a source may not send it now; the caller
        then closes the connection."""
        if attempt != self.attempt or self.link in (Link.DOWN, Link.DIALING):
            return
        self._last_received = now
        if isinstance(message, Welcome):
            self._on_welcome(now, message)
        elif isinstance(message, Busy):
            self._on_busy(now, message)
        elif self.link is not Link.UP:
            raise ProtocolError(f"{type(message).__name__} before a welcome")
        elif isinstance(message, Changes):
            self._on_changes(now, message)
        elif isinstance(message, Progress):
            self._on_progress(now, message)
        elif isinstance(message, LookupResult):
            self._on_lookup_result(now, message)
        # The distributor itself handles InstancesMoved.
        elif not isinstance(message, InstancesMoved):
            raise ProtocolError(f"{type(message).__name__} is not for a subscriber")

    def _on_welcome(self, now: int, welcome: Welcome) -> None:
        replica = self.replica
        if welcome.position.epoch < replica.epoch:
            self._disconnect(now, "its history is older than what is held")
            return
        first = self.link is Link.GREETING
        self.link = Link.UP
        self._note_publisher_age(now, welcome.age_ms)
        if welcome.position.epoch > replica.epoch:
            self._change_epoch(welcome)
        elif welcome.compare and self.everything:
            replica.reset_position()
            self.actions.append(HistoryChanged())
        if welcome.compare:
            self._send_versions(now)
        if first:
            self._start_session(now)

    def _start_session(self, now: int) -> None:
        """Tell the new source what is in force and what is refused, and repeat the open lookups."""
        self.connections += 1
        self.dialing.welcomed()
        self._unsent_refusals = dict(self._current_refusals)
        self._acknowledge(now)
        for number, question in self._open_lookups.items():
            self._send_lookup(number, question, now)

    def _change_epoch(self, welcome: Welcome) -> None:
        replica = self.replica
        if welcome.compare:
            self._acknowledged = 0
            for batch in self._pending_batches:
                batch.progress = 0
                batch.obsolete = True
            for uid, refusal in self._current_refusals.items():
                self._current_refusals[uid] = Refusal(uid, 0, refusal.reason)
            replica.switch_history(welcome.position.epoch, welcome.parent)
            self.actions.append(HistoryChanged())
        else:
            replica.begin_epoch(welcome.position.epoch, welcome.parent)
            self._acknowledge_at_most(replica.consistent_revision)
            self.actions.append(EpochContinued())

    def _send_versions(self, now: int) -> None:
        """Send the versions of all held resources.

        A resource can be subscribed to but not held, because the source knew only an older state
        than the subscriber had held. It is not compared: its subscription ends, and an open lookup
        asks for it again.
        """
        if not self.everything:
            absent = self.subscriptions - self.replica.entries.keys()
            self._unsubscribe(sorted(absent), now)
        rows = list(self.replica.versions())
        for start in range(0, max(len(rows), 1), MAX_VERSIONS_PER_MESSAGE):
            chunk = rows[start : start + MAX_VERSIONS_PER_MESSAGE]
            self._send(Versions(chunk, start + MAX_VERSIONS_PER_MESSAGE >= len(rows)), now)

    def _on_changes(self, now: int, changes: Changes) -> None:
        # Changes sent before the source read an unsubscription are ignored.
        wanted = [r for r in changes.resources if self.everything or r.uid in self.subscriptions]
        self._take_resources(wanted, changes.progress, self._completed_lookup(wanted))
        self._unsubscribe_absent(wanted, now)
        self.replica.advance(changes.progress, changes.consistent)
        self._acknowledge_applied(now)

    def _take_resources(
        self, resources: Sequence[Resource], progress: int, answered: int = 0
    ) -> None:
        """Store resources that are newer than the held ones and have them put into force.
        `answered` is the lookup that found them, 0 for none."""
        taken = [r for r in resources if self.replica.apply(r)]
        if self.everything:
            for resource in taken:
                self.replica.record_change(resource.revision, resource.uid)
        self._refuse_unchanged(resources)
        uids = tuple(resource.uid for resource in taken)
        batch = _Batch(self._next_batch, progress, uids, answered, done=not uids)
        self._next_batch += 1
        self._pending_batches.append(batch)
        if uids:
            self.actions.append(Apply(batch.number, uids))

    def _completed_lookup(self, resources: Sequence[Resource]) -> int:
        """The lookup whose answer these resources complete, or 0. Resources that do not fit into an
        answer follow it, before the next answer."""
        question, missing = self._partial_lookup
        missing.difference_update(resource.uid for resource in resources)
        if not missing:
            self._partial_lookup = (0, set())
            return question
        return 0

    def _refuse_unchanged(self, resources: Sequence[Resource]) -> None:
        """A refused resource that is reported unchanged is refused at its new revision as well.

        While a later state is being put into force, "unchanged" refers to that state instead, so
        the refusal does not carry over.
        """
        undecided = {uid for batch in self._pending_batches if not batch.done for uid in batch.uids}
        for resource in resources:
            refusal = self._current_refusals.get(resource.uid)
            unchanged = resource.kind is Kind.UNCHANGED and resource.uid not in undecided
            if unchanged and refusal is not None:
                self._refuse(Refusal(resource.uid, resource.revision, refusal.reason))

    def _on_progress(self, now: int, progress: Progress) -> None:
        self.replica.advance(progress.progress, progress.consistent)
        self._pending_batches.append(_Batch(0, progress.progress, done=True))
        if len(self._pending_batches) > 1 and self._pending_batches[-2].number == 0:
            del self._pending_batches[-2]  # the later heartbeat includes the earlier one
        self._acknowledge_applied(now)
        self._note_publisher_age(now, progress.age_ms)
        if not self.everything:
            self._leave_stale_source(now, progress.age_ms * MS)

    def _note_publisher_age(self, now: int, age_ms: int) -> None:
        heard = now - age_ms * MS
        self._publisher_heard_at = max(heard, self._publisher_heard_at or heard)

    def _leave_stale_source(self, now: int, age: int) -> None:
        """Leave a source that does not hear the publisher, as another one may.

        Some other sources are asked in quick succession. The interval between such searches
        doubles, because all sources are stale where the publisher itself is unreachable.
        """
        if age < self.parameters.stale_after_ns:
            self._stale_check_backoff = self.parameters.stale_check_backoff_base_ns
            self._next_stale_check = now
            self._stale_switches_left = 0
            return
        if now >= self._next_stale_check and len(self.dialing.addresses) > 1:
            self._next_stale_check = now + self._stale_check_backoff
            self._stale_check_backoff = min(
                self._stale_check_backoff * 2, self.parameters.max_stale_check_backoff_ns
            )
            self._stale_switches_left = min(
                self.parameters.max_stale_switches, len(self.dialing.addresses) - 1
            )
        elif self._stale_switches_left:
            self._stale_switches_left -= 1
        if self._stale_switches_left:
            self.left_stale += 1
            self._disconnect(now, f"has not heard the publisher for {age // MS} ms")

    # ---- applying and acknowledging --------------------------------------------------------

    def applied(self, number: int, now: int, refusals: Sequence[Refusal] = ()) -> None:
        """A batch is in force, except for the refused resources."""
        for batch in self._pending_batches:
            if batch.number == number:
                batch.done = True
                self._record_decision(batch, refusals)
                self._unsubscribe_removed(batch.uids, now)
        self._acknowledge_applied(now)

    def _record_decision(self, batch: _Batch, refusals: Sequence[Refusal]) -> None:
        """Record which resources of a batch are refused."""
        for uid in batch.uids:
            self._current_refusals.pop(uid, None)
            self._unsent_refusals.pop(uid, None)
        decided_later = {
            uid for b in self._pending_batches if b.number > batch.number for uid in b.uids
        }
        for refusal in refusals:
            entry = self.replica.entries.get(refusal.uid)
            if entry is not None and refusal.uid not in decided_later:
                # The entry's revision may be later by now, or belong to another history.
                self._refuse(Refusal(refusal.uid, max(entry.revision, 0), refusal.reason))
            elif not batch.obsolete:
                self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        self._current_refusals[refusal.uid] = refusal
        self._unsent_refusals[refusal.uid] = refusal

    def _unsubscribe_removed(self, uids: Sequence[str], now: int) -> None:
        """End the subscriptions to resources whose removal is in force."""
        if not self.everything:
            held = self.replica.entries
            self._unsubscribe([u for u in uids if u not in held and u in self.subscriptions], now)

    def _unsubscribe_absent(self, resources: Sequence[Resource], now: int) -> None:
        """End subscriptions to removed resources that were not held: nothing is to be applied."""
        applying = {uid for batch in self._pending_batches for uid in batch.uids}
        removed = [r.uid for r in resources if r.kind is Kind.REMOVED and r.uid not in applying]
        self._unsubscribe_removed(removed, now)

    def _acknowledge_applied(self, now: int) -> None:
        before = self._acknowledged, self._applied_lookup
        while self._pending_batches and self._pending_batches[0].done:
            batch = self._pending_batches.popleft()
            self._acknowledged = max(self._acknowledged, batch.progress)
            self._applied_lookup = max(self._applied_lookup, batch.lookup)
        has_news = (self._acknowledged, self._applied_lookup) != before or self._unsent_refusals
        if self.link is Link.UP and has_news:
            self._acknowledge(now)

    def _acknowledge(self, now: int) -> None:
        refusals = list(self._unsent_refusals.values())
        self._unsent_refusals.clear()
        for start in range(0, max(len(refusals), 1), MAX_REFUSALS_PER_MESSAGE):
            chunk = refusals[start : start + MAX_REFUSALS_PER_MESSAGE]
            self._send(Acknowledge(self._acknowledged, chunk, self._applied_lookup), now)

    def _exclude_unapplied(self) -> None:
        """Lower the acknowledged revision below everything that is not in force yet.

        The next source takes all subscribed resources as in force up to the acknowledged revision.
        A resource that a lookup found may have an older revision and still not be in force.
        """
        if self._pending_batches:
            last = self._pending_batches[-1]
            last.progress = max(last.progress, self._acknowledged)
        bound = NEVER
        for batch in reversed(self._pending_batches):
            batch.progress = min(batch.progress, bound)
            held = [] if batch.done else [self.replica.entries.get(uid) for uid in batch.uids]
            revisions = [entry.revision for entry in held if entry is not None]
            bound = min([bound, *(max(revision - 1, 0) for revision in revisions)])
        self._acknowledged = min(self._acknowledged, bound)

    def _step_back(self, revision: int) -> None:
        """A stored answer is valid up to `revision`: neither resume nor acknowledge beyond it."""
        self.replica.step_back(revision)
        self._acknowledge_at_most(revision)

    def _acknowledge_at_most(self, revision: int) -> None:
        """Limit the acknowledged revision, also of batches that are not in force yet."""
        self._acknowledged = min(self._acknowledged, revision)
        for batch in self._pending_batches:
            batch.progress = min(batch.progress, revision)

    # ---- lookups ---------------------------------------------------------------------------

    def lookup(self, aliases: Sequence[str], now: int) -> int:
        """Look up the owners of aliases and subscribe to them. Returns the number of the Answer
        that follows; its uids are None where no source with recent enough state answered in
        time."""
        number = self._next_lookup
        self._next_lookup += 1
        question = _OpenLookup(tuple(aliases), now + self.parameters.lookup_timeout_ns)
        self._open_lookups[number] = question
        if self.link is Link.UP:
            self._send_lookup(number, question, now)
        return number

    def unsubscribe(self, uids: Sequence[str], now: int) -> None:
        """Drop these resources and end their subscriptions."""
        for uid in uids:
            self.replica.release(uid)
            self._current_refusals.pop(uid, None)
            self._unsent_refusals.pop(uid, None)
        self._unsubscribe(uids, now)

    def _unsubscribe(self, uids: Sequence[str], now: int) -> None:
        """End subscriptions. The source answers earlier lookups before it reads this, so their
        answers no longer subscribe to these resources."""
        self.subscriptions.difference_update(uids)
        for uid in uids:
            self._unsubscribed_before[uid] = self._next_serial
            self._unsubscribed_before.move_to_end(uid)
        if self.link in (Link.GREETING, Link.UP) and uids:  # the hello may have listed them
            self._send(Unsubscribe(list(uids)), now)

    def _send_lookup(self, number: int, question: _OpenLookup, now: int) -> None:
        self._lookup_by_serial.pop(question.serial, None)
        question.retry_at = NEVER
        question.serial = self._next_serial
        self._lookup_by_serial[question.serial] = number
        self._next_serial += 1
        self._send(Lookup(question.serial, list(question.aliases)), now)

    def _retry_lookups(self, now: int) -> None:
        for number, question in list(self._open_lookups.items()):
            if now >= question.deadline:
                del self._open_lookups[number]
                self._lookup_by_serial.pop(question.serial, None)
                self.actions.append(Answer(number, None))
            elif now >= question.retry_at and self.link is Link.UP:
                self._send_lookup(number, question, now)

    def _on_lookup_result(self, now: int, found: LookupResult) -> None:
        held = self.replica.entries
        wanted = {uid for uid in found.uids if uid and self._accepts_answer(uid, found.question)}
        older = {u for u in wanted if self.replica.may_have_held_newer(u, found.revision)}
        if older:  # the lookup is repeated below
            wanted -= older
            self._unsubscribe(sorted(older), now)
        self.subscriptions |= wanted
        if not wanted <= held.keys():
            self._step_back(found.revision)
        resources = [r for r in found.resources if r.uid in wanted]
        if wanted:
            self._partial_lookup = (found.question, wanted - held.keys())
        self._take_resources(
            resources, self._acknowledged, self._completed_lookup(resources) if wanted else 0
        )
        self._acknowledge_applied(now)
        self._prune_unsubscribed(found.question + 1)
        number = self._lookup_by_serial.pop(found.question, None)
        if number is None:
            return
        question = self._open_lookups[number]
        behind = found.revision < self.replica.newest_revision
        if all(uid in held if uid else not behind for uid in found.uids):
            del self._open_lookups[number]
            self.actions.append(Answer(number, tuple(found.uids)))
        else:
            # The source knows an older state than the subscriber had; it will soon have the newer.
            question.retry_at = now + self.parameters.lookup_retry_delay_ns

    def _prune_unsubscribed(self, serial: int) -> None:
        """Drop entries that no open lookup needs: answers arrive in the order of serial numbers."""
        while (
            self._unsubscribed_before and next(iter(self._unsubscribed_before.values())) <= serial
        ):
            self._unsubscribed_before.popitem(last=False)

    def _accepts_answer(self, uid: str, serial: int) -> bool:
        return serial >= self._unsubscribed_before.get(uid, 0)

    def _send(self, message: Message, now: int) -> None:
        self._last_sent = now
        self.actions.append(Send(message))
