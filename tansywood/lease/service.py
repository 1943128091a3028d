"""Leases over the log: the voters' part. The holders' is in `holder` and `fence`.

Pure; times are nanoseconds of one process's monotonic clock, never compared with another's.
docs/design/lease.md says why two holders never act at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tansywood.lease.log import COMMAND
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import Raft, RaftOutput
from tansywood.lease.table import (
    AcquireLease,
    EndHolder,
    LeaseTable,
    ReleaseLease,
    TableChange,
    pack,
)
from tansywood.lease.terms import LeaseTerms

DEAF_MOST = 16  # that are told of
ASKED_MOST = 4096  # holders whose latest request is remembered


def _nobody(_index: int, _change: TableChange) -> None:
    pass


@dataclass(slots=True)
class _PendingRequest:
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
        self.table = LeaseTable.load(raft.snapshot.data)
        self.expiries: dict[str, int] = {}  # by holder: before then the leader may not end it
        self.pending_requests: list[_PendingRequest] = []
        self.replies: list[tuple[str, LeaseReply]] = []
        self.on_change: Callable[[int, TableChange], None] = (
            _nobody  # told of each entry, by its index
        )
        self._led_term = 0  # the term in which `ends` was begun
        self._earliest_expiry = 0  # the end of whoever has not asked in it
        self._last_tick_at = 0
        self._ending: dict[str, int] = {}  # holders whose EndHolder is in the log, by its index
        self._taking: dict[tuple[str, str], int] = {}
        self._latest_seq: dict[str, int] = {}  # the latest of each holder, in this term
        # By holder: the first answer that it has not shown to have heard, when it was given, and
        # when it asked last without having heard it.
        self._unheard: dict[str, tuple[int, int, int]] = {}
        self._deaf: tuple[str, ...] = ()  # as of the last tick

    # ---- from outside --------------------------------------------------------------------------

    def handle_request(self, now: int, sender: str, ask: LeaseRequest) -> None:
        """A holder's request. Where this one does not lead the reply says who does, at once."""
        raft = self.raft
        if not raft.is_ready_leader:
            self.replies.append((sender, LeaseReply(ask.seq, False, (), raft.leader)))
            return
        self._lead(now)
        if ask.seq <= self._latest_seq.get(ask.holder, 0):
            return  # doubled, or overtaken by a newer one, whose answer says all of it
        self._latest_seq[ask.holder] = ask.seq
        if ask.last_reply_seq >= self._unheard.get(ask.holder, (0, 0, 0))[0]:
            self._unheard.pop(ask.holder, None)
        else:
            self._unheard[ask.holder] = (*self._unheard[ask.holder][:2], now)
        index = 0
        for name in () if self.is_unreachable(now, ask.holder) else ask.acquire:
            known = self.table.leases.get(name)
            if known is None and (name, ask.holder) not in self._taking:
                index = raft.propose(pack(AcquireLease(name, ask.holder)))
                self._taking[name, ask.holder] = index
        for name, token, to in ask.release:
            known = self.table.leases.get(name)
            if known is not None and known.token == token and known.holder == ask.holder:
                index = raft.propose(pack(ReleaseLease(name, token, to)))
                if to:
                    # It does not know yet: from now on it has a whole length to hear of it.
                    self._extend(now, to)
        round_ = raft.begin_round(now)
        waits = _PendingRequest(sender, ask, round_, max(index, raft.commit_index), raft.term)
        self.pending_requests = [w for w in self.pending_requests if w.ask.holder != ask.holder]
        self.pending_requests.append(waits)
        self.queue_due_replies(now)

    def grant(self, now: int, name: str, holder: str) -> bool:
        """Propose what is free for one that asked for it before and was too late: as if its
        request had come again. It hears of it by its next request, and lives for a whole length
        until then."""
        if not self.raft.is_ready_leader or holder in self._ending or name in self.table.leases:
            return False
        if self.is_unreachable(now, holder):
            return False
        self._lead(now)
        if (name, holder) not in self._taking:
            self._taking[name, holder] = self.raft.propose(pack(AcquireLease(name, holder)))
            self._extend(now, holder)
        return True

    def is_unreachable(self, now: int, holder: str) -> bool:
        """Whether a holder that goes on asking has heard nothing of us for a whole lease: the way
        to it is cut. Kept by its asking alone, what it has would be nobody's for as long as that
        lasts. One that has ended, or wants nothing any more, does not ask."""
        row = self._unheard.get(holder)
        length = self.terms.duration_ns
        return row is not None and row[2] - row[1] > length and now - row[2] <= 2 * length

    def queue_due_replies(self, now: int) -> None:
        """After anything that happened to the log: answer what can be answered by now."""
        if not self.raft.is_ready_leader:
            for w in self.pending_requests:
                self.replies.append((w.sender, LeaseReply(w.ask.seq, False, (), self.raft.leader)))
            self.pending_requests.clear()
            return
        self._lead(now)
        kept = []
        for w in self.pending_requests:
            if w.term != self.raft.term:
                continue
            if self.raft.is_round_confirmed(w.round) and self.raft.applied >= w.index:
                self._answer(now, w)
            else:
                kept.append(w)
        self.pending_requests = kept

    def _answer(self, now: int, w: _PendingRequest) -> None:
        holder = w.ask.holder
        if holder in self._ending:
            # Its end is in the log: it is not to hear that it may go on.
            self.replies.append((w.sender, LeaseReply(w.ask.seq, False, (), self.raft.name)))
            return
        names = sorted(self.table.names_by_holder.get(holder, ()))
        if names and self.is_unreachable(now, holder):
            return  # neither told nor extended: it comes to its end
        self._unheard.setdefault(holder, (w.ask.seq, now, now))
        self._extend(now, holder)
        leases = tuple((name, self.table.leases[name].token) for name in names)
        self.replies.append((w.sender, LeaseReply(w.ask.seq, True, leases, "", self._deaf)))

    def _extend(self, now: int, holder: str) -> None:
        self.expiries[holder] = max(self.expiries.get(holder, 0), now + self.terms.duration_ns)

    def _lead(self, now: int) -> None:
        """At the first look in a term that this one leads: everybody lives for a whole length
        from the election on, for an earlier leader may have said so just before."""
        if self._led_term == self.raft.term:
            return
        self._led_term = self.raft.term
        self._ending.clear()
        self._taking.clear()
        self._latest_seq.clear()
        self._unheard.clear()
        self.expiries = {
            h: self.raft.elected_at + self.terms.duration_ns for h in self.table.names_by_holder
        }
        self._earliest_expiry = self.raft.elected_at + self.terms.duration_ns

    def tick(self, now: int) -> None:
        """End those whose time is over."""
        if now - self._last_tick_at > self.terms.duration_ns // 2 and self._led_term:
            # Stopped for long, it has not read what holders asked meanwhile. They get more time.
            for holder in self.expiries:
                self._extend(now, holder)
        self._last_tick_at = now
        self._deaf = tuple(h for h in self._unheard if self.is_unreachable(now, h))[:DEAF_MOST]
        self.raft.tick(now)
        self.queue_due_replies(now)
        if not self.raft.is_ready_leader:
            return
        ended = False
        for holder in list(self.table.names_by_holder):
            # One whose grant was applied after this one was elected may never have asked it.
            end = self.expiries.setdefault(
                holder, max(self._earliest_expiry, now + self.terms.duration_ns)
            )
            if now >= end and holder not in self._ending:
                self._ending[holder] = self.raft.propose(pack(EndHolder(holder)))
                ended = True
        if ended:
            self.raft.send_heartbeats(now)

    def next_due(self) -> int:
        """When `tick` has something to do."""
        due = [self.raft.due]
        if self.raft.is_ready_leader:
            due += [at for h, at in self.expiries.items() if h not in self._ending]
        return min(due)

    def take(self, now: int) -> RaftOutput:
        """As `Raft.take`, with what is committed applied to the table. Answers that it makes
        possible are in `answers`, to be sent behind what is to be kept."""
        out = self.raft.take()
        if out.installed is not None:
            self.table = LeaseTable.load(out.installed.data)
        for index, entry in out.committed:
            if entry.kind == COMMAND:
                self.on_change(index, self.table.apply(index, entry.data))
        if out.committed:
            applied = self.raft.applied
            self._ending = {h: i for h, i in self._ending.items() if i > applied}
            self._taking = {k: i for k, i in self._taking.items() if i > applied}
            for holder in [h for h in self.expiries if h not in self.table.names_by_holder]:
                if holder not in self._ending:
                    del self.expiries[holder]
            if len(self._latest_seq) > ASKED_MOST:
                self._latest_seq = {
                    h: s for h, s in self._latest_seq.items() if h in self.table.names_by_holder
                }
            if len(self._unheard) > ASKED_MOST:
                self._unheard = {
                    h: r for h, r in self._unheard.items() if h in self.table.names_by_holder
                }
            self.queue_due_replies(now)
            if applied - self.raft.snapshot.index >= self.snapshot_every:
                self.raft.compact(applied, self.table.save())
        return out
