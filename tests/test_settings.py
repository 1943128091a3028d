"""Settings that belong to another customer: each is served by them, or told what is wrong where.

A file that can't be used ends a start with status 2 and one line that names the key and what is
wanted there; a running node keeps the one in force (`test_retune`).
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
from .test_retune import paths

BALANCE, CREDIT = SETTINGS["classes"]
SECOND = 1_000_000_000
KEYED = BALANCE | {
    "name": "renew",
    "effect": "token",
    "dedup_scope": "cell",
    "repeat_window": SECOND // 10,
    "late_worth": 0.0,
    "stream": False,
    "aim_stretch": 0.0,
}
WHOLE = {
    "classes": [BALANCE, CREDIT, KEYED],
    "realms": [{"name": "acme", "portion": 0.5, "quota_per_s": 100.0}],
    "clients": {"marks_retry": False},
    "goal": {"worst_class": 0.1},
    "prices": {"cross_zone": 0.1},
    "weights": "off",
    "limits": SETTINGS["limits"] | {"open_cap": 100, "second_copies": True},
}
GONE = object()
VALUES = [0, -1, None, "x", "0", "", [], {}, 1e30, True, 0.5, float("nan"), float("inf"), GONE]


def play(settings: Settings, seed: int = 1) -> None:
    """A short life of the module, with every outcome, lists that fail and lists that change."""
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
                r._replace(boot=rng.choice([0, now])) for r in ready_listings(rng.randrange(5))
            ]
            balancer.on_backend_list(now, Update.FULL, listed)


def changed(raw: dict[str, Any], path: tuple[Any, ...], value: object) -> dict[str, Any]:
    new = copy.deepcopy(raw)
    inner: Any = new
    for key in path[:-1]:
        inner = inner[key]
    if value is GONE:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return new


def places(tmp_path: Path) -> tuple[dict[str, str], dict[str, Any], list[tuple[Any, ...]]]:
    environ = config(tmp_path, roster(), 1, settings=WHOLE)
    raw = json.loads(Path(environ["PROXY_CONFIG"]).read_text())
    return environ, raw, [p for p in paths(raw) if p[0] != "known"]


def test_any_value_anywhere_is_used_or_named_with_what_is_wanted(tmp_path: Path) -> None:
    environ, raw, every = places(tmp_path)
    file = Path(environ["PROXY_CONFIG"])
    used = named = 0
    for path in every:
        for value in VALUES:
            file.write_text(json.dumps(changed(raw, path, value)))
            try:
                settings = load(environ).settings
            except ConfigError as err:
                words = [key for key in path if isinstance(key, str)]
                assert words[-1] in str(err), (path, value, err)
                assert "wanted" in str(err) or "missing" in str(err) or "as in" in str(err)
                named += 1
            else:
                play(settings)
                used += 1
    assert used > 200 and named > 700, (used, named)


@pytest.mark.parametrize(
    ("change", "says"),
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
def test_a_start_that_cannot_be_says_where_and_what_to_do(
    tmp_path: Path, change: dict[str, Any], says: str
) -> None:
    process = launch(config(tmp_path, roster(), 1, settings=change))
    _, err = process.communicate(timeout=HANG_TIMEOUT_S)
    assert process.returncode == 2
    assert says in err and len(err.splitlines()) == 1


def others() -> Iterator[tuple[str, dict[str, Any]]]:
    """Deployments unlike ours; the last class is asked for."""
    short = {"target": SECOND // 20, "deadline": SECOND // 10}
    yield "one class", {"classes": [BALANCE]}
    yield "thirty classes", {"classes": [BALANCE | {"name": f"c{i}"} for i in range(30)]}
    yield "another effect", {"classes": [CREDIT | {"effect": "pure"}]}
    yield "keyed in a cell", {"classes": [KEYED]}
    yield "a window of nothing", {"classes": [KEYED | {"repeat_window": 0}]}
    yield "deadlines of 100 ms", {"classes": [BALANCE | short]}
    yield "tenants with shares", {"realms": WHOLE["realms"], "classes": [BALANCE]}
    tenants = [{"name": "acme"}, {"name": "b", "portion": 0, "quota_per_s": 0}]
    yield "tenants without shares", {"realms": tenants, "classes": [BALANCE]}
    yield "no zones", {"areas": [], "my_zone": 0, "skus": [], "classes": [BALANCE]}
    yield "a zone that is none of the list's", {"areas": ["x"], "my_zone": 3, "classes": [BALANCE]}
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
    absent = dict.fromkeys(("dedup_scope", "repeat_window", "late_worth", "aim_stretch", "stream"))
    yield (
        "what is absent written as null",
        {
            "classes": [BALANCE | absent],
            "weights": None,
            "realms": None,
            "clients": None,
            "goal": {"worst_class": None},
            "limits": SETTINGS["limits"] | {"cancelling": None, "open_cap": None},
        },
    )
    yield "zones that are numbers", {"areas": [1, 2], "classes": [BALANCE]}
    yield "connections that never rest", {"limits": {"idle_close": 0}, "classes": [BALANCE]}


@pytest.mark.parametrize(("name", "settings"), others(), ids=[n for n, _ in others()])
def test_another_deployment_is_served(tmp_path: Path, name: str, settings: dict[str, Any]) -> None:
    spec = settings["classes"][-1]
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, settings=settings) as n:
            safe = spec["effect"] == "pure"
            for _ in range(2):
                # A deadline is kept by the node's clock, whatever ours does meanwhile.
                client = n.connect()
                client.send(request(f"/{spec['name']}/1", None if safe else b"x", timeout=60_000))
                if spec["deadline"] < SECOND:
                    assert client.message()[0].startswith("HTTP/1.1 50")  # nobody answers
                    continue
                peer = accept(backend)
                assert peer.message()[0].startswith(
                    f"{'GET' if safe else 'POST'} /{spec['name']}/1"
                )
                peer.send(answer(b"served", "200 OK", "Connection: close"))
                assert client.message()[2] == b"served", name
