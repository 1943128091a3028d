"""Leases over the log: the voters' part (`LeaseService`), the holders' (`Holder`), the `Fence`.

Pure; times are nanoseconds of one process's monotonic clock, never compared with another's.
docs/design/lease.md says why two holders never act at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

from tansywood.lease.log import COMMAND
from tansywood.lease.raft import MS, Out, Raft
from tansywood.lease.table import Change, End, Give, Table, Take, pack

SECOND = 1000 * MS
DEAF_MOST = 16  # that are told of
ASKED_MOST = 4096  # holders whose latest request is remembered
Count = Annotated[int, Meta(ge=0, le=1 << 62)]


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The same at every voter and holder."""

    length: int = 4 * SECOND
    skew: float = 0.1  # by which the rates of two clocks may differ
    renew: int = SECOND  # between two renewals: three may be lost

    def __post_init__(self) -> None:
        if not 0 <= self.skew < 0.5:
            raise ValueError("clocks' rates may differ by less than a half")
        if not 0 < 2 * self.renew <= self.length:
            raise ValueError("a lease has to last for two renewals at least")

    @property
    def used(self) -> int:
        """How long a holder goes by an answer, from when it asked."""
        return int(self.length * (1.0 - self.skew))


class LeaseRequest(Struct, array_like=True, frozen=True, tag="ask"):
    """A holder's request: renew all that it has, grant or take back the leases named besides."""

    holder: str
    seq: Count
    take: tuple[str, ...] = ()
    give: tuple[tuple[str, int, str], ...] = ()  # name, token, to whom
    heard: Count = 0  # the latest request of which it has the reply


class LeaseReply(Struct, array_like=True, frozen=True, tag="told"):
    """What the holder has, all of it, at a moment after it asked. `leader` where another leads."""

    seq: Count
    ok: bool
    leases: tuple[tuple[str, int], ...] = ()
    leader: str = ""
    deaf: tuple[str, ...] = ()  # holders that ask and hear nothing: nothing is to go to them


def _nobody(_index: int, _change: Change) -> None:
    pass


@dataclass(slots=True)
class _Waits:
    """A request that is answered once a majority has confirmed this leader."""

    sender: str
    ask: LeaseRequest
    round: int
    index: int  # and once this place of the log is applied
    term: int


