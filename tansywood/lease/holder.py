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
        self.last_answered_seq = 0  # the latest request that was answered
        self.valid_until = 0
        self.leases: dict[str, int] = {}  # tokens
        self.wanted_names: set[str] = set()
        self.returning: dict[str, tuple[int, str]] = {}  # tokens, and to whom
        self._sent: deque[tuple[int, int]] = deque()
        self.lost_names: list[str] = []  # that it had and has not any more, to end their tasks

    def next_request(self, now: int) -> LeaseRequest:
        """The next request to whoever leads. It has to leave now, or never."""
        self.seq += 1
        self._sent.append((self.seq, now))
        while now - self._sent[0][1] > self.terms.holder_duration_ns:
            self._sent.popleft()
        take = tuple(sorted(n for n in self.wanted_names if n not in self.leases))
        give = tuple((n, t, to) for n, (t, to) in sorted(self.returning.items()))
        return LeaseRequest(self.name, self.seq, take, give, self.last_answered_seq)

    def receive_reply(self, now: int, reply: LeaseReply) -> bool:
        """Take a reply; False where it is nothing to go by: late, overtaken, or a refusal."""
        sent = next((at for seq, at in self._sent if seq == reply.seq), None)
        if not reply.ok or sent is None or reply.seq <= self.last_answered_seq:
            return False
        end = sent + self.terms.holder_duration_ns
        if end <= now:
            return False
        self.last_answered_seq = reply.seq
        self.valid_until = end
        new = {name: token for name, token in reply.leases}
        for name, (token, _) in list(self.returning.items()):
            if new.get(name) != token:
                del self.returning[name]  # it has gone where it was to go
            else:
                del new[name]  # given up here already, though the log does not have it yet
        self.lost_names += [n for n, token in self.leases.items() if new.get(n) != token]
        self.leases = new
        for name in [n for n in new if n not in self.wanted_names]:
            self.give_back(name)  # an old request of ours came late and took it once more
        return True

    def usable_token(self, now: int, name: str) -> int:
        """The token to act with on this lease now; 0 where it may not."""
        return self.leases.get(name, 0) if now < self.valid_until else 0

    def give_back(self, name: str, to: str = "") -> None:
        """Give a lease back, to somebody perhaps. It may not act on it from this moment on."""
        token = self.leases.pop(name, 0)
        self.wanted_names.discard(name)
        if token:
            self.returning[name] = (token, to)

    def take_lost(self, now: int) -> list[str]:
        """Names whose tasks have to end: another has them, or their time is over."""
        if now >= self.valid_until and self.leases:
            self.lost_names += list(self.leases)
            self.leases.clear()
        lost, self.lost_names = self.lost_names, []
        return lost
