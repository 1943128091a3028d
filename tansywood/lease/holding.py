"""The leases that one instance holds: requests, replies, renewals and hand-over. Pure."""

from __future__ import annotations

from collections.abc import Callable

from tansywood.lease.context import Context, holder_id, name_of
from tansywood.lease.holder import Holder
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import MS

MIN_REQUEST_INTERVAL_NS = 20 * MS  # between two requests that are not due by the renewal interval


class Holding:
    """The holder of one process of one instance, and the leader as far as replies tell it."""

    def __init__(self, context: Context, send: Callable[[int, str, LeaseRequest], None]) -> None:
        self.holder = Holder(holder_id(context.name, context.life), context.terms)
        self.leader = ""  # the voter whose reply was accepted last
        self.unreachable: set[str] = set()  # instances that no reply reaches, says the leader
        self.granted: dict[str, tuple[int, int]] = {}  # by held lease: its token, and since when
        self.next_request_at = 0
        self._last_request_at = -1000 * MS
        self._context = context
        self._send = send

    def next_due(self) -> int:
        """The time of the next request, or of the end of the held leases if that comes first."""
        if self.holder.leases:
            return min(self.next_request_at, self.holder.valid_until)
        return self.next_request_at

    def request_soon(self, now: int) -> None:
        """Schedule a request now, or MIN_REQUEST_INTERVAL_NS after the last one."""
        self.next_request_at = min(
            self.next_request_at, max(now, self._last_request_at + MIN_REQUEST_INTERVAL_NS)
        )

    def set_wanted(self, now: int, names: set[str]) -> None:
        """Set the leases to request. A held lease stays wanted until it is handed over, so that it
        is never without a holder."""
        wanted = names | set(self.holder.leases)
        if wanted - self.holder.wanted_names:
            self.request_soon(now)
        self.holder.wanted_names = wanted

    def send_request(self, now: int) -> None:
        """Send a request that renews the held leases and asks for the wanted ones, if any."""
        holder, terms, rng = self.holder, self._context.terms, self._context.rng
        self._last_request_at = now
        self.next_request_at = now + terms.renew_interval_ns
        if not (holder.wanted_names or holder.leases or holder.returning):
            return
        # If the last request has no reply, the leader may be gone: the request goes to every voter
        # and is repeated soon, after a random time so that the instances do not all send at once.
        leader_answered = self.leader and holder.last_answered_seq == holder.seq
        request = holder.next_request(now)
        self._context.counts["asks"] += 1
        if not leader_answered:
            self.next_request_at = now + int(terms.renew_interval_ns * (0.1 + 0.1 * rng.random()))
        for to in [self.leader] if leader_answered else self._context.wanted_voters:
            self._send(now, to, request)

    def receive_reply(self, now: int, sender: str, reply: LeaseReply) -> None:
        """Process a voter's reply, which has the held leases or names the leader."""
        self._context.counts["told"] += 1
        if not reply.ok:
            if reply.leader and reply.leader != self.leader:
                self.leader = reply.leader
                self.request_soon(now)
            elif sender == self.leader:
                self.leader = ""
            return
        self.leader = sender
        self.unreachable = {name_of(holder) for holder in reply.unreachable_holders}
        if self.holder.receive_reply(now, reply):
            for name, token in self.holder.leases.items():
                if self.granted.get(name, (0, 0))[0] != token:
                    self.granted[name] = (token, now)
                    self._context.events.add(now, f"holds {name} by token {token}")

    def take_lost(self, now: int) -> list[str]:
        """Return the leases that were lost since the last call."""
        names = self.holder.take_lost(now)
        for name in names:
            if self.granted.pop(name, None) is not None:
                self._context.events.add(now, f"holds {name} no more")
        return names

    def give_back(self, name: str) -> None:
        """Give back a lease that no task of this instance wants any more."""
        self.holder.give_back(name)
        self.granted.pop(name, None)

    def hand_over(self, now: int, name: str, to: str = "") -> str:
        """Give a lease to another instance, or to a holder that requested it; return the reason for
        a refusal, or an empty text."""
        if name not in self.holder.leases:
            return f"{name} is not held here"
        peer = self._context.peers.get(to)
        if to and (peer is None or not peer.accepts_leases):
            return f"{to} is no member that works"
        self.holder.give_back(name, holder_id(to, peer.life) if peer is not None else "")
        self.holder.lost_names.append(name)  # the task that acts under the lease has to end
        self.granted.pop(name, None)
        self._context.events.add(now, f"hands {name} over to {to or 'whoever asked'}")
        self.request_soon(now)
        return ""