class LeaseService:
    """One voter: the log, the table it comes to, and, while it leads, when holders end."""

    def __init__(self, raft: Raft, terms: LeaseTerms, snapshot_every: int = 4096) -> None:
        self.raft = raft
        self.terms = terms
        self.snapshot_every = snapshot_every
        self.table = Table.load(raft.snapshot.data)
        self.ends: dict[str, int] = {}  # by holder: before then the leader may not end it
        self.waits: list[_Waits] = []
        self.answers: list[tuple[str, LeaseReply]] = []
        self.changed: Callable[[int, Change], None] = _nobody  # told of each entry, by its index
        self._led = 0  # the term in which `ends` was begun
        self._floor = 0  # the end of whoever has not asked in it
        self._ticked = 0
        self._ending: dict[str, int] = {}  # holders whose End is in the log, by its index
        self._taking: dict[tuple[str, str], int] = {}
        self._asked: dict[str, int] = {}  # the latest of each holder, in this term
        # By holder: the first answer that it has not shown to have heard, when it was given, and
        # when it asked last without having heard it.
        self._unheard: dict[str, tuple[int, int, int]] = {}
        self._deaf: tuple[str, ...] = ()  # as of the last tick

    # ---- from outside --------------------------------------------------------------------------

    def ask(self, now: int, sender: str, ask: LeaseRequest) -> None:
        """A holder's request. Where this one does not lead the reply says who does, at once."""
        raft = self.raft
        if not raft.settled:
            self.answers.append((sender, LeaseReply(ask.seq, False, (), raft.leader)))
            return
        self._lead(now)
        if ask.seq <= self._asked.get(ask.holder, 0):
            return  # doubled, or overtaken by a newer one, whose answer says all of it
        self._asked[ask.holder] = ask.seq
        if ask.heard >= self._unheard.get(ask.holder, (0, 0, 0))[0]:
            self._unheard.pop(ask.holder, None)
        else:
            self._unheard[ask.holder] = (*self._unheard[ask.holder][:2], now)
        index = 0
        for name in () if self.deaf(now, ask.holder) else ask.take:
            known = self.table.leases.get(name)
            if known is None and (name, ask.holder) not in self._taking:
                index = raft.propose(pack(Take(name, ask.holder)))
                self._taking[name, ask.holder] = index
        for name, token, to in ask.give:
            known = self.table.leases.get(name)
            if known is not None and known.token == token and known.holder == ask.holder:
                index = raft.propose(pack(Give(name, token, to)))
                if to:
                    # It does not know yet: from now on it has a whole length to hear of it.
                    self._extend(now, to)
        round_ = raft.begin_round(now)
        waits = _Waits(sender, ask, round_, max(index, raft.commit), raft.term)
        self.waits = [w for w in self.waits if w.ask.holder != ask.holder]
        self.waits.append(waits)
        self.after(now)

    def grant(self, now: int, name: str, holder: str) -> bool:
        """Propose what is free for one that asked for it before and was too late: as if its
        request had come again. It hears of it by its next request, and lives for a whole length
        until then."""
        if not self.raft.settled or holder in self._ending or name in self.table.leases:
            return False
        if self.deaf(now, holder):
            return False
        self._lead(now)
        if (name, holder) not in self._taking:
            self._taking[name, holder] = self.raft.propose(pack(Take(name, holder)))
            self._extend(now, holder)
        return True

    def deaf(self, now: int, holder: str) -> bool:
        """Whether a holder that goes on asking has heard nothing of us for a whole lease: the way
        to it is cut. Kept by its asking alone, what it has would be nobody's for as long as that
        lasts. One that has ended, or wants nothing any more, does not ask."""
        row = self._unheard.get(holder)
        length = self.terms.length
        return row is not None and row[2] - row[1] > length and now - row[2] <= 2 * length

    def after(self, now: int) -> None:
        """After anything that happened to the log: answer what can be answered by now."""
        if not self.raft.settled:
            for w in self.waits:
                self.answers.append((w.sender, LeaseReply(w.ask.seq, False, (), self.raft.leader)))
            self.waits.clear()
            return
        self._lead(now)
        kept = []
        for w in self.waits:
            if w.term != self.raft.term:
                continue
            if self.raft.confirmed(w.round) and self.raft.applied >= w.index:
                self._answer(now, w)
            else:
                kept.append(w)
        self.waits = kept

    def _answer(self, now: int, w: _Waits) -> None:
        holder = w.ask.holder
        if holder in self._ending:
            # Its end is in the log: it is not to hear that it may go on.
            self.answers.append((w.sender, LeaseReply(w.ask.seq, False, (), self.raft.name)))
            return
        names = sorted(self.table.of.get(holder, ()))
        if names and self.deaf(now, holder):
            return  # neither told nor extended: it comes to its end
        self._unheard.setdefault(holder, (w.ask.seq, now, now))
        self._extend(now, holder)
        leases = tuple((name, self.table.leases[name].token) for name in names)
        self.answers.append((w.sender, LeaseReply(w.ask.seq, True, leases, "", self._deaf)))

    def _extend(self, now: int, holder: str) -> None:
        self.ends[holder] = max(self.ends.get(holder, 0), now + self.terms.length)

    def _lead(self, now: int) -> None:
        """At the first look in a term that this one leads: everybody lives for a whole length
        from the election on, for an earlier leader may have said so just before."""
        if self._led == self.raft.term:
            return
        self._led = self.raft.term
        self._ending.clear()
        self._taking.clear()
        self._asked.clear()
        self._unheard.clear()
        self.ends = {h: self.raft.led_since + self.terms.length for h in self.table.of}
        self._floor = self.raft.led_since + self.terms.length

    def tick(self, now: int) -> None:
        """End those whose time is over."""
        if now - self._ticked > self.terms.length // 2 and self._led:
            # Stopped for long, it has not read what holders asked meanwhile. They get more time.
            for holder in self.ends:
                self._extend(now, holder)
        self._ticked = now
        self._deaf = tuple(h for h in self._unheard if self.deaf(now, h))[:DEAF_MOST]
        self.raft.tick(now)
        self.after(now)
        if not self.raft.settled:
            return
        ended = False
        for holder in list(self.table.of):
            # One whose grant was applied after this one was elected may never have asked it.
            end = self.ends.setdefault(holder, max(self._floor, now + self.terms.length))
            if now >= end and holder not in self._ending:
                self._ending[holder] = self.raft.propose(pack(End(holder)))
                ended = True
        if ended:
            self.raft.beat(now)

    def next_due(self) -> int:
        """When `tick` has something to do."""
        due = [self.raft.due]
        if self.raft.settled:
            due += [at for h, at in self.ends.items() if h not in self._ending]
        return min(due)

    def take(self, now: int) -> Out:
        """As `Raft.take`, with what is committed applied to the table. Answers that it makes
        possible are in `answers`, to be sent behind what is to be kept."""
        out = self.raft.take()
        if out.installed is not None:
            self.table = Table.load(out.installed.data)
        for index, entry in out.committed:
            if entry.kind == COMMAND:
                self.changed(index, self.table.apply(index, entry.data))
        if out.committed:
            applied = self.raft.applied
            self._ending = {h: i for h, i in self._ending.items() if i > applied}
            self._taking = {k: i for k, i in self._taking.items() if i > applied}
            for holder in [h for h in self.ends if h not in self.table.of]:
                if holder not in self._ending:
                    del self.ends[holder]
            if len(self._asked) > ASKED_MOST:
                self._asked = {h: s for h, s in self._asked.items() if h in self.table.of}
            if len(self._unheard) > ASKED_MOST:
                self._unheard = {h: r for h, r in self._unheard.items() if h in self.table.of}
            self.after(now)
            if applied - self.raft.snapshot.index >= self.snapshot_every:
                self.raft.compact(applied, self.table.save())
        return out


