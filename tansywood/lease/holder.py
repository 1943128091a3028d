"""The holder's side of a lease: which leases a process may act on, and its requests. Pure.

Times are nanoseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import deque

from tansywood.lease.messages import LeaseReply, LeaseRequest
from tansywood.lease.terms import LeaseTerms


class Holder:
    """One process of one instance as a holder: its leases and its requests to the voters."""

    def __init__(self, name: str, terms: LeaseTerms) -> None:
        self.name = name
        self.terms = terms
        self.seq = 0
        self.last_answered_seq = 0  # number of the latest request with a usable reply
        self.valid_until = 0
        self.leases: dict[str, int] = {}  # fencing tokens by name
        self.wanted_names: set[str] = set()
        # Leases that are being given back, by name: the token, and the next holder or "".
        self.returning: dict[str, tuple[int, str]] = {}
        self._sent: deque[tuple[int, int]] = deque()
        self.lost_names: list[str] = []  # leases lost since the last `take_lost`

    def next_request(self, now: int) -> LeaseRequest:
        """Build the next request to the leader. The caller must send it now or drop it, because the
        time limit of the renewed leases counts from `now`."""
        self.seq += 1
        self._sent.append((self.seq, now))
        while now - self._sent[0][1] > self.terms.holder_duration_ns:
            self._sent.popleft()
        acquire = tuple(sorted(n for n in self.wanted_names if n not in self.leases))
        release = tuple((n, t, to) for n, (t, to) in sorted(self.returning.items()))
        return LeaseRequest(self.name, self.seq, acquire, release, self.last_answered_seq)

    def receive_reply(self, now: int, reply: LeaseReply) -> bool:
        """Take over the leases of a reply. False if the reply is late, older than another that was
        processed, or a refusal."""
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
                del self.returning[name]  # the voters no longer list the lease for this holder
            else:
                del new[name]  # given back here; the log does not have the release yet
        self.lost_names += [n for n, token in self.leases.items() if new.get(n) != token]
        self.leases = new
        for name in [n for n in new if n not in self.wanted_names]:
            self.give_back(name)  # a delayed older request acquired the lease again
        return True

    def usable_token(self, now: int, name: str) -> int:
        """The fencing token to act with on this lease now, or 0 if the holder may not act on it."""
        return self.leases.get(name, 0) if now < self.valid_until else 0

    def give_back(self, name: str, to: str = "") -> None:
        """Give a lease back, to the holder `to` if one is named. From now on this holder must not
        act on the lease."""
        token = self.leases.pop(name, 0)
        self.wanted_names.discard(name)
        if token:
            self.returning[name] = (token, to)

    def take_lost(self, now: int) -> list[str]:
        """Return the leases lost since the last call, because another holder has them or their time
        is over. The caller has to end their tasks."""
        if now >= self.valid_until and self.leases:
            self.lost_names += list(self.leases)
            self.leases.clear()
        lost, self.lost_names = self.lost_names, []
        return lost
