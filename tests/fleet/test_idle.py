"""Tenants that nobody asks for: what is lent of them is renewed, and costs nothing in between."""

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
from tests.fleet.worlds import TENANT, WHOLES, history, settle, want, world

ALLOCATORS = 3
NAMES = [f"i{n}" for n in range(5)]
LIMITS = Limits(150_000, 40, 0, ("s-0",), SECOND)
WARM_S, SPAN_S = 8.0, 10.0  # what was lent comes to rest; what is counted


class ClaimsCounted(World):
    """Counts what is claimed: claims by instance and allocator, tenants by instance."""

    def reset(self) -> None:
        """Begin to count anew."""
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


def idle(tenants: int, seed: int = 1) -> ClaimsCounted:
    """A fleet at rest that has come to rest: nobody asks for any of its tenants."""
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
    made.run(WARM_S)
    made.reset()
    return made


@pytest.mark.parametrize("tenants", [1, 4, 30])
def test_every_instance_claims_once_a_round_and_an_allocator_no_more(tenants: int) -> None:
    made = idle(tenants)
    made.run(SPAN_S)
    rounds = SPAN_S * SECOND / GrantTerms().claim_interval_ns
    for name in NAMES:
        for address in made.first:
            if address != made.hosts[name].address:
                assert made.claims[name, address] <= rounds + 1, (name, address)
        instance = made.hosts[name].instance
        assert instance is not None
    # An allocator's claims of itself leave no message: they are counted by their numbers.
    before = [i.holder.seqs[0] for s in made.hosts.values() if (i := s.instance)]
    made.run(SPAN_S)
    after = [i.holder.seqs[0] for s in made.hosts.values() if (i := s.instance)]
    assert max(b - a for a, b in zip(before, after, strict=True)) <= rounds + 1


@pytest.mark.parametrize("tenants", [1, 4, 30, 90])
def test_a_tenant_at_rest_is_renewed_once_a_second(tenants: int) -> None:
    made = idle(tenants)
    made.run(SPAN_S)
    times = SPAN_S * SECOND / IDLE_CLAIM_INTERVAL_NS
    others = [name for name in NAMES if made.hosts[name].address != made.first[-1]]
    counts = [made.tenants_claimed[name, rate_key(t)] for name in others for t in made.tenants]
    assert times - 1 <= min(counts) and max(counts) <= times + 1


def test_what_is_lent_of_a_tenant_at_rest_never_lapses() -> None:
    made = idle(30)
    for _ in range(200):
        made.run(0.05)
        for tenant in made.tenants:
            amounts = made.amounts(rate_key(tenant))
            assert len(amounts) == len(NAMES) and min(amounts.values()) > 0.1 * LIMITS.rate


def test_a_change_of_the_tenants_starves_none_of_the_others() -> None:
    made = idle(30)
    for n in range(40):  # five a second, each a whole list
        for host in made.hosts.values():
            assert host.instance is not None
            now = made.clock(host)
            host.instance.set_tenants(now, made.tenants | {f"zz-{n}": LIMITS})
        made.run(0.2)
        for tenant in made.tenants:
            assert min(made.amounts(rate_key(tenant)).values()) > 0.1 * LIMITS.rate


def kept(tenants: int) -> ClaimsCounted:
    """The same where a worker of every instance has them all."""
    made = idle(tenants)
    made.keeps = True
    keys = [key for tenant in made.tenants for key in LIMITS.by_key(tenant)]
    for host in made.hosts.values():
        host.needs = dict.fromkeys(keys, 0)
    made.run(WARM_S)
    made.reset()
    return made


def test_a_tenant_that_a_worker_keeps_is_renewed_twice_a_second_and_never_lapses() -> None:
    made = kept(30)
    for _ in range(200):
        made.run(0.05)
        for tenant in made.tenants:
            assert min(made.amounts(rate_key(tenant)).values()) > 0.1 * LIMITS.rate
        for host in made.hosts.values():
            assert host.until > made.clock(host)  # what its worker was told holds too
    counts = [made.tenants_claimed[NAMES[-1], rate_key(t)] for t in made.tenants]
    assert max(counts) <= 2 * SPAN_S * SECOND / IDLE_CLAIM_INTERVAL_NS + 1


def test_one_renewal_that_is_lost_takes_nothing_from_a_worker() -> None:
    made = kept(10)
    host = made.hosts["i4"]
    for _ in range(12):
        made.run(0.137)  # another moment of the round each time
        made.split(["i4"])
        made.run(0.45)  # one of two claims a second, at most
        made.heal()
        for _ in range(30):
            made.run(0.05)
            assert host.until > made.clock(host) and host.instance is not None
            for tenant in made.tenants:
                assert host.instance.amount(made.clock(host), rate_key(tenant)) > 0


def test_a_worker_is_told_now_and_then_of_what_rests_and_at_once_of_what_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = kept(10)
    told: Counter[tuple[str, str]] = Counter()
    row = status._tenant_for_worker

    def counted(instance: Instance, now: int, tenant: str, working: list[str]) -> dict[str, Any]:
        told[instance.name, tenant] += 1
        return row(instance, now, tenant, working)

    monkeypatch.setattr(status, "_tenant_for_worker", counted)
    made.run(SPAN_S)
    words = SPAN_S * SECOND / status.IDLE_TENANT_UPDATE_INTERVAL_NS
    assert 0.8 * words <= min(told.values()) <= max(told.values()) <= words + 1
    told.clear()
    made.hosts["i4"].needs[rate_key("tenant-003")] = 100_000
    made.run(SPAN_S)
    assert told["i4", "tenant-003"] >= 9 * SPAN_S
    assert made.hosts["i4"].told[rate_key("tenant-003")] > 0.6 * 100_000
    assert told["i4", "tenant-004"] <= words + 1


