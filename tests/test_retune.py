"""New settings in a running node: all or none apply, and requests keep the rules of their class."""

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


def read_log_until(running: RunningNode, what: str) -> None:
    """Read the node's log up to a line with this text."""
    assert running.process.stderr is not None
    while what not in (line := running.process.stderr.readline()):
        assert line


# ---- the file ---------------------------------------------------------------


def key_paths(value: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The path of every key and list item, as a tuple of keys and indexes."""
    if isinstance(value, dict):
        for key, below in value.items():
            yield (*at, key)
            yield from key_paths(below, (*at, key))
    elif isinstance(value, list):
        for i, below in enumerate(value):
            yield from key_paths(below, (*at, i))


def write_config(tmp_path: Path) -> tuple[dict[str, str], Path, dict[str, Any]]:
    """Write a configuration with an unknown key; returns environment, file and content."""
    environ = config(tmp_path, roster(), 1, settings={"extra": {"deep": 1}})
    file = Path(environ["PROXY_CONFIG"])
    return environ, file, json.loads(file.read_text())


def test_file_without_any_one_of_its_keys_is_rejected(tmp_path: Path) -> None:
    environ, file, raw = write_config(tmp_path)
    old = load(environ)
    checked = 0
    for path in key_paths({k: v for k, v in raw.items() if k != "known"}):
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
def test_time_or_attempt_count_that_is_no_number_above_0_is_rejected(
    tmp_path: Path, place: str, value: object
) -> None:
    environ, file, raw = write_config(tmp_path)
    old = load(environ)
    inner = raw["settings"]["limits" if place == "max_attempts" else "classes"]
    (inner if place == "max_attempts" else inner[1])[place] = value
    file.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=place):
        reload(environ, old)


def test_truncated_file_is_rejected(tmp_path: Path) -> None:
    environ, file, _ = write_config(tmp_path)
    old = load(environ)
    text = file.read_text()
    for size in range(0, len(text), 7):
        file.write_text(text[:size])
        with pytest.raises(ConfigError):
            reload(environ, old)


# ---- the node ---------------------------------------------------------------


def test_added_class_applies_its_own_rules_at_once(tmp_path: Path) -> None:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as running:
            client = running.connect()
            client.send(request("/refund/1", b"x"))
            assert client.message()[0].split(" ")[1] == "404"
            running.reload(settings=settings(BALANCE, CREDIT, REFUND))
            read_log_until(running, "reloaded")
            client = running.connect()
            client.send(request("/refund/1", b"x", timeout=9000))
            peer = accept(backend)
            first, headers, _ = peer.message()
            assert first.startswith("POST /refund/1") and int(headers["x-timeout-ms"]) <= 1500
            # The attempt may have run and must not be repeated: the request fails, and no other
            # backend gets it.
            peer.reset()
            assert client.message()[0].split(" ")[1] == "502"


def test_requests_of_a_removed_class_are_served(tmp_path: Path) -> None:
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as running:
            held = running.connect()
            held.send(request("/credit/1", b"x", timeout=3000))
            peer = accept(backend)
            peer.message()
            running.reload(settings=settings(BALANCE, REFUND))
            read_log_until(running, "reloaded")
            late = running.connect()
            late.send(request("/credit/2", b"x"))
            second = accept(backend)
            assert second.message()[0].startswith("POST /credit/2")
            second.send(answer(b"late"))
            assert late.message()[2] == b"late"
            peer.send(answer(b"held"))
            assert held.message()[2] == b"held"


def test_request_whose_body_arrives_across_a_reload_keeps_its_class(
    tmp_path: Path,
) -> None:
    """Class numbers change with the settings, so a number found before would mean another class."""
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known) as running:
            client = running.connect()
            whole = request("/credit/1", b"0123456789")
            client.send(whole[:-5])
            running.reload(settings=settings(REFUND, CREDIT, BALANCE))
            read_log_until(running, "reloaded")
            client.send(whole[-5:])
            peer = accept(backend)
            first, _, body = peer.message()
            assert first.startswith("POST /credit/1") and body == b"0123456789"
            peer.send(answer(b"done"))
            assert client.message()[2] == b"done"


def test_lower_max_attempts_applies_to_the_running_balancer(tmp_path: Path) -> None:
    with listen() as first, listen() as second:
        known = roster(
            *(target(f"s-{i}", s.getsockname()[1]) for i, s in enumerate((first, second)))
        )
        with in_process_node(tmp_path, known) as running:
            changed = load_changed_settings(
                running, tmp_path, settings(BALANCE, CREDIT, max_attempts=1)
            )
            assert changed.settings.max_attempts == 1

            async def scenario() -> None:
                running.node.reload(changed)

            running.run(scenario())
            assert running.node.balancer.settings.max_attempts == 1
            assert running.node.config.settings.max_attempts == 1


def load_changed_settings(running: InProcessNode, tmp_path: Path, new: dict[str, Any]) -> Any:
    """The configuration of the running node with new settings, as a reload reads it."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(json.loads(file.read_text()) | {"settings": new}))
    return reload({"PROXY_CONFIG": str(file)}, running.config)[0]


@pytest.mark.parametrize("fixed", [{"balancers": 2}, {"areas": ["east"]}])
def test_setting_that_can_change_only_at_a_start_rejects_the_whole_file(
    tmp_path: Path, fixed: dict[str, object]
) -> None:
    with node(tmp_path, roster()) as running:
        running.reload(settings=settings(BALANCE, REFUND) | fixed)
        read_log_until(running, "turned down")
        client = running.connect()
        client.send(request("/refund/1", b"x"))
        assert client.message()[0].split(" ")[1] == "404"


def test_shorter_idle_close_time_applies_at_once(tmp_path: Path) -> None:
    """Otherwise the limit of the start stays, and requests are written to connections that the
    backend closes at the same moment."""
    with in_process_node(tmp_path, roster()) as running:
        old_max_ns = running.node.upstream.idle_timeout.max_timeout_ns
        running.node.reload(replace(running.config, backend_idle_timeout=4 * 1_000_000_000))
        assert running.node.upstream.idle_timeout.max_timeout_ns == 2 * 1_000_000_000 < old_max_ns
        idle_timeout = running.node.upstream.idle_timeout
        idle_timeout.timeout_ns = 5
        running.node.reload(replace(running.config, backend_idle_timeout=4 * 1_000_000_000))
        assert running.node.upstream.idle_timeout is idle_timeout and idle_timeout.timeout_ns == 5


def test_changed_area_names_reject_the_whole_file(tmp_path: Path) -> None:
    """Rows of the list are read by the area names of the start, so with other names each backend
    would be placed in the first zone."""
    with in_process_node(tmp_path, roster()) as running:
        before = running.node.balancer.settings
        with pytest.raises(ValueError, match="areas"):
            running.node.reload(replace(running.config, zones=("a", "b"), max_open_requests=1))
        assert (
            running.node.balancer.settings is before and running.node.config.max_open_requests != 1
        )
