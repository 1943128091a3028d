"""Who votes: which voters' disks are there, and changes of voters, one at a time. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tansywood.lease.context import Context, name_of
from tansywood.lease.messages import ClientMessage, VoterAnnouncement
from tansywood.lease.terms import SECOND
from tansywood.lease.voter import Voter

ANNOUNCE_EVERY = SECOND  # between two announcements of a voter's disk to the other voters' machines
ANNOUNCED_FOR = 3 * SECOND  # it counts as there so long after its last announcement


@dataclass(slots=True)
class _Heard:
    """What another voter's disk said last."""

    id: str
    at: int
    group: str
    is_learner: bool


class Electorate:
    """The voters' disks as one instance hears of them; where it leads, it makes the voters those
    that the settings want."""

    def __init__(self, context: Context, send: Callable[[int, str, ClientMessage], None]) -> None:
        self.announce_at = 0  # when this disk is announced next
        self._context = context
        self._send = send
        self._heard: dict[str, _Heard] = {}  # by instance

    def receive_announcement(
        self, now: int, name: str, sender: str, group: str, announcement: VoterAnnouncement
    ) -> None:
        """Another instance's disk is there."""
        self._heard[name] = _Heard(sender, now, group, announcement.is_learner)

    def find_known_group(self) -> tuple[str, str]:
        """A disk that is in a group, and that group; empty where none was heard of."""
        heard = [h for h in self._heard.values() if h.group]
        return (heard[0].id, heard[0].group) if heard else ("", "")

    def announce(self, now: int, voter: Voter) -> None:
        """Tell the other voters' machines that this disk is there."""
        self.announce_at = now + ANNOUNCE_EVERY
        announcement = VoterAnnouncement(voter.id not in voter.raft.voters)
        for name in self._context.wanted_voters:
            if name != self._context.name:
                self._send(now, name, announcement)

    def update_voters(self, now: int, voter: Voter) -> None:
        """Where this voter leads, make the voters those that the settings want, one at a time
        (Ongaro, 4.1): who came back with another disk or is wanted no more goes out, who is there
        and level comes in."""
        there = {
            name: heard.id
            for name, heard in self._heard.items()
            if now - heard.at <= ANNOUNCED_FOR and (heard.is_learner or heard.group == voter.group)
        }
        there[self._context.name] = voter.id
        if not self._take_out(now, voter, there):
            self._take_in(now, voter, there)

    def _take_out(self, now: int, voter: Voter, there: dict[str, str]) -> bool:
        """Whether a voter was taken out."""
        voters = voter.raft.voters
        lately = set(voter.recently_heard_voters(now))
        for name, old in {name_of(v): v for v in voters}.items():
            gone = name not in self._context.wanted_voters
            replaced = there.get(name, old) != old
            rest = [v for v in voters if v != old]
            # What is left has to have a majority that is there, or nothing is agreed any more.
            enough = 2 * len(lately & set(rest)) > len(rest)
            if (gone or replaced) and rest and enough:
                why = "is wanted no more" if gone else f"came back as {there[name]}"
                if not voter.change_voters(now, tuple(rest)):
                    self._context.events.add(now, f"takes {old} out of the voters: it {why}")
                    return True
        return False

    def _take_in(self, now: int, voter: Voter, there: dict[str, str]) -> None:
        """Teach one that is missing, or take it in once it is level."""
        raft = voter.raft
        names = {name_of(v) for v in raft.voters}
        for name in self._context.wanted_voters:
            if name in names or name not in there:
                continue
            new = there[name]
            if new not in raft.learners:
                voter.add_learner(now, new)
                return
            if raft.is_caught_up(new) and now - raft.last_heard_at.get(new, 0) <= SECOND:
                if not voter.change_voters(now, (*raft.voters, new)):
                    self._context.events.add(now, f"takes {new} into the voters")
                return
