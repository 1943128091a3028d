"""What one instance holds: asks for leases, their answers, renewals, and handing over. Pure."""

from __future__ import annotations

from collections.abc import Callable

from tansywood.lease.context import Context, holder_id, name_of
from tansywood.lease.holder import Holder
from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.raft import MS

ASK_AGAIN = 20 * MS  # between two asks that were not due yet


class Holding:
    """The holder of one life of one instance, and who leads as far as it was told."""

    def __init__(self, context: Context, send: Callable[[int, str, LeaseRequest], None]) -> None:
        self.holder = Holder(holder_id(context.name, context.life), context.terms)
        self.leader = ""  # the voter that answered last
        self.deaf: set[str] = set()  # instances that ask and hear nothing, by its replies
        self.got: dict[str, tuple[int, int]] = {}  # token and when, of what is held
        self.next_ask = 0
        self._last_ask = -1000 * MS
        self._context = context
        self._send = send

    def next_due(self) -> int:
        """When to ask, or when what is held is over."""
        if self.holder.leases:
            return min(self.next_ask, self.holder.valid_until)
        return self.next_ask

    def ask_soon(self, now: int) -> None:
        """Ask at once, or a moment after the last time."""
        self.next_ask = min(self.next_ask, max(now, self._last_ask + ASK_AGAIN))

    def want(self, now: int, names: set[str]) -> None:
        """These are to be asked for. What is held stays wanted until it is handed over, so that
        nobody has a gap."""
        wanted = names | set(self.holder.leases)
        if wanted - self.holder.wanted_names:
            self.ask_soon(now)
        self.holder.wanted_names = wanted

    def ask(self, now: int) -> None:
        """Renew what is held and ask for what is wanted, if there is any."""
        holder, terms, rng = self.holder, self._context.terms, self._context.rng
        self._last_ask = now
        self.next_ask = now + terms.renew_interval_ns
        if not (holder.wanted_names or holder.leases or holder.returning):
            return
        # Where the last request was not answered whoever led may be gone: everybody is asked, and
        # soon again, but not by all at once.
        known = self.leader and holder.last_answered_seq == holder.seq
        ask = holder.next_request(now)
        self._context.counts["asks"] += 1
        if not known:
            self.next_ask = now + int(terms.renew_interval_ns * (0.1 + 0.1 * rng.random()))
        for to in [self.leader] if known else self._context.wanted_voters:
            self._send(now, to, ask)

    def receive_reply(self, now: int, sender: str, reply: LeaseReply) -> None:
        """A voter's answer: what is held, or who leads."""
        self._context.counts["told"] += 1
        if not reply.ok:
            if reply.leader and reply.leader != self.leader:
                self.leader = reply.leader
                self.ask_soon(now)
            elif sender == self.leader:
                self.leader = ""
            return
        self.leader = sender
        self.deaf = {name_of(holder) for holder in reply.unreachable_holders}
        if self.holder.receive_reply(now, reply):
            for name, token in self.holder.leases.items():
                if self.got.get(name, (0, 0))[0] != token:
                    self.got[name] = (token, now)
                    self._context.events.add(now, f"holds {name} by token {token}")

    def take_lost(self, now: int) -> list[str]:
        """Names that were held and may not be acted on any more."""
        names = self.holder.take_lost(now)
        for name in names:
            if self.got.pop(name, None) is not None:
                self._context.events.add(now, f"holds {name} no more")
        return names

    def give_back(self, name: str) -> None:
        """Nobody here wants it any more."""
        self.holder.give_back(name)
        self.got.pop(name, None)

    def hand_over(self, now: int, name: str, to: str = "") -> str:
        """Give a lease to another instance, or to whoever asked for it; says why not."""
        if name not in self.holder.leases:
            return f"{name} is not held here"
        peer = self._context.peers.get(to)
        if to and (peer is None or not peer.accepts_leases):
            return f"{to} is no member that works"
        self.holder.give_back(name, holder_id(to, peer.life) if peer is not None else "")
        self.holder.lost_names.append(name)  # whoever acts on it here has to end
        self.got.pop(name, None)
        self._context.events.add(now, f"hands {name} over to {to or 'whoever asked'}")
        self.ask_soon(now)
        return ""
