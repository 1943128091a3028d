"""Groups of voters that one disk begins alone: the first, and one after a lost majority. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.lease.disk import DiskContents
from tansywood.lease.log import PersistentState, Snapshot
from tansywood.lease.table import LeaseTable
from tansywood.lease.voter import Voter

TOKENS_BEYOND = 1 << 32  # grants that lost disks may have made unknown to the one that goes on


@dataclass(frozen=True, slots=True)
class NewGroup:
    """What a disk begins a group of its own with, and the event that reports it."""

    kept: DiskContents
    snapshot: Snapshot
    event: str


def found(voter: Voter, group: str, grouped: tuple[str, str]) -> NewGroup | str:
    """Begin a group with this voter alone; says why not. `grouped` is a disk that is in a group,
    and that group, where one was heard of."""
    if voter.is_writing:
        return "its disk is being written: try again"
    if voter.group:
        return f"its disk belongs to group {voter.group} already"
    other, its_group = grouped
    if its_group:
        return f"{other} is in group {its_group} already: it takes this one in"
    kept = DiskContents(voter.id, group, voter.kept.saves, PersistentState(), voter.known_saves)
    return NewGroup(kept, Snapshot(0, 0, (voter.id,)), f"founds group {group}")


def refound(now: int, voter: Voter, group: str) -> NewGroup | str:
    """Go on alone from what this disk knows, as another group; says why not.

    For when a majority of disks is gone for good, and somebody has made sure that they are. What
    only they knew is lost, so tokens go on far beyond all that may have been given. It has to come
    a whole lease after the last of them could answer anybody: see the service.
    """
    if voter.is_writing:
        return "its disk is being written: try again"
    if voter.leads and voter.raft.majority(voter.recently_heard_voters(now)):
        return "its group has a majority: nothing is to be mended"
    raft = voter.raft
    table = LeaseTable()  # nobody has anything: newer tokens of theirs may have acted already
    table.index = raft.last_index + TOKENS_BEYOND
    snapshot = Snapshot(table.index, raft.term, (voter.id,), table.save())
    kept = DiskContents(voter.id, group, voter.kept.saves, voter.kept.saved, {})
    return NewGroup(kept, snapshot, f"goes on alone as group {group}, tokens from {table.index}")
