"""New settings in a running node: taken whole or turned down whole, and who keeps which rules."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from windrelay.config import ConfigError, load, reload

from .harness import (
    SETTINGS,
    RunningNode,
    accept,
    answer,
    config,
    listen,
    node,
    request,
    roster,
    target,
)
from .inside import InProcessNode, in_process_node

BALANCE, CREDIT = SETTINGS["classes"]
REFUND = CREDIT | {"name": "refund", "deadline": 1_500_000_000}


def settings(*classes: dict[str, Any], **limits: object) -> dict[str, Any]:
    return SETTINGS | {"classes": list(classes), "limits": SETTINGS["limits"] | limits}


def told(n: RunningNode, what: str) -> None:
    """Read the node's log up to a line that says this."""
    assert n.process.stderr is not None
    while what not in (line := n.process.stderr.readline()):
        assert line


# ---- the file ---------------------------------------------------------------


def paths(value: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    if isinstance(value, dict):
        for key, below in value.items():
            yield (*at, key)
            yield from paths(below, (*at, key))
    elif isinstance(value, list):
        for i, below in enumerate(value):
            yield from paths(below, (*at, i))


def written(tmp_path: Path) -> tuple[dict[str, str], Path, dict[str, Any]]:
    environ = config(tmp_path, roster(), 1, settings={"extra": {"deep": 1}})
    file = Path(environ["PROXY_CONFIG"])
    return environ, file, json.loads(file.read_text())


def test_a_file_that_lacks_any_one_key_is_turned_down(tmp_path: Path) -> None:
    environ, file, raw = written(tmp_path)
    old = load(environ)
    checked = 0
    for path in paths({k: v for k, v in raw.items() if k != "known"}):
        new = copy.deepcopy(raw)
        inner = new
        for key in path[:-1]:
            inner = inner[key]
        del inner[path[-1]]
        file.write_text(json.dumps(new))
        with pytest.raises(ConfigError):
            reload(environ, old)
        checked += 1
    assert checked > 40
    file.write_text(json.dumps(raw))
    assert reload(environ, old)[0].settings == old.settings


@pytest.mark.parametrize("value", [0, -5, "480", None, True, [], float("nan"), 0.0])
@pytest.mark.parametrize("place", ["deadline", "target", "max_attempts"])
def test_a_time_or_attempts_that_are_no_number_above_0_are_turned_down(
    tmp_path: Path, place: str, value: object
) -> None:
    environ, file, raw = written(tmp_path)
    old = load(environ)
    inner = raw["settings"]["limits" if place == "max_attempts" else "classes"]
    (inner if place == "max_attempts" else inner[1])[place] = value
    file.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=place):
        reload(environ, old)


def test_every_cut_of_the_file_is_turned_down(tmp_path: Path) -> None:
    environ, file, _ = written(tmp_path)
    old = load(environ)
    text = file.read_text()
    for size in range(0, len(text), 7):
        file.write_text(text[:size])
        with pytest.raises(ConfigError):
            reload(environ, old)


# ---- the node ---------------------------------------------------------------


def test_a_class_that_is_added_has_its_own_rules_at_once(tmp_path: Path) -> None:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as n:
            client = n.connect()
            client.send(request("/refund/1", b"x"))
            assert client.message()[0].split(" ")[1] == "404"
            n.reload(settings=settings(BALANCE, CREDIT, REFUND))
            told(n, "reloaded")
            client = n.connect()
            client.send(request("/refund/1", b"x", timeout=9000))
            peer = accept(backend)
            first, headers, _ = peer.message()
            assert first.startswith("POST /refund/1") and int(headers["x-timeout-ms"]) <= 1500
            # It may have run and must not be repeated: it fails, and nobody else gets it.
            peer.reset()
            assert client.message()[0].split(" ")[1] == "502"


def test_a_class_that_is_dropped_is_served_until_its_callers_have_heard(tmp_path: Path) -> None:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as n:
            held = n.connect()
            held.send(request("/credit/1", b"x", timeout=3000))
            peer = accept(backend)
            peer.message()
            n.reload(settings=settings(BALANCE, REFUND))
            told(n, "reloaded")
            late = n.connect()
            late.send(request("/credit/2", b"x"))
            second = accept(backend)
            assert second.message()[0].startswith("POST /credit/2")
            second.send(answer(b"late"))
            assert late.message()[2] == b"late"
            peer.send(answer(b"held"))
            assert held.message()[2] == b"held"


def test_a_body_that_is_slow_across_a_change_is_held_against_the_new_classes(
    tmp_path: Path,
) -> None:
    """Numbers of classes change with the settings: an old one would mean another class."""
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as n:
            client = n.connect()
            whole = request("/credit/1", b"0123456789")
            client.send(whole[:-5])
            n.reload(settings=settings(REFUND, CREDIT, BALANCE))
            told(n, "reloaded")
            client.send(whole[-5:])
            peer = accept(backend)
            first, _, body = peer.message()
            assert first.startswith("POST /credit/1") and body == b"0123456789"
            peer.send(answer(b"done"))
            assert client.message()[2] == b"done"


def test_fewer_attempts_bind_what_is_under_way(tmp_path: Path) -> None:
    with listen() as one, listen() as two:
        known = roster(*(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((one, two))))
        with in_process_node(tmp_path, known) as i:
            changed = reloaded(i, tmp_path, settings(BALANCE, CREDIT, max_attempts=1))
            assert changed.settings.max_attempts == 1

            async def story() -> None:
                i.node.reload(changed)

            i.run(story())
            assert i.node.balancer.settings.max_attempts == 1
            assert i.node.config.settings.max_attempts == 1


def reloaded(i: InProcessNode, tmp_path: Path, new: dict[str, Any]) -> Any:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(json.loads(file.read_text()) | {"settings": new}))
    return reload({"PROXY_CONFIG": str(file)}, i.config)[0]


@pytest.mark.parametrize("fixed", [{"balancers": 2}, {"areas": ["east"]}])
def test_what_is_of_a_start_only_turns_the_whole_file_down(
    tmp_path: Path, fixed: dict[str, object]
) -> None:
    with node(tmp_path, roster()) as n:
        n.reload(settings=settings(BALANCE, REFUND) | fixed)
        told(n, "turned down")
        client = n.connect()
        client.send(request("/refund/1", b"x"))
        assert client.message()[0].split(" ")[1] == "404"


def test_servers_that_close_idle_connections_sooner_are_believed_at_once(tmp_path: Path) -> None:
    """The limit of the start stood for good: requests were written into closes."""
    with in_process_node(tmp_path, roster()) as one:
        most = one.node.upstream.idle_timeout.max_timeout_ns
        one.node.reload(replace(one.config, backend_idle_timeout=4 * 1_000_000_000))
        assert one.node.upstream.idle_timeout.max_timeout_ns == 2 * 1_000_000_000 < most
        learnt = one.node.upstream.idle_timeout
        learnt.timeout_ns = 5
        one.node.reload(replace(one.config, backend_idle_timeout=4 * 1_000_000_000))
        assert one.node.upstream.idle_timeout is learnt and learnt.timeout_ns == 5


def test_areas_of_other_names_turn_the_whole_file_down(tmp_path: Path) -> None:
    """The list's rows are read by the names of the start: each server would be in the first."""
    with in_process_node(tmp_path, roster()) as one:
        before = one.node.balancer.settings
        with pytest.raises(ValueError, match="areas"):
            one.node.reload(replace(one.config, zones=("a", "b"), max_open_requests=1))
        assert one.node.balancer.settings is before and one.node.config.max_open_requests != 1
