"""Unusual settings: a node serves under them, or names the key that is wrong.

A file that can't be used ends a start with status 2 and one line that names the key and the value
that is wanted there. A running node keeps its settings (`test_retune`).
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flinthatch import Balancer, Settings, Update
from windrelay.config import ConfigError, load

from .fakes import RecordingHost, ready_listings
from .harness import (
    HANG_TIMEOUT_S,
    SETTINGS,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    request,
    roster,
    target,
)
from .test_retune import key_paths

BALANCE, CREDIT = SETTINGS["classes"]
SECOND = 1_000_000_000
TOKEN_CLASS = BALANCE | {
    "name": "renew",
    "effect": "token",
    "dedup_scope": "cell",
    "repeat_window": SECOND // 10,
    "late_worth": 0.0,
    "stream": False,
    "aim_stretch": 0.0,
}
FULL_SETTINGS = {
    "classes": [BALANCE, CREDIT, TOKEN_CLASS],
    "realms": [{"name": "acme", "portion": 0.5, "quota_per_s": 100.0}],
    "clients": {"marks_retry": False},
    "goal": {"worst_class": 0.1},
    "prices": {"cross_zone": 0.1},
    "weights": "off",
    "limits": SETTINGS["limits"] | {"open_cap": 100, "second_copies": True},
}
ABSENT = object()
VALUES = [0, -1, None, "x", "0", "", [], {}, 1e30, True, 0.5, float("nan"), float("inf"), ABSENT]


def run_balancer(settings: Settings, seed: int = 1) -> None:
    """Run a Balancer for a while, with every outcome, failed list calls and changing lists."""
    rng, host = Random(seed), RecordingHost()
    balancer = Balancer(settings, seed, host)
    balancer.start(0)
    balancer.on_backend_list(0, Update.CACHED, ready_listings(4))
    now = 0
    for step in range(120):
        now += rng.randrange(80_000_000)
        due = [c for c in host.calls if c[0] == "timer" and int(str(c[2])) <= now]
        host.calls = [c for c in host.calls if c not in due]
        for call in due:
            balancer.on_timer(now, int(str(call[1])))
        for part in range(2):
            left = rng.choice([10_000_000, 200_000_000, SECOND])
            balancer.on_request(now, 2 * step + part, rng.randrange(len(settings.classes)), left)
        for r in list(balancer.requests.values()):
            if r.attempts_in_flight and rng.random() < 0.5:
                outcome, took = rng.randrange(1, 9), rng.randrange(SECOND // 10)
                balancer.on_outcome(now, r.id, len(r.attempts) - 1, outcome, took, False)
        if step % 20 == 5:
            balancer.on_backend_list(now, Update.FAILED)
        if step % 20 == 15:
            listed = [
                r._replace(started_at=rng.choice([0, now]))
                for r in ready_listings(rng.randrange(5))
            ]
            balancer.on_backend_list(now, Update.FULL, listed)


def replace_value(raw: dict[str, Any], path: tuple[Any, ...], value: object) -> dict[str, Any]:
    new = copy.deepcopy(raw)
    inner: Any = new
    for key in path[:-1]:
        inner = inner[key]
    if value is ABSENT:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return new


def write_full_config(
    tmp_path: Path,
) -> tuple[dict[str, str], dict[str, Any], list[tuple[Any, ...]]]:
    environ = config(tmp_path, roster(), 1, settings=FULL_SETTINGS)
    raw = json.loads(Path(environ["PROXY_CONFIG"]).read_text())
    return environ, raw, [p for p in key_paths(raw) if p[0] != "known"]


def test_any_value_at_any_key_is_accepted_or_rejected_by_name(tmp_path: Path) -> None:
    environ, raw, paths = write_full_config(tmp_path)
    file = Path(environ["PROXY_CONFIG"])
    accepted = rejected = 0
    for path in paths:
        for value in VALUES:
            file.write_text(json.dumps(replace_value(raw, path, value)))
            try:
                settings = load(environ).settings
            except ConfigError as err:
                words = [key for key in path if isinstance(key, str)]
                assert words[-1] in str(err), (path, value, err)
                assert "wanted" in str(err) or "missing" in str(err) or "as in" in str(err)
                rejected += 1
            else:
                run_balancer(settings)
                accepted += 1
    assert accepted > 200 and rejected > 700, (accepted, rejected)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"classes": []}, "settings.classes is empty: at least one class is wanted"),
        ({"classes": [BALANCE, BALANCE]}, "settings.classes[1].name is 'balance', as in"),
        (
            {"classes": [BALANCE | {"effect": "keyed"}]},
            "settings.classes[0].effect is 'keyed': one of pure, token, side_effect is wanted",
        ),
        (
            {"limits": {"max_attempts": 0}},
            "settings.limits.max_attempts is 0: a number from 1 to 9.0072e+15 is wanted",
        ),
        ({"rules": {"ask_within": "10s"}}, "settings.rules.ask_within is '10s': a number is"),
        ({"areas": "east"}, "settings.areas is 'east': a list of words is wanted"),
    ],
)
def test_start_with_invalid_settings_names_the_key_and_the_remedy(
    tmp_path: Path, change: dict[str, Any], message: str
) -> None:
    process = launch(config(tmp_path, roster(), 1, settings=change))
    _, err = process.communicate(timeout=HANG_TIMEOUT_S)
    assert process.returncode == 2
    assert message in err and len(err.splitlines()) == 1


def unusual_deployments() -> Iterator[tuple[str, dict[str, Any]]]:
    """Names and settings of unusual deployments; the test requests the last class of each."""
    short = {"target": SECOND // 20, "deadline": SECOND // 10}
    yield "one class", {"classes": [BALANCE]}
    yield "thirty classes", {"classes": [BALANCE | {"name": f"c{i}"} for i in range(30)]}
    yield "one class without side effects", {"classes": [CREDIT | {"effect": "pure"}]}
    yield "token class with the scope of a cell", {"classes": [TOKEN_CLASS]}
    yield "retry window of 0", {"classes": [TOKEN_CLASS | {"repeat_window": 0}]}
    yield "deadline of 100 ms", {"classes": [BALANCE | short]}
    yield "tenants with shares", {"realms": FULL_SETTINGS["realms"], "classes": [BALANCE]}
    tenants = [{"name": "acme"}, {"name": "b", "portion": 0, "quota_per_s": 0}]
    yield "tenants without shares", {"realms": tenants, "classes": [BALANCE]}
    yield "no zones", {"areas": [], "my_zone": 0, "skus": [], "classes": [BALANCE]}
    yield "a zone that is not among the areas", {"areas": ["x"], "my_zone": 3, "classes": [BALANCE]}
    yield (
        "rules at zero",
        {
            "rules": dict.fromkeys(SETTINGS["rules"], 0),
            "classes": [BALANCE],
            "tick": 0,
        },
    )
    yield "rules missing", {"rules": {}, "classes": [BALANCE]}
    yield "limits missing", {"limits": {}, "classes": [BALANCE]}
    yield "lists pushed", {"registry_mode": "push", "classes": [BALANCE]}
    nulls = dict.fromkeys(("dedup_scope", "repeat_window", "late_worth", "aim_stretch", "stream"))
    yield (
        "absent values written as null",
        {
            "classes": [BALANCE | nulls],
            "weights": None,
            "realms": None,
            "clients": None,
            "goal": {"worst_class": None},
            "limits": SETTINGS["limits"] | {"cancelling": None, "open_cap": None},
        },
    )
    yield "zones that are numbers", {"areas": [1, 2], "classes": [BALANCE]}
    yield "connections that are never idle", {"limits": {"idle_close": 0}, "classes": [BALANCE]}


@pytest.mark.parametrize(
    ("name", "settings"), unusual_deployments(), ids=[n for n, _ in unusual_deployments()]
)
def test_unusual_deployment_is_served(tmp_path: Path, name: str, settings: dict[str, Any]) -> None:
    spec = settings["classes"][-1]
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings=settings) as running:
            safe = spec["effect"] == "pure"
            for _ in range(2):
                # The deadline runs by the node's clock, so a slow test process does not affect it.
                client = running.connect()
                client.send(request(f"/{spec['name']}/1", None if safe else b"x", timeout=60_000))
                if spec["deadline"] < SECOND:
                    assert client.message()[0].startswith("HTTP/1.1 50")  # no answer by then
                    continue
                peer = accept(backend)
                assert peer.message()[0].startswith(
                    f"{'GET' if safe else 'POST'} /{spec['name']}/1"
                )
                peer.send(answer(b"served", "200 OK", "Connection: close"))
                assert client.message()[2] == b"served", name
