"""Answers claims for the slices that this instance may grant. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tansywood.fleet.allocation import Allocator, tenant_of
from tansywood.fleet.evidence import Evidence
from tansywood.fleet.messages import Claim, Grant, Return
from tansywood.fleet.terms import GrantTerms

LimitsByKey = Mapping[str, tuple[int, int]]  # by limit key: units of the whole limit, and its tail


def allocator_lease(index: int) -> str:
    """Return the name of the lease whose holder may grant an allocator's slice."""
    return f"home-{index}"


class Granting:
    """The allocators that run on this instance: its own or, under leases, those whose leases it
    holds."""

    def __init__(self, terms: GrantTerms, count: int, index: int, now: int) -> None:
        """`count` is the number of allocators; `index` is the one that this instance is, or -1."""
        self.index = index
        self.allocators: dict[int, Allocator] = {}  # by index
        # Under leases: whether this instance may grant a slice now. Called before every grant.
        self.may_grant: Callable[[int], bool] | None = None
        self._terms = terms
        self._count = count
        if index >= 0:
            self.allocators[index] = Allocator(terms, count, index, now)

    @property
    def uses_leases(self) -> bool:
        """Whether slices are granted under leases instead of by fixed allocators."""
        return self.may_grant is not None

    def grant_under_leases(self, may_grant: Callable[[int], bool]) -> None:
        """From now on grant only slices for which `may_grant` returns True."""
        self.may_grant = may_grant
        self.allocators.clear()

    def start(self, now: int, index: int, limits: LimitsByKey) -> None:
        """Start granting this slice, in the way of an allocator that has just started: nothing is
        granted until all earlier grants have certainly expired."""
        allocator = Allocator(self._terms, self._count, index, now)
        for key, (whole, tail) in limits.items():
            allocator.set_limit(key, whole, tail)
        self.allocators[index] = allocator

    def stop(self, index: int) -> bool:
        """Stop granting this slice; outstanding grants expire by themselves. Return whether this
        instance was granting it."""
        return self.allocators.pop(index, None) is not None

    def active(self, index: int) -> Allocator | None:
        """Return the allocator of this slice if this instance may grant it now."""
        if self.may_grant is not None and not self.may_grant(index):
            return None
        return self.allocators.get(index)

    def set_limits(self, now: int, limits: LimitsByKey) -> None:
        """Replace the limits of all allocators here."""
        for allocator in self.allocators.values():
            for key, (whole, tail) in limits.items():
                allocator.set_limit(key, whole, tail)
            allocator.keep(limits, now)

    def answer(self, now: int, life: bytes, claim: Claim, evidence: Evidence) -> Grant | None:
        """Answer a claim of the holder with this life; None if this instance may not grant."""
        index = self.index if claim.allocator < 0 else claim.allocator
        allocator = self.active(index)
        if allocator is None:
            return None
        evidence.record(now, life, claim.seen)
        entries = allocator.claim(now, life, claim)
        tenants = {tenant_of(entry.key) for entry in entries}
        doubted, recovered = evidence.verdict(now, claim.seen, tenants)
        return Grant(claim.seq, entries, doubted, recovered, index)

    def give_back(self, now: int, life: bytes, body: Return) -> None:
        """Release all units of a slice that the holder with this life had."""
        allocator = self.allocators.get(self.index if body.allocator < 0 else body.allocator)
        if allocator is not None:
            allocator.give_back(now, life, body.seq)
