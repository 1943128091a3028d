"""The allocators' part of one instance: whose slices it grants of, and its answers. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tansywood.fleet.allocation import Allocator, tenant_of
from tansywood.fleet.evidence import Evidence
from tansywood.fleet.messages import Claim, Grant, Return
from tansywood.fleet.terms import GrantTerms

Wholes = Mapping[str, tuple[int, int]]  # by limit key: all there is of it, and its tail


def allocator_lease(index: int) -> str:
    """The lease under which an allocator's slice is granted, where slices are handed on."""
    return f"home-{index}"


class Granting:
    """The allocators that are here: this instance's own or, where slices are handed on, those
    whose leases it holds."""

    def __init__(self, terms: GrantTerms, count: int, index: int, now: int) -> None:
        """`count` allocators there are; this instance is number `index`, -1 where it is none."""
        self.index = index
        self.allocators: dict[int, Allocator] = {}  # by index
        # Where slices are handed on, whether we may grant of one now; asked before every grant.
        self.may_grant: Callable[[int], bool] | None = None
        self._terms = terms
        self._count = count
        if index >= 0:
            self.allocators[index] = Allocator(terms, count, index, now)

    @property
    def uses_leases(self) -> bool:
        """Whether slices are granted under leases."""
        return self.may_grant is not None

    def grant_under_leases(self, may_grant: Callable[[int], bool]) -> None:
        """Slices are granted by whoever `may_grant` says may, and by nobody else from now on."""
        self.may_grant = may_grant
        self.allocators.clear()

    def start(self, now: int, index: int, wholes: Wholes) -> None:
        """Grant of this slice from now on, as an allocator does that has just started: whatever was
        granted of it before is over first."""
        allocator = Allocator(self._terms, self._count, index, now)
        for key, (whole, tail) in wholes.items():
            allocator.set_limit(key, whole, tail)
        self.allocators[index] = allocator

    def stop(self, index: int) -> bool:
        """Grant of this slice no more; what is outstanding ends by itself. Whether we did."""
        return self.allocators.pop(index, None) is not None

    def active(self, index: int) -> Allocator | None:
        """The allocator of this slice, where we may grant of it now."""
        if self.may_grant is not None and not self.may_grant(index):
            return None
        return self.allocators.get(index)

    def set_limits(self, now: int, wholes: Wholes) -> None:
        """All limits that there are."""
        for allocator in self.allocators.values():
            for key, (whole, tail) in wholes.items():
                allocator.set_limit(key, whole, tail)
            allocator.keep(wholes, now)

    def answer(self, now: int, life: bytes, claim: Claim, evidence: Evidence) -> Grant | None:
        """To a claim of the holder with this life; None where we may not grant."""
        index = self.index if claim.allocator < 0 else claim.allocator
        allocator = self.active(index)
        if allocator is None:
            return None
        evidence.record(now, life, claim.seen)
        entries = allocator.claim(now, life, claim)
        tenants = {tenant_of(entry.key) for entry in entries}
        doubted, back = evidence.verdict(now, claim.seen, tenants)
        return Grant(claim.seq, entries, doubted, back, index)

    def give_back(self, now: int, life: bytes, body: Return) -> None:
        """The holder with this life uses nothing of a slice any more."""
        allocator = self.allocators.get(self.index if body.allocator < 0 else body.allocator)
        if allocator is not None:
            allocator.give_back(now, life, body.seq)