class Holder:
    """One life of one instance as a holder: what it may act on, and what it asks."""

    def __init__(self, name: str, terms: LeaseTerms) -> None:
        self.name = name
        self.terms = terms
        self.seq = 0
        self.heard = 0  # the latest request that was answered
        self.until = 0
        self.leases: dict[str, int] = {}  # tokens
        self.want: set[str] = set()
        self.giving: dict[str, tuple[int, str]] = {}  # tokens, and to whom
        self._sent: deque[tuple[int, int]] = deque()
        self.lost: list[str] = []  # that it had and has not any more, to end their tasks

    def ask(self, now: int) -> LeaseRequest:
        """The next request to whoever leads. It has to leave now, or never."""
        self.seq += 1
        self._sent.append((self.seq, now))
        while now - self._sent[0][1] > self.terms.used:
            self._sent.popleft()
        take = tuple(sorted(n for n in self.want if n not in self.leases))
        give = tuple((n, t, to) for n, (t, to) in sorted(self.giving.items()))
        return LeaseRequest(self.name, self.seq, take, give, self.heard)

    def receive_reply(self, now: int, reply: LeaseReply) -> bool:
        """Take a reply; False where it is nothing to go by: late, overtaken, or a refusal."""
        sent = next((at for seq, at in self._sent if seq == reply.seq), None)
        if not reply.ok or sent is None or reply.seq <= self.heard:
            return False
        end = sent + self.terms.used
        if end <= now:
            return False
        self.heard = reply.seq
        self.until = end
        new = {name: token for name, token in reply.leases}
        for name, (token, _) in list(self.giving.items()):
            if new.get(name) != token:
                del self.giving[name]  # it has gone where it was to go
            else:
                del new[name]  # given up here already, though the log does not have it yet
        self.lost += [n for n, token in self.leases.items() if new.get(n) != token]
        self.leases = new
        for name in [n for n in new if n not in self.want]:
            self.give(name)  # an old request of ours came late and took it once more
        return True

    def may(self, now: int, name: str) -> int:
        """The token to act with on this lease now; 0 where it may not."""
        return self.leases.get(name, 0) if now < self.until else 0

    def give(self, name: str, to: str = "") -> None:
        """Give a lease back, to somebody perhaps. It may not act on it from this moment on."""
        token = self.leases.pop(name, 0)
        self.want.discard(name)
        if token:
            self.giving[name] = (token, to)

    def expire(self, now: int) -> list[str]:
        """Names whose tasks have to end: another has them, or their time is over."""
        if now >= self.until and self.leases:
            self.lost += list(self.leases)
            self.leases.clear()
        lost, self.lost = self.lost, []
        return lost


class Refused(Exception):
    """An act under a token that is older than one that has acted already."""


class Fence:
    """What a holder changes looks at its token here: the newest that has acted goes on, any older
    is refused. It belongs beside the thing itself, and lasts as long as that."""

    def __init__(self, newest: dict[str, int] | None = None) -> None:
        self.newest = newest if newest is not None else {}

    def check(self, name: str, token: int, kept: Callable[[], None] = lambda: None) -> None:
        """Let an act under this token through, or raise Refused. `kept` makes a newer token last
        before anything is done under it."""
        if token <= 0 or token < self.newest.get(name, 0):
            raise Refused(f"{name}: token {token} is older than {self.newest.get(name, 0)}")
        if token > self.newest.get(name, 0):
            self.newest[name] = token
            kept()
