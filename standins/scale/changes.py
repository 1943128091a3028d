"""Which changes a run makes: a mixture by stated shares, drawn from a seed. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

HOT_TENANTS = 10  # that change again and again ...
HOT_SHARE = 0.2  # ... with this part of the document changes
BURST = 5  # changes of one hot tenant at once, now and then
BURST_SHARE = 0.02
NEW_SHARE = 0.1  # of document changes, to tenants that were created in this run
APART_S = 1.0  # between two changes of which the later one needs what the earlier one made
TENANTS_LEAST = 3 * HOT_TENANTS


class ChangeKind(StrEnum):
    """What is done to a tenant by one call of the API."""

    CHANGE = "change"  # of its document
    ISSUE = "issue"  # a key for its callers
    REVOKE = "revoke"  # a key that was issued in this run
    CREATE = "create"
    DELETE = "delete"
    RECREATE = "re-create"  # another tenant under the name of one that was deleted


# What part of all changes is of each kind. Where nothing is there yet to be revoked or created
# again, a key is issued or a tenant deleted in its place.
SHARES = {
    ChangeKind.CHANGE: 0.50,
    ChangeKind.ISSUE: 0.15,
    ChangeKind.REVOKE: 0.10,
    ChangeKind.CREATE: 0.09,
    ChangeKind.DELETE: 0.08,
    ChangeKind.RECREATE: 0.08,
}


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One call of the API."""

    at: float  # seconds of the run
    tenant: int
    kind: ChangeKind


def draw_changes(
    tenants: int, seconds: float, count: int, random: Random
) -> tuple[PlannedChange, ...]:
    """`count` changes, or some more where one comes in a burst, in the order of their times.
    Tenants are created under the numbers from `tenants` on."""
    return _Changes(tenants, seconds, max(count, len(ChangeKind)), random).draw()


class _Changes:
    """Changes at even spaces with some jitter, their kinds a mixture by SHARES.

    A tenant that will be deleted does not change before. A key is revoked, a deleted tenant created
    again and a created one changed APART_S after the change that it needs, or later.
    """

    def __init__(self, tenants: int, seconds: float, count: int, random: Random) -> None:
        self._tenants = tenants
        self._seconds = seconds
        self._count = count
        self._random = random
        deletions = min(count, (tenants - HOT_TENANTS) // 2)  # others remain to be changed
        chosen = random.sample(range(tenants), HOT_TENANTS + deletions)
        self._hot, self._to_delete = chosen[:HOT_TENANTS], chosen[HOT_TENANTS:]
        self._may_go = set(self._to_delete)
        self._deleted: list[tuple[float, int]] = []
        self._issued: list[tuple[float, int]] = []
        self._new: list[tuple[float, int]] = []  # created in this run, for the first time or again
        self._next_created = tenants

    def draw(self) -> tuple[PlannedChange, ...]:
        made: list[PlannedChange] = []
        spacing = self._seconds / self._count
        for number, kind in enumerate(self._kinds()):
            at = (number + self._random.random()) * spacing
            made += self._changes(at, kind)
        return tuple(made)

    def _kinds(self) -> list[ChangeKind]:
        kinds = [kind for kind in ChangeKind for _ in range(round(SHARES[kind] * self._count))]
        kinds += [ChangeKind.CHANGE] * (self._count - len(kinds))
        self._random.shuffle(kinds)
        return kinds[: self._count]

    def _changes(self, at: float, kind: ChangeKind) -> list[PlannedChange]:
        if kind is ChangeKind.CHANGE:
            return self._document_changes(at)
        if kind is ChangeKind.REVOKE:
            tenant = self._take(self._issued, at)
            kind = kind if tenant is not None else ChangeKind.ISSUE
        elif kind is ChangeKind.RECREATE:
            tenant = self._take(self._deleted, at)
            kind = kind if tenant is not None else ChangeKind.DELETE
        else:
            tenant = None
        if kind is ChangeKind.DELETE and not self._to_delete:
            return self._document_changes(at)
        return [PlannedChange(at, self._tenant_for(at, kind, tenant), kind)]

    def _tenant_for(self, at: float, kind: ChangeKind, tenant: int | None) -> int:
        if kind is ChangeKind.DELETE:
            tenant = self._to_delete.pop()
            self._deleted.append((at, tenant))
        elif kind is ChangeKind.CREATE:
            tenant = self._next_created
            self._next_created += 1
        elif kind is ChangeKind.ISSUE:
            tenant = self._stable()
            self._issued.append((at, tenant))
        assert tenant is not None
        if kind in (ChangeKind.CREATE, ChangeKind.RECREATE):
            self._new.append((at, tenant))
        return tenant

    def _document_changes(self, at: float) -> list[PlannedChange]:
        random = self._random
        new = [tenant for since, tenant in self._new if since + APART_S <= at]
        if new and random.random() < NEW_SHARE:
            return [PlannedChange(at, random.choice(new), ChangeKind.CHANGE)]
        again = BURST if random.random() < BURST_SHARE else 1
        hot = again > 1 or random.random() < HOT_SHARE
        tenant = random.choice(self._hot) if hot else self._stable()
        return [PlannedChange(at, tenant, ChangeKind.CHANGE)] * again

    def _stable(self) -> int:
        """A tenant that is there all the time."""
        while (tenant := self._random.randrange(self._tenants)) in self._may_go:
            pass
        return tenant

    def _take(self, rows: list[tuple[float, int]], at: float) -> int | None:
        """One of those that have been there for long enough."""
        there = [index for index, (since, _) in enumerate(rows) if since + APART_S <= at]
        return rows.pop(self._random.choice(there))[1] if there else None
