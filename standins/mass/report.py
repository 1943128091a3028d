"""Where a day's worth went: fates, by five seconds, by a node's share of the traffic."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from standins.mass.clock import MS, SECOND
from standins.mass.fleet import Fleet


def quantile(values: list[int], part: float) -> float:
    """In milliseconds; 0 where there is none."""
    if not values:
        return 0.0
    return sorted(values)[min(int(part * len(values)), len(values) - 1)] / MS


def summary(fleet: Fleet) -> dict[str, Any]:
    """All figures of a day, of JSON's types; the same day by the same seed gives the same."""
    day = fleet.day
    chains = max(fleet.chains, 1)
    span = fleet.clock.now - fleet.began
    power = sum(s.build.cores for s in fleet.servers) * max(span, 1)
    return {
        "kind": day.kind,
        "seed": day.seed,
        "nodes": len(day.node_zones),
        "servers": len(day.servers),
        "zones": day.zones,
        "asked": fleet.chains,
        "per_node_s": round(day.rate / len(day.node_zones), 2),
        "load": round(offered_load(fleet), 3),
        "served": round(fleet.earned / max(fleet.offered, 1e-9), 4),
        "by_class": {
            t.spec.name: round(got / max(asked, 1e-9), 4)
            for t, (asked, got) in zip(day.traffic, fleet.class_worth, strict=True)
        },
        "fates": {k: round(v / chains, 4) for k, v in sorted(fleet.fates.items())},
        "worth": {
            k: round(v / max(fleet.offered, 1e-9), 4) for k, v in sorted(fleet.fates_worth.items())
        },
        "p50_ms": round(quantile(fleet.latencies, 0.5), 1),
        "p99_ms": round(quantile(fleet.latencies, 0.99), 1),
        "attempts": round(fleet.attempts / chains, 3),
        "crossing": round(fleet.crossing / chains, 3),
        "handshakes": round(fleet.handshakes / chains, 3),
        "turned_away": fleet.fulls,
        "no_connection": fleet.no_connection,
        "to_leaving": fleet.to_leaving,
        "timeouts": fleet.timeouts,
        "open_mean": round(sum(s.open for s in fleet.servers) / len(fleet.servers), 2),
        "busy": round(sum(s.busy_ns for s in fleet.servers) / power, 3),
        "fallen": sum(s.fallen for s in fleet.servers),
        "pushed_most": round(max((s.pushed_most for s in fleet.servers), default=0.0), 3),
        "left": fleet.left,
        "left_waiting": fleet.left_waiting,
        "late_begins": fleet.late_begins,
        "told_most_s": round(fleet.told_most / SECOND, 2),
        "list_calls": fleet.registry.calls,
        "list_failed": fleet.registry.failed,
        "broken": dict(sorted(fleet.broken.items())),
        "nodes_by_traffic": by_traffic(fleet),
        "windows": windows(fleet),
        "logs": logs(fleet),
    }


def offered_load(fleet: Fleet) -> float:
    day = fleet.day
    mean = sum(t.share * t.work for t in day.traffic) / SECOND
    return day.rate * mean / day.capacity()


def by_traffic(fleet: Fleet, parts: int = 4) -> list[dict[str, float]]:
    """Nodes in order of their traffic, in so many groups: requests each, part refused."""
    hosts = sorted(fleet.hosts, key=lambda h: (h.asked, h.number))
    rows = []
    for i in range(parts):
        group = hosts[i * len(hosts) // parts : (i + 1) * len(hosts) // parts]
        asked = sum(h.asked for h in group)
        if group:
            rows.append(
                {
                    "a_second": round(asked / len(group) / fleet.day.seconds, 2),
                    "refused": round(sum(h.refused for h in group) / max(asked, 1), 4),
                    "attempts": round(sum(h.sent for h in group) / max(asked, 1), 3),
                }
            )
    return rows


def windows(fleet: Fleet) -> list[dict[str, Any]]:
    rows = []
    for i, w in enumerate(fleet.window):
        asked = max(w["asked"], 1)
        refused = sum(v for k, v in w.items() if k.startswith("refused") and "worth" not in k)
        late = w["late"] + w["late by queue"] + w["late by server"]
        rows.append(
            {
                "from_s": 5 * i,
                "asked": w["asked"],
                "in_time": round(w["in time"] / asked, 4),
                "refused": round(refused / asked, 4),
                "late": round(late / asked, 4),
                "worth": round(w["in time worth"] / max(w["asked worth"], 1e-9), 4),
            }
        )
    return rows


def logs(fleet: Fleet) -> dict[str, int]:
    total: dict[str, int] = {}
    for host in fleet.hosts:
        for text, n in host.logs.items():
            total[text] = total.get(text, 0) + n
    return dict(sorted(total.items()))


def digest(figures: dict[str, Any]) -> str:
    """Of all figures, so that two plays can be compared at a glance."""
    return hashlib.sha256(json.dumps(figures, sort_keys=True).encode()).hexdigest()[:16]


def text(figures: dict[str, Any]) -> str:
    """The report as a person reads it."""
    f = figures
    lines = [
        f"{f['kind']} seed {f['seed']}: {f['nodes']} nodes, {f['servers']} servers, "
        f"{f['zones']} zones, {f['per_node_s']} requests a second and node, load {f['load']}",
        f"served {f['served']:.3f} of the worth ("
        + ", ".join(f"{k} {v:.3f}" for k, v in f["by_class"].items())
        + f"), p50 {f['p50_ms']} ms, p99 {f['p99_ms']} ms, busy {f['busy']}",
        f"attempts {f['attempts']} a wish, {f['turned_away']} turned away, {f['timeouts']} timed "
        f"out, {f['handshakes']} handshakes, {f['no_connection']} without a connection, "
        f"{f['open_mean']} open at the end, crossing {f['crossing']}",
        f"cold servers got {f['pushed_most']} of what they bear at the most; the slowest news took "
        f"{f['told_most_s']} s",
        f"list: {f['list_calls']} calls, {f['list_failed']} failed; tried at leaving ones "
        f"{f['to_leaving']}; fallen {f['fallen']}; rules broken: {f['broken'] or 'none'}",
        "",
        f"{'where the worth went':34}{'of wishes':>10}{'of worth':>10}",
    ]
    for name, part in sorted(f["worth"].items(), key=lambda kv: -kv[1]):
        lines.append(f"{name:34}{f['fates'][name]:10.3f}{part:10.3f}")
    lines += ["", f"{'nodes by traffic':20}{'a second':>10}{'refused':>10}{'attempts':>10}"]
    for i, row in enumerate(f["nodes_by_traffic"]):
        lines.append(
            f"{'quarter ' + str(i + 1):20}{row['a_second']:10.2f}{row['refused']:10.3f}"
            f"{row['attempts']:10.3f}"
        )
    lines += ["", f"{'from':>5}{'asked':>8}{'in time':>9}{'refused':>9}{'late':>8}{'worth':>8}"]
    for w in f["windows"]:
        lines.append(
            f"{w['from_s']:5}{w['asked']:8}{w['in_time']:9.3f}{w['refused']:9.3f}"
            f"{w['late']:8.3f}{w['worth']:8.3f}"
        )
    if f["logs"]:
        lines += ["", *(f"{n:6} {line}" for line, n in f["logs"].items())]
    return "\n".join(lines)
