"""`python -m standins.fleet DAY --seed N`: play a day with whole processes; 1 where it broke."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import replace

from standins.fleet import report
from standins.fleet.day import DayError, drawn, load
from standins.fleet.rig import play


def main() -> int:
    parser = argparse.ArgumentParser(prog="standins.fleet", description=__doc__)
    parser.add_argument("days", nargs="+", help="standard days, files, or `drawn` by the seed")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--alone", action="store_true", help="no fleet: what it is good for")
    parser.add_argument("--json", action="store_true", help="a line of figures for each day")
    options = parser.parse_args()
    broken = 0
    for name in options.days:
        try:
            day = drawn(options.seed) if name == "drawn" else load(name)
        except DayError as err:
            print(err, file=sys.stderr)
            return 2
        if options.alone:
            day = replace(day, fleet=False)
        made = play(day, options.seed, out=lambda line: print(line, file=sys.stderr, flush=True))
        if options.json:
            told = {
                "day": day.name,
                "seed": options.seed,
                "worth": made.worth,
                "asked": made.asked_worth,
                "excess": made.excess,
                "over": made.over,
                "twice": made.twice,
                "dealt": made.dealt,
                "problems": made.problems,
            }
            print(json.dumps(told))
        else:
            print("\n".join([report.timeline(made), "", report.table(made), report.summary(made)]))
        broken += bool(made.problems)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
