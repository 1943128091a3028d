"""The holder's side of a lease: what one life of one instance may act on, and what it asks. Pure.

Times are nanoseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import deque

from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.terms import LeaseTerms


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
        while now - self._sent[0][1] > self.terms.holder_duration_ns:
            self._sent.popleft()
        take = tuple(sorted(n for n in self.want if n not in self.leases))
        give = tuple((n, t, to) for n, (t, to) in sorted(self.giving.items()))
        return LeaseRequest(self.name, self.seq, take, give, self.heard)

    def receive_reply(self, now: int, reply: LeaseReply) -> bool:
        """Take a reply; False where it is nothing to go by: late, overtaken, or a refusal."""
        sent = next((at for seq, at in self._sent if seq == reply.seq), None)
        if not reply.ok or sent is None or reply.seq <= self.heard:
            return False
        end = sent + self.terms.holder_duration_ns
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
