"""Small worlds of instances in simulated time, and what must hold in them at every moment."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

from standins.fleet.simulated import World
from tansywood.fleet.allocation import open_key, places_key, rate_key
from tansywood.fleet.share import Limits
from tansywood.fleet.terms import SECOND, GrantTerms

TENANT = "cork"
LIMITS = Limits(150_000, 40, 5, ("s-0", "s-1"), SECOND)
WHOLES = {
    rate_key(TENANT): LIMITS.rate,
    open_key(TENANT): LIMITS.open,
    places_key(TENANT, "s-0"): LIMITS.places,
    places_key(TENANT, "s-1"): LIMITS.places,
}


class Broken(AssertionError):
    """More in use than there is."""


def conserved(world: World) -> None:
    for key, whole in WHOLES.items():
        if world.in_use(key) > whole:
            raise Broken(f"{key}: {world.in_use(key)} of {whole} at {world.now / SECOND:.3f} s")


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
        made.watch = conserved
    for name in names:
        made.start(name)
    return made


def want(made: World, name: str, rate: int, units: int = 3) -> None:
    """What an instance's callers ask for: requests a second, and units of all else."""
    made.hosts[name].needs = {
        key: rate * 1000 if key.endswith("/rate") else units for key in WHOLES
    }


def history(made: World, seed: int, steps: int = 14) -> None:
    """Random stops, ends, returns, cuts and network conditions, each for a random while."""
    rng = Random(seed)
    names = list(made.hosts)
    for _ in range(steps):
        name = rng.choice(names)
        host = made.hosts[name]
        kind = rng.randrange(8)
        if kind == 0 and host.instance is not None and not host.paused:
            made.pause(name)
        elif kind == 1 and host.instance is not None:
            made.kill(name)
        elif kind == 2:
            made.split(rng.sample(names, rng.randint(1, len(names) - 1)), rng.random() < 0.6)
        elif kind == 3:
            made.heal()
        elif kind == 4:
            made.conditions.loss = rng.choice((0.0, 0.1, 0.4))
            made.conditions.late = rng.choice((0.0, 0.1, 0.3))
            made.conditions.twice = rng.choice((0.0, 0.2))
        else:
            want(made, name, rng.choice((0, 5, 80, 400)), rng.choice((0, 1, 4, 30)))
        for other in names:
            host = made.hosts[other]
            if host.paused and rng.random() < 0.4:
                made.go_on(other)
            elif host.instance is None and rng.random() < 0.5:
                made.start(other)
        if made.granted_by is not None and rng.random() < 0.5:
            here = [n for n in names if made.hosts[n].instance and not made.hosts[n].paused]
            made.hand(rng.randrange(len(made.first)), rng.choice(here or names))
        made.run(rng.choice((0.1, 0.4, 1.0, 2.5)))


def settle(made: World, seconds: float = 8.0) -> None:
    """Every fault ends, and so much time passes."""
    made.heal()
    made.conditions.loss = made.conditions.late = made.conditions.twice = 0.0
    for name, host in made.hosts.items():
        if host.instance is None:
            made.start(name)
        elif host.paused:
            made.go_on(name)
    made.run(seconds)
