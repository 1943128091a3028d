"""The lease client of one instance: its voter, if the instance has one, and its holder. Pure.

The client takes messages, members and the current time. It returns the messages to send
(`take_sends`) and records what happened in `events`. The caller writes what `voter.next_write`
returns to disk and owns the sockets and tasks. The client's parts are `holding` (leases that are
requested and held), `placement` (the instance that should hold each lease), `electorate` (the
instances that vote), `exchange` (messages) and `status` (reports for operators).
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

MAINTENANCE_INTERVAL_NS = 250 * MS  # between two checks of the voters and of lease placement
WAITLIST_RENEWAL_COUNT = 3  # renewal intervals after which the waitlist drops a request


class LeaseClient:
    """The lease client of one instance, from the start of its process to the end."""

    def __init__(
        self,
        name: str,
        life: bytes,
        voters: Iterable[str],
        terms: LeaseTerms,
        rng: Random,
        timing: Timing | None = None,
    ) -> None:
        """`voters` names the instances that should vote; every instance must have the same list."""
        self.context = Context(name, life, tuple(voters), terms, rng)
        self.timing = timing or Timing()
        self.voter: Voter | None = None
        self.voter_down_reason = ""  # why a wanted voter does not run
        self.disk_rejection_reason = ""  # why the disk must be replaced by a blank one
        self.exchange = Exchange(self.context, self._process_message)
        self.admission = Admission(self.context)
        self.electorate = Electorate(self.context, self._send)
        self.holding = Holding(self.context, self._send_request)
        self.placement = Placement(self.context)
        self.waitlist = Waitlist(WAITLIST_RENEWAL_COUNT * terms.renew_interval_ns)
        self.table: tuple[tuple[str, str, int], ...] = ()  # rows of the last TableReply
        self.table_received_at = -1
        self._next_maintenance_at = 0
        self._reported_role = ""

    # ---- properties ----------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self.context.name

    @property
    def life(self) -> bytes:
        """The identity of this process, which a restart changes."""
        return self.context.life

    @property
    def terms(self) -> LeaseTerms:
        """The duration and the renewal interval of leases."""
        return self.context.terms

    @terms.setter
    def terms(self, terms: LeaseTerms) -> None:
        self.context.terms = terms

    @property
    def wanted_voters(self) -> tuple[str, ...]:
        """The instances that should vote according to the settings."""
        return self.context.wanted_voters

    @wanted_voters.setter
    def wanted_voters(self, names: tuple[str, ...]) -> None:
        self.context.wanted_voters = names

    @property
    def should_vote(self) -> bool:
        """Whether the settings name this instance as a voter."""
        return self.context.name in self.context.wanted_voters

    @property
    def peers(self) -> dict[str, Peer]:
        """The members of the fleet by name."""
        return self.context.peers

    @property
    def counts(self) -> dict[str, int]:
        """Counts of messages by outcome."""
        return self.context.counts

    @property
    def events(self) -> EventLog[str]:
        """The log of recent events."""
        return self.context.events

    @property
    def holder(self) -> Holder:
        """The holder, which has the leases that are held and requested."""
        return self.holding.holder

    def take_sends(self) -> list[tuple[str, Fragment]]:
        """Return the fragments to send now, each with its address, and clear the list."""
        sends, self.exchange.sends = self.exchange.sends, []
        return sends

    # ---- the voter -----------------------------------------------------------------------------

    def start_voter(self, now: int, kept: DiskContents) -> None:
        """Start the voter from the contents of its disk."""
        self.voter = Voter(kept, self.terms, self.timing, self.context.rng, now)
        self.voter_down_reason = ""
        self.disk_rejection_reason = ""
        self.electorate.announce_at = now
        self.events.add(now, f"votes as {kept.id}, {kept.saves} saves, term {kept.saved.term}")

    def stop_voter(self, now: int, why: str) -> None:
        """Stop the voter because its disk is missing or unusable; to the others it has crashed."""
        self.voter = None
        self.voter_down_reason = why
        self.waitlist = Waitlist(WAITLIST_RENEWAL_COUNT * self.terms.renew_interval_ns)
        self.events.add(now, f"votes no more: {why}")

    def found(self, now: int, group: str) -> str:
        """Found a group with this voter alone; return why not, or an empty text."""
        if self.voter is None:
            return f"no voter here: {self.voter_down_reason or 'the settings name others'}"
        return self._begin_group(
            now, founding.found(self.voter, group, self.electorate.find_known_group())
        )

    def refound(self, now: int, group: str) -> str:
        """Found a new group from the contents of this disk; return the reason for a refusal, or an
        empty text. `founding.refound` states what an operator has to verify first."""
        if self.voter is None or not self.voter.group:
            return "no voter of a group here: nothing to go on from"
        return self._begin_group(now, founding.refound(now, self.voter, group))

    def _begin_group(self, now: int, group: founding.NewGroup | str) -> str:
        if isinstance(group, str):
            return group
        self.start_voter(now, group.kept)
        assert self.voter is not None
        self.voter.lead_alone(now, group.snapshot)
        self.events.add(now, group.event)
        self.flush(now)
        return ""

    # ---- members and wanted leases -------------------------------------------------------------

    def update_members(self, now: int, peers: Mapping[str, Peer], draining: bool = False) -> None:
        """Take the members as the fleet knows them, and whether this instance has to drain."""
        changed = {n: (p.accepts_leases, p.is_unsuspected) for n, p in peers.items()} != {
            n: (p.accepts_leases, p.is_unsuspected) for n, p in self.peers.items()
        }
        self.context.peers = dict(peers)
        if draining != self.placement.draining:
            self.placement.draining = draining
            changed = True
        if changed:
            self.update_wanted(now)

    def request_lease(self, now: int, name: str, on_every_instance: bool = False) -> None:
        """Request a lease for a task of this instance. `on_every_instance` says that all instances
        run the task: this one then requests it only if it ranks among the first for it."""
        self.placement.wanted_names.add(name)
        if on_every_instance:
            self.placement.shared_names.add(name)
        self.update_wanted(now)

    def release_lease(self, now: int, name: str) -> None:
        """Give a lease back and stop requesting it."""
        self.placement.wanted_names.discard(name)
        self.placement.shared_names.discard(name)
        self.holding.give_back(name)
        self.update_wanted(now)
        self.holding.request_soon(now)

    def update_wanted(self, now: int) -> None:
        """Recompute the leases to request."""
        self.holding.set_wanted(now, self.placement.names_to_request(now))

    # ---- the network ---------------------------------------------------------------------------

    def send(self, now: int, sender: str, to: str, message: AnyMessage) -> None:
        """Send to the id of a voter or a holder, or to the voter at the instance of that name."""
        self.exchange.send(now, sender, to, message, self.voter)

    def _send(self, now: int, to: str, message: AnyMessage) -> None:
        """Send with the id of the voter, or with the id of the holder if there is no voter."""
        self.send(now, self.voter.id if self.voter is not None else self.holder.name, to, message)

    def _send_request(self, now: int, to: str, request: LeaseRequest) -> None:
        self.send(now, self.holder.name, to, request)

    def receive(self, now: int, name: str, life: bytes, fragment: Fragment) -> None:
        """Process a fragment from a process of an instance; the fleet's seal proves the sender."""
        message = self.exchange.read(now, name, life, fragment)
        if message is None:
            return
        is_from_voter = isinstance(message, (*LOG_MESSAGES, VoterAnnouncement, DiskBehind))
        if is_from_voter and not self._has_all_saves(now, life, fragment):
            return
        if isinstance(message, LOG_MESSAGES):
            is_same_group, rejection_reason = self.admission.check_group(
                self.voter, fragment, message
            )
            self.disk_rejection_reason = rejection_reason or self.disk_rejection_reason
            if not is_same_group:
                return
        if isinstance(message, VoterAnnouncement):
            self.electorate.receive_announcement(
                now, name, fragment.sender, fragment.group, message
            )
        else:
            self._process_message(now, name, life, fragment.sender, fragment.to, message)
        self.flush(now)

    def _has_all_saves(self, now: int, life: bytes, fragment: Fragment) -> bool:
        """Whether the sender's disk has all the saves that it reported before. A voter whose disk
        has fewer saves is told with DiskBehind."""
        if self.voter is None:
            return True
        behind = self.admission.check_disk(self.voter, life, fragment)
        if behind > 0:
            self._send(now, fragment.sender, DiskBehind(behind))
        return not behind

    def _process_message(
        self, now: int, name: str, life: bytes, sender: str, to: str, message: AnyMessage
    ) -> None:
        """Process a complete message from another instance or from this one."""
        if isinstance(message, LeaseReply):
            if to == self.holder.name:
                self.holding.receive_reply(now, sender, message)
        elif isinstance(message, GrantNotice):
            if to == self.holder.name:
                self.holding.request_soon(now)
        elif isinstance(message, TableReply):
            self.table = message.rows
            self.table_received_at = now
        elif self.voter is None:
            return
        elif isinstance(message, LeaseRequest):
            if message.holder != holder_id(name, life):
                self.counts["stale"] += 1  # a holder may request only under its own id
                return
            self._receive_request(now, self.voter, message)
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

    def _receive_request(self, now: int, voter: Voter, request: LeaseRequest) -> None:
        """Process a holder's request at a voter. On the leader, a requested lease that another
        holder has puts the requester on the waitlist."""
        voter.receive_request(now, request)
        if not voter.leads:
            return
        for name, _, _ in request.release:
            self.waitlist.rows.get(name, {}).pop(request.holder, None)
        table = voter.service.table.leases
        self.waitlist.record(now, request.holder, [n for n in request.acquire if n in table])

    def flush(self, now: int) -> None:
        """Send what is ready, and grant the leases that have become free."""
        while (voter := self.voter) is not None:
            changes, voter.changes = voter.changes, []
            if changes and voter.leads:
                self._grant_freed(now, voter, changes)
            sends = voter.sends()
            for to, message in sends:
                self.send(now, voter.id, to, message)
            if not sends and not changes:
                break
        self._record_leadership(now)

    def _grant_freed(self, now: int, voter: Voter, changes: list[TableChange]) -> None:
        freed = [name for change in changes for name in change.freed]
        waited = {w.request.holder for w in voter.service.pending_requests}
        for holder in {h for change in changes for _, h in change.granted} - waited:
            # The holder has no open request: the notice makes it send one and learn of the grant.
            self._send(now, holder, GrantNotice())
        table = voter.service.table
        free = [name for name in freed if name not in table.leases]
        rows = self.waitlist.assign(
            now, free, {h: len(n) for h, n in table.names_by_holder.items()}
        )
        if rows:
            voter.grant(now, rows)

    # ---- held leases ---------------------------------------------------------------------------

    def usable_token(self, now: int, name: str) -> int:
        """The fencing token to act with now, or 0 if this instance may not act on the lease."""
        return self.holder.usable_token(now, name)

    def take_lost(self, now: int) -> list[str]:
        """Return the leases that were lost since the last call; their tasks must end."""
        names = self.holding.take_lost(now)
        if names:
            self.update_wanted(now)
            self.holding.request_soon(now)
        return names

    def hand_over(self, now: int, name: str, to: str = "") -> str:
        """Give a lease to another instance, or to a holder that requested it; return the reason for
        a refusal, or an empty text."""
        return self.holding.hand_over(now, name, to)

    def query_table(self, now: int) -> None:
        """Ask the voters for the table of leases."""
        for name in self.wanted_voters:
            self.send(now, self.holder.name, name, TableQuery())

    def _hand_over_misplaced(self, now: int) -> None:
        """Hand over leases that belong to other instances, if a check of the placement is due."""
        moves = self.placement.due_moves(now, list(self.holder.leases), self.holding.unreachable)
        for name, to in moves.items():
            self.hand_over(now, name, to)
        if moves or self.placement.draining:
            self.update_wanted(now)

    # ---- time ----------------------------------------------------------------------------------

    def next_due(self) -> int:
        """The time at which `tick` has to be called next."""
        due = [self.holding.next_due(), self._next_maintenance_at]
        if self.voter is not None:
            due += [self.voter.next_due(), self.electorate.announce_at]
        return min(due)

    def tick(self, now: int) -> None:
        """Do all that is due by now."""
        self.placement.record_start(now)
        voter = self.voter
        if voter is not None:
            voter.tick(now)
            if now >= self.electorate.announce_at:
                self.electorate.announce(now, voter)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + MAINTENANCE_INTERVAL_NS
            if voter is not None and voter.leads:
                self.waitlist.sweep(now)
                self.electorate.update_voters(now, voter)
            if self.placement.home_addresses:
                self.update_wanted(now)
            self._hand_over_misplaced(now)
        if now >= self.holding.next_request_at:
            self.holding.send_request(now)
        self.flush(now)

    def _record_leadership(self, now: int) -> None:
        """Record an event when this voter becomes leader or stops leading."""
        voter = self.voter
        role = ""
        if voter is not None and voter.raft.role == LEADER:
            role = f"leads in term {voter.raft.term}" if voter.leads else ""
        if role != self._reported_role:
            self.events.add(now, role or "leads no more")
            self._reported_role = role

    def release_all(self, now: int) -> None:
        """Give all leases back at an orderly shutdown, each to the member ranked first for it."""
        leases = list(self.holder.leases)
        for name, to in self.placement.all_moves(now, leases, self.holding.unreachable).items():
            self.hand_over(now, name, to)
        for name in list(self.holder.leases):
            self.hand_over(now, name)
        self.placement.wanted_names.clear()
        self.placement.shared_names.clear()
        self.holder.wanted_names = set()
        self.holding.send_request(now)
        self.flush(now)

    # ---- reports -------------------------------------------------------------------------------

    def explain_holder(self, now: int, name: str) -> list[str]:
        """Sentences that say who holds a lease, or why nobody does."""
        return status.explain_holder(self, now, name)

    def status(self, now: int) -> dict[str, Any]:
        """The state as a mapping of JSON types."""
        return status.status(self, now)
