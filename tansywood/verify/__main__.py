"""`python -m tansywood.verify [SIZE ...]`: checks the shipped leases in every order of events.

Prints the number of states of each size and compares it with the expected number, because a search
that visits fewer states misses some. Exits with 1 if a rule is violated or a number differs.
"""

from __future__ import annotations

import argparse
import sys

from tansywood.verify.explore import random_walk, search
from tansywood.verify.leases import LeaseModel
from tansywood.verify.world import Bounds

# Each size has three voters: what it covers, its bounds, and its number of states.
SIZES: dict[str, tuple[str, Bounds, int]] = {
    "elections": (
        "two candidates in one term, one voter crashes and starts again",
        Bounds(
            has_leader=False,
            has_holder=False,
            max_term=1,
            requests=(0, 0),
            elections=2,
            crashes=1,
            time_steps=0,
        ),
        1_970,
    ),
    "renewal": (
        "A holds and renews, B asks, a second leader is elected meanwhile",
        Bounds(requests=(1, 1), elections=1, crashes=0, time_steps=0),
        12_882,
    ),
    "crash": (
        "A holds, B asks, a voter crashes and starts again, A's lease runs out",
        Bounds(requests=(0, 1), elections=0, crashes=1, time_steps=1),
        7_065,
    ),
    "stale": (
        "A holds, two lead without knowing of one another, A renews, B asks, A's lease runs out",
        Bounds(
            has_second_leader=True,
            requests=(1, 1),
            allowed_pairs=(("A", "v1"), ("B", "v3")),
            elections=0,
            crashes=0,
            time_steps=1,
        ),
        9_452,
    ),
    "expiry": (
        "A holds, B asks, a second leader is elected, A's lease runs out: a minute",
        Bounds(requests=(0, 1), elections=1, crashes=0, time_steps=1),
        162_083,
    ),
}
LARGE = Bounds(max_term=4, requests=(3, 3), elections=3, crashes=3, time_steps=5, heartbeats=3)


def main() -> int:
    parser = argparse.ArgumentParser(prog="tansywood.verify", description=__doc__)
    parser.add_argument("sizes", nargs="*", choices=[*SIZES, []], metavar="SIZE", help="all")
    parser.add_argument("--walks", type=int, default=200, help="random runs of a larger size")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    failure_count = 0

    def progress(states: int, depth: int) -> None:
        if sys.stderr.isatty():
            print(f"\r{states:,} states, {depth} deep ", end="", file=sys.stderr, flush=True)

    for name in args.sizes or SIZES:
        text, bounds, expected_states = SIZES[name]
        result = search(LeaseModel(bounds), progress=progress)
        if sys.stderr.isatty():
            print("\r", end="", file=sys.stderr)
        print(f"{name}: {text}\n  {result}", flush=True)
        if result.broken or result.states != expected_states:
            failure_count += 1
            print(f"  expected {expected_states:,} states and nothing broken")
    walk_result = random_walk(LeaseModel(LARGE), args.seed, args.walks, 120)
    print(f"random walks of a larger size, seed {args.seed}:\n  {walk_result}")
    return 1 if failure_count or walk_result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
