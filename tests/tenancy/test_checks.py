"""Every fault of a document at once, each with its place; nothing sound is turned away."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import pytest
from jsonschema import Draft202012Validator

from tansywood.__main__ import main
from tansywood.service import shape
from tansywood.service.settings import SettingsError, load
from tansywood.tenancy.checks import depth, faults
from tansywood.tenancy.schema import TENANT
from tansywood.tenancy.settings import read

from .documents import document, spoilt


def places(found: Any) -> list[str]:
    return [fault.path for fault in found]


def test_a_sound_document_has_no_fault() -> None:
    assert faults(document()) == []


def test_a_document_that_is_wrong_in_ten_places_is_told_all_ten() -> None:
    bad = document(
        name="No Name",
        callers={"hosts": ["ok.example.org", "not a host"], "key_required": "yes"},
        classes=[
            {"name": "balance", "aim_ms": 3000, "deadline_ms": 2000, "repeat": "safe"},
            {"name": "balance", "aim_ms": 1, "deadline_ms": 2000, "repeat": "twice"},
        ],
        servers=[
            {"name": "s-0", "address": "localhost:80"},
            {"name": "s-1", "address": "127.0.0.1:99999", "size": 3},
        ],
        limits={"rate_per_s": 0},
    )
    assert places(faults(bad)) == [
        "/callers/hosts/1",
        "/callers/key_required",
        "/classes/0/aim_ms",
        "/classes/1/aim_ms",
        "/classes/1/name",
        "/classes/1/repeat",
        "/limits/rate_per_s",
        "/name",
        "/servers/0/address",
        "/servers/1/address",
        "/servers/1/size",
    ]
    told = {fault.path: fault for fault in faults(bad)}
    assert told["/classes/1/aim_ms"].allowed == "from 5 to 60000"
    assert told["/classes/0/aim_ms"].allowed == "at most 1998"
    assert told["/classes/1/repeat"].allowed == "one of safe, keyed, never"


@pytest.mark.parametrize(
    ("over", "place"),
    [
        ({"servers": [{"name": "s", "address": "127.0.0.1:1", "state": "draining"}]}, "/servers"),
        ({"limits": {"rate_per_s": 1, "burst": 1000}}, "/limits/burst"),
        ({"limits": {"open": 2000, "connections": 10}}, "/limits/open"),
        ({"callers": {"key_required": False}}, "/callers/key_required"),
        (
            {"classes": [{"name": "a", "aim_ms": 10, "deadline_ms": 99, "repeat": "keyed"}]},
            "/classes/0/repeat_window_ms",
        ),
        (
            {
                "classes": [
                    {
                        "name": "a",
                        "aim_ms": 10,
                        "deadline_ms": 99,
                        "repeat": "never",
                        "repeat_window_ms": 5,
                    }
                ]
            },
            "/classes/0/repeat_window_ms",
        ),
        (
            {"classes": [{"name": "health", "aim_ms": 9, "deadline_ms": 99, "repeat": "safe"}]},
            "/classes/0/name",
        ),
        (
            {"servers": [{"name": f"s-{i}", "address": "127.0.0.1:1"} for i in range(2)]},
            "/servers/1/address",
        ),
        (
            {
                "servers": [
                    {"name": f"s-{i}", "address": f"127.0.0.1:{i + 1}", "zone": f"z-{i}"}
                    for i in range(17)
                ]
            },
            "/servers",
        ),
    ],
)
def test_values_that_are_valid_one_by_one_and_impossible_together(
    over: dict[str, Any], place: str
) -> None:
    assert Draft202012Validator(TENANT).is_valid(document(**over))
    assert places(faults(document(**over))) == [place]


def test_a_listener_that_the_service_does_not_have_is_a_fault_where_that_is_known() -> None:
    made = document(callers={"listeners": ["till"], "hosts": []})
    assert faults(made) == []
    assert places(faults(made, frozenset({"public"}))) == ["/callers/listeners/0"]


def test_what_is_nested_too_deep_is_turned_away_before_it_is_looked_at() -> None:
    deep: Any = "x"
    for _ in range(5000):
        deep = [deep]
    assert depth(deep) == 13
    assert places(faults(document(title=deep))) == [""]


@pytest.mark.parametrize("seed", range(300))
def test_whatever_comes_is_either_faulty_with_places_or_can_be_run(seed: int) -> None:
    """Never an exception, never a document that a node could not be made of."""
    made = spoilt(Random(seed), document())
    found = faults(made)
    if not Draft202012Validator(TENANT).is_valid(made):
        assert found
    for fault in found:
        assert fault.path == "" or fault.path.startswith("/")
        assert fault.what and len(str(fault)) < 700
    if not found:
        settings = read(made)
        shape.config("uid", settings)
        assert shape.members(settings, {}, 1)["targets"]


GOOD = """
[service]
run = "run"
store = "state"
[[listeners]]
name = "public"
address = "127.0.0.1:8080"
[admin]
address = "127.0.0.1:8081"
"""
BAD = """
[service]
run = 7
workers = 900
[[listeners]]
name = "public"
address = "127.0.0.1"
[[listeners]]
name = "public"
address = "127.0.0.1:8081"
[admin]
address = "127.0.0.1:8081"
colour = "red"
"""


def test_the_services_own_file_is_checked_whole(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "service.toml"
    path.write_text(GOOD)
    assert load(str(path)).workers == 2 and main(["check", str(path)]) == 0
    path.write_text(BAD)
    with pytest.raises(SettingsError) as caught:
        load(str(path))
    assert places(caught.value.faults) == [
        "/admin/address",
        "/admin/colour",
        "/listeners/0/address",
        "/listeners/1/name",
        "/service/run",
        "/service/store",
        "/service/workers",
    ]
    capsys.readouterr()
    assert main(["check", str(path)]) == 1
    assert capsys.readouterr().out.count(str(path)) == 7
    assert main(["serve", str(path)]) == 2
    path.write_text("[service")
    assert main(["check", str(path)]) == 1
    assert main(["check", str(tmp_path / "none.toml")]) == 1


def test_the_file_that_is_deployed_is_sound() -> None:
    assert main(["check", "deploy/service.toml"]) == 0


def test_a_tenants_document_is_checked_by_the_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "tenant.json"
    path.write_text('{"name": "x"}')
    assert main(["check", str(path)]) == 1
    out = capsys.readouterr().out
    assert "/classes: is missing" in out and "/servers: is missing" in out
    path.write_text("[" * 100_000)
    assert main(["check", str(path)]) == 1