def test_a_change_of_one_tenant_works_out_that_one_alone() -> None:
    known = {f"t{n}": Limits(1000 + n, 40, 2, ("s-0", "s-1"), SECOND) for n in range(50)}
    made = Entitlement(GrantTerms(), 3, 1)
    made.set_tenants(known)
    before = {tenant: made.limits_by_tenant[tenant] for tenant in known}
    changed = dict(known, t7=Limits(9, 9, 0, ("s-0",), SECOND))
    del changed["t8"]
    made.set_tenants(changed)
    assert [t for t in changed if made.limits_by_tenant[t] is not before[t]] == ["t7"]
    # What was worked out bit by bit is what one that is told all at once has.
    anew = Entitlement(GrantTerms(), 3, 1)
    anew.set_tenants(changed)
    assert (
        made.limits_by_tenant == anew.limits_by_tenant
        and made._floors == anew._floors
        and made.tenants == anew.tenants
    )


def grant_of(instance: Instance, tenant: str, now: int) -> None:
    """An allocator takes nearly all of a tenant's rate back."""
    claim = instance.holder.claim(now, 0, {rate_key(tenant): 0})
    assert instance.holder.granted(now, 0, Grant(claim.seq, [GrantEntry(rate_key(tenant), 7)]))


def test_a_worker_that_connects_anew_is_told_of_all_that_it_has() -> None:
    made = kept(10)
    host = made.hosts["i4"]
    assert host.instance is not None
    now = made.clock(host)
    host.instance.allocations(now, "w")
    assert host.instance.allocations(now, "w")["tenants"] == {}
    grant_of(host.instance, "tenant-003", now)  # another amount: told at once
    assert list(host.instance.allocations(now, "w")["tenants"]) == ["tenant-003"]
    host.instance.forget_last_update("w")
    assert len(host.instance.allocations(now, "w")["tenants"]) == 10


def test_a_kept_tenant_that_is_asked_for_again_has_its_share_within_a_second() -> None:
    made = kept(4)
    key = rate_key("tenant-000")
    made.hosts["i4"].needs[key] = 140_000
    made.run(1.0)
    assert made.amounts(key)["i4"] > 0.8 * 140_000


def test_a_worker_s_word_frees_what_was_taken_back_and_no_earlier_one_does() -> None:
    entitlement = Entitlement(GrantTerms(), 1, -1)
    entitlement.set_tenants({"t": LIMITS})
    holder, soon = entitlement.holder, list[int]()
    demands = Demands(entitlement, soon.append)
    rests = Demand("w", SECOND)

    def granted(amount: int) -> int:
        """Grant anew; the claim that the next one says the worker goes by."""
        grant(holder, SECOND, amount)
        demands.granted(SECOND, ["t/rate"])
        return applied()

    def applied() -> int:
        return holder.claim(SECOND, 0, {"t/rate": 0}).entries[0].applied

    demands.report(SECOND, "w", holder.version, {"t": rests})
    assert granted(100) == 0  # the worker has not heard of it
    demands.report(SECOND, "w", holder.version, {"t": rests})
    assert applied() == 1 and soon == [SECOND]  # of the tenant's coming
    assert granted(60) == 1  # it may use a hundred as yet
    demands.report(SECOND, "w", holder.version - 1, {"t": rests})
    assert applied() == 1
    demands.report(SECOND, "w", holder.version, {"t": rests})
    assert applied() > 1 and soon == [SECOND, SECOND]
    before = applied()
    assert granted(60) > before and soon == [SECOND, SECOND]  # the same: renewed, nothing to free


@pytest.mark.parametrize("seed", range(25))
def test_nothing_is_exceeded_where_workers_keep_what_rests(seed: int) -> None:
    made = world(list("abcde"), 3, seed, {"a": 0.955, "b": 1.045, "d": 0.96, "e": 1.04})
    made.keeps = True
    for name in made.hosts:
        want(made, name, 60, 4)
    made.run(1.0)
    history(made, seed)  # its callers come and go; `conserved` watches all the while
    settle(made)
    assert sum(made.amounts(rate_key(TENANT)).values()) >= 0.97 * WHOLES[rate_key(TENANT)]


def grant(holder: Holder, now: int, amount: int) -> None:
    claim = holder.claim(now, 0, {"t/rate": 1})
    assert holder.granted(now, 0, Grant(claim.seq, [GrantEntry("t/rate", amount)]))


def test_allocators_are_told_at_once_of_what_is_free_and_of_nothing_else() -> None:
    holder = Holder(GrantTerms(), 1)

    def confirmed(now: int) -> bool:
        return holder.confirm(now, "t/rate", 0, holder.version)

    grant(holder, SECOND, 100)
    assert not confirmed(SECOND)  # nothing older is out
    grant(holder, SECOND + 250 * MS, 100)
    assert not confirmed(SECOND + 250 * MS)  # the same for longer
    grant(holder, SECOND + 500 * MS, 140)
    assert not confirmed(SECOND + 500 * MS)  # more: nothing was taken back
    grant(holder, SECOND + 750 * MS, 60)
    assert confirmed(SECOND + 750 * MS)  # 80 are free
    assert not confirmed(SECOND + 750 * MS)
    # Lower and higher again before the workers went by it: the highest was counted as in use.
    grant(holder, 2 * SECOND, 90)
    grant(holder, 2 * SECOND, 70)
    assert confirmed(2 * SECOND)
    assert holder.claim(2 * SECOND, 0, {"t/rate": 1}).entries[0].applied == 6
