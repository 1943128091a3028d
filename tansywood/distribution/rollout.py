"""How far each change has come over all instances: the publisher's sums of what distributors tell.

Pure. A distributor counts its own instances; the publisher adds the counts up, and knows which
distributors have not been heard of or lack the change themselves.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from tansywood.distribution.messages import Rollout

FOLLOWED = 512  # changes whose sums are kept
NAMED = 20  # instances named of one change


@dataclass(frozen=True, slots=True)
class Summary:
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
    told_elsewhere: bool = False  # which instances are at others
    reported: int = 0  # the revision up to which it has told its sums
    rows: OrderedDict[str, Rollout] = field(default_factory=OrderedDict)  # of each uid's last


class RolloutBoard:
    """Sums by change; the latest of each tenant is what counts."""

    def __init__(self) -> None:
        self._distributors: dict[str, _Distributor] = {}
        self._at: dict[str, str] = {}  # which distributor an instance came to last

    def connected(self, distributor: str) -> None:
        """Its sums are told anew: it may have been started again, and lack what it had."""
        known = self._distributors.setdefault(distributor, _Distributor())
        known.connections += 1
        known.reported = 0
        known.told_elsewhere = False

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
        while len(known.rows) > FOLLOWED:
            known.rows.popitem(last=False)
        known.reported = revision or known.reported

    def joined(self, distributor: str, names: Iterable[str]) -> dict[str, list[str]]:
        """Instances have come to a distributor; returns whom to tell that they left there.

        Where an instance was before may not be known, as after a start: then all others are told.
        """
        tell: dict[str, list[str]] = {}
        others = [other for other in self._distributors if other != distributor]
        for name in names:
            before = self._at.get(name)
            self._at[name] = distributor
            for other in others if before is None else [before]:
                if other != distributor:
                    tell.setdefault(other, []).append(name)
        known = self._distributors.setdefault(distributor, _Distributor())
        if not known.told_elsewhere:
            known.told_elsewhere = True
            elsewhere = [name for name, at in self._at.items() if at != distributor]
            if elsewhere:
                tell[distributor] = elsewhere
        return tell

    def summary(self, uid: str, revision: int) -> Summary:
        """Of one change. A distributor counts as waiting until it has told its sums of it: that
        it has the change itself says nothing of its instances. One that has gone counts as
        waiting while it was the last that some instance came to. Where the tenant has changed again
        since, the sums are those of its later change: who lacks that may lack this one as well."""
        have = waiting = refused = has = 0
        lagging: list[str] = []
        refusing: list[tuple[str, str]] = []
        late: list[str] = []
        served = set(self._at.values())
        for name, distributor in sorted(self._distributors.items()):
            if distributor.reported < revision or not distributor.connections:
                if distributor.connections or name in served:
                    late.append(name)
                continue
            has += 1
            row = distributor.rows.get(uid)
            if row is not None and row.revision >= revision:
                have += row.have
                waiting += row.waiting
                refused += row.refused
                lagging += row.lagging
                refusing += row.refusing
        return Summary(
            uid,
            revision,
            have,
            waiting,
            refused,
            tuple(lagging[:NAMED]),
            tuple(refusing[:NAMED]),
            has,
            tuple(late),
        )
