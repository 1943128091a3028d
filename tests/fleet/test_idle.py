"""Idle tenants: their grants are renewed at the intended rate and never lapse."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from standins.fleet.simulated import World
from tansywood.fleet import status
from tansywood.fleet.allocation import Holder, open_key, rate_key
from tansywood.fleet.claims import IDLE_CLAIM_INTERVAL_NS
from tansywood.fleet.demands import Demand, Demands
from tansywood.fleet.entitlement import Entitlement
from tansywood.fleet.instance import Instance
from tansywood.fleet.messages import Claim, Grant, GrantEntry
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import MS, SECOND, GrantTerms
from tests.fleet.worlds import LIMIT_UNITS, TENANT, run_random_history, set_demand, settle, world

ALLOCATORS = 3
NAMES = [f"i{n}" for n in range(5)]
LIMITS = Limits(150_000, 40, 0, ("s-0",), SECOND)
WARM_UP_S, COUNTED_S = 8.0, 10.0  # run until grants are stable, then count for this long


class ClaimsCounted(World):
    """Counts claims by instance and allocator, and claimed limits by instance."""

    def reset(self) -> None:
        """Reset the counters."""
        self.claims: Counter[tuple[str, str]] = Counter()
        self.tenants_claimed: Counter[tuple[str, str]] = Counter()

    def flush(self, name: str) -> None:
        made = self.hosts[name].instance
        for address, envelope in made.messenger.outgoing if made is not None else ():
            if isinstance(envelope.body, Claim):
                self.claims[name, address] += 1
                if address == self.first[-1]:
                    for entry in envelope.body.entries:
                        self.tenants_claimed[name, entry.key] += 1
        super().flush(name)


def idle_fleet(tenants: int, seed: int = 1) -> ClaimsCounted:
    """Return a stable fleet in which nobody asks for any tenant."""
    documents = {f"tenant-{n:03}": LIMITS for n in range(tenants)}
    made = ClaimsCounted(NAMES, ALLOCATORS, documents, seed)
    made.reset()

    def conserved(world: World) -> None:
        for tenant in documents:
            assert sum(world.amounts(rate_key(tenant)).values()) <= LIMITS.rate
            assert sum(world.amounts(open_key(tenant)).values()) <= LIMITS.open

    made.watch = conserved
    for name in NAMES:
        made.start(name)
    made.run(WARM_UP_S)
    made.reset()
    return made


@pytest.mark.parametrize("tenants", [1, 4, 30])
def test_no_instance_claims_more_than_once_per_round_and_allocator(tenants: int) -> None:
    made = idle_fleet(tenants)
    made.run(COUNTED_S)
    rounds = COUNTED_S * SECOND / GrantTerms().claim_interval_ns
    for name in NAMES:
        for address in made.first:
            if address != made.hosts[name].address:
                assert made.claims[name, address] <= rounds + 1, (name, address)
        instance = made.hosts[name].instance
        assert instance is not None
    # An allocator's claims of itself send no message; their sequence numbers count them.
    before = [i.holder.seqs[0] for s in made.hosts.values() if (i := s.instance)]
    made.run(COUNTED_S)
    after = [i.holder.seqs[0] for s in made.hosts.values() if (i := s.instance)]
    assert max(b - a for a, b in zip(before, after, strict=True)) <= rounds + 1


@pytest.mark.parametrize("tenants", [1, 4, 30, 90])
def test_an_idle_tenant_is_renewed_once_per_second(tenants: int) -> None:
    made = idle_fleet(tenants)
    made.run(COUNTED_S)
    times = COUNTED_S * SECOND / IDLE_CLAIM_INTERVAL_NS
    others = [name for name in NAMES if made.hosts[name].address != made.first[-1]]
    counts = [made.tenants_claimed[name, rate_key(t)] for name in others for t in made.tenants]
    assert times - 1 <= min(counts) and max(counts) <= times + 1


def test_grants_of_an_idle_tenant_never_lapse() -> None:
    made = idle_fleet(30)
    for _ in range(200):
        made.run(0.05)
        for tenant in made.tenants:
            amounts = made.amounts(rate_key(tenant))
            assert len(amounts) == len(NAMES) and min(amounts.values()) > 0.1 * LIMITS.rate


def test_frequent_changes_of_the_tenants_starve_no_other_tenant() -> None:
    made = idle_fleet(30)
    for n in range(40):  # five changes per second, each with the complete list
        for host in made.hosts.values():
            assert host.instance is not None
            now = made.clock(host)
            host.instance.set_tenants(now, made.tenants | {f"zz-{n}": LIMITS})
        made.run(0.2)
        for tenant in made.tenants:
            assert min(made.amounts(rate_key(tenant)).values()) > 0.1 * LIMITS.rate


def hosted_idle(tenants: int) -> ClaimsCounted:
    """Return a stable idle fleet in which a worker of every instance hosts all tenants."""
    made = idle_fleet(tenants)
    made.keeps = True
    keys = [key for tenant in made.tenants for key in LIMITS.by_key(tenant)]
    for host in made.hosts.values():
        host.needs = dict.fromkeys(keys, 0)
    made.run(WARM_UP_S)
    made.reset()
    return made


def test_a_hosted_idle_tenant_is_renewed_twice_per_second_and_never_lapses() -> None:
    made = hosted_idle(30)
    for _ in range(200):
        made.run(0.05)
        for tenant in made.tenants:
            assert min(made.amounts(rate_key(tenant)).values()) > 0.1 * LIMITS.rate
        for host in made.hosts.values():
            assert host.until > made.clock(
                host
            )  # the amounts that its worker was told are valid too
    counts = [made.tenants_claimed[NAMES[-1], rate_key(t)] for t in made.tenants]
    assert max(counts) <= 2 * COUNTED_S * SECOND / IDLE_CLAIM_INTERVAL_NS + 1


def test_one_lost_renewal_takes_no_units_from_a_worker() -> None:
    made = hosted_idle(10)
    host = made.hosts["i4"]
    for _ in range(12):
        made.run(0.137)  # begin at another point of the claim interval each time
        made.split(["i4"])
        made.run(0.45)  # loses at most one of the two claims per second
        made.heal()
        for _ in range(30):
            made.run(0.05)
            assert host.until > made.clock(host) and host.instance is not None
            for tenant in made.tenants:
                assert host.instance.amount(made.clock(host), rate_key(tenant)) > 0


def test_a_worker_gets_periodic_updates_of_idle_tenants_and_immediate_ones_of_active_tenants(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = hosted_idle(10)
    told: Counter[tuple[str, str]] = Counter()
    row = status._tenant_for_worker

    def counted(instance: Instance, now: int, tenant: str, working: list[str]) -> dict[str, Any]:
        told[instance.name, tenant] += 1
        return row(instance, now, tenant, working)

    monkeypatch.setattr(status, "_tenant_for_worker", counted)
    made.run(COUNTED_S)
    updates = COUNTED_S * SECOND / status.IDLE_TENANT_UPDATE_INTERVAL_NS
    assert 0.8 * updates <= min(told.values()) <= max(told.values()) <= updates + 1
    told.clear()
    made.hosts["i4"].needs[rate_key("tenant-003")] = 100_000
    made.run(COUNTED_S)
    assert told["i4", "tenant-003"] >= 9 * COUNTED_S
    assert made.hosts["i4"].told[rate_key("tenant-003")] > 0.6 * 100_000
    assert told["i4", "tenant-004"] <= updates + 1


def test_a_change_of_one_tenant_recomputes_only_that_tenant() -> None:
    known = {f"t{n}": Limits(1000 + n, 40, 2, ("s-0", "s-1"), SECOND) for n in range(50)}
    made = Entitlement(GrantTerms(), 3, 1)
    made.set_tenants(known)
    before = {tenant: made.limits_by_tenant[tenant] for tenant in known}
    changed = dict(known, t7=Limits(9, 9, 0, ("s-0",), SECOND))
    del changed["t8"]
    made.set_tenants(changed)
    assert [t for t in changed if made.limits_by_tenant[t] is not before[t]] == ["t7"]
    # The incremental result equals that of an entitlement that got all tenants at once.
    rebuilt = Entitlement(GrantTerms(), 3, 1)
    rebuilt.set_tenants(changed)
    assert (
        made.limits_by_tenant == rebuilt.limits_by_tenant
        and made._floors == rebuilt._floors
        and made.tenants == rebuilt.tenants
    )


def take_back_rate(instance: Instance, tenant: str, now: int) -> None:
    """Apply a grant that takes back nearly all of a tenant's rate."""
    claim = instance.holder.claim(now, 0, {rate_key(tenant): 0})
    assert instance.holder.granted(now, 0, Grant(claim.seq, [GrantEntry(rate_key(tenant), 7)]))


