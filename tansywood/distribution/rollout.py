"""How far each change has come over all instances: the publisher's sums of what distributors tell.

Pure. A distributor counts its own instances; the publisher adds the counts up, and knows which
distributors have not been heard of or lack the change themselves.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from tansywood.distribution.messages import Rollout

MAX_TRACKED_CHANGES = 512  # changes whose sums are kept
MAX_NAMED_INSTANCES = 20  # instances named of one change


@dataclass(frozen=True, slots=True)
class RolloutSummary:
    """One change over all distributors. `complete` where nobody is known to lack it."""

    uid: str
    revision: int
    have: int
    waiting: int
    refused: int
    lagging: tuple[str, ...]
    refusing: tuple[tuple[str, str], ...]
    distributors_have: int
    distributors_waiting: tuple[str, ...]

    @property
    def complete(self) -> bool:
        return not (self.waiting or self.refused or self.distributors_waiting)


@dataclass(slots=True)
class _Distributor:
    connections: int = 0  # a new one may be there before the end of the old one is known
    sent_instances_elsewhere: bool = False  # which instances are at others
    reported_revision: int = 0  # the revision up to which it has told its sums
    rows: OrderedDict[str, Rollout] = field(default_factory=OrderedDict)  # of each uid's last


class RolloutTracker:
    """Sums by change; the latest of each tenant is what counts."""

    def __init__(self) -> None:
        self._distributors: dict[str, _Distributor] = {}
        self._distributor_by_instance: dict[
            str, str
        ] = {}  # which distributor an instance came to last

    def connected(self, distributor: str) -> None:
        """Its sums are told anew: it may have been started again, and lack what it had."""
        known = self._distributors.setdefault(distributor, _Distributor())
        known.connections += 1
        known.reported_revision = 0
        known.sent_instances_elsewhere = False

    def disconnected(self, distributor: str) -> None:
        """Its last words stay: its instances may lack what comes now, until they are heard of."""
        known = self._distributors.get(distributor)
        if known is not None:
            known.connections = max(known.connections - 1, 0)

    def report(self, distributor: str, rows: Iterable[Rollout], revision: int = 0) -> None:
        """Sums of a distributor; `revision` where all up to there have been told by now."""
        known = self._distributors.setdefault(distributor, _Distributor())
        for row in rows:
            known.rows[row.uid] = row
            known.rows.move_to_end(row.uid)
        while len(known.rows) > MAX_TRACKED_CHANGES:
            known.rows.popitem(last=False)
        known.reported_revision = revision or known.reported_revision

    def instances_joined(self, distributor: str, names: Iterable[str]) -> dict[str, list[str]]:
        """Instances have come to a distributor; returns whom to tell that they left there.

        Where an instance was before may not be known, as after a start: then all others are told.
        """
        departures: dict[str, list[str]] = {}
        others = [other for other in self._distributors if other != distributor]
        for name in names:
            previous = self._distributor_by_instance.get(name)
            self._distributor_by_instance[name] = distributor
            for other in others if previous is None else [previous]:
                if other != distributor:
                    departures.setdefault(other, []).append(name)
        known = self._distributors.setdefault(distributor, _Distributor())
        if not known.sent_instances_elsewhere:
            known.sent_instances_elsewhere = True
            elsewhere = [
                name
                for name, current_distributor in self._distributor_by_instance.items()
                if current_distributor != distributor
            ]
            if elsewhere:
                departures[distributor] = elsewhere
        return departures

    def summary(self, uid: str, revision: int) -> RolloutSummary:
        """Of one change. A distributor counts as waiting until it has told its sums of it: that
        it has the change itself says nothing of its instances. One that has gone counts as
        waiting while it was the last that some instance came to. Where the tenant has changed again
        since, the sums are those of its later change: who lacks that may lack this one as well."""
        have = waiting = refused = reported_count = 0
        lagging: list[str] = []
        refusing: list[tuple[str, str]] = []
        unreported: list[str] = []
        distributors_in_use = set(self._distributor_by_instance.values())
        for name, distributor in sorted(self._distributors.items()):
            if distributor.reported_revision < revision or not distributor.connections:
                if distributor.connections or name in distributors_in_use:
                    unreported.append(name)
                continue
            reported_count += 1
            row = distributor.rows.get(uid)
            if row is not None and row.revision >= revision:
                have += row.have
                waiting += row.waiting
                refused += row.refused
                lagging += row.lagging
                refusing += row.refusing
        return RolloutSummary(
            uid,
            revision,
            have,
            waiting,
            refused,
            tuple(lagging[:MAX_NAMED_INSTANCES]),
            tuple(refusing[:MAX_NAMED_INSTANCES]),
            reported_count,
            tuple(unreported),
        )
