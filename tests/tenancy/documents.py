"""Tenants' documents for tests, sound and not."""

from __future__ import annotations

from random import Random
from typing import Any


def document(name: str = "cork", **over: Any) -> dict[str, Any]:
    made: dict[str, Any] = {
        "name": name,
        "callers": {"hosts": [f"{name}.example.org"]},
        "classes": [
            {"name": "balance", "aim_ms": 500, "deadline_ms": 2000, "repeat": "safe"},
            {"name": "credit", "aim_ms": 700, "deadline_ms": 3000, "repeat": "never", "worth": 5.0},
        ],
        "servers": [
            {"name": "s-0", "address": "127.0.0.1:9001", "zone": "dublin"},
            {"name": "s-1", "address": "127.0.0.1:9002", "zone": "cork"},
        ],
        "limits": {"rate_per_s": 500.0, "burst": 100},
    }
    return made | over


ODD: tuple[Any, ...] = (
    None, True, 0, -1, 1.5, 1e9, "", "x" * 300, "Ä", "a b", [], {}, [1], {"x": 1}, "127.0.0.1:0",
    "999.1.1.1:80", "1.2.3.4:99999", "a..b", "draining", "keyed", 10**30, float(10**20),
)  # fmt: skip


def spoilt(rng: Random, value: Any, part: float = 0.08) -> Any:
    """A document with some of its values replaced, dropped, doubled or added."""
    if rng.random() < part / 3:
        return rng.choice(ODD)
    if isinstance(value, dict):
        made = {k: spoilt(rng, v, part) for k, v in value.items() if rng.random() > part / 3}
        if rng.random() < part:
            made[rng.choice(("extra", "name", "repeat_window_ms", "state", "limits"))] = rng.choice(
                ODD
            )
        return made
    if isinstance(value, list):
        rows = [spoilt(rng, v, part) for v in value]
        if rows and rng.random() < part:
            rows.append(rng.choice(rows))
        return rows
    return rng.choice(ODD) if rng.random() < part else value
