"""Make the tables of docs/CAPACITY.md from the results of a run.

    python -m benchmarks.scale.page           rewrite the tables
    python -m benchmarks.scale.page --check   compare; exit code 1 where they differ

A table stands between `<!-- table NAME -->` and `<!-- end -->`; what is between is replaced.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from benchmarks.scale import model
from benchmarks.scale.fit import Fit, Form
from benchmarks.scale.model import Estimate, Event, Finding, Resource, Role, Run, load

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "CAPACITY.md"
BLOCK = re.compile(r"(<!-- table ([a-z]+) -->\n).*?(<!-- end -->)", re.DOTALL)
UNITS = {Resource.CPU: "%", Resource.TRAFFIC: "B/s", Resource.MESSAGES: "/s", Resource.BYTES: "B",
         Resource.CPU_TIME: "ms CPU"}  # fmt: skip
STEPS = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))
SCALED = (Resource.MEMORY, Resource.TRAFFIC, Resource.BYTES)


def number(value: float) -> str:
    """Three significant digits, thousands set apart."""
    if value != value:
        return "none"
    if value and abs(value) < 0.001:
        return f"{value:.1e}"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def amount(value: float, resource: Resource) -> str:
    """A value with its unit: bytes by thousands, all else as it is."""
    unit = "B" if resource is Resource.MEMORY else UNITS.get(resource, str(resource))
    if resource in SCALED:
        for step, letter in STEPS:
            if abs(value) >= step:
                return f"{number(value / step)} {letter}{unit}"
    return f"{number(value)} {unit}"


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table of Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)


def law(fit: Fit, over: str) -> str:
    """How a cost grows, in words and numbers."""
    if fit.form is Form.POWER:
        return f"{number(fit.first)} x {over}^{fit.second:.2f}"
    if fit.form is Form.LOGARITHM:
        return f"{number(fit.first)} + {number(fit.second)} x ln({over})"
    return f"{number(fit.first)} + {number(fit.second)} x {over}"


def growth(fit: Fit, largest: float) -> str:
    """In what a cost grows."""
    if fit.form is Form.POWER:
        return f"as the power {fit.second:.2f}"
    if fit.second < 0:
        return "not: it shrank; the largest measured stands"
    if fit.form is Form.LOGARITHM:
        return "as the logarithm, by its formula"
    moved = abs(fit.second) * largest
    if moved < 0.1 * abs(fit.first):
        return "hardly at all"
    return "in proportion" if abs(fit.first) < 0.25 * moved else "by a line with a fixed part"


def verdict(fits: bool | None) -> str:
    """One word."""
    return {True: "fits", False: "**missing**", None: "no budget"}[fits]


def expected(_run: Run) -> str:
    """The size expected and what follows from it."""
    rows: list[tuple[str, float, str]] = [
        ("nodes (instances of the hosted service)", model.NODES, "letter"),
        ("backends; services", model.BACKENDS, f"letter; {model.SERVICES:,} services"),
        ("routes", model.ROUTES, "letter"),
        ("tenants", model.TENANTS, "letter"),
        ("requests a second at the peak", model.REQUESTS_PER_SECOND, "letter"),
        ("added to a request for 99 in 100, ms", model.ADDED_MILLISECONDS, "letter"),
        ("regions; zones", model.REGIONS, f"letter; {model.ZONES} zones"),
        ("changes of configuration a day", model.CHANGES_PER_DAY,
         f"letter; one in {number(model.SECONDS_PER_CHANGE)} s"),
        ("in force everywhere within, s", model.IN_FORCE_SECONDS, "letter"),
        ("a node's control: % of a core", model.CPU_PERCENT, "letter"),
        ("a node's control: memory, MB", model.MEMORY_BYTES / 1e6, "letter"),
        ("a node's control: sent, KB a second", model.TRAFFIC_BYTES / 1e3, "letter"),
        ("machines set aside for control", model.CONTROL_MACHINES, "letter"),
        ("failures a day", model.FAILURES_PER_DAY,
         f"letter; one in {number(model.SECONDS_PER_FAILURE)} s"),
        ("restarts or replacements a day", model.RESTARTS_PER_DAY,
         f"letter; one in {number(model.SECONDS_PER_RESTART)} s"),
        ("nodes that serve one tenant", model.NODES_PER_TENANT, "assumed"),
        ("distinct tenants at one node", model.TENANTS_PER_NODE,
         f"{model.TENANTS:,} x {model.NODES_PER_TENANT} / {model.NODES:,}"),
        ("routes at one node", model.ROUTES_PER_NODE, "the same way"),
        ("backends of one service", model.BACKENDS_PER_SERVICE, "backends / services"),
        ("backends behind one node", model.BACKENDS_PER_NODE,
         "its routes x backends of a service; no two routes to one service: the most"),
        ("requests a second at a node, mean", model.MEAN_REQUESTS, "peak / nodes"),
        ("requests a second at the busiest node", model.PEAK_REQUESTS,
         f"assumed: {model.SKEW} times the mean"),
        ("nodes of a rack", model.NODES_PER_RACK, "assumed"),
        ("nodes of a zone", model.NODES_PER_ZONE, "nodes / zones"),
        ("nodes of a region", model.NODES_PER_REGION, "nodes / regions"),
        ("keys of a tenant", model.KEYS_PER_TENANT, "assumed"),
        ("leases", model.LEASES, "assumed: as in the roadmap's measurement"),
    ]  # fmt: skip
    return table(("what", "figure", "from"), [(a, number(b), c) for a, b, c in rows])


def conditions(run: Run) -> str:
    """When and on what the run was made."""
    machine = run.machine
    rows = [
        ("date", run.date),
        ("kind", "quick" if run.quick else "full"),
        ("seconds", number(run.seconds)),
        ("machine", f"{machine.cores} cores, {machine.memory_gigabytes} GiB"),
        ("Python", machine.python),
    ]
    for role in run.roles:
        first, last = role.load_average
        text = f"{role.seconds:.0f} s, load average {first} at the begin and {last} at the end"
        rows.append((role.name, text))
    return table(("of the run", ""), rows)


def cost_row(role: Role, found: Finding) -> list[str]:
    """One extrapolated cost beside its fit."""
    s = found.series
    limit = "" if s.limit is None else amount(s.limit, s.resource)
    return [
        role.name, f"{s.what}", f"{number(s.expected)} {s.over}", amount(found.full, s.resource),
        limit, verdict(found.fits), law(found.fit, s.over), growth(found.fit, found.largest),
        f"{100 * found.fit.residual:.0f} %", number(found.largest), str(s.source),
    ]  # fmt: skip


def costs(run: Run) -> str:
    """Every extrapolated figure."""
    heads = (
        "role", "cost", "at", "full size", "budget", "verdict", "fit", "grows", "residual",
        "largest measured", "source",
    )  # fmt: skip
    return table(heads, [cost_row(role, f) for role in run.roles for f in role.findings])


def worst(role: Role, resource: Resource) -> str:
    """The largest figure of a kind that the role comes to at any one node."""
    rows = [(f.full, f.series.what) for f in role.findings if f.series.resource is resource]
    rows += [(e.value, f"{e.what}, estimate") for e in role.estimates if e.resource is resource]
    if not rows:
        return "not counted apart"
    value, what = max(rows)
    return f"{amount(value, resource)} ({what})"


def roles(run: Run) -> str:
    """Each role at the full size, as carried today."""
    kinds = (Resource.MESSAGES, Resource.TRAFFIC, Resource.CPU, Resource.MEMORY)
    heads = ("role", "state", "messages", "bytes sent", "processor time", "memory", "")
    limits = [amount(model.BUDGETS[k], k) if k in model.BUDGETS else "none" for k in kinds]
    rows = [["budget of a node, all roles together", "", *limits, ""]]
    for role in run.roles:
        rows.append([role.name, role.state, *(worst(role, k) for k in kinds), overall(role)])
    return table(heads, rows)


def overall(role: Role) -> str:
    """Whether all costs of a role fit."""
    judged = [f.fits for f in role.findings] + [_fits(e) for e in role.estimates]
    if False in judged or role.gaps:
        return verdict(False)
    return verdict(True if True in judged else None)


def points(run: Run) -> str:
    """Every measured value."""
    rows = []
    for role in run.roles:
        for found in role.findings:
            s = found.series
            sizes = ", ".join(number(p.size) for p in s.points)
            values = ", ".join(amount(p.value, s.resource) for p in s.points)
            rows.append((role.name, s.what, s.over, sizes, values, s.note))
    return table(("role", "cost", "by", "sizes", "measured", "note"), rows)


def mechanisms(run: Run) -> str:
    """What carries each role, today and at the full size."""
    rows = []
    for role in run.roles:
        rows.append((role.name, role.question, role.mechanism, overall(role), role.carried_by))
    return table(("role", "question", "carried today by", "", "at the full size by"), rows)


def _fits(estimate: Estimate) -> bool | None:
    return None if estimate.limit is None else estimate.value <= estimate.limit


def effects(run: Run) -> str:
    """What events do to each role."""
    rows = []
    for event in Event:
        for role in run.roles:
            for e in role.effects:
                if e.event is event:
                    value = "" if e.value is None else f"{number(e.value)} {e.unit}".strip()
                    rows.append((str(event), role.name, e.what, value))
    return table(("event", "role", "what it does", "figure"), rows)


def figures(run: Run) -> str:
    """Figures that stand by themselves."""
    rows = [
        (role.name, f.what, f"{number(f.value)} {f.unit}".strip(), f.source)
        for role in run.roles
        for f in role.figures
    ]
    return table(("role", "what", "figure", "source"), rows)


def estimates(run: Run) -> str:
    """What was not measured, and why."""
    rows = [
        (role.name, e.what, amount(e.value, e.resource), verdict(_fits(e)), e.reason)
        for role in run.roles
        for e in role.estimates
    ]
    return table(("role", "estimate", "value", "verdict", "why it was not measured"), rows)


def gaps(run: Run) -> str:
    """What binds, the smallest fleet first."""
    rows: list[tuple[int, str, str, str, str]] = []
    for role in run.roles:
        for f in role.findings:
            if f.breaks_at_nodes is not None and f.series.limit is not None:
                text = f"{f.series.what}: {amount(f.full, f.series.resource)} at the full size"
                of = amount(f.series.limit, f.series.resource)
                rows.append((f.breaks_at_nodes, role.name, text, of, role.carried_by))
        for e in role.estimates:
            if e.breaks_at_nodes is not None and e.limit is not None:
                text = f"{e.what}: {amount(e.value, e.resource)} (estimate)"
                of = amount(e.limit, e.resource)
                rows.append((e.breaks_at_nodes, role.name, text, of, role.carried_by))
        rows += [(g.breaks_at_nodes, role.name, g.what, "", g.carried_by) for g in role.gaps]
    rows.sort(key=lambda row: row[:2])
    heads = ("", "smallest fleet, nodes", "role", "what binds", "budget", "what will carry it")
    told: set[str] = set()
    lines = []
    for place, (nodes, role_name, text, of, carried_by) in enumerate(rows, 1):
        by = f"as above for {role_name}" if carried_by in told else carried_by
        told.add(carried_by)
        lines.append((str(place), f"{nodes:,}", role_name, text, of, by))
    return table(heads, lines)


TABLES: dict[str, Callable[[Run], str]] = {
    "expected": expected,
    "conditions": conditions,
    "costs": costs,
    "roles": roles,
    "mechanisms": mechanisms,
    "effects": effects,
    "figures": figures,
    "estimates": estimates,
    "gaps": gaps,
    "points": points,
}


class PageError(ValueError):
    """The page names a table that there is none of, or leaves one out."""


def render(text: str, run: Run) -> str:
    """The page's text with every table made anew; PageError where one is missing."""
    named = [match.group(2) for match in BLOCK.finditer(text)]
    if sorted(named) != sorted(TABLES):
        raise PageError(f"the page has the tables {sorted(named)}, not {sorted(TABLES)}")
    return BLOCK.sub(lambda m: m.group(1) + TABLES[m.group(2)](run) + m.group(3), text)


def main() -> int:
    """Rewrite the page, or compare it."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.page", description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing; 1 where they differ")
    parser.add_argument("--results", type=Path, default=model.RESULTS)
    options = parser.parse_args()
    text = PAGE.read_text()
    made = render(text, load(options.results))
    if options.check:
        if made != text:
            print("docs/CAPACITY.md differs from the results: run it without --check")
        return int(made != text)
    PAGE.write_text(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
