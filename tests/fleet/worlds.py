"""Small simulated fleets in simulated time, and the invariant that they must keep at every step."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from standins.fleet.simulated import World
from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import SECOND, GrantTerms

TENANT = "cork"
LIMITS = Limits(150_000, 40, 5, ("s-0", "s-1"), SECOND)
LIMIT_UNITS = {
    rate_key(TENANT): LIMITS.rate,
    open_key(TENANT): LIMITS.open,
    places_key(TENANT, "s-0"): LIMITS.places,
    places_key(TENANT, "s-1"): LIMITS.places,
}


class LimitExceededError(AssertionError):
    """More units of a limit are in use than the limit allows."""


def assert_conserved(world: World) -> None:
    """Raise LimitExceededError if more units of a limit are in use than there are."""
    for key, whole in LIMIT_UNITS.items():
        if world.in_use(key) > whole:
            raise LimitExceededError(
                f"{key}: {world.in_use(key)} of {whole} at {world.now / SECOND:.3f} s"
            )


def world(
    names: list[str],
    allocators: int = 3,
    seed: int = 1,
    clocks: Mapping[str, float] | None = None,
    terms: GrantTerms | None = None,
    watched: bool = True,
    hand_on: bool = False,
) -> World:
    made = World(names, allocators, {TENANT: LIMITS}, seed, terms, clocks, hand_on)
    if watched:
        made.watch = assert_conserved
    for name in names:
        made.start(name)
    return made


def set_demand(made: World, name: str, rate: int, units: int = 3) -> None:
    """Set the demand of an instance's callers: requests per second, and units of other limits."""
    made.hosts[name].needs = {
        key: rate * 1000 if key.endswith("/rate") else units for key in LIMIT_UNITS
    }


def run_random_history(made: World, seed: int, steps: int = 14) -> None:
    """Apply random pauses, kills, restarts, partitions and network conditions, each for a random
    time."""
    rng = Random(seed)
    names = list(made.hosts)
    for _ in range(steps):
        name = rng.choice(names)
        host = made.hosts[name]
        fault = rng.randrange(8)
        if fault == 0 and host.instance is not None and not host.paused:
            made.pause(name)
        elif fault == 1 and host.instance is not None:
            made.kill(name)
        elif fault == 2:
            made.split(rng.sample(names, rng.randint(1, len(names) - 1)), rng.random() < 0.6)
        elif fault == 3:
            made.heal()
        elif fault == 4:
            made.conditions.loss = rng.choice((0.0, 0.1, 0.4))
            made.conditions.late = rng.choice((0.0, 0.1, 0.3))
            made.conditions.twice = rng.choice((0.0, 0.2))
        else:
            set_demand(made, name, rng.choice((0, 5, 80, 400)), rng.choice((0, 1, 4, 30)))
        for other in names:
            host = made.hosts[other]
            if host.paused and rng.random() < 0.4:
                made.go_on(other)
            elif host.instance is None and rng.random() < 0.5:
                made.start(other)
        if made.granted_by is not None and rng.random() < 0.5:
            running = [n for n in names if made.hosts[n].instance and not made.hosts[n].paused]
            made.hand(rng.randrange(len(made.first)), rng.choice(running or names))
        made.run(rng.choice((0.1, 0.4, 1.0, 2.5)))


def settle(made: World, seconds: float = 8.0) -> None:
    """End every fault and run for `seconds`."""
    made.heal()
    made.conditions.loss = made.conditions.late = made.conditions.twice = 0.0
    for name, host in made.hosts.items():
        if host.instance is None:
            made.start(name)
        elif host.paused:
            made.go_on(name)
    made.run(seconds)
