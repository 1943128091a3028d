"""The one place that names the fleet's and the leases' own modules, for the roles to build on.

A name that changes there is changed here and in `hollow`, and nowhere else in this package.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

import msgspec

from standins.fleet.leaseworld import LeaseWorld, Place
from standins.fleet.simulated import World
from tansywood.fleet.allocation import Allocator, open_key, rate_key
from tansywood.fleet.instance import Instance
from tansywood.fleet.members import SYNC_INTERVAL_NS, State
from tansywood.fleet.messages import (
    Claim,
    ClaimEntry,
    Envelope,
    MemberUpdate,
    Observation,
    Sync,
    pack,
)
from tansywood.fleet.seal import HEADER, MAX_REMEMBERED_LIVES, Seal, fleet_binding
from tansywood.fleet.share import Limits
from tansywood.fleet.signals import Kind, Signals
from tansywood.fleet.terms import SECOND, GrantTerms
from tansywood.lease.fragments import Fragment
from tansywood.lease.terms import SECOND as LEASE_SECOND
from tansywood.lease.terms import LeaseTerms

__all__ = [
    "LEASE_SECOND",
    "MAX_REMEMBERED_LIVES",
    "SECOND",
    "Claim",
    "CountingWorld",
    "Envelope",
    "Allocator",
    "Kind",
    "LeaseTerms",
    "LeaseWorld",
    "Fragment",
    "Place",
    "MemberUpdate",
    "Seal",
    "Observation",
    "Signals",
    "Sync",
    "GrantTerms",
    "ClaimEntry",
    "claim_of",
    "fleet_world",
    "instance_that_knows",
    "knows_all",
    "limits",
    "lost_by",
    "pack",
    "member_update",
    "seal_of",
    "tenant_names",
    "use_tenants",
]

SEAL_BYTES = HEADER.size + 16  # around each message: head and authentication tag
RATE = 1_000_000  # thousandths of a request a second, a tenant's default limit
OPEN = 500


class CountingWorld(World):
    """A simulated fleet that counts the bytes of datagrams as they would be sealed."""

    def reset(self) -> None:
        """Begin to count anew."""
        self.bytes_sent: Counter[str] = Counter()  # by instance
        self.bytes_received: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.datagrams = 0
        self.told_bytes = 0  # of gossip about `subject`
        self.subject = ""

    def flush(self, name: str) -> None:
        """Count what is about to leave, then send it."""
        made = self.hosts[name].instance
        for address, envelope in made.messenger.outgoing if made is not None else ():
            size = len(pack(envelope)) + SEAL_BYTES
            self.datagrams += 1
            self.bytes_sent[name] += size
            self.bytes_by_kind[type(envelope.body).__name__] += size
            to = self.by_address.get(address)
            if to is not None:
                self.bytes_received[to] += size
            if self.subject:
                for row in getattr(envelope.body, "news", ()):
                    if row.name == self.subject:
                        self.told_bytes += len(msgspec.msgpack.encode(row))
        super().flush(name)


def limits() -> Limits:
    """A tenant's with the default rate and open requests, and no places at servers."""
    return Limits(RATE, OPEN, 0, ("s-0",), 2 * SECOND)


def tenant_names(count: int) -> list[str]:
    """As long as names of customers are."""
    return [f"tenant-{n:06}" for n in range(count)]


def fleet_world(
    instances: int, homes: int, busy: Iterable[str], known: Iterable[str], seed: int
) -> CountingWorld:
    """A started fleet; `known` tenants exist, `busy` ones are at work at every instance."""
    names = [f"instance-{n:05}" for n in range(instances)]
    tenants = {tenant: limits() for tenant in known}
    world = CountingWorld(names, min(homes, instances), tenants, seed)
    world.reset()
    for name in names:
        world.start(name)
        use_tenants(world, name, busy)
    acquaint(world)
    return world


def acquaint(world: CountingWorld) -> None:
    """All know one another, all news of it is told, and exchanges have come to their usual pace.

    From a common start that takes minutes where there are hundreds: each tells of each some twelve
    times, six pieces in a datagram.
    """
    everybody = [host.instance.members for host in world.hosts.values() if host.instance]
    for members in everybody:
        now = members._now
        for other in everybody:
            if other is not members:
                members.apply_update(now, other.own, other.own.name)
        members._send_counts.clear()
        members.events.clear()
        members._syncs = 10
        members._next_sync = now + int(world.rng.random() * SYNC_INTERVAL_NS)


def use_tenants(world: CountingWorld, name: str, busy: Iterable[str]) -> None:
    """These tenants' callers ask for a little at an instance."""
    for tenant in busy:
        world.hosts[name].needs |= {rate_key(tenant): 10_000, open_key(tenant): 2}


def knows_all(world: CountingWorld, but: Iterable[str] = ()) -> bool:
    """Whether every instance that is up takes all of those that are up for members."""
    up = {name for name, host in world.hosts.items() if host.instance is not None} - set(but)
    return all(
        up <= set(host.instance.members.live())
        for name, host in world.hosts.items()
        if host.instance is not None and name in up
    )


def lost_by(world: CountingWorld, dead: Iterable[str]) -> set[str]:
    """Instances that take all of these for lost."""
    found = set()
    gone = list(dead)
    for name, host in world.hosts.items():
        if host.instance is None:
            continue
        rows = host.instance.members.rows
        if all(name not in rows or rows[name].state >= State.LOST for name in gone):
            found.add(name)
    return found


def member_update(number: int, zone: str = "zone-0") -> MemberUpdate:
    """A record of one member of a large fleet."""
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7946"
    life = Random(number).randbytes(16)
    return MemberUpdate(
        f"instance-{number:05}", address, life, 1_796_000_000_000, 0, 0, False, "1", zone
    )


def instance_that_knows(count: int) -> Instance:
    """One instance that has heard of all others of a fleet of so many."""
    own = member_update(0)
    made = Instance(
        own.name,
        own.address,
        [own.address],
        GrantTerms(),
        Random(1),
        own.life,
        own.born,
        0,
        own.zone,
    )
    for number in range(1, count):
        made.members.apply_update(0, member_update(number), own.name)
    return made


def seal_of(number: int) -> Seal:
    """The seal of one member, all under one key."""
    return Seal(
        [bytes(range(32))], fleet_binding("scale", ["10.0.0.1:7946"]), member_update(number).life
    )


def claim_of(seq: int, tenants: Iterable[str], applied: int) -> Claim:
    """A claim of a rate and open requests for each tenant, all from one home."""
    wants = []
    for tenant in tenants:
        wants += [
            ClaimEntry(rate_key(tenant), 10_000, applied),
            ClaimEntry(open_key(tenant), 2, applied),
        ]
    return Claim(seq, wants, [], 0)
