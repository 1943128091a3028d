"""State at a position of a history: resources by uid, whose aliases they have, recent changes.

The publisher holds one (filled from its registry), a distributor one of everything, an instance one
of what it subscribes to. No I/O and no clock. Rules that live here: an older state of a resource is
never taken for a newer one, and which changes a reconnect at some position has missed.
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

MAX_ABSENT_REVISIONS = 50_000  # revisions of what is not held any more
UNKNOWN_REVISION = -1  # the revision of what was taken in another history: anything is newer


@dataclass(slots=True)
class Entry:
    """One resource that is held."""

    revision: int
    digest: bytes
    body: bytes
    aliases: tuple[str, ...] = ()


class Replica:
    """Resources at `epoch`, all of them as of `revision` or later.

    `parent` is where this epoch began: whoever stood at or before it has the same history.
    """

    def __init__(
        self, max_recent_changes: int, epoch: Epoch | None = None, revision: int = 0
    ) -> None:
        """`window` is how many recent changes are remembered."""
        self.epoch = epoch or Epoch()
        self.revision = revision
        self.newest_revision = revision  # of all that was taken in this history
        self.consistent_revision = (
            revision  # here all was held in its state of this revision, or a later one
        )
        self.parent = Position()
        self.entries: dict[str, Entry] = {}
        self.aliases: dict[str, str] = {}
        self._recent_changes: deque[tuple[int, str]] = deque()
        self._max_recent_changes = max_recent_changes
        self._resumable_from = revision  # the window knows of all changes behind this revision
        self._absent_revisions: OrderedDict[str, int] = (
            OrderedDict()
        )  # the last revision known of each
        self._absent_in_earlier_epochs: OrderedDict[str, None] = (
            OrderedDict()
        )  # the same of earlier histories

    @property
    def position(self) -> Position:
        return Position(self.epoch, self.revision)

    # ---- reading ---------------------------------------------------------------------------

    def resource(self, uid: str, with_aliases: bool = False) -> Resource:
        """What a subscriber is told of it. What was never known was removed before we were whole:
        it may have been created since, and have changed again so that it still waits for us."""
        entry = self.entries.get(uid)
        if entry is None:
            return Resource(
                uid, self._absent_revisions.get(uid, self.consistent_revision), Kind.REMOVED
            )
        aliases = list(entry.aliases) if with_aliases else []
        return Resource(uid, entry.revision, Kind.CONTENT, entry.body, aliases)

    def versions(self) -> Iterator[Version]:
        """What is held, for a source to compare."""
        for uid, entry in self.entries.items():
            yield Version(uid, entry.digest)

    def owner(self, alias: str) -> str:
        """The uid whose alias this is; empty where it is nobody's."""
        return self.aliases.get(alias, "")

    def may_have_held_newer(self, uid: str, revision: int) -> bool:
        """Whether a source at this revision may know an older state than what was held, and given
        up, before this history: it has not come up to where the history began."""
        return uid in self._absent_in_earlier_epochs and revision < self.parent.revision

    def covers(self, position: Position, newest: int = 0) -> bool:
        """Whether `changes_behind` can tell all that was missed since a position by one who
        holds nothing newer than `newest`.

        Revision 0 is that of a subscriber that knows nothing, or not of what it still holds.
        """
        if position.revision < max(self._resumable_from, 1):
            return False
        if position.epoch == self.epoch:
            return True
        newest_known = max(position.revision, newest)
        return position.epoch == self.parent.epoch and newest_known <= self.parent.revision

    def changes_after(self, revision: int) -> list[tuple[int, str]]:
        """Each resource that has changed behind a covered revision, once, in the order of its
        last change."""
        latest: dict[str, int] = {}
        for changed_revision, uid in reversed(self._recent_changes):
            if changed_revision <= revision:
                break
            latest.setdefault(uid, changed_revision)
        return [(changed_revision, uid) for uid, changed_revision in reversed(latest.items())]

    # ---- changing --------------------------------------------------------------------------

    def begin_epoch(self, epoch: Epoch, parent: Position) -> None:
        """Go on in another epoch whose history begins with ours."""
        self.epoch = epoch
        self.parent = parent

    def switch_history(self, epoch: Epoch, parent: Position) -> None:
        """Go over to an epoch of another history: revisions of the old one say nothing in it.

        What is held stays until a comparison has told which of it still holds.
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
        """Changes were missed that nobody can tell any more: only a comparison helps, and who
        follows us can't resume behind what we know until it is over."""
        self.revision = 0
        self.consistent_revision = 0
        self._resumable_from = 0
        self._recent_changes.clear()

    def apply(self, resource: Resource) -> bool:
        """Take a state of this epoch; False where ours is as new, so that nothing changes.

        That something is removed which we never held is news as well: a subscriber of ours
        may have got it from another source.
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
                self._bind_aliases(
                    resource.uid, entry
                )  # another may have had them in the old history
            return False
        if resource.revision <= known:
            return False
        if resource.kind is Kind.REMOVED:
            self._remove(resource.uid, resource.revision)
        else:
            self._store(resource)
        return True

    def record_change(self, revision: int, uid: str) -> None:
        """Remember a change, for those who resume behind it. Revisions only grow: where one
        does not, nobody may resume behind what came before it."""
        if self._recent_changes and revision < self._recent_changes[-1][0]:
            self._resumable_from = max(self._resumable_from, self._recent_changes[-1][0])
            self._recent_changes.clear()
            return
        self._recent_changes.append((revision, uid))
        if len(self._recent_changes) > self._max_recent_changes:
            forgotten, _ = self._recent_changes.popleft()
            self._resumable_from = max(self._resumable_from, forgotten)

    def commit(self, resource: Resource) -> None:
        """A change of the publisher's own: take it, remember it, and stand there."""
        self.apply(resource)
        self.record_change(resource.revision, resource.uid)
        self.advance(resource.revision, consistent=True)

    def set_resumable_from(self, revision: int) -> None:
        """Say from where on all changes have been recorded."""
        self._resumable_from = revision

    def advance(self, revision: int, consistent: bool = False) -> None:
        """All that is held now holds up to there, but for what has changed behind it as well;
        with `whole` for that too."""
        if consistent:
            self.consistent_revision = max(self.consistent_revision, revision)
        self.revision = max(self.revision, revision)
        self.newest_revision = max(self.newest_revision, revision)

    def step_back(self, revision: int) -> None:
        """Something was taken that holds only up to there: resume from there."""
        self.revision = min(self.revision, revision)

    def release(self, uid: str) -> None:
        """Hold a resource no longer; how new it was stays known, so that an older state of it
        is not taken when it is asked for again."""
        entry = self.entries.get(uid)
        if entry is not None:
            self._remove(uid, entry.revision - 1)  # the same state again is as good

    def load(self, resources: Iterable[Resource]) -> None:
        """Fill an empty replica, in any order."""
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
            if self.aliases.get(alias) == uid:  # it may be another's by now
                del self.aliases[alias]
