"""The lease client of one instance: its voter if it is one, its holder, who it hears. Pure.

Told what comes, who is there and what time it is, it says what goes (`sends`) and what happened
(`events`). The disk is asked by `voter.next_write`; sockets and tasks are the service's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from tansywood.fleet.turns import phase
from tansywood.lease.disk import Kept
from tansywood.lease.fragments import (
    LOG,
    Answer,
    Behind,
    Fragment,
    Here,
    Poke,
    Question,
    Reassembly,
    Said,
    pack,
    split_message,
    unpack,
)
from tansywood.lease.log import Append, Install, Message, Saved, Snapshot
from tansywood.lease.raft import LEADER, MS, Timing
from tansywood.lease.service import Ask, Holder, LeaseTerms, Told
from tansywood.lease.spread import Ranking, Waiting, misplaced
from tansywood.lease.table import Table
from tansywood.lease.voter import Voter

SECOND = 1000 * MS
EVENTS = 500
AGAIN = 20 * MS  # between two asks that were not due yet
HERE_EVERY = SECOND  # a voter's disk is told to the other voters' machines
HERE_FOR = 3 * SECOND  # it counts as there so long after its last word
TEND = 250 * MS  # between two looks at who should vote
WAITING_FOR = 3  # renewals after which an ask is forgotten
MOVE = 2 * SECOND  # between two hand-overs for the sake of spread
TOKENS_BEYOND = 1 << 32  # grants that lost disks may have made unknown to the one that goes on
STAND_IN = 3 * SECOND  # after a start, before which the members are not all known
SETTLED = 10 * SECOND  # a member counts for spread once it has been there so long


@dataclass(frozen=True, slots=True)
class Peer:
    """A member as the fleet knows it."""

    name: str
    address: str
    life: bytes
    since: int  # there since then
    works: bool = True  # there, and told neither to drain nor to leave
    sure: bool = True  # and nobody suspects that it is gone


def holder_id(name: str, life: bytes) -> str:
    """One life of one instance, as a holder."""
    return f"{name}/{life.hex()}"


def name_of(some: str) -> str:
    """The instance's name in a voter's or holder's id."""
    return some.partition("/")[0]


@dataclass(slots=True)
class _Heard:
    """What another voter's disk said last."""

    id: str
    at: int
    group: str
    learns: bool