def test_a_worker_that_reconnects_is_told_of_all_its_tenants() -> None:
    made = hosted_idle(10)
    host = made.hosts["i4"]
    assert host.instance is not None
    now = made.clock(host)
    host.instance.allocations(now, "w")
    assert host.instance.allocations(now, "w")["tenants"] == {}
    take_back_rate(
        host.instance, "tenant-003", now
    )  # the amount has changed, so the worker is told at once
    assert list(host.instance.allocations(now, "w")["tenants"]) == ["tenant-003"]
    host.instance.forget_last_update("w")
    assert len(host.instance.allocations(now, "w")["tenants"]) == 10


def test_a_hosted_idle_tenant_that_becomes_active_has_its_share_within_a_second() -> None:
    made = hosted_idle(4)
    key = rate_key("tenant-000")
    made.hosts["i4"].needs[key] = 140_000
    made.run(1.0)
    assert made.amounts(key)["i4"] > 0.8 * 140_000


def test_only_a_report_of_the_current_version_frees_units_that_were_taken_back() -> None:
    entitlement = Entitlement(GrantTerms(), 1, -1)
    entitlement.set_tenants({"t": LIMITS})
    holder, claim_times = entitlement.holder, list[int]()
    demands = Demands(entitlement, claim_times.append)
    idle_demand = Demand("w", SECOND)

    def granted(amount: int) -> int:
        """Apply a new grant, and return the claim that the next one reports as applied."""
        apply_grant(holder, SECOND, amount)
        demands.granted(SECOND, ["t/rate"])
        return applied()

    def applied() -> int:
        return holder.claim(SECOND, 0, {"t/rate": 0}).entries[0].applied

    demands.report(SECOND, "w", holder.version, {"t": idle_demand})
    assert granted(100) == 0  # the worker has not received the grant
    demands.report(SECOND, "w", holder.version, {"t": idle_demand})
    # The claim was scheduled when the tenant was first reported.
    assert applied() == 1 and claim_times == [SECOND]
    assert granted(60) == 1  # the worker may still use a hundred
    demands.report(SECOND, "w", holder.version - 1, {"t": idle_demand})
    assert applied() == 1
    demands.report(SECOND, "w", holder.version, {"t": idle_demand})
    assert applied() > 1 and claim_times == [SECOND, SECOND]
    before = applied()
    # A renewal of the same amount frees nothing.
    assert granted(60) > before and claim_times == [SECOND, SECOND]


