"""The lease client of one instance: its voter if it is one, its holder, who it hears. Pure.

It takes messages, members and the time, and gives messages to send (`take_sends`) and what
happened (`events`). The disk is asked by `voter.next_write`; sockets and tasks are the service's.
Its parts are `holding` (what is asked for and held), `placement` (what belongs where), `electorate`
(who votes), `exchange` (messages) and `status` (what people are told).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any

from tansywood.fleet.events import EventLog
from tansywood.lease import founding, status
from tansywood.lease.context import Context, Peer, holder_id
from tansywood.lease.disk import DiskContents
from tansywood.lease.electorate import Electorate
from tansywood.lease.exchange import Admission, Exchange
from tansywood.lease.fragments import Fragment
from tansywood.lease.holder import Holder
from tansywood.lease.holding import Holding
from tansywood.lease.messages import (
    LOG_MESSAGES,
    AnyMessage,
    DiskBehind,
    GrantNotice,
    LeaseReply,
    LeaseRequest,
    TableQuery,
    TableReply,
    VoterAnnouncement,
)
from tansywood.lease.placement import Placement
from tansywood.lease.raft import LEADER, MS, Timing
from tansywood.lease.spread import Waitlist
from tansywood.lease.table import TableChange
from tansywood.lease.terms import LeaseTerms
from tansywood.lease.voter import Voter

TEND_EVERY = 250 * MS  # between two looks at who should vote and where leases belong
WAITING_FOR = 3  # renewals after which an ask is forgotten


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
        self.context = Context(name, life, tuple(voters), terms, rng)
        self.timing = timing or Timing()
        self.voter: Voter | None = None
        self.voter_down_reason = ""  # why there is no voter, where there should be one
        self.disk_rejection_reason = ""  # why our disk is to be put aside for a blank one
        self.exchange = Exchange(self.context, self._take)
        self.admission = Admission(self.context)
        self.electorate = Electorate(self.context, self._send)
        self.holding = Holding(self.context, self._send_request)
        self.placement = Placement(self.context)
        self.waitlist = Waitlist(WAITING_FOR * terms.renew_interval_ns)
        self.table: tuple[tuple[str, str, int], ...] = ()  # at one that does not vote: as told last
        self.table_received_at = -1
        self._next_tend = 0
        self._role = ""

    # ---- what is read of it --------------------------------------------------------------------

    @property
    def name(self) -> str:
        """Of the instance."""
        return self.context.name

    @property
    def life(self) -> bytes:
        """Of this process."""
        return self.context.life

    @property
    def terms(self) -> LeaseTerms:
        """How long leases last."""
        return self.context.terms

    @terms.setter
    def terms(self, terms: LeaseTerms) -> None:
        self.context.terms = terms

    @property
    def wanted_voters(self) -> tuple[str, ...]:
        """Instances that are to vote."""
        return self.context.wanted_voters

    @wanted_voters.setter
    def wanted_voters(self, names: tuple[str, ...]) -> None:
        self.context.wanted_voters = names

    @property
    def should_vote(self) -> bool:
        """Whether the settings want this instance to vote."""
        return self.context.name in self.context.wanted_voters

    @property
    def peers(self) -> dict[str, Peer]:
        """Members, by name."""
        return self.context.peers

    @property
    def counts(self) -> dict[str, int]:
        """Messages, by what became of them."""
        return self.context.counts

    @property
    def events(self) -> EventLog[str]:
        """What happened."""
        return self.context.events

    @property
    def holder(self) -> Holder:
        """What is held and asked for."""
        return self.holding.holder

    def take_sends(self) -> list[tuple[str, Fragment]]:
        """Fragments to be sent now, with their addresses."""
        sends, self.exchange.sends = self.exchange.sends, []
        return sends

    # ---- the voter -----------------------------------------------------------------------------

    def start_voter(self, now: int, kept: DiskContents) -> None:
        """With what lies on its disk."""
        self.voter = Voter(kept, self.terms, self.timing, self.context.rng, now)
        self.voter_down_reason = ""
        self.disk_rejection_reason = ""
        self.electorate.announce_at = now
        self.events.add(now, f"votes as {kept.id}, {kept.saves} saves, term {kept.saved.term}")

    def stop_voter(self, now: int, why: str) -> None:
        """Its disk is away or can't be gone by: it is as if it had crashed."""
        self.voter = None
        self.voter_down_reason = why
        self.waitlist = Waitlist(WAITING_FOR * self.terms.renew_interval_ns)
        self.events.add(now, f"votes no more: {why}")

    def found(self, now: int, group: str) -> str:
        """Begin a group of voters with this one alone; says why not, or nothing."""
        if self.voter is None:
            return f"no voter here: {self.voter_down_reason or 'the settings name others'}"
        return self._alone(
            now, founding.found(self.voter, group, self.electorate.find_known_group())
        )

    def refound(self, now: int, group: str) -> str:
        """Go on alone from what this disk knows, as another group; says why not, or nothing. See
        `founding.refound` for what has to be made sure of first."""
        if self.voter is None or not self.voter.group:
            return "no voter of a group here: nothing to go on from"
        return self._alone(now, founding.refound(now, self.voter, group))

    def _alone(self, now: int, group: founding.NewGroup | str) -> str:
        if isinstance(group, str):
            return group
        self.start_voter(now, group.kept)
        assert self.voter is not None
        self.voter.lead_alone(now, group.snapshot)
        self.events.add(now, group.event)
        self.flush(now)
        return ""

    # ---- who is there, and what is to be done here ---------------------------------------------

    def update_members(self, now: int, peers: Mapping[str, Peer], draining: bool = False) -> None:
        """Who is there, as the fleet knows it, and whether we are told to drain."""
        changed = {n: (p.accepts_leases, p.is_unsuspected) for n, p in peers.items()} != {
            n: (p.accepts_leases, p.is_unsuspected) for n, p in self.peers.items()
        }
        self.context.peers = dict(peers)
        if draining != self.placement.draining:
            self.placement.draining = draining
            changed = True
        if changed:
            self.update_wanted(now)

    def request_lease(self, now: int, name: str, everybody: bool = False) -> None:
        """Somebody here would do this. `everybody`: all instances would, and one should be first
        for it, so this one asks only if it is among the first few."""
        self.placement.wanted_names.add(name)
        if everybody:
            self.placement.shared_names.add(name)
        self.update_wanted(now)

    def release_lease(self, now: int, name: str) -> None:
        """No more: it is given back."""
        self.placement.wanted_names.discard(name)
        self.placement.shared_names.discard(name)
        self.holding.give_back(name)
        self.update_wanted(now)
        self.holding.ask_soon(now)

    def update_wanted(self, now: int) -> None:
        """Look anew at what to ask for."""
        self.holding.want(now, self.placement.to_ask_for(now))

    # ---- the network ---------------------------------------------------------------------------

    def send(self, now: int, sender: str, to: str, message: AnyMessage) -> None:
        """To a voter's or a holder's id, or to whatever votes at an instance of that name."""
        self.exchange.send(now, sender, to, message, self.voter)

    def _send(self, now: int, to: str, message: AnyMessage) -> None:
        """In the voter's name where there is one, in the holder's otherwise."""
        self.send(now, self.voter.id if self.voter is not None else self.holder.name, to, message)

    def _send_request(self, now: int, to: str, request: LeaseRequest) -> None:
        self.send(now, self.holder.name, to, request)

    def receive(self, now: int, name: str, life: bytes, fragment: Fragment) -> None:
        """What that life of that instance sent; the fleet's seal says that it did."""
        message = self.exchange.read(now, name, life, fragment)
        if message is None:
            return
        of_a_disk = isinstance(message, (*LOG_MESSAGES, VoterAnnouncement, DiskBehind))
        if of_a_disk and not self._honest(now, life, fragment):
            return
        if isinstance(message, LOG_MESSAGES):
            ours, aside = self.admission.check_group(self.voter, fragment, message)
            self.disk_rejection_reason = aside or self.disk_rejection_reason
            if not ours:
                return
        if isinstance(message, VoterAnnouncement):
            self.electorate.receive_announcement(
                now, name, fragment.sender, fragment.group, message
            )
        else:
            self._take(now, name, life, fragment.sender, fragment.to, message)
        self.flush(now)

    def _honest(self, now: int, life: bytes, fragment: Fragment) -> bool:
        """Whether a voter's disk has all that it said before; one that has less is told."""
        if self.voter is None:
            return True
        behind = self.admission.check_disk(self.voter, life, fragment)
        if behind > 0:
            self._send(now, fragment.sender, DiskBehind(behind))
        return not behind

    def _take(
        self, now: int, name: str, life: bytes, sender: str, to: str, message: AnyMessage
    ) -> None:
        """A whole message, of another instance or of this one."""
        if isinstance(message, LeaseReply):
            if to == self.holder.name:
                self.holding.receive_reply(now, sender, message)
        elif isinstance(message, GrantNotice):
            if to == self.holder.name:
                self.holding.ask_soon(now)
        elif isinstance(message, TableReply):
            self.table = message.rows
            self.table_received_at = now
        elif self.voter is None:
            return
        elif isinstance(message, LeaseRequest):
            if message.holder != holder_id(name, life):
                self.counts["stale"] += 1  # nobody asks in another's name
                return
            self._asked(now, self.voter, message)
        elif isinstance(message, DiskBehind):
            if to == self.voter.id and message.saves > self.voter.kept.saves:
                saves = self.voter.kept.saves
                self.disk_rejection_reason = (
                    f"its disk has {saves} saves, others know of {message.saves}"
                )
        elif isinstance(message, TableQuery):
            rows = self.voter.service.table.leases
            held = tuple((n, le.holder, le.token) for n, le in sorted(rows.items()))
            self._send(now, sender, TableReply(held))
        elif isinstance(message, LOG_MESSAGES):
            self.voter.receive(now, sender, message)

    def _asked(self, now: int, voter: Voter, ask: LeaseRequest) -> None:
        """A holder's ask, at a voter; where that leads, what another has is waited for."""
        voter.receive_request(now, ask)
        if not voter.leads:
            return
        for lost, _, _ in ask.release:
            self.waitlist.rows.get(lost, {}).pop(ask.holder, None)
        table = voter.service.table.leases
        self.waitlist.heard(now, ask.holder, [n for n in ask.acquire if n in table])

    def flush(self, now: int) -> None:
        """Send what may go, grant what has become free."""
        while (voter := self.voter) is not None:
            changes, voter.changes = voter.changes, []
            if changes and voter.leads:
                self._grant_freed(now, voter, changes)
            sends = voter.sends()
            for to, message in sends:
                self.send(now, voter.id, to, message)
            if not sends and not changes:
                break
        self._notice(now)

    def _grant_freed(self, now: int, voter: Voter, changes: list[TableChange]) -> None:
        freed = [name for change in changes for name in change.freed]
        waited = {w.ask.holder for w in voter.service.pending_requests}
        for holder in {h for change in changes for _, h in change.granted} - waited:
            # It has not asked just now: it hears of what it has when it does.
            self._send(now, holder, GrantNotice())
        table = voter.service.table
        free = [name for name in freed if name not in table.leases]
        rows = self.waitlist.assign(
            now, free, {h: len(n) for h, n in table.names_by_holder.items()}
        )
        if rows:
            voter.grant(now, rows)

    # ---- what is held --------------------------------------------------------------------------

    def usable_token(self, now: int, name: str) -> int:
        """The token to act with; 0 where it may not."""
        return self.holder.usable_token(now, name)

    def take_lost(self, now: int) -> list[str]:
        """Names that were held and may not be acted on any more."""
        names = self.holding.take_lost(now)
        if names:
            self.update_wanted(now)
            self.holding.ask_soon(now)
        return names

    def hand_over(self, now: int, name: str, to: str = "") -> str:
        """Give a lease to another instance, or to whoever asked for it; says why not."""
        return self.holding.hand_over(now, name, to)

    def query_table(self, now: int) -> None:
        """Ask the voters who holds what."""
        for name in self.wanted_voters:
            self.send(now, self.holder.name, name, TableQuery())

    def _move(self, now: int) -> None:
        """Hand on what belongs to another, if a look is due."""
        moves = self.placement.moves(now, list(self.holder.leases), self.holding.deaf)
        for name, to in moves.items():
            self.hand_over(now, name, to)
        if moves or self.placement.draining:
            self.update_wanted(now)

    # ---- time ----------------------------------------------------------------------------------

    def next_due(self) -> int:
        """When `tick` has something to do."""
        due = [self.holding.next_due(), self._next_tend]
        if self.voter is not None:
            due += [self.voter.next_due(), self.electorate.announce_at]
        return min(due)

    def tick(self, now: int) -> None:
        """Whatever is due by now."""
        self.placement.begin(now)
        voter = self.voter
        if voter is not None:
            voter.tick(now)
            if now >= self.electorate.announce_at:
                self.electorate.announce(now, voter)
        if now >= self._next_tend:
            self._next_tend = now + TEND_EVERY
            if voter is not None and voter.leads:
                self.waitlist.sweep(now)
                self.electorate.update_voters(now, voter)
            if self.placement.home_addresses:
                self.update_wanted(now)
            self._move(now)
        if now >= self.holding.next_ask:
            self.holding.ask(now)
        self.flush(now)

    def _notice(self, now: int) -> None:
        """Tell of the begin and the end of leading."""
        voter = self.voter
        role = ""
        if voter is not None and voter.raft.role == LEADER:
            role = f"leads in term {voter.raft.term}" if voter.leads else ""
        if role != self._role:
            self.events.add(now, role or "leads no more")
            self._role = role

    def release_all(self, now: int) -> None:
        """At an orderly end: everything is given back now, to who is the first for it."""
        leases = list(self.holder.leases)
        for name, to in self.placement.all_moves(now, leases, self.holding.deaf).items():
            self.hand_over(now, name, to)
        for name in list(self.holder.leases):
            self.hand_over(now, name)
        self.placement.wanted_names.clear()
        self.placement.shared_names.clear()
        self.holder.wanted_names = set()
        self.holding.ask(now)
        self.flush(now)

    # ---- telling people ------------------------------------------------------------------------

    def explain_holder(self, now: int, name: str) -> list[str]:
        """Who has a lease, or why nobody has, in sentences."""
        return status.explain_holder(self, now, name)

    def status(self, now: int) -> dict[str, Any]:
        """Of JSON's types."""
        return status.status(self, now)
