"""A subscriber's side of distribution: which source to follow, resuming there, heartbeats. Pure.

An instance and a distributor are both subscribers; a distributor wants everything. Events and the
time go in; actions are left in `actions` for whoever does I/O, in the order in which they are to
be done. One connection at a time: while there is none, all that is held stays in force.

Rules that live here: a source of an older history is left at once; after a loss the other sources
are tried in an order of one's own, with full jitter (Brooker, "Exponential Backoff And Jitter",
2015), so that the subscribers of a lost source spread over all others.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from random import Random

from tansywood.distribution.messages import (
    Acknowledge,
    Busy,
    Changes,
    Found,
    Hello,
    Lookup,
    Message,
    Moved,
    Progress,
    Refusal,
    Resource,
    Unsubscribe,
    Versions,
    Welcome,
)
from tansywood.distribution.replica import Replica
from tansywood.distribution.source import ProtocolError
from tansywood.distribution.terms import MS, Terms

VERSIONS_MOST = 4_000  # in one message
ASK_AGAIN = 200 * MS  # where a source knows less than we do
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Dial:
    """Connect to a source; `connected` or `disconnected` is told with the attempt's number."""

    attempt: int
    address: str


@dataclass(frozen=True, slots=True)
class HangUp:
    """Close the attempt's connection; nothing more is told of it."""

    attempt: int
    why: str


@dataclass(frozen=True, slots=True)
class Send:
    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Put these into force as the replica has them now, then tell `applied` with the number.
    Where the replica has none it was removed."""

    batch: int
    uids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a lookup found: a uid for each alias, empty where it is nobody's. None where nobody
    could say in time."""

    question: int
    uids: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class Continued:
    """The replica went over to an epoch that continues its history."""


@dataclass(frozen=True, slots=True)
class HistoryChanged:
    """The replica goes over to another history; a comparison tells what still holds."""


Action = Dial | HangUp | Send | Apply | Answer | Continued | HistoryChanged


class Link(Enum):
    """Where the connection to a source stands."""

    DOWN = "down"
    DIALING = "dialing"
    GREETING = "greeting"
    UP = "up"


@dataclass(slots=True)
class _Question:
    aliases: tuple[str, ...]
    until: int
    again: int = NEVER


@dataclass(slots=True)
class _Batch:
    number: int
    progress: int
    done: bool = False
    refusals: list[Refusal] = field(default_factory=list)


