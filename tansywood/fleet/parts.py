"""How much of a limit is ours: homes that deal their slices, and holders that claim. Pure.

The whole of a limit is cut into fixed slices, one for each home; a home deals its slice by grants
that end. What is granted and not certainly over is not granted again: see docs/design/fleet.md
for why the sum over all instances never exceeds the whole. Amounts are whole units: thousandths of
a request a second for a rate, requests for open ones and for places at a server.

Times are nanoseconds of this process's monotonic clock. Only their differences matter, and two
processes' are never compared.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from zlib import crc32

from tansywood.fleet.deal import deal
from tansywood.fleet.messages import Claim, Given, Grant, Seen, Want
from tansywood.fleet.terms import Terms

RATE, OPEN, AT = "rate", "open", "at"
FLOOR_PART = 50  # of its slice that a home keeps for itself
FLOOR_FROM = 4  # units of a slice, from which it keeps one at least


def rate_pot(tenant: str) -> str:
    return f"{tenant}/{RATE}"


def open_pot(tenant: str) -> str:
    return f"{tenant}/{OPEN}"


def place_pot(tenant: str, server: str) -> str:
    return f"{tenant}/{AT}/{server}"


def tenant_of(pot: str) -> str:
    return pot.partition("/")[0]


def slice_of(pot: str, whole: int, homes: int, index: int) -> int:
    """The part of `whole` that home `index` of `homes` deals: they sum to it exactly. Odd units
    go to other homes for other pots."""
    place = (index - crc32(pot.encode())) % homes
    return whole // homes + (place < whole % homes)


def floor_of(part: int) -> int:
    """What a home keeps of its slice for its own workers, granted to nobody."""
    return max(part // FLOOR_PART, 1 if part >= FLOOR_FROM else 0)


@dataclass(slots=True)
class _Out:
    """One grant that may be in use."""

    seq: int
    amount: int
    end: int  # certainly over then


@dataclass(slots=True)
class _Claimant:
    need: int = 0
    at: int = 0
    seq: int = -1
    out: list[_Out] = field(default_factory=list)
    most: int = 0  # of what is out


class _Pot:
    """One limit's slice at its home."""

    def __init__(self, part: int, tail: int, born: int) -> None:
        self.part = part
        self.tail = tail
        self.born = born
        self.claimants: dict[bytes, _Claimant] = {}
        self.total = 0  # sum of `most`
        self.ends: list[tuple[int, bytes]] = []
        self.credit: dict[bytes, float] = {}
        self.dealt: dict[bytes, int] = {}
        self.dealt_at = 0

    @property
    def dealable(self) -> int:
        return self.part - floor_of(self.part)

    def recount(self, who: bytes, c: _Claimant, now: int) -> None:
        c.out = [o for o in c.out if o.end > now]
        most = max((o.amount for o in c.out), default=0)
        self.total += most - c.most
        c.most = most

    def lengthen(self, by: int) -> None:
        for who, c in self.claimants.items():
            for o in c.out:
                o.end += by
                heappush(self.ends, (o.end, who))

    def expire(self, now: int) -> None:
        while self.ends and self.ends[0][0] <= now:
            who = heappop(self.ends)[1]
            c = self.claimants.get(who)
            if c is not None:
                self.recount(who, c, now)
                if not c.out:
                    del self.claimants[who]

    def deal(self, now: int, terms: Terms) -> None:
        needs = {w: c.need for w, c in self.claimants.items() if now - c.at <= terms.length}
        had = {w: c.out[-1].amount for w, c in self.claimants.items() if c.out}
        self.dealt = deal(self.dealable, needs, self.credit, had)
        self.dealt_at = now

    def claim(self, now: int, who: bytes, seq: int, want: Want, terms: Terms, ready: bool) -> int:
        """What is granted by this claim; -1 where it is older than one that was answered."""
        self.expire(now)
        c = self.claimants.get(who)
        new = c is None
        if c is None:
            c = self.claimants[who] = _Claimant()
        if seq <= c.seq:
            return -1
        c.seq = seq
        woke = want.need > 0 and not c.need
        c.need = want.need
        c.at = now
        c.out = [o for o in c.out if o.seq >= want.applied]
        self.recount(who, c, now)
        if new or woke or now - self.dealt_at >= terms.round:
            self.deal(now, terms)
        free = self.dealable - (self.total - c.most)
        amount = max(min(self.dealt.get(who, 0), free), 0) if ready else 0
        end = now + terms.length + terms.after(self.tail)
        if c.out and c.out[-1].amount == amount:
            c.out[-1].seq, c.out[-1].end = seq, end  # one, for longer
        else:
            c.out.append(_Out(seq, amount, end))
        heappush(self.ends, (end, who))
        self.recount(who, c, now)
        return amount


