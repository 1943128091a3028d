"""Resources as of a position in a history: contents by uid, owners of aliases, recent changes.

The publisher fills its replica from its registry, a distributor's replica holds every resource, and
an instance's replica holds the resources that it subscribes to. This module does no I/O and reads
no clock. It enforces that an older state never replaces a newer one, and it tells which changes a
subscriber missed that reconnects at a given position.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tansywood.distribution.messages import (
    Epoch,
    Kind,
    Position,
    Resource,
    Version,
    digest_of,
)

# How many resources that are not held any more keep their last known revision in memory.
MAX_ABSENT_REVISIONS = 50_000
# The revision of a resource received in another history. Every revision is newer than this one.
UNKNOWN_REVISION = -1


@dataclass(slots=True)
class Entry:
    """A held resource."""

    revision: int
    digest: bytes
    body: bytes
    aliases: tuple[str, ...] = ()


class Replica:
    """Resources in `epoch`, each in its state of `revision` or a later one.

    `parent` is the position at which this epoch began. A subscriber at or before `parent` shares
    the history of this epoch.

    `newest_revision` is the newest revision received in this history. At `consistent_revision`
    every held resource was held in its state of that revision or a later one.
    """

    def __init__(
        self, max_recent_changes: int, epoch: Epoch | None = None, revision: int = 0
    ) -> None:
        """Remember `max_recent_changes` changes for subscribers that resume."""
        self.epoch = epoch or Epoch()
        self.revision = revision
        self.newest_revision = revision
        self.consistent_revision = revision
        self.parent = Position()
        self.entries: dict[str, Entry] = {}
        self.aliases: dict[str, str] = {}
        self._recent_changes: deque[tuple[int, str]] = deque()
        self._max_recent_changes = max_recent_changes
        # `_recent_changes` contains every change after this revision.
        self._resumable_from = revision
        # The last known revision of each resource that is not held.
        self._absent_revisions: OrderedDict[str, int] = OrderedDict()
        # The uids of resources that were removed or released in earlier histories.
        self._absent_in_earlier_epochs: OrderedDict[str, None] = OrderedDict()

    @property
    def position(self) -> Position:
        return Position(self.epoch, self.revision)

    # ---- reading ---------------------------------------------------------------------------

    def resource(self, uid: str, with_aliases: bool = False) -> Resource:
        """Return the state of a resource for a subscriber.

        A resource that this replica never knew counts as removed at `consistent_revision` and not
        at `revision`: it may have been created since, and its newest state may still be queued at
        the source of this replica.
        """
        entry = self.entries.get(uid)
        if entry is None:
            return Resource(
                uid, self._absent_revisions.get(uid, self.consistent_revision), Kind.REMOVED
            )
        aliases = list(entry.aliases) if with_aliases else []
        return Resource(uid, entry.revision, Kind.CONTENT, entry.body, aliases)

    def versions(self) -> Iterator[Version]:
        """Yield the digest of each held resource, for a source to compare with its own."""
        for uid, entry in self.entries.items():
            yield Version(uid, entry.digest)

    def owner(self, alias: str) -> str:
        """Return the uid of the resource that owns the alias, empty if there is none."""
        return self.aliases.get(alias, "")

    def may_have_held_newer(self, uid: str, revision: int) -> bool:
        """Whether this replica may have held, in an earlier history, a newer state of the resource
        than a source at this revision knows.

        That is so for a resource released before this history began, while the source has not
        reached the revision at which it began.
        """
        return uid in self._absent_in_earlier_epochs and revision < self.parent.revision

    def covers(self, position: Position, newest: int = 0) -> bool:
        """Whether `changes_after` returns every change that a subscriber at this position missed,
        if the subscriber holds nothing newer than `newest`.

        A subscriber at revision 0 knows nothing, or can't tell which of its resources are current.
        """
        if position.revision < max(self._resumable_from, 1):
            return False
        if position.epoch == self.epoch:
            return True
        newest_known = max(position.revision, newest)
        return position.epoch == self.parent.epoch and newest_known <= self.parent.revision

    def changes_after(self, revision: int) -> list[tuple[int, str]]:
        """Return each resource that changed after a covered revision once, with the revision of its
        last change, in the order of these revisions."""
        latest: dict[str, int] = {}
        for changed_revision, uid in reversed(self._recent_changes):
            if changed_revision <= revision:
                break
            latest.setdefault(uid, changed_revision)
        return [(changed_revision, uid) for uid, changed_revision in reversed(latest.items())]

    # ---- changing --------------------------------------------------------------------------

    def begin_epoch(self, epoch: Epoch, parent: Position) -> None:
        """Continue in another epoch whose history begins with the history of this replica."""
        self.epoch = epoch
        self.parent = parent

    def switch_history(self, epoch: Epoch, parent: Position) -> None:
        """Switch to an epoch of another history, in which the old revisions mean nothing.

        The held resources stay until a comparison with a source tells which are still current.
        """
        self.epoch = epoch
        self.parent = parent
        self.newest_revision = 0
        self.reset_position()
        self._absent_in_earlier_epochs.update(dict.fromkeys(self._absent_revisions))
        while len(self._absent_in_earlier_epochs) > MAX_ABSENT_REVISIONS:
            self._absent_in_earlier_epochs.popitem(last=False)
        self._absent_revisions.clear()
        for entry in self.entries.values():
            entry.revision = UNKNOWN_REVISION

    def reset_position(self) -> None:
        """Discard the position after changes were missed that no source remembers.

        Only a comparison with a source restores the position. Until it ends, subscribers of this
        replica can't resume.
        """
        self.revision = 0
        self.consistent_revision = 0
        self._resumable_from = 0
        self._recent_changes.clear()

    def apply(self, resource: Resource) -> bool:
        """Apply a state of this epoch. Return False if the known state is as new, so that nothing
        changes.

        The removal of a resource that was never held here counts as a change as well: a subscriber
        of this replica may have received the resource from another source.
        """
        entry = self.entries.get(resource.uid)
        known = (
            entry.revision
            if entry is not None
            else self._absent_revisions.get(resource.uid, UNKNOWN_REVISION)
        )
        if resource.kind is Kind.UNCHANGED:
            if entry is not None and resource.revision >= entry.revision:
                entry.revision = resource.revision
                self.newest_revision = max(self.newest_revision, entry.revision)
                # Another resource may have had these aliases in the old history.
                self._bind_aliases(resource.uid, entry)
            return False
        if resource.revision <= known:
            return False
        if resource.kind is Kind.REMOVED:
            self._remove(resource.uid, resource.revision)
        else:
            self._store(resource)
        return True

    def record_change(self, revision: int, uid: str) -> None:
        """Remember a change for subscribers that resume from an earlier revision.

        Revisions only grow. After a revision that is lower than the one before it, no subscriber
        may resume from the changes recorded so far.
        """
        if self._recent_changes and revision < self._recent_changes[-1][0]:
            self._resumable_from = max(self._resumable_from, self._recent_changes[-1][0])
            self._recent_changes.clear()
            return
        self._recent_changes.append((revision, uid))
        if len(self._recent_changes) > self._max_recent_changes:
            forgotten, _ = self._recent_changes.popleft()
            self._resumable_from = max(self._resumable_from, forgotten)

    def commit(self, resource: Resource) -> None:
        """Apply and record a change made by the publisher, and advance to its revision."""
        self.apply(resource)
        self.record_change(resource.revision, resource.uid)
        self.advance(resource.revision, consistent=True)

    def set_resumable_from(self, revision: int) -> None:
        """Set the revision after which every change has been recorded."""
        self._resumable_from = revision

    def advance(self, revision: int, consistent: bool = False) -> None:
        """Advance the position to a revision at which the held resources are current, except for
        resources that changed again later. If `consistent`, these are current as well."""
        if consistent:
            self.consistent_revision = max(self.consistent_revision, revision)
        self.revision = max(self.revision, revision)
        self.newest_revision = max(self.newest_revision, revision)

    def step_back(self, revision: int) -> None:
        """Lower the position to that of a received state, so that the next resume starts there."""
        self.revision = min(self.revision, revision)

    def release(self, uid: str) -> None:
        """Stop holding a resource and remember its revision, so that an older state is rejected
        when the resource is subscribed to again."""
        entry = self.entries.get(uid)
        if entry is not None:
            self._remove(uid, entry.revision - 1)  # the same state may be applied again

    def load(self, resources: Iterable[Resource]) -> None:
        """Fill an empty replica with resources in any order."""
        for resource in resources:
            self._store(resource)

    def _store(self, resource: Resource) -> None:
        old = self.entries.get(resource.uid)
        if old is not None:
            self._unbind_aliases(resource.uid, old)
        self._absent_revisions.pop(resource.uid, None)
        self._absent_in_earlier_epochs.pop(resource.uid, None)
        self.newest_revision = max(self.newest_revision, resource.revision)
        entry = Entry(
            resource.revision, digest_of(resource.body), resource.body, tuple(resource.aliases)
        )
        self.entries[resource.uid] = entry
        self._bind_aliases(resource.uid, entry)

    def _remove(self, uid: str, revision: int) -> None:
        entry = self.entries.pop(uid, None)
        if entry is not None:
            self._unbind_aliases(uid, entry)
        self.newest_revision = max(self.newest_revision, revision)
        self._absent_revisions[uid] = revision
        self._absent_revisions.move_to_end(uid)
        if len(self._absent_revisions) > MAX_ABSENT_REVISIONS:
            self._absent_revisions.popitem(last=False)

    def _bind_aliases(self, uid: str, entry: Entry) -> None:
        for alias in entry.aliases:
            self.aliases[alias] = uid

    def _unbind_aliases(self, uid: str, entry: Entry) -> None:
        for alias in entry.aliases:
            if self.aliases.get(alias) == uid:  # another resource may own it by now
                del self.aliases[alias]