@pytest.mark.parametrize("seed", range(25))
def test_no_limit_is_exceeded_while_workers_host_idle_tenants(seed: int) -> None:
    made = world(list("abcde"), 3, seed, {"a": 0.955, "b": 1.045, "d": 0.96, "e": 1.04})
    made.keeps = True
    for name in made.hosts:
        set_demand(made, name, 60, 4)
    made.run(1.0)
    run_random_history(made, seed)  # callers come and go; `assert_conserved` runs at every step
    settle(made)
    assert sum(made.amounts(rate_key(TENANT)).values()) >= 0.97 * LIMIT_UNITS[rate_key(TENANT)]


def apply_grant(holder: Holder, now: int, amount: int) -> None:
    claim = holder.claim(now, 0, {"t/rate": 1})
    assert holder.granted(now, 0, Grant(claim.seq, [GrantEntry("t/rate", amount)]))


def test_allocators_are_told_at_once_only_of_freed_units() -> None:
    holder = Holder(GrantTerms(), 1)

    def confirmed(now: int) -> bool:
        return holder.confirm(now, "t/rate", 0, holder.version)

    apply_grant(holder, SECOND, 100)
    assert not confirmed(SECOND)  # no older grant is outstanding
    apply_grant(holder, SECOND + 250 * MS, 100)
    assert not confirmed(SECOND + 250 * MS)  # a renewal of the same amount
    apply_grant(holder, SECOND + 500 * MS, 140)
    assert not confirmed(SECOND + 500 * MS)  # a larger amount takes nothing back
    apply_grant(holder, SECOND + 750 * MS, 60)
    assert confirmed(SECOND + 750 * MS)  # 80 units are free
    assert not confirmed(SECOND + 750 * MS)
    # Two amounts arrive before the workers apply the first: the higher one counts as in use.
    apply_grant(holder, 2 * SECOND, 90)
    apply_grant(holder, 2 * SECOND, 70)
    assert confirmed(2 * SECOND)
    assert holder.claim(2 * SECOND, 0, {"t/rate": 1}).entries[0].applied == 6