class Subscriber:
    """Follows one source at a time out of several."""

    def __init__(
        self,
        name: str,
        addresses: Sequence[str],
        replica: Replica,
        terms: Terms,
        random: Random,
        now: int,
        everything: bool = False,
    ) -> None:
        """`addresses` are those of all sources; each subscriber has its own order of them."""
        self.name = name
        self.replica = replica
        self.terms = terms
        self.everything = everything
        self.actions: list[Action] = []
        self.link = Link.DOWN
        self.addresses = sorted(addresses, key=lambda address: _preference(name, address))
        self.connections = 0  # welcomes, over time
        self.losses = 0
        self.left_stale = 0
        self.last_loss = ""
        self.attempt = 0
        self._random = random
        self._next_address = 0
        self._failures = 0
        self._due = now  # of the next dial, or the end of patience with this one
        self._heard = now
        self._said = now
        self._publisher_heard: int | None = None
        self._stale_again = now
        self._stale_wait = terms.stale_again_first
        self._questions: OrderedDict[int, _Question] = OrderedDict()
        self._next_question = 1
        self._batches: deque[_Batch] = deque()
        self._next_batch = 1
        self._acknowledged = 0
        self._refusals: list[Refusal] = []

    # ---- the connection --------------------------------------------------------------------

    @property
    def address(self) -> str:
        """Of the source that is followed, or tried."""
        return self.addresses[self._next_address % len(self.addresses)]

    def publisher_age(self, now: int) -> int | None:
        """How long ago the publisher was heard, by way of whatever source; None: never."""
        if self._publisher_heard is None:
            return None
        return max(now - self._publisher_heard, 0)

    def connected(self, attempt: int, now: int) -> None:
        if attempt != self.attempt or self.link is not Link.DIALING:
            return
        self.link = Link.GREETING
        self._heard = now
        subscriptions = [] if self.everything else list(self.replica.entries)
        hello = Hello(self.name, self.everything, self.replica.position, subscriptions)
        self._send(hello, now)

    def disconnected(self, attempt: int, now: int, why: str = "closed") -> None:
        if attempt == self.attempt and self.link is not Link.DOWN:
            self._lost(now, why)

    def tick(self, now: int) -> None:
        """Do what is due; call it at `next_due` at the latest."""
        if self.link is Link.DOWN:
            if now >= self._due:
                self._dial(now)
        elif self.link is not Link.UP:
            if now >= self._due:
                self._hang_up(now, f"no welcome in {self.terms.dial // MS} ms")
        elif now - self._heard >= self.terms.silence:
            self._hang_up(now, f"silent for {self.terms.silence // MS} ms")
        elif now - self._said >= self.terms.heartbeat:
            self._acknowledge(now)
        self._ask_again(now)

    def next_due(self) -> int:
        if self.link is Link.UP:
            due = min(self._heard + self.terms.silence, self._said + self.terms.heartbeat)
        else:
            due = self._due
        for question in self._questions.values():
            due = min(due, question.until, question.again)
        return due

    def _dial(self, now: int) -> None:
        self.attempt += 1
        self.link = Link.DIALING
        self._due = now + self.terms.dial
        self.actions.append(Dial(self.attempt, self.address))

    def _hang_up(self, now: int, why: str) -> None:
        self.actions.append(HangUp(self.attempt, why))
        self._lost(now, why)

    def _lost(self, now: int, why: str, at_most: int = 0) -> None:
        """Go on to the next source after a random while, up to `at_most` where it was told."""
        terms = self.terms
        self.link = Link.DOWN
        self.losses += 1
        self.last_loss = f"{self.address}: {why}"
        bound = min(terms.reconnect_first << min(self._failures, 16), terms.reconnect_most)
        self._failures += 1
        self._next_address += 1
        self._due = now + self._random.randrange(max(bound, at_most) + 1)

    # ---- messages --------------------------------------------------------------------------

    def received(self, attempt: int, now: int, message: Message) -> None:
        """ProtocolError where a source may not say this; the connection is to be closed then."""
        if attempt != self.attempt or self.link in (Link.DOWN, Link.DIALING):
            return
        self._heard = now
        if isinstance(message, Welcome):
            self._welcomed(now, message)
        elif isinstance(message, Busy):
            self.actions.append(HangUp(self.attempt, message.reason))
            self._lost(now, f"busy: {message.reason}", message.retry_after_ms * MS)
        elif self.link is not Link.UP:
            raise ProtocolError(f"{type(message).__name__} before a welcome")
        elif isinstance(message, Changes):
            self._changed(now, message)
        elif isinstance(message, Progress):
            self._progressed(now, message)
        elif isinstance(message, Found):
            self._found(now, message)
        elif not isinstance(message, Moved):  # that one is read by whoever serves instances
            raise ProtocolError(f"{type(message).__name__} is not for a subscriber")

    def _welcomed(self, now: int, welcome: Welcome) -> None:
        replica = self.replica
        if welcome.position.epoch < replica.epoch:
            self._hang_up(now, "its history is older than what is held")
            return
        first = self.link is Link.GREETING
        self.link = Link.UP
        self._publisher_told(now, welcome.age_ms)
        if welcome.position.epoch > replica.epoch:
            self._change_epoch(welcome)
        if welcome.compare:
            self._send_versions(now)
        if first:
            self.connections += 1
            self._failures = 0
            for number, question in self._questions.items():
                self._ask(number, question, now)

    def _change_epoch(self, welcome: Welcome) -> None:
        replica = self.replica
        if welcome.compare:
            self._batches.clear()
            self._acknowledged = 0
            replica.forget_history(welcome.position.epoch)
            self.actions.append(HistoryChanged())
        else:
            replica.begin_epoch(welcome.position.epoch, replica.position)
            self.actions.append(Continued())

    def _send_versions(self, now: int) -> None:
        rows = list(self.replica.versions())
        for start in range(0, max(len(rows), 1), VERSIONS_MOST):
            chunk = rows[start : start + VERSIONS_MOST]
            self._send(Versions(chunk, start + VERSIONS_MOST >= len(rows)), now)

    def _changed(self, now: int, changes: Changes) -> None:
        self._take(changes.resources, changes.progress)
        self.replica.advance(changes.progress)
        self._acknowledge_what_is_done(now)

    def _take(self, resources: Sequence[Resource], progress: int) -> None:
        """Take what is newer than ours, and have it put into force."""
        taken = [r for r in resources if self.replica.take(r)]
        if self.everything:
            for resource in taken:
                self.replica.record(resource.revision, resource.uid)
        batch = _Batch(self._next_batch, progress, done=not taken)
        self._next_batch += 1
        self._batches.append(batch)
        if taken:
            self.actions.append(Apply(batch.number, tuple(r.uid for r in taken)))

    def _progressed(self, now: int, progress: Progress) -> None:
        self.replica.advance(progress.progress)
        self._batches.append(_Batch(0, progress.progress, done=True))
        if len(self._batches) > 1 and self._batches[-2].number == 0:
            del self._batches[-2]  # the later heartbeat says all that the earlier one did
        self._acknowledge_what_is_done(now)
        self._publisher_told(now, progress.age_ms)
        if not self.everything:
            self._leave_if_stale(now, progress.age_ms * MS)

    def _publisher_told(self, now: int, age_ms: int) -> None:
        heard = now - age_ms * MS
        self._publisher_heard = max(heard, self._publisher_heard or heard)

    def _leave_if_stale(self, now: int, age: int) -> None:
        """Another source may hear the publisher where ours does not; looked for ever less often,
        since where the publisher itself is away they are all alike."""
        if age < self.terms.stale:
            self._stale_wait = self.terms.stale_again_first
            self._stale_again = now
        elif now >= self._stale_again and len(self.addresses) > 1:
            self._stale_again = now + self._stale_wait
            self._stale_wait = min(self._stale_wait * 2, self.terms.stale_again_most)
            self.left_stale += 1
            self._hang_up(now, f"has not heard the publisher for {age // MS} ms")

    # ---- putting into force ----------------------------------------------------------------

    def applied(self, number: int, now: int, refusals: Sequence[Refusal] = ()) -> None:
        """A batch is in force, but for what is refused."""
        for batch in self._batches:
            if batch.number == number:
                batch.done = True
                batch.refusals = list(refusals)
        self._acknowledge_what_is_done(now)

    def _acknowledge_what_is_done(self, now: int) -> None:
        before = self._acknowledged
        while self._batches and self._batches[0].done:
            batch = self._batches.popleft()
            self._acknowledged = max(self._acknowledged, batch.progress)
            self._refusals += batch.refusals
        if self.link is Link.UP and (self._acknowledged > before or self._refusals):
            self._acknowledge(now)

    def _acknowledge(self, now: int) -> None:
        refusals, self._refusals = self._refusals, []
        self._send(Acknowledge(self._acknowledged, refusals), now)

    # ---- lookups ---------------------------------------------------------------------------

    def lookup(self, aliases: Sequence[str], now: int) -> int:
        """Ask whose these are, and hold what is found. An Answer follows under this number."""
        number = self._next_question
        self._next_question += 1
        question = _Question(tuple(aliases), now + self.terms.question_wait)
        self._questions[number] = question
        if self.link is Link.UP:
            self._ask(number, question, now)
        return number

    def give_up(self, uids: Sequence[str], now: int) -> None:
        """Hold these no longer."""
        for uid in uids:
            self.replica.give_up(uid)
        if self.link is Link.UP and uids:
            self._send(Unsubscribe(list(uids)), now)

    def _ask(self, number: int, question: _Question, now: int) -> None:
        question.again = NEVER
        self._send(Lookup(number, list(question.aliases)), now)

    def _ask_again(self, now: int) -> None:
        for number, question in list(self._questions.items()):
            if now >= question.until:
                del self._questions[number]
                self.actions.append(Answer(number, None))
            elif now >= question.again and self.link is Link.UP:
                self._ask(number, question, now)

    def _found(self, now: int, found: Found) -> None:
        if found.resources:
            self._take(found.resources, self._acknowledged)
            self.replica.step_back(found.revision)
            self._acknowledge_what_is_done(now)
        question = self._questions.get(found.question)
        if question is None:
            return
        if all(not uid or uid in self.replica.entries for uid in found.uids):
            del self._questions[found.question]
            self.actions.append(Answer(found.question, tuple(found.uids)))
        else:
            # This source knows an older state than we had: it is told the newer one soon.
            question.again = now + ASK_AGAIN

    def _send(self, message: Message, now: int) -> None:
        self._said = now
        self.actions.append(Send(message))


def _preference(name: str, address: str) -> bytes:
    """Rendezvous hashing (Thaler and Ravishankar 1996): each subscriber's own order."""
    return blake2b(f"{name} {address}".encode(), digest_size=8).digest()
