"""Play a day of many nodes: `python -m standins.mass KIND [--seed N] [--nodes N] ...`."""

from __future__ import annotations

import argparse
import json
import resource
import sys
import time

from standins.mass.clock import SECOND
from standins.mass.day import KINDS, WORK, draw
from standins.mass.fleet import Fleet, Maker, module
from standins.mass.policies import blind, seeing
from standins.mass.report import digest, summary, text

MAKERS: dict[str, Maker] = {"module": module, "blind": blind, "seeing": seeing}


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.mass", description=__doc__)
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--servers", type=int, help="about as many as nodes where left out")
    parser.add_argument("--seconds", type=float, default=25.0, help="of the day; 25")
    parser.add_argument("--load", type=float, help="part of what all servers can do; drawn")
    parser.add_argument(
        "--scale", type=float, default=WORK, help="of the brief's work; %(default)s"
    )
    parser.add_argument("--idle", type=float, default=58.0, help="seconds a connection rests")
    parser.add_argument("--policy", choices=sorted(MAKERS), default="module")
    parser.add_argument("--json", action="store_true", help="all figures, for programs")
    args = parser.parse_args(argv)
    try:
        day = draw(
            args.kind, args.seed, args.nodes, args.servers, args.seconds, args.load, args.scale
        )
    except ValueError as err:
        parser.error(str(err))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = Fleet(day, MAKERS[args.policy], int(args.idle * SECOND))
    began = time.monotonic()
    shown = sys.stderr.isatty()

    def progress(seconds: float) -> None:
        if shown:
            print(f"\r{seconds:4.0f} of {args.seconds + 4:.0f} s", end="", file=sys.stderr)

    fleet.run(progress)
    if shown:
        print(file=sys.stderr)
    figures = summary(fleet)
    if args.json:
        # Of this machine and this run, so not part of the figures that a seed gives.
        used = resource.getrusage(resource.RUSAGE_SELF)
        cost = {
            "cpu_us_a_wish": round(used.ru_utime / max(fleet.chains, 1) * 1e6, 1),
            "kb_a_node": round((used.ru_maxrss - before) / len(fleet.hosts), 1),
        }
        print(json.dumps(figures | cost, sort_keys=True))
    else:
        print(text(figures))
        took = time.monotonic() - began
        print(f"\n{fleet.events_run} events in {took:.1f} s, figures {digest(figures)}")
    return 1 if figures["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