class Home:
    """Deals the slices of one home, for one life of its process."""

    def __init__(self, terms: Terms, homes: int, index: int, now: int) -> None:
        if not 0 <= index < homes:
            raise ValueError(f"home {index} of {homes}")
        self.terms = terms
        self.homes = homes
        self.index = index
        self.born = now
        self.pots: dict[str, _Pot] = {}
        self._dropped: dict[str, tuple[int, int]] = {}  # when, and with what tail

    def set_whole(self, pot: str, whole: int, tail: int) -> None:
        """The limit is `whole` from now on; whatever is taken under a grant is over `tail` after
        the grant's end. A longer tail binds what is out already, a shorter one nothing."""
        part = slice_of(pot, whole, self.homes, self.index)
        known = self.pots.get(pot)
        if known is None:
            born, before = self._dropped.pop(pot, (self.born, tail))
            self.pots[pot] = _Pot(part, max(tail, before), born)
        else:
            known.part = part
            if tail > known.tail:
                # What is taken from now on under a grant that is out already lasts longer too.
                known.lengthen(self.terms.after(tail) - self.terms.after(known.tail))
                known.tail = tail

    def keep(self, pots: Iterable[str], now: int) -> None:
        """There are no limits but these any more. What was granted of others ends by itself: one
        that comes back under its name waits for that, as after a start."""
        wanted = set(pots)
        for pot in [p for p in self.pots if p not in wanted]:
            self._dropped[pot] = (now, self.pots.pop(pot).tail)
        for pot, (at, tail) in list(self._dropped.items()):
            if now >= at + self.terms.length + self.terms.after(tail):
                del self._dropped[pot]  # all that was granted of it is over

    def ready(self, pot: str, now: int) -> bool:
        """Whether whatever an earlier life of this home granted is certainly over."""
        known = self.pots[pot]
        return now >= known.born + self.terms.length + self.terms.after(known.tail)

    def claim(self, now: int, who: bytes, claim: Claim) -> list[Given]:
        """Answer a claim of the holder whose life is `who`; nothing for pots not known here."""
        given = []
        for want in claim.wants:
            pot = self.pots.get(want.pot)
            if pot is None:
                continue
            ready = self.ready(want.pot, now)
            amount = pot.claim(now, who, claim.seq, want, self.terms, ready)
            if amount >= 0:
                given.append(Given(want.pot, amount))
        return given

    def give_back(self, now: int, who: bytes, seq: int) -> None:
        """A holder says that it uses nothing any more, and claims no more under this life."""
        for pot in self.pots.values():
            c = pot.claimants.get(who)
            if c is not None and seq > c.seq:
                c.seq = seq
                c.need = 0
                c.at = now - self.terms.length - 1
                c.out = []
                pot.recount(who, c, now)

    def out(self, pot: str, now: int) -> int:
        """Units granted and not certainly over."""
        known = self.pots[pot]
        known.expire(now)
        return known.total


@dataclass(slots=True)
class _Held:
    amount: int = 0
    end: int = 0
    seq: int = -1  # of the claim it came by
    applied: int = 0  # the claim that the workers go by, nothing before it


class Holder:
    """What one instance holds of every pot, of every home, for one life of its process."""

    def __init__(self, terms: Terms, homes: int) -> None:
        self.terms = terms
        self.homes = homes
        self.seqs = [0] * homes
        self._sent: list[deque[tuple[int, int]]] = [deque() for _ in range(homes)]
        self._held: dict[str, list[_Held]] = {}
        self.version = 0  # grows with every change of an amount
        self._changed: dict[str, int] = {}
        self._last: dict[str, int] = {}

    def claim(
        self, now: int, home: int, needs: Mapping[str, int], seen: list[Seen] | None = None
    ) -> Claim:
        """The next claim of these pots from a home. It has to leave now, or never."""
        self.seqs[home] += 1
        seq = self.seqs[home]
        sent = self._sent[home]
        sent.append((seq, now))
        while sent and now - sent[0][1] > self.terms.used:
            sent.popleft()
        wants = []
        for pot, need in needs.items():
            held = self._held.get(pot)
            wants.append(Want(pot, need, held[home].applied if held is not None else 0))
        return Claim(seq, wants, seen or [], home)

    def granted(self, now: int, home: int, grant: Grant) -> bool:
        """Take an answer; False where it is nothing to go by any more: over, or overtaken."""
        sent = next((at for seq, at in self._sent[home] if seq == grant.seq), None)
        if sent is None:
            return False
        end = sent + self.terms.used
        if end <= now:
            return False
        taken = False
        for row in grant.given:
            rows = self._held.setdefault(row.pot, [_Held() for _ in range(self.homes)])
            held = rows[home]
            if grant.seq <= held.seq:
                continue
            held.amount, held.end, held.seq = row.amount, end, grant.seq
            taken = True
            self._look(now, row.pot)
        return taken

    def _look(self, now: int, pot: str) -> int:
        amount = sum(h.amount for h in self._held.get(pot, ()) if h.end - now > self.terms.spare)
        if self._last.get(pot, 0) != amount:
            self.version += 1
            self._changed[pot] = self.version
            self._last[pot] = amount
        return amount

    def amount(self, now: int, pot: str) -> int:
        """Units that may be used now."""
        return self._look(now, pot)

    def until(self, now: int, pot: str) -> int:
        """When the first of what `amount` counts is over; `now` where it counts nothing."""
        ends = [h.end for h in self._held.get(pot, ()) if h.end - now > self.terms.spare]
        return min(ends, default=now)

    def changed(self, pot: str) -> int:
        """The version at which a pot's amount changed last."""
        return self._changed.get(pot, 0)

    def confirm(self, now: int, pot: str, used: int, version: int) -> bool:
        """The workers go by `version`, with `used` units in use. True where the homes can be told
        that nothing older is in use; then telling them at once frees what was taken back."""
        held = self._held.get(pot)
        if held is None or version < self.changed(pot) or used > self._look(now, pot):
            return False
        lowered = False
        for h in held:
            if h.end > now and h.applied < h.seq:
                h.applied = h.seq
                lowered = True
        return lowered

    def forget(self, now: int, pot: str) -> None:
        """Nobody here uses it any more, and all it held is over."""
        if all(h.end <= now for h in self._held.get(pot, ())):
            self._held.pop(pot, None)
            self._last.pop(pot, None)
            self._changed.pop(pot, None)