class LeaseClient:
    """One life of one instance."""

    def __init__(
        self,
        name: str,
        life: bytes,
        voters: Iterable[str],
        terms: LeaseTerms,
        rng: Random,
        timing: Timing | None = None,
    ) -> None:
        """`voters` are the instances that are to vote, the same everywhere."""
        self.name = name
        self.life = life
        self.wanted_voters = tuple(voters)
        self.terms = terms
        self.timing = timing or Timing()
        self.rng = rng
        self.sends: list[tuple[str, Fragment]] = []  # to addresses
        self.events: deque[tuple[int, str]] = deque(maxlen=EVENTS)
        self.fresh_events: list[str] = []
        self.holder = Holder(holder_id(name, life), terms)
        self.voter: Voter | None = None
        self.down = ""  # why there is no voter, where there should be one
        self.aside = ""  # why our disk is to be put aside for a blank one
        self.peers: dict[str, Peer] = {}
        self.names: set[str] = set()  # tasks that somebody here would do
        self.everybodys: set[str] = set()  # of them, those that every instance would do
        self.prefers: dict[str, str] = {}  # the address at which a lease belongs, if it is there
        self.ranking = Ranking()
        self.draining = False
        self.leader = ""  # the voter that answered last
        self.deaf: set[str] = set()  # instances that ask and hear nothing, by its word
        self.waiting = Waiting(WAITING_FOR * terms.renew)
        self.counts = dict.fromkeys(
            ("asks", "told", "foreign", "length", "unread", "stale", "behind"), 0
        )
        self.got: dict[str, tuple[int, int]] = {}  # token and when, of what is held
        self.table: tuple[tuple[str, str, int], ...] = ()  # at one that does not vote: as told last
        self.table_at = -1
        self._reassembly = Reassembly()
        self._numbers = rng.getrandbits(48)
        self._heard: dict[str, _Heard] = {}  # by instance
        self._lives: dict[str, bytes] = {}  # of voters' disks
        self._past: dict[str, deque[bytes]] = {}
        self._born = -1  # when it was looked at first
        self._next_ask = 0
        self._last_ask = -SECOND
        self._next_here = 0
        self._next_tend = 0
        self._next_move = phase(name, MOVE)  # not all at once
        self._role = ""

    # ---- who is there --------------------------------------------------------------------------

    @property
    def votes(self) -> bool:
        """Whether the settings want this instance to vote."""
        return self.name in self.wanted_voters

    def start_voter(self, now: int, kept: Kept) -> None:
        """With what lies on its disk."""
        self.voter = Voter(kept, self.terms, self.timing, self.rng, now)
        self.down = ""
        self.aside = ""
        self._next_here = now
        self.say(now, f"votes as {kept.id}, {kept.saves} saves, term {kept.saved.term}")

    def stop_voter(self, now: int, why: str) -> None:
        """Its disk is away or can't be gone by: it is as if it had crashed."""
        self.voter = None
        self.down = why
        self.waiting = Waiting(WAITING_FOR * self.terms.renew)
        self.say(now, f"votes no more: {why}")

    def found(self, now: int, group: str) -> str:
        """Begin a group of voters with this one alone; says why not, or nothing."""
        voter = self.voter
        if voter is None:
            return f"no voter here: {self.down or 'the settings name others'}"
        if voter.slow:
            return "its disk is being written: try again"
        if voter.group:
            return f"its disk belongs to group {voter.group} already"
        heard = [h for h in self._heard.values() if h.group]
        if heard:
            return f"{heard[0].id} is in group {heard[0].group} already: it takes this one in"
        kept = Kept(voter.id, group, voter.kept.saves, Saved(), voter.known)
        self._alone(now, kept, Snapshot(0, 0, (voter.id,)), f"founds group {group}")
        return ""

    def refound(self, now: int, group: str) -> str:
        """Go on alone from what this disk knows, as another group; says why not, or nothing.

        For when a majority of disks is gone for good, and somebody has made sure that they are.
        What only they knew is lost, so tokens go on far beyond all that may have been given. It
        has to come a whole lease after the last of them could answer anybody: see the service.
        """
        voter = self.voter
        if voter is None or not voter.group:
            return "no voter of a group here: nothing to go on from"
        if voter.slow:
            return "its disk is being written: try again"
        if voter.leads and voter.raft.majority(voter.lately(now)):
            return "its group has a majority: nothing is to be mended"
        raft = voter.raft
        table = Table()  # nobody has anything: newer tokens of theirs may have acted already
        table.index = raft.last + TOKENS_BEYOND
        snapshot = Snapshot(table.index, raft.term, (voter.id,), table.save())
        kept = Kept(voter.id, group, voter.kept.saves, voter.kept.saved, {})
        told = f"goes on alone as group {group}, tokens from {table.index}"
        self._alone(now, kept, snapshot, told)
        return ""

    def _alone(self, now: int, kept: Kept, snapshot: Snapshot, told: str) -> None:
        self.start_voter(now, kept)
        assert self.voter is not None
        self.voter.begin_alone(now, snapshot)
        self.say(now, told)
        self.flush(now)

    def know(self, now: int, peers: Mapping[str, Peer], draining: bool = False) -> None:
        """Who is there, as the fleet knows it, and whether we are told to drain."""
        changed = {n: (p.works, p.sure) for n, p in peers.items()} != {
            n: (p.works, p.sure) for n, p in self.peers.items()
        }
        self.peers = dict(peers)
        if draining != self.draining:
            self.draining = draining
            changed = True
        if changed:
            self._choose(now)

    def want(self, now: int, name: str, everybody: bool = False) -> None:
        """Somebody here would do this. `everybody`: all instances would, and one should be first
        for it, so this one asks only if it is among the first few."""
        self.names.add(name)
        if everybody:
            self.everybodys.add(name)
        self._choose(now)

    def unwant(self, now: int, name: str) -> None:
        """No more: it is given back."""
        self.names.discard(name)
        self.everybodys.discard(name)
        self.holder.give(name)
        self.got.pop(name, None)
        self._choose(now)
        self._soon(now)

    def _settled(self, now: int) -> list[str]:
        return [
            p.name
            for p in self.peers.values()
            if p.works
            and p.name not in self.deaf
            and (p.name == self.name or now - p.since >= SETTLED)
        ]

    def _choose(self, now: int) -> None:
        ours = (self.names - self.everybodys) if not self.draining else set()
        if self.everybodys:
            self.ranking.update(self.everybodys, [p.name for p in self.peers.values() if p.works])
            near = self.ranking.near(self.name)
            ours |= near - self.prefers.keys()
            ours |= {n for n in self.prefers if self._stands_in(now, n, n in near)}
        # What is held stays wanted until it is handed over, so that nobody has a gap.
        wanted = ours | set(self.holder.leases)
        if wanted - self.holder.want:
            self._soon(now)
        self.holder.want = wanted

    def _stands_in(self, now: int, name: str, near: bool) -> bool:
        """Whether to ask for what belongs to one of the instances: that one always does, the first
        few others while it is away. Every move of such a lease costs more than where it is."""
        if self.draining or name not in self.everybodys:
            return False
        if self.prefers[name] == self._address(self.name):
            return True
        owner = [p for p in self.peers.values() if p.address == self.prefers[name]]
        away = not any(p.works and p.sure for p in owner)
        return near and away and now - self._born >= STAND_IN

    # ---- the network ---------------------------------------------------------------------------

    def _address(self, some: str) -> str:
        peer = self.peers.get(name_of(some))
        return peer.address if peer is not None else ""

    def _send(self, now: int, to: str, message: Message | Said, sender: str = "") -> None:
        """To a voter's or a holder's id, or to whatever votes at an instance of that name."""
        voter = self.voter
        sender = sender or (voter.id if voter is not None else self.holder.name)
        if name_of(to) == self.name:
            self._take(now, self.name, self.life, sender, to, message)
            return
        address = self._address(to)
        if not address:
            return
        payloads = split_message(pack(message))
        self._numbers += 1
        for index, data in enumerate(payloads):
            fragment = Fragment(
                voter.group if voter is not None else "", sender, to,
                voter.kept.saves if voter is not None else 0,
                self.terms.length // MS, self._numbers, index, len(payloads), data,
            )  # fmt: skip
            self.sends.append((address, fragment))

    def receive(self, now: int, name: str, life: bytes, fragment: Fragment) -> None:
        """What that life of that instance sent; the fleet's seal says that it did."""
        if fragment.length_ms != self.terms.length // MS:
            self.counts["length"] += 1
            return
        if name_of(fragment.sender) != name:
            self.counts["stale"] += 1
            return
        whole = self._reassembly.take(now, life, fragment)
        if whole is None:
            return
        try:
            message = unpack(whole)
        except msgspec.MsgspecError:
            self.counts["unread"] += 1
            return
        if isinstance(message, (*LOG, Here, Behind)) and not self._honest(now, life, fragment):
            return
        if isinstance(message, LOG) and not self._ours(fragment, message):
            return
        if isinstance(message, Here):
            self._here(now, name, fragment.sender, fragment.group, message)
        else:
            self._take(now, name, life, fragment.sender, fragment.to, message)
        self.flush(now)

    def _honest(self, now: int, life: bytes, fragment: Fragment) -> bool:
        """Whether a voter's disk has all that it said before. One that has less was restored from
        a copy, or lost what it had synced: nothing of it counts, and it is told."""
        voter = self.voter
        if voter is None:
            return True
        known = self._lives.get(fragment.sender)
        past = self._past.setdefault(fragment.sender, deque(maxlen=8))
        if life in past:
            self.counts["stale"] += 1
            return False
        most = voter.known.get(fragment.sender, 0)
        if known != life:
            if fragment.saves < most:
                self.counts["behind"] += 1
                self._send(now, fragment.sender, Behind(most))
                return False
            if known is not None:
                past.append(known)
            self._lives[fragment.sender] = life
        voter.known[fragment.sender] = max(most, fragment.saves)
        return True

    def _ours(self, fragment: Fragment, message: Message) -> bool:
        """Whether a message of the log is of our group and for this disk."""
        voter = self.voter
        if voter is None or fragment.to != voter.id:
            self.counts["stale"] += 1
            return False
        if fragment.group == voter.group:
            return True
        teaches = isinstance(message, Append | Install)
        if teaches and name_of(fragment.sender) in self.wanted_voters:
            if not voter.group:
                voter.group = fragment.group  # a blank disk is taken in by who teaches it first
                return True
            if voter.id not in voter.raft.voters:
                # What it learned was of a group that did not come to take it in. As another disk
                # it may learn of this one; for the first it is lost, which it has to outlast.
                self.aside = f"it learned of group {voter.group}, {fragment.group} takes it in"
        self.counts["foreign"] += 1
        return False

    def _here(self, now: int, name: str, sender: str, group: str, here: Here) -> None:
        self._heard[name] = _Heard(sender, now, group, here.learns)

    def _take(
        self, now: int, name: str, life: bytes, sender: str, to: str, message: Message | Said
    ) -> None:
        voter = self.voter
        if isinstance(message, Told):
            if to == self.holder.name:
                self._told(now, sender, message)
        elif isinstance(message, Poke):
            if to == self.holder.name:
                self._soon(now)
        elif isinstance(message, Answer):
            self.table = message.rows
            self.table_at = now
        elif voter is None:
            return
        elif isinstance(message, Ask):
            if message.holder != holder_id(name, life):
                self.counts["stale"] += 1  # nobody asks in another's name
                return
            voter.ask(now, message)
            if voter.leads:
                for lost, _, _ in message.give:
                    self.waiting.rows.get(lost, {}).pop(message.holder, None)
                table = voter.service.table.leases
                others = [n for n in message.take if n in table]
                self.waiting.heard(now, message.holder, others)
        elif isinstance(message, Behind):
            if to == voter.id and message.saves > voter.kept.saves:
                saves = voter.kept.saves
                self.aside = f"its disk has {saves} saves, others know of {message.saves}"
        elif isinstance(message, Question):
            rows = voter.service.table.leases
            told = tuple((n, le.holder, le.token) for n, le in sorted(rows.items()))
            self._send(now, sender, Answer(told))
        elif isinstance(message, LOG):
            voter.receive(now, sender, message)

    def flush(self, now: int) -> None:
        """Send what may go, deal what has become free."""
        while (voter := self.voter) is not None:
            changes, voter.changes = voter.changes, []
            if changes and voter.leads:
                self._dealt(now, voter, changes)
            sends = voter.sends()
            for to, message in sends:
                if isinstance(message, Told):
                    self._send(now, to, message, voter.id)
                else:
                    self._send(now, to, message)
            if not sends and not changes:
                break
        self._notice(now)

    def _dealt(self, now: int, voter: Voter, changes: list[Any]) -> None:
        freed = [name for change in changes for name in change.freed]
        waited = {w.ask.holder for w in voter.service.waits}
        for holder in {h for change in changes for _, h in change.granted} - waited:
            # It has not asked just now: it hears of what it has when it does.
            self._send(now, holder, Poke())
        table = voter.service.table
        free = [name for name in freed if name not in table.leases]
        rows = self.waiting.deal(now, free, {h: len(n) for h, n in table.of.items()})
        if rows:
            voter.grant(now, rows)

    # ---- the holder ----------------------------------------------------------------------------

    def _soon(self, now: int) -> None:
        self._next_ask = min(self._next_ask, max(now, self._last_ask + AGAIN))

    def _told(self, now: int, sender: str, told: Told) -> None:
        self.counts["told"] += 1
        if not told.ok:
            if told.leader and told.leader != self.leader:
                self.leader = told.leader
                self._soon(now)
            elif sender == self.leader:
                self.leader = ""
            return
        self.leader = sender
        self.deaf = {name_of(holder) for holder in told.deaf}
        if self.holder.told(now, told):
            for name, token in self.holder.leases.items():
                if self.got.get(name, (0, 0))[0] != token:
                    self.got[name] = (token, now)
                    self.say(now, f"holds {name} by token {token}")

    def _ask(self, now: int) -> None:
        holder = self.holder
        self._last_ask = now
        self._next_ask = now + self.terms.renew
        if not (holder.want or holder.leases or holder.giving):
            return
        # Where the last word was not answered whoever led may be gone: everybody is asked, and
        # soon again, but not by all at once.
        known = self.leader and holder.heard == holder.seq
        ask = holder.ask(now)
        self.counts["asks"] += 1
        if not known:
            self._next_ask = now + int(self.terms.renew * (0.1 + 0.1 * self.rng.random()))
        for to in [self.leader] if known else self.wanted_voters:
            self._send(now, to, ask, holder.name)

    def may(self, now: int, name: str) -> int:
        """The token to act with; 0 where it may not."""
        return self.holder.may(now, name)

    def lost(self, now: int) -> list[str]:
        """Names that were held and may not be acted on any more."""
        names = self.holder.expire(now)
        for name in names:
            if self.got.pop(name, None) is not None:
                self.say(now, f"holds {name} no more")
        if names:
            self._choose(now)
            self._soon(now)
        return names

    def question(self, now: int) -> None:
        """Ask the voters who holds what."""
        for name in self.wanted_voters:
            self._send(now, name, Question(), self.holder.name)

    def hand_over(self, now: int, name: str, to: str = "") -> str:
        """Give a lease to another instance, or to whoever asked for it; says why not."""
        if name not in self.holder.leases:
            return f"{name} is not held here"
        peer = self.peers.get(to)
        if to and (peer is None or not peer.works):
            return f"{to} is no member that works"
        self.holder.give(name, holder_id(to, peer.life) if peer is not None else "")
        self.holder.lost.append(name)  # whoever acts on it here has to end
        self.got.pop(name, None)
        self.say(now, f"hands {name} over to {to or 'whoever asked'}")
        self._soon(now)
        return ""

    def _misplaced(self, names: list[str], members: list[str]) -> dict[str, str]:
        """Of these, what belongs to another of the members, and to whom."""
        at = {self._address(member): member for member in members}
        found = misplaced([n for n in names if n not in self.prefers], members, self.name)
        for name in names:
            owner = at.get(self.prefers.get(name, ""), self.name)
            if owner != self.name:
                found[name] = owner
            elif self.draining and name in self.prefers:
                found |= misplaced([name], members, self.name)
        return found

    def _spread(self, now: int) -> None:
        """Hand on what another is the first for: all of it at once when draining, an eighth at a
        time otherwise, and only to who has been there for a while."""
        mine = [n for n in self.holder.leases if n in self.everybodys]
        if self.draining:
            others = [n for n in self._settled(now) if n != self.name]
            for name, to in self._misplaced(list(self.holder.leases), others).items():
                self.hand_over(now, name, to)
            self._choose(now)
        elif now >= self._next_move:
            self._next_move = now + MOVE
            rows = sorted(self._misplaced(mine, self._settled(now)).items())
            for name, to in rows[: -(-len(rows) // 8)]:
                self.hand_over(now, name, to)
            if rows:
                self._choose(now)

    # ---- who votes -----------------------------------------------------------------------------

    def _tend(self, now: int, voter: Voter) -> None:
        """Make the voters those that the settings want, one at a time (Ongaro, 4.1): who came back
        with another disk or is wanted no more goes out, who is there and level comes in."""
        if not voter.leads:
            return
        self.waiting.sweep(now)
        raft = voter.raft
        ids = {name_of(v): v for v in raft.voters}
        there = {
            name: heard.id
            for name, heard in self._heard.items()
            if now - heard.at <= HERE_FOR and (heard.learns or heard.group == voter.group)
        }
        there[self.name] = voter.id
        lately = set(voter.lately(now))
        for name, old in ids.items():
            gone = name not in self.wanted_voters
            replaced = there.get(name, old) != old
            rest = [v for v in raft.voters if v != old]
            # What is left has to have a majority that is there, or nothing is agreed any more.
            enough = 2 * len(lately & set(rest)) > len(rest)
            if (gone or replaced) and rest and enough:
                why = "is wanted no more" if gone else f"came back as {there[name]}"
                if not voter.change_voters(now, tuple(rest)):
                    self.say(now, f"takes {old} out of the voters: it {why}")
                    return
        for name in self.wanted_voters:
            if name in ids or name not in there:
                continue
            new = there[name]
            if new not in raft.learners:
                voter.teach(now, new)
                return
            if raft.caught_up(new) and now - raft.heard.get(new, 0) <= SECOND:
                if not voter.change_voters(now, (*raft.voters, new)):
                    self.say(now, f"takes {new} into the voters")
                return

    # ---- time ----------------------------------------------------------------------------------

    def next_due(self) -> int:
        due = [self._next_ask, self._next_tend]
        if self.voter is not None:
            due += [self.voter.next_due(), self._next_here]
        if self.holder.leases:
            due.append(self.holder.until)
        return min(due)

    def tick(self, now: int) -> None:
        if self._born < 0:
            self._born = now
        voter = self.voter
        if voter is not None:
            voter.tick(now)
            if now >= self._next_here:
                self._next_here = now + HERE_EVERY
                here = Here(voter.id not in voter.raft.voters)
                for name in self.wanted_voters:
                    if name != self.name:
                        self._send(now, name, here)
        if now >= self._next_tend:
            self._next_tend = now + TEND
            if voter is not None:
                self._tend(now, voter)
            if self.prefers:
                self._choose(now)
            self._spread(now)
        if now >= self._next_ask:
            self._ask(now)
        self.flush(now)

    def _notice(self, now: int) -> None:
        voter = self.voter
        role = ""
        if voter is not None and voter.raft.role == LEADER:
            role = f"leads in term {voter.raft.term}" if voter.leads else ""
        if role != self._role:
            if role or self._role:
                self.say(now, role or "leads no more")
            self._role = role

    def say(self, now: int, text: str) -> None:
        self.events.append((now, text))
        self.fresh_events.append(text)

    def leave(self, now: int) -> None:
        """At an orderly end: everything is given back now, to who is the first for it."""
        others = [n for n in self._settled(now) if n != self.name]
        for name, to in self._misplaced(list(self.holder.leases), others).items():
            self.hand_over(now, name, to)
        for name in list(self.holder.leases):
            self.hand_over(now, name)
        self.names.clear()
        self.everybodys.clear()
        self.holder.want = set()
        self._ask(now)
        self.flush(now)

    # ---- telling people ------------------------------------------------------------------------

    def why(self, now: int, name: str) -> list[str]:
        """Who has a lease, or why nobody has, in sentences."""
        voter = self.voter
        if voter is None:
            if self.votes:
                return [f"no voter here: {self.down or 'its disk is being read'}"]
            return ["this instance does not vote: ask one of " + ", ".join(self.wanted_voters)]
        if not voter.group:
            return [
                "no group of voters was founded, or none has taken this disk in: "
                "`tansywood lease found FILE` at one instance, once"
            ]
        raft = voter.raft
        told = []
        if not raft.leader:
            told.append(
                f"no leader since {(now - max(raft.heard_at, 0)) / SECOND:.0f} s: a majority of "
                f"{', '.join(raft.voters)} has to reach one another; until then nobody gets a "
                "lease, and whoever holds one loses it when its time is over"
            )
        elif not voter.leads:
            told.append(f"{raft.leader} leads and knows more: as far as this voter has read")
        row = voter.service.table.leases.get(name)
        if row is None:
            asked = [h for h, at in self.waiting.rows.get(name, {}).items()]
            told.append(
                f"nobody holds {name}" + (f"; asked by {', '.join(asked)}" if asked else
                "; nobody asked for it lately")
            )  # fmt: skip
            return told
        since = (now - voter.since.get(name, now)) / SECOND
        told.append(f"{row.holder} holds {name} by token {row.token}, for {since:.1f} s here")
        if voter.leads:
            left = (voter.service.ends.get(row.holder, now) - now) / SECOND
            told.append(f"it may be ended in {max(left, 0):.1f} s unless it renews")
        return told

    def status(self, now: int) -> dict[str, Any]:
        """Of JSON's types."""
        voter = self.voter
        told: dict[str, Any] = {
            "name": self.name,
            "holder": self.holder.name,
            "wanted_voters": list(self.wanted_voters),
            "length_ms": self.terms.length // MS,
            "down": self.down,
            "held": [
                {
                    "name": name,
                    "token": token,
                    "for_s": round((now - self.got.get(name, (0, now))[1]) / SECOND, 1),
                    "left_s": round((self.holder.until - now) / SECOND, 2),
                }
                for name, token in sorted(self.holder.leases.items())
            ],
            "asks_for": sorted(self.holder.want - set(self.holder.leases)),
            "counts": dict(self.counts),
            "events": [
                {"ago_s": round((now - at) / SECOND, 1), "what": what} for at, what in self.events
            ],
        }
        rows: list[tuple[str, str, int, float | None]]
        if voter is None:
            rows = [(name, holder, token, None) for name, holder, token in self.table]
        else:
            raft = voter.raft
            told["voter"] = {
                "id": voter.id,
                "group": voter.group,
                "role": raft.role,
                "term": raft.term,
                "leader": raft.leader,
                "voters": list(raft.voters),
                "commit": raft.commit,
                "last": raft.last,
                "saves": voter.kept.saves,
                "writing": voter.slow,
                "lately": voter.lately(now),
            }
            rows = [
                (name, lease.holder, lease.token, (now - voter.since.get(name, now)) / SECOND)
                for name, lease in sorted(voter.service.table.leases.items())
            ]
        told["leases"] = [
            {
                "name": name,
                "holder": holder,
                "token": token,
                "for_s": None if since is None else round(since, 1),
            }
            for name, holder, token, since in rows
        ]
        return told
