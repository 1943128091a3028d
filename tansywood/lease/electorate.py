"""Which voters' disks are in use, and the membership changes that follow, one at a time. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tansywood.lease.context import Context, name_of
from tansywood.lease.messages import ClientMessage, VoterAnnouncement
from tansywood.lease.terms import SECOND
from tansywood.lease.voter import Voter

ANNOUNCE_INTERVAL_NS = SECOND  # how often a voter announces its disk to the other instances
ANNOUNCEMENT_VALID_NS = 3 * SECOND  # a disk counts as present this long after an announcement


@dataclass(slots=True)
class _Announcement:
    """The latest announcement of another instance's disk."""

    id: str
    at: int
    group: str
    is_learner: bool


class Electorate:
    """The voters' disks that this instance knows of. On the leader, `update_voters` changes the
    membership to the voters that the settings name."""

    def __init__(self, context: Context, send: Callable[[int, str, ClientMessage], None]) -> None:
        self.announce_at = 0  # when this disk is due to be announced
        self._context = context
        self._send = send
        self._announcements: dict[str, _Announcement] = {}  # by instance

    def receive_announcement(
        self, now: int, name: str, sender: str, group: str, announcement: VoterAnnouncement
    ) -> None:
        """Records that another instance's disk is in use."""
        self._announcements[name] = _Announcement(sender, now, group, announcement.is_learner)

    def find_known_group(self) -> tuple[str, str]:
        """The id of an announced disk that belongs to a group, and the group's id; two empty
        strings where no such disk was announced."""
        grouped = [a for a in self._announcements.values() if a.group]
        return (grouped[0].id, grouped[0].group) if grouped else ("", "")

    def announce(self, now: int, voter: Voter) -> None:
        """Announces this disk to the other instances that the settings name as voters."""
        self.announce_at = now + ANNOUNCE_INTERVAL_NS
        announcement = VoterAnnouncement(voter.id not in voter.raft.voters)
        for name in self._context.wanted_voters:
            if name != self._context.name:
                self._send(now, name, announcement)

    def update_voters(self, now: int, voter: Voter) -> None:
        """On the leader, changes the membership towards the voters that the settings name, one
        voter at a time (Ongaro, 4.1). A voter that the settings no longer name, or whose instance
        came back with another disk, is removed; a disk that is present and caught up is added."""
        present = {
            name: latest.id
            for name, latest in self._announcements.items()
            if now - latest.at <= ANNOUNCEMENT_VALID_NS
            and (latest.is_learner or latest.group == voter.group)
        }
        present[self._context.name] = voter.id
        if not self._remove_voter(now, voter, present):
            self._add_voter(now, voter, present)

    def _remove_voter(self, now: int, voter: Voter, present: dict[str, str]) -> bool:
        """Removes one voter that has to go. Returns whether the removal was proposed."""
        voters = voter.raft.voters
        recently_heard = set(voter.recently_heard_voters(now))
        for name, old in {name_of(v): v for v in voters}.items():
            unwanted = name not in self._context.wanted_voters
            replaced = present.get(name, old) != old
            remaining = [v for v in voters if v != old]
            # A majority of the remaining voters has to be present. Otherwise the group could
            # commit nothing more after the removal.
            has_majority = 2 * len(recently_heard & set(remaining)) > len(remaining)
            if (unwanted or replaced) and remaining and has_majority:
                why = "is wanted no more" if unwanted else f"came back as {present[name]}"
                if not voter.change_voters(now, tuple(remaining)):
                    self._context.events.add(now, f"takes {old} out of the voters: it {why}")
                    return True
        return False

    def _add_voter(self, now: int, voter: Voter, present: dict[str, str]) -> None:
        """Makes a missing voter's disk a learner, or adds it to the voters once it is caught up."""
        raft = voter.raft
        names = {name_of(v) for v in raft.voters}
        for name in self._context.wanted_voters:
            if name in names or name not in present:
                continue
            new = present[name]
            if new not in raft.learners:
                voter.add_learner(now, new)
                return
            if raft.is_caught_up(new) and now - raft.last_heard_at.get(new, 0) <= SECOND:
                if not voter.change_voters(now, (*raft.voters, new)):
                    self._context.events.add(now, f"takes {new} into the voters")
                return
