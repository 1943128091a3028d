"""Tracks for the publisher how many instances of the fleet have applied each change.

Every distributor counts its own instances and reports the counts. The publisher adds them up and
knows which distributors have not reported yet. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from tansywood.distribution.messages import Rollout

MAX_TRACKED_CHANGES = 512  # changes per distributor whose counts are kept
MAX_NAMED_INSTANCES = 20  # instances that the summary of one change names


@dataclass(frozen=True, slots=True)
class RolloutSummary:
    """The progress of one change over all distributors.

    The change is `complete` when no instance and no distributor is known to lack it.
    """

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
    # A new connection may open before the end of the previous one is noticed.
    connections: int = 0
    # Whether the distributor was told which instances are connected to other distributors.
    sent_instances_elsewhere: bool = False
    # The revision up to which the distributor has reported its counts.
    reported_revision: int = 0
    # The counts of the latest change of each tenant, by uid.
    rows: OrderedDict[str, Rollout] = field(default_factory=OrderedDict)


class RolloutTracker:
    """Adds up the distributors' counts of the latest change of each tenant."""

    def __init__(self) -> None:
        self._distributors: dict[str, _Distributor] = {}
        # The distributor that each instance connected to last.
        self._distributor_by_instance: dict[str, str] = {}

    def connected(self, distributor: str) -> None:
        """Record a connection of a distributor.

        The distributor has to report its counts again, because it may have restarted and lost the
        changes that it had.
        """
        known = self._distributors.setdefault(distributor, _Distributor())
        known.connections += 1
        known.reported_revision = 0
        known.sent_instances_elsewhere = False

    def disconnected(self, distributor: str) -> None:
        """Record the end of a connection of a distributor.

        The distributor stays known: its instances may lack later changes until another distributor
        reports them.
        """
        known = self._distributors.get(distributor)
        if known is not None:
            known.connections = max(known.connections - 1, 0)

    def report(self, distributor: str, rows: Iterable[Rollout], revision: int = 0) -> None:
        """Record counts of a distributor.

        A `revision` other than 0 says that the counts of all changes up to it have been reported.
        """
        known = self._distributors.setdefault(distributor, _Distributor())
        for row in rows:
            known.rows[row.uid] = row
            known.rows.move_to_end(row.uid)
        while len(known.rows) > MAX_TRACKED_CHANGES:
            known.rows.popitem(last=False)
        known.reported_revision = revision or known.reported_revision

    def instances_joined(self, distributor: str, names: Iterable[str]) -> dict[str, list[str]]:
        """Record that instances connected to a distributor.

        Return, by distributor, the instances that it has to be told are connected elsewhere. When
        the previous distributor of an instance is not known, as after a restart of the publisher,
        all other distributors are told.
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
        """Return the progress of one change.

        A distributor counts as waiting until it has reported its counts of the change, because
        receiving the change itself says nothing about its instances. A disconnected distributor
        counts as waiting while it is the last one that some instance connected to. If the tenant
        has changed again since, the counts are those of the later change: an instance that lacks
        the later change may lack this one as well.
        """
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
