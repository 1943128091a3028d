"""A day for people: a line a second, a table, a verdict."""

from __future__ import annotations

from collections import Counter

from standins.fleet.rig import Outcome
from standins.ledger import End

COLUMNS = (End.SERVED, End.REFUSED, End.FAILED, End.BROKE, End.SILENT)


def timeline(made: Outcome) -> str:
    """Each second what every instance served, and what happened in it."""
    names = list(made.day.instances)
    by_second = made.meter.by_second(made.began, names)
    lines = [f"{'s':>3} " + "".join(f"{n:>14}" for n in names) + "   served/refused, what happened"]
    for second in range(int(made.day.seconds) + 1):
        row = by_second.get(second, {})
        cells = ""
        for name in names:
            got = row.get(name, Counter())
            cells += f"{f'{got.get(End.SERVED, 0)}/{got.get(End.REFUSED, 0)}':>14}"
        told = [text for at, text in made.happened if int(at) == second]
        lines.append(f"{second:>3} {cells}   {'; '.join(told)}".rstrip())
    return "\n".join(lines)


def table(made: Outcome) -> str:
    heads = "".join(f"{c.value:>9}" for c in COLUMNS)
    lines = [f"{'':>8}{heads}{'part/s':>9}"]
    for name, ends in made.ends.items():
        cells = "".join(f"{ends.get(c, 0):>9}" for c in COLUMNS)
        lines.append(f"{name:>8}{cells}{made.parts.get(name, 0.0):>9.1f}")
    return "\n".join(lines)


def summary(made: Outcome) -> str:
    day = made.day
    taken = ", ".join(f"{name} {most}" for name, most in made.most.items())
    lines = [
        f"{day.name}: {made.worth:.0f} of a worth of {made.asked_worth:.0f} asked was served",
        f"limit {day.rate:g} a second and {day.burst}: worst stretch {made.excess:+.1f} requests",
        f"most at work at a server, of {day.places or 'any'} places: {taken}; over: {made.over}",
        f"credits run twice: {made.twice}; of the rate dealt in the end: {made.dealt:.2f}",
        f"datagrams: {made.datagrams}",
    ]
    lines += [f"BROKEN: {text}" for text in made.problems[:10]]
    lines.append("every promise kept" if not made.problems else f"{len(made.problems)} broken")
    return "\n".join(lines)
