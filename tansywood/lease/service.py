"""Leases over the replicated log, as a voter handles them; `holder` and `fence` serve the holders.

The module is pure. Times are nanoseconds of one process's monotonic clock and are never compared
with times of another process. docs/design/lease.md explains why two holders never act at once.
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

MAX_UNREACHABLE_REPORTED = 16  # unreachable holders that a reply lists
MAX_REMEMBERED_HOLDERS = 4096  # holders whose latest request is remembered


def _ignore_change(_index: int, _change: TableChange) -> None:
    pass


@dataclass(slots=True)
class _PendingRequest:
    """A request that is answered after a majority has confirmed this voter as the leader."""

    sender: str
    request: LeaseRequest
    round: int
    index: int  # the log index that must be applied before the reply
    term: int


class LeaseService:
    """The lease table of one voter; on the leader also the requests and each holder's expiry."""

    def __init__(self, raft: Raft, terms: LeaseTerms, snapshot_every: int = 4096) -> None:
        self.raft = raft
        self.terms = terms
        self.snapshot_every = snapshot_every
        self.table = LeaseTable.load(raft.snapshot.data)
        self.expiries: dict[str, int] = {}  # by holder: the leader must not end it before this time
        self.pending_requests: list[_PendingRequest] = []
        self.replies: list[tuple[str, LeaseReply]] = []
        # Called with the log index and the table change of each applied entry.
        self.on_change: Callable[[int, TableChange], None] = _ignore_change
        self._led_term = 0  # the term in which `expiries` was started
        self._earliest_expiry = 0  # earliest end of holders without a request in that term
        self._last_tick_at = 0
        self._pending_ends: dict[str, int] = {}  # log index of the EndHolder entry, by holder
        self._pending_acquires: dict[tuple[str, str], int] = {}  # by name and holder: log index
        self._latest_seq: dict[str, int] = {}  # by holder: its latest request in this term
        # By holder: the number of the first reply that the holder has not acknowledged, the time of
        # that reply, and the time of the latest request that did not acknowledge it.
        self._unacknowledged: dict[str, tuple[int, int, int]] = {}
        self._unreachable: tuple[str, ...] = ()  # unreachable holders at the last tick

    # ---- requests ------------------------------------------------------------------------------

    def handle_request(self, now: int, sender: str, request: LeaseRequest) -> None:
        """Process a holder's request. A voter that does not lead names the leader at once."""
        raft = self.raft
        if not raft.is_ready_leader:
            self.replies.append((sender, LeaseReply(request.seq, False, (), raft.leader)))
            return
        self._start_term(now)
        if request.seq <= self._latest_seq.get(request.holder, 0):
            return  # a duplicate, or older than a request whose reply covers it
        self._latest_seq[request.holder] = request.seq
        if request.last_reply_seq >= self._unacknowledged.get(request.holder, (0, 0, 0))[0]:
            self._unacknowledged.pop(request.holder, None)
        else:
            self._unacknowledged[request.holder] = (*self._unacknowledged[request.holder][:2], now)
        index = 0
        for name in () if self.is_unreachable(now, request.holder) else request.acquire:
            known = self.table.leases.get(name)
            if known is None and (name, request.holder) not in self._pending_acquires:
                index = raft.propose(pack(AcquireLease(name, request.holder)))
                self._pending_acquires[name, request.holder] = index
        for name, token, to in request.release:
            known = self.table.leases.get(name)
            if known is not None and known.token == token and known.holder == request.holder:
                index = raft.propose(pack(ReleaseLease(name, token, to)))
                if to:
                    # The new holder does not know of the grant yet, so it gets a full lease
                    # duration to learn of it.
                    self._extend(now, to)
        round_ = raft.begin_round(now)
        pending = _PendingRequest(sender, request, round_, max(index, raft.commit_index), raft.term)
        self.pending_requests = [
            w for w in self.pending_requests if w.request.holder != request.holder
        ]
        self.pending_requests.append(pending)
        self.queue_due_replies(now)

    def grant(self, now: int, name: str, holder: str) -> bool:
        """Propose a free lease for a holder that requested it while another had it, as if the
        request had come again. The holder learns of the grant from the reply to its next request;
        until then its leases last a full lease duration. False if the grant is not possible."""
        if (
            not self.raft.is_ready_leader
            or holder in self._pending_ends
            or name in self.table.leases
        ):
            return False
        if self.is_unreachable(now, holder):
            return False
        self._start_term(now)
        if (name, holder) not in self._pending_acquires:
            self._pending_acquires[name, holder] = self.raft.propose(
                pack(AcquireLease(name, holder))
            )
            self._extend(now, holder)
        return True

    def is_unreachable(self, now: int, holder: str) -> bool:
        """Whether a holder goes on sending requests but has received no reply for a lease duration,
        because the network loses the replies. If its requests alone renewed its leases, nobody
        could act on them as long as the cut lasts. A holder that has ended, or wants no lease any
        more, sends no requests and is not counted as unreachable."""
        row = self._unacknowledged.get(holder)
        length = self.terms.duration_ns
        return row is not None and row[2] - row[1] > length and now - row[2] <= 2 * length

    def queue_due_replies(self, now: int) -> None:
        """Queue the replies that have become possible. To be called after any change of the log."""
        if not self.raft.is_ready_leader:
            for w in self.pending_requests:
                self.replies.append(
                    (w.sender, LeaseReply(w.request.seq, False, (), self.raft.leader))
                )
            self.pending_requests.clear()
            return
        self._start_term(now)
        kept = []
        for w in self.pending_requests:
            if w.term != self.raft.term:
                continue
            if self.raft.is_round_confirmed(w.round) and self.raft.applied >= w.index:
                self._queue_reply(now, w)
            else:
                kept.append(w)
        self.pending_requests = kept

    def _queue_reply(self, now: int, w: _PendingRequest) -> None:
        holder = w.request.holder
        if holder in self._pending_ends:
            # The log already ends this holder, so the reply must not renew its leases.
            self.replies.append((w.sender, LeaseReply(w.request.seq, False, (), self.raft.name)))
            return
        names = sorted(self.table.names_by_holder.get(holder, ()))
        if names and self.is_unreachable(now, holder):
            return  # no reply and no extension: its leases run out
        self._unacknowledged.setdefault(holder, (w.request.seq, now, now))
        self._extend(now, holder)
        leases = tuple((name, self.table.leases[name].token) for name in names)
        self.replies.append(
            (w.sender, LeaseReply(w.request.seq, True, leases, "", self._unreachable))
        )

    def _extend(self, now: int, holder: str) -> None:
        self.expiries[holder] = max(self.expiries.get(holder, 0), now + self.terms.duration_ns)

    def _start_term(self, now: int) -> None:
        """Reset the leader's state once in each term that this voter leads. Every holder gets a
        full lease duration from the election on, because an earlier leader may have renewed its
        leases just before."""
        if self._led_term == self.raft.term:
            return
        self._led_term = self.raft.term
        self._pending_ends.clear()
        self._pending_acquires.clear()
        self._latest_seq.clear()
        self._unacknowledged.clear()
        self.expiries = {
            h: self.raft.elected_at + self.terms.duration_ns for h in self.table.names_by_holder
        }
        self._earliest_expiry = self.raft.elected_at + self.terms.duration_ns

    def tick(self, now: int) -> None:
        """Propose the end of every holder whose time is over."""
        if now - self._last_tick_at > self.terms.duration_ns // 2 and self._led_term:
            # After a long pause of this process the requests of that time are still unread, so
            # every holder gets more time.
            for holder in self.expiries:
                self._extend(now, holder)
        self._last_tick_at = now
        self._unreachable = tuple(h for h in self._unacknowledged if self.is_unreachable(now, h))[
            :MAX_UNREACHABLE_REPORTED
        ]
        self.raft.tick(now)
        self.queue_due_replies(now)
        if not self.raft.is_ready_leader:
            return
        ended = False
        for holder in list(self.table.names_by_holder):
            # A holder whose grant was applied after the election may never have sent a request to
            # this leader.
            end = self.expiries.setdefault(
                holder, max(self._earliest_expiry, now + self.terms.duration_ns)
            )
            if now >= end and holder not in self._pending_ends:
                self._pending_ends[holder] = self.raft.propose(pack(EndHolder(holder)))
                ended = True
        if ended:
            self.raft.send_heartbeats(now)

    def next_due(self) -> int:
        """The time at which `tick` has to be called next."""
        due = [self.raft.due]
        if self.raft.is_ready_leader:
            due += [at for h, at in self.expiries.items() if h not in self._pending_ends]
        return min(due)

    def take(self, now: int) -> RaftOutput:
        """Return what `Raft.take` returns, after applying the committed entries to the table.
        Replies that become possible are added to `replies`; they must be sent only after the data
        that has to be persisted is on disk."""
        out = self.raft.take()
        if out.installed is not None:
            self.table = LeaseTable.load(out.installed.data)
        for index, entry in out.committed:
            if entry.kind == COMMAND:
                self.on_change(index, self.table.apply(index, entry.data))
        if out.committed:
            applied = self.raft.applied
            self._pending_ends = {h: i for h, i in self._pending_ends.items() if i > applied}
            self._pending_acquires = {
                k: i for k, i in self._pending_acquires.items() if i > applied
            }
            for holder in [h for h in self.expiries if h not in self.table.names_by_holder]:
                if holder not in self._pending_ends:
                    del self.expiries[holder]
            if len(self._latest_seq) > MAX_REMEMBERED_HOLDERS:
                self._latest_seq = {
                    h: s for h, s in self._latest_seq.items() if h in self.table.names_by_holder
                }
            if len(self._unacknowledged) > MAX_REMEMBERED_HOLDERS:
                self._unacknowledged = {
                    h: r for h, r in self._unacknowledged.items() if h in self.table.names_by_holder
                }
            self.queue_due_replies(now)
            if applied - self.raft.snapshot.index >= self.snapshot_every:
                self.raft.compact(applied, self.table.save())
        return out
