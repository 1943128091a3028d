"""`python -m tansywood.verify [SIZE ...]`: the shipped leases through every order of events.

Prints the number of states of each size and holds it against the one that is known for it: a search
that has become smaller has missed something. 1 where a rule broke or a number is another.
"""

from __future__ import annotations

import argparse
import sys

from tansywood.verify.explore import random_walk, search
from tansywood.verify.leases import LeaseModel
from tansywood.verify.world import Bounds

# Three voters each. What a size is for, and its number of states.
SIZES: dict[str, tuple[str, Bounds, int]] = {
    "elections": (
        "two candidates in one term, one voter crashes and starts again",
        Bounds(led=False, held=False, term=1, asks=(0, 0), elections=2, crashes=1, times=0),
        1_970,
    ),
    "renewal": (
        "A holds and renews, B asks, a second leader is elected meanwhile",
        Bounds(asks=(1, 1), elections=1, crashes=0, times=0),
        12_882,
    ),
    "crash": (
        "A holds, B asks, a voter crashes and starts again, A's lease runs out",
        Bounds(asks=(0, 1), elections=0, crashes=1, times=1),
        7_065,
    ),
    "stale": (
        "A holds, two lead without knowing of one another, A renews, B asks, A's lease runs out",
        Bounds(
            second=True,
            asks=(1, 1),
            pairs=(("A", "v1"), ("B", "v3")),
            elections=0,
            crashes=0,
            times=1,
        ),
        9_452,
    ),
    "expiry": (
        "A holds, B asks, a second leader is elected, A's lease runs out: a minute",
        Bounds(asks=(0, 1), elections=1, crashes=0, times=1),
        162_083,
    ),
}
LARGE = Bounds(term=4, asks=(3, 3), elections=3, crashes=3, times=5, beats=3)


def main() -> int:
    parser = argparse.ArgumentParser(prog="tansywood.verify", description=__doc__)
    parser.add_argument("sizes", nargs="*", choices=[*SIZES, []], metavar="SIZE", help="all")
    parser.add_argument("--walks", type=int, default=200, help="random runs of a larger size")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    wrong = 0

    def progress(states: int, depth: int) -> None:
        if sys.stderr.isatty():
            print(f"\r{states:,} states, {depth} deep ", end="", file=sys.stderr, flush=True)

    for name in args.sizes or SIZES:
        text, bounds, known = SIZES[name]
        found = search(LeaseModel(bounds), progress=progress)
        if sys.stderr.isatty():
            print("\r", end="", file=sys.stderr)
        print(f"{name}: {text}\n  {found}", flush=True)
        if found.broken or found.states != known:
            wrong += 1
            print(f"  expected {known:,} states and nothing broken")
    walked = random_walk(LeaseModel(LARGE), args.seed, args.walks, 120)
    print(f"random walks of a larger size, seed {args.seed}:\n  {walked}")
    return 1 if wrong or walked.broken else 0


if __name__ == "__main__":
    sys.exit(main())
