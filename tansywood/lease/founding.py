"""Founding of a voter group by one disk alone: the first group, or one after the loss of a
majority. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from tansywood.lease.disk import DiskContents
from tansywood.lease.log import PersistentState, Snapshot
from tansywood.lease.table import LeaseTable
from tansywood.lease.voter import Voter

REFOUND_TOKEN_GAP = 1 << 32  # more grants than the lost disks can hold without this disk knowing


@dataclass(frozen=True, slots=True)
class NewGroup:
    """The contents and the snapshot with which a disk starts a group, and the event to record."""

    kept: DiskContents
    snapshot: Snapshot
    event: str


def found(voter: Voter, group: str, known_group: tuple[str, str]) -> NewGroup | str:
    """Found a group with this voter alone, or return the reason for a refusal. `known_group` is a
    disk that is in a group and that group, or two empty texts if no group is known."""
    if voter.is_writing:
        return "its disk is being written: try again"
    if voter.group:
        return f"its disk belongs to group {voter.group} already"
    other_disk, other_group = known_group
    if other_group:
        return f"{other_disk} is in group {other_group} already: it takes this one in"
    kept = DiskContents(voter.id, group, voter.kept.saves, PersistentState(), voter.known_saves)
    return NewGroup(kept, Snapshot(0, 0, (voter.id,)), f"founds group {group}")


def refound(now: int, voter: Voter, group: str) -> NewGroup | str:
    """Found a new group from the contents of this disk, or return the reason for a refusal.

    Use this only when a majority of the disks is lost for good and an operator has verified that.
    What only those disks knew is lost, so the tokens continue far beyond all that may have been
    granted. At least one lease duration must have passed since the last of them could answer
    anybody; `tansywood/service/leases.py` waits for that.
    """
    if voter.is_writing:
        return "its disk is being written: try again"
    if voter.leads and voter.raft.majority(voter.recently_heard_voters(now)):
        return "its group has a majority: nothing is to be mended"
    raft = voter.raft
    table = LeaseTable()  # starts empty: holders may already have acted under newer tokens
    table.index = raft.last_index + REFOUND_TOKEN_GAP
    snapshot = Snapshot(table.index, raft.term, (voter.id,), table.save())
    kept = DiskContents(voter.id, group, voter.kept.saves, voter.kept.saved, {})
    return NewGroup(kept, snapshot, f"goes on alone as group {group}, tokens from {table.index}")
